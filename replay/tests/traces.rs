//! The committed traces, replayed against the outcomes that they state.

use rosebend_replay::command::{read_trace, report};
use rosebend_replay::generate::{Scenario, generate};
use rosebend_replay::policies::{Policy, Role};
use rosebend_replay::replay::Replay;
use rosebend_replay::report::Row;
use rosebend_replay::trace::Trace;

const SEED: u64 = 1;

fn path(scenario: Scenario) -> String {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../testdata/traces");
    format!("{root}/{}.trace", scenario.name())
}

fn without_ablations() -> Vec<Policy> {
    let mut policies = Policy::all();
    policies.retain(|policy| policy.role != Role::Ablation);
    policies
}

#[test]
fn committed_traces_have_their_stated_outcomes() {
    let mut failed = Vec::new();
    for scenario in Scenario::ALL {
        let path = path(scenario);
        let trace = read_trace(&path).unwrap();
        assert!(!trace.expectations.is_empty(), "{path} states no outcome");
        let report = report(&path, &trace, &without_ablations(), SEED);
        for expectation in &trace.expectations {
            match report.check(expectation) {
                Some((true, _)) => {}
                other => failed.push(format!("{}: {expectation}: {other:?}", scenario.name())),
            }
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

#[test]
fn committed_traces_are_what_the_generator_makes() {
    for scenario in Scenario::ALL {
        let text = std::fs::read_to_string(path(scenario)).unwrap();
        let trace = Trace::try_from(text.as_str()).unwrap();
        assert_eq!(
            trace.to_string(),
            text,
            "{} is written as read",
            scenario.name()
        );
        let parameters = parameters(&trace.header[1]);
        let [seed, programs, load] = parameters[..] else {
            panic!("the head names seed, programs and load");
        };
        let made = generate(scenario, seed, programs as usize, load);
        assert_eq!(made.to_string(), text, "{}", scenario.name());
    }
}

fn parameters(header: &str) -> Vec<u64> {
    let words = header.split(|c: char| !c.is_ascii_digit());
    words.filter_map(|word| word.parse().ok()).collect()
}

#[test]
fn equal_seeds_give_equal_replays() {
    let trace = generate(Scenario::Crash, 7, 150, 85);
    for policy in Policy::all() {
        let json = |_| {
            let measures = Replay::run(&trace, &policy, SEED);
            serde_json::to_string(&Row::new(&policy, &measures, 8)).unwrap()
        };
        assert_eq!(json(1), json(2), "{}", policy.name);
    }
}

#[test]
fn report_of_a_short_trace() {
    let trace = generate(Scenario::Flood, 7, 200, 140);
    let report = report("short.trace", &trace, &without_ablations(), SEED);
    insta::assert_snapshot!(report.table());
}

#[test]
fn lines_that_cannot_be_read_are_named() {
    let problem = |text: &str| Trace::try_from(text).unwrap_err().to_string();
    let lines = [
        "set entries",
        "engine e zone=z",
        "fault 1 melt e",
        "expect p95-ms < 3",
        "program 1 c/s deadline=5 ( m1/2",
        "program 1 c/s deadline=5 x1/2",
        "queue 1",
    ];
    let problems: Vec<String> = lines.into_iter().map(problem).collect();
    insta::assert_snapshot!(problems.join("\n"));
}
