//! Reads a caller's request and determines its route, service and customer.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::Request;
use http::HeaderMap;
use rosebend_coordination::gateway::fingerprint::{
    RequestIdentity, content_fingerprint, exact_fingerprint,
};
use rosebend_coordination::gateway::identity::identify;
use rosebend_coordination::gateway::route_table::{RouteTable, service_for};
use rosebend_platform::headers;
use rosebend_state::deployment::{Customer, Deployment, Route};
use rosebend_transport::clients::{BodyLimits, read_body};
use rosebend_transport::event::{Event, EventKind};

use crate::call::Call;
use crate::gateway::Gateway;
use crate::reply::Refusal;
use crate::request_log::RequestLog;

/// Maximum time for which the body of a request that is refused because of its head is read.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(20);
/// Maximum size of the body of a request that is refused because of its head. The connection
/// is closed if it is longer.
const MAX_DISCARDED_BYTES: usize = 1 << 20;

/// Reads a request. `arrived` is the time of its arrival since the start of the
/// process.
///
/// # Errors
///
/// Returns the reason if the request cannot be served.
pub async fn read(
    gateway: &Gateway,
    mut request: Request,
    headers: &HeaderMap,
    arrived: Duration,
) -> Result<Call, Refusal> {
    // A request that is refused because of its head is refused before its body is read.
    let (routes, max_body_bytes) = match check_head(gateway, &request, headers) {
        Ok(checked) => checked,
        Err(refusal) => {
            // The connection remains usable if the whole body has arrived.
            let limits = BodyLimits {
                max_bytes: MAX_DISCARDED_BYTES,
                copies: 1,
                max_discarded_bytes: 0,
                timeout: DISCARD_TIMEOUT,
            };
            let _ = read_body(&mut request, limits).await;
            return Err(refusal);
        }
    };
    let limits = BodyLimits {
        max_bytes: max_body_bytes,
        copies: 1,
        max_discarded_bytes: max_body_bytes.max(MAX_DISCARDED_BYTES),
        timeout: gateway.settings().clients.body_timeout,
    };
    let body = read_body(&mut request, limits).await?;
    // The routes may have changed while the body was read.
    let routes = gateway.routes().unwrap_or(routes);
    let (route, customer) = find_route_and_customer(gateway, &routes, &request, headers)?;
    let header = headers::decode_call(headers).map_err(Refusal::InvalidHeader)?;
    let host = headers::host(headers).map_err(Refusal::InvalidHeader)?;
    let affinity_key = header
        .program
        .as_ref()
        .map_or(&header.attempt, |program| &program.program);
    let service = service_for(route, affinity_key).clone();
    let time_limit = header.deadline.unwrap_or(route.timeout).min(route.timeout);
    let target = request.uri().path_and_query();
    let target = target.map_or("/", |target| target.as_str()).to_owned();
    let program = header
        .program
        .as_ref()
        .map(|program| program.program.clone());
    let customer_name = customer.as_ref().map(|customer| customer.name.clone());
    let request_log = RequestLog::new(
        header.attempt.clone(),
        program,
        customer_name,
        route.name.clone(),
        gateway.is_exiting(),
    );
    let version = routes.deployment().version;
    request_log.add_step(Event::new(EventKind::RequestArrived).version(version));
    let method = method(&request)?;
    let customer_text = customer.as_ref().map_or("", |customer| &customer.name);
    let content = content_fingerprint(method.as_str(), host, &target, customer_text, &body);
    Ok(Call {
        request_log,
        identity: RequestIdentity {
            content,
            exact: exact_fingerprint(content, &headers::shared_by_attempts(headers)),
        },
        method,
        target,
        headers: for_endpoint(headers, routes.deployment(), customer.as_deref()),
        customer,
        header,
        body,
        route: route.clone(),
        service,
        arrived,
        deadline: arrived + time_limit,
        trials: RefCell::default(),
        has_reached_endpoint: Cell::default(),
        counted_class: Cell::default(),
        admitting_group: RefCell::default(),
    })
}

/// Checks the head of a request, and returns the active routes and the maximum size of its body.
///
/// # Errors
///
/// Returns the reason if the request cannot be served, whatever its body is.
fn check_head(
    gateway: &Gateway,
    request: &Request,
    headers: &HeaderMap,
) -> Result<(Rc<RouteTable>, usize), Refusal> {
    let routes = gateway.routes().ok_or(Refusal::NotReady)?;
    let limits = routes.deployment().limits;
    if head_bytes(request, headers) > limits.max_header_bytes {
        return Err(Refusal::HeadTooLarge);
    }
    find_route_and_customer(gateway, &routes, request, headers)?;
    Ok((routes, limits.max_body_bytes))
}

/// Determines the route of a request and its customer from the head of the request.
///
/// # Errors
///
/// Returns the reason if the request has no route, or has no valid key although one
/// is required.
fn find_route_and_customer<'a>(
    gateway: &Gateway,
    routes: &'a RouteTable,
    request: &Request,
    headers: &HeaderMap,
) -> Result<(&'a Route, Option<Arc<Customer>>), Refusal> {
    let host = headers::host(headers).map_err(Refusal::InvalidHeader)?;
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

/// Returns the headers that are forwarded to an endpoint. If customers are declared,
/// they include the name of the request's customer.
fn for_endpoint(
    headers: &HeaderMap,
    deployment: &Deployment,
    customer: Option<&Customer>,
) -> HeaderMap {
    let mut forwarded = headers::for_endpoint(headers);
    if deployment.customers.is_some() {
        headers::name_customer(&mut forwarded, customer);
    }
    forwarded
}

/// Returns the length of a request's head in bytes, as it is sent in HTTP/1.1.
fn head_bytes(request: &Request, headers: &HeaderMap) -> usize {
    // The request line has two spaces, "HTTP/1.1" and a line end, 12 bytes in total;
    // each field has ": " and a line end.
    let line = request.method().as_str().len() + request.uri().to_string().len() + 12;
    let fields = headers.iter();
    let fields = fields.map(|(name, value)| name.as_str().len() + value.len() + 4);
    line + fields.sum::<usize>()
}

fn method(request: &Request) -> Result<http::Method, Refusal> {
    let method = http::Method::from_bytes(request.method().as_str().as_bytes());
    method.map_err(|_| Refusal::NoRoute)
}

/// Copies headers from the header map of `actix-http`, which uses another version of
/// the `http` crate.
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
