//! A store with the limits that it declares, and hosts whose changes go there,
//! in simulated time.
//!
//! A call beyond the rate is refused and sent again after a pause that doubles,
//! as the hosts do. A partition applies one transaction after another.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rosebend_coordination::gateway::group_commit::{GroupCommit, min_batch_interval};
use rosebend_coordination::gateway::pending_changes::Answer;
use rosebend_state::deployment::{RowId, Transaction};

/// Time of one transaction at its partition, as the store declares it.
const TRANSACTION: Duration = Duration::from_millis(8);
/// Way to the store or to another host, one direction.
const HOP: Duration = Duration::from_millis(1);
/// Longest queue of a partition before it refuses more.
const MAX_QUEUE: Duration = Duration::from_secs(1);
const FIRST_PAUSE: Duration = Duration::from_millis(40);
const MAX_PAUSE: Duration = Duration::from_millis(320);

/// Who joins the changes of a partition.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Joining {
    /// Each host joins its own.
    EachHost,
    /// One host joins those of all.
    OneHost,
}

/// What is asked of the store.
#[derive(Clone, Debug)]
pub struct Load {
    pub hosts: u64,
    pub partitions: u64,
    pub writes_per_s: u64,
    /// Changes a second, and for how long.
    pub phases: Vec<(u64, Duration)>,
}

/// How changes fared that began within one phase.
#[derive(Clone, Debug, Default)]
pub struct Fared {
    pub changes: u64,
    pub in_time: u64,
    pub calls: u64,
    pub longest: Duration,
}

impl Fared {
    pub fn in_time_percent(&self) -> u64 {
        self.in_time * 100 / self.changes.max(1)
    }
}

enum Event {
    /// A change reaches the host that joins it.
    Arrives {
        sender: u64,
        phase: usize,
        began: Duration,
        row: u64,
    },
    /// A sender builds its next transaction.
    Sends { sender: u64 },
    /// A joined transaction reaches the store.
    Calls { sender: u64 },
    /// Its answer is back.
    Answered { sender: u64, applied: bool },
}

/// One host's, or all hosts', changes of one partition.
#[derive(Default)]
struct Sender {
    group: GroupCommit,
    /// Phase and beginning of each part.
    parts: HashMap<u64, (usize, Duration)>,
    is_sending: bool,
    pause: Duration,
    /// When the next transaction may go.
    next_at: Duration,
}

struct World {
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    pending: HashMap<u64, Event>,
    next: u64,
    senders: HashMap<u64, Sender>,
    /// When each partition is free again.
    free_at: HashMap<u64, Duration>,
    /// Calls in the present second.
    calls: (u64, u64),
    fared: Vec<Fared>,
}

/// Plays a load, and tells how the changes of each phase fared. One is in time
/// when it is durable within `limit`.
pub fn play(load: &Load, joining: Joining, limit: Duration, seed: u64) -> Vec<Fared> {
    let mut world = World::new(load, joining, seed);
    while let Some(Reverse((at, id))) = world.events.pop() {
        world.now = at;
        let event = world.pending.remove(&id).expect("each event is kept once");
        world.play(event, load, limit);
    }
    world.fared
}

impl World {
    fn new(load: &Load, joining: Joining, seed: u64) -> Self {
        let mut world = Self {
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            pending: HashMap::new(),
            next: 0,
            senders: HashMap::new(),
            free_at: HashMap::new(),
            calls: (0, 0),
            fared: vec![Fared::default(); load.phases.len()],
        };
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut from = Duration::ZERO;
        let mut row = 0;
        for (phase, (per_second, lasts)) in load.phases.iter().enumerate() {
            let count = per_second * lasts.as_millis() as u64 / 1_000;
            for _ in 0..count {
                row += 1;
                let began = from + lasts.mul_f64(random.random());
                let partition = random.random_range(0..load.partitions);
                let host = random.random_range(0..load.hosts);
                let (sender, way) = match joining {
                    Joining::EachHost => (host * load.partitions + partition, Duration::ZERO),
                    Joining::OneHost => (partition, HOP),
                };
                let event = Event::Arrives {
                    sender,
                    phase,
                    began,
                    row,
                };
                world.at(began + way, event);
            }
            from += *lasts;
        }
        world
    }

