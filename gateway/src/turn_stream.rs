//! Forwards the streamed answer of a turn from the endpoint to the caller, counts its
//! tokens and stores its record.

use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::Response;
use actix_http::body::BoxBody;
use bytes::Bytes;
use futures_util::StreamExt;
use rosebend_coordination::gateway::history::{Turn, split_record};
use rosebend_coordination::gateway::pending_changes::{Outcome, TurnRecord};
use rosebend_platform::headers;
use rosebend_protocol::sse::{SseEvent, SseReader};
use rosebend_state::deployment::{ProgramHeader, RowId, RowWrite, Transaction};
use rosebend_transport::event::{Event, EventKind, log_event};
use rosebend_transport::store::StoreError;

use crate::call::Call;
use crate::endpoint_request::EndpointResponse;
use crate::exchange::Exchange;
use crate::gateway::{Gateway, OpenRequest};
use crate::interruption::Interruption;
use crate::metrics::Timing;
use crate::quarantine;
use crate::recent_history;
use crate::reply::{self, Refusal};
use crate::runs::{Chunk, Runs};
use crate::spending::{Spending, ledger_retention, tokens_per_event};

/// Maximum size of a recorded turn's output.
const MAX_OUTPUT_BYTES: usize = 200_000;
/// Number of events that an answer may have beyond twice the number of those that its turn may
/// generate.
const MAX_EXTRA_EVENTS: u64 = 8;
/// Delay before rows of a record that were not written, or may not be, are sent again.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(80);
/// Number of times that a turn's record is written if the program's ledger is deleted
/// meanwhile. Each deletion takes the retention time of the program.
const MAX_RECORD_ATTEMPTS: usize = 3;

/// The contents of a turn's record, collected while the turn is served.
#[derive(Debug)]
pub struct Record {
    /// Program of the turn.
    pub program: ProgramHeader,
    /// Turn that this turn continues, or none if it is the first.
    pub previous: Option<Arc<Turn>>,
    /// Data of the events, each followed by a line feed.
    pub output: Vec<u8>,
}

/// The parts of a turn that become durable.
#[derive(Debug, Default)]
pub struct DurableState {
    /// Reservation and spent tokens, or none if the turn needs no ledger.
    pub spending: Option<Spending>,
    /// Record of the turn, or none if the route keeps no history. A turn with a record
    /// always has `spending`, too.
    pub record: Option<Record>,
}

impl DurableState {
    fn record_event(&mut self, event: &SseEvent) {
        if let Some(record) = &mut self.record {
            record.output.extend_from_slice(&event.data);
            record.output.push(b'\n');
        }
    }
}

/// A stream that is forwarded from an endpoint to a caller. Dropping it closes the
/// connection to the endpoint, which then stops its work.
struct TurnStream {
    gateway: Rc<Gateway>,
    call: Rc<Call>,
    runs: Runs,
    events: SseReader,
    has_started: bool,
    /// Number of events of the answer so far.
    event_count: u64,
    /// Time from the request's arrival to its first event.
    first_event: Duration,
    durable_state: DurableState,
    _open_request: OpenRequest,
}

