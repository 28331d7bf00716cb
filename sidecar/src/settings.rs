//! The settings file of the sidecar.

use std::{collections::BTreeMap, net::SocketAddr, str::FromStr, time::Duration};

use rosebend_state::id::{AvailabilityZone, HostId};

/// The file's one section.
const SECTION: &str = "sidecar";

/// What stands behind the sidecar.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndpointKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// Checked settings of one sidecar.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SidecarSettings {
    /// Name of this host.
    pub host: HostId,
    /// Availability zone of this host.
    pub availability_zone: AvailabilityZone,
    /// Address for owners' gRPC; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Address of `/metrics`, `/healthz` and `/readyz`.
    pub metrics_listen: SocketAddr,
    /// What stands behind the sidecar.
    pub kind: EndpointKind,
    /// Base URL of the engine or service.
    pub endpoint_url: String,
    /// Base URL of the platform.
    pub platform_url: String,
    /// Bytes of answers that are kept at most.
    pub retention_bytes: u64,
    /// Calls that wait at most.
    pub queue_limit: usize,
    /// KV tokens of the calls at the engine at most.
    pub kv_tokens_limit: u64,
    /// Calls at the endpoint at most.
    pub max_running: usize,
    /// How long a stopping sidecar waits for answers to be acknowledged.
    pub stop_timeout: Duration,
}

/// Why settings were not accepted.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// A line is neither a section, a comment nor a key with a value.
    #[error("line {0} is neither [sidecar], a comment nor `key = value`")]
    Line(usize),
    /// A key is not known.
    #[error("line {line}: there is no key {key:?}")]
    UnknownKey {
        /// Number of the line, from 1.
        line: usize,
        /// The key.
        key: String,
    },
    /// A value is not of its key's type.
    #[error("{key}: {value:?} is not accepted")]
    Value {
        /// The key.
        key: &'static str,
        /// The value.
        value: String,
    },
    /// A key without a default is missing.
    #[error("{0} is missing")]
    Missing(&'static str),
}

const KEYS: [&str; 12] = [
    "host",
    "availability_zone",
    "listen",
    "metrics_listen",
    "kind",
    "endpoint_url",
    "platform_url",
    "retention_bytes",
    "queue_limit",
    "kv_tokens_limit",
    "max_running",
    "stop_timeout_ms",
];

impl TryFrom<&str> for SidecarSettings {
    type Error = SettingsError;

    fn try_from(text: &str) -> Result<Self, SettingsError> {
        let values = Values::try_from(text)?;
        let kind = match values.required("kind")? {
            "engine" => EndpointKind::Engine,
            "service" => EndpointKind::Service,
            other => return Err(value_error("kind", other)),
        };
        Ok(Self {
            host: values.parsed("host", None)?,
            availability_zone: values.parsed("availability_zone", None)?,
            listen: values.parsed("listen", None)?,
            metrics_listen: values.parsed("metrics_listen", Some("127.0.0.1:0"))?,
            kind,
            endpoint_url: base_url(values.required("endpoint_url")?),
            platform_url: base_url(values.required("platform_url")?),
            retention_bytes: values.parsed("retention_bytes", Some("67108864"))?,
            queue_limit: values.parsed("queue_limit", Some("1024"))?,
            kv_tokens_limit: values.parsed("kv_tokens_limit", Some("1048576"))?,
            max_running: values.parsed("max_running", Some("64"))?,
            stop_timeout: Duration::from_millis(values.parsed("stop_timeout_ms", Some("20000"))?),
        })
    }
}

struct Values<'a>(BTreeMap<&'static str, &'a str>);

impl<'a> TryFrom<&'a str> for Values<'a> {
    type Error = SettingsError;

    fn try_from(text: &'a str) -> Result<Self, SettingsError> {
        let mut values = BTreeMap::new();
        for (index, line) in text.lines().enumerate() {
            let number = index + 1;
            let line = line.trim();
            let is_comment = line.is_empty() || line.starts_with([';', '#']);
            if is_comment || line == format!("[{SECTION}]") {
                continue;
            }
            let (key, value) = line.split_once('=').ok_or(SettingsError::Line(number))?;
            let key = known_key(number, key.trim())?;
            values.insert(key, value.trim());
        }
        Ok(Self(values))
    }
}

impl<'a> Values<'a> {
    fn required(&self, key: &'static str) -> Result<&'a str, SettingsError> {
        self.0.get(key).copied().ok_or(SettingsError::Missing(key))
    }

    fn parsed<T: FromStr>(
        &self,
        key: &'static str,
        default: Option<&'a str>,
    ) -> Result<T, SettingsError> {
        let value = match (self.0.get(key), default) {
            (Some(value), _) => value,
            (None, Some(default)) => default,
            (None, None) => return Err(SettingsError::Missing(key)),
        };
        value.parse().map_err(|_| value_error(key, value))
    }
}

fn known_key(line: usize, key: &str) -> Result<&'static str, SettingsError> {
    KEYS.into_iter()
        .find(|known| *known == key)
        .ok_or_else(|| SettingsError::UnknownKey {
            line,
            key: key.to_owned(),
        })
}

fn value_error(key: &'static str, value: &str) -> SettingsError {
    SettingsError::Value {
        key,
        value: value.to_owned(),
    }
}

fn base_url(raw: &str) -> String {
    raw.trim_end_matches('/').to_owned()
}
