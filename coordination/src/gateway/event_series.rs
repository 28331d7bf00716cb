//! The events of one answer, over the runs that made it.
//!
//! Only whole events go out: an endpoint that breaks off within an event must
//! not leave a part of it at the caller, which the next run would begin again.
//! A run goes on after the last event that went out and never before it.

use rosebend_state::deployment::EventId;

/// Longest event that is held until it is whole. Events of model engines have a
/// few hundred bytes; what is longer by far is no event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Why a run's bytes do not go on where the answer stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum SeriesError {
    /// An event came again, or before one that has gone out.
    #[error("event {0} comes after event {1}")]
    OutOfOrder(EventId, EventId),
    /// An event has no end.
    #[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
    TooLong,
}

/// Where the next run of an answer begins.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GoOn {
    /// At the first event, since none has gone out.
    FromStart,
    /// After an event.
    After(EventId),
    /// Nowhere: an event went out that has no id to be named by.
    Nowhere,
}

/// Whole events, as they came.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Events {
    /// Events that the caller has from an earlier attempt.
    pub repeated: Vec<u8>,
    /// Events that go out.
    pub fresh: Vec<u8>,
}

/// What of an answer has gone out, and what waits until its event is whole.
#[derive(Clone, Debug, Default)]
pub struct EventSeries {
    /// Bytes after the last whole event, shorter than [`MAX_EVENT_BYTES`].
    partial: Vec<u8>,
    /// The last event of this answer.
    last: Option<EventId>,
    /// The last event that the caller had before this answer began.
    callers: Option<EventId>,
    /// Set once an event without an id went out.
    is_unnamed: bool,
}

impl Events {
    /// Whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.repeated.is_empty() && self.fresh.is_empty()
    }
}

impl EventSeries {
    /// An answer that the endpoint is asked to begin after an event.
    pub fn after(last: Option<EventId>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// An answer that the endpoint begins at its first event, although the
    /// caller has those up to `callers`.
    pub fn repeating(callers: Option<EventId>) -> Self {
        Self {
            callers,
            ..Self::default()
        }
    }

    /// The events that `bytes` of the present run complete.
    ///
    /// # Errors
    ///
    /// Fails when the run does not go on where the answer stands. Nothing of
    /// `bytes` goes out then, and the answer stands where it stood.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Events, SeriesError> {
        let (last, is_unnamed) = (self.last, self.is_unnamed);
        let events = self.take_events(bytes);
        if events.is_err() {
            (self.last, self.is_unnamed) = (last, is_unnamed);
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

    /// Whether the present run stopped within an event.
    pub fn is_within_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Drops what the present run left unfinished, and tells where the next one
    /// begins.
    pub fn break_off(&mut self) -> GoOn {
        self.partial.clear();
        match self.last {
            _ if self.is_unnamed => GoOn::Nowhere,
            None => GoOn::FromStart,
            Some(last) => GoOn::After(last),
        }
    }

    /// Takes note of a whole block; tells whether the caller has it already.
    fn is_repeated(&mut self, block: Block) -> Result<bool, SeriesError> {
        let id = match block {
            Block::NoEvent => return Ok(false),
            Block::Unnamed => {
                self.is_unnamed = true;
                return Ok(false);
            }
            Block::Named(id) => id,
        };
        if let Some(last) = self.last.filter(|last| id <= *last) {
            return Err(SeriesError::OutOfOrder(id, last));
        }
        self.last = Some(id);
        Ok(self.callers.is_some_and(|callers| id <= callers))
    }
}

/// Where the event that begins at `begin` ends, with its empty line. Up to
/// `searched` no end was found before.
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

/// What stands before an empty line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Block {
    /// Nothing that a caller takes for an event, such as a comment.
    NoEvent,
    /// An event without a number as its id.
    Unnamed,
    /// An event with its id.
    Named(EventId),
}

impl Block {
    fn parse(block: &[u8]) -> Self {
        let mut id = None;
        let mut has_data = false;
        for line in block.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            match field(line) {
                (b"id", value) => id = number(value),
                (b"data", _) => has_data = true,
                _ => {}
            }
        }
        match id {
            _ if !has_data => Self::NoEvent,
            None => Self::Unnamed,
            Some(id) => Self::Named(id),
        }
    }
}

fn field(line: &[u8]) -> (&[u8], &[u8]) {
    match line.iter().position(|byte| *byte == b':') {
        None => (line, b""),
        Some(colon) => {
            let value = &line[colon + 1..];
            (&line[..colon], value.strip_prefix(b" ").unwrap_or(value))
        }
    }
}

fn number(value: &[u8]) -> Option<EventId> {
    std::str::from_utf8(value).ok()?.parse().ok()
}
