//! A caller's request that was read and found its route: what everything that
//! serves it works on.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use actix_http::Response;
use actix_http::body::BoxBody;
use bytes::Bytes;
use http::HeaderMap;
use rosebend_coordination::gateway::admission::Urgency;
use rosebend_coordination::gateway::fingerprint::Fingerprint;
use rosebend_coordination::gateway::limits::local_quota::RequestClass;
use rosebend_protocol::problem::Ran;
use rosebend_state::deployment::{
    AttemptId, CallHeader, Customer, EventId, ProgramHeader, Route, ServiceName,
};

use crate::gateway::Gateway;
use crate::limits;
use crate::reply::{Refusal, Reply};
use crate::request_log::RequestLog;

/// A request that is to be served.
#[derive(Debug)]
pub struct Call {
    /// Method in capitals.
    pub method: http::Method,
    /// Path and query, as they came.
    pub target: String,
    /// Headers that go on to an endpoint.
    pub headers: HeaderMap,
    /// Whose request it is; none where no key is wanted.
    pub customer: Option<Arc<Customer>>,
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
    /// What it counts for in its customer's limit, once it does.
    pub counted: Cell<Option<RequestClass>>,
    /// What is written of it.
    pub request_log: RequestLog,
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

    /// How urgent the request is.
    pub fn urgency(&self) -> Urgency {
        let customer = self.customer.as_ref();
        let customer_rank = customer.and_then(|customer| customer.priority);
        Urgency::new(customer_rank, self.route.priority)
    }

    /// The request's program, with ids that no other customer's callers can name.
    pub fn program(&self) -> Option<ProgramHeader> {
        let program = self.header.program.as_ref()?;
        Some(ProgramHeader {
            program: self.scoped(&program.program),
            previous: program.previous.as_ref().map(|turn| self.scoped(turn)),
            ..program.clone()
        })
    }

    /// The turn that the request is, as it is kept: an id that no other
    /// customer's callers can name.
    pub fn turn(&self) -> AttemptId {
        self.scoped(&self.header.attempt)
    }

    fn scoped(&self, id: &str) -> String {
        match &self.customer {
            Some(customer) => customer.scoped(id),
            None => id.to_owned(),
        }
    }

    /// Whether the request begins a program, as far as that can be told: where no
    /// history is kept, nothing tells a program's first turn from its others.
    pub fn begins_program(&self) -> bool {
        let program = self.header.program.as_ref();
        let is_first = program.is_some_and(|program| program.previous.is_none());
        is_first && self.route.keeps_history
    }

    /// What the request is about, for spreading and affinity.
    pub fn subject(&self) -> &str {
        let program = self.header.program.as_ref();
        program.map_or(&self.header.attempt, |header| &header.program)
    }
}

/// Answers a call that no endpoint answered.
pub fn refuse(gateway: &Gateway, call: &Call, refusal: Refusal) -> Response<BoxBody> {
    if refusal.ran() == Ran::No {
        limits::give_back(gateway, call);
    }
    let elapsed = call.elapsed(gateway.clock.now());
    call.request_log
        .record_ended(refusal.word(), refusal.status(), elapsed);
    gateway.metrics.count_refusal(refusal.word());
    gateway.metrics.count_request(call.route.kind, "refused");
    Reply::Problem(refusal).into_response()
}
