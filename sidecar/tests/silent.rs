//! Connections that go silent for good, while new ones work.

mod support;

use rosebend_protocol::peer::ResumeRequest;
use support::{
    TestSidecar, Told, connect, fake::Fake, fence, incarnation, model_call, read_all, relay::Relay,
};

const CALL: &str = "coastal/dispatch-4#1";

#[actix_rt::test]
async fn a_silent_connection_to_the_engine_costs_no_token() {
    let engine = Fake::start();
    let relay = Relay::start(engine.address).await;
    engine.close_gate();
    let sidecar = TestSidecar::start("engine", relay.address, "");
    let mut client = sidecar.client().await;
    let run = incarnation(&mut client).await;
    let request = model_call(CALL, &run, 20);
    let mut stream = client.dispatch(request).await.unwrap().into_inner();
    let mut told = Told::default();
    while told.parts.len() < 20 {
        told.take(stream.message().await.unwrap().unwrap());
    }
    let opened = relay.opened();
    relay.silence();
    engine.open_gate();
    while let Some(event) = stream.message().await.unwrap() {
        told.take(event);
    }
    assert_eq!(told.offsets, (0..21).collect::<Vec<_>>());
    assert!(told.finished.is_some());
    assert!(
        relay.opened() > opened,
        "the silent connection was given up"
    );
    let (posts, resumed) = engine.set(|state| (state.posts.len(), state.resumed));
    assert_eq!((posts, resumed), (1, 1));
}

#[actix_rt::test]
async fn a_silent_connection_to_an_owner_costs_no_part() {
    let engine = Fake::start();
    engine.close_gate();
    let sidecar = TestSidecar::start("engine", engine.address, "");
    let relay = Relay::start(sidecar.bound.listen).await;
    let url = format!("http://{}", relay.address);
    let mut client = connect(url.clone()).await;
    let run = incarnation(&mut client).await;
    let request = model_call(CALL, &run, 20);
    let mut stream = client.dispatch(request).await.unwrap().into_inner();
    let mut told = Told::default();
    while told.parts.len() < 7 {
        told.take(stream.message().await.unwrap().unwrap());
    }
    relay.silence();
    engine.open_gate();

    let mut client = connect(url).await;
    let request = ResumeRequest {
        fence: fence(1),
        call_id: CALL.to_owned(),
        offset: told.parts.len() as u64,
    };
    let rest = read_all(client.resume(request).await.unwrap().into_inner()).await;
    told.offsets.extend(rest.offsets);
    assert_eq!(told.offsets, (0..21).collect::<Vec<_>>());
    assert!(rest.finished.is_some());
    assert_eq!(engine.set(|state| state.posts.len()), 1);
}
