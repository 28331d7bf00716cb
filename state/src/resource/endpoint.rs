//! Endpoints.

use std::net::SocketAddr;

use serde::Serialize;
use serde_json::{Map, Value};

use crate::{id::AvailabilityZone, settings::EndpointKind};

use super::{error::FieldDefect, fields::Fields};

/// Most models or tools that one endpoint serves.
const MAX_SERVES: usize = 256;

/// An endpoint: a sidecar's address and what stands behind it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub struct EndpointSpec {
    /// Where the sidecar serves entries; the port is above 0.
    pub sidecar_address: SocketAddr,
    /// The availability zone of its host.
    pub availability_zone: AvailabilityZone,
    /// What stands behind the sidecar.
    pub kind: EndpointKind,
    /// Names of the models that an engine serves, or of the tools that a
    /// service serves; distinct, 1 to 256.
    pub serves: Vec<String>,
    /// Whether it gets no new work.
    pub draining: bool,
}

impl TryFrom<&Map<String, Value>> for EndpointSpec {
    type Error = Vec<FieldDefect>;

    fn try_from(spec: &Map<String, Value>) -> Result<Self, Vec<FieldDefect>> {
        const KINDS: &[(&str, EndpointKind)] = &[
            ("engine", EndpointKind::Engine),
            ("service", EndpointKind::Service),
        ];
        let mut fields = Fields::new(spec);
        let endpoint = Self {
            sidecar_address: fields.address("sidecar_address"),
            availability_zone: fields.name("availability_zone"),
            kind: fields.choice("kind", KINDS, None),
            serves: fields.names("serves", 1..=MAX_SERVES, None),
            draining: fields.flag("draining", false),
        };
        fields.finish()?;
        Ok(endpoint)
    }
}
