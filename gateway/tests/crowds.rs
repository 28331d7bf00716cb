//! Tests that a gateway survives crowds of clients that send large, incomplete or oversized
//! requests, within the memory and the descriptors of the smallest host, and that ordinary
//! callers are answered beside them and afterwards.

mod support;

use std::cell::Cell;
use std::io::{Read as _, Write as _};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use http::Method;
use rosebend_standin::backend::BackendFaults;
use rosebend_standin::endless::{Endless, EndlessServer};
use rosebend_system_tests::crowd::{
    Crowd, CrowdRequest, Form, MAX_DESCRIPTORS, MAX_MEMORY_BYTES, UsageMonitor,
};
use serde_json::json;
use socket2::{Domain, Socket, Type};
use support::{Gateway, Site, TestRequest, routes, wait_until};
use tokio::sync::Mutex;

/// Largest body of the declared limits.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Clients of a crowd of one form, and of each form in a mixed one.
const CLIENTS: usize = 64;
const MIXED_CLIENTS: usize = 16;
/// Clients of a crowd that sends no bodies.
const HEAD_CLIENTS: usize = 2_000;
const OVERSIZED_HEAD_CLIENTS: usize = 800;
const IDLE_CLIENTS: usize = 4_300;
/// Clients that do not read their answers, and the size of an answer.
const READERS: usize = 256;
const ANSWER_BYTES: usize = 1 << 20;
/// Answers without an end at a time, and large answers beside them.
const ENDLESS_ANSWERS: usize = 24;
const LARGE_ANSWERS: usize = 20;
/// Time before an endpoint answers.
const ENDPOINT_DELAY_MS: u64 = 300;
/// Time for which a crowd that has sent keeps its connections open.
const OPEN_TIME: Duration = Duration::from_secs(1);

/// Crowds are played one at a time.
static ALONE: Mutex<()> = Mutex::const_new(());

/// Starts a site with the limits of the smallest host's deployment.
fn start_site() -> Site {
    let site = Site::without_routes();
    let mut config = routes(1);
    config["limits"]["max-body-bytes"] = json!(MAX_BODY_BYTES);
    for route in config["routes"].as_array_mut().unwrap() {
        route["timeout-ms"] = json!(20_000);
    }
    site.store.put("op", "config", &config);
    site
}

fn crowd_request(path: &str) -> CrowdRequest {
    CrowdRequest {
        head: format!("POST {path} HTTP/1.1\r\nhost: desk.example\r\nattempt-id: crowd\r\n"),
        max_body_bytes: MAX_BODY_BYTES,
    }
}

/// Sends an ordinary request until it is answered.
async fn check_ordinary(gateway: &Gateway, when: &str) {
    let request = TestRequest::new(Method::POST, "/fee/receipt")
        .attempt("ordinary")
        .body("ordinary");
    wait_until(&format!("an ordinary request {when}"), async || {
        request.send(gateway.front).await.status == 200
    })
    .await;
}

/// Sends a request of the largest legal size, which must be answered at once.
async fn check_largest(gateway: &Gateway, when: &str) {
    let request = TestRequest::new(Method::POST, "/fee/receipt")
        .attempt(&format!("largest-{when}"))
        .body(&"x".repeat(MAX_BODY_BYTES));
    let answer = request.send(gateway.front).await;
    assert_eq!(answer.status, 200, "the largest request {when}: {answer:?}");
}

fn monitor(gateway: &Gateway) -> UsageMonitor {
    let listeners = [gateway.front, gateway.ready, gateway.metrics, gateway.relay];
    UsageMonitor::start(gateway.id(), &listeners)
}

fn check_usage(gateway: &mut Gateway, monitor: UsageMonitor, what: &str) {
    let peak = monitor.stop();
    println!("{what}: {peak:?}");
    assert!(gateway.is_running(), "{what}: the gateway exited");
    assert!(gateway.panics().is_empty(), "{what}");
    assert!(peak.memory_bytes <= MAX_MEMORY_BYTES, "{what}: {peak:?}");
    assert!(peak.descriptors <= MAX_DESCRIPTORS, "{what}: {peak:?}");
}

