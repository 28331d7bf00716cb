//! The level that separates customers within their share from those above it, compared with
//! another calculation of the max-min shares.

mod engine_scheduler_sim;

use std::time::Duration;

use engine_scheduler_sim::{HOST, START_MS, engine, scheduler, start, turn};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::Config;
use rosebend_coordination::gateway::admission::Urgency;
use rosebend_coordination::gateway::engine_scheduler::message::{
    AdmissionOutcome, AdmissionRefusal, AdmissionRequest, PlacementOutcome, PlacementRequest,
};

const NOW: Duration = Duration::from_millis(START_MS);

/// Returns the level of the max-min shares by bisection.
fn level(demands: &[f64], slots: f64) -> f64 {
    let (mut low, mut high) = (0.0, slots);
    for _ in 0..50 {
        let middle = (low + high) / 2.0;
        let used: f64 = demands.iter().map(|demand| demand.min(middle)).sum();
        (low, high) = if used <= slots {
            (middle, high)
        } else {
            (low, middle)
        };
    }
    low
}

/// Places turns of the given customers on ten slots and asks for a program of each. Checks
/// that exactly the customers above the level are refused for it.
fn check_shares(turns: &[usize], asks: &[usize], urgency: Urgency) {
    let mut scheduler = scheduler(vec![engine("engine", 10, 100)]);
    let host = HOST.to_owned();
    let (mut held, mut demands) = ([0.0; 4], [0.0; 4]);
    let mut is_waiting = false;
    for (number, customer) in turns.iter().enumerate() {
        let request = PlacementRequest {
            customer: Some(format!("customer-{customer}")),
            priority: urgency,
            objective_ms: 1,
            ..turn(number as u64)
        };
        match scheduler.place(&host, &request, NOW) {
            PlacementOutcome::Assigned(_) => held[*customer] += 1.0,
            outcome => {
                assert!(matches!(outcome, PlacementOutcome::Queued { .. }));
                is_waiting = true;
            }
        }
        demands[*customer] += 1.0;
    }
    let level = level(&demands, 10.0);
    for (number, customer) in asks.iter().enumerate() {
        let request = AdmissionRequest {
            customer: Some(format!("customer-{customer}")),
            priority: urgency,
            // Any wait is longer than the allowed one, so that the reason of each refusal
            // shows on which side of the level the customer is.
            objective_ms: 1,
            ..start(1_000 + number as u64)
        };
        let outcome = scheduler.admit(&host, &request, NOW);
        let is_over_share = matches!(
            outcome,
            AdmissionOutcome::Refused {
                reason: AdmissionRefusal::OverShare,
                ..
            }
        );
        let is_above = is_waiting && held[*customer] > level + 1e-6;
        assert_eq!(
            is_over_share, is_above,
            "{customer}: {outcome:?}, level {level}"
        );
    }
}

proptest! {
    #![proptest_config(Config { cases: 300, failure_persistence: None, ..Config::default() })]

    #[test]
    fn only_customers_above_the_level_are_refused_for_it(
        turns in vec(0..4_usize, 0..30),
        asks in Just(vec![0, 1, 2, 3]).prop_shuffle(),
        urgency in prop_oneof![
            Just(Urgency::Normal),
            Just(Urgency::Route),
            Just(Urgency::Customer),
            Just(Urgency::Both),
        ],
    ) {
        check_shares(&turns, &asks, urgency);
    }
}
