//! How often each entry may use the platform's table.
//!
//! The table takes a few hundred writes a second from all entries together,
//! whatever their number. So the periods of one entry grow with the number of
//! entries: with few, the settings decide; with many, each gets its part of
//! the table's rate. The lease follows the renewals, since an observer must
//! have seen several of them missing before it calls an owner silent.
//!
//! ```
//! use std::time::Duration;
//! use rosebend_coordination::pace::{Pace, PaceConfig};
//!
//! let config = PaceConfig::default();
//! let few = Pace::new(&config, 3);
//! assert_eq!(few.renew, config.renew);
//! let many = Pace::new(&config, 380);
//! assert!(many.writes_per_second(380) <= config.writes_per_second);
//! ```

use std::time::Duration;

/// Share of the table's writes that renewals may use, as a divisor.
const RENEWAL_SHARE: u32 = 4;
/// Looks at the configuration's revision that all entries make together, each
/// second. With 380 entries each looks every 1.9 s.
const CONFIG_READS_PER_SECOND: u32 = 200;
/// Time between two polls, for each endpoint that an entry keeps up with: a poll
/// and its answer take some 200 bytes, and a node has 20 KB a second.
const STATUS_POLL_SPACING: Duration = Duration::from_millis(20);
/// Renewals that must be missing before an owner is silent.
const RENEWALS_PER_LEASE: u32 = 4;

/// The periods that settings ask for, and the table's rate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PaceConfig {
    /// Shortest time between two renewals of an entry.
    pub renew: Duration,
    /// Shortest lease.
    pub lease: Duration,
    /// Shortest time between two group commits of an entry.
    pub commit: Duration,
    /// Shortest time between two looks at the configuration's revision.
    pub config_poll: Duration,
    /// Shortest time between two polls of an endpoint.
    pub status_poll: Duration,
    /// Writes a second that all entries together may make; at least
    /// `RENEWAL_SHARE`.
    pub writes_per_second: u32,
}

impl Default for PaceConfig {
    fn default() -> Self {
        Self {
            renew: Duration::from_millis(750),
            lease: Duration::from_secs(3),
            commit: Duration::from_millis(20),
            config_poll: Duration::from_millis(500),
            status_poll: Duration::from_millis(500),
            writes_per_second: 240,
        }
    }
}

/// The periods of each of a number of entries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Pace {
    /// Time between two renewals.
    pub renew: Duration,
    /// How long a renewal counter must stand still.
    pub lease: Duration,
    /// Least time between two group commits.
    pub commit: Duration,
    /// Time between two looks at the configuration's revision.
    pub config_poll: Duration,
}

impl Pace {
    /// The pace of each of `entries` entries.
    pub fn new(config: &PaceConfig, entries: usize) -> Self {
        let entries = u32::try_from(entries.max(1)).unwrap_or(u32::MAX);
        let renewals = (config.writes_per_second / RENEWAL_SHARE).max(1);
        let commits = config.writes_per_second.saturating_sub(renewals).max(1);
        let renew = config.renew.max(part_of_rate(entries, renewals));
        Self {
            renew,
            lease: config.lease.max(renew * RENEWALS_PER_LEASE),
            commit: config.commit.max(part_of_rate(entries, commits)),
            config_poll: config
                .config_poll
                .max(part_of_rate(entries, CONFIG_READS_PER_SECOND)),
        }
    }

    /// Writes a second of `entries` entries at this pace, rounded down, when
    /// all of them always have something to commit.
    pub fn writes_per_second(&self, entries: usize) -> u32 {
        let each = 1.0 / self.renew.as_secs_f64() + 1.0 / self.commit.as_secs_f64();
        (each * entries as f64 + 1e-6) as u32
    }
}

/// Time between two polls of each of `endpoints` endpoints that an entry keeps
/// up with.
pub fn status_poll(config: &PaceConfig, endpoints: usize) -> Duration {
    let endpoints = u32::try_from(endpoints).unwrap_or(u32::MAX);
    config
        .status_poll
        .max(STATUS_POLL_SPACING.saturating_mul(endpoints))
}

/// The period of each of `entries`, when all have `per_second` together.
fn part_of_rate(entries: u32, per_second: u32) -> Duration {
    Duration::from_secs(1) * entries / per_second
}
