//! Event-driven model of programs whose turns one engine scheduler places.
//!
//! One host sends all requests, without delay or loss. A turn holds its slot for its time
//! multiplied by the engine's work time factor. A refused program asks again after the
//! stated time and, once its attempt has failed twice, after 0.1 to 0.4 s, with at most six
//! requests in all.

#![allow(dead_code, reason = "each test binary uses a part of the module")]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rosebend_coordination::gateway::admission::Urgency;
use rosebend_coordination::gateway::engine_scheduler::message::{
    AdmissionOutcome, AdmissionRequest, HeldPlacement, PlacementOutcome, PlacementRequest,
    ReleasedPlacement,
};
use rosebend_coordination::gateway::engine_scheduler::{EngineScheduler, EngineState};
use rosebend_state::deployment::EndpointIdentity;

/// The host of the model.
pub const HOST: &str = "gateway/1";
/// Start of the load; the scheduler has learned by then.
pub const START_MS: u64 = 1_000;
const TURN_REMAINING_MS: u64 = 2_000;
const FIRST_EVENT_MS: u64 = 40;
const TICK_MS: u64 = 100;
const MAX_ASKS: u32 = 6;

pub fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

pub fn engine(name: &str, slots: u32, work_time_percent: u32) -> EngineState {
    EngineState {
        identity: EndpointIdentity::unknown_start(name),
        slots,
        work_time_percent,
        unplaced_requests: 0,
        is_avoided: false,
    }
}

/// Returns a placement request of an ordinary turn.
pub fn turn(number: u64) -> PlacementRequest {
    PlacementRequest {
        number,
        customer: None,
        program: number,
        priority: Urgency::Normal,
        objective_ms: 400,
        turn_remaining_ms: TURN_REMAINING_MS,
        program_remaining_ms: None,
        expected_output_tokens: None,
        warm_engine: None,
        warm_tokens: 0,
        excluded: Vec::new(),
    }
}

/// Returns a request to start an ordinary program.
pub fn start(number: u64) -> AdmissionRequest {
    AdmissionRequest {
        number,
        customer: None,
        program: number,
        priority: Urgency::Normal,
        objective_ms: 400,
        turn_remaining_ms: TURN_REMAINING_MS,
        program_remaining_ms: None,
    }
}

/// Returns a scheduler that has learned, with the given engines, at `START_MS`.
pub fn scheduler(engines: Vec<EngineState>) -> EngineScheduler {
    let mut scheduler = EngineScheduler::new();
    scheduler.set_engines(engines, Duration::ZERO);
    advance_until(&mut scheduler, 0, START_MS);
    scheduler
}

/// Calls the scheduler every 250 ms, as a gateway does without messages of hosts. It was
/// last called at `from_ms`.
pub fn advance_until(scheduler: &mut EngineScheduler, from_ms: u64, until_ms: u64) {
    for at_ms in (from_ms..=until_ms).step_by(250).skip(1) {
        scheduler.advance(ms(at_ms));
    }
}

/// Reports the same placements every 250 ms. The scheduler was last called at `from`.
pub fn keep_reporting(
    scheduler: &mut EngineScheduler,
    held: &[HeldPlacement],
    from: Duration,
    until: Duration,
) {
    let mut at = from;
    while at < until {
        at = until.min(at + ms(250));
        scheduler.report_held(&HOST.to_owned(), held, at);
    }
}

/// Returns the engine of an assignment.
pub fn assigned(outcome: &PlacementOutcome) -> &str {
    match outcome {
        PlacementOutcome::Assigned(engine) => &engine.instance,
        other => panic!("the turn got no slot: {other:?}"),
    }
}

/// Programs of one kind that arrive at a constant rate.
#[derive(Clone, Debug)]
pub struct Stream {
    pub customer: Option<String>,
    pub priority: Urgency,
    pub objective_ms: u64,
    pub turns: u32,
    pub turn_ms: u64,
    pub pause_ms: u64,
    pub target_ms: u64,
    pub per_s: f64,
    /// Time of the arrivals, from the start of the load.
    pub arrivals_ms: std::ops::Range<u64>,
}

/// Which decisions the model uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// All programs are admitted and turns are queued in the order of arrival.
    Neither,
    /// Programs are admitted, and turns are queued in the order of arrival.
    AdmissionOnly,
    /// All programs are admitted, and turns are queued in the order of their deadlines.
    OrderOnly,
    /// Admission and queue order.
    Both,
}

