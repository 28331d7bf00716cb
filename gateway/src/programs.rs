//! Lookup of the turns that programs continue from: in memory, at the host of the
//! availability zone that caches the program, and in the store, in this order.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use rosebend_coordination::gateway::history::{
    StoredProgram, Turn, index_range, indexed_program, ledger_range, ledger_row, partitions,
    program_range,
};
use rosebend_coordination::gateway::ledger::Ledger;
use rosebend_state::deployment::ProgramHeader;
use rosebend_transport::event::{Event, EventKind, log_event};
use rosebend_transport::store::StoreError;

use crate::call::Call;
use crate::gateway::Gateway;
use crate::recent_history;
use crate::reply::Refusal;

/// Maximum time for which a turn that admission would refuse waits for its program's
/// ledger. A read takes 6 to 8 ms; a caller should learn of a refusal at once.
const LEDGER_LOOKUP_TIMEOUT: Duration = Duration::from_millis(50);

/// Result of looking up a program's ledger in the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LedgerLookup {
    /// The store has a ledger of the program.
    InProgress,
    /// The store has no ledger of the program.
    New,
    /// The store is unreachable or failed the read.
    Unreachable,
    /// The store did not answer in time.
    Timeout,
}

impl LedgerLookup {
    /// Returns the word that logs and metrics contain.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::InProgress => "in-progress",
            Self::New => "new",
            Self::Unreachable => "unreachable",
            Self::Timeout => "timeout",
        }
    }
}

/// Returns the turn that a program's next turn continues from, or `None` if the
/// next turn is the first.
///
/// # Errors
///
/// Reports that the turn does not exist only if every partition of the store was
/// read without finding it. An unreachable store is reported as such.
pub async fn previous_turn(
    gateway: &Gateway,
    call: &Call,
    header: &ProgramHeader,
) -> Result<Option<Arc<Turn>>, Refusal> {
    let record_found = |place| {
        gateway.metrics.count_history_read(place);
        let elapsed = call.elapsed(gateway.clock.now());
        let event = Event::new(EventKind::HistoryRead).reason(place);
        call.request_log.add_step(event.elapsed(elapsed));
    };
    let Some(previous) = &header.previous else {
        return Ok(None);
    };
    let cached = gateway.history.borrow().get(previous);
    if cached.is_some() {
        if !gateway.commits.has_cached_ledger(&header.program) {
            refresh_ledger(gateway, &header.program).await?;
        }
        record_found("memory");
        return Ok(cached);
    }
    if let Some(turn) = turn_from_zone(gateway, &header.program, previous).await {
        record_found("keeper");
        return Ok(Some(turn));
    }
    if let Some(turn) = read_turn(gateway, &header.program, previous).await? {
        record_found("store");
        return Ok(Some(turn));
    }
    let Some(program) = find_program(gateway, previous).await? else {
        return Err(Refusal::TurnNotFound);
    };
    let turn = read_turn(gateway, &program, previous).await?;
    record_found("other-program");
    // The index contains the turn, so it exists and must not be reported as missing.
    turn.map(Some).ok_or_else(|| gateway.store_unreachable())
}

/// Reads the ledger of a program from the store into the cache.
///
/// # Errors
///
/// Returns an error if the store is unreachable or the ledger cannot be decoded.
pub async fn refresh_ledger(gateway: &Gateway, program: &str) -> Result<(), Refusal> {
    let rows = gateway.store.read(&ledger_range(program)).await;
    // The client has already logged the error.
    let rows = rows.map_err(|_: StoreError| gateway.program_unreachable(program))?;
    let id = ledger_row(program);
    let row = rows.rows.iter().find(|row| row.id == id);
    let value = row.and_then(|row| Some((row.version, row.value.as_ref()?)));
    let (version, ledger) = match value {
        Some((version, value)) => (version, Ledger::decode(value)),
        None => (0, Ok(Ledger::default())),
    };
    let ledger = ledger.map_err(|error| unreadable(gateway, program, &error))?;
    gateway.commits.cache(program, version, ledger);
    Ok(())
}

/// Looks up whether the store has a ledger of a program, and caches the ledger.
///
/// A missing ledger is not cached: a program counts as in progress at this host while its
/// ledger is cached, and the program may start with a later attempt.
pub async fn look_up_ledger(gateway: &Gateway, call: &Call, program: &str) -> LedgerLookup {
    let started_at = gateway.clock.now();
    let reading = read_ledger_row(gateway, program);
    let lookup = tokio::time::timeout(LEDGER_LOOKUP_TIMEOUT, reading).await;
    let lookup = lookup.unwrap_or(LedgerLookup::Timeout);
    let elapsed = gateway.clock.now().saturating_sub(started_at);
    let event = Event::new(EventKind::LedgerRead).reason(lookup.as_str());
    call.request_log.add_step(event.elapsed(elapsed));
    gateway.metrics.count_ledger_lookup(lookup.as_str());
    lookup
}

