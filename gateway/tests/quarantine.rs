//! A request that crashes endpoints is refused everywhere after three of them;
//! its neighbours are not.

mod support;

use std::io::Read;
use std::net::TcpListener;

use http::Method;
use serde_json::json;
use support::{Site, TestRequest, wait_until};

/// A start of an endpoint that ends with the first request that it is sent.
fn crashing_endpoint(site: &Site, instance: &str, born_ms: u64) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let entry = json!({
        "service": "desk", "address": listener.local_addr().unwrap().to_string(),
        "zone": "newport-hall", "version": "v1", "slots": 8, "state": "ready",
        "cold-left-ms": 0, "seq": 1, "born": born_ms,
    });
    site.store.put("servers", instance, &entry);
    std::thread::spawn(move || {
        let (mut connection, _) = listener.accept().unwrap();
        drop(listener);
        let mut bytes = [0; 64];
        // What is read does not matter.
        let _ = connection.read(&mut bytes);
    });
}

#[actix_rt::test]
async fn a_request_that_crashed_three_endpoints_is_refused_by_all_hosts() {
    let site = Site::start();
    site.store.delete("servers", &site.endpoints[1].instance);
    let gateways = site.start_two_ready_gateways().await;
    let poison = |attempt: &str| {
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
        let answer = poison(&format!("a{number}")).send(gateway.front).await;
        assert_eq!(answer.status, 502);
        site.store.delete("servers", &instance);
    }
    for gateway in &gateways {
        wait_until("the request is in quarantine", async || {
            !gateway.events("request-quarantined").is_empty()
        })
        .await;
    }
    // A sound endpoint is there again: the request stays refused, others not.
    site.announce(1, "ready");
    for (number, gateway) in gateways.iter().enumerate() {
        wait_until("the sound endpoint serves", async || {
            let other = TestRequest::new(Method::POST, "/fee/receipt")
                .attempt("b")
                .body("fee 12");
            other.send(gateway.front).await.status == 200
        })
        .await;
        let attempt = format!("c{number}");
        assert_eq!(poison(&attempt).send(gateway.front).await.status, 503);
        assert_eq!(site.run_count(&attempt).await, 0);
    }
}

#[actix_rt::test]
async fn crashes_of_three_starts_under_one_id_are_three_crashes() {
    let site = Site::start();
    site.store.delete("servers", &site.endpoints[1].instance);
    let gateways = [site.start_gateway(), site.start_gateway()];
    for gateway in &gateways {
        gateway.wait_until_ready().await;
    }
    for number in 0..3 {
        crashing_endpoint(&site, "i-crash", number);
        // Each host sees each start, which feeds do not promise by themselves.
        for gateway in &gateways {
            wait_until("the start is listed", async || {
                let listed = gateway.events("endpoint-listed").into_iter();
                let starts = listed.filter(|event| event["endpoint"] == "i-crash");
                starts.count() as u64 == number + 1
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
        wait_until("the request is in quarantine", async || {
            !gateway.events("request-quarantined").is_empty()
        })
        .await;
    }
}
