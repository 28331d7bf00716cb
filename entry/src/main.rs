//! `rosebend-entry`: see the library's page for what it is made of.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use getopts::Options;
use rosebend_entry::process;
use rosebend_state::settings::EntrySettings;
use rosebend_transport::settings_file::{check_settings, load_settings};

const BRIEF: &str = "Usage: rosebend-entry --config FILE [--check]

Serves callers and operators, and owns a share of the programs. It stops on
SIGTERM, after it has passed its programs on, and exits 0.

Exit codes: 0 stopped as asked, 1 failed, 2 wrong usage or settings.

Example:
    rosebend-entry --config examples/entry.ini --check";

const USAGE_EXIT: u8 = 2;

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
    match load_settings::<EntrySettings>(&path) {
        Ok(settings) => run(settings),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(USAGE_EXIT)
        }
    }
}

fn usage(options: &Options, error: &str) -> ExitCode {
    eprintln!("rosebend-entry: {error}\n{}", options.usage(BRIEF));
    ExitCode::from(USAGE_EXIT)
}

fn check(path: &Path) -> ExitCode {
    match check_settings(path, |settings: &EntrySettings| &settings.tokens_file) {
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

fn run(settings: EntrySettings) -> ExitCode {
    match process::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("rosebend-entry: {error}");
            ExitCode::FAILURE
        }
    }
}
