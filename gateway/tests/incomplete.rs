//! Answers of endpoints that end before they are complete, with each way to frame a body.
//! An answer that ends within an event is incomplete, even if its framing says otherwise.

mod support;

use rosebend_standin::backend::BackendFaults;
use support::{Gateway, Site, TestRequest, wait_until};

const MODELS: usize = 0;
const DESK: usize = 1;
const EVENTS: &str = "id: 0\ndata: word0\n\nid: 1\ndata: word1\n\nid: 2\ndata: word2\n\n";
const OUTPUT: &str = "word0\nword1\nword2\n";

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
