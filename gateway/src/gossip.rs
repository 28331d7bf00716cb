//! Loads of endpoints, told between gateways.
//!
//! An endpoint tells its load with each answer, but a gateway hears from one of
//! 40 endpoints only every second and a half, and what it does not hear it
//! fills in by guessing: on such a site the busiest engines ran 500 ms late
//! while others were idle. So each gateway sends what it has just heard to its
//! few peers, by datagrams; one that is lost is made up for by the next.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rosebend_coordination::gateway::directory::Directory;
use rosebend_state::deployment::{EndpointIdentity, EndpointLoad};
use rosebend_transport::clock::whole_ms;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::gateway::Gateway;
use crate::{escrow, limits};

/// Time between two datagrams to a peer, short against a request at an engine.
const INTERVAL: Duration = Duration::from_millis(150);
/// Loads of one datagram at most: about 1,000 bytes.
const MAX_LOADS: usize = 24;
/// Failures of one datagram at most; with the loads about 1,450 bytes.
const MAX_FAILED: usize = 16;
/// Largest datagram that is sent, in bytes: no link splits it. What ids of
/// unusual length leave no room for is left out.
const MAX_SENT_BYTES: usize = 1_472;
/// Largest datagram that is read; those about limits have names of customers, and
/// those about escrow the accounts of a slot.
const MAX_DATAGRAM_BYTES: usize = 8_192;

/// The load of one start of an endpoint, as a peer heard it: running, waiting,
/// slots, and its age in milliseconds.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Heard(pub EndpointIdentity, pub u32, pub u32, pub u32, pub u64);

/// What a peer heard and saw since its last datagram.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct News {
    /// Loads that endpoints told.
    pub loads: Vec<Heard>,
    /// Starts of endpoints that failed, once for each failure.
    pub failed: Vec<EndpointIdentity>,
}

/// A datagram that no gateway of this version sent.
#[derive(Debug, thiserror::Error)]
#[error("not a list of loads and failures: {0}")]
pub struct NewsError(#[from] serde_json::Error);

impl TryFrom<&[u8]> for News {
    type Error = NewsError;

    fn try_from(datagram: &[u8]) -> Result<Self, NewsError> {
        Ok(serde_json::from_slice(datagram)?)
    }
}

impl News {
    /// As many of the news as one datagram holds.
    ///
    /// # Panics
    ///
    /// Panics when the news have no JSON form, which none lack.
    pub fn datagram(mut self) -> Vec<u8> {
        loop {
            let datagram = serde_json::to_vec(&self).expect("text and numbers have a JSON form");
            if datagram.len() <= MAX_SENT_BYTES {
                return datagram;
            }
            if self.loads.pop().is_none() && self.failed.pop().is_none() {
                return datagram;
            }
        }
    }

    /// Adds what a peer told to what is believed of endpoints. What it tells of
    /// another start than the one that is listed here changes nothing.
    pub fn tell(&self, directory: &mut Directory, now: Duration) {
        for Heard(endpoint, running, waiting, slots, age_ms) in &self.loads {
            let load = EndpointLoad {
                running: *running,
                waiting: *waiting,
                slots: *slots,
            };
            let at = now.saturating_sub(Duration::from_millis(*age_ms));
            directory.record_peer_report(endpoint, load, at);
        }
        for endpoint in &self.failed {
            directory.record_peer_failure(endpoint, now);
        }
    }
}

/// Tells and hears loads, for ever.
pub async fn run(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    actix_rt::spawn(hear(Rc::clone(&gateway), Rc::clone(&socket)));
    loop {
        tokio::time::sleep(INTERVAL).await;
        let peers = gateway.store.peer_addresses();
        if let Some(datagram) = news(&gateway).filter(|_| !peers.is_empty()) {
            tell(&socket, &peers, &datagram).await;
        }
    }
}

/// What this gateway heard itself since the last datagram.
fn news(gateway: &Gateway) -> Option<Vec<u8>> {
    let now = gateway.clock.now();
    let since = now.saturating_sub(INTERVAL);
    let directory = gateway.directory.borrow();
    let heard = directory.reports_since(since).map(|(endpoint, load, at)| {
        let age_ms = whole_ms(now.saturating_sub(at));
        Heard(
            endpoint.clone(),
            load.running,
            load.waiting,
            load.slots,
            age_ms,
        )
    });
    let loads: Vec<Heard> = heard.take(MAX_LOADS).collect();
    let failed = directory.failures_since(since).take(MAX_FAILED).cloned();
    let failed: Vec<EndpointIdentity> = failed.collect();
    if loads.is_empty() && failed.is_empty() {
        return None;
    }
    Some(News { loads, failed }.datagram())
}

async fn tell(socket: &UdpSocket, peers: &[SocketAddr], datagram: &[u8]) {
    for peer in peers {
        // A peer that is gone, or a full link: the next datagram makes up for it.
        let _ = socket.send_to(datagram, peer).await;
    }
}

async fn hear(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        // An error tells of an earlier datagram that could not be delivered.
        let Ok((bytes, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        if let Some(message) = buffer[..bytes].strip_prefix(&limits::MARK) {
            limits::on_message(&gateway, message, from);
            continue;
        }
        if let Some(message) = buffer[..bytes].strip_prefix(&escrow::DATAGRAM_PREFIX) {
            escrow::on_message(&gateway, message, from);
            continue;
        }
        // Anyone may send a datagram; what is said by no gateway of this
        // version is passed over, as a datagram that is lost is.
        let Ok(news) = News::try_from(&buffer[..bytes]) else {
            continue;
        };
        let now = gateway.clock.now();
        news.tell(&mut gateway.directory.borrow_mut(), now);
    }
}
