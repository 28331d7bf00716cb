//! Open connections to endpoints that no request uses.

use std::collections::HashMap;
use std::time::Duration;

use rosebend_state::deployment::EndpointIdentity;
use rosebend_transport::connection::Connection;

/// Most idle connections kept to one endpoint. A host has a few requests at an
/// endpoint at once; each connection counts against the endpoint's bound.
const MAX_IDLE: usize = 6;
/// Longest time for which a connection is kept idle, whatever the peer allows.
const MAX_IDLE_TIME: Duration = Duration::from_secs(10);
/// Time before the peer's own limit at which a connection is not used any
/// more: a request that crosses the peer's close may have run.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// How long a connection is kept whose peer tells no limit: it may be below a
/// second.
const UNTOLD_IDLE_TIME: Duration = Duration::from_millis(300);

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Duration,
}

/// Idle connections by the start of an endpoint that they lead to: one that
/// leads to an earlier start leads nowhere.
#[derive(Debug, Default)]
pub struct Pool {
    idle: HashMap<EndpointIdentity, Vec<Idle>>,
}

impl Pool {
    /// Takes a connection on which a request may be sent.
    pub fn take(&mut self, identity: &EndpointIdentity, now: Duration) -> Option<Connection> {
        let idle = self.idle.get_mut(identity)?;
        while let Some(last) = idle.pop() {
            if now < last.until && last.connection.is_clean() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Whether a connection to an endpoint is kept whose time is not up.
    pub fn has_idle(&self, identity: &EndpointIdentity, now: Duration) -> bool {
        let idle = self.idle.get(identity);
        idle.is_some_and(|idle| idle.iter().any(|idle| now < idle.until))
    }

    /// Keeps a connection whose answer was read whole. `keep_alive` is how long
    /// the peer says that it keeps it.
    pub fn put(
        &mut self,
        identity: &EndpointIdentity,
        connection: Connection,
        keep_alive: Option<Duration>,
        now: Duration,
    ) {
        let keep = match keep_alive {
            Some(limit) => limit.saturating_sub(IDLE_MARGIN).min(MAX_IDLE_TIME),
            None => UNTOLD_IDLE_TIME,
        };
        let idle = self.idle.entry(identity.clone()).or_default();
        if keep.is_zero() || idle.len() >= MAX_IDLE {
            return;
        }
        let until = now + keep;
        idle.push(Idle { connection, until });
    }

    /// Closes connections whose time is up or whose endpoint is gone.
    pub fn expire(&mut self, now: Duration, is_listed: impl Fn(&EndpointIdentity) -> bool) {
        for idle in self.idle.values_mut() {
            idle.retain(|idle| now < idle.until);
        }
        self.idle
            .retain(|identity, idle| !idle.is_empty() && is_listed(identity));
    }
}
