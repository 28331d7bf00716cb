//! Holding off as an owner of slots, and taking slots over after a death.

use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rosebend_coordination::gateway::escrow::hold_off::{HoldOffRow, RENEWAL_INTERVAL};
use rosebend_coordination::gateway::escrow::slot::SlotId;
use rosebend_coordination::gateway::history::{ledgers_range, program_of_ledger};
use rosebend_coordination::gateway::ledger::{Ledger, ProcessId};
use rosebend_state::deployment::{
    ProgramKey, Row, RowId, RowRange, RowVersion, RowWrite, Transaction,
};
use rosebend_transport::event::{Event, EventKind, log_event};
use rosebend_transport::store::{StoreError, Transacted};
use tokio::time::MissedTickBehavior;

use super::write;
use crate::gateway::Gateway;
use crate::peers;

/// Table of the rows by which owners hold off.
const TABLE: &str = "escrow";
/// Pause before the store is asked again for the last run's hold-off.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Renewals on their way, at most: one whose answer is late holds up no other.
const MAX_RENEWALS: usize = 4;
/// How long the mark that ends a hold-off is waited for. Another question tries it again.
const END_TIMEOUT: Duration = Duration::from_millis(300);
/// Resolution of the store's clock.
const CLOCK_STEP: Duration = Duration::from_millis(1);

/// Holds off as long as the store answers, for ever, where the settings say so. Where no
/// route takes grants nobody needs to know.
pub async fn renew(gateway: &Gateway) {
    let mut renewals = FuturesUnordered::new();
    let mut ticks = tokio::time::interval(RENEWAL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            Some(()) = renewals.next() => continue,
            () = gateway.escrow.grant_wanted.notified() => {
                end(gateway).await;
                continue;
            }
        }
        let is_owner = gateway.escrow.slots.borrow().is_owner();
        let has_room = renewals.len() < MAX_RENEWALS;
        if is_owner && has_room && gateway.store.is_reachable() {
            let write = begin(gateway);
            renewals.extend(write.map(|write| renew_once(gateway, write)));
        }
    }
}

async fn renew_once(gateway: &Gateway, write: RowWrite) {
    let transaction = Transaction {
        writes: vec![write],
        ..Transaction::default()
    };
    // Without an answer this run holds off all the same.
    let _ = gateway.store.transact(&transaction).await;
}

/// Ends the hold-off once a turn wants a grant, as far as the store answers.
async fn end(gateway: &Gateway) {
    let now = gateway.clock.now();
    let epoch = gateway.escrow.slots.borrow().epoch_to_end(now);
    let Some(epoch) = epoch.filter(|_| gateway.store.is_reachable()) else {
        return;
    };
    let host = &gateway.settings().host;
    let mark = HoldOffRow::marker_key(host, &gateway.escrow.own_run, epoch);
    let mark = Transaction::default().write(RowId::new(TABLE, "", mark), Vec::new());
    let written = tokio::time::timeout(END_TIMEOUT, gateway.store.transact(&mark)).await;
    if matches!(written, Ok(Ok(Transacted::Applied(_)))) {
        gateway.escrow.slots.borrow_mut().end_epoch(epoch);
    }
}

/// Holds off from now on, and returns the write that says so. It goes with the rows of
/// slots that this host takes, so that no moment is left in which their owner may die and
/// has not said that it holds off.
pub fn begin(gateway: &Gateway) -> Option<RowWrite> {
    if !holds_off(gateway) {
        return None;
    }
    // In this order: the time of the row must not be later than this host's own.
    let store_now = gateway.store.store_now()?;
    let now = gateway.clock.now();
    let row = gateway
        .escrow
        .slots
        .borrow_mut()
        .renew_hold_off(now, store_now)?;
    Some(RowWrite {
        row: row_id(gateway),
        value: row.encode(),
    })
}

/// Whether this host holds off at all: some route's turns may run by grants, as far as the
/// routes are known.
fn holds_off(gateway: &Gateway) -> bool {
    if !gateway.settings().escrow_holds_off {
        return false;
    }
    let Some(table) = gateway.routes() else {
        return true;
    };
    let mut routes = table.deployment().routes.iter();
    routes.any(|route| route.takes_grants())
}

fn row_id(gateway: &Gateway) -> RowId {
    RowId::new(TABLE, "", HoldOffRow::key(&gateway.settings().host))
}

