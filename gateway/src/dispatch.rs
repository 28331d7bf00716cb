//! Reads each request of a caller, passes it to the code that serves its route, and
//! responds to it.

use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BoxBody, MessageBody};
use actix_http::{HttpMessage, Request, Response, Version};
use futures_util::stream::poll_fn;
use http::HeaderMap;
use rosebend_platform::headers;
use rosebend_state::deployment::RouteKind;
use rosebend_transport::event::{Event, EventKind, log_event};

use crate::call::{Call, refuse};
use crate::gateway::Gateway;
use crate::reply::{Refusal, Reply};
use crate::{intake, limits, plain, quarantine, turn};

/// Maximum size of a body that is held in memory until it is complete.
const MAX_WHOLE_BYTES: usize = 8 << 20;

/// Serves a request of a caller.
pub async fn handle_request(gateway: Rc<Gateway>, request: Request) -> Response<BoxBody> {
    let _open = gateway.open_request();
    let arrived = gateway.clock.now();
    let accepts_chunks = request.version() >= Version::HTTP_11;
    let response = async {
        let headers = intake::to_http(request.headers());
        let response = match intake::read(&gateway, request, &headers, arrived).await {
            Ok(call) => serve(&gateway, call).await,
            Err(refusal) => refuse_without_call(&gateway, &headers, refusal, arrived),
        };
        match accepts_chunks {
            true => response,
            false => with_whole_body(&gateway, response).await,
        }
    };
    let response = tokio::select! {
        biased;
        response = response => response,
        // The request may have run. The drop of its log records why it ended.
        () = gateway.until_exiting() => Reply::Problem(Refusal::OutcomeUnknown).into_response(),
    };
    close_if_stopping(&gateway, response)
}

/// Receives the whole body of a response, so that it is sent with its length. A caller that
/// does not accept chunks can't tell otherwise whether a streamed body is complete.
async fn with_whole_body(gateway: &Gateway, response: Response<BoxBody>) -> Response<BoxBody> {
    let (response, mut body) = response.into_parts();
    let parts = poll_fn(|context| Pin::new(&mut body).poll_next(context));
    match gateway
        .response_bodies
        .collect(parts, MAX_WHOLE_BYTES)
        .await
    {
        Ok(bytes) => response.set_body(bytes.boxed()),
        // The stream has logged and counted its failure.
        Err(_) => Reply::Problem(Refusal::OutcomeUnknown).into_response(),
    }
}

/// Serves a call, unless the process stops, or the call crashes endpoints or exceeds a limit of
/// its customer.
async fn serve(gateway: &Rc<Gateway>, call: Call) -> Response<BoxBody> {
    if gateway.may_stop_before(call.deadline) {
        return refuse(gateway, &call, Refusal::Stopping);
    }
    // Before it has read the table of crashes, a host may let through what others refuse.
    if !gateway.quarantine.has_read_table() {
        return refuse(gateway, &call, Refusal::NotReady);
    }
    if let Err(refusal) = quarantine::admit(gateway, &call).await {
        return refuse(gateway, &call, refusal);
    }
    if let Err(refusal) = limits::admit(gateway, &call).await {
        return refuse(gateway, &call, refusal);
    }
    match call.route.kind {
        RouteKind::Streaming => turn::answer(gateway, call).await,
        RouteKind::Idempotent | RouteKind::NonIdempotent => {
            plain::handle(gateway, &Rc::new(call)).await
        }
    }
}

/// Refuses a request for which no [`Call`] could be created, so that only its
/// headers are available.
fn refuse_without_call(
    gateway: &Gateway,
    headers: &HeaderMap,
    refusal: Refusal,
    arrived: Duration,
) -> Response<BoxBody> {
    let elapsed = gateway.clock.now().saturating_sub(arrived);
    let event = Event::new(EventKind::RequestEnded).status(refusal.status());
    let event = event.elapsed(elapsed).reason(refusal.as_str());
    let event = match refusal {
        Refusal::InvalidHeader(error) => event.error(&error),
        _ => event,
    };
    log_event(&match headers::decode_attempt(headers) {
        Ok(attempt) => event.attempt(&attempt),
        Err(_) => event,
    });
    gateway.metrics.count_refusal(refusal.as_str());
    Reply::Problem(refusal).into_response()
}

/// Closes the connection after the response if the process is stopping, so that no
/// further request arrives on it.
fn close_if_stopping(gateway: &Gateway, mut response: Response<BoxBody>) -> Response<BoxBody> {
    if gateway.is_stopping() {
        response
            .head_mut()
            .set_connection_type(actix_http::ConnectionType::Close);
    }
    response
}
