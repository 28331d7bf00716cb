//! Tests the retry times that callers receive.

use std::time::Duration;

use rosebend_coordination::gateway::retry_after::after_outage;

#[test]
fn the_retry_time_follows_the_length_of_the_outage() {
    let cases = [(0, 250), (100, 250), (400, 400), (999, 999), (7_000, 1_000)];
    for (outage_ms, retry_ms) in cases {
        let retry_after = after_outage(Duration::from_millis(outage_ms));
        assert_eq!(
            retry_after,
            Duration::from_millis(retry_ms),
            "{outage_ms} ms outage"
        );
    }
}
