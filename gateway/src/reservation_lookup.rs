//! Lookup of reservations at the gateway processes that hold them.
//!
//! If the budget of a program has no room for a turn, its host asks the processes that
//! hold reservations of the program whether they still need them. The reservations of a
//! dead process may be written off, and a turn that has ended is about to be settled, so
//! that the requesting turn waits instead of being refused. A lookup takes one request of
//! a few milliseconds per holder and is made only for turns that would be refused
//! otherwise.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::body::{BoxBody, MessageBody};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use futures_util::future::try_join_all;
use http::{Method, Request};
use http_body_util::{BodyExt, Full, Limited};
use rosebend_coordination::gateway::ledger::{ProcessId, ProcessReservations};
use rosebend_state::deployment::{AttemptId, ProgramKey, RowVersion};
use rosebend_transport::connection::{Connection, ConnectionError};
use rosebend_transport::event::{Event, EventKind, log_event};
use serde::{Deserialize, Serialize};

use crate::gateway::Gateway;
use crate::peers;
use crate::reply::Refusal;
use crate::request_log::RequestLog;

/// Path of the lookup requests of other gateways. Store calls that are relayed for other
/// gateways use the same listener; their paths have only one segment.
pub const PATH: &str = "/peer/holding";
/// Timeout for a holder's response. Peers respond within 2 to 4 ms, and a host with a
/// tenth of a core within about 30 ms. A holder that takes longer is presumed dead; the
/// caller still has most of its time left.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum size of a response, in bytes. A response lists the attempts of a program's
/// running turns.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// Request for the state of the reservations that a ledger attributes to a process.
#[derive(Deserialize, Serialize)]
struct LookupRequest {
    program: ProgramKey,
    holder: ProcessId,
    /// Turns that have a reservation.
    turns: Vec<AttemptId>,
}

/// Response of a holder.
#[derive(Deserialize, Serialize)]
struct LookupResponse {
    /// Process that responds.
    holder: ProcessId,
    /// Turns of the request that are still running.
    running: Vec<AttemptId>,
}

/// State of a process that holds reservations.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum HolderState {
    /// The process has stopped, was replaced or does not respond.
    Dead,
    /// The process responds.
    Alive {
        /// Whether a turn has ended and is about to be settled.
        is_settling: bool,
    },
}

impl HolderState {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Dead => "gone",
            Self::Alive { is_settling: true } => "settling",
            Self::Alive { is_settling: false } => "in-use",
        }
    }
}

/// Result of a lookup at all holders of a program's reservations.
#[derive(Debug, Default)]
pub struct Lookup {
    /// Holders that are presumed dead. Their reservations may be written off if a turn
    /// does not fit the budget otherwise.
    pub dead_processes: Vec<ProcessId>,
    /// Whether a turn has ended and is about to be settled.
    pub is_settling: bool,
    /// Version of the ledger whose holders were asked.
    pub version: RowVersion,
}

/// Asks all processes that hold reservations of a program according to the cached ledger.
///
/// # Errors
///
/// Returns a refusal if the address of a holder must be read from the store and the store
/// is unreachable.
pub async fn look_up(
    gateway: &Gateway,
    program: &ProgramKey,
    request_log: &RequestLog,
) -> Result<Lookup, Refusal> {
    let started_at = gateway.clock.now();
    let holdings = gateway.commits.reservations_by_process(program);
    let version = gateway.commits.cached_version(program);
    let queries = holdings
        .iter()
        .map(|holding| query_holder(gateway, program, holding));
    let states = try_join_all(queries).await?;
    let mut lookup = Lookup {
        version,
        ..Lookup::default()
    };
    let mut labels = Vec::new();
    for (holding, state) in holdings.into_iter().zip(states) {
        labels.push(format!("{}:{}", holding.process, state.as_str()));
        match state {
            HolderState::Dead => lookup.dead_processes.push(holding.process),
            HolderState::Alive { is_settling } => lookup.is_settling |= is_settling,
        }
    }
    if !labels.is_empty() {
        let elapsed = gateway.clock.now().saturating_sub(started_at);
        let event = Event::new(EventKind::HoldersAsked).holders(&labels.join(","));
        request_log.add_step(event.elapsed(elapsed));
    }
    Ok(lookup)
}

