//! Gateways that know each other, so that one which the store turns away can
//! send its calls by another.
//!
//! Each gateway has a row under a hash of its name and reads the few rows that
//! follow its own: a random, bounded set of peers, whatever the number of
//! hosts.

use std::collections::BTreeSet;
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
use rosebend_transport::event::{Event, EventKind, log_event};
use rosebend_transport::store::{Outgoing, StoreError};

use self::row::{PeerRow, PeerRowError, key};
use crate::gateway::Gateway;
use crate::recall;

mod row;

/// Table of the gateways' own rows.
const TABLE: &str = "gateways";
/// Peers that are known at most.
const MAX_PEERS: usize = 8;
/// Rows that are read at most where some of the nearest name no gateway.
const MAX_ROWS: usize = 256;
/// Rows that name no gateway and are told at most, each once.
const MAX_TOLD: usize = 8;
/// Time between two looks at the peers. A new host is known to its neighbours
/// after this time; only one that is turned away needs them.
const LOOK_INTERVAL: Duration = Duration::from_secs(6);
/// Time between two looks while the row is not written or no peer is known.
const START_INTERVAL: Duration = Duration::from_millis(700);
/// Largest call that is passed on; the store takes at most 1 MB of rows, encoded.
const MAX_CALL_BYTES: usize = 2 << 20;
/// Time between two questions whether the store answers this host again.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// Writes this gateway's row and follows its peers, for ever.
pub async fn follow(gateway: Rc<Gateway>, relay: SocketAddr) {
    let mut is_written = false;
    let mut unusable = Unusable::default();
    loop {
        if !is_written {
            is_written = write_row(&gateway, relay).await.is_ok();
        }
        // A late write of the host's last run may have replaced it.
        is_written = is_written && has_own_row(&gateway).await.unwrap_or(true);
        let found = look(&gateway, &mut unusable).await.unwrap_or(0);
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

/// Whether the host's row is that of this run.
async fn has_own_row(gateway: &Gateway) -> Result<bool, StoreError> {
    let own = find(gateway, gateway.commits.holder()).await?;
    Ok(own.is_some())
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

/// Keys of rows that name no gateway, as far as they were told.
#[derive(Debug, Default)]
struct Unusable(BTreeSet<String>);

impl Unusable {
    /// Tells a row once, and no more than a few of them: whoever writes such
    /// rows may write many.
    fn tell(&mut self, row: &Row, error: &PeerRowError) {
        if self.0.len() < MAX_TOLD && self.0.insert(row.id.key.clone()) {
            log_event(&Event::new(EventKind::PeerRowUnusable).error(error));
        }
    }
}

/// Reads the rows behind this gateway's own, around the end of the table.
async fn look(gateway: &Gateway, unusable: &mut Unusable) -> Result<usize, StoreError> {
    let mut addresses = read_peers(gateway, MAX_PEERS + 1, unusable).await?;
    if addresses.is_none() {
        addresses = read_peers(gateway, MAX_ROWS, unusable).await?;
    }
    let mut addresses = addresses.unwrap_or_default();
    addresses.truncate(MAX_PEERS);
    gateway.store.set_peers(&addresses);
    Ok(addresses.len())
}

/// Addresses of peers, of at most `limit` rows; none when so few of them name a
/// gateway that more should be read.
async fn read_peers(
    gateway: &Gateway,
    limit: usize,
    unusable: &mut Unusable,
) -> Result<Option<Vec<SocketAddr>>, StoreError> {
    let own = key(&gateway.settings().host);
    let all = RowRange::whole(TABLE, "");
    let behind = all.clone().after(&own);
    let mut rows = gateway.store.read_some(&behind, limit).await?.rows;
    if rows.len() < limit {
        rows.extend(gateway.store.read_some(&all, limit).await?.rows);
    }
    let mut addresses: Vec<SocketAddr> = Vec::new();
    let mut is_all_usable = true;
    for row in &rows {
        match PeerRow::try_from(row) {
            Ok(peer) if row.id.key != own && !addresses.contains(&peer.relay) => {
                addresses.push(peer.relay);
            }
            Ok(_) => {}
            Err(error) => {
                is_all_usable = false;
                unusable.tell(row, &error);
            }
        }
    }
    let is_enough = is_all_usable || addresses.len() >= MAX_PEERS || limit >= MAX_ROWS;
    Ok(is_enough.then_some(addresses))
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
    // A row that names no gateway is told by who looks for peers.
    let peer = row.and_then(|row| PeerRow::try_from(&row).ok());
    let peer = peer.filter(|peer| peer.holder == *holder);
    Ok(peer.map(|peer| peer.relay))
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
