//! Recorder of traffic events, which are written to a file as they happen.

use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

use ashglade_judge::{Plan, Sight, What};

/// The recorder of a run, shared by all nodes and viewers. Events are kept in the order in which they are
/// recorded.
#[derive(Clone)]
pub struct Log(Arc<Mutex<Inner>>);

struct Inner {
    file: std::io::BufWriter<std::fs::File>,
    started: std::time::Instant,
    epoch_ms: f64,
    sights: Vec<Sight>,
}

impl Log {
    /// Creates the file and writes the configuration of the run as its first line.
    pub fn create(path: &Path, plan: &Plan) -> std::io::Result<Log> {
        let mut file = std::io::BufWriter::new(std::fs::File::create(path)?);
        serde_json::to_writer(&mut file, plan)?;
        file.write_all(b"\n")?;
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let started = std::time::Instant::now();
        let epoch_ms = epoch.as_secs_f64() * 1e3;
        Ok(Log(Arc::new(Mutex::new(Inner { file, started, epoch_ms, sights: Vec::new() }))))
    }

    /// Returns the time in milliseconds since the Unix epoch. It is monotonic from the creation on.
    pub fn now(&self) -> f64 {
        let inner = self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        inner.epoch_ms + inner.started.elapsed().as_secs_f64() * 1e3
    }

    /// Records an event that happens now.
    pub fn saw(&self, what: What) {
        self.saw_before(std::time::Duration::ZERO, what);
    }

    /// Records an event that happened `ago` before now, but is only known now.
    pub fn saw_before(&self, ago: std::time::Duration, what: What) {
        let mut inner = self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let at = inner.epoch_ms + (inner.started.elapsed().as_secs_f64() - ago.as_secs_f64()) * 1e3;
        let sight = Sight { at, what };
        if serde_json::to_writer(&mut inner.file, &sight).is_ok() {
            let _ = inner.file.write_all(b"\n");
        }
        inner.sights.push(sight);
    }

    /// Flushes the file and returns all events recorded so far.
    pub fn sights(&self) -> Vec<Sight> {
        let mut inner = self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let _ = inner.file.flush();
        inner.sights.clone()
    }
}
