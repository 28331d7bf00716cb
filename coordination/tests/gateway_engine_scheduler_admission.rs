//! Admission of single programs: the allowed wait, refused programs that return, and the
//! shares of customers.

mod engine_scheduler_sim;

use std::time::Duration;

use engine_scheduler_sim::{HOST, START_MS, engine, keep_reporting, ms, scheduler, start, turn};
use rosebend_coordination::gateway::admission::Urgency;
use rosebend_coordination::gateway::engine_scheduler::EngineScheduler;
use rosebend_coordination::gateway::engine_scheduler::message::{
    AdmissionOutcome, AdmissionRefusal, AdmissionRequest, HeldPlacement, PlacementRequest,
    ReleasedPlacement,
};
use rosebend_state::deployment::EndpointIdentity;

const NOW: Duration = Duration::from_millis(START_MS);
/// Slots of the group. With the initial holding time of 200 ms, each waiting turn adds
/// 20 ms to the expected wait.
const SLOTS: u64 = 10;

/// Returns a scheduler whose slots are in use, with turns that wait. The turns belong to
/// one customer, if any.
fn full(waiting: u64, customer: Option<&str>) -> EngineScheduler {
    let mut scheduler = scheduler(vec![engine("engine", SLOTS as u32, 100)]);
    for number in 1_000..1_000 + SLOTS + waiting {
        let request = PlacementRequest {
            customer: customer.map(str::to_owned),
            ..turn(number)
        };
        scheduler.place(&HOST.to_owned(), &request, NOW);
    }
    scheduler
}

fn admit(
    scheduler: &mut EngineScheduler,
    request: &AdmissionRequest,
    now: Duration,
) -> AdmissionOutcome {
    scheduler.admit(&HOST.to_owned(), request, now)
}

fn refusal(outcome: &AdmissionOutcome) -> Option<AdmissionRefusal> {
    match outcome {
        AdmissionOutcome::Refused { reason, .. } => Some(*reason),
        AdmissionOutcome::Admitted => None,
        AdmissionOutcome::Unavailable => panic!("the scheduler has learned"),
    }
}

fn retry_after_ms(outcome: &AdmissionOutcome) -> u64 {
    match outcome {
        AdmissionOutcome::Refused { retry_after_ms, .. } => *retry_after_ms,
        other => panic!("the program is not refused: {other:?}"),
    }
}

/// Guards against refusals while a slot is free, and against more program starts at once
/// than there are free slots.
#[test]
fn programs_start_while_slots_are_free_beyond_the_starts_before_them() {
    let mut scheduler = scheduler(vec![engine("engine", 2, 100)]);
    // The third start finds both slots expected to be used, and the wait of the fourth is
    // 100 ms, above an eighth of the objective.
    let outcomes: Vec<_> = (1..=4)
        .map(|number| refusal(&admit(&mut scheduler, &start(number), NOW)))
        .collect();
    let refused = Some(AdmissionRefusal::NoCapacity);
    assert_eq!(outcomes, [None, None, None, refused]);
    // Programs that do not place a turn within 200 ms are not expected any more.
    let outcome = admit(&mut scheduler, &start(5), NOW + ms(200));
    assert_eq!(refusal(&outcome), None);
}

/// Guards against an urgent program that is refused while a less urgent one is admitted.
#[test]
fn the_allowed_wait_grows_with_the_urgency() {
    let admitted = |urgency, waiting| {
        let mut scheduler = full(waiting, None);
        let request = AdmissionRequest {
            priority: urgency,
            ..start(1)
        };
        refusal(&admit(&mut scheduler, &request, NOW)).is_none()
    };
    // An eighth and a half of 400 ms, at 20 ms per turn.
    for (urgency, turns) in [(Urgency::Normal, 2), (Urgency::Customer, 10)] {
        assert!(admitted(urgency, turns), "{urgency:?}");
        assert!(!admitted(urgency, turns + 1), "{urgency:?}");
    }
    // Turns of the other routes wait behind an urgent one.
    for urgency in [Urgency::Route, Urgency::Both] {
        assert!(admitted(urgency, 30), "{urgency:?}");
    }
}

