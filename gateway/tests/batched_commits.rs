//! One host batches the transactions of its deployment. The other hosts keep serving
//! turns when it is killed, is stopped by a signal or cannot reach the store.

mod support;

use std::net::TcpListener;

use http::Method;
use rosebend_protocol::commit::encode_request;
use rosebend_standin::server::RunningServer;
use rosebend_standin::store::StoreFaults;
use rosebend_state::deployment::{RowId, Transaction};
use rosebend_transport::clock::Clock;
use support::{Gateway, Site, TestRequest, wait_until};

const COMMITS_BY_BATCHER: &str = "commits_total{way=\"gatherer\"}";

/// Starts a deployment of two hosts, of which the first is the batcher. It reaches the
/// store at an address of its own, so that faults can be set for it alone.
async fn start() -> (Site, RunningServer, Gateway, Gateway) {
    let site = Site::start();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let batcher_store = site.store.open_door(listener).unwrap();
    let batcher = Gateway::start_batcher(batcher_store.address());
    let other = site.start_gateway();
    for gateway in [&batcher, &other] {
        gateway.wait_until_ready().await;
        gateway.wait_for_peers(1).await;
    }
    (site, batcher_store, batcher, other)
}

/// Returns the request for a turn that continues from the preceding one.
fn turn(number: usize) -> TestRequest {
    let ask = TestRequest::turn(&format!("t{number}"), "p1", "x|");
    match number {
        0 => ask,
        _ => ask.previous(&format!("t{}", number - 1)),
    }
}

async fn assert_served(gateway: &Gateway, number: usize) {
    let answer = turn(number).send(gateway.front).await;
    assert_eq!(
        (answer.status, answer.is_complete),
        (200, true),
        "turn {number}: {}",
        answer.body
    );
}

#[actix_rt::test]
async fn one_host_commits_the_turns_of_all_hosts() {
    let (site, _batcher_store, batcher, other) = start().await;
    let before = batcher.metric("joined_parts_total").await;
    for number in 0..3 {
        assert_served(&other, number).await;
    }
    assert!(other.metric(COMMITS_BY_BATCHER).await >= 3);
    assert_eq!(other.metric("joined_parts_total").await, 0);
    assert!(batcher.metric("joined_parts_total").await - before >= 3);
    // The turns that one host committed through the other are visible to both.
    assert_served(&batcher, 3).await;
    drop(site);
}

#[actix_rt::test]
async fn turns_are_served_after_the_batcher_is_killed() {
    let (_site, _batcher_store, mut batcher, other) = start().await;
    assert_served(&other, 0).await;
    batcher.kill();
    for number in 1..4 {
        assert_served(&other, number).await;
    }
    let avoided = other.events("gatherer-avoided");
    assert_eq!(avoided[0]["reason"], "unreachable", "{avoided:?}");
    assert!(other.metric("joined_parts_total").await > 0);
}

#[actix_rt::test]
async fn turns_are_served_while_the_batcher_is_stopped_by_a_signal() {
    let (_site, _batcher_store, batcher, other) = start().await;
    assert_served(&other, 0).await;
    batcher.signal("STOP");
    for number in 1..4 {
        assert_served(&other, number).await;
    }
    let avoided = other.events("gatherer-avoided");
    assert_eq!(avoided[0]["reason"], "silent", "{avoided:?}");
    // Transactions that the batcher received before it was stopped are sent when it
    // resumes, and change nothing.
    batcher.signal("CONT");
    batcher.wait_until_ready().await;
    assert_served(&batcher, 4).await;
    assert_served(&other, 5).await;
}

#[actix_rt::test]
async fn turns_are_served_when_the_store_does_not_answer_the_batcher() {
    let silent = StoreFaults {
        silent: true,
        ..StoreFaults::default()
    };
    for faults in [silent, StoreFaults::refusing()] {
        let (_site, batcher_store, _batcher, other) = start().await;
        assert_served(&other, 0).await;
        support::set_listener_faults(&batcher_store, &faults).await;
        for number in 1..4 {
            assert_served(&other, number).await;
        }
    }
}

