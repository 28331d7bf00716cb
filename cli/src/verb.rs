//! The sub-commands and their help.

use std::fmt::Write;

use getopts::Options;

/// A sub-command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verb {
    /// Declares resources from files.
    Apply,
    /// Shows one resource.
    Get,
    /// Lists the resources of a kind.
    List,
    /// Removes a resource.
    Delete,
    /// Shows changes as they are accepted.
    Watch,
    /// Gives an endpoint no new work.
    Drain,
    /// Shows where a revision is in force.
    Status,
    /// Shows a program and its calls.
    Program,
    /// Ends a program.
    End,
    /// Tells the story of a request from log lines.
    Explain,
}

/// What `rosebend --help` says about exit codes, and every sub-command too.
const EXIT_CODES: &str = "\
Exit codes:
    0  done
    1  refused; nothing was changed (a conflict, a resource that is not there)
    2  the command line, a setting or a file is not accepted; nothing was sent
    3  no entry can be reached; nothing was changed
    4  the outcome is unknown; the change may stand
";

impl Verb {
    /// All sub-commands, in the order of the help.
    pub const ALL: [Self; 10] = [
        Self::Apply,
        Self::Get,
        Self::List,
        Self::Delete,
        Self::Watch,
        Self::Drain,
        Self::Status,
        Self::Program,
        Self::End,
        Self::Explain,
    ];

