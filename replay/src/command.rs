//! The command line: `policy`, `generate`, `bench`, `run`
//! and `load`.

use std::path::Path;
use std::time::Duration;

use getopts::Options;

use crate::generate::{self, Scenario, UnknownScenario};
use crate::load::{self, LoadOptions};
use crate::policies::{Policy, Role};
use crate::program::offered_percent;
use crate::replay::Replay;
use crate::report::{Row, TraceReport};
use crate::run_program::{self, RunError};
use crate::trace::{Trace, TraceError};
use crate::{bench, plot};

/// How to call it.
const USAGE: &str = "rosebend-replay policy [--load PERCENT] [--set NAME=VALUE] [--only POLICY] \
[--baselines] [--seed N] [--json FILE] [--svg FILE] TRACE...
rosebend-replay generate SCENARIO [--seed N] [--programs N] [--load PERCENT]
rosebend-replay bench
rosebend-replay load --entry URL... --engine URL... --token-file FILE [--rate N] [--seconds N]
rosebend-replay run --entry URL... --token-file FILE --program FILE [--effects URL --effect KEY]";

/// What the exit codes mean.
const EXIT_CODES: &str = "Exit codes: 0 done, 1 a stated outcome does not hold, 2 wrong usage or a file \
that cannot be read.";

/// What `--help` prints.
fn help() -> String {
    format!("Usage:\n{USAGE}\n\n{EXIT_CODES}\n")
}

/// What a command printed.
#[derive(Debug)]
pub struct Output {
    /// For standard output.
    pub text: String,
    /// Every stated outcome holds.
    pub holds: bool,
}

