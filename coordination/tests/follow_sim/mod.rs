//! A simulation of hosts that follow a table at each other, in steps of simulated time. It
//! covers only their decisions, without a network. A request takes one step and its answer
//! another.

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
/// Time between two calls of a reader to the store.
const READ_INTERVAL: Duration = Duration::from_millis(600);
/// Maximum time that a host waits for changes before it answers a follower without any.
const FOLLOW_WAIT: Duration = Duration::from_millis(500);
/// Time after which a follower gives up a request that was not answered.
const TIMEOUT: Duration = Duration::from_millis(850);
/// Maximum age of rows that are not stale.
const STALE_AFTER: Duration = Duration::from_millis(2_000);
/// Maximum time of a change until it reaches every host in any test.
const MAX_PROPAGATION: Duration = Duration::from_secs(30);

/// Returns the host with an index. Every third is a low-CPU host.
pub fn peer_host(index: usize) -> PeerHost<usize> {
    PeerHost {
        host: format!("host-{index}"),
        process: format!("host-{index}/a"),
        address: index,
        processor_milli: if index % 3 == 2 { 90 } else { 500 },
    }
}

/// A fault of a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Its process has ended, and connections to it fail.
    Killed,
    /// Its process does nothing, but connections to it stay open.
    Frozen,
    /// The store does not answer its calls.
    CutFromStore,
}

/// The state of a host's requests: it waits for an answer, or until its next request.
#[derive(Debug)]
enum RequestState {
    Idle {
        until: Duration,
    },
    Waiting {
        host: PeerHost<usize>,
        since: Duration,
    },
}

#[derive(Debug)]
struct Host {
    zone: usize,
    tree: FollowTree<usize>,
    replica: TableReplica,
    request: RequestState,
    fault: Option<Fault>,
}

/// The hosts and the version of the store.
#[derive(Debug)]
pub struct Simulation {
    now: Duration,
    hosts: Vec<Host>,
    version: RowVersion,
    store_calls: usize,
    random: ChaCha8Rng,
}

impl Simulation {
    /// Creates hosts that all know each other and send their first request at once.
    pub fn new(count: usize, seed: u64) -> Self {
        let host = |index: usize| Host {
            zone: index % ZONES,
            tree: FollowTree::new(peer_host(index).host),
            replica: TableReplica::default(),
            request: RequestState::Idle {
                until: Duration::ZERO,
            },
            fault: None,
        };
        let mut simulation = Self {
            now: Duration::from_secs(1),
            hosts: (0..count).map(host).collect(),
            version: 1,
            store_calls: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
        };
        simulation.hide_hosts(0.0);
        simulation
    }

    /// Removes a random share of the other hosts from the list of each host.
    pub fn hide_hosts(&mut self, share: f64) {
        for index in 0..self.hosts.len() {
            let zone = self.hosts[index].zone;
            let others = (0..self.hosts.len()).filter(|other| self.hosts[*other].zone == zone);
            let others: Vec<usize> = others.collect();
            let known = others
                .into_iter()
                .filter(|other| *other == index || !self.random.random_bool(share));
            let known = known.map(peer_host).collect();
            self.hosts[index].tree.set_hosts(known);
        }
    }

    /// Returns the number of calls to the store.
    pub fn store_calls(&self) -> usize {
        self.store_calls
    }

    /// Adds a fault to the hosts of a zone that read the store.
    pub fn fail_readers(&mut self, zone: usize, fault: Fault) {
        let now = self.now;
        let hosts = self.hosts.iter_mut();
        let hosts = hosts.filter(|host| host.zone == zone);
        let readers = hosts.filter(|host| host.tree.source(now) == Source::Store);
        readers.for_each(|host| host.fault = Some(fault));
    }

