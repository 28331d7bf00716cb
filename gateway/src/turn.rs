//! Turns of programs: streamed answers whose history and spending are kept.
//!
//! What the turn may spend is durable before its first event goes out; that
//! commit runs while the endpoint reads the prompt. The turn's record and what
//! it really spent are durable before the end of the answer goes out.

use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::Response;
use actix_http::body::BoxBody;
use bytes::Bytes;
use futures_util::StreamExt;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use rosebend_coordination::gateway::history::Turn;
use rosebend_coordination::gateway::lane::{Change, NextTurn, Outcome, Source};
use rosebend_platform::headers::{self, AnswerHeader};
use rosebend_protocol::sse::SseReader;
use rosebend_state::deployment::{AttemptId, InstanceId, ProgramHeader, RowId, RowWrite};
use rosebend_transport::event::{Event, EventKind};
use tokio::sync::oneshot;

use crate::call::{self, Call};
use crate::connection::Connection;
use crate::exchange::{Exchange, Exchanged, Warm};
use crate::gateway::{AtEndpoint, Gateway, OpenRequest};
use crate::metrics::Timing;
use crate::plain;
use crate::programs;
use crate::quarantine;
use crate::reply::{self, Refusal};

/// Turns of its size that a program's budget must hold beside a turn for it to
/// be sent before its reservation is durable. Sub-agents spend at other hosts
/// at the same time; a turn that turns out to be too much then has run in vain.
/// With less in hand the turn waits for its reservation, about 13 ms.
const TURNS_IN_HAND: u64 = 3;

/// Largest input of a turn that is kept: it becomes durable in one transaction
/// together with its output, and one holds 1 MB of encoded rows.
const MAX_INPUT_BYTES: usize = 400_000;

/// Tokens of a turn that does not say its most; only a turn without a budget
/// may leave it out.
const UNTOLD_MOST_TOKENS: u64 = 4_096;

/// Answers a turn.
pub async fn answer(gateway: &Rc<Gateway>, call: Call) -> Response<BoxBody> {
    let call = Rc::new(call);
    match run(gateway, &call).await {
        Ok(response) => response,
        Err(refusal) => call::refuse(gateway, &call, refusal),
    }
}

async fn run(gateway: &Rc<Gateway>, call: &Rc<Call>) -> Result<Response<BoxBody>, Refusal> {
    let program = call.header.program.clone();
    let Some(program) = program.filter(|_| call.route.keeps_history) else {
        return run_unrecorded(gateway, call).await;
    };
    if call.body.len() > MAX_INPUT_BYTES {
        return Err(Refusal::BodyTooLarge);
    }
    if !gateway.store.is_reachable() {
        return Err(gateway.store_unreachable());
    }
    let previous = programs::previous_turn(gateway, call, &program).await?;
    let mut spending = Spending::reserve(gateway, call, &program).await?;
    let (prompt, warm) = match &previous {
        Some(turn) => (
            Bytes::from(turn.prompt(&call.body)),
            Some(Warm {
                instance: turn.endpoint.clone(),
                tokens: turn.tokens,
            }),
        ),
        None => (call.body.clone(), None),
    };
    let exchanged = Exchange::new(gateway, call, prompt, warm).next().await?;
    if !is_stream(&exchanged) {
        return pass_failure(gateway, call, exchanged).await;
    }
    // It has run by now: that the budget is spent can't be said any more.
    let granted = spending.granted(call).await;
    granted.map_err(|_| Refusal::OutcomeUnknown)?;
    let record = Record {
        program,
        previous,
        output: Vec::new(),
    };
    stream(gateway, call, exchanged, Some((spending, record))).await
}

/// A streamed request that no program's history contains.
async fn run_unrecorded(
    gateway: &Rc<Gateway>,
    call: &Rc<Call>,
) -> Result<Response<BoxBody>, Refusal> {
    let exchanged = Exchange::new(gateway, call, call.body.clone(), None)
        .next()
        .await?;
    if !is_stream(&exchanged) {
        return pass_failure(gateway, call, exchanged).await;
    }
    stream(gateway, call, exchanged, None).await
}

fn is_stream(exchanged: &Exchanged) -> bool {
    exchanged.response.status().is_success()
}

