//! Entries that name no endpoint are told once, and not without bound.

use std::collections::HashSet;

use rosebend_coordination::gateway::refusals::{Noted, Refusals};

#[test]
fn an_entry_is_told_once_until_it_was_gone() {
    let mut refusals = Refusals::default();
    assert_eq!(refusals.note("a", "range"), Noted::New);
    assert_eq!(refusals.note("a", "range"), Noted::Known);
    assert_eq!(refusals.note("a", "form"), Noted::Known);
    assert_eq!(refusals.word("a"), Some("range"));
    assert!(refusals.end("a"));
    assert!(!refusals.end("a"));
    assert_eq!(refusals.note("a", "form"), Noted::New);
}

#[test]
fn a_whole_read_ends_the_refusals_of_entries_that_it_lacks() {
    let mut refusals = Refusals::default();
    for id in ["a", "b"] {
        refusals.note(id, "form");
    }
    assert_eq!(refusals.retain(&HashSet::from(["b", "c"])), ["a"]);
    assert_eq!(refusals.for_word("form"), ["b"]);
}

#[test]
fn a_flood_of_entries_is_told_in_part() {
    let mut refusals = Refusals::default();
    for number in 0..10_000 {
        let noted = refusals.note(&format!("i-{number}"), "form");
        let expected = if number < 256 {
            Noted::New
        } else {
            Noted::Beyond
        };
        assert_eq!(noted, expected, "{number}");
    }
    assert!(refusals.end("i-0"));
    assert_eq!(refusals.note("i-9999", "form"), Noted::New);
}
