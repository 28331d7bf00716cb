//! Makes the committed traces from a seed.
//!
//! The shapes follow the users' workloads: Coastal Soft Water's short urgent
//! chains with tool pauses, and Caribmar's record checks, which share long
//! context and fan out to sub-agents. Arrivals are a Poisson process whose
//! rate is set by the load, the share of the engines' full-batch capacity that
//! the programs need if all their history stays warm.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rosebend_state::id::ProgramId;

use crate::expected::expectations;
use crate::program::offered_percent;
use crate::trace::{EndpointKind, EndpointSpec, Fault, FaultKind, ProgramSpec, Step, Trace};

/// What to generate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scenario {
    /// Coastal Soft Water on an ordinary day.
    Coastal,
    /// Caribmar on an ordinary day.
    Caribmar,
    /// Programs that an outage kept back arrive at once.
    Burst,
    /// One of three customers sends many times its share.
    Flood,
    /// One engine is five times as slow for a while.
    Slow,
    /// One engine crashes at the peak, and a service.
    Crash,
    /// Every endpoint is restarted in turn.
    Rolling,
    /// Some programs loop without end.
    Endless,
    /// Caribmar with slow tools and little engine memory.
    Pauses,
}

/// A scenario's name is not known.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("unknown scenario {0:?}")]
pub struct UnknownScenario(String);

impl Scenario {
    /// All of them.
    pub const ALL: [Self; 9] = [
        Self::Coastal,
        Self::Caribmar,
        Self::Burst,
        Self::Flood,
        Self::Slow,
        Self::Crash,
        Self::Rolling,
        Self::Endless,
        Self::Pauses,
    ];

    /// Its name, which is also the name of its file.
    pub fn name(self) -> &'static str {
        match self {
            Self::Coastal => "coastal",
            Self::Caribmar => "caribmar",
            Self::Burst => "burst",
            Self::Flood => "flood",
            Self::Slow => "slow",
            Self::Crash => "crash",
            Self::Rolling => "rolling",
            Self::Endless => "endless",
            Self::Pauses => "pauses",
        }
    }
}

impl TryFrom<&str> for Scenario {
    type Error = UnknownScenario;

    fn try_from(name: &str) -> Result<Self, UnknownScenario> {
        let found = Self::ALL
            .into_iter()
            .find(|scenario| scenario.name() == name);
        found.ok_or_else(|| UnknownScenario(name.to_owned()))
    }
}

/// Makes the trace of a scenario, with `programs` programs at a load.
pub fn generate(scenario: Scenario, seed: u64, programs: usize, load_percent: u64) -> Trace {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut trace = Trace {
        header: vec![
            format!("rosebend-replay generate {}", scenario.name()),
            format!("seed {seed}, {programs} programs, load {load_percent} %"),
        ],
        ..Trace::default()
    };
    match scenario {
        Scenario::Caribmar => caribmar_endpoints(&mut trace, 400_000),
        Scenario::Pauses => caribmar_endpoints(&mut trace, 260_000),
        _ => coastal_endpoints(&mut trace),
    }
    for number in 0..programs {
        let spec = match scenario {
            Scenario::Caribmar => caribmar_program(&mut random, number, 1),
            Scenario::Pauses => caribmar_program(&mut random, number, 5),
            Scenario::Flood => flood_program(&mut random, number),
            _ => coastal_program(&mut random, number, "coastal"),
        };
        trace.programs.push(spec);
    }
    arrivals(&mut random, &mut trace, load_percent);
    add_special(&mut random, &mut trace, scenario);
    trace.programs.sort_by_key(|spec| spec.at_ms);
    trace.expectations = expectations(scenario, programs);
    trace
}

fn coastal_endpoints(trace: &mut Trace) {
    const ZONES: [&str; 3] = ["kamloops-hall", "kelowna-hall", "pg-hall"];
    push_engines(trace, "helper", &ZONES, 8, 200_000);
    push_services(
        trace,
        "dispatch",
        &ZONES,
        14,
        "calendar,parts,lookup,quote,dispatch",
    );
}

