//! Changes resources.

use std::time::{Duration, Instant};

use rosebend_coordination::configuration::{
    Answer, ChangeOutcome, ChangeRequest, ChangeWriter, RowCondition, RowWrite, SeenRow, Step,
};
use rosebend_protocol::{problem::Problem, table::row_id};
use rosebend_state::{
    deployment::{Row, RowId, Transaction},
    id::Revision,
    resource::{RawResource, Resource, ResourceKey, ResourceSpec},
};
use rosebend_transport::{
    event::{Event, EventKind, log_event},
    http_server::{HttpReply, HttpRequest},
    store::{StoreClient, StoreError, Transacted},
};
use serde::Serialize;

use super::{OperatorContext, changes, problems, reading};
use crate::rows;

/// Longest time that an operator waits for the outcome of a change.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(10);
/// Wait after the table refused or did not answer.
const TABLE_PAUSE: Duration = Duration::from_millis(100);
/// Times that a drain is planned anew because somebody changed the endpoint.
const DRAIN_ATTEMPTS: usize = 8;

/// A change that an operator asks for.
#[derive(Clone, Debug)]
pub(super) struct Operation {
    key: ResourceKey,
    spec: Option<ResourceSpec>,
    expected_revision: Revision,
    dry_run: bool,
}

/// How a change went well.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
enum Outcome {
    /// It is durable.
    Accepted,
    /// The resource stood like this already.
    Unchanged,
    /// It would be accepted now.
    DryRun,
}

/// Answer to a change that went well.
#[derive(Debug)]
#[derive(Serialize)]
struct Changed {
    outcome: Outcome,
    /// The revision of the change, or of the resource as it stood.
    revision: Revision,
    /// The resource as it stands; none when it was removed.
    resource: Option<Resource>,
}

impl Operation {
    /// Reads a `PUT`.
    pub(super) fn put(request: &HttpRequest, key: ResourceKey) -> Result<Self, Problem> {
        let raw: RawResource =
            serde_json::from_slice(&request.body).map_err(|error| problems::bad_json(&error))?;
        let resource =
            Resource::try_from(raw).map_err(|error| problems::invalid_resource(&error))?;
        if resource.key() != key {
            return Err(problems::other_resource(&key, &resource.key()));
        }
        Self::new(request, key, Some(resource.spec))
    }

    /// Reads a `DELETE`.
    pub(super) fn delete(request: &HttpRequest, key: ResourceKey) -> Result<Self, Problem> {
        let operation = Self::new(request, key, None)?;
        if operation.expected_revision == 0 {
            let allowed = "the revision that was seen, from 1";
            return Err(problems::bad_parameter("revision", "0", allowed));
        }
        Ok(operation)
    }

    fn new(
        request: &HttpRequest,
        key: ResourceKey,
        spec: Option<ResourceSpec>,
    ) -> Result<Self, Problem> {
        let revision = request.query_value("revision");
        let revision = revision.ok_or_else(problems::revision_required)?;
        Ok(Self {
            key,
            spec,
            expected_revision: parse_revision("revision", revision)?,
            dry_run: dry_run(request)?,
        })
    }
}

fn dry_run(request: &HttpRequest) -> Result<bool, Problem> {
    match request.query_value("dry_run") {
        None | Some("false") => Ok(false),
        Some("true") => Ok(true),
        Some(other) => Err(problems::bad_parameter("dry_run", other, "true or false")),
    }
}

/// Reads a revision from the query.
pub(super) fn parse_revision(name: &str, value: &str) -> Result<Revision, Problem> {
    let revision = value.parse();
    revision.map_err(|_| problems::bad_parameter(name, value, "a whole number"))
}

/// Runs a change and answers how it ended.
pub(super) async fn run(
    context: &OperatorContext,
    operator: &str,
    operation: Operation,
) -> Result<HttpReply, Problem> {
    let store = context.store();
    let key = operation.key.clone();
    let (outcome, write_id) = write(context, &store, operator, &operation).await;
    match outcome {
        ChangeOutcome::Accepted(change) if operation.dry_run => {
            // The revision is not given yet, and may go to another change.
            let mut resource = change.resource;
            if let Some(resource) = &mut resource {
                resource.metadata = None;
            }
            Ok(changed(
                Outcome::DryRun,
                operation.expected_revision,
                resource,
            ))
        }
        ChangeOutcome::Accepted(change) => {
            let revision = change.revision;
            log_event(&Event::new(EventKind::ConfigurationAccepted).revision(revision));
            context.accepted(change.clone());
            Ok(changed(Outcome::Accepted, revision, change.resource))
        }
        ChangeOutcome::Unchanged(resource) => {
            let revision = operation.expected_revision;
            Ok(changed(Outcome::Unchanged, revision, resource))
        }
        ChangeOutcome::Conflict(conflict) => {
            refused("revision-conflict");
            let since = changes::of(&store, &key, conflict.expected_revision).await;
            Err(problems::conflict(&key, &conflict, &since))
        }
        ChangeOutcome::NotRun => {
            refused("table-unavailable");
            Err(problems::table_unavailable())
        }
        ChangeOutcome::Unknown { revision } => {
            log_event(&Event::new(EventKind::ConfigurationUnknown).revision(revision));
            Err(problems::outcome_unknown(revision, &write_id))
        }
        ChangeOutcome::Damaged { key } => {
            refused("damaged-row");
            Err(problems::damaged_row(&key))
        }
    }
}

