//! Settings of `rosebend-entry`.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use crate::id::{AvailabilityZone, HostId};

use super::{
    clients::{CLIENTS_SECTION, ClientSettings},
    common::{self, AUTH_SECTION, LOG_SECTION, LogSettings, PLATFORM_SECTION, PlatformSettings},
    document::Document,
    error::{Defect, SettingsError},
    schema::{Key, KeyKind, Presence, Schema, SectionSchema, Unit},
    values::Values,
};

/// Settings of an entry process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntrySettings {
    /// The host's name, as the platform lists it.
    pub host: HostId,
    /// The host's availability zone.
    pub availability_zone: AvailabilityZone,
    /// Where callers and operators are served.
    pub http_listen: SocketAddr,
    /// Where other entries are served.
    pub peer_listen: SocketAddr,
    /// Threads that serve HTTP; at least 1.
    pub http_workers: usize,
    /// Largest body of a request; the memory for clients holds one.
    pub max_body_bytes: usize,
    /// Limits of the clients that connect to the process.
    pub clients: ClientSettings,
    /// How the platform is reached.
    pub platform: PlatformSettings,
    /// Periods and limits of time.
    pub timing: TimingSettings,
    /// File of the bearer tokens.
    pub tokens_file: PathBuf,
    /// Number of shards that a new table is given; an old table keeps its own.
    pub shard_count: u32,
    /// Where log lines go.
    pub log: LogSettings,
}

/// Periods and limits of time of an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TimingSettings {
    /// How long an owner's renewal counter must stand still before its shards
    /// may be taken over; at least three times `renew`.
    pub lease: Duration,
    /// Time between renewals.
    pub renew: Duration,
    /// How long writes are gathered into one transaction.
    pub commit: Duration,
    /// Time between looks at the newest revision.
    pub config_poll: Duration,
    /// Time between status exchanges with peers.
    pub status_poll: Duration,
    /// A process that did not run for so long counts as paused: it looks at
    /// its shards again before it goes on. At most `lease`.
    pub pause_limit: Duration,
}

/// Number of renewals that must fail before a lease can lapse.
const RENEWALS_PER_LEASE: u32 = 3;

const ENTRY_SECTION: SectionSchema = SectionSchema {
    name: "entry",
    keys: &[
        Key {
            name: "host",
            kind: KeyKind::Name,
            presence: Presence::Required,
            meaning: "Name of the host, as the platform lists it.",
        },
        Key {
            name: "availability_zone",
            kind: KeyKind::Name,
            presence: Presence::Required,
            meaning: "The host's availability zone.",
        },
        Key {
            name: "http_listen",
            kind: KeyKind::Address,
            presence: Presence::Required,
            meaning: "Where callers and operators are served, and the metrics page.",
        },
        Key {
            name: "peer_listen",
            kind: KeyKind::Address,
            presence: Presence::Required,
            meaning: "Where other entries are served.",
        },
        Key {
            name: "http_workers",
            kind: KeyKind::Number(Unit::Count, 1..=64),
            presence: Presence::Default("2"),
            meaning: "Threads that serve HTTP.",
        },
        Key {
            name: "max_body_bytes",
            kind: KeyKind::Number(Unit::Bytes, 1_024..=67_108_864),
            presence: Presence::Default("4194304"),
            meaning: "Largest body of a request; a larger one is refused with 413.",
        },
    ],
};

const TIMING_SECTION: SectionSchema = SectionSchema {
    name: "timing",
    keys: &[
        Key {
            name: "lease_ms",
            kind: KeyKind::Number(Unit::Milliseconds, 300..=60_000),
            presence: Presence::Default("3000"),
            meaning: "How long a silent owner keeps its shards; at least three times renew_ms.",
        },
        Key {
            name: "renew_ms",
            kind: KeyKind::Number(Unit::Milliseconds, 50..=20_000),
            presence: Presence::Default("750"),
            meaning: "Time between an owner's renewals.",
        },
        Key {
            name: "commit_ms",
            kind: KeyKind::Number(Unit::Milliseconds, 1..=1_000),
            presence: Presence::Default("20"),
            meaning: "How long writes are gathered into one transaction.",
        },
        Key {
            name: "config_poll_ms",
            kind: KeyKind::Number(Unit::Milliseconds, 50..=30_000),
            presence: Presence::Default("500"),
            meaning: "Time between looks at the newest revision of the configuration.",
        },
        Key {
            name: "status_poll_ms",
            kind: KeyKind::Number(Unit::Milliseconds, 50..=30_000),
            presence: Presence::Default("500"),
            meaning: "Time between exchanges of load and revision with sidecars and entries.",
        },
        Key {
            name: "pause_limit_ms",
            kind: KeyKind::Number(Unit::Milliseconds, 50..=60_000),
            presence: Presence::Default("1500"),
            meaning: "A process that did not run for so long reads its shards again before it goes on; at most lease_ms.",
        },
    ],
};

