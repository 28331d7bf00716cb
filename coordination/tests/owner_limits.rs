//! Snapshot tests of the owner's refusals, limits and quarantine, and of its
//! behaviour during table outages and while a shard is drained.

mod accepted_calls;
mod owner_harness;

use std::time::Duration;

use owner_harness::{OwnerHarness, model_call, program_id, tool_call};
use rosebend_coordination::owner::{CallRequest, Event, OwnerConfig};
use rosebend_state::record::EndReason;

/// Returns a harness with the default configuration.
fn harness() -> OwnerHarness {
    OwnerHarness::new(OwnerConfig::default())
}

#[test]
fn a_key_stands_for_one_call() {
    let mut harness = harness();
    harness.open_program("a", 100);
    harness.submit(model_call("a", "k"));
    harness.submit(model_call("a", "k"));
    harness.submit(CallRequest {
        body_digest: "other".to_owned(),
        ..model_call("a", "k")
    });
    harness.complete_oldest_call(1);
    harness.submit(model_call("a", "k"));
    insta::assert_snapshot!(harness.take_log());
}

#[test]
fn a_missing_call_is_waited_for_and_then_the_next_is_refused() {
    let mut harness = harness();
    harness.open_program("a", 100);
    let numbered = |sequence, key| CallRequest {
        sequence: Some(sequence),
        ..model_call("a", key)
    };
    harness.submit(numbered(2, "second"));
    harness.advance(Duration::from_millis(1900));
    harness.submit(numbered(1, "first"));
    harness.complete_oldest_call(1);
    harness.complete_oldest_call(1);
    harness.submit(numbered(4, "fourth"));
    harness.advance(Duration::from_millis(2100));
    harness.submit(numbered(1, "not the first"));
    insta::assert_snapshot!(harness.take_log());
}

#[test]
fn runaway_programs_end_with_a_reason() {
    let mut harness = OwnerHarness::new(OwnerConfig {
        loop_limit: 2,
        default_turn_limit: 3,
        default_wall_limit: Duration::from_secs(60),
        ..OwnerConfig::default()
    });
    for session in ["loops", "long", "old"] {
        harness.open_program(session, 1000);
    }
    for number in 0..3 {
        harness.submit(CallRequest {
            fingerprint: "same".to_owned(),
            ..model_call("loops", &format!("key-{number}"))
        });
        harness.in_flight.truncate(1);
        if !harness.in_flight.is_empty() {
            harness.complete_oldest_call(1);
        }
    }
    for number in 0..4 {
        harness.submit(model_call("long", &format!("key-{number}")));
        if !harness.in_flight.is_empty() {
            harness.complete_oldest_call(1);
        }
    }
    harness.submit(model_call("old", "slow"));
    harness.submit(model_call("old", "waits"));
    harness.advance(Duration::from_secs(61));
    harness.complete_oldest_call(1);
    insta::assert_snapshot!(harness.take_log());
}

#[test]
fn sub_agents_at_once_stay_within_the_budget_of_their_root() {
    let mut harness = harness();
    for session in ["a", "a/x", "a/y", "a/z"] {
        harness.open_program(session, 25);
    }
    for session in ["a/x", "a/y", "a/z"] {
        harness.submit(model_call(session, session));
    }
    harness.complete_oldest_call(2);
    harness.complete_oldest_call(10);
    harness.complete_oldest_call(10);
    harness.submit(model_call("a", "too much"));
    let view = harness.owner.program(harness.now, &program_id("a"));
    assert_eq!(view.expect("it is open").spent_tokens, 22);
    insta::assert_snapshot!(harness.take_log());
}

#[test]
fn an_outage_refuses_at_once_what_needs_the_table() {
    let mut harness = OwnerHarness::new(OwnerConfig {
        budget_chunk_tokens: 10,
        max_uncommitted: 2,
        ..OwnerConfig::default()
    });
    for session in ["a", "b", "c"] {
        harness.open_program(session, 1000);
    }
    harness.is_table_up = false;
    harness.submit(tool_call("a", "being written"));
    harness.set_table_state(false);
    harness.submit(tool_call("b", "fee"));
    harness.submit(model_call("b", "within the escrow"));
    harness.complete_oldest_call(10);
    harness.submit(model_call("b", "beyond the escrow"));
    harness.submit(model_call("c", "goes on"));
    harness.complete_oldest_call(1);
    harness.submit(model_call("c", "one answer too many"));
    harness.open_program("d", 10);
    harness.handle(Event::End {
        ticket: Some(99),
        program: program_id("c"),
        reason: EndReason::Requested,
    });
    harness.set_table_state(true);
    harness.submit(tool_call("a", "being written"));
    insta::assert_snapshot!(harness.take_log());
}

