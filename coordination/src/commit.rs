//! Group commits: one transaction for the records of many programs.
//!
//! Every transaction rewrites the row of each shard that it touches, on the
//! condition that the row still has the version that this owner gave it last.
//! That one condition serves three ends:
//!
//! - **Fence.** A takeover rewrites the row too, so an owner that was paused
//!   writes nothing after it.
//! - **Order.** A transaction that was delayed on its way finds the row newer
//!   and has no effect, so an old record never replaces a newer one, and no
//!   version need be remembered for each record.
//! - **Lost answers.** The row carries the id of its last write. When an
//!   answer is lost, the row tells whether the transaction took effect: if it
//!   carries the id, it did. If not, the same transaction is sent again, and
//!   its conditions keep it from taking effect twice.
//!
//! One transaction is under way at a time, so the number of writes grows with
//! time and with entries, and not with calls.
//!
//! ```
//! use std::time::Duration;
//! use rosebend_coordination::commit::{CommitBatch, Committer, CommitterConfig, RecordPut};
//!
//! let mut committer = Committer::new(CommitterConfig::default());
//! committer.own(3, 1);
//! committer.push(3, 1, 77, vec![RecordPut { key: "program/x".into(), value: "{}".into() }]);
//! let batch: CommitBatch = committer.next_batch(Duration::ZERO).expect("a record waits");
//! assert_eq!(batch.shards.len(), 1);
//! ```

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::time::Duration;

use rosebend_state::deployment::MAX_TRANSACTION_ENTRIES;
use rosebend_state::id::{Epoch, Shard};

/// Names a commit of the owner; it is told when the commit is durable.
pub type CommitId = u64;
/// Names a transaction, in the rows of its shards.
pub type WriteId = u64;

/// Most doublings of the interval while the table refuses, for 1.6 s at 25 ms.
const MAX_DOUBLINGS: u32 = 6;

/// Limits of the group commits. The store takes 1 MB on the wire, where a value
/// is a third longer than here.
#[derive(Clone, Copy, Debug)]
pub struct CommitterConfig {
    /// Shortest time between the starts of two transactions.
    pub interval: Duration,
    /// Most rows in one transaction: records and the rows of their shards.
    pub max_rows: usize,
    /// Most bytes of records in one transaction, unless one is larger.
    pub max_bytes: usize,
}

impl Default for CommitterConfig {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(25),
            max_rows: MAX_TRANSACTION_ENTRIES,
            max_bytes: 700_000,
        }
    }
}

/// A record to write under a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecordPut {
    /// The row's key.
    pub key: String,
    /// The row's value, as JSON.
    pub value: String,
}

/// A shard's part of a transaction.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShardWrite {
    /// The shard.
    pub shard: Shard,
    /// This owner's epoch.
    pub epoch: Epoch,
    /// The version that the shard's row must have.
    pub version: u64,
}

/// One transaction: all of it takes effect or none.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CommitBatch {
    /// Goes into the row of each shard.
    pub write_id: WriteId,
    /// The shards whose rows are rewritten.
    pub shards: Vec<ShardWrite>,
    /// The records, with distinct keys; a later record replaced an earlier one.
    pub records: Vec<RecordPut>,
}

/// How a transaction ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BatchOutcome {
    /// It took effect and gave this version to its rows.
    Committed {
        /// Version of every row written.
        version: u64,
    },
    /// The row of a shard had another version; nothing was written.
    Conflict,
    /// The table refused it for now; nothing was written.
    Refused,
    /// No answer came.
    Unknown,
}

/// What the rows of a transaction's shards say after a lost answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShardRowView {
    /// The shard.
    pub shard: Shard,
    /// Version of its row.
    pub version: u64,
    /// Id of the row's last write.
    pub write_id: WriteId,
}

/// What follows from an ended transaction.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CommitReport {
    /// Commits that are durable now, in the order of their pushes.
    pub committed: Vec<(Shard, CommitId)>,
    /// Shards that have another owner; their waiting commits are void.
    pub lost: Vec<Shard>,
    /// The rows of these shards must be read and passed to
    /// [`Committer::settle`].
    pub read_rows: Vec<Shard>,
}

#[derive(Debug)]
struct Pending {
    shard: Shard,
    epoch: Epoch,
    commit: CommitId,
    records: Vec<RecordPut>,
}

#[derive(Debug)]
struct InFlight {
    batch: CommitBatch,
    commits: Vec<Pending>,
}