/// The run before this one on its host, if it died while it held off. Asks the store until
/// it answers.
async fn quiet_run(gateway: &Gateway) -> Option<ProcessId> {
    let id = row_id(gateway);
    let host = gateway.settings().host.clone();
    let (from, to) = HoldOffRow::key_range(&host);
    let range = RowRange {
        table: id.table.clone(),
        partition: id.partition.clone(),
        from,
        to: Some(to),
    };
    loop {
        let asked_at = gateway.clock.now();
        // The client has logged that the store is lost.
        let Ok(rows) = gateway.store.read(&range).await else {
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        };
        let row = rows.rows.iter().find(|row| row.id == id)?;
        // The process began before it asked, by all of its clock.
        let began_at = (rows.now? + CLOCK_STEP).saturating_sub(asked_at);
        let found = died_in_time(row, began_at)?;
        let mark = HoldOffRow::marker_key(&host, &found.run, found.epoch);
        let has_ended = rows.rows.iter().any(|row| row.id.key == mark);
        log_found(&found.run, if has_ended { "ended" } else { "in-time" });
        return (!has_ended).then_some(found.run);
    }
}

/// What the last run said, if it died before the end of its hold-off.
fn died_in_time(row: &Row, began_at: Duration) -> Option<HoldOffRow> {
    match HoldOffRow::decode(row.value.as_ref()?) {
        Ok(row) if row.clone().died_within_hold_off(began_at).is_some() => Some(row),
        Ok(row) => {
            log_found(&row.run, "too-late");
            None
        }
        Err(error) => {
            log_event(&Event::new(EventKind::PeerRowUnusable).error(&error));
            None
        }
    }
}

fn log_found(run: &ProcessId, reason: &'static str) {
    let event = Event::new(EventKind::HoldOffFound).reason(reason);
    log_event(&event.holders(run));
}

/// Takes the slots of the run before this one on its host, if it died while it held off. A
/// process may be killed soon after its start, and the next one knows less.
pub async fn inherit(gateway: &Gateway) {
    let Some(run) = quiet_run(gateway).await else {
        return;
    };
    gateway
        .escrow
        .slots
        .borrow_mut()
        .set_clean_predecessor(Some(run));
    let (from, to) = SlotId::key_range();
    let range = RowRange {
        table: peers::TABLE.to_owned(),
        partition: String::new(),
        from,
        to: Some(to),
    };
    // What fails is taken with the other slots that this host should own.
    let Ok(rows) = gateway.store.read(&range).await else {
        return;
    };
    for row in &rows.rows {
        if let Some(slot) = SlotId::from_key(&row.id.key) {
            gateway.escrow.take_row(slot, row);
        }
    }
    let inherited = gateway.escrow.slots.borrow().inheritance_claims();
    if !inherited.is_empty() && write(gateway, inherited).await {
        complete(gateway).await;
    }
}

/// Completes the slots that this host has taken after a death. What fails is tried again
/// by the next call.
pub async fn complete(gateway: &Gateway) {
    let incomplete = gateway.escrow.slots.borrow().incomplete();
    for slots in incomplete.chunk_by(|slot, next| slot.partition == next.partition) {
        // The client has logged how a call failed.
        let _ = complete_partition(gateway, slots).await;
    }
}

/// Completes slots of one partition. From the fence on no ledger may count a slot as closed
/// by the owner before, so that those which are read are all that did.
async fn complete_partition(gateway: &Gateway, slots: &[SlotId]) -> Result<(), StoreError> {
    let mut fences = Vec::new();
    for slot in slots {
        fences.push(raise_fence(gateway, slot).await?);
    }
    let range = ledgers_range(&slots[0].partition);
    let rows = gateway.store.read(&range).await?.rows;
    for (slot, fence) in slots.iter().zip(fences) {
        let Some(fence) = fence else {
            continue;
        };
        let closed: Vec<ProgramKey> = rows.iter().filter_map(|row| closed(row, slot)).collect();
        let event = Event::new(EventKind::EscrowCompleted).count(closed.len() as u64);
        log_event(&event.holders(&slot.key()));
        let mut held = gateway.escrow.slots.borrow_mut();
        held.complete(slot, fence, &closed);
    }
    Ok(())
}

/// Writes a slot's fence. None when another run wrote it meanwhile.
async fn raise_fence(gateway: &Gateway, slot: &SlotId) -> Result<Option<RowVersion>, StoreError> {
    let row = slot.fence_row();
    let present = gateway.store.read_row(&row).await?;
    let version = present.map_or(0, |row| row.version);
    let transaction = Transaction::default().expect(row.clone(), version);
    let transaction = transaction.write(row, gateway.commits.process_id().clone().into_bytes());
    Ok(match gateway.store.transact(&transaction).await? {
        Transacted::Applied(version) => Some(version),
        Transacted::Conflict(_) => None,
    })
}

/// The program of a ledger that counts a slot as closed, or cannot be read.
fn closed(row: &Row, slot: &SlotId) -> Option<ProgramKey> {
    let program = program_of_ledger(row)?;
    let ledger = Ledger::decode(row.value.as_ref()?);
    let is_closed = |ledger: Ledger| ledger.closed_at_fences().contains_key(&slot.index);
    ledger.map_or(true, is_closed).then(|| program.to_owned())
}
