//! Tests of the table replica: whichever hosts a replica receives changes from, it becomes
//! equal to the table of the store, and its version never decreases.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use rosebend_coordination::gateway::replica::{TableChanges, TableReplica};
use rosebend_state::deployment::{Row, RowId, RowVersion};

const NOW: Duration = Duration::from_secs(1);

/// Returns a row whose value is a payload and a heartbeat count.
fn row(key: u8, payload: u8, heartbeat: u8, version: RowVersion) -> Row {
    Row {
        id: RowId::new("t", "", key.to_string()),
        version,
        value: Some(vec![payload, heartbeat]),
    }
}

fn is_same(known: &Row, row: &Row) -> bool {
    let payload = |row: &Row| row.value.as_ref().map(|value| value[0]);
    payload(known) == payload(row)
}

/// A table of the store with the last change of each key.
#[derive(Debug, Default)]
struct Table {
    rows: BTreeMap<u8, Row>,
    /// The last change of each key, which may be a deletion.
    changes: BTreeMap<u8, Row>,
    version: RowVersion,
}

impl Table {
    fn set(&mut self, key: u8, payload: u8, heartbeat: u8) {
        self.version += 1;
        let row = row(key, payload, heartbeat, self.version);
        self.rows.insert(key, row.clone());
        self.changes.insert(key, row);
    }

    fn delete(&mut self, key: u8) {
        if let Some(row) = self.rows.remove(&key) {
            self.version += 1;
            // A store may return a deleted row with the version of its last write.
            let tombstone = Row { value: None, ..row };
            self.changes.insert(key, tombstone);
            self.changes.get_mut(&key).unwrap().version = self.version;
        }
    }

    fn whole(&self) -> TableChanges {
        TableChanges {
            is_whole: true,
            version: self.version,
            rows: self.rows.values().cloned().collect(),
        }
    }

    fn after(&self, after: RowVersion) -> TableChanges {
        let changed = self.changes.values().filter(|row| row.version > after);
        let mut rows: Vec<Row> = changed.cloned().collect();
        rows.sort_by_key(|row| row.version);
        TableChanges {
            is_whole: false,
            version: self.version,
            rows,
        }
    }

    fn update_for(&self, replica: &TableReplica) -> TableChanges {
        replica
            .version()
            .map_or_else(|| self.whole(), |after| self.after(after))
    }

    /// Returns the payload of each row.
    fn payloads(&self) -> BTreeMap<String, u8> {
        payloads(&self.whole())
    }
}

fn payloads(update: &TableChanges) -> BTreeMap<String, u8> {
    let rows = update.rows.iter();
    rows.map(|row| (row.id.key.clone(), row.value.as_ref().unwrap()[0]))
        .collect()
}

/// Returns the payloads of all rows that a replica sends to a follower without a version.
fn replicated(replica: &TableReplica) -> BTreeMap<String, u8> {
    payloads(&replica.changes_after(None).unwrap())
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Set(u8, u8, u8),
    Delete(u8),
    /// A reader receives the changes from the store.
    Feed(usize),
    /// A reader reads the whole table, since the store has dropped its history.
    Read(usize),
    /// The follower requests the changes from a reader.
    Follow(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..6_u8, 0..3_u8, any::<u8>())
            .prop_map(|(key, payload, heartbeat)| Step::Set(key, payload, heartbeat)),
        (0..6_u8).prop_map(Step::Delete),
        (0..2_usize).prop_map(Step::Feed),
        (0..2_usize).prop_map(Step::Read),
        (0..2_usize).prop_map(Step::Follow),
    ]
}

fn follow(follower: &mut TableReplica, reader: &TableReplica) {
    let update = reader.changes_after(follower.version());
    let has_update = update
        .as_ref()
        .is_some_and(|update| update.is_whole || !update.rows.is_empty());
    assert_eq!(reader.has_changes_after(follower.version()), has_update);
    if let Some(update) = update {
        let before = follower.version();
        let is_applied = follower.apply(&update, NOW, is_same);
        assert_eq!(
            is_applied,
            before.is_none_or(|before| update.version >= before)
        );
    }
}

