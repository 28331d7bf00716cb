//! Recorded traces: endpoints, faults, stated outcomes and programs.
//!
//! A trace is a text file with one item a line; `#` starts a comment, and the
//! comments at the head tell how the trace was made. Times are milliseconds
//! from the start, sizes are tokens.
//!
//! ```text
//! set NAME VALUE
//! engine NAME zone=Z kv=TOKENS
//! service NAME zone=Z tools=T[,T] slots=N
//! fault AT KIND ENDPOINT [factor=F] [for=MS]
//! expect SUBJECT OPERATOR VALUE
//! program AT CUSTOMER/SESSION deadline=MS [prefix=ID:TOKENS] [loop] STEPS
//! ```
//!
//! Steps are separated by blanks. `m400/120` is a model call that adds 400
//! prompt tokens to the history and answers 120; `tparts/800` calls the tool
//! `parts`, which takes 800 ms; `tparts!/800` is the same but must not be
//! repeated. `( A | B )` runs sub-agents with the steps A and B at once, each
//! with the history so far before its own, and goes on when all have ended.
//! With `loop`, the steps are repeated until the program is ended for it.
//!
//! Faults are `slow` (each step takes `factor` times as long), `crash` (calls
//! in flight fail and the cache is lost), and `restart` (the endpoint says
//! that it is leaving, finishes its calls and comes back under a new
//! incarnation after `for`).

use std::collections::BTreeMap;
use std::fmt;

use rosebend_state::id::ProgramId;

/// A trace as read from a file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Trace {
    /// Comments at the head of the file.
    pub header: Vec<String>,
    /// Settings by name.
    pub settings: BTreeMap<String, u64>,
    /// Engines and services.
    pub endpoints: Vec<EndpointSpec>,
    /// Faults in order of time.
    pub faults: Vec<Fault>,
    /// Stated outcomes.
    pub expectations: Vec<Expectation>,
    /// Programs in order of arrival.
    pub programs: Vec<ProgramSpec>,
}

/// An endpoint of a trace.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointSpec {
    /// Its name.
    pub id: String,
    /// Its availability zone.
    pub zone: String,
    /// What it is.
    pub kind: EndpointKind,
}

/// What an endpoint is.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointKind {
    /// A model engine.
    Engine {
        /// Size of its KV memory.
        kv_tokens: u64,
    },
    /// A tool service.
    Service {
        /// The tools that it runs.
        tools: Vec<String>,
        /// Calls that it runs at once.
        slots: usize,
    },
}

/// A fault at a point in time.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// When it begins.
    pub at_ms: u64,
    /// What it is.
    pub kind: FaultKind,
    /// The endpoint.
    pub endpoint: String,
    /// How long it lasts.
    pub for_ms: u64,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultKind {
    /// Every step takes this many times as long.
    Slow(u64),
    /// Calls in flight fail and the cache is lost.
    Crash,
    /// A planned restart.
    Restart,
}

/// A stated outcome.
#[derive(Clone, Debug, PartialEq)]
pub struct Expectation {
    /// The measure, as the report names it.
    pub subject: String,
    /// How it compares.
    pub comparison: Comparison,
    /// The bound.
    pub value: f64,
}

/// How a measure compares with its bound.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Comparison {
    /// At most the bound.
    AtMost,
    /// At least the bound.
    AtLeast,
    /// Exactly the bound.
    Equal,
}

/// One program.
#[derive(Clone, Debug, PartialEq)]
pub struct ProgramSpec {
    /// When its first call is made.
    pub at_ms: u64,
    /// Its id.
    pub id: ProgramId,
    /// Time within which its caller needs the end.
    pub deadline_ms: u64,
    /// A prefix shared with other programs: a number and its length.
    pub prefix: Option<(u64, u64)>,
    /// Repeats its steps without end.
    pub endless: bool,
    /// What it does.
    pub steps: Vec<Step>,
}

/// One step of a program or sub-agent.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// A call of the model.
    Model {
        /// Prompt tokens added to the history.
        added_tokens: u64,
        /// Length of the answer.
        answer_tokens: u64,
    },
    /// A call of a tool.
    Tool {
        /// The tool.
        name: String,
        /// May be sent twice.
        repeatable: bool,
        /// How long it runs.
        run_ms: u64,
    },
    /// Sub-agents that run at once.
    Fork(Vec<Vec<Self>>),
}

/// A line that could not be read.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("line {line}: {problem}")]
pub struct TraceError {
    /// Its number, from 1.
    pub line: usize,
    /// What is wrong with it.
    pub problem: String,
}

type Parsed<T> = Result<T, String>;

impl Trace {
    /// A setting, or a default.
    pub fn setting(&self, name: &str, default: u64) -> u64 {
        self.settings.get(name).copied().unwrap_or(default)
    }

