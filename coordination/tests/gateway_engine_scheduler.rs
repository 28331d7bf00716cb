//! Placement of single turns: choice of the engine, order of the queue, and refusals of
//! turns that cannot end in time.

mod engine_scheduler_sim;

use std::time::Duration;

use engine_scheduler_sim::{HOST, START_MS, assigned, engine, ms, scheduler, turn};
use rosebend_coordination::gateway::admission::Urgency;
use rosebend_coordination::gateway::engine_scheduler::EngineScheduler;
use rosebend_coordination::gateway::engine_scheduler::message::{
    PlacementOutcome, PlacementRefusal, PlacementRequest, ReleasedPlacement,
};
use rosebend_state::deployment::EndpointIdentity;

const NOW: Duration = Duration::from_millis(START_MS);

fn place(
    scheduler: &mut EngineScheduler,
    request: &PlacementRequest,
    now: Duration,
) -> PlacementOutcome {
    scheduler.place(&HOST.to_owned(), request, now)
}

fn release(scheduler: &mut EngineScheduler, number: u64, now: Duration) {
    let released = ReleasedPlacement {
        number,
        first_event_ms: Some(40),
    };
    scheduler.release(&HOST.to_owned(), &[released], now);
}

/// Returns the numbers of the turns that an advance gives a slot, in order.
fn placed_by_advance(scheduler: &mut EngineScheduler, now: Duration) -> Vec<u64> {
    let answers = scheduler.advance(now).into_iter();
    let assigned = answers.filter(|answer| matches!(answer.2, PlacementOutcome::Assigned(_)));
    assigned.map(|(_, number, _)| number).collect()
}

/// Guards against long turns on slow engines and against turns that wait while a slot is
/// free, with engines that work at 70 and 170 % of the usual time.
#[test]
fn long_turns_run_on_fast_engines_and_no_turn_waits_while_a_slot_is_free() {
    let engines = vec![engine("slow", 6, 170), engine("fast", 6, 70)];
    let mut scheduler = scheduler(engines);
    for number in 1..=12 {
        let request = PlacementRequest {
            expected_output_tokens: Some(if number % 2 == 0 { 400 } else { 40 }),
            ..turn(number)
        };
        let outcome = place(&mut scheduler, &request, NOW);
        let chosen = assigned(&outcome);
        // The fast engine is the better one for every turn until it is full.
        assert_eq!(chosen, if number <= 6 { "fast" } else { "slow" });
    }
    assert_eq!(scheduler.status(NOW).free_slots, 0);
    let queued = place(&mut scheduler, &turn(13), NOW);
    assert!(matches!(queued, PlacementOutcome::Queued { .. }));
}

/// Guards against long turns on slow engines where the fast one is nearly full: a short
/// turn loses less there than a full engine costs, and a long one more.
#[test]
fn a_long_turn_prefers_a_fast_engine_that_a_short_turn_avoids() {
    let mut engines = vec![engine("usual", 6, 100), engine("fast", 6, 90)];
    engines[1].unplaced_requests = 5;
    for (tokens, expected) in [(40, "usual"), (400, "fast")] {
        let mut scheduler = scheduler(engines.clone());
        // The mean of the expected output is about 130 tokens.
        for number in 100..140 {
            let request = PlacementRequest {
                expected_output_tokens: Some(130),
                ..turn(number)
            };
            place(&mut scheduler, &request, NOW);
            release(&mut scheduler, number, NOW + ms(200));
        }
        let request = PlacementRequest {
            expected_output_tokens: Some(tokens),
            ..turn(1)
        };
        let outcome = place(&mut scheduler, &request, NOW + ms(200));
        assert_eq!(assigned(&outcome), expected, "{tokens} tokens");
    }
}

