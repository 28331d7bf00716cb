//! Tests that a host reads a bounded part of what has no end, from each process that sends it
//! something: endpoints, the store, other hosts, callers and the balancer.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use http::Method;
use rosebend_standin::endless::{ANSWERS, Endless, EndlessServer, send};
use rosebend_util::hash_parts;
use serde_json::json;
use support::{Gateway, Site, TestRequest, wait_until};

/// Number of requests at a time.
const REQUESTS: usize = 8;
/// Deadline of the requests to endpoints.
const DEADLINE: Duration = Duration::from_secs(1);
/// Time in which a request without an end has to be over, with a margin for a busy machine.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(8);
/// Maximum growth of a host's memory in KiB. The smallest hosts have 88 MiB.
const MAX_GROWTH_KB: u64 = 48 << 10;
/// Pause of a sender that is slow.
const SLOW: Duration = Duration::from_millis(100);

/// Returns the peak of a host's resident memory in KiB.
fn peak_memory_kb(gateway: &Gateway) -> u64 {
    let path = format!("/proc/{}/status", gateway.id());
    let status = std::fs::read_to_string(path).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let number = line.unwrap().trim().strip_suffix(" kB").unwrap();
    number.trim().parse().unwrap()
}

fn check_growth(gateway: &mut Gateway, before_kb: u64, what: &str) {
    assert!(gateway.is_running(), "{what}: the host exited");
    assert!(gateway.panics().is_empty(), "{what}");
    let growth_kb = peak_memory_kb(gateway).saturating_sub(before_kb);
    println!("{what}: {growth_kb} KiB more");
    assert!(growth_kb <= MAX_GROWTH_KB, "{what}: {growth_kb} KiB more");
}

/// Returns requests of a route, each as another attempt.
fn requests(route: &str, what: &str) -> Vec<TestRequest> {
    let request = |number| {
        let attempt = format!("{what}{number}").replace(" ", "-").to_lowercase();
        match route {
            "lookup" => TestRequest::lookup(&attempt),
            "fee" => TestRequest::new(Method::POST, "/fee/receipt")
                .attempt(&attempt)
                .body(&attempt),
            "unkept" => TestRequest::new(Method::POST, "/unkept/stream/turn")
                .attempt(&attempt)
                .body(&attempt),
            _ => TestRequest::turn(&attempt, &attempt, "x"),
        }
        .header("deadline-ms", &DEADLINE.as_millis().to_string())
    };
    (0..REQUESTS).map(request).collect()
}

/// Guards against answers of endpoints that are read until the host is out of memory, in their
/// heads and bodies, and against callers who wait for their end.
async fn check_endpoints(route: &str, service: &str) {
    let healthy = match service {
        "models" => 0,
        _ => 1,
    };
    for endless in ANSWERS {
        let site = Site::start();
        let mut gateway = site.start_ready_gateway().await;
        let server = EndlessServer::start(endless, Duration::ZERO).unwrap();
        site.announce_external("i-endless", service, server.address);
        wait_until("the endpoint is listed", async || {
            let listed = gateway.events("endpoint-listed");
            listed.iter().any(|event| event["endpoint"] == "i-endless")
        })
        .await;
        site.store
            .delete("servers", &site.endpoints[healthy].instance);
        wait_until("the healthy endpoint is withdrawn", async || {
            !gateway.events("endpoint-withdrawn").is_empty()
        })
        .await;
        let before_kb = peak_memory_kb(&gateway);
        let what = format!("{route} {endless:?}");
        let requests = requests(route, &what);
        let sent = requests.iter().map(|request| request.send(gateway.front));
        let answers = tokio::time::timeout(MAX_ANSWER_TIME, join_all(sent)).await;
        let answers = answers.unwrap_or_else(|_| panic!("{what}: no end after the deadline"));
        for answer in answers {
            let is_whole_success = answer.status == 200 && answer.is_complete;
            assert!(!is_whole_success, "{what}: {answer:?}");
        }
        assert!(server.answer_count() + server.open_count() > 0, "{what}");
        check_growth(&mut gateway, before_kb, &what);
        site.store.delete("servers", "i-endless");
        wait_until("the endpoint is withdrawn", async || {
            let withdrawn = gateway.events("endpoint-withdrawn");
            withdrawn
                .iter()
                .any(|event| event["endpoint"] == "i-endless")
        })
        .await;
        site.announce(healthy, "ready");
        wait_until("a healthy endpoint serves again", async || {
            let request = &requests[0];
            request.send(gateway.front).await.status == 200
        })
        .await;
        wait_until("the connections are closed", async || {
            server.open_count() == 0
        })
        .await;
        assert!(server.longest_answer() < MAX_ANSWER_TIME, "{what}");
    }
}

#[actix_rt::test]
async fn answers_of_endpoints_to_plain_requests_may_have_no_end() {
    check_endpoints("lookup", "desk").await;
    check_endpoints("fee", "desk").await;
}

