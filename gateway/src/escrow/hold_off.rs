//! Hold-off of an owner of slots, and takeover of slots after a death.

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

use super::write_slots;
use crate::gateway::Gateway;
use crate::peers;

/// Table of the hold-off rows.
const TABLE: &str = "escrow";
/// Pause before the hold-off row of the previous process is read again after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Maximum number of concurrent renewals. Several are allowed, so that a late response
/// does not delay the next renewal.
const MAX_PENDING_RENEWALS: usize = 4;
/// Timeout for the write of the end marker of a hold-off. The next request for a grant
/// repeats the write.
const END_TIMEOUT: Duration = Duration::from_millis(300);
/// Resolution of the store's clock.
const STORE_CLOCK_RESOLUTION: Duration = Duration::from_millis(1);

/// Renews the hold-off while the store is available, and ends it when a grant is
/// requested. Nothing is written if the settings disable the hold-off or no route takes
/// grants. Never returns.
pub async fn renew(gateway: &Gateway) {
    let mut renewals = FuturesUnordered::new();
    let mut ticks = tokio::time::interval(RENEWAL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            Some(()) = renewals.next() => continue,
            () = gateway.escrow.grant_requested.notified() => {
                end(gateway).await;
                continue;
            }
        }
        let is_owner = gateway.escrow.slots.borrow().is_owner();
        let has_capacity = renewals.len() < MAX_PENDING_RENEWALS;
        if is_owner && has_capacity && gateway.store.is_reachable() {
            let write = announce(gateway);
            renewals.extend(write.map(|write| renew_once(gateway, write)));
        }
    }
}

async fn renew_once(gateway: &Gateway, write: RowWrite) {
    let transaction = Transaction {
        writes: vec![write],
        ..Transaction::default()
    };
    // This process holds off even if the write fails.
    let _ = gateway.store.transact(&transaction).await;
}

/// Ends the hold-off after a turn has requested a grant, provided that the store is
/// available.
async fn end(gateway: &Gateway) {
    let now = gateway.clock.now();
    let epoch = gateway.escrow.slots.borrow().epoch_to_end(now);
    let Some(epoch) = epoch.filter(|_| gateway.store.is_reachable()) else {
        return;
    };
    let host = &gateway.settings().host;
    let marker = HoldOffRow::marker_key(host, &gateway.escrow.own_process, epoch);
    let marker = Transaction::default().write(RowId::new(TABLE, "", marker), Vec::new());
    let written = tokio::time::timeout(END_TIMEOUT, gateway.store.transact(&marker)).await;
    if matches!(written, Ok(Ok(Transacted::Applied(_)))) {
        gateway.escrow.slots.borrow_mut().end_epoch(epoch);
    }
}

/// Starts or renews the hold-off and returns the write that announces it. The write
/// belongs to the same transaction as the rows of slots that this process claims, so that
/// the process cannot die as an owner that has not announced its hold-off.
pub fn announce(gateway: &Gateway) -> Option<RowWrite> {
    if !is_enabled(gateway) {
        return None;
    }
    // The store's clock is read before the local one, so that the announced hold-off ends
    // no later than the one that this process observes.
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

/// Returns whether this host holds off at all: the settings enable it, and the turns of
/// some route may run on grants or the routes are not known yet.
fn is_enabled(gateway: &Gateway) -> bool {
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

/// Returns the previous process on this host if it died during its hold-off. Repeats the
/// request to the store until it is answered.
async fn clean_predecessor(gateway: &Gateway) -> Option<ProcessId> {
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
        // The store client has logged the failure.
        let Ok(rows) = gateway.store.read(&range).await else {
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        };
        let row = rows.rows.iter().find(|row| row.id == id)?;
        // `asked_at` is the time for which this process had been running when it sent the
        // request. The result is therefore no earlier than its start.
        let started_at = (rows.now? + STORE_CLOCK_RESOLUTION).saturating_sub(asked_at);
        let found = hold_off_at_death(row, started_at)?;
        let marker = HoldOffRow::marker_key(&host, &found.run, found.epoch);
        let has_ended = rows.rows.iter().any(|row| row.id.key == marker);
        log_predecessor(&found.run, if has_ended { "ended" } else { "in-time" });
        return (!has_ended).then_some(found.run);
    }
}

/// Returns the decoded hold-off row if its process died before the end of the hold-off.
fn hold_off_at_death(row: &Row, started_at: Duration) -> Option<HoldOffRow> {
    match HoldOffRow::decode(row.value.as_ref()?) {
        Ok(row) if row.clone().died_within_hold_off(started_at).is_some() => Some(row),
        Ok(row) => {
            log_predecessor(&row.run, "too-late");
            None
        }
        Err(error) => {
            log_event(&Event::new(EventKind::PeerRowUnusable).error(&error));
            None
        }
    }
}

fn log_predecessor(process: &ProcessId, reason: &'static str) {
    let event = Event::new(EventKind::HoldOffFound).reason(reason);
    log_event(&event.holders(process));
}

/// Takes over the slots of the previous process on this host if it died during its
/// hold-off. The takeover happens at once, because this process may be killed soon after
/// its start, and its successor could not determine whether the slots have outstanding
/// grants.
pub async fn inherit(gateway: &Gateway) {
    let Some(process) = clean_predecessor(gateway).await else {
        return;
    };
    gateway
        .escrow
        .slots
        .borrow_mut()
        .set_clean_predecessor(Some(process));
    let (from, to) = SlotId::key_range();
    let range = RowRange {
        table: peers::TABLE.to_owned(),
        partition: String::new(),
        from,
        to: Some(to),
    };
    // Slots that cannot be read now are claimed later, with the other slots that this
    // host should own.
    let Ok(rows) = gateway.store.read(&range).await else {
        return;
    };
    for row in &rows.rows {
        if let Some(slot) = SlotId::from_key(&row.id.key) {
            gateway.escrow.record_row(slot, row);
        }
    }
    let inherited = gateway.escrow.slots.borrow().inheritance_claims();
    if !inherited.is_empty() && write_slots(gateway, inherited).await {
        complete(gateway).await;
    }
}

/// Completes the slots that this process has taken over after a death. The next call
/// repeats what fails.
pub async fn complete(gateway: &Gateway) {
    let incomplete = gateway.escrow.slots.borrow().incomplete();
    for slots in incomplete.chunk_by(|slot, next| slot.partition == next.partition) {
        // The store client has logged the failure.
        let _ = complete_partition(gateway, slots).await;
    }
}

/// Completes slots of one partition. Once a slot's fence is raised, no ledger can count
/// the slot as closed by its previous owner any more, so that the ledgers read afterwards
/// include all that did.
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
        let closed: Vec<ProgramKey> = rows
            .iter()
            .filter_map(|row| closed_program(row, slot))
            .collect();
        let event = Event::new(EventKind::EscrowCompleted).count(closed.len() as u64);
        log_event(&event.holders(&slot.key()));
        let mut held = gateway.escrow.slots.borrow_mut();
        held.complete(slot, fence, &closed);
    }
    Ok(())
}

/// Writes a slot's fence and returns its version, or `None` if another process wrote the
/// fence at the same time.
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

/// Returns the program of a ledger that counts a slot as closed or cannot be decoded.
fn closed_program(row: &Row, slot: &SlotId) -> Option<ProgramKey> {
    let program = program_of_ledger(row)?;
    let ledger = Ledger::decode(row.value.as_ref()?);
    let is_closed = |ledger: Ledger| ledger.closed_at_fences().contains_key(&slot.index);
    ledger.map_or(true, is_closed).then(|| program.to_owned())
}
