//! Budgets while the store is unavailable.
//!
//! The load: programs whose turns need nothing of the store but their budget, in
//! outages of the whole store, with hosts that are killed, stopped and cut off
//! meanwhile.

mod change_support;
mod escrow_world;

use std::time::Duration;

use change_support::MAX_OUTPUT_TOKENS;
use escrow_world::World;
use proptest::prelude::*;
use rosebend_coordination::gateway::escrow::accounts::{Accounts, Closing, GrantRequest};
use rosebend_coordination::gateway::escrow::hold_off::{DEMAND_TIME, HOLD_OFF};
use rosebend_coordination::gateway::escrow::slot::SlotId;

const HOSTS: usize = 4;

/// What may happen next in a random run.
#[derive(Clone, Debug)]
enum Step {
    Begin(usize),
    HandOut(usize, u64),
    /// A host serves whole turns, as long as it may.
    Spend(usize),
    End(usize),
    Send(usize),
    SendAndLose(usize),
    ArriveLate(usize),
    Learn(usize),
    Claim(usize),
    HoldOff(usize),
    EndHoldOff(usize),
    Want(usize),
    Complete(usize),
    Kill(usize),
    KillAll,
    Stop(usize),
    Cut(usize, bool),
    Store(bool),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let host = 0..HOSTS;
    prop_oneof![
        6 => host.clone().prop_map(Step::Begin),
        8 => (host.clone(), 1..=MAX_OUTPUT_TOKENS / 2).prop_map(|(host, tokens)| Step::HandOut(host, tokens)),
        3 => host.clone().prop_map(Step::Spend),
        4 => host.clone().prop_map(Step::End),
        6 => host.clone().prop_map(Step::Send),
        2 => host.clone().prop_map(Step::SendAndLose),
        1 => host.clone().prop_map(Step::ArriveLate),
        2 => host.clone().prop_map(Step::Learn),
        2 => host.clone().prop_map(Step::Claim),
        3 => host.clone().prop_map(Step::HoldOff),
        2 => host.clone().prop_map(Step::Complete),
        2 => host.clone().prop_map(Step::EndHoldOff),
        2 => host.clone().prop_map(Step::Want),
        1 => host.clone().prop_map(Step::Kill),
        1 => Just(Step::KillAll),
        1 => host.clone().prop_map(Step::Stop),
        1 => (host, any::<bool>()).prop_map(|(host, is_cut)| Step::Cut(host, is_cut)),
        3 => any::<bool>().prop_map(Step::Store),
        1 => (0..2_000_u64).prop_map(Step::Wait),
    ]
}

fn play(world: &mut World, step: &Step) {
    match *step {
        Step::Begin(host) => {
            world.begin(host);
        }
        Step::HandOut(host, tokens) => {
            world.hand_out(host, tokens);
        }
        Step::Spend(host) => world.spend(host),
        Step::End(host) => world.end(host),
        Step::Send(host) => world.send(host, true),
        Step::SendAndLose(host) => world.send(host, false),
        Step::ArriveLate(host) => world.arrive_late(host),
        Step::Learn(host) => world.learn(host),
        Step::Claim(host) => world.claim(host),
        Step::HoldOff(host) => world.hold_off(host),
        Step::Complete(host) => world.complete(host),
        Step::EndHoldOff(host) => world.end_hold_off(host),
        Step::Want(host) => {
            world.want(host);
        }
        Step::Kill(host) => world.kill(host),
        Step::KillAll => (0..HOSTS).for_each(|host| world.kill(host)),
        Step::Stop(host) => world.stop(host),
        Step::Cut(host, is_cut) => world.hosts[host].is_cut = is_cut,
        Step::Store(is_up) => world.is_store_up = is_up,
        Step::Wait(ms) => world.now += Duration::from_millis(ms),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(800))]

    #[test]
    fn no_outage_or_crash_overspends_more_than_one_turn_s_most(
        budget in MAX_OUTPUT_TOKENS..9 * MAX_OUTPUT_TOKENS,
        steps in prop::collection::vec(step(), 1..160),
    ) {
        let mut world = World::new(HOSTS, budget);
        for step in steps {
            play(&mut world, &step);
            let handed_out = world.handed_out;
            prop_assert!(handed_out <= budget + MAX_OUTPUT_TOKENS, "{handed_out} of {budget}");
        }
    }

    #[test]
    fn no_outage_without_death_or_silence_overspends(
        budget in MAX_OUTPUT_TOKENS..9 * MAX_OUTPUT_TOKENS,
        steps in prop::collection::vec(step(), 1..160),
    ) {
        let mut world = World::new(HOSTS, budget);
        for step in steps {
            let is_death = matches!(step, Step::Kill(_) | Step::KillAll | Step::Stop(_));
            if is_death || matches!(step, Step::Cut(..)) {
                continue;
            }
            play(&mut world, &step);
            let handed_out = world.handed_out;
            prop_assert!(handed_out <= budget, "{handed_out} of {budget}");
        }
    }

    #[test]
    fn what_was_granted_is_in_the_ledger_once_the_store_is_back(
        budget in 3 * MAX_OUTPUT_TOKENS..9 * MAX_OUTPUT_TOKENS,
        turns in 1..6_usize,
    ) {
        let mut world = World::new(HOSTS, budget);
        world.is_store_up = false;
        let mut handed_out = 0;
        for turn in 0..turns {
            if world.serve(turn % HOSTS) {
                handed_out += MAX_OUTPUT_TOKENS / 4;
            }
        }
        world.is_store_up = true;
        (0..HOSTS).for_each(|host| world.flush(host));
        prop_assert_eq!(world.spent(), handed_out);
    }
}

