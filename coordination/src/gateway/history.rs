//! Completed turns, their rows in the store, and the prompts built from them.
//!
//! A turn is immutable. In memory, turns share their predecessors. In the store,
//! each turn is a record of one or more rows next to the ledger of its program. An
//! index row maps the turn to its program, for lookups of a turn whose program is
//! unknown.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::sync::Arc;

use rosebend_state::deployment::{
    AttemptId, EndpointIdentity, ProgramKey, Row, RowId, RowRange, RowWrite,
};
use rosebend_util::hash_parts;
use serde::{Deserialize, Serialize};

use crate::gateway::ledger::{Generation, Ledger};
use crate::gateway::pending_changes::{MAX_RECORD_BYTES, MAX_RECORD_ROWS};

/// Number of store partitions over which programs are distributed.
///
/// A partition applies its transactions one at a time, about 125 per second. Too few
/// partitions delay bursts; too many batch fewer changes into each transaction. With
/// bursty load, 6, 12, 16 and 48 partitions reached 0.01, 0.68, 0.70 and 0.57 of the
/// maximum score. The number determines in which partition a row is stored, so it
/// must not change while rows exist.
pub const PARTITIONS: u64 = 16;
/// Table of ledgers and turn records.
const PROGRAM_TABLE: &str = "programs";
/// Table that maps a turn to its program.
const INDEX_TABLE: &str = "turns";
/// Separator of program, turn and chunk number in a key. Ids do not contain it.
const SEPARATOR: char = '/';
/// The character that follows [`SEPARATOR`], which is the end of a program's key range.
const AFTER_SEPARATOR: char = '0';
/// Maximum length of a program key, in bytes: the longest id in a caller's header
/// and the prefix that identifies its customer.
const MAX_PROGRAM_BYTES: usize = 97;

/// A turn that an endpoint completed.
#[derive(Debug, Eq, PartialEq)]
pub struct Turn {
    /// Id of the attempt that produced the turn.
    pub attempt: AttemptId,
    /// Program that the turn belongs to.
    pub program: ProgramKey,
    /// Generation of the ledger with which the turn's rows are deleted, or none if an
    /// older version wrote them.
    pub generation: Option<Generation>,
    /// The turn that this one continues, or none for a first turn.
    pub previous: Option<Arc<Self>>,
    /// Input of the caller.
    pub input: Vec<u8>,
    /// Output of the endpoint, in the form that later prompts contain.
    pub output: Vec<u8>,
    /// Incarnation of the endpoint that ran the turn and may still have it in memory.
    /// Rows of older versions contain no start time and match no endpoint that reports
    /// one.
    pub endpoint: EndpointIdentity,
    /// Tokens of the prompt and the output, which that endpoint may have in memory.
    pub tokens: u64,
}

/// Header of a turn's record, a line of JSON before the input and the output.
#[derive(Deserialize, Serialize)]
struct TurnHeader {
    /// Null for a first turn. The field is mandatory, since a record that lost it would
    /// otherwise be read as a first turn.
    #[serde(deserialize_with = "Option::deserialize")]
    previous: Option<AttemptId>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    generation: Option<Generation>,
    endpoint: EndpointIdentity,
    tokens: u64,
    input_bytes: usize,
    output_bytes: usize,
}

/// An error in the rows of a program or a turn.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum HistoryError {
    /// A row does not have the format that this version writes, or a chain of turns
    /// contains a cycle.
    #[error("row or turn {0} is malformed")]
    Malformed(String),
    /// The requested turn, or a predecessor that a turn names, does not exist.
    #[error("turn {0} is missing")]
    Missing(AttemptId),
}

/// Returns the partition of a program.
pub fn partition_of(program: &str) -> String {
    partition_name(hash_parts(&[program.as_bytes()]) % PARTITIONS)
}

/// Returns the names of all partitions.
pub fn partitions() -> impl Iterator<Item = String> {
    (0..PARTITIONS).map(partition_name)
}

fn partition_name(number: u64) -> String {
    format!("p{number:02}")
}

/// Returns the id of the row that contains a program's ledger.
pub fn ledger_row(program: &str) -> RowId {
    let key = format!("{program}{SEPARATOR}");
    RowId::new(PROGRAM_TABLE, &partition_of(program), key)
}

/// Returns the range of a program's ledger and turn records.
pub fn program_range(program: &str) -> RowRange {
    RowRange {
        table: PROGRAM_TABLE.to_owned(),
        partition: partition_of(program),
        from: format!("{program}{SEPARATOR}"),
        to: Some(format!("{program}{AFTER_SEPARATOR}")),
    }
}

/// Returns the range that contains only a program's ledger.
pub fn ledger_range(program: &str) -> RowRange {
    RowRange {
        to: Some(format!("{program}{SEPARATOR}\u{1}")),
        ..program_range(program)
    }
}

