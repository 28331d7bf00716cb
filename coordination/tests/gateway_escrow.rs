//! Tests of budgets while the store is unavailable.
//!
//! The turns of the simulated program need nothing from the store but their budget. The
//! whole store has outages, during which hosts are also killed, stopped and isolated
//! from each other.

mod change_support;
mod escrow_sim;

use std::time::Duration;

use change_support::MAX_OUTPUT_TOKENS;
use escrow_sim::Simulation;
use proptest::prelude::*;
use rosebend_coordination::gateway::escrow::accounts::{Accounts, CloseOutcome, GrantRequest};
use rosebend_coordination::gateway::escrow::hold_off::{DEMAND_WINDOW, HOLD_OFF};
use rosebend_coordination::gateway::escrow::slot::SlotId;

const HOSTS: usize = 4;

/// Step of a random simulation.
#[derive(Clone, Debug)]
enum Step {
    StartTurn(usize),
    EmitTokens(usize, u64),
    /// Serves whole turns on a host until the program may not spend more.
    SpendAll(usize),
    EndTurn(usize),
    Send(usize),
    SendAndLoseAnswer(usize),
    DeliverLate(usize),
    ReadTables(usize),
    ClaimSlots(usize),
    RenewHoldOff(usize),
    EndHoldOff(usize),
    RequestOfflineGrant(usize),
    CompleteSlots(usize),
    Kill(usize),
    KillAll,
    Stop(usize),
    SetIsolated(usize, bool),
    SetStoreUp(bool),
    AdvanceClock(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let host = 0..HOSTS;
    prop_oneof![
        6 => host.clone().prop_map(Step::StartTurn),
        8 => (host.clone(), 1..=MAX_OUTPUT_TOKENS / 2).prop_map(|(host, tokens)| Step::EmitTokens(host, tokens)),
        3 => host.clone().prop_map(Step::SpendAll),
        4 => host.clone().prop_map(Step::EndTurn),
        6 => host.clone().prop_map(Step::Send),
        2 => host.clone().prop_map(Step::SendAndLoseAnswer),
        1 => host.clone().prop_map(Step::DeliverLate),
        2 => host.clone().prop_map(Step::ReadTables),
        2 => host.clone().prop_map(Step::ClaimSlots),
        3 => host.clone().prop_map(Step::RenewHoldOff),
        2 => host.clone().prop_map(Step::CompleteSlots),
        2 => host.clone().prop_map(Step::EndHoldOff),
        2 => host.clone().prop_map(Step::RequestOfflineGrant),
        1 => host.clone().prop_map(Step::Kill),
        1 => Just(Step::KillAll),
        1 => host.clone().prop_map(Step::Stop),
        1 => (host, any::<bool>())
            .prop_map(|(host, is_isolated)| Step::SetIsolated(host, is_isolated)),
        3 => any::<bool>().prop_map(Step::SetStoreUp),
        1 => (0..2_000_u64).prop_map(Step::AdvanceClock),
    ]
}

fn apply_step(simulation: &mut Simulation, step: &Step) {
    match *step {
        Step::StartTurn(host) => {
            simulation.start_turn(host);
        }
        Step::EmitTokens(host, tokens) => {
            simulation.emit_tokens(host, tokens);
        }
        Step::SpendAll(host) => simulation.spend_all(host),
        Step::EndTurn(host) => simulation.end_turn(host),
        Step::Send(host) => simulation.send(host, true),
        Step::SendAndLoseAnswer(host) => simulation.send(host, false),
        Step::DeliverLate(host) => simulation.deliver_late(host),
        Step::ReadTables(host) => simulation.read_tables(host),
        Step::ClaimSlots(host) => simulation.claim_slots(host),
        Step::RenewHoldOff(host) => simulation.renew_hold_off(host),
        Step::CompleteSlots(host) => simulation.complete_slots(host),
        Step::EndHoldOff(host) => simulation.end_hold_off(host),
        Step::RequestOfflineGrant(host) => {
            simulation.request_offline_grant(host);
        }
        Step::Kill(host) => simulation.kill(host),
        Step::KillAll => (0..HOSTS).for_each(|host| simulation.kill(host)),
        Step::Stop(host) => simulation.stop(host),
        Step::SetIsolated(host, is_isolated) => simulation.hosts[host].is_isolated = is_isolated,
        Step::SetStoreUp(is_up) => simulation.is_store_up = is_up,
        Step::AdvanceClock(ms) => simulation.now += Duration::from_millis(ms),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(800))]