#[test]
fn a_program_that_begins_in_an_outage_ends_in_it() {
    let served: Vec<usize> = [2, 3, 4, 6, 8]
        .into_iter()
        .map(|turns_of_budget| {
            let mut world = World::new(HOSTS, turns_of_budget * MAX_OUTPUT_TOKENS);
            world.is_store_up = false;
            (0..12).filter(|turn| world.serve(turn % HOSTS)).count()
        })
        .collect();
    insta::assert_debug_snapshot!(served);
}

#[test]
fn a_planned_stop_in_an_outage_leaves_the_slots_to_others() {
    let mut world = World::new(HOSTS, 4 * MAX_OUTPUT_TOKENS);
    world.is_store_up = false;
    assert!(world.serve(0));
    for host in 0..HOSTS - 1 {
        world.stop(host);
    }
    assert!(world.serve(HOSTS - 1));
    assert!(world.serve(HOSTS - 1));
}

#[test]
fn a_planned_stop_keeps_what_was_closed() {
    let budget = 4 * MAX_OUTPUT_TOKENS;
    let mut world = World::new(HOSTS, budget);
    world.spend(0);
    assert!(
        world.handed_out + MAX_OUTPUT_TOKENS > budget,
        "{}",
        world.handed_out
    );
    for host in 0..HOSTS {
        world.stop(host);
        (0..HOSTS).for_each(|host| world.learn(host));
    }
    world.is_store_up = false;
    assert!(!world.serve(0));
}

/// The pattern of a rolling restart: the tables of the hosts that stop are older than
/// the stops before.
#[test]
fn planned_stops_one_after_the_other_leave_no_slot_to_a_host_that_is_gone() {
    let budget = 8 * MAX_OUTPUT_TOKENS;
    let quarter = MAX_OUTPUT_TOKENS / 4;
    let mut world = World::new(HOSTS, budget);
    (0..HOSTS).for_each(|host| world.stop(host));
    (0..HOSTS).for_each(|host| world.learn(host));
    (0..HOSTS).for_each(|host| world.claim(host));
    (0..HOSTS).for_each(|host| world.learn(host));
    let served = (0..60).filter(|turn| world.serve(turn % HOSTS)).count();
    assert_eq!(served as u64, (budget - MAX_OUTPUT_TOKENS) / quarter + 1);
}

#[test]
fn the_death_of_one_owner_leaves_the_other_slot() {
    for killed in 0..HOSTS {
        let mut world = World::new(HOSTS, 4 * MAX_OUTPUT_TOKENS);
        world.is_store_up = false;
        world.kill(killed);
        let host = (killed + 1) % HOSTS;
        assert!(world.serve(host), "{killed} was killed");
    }
}

