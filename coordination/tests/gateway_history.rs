//! Tests of the rows of programs, including corrupt ones: no value may cause a panic
//! or an endless loop, and a malformed turn must not affect others.

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use proptest::sample::{Index, select};
use rosebend_coordination::gateway::escrow::Fences;
use rosebend_coordination::gateway::escrow::terms::EscrowTerms;
use rosebend_coordination::gateway::history::{
    HistoryError, StoredProgram, Turn, TurnCache, indexed_program, ledger_row, partition_of,
    split_record,
};
use rosebend_coordination::gateway::ledger::{Generation, Ledger, ReservationRequest};
use rosebend_state::deployment::{EndpointIdentity, Row, RowId, RowWrite};
use serde_json::{Value, json};

const PROGRAM: &str = "p1";
const GENERATION: Generation = 3;
/// Row size that is small enough to split records into several rows.
const ROW_BYTES: usize = 48;
/// Number of turns in a chain whose recursive drop would overflow the stack of a
/// thread.
const LONG_CHAIN: usize = 300_000;

fn turn(attempt: &str, previous: Option<Arc<Turn>>) -> Arc<Turn> {
    Arc::new(Turn {
        attempt: attempt.to_owned(),
        program: PROGRAM.to_owned(),
        generation: Some(GENERATION),
        previous,
        input: format!("what {attempt} was asked, at some length").into_bytes(),
        output: format!("what {attempt} answered, at some more length").into_bytes(),
        endpoint: EndpointIdentity::unknown_start("i-1"),
        tokens: 7,
    })
}

fn stored(write: RowWrite) -> Row {
    Row {
        id: write.row,
        version: 1,
        value: Some(write.value),
    }
}

/// Returns the rows of a chain of turns `t0`, `t1` and so on, in key order.
fn chain_rows(turns: usize) -> Vec<Row> {
    let mut rows = Vec::new();
    let mut previous = None;
    for number in 0..turns {
        let turn = turn(&format!("t{number}"), previous);
        let writes = turn.rows(ROW_BYTES).into_iter();
        let chunks = writes.filter(|write| write.row.table == ledger_row(PROGRAM).table);
        rows.extend(chunks.map(stored));
        previous = Some(turn);
    }
    rows.sort_by(|a, b| a.id.cmp(&b.id));
    rows
}

fn chunk(attempt: &str, number: &str, value: &[u8]) -> Row {
    Row {
        id: RowId::new(
            &ledger_row(PROGRAM).table,
            &partition_of(PROGRAM),
            format!("{PROGRAM}/{attempt}/{number}"),
        ),
        version: 1,
        value: Some(value.to_vec()),
    }
}

/// Returns the only chunk of a record with the given header.
fn record(attempt: &str, header: &Value, bytes: &[u8]) -> Row {
    let mut value = serde_json::to_vec(header).unwrap();
    value.push(b'\n');
    value.extend_from_slice(bytes);
    chunk(attempt, "0000", &value)
}

fn header(previous: Option<&str>, input_bytes: u64, output_bytes: u64) -> Value {
    json!({
        "previous": previous, "endpoint": "i-1", "tokens": 7,
        "input_bytes": input_bytes, "output_bytes": output_bytes,
    })
}

fn read(rows: &[Row], attempt: &str) -> Result<Arc<Turn>, HistoryError> {
    let stored = StoredProgram::from_rows(PROGRAM, rows)?;
    stored.turn(PROGRAM, attempt, &TurnCache::new(1 << 20))
}

fn malformed(attempt: &str) -> Result<Arc<Turn>, HistoryError> {
    Err(HistoryError::Malformed(attempt.to_owned()))
}

#[test]
fn a_chain_round_trips_through_its_rows() {
    let read = read(&chain_rows(3), "t2").unwrap();
    let attempts: Vec<&str> = read.chain().map(|turn| turn.attempt.as_str()).collect();
    assert_eq!(attempts, ["t2", "t1", "t0"]);
}

#[test]
fn lengths_whose_sum_overflows_are_malformed() {
    let rows = [record("t0", &header(None, u64::MAX, 3), b"ab")];
    assert_eq!(read(&rows, "t0"), malformed("t0"));
}

