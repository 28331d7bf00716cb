//! Routes and services as operators declare them.

use std::collections::HashMap;
use std::time::Duration;

use crate::deployment::{Customers, DeploymentVersion, ServiceName};

/// Everything that operators declared, at one version.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// Version; a process never goes back to a lower one.
    pub version: DeploymentVersion,
    /// Routes that can be used.
    pub routes: Vec<Route>,
    /// Routes that can't be used; their requests are refused and go to no
    /// other route.
    pub unusable_routes: Vec<UnusableRoute>,
    /// Services that can be used, by name; all that routes name are there.
    pub services: HashMap<ServiceName, Service>,
    /// Bounds on what callers send.
    pub limits: CallerLimits,
    /// Whose callers are served; none where no key is wanted of anybody.
    pub customers: Option<Customers>,
}

/// Which requests go to which services, and how long they may take.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// The operator's name of the route.
    pub name: String,
    /// Value of the `Host` header.
    pub host: String,
    /// Beginning of the path; it begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Services that serve the route; never empty, weights sum to 1 or more.
    pub targets: Vec<RouteTarget>,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is worth most.
    pub objective: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Most endpoints on which one attempt may run; at least 1.
    pub max_attempts: u32,
    /// Whether the system keeps what was said in earlier turns.
    pub keeps_history: bool,
    /// How long a turn is kept.
    pub retention: Duration,
    /// Whether endpoints that handled an object lately are faster.
    pub sticky: bool,
    /// Whether a stream may go on at another endpoint after its last event.
    pub resumable: bool,
    /// Longest pause between two events of a stream for which an answer is
    /// still in time; zero where the operators name none.
    pub event_gap: Duration,
    /// Whether callers need no key.
    pub is_public: bool,
}

impl Route {
    /// Whether one request may run more than once.
    pub fn may_run_again(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.resumable,
        }
    }

    /// Whether turns of the route need nothing of the store but their program's budget, so
    /// that they may run by a grant of that.
    pub fn takes_grants(&self) -> bool {
        self.kind == RouteKind::Streaming && !self.keeps_history
    }

    /// Whether a stream of the route may go on where another one broke off.
    pub fn resumes_streams(&self) -> bool {
        self.kind == RouteKind::Streaming && self.resumable
    }
}

/// A declared route with a value that can't be used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnusableRoute {
    /// The operator's name of the route.
    pub name: String,
    /// Value of the `Host` header.
    pub host: String,
    /// Beginning of the path; it begins and ends with a slash.
    pub prefix: String,
    /// What is wrong, in a text of bounded length.
    pub reason: String,
}

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// The answer is a stream of events; the request runs at most once unless
    /// the stream may be resumed.
    Streaming,
}

/// A service of a route with its share of the requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceName,
    /// Its share, relative to the other targets.
    pub weight: u32,
}

/// A service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Path of its health check.
    pub health_path: String,
    /// Connections that one endpoint accepts from all callers together.
    pub max_connections: u32,
    /// Set where the endpoints are model engines.
    pub engine: Option<Engine>,
}

/// What is known of the engines of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Engine {
    /// Tokens that one event of a stream stands for; at least 1.
    pub tokens_per_event: u64,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Largest head of a request.
    pub max_header_bytes: usize,
    /// Largest body of a request.
    pub max_body_bytes: usize,
    /// Longest wait for a request's head.
    pub header_timeout: Duration,
    /// How long a connection may be idle between requests.
    pub idle_timeout: Duration,
}
