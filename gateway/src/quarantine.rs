//! Detects requests that crash endpoints, and shares the crashes between hosts through
//! the store.
//!
//! Each request that ends at an endpoint without an answer is a suspect until it is decided
//! whether the endpoint's process has ended; see `liveness`. If it has, the request may be the
//! cause. Each such pair of a request and a crash is written to the store as a row, and every
//! host follows these rows.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use rosebend_coordination::gateway::fingerprint::{CRASH_RETENTION, Fingerprint};
use rosebend_state::deployment::{EndpointIdentity, Row, RowId, RowWrite, Transaction};
use rosebend_transport::event::{Event, EventKind, log_event};

use crate::feeds::FollowedTable;
use crate::gateway::Gateway;

pub use self::liveness::{Suspicion, record_answer, record_refused_connection, suspect};

use self::liveness::LivenessCheck;

mod liveness;

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

impl Observer {
    /// Returns the code that logs and metrics contain.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Store => "store",
        }
    }
}

/// The endpoints that may have crashed.
#[derive(Debug, Default)]
pub struct Quarantine {
    checks: RefCell<HashMap<EndpointIdentity, LivenessCheck>>,
}

/// Starts a background task that records a crash that a request may have caused.
fn record_crash(gateway: &Rc<Gateway>, request: Fingerprint, endpoint: &EndpointIdentity) {
    let gateway = Rc::clone(gateway);
    let endpoint = endpoint.clone();
    actix_rt::spawn(async move { record_suspected_crash(&gateway, request, &endpoint).await });
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
