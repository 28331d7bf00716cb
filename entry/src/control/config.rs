//! The configuration and the quarantine, read from the table.
//!
//! One read a period tells whether anything changed. What comes into force is
//! only ever newer than what was.

use rosebend_coordination::owner::Event;
use rosebend_protocol::platform::Row;
use rosebend_state::resource::Resource;
use rosebend_transport::event::{Event as LogEvent, EventKind, log_event};

use super::state::Control;
use super::{Command, Directory};
use crate::rows;

/// Rows that tell whether anything changed.
#[derive(Debug)]
pub struct ConfigMarks {
    /// Newest revision; zero when there is none.
    pub revision: u64,
    /// Version of the row that every quarantine rewrites.
    pub quarantine_version: u64,
}

/// The configuration as it was read.
#[derive(Debug)]
pub struct ReadConfig {
    /// The revision read before the resources; they may be newer.
    pub revision: u64,
    /// All resources, when the revision was new.
    pub resources: Option<Vec<Resource>>,
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
        let platform = self.platform.clone();
        let handle = self.handle.clone();
        let known = ConfigMarks {
            revision: self.config_revision,
            quarantine_version: self.quarantine_version,
        };
        actix_rt::spawn(async move {
            let read = read_config(&platform, known).await;
            handle.send(Command::ConfigRead(read));
        });
    }

    pub(super) fn config_read(&mut self, read: Option<ReadConfig>) {
        self.reading_config = false;
        self.note_table(read.is_some());
        let Some(read) = read else {
            return;
        };
        if let Some(resources) = read.resources
            && read.revision > self.config_revision
        {
            self.directory = Directory::new(&resources);
            self.config_revision = read.revision;
            log_event(&LogEvent::new(EventKind::ConfigurationApplied).revision(read.revision));
            self.refresh_router();
            self.poll_sidecars();
        }
        if let Some(fingerprints) = read.fingerprints {
            self.quarantine_version = read.quarantine_version;
            self.owner_event(Event::Quarantined { fingerprints });
        }
    }
}

async fn read_config(
    platform: &rosebend_transport::platform_client::PlatformClient,
    known: ConfigMarks,
) -> Option<ReadConfig> {
    let keys = vec![
        rows::REVISION_KEY.to_owned(),
        rows::QUARANTINE_MARK_KEY.to_owned(),
    ];
    let marks = platform.read(keys).await.ok()?;
    let found = |key: &str| marks.iter().find(|row| row.key == key);
    let revision = found(rows::REVISION_KEY).map_or(0, revision_of);
    let quarantine_version = found(rows::QUARANTINE_MARK_KEY).map_or(0, |row| row.version);
    let mut read = ReadConfig {
        revision,
        resources: None,
        quarantine_version,
        fingerprints: None,
    };
    if revision > known.revision {
        let rows = platform.scan_all(rows::RESOURCE_PREFIX).await.ok()?;
        read.resources = Some(rows.into_iter().filter_map(resource).collect());
    }
    if quarantine_version > known.quarantine_version {
        let rows = platform.scan_all(rows::QUARANTINE_PREFIX).await.ok()?;
        let fingerprints = rows
            .iter()
            .filter_map(|row| row.key.strip_prefix(rows::QUARANTINE_PREFIX));
        read.fingerprints = Some(fingerprints.map(str::to_owned).collect());
    }
    Some(read)
}

fn revision_of(row: &Row) -> u64 {
    row.value
        .get("revision")
        .and_then(serde_json::Value::as_u64)
        .unwrap_or(0)
}

fn resource(row: Row) -> Option<Resource> {
    serde_json::from_value(row.value).ok()
}
