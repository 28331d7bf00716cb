//! Reads one streamed answer, which consists of one or more runs.
//!
//! A run is one execution of the request at one endpoint. If a run fails and the route
//! allows resumption, another endpoint continues the answer in a new run. The failed
//! run is stopped by closing its connection before the next one is requested, so that
//! two endpoints never work on the same answer at the same time. A run that is only silent
//! is stopped when another endpoint has accepted the request.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::response::Parts;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use rosebend_coordination::gateway::attempt::Failure;
use rosebend_coordination::gateway::directory::CompletedTurn;
use rosebend_coordination::gateway::event_series::{EventSeries, Events, ResumePoint};
use rosebend_platform::headers::AnswerHeader;
use rosebend_state::deployment::EndpointIdentity;
use rosebend_transport::connection::Connection;
use rosebend_transport::event::{Event, EventKind};

use crate::call::Call;
use crate::endpoint_request::EndpointResponse;
use crate::engine_scheduling::Placement;
use crate::exchange::{Exchange, SilentRun};
use crate::gateway::{Gateway, OpenEndpointRequest};
use crate::interruption::Interruption;
use crate::reply::Refusal;

/// Complete events of an answer, byte for byte as they were received.
#[derive(Debug, Default)]
pub struct Chunk {
    /// Bytes that the caller has from an earlier attempt.
    pub repeated: Bytes,
    /// Bytes to forward to the caller.
    pub fresh: Bytes,
}

/// Result of the next read of a body; `None` at its end.
type ReceivedFrame = Option<Result<Frame<Bytes>, hyper::Error>>;

/// A streamed answer and its current run.
#[derive(Debug)]
pub struct Runs {
    gateway: Rc<Gateway>,
    call: Rc<Call>,
    exchange: Exchange,
    /// State of the event series. It tells whether a body ends within an event, which its
    /// framing does not if the body ends with the connection.
    series: EventSeries,
    /// Status and headers of the first run whose bytes were forwarded. Until bytes are
    /// forwarded, they are those of the current run.
    head: Parts,
    /// Whether bytes were forwarded, after which `head` no longer changes.
    has_forwarded: bool,
    /// Whether a run at another endpoint continued the answer.
    is_resumed: bool,
    run: Run,
}

/// The answer of one endpoint while it is received.
#[derive(Debug)]
pub struct Run {
    body: Incoming,
    /// Frame that was received while another endpoint was tried.
    received: Option<ReceivedFrame>,
    /// Connection to the endpoint, until the body is complete or the run is stopped.
    connection: Option<Connection>,
    header: AnswerHeader,
    endpoint_request: OpenEndpointRequest,
    /// Slot at the endpoint, until the body is complete or the run is stopped.
    placement: Option<Placement>,
    sent_at: Duration,
    /// Time from sending the request to the first bytes of the body.
    first_byte: Option<Duration>,
}

impl Runs {
    /// Creates an answer whose first run has started.
    pub fn new(
        gateway: &Rc<Gateway>,
        call: &Rc<Call>,
        exchange: Exchange,
        endpoint_response: EndpointResponse,
    ) -> Self {
        let (head, run) = Run::start(endpoint_response);
        Self {
            gateway: Rc::clone(gateway),
            call: Rc::clone(call),
            exchange,
            series: new_series(call),
            head,
            has_forwarded: false,
            is_resumed: false,
            run,
        }
    }

    /// Returns the status and headers of the answer.
    pub fn head(&self) -> &Parts {
        &self.head
    }

    /// Returns the endpoint of the current run.
    pub fn endpoint(&self) -> &EndpointIdentity {
        &self.run.endpoint_request.endpoint
    }

    /// Records the times of a completed answer with this number of tokens, from which the
    /// time of later turns is estimated. An answer that was resumed is not recorded,
    /// because its last endpoint generated a part of it only.
    pub fn record_completion(&self, output_tokens: u64) {
        let is_partial = self.is_resumed || self.call.resumes_after().is_some();
        let Some(first_event) = self.run.first_byte.filter(|_| !is_partial) else {
            return;
        };
        let now = self.gateway.clock.now();
        let endpoint = &self.run.endpoint_request.endpoint;
        let turn = CompletedTurn {
            prompt_tokens: self.exchange.uncached_prompt_tokens(endpoint),
            output_tokens,
            first_event,
            duration: now.saturating_sub(self.run.sent_at),
        };
        let mut directory = self.gateway.directory.borrow_mut();
        directory.record_turn(endpoint, &turn, now);
    }

