//! History of programs that hosts of an availability zone keep for each other.
//!
//! A host that has made a turn durable tells it to the keeper of its program in the zone, and
//! one that needs a turn which it does not have asks there first. That saves a read of the
//! store for nearly every turn that comes to another host than the one before. The store is
//! asked where the keeper does not know the turn, or says nothing in time.

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

/// Path of questions for a program's history. It lies beside the calls to the store that
/// peers pass on, whose paths have one segment.
pub const ASK_PATH: &str = "/peer/recent";
/// Path of history that is to be kept.
pub const KEEP_PATH: &str = "/peer/keep";
/// How long a keeper may take to answer, before the store is asked instead.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(20);
/// How long it may take to say that it keeps what it was told; nobody waits for that.
const KEEP_TIMEOUT: Duration = Duration::from_millis(200);

/// What this host keeps, and the hosts of its availability zone.
#[derive(Debug)]
pub struct RecentHistory {
    own_run: ProcessId,
    hosts: RefCell<Vec<PeerHost<SocketAddr>>>,
    avoidance: RefCell<HostBackoff>,
    programs: RefCell<RecentPrograms>,
    connections: PeerConnections,
}

/// Why a keeper told nothing.
#[derive(Debug, thiserror::Error)]
enum KeeperError {
    #[error(transparent)]
    Peer(#[from] PeerError),
    #[error("the keeper's answer is none: {0}")]
    Malformed(#[from] RecentError),
    #[error("the keeper did not answer in time")]
    Late(#[from] tokio::time::error::Elapsed),
}

impl RecentHistory {
    /// Nothing kept, and no other host known.
    pub fn new(own_run: ProcessId) -> Self {
        Self {
            own_run,
            hosts: RefCell::default(),
            avoidance: RefCell::default(),
            programs: RefCell::default(),
            connections: PeerConnections::default(),
        }
    }

    /// Takes the hosts of the availability zone, this one among them.
    pub fn set_hosts(&self, hosts: Vec<PeerHost<SocketAddr>>) {
        let hosts = high_cpu_hosts(hosts);
        let is_there = |address: &SocketAddr| hosts.iter().any(|host| host.address == *address);
        self.connections.retain(is_there);
        let mut avoidance = self.avoidance.borrow_mut();
        avoidance.retain(|host| hosts.iter().any(|known| known.host == *host));
        self.hosts.replace(hosts);
    }

    /// Who keeps a program, unless no host is known or this one is alone.
    fn keeper(&self, program: &str, now: Duration) -> Option<PeerHost<SocketAddr>> {
        let hosts = self.hosts.borrow();
        let avoidance = self.avoidance.borrow();
        let usable = hosts.iter();
        let usable = usable.filter(|host| !avoidance.is_backed_off(&host.host, &host.process, now));
        let is_alone = hosts.iter().all(|host| host.process == self.own_run);
        keeper(program, usable).filter(|_| !is_alone).cloned()
    }

    async fn send(
        &self,
        keeper: &PeerHost<SocketAddr>,
        path: &'static str,
        message: Vec<u8>,
        timeout: Duration,
    ) -> Result<Bytes, KeeperError> {
        let accepted = Cell::new(false);
        let asked = self
            .connections
            .ask(keeper.address, path, message, &accepted);
        Ok(tokio::time::timeout(timeout, asked).await??)
    }

    fn answered(&self, keeper: &PeerHost<SocketAddr>) {
        self.avoidance.borrow_mut().record_response(&keeper.host);
    }

    fn avoid(&self, keeper: &PeerHost<SocketAddr>, now: Duration, error: &KeeperError) {
        let mut avoidance = self.avoidance.borrow_mut();
        if let Some(wait) = avoidance.record_timeout(&keeper.host, &keeper.process, now) {
            let event = Event::new(EventKind::HistoryUntold).host(&keeper.host);
            log_event(&event.wait_ms(whole_ms(wait)).error(error));
        }
    }
}

/// The rows of a program that are kept in the zone; none where nobody tells any.
pub async fn rows(gateway: &Gateway, program: &str) -> Vec<Row> {
    let recent = &gateway.recent_history;
    let Some(keeper) = recent.keeper(program, gateway.clock.now()) else {
        return Vec::new();
    };
    if keeper.process == recent.own_run {
        return recent.programs.borrow().rows(program);
    }
    let request = RecentRequest {
        asked_run: keeper.process.clone(),
        program: program.to_owned(),
    };
    let message = encode_request(&request);
    let answer = recent.send(&keeper, ASK_PATH, message, ANSWER_TIMEOUT);
    let rows = answer.await.and_then(|answer| Ok(decode_rows(&answer)?));
    match rows {
        Ok(rows) => {
            recent.answered(&keeper);
            rows
        }
        Err(error) => {
            recent.avoid(&keeper, gateway.clock.now(), &error);
            Vec::new()
        }
    }
}

/// Has a turn kept that is durable. Nobody waits for it.
pub fn keep(gateway: &Rc<Gateway>, turn: Arc<Turn>) {
    let Some(keeper) = gateway
        .recent_history
        .keeper(&turn.program, gateway.clock.now())
    else {
        return;
    };
    let gateway = Rc::clone(gateway);
    actix_rt::spawn(async move {
        let recent = &gateway.recent_history;
        let alone = std::iter::once(&*turn);
        let is_gapless = keep_at(&gateway, &keeper, &turn, alone).await;
        let is_gapless = match is_gapless {
            Ok(false) => keep_at(&gateway, &keeper, &turn, turn.chain()).await,
            told => told,
        };
        match is_gapless {
            Ok(_) => recent.answered(&keeper),
            Err(error) => recent.avoid(&keeper, gateway.clock.now(), &error),
        }
    });
}

/// Has turns of one chain kept, the newest first. Returns whether the keeper has what they
/// continue from.
async fn keep_at(
    gateway: &Gateway,
    keeper: &PeerHost<SocketAddr>,
    newest: &Turn,
    turns: impl Iterator<Item = &Turn>,
) -> Result<bool, KeeperError> {
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
        let before = turn.previous.as_ref();
        previous = before.map_or_else(String::new, |before| before.attempt.clone());
        let writes = turn.rows(row_bytes).into_iter();
        rows.extend(writes.map(|write| Row {
            id: write.row,
            version,
            value: Some(write.value),
        }));
    }
    let request = KeepRequest {
        asked_run: keeper.process.clone(),
        program: newest.program.clone(),
        previous,
        rows,
    };
    if keeper.process == recent.own_run {
        return Ok(recent.take(request));
    }
    let message = encode_keep(&request);
    let answer = recent
        .send(keeper, KEEP_PATH, message, KEEP_TIMEOUT)
        .await?;
    Ok(decode_kept(&answer)?)
}

impl RecentHistory {
    /// Keeps rows. Returns whether the turn is there from which they go on.
    fn take(&self, request: KeepRequest) -> bool {
        let mut programs = self.programs.borrow_mut();
        programs.add(request.rows);
        request.previous.is_empty() || programs.has_turn(&request.program, &request.previous)
    }
}

/// Answers a gateway that asks for a program's history.
pub fn answer(gateway: &Gateway, message: &[u8]) -> Response<BoxBody> {
    match decode_request(message) {
        Ok(request) if request.asked_run == *gateway.commits.process_id() => {
            let programs = gateway.recent_history.programs.borrow();
            respond(encode_rows(&programs.rows(&request.program)))
        }
        // Its sender may be of another site.
        Ok(_) => refuse(),
        Err(error) => refuse_malformed(&error),
    }
}

/// Answers a gateway that has history kept.
pub fn answer_keep(gateway: &Gateway, message: &[u8]) -> Response<BoxBody> {
    match decode_keep(message) {
        Ok(request) if request.asked_run == *gateway.commits.process_id() => {
            respond(encode_kept(gateway.recent_history.take(request)))
        }
        // Its sender may be of another site.
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
