//! Processes that a script starts.

use std::fs::{File, OpenOptions};
use std::io::{self, BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Environment of a process: the variables that the platform passes on.
const PASSED_VARIABLES: [&str; 3] = ["PATH", "HOME", "LANG"];

/// Starts processes and lists their ids in a file, from which `run.sh` ends those that
/// outlive the script.
#[derive(Clone, Debug)]
pub struct Launcher {
    repository: PathBuf,
    work_folder: PathBuf,
}

/// A running process, which is killed on drop.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Launcher {
    /// Creates a launcher. Programs start in `repository`; logs and settings are in
    /// `work_folder`.
    pub fn new(repository: &Path, work_folder: &Path) -> Self {
        Self {
            repository: repository.to_owned(),
            work_folder: work_folder.to_owned(),
        }
    }

    /// Returns the folder for logs and settings.
    pub fn work_folder(&self) -> &Path {
        &self.work_folder
    }

    /// Starts a program whose output goes to a log file.
    ///
    /// # Errors
    ///
    /// Returns an error if the program can't be started.
    pub fn start(
        &self,
        name: &str,
        program: &str,
        arguments: &[&str],
        variables: &[(&str, &str)],
    ) -> io::Result<Process> {
        let log = File::create(self.work_folder.join(format!("{name}.log")))?;
        let errors = log.try_clone()?;
        let mut command = self.command(program, arguments, variables);
        command.stdout(log).stderr(errors);
        self.spawn(command)
    }

    /// Starts a stand-in and returns the address that it prints.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in can't be started or prints no address.
    pub fn start_listener(
        &self,
        program: &str,
        arguments: &[&str],
    ) -> io::Result<(Process, SocketAddr)> {
        let mut command = self.command(program, arguments, &[]);
        command.stdout(Stdio::piped()).stderr(Stdio::null());
        let mut process = self.spawn(command)?;
        let no_address = || io::Error::other("the stand-in printed no address");
        let output = process.child.stdout.take().ok_or_else(no_address)?;
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line)?;
        let address = line.trim().rsplit(' ').next().unwrap_or_default();
        let address = address.parse().map_err(|_| no_address())?;
        Ok((process, address))
    }

    fn command(&self, program: &str, arguments: &[&str], variables: &[(&str, &str)]) -> Command {
        let mut command = Command::new(self.repository.join(program));
        command.args(arguments).current_dir(&self.repository);
        command.stdin(Stdio::null()).env_clear();
        for name in PASSED_VARIABLES {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command.envs(variables.iter().copied());
        command
    }

    fn spawn(&self, mut command: Command) -> io::Result<Process> {
        let child = command.spawn()?;
        let pids = self.work_folder.join("pids");
        let mut pids = OpenOptions::new().create(true).append(true).open(pids)?;
        writeln!(pids, "{}", child.id())?;
        Ok(Process { child })
    }
}

impl Process {
    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal by its name, such as `TERM`.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal can't be sent.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &id]).status()?;
        match status.success() {
            true => Ok(()),
            false => Err(io::Error::other("the signal was not sent")),
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
