//! How an answer looks to its caller: server-sent events or one JSON body.
//!
//! The events of a stream carry the offset of their part as `id`, so that a
//! caller that lost its connection asks for the next one. A model's answer
//! ends with `[DONE]`; an answer without that event is not whole.

use bytes::Bytes;
use rosebend_protocol::peer::ForwardHead;
use rosebend_protocol::problem::{Problem, Ran};
use rosebend_transport::http_server::PROBLEM_JSON;
use serde_json::{Map, Value, json};

/// Content type of server-sent events.
pub const EVENT_STREAM: &str = "text/event-stream";
/// The event that ends a whole stream.
pub const DONE_EVENT: &str = "data: [DONE]\n\n";

/// The event of one part.
pub fn part_event(offset: u64, part: &[u8]) -> Bytes {
    let mut event = format!("id: {offset}\ndata: ").into_bytes();
    event.extend_from_slice(part);
    event.extend_from_slice(b"\n\n");
    event.into()
}

/// The head and the body of a reply that tells a problem.
pub fn problem_reply(problem: &Problem) -> (ForwardHead, Bytes) {
    let body = serde_json::to_vec(problem).expect("a problem has a JSON form");
    let head = ForwardHead {
        status: problem.status.into(),
        content_type: PROBLEM_JSON.to_owned(),
        retry_after_ms: problem.retry_after_ms.unwrap_or_default(),
        call_id: String::new(),
    };
    (head, body.into())
}

/// The event that ends a stream which did not become whole.
pub fn problem_event(problem: &Problem) -> Bytes {
    let text = serde_json::to_string(problem).expect("a problem has a JSON form");
    format!("event: error\ndata: {text}\n\n").into()
}

/// Joins the chunks of a streamed chat completion into one completion.
///
/// # Errors
///
/// Fails when a part is not a chunk of a chat completion.
pub fn join_chunks(parts: &[Bytes]) -> Result<Value, Problem> {
    let mut joined = JoinedChunks::default();
    for part in parts {
        let chunk: Value = serde_json::from_slice(part).map_err(|error| {
            Problem::new(
                502,
                "bad-answer",
                Ran::Yes,
                format!("a part of the answer: {error}"),
            )
        })?;
        joined.add(&chunk);
    }
    Ok(joined.finish())
}

#[derive(Debug, Default)]
struct JoinedChunks {
    /// Members that all chunks share: id, model, created.
    head: Map<String, Value>,
    role: Option<Value>,
    content: String,
    tool_calls: Vec<Value>,
    finish_reason: Option<Value>,
    usage: Option<Value>,
}

impl JoinedChunks {
    fn add(&mut self, chunk: &Value) {
        for name in ["id", "model", "created"] {
            if let (None, Some(value)) = (self.head.get(name), chunk.get(name)) {
                self.head.insert(name.to_owned(), value.clone());
            }
        }
        if let Some(usage) = chunk.get("usage").filter(|usage| !usage.is_null()) {
            self.usage = Some(usage.clone());
        }
        let Some(choice) = chunk.pointer("/choices/0") else {
            return;
        };
        if let Some(reason) = choice
            .get("finish_reason")
            .filter(|reason| !reason.is_null())
        {
            self.finish_reason = Some(reason.clone());
        }
        if let Some(delta) = choice.get("delta") {
            self.add_delta(delta);
        }
    }

    fn add_delta(&mut self, delta: &Value) {
        if let Some(role) = delta.get("role") {
            self.role.get_or_insert_with(|| role.clone());
        }
        if let Some(text) = delta.get("content").and_then(Value::as_str) {
            self.content.push_str(text);
        }
        for call in delta
            .get("tool_calls")
            .and_then(Value::as_array)
            .into_iter()
            .flatten()
        {
            self.add_tool_call(call);
        }
    }

    /// The first piece of a tool call has its id and name; later pieces of the
    /// same index add to its arguments.
    fn add_tool_call(&mut self, piece: &Value) {
        let index = piece.get("index").and_then(Value::as_u64).unwrap_or(0);
        let known = self
            .tool_calls
            .iter_mut()
            .find(|call| call.get("index").and_then(Value::as_u64) == Some(index));
        let Some(known) = known else {
            self.tool_calls.push(piece.clone());
            return;
        };
        let more = piece
            .pointer("/function/arguments")
            .and_then(Value::as_str)
            .unwrap_or_default();
        if let Some(Value::String(arguments)) = known.pointer_mut("/function/arguments") {
            arguments.push_str(more);
        }
    }

    fn finish(self) -> Value {
        let mut message = json!({
            "role": self.role.unwrap_or_else(|| json!("assistant")),
            "content": self.content,
        });
        if !self.tool_calls.is_empty() {
            message["tool_calls"] = Value::Array(self.tool_calls);
        }
        let mut completion = Value::Object(self.head);
        completion["object"] = json!("chat.completion");
        completion["choices"] = json!([{
            "index": 0,
            "message": message,
            "finish_reason": self.finish_reason.unwrap_or_else(|| json!("stop")),
        }]);
        completion["usage"] = self.usage.unwrap_or(Value::Null);
        completion
    }
}
