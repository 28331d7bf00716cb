//! Tests of the group commit: which transactions of several hosts are combined into one
//! batch, and which outcome the answer of the store means for each of them.

use rosebend_coordination::gateway::group_commit::GroupCommit;
use rosebend_coordination::gateway::pending_changes::Answer;
use rosebend_state::deployment::{Row, RowId, RowVersion, Transaction};

fn ledger(program: &str) -> RowId {
    RowId::new("programs", "p00", format!("{program}/"))
}

/// Returns a transaction that changes a program's ledger and requires its version.
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
fn pending_entries_are_combined_into_one_batch() {
    let mut group = GroupCommit::default();
    let first = group.submit(change("a", 0));
    let (transaction, ended) = group.next_transaction();
    assert_eq!((transaction, ended), (Some(change("a", 0)), Vec::new()));
    let second = group.submit(change("b", 3));
    let third = group.submit(change("c", 0));
    assert_eq!(group.next_transaction().0, None, "a batch is in flight");
    let ended = group.record_answer(Answer::Applied(7));
    assert_eq!(ended, [(first, Answer::Applied(7))]);
    let combined = group.next_transaction().0.unwrap();
    assert_eq!(combined.conditions.len(), 2);
    assert_eq!(combined.writes.len(), 2);
    let ended = group.record_answer(Answer::Applied(8));
    assert_eq!(
        ended,
        [(second, Answer::Applied(8)), (third, Answer::Applied(8))]
    );
    assert_eq!(group.open_entries(), 0);
}

#[test]
fn a_conflict_ends_the_entries_it_belongs_to_and_the_others_are_retried() {
    let mut group = GroupCommit::default();
    let valid = group.submit(change("a", 4));
    let outdated = group.submit(change("b", 3));
    group.next_transaction();
    let present = vec![row("a", 4), row("b", 5)];
    let ended = group.record_answer(Answer::Conflict(present));
    assert_eq!(ended, [(outdated, Answer::Conflict(vec![row("b", 5)]))]);
    assert_eq!(group.next_transaction().0, Some(change("a", 4)));
    assert_eq!(
        group.record_answer(Answer::Applied(6)),
        [(valid, Answer::Applied(6))]
    );
}

/// Returns a transaction that changes a program's ledger and requires a version of another
/// row, which it does not change.
fn fenced_change(program: &str, version: RowVersion) -> Transaction {
    change(program, 0).expect(fence(), version)
}

fn fence() -> RowId {
    RowId::new("escrow", "p00", "0".to_owned())
}

#[test]
fn entries_that_require_the_same_version_of_a_row_are_batched() {
    let mut group = GroupCommit::default();
    group.submit(fenced_change("a", 4));
    group.submit(fenced_change("b", 4));
    let combined = group.next_transaction().0.unwrap();
    assert_eq!(combined.writes.len(), 2);
    let fence_conditions = combined.conditions.iter();
    let fence_conditions = fence_conditions.filter(|condition| condition.row == fence());
    assert_eq!(fence_conditions.count(), 1, "the row has one condition");
}

#[test]
fn entries_that_require_different_versions_of_a_row_are_not_batched() {
    let mut group = GroupCommit::default();
    group.submit(fenced_change("a", 4));
    group.submit(fenced_change("b", 5));
    assert_eq!(group.next_transaction().0, Some(fenced_change("a", 4)));
    group.record_answer(Answer::Applied(6));
    assert_eq!(group.next_transaction().0, Some(fenced_change("b", 5)));
}

#[test]
fn an_entry_that_changes_a_row_is_not_batched_with_one_that_requires_it() {
    let fence_update = || {
        let transaction = Transaction::default().expect(fence(), 4);
        transaction.write(fence(), Vec::new())
    };
    for transactions in [
        [fenced_change("a", 4), fence_update()],
        [fence_update(), fenced_change("a", 4)],
    ] {
        let mut group = GroupCommit::default();
        transactions.iter().for_each(|submitted| {
            group.submit(submitted.clone());
        });
        assert_eq!(group.next_transaction().0.as_ref(), Some(&transactions[0]));
    }
}