/// What became of the programs of one stream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    pub programs: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
}

impl Tally {
    pub fn in_time_percent(&self) -> f64 {
        f64::from(self.in_time) * 100.0 / f64::from(self.programs)
    }
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Ask(u64),
    Place(u64),
    TurnEnds(u64),
    Tick,
}

struct Program {
    stream: usize,
    arrived_ms: u64,
    asks: u32,
    turns_done: u32,
    /// Number of the present placement request; `None` in a pause.
    request: Option<u64>,
    engine: Option<EndpointIdentity>,
}

struct Model<'a> {
    scheduler: EngineScheduler,
    factors: BTreeMap<String, u64>,
    streams: &'a [Stream],
    mode: Mode,
    programs: BTreeMap<u64, Program>,
    /// Program of each placement request that has not ended.
    requests: BTreeMap<u64, u64>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next_number: u64,
    tallies: Vec<Tally>,
    rng: ChaCha8Rng,
}

/// Runs the streams and returns what became of the programs of each.
pub fn run(engines: &[EngineState], streams: &[Stream], mode: Mode) -> Vec<Tally> {
    let factors = engines.iter().map(|engine| {
        let factor = u64::from(engine.work_time_percent);
        (engine.identity.instance.clone(), factor)
    });
    let mut model = Model {
        scheduler: scheduler(engines.to_vec()),
        factors: factors.collect(),
        streams,
        mode,
        programs: BTreeMap::new(),
        requests: BTreeMap::new(),
        events: BinaryHeap::new(),
        next_number: 0,
        tallies: vec![Tally::default(); streams.len()],
        rng: ChaCha8Rng::seed_from_u64(20_261_203),
    };
    model.schedule_arrivals();
    model.at(START_MS, Event::Tick);
    while let Some(Reverse((now, _, event))) = model.events.pop() {
        model.handle(event, now);
        model.advance(now);
    }
    model.tallies
}