fn caribmar_endpoints(trace: &mut Trace, kv_tokens: u64) {
    const ZONES: [&str; 3] = ["newport-hall", "harbour-hall", "portmore-hall"];
    push_engines(trace, "agent", &ZONES, 9, kv_tokens);
    push_services(
        trace,
        "desk",
        &ZONES,
        15,
        "records,scan,registry,fee,letter",
    );
}

fn push_engines(trace: &mut Trace, name: &str, zones: &[&str], count: usize, kv_tokens: u64) {
    for number in 0..count {
        trace.endpoints.push(EndpointSpec {
            id: format!("{name}-{number}"),
            zone: zones[number % zones.len()].to_owned(),
            kind: EndpointKind::Engine { kv_tokens },
        });
    }
}

fn push_services(trace: &mut Trace, name: &str, zones: &[&str], count: usize, tools: &str) {
    for number in 0..count {
        trace.endpoints.push(EndpointSpec {
            id: format!("{name}-{number}"),
            zone: zones[number % zones.len()].to_owned(),
            kind: EndpointKind::Service {
                tools: tools.split(',').map(str::to_owned).collect(),
                slots: 16,
            },
        });
    }
}

fn model(random: &mut ChaCha8Rng, added: (u64, u64), answer: (u64, u64)) -> Step {
    Step::Model {
        added_tokens: random.random_range(added.0..=added.1),
        answer_tokens: random.random_range(answer.0..=answer.1),
    }
}

/// A tool call whose time is spread over a factor of sixteen, as `4^x`.
fn tool(random: &mut ChaCha8Rng, name: &str, typical_ms: u64, repeatable: bool) -> Step {
    let exponent: f64 = random.random_range(-1.0..=1.0);
    Step::Tool {
        name: name.to_owned(),
        repeatable,
        run_ms: (typical_ms as f64 * 4f64.powf(exponent)) as u64,
    }
}

fn coastal_program(random: &mut ChaCha8Rng, number: usize, customer: &str) -> ProgramSpec {
    const LOOKUPS: [(&str, u64); 3] = [("calendar", 400), ("parts", 1_200), ("lookup", 200)];
    let mut steps = vec![model(random, (200, 900), (60, 200))];
    for _ in 0..random.random_range(1..=5) {
        let (name, typical_ms) = LOOKUPS[random.random_range(0..LOOKUPS.len())];
        steps.push(tool(random, name, typical_ms, true));
        steps.push(model(random, (150, 700), (40, 180)));
    }
    let (name, typical_ms) = [("quote", 800), ("dispatch", 600)][random.random_range(0..2)];
    // Half of the callers are on the line; the others are called back.
    let deadline_ms = [30_000, 120_000][random.random_range(0..2)];
    steps.push(tool(random, name, typical_ms, false));
    steps.push(model(random, (80, 200), (60, 160)));
    ProgramSpec {
        at_ms: 0,
        id: program_id(customer, "visit", number),
        deadline_ms,
        prefix: Some((1 + random.random_range(0..3), 2_400)),
        endless: false,
        steps,
    }
}

fn flood_program(random: &mut ChaCha8Rng, number: usize) -> ProgramSpec {
    let customer = match number % 10 {
        0 => "coastal-phone",
        1 => "coastal-field",
        _ => "coastal-bulk",
    };
    coastal_program(random, number, customer)
}

/// A renewal, whose tools take `slowness` times as long as usual.
fn caribmar_program(random: &mut ChaCha8Rng, number: usize, slowness: u64) -> ProgramSpec {
    // Rule books of the flag administrations.
    const PREFIXES: [u64; 6] = [20_000, 28_000, 36_000, 44_000, 52_000, 60_000];
    let prefix = random.random_range(0..PREFIXES.len());
    let mut steps = vec![
        model(random, (2_000, 9_000), (80, 250)),
        tool(random, "records", 2_000 * slowness, true),
        model(random, (500, 3_000), (60, 200)),
    ];
    let branches = (0..random.random_range(2..=5))
        .map(|_| check(random, slowness))
        .collect();
    steps.push(Step::Fork(branches));
    steps.push(model(random, (600, 1_800), (150, 500)));
    steps.push(tool(random, "fee", 1_500, false));
    steps.push(model(random, (80, 200), (60, 160)));
    steps.push(tool(random, "letter", 800, false));
    steps.push(model(random, (80, 200), (40, 120)));
    let customer = if number.is_multiple_of(3) {
        "masters"
    } else {
        "agents"
    };
    ProgramSpec {
        at_ms: 0,
        id: program_id(customer, "renewal", number),
        deadline_ms: 180_000,
        prefix: Some((100 + prefix as u64, PREFIXES[prefix])),
        endless: false,
        steps,
    }
}