#[test]
fn a_header_without_a_predecessor_field_is_malformed() {
    let mut header = header(None, 1, 1);
    assert!(read(&[record("t0", &header, b"ab")], "t0").is_ok());
    header.as_object_mut().unwrap().remove("previous");
    assert_eq!(read(&[record("t0", &header, b"ab")], "t0"), malformed("t0"));
}

#[test]
fn a_turn_that_names_itself_is_malformed() {
    let rows = [record("t0", &header(Some("t0"), 1, 1), b"ab")];
    assert_eq!(read(&rows, "t0"), malformed("t0"));
}

#[test]
fn a_chain_with_a_cycle_is_malformed() {
    let rows = [
        record("t0", &header(Some("t2"), 1, 1), b"ab"),
        record("t1", &header(Some("t0"), 1, 1), b"cd"),
        record("t2", &header(Some("t1"), 1, 1), b"ef"),
        record("t3", &header(Some("t2"), 1, 1), b"gh"),
    ];
    assert_eq!(read(&rows, "t2"), malformed("t2"));
    assert_eq!(read(&rows, "t3"), malformed("t2"));
}

#[test]
fn a_long_chain_is_dropped_without_stack_overflow() {
    let mut last = None;
    for _ in 0..LONG_CHAIN {
        last = Some(turn("t", last));
    }
    drop(last);
}

#[test]
fn the_order_of_chunks_does_not_matter() {
    let mut rows = chain_rows(2);
    let expected = read(&rows, "t1");
    assert!(expected.is_ok());
    rows.reverse();
    assert_eq!(read(&rows, "t1"), expected);
}

#[test]
fn a_missing_or_extra_chunk_affects_only_its_turn() {
    let rows = chain_rows(2);
    let chunks = |attempt: &str| {
        let prefix = format!("{PROGRAM}/{attempt}/");
        rows.iter()
            .filter(move |row| row.id.key.starts_with(&prefix))
            .count()
    };
    assert!(chunks("t1") > 2);
    for missing in 0..chunks("t1") {
        let key = format!("{PROGRAM}/t1/{missing:04}");
        let mut rest = rows.clone();
        rest.retain(|row| row.id.key != key);
        assert_eq!(
            read(&rest, "t1"),
            malformed("t1"),
            "without chunk {missing}"
        );
        assert!(read(&rest, "t0").is_ok());
    }
    for number in ["9999", "+1", "00001", "x", ""] {
        let mut more = rows.clone();
        more.push(chunk("t1", number, b""));
        assert_eq!(read(&more, "t1"), malformed("t1"), "with chunk {number:?}");
        assert!(read(&more, "t0").is_ok());
    }
}

#[test]
fn a_record_of_more_than_ten_thousand_chunks_is_read() {
    let long = Arc::new(Turn {
        attempt: "t0".to_owned(),
        program: PROGRAM.to_owned(),
        generation: Some(GENERATION),
        previous: None,
        input: (0..12_000).map(|number| (number % 251) as u8).collect(),
        output: Vec::new(),
        endpoint: EndpointIdentity::unknown_start("i-1"),
        tokens: 7,
    });
    let mut rows: Vec<Row> = long.rows(1).into_iter().map(stored).collect();
    rows.retain(|row| row.id.table == ledger_row(PROGRAM).table);
    rows.sort_by(|a, b| a.id.cmp(&b.id));
    assert_eq!(read(&rows, "t0"), Ok(long));
}

#[test]
fn an_invalid_chunk_does_not_affect_other_turns_or_the_ledger() {
    let mut ledger = Ledger::default();
    let request = ReservationRequest {
        process: &"gateway-1/run".to_owned(),
        attempt: &"t0".to_owned(),
        max_output_tokens: 5,
        budget_tokens: 10,
        fences: &Fences::new(),
        escrow: &EscrowTerms::Excluded,
        generation: GENERATION,
        retention: Duration::from_secs(60),
    };
    ledger.reserve(&request, &[]);
    let mut rows = chain_rows(1);
    rows.push(Row {
        id: ledger_row(PROGRAM),
        version: 9,
        value: Some(ledger.encode()),
    });
    let mut no_number = chunk("t5", "0000", b"");
    no_number.id.key = format!("{PROGRAM}/t5");
    rows.push(no_number);
    let mut no_value = chunk("t6", "0000", b"");
    no_value.value = None;
    rows.push(no_value);
    let stored = StoredProgram::from_rows(PROGRAM, &rows).unwrap();
    assert_eq!((stored.ledger_version, &stored.ledger), (9, &ledger));
    let cache = TurnCache::new(1 << 20);
    assert!(stored.turn(PROGRAM, "t0", &cache).is_ok());
    for attempt in ["t5", "t6"] {
        // The turn exists, although it cannot be read.
        assert!(stored.has_turn(attempt), "{attempt}");
        assert_eq!(stored.turn(PROGRAM, attempt, &cache), malformed(attempt));
    }
}

