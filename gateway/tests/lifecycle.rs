//! Tests of changes of routes and settings, of planned stops, and of the log and metrics.

mod support;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use http_body_util::BodyExt;
use rosebend_standin::backend::BackendFaults;
use rosebend_standin::store::StoreFaults;
use rosebend_transport::connection::Connection;
use serde_json::json;
use support::{Gateway, Site, TestRequest, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const MODELS: usize = 0;
const DESK: usize = 1;

/// Returns the time of day in milliseconds since 1970.
fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    u64::try_from(now.as_millis()).unwrap()
}

#[actix_rt::test]
async fn requests_are_unavailable_rather_than_denied_before_the_first_routes() {
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

/// Waits until the log contains a change of a host's readiness for a reason. Returns the
/// time of the change in milliseconds since 1970.
async fn readiness_change_ms(gateway: &Gateway, reason: &str) -> u64 {
    let change = || {
        let changes = gateway.events("ready-changed");
        let mut changes = changes.iter();
        let change = changes.find(|event| event["reason"] == reason);
        change.and_then(|event| event["at_ms"].as_u64())
    };
    wait_until(reason, async || change().is_some()).await;
    change().unwrap()
}

/// The readiness may change more often than the host checks it on its own. Every state that
/// a probe reports must have been logged first.
#[actix_rt::test]
async fn each_readiness_that_a_probe_reports_is_logged_first() {
    let (site, gateway) = Site::start_with_gateway().await;
    let probed_at_ms = unix_ms();
    assert!(readiness_change_ms(&gateway, "ready").await <= probed_at_ms);
    site.set_store_faults(&StoreFaults::refusing()).await;
    gateway.wait_until_not_ready().await;
    let probed_at_ms = unix_ms();
    assert!(readiness_change_ms(&gateway, "store-unreachable").await <= probed_at_ms);
}

#[actix_rt::test]
async fn newer_routes_are_applied_and_older_routes_are_ignored() {
    let (site, gateway) = Site::start_with_gateway().await;
    let mut next = support::routes(7);
    next["routes"][1]["prefix"] = json!("/status/");
    site.store.put("op", "config", &next);
    wait_until("the new route is active", async || {
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
async fn routes_are_updated_after_the_store_dropped_its_change_history() {
    let (site, gateway) = Site::start_with_gateway().await;
    site.store.forget_history();
    site.declare_routes(9);
    wait_until("the routes have the version", async || {
        let events = gateway.events("routes-in-force");
        events.iter().any(|event| event["version"] == 9)
    })
    .await;
}

#[actix_rt::test]
async fn an_entry_that_lapsed_during_an_outage_is_kept_for_a_grace_period() {
    let (site, gateway) = Site::start_with_gateway().await;
    site.set_store_faults(&StoreFaults::refusing()).await;
    gateway.wait_until_not_ready().await;
    site.store.delete("servers", &site.endpoints[1].instance);
    site.set_store_faults(&StoreFaults::default()).await;
    gateway.wait_until_ready().await;
    let answer = TestRequest::lookup("a1").send(gateway.front).await;
    assert_eq!(answer.status, 200);
    wait_until("the endpoint is withdrawn as lapsed", async || {
        let events = gateway.events("endpoint-withdrawn");
        events.iter().any(|event| event["reason"] == "lapsed")
    })
    .await;
    let answer = TestRequest::lookup("a2").send(gateway.front).await;
    assert_eq!(answer.status, 503);
}

#[actix_rt::test]
async fn a_planned_stop_completes_open_answers() {
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
    // The balancer may still send requests to the stopping host.
    let after_signal = TestRequest::lookup("a1").send(gateway.front).await;
    assert_eq!(after_signal.status, 200);
    let answer = turn.await.unwrap();
    assert_eq!((answer.status, answer.is_complete), (200, true));
    assert_eq!(gateway.exit_code().await, Some(0));
}

/// Guards against an answer that ends early because a version removes its route and its service,
/// and changes the limits of connections.
#[actix_rt::test]
async fn a_version_without_the_route_completes_open_answers() {
    let site = Site::with_long_timeouts();
    let gateway = site.start_ready_gateway().await;
    let slow = BackendFaults {
        delay_ms: 600,
        events: 6,
        ..BackendFaults::default()
    };
    site.set_endpoint_faults(MODELS, &slow).await;
    for (attempt, path) in [("t1", "/stream/turn"), ("t2", "/unkept/stream/turn")] {
        let front = gateway.front;
        let turn = TestRequest::turn(attempt, attempt, "x").at_path(path);
        let answer = actix_rt::spawn(async move { turn.send(front).await });
        wait_until("the turn runs", async || site.run_count(attempt).await == 1).await;
        let version = gateway.events("routes-in-force").len() as u64 + 1;
        let mut next = support::routes(version);
        let lookup = next["routes"][1].clone();
        next["routes"] = json!([lookup]);
        next["services"] = json!([next["services"][1]]);
        next["limits"]["idle-timeout-ms"] = json!(1_000);
        site.store.put("op", "config", &next);
        wait_until("the version is in force", async || {
            gateway.events("routes-in-force").len() as u64 == version
        })
        .await;
        assert!(!answer.is_finished());
        let answer = answer.await.unwrap();
        assert_eq!((answer.status, answer.is_complete), (200, true));
        let mut previous = support::routes(version + 1);
        previous["routes"][3]["timeout-ms"] = json!(20_000);
        site.store.put("op", "config", &previous);
        wait_until("the route is in force again", async || {
            gateway.events("routes-in-force").len() as u64 == version + 1
        })
        .await;
    }
}

/// Guards against a process that exits before a slow caller has the answer, because the answer
/// had been handed to its connection.
#[actix_rt::test]
async fn a_planned_stop_waits_for_a_caller_that_reads_slowly() {
    let site = Site::start();
    let mut gateway = site.start_ready_gateway().await;
    let large = BackendFaults {
        padding_bytes: 7 << 20,
        ..BackendFaults::default()
    };
    site.set_endpoint_faults(DESK, &large).await;
    let mut connection = Connection::open(gateway.front).await.unwrap();
    let request = TestRequest::lookup("a1").request();
    let response = connection.send(request).await.unwrap();
    gateway.signal("TERM");
    // Longer than the process accepts connections and waits for further requests.
    actix_rt::time::sleep(Duration::from_millis(4_500)).await;
    let body = response.into_body().collect().await.unwrap().to_bytes();
    assert!(body.len() > large.padding_bytes);
    assert_eq!(gateway.exit_code().await, Some(0));
}

/// Guards against a connection that is closed without an answer because the process exits
/// while the endpoint still works.
#[actix_rt::test]
async fn a_request_that_outlasts_a_planned_stop_is_answered() {
    let site = Site::start();
    let mut gateway = site.start_ready_gateway().await;
    gateway.change_settings("stop_grace_s = 8", "stop_grace_s = 1");
    gateway.signal("HUP");
    wait_until("the settings are applied", async || {
        !gateway.events("settings-taken").is_empty()
    })
    .await;
    let slow = BackendFaults {
        delay_ms: 2_000,
        ..BackendFaults::default()
    };
    site.set_endpoint_faults(DESK, &slow).await;
    let front = gateway.front;
    let request = TestRequest::new(http::Method::POST, "/fee/receipt").attempt("a1");
    let answer = actix_rt::spawn(async move { request.body("fee").send(front).await });
    wait_until("the request runs", async || site.run_count("a1").await == 1).await;
    gateway.signal("TERM");
    let answer = answer.await.unwrap();
    assert_eq!((answer.status, answer.is_complete), (502, true));
    assert_eq!(gateway.exit_code().await, Some(0));
    wait_until("the request's end is in the log", async || {
        let ended = gateway.events("request-ended");
        ended
            .iter()
            .any(|event| event["reason"] == "process-stopped")
    })
    .await;
}

/// Guards against a turn whose record is lost because the process was asked to stop in an
/// outage of the store, so that the caller gets no end of its answer.
#[actix_rt::test]
async fn a_planned_stop_in_an_outage_completes_turns_with_history() {
    let site = Site::with_long_timeouts();
    let mut gateway = site.start_ready_gateway().await;
    let slow = BackendFaults {
        delay_ms: 200,
        ..BackendFaults::default()
    };
    site.set_endpoint_faults(MODELS, &slow).await;
    let front = gateway.front;
    let turn = actix_rt::spawn(async move { TestRequest::turn("t1", "p1", "x").send(front).await });
    wait_until("the turn runs", async || site.run_count("t1").await == 1).await;
    gateway.signal("TERM");
    site.set_store_faults(&StoreFaults::refusing()).await;
    actix_rt::time::sleep(Duration::from_millis(1_500)).await;
    site.set_store_faults(&StoreFaults::default()).await;
    let answer = turn.await.unwrap();
    assert_eq!((answer.status, answer.is_complete), (200, true));
    assert_eq!(gateway.exit_code().await, Some(0));
    let next = site.start_ready_gateway().await;
    let turn = TestRequest::turn("t2", "p1", "y").previous("t1");
    assert_eq!(turn.send(next.front).await.status, 200);
}

#[actix_rt::test]
async fn changed_settings_are_applied_with_and_without_a_signal() {
    let site = Site::start();
    let first = site.store_listener.address().to_string();
    let servers: Vec<_> = (0..2)
        .map(|_| {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
            site.store.open_door(listener).unwrap()
        })
        .collect();
    let addresses: Vec<String> = servers
        .iter()
        .map(|server| server.address().to_string())
        .collect();
    let gateway = site.start_ready_gateway().await;
    // From here on, the store refuses calls at its first address and accepts them at others.
    site.set_store_faults(&StoreFaults::refusing()).await;
    gateway.wait_until_not_ready().await;
    gateway.change_settings(&first, &addresses[0]);
    gateway.signal("HUP");
    gateway.wait_until_ready().await;
    wait_until("the signal is logged", async || {
        gateway.events("reload-asked").len() == 1
    })
    .await;

    gateway.change_settings(&addresses[0], &addresses[1]);
    wait_until("the settings are applied", async || {
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

    // The availability zone of the process takes effect only at its next start.
    gateway.change_settings(
        "availability_zone = newport-hall",
        "availability_zone = harbour",
    );
    wait_until("the other settings are applied", async || {
        let events = gateway.events("settings-taken");
        events
            .iter()
            .any(|event| event["reason"] == "all but what needs a start")
    })
    .await;
}

#[actix_rt::test]
async fn invalid_settings_change_nothing_and_are_logged_once() {
    let (_site, gateway) = Site::start_with_gateway().await;
    gateway.change_settings("stop_grace_s = 8", "stop_grace_s = soon");
    gateway.signal("HUP");
    wait_until("the file is refused", async || {
        !gateway.events("settings-refused").is_empty()
    })
    .await;
    gateway.signal("HUP");
    wait_until("the file is read again", async || {
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
async fn requests_on_one_connection_are_answered_in_order() {
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
async fn requests_are_served_while_the_log_is_not_read() {
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
async fn the_metrics_page_counts_requests_refusals_and_store_calls() {
    let (site, gateway) = Site::start_with_gateway().await;
    TestRequest::turn("t1", "p1", "x").send(gateway.front).await;
    TestRequest::lookup("a1").send(gateway.front).await;
    TestRequest::get("/nowhere/x")
        .attempt("a2")
        .send(gateway.front)
        .await;
    // The gateway writes its row in the table of gateways in one transaction and the turn in
    // two.
    wait_until("all transactions are written", async || {
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
        assert!(
            page.contains(line),
            "{line} is not on the metrics page:\n{page}"
        );
    }
}

/// Sends a request whose last bytes arrive late in a planned stop, and returns the answer.
async fn send_late(front: std::net::SocketAddr, request: String, split: usize) -> String {
    let mut stream = tokio::net::TcpStream::connect(front).await.unwrap();
    let (first, rest) = request.as_bytes().split_at(split);
    stream.write_all(first).await.unwrap();
    actix_rt::time::sleep(Duration::from_millis(2_000)).await;
    // The host may have closed the connection.
    let _ = stream.write_all(rest).await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// Guards against requests that arrive late in a planned stop, are passed on, and are then cut
/// at its end, although they may have run.
#[actix_rt::test]
async fn requests_that_arrive_late_in_a_planned_stop_are_not_passed_on() {
    let site = Site::with_long_timeouts();
    let mut gateway = site.start_ready_gateway().await;
    let slow = BackendFaults {
        delay_ms: 6_000,
        ..BackendFaults::default()
    };
    site.set_endpoint_faults(DESK, &slow).await;
    site.set_endpoint_faults(MODELS, &slow).await;
    gateway.signal("TERM");
    gateway.wait_until_not_ready().await;
    // The host accepts connections for some time after the signal.
    actix_rt::time::sleep(Duration::from_millis(2_500)).await;
    let mut sent = Vec::new();
    for part in ["head", "body"] {
        let attempt = |route: &str| format!("{route}-{part}");
        let requests = [
            TestRequest::new(http::Method::POST, "/fee/receipt")
                .attempt(&attempt("fee"))
                .body("fee"),
            TestRequest::new(http::Method::POST, "/lookup/x")
                .attempt(&attempt("lookup"))
                .body("lookup"),
            TestRequest::turn(&attempt("turn"), "p1", "turn"),
            TestRequest::turn(&attempt("unkept"), "p2", "turn").at_path("/unkept/stream/turn"),
        ];
        for request in requests {
            let raw = request.raw();
            let head_end = raw.find("\r\n\r\n").unwrap();
            let split = match part {
                "head" => head_end,
                _ => head_end + 5,
            };
            let sending = actix_rt::spawn(send_late(gateway.front, raw, split));
            sent.push((request.attempt_id().to_owned(), sending));
        }
    }
    for (attempt, answer) in sent {
        let answer = answer.await.unwrap();
        assert!(
            answer.is_empty() || answer.starts_with("HTTP/1.1 503"),
            "{attempt}: {answer}"
        );
        assert_eq!(site.run_count(&attempt).await, 0, "{attempt}: {answer}");
    }
    assert_eq!(gateway.exit_code().await, Some(0));
}
