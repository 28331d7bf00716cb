//! The history of programs: from memory where it is, else from the store.

use std::sync::Arc;

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

/// The turn that a program's next one continues from; none at its start.
///
/// # Errors
///
/// Says that there is no such turn only when the store has been asked
/// everywhere; a store out of reach is reported as such.
pub async fn previous_turn(
    gateway: &Gateway,
    call: &Call,
    header: &ProgramHeader,
) -> Result<Option<Arc<Turn>>, Refusal> {
    let found = |place| {
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
        if !gateway.commits.knows(&header.program) {
            refresh_ledger(gateway, &header.program).await?;
        }
        found("memory");
        return Ok(cached);
    }
    if let Some(turn) = recent_turn(gateway, &header.program, previous).await {
        found("keeper");
        return Ok(Some(turn));
    }
    if let Some(turn) = read_turn(gateway, &header.program, previous).await? {
        found("store");
        return Ok(Some(turn));
    }
    let Some(program) = find_program(gateway, previous).await? else {
        return Err(Refusal::TurnNotFound);
    };
    let turn = read_turn(gateway, &program, previous).await?;
    found("other-program");
    // The index names it, so it exists; it cannot be denied.
    turn.map(Some).ok_or_else(|| gateway.store_unreachable())
}

/// Reads the ledger of a program anew.
///
/// # Errors
///
/// Fails when the store is out of reach.
pub async fn refresh_ledger(gateway: &Gateway, program: &str) -> Result<(), Refusal> {
    let rows = gateway.store.read(&ledger_range(program)).await;
    // The client has logged how the call failed.
    let rows = rows.map_err(|_: StoreError| gateway.program_unreachable(program))?;
    let id = ledger_row(program);
    let row = rows.rows.iter().find(|row| row.id == id);
    let value = row.and_then(|row| Some((row.version, row.value.as_ref()?)));
    let (version, ledger) = match value {
        Some((version, value)) => (version, Ledger::decode(value)),
        None => (0, Ok(Ledger::default())),
    };
    let ledger = ledger.map_err(|error| unreadable(gateway, program, &error))?;
    gateway.commits.learn(program, version, ledger);
    Ok(())
}

/// A turn of a program as its keeper in the availability zone has it; none where it or one
/// before it is missing there.
async fn recent_turn(gateway: &Gateway, program: &str, attempt: &str) -> Option<Arc<Turn>> {
    let rows = recent_history::rows(gateway, program).await;
    let stored = StoredProgram::from_rows(program, &rows).ok()?;
    let turn = stored.turn(program, attempt, &gateway.history.borrow());
    let turn = turn.ok()?;
    if stored.ledger_version > 0 {
        let version = stored.ledger_version;
        gateway.commits.learn(program, version, stored.ledger);
    }
    remember(gateway, &turn);
    Some(turn)
}

async fn read_turn(
    gateway: &Gateway,
    program: &str,
    attempt: &str,
) -> Result<Option<Arc<Turn>>, Refusal> {
    let rows = gateway.store.read(&program_range(program)).await;
    // The client has logged how the call failed.
    let rows = rows.map_err(|_: StoreError| gateway.program_unreachable(program))?;
    let stored = StoredProgram::from_rows(program, &rows.rows);
    let stored = stored.map_err(|error| unreadable(gateway, program, &error))?;
    gateway
        .commits
        .learn(program, stored.ledger_version, stored.ledger.clone());
    if !stored.has_turn(attempt) {
        return Ok(None);
    }
    // A program that continues from another one's turn has a copy of that chain,
    // so its own rows are all that is needed.
    let turn = stored.turn(program, attempt, &gateway.history.borrow());
    let turn = turn.map_err(|error| unreadable(gateway, program, &error))?;
    remember(gateway, &turn);
    Ok(Some(turn))
}

fn remember(gateway: &Gateway, turn: &Arc<Turn>) {
    let mut history = gateway.history.borrow_mut();
    let chain = std::iter::successors(Some(turn), |turn| turn.previous.as_ref());
    for turn in chain {
        history.insert(Arc::clone(turn));
    }
}

/// The program that a turn belongs to, by its index row, which lies in the
/// partition of that program.
async fn find_program(gateway: &Gateway, attempt: &str) -> Result<Option<String>, Refusal> {
    let ranges: Vec<_> = partitions()
        .map(|partition| index_range(partition, attempt))
        .collect();
    let reads = ranges.iter().map(|range| gateway.store.read(range));
    for rows in join_all(reads).await {
        let rows = rows.map_err(|error| unreachable(gateway, &error))?;
        let row = rows.rows.iter().find(|row| row.id.key == attempt);
        if let Some(row) = row {
            // A row that names no program is no proof that the turn never was.
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

/// Refuses a program whose rows cannot be read; they may be readable to others.
fn unreadable(gateway: &Gateway, program: &str, error: &dyn std::error::Error) -> Refusal {
    let event = Event::new(EventKind::RecordUnreadable);
    log_event(&event.program_key(program).error(error));
    gateway.store_unreachable()
}

/// The client has logged how the call failed.
fn unreachable(gateway: &Gateway, _error: &StoreError) -> Refusal {
    gateway.store_unreachable()
}
