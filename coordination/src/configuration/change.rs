//! One change: its rows and its conditions.

use rosebend_state::{
    id::Revision,
    resource::{
        Change, Metadata, RawResource, Resource, ResourceError, ResourceKey, ResourceKind,
        ResourceSpec,
    },
};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Distinguishes every write from every other one.
pub type WriteId = String;

/// Key of the row that names the newest revision.
pub const REVISION_KEY: &str = "revision";

/// Number of changes that the table keeps. Each change removes the one that
/// lies so far back; a process further behind reads the resources instead.
pub(super) const KEPT_CHANGES: Revision = 10_000;

/// Key of the row of an accepted change; keys sort by revision.
pub fn change_key(revision: Revision) -> String {
    format!("change/{revision:012}")
}

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct ChangeRequest {
    /// The write's id, never used for another write.
    pub write_id: WriteId,
    /// The operator's name.
    pub operator: String,
    /// The resource.
    pub key: ResourceKey,
    /// The revision of the resource that the operator saw; zero when it must
    /// not exist.
    pub expected_revision: Revision,
    /// What the resource shall declare; none when it shall be removed. Its
    /// kind is that of the key.
    pub spec: Option<ResourceSpec>,
}

/// Value of the row `change/RRRRRRRRRRRR`.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ChangeRow {
    /// The change's revision.
    pub revision: Revision,
    /// Who made it.
    pub changed_by: String,
    /// The resource's kind.
    pub kind: ResourceKind,
    /// The resource's name.
    pub name: String,
    /// The resource as it stands since; none when it was removed.
    pub resource: Option<RawResource>,
    /// The write that made it.
    pub write_id: WriteId,
}

/// Value of the row `revision`.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RevisionRow {
    /// The newest revision.
    pub revision: Revision,
    /// The write that made it.
    pub write_id: WriteId,
}

/// A part of a transaction.
#[derive(Clone, Debug, PartialEq)]
pub struct RowWrite {
    /// The row's key.
    pub key: String,
    /// What must hold of the row beforehand.
    pub condition: RowCondition,
    /// The row's new value; none removes it.
    pub value: Option<Value>,
}

/// What must hold of a row beforehand.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RowCondition {
    /// Anything may stand there.
    Any,
    /// No row stands there.
    Absent,
    /// The row has this version.
    Version(u64),
}

/// The operator saw another revision than the one that stands.
#[derive(Clone, Debug, PartialEq)]
pub struct Conflict {
    /// The revision that the operator saw.
    pub expected_revision: Revision,
    /// The resource as it stands; none when it does not exist.
    pub current: Option<Resource>,
}

impl TryFrom<ChangeRow> for Change {
    type Error = ResourceError;

    fn try_from(row: ChangeRow) -> Result<Self, ResourceError> {
        Ok(Self {
            revision: row.revision,
            key: ResourceKey::new(row.kind, &row.name)?,
            resource: row.resource.map(Resource::try_from).transpose()?,
        })
    }
}

/// A row of the table with its version.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Versioned<T> {
    pub(super) version: u64,
    pub(super) value: T,
}

/// What was read before a change.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Before {
    pub(super) newest: Option<Versioned<RevisionRow>>,
    pub(super) resource: Option<Versioned<Resource>>,
}

/// What a change comes to, given what was read.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Plan {
    /// Nothing is left to write: the resource stands like this already.
    Unchanged(Option<Resource>),
    /// The operator saw another revision.
    Conflict(Conflict),
    /// The rows to write.
    Write(PlannedWrite),
}

/// A transaction and the change that it makes.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct PlannedWrite {
    pub(super) rows: Vec<RowWrite>,
    pub(super) change: Change,
}

/// Plans a change on what was read.
pub(super) fn plan(request: &ChangeRequest, before: &Before) -> Plan {
    let current = before.resource.as_ref().map(|row| &row.value);
    if current.map_or(0, Resource::revision) != request.expected_revision {
        return Plan::Conflict(Conflict {
            expected_revision: request.expected_revision,
            current: current.cloned(),
        });
    }
    if current.map(|resource| &resource.spec) == request.spec.as_ref() {
        return Plan::Unchanged(current.cloned());
    }
    let newest = before.newest.as_ref().map_or(0, |row| row.value.revision);
    Plan::Write(planned_write(request, before, newest + 1))
}

fn planned_write(request: &ChangeRequest, before: &Before, revision: Revision) -> PlannedWrite {
    let resource = changed_resource(request, revision);
    let change = Change {
        revision,
        key: request.key.clone(),
        resource,
    };
    let newest = RevisionRow {
        revision,
        write_id: request.write_id.clone(),
    };
    let mut rows = vec![
        RowWrite {
            key: REVISION_KEY.to_owned(),
            condition: condition_on(before.newest.as_ref()),
            value: Some(to_value(&newest)),
        },
        RowWrite {
            key: change_key(revision),
            condition: RowCondition::Absent,
            value: Some(to_value(&change_row(request, &change))),
        },
        RowWrite {
            key: request.key.row_key(),
            condition: condition_on(before.resource.as_ref()),
            value: change.resource.as_ref().map(to_value),
        },
    ];
    if revision > KEPT_CHANGES {
        rows.push(RowWrite {
            key: change_key(revision - KEPT_CHANGES),
            condition: RowCondition::Any,
            value: None,
        });
    }
    PlannedWrite { rows, change }
}

fn changed_resource(request: &ChangeRequest, revision: Revision) -> Option<Resource> {
    let metadata = Metadata {
        changed_by: request.operator.clone(),
        changed_at_revision: revision,
    };
    let spec = request.spec.clone()?;
    Some(Resource::new(&request.key, Some(metadata), spec))
}

fn change_row(request: &ChangeRequest, change: &Change) -> ChangeRow {
    ChangeRow {
        revision: change.revision,
        changed_by: request.operator.clone(),
        kind: change.key.kind(),
        name: change.key.name().to_owned(),
        resource: change.resource.clone().map(RawResource::from),
        write_id: request.write_id.clone(),
    }
}

fn condition_on<T>(row: Option<&Versioned<T>>) -> RowCondition {
    row.map_or(RowCondition::Absent, |row| {
        RowCondition::Version(row.version)
    })
}

fn to_value(value: &impl Serialize) -> Value {
    serde_json::to_value(value).expect("rows of the configuration have a JSON form")
}
