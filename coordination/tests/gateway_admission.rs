//! Simulates a burst that exceeds the capacity of the engines, and compares the
//! programs that complete in time, during the burst and after it, with and without
//! admission control.
//!
//! The test guards against an overload that outlasts the burst. Engines serve
//! requests in order of arrival, so each turn of each program waits during a burst,
//! and the programs started in it keep the queues long when the arrival rate is
//! normal again. The simulated deployment has 40 engines with 8 slots. Turns take
//! 280 ms, and programs have 4 turns with a pause of 300 ms. The target is 1.4 times
//! the duration on idle engines plus 250 ms.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::fmt::Write;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rosebend_coordination::gateway::admission::{Admission, Urgency};

const ENGINES: usize = 40;
const SLOTS: usize = 8;
const TURN_MS: u64 = 280;
/// Time to the first byte on an idle engine.
const FIRST_BYTE_MS: u64 = 40;
const PAUSE_MS: u64 = 300;
const TURNS: u64 = 4;
const TARGET_MS: u64 = (TURNS * TURN_MS + (TURNS - 1) * PAUSE_MS) * 14 / 10 + 250;
/// Normal arrival rate of programs. The engines can serve 285 programs per second.
const NORMAL_PER_S: u64 = 200;
const BURST_PER_S: u64 = 560;
const SERVICE: &str = "models";

/// Arrival rate and duration in seconds of each phase: normal load for 4 s, a burst
/// for 8 s, and normal load for 8 s.
const PHASES: [(u64, u64); 3] = [(NORMAL_PER_S, 4), (BURST_PER_S, 8), (NORMAL_PER_S, 8)];

#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrives { program: usize },
    Ends { engine: usize, program: usize },
}

struct Program {
    phase: usize,
    started_ms: u64,
    turns_left: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct PhaseStats {
    offered: u64,
    in_time: u64,
    refused: u64,
}

struct Simulation {
    now_ms: u64,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    programs: Vec<Program>,
    /// Time at which each waiting turn was queued, and its program, by engine.
    queues: Vec<VecDeque<(u64, usize)>>,
    running: Vec<usize>,
    admission: Option<Admission>,
    stats: [PhaseStats; 3],
    random: ChaCha8Rng,
}

fn simulate(with_admission: bool) -> [PhaseStats; 3] {
    let mut simulation = Simulation {
        now_ms: 0,
        events: BinaryHeap::new(),
        programs: Vec::new(),
        queues: vec![VecDeque::new(); ENGINES],
        running: vec![0; ENGINES],
        admission: with_admission.then(Admission::default),
        stats: [PhaseStats::default(); 3],
        random: ChaCha8Rng::seed_from_u64(1),
    };
    simulation.schedule_programs();
    while let Some(Reverse((at_ms, event))) = simulation.events.pop() {
        simulation.now_ms = at_ms;
        match event {
            Event::Arrives { program } => simulation.handle_arrival(program),
            Event::Ends { engine, program } => simulation.handle_turn_end(engine, program),
        }
    }
    simulation.stats
}

impl Simulation {
    fn schedule_programs(&mut self) {
        let mut phase_start_ms = 0;
        for (phase, (per_second, seconds)) in PHASES.into_iter().enumerate() {
            for _ in 0..per_second * seconds {
                let started_ms = phase_start_ms + self.random.random_range(0..seconds * 1_000);
                let program = self.programs.len();
                self.programs.push(Program {
                    phase,
                    started_ms,
                    turns_left: TURNS,
                });
                let event = Event::Arrives { program };
                self.events.push(Reverse((started_ms, event)));
            }
            phase_start_ms += seconds * 1_000;
        }
    }

    fn now(&self) -> Duration {
        Duration::from_millis(self.now_ms)
    }

    fn handle_arrival(&mut self, program: usize) {
        let Program {
            phase, turns_left, ..
        } = self.programs[program];
        if turns_left == TURNS {
            self.stats[phase].offered += 1;
            let attempt = program.to_string();
            let now = self.now();
            let admission = self.admission.as_ref();
            let refused =
                admission.and_then(|a| a.refusal_delay(SERVICE, Urgency::Normal, &attempt, now));
            if refused.is_some() {
                self.stats[phase].refused += 1;
                return;
            }
        }
        // The least loaded of four random engines is chosen, because hosts have
        // partial information about the load.
        let candidates = (0..4).map(|_| self.random.random_range(0..ENGINES));
        let candidates: Vec<usize> = candidates.collect();
        let load = |engine: &usize| self.running[*engine] + self.queues[*engine].len();
        let engine = candidates
            .into_iter()
            .min_by_key(load)
            .expect("there are four candidates");
        self.queues[engine].push_back((self.now_ms, program));
        self.run_next(engine);
    }

