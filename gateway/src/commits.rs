//! Changes of programs on their way to the store, one transaction at a time for
//! each partition.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use rosebend_coordination::gateway::history::partition_of;
use rosebend_coordination::gateway::ledger::{Account, Ledger, ProcessId, ProcessReservations};
use rosebend_coordination::gateway::pending_changes::{
    Answer, Change, ChangeId, Outcome, PendingChanges,
};
use rosebend_state::deployment::{AttemptId, ProgramKey, Row, RowVersion, Transaction};
use rosebend_transport::store::{StoreClient, StoreError, Transacted};
use tokio::sync::oneshot;

use crate::joined_commits::JoinedCommits;

/// Pause before a transaction is sent again that was not applied, or of which
/// that is not known. Each failure in a row doubles it.
const FIRST_PAUSE: Duration = Duration::from_millis(40);
/// Longest such pause: the store's return must be noticed soon.
const MAX_PAUSE: Duration = Duration::from_millis(320);
/// How long a change that nobody waits for may wait for another one to go with. A
/// program's next turn that comes to another host counts this one at its most until
/// then.
const LATER: Duration = Duration::from_millis(300);

#[derive(Debug)]
struct Partition {
    changes: PendingChanges,
    waiters: HashMap<ChangeId, oneshot::Sender<Outcome>>,
    is_sending: bool,
    /// Whether a change waits for another one to go with.
    is_put_off: bool,
}

/// The changes of this host with those who wait for them.
#[derive(Debug)]
pub struct Commits {
    /// This run of the process, under which turns reserve tokens.
    holder: ProcessId,
    store: Rc<StoreClient>,
    joined: Rc<JoinedCommits>,
    partitions: RefCell<HashMap<String, Partition>>,
}

impl Commits {
    /// No changes yet. The holder tells in ledgers whose turns run.
    pub fn new(holder: ProcessId, store: Rc<StoreClient>, joined: Rc<JoinedCommits>) -> Self {
        Self {
            holder,
            store,
            joined,
            partitions: RefCell::default(),
        }
    }

    /// Adds a change of a program. The receiver hears how it ended; dropping
    /// the receiver does not take the change back.
    pub fn submit(
        self: &Rc<Self>,
        program: ProgramKey,
        change: Change,
    ) -> oneshot::Receiver<Outcome> {
        let (waiter, outcome) = oneshot::channel();
        let name = partition_of(&program);
        {
            let mut partitions = self.partitions.borrow_mut();
            let partition = partitions.entry(name.clone());
            let partition = partition.or_insert_with(|| Partition::new(&self.holder));
            let id = partition.changes.submit(program, change);
            partition.waiters.insert(id, waiter);
        }
        self.send(&name);
        outcome
    }

    /// Adds a change that nobody waits for. It goes with the next one of its
    /// partition, and a little later by itself.
    pub fn submit_later(self: &Rc<Self>, program: ProgramKey, change: Change) {
        let name = partition_of(&program);
        let mut partitions = self.partitions.borrow_mut();
        let partition = partitions.entry(name.clone());
        let partition = partition.or_insert_with(|| Partition::new(&self.holder));
        partition.changes.submit(program, change);
        if partition.is_sending || partition.is_put_off {
            return;
        }
        partition.is_put_off = true;
        let commits = Rc::clone(self);
        actix_rt::spawn(async move {
            tokio::time::sleep(LATER).await;
            commits.send(&name);
        });
    }

    /// Sends what waits for another change of a program's partition to go with.
    pub fn send_put_off(self: &Rc<Self>, program: &str) {
        self.send(&partition_of(program));
    }

    /// Sends all that waits for another change to go with.
    pub fn send_all_put_off(self: &Rc<Self>) {
        let names: Vec<String> = self.partitions.borrow().keys().cloned().collect();
        for name in names {
            self.send(&name);
        }
    }

    fn send(self: &Rc<Self>, name: &str) {
        let mut partitions = self.partitions.borrow_mut();
        let Some(partition) = partitions.get_mut(name) else {
            return;
        };
        partition.is_put_off = false;
        if !partition.is_sending && partition.changes.open_changes() > 0 {
            partition.is_sending = true;
            actix_rt::spawn(Rc::clone(self).send_waiting(name.to_owned()));
        }
    }

    /// Takes note of a ledger that was read.
    pub fn learn(&self, program: &str, version: RowVersion, ledger: Ledger) {
        self.with_changes(program, |changes| changes.cache(program, version, ledger));
    }

