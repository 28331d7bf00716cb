//! Ownership of shards: takeovers, loading, handoffs, the stop.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use rosebend_coordination::owner::Event;
use rosebend_coordination::ownership::{OwnershipAction, OwnershipEvent, ShardRow, Takeover};
use rosebend_protocol::peer::{Fence, HandedShard};
use rosebend_protocol::table::{SHARD_PREFIX, row_id, rows_under};
use rosebend_state::deployment::{Row, RowVersion, Transaction};
use rosebend_state::id::{Epoch, HostId, Incarnation, Shard};
use rosebend_state::record::ShardRecords;
use rosebend_transport::event::{Event as LogEvent, EventKind, log_event};
use rosebend_transport::store::{StoreClient, StoreError, Transacted};

use super::sidecars::{SidecarAddress, SidecarView};
use super::state::{Control, Stopping};
use super::{Command, LoadedShard, retained};
use crate::rows;

/// Longest wait for sidecars to tell what they retain for gained shards.
const RETAINED_TIMEOUT: Duration = Duration::from_millis(1500);
/// Most bytes of records that go with a handed shard. A message may have 16 MiB;
/// half of it leaves room. With 4,096 shards a shard's records are about 2 MB.
const MAX_HANDED_BYTES: usize = 8 << 20;
/// Wait before gained shards that could not be read are read again.
const LOAD_AGAIN_WAIT: Duration = Duration::from_millis(500);
/// Wait before a handoff is tried again that met a write of this entry, which
/// takes some 10 ms.
const HANDOFF_AGAIN_WAIT: Duration = Duration::from_millis(20);
/// Shortest time between two reads because an owner was doubted.
const DOUBT_INTERVAL: Duration = Duration::from_millis(100);
/// Reads of shards that are under way at once.
const LOADS_AT_ONCE: usize = 16;
/// A stop that took so long goes on without waiting for a successor.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

impl Control {
    pub(super) fn ownership_event(&mut self, event: OwnershipEvent) {
        let now = self.now();
        let actions = self.ownership.step(now, event);
        self.ownership_actions(actions);
    }

    fn ownership_actions(&mut self, actions: Vec<OwnershipAction>) {
        let mut gained = Vec::new();
        for action in actions {
            match action {
                OwnershipAction::ReadShards => self.read_shards(),
                OwnershipAction::TakeOver(takeover) => self.take_over(takeover),
                OwnershipAction::Gained {
                    shard,
                    epoch,
                    version,
                    is_new,
                } => {
                    self.committer.own_row(shard, epoch, version);
                    self.epochs.insert(shard, epoch);
                    self.loading.entry(shard).or_default();
                    gained.push((shard, epoch, is_new));
                    let event = LogEvent::new(EventKind::ShardTaken)
                        .shard(shard)
                        .epoch(epoch);
                    log_event(&event);
                }
                OwnershipAction::Lost(shard) => self.shard_lost(shard),
                OwnershipAction::Drain { shard, successor } => self.drain(shard, successor),
                OwnershipAction::Stay(shard) => {
                    self.successors.remove(&shard);
                    self.owner_event(Event::ShardStays { shard });
                }
            }
        }
        if !gained.is_empty() {
            self.load(gained);
        }
    }

    fn shard_lost(&mut self, shard: Shard) {
        self.committer.disown(shard);
        self.successors.remove(&shard);
        self.handed.remove(&shard);
        if let Some(epoch) = self.epochs.remove(&shard) {
            log_event(
                &LogEvent::new(EventKind::ShardLost)
                    .shard(shard)
                    .epoch(epoch),
            );
            self.owner_event(Event::ShardLost { shard });
        }
        let address = self.ownership.owner_address(shard).map(str::to_owned);
        for caller in self.loading.remove(&shard).unwrap_or_default() {
            let _ = caller.reply.send(super::ControlReply::NotOwner {
                address: address.clone(),
            });
        }
    }

    /// An entry that was believed to own a shard does not: a handoff between
    /// others goes unnoticed here until the rows are read again.
    pub(super) fn owner_doubted(&mut self) {
        let now = self.now();
        let waits = self
            .doubted_at
            .is_some_and(|last| now.saturating_sub(last) < DOUBT_INTERVAL);
        if !waits {
            self.doubted_at = Some(now);
            self.read_shards();
        }
    }

