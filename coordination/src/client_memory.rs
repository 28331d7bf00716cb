//! Admission of clients' connections and of what they send, by the memory that the process
//! holds for them.
//!
//! Memory is charged to a client while its head or body is incomplete, because then the time
//! for which it is held depends on the client. A complete body is held by the process. When
//! memory is short, the client that has held the most bytes for the longest time loses what it
//! has sent, so that requests that arrive quickly are served beside any number of clients that
//! do not end theirs. A client may hold at most as many bytes as remain free beside it, so that
//! large bodies leave room for small ones.

use std::collections::BTreeMap;
use std::time::Duration;

/// Id of a client's connection, unique within a process.
pub type ClientId = u64;

/// Limits of the connections of clients and of the memory that is held for them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClientLimits {
    /// Number of connections.
    pub max_connections: usize,
    /// Bytes of heads and bodies of requests, including the buffers of those that are read.
    pub max_bytes: usize,
}

/// Error of a connection that is refused because all others are in use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
#[error("all connections are in use")]
pub struct TooManyConnections;

/// Error of a reservation that finds no memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
#[error("the memory for requests is in use")]
pub struct OutOfMemory;

/// A connection that was admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmittedClient {
    /// Id of the connection.
    pub client: ClientId,
    /// Connection that is to be closed for it.
    pub closed: Option<ClientId>,
}

/// Action of a client that the process waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaitsFor {
    /// To send a request, or the rest of one.
    Request,
    /// To accept more of an answer.
    Answer,
}

/// The connections of a process, and the memory that is held for them.
#[derive(Debug)]
pub struct ClientMemory {
    limits: ClientLimits,
    /// Sum of the bytes of all clients and of complete bodies. At most `max_bytes`, unless the
    /// limits were lowered.
    held_bytes: usize,
    clients: BTreeMap<ClientId, Client>,
    next_client: ClientId,
}

#[derive(Debug)]
struct Client {
    /// Time since which the process has waited for the client, and for what. None while the
    /// process works on a request.
    waiting: Option<(Duration, WaitsFor)>,
    /// Bytes that are held until the client has sent the rest, included in the sum.
    held_bytes: usize,
    /// Factor of the cost.
    weight: u32,
}

impl Client {
    /// Returns the bytes that are held for the client multiplied by the time, in
    /// milliseconds, for which the process has waited for it, and by its weight.
    fn cost(&self, extra_bytes: usize, now: Duration) -> u128 {
        let Some((since, _)) = self.waiting else {
            return 0;
        };
        // Bytes that have just arrived are not free.
        let waited_ms = now.saturating_sub(since).as_millis() + 1;
        waited_ms * (self.held_bytes + extra_bytes) as u128 * u128::from(self.weight)
    }
}

impl ClientMemory {
    /// Creates the state of a process without connections.
    pub fn new(limits: ClientLimits) -> Self {
        Self {
            limits,
            held_bytes: 0,
            clients: BTreeMap::new(),
            next_client: 1,
        }
    }

    /// Replaces the limits. What is already held is kept.
    pub fn set_limits(&mut self, limits: ClientLimits) {
        self.limits = limits;
    }

    /// Returns the limits.
    pub fn limits(&self) -> ClientLimits {
        self.limits
    }

    /// Returns the number of connections.
    pub fn connections(&self) -> usize {
        self.clients.len()
    }

    /// Returns the bytes that are held.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Admits a connection. If there are too many, the client for which the process has waited
    /// longest is disconnected.
    ///
    /// # Errors
    ///
    /// Fails if the process waits for none of its clients.
    pub fn connect(&mut self, now: Duration) -> Result<AdmittedClient, TooManyConnections> {
        let mut closed = None;
        if self.clients.len() >= self.limits.max_connections {
            let longest = self.longest_waiting(|_| true).ok_or(TooManyConnections)?;
            self.disconnect(longest);
            closed = Some(longest);
        }
        let client = self.next_client;
        self.next_client += 1;
        let state = Client {
            waiting: Some((now, WaitsFor::Request)),
            held_bytes: 0,
            weight: 1,
        };
        self.clients.insert(client, state);
        Ok(AdmittedClient { client, closed })
    }

    /// Disconnects the client that has accepted nothing of its answer for the longest time.
    pub fn disconnect_stalled(&mut self) -> Option<ClientId> {
        let stalled = self.longest_waiting(|waits_for| waits_for == WaitsFor::Answer)?;
        self.disconnect(stalled);
        Some(stalled)
    }

    fn longest_waiting(&self, is_candidate: impl Fn(WaitsFor) -> bool) -> Option<ClientId> {
        let waiting = self.clients.iter().filter_map(|(id, client)| {
            let (since, waits_for) = client.waiting?;
            is_candidate(waits_for).then_some((since, *id))
        });
        waiting.min().map(|(_, id)| id)
    }

    /// Removes a connection and releases what is held for its client. Does nothing if it was
    /// removed before.
    pub fn disconnect(&mut self, client: ClientId) {
        if let Some(client) = self.clients.remove(&client) {
            self.held_bytes -= client.held_bytes;
        }
    }

    /// Records that the process waits for a client from now on.
    pub fn start_waiting(&mut self, client: ClientId, waits_for: WaitsFor, now: Duration) {
        if let Some(client) = self.clients.get_mut(&client) {
            client.waiting = Some((now, waits_for));
        }
    }

