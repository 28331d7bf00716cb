//! Updates of the configuration survive their way through messages.

use rosebend_protocol::configuration::{from_messages, to_messages};
use rosebend_state::resource::{Change, ConfigUpdate, Metadata, RawResource, Resource, Snapshot};
use serde_json::json;

fn resource(revision: u64) -> Resource {
    let raw: RawResource = serde_json::from_value(json!({
        "kind": "session", "name": "caribmar/renewal-17", "spec": {"budget_tokens": 5},
    }))
    .unwrap();
    let mut resource = Resource::try_from(raw).unwrap();
    resource.metadata = Some(Metadata {
        changed_by: "desk".to_owned(),
        changed_at_revision: revision,
    });
    resource
}

#[test]
fn changes_and_snapshots_come_out_as_they_went_in() {
    let changes = ConfigUpdate::Changes(vec![
        Change {
            revision: 7,
            key: resource(7).key(),
            resource: Some(resource(7)),
        },
        Change {
            revision: 8,
            key: resource(7).key(),
            resource: None,
        },
    ]);
    let snapshot = ConfigUpdate::Snapshot(Snapshot {
        revision: 9,
        resources: vec![resource(7)],
    });
    for update in [changes, snapshot] {
        let (messages, is_snapshot) = to_messages(&update);
        assert_eq!(from_messages(9, &messages, is_snapshot).unwrap(), update);
    }
}

#[test]
fn what_does_not_hold_a_resource_is_refused_as_a_whole() {
    let update = ConfigUpdate::Snapshot(Snapshot {
        revision: 7,
        resources: vec![resource(7)],
    });
    let (good, _) = to_messages(&update);
    let mut errors = Vec::new();
    let spoil: [fn(&mut rosebend_protocol::peer::ConfigChange); 4] = [
        |change| change.kind = "weather".to_owned(),
        |change| change.name = "caribmar/renewal-18".to_owned(),
        |change| change.resource.truncate(5),
        |change| change.resource.clear(),
    ];
    for spoil in spoil {
        let mut messages = good.clone();
        spoil(&mut messages[0]);
        errors.push(from_messages(7, &messages, true).unwrap_err().to_string());
    }
    insta::assert_snapshot!(errors.join("\n"));
}
