//! Tests that a request which crashes endpoints reaches few of them, counted from what
//! endpoints received, over all hosts and restarts.

mod support;

#[path = "repeats/site.rs"]
mod site;

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use http::Method;
use rosebend_standin::backend::time_of_day_ms;
use site::{CONTACT_TIME, CrashSite, EndpointPlan};
use support::{CRASHING_BODY, TestRequest, wait_until};

/// Maximum number of runs later than [`CONTACT_TIME`] after the third crash.
const MAX_LATE_RUNS: usize = 3;
/// Time for which callers send the request. It exceeds [`CONTACT_TIME`].
const SENDING_TIME: Duration = Duration::from_secs(8);

/// Maximum time for which harmless callers of the same content are refused.
const MAX_HARMLESS_REFUSAL: Duration = Duration::from_secs(12);
/// Maximum time until the lines of a request are in the logs of its hosts.
const LOG_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between attempts.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(60);

const DIRECT: EndpointPlan = EndpointPlan {
    endpoints: 4,
    is_relayed: false,
    keeps_id: false,
    restart_delay: Duration::from_millis(600),
    crashes_silently: false,
    crash_delay: Duration::ZERO,
    is_unhealthy: false,
    refuses_when_back: false,
    errors_when_back: 0,
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

/// Returns an idempotent call without a body that crashes endpoints.
fn crashing_get(attempt: &str) -> TestRequest {
    TestRequest::lookup(attempt).at_path(&format!("/lookup/{CRASHING_BODY}"))
}

/// Checks that few attempts were late, that the request was run at all, and that the logs tell
/// why each attempt was sent.
async fn check_late_runs(site: &CrashSite, calm_ms: u64) {
    let runs = site.crashing_runs().len();
    let late = site.late(calm_ms);
    let late_runs = late.iter().filter(|line| line.runs).count();
    let attempts: BTreeSet<&str> = late.iter().map(|line| line.attempt.as_str()).collect();
    println!(
        "{runs} runs, {late_runs} of them late; {} late attempts",
        attempts.len()
    );
    assert!(runs >= 3, "the request ran {runs} times only");
    assert!(
        late_runs <= MAX_LATE_RUNS && attempts.len() <= MAX_LATE_RUNS,
        "{} late attempts with {late_runs} runs: {late:#?}\n{}",
        attempts.len(),
        site.crash_log()
    );
    // The last lines may not have been read yet.
    let end = Instant::now() + LOG_TIMEOUT;
    while !site.unexplained_attempts().is_empty() && Instant::now() < end {
        actix_rt::time::sleep(ATTEMPT_INTERVAL).await;
    }
    let unexplained = site.unexplained_attempts();
    let logs = unexplained
        .iter()
        .map(|received| site.request_log(&received.attempt));
    let logs: Vec<String> = logs.collect();
    assert!(unexplained.is_empty(), "{unexplained:#?}\n{logs:#?}");
}

/// Guards against a crash that is not recognized because something in front of the
/// endpoint accepts connections while the endpoint is down.
#[actix_rt::test]
async fn crashes_behind_an_open_port_stop_a_request() {
    let site = CrashSite::start("open-port", 3, RELAYED).await;
    site.send_for(SENDING_TIME, crashing_call).await;
    check_late_runs(&site, 0).await;
}

/// Guards against the same with a request that each attempt sends to several endpoints.
#[actix_rt::test]
async fn crashes_behind_an_open_port_stop_an_idempotent_request() {
    let site = CrashSite::start("open-port-lookup", 3, RELAYED).await;
    site.send_for(SENDING_TIME, crashing_lookup).await;
    check_late_runs(&site, 0).await;
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
        check_late_runs(&site, 0).await;
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

/// Sends a request to the hosts in turn from another address each time, as if through several
/// nodes of a balancer.
async fn send_from_addresses(site: &CrashSite, request: impl Fn(&str) -> TestRequest) {
    let end = Instant::now() + SENDING_TIME;
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let address = Ipv4Addr::new(127, 0, 1, number);
        let host = usize::from(number) % site.gateways.len();
        let attempt = format!("a{}-{address}", time_of_day_ms());
        site.send_from(address, host, &request(&attempt)).await;
        actix_rt::time::sleep(ATTEMPT_INTERVAL).await;
    }
}

/// Guards against a request that is told apart by the address of its connection, which may be
/// that of any node of a balancer.
#[actix_rt::test]
async fn crashes_stop_a_request_whose_connections_have_other_addresses() {
    let site = CrashSite::start("addresses", 3, DIRECT).await;
    send_from_addresses(&site, crashing_call).await;
    check_late_runs(&site, 0).await;
}

/// Guards against the same with a request without a body.
#[actix_rt::test]
async fn crashes_stop_a_lookup_whose_connections_have_other_addresses() {
    let site = CrashSite::start("lookup-addresses", 3, DIRECT).await;
    send_from_addresses(&site, crashing_get).await;
    check_late_runs(&site, 0).await;
}

/// Guards against the same while hosts are killed and replaced.
#[actix_rt::test]
async fn crashes_stop_a_lookup_from_several_addresses_over_restarts_of_hosts() {
    let mut site = CrashSite::start("lookup-restarts", 3, DIRECT).await;
    for number in 1..=6 {
        let host = usize::from(number) % 3;
        let address = Ipv4Addr::new(127, 0, 1, number);
        let attempt = format!("a{}-{address}", time_of_day_ms());
        site.send_from(address, host, &crashing_get(&attempt)).await;
        actix_rt::time::sleep(ATTEMPT_INTERVAL).await;
        site.kill(host);
        site.start_host(host).await;
    }
    let calm_ms = time_of_day_ms();
    send_from_addresses(&site, crashing_get).await;
    check_late_runs(&site, calm_ms).await;
}

/// Guards against crashes that no longer count because another caller's request of the same
/// content was answered. The requests differ only in their headers.
#[actix_rt::test]
async fn answers_to_other_callers_do_not_clear_a_request_that_crashes_endpoints() {
    let kinds = [
        ("/lookup/shared", Method::GET, ""),
        ("/fee/receipt", Method::POST, "yes"),
    ];
    for (path, method, body) in kinds {
        let request = |attempt: &str, program: &str| {
            let request = TestRequest::new(method.clone(), path).attempt(attempt);
            let request = request.header("program-id", program).body(body);
            request.header("session-id", "s1")
        };
        let site = CrashSite::start(&format!("others-{method}"), 3, DIRECT).await;
        let end = Instant::now() + SENDING_TIME;
        let mut number = 0;
        while Instant::now() < end {
            number += 1;
            let program = match number % 5 {
                0 => CRASHING_BODY.to_owned(),
                _ => format!("p{number}"),
            };
            site.send_to(number % 3, |attempt| request(attempt, &program))
                .await;
            actix_rt::time::sleep(ATTEMPT_INTERVAL).await;
        }
        check_late_runs(&site, 0).await;
    }
}

/// Guards against trials that are repeated at once because endpoints refuse them: each one
/// reaches endpoints.
#[actix_rt::test]
async fn a_trial_that_endpoints_refuse_is_not_repeated_at_once() {
    let plan = EndpointPlan {
        endpoints: 2,
        refuses_when_back: true,
        ..DIRECT
    };
    let site = CrashSite::start("refusing", 3, plan).await;
    site.send_for(SENDING_TIME, crashing_get).await;
    let crashed_ms = site.crashing_runs()[1].at_ms;
    let contact_ms = u64::try_from(CONTACT_TIME.as_millis()).unwrap();
    let received = site.received();
    let late = received
        .iter()
        .filter(|line| line.at_ms > crashed_ms + contact_ms);
    let late: BTreeSet<&str> = late.map(|line| line.attempt.as_str()).collect();
    println!("{} late attempts", late.len());
    assert!(
        late.len() <= MAX_LATE_RUNS,
        "{late:?}\n{}",
        site.crash_log()
    );
}

/// Guards against harmless callers that are refused because of a request that crashes endpoints.
/// Those with another path are never refused for it, and those with the same content only until
/// one of them had the first trial that the other may not have.
#[actix_rt::test]
async fn harmless_callers_of_the_same_content_are_served_after_a_short_time() {
    let request = |path: &str, attempt: &str, program: &str| {
        let request = TestRequest::lookup(attempt).at_path(path);
        let request = request.header("program-id", program);
        request.header("session-id", "s1")
    };
    let site = CrashSite::start("cost", 3, DIRECT).await;
    let begin = Instant::now();
    // The crashing request takes the first trial.
    wait_until("the request has crashed three endpoints", async || {
        site.send_to(0, |attempt| request("/lookup/same", attempt, CRASHING_BODY))
            .await;
        site.crashing_runs().len() >= 3
    })
    .await;
    let (mut refused, mut served) = (Vec::new(), 0);
    for number in 0.. {
        let elapsed = begin.elapsed();
        if elapsed > 2 * MAX_HARMLESS_REFUSAL {
            break;
        }
        let host = number % 3;
        site.send_to(host, |attempt| {
            request("/lookup/same", attempt, CRASHING_BODY)
        })
        .await;
        let program = format!("p{number}");
        for path in ["/lookup/same", "/lookup/other"] {
            let attempt = format!("h{number}-{path}").replace('/', "-");
            let answer = site.answer(host, &request(path, &attempt, &program)).await;
            let is_refused = answer.body.contains("crashes-endpoints");
            assert!(!is_refused || path == "/lookup/same", "{answer:?}");
            match is_refused {
                true => refused.push(elapsed),
                false => served += u32::from(answer.status == 200),
            }
        }
        actix_rt::time::sleep(ATTEMPT_INTERVAL).await;
    }
    let last = refused.last().copied().unwrap_or_default();
    println!(
        "{} harmless requests refused, the last after {last:?}; {served} served",
        refused.len()
    );
    assert!(last < MAX_HARMLESS_REFUSAL, "refused after {last:?}");
    check_late_runs(&site, 0).await;
}

/// Guards against crashes that no longer count because a faulty endpoint answered the request with
/// an error, which it does not run for.
#[actix_rt::test]
async fn answers_of_faulty_endpoints_do_not_clear_a_request_that_crashes_endpoints() {
    let plan = EndpointPlan {
        endpoints: 2,
        errors_when_back: 1,
        ..DIRECT
    };
    let site = CrashSite::start("errors", 3, plan).await;
    site.send_for(SENDING_TIME, crashing_get).await;
    let runs = site.crashing_runs().len();
    println!("{runs} runs");
    assert!(runs <= 3, "{runs} runs\n{}", site.crash_log());
}

/// Guards against crashes that do not count because the endpoint's machine no longer responds.
#[actix_rt::test]
async fn crashes_of_endpoints_that_fall_silent_stop_a_request() {
    let plan = EndpointPlan {
        crashes_silently: true,
        ..DIRECT
    };
    let site = CrashSite::start("silent", 3, plan).await;
    let request = |attempt: &str| crashing_get(attempt).header("deadline-ms", "400");
    site.send_for(SENDING_TIME, request).await;
    check_late_runs(&site, 0).await;
}

/// Guards against crashes that do not count because the caller has left before.
#[actix_rt::test]
async fn crashes_after_the_caller_has_left_stop_a_request() {
    let plan = EndpointPlan {
        crash_delay: Duration::from_millis(150),
        restart_delay: Duration::from_millis(200),
        ..RELAYED
    };
    let site = CrashSite::start("left", 3, plan).await;
    let end = Instant::now() + SENDING_TIME;
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let attempt = format!("a{}-{number}", time_of_day_ms());
        let leaving = Duration::from_millis(50);
        site.send_and_leave(number % 3, &crashing_get(&attempt), leaving)
            .await;
        // Long enough for the endpoint to be back, so that no attempt meets a closed port.
        actix_rt::time::sleep(Duration::from_millis(500)).await;
    }
    check_late_runs(&site, 0).await;
}

/// Guards against crashes that do not count because the endpoint is back at once under another
/// id, and its health check does not tell it.
#[actix_rt::test]
async fn crashes_of_endpoints_with_nameless_health_checks_stop_a_request() {
    let plan = EndpointPlan {
        is_unhealthy: true,
        restart_delay: Duration::ZERO,
        ..RELAYED
    };
    let site = CrashSite::start("nameless", 3, plan).await;
    site.send_for(SENDING_TIME, crashing_get).await;
    check_late_runs(&site, 0).await;
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
