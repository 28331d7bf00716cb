//! Tests of endpoints that restart under the same id: a gateway must not send
//! requests to a previous start, reuse its connections, or attribute its state
//! to the new start.

mod support;

use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc;
use std::thread::JoinHandle;

use http::Method;
use serde_json::json;
use support::{FIRST_START_MS, Gateway, Site, TestRequest, wait_until};

const MODELS: usize = 0;
const DESK: usize = 1;

/// Waits until a gateway has listed the given number of restarts.
async fn wait_until_restarted(gateway: &Gateway, expected_count: usize) {
    wait_until("the restart is listed", async || {
        let listed = gateway.events("endpoint-listed");
        let restarts = listed
            .iter()
            .filter(|event| event["reason"] == "started-again");
        restarts.count() == expected_count
    })
    .await;
}

/// Returns the entry of an endpoint that started at the given time.
fn entry(service: &str, address: SocketAddr, started_ms: u64) -> serde_json::Value {
    json!({
        "service": service, "address": address.to_string(), "zone": "newport-hall",
        "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0, "seq": 1,
        "born": started_ms,
    })
}

/// An endpoint that accepts one request and closes the connection without a
/// response when the test triggers its crash.
struct CrashingEndpoint {
    address: SocketAddr,
    crash: mpsc::Sender<()>,
    has_request: mpsc::Receiver<()>,
    thread: JoinHandle<()>,
}

impl CrashingEndpoint {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (crash, crash_signal) = mpsc::channel();
        let (request_received, has_request) = mpsc::channel();
        let thread = std::thread::spawn(move || {
            let (mut connection, _) = listener.accept().unwrap();
            let mut bytes = [0; 16];
            connection.read_exact(&mut bytes).unwrap();
            request_received.send(()).unwrap();
            // Receiving fails if the test has failed and dropped the sender.
            let _ = crash_signal.recv();
        });
        Self {
            address,
            crash,
            has_request,
            thread,
        }
    }

    /// Waits until the endpoint has received a request.
    async fn wait_for_request(&self) {
        wait_until("the endpoint has received the request", async || {
            self.has_request.try_recv().is_ok()
        })
        .await;
    }

    /// Closes the connection of the request.
    fn crash(self) {
        self.crash.send(()).unwrap();
        self.thread.join().unwrap();
    }
}

/// Starts a site whose `desk` endpoint is a [`CrashingEndpoint`], and a
/// gateway.
async fn start_with_crashing_endpoint() -> (Site, Gateway, CrashingEndpoint) {
    let mut site = Site::start();
    let crashing = CrashingEndpoint::start();
    let instance = site.endpoints[DESK].instance.clone();
    site.endpoints[DESK].started_ms = Some(FIRST_START_MS + 1);
    site.store.put(
        "servers",
        &instance,
        &entry("desk", crashing.address, FIRST_START_MS + 1),
    );
    let gateway = site.start_gateway();
    gateway.wait_until_ready().await;
    (site, gateway, crashing)
}

#[actix_rt::test]
async fn a_request_sent_before_a_restart_has_an_unknown_outcome_and_is_not_repeated() {
    let (mut site, gateway, crashing) = start_with_crashing_endpoint().await;
    let fee = |attempt: &str| {
        TestRequest::new(Method::POST, "/fee/receipt")
            .attempt(attempt)
            .body("fee 12")
    };
    let front = gateway.front;
    let request = fee("a1");
    let response = actix_rt::spawn(async move { request.send(front).await });
    crashing.wait_for_request().await;
    site.restart_endpoint(DESK);
    wait_until_restarted(&gateway, 1).await;
    crashing.crash();
    assert_eq!(response.await.unwrap().status, 502);
    assert_eq!(site.runs(DESK).await.len(), 0);
    // The failure of the previous start must not count against the new one.
    assert!(gateway.events("endpoint-avoided").is_empty());
    assert_eq!(fee("a2").send(gateway.front).await.status, 200);
}

