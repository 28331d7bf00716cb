//! Deletes the rows of programs whose retention has expired.
//!
//! A turn and all turns that it continues from are kept for the route's retention
//! time. Once a program's ledger has not changed for that time, a host deletes the
//! ledger and the rows that the host itself wrote. Another host that wrote rows of
//! the program finds the ledger changed or deleted. If it is deleted, that host
//! deletes its own rows; if it has changed, it waits for another retention time. A
//! program that continues from another program's turn has a copy of that turn's
//! chain, so neither needs the rows of the other.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use rosebend_coordination::gateway::history::ledger_row;
use rosebend_state::deployment::{
    Condition, MAX_TRANSACTION_ENTRIES, ProgramKey, RowId, RowVersion, Transaction,
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
    /// Longest retention time of the program's turns on this host.
    retention: Duration,
    /// Time at which the rows are to be deleted.
    due_at: Duration,
    /// Last known version of the ledger. The rows are deleted only if it is unchanged.
    version: RowVersion,
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
        let mut programs = self.programs.borrow_mut();
        let expiring = programs
            .entry(program.to_owned())
            .or_insert_with(|| ExpiringProgram {
                rows: Vec::new(),
                retention,
                due_at: now,
                version,
            });
        expiring.rows.extend(rows);
        expiring.retention = expiring.retention.max(retention);
        expiring.version = version;
        expiring.due_at = now + expiring.retention;
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
    let Some(transaction) = first_deletion(gateway, program) else {
        return;
    };
    match gateway.batched_commits.transact(&transaction).await {
        Ok(Transacted::Applied(_)) => {
            gateway.commits.evict(program);
            delete_rest(gateway, program).await;
        }
        Ok(Transacted::Conflict(rows)) => match rows.first() {
            Some(row) => defer_deletion(gateway, program, row.version),
            // Another host has deleted the ledger, so the program has ended.
            None => {
                gateway.commits.evict(program);
                delete_rest(gateway, program).await;
            }
        },
        // The store is unreachable, which the client has already logged. The program
        // remains due.
        Err(_) => {}
    }
}

/// Returns the transaction that deletes the ledger, if it is unchanged, and as many
/// rows as fit.
fn first_deletion(gateway: &Gateway, program: &str) -> Option<Transaction> {
    let programs = gateway.retention.programs.borrow();
    let expiring = programs.get(program)?;
    let ledger = ledger_row(program);
    let rows = expiring
        .rows
        .iter()
        .take(MAX_TRANSACTION_ENTRIES - 2)
        .cloned();
    Some(Transaction {
        conditions: vec![Condition {
            row: ledger.clone(),
            version: expiring.version,
        }],
        deletes: rows.chain([ledger]).collect(),
        writes: Vec::new(),
    })
}

/// Defers the deletion of a program that has continued on another host by its
/// retention time.
fn defer_deletion(gateway: &Gateway, program: &str, version: RowVersion) {
    let now = gateway.clock.now();
    let mut programs = gateway.retention.programs.borrow_mut();
    if let Some(expiring) = programs.get_mut(program) {
        expiring.version = version;
        expiring.due_at = now + expiring.retention;
    }
}

/// Deletes the rows of a program whose ledger is deleted.
async fn delete_rest(gateway: &Gateway, program: &str) {
    let expiring = gateway.retention.programs.borrow_mut().remove(program);
    let rows = expiring.map(|expiring| expiring.rows).unwrap_or_default();
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