    /// Puts the connection back into the pool after the body of the last run was received
    /// completely, and releases the slot at the endpoint.
    pub fn keep_connection(&mut self) {
        self.run.placement = None;
        self.run.endpoint_request.set_answered();
        if let Some(connection) = self.run.connection.take() {
            let endpoint = &self.run.endpoint_request.endpoint;
            EndpointResponse::return_connection(
                &self.gateway,
                endpoint,
                connection,
                &self.run.header,
            );
        }
    }

    /// Returns the next bytes, or `None` once the answer is complete.
    ///
    /// # Errors
    ///
    /// Returns an error if a run fails and the stream can't be resumed.
    pub async fn next(&mut self) -> Result<Option<Chunk>, Interruption> {
        loop {
            match self.next_chunk_of_run().await {
                Ok(chunk) => return Ok(chunk),
                Err(Failure::Stalled) => self.replace_silent_run().await?,
                Err(failure) => self.resume(failure).await?,
            }
        }
    }

    async fn next_chunk_of_run(&mut self) -> Result<Option<Chunk>, Failure> {
        while let Some(frame) = self.next_frame().await? {
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            if bytes.is_empty() {
                continue;
            }
            self.run.record_first_byte(&self.gateway);
            self.run.endpoint_request.set_active();
            let events = self.series.push(&bytes).map_err(|_| Failure::Broken)?;
            let chunk = Chunk::from(events);
            self.has_forwarded |= !chunk.fresh.is_empty();
            if !chunk.is_empty() {
                return Ok(Some(chunk));
            }
        }
        match self.is_truncated() {
            true => Err(Failure::Truncated),
            false => Ok(None),
        }
    }

    /// Returns whether the body of the current run ended before the answer was complete,
    /// although its framing shows no error.
    fn is_truncated(&self) -> bool {
        let is_empty = self.run.first_byte.is_none();
        self.series.is_within_event() || (is_empty && self.run.header.is_close_delimited)
    }

    async fn next_frame(&mut self) -> Result<Option<Frame<Bytes>>, Failure> {
        let is_resumable = self.series.resume_point() != ResumePoint::Impossible;
        let frame = match self.exchange.timeout().filter(|_| is_resumable) {
            None => self.run.next_frame().await,
            Some(timeout) => tokio::time::timeout(timeout, self.run.next_frame())
                .await
                .map_err(|_| Failure::Stalled)?,
        };
        frame.transpose().map_err(|_| Failure::Broken)
    }

    /// Resumes the stream at another endpoint because the current one is silent. If no other
    /// endpoint accepts it, the run goes on.
    async fn replace_silent_run(&mut self) -> Result<(), Interruption> {
        if let ResumePoint::After(last) = self.series.resume_point() {
            self.exchange.set_last_event(last);
        }
        let endpoint = self.endpoint().clone();
        let silent = SilentRun::Stream(&mut self.run);
        let replaced = self.exchange.replace_silent(&endpoint, silent).await;
        let replaced = replaced.map_err(|refusal| self.interruption(refusal, Failure::Stalled))?;
        let Some(endpoint_response) = replaced else {
            return Ok(());
        };
        self.run.endpoint_request.set_failed(Failure::Stalled);
        self.series.discard_partial();
        let (head, run) = match endpoint_response.response.status().is_success() {
            true => Run::start(endpoint_response),
            false => {
                self.record_unsuccessful(endpoint_response, Failure::Stalled)?;
                self.next_run(Failure::Stalled).await?
            }
        };
        self.continue_with(head, run, Failure::Stalled);
        Ok(())
    }

    /// Resumes the stream at another endpoint after the last complete event.
    async fn resume(&mut self, failure: Failure) -> Result<(), Interruption> {
        self.run.stop();
        self.run.endpoint_request.set_failed(failure);
        let endpoint = self.run.endpoint_request.endpoint.clone();
        self.exchange
            .handle_failure(&endpoint, failure)
            .map_err(|refusal| self.interruption(refusal, failure))?;
        if !self.call.route.resumes_streams() {
            return Err(Interruption::EndpointFailed);
        }
        match self.series.discard_partial() {
            ResumePoint::Impossible => return Err(Interruption::EndpointFailed),
            ResumePoint::FromStart => {}
            ResumePoint::After(last) => self.exchange.set_last_event(last),
        }
        let (head, run) = self.next_run(failure).await?;
        self.continue_with(head, run, failure);
        Ok(())
    }

