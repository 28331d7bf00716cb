//! Commits of many hosts under load: how many changes are durable in time, and
//! at which price in calls.
//!
//! The pattern is that of a burst through a shared commit path: hundreds of hosts
//! write a little each, their calls together reach the store's rate or a
//! partition's, calls are refused and sent again, and each waits longer for it.
//! The figures are the store's declared limits and a caller's patience: a turn
//! may take 46 ms for its way, and two writes of 100 ms use up what a program of
//! four turns has to spare.

mod commit_world;

use std::fmt::Write;
use std::time::Duration;

use commit_world::{Joining, Load, play};
use rosebend_coordination::gateway::history::PARTITIONS;

/// Time in which a change is durable that its caller does not notice.
const LIMIT: Duration = Duration::from_millis(100);
/// Writes a second of the largest deployment that is known, and of letter 1's
/// aim ("several hundred").
const LARGE_WRITES_PER_S: u64 = 3_200;
const SEVERAL_HUNDRED_PER_S: u64 = 700;

/// Quiet for 1 s, a burst of 2 s, and 2 s after it.
fn burst(hosts: u64, partitions: u64, writes_per_s: u64, usual: u64, most: u64) -> Load {
    let second = Duration::from_secs(1);
    Load {
        hosts,
        partitions,
        writes_per_s,
        phases: vec![(usual, second), (most, 2 * second), (usual, 2 * second)],
    }
}

/// Calls for 100 changes at a steady load of 380 hosts.
fn calls_for_100(changes_per_s: u64) -> u64 {
    let load = burst(
        380,
        PARTITIONS,
        LARGE_WRITES_PER_S,
        changes_per_s,
        changes_per_s,
    );
    let fared = play(&load, Joining::OneHost, LIMIT, 1);
    let in_time: Vec<u64> = fared.iter().map(|phase| phase.in_time_percent()).collect();
    assert!(in_time.iter().all(|percent| *percent >= 99), "{in_time:?}");
    let calls: u64 = fared.iter().map(|phase| phase.calls).sum();
    let changes: u64 = fared.iter().map(|phase| phase.changes).sum();
    calls * 100 / changes
}

#[test]
fn a_change_costs_fewer_calls_the_more_there_are() {
    // 450 turns a second on 625 hosts, and twice as many.
    assert!(calls_for_100(900) <= 50);
    assert!(calls_for_100(1_800) <= 25);
    // Three times the burst of letter 1's aim.
    assert!(calls_for_100(8_000) <= 10);
}

#[test]
fn changes_of_hundreds_of_hosts_are_durable_in_time() {
    let mut table = String::new();
    let deployments = [
        ("large", PARTITIONS, LARGE_WRITES_PER_S, 2_000, 4_000),
        (
            "several hundred writes",
            PARTITIONS,
            SEVERAL_HUNDRED_PER_S,
            1_250,
            2_500,
        ),
    ];
    for (name, partitions, writes_per_s, usual, most) in deployments {
        for hosts in [30, 100, 380] {
            for joining in [Joining::EachHost, Joining::OneHost] {
                let load = burst(hosts, partitions, writes_per_s, usual, most);
                let fared = play(&load, joining, LIMIT, 1);
                let percent = fared.iter().map(|phase| phase.in_time_percent());
                let percent: Vec<u64> = percent.collect();
                let calls: u64 = fared.iter().map(|phase| phase.calls).sum();
                let changes: u64 = fared.iter().map(|phase| phase.changes).sum();
                writeln!(
                    table,
                    "{name}, {hosts} hosts, {joining:?}: {percent:?} % in time, \
                     {} calls for 100 changes",
                    calls * 100 / changes
                )
                .unwrap();
                if joining == Joining::OneHost {
                    assert!(percent.iter().all(|percent| *percent >= 99), "{table}");
                }
            }
        }
    }
    insta::assert_snapshot!(table);
}
