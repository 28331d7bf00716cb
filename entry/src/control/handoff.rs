//! Passing shards on, and taking them from their last owner.

use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::timeout;
use rosebend_coordination::owner::Event;
use rosebend_coordination::ownership::{OwnershipEvent, ShardRow};
use rosebend_protocol::peer::{Fence, HandedShard, HandoffRequest, entry_client::EntryClient};
use rosebend_protocol::table::row_id;
use rosebend_state::deployment::{RowVersion, Transaction};
use rosebend_state::id::{Epoch, HostId, Incarnation, Shard};
use rosebend_state::record::ShardRecords;
use rosebend_transport::event::{Event as LogEvent, EventKind, log_event};
use rosebend_transport::store::{StoreClient, StoreError, Transacted};

use super::Command;
use super::state::Control;
use crate::dispatch::REQUEST_TIMEOUT;
use crate::rows;

/// Wait before a handoff is tried again that met a write of this entry: about two
/// transactions of the 8 ms that the platform's settings give for one.
const HANDOFF_AGAIN_WAIT: Duration = Duration::from_millis(20);
/// Most bytes of records that go with a handed shard. A message may have 16 MiB;
/// half of it leaves room. With 4,096 shards a shard's records are about 2 MB.
const MAX_HANDED_BYTES: usize = 8 << 20;

impl Control {
    /// Takes no more calls of a shard, to pass it to a successor.
    pub(super) fn drain(&mut self, shard: Shard, successor: (HostId, Incarnation)) {
        self.successors.insert(shard, successor);
        if self.loading.contains_key(&shard) {
            // Nothing runs yet under this owner.
            self.pass_on(shard);
        } else {
            self.owner_event(Event::ShardLeaving { shard });
        }
    }

    /// Passes a drained shard to its successor.
    pub(super) fn pass_on(&mut self, shard: Shard) {
        let (Some(successor), Some(&epoch), Some(version)) = (
            self.successors.get(&shard).cloned(),
            self.epochs.get(&shard),
            self.committer.row_version(shard),
        ) else {
            return;
        };
        // Whatever is written from now on changes the row, and fails the handoff.
        // Afterwards these records may be gone: a read of the rows can tell of the
        // handoff before its own answer does.
        let records = self.owner.records(self.now(), shard);
        let write_id = self.committer.take_write_id();
        let transaction =
            rows::handoff_transaction(shard, version, epoch + 1, &successor, write_id);
        let store = Rc::clone(&self.store);
        let handle = self.handle.clone();
        actix_rt::spawn(async move {
            let handed_over = hand_over(&store, transaction, &successor).await;
            if let Err(error) = &handed_over {
                let event = LogEvent::new(EventKind::HandoffFailed).shard(shard);
                log_event(&event.epoch(epoch).host(&successor.0).error(error));
            }
            let row_version = handed_over.ok();
            handle.send(match row_version {
                Some(row_version) => Command::HandedOver {
                    shard,
                    epoch,
                    successor,
                    row_version,
                    records,
                },
                None => Command::NotHandedOver {
                    shard,
                    epoch,
                    tried_version: version,
                },
            });
        });
    }

    pub(super) fn handed_over(
        &mut self,
        shard: Shard,
        epoch: Epoch,
        successor: (HostId, Incarnation),
        row_version: RowVersion,
        records: Option<ShardRecords>,
    ) {
        let event = LogEvent::new(EventKind::ShardHandedOver).shard(shard);
        log_event(&event.epoch(epoch).host(&successor.0));
        let records = records.map(|records| rows::to_json(&records));
        let handed = HandedShard {
            shard,
            epoch: epoch + 1,
            row_version,
            incarnation: successor.1.clone(),
            records: records.filter(|records| records.len() <= MAX_HANDED_BYTES),
        };
        self.tell_successor(&successor, handed);
        self.successors.remove(&shard);
        // Those who ask here are told the successor at once.
        self.ownership_event(OwnershipEvent::HandedOver(ShardRow {
            shard,
            version: row_version,
            owner: successor.0,
            incarnation: successor.1,
            epoch: epoch + 1,
        }));
        let passed_on = true;
        self.ownership_event(OwnershipEvent::HandoffEnded { shard, passed_on });
    }

