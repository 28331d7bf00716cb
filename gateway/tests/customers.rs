//! Identification of customers by their keys, and isolation of customers from each
//! other.

mod support;

use http::Method;
use rosebend_standin::backend::BackendFaults;
use rosebend_standin::store::StoreFaults;
use serde_json::{Value, json};
use support::{Gateway, Site, TestRequest, TestResponse, routes, wait_until};

const MODELS: usize = 0;
const DESK: usize = 1;
/// Keys of the two customers that the tests declare.
const SHIP_KEY: &str = "ship-key-000001";
const CREW_KEY: &str = "crew-key-000001";

fn customer(name: &str, keys: &[&str]) -> Value {
    json!({"name": name, "api-keys": keys, "priority": 1, "rate-per-s": 0, "burst": 0})
}

fn with_customers(version: u64, customers: &[Value]) -> Value {
    let mut declared = routes(version);
    declared["tenants"] = json!(customers);
    declared["routes"][3]["public"] = json!(true);
    declared
}

fn two_customers(version: u64) -> Value {
    let customers = [
        customer("ship", &[SHIP_KEY]),
        customer("crew", &[CREW_KEY, "crew-key-000002"]),
    ];
    with_customers(version, &customers)
}

fn declare(site: &Site, declared: &Value) {
    site.store.put("op", "config", declared);
}

async fn start() -> (Site, Gateway) {
    let site = Site::without_routes();
    declare(&site, &two_customers(1));
    let gateway = site.start_ready_gateway().await;
    (site, gateway)
}

trait Keyed {
    fn key(self, key: &str) -> Self;
}

impl Keyed for TestRequest {
    fn key(self, key: &str) -> Self {
        self.header("authorization", &format!("Bearer {key}"))
    }
}

fn reason(answer: &TestResponse) -> String {
    let problem: Value = serde_json::from_str(&answer.body).unwrap();
    problem["reason"].as_str().unwrap().to_owned()
}

async fn until_version(gateway: &Gateway, version: u64) {
    wait_until("the routes are in force", async || {
        gateway.metric("routes_version").await == version
    })
    .await;
}

#[actix_rt::test]
async fn an_endpoint_receives_the_customers_name_and_not_its_key() {
    let (site, gateway) = start().await;
    let forged = TestRequest::lookup("a1")
        .key(SHIP_KEY)
        .header("tenant", "crew");
    assert_eq!(forged.send(gateway.front).await.status, 200);
    let turn = TestRequest::turn("t1", "p1", "first|").key(CREW_KEY);
    assert_eq!(turn.send(gateway.front).await.status, 200);
    let lookup = site.runs(DESK).await["a1"].clone();
    assert_eq!(lookup.headers["tenant"], "ship");
    assert!(!lookup.headers.contains_key("authorization"));
    let turn = site.runs(MODELS).await["t1"].clone();
    assert_eq!(turn.headers["tenant"], "crew");
    assert!(!turn.headers.contains_key("authorization"));
}

#[actix_rt::test]
async fn a_retry_at_another_endpoint_carries_the_customers_name() {
    let mut site = Site::without_routes();
    let other = site.add_endpoint("desk");
    declare(&site, &two_customers(1));
    let gateway = site.start_ready_gateway().await;
    let faults = BackendFaults {
        refuse: 1_000,
        ..BackendFaults::default()
    };
    site.set_endpoint_faults(DESK, &faults).await;
    for number in 0..4 {
        let ask = TestRequest::lookup(&format!("a{number}")).key(SHIP_KEY);
        assert_eq!(ask.send(gateway.front).await.status, 200);
    }
    let runs = site.runs(other).await;
    assert_eq!(runs.len(), 4);
    for run in runs.values() {
        assert_eq!(run.headers["tenant"], "ship");
        assert!(!run.headers.contains_key("authorization"));
    }
}

#[actix_rt::test]
async fn a_request_without_a_known_key_is_refused_and_does_not_run() {
    let (site, gateway) = start().await;
    let table = [
        (TestRequest::lookup("a1"), "no-key"),
        (TestRequest::lookup("a2").key("nobodys-key"), "unknown-key"),
        (
            TestRequest::lookup("a3").header("authorization", "Bearer"),
            "no-key",
        ),
        (
            TestRequest::lookup("a4").header("authorization", ""),
            "no-key",
        ),
        (
            TestRequest::lookup("a5").header("authorization", SHIP_KEY),
            "no-key",
        ),
        (
            TestRequest::lookup("a6").header("authorization", &format!("Basic {SHIP_KEY}")),
            "no-key",
        ),
        (
            TestRequest::lookup("a7").key(&"x".repeat(8_000)),
            "unknown-key",
        ),
        (TestRequest::lookup("a8").key(&format!("{SHIP_KEY} ")), ""),
        (
            TestRequest::lookup("a9").header("authorization", &format!("bEARER   {SHIP_KEY}")),
            "",
        ),
        (
            TestRequest::turn("t1", "p1", "x").key(&SHIP_KEY[1..]),
            "unknown-key",
        ),
    ];
    for (ask, expected_reason) in table {
        let answer = ask.send(gateway.front).await;
        if expected_reason.is_empty() {
            assert_eq!(answer.status, 200, "{ask:?}");
            continue;
        }
        assert_eq!(answer.status, 401, "{ask:?}");
        assert_eq!(reason(&answer), expected_reason, "{ask:?}");
        assert_eq!(answer.header("www-authenticate"), Some("Bearer"));
    }
    for attempt in ["a1", "a2", "a3", "a4", "a5", "a6", "a7", "t1"] {
        assert_eq!(site.run_count(attempt).await, 0, "{attempt}");
    }
}

