//! Commands that change something.

use std::path::PathBuf;

use rosebend_state::{
    id::{ProgramId, Revision},
    resource::{RawResource, Resource, ResourceKey},
};
use serde_json::{Value, json};

use crate::{
    api::Api,
    files,
    report::{Exit, Failure, Report},
    table::{Table, cell},
};

const COLUMNS: [&str; 3] = ["resource", "outcome", "revision"];

/// Declares the resources of some files. A resource that is refused does not
/// keep the others from being declared.
pub(super) async fn apply(api: &Api, paths: &[PathBuf], dry_run: bool) -> Result<Report, Failure> {
    let resources = files::load(paths)?;
    let mut report = Report::done(Table::new(COLUMNS), json!([]));
    let mut answers = Vec::new();
    for resource in &resources {
        let key = resource.key();
        match apply_one(api, resource, dry_run).await {
            Ok(answer) => {
                report.table.add(row(&key, &answer));
                answers.push(with_key(&key, answer));
            }
            Err(failure) => {
                report.add_failure(&key.to_string(), &failure);
                answers.push(json!({"resource": key.to_string(), "failure": failure.to_string()}));
                // Without an entry the rest cannot go better.
                if failure.exit() == Exit::NotReachable {
                    break;
                }
            }
        }
    }
    report.json = Value::Array(answers);
    Ok(report)
}

async fn apply_one(api: &Api, resource: &Resource, dry_run: bool) -> Result<Value, Failure> {
    let revision = match resource.revision() {
        0 => api
            .find(&resource.key())
            .await?
            .as_ref()
            .map_or(0, revision_of),
        seen => seen,
    };
    match api.put(resource, revision, dry_run).await {
        Err(lost @ Failure::LostAnswer(_)) => settle_put(api, resource, revision, lost).await,
        answer => answer,
    }
}

/// Reads back whether a change took effect whose answer was lost. It did if
/// the resource stands as declared at a newer revision.
async fn settle_put(
    api: &Api,
    resource: &Resource,
    seen: Revision,
    lost: Failure,
) -> Result<Value, Failure> {
    let Ok(Some(current)) = api.find(&resource.key()).await else {
        return Err(lost);
    };
    let declared = RawResource::from(resource.clone()).spec;
    let revision = revision_of(&current);
    match revision > seen && current["spec"] == Value::Object(declared) {
        true => Ok(json!({"outcome": "accepted", "revision": revision, "resource": current})),
        false => Err(lost),
    }
}

pub(super) async fn delete(
    api: &Api,
    key: &ResourceKey,
    revision: Option<Revision>,
) -> Result<Report, Failure> {
    let revision = match revision {
        Some(seen) => seen,
        None => revision_of(&api.get(key).await?),
    };
    Ok(changed(key, api.delete(key, revision).await?))
}

pub(super) async fn drain(api: &Api, key: &ResourceKey) -> Result<Report, Failure> {
    Ok(changed(key, api.drain(key).await?))
}

pub(super) async fn end(api: &Api, program: &ProgramId) -> Result<Report, Failure> {
    let answer = api.end(program).await?;
    let mut table = Table::new(["program", "outcome"]);
    table.add([program.to_string(), "ended".to_owned()]);
    Ok(Report::done(table, answer))
}

fn changed(key: &ResourceKey, answer: Value) -> Report {
    let mut table = Table::new(COLUMNS);
    table.add(row(key, &answer));
    Report::done(table, with_key(key, answer))
}

fn row(key: &ResourceKey, answer: &Value) -> [String; 3] {
    [
        key.to_string(),
        cell(&answer["outcome"]),
        cell(&answer["revision"]),
    ]
}

/// The entry's answer with the name of the resource, which it leaves out when
/// the resource was removed.
fn with_key(key: &ResourceKey, mut answer: Value) -> Value {
    if let Value::Object(members) = &mut answer {
        let declared = members.remove("resource").unwrap_or_default();
        members.insert("resource".to_owned(), json!(key.to_string()));
        members.insert("declared".to_owned(), declared);
    }
    answer
}

fn revision_of(resource: &Value) -> Revision {
    let revision = &resource["metadata"]["changed_at_revision"];
    revision.as_u64().unwrap_or_default()
}
