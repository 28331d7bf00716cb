//! Sends a request to an endpoint and receives the head of the response. After a
//! failure the request is sent to another endpoint, if its route allows that.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use rosebend_coordination::gateway::admission::cannot_end_in_time;
use rosebend_coordination::gateway::attempt::{Attempt, Failure, NextStep};
use rosebend_coordination::gateway::directory::EndpointQuery;
use rosebend_platform::headers::{self, AnswerHeader};
use rosebend_state::deployment::{EndpointIdentity, EventId, RouteKind};
use rosebend_transport::clock::whole_ms;
use rosebend_transport::connection::{Connection, ConnectionError};
use rosebend_transport::event::{Event, EventKind, log_event};

use crate::call::Call;
use crate::engine_scheduling::{self, Placed, Placement};
use crate::gateway::{Gateway, OpenEndpointRequest};
use crate::metrics::Timing;
use crate::quarantine;
use crate::reply::Refusal;

/// A response of an endpoint whose body has not been read yet.
#[derive(Debug)]
pub struct EndpointResponse {
    /// Status, headers and body.
    pub response: Response<Incoming>,
    /// Decoded headers of the response.
    pub header: AnswerHeader,
    /// Connection that carries the body. Dropping it closes the connection.
    pub connection: Connection,
    /// Guard that counts the request as in flight at the endpoint.
    pub in_flight: OpenEndpointRequest,
    /// Slot that an engine scheduler assigned to the turn, until the turn ends.
    pub placement: Option<Placement>,
    /// Time at which the request was sent, since the start of the process.
    pub sent_at: Duration,
}

/// The endpoint to which a request is sent next.
#[derive(Debug)]
pub struct SelectedEndpoint {
    /// Incarnation of the endpoint.
    pub identity: EndpointIdentity,
    /// Address of the endpoint.
    pub address: SocketAddr,
}

/// An endpoint that may have a part of a request's prompt in its cache.
#[derive(Clone, Debug)]
pub struct WarmEndpoint {
    /// Incarnation of the endpoint. A later incarnation starts with an empty cache.
    pub endpoint: EndpointIdentity,
    /// Number of prompt tokens that may be cached.
    pub tokens: u64,
}

/// Sends a call to one endpoint after another until one responds.
#[derive(Debug)]
pub struct Exchange {
    gateway: Rc<Gateway>,
    call: Rc<Call>,
    body: Bytes,
    warm: Option<WarmEndpoint>,
    attempt: Attempt,
    /// Endpoints to which the call was already sent.
    tried_endpoints: Vec<EndpointIdentity>,
    /// Last event of the stream that the caller has. The next endpoint resumes the
    /// stream after it.
    last_event: Option<EventId>,
}

