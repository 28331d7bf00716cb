//! Settings files of the processes under test.

use std::{
    fmt::Write,
    fs, io,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
};

use crate::error::HarnessError;

/// Tokens of everybody who speaks to a cluster.
pub mod token {
    /// The first operator, named `desk`.
    pub const OPERATOR: &str = "operator-token-desk-0001";
    /// The second operator, named `night-desk`.
    pub const OTHER_OPERATOR: &str = "operator-token-night-0002";
    /// The customer `caribmar`.
    pub const CARIBMAR: &str = "customer-token-caribmar-0003";
    /// The customer `coastal-soft-water`.
    pub const COASTAL: &str = "customer-token-coastal-0004";
    /// The hosts.
    pub const HOST: &str = "host-token-cluster-0005";
}

/// An INI file in the making.
#[derive(Clone, Debug, Default)]
pub struct Ini {
    text: String,
}

impl Ini {
    /// Begins a section.
    #[must_use]
    pub fn section(mut self, name: &str) -> Self {
        self.text.push_str(&format!("[{name}]\n"));
        self
    }

    /// Adds a key.
    #[must_use]
    pub fn key(mut self, name: &str, value: impl std::fmt::Display) -> Self {
        writeln!(self.text, "{name} = {value}").expect("writing to a string does not fail");
        self
    }

    /// Writes the file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be written.
    pub fn write(&self, directory: &Path, name: &str) -> Result<PathBuf, HarnessError> {
        write_file(directory, name, &self.text)
    }
}

/// Writes a file and returns its path.
///
/// # Errors
///
/// Fails when the file cannot be written.
pub fn write_file(directory: &Path, name: &str, text: &str) -> Result<PathBuf, HarnessError> {
    let path = directory.join(name);
    fs::write(&path, text).map_err(HarnessError::io(name))?;
    Ok(path)
}

/// Writes the file of all tokens.
///
/// # Errors
///
/// Fails when the file cannot be written.
pub fn write_tokens(directory: &Path) -> Result<PathBuf, HarnessError> {
    let text = format!(
        "operator desk {}\noperator night-desk {}\ncustomer caribmar {}\n\
         customer coastal-soft-water {}\nhost cluster {}\n",
        token::OPERATOR,
        token::OTHER_OPERATOR,
        token::CARIBMAR,
        token::COASTAL,
        token::HOST,
    );
    write_file(directory, "tokens", &text)
}

/// An address on loopback that was free a moment ago.
///
/// # Errors
///
/// Fails when no port is free.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}
