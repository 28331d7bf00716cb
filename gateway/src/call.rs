//! A caller's request that was read and found its route: what everything that
//! serves it works on.

use std::time::Duration;

use actix_http::Response;
use actix_http::body::BoxBody;
use bytes::Bytes;
use http::HeaderMap;
use rosebend_coordination::gateway::fingerprint::Fingerprint;
use rosebend_state::deployment::{CallHeader, EventId, Route, ServiceName};

use crate::gateway::Gateway;
use crate::reply::{Refusal, Reply};
use crate::trail::Trail;

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

/// Answers a call that no endpoint answered.
pub fn refuse(gateway: &Gateway, call: &Call, refusal: Refusal) -> Response<BoxBody> {
    let elapsed = call.elapsed(gateway.clock.now());
    call.trail.ended(refusal.word(), refusal.status(), elapsed);
    gateway.metrics.count_refusal(refusal.word());
    gateway.metrics.count_request(call.route.kind, "refused");
    Reply::Problem(refusal).into_response()
}
