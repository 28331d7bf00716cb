//! The tables that every host follows.

use std::time::Duration;

use rosebend_platform::{deployment, endpoints};
use rosebend_state::deployment::Row;

/// Wait of a follower, in which a host that stands still is not noticed.
const FOLLOW_WAIT: Duration = Duration::from_millis(500);
/// Wait of a reader's feed of routes. Its followers must hear that their routes are
/// the newest before they doubt it.
const READER_ROUTES_WAIT: Duration = Duration::from_millis(600);
/// Age beyond the longest wait for changes at which rows count as stale.
const STALE_SLACK: Duration = Duration::from_millis(1_500);

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

    /// How long a feed of the store waits for a change. A connection may fall silent;
    /// routes and endpoints must not be older than two seconds. Who has left is found
    /// out by asking, and a suspicion that comes late costs one endpoint's restart.
    pub const fn store_wait(self, has_followers: bool) -> Duration {
        match self {
            Self::Routes if has_followers => READER_ROUTES_WAIT,
            Self::Routes | Self::Endpoints => Duration::from_millis(1_300),
            Self::Gateways => Duration::from_secs(5),
            Self::Crashes => Duration::from_secs(4),
        }
    }

    /// How long a follower waits for a change.
    pub const fn follow_wait(self) -> Duration {
        match self {
            Self::Routes | Self::Endpoints => FOLLOW_WAIT,
            Self::Gateways | Self::Crashes => Duration::from_secs(2),
        }
    }

    /// Whether rows of an age say too little of the present.
    pub fn is_stale(self, age: Duration) -> bool {
        age > self.store_wait(false) + STALE_SLACK
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
