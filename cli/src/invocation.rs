//! The arguments, checked.

use std::{
    io::{self, Read},
    num::ParseIntError,
    path::{Path, PathBuf},
    time::Duration,
};

use getopts::Matches;
use rosebend_state::{
    id::{ProgramId, Revision, check_name},
    resource::{ResourceKey, ResourceKind},
    settings::{CliSettings, KeyKind},
};
use rosebend_transport::settings_file::load_settings;

use crate::verb::{Verb, overview};

/// Why the command line is not accepted.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{0}")]
pub struct UsageError(String);

/// What the command line asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Parsed {
    /// Show this text.
    Show(String),
    /// Run a command.
    Run(Invocation),
    /// Tell a story from log lines.
    Explain(Question),
}

/// What is to be explained, from which logs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Question {
    /// An attempt or a program.
    pub id: String,
    /// Files of log lines; standard input without any.
    pub files: Vec<PathBuf>,
    /// The form in which the story is shown.
    pub output: Output,
}

impl Question {
    /// All log lines.
    ///
    /// # Errors
    ///
    /// Names the file that cannot be read.
    pub fn read(&self) -> Result<String, String> {
        let mut text = String::new();
        if self.files.is_empty() {
            let read = io::stdin().read_to_string(&mut text);
            read.map_err(|error| format!("standard input: {error}"))?;
        }
        for path in &self.files {
            let bytes = std::fs::read(path);
            let bytes = bytes.map_err(|error| format!("{}: {error}", path.display()))?;
            text.push_str(&String::from_utf8_lossy(&bytes));
            text.push('\n');
        }
        Ok(text)
    }
}

/// A command and where it goes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Invocation {
    /// What to do.
    pub command: Command,
    /// The form in which the result is shown.
    pub output: Output,
    /// The entry and the token.
    pub settings: CliSettings,
}

/// Form in which the result is shown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Output {
    /// A table for people.
    Table,
    /// JSON for programs.
    Json,
}

/// What to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Declares resources from files.
    Apply {
        /// Files and folders; at least one.
        paths: Vec<PathBuf>,
        /// Checks everything and changes nothing.
        dry_run: bool,
    },
    /// Shows one resource.
    Get(ResourceKey),
    /// Lists the resources of a kind, or of all.
    List(Option<ResourceKind>),
    /// Removes a resource.
    Delete {
        /// The resource.
        key: ResourceKey,
        /// The revision that was seen; none for the one that stands.
        revision: Option<Revision>,
    },
    /// Shows changes as they are accepted.
    Watch {
        /// The revision to start after; none for the newest.
        after: Option<Revision>,
        /// Changes to show before it ends.
        count: Option<u64>,
    },
    /// Gives an endpoint no new work.
    Drain(ResourceKey),
    /// Shows where a revision is in force.
    Status {
        /// The revision; none for the newest.
        revision: Option<Revision>,
        /// How long to wait for it to be in force.
        wait: Duration,
    },
    /// Shows a program.
    ShowProgram(ProgramId),
    /// Ends a program.
    End(ProgramId),
}

impl Invocation {
    /// Reads the arguments, without the program's name.
    ///
    /// # Errors
    ///
    /// Says what is not accepted.
    pub fn parse(arguments: &[String]) -> Result<Parsed, UsageError> {
        let Some((word, rest)) = arguments.split_first() else {
            return Err(usage("a command is missing; see rosebend --help"));
        };
        if matches!(word.as_str(), "-h" | "--help" | "help") {
            return Ok(Parsed::Show(overview()));
        }
        if word == "--version" {
            let version = concat!("rosebend ", env!("CARGO_PKG_VERSION"), "\n");
            return Ok(Parsed::Show(version.to_owned()));
        }
        let Some(verb) = Verb::from_word(word) else {
            return Err(usage(format!(
                "there is no command {word}; see rosebend --help"
            )));
        };
        let matches = verb
            .options()
            .parse(rest)
            .map_err(|error| usage(format!("{error}; see rosebend {word} --help")))?;
        if matches.opt_present("help") {
            return Ok(Parsed::Show(verb.help()));
        }
        if verb == Verb::Explain {
            return question(&matches).map(Parsed::Explain);
        }
        Ok(Parsed::Run(Self {
            command: command(verb, &matches)?,
            output: output(&matches)?,
            settings: settings(&matches)?,
        }))
    }
}

fn question(matches: &Matches) -> Result<Question, UsageError> {
    let Some((id, files)) = matches.free.split_first() else {
        return Err(usage("explain needs the id of an attempt or a program"));
    };
    Ok(Question {
        id: id.clone(),
        files: files.iter().map(PathBuf::from).collect(),
        output: output(matches)?,
    })
}

