//! Datagrams between gateways: any bytes may come.

use std::time::Duration;

use proptest::prelude::*;
use rosebend_coordination::gateway::directory::{Directory, Wish};
use rosebend_gateway::gossip::{Heard, News};
use rosebend_state::deployment::EndpointRecord;

const NOW: Duration = Duration::from_secs(100);

fn directory() -> Directory {
    let mut directory = Directory::new("newport-hall".to_owned());
    for instance in ["a", "b"] {
        let record = EndpointRecord {
            instance: instance.to_owned(),
            service: "models".to_owned(),
            address: "127.0.0.1:9".parse().unwrap(),
            availability_zone: "newport-hall".to_owned(),
            slots: 8,
            draining: false,
            warming_up: Duration::MAX,
        };
        directory.announce(record, NOW);
    }
    directory
}

/// Takes a datagram as a gateway does, and then uses what it believes.
fn take(datagram: &[u8]) {
    let mut directory = directory();
    if let Ok(news) = News::try_from(datagram) {
        news.tell(&mut directory, NOW);
    }
    let wish = Wish {
        warm_tokens: u64::MAX,
        ..Wish::default()
    };
    assert!(directory.choose("models", wish, NOW, |_| true).is_some());
}

fn news() -> News {
    News {
        loads: vec![Heard("a".to_owned(), 3, 0, 8, 120)],
        failed: vec!["b".to_owned()],
    }
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
        let loads = loads.map(|(id, running, waiting, slots, age)| Heard(id, running, waiting, slots, age));
        let news = News { loads: loads.collect(), failed };
        take(&serde_json::to_vec(&news).unwrap());
    }
}
