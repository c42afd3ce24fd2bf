//! Points in time and spans between them, in whole microseconds; the two can't be mixed up.

use std::ops::{Add, Div, Mul, Sub};

use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Instant(i64);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Span(i64);

impl Instant {
    /// Before all that a director will ever be told.
    pub const LONG_AGO: Instant = Instant(i64::MIN / 4);

    pub fn from_ms(ms: f64) -> Instant {
        Instant(micros(ms))
    }

    pub fn as_ms(self) -> f64 {
        self.0 as f64 / 1e3
    }
}

impl Span {
    pub const ZERO: Span = Span(0);

    pub fn from_ms(ms: f64) -> Span {
        Span(micros(ms))
    }

    pub fn from_secs(secs: f64) -> Span {
        Span::from_ms(secs * 1e3)
    }

    pub fn as_ms(self) -> f64 {
        self.0 as f64 / 1e3
    }
}

/// NaN becomes 0 and what is out of range the nearest that is in it.
fn micros(ms: f64) -> i64 {
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
    fn mul(self, times: f64) -> Span {
        Span((self.0 as f64 * times) as i64)
    }
}

impl Div for Span {
    type Output = f64;
    fn div(self, other: Span) -> f64 {
        self.0 as f64 / other.0 as f64
    }
}

/// What is left of a weight that halves every `half_life` seconds.
pub fn halved(age: Span, half_life: f64) -> f64 {
    0.5f64.powf((age / Span::from_secs(half_life)).max(0.0))
}