    pub(super) fn read_shards(&mut self) {
        if self.reading_shards {
            self.read_shards_again = true;
            return;
        }
        self.reading_shards = true;
        self.shards_read_at = self.now();
        let store = Rc::clone(&self.store);
        let handle = self.handle.clone();
        actix_rt::spawn(async move {
            let rows = store.read(&rows_under(SHARD_PREFIX)).await.ok();
            let shards = rows.map(|rows| {
                rows.rows
                    .iter()
                    .filter_map(rows::shard_row)
                    .map(|(shard, _)| shard)
                    .collect()
            });
            handle.send(Command::ShardsRead(shards));
        });
    }

    pub(super) fn shards_read(&mut self, rows: Option<Vec<ShardRow>>) {
        self.reading_shards = false;
        self.note_table(rows.is_some());
        if let Some(rows) = rows {
            self.ownership_event(OwnershipEvent::ShardsRead(rows));
        }
        if std::mem::take(&mut self.read_shards_again) {
            self.read_shards();
        }
    }

    fn take_over(&mut self, takeover: Takeover) {
        if let Some((host, _)) = &takeover.silent_host {
            let count = takeover.shards.len() as u64;
            log_event(
                &LogEvent::new(EventKind::OwnerSilent)
                    .host(host)
                    .count(count),
            );
        }
        let write_id = self.committer.take_write_id();
        let entry = &self.settings.entry;
        let incarnation = &self.settings.incarnation;
        let transaction = rows::takeover_transaction(&takeover, &entry.host, incarnation, write_id);
        let store = Rc::clone(&self.store);
        let handle = self.handle.clone();
        actix_rt::spawn(async move {
            let version = match store.transact(&transaction).await {
                Ok(Transacted::Applied(version)) => Some(version),
                // Another entry was first, or nobody knows: the rows tell.
                Ok(Transacted::Conflict(_)) | Err(_) => None,
            };
            handle.send(Command::TakeoverEnded { takeover, version });
        });
    }

    pub(super) fn takeover_ended(&mut self, takeover: &Takeover, version: Option<u64>) {
        let shards = takeover.shards.iter().map(|(shard, ..)| *shard).collect();
        if version.is_none() {
            self.full_read_at = None;
        }
        self.ownership_event(OwnershipEvent::TakeoverEnded { shards, version });
    }

    /// Reads the records of gained shards, and asks the sidecars what they
    /// retain for them. Until the configuration has been read no sidecar is
    /// known, and an answer that only a sidecar has would count as lost: an
    /// entry that takes its shards back right after its start waits for it.
    pub(super) fn load(&mut self, gained: Vec<(Shard, Epoch, bool)>) {
        if !self.knows_configuration {
            self.unloaded.extend(gained);
            return;
        }
        let store = Rc::clone(&self.store);
        let handle = self.handle.clone();
        let traffic = self.traffic.clone();
        let sidecars: Vec<SidecarAddress> = self.sidecar_addresses();
        let mut handed = self.handed.clone();
        actix_rt::spawn(async move {
            let with_records = gained.iter().filter(|(.., is_new)| !is_new);
            let fences: Vec<Fence> = with_records
                .map(|(shard, epoch, _)| Fence {
                    shard: *shard,
                    epoch: *epoch,
                })
                .collect();
            let mut retained =
                retained::ask_all(&traffic, sidecars, fences, RETAINED_TIMEOUT).await;
            let mut loaded = Vec::new();
            for group in gained.chunks(LOADS_AT_ONCE) {
                let reads = group.iter().map(|gained| {
                    let records = handed.remove(&gained.0);
                    load_shard(&store, *gained, records)
                });
                match join_all(reads)
                    .await
                    .into_iter()
                    .collect::<Result<Vec<_>, _>>()
                {
                    Ok(shards) => loaded.extend(shards),
                    Err(_) => {
                        let shards = gained.iter().map(|(shard, ..)| *shard).collect();
                        actix_rt::time::sleep(LOAD_AGAIN_WAIT).await;
                        return handle.send(Command::LoadFailed(shards));
                    }
                }
            }
            for shard in &mut loaded {
                shard.retained = retained.calls.remove(&shard.shard).unwrap_or_default();
                shard.retained_after = retained.started.get(&shard.shard).copied();
            }
            handle.send(Command::ShardsLoaded(loaded));
        });
    }

    pub(super) fn load_failed(&mut self, shards: &[Shard]) {
        self.note_table(false);
        let again: Vec<_> = shards
            .iter()
            .filter(|shard| self.loading.contains_key(shard))
            .filter_map(|shard| Some((*shard, *self.epochs.get(shard)?, false)))
            .collect();
        if !again.is_empty() {
            self.load(again);
        }
    }

