//! Programs that were written lately, with their ledgers and turns.
//!
//! A turn that comes to another host than the one before needs its program's history. In
//! each availability zone one host keeps that of a partition's programs for the others, so
//! that they need not read the store. All that is kept is durable, and it may be old: a ledger
//! is written under the version at which it is known, and a turn never changes. What is not
//! kept is read from the store.

use std::collections::{BTreeMap, HashMap};

use rosebend_state::deployment::{ProgramKey, Row, RowId};

use crate::gateway::batchers::{PeerHost, rank_hosts};
use crate::gateway::history::{is_of_turn, partition_of, program_of};

/// Most bytes that are kept: the programs of some seconds at several hundred turns a second.
const MAX_BYTES: usize = 8 << 20;

/// The rows of programs that were written last.
#[derive(Debug, Default)]
pub struct RecentPrograms {
    programs: HashMap<ProgramKey, Written>,
    /// Programs by when they were last written; the first yield.
    order: BTreeMap<u64, ProgramKey>,
    next_place: u64,
    bytes: usize,
}

#[derive(Debug, Default)]
struct Written {
    rows: BTreeMap<RowId, Row>,
    place: u64,
    bytes: usize,
}

impl RecentPrograms {
    /// Takes note of rows that are durable.
    pub fn note(&mut self, rows: Vec<Row>) {
        for row in rows {
            if let Some(program) = program_of(&row.id) {
                self.note_row(program.to_owned(), row);
            }
        }
        while self.bytes > MAX_BYTES {
            let Some((_, oldest)) = self.order.pop_first() else {
                return;
            };
            self.forget(&oldest);
        }
    }

    fn note_row(&mut self, program: ProgramKey, row: Row) {
        self.next_place += 1;
        let written = self.programs.entry(program.clone()).or_default();
        self.order.remove(&written.place);
        written.place = self.next_place;
        self.order.insert(self.next_place, program);
        let is_newer = |known: &Row| known.version <= row.version;
        if written.rows.get(&row.id).is_none_or(is_newer) {
            let added = bytes_of(&row);
            let removed = written.rows.insert(row.id.clone(), row);
            let removed = removed.as_ref().map_or(0, bytes_of);
            written.bytes = written.bytes + added - removed;
            self.bytes = self.bytes + added - removed;
        }
    }

    fn forget(&mut self, program: &ProgramKey) {
        if let Some(written) = self.programs.remove(program) {
            self.order.remove(&written.place);
            self.bytes -= written.bytes;
        }
    }

    /// Whether a turn of a program is kept.
    pub fn has_turn(&self, program: &str, attempt: &str) -> bool {
        let written = self.programs.get(program);
        let mut rows = written.into_iter().flat_map(|written| written.rows.keys());
        rows.any(|row| is_of_turn(row, program, attempt))
    }

    /// The rows of a program, as far as they are kept.
    pub fn rows(&self, program: &str) -> Vec<Row> {
        let written = self.programs.get(program);
        let rows = written
            .into_iter()
            .flat_map(|written| written.rows.values());
        rows.cloned().collect()
    }
}

/// The host of an availability zone that keeps a program's history for the others.
pub fn keeper<'a, A>(
    program: &str,
    hosts: impl Iterator<Item = &'a PeerHost<A>>,
) -> Option<&'a PeerHost<A>> {
    let work = format!("history/{}", partition_of(program));
    rank_hosts(&work, hosts).into_iter().next()
}

fn bytes_of(row: &Row) -> usize {
    row.id.key.len() + row.value.as_ref().map_or(0, Vec::len)
}
