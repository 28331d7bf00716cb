//! The tables that every host follows.

use std::time::Duration;

use rosebend_platform::{deployment, endpoints};
use rosebend_state::deployment::Row;

/// Margin between the maximum age of rows that the waits of the hosts above explain, and
/// the age at which rows count as stale.
const STALENESS_MARGIN: Duration = Duration::from_millis(700);
/// Partitions of the table of gateways. If all hosts start at once, each writes its row,
/// and the store applies the transactions of a partition one after another.
const GATEWAY_PARTITIONS: [&str; 16] = [
    "0", "1", "2", "3", "4", "5", "6", "7", "8", "9", "a", "b", "c", "d", "e", "f",
];

/// A table that every host follows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FollowedTable {
    /// The routes, services and customers that operators declare.
    Routes,
    /// The entries of endpoints.
    Endpoints,
    /// The gateways, and the owners of escrow slots.
    Gateways,
    /// The fingerprints of requests that crash endpoints.
    Crashes,
}

impl FollowedTable {
    /// All tables, in the order of their discriminants.
    pub const ALL: [Self; 4] = [Self::Routes, Self::Endpoints, Self::Gateways, Self::Crashes];

    /// Returns the name of the table in the store.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Routes => deployment::TABLE,
            Self::Endpoints => endpoints::TABLE,
            Self::Gateways => "gateways",
            Self::Crashes => "crashes",
        }
    }

    /// Returns the table with a name, or `None` if hosts do not follow such a table.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|table| table.name() == name)
    }

    /// Returns the partitions that the rows of the table are in.
    pub fn partitions(self) -> impl Iterator<Item = &'static str> {
        let more: &[&str] = match self {
            Self::Gateways => &GATEWAY_PARTITIONS,
            Self::Routes | Self::Endpoints | Self::Crashes => &[],
        };
        std::iter::once("").chain(more.iter().copied())
    }

    /// Returns how long a feed of the store may wait for a change before it is answered.
    ///
    /// A connection may stop without an error, and routes and endpoints must not be older
    /// than two seconds. The other tables may be older: a request to a gateway that has left
    /// fails, and a late fingerprint of a crash costs the restart of one endpoint. The waits
    /// are shorter on a host with followers, which must be informed in time that their rows
    /// are still current.
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

    /// Returns the pause of a host between two feeds of the store. Without it, feeds of
    /// endpoints would never wait, because every endpoint writes its row about once a
    /// second, and when many hosts start at once, each feed would return a single row.
    pub const fn store_pause(self) -> Duration {
        match self {
            Self::Routes | Self::Crashes => Duration::ZERO,
            Self::Endpoints => Duration::from_millis(550),
            Self::Gateways => Duration::from_millis(500),
        }
    }

    /// Returns how long an upstream host may wait for a change before it answers a follower.
    /// The follower does not detect in this time that the upstream process is suspended.
    pub const fn follow_wait(self) -> Duration {
        match self {
            Self::Routes | Self::Endpoints => Duration::from_millis(500),
            Self::Gateways | Self::Crashes => Duration::from_secs(2),
        }
    }

    /// Returns whether rows are older than the waits of the hosts between this one and the
    /// store explain. `level` is the number of these hosts.
    pub fn is_stale(self, age: Duration, level: u32) -> bool {
        let reader_wait = self.store_wait(true) + self.store_pause();
        let upstream_wait = self.follow_wait() * level.saturating_sub(1);
        age > reader_wait + upstream_wait + STALENESS_MARGIN
    }

    /// Returns whether two versions of a row are equal in everything that hosts act on. An
    /// endpoint's row also changes with each of its heartbeats, which has no effect on hosts.
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
