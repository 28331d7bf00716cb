//! A fee is charged at most once, whatever dies, and exactly once when the
//! caller was told that it was charged.

use rosebend_standin::store::StoreFaults;
use rosebend_system_tests::{
    Call, Caller, Cluster, ClusterConfig, Settled, Signal, settle, wait_until,
};
use serde_json::json;

/// Starts a cluster whose service takes its time.
async fn slow_service(config: ClusterConfig) -> Cluster {
    let cluster = Cluster::start(config).await.unwrap();
    let service = cluster.services().next().unwrap();
    service
        .set_faults(&json!({ "delay_ms": 1500 }))
        .await
        .unwrap();
    cluster
}

/// Waits until a fee is at the service, before its effect.
async fn wait_for_open_effect(cluster: &Cluster) {
    wait_until("a fee at the service", || async {
        (cluster.open_effects().await.ok()? > 0).then_some(())
    })
    .await
    .unwrap();
}

/// Waits until nothing is left that could still have an effect.
async fn wait_for_no_open_effect(cluster: &Cluster) {
    wait_until("the service to be idle", || async {
        (cluster.open_effects().await.ok()? == 0).then_some(())
    })
    .await
    .unwrap();
}

/// Sends a fee to one entry, on a task of its own.
fn send(caller: &Caller, cluster: &Cluster, entry: usize, fee: &Call) {
    let (caller, fee) = (caller.clone(), fee.clone());
    let entry = cluster.entry(entry);
    // Its answer is lost; the caller sends again.
    actix_rt::spawn(async move { caller.call(entry, &fee).await });
}

#[actix_rt::test]
async fn a_fee_in_flight_when_its_owner_dies_is_charged_once() {
    let mut cluster = slow_service(ClusterConfig::default()).await;
    for (round, through_owner) in [(1, true), (2, false)] {
        let key = format!("renewal-{round}");
        let caller = cluster.program(&key).await.unwrap();
        let owner = cluster.owner_of("caribmar", &key).await.unwrap();
        let other = cluster.other_than(owner);
        let fee = Call::tool("charge-fee", &key).key("fee").sequence(1);
        send(
            &caller,
            &cluster,
            if through_owner { owner } else { other },
            &fee,
        );
        wait_for_open_effect(&cluster).await;
        cluster.entries[owner]
            .process
            .end(Signal::Kill)
            .await
            .unwrap();

        let others = cluster.entries_from(other);
        let (settled, _) = settle(&caller, &others, &fee).await.unwrap();
        wait_for_no_open_effect(&cluster).await;
        // The sidecar lives and knows the outcome, so it must be delivered.
        let reply = settled.done().unwrap();
        assert_eq!(reply.json()["effect"], json!(1));
        assert_eq!(cluster.effects_of(&key).await.unwrap(), 1);

        cluster.entries[owner].process.restart().unwrap();
        cluster.wait_ready().await.unwrap();
    }
}

#[actix_rt::test]
async fn lost_answers_of_the_table_double_no_fee() {
    let cluster = Cluster::start(ClusterConfig::default()).await.unwrap();
    let caller = cluster.program("renewal-3").await.unwrap();
    for number in 1..=8_u64 {
        let key = format!("renewal-3-fee-{number}");
        let lost = StoreFaults {
            lose_answers: number % 4 + 1,
            ..StoreFaults::default()
        };
        cluster.set_platform_faults(&lost).await.unwrap();
        let fee = Call::tool("charge-fee", &key).key(&key).sequence(number);
        let entries = cluster.entries_from(number as usize);
        let (settled, _) = settle(&caller, &entries, &fee).await.unwrap();
        settled.done().unwrap();
        assert_eq!(cluster.effects_of(&key).await.unwrap(), 1, "{key}");
    }
    assert!(cluster.platform_stats().await.unwrap().lost_answers >= 8);
}

#[actix_rt::test]
async fn a_fee_is_not_sent_again_after_its_sidecar_was_replaced() {
    let mut cluster = slow_service(ClusterConfig::default()).await;
    let caller = cluster.program("renewal-4").await.unwrap();
    let fee = Call::tool("charge-fee", "renewal-4").key("fee").sequence(1);
    send(&caller, &cluster, 0, &fee);
    wait_for_open_effect(&cluster).await;
    let service = cluster.endpoints.last_mut().unwrap();
    service.replace_sidecar().await.unwrap();
    cluster.wait_ready().await.unwrap();

    for first in 0..3 {
        let entries = cluster.entries_from(first);
        let (settled, _) = settle(&caller, &entries, &fee).await.unwrap();
        assert!(matches!(settled, Settled::Unknown(_)), "{settled:?}");
    }
    wait_for_no_open_effect(&cluster).await;
    assert!(cluster.effects_of("renewal-4").await.unwrap() <= 1);

    // The program goes on after it.
    let next = Call::tool("charge-fee", "renewal-4-next")
        .key("next")
        .sequence(2);
    let (settled, _) = settle(&caller, &cluster.entries_from(0), &next)
        .await
        .unwrap();
    settled.done().unwrap();
    assert_eq!(cluster.effects_of("renewal-4-next").await.unwrap(), 1);
}

#[actix_rt::test]
async fn a_fee_whose_answer_the_service_cuts_is_not_sent_again() {
    let cluster = Cluster::start(ClusterConfig::default()).await.unwrap();
    let caller = cluster.program("renewal-5").await.unwrap();
    let service = cluster.services().next().unwrap();
    for (number, fault) in [(1, "cut_after_effect"), (2, "fail_next")] {
        service.set_faults(&json!({ fault: 1 })).await.unwrap();
        let key = format!("renewal-5-{fault}");
        let fee = Call::tool("charge-fee", &key).key(&key).sequence(number);
        for first in 0..3 {
            let entries = cluster.entries_from(first);
            let (settled, _) = settle(&caller, &entries, &fee).await.unwrap();
            assert!(!matches!(settled, Settled::Refused(_)), "{settled:?}");
            assert!(!matches!(settled, Settled::Done(_)), "{settled:?}");
        }
        assert_eq!(cluster.effects_of(&key).await.unwrap(), 1);
    }
}

#[actix_rt::test]
async fn the_same_fee_sent_to_all_entries_at_once_is_charged_once() {
    let mut cluster = slow_service(ClusterConfig::default()).await;
    let caller = cluster.program("renewal-6").await.unwrap();
    let fee = Call::tool("charge-fee", "renewal-6").key("fee").sequence(1);
    for entry in 0..3 {
        send(&caller, &cluster, entry, &fee);
        send(&caller, &cluster, entry, &fee);
    }
    wait_for_open_effect(&cluster).await;
    let owner = cluster.owner_of("caribmar", "renewal-6").await.unwrap();
    cluster.entries[owner]
        .process
        .end(Signal::Kill)
        .await
        .unwrap();
    let others = cluster.entries_from(cluster.other_than(owner));
    let (settled, _) = settle(&caller, &others, &fee).await.unwrap();
    settled.done().unwrap();
    wait_for_no_open_effect(&cluster).await;
    assert_eq!(cluster.effects_of("renewal-6").await.unwrap(), 1);
}
