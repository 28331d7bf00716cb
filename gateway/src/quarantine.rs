//! Detects requests that crash endpoints, and shares the crashes between hosts through
//! the store.
//!
//! If a response breaks off and its endpoint then refuses connections, the endpoint
//! has crashed, and each request that it was running may be the cause. Each such pair
//! of a request and a crash is written to the store as a row, and every host follows
//! these rows.

use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use rosebend_coordination::gateway::attempt::Failure;
use rosebend_coordination::gateway::fingerprint::{CRASH_RETENTION, Fingerprint};
use rosebend_state::deployment::{EndpointIdentity, Row, RowId, RowWrite, Transaction};
use rosebend_transport::connection::{Connection, ConnectionError};
use rosebend_transport::event::{Event, EventKind, log_event};

use crate::call::Call;
use crate::feeds::FollowedTable;
use crate::gateway::Gateway;

/// Table with one row for each crash that a request may have caused.
const TABLE: &str = FollowedTable::Crashes.name();
/// Delay before the store is read again after an error.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Separator between the fingerprint of the request and the endpoint in a row key.
const SEPARATOR: char = '/';

/// Who observed a crash.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Observer {
    /// This host.
    Own,
    /// A host whose row this one has read from the store.
    Store,
}

/// The result of a check whether an endpoint has crashed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CrashCheck {
    /// A later incarnation of the endpoint is listed.
    Restarted,
    /// The endpoint's address refuses connections.
    Refused,
    /// The endpoint's address accepts connections.
    Accepted,
    /// The endpoint's machine does not respond.
    Unreachable,
    /// The endpoint is no longer listed.
    Unlisted,
}

impl Observer {
    /// Returns the code that logs and metrics contain.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Store => "store",
        }
    }
}

impl CrashCheck {
    /// Returns whether the check shows that the endpoint has crashed.
    const fn has_crashed(self) -> bool {
        match self {
            Self::Restarted | Self::Refused => true,
            Self::Accepted | Self::Unreachable | Self::Unlisted => false,
        }
    }

    /// Returns the code that logs and metrics contain.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Restarted => "restarted",
            Self::Refused => "refused",
            Self::Accepted => "accepted",
            Self::Unreachable => "unreachable",
            Self::Unlisted => "unlisted",
        }
    }
}

/// Starts a background task that checks whether an endpoint whose response broke off
/// has crashed, and if so records the crash for the request.
pub fn spawn_crash_check(
    gateway: &Rc<Gateway>,
    call: &Call,
    endpoint: &EndpointIdentity,
    failure: Failure,
) {
    let gateway = Rc::clone(gateway);
    let (request, endpoint) = (call.fingerprint, endpoint.clone());
    let event = Event::new(EventKind::CrashSuspected).attempt(&call.header.attempt);
    let event = event.endpoint(&endpoint.instance).reason(failure.as_str());
    log_event(&event.fingerprint(request));
    actix_rt::spawn(async move {
        let started = gateway.clock.now();
        let check = check_crash(&gateway, &endpoint).await;
        gateway.metrics.count_crash_check(check.as_str());
        let elapsed = gateway.clock.now().saturating_sub(started);
        let event = Event::new(EventKind::CrashChecked).endpoint(&endpoint.instance);
        let event = event.elapsed(elapsed).reason(check.as_str());
        log_event(&event.fingerprint(request));
        if check.has_crashed() {
            record_suspected_crash(&gateway, request, &endpoint).await;
        }
    });
}

/// Checks whether an incarnation of an endpoint has crashed. It has ended if a later
/// incarnation with the same id is listed, or if its address refuses connections: a
/// machine that runs without the endpoint refuses a connection at once, while an
/// unreachable machine does not respond.
async fn check_crash(gateway: &Gateway, endpoint: &EndpointIdentity) -> CrashCheck {
    if gateway.directory.borrow().has_restarted(endpoint) {
        return CrashCheck::Restarted;
    }
    let address = gateway.directory.borrow().address(endpoint);
    let Some(address) = address else {
        return CrashCheck::Unlisted;
    };
    match Connection::open(address).await {
        Ok(_) => CrashCheck::Accepted,
        Err(ConnectionError::Connect(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            CrashCheck::Refused
        }
        Err(_) => CrashCheck::Unreachable,
    }
}

/// Counts a crash against a request and writes it to the store, and deletes the row
/// after the time for which a crash counts.
async fn record_suspected_crash(
    gateway: &Rc<Gateway>,
    request: Fingerprint,
    endpoint: &EndpointIdentity,
) {
    count_crash(gateway, request, endpoint, Observer::Own);
    let row = RowId::new(TABLE, "", format!("{request:016x}{SEPARATOR}{endpoint}"));
    let write = RowWrite {
        row: row.clone(),
        value: gateway.settings().host.clone().into_bytes(),
    };
    let transaction = Transaction {
        writes: vec![write],
        ..Transaction::default()
    };
    // This host has already counted the crash, and the other hosts can still count the
    // next one.
    match gateway.store.transact(&transaction).await {
        Ok(_) => gateway.metrics.count_crash_write("written"),
        Err(error) => {
            gateway.metrics.count_crash_write("failed");
            let event = Event::new(EventKind::CrashUnwritten).endpoint(&endpoint.instance);
            log_event(&event.error(&error).fingerprint(request));
        }
    }
    tokio::time::sleep(CRASH_RETENTION).await;
    let transaction = Transaction {
        deletes: vec![row],
        ..Transaction::default()
    };
    // An error is ignored: hosts that have counted the crash no longer do so, even if the
    // row remains.
    let _ = gateway.store.transact(&transaction).await;
}

/// Counts a crash against a request, and logs when the request becomes refused.
fn count_crash(
    gateway: &Gateway,
    request: Fingerprint,
    endpoint: &EndpointIdentity,
    observer: Observer,
) {
    let now = gateway.clock.now();
    let mut crashes = gateway.crashes.borrow_mut();
    let was_refused = crashes.is_refused(request, now);
    crashes.record_crash(request, endpoint, now);
    let count = crashes.count(request, now) as u64;
    gateway.metrics.count_crash(observer.as_str());
    let event = Event::new(EventKind::CrashCounted).endpoint(&endpoint.instance);
    let event = event.count(count).reason(observer.as_str());
    log_event(&event.fingerprint(request));
    if !was_refused && crashes.is_refused(request, now) {
        let event = Event::new(EventKind::RequestQuarantined).count(count);
        log_event(&event.fingerprint(request));
    }
}

/// Follows the crashes that other hosts write to the store. Never returns.
pub async fn follow(gateway: Rc<Gateway>) {
    loop {
        match gateway.feeds.next(FollowedTable::Crashes).await {
            Ok(followed) => apply_rows(&gateway, &followed.rows),
            // The store client has already logged that the store is unreachable.
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

/// Counts the crashes of the rows that were not deleted.
fn apply_rows(gateway: &Gateway, rows: &[Row]) {
    for row in rows.iter().filter(|row| row.value.is_some()) {
        if let Some((request, endpoint)) = decode(row) {
            count_crash(gateway, request, &endpoint, Observer::Store);
        }
    }
}

/// Decodes the key of a row; `None` if the key has another form.
fn decode(row: &Row) -> Option<(Fingerprint, EndpointIdentity)> {
    let (request, endpoint) = row.id.key.split_once(SEPARATOR)?;
    let request = Fingerprint::from_str_radix(request, 16).ok()?;
    Some((request, endpoint.parse().ok()?))
}
