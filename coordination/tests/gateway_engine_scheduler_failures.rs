//! Failures of hosts, engines, datagrams and of the scheduler itself.

mod engine_scheduler_sim;

use std::time::Duration;

use engine_scheduler_sim::{
    HOST, START_MS, advance_until, assigned, engine, ms, scheduler, start, turn,
};
use rosebend_coordination::gateway::engine_scheduler::EngineScheduler;
use rosebend_coordination::gateway::engine_scheduler::message::{
    AdmissionOutcome, HeldPlacement, PlacementOutcome, PlacementRefusal, PlacementRequest,
    ReleasedPlacement,
};
use rosebend_state::deployment::EndpointIdentity;

const NOW: Duration = Duration::from_millis(START_MS);
const OTHER: &str = "other/1";

fn place(
    scheduler: &mut EngineScheduler,
    host: &str,
    number: u64,
    now: Duration,
) -> PlacementOutcome {
    scheduler.place(&host.to_owned(), &turn(number), now)
}

fn report(scheduler: &mut EngineScheduler, host: &str, numbers: &[u64], now: Duration) {
    let held: Vec<_> = numbers
        .iter()
        .map(|number| HeldPlacement {
            number: *number,
            engine: Some(EndpointIdentity::unknown_start("engine")),
        })
        .collect();
    scheduler.report_held(&host.to_owned(), &held, now);
}

fn release(scheduler: &mut EngineScheduler, host: &str, number: u64, now: Duration) {
    let released = ReleasedPlacement {
        number,
        first_event_ms: Some(40),
    };
    scheduler.release(&host.to_owned(), &[released], now);
}

fn free_slots(scheduler: &EngineScheduler, now: Duration) -> u32 {
    scheduler.status(now).free_slots
}

/// Guards against slots that stay in use after their host died.
#[test]
fn the_slots_of_a_silent_host_become_free() {
    let mut scheduler = scheduler(vec![engine("engine", 2, 100)]);
    place(&mut scheduler, HOST, 1, NOW);
    place(&mut scheduler, OTHER, 1, NOW);
    report(&mut scheduler, OTHER, &[1], NOW + ms(500));
    scheduler.advance(NOW + ms(999));
    assert_eq!(free_slots(&scheduler, NOW + ms(999)), 0);
    scheduler.advance(NOW + ms(1_000));
    assert_eq!(free_slots(&scheduler, NOW + ms(1_000)), 1);
}

/// Guards against a slot that is given away because a report was sent before the host knew
/// its placement.
#[test]
fn a_report_older_than_an_assignment_does_not_end_it() {
    let mut scheduler = scheduler(vec![engine("engine", 1, 100)]);
    place(&mut scheduler, HOST, 1, NOW);
    report(&mut scheduler, HOST, &[], NOW + ms(299));
    assert_eq!(free_slots(&scheduler, NOW + ms(299)), 0);
    report(&mut scheduler, HOST, &[], NOW + ms(300));
    assert_eq!(free_slots(&scheduler, NOW + ms(300)), 1);
}

/// Guards against a slot that a report registers again after its release.
#[test]
fn a_report_older_than_a_release_does_not_take_a_slot() {
    let mut scheduler = scheduler(vec![engine("engine", 1, 100)]);
    place(&mut scheduler, HOST, 1, NOW);
    release(&mut scheduler, HOST, 1, NOW + ms(200));
    report(&mut scheduler, HOST, &[1], NOW + ms(201));
    assert_eq!(free_slots(&scheduler, NOW + ms(201)), 1);
}

/// Guards against a slot that stays in use at the engine which the scheduler assigned, while
/// the host runs the turn at another one.
#[test]
fn a_host_that_reports_another_engine_moves_its_placement() {
    let mut scheduler = scheduler(vec![engine("assigned", 1, 100)]);
    place(&mut scheduler, HOST, 1, NOW);
    place(&mut scheduler, HOST, 2, NOW);
    let engines = [engine("assigned", 1, 100), engine("engine", 2, 100)];
    let placements = |scheduler: &EngineScheduler| {
        engines
            .iter()
            .map(|engine| scheduler.placements_at(&engine.identity))
            .collect::<Vec<_>>()
    };
    assert_eq!(placements(&scheduler), [1, 0]);
    // Also a turn that waits may have been placed by the host itself.
    for at_ms in [10, 20] {
        report(&mut scheduler, HOST, &[1, 2], NOW + ms(at_ms));
        assert_eq!(placements(&scheduler), [0, 2]);
        assert_eq!(scheduler.status(NOW + ms(at_ms)).waiting, 0);
    }
    for number in [1, 2] {
        release(&mut scheduler, HOST, number, NOW + ms(30));
    }
    assert_eq!(placements(&scheduler), [0, 0]);
}

