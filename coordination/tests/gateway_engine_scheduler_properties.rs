//! Properties that hold after any sequence of requests, reports, failures and changes of
//! the engines.

mod engine_scheduler_sim;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use engine_scheduler_sim::{START_MS, advance_until, engine, ms, start, turn};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::Config;
use rosebend_coordination::gateway::admission::Urgency;
use rosebend_coordination::gateway::engine_scheduler::message::{
    AdmissionOutcome, AdmissionRefusal, AdmissionRequest, HeldPlacement, PlacementOutcome,
    PlacementRefusal, PlacementRequest, ReleasedPlacement,
};
use rosebend_coordination::gateway::engine_scheduler::{EngineScheduler, EngineState};
use rosebend_state::deployment::EndpointIdentity;

const HOSTS: [&str; 3] = ["a/1", "b/1", "c/1"];
const CUSTOMERS: u64 = 4;
const ENGINES: u8 = 4;
/// Time after which every turn of a sequence has ended or is answered: the caller's
/// deadline of the longest turn.
const LONGEST_TURN_MS: u64 = 2_000;

#[derive(Clone, Debug)]
enum Step {
    Place {
        host: usize,
        customer: u64,
        urgency: u8,
        remaining_ms: u64,
        excluded: u8,
    },
    Release {
        index: usize,
    },
    Report {
        host: usize,
        forgotten: bool,
    },
    /// The host loses its state, and sends nothing about its turns any more.
    Die {
        host: usize,
    },
    /// Replaces the engines; the bits select the present, the avoided and the busy ones.
    Engines {
        present: u8,
        avoided: u8,
        busy: u8,
    },
    Wait {
        milliseconds: u64,
    },
    /// Asks for a program of each customer with the same urgency.
    Admit {
        urgency: u8,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let place = (
        0..3_usize,
        0..CUSTOMERS,
        0..4_u8,
        0..LONGEST_TURN_MS,
        any::<u8>(),
    );
    let step = prop_oneof![
        10 => place.prop_map(|(host, customer, urgency, remaining_ms, excluded)| Step::Place {
            host, customer, urgency, remaining_ms,
            excluded: if excluded % 4 == 0 { excluded >> 4 } else { 0 },
        }),
        5 => any::<usize>().prop_map(|index| Step::Release { index }),
        2 => (0..3_usize, any::<bool>())
            .prop_map(|(host, forgotten)| Step::Report { host, forgotten }),
        1 => (0..3_usize).prop_map(|host| Step::Die { host }),
        1 => (any::<u8>(), any::<u8>(), any::<u8>())
            .prop_map(|(present, avoided, busy)| Step::Engines { present, avoided, busy }),
        5 => (1..150_u64).prop_map(|milliseconds| Step::Wait { milliseconds }),
        2 => (0..4_u8).prop_map(|urgency| Step::Admit { urgency }),
    ];
    vec(step, 1..200)
}

fn urgency(index: u8) -> Urgency {
    [
        Urgency::Normal,
        Urgency::Route,
        Urgency::Customer,
        Urgency::Both,
    ][usize::from(index)]
}

fn engine_name(index: u8) -> String {
    format!("engine-{index}")
}

/// Returns the slots of an engine. One engine has a further place while turns wait.
fn slots(index: u8) -> u32 {
    if index == 0 { 6 } else { 2 }
}

/// Returns the number of requests that an engine may have while turns wait.
fn places(state: &EngineState) -> u32 {
    state.slots + state.slots / 6
}

fn engines(present: u8, avoided: u8, busy: u8) -> Vec<EngineState> {
    let listed = (0..ENGINES).filter(|index| present & (1 << index) != 0);
    let engines = listed.map(|index| EngineState {
        is_avoided: avoided & (1 << index) != 0,
        unplaced_requests: u32::from(busy >> index & 1),
        ..engine(
            &engine_name(index),
            slots(index),
            70 + 50 * u32::from(index),
        )
    });
    engines.collect()
}

type TurnId = (String, u64);

/// The hosts of the model, and what they know.
struct World {
    scheduler: EngineScheduler,
    now_ms: u64,
    engines: Vec<EngineState>,
    waiting: BTreeMap<TurnId, PlacementRequest>,
    /// Times at which turns were queued, in milliseconds.
    queued_ms: BTreeMap<TurnId, u64>,
    placed: BTreeMap<TurnId, EndpointIdentity>,
    /// Turns of hosts that died; the scheduler may know them for 1 s.
    lost: BTreeSet<TurnId>,
    next_number: u64,
}

impl World {
    fn new() -> Self {
        let mut scheduler = EngineScheduler::new();
        let engines = engines(0b1111, 0, 0);
        scheduler.set_engines(engines.clone(), Duration::ZERO);
        advance_until(&mut scheduler, 0, START_MS);
        Self {
            scheduler,
            now_ms: START_MS,
            engines,
            waiting: BTreeMap::new(),
            queued_ms: BTreeMap::new(),
            placed: BTreeMap::new(),
            lost: BTreeSet::new(),
            next_number: 0,
        }
    }

