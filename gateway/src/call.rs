//! A caller's request: read, decoded, and given to the code for its route.

use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::error::PayloadError;
use actix_http::{HttpMessage, Request, Response};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use http::HeaderMap;
use rosebend_coordination::gateway::fingerprint::{Fingerprint, fingerprint};
use rosebend_coordination::gateway::route_table::service_for;
use rosebend_platform::headers;
use rosebend_state::deployment::{CallHeader, EventId, Route, RouteKind, ServiceName};
use rosebend_transport::event::{Event, EventKind, log_event};

use crate::gateway::Gateway;
use crate::reply::{Refusal, Reply};
use crate::trail::Trail;
use crate::{plain, turn};

/// Longest wait for the rest of a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes of an oversized body that are read on and thrown away, so that the
/// caller gets to see the answer.
const MAX_SKIPPED_BYTES: usize = 1 << 20;

/// A request that is to be served.
#[derive(Debug)]
pub struct Call {
    /// Method in capitals.
    pub method: http::Method,
    /// Path and query, as they came.
    pub target: String,
    /// Headers that go on to an endpoint.
    pub headers: HeaderMap,
    /// What the caller says about the request.
    pub header: CallHeader,
    /// The whole body.
    pub body: Bytes,
    /// The route that it takes.
    pub route: Route,
    /// The service that serves it.
    pub service: ServiceName,
    /// When its head had arrived, since the start of the process.
    pub arrived: Duration,
    /// When its time is up, since the start of the process.
    pub deadline: Duration,
    /// Identifies its content.
    pub fingerprint: Fingerprint,
    /// What is written of it.
    pub trail: Trail,
}

impl Call {
    /// What remains of its time.
    pub fn left(&self, now: Duration) -> Duration {
        self.deadline.saturating_sub(now)
    }

    /// How long it has been here.
    pub fn elapsed(&self, now: Duration) -> Duration {
        now.saturating_sub(self.arrived)
    }

    /// The event after which endpoints are to go on, where the caller resumes a
    /// stream. A turn whose history is kept is made anew from its first event:
    /// its record has to hold all of them.
    pub fn resumes_after(&self) -> Option<EventId> {
        let may_resume = self.route.resumes_streams() && !self.route.keeps_history;
        self.header.last_event.filter(|_| may_resume)
    }

    /// What the request is about, for spreading and affinity.
    pub fn subject(&self) -> &str {
        let program = self.header.program.as_ref();
        program.map_or(&self.header.attempt, |header| &header.program)
    }
}

/// Answers a request of a caller.
pub async fn answer(gateway: Rc<Gateway>, request: Request) -> Response<BoxBody> {
    let _open = gateway.open_request();
    let arrived = gateway.clock.now();
    let headers = to_http(request.headers());
    let response = match read(&gateway, request, &headers, arrived).await {
        Ok(call) => serve(&gateway, call).await,
        Err(refusal) => refuse_unread(&gateway, &headers, refusal, arrived),
    };
    close_if_stopping(&gateway, response)
}

async fn serve(gateway: &Rc<Gateway>, call: Call) -> Response<BoxBody> {
    let now = gateway.clock.now();
    if gateway.crashes.borrow().is_refused(call.fingerprint, now) {
        return refuse(gateway, &call, Refusal::CrashesEndpoints);
    }
    match call.route.kind {
        RouteKind::Streaming => turn::answer(gateway, call).await,
        RouteKind::Idempotent | RouteKind::NonIdempotent => {
            plain::answer(gateway, &Rc::new(call)).await
        }
    }
}

/// Answers a request that cannot be served, of which no more than its headers
/// is known.
fn refuse_unread(
    gateway: &Gateway,
    headers: &HeaderMap,
    refusal: Refusal,
    arrived: Duration,
) -> Response<BoxBody> {
    let elapsed = gateway.clock.now().saturating_sub(arrived);
    let event = Event::new(EventKind::RequestEnded).status(refusal.status());
    let event = event.elapsed(elapsed).reason(refusal.word());
    let event = match refusal {
        Refusal::HeaderUnusable(error) => event.error(&error),
        _ => event,
    };
    log_event(&match headers::decode_attempt(headers) {
        Ok(attempt) => event.attempt(&attempt),
        Err(_) => event,
    });
    gateway.metrics.count_refusal(refusal.word());
    Reply::Problem(refusal).into_response()
}

