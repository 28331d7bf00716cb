//! What a replaced sidecar, a full one and one that gets garbage do.

mod support;

use rosebend_protocol::peer::{
    ClaimRequest, FailureReason, RefusalReason, RetainedRequest, claim_reply::Outcome,
};
use support::{
    TestSidecar, dispatch, fake::Fake, fence, incarnation, model_call, read_all, resume, tool_call,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const CALL: &str = "caribmar/renewal-17#1";

#[actix_rt::test]
async fn a_replaced_sidecar_cannot_know_and_runs_nothing_again() {
    let service = Fake::start();
    service.close_gate();
    let first = TestSidecar::start("service", service.address, "");
    let mut client = first.client().await;
    let run = incarnation(&mut client).await;
    let call = tool_call(CALL, &run);
    client.dispatch(call.clone()).await.unwrap();
    service.until(|state| state.effects.len() == 1).await;

    let second = TestSidecar::start("service", service.address, "");
    let mut client = second.client().await;
    let told = resume(&mut client, CALL, 0, 1).await;
    assert!(told.failure.unwrap().may_have_run);
    let claim = ClaimRequest {
        fence: fence(1),
        call_id: CALL.to_owned(),
        incarnation: run,
        attempt: 1,
    };
    let reply = client.claim(claim).await.unwrap().into_inner();
    assert!(matches!(reply.outcome.unwrap(), Outcome::Unknown(_)));
    let refusal = dispatch(&mut client, call).await.refusal.unwrap();
    assert_eq!(refusal.reason(), RefusalReason::OtherIncarnation);
    service.open_gate();
    assert_eq!(service.set(|state| state.effects[CALL]), 1);
}

#[actix_rt::test]
async fn a_full_sidecar_keeps_what_cannot_be_had_again() {
    let service = Fake::start();
    // Room for four expected answers of a tool.
    let limits = "retention_bytes = 65536";
    let sidecar = TestSidecar::start("service", service.address, limits);
    let mut client = sidecar.client().await;
    let run = incarnation(&mut client).await;
    service.close_gate();
    let calls: Vec<_> = (1..6)
        .map(|sequence| tool_call(&format!("caribmar/renewal-17#{sequence}"), &run))
        .collect();
    let mut streams = Vec::new();
    for call in &calls {
        streams.push(client.dispatch(call.clone()).await.unwrap().into_inner());
    }
    let refused = read_all(streams.pop().unwrap()).await.refusal.unwrap();
    assert_eq!(refused.reason(), RefusalReason::RetentionFull);
    assert!(refused.retry_after_ms > 0);
    service.open_gate();
    for stream in streams {
        assert!(read_all(stream).await.finished.is_some());
    }
    let retained = RetainedRequest {
        fences: fence(1).into_iter().collect(),
    };
    let reply = client.retained(retained).await.unwrap().into_inner();
    assert_eq!(reply.calls.len(), 4);
    assert!(reply.calls.iter().all(|call| call.finished));
    assert_eq!(service.set(|state| state.effects.len()), 4);
}

#[actix_rt::test]
async fn answers_that_can_be_had_again_make_room() {
    let engine = Fake::start();
    // Room for the expected answers of two calls of 120 tokens.
    let limits = "retention_bytes = 65536";
    let sidecar = TestSidecar::start("engine", engine.address, limits);
    let mut client = sidecar.client().await;
    let run = incarnation(&mut client).await;
    for sequence in 1..40 {
        let call = model_call(&format!("caribmar/renewal-17#{sequence}"), &run, 120);
        assert!(dispatch(&mut client, call).await.finished.is_some());
    }
    let oldest = resume(&mut client, CALL, 0, 1).await;
    let failure = oldest.failure.unwrap();
    assert_eq!(failure.reason(), FailureReason::Cancelled);
    assert!(failure.may_have_run);
    let newest = resume(&mut client, "caribmar/renewal-17#39", 0, 1).await;
    assert_eq!(newest.parts.len(), 121);
}

#[actix_rt::test]
async fn garbage_is_turned_away_and_the_process_stays_up() {
    let service = Fake::start();
    let sidecar = TestSidecar::start("service", service.address, "");
    let mut client = sidecar.client().await;
    let run = incarnation(&mut client).await;
    let preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".as_slice();
    for garbage in [
        &[0xff; 4096][..],
        b"GET / HTTP/1.1\r\n\r\n",
        &preface[..20],
        preface,
    ] {
        let mut stream = TcpStream::connect(sidecar.bound.listen).await.unwrap();
        stream.write_all(garbage).await.unwrap();
        stream.shutdown().await.unwrap();
        // The sidecar closes it, with or without a word.
        let _ = stream.read_to_end(&mut Vec::new()).await;
    }
    let mut huge = tool_call(CALL, &run);
    huge.body = vec![b' '; 32 << 20].into();
    assert!(client.dispatch(huge).await.is_err());
    let mut client = sidecar.client().await;
    let told = dispatch(&mut client, tool_call(CALL, &run)).await;
    assert!(told.finished.is_some());
    assert_eq!(service.set(|state| state.effects[CALL]), 1);
}
