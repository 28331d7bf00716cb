//! Commits of many hosts under load: the share of changes that are durable in time, and
//! the calls to the store that they take.
//!
//! The failure is a burst on a shared commit path: hundreds of hosts write a little each,
//! and their calls together reach the rate limit of the store or the capacity of a
//! partition. Calls are then refused and sent again, which delays every change. The limits
//! are those that the store declares and the delay that a caller tolerates: a turn may take
//! 46 ms on its way, and two writes of 100 ms use up the slack of a program of four turns.

mod commit_sim;

use std::fmt::Write;
use std::time::Duration;

use commit_sim::{Batching, HOP, Load, TRANSACTION_TIME, Traffic, simulate};

/// Maximum time until a change is durable. Callers do not notice a shorter delay.
const MAX_LATENCY: Duration = Duration::from_millis(100);
/// Write rate of the largest known deployment, in writes per second.
const LARGE_WRITES_PER_S: u64 = 3_200;
/// Write rate of a deployment with several hundred writes per second.
const SEVERAL_HUNDRED_PER_S: u64 = 700;

/// Returns a load of 1 s at the usual rate, a burst of 2 s, and 2 s at the usual rate.
fn burst(hosts: u64, partitions: u64, writes_per_s: u64, usual: u64, peak: u64) -> Load {
    let second = Duration::from_secs(1);
    Load {
        hosts,
        partitions,
        writes_per_s,
        traffic: Traffic::Changes,
        phases: vec![(usual, second), (peak, 2 * second), (usual, 2 * second)],
    }
}

#[test]
fn changes_of_hundreds_of_hosts_are_durable_in_time() {
    let mut table = String::new();
    let deployments = [
        ("large", 16, LARGE_WRITES_PER_S, 2_000, 4_000),
        (
            "several hundred writes",
            16,
            SEVERAL_HUNDRED_PER_S,
            1_250,
            2_500,
        ),
    ];
    for (name, partitions, writes_per_s, usual, peak) in deployments {
        for hosts in [30, 100, 380] {
            for batching in [Batching::EachHost, Batching::OneHost] {
                let load = burst(hosts, partitions, writes_per_s, usual, peak);
                let simulated = simulate(&load, batching, MAX_LATENCY, 1);
                let stats = &simulated.phases;
                let percent = stats.iter().map(|phase| phase.in_time_percent());
                let percent: Vec<u64> = percent.collect();
                let calls: u64 = stats.iter().map(|phase| phase.calls).sum();
                let changes: u64 = stats.iter().map(|phase| phase.changes).sum();
                writeln!(
                    table,
                    "{name}, {hosts} hosts, {batching:?}: {percent:?} % in time, \
                     {} calls for 100 changes",
                    calls * 100 / changes
                )
                .unwrap();
                if batching == Batching::OneHost {
                    assert_eq!(simulated.calls_beyond_rate, 0, "{table}");
                    assert!(percent.iter().all(|percent| *percent >= 99), "{table}");
                }
            }
        }
    }
    insta::assert_snapshot!(table);
}

/// Guards against a turn whose end waits for the pace of its partition while the store is
/// idle: the end follows the reservation in the same partition after a few milliseconds,
/// and with a fixed interval between batches it waited for the rest of the interval.
#[test]
fn the_end_of_a_turn_waits_little_for_the_pace_before_an_idle_store() {
    // Turns per second, maximum delay in milliseconds beyond the store's answer.
    for (turns_per_s, max_delay_ms) in [(100, 5), (200, 10)] {
        for writes_per_s in [800, 1_500] {
            let load = Load {
                hosts: 1,
                partitions: 16,
                writes_per_s,
                traffic: Traffic::Turns,
                phases: vec![(turns_per_s, Duration::from_secs(8))],
            };
            let simulated = simulate(&load, Batching::EachHost, MAX_LATENCY, 1);
            let turn_end = simulated.phases[0].median_turn_end();
            let delay = turn_end.saturating_sub(TRANSACTION_TIME + 2 * HOP);
            assert!(
                delay <= Duration::from_millis(max_delay_ms),
                "{turns_per_s} turns and {writes_per_s} writes per second: {delay:?}"
            );
            assert_eq!(simulated.calls_beyond_rate, 0);
        }
    }
}
