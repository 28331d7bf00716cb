//! Giving up this host's escrow slots when its process stops as planned.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use rosebend_coordination::gateway::batchers::PeerHost;
use rosebend_coordination::gateway::escrow::message::{Ask, Reply};
use rosebend_coordination::gateway::escrow::slot::{SlotId, SlotWrite};
use rosebend_coordination::gateway::ledger::ProcessId;
use rosebend_state::deployment::RowId;
use rosebend_transport::event::{Event, EventKind, log_event};

use super::{Escrow, write};
use crate::gateway::Gateway;
use crate::peers;

/// Hosts that are asked at most whether they take a slot over. A process has little time
/// to stop.
const MAX_ASKED: usize = 2;
/// How often rows are written that others changed meanwhile.
const MAX_WRITES: u32 = 3;

/// Gives up this host's slots, by their rows. What was not written is tried again by the
/// next call.
pub async fn release(gateway: &Gateway) {
    let escrow = &gateway.escrow;
    escrow.slots.borrow_mut().stop_acquiring();
    read_accepted(gateway).await;
    let fresh = escrow.give_up().await;
    escrow.unwritten.borrow_mut().extend(fresh);
    for _ in 0..MAX_WRITES {
        let writes = escrow.unwritten.borrow().clone();
        let writes = escrow.slots.borrow().unwritten_releases(writes);
        escrow.unwritten.replace(writes.clone());
        if writes.is_empty() || write(gateway, writes).await {
            escrow.unwritten.take();
            return;
        }
    }
}

/// Takes no slot any more.
pub fn begin(gateway: &Gateway) {
    gateway.escrow.slots.borrow_mut().stop_acquiring();
}

/// For how long this host's slots may not be left with others by messages: the next run on
/// this host would take them for slots from which nothing was granted.
pub fn hand_over_wait(gateway: &Gateway) -> Duration {
    gateway.escrow.held_off_for(gateway.clock.now())
}

/// Leaves this host's slots with others by messages, while the store is unavailable and
/// once this host holds off no more.
pub async fn hand_over(gateway: &Gateway) {
    let escrow = &gateway.escrow;
    escrow.slots.borrow_mut().stop_acquiring();
    let mut writes = escrow.give_up().await;
    // Of those a row may be on its way: they go to whom it names.
    writes.extend(escrow.unwritten.take());
    let complete = writes.into_iter();
    let complete = complete.filter(|write| !write.row.has_unread_closings);
    let hand_overs = complete.filter_map(|write| {
        let successor = write.row.owner?;
        let address = escrow.address_of(&successor)?;
        let ask = Ask::TakeOver {
            accounts: write.row.accounts,
            fence: write.row.fence,
        };
        let slot = write.slot;
        Some(async move { escrow.ask_run(&successor, address, &slot, ask).await })
    });
    let replies = join_all(hand_overs).await;
    let taken = replies.iter().filter(|reply| **reply == Some(Reply::Noted));
    let event = Event::new(EventKind::EscrowReleased).count(taken.count() as u64);
    log_event(&event.reason("peer"));
}

/// Reads the rows of slots that this host said it takes over, whose owner may have named
/// it since.
async fn read_accepted(gateway: &Gateway) {
    let escrow = &gateway.escrow;
    let accepted = escrow.slots.borrow().accepted();
    let reads = accepted.into_iter().map(|slot| async move {
        let id = RowId::new(peers::TABLE, "", slot.key());
        // Without an answer the slot may stay with a run that is gone.
        if let Ok(Some(row)) = gateway.store.read_row(&id).await {
            escrow.take_row(slot, &row);
        }
    });
    join_all(reads).await;
}

impl Escrow {
    /// Finds hosts that take this one's slots over. From then on it grants nothing.
    async fn give_up(&self) -> Vec<SlotWrite> {
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

    /// The first host that says that it takes a slot over. One that has stopped since the
    /// table of hosts was read does not answer.
    async fn successor(&self, slot: &SlotId) -> Option<ProcessId> {
        let mut candidates = self.slots.borrow().successors(slot);
        candidates.truncate(MAX_ASKED);
        for PeerHost {
            process, address, ..
        } in candidates
        {
            if self.ask_run(&process, address, slot, Ask::Accept).await == Some(Reply::Noted) {
                return Some(process);
            }
        }
        None
    }

    fn address_of(&self, run: &ProcessId) -> Option<SocketAddr> {
        let slots = self.slots.borrow();
        let mut peers = slots.peers();
        Some(peers.find(|host| host.process == *run)?.address)
    }
}
