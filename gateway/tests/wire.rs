//! Handling of the bytes that callers send on a connection: limits, framing, pipelining
//! and timeouts.

mod support;

use std::time::Duration;

use rosebend_transport::clock::Clock;
use serde_json::json;
use support::{Gateway, Site};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const DESK: usize = 1;
/// Time without data after which a response is considered complete.
const IDLE_TIME: Duration = Duration::from_millis(400);

/// Returns routes with short timeouts.
fn routes_with_short_timeouts(version: u64) -> serde_json::Value {
    let mut routes = support::routes(version);
    routes["limits"]["header-timeout-ms"] = json!(300);
    routes["limits"]["idle-timeout-ms"] = json!(500);
    routes
}

async fn site() -> (Site, Gateway) {
    let site = Site::without_routes();
    site.store
        .put("op", "config", &routes_with_short_timeouts(1));
    let gateway = site.start_ready_gateway().await;
    (site, gateway)
}

async fn connect(gateway: &Gateway, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(gateway.front).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    stream
}

/// Reads until the connection is closed or receives no more data.
async fn read(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        match tokio::time::timeout(IDLE_TIME, stream.read(&mut buffer)).await {
            Ok(Ok(length)) if length > 0 => text.extend_from_slice(&buffer[..length]),
            _ => return String::from_utf8_lossy(&text).into_owned(),
        }
    }
}

async fn exchange(gateway: &Gateway, text: &str) -> String {
    read(&mut connect(gateway, text).await).await
}

fn get(attempt: &str, more_headers: &str) -> String {
    format!(
        "GET /lookup/x HTTP/1.1\r\nhost: desk.example\r\nattempt-id: {attempt}\r\n{more_headers}\r\n"
    )
}

fn post(attempt: &str, framing: &str, body: &str) -> String {
    format!(
        "POST /fee/x HTTP/1.1\r\nhost: desk.example\r\nattempt-id: {attempt}\r\n{framing}\r\n\r\n{body}"
    )
}

fn statuses(answer: &str) -> Vec<&str> {
    let heads = answer.match_indices("HTTP/1.1 ");
    heads
        .map(|(at, name)| &answer[at + name.len()..][..3])
        .collect()
}

#[actix_rt::test]
async fn heads_and_bodies_are_checked_for_length_and_framing() {
    let (site, gateway) = site().await;
    let long_header = format!("x-long: {}\r\n", "x".repeat(20_000));
    let chunk = format!("{:x}\r\n{}\r\n", 60_000, "x".repeat(60_000));
    let table = [
        ("a long head", get("a1", &long_header), "431"),
        (
            "a sized body",
            post("a2", "content-length: 4", "body"),
            "200",
        ),
        (
            "a chunked body",
            post("a3", "transfer-encoding: chunked", "4\r\nbody\r\n0\r\n\r\n"),
            "200",
        ),
        (
            "a body too long by its size",
            post("a4", "content-length: 200000", &"x".repeat(200_000)),
            "413",
        ),
        (
            "a body too long by its chunks",
            post(
                "a5",
                "transfer-encoding: chunked",
                &format!("{chunk}{chunk}0\r\n\r\n"),
            ),
            "413",
        ),
        (
            "a size and chunks",
            post(
                "a6",
                "content-length: 4\r\ntransfer-encoding: chunked",
                "0\r\n\r\n",
            ),
            "400",
        ),
        (
            "two sizes",
            post("a7", "content-length: 4\r\ncontent-length: 5", "body"),
            "400",
        ),
        (
            "a size that is none",
            post("a8", "content-length: four", "body"),
            "400",
        ),
        (
            "a chunk size that is none",
            post("a9", "transfer-encoding: chunked", "zz\r\nbody"),
            "400",
        ),
        ("no protocol", "lookup x\r\n\r\n".to_owned(), "400"),
    ];
    for (case, text, status) in table {
        let answer = exchange(&gateway, &text).await;
        assert_eq!(statuses(&answer), [status], "{case}: {answer}");
    }
    let runs = site.runs(DESK).await;
    let mut executed: Vec<&String> = runs.keys().collect();
    executed.sort();
    assert_eq!(executed, ["a2", "a3"]);
}

#[actix_rt::test]
async fn a_request_inside_a_body_is_not_a_request() {
    let (site, gateway) = site().await;
    let inner = post("inner", "content-length: 0", "");
    let framing = format!("content-length: {}", inner.len());
    let answer = exchange(&gateway, &post("outer", &framing, &inner)).await;
    assert_eq!(statuses(&answer), ["200"], "{answer}");
    // Bytes after the body of a refused request are not parsed as a request.
    let both = "content-length: 4\r\ntransfer-encoding: chunked";
    let answer = exchange(&gateway, &post("b1", both, &format!("0\r\n\r\n{inner}"))).await;
    assert_eq!(statuses(&answer), ["400"], "{answer}");
    assert_eq!(site.run_count("inner").await, 0);
    assert_eq!(site.run_count("outer").await, 1);
}

#[actix_rt::test]
async fn pipelined_requests_are_answered_in_order() {
    let (_site, gateway) = site().await;
    let pipelined: String = (0..4)
        .map(|number| get(&format!("a{number}"), ""))
        .collect();
    let answer = exchange(&gateway, &pipelined).await;
    assert_eq!(statuses(&answer), ["200"; 4], "{answer}");
    let positions = (0..4).map(|number| answer.find(&format!("answer to a{number}")).unwrap());
    assert!(positions.is_sorted(), "{answer}");
}

#[actix_rt::test]
async fn incomplete_heads_and_bodies_are_abandoned() {
    let (site, gateway) = site().await;
    let whole = get("a1", "");
    let answer = exchange(&gateway, &whole[..whole.len() - 10]).await;
    assert_eq!(statuses(&answer), ["408"], "{answer}");
    // A caller that closes its side of the connection within a body abandons the request.
    let mut cut = connect(&gateway, &post("a2", "content-length: 40", "body")).await;
    cut.shutdown().await.unwrap();
    let answer = read(&mut cut).await;
    assert!(!answer.contains("HTTP/1.1 200"), "{answer}");
    assert!(site.runs(DESK).await.is_empty());
}

#[actix_rt::test]
async fn an_idle_connection_is_closed_after_the_declared_timeout() {
    let (_site, gateway) = site().await;
    let mut stream = connect(&gateway, &get("a1", "")).await;
    assert_eq!(statuses(&read(&mut stream).await), ["200"]);
    let remaining = Duration::from_millis(450).saturating_sub(IDLE_TIME);
    actix_rt::time::sleep(remaining).await;
    stream.write_all(get("a2", "").as_bytes()).await.unwrap();
    let answer = read(&mut stream).await;
    assert_eq!(statuses(&answer), ["200"], "{answer}");
    // The gateway closes the connection shortly after the declared timeout.
    let clock = Clock::start();
    let closed = tokio::time::timeout(Duration::from_secs(20), stream.read(&mut [0])).await;
    assert_eq!(closed.unwrap().unwrap(), 0);
    assert!(clock.now() >= Duration::from_millis(100));
    let last = exchange(&gateway, &get("a3", "connection: close\r\n")).await;
    assert!(last.to_lowercase().contains("connection: close"), "{last}");
}
