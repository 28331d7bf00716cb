//! KV holds, orders and crashes of an engine.

mod support;

use rosebend_protocol::peer::{FailureReason, HoldsRequest, StatusRequest};
use support::{
    Client, TestSidecar, dispatch, fake::Fake, fence, incarnation, model_call, read_all,
};

const CALL: &str = "caribmar/renewal-17/check-2#1";
const PROGRAM: &str = "caribmar/renewal-17/check-2";

async fn run_with_hold(client: &mut Client) {
    let run = incarnation(client).await;
    let mut call = model_call(CALL, &run, 5);
    call.hold_kv = true;
    assert!(dispatch(client, call).await.finished.is_some());
}

async fn renew(client: &mut Client, programs: &[&str], lease_ms: u64) -> (u64, Vec<String>) {
    let request = HoldsRequest {
        fences: fence(1).into_iter().collect(),
        programs: programs.iter().map(|name| name.to_string()).collect(),
        lease_ms,
    };
    let reply = client.holds(request).await.unwrap().into_inner();
    (reply.freed, reply.held)
}

#[actix_rt::test]
async fn a_hold_absent_from_a_complete_list_is_freed() {
    let engine = Fake::start();
    let sidecar = TestSidecar::start("engine", engine.address, "");
    let mut client = sidecar.client().await;
    run_with_hold(&mut client).await;
    assert!(engine.set(|state| state.held.contains(PROGRAM)));
    let held = renew(&mut client, &[PROGRAM], 60_000).await;
    assert_eq!(held, (0, vec![PROGRAM.to_owned()]));
    assert_eq!(renew(&mut client, &[], 60_000).await, (1, vec![]));
    engine.until(|state| state.held.is_empty()).await;
}

#[actix_rt::test]
async fn a_hold_that_nobody_renews_is_freed() {
    let engine = Fake::start();
    let sidecar = TestSidecar::start("engine", engine.address, "");
    let mut client = sidecar.client().await;
    run_with_hold(&mut client).await;
    renew(&mut client, &[PROGRAM], 200).await;
    engine.until(|state| state.held.is_empty()).await;
}

#[actix_rt::test]
async fn a_hold_that_the_sidecar_does_not_know_is_freed() {
    let engine = Fake::start();
    engine.set(|state| state.held.insert("caribmar/gone".to_owned()));
    // The order to free is lost at first.
    engine.set(|state| state.refuse_free = true);
    let _sidecar = TestSidecar::start("engine", engine.address, "");
    engine.until(|state| state.freed > 0).await;
    engine.set(|state| state.refuse_free = false);
    engine.until(|state| state.held.is_empty()).await;
}

#[actix_rt::test]
async fn all_calls_in_flight_at_a_crash_are_suspects() {
    let engine = Fake::start();
    engine.close_gate();
    engine.set(|state| {
        state.cut_after = Some(3);
        state.forget_requests = true;
    });
    let sidecar = TestSidecar::start("engine", engine.address, "");
    let mut client = sidecar.client().await;
    let run = incarnation(&mut client).await;
    let other = "caribmar/renewal-18#1";
    let first = client.dispatch(model_call(CALL, &run, 9)).await.unwrap();
    let second = client.dispatch(model_call(other, &run, 9)).await.unwrap();
    engine.until(|state| state.posts.len() == 2).await;
    engine.open_gate();
    for stream in [first, second] {
        let failure = read_all(stream.into_inner()).await.failure.unwrap();
        assert_eq!(failure.reason(), FailureReason::EndpointCrashed);
        assert_eq!(failure.suspects, [CALL, other]);
    }
}

#[actix_rt::test]
async fn a_silent_answer_is_kept_alive_by_pings() {
    let engine = Fake::start();
    engine.close_gate();
    let sidecar = TestSidecar::start("engine", engine.address, "");
    let mut client = sidecar.client().await;
    let run = incarnation(&mut client).await;
    let stream = client.dispatch(model_call(CALL, &run, 3)).await.unwrap();
    let mut stream = stream.into_inner();
    let mut told = support::Told::default();
    while told.pings < 2 {
        told.take(stream.message().await.unwrap().unwrap());
    }
    engine.open_gate();
    while let Some(event) = stream.message().await.unwrap() {
        told.take(event);
    }
    assert_eq!(told.offsets, [0, 1, 2, 3]);
    let load = client.status(StatusRequest::default()).await.unwrap();
    assert_eq!(load.into_inner().load.unwrap().running, 0);
}
