//! Tests that the load on the table, the observers per host and the endpoints per
//! host stay bounded for any number of hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use proptest::prelude::*;
use rosebend_coordination::neighbours::{
    Candidate, ENDPOINTS_PER_TARGET, WATCHED_ENTRIES, endpoints_of, watched_entries, watchers_of,
};
use rosebend_coordination::pace::{Pace, PaceConfig, status_poll};
use rosebend_state::id::{EndpointId, HostId};

const ZONES: usize = 7;

/// Returns the ids of `count` entry hosts.
fn hosts(count: usize) -> Vec<HostId> {
    (0..count).map(|number| format!("entry-{number}")).collect()
}

/// Returns the zone of the host or endpoint with this number.
fn zone(number: usize) -> String {
    format!("zone-{}", number % ZONES)
}

proptest! {
    #[test]
    fn writes_of_all_entries_stay_within_the_rate_of_the_table(
        entries in 1usize..2000,
        writes_per_second in 4u32..1000,
    ) {
        let config = PaceConfig { writes_per_second, ..PaceConfig::default() };
        let pace = Pace::new(&config, entries);
        prop_assert!(pace.lease >= pace.renew * 4);
        prop_assert!(pace.renew >= config.renew && pace.commit >= config.commit);
        let few = entries as f64 * (1.0 / 0.75 + 50.0) <= f64::from(writes_per_second);
        prop_assert!(few || pace.writes_per_second(entries) <= writes_per_second);
    }

    #[test]
    fn every_entry_has_the_same_number_of_watchers(count in 1usize..60) {
        let hosts = hosts(count);
        let mut watchers: BTreeMap<&HostId, usize> = BTreeMap::new();
        for host in &hosts {
            for watched in watched_entries(host, hosts.iter()) {
                *watchers.entry(watched).or_default() += 1;
            }
        }
        let expected = WATCHED_ENTRIES.min(count - 1);
        for host in &hosts {
            prop_assert_eq!(watchers.get(host).copied().unwrap_or(0), expected);
            for watcher in watchers_of(host, hosts.iter()) {
                prop_assert!(watched_entries(watcher, hosts.iter()).contains(&host));
            }
            prop_assert_eq!(watchers_of(host, hosts.iter()).len(), expected);
        }
    }
}

/// Distributes 180 endpoints of one model over 380 entries, in 7 zones.
#[test]
fn endpoints_are_spread_over_entries_and_zones() {
    let endpoints: Vec<(EndpointId, String)> = (0..180)
        .map(|number| (format!("engine-{number}"), zone(number)))
        .collect();
    let candidates: Vec<Candidate<'_>> = endpoints
        .iter()
        .map(|(endpoint, availability_zone)| Candidate {
            endpoint,
            availability_zone,
        })
        .collect();
    let mut entries_of: BTreeMap<&EndpointId, usize> = BTreeMap::new();
    for (number, host) in hosts(380).iter().enumerate() {
        let chosen = endpoints_of(host, &zone(number), &candidates);
        assert_eq!(chosen.len(), ENDPOINTS_PER_TARGET);
        let zones: BTreeSet<&String> = candidates
            .iter()
            .filter(|candidate| chosen.contains(candidate.endpoint))
            .map(|candidate| candidate.availability_zone)
            .collect();
        assert!(
            zones.len() > 1,
            "{host} would lose all endpoints with its zone"
        );
        for endpoint in chosen {
            *entries_of.entry(endpoint).or_default() += 1;
        }
    }
    let mean = 380 * ENDPOINTS_PER_TARGET / 180;
    for (endpoint, _) in &endpoints {
        let entries = entries_of.get(endpoint).copied().unwrap_or(0);
        assert!(
            entries * 2 > mean && entries < mean * 2,
            "{endpoint}: {entries} of {mean}"
        );
    }
}

#[test]
fn few_entries_use_the_configured_periods() {
    let pace = Pace::new(&PaceConfig::default(), 3);
    assert_eq!(pace.renew, Duration::from_millis(750));
    assert_eq!(pace.lease, Duration::from_secs(3));
    assert_eq!(pace.commit, Duration::from_millis(20));
    assert_eq!(pace.config_poll, Duration::from_millis(500));
}

/// With 380 entries, the poll for configuration changes and the poll that sends
/// them to the sidecars together take less than 4 s, half of the 8 s within which
/// a change must be in force.
#[test]
fn a_change_is_in_force_within_eight_seconds_at_380_entries() {
    let config = PaceConfig::default();
    let config_poll_period = Pace::new(&config, 380).config_poll;
    let status_poll_period = status_poll(&config, 4 * ENDPOINTS_PER_TARGET);
    assert!(config_poll_period + status_poll_period < Duration::from_secs(4));
}
