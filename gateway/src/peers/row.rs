//! The row by which a gateway is known to others, checked: anyone may write to
//! the table.

use std::net::{IpAddr, SocketAddr};

use rosebend_coordination::gateway::ledger::ProcessId;
use rosebend_state::deployment::Row;
use rosebend_state::id::AvailabilityZone;
use rosebend_util::hash_parts;
use serde::{Deserialize, Serialize};

/// A gateway, as it tells of itself.
#[derive(Debug, Deserialize, Serialize)]
pub struct PeerRow {
    /// The host's name.
    pub host: String,
    /// Its availability zone. Rows of older versions do not tell it: nobody follows
    /// those hosts.
    #[serde(default)]
    pub availability_zone: Option<AvailabilityZone>,
    /// Where it passes calls on; never a port or an address that none has.
    pub relay: SocketAddr,
    /// The run of the host's process that wrote the row, as HOST/RUN.
    pub holder: ProcessId,
    /// The host's share of a processor, in thousandths of a core. Rows of older
    /// versions do not tell it: those hosts do not commit for others.
    #[serde(default)]
    pub processor_milli: u32,
    /// Whether its ledgers keep room for what escrow slots grant, and rest on the slots'
    /// fences. Those of older versions do not, and no slot is owned while one runs.
    #[serde(default)]
    pub fences_escrow: bool,
}

/// A row names no gateway.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct PeerRowError(#[from] PeerRowErrorKind);

/// What is wrong; opaque to others, who can only tell it.
#[derive(Debug, thiserror::Error)]
enum PeerRowErrorKind {
    #[error("the row is gone")]
    Gone,
    #[error("not the form that this version writes: {0}")]
    Form(#[from] serde_json::Error),
    #[error("the row lies under another key than its host's")]
    Key,
    #[error("the row was written by another host than its own")]
    Holder,
    #[error("nobody listens at {0}")]
    Address(SocketAddr),
}

/// Key of a host's row.
pub fn key(host: &str) -> String {
    format!("{:016x}", hash_parts(&[host.as_bytes()]))
}

impl TryFrom<&Row> for PeerRow {
    type Error = PeerRowError;

    fn try_from(row: &Row) -> Result<Self, PeerRowError> {
        let value = row.value.as_ref().ok_or(PeerRowErrorKind::Gone)?;
        let peer: Self = serde_json::from_slice(value).map_err(PeerRowErrorKind::Form)?;
        if key(&peer.host) != row.id.key {
            return Err(PeerRowErrorKind::Key.into());
        }
        let (host, _) = peer.holder.rsplit_once('/').unwrap_or_default();
        if host != peer.host {
            return Err(PeerRowErrorKind::Holder.into());
        }
        match is_an_address(peer.relay) {
            true => Ok(peer),
            false => Err(PeerRowErrorKind::Address(peer.relay).into()),
        }
    }
}

fn is_an_address(address: SocketAddr) -> bool {
    let is_broadcast = match address.ip() {
        IpAddr::V4(ip) => ip.is_broadcast(),
        IpAddr::V6(_) => false,
    };
    let is_of_none = address.ip().is_unspecified() || address.ip().is_multicast();
    address.port() != 0 && !is_of_none && !is_broadcast
}