/// Forwards a stream. The response starts only after the first bytes have arrived, so
/// that a stream which fails before them results in a problem document and not in a
/// closed connection.
///
/// # Errors
///
/// Returns the reason if the stream fails before its first bytes.
pub async fn forward_stream(
    gateway: &Rc<Gateway>,
    call: &Rc<Call>,
    exchange: Exchange,
    exchanged: EndpointResponse,
    durable_state: DurableState,
) -> Result<Response<BoxBody>, Refusal> {
    let mut stream = TurnStream {
        gateway: Rc::clone(gateway),
        call: Rc::clone(call),
        runs: Runs::new(gateway, call, exchange, exchanged),
        events: SseReader::default(),
        has_started: false,
        event_count: 0,
        first_event: Duration::ZERO,
        durable_state,
        _open_request: gateway.open_request(),
    };
    let first = stream
        .next()
        .await
        .map_err(|interruption| match interruption {
            Interruption::DeadlineExceeded | Interruption::GrantNotExtended => {
                Refusal::DeadlineExceeded
            }
            _ => Refusal::OutcomeUnknown,
        })?;
    // The head is that of the first run whose events are forwarded, even if the stream is
    // resumed at another endpoint later.
    let head = stream.runs.head();
    let status = head.status.as_u16();
    let headers = headers::for_caller(&head.headers);
    let rest = futures_util::stream::unfold(Some(stream), |stream| async move {
        let mut stream = stream?;
        match stream.next().await {
            Ok(Some(bytes)) => Some((Ok(bytes), Some(stream))),
            Ok(None) => None,
            Err(interruption) => Some((Err(io::Error::other(interruption)), None)),
        }
    });
    let chunks = futures_util::stream::iter(first.map(Ok)).chain(rest);
    Ok(reply::stream_response(status, &headers, chunks))
}

impl TurnStream {
    /// Returns the next bytes for the caller, or `None` once the answer is complete and
    /// its turn is durable.
    async fn next(&mut self) -> Result<Option<Bytes>, Interruption> {
        let deadline_instant = self.gateway.clock.instant(self.call.deadline);
        let next = tokio::time::timeout_at(deadline_instant, self.next_chunk()).await;
        let next = next.unwrap_or_else(|_| Err(self.deadline_interruption()));
        if let Err(interruption) = next {
            self.record_interruption(interruption);
        }
        next
    }

    /// Returns the interruption of an answer whose deadline passed.
    fn deadline_interruption(&self) -> Interruption {
        let spending = self.durable_state.spending.as_ref();
        match spending.is_some_and(Spending::is_uncovered) {
            true => Interruption::GrantNotExtended,
            false => Interruption::DeadlineExceeded,
        }
    }

    /// Records why the answer ended early.
    fn record_interruption(&self, interruption: Interruption) {
        let event = Event::new(EventKind::AnswerBroken).reason(interruption.as_str());
        self.call.request_log.add_notable_step(event);
        self.gateway
            .metrics
            .count_request(self.call.route.kind, "cut");
        if self.has_started {
            self.gateway.metrics.count_interruption(interruption);
            let elapsed = self.call.elapsed(self.gateway.clock.now());
            let status = self.runs.head().status.as_u16();
            self.call
                .request_log
                .record_ended(interruption.as_str(), status, elapsed);
        }
    }

    async fn next_chunk(&mut self) -> Result<Option<Bytes>, Interruption> {
        while let Some(chunk) = self.runs.next().await? {
            let bytes = self.process(chunk);
            if self.is_too_long() {
                return Err(Interruption::AnswerTooLong);
            }
            if let Some(spending) = &mut self.durable_state.spending {
                spending.cover_events(&self.call).await?;
            }
            if !bytes.is_empty() {
                return Ok(Some(bytes));
            }
        }
        self.finish().await?;
        Ok(None)
    }

    /// Returns whether the endpoint has sent far more than the turn may generate, which is no
    /// answer.
    fn is_too_long(&self) -> bool {
        let record = self.durable_state.record.as_ref();
        let output_bytes = record.map_or(0, |record| record.output.len());
        let tokens_per_event = tokens_per_event(&self.gateway, &self.call.service).max(1);
        let max_events = self.call.header.tokens.map(|tokens| {
            let events = tokens.max_output_tokens.div_ceil(tokens_per_event);
            events.saturating_mul(2).saturating_add(MAX_EXTRA_EVENTS)
        });
        output_bytes > MAX_OUTPUT_BYTES || max_events.is_some_and(|max| self.event_count > max)
    }

