//! An endpoint of a cluster: a stand-in with its sidecar.

use std::net::SocketAddr;

use rosebend_standin::{engine::EngineStats, service::Effects};
use serde_json::Value;

use crate::{
    caller::Caller,
    error::HarnessError,
    process::{Process, Signal},
    relay::Relay,
};

/// What stands behind a sidecar.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndpointRole {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

impl EndpointRole {
    /// The word of settings and resources.
    pub fn word(self) -> &'static str {
        match self {
            Self::Engine => "engine",
            Self::Service => "service",
        }
    }
}

/// A stand-in with its sidecar.
#[derive(Debug)]
pub struct Endpoint {
    /// The endpoint's name.
    pub name: String,
    /// What it is.
    pub role: EndpointRole,
    /// The stand-in.
    pub stand_in: Process,
    /// Where the stand-in listens.
    pub stand_in_address: SocketAddr,
    /// The sidecar.
    pub sidecar: Process,
    /// Where the sidecar listens for entries.
    pub sidecar_address: SocketAddr,
    /// Where the sidecar's pages are.
    pub pages_address: SocketAddr,
    /// What entries connect to in the place of the sidecar, when relayed.
    pub relay: Option<Relay>,
}

impl Endpoint {
    /// Where entries reach the sidecar.
    pub fn address_for_entries(&self) -> SocketAddr {
        match &self.relay {
            Some(relay) => relay.address(),
            None => self.sidecar_address,
        }
    }

    /// Changes the stand-in's faults.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not take them.
    pub async fn set_faults(&self, faults: &Value) -> Result<(), HarnessError> {
        set_faults(self.stand_in_address, faults).await
    }

    /// The effects that a service has had.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not answer.
    pub async fn effects(&self) -> Result<Effects, HarnessError> {
        let caller = Caller::new("");
        let reply = caller.get(self.stand_in_address, "/effects").await?;
        reply.read()
    }

    /// What an engine has done.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not answer.
    pub async fn engine_stats(&self) -> Result<EngineStats, HarnessError> {
        let caller = Caller::new("");
        let reply = caller.get(self.stand_in_address, "/stats").await?;
        reply.read()
    }

    /// Kills the sidecar and starts it again.
    ///
    /// # Errors
    ///
    /// Fails when it cannot be started.
    pub async fn replace_sidecar(&mut self) -> Result<(), HarnessError> {
        self.sidecar.end(Signal::Kill).await?;
        self.sidecar.restart()
    }
}

/// Changes the faults of a stand-in.
///
/// # Errors
///
/// Fails when the stand-in does not take them.
pub async fn set_faults(stand_in: SocketAddr, faults: &Value) -> Result<(), HarnessError> {
    let caller = Caller::new("");
    let reply = caller.post(stand_in, "/faults", faults).await?;
    reply.success("setting faults").map(|_| ())
}
