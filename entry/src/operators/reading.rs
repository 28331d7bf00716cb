//! Reads resources from the table.

use rosebend_coordination::configuration::{REVISION_KEY, RevisionRow};
use rosebend_protocol::{
    problem::Problem,
    table::{row_id, rows_under},
};
use rosebend_state::{
    deployment::Row,
    id::Revision,
    resource::{Resource, ResourceKey, ResourceKind},
};
use rosebend_transport::{http_server::HttpReply, store::StoreClient};
use serde::{Serialize, de::DeserializeOwned};

use crate::rows;

use super::{OperatorContext, problems};

/// Answer to `GET /api/v1/KIND`.
#[derive(Debug)]
#[derive(Serialize)]
struct ResourceList {
    /// A revision that the list is not older than.
    revision: Revision,
    /// The resources, by name.
    resources: Vec<Resource>,
}

pub(super) async fn list(
    context: &OperatorContext,
    kind: ResourceKind,
) -> Result<HttpReply, Problem> {
    let store = context.store();
    let revision = newest_revision(&store).await?;
    let rows = store.read(&rows_under(&kind.row_prefix())).await;
    let rows = rows.map_err(|error| problems::unreadable_table(&error))?;
    let resources = rows.rows.into_iter().map(parse).collect::<Result<_, _>>()?;
    let list = ResourceList {
        revision,
        resources,
    };
    Ok(HttpReply::json(200, &list))
}

pub(super) async fn get(
    context: &OperatorContext,
    key: &ResourceKey,
) -> Result<HttpReply, Problem> {
    match resource(&context.store(), key).await? {
        Some(resource) => Ok(HttpReply::json(200, &resource)),
        None => Err(problems::not_found(key)),
    }
}

/// A resource as the table holds it.
pub(super) async fn resource(
    store: &StoreClient,
    key: &ResourceKey,
) -> Result<Option<Resource>, Problem> {
    read_row(store, key.row_key()).await
}

/// The newest revision; zero before the first change.
pub(super) async fn newest_revision(store: &StoreClient) -> Result<Revision, Problem> {
    let row: Option<RevisionRow> = read_row(store, REVISION_KEY.to_owned()).await?;
    Ok(row.map_or(0, |row| row.revision))
}

async fn read_row<T: DeserializeOwned>(
    store: &StoreClient,
    key: String,
) -> Result<Option<T>, Problem> {
    let row = store.read_row(&row_id(key)).await;
    let row = row.map_err(|error| problems::unreadable_table(&error))?;
    row.map(parse).transpose()
}

/// What a row holds.
pub(super) fn parse<T: DeserializeOwned>(row: Row) -> Result<T, Problem> {
    rows::from_json(&row).map_err(|_| problems::damaged_row(&row.id.key))
}
