//! Changes of programs on their way to the store: what is written, and who may
//! use what a host reserved or drew.

mod lane_support;

use lane_support::{MOST, PROGRAM, Store, flush, reserve, reserve_with, settle, settle_under};
use rosebend_coordination::gateway::history::ledger_row;
use rosebend_coordination::gateway::lane::{Answer, Change, DrawState, Lane, Outcome, Source};
use rosebend_coordination::gateway::ledger::{Draw, DrawRule, Freed};

#[test]
fn a_turn_needs_one_write_where_its_host_drew_ahead() {
    let mut store = Store::default();
    let mut lane = Lane::new("run-a".to_owned());
    lane.submit(PROGRAM.to_owned(), reserve("t1", 2_000));
    flush(&mut lane, &mut store);
    lane.submit(
        PROGRAM.to_owned(),
        settle("t1", 70, Source::Reservation, 2_000),
    );
    flush(&mut lane, &mut store);
    let before = store.version;
    assert!(lane.take_ahead(PROGRAM, &"t2".to_owned(), MOST));
    lane.submit(PROGRAM.to_owned(), settle("t2", 70, Source::Ahead, 2_000));
    assert_eq!(flush(&mut lane, &mut store), [Outcome::Durable]);
    assert_eq!(store.version - before, 1);
    assert_eq!(store.ledger().committed_tokens(), 140 + MOST);
}

#[test]
fn tokens_drawn_ahead_serve_one_turn_at_a_time() {
    let mut store = Store::default();
    let mut lane = Lane::new("run-a".to_owned());
    lane.submit(PROGRAM.to_owned(), reserve("t1", 2_000));
    lane.submit(
        PROGRAM.to_owned(),
        settle("t1", 70, Source::Reservation, 2_000),
    );
    flush(&mut lane, &mut store);
    assert!(lane.take_ahead(PROGRAM, &"t2".to_owned(), MOST));
    assert!(!lane.take_ahead(PROGRAM, &"t3".to_owned(), MOST));
    lane.return_ahead(PROGRAM, &"t2".to_owned());
    assert!(lane.take_ahead(PROGRAM, &"t3".to_owned(), MOST));
}

#[test]
fn another_run_of_the_host_does_not_use_what_the_last_one_drew() {
    let mut store = Store::default();
    let mut lane = Lane::new("run-a".to_owned());
    lane.submit(PROGRAM.to_owned(), reserve("t1", 2_000));
    lane.submit(
        PROGRAM.to_owned(),
        settle("t1", 70, Source::Reservation, 2_000),
    );
    flush(&mut lane, &mut store);
    let mut next = Lane::new("run-b".to_owned());
    next.learn(PROGRAM, store.version, store.ledger());
    assert!(!next.take_ahead(PROGRAM, &"t2".to_owned(), MOST));
}

#[test]
fn a_spent_budget_ends_a_reservation_and_writes_nothing() {
    let mut store = Store::default();
    let mut lane = Lane::new("run-a".to_owned());
    lane.submit(PROGRAM.to_owned(), reserve("t1", MOST));
    flush(&mut lane, &mut store);
    let before = store.version;
    lane.submit(PROGRAM.to_owned(), reserve("t2", MOST));
    assert_eq!(flush(&mut lane, &mut store), [Outcome::Exhausted]);
    assert_eq!(store.version, before);
}

#[test]
fn a_change_that_meets_a_newer_ledger_is_applied_to_it() {
    let mut store = Store::default();
    let mut first = Lane::new("run-a".to_owned());
    let mut second = Lane::new("run-b".to_owned());
    first.submit(PROGRAM.to_owned(), reserve("t1", 2 * MOST));
    flush(&mut first, &mut store);
    second.submit(PROGRAM.to_owned(), reserve("t2", 2 * MOST));
    assert_eq!(flush(&mut second, &mut store), [Outcome::Durable]);
    assert_eq!(store.ledger().committed_tokens(), 2 * MOST);
}

/// Two hosts, the first of which has drawn ahead after a turn of 70 tokens.
fn drawn_at_the_first(store: &mut Store, budget_tokens: u64) -> (Lane, Lane) {
    let mut first = Lane::new("host-1/a".to_owned());
    first.submit(PROGRAM.to_owned(), reserve("t1", budget_tokens));
    first.submit(
        PROGRAM.to_owned(),
        settle("t1", 70, Source::Reservation, budget_tokens),
    );
    flush(&mut first, store);
    let mut second = Lane::new("host-2/b".to_owned());
    second.learn(PROGRAM, store.version, store.ledger());
    (first, second)
}

fn draw(after: &str) -> Draw {
    Draw {
        holder: "host-1/a".to_owned(),
        after: after.to_owned(),
    }
}

