//! Simulation of many entries that share one table.
//!
//! The tests inject crashes, pauses, outages and lost messages. They check that
//! every shard gets exactly one live owner, and that shards are never taken over
//! from an entry that kept running.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use proptest::prelude::*;
use rosebend_coordination::ownership::{
    HostRow, Ownership, OwnershipAction, OwnershipConfig, OwnershipEvent, ShardRow, Takeover,
};
use rosebend_state::id::{HostId, Incarnation, Shard};

const SHARDS: u32 = 24;
/// Time between two renewals of an entry, which is one round of the simulation.
const ROUND: Duration = Duration::from_millis(750);
/// Number of rounds between two reads of the renewal rows of all entries.
const FULL_READ_ROUNDS: u64 = 80;
/// Number of rounds without faults after which every shard must have settled. It
/// includes the time for leases to expire, for full reads and for handoffs.
const FAULT_FREE_ROUNDS: u64 = 900;
/// Number of rounds between two reads of the rows of all shards. By these reads, a
/// successor finds its shard even if the notification was lost.
const SHARD_READ_ROUNDS: u64 = 400;

/// A fault that a test injects into the simulation.
#[derive(Clone, Debug)]
enum Fault {
    /// The process crashes, and its host starts another after some rounds.
    Crash { entry: usize, rounds: u64 },
    /// The process does not run for some rounds, and then resumes.
    Pause { entry: usize, rounds: u64 },
    /// The table does not answer for some rounds.
    Outage { rounds: u64 },
    /// The answer to the next takeover is lost after it took effect.
    LoseAnswer,
    /// The notifications to the successors in the next handoffs are lost.
    LoseNotification { handoffs: u64 },
}

/// Returns a strategy of a fault and the rounds to run before it.
fn fault(entries: usize) -> impl Strategy<Value = (u64, Fault)> {
    let fault = prop_oneof![
        (0..entries, 1u64..20).prop_map(|(entry, rounds)| Fault::Crash { entry, rounds }),
        (0..entries, 1u64..20).prop_map(|(entry, rounds)| Fault::Pause { entry, rounds }),
        (1u64..20).prop_map(|rounds| Fault::Outage { rounds }),
        Just(Fault::LoseAnswer),
        (1u64..10).prop_map(|handoffs| Fault::LoseNotification { handoffs }),
    ];
    (0u64..30, fault)
}

/// Returns a strategy of a number of entries and the faults to inject.
fn faults() -> impl Strategy<Value = (usize, Vec<(u64, Fault)>)> {
    (2usize..14)
        .prop_flat_map(|entries| (Just(entries), prop::collection::vec(fault(entries), 0..8)))
}

/// An entry process of the simulation.
struct Entry {
    ownership: Ownership,
    incarnation: Incarnation,
    /// The version of its own renewal row at its last write.
    row_version: Option<u64>,
    started_round: u64,
    /// The round from which it runs; before, it is down or paused.
    idle_until: u64,
    is_down: bool,
}

/// The table, the entries and the faults in effect.
#[derive(Default)]
struct Simulation {
    round: u64,
    version: u64,
    hosts: BTreeMap<HostId, HostRow>,
    shards: BTreeMap<Shard, ShardRow>,
    entries: Vec<Entry>,
    outage_until: u64,
    loses_next_answer: bool,
    notifications_to_lose: u64,
    incarnations: u64,
    /// Hosts that were crashed or paused at any time, from which a takeover is
    /// permitted.
    idle_hosts: BTreeSet<HostId>,
}

fn name(entry: usize) -> HostId {
    format!("entry-{entry}")
}

impl Simulation {
    fn new(entries: usize) -> Self {
        let mut simulation = Self::default();
        for entry in 0..entries {
            let started = simulation.start(entry);
            simulation.entries.push(started);
        }
        simulation
    }

    fn start(&mut self, entry: usize) -> Entry {
        self.incarnations += 1;
        let incarnation = format!("run-{}", self.incarnations);
        let config = OwnershipConfig {
            shard_count: SHARDS,
            ..OwnershipConfig::default()
        };
        Entry {
            ownership: Ownership::new(config, name(entry), incarnation.clone()),
            incarnation,
            row_version: None,
            started_round: self.round,
            idle_until: 0,
            is_down: false,
        }
    }

    fn now(&self) -> Duration {
        ROUND * u32::try_from(self.round).unwrap()
    }

    fn table_answers(&self) -> bool {
        self.round >= self.outage_until
    }

    fn next_version(&mut self) -> u64 {
        self.version += 1;
        self.version
    }

