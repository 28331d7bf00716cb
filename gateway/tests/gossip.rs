//! Tests the encoding and decoding of load report datagrams between gateways. Any
//! process can send a datagram, so no content may stop a gateway.

use std::time::Duration;

use proptest::prelude::*;
use rosebend_coordination::gateway::directory::{Directory, EndpointQuery};
use rosebend_gateway::gossip::{LoadReport, PeerReports};
use rosebend_gateway::quarantine::PeerEvidence;
use rosebend_state::deployment::{EndpointIdentity, EndpointLoad, EndpointRecord};

const NOW: Duration = Duration::from_secs(100);

/// Returns the identity of an incarnation.
fn incarnation(instance: &str, started_ms: u64) -> EndpointIdentity {
    EndpointIdentity {
        instance: instance.to_owned(),
        started_ms: Some(started_ms),
    }
}

fn directory() -> Directory {
    let mut directory = Directory::new("newport-hall".to_owned());
    for instance in ["a", "b"] {
        let record = EndpointRecord {
            identity: incarnation(instance, 2),
            service: "models".to_owned(),
            address: "127.0.0.1:9".parse().unwrap(),
            availability_zone: "newport-hall".to_owned(),
            slots: 8,
            draining: false,
            warming_up: Duration::MAX,
        };
        directory.apply_entry(record, NOW);
    }
    directory
}

/// Records a datagram in a directory as a gateway does, and then selects an endpoint.
fn receive(datagram: &[u8]) {
    let mut directory = directory();
    if let Ok(peer_reports) = PeerReports::try_from(datagram) {
        peer_reports.record_in(&mut directory, NOW);
    }
    let query = EndpointQuery {
        warm_tokens: u64::MAX,
        ..EndpointQuery::default()
    };
    assert!(directory.select("models", query, NOW, |_| true).is_some());
}

fn peer_reports() -> PeerReports {
    PeerReports {
        loads: vec![LoadReport(incarnation("a", 2), 3, 0, 8, 120)],
        failed: vec![incarnation("b", 2)],
        ..PeerReports::default()
    }
}

#[test]
fn a_datagram_round_trips_and_keeps_to_the_maximum_size() {
    let datagram = peer_reports().into_datagram();
    assert_eq!(
        PeerReports::try_from(datagram.as_slice()).unwrap(),
        peer_reports()
    );
    let long = "i".repeat(120);
    let many = PeerReports {
        loads: vec![LoadReport(incarnation(&long, u64::MAX), 1, 1, 1, 1); 24],
        failed: vec![incarnation(&long, u64::MAX); 16],
        ..PeerReports::default()
    };
    let datagram = many.into_datagram();
    assert!(datagram.len() <= 1_472, "{}", datagram.len());
    assert!(PeerReports::try_from(datagram.as_slice()).is_ok());
}

#[test]
fn reports_without_a_start_time_do_not_apply_to_a_known_incarnation() {
    let mut directory = directory();
    let datagram = br#"{"loads": [["a", 9, 9, 8, 0]], "failed": ["a", "a/1", "a/2", "a/3"]}"#;
    let peer_reports = PeerReports::try_from(datagram.as_slice()).unwrap();
    assert_eq!(peer_reports.failed[0], EndpointIdentity::unknown_start("a"));
    assert_eq!(peer_reports.failed[2], incarnation("a", 2));
    peer_reports.record_in(&mut directory, NOW);
    let load = EndpointLoad {
        running: 1,
        waiting: 0,
        slots: 8,
        work_time_percent: None,
    };
    // A report with the earliest time takes effect, so no report of this incarnation
    // was recorded before.
    directory.record_peer_report(&incarnation("a", 2), load, Duration::ZERO);
    directory.apply_deletion("b", NOW, false);
    let chosen = directory.select("models", EndpointQuery::default(), NOW, |_| true);
    assert_eq!(chosen.unwrap().report_age, Some(NOW));
}

proptest! {
    #[test]
    fn arbitrary_bytes_do_not_panic(datagram in prop::collection::vec(any::<u8>(), 0..300)) {
        receive(&datagram);
    }

    #[test]
    fn corrupted_datagrams_do_not_panic(
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
    ) {
        let mut datagram = serde_json::to_vec(&peer_reports()).unwrap();
        for (at, byte) in changes {
            let at = at.index(datagram.len());
            datagram[at] = byte;
        }
        receive(&datagram);
    }

    #[test]
    fn arbitrary_numbers_do_not_panic(
        loads in prop::collection::vec(("[a-c]", any::<u32>(), any::<u32>(), any::<u32>(), any::<u64>()), 0..8),
        failed in prop::collection::vec("[a-c]", 0..40),
    ) {
        let loads = loads.into_iter();
        let loads = loads.map(|(id, running, waiting, slots, age)| LoadReport(incarnation(&id, 2), running, waiting, slots, age));
        let failed = failed.iter().map(|id| incarnation(id, 2));
        let peer_reports = PeerReports {
            loads: loads.collect(),
            failed: failed.collect(),
            ..PeerReports::default()
        };
        receive(&serde_json::to_vec(&peer_reports).unwrap());
    }
}

