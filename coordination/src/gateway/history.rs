//! Turns that were answered, and the prompts made of them.
//!
//! A turn is immutable. In memory turns share their predecessors; in the
//! store each is a row of its own, with an index row by which a turn is found
//! whose program is not known.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::sync::Arc;

use rosebend_state::deployment::{
    AttemptId, EndpointIdentity, ProgramKey, Row, RowId, RowRange, RowWrite,
};
use rosebend_util::hash_parts;
use serde::{Deserialize, Serialize};

use crate::gateway::ledger::Ledger;

/// Partitions of the store over which programs are spread.
///
/// A partition applies about 125 transactions a second, one after another.
/// Fewer partitions hold up bursts, more of them gather fewer changes: of 6, 12,
/// 16 and 48 a site with bursts earned 0.01, 0.68, 0.70 and 0.57 of its worth.
/// The number is part of where rows lie: it cannot change while rows exist.
pub const PARTITIONS: u64 = 16;
/// Table of ledgers and turns.
const PROGRAM_TABLE: &str = "programs";
/// Table that leads from a turn to its program.
const INDEX_TABLE: &str = "turns";
/// Separates a program from its turn in a key; ids do not contain it.
const SEPARATOR: char = '/';
/// The character after [`SEPARATOR`], which ends the range of a program.
const AFTER_SEPARATOR: char = '0';
/// Longest id of a program, in bytes: that of callers' headers, and what tells
/// their customer.
const MAX_PROGRAM_BYTES: usize = 97;

/// A turn that was answered whole.
#[derive(Debug, Eq, PartialEq)]
pub struct Turn {
    /// The attempt that was answered.
    pub attempt: AttemptId,
    /// Its program.
    pub program: ProgramKey,
    /// The turn that it continued from.
    pub previous: Option<Arc<Self>>,
    /// What the caller sent.
    pub input: Vec<u8>,
    /// What was answered, as later prompts contain it.
    pub output: Vec<u8>,
    /// The start of an endpoint that ran it and may still have it in memory. Rows
    /// of older versions name no start; no start that is known is taken for it.
    pub endpoint: EndpointIdentity,
    /// Tokens of its prompt and its output, which that endpoint may have in
    /// memory.
    pub tokens: u64,
}

/// The part of a turn's row before its bytes.
#[derive(Deserialize, Serialize)]
struct TurnHead {
    /// Null for a first turn. Left out, it would make a first turn of any.
    #[serde(deserialize_with = "Option::deserialize")]
    previous: Option<AttemptId>,
    endpoint: EndpointIdentity,
    tokens: u64,
    input_bytes: usize,
    output_bytes: usize,
}

/// Why rows do not give a turn.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum HistoryError {
    /// Rows do not have the form that this version writes, or a chain of turns
    /// comes back to one of its own.
    #[error("row {0} is no turn")]
    Malformed(String),
    /// A turn names a predecessor that is not there.
    #[error("turn {0} is not there")]
    Missing(AttemptId),
}

/// The partition of a program.
pub fn partition_of(program: &str) -> String {
    partition_name(hash_parts(&[program.as_bytes()]) % PARTITIONS)
}

/// All partitions.
pub fn partitions() -> impl Iterator<Item = String> {
    (0..PARTITIONS).map(partition_name)
}

fn partition_name(number: u64) -> String {
    format!("p{number:02}")
}

/// The row of a program's ledger.
pub fn ledger_row(program: &str) -> RowId {
    let key = format!("{program}{SEPARATOR}");
    RowId::new(PROGRAM_TABLE, &partition_of(program), key)
}

/// Where a program's ledger and turns are.
pub fn program_range(program: &str) -> RowRange {
    RowRange {
        table: PROGRAM_TABLE.to_owned(),
        partition: partition_of(program),
        from: format!("{program}{SEPARATOR}"),
        to: Some(format!("{program}{AFTER_SEPARATOR}")),
    }
}

/// Where a program's ledger alone is.
pub fn ledger_range(program: &str) -> RowRange {
    RowRange {
        to: Some(format!("{program}{SEPARATOR}\u{1}")),
        ..program_range(program)
    }
}

/// Where the ledgers of a partition are, among turns.
pub fn ledgers_range(partition: &str) -> RowRange {
    RowRange::whole(PROGRAM_TABLE, partition)
}

/// The program whose ledger a row is; none of any other row.
pub fn program_of_ledger(row: &Row) -> Option<&str> {
    let program = program_of(&row.id)?;
    (program.len() + SEPARATOR.len_utf8() == row.id.key.len()).then_some(program)
}

