//! A request at an endpoint, until the head of its answer is there; over
//! several endpoints where that is allowed.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use rosebend_coordination::gateway::attempt::{Attempt, Failure, NextStep};
use rosebend_coordination::gateway::directory::EndpointQuery;
use rosebend_platform::headers::{self, AnswerHeader};
use rosebend_state::deployment::{EndpointIdentity, EndpointRecord, EventId, RouteKind};
use rosebend_transport::clock::whole_ms;
use rosebend_transport::connection::{Connection, ConnectionError};
use rosebend_transport::event::{Event, EventKind, log_event};

use crate::call::Call;
use crate::gateway::{Gateway, OpenEndpointRequest};
use crate::quarantine;
use crate::reply::Refusal;

/// An endpoint's answer whose body is still to come.
#[derive(Debug)]
pub struct Exchanged {
    /// Status, headers and body.
    pub response: Response<Incoming>,
    /// What its headers say.
    pub header: AnswerHeader,
    /// The connection, which is closed when this is dropped.
    pub connection: Connection,
    /// Counts the request at the endpoint.
    pub at: OpenEndpointRequest,
    /// When the request was sent.
    pub sent: Duration,
}

/// An endpoint that may have a request's prompt in memory.
#[derive(Clone, Debug)]
pub struct Warm {
    /// The start of the endpoint; a later one has nothing in memory.
    pub endpoint: EndpointIdentity,
    /// Tokens of the prompt that it may have.
    pub tokens: u64,
}

/// Sends a call to endpoints until one answers.
#[derive(Debug)]
pub struct Exchange {
    gateway: Rc<Gateway>,
    call: Rc<Call>,
    body: Bytes,
    warm: Option<Warm>,
    attempt: Attempt,
    asked: Vec<EndpointIdentity>,
    /// The event of a stream after which endpoints are to go on.
    last_event: Option<EventId>,
}

