//! One answer as it grows, with the offset of each part.
//!
//! Any number of receivers read the same answer, each from its own offset, at
//! its own speed; none of them is waited for. The answer is whole once its
//! outcome is known.

use super::outcome::Outcome;

/// The parts of one answer. Offsets count parts from zero without gaps.
///
/// `B` is the type of a part's bytes, cheap to clone.
#[derive(Clone, Debug)]
pub struct AnswerLog<B> {
    parts: Vec<B>,
    bytes: usize,
    /// Nothing is appended once this is set.
    outcome: Option<Outcome>,
}

impl<B> Default for AnswerLog<B> {
    fn default() -> Self {
        Self {
            parts: Vec::new(),
            bytes: 0,
            outcome: None,
        }
    }
}

impl<B: AsRef<[u8]> + Clone> AnswerLog<B> {
    /// Appends the part at `offset`; a part that is here already, or that
    /// would leave a gap, is not taken.
    ///
    /// Returns whether the part was taken.
    pub fn append(&mut self, offset: u64, part: B) -> bool {
        if self.outcome.is_some() || offset != self.next_offset() {
            return false;
        }
        self.bytes += part.as_ref().len();
        self.parts.push(part);
        true
    }

    /// Ends the answer. The first outcome stays.
    pub fn end(&mut self, outcome: Outcome) {
        self.outcome.get_or_insert(outcome);
    }

    /// The offset that the next part will have.
    pub fn next_offset(&self) -> u64 {
        self.parts.len() as u64
    }

    /// Bytes of all parts.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// At most `limit` parts from `offset` on.
    pub fn read(&self, offset: u64, limit: usize) -> Vec<B> {
        let start = usize::try_from(offset)
            .unwrap_or(usize::MAX)
            .min(self.parts.len());
        let end = start.saturating_add(limit).min(self.parts.len());
        self.parts[start..end].to_vec()
    }

    /// How the call ended, once it has.
    pub fn outcome(&self) -> Option<&Outcome> {
        self.outcome.as_ref()
    }

    /// All parts, one after the other.
    pub fn concatenate(&self) -> Vec<u8> {
        let mut whole = Vec::with_capacity(self.bytes);
        for part in &self.parts {
            whole.extend_from_slice(part.as_ref());
        }
        whole
    }
}
