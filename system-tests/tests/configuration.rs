//! An accepted change reaches every process, also while the table is away.

use rosebend_standin::store::StoreFaults;
use rosebend_system_tests::{
    Caller, Cluster, ClusterConfig, Signal, cluster::put_resource, settings::token, wait_until,
};
use serde_json::json;

const KEY: (&str, &str) = ("customer", "caribmar");

/// Waits until an entry tells that a revision is in force on all processes.
async fn wait_in_force(cluster: &Cluster, entry: usize, revision: u64, live: u64) {
    let operator = Caller::new(token::OPERATOR);
    let path = format!("/api/v1/status?revision={revision}");
    wait_until("the revision to be in force", || async {
        let reply = operator.get(cluster.entry(entry), &path).await.ok()?;
        let status = reply.json();
        let counts = (status["in_force"].as_u64()?, status["live"].as_u64()?);
        (counts == (live, live)).then_some(())
    })
    .await
    .unwrap();
}

async fn seen_revision(operator: &Caller, cluster: &Cluster) -> u64 {
    let found = operator
        .get(cluster.entry(0), "/api/v1/customer/caribmar")
        .await;
    let found = found.unwrap().json();
    found["metadata"]["changed_at_revision"].as_u64().unwrap()
}

async fn set_outage(cluster: &Cluster, refuse: bool) {
    let faults = StoreFaults {
        refuse,
        ..StoreFaults::default()
    };
    cluster.set_platform_faults(&faults).await.unwrap();
}

#[actix_rt::test]
async fn a_change_accepted_before_an_outage_is_in_force_everywhere_in_it() {
    let mut cluster = Cluster::start(ClusterConfig::default()).await.unwrap();
    let desk = Caller::new(token::OPERATOR);
    let live = u64::try_from(cluster.entries.len() + cluster.endpoints.len()).unwrap();
    let seen = seen_revision(&desk, &cluster).await;
    wait_in_force(&cluster, 0, seen, live).await;

    // Two entries stand still while the third accepts the change and the table
    // goes away, so that they can have it from the third only.
    for entry in &cluster.entries[1..] {
        entry.process.signal(Signal::Stop).unwrap();
    }
    let spec = json!({ "budget_ceiling_tokens": 777_000 });
    let put = put_resource(&desk, cluster.entry(0), KEY, spec, seen).await;
    let accepted = put.unwrap().success("a change").unwrap().json();
    let revision = accepted["revision"].as_u64().unwrap();
    set_outage(&cluster, true).await;
    for entry in &cluster.entries[1..] {
        entry.process.signal(Signal::Continue).unwrap();
    }
    for entry in 0..cluster.entries.len() {
        wait_in_force(&cluster, entry, revision, live).await;
    }

    // A sidecar that starts in the outage gets it too.
    let sidecar = &mut cluster.endpoints[0].sidecar;
    sidecar.end(Signal::Kill).await.unwrap();
    sidecar.restart().unwrap();
    let pages = cluster.endpoints[0].pages_address;
    let line = format!("rosebend_config_revision {revision}");
    wait_until("the new sidecar to have the revision", || async {
        let page = desk.get(pages, "/metrics").await.ok()?.body;
        let page = String::from_utf8(page.to_vec()).ok()?;
        page.lines().any(|found| found == line).then_some(())
    })
    .await
    .unwrap();

    set_outage(&cluster, false).await;
    wait_until("the table to be read again", || async {
        let found = desk
            .get(cluster.entry(2), "/api/v1/customer/caribmar")
            .await;
        let found = found.ok()?.json();
        (found["spec"]["budget_ceiling_tokens"] == json!(777_000)).then_some(())
    })
    .await
    .unwrap();
    for entry in 0..cluster.entries.len() {
        wait_in_force(&cluster, entry, revision, live).await;
    }
}
