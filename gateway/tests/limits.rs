//! Rate limits of customers over several hosts: the hosts together serve no more than a
//! limit allows, customers below their limit are not refused, and refused requests did
//! not run.

mod support;

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use http::Method;
use serde_json::{Value, json};
use support::{Gateway, Site, TestRequest, TestResponse, routes, wait_until};

const DESK: usize = 1;
const KEY: &str = "ship-key-000001";
const UNLIMITED_KEY: &str = "crew-key-000001";
/// Rate in requests per second, and burst in requests, of the customer with a limit.
const RATE_PER_S: u64 = 10;

fn declared(version: u64, rate_per_s: u64) -> Value {
    let mut declared = routes(version);
    declared["tenants"] = json!([
        {"name": "ship", "api-keys": [KEY], "priority": 1, "rate-per-s": rate_per_s,
         "burst": rate_per_s},
        {"name": "crew", "api-keys": [UNLIMITED_KEY]},
    ]);
    declared
}

async fn site_with(count: usize) -> (Site, Vec<Gateway>) {
    let site = Site::without_routes();
    site.store.put("op", "config", &declared(1, RATE_PER_S));
    let gateways: Vec<Gateway> = (0..count).map(|_| site.start_gateway()).collect();
    for gateway in &gateways {
        gateway.wait_until_ready().await;
        gateway.wait_for_peers(count - 1).await;
    }
    (site, gateways)
}

fn lookup(attempt: &str, key: &str) -> TestRequest {
    TestRequest::lookup(attempt).header("authorization", &format!("Bearer {key}"))
}

/// Sends requests concurrently, distributed evenly over all hosts.
async fn send_all(gateways: &[Gateway], name: &str, count: usize, key: &str) -> Vec<TestResponse> {
    let asks = (0..count).map(|number| {
        let front = gateways[number % gateways.len()].front;
        async move {
            let ask = lookup(&format!("{name}{number}"), key);
            ask.send(front).await
        }
    });
    join_all(asks).await
}

fn served(answers: &[TestResponse]) -> usize {
    answers.iter().filter(|answer| answer.status == 200).count()
}

/// Returns the maximum number of requests that may be served in a time of at least the
/// operators' window of 5 s, with the tolerated overage and slack.
fn max_served(rate_per_s: u64, time: Duration) -> usize {
    let rate_per_s = rate_per_s as f64;
    let allowed = rate_per_s * time.as_secs_f64().max(5.0) + rate_per_s;
    (allowed * 1.1 + 20.0) as usize
}

/// Waits until the allocators grant the whole limit. They start with nearly empty
/// buckets.
async fn until_whole_limit_is_granted(gateways: &[Gateway]) {
    wait_until("the allocator grants quota", async || {
        let answers = send_all(gateways, "w", 1, KEY).await;
        served(&answers) == 1
    })
    .await;
    actix_rt::time::sleep(Duration::from_millis(2_500)).await;
}

