//! What a case writes down: `record.txt` in its folder.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A record. Cheap to clone.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn new(folder: &Path) -> Option<Self> {
        let file = File::create(folder.join("record.txt")).ok()?;
        Some(Self { file: Arc::new(Mutex::new(file)), started: Instant::now() })
    }

    /// Seconds since the record began.
    pub fn at(&self, time: Instant) -> f64 {
        time.saturating_duration_since(self.started).as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, time: Instant, text: &str) {
        let line = format!("{:8.3} {text}\n", self.at(time));
        print!("{line}");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}
