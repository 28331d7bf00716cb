//! The engine time that customers use, and the level that separates customers within their
//! share from those above it.
//!
//! Shares are weighted max-min shares. The weight of a customer is its declared rate limit,
//! so that a customer that has bought more than others is above its share only if it uses
//! more than that in proportion.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use rosebend_state::deployment::CustomerName;

/// Time constant with which the counted engine time decays. It covers about ten turns, so
/// that a few turns at once do not put a customer above its share.
const USE_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Time for which a customer has demand after it asked for the start of a program.
const ASKED_WINDOW: Duration = Duration::from_secs(1);
/// Minimum time between two calculations of the level, which visit each customer. The use
/// of a customer changes by at most 1 % of the slots within this time.
const LEVEL_INTERVAL: Duration = Duration::from_millis(20);
/// Use below which a customer without demand is forgotten, in slots.
const NEGLIGIBLE_SLOTS: f64 = 0.01;

/// Engine time and demand of one customer.
#[derive(Debug, Default)]
struct CustomerUse {
    /// Slots that the customer holds.
    held: u32,
    /// Turns of the customer that wait.
    waiting: u32,
    /// Decaying mean of the slots held, which is the counted engine time divided by
    /// [`USE_TIME_CONSTANT`].
    used_slots: f64,
    counted_at: Duration,
    /// Decaying count of the program starts that were refused in the last second.
    refused_starts: f64,
    refused_at: Duration,
    asked_at: Option<Duration>,
}

impl CustomerUse {
    /// Counts the engine time until now.
    fn count(&mut self, now: Duration) {
        self.used_slots = self.used_slots(now);
        self.counted_at = self.counted_at.max(now);
    }

    fn used_slots(&self, now: Duration) -> f64 {
        let held = f64::from(self.held);
        let age = now.saturating_sub(self.counted_at);
        held + (self.used_slots - held) * decay(age, USE_TIME_CONSTANT)
    }

    fn refused_starts(&self, now: Duration) -> f64 {
        self.refused_starts * decay(now.saturating_sub(self.refused_at), ASKED_WINDOW)
    }

    fn has_demand(&self, now: Duration) -> bool {
        let asked = self.asked_at;
        let has_asked = asked.is_some_and(|asked_at| now < asked_at + ASKED_WINDOW);
        self.held > 0 || self.waiting > 0 || has_asked
    }

    /// Returns the use that is compared with the level, in slots.
    ///
    /// The counted engine time follows a burst of one customer so slowly that the turns of
    /// the others would wait for about a second, so present turns count as well.
    fn larger_use(&self, now: Duration) -> f64 {
        let present = f64::from(self.held);
        self.used_slots(now).max(present)
    }

    /// Returns the number of slots that the customer would use now if all were free.
    fn demand_slots(&self, now: Duration) -> f64 {
        f64::from(self.held + self.waiting) + self.refused_starts(now)
    }
}

fn decay(age: Duration, time_constant: Duration) -> f64 {
    (-age.as_secs_f64() / time_constant.as_secs_f64()).exp()
}

/// Demand of one customer, in slots, and its weight.
#[derive(Clone, Copy, Debug)]
struct Demand {
    slots: f64,
    weight: f64,
}

impl Demand {
    fn per_weight(&self) -> f64 {
        self.slots / self.weight
    }
}

/// Use of a group's slots by customer.
#[derive(Debug, Default)]
pub(super) struct Shares {
    customers: BTreeMap<CustomerName, CustomerUse>,
    /// Weights of the customers that have one; all are positive.
    weights: HashMap<CustomerName, f64>,
    /// Weight of the other customers, which is the mean of `weights`.
    default_weight: Option<f64>,
    /// The level in slots per weight, and the time of its calculation; infinite while all
    /// demand can be met.
    level: Option<(f64, Duration)>,
}

impl Shares {
    /// Replaces the weights of the customers. Weights that are not positive are left out.
    pub(super) fn set_weights(&mut self, weights: HashMap<CustomerName, f64>) {
        self.weights = weights;
        self.weights
            .retain(|_, weight| weight.is_finite() && *weight > 0.0);
        let sum: f64 = self.weights.values().sum();
        let count = self.weights.len();
        self.default_weight = (count > 0).then(|| sum / count as f64);
    }

