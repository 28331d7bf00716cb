//! What must always hold, in a world of three owners, two sidecars and one
//! table, under random interleavings of messages and failures.
//!
//! The fixed seed of these runs comes from `PROPTEST_RNG_SEED`. The ignored
//! test draws fresh seeds for as many runs as `ROSEBEND_LONG_RUNS` says, and
//! prints the seed that fails.

mod world;

use std::fmt;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rand::RngExt;

use world::{Mode, World};

/// Choices of one run, at most.
const CHOICES: usize = 1200;

/// The choices of one run, printed on one line.
#[derive(Clone)]
struct Choices(Vec<(u8, u16)>);

impl fmt::Debug for Choices {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", self.0)
    }
}

fn choices() -> impl Strategy<Value = Choices> {
    vec((any::<u8>(), any::<u16>()), CHOICES / 3..CHOICES).prop_map(Choices)
}

fn run(mode: Mode, choices: &Choices) {
    let mut world = World::new(mode, 7);
    for shard in 0..world::SHARDS {
        world.takeover(shard as usize, shard, 1);
    }
    for (what, which) in &choices.0 {
        world.choose(*what, *which);
    }
    world.come_to_rest();
}

const STRICT: Mode = Mode {
    early_end: false,
    outages: false,
    partitions: false,
};
const PARTITIONS: Mode = Mode {
    early_end: false,
    outages: false,
    partitions: true,
};
const EARLY: Mode = Mode {
    early_end: true,
    outages: false,
    partitions: true,
};
const OUTAGES: Mode = Mode {
    early_end: true,
    outages: true,
    partitions: true,
};

proptest! {
    #![proptest_config(Config { cases: 200, failure_persistence: None, ..Config::default() })]

    #[test]
    fn holds_when_ends_are_durable_before_they_are_told(choices in choices()) {
        run(STRICT, &choices);
    }

    #[test]
    fn holds_when_sidecars_are_out_of_reach_at_takeovers(choices in choices()) {
        run(PARTITIONS, &choices);
    }

    #[test]
    fn holds_when_ends_are_told_early(choices in choices()) {
        run(EARLY, &choices);
    }

    #[test]
    fn holds_through_outages_of_the_table(choices in choices()) {
        run(OUTAGES, &choices);
    }
}

/// The seed to run again, as the long mode printed it.
fn given_seed() -> Option<[u8; 32]> {
    let seed = std::env::var("ROSEBEND_SEED").ok()?;
    let bytes = seed.split(',').map(|byte| byte.trim().parse());
    let bytes: Result<Vec<u8>, _> = bytes.collect();
    bytes.ok()?.try_into().ok()
}

/// Draws fresh seeds and prints the one that fails.
#[test]
#[ignore = "long: run with ROSEBEND_LONG_RUNS=10000 -- --ignored"]
fn holds_under_fresh_seeds() {
    let runs = std::env::var("ROSEBEND_LONG_RUNS");
    let runs: u32 = runs.map_or(2000, |runs| runs.parse().expect("a number of runs"));
    for _ in 0..runs.div_ceil(100) {
        let seed = given_seed().unwrap_or_else(|| rand::rng().random());
        for mode in [STRICT, PARTITIONS, EARLY, OUTAGES] {
            let config = Config {
                cases: 25,
                failure_persistence: None,
                ..Config::default()
            };
            let random = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
            let mut runner = TestRunner::new_with_rng(config, random);
            let outcome = runner.run(&choices(), |choices| {
                run(mode, &choices);
                Ok(())
            });
            if let Err(failure) = outcome {
                panic!("seed {seed:?} in {mode:?}: {failure}");
            }
        }
    }
}