/// Plays a crowd against a listener, and checks the gateway beside it and afterwards.
async fn check_crowd(forms: &[(Form, usize)], to: fn(&Gateway) -> SocketAddr, path: &str) {
    let _alone = ALONE.lock().await;
    let site = start_site();
    let faults = BackendFaults {
        delay_ms: ENDPOINT_DELAY_MS,
        ..BackendFaults::default()
    };
    site.set_endpoint_faults(1, &faults).await;
    let mut gateway = site.start_ready_gateway().await;
    check_largest(&gateway, "before").await;
    let monitor = monitor(&gateway);
    let crowd = Crowd::start(to(&gateway), &crowd_request(path), forms);
    check_ordinary(&gateway, "while the crowd sends").await;
    wait_until("the crowd has sent", async || crowd.has_sent()).await;
    check_ordinary(&gateway, "beside the crowd").await;
    actix_rt::time::sleep(OPEN_TIME).await;
    check_ordinary(&gateway, "beside the open connections").await;
    drop(crowd);
    check_ordinary(&gateway, "after the crowd").await;
    wait_until("the largest request after the crowd", async || {
        let request = TestRequest::new(Method::POST, "/fee/receipt")
            .attempt("largest-after")
            .body(&"x".repeat(MAX_BODY_BYTES));
        request.send(gateway.front).await.status == 200
    })
    .await;
    let status = TestRequest::get("/readyz").send(gateway.ready).await;
    assert_eq!(status.status, 200, "{status:?}: {:#?}", gateway.log());
    check_usage(&mut gateway, monitor, &format!("{forms:?} to {path}"));
}

async fn check_callers(forms: &[(Form, usize)]) {
    check_crowd(forms, |gateway| gateway.front, "/fee/receipt").await;
}

fn mixed() -> Vec<(Form, usize)> {
    Form::BODIES.map(|form| (form, MIXED_CLIENTS)).to_vec()
}

#[actix_rt::test]
async fn crowd_of_sized_bodies() {
    check_callers(&[(Form::Sized, CLIENTS)]).await;
}

#[actix_rt::test]
async fn crowd_of_bodies_in_pieces() {
    check_callers(&[(Form::SizedInPieces, CLIENTS)]).await;
}

#[actix_rt::test]
async fn crowd_of_bodies_in_large_chunks() {
    check_callers(&[(Form::LargeChunks, CLIENTS)]).await;
}

#[actix_rt::test]
async fn crowd_of_bodies_in_small_chunks() {
    check_callers(&[(Form::SmallChunks, 4 * CLIENTS)]).await;
}

#[actix_rt::test]
async fn crowd_of_bodies_announced_over_the_limit() {
    check_callers(&[(Form::AnnouncedOverLimit, CLIENTS)]).await;
}

#[actix_rt::test]
async fn crowd_of_chunked_bodies_over_the_limit() {
    check_callers(&[(Form::ChunkedOverLimit, CLIENTS)]).await;
}

#[actix_rt::test]
async fn mixed_crowd_of_requests() {
    check_callers(&mixed()).await;
}

/// Turns with history are kept after they were answered.
#[actix_rt::test]
async fn mixed_crowd_of_turns() {
    check_crowd(&mixed(), |gateway| gateway.front, "/stream/turn").await;
}

#[actix_rt::test]
async fn crowd_of_heads_within_the_limit() {
    check_callers(&[(Form::Head, HEAD_CLIENTS)]).await;
}

#[actix_rt::test]
async fn crowd_of_heads_over_the_limit() {
    check_callers(&[(Form::OversizedHead, OVERSIZED_HEAD_CLIENTS)]).await;
}

#[actix_rt::test]
async fn crowd_of_idle_callers() {
    check_callers(&[(Form::Idle, IDLE_CLIENTS)]).await;
}

#[actix_rt::test]
async fn mixed_crowd_at_the_listener_of_status_requests() {
    check_crowd(&mixed(), |gateway| gateway.ready, "/readyz").await;
}

#[actix_rt::test]
async fn mixed_crowd_at_the_listener_of_metrics() {
    check_crowd(&mixed(), |gateway| gateway.metrics, "/metrics").await;
}

#[actix_rt::test]
async fn mixed_crowd_at_the_listener_of_other_gateways() {
    check_crowd(&mixed(), |gateway| gateway.relay, "/rows-tx").await;
}

#[actix_rt::test]
async fn crowd_of_idle_connections_at_the_listener_of_status_requests() {
    check_crowd(&[(Form::Idle, IDLE_CLIENTS)], |gateway| gateway.ready, "").await;
}

#[actix_rt::test]
async fn crowd_of_idle_connections_at_the_listener_of_other_gateways() {
    check_crowd(&[(Form::Idle, IDLE_CLIENTS)], |gateway| gateway.relay, "").await;
}