    fn weight(&self, customer: &str) -> f64 {
        let weight = self.weights.get(customer).copied();
        weight.or(self.default_weight).unwrap_or(1.0)
    }

    /// Counts a slot that a customer got.
    pub(super) fn start_slot(&mut self, customer: Option<&CustomerName>, now: Duration) {
        self.change(customer, now, |entry| entry.held += 1);
    }

    /// Counts a slot that a customer held until now.
    pub(super) fn end_slot(&mut self, customer: Option<&CustomerName>, now: Duration) {
        self.change(customer, now, |entry| {
            entry.held = entry.held.saturating_sub(1);
        });
    }

    /// Counts a turn that waits.
    pub(super) fn start_wait(&mut self, customer: Option<&CustomerName>, now: Duration) {
        self.change(customer, now, |entry| entry.waiting += 1);
    }

    /// Counts a turn that does not wait any more.
    pub(super) fn end_wait(&mut self, customer: Option<&CustomerName>, now: Duration) {
        self.change(customer, now, |entry| {
            entry.waiting = entry.waiting.saturating_sub(1);
        });
    }

    /// Records that a customer asked for the start of a program.
    pub(super) fn record_ask(&mut self, customer: Option<&CustomerName>, now: Duration) {
        self.change(customer, now, |entry| entry.asked_at = Some(now));
    }

    /// Records that the start of a program was refused. It counts as demand for a slot.
    pub(super) fn record_refusal(&mut self, customer: Option<&CustomerName>, now: Duration) {
        self.change(customer, now, |entry| {
            entry.refused_starts = entry.refused_starts(now) + 1.0;
            entry.refused_at = now;
        });
    }

    /// Returns whether a customer uses more slots than the level allows for its weight.
    pub(super) fn is_above(
        &mut self,
        customer: Option<&CustomerName>,
        slots: u32,
        now: Duration,
    ) -> bool {
        let level = self.level(slots, now);
        let Some(customer) = customer else {
            return false;
        };
        let allowed = level * self.weight(customer);
        let entry = self.customers.get(customer);
        entry.is_some_and(|entry| entry.larger_use(now) > allowed)
    }

    /// Returns the weighted max-min share of the slots among the customers with demand, in
    /// slots per weight.
    fn level(&mut self, slots: u32, now: Duration) -> f64 {
        if let Some((level, calculated_at)) = self.level
            && now < calculated_at + LEVEL_INTERVAL
        {
            return level;
        }
        self.customers
            .retain(|_, entry| entry.has_demand(now) || entry.used_slots(now) > NEGLIGIBLE_SLOTS);
        let with_demand = self
            .customers
            .iter()
            .filter(|(_, entry)| entry.has_demand(now));
        let demands = with_demand.map(|(customer, entry)| Demand {
            slots: entry.demand_slots(now),
            weight: self.weight(customer),
        });
        let level = max_min_level(demands.collect(), slots);
        self.level = Some((level, now));
        level
    }

    fn change(
        &mut self,
        customer: Option<&CustomerName>,
        now: Duration,
        change: impl FnOnce(&mut CustomerUse),
    ) {
        let Some(customer) = customer else {
            return;
        };
        if !self.customers.contains_key(customer) {
            let entry = CustomerUse {
                counted_at: now,
                ..CustomerUse::default()
            };
            self.customers.insert(customer.clone(), entry);
        }
        if let Some(entry) = self.customers.get_mut(customer) {
            entry.count(now);
            change(entry);
        }
    }
}

/// Returns the largest number of slots per weight that each customer may have so that all
/// together have at most `slots`, or infinity if all demands fit.
fn max_min_level(mut demands: Vec<Demand>, slots: u32) -> f64 {
    demands.sort_by(|a, b| a.per_weight().total_cmp(&b.per_weight()));
    let mut left = f64::from(slots);
    let mut weight_left: f64 = demands.iter().map(|demand| demand.weight).sum();
    for demand in demands {
        let share = left / weight_left;
        if demand.per_weight() > share {
            return share;
        }
        left -= demand.slots;
        weight_left -= demand.weight;
    }
    f64::INFINITY
}
