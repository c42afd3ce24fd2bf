//! Random choices of a trial.

use std::time::Duration;

/// A random number generator that is derived from a trial's seed.
pub struct Rng(oorandom::Rand64);

impl Rng {
    /// Creates the generator of one part of a trial; different parts get independent sequences.
    pub fn new(seed: u64, part: u64) -> Rng {
        let mut rng = oorandom::Rand64::new((u128::from(seed) << 64) | u128::from(part));
        rng.rand_u64();
        Rng(rng)
    }

    /// Returns a number from `low` up to but not including `high`.
    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.0.rand_float()
    }

    /// Returns an index below `count`.
    pub fn index(&mut self, count: usize) -> usize {
        self.0.rand_range(0..count.max(1) as u64) as usize
    }

    pub fn chance(&mut self, probability: f64) -> bool {
        self.0.rand_float() < probability
    }

    /// Returns a duration between two numbers of milliseconds.
    pub fn millis(&mut self, low: f64, high: f64) -> Duration {
        Duration::from_secs_f64(self.between(low, high) / 1e3)
    }

    pub fn number(&mut self) -> u64 {
        self.0.rand_u64()
    }
}
