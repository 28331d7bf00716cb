//! Endpoints as they announce themselves.

use std::convert::Infallible;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::deployment::{InstanceId, ServiceName};
use crate::id::AvailabilityZone;

/// Separates the id from the start in the text of an identity; ids that are
/// used do not contain it.
const SEPARATOR: char = '/';

/// One start of an endpoint. An endpoint may start again under the id that it
/// had, and then knows nothing of before: all that is believed of an endpoint
/// belongs to one identity.
///
/// The text of an identity is `INSTANCE/STARTED_MS`, or `INSTANCE` alone where
/// the start is not known.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(DeserializeFromStr, SerializeDisplay)]
pub struct EndpointIdentity {
    /// The id, which may outlast a start.
    pub instance: InstanceId,
    /// Time of day of the start, in milliseconds since 1970 by the endpoint's
    /// clock. An endpoint that tells none counts as started before all that do.
    pub started_ms: Option<u64>,
}

impl EndpointIdentity {
    /// An endpoint that does not tell when it started.
    pub fn unknown_start(instance: impl Into<InstanceId>) -> Self {
        Self {
            instance: instance.into(),
            started_ms: None,
        }
    }

    /// Whether this is an earlier start under the same id.
    pub fn is_before(&self, other: &Self) -> bool {
        self.instance == other.instance && self.started_ms < other.started_ms
    }
}

impl fmt::Display for EndpointIdentity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.started_ms {
            Some(started_ms) => write!(f, "{}{SEPARATOR}{started_ms}", self.instance),
            None => f.write_str(&self.instance),
        }
    }
}

impl FromStr for EndpointIdentity {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Infallible> {
        let parts = text.rsplit_once(SEPARATOR);
        let parts = parts.and_then(|(id, started_ms)| Some((id, started_ms.parse().ok()?)));
        Ok(match parts {
            Some((instance, started_ms)) => Self {
                instance: instance.to_owned(),
                started_ms: Some(started_ms),
            },
            None => Self::unknown_start(text),
        })
    }
}

/// An endpoint as its entry tells it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointRecord {
    /// Which start of which endpoint it is.
    pub identity: EndpointIdentity,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub availability_zone: AvailabilityZone,
    /// Requests that it runs at once; at least 1.
    pub slots: u32,
    /// Whether it leaves; a leaving endpoint is given nothing new.
    pub draining: bool,
    /// How much longer it is slow after its start.
    pub warming_up: Duration,
}

/// Load that an endpoint tells with an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndpointLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Slots of the endpoint.
    pub slots: u32,
    /// How long work takes there at this moment, in percent of the usual time. `None`
    /// if the endpoint reports no speed.
    pub work_time_percent: Option<u32>,
}

/// Largest work time that counts as a speed, in percent of the usual time.
pub const MAX_WORK_TIME_PERCENT: u32 = 10_000;

/// Returns the work time, or `None` if it is no valid speed: 0, or above
/// [`MAX_WORK_TIME_PERCENT`].
pub fn valid_work_time_percent(work_time_percent: u32) -> Option<u32> {
    let is_valid = (1..=MAX_WORK_TIME_PERCENT).contains(&work_time_percent);
    is_valid.then_some(work_time_percent)
}
