//! The queue's own count of KV tokens in flight.
//!
//! Calls that run on the same blocks count them once: a prefix that several
//! programs share, and the history that a parent hands to its sub-agents. What
//! is cold counts for each call alone until its first token, since two calls
//! that prefill the same text at once both need memory for it.

use std::collections::HashMap;

use super::Waiting;
use crate::warmth::{PrefixId, SharedPrefix};

/// KV tokens of one call.
#[derive(Clone, Debug)]
pub(super) struct Footprint {
    /// Prompt beyond the shared prefixes that are warm, and longest answer.
    own_tokens: u64,
    /// How many of the shared prefixes are warm.
    warm: usize,
    /// The shortest first, each the start of the next.
    prefixes: Vec<SharedPrefix>,
}

impl Footprint {
    /// The footprint of a call whose prompt is warm as far as `waiting` says.
    pub(super) fn of(waiting: &Waiting) -> Self {
        let warm_tokens = waiting.warm_tokens.min(waiting.prompt_tokens);
        let kv_tokens = waiting.prompt_tokens + waiting.max_answer_tokens;
        let prefixes = &waiting.shared_prefixes;
        let warm = prefixes.partition_point(|prefix| prefix.tokens <= warm_tokens);
        let common_tokens = warm.checked_sub(1).map_or(0, |last| prefixes[last].tokens);
        Self {
            own_tokens: kv_tokens - common_tokens,
            warm,
            prefixes: prefixes.clone(),
        }
    }

    /// The footprint once the whole prompt is computed.
    fn computed(&self) -> Self {
        let length = |count: usize| {
            count
                .checked_sub(1)
                .map_or(0, |last| self.prefixes[last].tokens)
        };
        let all = self.prefixes.len();
        Self {
            own_tokens: (self.own_tokens + length(self.warm)).saturating_sub(length(all)),
            warm: all,
            prefixes: self.prefixes.clone(),
        }
    }

    /// The warm prefixes, each with its tokens beyond the one before.
    fn common(&self) -> impl Iterator<Item = (PrefixId, u64)> {
        let mut before = 0;
        self.prefixes[..self.warm].iter().map(move |prefix| {
            let tokens = prefix.tokens.saturating_sub(before);
            before = prefix.tokens;
            (prefix.id, tokens)
        })
    }
}

/// Tokens that several running calls have in common.
#[derive(Debug, Default)]
struct Common {
    calls: usize,
    tokens: u64,
}

/// KV tokens of all running calls.
#[derive(Debug, Default)]
pub(super) struct KvMemory {
    tokens: u64,
    prefixes: HashMap<PrefixId, Common>,
}

impl KvMemory {
    pub(super) fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Tokens in flight if the call were admitted as well.
    pub(super) fn tokens_with(&self, footprint: &Footprint) -> u64 {
        let added = footprint
            .common()
            .map(|(id, tokens)| self.added_tokens(id, tokens));
        self.tokens + footprint.own_tokens + added.sum::<u64>()
    }

    pub(super) fn take(&mut self, footprint: &Footprint) {
        self.tokens = self.tokens_with(footprint);
        for (id, tokens) in footprint.common() {
            let common = self.prefixes.entry(id).or_default();
            common.calls += 1;
            common.tokens = common.tokens.max(tokens);
        }
    }

    /// Gives a call's memory back; common tokens go with the last call.
    pub(super) fn release(&mut self, footprint: &Footprint) {
        self.tokens -= footprint.own_tokens;
        for (id, _) in footprint.common() {
            self.tokens -= self.release_common(id);
        }
    }

    /// Counts the shared prefixes of a call as common from now on, because its
    /// prompt is computed.
    pub(super) fn computed(&mut self, footprint: &mut Footprint) {
        self.release(footprint);
        *footprint = footprint.computed();
        self.take(footprint);
    }

    fn added_tokens(&self, id: PrefixId, tokens: u64) -> u64 {
        let counted = self.prefixes.get(&id).map_or(0, |common| common.tokens);
        tokens.saturating_sub(counted)
    }

    fn release_common(&mut self, id: PrefixId) -> u64 {
        let common = self
            .prefixes
            .get_mut(&id)
            .expect("a running call is counted");
        common.calls -= 1;
        if common.calls > 0 {
            return 0;
        }
        let tokens = common.tokens;
        self.prefixes.remove(&id);
        tokens
    }
}
