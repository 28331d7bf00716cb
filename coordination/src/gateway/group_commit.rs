//! Group commit: batches the transactions of many hosts into one at a time for each
//! partition of the store.
//!
//! A partition of the store applies one transaction after another, however few rows
//! each of them changes, and every call counts against a rate limit that all hosts
//! share. With hundreds of hosts that each write a little, no single host has enough
//! transactions to form a batch. So the hosts send the transactions of a partition to
//! one of them, the batcher, which combines all that are pending there into the next
//! batch.
//!
//! This needs no agreement between hosts, and a batcher keeps no state that the senders
//! lack. Each entry of a batch carries its own conditions, and these fail if the entry
//! was already applied through another host. If two hosts batch the same partition, each
//! of them only forms smaller batches. If the conditions of a batch fail, the rows that
//! the store returns show which entries they belong to: those entries end with the
//! conflict, and the others are sent again.

use std::collections::{HashMap, HashSet, VecDeque};

use rosebend_state::deployment::{
    Condition, MAX_TRANSACTION_BYTES, MAX_TRANSACTION_ENTRIES, Row, RowId, RowVersion, Transaction,
};

use crate::gateway::pending_changes::Answer;

/// Maximum number of rows whose newest version is cached, at about 400 bytes each. A
/// partition with 100 turns a second needs the rows of the last few seconds, because a
/// transaction that requires an outdated version has read it within the last turn.
const MAX_RECENT_ROWS: usize = 1_024;

/// Maximum number of overdue batches of one partition. The store client sends
/// further copies of a call that has no answer, and every partition may have this many
/// overdue batches.
const MAX_OVERDUE: usize = 3;

/// Identifies a batch entry until its outcome is known.
pub type BatchEntryId = u64;

/// Identifies an overdue batch, one whose answer did not arrive in time.
pub type OverdueBatchId = u64;

/// One host's transaction within a batch.
#[derive(Debug)]
struct BatchEntry {
    id: BatchEntryId,
    transaction: Transaction,
    /// Whether the entry is sent in a batch of its own, because the store rejected a batch
    /// that contained it.
    is_isolated: bool,
}

/// The batch entries of one partition: those that are pending, and those of batches that
/// the store has not answered yet.
///
/// Besides a few overdue batches, at most one batch is in flight. A row that an entry of
/// these batches changes occurs in no other entry of them. If no entry changes a row, all
/// conditions on this row require the same version.
#[derive(Debug, Default)]
pub struct GroupCommit {
    pending: VecDeque<BatchEntry>,
    in_flight: Vec<BatchEntry>,
    overdue: HashMap<OverdueBatchId, Vec<BatchEntry>>,
    recent: RecentRows,
    next_id: BatchEntryId,
    next_overdue: OverdueBatchId,
}

impl GroupCommit {
    /// Adds a host's transaction to the pending entries.
    pub fn submit(&mut self, transaction: Transaction) -> BatchEntryId {
        self.next_id += 1;
        let id = self.next_id;
        self.pending.push_back(BatchEntry {
            id,
            transaction,
            is_isolated: false,
        });
        id
    }

    /// Returns the number of entries whose outcome is not known yet.
    pub fn open_entries(&self) -> usize {
        let overdue: usize = self.overdue.values().map(Vec::len).sum();
        self.pending.len() + self.in_flight.len() + overdue
    }

    /// Returns whether any entry is in no batch yet.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Marks the batch in flight as overdue, so that the next batch can be sent beside it.
    /// Returns `None` if no batch is in flight or too many are overdue.
    pub fn mark_overdue(&mut self) -> Option<OverdueBatchId> {
        if self.in_flight.is_empty() || self.overdue.len() >= MAX_OVERDUE {
            return None;
        }
        self.next_overdue += 1;
        let entries = std::mem::take(&mut self.in_flight);
        self.overdue.insert(self.next_overdue, entries);
        Some(self.next_overdue)
    }

    /// Combines pending entries into the next batch and returns its transaction. There is
    /// none while a batch that is not overdue is in flight, or if every pending entry
    /// contends with an overdue batch for a row. Also returns the entries that are known
    /// to conflict or to be rejected, which end without a call to the store.
    pub fn next_transaction(&mut self) -> (Option<Transaction>, Vec<(BatchEntryId, Answer)>) {
        let mut ended = Vec::new();
        if !self.in_flight.is_empty() {
            return (None, ended);
        }
        let mut batch = Batch::default();
        for entry in self.overdue.values().flatten() {
            batch.add_rows(&entry.transaction);
        }
        for entry in std::mem::take(&mut self.pending) {
            if !entry.transaction.fits_call() {
                ended.push((entry.id, Answer::Rejected));
            } else if let Some(rows) = self.recent.conflict(&entry.transaction) {
                ended.push((entry.id, Answer::Conflict(rows)));
            } else if !self.must_wait(&entry) && batch.try_add(&entry.transaction) {
                self.in_flight.push(entry);
            } else {
                self.pending.push_back(entry);
            }
        }
        let is_empty = self.in_flight.is_empty();
        ((!is_empty).then_some(batch.transaction), ended)
    }