#[test]
fn a_ledger_that_cannot_be_decoded_is_an_error() {
    for value in [
        "",
        "{}",
        "[]",
        "{\"spent_tokens\": -1}",
        "{\"spent_tokens\": 1e400}",
    ] {
        let mut rows = chain_rows(1);
        rows.push(Row {
            id: ledger_row(PROGRAM),
            version: 9,
            value: Some(value.as_bytes().to_vec()),
        });
        assert!(StoredProgram::from_rows(PROGRAM, &rows).is_err(), "{value}");
    }
}

/// Guards against a ledger of an earlier version, which has reserved tokens in another
/// field. Ignoring that field would lose them.
#[test]
fn a_ledger_with_unknown_fields_is_rejected() {
    let ahead = json!({"h": {"tokens": 3, "drawn_after": "t0"}});
    let ledger = json!({"spent_tokens": 1, "ahead": ahead});
    assert!(Ledger::decode(ledger.to_string().as_bytes()).is_err());
}

/// Guards against sums that wrap around, which would make the program appear to have
/// spent little.
#[test]
fn a_ledger_whose_sums_overflow_is_rejected_or_exhausted() {
    let max = u64::MAX;
    let turn = |tokens: u64| json!({"tokens": tokens, "holder": "h"});
    let ledgers = [
        json!({"spent_tokens": max, "reserved": {"t0": turn(max)}}),
        json!({"spent_tokens": 0, "reserved": {"t0": turn(max), "t1": turn(max)}}),
    ];
    for ledger in ledgers {
        let decoded = Ledger::decode(ledger.to_string().as_bytes());
        let committed = decoded.map_or(max, |ledger| ledger.committed_tokens());
        assert_eq!(committed, max, "{ledger}");
    }
}

#[test]
fn an_index_row_with_an_invalid_id_is_rejected() {
    let index = |value: &[u8]| {
        indexed_program(&Row {
            id: RowId::new("turns", "p00", "t0"),
            version: 1,
            value: Some(value.to_vec()),
        })
    };
    assert_eq!(index(b"p1"), Some(PROGRAM.to_owned()));
    let long = [b'p'; 4_096];
    let invalid: [&[u8]; 6] = [b"", b"p1/t0", b"p\n1", b"p 1", b"\xff\xfe", &long];
    for value in invalid {
        assert_eq!(index(value), None, "{value:?}");
    }
}