/// The program of which a row is the ledger or a part of a turn.
pub fn program_of(row: &RowId) -> Option<&str> {
    let (program, _) = row.key.split_once(SEPARATOR)?;
    (row.table == PROGRAM_TABLE).then_some(program)
}

/// Whether a row is a part of a program's turn.
pub fn is_of_turn(row: &RowId, program: &str, attempt: &str) -> bool {
    let rest = row.key.strip_prefix(program);
    let rest = rest.and_then(|rest| rest.strip_prefix(SEPARATOR));
    let turn = rest.and_then(|rest| rest.split_once(SEPARATOR));
    row.table == PROGRAM_TABLE && turn.is_some_and(|(turn, _)| turn == attempt)
}

/// Where the index row of a turn is if its program lies in a partition.
pub fn index_range(partition: String, attempt: &str) -> RowRange {
    RowRange {
        table: INDEX_TABLE.to_owned(),
        partition,
        from: attempt.to_owned(),
        to: Some(format!("{attempt}\u{1}")),
    }
}

/// The program that an index row names; none when its value is no id, which
/// would lead to rows of other programs.
pub fn indexed_program(row: &Row) -> Option<ProgramKey> {
    let program = String::from_utf8(row.value.clone()?).ok()?;
    let is_allowed = |byte: u8| byte.is_ascii_graphic() && byte != SEPARATOR as u8;
    let is_id = (1..=MAX_PROGRAM_BYTES).contains(&program.len());
    (is_id && program.bytes().all(is_allowed)).then_some(program)
}

impl Turn {
    /// Whether an attempt is this turn or one that it continues from.
    pub fn chain(&self) -> impl Iterator<Item = &Self> {
        std::iter::successors(Some(self), |turn| turn.previous.as_deref())
    }

    /// The prompt of a turn that continues from this one with `input`: inputs
    /// and outputs from the oldest turn on, and then the new input.
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

    fn bytes(&self) -> usize {
        self.input.len() + self.output.len()
    }

    /// The rows that make the turn durable: its record, split where it is
    /// longer than a row, and its index row.
    ///
    /// # Panics
    ///
    /// Panics when a head has no JSON form, which none has.
    pub fn rows(&self, row_bytes: usize) -> Vec<RowWrite> {
        let head = TurnHead {
            previous: self.previous.as_ref().map(|turn| turn.attempt.clone()),
            endpoint: self.endpoint.clone(),
            tokens: self.tokens,
            input_bytes: self.input.len(),
            output_bytes: self.output.len(),
        };
        let mut record = serde_json::to_vec(&head).expect("strings and numbers have a JSON form");
        record.push(b'\n');
        record.extend_from_slice(&self.input);
        record.extend_from_slice(&self.output);
        let partition = partition_of(&self.program);
        let pieces = record.chunks(row_bytes.max(1)).enumerate();
        let piece = |(number, value): (usize, &[u8])| RowWrite {
            row: RowId::new(PROGRAM_TABLE, &partition, self.piece_key(number)),
            value: value.to_vec(),
        };
        let mut rows: Vec<RowWrite> = pieces.map(piece).collect();
        rows.push(RowWrite {
            row: RowId::new(INDEX_TABLE, &partition, self.attempt.clone()),
            value: self.program.clone().into_bytes(),
        });
        rows
    }

    fn piece_key(&self, number: usize) -> String {
        format!(
            "{}{SEPARATOR}{}{SEPARATOR}{}",
            self.program,
            self.attempt,
            piece_text(number)
        )
    }
}

impl Drop for Turn {
    /// Drops a chain turn by turn: each within the drop of the one after it
    /// would need a stack as deep as the chain is long.
    fn drop(&mut self) {
        let mut next = self.previous.take();
        while let Some(turn) = next {
            // A turn that others hold stays, and so does all before it.
            next = Arc::into_inner(turn).and_then(|mut turn| turn.previous.take());
        }
    }
}

/// The pieces of a turn's record, as they were found.
#[derive(Debug, Default)]
struct Record {
    /// Values by the piece's number.
    pieces: BTreeMap<usize, Vec<u8>>,
    /// Whether a row stands among them that is no piece, or two are the same.
    is_malformed: bool,
}

impl Record {
    fn add(&mut self, number: Option<usize>, value: Option<&Vec<u8>>) {
        let (Some(number), Some(value)) = (number, value) else {
            self.is_malformed = true;
            return;
        };
        let before = self.pieces.insert(number, value.clone());
        self.is_malformed |= before.is_some();
    }

