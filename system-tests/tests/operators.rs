//! Operators race each other, and the configuration never goes back.

use std::collections::BTreeSet;

use rosebend_standin::store::StoreFaults;
use rosebend_system_tests::{
    Caller, Cluster, ClusterConfig, Signal, cluster::put_resource, settings::token, wait_until,
};
use serde_json::{Value, json};

fn spec(ceiling: u64) -> Value {
    json!({ "budget_ceiling_tokens": ceiling })
}

async fn revision_of(operator: &Caller, cluster: &Cluster, entry: usize, path: &str) -> u64 {
    let found = operator.get(cluster.entry(entry), path).await.unwrap();
    let metadata = found.json();
    let revision = metadata.pointer("/metadata/changed_at_revision");
    revision.and_then(Value::as_u64).unwrap()
}

/// Waits until a revision is in force on every live process.
async fn wait_in_force(cluster: &Cluster, revision: u64) {
    let operator = Caller::new(token::OPERATOR);
    let path = format!("/api/v1/status?revision={revision}");
    for entry in &cluster.entries {
        wait_until("the revision to be in force", || async {
            let status = operator.get(entry.address, &path).await.ok()?.json();
            let live = status["live"].as_u64()?;
            (live >= 3 && status["in_force"] == status["live"]).then_some(())
        })
        .await
        .unwrap();
    }
}

#[actix_rt::test]
async fn of_racing_operators_one_wins_and_the_others_are_told() {
    let cluster = Cluster::start(ClusterConfig::default()).await.unwrap();
    let desk = Caller::new(token::OPERATOR);
    let night = Caller::new(token::OTHER_OPERATOR);
    let path = "/api/v1/customer/caribmar";
    let mut revisions = BTreeSet::new();
    for round in 0..5_u64 {
        let seen = revision_of(&desk, &cluster, 0, path).await;
        let put = |operator, entry, ceiling| {
            let key = ("customer", "caribmar");
            put_resource(operator, cluster.entry(entry), key, spec(ceiling), seen)
        };
        let base = 1_000_000 + 10 * round;
        let (first, second, third) = futures_util::join!(
            put(&desk, 0, base + 1),
            put(&night, 1, base + 2),
            put(&desk, 2, base + 3),
        );
        let replies = [first.unwrap(), second.unwrap(), third.unwrap()];
        let won: Vec<_> = replies.iter().filter(|reply| reply.status < 300).collect();
        assert_eq!(won.len(), 1, "{replies:?}");
        for lost in replies.iter().filter(|reply| reply.status >= 300) {
            assert_eq!(lost.status, 409, "{lost:?}");
            let extra = lost.problem().unwrap().extra.unwrap();
            let changed_by = extra.pointer("/current/metadata/changed_by").cloned();
            let changed_by = changed_by.unwrap_or_default();
            assert!(["desk", "night-desk"].contains(&changed_by.as_str().unwrap_or("")));
        }
        let accepted = won[0].json()["revision"].as_u64().unwrap();
        assert!(accepted > seen && revisions.insert(accepted));
    }
    let newest = *revisions.last().unwrap();
    wait_in_force(&cluster, newest).await;
    assert_eq!(revision_of(&desk, &cluster, 2, path).await, newest);
}

#[actix_rt::test]
async fn an_accepted_change_stays_through_an_outage_and_replaced_hosts() {
    let mut cluster = Cluster::start(ClusterConfig::default()).await.unwrap();
    let desk = Caller::new(token::OPERATOR);
    let path = "/api/v1/customer/caribmar";
    let seen = revision_of(&desk, &cluster, 0, path).await;
    let key = ("customer", "caribmar");
    let put = put_resource(&desk, cluster.entry(0), key, spec(123_456), seen);
    let accepted = put.await.unwrap().success("a change").unwrap();
    let revision = accepted.json()["revision"].as_u64().unwrap();
    wait_in_force(&cluster, revision).await;

    // In an outage nothing is accepted, and nothing is forgotten.
    cluster
        .set_platform_faults(&StoreFaults::refusing())
        .await
        .unwrap();
    let refused = put_resource(&desk, cluster.entry(1), key, spec(1), revision);
    let refused = refused.await.unwrap();
    assert!(refused.status >= 500, "{refused:?}");
    cluster
        .set_platform_faults(&StoreFaults::default())
        .await
        .unwrap();

    for number in 0..3 {
        let process = &mut cluster.entries[number].process;
        process.end(Signal::Kill).await.unwrap();
        process.restart().unwrap();
        cluster.wait_ready().await.unwrap();
    }
    wait_in_force(&cluster, revision).await;
    for number in 0..3 {
        let found = desk.get(cluster.entry(number), path).await.unwrap().json();
        assert_eq!(found["spec"]["budget_ceiling_tokens"], json!(123_456));
    }
}

#[actix_rt::test]
async fn a_lost_answer_to_a_change_is_told_apart_from_a_refused_one() {
    let cluster = Cluster::start(ClusterConfig::default()).await.unwrap();
    let desk = Caller::new(token::OPERATOR);
    let path = "/api/v1/customer/caribmar";
    for round in 0..4_u64 {
        let seen = revision_of(&desk, &cluster, 0, path).await;
        let lost = StoreFaults {
            lose_answers: 2,
            ..StoreFaults::default()
        };
        cluster.set_platform_faults(&lost).await.unwrap();
        let key = ("customer", "caribmar");
        let ceiling = 2_000_000 + round;
        let put = put_resource(&desk, cluster.entry(1), key, spec(ceiling), seen);
        let reply = put.await.unwrap();
        assert!(reply.status < 300, "{reply:?}");
        let found = desk.get(cluster.entry(2), path).await.unwrap().json();
        assert_eq!(found["spec"]["budget_ceiling_tokens"], json!(ceiling));
    }
}

#[actix_rt::test]
async fn what_is_wrong_with_a_resource_is_named() {
    let cluster = Cluster::start(ClusterConfig::default()).await.unwrap();
    let desk = Caller::new(token::OPERATOR);
    let entry = cluster.entry(0);
    let key = ("model", "agent-2");
    let wrong = json!({ "context_tokens": 3, "max_answer_tokens": "many" });
    let reply = put_resource(&desk, entry, key, wrong, 0).await.unwrap();
    let problem = reply.problem().unwrap();
    assert_eq!(problem.status, 422);
    for word in ["context_tokens", "256", "max_answer_tokens"] {
        assert!(problem.detail.contains(word), "{problem:?}");
    }
    let right = json!({ "context_tokens": 4096, "max_answer_tokens": 256 });
    let body = json!({ "kind": "model", "name": "agent-2", "spec": right });
    let path = "/api/v1/model/agent-2";
    let dry = desk
        .put(entry, &format!("{path}?revision=0&dry_run=true"), &body)
        .await;
    assert!(dry.unwrap().status < 300);
    assert_eq!(desk.get(entry, path).await.unwrap().status, 404);
    let unseen = desk.put(entry, path, &body).await.unwrap();
    assert_eq!(unseen.status, 428);
    let caller = Caller::new(token::CARIBMAR);
    assert_eq!(caller.get(entry, path).await.unwrap().status, 403);
}