/// Guards against second slots for repeated requests, also if a copy arrives late.
#[test]
fn a_repeated_request_gets_no_second_slot() {
    let mut scheduler = scheduler(vec![engine("engine", 3, 100)]);
    let first = place(&mut scheduler, HOST, 1, NOW);
    assert_eq!(place(&mut scheduler, HOST, 1, NOW + ms(20)), first);
    assert_eq!(free_slots(&scheduler, NOW), 2);
    release(&mut scheduler, HOST, 1, NOW + ms(200));
    assert_eq!(place(&mut scheduler, HOST, 1, NOW + ms(220)), first);
    assert_eq!(free_slots(&scheduler, NOW + ms(220)), 3);
    // The release of a request arrives before the request.
    release(&mut scheduler, HOST, 2, NOW + ms(230));
    let outcome = place(&mut scheduler, HOST, 2, NOW + ms(240));
    assert_eq!(outcome, PlacementOutcome::Unavailable);
    assert_eq!(free_slots(&scheduler, NOW + ms(240)), 3);
    // Numbers of two processes differ.
    place(&mut scheduler, OTHER, 1, NOW + ms(250));
    assert_eq!(free_slots(&scheduler, NOW + ms(250)), 2);
}

/// Guards against slots that are assigned twice when a frozen host wakes.
#[test]
fn a_host_that_wakes_registers_its_placements_again() {
    let mut scheduler = scheduler(vec![engine("engine", 1, 100)]);
    place(&mut scheduler, HOST, 1, NOW);
    // The other host is heard, and the slot of the silent one becomes free.
    for at_ms in (250..=1_500).step_by(250) {
        report(&mut scheduler, OTHER, &[], NOW + ms(at_ms));
        scheduler.advance(NOW + ms(at_ms));
    }
    let later = NOW + ms(1_500);
    place(&mut scheduler, OTHER, 1, later);
    // Both turns run now, one of them beyond the slots.
    report(&mut scheduler, HOST, &[1], later + ms(10));
    release(&mut scheduler, OTHER, 1, later + ms(200));
    assert_eq!(free_slots(&scheduler, later + ms(200)), 0);
    release(&mut scheduler, HOST, 1, later + ms(210));
    assert_eq!(free_slots(&scheduler, later + ms(210)), 1);
}

/// Guards against turns that keep waiting for a host which does not ask for them any more.
#[test]
fn a_waiting_turn_that_is_not_repeated_leaves_the_queue() {
    let mut scheduler = scheduler(vec![engine("engine", 1, 100)]);
    for number in 1..=3 {
        place(&mut scheduler, HOST, number, NOW);
    }
    place(&mut scheduler, HOST, 3, NOW + ms(100));
    assert!(scheduler.advance(NOW + ms(500)).is_empty());
    assert_eq!(scheduler.status(NOW + ms(500)).waiting, 1);
    release(&mut scheduler, HOST, 3, NOW + ms(510));
    assert_eq!(scheduler.status(NOW + ms(510)).waiting, 0);
}

/// Guards against turns that wait for engines which have left, and against placements that
/// are forgotten while their engine is away.
#[test]
fn engines_that_leave_while_turns_wait_leave_no_turn_without_an_answer() {
    let mut scheduler = scheduler(vec![engine("engine", 1, 100)]);
    place(&mut scheduler, HOST, 1, NOW);
    place(&mut scheduler, HOST, 2, NOW);
    scheduler.set_engines(vec![engine("new", 1, 100)], NOW + ms(10));
    let answers = scheduler.advance(NOW + ms(10));
    assert_eq!(assigned(&answers[0].2), "new");
    place(&mut scheduler, HOST, 3, NOW + ms(20));
    scheduler.set_engines(Vec::new(), NOW + ms(30));
    let answers = scheduler.advance(NOW + ms(30));
    let PlacementOutcome::Refused { reason, .. } = answers[0].2 else {
        panic!("the waiting turn is answered {answers:?}");
    };
    assert_eq!(reason, PlacementRefusal::NoEngine);
    scheduler.set_engines(vec![engine("engine", 1, 100)], NOW + ms(40));
    assert_eq!(free_slots(&scheduler, NOW + ms(40)), 0);
    release(&mut scheduler, HOST, 1, NOW + ms(50));
    assert_eq!(free_slots(&scheduler, NOW + ms(50)), 1);
}

