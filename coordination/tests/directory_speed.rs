//! Tests the selection in services whose endpoints report a speed.
//!
//! The load is that of 32 hosts whose reports are 0 to 1.5 s old, before endpoints of
//! unequal speed of which 15 % are slower by 2.5 at any moment. With the reports dropped,
//! as in an earlier version, turns went to slow endpoints; with each report believed until
//! it was 1.5 s old, all hosts selected the endpoint whose last report was low.

mod speed_sim;

use std::collections::HashMap;
use std::time::Duration;

use proptest::prelude::*;
use rosebend_coordination::gateway::directory::{CompletedTurn, Directory, EndpointQuery};
use rosebend_state::deployment::{EndpointIdentity, EndpointLoad, EndpointRecord};
use speed_sim::{Load, Outcome, Policy, run};

const NOW: Duration = Duration::from_secs(100);
const ZONE: &str = "newport-hall";
const SEEDS: [u64; 3] = [1, 2, 3];
/// Turns with the factors 70 and 170 at engines.
const ENGINES: Load = Load {
    hosts: 32,
    endpoints: 46,
    slots: 6,
    percents: [70, 170],
    slow_every: 7,
    are_turns: true,
    peers: 0,
    utilization: 0.6,
    duration: Duration::from_secs(9),
};
/// Requests with the factors 100 and 250 at tool endpoints.
const TOOLS: Load = Load {
    endpoints: 35,
    percents: [100, 250],
    slow_every: 5,
    are_turns: false,
    ..ENGINES
};

/// Checks the bounds that callers need, which do not depend on the measured figures.
fn check(load: Load) {
    for seed in SEEDS {
        let [blind, new, exact] = [Policy::Blind, Policy::ExpectedTime, Policy::ExactKnowledge]
            .map(|policy| run(load, policy, seed));
        let results = format!("seed {seed}\nblind {blind:?}\nnew {new:?}\nexact {exact:?}");
        // A program has its target of 1.2 to 1.3 times its time on idle engines for more
        // than its turns.
        assert!(new.mean_ms <= exact.mean_ms * 1.15, "{results}");
        assert!(new.mean_ms < blind.mean_ms, "{results}");
        assert!(new.p95_ms <= blind.p95_ms, "{results}");
        check_queues(&new, &results);
    }
}

fn check_queues(outcome: &Outcome, results: &str) {
    // Each host has received a report of the queue by then.
    assert_eq!(outcome.waited_behind_old_queue, 0, "{results}");
    // Fewer than one of 20 programs of 11 turns waits for a whole round of the slots.
    let per_turn = 1.0 / (20.0 * 11.0);
    let share = outcome.waited_a_round as f64 / outcome.requests as f64;
    assert!(share < per_turn, "{results}");
}

#[test]
fn turns_end_soon_at_engines_of_unequal_speed() {
    check(ENGINES);
}

#[test]
fn turns_end_soon_if_hosts_forward_reports_to_their_peers() {
    check(Load {
        peers: 8,
        ..ENGINES
    });
}

#[test]
fn requests_end_soon_if_hosts_forward_reports_to_their_peers() {
    check(Load { peers: 8, ..TOOLS });
}

#[test]
fn requests_end_soon_at_tool_endpoints_of_unequal_speed() {
    check(TOOLS);
}

fn id(instance: &str) -> EndpointIdentity {
    EndpointIdentity::unknown_start(instance)
}

fn directory(endpoints: usize) -> Directory {
    let mut directory = Directory::new(ZONE.to_owned());
    for endpoint in 0..endpoints {
        let record = EndpointRecord {
            identity: id(&format!("e{endpoint}")),
            service: "models".to_owned(),
            address: "127.0.0.1:9".parse().unwrap(),
            availability_zone: ZONE.to_owned(),
            slots: 6,
            draining: false,
            warming_up: Duration::ZERO,
        };
        directory.apply_entry(record, Duration::ZERO);
    }
    directory
}

fn load(running: u32, waiting: u32, work_time_percent: Option<u32>) -> EndpointLoad {
    EndpointLoad {
        running,
        waiting,
        slots: 6,
        work_time_percent,
    }
}

/// Returns how often each endpoint is selected for a thousand turns.
fn shares(directory: &Directory, now: Duration) -> HashMap<String, u32> {
    let mut shares = HashMap::new();
    for number in 0..1_000 {
        let query = EndpointQuery {
            is_turn: true,
            expected_output_tokens: Some(100),
            jitter_key: &format!("attempt-{number}"),
            ..EndpointQuery::default()
        };
        let chosen = directory.select("models", query, now, |_| true).unwrap();
        let instance = chosen.record.identity.instance.clone();
        *shares.entry(instance).or_default() += 1;
    }
    shares
}

/// Guards against a queue at one endpoint because all hosts have the same reports: of 32
/// requests at the same moment, more than 12 at an endpoint of 6 slots wait for more than
/// one round.
#[test]
fn requests_of_hosts_with_the_same_reports_are_spread() {
    let mut directory = directory(46);
    for endpoint in 0..46_u64 {
        let at = NOW - Duration::from_millis(endpoint * 32);
        let percent = if endpoint % 7 == 0 { 170 } else { 70 };
        directory.record_report(&id(&format!("e{endpoint}")), load(3, 0, Some(percent)), at);
    }
    let shares = shares(&directory, NOW);
    let largest = shares.values().max().unwrap();
    assert!(*largest * 32 <= 12 * 1_000, "{shares:?}");
    assert!(!shares.contains_key("e7"), "{shares:?}");
}

