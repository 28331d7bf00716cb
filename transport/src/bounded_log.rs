//! A log that never blocks: lines wait in a bounded buffer for a thread of
//! their own.
//!
//! Lines that tell of nothing amiss wait a little for others, so that many are
//! written with one call. When lines come faster than standard output takes them, the least important
//! level yields first. What was dropped is counted by level and told as soon as
//! lines flow again.

use std::collections::VecDeque;
use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use log::{Level, Record};
use log4rs::append::Append;

use crate::event::{EVENT_TARGET, Event, EventKind, now_ms};

/// Lines that wait at most. At 300 bytes a line that is about 1.2 MB, some
/// seconds of a busy host.
const MAX_LINES: usize = 4_096;
/// Lines that are written with one call.
const BATCH: usize = 64;
/// How long a line waits for others when nothing is amiss. A call a line took
/// 5.7 and 9.1 % of the processor time of a gateway at 200 and 400 requests a
/// second; with this wait it is 2.7 and under 1.6 %
/// (`cargo bench -p rosebend-gateway --bench cost`).
const GATHER_TIME: Duration = Duration::from_millis(25);
/// Longest wait at the end of the process for the last lines: nobody may be
/// reading them.
const FLUSH_TIME: Duration = Duration::from_millis(300);

#[derive(Debug, Default)]
struct Buffer {
    /// Lines with their levels, in their order.
    lines: VecDeque<(Level, String)>,
    /// Whether one of them must not wait.
    is_urgent: bool,
    /// Whether lines that were taken are not written yet.
    is_writing: bool,
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
    /// Told whenever all that was added has been written.
    written: Condvar,
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
        // Its share of the processor is looked up by its name.
        let thread = thread::Builder::new().name("log".to_owned());
        let spawned = thread.spawn(move || {
            loop {
                let batch = writer.next_batch(&describe);
                // Nobody reads the log any more; the process goes on without.
                if output.write_all(batch.as_bytes()).is_err() || output.flush().is_err() {
                    writer.lock().lines.clear();
                }
                writer.batch_written();
            }
        });
        spawned.expect("a process that starts may have one more thread");
        Self { shared }
    }

    /// Adds a line, and drops one when there are too many.
    pub fn add(&self, level: Level, line: String) {
        let mut buffer = self.shared.lock();
        buffer.lines.push_back((level, line));
        buffer.is_urgent |= level <= Level::Warn;
        let wakes = buffer.lines.len() == 1 || buffer.is_ripe();
        if buffer.lines.len() > MAX_LINES {
            buffer.drop_one();
        }
        drop(buffer);
        if wakes {
            self.shared.wake.notify_one();
        }
    }

    /// Waits until all lines are written, for a bounded time.
    fn write_out(&self) {
        let mut buffer = self.shared.lock();
        buffer.is_urgent = true;
        self.shared.wake.notify_one();
        let waits = |buffer: &mut Buffer| buffer.is_writing || !buffer.lines.is_empty();
        let waited = self
            .shared
            .written
            .wait_timeout_while(buffer, FLUSH_TIME, waits);
        drop(waited.expect("no holder of the buffer panics"));
    }
}

impl Buffer {
    /// Whether the lines need not wait for others.
    fn is_ripe(&self) -> bool {
        self.is_urgent || self.lines.len() >= BATCH
    }

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
        let gathered = self
            .wake
            .wait_timeout_while(buffer, GATHER_TIME, |buffer| !buffer.is_ripe());
        let (mut buffer, _) = gathered.expect("no holder of the buffer panics");
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
        buffer.is_urgent &= !buffer.lines.is_empty();
        buffer.is_writing = true;
        batch
    }

    fn batch_written(&self) {
        let mut buffer = self.lock();
        buffer.is_writing = false;
        if buffer.lines.is_empty() {
            self.written.notify_all();
        }
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

    fn flush(&self) {
        self.write_out();
    }
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
