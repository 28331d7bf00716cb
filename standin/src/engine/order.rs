//! Orders to the engine: what it is told to load or to become.

use serde::{Deserialize, Serialize};

/// An order, as `POST /orders` takes it.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Order {
    /// Id that the sender gave it. The engine does not look at it.
    pub order_id: String,
    /// `load`, `unload`, `role`, or any other word, which does nothing.
    pub kind: String,
    /// A model, an adapter, a version or a role.
    pub target: String,
    /// The sender's fencing number.
    pub fence: u64,
}

/// The page of `GET /orders`.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct OrderList {
    /// Orders that were carried out, in their order, repetitions included.
    pub orders: Vec<Order>,
    /// The highest fence seen.
    pub highest_fence: u64,
    /// Orders refused because of an old fence.
    pub refused: u64,
}

/// The order has a lower fence than one before it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StaleFence {
    /// The highest fence seen.
    pub highest_fence: u64,
}

/// The orders of an engine.
#[derive(Clone, Debug, Default)]
pub struct Orders {
    check_fences: bool,
    list: OrderList,
}

impl Orders {
    /// No orders yet, for an engine that checks fences or ignores them.
    pub fn new(check_fences: bool) -> Self {
        Self {
            check_fences,
            list: OrderList::default(),
        }
    }

    /// Lets an order in.
    ///
    /// # Errors
    ///
    /// Fails for an old fence when the engine checks fences.
    pub fn check(&mut self, order: &Order) -> Result<(), StaleFence> {
        let highest_fence = self.list.highest_fence;
        if self.check_fences && order.fence < highest_fence {
            self.list.refused += 1;
            return Err(StaleFence { highest_fence });
        }
        self.list.highest_fence = highest_fence.max(order.fence);
        Ok(())
    }

    /// Notes that an order was carried out.
    pub fn carried_out(&mut self, order: Order) {
        self.list.orders.push(order);
    }

    /// The orders that were carried out.
    pub fn list(&self) -> &OrderList {
        &self.list
    }
}