impl Exchange {
    /// A call that was not sent yet. `body` is what endpoints are given; `warm`
    /// is the endpoint that may have it in memory.
    pub fn new(gateway: &Rc<Gateway>, call: &Rc<Call>, body: Bytes, warm: Option<Warm>) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            call: Rc::clone(call),
            body,
            warm,
            attempt: Attempt::default(),
            asked: Vec::new(),
            last_event: call.resumes_after(),
        }
    }

    /// Lets the endpoint that is asked next go on after an event.
    pub fn go_on_after(&mut self, last: EventId) {
        self.last_event = Some(last);
    }

    /// How long the stream of the present endpoint may be silent before another
    /// one is asked; none where that is not allowed.
    pub fn timeout(&self) -> Option<Duration> {
        self.attempt.idle_timeout(&self.call.route)
    }

    /// The next answer that may be passed on.
    ///
    /// # Errors
    ///
    /// Tells what to say to the caller when no endpoint is to be asked any
    /// more.
    pub async fn next(&mut self) -> Result<Exchanged, Refusal> {
        loop {
            let Some(endpoint) = self.choose() else {
                return Err(self.no_endpoint_left());
            };
            match self.try_at(&endpoint).await {
                Ok(exchanged) => return Ok(exchanged),
                Err(failure) => self.failed(&endpoint.identity, failure)?,
            }
        }
    }

    /// Takes note of a failure and decides whether to go on.
    ///
    /// # Errors
    ///
    /// Tells what to say to the caller when no other endpoint is to be asked.
    pub fn failed(&mut self, endpoint: &EndpointIdentity, failure: Failure) -> Result<(), Refusal> {
        if failure == Failure::Broken {
            quarantine::examine(&self.gateway, &self.call, endpoint);
        }
        let now = self.gateway.clock.now();
        let left = self.call.left(now);
        self.note_failure(endpoint, failure, now);
        match self.attempt.next_step(&self.call.route, failure, left) {
            NextStep::TryAnother => Ok(()),
            NextStep::Refuse => Err(Refusal::NoRoom),
            NextStep::UnknownOutcome => Err(Refusal::OutcomeUnknown),
            NextStep::DeadlineExceeded => Err(Refusal::TimeIsUp),
        }
    }

    fn note_failure(&self, endpoint: &EndpointIdentity, failure: Failure, now: Duration) {
        self.gateway.metrics.count_failure(failure);
        let event = Event::new(EventKind::EndpointFailed).endpoint(&endpoint.instance);
        let event = event
            .elapsed(self.call.elapsed(now))
            .reason(failure.as_str());
        self.call.trail.notable(event);
        if failure == Failure::Refused {
            return;
        }
        let avoided = self
            .gateway
            .directory
            .borrow_mut()
            .record_failure(endpoint, now);
        if let Some(avoided) = avoided {
            let event = Event::new(EventKind::EndpointAvoided).endpoint(&endpoint.instance);
            log_event(&event.wait_ms(whole_ms(avoided)).reason(failure.as_str()));
        }
    }

    fn no_endpoint_left(&self) -> Refusal {
        match self.attempt.may_have_run() {
            true => Refusal::OutcomeUnknown,
            false => Refusal::NoRoom,
        }
    }

    fn choose(&mut self) -> Option<EndpointRecord> {
        let query = EndpointQuery {
            warm_endpoint: self.warm.as_ref().map(|warm| &warm.endpoint),
            warm_tokens: self.warm.as_ref().map_or(0, |warm| warm.tokens),
            is_turn: self.call.route.kind == RouteKind::Streaming,
            tried: &self.asked,
            jitter_key: &self.call.header.attempt,
        };
        let now = self.gateway.clock.now();
        let directory = self.gateway.directory.borrow();
        let pool = self.gateway.pool.borrow();
        let is_connected = |endpoint: &EndpointIdentity| pool.has_idle(endpoint, now);
        let chosen = directory.select(&self.call.service, query, now, is_connected)?;
        let event =
            Event::new(EventKind::EndpointChosen).endpoint(&chosen.record.identity.instance);
        let event = event.load(chosen.expected_load);
        let event = match chosen.report_age {
            Some(age) => event.age(age),
            None => event,
        };
        let warm = self.warm.as_ref().map(|warm| &warm.endpoint);
        let is_warm = warm == Some(&chosen.record.identity);
        self.call.trail.step(match is_warm {
            true => event.reason("warm"),
            false => event,
        });
        let endpoint = chosen.record.clone();
        self.asked.push(endpoint.identity.clone());
        Some(endpoint)
    }

    async fn try_at(&self, endpoint: &EndpointRecord) -> Result<Exchanged, Failure> {
        let at = self.gateway.start_endpoint_request(&endpoint.identity);
        let left = self.call.left(self.gateway.clock.now());
        let exchanging = self.exchange(endpoint, at);
        let timeout = self.timeout().unwrap_or(left);
        let exchanged = tokio::time::timeout(left.min(timeout), exchanging).await;
        exchanged.unwrap_or(Err(match timeout < left {
            true => Failure::Stalled,
            false => Failure::TimedOut,
        }))
    }

    async fn exchange(
        &self,
        endpoint: &EndpointRecord,
        at: OpenEndpointRequest,
    ) -> Result<Exchanged, Failure> {
        let mut connection = self.connect(endpoint).await?;
        let sent = self.gateway.clock.now();
        let request = self.request(endpoint, sent);
        let response = connection.send(request).await.map_err(failure_of)?;
        let header = headers::decode_answer(response.headers());
        let elapsed = self.gateway.clock.now().saturating_sub(sent);
        let event = Event::new(EventKind::AnswerBegan).endpoint(&endpoint.identity.instance);
        let event = event.status(response.status().as_u16()).elapsed(elapsed);
        self.call.trail.step(event);
        self.check(&response, &header, endpoint)?;
        if self.call.route.kind == RouteKind::Streaming {
            let now = self.gateway.clock.now();
            let mut admission = self.gateway.admission.borrow_mut();
            admission.record_first_byte(&self.call.service, elapsed, now);
        }
        Ok(Exchanged {
            response,
            header,
            connection,
            at,
            sent,
        })
    }

    async fn connect(&self, endpoint: &EndpointRecord) -> Result<Connection, Failure> {
        let now = self.gateway.clock.now();
        let pooled = self.gateway.pool.borrow_mut().take(&endpoint.identity, now);
        match pooled {
            Some(connection) => Ok(connection),
            None => {
                self.gateway.metrics.count_connection();
                Connection::open(endpoint.address).await.map_err(failure_of)
            }
        }
    }

    fn request(&self, endpoint: &EndpointRecord, now: Duration) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.call.method.clone();
        // The target came from a request line, so it is one.
        *request.uri_mut() = self.call.target.parse().unwrap_or_default();
        *request.headers_mut() = self.call.headers.clone();
        let left = self.call.left(now);
        headers::address_to(request.headers_mut(), &endpoint.identity.instance, left);
        if self.call.route.kind == RouteKind::Streaming {
            headers::resume_after(request.headers_mut(), self.last_event);
        }
        request
    }

    /// Whether an answer is one to this request that may be passed on.
    fn check(
        &self,
        response: &Response<Incoming>,
        header: &AnswerHeader,
        endpoint: &EndpointRecord,
    ) -> Result<(), Failure> {
        let now = self.gateway.clock.now();
        let mut directory = self.gateway.directory.borrow_mut();
        if let Some(load) = header.load {
            directory.record_report(&endpoint.identity, load, now);
        }
        let status = response.status().as_u16();
        let is_other = header.attempt.as_ref() != Some(&self.call.header.attempt);
        if is_other && header.attempt.is_some() {
            return Err(Failure::Broken);
        }
        if header.not_run || status == 421 {
            directory.record_rejection(&endpoint.identity, now);
            return Err(Failure::Refused);
        }
        let is_unproven = is_other || header.encoded || !header.stamped;
        if response.status().is_success() && is_unproven {
            return Err(Failure::Broken);
        }
        Ok(())
    }
}

fn failure_of(error: ConnectionError) -> Failure {
    match error {
        ConnectionError::Connect(_) | ConnectionError::NotSent(_) => Failure::NotSent,
        ConnectionError::Broken(_) => Failure::Broken,
    }
}

impl Exchanged {
    /// Gives the connection back after the whole body was read.
    pub fn keep_connection(
        gateway: &Gateway,
        endpoint: &EndpointIdentity,
        connection: Connection,
        header: &AnswerHeader,
    ) {
        if header.closes || !gateway.directory.borrow().contains(endpoint) {
            return;
        }
        let now = gateway.clock.now();
        let mut pool = gateway.pool.borrow_mut();
        pool.put(endpoint, connection, header.keep_alive, now);
    }
}
