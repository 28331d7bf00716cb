//! Applies changes of the settings file while the process runs.
//!
//! The platform may change the file with or without sending a signal, so the file is also
//! polled. The settings of the store, the stop, the retention, the customers and the
//! selection of engines apply to requests that begin after the change. All others, such as
//! the listen addresses and the names of the process, take effect only at its next start. A
//! file that is not valid changes nothing.

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use rosebend_state::settings::GatewaySettings;
use rosebend_transport::event::{Event, EventKind, log_event};
use rosebend_transport::settings_file::{SettingsFileError, load_settings};
use tokio::signal::unix::Signal;

use crate::gateway::Gateway;

/// Interval between two polls of the file. An otherwise idle gateway spends 0.25 % of a core
/// on these polls.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Applies the settings file when a signal arrives, and polls it otherwise, forever.
pub async fn follow(gateway: Rc<Gateway>, path: PathBuf, mut hangup: Signal) {
    let mut file = PolledFile {
        path,
        accepted: GatewaySettings::clone(&gateway.settings()),
        last_error: None,
    };
    loop {
        tokio::select! {
            _ = hangup.recv() => log_event(&Event::new(EventKind::ReloadAsked)),
            () = tokio::time::sleep(POLL_INTERVAL) => {}
        }
        file.poll(&gateway);
    }
}

/// The settings file and the result of its last polls.
#[derive(Debug)]
struct PolledFile {
    path: PathBuf,
    /// The settings that the file contained when it was last valid.
    accepted: GatewaySettings,
    /// The error of the last poll if the file was not valid. Each error is logged once.
    last_error: Option<String>,
}

impl PolledFile {
    /// Reads the file and applies the settings if they have changed.
    fn poll(&mut self, gateway: &Gateway) {
        match read(&self.path) {
            Ok(settings) if settings == self.accepted => self.last_error = None,
            Ok(settings) => {
                self.last_error = None;
                apply(gateway, &settings);
                self.accepted = settings;
            }
            Err(error) => self.record_error(&error),
        }
    }

    /// Logs an error unless it was already logged for the previous poll.
    fn record_error(&mut self, error: &SettingsFileError) {
        let text = error.to_string();
        if self.last_error.as_ref() != Some(&text) {
            log_event(&Event::new(EventKind::SettingsRefused).error(error));
            self.last_error = Some(text);
        }
    }
}

fn read(path: &Path) -> Result<GatewaySettings, SettingsFileError> {
    load_settings(path)
}

/// Applies the settings that can change in a running process.
fn apply(gateway: &Gateway, settings: &GatewaySettings) {
    let current = gateway.settings();
    let next = GatewaySettings {
        store: settings.store,
        stop_grace: settings.stop_grace,
        retention_margin: settings.retention_margin,
        host_expiry: settings.host_expiry,
        clients: settings.clients,
        customers: settings.customers,
        engine_selection: settings.engine_selection,
        ..GatewaySettings::clone(&current)
    };
    let scope = match next == *settings {
        true => "all",
        false => "all but what needs a start",
    };
    gateway.set_settings(next);
    log_event(&Event::new(EventKind::SettingsTaken).reason(scope));
}
