//! Transactions on their way to the store, by the host that joins those of their
//! partition.
//!
//! A transaction goes to the partition's gatherer, which says at once that it
//! has it and then how it ended. One that does not say so in time is left alone
//! for a while, and the transaction goes to the next gatherer, or straight to
//! the store. It may so be sent twice; its conditions keep it from being applied
//! twice, and whoever is answered first decides.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rosebend_coordination::gateway::batchers::{Batchers, PeerHost};
use rosebend_coordination::gateway::group_commit::{
    BatchEntryId, GroupCommit, OverdueBatchId, min_batch_interval,
};
use rosebend_coordination::gateway::history::PARTITIONS;
use rosebend_coordination::gateway::ledger::ProcessId;
use rosebend_coordination::gateway::pending_changes::Answer;
use rosebend_protocol::commit::{Committed, check_transaction};
use rosebend_state::deployment::Transaction;
use rosebend_transport::clock::{Clock, whole_ms};
use rosebend_transport::event::{Event, EventKind, log_event};
use rosebend_transport::store::{MIN_TIMEOUT, StoreClient, StoreError, Transacted, next_timeout};
use tokio::sync::oneshot;

use self::ask::ask;
pub use self::ask::{PATH, answer};
use crate::metrics::{CommitWay, Metrics};
use crate::peer_connections::PeerConnections;

mod ask;

/// How long a gatherer may take to say that it has a transaction. It takes 2 to
/// 4 ms, and a host at a tenth of a core about 30; its caller waits meanwhile.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(80);

/// The outcome of a transaction, for who asked.
type Outcome = Result<Transacted, StoreError>;

/// Transactions that are joined here, of one partition.
#[derive(Debug, Default)]
struct Partition {
    group: GroupCommit,
    waiters: HashMap<BatchEntryId, Waiter>,
    is_sending: bool,
    /// When the next transaction may go.
    next_at: Duration,
}

/// Who waits for a part.
#[derive(Debug)]
struct Waiter {
    told: oneshot::Sender<Outcome>,
    since: Duration,
}

/// The commits of this host, and those that it joins for others.
#[derive(Debug)]
pub struct JoinedCommits {
    own_run: ProcessId,
    store: Rc<StoreClient>,
    metrics: Rc<Metrics>,
    clock: Clock,
    /// Least time between two transactions of a partition.
    pace: Cell<Duration>,
    gatherers: RefCell<Batchers<SocketAddr>>,
    /// How long a gatherer that has a transaction may take to say how it ended,
    /// before the next way is tried, too; four times what it took lately.
    timeout: Cell<Duration>,
    connections: PeerConnections,
    partitions: RefCell<HashMap<String, Partition>>,
}

/// A way to the store.
#[derive(Clone)]
enum Way {
    /// By this host, joined with what others sent here.
    Here,
    /// By another host.
    By(PeerHost<SocketAddr>),
}

/// How one way ended.
enum Tried {
    /// This is the outcome.
    Ended(Outcome),
    /// Another way should be tried.
    Failed(StoreError),
}

type Trying<'a> = Pin<Box<dyn Future<Output = Tried> + 'a>>;

impl JoinedCommits {
    /// No commits yet, and no other host known.
    pub fn new(
        own_run: ProcessId,
        store: Rc<StoreClient>,
        metrics: Rc<Metrics>,
        clock: Clock,
    ) -> Self {
        Self {
            own_run,
            store,
            metrics,
            clock,
            pace: Cell::default(),
            gatherers: RefCell::default(),
            timeout: Cell::new(MIN_TIMEOUT),
            connections: PeerConnections::default(),
            partitions: RefCell::default(),
        }
    }

    /// Takes the rate of writes that the store declares, for all hosts together.
    pub fn set_writes_per_s(&self, writes_per_s: u64) {
        self.pace.set(min_batch_interval(PARTITIONS, writes_per_s));
    }