    fn now(&self) -> Duration {
        ms(self.now_ms)
    }

    fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Place {
                host,
                customer,
                urgency: index,
                remaining_ms,
                excluded,
            } => {
                let number = self.number();
                let excluded = (0..ENGINES).filter(|index| excluded & (1 << index) != 0);
                let request = PlacementRequest {
                    customer: Some(format!("customer-{customer}")),
                    priority: urgency(*index),
                    turn_remaining_ms: *remaining_ms,
                    program_remaining_ms: Some(remaining_ms / 3 * 4 % 3_000),
                    excluded: excluded.map(engine_name).collect(),
                    ..turn(number)
                };
                self.place((HOSTS[*host].to_owned(), number), request);
            }
            Step::Release { index } if !self.placed.is_empty() => {
                let position = index % self.placed.len();
                let id = self.placed.keys().nth(position).cloned().expect("in range");
                self.placed.remove(&id);
                let released = ReleasedPlacement {
                    number: id.1,
                    first_event_ms: Some(40),
                };
                self.scheduler.release(&id.0, &[released], self.now());
            }
            Step::Release { .. } => {}
            Step::Report { host, forgotten } => self.report(HOSTS[*host], *forgotten),
            Step::Die { host } => {
                let is_dead = |id: &TurnId| id.0 == HOSTS[*host];
                self.waiting.retain(|id, _| !is_dead(id));
                let dead: Vec<_> = self
                    .placed
                    .keys()
                    .filter(|id| is_dead(id))
                    .cloned()
                    .collect();
                for id in dead {
                    self.placed.remove(&id);
                    self.lost.insert(id);
                }
            }
            Step::Engines {
                present,
                avoided,
                busy,
            } => {
                self.engines = engines(*present, *avoided, *busy);
                self.scheduler.set_engines(self.engines.clone(), self.now());
            }
            Step::Wait { milliseconds } => self.wait(*milliseconds),
            Step::Admit { urgency } => self.admit(*urgency),
        }
        self.advance();
    }

    fn place(&mut self, id: TurnId, request: PlacementRequest) {
        match self.scheduler.place(&id.0, &request, self.now()) {
            PlacementOutcome::Queued { .. } => {
                self.queued_ms.insert(id.clone(), self.now_ms);
                self.waiting.insert(id, request);
            }
            outcome => {
                self.check_refusal(&request, &outcome);
                self.answer(id, outcome, false);
            }
        }
    }

    /// Returns the engines that a turn may use.
    fn usable(&self, request: &PlacementRequest) -> Vec<&EngineState> {
        let is_allowed =
            |state: &&EngineState| !request.excluded.contains(&state.identity.instance);
        let allowed: Vec<_> = self.engines.iter().filter(is_allowed).collect();
        let all_avoided = allowed.iter().all(|state| state.is_avoided);
        let usable = allowed.into_iter();
        usable
            .filter(|state| all_avoided || !state.is_avoided)
            .collect()
    }

    /// Returns whether an engine that a turn may use has less than the given number of
    /// requests, which depends on the engine.
    fn has_room(&self, request: &PlacementRequest, limit: impl Fn(&EngineState) -> u32) -> bool {
        self.usable(request).into_iter().any(|state| {
            let placements = self.scheduler.placements_at(&state.identity);
            placements + state.unplaced_requests < limit(state)
        })
    }

    /// Checks the reason of a refusal against the engines and the remaining time.
    fn check_refusal(&self, request: &PlacementRequest, outcome: &PlacementOutcome) {
        let PlacementOutcome::Refused { reason, .. } = outcome else {
            return;
        };
        let has_engine = !self.usable(request).is_empty();
        match reason {
            PlacementRefusal::NoEngine => {
                assert!(!has_engine, "{request:?} has an engine");
            }
            PlacementRefusal::CannotEndInTime => {
                assert!(has_engine, "{request:?} has no engine");
                let is_free = self.has_room(request, |state| state.slots);
                assert!(
                    !is_free || request.turn_remaining_ms < 50,
                    "{request:?} is refused while a slot is free",
                );
            }
        }
    }

    /// Takes a final answer, and checks that it respects the slots.
    fn answer(&mut self, id: TurnId, outcome: PlacementOutcome, has_waited: bool) {
        match outcome {
            PlacementOutcome::Assigned(engine) => {
                let at_engine = self.placed.values().filter(|placed| **placed == engine);
                let used = at_engine.count() as u32;
                let state = self.engines.iter().find(|state| state.identity == engine);
                let state = state.expect("turns get engines of the present set");
                let limit = if has_waited {
                    places(state)
                } else {
                    state.slots
                };
                assert!(
                    used + state.unplaced_requests < limit,
                    "{id:?} is placed beyond the slots of {engine}",
                );
                assert!(!self.placed.contains_key(&id));
                self.placed.insert(id, engine);
            }
            PlacementOutcome::Refused { .. } => {}
            other => panic!("{id:?} is answered {other:?}"),
        }
    }

    fn report(&mut self, host: &str, forgotten: bool) {
        let placed = self.placed.iter().filter(|(id, _)| id.0 == host);
        let mut held: Vec<_> = placed
            .map(|(id, engine)| HeldPlacement {
                number: id.1,
                engine: Some(engine.clone()),
            })
            .collect();
        let waiting = self.waiting.keys().filter(|id| id.0 == host);
        held.extend(waiting.map(|id| HeldPlacement {
            number: id.1,
            engine: None,
        }));
        if forgotten && let Some(ended) = held.pop() {
            // The turn has ended, and its release was lost.
            self.waiting.remove(&(host.to_owned(), ended.number));
            self.placed.remove(&(host.to_owned(), ended.number));
        }
        self.scheduler
            .report_held(&host.to_owned(), &held, self.now());
    }

    /// Lets time pass in steps of at most 100 ms; each host reports and repeats in each.
    fn wait(&mut self, milliseconds: u64) {
        let end_ms = self.now_ms + milliseconds;
        while self.now_ms < end_ms {
            self.now_ms = end_ms.min(self.now_ms + 100);
            for host in HOSTS {
                self.report(host, false);
            }
            for (id, request) in self.waiting.clone() {
                let outcome = self.scheduler.place(&id.0, &request, self.now());
                assert!(
                    matches!(outcome, PlacementOutcome::Queued { .. }),
                    "{outcome:?}"
                );
            }
            self.advance();
        }
    }

    fn advance(&mut self) {
        for (process, number, outcome) in self.scheduler.advance(self.now()) {
            let id = (process, number);
            if let Some(request) = self.waiting.remove(&id) {
                self.check_late_refusal(&id, &request, &outcome);
                self.answer(id, outcome, true);
            }
        }
        self.check_idle_slots();
    }

    /// Checks the reason of the refusal of a turn that waited.
    fn check_late_refusal(
        &self,
        id: &TurnId,
        request: &PlacementRequest,
        outcome: &PlacementOutcome,
    ) {
        let PlacementOutcome::Refused { reason, .. } = outcome else {
            return;
        };
        let has_engine = !self.usable(request).is_empty();
        match reason {
            PlacementRefusal::NoEngine => assert!(!has_engine, "{request:?} has an engine"),
            PlacementRefusal::CannotEndInTime => {
                let deadline_ms = self.queued_ms[id] + request.turn_remaining_ms;
                // All samples of the time to the first event are 40 ms, below the initial 50.
                assert!(
                    deadline_ms <= self.now_ms + 50,
                    "{request:?} is refused although it can end in time",
                );
            }
        }
    }

    /// Checks that no turn waits while an engine that it may use has a free place.
    fn check_idle_slots(&self) {
        for (id, request) in &self.waiting {
            let has_room = self.has_room(request, places);
            assert!(!has_room, "{id:?} waits while a slot is free");
        }
    }

    /// Checks that no program is admitted after one of a customer within its share was
    /// refused at the same moment and with the same urgency.
    fn admit(&mut self, index: u8) {
        let mut is_refused = false;
        for customer in 0..CUSTOMERS {
            let number = self.number();
            let request = AdmissionRequest {
                customer: Some(format!("customer-{customer}")),
                priority: urgency(index),
                ..start(number)
            };
            let host = HOSTS[0].to_owned();
            match self.scheduler.admit(&host, &request, self.now()) {
                AdmissionOutcome::Admitted => assert!(!is_refused, "{customer} is admitted"),
                AdmissionOutcome::Refused { reason, .. } => {
                    is_refused |= reason == AdmissionRefusal::NoCapacity;
                }
                AdmissionOutcome::Unavailable => panic!("the scheduler has learned"),
            }
        }
    }

    /// Checks that all turns that still wait get an answer by their deadline, and that no
    /// slot stays in use after all turns have ended.
    fn finish(&mut self) {
        self.wait(LONGEST_TURN_MS + 1);
        assert!(
            self.waiting.is_empty(),
            "turns without an answer: {:?}",
            self.waiting
        );
        for (id, _) in std::mem::take(&mut self.placed) {
            let released = ReleasedPlacement {
                number: id.1,
                first_event_ms: Some(40),
            };
            self.scheduler.release(&id.0, &[released], self.now());
        }
        self.engines = engines(0b1111, 0, 0);
        self.scheduler.set_engines(self.engines.clone(), self.now());
        self.advance();
        for state in &self.engines {
            let placements = self.scheduler.placements_at(&state.identity);
            assert_eq!(placements, 0, "slots of {} leak", state.identity);
        }
        let slots = self.engines.iter().map(|state| state.slots).sum::<u32>();
        assert_eq!(self.scheduler.status(self.now()).free_slots, slots);
    }
}

proptest! {
    #![proptest_config(Config { cases: 300, failure_persistence: None, ..Config::default() })]

    #[test]
    fn placements_respect_slots_and_every_turn_is_answered(steps in steps()) {
        let mut world = World::new();
        for step in &steps {
            world.apply(step);
        }
        world.finish();
    }
}