    /// Adds a fault to a random share of all hosts.
    pub fn fail_share(&mut self, share: f64, fault: Fault) {
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

    /// Advances the simulation by `time`.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Changes the table, and returns the time until the change has reached every host
    /// without a fault.
    pub fn time_to_reach_all(&mut self) -> Duration {
        self.version += 1;
        let since = self.now;
        while !self.all_are_current() {
            self.step();
            assert!(
                self.now - since < MAX_PROPAGATION,
                "a host did not receive the change"
            );
        }
        self.now - since
    }

    /// Returns whether every host without a fault has the last change.
    pub fn all_are_current(&self) -> bool {
        let mut healthy = self.hosts.iter().filter(|host| host.fault.is_none());
        healthy.all(|host| host.replica.version() >= Some(self.version))
    }

    fn step(&mut self) {
        self.now += STEP;
        for index in 0..self.hosts.len() {
            if !matches!(self.hosts[index].fault, Some(Fault::Killed | Fault::Frozen)) {
                self.act(index);
            }
        }
    }

    /// Sends the next request of a host, or processes the answer to the open one.
    fn act(&mut self, index: usize) {
        match &self.hosts[index].request {
            RequestState::Idle { until } if *until > self.now => {}
            RequestState::Idle { .. } => self.send_request(index),
            RequestState::Waiting { host, since } => {
                let (host, since) = (host.clone(), *since);
                self.poll_answer(index, &host, since);
            }
        }
    }

    fn send_request(&mut self, index: usize) {
        match self.hosts[index].tree.source(self.now) {
            Source::Store => self.read_store(index),
            Source::Host(host) => {
                self.hosts[index].request = RequestState::Waiting {
                    host,
                    since: self.now,
                };
            }
        }
    }

    fn read_store(&mut self, index: usize) {
        self.store_calls += 1;
        let host = &mut self.hosts[index];
        host.request = RequestState::Idle {
            until: self.now + READ_INTERVAL,
        };
        if host.fault != Some(Fault::CutFromStore) {
            let update = TableChanges {
                is_whole: host.replica.version().is_none(),
                version: self.version,
                rows: vec![row(self.version)],
            };
            assert!(host.replica.apply(&update, self.now, |_, _| false));
        }
    }

    /// Processes the answer to an open request, if there is one by now.
    fn poll_answer(&mut self, index: usize, asked: &PeerHost<usize>, since: Duration) {
        let waited = self.now - since;
        let answer = match self.hosts[asked.address].fault {
            Some(Fault::Killed) => return self.give_up(index, asked),
            Some(Fault::Frozen) => None,
            None | Some(Fault::CutFromStore) => self.answer(index, asked.address, waited),
        };
        match answer {
            Some((update, age)) => self.apply_answer(index, asked, &update, age),
            None if waited >= TIMEOUT => self.give_up(index, asked),
            None => {}
        }
    }

    /// Returns the answer of the host `asked`, or `None` while it waits for changes.
    fn answer(
        &self,
        index: usize,
        asked: usize,
        waited: Duration,
    ) -> Option<(TableChanges, Duration)> {
        let replica = &self.hosts[asked].replica;
        let update = replica.changes_after(self.hosts[index].replica.version());
        let update = update.unwrap_or_default();
        let has_update = update.is_whole || !update.rows.is_empty();
        let age = replica.age(self.now).unwrap_or(Duration::MAX);
        (has_update || waited >= FOLLOW_WAIT).then_some((update, age))
    }

    fn apply_answer(
        &mut self,
        index: usize,
        asked: &PeerHost<usize>,
        update: &TableChanges,
        age: Duration,
    ) {
        let now = self.now;
        let host = &mut self.hosts[index];
        let before = host.replica.version();
        host.request = RequestState::Idle { until: now };
        host.replica
            .apply(update, now.saturating_sub(age), |_, _| false);
        assert!(
            host.replica.version() >= before,
            "the version of a host decreased"
        );
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
        host.request = RequestState::Idle { until: now };
    }
}

fn row(version: RowVersion) -> Row {
    Row {
        id: RowId::new("t", "", "routes"),
        version,
        value: Some(version.to_string().into_bytes()),
    }
}
