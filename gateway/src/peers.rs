//! Gateways that know each other, so that one which the store turns away can
//! send its calls by another, and that one can commit for many.
//!
//! Each gateway has a row under a hash of its name and follows the table: a row
//! changes only when a process starts or stops as planned. The few hosts behind a gateway's own row pass its
//! calls on; they differ from host to host.

use std::collections::{BTreeMap, BTreeSet};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BoxBody, MessageBody};
use actix_http::{Request, Response, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use rosebend_coordination::gateway::escrow::slots::SlotId;
use rosebend_coordination::gateway::gatherers::Candidate;
use rosebend_coordination::gateway::ledger::Holder;
use rosebend_platform::store::wait_of;
use rosebend_state::deployment::{Row, RowId, RowRange, RowWrite, Transaction};
use rosebend_state::id::AvailabilityZone;
use rosebend_transport::event::{Event, EventKind, log_event};
use rosebend_transport::store::{Concern, Outgoing, StoreError};

use self::row::{PeerRow, PeerRowError, key};
use crate::feeds::{self, Followed, FollowedTable};
use crate::gateway::Gateway;
use crate::{joined_commits, recall};

mod row;

/// Table of the gateways' own rows, and of the owners of escrow slots.
pub const TABLE: &str = FollowedTable::Gateways.name();
/// Peers that pass calls to the store on, at most.
const MAX_PEERS: usize = 8;
/// Rows that name no gateway and are told at most, each once.
const MAX_TOLD: usize = 8;
/// Rows that a host which starts reads to find one that has them all: with five
/// availability zones about three hosts of its own.
const FIRST_ROWS: usize = 16;
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
    let own = row_id(&settings.host);
    let range = RowRange {
        from: own.key,
        ..RowRange::whole(TABLE, &own.partition)
    };
    let rows = gateway.store.read_some(&range, FIRST_ROWS).await.ok()?;
    let mut table = PeerTable::default();
    let rows = rows.rows.iter();
    let rows = rows.filter(|row| SlotId::from_key(&row.id.key).is_none());
    rows.for_each(|row| table.take(row));
    let mut hosts = table.candidates_of(&settings.availability_zone);
    hosts.retain(|host| host.host != settings.host);
    hosts.truncate(MAX_ASKED);
    gateway.feeds.take_hosts_from(&hosts).await
}

fn take(gateway: &Gateway, table: &mut PeerTable, followed: &Followed) {
    if followed.is_whole {
        table.peers.clear();
    }
    for row in &followed.rows {
        match SlotId::from_key(&row.id.key) {
            Some(slot) => gateway.escrow.take_row(slot, row),
            None => table.take(row),
        }
    }
    let settings = gateway.settings();
    gateway.store.set_peers(&table.behind(&key(&settings.host)));
    gateway.joined_commits.set_hosts(table.candidates());
    gateway.limits.set_hosts(table.candidates());
    gateway.holders.set_hosts(&table.candidates());
    let zone = table.candidates_of(&settings.availability_zone);
    gateway.feeds.set_hosts(zone);
    let now = gateway.clock.now();
    let all_withhold = table.all_withhold();
    gateway
        .escrow
        .set_hosts(table.candidates(), all_withhold, now);
}

/// The gateways that are there, by their rows' keys.
#[derive(Debug, Default)]
struct PeerTable {
    peers: BTreeMap<String, PeerRow>,
    /// Keys of rows that name no gateway, as far as they were told.
    unusable: BTreeSet<String>,
}

impl PeerTable {
    fn take(&mut self, row: &Row) {
        if row.value.is_none() {
            self.peers.remove(&row.id.key);
            return;
        }
        match PeerRow::try_from(row) {
            Ok(peer) => {
                self.peers.insert(row.id.key.clone(), peer);
            }
            Err(error) => {
                self.peers.remove(&row.id.key);
                self.tell(row, &error);
            }
        }
    }

    /// Tells a row once, and no more than a few of them: whoever writes such
    /// rows may write many.
    fn tell(&mut self, row: &Row, error: &PeerRowError) {
        if self.unusable.len() < MAX_TOLD && self.unusable.insert(row.id.key.clone()) {
            log_event(&Event::new(EventKind::PeerRowUnusable).error(error));
        }
    }

    /// Whether a run of a gateway is there.
    fn has(&self, holder: &Holder) -> bool {
        self.peers.values().any(|peer| peer.holder == *holder)
    }

    /// Whether all of them keep room in ledgers for what escrow slots grant.
    fn all_withhold(&self) -> bool {
        self.peers.values().all(|peer| peer.withholds_escrow)
    }

    /// Where the hosts behind a key pass calls on, around the end of the table.
    fn behind(&self, own: &str) -> Vec<SocketAddr> {
        let (before, behind) = self
            .peers
            .iter()
            .partition::<Vec<_>, _>(|(key, _)| key.as_str() <= own);
        let others = behind.into_iter().chain(before);
        let others = others.filter(|(key, _)| key.as_str() != own);
        let mut addresses = Vec::new();
        for (_, peer) in others {
            if addresses.len() < MAX_PEERS && !addresses.contains(&peer.relay) {
                addresses.push(peer.relay);
            }
        }
        addresses
    }

    /// All of them, as hosts that may commit for others.
    fn candidates(&self) -> Vec<Candidate<SocketAddr>> {
        self.peers.values().map(candidate).collect()
    }

    /// Those of an availability zone, as hosts that may be followed.
    fn candidates_of(&self, zone: &AvailabilityZone) -> Vec<Candidate<SocketAddr>> {
        let peers = self.peers.values();
        let of_zone = peers.filter(|peer| peer.availability_zone.as_ref() == Some(zone));
        of_zone.map(candidate).collect()
    }
}

fn candidate(peer: &PeerRow) -> Candidate<SocketAddr> {
    Candidate {
        host: peer.host.clone(),
        run: peer.holder.clone(),
        address: peer.relay,
        processor_milli: peer.processor_milli,
    }
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
        withholds_escrow: true,
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
pub async fn find(gateway: &Gateway, holder: &Holder) -> Result<Option<SocketAddr>, StoreError> {
    let Some((host, _)) = holder.rsplit_once('/') else {
        return Ok(None);
    };
    let id = row_id(host);
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
    let Some(outgoing) = read(request).await else {
        return Ok(Response::with_body(StatusCode::BAD_REQUEST, ().boxed()));
    };
    Ok(match path.as_str() {
        recall::PATH => recall::answer(&gateway, &outgoing.body),
        feeds::PATH => feeds::answer(&gateway, &outgoing.body),
        joined_commits::PATH => joined_commits::answer(&gateway, &outgoing.body),
        _ => {
            let (status, body) = answer(&gateway, &outgoing).await;
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
            Response::with_body(status, body.boxed())
        }
    })
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
