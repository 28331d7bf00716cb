//! The programs under test: `cargo build` puts them beside the tests.

use std::{
    path::{Path, PathBuf},
    process::Command,
    sync::OnceLock,
};

use crate::error::HarnessError;

/// A program of the workspace.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Program {
    /// `rosebend-entry`.
    Entry,
    /// `rosebend-sidecar`.
    Sidecar,
    /// `rosebend`.
    Cli,
    /// `rosebend-standin`.
    StandIn,
}

impl Program {
    /// The file's name.
    pub fn file_name(self) -> &'static str {
        match self {
            Self::Entry => "rosebend-entry",
            Self::Sidecar => "rosebend-sidecar",
            Self::Cli => "rosebend",
            Self::StandIn => "rosebend-standin",
        }
    }

    /// The file's path, after a build that brings it up to date.
    ///
    /// # Errors
    ///
    /// Fails when the build fails.
    pub fn path(self) -> Result<PathBuf, HarnessError> {
        Ok(build_directory()?.join(self.file_name()))
    }
}

/// The directory of the built programs. The first use of a test run builds
/// them; cargo finds in a moment that nothing is stale.
fn build_directory() -> Result<&'static Path, HarnessError> {
    static BUILT: OnceLock<Result<PathBuf, HarnessError>> = OnceLock::new();
    match BUILT.get_or_init(build) {
        Ok(directory) => Ok(directory),
        Err(error) => Err(HarnessError::NoAnswer {
            what: "cargo build".to_owned(),
            detail: error.to_string(),
        }),
    }
}

fn build() -> Result<PathBuf, HarnessError> {
    let test = std::env::current_exe().map_err(HarnessError::io("the test's path"))?;
    // target/PROFILE/deps/TEST
    let directory = test.ancestors().nth(2).unwrap_or(&test).to_owned();
    let target = directory.parent().unwrap_or(&directory);
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .args(["build", "--quiet", "--locked", "--workspace", "--bins"])
        .arg("--target-dir")
        .arg(target);
    if directory.ends_with("release") {
        command.arg("--release");
    }
    let status = command.status().map_err(HarnessError::io("cargo build"))?;
    if !status.success() {
        return Err(HarnessError::Build(status));
    }
    Ok(directory)
}
