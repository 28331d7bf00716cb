//! Accepted changes, and all resources at one revision.

use crate::id::Revision;

use super::{Resource, ResourceKey};

/// One accepted change, as processes pass it on.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Its revision, from 1.
    pub revision: Revision,
    /// The resource that it changed.
    pub key: ResourceKey,
    /// The resource as it stands since; none when it was removed. Its metadata
    /// names this revision.
    pub resource: Option<Resource>,
}

/// All resources as they stood at one revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// The revision.
    pub revision: Revision,
    /// Each resource once; none was changed after `revision`.
    pub resources: Vec<Resource>,
}

/// What brings a process forward that is behind.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigUpdate {
    /// The changes after its revision, without a gap.
    Changes(Vec<Change>),
    /// All resources, when it is too far behind for single changes.
    Snapshot(Snapshot),
}
