//! Hosts that follow a table at each other, in steps of simulated time: the decisions
//! alone, without a network. An answer takes one step on each way.

use std::time::Duration;

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rosebend_coordination::gateway::batchers::PeerHost;
use rosebend_coordination::gateway::follow_tree::{FollowTree, Source};
use rosebend_coordination::gateway::replica::{TableChanges, TableReplica};
use rosebend_state::deployment::{Row, RowId, RowVersion};

/// Availability zones.
pub const ZONES: usize = 5;

const STEP: Duration = Duration::from_millis(50);
/// Pause between two calls of a reader.
const READ_INTERVAL: Duration = Duration::from_millis(600);
/// Longest wait of a follower for an answer.
const FOLLOW_WAIT: Duration = Duration::from_millis(500);
/// Time after which an answer that does not come is given up.
const TIMEOUT: Duration = Duration::from_millis(850);
/// Age beyond which rows are stale.
const STALE_AFTER: Duration = Duration::from_millis(2_000);
/// How long a change may take in any test.
const LONGEST: Duration = Duration::from_secs(30);

/// A host by its number; every third is weak.
pub fn candidate(index: usize) -> PeerHost<usize> {
    PeerHost {
        host: format!("host-{index}"),
        process: format!("host-{index}/a"),
        address: index,
        processor_milli: if index % 3 == 2 { 90 } else { 500 },
    }
}

/// What is wrong with a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// It is gone.
    Killed,
    /// It does nothing; connections to it stay open.
    Frozen,
    /// The store does not answer it.
    CutFromStore,
}

#[derive(Debug)]
enum Asking {
    Nobody {
        until: Duration,
    },
    Host {
        host: PeerHost<usize>,
        since: Duration,
    },
}

#[derive(Debug)]
struct Host {
    zone: usize,
    tree: FollowTree<usize>,
    replica: TableReplica,
    asking: Asking,
    fault: Option<Fault>,
}

/// The fleet and the store.
#[derive(Debug)]
pub struct World {
    now: Duration,
    hosts: Vec<Host>,
    version: RowVersion,
    store_calls: usize,
    random: ChaCha8Rng,
}

impl World {
    /// Hosts that all know each other and have begun to follow.
    pub fn new(count: usize, seed: u64) -> Self {
        let host = |index: usize| Host {
            zone: index % ZONES,
            tree: FollowTree::new(candidate(index).host),
            replica: TableReplica::default(),
            asking: Asking::Nobody {
                until: Duration::ZERO,
            },
            fault: None,
        };
        let mut world = Self {
            now: Duration::from_secs(1),
            hosts: (0..count).map(host).collect(),
            version: 1,
            store_calls: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
        };
        world.hide_hosts(0.0);
        world
    }

    /// Lets each host know a random part of the others only.
    pub fn hide_hosts(&mut self, share: f64) {
        for index in 0..self.hosts.len() {
            let zone = self.hosts[index].zone;
            let others = (0..self.hosts.len()).filter(|other| self.hosts[*other].zone == zone);
            let others: Vec<usize> = others.collect();
            let known = others
                .into_iter()
                .filter(|other| *other == index || !self.random.random_bool(share));
            let known = known.map(candidate).collect();
            self.hosts[index].tree.set_hosts(known);
        }
    }

    /// Calls that the store has had.
    pub fn store_calls(&self) -> usize {
        self.store_calls
    }

    /// Strikes the hosts of a zone that read the store.
    pub fn strike_readers(&mut self, zone: usize, fault: Fault) {
        let now = self.now;
        let hosts = self.hosts.iter_mut();
        let hosts = hosts.filter(|host| host.zone == zone);
        let readers = hosts.filter(|host| host.tree.source(now) == Source::Store);
        readers.for_each(|host| host.fault = Some(fault));
    }

    /// Strikes a part of all hosts.
    pub fn strike_share(&mut self, share: f64, fault: Fault) {
        let mut indexes: Vec<usize> = (0..self.hosts.len()).collect();
        indexes.shuffle(&mut self.random);
        indexes.truncate((self.hosts.len() as f64 * share) as usize);
        indexes
            .into_iter()
            .for_each(|index| self.hosts[index].fault = Some(fault));
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        self.hosts.iter_mut().for_each(|host| host.fault = None);
    }