/// Why a command did not run.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The command line is wrong.
    #[error("{0}\n{USAGE}")]
    Usage(String),
    /// A file could not be read or written.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: String,
        /// Why.
        source: std::io::Error,
    },
    /// A trace could not be read.
    #[error("{path}: {source}")]
    Trace {
        /// The file.
        path: String,
        /// Why.
        source: TraceError,
    },
    /// A program did not run to its end.
    #[error(transparent)]
    Run(#[from] RunError),
    /// A scenario is not known.
    #[error(transparent)]
    Scenario(#[from] UnknownScenario),
}

/// Runs a command.
///
/// # Errors
///
/// Tells what is wrong with the command line or a file.
pub fn run(arguments: &[String]) -> Result<Output, CommandError> {
    let usage = || CommandError::Usage("a command is needed".to_owned());
    let (command, rest) = arguments.split_first().ok_or_else(usage)?;
    match command.as_str() {
        "--help" | "-h" | "help" => Ok(output(help())),
        "--version" => Ok(output(
            concat!("rosebend-replay ", env!("CARGO_PKG_VERSION"), "\n").to_owned(),
        )),
        "policy" => policy(rest),
        "generate" => generate(rest),
        "bench" => Ok(output(bench::run())),
        "run" => run_program(rest),
        "load" => load(rest),
        other => Err(CommandError::Usage(format!("unknown command {other:?}"))),
    }
}

fn load(arguments: &[String]) -> Result<Output, CommandError> {
    let mut options = Options::new();
    options.optmulti(
        "",
        "entry",
        "base URL of an entry; calls go to all in turn",
        "URL",
    );
    options.optmulti(
        "",
        "engine",
        "base URL of an engine, for calls without rosebend",
        "URL",
    );
    options.optopt("", "token-file", "file with the customer's token", "FILE");
    options.optopt("", "model", "the model (agent-llm)", "NAME");
    options.optopt("", "programs", "programs (500)", "N");
    options.optopt("", "rate", "calls a second (100)", "N");
    options.optopt("", "seconds", "how long calls are started (10)", "N");
    options.optopt("", "prompt-bytes", "bytes of each prompt (400)", "N");
    options.optopt("", "answer-tokens", "tokens of each answer (8)", "N");
    options.optopt("", "prefix", "begins the sessions' names (load)", "NAME");
    options.optmulti("", "process", "a process to watch", "NAME=ID");
    let matches = parse(&options, arguments)?;
    let missing = |name: &str| CommandError::Usage(format!("--{name} is wanted"));
    let token_file = matches
        .opt_str("token-file")
        .ok_or_else(|| missing("token-file"))?;
    let load = LoadOptions {
        entries: matches.opt_strs("entry"),
        engines: matches.opt_strs("engine"),
        token: read(&token_file)?.trim().to_owned(),
        model: matches
            .opt_str("model")
            .unwrap_or_else(|| "agent-llm".to_owned()),
        programs: number(&matches, "programs", 500)?.max(1),
        calls_per_second: number(&matches, "rate", 100)?,
        duration: Duration::from_secs(number(&matches, "seconds", 10)?),
        prompt_bytes: number(&matches, "prompt-bytes", 400)? as usize,
        answer_tokens: number(&matches, "answer-tokens", 8)?,
        processes: processes(&matches.opt_strs("process"))?,
        session_prefix: matches
            .opt_str("prefix")
            .unwrap_or_else(|| "load".to_owned()),
    };
    if load.entries.is_empty() || load.engines.is_empty() {
        return Err(missing("entry and --engine"));
    }
    let report = load::run(&load);
    Ok(Output {
        text: report.to_string(),
        holds: report.lost == 0,
    })
}

fn processes(named: &[String]) -> Result<Vec<(String, u32)>, CommandError> {
    let parse = |text: &String| {
        let (name, id) = text.split_once('=')?;
        Some((name.to_owned(), id.parse().ok()?))
    };
    let parsed: Option<Vec<_>> = named.iter().map(parse).collect();
    parsed.ok_or_else(|| CommandError::Usage("--process takes NAME=ID".to_owned()))
}

fn run_program(arguments: &[String]) -> Result<Output, CommandError> {
    let mut options = Options::new();
    options.optmulti(
        "",
        "entry",
        "base URL of an entry; calls go to all in turn",
        "URL",
    );
    options.optopt("", "token-file", "file with the customer's token", "FILE");
    options.optopt("", "program", "the program, in JSON", "FILE");
    options.optopt("", "effects", "base URL of a service stand-in", "URL");
    options.optopt("", "effect", "effect that must have happened once", "KEY");
    let matches = parse(&options, arguments)?;
    let wanted = |name: &str| {
        let value = matches.opt_str(name);
        value.ok_or_else(|| CommandError::Usage(format!("--{name} is wanted")))
    };
    let token_file = wanted("token-file")?;
    let token = read(&token_file)?.trim().to_owned();
    let program_file = wanted("program")?;
    let program = serde_json::from_str(&read(&program_file)?)
        .map_err(|error| CommandError::Usage(format!("{program_file}: {error}")))?;
    let entries = matches.opt_strs("entry");
    if entries.is_empty() {
        return Err(CommandError::Usage("--entry is wanted".to_owned()));
    }
    let effect = matches.opt_str("effects").zip(matches.opt_str("effect"));
    let report = run_program::run_blocking(entries, token, &program, effect)?;
    Ok(Output {
        text: report.to_string(),
        holds: report.holds(),
    })
}

fn read(path: &str) -> Result<String, CommandError> {
    let text = std::fs::read_to_string(path);
    text.map_err(|source| CommandError::File {
        path: path.to_owned(),
        source,
    })
}

fn output(text: String) -> Output {
    Output { text, holds: true }
}

fn number(matches: &getopts::Matches, name: &str, default: u64) -> Result<u64, CommandError> {
    let value = matches.opt_get_default(name, default);
    value.map_err(|_| CommandError::Usage(format!("--{name} takes a number")))
}

fn parse(options: &Options, arguments: &[String]) -> Result<getopts::Matches, CommandError> {
    let parsed = options.parse(arguments);
    parsed.map_err(|error| CommandError::Usage(error.to_string()))
}

fn generate(arguments: &[String]) -> Result<Output, CommandError> {
    let mut options = Options::new();
    options.optopt("", "seed", "seed of the draw", "N");
    options.optopt("", "programs", "number of programs", "N");
    options.optopt("", "load", "load of the engines", "PERCENT");
    let matches = parse(&options, arguments)?;
    let name = matches.free.first().map_or("", String::as_str);
    let trace = generate::generate(
        Scenario::try_from(name)?,
        number(&matches, "seed", 1)?,
        number(&matches, "programs", 1_000)? as usize,
        number(&matches, "load", 85)?,
    );
    Ok(output(trace.to_string()))
}

fn policy(arguments: &[String]) -> Result<Output, CommandError> {
    let mut options = Options::new();
    options.optopt("", "load", "scales arrivals to a load", "PERCENT");
    options.optmulti("", "set", "changes a setting of the traces", "NAME=VALUE");
    options.optmulti("", "only", "replays only these policies", "POLICY");
    options.optflag("", "baselines", "replays no ablations");
    options.optopt("", "seed", "seed of the routers", "N");
    options.optopt("", "json", "writes the report as JSON", "FILE");
    options.optopt("", "svg", "writes a plot", "FILE");
    let matches = parse(&options, arguments)?;
    let only = matches.opt_strs("only");
    let with_ablations = !matches.opt_present("baselines");
    let mut policies = Policy::all();
    policies.retain(|p| with_ablations || p.role != Role::Ablation);
    policies.retain(|p| only.is_empty() || only.iter().any(|name| name == p.name));

    let mut result = output(String::new());
    let mut reports = Vec::new();
    for path in &matches.free {
        let mut trace = read_trace(path)?;
        for setting in matches.opt_strs("set") {
            set(&mut trace, &setting)?;
        }
        let load = number(&matches, "load", 0)?;
        if load > 0 {
            generate::scale(&mut trace, load as f64);
        }
        let report = report(path, &trace, &policies, number(&matches, "seed", 1)?);
        result.text += &report.table();
        if load == 0 && only.is_empty() {
            result.holds &= check(&report, &trace, &mut result.text);
        }
        result.text.push('\n');
        reports.push(report);
    }
    if let Some(path) = matches.opt_str("json") {
        let json = serde_json::to_string_pretty(&reports).expect("a report has plain values");
        write(&path, &json)?;
    }
    if let Some(path) = matches.opt_str("svg") {
        write(&path, &plot::svg(&reports))?;
    }
    Ok(result)
}

fn set(trace: &mut Trace, setting: &str) -> Result<(), CommandError> {
    let parsed = setting.split_once('=').and_then(|(name, value)| {
        let value: u64 = value.parse().ok()?;
        Some((name.to_owned(), value))
    });
    let Some((name, value)) = parsed else {
        return Err(CommandError::Usage("--set takes NAME=VALUE".to_owned()));
    };
    trace.settings.insert(name, value);
    Ok(())
}

/// Reads a trace from a file.
///
/// # Errors
///
/// Tells why the file could not be read, or the line that is wrong.
pub fn read_trace(path: &str) -> Result<Trace, CommandError> {
    let text = std::fs::read_to_string(path).map_err(|source| CommandError::File {
        path: path.to_owned(),
        source,
    })?;
    Trace::try_from(text.as_str()).map_err(|source| CommandError::Trace {
        path: path.to_owned(),
        source,
    })
}

fn write(path: &str, text: &str) -> Result<(), CommandError> {
    std::fs::write(path, text).map_err(|source| CommandError::File {
        path: path.to_owned(),
        source,
    })
}

/// Replays a trace under each policy, some at once.
pub fn report(path: &str, trace: &Trace, policies: &[Policy], seed: u64) -> TraceReport {
    let engines = trace.engines().count();
    let replay = |policy: &Policy| {
        let measures = Replay::run(trace, policy, seed);
        Row::new(policy, &measures, engines)
    };
    let mut rows = Vec::new();
    // A few at once: the machine is shared.
    for group in policies.chunks(4) {
        std::thread::scope(|scope| {
            let threads: Vec<_> = group
                .iter()
                .map(|p| scope.spawn(move || replay(p)))
                .collect();
            let joined = threads
                .into_iter()
                .map(|t| t.join().expect("a replay ends"));
            rows.extend(joined);
        });
    }
    let name = Path::new(path)
        .file_stem()
        .map_or_else(String::new, |stem| stem.to_string_lossy().into_owned());
    TraceReport {
        trace: name,
        load_percent: offered_percent(trace),
        rows,
    }
}

fn check(report: &TraceReport, trace: &Trace, text: &mut String) -> bool {
    let mut all_hold = true;
    for expectation in &trace.expectations {
        let (holds, found) = match report.check(expectation) {
            Some((holds, value)) => (holds, format!("{value:.3}")),
            None => (false, "unknown measure".to_owned()),
        };
        let mark = if holds { "holds" } else { "FAILS" };
        text.push_str(&format!("{mark}: {expectation} (found {found})\n"));
        all_hold &= holds;
    }
    all_hold
}
