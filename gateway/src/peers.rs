//! The directory of gateways. A gateway that the store does not answer sends its calls
//! through another one, and a gateway can batch the transactions of others.
//!
//! Each gateway has a row in a table, with a hash of its host's name as the key, and
//! follows the table. A row changes only when a process starts or stops as planned, and
//! another gateway deletes it once its host was lost for good (see [`lost`]). The
//! few hosts whose rows follow a gateway's own row relay its calls, so the relays differ
//! from host to host.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BoxBody, MessageBody};
use actix_http::{HttpMessage, Request, Response, StatusCode};
use bytes::Bytes;
use rosebend_coordination::gateway::escrow::slot::SlotId;
use rosebend_coordination::gateway::ledger::ProcessId;
use rosebend_platform::store::wait_of;
use rosebend_state::deployment::{RowId, RowRange, RowWrite, Transaction};
use rosebend_transport::clients::{BodyError, BodyLimits, read_body};
use rosebend_transport::store::{ASKED_RUN, Concern, Outgoing, StoreError};

use self::row::{PeerRow, key};
use self::table::PeerTable;
use crate::feeds::{self, FollowedTable, TableUpdate};
use crate::gateway::Gateway;
use crate::{batched_commits, recent_history, reservation_lookup};

pub mod lost;
mod row;
mod table;

