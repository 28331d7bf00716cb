//! Sends the changes of programs to the store, in one transaction at a time for each
//! partition.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use rosebend_coordination::gateway::history::partition_of;
use rosebend_coordination::gateway::ledger::{
    Account, Generation, Ledger, ProcessId, ProcessReservations,
};
use rosebend_coordination::gateway::pending_changes::{
    Answer, Change, ChangeId, Outcome, PendingChanges,
};
use rosebend_state::deployment::{AttemptId, ProgramKey, Row, RowVersion, Transaction};
use rosebend_transport::event::{Event, EventKind, log_event};
use rosebend_transport::store::{StoreClient, StoreError, Transacted};
use tokio::sync::oneshot;

use crate::batched_commits::BatchedCommits;

/// Delay before a transaction is sent again that was not applied or whose outcome is
/// unknown. Each failure in a row doubles it.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(40);
/// Maximum retry delay, so that commits resume soon after the store recovers.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(320);
/// Maximum time for which a deferred change waits for another change of its partition.
/// Until it is committed, the program's next turn at another host counts this turn's
/// maximum output tokens instead of the tokens that it spent.
const MAX_DEFERRAL: Duration = Duration::from_millis(300);

/// The changes of one partition.
#[derive(Debug)]
struct Partition {
    changes: PendingChanges,
    waiters: HashMap<ChangeId, oneshot::Sender<Outcome>>,
    /// Whether a task is running that sends the changes of the partition.
    is_sending: bool,
    /// Whether a deferred change waits for another change.
    is_deferred: bool,
}

/// The changes of programs that this host commits, and the callers that wait for their
/// outcomes.
#[derive(Debug)]
pub struct Commits {
    /// The identifier of this process, under which its turns reserve tokens.
    process_id: ProcessId,
    store: Rc<StoreClient>,
    batched: Rc<BatchedCommits>,
    partitions: RefCell<HashMap<String, Partition>>,
}

impl Commits {
    /// Returns an instance without changes. Ledgers record the reservations of this
    /// process under `process_id`.
    pub fn new(process_id: ProcessId, store: Rc<StoreClient>, batched: Rc<BatchedCommits>) -> Self {
        Self {
            process_id,
            store,
            batched,
            partitions: RefCell::default(),
        }
    }

