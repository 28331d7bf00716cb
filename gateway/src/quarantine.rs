//! Refuses requests that crash endpoints, at all hosts.
//!
//! Each request that ends at an endpoint without an answer is a suspect until it is decided
//! whether the endpoint's process has ended; see `liveness`. A crash counts against the
//! request. It is written to the store until the store has it, and every host follows these
//! rows. Hosts send each other what the store may lack, so that neither an outage of the
//! store nor the end of the host that observed a crash loses it.
//!
//! Before a request is sent to an endpoint, the evidence against it is checked. The decisions
//! are those of [`CrashCounts`].

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use rosebend_coordination::gateway::fingerprint::{
    Admission, CrashCounts, Evidence, EvidenceKey, Fingerprint, RequestIdentity, Source, Verdict,
};
use rosebend_state::deployment::{Condition, EndpointIdentity, RowId, RowWrite, Transaction};
use rosebend_transport::clock::whole_ms;
use rosebend_transport::event::{Event, EventKind, log_event, now_ms};
use rosebend_transport::store::{StoreError, Transacted};
use rosebend_util::hash_parts;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::call::Call;
use crate::feeds::{FollowedTable, TableUpdate};
use crate::gateway::Gateway;
use crate::reply::Refusal;

pub use self::liveness::{
    Suspicion, record_answer, record_contact, record_refused_connection, suspect,
};

use self::liveness::LivenessCheck;

mod liveness;

/// Table with one row for each piece of evidence.
const TABLE: &str = FollowedTable::Crashes.name();
/// Delay before the store is read again after an error.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Delay before a write that failed is repeated. It doubles with each failure.
const MIN_WRITE_PAUSE: Duration = Duration::from_millis(250);
/// Longest delay before a write that failed is repeated.
const MAX_WRITE_PAUSE: Duration = Duration::from_secs(4);
/// Maximum number of rows that one transaction writes or deletes.
const MAX_ROWS: usize = 50;
/// Time for which a host leaves evidence of another one to that host and to others that have
/// it, too. Each host adds up to the same time.
const PEER_WRITE_DELAY: Duration = Duration::from_secs(1);
/// Maximum time for which a host leaves the deletion of rows that no longer count to others.
const MAX_DELETE_DELAY: Duration = Duration::from_secs(60);

/// The evidence against requests, and the checks that are in progress.
#[derive(Debug, Default)]
pub struct Quarantine {
    counts: RefCell<CrashCounts>,
    checks: RefCell<HashMap<EndpointIdentity, LivenessCheck>>,
    /// Rows of requests that were answered, which are to be deleted.
    to_delete: RefCell<Vec<EvidenceKey>>,
    /// Position of the evidence that was last sent to other hosts.
    sent_to_peers: Cell<usize>,
    /// Notifies the writer of something to write or delete.
    changed: Notify,
    /// Whether this host has read the table.
    has_read_table: Cell<bool>,
}

/// Value of a row. Rows of earlier versions have another form.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
struct RowValue {
    /// Host that wrote the row.
    host: String,
    /// Time of day of the crash or trial in milliseconds since 1970.
    at_ms: u64,
}

/// Evidence as one host sends it to another.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PeerEvidence {
    /// Key of the evidence.
    pub key: String,
    /// Age of the evidence in milliseconds.
    pub age_ms: u64,
}

impl Quarantine {
    /// Returns the number of crashes that count against a request.
    pub fn crash_count(&self, request: RequestIdentity) -> usize {
        let counts = self.counts.borrow();
        let crashes = request.fingerprints().map(|request| counts.count(request));
        crashes.into_iter().max().unwrap_or(0)
    }

    /// Returns the decision by which an admitted request is sent.
    pub fn admission(&self, call: &Call) -> Admission {
        let counts = self.counts.borrow();
        let mut fingerprints = call.identity.fingerprints().into_iter();
        if !call.trials.borrow().is_empty() {
            Admission::Trial
        } else if fingerprints.any(|request| counts.has_evidence(request)) {
            Admission::BelowLimit
        } else {
            Admission::NoEvidence
        }
    }

    /// Returns whether this host has read the table since its start. Before that, it may
    /// not know of crashes.
    pub fn has_read_table(&self) -> bool {
        self.has_read_table.get()
    }
}

/// Checks that a request may be sent to an endpoint, and claims a trial if it has to be one.
///
/// # Errors
///
/// Returns a refusal if it may not.
pub async fn admit(gateway: &Gateway, call: &Call) -> Result<(), Refusal> {
    let now = gateway.clock.now();
    let mut trials = Vec::new();
    let verdicts = gateway
        .quarantine
        .counts
        .borrow()
        .verdicts(call.identity, now);
    for (request, verdict) in verdicts {
        match verdict {
            Verdict::Allowed => {}
            Verdict::Refused => return Err(Refusal::CrashesEndpoints),
            Verdict::Trial(number) => trials.push(EvidenceKey {
                request,
                evidence: Evidence::Trial(number),
            }),
        }
    }
    if !trials.is_empty() {
        if !claim_trials(gateway, &trials).await {
            return Err(Refusal::CrashesEndpoints);
        }
        call.trials.replace(trials);
    }
    Ok(())
}

