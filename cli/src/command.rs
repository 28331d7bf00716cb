//! What each sub-command does.

use std::io::Write;

use crate::{
    api::Api,
    invocation::{Command, Invocation},
    report::{Failure, Report},
};

mod change;
mod inspect;
mod watch;

/// Runs a command. A watch shows its changes as they come; everything else is
/// in the report.
///
/// # Errors
///
/// Fails when the command as a whole did not do what was asked.
pub async fn run(invocation: &Invocation, out: &mut dyn Write) -> Result<Report, Failure> {
    let api = Api::new(&invocation.settings)?;
    match &invocation.command {
        Command::Apply { paths, dry_run } => change::apply(&api, paths, *dry_run).await,
        Command::Get(key) => inspect::get(&api, key).await,
        Command::List(Some(kind)) => inspect::list(&api, *kind).await,
        Command::List(None) => inspect::list_all(&api).await,
        Command::Delete { key, revision } => change::delete(&api, key, *revision).await,
        Command::Watch { after, count } => {
            watch::watch(&api, *after, *count, invocation.output, out).await
        }
        Command::Drain(key) => change::drain(&api, key).await,
        Command::Status { revision, wait } => inspect::status(&api, *revision, *wait).await,
        Command::ShowProgram(program) => inspect::program(&api, program).await,
        Command::End(program) => change::end(&api, program).await,
    }
}