    #[test]
    fn outages_and_crashes_overspend_at_most_one_turn(
        budget in MAX_OUTPUT_TOKENS..9 * MAX_OUTPUT_TOKENS,
        steps in prop::collection::vec(step(), 1..160),
    ) {
        let mut simulation = Simulation::new(HOSTS, budget);
        for step in steps {
            apply_step(&mut simulation, &step);
            let emitted_tokens = simulation.emitted_tokens;
            prop_assert!(emitted_tokens <= budget + MAX_OUTPUT_TOKENS, "{emitted_tokens} of {budget}");
        }
    }

    #[test]
    fn outages_without_deaths_or_isolation_do_not_overspend(
        budget in MAX_OUTPUT_TOKENS..9 * MAX_OUTPUT_TOKENS,
        steps in prop::collection::vec(step(), 1..160),
    ) {
        let mut simulation = Simulation::new(HOSTS, budget);
        for step in steps {
            let is_death = matches!(step, Step::Kill(_) | Step::KillAll | Step::Stop(_));
            if is_death || matches!(step, Step::SetIsolated(..)) {
                continue;
            }
            apply_step(&mut simulation, &step);
            let emitted_tokens = simulation.emitted_tokens;
            prop_assert!(emitted_tokens <= budget, "{emitted_tokens} of {budget}");
        }
    }

    #[test]
    fn granted_tokens_are_in_the_ledger_after_the_outage(
        budget in 3 * MAX_OUTPUT_TOKENS..9 * MAX_OUTPUT_TOKENS,
        turns in 1..6_usize,
    ) {
        let mut simulation = Simulation::new(HOSTS, budget);
        simulation.is_store_up = false;
        let mut emitted_tokens = 0;
        for turn in 0..turns {
            if simulation.serve_turn(turn % HOSTS) {
                emitted_tokens += MAX_OUTPUT_TOKENS / 4;
            }
        }
        simulation.is_store_up = true;
        (0..HOSTS).for_each(|host| simulation.flush(host));
        prop_assert_eq!(simulation.spent_in_ledger(), emitted_tokens);
    }
}

#[test]
fn a_program_that_begins_in_an_outage_ends_in_it() {
    let served: Vec<usize> = [2, 3, 4, 6, 8]
        .into_iter()
        .map(|turns_of_budget| {
            let mut simulation = Simulation::new(HOSTS, turns_of_budget * MAX_OUTPUT_TOKENS);
            simulation.is_store_up = false;
            (0..12)
                .filter(|turn| simulation.serve_turn(turn % HOSTS))
                .count()
        })
        .collect();
    insta::assert_debug_snapshot!(served);
}

#[test]
fn a_planned_stop_in_an_outage_transfers_the_slots() {
    let mut simulation = Simulation::new(HOSTS, 4 * MAX_OUTPUT_TOKENS);
    simulation.is_store_up = false;
    assert!(simulation.serve_turn(0));
    for host in 0..HOSTS - 1 {
        simulation.stop(host);
    }
    assert!(simulation.serve_turn(HOSTS - 1));
    assert!(simulation.serve_turn(HOSTS - 1));
}

#[test]
fn a_planned_stop_preserves_closures() {
    let budget = 4 * MAX_OUTPUT_TOKENS;
    let mut simulation = Simulation::new(HOSTS, budget);
    simulation.spend_all(0);
    assert!(
        simulation.emitted_tokens + MAX_OUTPUT_TOKENS > budget,
        "{}",
        simulation.emitted_tokens
    );
    for host in 0..HOSTS {
        simulation.stop(host);
        (0..HOSTS).for_each(|host| simulation.read_tables(host));
    }
    simulation.is_store_up = false;
    assert!(!simulation.serve_turn(0));
}

