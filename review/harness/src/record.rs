//! The record of a run: what was sent, answered and run.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A record that several threads may write.
#[derive(Clone, Debug)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Record {
    /// Creates `record.txt` in the folder of a case.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be created.
    pub fn create(folder: &Path) -> io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self {
            file: Arc::new(Mutex::new(file)),
            started_at: Instant::now(),
        })
    }

    /// Returns the time since the record was created.
    pub fn elapsed(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Adds a line with the time since the start.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("no holder of the lock panics");
        let elapsed_s = self.elapsed().as_secs_f64();
        // A record that can't be written is missed after the run.
        let _ = writeln!(file, "{elapsed_s:8.3} {text}");
    }
}