/// Guards against one absurd estimate of a caller that shifts the mean, after which long
/// turns count as short.
#[test]
fn one_absurd_estimate_does_not_change_the_choice_of_engines() {
    let mut engines = vec![engine("usual", 6, 100), engine("fast", 6, 90)];
    engines[1].unplaced_requests = 5;
    let mut scheduler = scheduler(engines);
    for number in 100..140 {
        let request = PlacementRequest {
            expected_output_tokens: Some(130),
            ..turn(number)
        };
        place(&mut scheduler, &request, NOW);
        release(&mut scheduler, number, NOW + ms(200));
    }
    for (number, tokens) in [(1, u64::MAX), (2, 400)] {
        let request = PlacementRequest {
            expected_output_tokens: Some(tokens),
            ..turn(number)
        };
        let outcome = place(&mut scheduler, &request, NOW + ms(200));
        assert_eq!(assigned(&outcome), "fast", "{tokens} tokens");
        release(&mut scheduler, number, NOW + ms(200));
    }
}

/// Guards against turns without a program deadline that wait behind turns which arrive long
/// after them, because the objective of their route is long.
#[test]
fn the_allowance_without_a_program_deadline_is_limited() {
    let mut scheduler = scheduler(vec![engine("engine", 1, 100)]);
    place(&mut scheduler, &turn(1), NOW);
    let request = PlacementRequest {
        objective_ms: 60_000,
        ..turn(2)
    };
    place(&mut scheduler, &request, NOW);
    let request = PlacementRequest {
        program_remaining_ms: Some(3_200),
        ..turn(3)
    };
    place(&mut scheduler, &request, NOW + ms(1));
    release(&mut scheduler, 1, NOW + ms(2));
    assert_eq!(placed_by_advance(&mut scheduler, NOW + ms(2)), [2]);
}

/// Guards against an overflow of the number of slots if engines declare absurd numbers.
#[test]
fn absurd_numbers_of_slots_do_not_overflow() {
    let engines = vec![engine("a", u32::MAX, 100), engine("b", u32::MAX, 100)];
    let mut scheduler = scheduler(engines);
    assert_eq!(scheduler.status(NOW).free_slots, u32::MAX);
    assigned(&place(&mut scheduler, &turn(1), NOW));
}

/// Guards against prompts that are processed again although their engine is free.
#[test]
fn a_turn_returns_to_the_engine_that_has_its_prompt() {
    let engines = vec![engine("cold", 6, 100), engine("warm", 6, 100)];
    let mut scheduler = scheduler(engines);
    let request = PlacementRequest {
        warm_engine: Some(EndpointIdentity::unknown_start("warm")),
        warm_tokens: 1_000,
        ..turn(1)
    };
    let outcome = place(&mut scheduler, &request, NOW);
    assert_eq!(assigned(&outcome), "warm");
}

/// Guards against turns on failing engines, and against refusals while only those are left.
#[test]
fn avoided_engines_are_used_only_if_no_other_is_left() {
    let mut engines = vec![engine("avoided", 6, 100), engine("good", 1, 100)];
    engines[0].is_avoided = true;
    let mut scheduler = scheduler(engines);
    let outcome = place(&mut scheduler, &turn(1), NOW);
    assert_eq!(assigned(&outcome), "good");
    let outcome = place(&mut scheduler, &turn(2), NOW);
    assert!(matches!(outcome, PlacementOutcome::Queued { .. }));
    let request = PlacementRequest {
        excluded: vec!["good".to_owned()],
        ..turn(3)
    };
    place(&mut scheduler, &request, NOW);
    assert_eq!(placed_by_advance(&mut scheduler, NOW), [3]);
    let request = PlacementRequest {
        excluded: vec!["good".to_owned(), "avoided".to_owned()],
        ..turn(4)
    };
    let outcome = place(&mut scheduler, &request, NOW);
    let PlacementOutcome::Refused { reason, .. } = outcome else {
        panic!("a turn without a usable engine is answered {outcome:?}");
    };
    assert_eq!(reason, PlacementRefusal::NoEngine);
}

