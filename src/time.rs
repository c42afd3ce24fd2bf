//! Points in time and spans between them, as whole microseconds. The two are separate types that can't be
//! mixed up.

use std::ops::{Add, Div, Mul, Sub};

use serde::{Deserialize, Serialize};

/// A point in time: microseconds since an epoch that the caller chooses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Instant(i64);

/// A signed span of time in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Span(i64);

impl Instant {
    /// Earlier than every time that a director is given.
    pub const LONG_AGO: Instant = Instant(i64::MIN / 4);

    /// Converts milliseconds since the epoch, rounded to the nearest microsecond.
    pub fn from_ms(ms: f64) -> Instant {
        Instant(micros_from_ms(ms))
    }

    /// Returns the milliseconds since the epoch.
    pub fn as_ms(self) -> f64 {
        self.0 as f64 / 1e3
    }
}

impl Span {
    pub const ZERO: Span = Span(0);

    /// Converts milliseconds, rounded to the nearest microsecond.
    pub fn from_ms(ms: f64) -> Span {
        Span(micros_from_ms(ms))
    }

    /// Converts seconds, rounded to the nearest microsecond.
    pub fn from_secs(secs: f64) -> Span {
        Span::from_ms(secs * 1e3)
    }

    /// Returns the span in milliseconds.
    pub fn as_ms(self) -> f64 {
        self.0 as f64 / 1e3
    }
}

/// Converts milliseconds to microseconds; NaN becomes 0, and values out of range are clamped.
fn micros_from_ms(ms: f64) -> i64 {
    ((ms * 1e3).round() as i64).clamp(i64::MIN / 8, i64::MAX / 8)
}

impl Add<Span> for Instant {
    type Output = Instant;
    fn add(self, span: Span) -> Instant {
        Instant(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Instant {
    type Output = Instant;
    fn sub(self, span: Span) -> Instant {
        Instant(self.0.saturating_sub(span.0))
    }
}

impl Sub for Instant {
    type Output = Span;
    fn sub(self, earlier: Instant) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl Sub for Span {
    type Output = Span;
    fn sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}

impl Mul<f64> for Span {
    type Output = Span;
    fn mul(self, factor: f64) -> Span {
        Span((self.0 as f64 * factor) as i64)
    }
}

impl Div for Span {
    type Output = f64;
    fn div(self, other: Span) -> f64 {
        self.0 as f64 / other.0 as f64
    }
}

/// Returns the exponential decay factor at `age`: 1 at age 0 and below, and halved every `half_life_seconds`.
pub fn decay_factor(age: Span, half_life_seconds: f64) -> f64 {
    0.5f64.powf((age / Span::from_secs(half_life_seconds)).max(0.0))
}
