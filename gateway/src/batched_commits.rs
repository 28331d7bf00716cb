//! Sends each transaction to the store through the host that batches the transactions
//! of its partition.
//!
//! A transaction is sent to the partition's batcher, which acknowledges it at once
//! and returns its outcome later. If the acknowledgement or the outcome does not
//! arrive in time, the batcher enters a backoff, and the transaction is sent to the
//! next batcher or directly to the store. A transaction may therefore be sent twice.
//! Its conditions prevent it from being applied twice, and the first outcome that
//! arrives is returned to the caller.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rosebend_coordination::gateway::batch_pacing::{BatchBucket, BatchRate};
use rosebend_coordination::gateway::batchers::{Batchers, PeerHost};
use rosebend_coordination::gateway::group_commit::{BatchEntryId, GroupCommit, OverdueBatchId};
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

/// Timeout for the acknowledgement of a transaction by a batcher, during which the
/// caller waits. A batcher takes 2 to 4 ms to acknowledge, and one on a host with
/// a tenth of a core takes about 30 ms.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(80);

/// The outcome of a transaction, as it is returned to the caller.
type Outcome = Result<Transacted, StoreError>;

/// The transactions of one partition that this host batches.
#[derive(Debug, Default)]
struct Partition {
    group: GroupCommit,
    waiters: HashMap<BatchEntryId, Waiter>,
    /// Whether a task is running that sends the batches of the partition.
    is_sending: bool,
    /// Limits the rate of the batches.
    bucket: BatchBucket,
}

/// A caller that waits for the outcome of a batch entry.
#[derive(Debug)]
struct Waiter {
    sender: oneshot::Sender<Outcome>,
    submitted_at: Duration,
}

/// Sends the transactions of this host, and batches those that other hosts send to it.
#[derive(Debug)]
pub struct BatchedCommits {
    own_process: ProcessId,
    store: Rc<StoreClient>,
    metrics: Rc<Metrics>,
    clock: Clock,
    /// Rate of the batches of each partition.
    batch_rate: Cell<BatchRate>,
    batchers: RefCell<Batchers<SocketAddr>>,
    /// Time after its sending at which a transaction that a batcher has acknowledged is
    /// also sent along the next path. It is four times the time that recent outcomes
    /// took.
    timeout: Cell<Duration>,
    connections: PeerConnections,
    partitions: RefCell<HashMap<String, Partition>>,
}

/// A path by which a transaction reaches the store.
#[derive(Clone)]
enum CommitPath {
    /// This host batches it with the transactions that other hosts sent here.
    Local,
    /// Another host batches it.
    Batcher(PeerHost<SocketAddr>),
}

/// The result of sending a transaction along one path.
enum AttemptResult {
    /// The outcome of the transaction.
    Ended(Outcome),
    /// The path failed, and another one should be tried.
    Failed(StoreError),
}

type Attempt<'a> = Pin<Box<dyn Future<Output = AttemptResult> + 'a>>;

impl BatchedCommits {
    /// Creates an instance that has no transactions and no list of hosts yet.
    /// `writes_per_s` is the write rate that the store declares for all hosts together.
    pub fn new(
        own_process: ProcessId,
        store: Rc<StoreClient>,
        metrics: Rc<Metrics>,
        clock: Clock,
        writes_per_s: u64,
        connections: PeerConnections,
    ) -> Self {
        Self {
            own_process,
            store,
            metrics,
            clock,
            batch_rate: Cell::new(BatchRate::new(PARTITIONS, writes_per_s)),
            batchers: RefCell::default(),
            timeout: Cell::new(MIN_TIMEOUT),
            connections,
            partitions: RefCell::default(),
        }
    }

    /// Sets the write rate that the store declares for all hosts together.
    pub fn set_writes_per_s(&self, writes_per_s: u64) {
        self.batch_rate
            .set(BatchRate::new(PARTITIONS, writes_per_s));
    }

    /// Replaces the list of all running hosts, which includes this one.
    pub fn set_hosts(&self, hosts: Vec<PeerHost<SocketAddr>>) {
        let is_listed = |address: &SocketAddr| hosts.iter().any(|host| host.address == *address);
        self.connections.retain(is_listed);
        self.batchers.borrow_mut().set_hosts(hosts);
    }

    /// Returns the number of entries that this host batches, for itself or for other
    /// hosts, and whose outcome is not known yet.
    pub fn open_entry_count(&self) -> usize {
        let partitions = self.partitions.borrow();
        partitions
            .values()
            .map(|partition| partition.group.open_entries())
            .sum()
    }

