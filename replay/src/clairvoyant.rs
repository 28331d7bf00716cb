//! What a cache that knows the future would have kept.
//!
//! One cache of the size of all engines together sees the prompts in the
//! order in which the engines took them, and evicts the segment whose next use
//! is furthest away. It is better than anything that a scheduler can reach: it
//! is not split over engines, and running calls take no memory from it.

use std::collections::{BTreeSet, HashMap};

use crate::cache::{Segment, SegmentId};

/// Text that an engine had in memory at some point.
#[derive(Clone, Debug)]
pub struct Access {
    /// The text from its start.
    pub path: Vec<Segment>,
    /// It was a prompt; otherwise a prompt with the answer just decoded.
    pub is_prompt: bool,
}

/// When a segment is never used again.
const NEVER: usize = usize::MAX;

/// Prompt tokens that the clairvoyant cache would have had.
pub fn kept_tokens(accesses: &[Access], cache_tokens: u64) -> u64 {
    let next_uses = next_uses(accesses);
    let mut cache = Cache::default();
    let mut kept = 0;
    for (access, next_uses) in accesses.iter().zip(next_uses) {
        // A prefix ends with the first segment that is missing.
        let mut unbroken = access.is_prompt;
        for (segment, next_use) in access.path.iter().zip(next_uses) {
            unbroken &= cache.present.contains_key(&segment.id);
            kept += if unbroken { segment.tokens } else { 0 };
            cache.put(segment, next_use);
        }
        cache.evict(cache_tokens);
    }
    kept
}

#[derive(Default)]
struct Cache {
    present: HashMap<SegmentId, (usize, u64)>,
    by_next_use: BTreeSet<(usize, SegmentId)>,
    tokens: u64,
}

impl Cache {
    fn put(&mut self, segment: &Segment, next_use: usize) {
        let before = self.present.insert(segment.id, (next_use, segment.tokens));
        if let Some((used, tokens)) = before {
            self.by_next_use.remove(&(used, segment.id));
            self.tokens -= tokens;
        }
        self.by_next_use.insert((next_use, segment.id));
        self.tokens += segment.tokens;
    }

    fn evict(&mut self, limit: u64) {
        while self.tokens > limit {
            let Some((_, id)) = self.by_next_use.pop_last() else {
                return;
            };
            if let Some((_, tokens)) = self.present.remove(&id) {
                self.tokens -= tokens;
            }
        }
    }
}

/// For each segment of each access, the next access that has it.
fn next_uses(accesses: &[Access]) -> Vec<Vec<usize>> {
    let mut later: HashMap<SegmentId, usize> = HashMap::new();
    let mut all: Vec<Vec<usize>> = Vec::with_capacity(accesses.len());
    for (index, access) in accesses.iter().enumerate().rev() {
        let of_access = access
            .path
            .iter()
            .map(|segment| later.insert(segment.id, index).unwrap_or(NEVER))
            .collect();
        all.push(of_access);
    }
    all.reverse();
    all
}