    pub(super) fn shards_loaded(&mut self, shards: Vec<LoadedShard>) {
        for loaded in shards {
            if self.epochs.get(&loaded.shard) != Some(&loaded.epoch) {
                continue;
            }
            let shard = loaded.shard;
            self.handed.remove(&shard);
            let retained_count = loaded.retained.len() as u64;
            self.owner_event(Event::ShardGained {
                shard,
                epoch: loaded.epoch,
                programs: loaded.programs,
                turns: loaded.turns,
                retained: loaded.retained,
                retained_after: loaded.retained_after,
            });
            let event = LogEvent::new(EventKind::ShardRecovered).shard(shard);
            log_event(&event.epoch(loaded.epoch).count(retained_count));
            for caller in self.loading.remove(&shard).unwrap_or_default() {
                self.caller(caller.request, caller.reply);
            }
        }
    }

    fn drain(&mut self, shard: Shard, successor: (HostId, Incarnation)) {
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
    ) {
        let event = LogEvent::new(EventKind::ShardHandedOver).shard(shard);
        log_event(&event.epoch(epoch).host(&successor.0));
        let records = self.owner.records(self.now(), shard);
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

    pub(super) fn stop(&mut self, done: tokio::sync::oneshot::Sender<()>) {
        self.stopping = Some(Stopping {
            done: Some(done),
            since: self.now(),
        });
        self.ownership_event(OwnershipEvent::Leaving);
        self.renew();
    }

    /// Keeps passing shards on while the process stops.
    pub(super) fn drive_stop(&mut self) {
        if self.stopping.is_none() {
            return;
        }
        if self.ownership.owned().next().is_some() {
            self.ownership_event(OwnershipEvent::Leaving);
        }
        self.poll_sidecars_with_news();
    }

    /// Tells that nothing is owned any more and nothing is left to tell. The
    /// control state goes on: requests that came here are followed to their new
    /// owners until the last caller has its answer.
    pub(super) fn finish_stop(&mut self) {
        let now = self.now();
        let Some(stopping) = &self.stopping else {
            return;
        };
        if stopping.done.is_none() {
            return;
        }
        let timed_out = now.saturating_sub(stopping.since) > STOP_TIMEOUT;
        if !timed_out && !self.may_stop() {
            return;
        }
        let done = self
            .stopping
            .as_mut()
            .and_then(|stopping| stopping.done.take());
        if let Some(done) = done {
            let _ = done.send(());
        }
    }

    fn may_stop(&self) -> bool {
        let owns_nothing = self.ownership.owned().next().is_none();
        let has_successor = self.ownership.live_peers().any(|peer| !peer.leaving);
        let has_passed_on = owns_nothing || !has_successor;
        has_passed_on && self.pending.is_empty() && self.committer.is_idle() && self.is_settled()
    }

    /// Whether no call runs here and every sidecar knows which answers are
    /// durable.
    fn is_settled(&self) -> bool {
        let runs = self.live.values().any(|live| !live.answer.is_ended());
        let untold = self
            .sidecars
            .values()
            .any(SidecarView::awaits_acknowledgement);
        !runs && !untold
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

async fn load_shard(
    store: &StoreClient,
    (shard, epoch, is_new): (Shard, Epoch, bool),
    handed: Option<(Epoch, ShardRecords)>,
) -> Result<LoadedShard, StoreError> {
    let mut loaded = LoadedShard {
        shard,
        epoch,
        programs: Vec::new(),
        turns: Vec::new(),
        retained: Vec::new(),
        retained_after: None,
    };
    if is_new {
        return Ok(loaded);
    }
    if let Some((_, records)) = handed.filter(|(handed_epoch, _)| *handed_epoch == epoch) {
        loaded.programs = records.programs;
        loaded.turns = records.turns;
        return Ok(loaded);
    }
    let programs = store
        .read(&rows_under(&rows::program_prefix(shard)))
        .await?;
    let turns = store.read(&rows_under(&rows::turn_prefix(shard))).await?;
    loaded.programs = parse_rows(&programs.rows);
    loaded.turns = parse_rows(&turns.rows);
    Ok(loaded)
}

fn parse_rows<T: serde::de::DeserializeOwned>(rows: &[Row]) -> Vec<T> {
    rows.iter()
        .filter_map(|row| rows::from_json(row).ok())
        .collect()
}

/// Calls that sidecars retain, by shard.
#[derive(Debug, Default)]
pub(super) struct RetainedCalls {
    /// By shard.
    pub(super) calls: HashMap<Shard, Vec<rosebend_coordination::owner::RetainedTurn>>,
    /// The highest epoch of a shard at which one of the sidecars started, for
    /// each shard of which all sidecars told what they retain.
    pub(super) started: HashMap<Shard, Epoch>,
}