    /// Takes all hosts that are there, this one among them.
    pub fn set_hosts(&self, hosts: Vec<PeerHost<SocketAddr>>) {
        let is_there = |address: &SocketAddr| hosts.iter().any(|host| host.address == *address);
        self.connections.retain(is_there);
        self.gatherers.borrow_mut().set_hosts(hosts);
    }

    /// Parts that wait here for the store, of all hosts.
    pub fn open_parts(&self) -> usize {
        let partitions = self.partitions.borrow();
        partitions
            .values()
            .map(|known| known.group.open_entries())
            .sum()
    }

    /// How long the oldest of them has waited.
    pub fn oldest_part(&self) -> Duration {
        let partitions = self.partitions.borrow();
        let waiters = partitions.values().flat_map(|known| known.waiters.values());
        let oldest = waiters.map(|waiter| waiter.since).min();
        oldest.map_or(Duration::ZERO, |since| {
            self.clock.now().saturating_sub(since)
        })
    }

    /// Applies a transaction of one partition, by its gatherer where there is one.
    ///
    /// # Errors
    ///
    /// Fails when it was not applied, or when that is not known.
    pub async fn transact(self: &Rc<Self>, transaction: &Transaction) -> Outcome {
        if self.store.is_left_alone(partition_of(transaction)) {
            return Err(StoreError::Refused);
        }
        let mut tries = FuturesUnordered::new();
        let mut failed = StoreError::NoAnswer("no way was tried".to_owned());
        for way in self.ways(transaction) {
            // Each try outlives the round that began it, and so does its mark.
            let accepted = Rc::new(Cell::new(false));
            tries.push(self.try_way(way.clone(), transaction, Rc::clone(&accepted)));
            let timeout = self.timeout(&way, accepted);
            tokio::select! {
                Some(tried) = tries.next() => match tried {
                    Tried::Ended(outcome) => return outcome,
                    Tried::Failed(error) => failed = error,
                },
                () = timeout => {}
            }
        }
        while let Some(tried) = tries.next().await {
            match tried {
                Tried::Ended(outcome) => return outcome,
                Tried::Failed(error) => failed = error,
            }
        }
        Err(failed)
    }

    /// The ways of a transaction, best first. The last one is always this host's.
    fn ways(&self, transaction: &Transaction) -> Vec<Way> {
        let mut ways = Vec::new();
        if let Err(error) = check_transaction(transaction) {
            // It is a mistake of this version; the store may take it all the same.
            log_event(&Event::new(EventKind::PeerRefused).error(&error));
            return vec![Way::Here];
        }
        let gatherers = self.gatherers.borrow();
        for candidate in gatherers.ranked(partition_of(transaction), self.clock.now()) {
            if candidate.process == self.own_run {
                break;
            }
            ways.push(Way::By(candidate.clone()));
        }
        ways.push(Way::Here);
        ways
    }

    /// Ends once the next way is to be tried beside one.
    async fn timeout(&self, way: &Way, accepted: Rc<Cell<bool>>) {
        let Way::By(candidate) = way else {
            // The store's own client knows when to send again.
            return std::future::pending().await;
        };
        tokio::time::sleep(ACCEPT_TIMEOUT).await;
        match accepted.get() {
            true => {
                let left = self.timeout.get().saturating_sub(ACCEPT_TIMEOUT);
                tokio::time::sleep(left).await;
            }
            false => self.avoid(candidate, "silent"),
        }
    }

