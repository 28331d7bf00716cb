//! No KV hold outlives its lease, whatever is lost: orders to free, renewals,
//! lists of the engine, the sidecar itself.

use std::{
    collections::{BTreeMap, BTreeSet, HashSet},
    time::Duration,
};

use proptest::prelude::*;
use rosebend_coordination::endpoint::hold::{FIRST_LEASE, Holds, MAX_LEASE};
use rosebend_state::id::ProgramId;

const PROGRAMS: usize = 4;
const SHARDS: u32 = 2;

#[derive(Clone, Debug)]
enum Step {
    /// A call that will hold its program's cache starts.
    Start(usize),
    /// It ends; the engine holds the cache.
    End(usize),
    /// The owner of a shard sends its full list.
    Renew {
        shard: u32,
        listed: [bool; PROGRAMS],
        lease_ms: u64,
    },
    /// The engine is asked for its list.
    List,
    /// The newest list arrives.
    Reconcile,
    /// Orders to free are lost until the next of these.
    Lose(bool),
    Restart,
    Advance(u64),
}

#[derive(Default)]
struct World {
    holds: Holds,
    now: Duration,
    in_flight: HashSet<ProgramId>,
    engine: BTreeSet<String>,
    list: Vec<String>,
    loses: bool,
    leases: BTreeMap<ProgramId, Duration>,
}

fn program(index: usize) -> ProgramId {
    ProgramId::new("caribmar", &format!("renewal-{index}")).unwrap()
}

fn shard(index: usize) -> u32 {
    u32::try_from(index).unwrap() % SHARDS
}

impl World {
    fn step(&mut self, step: Step) {
        match step {
            Step::Start(index) => {
                self.in_flight.insert(program(index));
            }
            Step::End(index) => self.end(index),
            Step::Renew {
                shard,
                listed,
                lease_ms,
            } => self.renew(shard, listed, Duration::from_millis(lease_ms)),
            Step::List => self.list = self.engine.iter().cloned().collect(),
            Step::Reconcile => self.reconcile(),
            Step::Lose(loses) => self.loses = loses,
            Step::Restart => {
                // The engine goes on with its calls, and holds their caches.
                for program in self.in_flight.drain() {
                    self.engine.insert(program.to_string());
                }
                self.holds = Holds::default();
                self.leases.clear();
            }
            Step::Advance(ms) => self.now += Duration::from_millis(ms),
        }
        let expired = self.holds.expire(self.now);
        self.free(expired.iter().map(ProgramId::to_string).collect());
        for program in self.holds.programs() {
            assert!(
                self.leases[&program] > self.now,
                "a hold outlived its lease"
            );
        }
    }

    fn end(&mut self, index: usize) {
        let program = program(index);
        if self.in_flight.remove(&program) {
            self.engine.insert(program.to_string());
            self.leases.insert(program.clone(), self.now + FIRST_LEASE);
            self.holds.add(self.now, program, shard(index), 100);
        }
    }

    fn renew(&mut self, of: u32, listed: [bool; PROGRAMS], lease: Duration) {
        let listed = (0..PROGRAMS).filter(|index| listed[*index]);
        let listed: HashSet<_> = listed.map(program).collect();
        let freed = self
            .holds
            .renew(self.now, &HashSet::from([of]), &listed, lease);
        for index in (0..PROGRAMS).filter(|index| shard(*index) == of) {
            let program = program(index);
            assert_eq!(
                freed.contains(&program),
                self.leases.contains_key(&program) && !listed.contains(&program)
            );
            if let Some(until) = self.leases.get_mut(&program) {
                *until = self.now + lease.min(MAX_LEASE);
            }
        }
        self.free(freed.iter().map(ProgramId::to_string).collect());
    }

    fn reconcile(&mut self) {
        let unknown = self.holds.unknown(&self.list, &self.in_flight);
        let unknown: Vec<_> = unknown.into_iter().cloned().collect();
        for name in &unknown {
            let program = ProgramId::try_from(name.as_str()).unwrap();
            assert!(!self.in_flight.contains(&program), "freed under a call");
            assert!(!self.leases.contains_key(&program), "freed under a lease");
        }
        self.free(unknown);
    }

    fn free(&mut self, names: Vec<String>) {
        for name in names {
            self.leases
                .remove(&ProgramId::try_from(name.as_str()).unwrap());
            if !self.loses {
                self.engine.remove(&name);
            }
        }
    }
}

fn step() -> impl Strategy<Value = Step> {
    let lease_ms = 0..2 * u64::try_from(MAX_LEASE.as_millis()).unwrap();
    prop_oneof![
        3 => (0..PROGRAMS).prop_map(Step::Start),
        4 => (0..PROGRAMS).prop_map(Step::End),
        3 => (0..SHARDS, any::<[bool; PROGRAMS]>(), lease_ms)
            .prop_map(|(shard, listed, lease_ms)| Step::Renew { shard, listed, lease_ms }),
        2 => Just(Step::List),
        2 => Just(Step::Reconcile),
        1 => any::<bool>().prop_map(Step::Lose),
        1 => Just(Step::Restart),
        2 => (0..20_000u64).prop_map(Step::Advance),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    #[test]
    fn no_hold_outlives_its_lease(steps in prop::collection::vec(step(), 0..120)) {
        let mut world = World::default();
        for step in steps {
            world.step(step);
        }
        // The owner is gone; one look at the engine's list frees the rest.
        let longest_ms = u64::try_from(MAX_LEASE.max(FIRST_LEASE).as_millis()).unwrap();
        for step in [Step::Lose(false), Step::Advance(longest_ms), Step::List, Step::Reconcile] {
            world.step(step);
        }
        let in_flight = world.in_flight.iter().map(ProgramId::to_string);
        let held_later: BTreeSet<_> = in_flight.collect();
        prop_assert!(world.engine.is_subset(&held_later), "held: {:?}", world.engine);
    }
}

#[test]
fn calls_go_before_holds_that_are_longest_idle() {
    let mut holds = Holds::default();
    for index in 0..PROGRAMS {
        let at = Duration::from_secs(u64::try_from(index).unwrap());
        holds.add(at, program(index), shard(index), 100);
    }
    let in_flight = HashSet::from([program(0)]);
    assert!(holds.trim(300, &in_flight).is_empty());
    assert_eq!(holds.trim(150, &in_flight), [program(1), program(2)]);
    assert_eq!(holds.programs(), [program(0), program(3)]);
}
