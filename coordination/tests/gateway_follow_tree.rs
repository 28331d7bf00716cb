//! Who follows whom, in fleets of any size, with faults.

mod follow_world;

use std::collections::HashMap;
use std::time::Duration;

use follow_world::{Fault, World, ZONES, candidate};
use rosebend_coordination::gateway::follow_tree::{FollowTree, MAX_CHILDREN, READERS, Source};

const NOW: Duration = Duration::from_secs(100);

/// The source of each host of a zone, all of which know the same hosts.
fn sources(count: usize) -> HashMap<String, Source<usize>> {
    let hosts: Vec<_> = (0..count).map(candidate).collect();
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

/// Hosts between one and the store.
fn depth(sources: &HashMap<String, Source<usize>>, host: &str) -> usize {
    match &sources[host] {
        Source::Store => 0,
        Source::Host(above) => 1 + depth(sources, &above.host),
    }
}

#[test]
fn a_zone_reads_the_store_by_two_hosts_and_no_host_has_many_followers() {
    for count in [1, 2, 3, 10, 60, 125, 250, 800] {
        let sources = sources(count);
        let readers = sources.values().filter(|source| **source == Source::Store);
        assert_eq!(readers.count(), READERS.min(count), "{count} hosts");
        let mut followers = HashMap::<&str, usize>::new();
        for source in sources.values() {
            if let Source::Host(above) = source {
                *followers.entry(&above.host).or_default() += 1;
            }
        }
        let most = followers.values().max().copied().unwrap_or(0);
        assert!(most <= MAX_CHILDREN, "{count} hosts: {most} followers");
        let deepest = sources.keys().map(|host| depth(&sources, host)).max();
        assert!(deepest <= Some(3), "{count} hosts: {deepest:?} levels");
    }
}

#[test]
fn strong_hosts_stand_above_weak_ones() {
    let sources = sources(125);
    // Of the hosts of this test every third is weak.
    for source in sources.values() {
        if let Source::Host(above) = source {
            assert!(above.processor_milli > 100, "{above:?}");
        }
    }
}

#[test]
fn a_host_that_comes_or_goes_moves_few_others() {
    let before = sources(125);
    let after = sources(124);
    let moved = after
        .iter()
        .filter(|(host, source)| before[*host] != **source);
    // It stood above 16 hosts at most, but each rank behind it moves up by one.
    assert!(moved.count() <= 124);
}

#[test]
fn a_silent_host_is_passed_by_on_the_way_up() {
    let hosts: Vec<_> = (0..125).map(candidate).collect();
    let sources = sources(125);
    let deep = sources.keys().find(|host| depth(&sources, host) == 2);
    let mut tree = FollowTree::new(deep.unwrap().clone());
    tree.set_hosts(hosts);
    let mut passed = Vec::new();
    while let Source::Host(above) = tree.source(NOW) {
        assert!(!passed.contains(&above.host));
        tree.record_timeout(&above.host, &above.process, NOW);
        passed.push(above.host);
    }
    // The host above, the one above that, and the other reader.
    assert_eq!(passed.len(), 3);
    let later = NOW + Duration::from_secs(2);
    assert!(matches!(tree.source(later), Source::Host(above) if above.host == passed[0]));
}

/// Calls at the store in ten calm seconds.
fn calm_calls(hosts: usize) -> usize {
    let mut world = World::new(hosts, 7);
    world.run_for(Duration::from_secs(5));
    let before = world.store_calls();
    world.run_for(Duration::from_secs(10));
    world.store_calls() - before
}

#[test]
fn calls_at_the_store_do_not_grow_with_the_hosts() {
    let few = calm_calls(300);
    let many = calm_calls(1_250);
    assert!(
        many <= few + few / 10,
        "{few} with 300 hosts, {many} with 1250"
    );
    // Two readers of five zones, one call each 600 ms.
    assert!(many <= 10 * 10 * 2, "{many}");
}

#[test]
fn a_change_reaches_every_host_at_once() {
    for hosts in [30, 300, 1_250] {
        let mut world = World::new(hosts, 3);
        world.run_for(Duration::from_secs(5));
        let reached = world.time_to_reach_all();
        assert!(
            reached <= Duration::from_millis(1_200),
            "{hosts}: {reached:?}"
        );
    }
}

#[test]
fn a_change_reaches_every_host_with_the_readers_struck() {
    let faults = [Fault::Killed, Fault::Frozen, Fault::CutFromStore];
    for fault in faults {
        for seed in 0..5 {
            let mut world = World::new(625, seed);
            world.run_for(Duration::from_secs(5));
            for zone in 0..ZONES {
                world.strike_readers(zone, fault);
            }
            let reached = world.time_to_reach_all();
            assert!(
                reached <= Duration::from_millis(3_400),
                "{fault:?}, seed {seed}: {reached:?}"
            );
        }
    }
}

#[test]
fn a_change_reaches_every_host_beside_a_third_that_the_store_refuses() {
    for seed in 0..5 {
        let mut world = World::new(625, seed);
        world.run_for(Duration::from_secs(5));
        world.strike_share(0.35, Fault::CutFromStore);
        let reached = world.time_to_reach_all();
        assert!(
            reached <= Duration::from_millis(3_400),
            "seed {seed}: {reached:?}"
        );
    }
}

#[test]
fn hosts_that_know_different_hosts_still_hear_of_every_change() {
    for seed in 0..5 {
        let mut world = World::new(625, seed);
        world.hide_hosts(0.3);
        world.run_for(Duration::from_secs(5));
        let reached = world.time_to_reach_all();
        assert!(
            reached <= Duration::from_millis(3_400),
            "seed {seed}: {reached:?}"
        );
    }
}

#[test]
fn a_host_that_stood_still_tells_nobody_of_the_past() {
    let mut world = World::new(300, 1);
    world.run_for(Duration::from_secs(5));
    world.strike_readers(0, Fault::Frozen);
    world.time_to_reach_all();
    world.heal();
    // A host that went back would fail an assertion of the world.
    world.run_for(Duration::from_secs(5));
    assert!(world.all_know_the_newest());
}
