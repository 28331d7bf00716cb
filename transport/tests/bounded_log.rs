//! The log's buffer: few calls to write, nothing lost at the end, and nothing
//! waits for a reader that has stopped.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex};

use log::Level;
use log4rs::append::Append;
use rosebend_transport::bounded_log::BoundedLog;
use rosebend_transport::event::Event;

/// An output that counts the calls to it, and may be stopped.
#[derive(Clone, Debug, Default)]
struct Output {
    state: Arc<(Mutex<State>, Condvar)>,
}

#[derive(Debug, Default)]
struct State {
    text: String,
    calls: usize,
    is_stopped: bool,
}

impl Output {
    fn stop(&self, is_stopped: bool) {
        self.state.0.lock().unwrap().is_stopped = is_stopped;
        self.state.1.notify_all();
    }

    fn lines(&self) -> Vec<String> {
        let state = self.state.0.lock().unwrap();
        state.text.lines().map(str::to_owned).collect()
    }

    fn calls(&self) -> usize {
        self.state.0.lock().unwrap().calls
    }
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let state = self.state.0.lock().unwrap();
        let mut state = self
            .state
            .1
            .wait_while(state, |state| state.is_stopped)
            .unwrap();
        state.calls += 1;
        state.text.push_str(&String::from_utf8_lossy(bytes));
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn log() -> (Output, BoundedLog) {
    let output = Output::default();
    let describe = |event: &Event| format!("{event:?}");
    let log = BoundedLog::start(output.clone(), describe);
    (output, log)
}

#[test]
fn lines_are_written_in_their_order_and_many_at_once() {
    let (output, log) = log();
    let expected: Vec<String> = (0..50).map(|number| format!("line {number}")).collect();
    for line in &expected {
        log.add(Level::Info, line.clone());
    }
    log.flush();
    assert_eq!(output.lines(), expected);
    assert!(output.calls() < 10, "{} calls", output.calls());
}

#[test]
fn the_last_lines_are_there_after_a_flush() {
    let (output, log) = log();
    for round in 1..=20 {
        log.add(Level::Info, format!("round {round}"));
        log.add(Level::Warn, format!("trouble {round}"));
        log.flush();
        assert_eq!(output.lines().len(), 2 * round);
    }
}

#[test]
fn a_reader_that_has_stopped_costs_the_least_important_lines_first() {
    let (output, log) = log();
    output.stop(true);
    for number in 0..6_000 {
        log.add(Level::Info, format!("served {number}"));
    }
    for number in 0..100 {
        log.add(Level::Warn, format!("failed {number}"));
    }
    // Nobody reads; the end of the process does not wait for ever.
    log.flush();
    assert!(output.lines().is_empty());
    output.stop(false);
    log.flush();
    let lines = output.lines();
    let failed = lines.iter().filter(|line| line.starts_with("failed"));
    assert_eq!(failed.count(), 100);
    let dropped = lines.iter().find(|line| line.contains("LinesDropped"));
    assert!(dropped.is_some(), "what was dropped is told");
    let served = lines.iter().filter(|line| line.starts_with("served"));
    assert!(served.count() < 6_000);
}
