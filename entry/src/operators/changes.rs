//! Lists accepted changes, for a watch and for the story of a conflict.

use std::time::{Duration, Instant};

use rosebend_coordination::configuration::{ChangeRow, change_key};
use rosebend_protocol::{problem::Problem, table::rows_under};
use rosebend_state::{
    id::Revision,
    resource::{RawResource, ResourceKey},
};
use rosebend_transport::{
    http_server::{HttpReply, HttpRequest},
    store::StoreClient,
};
use serde::Serialize;
use serde_json::{Value, json};

use super::{OperatorContext, problems, reading, writing};

/// Prefix of the rows of changes.
const CHANGES_PREFIX: &str = "change/";
/// Changes in one answer.
const PAGE_CHANGES: usize = 500;
/// Longest wait for a change, in milliseconds.
const MAX_WAIT_MS: u64 = 30_000;
/// Time between looks at the revision in force here, which costs the table
/// nothing however many operators watch.
const WATCH_INTERVAL: Duration = Duration::from_millis(200);

/// Answer to `GET /api/v1/changes`.
#[derive(Debug)]
#[derive(Serialize)]
struct ChangeList {
    /// The changes, by revision, without a gap.
    changes: Vec<ListedChange>,
    /// The revision to go on from.
    after: Revision,
}

/// One change, as operators see it.
#[derive(Debug)]
#[derive(Serialize)]
struct ListedChange {
    revision: Revision,
    changed_by: String,
    kind: &'static str,
    name: String,
    /// The resource as it stood after the change; none when it was removed.
    resource: Option<RawResource>,
    write_id: String,
}

impl From<ChangeRow> for ListedChange {
    fn from(row: ChangeRow) -> Self {
        Self {
            revision: row.revision,
            changed_by: row.changed_by,
            kind: row.kind.word(),
            name: row.name,
            resource: row.resource,
            write_id: row.write_id,
        }
    }
}

/// Lists the changes after a revision; waits for one if there is none yet.
pub(super) async fn list(
    context: &OperatorContext,
    request: &HttpRequest,
) -> Result<HttpReply, Problem> {
    let after = request.query_value("after").unwrap_or("0");
    let after = writing::parse_revision("after", after)?;
    let wait = wait(request)?;
    let store = context.store();
    let mut rows = after_revision(&store, after, PAGE_CHANGES).await?;
    if rows.is_empty() && !wait.is_zero() {
        wait_for_change(context, after, wait).await;
        rows = after_revision(&store, after, PAGE_CHANGES).await?;
    }
    check_no_gap(&store, after, &rows).await?;
    let list = ChangeList {
        after: rows.last().map_or(after, |row| row.revision),
        changes: rows.into_iter().map(ListedChange::from).collect(),
    };
    Ok(HttpReply::json(200, &list))
}

fn wait(request: &HttpRequest) -> Result<Duration, Problem> {
    let Some(value) = request.query_value("wait_ms") else {
        return Ok(Duration::ZERO);
    };
    match value.parse() {
        Ok(wait_ms) if wait_ms <= MAX_WAIT_MS => Ok(Duration::from_millis(wait_ms)),
        _ => {
            let allowed = format!("a whole number from 0 to {MAX_WAIT_MS}");
            Err(problems::bad_parameter("wait_ms", value, &allowed))
        }
    }
}

async fn wait_for_change(context: &OperatorContext, after: Revision, wait: Duration) {
    let started = Instant::now();
    while started.elapsed() < wait && context.host_view().await.revision <= after {
        actix_rt::time::sleep(WATCH_INTERVAL.min(wait)).await;
    }
}

/// A watch that starts before the oldest change kept must list the resources
/// instead of going on as if nothing were missing.
async fn check_no_gap(
    store: &StoreClient,
    after: Revision,
    rows: &[ChangeRow],
) -> Result<(), Problem> {
    let first = match rows.first() {
        Some(row) => row.revision,
        None => reading::newest_revision(store).await? + 1,
    };
    match first > after + 1 {
        true => Err(problems::changes_gone(first)),
        false => Ok(()),
    }
}

async fn after_revision(
    store: &StoreClient,
    after: Revision,
    limit: usize,
) -> Result<Vec<ChangeRow>, Problem> {
    let range = rows_under(CHANGES_PREFIX).after(&change_key(after));
    let page = store.read_some(&range, limit).await;
    let page = page.map_err(|error| problems::unreadable_table(&error))?;
    page.rows.into_iter().map(reading::parse).collect()
}

/// Who changed a resource after a revision; empty when that cannot be read,
/// because the conflict itself is certain.
pub(super) async fn of(store: &StoreClient, key: &ResourceKey, after: Revision) -> Vec<Value> {
    let rows = after_revision(store, after, PAGE_CHANGES).await;
    let rows = rows.unwrap_or_default().into_iter();
    rows.filter(|row| row.kind == key.kind() && row.name == key.name())
        .map(|row| {
            json!({
                "revision": row.revision,
                "changed_by": row.changed_by,
                "removed": row.resource.is_none(),
            })
        })
        .collect()
}
