//! Datagrams between gateways: any bytes may come.

use std::time::Duration;

use proptest::prelude::*;
use rosebend_coordination::gateway::directory::{Directory, EndpointQuery};
use rosebend_gateway::gossip::{Heard, News};
use rosebend_state::deployment::{EndpointIdentity, EndpointLoad, EndpointRecord};

const NOW: Duration = Duration::from_secs(100);

fn start(instance: &str, started_ms: u64) -> EndpointIdentity {
    EndpointIdentity {
        instance: instance.to_owned(),
        started_ms: Some(started_ms),
    }
}

fn directory() -> Directory {
    let mut directory = Directory::new("newport-hall".to_owned());
    for instance in ["a", "b"] {
        let record = EndpointRecord {
            identity: start(instance, 2),
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

/// Takes a datagram as a gateway does, and then uses what it believes.
fn take(datagram: &[u8]) {
    let mut directory = directory();
    if let Ok(news) = News::try_from(datagram) {
        news.tell(&mut directory, NOW);
    }
    let query = EndpointQuery {
        warm_tokens: u64::MAX,
        ..EndpointQuery::default()
    };
    assert!(directory.select("models", query, NOW, |_| true).is_some());
}

fn news() -> News {
    News {
        loads: vec![Heard(start("a", 2), 3, 0, 8, 120)],
        failed: vec![start("b", 2)],
    }
}

#[test]
fn a_datagram_is_read_as_it_was_sent_and_no_link_splits_it() {
    let datagram = news().datagram();
    assert_eq!(News::try_from(datagram.as_slice()).unwrap(), news());
    let long = "i".repeat(120);
    let many = News {
        loads: vec![Heard(start(&long, u64::MAX), 1, 1, 1, 1); 24],
        failed: vec![start(&long, u64::MAX); 16],
    };
    let datagram = many.datagram();
    assert!(datagram.len() <= 1_472, "{}", datagram.len());
    assert!(News::try_from(datagram.as_slice()).is_ok());
}

#[test]
fn a_peer_that_tells_no_start_is_not_believed_about_one() {
    let mut directory = directory();
    let datagram = br#"{"loads": [["a", 9, 9, 8, 0]], "failed": ["a", "a/1", "a/2", "a/3"]}"#;
    let news = News::try_from(datagram.as_slice()).unwrap();
    assert_eq!(news.failed[0], EndpointIdentity::unknown_start("a"));
    assert_eq!(news.failed[2], start("a", 2));
    news.tell(&mut directory, NOW);
    let load = EndpointLoad {
        running: 1,
        waiting: 0,
        slots: 8,
    };
    // Nothing was heard of this start before.
    directory.record_peer_report(&start("a", 2), load, Duration::ZERO);
    directory.apply_deletion("b", NOW, false);
    let chosen = directory.select("models", EndpointQuery::default(), NOW, |_| true);
    assert_eq!(chosen.unwrap().report_age, Some(NOW));
}

proptest! {
    #[test]
    fn no_bytes_stop_a_process(datagram in prop::collection::vec(any::<u8>(), 0..300)) {
        take(&datagram);
    }

    #[test]
    fn no_changed_byte_stops_a_process(
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
    ) {
        let mut datagram = serde_json::to_vec(&news()).unwrap();
        for (at, byte) in changes {
            let at = at.index(datagram.len());
            datagram[at] = byte;
        }
        take(&datagram);
    }

    #[test]
    fn no_numbers_stop_a_process(
        loads in prop::collection::vec(("[a-c]", any::<u32>(), any::<u32>(), any::<u32>(), any::<u64>()), 0..8),
        failed in prop::collection::vec("[a-c]", 0..40),
    ) {
        let loads = loads.into_iter();
        let loads = loads.map(|(id, running, waiting, slots, age)| Heard(start(&id, 2), running, waiting, slots, age));
        let failed = failed.iter().map(|id| start(id, 2));
        let news = News { loads: loads.collect(), failed: failed.collect() };
        take(&serde_json::to_vec(&news).unwrap());
    }
}
