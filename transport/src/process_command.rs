//! The command line that the long-running processes share.

use std::fmt::Display;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use getopts::Options;
use rosebend_state::settings::{Document, SettingsError};

use crate::settings_file::{check_settings, load_settings};

/// Exit code for a wrong command line or settings that are not accepted.
const USAGE_EXIT: u8 = 2;

/// What a process is, for its command line.
#[derive(Clone, Copy, Debug)]
pub struct ProcessCommand<T> {
    /// Name of the program.
    pub program: &'static str,
    /// What `--help` prints before the options.
    pub brief: &'static str,
    /// Where the settings name their tokens.
    pub tokens_file: fn(&T) -> &Path,
}

impl<T> ProcessCommand<T>
where
    T: for<'a> TryFrom<&'a Document, Error = SettingsError>,
{
    /// Reads the arguments of the process, and runs it with its settings unless
    /// they ask for something else.
    pub fn main<E: Display>(&self, run: impl FnOnce(T) -> Result<(), E>) -> ExitCode {
        let options = options();
        let matches = match options.parse(std::env::args().skip(1)) {
            Ok(matches) => matches,
            Err(error) => return self.usage(&options, &error.to_string()),
        };
        if matches.opt_present("help") {
            println!("{}", options.usage(self.brief));
            return ExitCode::SUCCESS;
        }
        if matches.opt_present("version") {
            println!("{} {}", self.program, env!("CARGO_PKG_VERSION"));
            return ExitCode::SUCCESS;
        }
        let Some(path) = matches.opt_str("config").map(PathBuf::from) else {
            return self.usage(&options, "--config is wanted");
        };
        if matches.opt_present("check") {
            return self.check(&path);
        }
        match load_settings(&path) {
            Ok(settings) => self.exit_code(run(settings)),
            Err(error) => {
                eprintln!("{error}");
                ExitCode::from(USAGE_EXIT)
            }
        }
    }

    fn usage(&self, options: &Options, error: &str) -> ExitCode {
        eprintln!("{}: {error}\n{}", self.program, options.usage(self.brief));
        ExitCode::from(USAGE_EXIT)
    }

    fn check(&self, path: &Path) -> ExitCode {
        match check_settings(path, self.tokens_file) {
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

    fn exit_code<E: Display>(&self, ran: Result<(), E>) -> ExitCode {
        match ran {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("{}: {error}", self.program);
                ExitCode::FAILURE
            }
        }
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("c", "config", "settings, in INI form", "FILE");
    options.optflag("", "check", "check the settings and exit");
    options.optflag("V", "version", "print the version");
    options.optflag("h", "help", "print this page");
    options
}
