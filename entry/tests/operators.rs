//! The operators' API over the stand-in of the platform.

use std::{
    net::TcpListener,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use actix_http::header::HeaderMap;
use rosebend_entry::operators::{
    HostView, LiveProcess, OperatorContext, WriteIds, as_program_request, handle,
};
use rosebend_standin::{server::RunningServer, store::Store};
use rosebend_state::settings::PlatformSettings;
use rosebend_transport::http_server::{HttpReply, HttpRequest, ReplyBody};
use serde_json::{Value, json};

struct Bench {
    platform: RunningServer,
    context: OperatorContext,
    /// The revision that the host has in force.
    in_force: Arc<AtomicU64>,
}

impl Bench {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let platform = Store::default().open_door(listener).unwrap();
        let in_force = Arc::new(AtomicU64::new(0));
        let (seen, told) = (in_force.clone(), in_force.clone());
        let context = OperatorContext::new(
            PlatformSettings {
                address: platform.address(),
                timeout: Duration::from_millis(300),
            },
            WriteIds::new("entry-a", "1"),
            move || {
                let revision = seen.load(Ordering::SeqCst);
                Box::pin(async move { host_view(revision) })
            },
            move |change| {
                told.fetch_max(change.revision, Ordering::SeqCst);
            },
        );
        Self {
            platform,
            context,
            in_force,
        }
    }

    async fn send(&self, method: &str, path: &str, body: Value) -> (u16, Value) {
        let reply = handle(request(method, path, &body), "desk", &self.context).await;
        answer(reply)
    }

    async fn get(&self, path: &str) -> (u16, Value) {
        self.send("GET", path, Value::Null).await
    }

    async fn faults(&self, faults: Value) {
        let url = format!("{}/faults", self.platform.url());
        let reply = awc::Client::default().post(url).send_json(&faults).await;
        assert!(reply.unwrap().status().is_success());
    }
}

fn host_view(revision: u64) -> HostView {
    let process = |host: &str, kind, revision| LiveProcess {
        host: host.to_owned(),
        kind,
        availability_zone: "newport-hall".to_owned(),
        config_revision: revision,
        leaving: false,
    };
    HostView {
        revision,
        processes: vec![
            process("entry-a", "entry", revision),
            process("agent-llm-1", "sidecar", revision.saturating_sub(1)),
        ],
    }
}

fn request(method: &str, path: &str, body: &Value) -> HttpRequest {
    let (path, query) = path.split_once('?').unwrap_or((path, ""));
    HttpRequest {
        method: method.to_owned(),
        path: path.to_owned(),
        query: query.to_owned(),
        headers: HeaderMap::new(),
        body: body.to_string().into(),
    }
}

fn answer(reply: HttpReply) -> (u16, Value) {
    let ReplyBody::Whole(body) = reply.body else {
        panic!("operators get whole answers");
    };
    (reply.status, serde_json::from_slice(&body).unwrap())
}

fn customer(weight: u64) -> Value {
    json!({"kind": "customer", "name": "caribmar",
           "spec": {"share_weight": weight, "budget_ceiling_tokens": 100_000}})
}

fn endpoint() -> Value {
    json!({"kind": "endpoint", "name": "agent-llm-1",
           "spec": {"sidecar_address": "127.0.0.1:9101", "availability_zone": "harbour-hall",
                    "kind": "engine", "serves": ["agent-llm"]}})
}