    fn inject(&mut self, fault: &Fault) {
        match fault {
            Fault::Crash { entry, rounds } => {
                self.entries[*entry].is_down = true;
                self.idle(*entry, *rounds);
            }
            Fault::Pause { entry, rounds } => self.idle(*entry, *rounds),
            Fault::Outage { rounds } => {
                self.outage_until = self.outage_until.max(self.round + rounds);
            }
            Fault::LoseAnswer => self.loses_next_answer = true,
            Fault::LoseNotification { handoffs } => self.notifications_to_lose = *handoffs,
        }
    }

    fn idle(&mut self, entry: usize, rounds: u64) {
        let until = self.round + rounds;
        self.entries[entry].idle_until = self.entries[entry].idle_until.max(until);
        self.idle_hosts.insert(name(entry));
    }

    fn run_round(&mut self) {
        self.round += 1;
        for entry in 0..self.entries.len() {
            if self.round < self.entries[entry].idle_until {
                continue;
            }
            if self.entries[entry].is_down {
                self.entries[entry] = self.start(entry);
            }
            self.run_entry(entry);
        }
    }

    fn run_entry(&mut self, entry: usize) {
        if !self.table_answers() {
            return self.step(entry, OwnershipEvent::TableUnavailable);
        }
        self.renew(entry);
        let since_start = self.round - self.entries[entry].started_round;
        let watched = self.entries[entry].ownership.watched_hosts();
        let is_full = since_start < 20
            || since_start.is_multiple_of(FULL_READ_ROUNDS)
            || watched.len() + 1 >= self.entries[entry].ownership.entry_count();
        let event = if is_full {
            OwnershipEvent::HostsRead(self.hosts.values().cloned().collect())
        } else {
            let rows = watched
                .iter()
                .filter_map(|host| self.hosts.get(host))
                .cloned()
                .collect();
            OwnershipEvent::HostsWatched {
                asked: watched,
                rows,
            }
        };
        self.step(entry, event);
        if since_start.is_multiple_of(SHARD_READ_ROUNDS) {
            self.act(entry, OwnershipAction::ReadShards);
        }
    }

    fn renew(&mut self, entry: usize) {
        let host = name(entry);
        let found = self.hosts.get(&host).map(|row| row.version);
        let known = self.entries[entry].row_version;
        if known.is_some() && known != found {
            // The row was removed, or another process wrote it. The entry writes
            // a new row in the next round.
            self.entries[entry].row_version = None;
            return;
        }
        let version = self.next_version();
        self.entries[entry].row_version = Some(version);
        let row = HostRow {
            host: host.clone(),
            incarnation: self.entries[entry].incarnation.clone(),
            version,
            peer_address: host.clone(),
            leaving: false,
        };
        self.hosts.insert(host, row);
    }

    fn step(&mut self, entry: usize, event: OwnershipEvent) {
        let now = self.now();
        let actions = self.entries[entry].ownership.step(now, event);
        for action in actions {
            self.act(entry, action);
        }
    }

    fn act(&mut self, entry: usize, action: OwnershipAction) {
        match action {
            OwnershipAction::ReadShards if self.table_answers() => {
                let rows = self.shards.values().cloned().collect();
                self.step(entry, OwnershipEvent::ShardsRead(rows));
            }
            OwnershipAction::TakeOver(takeover) => self.take_over(entry, &takeover),
            OwnershipAction::Drain { shard, successor } => {
                let passed_on = self.hand_over(entry, shard, &successor);
                self.step(entry, OwnershipEvent::HandoffEnded { shard, passed_on });
            }
            OwnershipAction::ReadShards
            | OwnershipAction::Gained { .. }
            | OwnershipAction::Lost(_)
            | OwnershipAction::Stay(_) => {}
        }
    }

    fn take_over(&mut self, entry: usize, takeover: &Takeover) {
        let shards = takeover.shards.iter().map(|(shard, ..)| *shard).collect();
        let is_applied = self.table_answers() && self.conditions_hold(takeover);
        if is_applied {
            self.check_takeover(takeover);
            self.apply(entry, takeover);
        }
        let is_answer_received = is_applied && !std::mem::take(&mut self.loses_next_answer);
        let version = is_answer_received.then_some(self.version);
        self.step(entry, OwnershipEvent::TakeoverEnded { shards, version });
    }

    fn conditions_hold(&self, takeover: &Takeover) -> bool {
        let shards = takeover
            .shards
            .iter()
            .all(|(shard, version, _)| self.shards.get(shard).map(|row| row.version) == *version);
        let host = takeover
            .expired_host
            .as_ref()
            .is_none_or(|(host, version)| self.hosts.get(host).map(|row| row.version) == *version);
        shards && host
    }