const CLUSTER_SECTION: SectionSchema = SectionSchema {
    name: "cluster",
    keys: &[Key {
        name: "shard_count",
        kind: KeyKind::Number(Unit::Count, 1..=65_536),
        presence: Presence::Default("128"),
        meaning: "Number of shards that a new table is given; an old table keeps its own.",
    }],
};

/// Settings of `rosebend-entry`.
pub const ENTRY_SCHEMA: Schema = Schema {
    program: "rosebend-entry",
    sections: &[
        ENTRY_SECTION,
        CLIENTS_SECTION,
        PLATFORM_SECTION,
        TIMING_SECTION,
        AUTH_SECTION,
        CLUSTER_SECTION,
        LOG_SECTION,
    ],
};

impl TryFrom<&Document> for EntrySettings {
    type Error = SettingsError;

    fn try_from(document: &Document) -> Result<Self, SettingsError> {
        let values = Values::check(document, &ENTRY_SCHEMA)?;
        let shard_count = values.number("cluster", "shard_count");
        Ok(Self {
            host: values.text("entry", "host"),
            availability_zone: values.text("entry", "availability_zone"),
            http_listen: values.address("entry", "http_listen"),
            peer_listen: values.address("entry", "peer_listen"),
            http_workers: values.size("entry", "http_workers"),
            max_body_bytes: values.size("entry", "max_body_bytes"),
            clients: clients(&values)?,
            platform: common::platform(&values),
            timing: TimingSettings::try_from(&values)?,
            tokens_file: common::tokens_file(&values),
            shard_count: u32::try_from(shard_count).expect("the schema's range fits a u32"),
            log: common::log(&values),
        })
    }
}

/// Reads the limits of clients.
///
/// # Errors
///
/// Fails if it does not hold a body of the largest size.
fn clients(values: &Values<'_>) -> Result<ClientSettings, SettingsError> {
    let clients = ClientSettings::from(values);
    let max_body_bytes = values.size("entry", "max_body_bytes");
    let mut defects = Vec::new();
    let max_held_bytes = clients.max_body_bytes() / ClientSettings::MESSAGE_COPIES;
    if max_body_bytes > max_held_bytes {
        let message = format!(
            "max_body_bytes of [entry] is {max_body_bytes}; allowed: at most {max_held_bytes} with memory_mb of [clients]"
        );
        defects.push(Defect::new(values.line("entry", "max_body_bytes"), message));
    }
    SettingsError::unless_empty(defects)?;
    Ok(clients)
}

impl TryFrom<&Values<'_>> for TimingSettings {
    type Error = SettingsError;

    /// Checks the times against each other.
    fn try_from(values: &Values<'_>) -> Result<Self, SettingsError> {
        let timing = Self {
            lease: values.duration("timing", "lease_ms"),
            renew: values.duration("timing", "renew_ms"),
            commit: values.duration("timing", "commit_ms"),
            config_poll: values.duration("timing", "config_poll_ms"),
            status_poll: values.duration("timing", "status_poll_ms"),
            pause_limit: values.duration("timing", "pause_limit_ms"),
        };
        let mut defects = Vec::new();
        if timing.lease < timing.renew * RENEWALS_PER_LEASE {
            let message = format!(
                "lease_ms of [timing] is {}; allowed: at least {RENEWALS_PER_LEASE} times renew_ms, which is {}",
                timing.lease.as_millis(),
                timing.renew.as_millis()
            );
            defects.push(Defect::new(values.line("timing", "lease_ms"), message));
        }
        if timing.pause_limit > timing.lease {
            let message = format!(
                "pause_limit_ms of [timing] is {}; allowed: at most lease_ms, which is {}",
                timing.pause_limit.as_millis(),
                timing.lease.as_millis()
            );
            let line = values.line("timing", "pause_limit_ms");
            defects.push(Defect::new(line, message));
        }
        SettingsError::unless_empty(defects)?;
        Ok(timing)
    }
}
