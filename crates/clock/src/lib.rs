//! The engine's time from the machine's. The wall clock is read once, at start: directors take turns at cold nodes
//! by the clock, so theirs must agree; from then on only the monotonic clock counts, so that no step of the wall
//! clock reaches a timer.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ashglade::time::{Instant, Span};

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: tokio::time::Instant,
    /// Milliseconds since 1970 at the start.
    epoch_ms: f64,
}

impl Clock {
    pub fn start() -> Clock {
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Clock { started: tokio::time::Instant::now(), epoch_ms: epoch.as_secs_f64() * 1e3 }
    }

    pub fn now(&self) -> Instant {
        Instant::from_ms(self.epoch_ms + self.started.elapsed().as_secs_f64() * 1e3)
    }

    /// Microseconds since the start.
    pub fn micros(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    /// The engine's point in time on the machine's clock; what has passed is now.
    pub fn at(&self, at: Instant) -> tokio::time::Instant {
        let after: Span = at - Instant::from_ms(self.epoch_ms);
        self.started + Duration::from_secs_f64((after.as_ms() / 1e3).clamp(0.0, 1e9))
    }
}