/// Returns the range of all ledgers in a partition, which also contains turn records.
pub fn ledgers_range(partition: &str) -> RowRange {
    RowRange::whole(PROGRAM_TABLE, partition)
}

/// Returns the program whose ledger a row contains, or none for any other row.
pub fn program_of_ledger(row: &Row) -> Option<&str> {
    let program = program_of(&row.id)?;
    (program.len() + SEPARATOR.len_utf8() == row.id.key.len()).then_some(program)
}

/// Returns the program whose ledger or turn record a row belongs to.
pub fn program_of(row: &RowId) -> Option<&str> {
    let (program, _) = row.key.split_once(SEPARATOR)?;
    (row.table == PROGRAM_TABLE).then_some(program)
}

/// Returns whether a row is a chunk of the record of a program's turn.
pub fn belongs_to_turn(row: &RowId, program: &str, attempt: &str) -> bool {
    let rest = row.key.strip_prefix(program);
    let rest = rest.and_then(|rest| rest.strip_prefix(SEPARATOR));
    let turn = rest.and_then(|rest| rest.split_once(SEPARATOR));
    row.table == PROGRAM_TABLE && turn.is_some_and(|(turn, _)| turn == attempt)
}

/// Returns the range of the index row of a turn, if its program is in the given
/// partition.
pub fn index_range(partition: String, attempt: &str) -> RowRange {
    RowRange {
        table: INDEX_TABLE.to_owned(),
        partition,
        from: attempt.to_owned(),
        to: Some(format!("{attempt}\u{1}")),
    }
}

/// Returns the program that an index row names, or none if the value is not a valid
/// id. Such a value could address rows of other programs.
pub fn indexed_program(row: &Row) -> Option<ProgramKey> {
    let program = String::from_utf8(row.value.clone()?).ok()?;
    let is_allowed = |byte: u8| byte.is_ascii_graphic() && byte != SEPARATOR as u8;
    let is_id = (1..=MAX_PROGRAM_BYTES).contains(&program.len());
    (is_id && program.bytes().all(is_allowed)).then_some(program)
}

impl Turn {
    /// Returns this turn and all its predecessors, the newest first.
    pub fn chain(&self) -> impl Iterator<Item = &Self> {
        std::iter::successors(Some(self), |turn| turn.previous.as_deref())
    }

    /// Returns the prompt of a turn that continues this one with `input`: the inputs
    /// and outputs of all turns from the oldest on, followed by the new input.
    pub fn prompt(&self, input: &[u8]) -> Vec<u8> {
        let mut turns: Vec<&Self> = self.chain().collect();
        turns.reverse();
        let bytes: usize = turns.iter().map(|turn| turn.bytes()).sum();
        let mut prompt = Vec::with_capacity(bytes + input.len());
        for turn in turns {
            prompt.extend_from_slice(&turn.input);
            prompt.extend_from_slice(&turn.output);
        }
        prompt.extend_from_slice(input);
        prompt
    }

    /// Returns the size of the input and the output.
    pub fn bytes(&self) -> usize {
        self.input.len() + self.output.len()
    }

    /// Returns whether the turn's record may not fit into one transaction.
    pub fn is_large(&self) -> bool {
        self.bytes() > MAX_RECORD_BYTES / 2
    }

    /// Returns the rows that make the turn durable: its record, split into chunks of at
    /// most `row_bytes`, and its index row.
    ///
    /// # Panics
    ///
    /// Panics if the header cannot be encoded as JSON. That cannot happen, since it
    /// consists of strings and numbers.
    pub fn rows(&self, row_bytes: usize) -> Vec<RowWrite> {
        let header = TurnHeader {
            previous: self.previous.as_ref().map(|turn| turn.attempt.clone()),
            generation: self.generation,
            endpoint: self.endpoint.clone(),
            tokens: self.tokens,
            input_bytes: self.input.len(),
            output_bytes: self.output.len(),
        };
        let mut record = serde_json::to_vec(&header).expect("a header is always encodable as JSON");
        record.push(b'\n');
        record.extend_from_slice(&self.input);
        record.extend_from_slice(&self.output);
        let partition = partition_of(&self.program);
        let numbered_chunks = record.chunks(row_bytes.max(1)).enumerate();
        let chunk = |(number, value): (usize, &[u8])| RowWrite {
            row: RowId::new(PROGRAM_TABLE, &partition, self.chunk_key(number)),
            value: value.to_vec(),
        };
        let mut rows: Vec<RowWrite> = numbered_chunks.map(chunk).collect();
        rows.push(RowWrite {
            row: RowId::new(INDEX_TABLE, &partition, self.attempt.clone()),
            value: self.program.clone().into_bytes(),
        });
        rows
    }