/// Guards against an urgent route whose programs are admitted however long its own turns
/// wait, or refused although they can still end in time.
#[test]
fn the_allowed_wait_of_an_urgent_route_is_limited_by_its_own_turns() {
    // Three eighths and three quarters of 400 ms are 150 and 300 ms, at 20 ms per turn.
    for (urgency, turns) in [(Urgency::Route, 7), (Urgency::Both, 15)] {
        let admitted = |waiting: u64| {
            let mut scheduler = full(0, None);
            for number in 2_000..2_000 + waiting {
                let request = PlacementRequest {
                    priority: urgency,
                    ..turn(number)
                };
                scheduler.place(&HOST.to_owned(), &request, NOW);
            }
            let request = AdmissionRequest {
                priority: urgency,
                ..start(1)
            };
            refusal(&admit(&mut scheduler, &request, NOW)).is_none()
        };
        assert!(admitted(turns), "{urgency:?}");
        assert!(!admitted(turns + 1), "{urgency:?}");
    }
}

/// Guards against programs that are refused again and again, and against callers that
/// return together or too late for their deadline.
#[test]
fn a_refused_program_that_returns_goes_before_a_new_one() {
    let mut scheduler = full(3, None);
    // The wait is 60 ms; an eighth of the objective is 50 ms, and 62.5 ms after a refusal.
    let first = admit(&mut scheduler, &start(1), NOW);
    assert_eq!(refusal(&first), Some(AdmissionRefusal::NoCapacity));
    let other = AdmissionRequest {
        number: 2,
        program: 2,
        ..start(2)
    };
    assert!(refusal(&admit(&mut scheduler, &other, NOW)).is_some());
    let again = AdmissionRequest {
        program: 1,
        ..start(3)
    };
    assert_eq!(refusal(&admit(&mut scheduler, &again, NOW + ms(400))), None);
    // It is remembered for 3 s.
    let late = AdmissionRequest {
        program: 2,
        ..start(4)
    };
    let mut scheduler = full(3, None);
    admit(&mut scheduler, &other, NOW);
    let turns: Vec<_> = (1_000..1_000 + SLOTS + 3)
        .map(|number| HeldPlacement {
            number,
            engine: (number < 1_000 + SLOTS).then(|| EndpointIdentity::unknown_start("engine")),
        })
        .collect();
    keep_reporting(&mut scheduler, &turns, NOW, NOW + ms(3_000));
    assert!(refusal(&admit(&mut scheduler, &late, NOW + ms(3_000))).is_some());
}

/// Guards against callers that return before they can be served, or all at once, or after
/// their own deadline.
#[test]
fn the_retry_time_grows_with_the_refused_programs_that_have_not_returned() {
    let mut scheduler = scheduler(vec![engine("engine", 10, 100)]);
    // Ten programs are admitted in the last 2 s: one in 200 ms.
    for number in 1..=10 {
        assert_eq!(refusal(&admit(&mut scheduler, &start(number), NOW)), None);
    }
    for number in 1_000..1_014 {
        scheduler.place(&HOST.to_owned(), &turn(number), NOW);
    }
    let delays: Vec<u64> = (11..=20)
        .map(|number| retry_after_ms(&admit(&mut scheduler, &start(number), NOW)))
        .collect();
    // The spread adds up to a quarter, and the turn has 2 s left.
    for (index, delay_ms) in delays.iter().enumerate() {
        let base_ms = ((index as u64 + 1) * 200).min(1_000);
        let range = base_ms.min(666)..=(base_ms * 5 / 4).min(666);
        assert!(range.contains(delay_ms), "{delays:?}");
    }
    assert_ne!(delays[0], 200);
    let urgent = AdmissionRequest {
        turn_remaining_ms: 90,
        ..start(21)
    };
    let outcome = admit(&mut scheduler, &urgent, NOW);
    assert_eq!(retry_after_ms(&outcome), 30);
}

