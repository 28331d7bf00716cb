//! Numbered events: everything that rosebend writes to its log.
//!
//! The catalogue is closed, and an event has typed fields only, so that a log
//! line never holds a prompt, an answer or a token. `docs/EVENTS.md` is written
//! from the catalogue by [`events_page`].
//!
//! ```
//! use rosebend_transport::event::{Event, EventKind, log_event};
//!
//! let event = Event::new(EventKind::ShardTaken).shard(3).epoch(8);
//! assert_eq!(event.to_string(), "E202 shard-taken shard=3 epoch=8");
//! log_event(&event);
//! ```

use std::fmt::{self, Write};

use log::{Level, Metadata, Record};
use rosebend_state::id::{CallId, Epoch, ProgramId, Revision, Shard};

pub use self::catalogue::EventKind;

mod catalogue;

/// Target of all events; loggers are set by it.
pub const EVENT_TARGET: &str = "rosebend";

/// Longest text of an error or reason that is written, in bytes.
const MAX_TEXT_BYTES: usize = 240;

/// One event with its fields.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// What happened.
    pub kind: EventKind,
    /// Fields in the order in which they were added.
    fields: Vec<Field>,
}

/// A field of an event.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Field {
    Customer(String),
    Program(ProgramId),
    Call(CallId),
    Shard(Shard),
    Epoch(Epoch),
    Host(String),
    Endpoint(String),
    Revision(Revision),
    Count(u64),
    WaitMs(u64),
    Reason(&'static str),
    Error(String),
}

impl Event {
    /// An event without fields.
    pub fn new(kind: EventKind) -> Self {
        Self {
            kind,
            fields: Vec::new(),
        }
    }

    /// Adds the customer, where no program names it.
    pub fn customer(self, customer: &str) -> Self {
        self.with(Field::Customer(customer.to_owned()))
    }

    /// Adds the program, and with it the customer.
    pub fn program(self, program: &ProgramId) -> Self {
        self.with(Field::Program(program.clone()))
    }

    /// Adds the call, and with it the program and the customer.
    pub fn call(self, call: &CallId) -> Self {
        self.with(Field::Call(call.clone()))
    }

    /// Adds the shard.
    pub fn shard(self, shard: Shard) -> Self {
        self.with(Field::Shard(shard))
    }

    /// Adds the epoch of the shard.
    pub fn epoch(self, epoch: Epoch) -> Self {
        self.with(Field::Epoch(epoch))
    }

    /// Adds the host, this one or another.
    pub fn host(self, host: &str) -> Self {
        self.with(Field::Host(host.to_owned()))
    }

    /// Adds the endpoint.
    pub fn endpoint(self, endpoint: &str) -> Self {
        self.with(Field::Endpoint(endpoint.to_owned()))
    }

    /// Adds the revision of the configuration.
    pub fn revision(self, revision: Revision) -> Self {
        self.with(Field::Revision(revision))
    }

    /// Adds how many things the event is about.
    pub fn count(self, count: u64) -> Self {
        self.with(Field::Count(count))
    }

    /// Adds a time in milliseconds.
    pub fn wait_ms(self, wait_ms: u64) -> Self {
        self.with(Field::WaitMs(wait_ms))
    }

    /// Adds the word of a closed set that says why.
    pub fn reason(self, reason: &'static str) -> Self {
        self.with(Field::Reason(reason))
    }

    /// Adds the text of an error, cut to a line of bounded length.
    ///
    /// Errors of rosebend's own types are meant, never a caller's body.
    pub fn error(self, error: &dyn std::error::Error) -> Self {
        self.with(Field::Error(one_line(&error.to_string())))
    }

    fn with(mut self, field: Field) -> Self {
        self.fields.push(field);
        self
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "E{} {}", self.kind.number(), self.kind.name())?;
        for field in &self.fields {
            write!(f, " {field}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Field {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Customer(customer) => write!(f, "customer={customer}"),
            Self::Program(program) => write_program(f, program),
            Self::Call(call) => {
                write_program(f, &call.program)?;
                write!(f, " call={}", call.sequence)
            }
            Self::Shard(shard) => write!(f, "shard={shard}"),
            Self::Epoch(epoch) => write!(f, "epoch={epoch}"),
            Self::Host(host) => write!(f, "host={host}"),
            Self::Endpoint(endpoint) => write!(f, "endpoint={endpoint}"),
            Self::Revision(revision) => write!(f, "revision={revision}"),
            Self::Count(count) => write!(f, "count={count}"),
            Self::WaitMs(wait_ms) => write!(f, "wait_ms={wait_ms}"),
            Self::Reason(reason) => write!(f, "reason={reason}"),
            Self::Error(error) => write!(f, "error={error:?}"),
        }
    }
}

fn write_program(f: &mut fmt::Formatter<'_>, program: &ProgramId) -> fmt::Result {
    let customer = program.customer();
    write!(f, "customer={customer} program={}", program.session())
}

/// Cuts a text to one line of bounded length.
fn one_line(text: &str) -> String {
    let mut end = text.len().min(MAX_TEXT_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text[..end].replace(char::is_control, " ")
}

/// Writes an event to the log, if its level is written at all.
pub fn log_event(event: &Event) {
    let metadata = Metadata::builder()
        .level(event.kind.level())
        .target(EVENT_TARGET)
        .build();
    if metadata.level() > log::max_level() || !log::logger().enabled(&metadata) {
        return;
    }
    let mut record = Record::builder();
    record.metadata(metadata);
    log::logger().log(&record.args(format_args!("{event}")).build());
}

const PAGE_HEAD: &str = "# Events

Everything that rosebend writes to its log is one of these events. The page is
written from `transport/src/event/catalogue.rs`; a test compares the two. Write
it anew with
`cargo run -p rosebend-transport --example events_page > docs/EVENTS.md`.

A line reads `TIME LEVEL ENUMBER NAME FIELD=VALUE ...`, with the number as in
the table. Fields are `customer`, `program`, `call` (its position in the
program), `shard`, `epoch`, `host`, `endpoint`, `revision`, `count`, `wait_ms`,
`reason` (a word of a closed set) and `error`. A prompt, an answer or a token is
never written. Numbers stay with their event: a number that is given up is not
given again. Events of level `debug` come once a call and are off by default.

| event | name | level | meaning |
|---|---|---|---|
";

/// The reference page of all events, in Markdown.
pub fn events_page() -> String {
    let mut page = PAGE_HEAD.to_owned();
    for kind in EventKind::ALL {
        writeln!(
            page,
            "| E{} | `{}` | {} | {} |",
            kind.number(),
            kind.name(),
            level_word(kind.level()),
            kind.meaning()
        )
        .expect("writing to a string does not fail");
    }
    page
}

fn level_word(level: Level) -> String {
    level.as_str().to_ascii_lowercase()
}