#[actix_rt::test]
async fn a_public_route_accepts_callers_without_a_key() {
    let (site, gateway) = start().await;
    let ask = TestRequest::new(Method::POST, "/unkept/stream/x")
        .attempt("a1")
        .header("tenant", "crew");
    assert_eq!(ask.send(gateway.front).await.status, 200);
    let run = site.runs(MODELS).await["a1"].clone();
    assert!(!run.headers.contains_key("tenant"));
    let ask = ask.attempt("a2").key(SHIP_KEY);
    assert_eq!(ask.send(gateway.front).await.status, 200);
    let run = site.runs(MODELS).await["a2"].clone();
    assert!(!run.headers.contains_key("authorization"));
}

#[actix_rt::test]
async fn no_key_is_required_if_no_customers_are_declared() {
    let (site, gateway) = Site::start_with_gateway().await;
    let ask = TestRequest::lookup("a1").key("of-the-endpoint");
    assert_eq!(ask.send(gateway.front).await.status, 200);
    let run = site.runs(DESK).await["a1"].clone();
    assert_eq!(run.headers["authorization"], "Bearer of-the-endpoint");
}

#[actix_rt::test]
async fn keys_that_are_removed_or_reassigned_lose_their_former_effect() {
    let (site, gateway) = start().await;
    assert_eq!(lookup_with_key(&gateway, "a1", SHIP_KEY).await.status, 200);
    let moved = [customer("ship", &[]), customer("crew", &[SHIP_KEY])];
    declare(&site, &with_customers(2, &moved));
    until_version(&gateway, 2).await;
    assert_eq!(lookup_with_key(&gateway, "a2", SHIP_KEY).await.status, 200);
    assert_eq!(site.runs(DESK).await["a2"].headers["tenant"], "crew");
    assert_eq!(lookup_with_key(&gateway, "a3", CREW_KEY).await.status, 401);
    declare(&site, &with_customers(3, &[]));
    until_version(&gateway, 3).await;
    assert_eq!(lookup_with_key(&gateway, "a4", SHIP_KEY).await.status, 401);
}

async fn lookup_with_key(gateway: &Gateway, attempt: &str, key: &str) -> TestResponse {
    TestRequest::lookup(attempt)
        .key(key)
        .send(gateway.front)
        .await
}

#[actix_rt::test]
async fn an_unusable_entry_affects_only_its_customer() {
    let site = Site::without_routes();
    let mut broken = customer("ship", &[SHIP_KEY]);
    broken["rate-per-s"] = json!("many");
    let customers = [
        broken,
        customer("crew", &[CREW_KEY]),
        customer("mate", &["shared-key"]),
        customer("cook", &["shared-key", "cook-key"]),
    ];
    declare(&site, &with_customers(1, &customers));
    let gateway = site.start_ready_gateway().await;
    assert_eq!(lookup_with_key(&gateway, "a1", CREW_KEY).await.status, 200);
    assert_eq!(
        lookup_with_key(&gateway, "a2", "cook-key").await.status,
        200
    );
    for (attempt, key) in [("a3", SHIP_KEY), ("a4", "shared-key")] {
        let answer = lookup_with_key(&gateway, attempt, key).await;
        assert_eq!(answer.status, 503);
        assert_eq!(reason(&answer), "key-unusable");
    }
    assert_eq!(
        lookup_with_key(&gateway, "a5", "nobodys-key").await.status,
        401
    );
    assert_eq!(gateway.events("customer-unusable").len(), 2);
}

#[actix_rt::test]
async fn unknown_keys_are_not_rejected_while_the_store_does_not_respond() {
    let (site, gateway) = start().await;
    assert_eq!(lookup_with_key(&gateway, "a1", "new-key").await.status, 401);
    let unresponsive = StoreFaults {
        silent: true,
        ..StoreFaults::default()
    };
    site.set_store_faults(&unresponsive).await;
    wait_until("the host has unconfirmed routes", async || {
        lookup_with_key(&gateway, "a2", "new-key").await.status == 503
    })
    .await;
    // Known keys are still accepted, because the setting strict_keys is off.
    assert_eq!(lookup_with_key(&gateway, "a3", SHIP_KEY).await.status, 200);
}