    /// Gives the successor of a shard its row and its records. It reads the
    /// table when this does not reach it.
    fn tell_successor(&mut self, successor: &(HostId, Incarnation), handed: HandedShard) {
        let peer = self
            .ownership
            .live_peers()
            .find(|peer| peer.host == successor.0);
        let Some(address) = peer.map(|peer| peer.peer_address.clone()) else {
            return;
        };
        let fences = vec![Fence {
            shard: handed.shard,
            epoch: 0,
        }];
        let request = HandoffRequest {
            sender: self.settings.entry.host.clone(),
            fences,
            shards: vec![handed],
        };
        self.untold_successors += 1;
        let handle = self.handle.clone();
        self.traffic.spawn(move |peers| async move {
            if let Ok(channel) = peers.channel(&address).await {
                let _ = timeout(REQUEST_TIMEOUT, EntryClient::new(channel).handoff(request)).await;
            }
            handle.send(Command::SuccessorTold);
        });
    }

    /// A call that was at its endpoint when the shard was drained may have
    /// ended since, and the write of its end changed the shard's row. Then the
    /// handoff is tried again at once: giving it up would keep the shard for
    /// several more seconds, and a busy one for ever.
    pub(super) fn not_handed_over(
        &mut self,
        shard: Shard,
        epoch: Epoch,
        tried_version: RowVersion,
    ) {
        let is_owned = self.epochs.get(&shard) == Some(&epoch);
        let wrote_meanwhile = self.committer.is_busy(shard)
            || self.committer.row_version(shard) != Some(tried_version);
        if is_owned && wrote_meanwhile && self.successors.contains_key(&shard) {
            return self.send_later(HANDOFF_AGAIN_WAIT, Command::HandoffDue { shard });
        }
        self.successors.remove(&shard);
        let passed_on = false;
        self.ownership_event(OwnershipEvent::HandoffEnded { shard, passed_on });
        self.full_read_at = None;
        // The row may name the successor all the same; reading it tells.
        self.read_shards();
    }

    /// Takes shards that their last owner passed to this process. That owner
    /// has written their rows, so neither these nor the records need be read
    /// before the shards are served: a table that fails right after a handoff
    /// keeps no program waiting.
    pub(super) fn take_handed(&mut self, shards: Vec<HandedShard>) {
        for handed in shards {
            if handed.incarnation != self.settings.incarnation {
                continue;
            }
            match handed.records.as_deref().map(serde_json::from_slice) {
                None => {}
                Some(Ok(records)) => {
                    self.handed.insert(handed.shard, (handed.epoch, records));
                }
                // An entry of another version; the table has the records.
                Some(Err(error)) => {
                    let event = LogEvent::new(EventKind::HandoffUnreadable);
                    log_event(&event.shard(handed.shard).error(&error));
                }
            }
            let row = ShardRow {
                shard: handed.shard,
                version: handed.row_version,
                owner: self.settings.entry.host.clone(),
                incarnation: handed.incarnation,
                epoch: handed.epoch,
            };
            self.ownership_event(OwnershipEvent::HandedOver(row));
        }
        self.read_shards();
    }
}

/// Why a shard was not passed on.
#[derive(Debug, thiserror::Error)]
enum HandoffError {
    /// The successor is leaving, or another process has its place.
    #[error("the successor is not there any more")]
    NoSuccessor,
    /// A row has changed; these are the rows.
    #[error("one of the rows {0} has changed")]
    Conflict(String),
    /// The table did not answer; it may have been passed on all the same, which
    /// the next read of its row tells.
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// Passes a shard on, if the successor is there: its row may have been removed
/// since this entry read it last, and a shard passed to nobody waits for a
/// takeover.
async fn hand_over(
    store: &StoreClient,
    transaction: Transaction,
    successor: &(HostId, Incarnation),
) -> Result<RowVersion, HandoffError> {
    let successor_row = row_id(rows::host_key(&successor.0));
    let found = store.read_row(&successor_row).await?;
    let host = found.as_ref().and_then(rows::host_row);
    let (host, _) = host.ok_or(HandoffError::NoSuccessor)?;
    if host.incarnation != successor.1 || host.leaving {
        return Err(HandoffError::NoSuccessor);
    }
    let transaction = transaction.expect(successor_row, host.version);
    match store.transact(&transaction).await? {
        Transacted::Applied(version) => Ok(version),
        Transacted::Conflict(rows) => Err(HandoffError::Conflict(
            rows.iter()
                .map(|row| row.id.key.as_str())
                .collect::<Vec<_>>()
                .join(", "),
        )),
    }
}