/// Guards against programs past their deadline that delay programs which can still end in
/// time, and against late programs that wait for ever behind turns that arrive later.
#[test]
fn late_programs_come_after_those_in_time_and_before_later_arrivals() {
    let mut scheduler = scheduler(vec![engine("engine", 1, 100)]);
    place(&mut scheduler, &turn(1), NOW);
    let with_remaining = |number, remaining_ms, priority| PlacementRequest {
        priority,
        program_remaining_ms: Some(remaining_ms),
        turn_remaining_ms: 10_000,
        ..turn(number)
    };
    let normal = Urgency::Normal;
    place(&mut scheduler, &with_remaining(2, 0, normal), NOW);
    place(&mut scheduler, &with_remaining(3, 3_200, normal), NOW);
    place(
        &mut scheduler,
        &with_remaining(4, 3_200, Urgency::Route),
        NOW,
    );
    place(&mut scheduler, &with_remaining(5, 800, normal), NOW);
    let later = NOW + ms(880);
    // The waiting turns are asked for again, so that they do not expire.
    for number in 2..=5 {
        let request = with_remaining(number, 0, normal);
        place(&mut scheduler, &request, NOW + ms(450));
    }
    // It arrives after the others, and its allowance of 150 ms ends after that of turn 2.
    place(&mut scheduler, &with_remaining(6, 3_200, normal), later);
    let mut order = Vec::new();
    let mut running = 1;
    for _ in 0..5 {
        release(&mut scheduler, running, later);
        running = placed_by_advance(&mut scheduler, later)[0];
        order.push(running);
    }
    // Turn 4 has an allowance of half of 150 ms, turn 5 of 100 ms, turn 3 of 150 ms.
    assert_eq!(order, [4, 5, 3, 2, 6]);
}

/// Guards against slots that stay empty between the end of a turn and the arrival of the
/// next one, and against more than one further turn for six slots.
#[test]
fn an_engine_gets_a_further_turn_only_while_turns_wait() {
    let mut scheduler = scheduler(vec![engine("engine", 6, 100)]);
    for number in 1..=6 {
        let outcome = place(&mut scheduler, &turn(number), NOW);
        assert!(matches!(outcome, PlacementOutcome::Assigned(_)), "{number}");
    }
    for number in 7..=8 {
        let outcome = place(&mut scheduler, &turn(number), NOW);
        assert!(
            matches!(outcome, PlacementOutcome::Queued { .. }),
            "{number}"
        );
    }
    assert_eq!(placed_by_advance(&mut scheduler, NOW), [7]);
    assert_eq!(placed_by_advance(&mut scheduler, NOW), [0; 0]);
    release(&mut scheduler, 1, NOW);
    assert_eq!(placed_by_advance(&mut scheduler, NOW), [8]);
}

/// Guards against turns that are sent to an engine or wait although their deadline passes
/// before their first event.
#[test]
fn a_turn_that_cannot_end_in_time_is_refused_at_once() {
    let mut scheduler = scheduler(vec![engine("engine", 1, 100)]);
    let with_remaining = |number, turn_remaining_ms| PlacementRequest {
        turn_remaining_ms,
        ..turn(number)
    };
    // The usual time to the first event is 50 ms before the first sample.
    let refused = |outcome: &PlacementOutcome| match outcome {
        PlacementOutcome::Refused { reason, .. } => {
            assert_eq!(*reason, PlacementRefusal::CannotEndInTime);
            true
        }
        _ => false,
    };
    assert!(refused(&place(&mut scheduler, &with_remaining(1, 49), NOW)));
    assert!(!refused(&place(
        &mut scheduler,
        &with_remaining(2, 51),
        NOW
    )));
    // One waiting turn costs 200 ms on a single slot.
    assert!(!refused(&place(
        &mut scheduler,
        &with_remaining(3, 300),
        NOW
    )));
    assert!(refused(&place(
        &mut scheduler,
        &with_remaining(4, 240),
        NOW
    )));
    assert!(!refused(&place(
        &mut scheduler,
        &with_remaining(5, 260),
        NOW
    )));
    // A waiting turn is refused once its time is used up, and the others keep waiting.
    let answers = scheduler.advance(NOW + ms(215));
    assert_eq!(answers.len(), 1);
    assert_eq!(answers[0].1, 5);
    assert!(refused(&answers[0].2));
    assert_eq!(scheduler.status(NOW + ms(215)).waiting, 1);
}
