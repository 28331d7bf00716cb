//! Release of this host's escrow slots during a planned stop.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use rosebend_coordination::gateway::batchers::PeerHost;
use rosebend_coordination::gateway::escrow::message::{Ask, Reply};
use rosebend_coordination::gateway::escrow::slot::{SlotId, SlotWrite};
use rosebend_coordination::gateway::ledger::ProcessId;
use rosebend_state::deployment::RowId;
use rosebend_transport::event::{Event, EventKind, log_event};

use super::{Escrow, write_slots};
use crate::gateway::Gateway;
use crate::peers;

/// Maximum number of hosts that are asked to take over a slot. The time for stopping a
/// process is short.
const MAX_CANDIDATES: usize = 2;
/// Maximum number of attempts to write rows that other processes change at the same time.
const MAX_WRITE_ATTEMPTS: u32 = 3;

/// Releases the slots of this process by writing their rows. The next call repeats writes
/// that were not applied.
pub async fn release(gateway: &Gateway) {
    let escrow = &gateway.escrow;
    escrow.slots.borrow_mut().stop_acquiring();
    read_accepted(gateway).await;
    let released = escrow.release_to_successors().await;
    escrow.unwritten.borrow_mut().extend(released);
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let writes = escrow.unwritten.borrow().clone();
        let writes = escrow.slots.borrow().unwritten_releases(writes);
        escrow.unwritten.replace(writes.clone());
        if writes.is_empty() || write_slots(gateway, writes).await {
            escrow.unwritten.take();
            return;
        }
    }
}

/// Stops this process from claiming or accepting slots.
pub fn stop_acquiring(gateway: &Gateway) {
    gateway.escrow.slots.borrow_mut().stop_acquiring();
}

/// Returns the time for which this process must not hand over its slots by message.
/// During its hold-off, the next process on this host would take over the slots on the
/// assumption that they have no outstanding grants.
pub fn hand_over_delay(gateway: &Gateway) -> Duration {
    gateway.escrow.remaining_hold_off(gateway.clock.now())
}

/// Hands this host's slots over to other hosts by message. The store must be unavailable,
/// and the hold-off of this process must have ended.
pub async fn hand_over(gateway: &Gateway) {
    let escrow = &gateway.escrow;
    escrow.slots.borrow_mut().stop_acquiring();
    let mut writes = escrow.release_to_successors().await;
    // The rows of these slots may already be in transit to the store, so that the slots
    // must go to the owners that the rows name.
    writes.extend(escrow.unwritten.take());
    let transferable = writes.into_iter();
    let transferable = transferable.filter(|write| !write.row.has_unread_closings);
    let hand_overs = transferable.filter_map(|write| {
        let successor = write.row.owner?;
        let address = escrow.address_of(&successor)?;
        let ask = Ask::TakeOver {
            accounts: write.row.accounts,
            fence: write.row.fence,
        };
        let slot = write.slot;
        Some(async move { escrow.ask_process(&successor, address, &slot, ask).await })
    });
    let replies = join_all(hand_overs).await;
    let taken = replies.iter().filter(|reply| **reply == Some(Reply::Noted));
    let event = Event::new(EventKind::EscrowReleased).count(taken.count() as u64);
    log_event(&event.reason("peer"));
}

/// Reads the rows of the slots that this process has agreed to take over. Their owners
/// may have named it as successor since.
async fn read_accepted(gateway: &Gateway) {
    let escrow = &gateway.escrow;
    let accepted = escrow.slots.borrow().accepted();
    let reads = accepted.into_iter().map(|slot| async move {
        let id = RowId::new(peers::TABLE, "", slot.key());
        // If the read fails, the slot may remain assigned to this process after it has
        // stopped.
        if let Ok(Some(row)) = gateway.store.read_row(&id).await {
            escrow.record_row(slot, &row);
        }
    });
    join_all(reads).await;
}

impl Escrow {
    /// Finds successors for the slots of this process and releases the slots. From then
    /// on this process grants nothing. Returns the writes of the rows.
    async fn release_to_successors(&self) -> Vec<SlotWrite> {
        let held: Vec<SlotId> = {
            let slots = self.slots.borrow();
            slots.held().map(|(slot, _)| slot.clone()).collect()
        };
        let successors = join_all(held.iter().map(|slot| self.successor(slot))).await;
        let mut writes = self.slots.borrow_mut().release();
        for write in &mut writes {
            let position = held.iter().position(|slot| *slot == write.slot);
            write.row.owner = position.and_then(|position| successors[position].clone());
        }
        writes
    }

    /// Returns the first host that agrees to take over a slot. A host that has stopped
    /// since the table of hosts was read does not answer.
    async fn successor(&self, slot: &SlotId) -> Option<ProcessId> {
        let mut candidates = self.slots.borrow().successors(slot);
        candidates.truncate(MAX_CANDIDATES);
        for PeerHost {
            process, address, ..
        } in candidates
        {
            if self.ask_process(&process, address, slot, Ask::Accept).await == Some(Reply::Noted) {
                return Some(process);
            }
        }
        None
    }

    fn address_of(&self, process: &ProcessId) -> Option<SocketAddr> {
        let slots = self.slots.borrow();
        let mut peers = slots.peers();
        Some(peers.find(|host| host.process == *process)?.address)
    }
}
