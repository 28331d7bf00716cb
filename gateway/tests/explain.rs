//! The `explain` command's account of failed requests, reconstructed from the logs
//! alone.

mod support;

use std::time::Duration;

use futures_util::future::join_all;
use rosebend::explain::Story;
use rosebend_standin::backend::BackendFaults;
use rosebend_standin::store::StoreFaults;
use rosebend_transport::connection::Connection;
use support::{Gateway, Site, TestRequest, wait_until};

const MODELS: usize = 0;
const DESK: usize = 1;

/// Prefixes of the fields whose values vary between test runs.
const VARYING_FIELDS: [&str; 7] = [
    "peer=",
    "elapsed_ms=",
    "age_ms=",
    "wait_ms=",
    "load=",
    "address=",
    "count=",
];

/// Returns the account of an attempt from the gateway's log, without times and other
/// values that vary between test runs, and without the number in the host's name.
async fn story(gateway: &Gateway, attempt: &str) -> String {
    wait_until("the request's end is in the log", async || {
        let log = gateway.log();
        let lines = log.iter().map(String::as_str);
        Story::tell(attempt, lines).text().contains("request-ended")
    })
    .await;
    let log = gateway.log();
    let text = Story::tell(attempt, log.iter().map(String::as_str)).text();
    // The events of a host's start are logged in no fixed order.
    let is_start = |line: &&str| {
        let start_events = [
            "process-started",
            "endpoint-listed",
            "routes-in-force",
            "reason=ready",
        ];
        start_events.iter().any(|name| line.contains(name))
    };
    let kept = text.lines().filter(|line| !is_start(line)).map(|line| {
        let words = line.split_whitespace().skip(2);
        let words = words.filter(|word| !VARYING_FIELDS.iter().any(|name| word.starts_with(name)));
        let words = words.map(|word| match word.starts_with("gateway-") {
            true => "gateway".to_owned(),
            false => without_process_ids(word),
        });
        words.collect::<Vec<_>>().join(" ")
    });
    kept.collect::<Vec<_>>().join("\n")
}

/// Replaces the process id of each holder in a `holders=` field by a fixed one. Other
/// words are returned unchanged.
fn without_process_ids(word: &str) -> String {
    let Some(holders) = word.strip_prefix("holders=") else {
        return word.to_owned();
    };
    let holders = holders.trim_matches('"').split(',');
    let replies = holders.filter_map(|holder| holder.rsplit_once(':'));
    let replies = replies.map(|(_, reply)| format!("HOST/RUN:{reply}"));
    format!("holders={}", replies.collect::<Vec<_>>().join(","))
}

#[actix_rt::test]
async fn a_turn_refused_while_the_store_turned_its_host_away() {
    let site = Site::start();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let other_server = site.store.open_door(listener).unwrap();
    // This gateway has no peer that could forward its calls to the store.
    let turned_away = site.start_ready_gateway().await;
    site.set_store_faults(&StoreFaults::refusing()).await;
    wait_until("the host reports that it is not ready", async || {
        let changes = turned_away.events("ready-changed");
        changes
            .iter()
            .any(|event| event["reason"] == "store-unreachable")
    })
    .await;
    let accepted_gateway = Gateway::start(other_server.address());
    accepted_gateway.wait_until_ready().await;
    let answer = TestRequest::turn("t1", "p1", "x")
        .send(turned_away.front)
        .await;
    assert_eq!(answer.status, 503);
    insta::assert_snapshot!(story(&turned_away, "t1").await);
}

