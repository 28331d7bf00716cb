//! Ownership of shards: takeovers, loading, handoffs, the stop.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use rosebend_coordination::owner::Event;
use rosebend_coordination::ownership::{OwnershipAction, OwnershipEvent, ShardRow, Takeover};
use rosebend_protocol::peer::Fence;
use rosebend_protocol::table::{SHARD_PREFIX, rows_under};
use rosebend_state::deployment::Row;
use rosebend_state::id::{Epoch, Shard};
use rosebend_state::record::ShardRecords;
use rosebend_transport::event::{Event as LogEvent, EventKind, log_event};
use rosebend_transport::store::{StoreClient, StoreError, Transacted};

use super::sidecars::{SidecarAddress, SidecarView};
use super::state::{Control, Stopping};
use super::{Command, LoadedShard, retained};
use crate::rows;

/// Longest wait for sidecars to tell what they retain for gained shards.
const RETAINED_TIMEOUT: Duration = Duration::from_millis(1500);
/// Wait before gained shards that could not be read are read again.
const LOAD_AGAIN_WAIT: Duration = Duration::from_millis(500);
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
        if let Some((host, _)) = &takeover.expired_host {
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
            // What the last owner sent may have come after the table was read.
            let handed = self.handed.remove(&shard);
            let handed = handed.filter(|(epoch, _)| *epoch == loaded.epoch);
            let under_way = handed.map_or_else(Vec::new, |(_, records)| records.under_way);
            let retained_count = loaded.retained.len() as u64;
            self.owner_event(Event::ShardGained {
                shard,
                epoch: loaded.epoch,
                programs: loaded.programs,
                turns: loaded.turns,
                retained: loaded.retained,
                under_way,
                retained_after: loaded.retained_after,
            });
            let event = LogEvent::new(EventKind::ShardRecovered).shard(shard);
            log_event(&event.epoch(loaded.epoch).count(retained_count));
            for caller in self.loading.remove(&shard).unwrap_or_default() {
                self.caller(caller.request, caller.reply);
            }
        }
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
        let has_told = self.untold_successors == 0;
        let has_passed_on = (owns_nothing && has_told) || !has_successor;
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
