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

/// Starts a background task that checks whether an endpoint whose response broke off
/// has crashed, and if so records the crash for the request.
pub fn spawn_crash_check(gateway: &Rc<Gateway>, call: &Call, endpoint: &EndpointIdentity) {
    let gateway = Rc::clone(gateway);
    let (request, endpoint) = (call.fingerprint, endpoint.clone());
    actix_rt::spawn(async move {
        if has_crashed(&gateway, &endpoint).await {
            record_suspected_crash(&gateway, request, &endpoint).await;
        }
    });
}

/// Returns true if an incarnation of an endpoint has crashed. It has ended if a later
/// incarnation with the same id is listed, or if its address refuses connections: a
/// machine that runs without the endpoint refuses a connection at once, while an
/// unreachable machine does not respond.
async fn has_crashed(gateway: &Gateway, endpoint: &EndpointIdentity) -> bool {
    if gateway.directory.borrow().has_restarted(endpoint) {
        return true;
    }
    let address = gateway.directory.borrow().address(endpoint);
    let Some(address) = address else {
        return false;
    };
    match Connection::open(address).await {
        Err(ConnectionError::Connect(error)) => error.kind() == ErrorKind::ConnectionRefused,
        _ => false,
    }
}

/// Counts a crash against a request and writes it to the store, and deletes the row
/// after the time for which a crash counts.
async fn record_suspected_crash(
    gateway: &Rc<Gateway>,
    request: Fingerprint,
    endpoint: &EndpointIdentity,
) {
    count_crash(gateway, request, endpoint);
    let row = RowId::new(TABLE, "", format!("{request:016x}{SEPARATOR}{endpoint}"));
    let write = RowWrite {
        row: row.clone(),
        value: gateway.settings().host.clone().into_bytes(),
    };
    let transaction = Transaction {
        writes: vec![write],
        ..Transaction::default()
    };
    // An error is ignored: this host has already counted the crash, and the other hosts
    // can still count the next one.
    let _ = gateway.store.transact(&transaction).await;
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
fn count_crash(gateway: &Gateway, request: Fingerprint, endpoint: &EndpointIdentity) {
    let now = gateway.clock.now();
    let mut crashes = gateway.crashes.borrow_mut();
    let was_refused = crashes.is_refused(request, now);
    crashes.record_crash(request, endpoint, now);
    if !was_refused && crashes.is_refused(request, now) {
        let count = crashes.count(request, now) as u64;
        log_event(&Event::new(EventKind::RequestQuarantined).count(count));
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
            count_crash(gateway, request, &endpoint);
        }
    }
}

/// Decodes the key of a row; `None` if the key has another form.
fn decode(row: &Row) -> Option<(Fingerprint, EndpointIdentity)> {
    let (request, endpoint) = row.id.key.split_once(SEPARATOR)?;
    let request = Fingerprint::from_str_radix(request, 16).ok()?;
    Some((request, endpoint.parse().ok()?))
}
