//! A pool of idle connections to endpoints.

use std::collections::HashMap;
use std::time::Duration;

use rosebend_state::deployment::EndpointIdentity;
use rosebend_transport::connection::Connection;

/// Maximum number of idle connections to one endpoint. A host has a few requests at
/// an endpoint at a time, and each connection counts against the endpoint's limit.
const MAX_IDLE: usize = 6;
/// Maximum time for which a connection is kept idle, even if the peer allows more.
const MAX_IDLE_TIME: Duration = Duration::from_secs(10);
/// Time before the peer's idle limit from which a connection is no longer used. If the
/// peer closes the connection while a request is in flight, the request may have run.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Time for which a connection is kept idle if the peer declares no limit. The actual
/// limit may be less than a second.
const DEFAULT_IDLE_TIME: Duration = Duration::from_millis(300);

/// An idle connection with its expiry.
#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    /// Time from which the connection is no longer used.
    expires_at: Duration,
}

/// The idle connections by the endpoint that they lead to. An endpoint that restarts gets
/// another identity, because connections to its previous process are unusable.
#[derive(Debug, Default)]
pub struct Pool {
    idle: HashMap<EndpointIdentity, Vec<IdleConnection>>,
}

impl Pool {
    /// Removes a usable connection to an endpoint from the pool and returns it.
    pub fn take(&mut self, identity: &EndpointIdentity, now: Duration) -> Option<Connection> {
        let idle = self.idle.get_mut(identity)?;
        while let Some(last) = idle.pop() {
            if now < last.expires_at && last.connection.is_clean() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Returns whether the pool has a connection to an endpoint that has not expired.
    pub fn has_idle(&self, identity: &EndpointIdentity, now: Duration) -> bool {
        let idle = self.idle.get(identity);
        idle.is_some_and(|idle| idle.iter().any(|idle| now < idle.expires_at))
    }

    /// Adds a connection whose last response was read completely. `keep_alive` is the
    /// time for which the peer keeps an idle connection, if it declares one.
    pub fn put(
        &mut self,
        identity: &EndpointIdentity,
        connection: Connection,
        keep_alive: Option<Duration>,
        now: Duration,
    ) {
        let keep = match keep_alive {
            Some(limit) => limit.saturating_sub(IDLE_MARGIN).min(MAX_IDLE_TIME),
            None => DEFAULT_IDLE_TIME,
        };
        let idle = self.idle.entry(identity.clone()).or_default();
        if keep.is_zero() || idle.len() >= MAX_IDLE {
            return;
        }
        let expires_at = now + keep;
        idle.push(IdleConnection {
            connection,
            expires_at,
        });
    }

    /// Closes the connections that have expired or whose endpoint is no longer listed.
    pub fn expire(&mut self, now: Duration, is_listed: impl Fn(&EndpointIdentity) -> bool) {
        for idle in self.idle.values_mut() {
            idle.retain(|idle| now < idle.expires_at);
        }
        self.idle
            .retain(|identity, idle| !idle.is_empty() && is_listed(identity));
    }
}
