//! Commands that show something.

use std::time::{Duration, Instant};

use rosebend_state::{
    id::{ProgramId, Revision},
    resource::{ResourceKey, ResourceKind},
};
use serde_json::{Map, Value};

use crate::{
    api::Api,
    report::{Exit, Failure, Report},
    table::{Table, cell},
};

/// Time between two looks at the status.
const STATUS_INTERVAL: Duration = Duration::from_millis(200);

pub(super) async fn get(api: &Api, key: &ResourceKey) -> Result<Report, Failure> {
    let resource = api.get(key).await?;
    let mut table = Table::new(["field", "value"]);
    table.add(["resource".to_owned(), key.to_string()]);
    for (field, value) in members(&resource["spec"]) {
        table.add([field.clone(), cell(value)]);
    }
    for (field, value) in members(&resource["metadata"]) {
        table.add([field.clone(), cell(value)]);
    }
    Ok(Report::done(table, resource))
}

/// One column for each field of the kind.
pub(super) async fn list(api: &Api, kind: ResourceKind) -> Result<Report, Failure> {
    let list = api.list(kind).await?;
    let resources = elements(&list["resources"]);
    let fields: Vec<&String> = match resources.first() {
        Some(first) => members(&first["spec"]).map(|(field, _)| field).collect(),
        None => Vec::new(),
    };
    let mut header = vec!["name".to_owned()];
    header.extend(fields.iter().map(|field| (*field).clone()));
    header.extend(["revision".to_owned(), "changed by".to_owned()]);
    let mut table = Table::new(header);
    for resource in resources {
        let mut row = vec![cell(&resource["name"])];
        row.extend(
            fields
                .iter()
                .map(|field| cell(&resource["spec"][field.as_str()])),
        );
        row.extend(change_cells(resource));
        table.add(row);
    }
    Ok(Report::done(table, list))
}

pub(super) async fn list_all(api: &Api) -> Result<Report, Failure> {
    let mut table = Table::new(["kind", "name", "revision", "changed by"]);
    let mut all = Vec::new();
    for kind in ResourceKind::ALL {
        let list = api.list(kind).await?;
        for resource in elements(&list["resources"]) {
            let mut row = vec![kind.word().to_owned(), cell(&resource["name"])];
            row.extend(change_cells(resource));
            table.add(row);
            all.push(resource.clone());
        }
    }
    Ok(Report::done(table, Value::Array(all)))
}

/// Shows where a revision is in force, and waits for it to be so everywhere.
pub(super) async fn status(
    api: &Api,
    revision: Option<Revision>,
    wait: Duration,
) -> Result<Report, Failure> {
    let started = Instant::now();
    let mut status = api.status(revision).await?;
    while !is_everywhere(&status) && started.elapsed() < wait {
        actix_rt::time::sleep(STATUS_INTERVAL).await;
        status = api.status(revision).await?;
    }
    let mut table = Table::new(["host", "kind", "availability zone", "revision", "state"]);
    for process in elements(&status["processes"]) {
        table.add([
            cell(&process["host"]),
            cell(&process["kind"]),
            cell(&process["availability_zone"]),
            cell(&process["config_revision"]),
            state_of(process, &status["revision"]).to_owned(),
        ]);
    }
    table.add([
        format!("{} of {}", status["in_force"], status["live"]),
        "in force".to_owned(),
        "-".to_owned(),
        cell(&status["revision"]),
        format!("accepted {}", cell(&status["accepted_revision"])),
    ]);
    let exit = match wait.is_zero() || is_everywhere(&status) {
        true => Exit::Done,
        false => Exit::Refused,
    };
    Ok(Report {
        exit,
        ..Report::done(table, status)
    })
}

fn is_everywhere(status: &Value) -> bool {
    let live = status["live"].as_u64().unwrap_or_default();
    live > 0 && status["in_force"].as_u64() == Some(live)
}

fn state_of(process: &Value, revision: &Value) -> &'static str {
    let lags = process["config_revision"].as_u64() < revision.as_u64();
    match (process["leaving"].as_bool() == Some(true), lags) {
        (true, _) => "leaving",
        (false, true) => "lagging",
        (false, false) => "in force",
    }
}

pub(super) async fn program(api: &Api, program: &ProgramId) -> Result<Report, Failure> {
    let shown = api.program(program).await?;
    let mut table = Table::new(["call", "kind", "target", "stage", "attempts", "endpoint"]);
    for call in elements(&shown["calls"]) {
        table.add([
            cell(&call["sequence"]),
            cell(&call["kind"]),
            cell(&call["target"]),
            cell(&call["stage"]),
            cell(&call["attempts"]),
            cell(&call["endpoint"]),
        ]);
    }
    table.add([
        "all".to_owned(),
        "program".to_owned(),
        program.to_string(),
        program_state(&shown["state"]),
        "-".to_owned(),
        format!(
            "{} of {} tokens",
            shown["spent_tokens"], shown["budget_tokens"]
        ),
    ]);
    Ok(Report::done(table, shown))
}

/// A state is a word, or a word with its reason.
fn program_state(state: &Value) -> String {
    match members(state).next() {
        Some((word, detail)) => format!("{word}: {}", cell(&detail["reason"])),
        None => cell(state),
    }
}

fn change_cells(resource: &Value) -> [String; 2] {
    let metadata = &resource["metadata"];
    [
        cell(&metadata["changed_at_revision"]),
        cell(&metadata["changed_by"]),
    ]
}

fn elements(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

fn members(value: &Value) -> impl Iterator<Item = (&String, &Value)> {
    value.as_object().into_iter().flat_map(Map::iter)
}
