//! Changes of program ledgers, batched into transactions, for one partition.
//!
//! At most one transaction is in flight; changes that arrive meanwhile are queued
//! for the next one. Each ledger is written on the condition that its row still has
//! the version at which it was cached. If it has a newer one, the store's answer
//! contains the current ledger and the changes are applied to that.
//!
//! All changes are idempotent. A transaction whose answer was lost can therefore be
//! built again: whichever of the two copies reaches the store later fails its
//! condition.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use rosebend_state::deployment::{
    AttemptId, Condition, MAX_TRANSACTION_BYTES, MAX_TRANSACTION_ENTRIES, ProgramKey, Row, RowId,
    RowVersion, RowWrite, Transaction,
};
use rosebend_util::hash_parts;

use crate::gateway::escrow::slot::SlotId;
use crate::gateway::escrow::terms::EscrowTerms;
use crate::gateway::escrow::{Fences, GrantId, SLOTS};
use crate::gateway::history::{ledger_row, partition_of};
use crate::gateway::ledger::{
    Account, Generation, Ledger, ProcessId, ProcessReservations, ReservationOutcome,
    ReservationRequest,
};

/// Maximum size of the turn rows of a transaction, encoded. The rest is for ledgers.
pub const MAX_RECORD_BYTES: usize = MAX_TRANSACTION_BYTES / 5 * 4;
/// Transaction entries for one ledger: its condition and its write.
const LEDGER_ENTRIES: usize = 2;
/// Maximum number of transaction entries for the fences that a ledger depends on.
const MAX_FENCE_ENTRIES: usize = SLOTS as usize;
/// Maximum number of rows of a turn in one transaction.
pub const MAX_RECORD_ROWS: usize = MAX_TRANSACTION_ENTRIES - LEDGER_ENTRIES - MAX_FENCE_ENTRIES;

/// Identifies a change until its outcome is reported.
pub type ChangeId = u64;

/// A change of a program's ledger.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// Reserves tokens for a turn.
    Reserve {
        /// The turn.
        attempt: AttemptId,
        /// Maximum output tokens of the turn, which are reserved.
        max_output_tokens: u64,
        /// Budget of the program.
        budget_tokens: u64,
        /// Processes that are presumed dead. Their reservations may be written off
        /// if the turn does not fit the budget otherwise.
        dead_processes: Vec<ProcessId>,
        /// State of the escrow slots, which may have granted tokens of the budget
        /// that the ledger does not contain.
        escrow: EscrowTerms,
        /// Time for which the program's turns are kept after this turn.
        retention: Duration,
    },
    /// Settles a turn that ran on a reservation.
    Settle {
        /// The turn.
        attempt: AttemptId,
        /// Tokens that were delivered.
        tokens: u64,
        /// Record of the turn, which is written in the same transaction, or none if the
        /// route keeps no history.
        record: Option<TurnRecord>,
    },
    /// Settles a turn that ran on an escrow grant.
    SettleGrant {
        /// The turn.
        attempt: AttemptId,
        /// The grant.
        grant: GrantId,
        /// Tokens that were delivered.
        tokens: u64,
    },
}

/// The rows of a turn, and the ledger that they belong to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TurnRecord {
    /// Rows of the turn.
    pub rows: Vec<RowWrite>,
    /// Generation of the ledger with which the rows are deleted. They are written only
    /// beside a ledger of this generation, because they may refer to other rows of it.
    pub generation: Option<Generation>,
}

impl Change {
    /// Returns the turn that the change belongs to.
    const fn attempt(&self) -> &AttemptId {
        match self {
            Self::Reserve { attempt, .. }
            | Self::Settle { attempt, .. }
            | Self::SettleGrant { attempt, .. } => attempt,
        }
    }
}

/// The outcome of a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The change is durable.
    Durable,
    /// The budget has no room for the turn according to the cached ledger, which may
    /// be older than the ledger in the store.
    Exhausted,
    /// The program's ledger in the store cannot be decoded; nothing was written.
    Unreadable,
    /// The ledger that the turn's record belongs to was deleted; nothing was written.
    GenerationEnded,
    /// The store rejects the change, and would reject it again; nothing was written.
    Rejected,
}

/// The outcome of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// It was applied, and its rows have this version.
    Applied(RowVersion),
    /// A condition did not hold; these are the current rows.
    Conflict(Vec<Row>),
    /// It was not applied, or its outcome is unknown.
    NotKnown,
    /// The store rejected it, and would reject any copy of it; it was not applied.
    Rejected,
}