/// Answers a call that no endpoint answered.
pub fn refuse(gateway: &Gateway, call: &Call, refusal: Refusal) -> Response<BoxBody> {
    let elapsed = call.elapsed(gateway.clock.now());
    call.trail.ended(refusal.word(), refusal.status(), elapsed);
    gateway.metrics.count_refusal(refusal.word());
    gateway.metrics.count_request(call.route.kind, "refused");
    Reply::Problem(refusal).into_response()
}

/// A process that stops takes no further request on a connection.
fn close_if_stopping(gateway: &Gateway, mut response: Response<BoxBody>) -> Response<BoxBody> {
    if gateway.is_stopping() {
        response
            .head_mut()
            .set_connection_type(actix_http::ConnectionType::Close);
    }
    response
}

async fn read(
    gateway: &Gateway,
    mut request: Request,
    headers: &HeaderMap,
    arrived: Duration,
) -> Result<Call, Refusal> {
    let routes = gateway.routes().ok_or(Refusal::NotReady)?;
    let limits = routes.deployment().limits;
    if head_bytes(&request, headers) > limits.max_header_bytes {
        return Err(Refusal::HeadTooLarge);
    }
    let body = read_body(&mut request, limits.max_body_bytes).await?;
    // Read the newest routes: the body may have taken a while.
    let routes = gateway.routes().unwrap_or(routes);
    let caller = request.peer_addr().map(|peer| peer.ip().to_string());
    let caller = caller.unwrap_or_default();
    let header = headers::decode_call(headers).map_err(Refusal::HeaderUnusable)?;
    let host = headers::host(headers).map_err(Refusal::HeaderUnusable)?;
    let route = routes.route(host, request.path()).map_err(Refusal::from)?;
    let subject = header
        .program
        .as_ref()
        .map_or(&header.attempt, |program| &program.program);
    let service = service_for(route, subject).clone();
    let time = header.deadline.unwrap_or(route.timeout).min(route.timeout);
    let target = request.uri().path_and_query();
    let target = target.map_or("/", |target| target.as_str()).to_owned();
    let program = header
        .program
        .as_ref()
        .map(|program| program.program.clone());
    let trail = Trail::new(header.attempt.clone(), program, route.name.clone());
    let version = routes.deployment().version;
    trail.step(Event::new(EventKind::RequestArrived).version(version));
    Ok(Call {
        trail,
        method: method(&request)?,
        fingerprint: fingerprint(host, &target, &caller, &body),
        target,
        headers: headers::for_endpoint(headers),
        header,
        body,
        route: route.clone(),
        service,
        arrived,
        deadline: arrived + time,
    })
}

/// Bytes of a request's head, as they would be written.
fn head_bytes(request: &Request, headers: &HeaderMap) -> usize {
    // " HTTP/1.1" with its space and line end, and ": " with a line end each.
    let line = request.method().as_str().len() + request.uri().to_string().len() + 12;
    let fields = headers.iter();
    let fields = fields.map(|(name, value)| name.as_str().len() + value.len() + 4);
    line + fields.sum::<usize>()
}

fn method(request: &Request) -> Result<http::Method, Refusal> {
    let method = http::Method::from_bytes(request.method().as_str().as_bytes());
    method.map_err(|_| Refusal::NoRoute)
}

async fn read_body(request: &mut Request, max_bytes: usize) -> Result<Bytes, Refusal> {
    let reading = tokio::time::timeout(BODY_TIMEOUT, collect_body(request, max_bytes));
    reading.await.map_err(|_| Refusal::BodyTimeout)?
}

async fn collect_body(request: &mut Request, max_bytes: usize) -> Result<Bytes, Refusal> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    let mut skipped_bytes = 0;
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_: PayloadError| Refusal::BodyCutShort)?;
        if skipped_bytes == 0 && body.len() + chunk.len() <= max_bytes {
            body.extend_from_slice(&chunk);
            continue;
        }
        skipped_bytes += chunk.len();
        if skipped_bytes > MAX_SKIPPED_BYTES {
            break;
        }
    }
    match skipped_bytes {
        0 => Ok(body.freeze()),
        _ => Err(Refusal::BodyTooLarge),
    }
}

/// Copies headers from the server's own type; the two libraries use different
/// versions of it.
fn to_http(from: &actix_http::header::HeaderMap) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(from.len());
    for (name, value) in from {
        let name = http::HeaderName::from_bytes(name.as_str().as_bytes());
        let value = http::HeaderValue::from_bytes(value.as_bytes());
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    headers
}
