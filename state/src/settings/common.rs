//! Sections that several binaries share.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use super::{
    schema::{Key, KeyKind, Presence, SectionSchema, Unit},
    values::Values,
};

/// How the platform is reached.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformSettings {
    /// Where the store answers.
    pub address: SocketAddr,
    /// Longest wait for each answer.
    pub timeout: Duration,
}

/// Where log lines go and which are written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogSettings {
    /// The least important level that is written.
    pub level: LogLevel,
    /// The file; standard error without one.
    pub file: Option<PathBuf>,
}

/// How important a log line is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogLevel {
    /// Something failed and needs a person.
    Error,
    /// Something failed and was dealt with.
    Warn,
    /// Something changed.
    Info,
    /// Steps within a change.
    Debug,
    /// Everything.
    Trace,
}

const LEVELS: &[&str] = &["error", "warn", "info", "debug", "trace"];

pub(super) const PLATFORM_SECTION: SectionSchema = SectionSchema {
    name: "platform",
    keys: &[
        Key {
            name: "address",
            kind: KeyKind::Address,
            presence: Presence::Required,
            meaning: "Where the platform's store answers.",
        },
        Key {
            name: "timeout_ms",
            kind: KeyKind::Number(Unit::Milliseconds, 50..=60_000),
            presence: Presence::Default("1000"),
            meaning: "Longest wait for an answer of the platform; after it the outcome of a write is unknown and is read back.",
        },
    ],
};

pub(super) const AUTH_SECTION: SectionSchema = SectionSchema {
    name: "auth",
    keys: &[Key {
        name: "tokens_file",
        kind: KeyKind::Path,
        presence: Presence::Required,
        meaning: "File of the bearer tokens, one a line: role, name, token.",
    }],
};

pub(super) const LOG_SECTION: SectionSchema = SectionSchema {
    name: "log",
    keys: &[
        Key {
            name: "level",
            kind: KeyKind::Choice(LEVELS),
            presence: Presence::Default("info"),
            meaning: "The least important level that is written.",
        },
        Key {
            name: "file",
            kind: KeyKind::Path,
            presence: Presence::Optional,
            meaning: "File that log lines are added to; without it they go to standard error.",
        },
    ],
};

pub(super) fn platform(values: &Values<'_>) -> PlatformSettings {
    PlatformSettings {
        address: values.address("platform", "address"),
        timeout: values.duration("platform", "timeout_ms"),
    }
}

pub(super) fn tokens_file(values: &Values<'_>) -> PathBuf {
    values.path("auth", "tokens_file")
}

pub(super) fn log(values: &Values<'_>) -> LogSettings {
    LogSettings {
        level: LogLevel::from_word(&values.text("log", "level")),
        file: values.optional_path("log", "file"),
    }
}

impl LogLevel {
    /// The level of a word that the schema has checked.
    fn from_word(word: &str) -> Self {
        match word {
            "error" => Self::Error,
            "warn" => Self::Warn,
            "debug" => Self::Debug,
            "trace" => Self::Trace,
            _ => Self::Info,
        }
    }
}
