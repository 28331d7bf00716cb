//! Transactions of many hosts, joined into one at a time for each partition.
//!
//! A partition of the store applies one transaction after another, however
//! little each holds, and every call counts against the rate of all hosts
//! together. With hundreds of hosts that write a little each, a host alone has
//! nothing to gather. So the hosts send the transactions of a partition to one
//! of them, which joins whatever waits there into the next one.
//!
//! Nothing is agreed for that, and the joining host keeps nothing that its
//! senders lack. Each part carries its own conditions, so a part that was
//! applied here and is sent again elsewhere fails them; two hosts that join
//! the same partition only join less. When the conditions of a joined
//! transaction fail, the rows that come back tell whose they are: those parts
//! end with the conflict, and the others go again.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use rosebend_state::deployment::{
    Condition, MAX_TRANSACTION_ENTRIES, Row, RowId, RowVersion, Transaction,
};

use crate::gateway::pending_changes::Answer;

/// Most bytes of the values of one transaction before their encoding, which
/// adds a third; a call holds 1 MB.
const MAX_BYTES: usize = 600_000;
/// Rows whose newest version is remembered, about 400 bytes each. A partition
/// with 100 turns a second needs the last few seconds of them, since who writes
/// under an older version has read it within the last turn.
const MAX_RECENT: usize = 1_024;

/// The share of the store's writes that joined transactions use when every
/// partition has some waiting. The rest is for hosts that commit by themselves
/// while their gatherer is away, for deletions and for what comes again.
const WRITES_SHARE: f64 = 0.75;

/// Least time between the starts of two transactions of a partition, with which all
/// partitions together stay within the rate that the store declares. Calls beyond
/// the rate are refused and sent again, which makes a burst last longer.
pub fn pace(partitions: u64, writes_per_s: u64) -> Duration {
    let joined_per_s = writes_per_s as f64 * WRITES_SHARE;
    Duration::from_secs_f64(partitions as f64 / joined_per_s.max(1.0))
}

/// Transactions of one partition whose answers are late, at most. Copies of each go to the
/// store, and all partitions may have as many.
const MAX_LATE: usize = 3;

/// Names a part until its outcome is known.
pub type PartId = u64;

/// Names a joined transaction whose answer is late.
pub type LateId = u64;

/// One host's transaction.
#[derive(Debug)]
struct Part {
    id: PartId,
    transaction: Transaction,
}

/// The transactions of one partition that wait to be joined, and those on their
/// way.
///
/// One joined transaction is on its way at a time, beside a few whose answers are late.
/// No row that one of their parts writes stands in another part, and parts that require a
/// row which none writes require the same version of it.
#[derive(Debug, Default)]
pub struct GroupCommit {
    waiting: VecDeque<Part>,
    on_its_way: Vec<Part>,
    late: HashMap<LateId, Vec<Part>>,
    recent: Recent,
    next_id: PartId,
    next_late: LateId,
}

impl GroupCommit {
    /// Adds a host's transaction.
    pub fn submit(&mut self, transaction: Transaction) -> PartId {
        self.next_id += 1;
        let id = self.next_id;
        self.waiting.push_back(Part { id, transaction });
        id
    }

    /// Number of parts whose outcome is open.
    pub fn open_parts(&self) -> usize {
        let late: usize = self.late.values().map(Vec::len).sum();
        self.waiting.len() + self.on_its_way.len() + late
    }

    /// Whether parts wait to be joined.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Counts the transaction on its way as late, so that the next one goes beside it. None
    /// when none is on its way or too many are late.
    pub fn go_on(&mut self) -> Option<LateId> {
        if self.on_its_way.is_empty() || self.late.len() >= MAX_LATE {
            return None;
        }
        self.next_late += 1;
        let parts = std::mem::take(&mut self.on_its_way);
        self.late.insert(self.next_late, parts);
        Some(self.next_late)
    }

    /// Joins what waits into the next transaction, unless one is on its way that is not
    /// late, or nothing waits but rows of late ones. Parts that are known to conflict end
    /// here, without a call.
    pub fn next_transaction(&mut self) -> (Option<Transaction>, Vec<(PartId, Answer)>) {
        let mut ended = Vec::new();
        if !self.on_its_way.is_empty() {
            return (None, ended);
        }
        let mut joined = Joined::default();
        for part in self.late.values().flatten() {
            joined.note_rows(&part.transaction);
        }
        for part in std::mem::take(&mut self.waiting) {
            if let Some(rows) = self.recent.conflict(&part.transaction) {
                ended.push((part.id, Answer::Conflict(rows)));
            } else if joined.take(&part.transaction) {
                self.on_its_way.push(part);
            } else {
                self.waiting.push_back(part);
            }
        }
        let is_empty = self.on_its_way.is_empty();
        ((!is_empty).then_some(joined.transaction), ended)
    }

    /// Takes the answer to the joined transaction on its way, and tells what it
    /// means to each of its parts. Parts that are not told wait to go again.
    pub fn answered(&mut self, answer: Answer) -> Vec<(PartId, Answer)> {
        let parts = std::mem::take(&mut self.on_its_way);
        self.conclude(parts, answer)
    }

    /// The same for a transaction whose answer was late.
    pub fn answered_late(&mut self, late: LateId, answer: Answer) -> Vec<(PartId, Answer)> {
        let parts = self.late.remove(&late).unwrap_or_default();
        self.conclude(parts, answer)
    }

