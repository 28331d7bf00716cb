//! Tests of the cache of recently written programs, and of the choice of its keeper.

use proptest::prelude::*;
use rosebend_coordination::gateway::batchers::PeerHost;
use rosebend_coordination::gateway::history::{ledger_row, partition_of};
use rosebend_coordination::gateway::recent_programs::{RecentPrograms, keeper};
use rosebend_state::deployment::{Row, RowId};

/// Returns a program's ledger at a version, and one row of a turn.
fn turn(program: &str, version: u64, bytes: usize) -> Vec<Row> {
    let ledger = ledger_row(program);
    let key = format!("{program}/t{version}/0000");
    let row = |id: RowId, value: Vec<u8>| Row {
        id,
        version,
        value: Some(value),
    };
    let piece = RowId::new(&ledger.table, &partition_of(program), key);
    vec![
        row(ledger, version.to_string().into_bytes()),
        row(piece, vec![0; bytes]),
    ]
}

#[test]
fn all_turns_and_the_newest_ledger_are_cached() {
    let mut recent = RecentPrograms::default();
    recent.add(turn("a", 5, 10));
    recent.add(turn("a", 6, 10));
    // Rows that arrive late have an older version.
    recent.add(turn("a", 4, 10));
    let rows = recent.rows("a");
    assert_eq!(rows.len(), 4);
    let ledger = rows.iter().find(|row| row.id == ledger_row("a")).unwrap();
    assert_eq!(
        (ledger.version, ledger.value.as_deref()),
        (6, Some(&b"6"[..]))
    );
    assert!(recent.has_turn("a", "t4"));
    assert!(!recent.has_turn("a", "t"));
    assert!(!recent.has_turn("b", "t4"));
}

#[test]
fn rows_of_other_tables_are_not_cached() {
    let mut recent = RecentPrograms::default();
    let row = Row {
        id: RowId::new("turns", "p00", "a/t1/0000".to_owned()),
        version: 1,
        value: Some(Vec::new()),
    };
    recent.add(vec![row]);
    assert_eq!(recent.rows("a"), []);
}

#[test]
fn programs_are_evicted_in_order_of_their_last_write() {
    let mut recent = RecentPrograms::default();
    for number in 1..=200 {
        recent.add(turn(&format!("p{number}"), number, 100_000));
        // This program is written after each of the others.
        recent.add(turn("lasting", number, 10));
    }
    assert_eq!(recent.rows("p1"), []);
    assert_eq!(recent.rows("p200").len(), 2);
    assert_eq!(recent.rows("lasting").len(), 201);
}

/// Each host must choose the same keeper for a program, and the keepers must share the load.
#[test]
fn partitions_are_distributed_over_the_hosts_of_a_zone() {
    let hosts: Vec<PeerHost<usize>> = (0..125)
        .map(|number| PeerHost {
            host: format!("host-{number}"),
            process: format!("host-{number}/1"),
            address: number,
            processor_milli: 500,
        })
        .collect();
    let programs = (0..1_000).map(|number| format!("program-{number}"));
    let keepers = programs.map(|program| keeper(&program, hosts.iter()).unwrap().address);
    let mut keepers: Vec<usize> = keepers.collect();
    keepers.sort_unstable();
    keepers.dedup();
    // All programs of a partition have one keeper, so there are at most 16.
    assert!(
        (12..=16).contains(&keepers.len()),
        "{} keepers",
        keepers.len()
    );
    let none: [PeerHost<usize>; 0] = [];
    assert!(keeper("program", none.iter()).is_none());
}

proptest! {
    #[test]
    fn the_cache_size_is_bounded(turns in prop::collection::vec((0..40_u64, 0..900_000_usize), 1..60)) {
        let mut recent = RecentPrograms::default();
        for (version, (program, bytes)) in turns.into_iter().enumerate() {
            recent.add(turn(&format!("p{program}"), version as u64 + 1, bytes));
            let rows = (0..40).flat_map(|program| recent.rows(&format!("p{program}")));
            let cached: usize = rows.filter_map(|row| Some(row.value?.len())).sum();
            prop_assert!(cached <= 8 << 20, "{cached} bytes");
        }
    }
}