/// Returns whether an admitted request may still be sent to an endpoint. `may_have_run` tells
/// whether it may have run before in the same attempt of its caller.
pub fn may_be_sent(gateway: &Gateway, call: &Call, may_have_run: bool) -> bool {
    let now = gateway.clock.now();
    let trials = call.trials.borrow();
    if !trials.is_empty() && may_have_run {
        return false;
    }
    let counts = gateway.quarantine.counts.borrow();
    let verdicts = counts.verdicts(call.identity, now);
    verdicts.into_iter().all(|(request, verdict)| {
        let is_trial = trials.iter().any(|trial| trial.request == request);
        is_trial || verdict == Verdict::Allowed
    })
}

/// Claims trials of a request in the store, so that no other host lets the same ones begin.
/// Returns false if another host has claimed one, or if the store does not answer.
async fn claim_trials(gateway: &Gateway, trials: &[EvidenceKey]) -> bool {
    let now = gateway.clock.now();
    let conditions = trials.iter().map(|key| Condition {
        row: row_id(key),
        version: 0,
    });
    let transaction = Transaction {
        conditions: conditions.collect(),
        writes: trials
            .iter()
            .map(|key| row_write(gateway, key, now))
            .collect(),
        ..Transaction::default()
    };
    match gateway.store.transact(&transaction).await {
        Ok(Transacted::Applied(_)) => {
            record_all(gateway, trials, now);
            true
        }
        Ok(Transacted::Conflict(rows)) => {
            let claimed = rows.iter().filter_map(|row| row.id.key.parse().ok());
            record_all(gateway, &claimed.collect::<Vec<EvidenceKey>>(), now);
            false
        }
        // The store did not write the claims, so the next attempt may claim the trials.
        Err(StoreError::Refused | StoreError::Throttled) => false,
        Err(_) => {
            record_all(gateway, trials, now);
            false
        }
    }
}

/// Records evidence that the store has, or may have.
fn record_all(gateway: &Gateway, keys: &[EvidenceKey], at: Duration) {
    keys.iter()
        .for_each(|key| record(gateway, key, Source::Store, at));
}

/// Gives up the trials of a request that reached no endpoint, so that the next attempt may be one.
/// One that endpoints refused has used its trials, because its attempts are limited, not its runs.
pub fn release_trials(gateway: &Gateway, call: &Call) {
    if call.has_reached_endpoint.get() {
        return;
    }
    let quarantine = &gateway.quarantine;
    for key in call.trials.take() {
        quarantine.counts.borrow_mut().remove(&key);
        report_cleared(gateway, key.request, 1, ClearReason::Released, |event| {
            event
        });
        quarantine.to_delete.borrow_mut().push(key);
        quarantine.changed.notify_one();
    }
}

/// Clears a request that an endpoint has answered completely, unless the status may be that of a
/// faulty endpoint that did not run it.
pub fn clear(gateway: &Gateway, call: &Call, endpoint: &EndpointIdentity, status: u16) {
    if status >= 500 || matches!(status, 408 | 421 | 429) {
        return;
    }
    for request in call.identity.fingerprints() {
        let keys = gateway.quarantine.counts.borrow_mut().clear(request);
        if keys.is_empty() {
            continue;
        }
        let reason = ClearReason::Answered;
        report_cleared(gateway, request, keys.len(), reason, |event| {
            let event = event.attempt(&call.header.attempt);
            event.endpoint(&endpoint.instance)
        });
        gateway.quarantine.to_delete.borrow_mut().extend(keys);
        gateway.quarantine.changed.notify_one();
    }
}

/// Why evidence against a request no longer counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ClearReason {
    /// An endpoint answered the request.
    Answered,
    /// A trial reached no endpoint.
    Released,
    /// Another host deleted the row.
    Deleted,
    /// The store no longer has the row.
    Absent,
    /// The evidence is too old.
    Expired,
    /// There is evidence against too many requests.
    Evicted,
}

impl ClearReason {
    /// Returns the code that logs and metrics contain.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Released => "released",
            Self::Deleted => "deleted",
            Self::Absent => "absent",
            Self::Expired => "expired",
            Self::Evicted => "evicted",
        }
    }
}

