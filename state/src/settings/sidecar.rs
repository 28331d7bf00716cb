//! Settings of `rosebend-sidecar`.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use serde::{Deserialize, Serialize};

use crate::id::{AvailabilityZone, HostId};

use super::{
    clients::{CLIENTS_SECTION, ClientSettings},
    common::{self, AUTH_SECTION, LOG_SECTION, LogSettings, PLATFORM_SECTION, PlatformSettings},
    document::Document,
    error::SettingsError,
    schema::{Key, KeyKind, Presence, Schema, SectionSchema, Unit},
    values::Values,
};

/// Settings of a sidecar process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SidecarSettings {
    /// The host's name, as the platform lists it.
    pub host: HostId,
    /// The host's availability zone.
    pub availability_zone: AvailabilityZone,
    /// Where entries are served.
    pub listen: SocketAddr,
    /// Where the metrics page is served.
    pub metrics_listen: SocketAddr,
    /// What stands behind the sidecar.
    pub kind: EndpointKind,
    /// Base URL of the endpoint on this host.
    pub endpoint_url: String,
    /// What the sidecar may keep and let run.
    pub limits: LimitSettings,
    /// Limits of the clients that connect to the process.
    pub clients: ClientSettings,
    /// How the platform is reached.
    pub platform: PlatformSettings,
    /// File of the bearer tokens.
    pub tokens_file: PathBuf,
    /// Where log lines go.
    pub log: LogSettings,
}

/// What stands behind a sidecar.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// What a sidecar may keep and let run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimitSettings {
    /// Memory for retained answers; when it is full, calls are refused.
    pub retention_bytes: u64,
    /// Calls that may wait.
    pub queue_limit: usize,
    /// Tokens of KV cache that calls in flight may need together.
    pub kv_tokens_limit: u64,
    /// Calls that may run at the endpoint at once.
    pub max_running: usize,
    /// How long a stopping sidecar waits for owners to acknowledge answers.
    pub stop_timeout: Duration,
}

const SIDECAR_SECTION: SectionSchema = SectionSchema {
    name: "sidecar",
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
            name: "listen",
            kind: KeyKind::Address,
            presence: Presence::Required,
            meaning: "Where entries are served.",
        },
        Key {
            name: "metrics_listen",
            kind: KeyKind::Address,
            presence: Presence::Required,
            meaning: "Where the metrics page, /healthz and /readyz are served.",
        },
        Key {
            name: "kind",
            kind: KeyKind::Choice(&["engine", "service"]),
            presence: Presence::Required,
            meaning: "What stands behind the sidecar: a model engine or a plain service.",
        },
        Key {
            name: "endpoint_url",
            kind: KeyKind::Url,
            presence: Presence::Required,
            meaning: "Where the endpoint on this host answers.",
        },
    ],
};

const LIMITS_SECTION: SectionSchema = SectionSchema {
    name: "limits",
    keys: &[
        Key {
            name: "retention_bytes",
            kind: KeyKind::Number(Unit::Bytes, 65_536..=8_589_934_592),
            presence: Presence::Default("67108864"),
            meaning: "Memory for answers that no owner has made durable yet; when it is full, calls are refused as not run.",
        },
        Key {
            name: "queue_limit",
            kind: KeyKind::Number(Unit::Count, 1..=100_000),
            presence: Presence::Default("512"),
            meaning: "Calls that may wait; a further one is refused as not run.",
        },
        Key {
            name: "kv_tokens_limit",
            kind: KeyKind::Number(Unit::Tokens, 1_024..=1_000_000_000),
            presence: Presence::Default("400000"),
            meaning: "Tokens of KV cache that the engine has for calls in flight.",
        },
        Key {
            name: "max_running",
            kind: KeyKind::Number(Unit::Count, 1..=10_000),
            presence: Presence::Default("64"),
            meaning: "Calls that may run at the endpoint at once.",
        },
        Key {
            name: "stop_timeout_ms",
            kind: KeyKind::Number(Unit::Milliseconds, 0..=3_600_000),
            presence: Presence::Default("20000"),
            meaning: "How long a stopping sidecar, with nothing in flight any more, waits until owners have made the retained answers durable.",
        },
    ],
};

/// Settings of `rosebend-sidecar`.
pub const SIDECAR_SCHEMA: Schema = Schema {
    program: "rosebend-sidecar",
    sections: &[
        SIDECAR_SECTION,
        LIMITS_SECTION,
        CLIENTS_SECTION,
        PLATFORM_SECTION,
        AUTH_SECTION,
        LOG_SECTION,
    ],
};

impl TryFrom<&Document> for SidecarSettings {
    type Error = SettingsError;

    fn try_from(document: &Document) -> Result<Self, SettingsError> {
        let values = Values::check(document, &SIDECAR_SCHEMA)?;
        Ok(Self {
            host: values.text("sidecar", "host"),
            availability_zone: values.text("sidecar", "availability_zone"),
            listen: values.address("sidecar", "listen"),
            metrics_listen: values.address("sidecar", "metrics_listen"),
            kind: EndpointKind::from_word(&values.text("sidecar", "kind")),
            endpoint_url: values.text("sidecar", "endpoint_url"),
            limits: LimitSettings {
                retention_bytes: values.number("limits", "retention_bytes"),
                queue_limit: values.size("limits", "queue_limit"),
                kv_tokens_limit: values.number("limits", "kv_tokens_limit"),
                max_running: values.size("limits", "max_running"),
                stop_timeout: values.duration("limits", "stop_timeout_ms"),
            },
            clients: ClientSettings::from(&values),
            platform: common::platform(&values),
            tokens_file: common::tokens_file(&values),
            log: common::log(&values),
        })
    }
}

impl EndpointKind {
    /// The kind of a word that the schema has checked.
    fn from_word(word: &str) -> Self {
        match word {
            "service" => Self::Service,
            _ => Self::Engine,
        }
    }
}