    /// The sub-command's word.
    pub fn word(self) -> &'static str {
        match self {
            Self::Apply => "apply",
            Self::Get => "get",
            Self::List => "list",
            Self::Delete => "delete",
            Self::Watch => "watch",
            Self::Drain => "drain",
            Self::Status => "status",
            Self::Program => "program",
            Self::End => "end",
            Self::Explain => "explain",
        }
    }

    /// The sub-command of a word.
    pub fn from_word(word: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|verb| verb.word() == word)
    }

    /// Its arguments, in the form of a usage line.
    pub fn arguments(self) -> &'static str {
        match self {
            Self::Apply => "-f FILE|DIR [--dry-run]",
            Self::Get | Self::Delete => "KIND/NAME",
            Self::List => "[KIND]",
            Self::Watch | Self::Status => "",
            Self::Drain => "ENDPOINT",
            Self::Program => "show CUSTOMER/SESSION",
            Self::End => "CUSTOMER/SESSION",
            Self::Explain => "ID [FILE]...",
        }
    }

    fn summary(self) -> &'static str {
        match self {
            Self::Apply => "declares resources from files",
            Self::Get => "shows one resource",
            Self::List => "lists the resources of a kind, or of all kinds",
            Self::Delete => "removes a resource",
            Self::Watch => "shows changes as they are accepted",
            Self::Drain => "gives an endpoint no new work",
            Self::Status => "shows where a revision is in force",
            Self::Program => "shows a program and its calls",
            Self::End => "ends a program and frees what it holds",
            Self::Explain => "tells the story of a request from log lines",
        }
    }

    fn description(self) -> &'static str {
        match self {
            Self::Apply => {
                "\
A file is JSON: one resource or a list of them, each with kind, name and spec.
A folder stands for its .json files. All files are checked before anything is
sent. A resource whose metadata names a revision, as `get --output json` shows
it, is changed only if that revision still stands; another one is compared with
what stands now. Resources that stand like this already are left alone."
            }
            Self::Get => "Kinds are customer, model, endpoint, tool, policy and session.",
            Self::List => "Without a kind, lists all kinds with one line a resource.",
            Self::Delete => {
                "\
Removes the resource if it still has the revision that stands now, or the one
given by --revision."
            }
            Self::Watch => {
                "\
Shows the changes after a revision and goes on until it is interrupted or has
shown --count changes. Without --after it starts at the newest revision."
            }
            Self::Drain => {
                "\
Calls in flight go on to their end. Apply the endpoint with \"draining\": false
to give it work again."
            }
            Self::Status => {
                "\
Shows the newest revision, on how many live processes it is in force, and which
of them lag. With --wait it looks again until the revision is in force on all of
them, and exits with 1 if that takes longer."
            }
            Self::Program => "Shows the state, the budget and the calls of a program.",
            Self::Explain => {
                "\
Reads log lines of gateways from files, or from standard input, in any order,
and tells the steps of the attempt, or of all attempts of the program, with
what their hosts believed meanwhile and which lines are missing. Exits with 1
when no line names the id."
            }
            Self::End => {
                "\
Calls that wait are refused; the engine memory that the program holds is freed.
A sub-agent is named CUSTOMER/SESSION/SUB-AGENT."
            }
        }
    }

    fn examples(self) -> &'static [&'static str] {
        match self {
            Self::Apply => &[
                "rosebend apply --config cli.ini -f resources/",
                "rosebend apply --config cli.ini -f customer.json --dry-run",
            ],
            Self::Get => &[
                "rosebend get --config cli.ini customer/caribmar",
                "rosebend get --config cli.ini session/caribmar/renewal-17 --output json",
            ],
            Self::List => &[
                "rosebend list --config cli.ini endpoint",
                "rosebend list --config cli.ini --output json",
            ],
            Self::Delete => &[
                "rosebend delete --config cli.ini tool/send-letter",
                "rosebend delete --config cli.ini tool/send-letter --revision 12",
            ],
            Self::Watch => &[
                "rosebend watch --config cli.ini",
                "rosebend watch --config cli.ini --after 40 --count 1 --output json",
            ],
            Self::Drain => &["rosebend drain --config cli.ini agent-llm-1"],
            Self::Status => &[
                "rosebend status --config cli.ini",
                "rosebend status --config cli.ini --revision 12 --wait 8",
            ],
            Self::Program => &["rosebend program --config cli.ini show caribmar/renewal-17"],
            Self::Explain => &[
                "rosebend explain 9c41d07be2a35f68 logs/*.log",
                "rosebend explain 3fa81c --output json < all.log",
            ],
            Self::End => &["rosebend end --config cli.ini caribmar/renewal-17"],
        }
    }

    /// The options that the sub-command takes.
    pub fn options(self) -> Options {
        let mut options = Options::new();
        match self {
            Self::Apply => {
                options.optmulti("f", "file", "file or folder of resources", "PATH");
                options.optflag("", "dry-run", "check everything and change nothing");
            }
            Self::Delete => {
                options.optopt(
                    "",
                    "revision",
                    "revision of the resource that was seen",
                    "N",
                );
            }
            Self::Watch => {
                options.optopt("", "after", "revision to start after", "N");
                options.optopt("", "count", "changes to show before it ends", "N");
            }
            Self::Status => {
                options.optopt("", "revision", "revision to ask about", "N");
                options.optopt(
                    "",
                    "wait",
                    "seconds to wait for it to be in force",
                    "SECONDS",
                );
            }
            Self::Get | Self::List | Self::Drain | Self::Program | Self::End | Self::Explain => {}
        }
        if self != Self::Explain {
            add_entry_options(&mut options);
        }
        options.optopt(
            "",
            "output",
            "table for people, json for programs",
            "table|json",
        );
        options.optflag("h", "help", "show this help");
        options
    }

    /// What `rosebend VERB --help` shows.
    pub fn help(self) -> String {
        let usage = format!("Usage: rosebend {} {}", self.word(), self.arguments());
        let mut summary = self.summary().to_owned();
        summary[..1].make_ascii_uppercase();
        let usage = usage.trim_end();
        let head = format!("{usage} [OPTIONS]\n\n{summary}.\n\n{}", self.description());
        let mut help = self.options().usage(&head);
        help.push_str("\nExamples:\n");
        for example in self.examples() {
            writeln!(help, "    {example}").expect("writing to a string does not fail");
        }
        help.push('\n');
        help.push_str(EXIT_CODES);
        help
    }
}

/// Options that name the entry to ask.
fn add_entry_options(options: &mut Options) {
    options.optopt("", "config", "settings of the command line", "FILE");
    options.optopt("", "url", "an entry, in place of --config", "URL");
    options.optopt(
        "",
        "token-file",
        "the operator's token, in place of --config",
        "FILE",
    );
}

/// What `rosebend --help` shows.
pub fn overview() -> String {
    let mut help =
        "Usage: rosebend COMMAND [OPTIONS]\n\nThe operators' command line of rosebend.\n\n\
                    Commands:\n"
            .to_owned();
    for verb in Verb::ALL {
        writeln!(help, "    {:<9}{}", verb.word(), verb.summary())
            .expect("writing to a string does not fail");
    }
    help.push_str("\n`rosebend COMMAND --help` shows options and examples.\n\n");
    help.push_str(EXIT_CODES);
    help
}