    /// The program's ledger as it was last read or written here, as a row.
    pub fn known_ledger(&self, program: &str) -> Option<Row> {
        self.with_changes(program, |changes| changes.cached_ledger_row(program))
    }

    /// Version of the program's ledger as it was last read or written here.
    pub fn version(&self, program: &str) -> RowVersion {
        self.with_changes(program, |changes| changes.cached_version(program))
    }

    /// Forgets a program; its ledger is read again when it is needed.
    pub fn forget(&self, program: &str) {
        self.with_changes(program, |changes| changes.evict(program));
    }

    /// Whether the program's ledger was read or written by this host.
    pub fn knows(&self, program: &str) -> bool {
        self.with_changes(program, |changes| changes.has_cached_ledger(program))
    }

    /// This run of the process.
    pub fn holder(&self) -> &ProcessId {
        &self.holder
    }

    /// Who holds tokens of a program, as far as this host knows.
    pub fn holdings(&self, program: &str) -> Vec<ProcessReservations> {
        self.with_changes(program, |changes| changes.reservations_by_process(program))
    }

    /// Whether a turn that has tokens runs here.
    pub fn is_running(&self, program: &str, attempt: &AttemptId) -> bool {
        self.with_changes(program, |changes| changes.is_running(attempt))
    }

    /// Whether the budget seems to hold a turn, as far as this host knows.
    pub fn seems_to_hold(&self, program: &str, most_tokens: u64, budget_tokens: u64) -> bool {
        self.with_changes(program, |changes| {
            changes.is_expected_to_fit(program, most_tokens, budget_tokens)
        })
    }

    /// What fills a program's budget, as far as this host knows.
    pub fn account(&self, program: &str) -> Account {
        self.with_changes(program, |changes| changes.account(program))
    }

    /// Changes whose outcome is open.
    pub fn open_changes(&self) -> usize {
        let partitions = self.partitions.borrow();
        let changes = partitions.values().map(|partition| &partition.changes);
        changes.map(PendingChanges::open_changes).sum()
    }

    fn with_changes<T>(&self, program: &str, act: impl FnOnce(&mut PendingChanges) -> T) -> T {
        let mut partitions = self.partitions.borrow_mut();
        let partition = partitions.entry(partition_of(program));
        let partition = partition.or_insert_with(|| Partition::new(&self.holder));
        act(&mut partition.changes)
    }

    async fn send_waiting(self: Rc<Self>, name: String) {
        let mut pause = FIRST_PAUSE;
        while let Some(transaction) = self.next_transaction(&name) {
            let answer = match self.joined.transact(&transaction).await {
                Ok(Transacted::Applied(version)) => Answer::Applied(version),
                Ok(Transacted::Conflict(rows)) => Answer::Conflict(rows),
                Err(error) => {
                    self.wait_after(&error, &mut pause).await;
                    Answer::NotKnown
                }
            };
            if answer != Answer::NotKnown {
                pause = FIRST_PAUSE;
            }
            self.answered(&name, answer);
        }
    }

    async fn wait_after(&self, error: &StoreError, pause: &mut Duration) {
        // Nothing is gained by waiting after a long wait for an answer.
        if matches!(error, StoreError::Refused | StoreError::Throttled)
            || self.store.unreachable_for() < *pause
        {
            tokio::time::sleep(*pause).await;
        } else {
            tokio::time::sleep(FIRST_PAUSE).await;
        }
        *pause = (*pause * 2).min(MAX_PAUSE);
    }

    fn next_transaction(&self, name: &str) -> Option<Transaction> {
        let mut partitions = self.partitions.borrow_mut();
        let partition = partitions.get_mut(name)?;
        let (transaction, ended) = partition.changes.next_transaction();
        partition.tell(ended);
        partition.is_sending = transaction.is_some();
        transaction
    }

    fn answered(&self, name: &str, answer: Answer) {
        let mut partitions = self.partitions.borrow_mut();
        if let Some(partition) = partitions.get_mut(name) {
            let ended = partition.changes.handle_answer(answer);
            partition.tell(ended);
        }
    }
}

impl Partition {
    fn new(holder: &ProcessId) -> Self {
        Self {
            changes: PendingChanges::new(holder.clone()),
            waiters: HashMap::new(),
            is_sending: false,
            is_put_off: false,
        }
    }

    fn tell(&mut self, ended: Vec<(ChangeId, Outcome)>) {
        for (id, outcome) in ended {
            if let Some(waiter) = self.waiters.remove(&id) {
                // Who asked may have gone; the change is durable all the same.
                let _ = waiter.send(outcome);
            }
        }
    }
}