#[actix_rt::test]
async fn turns_are_served_when_the_answers_to_the_batcher_are_lost() {
    let (_site, batcher_store, _batcher, other) = start().await;
    let lost = StoreFaults {
        lose_answers: 3,
        ..StoreFaults::default()
    };
    support::set_listener_faults(&batcher_store, &lost).await;
    for number in 0..3 {
        assert_served(&other, number).await;
    }
}

/// Guards against lost turns: after a batcher is killed, a gateway of another deployment
/// may get its address. If that gateway accepted the transactions, it would commit them
/// to its own store, and every host of this deployment would refuse to continue from
/// turns whose callers had received a complete answer.
#[actix_rt::test]
async fn a_host_of_another_deployment_at_the_batchers_address_commits_nothing() {
    let (_site, _batcher_store, mut batcher, other) = start().await;
    assert_served(&other, 0).await;
    let address = batcher.relay;
    batcher.kill();
    let other_deployment = Site::start();
    let other_gateway = Gateway::start_at(other_deployment.store_listener.address(), address);
    other_gateway.wait_until_ready().await;
    assert_served(&other, 1).await;
    // The other gateway has just started and caches nothing, so a transaction that it had
    // accepted would appear as rows in its store.
    assert_eq!(other_deployment.rows("programs"), 0);
    assert_served(&other, 2).await;
}

/// Guards against batches that ignore the declared rate of the store: with 16 writes per
/// second a partition's bucket holds one token, which comes back after 16 / 12 s. A slow
/// machine only adds time for tokens to come back.
#[actix_rt::test]
async fn batches_of_a_partition_are_paced_by_the_declared_rate() {
    let site = Site::start();
    let gateway = site.start_ready_gateway().await;
    gateway.change_settings("[store]", "[store]\nwrites_per_s = 16");
    wait_until("the settings are applied", async || {
        !gateway.events("settings-taken").is_empty()
    })
    .await;
    let clock = Clock::start();
    let before = gateway.metric("joined_transactions_total").await;
    for number in 0..4 {
        assert_served(&gateway, number).await;
    }
    let batches = gateway.metric("joined_transactions_total").await - before;
    let tokens = 1.0 + clock.now().as_secs_f64() * 12.0 / 16.0;
    assert!(
        (4.0..=tokens).contains(&(batches as f64)),
        "{batches} batches with {tokens} tokens"
    );
}

#[actix_rt::test]
async fn malformed_messages_are_refused_without_other_effects() {
    let (_site, _batcher_store, batcher, other) = start().await;
    let row = RowId::new("programs", "elsewhere", "p1/");
    let other_partition = encode_request("a/b", &Transaction::default().delete(row));
    let other_partition = String::from_utf8(other_partition).unwrap();
    let messages = ["", "nonsense", "\u{8}\u{2}", &other_partition];
    for message in messages {
        let ask = TestRequest::new(Method::POST, "/peer/commit").body(message);
        assert_eq!(ask.send(batcher.relay).await.status, 400, "{message:?}");
    }
    let refused = batcher.metric("refused_commits_total").await;
    assert_eq!(refused, messages.len() as u64);
    assert_eq!(batcher.events("peer-refused").len(), messages.len());
    assert_served(&other, 0).await;
}

#[actix_rt::test]
async fn a_restarted_batcher_commits_for_other_hosts_again() {
    let site = Site::start();
    let host = Gateway::new_host_name();
    let mut batcher = Gateway::start_batcher_on(&host, site.store_listener.address());
    let other = site.start_gateway();
    for gateway in [&batcher, &other] {
        gateway.wait_until_ready().await;
        gateway.wait_for_peers(1).await;
    }
    assert_served(&other, 0).await;
    batcher.kill();
    assert_served(&other, 1).await;
    let batcher = Gateway::start_batcher_on(&host, site.store_listener.address());
    batcher.wait_until_ready().await;
    let number = std::cell::Cell::new(2);
    wait_until(
        "it batches the transactions of the other host",
        async || {
            assert_served(&other, number.replace(number.get() + 1)).await;
            batcher.metric("joined_parts_total").await > 0
        },
    )
    .await;
}
