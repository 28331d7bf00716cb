//! Messages by which gateways commit for each other: what is written is read
//! back, and whatever anyone sends is read or refused.

use proptest::prelude::*;
use rosebend_protocol::commit::{
    Committed, check_transaction, decode_committed, decode_request, encode_committed,
    encode_request,
};
use rosebend_state::deployment::{Condition, Row, RowId, RowWrite, Transaction};

const PARTITION: &str = "p07";
const RUN: &str = "host-1/a";

fn row_id() -> impl Strategy<Value = RowId> {
    ("[a-z]{1,8}", "[ -~]{1,40}").prop_map(|(table, key)| RowId::new(&table, PARTITION, key))
}

fn value() -> impl Strategy<Value = Vec<u8>> {
    prop::collection::vec(any::<u8>(), 0..200)
}

fn transaction() -> impl Strategy<Value = Transaction> {
    let condition = (row_id(), any::<u64>());
    let condition = condition.prop_map(|(row, version)| Condition { row, version });
    let write = (row_id(), value()).prop_map(|(row, value)| RowWrite { row, value });
    let parts = (
        prop::collection::vec(condition, 0..20),
        prop::collection::vec(write, 1..20),
        prop::collection::vec(row_id(), 0..20),
    );
    parts.prop_map(|(conditions, writes, deletes)| Transaction {
        conditions,
        writes,
        deletes,
    })
}

fn committed() -> impl Strategy<Value = Committed> {
    let row = (row_id(), 1_u64.., value());
    let row = row.prop_map(|(id, version, value)| Row {
        id,
        version,
        value: Some(value),
    });
    prop_oneof![
        any::<u64>().prop_map(Committed::Applied),
        prop::collection::vec(row, 0..20).prop_map(Committed::Conflict),
        Just(Committed::Throttled),
        Just(Committed::Refused),
        Just(Committed::PartitionRefused),
        Just(Committed::NoAnswer),
        Just(Committed::Rejected),
    ]
}

proptest! {
    #[test]
    fn a_transaction_is_read_as_it_was_written(transaction in transaction()) {
        prop_assert!(check_transaction(&transaction).is_ok());
        let read = decode_request(&encode_request(RUN, &transaction)).unwrap();
        prop_assert_eq!(read.asked_run, RUN);
        prop_assert_eq!(read.transaction, transaction);
    }

    #[test]
    fn an_answer_is_read_as_it_was_written(committed in committed()) {
        let read = decode_committed(&encode_committed(&committed)).unwrap();
        prop_assert_eq!(read, committed);
    }

    #[test]
    fn any_bytes_are_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = decode_request(&bytes);
        let _ = decode_committed(&bytes);
    }

    #[test]
    fn a_message_that_was_changed_is_read_or_refused(
        transaction in transaction(),
        at in any::<prop::sample::Index>(),
        byte in any::<u8>(),
        cut in any::<prop::sample::Index>(),
    ) {
        let mut message = encode_request(RUN, &transaction);
        let index = at.index(message.len());
        message[index] = byte;
        message.truncate(cut.index(message.len()) + 1);
        if let Ok(read) = decode_request(&message) {
            prop_assert!(check_transaction(&read.transaction).is_ok());
        }
    }
}

#[test]
fn what_no_store_takes_is_refused_with_the_reason() {
    let row = |partition: &str, key: &str| RowId::new("programs", partition, key);
    let many = (0..101).map(|number| row("p00", &format!("k{number}")));
    let many = Transaction {
        deletes: many.collect(),
        ..Transaction::default()
    };
    let spread = Transaction::default()
        .delete(row("p00", "a"))
        .delete(row("p01", "b"));
    let told = |transaction: &Transaction| check_transaction(transaction).unwrap_err().to_string();
    insta::assert_snapshot!(
        [told(&many), told(&spread), told(&Transaction::default())].join("\n"),
        @r"
    a transaction of 101 entries, and at most 100 are taken
    a transaction over more than one partition
    a transaction of 0 entries, and at most 100 are taken
    "
    );
    let error = decode_request(&encode_request(RUN, &many)).unwrap_err();
    assert_eq!(error.to_string(), told(&many));
    // The form's version stands first: 2 instead of 1.
    let mut other = encode_request(RUN, &Transaction::default().delete(row("p00", "a")));
    other[1] = 2;
    insta::assert_snapshot!(
        decode_request(&other).unwrap_err(),
        @"a commit of form 2, and this version knows form 1"
    );
    assert!(decode_committed(&other).is_err());
}
