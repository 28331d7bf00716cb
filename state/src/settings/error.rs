//! What can be wrong with a settings file.

use std::fmt;

/// One thing that is wrong, and where.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Defect {
    /// Line of the file, from 1; zero when something is missing from it.
    pub line: u32,
    /// What is wrong, with the name, the value and what is allowed.
    pub message: String,
}

impl Defect {
    /// A defect of a line.
    pub fn new(line: u32, message: impl Into<String>) -> Self {
        Self {
            line,
            message: message.into(),
        }
    }
}

impl fmt::Display for Defect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => f.write_str(&self.message),
            line => write!(f, "line {line}: {}", self.message),
        }
    }
}

/// Everything that is wrong with a settings file, in the order of its lines.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{}", join(.defects))]
pub struct SettingsError {
    /// The defects; never empty, ordered by line.
    defects: Vec<Defect>,
}

impl SettingsError {
    /// The defects, ordered by line.
    pub fn defects(&self) -> &[Defect] {
        &self.defects
    }

    /// Fails with the defects, if there are any.
    ///
    /// # Errors
    ///
    /// Fails when `defects` is not empty.
    pub(super) fn unless_empty(mut defects: Vec<Defect>) -> Result<(), Self> {
        if defects.is_empty() {
            return Ok(());
        }
        defects.sort_by_key(|defect| defect.line);
        Err(Self { defects })
    }
}

fn join(defects: &[Defect]) -> String {
    let lines: Vec<String> = defects.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