#[actix_rt::test]
async fn answers_of_endpoints_to_turns_may_have_no_end() {
    check_endpoints("unkept", "models").await;
}

#[actix_rt::test]
async fn answers_of_endpoints_to_turns_with_history_may_have_no_end() {
    check_endpoints("turns", "models").await;
}

/// Guards against answers of the store that are read without an end.
#[actix_rt::test]
async fn answers_of_the_store_may_have_no_end() {
    for endless in ANSWERS {
        let server = EndlessServer::start(endless, Duration::ZERO).unwrap();
        let mut gateway = Gateway::start(server.address);
        let before_kb = peak_memory_kb(&gateway);
        wait_until("calls to the store have failed", async || {
            server.answer_count() >= 5
        })
        .await;
        let answer = TestRequest::lookup("a1").send(gateway.front).await;
        assert_eq!(answer.status, 503, "{endless:?}");
        check_growth(&mut gateway, before_kb, &format!("store {endless:?}"));
        assert!(server.longest_answer() < MAX_ANSWER_TIME, "{endless:?}");
    }
}

/// Guards against answers of other hosts that are read without an end, also slow ones. The
/// host asks its peer to batch its commits and for changes of tables.
#[actix_rt::test]
async fn answers_of_other_hosts_may_have_no_end() {
    for endless in ANSWERS {
        for pause in [Duration::ZERO, SLOW] {
            let site = Site::start();
            let mut gateway = site.start_ready_gateway().await;
            let server = EndlessServer::start(endless, pause).unwrap();
            announce_peer(&site, server.address);
            let what = format!("peer {endless:?} {pause:?}");
            let before_kb = peak_memory_kb(&gateway);
            gateway.wait_for_peers(1).await;
            let mut number = 0;
            while server.answer_count() + server.open_count() < 3 && number < 100 {
                number += 1;
                let attempt = format!("t{number}");
                let turn = TestRequest::turn(&attempt, &attempt, "x");
                let answer = turn.send(gateway.front).await;
                assert_eq!(answer.status, 200, "{what} {number}: {answer:?}");
            }
            assert!(server.answer_count() + server.open_count() > 0, "{what}");
            check_growth(&mut gateway, before_kb, &what);
            wait_until("old connections are closed", async || {
                server.open_count() < REQUESTS
            })
            .await;
        }
    }
}

/// Writes the row of a host that other hosts prefer as their batcher and upstream host.
fn announce_peer(site: &Site, relay: SocketAddr) {
    let host = "endless";
    let row = json!({
        "host": host, "holder": format!("{host}/1"), "availability_zone": "newport-hall",
        "relay": relay, "processor_milli": 64_000, "fences_escrow": true,
    });
    let key = format!("{:016x}", hash_parts(&[host.as_bytes()]));
    site.store.put("gateways", &key, &row);
}

/// Guards against heads and bodies of callers, of the balancer and of other hosts that are read
/// without an end.
#[actix_rt::test]
async fn requests_may_have_no_end() {
    let (_site, mut gateway) = Site::start_with_gateway().await;
    let before_kb = peak_memory_kb(&gateway);
    let listeners = [
        ("callers", gateway.front),
        ("balancer", gateway.ready),
        ("metrics", gateway.metrics),
        ("peers", gateway.relay),
    ];
    let head = "POST /fee/receipt HTTP/1.1\r\nhost: desk.example\r\nattempt-id: a1\r\n";
    let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n");
    let sized = format!("{head}content-length: 1000000000000\r\n\r\n");
    let relayed = chunked.replace("/fee/receipt", "/rows-tx");
    let forms = [
        ("line", "", Endless::Line),
        ("empty lines", "", Endless::EmptyLines),
        ("headers", head, Endless::Headers),
        ("chunk size", &chunked, Endless::ChunkSize),
        ("chunks", &chunked, Endless::Chunks),
        ("sized body", &sized, Endless::Unframed),
        ("chunks of a call", &relayed, Endless::Chunks),
    ];
    let mut sent = Vec::new();
    for (listener, address) in listeners {
        for (form, prefix, endless) in forms {
            for pause in [Duration::ZERO, SLOW] {
                let prefix = prefix.to_owned();
                let what = format!("{listener} {form} {pause:?}");
                let sending = std::thread::spawn(move || send(address, &prefix, endless, pause));
                sent.push((what, sending));
            }
        }
    }
    // Others are served meanwhile.
    let answer = TestRequest::lookup("a2").send(gateway.front).await;
    assert_eq!(answer.status, 200);
    for (what, sending) in sent {
        wait_until(&what, async || sending.is_finished()).await;
        let time = sending.join().unwrap().unwrap();
        println!("{what}: closed after {time:?}");
    }
    check_growth(&mut gateway, before_kb, "requests");
    assert!(gateway.is_ready().await);
}
