//! The record of a run: one line for each thing that was sent, answered or done, with the time in milliseconds
//! since the start of the run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Characters of a message that are kept.
const LONGEST_ENTRY: usize = 400;

#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record { started: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    /// Milliseconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1e3
    }

    /// Adds a line. Of a long message its beginning is kept.
    pub fn log(&self, who: &str, what: &str) {
        let end = what.char_indices().nth(LONGEST_ENTRY).map_or(what.len(), |(at, _)| at);
        let what = &what[..end];
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:10.1} {who:<12} {what}", self.now());
    }
}
