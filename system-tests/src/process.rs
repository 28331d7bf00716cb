//! One process of a cluster.

use std::{
    ffi::OsString,
    fs::{self, File},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
};

use crate::{binaries::Program, error::HarnessError, wait::wait_until};

/// Lines of a log that are shown.
const LOG_TAIL_LINES: usize = 25;

/// A signal that tests send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// Asks for a graceful stop.
    Terminate,
    /// Ends the process at once.
    Kill,
    /// Pauses it.
    Stop,
    /// Lets it go on.
    Continue,
}

impl Signal {
    fn option(self) -> &'static str {
        match self {
            Self::Terminate => "-TERM",
            Self::Kill => "-KILL",
            Self::Stop => "-STOP",
            Self::Continue => "-CONT",
        }
    }
}

/// A process that ends with this value, gracefully or not.
#[derive(Debug)]
pub struct Process {
    name: String,
    program: Program,
    arguments: Vec<OsString>,
    /// Standard output of the present run.
    output: PathBuf,
    /// Standard error of all runs.
    log: PathBuf,
    child: Child,
}

impl Process {
    /// Starts a program, with its output in files under `directory`.
    ///
    /// # Errors
    ///
    /// Fails when it cannot be built or started.
    pub fn start(
        name: &str,
        program: Program,
        arguments: Vec<OsString>,
        directory: &Path,
    ) -> Result<Self, HarnessError> {
        let output = directory.join(format!("{name}.out"));
        let log = directory.join(format!("{name}.log"));
        let child = spawn(program, &arguments, &output, &log)?;
        Ok(Self {
            name: name.to_owned(),
            program,
            arguments,
            output,
            log,
            child,
        })
    }

    /// The process's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The process's id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// What the present run has printed.
    pub fn output(&self) -> String {
        fs::read_to_string(&self.output).unwrap_or_default()
    }

    /// What all runs have logged.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// The last lines of the log.
    pub fn log_tail(&self) -> String {
        let log = self.log();
        let lines: Vec<&str> = log.lines().collect();
        lines[lines.len().saturating_sub(LOG_TAIL_LINES)..].join("\n")
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// Fails when `kill` does, for instance because the process has ended.
    pub fn signal(&self, signal: Signal) -> Result<(), HarnessError> {
        let what = format!("kill {} {}", signal.option(), self.name);
        let status = Command::new("kill")
            .arg(signal.option())
            .arg(self.id().to_string())
            .status()
            .map_err(HarnessError::io(what.clone()))?;
        match status.success() {
            true => Ok(()),
            false => Err(HarnessError::Deadline(what)),
        }
    }

    /// How the process ended; none while it runs.
    ///
    /// # Errors
    ///
    /// Fails when the system cannot tell.
    pub fn try_wait(&mut self) -> Result<Option<ExitStatus>, HarnessError> {
        let what = format!("the end of {}", self.name);
        self.child.try_wait().map_err(HarnessError::io(what))
    }

    /// Waits for the process to end.
    ///
    /// # Errors
    ///
    /// Fails when it runs on.
    pub async fn wait(&mut self) -> Result<ExitStatus, HarnessError> {
        let what = format!("the end of {}", self.name);
        let child = &mut self.child;
        wait_until(&what, || {
            let status = child.try_wait();
            async { status.ok().flatten() }
        })
        .await
    }

    /// Sends a signal and waits for the process to end.
    ///
    /// # Errors
    ///
    /// Fails when it runs on.
    pub async fn end(&mut self, signal: Signal) -> Result<ExitStatus, HarnessError> {
        self.signal(signal)?;
        self.wait().await
    }

    /// Starts the program again with the same arguments, after it has ended.
    ///
    /// # Errors
    ///
    /// Fails when it cannot be started.
    pub fn restart(&mut self) -> Result<(), HarnessError> {
        self.child = spawn(self.program, &self.arguments, &self.output, &self.log)?;
        Ok(())
    }

    /// Fails when the process has ended.
    ///
    /// # Errors
    ///
    /// Tells how it ended and what it logged last.
    pub fn check_running(&mut self) -> Result<(), HarnessError> {
        match self.try_wait()? {
            None => Ok(()),
            Some(status) => Err(HarnessError::Ended {
                name: self.name.clone(),
                status,
                log: self.log_tail(),
            }),
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("--- log of {}\n{}", self.name, self.log_tail());
        }
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(
    program: Program,
    arguments: &[OsString],
    output: &Path,
    log: &Path,
) -> Result<Child, HarnessError> {
    let file = program.path()?;
    let output = File::create(output).map_err(HarnessError::io("an output file"))?;
    let log = File::options().create(true).append(true).open(log);
    let log = log.map_err(HarnessError::io("a log file"))?;
    Command::new(file)
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(output)
        .stderr(log)
        .spawn()
        .map_err(HarnessError::io(program.file_name()))
}