async fn read_ledger_row(gateway: &Gateway, program: &str) -> LedgerLookup {
    if gateway.check_reachable(program).is_err() {
        return LedgerLookup::Unreachable;
    }
    let Ok(row) = gateway.store.read_row(&ledger_row(program)).await else {
        return LedgerLookup::Unreachable;
    };
    let row = row.and_then(|row| Some((row.version, row.value?)));
    let Some((version, value)) = row else {
        return LedgerLookup::New;
    };
    // A ledger that cannot be decoded belongs to a program in progress nevertheless. The
    // turn's reservation reports the error.
    if let Ok(ledger) = Ledger::decode(&value) {
        gateway.commits.cache(program, version, ledger);
    }
    LedgerLookup::InProgress
}

/// Returns a turn of a program from the host of the availability zone that caches it, or
/// `None` if that host lacks the turn or one of its predecessors.
async fn turn_from_zone(gateway: &Gateway, program: &str, attempt: &str) -> Option<Arc<Turn>> {
    let rows = recent_history::rows(gateway, program).await;
    let stored = StoredProgram::from_rows(program, &rows).ok()?;
    let turn = stored.turn(program, attempt, &gateway.history.borrow());
    let turn = turn.ok()?;
    if stored.ledger_version > 0 {
        let version = stored.ledger_version;
        gateway.commits.cache(program, version, stored.ledger);
    }
    cache_chain(gateway, &turn);
    Some(turn)
}

/// Reads a turn of a program from the store, or returns `None` if the program has no such
/// turn.
async fn read_turn(
    gateway: &Gateway,
    program: &str,
    attempt: &str,
) -> Result<Option<Arc<Turn>>, Refusal> {
    let rows = gateway.store.read(&program_range(program)).await;
    // The client has already logged the error.
    let rows = rows.map_err(|_: StoreError| gateway.program_unreachable(program))?;
    let stored = StoredProgram::from_rows(program, &rows.rows);
    let stored = stored.map_err(|error| unreadable(gateway, program, &error))?;
    gateway
        .commits
        .cache(program, stored.ledger_version, stored.ledger.clone());
    if !stored.has_turn(attempt) {
        return Ok(None);
    }
    // A program that continues from another program's turn has a copy of that chain,
    // so the rows of other programs are not needed.
    let turn = stored.turn(program, attempt, &gateway.history.borrow());
    let turn = turn.map_err(|error| match stored.has_expired(attempt) {
        // Other rows of its chain are deleted already.
        true => Refusal::TurnNotFound,
        false => unreadable(gateway, program, &error),
    })?;
    cache_chain(gateway, &turn);
    Ok(Some(turn))
}

/// Adds a turn and its predecessors to the history in memory.
fn cache_chain(gateway: &Gateway, turn: &Arc<Turn>) {
    let mut history = gateway.history.borrow_mut();
    let chain = std::iter::successors(Some(turn), |turn| turn.previous.as_ref());
    for turn in chain {
        history.insert(Arc::clone(turn));
    }
}

/// Returns the program that a turn belongs to, according to the turn's index row. The
/// row is in the partition of that program, so all partitions are read.
async fn find_program(gateway: &Gateway, attempt: &str) -> Result<Option<String>, Refusal> {
    let ranges: Vec<_> = partitions()
        .map(|partition| index_range(partition, attempt))
        .collect();
    let reads = ranges.iter().map(|range| gateway.store.read(range));
    for rows in join_all(reads).await {
        let rows = rows.map_err(|error| unreachable(gateway, &error))?;
        let row = rows.rows.iter().find(|row| row.id.key == attempt);
        if let Some(row) = row {
            // A row that cannot be decoded does not prove that the turn does not exist.
            let program = indexed_program(row);
            return program.map(Some).ok_or_else(|| {
                let event = Event::new(EventKind::RecordUnreadable);
                log_event(&event.attempt(attempt));
                gateway.store_unreachable()
            });
        }
    }
    Ok(None)
}

/// Refuses a program whose rows cannot be decoded, with a temporary error: hosts of
/// another version may be able to decode them.
fn unreadable(gateway: &Gateway, program: &str, error: &dyn std::error::Error) -> Refusal {
    let event = Event::new(EventKind::RecordUnreadable);
    log_event(&event.program_key(program).error(error));
    gateway.store_unreachable()
}

/// Returns the refusal for an unreachable store. The client has already logged the error.
fn unreachable(gateway: &Gateway, _error: &StoreError) -> Refusal {
    gateway.store_unreachable()
}