impl Exchange {
    /// Creates the exchange for a call that was not sent yet. `body` is the body
    /// that is sent to endpoints; `warm` is the endpoint that may have it in its
    /// cache.
    pub fn new(
        gateway: &Rc<Gateway>,
        call: &Rc<Call>,
        body: Bytes,
        warm: Option<WarmEndpoint>,
    ) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            call: Rc::clone(call),
            body,
            warm,
            attempt: Attempt::default(),
            tried_endpoints: Vec::new(),
            last_event: call.resumes_after(),
        }
    }

    /// Sets the event after which the next endpoint resumes the stream.
    pub fn set_last_event(&mut self, last: EventId) {
        self.last_event = Some(last);
    }

    /// Returns the time without data after which the current endpoint's stream is
    /// resumed at another endpoint, or `None` if the request may not run at another
    /// one.
    pub fn timeout(&self) -> Option<Duration> {
        self.attempt.idle_timeout(&self.call.route)
    }

    /// Returns the next response that may be forwarded to the caller.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller if no further endpoint may be tried.
    pub async fn next(&mut self) -> Result<EndpointResponse, Refusal> {
        loop {
            self.refuse_if_too_late()?;
            let (endpoint, placement) = self.place().await?;
            match self.try_endpoint(&endpoint).await {
                Ok(mut endpoint_response) => {
                    endpoint_response.placement = placement;
                    return Ok(endpoint_response);
                }
                Err(failure) => self.handle_failure(&endpoint.identity, failure)?,
            }
        }
    }

    /// Refuses a turn whose time until its deadline is shorter than the shortest time to
    /// the first byte that this host observed. A turn that may have run is not refused,
    /// because a refusal states that it never ran.
    fn refuse_if_too_late(&self) -> Result<(), Refusal> {
        let is_turn = self.call.route.kind == RouteKind::Streaming;
        let is_subject = is_turn && engine_scheduling::is_in_effect(&self.gateway, &self.call);
        if !is_subject || self.attempt.may_have_run() {
            return Ok(());
        }
        let now = self.gateway.clock.now();
        let admission = self.gateway.admission.borrow();
        let shortest = admission.shortest_first_byte(&self.call.service, now);
        let remaining = self.call.remaining(now);
        if !cannot_end_in_time(remaining, shortest) {
            return Ok(());
        }
        let event = Event::new(EventKind::TurnTooLate).elapsed(self.call.elapsed(now));
        let event = event.remaining(remaining);
        let event = event.wait_ms(shortest.map_or(0, whole_ms));
        self.call.request_log.add_step(event);
        Err(Refusal::TooLate)
    }

    /// Records a failure and decides whether another endpoint may be tried.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller if no further endpoint may be tried.
    pub fn handle_failure(
        &mut self,
        endpoint: &EndpointIdentity,
        failure: Failure,
    ) -> Result<(), Refusal> {
        if matches!(failure, Failure::Broken | Failure::Truncated) {
            quarantine::spawn_crash_check(&self.gateway, &self.call, endpoint);
        }
        let now = self.gateway.clock.now();
        let remaining = self.call.remaining(now);
        self.report_failure(endpoint, failure, now);
        match self.attempt.next_step(&self.call.route, failure, remaining) {
            NextStep::TryAnother => Ok(()),
            NextStep::Refuse => Err(Refusal::NoEndpointAvailable),
            NextStep::UnknownOutcome => Err(Refusal::OutcomeUnknown),
            NextStep::DeadlineExceeded => Err(Refusal::DeadlineExceeded),
        }
    }

    /// Counts and logs a failure, and starts the endpoint's backoff unless the
    /// endpoint only refused the request.
    fn report_failure(&self, endpoint: &EndpointIdentity, failure: Failure, now: Duration) {
        self.gateway.metrics.count_failure(failure);
        let event = Event::new(EventKind::EndpointFailed).endpoint(&endpoint.instance);
        let event = event
            .elapsed(self.call.elapsed(now))
            .reason(failure.as_str());
        self.call.request_log.add_notable_step(event);
        if failure == Failure::Refused {
            return;
        }
        let backoff = self
            .gateway
            .directory
            .borrow_mut()
            .record_failure(endpoint, now);
        if let Some(backoff) = backoff {
            let event = Event::new(EventKind::EndpointAvoided).endpoint(&endpoint.instance);
            log_event(&event.wait_ms(whole_ms(backoff)).reason(failure.as_str()));
        }
    }

    /// Returns the refusal for a call that no further endpoint accepts.
    fn no_endpoint_left(&self) -> Refusal {
        match self.attempt.may_have_run() {
            true => Refusal::OutcomeUnknown,
            false => Refusal::NoEndpointAvailable,
        }
    }

    /// Gets a slot at an engine for a turn whose engines are scheduled. Otherwise selects
    /// an endpoint.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller if no further endpoint may be tried.
    async fn place(&mut self) -> Result<(SelectedEndpoint, Option<Placement>), Refusal> {
        let placed = match self.call.route.kind {
            RouteKind::Streaming => {
                let warm = self.warm.as_ref();
                engine_scheduling::place(&self.gateway, &self.call, warm, &self.tried_endpoints)
                    .await
            }
            RouteKind::Idempotent | RouteKind::NonIdempotent => Placed::Local(None),
        };
        match placed {
            Placed::Assigned(endpoint, placement) => {
                self.tried_endpoints.push(endpoint.identity.clone());
                Ok((endpoint, Some(placement)))
            }
            Placed::Local(placement) => {
                let endpoint = self.select_endpoint();
                let endpoint = endpoint.ok_or_else(|| self.no_endpoint_left())?;
                if let Some(placement) = &placement {
                    placement.hold(&endpoint.identity);
                }
                Ok((endpoint, placement))
            }
            Placed::TooLate if self.attempt.may_have_run() => Err(Refusal::OutcomeUnknown),
            Placed::TooLate => Err(Refusal::TooLate),
        }
    }

    /// Selects the endpoint with the lowest cost among those not tried yet.
    fn select_endpoint(&mut self) -> Option<SelectedEndpoint> {
        let query = EndpointQuery {
            warm_endpoint: self.warm.as_ref().map(|warm| &warm.endpoint),
            warm_tokens: self.warm.as_ref().map_or(0, |warm| warm.tokens),
            prompt_tokens: self.prompt_tokens(),
            expected_output_tokens: self.expected_output_tokens(),
            is_turn: self.call.route.kind == RouteKind::Streaming,
            // The engine scheduler places turns by the load. Without it, gateways with the
            // same reports overload a few engines: the programs of a whole day were late.
            ignores_reported_load: self.call.route.kind == RouteKind::Streaming,
            tried: &self.tried_endpoints,
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
        let event = match (chosen.work_time_percent, chosen.expected_time) {
            (Some(percent), Some(expected)) => {
                self.gateway.metrics.observe_work_time(percent);
                self.gateway.metrics.observe(Timing::Expected, expected);
                event.work_time_percent(percent).expected_time(expected)
            }
            _ => event,
        };
        let warm = self.warm.as_ref().map(|warm| &warm.endpoint);
        let is_warm = warm == Some(&chosen.record.identity);
        self.call.request_log.add_step(match is_warm {
            true => event.reason("warm"),
            false => event,
        });
        let identity = chosen.record.identity.clone();
        let address = chosen.record.address;
        self.tried_endpoints.push(identity.clone());
        Some(SelectedEndpoint { identity, address })
    }

    fn prompt_tokens(&self) -> u64 {
        let tokens = self.call.header.tokens;
        tokens.map_or(0, |tokens| tokens.prompt_tokens)
    }

    /// Returns the caller's estimate of the output, which can't exceed the maximum that
    /// the caller sets.
    fn expected_output_tokens(&self) -> Option<u64> {
        let expected = self.call.header.expected_output_tokens?;
        let tokens = self.call.header.tokens;
        Some(tokens.map_or(expected, |tokens| expected.min(tokens.max_output_tokens)))
    }

    /// Returns the number of prompt tokens that are not in the memory of an endpoint.
    pub fn uncached_prompt_tokens(&self, endpoint: &EndpointIdentity) -> u64 {
        let warm = self.warm.as_ref();
        let warm = warm.filter(|warm| warm.endpoint == *endpoint);
        let cached = warm.map_or(0, |warm| warm.tokens);
        self.prompt_tokens().saturating_sub(cached)
    }

    /// Sends the request to an endpoint and receives the head of the response
    /// within the time limit.
    async fn try_endpoint(&self, endpoint: &SelectedEndpoint) -> Result<EndpointResponse, Failure> {
        let in_flight = self.gateway.start_endpoint_request(&endpoint.identity);
        let remaining = self.call.remaining(self.gateway.clock.now());
        let exchanging = self.send_request(endpoint, in_flight);
        let timeout = self.timeout().unwrap_or(remaining);
        let endpoint_response = tokio::time::timeout(remaining.min(timeout), exchanging).await;
        endpoint_response.unwrap_or(Err(match timeout < remaining {
            true => Failure::Stalled,
            false => Failure::TimedOut,
        }))
    }

    /// Sends the request to an endpoint and receives and checks the head of the
    /// response.
    async fn send_request(
        &self,
        endpoint: &SelectedEndpoint,
        in_flight: OpenEndpointRequest,
    ) -> Result<EndpointResponse, Failure> {
        let mut connection = self.connect(endpoint).await?;
        let sent_at = self.gateway.clock.now();
        let request = self.build_request(endpoint, sent_at);
        let response = connection.send(request).await.map_err(connection_failure)?;
        let header = headers::decode_answer(response.headers());
        let elapsed = self.gateway.clock.now().saturating_sub(sent_at);
        let event = Event::new(EventKind::AnswerBegan).endpoint(&endpoint.identity.instance);
        let mut event = event.status(response.status().as_u16()).elapsed(elapsed);
        if header.is_close_delimited {
            event = event.close_delimited();
            self.call.request_log.set_close_delimited();
            self.gateway.metrics.count_close_delimited_answer();
        }
        self.call.request_log.add_step(event);
        self.check_response(&response, &header, endpoint)?;
        if self.call.route.kind == RouteKind::Streaming {
            let now = self.gateway.clock.now();
            let mut admission = self.gateway.admission.borrow_mut();
            admission.record_first_byte(&self.call.service, elapsed, now);
        }
        Ok(EndpointResponse {
            response,
            header,
            connection,
            in_flight,
            placement: None,
            sent_at,
        })
    }

    /// Takes an idle connection from the pool, or opens one.
    async fn connect(&self, endpoint: &SelectedEndpoint) -> Result<Connection, Failure> {
        let now = self.gateway.clock.now();
        let pooled = self.gateway.pool.borrow_mut().take(&endpoint.identity, now);
        match pooled {
            Some(connection) => Ok(connection),
            None => {
                self.gateway.metrics.count_connection();
                Connection::open(endpoint.address)
                    .await
                    .map_err(connection_failure)
            }
        }
    }

    /// Builds the request for an endpoint, with the time that remains before the
    /// deadline.
    fn build_request(&self, endpoint: &SelectedEndpoint, now: Duration) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.call.method.clone();
        // The target was parsed from a request line, so it is a valid URI.
        *request.uri_mut() = self.call.target.parse().unwrap_or_default();
        *request.headers_mut() = self.call.headers.clone();
        let remaining = self.call.remaining(now);
        headers::address_to(
            request.headers_mut(),
            &endpoint.identity.instance,
            remaining,
        );
        if self.call.route.kind == RouteKind::Streaming {
            headers::resume_after(request.headers_mut(), self.last_event);
        }
        request
    }

    /// Checks that a response belongs to this request and may be forwarded to the
    /// caller. Records the load report that it carries.
    fn check_response(
        &self,
        response: &Response<Incoming>,
        header: &AnswerHeader,
        endpoint: &SelectedEndpoint,
    ) -> Result<(), Failure> {
        let now = self.gateway.clock.now();
        let mut directory = self.gateway.directory.borrow_mut();
        if let Some(load) = header.load {
            directory.record_report(&endpoint.identity, load, now);
        }
        let status = response.status().as_u16();
        let is_mismatched = header.attempt.as_ref() != Some(&self.call.header.attempt);
        if is_mismatched && header.attempt.is_some() {
            return Err(Failure::Broken);
        }
        if header.not_run || status == 421 {
            directory.record_rejection(&endpoint.identity, now);
            return Err(Failure::Refused);
        }
        let is_unverified = is_mismatched || header.encoded || !header.stamped;
        if response.status().is_success() && is_unverified {
            return Err(Failure::Broken);
        }
        Ok(())
    }
}

/// Converts a connection error into the failure of the exchange.
fn connection_failure(error: ConnectionError) -> Failure {
    match error {
        ConnectionError::Connect(_) | ConnectionError::NotSent(_) => Failure::NotSent,
        ConnectionError::Broken(_) => Failure::Broken,
    }
}

impl EndpointResponse {
    /// Returns the connection to the pool after the whole body was read.
    pub fn return_connection(
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
