//! The time in which the owner of a slot grants nothing.
//!
//! An owner that dies takes the record of its grants along. While the store answers, an
//! owner therefore writes again and again that it holds off: until a time of the store's
//! clock it grants nothing, and nothing that it has granted is outstanding. The next run on
//! the same host knows that the owner had died before this run began. If that was before
//! the end of the hold-off, nothing is lost, and the next run takes the slots at once.
//!
//! A host may be cut off from a store that answers the owner. An owner that is asked for a
//! grant ends its hold-off by a row of its own, the mark of the hold-off's epoch, and grants
//! once that is durable. Rows of an epoch that has a mark tell nothing, however late they are
//! written.
//!
//! Clocks of two hosts are never compared. The end of a hold-off and the start of a run are
//! times of the store, worked out from its answers so that an error makes the written
//! hold-off shorter than the owner's own, and the start later than it was.

use std::time::Duration;

use rosebend_state::id::HostId;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::gateway::ledger::ProcessId;

/// How long an owner holds off after it has said so. A process that is killed starts again
/// within it, and a turn at the beginning of an outage waits no longer than for it.
pub const HOLD_OFF: Duration = Duration::from_millis(1_500);
/// How long a hold-off is not renewed after a turn wanted a grant.
pub const DEMAND_TIME: Duration = Duration::from_secs(3);
/// Time between two renewals of a hold-off.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(300);

/// Counts the times that a run has ended its hold-off.
pub type Epoch = u64;

/// What an owner says of its hold-off.
#[serde_as]
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HoldOffRow {
    /// The run that holds off.
    pub run: ProcessId,
    /// Its epoch, which ends when the hold-off is ended.
    pub epoch: Epoch,
    /// Until which time of the store's clock.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub until_store_ms: Duration,
}

impl HoldOffRow {
    /// The row of a run that begins to hold off now. The store's clock shows `store_now`
    /// or more.
    pub fn new(run: ProcessId, epoch: Epoch, store_now: Duration) -> Self {
        Self {
            run,
            epoch,
            until_store_ms: store_now + HOLD_OFF,
        }
    }

    /// Key of a host's row.
    pub fn key(host: &HostId) -> String {
        format!("hold-off/{host}")
    }

    /// The range of the keys of a host's row and of the marks of its epochs: from the first
    /// one, and below the second.
    pub fn keys(host: &HostId) -> (String, String) {
        (Self::key(host), format!("hold-off/{host}0"))
    }

    /// Key of the mark that ends an epoch of a run.
    pub fn mark_key(host: &HostId, run: &ProcessId, epoch: Epoch) -> String {
        format!("hold-off/{host}/{run}/{epoch}")
    }

    /// The row as a value.
    ///
    /// # Panics
    ///
    /// Panics when a row has no JSON form, which none has.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("strings and numbers have a JSON form")
    }

    /// Reads a row's value.
    ///
    /// # Errors
    ///
    /// Fails when the value is no such row.
    pub fn decode(value: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(value)
    }

    /// The run that died while it held off, if the present run of its host began at
    /// `store_now` or before.
    pub fn died_in_time(self, store_now: Duration) -> Option<ProcessId> {
        (store_now <= self.until_store_ms).then_some(self.run)
    }
}
