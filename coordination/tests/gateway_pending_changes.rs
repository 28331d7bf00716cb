//! Tests of pending changes: the transactions that are built from them, conflicts
//! and lost answers, and write-offs of reservations.

mod change_support;

use change_support::{
    MAX_OUTPUT_TOKENS, PROGRAM, RETENTION, Store, flush, reserve, reserve_with_dead_processes,
    settle,
};
use rosebend_coordination::gateway::escrow::terms::EscrowTerms;
use rosebend_coordination::gateway::history::ledger_row;
use rosebend_coordination::gateway::ledger::Ledger;
use rosebend_coordination::gateway::pending_changes::{
    Answer, Change, Outcome, PendingChanges, TurnRecord,
};
use rosebend_state::deployment::{RowId, RowWrite};

const FIRST: &str = "host-1/a";
const SECOND: &str = "host-2/b";

#[test]
fn tokens_are_reserved_only_for_turns_that_arrived() {
    let mut store = Store::default();
    let mut changes = PendingChanges::new(FIRST.to_owned());
    changes.submit(PROGRAM.to_owned(), reserve("t1", 2_000));
    flush(&mut changes, &mut store);
    assert_eq!(store.ledger().committed_tokens(), MAX_OUTPUT_TOKENS);
    changes.submit(PROGRAM.to_owned(), settle("t1", 70));
    assert_eq!(flush(&mut changes, &mut store), [Outcome::Durable]);
    assert_eq!(store.ledger().committed_tokens(), 70);
    assert!(store.ledger().reservations_by_process().is_empty());
}

#[test]
fn a_settlement_and_the_next_reservation_share_a_transaction() {
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
    assert_eq!(store.ledger().committed_tokens(), 70 + MAX_OUTPUT_TOKENS);
}

#[test]
fn a_reservation_beyond_the_budget_writes_nothing() {
    let mut store = Store::default();
    let mut changes = PendingChanges::new(FIRST.to_owned());
    changes.submit(PROGRAM.to_owned(), reserve("t1", MAX_OUTPUT_TOKENS));
    flush(&mut changes, &mut store);
    let before = store.version;
    changes.submit(PROGRAM.to_owned(), reserve("t2", MAX_OUTPUT_TOKENS));
    assert_eq!(flush(&mut changes, &mut store), [Outcome::Exhausted]);
    assert_eq!(store.version, before);
}

#[test]
fn a_change_that_conflicts_with_a_newer_ledger_is_applied_to_it() {
    let mut store = Store::default();
    let mut first = PendingChanges::new(FIRST.to_owned());
    let mut second = PendingChanges::new(SECOND.to_owned());
    first.submit(PROGRAM.to_owned(), reserve("t1", 2 * MAX_OUTPUT_TOKENS));
    flush(&mut first, &mut store);
    second.submit(PROGRAM.to_owned(), reserve("t2", 2 * MAX_OUTPUT_TOKENS));
    assert_eq!(flush(&mut second, &mut store), [Outcome::Durable]);
    assert_eq!(store.ledger().committed_tokens(), 2 * MAX_OUTPUT_TOKENS);
}

#[test]
fn a_settlement_that_is_sent_twice_is_counted_once() {
    let mut store = Store::default();
    let mut changes = PendingChanges::new(FIRST.to_owned());
    changes.submit(PROGRAM.to_owned(), reserve("t1", 1_000));
    changes.submit(PROGRAM.to_owned(), reserve("t2", 1_000));
    flush(&mut changes, &mut store);
    changes.submit(PROGRAM.to_owned(), settle("t1", 100));
    changes.submit(PROGRAM.to_owned(), settle("t2", 5));
    // The transaction is applied, but its answer is lost and it is sent again.
    let (transaction, _) = changes.next_transaction();
    store.apply(&transaction.unwrap());
    changes.handle_answer(Answer::NotKnown);
    flush(&mut changes, &mut store);
    assert_eq!(store.ledger().account().spent_tokens, 105);
}

