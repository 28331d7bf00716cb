//! The store's rows against a plain model, under random transactions in the
//! form that the client writes.

use std::collections::BTreeMap;

use proptest::prelude::*;
use rosebend_platform::store::encode_transaction;
use rosebend_standin::store::rows::{ReadRange, Rows, TransactError, WireTransaction};
use rosebend_state::deployment::{RowId, Transaction};
use serde_json::Value;

/// Version and value by key.
type Model = BTreeMap<String, (u64, Vec<u8>)>;

/// What a random transaction does to a row.
#[derive(Clone, Debug)]
struct Step {
    key: String,
    expected: Option<u64>,
    action: Action,
}

#[derive(Clone, Debug)]
enum Action {
    Check,
    Write(u8),
    Delete,
}

fn key() -> impl Strategy<Value = String> {
    (0..4_u8, 0..3_u8).prop_map(|(group, row)| format!("group-{group}/{row}"))
}

fn step() -> impl Strategy<Value = Step> {
    let expected = prop_oneof![
        2 => Just(None),
        2 => Just(Some(0)),
        3 => (1..12_u64).prop_map(Some),
    ];
    let action = prop_oneof![
        1 => Just(Action::Check),
        4 => (0..100_u8).prop_map(Action::Write),
        1 => Just(Action::Delete),
    ];
    (key(), expected, action).prop_map(|(key, expected, action)| Step {
        key,
        expected,
        action,
    })
}

/// Steps on distinct rows.
fn steps() -> impl Strategy<Value = Vec<Step>> {
    prop::collection::vec(step(), 0..4).prop_map(|mut steps| {
        steps.sort_by(|a, b| a.key.cmp(&b.key));
        steps.dedup_by(|a, b| a.key == b.key);
        steps
    })
}

fn row(key: &str) -> RowId {
    RowId::new("table", "part", key)
}

fn wire(steps: &[Step]) -> WireTransaction {
    let mut transaction = Transaction::default();
    for step in steps {
        if let Some(version) = step.expected {
            transaction = transaction.expect(row(&step.key), version);
        }
        transaction = match step.action {
            Action::Check => transaction,
            Action::Write(value) => transaction.write(row(&step.key), vec![value]),
            Action::Delete => transaction.delete(row(&step.key)),
        };
    }
    serde_json::from_slice(&encode_transaction(&transaction)).unwrap()
}

fn version(model: &Model, key: &str) -> u64 {
    model.get(key).map_or(0, |(version, _)| *version)
}

fn apply(model: &mut Model, steps: &[Step], version: u64) {
    for step in steps {
        match step.action {
            Action::Check => {}
            Action::Write(value) => {
                model.insert(step.key.clone(), (version, vec![value]));
            }
            Action::Delete => {
                model.remove(&step.key);
            }
        }
    }
}

fn range(prefix: &str, limit: Option<usize>) -> ReadRange {
    ReadRange {
        table: "table".to_owned(),
        part: "part".to_owned(),
        from: prefix.to_owned(),
        to: Some(format!("{prefix}{}", char::MAX)),
        limit,
    }
}

/// The rows as a client decodes them.
fn decoded(rows: &Rows) -> Model {
    let (keys, has_more) = rows.read(&range("", None));
    assert!(!has_more);
    let found: Vec<Value> = keys.iter().map(|key| rows.wire_row(key)).collect();
    let body = serde_json::json!({ "rows": found, "ver": rows.version() });
    let rows = rosebend_platform::store::decode_rows(body.to_string().as_bytes());
    let rows = rows.unwrap().rows.into_iter();
    rows.map(|row| (row.id.key, (row.version, row.value.unwrap())))
        .collect()
}

