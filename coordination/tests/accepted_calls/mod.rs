//! Tests of calls that were in progress when another process took over their
//! shard.

use crate::owner_harness::{OwnerHarness, model_call, program_id};
use rosebend_coordination::owner::{ClaimOutcome, Event, OwnerConfig, RetainedTurn};
use rosebend_state::id::CallId;
use rosebend_state::record::{CallKind, ProgramRecord, ProgramState, TurnRecord, TurnState};

/// The number of the first attempt that an owner starts in epoch 1.
const FIRST_ATTEMPT: u32 = 1001;

/// Returns the id of the call that runs at `e1` during the takeover.
fn running_call_id() -> CallId {
    CallId {
        program: program_id("a"),
        sequence: 1,
    }
}

/// Returns the record of an open program that an owner in epoch 1 wrote.
fn program_record() -> ProgramRecord {
    ProgramRecord {
        program: program_id("a"),
        epoch: 1,
        state: ProgramState::Open,
        budget_tokens: 100,
        drawn_tokens: 100,
        spent_tokens: 0,
        turn_limit: 10,
        wall_limit_ms: 1_000_000,
        age_ms: 0,
        body_digest: "open".to_owned(),
        next_sequence: 1,
        warm: None,
    }
}

/// Returns the record of a repeatable call that runs at `e1`, as the owner in
/// epoch 1 sent it to the sidecar.
fn running_turn() -> TurnRecord {
    TurnRecord {
        call: running_call_id(),
        key: Some("first".to_owned()),
        body_digest: "first".to_owned(),
        kind: CallKind::Model,
        target: "agent-llm".to_owned(),
        repeatable: true,
        state: TurnState::Intent {
            attempt: FIRST_ATTEMPT,
            endpoint: "e1".to_owned(),
            incarnation: "1".to_owned(),
            reserved_tokens: 10,
        },
    }
}

/// Returns an owner in epoch 2 that took over after a failure. A sidecar has
/// reported that the call runs at its endpoint.
fn successor_after_failover() -> OwnerHarness {
    let mut harness = OwnerHarness::new(OwnerConfig::default());
    harness.handle(Event::ShardGained {
        shard: 0,
        epoch: 2,
        programs: vec![program_record()],
        turns: Vec::new(),
        retained: vec![RetainedTurn {
            turn: running_turn(),
            attempt: FIRST_ATTEMPT,
            answer: None,
        }],
        under_way: Vec::new(),
        retained_after: Some(0),
    });
    harness
}

/// Returns a sidecar's reply to the successor's claim of the running call.
fn claim_reply(outcome: ClaimOutcome) -> Event {
    Event::Claimed {
        call: running_call_id(),
        attempt: FIRST_ATTEMPT,
        outcome,
    }
}

#[test]
fn followers_of_a_call_whose_request_body_is_lost_are_notified() {
    let mut harness = successor_after_failover();
    harness.handle(claim_reply(ClaimOutcome::Running));
    harness.in_flight.push((running_call_id(), FIRST_ATTEMPT));
    harness.crash_endpoint();
    // The caller sends the request again with the same idempotency key.
    harness.submit(model_call("a", "first"));
    insta::assert_snapshot!(harness.take_log(), @r"
    claim caribmar/a#1
    caribmar/a#1 ended: Parked { may_have_run: true }
    ticket 1 follows caribmar/a#1
    dispatch caribmar/a#1 to e1
    ");
}

#[test]
fn followers_of_a_call_cancelled_by_a_claim_are_notified() {
    let mut harness = successor_after_failover();
    harness.handle(claim_reply(ClaimOutcome::Buried));
    harness.submit(model_call("a", "first"));
    insta::assert_snapshot!(harness.take_log(), @r"
    claim caribmar/a#1
    caribmar/a#1 ended: Parked { may_have_run: false }
    ticket 1 follows caribmar/a#1
    dispatch caribmar/a#1 to e1
    ");
}

/// Returns an owner that drained its shard while a repeatable call runs at `e1`.
fn drained_predecessor() -> OwnerHarness {
    let mut harness = OwnerHarness::new(OwnerConfig::default());
    harness.open_program("a", 100);
    harness.submit(model_call("a", "first"));
    harness.handle(Event::ShardLeaving { shard: 0 });
    harness
}

/// Returns an owner that received the shard from `owner` by a planned handover.
/// If `have_sidecars_reported` is true, every sidecar has reported that it
/// retains no call; otherwise at least one report is missing.
fn successor_after_handoff(owner: &OwnerHarness, have_sidecars_reported: bool) -> OwnerHarness {
    let records = owner.owner.records(owner.now, 0).unwrap();
    let mut harness = OwnerHarness::new(OwnerConfig::default());
    harness.handle(Event::ShardGained {
        shard: 0,
        epoch: 2,
        programs: records.programs,
        turns: records.turns,
        retained: Vec::new(),
        under_way: records.under_way,
        retained_after: have_sidecars_reported.then_some(0),
    });
    harness
}

#[test]
fn a_successor_claims_a_handed_over_call_that_its_sidecar_did_not_report() {
    let mut harness = successor_after_handoff(&drained_predecessor(), false);
    assert!(harness.owner.call(&running_call_id()).is_some());
    harness.handle(claim_reply(ClaimOutcome::Running));
    harness.submit(model_call("a", "first"));
    insta::assert_snapshot!(harness.take_log(), @r"
    claim caribmar/a#1
    ticket 1 follows caribmar/a#1
    ");
}

#[test]
fn a_handed_over_call_that_no_sidecar_retains_is_dispatched_again() {
    let mut harness = successor_after_handoff(&drained_predecessor(), true);
    assert_eq!(harness.owner.call(&running_call_id()), None);
    harness.submit(model_call("a", "first"));
    insta::assert_snapshot!(harness.take_log(), @r"
    ticket 1 follows caribmar/a#1
    dispatch caribmar/a#1 to e1
    ");
}
