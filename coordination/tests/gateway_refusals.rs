//! Entries that name no endpoint are told once, and not without bound.

use std::collections::HashSet;

use rosebend_coordination::gateway::refusals::Refusals;

#[test]
fn an_entry_is_told_once_until_it_was_gone() {
    let mut refusals = Refusals::default();
    assert!(refusals.note("a", "range"));
    assert!(!refusals.note("a", "range"));
    assert!(!refusals.note("a", "form"));
    assert_eq!(refusals.word("a"), Some("range"));
    assert!(refusals.end("a"));
    assert!(!refusals.end("a"));
    assert!(refusals.note("a", "form"));
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
    let told = (0..10_000).filter(|number| refusals.note(&format!("i-{number}"), "form"));
    assert_eq!(told.count(), 256);
    assert!(refusals.end("i-0"));
    assert!(refusals.note("i-9999", "form"));
}