proptest! {
    #[test]
    fn transactions_take_effect_whole_or_not_at_all(
        transactions in prop::collection::vec(steps(), 1..40),
    ) {
        let mut rows = Rows::default();
        let mut model = Model::new();
        for steps in transactions {
            let before = rows.version();
            let holds = |step: &Step| {
                step.expected.is_none_or(|expected| expected == version(&model, &step.key))
            };
            let all_hold = steps.iter().all(holds);
            match rows.transact(&wire(&steps)) {
                Ok(given) => {
                    prop_assert!(all_hold);
                    prop_assert!(given > before);
                    apply(&mut model, &steps, given);
                }
                Err(TransactError::Conflict(present)) => {
                    prop_assert!(!all_hold);
                    prop_assert_eq!(rows.version(), before);
                    let conditions = steps.iter().filter(|step| step.expected.is_some());
                    let expected: Vec<&String> = conditions
                        .map(|step| &step.key)
                        .filter(|key| model.contains_key(*key))
                        .collect();
                    let present: Vec<&String> = present.iter().map(|key| &key.2).collect();
                    prop_assert_eq!(present, expected);
                }
                Err(TransactError::Invalid(why)) => prop_assert!(false, "{why}"),
            }
            prop_assert_eq!(&decoded(&rows), &model);
        }
    }

    #[test]
    fn pages_of_a_read_join_to_the_rows_under_the_prefix(
        keys in prop::collection::btree_set(key(), 0..12),
        limit in 1..5_usize,
        group in 0..4_u8,
    ) {
        let mut rows = Rows::default();
        let write = |key: &String| Step {
            key: key.clone(),
            expected: None,
            action: Action::Write(0),
        };
        let steps: Vec<Step> = keys.iter().map(write).collect();
        rows.transact(&wire(&steps)).unwrap();
        let prefix = format!("group-{group}/");
        let mut next = range(&prefix, Some(limit));
        let mut read = Vec::new();
        for _ in 0..20 {
            let (page, has_more) = rows.read(&next);
            prop_assert!(page.len() <= limit);
            read.extend(page.into_iter().map(|key| key.2));
            if !has_more {
                break;
            }
            next.from = format!("{}\u{1}", read.last().unwrap());
        }
        let expected: Vec<_> = keys.into_iter().filter(|key| key.starts_with(&prefix)).collect();
        prop_assert_eq!(read, expected);
    }

    #[test]
    fn changes_since_a_version_are_those_of_the_model(
        transactions in prop::collection::vec(steps(), 1..20),
        after in 0..20_u64,
    ) {
        let mut rows = Rows::default();
        let mut changed = Vec::new();
        for steps in transactions {
            let unconditional: Vec<Step> = steps
                .into_iter()
                .map(|step| Step { expected: None, ..step })
                .collect();
            let given = rows.transact(&wire(&unconditional)).unwrap();
            let writes = unconditional.iter().filter(|step| !matches!(step.action, Action::Check));
            for step in writes.filter(|_| given > after) {
                changed.retain(|key| *key != step.key);
                changed.push(step.key.clone());
            }
        }
        let told: Vec<String> = rows.changed("table", after).unwrap()
            .into_iter().map(|key| key.2).collect();
        let sorted = |mut keys: Vec<String>| { keys.sort(); keys };
        prop_assert_eq!(sorted(told), sorted(changed));
        let before = rows.version();
        rows.forget_history();
        prop_assert_eq!(rows.changed("table", before), None);
    }
}

#[test]
fn a_transaction_that_the_store_does_not_take_changes_nothing() {
    let many = (0..101).map(|number| row(&number.to_string()));
    let many = many.fold(Transaction::default(), |transaction, row| {
        transaction.write(row, Vec::new())
    });
    let over_partitions = r#"{"set-keys": [
        {"table": "t", "part": "p", "key": "a", "value": ""},
        {"table": "t", "part": "q", "key": "a", "value": ""}
    ]}"#;
    for body in [
        encode_transaction(&many),
        over_partitions.as_bytes().to_vec(),
    ] {
        let mut rows = Rows::default();
        let transaction = serde_json::from_slice(&body).unwrap();
        let outcome = rows.transact(&transaction);
        assert!(matches!(outcome, Err(TransactError::Invalid(_))));
        assert_eq!((rows.count(), rows.version()), (0, 0));
    }
}