async fn query_holder(
    gateway: &Gateway,
    program: &ProgramKey,
    holding: &ProcessReservations,
) -> Result<HolderState, Refusal> {
    let request = LookupRequest {
        program: program.clone(),
        holder: holding.process.clone(),
        turns: holding.turns.clone(),
    };
    if holding.process == *gateway.commits.process_id() {
        return Ok(state_of(holding, &local_response(gateway, &request)));
    }
    let Some(address) = holder_address(gateway, &holding.process).await? else {
        return Ok(HolderState::Dead);
    };
    let pending_response = tokio::time::timeout(ANSWER_TIMEOUT, send(address, &request));
    let response = match pending_response.await {
        Ok(Ok(response)) => Some(response),
        Ok(Err(error)) => {
            log_event(&unresponsive_event(&holding.process).error(&error));
            None
        }
        Err(error) => {
            log_event(&unresponsive_event(&holding.process).error(&error));
            None
        }
    };
    let response = response.filter(|response| response.holder == holding.process);
    Ok(response.map_or(HolderState::Dead, |response| state_of(holding, &response)))
}

/// Returns the address of a holder, or `None` if the store has no row of this process.
/// Only the store determines that a process has stopped.
async fn holder_address(
    gateway: &Gateway,
    holder: &ProcessId,
) -> Result<Option<SocketAddr>, Refusal> {
    if let Some(address) = gateway.holders.get(holder) {
        return Ok(Some(address));
    }
    let found = peers::find_address(gateway, holder).await;
    let found = found.map_err(|_| gateway.store_unreachable())?;
    if let Some(address) = found {
        gateway.holders.put(holder, address);
    }
    Ok(found)
}

fn unresponsive_event(holder: &ProcessId) -> Event {
    Event::new(EventKind::HolderSilent).holders(holder)
}

/// Returns the state of a holder that has responded.
fn state_of(holding: &ProcessReservations, response: &LookupResponse) -> HolderState {
    HolderState::Alive {
        is_settling: holding.turns.len() > response.running.len(),
    }
}

/// Reason why a holder's response is not available.
#[derive(Debug, thiserror::Error)]
enum LookupError {
    #[error("connection to the holder failed: {0}")]
    Connection(#[from] ConnectionError),
    #[error("the response body of the holder could not be read completely")]
    UnreadableBody,
    #[error("the response of the holder is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
}

async fn send(
    address: SocketAddr,
    lookup_request: &LookupRequest,
) -> Result<LookupResponse, LookupError> {
    let body = serde_json::to_vec(lookup_request)?;
    let request = Request::builder()
        .method(Method::POST)
        .uri(PATH)
        .header(http::header::HOST, address.to_string())
        .body(Full::new(Bytes::from(body)))
        .expect("a path and an address are valid");
    let mut connection = Connection::open(address).await?;
    let response = connection.send(request).await?;
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect();
    let body = body.await.map_err(|_| LookupError::UnreadableBody)?;
    Ok(serde_json::from_slice(&body.to_bytes())?)
}

/// Returns the response of this process. If a requested turn has ended, its settlement is
/// sent at once instead of being deferred.
fn local_response(gateway: &Gateway, request: &LookupRequest) -> LookupResponse {
    let commits = &gateway.commits;
    let turns = request.turns.iter();
    let running = turns.filter(|attempt| commits.is_running(&request.program, attempt));
    let running: Vec<AttemptId> = running.cloned().collect();
    if running.len() < request.turns.len() {
        commits.send_deferred(&request.program);
    }
    LookupResponse {
        holder: commits.process_id().clone(),
        running,
    }
}

/// Handles a lookup request of another gateway.
pub fn answer(gateway: &Gateway, body: &[u8]) -> Response<BoxBody> {
    let (status, body) = match serde_json::from_slice::<LookupRequest>(body) {
        Ok(request) => (
            StatusCode::OK,
            serde_json::to_vec(&local_response(gateway, &request)),
        ),
        Err(error) => {
            log_event(&Event::new(EventKind::PeerRefused).error(&error));
            (StatusCode::BAD_REQUEST, Ok(Vec::new()))
        }
    };
    let body = body.expect("strings have a JSON form");
    Response::with_body(status, body.boxed())
}