fn changed(outcome: Outcome, revision: Revision, resource: Option<Resource>) -> HttpReply {
    let changed = Changed {
        outcome,
        revision,
        resource,
    };
    HttpReply::json(200, &changed)
}

fn refused(reason: &'static str) {
    log_event(&Event::new(EventKind::ConfigurationRefused).reason(reason));
}

/// Declares that an endpoint gets no new work.
pub(super) async fn drain(
    context: &OperatorContext,
    operator: &str,
    key: &ResourceKey,
) -> Result<HttpReply, Problem> {
    let store = context.store();
    for _ in 0..DRAIN_ATTEMPTS {
        let Some(resource) = reading::resource(&store, key).await? else {
            return Err(problems::not_found(key));
        };
        let operation = draining(resource);
        match run(context, operator, operation).await {
            // Somebody changed the endpoint meanwhile, which is no reason to
            // leave it undrained.
            Err(problem) if problem.status == 409 => continue,
            ended => return ended,
        }
    }
    Err(problems::table_unavailable())
}

fn draining(resource: Resource) -> Operation {
    let key = resource.key();
    let expected_revision = resource.revision();
    let mut spec = resource.spec;
    if let ResourceSpec::Endpoint(endpoint) = &mut spec {
        endpoint.draining = true;
    }
    Operation {
        key,
        spec: Some(spec),
        expected_revision,
        dry_run: false,
    }
}

/// Takes a change through the table. A dry run ends before the transaction.
async fn write(
    context: &OperatorContext,
    store: &StoreClient,
    operator: &str,
    operation: &Operation,
) -> (ChangeOutcome, String) {
    let write_id = context.write_id();
    let mut writer = ChangeWriter::new(ChangeRequest {
        write_id: write_id.clone(),
        operator: operator.to_owned(),
        key: operation.key.clone(),
        expected_revision: operation.expected_revision,
        spec: operation.spec.clone(),
    });
    let started = Instant::now();
    loop {
        let answer = match writer.step() {
            Step::Done(outcome) => return (outcome, write_id),
            Step::Transact(_) if operation.dry_run => Answer::Committed,
            Step::Transact(rows) => transact(store, rows).await,
            Step::Read(keys) => read(store, keys).await,
        };
        let must_pause = matches!(answer, Answer::Refused | Answer::NoAnswer);
        writer.answer(answer);
        if started.elapsed() > OUTCOME_TIMEOUT {
            return (writer.give_up(), write_id);
        }
        if must_pause {
            actix_rt::time::sleep(TABLE_PAUSE).await;
        }
    }
}

async fn transact(store: &StoreClient, rows: Vec<RowWrite>) -> Answer {
    let transaction = rows.into_iter().fold(Transaction::default(), add_row);
    match store.transact(&transaction).await {
        Ok(Transacted::Applied(_)) => Answer::Committed,
        Ok(Transacted::Conflict(_)) => Answer::Conflict,
        Err(error) => failed(&error),
    }
}

async fn read(store: &StoreClient, keys: Vec<String>) -> Answer {
    let rows: Vec<RowId> = keys.into_iter().map(row_id).collect();
    match store.read_rows(&rows).await {
        Ok(rows) => Answer::Rows(rows.into_iter().map(seen_row).collect()),
        Err(error) => failed(&error),
    }
}

fn failed(error: &StoreError) -> Answer {
    match error {
        StoreError::Refused | StoreError::Throttled => Answer::Refused,
        StoreError::Rejected(_) | StoreError::NoAnswer(_) | StoreError::HistoryGone => {
            Answer::NoAnswer
        }
    }
}

fn add_row(transaction: Transaction, write: RowWrite) -> Transaction {
    let row = row_id(write.key);
    let transaction = match write.condition {
        RowCondition::Any => transaction,
        RowCondition::Absent => transaction.expect_absent(row.clone()),
        RowCondition::Version(version) => transaction.expect(row.clone(), version),
    };
    match write.value {
        Some(value) => transaction.write(row, rows::to_json(&value)),
        None => transaction.delete(row),
    }
}

/// A row that cannot be read as JSON is passed on as null, which the change
/// reports as damaged.
fn seen_row(row: Row) -> SeenRow {
    SeenRow {
        value: rows::from_json(&row).unwrap_or_default(),
        version: row.version,
        key: row.id.key,
    }
}
