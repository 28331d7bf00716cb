//! One host commits for the others of its site, and the others go on without it
//! when it dies, stands still, is cut off from the store or talks nonsense.

mod support;

use std::net::TcpListener;

use http::Method;
use rosebend_protocol::commit::encode_request;
use rosebend_standin::server::RunningServer;
use rosebend_standin::store::StoreFaults;
use rosebend_state::deployment::{RowId, Transaction};
use support::{Gateway, Site, TestRequest, wait_until};

const BY_GATHERER: &str = "commits_total{way=\"gatherer\"}";

/// A site whose first host commits for the other one. Its door of the store is
/// its own.
async fn start() -> (Site, RunningServer, Gateway, Gateway) {
    let site = Site::start();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let door = site.store.open_door(listener).unwrap();
    let gatherer = Gateway::start_batcher(door.address());
    let other = site.start_gateway();
    for gateway in [&gatherer, &other] {
        gateway.wait_until_ready().await;
        gateway.wait_for_peers(1).await;
    }
    (site, door, gatherer, other)
}

/// A turn that continues from the one before it.
fn turn(number: usize) -> TestRequest {
    let ask = TestRequest::turn(&format!("t{number}"), "p1", "x|");
    match number {
        0 => ask,
        _ => ask.previous(&format!("t{}", number - 1)),
    }
}

async fn is_served(gateway: &Gateway, number: usize) {
    let answer = turn(number).send(gateway.front).await;
    assert_eq!(
        (answer.status, answer.is_complete),
        (200, true),
        "turn {number}: {}",
        answer.body
    );
}

#[actix_rt::test]
async fn turns_of_many_hosts_are_committed_by_one() {
    let (site, _door, gatherer, other) = start().await;
    let before = gatherer.metric("joined_parts_total").await;
    for number in 0..3 {
        is_served(&other, number).await;
    }
    assert!(other.metric(BY_GATHERER).await >= 3);
    assert_eq!(other.metric("joined_parts_total").await, 0);
    assert!(gatherer.metric("joined_parts_total").await - before >= 3);
    // What one host has recorded by another is there for all.
    is_served(&gatherer, 3).await;
    drop(site);
}

#[actix_rt::test]
async fn turns_go_on_when_the_gatherer_is_killed() {
    let (_site, _door, mut gatherer, other) = start().await;
    is_served(&other, 0).await;
    gatherer.kill();
    for number in 1..4 {
        is_served(&other, number).await;
    }
    let avoided = other.events("gatherer-avoided");
    assert_eq!(avoided[0]["reason"], "unreachable", "{avoided:?}");
    assert!(other.metric("joined_parts_total").await > 0);
}

#[actix_rt::test]
async fn turns_go_on_when_the_gatherer_stands_still() {
    let (_site, _door, gatherer, other) = start().await;
    is_served(&other, 0).await;
    gatherer.signal("STOP");
    for number in 1..4 {
        is_served(&other, number).await;
    }
    let avoided = other.events("gatherer-avoided");
    assert_eq!(avoided[0]["reason"], "silent", "{avoided:?}");
    // What it had taken in before it stood still comes late and changes nothing.
    gatherer.signal("CONT");
    gatherer.wait_until_ready().await;
    is_served(&gatherer, 4).await;
    is_served(&other, 5).await;
}

#[actix_rt::test]
async fn turns_go_on_when_the_store_does_not_answer_the_gatherer() {
    let silent = StoreFaults {
        silent: true,
        ..StoreFaults::default()
    };
    for faults in [silent, StoreFaults::refusing()] {
        let (_site, door, _gatherer, other) = start().await;
        is_served(&other, 0).await;
        support::set_listener_faults(&door, &faults).await;
        for number in 1..4 {
            is_served(&other, number).await;
        }
    }
}

#[actix_rt::test]
async fn turns_go_on_when_the_answers_to_the_gatherer_are_lost() {
    let (_site, door, _gatherer, other) = start().await;
    let lost = StoreFaults {
        lose_answers: 3,
        ..StoreFaults::default()
    };
    support::set_listener_faults(&door, &lost).await;
    for number in 0..3 {
        is_served(&other, number).await;
    }
}

/// What was seen: turns that had been answered whole were denied at every host.
/// Hosts of several sites ran on one machine; a gatherer had died, its address
/// had come to a host of another site, and that one committed to its own store.
#[actix_rt::test]
async fn a_host_of_another_site_at_the_gatherer_s_address_commits_nothing() {
    let (_site, _door, mut gatherer, other) = start().await;
    is_served(&other, 0).await;
    let address = gatherer.relay;
    gatherer.kill();
    let elsewhere = Site::start();
    let stranger = Gateway::start_at(elsewhere.store_listener.address(), address);
    stranger.wait_until_ready().await;
    is_served(&other, 1).await;
    // Nothing of it is kept in memory by a host that has just started.
    assert_eq!(elsewhere.rows("programs"), 0);
    is_served(&other, 2).await;
}

#[actix_rt::test]
async fn a_message_that_is_none_is_refused_and_costs_nothing_else() {
    let (_site, _door, gatherer, other) = start().await;
    let row = RowId::new("programs", "elsewhere", "p1/");
    let elsewhere = encode_request("a/b", &Transaction::default().delete(row));
    let elsewhere = String::from_utf8(elsewhere).unwrap();
    let messages = ["", "nonsense", "\u{8}\u{2}", &elsewhere];
    for message in messages {
        let ask = TestRequest::new(Method::POST, "/peer/commit").body(message);
        assert_eq!(ask.send(gatherer.relay).await.status, 400, "{message:?}");
    }
    let refused = gatherer.metric("refused_commits_total").await;
    assert_eq!(refused, messages.len() as u64);
    assert_eq!(gatherer.events("peer-refused").len(), messages.len());
    is_served(&other, 0).await;
}

#[actix_rt::test]
async fn a_host_that_comes_back_commits_for_others_again() {
    let site = Site::start();
    let host = Gateway::new_host_name();
    let mut gatherer = Gateway::start_batcher_on(&host, site.store_listener.address());
    let other = site.start_gateway();
    for gateway in [&gatherer, &other] {
        gateway.wait_until_ready().await;
        gateway.wait_for_peers(1).await;
    }
    is_served(&other, 0).await;
    gatherer.kill();
    is_served(&other, 1).await;
    let gatherer = Gateway::start_batcher_on(&host, site.store_listener.address());
    gatherer.wait_until_ready().await;
    let number = std::cell::Cell::new(2);
    wait_until("it commits for the other one", async || {
        is_served(&other, number.replace(number.get() + 1)).await;
        gatherer.metric("joined_parts_total").await > 0
    })
    .await;
}
