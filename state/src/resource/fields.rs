//! Reads the fields of a specification and collects every defect.
//!
//! Plain deserialisation would stop at the first defect and not name the
//! field of a wrong type, so the fields are read one by one.

use std::{net::SocketAddr, ops::RangeInclusive, time::Duration};

use serde_json::{Map, Value};

use crate::id::check_name;

use super::error::FieldDefect;

/// Reads one specification.
///
/// A getter whose field has a defect returns some allowed value in its place;
/// [`Fields::finish`] then fails, so the value is never seen.
pub(super) struct Fields<'a> {
    values: &'a Map<String, Value>,
    known: Vec<&'static str>,
    defects: Vec<FieldDefect>,
}

impl<'a> Fields<'a> {
    pub(super) fn new(values: &'a Map<String, Value>) -> Self {
        Self {
            values,
            known: Vec::new(),
            defects: Vec::new(),
        }
    }

    /// A whole number in a range.
    pub(super) fn number(
        &mut self,
        field: &'static str,
        range: RangeInclusive<u64>,
        default: Option<u64>,
    ) -> u64 {
        let allowed = format!("a whole number from {} to {}", range.start(), range.end());
        let read = |value: &Value| value.as_u64().filter(|number| range.contains(number));
        self.read(field, allowed, default, read)
            .unwrap_or(*range.start())
    }

    /// A time in milliseconds, in a range.
    pub(super) fn duration(
        &mut self,
        field: &'static str,
        range_ms: RangeInclusive<u64>,
        default_ms: Option<u64>,
    ) -> Duration {
        Duration::from_millis(self.number(field, range_ms, default_ms))
    }

    /// True or false.
    pub(super) fn flag(&mut self, field: &'static str, default: bool) -> bool {
        let allowed = "true or false".to_owned();
        self.read(field, allowed, Some(default), Value::as_bool)
            .unwrap_or(default)
    }

    /// One of some words, of which there is at least one.
    pub(super) fn choice<T: Copy>(
        &mut self,
        field: &'static str,
        choices: &[(&'static str, T)],
        default: Option<T>,
    ) -> T {
        let words: Vec<&str> = choices.iter().map(|(word, _)| *word).collect();
        let allowed = format!("one of {}", words.join(", "));
        let read = |value: &Value| {
            let word = value.as_str()?;
            let found = choices.iter().find(|(known, _)| *known == word);
            found.map(|(_, choice)| *choice)
        };
        self.read(field, allowed, default, read)
            .unwrap_or(choices[0].1)
    }

    /// A name.
    pub(super) fn name(&mut self, field: &'static str) -> String {
        let allowed = "a name of a-z, 0-9, '-', '_' and '.'".to_owned();
        self.read(field, allowed, None, read_name)
            .unwrap_or_default()
    }

    /// A list of distinct names.
    pub(super) fn names(
        &mut self,
        field: &'static str,
        sizes: RangeInclusive<usize>,
        default: Option<Vec<String>>,
    ) -> Vec<String> {
        let allowed = format!("{} to {} distinct names", sizes.start(), sizes.end());
        let read = |value: &Value| read_names(value).filter(|names| sizes.contains(&names.len()));
        self.read(field, allowed, default, read).unwrap_or_default()
    }

    /// An address.
    pub(super) fn address(&mut self, field: &'static str) -> SocketAddr {
        let allowed = "an address IP:PORT with a port above 0".to_owned();
        let read = |value: &Value| {
            let address: SocketAddr = value.as_str()?.parse().ok()?;
            (address.port() != 0).then_some(address)
        };
        self.read(field, allowed, None, read)
            .unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)))
    }

    /// Whether a field read so far has a defect.
    pub(super) fn has_defects(&self) -> bool {
        !self.defects.is_empty()
    }

    /// Fails unless every field was known and allowed.
    pub(super) fn finish(mut self) -> Result<(), Vec<FieldDefect>> {
        for field in self.values.keys() {
            if !self.known.contains(&field.as_str()) {
                self.defects.push(FieldDefect::Unknown {
                    field: field.clone(),
                    known: self.known.clone(),
                });
            }
        }
        match self.defects.is_empty() {
            true => Ok(()),
            false => Err(self.defects),
        }
    }

    /// Reads a field; none when it has a defect.
    fn read<T>(
        &mut self,
        field: &'static str,
        allowed: String,
        default: Option<T>,
        read: impl Fn(&Value) -> Option<T>,
    ) -> Option<T> {
        self.known.push(field);
        let Some(value) = self.values.get(field) else {
            if default.is_none() {
                self.defects.push(FieldDefect::Missing { field, allowed });
            }
            return default;
        };
        let found = read(value);
        if found.is_none() {
            self.defects.push(FieldDefect::Value {
                field,
                value: value.clone(),
                allowed,
            });
        }
        found
    }
}

fn read_name(value: &Value) -> Option<String> {
    let name = value.as_str()?;
    check_name(name).ok()?;
    Some(name.to_owned())
}

fn read_names(value: &Value) -> Option<Vec<String>> {
    let mut names = Vec::new();
    for value in value.as_array()? {
        let name = read_name(value)?;
        if names.contains(&name) {
            return None;
        }
        names.push(name);
    }
    Some(names)
}
