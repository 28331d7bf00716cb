//! Streams of server-sent events.

use std::{collections::VecDeque, pin::Pin, time::Duration};

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use serde_json::Value;

use crate::{error::HarnessError, wait::DEADLINE};

type Body = Pin<Box<dyn Stream<Item = Result<Bytes, String>>>>;

/// One event.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Event {
    /// The offset.
    pub id: Option<u64>,
    /// The event's type; empty for a plain one.
    pub kind: String,
    /// The data.
    pub data: String,
}

impl Event {
    /// The text that a chunk of a chat completion adds.
    pub fn content(&self) -> Option<String> {
        let chunk: Value = serde_json::from_str(&self.data).ok()?;
        let content = chunk.pointer("/choices/0/delta/content")?.as_str()?;
        Some(content.to_owned())
    }

    fn parse(block: &str) -> Self {
        let mut event = Self::default();
        for line in block.lines() {
            match line.split_once(": ") {
                Some(("id", id)) => event.id = id.parse().ok(),
                Some(("event", kind)) => event.kind = kind.to_owned(),
                Some(("data", data)) => event.data.push_str(data),
                _ => {}
            }
        }
        event
    }
}

/// How a stream ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamEnd {
    /// With `[DONE]`.
    Done,
    /// With an error event, whose data this is.
    Error(String),
    /// Without an end.
    Cut(String),
}

/// A stream of events as it arrives.
pub struct EventStream {
    /// The status of the answer.
    pub status: u16,
    /// The call's id.
    pub call: Option<String>,
    body: Body,
    text: String,
    ready: VecDeque<Event>,
}

impl std::fmt::Debug for EventStream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EventStream")
            .field("status", &self.status)
            .field("call", &self.call)
            .finish_non_exhaustive()
    }
}

impl EventStream {
    /// A stream over a body.
    pub(crate) fn new(status: u16, call: Option<String>, body: Body) -> Self {
        Self {
            status,
            call,
            body,
            text: String::new(),
            ready: VecDeque::new(),
        }
    }

    /// The next event, or how the stream ended.
    ///
    /// # Errors
    ///
    /// The end of the stream is the error of this function.
    pub async fn next(&mut self) -> Result<Event, StreamEnd> {
        self.next_within(DEADLINE).await
    }

    /// Like [`EventStream::next`], and takes a silence of `wait` as a cut.
    ///
    /// # Errors
    ///
    /// The end of the stream is the error of this function.
    pub async fn next_within(&mut self, wait: Duration) -> Result<Event, StreamEnd> {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return classify(event);
            }
            match actix_rt::time::timeout(wait, self.body.next()).await {
                Ok(Some(Ok(bytes))) => self.add(&bytes),
                Ok(Some(Err(error))) => return Err(StreamEnd::Cut(error)),
                Ok(None) => return Err(StreamEnd::Cut(format!("the body ended: {}", self.text))),
                Err(_) => return Err(StreamEnd::Cut("silence".to_owned())),
            }
        }
    }

    /// All further events that have an offset and text, and the end.
    pub async fn collect(&mut self) -> (Vec<(u64, String)>, StreamEnd) {
        let mut parts = Vec::new();
        loop {
            match self.next().await {
                Ok(event) => {
                    if let (Some(id), Some(content)) = (event.id, event.content()) {
                        parts.push((id, content));
                    }
                }
                Err(end) => return (parts, end),
            }
        }
    }

    fn add(&mut self, bytes: &[u8]) {
        self.text.push_str(&String::from_utf8_lossy(bytes));
        while let Some(end) = self.text.find("\n\n") {
            let block: String = self.text.drain(..end + 2).collect();
            let event = Event::parse(&block);
            // A comment line alone is no event.
            if event != Event::default() {
                self.ready.push_back(event);
            }
        }
    }
}

fn classify(event: Event) -> Result<Event, StreamEnd> {
    match (event.kind.as_str(), event.data.as_str()) {
        (_, "[DONE]") => Err(StreamEnd::Done),
        ("error", data) => Err(StreamEnd::Error(data.to_owned())),
        _ => Ok(event),
    }
}

/// Fails unless offsets run from `first` without a gap or a repetition, and
/// returns the whole text.
///
/// # Errors
///
/// Names the first offset that is wrong.
pub fn join_parts(first: u64, parts: &[(u64, String)]) -> Result<String, HarnessError> {
    for (expected, (offset, _)) in (first..).zip(parts) {
        if *offset != expected {
            let detail = format!("offset {offset} in the place of {expected}");
            let what = "joining a stream".to_owned();
            return Err(HarnessError::NoAnswer { what, detail });
        }
    }
    Ok(parts.iter().map(|(_, text)| text.as_str()).collect())
}
