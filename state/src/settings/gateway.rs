//! Settings of `rosebend-gateway`.

use std::{net::SocketAddr, time::Duration};

use crate::id::{AvailabilityZone, HostId};

use super::{
    clients::{CLIENTS_SECTION, ClientSettings},
    common::{self, LOG_SECTION, LogSettings},
    document::Document,
    error::SettingsError,
    schema::{Key, KeyKind, Presence, Schema, SectionSchema, Unit},
    values::Values,
};

/// Settings of a gateway process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GatewaySettings {
    /// The host's name.
    pub host: HostId,
    /// The host's availability zone.
    pub availability_zone: AvailabilityZone,
    /// Where callers are served.
    pub front_listen: SocketAddr,
    /// Where the balancer asks whether the host takes callers.
    pub ready_listen: SocketAddr,
    /// Where the metrics page is served.
    pub metrics_listen: SocketAddr,
    /// Where peers' calls to the store are passed on.
    pub relay_listen: SocketAddr,
    /// The host's share of a processor, in thousandths of a core.
    pub processor_milli: u32,
    /// Whether it grants nothing from its escrow slots while the store answers.
    pub escrow_holds_off: bool,
    /// The platform's store.
    pub store: StoreSettings,
    /// Time between the signal to stop and the end of the process by force.
    pub stop_grace: Duration,
    /// Time beyond a route's retention for which turns are kept.
    pub retention_margin: Duration,
    /// Time without a response after which another host counts as lost for good.
    pub host_expiry: Duration,
    /// Limits of the clients that connect to the process.
    pub clients: ClientSettings,
    /// What holds for customers.
    pub customers: CustomerSettings,
    /// How the engines that run turns are selected.
    pub engine_selection: EngineSelection,
    /// Where log lines go.
    pub log: LogSettings,
}

/// What holds for customers and their keys.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CustomerSettings {
    /// How old the host's knowledge of keys may be for it to serve under them;
    /// none where it serves under what it knows.
    pub keys_confirmed_within: Option<Duration>,
    /// The time over which operators judge a customer's limit.
    pub limit_window: Duration,
    /// Part of what a limit allows in such a time by which it may be exceeded,
    /// in thousandths.
    pub limit_overage_milli: u32,
    /// Requests in such a time by which it may be exceeded besides.
    pub limit_slack: u64,
}

/// How the engines that run turns are selected.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum EngineSelection {
    /// One gateway schedules the engines of a service and availability zone if the engines
    /// report a speed; otherwise every gateway selects engines by itself.
    #[default]
    Auto,
    /// One gateway schedules the engines of a service and availability zone.
    Scheduled,
    /// Every gateway selects engines by itself.
    Local,
}

/// Error of a text that names no way to select engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
#[error("it must be auto, scheduled or local")]
pub struct EngineSelectionError;

impl TryFrom<&str> for EngineSelection {
    type Error = EngineSelectionError;

    fn try_from(text: &str) -> Result<Self, EngineSelectionError> {
        match text {
            "auto" => Ok(Self::Auto),
            "scheduled" => Ok(Self::Scheduled),
            "local" => Ok(Self::Local),
            _ => Err(EngineSelectionError),
        }
    }
}

/// How the platform's store is reached and what it bears.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreSettings {
    /// Where it answers.
    pub address: SocketAddr,
    /// Calls that write, of all hosts together, in a second.
    pub writes_per_s: u64,
    /// Largest value of a row.
    pub row_bytes: usize,
    /// Longest wait for an answer.
    pub timeout: Duration,
}