    fn chunk_key(&self, number: usize) -> String {
        format!(
            "{}{SEPARATOR}{}{SEPARATOR}{}",
            self.program,
            self.attempt,
            format_chunk_number(number)
        )
    }
}

/// The rows of a turn's record, as far as they fit into one transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SplitRecord {
    /// Rows that are written before the others, each group in a transaction of its own.
    /// They are no record without the others.
    pub leading: Vec<Vec<RowWrite>>,
    /// Rows that are written together with the program's ledger: all of them if they fit,
    /// or the chunk that contains the header, and the index row.
    pub last: Vec<RowWrite>,
}

/// Splits the rows of a turn, as [`Turn::rows`] returns them, into transactions within the
/// limits of the store.
pub fn split_record(mut rows: Vec<RowWrite>) -> SplitRecord {
    let bytes: usize = rows.iter().map(RowWrite::max_encoded_bytes).sum();
    if rows.len() <= MAX_RECORD_ROWS && bytes <= MAX_RECORD_BYTES {
        return SplitRecord {
            leading: Vec::new(),
            last: rows,
        };
    }
    let index_row = rows.split_off(rows.len().saturating_sub(1));
    let mut chunks = rows.into_iter();
    let last = chunks.by_ref().take(1).chain(index_row).collect();
    let mut leading: Vec<Vec<RowWrite>> = Vec::new();
    let mut group_bytes = 0;
    for chunk in chunks {
        let chunk_bytes = chunk.max_encoded_bytes();
        match leading.last_mut() {
            Some(group)
                if group.len() < MAX_RECORD_ROWS
                    && group_bytes + chunk_bytes <= MAX_RECORD_BYTES =>
            {
                group.push(chunk);
                group_bytes += chunk_bytes;
            }
            _ => {
                leading.push(vec![chunk]);
                group_bytes = chunk_bytes;
            }
        }
    }
    SplitRecord { leading, last }
}

impl Drop for Turn {
    /// Drops the chain of predecessors iteratively. A recursive drop needs a stack frame
    /// for each turn and overflows the stack on a long chain.
    fn drop(&mut self) {
        let mut next = self.previous.take();
        while let Some(turn) = next {
            // A turn with other references stays alive, and so do its predecessors.
            next = Arc::into_inner(turn).and_then(|mut turn| turn.previous.take());
        }
    }
}

/// The chunks of a turn's record that were read.
#[derive(Debug, Default)]
struct Record {
    /// Values by chunk number.
    chunk_values: BTreeMap<usize, Vec<u8>>,
    /// Whether a row of the record is not a valid chunk, or a chunk occurs twice.
    is_malformed: bool,
}

impl Record {
    fn add(&mut self, number: Option<usize>, value: Option<&Vec<u8>>) {
        let (Some(number), Some(value)) = (number, value) else {
            self.is_malformed = true;
            return;
        };
        let before = self.chunk_values.insert(number, value.clone());
        self.is_malformed |= before.is_some();
    }

    /// Returns the whole record, or none if it is malformed or a chunk before the last
    /// one is missing. The order of the rows does not matter.
    fn bytes(&self) -> Option<Vec<u8>> {
        let is_gapless = self
            .chunk_values
            .keys()
            .copied()
            .eq(0..self.chunk_values.len());
        let slices: Vec<&[u8]> = self.chunk_values.values().map(Vec::as_slice).collect();
        (is_gapless && !self.is_malformed).then(|| slices.concat())
    }
}

/// Parses a chunk number. Accepts only the format that this version writes, so that no
/// two texts denote the same number.
fn chunk_number(text: &str) -> Option<usize> {
    let number = text.parse().ok()?;
    (format_chunk_number(number) == text).then_some(number)
}

fn format_chunk_number(number: usize) -> String {
    format!("{number:04}")
}

/// The ledger and the turn records of a program, as read from its rows.
#[derive(Debug, Default)]
pub struct StoredProgram {
    /// Version of the ledger's row, or zero if there is none.
    pub ledger_version: u64,
    /// Ledger of the program.
    pub ledger: Ledger,
    /// Records of turns, by attempt.
    records: HashMap<AttemptId, Record>,
}

impl StoredProgram {
    /// Reads the rows of a program's range, in any order. A malformed turn does not fail
    /// the others: it counts as present, and the error is returned when it is requested.
    ///
    /// # Errors
    ///
    /// Returns an error if the ledger cannot be decoded, since the spent tokens are
    /// unknown then.
    pub fn from_rows(program: &str, rows: &[Row]) -> Result<Self, HistoryError> {
        let mut stored = Self::default();
        for row in rows {
            stored.add(program, row)?;
        }
        Ok(stored)
    }

