//! Gateways that know each other, so that one which the store turns away can
//! send its calls by another.
//!
//! Each gateway has a row under a hash of its name and reads the few rows that
//! follow its own: a random, bounded set of peers, whatever the number of
//! hosts.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BoxBody, MessageBody};
use actix_http::{Request, Response, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use rosebend_coordination::gateway::ledger::Holder;
use rosebend_platform::store::wait_of;
use rosebend_state::deployment::{Row, RowId, RowRange, RowWrite, Transaction};
use rosebend_transport::store::{Outgoing, StoreError};
use rosebend_util::hash_parts;
use serde::{Deserialize, Serialize};

use crate::gateway::Gateway;
use crate::recall;

/// Table of the gateways' own rows.
const TABLE: &str = "gateways";
/// Peers that are known at most.
const MAX_PEERS: usize = 8;
/// Time between two looks at the peers. A new host is known to its neighbours
/// after this time; only one that is turned away needs them.
const LOOK_INTERVAL: Duration = Duration::from_secs(6);
/// Time between two looks while the row is not written or no peer is known.
const START_INTERVAL: Duration = Duration::from_millis(700);
/// Largest call that is passed on; the store takes at most 1 MB of rows, encoded.
const MAX_CALL_BYTES: usize = 2 << 20;
/// Time between two questions whether the store answers this host again.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);

#[derive(Deserialize, Serialize)]
struct PeerRow {
    host: String,
    relay: SocketAddr,
    /// The run of the host's process that wrote the row.
    holder: Holder,
}

fn key(host: &str) -> String {
    format!("{:016x}", hash_parts(&[host.as_bytes()]))
}

/// Writes this gateway's row and follows its peers, for ever.
pub async fn follow(gateway: Rc<Gateway>, relay: SocketAddr) {
    let mut is_written = false;
    loop {
        if !is_written {
            is_written = write_row(&gateway, relay).await.is_ok();
        }
        let found = look(&gateway).await.unwrap_or(0);
        let is_settled = is_written && found > 0;
        let pause = if is_settled {
            LOOK_INTERVAL
        } else {
            START_INTERVAL
        };
        tokio::time::sleep(pause).await;
    }
}

async fn write_row(gateway: &Gateway, relay: SocketAddr) -> Result<(), StoreError> {
    let host = gateway.settings().host.clone();
    let row = RowId::new(TABLE, "", key(&host));
    let peer = PeerRow {
        host,
        relay,
        holder: gateway.commits.holder().clone(),
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
        deletes: vec![RowId::new(TABLE, "", key(&gateway.settings().host))],
        ..Transaction::default()
    };
    // A row that stays costs a peer one call that is refused.
    let _ = gateway.store.transact(&transaction).await;
}

/// Reads the rows behind this gateway's own, around the end of the table.
async fn look(gateway: &Gateway) -> Result<usize, StoreError> {
    let own = key(&gateway.settings().host);
    let all = RowRange::whole(TABLE, "");
    let behind = all.clone().after(&own);
    let mut rows = gateway.store.read_some(&behind, MAX_PEERS + 1).await?.rows;
    if rows.len() <= MAX_PEERS {
        rows.extend(gateway.store.read_some(&all, MAX_PEERS + 1).await?.rows);
    }
    let mut addresses: Vec<SocketAddr> = Vec::new();
    for peer in rows.iter().filter_map(decode) {
        if peer.host != gateway.settings().host && !addresses.contains(&peer.relay) {
            addresses.push(peer.relay);
        }
    }
    addresses.truncate(MAX_PEERS);
    gateway.store.set_peers(&addresses);
    Ok(addresses.len())
}

/// Where a process answers its peers; none when it has left, or another one
/// runs on its host by now.
///
/// # Errors
///
/// Fails when the store does not answer.
pub async fn find(gateway: &Gateway, holder: &Holder) -> Result<Option<SocketAddr>, StoreError> {
    let Some((host, _)) = holder.rsplit_once('/') else {
        return Ok(None);
    };
    let id = RowId::new(TABLE, "", key(host));
    let row = gateway.store.read_row(&id).await?;
    let peer = row.as_ref().and_then(decode);
    let peer = peer.filter(|peer| peer.holder == *holder);
    Ok(peer.map(|peer| peer.relay))
}

fn decode(row: &Row) -> Option<PeerRow> {
    serde_json::from_slice(row.value.as_ref()?).ok()
}

/// Asks again and again, while the store does not answer this host, whether it
/// does; for ever.
pub async fn probe(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        if gateway.store.is_direct_down() {
            gateway.store.probe(TABLE, "").await;
        }
    }
}

/// Answers a peer's question, or passes its call on to the store, straight.
pub async fn pass_on(
    gateway: Rc<Gateway>,
    request: Request,
) -> Result<Response<BoxBody>, Infallible> {
    let is_question = request.path() == recall::PATH;
    let (status, body) = match read(request).await {
        Some(question) if is_question => return Ok(recall::answer(&gateway, &question.body)),
        Some(outgoing) => answer(&gateway, &outgoing).await,
        None => (400, Bytes::new()),
    };
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    Ok(Response::with_body(status, body.boxed()))
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
        method: http::Method::from_bytes(request.method().as_str().as_bytes()).ok()?,
        path: request.uri().path_and_query()?.as_str().parse().ok()?,
        body: body.freeze(),
    })
}
