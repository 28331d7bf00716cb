//! When callers are told to come back.

use std::time::Duration;

use rosebend_coordination::gateway::retry_after::after_outage;

#[test]
fn callers_come_back_after_as_long_as_the_store_was_away() {
    let cases = [(0, 250), (100, 250), (400, 400), (999, 999), (7_000, 1_000)];
    for (away_ms, wait_ms) in cases {
        let wait = after_outage(Duration::from_millis(away_ms));
        assert_eq!(wait, Duration::from_millis(wait_ms), "{away_ms} ms away");
    }
}
