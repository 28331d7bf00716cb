//! Tests that entries without a usable endpoint are logged once, and that their
//! number is bounded.

use std::collections::HashSet;

use rosebend_coordination::gateway::refusals::{RecordOutcome, RefusedEntries};

#[test]
fn an_entry_is_reported_once_until_it_is_cleared() {
    let mut refused_entries = RefusedEntries::default();
    assert_eq!(
        refused_entries.record_refusal("a", "range"),
        RecordOutcome::New
    );
    assert_eq!(
        refused_entries.record_refusal("a", "range"),
        RecordOutcome::AlreadyRefused
    );
    assert_eq!(
        refused_entries.record_refusal("a", "form"),
        RecordOutcome::AlreadyRefused
    );
    assert_eq!(refused_entries.reason_code("a"), Some("range"));
    assert!(refused_entries.clear("a"));
    assert!(!refused_entries.clear("a"));
    assert_eq!(
        refused_entries.record_refusal("a", "form"),
        RecordOutcome::New
    );
}

#[test]
fn a_complete_read_clears_the_entries_that_it_lacks() {
    let mut refused_entries = RefusedEntries::default();
    for id in ["a", "b"] {
        refused_entries.record_refusal(id, "form");
    }
    assert_eq!(refused_entries.retain(&HashSet::from(["b", "c"])), ["a"]);
    assert_eq!(refused_entries.with_reason("form"), ["b"]);
}

#[test]
fn the_number_of_tracked_entries_is_bounded() {
    let mut refused_entries = RefusedEntries::default();
    for number in 0..10_000 {
        let outcome = refused_entries.record_refusal(&format!("i-{number}"), "form");
        let expected = if number < 256 {
            RecordOutcome::New
        } else {
            RecordOutcome::LimitReached
        };
        assert_eq!(outcome, expected, "{number}");
    }
    assert!(refused_entries.clear("i-0"));
    assert_eq!(
        refused_entries.record_refusal("i-9999", "form"),
        RecordOutcome::New
    );
}