    /// Lets time pass.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Changes the table, and tells how long it took until every host that could know
    /// did.
    pub fn time_to_reach_all(&mut self) -> Duration {
        self.version += 1;
        let since = self.now;
        while !self.all_know_the_newest() {
            self.step();
            assert!(self.now - since < LONGEST, "some host never knows");
        }
        self.now - since
    }

    /// Whether every host that is not struck itself knows the last change.
    pub fn all_know_the_newest(&self) -> bool {
        let mut well = self.hosts.iter().filter(|host| host.fault.is_none());
        well.all(|host| host.replica.version() >= Some(self.version))
    }

    fn step(&mut self) {
        self.now += STEP;
        for index in 0..self.hosts.len() {
            if !matches!(self.hosts[index].fault, Some(Fault::Killed | Fault::Frozen)) {
                self.act(index);
            }
        }
    }

    fn act(&mut self, index: usize) {
        match &self.hosts[index].asking {
            Asking::Nobody { until } if *until > self.now => {}
            Asking::Nobody { .. } => self.ask(index),
            Asking::Host { host, since } => {
                let (host, since) = (host.clone(), *since);
                self.wait_for(index, &host, since);
            }
        }
    }

    fn ask(&mut self, index: usize) {
        match self.hosts[index].tree.source(self.now) {
            Source::Store => self.read_store(index),
            Source::Host(host) => {
                self.hosts[index].asking = Asking::Host {
                    host,
                    since: self.now,
                };
            }
        }
    }

    fn read_store(&mut self, index: usize) {
        self.store_calls += 1;
        let host = &mut self.hosts[index];
        host.asking = Asking::Nobody {
            until: self.now + READ_INTERVAL,
        };
        if host.fault != Some(Fault::CutFromStore) {
            let news = TableChanges {
                is_whole: host.replica.version().is_none(),
                version: self.version,
                rows: vec![row(self.version)],
            };
            assert!(host.replica.apply(&news, self.now, |_, _| false));
        }
    }

    fn wait_for(&mut self, index: usize, asked: &PeerHost<usize>, since: Duration) {
        let waited = self.now - since;
        let answer = match self.hosts[asked.address].fault {
            Some(Fault::Killed) => return self.give_up(index, asked),
            Some(Fault::Frozen) => None,
            None | Some(Fault::CutFromStore) => self.answer(index, asked.address, waited),
        };
        match answer {
            Some((news, age)) => self.take(index, asked, &news, age),
            None if waited >= TIMEOUT => self.give_up(index, asked),
            None => {}
        }
    }

    /// What a host that is asked says by now.
    fn answer(
        &self,
        index: usize,
        asked: usize,
        waited: Duration,
    ) -> Option<(TableChanges, Duration)> {
        let replica = &self.hosts[asked].replica;
        let news = replica.changes_after(self.hosts[index].replica.version());
        let news = news.unwrap_or_default();
        let has_news = news.is_whole || !news.rows.is_empty();
        let age = replica.age(self.now).unwrap_or(Duration::MAX);
        (has_news || waited >= FOLLOW_WAIT).then_some((news, age))
    }

    fn take(&mut self, index: usize, asked: &PeerHost<usize>, news: &TableChanges, age: Duration) {
        let now = self.now;
        let host = &mut self.hosts[index];
        let before = host.replica.version();
        host.asking = Asking::Nobody { until: now };
        host.replica
            .apply(news, now.saturating_sub(age), |_, _| false);
        assert!(host.replica.version() >= before, "a host went back");
        if age <= STALE_AFTER {
            host.tree.record_response(&asked.host);
        } else if host.fault != Some(Fault::CutFromStore) {
            self.read_store(index);
            self.give_up(index, asked);
        }
    }

    fn give_up(&mut self, index: usize, asked: &PeerHost<usize>) {
        let now = self.now;
        let host = &mut self.hosts[index];
        host.tree.record_timeout(&asked.host, &asked.process, now);
        host.asking = Asking::Nobody { until: now };
    }
}

fn row(version: RowVersion) -> Row {
    Row {
        id: RowId::new("t", "", "routes"),
        version,
        value: Some(version.to_string().into_bytes()),
    }
}
