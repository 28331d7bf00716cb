//! Open connections to endpoints that no request uses.

use std::collections::HashMap;
use std::time::Duration;

use rosebend_state::deployment::InstanceId;
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

/// Idle connections by endpoint.
#[derive(Debug, Default)]
pub struct Pool {
    idle: HashMap<InstanceId, Vec<Idle>>,
}

impl Pool {
    /// Takes a connection on which a request may be sent.
    pub fn take(&mut self, instance: &str, now: Duration) -> Option<Connection> {
        let idle = self.idle.get_mut(instance)?;
        while let Some(last) = idle.pop() {
            if now < last.until && last.connection.is_clean() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Whether a connection to an endpoint is kept whose time is not up.
    pub fn has_idle(&self, instance: &str, now: Duration) -> bool {
        let idle = self.idle.get(instance);
        idle.is_some_and(|idle| idle.iter().any(|idle| now < idle.until))
    }

    /// Keeps a connection whose answer was read whole. `keep_alive` is how long
    /// the peer says that it keeps it.
    pub fn put(
        &mut self,
        instance: &str,
        connection: Connection,
        keep_alive: Option<Duration>,
        now: Duration,
    ) {
        let keep = match keep_alive {
            Some(limit) => limit.saturating_sub(IDLE_MARGIN).min(MAX_IDLE_TIME),
            None => UNTOLD_IDLE_TIME,
        };
        let idle = self.idle.entry(instance.to_owned()).or_default();
        if keep.is_zero() || idle.len() >= MAX_IDLE {
            return;
        }
        let until = now + keep;
        idle.push(Idle { connection, until });
    }

    /// Closes connections whose time is up or whose endpoint is gone.
    pub fn expire(&mut self, now: Duration, is_listed: impl Fn(&str) -> bool) {
        for idle in self.idle.values_mut() {
            idle.retain(|idle| now < idle.until);
        }
        self.idle
            .retain(|instance, idle| !idle.is_empty() && is_listed(instance));
    }

    /// Closes the connections to an endpoint.
    pub fn forget(&mut self, instance: &str) {
        self.idle.remove(instance);
    }
}