#[derive(Debug)]
struct PendingChange {
    id: ChangeId,
    program: ProgramKey,
    change: Change,
    /// Whether the change is sent in a transaction of its own, because the store rejected
    /// one that contained it.
    is_isolated: bool,
}

impl PendingChange {
    /// Returns the maximum number of entries that the change adds to a transaction.
    /// It adds fewer if the transaction contains the program's ledger already.
    fn max_entries(&self) -> usize {
        match &self.change {
            Change::Reserve { .. } => LEDGER_ENTRIES + MAX_FENCE_ENTRIES,
            Change::SettleGrant { .. } => LEDGER_ENTRIES,
            Change::Settle { .. } => LEDGER_ENTRIES + self.record_rows().len(),
        }
    }

    /// Returns the rows of the turn that the change settles.
    fn record_rows(&self) -> &[RowWrite] {
        match &self.change {
            Change::Settle {
                record: Some(record),
                ..
            } => &record.rows,
            _ => &[],
        }
    }

    /// Returns the maximum size of these rows, encoded.
    fn record_bytes(&self) -> usize {
        let rows = self.record_rows().iter();
        rows.map(RowWrite::max_encoded_bytes).sum()
    }
}

#[derive(Clone, Debug, Default)]
struct CachedLedger {
    version: RowVersion,
    ledger: Ledger,
}

/// The changes of one partition that are not durable yet, and its cached ledgers.
#[derive(Debug)]
pub struct PendingChanges {
    /// This process, which holds the reservations that it makes.
    own_process: ProcessId,
    /// Turns that run in this process and have requested or hold tokens.
    running: HashSet<AttemptId>,
    cached: HashMap<ProgramKey, CachedLedger>,
    /// Fences of the partition's escrow slots that were in the rows of a conflict.
    fences: Fences,
    queued: Vec<PendingChange>,
    in_flight: Vec<PendingChange>,
    /// Ledgers as the transaction in flight writes them.
    in_flight_ledgers: BTreeMap<ProgramKey, Ledger>,
    next_id: ChangeId,
}

impl PendingChanges {
    /// Creates an empty queue for a process, with no ledgers cached.
    pub fn new(own_process: ProcessId) -> Self {
        Self {
            own_process,
            running: HashSet::new(),
            cached: HashMap::new(),
            fences: Fences::new(),
            queued: Vec::new(),
            in_flight: Vec::new(),
            in_flight_ledgers: BTreeMap::new(),
            next_id: 0,
        }
    }

    /// Returns whether a turn runs in this process and has requested or holds tokens.
    pub fn is_running(&self, attempt: &AttemptId) -> bool {
        self.running.contains(attempt)
    }

    /// Returns the turns with a reservation in the program's expected ledger, grouped
    /// by the process that holds it.
    pub fn reservations_by_process(&self, program: &str) -> Vec<ProcessReservations> {
        self.expected_ledger(program).reservations_by_process()
    }

    /// Adds a change to the queue.
    pub fn submit(&mut self, program: ProgramKey, change: Change) -> ChangeId {
        match &change {
            Change::Reserve { attempt, .. } => {
                self.running.insert(attempt.clone());
            }
            Change::Settle { attempt, .. } | Change::SettleGrant { attempt, .. } => {
                self.running.remove(attempt);
            }
        }
        self.next_id += 1;
        let id = self.next_id;
        self.queued.push(PendingChange {
            id,
            program,
            change,
            is_isolated: false,
        });
        id
    }

    /// Caches a ledger that was read, unless a newer one is cached.
    pub fn cache(&mut self, program: &str, version: RowVersion, ledger: Ledger) {
        let cached = self.cached.entry(program.to_owned()).or_default();
        if version >= cached.version {
            *cached = CachedLedger { version, ledger };
        }
    }

    /// Returns whether the program's ledger is cached.
    pub fn has_cached_ledger(&self, program: &str) -> bool {
        self.cached.contains_key(program)
    }

    /// Returns the row of the program's cached ledger, if the store has such a row.
    pub fn cached_ledger_row(&self, program: &str) -> Option<Row> {
        let cached = self
            .cached
            .get(program)
            .filter(|cached| cached.version > 0)?;
        Some(Row {
            id: ledger_row(program),
            version: cached.version,
            value: Some(cached.ledger.encode()),
        })
    }

