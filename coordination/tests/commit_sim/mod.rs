//! A discrete-event simulation of a store with its declared limits and of hosts that
//! commit changes to it.
//!
//! A call beyond the rate limit is refused and sent again after a pause that doubles with
//! each refusal in a row, as in the gateways. A partition applies one transaction after
//! another.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rosebend_coordination::gateway::batch_pacing::{BatchBucket, BatchRate};
use rosebend_coordination::gateway::group_commit::GroupCommit;
use rosebend_coordination::gateway::pending_changes::Answer;
use rosebend_state::deployment::{RowId, Transaction};

/// Time that a partition takes to apply one transaction, as the store declares it.
pub const TRANSACTION_TIME: Duration = Duration::from_millis(8);
/// One-way latency to the store or to another host.
pub const HOP: Duration = Duration::from_millis(1);
/// Maximum time to apply the queue of a partition. Calls beyond it are refused.
const MAX_QUEUE: Duration = Duration::from_secs(1);
const FIRST_PAUSE: Duration = Duration::from_millis(40);
const MAX_PAUSE: Duration = Duration::from_millis(320);

/// The hosts that batch the changes of a partition.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Batching {
    /// Each host batches its own changes.
    EachHost,
    /// One host batches the changes of all hosts.
    OneHost,
}

/// The changes that one request makes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Traffic {
    /// One change, which concerns no other request.
    Changes,
    /// A turn: a reservation, and once it is durable the end of the turn. Both are changes
    /// of the same partition.
    Turns,
}

/// The load on the store and the size of the deployment.
#[derive(Clone, Debug)]
pub struct Load {
    pub hosts: u64,
    pub partitions: u64,
    pub writes_per_s: u64,
    pub traffic: Traffic,
    /// The phases, each with its requests per second and its duration.
    pub phases: Vec<(u64, Duration)>,
}

/// Statistics of the changes that began within one phase of the load.
#[derive(Clone, Debug, Default)]
pub struct PhaseStats {
    pub changes: u64,
    pub in_time: u64,
    pub calls: u64,
    pub longest: Duration,
    /// The times until the ends of turns were durable.
    pub turn_ends: Vec<Duration>,
}

/// The result of a simulation.
#[derive(Clone, Debug)]
pub struct Simulated {
    pub phases: Vec<PhaseStats>,
    /// The number of calls that the store refused because they were beyond its rate.
    pub calls_beyond_rate: u64,
}

impl PhaseStats {
    pub fn in_time_percent(&self) -> u64 {
        self.in_time * 100 / self.changes.max(1)
    }

    /// Returns the median time until the end of a turn was durable.
    pub fn median_turn_end(&self) -> Duration {
        let mut turn_ends = self.turn_ends.clone();
        turn_ends.sort_unstable();
        turn_ends[turn_ends.len() / 2]
    }
}

/// A change that a host has sent to its batcher.
#[derive(Clone, Copy)]
struct SentChange {
    phase: usize,
    began: Duration,
    row: u64,
    step: Step,
}

/// The part of its request that a change is.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Step {
    /// The only change of its request.
    Only,
    /// The reservation of a turn, which the end of the turn follows.
    Reservation,
    /// The end of a turn.
    TurnEnd,
}

enum Event {
    /// A change reaches its batcher.
    Arrival { batcher: u64, change: SentChange },
    /// A batcher forms its next batch.
    BatchDue { batcher: u64 },
    /// A batch reaches the store.
    StoreCall { batcher: u64 },
    /// The store's answer to a batch reaches the batcher.
    StoreAnswer { batcher: u64, applied: bool },
}

/// The changes of one partition that are batched together, of one host or of all hosts.
#[derive(Default)]
struct Batcher {
    group: GroupCommit,
    entries: HashMap<u64, SentChange>,
    is_sending: bool,
    pause: Duration,
    bucket: BatchBucket,
}