/// The table that contains the rows of gateways and of the owners of escrow slots.
pub const TABLE: &str = FollowedTable::Gateways.name();
/// Maximum number of rows that a starting host reads to find a host of its availability
/// zone that has the whole table. With five zones, about six of these rows belong to
/// hosts of its own zone.
const BOOTSTRAP_ROWS: usize = 32;
/// Maximum number of hosts that a starting host asks for the table.
const MAX_HOSTS_ASKED: usize = 2;
/// Delay before the table is requested again after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Maximum size of a relayed call in bytes. The store accepts at most 1 MB of encoded
/// rows.
const MAX_CALL_BYTES: usize = 2 << 20;
/// Longest time for which the body of a call is read.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two probes whether the store answers this host again.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// Writes this gateway's row and follows the table of gateways, in an endless loop.
/// `relay` is the address at which this gateway accepts requests of other gateways.
pub async fn follow(gateway: Rc<Gateway>, relay: SocketAddr) {
    let mut table = PeerTable::default();
    let mut is_written = write_row(&gateway, relay).await.is_ok();
    if let Some(followed) = fetch_from_zone(&gateway).await {
        apply(&gateway, &mut table, &followed);
    }
    loop {
        if !is_written {
            is_written = write_row(&gateway, relay).await.is_ok();
        }
        match gateway.feeds.next(FollowedTable::Gateways).await {
            Ok(followed) => {
                let has_changed = followed.is_whole || !followed.rows.is_empty();
                if has_changed {
                    apply(&gateway, &mut table, &followed);
                }
                // A delayed write of the host's previous process may have replaced the row.
                is_written &= table.contains(gateway.commits.process_id());
                if has_changed && followed.is_from_store {
                    tokio::time::sleep(FollowedTable::Gateways.store_pause()).await;
                }
            }
            // The client has already logged that the store is unreachable.
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Returns the table from a host of this one's availability zone, or `None` if no such
/// host answers. Otherwise, when many hosts start at once, each of them would read the
/// whole table from the store.
async fn fetch_from_zone(gateway: &Gateway) -> Option<TableUpdate> {
    let settings = gateway.settings();
    let range = RowRange::whole(TABLE, &row_id(&settings.host).partition);
    let rows = gateway.store.read_some(&range, BOOTSTRAP_ROWS).await.ok()?;
    let mut table = PeerTable::default();
    rows.rows.iter().for_each(|row| table.apply(row));
    let mut hosts = table.hosts_in_zone(&settings.availability_zone);
    hosts.retain(|host| host.host != settings.host);
    hosts.truncate(MAX_HOSTS_ASKED);
    gateway.feeds.request_hosts(&hosts).await
}

/// Applies changed rows to the table, and passes the new list of hosts to all modules that
/// use it.
fn apply(gateway: &Gateway, table: &mut PeerTable, followed: &TableUpdate) {
    if followed.is_whole {
        table.clear();
    }
    for row in &followed.rows {
        match SlotId::from_key(&row.id.key) {
            Some(slot) => gateway.escrow.record_row(slot, row),
            None => table.apply(row),
        }
    }
    let settings = gateway.settings();
    gateway
        .store
        .set_peers(&table.relays_for(&key(&settings.host)));
    let neighbors = table.neighbors_of(&key(&settings.host));
    gateway.neighbors.set_hosts(neighbors);
    gateway.batched_commits.set_hosts(table.hosts());
    gateway.limits.set_hosts(table.hosts());
    gateway.holders.set_hosts(&table.hosts());
    gateway.engine_scheduling.set_hosts(table.hosts_by_zone());
    let zone = table.hosts_in_zone(&settings.availability_zone);
    gateway.recent_history.set_hosts(zone.clone());
    gateway.feeds.set_hosts(zone);
    let now = gateway.clock.now();
    let all_withhold = table.all_withhold();
    gateway.escrow.set_hosts(table.hosts(), all_withhold, now);
}

/// Returns the identifier of a host's row. The partition is the first digit of the key.
pub fn row_id(host: &str) -> RowId {
    let key = key(host);
    let partition = key[..1].to_owned();
    RowId::new(TABLE, &partition, key)
}

async fn write_row(gateway: &Gateway, relay: SocketAddr) -> Result<(), StoreError> {
    let host = gateway.settings().host.clone();
    let row = row_id(&host);
    let peer = PeerRow {
        host,
        availability_zone: Some(gateway.settings().availability_zone.clone()),
        relay,
        holder: gateway.commits.process_id().clone(),
        processor_milli: gateway.settings().processor_milli,
        fences_escrow: true,
    };
    let value = serde_json::to_vec(&peer).expect("a gateway row can be serialized to JSON");
    let transaction = Transaction {
        writes: vec![RowWrite { row, value }],
        ..Transaction::default()
    };
    gateway.store.transact(&transaction).await.map(|_| ())
}

/// Deletes this gateway's row at a planned stop.
pub async fn remove_row(gateway: &Gateway) {
    let transaction = Transaction {
        deletes: vec![row_id(&gateway.settings().host)],
        ..Transaction::default()
    };
    // If the row remains, each peer that relays through this host gets one refused call.
    let _ = gateway.store.transact(&transaction).await;
}

/// Returns the address at which a process accepts requests of other gateways, or `None`
/// if it has stopped or another process now runs on its host.
///
/// # Errors
///
/// Returns an error if the store does not answer.
pub async fn find_address(
    gateway: &Gateway,
    holder: &ProcessId,
) -> Result<Option<SocketAddr>, StoreError> {
    let Some((host, _)) = holder.rsplit_once('/') else {
        return Ok(None);
    };
    let id = row_id(host);
    let row = gateway.store.read_row(&id).await?;
    // Invalid rows are logged when the table is followed.
    let peer = row.and_then(|row| PeerRow::try_from(&row).ok());
    let peer = peer.filter(|peer| peer.holder == *holder);
    Ok(peer.map(|peer| peer.relay))
}

/// Probes the store at intervals while it does not answer this host, in an endless loop.
pub async fn probe(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        if gateway.store.is_direct_down() && gateway.feeds.should_probe() {
            gateway.store.probe(TABLE, "").await;
        }
        gateway.feeds.update_store_state();
    }
}

/// Handles a request of another gateway: answers it, commits its transaction, or relays
/// its call directly to the store.
pub async fn handle_request(
    gateway: Rc<Gateway>,
    request: Request,
) -> Result<Response<BoxBody>, Infallible> {
    let path = request.path().to_owned();
    let is_misdirected = is_misdirected(&gateway, &request);
    let outgoing = match read_call(request).await {
        Ok(outgoing) => outgoing,
        Err(status) => return Ok(Response::with_body(status, ().boxed())),
    };
    Ok(match path.as_str() {
        reservation_lookup::PATH => reservation_lookup::answer(&gateway, &outgoing.body),
        feeds::PATH => feeds::answer(&gateway, &outgoing.body),
        batched_commits::PATH => batched_commits::answer(&gateway, &outgoing.body),
        recent_history::ASK_PATH => recent_history::answer(&gateway, &outgoing.body),
        recent_history::KEEP_PATH => recent_history::answer_keep(&gateway, &outgoing.body),
        // The sender may belong to another deployment, which has another store.
        _ if is_misdirected => Response::with_body(StatusCode::MISDIRECTED_REQUEST, ().boxed()),
        _ => {
            let (status, body) = relay_call(&gateway, &outgoing).await;
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
            Response::with_body(status, body.boxed())
        }
    })
}

/// Returns whether a call is addressed to another process than this one. Calls of hosts
/// with earlier versions contain no process.
fn is_misdirected(gateway: &Gateway, request: &Request) -> bool {
    let asked = request.headers().get(ASKED_RUN.as_str());
    asked.is_some_and(|asked| asked.as_bytes() != gateway.commits.process_id().as_bytes())
}

/// Relays a call to the store. Returns the status and the body of the answer.
async fn relay_call(gateway: &Gateway, outgoing: &Outgoing) -> (u16, Bytes) {
    if gateway.store.is_direct_down() {
        return (503, Bytes::new());
    }
    match gateway
        .store
        .pass_on(outgoing, wait_of(outgoing.path.as_str()))
        .await
    {
        Ok(answer) => answer,
        Err(StoreError::Refused) => (503, Bytes::new()),
        Err(StoreError::Throttled) => (429, Bytes::new()),
        // Whether an address belongs to a gateway is not certain, so that hosts do not take a
        // rejection of their calls from one.
        Err(StoreError::Rejected(_) | StoreError::HistoryGone | StoreError::NoAnswer(_)) => {
            (504, Bytes::new())
        }
    }
}

/// Reads a request to relay.
///
/// # Errors
///
/// Returns the status of the response if there is no memory for the request, or if it is
/// incomplete, too large or malformed.
async fn read_call(mut request: Request) -> Result<Outgoing, StatusCode> {
    let limits = BodyLimits {
        max_bytes: MAX_CALL_BYTES,
        copies: 1,
        max_discarded_bytes: 0,
        timeout: CALL_TIMEOUT,
    };
    let body = read_body(&mut request, limits).await;
    let body = body.map_err(|error| match error {
        BodyError::OutOfMemory => StatusCode::SERVICE_UNAVAILABLE,
        BodyError::TooLarge | BodyError::Incomplete | BodyError::Timeout => StatusCode::BAD_REQUEST,
    })?;
    let method = http::Method::from_bytes(request.method().as_str().as_bytes());
    let path = request.uri().path_and_query();
    let path = path.and_then(|path| path.as_str().parse().ok());
    Ok(Outgoing {
        concern: Concern::Unknown,
        method: method.map_err(|_| StatusCode::BAD_REQUEST)?,
        path: path.ok_or(StatusCode::BAD_REQUEST)?,
        body,
    })
}