#[test]
fn the_whole_budget_is_there_without_an_outage() {
    for turns_of_budget in 1..9 {
        let budget = turns_of_budget * MAX_OUTPUT_TOKENS;
        let mut world = World::new(HOSTS, budget);
        let quarter = MAX_OUTPUT_TOKENS / 4;
        let expected = (budget - MAX_OUTPUT_TOKENS) / quarter + 1;
        let served = (0..60).filter(|turn| world.serve(turn % HOSTS)).count();
        assert_eq!(served as u64, expected, "budget of {turns_of_budget}");
    }
}

#[test]
fn a_crash_of_all_hosts_leaves_budget_for_a_few_turns() {
    let served: Vec<usize> = (3..9)
        .map(|turns_of_budget| {
            let mut world = World::new(HOSTS, turns_of_budget * MAX_OUTPUT_TOKENS);
            (0..HOSTS).for_each(|host| world.kill(host));
            (0..HOSTS).for_each(|host| world.learn(host));
            (0..60).filter(|turn| world.serve(turn % HOSTS)).count()
        })
        .collect();
    insta::assert_debug_snapshot!(served);
}

/// The pattern of a herd kill: all hosts die while the store is there, again and again.
#[test]
fn deaths_of_all_owners_that_hold_off_cost_no_budget() {
    for turns_of_budget in 1..9 {
        let budget = turns_of_budget * MAX_OUTPUT_TOKENS;
        let mut world = World::new(HOSTS, budget);
        let mut served = 0;
        for _ in 0..4 {
            served += (0..5).filter(|turn| world.serve(turn % HOSTS)).count();
            (0..HOSTS).for_each(|host| world.hold_off(host));
            world.now += Duration::from_secs(1);
            (0..HOSTS).for_each(|host| world.kill(host));
            world.settle_down();
        }
        served += (0..60).filter(|turn| world.serve(turn % HOSTS)).count();
        let quarter = MAX_OUTPUT_TOKENS / 4;
        let expected = (budget - MAX_OUTPUT_TOKENS) / quarter + 1;
        assert_eq!(served as u64, expected, "budget of {turns_of_budget}");
    }
}

/// Hosts that stop are killed before they have given up their slots.
#[test]
fn deaths_of_owners_that_were_stopping_cost_no_budget() {
    let budget = 8 * MAX_OUTPUT_TOKENS;
    let mut world = World::new(HOSTS, budget);
    (0..HOSTS).for_each(|host| world.hold_off(host));
    world.now += Duration::from_millis(1_200);
    (0..HOSTS).for_each(|host| world.begin_stop(host));
    (0..HOSTS).for_each(|host| world.hold_off(host));
    world.now += Duration::from_millis(600);
    (0..HOSTS).for_each(|host| world.kill(host));
    world.settle_down();
    let served = (0..60).filter(|turn| world.serve(turn % HOSTS)).count();
    assert_eq!(
        served as u64,
        (budget - MAX_OUTPUT_TOKENS) / (MAX_OUTPUT_TOKENS / 4) + 1
    );
}

/// All hosts die, and the store is away soon after they are back.
#[test]
fn an_outage_after_a_death_of_all_owners_is_served() {
    let mut world = World::new(HOSTS, 4 * MAX_OUTPUT_TOKENS);
    (0..HOSTS).for_each(|host| world.hold_off(host));
    world.now += Duration::from_secs(1);
    (0..HOSTS).for_each(|host| world.kill(host));
    world.settle_down();
    (0..HOSTS).for_each(|host| world.hold_off(host));
    world.is_store_up = false;
    assert!(!world.serve(0), "the owners hold off");
    world.now += HOLD_OFF;
    let served = (0..8).filter(|turn| world.serve(turn % HOSTS)).count();
    assert!(served >= 4, "{served} turns");
}

/// A host is cut off from a store that answers the owners.
#[test]
fn an_owner_that_is_asked_ends_its_hold_off() {
    let budget = 4 * MAX_OUTPUT_TOKENS;
    let mut world = World::new(HOSTS, budget);
    (0..HOSTS).for_each(|host| world.hold_off(host));
    assert!(!world.want(0), "the owners hold off");
    (0..HOSTS).for_each(|host| world.end_hold_off(host));
    assert!(world.want(0));
    // What was granted since is lost with the owners, and counts.
    (0..HOSTS).for_each(|host| world.hold_off(host));
    while world.want(0) {}
    (0..HOSTS).for_each(|host| world.kill(host));
    world.settle_down();
    world.spend(0);
    let handed_out = world.handed_out;
    assert!(
        handed_out <= budget + MAX_OUTPUT_TOKENS,
        "{handed_out} of {budget}"
    );
}