/// Counts and logs that `count` pieces of evidence no longer count against a request.
/// `with_details` adds fields to the event.
fn report_cleared(
    gateway: &Gateway,
    request: Fingerprint,
    count: usize,
    reason: ClearReason,
    with_details: impl FnOnce(Event) -> Event,
) {
    gateway.metrics.count_crashes_cleared(reason.as_str());
    let event = Event::new(EventKind::CrashesCleared).count(count as u64);
    let event = event.reason(reason.as_str()).fingerprint(request);
    log_event(&with_details(event));
}

/// Reports removed evidence, once for each request.
fn report_removed(gateway: &Gateway, keys: &[EvidenceKey], reason: ClearReason) {
    let mut counts: HashMap<Fingerprint, usize> = HashMap::new();
    for key in keys {
        *counts.entry(key.request).or_default() += 1;
    }
    for (request, count) in counts {
        report_cleared(gateway, request, count, reason, |event| event);
    }
}

/// Counts a crash of an endpoint that a request may have caused.
fn record_crash(gateway: &Gateway, request: RequestIdentity, endpoint: &EndpointIdentity) {
    for request in request.fingerprints() {
        let evidence = Evidence::Crash(endpoint.clone());
        let key = EvidenceKey { request, evidence };
        record(gateway, &key, Source::Own, gateway.clock.now());
    }
}

/// Records evidence of the time `at`, and logs when the request becomes refused.
fn record(gateway: &Gateway, key: &EvidenceKey, source: Source, at: Duration) {
    let now = gateway.clock.now();
    let write_from = match source {
        Source::Own | Source::Store => now,
        Source::Peer => now + PEER_WRITE_DELAY + spread(gateway, key, PEER_WRITE_DELAY),
    };
    let mut counts = gateway.quarantine.counts.borrow_mut();
    let was_refused = counts.verdict(key.request, now) == Verdict::Refused;
    if !counts.record(key, source, at, write_from) {
        return;
    }
    for (request, count) in counts.take_evicted() {
        report_cleared(gateway, request, count, ClearReason::Evicted, |event| event);
    }
    let count = counts.count(key.request) as u64;
    gateway.metrics.count_crash(source.as_str());
    let event = Event::new(EventKind::CrashCounted).count(count);
    let event = event.reason(source.as_str()).fingerprint(key.request);
    log_event(&match &key.evidence {
        Evidence::Crash(endpoint) => event.endpoint(&endpoint.instance),
        Evidence::Trial(_) => event,
    });
    if !was_refused && counts.verdict(key.request, now) == Verdict::Refused {
        let event = Event::new(EventKind::RequestQuarantined).count(count);
        log_event(&event.fingerprint(key.request));
    }
    gateway.quarantine.changed.notify_one();
}

/// Returns a part of a time that differs between hosts and keys.
fn spread(gateway: &Gateway, key: &EvidenceKey, time: Duration) -> Duration {
    let host = gateway.settings().host.clone();
    let hash = hash_parts(&[host.as_bytes(), key.to_string().as_bytes()]);
    let ms = whole_ms(time).max(1);
    Duration::from_millis(hash % ms)
}

/// Returns the next evidence that the store may lack, for other hosts. Each piece is sent
/// again until the store has it.
pub fn evidence_for_peers(gateway: &Gateway, max: usize) -> Vec<PeerEvidence> {
    let now = gateway.clock.now();
    let mut unstored = gateway.quarantine.counts.borrow().unstored();
    if unstored.is_empty() {
        return Vec::new();
    }
    let sent = &gateway.quarantine.sent_to_peers;
    let first = sent.get() % unstored.len();
    unstored.rotate_left(first);
    sent.set(sent.get().wrapping_add(max));
    let evidence = unstored
        .into_iter()
        .take(max)
        .map(|(key, at)| PeerEvidence {
            key: key.to_string(),
            age_ms: whole_ms(now.saturating_sub(at)),
        });
    evidence.collect()
}

/// Records evidence that another host has sent. A key that cannot be decoded has no effect,
/// as any process may send a datagram.
pub fn record_from_peer(gateway: &Gateway, evidence: &PeerEvidence) {
    if let Ok(key) = evidence.key.parse() {
        let age = Duration::from_millis(evidence.age_ms);
        let at = gateway.clock.now().saturating_sub(age);
        record(gateway, &key, Source::Peer, at);
    }
}