    /// Returns whether an entry may not be in a batch with those in flight.
    fn must_wait(&self, entry: &BatchEntry) -> bool {
        let first = self.in_flight.first();
        first.is_some_and(|first| first.is_isolated || entry.is_isolated)
    }

    /// Processes the store's answer to the batch in flight. Returns the entries that end
    /// with it, each with its own answer; all others are pending again.
    pub fn record_answer(&mut self, answer: Answer) -> Vec<(BatchEntryId, Answer)> {
        let entries = std::mem::take(&mut self.in_flight);
        self.complete(entries, answer)
    }

    /// Processes the store's answer to an overdue batch, as [`Self::record_answer`] does
    /// for the batch in flight.
    pub fn record_overdue_answer(
        &mut self,
        overdue: OverdueBatchId,
        answer: Answer,
    ) -> Vec<(BatchEntryId, Answer)> {
        let entries = self.overdue.remove(&overdue).unwrap_or_default();
        self.complete(entries, answer)
    }

    fn complete(
        &mut self,
        entries: Vec<BatchEntry>,
        answer: Answer,
    ) -> Vec<(BatchEntryId, Answer)> {
        match answer {
            Answer::Applied(version) => {
                for entry in &entries {
                    self.recent.record_applied(&entry.transaction, version);
                }
                answer_all(entries, &Answer::Applied(version))
            }
            Answer::Conflict(rows) => self.resolve_conflict(entries, &rows),
            Answer::NotKnown => answer_all(entries, &Answer::NotKnown),
            Answer::Rejected if entries.len() == 1 => answer_all(entries, &Answer::Rejected),
            Answer::Rejected => {
                self.isolate(entries);
                Vec::new()
            }
        }
    }

    /// Makes the entries of a rejected batch pending again, each in a batch of its own. One
    /// of them may be the reason, or only all of them together.
    fn isolate(&mut self, entries: Vec<BatchEntry>) {
        for entry in entries.into_iter().rev() {
            self.pending.push_front(BatchEntry {
                is_isolated: true,
                ..entry
            });
        }
    }

    /// Returns the entries whose conditions failed, and makes the others pending again.
    fn resolve_conflict(
        &mut self,
        entries: Vec<BatchEntry>,
        rows: &[Row],
    ) -> Vec<(BatchEntryId, Answer)> {
        let present: HashMap<&RowId, &Row> = rows.iter().map(|row| (&row.id, row)).collect();
        let holds = |condition: &Condition| {
            let version = present.get(&condition.row).map_or(0, |row| row.version);
            version == condition.version
        };
        let (retried, failed): (Vec<BatchEntry>, Vec<BatchEntry>) = entries
            .into_iter()
            .partition(|entry| entry.transaction.conditions.iter().all(holds));
        if failed.is_empty() {
            // The returned rows satisfy the conditions of all entries, so the conflict has
            // another cause and could recur at every retry.
            return answer_all(retried, &Answer::NotKnown);
        }
        for entry in &failed {
            self.recent.evict_absent(&entry.transaction, &present);
        }
        for row in rows {
            self.recent.record(row.clone());
        }
        for entry in retried.into_iter().rev() {
            self.pending.push_front(entry);
        }
        let conflict = |entry: BatchEntry| {
            let conditions = entry.transaction.conditions.iter();
            let rows = conditions.filter_map(|condition| present.get(&condition.row).copied());
            (entry.id, Answer::Conflict(rows.cloned().collect()))
        };
        failed.into_iter().map(conflict).collect()
    }
}

/// Returns the same answer for each entry.
fn answer_all(entries: Vec<BatchEntry>, answer: &Answer) -> Vec<(BatchEntryId, Answer)> {
    let entries = entries.into_iter();
    entries.map(|entry| (entry.id, answer.clone())).collect()
}

/// A batch that is being formed.
#[derive(Default)]
struct Batch {
    transaction: Transaction,
    /// The rows that its entries, and those of overdue batches, write or delete.
    changed: HashSet<RowId>,
    /// The rows that none of these entries changes, with the version that the conditions
    /// of the entries require.
    required: HashMap<RowId, RowVersion>,
    /// Number of entries of `transaction` as the store counts them, which limits them to
    /// [`MAX_TRANSACTION_ENTRIES`].
    transaction_entries: usize,
    /// Maximum size of `transaction` in bytes, encoded.
    bytes: usize,
}

