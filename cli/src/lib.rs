//! The operators' command line of rosebend.
//!
//! - [`verb`]: the sub-commands and their help.
//! - [`invocation`]: the arguments, checked.
//! - [`api`]: the client of the operators' API.
//! - [`explain`]: the story of a request, from log lines.
//! - [`files`]: resources from files.
//! - [`command`]: what each sub-command does.
//! - [`report`] and [`table`]: what is shown, and the exit codes.
//!
//! ```
//! # actix_rt::System::new().block_on(async {
//! let mut shown = Vec::new();
//! let mut complaints = Vec::new();
//! let arguments = ["status".to_owned(), "--help".to_owned()];
//! let exit = rosebend::run(&arguments, &mut shown, &mut complaints).await;
//! assert_eq!(exit, rosebend::report::Exit::Done);
//! # });
//! ```

use std::io::Write;

pub mod api;
pub mod command;
pub mod explain;
pub mod files;
pub mod invocation;
pub mod report;
pub mod table;
pub mod verb;

use self::{
    explain::Story,
    invocation::{Invocation, Output, Parsed, Question},
    report::Exit,
};

/// Runs the command line on its arguments, without the program's name.
pub async fn run(arguments: &[String], out: &mut dyn Write, err: &mut dyn Write) -> Exit {
    let invocation = match Invocation::parse(arguments) {
        Ok(Parsed::Run(invocation)) => invocation,
        Ok(Parsed::Show(text)) => {
            show(out, &text);
            return Exit::Done;
        }
        Ok(Parsed::Explain(question)) => return explain_from_logs(&question, out, err),
        Err(usage) => {
            show(err, &format!("rosebend: {usage}\n"));
            return Exit::Usage;
        }
    };
    match command::run(&invocation, out).await {
        Ok(report) => {
            show(out, &report.render(invocation.output));
            show(err, &report.complaints());
            report.exit
        }
        Err(failure) => {
            show(err, &format!("rosebend: {failure}\n"));
            failure.exit()
        }
    }
}

/// Tells a story from log files, or from standard input where none is named.
fn explain_from_logs(question: &Question, out: &mut dyn Write, err: &mut dyn Write) -> Exit {
    let text = match question.read() {
        Ok(text) => text,
        Err(error) => {
            show(err, &format!("rosebend: {error}\n"));
            return Exit::Usage;
        }
    };
    let story = Story::tell(&question.id, text.lines());
    let shown = match question.output {
        Output::Table => story.text(),
        Output::Json => story.json(),
    };
    show(out, &shown);
    match story.is_empty() {
        true => Exit::Refused,
        false => Exit::Done,
    }
}

/// Writes a text. A reader that has gone away, as behind `| head`, is no
/// failure of the command.
fn show(stream: &mut dyn Write, text: &str) {
    let _ = stream.write_all(text.as_bytes());
    let _ = stream.flush();
}