    fn run_next(&mut self, engine: usize) {
        while self.running[engine] < SLOTS {
            let Some((queued_ms, program)) = self.queues[engine].pop_front() else {
                return;
            };
            self.running[engine] += 1;
            let now = self.now();
            let waited = Duration::from_millis(self.now_ms - queued_ms + FIRST_BYTE_MS);
            if let Some(admission) = &mut self.admission {
                admission.record_first_byte(SERVICE, waited, now);
            }
            let event = Event::Ends { engine, program };
            self.events.push(Reverse((self.now_ms + TURN_MS, event)));
        }
    }

    fn handle_turn_end(&mut self, engine: usize, program: usize) {
        self.running[engine] -= 1;
        self.run_next(engine);
        let entry = &mut self.programs[program];
        entry.turns_left -= 1;
        if entry.turns_left > 0 {
            let event = Event::Arrives { program };
            self.events.push(Reverse((self.now_ms + PAUSE_MS, event)));
        } else if self.now_ms - entry.started_ms <= TARGET_MS {
            self.stats[entry.phase].in_time += 1;
        }
    }
}

#[test]
fn overload_ends_when_the_load_ends() {
    let mut table = String::new();
    let mut share_in_time = Vec::new();
    for with_admission in [false, true] {
        let stats = simulate(with_admission);
        let percent = |stats: &PhaseStats| stats.in_time * 100 / stats.offered;
        share_in_time.push(stats.each_ref().map(percent));
        for (phase, stats) in ["before", "burst", "after"].iter().zip(&stats) {
            writeln!(
                table,
                "admission {with_admission}, {phase}: {} % of {} in time, {} refused",
                percent(stats),
                stats.offered,
                stats.refused
            )
            .unwrap();
        }
    }
    let [_, [before, burst, after]] = share_in_time[..] else {
        panic!("two simulations were run");
    };
    // The engines can serve half of the programs of the burst.
    assert!(before >= 99 && burst >= 40 && after >= 85, "{table}");
    insta::assert_snapshot!(table);
}

#[test]
fn urgent_programs_are_refused_last_and_none_without_queues() {
    let now = Duration::from_secs(1);
    let mut admission = Admission::default();
    let refused = |admission: &Admission, urgency, now| {
        let attempts = (0..100).map(|number| format!("a{number}"));
        let refused =
            attempts.filter_map(|attempt| admission.refusal_delay(SERVICE, urgency, &attempt, now));
        refused.count()
    };
    let millis = |ms| Duration::from_millis(ms);
    for _ in 0..50 {
        admission.record_first_byte(SERVICE, millis(40), now);
    }
    assert_eq!(refused(&admission, Urgency::Normal, now), 0);
    for _ in 0..50 {
        admission.record_first_byte(SERVICE, millis(90), now);
    }
    let normal = refused(&admission, Urgency::Normal, now);
    assert!((30..90).contains(&normal), "{normal}");
    let urgent = refused(&admission, Urgency::Route, now);
    assert!(urgent < normal / 2, "{urgent} and {normal}");
    // Without new samples the estimate decays, so that programs are admitted again.
    assert_eq!(
        refused(&admission, Urgency::Normal, now + Duration::from_secs(3)),
        0
    );
    // Engines that are always slow are not considered full.
    let mut slow = Admission::default();
    for _ in 0..50 {
        slow.record_first_byte(SERVICE, millis(900), now);
    }
    assert_eq!(refused(&slow, Urgency::Normal, now), 0);
}

#[test]
fn the_priority_of_a_customer_outweighs_that_of_its_route() {
    let order = [
        Urgency::new(Some(1), 1),
        Urgency::new(Some(1), 0),
        Urgency::new(Some(0), 1),
        Urgency::new(Some(0), 0),
    ];
    assert!(order.is_sorted());
    assert_eq!(Urgency::new(None, 0), Urgency::new(Some(2), 0));
    let mut admission = Admission::default();
    let at = |ms| Duration::from_millis(ms);
    admission.record_first_byte(SERVICE, at(20), at(0));
    for number in 1..60 {
        admission.record_first_byte(SERVICE, at(120), at(number));
    }
    let refused = order.map(|urgency| {
        let attempts = (0..200).map(|number| number.to_string());
        let refused = attempts.filter(|attempt| {
            let retry_after = admission.refusal_delay(SERVICE, urgency, attempt, at(60));
            retry_after.is_some()
        });
        refused.count()
    });
    assert!(
        refused.is_sorted_by(|more, fewer| more > fewer),
        "{refused:?}"
    );
}
