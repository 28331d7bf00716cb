//! Rows that another writer left in the table of entries and sidecars stop no process, and no
//! process stops following the others.

use std::time::Duration;

use rosebend_protocol::table::rows_under;
use rosebend_state::deployment::{RowId, RowWrite, Transaction};
use rosebend_system_tests::settings::token;
use rosebend_system_tests::{Call, Caller, Cluster, ClusterConfig, Signal, wait_until};
use rosebend_transport::clock::Clock;
use rosebend_transport::store::StoreClient;
use serde_json::json;

/// Timeout for an answer of the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);
/// Levels of a nested value. A parser that recurses without a limit overflows its stack.
const LEVELS: usize = 24_000;

fn odd_values() -> Vec<Vec<u8>> {
    let arrays = format!("{}{}", "[".repeat(LEVELS), "]".repeat(LEVELS));
    let objects = format!(
        "{}1{}",
        "{\"a\":".repeat(LEVELS / 3),
        "}".repeat(LEVELS / 3)
    );
    let texts = [
        "",
        "null",
        "0",
        "1e400",
        "-1",
        "18446744073709551616",
        "{\"incarnation\":\"x\",\"renewal\":1,\"peer_address\":\"127.0.0.1:70000\",\
          \"http_address\":\"127.0.0.1:-1\",\"availability_zone\":\"newport-hall\",\
          \"leaving\":false,\"config_revision\":0}",
        "{\"incarnation\":\"x\",\"renewal\":1e400,\"peer_address\":\"256.0.0.1:9\"}",
        "{\"owner\":\"odd\",\"epoch\":99999999999999999999999999999999}",
        &arrays,
        &objects,
    ];
    let mut values: Vec<Vec<u8>> = texts.iter().map(|text| text.as_bytes().to_vec()).collect();
    values.push(vec![0xff; 64]);
    values.push(vec![b'x'; 48_000]);
    values
}

/// Writes odd values under each prefix of the table.
async fn write_odd_rows(cluster: &Cluster) {
    let address = cluster.platform_address;
    let store = StoreClient::new(address, STORE_TIMEOUT, Clock::start());
    let prefixes = [
        "host/",
        "change/",
        "resource/customer/",
        "resource/endpoint/",
        "resource/model/",
        "resource/policy/",
        "resource/tool/",
        "quarantine/",
        "shard/",
        "program/",
    ];
    for prefix in prefixes {
        let range = rows_under(prefix);
        for (number, value) in odd_values().into_iter().enumerate() {
            let key = format!("{prefix}odd-{number}");
            let write = RowWrite {
                row: RowId::new(&range.table, &range.partition, key),
                value,
            };
            let transaction = Transaction {
                writes: vec![write],
                ..Transaction::default()
            };
            store.transact(&transaction).await.unwrap();
        }
    }
}

/// Declares a tool, and waits until it is in force at all processes.
async fn wait_until_in_force(cluster: &Cluster, tool: &str) {
    cluster
        .apply("tool", tool, json!({ "repeatable": true }))
        .await
        .unwrap();
    let operator = Caller::new(token::OPERATOR);
    wait_until("the tool to be in force", || async {
        let reply = operator
            .get(cluster.entry(0), "/api/v1/status")
            .await
            .ok()?;
        let status = reply.json();
        let is_current = status.get("revision")? == status.get("accepted_revision")?;
        let is_everywhere = status.get("lagging")?.as_array()?.is_empty();
        (is_current && is_everywhere).then_some(())
    })
    .await
    .unwrap();
}

/// Guards against entries and sidecars that end, or that stop serving, because of a row that
/// none of them wrote.
#[actix_rt::test]
async fn odd_rows_stop_no_entry_and_no_sidecar() {
    let mut cluster = Cluster::start(ClusterConfig::default()).await.unwrap();
    let caller = cluster.program("renewal-70").await.unwrap();
    let call = |sequence: u64| Call::model(&format!("call {sequence}"), 4).sequence(sequence);
    let reply = caller.call(cluster.entry(0), &call(1)).await.unwrap();
    assert_eq!(reply.status, 200, "{reply:?}");
    write_odd_rows(&cluster).await;
    // Each table is read several times meanwhile.
    actix_rt::time::sleep(Duration::from_secs(2)).await;
    let reply = caller.call(cluster.entry(1), &call(2)).await.unwrap();
    assert_eq!(reply.status, 200, "{reply:?}");
    wait_until_in_force(&cluster, "tool-1").await;

    // Processes that start read all rows at once, and none of them knows any before.
    for entry in &mut cluster.entries {
        entry.process.end(Signal::Kill).await.unwrap();
    }
    for endpoint in &mut cluster.endpoints {
        endpoint.sidecar.end(Signal::Kill).await.unwrap();
    }
    for entry in &mut cluster.entries {
        entry.process.restart().unwrap();
    }
    for endpoint in &mut cluster.endpoints {
        endpoint.sidecar.restart().unwrap();
    }
    cluster.wait_ready().await.unwrap();
    cluster.wait_for_steady_owners().await.unwrap();
    let mut reply = caller.call(cluster.entry(0), &call(3)).await;
    for _ in 0..40 {
        if reply.as_ref().is_ok_and(|reply| reply.status == 200) {
            break;
        }
        actix_rt::time::sleep(Duration::from_millis(250)).await;
        reply = caller.call(cluster.entry(0), &call(3)).await;
    }
    assert_eq!(reply.unwrap().status, 200);
    wait_until_in_force(&cluster, "tool-2").await;
    for entry in &mut cluster.entries {
        entry.process.check_running().unwrap();
    }
    for endpoint in &mut cluster.endpoints {
        endpoint.sidecar.check_running().unwrap();
    }
}