/// Applies a transaction whose answer is lost, and then a copy of it, which conflicts.
/// Returns the outcomes of its changes.
fn send_and_lose_answer(changes: &mut PendingChanges, store: &mut Store) -> Vec<Outcome> {
    let transaction = changes.next_transaction().0.unwrap();
    store.apply(&transaction);
    let ended = changes.handle_answer(store.apply(&transaction));
    ended.into_iter().map(|(_, outcome)| outcome).collect()
}

#[test]
fn changes_whose_answers_were_lost_are_not_written_again() {
    let mut store = Store::default();
    let mut changes = PendingChanges::new(FIRST.to_owned());
    changes.submit(PROGRAM.to_owned(), reserve("t1", 1_000));
    assert_eq!(
        send_and_lose_answer(&mut changes, &mut store),
        [Outcome::Durable]
    );
    changes.submit(PROGRAM.to_owned(), settle("t1", 70));
    changes.submit(PROGRAM.to_owned(), reserve("t2", 1_000));
    assert_eq!(
        send_and_lose_answer(&mut changes, &mut store),
        [Outcome::Durable, Outcome::Durable]
    );
    assert_eq!(changes.next_transaction().0, None);
    assert_eq!(store.ledger().committed_tokens(), 70 + MAX_OUTPUT_TOKENS);
}

#[test]
fn a_reservation_that_conflicts_with_another_host_is_retried() {
    let mut store = Store::default();
    let mut first = PendingChanges::new(FIRST.to_owned());
    let mut second = PendingChanges::new(SECOND.to_owned());
    first.submit(PROGRAM.to_owned(), reserve("t1", 1_000));
    second.submit(PROGRAM.to_owned(), reserve("t2", 1_000));
    let transaction = first.next_transaction().0.unwrap();
    flush(&mut second, &mut store);
    assert_eq!(first.handle_answer(store.apply(&transaction)), []);
    assert_eq!(flush(&mut first, &mut store), [Outcome::Durable]);
    assert_eq!(store.ledger().committed_tokens(), 2 * MAX_OUTPUT_TOKENS);
}

/// Guards against lost rows: another host may have settled the same attempt with other
/// rows, which the ledger does not show.
#[test]
fn rows_of_a_settlement_whose_answer_was_lost_are_written_again() {
    let mut store = Store::default();
    let mut changes = PendingChanges::new(FIRST.to_owned());
    changes.submit(PROGRAM.to_owned(), reserve("t1", 1_000));
    flush(&mut changes, &mut store);
    let row = RowId::new("programs", "p00", "a turn");
    let end = Change::Settle {
        attempt: "t1".to_owned(),
        tokens: 70,
        record: Some(TurnRecord {
            rows: vec![RowWrite {
                row: row.clone(),
                value: b"said here".to_vec(),
            }],
            generation: changes.cached_generation(PROGRAM),
        }),
    };
    changes.submit(PROGRAM.to_owned(), end);
    assert_eq!(send_and_lose_answer(&mut changes, &mut store), []);
    assert_eq!(flush(&mut changes, &mut store), [Outcome::Durable]);
    assert_eq!(store.rows[&row].1, b"said here");
    assert_eq!(store.ledger().committed_tokens(), 70);
}

/// Returns two hosts. The first runs a turn of a program that has spent 70 tokens.
fn start_turn_at_first(store: &mut Store, budget_tokens: u64) -> (PendingChanges, PendingChanges) {
    let mut first = PendingChanges::new(FIRST.to_owned());
    first.submit(PROGRAM.to_owned(), reserve("t1", budget_tokens));
    first.submit(PROGRAM.to_owned(), settle("t1", 70));
    first.submit(PROGRAM.to_owned(), reserve("running", budget_tokens));
    flush(&mut first, store);
    let mut second = PendingChanges::new(SECOND.to_owned());
    second.cache(PROGRAM, store.version, store.ledger());
    (first, second)
}

