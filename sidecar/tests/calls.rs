//! Calls through a sidecar: whole answers, joined messages, claims, refusals.

mod support;

use rosebend_protocol::peer::{
    AcknowledgeRequest, ClaimReply, ClaimRequest, FailureReason, RefusalReason, RetainedRequest,
    claim_reply::Outcome,
};
use support::{
    Client, TestSidecar, dispatch, fake::Fake, fence, incarnation, model_call, read_all, resume,
    tool_call,
};

const CALL: &str = "caribmar/renewal-17#1";

async fn claim(client: &mut Client, call_id: &str, epoch: u64, incarnation: &str) -> Outcome {
    let request = ClaimRequest {
        attempt: 1,
        fence: fence(epoch),
        call_id: call_id.to_owned(),
        incarnation: incarnation.to_owned(),
    };
    let reply: ClaimReply = client.claim(request).await.unwrap().into_inner();
    reply.outcome.unwrap()
}

async fn acknowledge(client: &mut Client, call_id: &str) {
    let request = AcknowledgeRequest {
        fence: fence(1),
        call_ids: vec![call_id.to_owned()],
    };
    client.acknowledge(request).await.unwrap();
}

#[actix_rt::test]
async fn a_streamed_answer_is_whole_and_is_told_again_from_an_offset() {
    let engine = Fake::start();
    let sidecar = TestSidecar::start("engine", engine.address, "");
    let mut client = sidecar.client().await;
    let run = incarnation(&mut client).await;

    let told = dispatch(&mut client, model_call(CALL, &run, 20)).await;
    let finished = told.finished.unwrap();
    assert_eq!(told.admitted, 1);
    assert_eq!(told.offsets, (0..21).collect::<Vec<_>>());
    assert_eq!(told.parts[3], "{\"token\":3}");
    assert_eq!((finished.parts, finished.status), (21, 200));
    assert_eq!(finished.answer_tokens, 20);
    let whole = told.parts.concat();
    assert_eq!(finished.digest, rosebend_util::digest_hex(whole.as_bytes()));

    let again = resume(&mut client, CALL, 15, 1).await;
    assert_eq!(again.offsets, (15..21).collect::<Vec<_>>());
    assert_eq!(again.finished.unwrap().digest, finished.digest);

    acknowledge(&mut client, CALL).await;
    let after = resume(&mut client, CALL, 0, 1).await;
    assert!(after.failure.unwrap().may_have_run);
}

#[actix_rt::test]
async fn a_cut_stream_is_resumed_at_the_engine_without_a_repeated_token() {
    let engine = Fake::start();
    engine.set(|state| state.cut_after = Some(7));
    let sidecar = TestSidecar::start("engine", engine.address, "");
    let mut client = sidecar.client().await;
    let run = incarnation(&mut client).await;

    let told = dispatch(&mut client, model_call(CALL, &run, 20)).await;
    assert_eq!(told.offsets, (0..21).collect::<Vec<_>>());
    assert_eq!(told.parts[7], "{\"token\":7}");
    assert!(told.finished.is_some());
    assert_eq!(
        engine
            .set(|state| state.posts.clone())
            .values()
            .sum::<usize>(),
        1
    );
}

#[actix_rt::test]
async fn a_doubled_dispatch_runs_once_and_both_get_the_answer() {
    let service = Fake::start();
    service.close_gate();
    let sidecar = TestSidecar::start("service", service.address, "");
    let mut client = sidecar.client().await;
    let run = incarnation(&mut client).await;

    let first = client.dispatch(tool_call(CALL, &run)).await.unwrap();
    service.until(|state| state.effects.len() == 1).await;
    let second = client.dispatch(tool_call(CALL, &run)).await.unwrap();
    service.open_gate();
    let first = read_all(first.into_inner()).await;
    let second = read_all(second.into_inner()).await;
    let late = dispatch(&mut client, tool_call(CALL, &run)).await;
    for told in [&first, &second, &late] {
        assert_eq!(told.parts, ["\"done\""]);
        assert_eq!(told.finished.as_ref().unwrap().status, 200);
    }
    assert_eq!(service.set(|state| state.effects[CALL]), 1);
}

#[actix_rt::test]
async fn a_vanished_receiver_stops_nothing() {
    let service = Fake::start();
    service.close_gate();
    let sidecar = TestSidecar::start("service", service.address, "");
    let mut client = sidecar.client().await;
    let run = incarnation(&mut client).await;

    drop(client.dispatch(tool_call(CALL, &run)).await.unwrap());
    service.until(|state| state.effects.len() == 1).await;
    service.open_gate();
    assert_eq!(resume(&mut client, CALL, 0, 1).await.parts, ["\"done\""]);
}

#[actix_rt::test]
async fn a_claim_buries_what_was_never_seen_and_tells_what_was() {
    let service = Fake::start();
    service.close_gate();
    let sidecar = TestSidecar::start("service", service.address, "max_running = 1");
    let mut client = sidecar.client().await;
    let run = incarnation(&mut client).await;
    let queued = "caribmar/renewal-18#1";

    let running = client.dispatch(tool_call(CALL, &run)).await.unwrap();
    let waiting = client.dispatch(tool_call(queued, &run)).await.unwrap();
    service.until(|state| state.effects.len() == 1).await;
    assert!(matches!(
        claim(&mut client, CALL, 2, &run).await,
        Outcome::Running(_)
    ));
    assert!(matches!(
        claim(&mut client, queued, 2, &run).await,
        Outcome::Buried(_)
    ));
    let refusal = read_all(waiting.into_inner()).await.refusal.unwrap();
    assert_eq!(refusal.reason(), RefusalReason::Buried);

    let never = "caribmar/renewal-19#1";
    assert!(matches!(
        claim(&mut client, never, 2, "other").await,
        Outcome::Unknown(_)
    ));
    assert!(matches!(
        claim(&mut client, never, 2, &run).await,
        Outcome::Buried(_)
    ));
    let mut late = tool_call(never, &run);
    late.fence = fence(2);
    let refusal = dispatch(&mut client, late).await.refusal.unwrap();
    assert_eq!(refusal.reason(), RefusalReason::Buried);

    service.open_gate();
    read_all(running.into_inner()).await;
    assert!(matches!(
        claim(&mut client, CALL, 2, &run).await,
        Outcome::Finished(_)
    ));
    assert_eq!(service.set(|state| state.effects.clone()).len(), 1);
}

