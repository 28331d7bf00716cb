//! Bearer tokens and whom they name.
//!
//! A tokens file has one token a line: a role, a name and the token, parted by
//! spaces. Lines that start with `#` and empty lines are passed over. One name
//! may have several tokens, so that a token can be replaced without a gap.

use std::fmt;

use rosebend_util::secrets_equal;

use crate::id::check_name;

use super::error::Defect;

/// Shortest token that is accepted, in bytes.
const MIN_TOKEN_BYTES: usize = 16;
/// Longest token that is accepted, in bytes.
const MAX_TOKEN_BYTES: usize = 256;

/// What the bearer of a token may do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Changes the configuration and sees all of it.
    Operator,
    /// Runs programs of the customer that the token names, and sees only them.
    Customer,
    /// Is a process of rosebend.
    Host,
}

/// Whom a token names.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    /// What the bearer may do.
    pub role: Role,
    /// Name of the operator, customer or host; accepted by [`check_name`].
    pub name: String,
}

/// The tokens that are accepted.
#[derive(Clone, Default, Eq, PartialEq)]
pub struct Tokens {
    /// No token stands twice.
    entries: Vec<Entry>,
}

#[derive(Clone, Eq, PartialEq)]
struct Entry {
    identity: Identity,
    secret: String,
}

/// What is wrong with a tokens file; never shows a token.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{}", .defects.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
pub struct TokensError {
    /// The defects; never empty, ordered by line.
    pub defects: Vec<Defect>,
}

impl Tokens {
    /// Whom a token names.
    ///
    /// Every known token is compared, and each in constant time, so that the
    /// time taken does not tell how close a guess was.
    pub fn identify(&self, token: &str) -> Option<&Identity> {
        let mut found = None;
        for entry in &self.entries {
            if secrets_equal(entry.secret.as_bytes(), token.as_bytes()) {
                found = Some(&entry.identity);
            }
        }
        found
    }

    /// The token with which a process of rosebend calls another: that of the
    /// host itself, or else the first one of the role `host`.
    pub fn host_token(&self, host: &str) -> Option<&str> {
        let mut hosts = self
            .entries
            .iter()
            .filter(|entry| entry.identity.role == Role::Host);
        let first = hosts.clone().next();
        hosts
            .find(|entry| entry.identity.name == host)
            .or(first)
            .map(|entry| entry.secret.as_str())
    }

    /// Number of tokens.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no token.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

impl fmt::Debug for Tokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let identities = self.entries.iter().map(|entry| &entry.identity);
        f.debug_list().entries(identities).finish()
    }
}

impl TryFrom<&[u8]> for Tokens {
    type Error = TokensError;

    fn try_from(bytes: &[u8]) -> Result<Self, TokensError> {
        let mut tokens = Self::default();
        let mut defects = Vec::new();
        for (number, line) in (1..).zip(bytes.split(|byte| *byte == b'\n')) {
            match parse_line(line) {
                Ok(None) => {}
                Ok(Some(entry)) if tokens.has_secret(&entry.secret) => {
                    defects.push(Defect::new(number, "the token stands on an earlier line"));
                }
                Ok(Some(entry)) => tokens.entries.push(entry),
                Err(message) => defects.push(Defect::new(number, message)),
            }
        }
        match defects.is_empty() {
            true => Ok(tokens),
            false => Err(TokensError { defects }),
        }
    }
}

impl Tokens {
    fn has_secret(&self, secret: &str) -> bool {
        self.entries.iter().any(|entry| entry.secret == secret)
    }
}

/// Reads one line, without ever showing its third word in a message.
fn parse_line(line: &[u8]) -> Result<Option<Entry>, String> {
    let line = std::str::from_utf8(line).map_err(|_| "the line is not UTF-8".to_owned())?;
    let line = line.trim();
    if line.is_empty() || line.starts_with('#') {
        return Ok(None);
    }
    let mut words = line.split_ascii_whitespace();
    let (Some(role), Some(name), Some(secret), None) =
        (words.next(), words.next(), words.next(), words.next())
    else {
        return Err("a line has a role, a name and a token".to_owned());
    };
    let role = parse_role(role)?;
    check_name(name).map_err(|error| error.to_string())?;
    check_secret(secret)?;
    let identity = Identity {
        role,
        name: name.to_owned(),
    };
    Ok(Some(Entry {
        identity,
        secret: secret.to_owned(),
    }))
}

fn parse_role(word: &str) -> Result<Role, String> {
    match word {
        "operator" => Ok(Role::Operator),
        "customer" => Ok(Role::Customer),
        "host" => Ok(Role::Host),
        // The word is not shown: it may be a token in the wrong place.
        _ => Err("the role is not operator, customer or host".to_owned()),
    }
}

fn check_secret(secret: &str) -> Result<(), String> {
    let allowed = MIN_TOKEN_BYTES..=MAX_TOKEN_BYTES;
    if !allowed.contains(&secret.len()) || !secret.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(format!(
            "a token has {MIN_TOKEN_BYTES} to {MAX_TOKEN_BYTES} printable ASCII characters"
        ));
    }
    Ok(())
}
