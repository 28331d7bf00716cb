//! The server-sent events of one answer, also across several attempts.
//!
//! An answer that ends within an event is incomplete, whatever its framing says.
//!
//! If an endpoint fails within its answer, another attempt may resume the stream at the same
//! or another endpoint. Only complete events are sent to the caller: the next attempt sends
//! an incomplete event again from its beginning, so the caller must not have a part of it.
//! An attempt resumes after the last event that was sent, and an event that would be sent
//! twice or out of order is an error.

use rosebend_state::deployment::EventId;

/// Maximum size in bytes of an event that is buffered until it is complete. Events of
/// model engines have a few hundred bytes, so a much longer one is not an event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// The reason why the bytes of an attempt do not continue the answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum SeriesError {
    /// The id of an event, the first field, is not greater than that of the last event, the
    /// second field.
    #[error("event {0} comes after event {1}")]
    OutOfOrder(EventId, EventId),
    /// An event exceeds the maximum size.
    #[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
    TooLong,
}

/// The point at which the next attempt at an answer begins.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResumePoint {
    /// The attempt begins at the first event, since none was sent.
    FromStart,
    /// The attempt begins after the event with this id.
    After(EventId),
    /// The answer cannot be resumed, since an event without an id was sent.
    Impossible,
}

/// Complete events, byte for byte as they were received.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Events {
    /// The events that the caller has from an earlier attempt.
    pub repeated: Vec<u8>,
    /// The events to send to the caller.
    pub fresh: Vec<u8>,
}

/// The state of an answer's stream: the last complete event, and the bytes that are buffered
/// until their event is complete.
#[derive(Clone, Debug, Default)]
pub struct EventSeries {
    /// The bytes after the last complete event, fewer than [`MAX_EVENT_BYTES`].
    partial: Vec<u8>,
    /// The id of the last complete event of this answer.
    last: Option<EventId>,
    /// The id of the last event that the caller had before this answer began.
    caller_last: Option<EventId>,
    /// Whether an event without an id was sent.
    has_event_without_id: bool,
}

impl Events {
    /// Returns whether there are no events.
    pub fn is_empty(&self) -> bool {
        self.repeated.is_empty() && self.fresh.is_empty()
    }
}

impl EventSeries {
    /// Creates the state of an answer that the endpoint is asked to begin after an event.
    pub fn after(last: Option<EventId>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// Creates the state of an answer that the endpoint begins at its first event, although
    /// the caller has the events up to `caller_last`.
    pub fn repeating(caller_last: Option<EventId>) -> Self {
        Self {
            caller_last,
            ..Self::default()
        }
    }

    /// Adds bytes of the current attempt and returns the events that they complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the attempt does not continue the answer after its last event. No
    /// event of `bytes` is sent then, and the point of resumption stays the same.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Events, SeriesError> {
        let (last, has_event_without_id) = (self.last, self.has_event_without_id);
        let events = self.take_events(bytes);
        if events.is_err() {
            (self.last, self.has_event_without_id) = (last, has_event_without_id);
        }
        events
    }

    fn take_events(&mut self, bytes: &[u8]) -> Result<Events, SeriesError> {
        let mut searched = self.partial.len();
        let mut buffer = std::mem::take(&mut self.partial);
        buffer.extend_from_slice(bytes);
        let mut events = Events::default();
        let mut begin = 0;
        while let Some(end) = end_of_event(&buffer, begin, searched) {
            let block = &buffer[begin..end];
            let into = match self.is_repeated(Block::parse(block))? {
                true => &mut events.repeated,
                false => &mut events.fresh,
            };
            into.extend_from_slice(block);
            (begin, searched) = (end, end);
        }
        buffer.drain(..begin);
        self.partial = buffer;
        match self.partial.len() < MAX_EVENT_BYTES {
            true => Ok(events),
            false => Err(SeriesError::TooLong),
        }
    }

    /// Returns whether the bytes of the current attempt end within an event.
    pub fn is_within_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Discards the incomplete event of the current attempt, and returns the point at which
    /// the next attempt begins.
    pub fn discard_partial(&mut self) -> ResumePoint {
        self.partial.clear();
        self.resume_point()
    }

    /// Returns the point at which another attempt would begin now.
    pub const fn resume_point(&self) -> ResumePoint {
        match self.last {
            _ if self.has_event_without_id => ResumePoint::Impossible,
            None => ResumePoint::FromStart,
            Some(last) => ResumePoint::After(last),
        }
    }

    /// Records a complete block, and returns whether the caller has it already.
    fn is_repeated(&mut self, block: Block) -> Result<bool, SeriesError> {
        let id = match block {
            Block::NoEvent => return Ok(false),
            Block::WithoutId => {
                self.has_event_without_id = true;
                return Ok(false);
            }
            Block::WithId(id) => id,
        };
        if let Some(last) = self.last.filter(|last| id <= *last) {
            return Err(SeriesError::OutOfOrder(id, last));
        }
        self.last = Some(id);
        Ok(self
            .caller_last
            .is_some_and(|caller_last| id <= caller_last))
    }
}

/// Returns the index after the empty line that ends the event at `begin`, or `None` if the
/// event is incomplete. Earlier calls have searched the bytes before `searched`.
fn end_of_event(bytes: &[u8], begin: usize, searched: usize) -> Option<usize> {
    let mut at = searched;
    loop {
        let found = bytes[at..].iter().position(|byte| *byte == b'\n')?;
        let line_feed = at + found;
        let before = &bytes[begin..line_feed];
        let before = before.strip_suffix(b"\r").unwrap_or(before);
        at = line_feed + 1;
        if before.is_empty() || before.ends_with(b"\n") {
            return Some(at);
        }
    }
}

/// The kind of the block of lines before an empty line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Block {
    /// A block that callers do not process as an event, such as a comment.
    NoEvent,
    /// An event whose id is missing or not a number.
    WithoutId,
    /// An event with a numeric id.
    WithId(EventId),
}

impl Block {
    fn parse(block: &[u8]) -> Self {
        let mut id = None;
        let mut has_data = false;
        for line in block.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            match parse_field(line) {
                (b"id", value) => id = event_id(value),
                (b"data", _) => has_data = true,
                _ => {}
            }
        }
        match id {
            _ if !has_data => Self::NoEvent,
            None => Self::WithoutId,
            Some(id) => Self::WithId(id),
        }
    }
}

/// Splits a line into the name and the value of its field.
fn parse_field(line: &[u8]) -> (&[u8], &[u8]) {
    match line.iter().position(|byte| *byte == b':') {
        None => (line, b""),
        Some(colon) => {
            let value = &line[colon + 1..];
            (&line[..colon], value.strip_prefix(b" ").unwrap_or(value))
        }
    }
}

/// Parses an event id.
fn event_id(value: &[u8]) -> Option<EventId> {
    std::str::from_utf8(value).ok()?.parse().ok()
}