/// Joins the commits of one owner into transactions.
#[derive(Debug)]
pub struct Committer {
    config: CommitterConfig,
    /// Epoch and version of the row of each shard that this process owns.
    owned: HashMap<Shard, (Epoch, u64)>,
    /// Commits that wait, oldest first.
    pending: VecDeque<Pending>,
    /// The one transaction under way.
    in_flight: Option<InFlight>,
    /// Whether the transaction under way must be sent again.
    resend: bool,
    /// Refusals in a row, each of which doubles the wait for the next start.
    refusals: u32,
    last_start: Option<Duration>,
    next_write_id: WriteId,
}

impl Committer {
    /// A committer that owns no shard.
    pub fn new(config: CommitterConfig) -> Self {
        Self {
            config,
            owned: HashMap::new(),
            pending: VecDeque::new(),
            in_flight: None,
            resend: false,
            refusals: 0,
            last_start: None,
            next_write_id: 1,
        }
    }

    /// Starts write ids at a number that no other incarnation uses.
    pub fn with_first_write_id(mut self, first: WriteId) -> Self {
        self.next_write_id = first;
        self
    }

    /// Takes the shortest time between two transactions that follows from the
    /// number of entries.
    pub fn set_interval(&mut self, interval: Duration) {
        self.config.interval = interval;
    }

    /// An id for a transaction of this process that is not a group commit.
    pub fn take_write_id(&mut self) -> WriteId {
        let write_id = self.next_write_id;
        self.next_write_id += 1;
        write_id
    }

    /// Takes a shard whose row, as this process wrote it, has `version`, at
    /// epoch `epoch`.
    pub fn own_row(&mut self, shard: Shard, epoch: Epoch, version: u64) {
        self.owned.insert(shard, (epoch, version));
    }

    /// Takes a shard at an epoch, with the row's version not yet known.
    pub fn own(&mut self, shard: Shard, epoch: Epoch) {
        self.own_row(shard, epoch, 0);
    }

    /// Forgets a shard and the commits that wait for it.
    pub fn disown(&mut self, shard: Shard) {
        self.owned.remove(&shard);
        self.pending.retain(|pending| pending.shard != shard);
    }

    /// The version of an owned shard's row.
    pub fn row_version(&self, shard: Shard) -> Option<u64> {
        self.owned.get(&shard).map(|(_, version)| *version)
    }

    /// Whether a commit of this shard waits or is under way.
    pub fn is_busy(&self, shard: Shard) -> bool {
        let waits = self.pending.iter().any(|pending| pending.shard == shard);
        let under_way = self.in_flight.as_ref().is_some_and(|in_flight| {
            in_flight
                .batch
                .shards
                .iter()
                .any(|write| write.shard == shard)
        });
        waits || under_way
    }

