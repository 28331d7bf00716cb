//! A cache of recently written programs, with their ledgers and turns.
//!
//! A turn that arrives at another host than its predecessor needs the history of its
//! program. In each availability zone, one host caches the programs of a partition for the
//! other hosts, which saves them a read of the store. This host is the keeper of the
//! partition. Programs that are not cached are read from the store.
//!
//! The cache contains only durable rows. They may be outdated, which is harmless: a ledger is
//! written only if its row still has the version that was read, and turns are immutable.

use std::collections::{BTreeMap, HashMap};

use rosebend_state::deployment::{ProgramKey, Row, RowId};

use crate::gateway::batchers::{PeerHost, rank_hosts};
use crate::gateway::history::{belongs_to_turn, partition_of, program_of};

/// Maximum size of the cache, in bytes of keys and values. It holds the programs of a few
/// seconds at several hundred turns per second.
const MAX_BYTES: usize = 8 << 20;

/// The rows of the programs that were written last.
#[derive(Debug, Default)]
pub struct RecentPrograms {
    programs: HashMap<ProgramKey, CachedProgram>,
    /// Programs by the sequence number of their last write. The first are evicted first.
    by_last_write: BTreeMap<u64, ProgramKey>,
    /// Sequence number of the last write to any program.
    last_sequence: u64,
    /// Size of all cached rows.
    bytes: usize,
}

/// The cached rows of one program.
#[derive(Debug, Default)]
struct CachedProgram {
    rows: BTreeMap<RowId, Row>,
    /// Sequence number of the last write to this program.
    sequence: u64,
    /// Size of the rows.
    bytes: usize,
}

impl RecentPrograms {
    /// Adds durable rows, and evicts programs if the cache exceeds its size. A row with an
    /// older version than the cached one is ignored, and so are rows of other tables.
    pub fn add(&mut self, rows: Vec<Row>) {
        for row in rows {
            if let Some(program) = program_of(&row.id) {
                self.add_row(program.to_owned(), row);
            }
        }
        while self.bytes > MAX_BYTES {
            let Some((_, oldest)) = self.by_last_write.pop_first() else {
                return;
            };
            self.evict(&oldest);
        }
    }

    fn add_row(&mut self, program: ProgramKey, row: Row) {
        self.last_sequence += 1;
        let cached = self.programs.entry(program.clone()).or_default();
        self.by_last_write.remove(&cached.sequence);
        cached.sequence = self.last_sequence;
        self.by_last_write.insert(self.last_sequence, program);
        let is_newer = |existing: &Row| existing.version <= row.version;
        if cached.rows.get(&row.id).is_none_or(is_newer) {
            let added = bytes_of(&row);
            let removed = cached.rows.insert(row.id.clone(), row);
            let removed = removed.as_ref().map_or(0, bytes_of);
            cached.bytes = cached.bytes + added - removed;
            self.bytes = self.bytes + added - removed;
        }
    }

    fn evict(&mut self, program: &ProgramKey) {
        if let Some(cached) = self.programs.remove(program) {
            self.by_last_write.remove(&cached.sequence);
            self.bytes -= cached.bytes;
        }
    }

    /// Returns whether a row of a program's turn is cached.
    pub fn has_turn(&self, program: &str, attempt: &str) -> bool {
        let cached = self.programs.get(program);
        let mut rows = cached.into_iter().flat_map(|cached| cached.rows.keys());
        rows.any(|row| belongs_to_turn(row, program, attempt))
    }

    /// Returns the cached rows of a program.
    pub fn rows(&self, program: &str) -> Vec<Row> {
        let cached = self.programs.get(program);
        let rows = cached.into_iter().flat_map(|cached| cached.rows.values());
        rows.cloned().collect()
    }
}

/// Returns the keeper of a program among the hosts of an availability zone, or none if there
/// are no hosts. The programs of one partition have the same keeper.
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
