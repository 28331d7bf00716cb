//! What a command shows, and how it ends.

use std::fmt;

use rosebend_protocol::problem::{Problem, Ran};
use serde_json::Value;

use crate::{invocation::Output, table::Table};

/// How a command ends, by severity.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Exit {
    /// It did what was asked.
    #[default]
    Done,
    /// It was refused; nothing was changed.
    Refused,
    /// The command line, a setting or a file is not accepted.
    Usage,
    /// No entry can be reached; nothing was changed.
    NotReachable,
    /// The change may stand.
    OutcomeUnknown,
}

impl Exit {
    /// The exit code.
    pub fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Refused => 1,
            Self::Usage => 2,
            Self::NotReachable => 3,
            Self::OutcomeUnknown => 4,
        }
    }
}

/// Why a command did not do what was asked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Failure {
    /// A setting or a file is not accepted; nothing was sent.
    Usage(String),
    /// No entry can be reached; nothing was sent.
    NotReachable(String),
    /// The request was sent and no answer came.
    LostAnswer(String),
    /// The entry answered with a problem.
    Problem(Box<Problem>),
}

impl Failure {
    /// How the command ends by this failure.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Usage(_) => Exit::Usage,
            Self::NotReachable(_) => Exit::NotReachable,
            Self::LostAnswer(_) => Exit::OutcomeUnknown,
            Self::Problem(problem) if problem.ran == Ran::Unknown => Exit::OutcomeUnknown,
            Self::Problem(_) => Exit::Refused,
        }
    }

    /// The same failure of a request that changes nothing: whether it was run
    /// does not matter.
    pub fn of_reading(self) -> Self {
        match self {
            Self::LostAnswer(detail) => Self::NotReachable(detail),
            other => other,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(detail) => f.write_str(detail),
            Self::NotReachable(detail) => write!(f, "no entry can be reached: {detail}"),
            Self::LostAnswer(detail) => {
                write!(f, "no answer came, and the change may stand: {detail}")
            }
            Self::Problem(problem) => write_problem(f, problem),
        }
    }
}

fn write_problem(f: &mut fmt::Formatter<'_>, problem: &Problem) -> fmt::Result {
    write!(f, "{} ({})", problem.detail, problem.reason)?;
    let changes = problem
        .extra
        .as_ref()
        .and_then(|extra| extra.get("changes"));
    for change in changes.and_then(Value::as_array).into_iter().flatten() {
        let by = change["changed_by"].as_str().unwrap_or("somebody");
        let did = match change["removed"].as_bool() {
            Some(true) => "removed",
            _ => "changed",
        };
        write!(f, "\n  revision {}: {did} by {by}", change["revision"])?;
    }
    Ok(())
}

/// What a command shows.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// For people.
    pub table: Table,
    /// For programs.
    pub json: Value,
    /// What went wrong with parts of the command.
    pub failures: Vec<String>,
    /// How the command ends.
    pub exit: Exit,
}

impl Report {
    /// A report of a command that did what was asked.
    pub fn done(table: Table, json: Value) -> Self {
        Self {
            table,
            json,
            ..Self::default()
        }
    }

    /// Adds a failure of a part of the command; the gravest decides the exit.
    pub fn add_failure(&mut self, part: &str, failure: &Failure) {
        self.failures.push(format!("rosebend: {part}: {failure}\n"));
        self.exit = self.exit.max(failure.exit());
    }

    /// What goes to the standard output.
    pub fn render(&self, output: Output) -> String {
        match output {
            Output::Table => self.table.to_string(),
            Output::Json if self.json.is_null() => String::new(),
            Output::Json => format!("{:#}\n", self.json),
        }
    }

    /// What goes to the standard error.
    pub fn complaints(&self) -> String {
        self.failures.concat()
    }
}
