//! The estimated cost of a request at an endpoint, in milliseconds.

use std::time::Duration;

use rosebend_util::hash_parts;

use super::{Directory, Endpoint, EndpointQuery};

/// Time by which a request takes longer at an endpoint whose slots are all
/// occupied than at an idle one. Partial occupancy costs a proportional part.
const FULL_SLOTS_MS: f64 = 30.0;
/// Time for which a turn occupies a slot. Each request beyond the number of slots
/// adds this time, divided by the number of slots, to the wait.
const TURN_SLOT_TIME_MS: f64 = 280.0;
/// Time for which a request that is not a turn occupies a slot, used until a
/// latency of its service has been measured.
const DEFAULT_SLOT_TIME_MS: f64 = 100.0;
/// Cost of each prompt token that is not in the engine's cache. It exceeds the time
/// to process the token: the requests that run at the engine wait meanwhile, and the
/// new tokens evict cached prompts of other programs.
const UNCACHED_TOKEN_MS: f64 = 0.10;
/// Cost of an endpoint in another availability zone. It exceeds the round-trip time:
/// traffic between zones is billed, and a gateway that stays in its zone needs
/// connections to fewer endpoints.
const CROSS_ZONE_MS: f64 = 12.0;
/// Cost of an endpoint that is still slow because it started recently.
const WARMING_UP_MS: f64 = 60.0;
/// Cost of an endpoint whose entry expired during an outage of the store.
const LAPSED_MS: f64 = 5_000.0;
/// Cost of an endpoint in backoff after failures. Such endpoints remain selectable,
/// because all endpoints of a service may be in backoff at once.
const BACKOFF_MS: f64 = 50_000.0;
/// Cost of an endpoint to which no idle connection is open: the handshake occupies a
/// slot, and connections are billed.
const CONNECT_MS: f64 = 5.0;
/// Cost of a failed request; it is multiplied by the endpoint's failure rate. A
/// failed call ends its program, and that loss is worth as much as some seconds of
/// waiting.
const FAILURE_MS: f64 = 1_500.0;
/// Largest jitter. It spreads the requests of gateways that have the same
/// information over endpoints of similar cost.
const JITTER_MS: f64 = 6.0;

impl Directory {
    /// Returns the estimated time in milliseconds by which a request takes longer
    /// at an endpoint than at an idle one that has its whole prompt in memory.
    pub(super) fn cost_ms(
        &self,
        endpoint: &Endpoint,
        query: EndpointQuery<'_>,
        has_connection: bool,
        now: Duration,
    ) -> f64 {
        let load = match query.ignores_reported_load && endpoint.work_time.is_some() {
            true => f64::from(endpoint.in_flight),
            false => endpoint.expected_load(now),
        };
        let slots = f64::from(endpoint.record.slots);
        let service_ms = self.service_latency_ms.get(&endpoint.record.service);
        let service_ms = service_ms.copied().unwrap_or(DEFAULT_SLOT_TIME_MS);
        let slot_time_ms = match query.is_turn {
            true => TURN_SLOT_TIME_MS,
            false => service_ms,
        };
        let mut cost_ms = (load / slots).min(1.0) * FULL_SLOTS_MS;
        cost_ms += (load + 1.0 - slots).max(0.0) * slot_time_ms / slots;
        cost_ms += (self.relative_latency(endpoint) - 1.0) * service_ms;
        cost_ms = self.add_placement_costs(cost_ms, endpoint, has_connection);
        if query.warm_endpoint != Some(&endpoint.record.identity) {
            cost_ms += query.warm_tokens as f64 * UNCACHED_TOKEN_MS;
        }
        cost_ms = endpoint.add_condition_costs(cost_ms, now);
        let instance = &endpoint.record.identity.instance;
        let hash = hash_parts(&[query.jitter_key.as_bytes(), instance.as_bytes()]);
        cost_ms + JITTER_MS * (hash % 1_024) as f64 / 1_024.0
    }

    /// Adds the costs of another availability zone and of a new connection.
    pub(super) fn add_placement_costs(
        &self,
        mut cost_ms: f64,
        endpoint: &Endpoint,
        has_connection: bool,
    ) -> f64 {
        if endpoint.record.availability_zone != self.availability_zone {
            cost_ms += CROSS_ZONE_MS;
        }
        if !has_connection {
            cost_ms += CONNECT_MS;
        }
        cost_ms
    }
}

impl Endpoint {
    /// Adds the costs of failures, of a recent start, of a backoff and of an entry that
    /// expired in an outage of the store.
    pub(super) fn add_condition_costs(&self, mut cost_ms: f64, now: Duration) -> f64 {
        cost_ms += self.failure_rate(now) * FAILURE_MS;
        if now < self.warmed_up_at {
            cost_ms += WARMING_UP_MS;
        }
        if now < self.backoff_until {
            cost_ms += BACKOFF_MS;
        }
        if self.lapse_deadline.is_some() {
            cost_ms += LAPSED_MS;
        }
        cost_ms
    }
}
