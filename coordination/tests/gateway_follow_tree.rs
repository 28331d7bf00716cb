//! Tests of the distribution tree: its shape for any number of hosts, and the time of a
//! change until it has reached all hosts, also with faults.

mod follow_sim;

use std::collections::HashMap;
use std::time::Duration;

use follow_sim::{Fault, Simulation, ZONES, peer_host};
use rosebend_coordination::gateway::follow_tree::{FollowTree, MAX_CHILDREN, READERS, Source};

const NOW: Duration = Duration::from_secs(100);

/// Returns the source of each host of a zone, all of which know the same hosts.
fn sources(count: usize) -> HashMap<String, Source<usize>> {
    let hosts: Vec<_> = (0..count).map(peer_host).collect();
    let source = |host: &str| {
        let mut tree = FollowTree::new(host.to_owned());
        tree.set_hosts(hosts.clone());
        tree.source(NOW)
    };
    let hosts = hosts.iter().map(|host| host.host.clone());
    hosts
        .map(|host| {
            let source = source(&host);
            (host, source)
        })
        .collect()
}

/// Returns the number of hosts between one and the store.
fn depth(sources: &HashMap<String, Source<usize>>, host: &str) -> usize {
    match &sources[host] {
        Source::Store => 0,
        Source::Host(parent) => 1 + depth(sources, &parent.host),
    }
}

#[test]
fn a_zone_has_two_readers_and_no_host_has_too_many_children() {
    for count in [1, 2, 3, 10, 60, 125, 250, 800] {
        let sources = sources(count);
        let readers = sources.values().filter(|source| **source == Source::Store);
        assert_eq!(readers.count(), READERS.min(count), "{count} hosts");
        let mut children = HashMap::<&str, usize>::new();
        for source in sources.values() {
            if let Source::Host(parent) = source {
                *children.entry(&parent.host).or_default() += 1;
            }
        }
        let max_children = children.values().max().copied().unwrap_or(0);
        assert!(
            max_children <= MAX_CHILDREN,
            "{count} hosts: {max_children} children"
        );
        let deepest = sources.keys().map(|host| depth(&sources, host)).max();
        assert!(deepest <= Some(3), "{count} hosts: {deepest:?} levels");
    }
}

#[test]
fn parents_are_high_cpu_hosts() {
    let sources = sources(125);
    // Every third host of this test is a low-CPU host.
    for source in sources.values() {
        if let Source::Host(parent) = source {
            assert!(parent.processor_milli > 100, "{parent:?}");
        }
    }
}

#[test]
fn a_host_that_leaves_moves_few_others() {
    let before = sources(125);
    let after = sources(124);
    let moved = after
        .iter()
        .filter(|(host, source)| before[*host] != **source);
    // The host has at most 16 children, but each host of a later rank moves up by one.
    assert!(moved.count() <= 124);
}

#[test]
fn a_host_that_does_not_answer_is_skipped_until_its_backoff_ends() {
    let hosts: Vec<_> = (0..125).map(peer_host).collect();
    let sources = sources(125);
    let deep = sources.keys().find(|host| depth(&sources, host) == 2);
    let mut tree = FollowTree::new(deep.unwrap().clone());
    tree.set_hosts(hosts);
    let mut skipped = Vec::new();
    while let Source::Host(upstream) = tree.source(NOW) {
        assert!(!skipped.contains(&upstream.host));
        tree.record_timeout(&upstream.host, &upstream.process, NOW);
        skipped.push(upstream.host);
    }
    // The parent, its parent, and the other reader.
    assert_eq!(skipped.len(), 3);
    let later = NOW + Duration::from_secs(2);
    assert!(matches!(tree.source(later), Source::Host(upstream) if upstream.host == skipped[0]));
}

/// Returns the number of calls to the store in ten seconds without changes or faults.
fn idle_calls(hosts: usize) -> usize {
    let mut simulation = Simulation::new(hosts, 7);
    simulation.run_for(Duration::from_secs(5));
    let before = simulation.store_calls();
    simulation.run_for(Duration::from_secs(10));
    simulation.store_calls() - before
}

#[test]
fn calls_to_the_store_do_not_grow_with_the_hosts() {
    let few = idle_calls(300);
    let many = idle_calls(1_250);
    assert!(
        many <= few + few / 10,
        "{few} with 300 hosts, {many} with 1250"
    );
    // Each of the five zones has two readers, each with a call every 600 ms.
    assert!(many <= 10 * 10 * 2, "{many}");
}

#[test]
fn a_change_reaches_every_host_in_time() {
    for hosts in [30, 300, 1_250] {
        let mut simulation = Simulation::new(hosts, 3);
        simulation.run_for(Duration::from_secs(5));
        let reached = simulation.time_to_reach_all();
        assert!(
            reached <= Duration::from_millis(1_200),
            "{hosts}: {reached:?}"
        );
    }
}

#[test]
fn a_change_reaches_every_host_while_the_readers_fail() {
    let faults = [Fault::Killed, Fault::Frozen, Fault::CutFromStore];
    for fault in faults {
        for seed in 0..5 {
            let mut simulation = Simulation::new(625, seed);
            simulation.run_for(Duration::from_secs(5));
            for zone in 0..ZONES {
                simulation.fail_readers(zone, fault);
            }
            let reached = simulation.time_to_reach_all();
            assert!(
                reached <= Duration::from_millis(3_400),
                "{fault:?}, seed {seed}: {reached:?}"
            );
        }
    }
}

#[test]
fn a_change_reaches_every_host_while_a_third_cannot_read_the_store() {
    for seed in 0..5 {
        let mut simulation = Simulation::new(625, seed);
        simulation.run_for(Duration::from_secs(5));
        simulation.fail_share(0.35, Fault::CutFromStore);
        let reached = simulation.time_to_reach_all();
        assert!(
            reached <= Duration::from_millis(3_400),
            "seed {seed}: {reached:?}"
        );
    }
}

#[test]
fn a_change_reaches_hosts_that_know_different_hosts() {
    for seed in 0..5 {
        let mut simulation = Simulation::new(625, seed);
        simulation.hide_hosts(0.3);
        simulation.run_for(Duration::from_secs(5));
        let reached = simulation.time_to_reach_all();
        assert!(
            reached <= Duration::from_millis(3_400),
            "seed {seed}: {reached:?}"
        );
    }
}

#[test]
fn a_host_that_was_frozen_does_not_spread_an_older_version() {
    let mut simulation = Simulation::new(300, 1);
    simulation.run_for(Duration::from_secs(5));
    simulation.fail_readers(0, Fault::Frozen);
    simulation.time_to_reach_all();
    simulation.heal();
    // The simulation asserts that no version decreases.
    simulation.run_for(Duration::from_secs(5));
    assert!(simulation.all_are_current());
}
