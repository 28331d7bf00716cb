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
use std::net::SocketAddr;
use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

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
    Attempt(String),
    ProgramKey(String),
    Route(String),
    Status(u16),
    Version(u64),
    AgeMs(u64),
    ElapsedMs(u64),
    RemainingMs(u64),
    Load(u64),
    WorkTimePercent(u32),
    ExpectedMs(u64),
    Tokens(u64),
    Amount(Amount, u64),
    Holders(String),
    Address(SocketAddr),
    Framing(&'static str),
    Fingerprint(u64),
    Content(u64),
    Admitted(&'static str),
}

/// What a number of tokens is, where an event has several.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Amount {
    /// All that a program may spend.
    Budget,
    /// The most that the turn may generate.
    Most,
    /// Handed out by turns that ended.
    Spent,
    /// Reserved for turns that run.
    Reserved,
}

impl Amount {
    /// Name of the field in a log line.
    const fn name(self) -> &'static str {
        match self {
            Self::Budget => "budget_tokens",
            Self::Most => "most_tokens",
            Self::Spent => "spent_tokens",
            Self::Reserved => "reserved_tokens",
        }
    }
}

/// A field's value, for lines in JSON.
enum Value<'a> {
    Number(u64),
    Text(std::borrow::Cow<'a, str>),
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

    /// Adds the endpoint, by an id that any writer may have chosen.
    pub fn endpoint(self, endpoint: &str) -> Self {
        self.with(Field::Endpoint(one_line(endpoint)))
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

    /// Adds the attempt of a caller, by which a request is found.
    pub fn attempt(self, attempt: &str) -> Self {
        self.with(Field::Attempt(attempt.to_owned()))
    }

    /// Adds the program as a gateway's callers name it.
    pub fn program_key(self, program: &str) -> Self {
        self.with(Field::ProgramKey(program.to_owned()))
    }

    /// Adds the operators' name of a route.
    pub fn route(self, route: &str) -> Self {
        self.with(Field::Route(route.to_owned()))
    }

    /// Adds the status code of an answer.
    pub fn status(self, status: u16) -> Self {
        self.with(Field::Status(status))
    }

    /// Adds the version of the declared routes.
    pub fn version(self, version: u64) -> Self {
        self.with(Field::Version(version))
    }

    /// Adds how old the inputs of a decision were.
    pub fn age(self, age: Duration) -> Self {
        self.with(Field::AgeMs(whole_ms(age)))
    }

    /// Adds how long something took.
    pub fn elapsed(self, elapsed: Duration) -> Self {
        self.with(Field::ElapsedMs(whole_ms(elapsed)))
    }

    /// Adds the time until the deadline of a request.
    pub fn remaining(self, remaining: Duration) -> Self {
        self.with(Field::RemainingMs(whole_ms(remaining)))
    }

    /// Adds how many requests an endpoint was expected to have.
    pub fn load(self, load: u64) -> Self {
        self.with(Field::Load(load))
    }

    /// Adds how long work takes at an endpoint, in percent of the usual time.
    pub fn work_time_percent(self, work_time_percent: u32) -> Self {
        self.with(Field::WorkTimePercent(work_time_percent))
    }

    /// Adds how long something was expected to take.
    pub fn expected_time(self, expected: Duration) -> Self {
        self.with(Field::ExpectedMs(whole_ms(expected)))
    }

    /// Adds a number of tokens.
    pub fn tokens(self, tokens: u64) -> Self {
        self.with(Field::Tokens(tokens))
    }

    /// Adds a number of tokens of a program's account.
    pub fn amount(self, amount: Amount, tokens: u64) -> Self {
        self.with(Field::Amount(amount, tokens))
    }

    /// Adds who holds tokens of a program, cut to a bounded length.
    pub fn holders(self, holders: &str) -> Self {
        self.with(Field::Holders(one_line(holders)))
    }

    /// Adds an address of this host.
    pub fn address(self, address: SocketAddr) -> Self {
        self.with(Field::Address(address))
    }

    /// Adds that an answer had neither a length nor chunks and ended with its connection.
    pub fn close_delimited(self) -> Self {
        self.with(Field::Framing("close"))
    }

    /// Adds the hash that identifies a request over its callers' attempts and over hosts.
    pub fn fingerprint(self, fingerprint: u64) -> Self {
        self.with(Field::Fingerprint(fingerprint))
    }

    /// Adds the hash of a request's content, which no caller or connection is a part of.
    pub fn content(self, content: u64) -> Self {
        self.with(Field::Content(content))
    }

    /// Adds the decision by which a request was sent to an endpoint.
    pub fn admitted(self, admitted: &'static str) -> Self {
        self.with(Field::Admitted(admitted))
    }

    /// The event as one JSON object on one line. `at_ms` is the time of day.
    pub fn to_json(&self, at_ms: u64, host: &str) -> String {
        let mut line = format!("{{\"at_ms\":{at_ms},\"host\":{}", json_text(host));
        line.push_str(&format!(
            ",\"event\":{},\"name\":\"{}\",\"level\":\"{}\"",
            self.kind.number(),
            self.kind.name(),
            level_word(self.kind.level())
        ));
        for field in &self.fields {
            for (name, value) in field.members() {
                let value = match value {
                    Value::Number(number) => number.to_string(),
                    Value::Text(text) => json_text(&text),
                };
                line.push_str(&format!(",\"{name}\":{value}"));
            }
        }
        line.push('}');
        line
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

impl Field {
    /// The field as members of a JSON object; a call has several.
    fn members(&self) -> Vec<(&'static str, Value<'_>)> {
        let number = |name, value| vec![(name, Value::Number(value))];
        match self {
            Self::Program(program) => program_members(program),
            Self::Call(call) => {
                let mut members = program_members(&call.program);
                members.push(("call", Value::Number(call.sequence)));
                members
            }
            Self::Shard(shard) => number("shard", u64::from(*shard)),
            Self::Epoch(epoch) => number("epoch", *epoch),
            Self::Revision(revision) => number("revision", *revision),
            Self::Count(count) => number("count", *count),
            Self::WaitMs(wait_ms) => number("wait_ms", *wait_ms),
            Self::Status(status) => number("status", u64::from(*status)),
            Self::Version(version) => number("version", *version),
            Self::AgeMs(age_ms) => number("age_ms", *age_ms),
            Self::ElapsedMs(elapsed_ms) => number("elapsed_ms", *elapsed_ms),
            Self::RemainingMs(remaining_ms) => number("remaining_ms", *remaining_ms),
            Self::Load(load) => number("load", *load),
            Self::WorkTimePercent(percent) => number("work_time_percent", u64::from(*percent)),
            Self::ExpectedMs(expected_ms) => number("expected_ms", *expected_ms),
            Self::Tokens(tokens) => number("tokens", *tokens),
            Self::Amount(amount, tokens) => number(amount.name(), *tokens),
            Self::Holders(text) => member("holders", text),
            Self::Customer(text) => member("customer", text),
            Self::Host(text) => member("peer", text),
            Self::Endpoint(text) => member("endpoint", text),
            Self::Reason(text) => member("reason", text),
            Self::Framing(text) => member("framing", text),
            Self::Error(text) => member("error", text),
            Self::Attempt(text) => member("attempt", text),
            Self::ProgramKey(text) => member("program", text),
            Self::Route(text) => member("route", text),
            Self::Address(address) => vec![("address", Value::Text(address.to_string().into()))],
            Self::Fingerprint(hash) => {
                vec![("fingerprint", Value::Text(format!("{hash:016x}").into()))]
            }
            Self::Content(hash) => {
                vec![("content", Value::Text(format!("{hash:016x}").into()))]
            }
            Self::Admitted(text) => member("admitted", text),
        }
    }
}

fn member<'a>(name: &'static str, text: &'a str) -> Vec<(&'static str, Value<'a>)> {
    vec![(name, Value::Text(text.into()))]
}

fn program_members(program: &ProgramId) -> Vec<(&'static str, Value<'_>)> {
    vec![
        ("customer", Value::Text(program.customer().into())),
        ("program", Value::Text(program.session().to_string().into())),
    ]
}

fn json_text(text: &str) -> String {
    serde_json::to_string(text).expect("text has a JSON form")
}

fn whole_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
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
            Self::Attempt(attempt) => write!(f, "attempt={attempt}"),
            Self::ProgramKey(program) => write!(f, "program={program}"),
            Self::Route(route) => write!(f, "route={route}"),
            Self::Status(status) => write!(f, "status={status}"),
            Self::Version(version) => write!(f, "version={version}"),
            Self::AgeMs(age_ms) => write!(f, "age_ms={age_ms}"),
            Self::ElapsedMs(elapsed_ms) => write!(f, "elapsed_ms={elapsed_ms}"),
            Self::RemainingMs(remaining_ms) => write!(f, "remaining_ms={remaining_ms}"),
            Self::Load(load) => write!(f, "load={load}"),
            Self::WorkTimePercent(percent) => write!(f, "work_time_percent={percent}"),
            Self::ExpectedMs(expected_ms) => write!(f, "expected_ms={expected_ms}"),
            Self::Tokens(tokens) => write!(f, "tokens={tokens}"),
            Self::Amount(amount, tokens) => write!(f, "{}={tokens}", amount.name()),
            Self::Holders(holders) => write!(f, "holders={holders:?}"),
            Self::Address(address) => write!(f, "address={address}"),
            Self::Framing(framing) => write!(f, "framing={framing}"),
            Self::Fingerprint(hash) => write!(f, "fingerprint={hash:016x}"),
            Self::Content(hash) => write!(f, "content={hash:016x}"),
            Self::Admitted(admitted) => write!(f, "admitted={admitted}"),
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
    log_event_at(event, now_ms());
}

/// Like [`log_event`], for something that happened at `at_ms` by the time of
/// day, as [`now_ms`] gives it.
pub fn log_event_at(event: &Event, at_ms: u64) {
    let metadata = Metadata::builder()
        .level(event.kind.level())
        .target(EVENT_TARGET)
        .build();
    if metadata.level() > log::max_level() || !log::logger().enabled(&metadata) {
        return;
    }
    let mut record = Record::builder();
    record.metadata(metadata);
    match JSON_HOST.get() {
        Some(host) => {
            let line = event.to_json(at_ms, host);
            log::logger().log(&record.args(format_args!("{line}")).build());
        }
        None => log::logger().log(&record.args(format_args!("{event}")).build()),
    }
}

/// Set where events are written as JSON: the name of this host.
static JSON_HOST: OnceLock<String> = OnceLock::new();

/// Writes events as JSON from now on, with the name of this host.
pub(crate) fn write_json(host: &str) {
    // A process sets up its log once; a second host name would be a mistake of
    // the program that the log's own set-up reports.
    let _ = JSON_HOST.set(host.to_owned());
}

/// The time of day in milliseconds since 1970. It may differ between hosts and
/// jump; the lines of one host are in order by their place.
pub fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, whole_ms)
}