#[test]
fn nothing_is_drawn_ahead_that_a_further_turn_would_need() {
    let mut store = Store::default();
    // 70 tokens are spent, so that it holds the draw and 279 more.
    drawn_at_the_first(&mut store, 70 + 2 * MOST - 1);
    assert_eq!(store.ledger().committed_tokens(), 70);
}

#[test]
fn a_second_host_draws_only_under_a_busy_store_and_while_half_is_free() {
    let half = 140 + 2 * MOST;
    let cases = [
        (DrawRule::Alone, 100 * half, 1),
        (DrawRule::BesideOthers, 2 * half, 2),
        (DrawRule::BesideOthers, 2 * half - 1, 1),
    ];
    for (rule, budget, drawn) in cases {
        let mut store = Store::default();
        let (_first, mut second) = drawn_at_the_first(&mut store, budget);
        second.submit(PROGRAM.to_owned(), reserve("t2", budget));
        let change = settle_under(rule, "t2", 70, Source::Reservation, budget);
        second.submit(PROGRAM.to_owned(), change);
        flush(&mut second, &mut store);
        assert_eq!(store.ledger().committed_tokens(), 140 + drawn * MOST);
    }
}

#[test]
fn a_draw_that_is_given_up_serves_another_host_and_no_more_its_own() {
    let budget = 70 + 2 * MOST;
    let mut store = Store::default();
    let (mut first, mut second) = drawn_at_the_first(&mut store, budget);
    second.submit(PROGRAM.to_owned(), reserve("t2", budget));
    second.submit(PROGRAM.to_owned(), reserve("t3", budget));
    let outcomes = flush(&mut second, &mut store);
    assert!(outcomes.contains(&Outcome::Exhausted), "{outcomes:?}");
    let state = first.return_draw(PROGRAM, &draw("t1"));
    assert_eq!(state, DrawState::Returned);
    assert!(!first.take_ahead(PROGRAM, &"t4".to_owned(), MOST));
    let freed = vec![Freed::Returned(draw("t1"))];
    second.submit(PROGRAM.to_owned(), reserve_with("t3", budget, freed));
    assert_eq!(flush(&mut second, &mut store), [Outcome::Durable]);
    assert_eq!(store.ledger().committed_tokens(), budget);
}

#[test]
fn a_draw_that_a_turn_uses_is_not_given_up() {
    let mut store = Store::default();
    let (mut first, _) = drawn_at_the_first(&mut store, 100 * MOST);
    assert!(first.take_ahead(PROGRAM, &"t2".to_owned(), MOST));
    let state = first.return_draw(PROGRAM, &draw("t1"));
    assert_eq!(state, DrawState::InUse);
    first.submit(PROGRAM.to_owned(), settle("t2", 70, Source::Ahead, 0));
    let state = first.return_draw(PROGRAM, &draw("t1"));
    assert_eq!(state, DrawState::Settling);
}

#[test]
fn a_question_that_comes_late_frees_no_draw_that_was_given_up() {
    let budget = 100 * MOST;
    let mut store = Store::default();
    let (mut first, _) = drawn_at_the_first(&mut store, budget);
    assert!(first.take_ahead(PROGRAM, &"t2".to_owned(), MOST));
    first.submit(PROGRAM.to_owned(), settle("t2", 70, Source::Ahead, budget));
    flush(&mut first, &mut store);
    assert_eq!(first.return_draw(PROGRAM, &draw("t2")), DrawState::Returned);
    // Asked by a host that read the ledger before the second turn was settled.
    assert_eq!(first.return_draw(PROGRAM, &draw("t1")), DrawState::Returned);
    assert!(!first.take_ahead(PROGRAM, &"t3".to_owned(), MOST));
}

#[test]
fn a_turn_that_used_a_draw_is_counted_once_beside_one_that_draws_anew() {
    let budget = 10 + 2 * MOST + 150;
    let mut store = Store::default();
    let mut lane = Lane::new("host-1/a".to_owned());
    lane.submit(PROGRAM.to_owned(), reserve("t1", budget));
    let change = settle("t1", 10, Source::Reservation, budget);
    lane.submit(PROGRAM.to_owned(), change);
    flush(&mut lane, &mut store);
    assert!(lane.take_ahead(PROGRAM, &"t2".to_owned(), MOST));
    lane.submit(PROGRAM.to_owned(), reserve("t3", budget));
    flush(&mut lane, &mut store);
    lane.submit(PROGRAM.to_owned(), settle("t2", 100, Source::Ahead, budget));
    let change = settle("t3", 5, Source::Reservation, budget);
    lane.submit(PROGRAM.to_owned(), change);
    // The transaction takes effect; its answer is lost and it is sent again.
    let (transaction, _) = lane.next_transaction();
    store.apply(&transaction.unwrap());
    lane.answered(Answer::NotKnown);
    flush(&mut lane, &mut store);
    assert_eq!(store.ledger().account().spent_tokens, 115);
}

