//! Sends a call to one endpoint and receives the head of the response.

use std::cell::Cell;
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use rosebend_coordination::gateway::attempt::Failure;
use rosebend_platform::headers::{self, AnswerHeader};
use rosebend_state::deployment::{EndpointIdentity, EventId, RouteKind};
use rosebend_transport::connection::{Connection, ConnectionError};
use rosebend_transport::event::{Event, EventKind};

use crate::call::Call;
use crate::engine_scheduling::Placement;
use crate::exchange::SelectedEndpoint;
use crate::gateway::{Gateway, OpenEndpointRequest};
use crate::quarantine::{self, Suspicion};

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

/// A request to an endpoint that is not sent yet.
#[derive(Debug)]
pub struct EndpointRequest {
    gateway: Rc<Gateway>,
    call: Rc<Call>,
    body: Bytes,
    last_event: Option<EventId>,
    endpoint: SelectedEndpoint,
    in_flight: OpenEndpointRequest,
    /// Whether a connection was established and the request was written to it.
    is_sent: Rc<Cell<bool>>,
}

/// A request to an endpoint while its response is waited for. It is sent with the first wait.
pub struct PendingRequest {
    /// Endpoint that received the request.
    pub endpoint: EndpointIdentity,
    /// Slot that an engine scheduler assigned to the turn.
    placement: Option<Placement>,
    /// Whether a connection was established and the request was written to it.
    is_sent: Rc<Cell<bool>>,
    state: PendingState,
}

enum PendingState {
    /// The future sends the request when it is first polled.
    Waiting(Pin<Box<dyn Future<Output = Result<EndpointResponse, Failure>>>>),
    Arrived(Box<Result<EndpointResponse, Failure>>),
    Cancelled,
}

impl PendingRequest {
    /// Creates a request that is not sent yet.
    pub fn new(request: EndpointRequest, placement: Option<Placement>) -> Self {
        Self {
            endpoint: request.endpoint.identity.clone(),
            placement,
            is_sent: Rc::clone(&request.is_sent),
            state: PendingState::Waiting(Box::pin(request.send())),
        }
    }

    /// Returns whether the request was written to a connection.
    pub fn is_sent(&self) -> bool {
        self.is_sent.get()
    }

    /// Waits until the endpoint has responded or failed. Dropping the future loses nothing.
    pub async fn wait(&mut self) {
        if let PendingState::Waiting(response) = &mut self.state {
            self.state = PendingState::Arrived(Box::new(response.await));
        }
    }

    /// Waits for the head of the response. Dropping the future loses nothing.
    ///
    /// # Errors
    ///
    /// Returns the failure of the endpoint.
    pub async fn response(&mut self) -> Result<EndpointResponse, Failure> {
        self.wait().await;
        match std::mem::replace(&mut self.state, PendingState::Cancelled) {
            PendingState::Arrived(response) => {
                let mut response = (*response)?;
                response.placement = self.placement.take();
                Ok(response)
            }
            // A request that was cancelled has no response.
            PendingState::Waiting(_) | PendingState::Cancelled => Err(Failure::NotSent),
        }
    }

    /// Closes the connection, which stops the work of the endpoint, and releases the slot.
    pub fn cancel(&mut self) {
        self.state = PendingState::Cancelled;
        self.placement = None;
    }
}

impl fmt::Debug for PendingRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PendingRequest")
            .field("endpoint", &self.endpoint)
            .field("is_sent", &self.is_sent)
            .finish_non_exhaustive()
    }
}

impl EndpointRequest {
    /// Creates the request of a call to an endpoint. `last_event` is the last event of the
    /// stream that the caller has, after which the endpoint resumes it.
    pub fn new(
        gateway: &Rc<Gateway>,
        call: &Rc<Call>,
        body: Bytes,
        last_event: Option<EventId>,
        endpoint: SelectedEndpoint,
    ) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            call: Rc::clone(call),
            body,
            last_event,
            in_flight: gateway.start_endpoint_request(&endpoint.identity),
            endpoint,
            is_sent: Rc::default(),
        }
    }

    /// Sends the request and receives and checks the head of the response.
    async fn send(self) -> Result<EndpointResponse, Failure> {
        let endpoint = &self.endpoint;
        let mut connection = self.connect().await?;
        let sent_at = self.gateway.clock.now();
        let connection_age = connection.age();
        let request = self.build_request(sent_at);
        self.is_sent.set(true);
        self.call.has_reached_endpoint.set(true);
        self.in_flight.set_sent(self.suspicion(sent_at));
        let response = connection.send(request).await;
        let response = response.map_err(|error| self.failed(connection_failure(error)))?;
        self.in_flight.set_active();
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
        let checked = self.check_response(&response, &header);
        checked.map_err(|failure| self.failed(failure))?;
        let opened_at = sent_at.saturating_sub(connection_age);
        quarantine::record_answer(&self.gateway, &endpoint.identity, opened_at, sent_at);
        if self.call.route.kind == RouteKind::Streaming {
            let now = self.gateway.clock.now();
            let mut admission = self.gateway.admission.borrow_mut();
            admission.record_first_byte(&self.call.service, elapsed, now);
        }
        Ok(EndpointResponse {
            response,
            header,
            connection,
            in_flight: self.in_flight,
            placement: None,
            sent_at,
        })
    }

    /// Takes an idle connection from the pool, or opens one.
    async fn connect(&self) -> Result<Connection, Failure> {
        let endpoint = &self.endpoint;
        let now = self.gateway.clock.now();
        let pooled = self.gateway.pool.borrow_mut().take(&endpoint.identity, now);
        match pooled {
            Some(connection) => Ok(connection),
            None => {
                self.gateway.metrics.count_connection();
                let opened = Connection::open(endpoint.address).await;
                if opened.as_ref().is_err_and(ConnectionError::is_refused) {
                    quarantine::record_refused_connection(&self.gateway, &endpoint.identity);
                }
                if opened.is_ok() {
                    quarantine::record_contact(&self.gateway, &endpoint.identity);
                }
                opened.map_err(connection_failure)
            }
        }
    }

    /// Records how the exchange failed, and returns the failure.
    fn failed(&self, failure: Failure) -> Failure {
        self.in_flight.set_failed(failure);
        failure
    }

    /// Returns the suspicion that the request crashes the endpoint.
    fn suspicion(&self, sent_at: Duration) -> Suspicion {
        let routes = self.gateway.routes();
        let service = routes
            .as_ref()
            .and_then(|routes| routes.deployment().services.get(&self.call.service));
        let request = self.call.identity;
        let quarantine = &self.gateway.quarantine;
        Suspicion {
            request,
            attempt: self.call.header.attempt.clone(),
            admission: quarantine.admission(&self.call),
            crashes: quarantine.crash_count(request),
            address: self.endpoint.address,
            health_path: service.map_or_else(String::new, |service| service.health_path.clone()),
            active_at: sent_at,
            failure: None,
        }
    }

    /// Builds the request, with the time that remains before the deadline.
    fn build_request(&self, now: Duration) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.call.method.clone();
        // The target was parsed from a request line, so it is a valid URI.
        *request.uri_mut() = self.call.target.parse().unwrap_or_default();
        *request.headers_mut() = self.call.headers.clone();
        let remaining = self.call.remaining(now);
        headers::address_to(
            request.headers_mut(),
            &self.endpoint.identity.instance,
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
    ) -> Result<(), Failure> {
        let endpoint = &self.endpoint;
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
        ConnectionError::Broken(_) | ConnectionError::UndefinedStatus(_) => Failure::Broken,
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
