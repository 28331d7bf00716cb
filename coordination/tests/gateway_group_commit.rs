//! Transactions of several hosts that are joined: which go together, and what
//! the answer of the store means to each.

use rosebend_coordination::gateway::group_commit::GroupCommit;
use rosebend_coordination::gateway::pending_changes::Answer;
use rosebend_state::deployment::{Row, RowId, RowVersion, Transaction};

fn ledger(program: &str) -> RowId {
    RowId::new("programs", "p00", format!("{program}/"))
}

/// A change of a program's ledger as it was at a version.
fn change(program: &str, version: RowVersion) -> Transaction {
    Transaction::default()
        .expect(ledger(program), version)
        .write(
            ledger(program),
            format!("{program} after {version}").into_bytes(),
        )
}

fn row(program: &str, version: RowVersion) -> Row {
    Row {
        id: ledger(program),
        version,
        value: Some(format!("{program} at {version}").into_bytes()),
    }
}

#[test]
fn what_waits_is_joined_into_one() {
    let mut group = GroupCommit::default();
    let first = group.submit(change("a", 0));
    let (transaction, ended) = group.next_transaction();
    assert_eq!((transaction, ended), (Some(change("a", 0)), Vec::new()));
    let second = group.submit(change("b", 3));
    let third = group.submit(change("c", 0));
    assert_eq!(group.next_transaction().0, None, "one is on its way");
    let ended = group.record_answer(Answer::Applied(7));
    assert_eq!(ended, [(first, Answer::Applied(7))]);
    let joined = group.next_transaction().0.unwrap();
    assert_eq!(joined.conditions.len(), 2);
    assert_eq!(joined.writes.len(), 2);
    let ended = group.record_answer(Answer::Applied(8));
    assert_eq!(
        ended,
        [(second, Answer::Applied(8)), (third, Answer::Applied(8))]
    );
    assert_eq!(group.open_entries(), 0);
}

#[test]
fn a_conflict_is_told_to_whose_it_is_and_the_others_go_again() {
    let mut group = GroupCommit::default();
    let sound = group.submit(change("a", 4));
    let old = group.submit(change("b", 3));
    group.next_transaction();
    let present = vec![row("a", 4), row("b", 5)];
    let ended = group.record_answer(Answer::Conflict(present));
    assert_eq!(ended, [(old, Answer::Conflict(vec![row("b", 5)]))]);
    assert_eq!(group.next_transaction().0, Some(change("a", 4)));
    assert_eq!(
        group.record_answer(Answer::Applied(6)),
        [(sound, Answer::Applied(6))]
    );
}

/// A change of a program's ledger that rests on a row which it leaves as it is.
fn resting_change(program: &str, version: RowVersion) -> Transaction {
    change(program, 0).expect(fence(), version)
}

fn fence() -> RowId {
    RowId::new("escrow", "p00", "0".to_owned())
}

#[test]
fn parts_that_rest_on_the_same_row_are_joined() {
    let mut group = GroupCommit::default();
    group.submit(resting_change("a", 4));
    group.submit(resting_change("b", 4));
    let joined = group.next_transaction().0.unwrap();
    assert_eq!(joined.writes.len(), 2);
    let rests = joined.conditions.iter();
    let rests = rests.filter(|condition| condition.row == fence());
    assert_eq!(rests.count(), 1, "the row is named once");
}

#[test]
fn parts_that_rest_on_other_versions_of_a_row_are_not_joined() {
    let mut group = GroupCommit::default();
    group.submit(resting_change("a", 4));
    group.submit(resting_change("b", 5));
    assert_eq!(group.next_transaction().0, Some(resting_change("a", 4)));
    group.record_answer(Answer::Applied(6));
    assert_eq!(group.next_transaction().0, Some(resting_change("b", 5)));
}

#[test]
fn a_part_that_changes_a_row_is_not_joined_to_one_that_rests_on_it() {
    let raise = || {
        let transaction = Transaction::default().expect(fence(), 4);
        transaction.write(fence(), Vec::new())
    };
    for parts in [
        [resting_change("a", 4), raise()],
        [raise(), resting_change("a", 4)],
    ] {
        let mut group = GroupCommit::default();
        parts.iter().for_each(|part| {
            group.submit(part.clone());
        });
        assert_eq!(group.next_transaction().0.as_ref(), Some(&parts[0]));
    }
}

#[test]
fn a_row_that_must_not_exist_and_does_is_a_conflict() {
    let mut group = GroupCommit::default();
    let first = group.submit(change("a", 0));
    let second = group.submit(change("b", 0));
    group.next_transaction();
    let ended = group.record_answer(Answer::Conflict(vec![row("a", 2)]));
    assert_eq!(ended, [(first, Answer::Conflict(vec![row("a", 2)]))]);
    group.next_transaction();
    let ended = group.record_answer(Answer::Applied(3));
    assert_eq!(ended, [(second, Answer::Applied(3))]);
}

