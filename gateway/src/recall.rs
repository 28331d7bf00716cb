//! Tokens of a program's budget that other hosts hold.
//!
//! A host whose turn a budget does not hold asks those who hold the rest of it: a
//! process that is not there any more keeps nothing, and a turn that has ended is
//! waited for rather than counted.
//! That takes a question of a few milliseconds to each holder, and only a turn that
//! would be refused pays for it.

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

/// Path under which a gateway answers its peers' questions. It lies beside the
/// calls to the store that peers pass on, whose paths have one segment.
pub const PATH: &str = "/peer/holding";
/// How long a holder may take to answer. Peers answer in 2 to 4 ms, a host at a
/// tenth of a core in about 30; one that takes longer is treated as gone, and
/// the caller still has most of its time.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// Largest answer that is read: the attempts of a program's running turns.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// What a holder is asked: whether it still holds what a ledger says.
#[derive(Deserialize, Serialize)]
struct Question {
    program: ProgramKey,
    holder: ProcessId,
    /// Turns that have a reservation.
    turns: Vec<AttemptId>,
}

/// What a holder says.
#[derive(Deserialize, Serialize)]
struct Statement {
    /// The process that answers.
    holder: ProcessId,
    /// Those of the turns that still run.
    running: Vec<AttemptId>,
}

/// What became of a holding.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Found {
    /// Its holder is not there any more, or does not answer.
    Gone,
    /// Its holder lives.
    Held {
        /// Whether a turn has ended and is about to be settled.
        is_settling: bool,
    },
}

impl Found {
    const fn word(self) -> &'static str {
        match self {
            Self::Gone => "gone",
            Self::Held { is_settling: true } => "settling",
            Self::Held { is_settling: false } => "in-use",
        }
    }
}

/// What the holders of a program's tokens said.
#[derive(Debug, Default)]
pub struct Recalled {
    /// Holders that are gone, whose tokens a turn may have if it needs them.
    pub gone: Vec<ProcessId>,
    /// Whether a turn that has ended is about to be settled.
    pub is_settling: bool,
    /// Version of the ledger whose holders were asked.
    pub version: RowVersion,
}

/// Asks all who hold tokens of a program, by the ledger as it is known.
///
/// # Errors
///
/// Says that the store, which tells where the holders are, is out of reach.
pub async fn recall(
    gateway: &Gateway,
    program: &ProgramKey,
    trail: &RequestLog,
) -> Result<Recalled, Refusal> {
    let began = gateway.clock.now();
    let holdings = gateway.commits.reservations_by_process(program);
    let version = gateway.commits.cached_version(program);
    let asked = holdings
        .iter()
        .map(|holding| ask(gateway, program, holding));
    let found = try_join_all(asked).await?;
    let mut recalled = Recalled {
        version,
        ..Recalled::default()
    };
    let mut words = Vec::new();
    for (holding, found) in holdings.into_iter().zip(found) {
        words.push(format!("{}:{}", holding.process, found.word()));
        match found {
            Found::Gone => recalled.gone.push(holding.process),
            Found::Held { is_settling } => recalled.is_settling |= is_settling,
        }
    }
    if !words.is_empty() {
        let took = gateway.clock.now().saturating_sub(began);
        let event = Event::new(EventKind::HoldersAsked).holders(&words.join(","));
        trail.add_step(event.elapsed(took));
    }
    Ok(recalled)
}

async fn ask(
    gateway: &Gateway,
    program: &ProgramKey,
    holding: &ProcessReservations,
) -> Result<Found, Refusal> {
    let question = Question {
        program: program.clone(),
        holder: holding.process.clone(),
        turns: holding.turns.clone(),
    };
    if holding.process == *gateway.commits.process_id() {
        return Ok(found(holding, &state(gateway, &question)));
    }
    let Some(address) = address_of(gateway, &holding.process).await? else {
        return Ok(Found::Gone);
    };
    let asking = tokio::time::timeout(ANSWER_TIMEOUT, send(address, &question));
    let statement = match asking.await {
        Ok(Ok(statement)) => Some(statement),
        Ok(Err(error)) => {
            log_event(&unanswered(&holding.process).error(&error));
            None
        }
        Err(error) => {
            log_event(&unanswered(&holding.process).error(&error));
            None
        }
    };
    let statement = statement.filter(|statement| statement.holder == holding.process);
    Ok(statement.map_or(Found::Gone, |statement| found(holding, &statement)))
}

/// Where a holder answers. Only the store tells that a run is not there any more.
async fn address_of(gateway: &Gateway, holder: &ProcessId) -> Result<Option<SocketAddr>, Refusal> {
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

fn unanswered(holder: &ProcessId) -> Event {
    Event::new(EventKind::HolderSilent).holders(holder)
}

/// What a statement says of a holding.
fn found(holding: &ProcessReservations, statement: &Statement) -> Found {
    Found::Held {
        is_settling: holding.turns.len() > statement.running.len(),
    }
}

/// Why a holder's statement is not known.
#[derive(Debug, thiserror::Error)]
enum AskError {
    #[error("no connection to the holder: {0}")]
    Connection(#[from] ConnectionError),
    #[error("the holder's answer broke off")]
    Broken,
    #[error("the holder's answer is none: {0}")]
    Malformed(#[from] serde_json::Error),
}

async fn send(address: SocketAddr, question: &Question) -> Result<Statement, AskError> {
    let body = serde_json::to_vec(question)?;
    let request = Request::builder()
        .method(Method::POST)
        .uri(PATH)
        .header(http::header::HOST, address.to_string())
        .body(Full::new(Bytes::from(body)))
        .expect("a path and an address are valid");
    let mut connection = Connection::open(address).await?;
    let response = connection.send(request).await?;
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect();
    let body = body.await.map_err(|_| AskError::Broken)?;
    Ok(serde_json::from_slice(&body.to_bytes())?)
}

/// What this process says of what it holds. What a turn that has ended really
/// spent is written at once.
fn state(gateway: &Gateway, question: &Question) -> Statement {
    let commits = &gateway.commits;
    let turns = question.turns.iter();
    let running = turns.filter(|attempt| commits.is_running(&question.program, attempt));
    let running: Vec<AttemptId> = running.cloned().collect();
    if running.len() < question.turns.len() {
        commits.send_deferred(&question.program);
    }
    Statement {
        holder: commits.process_id().clone(),
        running,
    }
}

/// Answers a peer's question.
pub fn answer(gateway: &Gateway, body: &[u8]) -> Response<BoxBody> {
    let (status, body) = match serde_json::from_slice::<Question>(body) {
        Ok(question) => (
            StatusCode::OK,
            serde_json::to_vec(&state(gateway, &question)),
        ),
        Err(error) => {
            log_event(&Event::new(EventKind::PeerRefused).error(&error));
            (StatusCode::BAD_REQUEST, Ok(Vec::new()))
        }
    };
    let body = body.expect("strings have a JSON form");
    Response::with_body(status, body.boxed())
}
