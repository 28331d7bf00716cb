//! Rows that another writer left in the tables that gateways follow stop no process, and no
//! process stops following the others.

mod support;

use std::time::Duration;

use rosebend_coordination::gateway::history::partitions;
use rosebend_state::deployment::{RowId, RowWrite, Transaction};
use rosebend_transport::clock::Clock;
use rosebend_transport::store::StoreClient;
use support::{Gateway, Site, TestRequest, wait_until};

/// Timeout for an answer of the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);
/// Levels of a nested value. A parser that recurses without a limit overflows its stack.
const LEVELS: usize = 24_000;
/// Size of a value that fills a row.
const ROW_BYTES: usize = 48_000;

/// Returns the entry of an endpoint of a service with one field replaced by the given JSON.
fn entry_with(service: &str, field: &str, json: &str) -> String {
    let service = format!("\"{service}\"");
    let mut fields = vec![
        ("service", service.as_str()),
        ("address", "\"127.0.0.1:9\""),
        ("zone", "\"newport-hall\""),
        ("version", "\"v1\""),
        ("slots", "8"),
        ("state", "\"ready\""),
        ("cold-left-ms", "0"),
        ("seq", "1"),
    ];
    fields.retain(|(name, _)| *name != field);
    fields.push((field, json));
    let fields = fields
        .iter()
        .map(|(name, value)| format!("\"{name}\":{value}"));
    format!("{{{}}}", fields.collect::<Vec<_>>().join(","))
}

fn odd_values() -> Vec<Vec<u8>> {
    let arrays = format!("{}{}", "[".repeat(LEVELS), "]".repeat(LEVELS));
    let objects = format!(
        "{}1{}",
        "{\"a\":".repeat(LEVELS / 3),
        "}".repeat(LEVELS / 3)
    );
    let open = "[".repeat(ROW_BYTES);
    let mut values = vec![
        arrays.clone().into_bytes(),
        objects.clone().into_bytes(),
        open.clone().into_bytes(),
        b"".to_vec(),
        b"null".to_vec(),
        b"0".to_vec(),
        b"1e400".to_vec(),
        vec![0xff; 64],
        vec![b'x'; ROW_BYTES],
    ];
    let texts = [
        "\"127.0.0.1:0\"",
        "\"127.0.0.1:65536\"",
        "\"127.0.0.1:70000\"",
        "\"127.0.0.1:-1\"",
        "\"127.0.0.1:99999999999999999999\"",
        "\"256.0.0.1:9\"",
        "\"0.0.0.0:9\"",
        "\"224.0.0.1:9\"",
        "\"\"",
        "7",
    ];
    let numbers = [
        "1e400",
        "-1e400",
        "-1",
        "1.5",
        "18446744073709551616",
        "99999999999999999999999999999999999999",
        "\"8\"",
        "null",
        arrays.as_str(),
        objects.as_str(),
    ];
    for text in texts {
        values.push(entry_with("desk", "address", text).into_bytes());
    }
    // An entry whose other fields are odd may name an endpoint, of a service that is not called.
    for field in ["slots", "cold-left-ms", "seq", "born", "more"] {
        for number in numbers {
            values.push(entry_with("other", field, number).into_bytes());
        }
    }
    for field in ["service", "zone", "state", "stage", "models"] {
        values.push(entry_with("other", field, &arrays).into_bytes());
        let text = format!("\"{}\"", "x".repeat(20_000));
        values.push(entry_with("other", field, &text).into_bytes());
    }
    values
}

/// Writes odd values to all tables that gateways read, but the newest routes.
async fn write_odd_rows(site: &Site) {
    let store = StoreClient::new(site.store_listener.address(), STORE_TIMEOUT, Clock::start());
    let partition = partitions().next().unwrap();
    let tables = [
        ("servers", ""),
        ("op", ""),
        ("gateways", ""),
        ("gateways", "0"),
        ("crashes", ""),
        ("programs", partition.as_str()),
        ("turns", partition.as_str()),
    ];
    for (number, value) in odd_values().into_iter().enumerate() {
        for (table, part) in tables {
            let key = match table {
                "gateways" => format!("0{number:015x}"),
                "programs" => format!("odd-{number}/"),
                _ => format!("odd-{number}"),
            };
            let write = RowWrite {
                row: RowId::new(table, part, key),
                value: value.clone(),
            };
            let transaction = Transaction {
                writes: vec![write],
                ..Transaction::default()
            };
            store.transact(&transaction).await.unwrap();
        }
    }
}

/// Asserts that a gateway serves callers and still follows the tables.
async fn check(site: &mut Site, gateway: &mut Gateway, what: &str) {
    for attempt in ["a1", "a2", "a3"] {
        let attempt = format!("{attempt}-{what}");
        let answer = TestRequest::lookup(&attempt).send(gateway.front).await;
        assert_eq!(answer.status, 200, "{what}: {answer:?}");
    }
    let turn = TestRequest::turn(&format!("t-{what}"), &format!("p-{what}"), "x");
    assert_eq!(turn.send(gateway.front).await.status, 200, "{what}");
    let index = site.add_endpoint("desk");
    let instance = site.endpoints[index].instance.clone();
    wait_until("a new endpoint is listed", async || {
        let listed = gateway.events("endpoint-listed");
        let count = listed
            .iter()
            .map(|event| event["count"].as_u64().unwrap_or(0));
        listed
            .iter()
            .any(|event| event["endpoint"] == instance.as_str())
            || count.sum::<u64>() > 1
    })
    .await;
    assert!(gateway.is_running(), "{what}");
    assert_eq!(gateway.panics(), Vec::<String>::new(), "{what}");
}

#[actix_rt::test]
async fn odd_rows_stop_no_gateway() {
    let mut site = Site::start();
    let mut running = site.start_ready_gateway().await;
    write_odd_rows(&site).await;
    check(&mut site, &mut running, "running").await;
    site.declare_routes(9);
    wait_until("new routes are in force", async || {
        let events = running.events("routes-in-force");
        events.iter().any(|event| event["version"] == 9)
    })
    .await;
    // A host that starts reads all of them at once, from the store or from the other host.
    let mut started = site.start_ready_gateway().await;
    check(&mut site, &mut started, "started").await;
    // Entries that name no endpoint are never called.
    let refused = running.events("entry-refused");
    assert!(!refused.is_empty());
}
