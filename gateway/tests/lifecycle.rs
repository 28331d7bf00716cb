//! Routes that come and change, planned stops, and the log and metrics.

mod support;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rosebend_standin::backend::BackendFaults;
use rosebend_standin::store::StoreFaults;
use rosebend_transport::connection::Connection;
use serde_json::json;
use support::{Gateway, Site, TestRequest, wait_until};

const MODELS: usize = 0;

/// Milliseconds since 1970.
fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    u64::try_from(now.as_millis()).unwrap()
}

#[actix_rt::test]
async fn before_the_routes_are_known_nothing_is_denied() {
    let site = Site::without_routes();
    let gateway = site.start_gateway();
    let answer = TestRequest::lookup("a1").send(gateway.front).await;
    assert_eq!(answer.status, 503);
    assert!(!gateway.is_ready().await);
    site.declare_routes(1);
    gateway.wait_until_ready().await;
    let answer = TestRequest::lookup("a1").send(gateway.front).await;
    assert_eq!(answer.status, 200);
}

/// When the log says that a host's readiness changed for a reason, in milliseconds since
/// 1970.
async fn change_of_readiness(gateway: &Gateway, reason: &str) -> u64 {
    let change = || {
        let changes = gateway.events("ready-changed");
        let mut changes = changes.iter();
        let change = changes.find(|event| event["reason"] == reason);
        change.and_then(|event| event["at_ms"].as_u64())
    };
    wait_until(reason, async || change().is_some()).await;
    change().unwrap()
}

/// A host may be ready for less time than passes between two looks of its own.
#[actix_rt::test]
async fn no_balancer_hears_of_a_readiness_that_the_log_does_not_tell() {
    let (site, gateway) = Site::start_with_gateway().await;
    let heard_at_ms = unix_ms();
    assert!(change_of_readiness(&gateway, "ready").await <= heard_at_ms);
    site.set_store_faults(&StoreFaults::refusing()).await;
    gateway.wait_until_not_ready().await;
    let heard_at_ms = unix_ms();
    assert!(change_of_readiness(&gateway, "store-unreachable").await <= heard_at_ms);
}

#[actix_rt::test]
async fn a_new_version_takes_hold_and_an_old_one_never_comes_back() {
    let (site, gateway) = Site::start_with_gateway().await;
    let mut next = support::routes(7);
    next["routes"][1]["prefix"] = json!("/status/");
    site.store.put("op", "config", &next);
    wait_until("the new route serves", async || {
        let answer = TestRequest::get("/status/x")
            .attempt("a1")
            .send(gateway.front)
            .await;
        answer.status == 200
    })
    .await;
    site.declare_routes(3);
    site.store.forget_history();
    actix_rt::time::sleep(Duration::from_millis(1_500)).await;
    let answer = TestRequest::get("/status/x")
        .attempt("a2")
        .send(gateway.front)
        .await;
    assert_eq!(answer.status, 200);
    let answer = TestRequest::lookup("a3").send(gateway.front).await;
    assert_eq!(answer.status, 404);
}

#[actix_rt::test]
async fn a_change_arrives_after_the_history_is_gone() {
    let (site, gateway) = Site::start_with_gateway().await;
    site.store.forget_history();
    site.declare_routes(9);
    wait_until("the version is in force", async || {
        let events = gateway.events("routes-in-force");
        events.iter().any(|event| event["version"] == 9)
    })
    .await;
}

#[actix_rt::test]
async fn an_entry_that_lapsed_in_an_outage_is_kept_until_it_had_time_to_return() {
    let (site, gateway) = Site::start_with_gateway().await;
    site.set_store_faults(&StoreFaults::refusing()).await;
    gateway.wait_until_not_ready().await;
    site.store.delete("servers", &site.endpoints[1].instance);
    site.set_store_faults(&StoreFaults::default()).await;
    gateway.wait_until_ready().await;
    let answer = TestRequest::lookup("a1").send(gateway.front).await;
    assert_eq!(answer.status, 200);
    wait_until("the entry is given up", async || {
        let events = gateway.events("endpoint-withdrawn");
        events.iter().any(|event| event["reason"] == "lapsed")
    })
    .await;
    let answer = TestRequest::lookup("a2").send(gateway.front).await;
    assert_eq!(answer.status, 503);
}

#[actix_rt::test]
async fn a_planned_stop_cuts_no_answer() {
    let site = Site::start();
    let mut gateway = site.start_ready_gateway().await;
    let slow = BackendFaults {
        delay_ms: 300,
        events: 6,
        ..BackendFaults::default()
    };
    site.set_endpoint_faults(MODELS, &slow).await;
    let front = gateway.front;
    let turn = actix_rt::spawn(async move { TestRequest::turn("t1", "p1", "x").send(front).await });
    wait_until("the turn runs", async || site.run_count("t1").await == 1).await;
    gateway.signal("TERM");
    gateway.wait_until_not_ready().await;
    // The balancer may still send callers here.
    let late = TestRequest::lookup("a1").send(gateway.front).await;
    assert_eq!(late.status, 200);
    let answer = turn.await.unwrap();
    assert_eq!((answer.status, answer.is_complete), (200, true));
    assert_eq!(gateway.exit_code().await, Some(0));
}