    fn conclude(&mut self, parts: Vec<Part>, answer: Answer) -> Vec<(PartId, Answer)> {
        match answer {
            Answer::Applied(version) => {
                for part in &parts {
                    self.recent.note_applied(&part.transaction, version);
                }
                tell_all(parts, &Answer::Applied(version))
            }
            Answer::Conflict(rows) => self.conflicted(parts, &rows),
            Answer::NotKnown => tell_all(parts, &Answer::NotKnown),
        }
    }

    fn conflicted(&mut self, parts: Vec<Part>, rows: &[Row]) -> Vec<(PartId, Answer)> {
        let present: HashMap<&RowId, &Row> = rows.iter().map(|row| (&row.id, row)).collect();
        let holds = |condition: &Condition| {
            let version = present.get(&condition.row).map_or(0, |row| row.version);
            version == condition.version
        };
        let (again, failed): (Vec<Part>, Vec<Part>) = parts
            .into_iter()
            .partition(|part| part.transaction.conditions.iter().all(holds));
        if failed.is_empty() {
            // Nobody's condition failed by these rows: the answer is of something
            // else, and going again could go on for ever.
            return tell_all(again, &Answer::NotKnown);
        }
        for row in rows {
            self.recent.note(row.clone());
        }
        for part in again.into_iter().rev() {
            self.waiting.push_front(part);
        }
        let conflict = |part: Part| {
            let conditions = part.transaction.conditions.iter();
            let rows = conditions.filter_map(|condition| present.get(&condition.row).copied());
            (part.id, Answer::Conflict(rows.cloned().collect()))
        };
        failed.into_iter().map(conflict).collect()
    }
}

fn tell_all(parts: Vec<Part>, answer: &Answer) -> Vec<(PartId, Answer)> {
    let parts = parts.into_iter();
    parts.map(|part| (part.id, answer.clone())).collect()
}

/// A transaction that is being joined.
#[derive(Default)]
struct Joined {
    transaction: Transaction,
    /// Rows that its parts, and transactions that are late, write or delete.
    changed: HashSet<RowId>,
    /// Rows that they require and leave as they are.
    required: HashMap<RowId, RowVersion>,
    entries: usize,
    bytes: usize,
}

impl Joined {
    /// Takes a part in, if it has room and its rows go with those of the other parts. The
    /// first part always has room.
    fn take(&mut self, part: &Transaction) -> bool {
        let (entries, bytes) = (part.entries(), part.value_bytes());
        let has_room =
            self.entries + entries <= MAX_TRANSACTION_ENTRIES && self.bytes + bytes <= MAX_BYTES;
        let is_first = self.entries == 0;
        if !self.goes_with(part) || !(has_room || is_first) {
            return false;
        }
        self.entries += entries;
        self.bytes += bytes;
        self.note_rows(part);
        let joined = &mut self.transaction;
        for condition in &part.conditions {
            if !joined.conditions.contains(condition) {
                joined.conditions.push(condition.clone());
            }
        }
        joined.writes.extend(part.writes.iter().cloned());
        joined.deletes.extend(part.deletes.iter().cloned());
        true
    }

    fn goes_with(&self, part: &Transaction) -> bool {
        let is_apart = part.rows().all(|row| !self.changed.contains(row));
        let leaves = |row: &RowId| !self.required.contains_key(row);
        let agrees = |condition: &Condition| {
            let version = self.required.get(&condition.row);
            version.is_none_or(|version| *version == condition.version)
        };
        is_apart && part.changed_rows().all(leaves) && part.conditions.iter().all(agrees)
    }

    fn note_rows(&mut self, part: &Transaction) {
        self.changed.extend(part.changed_rows().cloned());
        for condition in &part.conditions {
            if !self.changed.contains(&condition.row) {
                let (row, version) = (condition.row.clone(), condition.version);
                self.required.insert(row, version);
            }
        }
    }
}

/// Conditioned rows as they were last written or read here. A row may be newer
/// in the store, never older.
#[derive(Debug, Default)]
struct Recent {
    rows: HashMap<RowId, Row>,
    /// The rows in the order in which they became known; the oldest yield.
    order: VecDeque<RowId>,
}

impl Recent {
    /// The present rows of a transaction's conditions, when one of them is known
    /// to have failed. It saves the call that would only say so.
    fn conflict(&self, transaction: &Transaction) -> Option<Vec<Row>> {
        let mut rows = Vec::new();
        let mut has_failed = false;
        for condition in &transaction.conditions {
            // A row that is not known, or known from before, may be any.
            let row = self.rows.get(&condition.row);
            let row = row.filter(|row| row.version >= condition.version)?;
            has_failed |= row.version > condition.version;
            rows.push(row.clone());
        }
        has_failed.then_some(rows)
    }

    /// Takes note of what a transaction left of its conditioned rows.
    fn note_applied(&mut self, transaction: &Transaction, version: RowVersion) {
        for row in &transaction.deletes {
            self.rows.remove(row);
        }
        for condition in &transaction.conditions {
            let mut writes = transaction.writes.iter();
            if let Some(write) = writes.find(|write| write.row == condition.row) {
                self.note(Row {
                    id: write.row.clone(),
                    version,
                    value: Some(write.value.clone()),
                });
            }
        }
    }

    fn note(&mut self, row: Row) {
        match self.rows.get_mut(&row.id) {
            Some(known) if known.version >= row.version => return,
            Some(known) => *known = row,
            None => {
                self.order.push_back(row.id.clone());
                self.rows.insert(row.id.clone(), row);
            }
        }
        while self.order.len() > MAX_RECENT {
            if let Some(oldest) = self.order.pop_front() {
                self.rows.remove(&oldest);
            }
        }
    }
}
