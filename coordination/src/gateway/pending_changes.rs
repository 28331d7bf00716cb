//! Changes of programs gathered into transactions, for one partition.
//!
//! At most one transaction is on its way; what comes meanwhile is gathered for
//! the next. Each program's ledger is written under the version at which it
//! was known. When that version is old, the store's answer brings the present
//! ledger and the changes are applied to it anew. Every change may be applied
//! twice without a difference, so a transaction whose answer was lost is simply
//! built again: whichever of the two comes later fails its condition.

use std::collections::{BTreeMap, HashMap, HashSet};

use rosebend_state::deployment::{
    AttemptId, Condition, MAX_TRANSACTION_ENTRIES, ProgramKey, Row, RowId, RowVersion, RowWrite,
    Transaction,
};

use crate::gateway::escrow::slot::SlotId;
use crate::gateway::escrow::terms::EscrowTerms;
use crate::gateway::escrow::{Fences, GrantId, SLOTS};
use crate::gateway::history::{ledger_row, partition_of};
use crate::gateway::ledger::{Account, Claim, Grant, Holding, Ledger, ProcessId};

/// Most bytes of one transaction before its encoding, which adds a third; a
/// call holds 1 MB.
const MAX_BYTES: usize = 600_000;

/// Entries for a program's ledger: its condition and its write.
const LEDGER_ENTRIES: usize = 2;
/// Most entries for the fences on which a ledger rests.
const FENCE_ENTRIES: usize = SLOTS as usize;

/// Names a change until its outcome is known.
pub type ChangeId = u64;

/// A change of a program.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// A turn wants to run.
    Reserve {
        /// The turn.
        attempt: AttemptId,
        /// Most tokens that it generates.
        most_tokens: u64,
        /// Budget of the program.
        budget_tokens: u64,
        /// Holders that are gone, whose tokens it may have if it needs them.
        gone: Vec<ProcessId>,
        /// Slots that may have granted from the budget what the ledger does not
        /// have.
        escrow: EscrowTerms,
    },
    /// A turn has ended.
    Settle {
        /// The turn.
        attempt: AttemptId,
        /// Tokens that were handed out.
        tokens: u64,
        /// Rows that become durable with the end.
        rows: Vec<RowWrite>,
    },
    /// A turn has ended that ran by a grant.
    SettleGrant {
        /// The turn.
        attempt: AttemptId,
        /// The grant.
        grant: GrantId,
        /// Tokens that were handed out.
        tokens: u64,
    },
}

impl Change {
    /// The turn that it is of.
    const fn attempt(&self) -> &AttemptId {
        match self {
            Self::Reserve { attempt, .. }
            | Self::Settle { attempt, .. }
            | Self::SettleGrant { attempt, .. } => attempt,
        }
    }
}

/// How a change ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It is durable.
    Durable,
    /// The budget does not hold the turn, by a ledger of this version; zero
    /// when the ledger was only believed to be absent.
    Exhausted,
    /// The program's row in the store is no ledger; nothing was written.
    Unreadable,
}

/// How a transaction ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// It was applied, and gave its rows this version.
    Applied(RowVersion),
    /// A condition did not hold; these are the present rows.
    Conflict(Vec<Row>),
    /// It was not applied, or nobody knows.
    NotKnown,
}

#[derive(Debug)]
struct Pending {
    id: ChangeId,
    program: ProgramKey,
    change: Change,
}

