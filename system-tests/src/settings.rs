//! Settings files of the processes under test.

use std::{
    fmt::Write,
    fs, io,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    sync::atomic::{AtomicU32, Ordering},
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

/// First of the ports that are given out.
const FIRST_PORT: u16 = 12_000;
/// Number of the ports that are given out. They end below the ports that
/// systems take for outgoing connections, so that a process which restarts
/// finds its port free.
const PORT_COUNT: u16 = 20_000;

/// An address on loopback that was free a moment ago, and that this process
/// gives out once.
///
/// # Errors
///
/// Fails when no port is free.
pub fn free_address() -> io::Result<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    // Processes that test at the same time begin far from each other.
    let first = std::process::id().wrapping_mul(997);
    let mut outcome = Err(io::ErrorKind::AddrInUse.into());
    for _ in 0..PORT_COUNT {
        let number = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let offset = number % u32::from(PORT_COUNT);
        let port = FIRST_PORT + u16::try_from(offset).expect("the remainder fits a u16");
        outcome = TcpListener::bind(("127.0.0.1", port)).and_then(|bound| bound.local_addr());
        if outcome.is_ok() {
            break;
        }
    }
    outcome
}
