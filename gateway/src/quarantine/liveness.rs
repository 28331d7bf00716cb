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
use rosebend_coordination::gateway::fingerprint::{Admission, RequestIdentity};
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
/// Time in which other requests may show whether an endpoint is alive that a caller left, before
/// it is probed.
const OBSERVATION_TIME: Duration = Duration::from_secs(1);
/// Time without an answer to probes after which an endpoint has crashed if others respond.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_500);
/// Time for which a machine that does not respond is probed.
const CHECK_TIME: Duration = Duration::from_secs(30);
/// Time without data after which a request that nobody waits for any more is treated like one
/// that failed.
const SILENCE_TIME: Duration = Duration::from_secs(1);

/// A request that was sent to an endpoint and may have ended its process.
#[derive(Clone, Debug)]
pub struct Suspicion {
    /// The request.
    pub request: RequestIdentity,
    /// Attempt of its caller.
    pub attempt: AttemptId,
    /// Decision by which it was sent.
    pub admission: Admission,
    /// Number of crashes that were known of it then.
    pub crashes: usize,
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
    /// The requests in question. The task of the check removes it when there are none.
    suspects: Vec<Suspect>,
    /// Time at which the endpoint received the last request that it answered on a connection
    /// that may lead to a later process.
    answered_at: Option<Duration>,
    /// Number of successive probes that were closed without an answer.
    closed_probes: u32,
    /// Time of the first of the successive probes that nothing answered, if there is one.
    silent_from: Option<Duration>,
    /// Time at which another endpoint last accepted a connection or answered.
    others_contacted_at: Option<Duration>,
}

/// A request that ended at the endpoint without an answer.
#[derive(Clone, Copy, Debug)]
struct Suspect {
    request: RequestIdentity,
    /// Time at which it ended. Only what the endpoint receives later shows that it is alive.
    since: Duration,
    /// Time from which probes may be sent because of it.
    probed_from: Duration,
}

/// The result of a check.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    /// A later incarnation of the endpoint is listed.
    Restarted,
    /// Another endpoint serves at its address, or a later one is listed there.
    Replaced,
    /// The endpoint's address refuses connections.
    Refused,
    /// The endpoint's address accepts connections and closes each of them without an answer.
    Closed,
    /// The endpoint's machine does not respond, while other endpoints do.
    Silent,
    /// The process is alive.
    Alive,
    /// The endpoint answers, and no later incarnation of it was listed in time.
    Answers,
    /// The endpoint's machine does not respond, nor do other endpoints.
    Unreachable,
}

impl Outcome {
    /// Returns whether the process has ended.
    const fn has_crashed(self) -> bool {
        match self {
            Self::Restarted | Self::Replaced | Self::Refused | Self::Closed | Self::Silent => true,
            Self::Alive | Self::Answers | Self::Unreachable => false,
        }
    }

    /// Returns the code that logs and metrics contain.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Restarted => "restarted",
            Self::Replaced => "replaced",
            Self::Refused => "refused",
            Self::Closed => "closed",
            Self::Silent => "silent",
            Self::Alive => "alive",
            Self::Answers => "answers",
            Self::Unreachable => "unreachable",
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
    let event = event.admitted(suspicion.admission.as_str());
    let event = event.count(suspicion.crashes as u64);
    let event = event.content(suspicion.request.content);
    log_event(&event.fingerprint(suspicion.request.exact));
    let is_silent = now.saturating_sub(suspicion.active_at) >= SILENCE_TIME;
    let has_failed = suspicion.failure.is_some() || is_silent;
    let suspect = Suspect {
        request: suspicion.request,
        since: now,
        probed_from: match has_failed {
            true => now,
            false => now + OBSERVATION_TIME,
        },
    };
    let mut checks = gateway.quarantine.checks.borrow_mut();
    if let Some(check) = checks.get_mut(endpoint) {
        check.suspects.push(suspect);
        check.closed_probes = 0;
        return;
    }
    let check = LivenessCheck {
        suspects: vec![suspect],
        answered_at: None,
        closed_probes: 0,
        silent_from: None,
        others_contacted_at: None,
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
    record_contact(gateway, endpoint);
    let cleared = match gateway.quarantine.checks.borrow_mut().get_mut(endpoint) {
        Some(check) => check.record_answer(opened_at, sent_at),
        None => return,
    };
    end(gateway, endpoint, &cleared, Outcome::Alive);
}

/// Records that an endpoint accepted a connection or answered.
pub fn record_contact(gateway: &Gateway, endpoint: &EndpointIdentity) {
    let now = gateway.clock.now();
    for (checked, check) in gateway.quarantine.checks.borrow_mut().iter_mut() {
        if checked != endpoint {
            check.others_contacted_at = Some(now);
        }
    }
}

/// Records that an endpoint's address refused a connection.
pub fn record_refused_connection(gateway: &Gateway, endpoint: &EndpointIdentity) {
    end_all(gateway, endpoint, Outcome::Refused);
}

impl LivenessCheck {
    /// Removes and returns the suspects that an answer clears: the same process served the
    /// connection before and after they ended.
    fn record_answer(&mut self, opened_at: Duration, sent_at: Duration) -> Vec<Suspect> {
        self.answered_at = self.answered_at.max(Some(sent_at));
        self.remove(|suspect| opened_at < suspect.since && suspect.since <= sent_at)
    }

