//! Hosts of one availability zone learn what changes in the store's tables from each
//! other; two of them read the store.

mod support;

use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use rosebend_gateway::feeds::FollowedTable;
use rosebend_gateway::peer_connections::{PeerConnections, PeerError};
use rosebend_gateway::peers;
use rosebend_protocol::follow::{FollowRequest, decode_answer, encode_request};
use rosebend_standin::store::StoreFaults;
use support::{Gateway, Site, TestRequest, wait_until};

const HOSTS: usize = 5;
const READERS: usize = 2;

async fn fleet(site: &Site) -> Vec<Gateway> {
    let gateways: Vec<Gateway> = (0..HOSTS).map(|_| site.start_gateway()).collect();
    for gateway in &gateways {
        gateway.wait_until_ready().await;
    }
    for gateway in &gateways {
        gateway.wait_for_peers(HOSTS - 1).await;
    }
    wait_until("two hosts read the store", async || {
        followers(&gateways).await.len() == HOSTS - READERS
    })
    .await;
    gateways
}

/// The hosts that follow others.
async fn followers(gateways: &[Gateway]) -> Vec<usize> {
    let mut followers = Vec::new();
    for (index, gateway) in gateways.iter().enumerate() {
        if gateway.metric("follower").await == 1 {
            followers.push(index);
        }
    }
    followers
}

async fn readers(gateways: &[Gateway]) -> Vec<usize> {
    let followers = followers(gateways).await;
    (0..HOSTS)
        .filter(|index| !followers.contains(index))
        .collect()
}

async fn until_in_force(gateway: &Gateway, version: u64) {
    wait_until("the version is in force", async || {
        gateway.metric("routes_version").await == version
    })
    .await;
}

async fn feed_calls(gateway: &Gateway) -> u64 {
    gateway
        .metric("store_calls_total{call=\"feed\",outcome=\"done\"}")
        .await
}

#[actix_rt::test]
async fn what_changes_reaches_hosts_that_do_not_read_the_store() {
    let site = Site::start();
    let gateways = fleet(&site).await;
    let followers = followers(&gateways).await;
    let mut calls = Vec::new();
    for index in &followers {
        calls.push(feed_calls(&gateways[*index]).await);
    }
    site.declare_routes(7);
    site.announce(0, "draining");
    for gateway in &gateways {
        until_in_force(gateway, 7).await;
        wait_until("the endpoint drains", async || {
            let events = gateway.events("endpoint-withdrawn");
            events.iter().any(|event| event["reason"] == "draining")
        })
        .await;
    }
    for (index, before) in followers.iter().zip(calls) {
        assert_eq!(feed_calls(&gateways[*index]).await, before);
    }
}

#[actix_rt::test]
async fn a_follower_knows_how_old_its_routes_are() {
    let site = Site::start();
    let gateways = fleet(&site).await;
    actix_rt::time::sleep(Duration::from_secs(3)).await;
    for index in followers(&gateways).await {
        let age_ms = gateways[index].metric("routes_age_ms").await;
        assert!(age_ms < 2_500, "{age_ms}");
    }
}

#[actix_rt::test]
async fn routes_reach_all_when_the_readers_are_killed() {
    let site = Site::start();
    let mut gateways = fleet(&site).await;
    let readers = readers(&gateways).await;
    for index in &readers {
        gateways[*index].kill();
    }
    site.declare_routes(8);
    for (index, gateway) in gateways.iter().enumerate() {
        if !readers.contains(&index) {
            until_in_force(gateway, 8).await;
        }
    }
}

#[actix_rt::test]
async fn routes_reach_all_when_the_readers_stand_still() {
    let site = Site::start();
    let gateways = fleet(&site).await;
    let readers = readers(&gateways).await;
    for index in &readers {
        gateways[*index].signal("STOP");
    }
    site.declare_routes(9);
    for (index, gateway) in gateways.iter().enumerate() {
        if !readers.contains(&index) {
            until_in_force(gateway, 9).await;
        }
    }
    // They know nothing newer than others when they go on.
    site.declare_routes(10);
    for index in &readers {
        gateways[*index].signal("CONT");
    }
    for gateway in &gateways {
        until_in_force(gateway, 10).await;
    }
}

#[actix_rt::test]
async fn followers_are_not_ready_in_an_outage_and_come_back() {
    let site = Site::start();
    let gateways = fleet(&site).await;
    site.set_store_faults(&StoreFaults::refusing()).await;
    for gateway in &gateways {
        gateway.wait_until_not_ready().await;
    }
    site.set_store_faults(&StoreFaults::default()).await;
    site.declare_routes(11);
    for gateway in &gateways {
        gateway.wait_until_ready().await;
        until_in_force(gateway, 11).await;
    }
    let answer = TestRequest::turn("t1", "p1", "x")
        .send(gateways[0].front)
        .await;
    assert_eq!(answer.status, 200);
}

/// The pattern of a start of the whole fleet: every host writes its row in the same
/// second, and a partition of the store takes 150 transactions in one.
#[test]
fn rows_of_hosts_that_start_together_are_spread_over_partitions() {
    let mut rows = HashMap::<String, usize>::new();
    for number in 0..1_250 {
        let row = peers::row_id(&format!("edge-hall-{number}"));
        *rows.entry(row.partition).or_default() += 1;
    }
    let partitions: Vec<&str> = FollowedTable::Gateways.partitions().collect();
    for (partition, count) in &rows {
        assert!(partitions.contains(&partition.as_str()));
        assert!(*count <= 150, "{count} rows in partition {partition}");
    }
}

#[actix_rt::test]
async fn a_host_that_starts_tells_of_many_endpoints_in_few_lines() {
    let site = Site::start();
    let address = "127.0.0.1:9".parse().unwrap();
    for number in 0..100 {
        site.announce_external(&format!("i-more-{number}"), "desk", address);
    }
    let gateway = site.start_ready_gateway().await;
    wait_until("all endpoints are told", async || {
        let lines = gateway.events("endpoint-listed");
        let told = lines.iter().map(|line| line["count"].as_u64().unwrap_or(1));
        told.sum::<u64>() == 102
    })
    .await;
    let lines = gateway.events("endpoint-listed").len();
    assert!(lines <= 17, "{lines} lines");
}

/// Asks a host what is new, as one of another run or of its own.
async fn ask(relay: SocketAddr, asked_run: &str, table: &str) -> Result<usize, PeerError> {
    let question = encode_request(&FollowRequest {
        asked_run: asked_run.to_owned(),
        table: table.to_owned(),
        after: None,
        wait: Duration::ZERO,
        knows_store_unavailable: false,
    });
    let connections = PeerConnections::default();
    let accepted = Cell::new(false);
    let answer = connections
        .ask(relay, "/peer/follow", question, &accepted)
        .await?;
    Ok(decode_answer(table, &answer).unwrap().rows.len())
}

#[actix_rt::test]
async fn a_question_for_another_process_or_another_table_is_refused() {
    let (_site, gateway) = Site::start_with_gateway().await;
    let refused = ask(gateway.relay, "gateway-0/another", "servers").await;
    assert!(
        matches!(refused, Err(PeerError::Refused(400))),
        "{refused:?}"
    );
    let refused = ask(gateway.relay, "", "programs").await;
    assert!(
        matches!(refused, Err(PeerError::Refused(400))),
        "{refused:?}"
    );
    // Lines of the log come after the answers.
    wait_until("both refusals are told", async || {
        gateway.events("peer-refused").len() == 2
    })
    .await;
}