    /// Returns the time since the oldest pending batch entry was submitted.
    pub fn oldest_entry_age(&self) -> Duration {
        let partitions = self.partitions.borrow();
        let waiters = partitions
            .values()
            .flat_map(|partition| partition.waiters.values());
        let oldest = waiters.map(|waiter| waiter.submitted_at).min();
        oldest.map_or(Duration::ZERO, |submitted_at| {
            self.clock.now().saturating_sub(submitted_at)
        })
    }

    /// Applies a transaction of one partition, through the partition's batcher if there
    /// is one.
    ///
    /// # Errors
    ///
    /// Returns an error if the transaction was not applied or its outcome is unknown.
    pub async fn transact(self: &Rc<Self>, transaction: &Transaction) -> Outcome {
        if self.store.is_left_alone(partition_of(transaction)) {
            return Err(StoreError::Refused);
        }
        let mut attempts = FuturesUnordered::new();
        let mut last_error = StoreError::NoAnswer("the transaction was not sent".to_owned());
        for path in self.paths(transaction) {
            // Each attempt may outlive the iteration that started it, and so may its
            // flag.
            let accepted = Rc::new(Cell::new(false));
            attempts.push(self.try_path(path.clone(), transaction, Rc::clone(&accepted)));
            let timeout = self.wait_for_timeout(&path, accepted);
            tokio::select! {
                Some(result) = attempts.next() => match result {
                    AttemptResult::Ended(outcome) => return outcome,
                    AttemptResult::Failed(error) => last_error = error,
                },
                () = timeout => {}
            }
        }
        while let Some(result) = attempts.next().await {
            match result {
                AttemptResult::Ended(outcome) => return outcome,
                AttemptResult::Failed(error) => last_error = error,
            }
        }
        Err(last_error)
    }

    /// Returns the paths of a transaction in order of preference. The last one always
    /// is this host.
    fn paths(&self, transaction: &Transaction) -> Vec<CommitPath> {
        let mut paths = Vec::new();
        if let Err(error) = check_transaction(transaction) {
            // The transaction is malformed because of a bug in this version, but the
            // store may still accept it.
            log_event(&Event::new(EventKind::PeerRefused).error(&error));
            return vec![CommitPath::Local];
        }
        let batchers = self.batchers.borrow();
        for batcher in batchers.ranked(partition_of(transaction), self.clock.now()) {
            if batcher.process == self.own_process {
                break;
            }
            paths.push(CommitPath::Batcher(batcher.clone()));
        }
        paths.push(CommitPath::Local);
        paths
    }

    /// Waits until the next path is to be tried beside the given one.
    async fn wait_for_timeout(&self, path: &CommitPath, accepted: Rc<Cell<bool>>) {
        let CommitPath::Batcher(batcher) = path else {
            // The store's client has its own retries.
            return std::future::pending().await;
        };
        tokio::time::sleep(ACCEPT_TIMEOUT).await;
        match accepted.get() {
            true => {
                let left = self.timeout.get().saturating_sub(ACCEPT_TIMEOUT);
                tokio::time::sleep(left).await;
            }
            false => self.record_failure(batcher, "silent"),
        }
    }

