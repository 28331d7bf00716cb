//! Tests that a request is refused by all hosts after it has crashed three endpoints,
//! while other requests are served.

mod support;

use std::io::Read;
use std::net::TcpListener;

use http::Method;
use rosebend_standin::backend::BackendFaults;
use serde_json::json;
use support::{Site, TestRequest, wait_until};

/// Starts an incarnation of an endpoint that crashes at the first request: it closes
/// its listener and the connection.
fn crashing_endpoint(site: &Site, instance: &str, started_ms: u64) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let entry = json!({
        "service": "desk", "address": listener.local_addr().unwrap().to_string(),
        "zone": "newport-hall", "version": "v1", "slots": 8, "state": "ready",
        "cold-left-ms": 0, "seq": 1, "born": started_ms,
    });
    site.store.put("servers", instance, &entry);
    std::thread::spawn(move || {
        let (mut connection, _) = listener.accept().unwrap();
        drop(listener);
        let mut bytes = [0; 64];
        // The request itself is not needed, and an error makes no difference.
        let _ = connection.read(&mut bytes);
    });
}

#[actix_rt::test]
async fn a_request_that_crashed_three_endpoints_is_refused_by_all_hosts() {
    let site = Site::start();
    site.store.delete("servers", &site.endpoints[1].instance);
    let gateways = site.start_two_ready_gateways().await;
    let crashing_request = |attempt: &str| {
        TestRequest::new(Method::POST, "/fee/receipt")
            .attempt(attempt)
            .body("poison")
    };
    for number in 0..3 {
        let instance = format!("i-crash-{number}");
        crashing_endpoint(&site, &instance, 1);
        let gateway = &gateways[number % 2];
        wait_until("the endpoint is listed", async || {
            let listed = gateway.events("endpoint-listed");
            listed.iter().any(|event| event["endpoint"] == instance)
        })
        .await;
        let answer = crashing_request(&format!("a{number}"))
            .send(gateway.front)
            .await;
        assert_eq!(answer.status, 502);
        site.store.delete("servers", &instance);
    }
    for gateway in &gateways {
        wait_until("the request is quarantined", async || {
            !gateway.events("request-quarantined").is_empty()
        })
        .await;
    }
    // A healthy endpoint is listed again. The request is still refused, others are
    // served.
    site.announce(1, "ready");
    for (number, gateway) in gateways.iter().enumerate() {
        wait_until("the healthy endpoint serves requests", async || {
            let other = TestRequest::new(Method::POST, "/fee/receipt")
                .attempt("b")
                .body("fee 12");
            other.send(gateway.front).await.status == 200
        })
        .await;
        let attempt = format!("c{number}");
        assert_eq!(
            crashing_request(&attempt).send(gateway.front).await.status,
            503
        );
        assert_eq!(site.run_count(&attempt).await, 0);
    }
}

#[actix_rt::test]
async fn crashes_of_three_incarnations_of_an_endpoint_count_as_three() {
    let site = Site::start();
    site.store.delete("servers", &site.endpoints[1].instance);
    let gateways = [site.start_gateway(), site.start_gateway()];
    for gateway in &gateways {
        gateway.wait_until_ready().await;
    }
    for number in 0..3 {
        crashing_endpoint(&site, "i-crash", number);
        // Followers of the table may skip an incarnation, so the test waits until each
        // host has listed it.
        for gateway in &gateways {
            wait_until("the incarnation is listed", async || {
                let listed = gateway.events("endpoint-listed").into_iter();
                let incarnations = listed.filter(|event| event["endpoint"] == "i-crash");
                incarnations.count() as u64 == number + 1
            })
            .await;
        }
        let gateway = &gateways[usize::try_from(number).unwrap() % 2];
        let ask = TestRequest::new(Method::POST, "/fee/receipt")
            .attempt(&format!("a{number}"))
            .body("poison");
        assert_eq!(ask.send(gateway.front).await.status, 502);
    }
    for gateway in &gateways {
        wait_until("the request is quarantined", async || {
            !gateway.events("request-quarantined").is_empty()
        })
        .await;
    }
}

/// Guards against checks that never end, or that take a living endpoint for crashed, while it
/// keeps losing answers.
#[actix_rt::test]
async fn an_endpoint_that_keeps_losing_answers_has_not_crashed() {
    let site = Site::start();
    let gateway = site.start_ready_gateway().await;
    let faults = BackendFaults {
        lose_answers: 1_000,
        ..BackendFaults::default()
    };
    site.set_endpoint_faults(1, &faults).await;
    wait_until("a check has ended while others begin", async || {
        let request = TestRequest::new(Method::POST, "/fee/receipt").body("fee");
        let attempt = format!("a{}", gateway.events("crash-suspected").len());
        let answer = request.attempt(&attempt).send(gateway.front).await;
        assert!([502, 503].contains(&answer.status), "{answer:?}");
        let checked = gateway.events("crash-checked");
        checked.iter().any(|event| event["reason"] == "answers")
    })
    .await;
    assert!(gateway.events("crash-counted").is_empty());
}

/// Guards against a harmless request that is refused for a minute because its trial found no
/// endpoint.
#[actix_rt::test]
async fn a_trial_that_reached_no_endpoint_is_repeated() {
    let site = Site::start();
    site.store.delete("servers", &site.endpoints[1].instance);
    let gateway = site.start_ready_gateway().await;
    let send = async |attempt: &str| {
        let request = TestRequest::new(Method::POST, "/fee/receipt");
        let request = request.attempt(attempt).body("harmless");
        request.send(gateway.front).await
    };
    for number in 0..2 {
        let instance = format!("i-crash-{number}");
        crashing_endpoint(&site, &instance, 1);
        wait_until("the endpoint is listed", async || {
            let listed = gateway.events("endpoint-listed");
            listed.iter().any(|event| event["endpoint"] == instance)
        })
        .await;
        assert_eq!(send(&format!("a{number}")).await.status, 502);
        site.store.delete("servers", &instance);
        wait_until("the crash is counted under both fingerprints", async || {
            gateway.events("crash-counted").len() == 2 * (number + 1)
        })
        .await;
    }
    wait_until("the endpoints are withdrawn", async || {
        gateway.events("endpoint-withdrawn").len() >= 2
    })
    .await;
    let answer = send("b").await;
    assert!(answer.body.contains("no-room"), "{answer:?}");
    site.announce(1, "ready");
    wait_until("the request is served", async || {
        let number = gateway.events("request-ended").len();
        send(&format!("c{number}")).await.status == 200
    })
    .await;
}