/// Guards against answers that are held for callers who do not read them.
#[actix_rt::test]
async fn crowd_that_does_not_read_its_answers() {
    let _alone = ALONE.lock().await;
    let site = start_site();
    site.announce_external("i-large", "desk", start_endpoint_with_large_answers());
    let mut gateway = site.start_ready_gateway().await;
    wait_until("the endpoint is listed", async || {
        let listed = gateway.events("endpoint-listed");
        listed.iter().any(|event| event["endpoint"] == "i-large")
    })
    .await;
    site.store.delete("servers", &site.endpoints[1].instance);
    wait_until("the other endpoint is withdrawn", async || {
        !gateway.events("endpoint-withdrawn").is_empty()
    })
    .await;
    let monitor = monitor(&gateway);
    let clients: Vec<_> = (0..READERS)
        .map(|number| send_without_reading(gateway.front, number))
        .collect();
    let ordinary = TestRequest::new(Method::POST, "/unkept/stream/turn")
        .attempt("ordinary")
        .body("ordinary");
    let is_answered = async || ordinary.send(gateway.front).await.status == 200;
    wait_until("an ordinary request beside the crowd", is_answered).await;
    actix_rt::time::sleep(2 * OPEN_TIME).await;
    wait_until("an ordinary request after a pause", is_answered).await;
    drop(clients);
    wait_until("an ordinary request after the crowd", is_answered).await;
    let lookup = TestRequest::lookup("whole");
    wait_until("a large answer after the crowd", async || {
        let answer = lookup.send(gateway.front).await;
        answer.status == 200 && answer.body.len() == ANSWER_BYTES
    })
    .await;
    check_usage(&mut gateway, monitor, "answers that are not read");
}

/// Guards against answers without an end that take the memory of large ones.
#[actix_rt::test]
async fn large_answers_beside_answers_without_an_end() {
    let _alone = ALONE.lock().await;
    let site = Site::without_routes();
    let mut config = routes(1);
    config["routes"][1]["service"] = json!("bulk");
    let mut bulk = config["services"][1].clone();
    bulk["name"] = json!("bulk");
    config["services"].as_array_mut().unwrap().push(bulk);
    site.store.put("op", "config", &config);
    site.store.delete("servers", &site.endpoints[1].instance);
    let endless = EndlessServer::start(Endless::Chunks, Duration::ZERO).unwrap();
    site.announce_external("i-endless", "desk", endless.address);
    site.announce_external("i-large", "bulk", start_endpoint_with_large_answers());
    let mut gateway = site.start_ready_gateway().await;
    wait_until("the endpoints are listed", async || {
        let listed = gateway.events("endpoint-listed");
        let is_listed = |name| listed.iter().any(|event| event["endpoint"] == name);
        is_listed("i-endless") && is_listed("i-large")
    })
    .await;
    let monitor = monitor(&gateway);
    let front = gateway.front;
    let is_over = Rc::new(Cell::new(false));
    let senders: Vec<_> = (0..ENDLESS_ANSWERS)
        .map(|number| actix_rt::spawn(request_until(Rc::clone(&is_over), front, number)))
        .collect();
    wait_until("answers without an end are read", async || {
        endless.answer_count() > ENDLESS_ANSWERS
    })
    .await;
    for number in 0..LARGE_ANSWERS {
        let lookup = TestRequest::lookup(&format!("large-{number}"));
        let answer = lookup.send(front).await;
        let bytes = answer.body.len();
        let received = (answer.status, answer.is_complete, bytes);
        assert_eq!(received, (200, true, ANSWER_BYTES), "{number}");
    }
    is_over.set(true);
    for sender in senders {
        sender.await.unwrap();
    }
    check_usage(&mut gateway, monitor, "answers without an end");
}

/// Sends requests whose answers have no end, one after the other.
async fn request_until(is_over: Rc<Cell<bool>>, front: SocketAddr, sender: usize) {
    for number in 0.. {
        if is_over.get() {
            return;
        }
        let request = TestRequest::new(Method::POST, "/fee/receipt")
            .attempt(&format!("endless-{sender}-{number}"))
            .header("deadline-ms", "1000")
            .body("x");
        let answer = request.send(front).await;
        assert!(answer.status != 200 || !answer.is_complete);
    }
}

/// Sends a request on a connection with a small receive buffer.
fn send_without_reading(to: SocketAddr, number: usize) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4 << 10).unwrap();
    socket.connect(&to.into()).unwrap();
    let mut stream = TcpStream::from(socket);
    let request = TestRequest::lookup(&format!("unread-{number}"));
    stream.write_all(request.raw().as_bytes()).unwrap();
    stream
}

/// Starts an endpoint whose answers have [`ANSWER_BYTES`]. Its threads end with the process.
fn start_endpoint_with_large_answers() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || answer_with_large_bodies(stream));
        }
    });
    address
}

fn answer_with_large_bodies(mut stream: TcpStream) -> std::io::Result<()> {
    let mut buffer = [0; 4_096];
    let body = "x".repeat(ANSWER_BYTES);
    loop {
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            let bytes = stream.read(&mut buffer)?;
            if bytes == 0 {
                return Ok(());
            }
            request.extend_from_slice(&buffer[..bytes]);
        }
        let head = String::from_utf8_lossy(&request).to_ascii_lowercase();
        let mut lines = head.lines();
        let attempt = lines.find_map(|line| line.strip_prefix("attempt-id: "));
        let attempt = attempt.unwrap_or("none");
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nattempt-id: {attempt}\r\nresponse-stamp: stamp\r\n\
             content-length: {ANSWER_BYTES}\r\n\r\n{body}"
        )?;
    }
}
