//! Tests entries of the endpoint table that describe no usable endpoint, such as other
//! writers than endpoints may leave there.

mod support;

use std::net::UdpSocket;

use serde_json::{Value, json};
use support::{Gateway, Site, TestRequest, wait_until};

const DESK_ENDPOINT: usize = 1;

/// Writes one entry of each kind that describes no usable endpoint, and returns their
/// ids.
fn write_invalid_entries(site: &Site) -> Vec<String> {
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

/// Returns the endpoints that the logged events with a name refer to, sorted.
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

/// Sends several requests, each of which must be served.
async fn assert_served(gateway: &Gateway, name: &str) {
    for number in 0..12 {
        let ask = TestRequest::get("/lookup/x").attempt(&format!("{name}{number}"));
        assert_eq!(ask.send(gateway.front).await.status, 200, "{name}{number}");
    }
}

#[actix_rt::test]
async fn invalid_entries_do_not_affect_other_endpoints() {
    let mut site = Site::start();
    let early = site.start_gateway();
    early.wait_until_ready().await;
    let mut ids = write_invalid_entries(&site);
    ids.sort();
    // The later host reads all entries at once, the earlier one reads each change.
    let late = site.start_gateway();
    late.wait_until_ready().await;
    let added = site.add_endpoint("desk");
    let instance = site.endpoints[added].instance.clone();
    for gateway in [&early, &late] {
        until_listed(gateway, &instance).await;
        wait_until("all invalid entries are refused", async || {
            endpoints(gateway, "entry-refused") == ids
        })
        .await;
        assert_served(gateway, "a").await;
    }
    // Each refusal is logged once, also when the entry is written again, and its end is
    // logged when the entry is deleted.
    write_invalid_entries(&site);
    site.store.forget_history();
    let added = site.add_endpoint("desk");
    for gateway in [&early, &late] {
        until_listed(gateway, &site.endpoints[added].instance).await;
        assert_eq!(endpoints(gateway, "entry-refused"), ids);
    }
    for id in &ids {
        site.store.delete("servers", id);
    }
    for gateway in [&early, &late] {
        wait_until("all refusals have ended", async || {
            endpoints(gateway, "entry-refusal-ended") == ids
        })
        .await;
        assert_served(gateway, "b").await;
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
async fn an_endpoint_with_an_invalid_entry_gets_no_requests_until_it_is_valid() {
    let mut site = Site::start();
    let other = site.add_endpoint("desk");
    let gateway = site.start_gateway();
    gateway.wait_until_ready().await;
    let instance = site.endpoints[DESK_ENDPOINT].instance.clone();
    site.store.put_bytes("servers", &instance, b"{");
    wait_until("the entry is refused", async || {
        endpoints(&gateway, "entry-refused") == [instance.clone()]
    })
    .await;
    assert_served(&gateway, "a").await;
    assert_eq!(site.runs(other).await.len(), 12);
    site.announce(DESK_ENDPOINT, "ready");
    wait_until("the entry is valid again", async || {
        endpoints(&gateway, "entry-refusal-ended") == [instance.clone()]
    })
    .await;
    site.store
        .delete("servers", &site.endpoints[other].instance);
    wait_until("the other endpoint is withdrawn", async || {
        !gateway.events("endpoint-withdrawn").is_empty()
    })
    .await;
    assert_served(&gateway, "b").await;
    assert_eq!(site.runs(DESK_ENDPOINT).await.len(), 12);
}

#[actix_rt::test]
async fn malformed_datagrams_do_not_affect_requests() {
    let site = Site::start();
    let gateway = site.start_gateway();
    gateway.wait_until_ready().await;
    let listening = gateway.events("listening");
    let peers = listening.iter().find(|event| event["reason"] == "peers");
    let address = peers.unwrap()["address"].as_str().unwrap().to_owned();
    let instance = &site.endpoints[DESK_ENDPOINT].instance;
    let max = u32::MAX;
    let datagrams = [
        b"\xff\xfe".to_vec(),
        vec![b'['; 2_000],
        json!({"loads": [[instance, max, max, max, u64::MAX]], "failed": ["nobody"]})
            .to_string()
            .into_bytes(),
        json!({"loads": [[instance, max, max, 0, 0]], "failed": [instance]})
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
    assert_served(&gateway, "a").await;
    assert_eq!(site.runs(DESK_ENDPOINT).await.len(), 12);
}
