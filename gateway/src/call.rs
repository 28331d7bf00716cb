//! A caller's request after it was read and assigned to a route. All modules that
//! serve the request share it.

use std::cell::{Cell, RefCell};
use std::sync::Arc;
use std::time::Duration;

use actix_http::Response;
use actix_http::body::BoxBody;
use bytes::Bytes;
use http::HeaderMap;
use rosebend_coordination::gateway::admission::Urgency;
use rosebend_coordination::gateway::engine_scheduler::message::GroupId;
use rosebend_coordination::gateway::fingerprint::{EvidenceKey, RequestIdentity};
use rosebend_coordination::gateway::limits::local_quota::RequestClass;
use rosebend_protocol::problem::Ran;
use rosebend_state::deployment::{
    AttemptId, CallHeader, Customer, EventId, ProgramHeader, Route, ServiceName,
};

use crate::gateway::Gateway;
use crate::limits;
use crate::quarantine;
use crate::reply::{Refusal, Reply};
use crate::request_log::RequestLog;

/// A request to be served, with its route, service and customer.
#[derive(Debug)]
pub struct Call {
    /// Method, in upper case.
    pub method: http::Method,
    /// Path and query as the caller sent them.
    pub target: String,
    /// Headers that are forwarded to an endpoint.
    pub headers: HeaderMap,
    /// Customer that sent the request, or none if no key is required.
    pub customer: Option<Arc<Customer>>,
    /// Values that the caller gave in the protocol's headers.
    pub header: CallHeader,
    /// Complete body.
    pub body: Bytes,
    /// Route of the request.
    pub route: Route,
    /// Service whose endpoints serve the request.
    pub service: ServiceName,
    /// Time since the start of the process when the request's head had arrived.
    pub arrived: Duration,
    /// Deadline, as time since the start of the process.
    pub deadline: Duration,
    /// Fingerprints under which crashes of the request count.
    pub identity: RequestIdentity,
    /// Trials that this request is, if it has crashed endpoints.
    pub trials: RefCell<Vec<EvidenceKey>>,
    /// Whether the request was written to a connection to an endpoint.
    pub has_reached_endpoint: Cell<bool>,
    /// Class under which the request is counted against its customer's limit, or none
    /// if it is not counted.
    pub counted_class: Cell<Option<RequestClass>>,
    /// Group of engines whose scheduler admitted the program that the request starts, if
    /// any.
    pub admitting_group: RefCell<Option<GroupId>>,
    /// Log of the request's steps.
    pub request_log: RequestLog,
}

impl Call {
    /// Returns the time remaining before the deadline.
    pub fn remaining(&self, now: Duration) -> Duration {
        self.deadline.saturating_sub(now)
    }

    /// Returns the time since the request arrived.
    pub fn elapsed(&self, now: Duration) -> Duration {
        now.saturating_sub(self.arrived)
    }

    /// Returns the event after which endpoints resume the stream, if the caller
    /// requests that. A turn whose history is kept is generated again from its first
    /// event, because its record has to contain all events.
    pub fn resumes_after(&self) -> Option<EventId> {
        let may_resume = self.route.resumes_streams() && !self.route.keeps_history;
        self.header.last_event.filter(|_| may_resume)
    }

    /// Returns the urgency of the request.
    pub fn urgency(&self) -> Urgency {
        let customer = self.customer.as_ref();
        let customer_priority = customer.and_then(|customer| customer.priority);
        Urgency::new(customer_priority, self.route.priority)
    }

    /// Returns the request's program, with ids that are scoped to the customer, so that
    /// callers of other customers cannot refer to them.
    pub fn program(&self) -> Option<ProgramHeader> {
        let program = self.header.program.as_ref()?;
        Some(ProgramHeader {
            program: self.scoped(&program.program),
            previous: program.previous.as_ref().map(|turn| self.scoped(turn)),
            ..program.clone()
        })
    }

    /// Returns the id under which the request is stored as a turn. The id is scoped
    /// to the customer, so that callers of other customers cannot refer to it.
    pub fn turn_id(&self) -> AttemptId {
        self.scoped(&self.header.attempt)
    }

    fn scoped(&self, id: &str) -> String {
        match &self.customer {
            Some(customer) => customer.scoped(id),
            None => id.to_owned(),
        }
    }

    /// Returns whether the request is the first turn of a program. Returns false if
    /// the route keeps no history, because the first turn of a program then cannot be
    /// distinguished from later ones.
    pub fn starts_program(&self) -> bool {
        let program = self.header.program.as_ref();
        let is_first = program.is_some_and(|program| program.previous.is_none());
        is_first && self.route.keeps_history
    }

    /// Returns the key by which the request is assigned to a service: the id of its
    /// program, or of the attempt if the request belongs to no program.
    pub fn affinity_key(&self) -> &str {
        let program = self.header.program.as_ref();
        program.map_or(&self.header.attempt, |header| &header.program)
    }
}

/// Responds to a call that no endpoint answered.
pub fn refuse(gateway: &Gateway, call: &Call, refusal: Refusal) -> Response<BoxBody> {
    if refusal.ran() == Ran::No {
        limits::refund_request(gateway, call);
        quarantine::release_trials(gateway, call);
    }
    let elapsed = call.elapsed(gateway.clock.now());
    call.request_log
        .record_ended(refusal.as_str(), refusal.status(), elapsed);
    gateway.metrics.count_refusal(refusal.as_str());
    gateway.metrics.count_request(call.route.kind, "refused");
    Reply::Problem(refusal).into_response()
}
