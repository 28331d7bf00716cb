//! Decides whether the process of an endpoint has ended while it ran a request.
//!
//! That a connection is accepted proves nothing: the backlog of a listener, a relay or a
//! supervisor may accept it. The process is alive if it answers a request on a connection
//! that is older than the failure. An answer on a newer connection may come from another
//! process, so the check then waits whether a later start of the endpoint is listed.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, header};
use http_body_util::Full;
use rosebend_coordination::gateway::attempt::Failure;
use rosebend_coordination::gateway::fingerprint::Fingerprint;
use rosebend_platform::headers;
use rosebend_state::deployment::{AttemptId, EndpointIdentity};
use rosebend_transport::connection::{Connection, ConnectionError};
use rosebend_transport::event::{Event, EventKind, log_event};

use super::record_crash;
use crate::gateway::Gateway;

/// Time in which answers to other requests may show that the process is alive, before a
/// request is sent on the first connection, and time between further connections.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time between two probes. The interval doubles while nothing answers.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(4);
/// Longest wait for the answer to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);
/// Number of successive probes whose connections are closed without an answer after which
/// nothing is assumed to serve them. Endpoints also close connections beyond their limit.
const MAX_CLOSED_PROBES: u32 = 3;
/// Time after a failure in which a later start of an endpoint that is back at once gets
/// listed: its entry is written with its next heartbeat and followed.
const LISTING_TIME: Duration = Duration::from_secs(4);
/// Time for which a machine that does not respond is probed.
const CHECK_TIME: Duration = Duration::from_secs(30);
/// Time without data after which a request that nobody waits for any more is treated like one
/// that failed.
const SILENCE_TIME: Duration = Duration::from_secs(1);

/// A request that was sent to an endpoint and may have ended its process.
#[derive(Clone, Debug)]
pub struct Suspicion {
    /// The request.
    pub request: Fingerprint,
    /// Attempt of its caller.
    pub attempt: AttemptId,
    /// Address of the endpoint to which it was sent.
    pub address: SocketAddr,
    /// Path of the endpoint's health check.
    pub health_path: String,
    /// Time at which the endpoint last sent data, or the request was sent.
    pub active_at: Duration,
    /// How the exchange failed; none if it was abandoned.
    pub failure: Option<Failure>,
}

/// A check in progress. There is at most one for each incarnation of an endpoint.
#[derive(Debug)]
pub struct LivenessCheck {
    suspects: Vec<Fingerprint>,
    started_at: Duration,
    /// Time of the last failure. Only what the endpoint receives later shows that it is alive.
    since: Duration,
    /// Whether probes may be sent.
    is_probed: bool,
    evidence: Evidence,
    closed_probes: u32,
}

/// What was observed of the endpoint since the last failure.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Evidence {
    None,
    /// Its address refused a connection.
    Refused,
    /// A process with its id answered, which may be a later one.
    Answered,
    /// The same process answered.
    SameProcess,
    /// A process with another id answered at its address.
    Replaced,
}

/// The result of a check.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    /// A later incarnation of the endpoint is listed.
    Restarted,
    /// Another endpoint serves at its address.
    Replaced,
    /// Its address refuses connections.
    Refused,
    /// Its address accepts connections and closes each of them without an answer.
    Closed,
    /// The process is alive.
    Alive,
    /// The endpoint answers, and no later incarnation of it was listed in time.
    Answers,
    /// Its machine does not respond.
    Unreachable,
    /// Nothing was observed of it, and it was not probed.
    Unobserved,
}

impl Outcome {
    /// Returns whether the process has ended.
    const fn has_crashed(self) -> bool {
        match self {
            Self::Restarted | Self::Replaced | Self::Refused | Self::Closed => true,
            Self::Alive | Self::Answers | Self::Unreachable | Self::Unobserved => false,
        }
    }

    /// Returns the code that logs and metrics contain.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Restarted => "restarted",
            Self::Replaced => "replaced",
            Self::Refused => "refused",
            Self::Closed => "closed",
            Self::Alive => "alive",
            Self::Answers => "answers",
            Self::Unreachable => "unreachable",
            Self::Unobserved => "unobserved",
        }
    }
}

/// The result of one probe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Probe {
    Refused,
    Closed,
    Answered,
    Replaced,
    Silent,
}