/// Returns evidence against requests, as hosts send it while the store may lack it.
fn evidence(count: usize) -> Vec<PeerEvidence> {
    let evidence = (0..count).map(|number| PeerEvidence {
        key: format!("{number:016x}/i-{number}/{}", u64::MAX),
        age_ms: 120,
    });
    evidence.collect()
}

/// Guards against mixed versions in which one drops the datagrams of the other.
#[test]
fn gateways_with_and_without_evidence_understand_each_other() {
    let sent = PeerReports {
        evidence: evidence(2),
        ..peer_reports()
    };
    let datagram = sent.clone().into_datagram();
    assert_eq!(PeerReports::try_from(datagram.as_slice()).unwrap(), sent);
    let earlier: EarlierPeerReports = serde_json::from_slice(&datagram).unwrap();
    assert_eq!((earlier.loads, earlier.failed), (sent.loads, sent.failed));
}

/// Guards against evidence that is left out of a datagram for the sake of load reports, which
/// the next datagram replaces.
#[test]
fn evidence_takes_precedence_over_load_reports() {
    let long = "i".repeat(40);
    let many = PeerReports {
        loads: vec![LoadReport(incarnation(&long, u64::MAX), 1, 1, 1, 1); 24],
        failed: vec![incarnation(&long, u64::MAX); 16],
        speeds: vec![Some(10_000); 24],
        evidence: evidence(4),
    };
    let datagram = many.into_datagram();
    assert!(datagram.len() <= 1_472, "{}", datagram.len());
    let received = PeerReports::try_from(datagram.as_slice()).unwrap();
    assert_eq!(received.evidence, evidence(4));
}

/// The fields that gateways sent before speeds were forwarded.
#[derive(Debug, serde::Deserialize)]
struct EarlierPeerReports {
    loads: Vec<LoadReport>,
    failed: Vec<EndpointIdentity>,
}

fn reports_with_speeds(speeds: Vec<Option<u32>>) -> PeerReports {
    let loads = ["a", "b"].map(|instance| LoadReport(incarnation(instance, 2), 3, 0, 8, 120));
    PeerReports {
        loads: loads.to_vec(),
        failed: vec![incarnation("b", 2)],
        speeds,
        evidence: Vec::new(),
    }
}

/// Returns the endpoint that is selected after the reports, if it is by its speed.
fn selected_by_speed(peer_reports: &PeerReports) -> Option<String> {
    let mut directory = directory();
    peer_reports.record_in(&mut directory, NOW);
    let query = EndpointQuery::default();
    let chosen = directory.select("models", query, NOW, |_| true).unwrap();
    let instance = &chosen.record.identity.instance;
    chosen.work_time_percent.map(|_| instance.clone())
}

/// Guards against mixed versions in which one drops the loads of the other.
#[test]
fn gateways_with_and_without_speeds_understand_each_other() {
    let sent = reports_with_speeds(vec![Some(400), Some(70)]);
    let datagram = sent.clone().into_datagram();
    assert_eq!(PeerReports::try_from(datagram.as_slice()).unwrap(), sent);
    let earlier: EarlierPeerReports = serde_json::from_slice(&datagram).unwrap();
    assert_eq!((earlier.loads, earlier.failed), (sent.loads, sent.failed));

    let of_earlier = br#"{"loads":[["a/2",3,0,8,120]],"failed":["b/2"]}"#;
    let received = PeerReports::try_from(of_earlier.as_slice()).unwrap();
    assert_eq!(received, peer_reports());
    assert_eq!(peer_reports().into_datagram(), of_earlier);
    assert_eq!(selected_by_speed(&received), None);
}

#[test]
fn speeds_belong_to_the_loads_in_their_order_and_invalid_ones_are_ignored() {
    let selected = |speeds| selected_by_speed(&reports_with_speeds(speeds));
    // Both endpoints have the same load, so the faster one is selected.
    assert_eq!(selected(vec![Some(400), Some(70)]).unwrap(), "b");
    assert_eq!(selected(vec![Some(70), Some(400)]).unwrap(), "a");
    assert_eq!(selected(vec![Some(70), Some(400), Some(1)]).unwrap(), "a");
    assert!(selected(vec![Some(70)]).is_some());
    assert_eq!(selected(vec![Some(0), Some(10_001)]), None);
    assert_eq!(selected(vec![Some(1_000_000_000), None]), None);
    assert_eq!(selected(Vec::new()), None);
}

#[test]
fn a_datagram_with_speeds_keeps_to_the_maximum_size() {
    let long = "i".repeat(40);
    let many = PeerReports {
        loads: vec![LoadReport(incarnation(&long, u64::MAX), 1, 1, 1, 1); 24],
        failed: vec![incarnation(&long, u64::MAX); 16],
        speeds: vec![Some(10_000); 24],
        evidence: Vec::new(),
    };
    let datagram = many.into_datagram();
    assert!(datagram.len() <= 1_472, "{}", datagram.len());
    let received = PeerReports::try_from(datagram.as_slice()).unwrap();
    assert!(!received.loads.is_empty());
    assert_eq!(received.speeds.len(), received.loads.len());
}