    /// Continues the answer with a run at another endpoint.
    fn continue_with(&mut self, head: Parts, run: Run, failure: Failure) {
        let event =
            Event::new(EventKind::StreamResumed).endpoint(&run.endpoint_request.endpoint.instance);
        self.call
            .request_log
            .add_notable_step(event.reason(failure.as_str()));
        self.gateway.metrics.count_resumption(failure);
        self.run = run;
        self.is_resumed = true;
        if !self.has_forwarded {
            self.head = head;
        }
    }

    /// Starts a run at another endpoint. An unsuccessful answer can't be forwarded within
    /// the stream and counts as a failure of the endpoint. `ended` is the failure of the
    /// previous run.
    async fn next_run(&mut self, ended: Failure) -> Result<(Parts, Run), Interruption> {
        loop {
            let next = self.exchange.next().await;
            let endpoint_response = next.map_err(|refusal| self.interruption(refusal, ended))?;
            if endpoint_response.response.status().is_success() {
                return Ok(Run::start(endpoint_response));
            }
            self.record_unsuccessful(endpoint_response, ended)?;
        }
    }

    /// Records an unsuccessful answer as a failure of its endpoint.
    fn record_unsuccessful(
        &mut self,
        endpoint_response: EndpointResponse,
        ended: Failure,
    ) -> Result<(), Interruption> {
        let endpoint = endpoint_response.in_flight.endpoint.clone();
        drop(endpoint_response);
        self.exchange
            .handle_failure(&endpoint, Failure::Broken)
            .map_err(|refusal| self.interruption(refusal, ended))
    }

    /// Returns the interruption of an answer that no endpoint resumes after a failure.
    fn interruption(&self, refusal: Refusal, failure: Failure) -> Interruption {
        match refusal {
            Refusal::DeadlineExceeded => Interruption::DeadlineExceeded,
            _ if !self.call.route.resumes_streams() => Interruption::EndpointFailed,
            _ => Interruption::not_resumed(failure),
        }
    }
}

impl Run {
    fn start(endpoint_response: EndpointResponse) -> (Parts, Self) {
        let (head, body) = endpoint_response.response.into_parts();
        let run = Self {
            body,
            received: None,
            connection: Some(endpoint_response.connection),
            header: endpoint_response.header,
            endpoint_request: endpoint_response.in_flight,
            placement: endpoint_response.placement,
            sent_at: endpoint_response.sent_at,
            first_byte: None,
        };
        (head, run)
    }

    /// Returns the next frame of the body, or `None` at its end. Dropping the future loses
    /// nothing.
    async fn next_frame(&mut self) -> ReceivedFrame {
        match self.received.take() {
            Some(received) => received,
            None => self.body.frame().await,
        }
    }

    /// Waits for the next frame of the body. Dropping the future loses nothing.
    pub async fn wait(&mut self) {
        if self.received.is_none() {
            self.received = Some(self.body.frame().await);
        }
    }

    /// Closes the connection, which stops the work of the endpoint, and releases the slot.
    pub fn stop(&mut self) {
        self.connection = None;
        self.placement = None;
    }

    /// Records the latency of the first bytes, which indicates the load of the endpoint.
    fn record_first_byte(&mut self, gateway: &Gateway) {
        if self.first_byte.is_some() {
            return;
        }
        let now = gateway.clock.now();
        let latency = now.saturating_sub(self.sent_at);
        self.first_byte = Some(latency);
        if let Some(placement) = &self.placement {
            placement.record_first_event(latency);
        }
        let mut directory = gateway.directory.borrow_mut();
        directory.record_response(&self.endpoint_request.endpoint, Some(latency), now);
    }
}

impl Chunk {
    fn is_empty(&self) -> bool {
        self.repeated.is_empty() && self.fresh.is_empty()
    }
}

impl From<Events> for Chunk {
    fn from(events: Events) -> Self {
        Self {
            repeated: Bytes::from(events.repeated),
            fresh: Bytes::from(events.fresh),
        }
    }
}

/// Returns the initial state of a stream. A stream that may not be resumed is sent to the
/// caller from its first event, whatever the caller has.
fn new_series(call: &Call) -> EventSeries {
    if !call.route.resumes_streams() {
        return EventSeries::default();
    }
    match call.resumes_after() {
        Some(last) => EventSeries::after(Some(last)),
        None => EventSeries::repeating(call.header.last_event),
    }
}
