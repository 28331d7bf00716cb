//! Endpoints as they announce themselves.

use std::net::SocketAddr;
use std::time::Duration;

use crate::deployment::{InstanceId, ServiceName};
use crate::id::AvailabilityZone;

/// One run of an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointRecord {
    /// Id of this run.
    pub instance: InstanceId,
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
}
