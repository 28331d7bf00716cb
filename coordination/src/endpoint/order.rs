//! Orders to the engine: fenced, one at a time, each done once.
//!
//! Some engines refuse an order that carries an old fencing number and others
//! ignore the number, so the order is fenced here. An engine that is still
//! busy with one order is given no second one.

use std::collections::VecDeque;

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
    /// Decides about an order.
    pub fn submit(&mut self, fences: &mut Fences, fence: Fence, id: &OrderId) -> OrderDecision {
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
