//! Group commits: from the committer to the table and back.

use rosebend_coordination::commit::{
    BatchOutcome, CommitBatch, CommitReport, ShardRowView, WriteId,
};
use rosebend_coordination::owner::Event;
use rosebend_coordination::ownership::OwnershipEvent;
use rosebend_protocol::table::{row_id, shard_key};
use rosebend_state::deployment::{Row, RowId};
use rosebend_state::id::Shard;
use rosebend_transport::store::{StoreError, Transacted};

use super::Command;
use super::state::Control;
use crate::rows;

use std::rc::Rc;
use std::time::Duration;

/// Wait before the rows of an unsettled transaction are read again.
const READ_AGAIN_WAIT: Duration = Duration::from_millis(200);

impl Control {
    /// Starts the next transaction, now or when it is due.
    pub(super) fn start_commit(&mut self) {
        let now = self.now();
        if let Some(batch) = self.committer.next_batch(now) {
            self.send_batch(batch);
        } else if let Some(due) = self.committer.next_start()
            && !self.commit_timer
        {
            self.commit_timer = true;
            self.send_later(due.saturating_sub(now), Command::CommitDue);
        }
    }

    fn send_batch(&self, batch: CommitBatch) {
        let entry = &self.settings.entry;
        let transaction = rows::commit_transaction(&batch, &entry.host, &self.settings.incarnation);
        let store = Rc::clone(&self.store);
        let handle = self.handle.clone();
        actix_rt::spawn(async move {
            let outcome = match store.transact(&transaction).await {
                Ok(Transacted::Applied(version)) => BatchOutcome::Committed { version },
                Ok(Transacted::Conflict(_)) => BatchOutcome::Conflict,
                Err(StoreError::Refused | StoreError::Throttled) => BatchOutcome::Refused,
                Err(
                    StoreError::Rejected(_) | StoreError::NoAnswer(_) | StoreError::HistoryGone,
                ) => BatchOutcome::Unknown,
            };
            handle.send(Command::CommitEnded {
                write_id: batch.write_id,
                outcome,
            });
        });
    }

    pub(super) fn commit_ended(&mut self, write_id: WriteId, outcome: &BatchOutcome) {
        let answered = !matches!(outcome, BatchOutcome::Refused | BatchOutcome::Unknown);
        let report = self.committer.ended(write_id, outcome);
        self.take_report(report);
        self.note_table(answered);
    }

    pub(super) fn commit_rows_read(&mut self, rows: Option<Vec<ShardRowView>>) {
        let answered = rows.is_some();
        match rows {
            Some(rows) => {
                let report = self.committer.settle(&rows);
                self.take_report(report);
            }
            None => {
                let report = self.committer.settle_later();
                self.read_commit_rows(report.read_rows, READ_AGAIN_WAIT);
            }
        }
        self.note_table(answered);
    }

    fn take_report(&mut self, report: CommitReport) {
        for (_, commit) in report.committed {
            self.owner_event(Event::Committed { commit });
        }
        for shard in report.lost {
            self.owner_event(Event::CommitLost { shard });
            self.ownership_event(OwnershipEvent::ShardLost(shard));
        }
        if !report.read_rows.is_empty() {
            self.read_commit_rows(report.read_rows, Duration::ZERO);
        }
    }

    fn read_commit_rows(&self, shards: Vec<Shard>, wait: Duration) {
        let store = Rc::clone(&self.store);
        let handle = self.handle.clone();
        actix_rt::spawn(async move {
            actix_rt::time::sleep(wait).await;
            let keys = shards.iter().map(|shard| row_id(shard_key(*shard)));
            let keys: Vec<RowId> = keys.collect();
            let rows = store.read_rows(&keys).await.ok();
            let views = rows.map(|rows| rows.iter().filter_map(view).collect());
            handle.send(Command::CommitRowsRead(views));
        });
    }
}

fn view(row: &Row) -> Option<ShardRowView> {
    let (shard, write_id) = rows::shard_row(row)?;
    Some(ShardRowView {
        shard: shard.shard,
        version: shard.version,
        write_id,
    })
}
