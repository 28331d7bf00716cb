//! Deletes the rows of programs whose retention has expired.
//!
//! A turn and all turns that it continues from are kept for the route's retention
//! time. A program's ledger contains the longest retention time of its turns, whichever
//! hosts ran them. Once the ledger has not changed for that time, a host deletes the
//! ledger and the rows that the host itself wrote. Another host that wrote rows of
//! the program finds the ledger changed or deleted. If it is deleted, that host
//! deletes its own rows; if it has changed, it waits for another retention time. A
//! turn refers only to rows that are deleted after the same ledger as its own, and has
//! a copy of all others; see [`Generation`](rosebend_coordination::gateway::ledger::Generation).

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use rosebend_coordination::gateway::history::ledger_row;
use rosebend_coordination::gateway::ledger::Ledger;
use rosebend_state::deployment::{
    Condition, MAX_TRANSACTION_ENTRIES, ProgramKey, Row, RowId, RowVersion, Transaction,
};
use rosebend_transport::store::Transacted;

use crate::gateway::Gateway;

/// Time between two scans for programs whose retention has expired.
const SCAN_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of programs that are deleted in one scan, so that deletions use
/// only a small share of the store's write rate.
const MAX_PROGRAMS_PER_SCAN: usize = 4;

/// The rows of a program that this host wrote.
#[derive(Debug)]
struct ExpiringProgram {
    rows: Vec<RowId>,
    /// Longest retention time of the program's turns that this host knows of.
    retention: Duration,
    /// Time at which the rows are to be deleted.
    due_at: Duration,
    /// Last known version of the ledger. The rows are deleted only if it is unchanged.
    version: RowVersion,
}

impl ExpiringProgram {
    /// Returns the time at which the version of the ledger was learned.
    fn ledger_read_at(&self) -> Duration {
        self.due_at.saturating_sub(self.retention)
    }
}

/// The programs whose rows this host deletes when their retention expires.
#[derive(Debug, Default)]
pub struct Retention {
    programs: RefCell<BTreeMap<ProgramKey, ExpiringProgram>>,
}

impl Retention {
    /// Records rows of a durable turn, which are kept for `retention` after the
    /// program's last turn. `version` is the present version of the program's ledger.
    pub fn add_rows(
        &self,
        program: &str,
        rows: Vec<RowId>,
        retention: Duration,
        version: RowVersion,
        now: Duration,
    ) {
        let added = ExpiringProgram {
            rows,
            retention,
            due_at: now + retention,
            version,
        };
        self.add(program.to_owned(), added);
    }

    /// Adds rows of a program to those that are known, which are then kept for as long.
    fn add(&self, program: ProgramKey, mut added: ExpiringProgram) {
        let mut programs = self.programs.borrow_mut();
        let Some(expiring) = programs.get_mut(&program) else {
            programs.insert(program, added);
            return;
        };
        expiring.rows.append(&mut added.rows);
        let read_at = expiring.ledger_read_at().max(added.ledger_read_at());
        expiring.retention = expiring.retention.max(added.retention);
        expiring.due_at = read_at + expiring.retention;
        expiring.version = expiring.version.max(added.version);
    }

    /// Removes a program. Rows that are added while the others are deleted belong to a
    /// later ledger of the program.
    fn take(&self, program: &str) -> Option<ExpiringProgram> {
        self.programs.borrow_mut().remove(program)
    }

    fn due(&self, now: Duration) -> Vec<ProgramKey> {
        let programs = self.programs.borrow();
        let due = programs
            .iter()
            .filter(|(_, expiring)| expiring.due_at <= now);
        due.map(|(program, _)| program.clone())
            .take(MAX_PROGRAMS_PER_SCAN)
            .collect()
    }
}

/// Deletes the programs whose retention has expired, in an endless loop.
pub async fn run(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(SCAN_INTERVAL).await;
        for program in gateway.retention.due(gateway.clock.now()) {
            delete(&gateway, &program).await;
        }
    }
}

async fn delete(gateway: &Gateway, program: &str) {
    let Some(expiring) = gateway.retention.take(program) else {
        return;
    };
    let transaction = first_deletion(program, &expiring);
    match gateway.batched_commits.transact(&transaction).await {
        Ok(Transacted::Applied(_)) => delete_rows(gateway, program, expiring.rows).await,
        Ok(Transacted::Conflict(rows)) => match rows.into_iter().next() {
            Some(ledger) => defer_deletion(gateway, program, expiring, &ledger),
            // Another host has deleted the ledger, so the program has ended.
            None => delete_rows(gateway, program, expiring.rows).await,
        },
        // The store is unreachable, which the client has already logged. The program
        // remains due.
        Err(_) => gateway.retention.add(program.to_owned(), expiring),
    }
}

/// Returns the transaction that deletes the ledger, if it is unchanged, and as many
/// rows as fit.
fn first_deletion(program: &str, expiring: &ExpiringProgram) -> Transaction {
    let ledger = ledger_row(program);
    let rows = expiring.rows.iter();
    let rows = rows.take(MAX_TRANSACTION_ENTRIES - 2).cloned();
    Transaction {
        conditions: vec![Condition {
            row: ledger.clone(),
            version: expiring.version,
        }],
        deletes: rows.chain([ledger]).collect(),
        writes: Vec::new(),
    }
}

/// Defers the deletion of a program that has continued on another host by its
/// retention time, which the ledger contains.
fn defer_deletion(gateway: &Gateway, program: &str, expiring: ExpiringProgram, row: &Row) {
    let ledger = row.value.as_deref().map(Ledger::decode);
    let retention = match ledger {
        Some(Ok(ledger)) => ledger.retention() + gateway.settings().retention_margin,
        // Turns that need the ledger report that it cannot be decoded.
        Some(Err(_)) | None => Duration::ZERO,
    };
    let retention = retention.max(expiring.retention);
    let deferred = ExpiringProgram {
        rows: expiring.rows,
        retention,
        due_at: gateway.clock.now() + retention,
        version: row.version,
    };
    gateway.retention.add(program.to_owned(), deferred);
}

/// Deletes the rows of a program whose ledger is deleted.
async fn delete_rows(gateway: &Gateway, program: &str, rows: Vec<RowId>) {
    gateway.commits.evict(program);
    for rows in rows.chunks(MAX_TRANSACTION_ENTRIES) {
        let transaction = Transaction {
            deletes: rows.to_vec(),
            ..Transaction::default()
        };
        // Rows that remain after a failure only use storage. The client has already
        // logged the failure.
        let _ = gateway.batched_commits.transact(&transaction).await;
    }
}