#[actix_rt::test]
async fn a_stale_owner_and_a_wrong_incarnation_are_refused() {
    let service = Fake::start();
    let sidecar = TestSidecar::start("service", service.address, "");
    let mut client = sidecar.client().await;
    let run = incarnation(&mut client).await;

    let refusal = dispatch(&mut client, tool_call(CALL, "other"))
        .await
        .refusal;
    assert_eq!(refusal.unwrap().reason(), RefusalReason::OtherIncarnation);
    let retained = RetainedRequest {
        fences: fence(5).into_iter().collect(),
    };
    let reply = client.retained(retained).await.unwrap().into_inner();
    assert_eq!(
        (reply.incarnation.as_str(), reply.calls.len()),
        (run.as_str(), 0)
    );
    let refusal = dispatch(&mut client, tool_call(CALL, &run))
        .await
        .refusal
        .unwrap();
    assert_eq!(
        (refusal.reason(), refusal.epoch),
        (RefusalReason::StaleEpoch, 5)
    );
    assert!(service.set(|state| state.effects.is_empty()));
}

#[actix_rt::test]
async fn what_cannot_be_taken_is_refused_at_once() {
    let service = Fake::start();
    service.close_gate();
    let more = "max_running = 1\nqueue_limit = 1";
    let sidecar = TestSidecar::start("service", service.address, more);
    let mut client = sidecar.client().await;
    let run = incarnation(&mut client).await;

    let first = client.dispatch(tool_call(CALL, &run)).await.unwrap();
    service.until(|state| state.effects.len() == 1).await;
    let second = tool_call("caribmar/renewal-17#2", &run);
    let second = client.dispatch(second).await.unwrap();
    let third = tool_call("caribmar/renewal-17#3", &run);
    let refusal = dispatch(&mut client, third.clone()).await.refusal.unwrap();
    assert_eq!(refusal.reason(), RefusalReason::QueueFull);
    assert!(refusal.retry_after_ms > 0);

    service.open_gate();
    read_all(first.into_inner()).await;
    read_all(second.into_inner()).await;
    // The refused message, delayed and come again, has no effect either.
    let refusal = dispatch(&mut client, third.clone()).await.refusal.unwrap();
    assert_eq!(refusal.reason(), RefusalReason::Buried);
    let mut next = third;
    next.attempt = 2;
    assert!(dispatch(&mut client, next).await.finished.is_some());
}

#[actix_rt::test]
async fn bad_messages_are_refused_as_invalid() {
    let engine = Fake::start();
    let sidecar = TestSidecar::start("engine", engine.address, "kv_tokens_limit = 2000");
    let mut client = sidecar.client().await;
    let run = incarnation(&mut client).await;
    let good = model_call(CALL, &run, 20);

    let mut bad = vec![good.clone(); 4];
    bad[0].fence = None;
    bad[1].call_id = "nothing".to_owned();
    bad[2].body = "[1]".into();
    bad[3].attempt = 0;
    for request in bad {
        let refusal = dispatch(&mut client, request).await.refusal.unwrap();
        assert_eq!(refusal.reason(), RefusalReason::Invalid, "{refusal:?}");
    }
    let large = model_call(CALL, &run, 2000);
    let refusal = dispatch(&mut client, large).await.refusal.unwrap();
    assert_eq!(refusal.reason(), RefusalReason::TooLarge);
    let refusal = dispatch(&mut client, tool_call(CALL, &run))
        .await
        .refusal
        .unwrap();
    assert_eq!(refusal.reason(), RefusalReason::UnknownTarget);
    assert!(dispatch(&mut client, good).await.finished.is_some());
}

#[actix_rt::test]
async fn refusal_and_failure_tell_whether_the_endpoint_may_have_acted() {
    let service = Fake::start();
    service.set(|state| state.cut_tools = true);
    let sidecar = TestSidecar::start("service", service.address, "");
    let mut client = sidecar.client().await;
    let run = incarnation(&mut client).await;
    let failure = dispatch(&mut client, tool_call(CALL, &run))
        .await
        .failure
        .unwrap();
    assert_eq!(failure.reason(), FailureReason::EndpointCrashed);
    assert!(failure.may_have_run);
    assert_eq!(failure.suspects, [CALL]);

    service.set(|state| {
        state.cut_tools = false;
        state.tool_status = Some(500);
    });
    let second = tool_call("caribmar/renewal-17#2", &run);
    let failure = dispatch(&mut client, second).await.failure.unwrap();
    assert_eq!(failure.reason(), FailureReason::EndpointError);

    // Nothing listens here, so nothing can have run.
    let nobody = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = nobody.local_addr().unwrap();
    drop(nobody);
    let sidecar = TestSidecar::start("service", address, "");
    let mut client = sidecar.client().await;
    let run = incarnation(&mut client).await;
    let refusal = dispatch(&mut client, tool_call(CALL, &run))
        .await
        .refusal
        .unwrap();
    assert_eq!(refusal.reason(), RefusalReason::EndpointDown);
}