#[actix_rt::test]
async fn changed_settings_are_taken_in_with_a_signal_and_without_one() {
    let site = Site::start();
    let first = site.store_listener.address().to_string();
    let doors: Vec<_> = (0..2)
        .map(|_| {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
            site.store.open_door(listener).unwrap()
        })
        .collect();
    let addresses: Vec<String> = doors
        .iter()
        .map(|door| door.address().to_string())
        .collect();
    let gateway = site.start_ready_gateway().await;
    // The store is at another address from now on.
    site.set_store_faults(&StoreFaults::refusing()).await;
    gateway.wait_until_not_ready().await;
    gateway.change_settings(&first, &addresses[0]);
    gateway.signal("HUP");
    gateway.wait_until_ready().await;
    wait_until("the signal is told", async || {
        gateway.events("reload-asked").len() == 1
    })
    .await;

    gateway.change_settings(&addresses[0], &addresses[1]);
    wait_until("the file is taken in", async || {
        gateway.events("settings-taken").len() == 2
    })
    .await;
    let turn = TestRequest::turn("t1", "p1", "x").send(gateway.front).await;
    assert_eq!((turn.status, turn.is_complete), (200, true));
    let reasons = gateway.events("settings-taken");
    assert!(
        reasons.iter().all(|event| event["reason"] == "all"),
        "{reasons:?}"
    );

    // What the process is called waits for its next start.
    gateway.change_settings(
        "availability_zone = newport-hall",
        "availability_zone = harbour",
    );
    wait_until("the rest is taken in", async || {
        let events = gateway.events("settings-taken");
        events
            .iter()
            .any(|event| event["reason"] == "all but what needs a start")
    })
    .await;
}

#[actix_rt::test]
async fn settings_that_are_not_accepted_change_nothing_and_are_told_once() {
    let (_site, gateway) = Site::start_with_gateway().await;
    gateway.change_settings("stop_grace_s = 8", "stop_grace_s = soon");
    gateway.signal("HUP");
    wait_until("the file is refused", async || {
        !gateway.events("settings-refused").is_empty()
    })
    .await;
    gateway.signal("HUP");
    wait_until("the file was looked at again", async || {
        gateway.events("reload-asked").len() == 2
    })
    .await;
    let turn = TestRequest::turn("t1", "p1", "x").send(gateway.front).await;
    assert_eq!((turn.status, turn.is_complete), (200, true));
    let refused = gateway.events("settings-refused");
    assert_eq!(refused.len(), 1);
    let error = refused[0]["error"].as_str().unwrap();
    assert!(error.contains("stop_grace_s"), "{error}");
}

#[actix_rt::test]
async fn requests_on_one_connection_are_answered_one_after_the_other() {
    let (_site, gateway) = Site::start_with_gateway().await;
    let mut connection = Connection::open(gateway.front).await.unwrap();
    for number in 0..5 {
        let attempt = format!("a{number}");
        let answer = TestRequest::get("/lookup/x")
            .attempt(&attempt)
            .send_on(&mut connection)
            .await;
        assert_eq!(answer.body, format!("answer to {attempt}"));
    }
}

#[actix_rt::test]
async fn a_log_that_nobody_reads_stops_no_request() {
    let site = Site::start();
    let gateway = Gateway::start_with_output(site.store_listener.address(), false);
    gateway.wait_until_ready().await;
    let mut connection = Connection::open(gateway.front).await.unwrap();
    for number in 0..2_000 {
        let ask = TestRequest::get("/nowhere/x").attempt(&format!("a{number}"));
        assert_eq!(ask.send_on(&mut connection).await.status, 404);
    }
    for number in 0..1_000 {
        let ask = TestRequest::get("/lookup/x").attempt(&format!("b{number}"));
        assert_eq!(ask.send_on(&mut connection).await.status, 200);
    }
}

#[actix_rt::test]
async fn the_metrics_page_tells_requests_refusals_and_store_calls() {
    let (site, gateway) = Site::start_with_gateway().await;
    TestRequest::turn("t1", "p1", "x").send(gateway.front).await;
    TestRequest::lookup("a1").send(gateway.front).await;
    TestRequest::get("/nowhere/x")
        .attempt("a2")
        .send(gateway.front)
        .await;
    // One for the gateway's own row among its peers, two for the turn.
    wait_until("all is written", async || {
        site.store.stats().transactions == 3
    })
    .await;
    let page = TestRequest::get("/metrics")
        .send(gateway.metrics)
        .await
        .body;
    for line in [
        "rosebend_gateway_requests_total{kind=\"streaming\",outcome=\"answered\"} 1",
        "rosebend_gateway_requests_total{kind=\"idempotent\",outcome=\"answered\"} 1",
        "rosebend_gateway_refusals_total{reason=\"no-route\"} 1",
        "rosebend_gateway_store_calls_total{call=\"transact\",outcome=\"done\"} 3",
        "rosebend_gateway_ready 1",
        "rosebend_gateway_routes_version 1",
    ] {
        assert!(page.contains(line), "{line} is not on the page:\n{page}");
    }
}