impl Pending {
    /// Entries that it adds to a transaction, unless the program's ledger is in it
    /// already.
    fn most_entries(&self) -> usize {
        match &self.change {
            Change::Reserve { .. } => LEDGER_ENTRIES + FENCE_ENTRIES,
            Change::SettleGrant { .. } => LEDGER_ENTRIES,
            Change::Settle { rows, .. } => LEDGER_ENTRIES + rows.len(),
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Known {
    version: RowVersion,
    ledger: Ledger,
}

/// The changes of one partition.
#[derive(Debug)]
pub struct PendingChanges {
    /// This run of this host's process.
    holder: ProcessId,
    /// Turns that run here and have tokens, or ask for them.
    running: HashSet<AttemptId>,
    known: HashMap<ProgramKey, Known>,
    /// Fences of the partition's slots, as far as a conflict has brought them.
    fences: Fences,
    waiting: Vec<Pending>,
    on_its_way: Vec<Pending>,
    /// Ledgers as the transaction on its way writes them.
    written: BTreeMap<ProgramKey, Ledger>,
    next_id: ChangeId,
}

impl PendingChanges {
    /// The changes of a process that has written nothing yet.
    pub fn new(holder: ProcessId) -> Self {
        Self {
            holder,
            running: HashSet::new(),
            known: HashMap::new(),
            fences: Fences::new(),
            waiting: Vec::new(),
            on_its_way: Vec::new(),
            written: BTreeMap::new(),
            next_id: 0,
        }
    }

    /// Whether a turn that has tokens runs here.
    pub fn is_running(&self, attempt: &AttemptId) -> bool {
        self.running.contains(attempt)
    }

    /// Who holds tokens of a program, by what is known.
    pub fn holdings(&self, program: &str) -> Vec<Holding> {
        self.expected_ledger(program).holdings()
    }

    /// Adds a change.
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
        self.waiting.push(Pending {
            id,
            program,
            change,
        });
        id
    }

    /// Takes note of a ledger that was read, unless a newer one is known.
    pub fn learn(&mut self, program: &str, version: RowVersion, ledger: Ledger) {
        let known = self.known.entry(program.to_owned()).or_default();
        if version >= known.version {
            *known = Known { version, ledger };
        }
    }

    /// Whether the program's ledger was read or written by this host.
    pub fn knows(&self, program: &str) -> bool {
        self.known.contains_key(program)
    }

    /// The program's ledger as it was last read or written, as a row.
    pub fn known_ledger(&self, program: &str) -> Option<Row> {
        let known = self.known.get(program).filter(|known| known.version > 0)?;
        Some(Row {
            id: ledger_row(program),
            version: known.version,
            value: Some(known.ledger.encode()),
        })
    }

    /// Version of the program's ledger as it is known; zero when it is not.
    pub fn version(&self, program: &str) -> RowVersion {
        self.known.get(program).map_or(0, |known| known.version)
    }

    /// Whether the budget holds a turn by what is known, with what waits
    /// counted as it will be.
    pub fn seems_to_hold(&self, program: &str, most_tokens: u64, budget_tokens: u64) -> bool {
        self.expected_ledger(program)
            .holds(most_tokens, budget_tokens)
    }

    /// What fills a program's budget by what is known, with what waits counted
    /// as it will be.
    pub fn account(&self, program: &str) -> Account {
        self.expected_ledger(program).account()
    }

    fn expected_ledger(&self, program: &str) -> Ledger {
        let known = self.known.get(program);
        let mut ledger = known.cloned().unwrap_or_default().ledger;
        for pending in self.on_its_way.iter().chain(&self.waiting) {
            if pending.program == program {
                apply_to(&mut ledger, &pending.change, &self.holder, &self.fences);
            }
        }
        ledger
    }

    /// Forgets a program; its ledger is read again when it is needed.
    pub fn forget(&mut self, program: &str) {
        let is_used = |pending: &Pending| pending.program == program;
        let is_open = self.waiting.iter().chain(&self.on_its_way).any(is_used);
        if !is_open {
            self.known.remove(program);
        }
    }

    /// Number of changes whose outcome is open.
    pub fn open_changes(&self) -> usize {
        self.waiting.len() + self.on_its_way.len()
    }

    /// Builds the next transaction, unless one is on its way or nothing waits.
    /// Changes that the budget does not allow end here.
    pub fn next_transaction(&mut self) -> (Option<Transaction>, Vec<(ChangeId, Outcome)>) {
        let mut ended = Vec::new();
        if !self.on_its_way.is_empty() {
            return (None, ended);
        }
        let mut bytes = 0;
        let mut rows = Vec::new();
        let waiting = std::mem::take(&mut self.waiting);
        for pending in waiting {
            let entries = rows.len() + self.written.len() * LEDGER_ENTRIES + FENCE_ENTRIES;
            let has_room = entries + pending.most_entries() <= MAX_TRANSACTION_ENTRIES;
            let is_first = self.on_its_way.is_empty();
            if !(is_first || has_room && bytes < MAX_BYTES) {
                self.waiting.push(pending);
                continue;
            }
            match self.apply(&pending) {
                Grant::Exhausted => {
                    if let Change::Reserve { attempt, .. } = &pending.change {
                        self.running.remove(attempt);
                    }
                    ended.push((pending.id, Outcome::Exhausted));
                }
                Grant::Reserved => {
                    if let Change::Settle { rows: added, .. } = &pending.change {
                        bytes += added.iter().map(|row| row.value.len()).sum::<usize>();
                        rows.extend(added.iter().cloned());
                    }
                    self.on_its_way.push(pending);
                }
            }
        }
        if self.on_its_way.is_empty() {
            self.written.clear();
            return (None, ended);
        }
        (Some(self.transaction(rows)), ended)
    }

    fn apply(&mut self, pending: &Pending) -> Grant {
        let known = self.known.get(&pending.program);
        let ledger = self.written.entry(pending.program.clone());
        let ledger = ledger.or_insert_with(|| known.cloned().unwrap_or_default().ledger);
        apply_to(ledger, &pending.change, &self.holder, &self.fences)
    }

    fn transaction(&mut self, mut writes: Vec<RowWrite>) -> Transaction {
        let on_its_way = &self.on_its_way;
        self.written
            .retain(|program, _| on_its_way.iter().any(|pending| pending.program == *program));
        let mut conditions = self.fence_conditions();
        for (program, ledger) in &self.written {
            let row = ledger_row(program);
            let version = self.known.get(program).map_or(0, |known| known.version);
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

    /// The fences on which the reservations on their way rest.
    fn fence_conditions(&self) -> Vec<Condition> {
        let mut conditions = Vec::new();
        for pending in &self.on_its_way {
            let is_reserve = matches!(pending.change, Change::Reserve { .. });
            let Some(ledger) = self.written.get(&pending.program).filter(|_| is_reserve) else {
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

    /// Takes note of the fences among the rows of a conflict.
    fn take_fences(&mut self, rows: &[Row]) {
        for row in rows {
            if let Some(index) = SlotId::of_fence_row(&row.id) {
                self.fences.insert(index, row.version);
            }
        }
    }

    /// Takes the answer to the transaction on its way.
    pub fn answered(&mut self, answer: Answer) -> Vec<(ChangeId, Outcome)> {
        let written = std::mem::take(&mut self.written);
        let on_its_way = std::mem::take(&mut self.on_its_way);
        match answer {
            Answer::Applied(version) => {
                for (program, ledger) in written {
                    self.known.insert(program, Known { version, ledger });
                }
                let ids = on_its_way.into_iter().map(|pending| pending.id);
                return ids.map(|id| (id, Outcome::Durable)).collect();
            }
            Answer::Conflict(rows) => {
                self.take_fences(&rows);
                let before: HashMap<&ProgramKey, Ledger> = written
                    .keys()
                    .filter_map(|program| Some((program, self.known.get(program)?.ledger.clone())))
                    .collect();
                let programs = written.keys();
                let unreadable: HashSet<&ProgramKey> = programs
                    .filter(|program| !self.take_present(program, &rows))
                    .collect();
                let (given_up, others): (Vec<Pending>, Vec<Pending>) = on_its_way
                    .into_iter()
                    .partition(|pending| unreadable.contains(&pending.program));
                let (applied, again): (Vec<Pending>, Vec<Pending>) = others
                    .into_iter()
                    .partition(|pending| self.is_applied(pending, before.get(&pending.program)));
                self.waiting.splice(0..0, again);
                let mut ended = self.give_up(given_up);
                ended.extend(applied.iter().map(|pending| (pending.id, Outcome::Durable)));
                return ended;
            }
            Answer::NotKnown => {}
        }
        self.waiting.splice(0..0, on_its_way);
        Vec::new()
    }

    /// Whether a change is in the present ledger, as that of a transaction whose answer
    /// was lost. `before` is the ledger that it was to change. The end of a turn with rows
    /// is written again, since the ledger does not tell whose rows are there.
    fn is_applied(&self, pending: &Pending, before: Option<&Ledger>) -> bool {
        let present = self.known.get(&pending.program);
        let is_reserved = |ledger: Option<&Ledger>, attempt: &AttemptId| {
            ledger.is_some_and(|ledger| ledger.is_reserved_by(attempt, &self.holder))
        };
        let present = present.map(|known| &known.ledger);
        match &pending.change {
            Change::Reserve { attempt, .. } => is_reserved(present, attempt),
            Change::Settle { attempt, rows, .. } => {
                rows.is_empty() && is_reserved(before, attempt) && !is_reserved(present, attempt)
            }
            Change::SettleGrant { .. } => false,
        }
    }

    /// Ends changes of programs whose ledgers cannot be read: to write over
    /// one would give its program a new budget.
    fn give_up(&mut self, changes: Vec<Pending>) -> Vec<(ChangeId, Outcome)> {
        for pending in &changes {
            self.running.remove(pending.change.attempt());
        }
        let ids = changes.into_iter().map(|pending| pending.id);
        ids.map(|id| (id, Outcome::Unreadable)).collect()
    }

    /// Takes the present ledger of a program from the rows of a conflict; a
    /// program without a row among them has none. False for a row that is no
    /// ledger.
    fn take_present(&mut self, program: &str, rows: &[Row]) -> bool {
        let id: RowId = ledger_row(program);
        let row = rows.iter().find(|row| row.id == id);
        let Some((row, value)) = row.and_then(|row| Some((row, row.value.as_ref()?))) else {
            self.known.remove(program);
            return true;
        };
        let Ok(ledger) = Ledger::decode(value) else {
            self.known.remove(program);
            return false;
        };
        let version = row.version;
        let known = Known { version, ledger };
        self.known.insert(program.to_owned(), known);
        true
    }
}

fn apply_to(ledger: &mut Ledger, change: &Change, holder: &ProcessId, fences: &Fences) -> Grant {
    match change {
        Change::Reserve {
            attempt,
            most_tokens,
            budget_tokens,
            gone,
            escrow,
        } => {
            let claim = Claim {
                holder,
                attempt,
                most_tokens: *most_tokens,
                budget_tokens: *budget_tokens,
                escrow,
                fences,
            };
            ledger.reserve(&claim, gone)
        }
        Change::Settle {
            attempt, tokens, ..
        } => {
            ledger.settle(attempt, *tokens);
            Grant::Reserved
        }
        Change::SettleGrant {
            attempt,
            grant,
            tokens,
        } => {
            ledger.settle_grant(attempt, grant, *tokens);
            Grant::Reserved
        }
    }
}