#[test]
fn a_death_keeps_what_was_closed() {
    let budget = 4 * MAX_OUTPUT_TOKENS;
    let mut world = World::new(HOSTS, budget);
    world.spend(0);
    assert!(
        world.handed_out + MAX_OUTPUT_TOKENS > budget,
        "{}",
        world.handed_out
    );
    (0..HOSTS).for_each(|host| world.hold_off(host));
    (0..HOSTS).for_each(|host| world.kill(host));
    world.settle_down();
    world.is_store_up = false;
    assert!(!world.serve(0));
}

/// What was granted is lost with an owner that held off no more.
#[test]
fn a_death_after_the_hold_off_leaves_the_slots_without_an_owner() {
    let mut world = World::new(HOSTS, 4 * MAX_OUTPUT_TOKENS);
    (0..HOSTS).for_each(|host| world.hold_off(host));
    world.now += HOLD_OFF + Duration::from_millis(1);
    (0..HOSTS).for_each(|host| world.kill(host));
    world.settle_down();
    world.is_store_up = false;
    assert!(!world.serve(0));
}

/// Hosts granted in an outage and die after it, before the ledger has what they granted.
#[test]
fn an_owner_whose_grants_no_ledger_has_does_not_hold_off() {
    let budget = 4 * MAX_OUTPUT_TOKENS;
    let mut world = World::new(HOSTS, budget);
    world.is_store_up = false;
    world.spend(0);
    assert!(world.handed_out > MAX_OUTPUT_TOKENS, "{}", world.handed_out);
    world.is_store_up = true;
    world.now += DEMAND_TIME;
    (0..HOSTS).for_each(|host| world.hold_off(host));
    (0..HOSTS).for_each(|host| world.kill(host));
    world.settle_down();
    world.spend(0);
    let handed_out = world.handed_out;
    assert!(
        handed_out <= budget + MAX_OUTPUT_TOKENS,
        "{handed_out} of {budget}"
    );
}

/// An owner says that the slot is closed and dies; the reservation that rests on it comes
/// to the store after the next owner has read which programs are closed.
#[test]
fn a_reservation_that_rests_on_a_dead_owner_s_word_is_not_written() {
    let budget = 4 * MAX_OUTPUT_TOKENS;
    let mut world = World::new(HOSTS, budget);
    while world.spent() + 2 * MAX_OUTPUT_TOKENS <= budget {
        assert!(world.serve(0));
    }
    (0..HOSTS).for_each(|host| world.hold_off(host));
    assert!(world.begin(0));
    world.is_store_up = false;
    world.send(0, false);
    world.is_store_up = true;
    (0..HOSTS).for_each(|host| world.kill(host));
    world.settle_down();
    let ledger = world.ledger();
    world.arrive_late(0);
    assert_eq!(world.ledger(), ledger);
}

#[test]
fn an_outage_leaves_the_rest_of_the_budget() {
    let budget = 8 * MAX_OUTPUT_TOKENS;
    let mut world = World::new(HOSTS, budget);
    let quarter = MAX_OUTPUT_TOKENS / 4;
    world.is_store_up = false;
    let in_outage = (0..6).filter(|turn| world.serve(turn % HOSTS)).count();
    world.is_store_up = true;
    (0..HOSTS).for_each(|host| world.flush(host));
    let after = (0..60).filter(|turn| world.serve(turn % HOSTS)).count();
    let expected = (budget - MAX_OUTPUT_TOKENS) / quarter + 1;
    assert_eq!((in_outage + after) as u64, expected);
}

#[test]
fn a_closed_slot_grants_nothing_and_a_grant_keeps_it_open() {
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
    assert_eq!(accounts.close("p"), Closing::Outstanding(MAX_OUTPUT_TOKENS));
    assert!(!accounts.grant("p", &request("h", 1)));
    accounts.report("p", "g", 70);
    assert_eq!(accounts.close("p"), Closing::Outstanding(70));
    accounts.settle("p", "g");
    assert_eq!(accounts.close("p"), Closing::Closed);
    assert!(!accounts.grant("p", &request("i", 1)));
    assert!(accounts.grant("other", &request("j", MAX_OUTPUT_TOKENS)));
}

#[test]
fn a_slot_is_known_by_the_key_of_its_row() {
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
