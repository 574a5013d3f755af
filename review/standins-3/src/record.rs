//! The record of a case.

use std::fs::File;
use std::io;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            began: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    pub fn line(&self, text: &str) {
        let ms = self.began.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{ms:>7} ms  {text}");
        let _ = file.flush();
    }
}
