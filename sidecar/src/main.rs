//! `rosebend-sidecar`: see the library's page for what it is made of.

use std::{
    io::{self, Write},
    process::ExitCode,
    sync::Arc,
};

use rosebend_sidecar::process::{self, Bound, ProcessError};
use rosebend_state::settings::SidecarSettings;
use rosebend_transport::{
    logging::{LoggingError, init_logging},
    process_command::ProcessCommand,
    settings_file::{SettingsFileError, load_tokens},
};
use tokio::signal::unix::{Signal, SignalKind, signal};

const BRIEF: &str = "Usage: rosebend-sidecar --config FILE [--check]

Stands before one engine or service. It stops on SIGTERM, after what is in
flight has ended, and exits 0.

Exit codes: 0 stopped as asked, 1 failed, 2 wrong usage or settings.

Example:
    rosebend-sidecar --config examples/sidecar.ini --check";

/// Why the process failed.
#[derive(Debug)]
#[derive(thiserror::Error)]
enum RunError {
    #[error("{0}")]
    Logging(#[from] LoggingError),
    #[error("signals cannot be received: {0}")]
    Signal(#[from] io::Error),
    #[error("{0}")]
    Tokens(#[from] SettingsFileError),
    #[error("{0}")]
    Process(#[from] ProcessError),
}

const COMMAND: ProcessCommand<SidecarSettings> = ProcessCommand {
    program: "rosebend-sidecar",
    brief: BRIEF,
    tokens_file: |settings| &settings.tokens_file,
};

fn main() -> ExitCode {
    COMMAND.main(run)
}

fn run(settings: SidecarSettings) -> Result<(), RunError> {
    init_logging(&settings.log)?;
    let tokens = Arc::new(load_tokens(&settings.tokens_file)?);
    actix_rt::System::new().block_on(async move {
        let terminate = signal(SignalKind::terminate())?;
        let interrupt = signal(SignalKind::interrupt())?;
        let stop = stop_signal(terminate, interrupt);
        process::run(settings, tokens, announce, stop).await?;
        Ok(())
    })
}

async fn stop_signal(mut terminate: Signal, mut interrupt: Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

/// Tells whoever started this process where it listens.
fn announce(bound: Bound) {
    let Bound {
        listen,
        metrics_listen,
    } = bound;
    println!("listening on {listen} for entries and {metrics_listen} for metrics");
    // Nobody reads when standard output is closed.
    let _ = io::stdout().flush();
}
