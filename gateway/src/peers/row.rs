//! The row of a gateway in the table of gateways, and its validation. Any client of the
//! store can write to the table, so rows are validated when they are read.

use std::net::{IpAddr, SocketAddr};

use rosebend_coordination::gateway::ledger::ProcessId;
use rosebend_state::deployment::Row;
use rosebend_state::id::AvailabilityZone;
use rosebend_util::hash_parts;
use serde::{Deserialize, Serialize};

/// The row that a gateway writes about itself.
#[derive(Debug, Deserialize, Serialize)]
pub struct PeerRow {
    /// The host's name.
    pub host: String,
    /// The host's availability zone. Rows of older versions do not contain it, and no
    /// host follows theirs.
    #[serde(default)]
    pub availability_zone: Option<AvailabilityZone>,
    /// The address at which the gateway accepts requests of other gateways and relays
    /// their calls. It is a unicast address with a port other than zero.
    pub relay: SocketAddr,
    /// The process that wrote the row, as HOST/RUN.
    pub holder: ProcessId,
    /// The host's share of a processor, in thousandths of a core. Rows of older
    /// versions do not contain it, and their hosts do not batch for others.
    #[serde(default)]
    pub processor_milli: u32,
    /// Whether the gateway's ledgers withhold tokens for the grants of escrow slots and
    /// depend on the slots' fences. Those of older versions do not, and no slot has an
    /// owner while a gateway of an older version runs.
    #[serde(default)]
    pub fences_escrow: bool,
}

/// The row of a gateway is invalid.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct PeerRowError(#[from] PeerRowErrorKind);

/// The reason why a row is invalid. It is private, so that callers can only print it.
#[derive(Debug, thiserror::Error)]
enum PeerRowErrorKind {
    #[error("the row is deleted")]
    Deleted,
    #[error("malformed gateway row: {0}")]
    Malformed(#[from] serde_json::Error),
    #[error("the key of the gateway row does not match its host")]
    Key,
    #[error("the gateway row contains a process of another host")]
    Holder,
    #[error("the gateway row contains the unusable address {0}")]
    Address(SocketAddr),
}

/// Returns the key of a host's row.
pub fn key(host: &str) -> String {
    format!("{:016x}", hash_parts(&[host.as_bytes()]))
}

impl TryFrom<&Row> for PeerRow {
    type Error = PeerRowError;

    fn try_from(row: &Row) -> Result<Self, PeerRowError> {
        let value = row.value.as_ref().ok_or(PeerRowErrorKind::Deleted)?;
        let peer: Self = serde_json::from_slice(value).map_err(PeerRowErrorKind::Malformed)?;
        if key(&peer.host) != row.id.key {
            return Err(PeerRowErrorKind::Key.into());
        }
        let (host, _) = peer.holder.rsplit_once('/').unwrap_or_default();
        if host != peer.host {
            return Err(PeerRowErrorKind::Holder.into());
        }
        match is_usable_address(peer.relay) {
            true => Ok(peer),
            false => Err(PeerRowErrorKind::Address(peer.relay).into()),
        }
    }
}

/// Returns whether another host may listen at an address.
fn is_usable_address(address: SocketAddr) -> bool {
    let is_broadcast = match address.ip() {
        IpAddr::V4(ip) => ip.is_broadcast(),
        IpAddr::V6(_) => false,
    };
    let is_not_unicast = address.ip().is_unspecified() || address.ip().is_multicast();
    address.port() != 0 && !is_not_unicast && !is_broadcast
}
