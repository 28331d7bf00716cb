//! Changes of programs on their way to the store: what is written, and what
//! becomes of the tokens that a host reserved.

mod change_support;

use change_support::{MOST, PROGRAM, Store, flush, reserve, reserve_with, settle};
use rosebend_coordination::gateway::escrow::terms::EscrowTerms;
use rosebend_coordination::gateway::history::ledger_row;
use rosebend_coordination::gateway::pending_changes::{Answer, Change, Outcome, PendingChanges};
use rosebend_state::deployment::{RowId, RowWrite};

const FIRST: &str = "host-1/a";
const SECOND: &str = "host-2/b";

#[test]
fn nothing_is_reserved_for_a_turn_that_has_not_come() {
    let mut store = Store::default();
    let mut changes = PendingChanges::new(FIRST.to_owned());
    changes.submit(PROGRAM.to_owned(), reserve("t1", 2_000));
    flush(&mut changes, &mut store);
    assert_eq!(store.ledger().committed_tokens(), MOST);
    changes.submit(PROGRAM.to_owned(), settle("t1", 70));
    assert_eq!(flush(&mut changes, &mut store), [Outcome::Durable]);
    assert_eq!(store.ledger().committed_tokens(), 70);
    assert!(store.ledger().holdings().is_empty());
}

#[test]
fn a_turn_s_settlement_and_the_next_turn_go_in_one_transaction() {
    let mut store = Store::default();
    let mut changes = PendingChanges::new(FIRST.to_owned());
    changes.submit(PROGRAM.to_owned(), reserve("t1", 2_000));
    flush(&mut changes, &mut store);
    let before = store.version;
    changes.submit(PROGRAM.to_owned(), settle("t1", 70));
    changes.submit(PROGRAM.to_owned(), reserve("t2", 2_000));
    let outcomes = flush(&mut changes, &mut store);
    assert_eq!(outcomes, [Outcome::Durable, Outcome::Durable]);
    assert_eq!(store.version - before, 1);
    assert_eq!(store.ledger().committed_tokens(), 70 + MOST);
}

#[test]
fn a_spent_budget_ends_a_reservation_and_writes_nothing() {
    let mut store = Store::default();
    let mut changes = PendingChanges::new(FIRST.to_owned());
    changes.submit(PROGRAM.to_owned(), reserve("t1", MOST));
    flush(&mut changes, &mut store);
    let before = store.version;
    changes.submit(PROGRAM.to_owned(), reserve("t2", MOST));
    assert_eq!(flush(&mut changes, &mut store), [Outcome::Exhausted]);
    assert_eq!(store.version, before);
}

#[test]
fn a_change_that_meets_a_newer_ledger_is_applied_to_it() {
    let mut store = Store::default();
    let mut first = PendingChanges::new(FIRST.to_owned());
    let mut second = PendingChanges::new(SECOND.to_owned());
    first.submit(PROGRAM.to_owned(), reserve("t1", 2 * MOST));
    flush(&mut first, &mut store);
    second.submit(PROGRAM.to_owned(), reserve("t2", 2 * MOST));
    assert_eq!(flush(&mut second, &mut store), [Outcome::Durable]);
    assert_eq!(store.ledger().committed_tokens(), 2 * MOST);
}

#[test]
fn a_turn_is_counted_once_whose_settlement_is_sent_twice() {
    let mut store = Store::default();
    let mut changes = PendingChanges::new(FIRST.to_owned());
    changes.submit(PROGRAM.to_owned(), reserve("t1", 1_000));
    changes.submit(PROGRAM.to_owned(), reserve("t2", 1_000));
    flush(&mut changes, &mut store);
    changes.submit(PROGRAM.to_owned(), settle("t1", 100));
    changes.submit(PROGRAM.to_owned(), settle("t2", 5));
    // The transaction takes effect; its answer is lost and it is sent again.
    let (transaction, _) = changes.next_transaction();
    store.apply(&transaction.unwrap());
    changes.answered(Answer::NotKnown);
    flush(&mut changes, &mut store);
    assert_eq!(store.ledger().account().spent_tokens, 105);
}