#[actix_rt::test]
async fn a_repeatable_request_is_retried_at_the_restarted_endpoint() {
    let (mut site, gateway, crashing) = start_with_crashing_endpoint().await;
    let front = gateway.front;
    let request = TestRequest::get("/lookup/x").attempt("a1");
    let response = actix_rt::spawn(async move { request.send(front).await });
    crashing.wait_for_request().await;
    site.restart_endpoint(DESK);
    wait_until_restarted(&gateway, 1).await;
    crashing.crash();
    assert_eq!(response.await.unwrap().status, 200);
    assert_eq!(site.runs(DESK).await["a1"].count, 1);
}

#[actix_rt::test]
async fn connections_to_a_previous_start_are_not_reused() {
    let mut site = Site::start();
    let gateways = [site.start_gateway(), site.start_gateway()];
    for gateway in &gateways {
        gateway.wait_until_ready().await;
        for number in 0..4 {
            let request = TestRequest::get("/lookup/x").attempt(&format!("a{number}"));
            assert_eq!(request.send(gateway.front).await.status, 200);
        }
    }
    // The endpoint restarts twice within one heartbeat interval, so the
    // gateways never observe the first restart.
    site.restart_endpoint(DESK);
    site.restart_endpoint(DESK);
    for gateway in &gateways {
        wait_until_restarted(gateway, 1).await;
        for number in 0..4 {
            let request = TestRequest::get("/lookup/x").attempt(&format!("b{number}"));
            assert_eq!(request.send(gateway.front).await.status, 200);
        }
    }
    assert_eq!(site.runs(DESK).await.len(), 4);
    assert!(!site.previous_runs(DESK, 0).await.contains_key("b0"));
    assert_eq!(site.previous_runs(DESK, 1).await.len(), 0);
}

#[actix_rt::test]
async fn a_late_entry_of_a_previous_start_is_ignored() {
    let mut site = Site::start();
    let gateway = site.start_gateway();
    gateway.wait_until_ready().await;
    site.restart_endpoint(DESK);
    wait_until_restarted(&gateway, 1).await;
    let earlier = site.endpoints[DESK].previous_servers[0].address();
    let instance = site.endpoints[DESK].instance.clone();
    site.store.put(
        "servers",
        &instance,
        &entry("desk", earlier, FIRST_START_MS),
    );
    // The entry of another endpoint follows the late one, so both are read once
    // it is listed.
    site.add_endpoint("models");
    wait_until("the later entry is read", async || {
        let listed = gateway.events("endpoint-listed");
        listed.iter().any(|event| event["endpoint"] == "i-models-2")
    })
    .await;
    let request = TestRequest::get("/lookup/x").attempt("a1");
    assert_eq!(request.send(gateway.front).await.status, 200);
    assert!(site.runs(DESK).await.contains_key("a1"));
}

#[actix_rt::test]
async fn a_restart_clears_the_record_of_warm_prompts() {
    let mut site = Site::start();
    let gateway = site.start_gateway();
    gateway.wait_until_ready().await;
    // The prompt is long enough that the gateway prefers the endpoint that has
    // it cached.
    let first = TestRequest::turn("t0", "p1", "a").header("token-counts", "5000,10");
    assert_eq!(first.send(gateway.front).await.status, 200);
    let other = site.add_endpoint("models");
    wait_until("the second models endpoint is listed", async || {
        gateway.events("endpoint-listed").len() == 3
    })
    .await;
    let turns = async |name: &str| {
        for number in 0..8 {
            let attempt = format!("{name}{number}");
            let turn = TestRequest::turn(&attempt, "p1", "b").previous("t0");
            let turn = turn.header("token-counts", "5000,10");
            assert_eq!(turn.send(gateway.front).await.status, 200, "{attempt}");
        }
    };
    turns("t1").await;
    assert_eq!(site.runs(other).await.len(), 0);
    // The restarted endpoint announces a slow start. The gateway would still
    // choose it if it assumed that the prompt is cached there.
    site.endpoints[MODELS].cold_left_ms = 60_000;
    site.restart_endpoint(MODELS);
    wait_until_restarted(&gateway, 1).await;
    turns("t2").await;
    assert_eq!(site.runs(other).await.len(), 8);
}