    fn check_takeover(&self, takeover: &Takeover) {
        if let Some((host, Some(_))) = &takeover.expired_host {
            assert!(
                self.idle_hosts.contains(host),
                "shards were taken over from {host}, which was never idle"
            );
        }
        for (shard, _, epoch) in &takeover.shards {
            let before = self.shards.get(shard).map_or(0, |row| row.epoch);
            assert_eq!(*epoch, before + 1, "a takeover increments the epoch by one");
        }
    }

    fn apply(&mut self, entry: usize, takeover: &Takeover) {
        let version = self.next_version();
        let incarnation = self.entries[entry].incarnation.clone();
        for (shard, _, epoch) in &takeover.shards {
            let (owner, incarnation) = (name(entry), incarnation.clone());
            let row = ShardRow {
                shard: *shard,
                version,
                owner,
                incarnation,
                epoch: *epoch,
            };
            self.shards.insert(*shard, row);
        }
        if let Some((host, _)) = &takeover.expired_host {
            self.hosts.remove(host);
        }
    }

    fn hand_over(&mut self, entry: usize, shard: Shard, to: &(HostId, Incarnation)) -> bool {
        let is_successor_registered = self
            .hosts
            .get(&to.0)
            .is_some_and(|row| row.incarnation == to.1);
        let row = self.shards.get(&shard).cloned();
        let Some(row) = row.filter(|row| row.incarnation == self.entries[entry].incarnation) else {
            return false;
        };
        if !self.table_answers() || !is_successor_registered {
            return false;
        }
        let version = self.next_version();
        let (owner, incarnation) = to.clone();
        let row = ShardRow {
            shard,
            version,
            owner,
            incarnation,
            epoch: row.epoch + 1,
        };
        self.shards.insert(shard, row);
        self.notify(to);
        true
    }

    /// Notifies a successor, which then reads the rows of shards.
    fn notify(&mut self, to: &(HostId, Incarnation)) {
        if self.notifications_to_lose > 0 {
            self.notifications_to_lose -= 1;
            return;
        }
        let successor = self
            .entries
            .iter()
            .position(|entry| entry.incarnation == to.1);
        let is_running = |entry: &usize| self.round >= self.entries[*entry].idle_until;
        if let Some(successor) = successor.filter(is_running) {
            self.act(successor, OwnershipAction::ReadShards);
        }
    }

    /// Returns the number of entries that own a shard both in their own state and
    /// according to the table.
    fn count_confirmed_owners(&self, shard: Shard) -> usize {
        let row = self.shards.get(&shard);
        let owners = self.entries.iter().filter(|entry| {
            let is_row_owner = row.is_some_and(|row| row.incarnation == entry.incarnation);
            is_row_owner && entry.ownership.owns(shard)
        });
        owners.count()
    }

    /// Checks that every shard has exactly one owner and that all entries agree.
    fn check_settled(&self) {
        for shard in 0..SHARDS {
            assert_eq!(
                self.count_confirmed_owners(shard),
                1,
                "shard {shard} does not have exactly one owner that is also in the table"
            );
            let claims = self
                .entries
                .iter()
                .filter(|entry| entry.ownership.owns(shard));
            assert_eq!(
                claims.count(),
                1,
                "shard {shard} does not have exactly one claimant"
            );
        }
        for entry in &self.entries {
            assert!(entry.ownership.is_settled());
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]
    #[test]
    fn every_shard_finds_one_live_owner((entries, faults) in faults()) {
        let mut simulation = Simulation::new(entries);
        for _ in 0..10 {
            simulation.run_round();
        }
        for (wait, fault) in &faults {
            for _ in 0..*wait {
                simulation.run_round();
            }
            simulation.inject(fault);
        }
        for _ in 0..FAULT_FREE_ROUNDS {
            simulation.run_round();
        }
        simulation.check_settled();
    }
}

/// After an outage of the table of 30 minutes, no shard changes its owner.
#[test]
fn a_long_outage_is_followed_by_no_takeover() {
    let mut simulation = Simulation::new(6);
    for _ in 0..80 {
        simulation.run_round();
    }
    let epochs: Vec<_> = simulation.shards.values().map(|row| row.epoch).collect();
    simulation.inject(&Fault::Outage { rounds: 2400 });
    for _ in 0..2400 + FAULT_FREE_ROUNDS {
        simulation.run_round();
    }
    simulation.check_settled();
    assert_eq!(
        epochs,
        simulation
            .shards
            .values()
            .map(|row| row.epoch)
            .collect::<Vec<_>>()
    );
}