/// Guards against a new scheduler that assigns slots which other turns hold.
#[test]
fn a_new_scheduler_learns_from_reports_before_it_assigns() {
    let mut scheduler = EngineScheduler::new();
    scheduler.set_engines(vec![engine("engine", 2, 100)], NOW);
    let outcome = place(&mut scheduler, OTHER, 1, NOW + ms(499));
    assert_eq!(outcome, PlacementOutcome::Unavailable);
    let outcome = scheduler.admit(&OTHER.to_owned(), &start(2), NOW + ms(499));
    assert_eq!(outcome, AdmissionOutcome::Unavailable);
    report(&mut scheduler, HOST, &[1, 2, 3], NOW + ms(250));
    // The host that was answered `Unavailable` may ask again with the same number.
    let outcome = place(&mut scheduler, OTHER, 1, NOW + ms(500));
    assert!(matches!(outcome, PlacementOutcome::Queued { .. }));
    release(&mut scheduler, HOST, 1, NOW + ms(510));
    assert!(scheduler.advance(NOW + ms(510)).is_empty());
    release(&mut scheduler, HOST, 2, NOW + ms(520));
    assert_eq!(scheduler.advance(NOW + ms(520)).len(), 1);
}

/// Guards against refusals while slots are free, because a host that was paused for less
/// than 1 s reported its pause as the time to the first event of its turns.
#[test]
fn a_host_that_was_paused_does_not_cause_refusals_while_slots_are_free() {
    let mut scheduler = scheduler(vec![engine("engine", 120, 100)]);
    for number in 1..=20 {
        place(&mut scheduler, HOST, number, NOW);
    }
    let paused: Vec<_> = (1..=20)
        .map(|number| ReleasedPlacement {
            number,
            first_event_ms: Some(900),
        })
        .collect();
    let later = NOW + ms(400);
    scheduler.release(&HOST.to_owned(), &paused, later);
    for (number, turn_remaining_ms) in [(1, 500), (2, 50)] {
        let request = PlacementRequest {
            turn_remaining_ms,
            ..turn(number)
        };
        let outcome = scheduler.place(&OTHER.to_owned(), &request, later);
        assert_eq!(assigned(&outcome), "engine", "{turn_remaining_ms} ms");
    }
}

/// Guards against waiting turns that are refused as too late, because one turn took far
/// longer to its first event than the others.
#[test]
fn one_sample_raises_the_time_to_the_first_event_by_a_tenth_at_most() {
    let mut scheduler = scheduler(vec![engine("engine", 1, 100)]);
    place(&mut scheduler, HOST, 1, NOW);
    let released = ReleasedPlacement {
        number: 1,
        first_event_ms: Some(60_000),
    };
    scheduler.release(&HOST.to_owned(), &[released], NOW + ms(200));
    place(&mut scheduler, HOST, 2, NOW + ms(200));
    let request = PlacementRequest {
        turn_remaining_ms: 60,
        ..turn(3)
    };
    let outcome = scheduler.place(&HOST.to_owned(), &request, NOW + ms(200));
    assert!(
        matches!(outcome, PlacementOutcome::Queued { .. }),
        "{outcome:?}"
    );
}

/// Guards against a scheduler that was frozen and assigns slots which turns hold whose
/// hosts could not be heard meanwhile.
#[test]
fn a_scheduler_that_was_frozen_learns_again() {
    let mut scheduler = scheduler(vec![engine("engine", 1, 100)]);
    place(&mut scheduler, HOST, 1, NOW);
    let woken = NOW + ms(1_500);
    scheduler.advance(woken);
    assert!(scheduler.is_learning(woken));
    let outcome = place(&mut scheduler, OTHER, 1, woken);
    assert_eq!(outcome, PlacementOutcome::Unavailable);
    report(&mut scheduler, HOST, &[1], woken + ms(250));
    report(&mut scheduler, HOST, &[1], woken + ms(500));
    assert!(!scheduler.is_learning(woken + ms(500)));
    let outcome = place(&mut scheduler, OTHER, 1, woken + ms(500));
    assert!(matches!(outcome, PlacementOutcome::Queued { .. }));
}

