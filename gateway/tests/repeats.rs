//! Tests that a request which crashes endpoints reaches few of them, counted from what
//! endpoints received, over all hosts and restarts.

mod support;

#[path = "repeats/site.rs"]
mod site;

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use http::Method;
use site::{CONTACT_TIME, CrashSite, EndpointPlan};
use support::{CRASHING_BODY, TestRequest};

/// Maximum number of runs later than [`CONTACT_TIME`] after the third crash.
const MAX_LATE_RUNS: usize = 3;
/// Time for which callers send the request. It exceeds [`CONTACT_TIME`].
const SENDING_TIME: Duration = Duration::from_secs(8);

const DIRECT: EndpointPlan = EndpointPlan {
    is_relayed: false,
    keeps_id: false,
    restart_delay: Duration::from_millis(600),
};
const RELAYED: EndpointPlan = EndpointPlan {
    is_relayed: true,
    ..DIRECT
};

/// Returns a call that may not be repeated and that crashes endpoints.
fn crashing_call(attempt: &str) -> TestRequest {
    let request = TestRequest::new(Method::POST, "/fee/receipt");
    request.attempt(attempt).body(CRASHING_BODY)
}

/// Returns an idempotent call that crashes endpoints.
fn crashing_lookup(attempt: &str) -> TestRequest {
    let request = TestRequest::new(Method::POST, "/lookup/x");
    request.attempt(attempt).body(CRASHING_BODY)
}

/// Checks that few runs were late, and that the request was run at all.
fn check_late_runs(site: &CrashSite, calm_ms: u64) {
    let runs = site.crashing_runs().len();
    let late = site.late_runs(calm_ms);
    println!("{runs} runs, {} of them late", late.len());
    assert!(runs >= 3, "the request ran {runs} times only");
    assert!(
        late.len() <= MAX_LATE_RUNS,
        "{} late runs: {late:#?}\n{}",
        late.len(),
        site.crash_log()
    );
}

/// Guards against a crash that is not recognized because something in front of the
/// endpoint accepts connections while the endpoint is down.
#[actix_rt::test]
async fn crashes_behind_an_open_port_stop_a_request() {
    let site = CrashSite::start("open-port", 3, RELAYED).await;
    site.send_for(SENDING_TIME, crashing_call).await;
    check_late_runs(&site, 0);
}

/// Guards against the same with a request that each attempt sends to several endpoints.
#[actix_rt::test]
async fn crashes_behind_an_open_port_stop_an_idempotent_request() {
    let site = CrashSite::start("open-port-lookup", 3, RELAYED).await;
    site.send_for(SENDING_TIME, crashing_lookup).await;
    check_late_runs(&site, 0);
}

/// Guards against a crash that is not recognized because another start of the endpoint
/// serves at its address, under its id or another one, before the address is tried.
#[actix_rt::test]
async fn crashes_of_endpoints_that_are_back_at_once_stop_a_request() {
    for keeps_id in [false, true] {
        let plan = EndpointPlan {
            keeps_id,
            restart_delay: Duration::ZERO,
            ..RELAYED
        };
        let site = CrashSite::start(&format!("back-{keeps_id}"), 3, plan).await;
        site.send_for(SENDING_TIME, crashing_call).await;
        check_late_runs(&site, 0);
    }
}

/// Guards against crashes that are only known to the hosts that observed them, because the
/// store was unavailable when they were to be written.
#[actix_rt::test]
async fn crashes_in_an_outage_of_the_store_stop_a_request_at_all_hosts() {
    let mut site = CrashSite::start("outage", 4, DIRECT).await;
    site.set_store_refuses(true).await;
    for host in 0..3 {
        site.send_to(host, crashing_call).await;
    }
    let crashes = site.crashing_runs().len();
    assert_eq!(crashes, 3, "one crash for each of three hosts");
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    site.kill(0);
    site.set_store_refuses(false).await;
    site.start_host(0).await;
    actix_rt::time::sleep(CONTACT_TIME).await;
    site.wait_until_served().await;
    for host in 0..4 {
        site.send_to(host, crashing_call).await;
    }
    let runs = site.crashing_runs().len();
    assert_eq!(runs, crashes, "{}", site.crash_log());
}

/// Guards against a request that is told apart by the address of its connection, which may be
/// that of any node of a balancer.
#[actix_rt::test]
async fn crashes_stop_a_request_whose_connections_have_other_addresses() {
    let site = CrashSite::start("addresses", 3, DIRECT).await;
    let end = Instant::now() + SENDING_TIME;
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let address = Ipv4Addr::new(127, 0, 1, number);
        site.send_from(address, usize::from(number) % 3).await;
        actix_rt::time::sleep(Duration::from_millis(60)).await;
    }
    check_late_runs(&site, 0);
}

/// Guards against further runs at each host after a host has died with the crash that only it
/// had observed.
#[actix_rt::test]
async fn a_request_runs_once_more_after_a_host_died_with_its_crash() {
    let mut site = CrashSite::start("killed", 4, DIRECT).await;
    site.set_store_refuses(true).await;
    for host in 0..3 {
        site.send_to(host, crashing_call).await;
    }
    let crashes = site.crashing_runs().len();
    assert_eq!(crashes, 3, "one crash for each of three hosts");
    site.kill(0);
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    site.set_store_refuses(false).await;
    site.start_host(0).await;
    actix_rt::time::sleep(CONTACT_TIME).await;
    site.wait_until_served().await;
    for host in 0..4 {
        site.send_to(host, crashing_call).await;
    }
    let runs = site.crashing_runs().len();
    assert!(runs <= crashes + 1, "{runs} runs\n{}", site.crash_log());
}
