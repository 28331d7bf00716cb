//! Many entries over one table: every shard finds a live owner, no two entries
//! own one by the table's word, and nobody takes over from the living.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use proptest::prelude::*;
use rosebend_coordination::ownership::{
    HostRow, Ownership, OwnershipAction, OwnershipConfig, OwnershipEvent, ShardRow, Takeover,
};
use rosebend_state::id::{HostId, Incarnation, Shard};

const SHARDS: u32 = 24;
/// Time between two renewals of an entry; a round of the world.
const ROUND: Duration = Duration::from_millis(750);
/// Rounds between two reads of all rows of entries.
const FULL_READ_ROUNDS: u64 = 80;
/// Rounds without faults after which everything must be settled: leases, full
/// reads, and time for handoffs.
const QUIET_ROUNDS: u64 = 900;
/// Rounds between two reads of all rows of shards, which make up for a successor
/// that was not told of its shard.
const SHARD_READ_ROUNDS: u64 = 400;

#[derive(Clone, Debug)]
enum Fault {
    /// The process dies; its host starts another after some rounds.
    Crash { entry: usize, rounds: u64 },
    /// The process does not run for some rounds, and goes on then.
    Pause { entry: usize, rounds: u64 },
    /// The table does not answer for some rounds.
    Outage { rounds: u64 },
    /// The answer to the next takeover is lost after it took effect.
    LoseAnswer,
    /// The successors in the next handoffs are not told.
    LoseWord { handoffs: u64 },
}

fn fault(entries: usize) -> impl Strategy<Value = (u64, Fault)> {
    let fault = prop_oneof![
        (0..entries, 1u64..20).prop_map(|(entry, rounds)| Fault::Crash { entry, rounds }),
        (0..entries, 1u64..20).prop_map(|(entry, rounds)| Fault::Pause { entry, rounds }),
        (1u64..20).prop_map(|rounds| Fault::Outage { rounds }),
        Just(Fault::LoseAnswer),
        (1u64..10).prop_map(|handoffs| Fault::LoseWord { handoffs }),
    ];
    (0u64..30, fault)
}

fn faults() -> impl Strategy<Value = (usize, Vec<(u64, Fault)>)> {
    (2usize..14)
        .prop_flat_map(|entries| (Just(entries), prop::collection::vec(fault(entries), 0..8)))
}

struct Entry {
    ownership: Ownership,
    incarnation: Incarnation,
    /// The version of its own row, as it wrote it last.
    row_version: Option<u64>,
    started_round: u64,
    /// The round in which it runs again; it is down or paused before.
    idle_until: u64,
    is_down: bool,
}

#[derive(Default)]
struct World {
    round: u64,
    version: u64,
    hosts: BTreeMap<HostId, HostRow>,
    shards: BTreeMap<Shard, ShardRow>,
    entries: Vec<Entry>,
    outage_until: u64,
    loses_answer: bool,
    loses_words: u64,
    incarnations: u64,
    /// Hosts that were idle lately, from which a takeover is right.
    was_idle: BTreeSet<HostId>,
}

fn name(entry: usize) -> HostId {
    format!("entry-{entry}")
}

impl World {
    fn new(entries: usize) -> Self {
        let mut world = Self::default();
        for entry in 0..entries {
            let started = world.start(entry);
            world.entries.push(started);
        }
        world
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
            Fault::LoseAnswer => self.loses_answer = true,
            Fault::LoseWord { handoffs } => self.loses_words = *handoffs,
        }
    }

    fn idle(&mut self, entry: usize, rounds: u64) {
        let until = self.round + rounds;
        self.entries[entry].idle_until = self.entries[entry].idle_until.max(until);
        self.was_idle.insert(name(entry));
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
            // Its row was removed, or is another's: it begins anew.
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
        let stands = self.table_answers() && self.conditions_hold(takeover);
        if stands {
            self.check_takeover(takeover);
            self.apply(entry, takeover);
        }
        let is_told = stands && !std::mem::take(&mut self.loses_answer);
        let version = is_told.then_some(self.version);
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
                self.was_idle.contains(host),
                "taken over from {host}, which always ran"
            );
        }
        for (shard, _, epoch) in &takeover.shards {
            let before = self.shards.get(shard).map_or(0, |row| row.epoch);
            assert_eq!(*epoch, before + 1, "epochs count owners");
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
        let is_there = self
            .hosts
            .get(&to.0)
            .is_some_and(|row| row.incarnation == to.1);
        let row = self.shards.get(&shard).cloned();
        let Some(row) = row.filter(|row| row.incarnation == self.entries[entry].incarnation) else {
            return false;
        };
        if !self.table_answers() || !is_there {
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
        self.tell(to);
        true
    }

    /// Tells a successor to look at the rows of shards.
    fn tell(&mut self, to: &(HostId, Incarnation)) {
        if self.loses_words > 0 {
            self.loses_words -= 1;
            return;
        }
        let successor = self
            .entries
            .iter()
            .position(|entry| entry.incarnation == to.1);
        let runs = |entry: &usize| self.round >= self.entries[*entry].idle_until;
        if let Some(successor) = successor.filter(runs) {
            self.act(successor, OwnershipAction::ReadShards);
        }
    }

    /// Entries that own a shard and are the owner by the table's word.
    fn true_owners(&self, shard: Shard) -> usize {
        let row = self.shards.get(&shard);
        let owners = self.entries.iter().filter(|entry| {
            let is_row = row.is_some_and(|row| row.incarnation == entry.incarnation);
            is_row && entry.ownership.owns(shard)
        });
        owners.count()
    }

    fn check_settled(&self) {
        for shard in 0..SHARDS {
            assert_eq!(
                self.true_owners(shard),
                1,
                "shard {shard} has no owner that knows it"
            );
            let claims = self
                .entries
                .iter()
                .filter(|entry| entry.ownership.owns(shard));
            assert_eq!(claims.count(), 1, "shard {shard} is claimed twice");
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
        let mut world = World::new(entries);
        for _ in 0..10 {
            world.run_round();
        }
        for (wait, fault) in &faults {
            for _ in 0..*wait {
                world.run_round();
            }
            world.inject(fault);
        }
        for _ in 0..QUIET_ROUNDS {
            world.run_round();
        }
        world.check_settled();
    }
}

/// An outage of 30 minutes: nobody takes over from the living after it.
#[test]
fn a_long_outage_is_followed_by_no_takeover() {
    let mut world = World::new(6);
    for _ in 0..80 {
        world.run_round();
    }
    let epochs: Vec<_> = world.shards.values().map(|row| row.epoch).collect();
    world.inject(&Fault::Outage { rounds: 2400 });
    for _ in 0..2400 + QUIET_ROUNDS {
        world.run_round();
    }
    world.check_settled();
    assert_eq!(
        epochs,
        world
            .shards
            .values()
            .map(|row| row.epoch)
            .collect::<Vec<_>>()
    );
}