/// Guards against one customer that takes the engines from the others, and against shares
/// that leave engines idle.
#[test]
fn a_customer_above_its_share_is_refused_only_while_turns_wait() {
    let of = |customer: &str, number| AdmissionRequest {
        customer: Some(customer.to_owned()),
        ..start(number)
    };
    // No turn waits.
    let mut scheduler = full(0, Some("busy"));
    assert_eq!(refusal(&admit(&mut scheduler, &of("busy", 1), NOW)), None);
    // Nobody else wants the engines, so that all of them are its share.
    let mut scheduler = full(1, Some("busy"));
    assert_eq!(refusal(&admit(&mut scheduler, &of("busy", 1), NOW)), None);
    // Another customer waits for a slot.
    let mut scheduler = full(0, Some("busy"));
    let request = PlacementRequest {
        customer: Some("quiet".to_owned()),
        ..turn(1)
    };
    scheduler.place(&HOST.to_owned(), &request, NOW);
    assert_eq!(refusal(&admit(&mut scheduler, &of("quiet", 1), NOW)), None);
    let outcome = admit(&mut scheduler, &of("busy", 2), NOW);
    assert_eq!(refusal(&outcome), Some(AdmissionRefusal::OverShare));
}

/// Guards against a customer that is within its share again as soon as a few of its turns
/// have ended, although it used most of the engine time.
#[test]
fn the_use_of_a_customer_is_counted_after_its_turns_have_ended() {
    let mut scheduler = full(0, Some("busy"));
    let busy: Vec<u64> = (1_000..1_000 + SLOTS).collect();
    for tenths in 1..=9 {
        let held: Vec<_> = busy
            .iter()
            .map(|number| HeldPlacement {
                number: *number,
                engine: Some(EndpointIdentity::unknown_start("engine")),
            })
            .collect();
        scheduler.report_held(&HOST.to_owned(), &held, NOW + ms(tenths * 500));
    }
    let later = NOW + ms(4_500);
    let released: Vec<_> = busy
        .iter()
        .map(|number| ReleasedPlacement {
            number: *number,
            first_event_ms: Some(40),
        })
        .collect();
    scheduler.release(&HOST.to_owned(), &released, later);
    for number in 1..=SLOTS + 1 {
        let request = PlacementRequest {
            customer: Some(format!("quiet-{}", number % 5)),
            ..turn(number)
        };
        scheduler.place(&HOST.to_owned(), &request, later);
    }
    let of = |customer: &str, number| AdmissionRequest {
        customer: Some(customer.to_owned()),
        priority: Urgency::Normal,
        // The expected wait is between the allowed waits above the share, of 125 ms, and
        // within it, of 500 ms.
        objective_ms: 4_000,
        ..start(number)
    };
    let outcome = admit(&mut scheduler, &of("busy", 1), later);
    assert_eq!(refusal(&outcome), Some(AdmissionRefusal::OverShare));
    let outcome = admit(&mut scheduler, &of("quiet-1", 2), later);
    assert_eq!(refusal(&outcome), None);
    // The count decays with a time constant of 2 s.
    scheduler.report_held(&HOST.to_owned(), &[], later);
    keep_reporting(&mut scheduler, &[], later, later + ms(6_000));
    let outcome = admit(&mut scheduler, &of("busy", 3), later + ms(6_000));
    assert_eq!(refusal(&outcome), None);
}

/// Guards against a second answer to a request that was repeated.
#[test]
fn a_repeated_admission_gets_the_same_answer() {
    let mut scheduler = full(2, None);
    let first = admit(&mut scheduler, &start(1), NOW);
    assert_eq!(refusal(&first), None);
    assert!(refusal(&admit(&mut scheduler, &start(2), NOW)).is_some());
    assert_eq!(admit(&mut scheduler, &start(1), NOW + ms(20)), first);
}
