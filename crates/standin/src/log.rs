//! What was seen, written down as it is seen.

use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

use ashglade_judge::{Plan, Sight, What};

/// Shared by all that see anything; the record is in the order in which it was seen.
#[derive(Clone)]
pub struct Log(Arc<Mutex<Inner>>);

struct Inner {
    file: std::io::BufWriter<std::fs::File>,
    started: std::time::Instant,
    epoch_ms: f64,
    sights: Vec<Sight>,
}

impl Log {
    pub fn create(path: &Path, plan: &Plan) -> std::io::Result<Log> {
        let mut file = std::io::BufWriter::new(std::fs::File::create(path)?);
        serde_json::to_writer(&mut file, plan)?;
        file.write_all(b"\n")?;
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let started = std::time::Instant::now();
        let epoch_ms = epoch.as_secs_f64() * 1e3;
        Ok(Log(Arc::new(Mutex::new(Inner { file, started, epoch_ms, sights: Vec::new() }))))
    }

    pub fn now(&self) -> f64 {
        let inner = self.0.lock().unwrap_or_else(|broken| broken.into_inner());
        inner.epoch_ms + inner.started.elapsed().as_secs_f64() * 1e3
    }

    /// Notes that this was seen now.
    pub fn saw(&self, what: What) {
        self.saw_before(std::time::Duration::ZERO, what);
    }

    /// Notes that this was so that long ago, though it is only known now.
    pub fn saw_before(&self, ago: std::time::Duration, what: What) {
        let mut inner = self.0.lock().unwrap_or_else(|broken| broken.into_inner());
        let at = inner.epoch_ms + (inner.started.elapsed().as_secs_f64() - ago.as_secs_f64()) * 1e3;
        let sight = Sight { at, what };
        if serde_json::to_writer(&mut inner.file, &sight).is_ok() {
            let _ = inner.file.write_all(b"\n");
        }
        inner.sights.push(sight);
    }

    /// All that was seen so far.
    pub fn sights(&self) -> Vec<Sight> {
        let mut inner = self.0.lock().unwrap_or_else(|broken| broken.into_inner());
        let _ = inner.file.flush();
        inner.sights.clone()
    }
}