async fn pass_failure(
    gateway: &Rc<Gateway>,
    call: &Call,
    exchanged: Exchanged,
) -> Result<Response<BoxBody>, Refusal> {
    match plain::read_whole(gateway, call, exchanged).await {
        Ok(reply) => Ok(reply.into_response()),
        Err(_) => Err(Refusal::OutcomeUnknown),
    }
}

/// What a turn may spend, and what it did. Dropping it settles the turn.
#[derive(Debug)]
struct Spending {
    gateway: Rc<Gateway>,
    program: String,
    attempt: AttemptId,
    /// Tokens of one event.
    tokens_per_event: u64,
    /// Events that were handed out, at least in part.
    events: u64,
    source: Source,
    next: NextTurn,
    /// Set until the reservation is known to be durable.
    reserving: Option<oneshot::Receiver<Outcome>>,
    is_settled: bool,
}

impl Spending {
    /// Asks for a turn's most. The answer is awaited before the first event.
    async fn reserve(
        gateway: &Rc<Gateway>,
        call: &Call,
        header: &ProgramHeader,
    ) -> Result<Self, Refusal> {
        let most = call.header.tokens.map(|tokens| tokens.max_output_tokens);
        let most_tokens = most.unwrap_or(UNTOLD_MOST_TOKENS);
        let budget_tokens = header.budget_tokens.unwrap_or(u64::MAX);
        let program = header.program.clone();
        let attempt = call.header.attempt.clone();
        let mut spending = Self {
            gateway: Rc::clone(gateway),
            program: program.clone(),
            attempt: attempt.clone(),
            tokens_per_event: tokens_per_event(gateway, &call.service),
            events: 0,
            source: Source::Ahead,
            next: NextTurn {
                most_tokens,
                budget_tokens,
            },
            reserving: None,
            // Nothing is reserved before one of the two ways below.
            is_settled: true,
        };
        if gateway.commits.take_ahead(&program, &attempt, most_tokens) {
            spending.is_settled = false;
            let event = Event::new(EventKind::SpendingGranted).reason("drawn-ahead");
            call.trail.step(event);
            return Ok(spending);
        }
        if !gateway
            .commits
            .seems_to_hold(&program, most_tokens, budget_tokens)
        {
            // Others may have settled for less since the ledger was read.
            programs::refresh_ledger(gateway, &program).await?;
            if !gateway
                .commits
                .seems_to_hold(&program, most_tokens, budget_tokens)
            {
                return Err(Refusal::BudgetSpent);
            }
        }
        let change = Change::Reserve {
            attempt,
            most_tokens,
            budget_tokens,
        };
        let in_hand = most_tokens.saturating_mul(1 + TURNS_IN_HAND);
        let is_ample = gateway
            .commits
            .seems_to_hold(&program, in_hand, budget_tokens);
        spending.source = Source::Reservation;
        spending.is_settled = false;
        spending.reserving = Some(gateway.commits.submit(program, change));
        if !is_ample {
            spending.granted(call).await?;
        }
        Ok(spending)
    }

    /// Waits until the reservation is durable, and no longer than the caller.
    async fn granted(&mut self, call: &Call) -> Result<(), Refusal> {
        let Some(reserving) = &mut self.reserving else {
            return Ok(());
        };
        let until = self.gateway.clock.instant(call.deadline);
        let outcome = tokio::time::timeout_at(until, reserving).await;
        match outcome {
            Ok(Ok(Outcome::Durable)) => {
                self.reserving = None;
                let event = Event::new(EventKind::SpendingGranted).reason("reservation");
                call.trail
                    .step(event.elapsed(call.elapsed(self.gateway.clock.now())));
                Ok(())
            }
            Ok(Ok(Outcome::Exhausted)) => Err(Refusal::BudgetSpent),
            Ok(Err(_)) | Err(_) => Err(self.gateway.store_unreachable()),
        }
    }

    /// Tokens that were handed out.
    fn tokens(&self) -> u64 {
        self.events * self.tokens_per_event
    }

    fn settle(&mut self, rows: Vec<RowWrite>) -> oneshot::Receiver<Outcome> {
        self.is_settled = true;
        let change = Change::Settle {
            attempt: self.attempt.clone(),
            tokens: self.tokens(),
            source: self.source,
            next: Some(self.next),
            rows,
        };
        self.gateway.commits.submit(self.program.clone(), change)
    }
}

