//! The queue's own count of KV tokens in flight.
//!
//! Calls that run on the same warm blocks count them once: a warm prefix that
//! several programs share, and the warm history that the sub-agents of one
//! root program have in common. What is cold when a call is admitted counts
//! for that call alone, since two calls that prefill the same text at once
//! both need memory for it.

use std::collections::HashMap;

use rosebend_state::id::ProgramId;

use super::Waiting;
use crate::warmth::PrefixId;

/// KV tokens of one call.
#[derive(Clone, Debug)]
pub(super) struct Footprint {
    /// Cold prompt and longest answer.
    own_tokens: u64,
    /// Warm history beyond the shared prefix.
    root: ProgramId,
    root_tokens: u64,
    /// A shared prefix that is warm.
    prefix: Option<(PrefixId, u64)>,
}

impl Footprint {
    pub(super) fn of(waiting: &Waiting) -> Self {
        let warm_tokens = waiting.warm_tokens.min(waiting.prompt_tokens);
        let prefix = waiting
            .shared_prefix
            .filter(|(_, tokens)| *tokens <= warm_tokens);
        let prefix_tokens = prefix.map_or(0, |(_, tokens)| tokens);
        Self {
            own_tokens: waiting.prompt_tokens - warm_tokens + waiting.max_answer_tokens,
            root: waiting.call.program.root(),
            root_tokens: warm_tokens - prefix_tokens,
            prefix,
        }
    }
}

/// Tokens that several running calls have in common.
#[derive(Debug, Default)]
struct Common {
    calls: usize,
    /// The most that one of the calls had warm.
    tokens: u64,
}

/// KV tokens of all running calls.
#[derive(Debug, Default)]
pub(super) struct KvMemory {
    tokens: u64,
    roots: HashMap<ProgramId, Common>,
    prefixes: HashMap<PrefixId, Common>,
}

impl KvMemory {
    pub(super) fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Tokens in flight if the call were admitted as well.
    pub(super) fn tokens_with(&self, footprint: &Footprint) -> u64 {
        let root_tokens = self
            .roots
            .get(&footprint.root)
            .map_or(0, |common| common.tokens);
        let prefix_tokens = footprint.prefix.map_or(0, |(prefix, tokens)| {
            let counted = self.prefixes.get(&prefix).map_or(0, |common| common.tokens);
            tokens.saturating_sub(counted)
        });
        self.tokens
            + footprint.own_tokens
            + footprint.root_tokens.saturating_sub(root_tokens)
            + prefix_tokens
    }

    pub(super) fn take(&mut self, footprint: &Footprint) {
        self.tokens = self.tokens_with(footprint);
        let root = self.roots.entry(footprint.root.clone()).or_default();
        root.add(footprint.root_tokens);
        if let Some((prefix, tokens)) = footprint.prefix {
            self.prefixes.entry(prefix).or_default().add(tokens);
        }
    }

    /// Gives a call's memory back; common tokens go with the last call.
    pub(super) fn release(&mut self, footprint: &Footprint) {
        self.tokens -= footprint.own_tokens;
        self.tokens -= release_common(&mut self.roots, &footprint.root);
        if let Some((prefix, _)) = footprint.prefix {
            self.tokens -= release_common(&mut self.prefixes, &prefix);
        }
    }
}

impl Common {
    fn add(&mut self, tokens: u64) {
        self.calls += 1;
        self.tokens = self.tokens.max(tokens);
    }
}

fn release_common<K: Eq + std::hash::Hash>(all: &mut HashMap<K, Common>, key: &K) -> u64 {
    let common = all.get_mut(key).expect("a running call is counted");
    common.calls -= 1;
    if common.calls > 0 {
        return 0;
    }
    let tokens = common.tokens;
    all.remove(key);
    tokens
}
