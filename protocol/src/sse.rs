//! Server-sent events out of the pieces of a body.

use bytes::Bytes;

/// One event of a stream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SseEvent {
    /// The event's `id`, when it is a number.
    pub id: Option<u64>,
    /// The event's `data`.
    pub data: Bytes,
}

/// Collects lines until an event is whole.
#[derive(Debug, Default)]
pub struct SseReader {
    line: Vec<u8>,
    id: Option<u64>,
    data: Vec<u8>,
    has_data: bool,
}

impl SseReader {
    /// The events that `bytes` complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<SseEvent> {
        let mut events = Vec::new();
        let mut rest = bytes;
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            self.line.extend_from_slice(&rest[..end]);
            rest = &rest[end + 1..];
            let line = std::mem::take(&mut self.line);
            events.extend(self.push_line(line.strip_suffix(b"\r").unwrap_or(&line)));
        }
        self.line.extend_from_slice(rest);
        events
    }

    /// Bytes that are kept of the event that is not whole yet.
    pub fn pending_bytes(&self) -> usize {
        self.line.len() + self.data.len()
    }

    fn push_line(&mut self, line: &[u8]) -> Option<SseEvent> {
        if line.is_empty() {
            return self.take_event();
        }
        let (field, value) = split_field(line);
        match field {
            b"id" => self.id = number(value),
            b"data" => {
                if self.has_data {
                    self.data.push(b'\n');
                }
                self.has_data = true;
                self.data.extend_from_slice(value);
            }
            _ => {}
        }
        None
    }

    fn take_event(&mut self) -> Option<SseEvent> {
        let id = self.id.take();
        let data = Bytes::from(std::mem::take(&mut self.data));
        std::mem::take(&mut self.has_data).then_some(SseEvent { id, data })
    }
}

/// The number that a value is, if it is one.
fn number(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.parse().ok()
}

fn split_field(line: &[u8]) -> (&[u8], &[u8]) {
    match line.iter().position(|byte| *byte == b':') {
        Some(colon) => {
            let value = &line[colon + 1..];
            (&line[..colon], value.strip_prefix(b" ").unwrap_or(value))
        }
        None => (line, b""),
    }
}
