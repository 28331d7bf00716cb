//! The time in which the owner of a slot grants nothing.
//!
//! An owner that dies takes the record of its grants along. While the store answers, an
//! owner therefore writes again and again that it holds off: until a time of the store's
//! clock it grants nothing, and nothing that it has granted is outstanding. The next run on
//! the same host knows that the owner had died before this run began. If that was before
//! the end of the hold-off, nothing is lost, and the next run takes the slots at once.
//!
//! Clocks of two hosts are never compared. The end of a hold-off and the start of a run are
//! times of the store, worked out from its answers so that an error makes the written
//! hold-off shorter than the owner's own, and the start later than it was.

use std::time::Duration;

use rosebend_state::id::HostId;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::gateway::ledger::Holder;

/// How long an owner holds off after it has said so. A process that is killed starts again
/// within it, and a turn at the beginning of an outage waits no longer than for it.
pub const HOLD_OFF: Duration = Duration::from_millis(1_500);
/// Time between two renewals of a hold-off.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(300);

/// What an owner says of its hold-off.
#[serde_as]
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HoldOffRow {
    /// The run that holds off.
    pub run: Holder,
    /// Until which time of the store's clock.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub until_store_ms: Duration,
}

impl HoldOffRow {
    /// The row of a run that begins to hold off now. The store's clock shows `store_now`
    /// or more.
    pub fn new(run: Holder, store_now: Duration) -> Self {
        Self {
            run,
            until_store_ms: store_now + HOLD_OFF,
        }
    }

    /// Key of a host's row.
    pub fn key(host: &HostId) -> String {
        format!("hold-off/{host}")
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
    pub fn died_in_time(self, store_now: Duration) -> Option<Holder> {
        (store_now <= self.until_store_ms).then_some(self.run)
    }
}
