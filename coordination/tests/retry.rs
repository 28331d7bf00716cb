//! Retries stay a share of first attempts, however many calls fail.

use std::time::Duration;

use rosebend_coordination::retry::{RetryBudget, RetryReason, RetrySettings};

const TARGET: &str = "agent-llm";
const REASON: RetryReason = RetryReason::EndpointDown;

fn settings() -> RetrySettings {
    RetrySettings {
        retries_per_thousand: 100,
        max_saved: 10,
        refill: Duration::from_secs(1),
    }
}

#[test]
fn a_dead_target_gets_a_tenth_more_calls_and_the_reserve() {
    let mut budget = RetryBudget::new(settings());
    for _ in 0..1_000 {
        budget.first_attempt(Duration::ZERO, TARGET);
        // The call fails, and so does each of its retries.
        while budget.try_retry(Duration::ZERO, TARGET, REASON) {}
    }
    let granted = budget.granted()[&REASON];
    assert!((100..=110).contains(&granted), "{granted}");
    assert_eq!(budget.denied()[&REASON], 1_000);
}

#[test]
fn time_refills_up_to_the_reserve_and_targets_are_apart() {
    let mut budget = RetryBudget::new(settings());
    let mut taken = |at_s, target| {
        let at = Duration::from_secs(at_s);
        (0..100)
            .take_while(|_| budget.try_retry(at, target, REASON))
            .count()
    };
    assert_eq!(taken(0, TARGET), 10);
    assert_eq!(taken(3, TARGET), 3);
    assert_eq!(taken(3, "desk-app"), 10);
    assert_eq!(taken(600, TARGET), 10);
}
