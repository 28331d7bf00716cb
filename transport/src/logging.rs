//! Sets up the log from settings.

use std::{io, path::PathBuf};

use log::LevelFilter;
use log4rs::{
    append::{
        Append,
        console::{ConsoleAppender, Target},
        file::FileAppender,
    },
    config::{Appender, Config, Logger, Root},
    encode::pattern::PatternEncoder,
};
use rosebend_state::settings::{LogLevel, LogSettings};

use crate::bounded_log::BoundedLog;
use crate::event::{EVENT_TARGET, now_ms, write_json};

/// Time in UTC, level, and the event with its number first.
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {m}{n}";

const APPENDER: &str = "log";

/// Why the log could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum LoggingError {
    /// The log file could not be opened.
    #[error("the log file {} cannot be opened: {error}", .path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What the system said.
        error: io::Error,
    },
    /// A log was set up already in this process.
    #[error("a log was set up already")]
    AlreadySet,
}

/// Sets up the log of this process, once.
///
/// Libraries are heard from `warn` on, whatever the settings say: their finer
/// levels may show headers, and with them tokens.
///
/// # Errors
///
/// Fails when the file cannot be opened or a log was set up before.
pub fn init_logging(settings: &LogSettings) -> Result<(), LoggingError> {
    let level = level_filter(settings.level);
    let appender = Appender::builder().build(APPENDER, appender(settings)?);
    let config = Config::builder()
        .appender(appender)
        .logger(Logger::builder().build(EVENT_TARGET, level))
        .build(
            Root::builder()
                .appender(APPENDER)
                .build(level.min(LevelFilter::Warn)),
        )
        .expect("the appender's name stands once and is known");
    log4rs::init_config(config).map_err(|_| LoggingError::AlreadySet)?;
    Ok(())
}

/// Sets up the log of this process, once, as JSON lines on standard output that
/// never block the process. Libraries are heard from `warn` on.
///
/// # Errors
///
/// Fails when a log was set up before.
pub fn init_json_logging(settings: &LogSettings, host: &str) -> Result<(), LoggingError> {
    let level = level_filter(settings.level);
    let name = host.to_owned();
    let log = BoundedLog::start(io::stdout(), move |event| event.to_json(now_ms(), &name));
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER, Box::new(log)))
        .logger(Logger::builder().build(EVENT_TARGET, level))
        .build(
            Root::builder()
                .appender(APPENDER)
                .build(level.min(LevelFilter::Warn)),
        )
        .expect("the appender's name stands once and is known");
    log4rs::init_config(config).map_err(|_| LoggingError::AlreadySet)?;
    write_json(host);
    Ok(())
}

fn appender(settings: &LogSettings) -> Result<Box<dyn Append>, LoggingError> {
    let encoder = Box::new(PatternEncoder::new(PATTERN));
    let Some(path) = &settings.file else {
        let console = ConsoleAppender::builder().target(Target::Stderr);
        return Ok(Box::new(console.encoder(encoder).build()));
    };
    match FileAppender::builder().encoder(encoder).build(path) {
        Ok(file) => Ok(Box::new(file)),
        Err(error) => Err(LoggingError::File {
            path: path.clone(),
            error,
        }),
    }
}

fn level_filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
        LogLevel::Trace => LevelFilter::Trace,
    }
}