/// Follows the evidence that hosts write to the store. Never returns.
pub async fn follow(gateway: Rc<Gateway>) {
    loop {
        match gateway.feeds.next(FollowedTable::Crashes).await {
            Ok(update) => {
                apply_update(&gateway, &update);
                gateway.quarantine.has_read_table.set(true);
            }
            // The store client has already logged that the store is unreachable.
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

fn apply_update(gateway: &Gateway, update: &TableUpdate) {
    if update.is_whole {
        let rows = update.rows.iter().filter(|row| row.value.is_some());
        let keys: HashSet<EvidenceKey> = rows.filter_map(|row| row.id.key.parse().ok()).collect();
        let mut counts = gateway.quarantine.counts.borrow_mut();
        let absent = counts.retain_stored(|key| keys.contains(key));
        report_removed(gateway, &absent, ClearReason::Absent);
    }
    for row in &update.rows {
        // Rows with keys of another form are of another version.
        let Ok(key) = row.id.key.parse::<EvidenceKey>() else {
            continue;
        };
        match &row.value {
            Some(value) => record(gateway, &key, Source::Store, time_of(gateway, value)),
            None => {
                if gateway.quarantine.counts.borrow_mut().remove(&key) {
                    report_removed(gateway, &[key], ClearReason::Deleted);
                }
            }
        }
    }
}

/// Returns the time of a row's evidence since the start of this process. It is the present
/// if the row tells none.
fn time_of(gateway: &Gateway, value: &[u8]) -> Duration {
    let now = gateway.clock.now();
    match serde_json::from_slice::<RowValue>(value) {
        Ok(value) => {
            let age_ms = now_ms().saturating_sub(value.at_ms);
            now.saturating_sub(Duration::from_millis(age_ms))
        }
        Err(_) => now,
    }
}

/// Writes evidence to the store until the store has it, and deletes the rows of requests that
/// were answered. Never returns.
pub async fn write(gateway: Rc<Gateway>) {
    let mut pause = MIN_WRITE_PAUSE;
    loop {
        match write_batch(&gateway).await {
            Written::Nothing => {
                // Evidence of other hosts becomes due without a notification.
                let changed = gateway.quarantine.changed.notified();
                let _ = tokio::time::timeout(PEER_WRITE_DELAY, changed).await;
            }
            Written::Done => pause = MIN_WRITE_PAUSE,
            Written::Failed => {
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(MAX_WRITE_PAUSE);
            }
        }
    }
}

/// The result of one write to the store.
enum Written {
    Nothing,
    Done,
    Failed,
}

async fn write_batch(gateway: &Gateway) -> Written {
    let now = gateway.clock.now();
    let quarantine = &gateway.quarantine;
    let mut to_write = quarantine.counts.borrow().to_write(now);
    to_write.truncate(MAX_ROWS);
    let to_delete: Vec<EvidenceKey> = {
        let queue = quarantine.to_delete.borrow();
        queue.iter().take(MAX_ROWS).cloned().collect()
    };
    if to_write.is_empty() && to_delete.is_empty() {
        return Written::Nothing;
    }
    // A request may have been answered and have crashed an endpoint since. The newer is kept.
    let is_deleted = |key: &&EvidenceKey| !to_write.iter().any(|(written, _)| written == *key);
    let transaction = Transaction {
        writes: to_write
            .iter()
            .map(|(key, at)| row_write(gateway, key, *at))
            .collect(),
        deletes: to_delete.iter().filter(is_deleted).map(row_id).collect(),
        ..Transaction::default()
    };
    if let Err(error) = gateway.store.transact(&transaction).await {
        gateway.metrics.count_crash_write("failed");
        let event = Event::new(EventKind::CrashUnwritten).error(&error);
        log_event(&event.count((to_write.len() + to_delete.len()) as u64));
        return Written::Failed;
    }
    gateway.metrics.count_crash_write("written");
    let mut counts = quarantine.counts.borrow_mut();
    to_write.iter().for_each(|(key, _)| counts.set_stored(key));
    quarantine
        .to_delete
        .borrow_mut()
        .retain(|key| !to_delete.contains(key));
    Written::Done
}

/// Removes evidence that no longer counts, and its rows.
pub fn expire(gateway: &Gateway) {
    let now = gateway.clock.now();
    let host = gateway.settings().host.clone();
    // Hosts delete at different times. The first one informs the others.
    let delay_ms = hash_parts(&[host.as_bytes()]) % whole_ms(MAX_DELETE_DELAY);
    let delay = Duration::from_millis(delay_ms);
    let expired = gateway.quarantine.counts.borrow_mut().expire(now, delay);
    report_removed(gateway, &expired, ClearReason::Expired);
    if !expired.is_empty() {
        gateway.quarantine.to_delete.borrow_mut().extend(expired);
        gateway.quarantine.changed.notify_one();
    }
}

fn row_id(key: &EvidenceKey) -> RowId {
    RowId::new(TABLE, "", key.to_string())
}

fn row_write(gateway: &Gateway, key: &EvidenceKey, at: Duration) -> RowWrite {
    let age_ms = whole_ms(gateway.clock.now().saturating_sub(at));
    let value = RowValue {
        host: gateway.settings().host.clone(),
        at_ms: now_ms().saturating_sub(age_ms),
    };
    RowWrite {
        row: row_id(key),
        value: serde_json::to_vec(&value).expect("text and a number can be serialized to JSON"),
    }
}
