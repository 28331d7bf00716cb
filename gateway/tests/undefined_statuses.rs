//! Answers with a status that HTTP does not define are no answers.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use futures_util::future::join_all;
use http::Method;
use support::{Gateway, Site, TestRequest, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Statuses that are not between 100 and 599, and one that switches to a protocol that was
/// not asked for.
const UNDEFINED: [&str; 5] = ["000", "099", "101", "600", "999"];

/// A server that answers each request with the same status, and counts the requests.
struct RawEndpoint {
    address: SocketAddr,
    requests: Arc<AtomicU64>,
}

impl RawEndpoint {
    async fn start(status: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&requests);
        actix_rt::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let counter = Arc::clone(&counter);
                actix_rt::spawn(async move {
                    let mut request = Vec::new();
                    while stream
                        .read_buf(&mut request)
                        .await
                        .is_ok_and(|read| read > 0)
                    {
                        let text = String::from_utf8_lossy(&request).to_ascii_lowercase();
                        if !text.contains("\r\n\r\n") {
                            continue;
                        }
                        let attempt = text
                            .lines()
                            .find_map(|line| line.strip_prefix("attempt-id: "))
                            .unwrap_or_default();
                        counter.fetch_add(u64::from(!attempt.is_empty()), Ordering::Relaxed);
                        let answer = format!(
                            "HTTP/1.1 {status} Odd\r\nattempt-id: {attempt}\r\n\
                             response-stamp: stamp\r\ncontent-length: 4\r\n\r\nbody"
                        );
                        let _ = stream.write_all(answer.as_bytes()).await;
                        request.clear();
                    }
                });
            }
        });
        Self { address, requests }
    }
}

/// Starts a site whose only endpoint of a service answers with a status.
async fn start(service: &str, status: &'static str) -> (Site, Gateway, RawEndpoint) {
    let site = Site::start();
    let gateway = site.start_ready_gateway().await;
    let endpoint = RawEndpoint::start(status).await;
    site.announce_external("i-odd", service, endpoint.address);
    let healthy = site
        .endpoints
        .iter()
        .position(|known| known.service == service);
    site.store
        .delete("servers", &site.endpoints[healthy.unwrap()].instance);
    wait_until("the healthy endpoint is withdrawn", async || {
        !gateway.events("endpoint-withdrawn").is_empty()
    })
    .await;
    (site, gateway, endpoint)
}

/// Guards against a status that is no answer, and that the caller takes for one.
#[actix_rt::test]
async fn callers_receive_no_status_that_is_not_defined() {
    let checks = UNDEFINED.map(|status| async move {
        for (service, request) in [
            ("desk", TestRequest::lookup("a1")),
            (
                "desk",
                TestRequest::new(Method::POST, "/fee/x")
                    .attempt("a2")
                    .body("x"),
            ),
            ("models", TestRequest::turn("t1", "p1", "x")),
            (
                "models",
                TestRequest::turn("t2", "p2", "x").at_path("/unkept/stream/turn"),
            ),
        ] {
            let (_site, gateway, endpoint) = start(service, status).await;
            let answer = request.send(gateway.front).await;
            let attempt = request.attempt_id();
            assert_eq!(answer.status, 502, "{status} {attempt}: {answer:?}");
            assert!(!answer.body.contains("body"), "{status} {attempt}");
            assert_eq!(answer.header("response-stamp"), None, "{status} {attempt}");
            // Only a request that may be repeated is sent again.
            let most = if attempt == "a1" { 2 } else { 1 };
            let requests = endpoint.requests.load(Ordering::Relaxed);
            assert!(
                (1..=most).contains(&requests),
                "{status} {attempt}: {requests}"
            );
        }
    });
    join_all(checks).await;
}