#[actix_rt::test]
async fn a_resource_is_declared_changed_and_removed() {
    let bench = Bench::start();
    let path = "/api/v1/customer/caribmar";
    let (status, created) = bench
        .send("PUT", &format!("{path}?revision=0"), customer(1))
        .await;
    assert_eq!((status, &created["outcome"]), (200, &json!("accepted")));
    let (_, same) = bench
        .send("PUT", &format!("{path}?revision=1"), customer(1))
        .await;
    assert_eq!(
        (&same["outcome"], &same["revision"]),
        (&json!("unchanged"), &json!(1))
    );
    let (_, changed) = bench
        .send("PUT", &format!("{path}?revision=1"), customer(2))
        .await;
    assert_eq!(changed["revision"], 2);

    let (_, resource) = bench.get(path).await;
    assert_eq!(
        resource["metadata"],
        json!({"changed_by": "desk", "changed_at_revision": 2})
    );
    let (_, list) = bench.get("/api/v1/customer").await;
    assert_eq!(
        (
            &list["revision"],
            list["resources"].as_array().unwrap().len()
        ),
        (&json!(2), 1)
    );

    let (status, _) = bench
        .send("DELETE", &format!("{path}?revision=2"), Value::Null)
        .await;
    assert_eq!((status, bench.get(path).await.0), (200, 404));
    let (_, changes) = bench.get("/api/v1/changes?after=1").await;
    assert_eq!(changes["after"], 3);
    assert_eq!(changes["changes"][1]["resource"], Value::Null);
    bench.platform.stop().await.unwrap();
}

#[actix_rt::test]
async fn a_conflict_tells_who_changed_what() {
    let bench = Bench::start();
    let path = "/api/v1/customer/caribmar";
    bench
        .send("PUT", &format!("{path}?revision=0"), customer(1))
        .await;
    let other = request("PUT", &format!("{path}?revision=1"), &customer(2));
    handle(other, "night-desk", &bench.context).await;
    let (status, problem) = bench
        .send("PUT", &format!("{path}?revision=1"), customer(3))
        .await;
    assert_eq!((status, &problem["ran"]), (409, &json!("no")));
    insta::assert_json_snapshot!(problem);
    bench.platform.stop().await.unwrap();
}

#[actix_rt::test]
async fn a_dry_run_checks_and_writes_nothing() {
    let bench = Bench::start();
    let path = "/api/v1/customer/caribmar?dry_run=true";
    let (status, dry) = bench
        .send("PUT", &format!("{path}&revision=0"), customer(1))
        .await;
    assert_eq!((status, &dry["outcome"]), (200, &json!("dry_run")));
    assert_eq!(bench.get("/api/v1/customer/caribmar").await.0, 404);
    let (status, _) = bench
        .send("PUT", &format!("{path}&revision=4"), customer(1))
        .await;
    assert_eq!(status, 409);
    bench.platform.stop().await.unwrap();
}

#[actix_rt::test]
async fn a_lost_answer_is_settled_by_reading_back() {
    let bench = Bench::start();
    bench.faults(json!({"lose_answers": 1})).await;
    let path = "/api/v1/customer/caribmar?revision=0";
    let (status, created) = bench.send("PUT", path, customer(1)).await;
    assert_eq!((status, &created["outcome"]), (200, &json!("accepted")));
    assert_eq!(created["revision"], 1);
    let (_, changes) = bench.get("/api/v1/changes").await;
    assert_eq!(changes["changes"].as_array().unwrap().len(), 1);
    assert_eq!(bench.in_force.load(Ordering::SeqCst), 1);
    bench.platform.stop().await.unwrap();
}

#[actix_rt::test]
async fn an_outage_refuses_truthfully_and_the_status_still_answers() {
    let bench = Bench::start();
    let path = "/api/v1/customer/caribmar?revision=0";
    bench.send("PUT", path, customer(1)).await;
    bench.faults(json!({"refuse": true})).await;
    let path = "/api/v1/customer/caribmar?revision=1";
    let (status, problem) = bench.send("PUT", path, customer(2)).await;
    assert_eq!((status, &problem["ran"]), (503, &json!("no")));
    let (status, shown) = bench.get("/api/v1/status").await;
    assert_eq!((status, &shown["accepted_revision"]), (200, &Value::Null));
    assert_eq!(shown["revision"], 1);
    bench.faults(json!({})).await;
    let (_, resource) = bench.get("/api/v1/customer/caribmar").await;
    assert_eq!(resource["spec"]["share_weight"], 1);
    bench.platform.stop().await.unwrap();
}

