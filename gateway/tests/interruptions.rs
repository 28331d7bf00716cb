//! The last log line of a request whose answer ended before it was complete.

mod support;

use http_body_util::BodyExt;
use rosebend_standin::backend::BackendFaults;
use rosebend_transport::connection::Connection;
use support::{Gateway, Site, TestRequest, wait_until};

const MODELS: usize = 0;
const EVENT_BYTES: usize = 19;

/// Starts a gateway whose model endpoint has faults.
async fn start_with(faults: &BackendFaults) -> (Site, Gateway) {
    let (site, gateway) = Site::start_with_gateway().await;
    site.set_endpoint_faults(MODELS, faults).await;
    (site, gateway)
}

/// Returns the reason in the last line of an attempt.
async fn last_reason(gateway: &Gateway, attempt: &str) -> String {
    let reason = || {
        let ended = gateway.events("request-ended");
        let last = ended.into_iter().find(|event| event["attempt"] == attempt);
        last.and_then(|event| event["reason"].as_str().map(str::to_owned))
    };
    wait_until("the request's end is in the log", async || {
        reason().is_some()
    })
    .await;
    reason().unwrap()
}

/// Guards against early ends with different causes that have the same reason.
#[actix_rt::test]
async fn the_last_line_says_why_an_answer_ended_early() {
    let one_event = BackendFaults {
        break_at_bytes: EVENT_BYTES,
        ..BackendFaults::default()
    };
    let breaks_off = BackendFaults {
        break_streams: 1,
        ..one_event.clone()
    };
    let silent = BackendFaults {
        stall_streams: 1,
        ..one_event
    };
    for (faults, expected) in [(breaks_off, "endpoint-failed"), (silent, "time-is-up")] {
        let (_site, gateway) = start_with(&faults).await;
        let turn = TestRequest::turn("t1", "p1", "x").header("deadline-ms", "2000");
        let answer = turn.send(gateway.front).await;
        assert_eq!((answer.status, answer.is_complete), (200, false));
        assert_eq!(last_reason(&gateway, "t1").await, expected);
        let counted = format!("interrupted_answers_total{{reason=\"{expected}\"}}");
        assert_eq!(gateway.metric(&counted).await, 1);
    }
}

/// Guards against a request that ends with the process and looks as if its caller had left.
#[actix_rt::test]
async fn the_last_line_tells_the_end_of_the_process_from_a_caller_that_left() {
    let slow = BackendFaults {
        delay_ms: 200,
        events: 20,
        ..BackendFaults::default()
    };
    let (_site, mut gateway) = start_with(&slow).await;
    gateway.change_settings("stop_grace_s = 8", "stop_grace_s = 1");
    gateway.signal("HUP");
    wait_until("the settings are applied", async || {
        !gateway.events("settings-taken").is_empty()
    })
    .await;
    let mut connection = Connection::open(gateway.front).await.unwrap();
    let turn = TestRequest::turn("t1", "p1", "x").request();
    let response = connection.send(turn).await.unwrap();
    gateway.signal("TERM");
    assert_eq!(gateway.exit_code().await, Some(0));
    assert!(response.into_body().collect().await.is_err());
    assert_eq!(last_reason(&gateway, "t1").await, "process-stopped");
}
