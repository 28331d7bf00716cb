//! The configuration and the quarantine, read from the table, or from a peer
//! while the table is silent.
//!
//! One read a period tells whether anything changed. What comes into force is
//! only ever newer than what was.

use rosebend_coordination::configuration::RevisionRow;
use rosebend_coordination::owner::Event;
use rosebend_coordination::ownership::HostRow;
use rosebend_protocol::configuration::{from_messages, to_messages};
use rosebend_protocol::peer::entry_client::EntryClient;
use rosebend_protocol::peer::{ExchangeReply, ExchangeRequest};
use rosebend_protocol::table::{row_id, rows_under};
use rosebend_state::deployment::Row;
use rosebend_state::id::{HostId, Revision};
use rosebend_state::resource::{Change, ConfigUpdate};
use rosebend_transport::event::{Event as LogEvent, EventKind, log_event};
use rosebend_transport::store::StoreClient;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

use super::state::Control;
use super::{Command, Directory};
use crate::configuration::read_newer;
use crate::rows;

/// Longest wait for a peer's configuration.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Changes in one message to a process that is behind.
const MAX_CHANGES: usize = 256;

/// What is known of the configuration and the quarantine before a read.
#[derive(Debug)]
struct ConfigMarks {
    revision: Revision,
    /// Version of the row that every quarantine rewrites.
    quarantine_version: u64,
}

/// The configuration as it was read.
#[derive(Debug)]
pub struct ReadConfig {
    /// What is newer than before, if anything is and it could be read.
    pub update: Option<ConfigUpdate>,
    /// The newest revision that exists.
    pub newest: Revision,
    /// Version of the row that every quarantine rewrites.
    pub quarantine_version: u64,
    /// All quarantined fingerprints, when that version was new.
    pub fingerprints: Option<Vec<String>>,
}

impl Control {
    pub(super) fn poll_config(&mut self) {
        if self.reading_config {
            return;
        }
        self.reading_config = true;
        let store = Rc::clone(&self.store);
        let handle = self.handle.clone();
        let known = ConfigMarks {
            revision: self.configuration.revision(),
            quarantine_version: self.quarantine_version,
        };
        actix_rt::spawn(async move {
            let read = read_config(&store, known).await;
            handle.send(Command::ConfigRead(read));
        });
    }

    pub(super) fn config_read(&mut self, read: Option<ReadConfig>) {
        self.reading_config = false;
        self.note_table(read.is_some());
        let Some(read) = read else {
            self.ask_peer_for_config();
            return;
        };
        if let Some(update) = read.update {
            self.update_config(update);
        }
        if self.configuration.revision() >= read.newest {
            self.know_configuration();
        }
        if let Some(fingerprints) = read.fingerprints {
            self.quarantine_version = read.quarantine_version;
            self.owner_event(Event::Quarantined { fingerprints });
        }
    }

    /// The sidecars are known from now on, so that gained shards can be loaded.
    pub(super) fn know_configuration(&mut self) {
        if std::mem::replace(&mut self.knows_configuration, true) {
            return;
        }
        let gained = std::mem::take(&mut self.unloaded);
        if !gained.is_empty() {
            self.load(gained);
        }
    }

    /// A change that was accepted here is applied from here: were it only read
    /// from the table, an outage right after it would keep it from everybody.
    pub(super) fn config_accepted(&mut self, change: Change) {
        self.update_config(ConfigUpdate::Changes(vec![change]));
        self.poll_config();
    }

    /// Brings an update into force, if it is newer.
    pub(super) fn update_config(&mut self, update: ConfigUpdate) {
        if !self.configuration.take(update) {
            return;
        }
        let snapshot = self.configuration.snapshot();
        self.directory = Directory::new(&snapshot.resources);
        let event = LogEvent::new(EventKind::ConfigurationApplied);
        log_event(&event.revision(snapshot.revision));
        self.refresh_router();
        self.poll_sidecars();
    }

    /// What a process at `revision` lacks, as messages; whether they are a
    /// snapshot goes beside them.
    pub(super) fn config_lacking(&self, revision: Revision) -> ExchangeReply {
        let lacking = self.configuration.lacking(revision, MAX_CHANGES);
        let (changes, snapshot) = lacking.as_ref().map(to_messages).unwrap_or_default();
        ExchangeReply {
            config_revision: self.configuration.revision(),
            changes,
            snapshot,
            leaving: self.stopping.is_some(),
        }
    }

    /// While the table is silent, a change accepted just before may be known
    /// to a peer only. One peer is asked a period, each in its turn.
    fn ask_peer_for_config(&mut self) {
        let peers: Vec<&HostRow> = self.ownership.live_peers().collect();
        if peers.is_empty() {
            return;
        }
        self.config_turn = self.config_turn.wrapping_add(1);
        let peer = peers[self.config_turn % peers.len()];
        let (host, address) = (peer.host.clone(), peer.peer_address.clone());
        let request = ExchangeRequest {
            sender: self.settings.entry.host.clone(),
            config_revision: self.configuration.revision(),
            ..ExchangeRequest::default()
        };
        let handle = self.handle.clone();
        self.traffic.spawn(move |peers| async move {
            let exchange = async {
                let channel = peers.channel(&address).await.ok()?;
                let reply = EntryClient::new(channel).exchange(request).await;
                Some(reply.ok()?.into_inner())
            };
            match timeout(EXCHANGE_TIMEOUT, exchange).await.ok().flatten() {
                Some(reply) => handle.send(Command::PeerConfig { host, reply }),
                None => peers.forget(&address),
            }
        });
    }

    pub(super) fn peer_config(&mut self, host: &HostId, reply: &ExchangeReply) {
        let revision = reply.config_revision;
        // Its row, which would tell this, cannot be read now.
        let peer = self.entries.iter_mut().find(|peer| peer.host == *host);
        if let Some(peer) = peer {
            peer.config_revision = peer.config_revision.max(revision);
        }
        match from_messages(revision, &reply.changes, reply.snapshot) {
            Ok(update) => {
                self.update_config(update);
                self.know_configuration();
            }
            Err(error) => {
                let event = LogEvent::new(EventKind::ConfigurationInvalid);
                log_event(&event.revision(revision).error(&error));
            }
        }
    }
}

async fn read_config(store: &StoreClient, known: ConfigMarks) -> Option<ReadConfig> {
    let keys = [
        row_id(rows::REVISION_KEY),
        row_id(rows::QUARANTINE_MARK_KEY),
    ];
    let marks = store.read_rows(&keys).await.ok()?;
    let found = |key: &str| marks.iter().find(|row| row.id.key == key);
    let newest = found(rows::REVISION_KEY).map_or(0, revision_of);
    let quarantine_version = found(rows::QUARANTINE_MARK_KEY).map_or(0, |row| row.version);
    let mut read = ReadConfig {
        update: None,
        newest,
        quarantine_version,
        fingerprints: None,
    };
    if newest > known.revision {
        read.update = read_newer(store, known.revision, newest).await;
    }
    if quarantine_version > known.quarantine_version {
        let rows = store.read(&rows_under(rows::QUARANTINE_PREFIX)).await;
        let rows = rows.ok()?.rows;
        let fingerprints = rows
            .iter()
            .filter_map(|row| row.id.key.strip_prefix(rows::QUARANTINE_PREFIX));
        read.fingerprints = Some(fingerprints.map(str::to_owned).collect());
    }
    Some(read)
}

fn revision_of(row: &Row) -> u64 {
    rows::from_json::<RevisionRow>(row).map_or(0, |row| row.revision)
}
