//! One way to the store: straight, or by another gateway that passes calls on.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::uri::PathAndQuery;
use http::{HeaderName, HeaderValue, Method, Request, Uri};
use http_body_util::Full;
use rosebend_platform::headers::decode_answer;

use crate::byte_budget::ByteBudget;
use crate::clock::Clock;
use crate::connection::Connection;
use crate::store::StoreError;

/// Most idle connections that are kept. A host's calls seldom overlap by more.
const MAX_IDLE: usize = 4;
/// Largest answer that is read; the store sends at most 1 MB of rows, encoded.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Memory for the answers that are read at the same time.
const MAX_BODIES_BYTES: usize = 8 << 20;
/// How long calls may fail, with none answered, before the way counts as down.
const DOUBT_TIME: Duration = Duration::from_millis(60);
/// How long a call may be open, with no other answered since it was sent,
/// before the way counts as silent. Calls take 6 to 20 ms, and 250 to 500 ms
/// of a slow store, which has several open at once; a host that is cut off
/// hears nothing.
pub const SILENCE_TIME: Duration = Duration::from_millis(350);

/// Header of a call that goes to the store by a peer: the run of a gateway that is to pass
/// it on. Another process may have its address by now, and another store.
pub const ASKED_RUN: HeaderName = HeaderName::from_static("asked-run");

/// What a refusal of a call says something about.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Concern {
    /// The whole store.
    Store,
    /// A partition, which the store may refuse alone.
    Partition(String),
    /// One of both: it is another host's call.
    Unknown,
}

/// A call that may be sent more than once.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// What it is about.
    pub concern: Concern,
    /// Method.
    pub method: Method,
    /// Path and query; what is none can't be sent.
    pub path: PathAndQuery,
    /// Body; empty for reads.
    pub body: Bytes,
}

impl Concern {
    /// A partition; that without a name has the rows by which hosts know what the
    /// store has, and stands for all of it.
    pub fn of(partition: &str) -> Self {
        match partition {
            "" => Self::Store,
            name => Self::Partition(name.to_owned()),
        }
    }
}

impl Outgoing {
    /// A call that reads rows of a partition, or waits for changes of all.
    ///
    /// # Errors
    ///
    /// Fails when the path is none, or longer than one may be.
    pub fn get(path: &str, partition: &str) -> Result<Self, StoreError> {
        let no_path = |_| StoreError::NoAnswer("the call has no path".to_owned());
        Ok(Self {
            concern: Concern::of(partition),
            method: Method::GET,
            path: path.parse().map_err(no_path)?,
            body: Bytes::new(),
        })
    }
}

/// How long after its last answer a way is believed in although it refuses a
/// partition. Hosts call for other partitions, or wait for changes, a few times in
/// that time; where they do not, they ask.
const PARTLY_TRUST: Duration = Duration::from_millis(400);

/// What is known of a way's state.
#[derive(Debug, Default)]
struct Health {
    last_success: Cell<Option<Duration>>,
    /// First failure since the last success.
    failing_since: Cell<Option<Duration>>,
    /// End of the last time without answers.
    recovered_at: Cell<Option<Duration>>,
    /// Since when it has been told to be down.
    told_lost_at: Cell<Option<Duration>>,
    /// When the answer of each open call may first be expected.
    open_calls: RefCell<BTreeMap<u64, Duration>>,
    next_call: Cell<u64>,
}

/// An open call; dropping it closes the call.
#[derive(Debug)]
struct OpenCall<'a> {
    health: &'a Health,
    id: u64,
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        self.health.open_calls.borrow_mut().remove(&self.id);
    }
}

/// How a way's state changed with a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Turn {
    /// It was answered before and is not now.
    Lost,
    /// It is answered again, after this time.
    Regained(Duration),
}

/// Another gateway, which passes calls on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Where it answers its peers.
    pub address: SocketAddr,
    /// Its process's run.
    pub run: String,
}