    fn at(&mut self, at: Duration, event: Event) {
        self.next += 1;
        self.pending.insert(self.next, event);
        self.events.push(Reverse((at, self.next)));
    }

    fn play(&mut self, event: Event, load: &Load, limit: Duration) {
        match event {
            Event::Arrives {
                sender: id,
                phase,
                began,
                row,
            } => {
                let sender = self.senders.entry(id).or_default();
                let part = sender.group.submit(change(row));
                sender.parts.insert(part, (phase, began));
                self.send(id);
            }
            Event::Sends { sender } => self.build(sender, load),
            Event::Calls { sender } => self.call(sender, load),
            Event::Answered { sender, applied } => self.answered(sender, applied, limit),
        }
    }

    /// Lets a sender build its next transaction as soon as it may.
    fn send(&mut self, id: u64) {
        let sender = self.sender(id);
        if sender.is_sending || sender.group.open_entries() == 0 {
            return;
        }
        sender.is_sending = true;
        let (paused, next_at) = (sender.pause, sender.next_at);
        let at = next_at.max(self.now + paused);
        self.at(at, Event::Sends { sender: id });
    }

    fn build(&mut self, id: u64, load: &Load) {
        let now = self.now;
        let sender = self.sender(id);
        sender.next_at = now + min_batch_interval(load.partitions, load.writes_per_s);
        sender.is_sending = sender.group.next_transaction().0.is_some();
        if sender.is_sending {
            self.at(now + HOP, Event::Calls { sender: id });
        }
    }

    fn sender(&mut self, id: u64) -> &mut Sender {
        self.senders
            .get_mut(&id)
            .expect("it was made by an arrival")
    }

    fn call(&mut self, sender: u64, load: &Load) {
        let second = self.now.as_secs();
        if self.calls.0 != second {
            self.calls = (second, 0);
        }
        let is_in_rate = self.calls.1 < load.writes_per_s;
        self.calls.1 += u64::from(is_in_rate);
        let partition = sender % load.partitions;
        let free_at = self.free_at.entry(partition).or_default();
        let starts = (*free_at).max(self.now);
        let applied = is_in_rate && starts - self.now < MAX_QUEUE;
        let done = match applied {
            true => {
                *free_at = starts + TRANSACTION;
                *free_at
            }
            false => self.now,
        };
        self.at(done + HOP, Event::Answered { sender, applied });
    }

    fn answered(&mut self, id: u64, applied: bool, limit: Duration) {
        let sender = self.senders.get_mut(&id).expect("it sent what is answered");
        sender.is_sending = false;
        let answer = match applied {
            true => Answer::Applied(1),
            false => Answer::NotKnown,
        };
        let ended = sender.group.record_answer(answer);
        let mut is_first = true;
        for (part, _) in ended {
            let (phase, began) = sender.parts.remove(&part).expect("each part ends once");
            if applied {
                let fared = &mut self.fared[phase];
                let took = self.now - began + HOP;
                fared.calls += u64::from(is_first);
                fared.changes += 1;
                fared.in_time += u64::from(took <= limit);
                fared.longest = fared.longest.max(took);
                is_first = false;
            } else {
                // Its host sends it again.
                let row = part;
                let again = sender.group.submit(change(u64::MAX - row));
                sender.parts.insert(again, (phase, began));
            }
        }
        if applied {
            sender.pause = Duration::ZERO;
        } else {
            sender.pause = (sender.pause * 2).clamp(FIRST_PAUSE, MAX_PAUSE);
        }
        self.send(id);
    }
}

/// A change of a program of its own: a ledger under its version, and a turn.
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