/// Guards against a scheduler that takes a group over a second time and assigns slots which
/// another scheduler has assigned meanwhile.
#[test]
fn a_scheduler_that_takes_over_again_learns_again() {
    let mut scheduler = scheduler(vec![engine("engine", 1, 100)]);
    place(&mut scheduler, HOST, 1, NOW);
    release(&mut scheduler, HOST, 1, NOW + ms(200));
    // The hosts use another scheduler for 4 s; this one lists its engines as before.
    let again = START_MS + 4_000;
    for at_ms in (START_MS + 250..again).step_by(250) {
        scheduler.set_engines(vec![engine("engine", 1, 100)], ms(at_ms));
        scheduler.advance(ms(at_ms));
    }
    let outcome = place(&mut scheduler, OTHER, 1, ms(again));
    assert_eq!(outcome, PlacementOutcome::Unavailable);
    report(&mut scheduler, HOST, &[2], ms(again + 100));
    report(&mut scheduler, HOST, &[2], ms(again + 350));
    let outcome = place(&mut scheduler, OTHER, 2, ms(again + 500));
    assert!(matches!(outcome, PlacementOutcome::Queued { .. }));
}

/// Guards against hosts that select engines themselves after each pause between turns.
#[test]
fn a_pause_between_turns_does_not_start_learning() {
    let mut scheduler = scheduler(vec![engine("engine", 1, 100)]);
    place(&mut scheduler, HOST, 1, NOW);
    release(&mut scheduler, HOST, 1, NOW + ms(200));
    let paused_until = START_MS + 200 + 2_000;
    advance_until(&mut scheduler, START_MS + 200, paused_until);
    let outcome = place(&mut scheduler, HOST, 2, ms(paused_until));
    assert_eq!(assigned(&outcome), "engine");
}

/// Guards against a status of an idle group from a scheduler that knows nothing yet.
#[test]
fn a_scheduler_that_knows_no_turns_says_so() {
    let mut scheduler = EngineScheduler::new();
    assert!(scheduler.is_learning(NOW));
    scheduler.set_engines(vec![engine("engine", 2, 100)], NOW);
    assert!(scheduler.is_learning(NOW + ms(499)));
    scheduler.advance(NOW + ms(250));
    assert!(!scheduler.is_learning(NOW + ms(500)));
    // It learns again with its next call.
    assert!(!scheduler.is_learning(NOW + ms(750)));
    assert!(scheduler.is_learning(NOW + ms(751)));
}

/// Guards against a group that refuses every turn after a stall of its engines, because
/// it gets no new sample of the time to the first event, and against refusals while a slot
/// is free.
#[test]
fn turns_are_placed_again_after_a_stall_of_the_engines() {
    let mut scheduler = scheduler(vec![engine("engine", 200, 100)]);
    for number in 1..=200 {
        place(&mut scheduler, HOST, number, NOW);
    }
    let numbers: Vec<u64> = (1..=200).collect();
    for at_ms in (250..8_000).step_by(250) {
        report(&mut scheduler, HOST, &numbers, NOW + ms(at_ms));
    }
    let stalled: Vec<_> = (1..=200)
        .map(|number| ReleasedPlacement {
            number,
            first_event_ms: Some(8_000),
        })
        .collect();
    let later = NOW + ms(8_000);
    scheduler.release(&HOST.to_owned(), &stalled, later);
    // The turns have 2 s left. A turn for which a slot is free is tried.
    for number in 201..=400 {
        let outcome = place(&mut scheduler, HOST, number, later);
        assert_eq!(assigned(&outcome), "engine");
    }
    let outcome = place(&mut scheduler, HOST, 401, later);
    let PlacementOutcome::Refused { reason, .. } = outcome else {
        panic!("a turn that would wait is answered {outcome:?}");
    };
    assert_eq!(reason, PlacementRefusal::CannotEndInTime);
    let numbers: Vec<u64> = (201..=400).collect();
    for at_ms in (250..2_000).step_by(250) {
        report(&mut scheduler, HOST, &numbers, later + ms(at_ms));
    }
    let outcome = place(&mut scheduler, HOST, 402, later + ms(2_000));
    assert!(
        matches!(outcome, PlacementOutcome::Queued { .. }),
        "{outcome:?}"
    );
}
