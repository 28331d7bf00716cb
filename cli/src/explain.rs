//! The story of a request or a program, from the log lines of gateways.
//!
//! Lines of any number of processes are read, in any order. What is told: the
//! steps of the request or of each request of the program, and what the hosts
//! that served it came to believe meanwhile.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

use serde_json::{Map, Value};

/// How long before a request the beliefs of its hosts are told from: a host
/// acts on what it learned within a heartbeat of an endpoint or two.
const BELIEFS_BEFORE_MS: u64 = 3_000;

/// Events that are told as beliefs when they fall into the time of the story.
const BELIEFS: [&str; 15] = [
    "process-started",
    "process-stopping",
    "process-stopped",
    "stop-timed-out",
    "store-lost",
    "store-regained",
    "ready-changed",
    "routes-in-force",
    "routes-unreadable",
    "route-unusable",
    "record-unreadable",
    "endpoint-listed",
    "endpoint-withdrawn",
    "endpoint-avoided",
    "lines-dropped",
];

/// Beliefs about endpoints, which are told only of endpoints of the story.
const ABOUT_ENDPOINTS: [&str; 3] = ["endpoint-listed", "endpoint-withdrawn", "endpoint-avoided"];

/// Members of a line that are not told as fields of its step.
const HEAD: [&str; 6] = ["at_ms", "host", "event", "name", "level", "attempt"];

/// One line of a log.
#[derive(Clone, Debug, PartialEq)]
struct Line {
    at_ms: u64,
    host: String,
    name: String,
    members: Map<String, Value>,
}

/// The story.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Story {
    /// Steps in the order of time.
    steps: Vec<Line>,
    /// What the lines cannot tell.
    missing: Vec<String>,
}

impl Line {
    /// Reads a line; what stands before the object is passed over.
    fn parse(text: &str) -> Option<Self> {
        let object = &text[text.find('{')?..];
        let members: Map<String, Value> = serde_json::from_str(object.trim_end()).ok()?;
        Some(Self {
            at_ms: members.get("at_ms")?.as_u64()?,
            host: members.get("host")?.as_str()?.to_owned(),
            name: members.get("name")?.as_str()?.to_owned(),
            members,
        })
    }

    fn text(&self, member: &str) -> Option<&str> {
        self.members.get(member)?.as_str()
    }

    fn is_end(&self) -> bool {
        matches!(self.name.as_str(), "request-ended" | "request-served")
    }
}

impl Story {
    /// Tells the story of an attempt or a program.
    pub fn tell<'a>(id: &str, lines: impl IntoIterator<Item = &'a str>) -> Self {
        let lines: Vec<Line> = lines.into_iter().filter_map(Line::parse).collect();
        let attempts = attempts_of(id, &lines);
        let is_step = |line: &&Line| {
            line.text("attempt")
                .is_some_and(|text| attempts.contains(text))
        };
        let mut steps: Vec<Line> = lines.iter().filter(is_step).cloned().collect();
        if steps.is_empty() {
            return Self {
                steps,
                missing: vec![format!("no line names {id}")],
            };
        }
        let missing = missing(&attempts, &steps);
        steps.extend(beliefs(&steps, &lines));
        steps.sort_by_key(|line| line.at_ms);
        let mut story = Self { steps, missing };
        story.note_dropped();
        story
    }

    /// Whether any line told something.
    pub fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }

    fn note_dropped(&mut self) {
        let dropped = self
            .steps
            .iter()
            .filter(|line| line.name == "lines-dropped");
        let told: Vec<String> = dropped
            .map(|line| format!("{} dropped lines of its log", line.host))
            .collect();
        self.missing.extend(told);
    }

    /// The story for people: a line a step, with times from the first one.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let start = self.steps.first().map_or(0, |line| line.at_ms);
        for line in &self.steps {
            let after = line.at_ms.saturating_sub(start);
            let attempt = line.text("attempt").unwrap_or("-");
            write!(
                text,
                "{after:>6} ms  {}  {attempt}  {}",
                line.host, line.name
            )
            .expect("writing to a string does not fail");
            for (name, value) in &line.members {
                if !HEAD.contains(&name.as_str()) {
                    write!(text, " {name}={}", plain(value))
                        .expect("writing to a string does not fail");
                }
            }
            text.push('\n');
        }
        for missing in &self.missing {
            writeln!(text, "missing: {missing}").expect("writing to a string does not fail");
        }
        text
    }

    /// The story for programs.
    pub fn json(&self) -> String {
        let steps: Vec<&Map<String, Value>> = self.steps.iter().map(|line| &line.members).collect();
        let story = serde_json::json!({"steps": steps, "missing": self.missing});
        format!("{story:#}\n")
    }
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) if text.contains(' ') => format!("{text:?}"),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// The attempts that a story is about: the one named, or all of the program.
fn attempts_of(id: &str, lines: &[Line]) -> BTreeSet<String> {
    let of_program = lines.iter().filter(|line| line.text("program") == Some(id));
    let mut attempts: BTreeSet<String> = of_program
        .filter_map(|line| line.text("attempt"))
        .map(str::to_owned)
        .collect();
    if lines.iter().any(|line| line.text("attempt") == Some(id)) {
        attempts.insert(id.to_owned());
    }
    attempts
}

/// What the hosts of the steps came to believe in their time.
fn beliefs(steps: &[Line], lines: &[Line]) -> Vec<Line> {
    let endpoints: BTreeSet<&str> = steps
        .iter()
        .filter_map(|line| line.text("endpoint"))
        .collect();
    let mut spans: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
    for step in steps {
        let first = step.at_ms.saturating_sub(BELIEFS_BEFORE_MS);
        let span = spans.entry(&step.host).or_insert((first, step.at_ms));
        span.0 = span.0.min(first);
        span.1 = span.1.max(step.at_ms);
    }
    let is_told = |line: &&Line| {
        let Some((first, last)) = spans.get(line.host.as_str()) else {
            return false;
        };
        let in_time = (*first..=*last).contains(&line.at_ms);
        let name = line.name.as_str();
        let concerns = !ABOUT_ENDPOINTS.contains(&name)
            || line
                .text("endpoint")
                .is_some_and(|endpoint| endpoints.contains(endpoint));
        in_time && concerns && BELIEFS.contains(&name)
    };
    lines.iter().filter(is_told).cloned().collect()
}

/// Attempts whose end no line tells: their host was killed, or its log is not
/// among the files.
fn missing(attempts: &BTreeSet<String>, steps: &[Line]) -> Vec<String> {
    let has_end = |attempt: &&String| {
        let mut own = steps
            .iter()
            .filter(|line| line.text("attempt") == Some(attempt));
        own.any(Line::is_end)
    };
    let without = attempts.iter().filter(|attempt| !has_end(attempt));
    without
        .map(|attempt| format!("the end of {attempt}"))
        .collect()
}