    /// Removes and returns the suspects that the endpoint has answered others after, if no
    /// later incarnation of it was listed in time.
    fn take_answered(&mut self, now: Duration) -> Vec<Suspect> {
        let answered_at = self.answered_at;
        self.remove(|suspect| {
            let is_answered = answered_at.is_some_and(|at| suspect.since <= at);
            is_answered && now >= suspect.since + LISTING_TIME
        })
    }

    /// Removes and returns the suspects since which the endpoint has answered neither probes for
    /// [`SILENCE_LIMIT`] nor requests, if another endpoint was in contact meanwhile. Otherwise this
    /// host may be cut off.
    fn take_silent(&mut self, now: Duration) -> Vec<Suspect> {
        let (answered_at, contact_at) = (self.answered_at, self.others_contacted_at);
        let is_silent = self.silent_from.is_some_and(|from| {
            now >= from + SILENCE_LIMIT && contact_at.is_some_and(|contact| contact > from)
        });
        self.remove(|suspect| is_silent && answered_at.is_none_or(|at| at < suspect.since))
    }

    /// Removes and returns the suspects after which nothing was observed in time.
    fn take_undecided(&mut self, now: Duration) -> Vec<Suspect> {
        self.remove(|suspect| now >= suspect.since + CHECK_TIME)
    }

    fn remove(&mut self, is_removed: impl Fn(&Suspect) -> bool) -> Vec<Suspect> {
        self.suspects
            .extract_if(.., |suspect| is_removed(suspect))
            .collect()
    }

    /// Returns whether a probe is needed, because a request that may be probed for has ended
    /// since the last answer.
    fn needs_probe(&self, now: Duration) -> bool {
        let is_later = |suspect: &Suspect| self.answered_at.is_none_or(|at| suspect.since > at);
        let mut suspects = self.suspects.iter();
        suspects.any(|suspect| suspect.probed_from <= now && is_later(suspect))
    }

