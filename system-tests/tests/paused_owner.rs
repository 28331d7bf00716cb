//! An owner that is paused beyond its lease and wakes up writes nothing.

use rosebend_state::deployment::Row;
use rosebend_system_tests::{
    Call, Cluster, ClusterConfig, HarnessError, Signal, row_json, settle, wait_until,
};
use serde_json::json;

/// Rows of the calls of a shard, once they do not change any more.
async fn settled_rows(cluster: &Cluster, prefix: &str) -> Vec<Row> {
    let mut before = cluster.rows(prefix).await.unwrap();
    let mut equal_looks = 0;
    for _ in 0..200 {
        actix_rt::time::sleep(std::time::Duration::from_millis(50)).await;
        let now = cluster.rows(prefix).await.unwrap();
        equal_looks = if now == before { equal_looks + 1 } else { 0 };
        before = now;
        if equal_looks == 20 {
            break;
        }
    }
    before
}

async fn renewal_of(cluster: &Cluster, name: &str) -> Result<u64, HarnessError> {
    let rows = cluster.rows(&format!("host/{name}")).await?;
    let value = rows.first().map(row_json).unwrap_or_default();
    Ok(value["renewal"].as_u64().unwrap_or(0))
}

#[actix_rt::test]
async fn a_paused_owner_that_wakes_up_writes_nothing() {
    let cluster = Cluster::start(ClusterConfig::default()).await.unwrap();
    let caller = cluster.program("renewal-30").await.unwrap();
    let shard = cluster.shard_of("caribmar", "renewal-30").unwrap();
    let owner = cluster.owner_of("caribmar", "renewal-30").await.unwrap();
    let others = [cluster.entry(owner + 1), cluster.entry(owner + 2)];
    let service = cluster.services().next().unwrap();
    service
        .set_faults(&json!({ "delay_ms": 1500 }))
        .await
        .unwrap();

    // The owner is paused between the dispatch of a fee and its answer.
    let fee = Call::tool("charge-fee", "renewal-30")
        .key("fee")
        .sequence(1);
    let (first_caller, first_fee, entry) = (caller.clone(), fee.clone(), cluster.entry(owner));
    actix_rt::spawn(async move { first_caller.call(entry, &first_fee).await });
    wait_until("the fee at the service", || async {
        (cluster.open_effects().await.ok()? == 1).then_some(())
    })
    .await
    .unwrap();
    let paused = &cluster.entries[owner];
    paused.process.signal(Signal::Stop).unwrap();

    let (settled, _) = settle(&caller, &others, &fee).await.unwrap();
    assert_eq!(settled.done().unwrap().json()["effect"], json!(1));
    service.set_faults(&json!({ "delay_ms": 0 })).await.unwrap();
    for sequence in 2..=4_u64 {
        let key = format!("renewal-30-{sequence}");
        let next = Call::tool("charge-fee", &key).key(&key).sequence(sequence);
        let (settled, _) = settle(&caller, &others, &next).await.unwrap();
        settled.done().unwrap();
    }
    let prefix = format!("turn/{shard:05}/");
    let before = settled_rows(&cluster, &prefix).await;
    assert_eq!(before.len(), 4);

    let renewal = renewal_of(&cluster, &paused.name).await.unwrap();
    paused.process.signal(Signal::Continue).unwrap();
    wait_until("the owner to be awake", || async {
        let now = renewal_of(&cluster, &paused.name).await.ok()?;
        (now > renewal + 2).then_some(())
    })
    .await
    .unwrap();
    assert_eq!(settled_rows(&cluster, &prefix).await, before);
    for sequence in 2..=4_u64 {
        let key = format!("renewal-30-{sequence}");
        assert_eq!(cluster.effects_of(&key).await.unwrap(), 1, "{key}");
    }
    assert_eq!(cluster.effects_of("renewal-30").await.unwrap(), 1);

    // It serves the program again, through the owner of now or as that owner.
    let last = Call::tool("charge-fee", "renewal-30-last")
        .key("last")
        .sequence(5);
    let (settled, _) = settle(&caller, &[paused.address], &last).await.unwrap();
    settled.done().unwrap();
    assert_eq!(cluster.effects_of("renewal-30-last").await.unwrap(), 1);
}
