//! Tests of the feeds: two hosts of an availability zone read the store's tables, and the
//! other hosts receive the changes from them.

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

/// Starts the gateways and waits until two of them read the store.
async fn start_gateways(site: &Site) -> Vec<Gateway> {
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

/// Returns the indexes of the hosts that follow other hosts.
async fn followers(gateways: &[Gateway]) -> Vec<usize> {
    let mut followers = Vec::new();
    for (index, gateway) in gateways.iter().enumerate() {
        if gateway.metric("follower").await == 1 {
            followers.push(index);
        }
    }
    followers
}

/// Returns the indexes of the hosts that read the store.
async fn readers(gateways: &[Gateway]) -> Vec<usize> {
    let followers = followers(gateways).await;
    (0..HOSTS)
        .filter(|index| !followers.contains(index))
        .collect()
}

async fn until_routes_version(gateway: &Gateway, version: u64) {
    wait_until("the routes have the version", async || {
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
async fn changes_reach_hosts_that_do_not_read_the_store() {
    let site = Site::start();
    let gateways = start_gateways(&site).await;
    let followers = followers(&gateways).await;
    let mut calls = Vec::new();
    for index in &followers {
        calls.push(feed_calls(&gateways[*index]).await);
    }
    site.declare_routes(7);
    site.announce(0, "draining");
    for gateway in &gateways {
        until_routes_version(gateway, 7).await;
        wait_until("the endpoint is withdrawn as draining", async || {
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
async fn routes_of_a_follower_stay_current() {
    let site = Site::start();
    let gateways = start_gateways(&site).await;
    actix_rt::time::sleep(Duration::from_secs(3)).await;
    for index in followers(&gateways).await {
        let age_ms = gateways[index].metric("routes_age_ms").await;
        assert!(age_ms < 2_500, "{age_ms}");
    }
}

#[actix_rt::test]
async fn routes_reach_the_followers_after_the_readers_are_killed() {
    let site = Site::start();
    let mut gateways = start_gateways(&site).await;
    let readers = readers(&gateways).await;
    for index in &readers {
        gateways[*index].kill();
    }
    site.declare_routes(8);
    for (index, gateway) in gateways.iter().enumerate() {
        if !readers.contains(&index) {
            until_routes_version(gateway, 8).await;
        }
    }
}

#[actix_rt::test]
async fn routes_reach_the_followers_while_the_readers_are_suspended() {
    let site = Site::start();
    let gateways = start_gateways(&site).await;
    let readers = readers(&gateways).await;
    for index in &readers {
        gateways[*index].signal("STOP");
    }
    site.declare_routes(9);
    for (index, gateway) in gateways.iter().enumerate() {
        if !readers.contains(&index) {
            until_routes_version(gateway, 9).await;
        }
    }
    // When the readers resume, their cached tables are older than those of their followers.
    site.declare_routes(10);
    for index in &readers {
        gateways[*index].signal("CONT");
    }
    for gateway in &gateways {
        until_routes_version(gateway, 10).await;
    }
}

#[actix_rt::test]
async fn followers_are_not_ready_during_an_outage_and_recover() {
    let site = Site::start();
    let gateways = start_gateways(&site).await;
    site.set_store_faults(&StoreFaults::refusing()).await;
    for gateway in &gateways {
        gateway.wait_until_not_ready().await;
    }
    site.set_store_faults(&StoreFaults::default()).await;
    site.declare_routes(11);
    for gateway in &gateways {
        gateway.wait_until_ready().await;
        until_routes_version(gateway, 11).await;
    }
    let answer = TestRequest::turn("t1", "p1", "x")
        .send(gateways[0].front)
        .await;
    assert_eq!(answer.status, 200);
}

/// When all hosts start at once, each of them writes its row in the same second, and a
/// partition of the store accepts 150 transactions per second.
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
async fn a_starting_host_logs_many_endpoints_in_few_events() {
    let site = Site::start();
    let address = "127.0.0.1:9".parse().unwrap();
    for number in 0..100 {
        site.announce_external(&format!("i-more-{number}"), "desk", address);
    }
    let gateway = site.start_ready_gateway().await;
    wait_until("all endpoints are logged", async || {
        let lines = gateway.events("endpoint-listed");
        let counts = lines.iter().map(|line| line["count"].as_u64().unwrap_or(1));
        counts.sum::<u64>() == 102
    })
    .await;
    let lines = gateway.events("endpoint-listed").len();
    assert!(lines <= 17, "{lines} events");
}

/// Requests a whole table from a host as a follower does, addressed to the process
/// `asked_run`. Returns the number of rows.
async fn request_table(
    relay: SocketAddr,
    asked_run: &str,
    table: &str,
) -> Result<usize, PeerError> {
    let request = encode_request(&FollowRequest {
        asked_run: asked_run.to_owned(),
        table: table.to_owned(),
        after: None,
        wait: Duration::ZERO,
        knows_store_unavailable: false,
    });
    let connections = PeerConnections::default();
    let accepted = Cell::new(false);
    let answer = connections
        .ask(relay, "/peer/follow", request, &accepted)
        .await?;
    Ok(decode_answer(table, &answer).unwrap().rows.len())
}

#[actix_rt::test]
async fn a_request_for_another_process_or_an_unknown_table_is_refused() {
    let (_site, gateway) = Site::start_with_gateway().await;
    let refused = request_table(gateway.relay, "gateway-0/another", "servers").await;
    assert!(
        matches!(refused, Err(PeerError::Refused(400))),
        "{refused:?}"
    );
    let refused = request_table(gateway.relay, "", "programs").await;
    assert!(
        matches!(refused, Err(PeerError::Refused(400))),
        "{refused:?}"
    );
    // Events may be logged after the answers were sent.
    wait_until("both refusals are logged", async || {
        gateway.events("peer-refused").len() == 2
    })
    .await;
}