impl Drop for Spending {
    fn drop(&mut self) {
        if self.is_settled {
            return;
        }
        if self.source == Source::Ahead && self.events == 0 {
            self.gateway
                .commits
                .return_ahead(&self.program, &self.attempt);
        } else {
            // Nobody waits for it: a reservation that stays is only too much.
            drop(self.settle(Vec::new()));
        }
    }
}

fn tokens_per_event(gateway: &Gateway, service: &str) -> u64 {
    let routes = gateway.routes();
    let service = routes
        .as_ref()
        .and_then(|routes| routes.deployment().services.get(service));
    let engine = service.and_then(|service| service.engine);
    engine.map_or(1, |engine| engine.tokens_per_event)
}

/// What a turn's record will hold.
#[derive(Debug)]
struct Record {
    program: ProgramHeader,
    previous: Option<Arc<Turn>>,
    /// Data of the events, each with a line feed.
    output: Vec<u8>,
}

/// A stream on its way from an endpoint to a caller. Dropping it closes the
/// endpoint's connection, which stops the work.
struct TurnStream {
    gateway: Rc<Gateway>,
    call: Rc<Call>,
    body: Incoming,
    /// Kept until the body was read whole.
    connection: Option<Connection>,
    header: AnswerHeader,
    at: AtEndpoint,
    status: u16,
    sent: Duration,
    events: SseReader,
    has_begun: bool,
    /// From the request's arrival to its first event.
    first_event: Duration,
    recorded: Option<(Spending, Record)>,
    _open: OpenRequest,
}

/// Passes a stream on, from its first bytes: one that breaks off before them
/// is answered as a failure instead of by a connection that ends.
async fn stream(
    gateway: &Rc<Gateway>,
    call: &Rc<Call>,
    exchanged: Exchanged,
    recorded: Option<(Spending, Record)>,
) -> Result<Response<BoxBody>, Refusal> {
    let (head, body) = exchanged.response.into_parts();
    let mut stream = TurnStream {
        gateway: Rc::clone(gateway),
        call: Rc::clone(call),
        body,
        connection: Some(exchanged.connection),
        header: exchanged.header,
        at: exchanged.at,
        status: head.status.as_u16(),
        sent: exchanged.sent,
        events: SseReader::default(),
        has_begun: false,
        first_event: Duration::ZERO,
        recorded,
        _open: gateway.open_request(),
    };
    let first = stream.next().await.map_err(|error| match error.kind() {
        io::ErrorKind::TimedOut => Refusal::TimeIsUp,
        _ => Refusal::OutcomeUnknown,
    })?;
    let rest = futures_util::stream::unfold(Some(stream), |stream| async move {
        let mut stream = stream?;
        match stream.next().await {
            Ok(Some(bytes)) => Some((Ok(bytes), Some(stream))),
            Ok(None) => None,
            Err(error) => Some((Err(error), None)),
        }
    });
    let pieces = futures_util::stream::iter(first.map(Ok)).chain(rest);
    let status = head.status.as_u16();
    Ok(reply::stream(
        status,
        &headers::for_caller(&head.headers),
        pieces,
    ))
}

impl TurnStream {
    /// The next bytes for the caller; none once the answer is whole and its
    /// turn durable.
    async fn next(&mut self) -> io::Result<Option<Bytes>> {
        let until = self.gateway.clock.instant(self.call.deadline);
        let next = tokio::time::timeout_at(until, self.next_piece()).await;
        let next = next.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        if let Err(error) = &next {
            self.cut(error);
        }
        next
    }

    /// Writes how the answer broke off.
    fn cut(&self, error: &io::Error) {
        self.call
            .trail
            .notable(Event::new(EventKind::AnswerBroken).error(error));
        self.gateway
            .metrics
            .count_request(self.call.route.kind, "cut");
        if self.has_begun {
            let elapsed = self.call.elapsed(self.gateway.clock.now());
            self.call.trail.ended("cut", self.status, elapsed);
        }
    }

