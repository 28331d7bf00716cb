//! A turn's answer on its way from the endpoint to the caller.

use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::Response;
use actix_http::body::BoxBody;
use bytes::Bytes;
use futures_util::StreamExt;
use rosebend_coordination::gateway::history::Turn;
use rosebend_coordination::gateway::pending_changes::Outcome;
use rosebend_platform::headers;
use rosebend_protocol::sse::{SseEvent, SseReader};
use rosebend_state::deployment::{ProgramHeader, RowId};
use rosebend_transport::event::{Event, EventKind, log_event};

use crate::call::Call;
use crate::exchange::{Exchange, Exchanged};
use crate::gateway::{Gateway, OpenRequest};
use crate::metrics::Timing;
use crate::recent_history;
use crate::reply::{self, Refusal};
use crate::runs::{Piece, Runs};
use crate::spending::Spending;

/// How long a ledger without a record is kept at least after its last turn, where
/// the route says less: a program that pauses must not find its budget anew. The
/// longest programs of the known sites take 16 s, the longest retention is 60 s.
const LEDGER_RETENTION: Duration = Duration::from_secs(60);

/// What a turn's record will hold.
#[derive(Debug)]
pub struct Record {
    /// The program.
    pub program: ProgramHeader,
    /// The turn that it continues from.
    pub previous: Option<Arc<Turn>>,
    /// Data of the events, each with a line feed.
    pub output: Vec<u8>,
}

/// What of a turn lasts.
#[derive(Debug, Default)]
pub struct Kept {
    /// What it spends, where its program has a ledger.
    pub spending: Option<Spending>,
    /// What is said, where the route keeps it; a program with a record has a
    /// ledger, too.
    pub record: Option<Record>,
}

impl Kept {
    fn record(&mut self, event: &SseEvent) {
        if let Some(record) = &mut self.record {
            record.output.extend_from_slice(&event.data);
            record.output.push(b'\n');
        }
    }
}

/// A stream on its way from an endpoint to a caller. Dropping it closes the
/// endpoint's connection, which stops the work.
struct TurnStream {
    gateway: Rc<Gateway>,
    call: Rc<Call>,
    runs: Runs,
    events: SseReader,
    has_begun: bool,
    /// From the request's arrival to its first event.
    first_event: Duration,
    kept: Kept,
    _open: OpenRequest,
}