impl Batch {
    /// Adds an entry and returns true if the batch has room for it and it is compatible
    /// with the other entries.
    fn try_add(&mut self, entry: &Transaction) -> bool {
        let (transaction_entries, bytes) = (entry.entries(), entry.max_encoded_bytes());
        let has_room = self.transaction_entries + transaction_entries <= MAX_TRANSACTION_ENTRIES
            && self.bytes + bytes <= MAX_TRANSACTION_BYTES;
        if !has_room || !self.is_compatible(entry) {
            return false;
        }
        self.transaction_entries += transaction_entries;
        self.bytes += bytes;
        self.add_rows(entry);
        let combined = &mut self.transaction;
        for condition in &entry.conditions {
            if !combined.conditions.contains(condition) {
                combined.conditions.push(condition.clone());
            }
        }
        combined.writes.extend(entry.writes.iter().cloned());
        combined.deletes.extend(entry.deletes.iter().cloned());
        true
    }

    /// Returns whether an entry contends with no other entry for a row: neither changes a
    /// row that the other has, and their conditions on a row require the same version.
    fn is_compatible(&self, entry: &Transaction) -> bool {
        let is_disjoint = entry.rows().all(|row| !self.changed.contains(row));
        let is_not_required = |row: &RowId| !self.required.contains_key(row);
        let is_same_version = |condition: &Condition| {
            let version = self.required.get(&condition.row);
            version.is_none_or(|version| *version == condition.version)
        };
        is_disjoint
            && entry.changed_rows().all(is_not_required)
            && entry.conditions.iter().all(is_same_version)
    }

    /// Adds the rows of an entry to those that later entries are checked against.
    fn add_rows(&mut self, entry: &Transaction) {
        self.changed.extend(entry.changed_rows().cloned());
        for condition in &entry.conditions {
            if !self.changed.contains(&condition.row) {
                let (row, version) = (condition.row.clone(), condition.version);
                self.required.insert(row, version);
            }
        }
    }
}

/// A cache of rows that conditions refer to, as this host last wrote or read them. A row
/// may be newer in the store, or deleted, never older.
#[derive(Debug, Default)]
struct RecentRows {
    rows: HashMap<RowId, Row>,
    /// The rows in the order in which they were added; the oldest is evicted first.
    order: VecDeque<RowId>,
}

impl RecentRows {
    /// Returns the cached rows of a transaction's conditions if they show that one of the
    /// conditions fails. This saves a call to the store that would end in a conflict.
    fn conflict(&self, transaction: &Transaction) -> Option<Vec<Row>> {
        let mut rows = Vec::new();
        let mut has_failed = false;
        for condition in &transaction.conditions {
            // A row that is not cached, or cached with an older version than the condition
            // requires, does not show whether the condition holds.
            let row = self.rows.get(&condition.row);
            let row = row.filter(|row| row.version >= condition.version)?;
            has_failed |= row.version > condition.version;
            rows.push(row.clone());
        }
        has_failed.then_some(rows)
    }

    /// Updates the rows of a transaction's conditions to what it wrote or deleted.
    fn record_applied(&mut self, transaction: &Transaction, version: RowVersion) {
        for row in &transaction.deletes {
            self.rows.remove(row);
        }
        for condition in &transaction.conditions {
            let mut writes = transaction.writes.iter();
            if let Some(write) = writes.find(|write| write.row == condition.row) {
                self.record(Row {
                    id: write.row.clone(),
                    version,
                    value: Some(write.value.clone()),
                });
            }
        }
    }

    /// Removes the rows of a transaction's conditions that the store does not have. They
    /// were deleted by another host, or by a transaction whose answer was lost.
    fn evict_absent(&mut self, transaction: &Transaction, present: &HashMap<&RowId, &Row>) {
        for condition in &transaction.conditions {
            if !present.contains_key(&condition.row) {
                self.rows.remove(&condition.row);
            }
        }
    }

    /// Caches a row unless the cached version is at least as new, and evicts the oldest
    /// rows beyond [`MAX_RECENT_ROWS`].
    fn record(&mut self, row: Row) {
        match self.rows.get_mut(&row.id) {
            Some(known) if known.version >= row.version => return,
            Some(known) => *known = row,
            None => {
                self.order.push_back(row.id.clone());
                self.rows.insert(row.id.clone(), row);
            }
        }
        while self.order.len() > MAX_RECENT_ROWS {
            if let Some(oldest) = self.order.pop_front() {
                self.rows.remove(&oldest);
            }
        }
    }
}
