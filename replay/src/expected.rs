//! The stated outcomes of each scenario.
//!
//! They hold for the committed traces, which are made with the seeds and loads
//! that their heads name. Bounds leave a tenth or so for changes that are not
//! meant to matter; facts are exact.

use crate::generate::Scenario;
use crate::trace::{Comparison, Expectation};

/// The outcomes that a trace of a scenario states.
pub fn expectations(scenario: Scenario, programs: usize) -> Vec<Expectation> {
    let mut all = vec![
        equal("finished", programs as f64),
        equal("doubled-effects", 0.0),
        at_most("held-ended-percent", 0.1),
        at_most("amplification", 1.05),
    ];
    all.extend(of_scenario(scenario));
    all
}

fn of_scenario(scenario: Scenario) -> Vec<Expectation> {
    match scenario {
        Scenario::Coastal => vec![
            at_most("p95-over-best-baseline", 0.95),
            at_most("p95-slowdown", 2.3),
            at_most("recomputed-percent", 1.0),
            at_most("herding", 1.5),
            at_least("goodput-over-best-baseline", 1.0),
        ],
        Scenario::Caribmar => vec![
            at_most("p95-over-best-baseline", 0.12),
            at_most("p95-slowdown", 2.5),
            at_most("recomputed-percent", 1.0),
            at_least("goodput-percent", 99.0),
        ],
        Scenario::Burst => vec![
            at_most("p95-over-best-baseline", 0.9),
            at_least("goodput-over-best-baseline", 1.0),
        ],
        Scenario::Flood => vec![
            at_most("p95-over-best-baseline", 0.88),
            at_least("goodput-over-best-baseline", 1.1),
            at_least("least-share", 0.9),
        ],
        // 1.3 times the p95 of the coastal trace, which has the same programs.
        Scenario::Slow => vec![
            at_most("p95-ms", 39_600.0),
            at_most("p95-over-best-baseline", 0.35),
        ],
        Scenario::Crash => vec![
            at_most("p95-over-best-baseline", 0.6),
            at_most("unknown", 5.0),
        ],
        Scenario::Rolling => vec![
            equal("cut-calls", 0.0),
            at_most("p95-over-best-baseline", 1.05),
        ],
        Scenario::Endless => vec![
            equal("ended-by-limit", 4.0),
            at_most("p95-over-best-baseline", 0.95),
        ],
        Scenario::Pauses => vec![
            at_most("p95-over-best-baseline", 0.25),
            at_most("recomputed-percent", 2.0),
        ],
    }
}

fn at_most(subject: &str, value: f64) -> Expectation {
    expectation(subject, Comparison::AtMost, value)
}

fn at_least(subject: &str, value: f64) -> Expectation {
    expectation(subject, Comparison::AtLeast, value)
}

fn equal(subject: &str, value: f64) -> Expectation {
    expectation(subject, Comparison::Equal, value)
}

fn expectation(subject: &str, comparison: Comparison, value: f64) -> Expectation {
    Expectation {
        subject: subject.to_owned(),
        comparison,
        value,
    }
}
