//! The metrics page.

use std::time::Duration;

use rosebend_protocol::peer::RefusalReason;
use rosebend_transport::metrics_page::{
    Metrics, PlatformOutcome, PlatformRequest, Quantity, Timing, refusal_label,
};

#[test]
fn the_page_shows_what_was_counted_by_any_clone() {
    let metrics = Metrics::new();
    let clone = metrics.clone();
    clone.count_refusal(refusal_label(RefusalReason::QueueFull));
    clone.count_retry("endpoint-crashed");
    clone.count_platform(PlatformRequest::Transact, PlatformOutcome::NoAnswer);
    clone.observe(Timing::FirstToken, Duration::from_millis(300));
    clone.set(Quantity::ConfigRevision, 12);

    let page = metrics.page();
    let lines = [
        "rosebend_refusals_total{reason=\"queue-full\"} 1",
        "rosebend_refusals_total{reason=\"quarantined\"} 0",
        "rosebend_retries_total{reason=\"endpoint-crashed\"} 1",
        "rosebend_platform_requests_total{request=\"transact\",outcome=\"no-answer\"} 1",
        "rosebend_first_token_seconds_count 1",
        "rosebend_config_revision 12",
        "rosebend_holds 0",
    ];
    for line in lines {
        assert!(page.lines().any(|found| found == line), "{line} in\n{page}");
    }
    assert!(page.ends_with("# EOF\n"));
}

#[test]
fn every_refusal_reason_has_its_counter_from_the_start() {
    let page = Metrics::new().page();
    let counters = page.matches("rosebend_refusals_total{").count();
    assert_eq!(counters, RefusalReason::Invalid as usize);
    assert!(RefusalReason::try_from(RefusalReason::Invalid as i32 + 1).is_err());
}
