//! What an entry tells of itself.

use rosebend_coordination::ownership::HostRow;
use rosebend_state::id::HostId;
use serde::Serialize;

use super::state::Control;
use crate::operators::LiveProcess;
use crate::rows::HostValue;

/// What an entry tells of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub struct EntryStatus {
    /// The entry's host.
    pub host: HostId,
    /// Whether the table answers.
    pub table_answers: bool,
    /// Whether every shard has a live owner, as far as this entry knows.
    pub settled: bool,
    /// Whether all shards of this entry are loaded.
    pub loaded: bool,
    /// Number of shards owned here.
    pub shards: usize,
    /// Revision of the configuration in force here.
    pub config_revision: u64,
    /// All processes known to be live.
    pub processes: Vec<LiveProcess>,
}

/// What the row of an entry says of its process.
pub(super) fn entry_process(row: &HostRow, value: &HostValue) -> LiveProcess {
    LiveProcess {
        host: row.host.clone(),
        kind: "entry",
        availability_zone: value.availability_zone.clone(),
        config_revision: value.config_revision,
        leaving: value.leaving,
    }
}

impl Control {
    pub(super) fn status(&self) -> EntryStatus {
        let live: Vec<&str> = self
            .ownership
            .live_peers()
            .map(|peer| peer.host.as_str())
            .collect();
        let own = &self.settings.entry.host;
        let entries = self
            .entries
            .iter()
            .filter(|process| process.host == *own || live.contains(&process.host.as_str()));
        let mut processes: Vec<LiveProcess> = entries.cloned().collect();
        for process in &mut processes {
            if process.host == *own {
                process.config_revision = self.configuration.revision();
            }
        }
        for endpoint in self.directory.endpoints.values() {
            let Some(view) = self.sidecars.get(&endpoint.id) else {
                continue;
            };
            if view.is_silent() || view.incarnation.is_empty() {
                continue;
            }
            processes.push(LiveProcess {
                host: endpoint.id.clone(),
                kind: "sidecar",
                availability_zone: endpoint.availability_zone.clone(),
                config_revision: view.config_revision,
                leaving: view.leaving,
            });
        }
        EntryStatus {
            host: own.clone(),
            table_answers: self.table_answers,
            settled: self.ownership.is_settled(),
            loaded: self.loading.is_empty(),
            shards: self.epochs.len(),
            config_revision: self.configuration.revision(),
            processes,
        }
    }
}
