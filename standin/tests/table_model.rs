//! The table against a plain model, under random transactions.

use std::collections::HashMap;

use proptest::prelude::*;
use rosebend_protocol::platform::{
    Action, Condition, Operation, ReadRequest, ScanRequest, Transaction,
};
use rosebend_standin::platform::table::{Table, TransactError};
use serde_json::json;

type Model = HashMap<String, (u64, serde_json::Value)>;

fn key() -> impl Strategy<Value = String> {
    (0..4_u8, 0..3_u8).prop_map(|(group, row)| format!("group-{group}/{row}"))
}

fn operation() -> impl Strategy<Value = Operation> {
    let condition = prop_oneof![
        2 => Just(Condition::Any),
        2 => Just(Condition::Absent),
        3 => (1..12_u64).prop_map(Condition::Version),
    ];
    let action = prop_oneof![
        1 => Just(Action::Check),
        4 => (0..100_u32).prop_map(|n| Action::Put(json!(n))),
        1 => Just(Action::Delete),
    ];
    (key(), condition, action).prop_map(|(key, condition, action)| Operation {
        key,
        condition,
        action,
    })
}

fn transaction() -> impl Strategy<Value = Transaction> {
    prop::collection::vec(operation(), 0..4).prop_map(|operations| Transaction { operations })
}

fn holds(model: &Model, operation: &Operation) -> bool {
    let version = model.get(&operation.key).map(|(version, _)| *version);
    match operation.condition {
        Condition::Any => true,
        Condition::Absent => version.is_none(),
        Condition::Version(expected) => version == Some(expected),
    }
}

fn repeats_a_key(transaction: &Transaction) -> bool {
    let operations = &transaction.operations;
    let repeated = |(i, o): (usize, &Operation)| operations[..i].iter().any(|p| p.key == o.key);
    operations.iter().enumerate().any(repeated)
}

fn apply(model: &mut Model, transaction: &Transaction, version: u64) {
    for operation in &transaction.operations {
        match &operation.action {
            Action::Check => {}
            Action::Put(value) => {
                model.insert(operation.key.clone(), (version, value.clone()));
            }
            Action::Delete => {
                model.remove(&operation.key);
            }
        }
    }
}

fn check_rows(table: &Table, model: &Model) -> Result<(), TestCaseError> {
    let mut keys: Vec<String> = model.keys().cloned().collect();
    keys.sort();
    let request = ScanRequest {
        limit: 100,
        ..ScanRequest::default()
    };
    let rows = table.scan(&request).rows;
    let scanned: Vec<&String> = rows.iter().map(|row| &row.key).collect();
    prop_assert_eq!(scanned, keys.iter().collect::<Vec<_>>());
    for row in table.read(&ReadRequest { keys }).rows {
        let expected = &model[&row.key];
        prop_assert_eq!((row.version, &row.value), (expected.0, &expected.1));
    }
    Ok(())
}

proptest! {
    #[test]
    fn transactions_take_effect_whole_or_not_at_all(
        transactions in prop::collection::vec(transaction(), 1..40),
    ) {
        let mut table = Table::default();
        let mut model = Model::new();
        let mut last_version = 0;
        for transaction in transactions {
            let failed = transaction.operations.iter().find(|o| !holds(&model, o));
            match table.transact(&transaction) {
                Ok(committed) => {
                    prop_assert!(failed.is_none() && !repeats_a_key(&transaction));
                    let writes = transaction.operations.iter().any(|o| o.action != Action::Check);
                    prop_assert_eq!(committed.version, last_version + u64::from(writes));
                    last_version = committed.version;
                    apply(&mut model, &transaction, last_version);
                }
                Err(TransactError::Conflict(conflict)) => {
                    let version = model.get(&conflict.key).map(|(version, _)| *version);
                    prop_assert_eq!(failed.map(|o| &o.key), Some(&conflict.key));
                    prop_assert_eq!(conflict.version, version);
                }
                Err(TransactError::RepeatedKey(_)) => {
                    prop_assert!(repeats_a_key(&transaction));
                }
            }
            check_rows(&table, &model)?;
        }
    }

    #[test]
    fn pages_of_a_scan_join_to_the_rows_under_the_prefix(
        keys in prop::collection::btree_set(key(), 0..12),
        limit in 1..5_usize,
        group in 0..4_u8,
    ) {
        let mut table = Table::default();
        let put = |key: &String| Operation {
            key: key.clone(),
            condition: Condition::Any,
            action: Action::Put(json!(null)),
        };
        table.transact(&Transaction { operations: keys.iter().map(put).collect() }).unwrap();
        let prefix = format!("group-{group}/");
        let mut request = ScanRequest { prefix: prefix.clone(), after: String::new(), limit };
        let mut scanned = Vec::new();
        for _ in 0..20 {
            let page = table.scan(&request);
            prop_assert!(page.rows.len() <= limit);
            scanned.extend(page.rows.into_iter().map(|row| row.key));
            if !page.more {
                break;
            }
            request.after = scanned.last().unwrap().clone();
        }
        let expected: Vec<_> = keys.into_iter().filter(|key| key.starts_with(&prefix)).collect();
        prop_assert_eq!(scanned, expected);
    }
}
