//! The record of a case: what was sent, answered and run, with times.

use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started: Instant,
    lines: Mutex<Vec<(u64, String)>>,
}

impl Record {
    pub fn new() -> Self {
        Self { started: Instant::now(), lines: Mutex::default() }
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn add(&self, text: impl Into<String>) {
        let at = self.now();
        self.lines.lock().unwrap().push((at, text.into()));
    }

    pub fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let text: String = lines.iter().map(|(at, text)| format!("{at:>6} ms  {text}\n")).collect();
        if let Err(error) = std::fs::write(path, text) {
            eprintln!("the record cannot be written: {error}");
        }
    }
}
