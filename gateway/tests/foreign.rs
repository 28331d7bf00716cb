//! What others wrote and cannot be used: it costs that one thing, and no
//! process.

mod support;

use std::time::Duration;

use rosebend_coordination::gateway::history::partitions;
use rosebend_standin::store::StoreFaults;
use rosebend_state::deployment::{RowId, RowWrite, Transaction};
use rosebend_transport::clock::Clock;
use rosebend_transport::store::StoreClient;
use serde_json::json;
use support::{Gateway, Site, TestRequest, wait_until};

/// Longest wait for an answer of the store.
const PATIENCE: Duration = Duration::from_secs(5);
const MODELS: usize = 0;
const DESK: usize = 1;
/// Rows that name no gateway; more than a host knows of peers.
const FOREIGN_PEERS: usize = 96;

async fn status(gateway: &Gateway, path: &str, attempt: &str) -> u16 {
    let ask = TestRequest::get(path).attempt(attempt);
    ask.send(gateway.front).await.status
}

#[actix_rt::test]
async fn a_route_that_cannot_be_used_is_refused_alone() {
    let (site, gateway) = Site::start_with_gateway().await;
    let mut next = support::routes(7);
    next["routes"][0]["retention-s"] = json!(1e20);
    next["routes"][2]["max-attempts"] = json!(0);
    let mut wider = next["routes"][1].clone();
    wider["name"] = json!("all");
    wider["prefix"] = json!("/");
    next["routes"].as_array_mut().unwrap().push(wider);
    site.store.put("op", "config", &next);
    wait_until("the new version serves", async || {
        status(&gateway, "/else/x", "a0").await == 200
    })
    .await;
    assert_eq!(status(&gateway, "/lookup/x", "a1").await, 200);
    // The wider route would serve it, more often than it may run.
    let answer = TestRequest::get("/fee/x")
        .attempt("a2")
        .send(gateway.front)
        .await;
    assert_eq!(answer.status, 503);
    assert!(answer.retry_after_s().unwrap() > 0.0);
    assert!(answer.body.contains("route-unusable"), "{}", answer.body);
    let turn = TestRequest::turn("a3", "p1", "hello")
        .send(gateway.front)
        .await;
    assert_eq!(turn.status, 503);
    assert!(!site.runs(DESK).await.contains_key("a2"));
    wait_until("both routes are told", async || {
        gateway.events("route-unusable").len() == 2
    })
    .await;
    let told = gateway.events("route-unusable");
    let routes: Vec<&str> = told
        .iter()
        .filter_map(|event| event["route"].as_str())
        .collect();
    assert_eq!(routes, ["turns", "fee"]);
    assert!(told.iter().all(|event| event["count"] == 2));
}

#[actix_rt::test]
async fn a_version_that_cannot_be_read_leaves_the_one_before_in_force() {
    let (site, gateway) = Site::start_with_gateway().await;
    let mut next = support::routes(7);
    next["limits"]["idle-timeout-ms"] = json!(u64::MAX);
    site.store.put("op", "config", &next);
    wait_until("the version is refused", async || {
        !gateway.events("routes-unreadable").is_empty()
    })
    .await;
    assert_eq!(status(&gateway, "/lookup/x", "a1").await, 200);
    assert_eq!(gateway.events("routes-in-force").len(), 1);
}

#[actix_rt::test]
async fn a_header_that_cannot_be_used_is_told_and_runs_nowhere() {
    let (site, gateway) = Site::start_with_gateway().await;
    let long = "x".repeat(200);
    let table = [
        ("token-budget", "-5"),
        ("token-budget", "1e400"),
        ("token-budget", "all"),
        ("token-counts", "100,18446744073709551615"),
        ("token-counts", "100"),
        ("previous-turn", "a/b"),
        ("previous-turn", &long),
        ("program-id", "p/1"),
        ("deadline-ms", "inf"),
        ("attempt-id", &long),
    ];
    for (name, value) in table {
        let ask = TestRequest::turn("a1", "p1", "hello").header(name, value);
        let answer = ask.send(gateway.front).await;
        assert_eq!(answer.status, 400, "{name}: {value}");
        let told = answer.body.to_ascii_lowercase();
        assert!(told.contains(name), "{name}: {value}: {told}");
    }
    wait_until("all refusals are told", async || {
        gateway.events("request-ended").len() == table.len()
    })
    .await;
    let ended = gateway.events("request-ended");
    assert!(
        ended
            .iter()
            .all(|event| event["reason"] == "header-unusable")
    );
    assert!(site.runs(MODELS).await.is_empty());
    let answer = TestRequest::turn("a2", "p1", "hello")
        .send(gateway.front)
        .await;
    assert_eq!(answer.status, 200);
}

/// Rows of the table of gateways that name no gateway, spread over all keys.
fn write_foreign_peers(site: &Site) {
    let long = "x".repeat(10_000);
    let odd = |number: usize| {
        let host = format!("foreign-{number}");
        match number % 6 {
            0 => json!({"host": host, "relay": "127.0.0.1:0", "holder": format!("{host}/1")}),
            1 => json!({"host": host, "relay": "0.0.0.0:9", "holder": format!("{host}/1")}),
            2 => json!({"host": host, "relay": "127.0.0.1:9", "holder": format!("{host}/1")}),
            3 => json!({"host": long, "relay": "224.0.0.1:9", "holder": long}),
            4 => json!({"host": host, "relay": 9}),
            _ => json!("no object"),
        }
    };
    for number in 0..FOREIGN_PEERS {
        let key = format!("{:02x}", number * 256 / FOREIGN_PEERS);
        site.store.put("gateways", &key, &odd(number));
    }
}

#[actix_rt::test]
async fn rows_that_name_no_peer_take_the_place_of_none() {
    let site = Site::start();
    write_foreign_peers(&site);
    let open_door = site.open_store_listener();
    let peer = Gateway::start(open_door.address());
    peer.wait_until_ready().await;
    wait_until("the peer has written its row", async || {
        site.rows("gateways") == FOREIGN_PEERS + 1
    })
    .await;
    let gateway = site.start_ready_gateway().await;
    wait_until("the rows are told", async || {
        !gateway.events("peer-row-unusable").is_empty()
    })
    .await;
    gateway.wait_for_peers(1).await;
    site.set_store_faults(&StoreFaults::refusing()).await;
    wait_until("calls go by the peer", async || {
        !gateway.events("store-relayed").is_empty()
    })
    .await;
    let relayed = gateway.events("store-relayed");
    assert!(
        relayed
            .iter()
            .all(|event| event["address"] != "127.0.0.1:9")
    );
    let told = gateway.events("peer-row-unusable");
    assert!((1..=8).contains(&told.len()), "{} lines", told.len());
}

#[actix_rt::test]
async fn a_turn_whose_index_row_cannot_be_read_is_not_denied() {
    let (site, gateway) = Site::start_with_gateway().await;
    let store = StoreClient::new(site.store_listener.address(), PATIENCE, Clock::start());
    let partition = partitions().next().unwrap();
    let foreign = Transaction {
        writes: vec![RowWrite {
            row: RowId::new("turns", &partition, "t1".to_owned()),
            value: vec![0xff, 0xfe],
        }],
        ..Transaction::default()
    };
    store.transact(&foreign).await.unwrap();
    let answer = TestRequest::turn("t2", "p1", "x").previous("t1");
    assert_eq!(answer.send(gateway.front).await.status, 503);
    let never = TestRequest::turn("t3", "p1", "x").previous("never");
    assert_eq!(never.send(gateway.front).await.status, 404);
}