const PAGE_HEAD: &str = "# Events

Everything that rosebend writes to its log is one of these events. The page is
written from `transport/src/event/catalogue.rs`; a test compares the two. Write
it anew with
`cargo run -p rosebend-transport --example events_page > docs/EVENTS.md`.

A line reads `TIME LEVEL ENUMBER NAME FIELD=VALUE ...`, with the number as in
the table. Fields are `customer`, `program`, `call` (its position in the
program), `shard`, `epoch`, `host`, `endpoint`, `revision`, `count`, `wait_ms`,
`reason` (a word of a closed set) and `error`; for gateways also `attempt`
(a caller's attempt), `route`, `status`, `version` (of the declared routes),
`age_ms` (of what decided), `elapsed_ms`, `remaining_ms` (until the deadline),
`load`, `work_time_percent`, `expected_ms`, `tokens`, `address`, `framing` (`close`
where an answer had neither a length nor chunks and ended with its connection),
`fingerprint` (a hash of the request under which its crashes are counted, the same over hosts),
`content` (a hash of its method, host, path, customer and body alone), `admitted` (the decision by
which it was sent: no-evidence, below-limit or trial), and a program's account: `budget_tokens`, `most_tokens` (of the turn), `spent_tokens`,
`reserved_tokens` and `holders` (each HOST/RUN:TOKENS).
Gateways write each event as a JSON object on a line of its own, with `at_ms`,
`host`, `event` (the number), `name` and `level` before the fields; the host of a
field is `peer` there. A prompt, an answer or a token is
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