proptest! {
    #[test]
    fn a_follower_of_several_hosts_becomes_equal_to_the_store(
        steps in prop::collection::vec(step(), 0..120),
    ) {
        let mut table = Table::default();
        let mut readers = [TableReplica::default(), TableReplica::default()];
        let mut follower = TableReplica::default();
        for step in steps {
            let before = follower.version();
            match step {
                Step::Set(key, payload, heartbeat) => table.set(key, payload, heartbeat),
                Step::Delete(key) => table.delete(key),
                Step::Feed(index) => {
                    let update = table.update_for(&readers[index]);
                    readers[index].apply(&update, NOW, is_same);
                }
                Step::Read(index) => {
                    readers[index].apply(&table.whole(), NOW, is_same);
                }
                Step::Follow(index) => follow(&mut follower, &readers[index]),
            }
            prop_assert!(follower.version() >= before);
        }
        for reader in &mut readers {
            let update = table.update_for(reader);
            reader.apply(&update, NOW, is_same);
            prop_assert_eq!(replicated(reader), table.payloads());
            follow(&mut follower, reader);
            prop_assert_eq!(replicated(&follower), table.payloads());
        }
    }
}

#[test]
fn a_heartbeat_is_not_sent_to_followers() {
    let mut table = Table::default();
    table.set(1, 7, 0);
    let mut reader = TableReplica::default();
    reader.apply(&table.whole(), NOW, is_same);
    let after = reader.version();
    for heartbeat in 1..100 {
        table.set(1, 7, heartbeat);
        let update = table.update_for(&reader);
        reader.apply(&update, NOW, is_same);
    }
    let update = reader.changes_after(after).unwrap();
    assert_eq!((update.rows.len(), update.version), (0, 100));
    table.set(1, 8, 0);
    let update = table.update_for(&reader);
    reader.apply(&update, NOW, is_same);
    assert_eq!(reader.changes_after(after).unwrap().rows.len(), 1);
}

#[test]
fn a_follower_that_missed_too_many_deletions_receives_the_whole_table() {
    let version = |version: u32| RowVersion::from(version);
    let rows = (0..2_000_u32).map(|key| Row {
        id: RowId::new("t", "", key.to_string()),
        version: 1,
        value: Some(vec![1, 1]),
    });
    let mut reader = TableReplica::default();
    let update = TableChanges {
        is_whole: true,
        version: 1,
        rows: rows.collect(),
    };
    reader.apply(&update, NOW, is_same);
    for key in 0..1_500_u32 {
        let deleted = Row {
            id: RowId::new("t", "", key.to_string()),
            version: 0,
            value: None,
        };
        let update = TableChanges {
            is_whole: false,
            version: version(key) + 2,
            rows: vec![deleted],
        };
        reader.apply(&update, NOW, is_same);
    }
    let all = reader.changes_after(Some(1)).unwrap();
    assert_eq!((all.is_whole, all.rows.len()), (true, 500));
    let last = reader.changes_after(Some(1_500)).unwrap();
    assert_eq!((last.is_whole, last.rows.len()), (false, 1));
}

#[test]
fn a_follower_with_a_version_of_another_host_receives_the_whole_table() {
    let mut table = Table::default();
    let mut slow = TableReplica::default();
    let mut quick = TableReplica::default();
    table.set(1, 7, 0);
    slow.apply(&table.whole(), NOW, is_same);
    table.set(1, 8, 0);
    quick.apply(&table.whole(), NOW, is_same);
    table.set(1, 7, 0);
    let update = table.update_for(&slow);
    slow.apply(&update, NOW, is_same);
    // The slow replica has received no change of the row, but a follower of the quick one
    // has the value that was reverted.
    let update = slow.changes_after(quick.version()).unwrap();
    assert!(update.is_whole);
    // A follower that is ahead receives no rows until the replica has caught up.
    table.set(1, 9, 0);
    quick.apply(&table.whole(), NOW, is_same);
    let update = slow.changes_after(quick.version()).unwrap();
    assert_eq!((update.is_whole, update.rows.len()), (false, 0));
}

#[test]
fn the_age_of_a_table_is_the_time_since_the_store_had_nothing_newer() {
    let mut replica = TableReplica::default();
    assert_eq!(replica.age(NOW), None);
    let at = |seconds| Duration::from_secs(seconds);
    let update = |version| TableChanges {
        version,
        ..TableChanges::default()
    };
    replica.apply(&update(5), at(10), is_same);
    assert_eq!(replica.age(at(12)), Some(at(2)));
    // An update of an older version does not decrease the age.
    assert!(!replica.apply(&update(4), at(12), is_same));
    assert_eq!(replica.age(at(12)), Some(at(2)));
    // An update that was current at an earlier time does not increase the age.
    replica.apply(&update(5), at(9), is_same);
    assert_eq!(replica.age(at(12)), Some(at(2)));
}
