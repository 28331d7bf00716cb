//! Entries of the table of endpoints that name none to use, each told once.

use std::collections::{HashMap, HashSet};

use rosebend_state::deployment::InstanceId;

/// Entries that are remembered at most. Those beyond are not logged: whoever
/// can write that many could fill the log.
const MAX_NOTED: usize = 256;

/// How a refused entry is taken note of.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Noted {
    /// It was not refused before: it is logged and counted.
    New,
    /// It was refused before: there is nothing to tell.
    Known,
    /// Too many are remembered: it is counted each time that it is read.
    Beyond,
}

/// Entries that are refused now, with the word that says why.
#[derive(Debug, Default)]
pub struct Refusals {
    /// At most [`MAX_NOTED`].
    words: HashMap<InstanceId, &'static str>,
}

impl Refusals {
    /// Notes that an entry is refused.
    pub fn note(&mut self, instance: &str, word: &'static str) -> Noted {
        if self.words.contains_key(instance) {
            return Noted::Known;
        }
        if self.words.len() >= MAX_NOTED {
            return Noted::Beyond;
        }
        self.words.insert(instance.to_owned(), word);
        Noted::New
    }

    /// Notes that an entry is not refused any more, be it gone or good. Tells
    /// whether that is to be logged.
    pub fn end(&mut self, instance: &str) -> bool {
        self.words.remove(instance).is_some()
    }

    /// Why an entry is refused; none when it is not.
    pub fn word(&self, instance: &str) -> Option<&'static str> {
        self.words.get(instance).copied()
    }

    /// Entries that are refused for the reason that a word says.
    pub fn for_word(&self, word: &str) -> Vec<InstanceId> {
        let words = self.words.iter();
        let matching = words.filter(|(_, known)| **known == word);
        matching.map(|(instance, _)| instance.clone()).collect()
    }

    /// Ends the refusals of entries that are not among those of a whole read,
    /// and tells which.
    pub fn retain(&mut self, listed: &HashSet<&str>) -> Vec<InstanceId> {
        let instances = self.words.keys();
        let gone = instances.filter(|instance| !listed.contains(instance.as_str()));
        let gone: Vec<InstanceId> = gone.cloned().collect();
        for instance in &gone {
            self.words.remove(instance);
        }
        gone
    }
}
