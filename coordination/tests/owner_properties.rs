//! Property tests of the owner's invariants under random interleavings of messages
//! and failures, in a simulation of three owners, two sidecars and one table.
//!
//! `PROPTEST_RNG_SEED` sets the seed of these runs. The ignored test draws fresh
//! seeds for the number of runs in `ROSEBEND_LONG_RUNS`, and prints the seed of a
//! failing run.

mod sim;

use std::fmt;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rand::RngExt;

use sim::{Mode, Simulation};

/// The exclusive upper bound of the number of choices in one run.
const MAX_CHOICES: usize = 1200;

/// The choices of one run: the kind and the selector of each. Its debug form is a
/// single line.
#[derive(Clone)]
struct Choices(Vec<(u8, u16)>);

impl fmt::Debug for Choices {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", self.0)
    }
}

/// Generates the choices of one run.
fn choices() -> impl Strategy<Value = Choices> {
    vec((any::<u8>(), any::<u16>()), MAX_CHOICES / 3..MAX_CHOICES).prop_map(Choices)
}

/// Runs a simulation: the first owner of each shard, the choices, and a phase
/// without faults. Panics if an invariant is violated.
fn run_simulation(mode: Mode, choices: &Choices) {
    let mut simulation = Simulation::new(mode, 7);
    for shard in 0..sim::SHARDS {
        simulation.takeover(shard as usize, shard, 1);
    }
    for (kind, selector) in &choices.0 {
        simulation.apply_choice(*kind, *selector);
    }
    simulation.run_fault_free_phase();
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
    fn invariants_hold_when_outcomes_are_durable_before_they_are_reported(choices in choices()) {
        run_simulation(STRICT, &choices);
    }

    #[test]
    fn invariants_hold_when_sidecars_are_unreachable_during_takeovers(choices in choices()) {
        run_simulation(PARTITIONS, &choices);
    }

    #[test]
    fn invariants_hold_when_outcomes_are_reported_early(choices in choices()) {
        run_simulation(EARLY, &choices);
    }

    #[test]
    fn invariants_hold_during_table_outages(choices in choices()) {
        run_simulation(OUTAGES, &choices);
    }
}

/// Returns the seed in `ROSEBEND_SEED`, in the form that the test with fresh seeds
/// prints, to repeat a failing run.
fn given_seed() -> Option<[u8; 32]> {
    let seed = std::env::var("ROSEBEND_SEED").ok()?;
    let bytes = seed.split(',').map(|byte| byte.trim().parse());
    let bytes: Result<Vec<u8>, _> = bytes.collect();
    bytes.ok()?.try_into().ok()
}

/// Runs all modes under fresh seeds and prints the seed of a failing run.
#[test]
#[ignore = "long: run with ROSEBEND_LONG_RUNS=10000 -- --ignored"]
fn invariants_hold_under_fresh_seeds() {
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
                run_simulation(mode, &choices);
                Ok(())
            });
            if let Err(failure) = outcome {
                panic!("seed {seed:?} in {mode:?}: {failure}");
            }
        }
    }
}
