//! A cache of recent program history that the hosts of an availability zone share.
//!
//! In each zone, one host caches the history of a program. A host that has made a turn
//! durable sends it to the caching host, and a host that needs a turn which it does not have
//! reads it from there first. This saves a read of the store for nearly every turn that
//! arrives at another host than its predecessor. The turn is read from the store if the
//! caching host does not have it or does not answer in time.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::body::{BoxBody, MessageBody};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use rosebend_coordination::gateway::batchers::{PeerHost, high_cpu_hosts};
use rosebend_coordination::gateway::history::Turn;
use rosebend_coordination::gateway::host_backoff::HostBackoff;
use rosebend_coordination::gateway::ledger::ProcessId;
use rosebend_coordination::gateway::recent_programs::{RecentPrograms, keeper};
use rosebend_protocol::recent::{
    KeepRequest, RecentError, RecentRequest, decode_keep, decode_kept, decode_request, decode_rows,
    encode_keep, encode_kept, encode_request, encode_rows,
};
use rosebend_state::deployment::Row;
use rosebend_transport::clock::whole_ms;
use rosebend_transport::event::{Event, EventKind, log_event};

use crate::gateway::Gateway;
use crate::peer_connections::{PeerConnections, PeerError};

/// Path of requests for a program's history. It has two segments and so differs from the
/// paths of relayed calls to the store, which have one.
pub const ASK_PATH: &str = "/peer/recent";
/// Path of requests to cache history.
pub const KEEP_PATH: &str = "/peer/keep";
/// Timeout for the answer of a caching host, after which the store is read instead.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(20);
/// Timeout for the acknowledgement that history was cached. No request waits for it.
const KEEP_TIMEOUT: Duration = Duration::from_millis(200);

/// Maximum size of the turns that are sent to a caching host in one message. Longer history
/// is read from the store.
const MAX_SENT_BYTES: usize = 1 << 20;

/// The history that this host caches, and the hosts of its availability zone.
#[derive(Debug)]
pub struct RecentHistory {
    own_process: ProcessId,
    hosts: RefCell<Vec<PeerHost<SocketAddr>>>,
    backoff: RefCell<HostBackoff>,
    cache: RefCell<RecentPrograms>,
    connections: PeerConnections,
}

