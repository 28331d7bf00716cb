//! All state of the platform, behind one lock.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use bytes::Bytes;
use rosebend_protocol::platform::HostList;
use serde::{Deserialize, Serialize};

use super::{PlatformConfig, fault::Faults, rate::TokenBucket, table::Table};

/// What the platform keeps.
#[derive(Debug)]
pub struct PlatformState {
    /// The table.
    pub table: Table,
    /// Objects by name.
    pub objects: BTreeMap<String, Bytes>,
    /// Host lists, as they come into sight.
    pub hosts: LaggingHosts,
    /// Present faults.
    pub faults: Faults,
    /// What was done.
    pub stats: PlatformStats,
    /// Rate of reads.
    pub reads: TokenBucket,
    /// Rate of writes.
    pub writes: TokenBucket,
    /// Rate of downloads of weights.
    pub weights: TokenBucket,
}

impl PlatformState {
    /// An empty platform.
    pub fn new(config: &PlatformConfig, now: Instant) -> Self {
        Self {
            table: Table::default(),
            objects: BTreeMap::new(),
            hosts: LaggingHosts::new(config.host_list_lag),
            faults: Faults::default(),
            stats: PlatformStats::default(),
            reads: TokenBucket::new(config.reads_per_second, 1.0, now),
            writes: TokenBucket::new(config.writes_per_second, 1.0, now),
            weights: TokenBucket::new(config.weights_per_minute, 60.0, now),
        }
    }
}

/// Counts since the start, as `GET /stats` tells them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct PlatformStats {
    /// Reads and scans of the table and fetches of objects that were served.
    pub reads: u64,
    /// Transactions that were looked at, those in conflict included, and
    /// objects that were stored.
    pub writes: u64,
    /// Transactions whose condition did not hold.
    pub conflicts: u64,
    /// Requests over the rate.
    pub rejected: u64,
    /// Requests that met an outage.
    pub outages: u64,
    /// Transactions that took effect and whose answer was lost.
    pub lost_answers: u64,
    /// Rows of the table now.
    pub rows: u64,
    /// Bytes of all requests' bodies to the table and the object store.
    pub received_bytes: u64,
}

/// Host lists that come into sight only after a lag.
#[derive(Clone, Debug)]
pub struct LaggingHosts {
    lag: Duration,
    /// The list in sight, and later ones with the time they were set.
    visible: HostList,
    pending: VecDeque<(Instant, HostList)>,
}

impl LaggingHosts {
    /// No hosts, with a lag for what is set later.
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            visible: HostList::default(),
            pending: VecDeque::new(),
        }
    }

    /// Sets the true list.
    pub fn set(&mut self, list: HostList, now: Instant) {
        self.pending.push_back((now, list));
    }

    /// The list as it was a lag ago.
    pub fn get(&mut self, now: Instant) -> &HostList {
        while let Some((set_at, _)) = self.pending.front()
            && now.saturating_duration_since(*set_at) >= self.lag
        {
            if let Some((_, list)) = self.pending.pop_front() {
                self.visible = list;
            }
        }
        &self.visible
    }
}
