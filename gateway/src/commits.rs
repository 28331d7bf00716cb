//! Sends the lanes' transactions, one at a time for each partition.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use rosebend_coordination::gateway::history::partition_of;
use rosebend_coordination::gateway::lane::{Answer, Change, ChangeId, DrawState, Lane, Outcome};
use rosebend_coordination::gateway::ledger::{Account, Draw, Holder, Holding, Ledger};
use rosebend_state::deployment::{AttemptId, ProgramKey, RowVersion, Transaction};
use rosebend_transport::store::{StoreClient, StoreError, Transacted};
use tokio::sync::oneshot;

use crate::joined_commits::JoinedCommits;

/// Pause before a transaction is sent again that was not applied, or of which
/// that is not known. Each failure in a row doubles it.
const FIRST_PAUSE: Duration = Duration::from_millis(40);
/// Longest such pause: the store's return must be noticed soon.
const MAX_PAUSE: Duration = Duration::from_millis(320);

#[derive(Debug)]
struct Partition {
    lane: Lane,
    waiters: HashMap<ChangeId, oneshot::Sender<Outcome>>,
    is_sending: bool,
}

/// The lanes of this host with those who wait for them.
#[derive(Debug)]
pub struct Commits {
    /// This run of the process, under which tokens are drawn ahead.
    holder: Holder,
    store: Rc<StoreClient>,
    joined: Rc<JoinedCommits>,
    partitions: RefCell<HashMap<String, Partition>>,
}

impl Commits {
    /// No changes yet. The holder tells in ledgers who drew ahead.
    pub fn new(holder: Holder, store: Rc<StoreClient>, joined: Rc<JoinedCommits>) -> Self {
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
        let mut partitions = self.partitions.borrow_mut();
        let partition = partitions.entry(name.clone());
        let partition = partition.or_insert_with(|| Partition::new(&self.holder));
        let id = partition.lane.submit(program, change);
        partition.waiters.insert(id, waiter);
        if !partition.is_sending {
            partition.is_sending = true;
            actix_rt::spawn(Rc::clone(self).send_all(name));
        }
        outcome
    }

    /// Takes note of a ledger that was read.
    pub fn learn(&self, program: &str, version: RowVersion, ledger: Ledger) {
        self.with_lane(program, |lane| lane.learn(program, version, ledger));
    }

    /// Version of the program's ledger as it was last read or written here.
    pub fn version(&self, program: &str) -> RowVersion {
        self.with_lane(program, |lane| lane.version(program))
    }

    /// Forgets a program; its ledger is read again when it is needed.
    pub fn forget(&self, program: &str) {
        self.with_lane(program, |lane| lane.forget(program));
    }

    /// Whether the program's ledger was read or written by this host.
    pub fn knows(&self, program: &str) -> bool {
        self.with_lane(program, |lane| lane.knows(program))
    }

    /// This run of the process.
    pub fn holder(&self) -> &Holder {
        &self.holder
    }

    /// Who holds tokens of a program, as far as this host knows.
    pub fn holdings(&self, program: &str) -> Vec<Holding> {
        self.with_lane(program, |lane| lane.holdings(program))
    }

    /// Gives up a draw of this process for good, unless a turn uses it.
    pub fn return_draw(&self, program: &str, draw: &Draw) -> DrawState {
        self.with_lane(program, |lane| lane.return_draw(program, draw))
    }

    /// Gives back all draws that no turn uses; they are open changes until the
    /// store has them.
    pub fn return_all_draws(self: &Rc<Self>) {
        let mut partitions = self.partitions.borrow_mut();
        for (name, partition) in partitions.iter_mut() {
            if partition.lane.return_all_draws() && !partition.is_sending {
                partition.is_sending = true;
                actix_rt::spawn(Rc::clone(self).send_all(name.clone()));
            }
        }
    }

    /// Whether a turn that has tokens runs here.
    pub fn is_running(&self, program: &str, attempt: &AttemptId) -> bool {
        self.with_lane(program, |lane| lane.is_running(attempt))
    }

    /// Whether the budget seems to hold a turn, as far as this host knows.
    pub fn seems_to_hold(&self, program: &str, most_tokens: u64, budget_tokens: u64) -> bool {
        self.with_lane(program, |lane| {
            lane.seems_to_hold(program, most_tokens, budget_tokens)
        })
    }

    /// What fills a program's budget, as far as this host knows.
    pub fn account(&self, program: &str) -> Account {
        self.with_lane(program, |lane| lane.account(program))
    }

    /// Lets a turn use tokens that this host drew ahead, if there are enough.
    pub fn take_ahead(&self, program: &str, attempt: &AttemptId, most_tokens: u64) -> bool {
        self.with_lane(program, |lane| {
            lane.take_ahead(program, attempt, most_tokens)
        })
    }

    /// Gives back tokens drawn ahead of which nothing was handed out.
    pub fn return_ahead(&self, program: &str, attempt: &AttemptId) {
        self.with_lane(program, |lane| lane.return_ahead(program, attempt));
    }

    /// Changes whose outcome is open.
    pub fn open_changes(&self) -> usize {
        let partitions = self.partitions.borrow();
        partitions
            .values()
            .map(|partition| partition.lane.open_changes())
            .sum()
    }

    fn with_lane<T>(&self, program: &str, act: impl FnOnce(&mut Lane) -> T) -> T {
        let mut partitions = self.partitions.borrow_mut();
        let partition = partitions.entry(partition_of(program));
        act(&mut partition
            .or_insert_with(|| Partition::new(&self.holder))
            .lane)
    }

    async fn send_all(self: Rc<Self>, name: String) {
        let mut pause = FIRST_PAUSE;
        while let Some(transaction) = self.next_transaction(&name) {
            let answer = match self.joined.transact(&transaction).await {
                Ok(answer) => {
                    pause = FIRST_PAUSE;
                    lane_answer(answer)
                }
                Err(error) => {
                    self.wait_after(&error, &mut pause).await;
                    Answer::NotKnown
                }
            };
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
        let (transaction, ended) = partition.lane.next_transaction();
        partition.tell(ended);
        partition.is_sending = transaction.is_some();
        transaction
    }

    fn answered(&self, name: &str, answer: Answer) {
        let mut partitions = self.partitions.borrow_mut();
        if let Some(partition) = partitions.get_mut(name) {
            let ended = partition.lane.answered(answer);
            partition.tell(ended);
        }
    }
}

impl Partition {
    fn new(holder: &Holder) -> Self {
        Self {
            lane: Lane::new(holder.clone()),
            waiters: HashMap::new(),
            is_sending: false,
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

fn lane_answer(answer: Transacted) -> Answer {
    match answer {
        Transacted::Applied(version) => Answer::Applied(version),
        Transacted::Conflict(rows) => Answer::Conflict(rows),
    }
}
