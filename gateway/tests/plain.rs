//! Tests requests that are not turns of programs: which of them run again after a
//! failure, and that only a complete and verified response is forwarded.

mod support;

use http::Method;
use rosebend_standin::backend::BackendFaults;
use support::{Site, TestRequest};

const DESK_ENDPOINT: usize = 1;

fn lookup(attempt: &str) -> TestRequest {
    TestRequest::get("/lookup/status?crew=7").attempt(attempt)
}

fn fee(attempt: &str) -> TestRequest {
    TestRequest::new(Method::POST, "/fee/receipt")
        .attempt(attempt)
        .body("fee 12")
}

#[actix_rt::test]
async fn a_response_is_forwarded_unchanged() {
    let (site, gateway) = Site::start_with_gateway().await;
    let answer = lookup("a1")
        .header("x-more", "kept")
        .send(gateway.front)
        .await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "answer to a1"));
    assert_eq!(answer.header("response-stamp"), Some("stamp.i-desk-1"));
    assert_eq!(answer.header("attempt-id"), Some("a1"));
    let run = site.runs(DESK_ENDPOINT).await["a1"].clone();
    assert_eq!(run.target, "GET /lookup/status?crew=7");
    assert_eq!(run.headers["x-more"], "kept");
    assert_eq!(
        run.headers["target-instance"],
        site.endpoints[DESK_ENDPOINT].instance
    );
}

#[actix_rt::test]
async fn a_refused_request_is_sent_to_another_endpoint() {
    let mut site = Site::start();
    let other = site.add_endpoint("desk");
    let gateway = site.start_ready_gateway().await;
    let faults = BackendFaults {
        refuse: 1_000,
        ..BackendFaults::default()
    };
    site.set_endpoint_faults(DESK_ENDPOINT, &faults).await;
    for number in 0..6 {
        let attempt = format!("a{number}");
        assert_eq!(fee(&attempt).send(gateway.front).await.status, 200);
        assert_eq!(site.run_count(&attempt).await, 1);
    }
    assert_eq!(site.runs(other).await.len(), 6);
}

#[actix_rt::test]
async fn a_refused_request_gets_retry_after_and_did_not_run() {
    let (site, gateway) = Site::start_with_gateway().await;
    let faults = BackendFaults {
        refuse: 1_000,
        ..BackendFaults::default()
    };
    site.set_endpoint_faults(DESK_ENDPOINT, &faults).await;
    let answer = fee("a1").send(gateway.front).await;
    assert_eq!(answer.status, 503);
    assert!(answer.retry_after_s().unwrap() > 0.0);
    assert_eq!(site.run_count("a1").await, 0);
}

#[actix_rt::test]
async fn a_lost_response_is_reported_as_unknown_and_not_retried() {
    let mut site = Site::start();
    site.add_endpoint("desk");
    let gateway = site.start_ready_gateway().await;
    let faults = BackendFaults {
        lose_answers: 1_000,
        ..BackendFaults::default()
    };
    for index in 1..3 {
        site.set_endpoint_faults(index, &faults).await;
    }
    let answer = fee("a1").send(gateway.front).await;
    assert_eq!(answer.status, 502);
    assert_eq!(answer.header("response-stamp"), None);
    assert_eq!(site.run_count("a1").await, 1);
    assert_eq!(
        gateway.events("request-ended")[0]["reason"],
        "outcome-unknown"
    );
}

#[actix_rt::test]
async fn an_idempotent_request_is_retried_after_a_lost_response() {
    let mut site = Site::start();
    let other = site.add_endpoint("desk");
    let gateway = site.start_ready_gateway().await;
    let faults = BackendFaults {
        lose_answers: 1_000,
        ..BackendFaults::default()
    };
    site.set_endpoint_faults(DESK_ENDPOINT, &faults).await;
    for number in 0..4 {
        let answer = lookup(&format!("a{number}")).send(gateway.front).await;
        assert_eq!(answer.status, 200);
    }
    assert_eq!(site.runs(other).await.len(), 4);
}

#[actix_rt::test]
async fn unverified_and_incomplete_responses_are_not_forwarded() {
    let table = [
        BackendFaults {
            other_attempt: 1_000,
            ..BackendFaults::default()
        },
        BackendFaults {
            unstamped: 1_000,
            ..BackendFaults::default()
        },
        BackendFaults {
            cut_bodies: 1_000,
            ..BackendFaults::default()
        },
    ];
    let (site, gateway) = Site::start_with_gateway().await;
    for (number, faults) in table.iter().enumerate() {
        site.set_endpoint_faults(DESK_ENDPOINT, faults).await;
        let attempt = format!("a{number}");
        let answer = fee(&attempt).send(gateway.front).await;
        assert_eq!(answer.status, 502, "{faults:?}");
        assert_eq!(site.run_count(&attempt).await, 1, "{faults:?}");
    }
}