    fn try_path<'a>(
        self: &'a Rc<Self>,
        path: CommitPath,
        transaction: &'a Transaction,
        accepted: Rc<Cell<bool>>,
    ) -> Attempt<'a> {
        match path {
            CommitPath::Local => Box::pin(async {
                self.metrics.count_commit(CommitWay::Local);
                AttemptResult::Ended(self.batch(transaction.clone()).await)
            }),
            CommitPath::Batcher(batcher) => Box::pin(async move {
                self.metrics.count_commit(CommitWay::Batcher);
                self.try_batcher(&batcher, transaction, &accepted).await
            }),
        }
    }

    async fn try_batcher(
        &self,
        batcher: &PeerHost<SocketAddr>,
        transaction: &Transaction,
        accepted: &Cell<bool>,
    ) -> AttemptResult {
        let sent_at = self.clock.now();
        let request = ask(&self.connections, batcher, transaction, accepted);
        let committed = match request.await {
            Ok(committed) => committed,
            Err(error) => {
                self.record_failure(batcher, error.as_str());
                return AttemptResult::Failed(StoreError::NoAnswer(error.to_string()));
            }
        };
        let elapsed = self.clock.now().saturating_sub(sent_at);
        self.timeout.set(next_timeout(self.timeout.get(), elapsed));
        let is_from_store = matches!(
            committed,
            Committed::Applied(_) | Committed::Conflict(_) | Committed::Rejected
        );
        if is_from_store {
            self.batchers.borrow_mut().record_response(&batcher.host);
            self.store
                .note_partition_answered(partition_of(transaction));
        }
        match committed {
            Committed::Applied(version) => AttemptResult::Ended(Ok(Transacted::Applied(version))),
            Committed::Conflict(rows) => AttemptResult::Ended(Ok(Transacted::Conflict(rows))),
            // Another path would lead to the same store.
            Committed::Rejected => {
                AttemptResult::Ended(Err(StoreError::Rejected("at its batcher".to_owned())))
            }
            // All hosts share one rate limit, so another path would only add load.
            Committed::Throttled => AttemptResult::Ended(Err(StoreError::Throttled)),
            Committed::Refused => {
                self.record_failure(batcher, "store-unreachable");
                AttemptResult::Failed(StoreError::Refused)
            }
            // The store refuses the partition to every host, so another path would
            // fail as well.
            Committed::PartitionRefused => {
                self.store.note_partition_refused(partition_of(transaction));
                AttemptResult::Ended(Err(StoreError::Refused))
            }
            Committed::NoAnswer => {
                self.record_failure(batcher, "store-unreachable");
                AttemptResult::Failed(StoreError::NoAnswer("the batcher received none".to_owned()))
            }
        }
    }

    fn record_failure(&self, batcher: &PeerHost<SocketAddr>, reason: &'static str) {
        let now = self.clock.now();
        let mut batchers = self.batchers.borrow_mut();
        if let Some(wait) = batchers.record_timeout(&batcher.host, &batcher.process, now) {
            let event = Event::new(EventKind::GathererAvoided).host(&batcher.host);
            log_event(&event.wait_ms(whole_ms(wait)).reason(reason));
        }
    }

    /// Batches a transaction with those that are pending here for its partition, and
    /// sends it to the store.
    ///
    /// # Errors
    ///
    /// Returns an error if the transaction was not applied or its outcome is unknown.
    pub async fn batch(self: &Rc<Self>, transaction: Transaction) -> Outcome {
        let name = partition_of(&transaction).to_owned();
        let (sender, outcome) = oneshot::channel();
        let submitted_at = self.clock.now();
        {
            let mut partitions = self.partitions.borrow_mut();
            let partition = partitions.entry(name.clone()).or_default();
            let id = partition.group.submit(transaction);
            partition.waiters.insert(
                id,
                Waiter {
                    sender,
                    submitted_at,
                },
            );
            self.start_sending(partition, name);
        }
        let stopping_error = || StoreError::NoAnswer("the process is stopping".to_owned());
        outcome.await.unwrap_or_else(|_| Err(stopping_error()))
    }

    fn start_sending(self: &Rc<Self>, partition: &mut Partition, name: String) {
        if !partition.is_sending {
            partition.is_sending = true;
            actix_rt::spawn(Rc::clone(self).send_batches(name));
        }
    }

    async fn send_batches(self: Rc<Self>, name: String) {
        loop {
            self.wait_for_token(&name).await;
            let Some(transaction) = self.next_transaction(&name) else {
                return;
            };
            let overdue_after = self.store.answer_timeout();
            let mut sending = Box::pin(Rc::clone(&self).send(transaction));
            if let Ok(answer) = tokio::time::timeout(overdue_after, &mut sending).await {
                self.record_outcome(&name, None, answer);
                continue;
            }
            match self.mark_batch_overdue(&name) {
                Some(overdue) => {
                    let (commits, name) = (Rc::clone(&self), name.clone());
                    actix_rt::spawn(async move {
                        let answer = sending.await;
                        commits.record_outcome(&name, Some(overdue), answer);
                    });
                }
                None => {
                    let answer = sending.await;
                    self.record_outcome(&name, None, answer);
                }
            }
        }
    }

    async fn send(self: Rc<Self>, transaction: Transaction) -> Outcome {
        self.store.transact(&transaction).await
    }

    /// Marks the batch in flight as overdue, so that the next one can be sent beside it.
    fn mark_batch_overdue(&self, name: &str) -> Option<OverdueBatchId> {
        let mut partitions = self.partitions.borrow_mut();
        partitions.get_mut(name)?.group.mark_overdue()
    }

    /// Waits until the rate permits a partition's next batch.
    async fn wait_for_token(&self, name: &str) {
        let next_at = self.next_batch_at(name);
        let wait = next_at.saturating_sub(self.clock.now());
        // Even a sleep of no time lasts until the timer's next tick, up to 1 ms.
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
    }

    /// Returns the earliest time at which a partition's next batch may be sent.
    fn next_batch_at(&self, name: &str) -> Duration {
        let partitions = self.partitions.borrow();
        let rate = self.batch_rate.get();
        let partition = partitions.get(name);
        partition.map_or(Duration::ZERO, |partition| {
            partition.bucket.next_batch_at(rate)
        })
    }

    fn next_transaction(&self, name: &str) -> Option<Transaction> {
        let mut partitions = self.partitions.borrow_mut();
        let partition = partitions.get_mut(name)?;
        let (transaction, ended) = partition.group.next_transaction();
        partition.notify_waiters(ended, None);
        partition.is_sending = transaction.is_some();
        if transaction.is_some() {
            let now = self.clock.now();
            partition.bucket.take(self.batch_rate.get(), now);
        }
        transaction
    }

    fn record_outcome(
        self: &Rc<Self>,
        name: &str,
        overdue: Option<OverdueBatchId>,
        outcome: Outcome,
    ) {
        let mut partitions = self.partitions.borrow_mut();
        let Some(partition) = partitions.get_mut(name) else {
            return;
        };
        let (answer, error) = match outcome {
            Ok(Transacted::Applied(version)) => (Answer::Applied(version), None),
            Ok(Transacted::Conflict(rows)) => (Answer::Conflict(rows), None),
            Err(error @ StoreError::Rejected(_)) => (Answer::Rejected, Some(error)),
            Err(error) => (Answer::NotKnown, Some(error)),
        };
        let ended = match overdue {
            Some(overdue) => partition.group.record_overdue_answer(overdue, answer),
            None => partition.group.record_answer(answer),
        };
        self.metrics.count_batch(ended.len());
        partition.notify_waiters(ended, error);
        // Pending entries may have been blocked only by the rows of this batch.
        if partition.group.has_pending() {
            self.start_sending(partition, name.to_owned());
        }
    }
}

