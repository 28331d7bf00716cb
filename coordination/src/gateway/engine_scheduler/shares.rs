//! The engine time that customers use, and the level that separates customers within their
//! share from those above it.

use std::collections::BTreeMap;
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

/// Use of a group's slots by customer.
#[derive(Debug, Default)]
pub(super) struct Shares {
    customers: BTreeMap<CustomerName, CustomerUse>,
    /// The level in slots, and the time of its calculation; infinite while all demand can
    /// be met.
    level: Option<(f64, Duration)>,
}

impl Shares {
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

    /// Returns whether a customer uses more slots than the level.
    pub(super) fn is_above(
        &mut self,
        customer: Option<&CustomerName>,
        slots: u32,
        now: Duration,
    ) -> bool {
        let level = self.level(slots, now);
        let entry = customer.and_then(|customer| self.customers.get(customer));
        entry.is_some_and(|entry| entry.larger_use(now) > level)
    }

    /// Returns the max-min share of the slots among the customers with demand.
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
            .values()
            .filter(|entry| entry.has_demand(now));
        let level = max_min_level(with_demand.map(|entry| entry.demand_slots(now)), slots);
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

/// Returns the largest number of slots that each customer may have so that all together
/// have at most `slots`, or infinity if all demands fit.
fn max_min_level(demands: impl Iterator<Item = f64>, slots: u32) -> f64 {
    let mut demands: Vec<f64> = demands.collect();
    demands.sort_by(f64::total_cmp);
    let mut left = f64::from(slots);
    let count = demands.len();
    for (position, demand) in demands.into_iter().enumerate() {
        let share = left / (count - position) as f64;
        if demand > share {
            return share;
        }
        left -= demand;
    }
    f64::INFINITY
}
