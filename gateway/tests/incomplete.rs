//! Answers of endpoints that end before they are complete, with each way to frame a body.
//! An answer that ends within an event is incomplete, even if its framing says otherwise.

mod support;

use rosebend_standin::backend::BackendFaults;
use support::{Gateway, Site, TestRequest, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const MODELS: usize = 0;
const DESK: usize = 1;
const EVENTS: &str = "id: 0\ndata: word0\n\nid: 1\ndata: word1\n\nid: 2\ndata: word2\n\n";
const EVENT_BYTES: usize = 19;
/// Metric that counts the answers that ended before they were complete.
const TRUNCATIONS: &str = "endpoint_failures_total{reason=\"truncated\"}";
const OUTPUT: &str = "word0\nword1\nword2\n";

/// Streams that end within an event: with neither a length nor chunks, and with a last
/// chunk.
fn ends_within_event() -> [(&'static str, BackendFaults); 2] {
    let at = BackendFaults {
        break_at_bytes: EVENT_BYTES + 6,
        ..BackendFaults::default()
    };
    let close_delimited = BackendFaults {
        break_streams: 1,
        unframed: 1,
        ..at.clone()
    };
    let chunked = BackendFaults {
        end_streams: 1,
        ..at
    };
    [("close-delimited", close_delimited), ("chunked", chunked)]
}

fn unframed() -> BackendFaults {
    BackendFaults {
        unframed: 1,
        ..BackendFaults::default()
    }
}

/// Starts a gateway whose model endpoint has faults.
async fn start_with(faults: &BackendFaults) -> (Site, Gateway) {
    let (site, gateway) = Site::start_with_gateway().await;
    site.set_endpoint_faults(MODELS, faults).await;
    (site, gateway)
}

#[actix_rt::test]
async fn a_close_delimited_answer_is_complete_and_logged() {
    let (site, gateway) = start_with(&unframed()).await;
    let turn = TestRequest::turn("t1", "p1", "first|");
    let answer = turn.send(gateway.front).await;
    let got = (answer.status, answer.body.as_str(), answer.is_complete);
    assert_eq!(got, (200, EVENTS, true));
    let next = TestRequest::turn("t2", "p1", "second|").previous("t1");
    assert_eq!(next.send(gateway.front).await.status, 200);
    let expected = format!("first|{OUTPUT}second|");
    assert_eq!(site.runs(MODELS).await["t2"].body, expected);
    site.set_endpoint_faults(DESK, &unframed()).await;
    let answer = TestRequest::lookup("a1").send(gateway.front).await;
    let got = (answer.status, answer.body.as_str(), answer.is_complete);
    assert_eq!(got, (200, "answer to a1", true));
    assert_eq!(gateway.metric("close_delimited_answers_total").await, 2);
    // Events are logged asynchronously.
    let framing_of = |attempt: &str| {
        let served = gateway.events("request-served");
        let served = served.iter().find(|event| event["attempt"] == attempt);
        served.map(|event| event["framing"].as_str().map(str::to_owned))
    };
    wait_until("the requests are logged", async || {
        ["t1", "t2", "a1"].iter().all(|a| framing_of(a).is_some())
    })
    .await;
    let framings = ["t1", "t2", "a1"].map(|attempt| framing_of(attempt).unwrap());
    let close = Some("close".to_owned());
    assert_eq!(framings, [close.clone(), None, close]);
}

/// Guards against an answer that the endpoint broke off within an event and that its caller
/// received as a complete one.
#[actix_rt::test]
async fn a_stream_that_ends_within_an_event_is_incomplete_for_its_caller() {
    for path in ["/stream/turn", "/unkept/stream/turn"] {
        for (framing, faults) in ends_within_event() {
            let (site, gateway) = start_with(&faults).await;
            let turn = TestRequest::turn("t1", "p1", "x").at_path(path);
            let answer = turn.send(gateway.front).await;
            let got = (answer.status, answer.is_complete);
            assert_eq!(got, (200, false), "{path}, {framing}");
            assert_eq!(answer.body, EVENTS[..EVENT_BYTES], "{path}, {framing}");
            assert_eq!(site.run_count("t1").await, 1, "{path}, {framing}");
            assert_eq!(gateway.metric(TRUNCATIONS).await, 1, "{path}, {framing}");
        }
    }
}

/// Guards against a turn that goes on from an output that the endpoint broke off within an
/// event.
#[actix_rt::test]
async fn a_turn_that_ends_within_an_event_is_not_part_of_the_history() {
    for (framing, faults) in ends_within_event() {
        let (_site, gateway) = start_with(&faults).await;
        let turn = TestRequest::turn("t1", "p1", "first|");
        turn.send(gateway.front).await;
        let next = TestRequest::turn("t2", "p1", "second|").previous("t1");
        assert_eq!(next.send(gateway.front).await.status, 404, "{framing}");
    }
}

/// Guards against an empty answer in place of one whose connection was closed before its
/// first event.
#[actix_rt::test]
async fn a_close_delimited_stream_without_an_event_is_incomplete() {
    let faults = BackendFaults {
        break_streams: 1,
        ..unframed()
    };
    let (site, gateway) = start_with(&faults).await;
    let turn = TestRequest::turn("t1", "p1", "x");
    assert_eq!(turn.send(gateway.front).await.status, 502);
    assert_eq!(site.run_count("t1").await, 1);
    assert_eq!(gateway.metric(TRUNCATIONS).await, 1);
}

/// Guards against a broken-off answer whose end a caller without chunked bodies can't tell
/// from a regular one.
#[actix_rt::test]
async fn a_caller_without_chunks_gets_no_part_of_an_answer() {
    let table = [
        ("whole", BackendFaults::default(), "200"),
        ("broken off", ends_within_event()[0].1.clone(), "502"),
    ];
    for (name, faults, status) in table {
        let (_site, gateway) = start_with(&faults).await;
        let head = "POST /unkept/stream/turn HTTP/1.0\r\nhost: desk.example\r\nattempt-id: t1\r\n";
        let request = format!("{head}content-length: 1\r\n\r\nx");
        let mut stream = TcpStream::connect(gateway.front).await.unwrap();
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.unwrap();
        let (head, body) = answer.split_once("\r\n\r\n").unwrap();
        assert!(
            head.starts_with(&format!("HTTP/1.0 {status} ")),
            "{name}: {head}"
        );
        assert!(!head.contains("transfer-encoding"), "{name}: {head}");
        let length = format!("content-length: {}", body.len());
        assert!(head.contains(&length), "{name}: {head}");
        match status {
            "200" => assert_eq!(body, EVENTS, "{name}"),
            _ => assert!(body.contains("outcome-unknown"), "{name}: {body}"),
        }
    }
}
