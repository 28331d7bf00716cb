//! Reads a caller's request, and finds its route.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use actix_http::Request;
use actix_http::error::PayloadError;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use http::HeaderMap;
use rosebend_coordination::gateway::fingerprint::fingerprint;
use rosebend_coordination::gateway::identity::identify;
use rosebend_coordination::gateway::route_table::{RouteTable, service_for};
use rosebend_platform::headers;
use rosebend_state::deployment::{Customer, Deployment, Route};
use rosebend_transport::event::{Event, EventKind};

use crate::call::Call;
use crate::gateway::Gateway;
use crate::reply::Refusal;
use crate::trail::Trail;

/// Longest wait for the rest of a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes of an oversized body that are read on and thrown away, so that the
/// caller gets to see the answer.
const MAX_SKIPPED_BYTES: usize = 1 << 20;

/// Reads a request that arrived at a time since the start of the process.
///
/// # Errors
///
/// Says what about it cannot be served.
pub async fn read(
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
    // What the head refuses by itself needs no body.
    place(gateway, &routes, &request, headers)?;
    let body = read_body(&mut request, limits.max_body_bytes).await?;
    // Read the newest routes: the body may have taken a while.
    let routes = gateway.routes().unwrap_or(routes);
    let (route, customer) = place(gateway, &routes, &request, headers)?;
    let caller = request.peer_addr().map(|peer| peer.ip().to_string());
    let caller = caller.unwrap_or_default();
    let header = headers::decode_call(headers).map_err(Refusal::HeaderUnusable)?;
    let host = headers::host(headers).map_err(Refusal::HeaderUnusable)?;
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
    let name = customer.as_ref().map(|customer| customer.name.clone());
    let trail = Trail::new(header.attempt.clone(), program, name, route.name.clone());
    let version = routes.deployment().version;
    trail.step(Event::new(EventKind::RequestArrived).version(version));
    // Equal requests of two customers are not the same one.
    let scope = customer.as_ref().map(|customer| customer.scoped(&caller));
    let caller = scope.unwrap_or(caller);
    Ok(Call {
        trail,
        method: method(&request)?,
        fingerprint: fingerprint(host, &target, &caller, &body),
        target,
        headers: for_endpoint(headers, routes.deployment(), customer.as_deref()),
        customer,
        header,
        body,
        route: route.clone(),
        service,
        arrived,
        deadline: arrived + time,
        counted: Cell::default(),
    })
}

/// The route of a request and its customer, by the head alone.
///
/// # Errors
///
/// Says why there is none.
fn place<'a>(
    gateway: &Gateway,
    routes: &'a RouteTable,
    request: &Request,
    headers: &HeaderMap,
) -> Result<(&'a Route, Option<Arc<Customer>>), Refusal> {
    let host = headers::host(headers).map_err(Refusal::HeaderUnusable)?;
    let route = routes.route(host, request.path());
    let route = route.map_err(|error| gateway.unless_routes_stale(error.into()))?;
    let key = headers::customer_key(headers);
    let customer = identify(routes.deployment(), route, key.as_ref());
    let customer = customer.map_err(|error| gateway.unless_routes_stale(error.into()))?;
    if customer.is_some() && !gateway.are_keys_confirmed() {
        return Err(Refusal::KeysUnconfirmed);
    }
    Ok((route, customer))
}

/// Headers that go on to an endpoint; where customers are declared, with the name of
/// the request's.
fn for_endpoint(
    headers: &HeaderMap,
    deployment: &Deployment,
    customer: Option<&Customer>,
) -> HeaderMap {
    let mut kept = headers::for_endpoint(headers);
    if deployment.customers.is_some() {
        headers::name_customer(&mut kept, customer);
    }
    kept
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
pub fn to_http(from: &actix_http::header::HeaderMap) -> HeaderMap {
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
