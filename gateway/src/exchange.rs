//! Sends a request to one endpoint after another, as its route allows, until one responds.
//!
//! A request that may run at another endpoint is sent to one if its endpoint is silent. The
//! silent endpoint keeps the request until the other one has accepted it, so that silence
//! alone never ends an answer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rosebend_coordination::gateway::admission::cannot_end_in_time;
use rosebend_coordination::gateway::attempt::{Attempt, Failure, NextStep};
use rosebend_coordination::gateway::directory::EndpointQuery;
use rosebend_state::deployment::{EndpointIdentity, EventId, RouteKind};
use rosebend_transport::clock::whole_ms;
use rosebend_transport::event::{Event, EventKind, log_event};

use crate::call::Call;
use crate::endpoint_request::{EndpointRequest, EndpointResponse, PendingRequest};
use crate::engine_scheduling::{self, Placed, Placement};
use crate::gateway::Gateway;
use crate::metrics::Timing;
use crate::quarantine;
use crate::reply::Refusal;
use crate::runs::Run;

/// Time within which an endpoint refuses a request for which it has no room. One that has not
/// refused it by then has accepted it, and may begin to run it at any time. Two endpoints may
/// work on one request for 400 ms at most, and a silent one is stopped after at most twice
/// this time.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(100);

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

