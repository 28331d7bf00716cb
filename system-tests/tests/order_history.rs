//! The calls of a program run in their order and its history is whole, also
//! when its owner dies in the middle.

use rosebend_system_tests::{
    Call, Caller, Cluster, ClusterConfig, Signal, settings::token, settle, wait_until,
};
use serde_json::{Value, json};

const CALLS: u64 = 9;

fn text(customer: &str, sequence: u64) -> String {
    format!("{customer}: page {sequence} of the discharge book")
}

fn content(answer: &Value) -> String {
    let content = answer.pointer("/choices/0/message/content");
    content
        .and_then(Value::as_str)
        .unwrap_or_default()
        .to_owned()
}

/// Makes the calls of a program one after the other, each through another
/// entry, and returns the answers that were acknowledged.
async fn run(
    cluster: &Cluster,
    (customer, caller): (&str, &Caller),
    sequences: std::ops::RangeInclusive<u64>,
) -> Vec<String> {
    let mut answers = Vec::new();
    for sequence in sequences {
        let text = text(customer, sequence);
        let key = format!("page-{sequence}");
        let call = Call::model(&text, 8).key(&key).sequence(sequence);
        let entries = cluster.entries_from(sequence as usize);
        let (settled, _) = settle(caller, &entries, &call).await.unwrap();
        answers.push(content(&settled.done().unwrap().json()));
    }
    answers
}

/// Fails unless the history has exactly the acknowledged answers, in order.
async fn check_history(cluster: &Cluster, caller: &Caller, answers: &[String]) {
    let (entry, name) = (cluster.entry(1), caller.session_name());
    let shown = wait_until("the history", || async {
        let shown = caller.show(entry).await.ok()?;
        shown.success("").ok()
    })
    .await
    .unwrap()
    .json();
    let calls = shown["calls"].as_array().unwrap();
    let sequences: Vec<u64> = calls
        .iter()
        .filter_map(|call| call["sequence"].as_u64())
        .collect();
    let expected: Vec<u64> = (1..=answers.len() as u64).collect();
    assert_eq!(sequences, expected, "{name}");
    for (sequence, answer) in (1..).zip(answers) {
        let fetched = wait_until("an answer of the history", || async {
            let fetched = caller.fetch(entry, sequence).await.ok()?;
            fetched.success("").ok()
        });
        assert_eq!(
            &content(&fetched.await.unwrap().json()),
            answer,
            "{name}#{sequence}"
        );
    }
}

#[actix_rt::test]
async fn a_history_outlives_its_owners_and_is_not_mixed() {
    let mut cluster = Cluster::start(ClusterConfig::default()).await.unwrap();
    let first = cluster.program("renewal-20").await.unwrap();
    let second = Caller::new(token::COASTAL).session("renewal-20");
    second
        .open(cluster.entry(1), 100_000)
        .await
        .unwrap()
        .success("")
        .unwrap();

    let mut first_answers = Vec::new();
    let mut second_answers = Vec::new();
    for third in 0..3 {
        let sequences = third * CALLS / 3 + 1..=(third + 1) * CALLS / 3;
        first_answers.extend(run(&cluster, ("caribmar", &first), sequences.clone()).await);
        second_answers.extend(run(&cluster, ("coastal", &second), sequences).await);
        let owner = cluster.owner_of("caribmar", "renewal-20").await.unwrap();
        let process = &mut cluster.entries[owner].process;
        process.end(Signal::Kill).await.unwrap();
        process.restart().unwrap();
    }
    cluster.wait_ready().await.unwrap();
    assert_ne!(first_answers, second_answers);
    check_history(&cluster, &first, &first_answers).await;
    check_history(&cluster, &second, &second_answers).await;
}

#[actix_rt::test]
async fn calls_that_come_in_disorder_run_in_order() {
    let cluster = Cluster::start(ClusterConfig::default()).await.unwrap();
    let caller = cluster.program("renewal-21").await.unwrap();
    let mut open = Vec::new();
    for sequence in [3, 1, 2, 4] {
        let key = format!("step-{sequence}");
        let call = Call::tool("charge-fee", &key).key(&key).sequence(sequence);
        let entries = cluster.entries_from(sequence as usize);
        let caller = caller.clone();
        open.push(actix_rt::spawn(async move {
            settle(&caller, &entries, &call).await
        }));
    }
    for call in open {
        let (settled, _) = call.await.unwrap().unwrap();
        settled.done().unwrap();
    }
    for sequence in 1..=4_u64 {
        let fetched = caller.fetch(cluster.entry(0), sequence).await.unwrap();
        let key = format!("step-{sequence}");
        assert_eq!(fetched.json()["echo"]["effect_key"], json!(key));
        assert_eq!(cluster.effects_of(&key).await.unwrap(), 1);
    }
}

#[actix_rt::test]
async fn a_stream_goes_on_when_its_owner_dies() {
    let mut cluster = Cluster::start(ClusterConfig::default()).await.unwrap();
    let caller = cluster.program("renewal-22").await.unwrap();
    let owner = cluster.owner_of("caribmar", "renewal-22").await.unwrap();
    let other = cluster.other_than(owner);
    let call = Call::model("a long record check", 400)
        .key("check")
        .sequence(1);
    let mut stream = caller.stream(cluster.entry(other), &call).await.unwrap();
    let mut parts = Vec::new();
    while parts.len() < 20 {
        let event = stream.next().await.unwrap();
        parts.extend(event.id.zip(event.content()));
    }
    cluster.entries[owner]
        .process
        .end(Signal::Kill)
        .await
        .unwrap();
    let (rest, end) = stream.collect().await;
    assert_eq!(end, rosebend_system_tests::sse::StreamEnd::Done);
    parts.extend(rest);
    rosebend_system_tests::sse::join_parts(0, &parts).unwrap();
    assert_eq!(parts.len(), 400);
}
