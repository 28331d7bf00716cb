//! Sends the load reports of endpoints to other gateways, by datagrams.
//!
//! An endpoint reports its load with each response, but with 40 endpoints a gateway
//! receives a response of any one of them only every 1.5 s and has to estimate its
//! load in between. With estimates alone, the busiest engines ran 500 ms late while
//! others were idle. Each gateway therefore sends the reports that it has just
//! received to its few peers. A lost datagram is not sent again, because the next one
//! supersedes it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rosebend_coordination::gateway::directory::Directory;
use rosebend_state::deployment::{EndpointIdentity, EndpointLoad};
use rosebend_transport::clock::whole_ms;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::gateway::Gateway;
use crate::quarantine::{self, PeerEvidence};
use crate::{engine_scheduling, escrow, limits};

/// Time between two datagrams to a peer. It is short compared with the duration of a
/// request at an engine.
const INTERVAL: Duration = Duration::from_millis(150);
/// Maximum number of load reports in a datagram. They take about 1,000 bytes.
const MAX_LOADS: usize = 24;
/// Maximum number of failures in a datagram. With the load reports they take about
/// 1,450 bytes, and with speeds up to 120 bytes more.
const MAX_FAILURES: usize = 16;
/// Maximum number of pieces of evidence in a datagram. Load reports that do not fit beside
/// them are left out.
const MAX_EVIDENCE: usize = 4;
/// Maximum size of a sent datagram in bytes, so that no link fragments it. Entries that
/// do not fit, because ids are unusually long, are left out.
const MAX_SENT_BYTES: usize = 1_472;
/// Maximum size of a received datagram in bytes. Datagrams about limits contain names
/// of customers, those about escrow contain the accounts of a slot, and those about
/// engines contain the turns of a host.
const MAX_RECEIVED_BYTES: usize = 8_192;

/// Load of an endpoint incarnation as a gateway received it: the numbers of running
/// requests, waiting requests and slots, and the age of the report in milliseconds.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LoadReport(pub EndpointIdentity, pub u32, pub u32, pub u32, pub u64);

/// Load reports that a gateway received and failures that it observed since its last
/// datagram.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PeerReports {
    /// Loads that endpoints reported to the gateway.
    pub loads: Vec<LoadReport>,
    /// Incarnations of endpoints that failed, once for each failure.
    pub failed: Vec<EndpointIdentity>,
    /// Speeds of the endpoints in `loads`, in the same order: the work time in percent of
    /// the usual time, or `None` if the endpoint reported none. The list is left out if it
    /// is empty. Gateways of earlier versions do not send it and ignore it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub speeds: Vec<Option<u32>>,
    /// Evidence against requests that crash endpoints, which the store may lack. The list is
    /// left out if it is empty. Gateways of earlier versions do not send it and ignore it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub evidence: Vec<PeerEvidence>,
}

