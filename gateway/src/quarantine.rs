//! Requests that crash endpoints, told between hosts through the store.
//!
//! When an answer breaks off and its endpoint then refuses connections, the
//! endpoint has crashed and each request that it ran is suspected. A suspicion
//! is a row; every host follows the rows.

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

/// Table of suspicions.
const TABLE: &str = FollowedTable::Crashes.name();
/// Pause after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Separates the request from the endpoint in a key.
const SEPARATOR: char = '/';

/// Finds out, beside the traffic, whether an endpoint whose answer broke off
/// has crashed, and if so suspects the request.
pub fn examine(gateway: &Rc<Gateway>, call: &Call, endpoint: &EndpointIdentity) {
    let gateway = Rc::clone(gateway);
    let (request, endpoint) = (call.fingerprint, endpoint.clone());
    actix_rt::spawn(async move {
        if has_crashed(&gateway, &endpoint).await {
            suspect(&gateway, request, &endpoint).await;
        }
    });
}

/// A start has ended when another one has begun under the same id. A machine
/// that runs without the endpoint refuses a connection at once; one that is cut
/// off does not answer.
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

async fn suspect(gateway: &Rc<Gateway>, request: Fingerprint, endpoint: &EndpointIdentity) {
    note(gateway, request, endpoint);
    let row = RowId::new(TABLE, "", format!("{request:016x}{SEPARATOR}{endpoint}"));
    let write = RowWrite {
        row: row.clone(),
        value: gateway.settings().host.clone().into_bytes(),
    };
    let transaction = Transaction {
        writes: vec![write],
        ..Transaction::default()
    };
    // This host knows it anyway; others learn of the next crash.
    let _ = gateway.store.transact(&transaction).await;
    tokio::time::sleep(CRASH_RETENTION).await;
    let transaction = Transaction {
        deletes: vec![row],
        ..Transaction::default()
    };
    // A row that stays is not held against a request any more.
    let _ = gateway.store.transact(&transaction).await;
}

fn note(gateway: &Gateway, request: Fingerprint, endpoint: &EndpointIdentity) {
    let now = gateway.clock.now();
    let mut crashes = gateway.crashes.borrow_mut();
    let was_refused = crashes.is_refused(request, now);
    crashes.record_crash(request, endpoint, now);
    if !was_refused && crashes.is_refused(request, now) {
        let count = crashes.count(request, now) as u64;
        log_event(&Event::new(EventKind::RequestQuarantined).count(count));
    }
}

/// Follows other hosts' suspicions, for ever.
pub async fn follow(gateway: Rc<Gateway>) {
    loop {
        match gateway.feeds.next(FollowedTable::Crashes).await {
            Ok(followed) => take(&gateway, &followed.rows),
            // The client has logged that the store is lost.
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

fn take(gateway: &Gateway, rows: &[Row]) {
    for row in rows.iter().filter(|row| row.value.is_some()) {
        if let Some((request, endpoint)) = decode(row) {
            note(gateway, request, &endpoint);
        }
    }
}

fn decode(row: &Row) -> Option<(Fingerprint, EndpointIdentity)> {
    let (request, endpoint) = row.id.key.split_once(SEPARATOR)?;
    let request = Fingerprint::from_str_radix(request, 16).ok()?;
    Some((request, endpoint.parse().ok()?))
}