    fn try_way<'a>(
        self: &'a Rc<Self>,
        way: Way,
        transaction: &'a Transaction,
        accepted: Rc<Cell<bool>>,
    ) -> Trying<'a> {
        match way {
            Way::Here => Box::pin(async {
                self.metrics.count_commit(CommitWay::Local);
                Tried::Ended(self.join(transaction.clone()).await)
            }),
            Way::By(candidate) => Box::pin(async move {
                self.metrics.count_commit(CommitWay::Batcher);
                self.try_by(&candidate, transaction, &accepted).await
            }),
        }
    }

    async fn try_by(
        &self,
        candidate: &PeerHost<SocketAddr>,
        transaction: &Transaction,
        accepted: &Cell<bool>,
    ) -> Tried {
        let asked_at = self.clock.now();
        let asked = ask(&self.connections, candidate, transaction, accepted);
        let committed = match asked.await {
            Ok(committed) => committed,
            Err(error) => {
                self.avoid(candidate, error.word());
                return Tried::Failed(StoreError::NoAnswer(error.to_string()));
            }
        };
        let took = self.clock.now().saturating_sub(asked_at);
        self.timeout.set(next_timeout(self.timeout.get(), took));
        if matches!(committed, Committed::Applied(_) | Committed::Conflict(_)) {
            self.gatherers.borrow_mut().record_response(&candidate.host);
            self.store
                .note_partition_answered(partition_of(transaction));
        }
        match committed {
            Committed::Applied(version) => Tried::Ended(Ok(Transacted::Applied(version))),
            Committed::Conflict(rows) => Tried::Ended(Ok(Transacted::Conflict(rows))),
            // The rate is one for all hosts: another way would only add to it.
            Committed::Throttled => Tried::Ended(Err(StoreError::Throttled)),
            Committed::Refused => {
                self.avoid(candidate, "store-unreachable");
                Tried::Failed(StoreError::Refused)
            }
            // It is refused to every host; another way would only ask again.
            Committed::PartitionRefused => {
                self.store.note_partition_refused(partition_of(transaction));
                Tried::Ended(Err(StoreError::Refused))
            }
            Committed::NoAnswer => {
                self.avoid(candidate, "store-unreachable");
                Tried::Failed(StoreError::NoAnswer("of the gatherer's store".to_owned()))
            }
        }
    }

    fn avoid(&self, candidate: &PeerHost<SocketAddr>, reason: &'static str) {
        let now = self.clock.now();
        let mut gatherers = self.gatherers.borrow_mut();
        if let Some(wait) = gatherers.record_timeout(&candidate.host, &candidate.process, now) {
            let event = Event::new(EventKind::GathererAvoided).host(&candidate.host);
            log_event(&event.wait_ms(whole_ms(wait)).reason(reason));
        }
    }

    /// Joins a transaction with what waits here for its partition, and sends it
    /// to the store.
    ///
    /// # Errors
    ///
    /// Fails when it was not applied, or when that is not known.
    pub async fn join(self: &Rc<Self>, transaction: Transaction) -> Outcome {
        let name = partition_of(&transaction).to_owned();
        let (told, outcome) = oneshot::channel();
        let since = self.clock.now();
        {
            let mut partitions = self.partitions.borrow_mut();
            let partition = partitions.entry(name.clone()).or_default();
            let id = partition.group.submit(transaction);
            partition.waiters.insert(id, Waiter { told, since });
            self.start_sending(partition, name);
        }
        let ended = || StoreError::NoAnswer("the process stops".to_owned());
        outcome.await.unwrap_or_else(|_| Err(ended()))
    }

    fn start_sending(self: &Rc<Self>, partition: &mut Partition, name: String) {
        if !partition.is_sending {
            partition.is_sending = true;
            actix_rt::spawn(Rc::clone(self).send_all(name));
        }
    }

    async fn send_all(self: Rc<Self>, name: String) {
        loop {
            let next_at = self.next_at(&name);
            tokio::time::sleep(next_at.saturating_sub(self.clock.now())).await;
            let Some(transaction) = self.next_transaction(&name) else {
                return;
            };
            let late_after = self.store.answer_timeout();
            let mut sending = Box::pin(Rc::clone(&self).send(transaction));
            if let Ok(answer) = tokio::time::timeout(late_after, &mut sending).await {
                self.answered(&name, None, answer);
                continue;
            }
            match self.go_on(&name) {
                Some(late) => {
                    let (commits, name) = (Rc::clone(&self), name.clone());
                    actix_rt::spawn(async move {
                        let answer = sending.await;
                        commits.answered(&name, Some(late), answer);
                    });
                }
                None => {
                    let answer = sending.await;
                    self.answered(&name, None, answer);
                }
            }
        }
    }

    async fn send(self: Rc<Self>, transaction: Transaction) -> Outcome {
        self.store.transact(&transaction).await
    }

    /// Counts the transaction on its way as late.
    fn go_on(&self, name: &str) -> Option<OverdueBatchId> {
        let mut partitions = self.partitions.borrow_mut();
        partitions.get_mut(name)?.group.mark_overdue()
    }

    /// When a partition's next transaction may go.
    fn next_at(&self, name: &str) -> Duration {
        let partitions = self.partitions.borrow();
        let partition = partitions.get(name);
        partition.map_or(Duration::ZERO, |partition| partition.next_at)
    }

    fn next_transaction(&self, name: &str) -> Option<Transaction> {
        let mut partitions = self.partitions.borrow_mut();
        let partition = partitions.get_mut(name)?;
        let (transaction, ended) = partition.group.next_transaction();
        partition.tell(ended, None);
        partition.is_sending = transaction.is_some();
        partition.next_at = self.clock.now() + self.pace.get();
        transaction
    }

    fn answered(self: &Rc<Self>, name: &str, late: Option<OverdueBatchId>, outcome: Outcome) {
        let mut partitions = self.partitions.borrow_mut();
        let Some(partition) = partitions.get_mut(name) else {
            return;
        };
        let (answer, error) = match outcome {
            Ok(Transacted::Applied(version)) => (Answer::Applied(version), None),
            Ok(Transacted::Conflict(rows)) => (Answer::Conflict(rows), None),
            Err(error) => (Answer::NotKnown, Some(error)),
        };
        let ended = match late {
            Some(late) => partition.group.record_overdue_answer(late, answer),
            None => partition.group.record_answer(answer),
        };
        self.metrics.count_batch(ended.len());
        partition.tell(ended, error);
        // Others may have waited for its rows alone.
        if partition.group.has_pending() {
            self.start_sending(partition, name.to_owned());
        }
    }
}