    /// Whether no commit waits or is under way.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.in_flight.is_none()
    }

    /// Number of commits that wait.
    pub fn waiting(&self) -> usize {
        self.pending.len()
    }

    /// Adds a commit. One of a shard or epoch that is not owned is dropped:
    /// the owner is told of the loss by other means.
    pub fn push(&mut self, shard: Shard, epoch: Epoch, commit: CommitId, records: Vec<RecordPut>) {
        if self.owned.get(&shard).is_some_and(|owned| owned.0 == epoch) {
            self.pending.push_back(Pending {
                shard,
                epoch,
                commit,
                records,
            });
        }
    }

    /// When the next transaction may start, if any commit waits.
    pub fn next_start(&self) -> Option<Duration> {
        if self.in_flight.is_some() && !self.resend {
            return None;
        }
        if self.pending.is_empty() && !self.resend {
            return None;
        }
        let interval = self.config.interval * 2u32.pow(self.refusals.min(MAX_DOUBLINGS));
        Some(
            self.last_start
                .map_or(Duration::ZERO, |last| last + interval),
        )
    }

    /// The transaction to send now, if one is due.
    pub fn next_batch(&mut self, now: Duration) -> Option<CommitBatch> {
        if self.next_start()? > now {
            return None;
        }
        self.last_start = Some(now);
        if self.resend {
            self.resend = false;
            return self
                .in_flight
                .as_ref()
                .map(|in_flight| in_flight.batch.clone());
        }
        let commits = self.take_pending();
        let batch = self.build_batch(&commits);
        self.in_flight = Some(InFlight {
            batch: batch.clone(),
            commits,
        });
        Some(batch)
    }

    fn take_pending(&mut self) -> Vec<Pending> {
        let mut taken = Vec::new();
        let mut shards = HashSet::new();
        let mut records = 0;
        let mut bytes = 0;
        while let Some(next) = self.pending.front() {
            shards.insert(next.shard);
            records += next.records.len();
            bytes += next
                .records
                .iter()
                .map(|record| record.value.len())
                .sum::<usize>();
            // A shard's row is named twice, as a condition and as a write.
            let rows = records + 2 * shards.len();
            let full = rows > self.config.max_rows || bytes > self.config.max_bytes;
            if full && !taken.is_empty() {
                break;
            }
            taken.extend(self.pending.pop_front());
        }
        taken
    }

    fn build_batch(&mut self, commits: &[Pending]) -> CommitBatch {
        let write_id = self.take_write_id();
        let mut shards = BTreeMap::new();
        let mut records = BTreeMap::new();
        for pending in commits {
            let version = self.owned.get(&pending.shard).map_or(0, |owned| owned.1);
            let write = ShardWrite {
                shard: pending.shard,
                epoch: pending.epoch,
                version,
            };
            shards.insert(pending.shard, write);
            for record in &pending.records {
                records.insert(record.key.clone(), record.value.clone());
            }
        }
        CommitBatch {
            write_id,
            shards: shards.into_values().collect(),
            records: records
                .into_iter()
                .map(|(key, value)| RecordPut { key, value })
                .collect(),
        }
    }

    /// Takes the outcome of the transaction under way.
    pub fn ended(&mut self, write_id: WriteId, outcome: &BatchOutcome) -> CommitReport {
        let is_current = self
            .in_flight
            .as_ref()
            .is_some_and(|in_flight| in_flight.batch.write_id == write_id);
        if !is_current {
            return CommitReport::default();
        }
        match outcome {
            BatchOutcome::Committed { version } => self.commit_in_flight(*version),
            // The conflict may be with an earlier sending of this very
            // transaction, so the rows decide.
            BatchOutcome::Conflict | BatchOutcome::Unknown => self.read_in_flight_rows(),
            BatchOutcome::Refused => {
                self.resend = true;
                self.refusals += 1;
                CommitReport::default()
            }
        }
    }

    /// Takes the rows of the transaction's shards, read after a lost answer or
    /// a conflict. Without rows (the table did not answer) call
    /// [`Committer::settle_later`] and read again.
    pub fn settle(&mut self, rows: &[ShardRowView]) -> CommitReport {
        let Some(in_flight) = &self.in_flight else {
            return CommitReport::default();
        };
        let write_id = in_flight.batch.write_id;
        if let Some(row) = rows.iter().find(|row| row.write_id == write_id) {
            return self.commit_in_flight(row.version);
        }
        let lost: Vec<Shard> = in_flight
            .batch
            .shards
            .iter()
            .filter(|write| {
                !rows
                    .iter()
                    .any(|row| row.shard == write.shard && row.version == write.version)
            })
            .map(|write| write.shard)
            .collect();
        if lost.is_empty() {
            self.resend = true;
            return CommitReport::default();
        }
        self.requeue_without(&lost);
        CommitReport {
            lost,
            ..CommitReport::default()
        }
    }

    /// The rows of the transaction under way must still be read.
    pub fn settle_later(&self) -> CommitReport {
        self.read_in_flight_rows()
    }

    fn read_in_flight_rows(&self) -> CommitReport {
        let shards = self
            .in_flight
            .iter()
            .flat_map(|in_flight| &in_flight.batch.shards);
        CommitReport {
            read_rows: shards.map(|write| write.shard).collect(),
            ..CommitReport::default()
        }
    }

    fn commit_in_flight(&mut self, version: u64) -> CommitReport {
        let Some(in_flight) = self.in_flight.take() else {
            return CommitReport::default();
        };
        self.resend = false;
        self.refusals = 0;
        for write in &in_flight.batch.shards {
            if let Some(owned) = self.owned.get_mut(&write.shard)
                && owned.0 == write.epoch
            {
                owned.1 = version;
            }
        }
        let committed = in_flight
            .commits
            .iter()
            .map(|pending| (pending.shard, pending.commit))
            .collect();
        CommitReport {
            committed,
            ..CommitReport::default()
        }
    }

    /// Puts the commits of the other shards back in front, in their order.
    ///
    /// A delayed copy of the old transaction can never take effect: the row of
    /// a lost shard has another version for good.
    fn requeue_without(&mut self, lost: &[Shard]) {
        let Some(in_flight) = self.in_flight.take() else {
            return;
        };
        self.resend = false;
        for shard in lost {
            self.disown(*shard);
        }
        for pending in in_flight.commits.into_iter().rev() {
            if !lost.contains(&pending.shard) {
                self.pending.push_front(pending);
            }
        }
    }
}
