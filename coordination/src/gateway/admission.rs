//! Whether a new program is begun while the model engines have more work than
//! slots.
//!
//! Engines admit in order of arrival, so in a burst every turn of every program
//! waits, and with a few turns each, all programs come late; those that were
//! begun then keep the engines busy long after the burst. What is begun must be
//! what can be carried. A turn of a program under way is never refused here: it
//! has cost most already, and its caller has waited for it. The less urgent
//! programs are refused first, and the more of them the longer the queues are, so
//! that no kind is shut out as long as others are served.
//!
//! A host knows the queues by the time to the first byte of its own turns, against
//! the shortest that it has seen. That is news of the endpoints that it uses, in
//! proportion to their use, and needs no message. What endpoints report of their
//! load is no substitute: a full engine is slower besides.

use std::collections::HashMap;
use std::time::Duration;

use rosebend_state::deployment::ServiceName;
use rosebend_util::hash_parts;

/// Weight of a new answer: about the last ten count, which a host has within a
/// second.
const ANSWER_WEIGHT: f64 = 0.1;
/// Time in which what was heard loses half of its weight when nothing is heard: a
/// host that refuses all must find out that the queues are gone.
const HALF_LIFE: Duration = Duration::from_millis(500);
/// By how much the shortest time grows in a second, so that engines which have
/// become slower are not taken for full for ever. In an overload of a minute it
/// grows by a third.
const IDLE_GROWTH_PER_S: f64 = 0.005;
/// Queue wait from which on some of the less urgent programs are refused: about the
/// noise of first bytes on engines without queues.
const FIRST_REFUSED_MS: f64 = 25.0;
/// Queue wait from which on all of them are. Twice as much, in each turn, makes an
/// urgent program late.
const ALL_REFUSED_MS: f64 = 75.0;
/// Shortest time after which a refused caller may come back, in which a few
/// hundred turns end at the engines of a deployment.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Longest such time: callers follow it for a third of the time that they have.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);

/// How urgent a program is: by its customer first, among customers of the same rank
/// by its route.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Urgency {
    /// Neither its customer nor its route is of the highest rank.
    Usual,
    /// Its route is.
    Route,
    /// Its customer is.
    Customer,
    /// Both are.
    Both,
}

impl Urgency {
    /// The urgency by ranks, of which 0 is the highest; a customer may have none.
    pub fn new(customer_rank: Option<u32>, route_rank: u32) -> Self {
        match (customer_rank == Some(0), route_rank == 0) {
            (false, false) => Self::Usual,
            (false, true) => Self::Route,
            (true, false) => Self::Customer,
            (true, true) => Self::Both,
        }
    }

    /// By how much longer queues must be for such programs to be refused.
    fn factor(self) -> f64 {
        match self {
            Self::Usual => 1.0,
            Self::Route => 2.0,
            Self::Customer => 3.0,
            Self::Both => 4.0,
        }
    }
}

/// What was heard of the queues of a service.
#[derive(Clone, Copy, Debug)]
struct Queues {
    /// Smoothed time to the first byte.
    first_byte_ms: f64,
    /// The shortest that it was, for the time without queues.
    idle_ms: f64,
    heard_at: Duration,
}

/// The queues of all services, as this host estimates them.
#[derive(Debug, Default)]
pub struct Admission {
    services: HashMap<ServiceName, Queues>,
}

impl Admission {
    /// Takes the time to the first byte of a turn.
    pub fn note(&mut self, service: &str, first_byte: Duration, now: Duration) {
        let sample_ms = first_byte.as_secs_f64() * 1_000.0;
        let Some(known) = self.services.get_mut(service) else {
            let queues = Queues {
                first_byte_ms: sample_ms,
                idle_ms: sample_ms,
                heard_at: now,
            };
            self.services.insert(service.to_owned(), queues);
            return;
        };
        let wait_ms = known.wait_ms(now);
        let before_ms = known.idle_ms + wait_ms;
        let age = now.saturating_sub(known.heard_at);
        let grown_ms = known.idle_ms * (1.0 + IDLE_GROWTH_PER_S * age.as_secs_f64());
        known.first_byte_ms = before_ms + (sample_ms - before_ms) * ANSWER_WEIGHT;
        known.idle_ms = grown_ms.min(known.first_byte_ms);
        known.heard_at = now;
    }

    /// How long a turn waits in the queue of an endpoint, in milliseconds.
    pub fn wait_ms(&self, service: &str, now: Duration) -> f64 {
        let known = self.services.get(service);
        known.map_or(0.0, |known| known.wait_ms(now))
    }

    /// When the caller of a new program may come back, if it is not begun now.
    /// `attempt` spreads the choice.
    pub fn refuse(
        &self,
        service: &str,
        urgency: Urgency,
        attempt: &str,
        now: Duration,
    ) -> Option<Duration> {
        let wait_ms = self.wait_ms(service, now);
        let beyond_ms = wait_ms / urgency.factor() - FIRST_REFUSED_MS;
        let share = beyond_ms / (ALL_REFUSED_MS - FIRST_REFUSED_MS);
        let place = hash_parts(&[attempt.as_bytes()]) % 1_024;
        let is_refused = (place as f64) < share * 1_024.0;
        let retry_after = Duration::from_secs_f64(wait_ms * 2.0 / 1_000.0);
        is_refused.then(|| retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
    }
}

impl Queues {
    fn wait_ms(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.heard_at);
        let half_lives = age.as_secs_f64() / HALF_LIFE.as_secs_f64();
        (self.first_byte_ms - self.idle_ms) * 0.5_f64.powf(half_lives)
    }
}
