//! The platform's table is away: programs under way go on, and calls that may
//! not be repeated wait or are refused, truthfully.

use std::{
    cell::RefCell,
    time::{Duration, Instant},
};

use rosebend_protocol::problem::Ran;
use rosebend_standin::store::StoreFaults;
use rosebend_system_tests::{Call, Caller, Cluster, ClusterConfig, Signal, settle, wait_until};
use serde_json::{Value, json};

fn content(answer: &Value) -> String {
    let content = answer.pointer("/choices/0/message/content");
    content
        .and_then(Value::as_str)
        .unwrap_or_default()
        .to_owned()
}

/// Makes model calls from `first` on until the lease has passed twice, and
/// returns their answers.
async fn go_on(cluster: &Cluster, caller: &Caller, first: u64, lease: Duration) -> Vec<String> {
    let start = Instant::now();
    let mut answers = Vec::new();
    let mut sequence = first;
    while answers.len() < 5 || (start.elapsed() < lease * 2 && answers.len() < 100) {
        let call = Call::model(&format!("page {sequence}"), 8).sequence(sequence);
        let reply = caller
            .call(cluster.entry(sequence as usize), &call)
            .await
            .unwrap();
        assert_eq!(reply.status, 200, "{reply:?}");
        answers.push(content(&reply.json()));
        sequence += 1;
    }
    answers
}

async fn check_history(cluster: &Cluster, caller: &Caller, answers: &[String]) {
    for (sequence, answer) in (1..).zip(answers) {
        let entry = cluster.entry(sequence as usize);
        let last = RefCell::new(None);
        let fetched = wait_until("an answer of the history", || async {
            let fetched = caller.fetch(entry, sequence).await;
            *last.borrow_mut() = Some(format!("{fetched:?}"));
            fetched.ok()?.success("").ok()
        });
        let fetched = fetched.await;
        let fetched = fetched.unwrap_or_else(|_| panic!("call {sequence}: {last:?}"));
        assert_eq!(&content(&fetched.json()), answer, "call {sequence}");
    }
}

#[actix_rt::test]
async fn programs_go_on_and_a_fee_is_refused_truthfully() {
    let config = ClusterConfig::default();
    let lease = Duration::from_millis(config.lease_ms);
    let cluster = Cluster::start(config).await.unwrap();
    for (outage, faults) in [
        ("refuse", StoreFaults::refusing()),
        ("hang", StoreFaults::hanging()),
    ] {
        let caller = cluster.program(&format!("renewal-{outage}")).await.unwrap();
        let mut answers = go_on(&cluster, &caller, 1, Duration::ZERO).await;
        cluster.set_platform_faults(&faults).await.unwrap();
        let first = answers.len() as u64 + 1;
        answers.extend(go_on(&cluster, &caller, first, lease).await);

        let key = format!("fee-{outage}");
        let next = answers.len() as u64 + 1;
        let fee = Call::tool("charge-fee", &key).key(&key).sequence(next);
        let patience = fee.clone().deadline(Duration::from_secs(3));
        let refused = caller.call(cluster.entry(0), &patience).await.unwrap();
        let problem = refused.problem().unwrap_or_else(|| panic!("{refused:?}"));
        assert_eq!(problem.ran, Ran::No, "{problem:?}");
        assert_eq!(cluster.effects_of(&key).await.unwrap(), 0);

        cluster
            .set_platform_faults(&StoreFaults::default())
            .await
            .unwrap();
        check_history(&cluster, &caller, &answers).await;
        // The refused fee was not run later, and runs once when it is sent again.
        assert_eq!(cluster.effects_of(&key).await.unwrap(), 0);
        let (settled, _) = settle(&caller, &cluster.entries_from(0), &fee)
            .await
            .unwrap();
        settled.done().unwrap();
        assert_eq!(cluster.effects_of(&key).await.unwrap(), 1);
    }
}

#[actix_rt::test]
async fn answers_of_an_outage_outlive_their_owner() {
    let config = ClusterConfig::default();
    let mut cluster = Cluster::start(config).await.unwrap();
    let caller = cluster.program("renewal-40").await.unwrap();
    let owner = cluster.owner_of("caribmar", "renewal-40").await.unwrap();
    let mut answers = go_on(&cluster, &caller, 1, Duration::ZERO).await;
    cluster
        .set_platform_faults(&StoreFaults::refusing())
        .await
        .unwrap();
    let first = answers.len() as u64 + 1;
    answers.extend(go_on(&cluster, &caller, first, Duration::ZERO).await);
    cluster.entries[owner]
        .process
        .end(Signal::Kill)
        .await
        .unwrap();
    cluster
        .set_platform_faults(&StoreFaults::default())
        .await
        .unwrap();
    cluster.entries[owner].process.restart().unwrap();
    cluster.wait_ready().await.unwrap();

    check_history(&cluster, &caller, &answers).await;
    let next = Call::model("after the outage", 8).sequence(answers.len() as u64 + 1);
    let (settled, _) = settle(&caller, &cluster.entries_from(owner), &next)
        .await
        .unwrap();
    settled.done().unwrap();
}

