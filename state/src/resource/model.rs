//! Models.

use serde::Serialize;
use serde_json::{Map, Value};

use super::{error::FieldDefect, fields::Fields};

/// Largest context that can be declared.
const MAX_CONTEXT_TOKENS: u64 = 10_000_000;

/// A model and its sizes.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub struct ModelSpec {
    /// Most tokens of prompt and answer together; 256 to 10 million.
    pub context_tokens: u64,
    /// Most tokens of an answer; 1 to `context_tokens`.
    pub max_answer_tokens: u64,
}

impl TryFrom<&Map<String, Value>> for ModelSpec {
    type Error = Vec<FieldDefect>;

    fn try_from(spec: &Map<String, Value>) -> Result<Self, Vec<FieldDefect>> {
        let mut fields = Fields::new(spec);
        let context_tokens = fields.number("context_tokens", 256..=MAX_CONTEXT_TOKENS, None);
        // The answer is part of the context, so its bound is the one declared,
        // unless that has a defect itself.
        let bound = match fields.has_defects() {
            true => MAX_CONTEXT_TOKENS,
            false => context_tokens,
        };
        let max_answer_tokens = fields.number("max_answer_tokens", 1..=bound, None);
        fields.finish()?;
        Ok(Self {
            context_tokens,
            max_answer_tokens,
        })
    }
}