/// Passes a stream on, from its first bytes: one that breaks off before them
/// is answered as a failure instead of by a connection that ends.
///
/// # Errors
///
/// Says how it failed before its first bytes.
pub async fn pass_on(
    gateway: &Rc<Gateway>,
    call: &Rc<Call>,
    exchange: Exchange,
    exchanged: Exchanged,
    kept: Kept,
) -> Result<Response<BoxBody>, Refusal> {
    let mut stream = TurnStream {
        gateway: Rc::clone(gateway),
        call: Rc::clone(call),
        runs: Runs::new(gateway, call, exchange, exchanged),
        events: SseReader::default(),
        has_begun: false,
        first_event: Duration::ZERO,
        kept,
        _open: gateway.open_request(),
    };
    let first = stream.next().await.map_err(|error| match error.kind() {
        io::ErrorKind::TimedOut => Refusal::TimeIsUp,
        _ => Refusal::OutcomeUnknown,
    })?;
    // That of the run whose events go out first, also if others follow.
    let head = stream.runs.head();
    let status = head.status.as_u16();
    let headers = headers::for_caller(&head.headers);
    let rest = futures_util::stream::unfold(Some(stream), |stream| async move {
        let mut stream = stream?;
        match stream.next().await {
            Ok(Some(bytes)) => Some((Ok(bytes), Some(stream))),
            Ok(None) => None,
            Err(error) => Some((Err(error), None)),
        }
    });
    let pieces = futures_util::stream::iter(first.map(Ok)).chain(rest);
    Ok(reply::stream(status, &headers, pieces))
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
            let status = self.runs.head().status.as_u16();
            self.call.trail.ended("cut", status, elapsed);
        }
    }

    async fn next_piece(&mut self) -> io::Result<Option<Bytes>> {
        while let Some(piece) = self.runs.next().await? {
            let bytes = self.pass(piece);
            if let Some(spending) = &mut self.kept.spending
                && !spending.ensure_grant_covers_events().await
            {
                return Err(io::Error::other("the program's escrow is spent"));
            }
            if !bytes.is_empty() {
                return Ok(Some(bytes));
            }
        }
        self.finish().await?;
        Ok(None)
    }

    /// Takes note of bytes that are about to go out.
    fn pass(&mut self, piece: Piece) -> Bytes {
        // What the caller has from an earlier attempt was counted there; it is
        // part of the turn and not handed out again.
        for event in self.events.push(&piece.repeated) {
            self.kept.record(&event);
        }
        if piece.fresh.is_empty() {
            return piece.fresh;
        }
        if !self.has_begun {
            self.has_begun = true;
            self.first_event = self.call.elapsed(self.gateway.clock.now());
            self.gateway
                .metrics
                .observe(Timing::FirstEvent, self.first_event);
        }
        for event in self.events.push(&piece.fresh) {
            if let Some(spending) = &mut self.kept.spending {
                spending.count_event();
            }
            self.kept.record(&event);
        }
        piece.fresh
    }

    /// Makes the turn durable and gives the connection back.
    async fn finish(&mut self) -> io::Result<()> {
        self.runs.keep_connection();
        let kept = std::mem::take(&mut self.kept);
        match (kept.spending, kept.record) {
            (Some(spending), Some(record)) => self.record(spending, record).await?,
            (Some(mut spending), None) => self.settle(&mut spending),
            (None, _) => {}
        }
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
        let status = self.runs.head().status.as_u16();
        self.gateway
            .crashes
            .borrow_mut()
            .clear(self.call.fingerprint);
        self.call
            .trail
            .served(&self.runs.endpoint().instance, status, elapsed, in_time);
    }

    async fn record(&self, mut spending: Spending, record: Record) -> io::Result<()> {
        let ended = self.gateway.clock.now();
        let turn = Arc::new(self.turn(record, spending.emitted_tokens()));
        // The limit is one of encoded bytes, of which four stand for three.
        let rows = turn.rows(self.gateway.settings().store.row_bytes / 4 * 3);
        let row_ids: Vec<RowId> = rows.iter().map(|write| write.row.clone()).collect();
        match spending.settle(rows).await {
            Ok(Outcome::Unreadable) => {
                let event = Event::new(EventKind::RecordUnreadable);
                log_event(&event.program_key(&turn.program));
                Err(io::Error::other("the program's ledger cannot be read"))
            }
            Ok(Outcome::Durable | Outcome::Exhausted) => {
                self.keep(&turn.program, row_ids, self.call.route.retention);
                let took = self.gateway.clock.now().saturating_sub(ended);
                self.gateway.metrics.observe(Timing::Record, took);
                let event = Event::new(EventKind::TurnRecorded).tokens(spending.emitted_tokens());
                self.call.trail.step(event.elapsed(took));
                self.gateway.history.borrow_mut().insert(Arc::clone(&turn));
                recent_history::keep(&self.gateway, turn);
                Ok(())
            }
            Err(_) => Err(io::Error::other("the process stops")),
        }
    }

    /// Has written what the turn spent. Nobody waits for it: until it is
    /// durable, the turn counts at its most.
    fn settle(&self, spending: &mut Spending) {
        spending.settle_later();
        if let Some(program) = self.call.program() {
            let retention = self.call.route.retention.max(LEDGER_RETENTION);
            self.keep(&program.program, Vec::new(), retention);
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
            attempt: self.call.turn(),
            program,
            previous,
            input,
            output: record.output,
            endpoint: self.runs.endpoint().clone(),
            tokens: prompt_tokens.saturating_add(tokens),
        }
    }

    /// Takes note of the turn's rows, to delete them with the ledger one day.
    fn keep(&self, program: &str, rows: Vec<RowId>, retention: Duration) {
        let version = self.gateway.commits.version(program);
        let retention = retention + self.gateway.settings().retention_margin;
        let now = self.gateway.clock.now();
        self.gateway
            .retention
            .keep(program, rows, retention, version, now);
    }
}