#[actix_rt::test]
async fn an_endpoint_is_drained_whatever_its_revision() {
    let bench = Bench::start();
    let drain = "/api/v1/endpoint/agent-llm-1/drain";
    assert_eq!(bench.send("POST", drain, Value::Null).await.0, 404);
    bench
        .send("PUT", "/api/v1/endpoint/agent-llm-1?revision=0", endpoint())
        .await;
    let (status, drained) = bench.send("POST", drain, Value::Null).await;
    assert_eq!(
        (status, &drained["resource"]["spec"]["draining"]),
        (200, &json!(true))
    );
    let (_, again) = bench.send("POST", drain, Value::Null).await;
    assert_eq!(again["outcome"], "unchanged");
    bench.platform.stop().await.unwrap();
}

#[actix_rt::test]
async fn a_watch_waits_for_the_next_change() {
    let bench = Bench::start();
    let (_, nothing) = bench.get("/api/v1/changes?after=0&wait_ms=10").await;
    assert_eq!(nothing, json!({"changes": [], "after": 0}));
    let watch = bench.get("/api/v1/changes?after=0&wait_ms=30000");
    let change = bench.send("PUT", "/api/v1/customer/caribmar?revision=0", customer(1));
    let ((_, watched), _) = futures_util::join!(watch, change);
    assert_eq!(watched["changes"][0]["name"], "caribmar");
    bench.platform.stop().await.unwrap();
}

#[actix_rt::test]
async fn the_status_counts_where_a_revision_is_in_force() {
    let bench = Bench::start();
    bench
        .send("PUT", "/api/v1/customer/caribmar?revision=0", customer(1))
        .await;
    insta::assert_json_snapshot!(bench.get("/api/v1/status").await.1);
    let (_, shown) = bench.get("/api/v1/status?revision=0").await;
    assert_eq!((&shown["in_force"], &shown["live"]), (&json!(2), &json!(2)));
    bench.platform.stop().await.unwrap();
}

#[actix_rt::test]
async fn malformed_requests_get_a_clear_problem() {
    let bench = Bench::start();
    let wrong = [
        ("GET", "/api/v1/weather", Value::Null),
        ("GET", "/api/v1/customer/Caribmar", Value::Null),
        ("GET", "/api/v1/customer/caribmar%20", Value::Null),
        ("PATCH", "/api/v1/customer/caribmar", Value::Null),
        ("POST", "/api/v1/endpoint/agent-llm-1", Value::Null),
        ("PUT", "/api/v1/customer/caribmar", customer(1)),
        ("PUT", "/api/v1/customer/caribmar?revision=new", customer(1)),
        (
            "PUT",
            "/api/v1/customer/caribmar?revision=0&dry_run=maybe",
            customer(1),
        ),
        ("PUT", "/api/v1/customer/coastal?revision=0", customer(1)),
        ("PUT", "/api/v1/customer/caribmar?revision=0", customer(0)),
        (
            "PUT",
            "/api/v1/customer/caribmar?revision=0",
            json!(["no", "resource"]),
        ),
        (
            "DELETE",
            "/api/v1/customer/caribmar?revision=0",
            Value::Null,
        ),
        ("GET", "/api/v1/changes?wait_ms=60000", Value::Null),
    ];
    let mut problems = Vec::new();
    for (method, path, body) in wrong {
        let (status, problem) = bench.send(method, path, body).await;
        assert_eq!(problem["ran"], "no", "{method} {path}");
        problems.push(format!("{method} {path}: {status} {}", problem["detail"]));
    }
    insta::assert_snapshot!(problems.join("\n"));
    bench.platform.stop().await.unwrap();
}

#[test]
fn an_operators_request_about_a_program_becomes_the_customers() {
    let path = "/api/v1/program/caribmar/renewal-17%2Fcheck-2";
    let (own, customer) = as_program_request(&request("DELETE", path, &Value::Null)).unwrap();
    assert_eq!(own.path, "/v1/sessions/renewal-17%2Fcheck-2");
    assert_eq!(
        (own.method.as_str(), customer.as_str()),
        ("DELETE", "caribmar")
    );
    for other in [
        "/api/v1/program/caribmar",
        "/api/v1/session/caribmar/renewal-17",
    ] {
        assert!(as_program_request(&request("GET", other, &Value::Null)).is_none());
    }
}
