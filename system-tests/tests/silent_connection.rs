//! Open connections go silent for good, while new ones work.

use std::time::Duration;

use rosebend_system_tests::{
    Call, Caller, Cluster, ClusterConfig, Signal, relay::Relay, settle, sse::EventStream,
    sse::StreamEnd, sse::join_parts, wait_until,
};
use serde_json::json;

const TOKENS: u64 = 600;
/// Length of a stream that goes on for longer than a successor needs to take its
/// shard.
const LONG_TOKENS: u64 = 1500;
/// Time in which each thread of an entry polls each sidecar: five polls of 200 ms.
const CONNECTIONS_WAIT: Duration = Duration::from_secs(1);

/// Reads the first parts of a stream.
async fn begin(stream: &mut EventStream) -> Vec<(u64, String)> {
    let mut parts = Vec::new();
    while parts.len() < 20 {
        let event = stream.next().await.unwrap();
        parts.extend(event.id.zip(event.content()));
    }
    parts
}

/// Waits until entries have opened their connections to sidecars: none is added
/// in the time of several polls on each thread of an entry.
async fn wait_for_connections(cluster: &Cluster) {
    let count = || {
        let relays = cluster.endpoints.iter();
        let relays = relays.map(|endpoint| endpoint.relay.as_ref().unwrap());
        relays.map(Relay::connection_count).sum::<u64>()
    };
    let mut before = 0;
    while before < count() {
        before = count();
        actix_rt::time::sleep(CONNECTIONS_WAIT).await;
    }
}

/// Makes all open connections between entries and sidecars silent for good.
fn silence_sidecars(cluster: &Cluster) {
    for endpoint in &cluster.endpoints {
        endpoint.relay.as_ref().unwrap().silence();
    }
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
        silence_sidecars(&cluster);
        let (rest, end) = stream.collect().await;
        assert_eq!(end, StreamEnd::Done);
        parts.extend(rest);
        join_parts(0, &parts).unwrap();
        assert_eq!(parts.len() as u64, TOKENS);
    }
    // Each was run once: the engines were not asked again.
    assert_eq!(cluster.runs_of("renewal-50").await.unwrap(), 2);
}

#[actix_rt::test]
async fn a_stream_goes_on_when_its_shard_is_handed_over_and_its_sidecar_is_silent() {
    let mut cluster = Cluster::start(ClusterConfig {
        relay_sidecars: true,
        ..ClusterConfig::default()
    })
    .await
    .unwrap();
    wait_for_connections(&cluster).await;
    let caller = cluster.program("renewal-54").await.unwrap();
    let owner = cluster.owner_of("caribmar", "renewal-54").await.unwrap();
    let call = Call::model("record", LONG_TOKENS).sequence(1);
    let entry = cluster.entry(cluster.other_than(owner));
    let mut stream = caller.stream(entry, &call).await.unwrap();
    let mut parts = begin(&mut stream).await;
    // The successor asks the sidecars on connections that are open and silent.
    silence_sidecars(&cluster);
    cluster.entries[owner]
        .process
        .signal(Signal::Terminate)
        .unwrap();
    let (rest, end) = stream.collect().await;
    assert_eq!(end, StreamEnd::Done);
    parts.extend(rest);
    join_parts(0, &parts).unwrap();
    assert_eq!(parts.len() as u64, LONG_TOKENS);
    assert_eq!(cluster.runs_of("renewal-54").await.unwrap(), 1);
    let status = cluster.entries[owner].process.wait().await.unwrap();
    assert!(status.success(), "{status}");
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