#[actix_rt::test]
async fn a_program_goes_on_through_a_handoff_and_an_outage() {
    let config = ClusterConfig::default();
    let lease = Duration::from_millis(config.lease_ms);
    let mut cluster = Cluster::start(config).await.unwrap();
    let caller = cluster.program("renewal-41").await.unwrap();
    // A sub-agent has the same owner, and calls of its own.
    let agent = caller.session("renewal-41/letter");
    let opened = agent.open(cluster.entry(0), 0).await.unwrap();
    opened.success("opening").unwrap();
    let mut answers = go_on(&cluster, &agent, 1, Duration::ZERO).await;

    // The owner that comes back is given its shards again, while a fee is at
    // the service and the sub-agent goes on.
    cluster.wait_for_steady_owners().await.unwrap();
    let owner = cluster.owner_of("caribmar", "renewal-41").await.unwrap();
    let process = &mut cluster.entries[owner].process;
    process.end(Signal::Kill).await.unwrap();
    let second = wait_until("another owner", || async {
        let now = cluster.owner_of("caribmar", "renewal-41").await.ok()?;
        (now != owner).then_some(now)
    })
    .await
    .unwrap();
    cluster.entries[owner].process.restart().unwrap();
    cluster.wait_ready().await.unwrap();
    let service = cluster.services().next().unwrap();
    service
        .set_faults(&json!({ "delay_ms": 7000 }))
        .await
        .unwrap();
    let fee = Call::tool("charge-fee", "renewal-41")
        .key("fee")
        .sequence(1);
    let entries = cluster.entries_from(owner);
    let charged = actix_rt::spawn(async move { settle(&caller, &entries, &fee).await });
    wait_until("the fee at the service", || async {
        (cluster.open_effects().await.ok()? == 1).then_some(())
    })
    .await
    .unwrap();
    // Without a handoff this test would show nothing.
    while cluster.owner_of("caribmar", "renewal-41").await.unwrap() == second {
        assert!(answers.len() < 1_000, "there was no handoff");
        let first = answers.len() as u64 + 1;
        answers.extend(go_on(&cluster, &agent, first, Duration::ZERO).await);
    }
    assert_eq!(cluster.open_effects().await.unwrap(), 1);

    cluster
        .set_platform_faults(&StoreFaults::refusing())
        .await
        .unwrap();
    let first = answers.len() as u64 + 1;
    answers.extend(go_on(&cluster, &agent, first, lease).await);
    cluster
        .set_platform_faults(&StoreFaults::default())
        .await
        .unwrap();
    charged.await.unwrap().unwrap().0.done().unwrap();
    assert_eq!(cluster.effects_of("renewal-41").await.unwrap(), 1);
    check_history(&cluster, &agent, &answers).await;
}

#[actix_rt::test]
async fn a_handoff_that_meets_an_outage_keeps_no_program_waiting() {
    let mut cluster = Cluster::start(ClusterConfig::default()).await.unwrap();
    let caller = cluster.program("renewal-41").await.unwrap();
    // A sub-agent has the same owner, and calls of its own.
    let agent = caller.session("renewal-41/letter");
    agent
        .open(cluster.entry(0), 0)
        .await
        .unwrap()
        .success("")
        .unwrap();
    let answers = go_on(&cluster, &agent, 1, Duration::ZERO).await;

    // The owner that comes back is given its shards again, once the calls in
    // flight there have ended.
    cluster.wait_for_steady_owners().await.unwrap();
    let owner = cluster.owner_of("caribmar", "renewal-41").await.unwrap();
    let process = &mut cluster.entries[owner].process;
    process.end(Signal::Kill).await.unwrap();
    wait_until("another owner", || async {
        let now = cluster.owner_of("caribmar", "renewal-41").await.ok()?;
        (now != owner).then_some(())
    })
    .await
    .unwrap();
    cluster.entries[owner].process.restart().unwrap();
    cluster.wait_ready().await.unwrap();
    let service = cluster.services().next().unwrap();
    service
        .set_faults(&json!({ "delay_ms": 6000 }))
        .await
        .unwrap();
    let fee = Call::tool("charge-fee", "renewal-41")
        .key("fee")
        .sequence(1);
    let (fee_caller, entries) = (caller.clone(), cluster.entries_from(owner));
    let fee_of_caller = fee.clone();
    let charged = actix_rt::spawn(async move {
        settle(&fee_caller, &entries, &fee_of_caller)
            .await
            .unwrap()
            .0
    });
    wait_until("the fee at the service", || async {
        (cluster.open_effects().await.ok()? == 1).then_some(())
    })
    .await
    .unwrap();
    actix_rt::time::sleep(Duration::from_secs(3)).await;
    cluster
        .set_platform_faults(&StoreFaults::refusing())
        .await
        .unwrap();

    let first = answers.len() as u64 + 1;
    let mut answers = answers;
    answers.extend(go_on(&cluster, &agent, first, Duration::from_secs(1)).await);
    cluster
        .set_platform_faults(&StoreFaults::default())
        .await
        .unwrap();
    charged.await.unwrap().done().unwrap();
    assert_eq!(cluster.effects_of("renewal-41").await.unwrap(), 1);
    check_history(&cluster, &agent, &answers).await;
}