/// Starts a check of an endpoint at which a request ended without an answer, or adds the
/// request to the check in progress.
pub fn suspect(gateway: &Rc<Gateway>, endpoint: &EndpointIdentity, suspicion: &Suspicion) {
    let now = gateway.clock.now();
    let reason = suspicion.failure.map_or("abandoned", Failure::as_str);
    let event = Event::new(EventKind::CrashSuspected).attempt(&suspicion.attempt);
    let event = event.endpoint(&endpoint.instance).reason(reason);
    log_event(&event.fingerprint(suspicion.request));
    let is_silent = now.saturating_sub(suspicion.active_at) >= SILENCE_TIME;
    let is_probed = suspicion.failure.is_some() || is_silent;
    let mut checks = gateway.quarantine.checks.borrow_mut();
    if let Some(check) = checks.get_mut(endpoint) {
        check.add(suspicion.request, now, is_probed);
        return;
    }
    let check = LivenessCheck {
        suspects: vec![suspicion.request],
        started_at: now,
        since: now,
        is_probed,
        evidence: Evidence::None,
        closed_probes: 0,
    };
    checks.insert(endpoint.clone(), check);
    let target = Target {
        endpoint: endpoint.clone(),
        address: suspicion.address,
        health_path: suspicion.health_path.clone(),
    };
    actix_rt::spawn(run(Rc::clone(gateway), target));
}

/// Records that an endpoint answered a request that was sent at `sent_at` on a connection
/// that was opened at `opened_at`.
pub fn record_answer(
    gateway: &Gateway,
    endpoint: &EndpointIdentity,
    opened_at: Duration,
    sent_at: Duration,
) {
    let mut checks = gateway.quarantine.checks.borrow_mut();
    let Some(check) = checks.get_mut(endpoint) else {
        return;
    };
    if sent_at < check.since {
        return;
    }
    match opened_at < check.since {
        true => check.evidence = Evidence::SameProcess,
        false => check.observe(Evidence::Answered),
    }
}

/// Records that an endpoint's address refused a connection.
pub fn record_refused_connection(gateway: &Gateway, endpoint: &EndpointIdentity) {
    if let Some(check) = gateway.quarantine.checks.borrow_mut().get_mut(endpoint) {
        check.observe(Evidence::Refused);
    }
}

impl LivenessCheck {
    fn add(&mut self, request: Fingerprint, now: Duration, is_probed: bool) {
        if !self.suspects.contains(&request) {
            self.suspects.push(request);
        }
        self.since = now;
        self.is_probed |= is_probed;
        self.closed_probes = 0;
        if matches!(self.evidence, Evidence::Answered | Evidence::SameProcess) {
            self.evidence = Evidence::None;
        }
    }

    /// Records an observation unless an earlier one is conclusive.
    fn observe(&mut self, evidence: Evidence) {
        if matches!(self.evidence, Evidence::None | Evidence::Answered) {
            self.evidence = evidence;
        }
    }

    /// Returns the outcome once it is certain.
    fn outcome(&self, now: Duration) -> Option<Outcome> {
        let elapsed = now.saturating_sub(self.since);
        match self.evidence {
            Evidence::Refused => Some(Outcome::Refused),
            Evidence::Replaced => Some(Outcome::Replaced),
            Evidence::SameProcess => Some(Outcome::Alive),
            Evidence::Answered if elapsed >= LISTING_TIME => Some(Outcome::Answers),
            Evidence::Answered => None,
            Evidence::None if self.closed_probes >= MAX_CLOSED_PROBES => Some(Outcome::Closed),
            Evidence::None if !self.is_probed && elapsed >= LISTING_TIME => {
                Some(Outcome::Unobserved)
            }
            Evidence::None if elapsed >= CHECK_TIME => Some(Outcome::Unreachable),
            Evidence::None => None,
        }
    }

    /// Records the result of a probe that was sent at `sent_at`.
    fn record_probe(&mut self, probe: Probe, sent_at: Duration) {
        if sent_at < self.since {
            return;
        }
        match probe {
            Probe::Refused => self.observe(Evidence::Refused),
            Probe::Replaced => self.observe(Evidence::Replaced),
            Probe::Answered => self.observe(Evidence::Answered),
            Probe::Closed => self.closed_probes += 1,
            Probe::Silent => self.closed_probes = 0,
        }
    }
}

/// The endpoint that is checked.
#[derive(Debug)]
struct Target {
    endpoint: EndpointIdentity,
    address: SocketAddr,
    health_path: String,
}