#[actix_rt::test]
async fn a_host_with_strict_keys_accepts_no_unconfirmed_key() {
    let site = Site::without_routes();
    declare(&site, &two_customers(1));
    let gateway = Gateway::start_with_customers(
        site.store_listener.address(),
        "strict_keys = yes\nkeys_confirmed_within_ms = 2000\n",
    );
    gateway.wait_until_ready().await;
    assert_eq!(lookup_with_key(&gateway, "a1", SHIP_KEY).await.status, 200);
    let unresponsive = StoreFaults {
        silent: true,
        ..StoreFaults::default()
    };
    site.set_store_faults(&unresponsive).await;
    wait_until("the host refuses keys", async || {
        let answer = lookup_with_key(&gateway, "a2", SHIP_KEY).await;
        answer.status == 503 && reason(&answer) == "keys-unconfirmed"
    })
    .await;
    site.set_store_faults(&StoreFaults::default()).await;
    wait_until("the host accepts keys again", async || {
        lookup_with_key(&gateway, "a3", SHIP_KEY).await.status == 200
    })
    .await;
}

#[actix_rt::test]
async fn a_turn_of_another_customer_is_not_found() {
    let (site, gateway) = start().await;
    let first = TestRequest::turn("t1", "p1", "first|").key(SHIP_KEY);
    assert_eq!(first.send(gateway.front).await.status, 200);
    let other = site.start_ready_gateway().await;
    for (number, front) in [gateway.front, other.front].into_iter().enumerate() {
        let attempt = format!("u{number}");
        let foreign = TestRequest::turn(&attempt, "p1", "x")
            .previous("t1")
            .key(CREW_KEY);
        let foreign = foreign.send(front).await;
        let missing = TestRequest::turn(&attempt, "p1", "x")
            .previous("t9")
            .key(CREW_KEY);
        let missing = missing.send(front).await;
        assert_eq!((foreign.status, missing.status), (404, 404));
        assert_eq!(foreign.body, missing.body);
        assert_eq!(site.run_count(&attempt).await, 0);
    }
    let next = TestRequest::turn("t2", "p1", "second|")
        .previous("t1")
        .key(SHIP_KEY);
    assert_eq!(next.send(other.front).await.status, 200);
}

#[actix_rt::test]
async fn programs_and_attempts_of_two_customers_may_have_the_same_ids() {
    let (site, gateway) = start().await;
    for (key, input) in [(SHIP_KEY, "ship|"), (CREW_KEY, "crew|")] {
        let turn = TestRequest::turn("t1", "p1", input).key(key);
        let turn = turn.header("token-budget", "100");
        // Each customer's program has its own budget, which suffices for one turn.
        assert_eq!(turn.send(gateway.front).await.status, 200);
    }
    let other = site.start_ready_gateway().await;
    for (number, (key, input)) in [(SHIP_KEY, "ship|"), (CREW_KEY, "crew|")]
        .iter()
        .enumerate()
    {
        let attempt = format!("n{number}");
        let turn = TestRequest::turn(&attempt, "p1", "next")
            .previous("t1")
            .key(key);
        assert_eq!(turn.send(other.front).await.status, 200);
        let body = site.runs(MODELS).await[&attempt].body.clone();
        assert!(body.starts_with(input), "{body}");
    }
}

#[actix_rt::test]
async fn turns_from_before_customers_were_declared_belong_to_no_customer() {
    let site = Site::start();
    let gateway = site.start_ready_gateway().await;
    let first = TestRequest::turn("t1", "p1", "first|");
    assert_eq!(first.send(gateway.front).await.status, 200);
    declare(&site, &two_customers(2));
    until_version(&gateway, 2).await;
    let next = TestRequest::turn("t2", "p1", "x")
        .previous("t1")
        .key(SHIP_KEY);
    assert_eq!(next.send(gateway.front).await.status, 404);
}

#[actix_rt::test]
async fn no_key_appears_in_responses_metrics_or_logs() {
    let (site, gateway) = start().await;
    let mut broken = customer("ship", &[]);
    broken["api-keys"] = json!(SHIP_KEY);
    declare(
        &site,
        &with_customers(2, &[broken, customer("crew", &[CREW_KEY])]),
    );
    until_version(&gateway, 2).await;
    let mut output = String::new();
    for (number, key) in [SHIP_KEY, CREW_KEY, "a-strangers-key"].iter().enumerate() {
        output += &lookup_with_key(&gateway, &format!("a{number}"), key)
            .await
            .body;
    }
    output += &TestRequest::get("/metrics")
        .send(gateway.metrics)
        .await
        .body;
    output += &gateway.log().concat();
    for key in [SHIP_KEY, CREW_KEY, "a-strangers-key"] {
        assert!(!output.contains(key));
    }
}