fn first_process() -> Vec<String> {
    vec![FIRST.to_owned()]
}

#[test]
fn a_small_turn_writes_off_part_of_a_reservation() {
    let budget = 70 + 2 * MAX_OUTPUT_TOKENS;
    let mut store = Store::default();
    let (_first, mut second) = start_turn_at_first(&mut store, budget);
    second.submit(PROGRAM.to_owned(), reserve("t2", budget));
    let small = Change::Reserve {
        attempt: "t3".to_owned(),
        max_output_tokens: MAX_OUTPUT_TOKENS / 4,
        budget_tokens: budget,
        dead_processes: first_process(),
        escrow: EscrowTerms::Excluded,
        retention: RETENTION,
    };
    second.submit(PROGRAM.to_owned(), small);
    let outcomes = flush(&mut second, &mut store);
    assert_eq!(outcomes, [Outcome::Durable, Outcome::Durable]);
    assert_eq!(store.ledger().committed_tokens(), budget);
}

#[test]
fn a_turn_that_fits_writes_off_nothing() {
    let budget = 100 * MAX_OUTPUT_TOKENS;
    let mut store = Store::default();
    let (_first, mut second) = start_turn_at_first(&mut store, budget);
    second.submit(
        PROGRAM.to_owned(),
        reserve_with_dead_processes("t2", budget, first_process()),
    );
    flush(&mut second, &mut store);
    assert_eq!(
        store.ledger().committed_tokens(),
        70 + 2 * MAX_OUTPUT_TOKENS
    );
}

#[test]
fn write_offs_are_limited_to_one_turn() {
    let budget = 70 + 2 * MAX_OUTPUT_TOKENS;
    let mut store = Store::default();
    let (mut first, mut second) = start_turn_at_first(&mut store, budget);
    // Two turns run at the first host when it dies.
    first.submit(PROGRAM.to_owned(), reserve("t2", budget));
    flush(&mut first, &mut store);
    drop(first);
    second.submit(
        PROGRAM.to_owned(),
        reserve_with_dead_processes("t3", budget, first_process()),
    );
    assert_eq!(flush(&mut second, &mut store), [Outcome::Durable]);
    second.submit(
        PROGRAM.to_owned(),
        reserve_with_dead_processes("t4", budget, first_process()),
    );
    assert_eq!(flush(&mut second, &mut store), [Outcome::Exhausted]);
}

#[test]
fn a_turn_that_settles_after_its_write_off_is_counted() {
    let budget = 70 + 2 * MAX_OUTPUT_TOKENS;
    let mut store = Store::default();
    let (mut first, mut second) = start_turn_at_first(&mut store, budget);
    second.submit(PROGRAM.to_owned(), reserve("t3", budget));
    second.submit(
        PROGRAM.to_owned(),
        reserve_with_dead_processes("t4", budget, first_process()),
    );
    flush(&mut second, &mut store);
    first.submit(PROGRAM.to_owned(), settle("running", 200));
    flush(&mut first, &mut store);
    assert_eq!(
        store.ledger().committed_tokens(),
        270 + 2 * MAX_OUTPUT_TOKENS
    );
}

#[test]
fn a_ledger_that_cannot_be_decoded_is_not_overwritten() {
    let mut store = Store::default();
    let row = ledger_row(PROGRAM);
    store.version = 7;
    store.rows.insert(row.clone(), (7, b"{\"spent\":".to_vec()));
    let mut changes = PendingChanges::new(FIRST.to_owned());
    changes.submit(PROGRAM.to_owned(), reserve("t1", 2_000));
    assert_eq!(flush(&mut changes, &mut store), [Outcome::Unreadable]);
    assert_eq!(store.rows[&row].0, 7);
}

