//! Recorder of traffic events, which are written to a file as they happen.

use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

use ashglade_judge::{EventKind, RulesConfig, TrafficEvent};

/// The recorder of a run, shared by all nodes and viewers. Events are kept in the order in which they are
/// recorded.
#[derive(Clone)]
pub struct TrafficRecorder(Arc<Mutex<Inner>>);

struct Inner {
    file: std::io::BufWriter<std::fs::File>,
    started: std::time::Instant,
    epoch_ms: f64,
    events: Vec<TrafficEvent>,
}

impl TrafficRecorder {
    /// Creates the file and writes the configuration of the run as its first line.
    pub fn create(path: &Path, config: &RulesConfig) -> std::io::Result<TrafficRecorder> {
        let mut file = std::io::BufWriter::new(std::fs::File::create(path)?);
        serde_json::to_writer(&mut file, config)?;
        file.write_all(b"\n")?;
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let started = std::time::Instant::now();
        let epoch_ms = epoch.as_secs_f64() * 1e3;
        Ok(TrafficRecorder(Arc::new(Mutex::new(Inner { file, started, epoch_ms, events: Vec::new() }))))
    }

    /// Returns the time in milliseconds since the Unix epoch. It is monotonic from the creation on.
    pub fn now_ms(&self) -> f64 {
        let inner = self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        inner.epoch_ms + inner.started.elapsed().as_secs_f64() * 1e3
    }

    /// Records an event that happens now.
    pub fn record(&self, kind: EventKind) {
        self.record_earlier(std::time::Duration::ZERO, kind);
    }

    /// Records an event that happened `ago` before now, but is only known now.
    pub fn record_earlier(&self, ago: std::time::Duration, kind: EventKind) {
        let mut inner = self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let at = inner.epoch_ms + (inner.started.elapsed().as_secs_f64() - ago.as_secs_f64()) * 1e3;
        let event = TrafficEvent { at, kind };
        if serde_json::to_writer(&mut inner.file, &event).is_ok() {
            let _ = inner.file.write_all(b"\n");
        }
        inner.events.push(event);
    }

    /// Flushes the file and returns all events recorded so far.
    pub fn events(&self) -> Vec<TrafficEvent> {
        let mut inner = self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let _ = inner.file.flush();
        inner.events.clone()
    }
}