impl Model<'_> {
    fn at(&mut self, time_ms: u64, event: Event) {
        self.next_number += 1;
        self.events
            .push(Reverse((time_ms, self.next_number, event)));
    }

    fn schedule_arrivals(&mut self) {
        let mut id = 0;
        for (index, stream) in self.streams.iter().enumerate() {
            let mut at_ms = stream.arrivals_ms.start as f64;
            loop {
                at_ms -= (1.0 - self.rng.random::<f64>()).ln() * 1_000.0 / stream.per_s;
                if at_ms >= stream.arrivals_ms.end as f64 {
                    break;
                }
                id += 1;
                let arrived_ms = START_MS + at_ms as u64;
                let program = Program {
                    stream: index,
                    arrived_ms,
                    asks: 0,
                    turns_done: 0,
                    request: None,
                    engine: None,
                };
                self.programs.insert(id, program);
                self.tallies[index].programs += 1;
                self.at(arrived_ms, Event::Ask(id));
            }
        }
    }

    fn handle(&mut self, event: Event, now: u64) {
        match event {
            Event::Ask(id) => match self.mode {
                Mode::Neither | Mode::OrderOnly => self.place(id, now),
                Mode::AdmissionOnly | Mode::Both => self.ask(id, now),
            },
            Event::Place(id) => self.place(id, now),
            Event::TurnEnds(id) => self.end_turn(id, now),
            Event::Tick => self.tick(now),
        }
    }

    fn remaining_ms(&self, id: u64, now: u64) -> u64 {
        let program = &self.programs[&id];
        let target_ms = self.streams[program.stream].target_ms;
        (program.arrived_ms + target_ms).saturating_sub(now)
    }

    fn ask(&mut self, id: u64, now: u64) {
        self.next_number += 1;
        let stream = &self.streams[self.programs[&id].stream];
        let request = AdmissionRequest {
            number: self.next_number,
            customer: stream.customer.clone(),
            program: id,
            priority: stream.priority,
            objective_ms: stream.objective_ms,
            turn_remaining_ms: TURN_REMAINING_MS,
            program_remaining_ms: Some(self.remaining_ms(id, now)),
        };
        let outcome = self.scheduler.admit(&HOST.to_owned(), &request, ms(now));
        let AdmissionOutcome::Refused { retry_after_ms, .. } = outcome else {
            return self.place(id, now);
        };
        let program = self.programs.get_mut(&id).expect("the program is known");
        program.asks += 1;
        if program.asks == MAX_ASKS {
            self.tallies[program.stream].refused += 1;
            self.programs.remove(&id);
            return;
        }
        let pause_ms = match program.asks % 2 {
            0 => self.rng.random_range(100..400),
            _ => 0,
        };
        self.at(now + retry_after_ms + pause_ms, Event::Ask(id));
    }

    fn request(&self, id: u64, number: u64, now: u64) -> PlacementRequest {
        let stream = &self.streams[self.programs[&id].stream];
        let request = PlacementRequest {
            customer: stream.customer.clone(),
            program: id,
            ..turn(number)
        };
        match self.mode {
            Mode::Neither | Mode::AdmissionOnly => request,
            Mode::OrderOnly | Mode::Both => PlacementRequest {
                priority: stream.priority,
                objective_ms: stream.objective_ms,
                program_remaining_ms: Some(self.remaining_ms(id, now)),
                ..request
            },
        }
    }

    fn place(&mut self, id: u64, now: u64) {
        self.next_number += 1;
        let number = self.next_number;
        self.requests.insert(number, id);
        let request = self.request(id, number, now);
        let program = self.programs.get_mut(&id).expect("the program is known");
        program.request = Some(number);
        let outcome = self.scheduler.place(&HOST.to_owned(), &request, ms(now));
        self.apply(number, outcome, now);
    }

    fn apply(&mut self, number: u64, outcome: PlacementOutcome, now: u64) {
        let id = self.requests[&number];
        let program = self.programs.get_mut(&id).expect("the program is known");
        match outcome {
            PlacementOutcome::Assigned(engine) => {
                let turn_ms = self.streams[program.stream].turn_ms;
                let held_ms = turn_ms * self.factors[&engine.instance] / 100;
                program.engine = Some(engine);
                self.at(now + held_ms, Event::TurnEnds(id));
            }
            PlacementOutcome::Queued { .. } => {}
            PlacementOutcome::Refused { .. } | PlacementOutcome::Unavailable => {
                self.tallies[program.stream].refused += 1;
                self.programs.remove(&id);
                self.requests.remove(&number);
            }
        }
    }

    fn end_turn(&mut self, id: u64, now: u64) {
        let program = self.programs.get_mut(&id).expect("the program is known");
        let number = program.request.take().expect("the program runs a turn");
        program.engine = None;
        program.turns_done += 1;
        self.requests.remove(&number);
        let released = ReleasedPlacement {
            number,
            first_event_ms: Some(FIRST_EVENT_MS),
        };
        self.scheduler
            .release(&HOST.to_owned(), &[released], ms(now));
        let stream = &self.streams[program.stream];
        if program.turns_done < stream.turns {
            self.at(now + stream.pause_ms, Event::Place(id));
            return;
        }
        let tally = &mut self.tallies[program.stream];
        if now <= program.arrived_ms + stream.target_ms {
            tally.in_time += 1;
        } else {
            tally.late += 1;
        }
        self.programs.remove(&id);
    }

    /// Repeats the requests of waiting turns and reports what the host holds.
    fn tick(&mut self, now: u64) {
        let mut held = Vec::new();
        let requests: Vec<(u64, u64)> = self.requests.iter().map(|(n, id)| (*n, *id)).collect();
        for (number, id) in requests {
            let engine = self.programs[&id].engine.clone();
            if engine.is_none() {
                let request = self.request(id, number, now);
                self.scheduler.place(&HOST.to_owned(), &request, ms(now));
            }
            held.push(HeldPlacement { number, engine });
        }
        self.scheduler.report_held(&HOST.to_owned(), &held, ms(now));
        if !self.programs.is_empty() {
            self.at(now + TICK_MS, Event::Tick);
        }
    }

    fn advance(&mut self, now: u64) {
        for (_, number, outcome) in self.scheduler.advance(ms(now)) {
            self.apply(number, outcome, now);
        }
        let status = self.scheduler.status(ms(now));
        assert!(
            status.free_slots == 0 || status.waiting == 0,
            "turns wait while slots are free at {now} ms: {status:?}",
        );
    }
}