impl Partition {
    /// Sends the outcomes of finished entries to their callers. `error` is the reason for
    /// unknown outcomes.
    fn notify_waiters(&mut self, ended: Vec<(BatchEntryId, Answer)>, error: Option<StoreError>) {
        for (id, answer) in ended {
            let outcome = match answer {
                Answer::Applied(version) => Ok(Transacted::Applied(version)),
                Answer::Conflict(rows) => Ok(Transacted::Conflict(rows)),
                Answer::Rejected => Err(error.clone().unwrap_or_else(too_large)),
                Answer::NotKnown => Err(error.clone().unwrap_or_else(unattributed_conflict)),
            };
            if let Some(waiter) = self.waiters.remove(&id) {
                // The caller may have been cancelled, or may have received the outcome
                // along another path.
                let _ = waiter.sender.send(outcome);
            }
        }
    }
}

/// Returns the error of a transaction that was not sent, because it exceeds the limits of
/// the store.
fn too_large() -> StoreError {
    StoreError::Rejected("it is too large".to_owned())
}

fn unattributed_conflict() -> StoreError {
    StoreError::NoAnswer("conflict without a failed condition".to_owned())
}

/// Returns the partition of a transaction, all of whose rows are in the same one.
fn partition_of(transaction: &Transaction) -> &str {
    let row = transaction.rows().next();
    row.map_or("", |row| row.partition.as_str())
}

/// Converts an outcome to the form that is sent to another gateway. `is_store_up` is
/// whether the store answers this gateway.
fn committed(outcome: Outcome, is_store_up: bool) -> Committed {
    match outcome {
        Ok(Transacted::Applied(version)) => Committed::Applied(version),
        Ok(Transacted::Conflict(rows)) => Committed::Conflict(rows),
        Err(StoreError::Throttled) => Committed::Throttled,
        Err(StoreError::Rejected(_)) => Committed::Rejected,
        Err(StoreError::Refused) if is_store_up => Committed::PartitionRefused,
        Err(StoreError::Refused) => Committed::Refused,
        Err(StoreError::HistoryGone | StoreError::NoAnswer(_)) => Committed::NoAnswer,
    }
}
