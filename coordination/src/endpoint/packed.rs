//! Parts of an ended answer, without what they have in common.
//!
//! The parts of a streamed answer are JSON objects that differ in a few bytes
//! in the middle. Each is kept as what lies between the bytes that it has in
//! common with one template at its start and at its end, so that any part is
//! put together again without looking at the others.

/// Parts that are not added to any more.
#[derive(Clone, Debug, Default)]
pub(super) struct PackedParts {
    /// The part that the others are compared with.
    template: Vec<u8>,
    /// What each part has that the template lacks, one after the other.
    middles: Vec<u8>,
    spans: Vec<Span>,
}

/// One part. Parts are far below the 4 GB that these offsets allow.
#[derive(Clone, Copy, Debug)]
struct Span {
    /// Bytes from the start of the template.
    prefix: u32,
    /// Bytes from the end of the template.
    suffix: u32,
    /// Where the middle ends; it starts where the one before ends.
    middle_end: u32,
}

impl PackedParts {
    /// Packs parts; none when they are too long for that.
    pub(super) fn new<B: AsRef<[u8]>>(parts: &[B]) -> Option<Self> {
        // The first part of a stream often has a member that no other has.
        let template = parts.get(1).or(parts.first())?.as_ref().to_vec();
        let mut packed = Self {
            template,
            ..Self::default()
        };
        for part in parts {
            packed.push(part.as_ref())?;
        }
        packed.middles.shrink_to_fit();
        packed.spans.shrink_to_fit();
        Some(packed)
    }

    /// The part at an index.
    pub(super) fn get(&self, index: usize) -> Option<Vec<u8>> {
        let span = self.spans.get(index)?;
        let start = match index {
            0 => 0,
            _ => self.spans[index - 1].middle_end,
        };
        let [prefix, suffix, start, end] =
            [span.prefix, span.suffix, start, span.middle_end].map(|bytes| bytes as usize);
        let mut part = Vec::with_capacity(prefix + (end - start) + suffix);
        part.extend_from_slice(&self.template[..prefix]);
        part.extend_from_slice(&self.middles[start..end]);
        part.extend_from_slice(&self.template[self.template.len() - suffix..]);
        Some(part)
    }

    /// Number of parts.
    pub(super) fn len(&self) -> usize {
        self.spans.len()
    }

    /// Bytes of memory.
    pub(super) fn bytes(&self) -> usize {
        self.template.len() + self.middles.len() + self.spans.len() * size_of::<Span>()
    }

    fn push(&mut self, part: &[u8]) -> Option<()> {
        let prefix = common(part.iter(), self.template.iter());
        let rest = &part[prefix..];
        let suffix = common(rest.iter().rev(), self.template[prefix..].iter().rev());
        self.middles.extend_from_slice(&rest[..rest.len() - suffix]);
        self.spans.push(Span {
            prefix: u32::try_from(prefix).ok()?,
            suffix: u32::try_from(suffix).ok()?,
            middle_end: u32::try_from(self.middles.len()).ok()?,
        });
        Some(())
    }
}

/// How many bytes two sequences have in common at their start.
fn common<'a>(a: impl Iterator<Item = &'a u8>, b: impl Iterator<Item = &'a u8>) -> usize {
    a.zip(b).take_while(|(a, b)| a == b).count()
}
