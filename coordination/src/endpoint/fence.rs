//! The highest epoch seen of each shard.
//!
//! An owner whose shard was taken over may still believe that it owns it. Its
//! messages carry a lower epoch than its successor's, and once one message of
//! the successor has been seen here, nothing of the old owner is done.

use std::collections::HashMap;

use rosebend_state::id::{Epoch, Shard};

/// The proof that a sender owns a shard.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Fence {
    /// The shard.
    pub shard: Shard,
    /// The epoch under which the sender owns it.
    pub epoch: Epoch,
}

/// The sender's epoch is lower than one seen before.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("epoch {epoch} of the shard has been seen")]
pub struct StaleEpoch {
    /// The highest epoch seen.
    pub epoch: Epoch,
}

/// Highest epochs by shard. An epoch never falls.
#[derive(Clone, Debug, Default)]
pub struct Fences {
    epochs: HashMap<Shard, Epoch>,
}

impl Fences {
    /// Accepts a fence and remembers its epoch.
    ///
    /// # Errors
    ///
    /// Refuses an epoch that is lower than the highest one seen.
    pub fn check(&mut self, fence: Fence) -> Result<(), StaleEpoch> {
        let highest = self.epochs.entry(fence.shard).or_insert(fence.epoch);
        if fence.epoch < *highest {
            return Err(StaleEpoch { epoch: *highest });
        }
        *highest = fence.epoch;
        Ok(())
    }

    /// Whether the fence is still the newest of its shard.
    pub fn is_current(&self, fence: Fence) -> bool {
        self.highest(fence.shard)
            .is_none_or(|highest| fence.epoch >= highest)
    }

    /// The highest epoch seen of a shard.
    pub fn highest(&self, shard: Shard) -> Option<Epoch> {
        self.epochs.get(&shard).copied()
    }
}
