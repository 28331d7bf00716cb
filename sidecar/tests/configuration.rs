//! What a sidecar has in force of the configuration.

mod support;

use rosebend_protocol::peer::FailureReason;
use rosebend_protocol::{
    configuration::to_messages,
    peer::{ConfigChange, StatusRequest},
};
use rosebend_state::resource::{
    Change, ConfigUpdate, Resource, ResourceKey, ResourceKind, Snapshot,
};
use serde_json::json;
use support::{Client, TestSidecar, dispatch, fake::Fake, incarnation, tool_call};

fn removal(revision: u64) -> Change {
    Change {
        revision,
        key: ResourceKey::new(ResourceKind::Tool, "charge-fee").unwrap(),
        resource: None,
    }
}

async fn tell(client: &mut Client, revision: u64, update: &ConfigUpdate) -> u64 {
    let (changes, snapshot) = to_messages(update);
    send(client, revision, changes, snapshot).await
}

async fn send(
    client: &mut Client,
    revision: u64,
    changes: Vec<ConfigChange>,
    snapshot: bool,
) -> u64 {
    let request = StatusRequest {
        sender: "entry-a".to_owned(),
        config_revision: revision,
        changes,
        snapshot,
    };
    client
        .status(request)
        .await
        .unwrap()
        .into_inner()
        .config_revision
}

#[actix_rt::test]
async fn changes_come_into_force_in_their_order_and_nothing_goes_back() {
    let engine = Fake::start();
    let sidecar = TestSidecar::start("engine", engine.address, "");
    let mut client = sidecar.client().await;
    let changes =
        |revisions: &[u64]| ConfigUpdate::Changes(revisions.iter().copied().map(removal).collect());
    let snapshot = |revision| {
        ConfigUpdate::Snapshot(Snapshot {
            revision,
            resources: Vec::new(),
        })
    };
    // A gap is not in force, however new what follows it is.
    assert_eq!(tell(&mut client, 3, &changes(&[2, 3])).await, 0);
    assert_eq!(tell(&mut client, 3, &changes(&[1])).await, 3);
    assert_eq!(tell(&mut client, 2, &changes(&[1, 2])).await, 3);
    assert_eq!(tell(&mut client, 2, &snapshot(2)).await, 3);
    assert_eq!(tell(&mut client, 9, &snapshot(9)).await, 9);
    // What cannot be read changes nothing, and the rest of it is not used.
    let mut garbled: Vec<ConfigChange> = to_messages(&changes(&[10, 11])).0;
    garbled[1].kind = "weather".to_owned();
    assert_eq!(send(&mut client, 11, garbled, false).await, 9);
    assert_eq!(tell(&mut client, 10, &changes(&[10])).await, 10);
    sidecar.stopped().await;
}

#[actix_rt::test]
async fn a_declared_tool_that_hangs_is_bounded_by_its_timeout() {
    let service = Fake::start();
    let sidecar = TestSidecar::start("service", service.address, "");
    let mut client = sidecar.client().await;
    let tool: Resource = serde_json::from_value(json!({
        "kind": "tool", "name": "fee", "spec": {"timeout_ms": 50},
        "metadata": {"changed_by": "desk", "changed_at_revision": 4},
    }))
    .unwrap();
    let snapshot = ConfigUpdate::Snapshot(Snapshot {
        revision: 4,
        resources: vec![tool],
    });
    assert_eq!(tell(&mut client, 4, &snapshot).await, 4);

    service.close_gate();
    let run = incarnation(&mut client).await;
    let ended = dispatch(&mut client, tool_call("caribmar/renewal-17#1", &run)).await;
    let failure = ended.failure.unwrap();
    assert_eq!(failure.reason(), FailureReason::EndpointTimeout);
    assert!(failure.may_have_run);
    // Without the declaration the tool would be given up on much later.
    assert!(failure.detail.contains("within 50 ms"), "{failure:?}");
    service.open_gate();
    sidecar.stopped().await;
}
