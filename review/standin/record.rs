//! What was sent, answered and run.

use std::{
    fmt::Display,
    fs,
    path::Path,
    sync::Mutex,
    time::{Duration, Instant},
};

/// Lines with the time at which they were recorded.
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<(Duration, String)>>,
}

impl Record {
    pub fn new() -> Self {
        Self { start: Instant::now(), lines: Mutex::default() }
    }

    /// Returns the time since the start of the case.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn add(&self, line: impl Display) {
        self.add_at(self.now(), line);
    }

    pub fn add_at(&self, at: Duration, line: impl Display) {
        self.lines.lock().unwrap().push((at, line.to_string()));
    }

    /// Records a line and prints it.
    pub fn say(&self, line: impl Display) {
        println!("{:9.3} {line}", self.now().as_secs_f64());
        self.add(line);
    }

    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let mut lines = std::mem::take(&mut *self.lines.lock().unwrap());
        lines.sort_by_key(|it| it.0);
        let text = lines.iter().map(|(at, line)| format!("{:9.3} {line}\n", at.as_secs_f64()));
        fs::write(path, text.collect::<String>())
    }
}