/// A transaction takes effect, and a copy of it tells by its conflict that it did. Returns
/// how its changes ended.
fn answer_is_lost(changes: &mut PendingChanges, store: &mut Store) -> Vec<Outcome> {
    let transaction = changes.next_transaction().0.unwrap();
    store.apply(&transaction);
    let ended = changes.answered(store.apply(&transaction));
    ended.into_iter().map(|(_, outcome)| outcome).collect()
}

#[test]
fn a_reservation_and_a_settlement_whose_answers_were_lost_are_not_written_again() {
    let mut store = Store::default();
    let mut changes = PendingChanges::new(FIRST.to_owned());
    changes.submit(PROGRAM.to_owned(), reserve("t1", 1_000));
    assert_eq!(answer_is_lost(&mut changes, &mut store), [Outcome::Durable]);
    changes.submit(PROGRAM.to_owned(), settle("t1", 70));
    changes.submit(PROGRAM.to_owned(), reserve("t2", 1_000));
    assert_eq!(
        answer_is_lost(&mut changes, &mut store),
        [Outcome::Durable, Outcome::Durable]
    );
    assert_eq!(changes.next_transaction().0, None);
    assert_eq!(store.ledger().committed_tokens(), 70 + MOST);
}

#[test]
fn a_reservation_that_met_another_host_s_write_goes_again() {
    let mut store = Store::default();
    let mut first = PendingChanges::new(FIRST.to_owned());
    let mut second = PendingChanges::new(SECOND.to_owned());
    first.submit(PROGRAM.to_owned(), reserve("t1", 1_000));
    second.submit(PROGRAM.to_owned(), reserve("t2", 1_000));
    let transaction = first.next_transaction().0.unwrap();
    flush(&mut second, &mut store);
    assert_eq!(first.answered(store.apply(&transaction)), []);
    assert_eq!(flush(&mut first, &mut store), [Outcome::Durable]);
    assert_eq!(store.ledger().committed_tokens(), 2 * MOST);
}

/// The same attempt at another host may have settled it, with other rows.
#[test]
fn the_rows_of_an_end_whose_answer_was_lost_are_written_again() {
    let mut store = Store::default();
    let mut changes = PendingChanges::new(FIRST.to_owned());
    changes.submit(PROGRAM.to_owned(), reserve("t1", 1_000));
    flush(&mut changes, &mut store);
    let row = RowId::new("programs", "p00", "a turn");
    let end = Change::Settle {
        attempt: "t1".to_owned(),
        tokens: 70,
        rows: vec![RowWrite {
            row: row.clone(),
            value: b"said here".to_vec(),
        }],
    };
    changes.submit(PROGRAM.to_owned(), end);
    assert_eq!(answer_is_lost(&mut changes, &mut store), []);
    assert_eq!(flush(&mut changes, &mut store), [Outcome::Durable]);
    assert_eq!(store.rows[&row].1, b"said here");
    assert_eq!(store.ledger().committed_tokens(), 70);
}

/// Two hosts, the first of which has a turn running beside 70 tokens spent.
fn running_at_the_first(store: &mut Store, budget_tokens: u64) -> (PendingChanges, PendingChanges) {
    let mut first = PendingChanges::new(FIRST.to_owned());
    first.submit(PROGRAM.to_owned(), reserve("t1", budget_tokens));
    first.submit(PROGRAM.to_owned(), settle("t1", 70));
    first.submit(PROGRAM.to_owned(), reserve("running", budget_tokens));
    flush(&mut first, store);
    let mut second = PendingChanges::new(SECOND.to_owned());
    second.learn(PROGRAM, store.version, store.ledger());
    (first, second)
}

fn gone() -> Vec<String> {
    vec![FIRST.to_owned()]
}

