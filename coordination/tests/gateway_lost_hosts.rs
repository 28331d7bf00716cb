//! Tests of the detection of hosts that were lost for good.

use rosebend_coordination::gateway::lost_hosts::{LostHosts, MAX_MISSED_ROUNDS};

fn silent(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// Records rounds in which the same processes do not respond. Returns those that count as
/// lost after the last one.
fn record_rounds(hosts: &mut LostHosts, rounds: u32, names: &[&str]) -> Vec<String> {
    let mut lost = Vec::new();
    for _ in 0..rounds {
        lost = hosts.record_round(silent(names), true);
    }
    lost
}

/// Guards against rows of lost hosts that stay in the table, where limits are divided among
/// them.
#[test]
fn a_host_that_misses_all_probes_is_lost() {
    let mut hosts = LostHosts::default();
    assert!(record_rounds(&mut hosts, MAX_MISSED_ROUNDS - 1, &["a/1", "b/1"]).is_empty());
    assert_eq!(
        hosts.record_round(silent(&["a/1", "b/1"]), true),
        ["a/1", "b/1"]
    );
    // The deletion of a row may fail, and is then due again.
    assert_eq!(hosts.record_round(silent(&["a/1"]), true), ["a/1"]);
}

#[test]
fn a_response_starts_the_count_anew() {
    let mut hosts = LostHosts::default();
    record_rounds(&mut hosts, MAX_MISSED_ROUNDS - 1, &["a/1"]);
    record_rounds(&mut hosts, 1, &[]);
    assert!(record_rounds(&mut hosts, MAX_MISSED_ROUNDS - 1, &["a/1"]).is_empty());
}

/// Guards against a host that deletes the rows of others because it is cut off itself.
#[test]
fn no_host_is_lost_while_none_responds() {
    let mut hosts = LostHosts::default();
    for _ in 0..3 * MAX_MISSED_ROUNDS {
        assert!(hosts.record_round(silent(&["a/1"]), false).is_empty());
    }
    assert_eq!(hosts.record_round(silent(&["a/1"]), true), ["a/1"]);
}