    /// The engines with the size of their memory.
    pub fn engines(&self) -> impl Iterator<Item = (&EndpointSpec, u64)> {
        self.endpoints.iter().filter_map(|spec| match spec.kind {
            EndpointKind::Engine { kv_tokens } => Some((spec, kv_tokens)),
            EndpointKind::Service { .. } => None,
        })
    }

    fn read_line(&mut self, line: &str) -> Parsed<()> {
        let (kind, rest) = line.split_once(' ').ok_or("a line has several words")?;
        let words: Vec<&str> = rest.split_whitespace().collect();
        match kind {
            "set" => {
                let value = number(word(&words, 1)?)?;
                self.settings.insert(word(&words, 0)?.to_owned(), value);
            }
            "engine" | "service" => self.endpoints.push(read_endpoint(kind, &words)?),
            "fault" => self.faults.push(read_fault(&words)?),
            "expect" => self.expectations.push(read_expectation(&words)?),
            "program" => self.programs.push(read_program(&words)?),
            other => return Err(format!("unknown kind {other:?}")),
        }
        Ok(())
    }
}

impl TryFrom<&str> for Trace {
    type Error = TraceError;

    fn try_from(text: &str) -> Result<Self, TraceError> {
        let mut trace = Self::default();
        for (index, line) in text.lines().enumerate() {
            if let Some(comment) = line.strip_prefix('#') {
                trace.header.push(comment.trim().to_owned());
            } else if !line.trim().is_empty() {
                trace.read_line(line).map_err(|problem| TraceError {
                    line: index + 1,
                    problem,
                })?;
            }
        }
        Ok(trace)
    }
}

fn word<'a>(words: &[&'a str], index: usize) -> Parsed<&'a str> {
    words
        .get(index)
        .copied()
        .ok_or_else(|| format!("word {} is missing", index + 2))
}

fn number(raw: &str) -> Parsed<u64> {
    raw.parse().map_err(|_| format!("{raw:?} is not a number"))
}

fn option<'a>(words: &[&'a str], name: &str) -> Option<&'a str> {
    words.iter().find_map(|word| {
        let (key, value) = word.split_once('=')?;
        (key == name).then_some(value)
    })
}

fn needed<'a>(words: &[&'a str], name: &str) -> Parsed<&'a str> {
    option(words, name).ok_or_else(|| format!("{name}= is missing"))
}

fn read_endpoint(kind: &str, words: &[&str]) -> Parsed<EndpointSpec> {
    let kind = if kind == "engine" {
        EndpointKind::Engine {
            kv_tokens: number(needed(words, "kv")?)?,
        }
    } else {
        EndpointKind::Service {
            tools: needed(words, "tools")?
                .split(',')
                .map(str::to_owned)
                .collect(),
            slots: usize::try_from(number(needed(words, "slots")?)?).map_err(|e| e.to_string())?,
        }
    };
    Ok(EndpointSpec {
        id: word(words, 0)?.to_owned(),
        zone: needed(words, "zone")?.to_owned(),
        kind,
    })
}

fn read_fault(words: &[&str]) -> Parsed<Fault> {
    let kind = match word(words, 1)? {
        "slow" => FaultKind::Slow(number(needed(words, "factor")?)?),
        "crash" => FaultKind::Crash,
        "restart" => FaultKind::Restart,
        other => return Err(format!("unknown fault {other:?}")),
    };
    Ok(Fault {
        at_ms: number(word(words, 0)?)?,
        kind,
        endpoint: word(words, 2)?.to_owned(),
        for_ms: option(words, "for").map_or(Ok(0), number)?,
    })
}

fn read_expectation(words: &[&str]) -> Parsed<Expectation> {
    let comparison = match word(words, 1)? {
        "<=" => Comparison::AtMost,
        ">=" => Comparison::AtLeast,
        "==" => Comparison::Equal,
        other => return Err(format!("unknown operator {other:?}")),
    };
    let raw = word(words, 2)?;
    Ok(Expectation {
        subject: word(words, 0)?.to_owned(),
        comparison,
        value: raw
            .parse()
            .map_err(|_| format!("{raw:?} is not a number"))?,
    })
}

fn read_program(words: &[&str]) -> Parsed<ProgramSpec> {
    let prefix = match option(words, "prefix") {
        Some(raw) => {
            let (id, tokens) = raw.split_once(':').ok_or("prefix=ID:TOKENS")?;
            Some((number(id)?, number(tokens)?))
        }
        None => None,
    };
    let is_step = |word: &&&str| !word.contains('=') && **word != "loop";
    let mut steps = words[2.min(words.len())..].iter().filter(is_step).copied();
    Ok(ProgramSpec {
        at_ms: number(word(words, 0)?)?,
        id: ProgramId::try_from(word(words, 1)?).map_err(|e| e.to_string())?,
        deadline_ms: number(needed(words, "deadline")?)?,
        prefix,
        endless: words.contains(&"loop"),
        steps: read_steps(&mut steps)?.0,
    })
}