    /// Returns the version of the program's cached ledger, or zero if none is cached.
    pub fn cached_version(&self, program: &str) -> RowVersion {
        self.cached.get(program).map_or(0, |cached| cached.version)
    }

    /// Returns the generation of the program's cached ledger, if it has one.
    pub fn cached_generation(&self, program: &str) -> Option<Generation> {
        self.cached.get(program)?.ledger.generation()
    }

    /// Returns the longest retention time in the program's cached ledger.
    pub fn cached_retention(&self, program: &str) -> Duration {
        let cached = self.cached.get(program);
        cached.map_or(Duration::ZERO, |cached| cached.ledger.retention())
    }

    /// Returns whether the budget has room for a turn in the program's expected
    /// ledger.
    pub fn is_expected_to_fit(
        &self,
        program: &str,
        max_output_tokens: u64,
        budget_tokens: u64,
    ) -> bool {
        self.expected_ledger(program)
            .fits(max_output_tokens, budget_tokens)
    }

    /// Returns the tokens that count against the budget in the program's expected
    /// ledger.
    pub fn account(&self, program: &str) -> Account {
        self.expected_ledger(program).account()
    }

    /// Returns the cached ledger with all pending changes of the program applied.
    fn expected_ledger(&self, program: &str) -> Ledger {
        let cached = self.cached.get(program);
        let mut ledger = cached.cloned().unwrap_or_default().ledger;
        for pending in self.in_flight.iter().chain(&self.queued) {
            if pending.program == program {
                // A change that is not admitted leaves the ledger as it is.
                let _ = apply_change(&mut ledger, pending, &self.own_process, &self.fences);
            }
        }
        ledger
    }

    /// Removes a program's ledger from the cache, unless changes of the program are
    /// pending. It is read again when it is needed.
    pub fn evict(&mut self, program: &str) {
        let is_of_program = |pending: &PendingChange| pending.program == program;
        let is_open = self.queued.iter().chain(&self.in_flight).any(is_of_program);
        if !is_open {
            self.cached.remove(program);
        }
    }

    /// Returns the number of pending changes, queued or in flight.
    pub fn open_changes(&self) -> usize {
        self.queued.len() + self.in_flight.len()
    }

    /// Builds the next transaction, unless one is in flight or the queue is empty.
    /// Also returns the changes that end without being sent.
    pub fn next_transaction(&mut self) -> (Option<Transaction>, Vec<(ChangeId, Outcome)>) {
        let mut ended = Vec::new();
        if !self.in_flight.is_empty() {
            return (None, ended);
        }
        let mut max_changes = usize::MAX;
        loop {
            let rows = self.collect_changes(max_changes, &mut ended);
            if self.in_flight.is_empty() {
                return (None, ended);
            }
            let transaction = self.transaction(rows);
            if self.in_flight.len() == 1 || transaction.fits_call() {
                return (Some(transaction), ended);
            }
            // The size of the ledgers is known only now.
            max_changes = self.in_flight.len() / 2;
            let in_flight = std::mem::take(&mut self.in_flight);
            self.in_flight_ledgers.clear();
            self.queued.splice(0..0, in_flight);
        }
    }

    /// Moves at most `max_changes` changes from the queue into the next transaction, and
    /// returns the rows of the turns that they settle. Changes of one program stay in their
    /// order.
    fn collect_changes(
        &mut self,
        max_changes: usize,
        ended: &mut Vec<(ChangeId, Outcome)>,
    ) -> Vec<RowWrite> {
        let mut bytes = 0;
        let mut rows = Vec::new();
        let mut deferred: HashSet<ProgramKey> = HashSet::new();
        for pending in std::mem::take(&mut self.queued) {
            let entries =
                rows.len() + self.in_flight_ledgers.len() * LEDGER_ENTRIES + MAX_FENCE_ENTRIES;
            let record_bytes = pending.record_bytes();
            let has_room = self.in_flight.len() < max_changes
                && entries + pending.max_entries() <= MAX_TRANSACTION_ENTRIES
                && bytes + record_bytes <= MAX_RECORD_BYTES;
            let has_room = match self.in_flight.first() {
                None => true,
                Some(first) => has_room && !first.is_isolated && !pending.is_isolated,
            };
            if !has_room || deferred.contains(&pending.program) {
                deferred.insert(pending.program.clone());
                self.queued.push(pending);
                continue;
            }
            match self.apply(&pending) {
                Err(outcome) => {
                    self.running.remove(pending.change.attempt());
                    ended.push((pending.id, outcome));
                }
                Ok(()) => {
                    bytes += record_bytes;
                    rows.extend(pending.record_rows().iter().cloned());
                    self.in_flight.push(pending);
                }
            }
        }
        if self.in_flight.is_empty() {
            self.in_flight_ledgers.clear();
        }
        rows
    }