/// Guards against slots that are assigned to stopped hosts in a rolling restart: a host
/// that stops may have read the table of hosts before earlier stops, so it must not
/// name a stopped host as its successor.
#[test]
fn planned_stops_one_after_the_other_leave_no_slot_to_a_host_that_is_gone() {
    let budget = 8 * MAX_OUTPUT_TOKENS;
    let quarter = MAX_OUTPUT_TOKENS / 4;
    let mut simulation = Simulation::new(HOSTS, budget);
    (0..HOSTS).for_each(|host| simulation.stop(host));
    (0..HOSTS).for_each(|host| simulation.read_tables(host));
    (0..HOSTS).for_each(|host| simulation.claim_slots(host));
    (0..HOSTS).for_each(|host| simulation.read_tables(host));
    let served = (0..60)
        .filter(|turn| simulation.serve_turn(turn % HOSTS))
        .count();
    assert_eq!(served as u64, (budget - MAX_OUTPUT_TOKENS) / quarter + 1);
}

#[test]
fn the_other_slot_grants_after_the_death_of_one_owner() {
    for killed in 0..HOSTS {
        let mut simulation = Simulation::new(HOSTS, 4 * MAX_OUTPUT_TOKENS);
        simulation.is_store_up = false;
        simulation.kill(killed);
        let host = (killed + 1) % HOSTS;
        assert!(simulation.serve_turn(host), "{killed} was killed");
    }
}

#[test]
fn the_whole_budget_is_available_without_an_outage() {
    for turns_of_budget in 1..9 {
        let budget = turns_of_budget * MAX_OUTPUT_TOKENS;
        let mut simulation = Simulation::new(HOSTS, budget);
        let quarter = MAX_OUTPUT_TOKENS / 4;
        let expected = (budget - MAX_OUTPUT_TOKENS) / quarter + 1;
        let served = (0..60)
            .filter(|turn| simulation.serve_turn(turn % HOSTS))
            .count();
        assert_eq!(served as u64, expected, "budget of {turns_of_budget}");
    }
}

#[test]
fn a_crash_of_all_hosts_leaves_budget_for_a_few_turns() {
    let served: Vec<usize> = (3..9)
        .map(|turns_of_budget| {
            let mut simulation = Simulation::new(HOSTS, turns_of_budget * MAX_OUTPUT_TOKENS);
            (0..HOSTS).for_each(|host| simulation.kill(host));
            (0..HOSTS).for_each(|host| simulation.read_tables(host));
            (0..60)
                .filter(|turn| simulation.serve_turn(turn % HOSTS))
                .count()
        })
        .collect();
    insta::assert_debug_snapshot!(served);
}

/// Guards against budget that stays withheld after all hosts are killed repeatedly
/// while the store is available.
#[test]
fn deaths_of_all_owners_that_hold_off_cost_no_budget() {
    for turns_of_budget in 1..9 {
        let budget = turns_of_budget * MAX_OUTPUT_TOKENS;
        let mut simulation = Simulation::new(HOSTS, budget);
        let mut served = 0;
        for _ in 0..4 {
            served += (0..5)
                .filter(|turn| simulation.serve_turn(turn % HOSTS))
                .count();
            (0..HOSTS).for_each(|host| simulation.renew_hold_off(host));
            simulation.now += Duration::from_secs(1);
            (0..HOSTS).for_each(|host| simulation.kill(host));
            simulation.converge();
        }
        served += (0..60)
            .filter(|turn| simulation.serve_turn(turn % HOSTS))
            .count();
        let quarter = MAX_OUTPUT_TOKENS / 4;
        let expected = (budget - MAX_OUTPUT_TOKENS) / quarter + 1;
        assert_eq!(served as u64, expected, "budget of {turns_of_budget}");
    }
}

/// Guards against budget that stays withheld when hosts are killed after they began to
/// stop, but before they released their slots.
#[test]
fn deaths_of_stopping_owners_cost_no_budget() {
    let budget = 8 * MAX_OUTPUT_TOKENS;
    let mut simulation = Simulation::new(HOSTS, budget);
    (0..HOSTS).for_each(|host| simulation.renew_hold_off(host));
    simulation.now += Duration::from_millis(1_200);
    (0..HOSTS).for_each(|host| simulation.start_stopping(host));
    (0..HOSTS).for_each(|host| simulation.renew_hold_off(host));
    simulation.now += Duration::from_millis(600);
    (0..HOSTS).for_each(|host| simulation.kill(host));
    simulation.converge();
    let served = (0..60)
        .filter(|turn| simulation.serve_turn(turn % HOSTS))
        .count();
    assert_eq!(
        served as u64,
        (budget - MAX_OUTPUT_TOKENS) / (MAX_OUTPUT_TOKENS / 4) + 1
    );
}

