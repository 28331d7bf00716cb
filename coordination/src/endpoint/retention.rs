//! One answer as it grows, with the offset of each part.
//!
//! Any number of receivers read the same answer, each from its own offset, at
//! its own speed; none of them is waited for. The answer is whole once its
//! outcome is known. Before it is retained it is packed, since an outage of
//! the platform's table leaves many answers waiting to become durable.

use super::{outcome::Outcome, packed::PackedParts};

/// The parts of one answer. Offsets count parts from zero without gaps.
///
/// `B` is the type of a part's bytes, cheap to clone.
#[derive(Clone, Debug)]
pub struct AnswerLog<B> {
    parts: Parts<B>,
    /// Nothing is appended once this is set.
    outcome: Option<Outcome>,
}

#[derive(Clone, Debug)]
enum Parts<B> {
    Growing { parts: Vec<B>, bytes: usize },
    Packed(PackedParts),
}

impl<B> Default for AnswerLog<B> {
    fn default() -> Self {
        Self {
            parts: Parts::Growing {
                parts: Vec::new(),
                bytes: 0,
            },
            outcome: None,
        }
    }
}

impl<B: AsRef<[u8]> + Clone + From<Vec<u8>>> AnswerLog<B> {
    /// Appends the part at `offset`; a part that is here already, or that
    /// would leave a gap, is not taken, nor is any after [`Self::pack`].
    ///
    /// Returns whether the part was taken.
    pub fn append(&mut self, offset: u64, part: B) -> bool {
        if self.outcome.is_some() || offset != self.next_offset() {
            return false;
        }
        match &mut self.parts {
            Parts::Growing { parts, bytes } => {
                *bytes += part.as_ref().len();
                parts.push(part);
                true
            }
            Parts::Packed(_) => false,
        }
    }

    /// Packs the parts, to which none is added any more.
    pub fn pack(&mut self) {
        if let Parts::Growing { parts, .. } = &self.parts
            && let Some(packed) = PackedParts::new(parts)
        {
            self.parts = Parts::Packed(packed);
        }
    }

    /// Ends the answer. The first outcome stays.
    pub fn end(&mut self, outcome: Outcome) {
        self.outcome.get_or_insert(outcome);
    }

    /// The offset that the next part will have.
    pub fn next_offset(&self) -> u64 {
        match &self.parts {
            Parts::Growing { parts, .. } => parts.len() as u64,
            Parts::Packed(packed) => packed.len() as u64,
        }
    }

    /// Bytes that the parts take up.
    pub fn bytes(&self) -> usize {
        match &self.parts {
            Parts::Growing { bytes, .. } => *bytes,
            Parts::Packed(packed) => packed.bytes(),
        }
    }

    /// At most `limit` parts from `offset` on.
    pub fn read(&self, offset: u64, limit: usize) -> Vec<B> {
        let start = usize::try_from(offset).unwrap_or(usize::MAX);
        match &self.parts {
            Parts::Growing { parts, .. } => parts.iter().skip(start).take(limit).cloned().collect(),
            Parts::Packed(packed) => (start..packed.len())
                .take(limit)
                .filter_map(|index| packed.get(index))
                .map(B::from)
                .collect(),
        }
    }

    /// How the call ended, once it has.
    pub fn outcome(&self) -> Option<&Outcome> {
        self.outcome.as_ref()
    }

    /// All parts, one after the other.
    pub fn concatenate(&self) -> Vec<u8> {
        let parts = self.read(0, usize::MAX);
        let mut whole = Vec::new();
        for part in parts {
            whole.extend_from_slice(part.as_ref());
        }
        whole
    }
}
