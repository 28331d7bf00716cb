//! Gateways that know each other, so that one which the store turns away can
//! send its calls by another, and that one can commit for many.
//!
//! Each gateway has a row under a hash of its name and follows the table: a row
//! changes only when a process starts or stops as planned. The few hosts behind a
//! gateway's own row pass its calls on; they differ from host to host.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BoxBody, MessageBody};
use actix_http::{HttpMessage, Request, Response, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use rosebend_coordination::gateway::escrow::slot::SlotId;
use rosebend_coordination::gateway::ledger::ProcessId;
use rosebend_platform::store::wait_of;
use rosebend_state::deployment::{RowId, RowRange, RowWrite, Transaction};
use rosebend_transport::store::{ASKED_RUN, Concern, Outgoing, StoreError};

use self::row::{PeerRow, key};
use self::table::PeerTable;
use crate::feeds::{self, Followed, FollowedTable};
use crate::gateway::Gateway;
use crate::{joined_commits, recent_history, reservation_lookup};

mod row;
mod table;

/// Table of the gateways' own rows, and of the owners of escrow slots.
pub const TABLE: &str = FollowedTable::Gateways.name();
/// Rows that a host which starts reads to find one that has them all: with five
/// availability zones about six hosts of its own.
const FIRST_ROWS: usize = 32;
/// Hosts that one which starts asks for the table at most.
const MAX_ASKED: usize = 2;
/// Pause after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Largest call that is passed on; the store takes at most 1 MB of rows, encoded.
const MAX_CALL_BYTES: usize = 2 << 20;
/// Time between two questions whether the store answers this host again.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// Writes this gateway's row and follows its peers, for ever.
pub async fn follow(gateway: Rc<Gateway>, relay: SocketAddr) {
    let mut table = PeerTable::default();
    let mut is_written = write_row(&gateway, relay).await.is_ok();
    if let Some(followed) = take_from_another(&gateway).await {
        take(&gateway, &mut table, &followed);
    }
    loop {
        if !is_written {
            is_written = write_row(&gateway, relay).await.is_ok();
        }
        match gateway.feeds.next(FollowedTable::Gateways).await {
            Ok(followed) => {
                let has_changed = followed.is_whole || !followed.rows.is_empty();
                if has_changed {
                    take(&gateway, &mut table, &followed);
                }
                // A late write of the host's last run may have replaced it.
                is_written &= table.has(gateway.commits.holder());
                if has_changed && followed.is_from_store {
                    tokio::time::sleep(FollowedTable::Gateways.store_pause()).await;
                }
            }
            // The client has logged that the store is lost.
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

/// The table from a host of this one's availability zone. When many hosts start, each
/// would otherwise read the rows of all from the store.
async fn take_from_another(gateway: &Gateway) -> Option<Followed> {
    let settings = gateway.settings();
    let range = RowRange::whole(TABLE, &row_id(&settings.host).partition);
    let rows = gateway.store.read_some(&range, FIRST_ROWS).await.ok()?;
    let mut table = PeerTable::default();
    rows.rows.iter().for_each(|row| table.take(row));
    let mut hosts = table.candidates_of(&settings.availability_zone);
    hosts.retain(|host| host.host != settings.host);
    hosts.truncate(MAX_ASKED);
    gateway.feeds.take_hosts_from(&hosts).await
}

fn take(gateway: &Gateway, table: &mut PeerTable, followed: &Followed) {
    if followed.is_whole {
        table.clear();
    }
    for row in &followed.rows {
        match SlotId::from_key(&row.id.key) {
            Some(slot) => gateway.escrow.record_row(slot, row),
            None => table.take(row),
        }
    }
    let settings = gateway.settings();
    gateway.store.set_peers(&table.behind(&key(&settings.host)));
    gateway.joined_commits.set_hosts(table.candidates());
    gateway.limits.set_hosts(table.candidates());
    gateway.holders.set_hosts(&table.candidates());
    let zone = table.candidates_of(&settings.availability_zone);
    gateway.recent_history.set_hosts(zone.clone());
    gateway.feeds.set_hosts(zone);
    let now = gateway.clock.now();
    let all_withhold = table.all_withhold();
    gateway
        .escrow
        .set_hosts(table.candidates(), all_withhold, now);
}

/// Where a host's row lies. The partition is the first digit of the key.
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
        holder: gateway.commits.holder().clone(),
        processor_milli: gateway.settings().processor_milli,
        fences_escrow: true,
    };
    let value = serde_json::to_vec(&peer).expect("text has a JSON form");
    let transaction = Transaction {
        writes: vec![RowWrite { row, value }],
        ..Transaction::default()
    };
    gateway.store.transact(&transaction).await.map(|_| ())
}

/// Deletes this gateway's row at a planned stop.
pub async fn leave(gateway: &Gateway) {
    let transaction = Transaction {
        deletes: vec![row_id(&gateway.settings().host)],
        ..Transaction::default()
    };
    // A row that stays costs a peer one call that is refused.
    let _ = gateway.store.transact(&transaction).await;
}

/// Where a process answers its peers; none when it has left, or another one
/// runs on its host by now.
///
/// # Errors
///
/// Fails when the store does not answer.
pub async fn find(gateway: &Gateway, holder: &ProcessId) -> Result<Option<SocketAddr>, StoreError> {
    let Some((host, _)) = holder.rsplit_once('/') else {
        return Ok(None);
    };
    let id = row_id(host);
    let row = gateway.store.read_row(&id).await?;
    // A row that names no gateway is logged by who looks for peers.
    let peer = row.and_then(|row| PeerRow::try_from(&row).ok());
    let peer = peer.filter(|peer| peer.holder == *holder);
    Ok(peer.map(|peer| peer.relay))
}

/// Asks again and again, while the store does not answer this host, whether it
/// does; for ever.
pub async fn probe(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        if gateway.store.is_direct_down() && gateway.feeds.should_probe() {
            gateway.store.probe(TABLE, "").await;
        }
        gateway.feeds.note_store_state();
    }
}

/// Answers a peer's question, commits for it, or passes its call on to the store,
/// straight.
pub async fn pass_on(
    gateway: Rc<Gateway>,
    request: Request,
) -> Result<Response<BoxBody>, Infallible> {
    let path = request.path().to_owned();
    let is_for_another = is_for_another(&gateway, &request);
    let Some(outgoing) = read(request).await else {
        return Ok(Response::with_body(StatusCode::BAD_REQUEST, ().boxed()));
    };
    Ok(match path.as_str() {
        reservation_lookup::PATH => reservation_lookup::answer(&gateway, &outgoing.body),
        feeds::PATH => feeds::answer(&gateway, &outgoing.body),
        joined_commits::PATH => joined_commits::answer(&gateway, &outgoing.body),
        recent_history::ASK_PATH => recent_history::answer(&gateway, &outgoing.body),
        recent_history::KEEP_PATH => recent_history::answer_keep(&gateway, &outgoing.body),
        // Its sender is of another site, perhaps, and has another store.
        _ if is_for_another => Response::with_body(StatusCode::MISDIRECTED_REQUEST, ().boxed()),
        _ => {
            let (status, body) = answer(&gateway, &outgoing).await;
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
            Response::with_body(status, body.boxed())
        }
    })
}

/// Whether a call names another run than this process. Hosts of earlier versions name none.
fn is_for_another(gateway: &Gateway, request: &Request) -> bool {
    let asked = request.headers().get(ASKED_RUN.as_str());
    asked.is_some_and(|asked| asked.as_bytes() != gateway.commits.holder().as_bytes())
}

async fn answer(gateway: &Gateway, outgoing: &Outgoing) -> (u16, Bytes) {
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
        Err(StoreError::HistoryGone | StoreError::NoAnswer(_)) => (504, Bytes::new()),
    }
}

async fn read(mut request: Request) -> Option<Outgoing> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        body.extend_from_slice(&chunk.ok()?);
        if body.len() > MAX_CALL_BYTES {
            return None;
        }
    }
    Some(Outgoing {
        concern: Concern::Unknown,
        method: http::Method::from_bytes(request.method().as_str().as_bytes()).ok()?,
        path: request.uri().path_and_query()?.as_str().parse().ok()?,
        body: body.freeze(),
    })
}
