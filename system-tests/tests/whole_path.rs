//! A program from its opening to its end, through every entry and back.

use rosebend_system_tests::{
    Call, Caller, Cluster, ClusterConfig, settings::token, sse::StreamEnd, sse::join_parts,
};
use serde_json::{Value, json};

#[actix_rt::test]
async fn a_program_runs_through_all_entries_and_every_process_stops_well() {
    let cluster = Cluster::start(ClusterConfig::default()).await.unwrap();
    let caller = cluster.program("renewal-17").await.unwrap();

    let check = Call::model("check the sea service", 24).sequence(1);
    let mut stream = caller.stream(cluster.entry(1), &check).await.unwrap();
    assert_eq!(stream.status, 200);
    let (parts, end) = stream.collect().await;
    assert_eq!(end, StreamEnd::Done);
    let text = join_parts(0, &parts).unwrap();
    assert_eq!(text.len(), 24 * 4);

    let fee = Call::tool("charge-fee", "renewal-17")
        .key("fee")
        .sequence(2);
    let charged = caller.call(cluster.entry(2), &fee).await.unwrap();
    assert_eq!(charged.status, 200, "{charged:?}");
    assert_eq!(charged.json()["effect"], json!(1));

    let agent = caller.session("renewal-17/letter");
    let opened = agent.open(cluster.entry(2), 0).await.unwrap();
    assert_eq!(opened.status, 201, "{opened:?}");
    let draft = Call::model("draft the letter", 16);
    let drafted = agent.call(cluster.entry(0), &draft).await.unwrap();
    assert_eq!(drafted.status, 200, "{drafted:?}");

    let look = Call::tool("lookup", "form").repeatable().sequence(3);
    let found = caller.call(cluster.entry(0), &look).await.unwrap();
    assert_eq!(found.status, 200, "{found:?}");

    // The same key again, and the first answer again, through other entries.
    let again = caller.call(cluster.entry(0), &fee).await.unwrap();
    assert_eq!((again.status, &again.body), (200, &charged.body));
    let fetched = caller.fetch(cluster.entry(2), 1).await.unwrap();
    let content = "/choices/0/message/content";
    assert_eq!(fetched.json().pointer(content), Some(&json!(text)));

    let shown = caller.show(cluster.entry(1)).await.unwrap().json();
    assert_eq!(sequences(&shown), [1, 2, 3]);
    assert!(shown["spent_tokens"].as_u64().unwrap() > 24);
    let ended = caller.finish(cluster.entry(1)).await.unwrap();
    assert_eq!(ended.status, 200, "{ended:?}");
    let late = caller.call(cluster.entry(0), &Call::model("late", 1)).await;
    assert_eq!(late.unwrap().status, 409);

    assert_eq!(cluster.effects_of("renewal-17").await.unwrap(), 1);
    for (name, status) in cluster.stop().await.unwrap() {
        assert!(status.success(), "{name}: {status}");
    }
}

#[actix_rt::test]
async fn a_lost_stream_goes_on_through_another_entry() {
    let cluster = Cluster::start(ClusterConfig::default()).await.unwrap();
    let caller = cluster.program("renewal-18").await.unwrap();
    let call = Call::model("a long letter", 120).sequence(1);
    let mut stream = caller.stream(cluster.entry(0), &call).await.unwrap();
    let mut parts = Vec::new();
    while parts.len() < 10 {
        let event = stream.next().await.unwrap();
        parts.extend(event.id.zip(event.content()));
    }
    drop(stream);
    let offset = parts.len() as u64;
    let mut rest = caller.resume(cluster.entry(1), 1, offset).await.unwrap();
    let (rest, end) = rest.collect().await;
    assert_eq!(end, StreamEnd::Done);
    parts.extend(rest);
    let text = join_parts(0, &parts).unwrap();
    let whole = caller.fetch(cluster.entry(2), 1).await.unwrap().json();
    let content = whole.pointer("/choices/0/message/content");
    assert_eq!(content, Some(&json!(text)));
    assert_eq!(parts.len(), 120);
}

#[actix_rt::test]
async fn no_customer_sees_the_program_of_another() {
    let cluster = Cluster::start(ClusterConfig::default()).await.unwrap();
    let caller = cluster.program("renewal-19").await.unwrap();
    let call = Call::model("mine", 4);
    assert_eq!(
        caller.call(cluster.entry(0), &call).await.unwrap().status,
        200
    );
    let other = Caller::new(token::COASTAL).session("renewal-19");
    for number in 0..3 {
        let entry = cluster.entry(number);
        assert_eq!(other.show(entry).await.unwrap().status, 404);
        assert_eq!(other.fetch(entry, 1).await.unwrap().status, 404);
        assert_eq!(other.finish(entry).await.unwrap().status, 404);
    }
    let stranger = Caller::new("no-such-token-0000").session("renewal-19");
    assert_eq!(stranger.show(cluster.entry(0)).await.unwrap().status, 401);
    let shown = caller.show(cluster.entry(2)).await.unwrap().json();
    assert_eq!(sequences(&shown), [1]);
}

fn sequences(shown: &Value) -> Vec<u64> {
    let calls = shown["calls"].as_array().into_iter().flatten();
    calls.filter_map(|call| call["sequence"].as_u64()).collect()
}
