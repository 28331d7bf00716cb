//! Takes in settings that change while the process runs.
//!
//! The platform may write the file with a signal or without one. What a process
//! listens on and what it is called stays until its next start; all else is in
//! force for requests that begin afterwards. A file that is not accepted changes
//! nothing.

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use rosebend_state::settings::GatewaySettings;
use rosebend_transport::event::{Event, EventKind, log_event};
use rosebend_transport::settings_file::{SettingsFileError, load_settings};
use tokio::signal::unix::Signal;

use crate::gateway::Gateway;

/// Time between two looks at a file that changed without a signal. A gateway
/// that does nothing else takes 0.25 % of a core with these looks
/// (`cargo bench -p rosebend-gateway --bench cost`).
const LOOK_INTERVAL: Duration = Duration::from_secs(2);

/// Follows the settings file, for ever.
pub async fn follow(gateway: Rc<Gateway>, path: PathBuf, mut hangup: Signal) {
    let mut file = FollowedFile {
        path,
        taken: GatewaySettings::clone(&gateway.settings()),
        refused: None,
    };
    loop {
        tokio::select! {
            _ = hangup.recv() => log_event(&Event::new(EventKind::ReloadAsked)),
            () = tokio::time::sleep(LOOK_INTERVAL) => {}
        }
        file.look(&gateway);
    }
}

/// The settings file as it was seen last.
#[derive(Debug)]
struct FollowedFile {
    path: PathBuf,
    /// What it held when it was last accepted.
    taken: GatewaySettings,
    /// Why it was not accepted, so that this is logged once.
    refused: Option<String>,
}

impl FollowedFile {
    fn look(&mut self, gateway: &Gateway) {
        match read(&self.path) {
            Ok(settings) if settings == self.taken => self.refused = None,
            Ok(settings) => {
                self.refused = None;
                take(gateway, &settings);
                self.taken = settings;
            }
            Err(error) => self.refuse(&error),
        }
    }

    fn refuse(&mut self, error: &SettingsFileError) {
        let text = error.to_string();
        if self.refused.as_ref() != Some(&text) {
            log_event(&Event::new(EventKind::SettingsRefused).error(error));
            self.refused = Some(text);
        }
    }
}

fn read(path: &Path) -> Result<GatewaySettings, SettingsFileError> {
    load_settings(path)
}

/// Puts in force what can change in a running process.
fn take(gateway: &Gateway, settings: &GatewaySettings) {
    let current = gateway.settings();
    let next = GatewaySettings {
        store: settings.store,
        stop_grace: settings.stop_grace,
        retention_margin: settings.retention_margin,
        customers: settings.customers,
        ..GatewaySettings::clone(&current)
    };
    let reach = match next == *settings {
        true => "all",
        false => "all but what needs a start",
    };
    gateway.set_settings(next);
    log_event(&Event::new(EventKind::SettingsTaken).reason(reach));
}
