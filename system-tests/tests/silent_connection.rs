//! Open connections go silent for good, while new ones work.

use std::time::Duration;

use rosebend_system_tests::{
    Call, Caller, Cluster, ClusterConfig, relay::Relay, settle, sse::EventStream, sse::StreamEnd,
    sse::join_parts, wait_until,
};
use serde_json::json;

const TOKENS: u64 = 600;

/// Reads the first parts of a stream.
async fn begin(stream: &mut EventStream) -> Vec<(u64, String)> {
    let mut parts = Vec::new();
    while parts.len() < 20 {
        let event = stream.next().await.unwrap();
        parts.extend(event.id.zip(event.content()));
    }
    parts
}

#[actix_rt::test]
async fn a_stream_goes_on_when_the_connection_to_the_sidecar_is_silent() {
    let cluster = Cluster::start(ClusterConfig {
        relay_sidecars: true,
        ..ClusterConfig::default()
    })
    .await
    .unwrap();
    let caller = cluster.program("renewal-50").await.unwrap();
    for (entry, sequence) in [(0, 1), (1, 2)] {
        let call = Call::model(&format!("record {sequence}"), TOKENS).sequence(sequence);
        let mut stream = caller.stream(cluster.entry(entry), &call).await.unwrap();
        let mut parts = begin(&mut stream).await;
        for endpoint in &cluster.endpoints {
            endpoint.relay.as_ref().unwrap().silence();
        }
        let (rest, end) = stream.collect().await;
        assert_eq!(end, StreamEnd::Done);
        parts.extend(rest);
        join_parts(0, &parts).unwrap();
        assert_eq!(parts.len() as u64, TOKENS);
    }
    // Each was run once: the engines were not asked again.
    let mut runs = 0;
    for engine in cluster.engines() {
        let stats = engine.engine_stats().await.unwrap();
        runs += stats
            .runs
            .iter()
            .filter(|(id, _)| id.contains("renewal-50"))
            .map(|(_, runs)| runs)
            .sum::<u64>();
    }
    assert_eq!(runs, 2);
}

#[actix_rt::test]
async fn a_fee_on_a_silent_connection_is_charged_once_and_answered() {
    let cluster = Cluster::start(ClusterConfig {
        relay_sidecars: true,
        ..ClusterConfig::default()
    })
    .await
    .unwrap();
    let caller = cluster.program("renewal-51").await.unwrap();
    let service = cluster.services().next().unwrap();
    service
        .set_faults(&json!({ "delay_ms": 1000 }))
        .await
        .unwrap();
    let fee = Call::tool("charge-fee", "renewal-51")
        .key("fee")
        .sequence(1);
    let entries = cluster.entries_from(0);
    let silence = async {
        wait_until("the fee at the service", || async {
            (cluster.open_effects().await.ok()? == 1).then_some(())
        })
        .await
        .unwrap();
        service.relay.as_ref().unwrap().silence();
    };
    let (settled, ()) = futures_util::join!(settle(&caller, &entries, &fee), silence);
    settled.unwrap().0.done().unwrap();
    assert_eq!(cluster.effects_of("renewal-51").await.unwrap(), 1);
}

#[actix_rt::test]
async fn a_caller_on_a_silent_connection_goes_on_through_another_entry() {
    let cluster = Cluster::start(ClusterConfig::default()).await.unwrap();
    let caller = cluster.program("renewal-52").await.unwrap();
    let relay = Relay::start(cluster.entry(0)).unwrap();
    let call = Call::model("record", TOKENS).sequence(1);
    let mut stream = caller.stream(relay.address(), &call).await.unwrap();
    let mut parts = begin(&mut stream).await;
    relay.silence();
    let end = loop {
        match stream.next_within(Duration::from_secs(2)).await {
            Ok(event) => parts.extend(event.id.zip(event.content())),
            Err(end) => break end,
        }
    };
    assert_eq!(end, StreamEnd::Cut("silence".to_owned()));
    let offset = parts.len() as u64;
    let mut rest = caller.resume(cluster.entry(1), 1, offset).await.unwrap();
    let (rest, end) = rest.collect().await;
    assert_eq!(end, StreamEnd::Done);
    parts.extend(rest);
    join_parts(0, &parts).unwrap();
    assert_eq!(parts.len() as u64, TOKENS);
}

#[actix_rt::test]
async fn entries_do_without_silent_connections_to_the_platform() {
    let cluster = Cluster::start(ClusterConfig {
        relay_platform: true,
        ..ClusterConfig::default()
    })
    .await
    .unwrap();
    let caller = cluster.program("renewal-53").await.unwrap();
    for sequence in 1..=6_u64 {
        cluster.platform_relay.as_ref().unwrap().silence();
        let key = format!("renewal-53-{sequence}");
        let fee = Call::tool("charge-fee", &key).key(&key).sequence(sequence);
        let entries = cluster.entries_from(sequence as usize);
        let (settled, _) = settle(&caller, &entries, &fee).await.unwrap();
        settled.done().unwrap();
        assert_eq!(cluster.effects_of(&key).await.unwrap(), 1);
    }
    let other = Caller::new(rosebend_system_tests::settings::token::COASTAL).session("visit-1");
    let opened = wait_until("a program to be opened", || async {
        other
            .open(cluster.entry(2), 1000)
            .await
            .ok()?
            .success("")
            .ok()
    });
    opened.await.unwrap();
}