/// Error of a datagram that no gateway of this version can have sent.
#[derive(Debug, thiserror::Error)]
#[error("invalid datagram of load reports and failures: {0}")]
pub struct PeerReportsError(#[from] serde_json::Error);

impl TryFrom<&[u8]> for PeerReports {
    type Error = PeerReportsError;

    fn try_from(datagram: &[u8]) -> Result<Self, PeerReportsError> {
        Ok(serde_json::from_slice(datagram)?)
    }
}

impl PeerReports {
    /// Encodes as many of the reports and failures as fit into one datagram.
    ///
    /// # Panics
    ///
    /// Panics if serialization to JSON fails, which does not happen for text and numbers.
    pub fn into_datagram(mut self) -> Vec<u8> {
        loop {
            let datagram =
                serde_json::to_vec(&self).expect("text and numbers can be serialized to JSON");
            if datagram.len() <= MAX_SENT_BYTES {
                return datagram;
            }
            let is_shorter = self.loads.pop().is_some()
                || self.failed.pop().is_some()
                || self.evidence.pop().is_some();
            if !is_shorter {
                return datagram;
            }
            self.speeds.truncate(self.loads.len());
        }
    }

    /// Records the reports and failures in the directory. Those of another incarnation
    /// than the listed one have no effect.
    pub fn record_in(&self, directory: &mut Directory, now: Duration) {
        let speeds = self.speeds.iter().copied().chain(std::iter::repeat(None));
        for (report, speed) in self.loads.iter().zip(speeds) {
            let LoadReport(endpoint, running, waiting, slots, age_ms) = report;
            let load = EndpointLoad {
                running: *running,
                waiting: *waiting,
                slots: *slots,
                work_time_percent: speed,
            };
            let at = now.saturating_sub(Duration::from_millis(*age_ms));
            directory.record_peer_report(endpoint, load, at);
        }
        for endpoint in &self.failed {
            directory.record_peer_failure(endpoint, now);
        }
    }
}

/// Sends and receives load reports. Never returns.
pub async fn run(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    actix_rt::spawn(receive(Rc::clone(&gateway), Rc::clone(&socket)));
    loop {
        tokio::time::sleep(INTERVAL).await;
        let peers = gateway.store.peer_addresses();
        if let Some(datagram) = encode_recent_reports(&gateway).filter(|_| !peers.is_empty()) {
            send_to_peers(&socket, &peers, &datagram).await;
        }
    }
}

/// Encodes the reports that this gateway received from endpoints, and the failures that
/// it observed, since the last datagram. Returns `None` if there are none.
fn encode_recent_reports(gateway: &Gateway) -> Option<Vec<u8>> {
    let now = gateway.clock.now();
    let since = now.saturating_sub(INTERVAL);
    let directory = gateway.directory.borrow();
    let reports = directory.reports_since(since).map(|(endpoint, load, at)| {
        let age_ms = whole_ms(now.saturating_sub(at));
        let report = LoadReport(
            endpoint.clone(),
            load.running,
            load.waiting,
            load.slots,
            age_ms,
        );
        (report, load.work_time_percent)
    });
    let (loads, mut speeds): (Vec<LoadReport>, Vec<Option<u32>>) = reports.take(MAX_LOADS).unzip();
    if speeds.iter().all(Option::is_none) {
        speeds.clear();
    }
    let failed = directory.failures_since(since).take(MAX_FAILURES).cloned();
    let failed: Vec<EndpointIdentity> = failed.collect();
    let evidence = quarantine::evidence_for_peers(gateway, MAX_EVIDENCE);
    if loads.is_empty() && failed.is_empty() && evidence.is_empty() {
        return None;
    }
    let peer_reports = PeerReports {
        loads,
        failed,
        speeds,
        evidence,
    };
    Some(peer_reports.into_datagram())
}

/// Sends a datagram to each peer.
async fn send_to_peers(socket: &UdpSocket, peers: &[SocketAddr], datagram: &[u8]) {
    for peer in peers {
        // An error is ignored: the peer has stopped or the link is full, and the next
        // datagram supersedes this one.
        let _ = socket.send_to(datagram, peer).await;
    }
}

/// Receives the datagrams of peers and passes each to its module. Never returns.
async fn receive(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut buffer = [0; MAX_RECEIVED_BYTES];
    loop {
        // An error concerns an earlier datagram that could not be delivered.
        let Ok((bytes, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        if let Some(message) = buffer[..bytes].strip_prefix(&limits::DATAGRAM_PREFIX) {
            limits::on_message(&gateway, message, from);
            continue;
        }
        if let Some(message) = buffer[..bytes].strip_prefix(&escrow::DATAGRAM_PREFIX) {
            escrow::on_message(&gateway, message, from);
            continue;
        }
        let scheduling_prefix = &engine_scheduling::DATAGRAM_PREFIX;
        if let Some(message) = buffer[..bytes].strip_prefix(scheduling_prefix) {
            engine_scheduling::on_message(&gateway, message);
            continue;
        }
        // Any process may send a datagram. One that no gateway of this version can have
        // sent is ignored, like a lost datagram.
        let Ok(peer_reports) = PeerReports::try_from(&buffer[..bytes]) else {
            continue;
        };
        let now = gateway.clock.now();
        peer_reports.record_in(&mut gateway.directory.borrow_mut(), now);
        for evidence in &peer_reports.evidence {
            quarantine::record_from_peer(&gateway, evidence);
        }
    }
}
