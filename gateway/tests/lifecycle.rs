//! Routes that come and change, planned stops, and the log and metrics.

mod support;

use std::time::Duration;

use rosebend_standin::backend::BackendFaults;
use rosebend_standin::store::StoreFaults;
use rosebend_transport::connection::Connection;
use serde_json::json;
use support::{Ask, Gateway, Site, until};

const MODELS: usize = 0;

#[actix_rt::test]
async fn before_the_routes_are_known_nothing_is_denied() {
    let site = Site::without_routes();
    let gateway = site.gateway();
    let answer = Ask::get("/lookup/x")
        .attempt("a1")
        .send(gateway.front)
        .await;
    assert_eq!(answer.status, 503);
    assert!(!gateway.is_ready().await);
    site.declare(1);
    gateway.until_ready().await;
    let answer = Ask::get("/lookup/x")
        .attempt("a1")
        .send(gateway.front)
        .await;
    assert_eq!(answer.status, 200);
}

#[actix_rt::test]
async fn a_new_version_takes_hold_and_an_old_one_never_comes_back() {
    let site = Site::start();
    let gateway = site.gateway();
    gateway.until_ready().await;
    let mut next = support::routes(7);
    next["routes"][1]["prefix"] = json!("/status/");
    site.store.put("op", "config", &next);
    until("the new route serves", async || {
        let answer = Ask::get("/status/x")
            .attempt("a1")
            .send(gateway.front)
            .await;
        answer.status == 200
    })
    .await;
    site.declare(3);
    site.store.forget_history();
    actix_rt::time::sleep(Duration::from_millis(1_500)).await;
    let answer = Ask::get("/status/x")
        .attempt("a2")
        .send(gateway.front)
        .await;
    assert_eq!(answer.status, 200);
    let answer = Ask::get("/lookup/x")
        .attempt("a3")
        .send(gateway.front)
        .await;
    assert_eq!(answer.status, 404);
}

#[actix_rt::test]
async fn a_change_arrives_after_the_history_is_gone() {
    let site = Site::start();
    let gateway = site.gateway();
    gateway.until_ready().await;
    site.store.forget_history();
    site.declare(9);
    until("the version is in force", async || {
        let events = gateway.events("routes-in-force");
        events.iter().any(|event| event["version"] == 9)
    })
    .await;
}

#[actix_rt::test]
async fn an_entry_that_lapsed_in_an_outage_is_kept_until_it_had_time_to_return() {
    let site = Site::start();
    let gateway = site.gateway();
    gateway.until_ready().await;
    let refuse = StoreFaults {
        refuse: true,
        ..StoreFaults::default()
    };
    site.faults(&refuse).await;
    gateway.until_unready().await;
    site.store.delete("servers", &site.endpoints[1].instance);
    site.faults(&StoreFaults::default()).await;
    gateway.until_ready().await;
    let answer = Ask::get("/lookup/x")
        .attempt("a1")
        .send(gateway.front)
        .await;
    assert_eq!(answer.status, 200);
    until("the entry is given up", async || {
        let events = gateway.events("endpoint-withdrawn");
        events.iter().any(|event| event["reason"] == "lapsed")
    })
    .await;
    let answer = Ask::get("/lookup/x")
        .attempt("a2")
        .send(gateway.front)
        .await;
    assert_eq!(answer.status, 503);
}

#[actix_rt::test]
async fn a_planned_stop_cuts_no_answer() {
    let site = Site::start();
    let mut gateway = site.gateway();
    gateway.until_ready().await;
    let slow = BackendFaults {
        delay_ms: 300,
        events: 6,
        ..BackendFaults::default()
    };
    site.endpoint_faults(MODELS, &slow).await;
    let front = gateway.front;
    let turn = actix_rt::spawn(async move { Ask::turn("t1", "p1", "x").send(front).await });
    until("the turn runs", async || site.times_run("t1").await == 1).await;
    gateway.signal("TERM");
    gateway.until_unready().await;
    // The balancer may still send callers here.
    let late = Ask::get("/lookup/x")
        .attempt("a1")
        .send(gateway.front)
        .await;
    assert_eq!(late.status, 200);
    let answer = turn.await.unwrap();
    assert_eq!((answer.status, answer.is_whole), (200, true));
    assert_eq!(gateway.exit_code().await, Some(0));
}

#[actix_rt::test]
async fn requests_on_one_connection_are_answered_one_after_the_other() {
    let site = Site::start();
    let gateway = site.gateway();
    gateway.until_ready().await;
    let mut connection = Connection::open(gateway.front).await.unwrap();
    for number in 0..5 {
        let attempt = format!("a{number}");
        let answer = Ask::get("/lookup/x")
            .attempt(&attempt)
            .send_on(&mut connection)
            .await;
        assert_eq!(answer.body, format!("answer to {attempt}"));
    }
}

#[actix_rt::test]
async fn a_log_that_nobody_reads_stops_no_request() {
    let site = Site::start();
    let gateway = Gateway::start_reading(site.door.address(), false);
    gateway.until_ready().await;
    let mut connection = Connection::open(gateway.front).await.unwrap();
    for number in 0..2_000 {
        let ask = Ask::get("/nowhere/x").attempt(&format!("a{number}"));
        assert_eq!(ask.send_on(&mut connection).await.status, 404);
    }
    for number in 0..1_000 {
        let ask = Ask::get("/lookup/x").attempt(&format!("b{number}"));
        assert_eq!(ask.send_on(&mut connection).await.status, 200);
    }
}

#[actix_rt::test]
async fn the_metrics_page_tells_requests_refusals_and_store_calls() {
    let site = Site::start();
    let gateway = site.gateway();
    gateway.until_ready().await;
    Ask::turn("t1", "p1", "x").send(gateway.front).await;
    Ask::get("/lookup/x")
        .attempt("a1")
        .send(gateway.front)
        .await;
    Ask::get("/nowhere/x")
        .attempt("a2")
        .send(gateway.front)
        .await;
    // One for the gateway's own row among its peers, two for the turn.
    until("all is written", async || {
        site.store.stats().transactions == 3
    })
    .await;
    let page = Ask::get("/metrics").send(gateway.metrics).await.body;
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
