//! Endpoints that start again under the id that they had.

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

/// Waits until a gateway has listed some starts that followed others.
async fn until_started_again(gateway: &Gateway, times: usize) {
    wait_until("the new start is listed", async || {
        let listed = gateway.events("endpoint-listed");
        let again = listed
            .iter()
            .filter(|event| event["reason"] == "started-again");
        again.count() == times
    })
    .await;
}

fn entry(service: &str, address: SocketAddr, born_ms: u64) -> serde_json::Value {
    json!({
        "service": service, "address": address.to_string(), "zone": "newport-hall",
        "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0, "seq": 1,
        "born": born_ms,
    })
}

/// A start that takes one request and breaks off its answer when told to.
struct Doomed {
    address: SocketAddr,
    crash: mpsc::Sender<()>,
    has_request: mpsc::Receiver<()>,
    thread: JoinHandle<()>,
}

impl Doomed {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (crash, told) = mpsc::channel();
        let (took, has_request) = mpsc::channel();
        let thread = std::thread::spawn(move || {
            let (mut connection, _) = listener.accept().unwrap();
            let mut bytes = [0; 16];
            connection.read_exact(&mut bytes).unwrap();
            took.send(()).unwrap();
            // The test may have failed and gone.
            let _ = told.recv();
        });
        Self {
            address,
            crash,
            has_request,
            thread,
        }
    }

    async fn until_asked(&self) {
        wait_until("the first start has the request", async || {
            self.has_request.try_recv().is_ok()
        })
        .await;
    }

    fn crash(self) {
        self.crash.send(()).unwrap();
        self.thread.join().unwrap();
    }
}

/// A site whose desk is a start that is going to crash, and a gateway.
async fn doomed_desk() -> (Site, Gateway, Doomed) {
    let mut site = Site::start();
    let doomed = Doomed::start();
    let instance = site.endpoints[DESK].instance.clone();
    site.endpoints[DESK].started_ms = Some(FIRST_START_MS + 1);
    site.store.put(
        "servers",
        &instance,
        &entry("desk", doomed.address, FIRST_START_MS + 1),
    );
    let gateway = site.start_gateway();
    gateway.wait_until_ready().await;
    (site, gateway, doomed)
}

#[actix_rt::test]
async fn a_request_that_an_earlier_start_had_is_unknown_and_not_run_again() {
    let (mut site, gateway, doomed) = doomed_desk().await;
    let fee = |attempt: &str| {
        TestRequest::new(Method::POST, "/fee/receipt")
            .attempt(attempt)
            .body("fee 12")
    };
    let front = gateway.front;
    let ask = fee("a1");
    let asked = actix_rt::spawn(async move { ask.send(front).await });
    doomed.until_asked().await;
    site.restart_endpoint(DESK);
    until_started_again(&gateway, 1).await;
    doomed.crash();
    assert_eq!(asked.await.unwrap().status, 502);
    assert_eq!(site.runs(DESK).await.len(), 0);
    // The fault was the earlier start's.
    assert!(gateway.events("endpoint-avoided").is_empty());
    assert_eq!(fee("a2").send(gateway.front).await.status, 200);
}

#[actix_rt::test]
async fn a_request_that_may_run_twice_goes_to_the_new_start() {
    let (mut site, gateway, doomed) = doomed_desk().await;
    let front = gateway.front;
    let ask = TestRequest::get("/lookup/x").attempt("a1");
    let asked = actix_rt::spawn(async move { ask.send(front).await });
    doomed.until_asked().await;
    site.restart_endpoint(DESK);
    until_started_again(&gateway, 1).await;
    doomed.crash();
    assert_eq!(asked.await.unwrap().status, 200);
    assert_eq!(site.runs(DESK).await["a1"].count, 1);
}

#[actix_rt::test]
async fn a_new_start_is_sent_nothing_on_connections_of_the_one_before() {
    let mut site = Site::start();
    let gateways = [site.start_gateway(), site.start_gateway()];
    for gateway in &gateways {
        gateway.wait_until_ready().await;
        for number in 0..4 {
            let ask = TestRequest::get("/lookup/x").attempt(&format!("a{number}"));
            assert_eq!(ask.send(gateway.front).await.status, 200);
        }
    }
    // Two starts within one heartbeat: nobody sees the first of them.
    site.restart_endpoint(DESK);
    site.restart_endpoint(DESK);
    for gateway in &gateways {
        until_started_again(gateway, 1).await;
        for number in 0..4 {
            let ask = TestRequest::get("/lookup/x").attempt(&format!("b{number}"));
            assert_eq!(ask.send(gateway.front).await.status, 200);
        }
    }
    assert_eq!(site.runs(DESK).await.len(), 4);
    assert!(!site.previous_runs(DESK, 0).await.contains_key("b0"));
    assert_eq!(site.previous_runs(DESK, 1).await.len(), 0);
}

#[actix_rt::test]
async fn an_entry_of_an_earlier_start_that_comes_late_changes_nothing() {
    let mut site = Site::start();
    let gateway = site.start_gateway();
    gateway.wait_until_ready().await;
    site.restart_endpoint(DESK);
    until_started_again(&gateway, 1).await;
    let earlier = site.endpoints[DESK].previous_servers[0].address();
    let instance = site.endpoints[DESK].instance.clone();
    site.store.put(
        "servers",
        &instance,
        &entry("desk", earlier, FIRST_START_MS),
    );
    // The next endpoint's entry comes after it.
    site.add_endpoint("models");
    wait_until("the later entry is read", async || {
        let listed = gateway.events("endpoint-listed");
        listed.iter().any(|event| event["endpoint"] == "i-models-2")
    })
    .await;
    let ask = TestRequest::get("/lookup/x").attempt("a1");
    assert_eq!(ask.send(gateway.front).await.status, 200);
    assert!(site.runs(DESK).await.contains_key("a1"));
}

#[actix_rt::test]
async fn a_turn_is_not_thought_warm_at_a_later_start() {
    let mut site = Site::start();
    let gateway = site.start_gateway();
    gateway.wait_until_ready().await;
    // A prompt that is worth a detour.
    let first = TestRequest::turn("t0", "p1", "a").header("token-counts", "5000,10");
    assert_eq!(first.send(gateway.front).await.status, 200);
    let other = site.add_endpoint("models");
    wait_until("the other is listed", async || {
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
    // The new start is slow at first, which a warm prompt would outweigh.
    site.endpoints[MODELS].cold_left_ms = 60_000;
    site.restart_endpoint(MODELS);
    until_started_again(&gateway, 1).await;
    turns("t2").await;
    assert_eq!(site.runs(other).await.len(), 8);
}
