//! Serves requests that are not turns of programs. The response is read completely
//! before it is forwarded, so an incomplete one is never forwarded.

use std::rc::Rc;

use actix_http::Response;
use actix_http::body::BoxBody;
use bytes::Bytes;
use rosebend_coordination::gateway::attempt::Failure;
use rosebend_platform::headers;

use crate::call::{self, Call};
use crate::endpoint_request::EndpointResponse;
use crate::exchange::Exchange;
use crate::gateway::Gateway;
use crate::metrics::Timing;
use crate::quarantine;
use crate::reply::{Refusal, Reply};

/// Maximum size of a response body, which is held in memory until it is complete.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Serves a request that is not a turn of a program.
pub async fn handle(gateway: &Rc<Gateway>, call: &Rc<Call>) -> Response<BoxBody> {
    let mut exchange = Exchange::new(gateway, call, call.body.clone(), None);
    match fetch_response(gateway, call, &mut exchange).await {
        Ok(reply) => {
            let elapsed = call.elapsed(gateway.clock.now());
            gateway.metrics.observe(Timing::Request, elapsed);
            reply.into_response()
        }
        Err(refusal) => call::refuse(gateway, call, refusal),
    }
}

/// Sends the request to endpoints until one of them responds completely.
async fn fetch_response(
    gateway: &Rc<Gateway>,
    call: &Call,
    exchange: &mut Exchange,
) -> Result<Reply, Refusal> {
    loop {
        let endpoint_response = exchange.next().await?;
        let endpoint = endpoint_response.in_flight.endpoint.clone();
        match read_response(gateway, call, endpoint_response).await {
            Ok(reply) => return Ok(reply),
            Err(failure) => exchange.handle_failure(&endpoint, failure)?,
        }
    }
}

/// Reads the body of a response and returns the connection to the pool. Fails if
/// the body is incomplete or too large, or if the deadline passes.
pub async fn read_response(
    gateway: &Rc<Gateway>,
    call: &Call,
    endpoint_response: EndpointResponse,
) -> Result<Reply, Failure> {
    let remaining = call.remaining(gateway.clock.now());
    let (head, body) = endpoint_response.response.into_parts();
    let reading = gateway.response_bodies.read(body, MAX_RESPONSE_BYTES);
    let body = tokio::time::timeout(remaining, reading).await;
    let body: Result<Bytes, Failure> = match body {
        Err(_) => Err(Failure::TimedOut),
        Ok(Err(_)) => Err(Failure::Broken),
        Ok(Ok(body)) => Ok(body),
    };
    let body = body.inspect_err(|failure| endpoint_response.in_flight.set_failed(*failure))?;
    let endpoint = &endpoint_response.in_flight.endpoint;
    let now = gateway.clock.now();
    let latency = now.saturating_sub(endpoint_response.sent_at);
    gateway
        .directory
        .borrow_mut()
        .record_response(endpoint, Some(latency), now);
    let status = head.status.as_u16();
    let elapsed = call.elapsed(gateway.clock.now());
    let in_time = elapsed <= call.route.objective;
    call.request_log
        .record_served(&endpoint.instance, status, elapsed, in_time);
    gateway.metrics.count_request(call.route.kind, "answered");
    endpoint_response.in_flight.set_answered();
    // Something in front of the endpoint may have answered in its place.
    if endpoint_response.header.stamped {
        quarantine::clear(gateway, call, endpoint, status);
    }
    EndpointResponse::return_connection(
        gateway,
        endpoint,
        endpoint_response.connection,
        &endpoint_response.header,
    );
    Ok(Reply::Forwarded {
        status,
        headers: headers::for_caller(&head.headers),
        body,
    })
}