#[actix_rt::test]
async fn internal_headers_that_a_caller_sets_are_not_forwarded() {
    let (site, gateway) = Site::start_with_gateway().await;
    let forged = [
        "hold",
        "pin-ms",
        "kv-backup",
        "kv-from",
        "kv-fetch",
        "target-instance",
    ];
    let ask = forged
        .iter()
        .fold(lookup("a1"), |ask, name| ask.header(name, "9"));
    let ask = ask.header("connection", "x-hop").header("x-hop", "1");
    assert_eq!(ask.send(gateway.front).await.status, 200);
    let headers = site.runs(DESK_ENDPOINT).await["a1"].headers.clone();
    for name in [
        "hold",
        "pin-ms",
        "kv-backup",
        "kv-from",
        "kv-fetch",
        "x-hop",
    ] {
        assert!(!headers.contains_key(name), "{name}");
    }
    assert_eq!(
        headers["target-instance"],
        site.endpoints[DESK_ENDPOINT].instance
    );
}

#[actix_rt::test]
async fn the_deadline_for_an_endpoint_is_not_later_than_the_callers() {
    let (site, gateway) = Site::start_with_gateway().await;
    let ask = lookup("a1").header("deadline-ms", "900");
    assert_eq!(ask.send(gateway.front).await.status, 200);
    let given: u64 = site.runs(DESK_ENDPOINT).await["a1"].headers["deadline-ms"]
        .parse()
        .unwrap();
    assert!(given <= 900 && given > 500, "{given}");
}

/// Guards against an attempt of a caller that runs at more endpoints than its route allows.
#[actix_rt::test]
async fn an_idempotent_request_runs_at_no_more_endpoints_than_its_route_allows() {
    let mut site = Site::start();
    let endpoints = [
        DESK_ENDPOINT,
        site.add_endpoint("desk"),
        site.add_endpoint("desk"),
    ];
    let gateway = site.start_ready_gateway().await;
    let faults = BackendFaults {
        lose_answers: 1_000,
        ..BackendFaults::default()
    };
    for endpoint in endpoints {
        site.set_endpoint_faults(endpoint, &faults).await;
    }
    for number in 0..4 {
        let attempt = format!("a{number}");
        assert_eq!(lookup(&attempt).send(gateway.front).await.status, 502);
        assert_eq!(site.run_count(&attempt).await, 2, "{attempt}");
    }
}

/// Guards against a request that is sent again late with more time than its caller has left.
#[actix_rt::test]
async fn a_request_that_is_sent_again_late_has_the_remaining_time_only() {
    let mut site = Site::with_long_timeouts();
    let endpoints = [DESK_ENDPOINT, site.add_endpoint("desk")];
    let gateway = site.start_ready_gateway().await;
    let faults = BackendFaults {
        lose_answers: 1_000,
        delay_ms: 700,
        ..BackendFaults::default()
    };
    for endpoint in endpoints {
        site.set_endpoint_faults(endpoint, &faults).await;
    }
    let ask = lookup("a1").header("deadline-ms", "5000");
    assert_eq!(ask.send(gateway.front).await.status, 502);
    let mut given = Vec::new();
    for endpoint in endpoints {
        let run = &site.runs(endpoint).await["a1"];
        given.push(run.headers["deadline-ms"].parse::<u64>().unwrap());
    }
    given.sort_unstable();
    assert!(given[1] <= 5_000, "{given:?}");
    assert!(given[0] + 700 <= given[1], "{given:?}");
}

#[actix_rt::test]
async fn invalid_requests_get_a_problem_document_and_do_not_run() {
    let (site, gateway) = Site::start_with_gateway().await;
    let long = "x".repeat(150_000);
    let table = [
        (TestRequest::get("/lookup/x"), 400),
        (TestRequest::get("/nowhere/x").attempt("a1"), 404),
        (lookup("a2").header("host", "other.example"), 404),
        (fee("a3").body(&long), 413),
    ];
    for (ask, status) in table {
        let answer = ask.send(gateway.front).await;
        assert_eq!(answer.status, status, "{ask:?}");
        assert_eq!(
            answer.header("content-type"),
            Some("application/problem+json")
        );
    }
    assert!(site.runs(DESK_ENDPOINT).await.is_empty());
    assert_eq!(lookup("a4").send(gateway.front).await.status, 200);
}

#[actix_rt::test]
async fn a_draining_endpoint_gets_no_new_requests() {
    let mut site = Site::start();
    let other = site.add_endpoint("desk");
    let gateway = site.start_ready_gateway().await;
    site.announce(DESK_ENDPOINT, "draining");
    support::wait_until("the endpoint is withdrawn", async || {
        !gateway.events("endpoint-withdrawn").is_empty()
    })
    .await;
    for number in 0..8 {
        let answer = lookup(&format!("a{number}")).send(gateway.front).await;
        assert_eq!(answer.status, 200);
    }
    assert_eq!(site.runs(other).await.len(), 8);
}

#[actix_rt::test]
async fn a_request_ends_when_its_caller_disconnects() {
    let (site, gateway) = Site::start_with_gateway().await;
    let slow = BackendFaults {
        delay_ms: 60_000,
        ..BackendFaults::default()
    };
    site.set_endpoint_faults(DESK_ENDPOINT, &slow).await;
    let ask = lookup("a1");
    let abandoned = tokio::time::timeout(
        std::time::Duration::from_millis(200),
        ask.send(gateway.front),
    );
    assert!(abandoned.await.is_err());
    support::wait_until("the disconnection of the caller is logged", async || {
        let ended = gateway.events("request-ended");
        ended.iter().any(|event| event["reason"] == "caller-left")
    })
    .await;
}
