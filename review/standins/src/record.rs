//! The record of a run: what was sent, answered and run, with times in milliseconds.

use std::{
    fs,
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<(u64, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { started: Instant::now(), lines: Arc::default() }
    }

    /// Time since the start of the run.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn add(&self, line: impl Into<String>) {
        let at = self.now().as_millis() as u64;
        self.lines.lock().unwrap().push((at, line.into()));
    }

    /// Waits until a time since the start of the run.
    pub fn wait_until(&self, at: Duration) {
        std::thread::sleep(at.saturating_sub(self.now()));
    }

    pub fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let text: String = lines.iter().map(|(at, line)| format!("{at:>7} ms  {line}\n")).collect();
        if let Err(error) = fs::write(path, text) {
            eprintln!("the record cannot be written: {error}");
        }
    }
}
