//! Reading what is newer from the platform's stand-in.

use std::{net::TcpListener, time::Duration};

use rosebend_coordination::configuration::{ChangeRow, REVISION_KEY, RevisionRow, change_key};
use rosebend_entry::configuration::read_newer;
use rosebend_protocol::platform::{Action, Condition, Operation, Transaction};
use rosebend_standin::platform::{Platform, PlatformConfig};
use rosebend_state::resource::{ConfigUpdate, RawResource, ResourceKind};
use rosebend_transport::platform_client::PlatformClient;
use serde_json::{Value, json};

fn row(key: String, value: Value) -> Operation {
    Operation {
        key,
        condition: Condition::Any,
        action: Action::Put(value),
    }
}

fn resource(revision: u64) -> RawResource {
    serde_json::from_value(json!({
        "kind": "tool", "name": "charge-fee", "spec": {},
        "metadata": {"changed_by": "desk", "changed_at_revision": revision},
    }))
    .unwrap()
}

fn change(revision: u64) -> Operation {
    let change = ChangeRow {
        revision,
        changed_by: "desk".to_owned(),
        kind: ResourceKind::Tool,
        name: "charge-fee".to_owned(),
        resource: Some(resource(revision)),
        write_id: format!("write-{revision}"),
    };
    row(change_key(revision), serde_json::to_value(change).unwrap())
}

/// A table whose changes 5 to 7 are kept, and none before.
async fn fill(client: &PlatformClient) {
    let newest = RevisionRow {
        revision: 7,
        write_id: "write-7".to_owned(),
    };
    let mut operations: Vec<Operation> = (5..=7).map(change).collect();
    operations.push(row(
        REVISION_KEY.to_owned(),
        serde_json::to_value(newest).unwrap(),
    ));
    let stands = serde_json::to_value(resource(7)).unwrap();
    operations.push(row("resource/tool/charge-fee".to_owned(), stands));
    client.transact(&Transaction { operations }).await.unwrap();
}

#[actix_rt::test]
async fn changes_are_read_and_a_snapshot_when_they_are_gone() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let platform = Platform::start(listener, PlatformConfig::default()).unwrap();
    let client = PlatformClient::new(&platform.url(), Duration::from_secs(5));
    fill(&client).await;

    let Some(ConfigUpdate::Changes(changes)) = read_newer(&client, 5, 7).await else {
        panic!("the changes after 5 are kept");
    };
    let revisions: Vec<u64> = changes.iter().map(|change| change.revision).collect();
    assert_eq!(revisions, [6, 7]);

    let far_behind = [(3, 7), (6, 900)];
    for (known, newest) in far_behind {
        let Some(ConfigUpdate::Snapshot(snapshot)) = read_newer(&client, known, newest).await
        else {
            panic!("the changes after {known} are not to be read one by one");
        };
        assert_eq!((snapshot.revision, snapshot.resources.len()), (7, 1));
    }

    // A change that this version cannot read leaves what is in force.
    let unknown = row(change_key(7), json!({"revision": 7, "kind": "weather"}));
    client
        .transact(&Transaction {
            operations: vec![unknown],
        })
        .await
        .unwrap();
    assert_eq!(read_newer(&client, 5, 7).await, None);
    platform.stop().await.unwrap();
    assert_eq!(read_newer(&client, 5, 7).await, None);
}
