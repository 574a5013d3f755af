//! The record of a run: one line for each event, with the time since the start in milliseconds.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// Writes `record.txt`.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file.
    ///
    /// # Errors
    /// If it cannot be created.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    /// Time since the start.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let at = self.now().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:>7} {text}");
        println!("{at:>7} {text}");
    }
}
