//! `rosebend-entry`: see the library's page for what it is made of.

use std::process::ExitCode;

use rosebend_entry::process;
use rosebend_state::settings::EntrySettings;
use rosebend_transport::process_command::ProcessCommand;

const BRIEF: &str = "Usage: rosebend-entry --config FILE [--check]

Serves callers and operators, and owns a share of the programs. It stops on
SIGTERM, after it has passed its programs on, and exits 0.

Exit codes: 0 stopped as asked, 1 failed, 2 wrong usage or settings.

Example:
    rosebend-entry --config examples/entry.ini --check";

const COMMAND: ProcessCommand<EntrySettings> = ProcessCommand {
    program: "rosebend-entry",
    brief: BRIEF,
    tokens_file: |settings| &settings.tokens_file,
};

fn main() -> ExitCode {
    COMMAND.main(process::run)
}
