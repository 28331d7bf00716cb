//! Refusals, limits, outages and crashing requests, as snapshots of what the
//! owner does.

mod desk;
mod taken_calls;

use std::time::Duration;

use desk::{Desk, call, fee, program};
use rosebend_coordination::owner::{CallRequest, Event, OwnerConfig};
use rosebend_state::record::EndReason;

fn desk() -> Desk {
    Desk::new(OwnerConfig::default())
}

#[test]
fn a_key_stands_for_one_call() {
    let mut desk = desk();
    desk.open("a", 100);
    desk.submit(call("a", "k"));
    desk.submit(call("a", "k"));
    desk.submit(CallRequest {
        body_digest: "other".to_owned(),
        ..call("a", "k")
    });
    desk.finish(1);
    desk.submit(call("a", "k"));
    insta::assert_snapshot!(desk.seen());
}

#[test]
fn a_missing_call_is_waited_for_and_then_the_next_is_refused() {
    let mut desk = desk();
    desk.open("a", 100);
    let numbered = |sequence, key| CallRequest {
        sequence: Some(sequence),
        ..call("a", key)
    };
    desk.submit(numbered(2, "second"));
    desk.pass(Duration::from_millis(1900));
    desk.submit(numbered(1, "first"));
    desk.finish(1);
    desk.finish(1);
    desk.submit(numbered(4, "fourth"));
    desk.pass(Duration::from_millis(2100));
    desk.submit(numbered(1, "not the first"));
    insta::assert_snapshot!(desk.seen());
}

#[test]
fn runaway_programs_end_with_a_reason() {
    let mut desk = Desk::new(OwnerConfig {
        loop_limit: 2,
        default_turn_limit: 3,
        default_wall_limit: Duration::from_secs(60),
        ..OwnerConfig::default()
    });
    for session in ["loops", "long", "old"] {
        desk.open(session, 1000);
    }
    for number in 0..3 {
        desk.submit(CallRequest {
            fingerprint: "same".to_owned(),
            ..call("loops", &format!("key-{number}"))
        });
        desk.sent.truncate(1);
        if !desk.sent.is_empty() {
            desk.finish(1);
        }
    }
    for number in 0..4 {
        desk.submit(call("long", &format!("key-{number}")));
        if !desk.sent.is_empty() {
            desk.finish(1);
        }
    }
    desk.submit(call("old", "slow"));
    desk.submit(call("old", "waits"));
    desk.pass(Duration::from_secs(61));
    desk.finish(1);
    insta::assert_snapshot!(desk.seen());
}

#[test]
fn sub_agents_at_once_stay_within_the_budget_of_their_root() {
    let mut desk = desk();
    for session in ["a", "a/x", "a/y", "a/z"] {
        desk.open(session, 25);
    }
    for session in ["a/x", "a/y", "a/z"] {
        desk.submit(call(session, session));
    }
    desk.finish(2);
    desk.finish(10);
    desk.finish(10);
    desk.submit(call("a", "too much"));
    let view = desk.owner.program(desk.now, &program("a"));
    assert_eq!(view.expect("it is open").spent_tokens, 22);
    insta::assert_snapshot!(desk.seen());
}

#[test]
fn an_outage_refuses_at_once_what_needs_the_table() {
    let mut desk = Desk::new(OwnerConfig {
        budget_chunk_tokens: 10,
        max_uncommitted: 2,
        ..OwnerConfig::default()
    });
    for session in ["a", "b", "c"] {
        desk.open(session, 1000);
    }
    desk.is_table_up = false;
    desk.submit(fee("a", "being written"));
    desk.table(false);
    desk.submit(fee("b", "fee"));
    desk.submit(call("b", "within the escrow"));
    desk.finish(10);
    desk.submit(call("b", "beyond the escrow"));
    desk.submit(call("c", "goes on"));
    desk.finish(1);
    desk.submit(call("c", "one answer too many"));
    desk.open("d", 10);
    desk.event(Event::End {
        ticket: Some(99),
        program: program("c"),
        reason: EndReason::Requested,
    });
    desk.table(true);
    desk.submit(fee("a", "being written"));
    insta::assert_snapshot!(desk.seen());
}