    /// Counts and records the events of a chunk, and returns the bytes to forward.
    fn process(&mut self, chunk: Chunk) -> Bytes {
        // Events that the caller has from an earlier attempt belong to the turn's record.
        // They are not forwarded again, and were counted in that attempt.
        for event in self.events.push(&chunk.repeated) {
            if self.is_too_long() {
                break;
            }
            self.event_count += 1;
            self.durable_state.record_event(&event);
        }
        if chunk.fresh.is_empty() {
            return chunk.fresh;
        }
        if !self.has_started {
            self.has_started = true;
            self.first_event = self.call.elapsed(self.gateway.clock.now());
            self.gateway
                .metrics
                .observe(Timing::FirstEvent, self.first_event);
        }
        for event in self.events.push(&chunk.fresh) {
            // Events that are not forwarded do not count against the budget.
            if self.is_too_long() {
                break;
            }
            self.event_count += 1;
            if let Some(spending) = &mut self.durable_state.spending {
                spending.count_event();
            }
            self.durable_state.record_event(&event);
        }
        chunk.fresh
    }

    /// Makes the turn durable and returns the connection to the pool.
    async fn finish(&mut self) -> Result<(), Interruption> {
        let tokens_per_event = tokens_per_event(&self.gateway, &self.call.service);
        self.runs
            .record_completion(self.event_count.saturating_mul(tokens_per_event));
        self.runs.keep_connection();
        let durable_state = std::mem::take(&mut self.durable_state);
        match (durable_state.spending, durable_state.record) {
            (Some(spending), Some(record)) => self.commit_record(spending, record).await?,
            (Some(mut spending), None) => self.settle_in_background(&mut spending),
            (None, _) => {}
        }
        self.record_completion();
        Ok(())
    }

    /// Records the completion of the turn in the metrics and the request log, and clears
    /// the request's count of crashes.
    fn record_completion(&self) {
        let elapsed = self.call.elapsed(self.gateway.clock.now());
        let in_time = self.first_event <= self.call.route.objective;
        self.gateway.metrics.observe(Timing::Turn, elapsed);
        self.gateway
            .metrics
            .count_request(self.call.route.kind, "answered");
        let status = self.runs.head().status.as_u16();
        quarantine::clear(&self.gateway, &self.call, self.runs.endpoint(), status);
        self.call.request_log.record_served(
            &self.runs.endpoint().instance,
            status,
            elapsed,
            in_time,
        );
    }

    /// Commits the turn's record together with the tokens that it spent, and waits until
    /// both are durable.
    async fn commit_record(
        &self,
        mut spending: Spending,
        record: Record,
    ) -> Result<(), Interruption> {
        let ended = self.gateway.clock.now();
        for _ in 0..MAX_RECORD_ATTEMPTS {
            let turn = Arc::new(self.build_turn(&record, spending.emitted_tokens()));
            let _permit = match turn.is_large() {
                true => self.gateway.large_records.acquire().await.ok(),
                false => None,
            };
            // The limit applies to encoded rows, where four bytes represent three.
            let rows = turn.rows(self.gateway.settings().store.row_bytes / 4 * 3);
            let split = split_record(rows);
            for rows in split.leading {
                self.write_ahead(&turn.program, rows).await?;
            }
            let row_ids = row_ids(&split.last);
            let turn_record = TurnRecord {
                rows: split.last,
                generation: turn.generation,
            };
            match spending.settle(Some(turn_record)).await {
                Ok(Outcome::GenerationEnded) => spending.reserve_again().await?,
                Ok(Outcome::Rejected) => {
                    spending.settle_later();
                    return Err(Interruption::RecordRejected);
                }
                Ok(Outcome::Unreadable) => {
                    let event = Event::new(EventKind::RecordUnreadable);
                    log_event(&event.program_key(&turn.program));
                    return Err(Interruption::RecordUnreadable);
                }
                Ok(Outcome::Durable | Outcome::Exhausted) => {
                    self.schedule_deletion(&turn.program, row_ids, self.call.route.retention);
                    let commit_time = self.gateway.clock.now().saturating_sub(ended);
                    self.record_commit(turn, spending.emitted_tokens(), commit_time);
                    return Ok(());
                }
                Err(_) => return Err(Interruption::RecordNotDurable),
            }
        }
        Err(Interruption::RecordNotDurable)
    }