struct Simulation {
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    pending: HashMap<u64, Event>,
    next_event_id: u64,
    batchers: HashMap<u64, Batcher>,
    /// The time at which each partition has applied its queue.
    free_at: HashMap<u64, Duration>,
    /// The current second and the number of calls within it.
    calls: (u64, u64),
    calls_beyond_rate: u64,
    stats: Vec<PhaseStats>,
}

/// Simulates a load and returns the statistics of each phase. A change is in time if it
/// is durable within `limit`.
pub fn simulate(load: &Load, batching: Batching, limit: Duration, seed: u64) -> Simulated {
    let mut simulation = Simulation::new(load, batching, seed);
    while let Some(Reverse((at, id))) = simulation.events.pop() {
        simulation.now = at;
        let event = simulation
            .pending
            .remove(&id)
            .expect("each event is scheduled once");
        simulation.handle(event, load, limit);
    }
    Simulated {
        phases: simulation.stats,
        calls_beyond_rate: simulation.calls_beyond_rate,
    }
}

impl Simulation {
    fn new(load: &Load, batching: Batching, seed: u64) -> Self {
        let mut simulation = Self {
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            pending: HashMap::new(),
            next_event_id: 0,
            batchers: HashMap::new(),
            free_at: HashMap::new(),
            calls: (0, 0),
            calls_beyond_rate: 0,
            stats: vec![PhaseStats::default(); load.phases.len()],
        };
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut from = Duration::ZERO;
        let mut row = 0;
        for (phase, (per_second, duration)) in load.phases.iter().enumerate() {
            let count = per_second * duration.as_millis() as u64 / 1_000;
            for _ in 0..count {
                row += 1;
                let began = from + duration.mul_f64(random.random());
                let partition = random.random_range(0..load.partitions);
                let host = random.random_range(0..load.hosts);
                let (batcher, delay) = match batching {
                    Batching::EachHost => (host * load.partitions + partition, Duration::ZERO),
                    Batching::OneHost => (partition, HOP),
                };
                let step = match load.traffic {
                    Traffic::Changes => Step::Only,
                    Traffic::Turns => Step::Reservation,
                };
                let change = SentChange {
                    phase,
                    began,
                    row,
                    step,
                };
                simulation.schedule(began + delay, Event::Arrival { batcher, change });
            }
            from += *duration;
        }
        simulation
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.next_event_id += 1;
        self.pending.insert(self.next_event_id, event);
        self.events.push(Reverse((at, self.next_event_id)));
    }

    fn handle(&mut self, event: Event, load: &Load, limit: Duration) {
        match event {
            Event::Arrival {
                batcher: id,
                change,
            } => {
                let batcher = self.batchers.entry(id).or_default();
                let entry_id = batcher.group.submit(transaction(change.row));
                batcher.entries.insert(entry_id, change);
                self.schedule_batch(id, load);
            }
            Event::BatchDue { batcher } => self.form_batch(batcher, load),
            Event::StoreCall { batcher } => self.call_store(batcher, load),
            Event::StoreAnswer { batcher, applied } => {
                self.handle_answer(batcher, applied, load, limit);
            }
        }
    }

    /// Schedules the next batch of a batcher for the earliest time allowed.
    fn schedule_batch(&mut self, id: u64, load: &Load) {
        let batcher = self.batcher(id);
        if batcher.is_sending || batcher.group.open_entries() == 0 {
            return;
        }
        batcher.is_sending = true;
        let next_at = batcher.bucket.next_batch_at(batch_rate(load));
        let paused = batcher.pause;
        let at = next_at.max(self.now + paused);
        self.schedule(at, Event::BatchDue { batcher: id });
    }

    fn form_batch(&mut self, id: u64, load: &Load) {
        let now = self.now;
        let batcher = self.batcher(id);
        batcher.is_sending = batcher.group.next_transaction().0.is_some();
        if batcher.is_sending {
            batcher.bucket.take(batch_rate(load), now);
            self.schedule(now + HOP, Event::StoreCall { batcher: id });
        }
    }

