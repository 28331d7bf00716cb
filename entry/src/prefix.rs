//! Starts of a prompt that other prompts may share.
//!
//! Programs of one customer often begin with the same long context, and
//! sub-agents begin with the history of their parent. Nobody declares this, so
//! each boundary between messages gets a hash of all that is before it: equal
//! hashes are equal starts. The first boundary and the last few are kept; they
//! are the ones that other prompts are likely to have.

use rosebend_coordination::warmth::SharedPrefix;
use serde_json::Value;

/// Boundaries kept from the end of the prompt.
const LAST_KEPT: usize = 4;

/// Shortest prefix worth knowing.
const MIN_TOKENS: u64 = 64;

/// Bytes of text that are counted as one token.
const BYTES_PER_TOKEN: u64 = 4;

/// The prefixes of a prompt for a model, the shortest first, each the start of
/// the next. The model counts, because its cache is its own.
pub fn shared_prefixes(model: &str, messages: &[Value]) -> Vec<SharedPrefix> {
    let mut id = rosebend_util::hash_parts(&[model.as_bytes()]);
    let mut bytes = 0;
    let mut all = Vec::with_capacity(messages.len());
    for message in messages {
        let text = message.to_string();
        bytes += text.len() as u64;
        id = rosebend_util::hash_parts(&[&id.to_le_bytes(), text.as_bytes()]);
        let tokens = bytes / BYTES_PER_TOKEN;
        all.push(SharedPrefix { id, tokens });
    }
    let last_from = all.len().saturating_sub(LAST_KEPT);
    let is_kept = |index: usize| index == 0 || index >= last_from;
    all.into_iter()
        .enumerate()
        .filter(|(index, prefix)| is_kept(*index) && prefix.tokens >= MIN_TOKENS)
        .map(|(_, prefix)| prefix)
        .collect()
}