    /// Returns the time at which the last suspect ended.
    fn last_since(&self) -> Duration {
        let times = self.suspects.iter().map(|suspect| suspect.since);
        times.max().unwrap_or_default()
    }
}

/// The endpoint that is checked.
#[derive(Debug)]
struct Target {
    endpoint: EndpointIdentity,
    address: SocketAddr,
    health_path: String,
}

/// Observes and probes an endpoint until it is decided of all suspects whether it has crashed.
async fn run(gateway: Rc<Gateway>, target: Target) {
    let mut interval = MIN_PROBE_INTERVAL;
    loop {
        match next_step(&gateway, &target) {
            Step::End => return,
            Step::Wait => tokio::time::sleep(MIN_PROBE_INTERVAL).await,
            Step::Probe => {
                let probe = probe(&gateway, &target, interval).await;
                interval = match probe {
                    Some(Probe::Silent) => (interval * 2).min(MAX_PROBE_INTERVAL),
                    Some(_) | None => MIN_PROBE_INTERVAL,
                };
            }
        }
    }
}

/// Opens a connection to an endpoint, and sends a request on it after `interval` unless the
/// check needs none then.
async fn probe(gateway: &Gateway, target: &Target, interval: Duration) -> Option<Probe> {
    let opened_at = gateway.clock.now();
    gateway.metrics.count_connection();
    let connected = target.connect().await;
    if let Err(probe) = connected {
        record_probe(gateway, target, probe, opened_at);
    }
    if !matches!(connected, Err(Probe::Refused)) {
        tokio::time::sleep(interval).await;
    }
    let connection = match connected {
        Ok(connection) => connection,
        Err(probe) => return Some(probe),
    };
    if !matches!(next_step(gateway, target), Step::Probe) {
        return None;
    }
    let sent_at = gateway.clock.now();
    let probe = target.request_on(connection).await;
    record_probe(gateway, target, probe, sent_at);
    Some(probe)
}

/// Records the result of a probe that was sent at `sent_at`.
fn record_probe(gateway: &Gateway, target: &Target, probe: Probe, sent_at: Duration) {
    let endpoint = &target.endpoint;
    let is_closed = {
        let mut checks = gateway.quarantine.checks.borrow_mut();
        let Some(check) = checks.get_mut(endpoint) else {
            return;
        };
        // A request that ended later may have crashed the process after the probe.
        if sent_at < check.last_since() {
            return;
        }
        match probe {
            Probe::Silent => check.silent_from = check.silent_from.or(Some(sent_at)),
            Probe::Closed | Probe::Answered | Probe::Refused | Probe::Replaced => {
                check.silent_from = None;
            }
        }
        match probe {
            Probe::Closed => check.closed_probes += 1,
            Probe::Answered => check.answered_at = check.answered_at.max(Some(sent_at)),
            Probe::Silent => check.closed_probes = 0,
            Probe::Refused | Probe::Replaced => {}
        }
        check.closed_probes >= MAX_CLOSED_PROBES
    };
    match probe {
        Probe::Refused => end_all(gateway, endpoint, Outcome::Refused),
        Probe::Replaced => end_all(gateway, endpoint, Outcome::Replaced),
        Probe::Closed if is_closed => end_all(gateway, endpoint, Outcome::Closed),
        Probe::Closed | Probe::Answered | Probe::Silent => {}
    }
}

/// The next step of a check.
enum Step {
    End,
    Wait,
    Probe,
}

/// Ends the check for the suspects that can be decided, and returns the next step for the
/// others.
fn next_step(gateway: &Gateway, target: &Target) -> Step {
    let (endpoint, address) = (&target.endpoint, target.address);
    if gateway.directory.borrow().has_restarted(endpoint) {
        end_all(gateway, endpoint, Outcome::Restarted);
    }
    if gateway.directory.borrow().has_successor(endpoint, address) {
        end_all(gateway, endpoint, Outcome::Replaced);
    }
    let now = gateway.clock.now();
    let (answered, silent, undecided, step) = {
        let mut checks = gateway.quarantine.checks.borrow_mut();
        let Some(check) = checks.get_mut(endpoint) else {
            return Step::End;
        };
        let answered = check.take_answered(now);
        let silent = check.take_silent(now);
        let undecided = check.take_undecided(now);
        let step = match (check.suspects.is_empty(), check.needs_probe(now)) {
            (true, _) => Step::End,
            (false, true) => Step::Probe,
            (false, false) => Step::Wait,
        };
        if matches!(step, Step::End) {
            checks.remove(endpoint);
        }
        (answered, silent, undecided, step)
    };
    end(gateway, endpoint, &answered, Outcome::Answers);
    end(gateway, endpoint, &silent, Outcome::Silent);
    end(gateway, endpoint, &undecided, Outcome::Unreachable);
    step
}

/// Ends the check of an endpoint for all suspects.
fn end_all(gateway: &Gateway, endpoint: &EndpointIdentity, outcome: Outcome) {
    let suspects = match gateway.quarantine.checks.borrow_mut().get_mut(endpoint) {
        Some(check) => std::mem::take(&mut check.suspects),
        None => return,
    };
    end(gateway, endpoint, &suspects, outcome);
}

/// Logs the outcome for suspects, and counts the crash against them if it is one.
fn end(gateway: &Gateway, endpoint: &EndpointIdentity, suspects: &[Suspect], outcome: Outcome) {
    let now = gateway.clock.now();
    for suspect in suspects {
        gateway.metrics.count_crash_check(outcome.as_str());
        let event = Event::new(EventKind::CrashChecked).endpoint(&endpoint.instance);
        let event = event.elapsed(now.saturating_sub(suspect.since));
        let event = event.reason(outcome.as_str());
        let event = event.content(suspect.request.content);
        log_event(&event.fingerprint(suspect.request.exact));
        if outcome.has_crashed() {
            record_crash(gateway, suspect.request, endpoint);
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
            ConnectionError::NotSent(_)
            | ConnectionError::Broken(_)
            | ConnectionError::UndefinedStatus(_) => Probe::Closed,
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
