//! Reads resources from the table.

use rosebend_coordination::configuration::{REVISION_KEY, RevisionRow};
use rosebend_protocol::{platform::Row, problem::Problem};
use rosebend_state::{
    id::Revision,
    resource::{Resource, ResourceKey, ResourceKind},
};
use rosebend_transport::{http_server::HttpReply, platform_client::PlatformClient};
use serde::{Serialize, de::DeserializeOwned};

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
    let platform = context.platform();
    let revision = newest_revision(&platform).await?;
    let rows = platform.scan_all(&kind.row_prefix()).await;
    let rows = rows.map_err(|error| problems::platform(&error))?;
    let resources = rows.into_iter().map(parse).collect::<Result<_, _>>()?;
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
    match resource(&context.platform(), key).await? {
        Some(resource) => Ok(HttpReply::json(200, &resource)),
        None => Err(problems::not_found(key)),
    }
}

/// A resource as the table holds it.
pub(super) async fn resource(
    platform: &PlatformClient,
    key: &ResourceKey,
) -> Result<Option<Resource>, Problem> {
    read_row(platform, key.row_key()).await
}

/// The newest revision; zero before the first change.
pub(super) async fn newest_revision(platform: &PlatformClient) -> Result<Revision, Problem> {
    let row: Option<RevisionRow> = read_row(platform, REVISION_KEY.to_owned()).await?;
    Ok(row.map_or(0, |row| row.revision))
}

async fn read_row<T: DeserializeOwned>(
    platform: &PlatformClient,
    key: String,
) -> Result<Option<T>, Problem> {
    let rows = platform.read(vec![key]).await;
    let rows = rows.map_err(|error| problems::platform(&error))?;
    rows.into_iter().next().map(parse).transpose()
}

/// What a row holds.
pub(super) fn parse<T: DeserializeOwned>(row: Row) -> Result<T, Problem> {
    serde_json::from_value(row.value).map_err(|_| problems::damaged_row(&row.key))
}