const GATEWAY_SECTION: SectionSchema = SectionSchema {
    name: "gateway",
    keys: &[
        Key {
            name: "host",
            kind: KeyKind::Name,
            presence: Presence::Required,
            meaning: "Name of the host.",
        },
        Key {
            name: "availability_zone",
            kind: KeyKind::Name,
            presence: Presence::Required,
            meaning: "The host's availability zone; endpoints of the same one are preferred.",
        },
        Key {
            name: "front_listen",
            kind: KeyKind::Address,
            presence: Presence::Required,
            meaning: "Where callers are served.",
        },
        Key {
            name: "ready_listen",
            kind: KeyKind::Address,
            presence: Presence::Required,
            meaning: "Where the balancer asks whether the host takes callers.",
        },
        Key {
            name: "metrics_listen",
            kind: KeyKind::Address,
            presence: Presence::Required,
            meaning: "Where the metrics page is served.",
        },
        Key {
            name: "relay_listen",
            kind: KeyKind::Address,
            presence: Presence::Required,
            meaning: "Where other gateways have their transactions joined and, while the store does not answer them, their calls passed on, by TCP, and tell loads of endpoints, by UDP; reachable for gateways only.",
        },
        Key {
            name: "processor_cores",
            kind: KeyKind::Decimal(Unit::Count, 0..=1_024),
            presence: Presence::Default("1"),
            meaning: "The host's share of a processor, in cores; hosts with half of the largest share or more commit for the others.",
        },
        Key {
            name: "escrow_holds_off",
            kind: KeyKind::Choice(&["yes", "no"]),
            presence: Presence::Default("no"),
            meaning: "Whether hosts grant from escrow slots only 1.5 s after the store has last answered them, so that the death of one before then leaves no doubt. Turns of hosts that the store does not answer wait longer.",
        },
        Key {
            name: "stop_grace_s",
            kind: KeyKind::Decimal(Unit::Seconds, 1..=600),
            presence: Presence::Default("8"),
            meaning: "Time between the signal to stop and the end of the process by force.",
        },
        Key {
            name: "retention_margin_ms",
            kind: KeyKind::Number(Unit::Milliseconds, 0..=86_400_000),
            presence: Presence::Default("15000"),
            meaning: "Time beyond a route's retention for which turns are kept: a retry and a turn under way may still need them.",
        },
        Key {
            name: "host_expiry_ms",
            kind: KeyKind::Number(Unit::Milliseconds, 1_000..=86_400_000),
            presence: Presence::Default("60000"),
            meaning: "Time without a response after which another host counts as lost for good; its row in the table of hosts is deleted.",
        },
    ],
};

const STORE_SECTION: SectionSchema = SectionSchema {
    name: "store",
    keys: &[
        Key {
            name: "address",
            kind: KeyKind::Address,
            presence: Presence::Required,
            meaning: "Where the platform's store answers.",
        },
        Key {
            name: "writes_per_s",
            kind: KeyKind::Decimal(Unit::Count, 1..=1_000_000),
            presence: Presence::Default("800"),
            meaning: "Calls that write which the store takes in a second from all hosts together.",
        },
        Key {
            name: "row_bytes",
            kind: KeyKind::Number(Unit::Bytes, 1_024..=67_108_864),
            presence: Presence::Default("65536"),
            meaning: "Largest value of a row; a longer record is split over several rows.",
        },
        Key {
            name: "timeout_ms",
            kind: KeyKind::Number(Unit::Milliseconds, 50..=60_000),
            presence: Presence::Default("1000"),
            meaning: "Longest wait for an answer of the store; after it the outcome of a write is unknown and the write is sent again.",
        },
    ],
};

