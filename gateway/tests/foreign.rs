//! Invalid routes, headers and rows written by other systems affect only themselves and
//! stop no process.

mod support;

use std::time::Duration;

use rosebend_coordination::gateway::history::partitions;
use rosebend_standin::store::StoreFaults;
use rosebend_state::deployment::{RowId, RowWrite, Transaction};
use rosebend_transport::clock::Clock;
use rosebend_transport::store::StoreClient;
use serde_json::json;
use support::{Gateway, Site, TestRequest, wait_until};

/// Timeout for an answer of the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);
const MODELS: usize = 0;
const DESK: usize = 1;
/// Number of invalid gateway rows, which is larger than the number of peers that a host
/// uses as relays.
const INVALID_PEER_ROWS: usize = 96;

async fn status(gateway: &Gateway, path: &str, attempt: &str) -> u16 {
    let ask = TestRequest::get(path).attempt(attempt);
    ask.send(gateway.front).await.status
}

#[actix_rt::test]
async fn only_requests_of_an_unusable_route_are_refused() {
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
    // The wider route also matches the request and would run it more often than the
    // unusable route allows.
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
    wait_until("both routes are logged", async || {
        gateway.events("route-unusable").len() == 2
    })
    .await;
    let logged = gateway.events("route-unusable");
    let routes: Vec<&str> = logged
        .iter()
        .filter_map(|event| event["route"].as_str())
        .collect();
    assert_eq!(routes, ["turns", "fee"]);
    assert!(logged.iter().all(|event| event["count"] == 2));
}

#[actix_rt::test]
async fn an_unreadable_version_of_the_routes_does_not_replace_the_previous_one() {
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
async fn a_request_with_an_unusable_header_is_logged_and_does_not_run() {
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
        let body = answer.body.to_ascii_lowercase();
        assert!(body.contains(name), "{name}: {value}: {body}");
    }
    wait_until("all refusals are logged", async || {
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

/// Writes invalid rows to the table of gateways, with keys spread over the whole range.
fn write_invalid_peers(site: &Site) {
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
    for number in 0..INVALID_PEER_ROWS {
        let key = format!("{:02x}", number * 256 / INVALID_PEER_ROWS);
        site.store.put("gateways", &key, &odd(number));
    }
}

#[actix_rt::test]
async fn invalid_gateway_rows_do_not_displace_peers() {
    let site = Site::start();
    write_invalid_peers(&site);
    let open_door = site.open_store_listener();
    let peer = Gateway::start(open_door.address());
    peer.wait_until_ready().await;
    wait_until("the peer has written its row", async || {
        site.rows("gateways") == INVALID_PEER_ROWS + 1
    })
    .await;
    let gateway = site.start_ready_gateway().await;
    wait_until("the rows are logged", async || {
        !gateway.events("peer-row-unusable").is_empty()
    })
    .await;
    gateway.wait_for_peers(1).await;
    site.set_store_faults(&StoreFaults::refusing()).await;
    wait_until("calls are relayed through the peer", async || {
        !gateway.events("store-relayed").is_empty()
    })
    .await;
    let relayed = gateway.events("store-relayed");
    assert!(
        relayed
            .iter()
            .all(|event| event["address"] != "127.0.0.1:9")
    );
    let logged = gateway.events("peer-row-unusable");
    assert!((1..=8).contains(&logged.len()), "{} lines", logged.len());
}

#[actix_rt::test]
async fn a_turn_with_an_unreadable_index_row_is_not_reported_as_missing() {
    let (site, gateway) = Site::start_with_gateway().await;
    let store = StoreClient::new(site.store_listener.address(), STORE_TIMEOUT, Clock::start());
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