/// A way to the store.
#[derive(Debug)]
pub struct Way {
    address: SocketAddr,
    /// The gateway's run that is asked; none where the store itself is.
    run: Option<String>,
    clock: Clock,
    idle: RefCell<Vec<Connection>>,
    health: Health,
    bodies: ByteBudget,
}

impl Way {
    /// A way that was not used yet.
    pub fn new(address: SocketAddr, clock: Clock) -> Self {
        Self {
            address,
            run: None,
            clock,
            idle: RefCell::default(),
            health: Health::default(),
            bodies: ByteBudget::new(MAX_BODIES_BYTES),
        }
    }

    /// A way by a gateway that was not used yet.
    pub fn by(peer: &Peer, clock: Clock) -> Self {
        let mut way = Self::new(peer.address, clock);
        way.run = Some(peer.run.clone());
        way
    }

    /// Whether it leads by a peer.
    pub fn is_by(&self, peer: &Peer) -> bool {
        self.address == peer.address && self.run.as_ref() == Some(&peer.run)
    }

    /// A way to the same store by another address, believed in until a call
    /// fails.
    pub fn moved_to(&self, address: SocketAddr) -> Self {
        let way = Self::new(address, self.clock);
        if self.was_ever_answered() {
            way.health.last_success.set(Some(self.clock.now()));
        }
        way
    }

    /// Where it leads.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether calls are answered, as far as the last ones tell.
    pub fn is_up(&self) -> bool {
        self.unreachable_for() < DOUBT_TIME
    }

    /// Whether a call was answered within `span` and none failed since.
    pub fn was_answered_within(&self, span: Duration) -> bool {
        let last = self.health.last_success.get();
        let is_recent = |at| self.clock.now().saturating_sub(at) < span;
        last.is_some_and(is_recent) && self.is_up()
    }

    /// Whether a call was answered so lately that a partition which is refused must
    /// be refused alone.
    pub fn answers_others(&self) -> bool {
        let last = self.health.last_success.get();
        let is_recent = |at| self.clock.now().saturating_sub(at) < PARTLY_TRUST;
        last.is_some_and(is_recent)
    }

    /// Whether any call was answered since a time.
    pub fn has_answered_since(&self, since: Duration) -> bool {
        let last = self.health.last_success.get();
        last.is_some_and(|last| last >= since)
    }

    /// Whether any call was ever answered.
    pub fn was_ever_answered(&self) -> bool {
        self.health.last_success.get().is_some()
    }

    /// For how long no call has been answered; zero while calls are.
    pub fn unreachable_for(&self) -> Duration {
        let now = self.clock.now();
        let failing = self.health.failing_since.get();
        let failing = failing.map_or(Duration::ZERO, |since| now.saturating_sub(since));
        let silent = self.silent_for(now);
        if silent < SILENCE_TIME {
            return failing;
        }
        failing.max(silent)
    }

    /// How long ago the store was last away; none when it never was.
    pub fn away_ago(&self) -> Option<Duration> {
        if self.health.failing_since.get().is_some() {
            return Some(Duration::ZERO);
        }
        let recovered = self.health.recovered_at.get();
        recovered.map(|at| self.clock.now().saturating_sub(at))
    }

    /// How long the oldest open call has been without an answer, unless some
    /// later call was answered.
    fn silent_for(&self, now: Duration) -> Duration {
        let open_calls = self.health.open_calls.borrow();
        let oldest = open_calls.values().min();
        let last_success = self.health.last_success.get().unwrap_or_default();
        let oldest = oldest.filter(|oldest| **oldest > last_success);
        oldest.map_or(Duration::ZERO, |oldest| now.saturating_sub(*oldest))
    }

