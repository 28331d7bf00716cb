//! How much KV memory running calls may take.
//!
//! Running calls drive the cache of paused programs out of an engine's
//! memory, and what was driven out is computed again. How much memory paused
//! programs need varies with the length of their pauses, so the limit follows
//! what is seen: it falls when a prompt that was believed warm is found cold,
//! and rises slowly while prompts are found as warm as believed.

use super::QueueSettings;

/// Bounds of the limit, in thousandths of the engine's memory.
const LEAST: u64 = 500;
const MOST: u64 = 900;

/// Fall and rise, in thousandths of the engine's memory.
const FALL: u64 = 100;
const RISE: u64 = 2;

/// A limit that follows what the engine's cache held.
#[derive(Debug)]
pub(super) struct KvLimit {
    tokens: u64,
    /// All memory of the engine; none when there is no limit to follow.
    engine_tokens: Option<u64>,
}

impl KvLimit {
    pub(super) fn new(settings: &QueueSettings) -> Self {
        let known = settings.max_call_kv_tokens != u64::MAX;
        Self {
            tokens: settings.kv_tokens_limit,
            engine_tokens: known.then_some(settings.max_call_kv_tokens),
        }
    }

    pub(super) fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Learns how much was found of a prompt that was believed warm.
    pub(super) fn observe(&mut self, believed_tokens: u64, found_tokens: u64) {
        let Some(engine_tokens) = self.engine_tokens else {
            return;
        };
        if believed_tokens == 0 {
            return;
        }
        let part = |thousandths| engine_tokens / 1_000 * thousandths;
        // A tenth may be missing because the engine cuts at whole blocks.
        let driven_out = found_tokens < believed_tokens / 10 * 9;
        self.tokens = if driven_out {
            self.tokens.saturating_sub(part(FALL)).max(part(LEAST))
        } else {
            (self.tokens + part(RISE)).min(part(MOST))
        };
    }
}