    /// Adds a change of a program. Returns a receiver for its outcome; dropping the
    /// receiver does not cancel the change.
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
            let partition = partition.or_insert_with(|| Partition::new(&self.process_id));
            let id = partition.changes.submit(program, change);
            partition.waiters.insert(id, waiter);
        }
        self.send(&name);
        outcome
    }

    /// Adds a change for whose outcome no caller waits. It is sent together with the next
    /// change of its partition, or by itself after `MAX_DEFERRAL`.
    pub fn submit_deferred(self: &Rc<Self>, program: ProgramKey, change: Change) {
        let name = partition_of(&program);
        let mut partitions = self.partitions.borrow_mut();
        let partition = partitions.entry(name.clone());
        let partition = partition.or_insert_with(|| Partition::new(&self.process_id));
        partition.changes.submit(program, change);
        if partition.is_sending || partition.is_deferred {
            return;
        }
        partition.is_deferred = true;
        let commits = Rc::clone(self);
        actix_rt::spawn(async move {
            tokio::time::sleep(MAX_DEFERRAL).await;
            commits.send(&name);
        });
    }

    /// Sends the deferred changes of a program's partition.
    pub fn send_deferred(self: &Rc<Self>, program: &str) {
        self.send(&partition_of(program));
    }

    /// Sends the deferred changes of all partitions.
    pub fn send_all_deferred(self: &Rc<Self>) {
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
        partition.is_deferred = false;
        if !partition.is_sending && partition.changes.open_changes() > 0 {
            partition.is_sending = true;
            actix_rt::spawn(Rc::clone(self).send_pending(name.to_owned()));
        }
    }

    /// Caches a ledger that was read, unless a newer one is cached.
    pub fn cache(&self, program: &str, version: RowVersion, ledger: Ledger) {
        self.with_changes(program, |changes| changes.cache(program, version, ledger));
    }

    /// Returns the row of the program's cached ledger, if the store has such a row.
    pub fn cached_ledger_row(&self, program: &str) -> Option<Row> {
        self.with_changes(program, |changes| changes.cached_ledger_row(program))
    }

    /// Returns the version of the program's cached ledger, or zero if none is cached.
    pub fn cached_version(&self, program: &str) -> RowVersion {
        self.with_changes(program, |changes| changes.cached_version(program))
    }

    /// Returns the generation of the program's cached ledger, if it has one.
    pub fn cached_generation(&self, program: &str) -> Option<Generation> {
        self.with_changes(program, |changes| changes.cached_generation(program))
    }

    /// Returns the longest retention time in the program's cached ledger.
    pub fn cached_retention(&self, program: &str) -> Duration {
        self.with_changes(program, |changes| changes.cached_retention(program))
    }

    /// Evicts a program's ledger from the cache, unless changes of the program are pending.
    /// It is read again when it is needed.
    pub fn evict(&self, program: &str) {
        self.with_changes(program, |changes| changes.evict(program));
    }

    /// Returns whether the program's ledger is cached.
    pub fn has_cached_ledger(&self, program: &str) -> bool {
        self.with_changes(program, |changes| changes.has_cached_ledger(program))
    }

    /// Returns the identifier of this process.
    pub fn process_id(&self) -> &ProcessId {
        &self.process_id
    }

    /// Returns the turns with a reservation in the program's expected ledger, which is the
    /// cached ledger with all pending changes applied, grouped by process.
    pub fn reservations_by_process(&self, program: &str) -> Vec<ProcessReservations> {
        self.with_changes(program, |changes| changes.reservations_by_process(program))
    }

    /// Returns whether a turn runs in this process and has requested or holds tokens.
    pub fn is_running(&self, program: &str, attempt: &AttemptId) -> bool {
        self.with_changes(program, |changes| changes.is_running(attempt))
    }

    /// Returns whether the budget has room for a turn in the program's expected ledger.
    pub fn is_expected_to_fit(
        &self,
        program: &str,
        max_output_tokens: u64,
        budget_tokens: u64,
    ) -> bool {
        self.with_changes(program, |changes| {
            changes.is_expected_to_fit(program, max_output_tokens, budget_tokens)
        })
    }

    /// Returns the tokens that count against the budget in the program's expected ledger.
    pub fn account(&self, program: &str) -> Account {
        self.with_changes(program, |changes| changes.account(program))
    }

    /// Returns the number of pending changes of all partitions, queued or in flight.
    pub fn open_changes(&self) -> usize {
        let partitions = self.partitions.borrow();
        let changes = partitions.values().map(|partition| &partition.changes);
        changes.map(PendingChanges::open_changes).sum()
    }

    fn with_changes<T>(&self, program: &str, act: impl FnOnce(&mut PendingChanges) -> T) -> T {
        let mut partitions = self.partitions.borrow_mut();
        let partition = partitions.entry(partition_of(program));
        let partition = partition.or_insert_with(|| Partition::new(&self.process_id));
        act(&mut partition.changes)
    }

    async fn send_pending(self: Rc<Self>, name: String) {
        let mut delay = INITIAL_RETRY_DELAY;
        while let Some(transaction) = self.next_transaction(&name) {
            let answer = match self.batched.transact(&transaction).await {
                Ok(Transacted::Applied(version)) => Answer::Applied(version),
                Ok(Transacted::Conflict(rows)) => Answer::Conflict(rows),
                Err(error @ StoreError::Rejected(_)) => {
                    log_event(&Event::new(EventKind::ChangesRejected).error(&error));
                    Answer::Rejected
                }
                Err(error) => {
                    self.back_off(&error, &mut delay).await;
                    Answer::NotKnown
                }
            };
            if answer != Answer::NotKnown {
                delay = INITIAL_RETRY_DELAY;
            }
            self.record_answer(&name, answer);
        }
    }

    async fn back_off(&self, error: &StoreError, delay: &mut Duration) {
        // After a long wait for an answer, a longer delay would not help.
        if matches!(error, StoreError::Refused | StoreError::Throttled)
            || self.store.unreachable_for() < *delay
        {
            tokio::time::sleep(*delay).await;
        } else {
            tokio::time::sleep(INITIAL_RETRY_DELAY).await;
        }
        *delay = (*delay * 2).min(MAX_RETRY_DELAY);
    }

    fn next_transaction(&self, name: &str) -> Option<Transaction> {
        let mut partitions = self.partitions.borrow_mut();
        let partition = partitions.get_mut(name)?;
        let (transaction, ended) = partition.changes.next_transaction();
        partition.notify_waiters(ended);
        partition.is_sending = transaction.is_some();
        transaction
    }

    fn record_answer(&self, name: &str, answer: Answer) {
        let mut partitions = self.partitions.borrow_mut();
        if let Some(partition) = partitions.get_mut(name) {
            let ended = partition.changes.handle_answer(answer);
            partition.notify_waiters(ended);
        }
    }
}

impl Partition {
    fn new(process_id: &ProcessId) -> Self {
        Self {
            changes: PendingChanges::new(process_id.clone()),
            waiters: HashMap::new(),
            is_sending: false,
            is_deferred: false,
        }
    }

    fn notify_waiters(&mut self, ended: Vec<(ChangeId, Outcome)>) {
        for (id, outcome) in ended {
            if let Some(waiter) = self.waiters.remove(&id) {
                // The caller may have been cancelled; the change is durable nevertheless.
                let _ = waiter.send(outcome);
            }
        }
    }
}
