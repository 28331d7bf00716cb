//! Tests that the speed which an endpoint reports reaches the selection and the log.

mod support;

use rosebend_standin::backend::BackendFaults;
use support::{Site, TestRequest, wait_until};

const DESK: usize = 1;

/// Guards against reports with four figures that are dropped, so that no request is
/// selected by them and the log does not show why an endpoint was chosen.
#[actix_rt::test]
async fn the_log_shows_the_speed_by_which_an_endpoint_was_chosen() {
    let (site, gateway) = Site::start_with_gateway().await;
    let slow = BackendFaults {
        delay_ms: 500,
        events: 1,
        work_time_percent: Some(170),
        ..BackendFaults::default()
    };
    site.set_endpoint_faults(DESK, &slow).await;
    // The steps of both requests are logged, because they are late.
    for attempt in ["t1", "t2"] {
        let lookup = TestRequest::lookup(attempt);
        assert_eq!(lookup.send(gateway.front).await.status, 200);
    }
    let chosen = |attempt: &str| {
        let events = gateway.events("endpoint-chosen");
        events
            .into_iter()
            .find(|event| event["attempt"] == *attempt)
    };
    wait_until("the second request is in the log", async || {
        chosen("t2").is_some()
    })
    .await;
    assert!(chosen("t1").unwrap()["work_time_percent"].is_null());
    let second = chosen("t2").unwrap();
    assert_eq!(second["work_time_percent"], 170);
    assert!(second["expected_ms"].as_u64().is_some(), "{second}");
}