#[actix_rt::test]
async fn a_call_that_may_not_be_repeated_ends_unknown() {
    let (site, gateway) = Site::start_with_gateway().await;
    let faults = BackendFaults {
        lose_answers: 1,
        ..BackendFaults::default()
    };
    site.set_endpoint_faults(DESK, &faults).await;
    let ask = TestRequest::new(http::Method::POST, "/fee/receipt").attempt("a1");
    assert_eq!(ask.body("fee 12").send(gateway.front).await.status, 502);
    // The event that the endpoint is avoided may be logged between two steps or next to
    // them, because they occur within the same millisecond or two.
    let story = story(&gateway, "a1").await;
    let avoided = "gateway - endpoint-avoided endpoint=i-desk-1 reason=broken";
    let (avoidances, steps): (Vec<&str>, Vec<&str>) =
        story.lines().partition(|line| *line == avoided);
    assert_eq!(avoidances, [avoided]);
    insta::assert_snapshot!(steps.join("\n"));
}

#[actix_rt::test]
async fn a_turn_that_came_late_through_a_slow_endpoint() {
    let (site, gateway) = Site::start_with_gateway().await;
    let slow = BackendFaults {
        delay_ms: 500,
        events: 1,
        ..BackendFaults::default()
    };
    site.set_endpoint_faults(MODELS, &slow).await;
    let answer = TestRequest::turn("t1", "p1", "x").send(gateway.front).await;
    assert_eq!(answer.status, 200);
    insta::assert_snapshot!(story(&gateway, "t1").await);
}

/// Guards against a refusal whose inputs are not in the log: the expected wait at the
/// engines, and that the program was not found to be in progress at another host.
#[actix_rt::test]
async fn a_new_program_refused_while_engines_have_queues() {
    let turn = |attempt: &str| {
        TestRequest::turn(attempt, attempt, "x")
            .header("token-budget", "1000")
            .at_path("/unkept/stream/turn")
    };
    let (site, gateway) = Site::start_with_gateway().await;
    for number in 0..5 {
        let answer = turn(&format!("idle{number}")).send(gateway.front).await;
        assert_eq!(answer.status, 200);
    }
    let slow = BackendFaults {
        delay_ms: 700,
        events: 1,
        ..BackendFaults::default()
    };
    site.set_endpoint_faults(MODELS, &slow).await;
    let front = gateway.front;
    // Only the heads of the responses are awaited: the estimated wait of the queue halves
    // in 500 ms without first bytes.
    let new_programs = (0..40).map(|number| async move {
        let mut connection = Connection::open(front).await.unwrap();
        let request = turn(&format!("queued{number}")).request();
        connection.send(request).await.unwrap();
    });
    join_all(new_programs).await;
    assert_eq!(turn("t1").send(front).await.status, 503);
    insta::assert_snapshot!(story(&gateway, "t1").await);
}

#[actix_rt::test]
async fn a_missing_end_of_a_request_is_reported_after_its_host_was_killed() {
    let site = Site::start();
    let mut gateway = site.start_ready_gateway().await;
    TestRequest::turn("t1", "p1", "x").send(gateway.front).await;
    gateway.kill();
    actix_rt::time::sleep(Duration::from_millis(50)).await;
    let step = r#"{"at_ms":9,"host":"gateway-9","event":803,"name":"request-arrived","level":"info","attempt":"t2","version":1}"#;
    let log = gateway.log();
    let lines = log.iter().map(String::as_str).chain([step]);
    let story = Story::tell("t2", lines).text();
    assert!(story.ends_with("missing: the end of t2\n"), "{story}");
    assert_eq!(
        Story::tell("t9", [step]).text(),
        "missing: no line names t9\n"
    );
}

#[actix_rt::test]
async fn a_lost_response_does_not_count_as_an_outage_of_the_store() {
    let (site, gateway) = Site::start_with_gateway().await;
    for number in 0..8 {
        let lost = StoreFaults {
            lose_answers: 1,
            ..StoreFaults::default()
        };
        site.set_store_faults(&lost).await;
        let turn = TestRequest::turn(&format!("t{number}"), &format!("p{number}"), "x");
        let answer = turn.send(gateway.front).await;
        assert_eq!((answer.status, answer.is_complete), (200, true));
    }
    assert_eq!(site.store.stats().lost_answers, 8);
    assert!(gateway.events("store-lost").is_empty());

    site.set_store_faults(&StoreFaults::refusing()).await;
    gateway.wait_until_not_ready().await;
    wait_until("the outage is logged", async || {
        gateway.events("store-lost").len() == 1
    })
    .await;
    site.set_store_faults(&StoreFaults::default()).await;
    wait_until("the end of the outage is logged", async || {
        gateway.events("store-regained").len() == 1
    })
    .await;
}