/// Guards against hosts that select engines by themselves and all follow the same reports:
/// an engine that reports no load gets no more turns than one that reports a queue.
#[test]
fn turns_that_ignore_reported_loads_are_spread_over_all_engines() {
    let mut directory = directory(2);
    directory.record_report(&id("e0"), load(6, 18, Some(70)), NOW);
    directory.record_report(&id("e1"), load(0, 0, Some(170)), NOW);
    let mut selected = [0, 0];
    for number in 0..1_000 {
        let query = EndpointQuery {
            is_turn: true,
            ignores_reported_load: true,
            jitter_key: &format!("attempt-{number}"),
            ..EndpointQuery::default()
        };
        let chosen = directory.select("models", query, NOW, |_| true).unwrap();
        selected[usize::from(chosen.record.identity.instance == "e1")] += 1;
    }
    assert!(selected.iter().all(|turns| *turns > 400), "{selected:?}");
}

/// Guards against an endpoint without a recent report that counts as idle.
#[test]
fn an_endpoint_without_reports_counts_as_loaded_as_the_others() {
    let mut directory = directory(4);
    for endpoint in ["e0", "e1", "e2"] {
        directory.record_report(&id(endpoint), load(6, 12, Some(100)), NOW);
    }
    let shares = shares(&directory, NOW);
    assert!(shares["e3"] < 500, "{shares:?}");
}

/// Guards against an endpoint that stays out of use after it has recovered.
#[test]
fn a_slow_endpoint_is_tried_again_after_a_time_without_reports() {
    let mut directory = directory(2);
    directory.record_report(&id("e0"), load(0, 0, Some(100)), NOW);
    directory.record_report(&id("e1"), load(0, 0, Some(425)), NOW);
    assert_eq!(shares(&directory, NOW).get("e1"), None);
    let later = NOW + Duration::from_secs(120);
    directory.record_report(&id("e0"), load(0, 0, Some(100)), later);
    assert!(shares(&directory, later).contains_key("e1"));
}

#[test]
fn a_service_is_selected_as_before_without_speeds_of_the_last_five_seconds() {
    let (mut with_speeds, mut without) = (directory(2), directory(2));
    for (endpoint, running) in [("e0", 0), ("e1", 5)] {
        with_speeds.record_report(&id(endpoint), load(running, 0, Some(400)), NOW);
        without.record_report(&id(endpoint), load(running, 0, None), NOW);
    }
    // A request in flight costs 5 ms, so that no two costs with jitter are the same.
    with_speeds.record_request_start(&id("e0"));
    without.record_request_start(&id("e0"));
    let soon = NOW + Duration::from_millis(4_999);
    assert_ne!(shares(&with_speeds, soon), shares(&without, soon));
    let late = NOW + Duration::from_secs(5);
    assert_eq!(shares(&with_speeds, late), shares(&without, late));
}

/// Guards against long turns at slow engines: the difference between two engines grows
/// with the expected output, so that a queue at the fast one is worth the wait.
#[test]
fn a_long_turn_waits_for_a_fast_engine_and_a_short_one_does_not() {
    let mut directory = directory(2);
    for (output_tokens, duration_ms) in [(20, 80), (200, 440), (400, 840), (100, 240)] {
        let turn = CompletedTurn {
            prompt_tokens: 100,
            output_tokens,
            first_event: Duration::from_millis(40),
            duration: Duration::from_millis(duration_ms),
        };
        directory.record_turn(&id("e0"), &turn, NOW);
    }
    directory.record_report(&id("e0"), load(6, 6, Some(70)), NOW);
    directory.record_report(&id("e1"), load(0, 0, Some(170)), NOW);
    let chosen = |tokens| {
        let query = EndpointQuery {
            is_turn: true,
            expected_output_tokens: Some(tokens),
            ..EndpointQuery::default()
        };
        let chosen = directory.select("models", query, NOW, |_| true).unwrap();
        chosen.record.identity.instance.clone()
    };
    assert_eq!(chosen(10), "e1");
    assert_eq!(chosen(600), "e0");
}

proptest! {
    /// Any process can send a datagram and any endpoint a header, so no figures may stop a
    /// gateway.
    #[test]
    fn no_figures_stop_the_selection(
        reports in prop::collection::vec(
            (0..4_usize, any::<u32>(), any::<u32>(), any::<Option<u32>>(), any::<u32>()),
            0..12,
        ),
        turns in prop::collection::vec((any::<u64>(), any::<u64>(), any::<u32>(), any::<u32>()), 0..6),
        tokens in any::<(u64, Option<u64>, u64)>(),
        is_turn in any::<bool>(),
    ) {
        let mut directory = directory(4);
        directory.record_report(&id("e0"), load(0, 0, Some(100)), NOW);
        for (endpoint, running, waiting, percent, at_ms) in reports {
            let at = Duration::from_millis(u64::from(at_ms));
            let load = load(running, waiting, percent);
            directory.record_peer_report(&id(&format!("e{endpoint}")), load, at);
        }
        for (prompt_tokens, output_tokens, first_ms, ms) in turns {
            let turn = CompletedTurn {
                prompt_tokens,
                output_tokens,
                first_event: Duration::from_millis(u64::from(first_ms)),
                duration: Duration::from_millis(u64::from(ms)),
            };
            directory.record_turn(&id("e1"), &turn, NOW);
        }
        let (prompt_tokens, expected_output_tokens, warm_tokens) = tokens;
        let warm = id("e1");
        let query = EndpointQuery {
            warm_endpoint: Some(&warm),
            warm_tokens,
            prompt_tokens,
            expected_output_tokens,
            is_turn,
            ..EndpointQuery::default()
        };
        let chosen = directory.select("models", query, NOW, |_| true).unwrap();
        prop_assert!(chosen.work_time_percent.is_none_or(|percent| percent <= 10_000));
    }
}