/// Guards against transactions that the store rejects after an outage, in which turns
/// of more programs ended than fit into one transaction.
#[test]
fn a_transaction_has_no_more_entries_than_the_store_accepts() {
    let mut changes = PendingChanges::new(FIRST.to_owned());
    let mut store = Store::default();
    for number in 0..60 {
        changes.submit(
            format!("program-{number}"),
            reserve(&format!("t{number}"), 1_000),
        );
    }
    apply_all(&mut changes, &mut store);
    for number in 0..60 {
        let program = format!("program-{number}");
        let rows = ["turn", "index"].map(|table| RowWrite {
            row: RowId::new(table, "p00", format!("t{number}")),
            value: b"x".to_vec(),
        });
        let settle = Change::Settle {
            attempt: format!("t{number}"),
            tokens: 1,
            record: Some(TurnRecord {
                rows: rows.to_vec(),
                generation: changes.cached_generation(&program),
            }),
        };
        changes.submit(program, settle);
    }
    apply_all(&mut changes, &mut store);
    assert_eq!(store.rows.len(), 60 * 3);
}

/// Applies all transactions, and asserts that none has more entries than the store accepts.
fn apply_all(changes: &mut PendingChanges, store: &mut Store) {
    while let (Some(transaction), _) = changes.next_transaction() {
        let entries = transaction.entries();
        assert!(entries <= 100, "{entries} entries");
        changes.handle_answer(store.apply(&transaction));
    }
}

/// Guards against history that is lost: another host deletes a program while a turn of it
/// ends, and the turn's record would refer to a turn whose rows are gone.
#[test]
fn a_record_is_not_written_beside_another_ledger_than_it_was_built_for() {
    let mut store = Store::default();
    let mut changes = PendingChanges::new(FIRST.to_owned());
    let row = RowId::new("programs", "p00", "a turn");
    let end = |generation| Change::Settle {
        attempt: "t2".to_owned(),
        tokens: 70,
        record: Some(TurnRecord {
            rows: vec![RowWrite {
                row: row.clone(),
                value: b"continues t1".to_vec(),
            }],
            generation,
        }),
    };
    changes.submit(PROGRAM.to_owned(), reserve("t2", 1_000));
    flush(&mut changes, &mut store);
    let first_generation = changes.cached_generation(PROGRAM);
    store.rows.clear();
    changes.submit(PROGRAM.to_owned(), end(first_generation));
    assert_eq!(flush(&mut changes, &mut store), [Outcome::GenerationEnded]);
    assert!(store.rows.is_empty());

    // The program's next ledger has another generation, also if the same process creates it.
    changes.submit(PROGRAM.to_owned(), reserve("t2", 1_000));
    assert_eq!(flush(&mut changes, &mut store), [Outcome::Durable]);
    assert_ne!(changes.cached_generation(PROGRAM), first_generation);
    changes.submit(PROGRAM.to_owned(), end(first_generation));
    assert_eq!(flush(&mut changes, &mut store), [Outcome::GenerationEnded]);
    changes.submit(PROGRAM.to_owned(), end(changes.cached_generation(PROGRAM)));
    assert_eq!(flush(&mut changes, &mut store), [Outcome::Durable]);
    assert!(store.rows.contains_key(&row));
}

/// Guards against a host that deletes the turns of its own, shorter retention time although
/// later turns at other hosts continue from them.
#[test]
fn a_ledger_contains_the_longest_retention_of_its_turns() {
    let mut store = Store::default();
    let mut changes = PendingChanges::new(FIRST.to_owned());
    for (attempt, retention) in [("t1", RETENTION), ("t2", RETENTION / 6)] {
        let Change::Reserve {
            attempt,
            max_output_tokens,
            budget_tokens,
            dead_processes,
            escrow,
            ..
        } = reserve(attempt, 1_000)
        else {
            unreachable!("the change is a reservation");
        };
        let change = Change::Reserve {
            attempt,
            max_output_tokens,
            budget_tokens,
            dead_processes,
            escrow,
            retention,
        };
        changes.submit(PROGRAM.to_owned(), change);
    }
    flush(&mut changes, &mut store);
    assert_eq!(store.ledger().retention(), RETENTION);
}