#[test]
fn what_a_gone_host_held_is_forgiven_in_part_to_a_smaller_turn() {
    let budget = 70 + 2 * MOST;
    let mut store = Store::default();
    let (_first, mut second) = running_at_the_first(&mut store, budget);
    second.submit(PROGRAM.to_owned(), reserve("t2", budget));
    let small = Change::Reserve {
        attempt: "t3".to_owned(),
        most_tokens: MOST / 4,
        budget_tokens: budget,
        gone: gone(),
        escrow: EscrowTerms::Excluded,
    };
    second.submit(PROGRAM.to_owned(), small);
    let outcomes = flush(&mut second, &mut store);
    assert_eq!(outcomes, [Outcome::Durable, Outcome::Durable]);
    assert_eq!(store.ledger().committed_tokens(), budget);
}

#[test]
fn only_what_a_turn_needs_is_taken_from_gone_hosts() {
    let budget = 100 * MOST;
    let mut store = Store::default();
    let (_first, mut second) = running_at_the_first(&mut store, budget);
    second.submit(PROGRAM.to_owned(), reserve_with("t2", budget, gone()));
    flush(&mut second, &mut store);
    assert_eq!(store.ledger().committed_tokens(), 70 + 2 * MOST);
}

#[test]
fn at_most_one_turn_s_most_of_gone_hosts_is_forgiven() {
    let budget = 70 + 2 * MOST;
    let mut store = Store::default();
    let (mut first, mut second) = running_at_the_first(&mut store, budget);
    // Two turns run at the first host when it goes.
    first.submit(PROGRAM.to_owned(), reserve("t2", budget));
    flush(&mut first, &mut store);
    drop(first);
    second.submit(PROGRAM.to_owned(), reserve_with("t3", budget, gone()));
    assert_eq!(flush(&mut second, &mut store), [Outcome::Durable]);
    second.submit(PROGRAM.to_owned(), reserve_with("t4", budget, gone()));
    assert_eq!(flush(&mut second, &mut store), [Outcome::Exhausted]);
}

#[test]
fn a_turn_that_was_forgiven_while_it_ran_is_counted_all_the_same() {
    let budget = 70 + 2 * MOST;
    let mut store = Store::default();
    let (mut first, mut second) = running_at_the_first(&mut store, budget);
    second.submit(PROGRAM.to_owned(), reserve("t3", budget));
    second.submit(PROGRAM.to_owned(), reserve_with("t4", budget, gone()));
    flush(&mut second, &mut store);
    first.submit(PROGRAM.to_owned(), settle("running", 200));
    flush(&mut first, &mut store);
    assert_eq!(store.ledger().committed_tokens(), 270 + 2 * MOST);
}

#[test]
fn a_ledger_that_cannot_be_read_is_not_written_over() {
    let mut store = Store::default();
    let row = ledger_row(PROGRAM);
    store.version = 7;
    store.rows.insert(row.clone(), (7, b"{\"spent\":".to_vec()));
    let mut changes = PendingChanges::new(FIRST.to_owned());
    changes.submit(PROGRAM.to_owned(), reserve("t1", 2_000));
    assert_eq!(flush(&mut changes, &mut store), [Outcome::Unreadable]);
    assert_eq!(store.rows[&row].0, 7);
}

/// Turns that ended while the store was away, of more programs than one
/// transaction holds.
#[test]
fn a_transaction_has_no_more_entries_than_the_store_takes() {
    let mut changes = PendingChanges::new(FIRST.to_owned());
    for number in 0..60 {
        let rows = ["turn", "index"].map(|table| RowWrite {
            row: RowId::new(table, "p00", format!("t{number}")),
            value: b"x".to_vec(),
        });
        let settle = Change::Settle {
            attempt: format!("t{number}"),
            tokens: 1,
            rows: rows.to_vec(),
        };
        changes.submit(format!("program-{number}"), settle);
    }
    let mut store = Store::default();
    while let (Some(transaction), _) = changes.next_transaction() {
        let entries = transaction.entries();
        assert!(entries <= 100, "{entries} entries");
        changes.answered(store.apply(&transaction));
    }
    assert_eq!(store.rows.len(), 60 * 3);
}
