//! The record of a case: what was sent, answered and run, with times.

use std::{
    fs::File,
    io::{self, Write as _},
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// A record that all stand-ins of a case share.
#[derive(Clone)]
pub(crate) struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub(crate) fn create(path: &Path) -> io::Result<Self> {
        Ok(Self { start: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    /// Writes a line with the seconds since the start.
    pub(crate) fn note(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.start.elapsed().as_secs_f64());
        // A record that cannot be written does not change the verdict.
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}