/// Checks that turns are served in an outage that begins soon after all hosts were
/// killed and replaced, once the new owners' hold-off has ended.
#[test]
fn turns_are_served_in_an_outage_after_the_death_of_all_owners() {
    let mut simulation = Simulation::new(HOSTS, 4 * MAX_OUTPUT_TOKENS);
    (0..HOSTS).for_each(|host| simulation.renew_hold_off(host));
    simulation.now += Duration::from_secs(1);
    (0..HOSTS).for_each(|host| simulation.kill(host));
    simulation.converge();
    (0..HOSTS).for_each(|host| simulation.renew_hold_off(host));
    simulation.is_store_up = false;
    assert!(!simulation.serve_turn(0), "the owners hold off");
    simulation.now += HOLD_OFF;
    let served = (0..8)
        .filter(|turn| simulation.serve_turn(turn % HOSTS))
        .count();
    assert!(served >= 4, "{served} turns");
}

/// Checks that a host that is disconnected from the store receives grants although the
/// owners of the slots are not, and that these grants count after the owners' deaths.
#[test]
fn a_grant_request_ends_the_hold_off() {
    let budget = 4 * MAX_OUTPUT_TOKENS;
    let mut simulation = Simulation::new(HOSTS, budget);
    (0..HOSTS).for_each(|host| simulation.renew_hold_off(host));
    assert!(!simulation.request_offline_grant(0), "the owners hold off");
    (0..HOSTS).for_each(|host| simulation.end_hold_off(host));
    assert!(simulation.request_offline_grant(0));
    // The grants made since are lost with the owners, and count as spent.
    (0..HOSTS).for_each(|host| simulation.renew_hold_off(host));
    while simulation.request_offline_grant(0) {}
    (0..HOSTS).for_each(|host| simulation.kill(host));
    simulation.converge();
    simulation.spend_all(0);
    let emitted_tokens = simulation.emitted_tokens;
    assert!(
        emitted_tokens <= budget + MAX_OUTPUT_TOKENS,
        "{emitted_tokens} of {budget}"
    );
}

#[test]
fn a_death_preserves_closures() {
    let budget = 4 * MAX_OUTPUT_TOKENS;
    let mut simulation = Simulation::new(HOSTS, budget);
    simulation.spend_all(0);
    assert!(
        simulation.emitted_tokens + MAX_OUTPUT_TOKENS > budget,
        "{}",
        simulation.emitted_tokens
    );
    (0..HOSTS).for_each(|host| simulation.renew_hold_off(host));
    (0..HOSTS).for_each(|host| simulation.kill(host));
    simulation.converge();
    simulation.is_store_up = false;
    assert!(!simulation.serve_turn(0));
}

/// Owners that are killed after their hold-off may have made grants, so the next
/// processes must not take over their slots at once.
#[test]
fn a_death_after_the_hold_off_leaves_the_slots_without_an_owner() {
    let mut simulation = Simulation::new(HOSTS, 4 * MAX_OUTPUT_TOKENS);
    (0..HOSTS).for_each(|host| simulation.renew_hold_off(host));
    simulation.now += HOLD_OFF + Duration::from_millis(1);
    (0..HOSTS).for_each(|host| simulation.kill(host));
    simulation.converge();
    simulation.is_store_up = false;
    assert!(!simulation.serve_turn(0));
}

/// Guards against lost grants: owners made grants in an outage and are killed after it,
/// before the grants are in the ledger.
#[test]
fn an_owner_with_unsettled_grants_does_not_hold_off() {
    let budget = 4 * MAX_OUTPUT_TOKENS;
    let mut simulation = Simulation::new(HOSTS, budget);
    simulation.is_store_up = false;
    simulation.spend_all(0);
    assert!(
        simulation.emitted_tokens > MAX_OUTPUT_TOKENS,
        "{}",
        simulation.emitted_tokens
    );
    simulation.is_store_up = true;
    simulation.now += DEMAND_WINDOW;
    (0..HOSTS).for_each(|host| simulation.renew_hold_off(host));
    (0..HOSTS).for_each(|host| simulation.kill(host));
    simulation.converge();
    simulation.spend_all(0);
    let emitted_tokens = simulation.emitted_tokens;
    assert!(
        emitted_tokens <= budget + MAX_OUTPUT_TOKENS,
        "{emitted_tokens} of {budget}"
    );
}

