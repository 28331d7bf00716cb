//! Reading what is newer from the store's stand-in.

use std::{net::TcpListener, time::Duration};

use rosebend_coordination::configuration::{ChangeRow, REVISION_KEY, RevisionRow, change_key};
use rosebend_entry::configuration::read_newer;
use rosebend_protocol::table::row_id;
use rosebend_standin::store::Store;
use rosebend_state::deployment::Transaction;
use rosebend_state::resource::{ConfigUpdate, RawResource, ResourceKind};
use rosebend_transport::clock::Clock;
use rosebend_transport::store::StoreClient;
use serde::Serialize;
use serde_json::json;

fn write(transaction: Transaction, key: &str, value: &impl Serialize) -> Transaction {
    transaction.write(row_id(key), serde_json::to_vec(value).unwrap())
}

fn resource(revision: u64) -> RawResource {
    serde_json::from_value(json!({
        "kind": "tool", "name": "charge-fee", "spec": {},
        "metadata": {"changed_by": "desk", "changed_at_revision": revision},
    }))
    .unwrap()
}

fn change(revision: u64) -> ChangeRow {
    ChangeRow {
        revision,
        changed_by: "desk".to_owned(),
        kind: ResourceKind::Tool,
        name: "charge-fee".to_owned(),
        resource: Some(resource(revision)),
        write_id: format!("write-{revision}"),
    }
}

/// A table whose changes 5 to 7 are kept, and none before.
async fn fill(client: &StoreClient) {
    let newest = RevisionRow {
        revision: 7,
        write_id: "write-7".to_owned(),
    };
    let changes = (5..=7).fold(Transaction::default(), |transaction, revision| {
        write(transaction, &change_key(revision), &change(revision))
    });
    let transaction = write(changes, REVISION_KEY, &newest);
    let transaction = write(transaction, "resource/tool/charge-fee", &resource(7));
    client.transact(&transaction).await.unwrap();
}

#[actix_rt::test]
async fn changes_are_read_and_a_snapshot_when_they_are_gone() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let store = Store::default().open_door(listener).unwrap();
    let client = StoreClient::new(store.address(), Duration::from_secs(5), Clock::start());
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
    let unknown = json!({"revision": 7, "kind": "weather"});
    let transaction = write(Transaction::default(), &change_key(7), &unknown);
    client.transact(&transaction).await.unwrap();
    assert_eq!(read_newer(&client, 5, 7).await, None);
    store.stop().await.unwrap();
    assert_eq!(read_newer(&client, 5, 7).await, None);
}

/// Guards against a host that stops following the configuration because of a row that no entry
/// wrote, and against one that takes a resource of a newer version for such a row.
#[actix_rt::test]
async fn only_rows_that_an_entry_wrote_stop_an_update() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let store = Store::default().open_door(listener).unwrap();
    let client = StoreClient::new(store.address(), Duration::from_secs(5), Clock::start());
    fill(&client).await;
    for key in [
        "change/odd",
        "change/9",
        "resource/tool/odd",
        "resource/odd",
    ] {
        for value in [
            json!(null),
            json!("odd"),
            json!({"revision": 9}),
            json!([[1e300]]),
        ] {
            let transaction = write(Transaction::default(), key, &value);
            client.transact(&transaction).await.unwrap();
            let Some(ConfigUpdate::Changes(changes)) = read_newer(&client, 5, 7).await else {
                panic!("{key}: {value}");
            };
            assert_eq!(changes.len(), 2, "{key}: {value}");
            let Some(ConfigUpdate::Snapshot(snapshot)) = read_newer(&client, 3, 7).await else {
                panic!("{key}: {value}");
            };
            assert_eq!(snapshot.resources.len(), 1, "{key}: {value}");
        }
    }
    let newer = json!({
        "kind": "weather", "name": "rain", "spec": {},
        "metadata": {"changed_by": "desk", "changed_at_revision": 7},
    });
    let transaction = write(Transaction::default(), "resource/weather/rain", &newer);
    client.transact(&transaction).await.unwrap();
    assert_eq!(read_newer(&client, 3, 7).await, None);
    store.stop().await.unwrap();
}