    async fn next_piece(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            let Some(frame) = self.body.frame().await else {
                self.finish().await?;
                return Ok(None);
            };
            let frame = frame.map_err(|error| self.broken(&error))?;
            if let Ok(bytes) = frame.into_data()
                && !bytes.is_empty()
            {
                self.pass(&bytes);
                return Ok(Some(bytes));
            }
        }
    }

    /// Takes note of bytes that are about to go out.
    fn pass(&mut self, bytes: &Bytes) {
        if !self.has_begun {
            self.has_begun = true;
            let now = self.gateway.clock.now();
            let latency = now.saturating_sub(self.sent);
            let mut directory = self.gateway.directory.borrow_mut();
            directory.answered(&self.at.instance, Some(latency), now);
            self.first_event = self.call.elapsed(self.gateway.clock.now());
            self.gateway
                .metrics
                .observe(Timing::FirstEvent, self.first_event);
        }
        let events = self.events.push(bytes);
        let Some((spending, record)) = &mut self.recorded else {
            return;
        };
        for event in events {
            spending.events += 1;
            record.output.extend_from_slice(&event.data);
            record.output.push(b'\n');
        }
    }

    /// Makes the turn durable and gives the connection back.
    async fn finish(&mut self) -> io::Result<()> {
        if let Some(connection) = self.connection.take() {
            let instance: &InstanceId = &self.at.instance;
            Exchanged::keep_connection(&self.gateway, instance, connection, &self.header);
        }
        let Some((spending, record)) = self.recorded.take() else {
            self.served();
            return Ok(());
        };
        self.record(spending, record).await?;
        self.served();
        Ok(())
    }

    /// Writes the one line of a turn that ended well, or all of a late one.
    fn served(&self) {
        let elapsed = self.call.elapsed(self.gateway.clock.now());
        let in_time = self.first_event <= self.call.route.objective;
        self.gateway.metrics.observe(Timing::Turn, elapsed);
        self.gateway
            .metrics
            .count_request(self.call.route.kind, "answered");
        let status = self.status;
        self.gateway
            .crashes
            .borrow_mut()
            .clear(self.call.fingerprint);
        self.call
            .trail
            .served(&self.at.instance, status, elapsed, in_time);
    }

    async fn record(&self, mut spending: Spending, record: Record) -> io::Result<()> {
        let ended = self.gateway.clock.now();
        let turn = Arc::new(self.turn(record, spending.tokens()));
        // The limit is one of encoded bytes, of which four stand for three.
        let rows = turn.rows(self.gateway.settings.store.row_bytes / 4 * 3);
        let row_ids: Vec<RowId> = rows.iter().map(|write| write.row.clone()).collect();
        match spending.settle(rows).await {
            Ok(_) => {
                self.keep(&turn.program, row_ids);
                let took = self.gateway.clock.now().saturating_sub(ended);
                self.gateway.metrics.observe(Timing::Record, took);
                let event = Event::new(EventKind::TurnRecorded).tokens(spending.tokens());
                self.call.trail.step(event.elapsed(took));
                self.gateway.history.borrow_mut().insert(turn);
                Ok(())
            }
            Err(_) => Err(io::Error::other("the process stops")),
        }
    }

    /// The turn as it is kept. One that continues from another program's turn
    /// has a copy of all that was said there, so that each program's rows may
    /// be deleted when that program is over.
    fn turn(&self, record: Record, tokens: u64) -> Turn {
        let program = record.program.program;
        let prompt_tokens = self
            .call
            .header
            .tokens
            .map_or(0, |tokens| tokens.prompt_tokens);
        let (previous, input) = match record.previous {
            Some(other) if other.program != program => (None, other.prompt(&self.call.body)),
            previous => (previous, self.call.body.to_vec()),
        };
        Turn {
            attempt: self.call.header.attempt.clone(),
            program,
            previous,
            input,
            output: record.output,
            endpoint: self.at.instance.clone(),
            tokens: prompt_tokens + tokens,
        }
    }

    /// Takes note of the turn's rows, to delete them one day.
    fn keep(&self, program: &str, rows: Vec<RowId>) {
        let version = self.gateway.commits.version(program);
        let retention = self.call.route.retention + self.gateway.settings.retention_margin;
        let now = self.gateway.clock.now();
        self.gateway
            .retention
            .keep(program, rows, retention, version, now);
    }

    fn broken(&self, error: &hyper::Error) -> io::Error {
        let now = self.gateway.clock.now();
        let mut directory = self.gateway.directory.borrow_mut();
        directory.failed(&self.at.instance, now);
        if let Some(address) = directory.address(&self.at.instance) {
            quarantine::examine(&self.gateway, &self.call, &self.at.instance, address);
        }
        io::Error::other(format!("the endpoint's answer broke off: {error}"))
    }
}
