//! The rows of entries: the own one is renewed, those of others are read.

use std::rc::Rc;
use std::time::Duration;

use rosebend_coordination::ownership::{HostRow, OwnershipEvent};
use rosebend_coordination::pace::Pace;
use rosebend_protocol::table::{row_id, rows_under};
use rosebend_state::deployment::{Row, RowId, Transaction};
use rosebend_state::id::HostId;
use rosebend_transport::event::{Event as LogEvent, EventKind, log_event};
use rosebend_transport::store::{StoreClient, Transacted};

use super::state::{Control, pace_config};
use super::{Command, RenewOutcome, status};
use crate::rows::{self, HostValue};

/// Time between two reads of the rows of all entries, when there are more than
/// an entry watches.
const FULL_READ_PERIOD: Duration = Duration::from_secs(60);
/// Longest time between two reads of the rows of shards. An entry is told when
/// it is given a shard; this makes up for a lost word.
const SHARD_READ_PERIOD: Duration = Duration::from_secs(300);
/// Time after the start of the process in which all rows are read each time:
/// entries that start together must agree on who is there before they pass
/// shards on.
const FIRST_READS: Duration = Duration::from_secs(15);

impl Control {
    /// Renews the own row, and reads those of the others.
    pub(super) fn renew(&mut self) {
        self.read_hosts();
        if self.renewing {
            return;
        }
        self.renewing = true;
        self.renewals += 1;
        let entry = &self.settings.entry;
        let value = HostValue {
            incarnation: self.settings.incarnation.clone(),
            renewal: self.renewals,
            peer_address: self.settings.peer_address.clone(),
            http_address: self.settings.http_address.clone(),
            availability_zone: entry.availability_zone.clone(),
            leaving: self.stopping.is_some(),
            config_revision: self.configuration.revision(),
        };
        let key = rows::host_key(&entry.host);
        let row = row_id(key);
        let write = Transaction::default().write(row.clone(), rows::to_json(&value));
        let transaction = match self.row_version {
            Some(version) => write.expect(row.clone(), version),
            None => write,
        };
        let store = Rc::clone(&self.store);
        let handle = self.handle.clone();
        let incarnation = self.settings.incarnation.clone();
        actix_rt::spawn(async move {
            let outcome = match store.transact(&transaction).await {
                Ok(Transacted::Applied(version)) => RenewOutcome::Renewed(version),
                Ok(Transacted::Conflict(_)) => own_row(&store, &row, &incarnation).await,
                Err(_) => RenewOutcome::Silent,
            };
            handle.send(Command::Renewed { outcome });
        });
    }

    pub(super) fn renewed(&mut self, outcome: RenewOutcome) {
        self.renewing = false;
        match outcome {
            RenewOutcome::Renewed(version) => {
                self.row_version = Some(version);
                self.note_table(true);
            }
            RenewOutcome::Replaced => {
                // Another process has this host's name, or this one was
                // silent and its row was removed. It begins anew.
                log_event(&LogEvent::new(EventKind::LeaseRenewalFailed).reason("replaced"));
                self.row_version = None;
            }
            RenewOutcome::Silent => {
                log_event(&LogEvent::new(EventKind::LeaseRenewalFailed).reason("table"));
                self.note_table(false);
            }
        }
    }

    /// Reads the rows of the watched entries, and now and then all of them.
    fn read_hosts(&mut self) {
        if self.reading_hosts {
            return;
        }
        self.reading_hosts = true;
        let asked = self.ownership.watched_hosts();
        let now = self.now();
        if now.saturating_sub(self.shards_read_at) >= SHARD_READ_PERIOD {
            self.read_shards();
        }
        let is_full_due = now < FIRST_READS
            || self
                .full_read_at
                .is_none_or(|at| now.saturating_sub(at) >= FULL_READ_PERIOD);
        let watches_all = asked.len() + 1 >= self.ownership.entry_count();
        let store = Rc::clone(&self.store);
        let handle = self.handle.clone();
        if is_full_due || watches_all {
            self.full_read_at = Some(now);
            actix_rt::spawn(async move {
                let rows = store.read(&rows_under(rows::HOST_PREFIX)).await.ok();
                handle.send(Command::HostsRead(rows.map(|rows| host_rows(&rows.rows))));
            });
            return;
        }
        actix_rt::spawn(async move {
            let keys = asked.iter().map(|host| row_id(rows::host_key(host)));
            let keys: Vec<RowId> = keys.collect();
            let rows = store.read_rows(&keys).await.ok();
            let rows = rows.map(|rows| host_rows(&rows));
            handle.send(Command::HostsWatched { asked, rows });
        });
    }

    pub(super) fn hosts_read(&mut self, rows: Option<Vec<(HostRow, HostValue)>>) {
        self.reading_hosts = false;
        self.note_table(rows.is_some());
        let Some(rows) = rows else {
            return;
        };
        self.entries = rows
            .iter()
            .map(|(row, value)| status::entry_process(row, value))
            .collect();
        let hosts = rows.into_iter().map(|(row, _)| row).collect();
        self.ownership_event(OwnershipEvent::HostsRead(hosts));
        self.keep_pace();
    }

    pub(super) fn hosts_watched(
        &mut self,
        asked: Vec<HostId>,
        rows: Option<Vec<(HostRow, HostValue)>>,
    ) {
        self.reading_hosts = false;
        self.note_table(rows.is_some());
        let Some(rows) = rows else {
            return;
        };
        for (row, value) in &rows {
            let process = status::entry_process(row, value);
            self.entries.retain(|known| known.host != process.host);
            self.entries.push(process);
        }
        let rows = rows.into_iter().map(|(row, _)| row).collect();
        self.ownership_event(OwnershipEvent::HostsWatched { asked, rows });
        self.keep_pace();
    }

    /// Follows the number of entries with the periods of this one.
    fn keep_pace(&mut self) {
        let entries = self.ownership.entry_count();
        self.pace = Pace::new(&pace_config(&self.settings.entry), entries);
        self.ownership.set_lease(self.pace.lease);
        self.committer.set_interval(self.pace.commit);
    }

    /// Removes the own row, so that others need not wait for a lease.
    pub(super) fn leave(&self, done: tokio::sync::oneshot::Sender<()>) {
        let row = row_id(rows::host_key(&self.settings.entry.host));
        let transaction = Transaction::default()
            .expect(row.clone(), self.row_version.unwrap_or(0))
            .delete(row);
        let store = Rc::clone(&self.store);
        actix_rt::spawn(async move {
            // When this fails the row stays until it is written anew.
            let _ = store.transact(&transaction).await;
            let _ = done.send(());
        });
    }
}

/// After a conflict on the own row: did an earlier renewal, whose answer was
/// lost, take effect, or does another process write the row?
async fn own_row(store: &StoreClient, row: &RowId, incarnation: &str) -> RenewOutcome {
    let Ok(found) = store.read_row(row).await else {
        return RenewOutcome::Silent;
    };
    match found.as_ref().and_then(rows::host_row) {
        Some((row, _)) if row.incarnation == incarnation => RenewOutcome::Renewed(row.version),
        _ => RenewOutcome::Replaced,
    }
}

fn host_rows(rows: &[Row]) -> Vec<(HostRow, HostValue)> {
    rows.iter().filter_map(rows::host_row).collect()
}
