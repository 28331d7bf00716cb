//! The problem documents of the operators' API.

use std::time::Duration;

use rosebend_coordination::configuration::{Conflict, WriteId};
use rosebend_protocol::problem::{Problem, Ran};
use rosebend_state::{
    id::Revision,
    resource::{ResourceError, ResourceKey},
};
use rosebend_transport::store::StoreError;
use serde_json::{Value, json};

/// When to come back while the table is away.
const TABLE_RETRY: Duration = Duration::from_secs(2);

pub(super) fn no_such_path(path: &str) -> Problem {
    Problem::new(404, "no-such-path", Ran::No, format!("there is no {path}"))
}

pub(super) fn no_such_method(method: &str, path: &str) -> Problem {
    let detail = format!("{method} cannot be used on {path}");
    Problem::new(405, "no-such-method", Ran::No, detail)
}

pub(super) fn unknown_kind(error: &ResourceError) -> Problem {
    Problem::new(404, "unknown-kind", Ran::No, error.to_string())
}

pub(super) fn not_found(key: &ResourceKey) -> Problem {
    Problem::new(404, "not-found", Ran::No, format!("there is no {key}"))
}

pub(super) fn bad_json(error: &serde_json::Error) -> Problem {
    let detail = format!("the body is not a resource: {error}");
    Problem::new(400, "bad-json", Ran::No, detail)
}

pub(super) fn invalid_resource(error: &ResourceError) -> Problem {
    let mut problem = Problem::new(422, "invalid-resource", Ran::No, error.to_string());
    if let ResourceError::Fields { defects, .. } = error {
        let defects: Vec<String> = defects.iter().map(ToString::to_string).collect();
        problem.extra = Some(json!({ "defects": defects }));
    }
    problem
}

pub(super) fn other_resource(path: &ResourceKey, body: &ResourceKey) -> Problem {
    let detail = format!("the path names {path}, the body {body}");
    Problem::new(400, "other-resource", Ran::No, detail)
}

pub(super) fn bad_parameter(name: &str, value: &str, allowed: &str) -> Problem {
    let detail = format!("{name} is {value:?}; allowed: {allowed}");
    Problem::new(400, "bad-parameter", Ran::No, detail)
}

pub(super) fn revision_required() -> Problem {
    let detail = "a change names the revision of the resource that was seen, as ?revision=N; \
                  0 when it must not exist";
    Problem::new(428, "revision-required", Ran::No, detail)
}

/// Another change came first; `changes` tells who made which since.
pub(super) fn conflict(key: &ResourceKey, conflict: &Conflict, changes: &[Value]) -> Problem {
    let expected = conflict.expected_revision;
    let detail = match &conflict.current {
        None => format!("{key} does not exist; revision {expected} was expected"),
        Some(current) => {
            let revision = current.revision();
            let changed_by = current
                .metadata
                .as_ref()
                .map(|metadata| &metadata.changed_by);
            let changed_by = changed_by.map_or("somebody", String::as_str);
            format!("{changed_by} changed {key} at revision {revision}; {expected} was expected")
        }
    };
    let mut problem = Problem::new(409, "revision-conflict", Ran::No, detail);
    problem.extra = Some(json!({
        "expected_revision": expected,
        "current": conflict.current,
        "changes": changes,
    }));
    problem
}

pub(super) fn table_unavailable() -> Problem {
    let detail = "the table does not answer or is too busy; nothing was changed";
    Problem::new(503, "table-unavailable", Ran::No, detail).retry_after(TABLE_RETRY)
}

pub(super) fn unreadable_table(error: &StoreError) -> Problem {
    let detail = format!("the table could not be read: {error}");
    Problem::new(503, "table-unavailable", Ran::No, detail).retry_after(TABLE_RETRY)
}

/// The change may stand; its write id tells it apart later.
pub(super) fn outcome_unknown(revision: Revision, write_id: &WriteId) -> Problem {
    let detail = format!(
        "no answer of the table told whether the change was accepted; if it was, it stands in \
         /api/v1/changes as revision {revision} with write id {write_id}"
    );
    let mut problem = Problem::new(504, "outcome-unknown", Ran::Unknown, detail);
    problem.extra = Some(json!({ "revision": revision, "write_id": write_id }));
    problem
}

pub(super) fn damaged_row(key: &str) -> Problem {
    let detail = format!("the table's row {key} does not hold what it should");
    Problem::new(500, "damaged-row", Ran::No, detail)
}

pub(super) fn changes_gone(oldest: Revision) -> Problem {
    let detail = format!("changes before revision {oldest} are no longer kept; list the resources");
    let mut problem = Problem::new(410, "changes-gone", Ran::No, detail);
    problem.extra = Some(json!({ "oldest": oldest }));
    problem
}
