//! Detects clients that send far more requests than others, with a table of fixed size: a count-min sketch
//! with conservative update, whose counts are dropped after a while. A million clients with one request each
//! share its cells; a heavy client among them shows by a high count in every row. Two sketches with different
//! hash seeds are filled in parallel and the older one is read; when it is dropped, a new one with a new seed
//! is started, so that two clients with colliding hashes share a count for a limited time only.
//!
//! Memory: two sketches of 4 rows of 4,096 counts of 4 bytes, 131,072 bytes for any number of clients. Error:
//! with n requests in the lifetime of a sketch, a count is too high by more than e·n / 4,096 with a
//! probability of at most e⁻⁴, 2% (Cormode and Muthukrishnan), and never too low.

use std::hash::Hasher;

use ashglade::time::{Instant, Span};
use siphasher::sip::SipHasher13;

/// Number of hash functions of a sketch.
const ROWS: usize = 4;
/// Number of counts per hash function.
const COLUMNS: usize = 4096;
/// Seconds after which the older sketch is dropped and the newer one is read in its place.
const SKETCH_ROTATION_SECONDS: f64 = 10.0;
/// A client is heavy if its count exceeds the sketch's expected error by this many requests.
const HEAVY_MIN_REQUESTS: f64 = 8.0;

/// A count-min sketch of the number of requests by client.
#[derive(Debug)]
struct Sketch {
    seed: u64,
    /// `ROWS` rows of `COLUMNS` counts, one row after the other.
    counts: Vec<u32>,
    /// Number of requests counted, of all clients.
    total: u64,
}

impl Sketch {
    fn new(seed: u64) -> Sketch {
        Sketch { seed, counts: vec![0; ROWS * COLUMNS], total: 0 }
    }

    fn cell(&self, row: usize, client: u64) -> usize {
        let mut hasher = SipHasher13::new_with_keys(self.seed, row as u64);
        hasher.write_u64(client);
        row * COLUMNS + (hasher.finish() % COLUMNS as u64) as usize
    }

    /// Returns an upper bound on the client's number of requests.
    fn count(&self, client: u64) -> u32 {
        (0..ROWS).map(|row| self.counts[self.cell(row, client)]).min().unwrap_or(0)
    }

    /// Counts one request; the conservative update raises only the client's lowest cells.
    fn add(&mut self, client: u64) {
        let count = self.count(client).saturating_add(1);
        for row in 0..ROWS {
            let cell = self.cell(row, client);
            self.counts[cell] = self.counts[cell].max(count);
        }
        self.total += 1;
    }
}

/// Counts requests by client and reports clients whose count is far above that of others.
#[derive(Debug)]
pub struct HeavyHitters {
    random: oorandom::Rand64,
    /// The sketch that is filled but not yet read.
    newer: Sketch,
    /// The sketch that is filled and read.
    older: Sketch,
    /// When the sketches were last rotated.
    rotated_at: Instant,
}

impl HeavyHitters {
    /// Creates an empty detector whose hash seeds are drawn from `seed`.
    pub fn new(seed: u64, now: Instant) -> HeavyHitters {
        let mut random = oorandom::Rand64::new(seed.into());
        let (newer, older) = (Sketch::new(random.rand_u64()), Sketch::new(random.rand_u64()));
        HeavyHitters { random, newer, older, rotated_at: now }
    }

    /// Counts a request. If the client is heavy, returns an upper bound on its recent number of requests.
    pub fn record(&mut self, client: u64, now: Instant) -> Option<u32> {
        if now - self.rotated_at > Span::from_secs(SKETCH_ROTATION_SECONDS) {
            let fresh = Sketch::new(self.random.rand_u64());
            self.older = std::mem::replace(&mut self.newer, fresh);
            self.rotated_at = now;
        }
        self.newer.add(client);
        self.older.add(client);
        let count = self.older.count(client);
        let error_bound = std::f64::consts::E * self.older.total as f64 / COLUMNS as f64;
        (f64::from(count) >= HEAVY_MIN_REQUESTS + error_bound).then_some(count)
    }

    /// Returns the size of the tables in bytes, which does not depend on the number of clients.
    pub fn memory_bytes(&self) -> usize {
        (self.newer.counts.len() + self.older.counts.len()) * size_of::<u32>()
    }
}
