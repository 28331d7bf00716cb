//! The tables that every host follows.

use std::time::Duration;

use rosebend_platform::{deployment, endpoints};
use rosebend_state::deployment::Row;

/// Age beyond what the waits explain at which rows count as stale.
const STALE_SLACK: Duration = Duration::from_millis(700);
/// Partitions of the table of gateways. All hosts may start at once and write their
/// rows, and a partition takes one transaction after another.
const GATEWAY_PARTITIONS: [&str; 16] = [
    "0", "1", "2", "3", "4", "5", "6", "7", "8", "9", "a", "b", "c", "d", "e", "f",
];

/// A table that every host follows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FollowedTable {
    /// What operators declare.
    Routes,
    /// The entries of endpoints.
    Endpoints,
    /// The gateways, and the owners of escrow slots.
    Gateways,
    /// Requests that crash endpoints.
    Crashes,
}

impl FollowedTable {
    /// All of them, in the order of their discriminants.
    pub const ALL: [Self; 4] = [Self::Routes, Self::Endpoints, Self::Gateways, Self::Crashes];

    /// Its name in the store.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Routes => deployment::TABLE,
            Self::Endpoints => endpoints::TABLE,
            Self::Gateways => "gateways",
            Self::Crashes => "crashes",
        }
    }

    /// The table with a name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|table| table.name() == name)
    }

    /// The partitions of its rows.
    pub fn partitions(self) -> impl Iterator<Item = &'static str> {
        let more: &[&str] = match self {
            Self::Gateways => &GATEWAY_PARTITIONS,
            Self::Routes | Self::Endpoints | Self::Crashes => &[],
        };
        std::iter::once("").chain(more.iter().copied())
    }

    /// How long a feed of the store waits for a change. A connection may fall silent;
    /// routes and endpoints must not be older than two seconds. Who has left is found
    /// out by asking, and a suspicion that comes late costs one endpoint's restart.
    /// Followers must hear in time that what they know is the newest.
    pub const fn store_wait(self, has_followers: bool) -> Duration {
        let wait_ms = match (self, has_followers) {
            (Self::Routes, true) => 600,
            (Self::Routes, false) | (Self::Endpoints, _) => 1_300,
            (Self::Gateways | Self::Crashes, true) => 2_000,
            (Self::Crashes, false) => 4_000,
            (Self::Gateways, false) => 5_000,
        };
        Duration::from_millis(wait_ms)
    }

    /// Pause of a host between two feeds of the store. Every endpoint writes about once
    /// a second, so that a feed without a pause would answer at once each time; when
    /// many hosts start at once, their rows come one by one.
    pub const fn store_pause(self) -> Duration {
        match self {
            Self::Routes | Self::Crashes => Duration::ZERO,
            Self::Endpoints => Duration::from_millis(550),
            Self::Gateways => Duration::from_millis(500),
        }
    }

    /// How long a follower waits for a change; a host that stands still is not noticed
    /// in that time.
    pub const fn follow_wait(self) -> Duration {
        match self {
            Self::Routes | Self::Endpoints => Duration::from_millis(500),
            Self::Gateways | Self::Crashes => Duration::from_secs(2),
        }
    }

    /// Whether rows are older than the waits of the hosts above explain, of which there
    /// are `level`.
    pub fn is_stale(self, age: Duration, level: u32) -> bool {
        let reader = self.store_wait(true) + self.store_pause();
        let others = self.follow_wait() * level.saturating_sub(1);
        age > reader + others + STALE_SLACK
    }

    /// Whether a row changed in nothing that hosts act on. An endpoint's entry changes
    /// with each of its heartbeats.
    pub fn is_same(self, known: &Row, row: &Row) -> bool {
        let decode = |row: &Row| {
            let value = row.value.as_ref()?;
            endpoints::decode(&row.id.key, value).ok()
        };
        match self {
            Self::Endpoints => match (decode(known), decode(row)) {
                (Some(known), Some(row)) => known == row,
                _ => known.value == row.value,
            },
            Self::Routes | Self::Gateways | Self::Crashes => false,
        }
    }
}