    /// Applies a change to the ledger that the next transaction writes.
    ///
    /// # Errors
    ///
    /// Returns the outcome of a change that the ledger does not admit.
    fn apply(&mut self, pending: &PendingChange) -> Result<(), Outcome> {
        let cached = self.cached.get(&pending.program);
        let ledger = self.in_flight_ledgers.entry(pending.program.clone());
        let ledger = ledger.or_insert_with(|| cached.cloned().unwrap_or_default().ledger);
        apply_change(ledger, pending, &self.own_process, &self.fences)
    }

    fn transaction(&mut self, mut writes: Vec<RowWrite>) -> Transaction {
        let in_flight = &self.in_flight;
        self.in_flight_ledgers
            .retain(|program, _| in_flight.iter().any(|pending| pending.program == *program));
        let mut conditions = self.fence_conditions();
        for (program, ledger) in &self.in_flight_ledgers {
            let row = ledger_row(program);
            let version = self.cached.get(program).map_or(0, |cached| cached.version);
            conditions.push(Condition {
                row: row.clone(),
                version,
            });
            writes.push(RowWrite {
                row,
                value: ledger.encode(),
            });
        }
        Transaction {
            conditions,
            writes,
            deletes: Vec::new(),
        }
    }

    /// Returns one condition for each fence that a reservation in flight depends on.
    fn fence_conditions(&self) -> Vec<Condition> {
        let mut conditions = Vec::new();
        for pending in &self.in_flight {
            let is_reserve = matches!(pending.change, Change::Reserve { .. });
            let Some(ledger) = self
                .in_flight_ledgers
                .get(&pending.program)
                .filter(|_| is_reserve)
            else {
                continue;
            };
            for (index, fence) in ledger.closed_at_fences() {
                let condition = Condition {
                    row: SlotId::new(partition_of(&pending.program), *index).fence_row(),
                    version: *fence,
                };
                if !conditions.contains(&condition) {
                    conditions.push(condition);
                }
            }
        }
        conditions
    }

    /// Stores the fences that are among the rows of a conflict.
    fn record_fences(&mut self, rows: &[Row]) {
        for row in rows {
            if let Some(index) = SlotId::index_from_fence_row(&row.id) {
                self.fences.insert(index, row.version);
            }
        }
    }

    /// Processes the answer to the transaction in flight, and returns the changes
    /// that it completes. The others are queued again, ahead of newer ones.
    pub fn handle_answer(&mut self, answer: Answer) -> Vec<(ChangeId, Outcome)> {
        let in_flight_ledgers = std::mem::take(&mut self.in_flight_ledgers);
        let in_flight = std::mem::take(&mut self.in_flight);
        match answer {
            Answer::Applied(version) => {
                for (program, ledger) in in_flight_ledgers {
                    self.cached
                        .insert(program, CachedLedger { version, ledger });
                }
                let ids = in_flight.into_iter().map(|pending| pending.id);
                return ids.map(|id| (id, Outcome::Durable)).collect();
            }
            Answer::Conflict(rows) => {
                self.record_fences(&rows);
                let previous: HashMap<&ProgramKey, Ledger> = in_flight_ledgers
                    .keys()
                    .filter_map(|program| Some((program, self.cached.get(program)?.ledger.clone())))
                    .collect();
                let programs = in_flight_ledgers.keys();
                let unreadable: HashSet<&ProgramKey> = programs
                    .filter(|program| !self.replace_cached_ledger(program, &rows))
                    .collect();
                let (abandoned, readable): (Vec<PendingChange>, Vec<PendingChange>) = in_flight
                    .into_iter()
                    .partition(|pending| unreadable.contains(&pending.program));
                let (applied, to_retry): (Vec<PendingChange>, Vec<PendingChange>) = readable
                    .into_iter()
                    .partition(|pending| self.is_applied(pending, previous.get(&pending.program)));
                self.queued.splice(0..0, to_retry);
                let mut ended = self.abandon(abandoned, Outcome::Unreadable);
                ended.extend(applied.iter().map(|pending| (pending.id, Outcome::Durable)));
                return ended;
            }
            Answer::Rejected if in_flight.len() == 1 => {
                return self.abandon(in_flight, Outcome::Rejected);
            }
            Answer::Rejected => {
                // One of the changes may be the reason, or only all of them together.
                let isolated = in_flight.into_iter().map(|pending| PendingChange {
                    is_isolated: true,
                    ..pending
                });
                self.queued.splice(0..0, isolated);
                return Vec::new();
            }
            Answer::NotKnown => {}
        }
        self.queued.splice(0..0, in_flight);
        Vec::new()
    }