/// A JSON value that a faulty writer may have stored in a field.
fn arbitrary_value() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<u64>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(|number| json!(number)),
        select(vec![0, 1, u64::MAX, u64::MAX - 1, 1 << 63]).prop_map(Value::from),
        "[a-z]{0,3}|t[0-9]".prop_map(Value::from),
        Just(json!("x".repeat(100_000))),
        Just(json!([[[[]]]])),
        Just(json!({"a": {"b": {}}})),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(512) })]

    #[test]
    fn arbitrary_rows_neither_panic_nor_hang(
        rows in proptest::collection::vec(
            ("(p1|p2|)(/|)(t[0-4]|)(/|)(000[0-3]|[0-9]{0,30}|)", proptest::option::of(any::<Vec<u8>>())),
            0..24,
        ),
        requested in "t[0-4]|",
    ) {
        let row = |(key, value)| Row { id: RowId::new("programs", "p00", key), version: 1, value };
        let rows: Vec<Row> = rows.into_iter().map(row).collect();
        let _ = read(&rows, &requested);
        for row in &rows {
            let _ = indexed_program(row);
            let _ = Ledger::decode(row.value.as_deref().unwrap_or_default());
        }
    }

    #[test]
    fn headers_with_arbitrary_fields_neither_panic_nor_hang(
        changes in proptest::collection::vec(
            (select(vec!["previous", "endpoint", "tokens", "input_bytes", "output_bytes"]), proptest::option::of(arbitrary_value())),
            1..4,
        ),
        bytes in any::<Vec<u8>>(),
    ) {
        let half = (bytes.len() / 2) as u64;
        let mut changed = header(None, half, bytes.len() as u64 - half);
        let fields = changed.as_object_mut().unwrap();
        for (field, value) in changes {
            match value {
                Some(value) => fields.insert(field.to_owned(), value),
                None => fields.remove(field),
            };
        }
        let rows = [record("t0", &changed, &bytes)];
        if let Ok(turn) = read(&rows, "t0") {
            prop_assert_eq!([turn.input.as_slice(), &turn.output].concat(), bytes);
        }
    }

    #[test]
    fn a_corrupt_byte_or_a_lost_row_never_makes_a_turn_longer(
        at in any::<Index>(),
        byte in any::<Option<(Index, u8)>>(),
    ) {
        let mut rows = chain_rows(3);
        let at = at.index(rows.len());
        match byte {
            Some((position, byte)) => {
                let value = rows[at].value.as_mut().unwrap();
                let position = position.index(value.len());
                value[position] = byte;
            }
            None => { rows.remove(at); }
        }
        if let Ok(turn) = read(&rows, "t2") {
            let bytes = |turn: &Turn| turn.prompt(b"").len();
            // The change may have made `previous` null or the id of another turn.
            let expected = read(&chain_rows(3), "t2").unwrap();
            prop_assert!(bytes(&turn) <= bytes(&expected));
        }
    }

    #[test]
    fn arbitrary_ledgers_neither_panic_nor_hang(
        value in any::<Vec<u8>>(),
        place in select(vec!["/spent_tokens", "/reserved", "/reserved/t0", "/reserved/t0/tokens", "/reserved/t0/holder", "/forgiven_tokens"]),
        replacement in arbitrary_value(),
    ) {
        let _ = Ledger::decode(&value);
        let mut ledger = json!({
            "spent_tokens": 1, "forgiven_tokens": 1,
            "reserved": {"t0": {"tokens": 2, "holder": "h"}},
        });
        let committed = Ledger::decode(ledger.to_string().as_bytes()).map(|ledger| ledger.committed_tokens());
        prop_assert_eq!(committed.ok(), Some(3));
        *ledger.pointer_mut(place).unwrap() = replacement;
        let _ = Ledger::decode(ledger.to_string().as_bytes());
    }
}

/// Guards against a long history whose record no transaction holds.
#[test]
fn a_large_record_is_split_into_transactions_that_the_store_takes() {
    for (input_bytes, row_bytes) in [(2_000_000, 49_152), (400_000, 768), (10, 49_152)] {
        let turn = Arc::new(Turn {
            attempt: "t0".to_owned(),
            program: PROGRAM.to_owned(),
            generation: Some(GENERATION),
            previous: None,
            input: (0..input_bytes)
                .map(|number| (number % 251) as u8)
                .collect(),
            output: b"output".to_vec(),
            endpoint: EndpointIdentity::unknown_start("i-1"),
            tokens: 7,
        });
        let split = split_record(turn.rows(row_bytes));
        let groups = split.leading.iter().chain([&split.last]);
        for rows in groups {
            let bytes: usize = rows.iter().map(RowWrite::max_encoded_bytes).sum();
            assert!(
                rows.len() <= 96 && bytes <= 800_000,
                "{} {bytes}",
                rows.len()
            );
        }
        assert_eq!(split.leading.is_empty(), input_bytes == 10);

        // Without the last rows there is no record, and with them it is whole.
        let is_chunk = |row: &Row| row.id.table == ledger_row(PROGRAM).table;
        let mut rows: Vec<Row> = split.leading.concat().into_iter().map(stored).collect();
        assert!(read(&rows, "t0").is_err());
        rows.extend(split.last.into_iter().map(stored).filter(is_chunk));
        assert_eq!(read(&rows, "t0"), Ok(turn));
    }
}
