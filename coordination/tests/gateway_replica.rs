//! A table that hosts know from each other: whoever told it, it becomes what the store
//! has, and it never goes back.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use rosebend_coordination::gateway::replica::{TableChanges, TableReplica};
use rosebend_state::deployment::{Row, RowId, RowVersion};

const NOW: Duration = Duration::from_secs(1);

/// A value is what matters of a row, and a count of heartbeats.
fn row(key: u8, matter: u8, beat: u8, version: RowVersion) -> Row {
    Row {
        id: RowId::new("t", "", key.to_string()),
        version,
        value: Some(vec![matter, beat]),
    }
}

fn is_same(known: &Row, row: &Row) -> bool {
    let matter = |row: &Row| row.value.as_ref().map(|value| value[0]);
    matter(known) == matter(row)
}

/// A table of the store, with all of its history.
#[derive(Debug, Default)]
struct Table {
    rows: BTreeMap<u8, Row>,
    /// Each key's last change.
    changes: BTreeMap<u8, Row>,
    version: RowVersion,
}

impl Table {
    fn set(&mut self, key: u8, matter: u8, beat: u8) {
        self.version += 1;
        let row = row(key, matter, beat, self.version);
        self.rows.insert(key, row.clone());
        self.changes.insert(key, row);
    }