    /// Returns whether the current ledger already contains a change, because the answer
    /// to an earlier copy of its transaction was lost. `previous` is the ledger that the
    /// change was applied to.
    ///
    /// A settlement with rows is always written again: another process may have settled
    /// the same attempt with other rows, which the ledger does not show.
    fn is_applied(&self, pending: &PendingChange, previous: Option<&Ledger>) -> bool {
        let current = self.cached.get(&pending.program);
        let is_reserved = |ledger: Option<&Ledger>, attempt: &AttemptId| {
            ledger.is_some_and(|ledger| ledger.is_reserved_by(attempt, &self.own_process))
        };
        let current = current.map(|cached| &cached.ledger);
        match &pending.change {
            Change::Reserve { attempt, .. } => is_reserved(current, attempt),
            Change::Settle {
                attempt, record, ..
            } => {
                record.is_none() && is_reserved(previous, attempt) && !is_reserved(current, attempt)
            }
            Change::SettleGrant { .. } => false,
        }
    }

    /// Ends changes that are not written: those that the store rejects, and those of
    /// programs whose ledgers cannot be decoded. Overwriting such a ledger would give its
    /// program a new budget.
    fn abandon(
        &mut self,
        changes: Vec<PendingChange>,
        outcome: Outcome,
    ) -> Vec<(ChangeId, Outcome)> {
        for pending in &changes {
            self.running.remove(pending.change.attempt());
        }
        let ids = changes.into_iter().map(|pending| pending.id);
        ids.map(|id| (id, outcome)).collect()
    }

    /// Caches the current ledger of a program from the rows of a conflict. A program
    /// without a row among them has no ledger. Returns false if the row cannot be
    /// decoded.
    fn replace_cached_ledger(&mut self, program: &str, rows: &[Row]) -> bool {
        let id: RowId = ledger_row(program);
        let row = rows.iter().find(|row| row.id == id);
        let Some((row, value)) = row.and_then(|row| Some((row, row.value.as_ref()?))) else {
            self.cached.remove(program);
            return true;
        };
        let Ok(ledger) = Ledger::decode(value) else {
            self.cached.remove(program);
            return false;
        };
        let version = row.version;
        let cached = CachedLedger { version, ledger };
        self.cached.insert(program.to_owned(), cached);
        true
    }
}

fn apply_change(
    ledger: &mut Ledger,
    pending: &PendingChange,
    process: &ProcessId,
    fences: &Fences,
) -> Result<(), Outcome> {
    match &pending.change {
        Change::Reserve {
            attempt,
            max_output_tokens,
            budget_tokens,
            dead_processes,
            escrow,
            retention,
        } => {
            let request = ReservationRequest {
                process,
                attempt,
                max_output_tokens: *max_output_tokens,
                budget_tokens: *budget_tokens,
                escrow,
                fences,
                generation: new_generation(process, pending.id),
                retention: *retention,
            };
            match ledger.reserve(&request, dead_processes) {
                ReservationOutcome::Reserved => Ok(()),
                ReservationOutcome::Exhausted => Err(Outcome::Exhausted),
            }
        }
        Change::Settle {
            attempt,
            tokens,
            record,
        } => {
            let generation = ledger.generation();
            let is_of_ledger =
                |record: &TurnRecord| generation.is_some() && record.generation == generation;
            if !record.as_ref().is_none_or(is_of_ledger) {
                return Err(Outcome::GenerationEnded);
            }
            ledger.settle(attempt, *tokens);
            Ok(())
        }
        Change::SettleGrant {
            attempt,
            grant,
            tokens,
        } => {
            ledger.settle_grant(attempt, grant, *tokens);
            Ok(())
        }
    }
}

/// Returns the generation of a ledger that a change of a process creates.
fn new_generation(process: &ProcessId, change: ChangeId) -> Generation {
    hash_parts(&[process.as_bytes(), &change.to_le_bytes()])
}
