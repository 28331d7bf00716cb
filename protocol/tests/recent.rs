//! Messages about programs that gateways keep for each other: what is written is read back, and
//! whatever anyone sends is read or refused.

use proptest::prelude::*;
use rosebend_protocol::recent::{
    KeepRequest, RecentRequest, decode_keep, decode_kept, decode_request, decode_rows, encode_keep,
    encode_kept, encode_request, encode_rows,
};
use rosebend_state::deployment::{Row, RowId};

const PARTITION: &str = "p07";

fn row() -> impl Strategy<Value = Row> {
    let value = prop::collection::vec(any::<u8>(), 0..200);
    let row = ("[a-z]{1,8}", "[ -~]{1,40}", 1_u64.., value);
    row.prop_map(|(table, key, version, value)| Row {
        id: RowId::new(&table, PARTITION, key),
        version,
        value: Some(value),
    })
}

proptest! {
    #[test]
    fn a_question_is_read_as_it_was_written(run in "[ -~]{0,40}", program in "[ -~]{0,90}") {
        let request = RecentRequest { asked_run: run, program };
        prop_assert_eq!(decode_request(&encode_request(&request)).unwrap(), request);
    }

    #[test]
    fn rows_are_read_as_they_were_written(rows in prop::collection::vec(row(), 0..20)) {
        prop_assert_eq!(decode_rows(&encode_rows(&rows)).unwrap(), rows);
    }

    #[test]
    fn what_is_to_be_kept_is_read_as_it_was_written(
        names in ("[ -~]{0,40}", "[ -~]{0,40}", "[ -~]{0,40}"),
        rows in prop::collection::vec(row(), 0..20),
        is_gapless in any::<bool>(),
    ) {
        let (asked_run, program, previous) = names;
        let request = KeepRequest { asked_run, program, previous, rows };
        prop_assert_eq!(decode_keep(&encode_keep(&request)).unwrap(), request);
        prop_assert_eq!(decode_kept(&encode_kept(is_gapless)).unwrap(), is_gapless);
    }

    #[test]
    fn arbitrary_bytes_are_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = (decode_request(&bytes), decode_rows(&bytes));
        let _ = (decode_keep(&bytes), decode_kept(&bytes));
    }

    #[test]
    fn changed_bytes_are_read_or_refused(
        rows in prop::collection::vec(row(), 1..5),
        position in any::<prop::sample::Index>(),
        byte in any::<u8>(),
    ) {
        let mut message = encode_rows(&rows);
        let position = position.index(message.len());
        message[position] = byte;
        let _ = decode_rows(&message);
    }
}

#[test]
fn a_message_of_another_form_and_a_row_without_a_name_are_refused() {
    let mut message = encode_rows(&[]);
    // The form is the first field.
    message[1] = 9;
    assert!(decode_rows(&message).is_err());
    let nameless = Row {
        id: RowId::new("", PARTITION, String::new()),
        version: 1,
        value: Some(Vec::new()),
    };
    assert!(decode_rows(&encode_rows(&[nameless])).is_err());
}
