//! What can go wrong in the harness itself.

use std::{io, process::ExitStatus};

/// The harness could not do what a test asked.
#[derive(Debug, thiserror::Error)]
pub enum HarnessError {
    /// A file or a process could not be used.
    #[error("{what}: {error}")]
    Io {
        /// What was being done.
        what: String,
        /// Why it failed.
        error: io::Error,
    },
    /// The programs could not be built.
    #[error("the programs could not be built: {0}")]
    Build(ExitStatus),
    /// A condition did not come true.
    #[error("waited in vain for {0}")]
    Deadline(String),
    /// A process ended although it should run.
    #[error("{name} ended early with {status}; the end of its log:\n{log}")]
    Ended {
        /// The process.
        name: String,
        /// How it ended.
        status: ExitStatus,
        /// Its last lines.
        log: String,
    },
    /// A connection was refused, so nothing was sent.
    #[error("{what}: not connected: {detail}")]
    NotConnected {
        /// The request.
        what: String,
        /// Why there was no connection.
        detail: String,
    },
    /// A request had no answer.
    #[error("{what}: {detail}")]
    NoAnswer {
        /// The request.
        what: String,
        /// What happened instead.
        detail: String,
    },
    /// An answer was not what it must be for the test to go on.
    #[error("{what}: status {status}, {body}")]
    Refused {
        /// The request.
        what: String,
        /// The answer's status.
        status: u16,
        /// The answer's body.
        body: String,
    },
}

impl HarnessError {
    /// Names what was being done when an I/O error came.
    pub fn io(what: impl Into<String>) -> impl FnOnce(io::Error) -> Self {
        let what = what.into();
        move |error| Self::Io { what, error }
    }
}