    /// The whole record; none when a piece is missing. The order of the rows
    /// does not matter.
    fn bytes(&self) -> Option<Vec<u8>> {
        let is_gapless = self.pieces.keys().copied().eq(0..self.pieces.len());
        let pieces: Vec<&[u8]> = self.pieces.values().map(Vec::as_slice).collect();
        (is_gapless && !self.is_malformed).then(|| pieces.concat())
    }
}

/// The number of a piece, written as this version writes it and not otherwise:
/// no two texts stand for the same number.
fn piece_number(text: &str) -> Option<usize> {
    let number = text.parse().ok()?;
    (piece_text(number) == text).then_some(number)
}

fn piece_text(number: usize) -> String {
    format!("{number:04}")
}

/// A program as its rows tell it.
#[derive(Debug, Default)]
pub struct StoredProgram {
    /// Version of the ledger's row; zero when there is none.
    pub ledger_version: u64,
    /// The ledger.
    pub ledger: Ledger,
    /// Records of turns by attempt.
    records: HashMap<AttemptId, Record>,
}

impl StoredProgram {
    /// Reads the rows of a program's range, in any order. A turn whose rows
    /// are wrong is there and fails when it is asked for; the others hold.
    ///
    /// # Errors
    ///
    /// Fails when the ledger cannot be read: what was spent is not known then.
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
            // The row of another program tells nothing of this one.
            return Ok(());
        };
        if rest.is_empty() {
            return self.take_ledger(row);
        }
        let (attempt, number) = rest.split_once(SEPARATOR).unwrap_or((rest, ""));
        let record = self.records.entry(attempt.to_owned()).or_default();
        record.add(piece_number(number), row.value.as_ref());
        Ok(())
    }

    fn take_ledger(&mut self, row: &Row) -> Result<(), HistoryError> {
        let malformed = || HistoryError::Malformed(row.id.key.clone());
        let value = row.value.as_ref().ok_or_else(malformed)?;
        self.ledger = Ledger::decode(value).map_err(|_| malformed())?;
        self.ledger_version = row.version;
        Ok(())
    }

    /// Whether the program has a turn of this attempt.
    pub fn has_turn(&self, attempt: &str) -> bool {
        self.records.contains_key(attempt)
    }

    /// A turn with all that it continues from, as far as this program has it.
    ///
    /// # Errors
    ///
    /// Fails when a turn is missing or malformed; the error names it.
    pub fn turn(
        &self,
        program: &str,
        attempt: &str,
        cache: &History,
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
            let (head, input, output) = self.record(&attempt)?;
            next = head.previous.clone();
            pending.push((attempt, head, input, output));
        }
        for (attempt, head, input, output) in pending.into_iter().rev() {
            previous = Some(Arc::new(Turn {
                attempt,
                program: program.to_owned(),
                previous,
                input,
                output,
                endpoint: head.endpoint,
                tokens: head.tokens,
            }));
        }
        previous.ok_or_else(|| HistoryError::Missing(attempt.to_owned()))
    }

    fn record(&self, attempt: &str) -> Result<(TurnHead, Vec<u8>, Vec<u8>), HistoryError> {
        let missing = || HistoryError::Missing(attempt.to_owned());
        let malformed = || HistoryError::Malformed(attempt.to_owned());
        let record = self.records.get(attempt).ok_or_else(missing)?;
        let record = record.bytes().ok_or_else(malformed)?;
        let end = record
            .iter()
            .position(|byte| *byte == b'\n')
            .ok_or_else(malformed)?;
        let head: TurnHead = serde_json::from_slice(&record[..end]).map_err(|_| malformed())?;
        let bytes = &record[end + 1..];
        let told_bytes = head.input_bytes.checked_add(head.output_bytes);
        if told_bytes != Some(bytes.len()) {
            return Err(malformed());
        }
        let (input, output) = bytes.split_at(head.input_bytes);
        let (input, output) = (input.to_vec(), output.to_vec());
        Ok((head, input, output))
    }
}

/// Turns that this host has in memory; the least recently added yield.
#[derive(Debug)]
pub struct History {
    turns: HashMap<AttemptId, Arc<Turn>>,
    order: VecDeque<AttemptId>,
    bytes: usize,
    max_bytes: usize,
}

impl History {
    /// An empty cache of at most `max_bytes` of inputs and outputs.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            turns: HashMap::new(),
            order: VecDeque::new(),
            bytes: 0,
            max_bytes,
        }
    }

    /// A turn, if it is in memory.
    pub fn get(&self, attempt: &str) -> Option<Arc<Turn>> {
        self.turns.get(attempt).cloned()
    }

    /// Adds a turn that is durable.
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
