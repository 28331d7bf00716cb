//! Tests of the ownership state machine of a single entry.

use std::time::Duration;

use rosebend_coordination::ownership::{
    HostRow, Ownership, OwnershipAction, OwnershipConfig, OwnershipEvent, ShardRow,
};

fn host(name: &str) -> HostRow {
    HostRow {
        host: name.to_owned(),
        incarnation: format!("{name}-run"),
        version: 1,
        peer_address: String::new(),
        leaving: false,
    }
}

fn row(shard: u32, owner: &str, epoch: u64, version: u64) -> ShardRow {
    ShardRow {
        shard,
        version,
        owner: owner.to_owned(),
        incarnation: format!("{owner}-run"),
        epoch,
    }
}

fn entry(shard_count: u32) -> Ownership {
    let config = OwnershipConfig {
        shard_count,
        ..OwnershipConfig::default()
    };
    let mut entry = Ownership::new(config, "a".to_owned(), "a-run".to_owned());
    let hosts = OwnershipEvent::HostsRead(vec![host("a"), host("b")]);
    entry.step(Duration::ZERO, hosts);
    entry
}

#[test]
fn shard_rows_are_read_until_every_shard_has_one() {
    let now = Duration::from_millis(100);
    let mut entry = entry(8);
    // Entry b has not taken over its shards yet.
    let own: Vec<_> = (0..8)
        .step_by(2)
        .map(|shard| row(shard, "a", 1, 5))
        .collect();
    entry.step(now, OwnershipEvent::ShardsRead(own.clone()));
    let hosts = OwnershipEvent::HostsRead(vec![host("a"), host("b")]);
    let actions = entry.step(now, hosts.clone());
    assert!(
        actions.contains(&OwnershipAction::ReadShards),
        "{actions:?}"
    );

    let others = (1..8).step_by(2).map(|shard| row(shard, "b", 1, 6));
    let all = own.into_iter().chain(others).collect();
    entry.step(now, OwnershipEvent::ShardsRead(all));
    assert!(entry.is_settled());
    assert_eq!(entry.step(now, hosts), []);
}

#[test]
fn a_shard_that_returns_under_a_new_epoch_is_reloaded() {
    let now = Duration::from_millis(100);
    let mut entry = entry(1);
    entry.step(now, OwnershipEvent::ShardsRead(vec![row(0, "a", 1, 5)]));
    // While this process was paused, another entry owned the shard for one epoch.
    let back = OwnershipEvent::ShardsRead(vec![row(0, "a", 3, 9)]);
    let actions = entry.step(now, back);
    let gained = OwnershipAction::Gained {
        shard: 0,
        epoch: 3,
        version: 9,
        is_new: false,
    };
    assert_eq!(actions, [OwnershipAction::Lost(0), gained]);
}

#[test]
fn handoffs_are_cancelled_when_the_table_is_unavailable() {
    let config = OwnershipConfig {
        shard_count: 64,
        ..OwnershipConfig::default()
    };
    let (settle, min_residence) = (config.settle, config.min_residence);
    let watch = config.watch_gap / 2;
    let mut entry = Ownership::new(config, "a".to_owned(), "a-run".to_owned());
    let all = (0..64).map(|shard| row(shard, "a", 1, 5)).collect();
    entry.step(Duration::ZERO, OwnershipEvent::ShardsRead(all));
    let mut drained = Vec::new();
    let mut now = Duration::ZERO;
    while now < min_residence + settle * 2 && drained.is_empty() {
        drained = drains(&entry.step(now, renewed(now)));
        now += watch;
    }
    assert!(drained.len() > 1);

    let first = drained[0];
    let failed = OwnershipEvent::HandoffEnded {
        shard: first,
        passed_on: false,
    };
    assert_eq!(entry.step(now, failed), [OwnershipAction::Stay(first)]);
    let rest: Vec<_> = drained[1..]
        .iter()
        .copied()
        .map(OwnershipAction::Stay)
        .collect();
    assert_eq!(entry.step(now, OwnershipEvent::TableUnavailable), rest);
    // When the table answers again, the handoffs are retried. The one that failed
    // is retried after the minimum residence.
    now += min_residence;
    assert_eq!(drains(&entry.step(now, renewed(now))), drained);
}

/// Returns an event in which both entries have renewed their rows at `now`.
fn renewed(now: Duration) -> OwnershipEvent {
    let version = u64::try_from(now.as_millis()).unwrap();
    let renewed = |name| HostRow {
        version,
        ..host(name)
    };
    OwnershipEvent::HostsRead(vec![renewed("a"), renewed("b")])
}

/// Returns the shards that the actions drain.
fn drains(actions: &[OwnershipAction]) -> Vec<u32> {
    let drain = |action: &OwnershipAction| match action {
        OwnershipAction::Drain { shard, .. } => Some(*shard),
        _ => None,
    };
    actions.iter().filter_map(drain).collect()
}

#[test]
fn a_failed_takeover_is_retried_after_hosts_are_read() {
    let now = Duration::from_millis(100);
    let mut entry = entry(1);
    // The owner of the shard no longer has a renewal row.
    let orphan = vec![row(0, "gone", 1, 5)];
    let mut actions = entry.step(now, OwnershipEvent::ShardsRead(orphan.clone()));
    let takes_over = |actions: &[OwnershipAction]| {
        actions
            .iter()
            .any(|action| matches!(action, OwnershipAction::TakeOver(_)))
    };
    if !takes_over(&actions) {
        // The shard prefers entry b, which is removed so that a takes over.
        let alone = OwnershipEvent::HostsRead(vec![host("a")]);
        actions = entry.step(now, alone);
    }
    assert!(takes_over(&actions), "{actions:?}");
    let failed = OwnershipEvent::TakeoverEnded {
        shards: vec![0],
        version: None,
    };
    entry.step(now, failed);
    let actions = entry.step(now, OwnershipEvent::ShardsRead(orphan));
    assert!(!takes_over(&actions), "{actions:?}");
    let actions = entry.step(now, OwnershipEvent::HostsRead(vec![host("a")]));
    assert!(takes_over(&actions), "{actions:?}");
}