    fn batcher(&mut self, id: u64) -> &mut Batcher {
        self.batchers
            .get_mut(&id)
            .expect("an arrival creates the batcher")
    }

    fn call_store(&mut self, batcher: u64, load: &Load) {
        let second = self.now.as_secs();
        if self.calls.0 != second {
            self.calls = (second, 0);
        }
        let is_within_rate = self.calls.1 < load.writes_per_s;
        self.calls.1 += u64::from(is_within_rate);
        self.calls_beyond_rate += u64::from(!is_within_rate);
        let partition = batcher % load.partitions;
        let free_at = self.free_at.entry(partition).or_default();
        let starts = (*free_at).max(self.now);
        let applied = is_within_rate && starts - self.now < MAX_QUEUE;
        let done = match applied {
            true => {
                *free_at = starts + TRANSACTION_TIME;
                *free_at
            }
            false => self.now,
        };
        self.schedule(done + HOP, Event::StoreAnswer { batcher, applied });
    }

    fn handle_answer(&mut self, id: u64, applied: bool, load: &Load, limit: Duration) {
        let now = self.now;
        let batcher = self.batcher(id);
        batcher.is_sending = false;
        let answer = match applied {
            true => Answer::Applied(1),
            false => Answer::NotKnown,
        };
        let ended: Vec<SentChange> = batcher
            .group
            .record_answer(answer)
            .iter()
            .map(|(entry, _)| {
                let change = batcher.entries.remove(entry);
                change.expect("each entry ends once")
            })
            .collect();
        if applied {
            batcher.pause = Duration::ZERO;
        } else {
            batcher.pause = (batcher.pause * 2).clamp(FIRST_PAUSE, MAX_PAUSE);
            // The host of an entry sends it again.
            for change in &ended {
                let entry = batcher.group.submit(transaction(change.row));
                batcher.entries.insert(entry, *change);
            }
        }
        if applied {
            for (index, change) in ended.into_iter().enumerate() {
                self.stats[change.phase].calls += u64::from(index == 0);
                self.record_durable(id, change, now + HOP, limit);
            }
        }
        self.schedule_batch(id, load);
    }

    /// Records that a host learns at a time that a change is durable, and sends the change
    /// that follows it.
    fn record_durable(&mut self, id: u64, change: SentChange, at: Duration, limit: Duration) {
        let stats = &mut self.stats[change.phase];
        let took = at - change.began;
        stats.changes += 1;
        stats.in_time += u64::from(took <= limit);
        stats.longest = stats.longest.max(took);
        match change.step {
            Step::Only => {}
            Step::TurnEnd => stats.turn_ends.push(took),
            Step::Reservation => {
                let change = SentChange {
                    began: at,
                    step: Step::TurnEnd,
                    row: change.row | TURN_END_BIT,
                    ..change
                };
                self.schedule(
                    at + HOP,
                    Event::Arrival {
                        batcher: id,
                        change,
                    },
                );
            }
        }
    }
}

/// Distinguishes the rows of the end of a turn from those of its reservation.
const TURN_END_BIT: u64 = 1 << 32;

fn batch_rate(load: &Load) -> BatchRate {
    BatchRate::new(load.partitions, load.writes_per_s)
}

/// Returns a change of a new program: its ledger, which must not exist yet, and a turn.
fn transaction(row: u64) -> Transaction {
    let ledger = RowId::new("programs", "p00", format!("program-{row}/"));
    let turn = RowId::new("programs", "p00", format!("program-{row}/turn/0000"));
    let index = RowId::new("turns", "p00", format!("turn-{row}"));
    Transaction::default()
        .expect_absent(ledger.clone())
        .write(ledger, vec![0; 120])
        .write(turn, vec![0; 2_600])
        .write(index, vec![0; 16])
}
