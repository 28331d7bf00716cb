//! Operators race over a table that loses and delays answers; hosts hear of
//! the changes in any order.

mod configuration {
    pub mod table;
}

use std::collections::BTreeMap;

use configuration::table::{Delivery, Race, RaceEnd, customer};
use proptest::prelude::*;
use rosebend_coordination::configuration::{
    AppliedConfiguration, Change, ChangeOutcome, ConfigUpdate,
};
use rosebend_state::{
    id::Revision,
    resource::{Resource, ResourceKey},
};

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        6 => Just(Delivery::Answered),
        2 => Just(Delivery::AnswerLost),
        2 => Just(Delivery::DelayedUntilLater),
        1 => Just(Delivery::Refused),
        1 => Just(Delivery::LateCopyArrives),
    ]
}

/// The resources after all changes of a log, by replay.
fn replay(log: &[Change]) -> BTreeMap<ResourceKey, Resource> {
    let mut resources = BTreeMap::new();
    for change in log {
        match &change.resource {
            Some(resource) => resources.insert(change.key.clone(), resource.clone()),
            None => resources.remove(&change.key),
        };
    }
    resources
}

/// Every accepted change stands in the log once, no refused one ever does, and
/// the resources are those that the log gives.
fn check_race(race: &RaceEnd) {
    let ids: Vec<&str> = race
        .log
        .iter()
        .map(|(_, write_id)| write_id.as_str())
        .collect();
    for (write_id, outcome) in &race.outcomes {
        let times = ids.iter().filter(|id| *id == write_id).count();
        match outcome {
            ChangeOutcome::Accepted(change) => {
                assert_eq!(times, 1, "{write_id} was accepted");
                assert!(race.log.contains(&(change.clone(), write_id.clone())));
            }
            ChangeOutcome::Unknown { .. } => assert!(times <= 1, "{write_id} is unknown"),
            ChangeOutcome::NotRun | ChangeOutcome::Conflict(_) | ChangeOutcome::Unchanged(_) => {
                assert_eq!(times, 0, "{write_id} was not run: {outcome:?}");
            }
            ChangeOutcome::Damaged { key } => panic!("no row is damaged here, but {key}"),
        }
    }
    let revisions: Vec<Revision> = race.log.iter().map(|(change, _)| change.revision).collect();
    assert!(
        revisions.iter().copied().eq(1..=race.log.len() as u64),
        "{revisions:?}"
    );
    let log: Vec<Change> = race.log.iter().map(|(change, _)| change.clone()).collect();
    assert_eq!(replay(&log), race.resources);
}

/// A host's revision and resources never go back.
struct Watched {
    host: AppliedConfiguration,
    seen: BTreeMap<ResourceKey, Revision>,
    revision: Revision,
}

impl Watched {
    fn new() -> Self {
        Self {
            host: AppliedConfiguration::new(),
            seen: BTreeMap::new(),
            revision: 0,
        }
    }

    fn check(&mut self, log: &[Change]) {
        assert!(self.host.revision() >= self.revision);
        self.revision = self.host.revision();
        let in_force: BTreeMap<ResourceKey, Resource> = self
            .host
            .snapshot()
            .resources
            .into_iter()
            .map(|resource| (resource.key(), resource))
            .collect();
        // What is in force is exactly what the table held at that revision.
        assert_eq!(in_force, replay(&log[..self.revision as usize]));
        for (key, resource) in in_force {
            let seen = self.seen.entry(key).or_default();
            assert!(resource.revision() >= *seen);
            *seen = resource.revision();
        }
    }

    fn take(&mut self, update: ConfigUpdate, log: &[Change]) {
        match update {
            ConfigUpdate::Changes(changes) => {
                for change in changes {
                    self.host.offer(change);
                    self.check(log);
                }
            }
            ConfigUpdate::Snapshot(snapshot) => {
                self.host.load(snapshot);
                self.check(log);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn accepted_changes_stay_and_refused_ones_never_appear(
        moves in prop::collection::vec((0..3_usize, delivery()), 20..160),
    ) {
        check_race(&Race::run(&moves));
    }

    #[test]
    fn hosts_converge_and_never_step_back(
        moves in prop::collection::vec((0..3_usize, delivery()), 60..200),
        heard in prop::collection::vec((0..3_usize, any::<prop::sample::Index>()), 0..120),
    ) {
        let race = Race::run(&moves);
        let log: Vec<Change> = race.log.iter().map(|(change, _)| change.clone()).collect();
        let mut hosts = [Watched::new(), Watched::new(), Watched::new()];
        if !log.is_empty() {
            for (host, index) in heard {
                hosts[host].host.offer(index.get(&log).clone());
                hosts[host].check(&log);
            }
            // One host reads the rest from the table, the others from peers.
            for change in &log {
                hosts[0].host.offer(change.clone());
                hosts[0].check(&log);
            }
        }
        for behind in [1, 2] {
            let newest = hosts[behind - 1].host.revision();
            let handover = hosts[behind - 1].host.lacking(hosts[behind].host.revision(), usize::MAX);
            if let Some(handover) = handover {
                hosts[behind].take(handover, &log);
            }
            prop_assert_eq!(hosts[behind].host.revision(), newest);
        }
        for host in &hosts {
            prop_assert_eq!(host.host.revision(), log.len() as u64);
            prop_assert_eq!(host.host.missing(), None);
        }
    }
}

#[test]
fn a_host_far_behind_gets_a_snapshot_and_keeps_what_waits() {
    let change = |revision| Change {
        revision,
        key: customer(0).key(),
        resource: None,
    };
    let mut ahead = AppliedConfiguration::new();
    for revision in 1..=6_000 {
        ahead.offer(change(revision));
    }
    let Some(ConfigUpdate::Snapshot(snapshot)) = ahead.lacking(0, 10) else {
        panic!("6000 changes are more than a host keeps");
    };
    let mut behind = AppliedConfiguration::new();
    behind.offer(change(6_001));
    assert_eq!(behind.missing(), Some(1..=6_000));
    assert!(behind.load(snapshot.clone()));
    assert_eq!(behind.revision(), 6_001);
    assert!(!behind.load(snapshot));
    assert_eq!(behind.revision(), 6_001);
    let Some(ConfigUpdate::Changes(changes)) = ahead.lacking(5_990, 4) else {
        panic!("a host a little behind gets single changes");
    };
    let revisions: Vec<Revision> = changes.iter().map(|change| change.revision).collect();
    assert_eq!(revisions, [5_991, 5_992, 5_993, 5_994]);
}