#[test]
fn a_request_that_crashes_twice_is_quarantined_and_its_neighbour_is_not() {
    let mut desk = desk();
    for session in ["a", "b"] {
        desk.open(session, 1000);
    }
    desk.submit(call("a", "poison"));
    desk.submit(call("b", "neighbour"));
    desk.crash();
    let neighbour = desk.sent.pop();
    desk.crash();
    desk.sent.extend(neighbour);
    desk.finish(1);
    desk.submit(CallRequest {
        key: Some("a new key".to_owned()),
        ..call("b", "poison")
    });
    desk.submit(call("b", "neighbour again"));
    insta::assert_snapshot!(desk.seen());
}

#[test]
fn an_end_runs_what_is_sent_and_frees_what_is_held() {
    let mut desk = desk();
    for session in ["a", "a/x"] {
        desk.open(session, 100);
    }
    desk.submit(call("a/x", "done"));
    desk.finish(1);
    desk.submit(call("a", "in flight"));
    desk.submit(call("a", "waits"));
    desk.event(Event::End {
        ticket: Some(99),
        program: program("a"),
        reason: EndReason::Requested,
    });
    desk.finish(1);
    desk.submit(call("a", "late"));
    insta::assert_snapshot!(desk.seen());
}

#[test]
fn a_leaving_shard_is_drained_when_all_is_written_and_sent() {
    let mut desk = desk();
    desk.open("a", 100);
    desk.open("b", 100);
    desk.submit(call("a", "in flight"));
    desk.submit(call("a", "waits"));
    desk.is_table_up = false;
    desk.submit(fee("b", "its intent is being written"));
    desk.event(Event::ShardLeaving { shard: 0 });
    desk.submit(call("a", "late"));
    let before = desk.seen();
    assert!(!before.contains("drained"), "{before}");
    desk.commit_waiting();
    // The next owner finds both calls with their sidecars.
    assert_eq!(desk.sent.len(), 2);
    insta::assert_snapshot!(format!("{before}\n--- written\n{}", desk.seen()));
}

#[test]
fn an_answer_that_is_being_written_keeps_a_shard_from_being_drained() {
    let mut desk = desk();
    desk.open("a", 100);
    desk.submit(call("a", "in flight"));
    desk.is_table_up = false;
    desk.finish(1);
    desk.event(Event::ShardLeaving { shard: 0 });
    let before = desk.seen();
    assert!(!before.contains("drained"), "{before}");
    desk.commit_waiting();
    assert_eq!(desk.seen(), "drained 0");
}

#[test]
fn a_shard_that_stays_takes_calls_and_drains_anew() {
    let mut desk = desk();
    desk.open("a", 100);
    desk.event(Event::ShardLeaving { shard: 0 });
    desk.submit(call("a", "refused"));
    desk.event(Event::ShardStays { shard: 0 });
    desk.submit(call("a", "taken"));
    desk.finish(1);
    desk.event(Event::ShardLeaving { shard: 0 });
    insta::assert_snapshot!(desk.seen());
}

#[test]
fn a_drained_shard_hands_its_records_over_unless_an_end_is_not_written() {
    let mut desk = desk();
    desk.open("a", 100);
    desk.submit(call("a", "ended"));
    desk.finish(1);
    desk.submit(call("a", "in flight"));
    desk.event(Event::ShardLeaving { shard: 0 });
    let records = desk.owner.records(desk.now, 0).unwrap();
    let sequences: Vec<u64> = records
        .turns
        .iter()
        .map(|turn| turn.call.sequence)
        .collect();
    assert_eq!((records.programs.len(), sequences), (1, vec![1]));
    let under_way = records.under_way.iter().map(|turn| turn.call.sequence);
    assert_eq!(under_way.collect::<Vec<_>>(), [2]);

    // It ends after the shard was drained: only its sidecar has the answer.
    desk.is_table_up = false;
    desk.finish(2);
    assert_eq!(desk.owner.records(desk.now, 0), None);
}