    /// Sets how much higher the cost of a client is than that of others which hold as much. The
    /// weight of a connection is 1 at first.
    pub fn set_weight(&mut self, client: ClientId, weight: u32) {
        if let Some(client) = self.clients.get_mut(&client) {
            client.weight = weight;
        }
    }

    /// Records that the process no longer waits for a client.
    pub fn stop_waiting(&mut self, client: ClientId) {
        if let Some(client) = self.clients.get_mut(&client) {
            client.waiting = None;
        }
    }

    /// Reserves bytes for what a client sends. Returns the clients that lose what they have
    /// sent. They remain connected, and hold nothing.
    ///
    /// # Errors
    ///
    /// Fails, and changes nothing, if the client is not connected, or if there is too little
    /// memory although all clients with higher costs lost theirs.
    pub fn reserve(
        &mut self,
        client: ClientId,
        bytes: usize,
        now: Duration,
    ) -> Result<Vec<ClientId>, OutOfMemory> {
        let requester = self.clients.get(&client).ok_or(OutOfMemory)?;
        let own_bytes = requester.held_bytes + bytes;
        let others_bytes = self.held_bytes - requester.held_bytes;
        // As many bytes have to remain free as the client holds.
        let max_others_bytes = self
            .limits
            .max_bytes
            .checked_sub(own_bytes.saturating_mul(2));
        let max_others_bytes = max_others_bytes.ok_or(OutOfMemory)?;
        let own_cost = requester.cost(bytes, now);
        let excess_bytes = others_bytes.saturating_sub(max_others_bytes);
        let evicted = self.costliest(Some(client), own_cost, excess_bytes, now)?;
        self.evict(&evicted);
        self.held_bytes += bytes;
        let requester = self.clients.get_mut(&client).ok_or(OutOfMemory)?;
        requester.held_bytes += bytes;
        Ok(evicted)
    }

    /// Returns the clients with the highest costs that hold this number of bytes together.
    fn costliest(
        &self,
        except: Option<ClientId>,
        min_cost: u128,
        bytes: usize,
        now: Duration,
    ) -> Result<Vec<ClientId>, OutOfMemory> {
        if bytes == 0 {
            return Ok(Vec::new());
        }
        let others = self.clients.iter().filter(|(id, _)| Some(**id) != except);
        let costs = others.map(|(id, client)| (client.cost(0, now), *id, client.held_bytes));
        let mut costs: Vec<_> = costs.filter(|(cost, ..)| *cost > min_cost).collect();
        costs.sort_unstable_by_key(|(cost, id, _)| (std::cmp::Reverse(*cost), *id));
        let mut found_bytes = 0;
        let mut found = Vec::new();
        for (_, id, held_bytes) in costs {
            if found_bytes >= bytes {
                break;
            }
            found_bytes += held_bytes;
            found.push(id);
        }
        match found_bytes >= bytes {
            true => Ok(found),
            false => Err(OutOfMemory),
        }
    }

    fn evict(&mut self, clients: &[ClientId]) {
        for id in clients {
            if let Some(client) = self.clients.get_mut(id) {
                self.held_bytes -= std::mem::take(&mut client.held_bytes);
            }
        }
    }

    /// Releases bytes that were reserved for a client. Releases nothing that the client has
    /// lost.
    pub fn release(&mut self, client: ClientId, bytes: usize) {
        if let Some(client) = self.clients.get_mut(&client) {
            let released = bytes.min(client.held_bytes);
            client.held_bytes -= released;
            self.held_bytes -= released;
        }
    }

    /// Takes bytes of a client's complete body. They are held until [`Self::release_body`] is
    /// called, whether the client is connected or not.
    ///
    /// # Errors
    ///
    /// Fails, and changes nothing, if the client does not hold as many bytes.
    pub fn take_body(&mut self, client: ClientId, bytes: usize) -> Result<(), OutOfMemory> {
        let client = self.clients.get_mut(&client).ok_or(OutOfMemory)?;
        client.held_bytes = client.held_bytes.checked_sub(bytes).ok_or(OutOfMemory)?;
        Ok(())
    }

    /// Reserves bytes that the process needs to serve a request. They are held until
    /// [`Self::release_body`] is called. Returns the clients that lose what they have sent.
    ///
    /// # Errors
    ///
    /// Fails, and changes nothing, if there is too little memory although all clients that the
    /// process waits for lost theirs.
    pub fn reserve_body(
        &mut self,
        bytes: usize,
        now: Duration,
    ) -> Result<Vec<ClientId>, OutOfMemory> {
        let max_others_bytes = self.limits.max_bytes.checked_sub(bytes.saturating_mul(2));
        let max_others_bytes = max_others_bytes.ok_or(OutOfMemory)?;
        let excess_bytes = self.held_bytes.saturating_sub(max_others_bytes);
        let evicted = self.costliest(None, 0, excess_bytes, now)?;
        self.evict(&evicted);
        self.held_bytes += bytes;
        Ok(evicted)
    }

    /// Releases the bytes of a complete body.
    pub fn release_body(&mut self, bytes: usize) {
        self.held_bytes -= bytes;
    }
}