/// A sub-agent that checks one part of a record.
fn check(random: &mut ChaCha8Rng, slowness: u64) -> Vec<Step> {
    let mut steps = vec![model(random, (300, 1_500), (60, 200))];
    for _ in 0..random.random_range(1..=2) {
        let name = ["scan", "registry"][random.random_range(0..2)];
        steps.push(tool(random, name, 2_500 * slowness, true));
        steps.push(model(random, (400, 2_000), (60, 250)));
    }
    steps
}

fn program_id(customer: &str, session: &str, number: usize) -> ProgramId {
    ProgramId::new(customer, &format!("{session}-{number}")).expect("the name is accepted")
}

/// Spreads the programs as a Poisson process at a load.
fn arrivals(random: &mut ChaCha8Rng, trace: &mut Trace, load_percent: u64) {
    let mut at_us = 0.0;
    for spec in &mut trace.programs {
        at_us += -f64::ln(random.random_range(f64::MIN_POSITIVE..1.0)) * 1_000_000.0;
        spec.at_ms = (at_us / 1_000.0) as u64;
    }
    scale(trace, load_percent as f64);
}

/// Stretches or compresses the arrivals and faults to a load.
pub fn scale(trace: &mut Trace, load_percent: f64) {
    let factor = offered_percent(trace) / load_percent;
    let scaled = |ms: u64| (ms as f64 * factor) as u64;
    for spec in &mut trace.programs {
        spec.at_ms = scaled(spec.at_ms);
    }
    for fault in &mut trace.faults {
        fault.at_ms = scaled(fault.at_ms);
    }
}

fn add_special(random: &mut ChaCha8Rng, trace: &mut Trace, scenario: Scenario) {
    let last_ms = trace.programs.last().map_or(0, |spec| spec.at_ms);
    let fault = |at_ms, kind, endpoint: &str, for_ms| Fault {
        at_ms,
        kind,
        endpoint: endpoint.to_owned(),
        for_ms,
    };
    match scenario {
        Scenario::Coastal | Scenario::Caribmar | Scenario::Flood | Scenario::Pauses => {}
        Scenario::Burst => {
            // What came in the middle fifth waited for the platform.
            let (from, until) = (last_ms * 2 / 5, last_ms * 3 / 5);
            for spec in &mut trace.programs {
                if (from..until).contains(&spec.at_ms) {
                    spec.at_ms = until + random.random_range(0..3_000);
                }
            }
        }
        Scenario::Slow => {
            let slow = FaultKind::Slow(5);
            trace
                .faults
                .push(fault(last_ms / 5, slow, "helper-2", last_ms * 3 / 5));
        }
        Scenario::Crash => {
            trace
                .faults
                .push(fault(last_ms / 2, FaultKind::Crash, "helper-3", 20_000));
            trace.faults.push(fault(
                last_ms / 2 + 500,
                FaultKind::Crash,
                "dispatch-1",
                5_000,
            ));
        }
        Scenario::Rolling => {
            let endpoints = trace.endpoints.len() as u64;
            for (number, endpoint) in trace.endpoints.iter().enumerate() {
                let at_ms = last_ms / 10 + number as u64 * last_ms * 8 / 10 / endpoints;
                trace
                    .faults
                    .push(fault(at_ms, FaultKind::Restart, &endpoint.id, 3_000));
            }
        }
        Scenario::Endless => {
            trace.settings.insert("max_turns".to_owned(), 60);
            for number in 0..4 {
                let mut spec = coastal_program(random, 100_000 + number, "coastal");
                spec.endless = true;
                spec.at_ms = last_ms / 10 * (number as u64 + 1);
                trace.programs.push(spec);
            }
        }
    }
}
