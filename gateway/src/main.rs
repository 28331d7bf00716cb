//! The command `rosebend-gateway`. The documentation of the library describes its modules.

use std::path::PathBuf;
use std::process::ExitCode;

use getopts::{Matches, Options};
use rosebend_gateway::process;
use rosebend_platform::process::SETTINGS_VARIABLE;
use rosebend_state::settings::GatewaySettings;
use rosebend_transport::logging::init_json_logging;
use rosebend_transport::settings_file::load_settings;

const BRIEF: &str = "Usage: rosebend-gateway (--config FILE | --platform) [--check]

Serves callers on the users' platform: sends each request to an endpoint and
keeps the turns of programs in the platform's store. It stops on SIGTERM, after
open requests have ended, and exits 0.

Exit codes: 0 stopped as asked, 1 failed, 2 wrong usage or settings.

Example:
    rosebend-gateway --config examples/gateway.ini --check";

/// Exit code for an invalid command line or invalid settings.
const USAGE_EXIT: u8 = 2;

fn main() -> ExitCode {
    let options = options();
    match options.parse(std::env::args().skip(1)) {
        Ok(matches) => run(&options, &matches),
        Err(error) => usage(&options, &error.to_string()),
    }
}

fn run(options: &Options, matches: &Matches) -> ExitCode {
    if matches.opt_present("help") {
        println!("{}", options.usage(BRIEF));
        return ExitCode::SUCCESS;
    }
    if matches.opt_present("version") {
        println!("rosebend-gateway {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(path) = settings_path(matches) else {
        let error =
            format!("--config FILE is required, or --platform with {SETTINGS_VARIABLE} set");
        return usage(options, &error);
    };
    let settings: GatewaySettings = match load_settings(&path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(USAGE_EXIT);
        }
    };
    if matches.opt_present("check") {
        println!("{}: accepted", path.display());
        return ExitCode::SUCCESS;
    }
    serve(settings, path)
}

fn serve(settings: GatewaySettings, path: PathBuf) -> ExitCode {
    if let Err(error) = init_json_logging(&settings.log, &settings.host) {
        eprintln!("rosebend-gateway: {error}");
        return ExitCode::FAILURE;
    }
    let code = match process::run(settings, path) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}");
            ExitCode::FAILURE
        }
    };
    log::logger().flush();
    code
}

fn settings_path(matches: &Matches) -> Option<PathBuf> {
    match matches.opt_str("config") {
        Some(path) => Some(PathBuf::from(path)),
        None if matches.opt_present("platform") => {
            std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from)
        }
        None => None,
    }
}

fn usage(options: &Options, error: &str) -> ExitCode {
    eprintln!("rosebend-gateway: {error}\n{}", options.usage(BRIEF));
    ExitCode::from(USAGE_EXIT)
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("c", "config", "settings, in INI form", "FILE");
    options.optflag("", "platform", "take the settings that the platform placed");
    options.optflag("", "check", "check the settings and exit");
    options.optflag("V", "version", "print the version");
    options.optflag("h", "help", "print this page");
    options
}
