//! Deletes the rows of programs that are over.
//!
//! A turn and all that it continues from are kept for the route's retention. A
//! host deletes a program's ledger and the rows that it wrote itself, once the
//! ledger has not changed for that time; another host that wrote later finds
//! the ledger changed or gone and does the same with its own rows. A program
//! that continues from another one's turn keeps a copy, so that neither needs
//! the other's rows.

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

/// Time between two looks for programs that are over.
const INTERVAL: Duration = Duration::from_secs(1);
/// Programs that are deleted in one look at most, so that deletions never take
/// more than a small share of the store's writes.
const MAX_PROGRAMS: usize = 4;

/// Rows of a program that this host wrote.
#[derive(Debug)]
struct Kept {
    rows: Vec<RowId>,
    retention: Duration,
    due_at: Duration,
    /// Version of the ledger when the rows were last seen in use.
    version: RowVersion,
}

/// What this host has to delete one day.
#[derive(Debug, Default)]
pub struct Retention {
    programs: RefCell<BTreeMap<ProgramKey, Kept>>,
}

impl Retention {
    /// Takes note of rows of a turn that is durable, which are needed for
    /// `retention` after the program's last turn.
    pub fn keep(
        &self,
        program: &str,
        rows: Vec<RowId>,
        retention: Duration,
        version: RowVersion,
        now: Duration,
    ) {
        let mut programs = self.programs.borrow_mut();
        let kept = programs.entry(program.to_owned()).or_insert_with(|| Kept {
            rows: Vec::new(),
            retention,
            due_at: now,
            version,
        });
        kept.rows.extend(rows);
        kept.retention = kept.retention.max(retention);
        kept.version = version;
        kept.due_at = now + kept.retention;
    }

    fn due(&self, now: Duration) -> Vec<ProgramKey> {
        let programs = self.programs.borrow();
        let due = programs.iter().filter(|(_, kept)| kept.due_at <= now);
        due.map(|(program, _)| program.clone())
            .take(MAX_PROGRAMS)
            .collect()
    }
}

/// Deletes what is due, for ever.
pub async fn run(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(INTERVAL).await;
        for program in gateway.retention.due(gateway.clock.now()) {
            delete(&gateway, &program).await;
        }
    }
}

async fn delete(gateway: &Gateway, program: &str) {
    let Some(transaction) = first_deletion(gateway, program) else {
        return;
    };
    match gateway.joined_commits.transact(&transaction).await {
        Ok(Transacted::Applied(_)) => {
            gateway.commits.evict(program);
            delete_rest(gateway, program).await;
        }
        Ok(Transacted::Conflict(rows)) => match rows.first() {
            Some(row) => wait_again(gateway, program, row.version),
            // Another host has deleted the ledger: the program is over.
            None => {
                gateway.commits.evict(program);
                delete_rest(gateway, program).await;
            }
        },
        // The store is away, which the client has logged.
        Err(_) => {}
    }
}

/// The ledger, if it is unchanged, with as many rows as fit.
fn first_deletion(gateway: &Gateway, program: &str) -> Option<Transaction> {
    let programs = gateway.retention.programs.borrow();
    let kept = programs.get(program)?;
    let ledger = ledger_row(program);
    let rows = kept.rows.iter().take(MAX_TRANSACTION_ENTRIES - 2).cloned();
    Some(Transaction {
        conditions: vec![Condition {
            row: ledger.clone(),
            version: kept.version,
        }],
        deletes: rows.chain([ledger]).collect(),
        writes: Vec::new(),
    })
}

/// The program went on elsewhere: its rows are needed for another while.
fn wait_again(gateway: &Gateway, program: &str, version: RowVersion) {
    let now = gateway.clock.now();
    let mut programs = gateway.retention.programs.borrow_mut();
    if let Some(kept) = programs.get_mut(program) {
        kept.version = version;
        kept.due_at = now + kept.retention;
    }
}

async fn delete_rest(gateway: &Gateway, program: &str) {
    let kept = gateway.retention.programs.borrow_mut().remove(program);
    let rows = kept.map(|kept| kept.rows).unwrap_or_default();
    for rows in rows.chunks(MAX_TRANSACTION_ENTRIES) {
        let transaction = Transaction {
            deletes: rows.to_vec(),
            ..Transaction::default()
        };
        // Rows that stay cost room only; the client has logged the failure.
        let _ = gateway.joined_commits.transact(&transaction).await;
    }
}