#[test]
fn a_row_that_exists_but_must_not_is_a_conflict() {
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
fn the_second_of_two_changes_of_a_row_conflicts_without_a_call() {
    let mut group = GroupCommit::default();
    let first = group.submit(change("a", 1));
    let second = group.submit(change("a", 1));
    assert_eq!(group.next_transaction().0, Some(change("a", 1)));
    let ended = group.record_answer(Answer::Applied(9));
    assert_eq!(ended, [(first, Answer::Applied(9))]);
    // The cached row shows that the version is outdated, so no call is needed.
    let written = Row {
        value: Some(b"a after 1".to_vec()),
        ..row("a", 9)
    };
    let (transaction, ended) = group.next_transaction();
    assert_eq!(transaction, None);
    assert_eq!(ended, [(second, Answer::Conflict(vec![written]))]);
}

#[test]
fn an_older_cached_row_is_no_conflict() {
    let mut group = GroupCommit::default();
    group.submit(change("a", 1));
    group.next_transaction();
    group.record_answer(Answer::Applied(2));
    // Another host has written the row directly since, so the cached version is older.
    group.submit(change("a", 5));
    assert_eq!(group.next_transaction().0, Some(change("a", 5)));
}

#[test]
fn a_lost_answer_ends_all_entries() {
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
fn a_conflict_without_a_failed_condition_ends_all_entries_without_a_retry() {
    let mut group = GroupCommit::default();
    let only = group.submit(change("a", 4));
    group.next_transaction();
    let ended = group.record_answer(Answer::Conflict(vec![row("a", 4)]));
    assert_eq!(ended, [(only, Answer::NotKnown)]);
}

#[test]
fn a_batch_stays_within_the_limits_of_the_store() {
    let mut group = GroupCommit::default();
    for number in 0..80 {
        group.submit(change(&format!("p{number}"), 0));
    }
    let mut combined = 0;
    while let (Some(transaction), _) = group.next_transaction() {
        assert!(transaction.entries() <= 100, "{}", transaction.entries());
        combined += transaction.writes.len();
        group.record_answer(Answer::Applied(1));
    }
    assert_eq!(combined, 80);
    // Large values. The encoding adds a third, so that one of them exceeds the limit by
    // itself.
    let sizes = [400_000, 400_000, 700_000, 900_000, 10];
    let mut ids = Vec::new();
    for (number, bytes) in sizes.into_iter().enumerate() {
        ids.push(group.submit(write(number, bytes)));
    }
    let mut sent = Vec::new();
    let mut rejected = Vec::new();
    loop {
        let (transaction, ended) = group.next_transaction();
        rejected.extend(ended);
        let Some(transaction) = transaction else {
            break;
        };
        assert!(transaction.max_encoded_bytes() <= 1_000_000);
        let values = transaction.writes.iter().map(|write| write.value.len());
        sent.push(values.sum::<usize>());
        group.record_answer(Answer::Applied(2));
    }
    assert_eq!(sent, [400_010, 400_000, 700_000]);
    assert_eq!(rejected, [(ids[3], Answer::Rejected)]);
}

/// Returns a transaction that writes a large row of its own.
fn write(number: usize, bytes: usize) -> Transaction {
    let row = RowId::new("programs", "p00", format!("large-{number}"));
    Transaction::default().write(row, vec![0; bytes])
}

/// Guards against a transaction that blocks all others of its partition, because the store
/// rejects every batch that contains it.
#[test]
fn a_rejected_transaction_ends_alone() {
    let mut group = GroupCommit::default();
    let ids: Vec<_> = (0..40)
        .map(|number| group.submit(write(number, 8)))
        .collect();
    let mut calls = 0;
    let mut outcomes = Vec::new();
    while let (Some(transaction), _) = group.next_transaction() {
        calls += 1;
        let is_rejected = transaction
            .writes
            .iter()
            .any(|write| write.row.key == "large-7");
        outcomes.extend(group.record_answer(match is_rejected {
            true => Answer::Rejected,
            false => Answer::Applied(calls),
        }));
    }
    let rejected = outcomes
        .iter()
        .filter(|(_, answer)| *answer == Answer::Rejected);
    assert_eq!(rejected.map(|(id, _)| *id).collect::<Vec<_>>(), [ids[7]]);
    assert_eq!(outcomes.len(), 40);
    assert!(calls <= 41, "{calls} calls");
}

/// A store that loses answers must not delay the pending entries until a copy of the
/// transaction is answered.
#[test]
fn pending_entries_are_sent_beside_an_overdue_batch() {
    let mut group = GroupCommit::default();
    let overdue = group.submit(change("a", 1));
    group.next_transaction();
    let later_change = group.submit(change("a", 2));
    let other = group.submit(change("b", 1));
    assert_eq!(group.next_transaction().0, None, "a batch is in flight");
    let overdue_batch = group.mark_overdue().unwrap();
    assert_eq!(group.next_transaction().0, Some(change("b", 1)));
    let ended = group.record_answer(Answer::Applied(5));
    assert_eq!(ended, [(other, Answer::Applied(5))]);
    assert_eq!(
        group.next_transaction().0,
        None,
        "the overdue batch has its row"
    );
    assert!(group.has_pending());
    let ended = group.record_overdue_answer(overdue_batch, Answer::Applied(2));
    assert_eq!(ended, [(overdue, Answer::Applied(2))]);
    assert_eq!(group.next_transaction().0, Some(change("a", 2)));
    let ended = group.record_answer(Answer::Applied(6));
    assert_eq!(ended, [(later_change, Answer::Applied(6))]);
    assert_eq!(group.open_entries(), 0);
}

#[test]
fn entries_of_an_overdue_batch_without_a_conflict_are_retried() {
    let mut group = GroupCommit::default();
    let valid = group.submit(change("a", 4));
    let outdated = group.submit(change("b", 3));
    group.next_transaction();
    let overdue_batch = group.mark_overdue().unwrap();
    let present = vec![row("a", 4), row("b", 5)];
    let ended = group.record_overdue_answer(overdue_batch, Answer::Conflict(present));
    assert_eq!(ended, [(outdated, Answer::Conflict(vec![row("b", 5)]))]);
    assert_eq!(group.next_transaction().0, Some(change("a", 4)));
    let ended = group.record_answer(Answer::Applied(6));
    assert_eq!(ended, [(valid, Answer::Applied(6))]);
}

#[test]
fn the_number_of_overdue_batches_is_limited() {
    let mut group = GroupCommit::default();
    let mut overdue = 0;
    for number in 0..20 {
        group.submit(change(&format!("p{number}"), 1));
        group.next_transaction();
        overdue += usize::from(group.mark_overdue().is_some());
    }
    assert_eq!(overdue, 3);
    assert_eq!(group.mark_overdue(), None);
    assert_eq!(group.open_entries(), 20);
}

/// Guards against changes of a partition that are never sent: the deletion of a row took
/// effect although its answer was lost, so the batcher still has the row.
#[test]
fn a_row_that_the_store_no_longer_has_is_forgotten() {
    let mut group = GroupCommit::default();
    group.submit(change("a", 0));
    group.next_transaction();
    group.record_answer(Answer::Applied(7));
    group.submit(
        Transaction::default()
            .expect(ledger("a"), 7)
            .delete(ledger("a")),
    );
    group.next_transaction();
    group.record_answer(Answer::NotKnown);

    // The host that sends the change learns of the row, requires it, and learns that it is
    // absent.
    let mut required = 0;
    for _ in 0..4 {
        let id = group.submit(change("a", required));
        let (transaction, mut ended) = group.next_transaction();
        if let Some(transaction) = transaction {
            let is_absent = transaction.conditions[0].version == 0;
            ended = group.record_answer(match is_absent {
                true => Answer::Applied(9),
                false => Answer::Conflict(Vec::new()),
            });
        }
        let [(ended, answer)] = ended.try_into().unwrap();
        assert_eq!(ended, id);
        match answer {
            Answer::Applied(_) => return,
            Answer::Conflict(rows) => required = rows.first().map_or(0, |row| row.version),
            Answer::NotKnown | Answer::Rejected => unreachable!("the store answers otherwise"),
        }
    }
    panic!("the change is not applied");
}
