//! Entries of the table of endpoints that other writers left there, beside
//! those of endpoints.

mod support;

use std::net::UdpSocket;

use serde_json::{Value, json};
use support::{Gateway, Site, TestRequest, wait_until};

const DESK: usize = 1;

/// Writes one entry of each kind that names no endpoint; their ids.
fn foreign_entries(site: &Site) -> Vec<String> {
    let entry = json!({
        "service": "desk", "address": "127.0.0.1:9", "zone": "newport-hall", "version": "v1",
        "slots": 8, "state": "ready", "cold-left-ms": 0, "seq": 1,
    });
    let with = |field: &str, value: Value| {
        let mut entry = entry.clone();
        entry[field] = value;
        entry
    };
    let entries = [
        ("a-time", with("cold-left-ms", json!(1e300))),
        ("b-port", with("address", json!("127.0.0.1:0"))),
        ("c-slots", with("slots", json!(0))),
        ("d-state", with("state", json!("asleep"))),
        ("e-service", with("service", json!("laundry"))),
        ("f-type", json!(["desk", "127.0.0.1:9"])),
        ("g-size", with("more", json!("x".repeat(1 << 20)))),
    ];
    for (id, entry) in &entries {
        site.store.put("servers", id, entry);
    }
    site.store.put_bytes("servers", "h-bytes", b"\xff\xfe\x00{");
    site.store.put_text("servers", "z-base64", "no base64!");
    let ids = entries.iter().map(|(id, _)| (*id).to_owned());
    ids.chain(["h-bytes".to_owned(), "z-base64".to_owned()])
        .collect()
}

/// Endpoints that the events of a name speak of, sorted.
fn endpoints(gateway: &Gateway, name: &str) -> Vec<String> {
    let events = gateway.events(name).into_iter();
    let endpoints = events.map(|event| event["endpoint"].as_str().unwrap_or_default().to_owned());
    let mut endpoints: Vec<String> = endpoints.collect();
    endpoints.sort();
    endpoints
}

async fn until_listed(gateway: &Gateway, instance: &str) {
    wait_until("the endpoint is listed", async || {
        endpoints(gateway, "endpoint-listed").contains(&instance.to_owned())
    })
    .await;
}

/// Asks some times, each of which must be served.
async fn serves(gateway: &Gateway, name: &str) {
    for number in 0..12 {
        let ask = TestRequest::get("/lookup/x").attempt(&format!("{name}{number}"));
        assert_eq!(ask.send(gateway.front).await.status, 200, "{name}{number}");
    }
}

#[actix_rt::test]
async fn entries_that_name_no_endpoint_leave_the_others_as_they_are() {
    let mut site = Site::start();
    let early = site.start_gateway();
    early.wait_until_ready().await;
    let mut ids = foreign_entries(&site);
    ids.sort();
    // One host reads them all at once, the other as they come.
    let late = site.start_gateway();
    late.wait_until_ready().await;
    let more = site.add_endpoint("desk");
    let instance = site.endpoints[more].instance.clone();
    for gateway in [&early, &late] {
        until_listed(gateway, &instance).await;
        wait_until("all are refused", async || {
            endpoints(gateway, "entry-refused") == ids
        })
        .await;
        serves(gateway, "a").await;
    }
    // Each is told once, also when it is written again, and when it is gone.
    foreign_entries(&site);
    site.store.forget_history();
    let more = site.add_endpoint("desk");
    for gateway in [&early, &late] {
        until_listed(gateway, &site.endpoints[more].instance).await;
        assert_eq!(endpoints(gateway, "entry-refused"), ids);
    }
    for id in &ids {
        site.store.delete("servers", id);
    }
    for gateway in [&early, &late] {
        wait_until("all are gone", async || {
            endpoints(gateway, "entry-refusal-ended") == ids
        })
        .await;
        serves(gateway, "b").await;
        let page = TestRequest::get("/metrics")
            .send(gateway.metrics)
            .await
            .body;
        assert!(
            page.contains("refused_entries_total{reason=\"range\"} 4"),
            "{page}"
        );
        assert!(
            page.contains("refused_entries_total{reason=\"service\"} 1"),
            "{page}"
        );
        assert!(page.contains("rosebend_gateway_endpoints 4"), "{page}");
    }
}

#[actix_rt::test]
async fn an_endpoint_whose_entry_turns_bad_gets_nothing_until_it_is_good_again() {
    let mut site = Site::start();
    let other = site.add_endpoint("desk");
    let gateway = site.start_gateway();
    gateway.wait_until_ready().await;
    let instance = site.endpoints[DESK].instance.clone();
    site.store.put_bytes("servers", &instance, b"{");
    wait_until("the entry is refused", async || {
        endpoints(&gateway, "entry-refused") == [instance.clone()]
    })
    .await;
    serves(&gateway, "a").await;
    assert_eq!(site.runs(other).await.len(), 12);
    site.announce(DESK, "ready");
    wait_until("the entry is good again", async || {
        endpoints(&gateway, "entry-refusal-ended") == [instance.clone()]
    })
    .await;
    site.store
        .delete("servers", &site.endpoints[other].instance);
    wait_until("the other is gone", async || {
        !gateway.events("endpoint-withdrawn").is_empty()
    })
    .await;
    serves(&gateway, "b").await;
    assert_eq!(site.runs(DESK).await.len(), 12);
}

#[actix_rt::test]
async fn datagrams_of_any_content_stop_nothing() {
    let site = Site::start();
    let gateway = site.start_gateway();
    gateway.wait_until_ready().await;
    let listening = gateway.events("listening");
    let peers = listening.iter().find(|event| event["reason"] == "peers");
    let address = peers.unwrap()["address"].as_str().unwrap().to_owned();
    let instance = &site.endpoints[DESK].instance;
    let most = u32::MAX;
    let datagrams = [
        b"\xff\xfe".to_vec(),
        vec![b'['; 2_000],
        json!({"loads": [[instance, most, most, most, u64::MAX]], "failed": ["nobody"]})
            .to_string()
            .into_bytes(),
        json!({"loads": [[instance, most, most, 0, 0]], "failed": [instance]})
            .to_string()
            .into_bytes(),
        json!({"loads": [[instance, -1, 1e99, "8", 0]], "failed": [7]})
            .to_string()
            .into_bytes(),
    ];
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    for datagram in &datagrams {
        socket.send_to(datagram, &address).unwrap();
    }
    serves(&gateway, "a").await;
    assert_eq!(site.runs(DESK).await.len(), 12);
}
