//! A table of the store as a host knows it, for itself and for hosts that follow it.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::time::Duration;

use rosebend_state::deployment::{Row, RowId, RowVersion};

/// Deletions that are remembered. A follower that missed more takes the whole table.
const MAX_DELETIONS: usize = 512;
/// Versions that are remembered: minutes of changes.
const MAX_STEPS: usize = 512;

/// Rows of a table, as read from the store or sent by another host.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TableChanges {
    /// Whether these are all rows of the table; rows that it lacks are gone.
    pub is_whole: bool,
    /// Version of the store as of which they are known.
    pub version: RowVersion,
    /// The rows, in the order of their changes.
    pub rows: Vec<Row>,
}

/// What a host knows of a table.
///
/// It only moves forward: changes of an older version than its own change nothing.
#[derive(Debug, Default)]
pub struct TableReplica {
    rows: BTreeMap<String, Row>,
    /// Rows that were deleted, the latest last.
    deletions: VecDeque<(RowVersion, RowId)>,
    /// Versions as of which the table was known here, the latest last. Only a follower
    /// that knows the table as of one of them can be sent the changes since: for one
    /// that learned of it elsewhere in between, this host may have missed a change that
    /// was reverted.
    steps: VecDeque<RowVersion>,
    /// When the store had nothing newer, for all that is known.
    current_at: Duration,
}

impl TableReplica {
    /// Version of the store as of which the table is known; none before the first
    /// changes.
    pub fn version(&self) -> Option<RowVersion> {
        self.steps.back().copied()
    }

    /// How long ago the store had nothing newer; none before the first changes.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.version().map(|_| now.saturating_sub(self.current_at))
    }

    /// Applies changes that were current at `current_at`. `is_same` returns whether a
    /// row changed in nothing that hosts act on; such a change is not passed on. Returns
    /// whether the changes were not older than what is known.
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
        self.note_step(changes.version);
        self.current_at = self.current_at.max(current_at);
        true
    }

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

    fn note_step(&mut self, version: RowVersion) {
        if self.version() != Some(version) {
            self.steps.push_back(version);
        }
        if self.steps.len() > MAX_STEPS {
            self.steps.pop_front();
        }
    }

    fn apply_row(&mut self, row: &Row, version: RowVersion, is_same: &impl Fn(&Row, &Row) -> bool) {
        let key = &row.id.key;
        if row.value.is_none() {
            // The row's own version may be that of its last write.
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

    fn delete(&mut self, id: &RowId, version: RowVersion) {
        if self.rows.remove(&id.key).is_none() {
            return;
        }
        self.deletions.push_back((version, id.clone()));
        if self.deletions.len() > MAX_DELETIONS
            && let Some((forgotten, _)) = self.deletions.pop_front()
        {
            self.steps.retain(|step| *step >= forgotten);
        }
    }

    /// Whether there is anything to send to a follower that knows the table as of `after`.
    pub fn has_changes_after(&self, after: Option<RowVersion>) -> bool {
        let is_newer = |version: RowVersion| after < Some(version);
        let mut deletions = self.deletions.iter().rev();
        match self.is_followed_from(after) {
            true => {
                self.rows.values().any(|row| is_newer(row.version))
                    || deletions.any(|(version, _)| is_newer(*version))
            }
            false => self.version().is_some(),
        }
    }

    /// Whether a follower can be sent changes instead of all rows. One that is ahead
    /// lacks nothing.
    fn is_followed_from(&self, after: Option<RowVersion>) -> bool {
        let is_ahead = |after: &RowVersion| Some(*after) > self.version();
        let is_step = |after: &RowVersion| self.steps.binary_search(after).is_ok();
        after.is_some_and(|after| is_ahead(&after) || is_step(&after))
    }

    /// What a follower lacks that knows the table as of `after`; none before the
    /// first changes.
    pub fn changes_after(&self, after: Option<RowVersion>) -> Option<TableChanges> {
        let version = self.version()?;
        let Some(after) = after.filter(|_| self.is_followed_from(after)) else {
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