const CUSTOMERS_SECTION: SectionSchema = SectionSchema {
    name: "customers",
    keys: &[
        Key {
            name: "strict_keys",
            kind: KeyKind::Choice(&["yes", "no"]),
            presence: Presence::Default("no"),
            meaning: "Whether a host that has not heard of the store for keys_confirmed_within_ms refuses requests that need a key.",
        },
        Key {
            name: "keys_confirmed_within_ms",
            kind: KeyKind::Number(Unit::Milliseconds, 100..=86_400_000),
            presence: Presence::Default("5000"),
            meaning: "Longest time for which a key that was taken away may still be taken where strict_keys is yes.",
        },
        Key {
            name: "limit_window_s",
            kind: KeyKind::Decimal(Unit::Seconds, 1..=600),
            presence: Presence::Default("5"),
            meaning: "Time over which a customer's limit is judged.",
        },
        Key {
            name: "limit_overage",
            kind: KeyKind::Decimal(Unit::Count, 0..=10),
            presence: Presence::Default("0.1"),
            meaning: "Part of what a customer's limit allows in that time by which it may be exceeded.",
        },
        Key {
            name: "limit_slack",
            kind: KeyKind::Number(Unit::Count, 0..=1_000_000),
            presence: Presence::Default("20"),
            meaning: "Requests in that time by which it may be exceeded besides.",
        },
    ],
};

const SCHEDULING_SECTION: SectionSchema = SectionSchema {
    name: "scheduling",
    keys: &[Key {
        name: "engines",
        kind: KeyKind::Choice(&["auto", "scheduled", "local"]),
        presence: Presence::Default("auto"),
        meaning: "How engines are selected for turns: with scheduled, one gateway schedules the engines of a service and availability zone; with local, every gateway selects engines by itself; with auto, engines that report a speed are scheduled and others are not.",
    }],
};

/// Settings of `rosebend-gateway`.
pub const GATEWAY_SCHEMA: Schema = Schema {
    program: "rosebend-gateway",
    sections: &[
        GATEWAY_SECTION,
        CLIENTS_SECTION,
        STORE_SECTION,
        CUSTOMERS_SECTION,
        SCHEDULING_SECTION,
        LOG_SECTION,
    ],
};

impl TryFrom<&Document> for GatewaySettings {
    type Error = SettingsError;

    fn try_from(document: &Document) -> Result<Self, SettingsError> {
        let values = Values::check(document, &GATEWAY_SCHEMA)?;
        Ok(Self {
            host: values.text("gateway", "host"),
            availability_zone: values.text("gateway", "availability_zone"),
            front_listen: values.address("gateway", "front_listen"),
            ready_listen: values.address("gateway", "ready_listen"),
            metrics_listen: values.address("gateway", "metrics_listen"),
            relay_listen: values.address("gateway", "relay_listen"),
            processor_milli: values.thousandths("gateway", "processor_cores"),
            escrow_holds_off: values.text("gateway", "escrow_holds_off") == "yes",
            store: StoreSettings::from(&values),
            stop_grace: values.seconds("gateway", "stop_grace_s"),
            retention_margin: values.duration("gateway", "retention_margin_ms"),
            host_expiry: values.duration("gateway", "host_expiry_ms"),
            clients: ClientSettings::from(&values),
            customers: CustomerSettings::from(&values),
            // The schema allows only the names of the enum.
            engine_selection: EngineSelection::try_from(
                values.text("scheduling", "engines").as_str(),
            )
            .unwrap_or_default(),
            log: common::log(&values),
        })
    }
}

impl From<&Values<'_>> for CustomerSettings {
    fn from(values: &Values<'_>) -> Self {
        let section = "customers";
        let within = values.duration(section, "keys_confirmed_within_ms");
        let is_strict = values.text(section, "strict_keys") == "yes";
        Self {
            keys_confirmed_within: is_strict.then_some(within),
            limit_window: values.seconds(section, "limit_window_s"),
            limit_overage_milli: values.thousandths(section, "limit_overage"),
            limit_slack: values.number(section, "limit_slack"),
        }
    }
}

impl From<&Values<'_>> for StoreSettings {
    fn from(values: &Values<'_>) -> Self {
        Self {
            address: values.address("store", "address"),
            writes_per_s: values.rounded_down("store", "writes_per_s"),
            row_bytes: values.size("store", "row_bytes"),
            timeout: values.duration("store", "timeout_ms"),
        }
    }
}
