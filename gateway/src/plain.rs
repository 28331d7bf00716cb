//! Requests whose answer is whole before it is passed on.

use std::rc::Rc;

use actix_http::Response;
use actix_http::body::BoxBody;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use rosebend_coordination::gateway::attempt::Failure;
use rosebend_platform::headers;

use crate::call::{self, Call};
use crate::exchange::{Exchange, Exchanged};
use crate::gateway::Gateway;
use crate::metrics::Timing;
use crate::reply::{Refusal, Reply};

/// Largest answer that is held before it is passed on.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Answers a plain request.
pub async fn answer(gateway: &Rc<Gateway>, call: &Rc<Call>) -> Response<BoxBody> {
    let mut exchange = Exchange::new(gateway, call, call.body.clone(), None);
    match run(gateway, call, &mut exchange).await {
        Ok(reply) => {
            let elapsed = call.elapsed(gateway.clock.now());
            gateway.metrics.observe(Timing::Request, elapsed);
            reply.into_response()
        }
        Err(refusal) => call::refuse(gateway, call, refusal),
    }
}

async fn run(
    gateway: &Rc<Gateway>,
    call: &Call,
    exchange: &mut Exchange,
) -> Result<Reply, Refusal> {
    loop {
        let exchanged = exchange.next().await?;
        let endpoint = exchanged.at.endpoint.clone();
        match read_whole(gateway, call, exchanged).await {
            Ok(reply) => return Ok(reply),
            Err(failure) => exchange.failed(&endpoint, failure)?,
        }
    }
}

/// Reads the body of an answer and gives the connection back. A body that is
/// cut short is never passed on.
pub async fn read_whole(
    gateway: &Rc<Gateway>,
    call: &Call,
    exchanged: Exchanged,
) -> Result<Reply, Failure> {
    let left = call.remaining(gateway.clock.now());
    let (head, body) = exchanged.response.into_parts();
    let reading = Limited::new(body, MAX_ANSWER_BYTES).collect();
    let body = tokio::time::timeout(left, reading).await;
    let body: Bytes = match body {
        Err(_) => return Err(Failure::TimedOut),
        Ok(Err(_)) => return Err(Failure::Broken),
        Ok(Ok(body)) => body.to_bytes(),
    };
    let endpoint = &exchanged.at.endpoint;
    let now = gateway.clock.now();
    let latency = now.saturating_sub(exchanged.sent);
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
    gateway.crashes.borrow_mut().clear(call.fingerprint);
    Exchanged::keep_connection(gateway, endpoint, exchanged.connection, &exchanged.header);
    Ok(Reply::Forwarded {
        status,
        headers: headers::for_caller(&head.headers),
        body,
    })
}