    /// Writes rows of a turn's record before the others. They are deleted together with the
    /// program, also if the turn is not recorded.
    async fn write_ahead(&self, program: &str, rows: Vec<RowWrite>) -> Result<(), Interruption> {
        self.schedule_deletion(program, row_ids(&rows), self.call.route.retention);
        let transaction = Transaction {
            writes: rows,
            ..Transaction::default()
        };
        loop {
            let outcome = self.gateway.batched_commits.transact(&transaction).await;
            match outcome {
                Ok(_) => return Ok(()),
                Err(StoreError::Rejected(_)) => return Err(Interruption::RecordRejected),
                // The client has already logged the error. The caller's deadline ends the
                // repetitions.
                Err(_) => tokio::time::sleep(WRITE_RETRY_DELAY).await,
            }
        }
    }

    /// Caches a turn that is durable, and records the tokens that it spent and how long its
    /// commit took.
    fn record_commit(&self, turn: Arc<Turn>, tokens: u64, commit_time: Duration) {
        self.gateway.metrics.observe(Timing::Record, commit_time);
        let event = Event::new(EventKind::TurnRecorded).tokens(tokens);
        self.call.request_log.add_step(event.elapsed(commit_time));
        self.gateway.history.borrow_mut().insert(Arc::clone(&turn));
        recent_history::cache_turn(&self.gateway, turn);
    }

    /// Submits the tokens that the turn spent, without waiting until they are durable.
    /// Until then, the turn's maximum output tokens count as spent.
    fn settle_in_background(&self, spending: &mut Spending) {
        spending.settle_later();
        if let Some(program) = self.call.program() {
            let retention = ledger_retention(&self.call.route);
            self.schedule_deletion(&program.program, Vec::new(), retention);
        }
    }

    /// Builds the turn as it is stored. A turn contains a copy of the whole history before
    /// it unless the preceding turn is deleted together with it: that turn may belong to
    /// another program, or its rows may be deleted although it is still in memory.
    fn build_turn(&self, record: &Record, tokens: u64) -> Turn {
        let program = record.program.program.clone();
        let generation = self.gateway.commits.cached_generation(&program);
        let prompt_tokens = self
            .call
            .header
            .tokens
            .map_or(0, |tokens| tokens.prompt_tokens);
        let is_kept_with =
            |previous: &Arc<Turn>| previous.program == program && previous.generation == generation;
        let (previous, input) = match &record.previous {
            Some(previous) if !is_kept_with(previous) => {
                self.gateway.metrics.count_history_copy();
                (None, previous.prompt(&self.call.body))
            }
            previous => (previous.clone(), self.call.body.to_vec()),
        };
        Turn {
            attempt: self.call.turn_id(),
            program,
            generation,
            previous,
            input,
            output: record.output.clone(),
            endpoint: self.runs.endpoint().clone(),
            tokens: prompt_tokens.saturating_add(tokens),
        }
    }

    /// Schedules the deletion of the turn's rows together with the program's ledger.
    fn schedule_deletion(&self, program: &str, rows: Vec<RowId>, retention: Duration) {
        let version = self.gateway.commits.cached_version(program);
        // Turns at other hosts may be kept for longer and continue from this one.
        let retention = retention.max(self.gateway.commits.cached_retention(program));
        let retention = retention + self.gateway.settings().retention_margin;
        let now = self.gateway.clock.now();
        self.gateway
            .retention
            .add_rows(program, rows, retention, version, now);
    }
}

fn row_ids(rows: &[RowWrite]) -> Vec<RowId> {
    rows.iter().map(|write| write.row.clone()).collect()
}
