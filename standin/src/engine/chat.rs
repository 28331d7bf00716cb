//! Chat completions: what is asked, and how the answer is written.

use rosebend_util::hash_parts;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// Tokens of an answer when the request names no number.
const DEFAULT_ANSWER_TOKENS: u64 = 16;

/// The members of a chat completion that the engine looks at.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct ChatRequest {
    /// The model's name.
    pub model: String,
    /// The conversation so far.
    pub messages: Vec<ChatMessage>,
    /// Tokens of the answer; the stand-in uses them all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u64>,
    /// The newer name of `max_tokens`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_completion_tokens: Option<u64>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
}

/// One message of a conversation.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct ChatMessage {
    /// Who says it.
    pub role: String,
    /// Text, or a list of parts with a member `text`.
    #[serde(default)]
    pub content: Value,
}

impl ChatRequest {
    /// Tokens that the answer will have.
    pub fn answer_tokens(&self) -> u64 {
        let asked = self.max_completion_tokens.or(self.max_tokens);
        asked.unwrap_or(DEFAULT_ANSWER_TOKENS).max(1)
    }

    /// The text that the model sees. A conversation that goes on from an
    /// answer starts with the text of the earlier prompt and answer.
    pub fn prompt(&self) -> String {
        let mut prompt = format!("[{}]\n", self.model);
        for message in &self.messages {
            prompt.push_str(&turn_start(&message.role));
            push_content(&mut prompt, &message.content);
            prompt.push('\n');
        }
        prompt.push_str(&turn_start("assistant"));
        prompt
    }
}

fn turn_start(role: &str) -> String {
    format!("<{role}>\n")
}

fn push_content(prompt: &mut String, content: &Value) {
    match content {
        Value::String(text) => prompt.push_str(text),
        Value::Array(parts) => {
            let texts = parts.iter().filter_map(|part| part.get("text")?.as_str());
            texts.for_each(|text| prompt.push_str(text));
        }
        _ => {}
    }
}

/// The answer's token at an offset: four letters that follow from the prompt.
pub fn token(prompt_hash: u64, offset: u64) -> String {
    const CONSONANTS: &[u8] = b"bdfghklmnprstvwz";
    const VOWELS: &[u8] = b"aeiouy";
    let hash = hash_parts(&[&prompt_hash.to_le_bytes(), &offset.to_le_bytes()]);
    let letter = |letters: &[u8], shift: u32| {
        let index = (hash >> shift) as usize % letters.len();
        char::from(letters[index])
    };
    let (first, second, third) = (
        letter(CONSONANTS, 0),
        letter(VOWELS, 16),
        letter(CONSONANTS, 32),
    );
    format!("{first}{second}{third} ")
}

/// The hash that a prompt's answer follows from.
pub fn prompt_hash(prompt: &str) -> u64 {
    hash_parts(&[prompt.as_bytes()])
}

/// The whole text of an answer.
pub fn answer_text(prompt_hash: u64, tokens: u64) -> String {
    (0..tokens)
        .map(|offset| token(prompt_hash, offset))
        .collect()
}

/// Tokens that a request used.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the prompt that were found in the cache.
    pub cached_tokens: u64,
    /// Tokens of the answer.
    pub answer_tokens: u64,
}

impl Usage {
    /// In the shape of chat completions.
    pub fn to_json(self) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.answer_tokens,
            "total_tokens": self.prompt_tokens + self.answer_tokens,
            "prompt_tokens_details": { "cached_tokens": self.cached_tokens },
        })
    }
}

/// A whole answer.
pub fn whole_answer(request_id: &str, model: &str, text: &str, usage: Usage) -> Value {
    json!({
        "id": request_id,
        "object": "chat.completion",
        "created": 0,
        "model": model,
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": text },
            "finish_reason": "stop",
        }],
        "usage": usage.to_json(),
    })
}

/// The server-sent event of one token.
pub fn token_event(request_id: &str, model: &str, offset: u64, text: &str) -> String {
    let delta = if offset == 0 {
        json!({ "role": "assistant", "content": text })
    } else {
        json!({ "content": text })
    };
    event(offset, &chunk(request_id, model, delta, Value::Null))
}

/// The server-sent events that end a stream: usage, then `[DONE]`.
pub fn end_events(request_id: &str, model: &str, usage: Usage) -> String {
    let mut last = chunk(request_id, model, json!({}), json!("stop"));
    last["usage"] = usage.to_json();
    let usage_event = event(usage.answer_tokens, &last);
    format!("{usage_event}data: [DONE]\n\n")
}

fn chunk(request_id: &str, model: &str, delta: Value, finish_reason: Value) -> Value {
    json!({
        "id": request_id,
        "object": "chat.completion.chunk",
        "created": 0,
        "model": model,
        "choices": [{ "index": 0, "delta": delta, "finish_reason": finish_reason }],
    })
}

fn event(offset: u64, data: &Value) -> String {
    format!("id: {offset}\ndata: {data}\n\n")
}