#[actix_rt::test]
async fn a_limit_holds_over_all_hosts_together() {
    let (site, gateways) = site_with(3).await;
    until_whole_limit_is_granted(&gateways).await;
    let began = Instant::now();
    let mut served_count = 0;
    let mut refused = Vec::new();
    for round in 0..8 {
        let answers = send_all(&gateways, &format!("r{round}-"), 24, KEY).await;
        served_count += served(&answers);
        refused.extend(answers.into_iter().filter(|answer| answer.status != 200));
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(served_count >= RATE_PER_S as usize, "{served_count} served");
    assert!(
        served_count <= max_served(RATE_PER_S, began.elapsed()),
        "{served_count} served"
    );
    assert_eq!(site.runs(DESK).await.len() - 1, served_count);
    for answer in refused {
        assert_eq!(answer.status, 429);
        assert!(answer.retry_after_s().unwrap() > 0.0);
        let problem: Value = serde_json::from_str(&answer.body).unwrap();
        assert_eq!(
            (problem["reason"].as_str(), problem["ran"].as_str()),
            (Some("over-limit"), Some("no"))
        );
    }
}

#[actix_rt::test]
async fn a_customer_below_its_limit_and_one_without_are_not_refused() {
    let (_site, gateways) = site_with(3).await;
    until_whole_limit_is_granted(&gateways).await;
    for round in 0..12 {
        let answers = send_all(&gateways, &format!("r{round}-"), 1, KEY).await;
        assert_eq!(served(&answers), 1);
        let unlimited = send_all(&gateways, &format!("f{round}-"), 10, UNLIMITED_KEY).await;
        assert_eq!(served(&unlimited), 10);
        actix_rt::time::sleep(Duration::from_millis(150)).await;
    }
}

#[actix_rt::test]
async fn restarts_of_all_hosts_allow_no_second_burst() {
    let (site, mut gateways) = site_with(2).await;
    until_whole_limit_is_granted(&gateways).await;
    let began = Instant::now();
    let mut served_count = served(&send_all(&gateways, "a", 60, KEY).await);
    for gateway in &mut gateways {
        gateway.kill();
    }
    let gateways = site.start_two_ready_gateways().await;
    for round in 0..6 {
        served_count += served(&send_all(&gateways, &format!("b{round}-"), 20, KEY).await);
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(
        served_count <= max_served(RATE_PER_S, began.elapsed()),
        "{served_count} served"
    );
}

#[actix_rt::test]
async fn a_lowered_limit_applies_immediately() {
    let (site, gateways) = site_with(2).await;
    until_whole_limit_is_granted(&gateways).await;
    site.store.put("op", "config", &declared(2, 1));
    for gateway in &gateways {
        wait_until("the routes are in force", async || {
            gateway.metric("routes_version").await == 2
        })
        .await;
    }
    let began = Instant::now();
    let mut served_count = 0;
    for round in 0..10 {
        served_count += served(&send_all(&gateways, &format!("r{round}-"), 10, KEY).await);
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(
        served_count <= max_served(1, began.elapsed()),
        "{served_count} served"
    );
}

#[actix_rt::test]
async fn requests_that_did_not_run_are_not_counted() {
    let (site, gateways) = site_with(1).await;
    until_whole_limit_is_granted(&gateways).await;
    let faults = rosebend_standin::backend::BackendFaults {
        refuse: 1_000,
        ..Default::default()
    };
    site.set_endpoint_faults(DESK, &faults).await;
    let answers = send_all(&gateways, "n", 60, KEY).await;
    assert_eq!(served(&answers), 0);
    site.set_endpoint_faults(DESK, &Default::default()).await;
    wait_until("refunded requests may be served", async || {
        served(&send_all(&gateways, "y", 8, KEY).await) == 8
    })
    .await;
}

#[actix_rt::test]
async fn another_allocator_replaces_one_that_was_killed() {
    let (_site, mut gateways) = site_with(3).await;
    until_whole_limit_is_granted(&gateways).await;
    let mut last = gateways.pop().unwrap();
    last.kill();
    wait_until("the limit is granted again", async || {
        served(&send_all(&gateways, "g", 4, KEY).await) == 4
    })
    .await;
}

#[actix_rt::test]
async fn forged_datagrams_are_ignored() {
    let (_site, gateways) = site_with(2).await;
    until_whole_limit_is_granted(&gateways).await;
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let forged_request = json!({"customer": "ship", "served": 1_000_000, "begun": 0, "held": 4_000_000_000_u32,
        "held_begins": 0, "waiting": 1_000, "waiting_begins": 0, "expected": 0});
    let forged = json!({"Ask": {"from": "gateway/0000000000000000", "to": "gateway/0000000000000000",
        "number": 1, "groups": [0, 1, 2, 99], "heard_ms": 0, "customers": [forged_request]}});
    let messages = [
        format!("L1{forged}").into_bytes(),
        b"L1".to_vec(),
        b"L1{}".to_vec(),
        [b"L1".to_vec(), vec![0xff; 1_400]].concat(),
        b"L2{}".to_vec(),
    ];
    for message in &messages {
        for gateway in &gateways {
            socket.send_to(message, gateway.relay).unwrap();
        }
    }
    let answers = send_all(&gateways, "r", 4, KEY).await;
    assert_eq!(served(&answers), 4);
    for gateway in &gateways {
        assert!(gateway.panics().is_empty());
    }
}

#[actix_rt::test]
async fn a_program_in_progress_takes_precedence_over_new_ones() {
    let (_site, gateways) = site_with(1).await;
    until_whole_limit_is_granted(&gateways).await;
    let turn = |attempt: &str, program: &str| {
        TestRequest::turn(attempt, program, "x").header("authorization", &format!("Bearer {KEY}"))
    };
    let front = gateways[0].front;
    assert_eq!(turn("t0", "p0").send(front).await.status, 200);
    let statuses = (0..40).map(|number| {
        let ask = turn(&format!("b{number}"), &format!("q{number}"));
        async move { ask.send(front).await.status }
    });
    let statuses = join_all(statuses).await;
    assert!(statuses.contains(&429), "{statuses:?}");
    let next = turn("t1", "p0").previous("t0").send(front).await;
    assert_eq!(next.status, 200);
    let call = TestRequest::new(Method::POST, "/fee/x")
        .attempt("c1")
        .header("program-id", "p0")
        .header("authorization", &format!("Bearer {KEY}"));
    assert_eq!(call.send(front).await.status, 200);
}

/// Guards against customers that are refused for good after hosts were lost: the rows of
/// lost hosts stay in the table, and the first hosts of a limit's ranking were the only ones
/// that could allocate it.
#[actix_rt::test]
async fn all_customers_are_served_after_most_hosts_are_lost() {
    let site = Site::without_routes();
    let mut declared = routes(1);
    let customers = (0..16).map(|number| {
        json!({"name": format!("ship-{number}"), "api-keys": [format!("ship-key-{number:06}")],
               "rate-per-s": 20.0, "burst": 40.0})
    });
    declared["tenants"] = Value::Array(customers.collect());
    site.store.put("op", "config", &declared);
    let mut gateways: Vec<Gateway> = (0..5).map(|_| site.start_gateway()).collect();
    for gateway in &gateways {
        gateway.wait_until_ready().await;
        gateway.wait_for_peers(4).await;
    }
    gateways[1..].iter_mut().for_each(Gateway::kill);
    // Until an allocator counts as unresponsive, a few requests are served without a grant.
    actix_rt::time::sleep(Duration::from_secs(6)).await;
    for number in 0..16 {
        let key = format!("ship-key-{number:06}");
        wait_until("a request of the customer is served", async || {
            let answers = send_all(&gateways[..1], &format!("{key}-"), 1, &key).await;
            served(&answers) == 1
        })
        .await;
    }
}
