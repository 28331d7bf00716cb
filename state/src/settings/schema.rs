//! Which keys a binary's settings have, with unit, default and range.

use std::{net::SocketAddr, ops::RangeInclusive};

use crate::id::check_name;

/// All settings of one binary.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Schema {
    /// Name of the binary.
    pub program: &'static str,
    /// Its sections; no name stands twice.
    pub sections: &'static [SectionSchema],
}

/// All keys of one section.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SectionSchema {
    /// The name between the brackets.
    pub name: &'static str,
    /// Its keys; no name stands twice.
    pub keys: &'static [Key],
}

/// One key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Key {
    /// The key's name, with its unit as a suffix.
    pub name: &'static str,
    /// What values it takes.
    pub kind: KeyKind,
    /// Whether it may be left out.
    pub presence: Presence,
    /// What it is for, in a sentence.
    pub meaning: &'static str,
}

/// What values a key takes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyKind {
    /// A name by the rules of [`check_name`].
    Name,
    /// An address of the form `IP:PORT`; port 0 takes a free one.
    Address,
    /// An `http://` URL with host and port.
    Url,
    /// A path of the file system.
    Path,
    /// One of some words.
    Choice(&'static [&'static str]),
    /// A whole number.
    Number(Unit, RangeInclusive<u64>),
    /// A number with or without a decimal point.
    Decimal(Unit, RangeInclusive<u64>),
}

/// What a number counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unit {
    /// Milliseconds.
    Milliseconds,
    /// Seconds.
    Seconds,
    /// Bytes.
    Bytes,
    /// Tokens of a model.
    Tokens,
    /// Things that the key's name tells.
    Count,
}

/// Whether a key may be left out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Presence {
    /// It must stand in the file.
    Required,
    /// Without it, nothing is set.
    Optional,
    /// Without it, this value holds.
    Default(&'static str),
}

impl Schema {
    /// A section by its name.
    pub fn section(&self, name: &str) -> Option<&SectionSchema> {
        self.sections.iter().find(|section| section.name == name)
    }
}

impl SectionSchema {
    /// A key by its name.
    pub fn key(&self, name: &str) -> Option<&Key> {
        self.keys.iter().find(|key| key.name == name)
    }
}

impl KeyKind {
    /// Checks a value as it stands in a file.
    ///
    /// # Errors
    ///
    /// Tells what is allowed.
    pub fn check(&self, value: &str) -> Result<(), String> {
        match self {
            Self::Name => check_name(value).map_err(|error| error.to_string()),
            Self::Address => match value.parse::<SocketAddr>() {
                Ok(_) => Ok(()),
                Err(_) => Err(self.allowed()),
            },
            Self::Url => check_url(value).ok_or_else(|| self.allowed()),
            Self::Path => match value.is_empty() {
                true => Err(self.allowed()),
                false => Ok(()),
            },
            Self::Choice(words) => match words.contains(&value) {
                true => Ok(()),
                false => Err(self.allowed()),
            },
            Self::Number(_, range) => match value.parse::<u64>() {
                Ok(number) if range.contains(&number) => Ok(()),
                _ => Err(self.allowed()),
            },
            Self::Decimal(_, range) => match value.parse::<f64>() {
                Ok(number) if is_within(number, range) => Ok(()),
                _ => Err(self.allowed()),
            },
        }
    }

    /// What is allowed, in words.
    pub fn allowed(&self) -> String {
        match self {
            Self::Name => "a name of a-z, 0-9, '-', '_' and '.'".to_owned(),
            Self::Address => "an address IP:PORT".to_owned(),
            Self::Url => "a URL http://HOST:PORT".to_owned(),
            Self::Path => "a path".to_owned(),
            Self::Choice(words) => format!("one of {}", words.join(", ")),
            Self::Number(_, range) => {
                format!("a whole number from {} to {}", range.start(), range.end())
            }
            Self::Decimal(_, range) => {
                format!("a number from {} to {}", range.start(), range.end())
            }
        }
    }
}

impl Unit {
    /// The unit's name, in the plural.
    pub fn name(self) -> &'static str {
        match self {
            Self::Milliseconds => "milliseconds",
            Self::Seconds => "seconds",
            Self::Bytes => "bytes",
            Self::Tokens => "tokens",
            Self::Count => "",
        }
    }
}

/// Ranges of settings are far below the numbers that a float cannot hold.
fn is_within(number: f64, range: &RangeInclusive<u64>) -> bool {
    number >= *range.start() as f64 && number <= *range.end() as f64
}

/// Accepts `http://HOST:PORT` without path, query or credentials.
fn check_url(value: &str) -> Option<()> {
    let authority = value.strip_prefix("http://")?;
    let authority = authority.strip_suffix('/').unwrap_or(authority);
    if authority.contains(['/', '@', '?', '#']) || authority.contains(char::is_whitespace) {
        return None;
    }
    let (host, port) = authority.rsplit_once(':')?;
    let port: u16 = port.parse().ok()?;
    (!host.is_empty() && port != 0).then_some(())
}
