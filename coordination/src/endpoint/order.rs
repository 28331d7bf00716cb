//! Orders to the engine: fenced, one at a time, each done once.
//!
//! Some engines refuse an order that carries an old fencing number and others
//! ignore the number, so the order is fenced here. This process may have been
//! restarted, and the newest owner may never have spoken to it; so the shard's
//! row in the platform's table is read before each order, and what the row
//! says counts as seen. An engine that is still busy with one order is given
//! no second one, so that an old owner's order, let through just before its
//! shard was taken, has ended before the new owner's first one starts.

use std::collections::VecDeque;

use rosebend_state::id::Epoch;

use super::fence::{Fence, Fences, StaleEpoch};

/// Names an order, given by who sends it.
pub type OrderId = String;

/// Done orders that are remembered, so that a repeated one is not done again.
const MAX_REMEMBERED: usize = 1024;

/// What becomes of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderDecision {
    /// It goes to the engine now.
    Start,
    /// It was done before.
    Done,
    /// Another order is at the engine, or this one is already.
    Busy,
    /// The sender is no longer the owner.
    Stale(StaleEpoch),
}

/// The order at the engine and those done.
#[derive(Clone, Debug, Default)]
pub struct Orders {
    running: Option<OrderId>,
    done: VecDeque<OrderId>,
}

impl Orders {
    /// Decides about an order, given the epoch of the shard's row as it was
    /// read after the order came.
    pub fn submit(
        &mut self,
        fences: &mut Fences,
        row_epoch: Epoch,
        fence: Fence,
        id: &OrderId,
    ) -> OrderDecision {
        let row = Fence {
            epoch: row_epoch,
            ..fence
        };
        // A row that is older than what was seen changes nothing.
        let _ = fences.check(row);
        if let Err(stale) = fences.check(fence) {
            return OrderDecision::Stale(stale);
        }
        if self.done.contains(id) {
            return OrderDecision::Done;
        }
        if self.running.is_some() {
            return OrderDecision::Busy;
        }
        self.running = Some(id.clone());
        OrderDecision::Start
    }

    /// The engine answered the running order; `done` when it did it.
    pub fn answered(&mut self, id: &OrderId, done: bool) {
        if self.running.as_ref() != Some(id) {
            return;
        }
        self.running = None;
        if done {
            self.done.push_back(id.clone());
            if self.done.len() > MAX_REMEMBERED {
                self.done.pop_front();
            }
        }
    }
}
