//! Reads from the table what is newer than what is in force.

use rosebend_coordination::configuration::{ChangeRow, REVISION_KEY, RevisionRow, change_key};
use rosebend_protocol::table::{row_id, rows_under};
use rosebend_state::{
    deployment::Row,
    id::Revision,
    resource::{Change, ConfigUpdate, Resource, Snapshot},
};
use rosebend_transport::{
    event::{Event, EventKind, log_event},
    store::StoreClient,
};
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::rows;

/// Prefix of the rows of changes.
const CHANGE_PREFIX: &str = "change/";
/// A process further behind reads the resources rather than the changes.
const MAX_CHANGES: u64 = 256;
/// Tries to read the resources while nobody changes them.
const SNAPSHOT_ATTEMPTS: usize = 3;

/// What is newer than `known`, of which `newest` is known to exist; none when
/// it cannot be read now.
pub async fn read_newer(
    store: &StoreClient,
    known: Revision,
    newest: Revision,
) -> Option<ConfigUpdate> {
    if newest - known <= MAX_CHANGES
        && let Some(changes) = read_changes(store, known).await?
    {
        return Some(ConfigUpdate::Changes(changes));
    }
    read_snapshot(store).await.map(ConfigUpdate::Snapshot)
}

/// The changes after a revision; none when the next one is no longer kept.
async fn read_changes(store: &StoreClient, known: Revision) -> Option<Option<Vec<Change>>> {
    let range = rows_under(CHANGE_PREFIX).after(&change_key(known));
    let page = store.read_some(&range, MAX_CHANGES as usize).await;
    let rows = page.ok()?.rows;
    let rows = rows.into_iter().filter(is_change);
    let changes = rows.map(change).collect::<Option<Vec<_>>>()?;
    let joins_on = changes.first().map(|change| change.revision) == Some(known + 1);
    Some(joins_on.then_some(changes))
}

/// All resources at one revision: nobody changed any while they were read. A row that no
/// entry wrote is no resource, and the others hold.
async fn read_snapshot(store: &StoreClient) -> Option<Snapshot> {
    for _ in 0..SNAPSHOT_ATTEMPTS {
        let revision = newest_revision(store).await?;
        let rows = store.read(&rows_under(rows::RESOURCE_PREFIX)).await;
        let rows = rows.ok()?.rows;
        if newest_revision(store).await? != revision {
            continue;
        }
        let resources = rows
            .into_iter()
            .filter_map(|row| match parse::<Resource>(&row) {
                None if !is_accepted(&row) => None,
                resource => Some(resource),
            })
            .collect::<Option<Vec<_>>>()?;
        return Some(Snapshot {
            revision,
            resources,
        });
    }
    None
}

async fn newest_revision(store: &StoreClient) -> Option<Revision> {
    let row = store.read_row(&row_id(REVISION_KEY)).await;
    match row.ok()? {
        None => Some(0),
        Some(row) => parse::<RevisionRow>(&row).map(|row| row.revision),
    }
}

fn change(row: Row) -> Option<Change> {
    let row: ChangeRow = parse(&row)?;
    let revision = row.revision;
    match Change::try_from(row) {
        Ok(change) => Some(change),
        Err(error) => {
            let event = Event::new(EventKind::ConfigurationInvalid);
            log_event(&event.revision(revision).error(&error));
            None
        }
    }
}

/// Whether a row has the key of a change. Another writer may have left others.
fn is_change(row: &Row) -> bool {
    let revision = row.id.key.strip_prefix(CHANGE_PREFIX);
    let revision = revision.and_then(|revision| revision.parse().ok());
    revision.is_some_and(|revision| change_key(revision) == row.id.key)
}

/// The part of a resource that all versions write.
#[derive(Deserialize)]
struct AcceptedResource {
    metadata: AcceptedMetadata,
}

#[derive(Deserialize)]
struct AcceptedMetadata {
    changed_at_revision: Revision,
}

/// Whether an entry of any version wrote a resource.
fn is_accepted(row: &Row) -> bool {
    let resource = rows::from_json::<AcceptedResource>(row);
    resource.is_ok_and(|resource| resource.metadata.changed_at_revision > 0)
}

/// An accepted row that cannot be read stops the update: what is in force stays, and the
/// status shows that this host lags.
fn parse<T: DeserializeOwned>(row: &Row) -> Option<T> {
    match rows::from_json(row) {
        Ok(value) => Some(value),
        Err(error) => {
            log_event(&Event::new(EventKind::ConfigurationInvalid).error(&error));
            None
        }
    }
}