#[test]
fn two_changes_of_one_program_go_one_after_the_other_and_the_later_is_told_at_once() {
    let mut group = GroupCommit::default();
    let first = group.submit(change("a", 1));
    let second = group.submit(change("a", 1));
    assert_eq!(group.next_transaction().0, Some(change("a", 1)));
    let ended = group.record_answer(Answer::Applied(9));
    assert_eq!(ended, [(first, Answer::Applied(9))]);
    // No call is needed to know that the version is old.
    let written = Row {
        value: Some(b"a after 1".to_vec()),
        ..row("a", 9)
    };
    let (transaction, ended) = group.next_transaction();
    assert_eq!(transaction, None);
    assert_eq!(ended, [(second, Answer::Conflict(vec![written]))]);
}

#[test]
fn what_is_known_of_a_row_from_before_is_no_conflict() {
    let mut group = GroupCommit::default();
    group.submit(change("a", 1));
    group.next_transaction();
    group.record_answer(Answer::Applied(2));
    // Another host has written the row since, past this one.
    group.submit(change("a", 5));
    assert_eq!(group.next_transaction().0, Some(change("a", 5)));
}

#[test]
fn an_answer_that_is_lost_is_told_to_all() {
    let mut group = GroupCommit::default();
    let first = group.submit(change("a", 0));
    let second = group.submit(change("b", 0));
    group.next_transaction();
    let ended = group.record_answer(Answer::NotKnown);
    assert_eq!(
        ended,
        [(first, Answer::NotKnown), (second, Answer::NotKnown)]
    );
}

#[test]
fn a_conflict_of_nobody_ends_all_rather_than_going_on_for_ever() {
    let mut group = GroupCommit::default();
    let only = group.submit(change("a", 4));
    group.next_transaction();
    let ended = group.record_answer(Answer::Conflict(vec![row("a", 4)]));
    assert_eq!(ended, [(only, Answer::NotKnown)]);
}

#[test]
fn a_joined_transaction_keeps_to_the_store_s_limits() {
    let mut group = GroupCommit::default();
    for number in 0..80 {
        group.submit(change(&format!("p{number}"), 0));
    }
    let mut joined = 0;
    while let (Some(transaction), _) = group.next_transaction() {
        assert!(transaction.entries() <= 100, "{}", transaction.entries());
        joined += transaction.writes.len();
        group.record_answer(Answer::Applied(1));
    }
    assert_eq!(joined, 80);
    // Large values, and one that is larger than all together may be.
    let sizes = [400_000, 300_000, 900_000, 10];
    for (number, bytes) in sizes.into_iter().enumerate() {
        let row = RowId::new("programs", "p00", format!("large-{number}"));
        group.submit(Transaction::default().write(row, vec![0; bytes]));
    }
    let mut sent = Vec::new();
    while let (Some(transaction), _) = group.next_transaction() {
        sent.push(transaction.value_bytes());
        group.record_answer(Answer::Applied(2));
    }
    assert_eq!(sent, [400_010, 300_000, 900_000]);
}

/// The pattern of a store that loses answers: what waits does not wait for a copy.
#[test]
fn others_go_on_beside_a_transaction_whose_answer_is_late() {
    let mut group = GroupCommit::default();
    let late = group.submit(change("a", 1));
    group.next_transaction();
    let again = group.submit(change("a", 2));
    let other = group.submit(change("b", 1));
    assert_eq!(group.next_transaction().0, None, "one is on its way");
    let flight = group.mark_overdue().unwrap();
    assert_eq!(group.next_transaction().0, Some(change("b", 1)));
    let ended = group.record_answer(Answer::Applied(5));
    assert_eq!(ended, [(other, Answer::Applied(5))]);
    assert_eq!(
        group.next_transaction().0,
        None,
        "its row is in the late one"
    );
    assert!(group.has_pending());
    let ended = group.record_overdue_answer(flight, Answer::Applied(2));
    assert_eq!(ended, [(late, Answer::Applied(2))]);
    assert_eq!(group.next_transaction().0, Some(change("a", 2)));
    let ended = group.record_answer(Answer::Applied(6));
    assert_eq!(ended, [(again, Answer::Applied(6))]);
    assert_eq!(group.open_entries(), 0);
}

#[test]
fn parts_of_a_late_transaction_that_met_another_s_conflict_go_again() {
    let mut group = GroupCommit::default();
    let sound = group.submit(change("a", 4));
    let old = group.submit(change("b", 3));
    group.next_transaction();
    let flight = group.mark_overdue().unwrap();
    let present = vec![row("a", 4), row("b", 5)];
    let ended = group.record_overdue_answer(flight, Answer::Conflict(present));
    assert_eq!(ended, [(old, Answer::Conflict(vec![row("b", 5)]))]);
    assert_eq!(group.next_transaction().0, Some(change("a", 4)));
    let ended = group.record_answer(Answer::Applied(6));
    assert_eq!(ended, [(sound, Answer::Applied(6))]);
}

#[test]
fn few_transactions_are_late_at_the_same_time() {
    let mut group = GroupCommit::default();
    let mut late = 0;
    for number in 0..20 {
        group.submit(change(&format!("p{number}"), 1));
        group.next_transaction();
        late += usize::from(group.mark_overdue().is_some());
    }
    assert_eq!(late, 3);
    assert_eq!(group.mark_overdue(), None);
    assert_eq!(group.open_entries(), 20);
}