/// Reads steps up to the end of a chain; tells the word that ended it.
fn read_steps<'a>(words: &mut dyn Iterator<Item = &'a str>) -> Parsed<(Vec<Step>, &'a str)> {
    let mut steps = Vec::new();
    while let Some(word) = words.next() {
        match word {
            "|" | ")" => return Ok((steps, word)),
            "(" => steps.push(read_fork(words)?),
            _ => steps.push(read_step(word)?),
        }
    }
    Ok((steps, ""))
}

fn read_fork(words: &mut dyn Iterator<Item = &str>) -> Parsed<Step> {
    let mut branches = Vec::new();
    loop {
        let (steps, end) = read_steps(words)?;
        branches.push(steps);
        match end {
            "|" => {}
            ")" => return Ok(Step::Fork(branches)),
            _ => return Err("a fork has no end".to_owned()),
        }
    }
}

fn read_step(raw: &str) -> Parsed<Step> {
    let (head, tail) = raw.split_once('/').ok_or(format!("step {raw:?}"))?;
    if let Some(name) = head.strip_prefix('t') {
        return Ok(Step::Tool {
            name: name.trim_end_matches('!').to_owned(),
            repeatable: !name.ends_with('!'),
            run_ms: number(tail)?,
        });
    }
    let added = head.strip_prefix('m').ok_or(format!("step {raw:?}"))?;
    Ok(Step::Model {
        added_tokens: number(added)?,
        answer_tokens: number(tail)?,
    })
}

impl fmt::Display for Trace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.header
            .iter()
            .try_for_each(|line| writeln!(f, "# {line}"))?;
        for (name, value) in &self.settings {
            writeln!(f, "set {name} {value}")?;
        }
        self.endpoints
            .iter()
            .try_for_each(|item| writeln!(f, "{item}"))?;
        self.faults
            .iter()
            .try_for_each(|item| writeln!(f, "{item}"))?;
        self.expectations
            .iter()
            .try_for_each(|item| writeln!(f, "{item}"))?;
        self.programs
            .iter()
            .try_for_each(|item| writeln!(f, "{item}"))
    }
}

impl fmt::Display for EndpointSpec {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            EndpointKind::Engine { kv_tokens } => {
                write!(f, "engine {} zone={} kv={kv_tokens}", self.id, self.zone)
            }
            EndpointKind::Service { tools, slots } => {
                let tools = tools.join(",");
                write!(
                    f,
                    "service {} zone={} tools={tools} slots={slots}",
                    self.id, self.zone
                )
            }
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (kind, factor) = match self.kind {
            FaultKind::Slow(factor) => ("slow", format!(" factor={factor}")),
            FaultKind::Crash => ("crash", String::new()),
            FaultKind::Restart => ("restart", String::new()),
        };
        let Self {
            at_ms,
            endpoint,
            for_ms,
            ..
        } = self;
        write!(f, "fault {at_ms} {kind} {endpoint}{factor} for={for_ms}")
    }
}

impl fmt::Display for Expectation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "expect {} {} {}",
            self.subject, self.comparison, self.value
        )
    }
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::AtMost => "<=",
            Self::AtLeast => ">=",
            Self::Equal => "==",
        })
    }
}

impl fmt::Display for ProgramSpec {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "program {} {} deadline={}",
            self.at_ms, self.id, self.deadline_ms
        )?;
        if let Some((id, tokens)) = self.prefix {
            write!(f, " prefix={id}:{tokens}")?;
        }
        if self.endless {
            f.write_str(" loop")?;
        }
        write_steps(f, &self.steps)
    }
}

fn write_steps(f: &mut fmt::Formatter<'_>, steps: &[Step]) -> fmt::Result {
    for step in steps {
        match step {
            Step::Model {
                added_tokens,
                answer_tokens,
            } => {
                write!(f, " m{added_tokens}/{answer_tokens}")?;
            }
            Step::Tool {
                name,
                repeatable,
                run_ms,
            } => {
                let mark = if *repeatable { "" } else { "!" };
                write!(f, " t{name}{mark}/{run_ms}")?;
            }
            Step::Fork(branches) => {
                for (index, branch) in branches.iter().enumerate() {
                    f.write_str(if index == 0 { " (" } else { " |" })?;
                    write_steps(f, branch)?;
                }
                f.write_str(" )")?;
            }
        }
    }
    Ok(())
}
