//! The sidecar process. See the library for what it does.

use std::{io::Write, process::ExitCode};

use getopts::Options;
use rosebend_sidecar::{
    process::{self, Bound, ProcessError},
    settings::{SettingsError, SidecarSettings},
};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Exit code for a wrong command line or wrong settings.
const EXIT_USAGE: u8 = 2;

#[derive(Debug, thiserror::Error)]
enum MainError {
    #[error("{0}")]
    CommandLine(#[from] getopts::Fail),
    #[error("--config FILE is missing")]
    NoConfig,
    #[error("{path}: {error}")]
    Read { path: String, error: std::io::Error },
    #[error("{path}: {error}")]
    Settings { path: String, error: SettingsError },
    #[error("signals cannot be received: {0}")]
    Signal(std::io::Error),
    #[error("{0}")]
    Process(#[from] ProcessError),
}

impl MainError {
    fn exit_code(&self) -> ExitCode {
        match self {
            Self::CommandLine(_) | Self::NoConfig | Self::Read { .. } | Self::Settings { .. } => {
                ExitCode::from(EXIT_USAGE)
            }
            Self::Signal(_) | Self::Process(_) => ExitCode::FAILURE,
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("rosebend-sidecar: {error}");
            error.exit_code()
        }
    }
}

fn run() -> Result<(), MainError> {
    let mut options = Options::new();
    options.optopt("", "config", "read settings from FILE", "FILE");
    options.optflag("", "check", "check the settings and exit");
    options.optflag("", "help", "print this help and exit");
    let matches = options.parse(std::env::args_os().skip(1))?;
    if matches.opt_present("help") {
        let brief = "Usage: rosebend-sidecar --config FILE [--check]\n\n\
            Stands before one engine or service endpoint.\n\n\
            Example: rosebend-sidecar --config sidecar.ini";
        print!("{}", options.usage(brief));
        return Ok(());
    }
    let path = matches.opt_str("config").ok_or(MainError::NoConfig)?;
    let settings = read_settings(path)?;
    if matches.opt_present("check") {
        println!("the settings are accepted");
        return Ok(());
    }
    serve(settings)
}

fn read_settings(path: String) -> Result<SidecarSettings, MainError> {
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(error) => return Err(MainError::Read { path, error }),
    };
    SidecarSettings::try_from(text.as_str()).map_err(|error| MainError::Settings { path, error })
}

fn serve(settings: SidecarSettings) -> Result<(), MainError> {
    actix_rt::System::new().block_on(async move {
        let terminate = signal(SignalKind::terminate()).map_err(MainError::Signal)?;
        let interrupt = signal(SignalKind::interrupt()).map_err(MainError::Signal)?;
        let stop = stop_signal(terminate, interrupt);
        process::run(settings, announce, stop).await?;
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
    println!("listening on {}", bound.listen);
    println!("metrics on {}", bound.metrics_listen);
    // Nobody reads when standard output is closed.
    let _ = std::io::stdout().flush();
}