    fn open_call(&self, wait: Duration) -> OpenCall<'_> {
        let health = &self.health;
        let id = health.next_call.get();
        health.next_call.set(id + 1);
        let expected = self.clock.now() + wait;
        health.open_calls.borrow_mut().insert(id, expected);
        OpenCall { health, id }
    }

    /// One call: status and body. The answer may be held back for `wait`, and
    /// is given up after `timeout` more.
    ///
    /// # Errors
    ///
    /// Says why there is no answer; what was done is not known then.
    pub async fn call(
        &self,
        outgoing: &Outgoing,
        wait: Duration,
        timeout: Duration,
    ) -> Result<(u16, Bytes), String> {
        let _open = self.open_call(wait);
        let answer = tokio::time::timeout(wait + timeout, self.exchange(outgoing)).await;
        answer.unwrap_or_else(|_| Err("it took too long".to_owned()))
    }

    /// One request on a connection that is kept only if all went well: one on
    /// which an answer was lost delivers nothing any more.
    async fn exchange(&self, outgoing: &Outgoing) -> Result<(u16, Bytes), String> {
        let idle = self.take_idle();
        let mut connection = match idle {
            Some(connection) => connection,
            None => {
                let opened = Connection::open(self.address).await;
                opened.map_err(|error| error.to_string())?
            }
        };
        let response = connection.send(self.request(outgoing)).await;
        let response = response.map_err(|error| error.to_string())?;
        let status = response.status().as_u16();
        let closes = decode_answer(response.headers()).closes;
        let body = self
            .bodies
            .read(response.into_body(), MAX_ANSWER_BYTES)
            .await;
        let body = body.map_err(|error| error.to_string())?;
        let mut idle = self.idle.borrow_mut();
        if !closes && idle.len() < MAX_IDLE {
            idle.push(connection);
        }
        Ok((status, body))
    }

    fn request(&self, outgoing: &Outgoing) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(outgoing.body.clone()));
        *request.method_mut() = outgoing.method.clone();
        *request.uri_mut() = Uri::from(outgoing.path.clone());
        let headers = request.headers_mut();
        let json = HeaderValue::from_static("application/json");
        headers.insert(http::header::CONTENT_TYPE, json);
        // An address is digits and punctuation, which a header may hold.
        if let Ok(host) = HeaderValue::from_str(&self.address.to_string()) {
            headers.insert(http::header::HOST, host);
        }
        let run = self.run.as_ref();
        if let Some(run) = run.and_then(|run| HeaderValue::from_str(run).ok()) {
            headers.insert(ASKED_RUN, run);
        }
        request
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(connection) = idle.pop() {
            if connection.is_clean() {
                return Some(connection);
            }
        }
        None
    }

    /// Takes note of a failure.
    pub fn note_failure(&self) -> Option<Turn> {
        // Others of the same age deliver nothing either, most likely.
        self.idle.borrow_mut().clear();
        let failing_since = self.health.failing_since.get();
        let failing_since = failing_since.unwrap_or_else(|| self.clock.now());
        self.health.failing_since.set(Some(failing_since));
        self.turn_down()
    }

    /// Whether the way counts as down since the last look. A single lost answer
    /// does not make it so: told as a loss each, a store that loses answers
    /// would fill the log.
    pub fn turn_down(&self) -> Option<Turn> {
        if self.is_up() || self.health.told_lost_at.get().is_some() {
            return None;
        }
        let now = self.clock.now();
        let down_since = now.saturating_sub(self.unreachable_for());
        self.health.told_lost_at.set(Some(down_since));
        Some(Turn::Lost)
    }

    /// Takes note of an answer to a call begun at `started`. One to a call from
    /// before the first failure, such as a feed that was waiting, does not tell
    /// that the store is back.
    pub fn note_answer(&self, started: Duration) -> Option<Turn> {
        let now = self.clock.now();
        if let Some(since) = self.health.failing_since.get() {
            if started < since {
                return None;
            }
            self.health.failing_since.set(None);
            self.health.recovered_at.set(Some(now));
        }
        self.health.last_success.set(Some(now));
        let lost_at = self.health.told_lost_at.take()?;
        Some(Turn::Regained(now.saturating_sub(lost_at)))
    }
}
