//! A replica of a table of the store, which a host uses itself and sends to the hosts that
//! follow it.
//!
//! A follower requests the changes since the version that it has. The replica therefore
//! keeps the recent deletions and the versions that it has had, and sends the whole table
//! to a follower whose version is not among them.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::time::Duration;

use rosebend_state::deployment::{Row, RowId, RowVersion};

/// Maximum number of deletions that are kept. A follower that missed more than these
/// receives the whole table.
const MAX_DELETIONS: usize = 512;
/// Maximum number of versions that are kept, which covers minutes of changes.
const MAX_VERSIONS: usize = 512;

/// Changes of a table or all of its rows, as read from the store or received from another
/// host.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TableChanges {
    /// Whether `rows` are all rows of the table, so that all others have been deleted.
    pub is_whole: bool,
    /// The version of the store at which the rows were read.
    pub version: RowVersion,
    /// The rows in the order of their changes. A row without a value was deleted.
    pub rows: Vec<Row>,
}

/// A host's replica of a table.
///
/// Its version never decreases: it ignores changes of an older version than its own.
#[derive(Debug, Default)]
pub struct TableReplica {
    rows: BTreeMap<String, Row>,
    /// The rows that were deleted, each with the version of its deletion, the latest last.
    deletions: VecDeque<(RowVersion, RowId)>,
    /// The versions that this replica has had, the latest last. Changes can be sent only to
    /// a follower at one of these versions. A follower at any other version received it from
    /// another host, and may have a change that this replica never received because it was
    /// reverted before the replica's next version.
    versions: VecDeque<RowVersion>,
    /// The latest time at which the store is known to have had no newer version.
    current_at: Duration,
}

impl TableReplica {
    /// Returns the version of the store that the replica is at, or `None` before the first
    /// changes.
    pub fn version(&self) -> Option<RowVersion> {
        self.versions.back().copied()
    }

    /// Returns the time since the store is known to have had no newer version, or `None`
    /// before the first changes.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.version().map(|_| now.saturating_sub(self.current_at))
    }

    /// Applies changes that were current at `current_at`. Returns false, and changes
    /// nothing, if they are older than the replica. `is_same` returns whether two versions
    /// of a row are equal in everything that hosts act on; such a change is not sent to
    /// followers.
    pub fn apply(
        &mut self,
        changes: &TableChanges,
        current_at: Duration,
        is_same: impl Fn(&Row, &Row) -> bool,
    ) -> bool {
        if self
            .version()
            .is_some_and(|version| changes.version < version)
        {
            return false;
        }
        if changes.is_whole {
            self.delete_missing(changes);
        }
        for row in &changes.rows {
            self.apply_row(row, changes.version, &is_same);
        }
        self.record_version(changes.version);
        self.current_at = self.current_at.max(current_at);
        true
    }

    /// Deletes the rows that are absent from a whole table.
    fn delete_missing(&mut self, changes: &TableChanges) {
        let listed = changes.rows.iter().map(|row| row.id.key.as_str());
        let listed: HashSet<&str> = listed.collect();
        let rows = self.rows.values().map(|row| &row.id);
        let missing = rows.filter(|id| !listed.contains(id.key.as_str()));
        let missing: Vec<RowId> = missing.cloned().collect();
        for id in missing {
            self.delete(&id, changes.version);
        }
    }

    /// Records a version of the replica, and drops the oldest one beyond
    /// [`MAX_VERSIONS`].
    fn record_version(&mut self, version: RowVersion) {
        if self.version() != Some(version) {
            self.versions.push_back(version);
        }
        if self.versions.len() > MAX_VERSIONS {
            self.versions.pop_front();
        }
    }

    /// Inserts, replaces or deletes a row.
    fn apply_row(&mut self, row: &Row, version: RowVersion, is_same: &impl Fn(&Row, &Row) -> bool) {
        let key = &row.id.key;
        if row.value.is_none() {
            // The version of a deleted row may be that of its last write, so the deletion
            // gets the version of the changes.
            return self.delete(&row.id, version);
        }
        match self.rows.get(key) {
            Some(known) if is_same(known, row) => {}
            Some(_) => {
                self.rows.insert(key.clone(), row.clone());
            }
            None => {
                self.deletions.retain(|(_, id)| id.key != *key);
                self.rows.insert(key.clone(), row.clone());
            }
        }
    }

    /// Deletes a row and records the deletion. If the oldest deletion is dropped, so are
    /// the versions before it, since the changes after them are no longer complete.
    fn delete(&mut self, id: &RowId, version: RowVersion) {
        if self.rows.remove(&id.key).is_none() {
            return;
        }
        self.deletions.push_back((version, id.clone()));
        if self.deletions.len() > MAX_DELETIONS
            && let Some((dropped, _)) = self.deletions.pop_front()
        {
            self.versions.retain(|kept| *kept >= dropped);
        }
    }

    /// Returns whether there is anything to send to a follower at the version `after`.
    pub fn has_changes_after(&self, after: Option<RowVersion>) -> bool {
        let is_newer = |version: RowVersion| after < Some(version);
        let mut deletions = self.deletions.iter().rev();
        match self.can_send_changes_after(after) {
            true => {
                self.rows.values().any(|row| is_newer(row.version))
                    || deletions.any(|(version, _)| is_newer(*version))
            }
            false => self.version().is_some(),
        }
    }

    /// Returns whether a follower at the version `after` can receive changes instead of the
    /// whole table. A follower ahead of this replica needs no rows.
    fn can_send_changes_after(&self, after: Option<RowVersion>) -> bool {
        let is_ahead = |after: &RowVersion| Some(*after) > self.version();
        let is_recorded = |after: &RowVersion| self.versions.binary_search(after).is_ok();
        after.is_some_and(|after| is_ahead(&after) || is_recorded(&after))
    }

    /// Returns what a follower at the version `after` is missing, or `None` before the
    /// first changes.
    pub fn changes_after(&self, after: Option<RowVersion>) -> Option<TableChanges> {
        let version = self.version()?;
        let Some(after) = after.filter(|_| self.can_send_changes_after(after)) else {
            return Some(TableChanges {
                is_whole: true,
                version,
                rows: self.rows.values().cloned().collect(),
            });
        };
        let changed = self.rows.values().filter(|row| row.version > after);
        let deletions = self.deletions.iter();
        let deleted = deletions.filter(|(version, _)| *version > after);
        let deleted = deleted.map(|(version, id)| Row {
            id: id.clone(),
            version: *version,
            value: None,
        });
        let mut rows: Vec<Row> = changed.cloned().chain(deleted).collect();
        rows.sort_by_key(|row| row.version);
        Some(TableChanges {
            is_whole: false,
            version,
            rows,
        })
    }
}