/// Observes and probes an endpoint until it is decided whether it has crashed, and counts the
/// crash against all suspects.
async fn run(gateway: Rc<Gateway>, target: Target) {
    let mut interval = MIN_PROBE_INTERVAL;
    let outcome = loop {
        match next_step(&gateway, &target.endpoint) {
            Step::End(outcome) => break outcome,
            Step::Wait => {
                tokio::time::sleep(MIN_PROBE_INTERVAL).await;
                continue;
            }
            Step::Probe => {}
        }
        let probe = probe(&gateway, &target, interval).await;
        interval = match probe {
            Probe::Silent => (interval * 2).min(MAX_PROBE_INTERVAL),
            _ => MIN_PROBE_INTERVAL,
        };
    };
    finish(&gateway, &target.endpoint, outcome);
}

/// Opens a connection to an endpoint, and sends a request on it after `interval` unless the
/// check can end without.
async fn probe(gateway: &Gateway, target: &Target, interval: Duration) -> Probe {
    let opened_at = gateway.clock.now();
    gateway.metrics.count_connection();
    let (probe, sent_at) = match target.connect().await {
        Err(probe) => {
            record_probe(gateway, target, probe, opened_at);
            if probe != Probe::Refused {
                tokio::time::sleep(interval).await;
            }
            return probe;
        }
        Ok(connection) => {
            tokio::time::sleep(interval).await;
            if !matches!(next_step(gateway, &target.endpoint), Step::Probe) {
                return Probe::Silent;
            }
            let sent_at = gateway.clock.now();
            (target.request_on(connection).await, sent_at)
        }
    };
    record_probe(gateway, target, probe, sent_at);
    probe
}

fn record_probe(gateway: &Gateway, target: &Target, probe: Probe, sent_at: Duration) {
    let mut checks = gateway.quarantine.checks.borrow_mut();
    if let Some(check) = checks.get_mut(&target.endpoint) {
        check.record_probe(probe, sent_at);
    }
}

/// What a check does next.
enum Step {
    End(Outcome),
    Wait,
    Probe,
}

fn next_step(gateway: &Gateway, endpoint: &EndpointIdentity) -> Step {
    if gateway.directory.borrow().has_restarted(endpoint) {
        return Step::End(Outcome::Restarted);
    }
    let checks = gateway.quarantine.checks.borrow();
    let Some(check) = checks.get(endpoint) else {
        return Step::End(Outcome::Unobserved);
    };
    match check.outcome(gateway.clock.now()) {
        Some(outcome) => Step::End(outcome),
        None if check.is_probed && check.evidence == Evidence::None => Step::Probe,
        None => Step::Wait,
    }
}

fn finish(gateway: &Gateway, endpoint: &EndpointIdentity, outcome: Outcome) {
    let check = gateway.quarantine.checks.borrow_mut().remove(endpoint);
    let Some(check) = check else {
        return;
    };
    let elapsed = gateway.clock.now().saturating_sub(check.started_at);
    gateway.metrics.count_crash_check(outcome.as_str());
    for request in check.suspects {
        let event = Event::new(EventKind::CrashChecked).endpoint(&endpoint.instance);
        let event = event.elapsed(elapsed).reason(outcome.as_str());
        log_event(&event.fingerprint(request));
        if outcome.has_crashed() {
            record_crash(gateway, request, endpoint);
        }
    }
}

impl Target {
    async fn connect(&self) -> Result<Connection, Probe> {
        let opened = Connection::open(self.address).await;
        opened.map_err(|error| match error {
            ConnectionError::Connect(error) => match error.kind() {
                ErrorKind::ConnectionRefused => Probe::Refused,
                ErrorKind::ConnectionReset => Probe::Closed,
                _ => Probe::Silent,
            },
            ConnectionError::NotSent(_) | ConnectionError::Broken(_) => Probe::Closed,
        })
    }

    async fn request_on(&self, mut connection: Connection) -> Probe {
        let answer = tokio::time::timeout(PROBE_TIMEOUT, connection.send(self.request())).await;
        match answer {
            Err(_) => Probe::Silent,
            Ok(Err(_)) => Probe::Closed,
            Ok(Ok(answer)) => match headers::answering_instance(answer.headers()) {
                Some(instance) if instance != self.endpoint.instance => Probe::Replaced,
                Some(_) | None => Probe::Answered,
            },
        }
    }

    fn request(&self) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::default());
        // A path that is not one is declared by an operator. Any answer will do.
        *request.uri_mut() = self.health_path.parse().unwrap_or_default();
        let host = HeaderValue::from_str(&self.address.to_string())
            .expect("an address is a valid header value");
        request.headers_mut().insert(header::HOST, host);
        request
    }
}