    fn add(&mut self, program: &str, row: &Row) -> Result<(), HistoryError> {
        let rest = row.id.key.strip_prefix(program);
        let Some(rest) = rest.and_then(|rest| rest.strip_prefix(SEPARATOR)) else {
            // The row belongs to another program.
            return Ok(());
        };
        if rest.is_empty() {
            return self.decode_ledger(row);
        }
        let (attempt, number) = rest.split_once(SEPARATOR).unwrap_or((rest, ""));
        let record = self.records.entry(attempt.to_owned()).or_default();
        record.add(chunk_number(number), row.value.as_ref());
        Ok(())
    }

    fn decode_ledger(&mut self, row: &Row) -> Result<(), HistoryError> {
        let malformed = || HistoryError::Malformed(row.id.key.clone());
        let value = row.value.as_ref().ok_or_else(malformed)?;
        self.ledger = Ledger::decode(value).map_err(|_| malformed())?;
        self.ledger_version = row.version;
        Ok(())
    }

    /// Returns whether the program has a turn of this attempt, even if it is malformed.
    pub fn has_turn(&self, attempt: &str) -> bool {
        self.records.contains_key(attempt)
    }

    /// Returns whether the rows of a turn are no longer kept: the ledger with which they are
    /// deleted does not exist any more.
    pub fn has_expired(&self, attempt: &str) -> bool {
        if self.ledger_version == 0 {
            return true;
        }
        let header = self.record(attempt).map(|(header, _, _)| header);
        header.is_ok_and(|header| header.generation != self.ledger.generation())
    }

    /// Returns a turn with its chain of predecessors, which ends at the first turn that
    /// `cache` contains.
    ///
    /// # Errors
    ///
    /// Returns an error that names the turn if one of the chain is missing or malformed.
    pub fn turn(
        &self,
        program: &str,
        attempt: &str,
        cache: &TurnCache,
    ) -> Result<Arc<Turn>, HistoryError> {
        let mut pending = Vec::new();
        let mut seen = HashSet::new();
        let mut next = Some(attempt.to_owned());
        let mut previous = None;
        while let Some(attempt) = next {
            if !seen.insert(attempt.clone()) {
                return Err(HistoryError::Malformed(attempt));
            }
            if let Some(turn) = cache.get(&attempt) {
                previous = Some(turn);
                break;
            }
            let (header, input, output) = self.record(&attempt)?;
            next = header.previous.clone();
            pending.push((attempt, header, input, output));
        }
        for (attempt, header, input, output) in pending.into_iter().rev() {
            previous = Some(Arc::new(Turn {
                attempt,
                program: program.to_owned(),
                generation: header.generation,
                previous,
                input,
                output,
                endpoint: header.endpoint,
                tokens: header.tokens,
            }));
        }
        previous.ok_or_else(|| HistoryError::Missing(attempt.to_owned()))
    }

    fn record(&self, attempt: &str) -> Result<(TurnHeader, Vec<u8>, Vec<u8>), HistoryError> {
        let missing = || HistoryError::Missing(attempt.to_owned());
        let malformed = || HistoryError::Malformed(attempt.to_owned());
        let record = self.records.get(attempt).ok_or_else(missing)?;
        let record = record.bytes().ok_or_else(malformed)?;
        let end = record
            .iter()
            .position(|byte| *byte == b'\n')
            .ok_or_else(malformed)?;
        let header: TurnHeader = serde_json::from_slice(&record[..end]).map_err(|_| malformed())?;
        let bytes = &record[end + 1..];
        let declared_bytes = header.input_bytes.checked_add(header.output_bytes);
        if declared_bytes != Some(bytes.len()) {
            return Err(malformed());
        }
        let (input, output) = bytes.split_at(header.input_bytes);
        let (input, output) = (input.to_vec(), output.to_vec());
        Ok((header, input, output))
    }
}

/// A bounded cache of turns. The turns that were inserted first are evicted first.
#[derive(Debug)]
pub struct TurnCache {
    turns: HashMap<AttemptId, Arc<Turn>>,
    order: VecDeque<AttemptId>,
    bytes: usize,
    max_bytes: usize,
}

impl TurnCache {
    /// Creates an empty cache for at most `max_bytes` of inputs and outputs.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            turns: HashMap::new(),
            order: VecDeque::new(),
            bytes: 0,
            max_bytes,
        }
    }

    /// Returns a turn, if it is cached.
    pub fn get(&self, attempt: &str) -> Option<Arc<Turn>> {
        self.turns.get(attempt).cloned()
    }

    /// Inserts a durable turn, and evicts others if the cache exceeds its size.
    pub fn insert(&mut self, turn: Arc<Turn>) {
        if self.turns.contains_key(&turn.attempt) {
            return;
        }
        self.bytes += turn.bytes();
        self.order.push_back(turn.attempt.clone());
        self.turns.insert(turn.attempt.clone(), turn);
        while self.bytes > self.max_bytes {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            if let Some(turn) = self.turns.remove(&oldest) {
                self.bytes -= turn.bytes();
            }
        }
    }
}
