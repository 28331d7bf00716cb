//! What a request costs at an endpoint, in milliseconds.

use std::time::Duration;

use rosebend_util::hash_parts;

use super::{Directory, Endpoint, Wish};

/// By how much a request takes longer at an endpoint whose slots are all taken
/// than at an idle one.
const FULL_MS: f64 = 30.0;
/// Time that a turn holds its slot; a request beyond the slots waits for its
/// share of it.
const TURN_HOLD_MS: f64 = 280.0;
/// Time for which a plain request holds its slot before any was measured.
const DEFAULT_HOLD_MS: f64 = 100.0;
/// Cost of each prompt token that an engine has to read. It is more than the time of
/// the reading: all that run there wait meanwhile, and what is read evicts other
/// programs' prompts.
const COLD_TOKEN_MS: f64 = 0.10;
/// Cost of another availability zone. It is more than the round trip: bytes between
/// zones are paid for, and a host that stays in its zone needs connections to fewer
/// endpoints.
const ZONE_MS: f64 = 12.0;
/// Cost of an endpoint that just started and is slow.
const WARMING_UP_MS: f64 = 60.0;
/// Cost of an endpoint whose entry lapsed in an outage.
const LAPSED_MS: f64 = 5_000.0;
/// Cost of an endpoint that is avoided after failures; all may be.
const AVOIDED_MS: f64 = 50_000.0;
/// Cost of an endpoint to which no idle connection is open: the handshake holds a
/// slot, and connections are paid for.
const CONNECT_MS: f64 = 5.0;
/// Cost of a request that fails, times the share of an endpoint's requests that
/// failed lately. A call that fails ends its program, which is worth as much as
/// some seconds of waiting.
const FAILURE_MS: f64 = 1_500.0;
/// Spread by which hosts that know the same are kept from choosing the same.
const JITTER_MS: f64 = 6.0;

impl Directory {
    /// Expected time that a request takes longer at an endpoint than at an
    /// idle one that has all in memory, in milliseconds.
    pub(super) fn cost_ms(
        &self,
        endpoint: &Endpoint,
        wish: Wish<'_>,
        has_connection: bool,
        now: Duration,
    ) -> f64 {
        let load = endpoint.expected_load(now);
        let slots = f64::from(endpoint.record.slots);
        let service_ms = self.service_latency_ms.get(&endpoint.record.service);
        let service_ms = service_ms.copied().unwrap_or(DEFAULT_HOLD_MS);
        let hold_ms = match wish.is_turn {
            true => TURN_HOLD_MS,
            false => service_ms,
        };
        let mut cost_ms = (load / slots).min(1.0) * FULL_MS;
        cost_ms += (load + 1.0 - slots).max(0.0) * hold_ms / slots;
        cost_ms += (self.slowness(endpoint) - 1.0) * service_ms;
        if endpoint.record.availability_zone != self.availability_zone {
            cost_ms += ZONE_MS;
        }
        if !has_connection {
            cost_ms += CONNECT_MS;
        }
        if wish.warm != Some(&endpoint.record.identity) {
            cost_ms += wish.warm_tokens as f64 * COLD_TOKEN_MS;
        }
        cost_ms += endpoint.failure_share(now) * FAILURE_MS;
        if now < endpoint.warm_at {
            cost_ms += WARMING_UP_MS;
        }
        if now < endpoint.avoided_until {
            cost_ms += AVOIDED_MS;
        }
        if endpoint.lapsed_until.is_some() {
            cost_ms += LAPSED_MS;
        }
        let instance = &endpoint.record.identity.instance;
        let hash = hash_parts(&[wish.subject.as_bytes(), instance.as_bytes()]);
        cost_ms + JITTER_MS * (hash % 1_024) as f64 / 1_024.0
    }
}
