//! `rosebend-sidecar`: see the library's page for what it is made of.

use std::{
    io::{self, Write},
    path::{Path, PathBuf},
    process::ExitCode,
    sync::Arc,
};

use getopts::Options;
use rosebend_sidecar::process::{self, Bound, ProcessError};
use rosebend_state::settings::SidecarSettings;
use rosebend_transport::{
    logging::{LoggingError, init_logging},
    settings_file::{SettingsFileError, check_settings, load_settings, load_tokens},
};
use tokio::signal::unix::{Signal, SignalKind, signal};

const BRIEF: &str = "Usage: rosebend-sidecar --config FILE [--check]

Stands before one engine or service. It stops on SIGTERM, after what is in
flight has ended, and exits 0.

Exit codes: 0 stopped as asked, 1 failed, 2 wrong usage or settings.

Example:
    rosebend-sidecar --config examples/sidecar.ini --check";

const USAGE_EXIT: u8 = 2;

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

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optopt("c", "config", "settings, in INI form", "FILE");
    options.optflag("", "check", "check the settings and exit");
    options.optflag("h", "help", "print this page");
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => return usage(&options, &error.to_string()),
    };
    if matches.opt_present("help") {
        println!("{}", options.usage(BRIEF));
        return ExitCode::SUCCESS;
    }
    let Some(path) = matches.opt_str("config").map(PathBuf::from) else {
        return usage(&options, "--config is wanted");
    };
    if matches.opt_present("check") {
        return check(&path);
    }
    match load_settings::<SidecarSettings>(&path) {
        Ok(settings) => exit_code(run(settings)),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(USAGE_EXIT)
        }
    }
}

fn usage(options: &Options, error: &str) -> ExitCode {
    eprintln!("rosebend-sidecar: {error}\n{}", options.usage(BRIEF));
    ExitCode::from(USAGE_EXIT)
}

fn check(path: &Path) -> ExitCode {
    match check_settings(path, |settings: &SidecarSettings| &settings.tokens_file) {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(text) => {
            eprintln!("{text}");
            ExitCode::from(USAGE_EXIT)
        }
    }
}

fn exit_code(ran: Result<(), RunError>) -> ExitCode {
    match ran {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("rosebend-sidecar: {error}");
            ExitCode::FAILURE
        }
    }
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