impl Partition {
    /// Tells who asked. `error` is why nothing is known, where that is the answer.
    fn tell(&mut self, ended: Vec<(BatchEntryId, Answer)>, error: Option<StoreError>) {
        for (id, answer) in ended {
            let outcome = match answer {
                Answer::Applied(version) => Ok(Transacted::Applied(version)),
                Answer::Conflict(rows) => Ok(Transacted::Conflict(rows)),
                Answer::NotKnown => Err(error.clone().unwrap_or_else(other_conflict)),
            };
            if let Some(waiter) = self.waiters.remove(&id) {
                // Who asked may have gone, or asked elsewhere meanwhile.
                let _ = waiter.told.send(outcome);
            }
        }
    }
}

fn other_conflict() -> StoreError {
    StoreError::NoAnswer("a conflict of none of the conditions".to_owned())
}

/// The partition of a transaction, which has one.
fn partition_of(transaction: &Transaction) -> &str {
    let row = transaction.rows().next();
    row.map_or("", |row| row.partition.as_str())
}

/// An outcome as it is sent to another gateway. `is_up`: whether the store answers this
/// one.
fn committed(outcome: Outcome, is_up: bool) -> Committed {
    match outcome {
        Ok(Transacted::Applied(version)) => Committed::Applied(version),
        Ok(Transacted::Conflict(rows)) => Committed::Conflict(rows),
        Err(StoreError::Throttled) => Committed::Throttled,
        Err(StoreError::Refused) if is_up => Committed::PartitionRefused,
        Err(StoreError::Refused) => Committed::Refused,
        Err(StoreError::HistoryGone | StoreError::NoAnswer(_)) => Committed::NoAnswer,
    }
}
