//! Clients that ask far more than others, told in a fixed table: a count-min sketch whose counts halve with time, with
//! conservative update. A million clients with one request each share its cells, a heavy one among them stands out by
//! its count in every row. The seed of the hashes changes when the counts halve, by keeping two sketches of different
//! seeds and reading the older: two clients that collide do so for a while only.
//!
//! Memory: two sketches of 4 rows of 4,096 counts of 4 bytes, 131,072 bytes, whoever comes. Error: with n requests in
//! the time that a sketch lives, a count is too high by more than e·n / 4,096 with a probability of at most e⁻⁴, 2%
//! (Cormode and Muthukrishnan), and never too low.

use std::hash::Hasher;

use ashglade::time::{Instant, Span};
use siphasher::sip::SipHasher13;

const ROWS: usize = 4;
const COLUMNS: usize = 4096;
/// A sketch is filled for so long, and read for as long.
const LIFE: f64 = 10.0;
/// A client is heavy from so many requests above what chance explains,
const FEWEST: f64 = 8.0;

#[derive(Debug)]
struct Sketch {
    seed: u64,
    counts: Vec<u32>,
    all: u64,
}

impl Sketch {
    fn new(seed: u64) -> Sketch {
        Sketch { seed, counts: vec![0; ROWS * COLUMNS], all: 0 }
    }

    fn cell(&self, row: usize, client: u64) -> usize {
        let mut hasher = SipHasher13::new_with_keys(self.seed, row as u64);
        hasher.write_u64(client);
        row * COLUMNS + (hasher.finish() % COLUMNS as u64) as usize
    }

    fn count(&self, client: u64) -> u32 {
        (0..ROWS).map(|row| self.counts[self.cell(row, client)]).min().unwrap_or(0)
    }

    /// Counts one; only the cells that are lowest rise.
    fn add(&mut self, client: u64) {
        let count = self.count(client).saturating_add(1);
        for row in 0..ROWS {
            let cell = self.cell(row, client);
            self.counts[cell] = self.counts[cell].max(count);
        }
        self.all += 1;
    }
}

#[derive(Debug)]
pub struct Heavy {
    random: oorandom::Rand64,
    /// Filled now, and the one before; both are counted into.
    young: Sketch,
    old: Sketch,
    since: Instant,
}

impl Heavy {
    pub fn new(seed: u64, now: Instant) -> Heavy {
        let mut random = oorandom::Rand64::new(seed.into());
        let (young, old) = (Sketch::new(random.rand_u64()), Sketch::new(random.rand_u64()));
        Heavy { random, young, old, since: now }
    }

    /// Counts a request; how many of the last seconds' the client made, at most, if it is a heavy one.
    pub fn asks(&mut self, client: u64, now: Instant) -> Option<u32> {
        if now - self.since > Span::from_secs(LIFE) {
            let fresh = Sketch::new(self.random.rand_u64());
            self.old = std::mem::replace(&mut self.young, fresh);
            self.since = now;
        }
        self.young.add(client);
        self.old.add(client);
        let count = self.old.count(client);
        let chance = std::f64::consts::E * self.old.all as f64 / COLUMNS as f64;
        (f64::from(count) >= FEWEST + chance).then_some(count)
    }

    /// Bytes that the table takes, whoever comes.
    pub fn bytes(&self) -> usize {
        (self.young.counts.len() + self.old.counts.len()) * size_of::<u32>()
    }
}
