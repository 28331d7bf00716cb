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
use rosebend_coordination::gateway::group_commit::{GroupCommit, min_batch_interval};
use rosebend_coordination::gateway::pending_changes::Answer;
use rosebend_state::deployment::{RowId, Transaction};

/// Time that a partition takes to apply one transaction, as the store declares it.
const TRANSACTION_TIME: Duration = Duration::from_millis(8);
/// One-way latency to the store or to another host.
const HOP: Duration = Duration::from_millis(1);
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

/// The load on the store and the size of the deployment.
#[derive(Clone, Debug)]
pub struct Load {
    pub hosts: u64,
    pub partitions: u64,
    pub writes_per_s: u64,
    /// The phases, each with its changes per second and its duration.
    pub phases: Vec<(u64, Duration)>,
}

/// Statistics of the changes that began within one phase of the load.
#[derive(Clone, Debug, Default)]
pub struct PhaseStats {
    pub changes: u64,
    pub in_time: u64,
    pub calls: u64,
    pub longest: Duration,
}

impl PhaseStats {
    pub fn in_time_percent(&self) -> u64 {
        self.in_time * 100 / self.changes.max(1)
    }
}

enum Event {
    /// A change reaches its batcher.
    Arrival {
        batcher: u64,
        phase: usize,
        began: Duration,
        row: u64,
    },
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
    /// The phase and the start of each batch entry.
    entries: HashMap<u64, (usize, Duration)>,
    is_sending: bool,
    pause: Duration,
    /// Earliest time of the next batch.
    next_at: Duration,
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
    stats: Vec<PhaseStats>,
}

/// Simulates a load and returns the statistics of each phase. A change is in time if it
/// is durable within `limit`.
pub fn simulate(load: &Load, batching: Batching, limit: Duration, seed: u64) -> Vec<PhaseStats> {
    let mut simulation = Simulation::new(load, batching, seed);
    while let Some(Reverse((at, id))) = simulation.events.pop() {
        simulation.now = at;
        let event = simulation
            .pending
            .remove(&id)
            .expect("each event is scheduled once");
        simulation.handle(event, load, limit);
    }
    simulation.stats
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
                let event = Event::Arrival {
                    batcher,
                    phase,
                    began,
                    row,
                };
                simulation.schedule(began + delay, event);
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
                phase,
                began,
                row,
            } => {
                let batcher = self.batchers.entry(id).or_default();
                let entry_id = batcher.group.submit(change(row));
                batcher.entries.insert(entry_id, (phase, began));
                self.schedule_batch(id);
            }
            Event::BatchDue { batcher } => self.form_batch(batcher, load),
            Event::StoreCall { batcher } => self.call_store(batcher, load),
            Event::StoreAnswer { batcher, applied } => self.handle_answer(batcher, applied, limit),
        }
    }

    /// Schedules the next batch of a batcher for the earliest time allowed.
    fn schedule_batch(&mut self, id: u64) {
        let batcher = self.batcher(id);
        if batcher.is_sending || batcher.group.open_entries() == 0 {
            return;
        }
        batcher.is_sending = true;
        let (paused, next_at) = (batcher.pause, batcher.next_at);
        let at = next_at.max(self.now + paused);
        self.schedule(at, Event::BatchDue { batcher: id });
    }

    fn form_batch(&mut self, id: u64, load: &Load) {
        let now = self.now;
        let batcher = self.batcher(id);
        batcher.next_at = now + min_batch_interval(load.partitions, load.writes_per_s);
        batcher.is_sending = batcher.group.next_transaction().0.is_some();
        if batcher.is_sending {
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

    fn handle_answer(&mut self, id: u64, applied: bool, limit: Duration) {
        let batcher = self
            .batchers
            .get_mut(&id)
            .expect("an answer follows a batch");
        batcher.is_sending = false;
        let answer = match applied {
            true => Answer::Applied(1),
            false => Answer::NotKnown,
        };
        let ended = batcher.group.record_answer(answer);
        let mut is_first = true;
        for (entry_id, _) in ended {
            let (phase, began) = batcher
                .entries
                .remove(&entry_id)
                .expect("each entry ends once");
            if applied {
                let stats = &mut self.stats[phase];
                let took = self.now - began + HOP;
                stats.calls += u64::from(is_first);
                stats.changes += 1;
                stats.in_time += u64::from(took <= limit);
                stats.longest = stats.longest.max(took);
                is_first = false;
            } else {
                // The host of the entry sends it again.
                let row = entry_id;
                let retry_id = batcher.group.submit(change(u64::MAX - row));
                batcher.entries.insert(retry_id, (phase, began));
            }
        }
        if applied {
            batcher.pause = Duration::ZERO;
        } else {
            batcher.pause = (batcher.pause * 2).clamp(FIRST_PAUSE, MAX_PAUSE);
        }
        self.schedule_batch(id);
    }
}

/// Returns a change of a new program: its ledger, which must not exist yet, and a turn.
fn change(row: u64) -> Transaction {
    let ledger = RowId::new("programs", "p00", format!("program-{row}/"));
    let turn = RowId::new("programs", "p00", format!("program-{row}/turn/0000"));
    let index = RowId::new("turns", "p00", format!("turn-{row}"));
    Transaction::default()
        .expect_absent(ledger.clone())
        .write(ledger, vec![0; 120])
        .write(turn, vec![0; 2_600])
        .write(index, vec![0; 16])
}