/// Guards against a late reservation: an owner confirms that the slot is closed and is
/// killed, and the reservation that depends on the closure reaches the store after the
/// next owner has read from the ledgers which programs are closed.
#[test]
fn a_reservation_based_on_a_dead_owner_s_closure_is_not_written() {
    let budget = 4 * MAX_OUTPUT_TOKENS;
    let mut simulation = Simulation::new(HOSTS, budget);
    while simulation.spent_in_ledger() + 2 * MAX_OUTPUT_TOKENS <= budget {
        assert!(simulation.serve_turn(0));
    }
    (0..HOSTS).for_each(|host| simulation.renew_hold_off(host));
    assert!(simulation.start_turn(0));
    simulation.is_store_up = false;
    simulation.send(0, false);
    simulation.is_store_up = true;
    (0..HOSTS).for_each(|host| simulation.kill(host));
    simulation.converge();
    let ledger = simulation.ledger();
    simulation.deliver_late(0);
    assert_eq!(simulation.ledger(), ledger);
}

#[test]
fn the_remaining_budget_is_available_after_an_outage() {
    let budget = 8 * MAX_OUTPUT_TOKENS;
    let mut simulation = Simulation::new(HOSTS, budget);
    let quarter = MAX_OUTPUT_TOKENS / 4;
    simulation.is_store_up = false;
    let in_outage = (0..6)
        .filter(|turn| simulation.serve_turn(turn % HOSTS))
        .count();
    simulation.is_store_up = true;
    (0..HOSTS).for_each(|host| simulation.flush(host));
    let after = (0..60)
        .filter(|turn| simulation.serve_turn(turn % HOSTS))
        .count();
    let expected = (budget - MAX_OUTPUT_TOKENS) / quarter + 1;
    assert_eq!((in_outage + after) as u64, expected);
}

#[test]
fn a_closed_slot_grants_nothing_and_an_outstanding_grant_keeps_it_open() {
    let mut accounts = Accounts::default();
    let request = |grant: &str, tokens| GrantRequest {
        grant: grant.to_owned(),
        tokens,
        most_tokens: MAX_OUTPUT_TOKENS,
        budget_tokens: 8 * MAX_OUTPUT_TOKENS,
    };
    assert!(accounts.grant("p", &request("g", MAX_OUTPUT_TOKENS)));
    assert!(
        accounts.grant("p", &request("g", MAX_OUTPUT_TOKENS)),
        "asked again"
    );
    assert_eq!(
        accounts.close("p"),
        CloseOutcome::Outstanding(MAX_OUTPUT_TOKENS)
    );
    assert!(!accounts.grant("p", &request("h", 1)));
    accounts.report("p", "g", 70);
    assert_eq!(accounts.close("p"), CloseOutcome::Outstanding(70));
    accounts.settle("p", "g");
    assert_eq!(accounts.close("p"), CloseOutcome::Closed);
    assert!(!accounts.grant("p", &request("i", 1)));
    assert!(accounts.grant("other", &request("j", MAX_OUTPUT_TOKENS)));
}

#[test]
fn slot_keys_round_trip() {
    for slot in SlotId::all() {
        assert_eq!(SlotId::from_key(&slot.key()), Some(slot));
    }
    for key in [
        "escrow/",
        "escrow/3",
        "escrow/3/9",
        "escrow/3/x",
        "host",
        "",
    ] {
        assert_eq!(SlotId::from_key(key), None, "{key}");
    }
}

/// Guards against a program that spends the shares of its slots in each outage anew, because
/// grants that are in the ledger no longer count against the share.
#[test]
fn repeated_outages_overspend_at_most_one_turn() {
    let budget = 6 * MAX_OUTPUT_TOKENS;
    let mut simulation = Simulation::new(HOSTS, budget);
    for _ in 0..4 {
        simulation.is_store_up = false;
        simulation.spend_all(0);
        simulation.is_store_up = true;
        simulation.flush(0);
    }
    assert!(simulation.emitted_tokens <= budget + MAX_OUTPUT_TOKENS);
}
