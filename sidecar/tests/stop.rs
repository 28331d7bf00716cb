//! A planned stop cuts nothing and refuses truthfully.

mod support;

use rosebend_protocol::peer::{AcknowledgeRequest, RefusalReason, StatusRequest};
use support::{
    Client, TestSidecar, dispatch, fake::Fake, fence, incarnation, model_call, read_all, resume,
    tool_call,
};

const CALL: &str = "coastal/dispatch-4#1";

async fn until_leaving(client: &mut Client) {
    loop {
        let reply = client.status(StatusRequest::default()).await.unwrap();
        if reply.into_inner().load.unwrap().leaving {
            return;
        }
    }
}

#[actix_rt::test]
async fn a_stopping_sidecar_refuses_new_calls_and_ends_those_in_flight() {
    let service = Fake::start();
    service.close_gate();
    let more = "max_running = 1\nstop_timeout_ms = 600000";
    let mut sidecar = TestSidecar::start("service", service.address, more);
    let mut client = sidecar.client().await;
    let run = incarnation(&mut client).await;

    let running = client.dispatch(tool_call(CALL, &run)).await.unwrap();
    let waiting = tool_call("coastal/dispatch-5#1", &run);
    let waiting = client.dispatch(waiting).await.unwrap();
    service.until(|state| state.effects.len() == 1).await;
    sidecar.stop();
    until_leaving(&mut client).await;

    let new = tool_call("coastal/dispatch-6#1", &run);
    for refusal in [
        dispatch(&mut client, new).await.refusal,
        read_all(waiting.into_inner()).await.refusal,
    ] {
        assert_eq!(refusal.unwrap().reason(), RefusalReason::Leaving);
    }
    service.open_gate();
    let told = read_all(running.into_inner()).await;
    assert_eq!(told.finished.unwrap().status, 200);

    // It stays, on new connections too, until the answer is acknowledged.
    let mut late = sidecar.client().await;
    assert_eq!(resume(&mut late, CALL, 0, 2).await.parts, ["\"done\""]);
    let request = AcknowledgeRequest {
        fence: fence(2),
        call_ids: vec![CALL.to_owned()],
    };
    late.acknowledge(request).await.unwrap();
    sidecar.stopped().await;
    assert_eq!(service.set(|state| state.effects.len()), 1);
}

#[actix_rt::test]
async fn a_stream_in_flight_ends_whole() {
    let engine = Fake::start();
    engine.close_gate();
    let mut sidecar = TestSidecar::start("engine", engine.address, "");
    let mut client = sidecar.client().await;
    let run = incarnation(&mut client).await;
    let stream = client.dispatch(model_call(CALL, &run, 30)).await.unwrap();
    engine.until(|state| state.posts.len() == 1).await;
    sidecar.stop();
    until_leaving(&mut client).await;
    engine.open_gate();
    let told = read_all(stream.into_inner()).await;
    assert_eq!(told.offsets, (0..31).collect::<Vec<_>>());
    assert!(told.finished.is_some());
    sidecar.stopped().await;
}
