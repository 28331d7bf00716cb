//! Calls that were under way when their shard got a new owner.

use crate::desk::{Desk, call, program};
use rosebend_coordination::owner::{ClaimOutcome, Event, OwnerConfig, RetainedTurn};
use rosebend_state::id::CallId;
use rosebend_state::record::{CallKind, ProgramRecord, ProgramState, TurnRecord, TurnState};

/// The first attempt of an owner in epoch 1.
const ATTEMPT: u32 = 1001;

fn running_call() -> CallId {
    CallId {
        program: program("a"),
        sequence: 1,
    }
}

/// What an owner in epoch 1 had, with a repeatable call that runs at `e1`.
fn program_record() -> ProgramRecord {
    ProgramRecord {
        program: program("a"),
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

fn running_turn() -> TurnRecord {
    TurnRecord {
        call: running_call(),
        key: Some("first".to_owned()),
        body_digest: "first".to_owned(),
        kind: CallKind::Model,
        target: "agent-llm".to_owned(),
        repeatable: true,
        state: TurnState::Intent {
            attempt: ATTEMPT,
            endpoint: "e1".to_owned(),
            incarnation: "1".to_owned(),
            reserved_tokens: 10,
        },
    }
}

/// A successor that is told by a sidecar that the call runs there.
fn successor() -> Desk {
    let mut desk = Desk::new(OwnerConfig::default());
    desk.event(Event::ShardGained {
        shard: 0,
        epoch: 2,
        programs: vec![program_record()],
        turns: Vec::new(),
        retained: vec![RetainedTurn {
            turn: running_turn(),
            attempt: ATTEMPT,
            answer: None,
        }],
        under_way: Vec::new(),
        retained_after: Some(0),
    });
    desk
}

fn claimed(outcome: ClaimOutcome) -> Event {
    Event::Claimed {
        call: running_call(),
        attempt: ATTEMPT,
        outcome,
    }
}

#[test]
fn readers_of_a_call_that_nobody_can_send_again_are_told() {
    let mut desk = successor();
    desk.event(claimed(ClaimOutcome::Running));
    desk.sent.push((running_call(), ATTEMPT));
    desk.crash();
    // The caller sends it again, with its key.
    desk.submit(call("a", "first"));
    insta::assert_snapshot!(desk.seen(), @r"
    claim caribmar/a#1
    caribmar/a#1 ended: Parked { may_have_run: true }
    ticket 1 follows caribmar/a#1
    dispatch caribmar/a#1 to e1
    ");
}

#[test]
fn readers_of_a_call_that_was_buried_are_told() {
    let mut desk = successor();
    desk.event(claimed(ClaimOutcome::Buried));
    desk.submit(call("a", "first"));
    insta::assert_snapshot!(desk.seen(), @r"
    claim caribmar/a#1
    caribmar/a#1 ended: Parked { may_have_run: false }
    ticket 1 follows caribmar/a#1
    dispatch caribmar/a#1 to e1
    ");
}

/// An owner that has drained its shard while a repeatable call runs at `e1`.
fn drained_owner() -> Desk {
    let mut desk = Desk::new(OwnerConfig::default());
    desk.open("a", 100);
    desk.submit(call("a", "first"));
    desk.event(Event::ShardLeaving { shard: 0 });
    desk
}

/// A successor to which the shard was handed over. No sidecar told it anything,
/// or all did, and none has a call.
fn successor_of(owner: &Desk, do_sidecars_tell: bool) -> Desk {
    let records = owner.owner.records(owner.now, 0).unwrap();
    let mut desk = Desk::new(OwnerConfig::default());
    desk.event(Event::ShardGained {
        shard: 0,
        epoch: 2,
        programs: records.programs,
        turns: records.turns,
        retained: Vec::new(),
        under_way: records.under_way,
        retained_after: do_sidecars_tell.then_some(0),
    });
    desk
}

#[test]
fn a_successor_claims_a_call_of_which_its_sidecar_did_not_tell() {
    let mut desk = successor_of(&drained_owner(), false);
    assert!(desk.owner.call(&running_call()).is_some());
    desk.event(claimed(ClaimOutcome::Running));
    desk.submit(call("a", "first"));
    insta::assert_snapshot!(desk.seen(), @r"
    claim caribmar/a#1
    ticket 1 follows caribmar/a#1
    ");
}

#[test]
fn a_call_that_no_sidecar_has_did_not_reach_one() {
    let mut desk = successor_of(&drained_owner(), true);
    assert_eq!(desk.owner.call(&running_call()), None);
    desk.submit(call("a", "first"));
    insta::assert_snapshot!(desk.seen(), @r"
    ticket 1 follows caribmar/a#1
    dispatch caribmar/a#1 to e1
    ");
}
