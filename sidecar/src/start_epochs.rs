//! The epochs of all shards when this run of the sidecar started.
//!
//! A sidecar knows everything about the calls that it was given under a later
//! epoch: no earlier run of it can have had them. Told to the next owner of a
//! shard, that brings back the part of a program's budget which was drawn and
//! not spent.

use std::{
    collections::HashMap,
    sync::{Arc, OnceLock},
    time::Duration,
};

use rosebend_protocol::peer::Fence;
use rosebend_protocol::table::{SHARD_PREFIX, rows_under};
use rosebend_state::deployment::Row;
use rosebend_state::id::{Epoch, Shard};
use rosebend_transport::store::StoreClient;
use serde::Deserialize;

/// Wait before the table is asked again.
const READ_AGAIN_WAIT: Duration = Duration::from_secs(1);

/// The epochs of all shards when the sidecar started; not known until the
/// table was read. A read that comes late gives later epochs, of which less
/// follows.
#[derive(Clone, Debug, Default)]
pub struct StartEpochs {
    epochs: Arc<OnceLock<HashMap<Shard, Epoch>>>,
}

impl StartEpochs {
    /// Reads the epochs, and asks again until the table answers.
    pub async fn read(self, store: StoreClient) {
        loop {
            if let Ok(rows) = store.read(&rows_under(SHARD_PREFIX)).await {
                // Only this task sets them, and only once.
                let _ = self
                    .epochs
                    .set(rows.rows.iter().filter_map(epoch_of).collect());
                return;
            }
            actix_rt::time::sleep(READ_AGAIN_WAIT).await;
        }
    }

    /// The epochs of some shards; none while they are not known.
    pub fn of(&self, shards: impl Iterator<Item = Shard>) -> Vec<Fence> {
        let Some(epochs) = self.epochs.get() else {
            return Vec::new();
        };
        shards
            .map(|shard| Fence {
                shard,
                epoch: epochs.get(&shard).copied().unwrap_or(0),
            })
            .collect()
    }
}

/// The part of a shard's row that is read here.
#[derive(Debug)]
#[derive(Deserialize)]
struct ShardRow {
    epoch: Epoch,
}

/// The epoch that a shard's row tells; none when it is damaged.
pub(crate) fn shard_epoch(row: &Row) -> Option<Epoch> {
    let value: ShardRow = serde_json::from_slice(row.value.as_deref()?).ok()?;
    Some(value.epoch)
}

fn epoch_of(row: &Row) -> Option<(Shard, Epoch)> {
    let shard = row.id.key.strip_prefix(SHARD_PREFIX)?.parse().ok()?;
    Some((shard, shard_epoch(row)?))
}