fn command(verb: Verb, matches: &Matches) -> Result<Command, UsageError> {
    let command = match verb {
        Verb::Apply => {
            check_count(verb, matches, 0)?;
            apply(matches)?
        }
        Verb::Get => Command::Get(resource_key(one(verb, matches)?)?),
        Verb::List => list(verb, matches)?,
        Verb::Delete => Command::Delete {
            key: resource_key(one(verb, matches)?)?,
            revision: number(matches, "revision")?,
        },
        Verb::Watch => {
            check_count(verb, matches, 0)?;
            Command::Watch {
                after: number(matches, "after")?,
                count: number(matches, "count")?,
            }
        }
        Verb::Drain => Command::Drain(endpoint_key(one(verb, matches)?)?),
        Verb::Status => {
            check_count(verb, matches, 0)?;
            let wait_seconds = number(matches, "wait")?.unwrap_or(0);
            Command::Status {
                revision: number(matches, "revision")?,
                wait: Duration::from_secs(wait_seconds),
            }
        }
        Verb::Program => {
            check_count(verb, matches, 2)?;
            match matches.free[0].as_str() {
                "show" => Command::ShowProgram(program(&matches.free[1])?),
                other => return Err(usage(format!("there is no program {other}; it is show"))),
            }
        }
        Verb::End => Command::End(program(one(verb, matches)?)?),
        Verb::Explain => return Err(usage("explain asks no entry")),
    };
    Ok(command)
}

fn apply(matches: &Matches) -> Result<Command, UsageError> {
    let paths: Vec<PathBuf> = matches
        .opt_strs("file")
        .into_iter()
        .map(PathBuf::from)
        .collect();
    if paths.is_empty() {
        return Err(usage("apply needs a file or a folder, as -f PATH"));
    }
    Ok(Command::Apply {
        paths,
        dry_run: matches.opt_present("dry-run"),
    })
}

fn list(verb: Verb, matches: &Matches) -> Result<Command, UsageError> {
    if matches.free.is_empty() {
        return Ok(Command::List(None));
    }
    let kind = ResourceKind::try_from(one(verb, matches)?);
    kind.map(|kind| Command::List(Some(kind)))
        .map_err(|error| usage(error.to_string()))
}

fn one(verb: Verb, matches: &Matches) -> Result<&str, UsageError> {
    check_count(verb, matches, 1)?;
    Ok(&matches.free[0])
}

fn check_count(verb: Verb, matches: &Matches, count: usize) -> Result<(), UsageError> {
    if matches.free.len() == count {
        return Ok(());
    }
    let wanted = format!("rosebend {} {}", verb.word(), verb.arguments());
    Err(usage(format!("the arguments are: {}", wanted.trim_end())))
}

fn resource_key(text: &str) -> Result<ResourceKey, UsageError> {
    let Some((kind, name)) = text.split_once('/') else {
        return Err(usage(format!("{text:?} is not of the form KIND/NAME")));
    };
    let kind = ResourceKind::try_from(kind).map_err(|error| usage(error.to_string()))?;
    ResourceKey::new(kind, name).map_err(|error| usage(error.to_string()))
}

fn endpoint_key(text: &str) -> Result<ResourceKey, UsageError> {
    let name = text.strip_prefix("endpoint/").unwrap_or(text);
    check_name(name).map_err(|error| usage(error.to_string()))?;
    ResourceKey::new(ResourceKind::Endpoint, name).map_err(|error| usage(error.to_string()))
}

fn program(text: &str) -> Result<ProgramId, UsageError> {
    ProgramId::try_from(text)
        .map_err(|error| usage(format!("{text:?} is not a CUSTOMER/SESSION: {error}")))
}

fn number(matches: &Matches, option: &str) -> Result<Option<u64>, UsageError> {
    let value = matches.opt_str(option);
    let number = value.map(|value| value.parse()).transpose();
    number.map_err(|error: ParseIntError| usage(format!("--{option} is no number: {error}")))
}

fn output(matches: &Matches) -> Result<Output, UsageError> {
    match matches.opt_str("output").as_deref() {
        None | Some("table") => Ok(Output::Table),
        Some("json") => Ok(Output::Json),
        Some(other) => Err(usage(format!(
            "--output is {other:?}; allowed: table, json"
        ))),
    }
}

fn settings(matches: &Matches) -> Result<CliSettings, UsageError> {
    let url = matches.opt_str("url");
    let token_file = matches.opt_str("token-file").map(PathBuf::from);
    match (matches.opt_str("config"), url, token_file) {
        (Some(config), None, None) => {
            load_settings(Path::new(&config)).map_err(|error| usage(error.to_string()))
        }
        (None, Some(url), Some(token_file)) => {
            KeyKind::Url
                .check(&url)
                .map_err(|allowed| usage(format!("--url is {url:?}; allowed: {allowed}")))?;
            Ok(CliSettings { url, token_file })
        }
        _ => Err(usage(
            "give --config FILE, or both --url URL and --token-file FILE",
        )),
    }
}

fn usage(message: impl Into<String>) -> UsageError {
    UsageError(message.into())
}
