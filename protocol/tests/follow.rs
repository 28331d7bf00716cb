//! Messages by which gateways follow tables at each other: what is written is read
//! back, and whatever anyone sends is read or refused.

use std::time::Duration;

use proptest::prelude::*;
use rosebend_protocol::follow::{
    FollowAnswer, FollowRequest, MAX_WAIT, decode_answer, decode_request, encode_answer,
    encode_request,
};
use rosebend_state::deployment::{Row, RowId};

const TABLE: &str = "endpoints";

fn request() -> impl Strategy<Value = FollowRequest> {
    let wait_ms = 0..=u64::try_from(MAX_WAIT.as_millis()).unwrap();
    let parts = (
        "[a-z/]{0,20}",
        "[a-z]{0,12}",
        any::<Option<u64>>(),
        wait_ms,
        any::<bool>(),
    );
    parts.prop_map(
        |(asked_run, table, after, wait_ms, knows_store_unavailable)| FollowRequest {
            asked_run,
            table,
            after,
            wait: Duration::from_millis(wait_ms),
            knows_store_unavailable,
        },
    )
}

fn row() -> impl Strategy<Value = Row> {
    let value = prop::option::of(prop::collection::vec(any::<u8>(), 0..100));
    ("[ -~]{1,40}", any::<u64>(), value).prop_map(|(key, version, value)| Row {
        id: RowId::new(TABLE, "", key),
        version,
        value,
    })
}

fn answer() -> impl Strategy<Value = FollowAnswer> {
    let parts = (
        any::<bool>(),
        any::<Option<u64>>(),
        prop::collection::vec(row(), 0..20),
        0..100_000_u64,
        any::<bool>(),
        any::<Option<u32>>(),
    );
    parts.prop_map(
        |(is_whole, version, rows, age_ms, is_store_unavailable, ago_ms)| FollowAnswer {
            is_whole,
            version,
            rows,
            age: Duration::from_millis(age_ms),
            is_store_unavailable,
            store_unavailable_ago: ago_ms.map(|ms| Duration::from_millis(ms.into())),
        },
    )
}

proptest! {
    #[test]
    fn a_question_is_read_as_it_was_written(request in request()) {
        let message = encode_request(&request);
        prop_assert_eq!(decode_request(&message).unwrap(), request);
    }

    #[test]
    fn an_answer_is_read_as_it_was_written(answer in answer()) {
        let message = encode_answer(&answer);
        prop_assert_eq!(decode_answer(TABLE, &message).unwrap(), answer);
    }

    #[test]
    fn any_bytes_are_read_or_refused(message in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode_request(&message);
        let _ = decode_answer(TABLE, &message);
    }

    #[test]
    fn a_message_that_is_cut_is_read_or_refused(answer in answer(), cut in any::<prop::sample::Index>()) {
        let message = encode_answer(&answer);
        let _ = decode_answer(TABLE, &message[..cut.index(message.len())]);
    }
}

#[test]
fn a_message_of_another_form_is_refused() {
    // Field 1 is the form.
    let other_form = [0x08, 0x02];
    let error = decode_request(&other_form).unwrap_err();
    assert!(error.to_string().contains("form 2"), "{error}");
    let error = decode_answer(TABLE, &other_form).unwrap_err();
    assert!(error.to_string().contains("form 2"), "{error}");
}

#[test]
fn nobody_makes_a_host_hold_an_answer_for_long() {
    let request = FollowRequest {
        asked_run: "host-1/a".to_owned(),
        table: TABLE.to_owned(),
        after: None,
        wait: MAX_WAIT + Duration::from_millis(1),
        knows_store_unavailable: false,
    };
    let error = decode_request(&encode_request(&request)).unwrap_err();
    assert!(error.to_string().contains("5001 ms"), "{error}");
}

#[test]
fn a_row_without_a_key_is_refused() {
    let answer = FollowAnswer {
        rows: vec![Row {
            id: RowId::new(TABLE, "", ""),
            version: 1,
            value: None,
        }],
        ..FollowAnswer::default()
    };
    assert!(decode_answer(TABLE, &encode_answer(&answer)).is_err());
}
