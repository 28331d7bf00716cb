//! A log that never blocks: lines wait in a bounded buffer for a thread of
//! their own.
//!
//! When lines come faster than standard output takes them, the least important
//! level yields first. What was dropped is counted by level and told as soon as
//! lines flow again.

use std::collections::VecDeque;
use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;

use log::{Level, Record};
use log4rs::append::Append;

use crate::event::{EVENT_TARGET, Event, EventKind, now_ms};

/// Lines that wait at most. At 300 bytes a line that is about 1.2 MB, some
/// seconds of a busy host.
const MAX_LINES: usize = 4_096;
/// Lines that are written with one call.
const BATCH: usize = 64;

#[derive(Debug, Default)]
struct Buffer {
    /// Lines with their levels, in their order.
    lines: VecDeque<(Level, String)>,
    dropped: Dropped,
}

/// Lines that were dropped since the last time that it was told.
#[derive(Debug, Default)]
struct Dropped {
    info: u64,
    warn: u64,
}

#[derive(Debug, Default)]
struct Shared {
    buffer: Mutex<Buffer>,
    wake: Condvar,
}

/// The appender.
#[derive(Clone, Debug)]
pub struct BoundedLog {
    shared: Arc<Shared>,
}

impl BoundedLog {
    /// Starts the thread that writes lines to `output`. `describe` turns the
    /// events of the log itself into lines.
    pub fn start(
        mut output: impl Write + Send + 'static,
        describe: impl Fn(&Event) -> String + Send + 'static,
    ) -> Self {
        let shared = Arc::new(Shared::default());
        let writer = Arc::clone(&shared);
        thread::spawn(move || {
            loop {
                let batch = writer.next_batch(&describe);
                // Nobody reads the log any more; the process goes on without.
                if output.write_all(batch.as_bytes()).is_err() || output.flush().is_err() {
                    writer.lock().lines.clear();
                }
            }
        });
        Self { shared }
    }

    /// Adds a line, and drops one when there are too many.
    pub fn add(&self, level: Level, line: String) {
        let mut buffer = self.shared.lock();
        buffer.lines.push_back((level, line));
        if buffer.lines.len() > MAX_LINES {
            buffer.drop_one();
        }
        drop(buffer);
        self.shared.wake.notify_one();
    }
}

impl Buffer {
    /// Drops the oldest of the least important lines.
    fn drop_one(&mut self) {
        let is_minor = |(level, _): &(Level, String)| *level >= Level::Info;
        match self.lines.iter().position(is_minor) {
            Some(index) => {
                self.lines.remove(index);
                self.dropped.info += 1;
            }
            None => {
                self.lines.pop_front();
                self.dropped.warn += 1;
            }
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Buffer> {
        self.buffer.lock().expect("no holder of the buffer panics")
    }

    /// Waits for lines and takes some, with what was dropped before them.
    fn next_batch(&self, describe: &impl Fn(&Event) -> String) -> String {
        let mut buffer = self.lock();
        while buffer.lines.is_empty() {
            buffer = self
                .wake
                .wait(buffer)
                .expect("no holder of the buffer panics");
        }
        let mut batch = String::new();
        let dropped = std::mem::take(&mut buffer.dropped);
        for (count, level) in [(dropped.info, "info"), (dropped.warn, "warn")] {
            if count > 0 {
                let event = Event::new(EventKind::LinesDropped)
                    .count(count)
                    .reason(level);
                batch.push_str(&describe(&event));
                batch.push('\n');
            }
        }
        let taken = buffer.lines.len().min(BATCH);
        for (_, line) in buffer.lines.drain(..taken) {
            batch.push_str(&line);
            batch.push('\n');
        }
        batch
    }
}

impl Append for BoundedLog {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let line = match record.target() {
            EVENT_TARGET => record.args().to_string(),
            target => library_line(target, record),
        };
        self.add(record.level(), line);
        Ok(())
    }

    fn flush(&self) {}
}

/// What a library says, as a JSON object like the lines of events.
fn library_line(target: &str, record: &Record<'_>) -> String {
    serde_json::json!({
        "at_ms": now_ms(),
        "name": "library",
        "level": record.level().as_str().to_ascii_lowercase(),
        "target": target,
        "text": record.args().to_string(),
    })
    .to_string()
}
