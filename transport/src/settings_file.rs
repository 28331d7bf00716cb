//! Settings and tokens from files, and the answer to `--check`.

use std::{
    fmt, io,
    path::{Path, PathBuf},
};

use rosebend_state::settings::{Document, SettingsError, Tokens, TokensError};

/// Why a file gave no settings.
#[derive(Debug, thiserror::Error)]
pub enum SettingsFileError {
    /// The file could not be read.
    #[error("{}: {error}", .path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system said.
        error: io::Error,
    },
    /// The settings are not accepted.
    #[error("{}", prefix(.path, .error))]
    Settings {
        /// The file.
        path: PathBuf,
        /// All defects.
        error: SettingsError,
    },
    /// The tokens are not accepted.
    #[error("{}", prefix(.path, .error))]
    Tokens {
        /// The file.
        path: PathBuf,
        /// All defects.
        error: TokensError,
    },
}

/// Reads the settings of a binary.
///
/// # Errors
///
/// Lists all defects of the file.
pub fn load_settings<T>(path: &Path) -> Result<T, SettingsFileError>
where
    T: for<'a> TryFrom<&'a Document, Error = SettingsError>,
{
    let bytes = read(path)?;
    let document = Document::try_from(bytes.as_slice());
    let settings = document.and_then(|document| T::try_from(&document));
    settings.map_err(|error| SettingsFileError::Settings {
        path: path.to_owned(),
        error,
    })
}

/// Reads a tokens file.
///
/// # Errors
///
/// Lists all defects of the file, without showing a token.
pub fn load_tokens(path: &Path) -> Result<Tokens, SettingsFileError> {
    let bytes = read(path)?;
    Tokens::try_from(bytes.as_slice()).map_err(|error| SettingsFileError::Tokens {
        path: path.to_owned(),
        error,
    })
}

/// What `--check` prints about the settings of a binary, and whether they are
/// accepted. `tokens_file` tells where the settings name their tokens.
///
/// # Errors
///
/// Fails with the text that lists every defect.
pub fn check_settings<T>(path: &Path, tokens_file: impl Fn(&T) -> &Path) -> Result<String, String>
where
    T: for<'a> TryFrom<&'a Document, Error = SettingsError>,
{
    let settings: T = load_settings(path).map_err(|error| error.to_string())?;
    let tokens = load_tokens(tokens_file(&settings)).map_err(|error| error.to_string())?;
    let path = path.display();
    Ok(format!("{path}: accepted, with {} tokens", tokens.len()))
}

fn read(path: &Path) -> Result<Vec<u8>, SettingsFileError> {
    std::fs::read(path).map_err(|error| SettingsFileError::Unreadable {
        path: path.to_owned(),
        error,
    })
}

/// Puts the file's name before every line of an error.
fn prefix(path: &Path, error: &impl fmt::Display) -> String {
    let lines = error.to_string();
    let lines = lines
        .lines()
        .map(|line| format!("{}: {line}", path.display()));
    lines.collect::<Vec<_>>().join("\n")
}