    fn delete(&mut self, key: u8) {
        if let Some(row) = self.rows.remove(&key) {
            self.version += 1;
            // Stores may tell the version of the last write.
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

    fn news_for(&self, replica: &TableReplica) -> TableChanges {
        replica
            .version()
            .map_or_else(|| self.whole(), |after| self.after(after))
    }

    /// What matters of each row.
    fn matters(&self) -> BTreeMap<String, u8> {
        matters(&self.whole())
    }
}

fn matters(news: &TableChanges) -> BTreeMap<String, u8> {
    let rows = news.rows.iter();
    rows.map(|row| (row.id.key.clone(), row.value.as_ref().unwrap()[0]))
        .collect()
}

/// All rows that a replica would tell to who knows nothing.
fn known(replica: &TableReplica) -> BTreeMap<String, u8> {
    matters(&replica.changes_after(None).unwrap())
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Set(u8, u8, u8),
    Delete(u8),
    /// A reader hears what changed.
    Feed(usize),
    /// A reader reads all of the table, since the store has dropped its history.
    Read(usize),
    /// The follower asks a reader.
    Follow(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..6_u8, 0..3_u8, any::<u8>())
            .prop_map(|(key, matter, beat)| Step::Set(key, matter, beat)),
        (0..6_u8).prop_map(Step::Delete),
        (0..2_usize).prop_map(Step::Feed),
        (0..2_usize).prop_map(Step::Read),
        (0..2_usize).prop_map(Step::Follow),
    ]
}

fn follow(follower: &mut TableReplica, reader: &TableReplica) {
    let news = reader.changes_after(follower.version());
    let has_news = news
        .as_ref()
        .is_some_and(|news| news.is_whole || !news.rows.is_empty());
    assert_eq!(reader.has_changes_after(follower.version()), has_news);
    if let Some(news) = news {
        let before = follower.version();
        let is_applied = follower.apply(&news, NOW, is_same);
        assert_eq!(
            is_applied,
            before.is_none_or(|before| news.version >= before)
        );
    }
}

proptest! {
    #[test]
    fn a_follower_of_several_hosts_comes_to_know_what_the_store_has(
        steps in prop::collection::vec(step(), 0..120),
    ) {
        let mut table = Table::default();
        let mut readers = [TableReplica::default(), TableReplica::default()];
        let mut follower = TableReplica::default();
        for step in steps {
            let before = follower.version();
            match step {
                Step::Set(key, matter, beat) => table.set(key, matter, beat),
                Step::Delete(key) => table.delete(key),
                Step::Feed(index) => {
                    let news = table.news_for(&readers[index]);
                    readers[index].apply(&news, NOW, is_same);
                }
                Step::Read(index) => {
                    readers[index].apply(&table.whole(), NOW, is_same);
                }
                Step::Follow(index) => follow(&mut follower, &readers[index]),
            }
            prop_assert!(follower.version() >= before);
        }
        for reader in &mut readers {
            let news = table.news_for(reader);
            reader.apply(&news, NOW, is_same);
            prop_assert_eq!(known(reader), table.matters());
            follow(&mut follower, reader);
            prop_assert_eq!(known(&follower), table.matters());
        }
    }
}

#[test]
fn a_heartbeat_is_told_to_nobody() {
    let mut table = Table::default();
    table.set(1, 7, 0);
    let mut reader = TableReplica::default();
    reader.apply(&table.whole(), NOW, is_same);
    let after = reader.version();
    for beat in 1..100 {
        table.set(1, 7, beat);
        let news = table.news_for(&reader);
        reader.apply(&news, NOW, is_same);
    }
    let news = reader.changes_after(after).unwrap();
    assert_eq!((news.rows.len(), news.version), (0, 100));
    table.set(1, 8, 0);
    let news = table.news_for(&reader);
    reader.apply(&news, NOW, is_same);
    assert_eq!(reader.changes_after(after).unwrap().rows.len(), 1);
}

#[test]
fn who_missed_more_deletions_than_are_remembered_is_told_all() {
    let version = |version: u32| RowVersion::from(version);
    let rows = (0..2_000_u32).map(|key| Row {
        id: RowId::new("t", "", key.to_string()),
        version: 1,
        value: Some(vec![1, 1]),
    });
    let mut reader = TableReplica::default();
    let news = TableChanges {
        is_whole: true,
        version: 1,
        rows: rows.collect(),
    };
    reader.apply(&news, NOW, is_same);
    for key in 0..1_500_u32 {
        let deleted = Row {
            id: RowId::new("t", "", key.to_string()),
            version: 0,
            value: None,
        };
        let news = TableChanges {
            is_whole: false,
            version: version(key) + 2,
            rows: vec![deleted],
        };
        reader.apply(&news, NOW, is_same);
    }
    let all = reader.changes_after(Some(1)).unwrap();
    assert_eq!((all.is_whole, all.rows.len()), (true, 500));
    let last = reader.changes_after(Some(1_500)).unwrap();
    assert_eq!((last.is_whole, last.rows.len()), (false, 1));
}

#[test]
fn who_heard_from_elsewhere_meanwhile_is_told_all() {
    let mut table = Table::default();
    let mut slow = TableReplica::default();
    let mut quick = TableReplica::default();
    table.set(1, 7, 0);
    slow.apply(&table.whole(), NOW, is_same);
    table.set(1, 8, 0);
    quick.apply(&table.whole(), NOW, is_same);
    table.set(1, 7, 0);
    let news = table.news_for(&slow);
    slow.apply(&news, NOW, is_same);
    // For the slow one nothing has changed; the quick one's follower knows better.
    let news = slow.changes_after(quick.version()).unwrap();
    assert!(news.is_whole);
    // One that is ahead is told nothing until it is not.
    table.set(1, 9, 0);
    quick.apply(&table.whole(), NOW, is_same);
    let news = slow.changes_after(quick.version()).unwrap();
    assert_eq!((news.is_whole, news.rows.len()), (false, 0));
}

#[test]
fn the_age_of_a_table_is_that_of_the_store_s_word() {
    let mut replica = TableReplica::default();
    assert_eq!(replica.age(NOW), None);
    let at = |seconds| Duration::from_secs(seconds);
    let news = |version| TableChanges {
        version,
        ..TableChanges::default()
    };
    replica.apply(&news(5), at(10), is_same);
    assert_eq!(replica.age(at(12)), Some(at(2)));
    // A host that lags behind does not make it younger.
    assert!(!replica.apply(&news(4), at(12), is_same));
    assert_eq!(replica.age(at(12)), Some(at(2)));
    // One that heard of this version earlier does not make it older.
    replica.apply(&news(5), at(9), is_same);
    assert_eq!(replica.age(at(12)), Some(at(2)));
}
