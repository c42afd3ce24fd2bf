//! Clock of the engine. The wall clock is read once, at start: directors take turns at nodes in slow start by
//! time of day, so their clocks must agree. From then on only the monotonic clock is used, so that a step of
//! the wall clock affects no timer.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ashglade::time::{Instant, Span};

/// Monotonic clock that starts at the wall-clock time of its creation.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: tokio::time::Instant,
    /// Unix time at the start, in milliseconds.
    started_unix_ms: f64,
}

impl Clock {
    /// Creates a clock that shows the current wall-clock time.
    pub fn start() -> Clock {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Clock { started: tokio::time::Instant::now(), started_unix_ms: unix_time.as_secs_f64() * 1e3 }
    }

    /// Returns the current time of the engine.
    pub fn now(&self) -> Instant {
        Instant::from_ms(self.started_unix_ms + self.started.elapsed().as_secs_f64() * 1e3)
    }

    /// Returns the time since the start, in microseconds.
    pub fn elapsed_micros(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    /// Converts an engine time to tokio's clock. Times before the start become the start.
    pub fn to_tokio(&self, time: Instant) -> tokio::time::Instant {
        let since_start: Span = time - Instant::from_ms(self.started_unix_ms);
        self.started + Duration::from_secs_f64((since_start.as_ms() / 1e3).clamp(0.0, 1e9))
    }
}