/// A request whose endpoint has been silent for the idle timeout.
#[derive(Debug)]
pub enum SilentRun<'a> {
    /// The head of the response has not arrived.
    Request(&'a mut PendingRequest),
    /// A part of the stream has arrived.
    Stream(&'a mut Run),
}

impl SilentRun<'_> {
    /// Waits until the endpoint responds or fails. Dropping the future loses nothing.
    async fn wait(&mut self) {
        match self {
            Self::Request(request) => request.wait().await,
            Self::Stream(run) => run.wait().await,
        }
    }

    /// Closes the connection, which stops the work of the endpoint.
    fn stop(&mut self) {
        match self {
            Self::Request(request) => request.cancel(),
            Self::Stream(run) => run.stop(),
        }
    }
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
    /// Endpoints among them that did not run the call.
    refused_endpoints: Vec<EndpointIdentity>,
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
            refused_endpoints: Vec::new(),
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
            let mut request = self.request(endpoint, placement);
            let failure = loop {
                match self.response_within_timeout(&mut request).await {
                    Ok(response) => return Ok(response),
                    Err(Failure::Stalled) => {}
                    Err(failure) => break failure,
                }
                let endpoint = request.endpoint.clone();
                let silent = SilentRun::Request(&mut request);
                if let Some(response) = self.replace_silent(&endpoint, silent).await? {
                    return Ok(response);
                }
            };
            self.handle_failure(&request.endpoint, failure)?;
        }
    }

    fn request(&self, endpoint: SelectedEndpoint, placement: Option<Placement>) -> PendingRequest {
        let (gateway, call) = (&self.gateway, &self.call);
        self.report_sent_again(&endpoint.identity);
        let body = self.body.clone();
        let request = EndpointRequest::new(gateway, call, body, self.last_event, endpoint);
        PendingRequest::new(request, placement)
    }

    /// Counts and logs a request that is sent to an endpoint although it may have run before.
    fn report_sent_again(&self, endpoint: &EndpointIdentity) {
        let identity = self.call.identity;
        let runs = u64::from(self.attempt.possible_runs());
        let crashes = self.gateway.quarantine.crash_count(identity) as u64;
        let (reason, count) = match (runs, crashes) {
            (0, 0) => return,
            (0, crashes) => ("crashes", crashes),
            (runs, _) => ("attempt", runs),
        };
        self.gateway.metrics.count_request_sent_again(reason);
        let event = Event::new(EventKind::RequestSentAgain).endpoint(&endpoint.instance);
        let event = event.attempt(&self.call.header.attempt).count(count);
        let event = event.reason(reason).content(identity.content);
        log_event(&event.fingerprint(identity.exact));
    }

    /// Waits for a response within the idle timeout, if there is one, and the deadline.
    async fn response_within_timeout(
        &self,
        request: &mut PendingRequest,
    ) -> Result<EndpointResponse, Failure> {
        let remaining = self.call.remaining(self.gateway.clock.now());
        let timeout = self.timeout().unwrap_or(remaining);
        let response = tokio::time::timeout(remaining.min(timeout), request.response()).await;
        response.unwrap_or(Err(match timeout < remaining {
            true => Failure::Stalled,
            false => Failure::TimedOut,
        }))
    }

    /// Sends the request to other endpoints in place of one that has been silent for the idle
    /// timeout, and stops the silent one as soon as another has accepted the request. Returns
    /// `None` if the silent endpoint is to be waited for, because no other accepts the request
    /// or because it is no longer silent.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller if an endpoint that had accepted the request failed
    /// and no further endpoint may be tried.
    pub async fn replace_silent(
        &mut self,
        endpoint: &EndpointIdentity,
        mut silent: SilentRun<'_>,
    ) -> Result<Option<EndpointResponse>, Refusal> {
        let mut is_stopped = false;
        let mut step = self.handle_failure(endpoint, Failure::Stalled);
        // Endpoints that refused the request before may have room now.
        let refused = std::mem::take(&mut self.refused_endpoints);
        self.tried_endpoints
            .retain(|tried| !refused.contains(tried));
        loop {
            let placed = match step {
                Err(refusal) => Err(refusal),
                Ok(()) if is_stopped => self.place().await,
                Ok(()) => tokio::select! {
                    biased;
                    // No other endpoint is needed.
                    () = silent.wait() => Err(Refusal::NoEndpointAvailable),
                    placed = self.place() => placed,
                },
            };
            let (endpoint, placement) = match placed {
                Ok(placed) => placed,
                Err(refusal) if is_stopped => return Err(refusal),
                Err(_) => {
                    self.attempt.keep_silent_run();
                    return Ok(None);
                }
            };
            let mut request = self.request(endpoint, placement);
            if !is_stopped && !is_answered_soon(&mut request).await {
                // Only one endpoint may work on the request.
                silent.stop();
                is_stopped = true;
            }
            match self.response_before_deadline(&mut request).await {
                Ok(response) => {
                    silent.stop();
                    return Ok(Some(response));
                }
                Err(failure) => {
                    if failure.may_have_run() {
                        silent.stop();
                        is_stopped = true;
                    }
                    step = self.handle_failure(&request.endpoint, failure);
                }
            }
        }
    }

    async fn response_before_deadline(
        &self,
        request: &mut PendingRequest,
    ) -> Result<EndpointResponse, Failure> {
        let remaining = self.call.remaining(self.gateway.clock.now());
        let response = tokio::time::timeout(remaining, request.response()).await;
        response.unwrap_or(Err(Failure::TimedOut))
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
        let now = self.gateway.clock.now();
        let remaining = self.call.remaining(now);
        self.report_failure(endpoint, failure, now);
        if !failure.may_have_run() {
            self.refused_endpoints.push(endpoint.clone());
        }
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
            .reason(failure.as_str())
            .content(self.call.identity.content)
            .fingerprint(self.call.identity.exact);
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
        let placed = self.select_or_wait().await?;
        // The request may have waited for a slot, and have crashed endpoints meanwhile.
        let may_have_run = self.attempt.may_have_run();
        match quarantine::may_be_sent(&self.gateway, &self.call, may_have_run) {
            true => Ok(placed),
            false if may_have_run => Err(Refusal::OutcomeUnknown),
            false => Err(Refusal::CrashesEndpoints),
        }
    }

    async fn select_or_wait(&mut self) -> Result<(SelectedEndpoint, Option<Placement>), Refusal> {
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
}

/// Returns whether a request was answered or failed within the time in which endpoints refuse
/// requests. The time to connect does not count.
async fn is_answered_soon(request: &mut PendingRequest) -> bool {
    loop {
        let was_sent = request.is_sent();
        let answered = tokio::time::timeout(REFUSAL_TIMEOUT, request.wait()).await;
        if answered.is_ok() || was_sent {
            return answered.is_ok();
        }
    }
}