#[actix_rt::test]
async fn a_turn_refused_for_the_budget_of_its_program() {
    let (_site, gateway) = Site::start_with_gateway().await;
    let turn = |attempt: &str| TestRequest::turn(attempt, "p1", "x").header("token-budget", "120");
    assert_eq!(turn("t1").send(gateway.front).await.status, 200);
    let refused = turn("t2").previous("t1").send(gateway.front).await;
    assert_eq!(refused.status, 402);
    insta::assert_snapshot!(story(&gateway, "t2").await);
    let page = TestRequest::get("/metrics")
        .send(gateway.metrics)
        .await
        .body;
    let counted = "rosebend_gateway_budget_refusals_total{filled_by=\"spent\"} 1";
    assert!(page.contains(counted), "{page}");
}

#[actix_rt::test]
async fn a_turn_refused_while_a_turn_at_another_host_may_spend_the_rest() {
    let site = Site::start();
    let gateways = site.start_two_ready_gateways().await;
    let paced = BackendFaults {
        delay_ms: 400,
        ..BackendFaults::default()
    };
    site.set_endpoint_faults(MODELS, &paced).await;
    let turn = |attempt: &str| TestRequest::turn(attempt, "p1", "x").header("token-budget", "150");
    let (running, other) = (turn("t1"), turn("t2"));
    let second_turn = async {
        wait_until("the reservation of the first turn is durable", async || {
            site.rows("programs") > 0
        })
        .await;
        other.send(gateways[1].front).await
    };
    let (served, refused) = futures_util::join!(running.send(gateways[0].front), second_turn);
    assert_eq!((served.status, refused.status), (200, 402));
    insta::assert_snapshot!(story(&gateways[1], "t2").await);
}

const KEY: &str = "ship-key-000001";

/// Returns routes with one customer, which may send one request per second.
fn with_customer(version: u64, keys: &[&str]) -> serde_json::Value {
    let mut declared = support::routes(version);
    declared["tenants"] = serde_json::json!([
        {"name": "ship", "api-keys": keys, "priority": 1, "rate-per-s": 1, "burst": 1},
    ]);
    declared
}

fn keyed(attempt: &str) -> TestRequest {
    TestRequest::lookup(attempt).header("authorization", &format!("Bearer {KEY}"))
}

#[actix_rt::test]
async fn a_request_refused_for_its_customers_limit() {
    let site = Site::without_routes();
    site.store.put("op", "config", &with_customer(1, &[KEY]));
    let gateway = site.start_ready_gateway().await;
    let mut number = 0;
    loop {
        number += 1;
        let status = keyed(&format!("a{number}"))
            .send(gateway.front)
            .await
            .status;
        if status == 429 {
            break;
        }
        assert!([200, 503].contains(&status), "{status}");
        assert!(number < 200, "nothing was refused");
    }
    let attempt = format!("a{number}");
    let story = story(&gateway, &attempt).await;
    insta::assert_snapshot!(story.replace(&attempt, "ATTEMPT"));
}

#[actix_rt::test]
async fn a_request_whose_key_was_taken_away() {
    let site = Site::without_routes();
    site.store.put("op", "config", &with_customer(1, &[KEY]));
    let gateway = site.start_ready_gateway().await;
    site.store.put("op", "config", &with_customer(2, &[]));
    wait_until("the key is removed", async || {
        gateway.metric("routes_version").await == 2
    })
    .await;
    assert_eq!(keyed("a1").send(gateway.front).await.status, 401);
    insta::assert_snapshot!(story(&gateway, "a1").await);
}