/// A failure to get an answer from a caching host.
#[derive(Debug, thiserror::Error)]
enum CachingHostError {
    #[error(transparent)]
    Peer(#[from] PeerError),
    #[error("malformed answer of the host that caches the history: {0}")]
    Malformed(#[from] RecentError),
    #[error("the host that caches the history did not answer in time")]
    Timeout(#[from] tokio::time::error::Elapsed),
}

impl RecentHistory {
    /// Returns an empty cache that has no list of other hosts yet.
    pub fn new(own_process: ProcessId, connections: PeerConnections) -> Self {
        Self {
            own_process,
            hosts: RefCell::default(),
            backoff: RefCell::default(),
            cache: RefCell::default(),
            connections,
        }
    }

    /// Replaces the list of the availability zone's hosts, which includes this one.
    pub fn set_hosts(&self, hosts: Vec<PeerHost<SocketAddr>>) {
        let hosts = high_cpu_hosts(hosts);
        let is_listed = |address: &SocketAddr| hosts.iter().any(|host| host.address == *address);
        self.connections.retain(is_listed);
        let mut backoff = self.backoff.borrow_mut();
        backoff.retain(|host| hosts.iter().any(|known| known.host == *host));
        self.hosts.replace(hosts);
    }

    /// Returns the host that caches a program, or `None` if the zone has no host with
    /// enough CPU that is not in backoff, or no other host than this one.
    fn caching_host(&self, program: &str, now: Duration) -> Option<PeerHost<SocketAddr>> {
        let hosts = self.hosts.borrow();
        let backoff = self.backoff.borrow();
        let usable = hosts.iter();
        let usable = usable.filter(|host| !backoff.is_backed_off(&host.host, &host.process, now));
        let is_alone = hosts.iter().all(|host| host.process == self.own_process);
        keeper(program, usable).filter(|_| !is_alone).cloned()
    }

    async fn send(
        &self,
        caching_host: &PeerHost<SocketAddr>,
        path: &'static str,
        message: Vec<u8>,
        timeout: Duration,
    ) -> Result<Bytes, CachingHostError> {
        let accepted = Cell::new(false);
        let answer = self
            .connections
            .ask(caching_host.address, path, message, &accepted);
        Ok(tokio::time::timeout(timeout, answer).await??)
    }

    fn record_success(&self, caching_host: &PeerHost<SocketAddr>) {
        self.backoff
            .borrow_mut()
            .record_response(&caching_host.host);
    }

    fn record_failure(
        &self,
        caching_host: &PeerHost<SocketAddr>,
        now: Duration,
        error: &CachingHostError,
    ) {
        let mut backoff = self.backoff.borrow_mut();
        if let Some(wait) = backoff.record_timeout(&caching_host.host, &caching_host.process, now) {
            let event = Event::new(EventKind::HistoryUntold).host(&caching_host.host);
            log_event(&event.wait_ms(whole_ms(wait)).error(error));
        }
    }
}

/// Returns the rows of a program that are cached in the zone. There are none if no host
/// caches the program or the caching host does not answer.
pub async fn rows(gateway: &Gateway, program: &str) -> Vec<Row> {
    let recent = &gateway.recent_history;
    let Some(caching_host) = recent.caching_host(program, gateway.clock.now()) else {
        return Vec::new();
    };
    if caching_host.process == recent.own_process {
        return recent.cache.borrow().rows(program);
    }
    let request = RecentRequest {
        asked_run: caching_host.process.clone(),
        program: program.to_owned(),
    };
    let message = encode_request(&request);
    let answer = recent.send(&caching_host, ASK_PATH, message, ANSWER_TIMEOUT);
    let rows = answer.await.and_then(|answer| Ok(decode_rows(&answer)?));
    match rows {
        Ok(rows) => {
            recent.record_success(&caching_host);
            rows
        }
        Err(error) => {
            recent.record_failure(&caching_host, gateway.clock.now(), &error);
            Vec::new()
        }
    }
}

/// Sends a durable turn to the host that caches its program, without waiting for the
/// answer. If that host lacks the preceding turn, all turns that this one continues from
/// are sent as well, unless they are too large.
pub fn cache_turn(gateway: &Rc<Gateway>, turn: Arc<Turn>) {
    let Some(caching_host) = gateway
        .recent_history
        .caching_host(&turn.program, gateway.clock.now())
    else {
        return;
    };
    if turn.bytes() > MAX_SENT_BYTES {
        return;
    }
    let gateway = Rc::clone(gateway);
    actix_rt::spawn(async move {
        let recent = &gateway.recent_history;
        let single = std::iter::once(&*turn);
        let has_previous = send_turns(&gateway, &caching_host, &turn, single).await;
        let chain_bytes: usize = turn.chain().map(Turn::bytes).sum();
        let has_previous = match has_previous {
            Ok(false) if chain_bytes <= MAX_SENT_BYTES => {
                send_turns(&gateway, &caching_host, &turn, turn.chain()).await
            }
            result => result,
        };
        match has_previous {
            Ok(_) => recent.record_success(&caching_host),
            Err(error) => recent.record_failure(&caching_host, gateway.clock.now(), &error),
        }
    });
}

/// Sends turns of one chain, newest first, to the caching host, and the program's cached
/// ledger with them. Returns whether that host has the turn that the oldest of them
/// continues from.
async fn send_turns(
    gateway: &Gateway,
    caching_host: &PeerHost<SocketAddr>,
    newest: &Turn,
    turns: impl Iterator<Item = &Turn>,
) -> Result<bool, CachingHostError> {
    let recent = &gateway.recent_history;
    let row_bytes = gateway.settings().store.row_bytes / 4 * 3;
    let version = gateway.commits.cached_version(&newest.program);
    let mut previous = String::new();
    let mut rows: Vec<Row> = gateway
        .commits
        .cached_ledger_row(&newest.program)
        .into_iter()
        .collect();
    for turn in turns {
        let previous_turn = turn.previous.as_ref();
        previous =
            previous_turn.map_or_else(String::new, |previous_turn| previous_turn.attempt.clone());
        let writes = turn.rows(row_bytes).into_iter();
        rows.extend(writes.map(|write| Row {
            id: write.row,
            version,
            value: Some(write.value),
        }));
    }
    let request = KeepRequest {
        asked_run: caching_host.process.clone(),
        program: newest.program.clone(),
        previous,
        rows,
    };
    if caching_host.process == recent.own_process {
        return Ok(recent.add_to_cache(request));
    }
    let message = encode_keep(&request);
    let answer = recent
        .send(caching_host, KEEP_PATH, message, KEEP_TIMEOUT)
        .await?;
    Ok(decode_kept(&answer)?)
}

impl RecentHistory {
    /// Adds rows to the cache. Returns whether the cache has the turn that they continue
    /// from.
    fn add_to_cache(&self, request: KeepRequest) -> bool {
        let mut cache = self.cache.borrow_mut();
        cache.add(request.rows);
        request.previous.is_empty() || cache.has_turn(&request.program, &request.previous)
    }
}

/// Answers a gateway that requests a program's history.
pub fn answer(gateway: &Gateway, message: &[u8]) -> Response<BoxBody> {
    match decode_request(message) {
        Ok(request) if request.asked_run == *gateway.commits.process_id() => {
            let cache = gateway.recent_history.cache.borrow();
            respond(encode_rows(&cache.rows(&request.program)))
        }
        // The sender may belong to another deployment.
        Ok(_) => refuse(),
        Err(error) => refuse_malformed(&error),
    }
}

/// Answers a gateway that requests history to be cached.
pub fn answer_keep(gateway: &Gateway, message: &[u8]) -> Response<BoxBody> {
    match decode_keep(message) {
        Ok(request) if request.asked_run == *gateway.commits.process_id() => {
            respond(encode_kept(gateway.recent_history.add_to_cache(request)))
        }
        // The sender may belong to another deployment.
        Ok(_) => refuse(),
        Err(error) => refuse_malformed(&error),
    }
}

fn respond(message: Vec<u8>) -> Response<BoxBody> {
    Response::with_body(StatusCode::OK, Bytes::from(message).boxed())
}

fn refuse() -> Response<BoxBody> {
    Response::with_body(StatusCode::BAD_REQUEST, ().boxed())
}

fn refuse_malformed(error: &RecentError) -> Response<BoxBody> {
    log_event(&Event::new(EventKind::PeerRefused).error(error));
    refuse()
}