#[test]
fn a_request_that_crashes_twice_is_quarantined_and_its_neighbour_is_not() {
    let mut harness = harness();
    for session in ["a", "b"] {
        harness.open_program(session, 1000);
    }
    harness.submit(model_call("a", "poison"));
    harness.submit(model_call("b", "neighbour"));
    harness.crash_endpoint();
    let neighbour = harness.in_flight.pop();
    harness.crash_endpoint();
    harness.in_flight.extend(neighbour);
    harness.complete_oldest_call(1);
    harness.submit(CallRequest {
        key: Some("a new key".to_owned()),
        ..model_call("b", "poison")
    });
    harness.submit(model_call("b", "neighbour again"));
    insta::assert_snapshot!(harness.take_log());
}

#[test]
fn an_end_runs_what_is_sent_and_frees_what_is_held() {
    let mut harness = harness();
    for session in ["a", "a/x"] {
        harness.open_program(session, 100);
    }
    harness.submit(model_call("a/x", "done"));
    harness.complete_oldest_call(1);
    harness.submit(model_call("a", "in flight"));
    harness.submit(model_call("a", "waits"));
    harness.handle(Event::End {
        ticket: Some(99),
        program: program_id("a"),
        reason: EndReason::Requested,
    });
    harness.complete_oldest_call(1);
    harness.submit(model_call("a", "late"));
    insta::assert_snapshot!(harness.take_log());
}

#[test]
fn a_leaving_shard_is_drained_when_all_is_written_and_sent() {
    let mut harness = harness();
    harness.open_program("a", 100);
    harness.open_program("b", 100);
    harness.submit(model_call("a", "in flight"));
    harness.submit(model_call("a", "waits"));
    harness.is_table_up = false;
    harness.submit(tool_call("b", "its intent is being written"));
    harness.handle(Event::ShardLeaving { shard: 0 });
    harness.submit(model_call("a", "late"));
    let before = harness.take_log();
    assert!(!before.contains("drained"), "{before}");
    harness.complete_pending_commits();
    // Both calls were dispatched, so the next owner can claim them from their
    // sidecars.
    assert_eq!(harness.in_flight.len(), 2);
    insta::assert_snapshot!(format!("{before}\n--- written\n{}", harness.take_log()));
}

#[test]
fn a_shard_is_not_drained_before_a_pending_answer_is_durable() {
    let mut harness = harness();
    harness.open_program("a", 100);
    harness.submit(model_call("a", "in flight"));
    harness.is_table_up = false;
    harness.complete_oldest_call(1);
    harness.handle(Event::ShardLeaving { shard: 0 });
    let before = harness.take_log();
    assert!(!before.contains("drained"), "{before}");
    harness.complete_pending_commits();
    assert_eq!(harness.take_log(), "drained 0");
}

#[test]
fn a_shard_that_stays_takes_calls_and_drains_anew() {
    let mut harness = harness();
    harness.open_program("a", 100);
    harness.handle(Event::ShardLeaving { shard: 0 });
    harness.submit(model_call("a", "refused"));
    harness.handle(Event::ShardStays { shard: 0 });
    harness.submit(model_call("a", "taken"));
    harness.complete_oldest_call(1);
    harness.handle(Event::ShardLeaving { shard: 0 });
    insta::assert_snapshot!(harness.take_log());
}

#[test]
fn a_drained_shard_exports_its_records_unless_an_end_is_not_durable() {
    let mut harness = harness();
    harness.open_program("a", 100);
    harness.submit(model_call("a", "ended"));
    harness.complete_oldest_call(1);
    harness.submit(model_call("a", "in flight"));
    harness.handle(Event::ShardLeaving { shard: 0 });
    let records = harness.owner.records(harness.now, 0).unwrap();
    let sequences: Vec<u64> = records
        .turns
        .iter()
        .map(|turn| turn.call.sequence)
        .collect();
    assert_eq!((records.programs.len(), sequences), (1, vec![1]));
    let under_way = records.under_way.iter().map(|turn| turn.call.sequence);
    assert_eq!(under_way.collect::<Vec<_>>(), [2]);

    // The call ends after the shard was drained, while the table is unavailable:
    // only its sidecar has the answer, so the records can't be handed over.
    harness.is_table_up = false;
    harness.complete_oldest_call(2);
    assert_eq!(harness.owner.records(harness.now, 0), None);
}
