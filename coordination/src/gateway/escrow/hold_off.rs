//! Hold-off: a period in which the owner of a slot grants nothing.
//!
//! When an owner dies, its record of grants is lost. While the store is available, an
//! owner therefore repeatedly writes a row that announces a hold-off: until the stated
//! time of the store's clock it grants nothing, and none of its earlier grants is
//! outstanding. A process starts only after the previous one on its host has died. If
//! it started before the end of the hold-off, its predecessor died during the hold-off
//! and lost no grants, so it takes over the predecessor's slots at once.
//!
//! A host may be disconnected from the store while the owner of a slot is not. An owner
//! that is asked for a grant therefore ends its hold-off: it writes a separate row, the
//! end marker of the hold-off's epoch, and grants again once the marker is durable. A
//! hold-off row whose epoch has an end marker is ignored, however late the row is
//! written.
//!
//! The clocks of two hosts are never compared. The end of a hold-off and the start of a
//! process are both times of the store's clock, estimated from its responses. An
//! estimation error can only make the announced hold-off shorter than the one that the
//! owner observes, and the recorded start of the next process later than the actual
//! one.

use std::time::Duration;

use rosebend_state::id::HostId;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::gateway::ledger::ProcessId;

/// Duration of a hold-off after its announcement. It is long enough for a killed
/// process to be restarted within it. A turn at the beginning of an outage waits
/// at most this long for a grant.
pub const HOLD_OFF: Duration = Duration::from_millis(1_500);
/// Period after a request for a grant in which a hold-off is not renewed.
pub const DEMAND_WINDOW: Duration = Duration::from_secs(3);
/// Interval between two renewals of a hold-off.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(300);

/// Number of times that a process has ended its hold-off.
pub type Epoch = u64;

/// Stored announcement of an owner's hold-off.
#[serde_as]
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HoldOffRow {
    /// Process that holds off.
    pub run: ProcessId,
    /// Epoch of the hold-off. The end marker of this epoch invalidates the row.
    pub epoch: Epoch,
    /// End of the hold-off, as a time of the store's clock.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub until_store_ms: Duration,
}

impl HoldOffRow {
    /// Creates the row of a process that starts or renews a hold-off now. `store_now`
    /// is a lower bound of the store's clock.
    pub fn new(run: ProcessId, epoch: Epoch, store_now: Duration) -> Self {
        Self {
            run,
            epoch,
            until_store_ms: store_now + HOLD_OFF,
        }
    }

    /// Returns the key of a host's row.
    pub fn key(host: &HostId) -> String {
        format!("hold-off/{host}")
    }

    /// Returns the range of keys that contains a host's row and the end markers of its
    /// epochs, as an inclusive lower and an exclusive upper bound.
    pub fn key_range(host: &HostId) -> (String, String) {
        (Self::key(host), format!("hold-off/{host}0"))
    }

    /// Returns the key of the end marker of an epoch of a process.
    pub fn marker_key(host: &HostId, run: &ProcessId, epoch: Epoch) -> String {
        format!("hold-off/{host}/{run}/{epoch}")
    }

    /// Encodes the row as JSON.
    ///
    /// # Panics
    ///
    /// Panics if serialization fails, which does not occur for strings and numbers.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("strings and numbers have a JSON form")
    }

    /// Decodes a row from its stored value.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not an encoded hold-off row.
    pub fn decode(value: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(value)
    }

    /// Returns the process that died during its hold-off, if the current process of the
    /// same host started no later than `store_now`; returns `None` if the hold-off may
    /// have ended before.
    pub fn died_within_hold_off(self, store_now: Duration) -> Option<ProcessId> {
        (store_now <= self.until_store_ms).then_some(self.run)
    }
}
