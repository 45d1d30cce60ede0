//! The record of a run, and how it is started.

use std::{
    env,
    fs::{self, File},
    io::Write,
    path::{Path, PathBuf},
    sync::Mutex,
    time::Instant,
};

/// Writes `record.txt` in the folder of the case, which `CASE_DIR` names.
pub struct Record(Mutex<File>, Instant);

impl Record {
    /// Creates the record.
    pub fn new() -> Self {
        let dir = env::var("CASE_DIR").unwrap_or_else(|_| ".".to_owned());
        let file = File::create(Path::new(&dir).join("record.txt")).expect("record.txt");
        Self(Mutex::new(file), Instant::now())
    }

    /// Adds a line with the time since the start.
    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}", self.1.elapsed().as_secs_f64(), text.as_ref());
        let mut file = self.0.lock().expect("the record");
        writeln!(file, "{line}").expect("record.txt can be written");
        println!("{line}");
    }
}

impl Default for Record {
    fn default() -> Self {
        Self::new()
    }
}

/// Whether the disruption takes place.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Temporary folder, removed when this is dropped.
pub struct WorkDir(pub PathBuf);

impl WorkDir {
    /// Creates it.
    pub fn new() -> Self {
        let path = env::temp_dir().join(format!("cassiagw-review-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Default for WorkDir {
    fn default() -> Self {
        Self::new()
    }
}

impl Drop for WorkDir {
    fn drop(&mut self) {
        // The folder is of no use any more.
        let _ = fs::remove_dir_all(&self.0);
    }
}
