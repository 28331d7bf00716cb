//! Decides whether a new program may start while requests queue at the model
//! engines.
//!
//! Engines serve requests in order of arrival. In a burst, every turn of every
//! program waits in a queue, and after a few turns all programs are late. The
//! programs that were started then keep the engines busy long after the burst. So
//! only as many programs are started as the engines can serve. A turn of a program
//! in progress is never refused here, because it has already consumed engine time
//! and its caller has waited for it. The least urgent programs are refused first,
//! and the refused share grows with the queue wait, so that no class of programs is
//! shut out completely while others are served.
//!
//! A host estimates the queue wait from the time to the first byte of its own turns,
//! relative to the shortest time that it has observed. The estimate covers the
//! endpoints that the host uses, in proportion to their use, and needs no messages
//! between hosts. The load that endpoints report is no substitute, because an engine
//! whose slots are all in use also runs each turn more slowly.

use std::collections::HashMap;
use std::time::Duration;

use rosebend_state::deployment::ServiceName;
use rosebend_util::hash_parts;
use serde::{Deserialize, Serialize};

/// Weight of a new sample. About the last ten samples dominate the estimate, and a
/// host collects that many within a second.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Half-life of the estimated queue wait while there are no new samples. Without
/// the decay, a host that refuses all programs would not notice that the queues are
/// empty.
const WAIT_HALF_LIFE: Duration = Duration::from_millis(500);
/// Relative growth per second of the shortest observed time, so that engines that
/// have become slower are not considered full forever. In an overload of one minute
/// it grows by a third.
const IDLE_GROWTH_PER_S: f64 = 0.005;
/// Queue wait from which on some of the least urgent programs are refused, in
/// milliseconds. It is about the variation of the time to the first byte on engines
/// without queues.
const REFUSAL_START_MS: f64 = 25.0;
/// Queue wait from which on all of the least urgent programs are refused, in
/// milliseconds. Twice that wait in each turn makes an urgent program late.
const REFUSE_ALL_MS: f64 = 75.0;
/// Maximum age of the shortest observed time for a turn to be refused by it. A host that
/// refuses all turns has no new samples and would not notice that the engines have become
/// faster. A host in use collects about ten samples in this time.
const MAX_IDLE_AGE: Duration = Duration::from_secs(1);
/// Minimum retry time after a refusal. A few hundred turns end at the engines of a
/// deployment within it.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Maximum retry time after a refusal. Callers follow it up to a third of their own
/// deadline.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Urgency of a program. The priority of its customer comes first, and the priority
/// of its route breaks ties.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub enum Urgency {
    /// Neither the customer nor the route has the highest priority.
    Normal,
    /// Only the route has the highest priority.
    Route,
    /// Only the customer has the highest priority.
    Customer,
    /// Both the customer and the route have the highest priority.
    Both,
}

impl Urgency {
    /// Returns the urgency for two priorities, of which 0 is the highest. A customer
    /// may have none.
    pub fn new(customer_priority: Option<u32>, route_priority: u32) -> Self {
        match (customer_priority == Some(0), route_priority == 0) {
            (false, false) => Self::Normal,
            (false, true) => Self::Route,
            (true, false) => Self::Customer,
            (true, true) => Self::Both,
        }
    }

    /// Returns the factor by which the queue wait must be longer for such programs
    /// to be refused.
    fn wait_factor(self) -> f64 {
        match self {
            Self::Normal => 1.0,
            Self::Route => 2.0,
            Self::Customer => 3.0,
            Self::Both => 4.0,
        }
    }
}

/// Returns whether a turn with `remaining` time until its deadline cannot receive its
/// first byte in time. Such a turn would only take an engine's slot from turns that can
/// still end in time. A turn is sent if nothing is known about the service.
pub fn cannot_end_in_time(remaining: Duration, shortest_first_byte: Option<Duration>) -> bool {
    shortest_first_byte.is_some_and(|shortest| remaining < shortest)
}

/// Observations of the queues of a service.
#[derive(Clone, Copy, Debug)]
struct QueueEstimate {
    /// Smoothed time to the first byte, in milliseconds.
    first_byte_ms: f64,
    /// Shortest time to the first byte, which approximates the time without queues,
    /// in milliseconds.
    idle_ms: f64,
    updated_at: Duration,
}

/// Queue estimates of one host for all services.
#[derive(Debug, Default)]
pub struct Admission {
    services: HashMap<ServiceName, QueueEstimate>,
}

impl Admission {
    /// Records the time to the first byte of a turn.
    pub fn record_first_byte(&mut self, service: &str, first_byte: Duration, now: Duration) {
        let sample_ms = first_byte.as_secs_f64() * 1_000.0;
        let Some(estimate) = self.services.get_mut(service) else {
            let first_estimate = QueueEstimate {
                first_byte_ms: sample_ms,
                idle_ms: sample_ms,
                updated_at: now,
            };
            self.services.insert(service.to_owned(), first_estimate);
            return;
        };
        let wait_ms = estimate.wait_ms(now);
        let previous_ms = estimate.idle_ms + wait_ms;
        let age = now.saturating_sub(estimate.updated_at);
        let idle_limit_ms = estimate.idle_ms * (1.0 + IDLE_GROWTH_PER_S * age.as_secs_f64());
        estimate.first_byte_ms = previous_ms + (sample_ms - previous_ms) * SAMPLE_WEIGHT;
        estimate.idle_ms = idle_limit_ms.min(estimate.first_byte_ms);
        estimate.updated_at = now;
    }

    /// Returns the estimated time that a turn waits in the queue of an endpoint, in
    /// milliseconds.
    pub fn wait_ms(&self, service: &str, now: Duration) -> f64 {
        let estimate = self.services.get(service);
        estimate.map_or(0.0, |estimate| estimate.wait_ms(now))
    }

    /// Returns the time since the last sample of a service, or `None` without samples.
    pub fn sample_age(&self, service: &str, now: Duration) -> Option<Duration> {
        let estimate = self.services.get(service)?;
        Some(now.saturating_sub(estimate.updated_at))
    }

    /// Returns the shortest time to the first byte of a service that this host observed,
    /// or `None` without a sample of the last second.
    pub fn shortest_first_byte(&self, service: &str, now: Duration) -> Option<Duration> {
        let estimate = self.services.get(service)?;
        let age = self.sample_age(service, now)?;
        let shortest = Duration::from_secs_f64(estimate.idle_ms / 1_000.0);
        (age <= MAX_IDLE_AGE).then_some(shortest)
    }

    /// Decides whether a new program is refused, and returns the time after which
    /// its caller may retry, or none if the program may start. A hash of `attempt`
    /// selects which programs are refused.
    pub fn refusal_delay(
        &self,
        service: &str,
        urgency: Urgency,
        attempt: &str,
        now: Duration,
    ) -> Option<Duration> {
        let wait_ms = self.wait_ms(service, now);
        let excess_ms = wait_ms / urgency.wait_factor() - REFUSAL_START_MS;
        let share = excess_ms / (REFUSE_ALL_MS - REFUSAL_START_MS);
        let hash_slot = hash_parts(&[attempt.as_bytes()]) % 1_024;
        let is_refused = (hash_slot as f64) < share * 1_024.0;
        let retry_after = Duration::from_secs_f64(wait_ms * 2.0 / 1_000.0);
        is_refused.then(|| retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
    }
}

impl QueueEstimate {
    fn wait_ms(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at);
        let half_lives = age.as_secs_f64() / WAIT_HALF_LIFE.as_secs_f64();
        (self.first_byte_ms - self.idle_ms) * 0.5_f64.powf(half_lives)
    }
}