#[test]
fn draws_of_a_host_that_stops_come_back() {
    let mut store = Store::default();
    let (mut first, _) = drawn_at_the_first(&mut store, 100 * MOST);
    assert!(first.return_all_draws());
    flush(&mut first, &mut store);
    assert_eq!(store.ledger().committed_tokens(), 70);
    assert!(!first.take_ahead(PROGRAM, &"t2".to_owned(), MOST));
}

#[test]
fn a_gone_host_s_draw_is_forgiven_in_part_to_a_smaller_turn() {
    let budget = 70 + 2 * MOST;
    let mut store = Store::default();
    let (_first, mut second) = drawn_at_the_first(&mut store, budget);
    second.submit(PROGRAM.to_owned(), reserve("t2", budget));
    let small = Change::Reserve {
        attempt: "t3".to_owned(),
        most_tokens: MOST / 4,
        budget_tokens: budget,
        freed: vec![Freed::Gone("host-1/a".to_owned())],
    };
    second.submit(PROGRAM.to_owned(), small);
    let outcomes = flush(&mut second, &mut store);
    assert_eq!(outcomes, [Outcome::Durable, Outcome::Durable]);
    assert_eq!(store.ledger().committed_tokens(), budget);
}

#[test]
fn only_what_a_turn_needs_is_taken_from_others() {
    let budget = 100 * MOST;
    let mut store = Store::default();
    let (_first, mut second) = drawn_at_the_first(&mut store, budget);
    let freed = vec![Freed::Gone("host-1/a".to_owned())];
    second.submit(PROGRAM.to_owned(), reserve_with("t2", budget, freed));
    flush(&mut second, &mut store);
    assert_eq!(store.ledger().committed_tokens(), 70 + 2 * MOST);
}

#[test]
fn at_most_one_turn_s_most_of_gone_holders_is_forgiven() {
    let budget = 70 + 2 * MOST;
    let mut store = Store::default();
    let (mut first, mut second) = drawn_at_the_first(&mut store, budget);
    // Beside the draw, a turn runs at the first host when it goes.
    first.submit(PROGRAM.to_owned(), reserve("t2", budget));
    flush(&mut first, &mut store);
    drop(first);
    let gone = || vec![Freed::Gone("host-1/a".to_owned())];
    second.submit(PROGRAM.to_owned(), reserve_with("t3", budget, gone()));
    assert_eq!(flush(&mut second, &mut store), [Outcome::Durable]);
    second.submit(PROGRAM.to_owned(), reserve_with("t4", budget, gone()));
    assert_eq!(flush(&mut second, &mut store), [Outcome::Exhausted]);
}

#[test]
fn nothing_is_drawn_once_tokens_were_forgiven() {
    let budget = 70 + 2 * MOST;
    let mut store = Store::default();
    let (_first, mut second) = drawn_at_the_first(&mut store, budget);
    second.submit(PROGRAM.to_owned(), reserve("t2", budget));
    let freed = vec![Freed::Gone("host-1/a".to_owned())];
    second.submit(PROGRAM.to_owned(), reserve_with("t3", budget, freed));
    for attempt in ["t2", "t3"] {
        let change = settle(attempt, 0, Source::Reservation, budget);
        second.submit(PROGRAM.to_owned(), change);
    }
    flush(&mut second, &mut store);
    // The budget holds a draw and a turn, but a draw of a second host that dies
    // could not be forgiven any more.
    assert_eq!(store.ledger().committed_tokens(), 70);
}

#[test]
fn a_draw_that_was_forgiven_while_it_was_used_is_counted_all_the_same() {
    let budget = 70 + 2 * MOST;
    let mut store = Store::default();
    let (mut first, mut second) = drawn_at_the_first(&mut store, budget);
    assert!(first.take_ahead(PROGRAM, &"t2".to_owned(), MOST));
    second.submit(PROGRAM.to_owned(), reserve("t3", budget));
    let freed = vec![Freed::Gone("host-1/a".to_owned())];
    second.submit(PROGRAM.to_owned(), reserve_with("t4", budget, freed));
    flush(&mut second, &mut store);
    first.submit(PROGRAM.to_owned(), settle("t2", 200, Source::Ahead, budget));
    flush(&mut first, &mut store);
    assert_eq!(store.ledger().committed_tokens(), 270 + 2 * MOST);
}

#[test]
fn a_ledger_that_cannot_be_read_is_not_written_over() {
    let mut store = Store::default();
    let row = ledger_row(PROGRAM);
    store.version = 7;
    store.rows.insert(row.clone(), (7, b"{\"spent\":".to_vec()));
    let mut lane = Lane::new("host-1/a".to_owned());
    lane.submit(PROGRAM.to_owned(), reserve("t1", 2_000));
    assert_eq!(flush(&mut lane, &mut store), [Outcome::Unreadable]);
    assert_eq!(store.rows[&row].0, 7);
}