/// Reserves tokens for turns of as many programs.
fn reserve_for_programs(changes: &mut PendingChanges, store: &mut Store, count: usize) {
    for number in 0..count {
        changes.submit(program(number), reserve(&format!("t{number}"), 1_000));
    }
    flush(changes, store);
}

fn program(number: usize) -> String {
    format!("program-{number}")
}

/// Returns the settlement of a program's turn with a record of one row.
fn settle_with_record(changes: &PendingChanges, number: usize, bytes: usize) -> Change {
    let row = RowId::new("programs", "p00", format!("t{number}"));
    let value = vec![0; bytes];
    Change::Settle {
        attempt: format!("t{number}"),
        tokens: 1,
        record: Some(TurnRecord {
            rows: vec![RowWrite { row, value }],
            generation: changes.cached_generation(&program(number)),
        }),
    }
}

/// Returns the number of records in a store.
fn record_count(store: &Store) -> usize {
    let records = store.rows.keys().filter(|row| row.key.starts_with('t'));
    records.count()
}

/// Guards against records that wait in an outage and are joined into a transaction that is
/// larger than the store takes.
#[test]
fn joined_records_stay_within_the_size_of_a_transaction() {
    let mut changes = PendingChanges::new(FIRST.to_owned());
    let mut store = Store::default();
    reserve_for_programs(&mut changes, &mut store, 24);
    for number in 0..24 {
        let bytes = [590_000, 10, 300_000][number % 3];
        let settle = settle_with_record(&changes, number, bytes);
        changes.submit(program(number), settle);
    }
    let mut transactions = 0;
    while let (Some(transaction), _) = changes.next_transaction() {
        let bytes = transaction.max_encoded_bytes();
        assert!(bytes <= 1_000_000, "{bytes} bytes");
        changes.handle_answer(store.apply(&transaction));
        transactions += 1;
    }
    assert!(transactions <= 16, "{transactions} transactions");
    assert_eq!(record_count(&store), 24);
}

/// Guards against a change that blocks all others of its partition, because the store
/// rejects every transaction that contains it.
#[test]
fn a_rejected_change_ends_alone() {
    let mut changes = PendingChanges::new(FIRST.to_owned());
    let mut store = Store::default();
    reserve_for_programs(&mut changes, &mut store, 20);
    let mut ids = Vec::new();
    for number in 0..20 {
        let settle = settle_with_record(&changes, number, 10);
        ids.push(changes.submit(program(number), settle));
    }
    let mut calls = 0;
    let mut rejected = Vec::new();
    while let (Some(transaction), _) = changes.next_transaction() {
        calls += 1;
        let is_rejected = transaction.writes.iter().any(|write| write.row.key == "t7");
        let ended = changes.handle_answer(match is_rejected {
            true => Answer::Rejected,
            false => store.apply(&transaction),
        });
        let ended = ended.into_iter();
        rejected.extend(ended.filter(|(_, outcome)| *outcome == Outcome::Rejected));
    }
    assert_eq!(rejected, [(ids[7], Outcome::Rejected)]);
    assert_eq!(record_count(&store), 19);
    assert!(calls <= 21, "{calls} calls");
}

/// Guards against a settlement that overtakes the reservation of its turn, which would then
/// never be settled.
#[test]
fn changes_of_a_program_stay_in_their_order() {
    let mut changes = PendingChanges::new(FIRST.to_owned());
    let mut store = Store::default();
    // Reservations need more entries of a transaction than settlements.
    for number in 0..60 {
        changes.submit(program(number), reserve("t1", 1_000));
    }
    for number in 0..60 {
        changes.submit(program(number), settle("t1", 70));
    }
    flush(&mut changes, &mut store);
    for number in 0..60 {
        let (_, value) = &store.rows[&ledger_row(&program(number))];
        let account = Ledger::decode(value).unwrap().account();
        assert_eq!((account.spent_tokens, account.reserved_tokens), (70, 0));
    }
}
