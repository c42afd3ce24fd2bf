//! How many set-ups may be in hand at once is learned. Set-ups that take longer than they did when few were in hand,
//! or that come back busy, say that there are too many; set-ups that come through quickly while the limit is in use
//! say that there may be more. Compared in `docs/door.md`: a gradient of set-up times as here, AIMD on busy replies alone,
//! and a sojourn target. Directors that share nodes know nothing of each other; what makes their limits alike is said
//! at [`REFRESH`] and where the limit goes up.

use ashglade::time::{Instant, Span};

use crate::SetupOutcome;

/// Out of a round of set-ups, as many as are in hand: the limit changes once in one.
#[derive(Debug)]
pub struct Limit {
    now: f64,
    least: f64,
    most: f64,
    /// What a set-up takes when nothing is in its way: the least that any took, found anew now and then by letting
    /// few in for one round. Without that it would be learned from set-ups that already stand in each other's way.
    base: Option<f64>,
    /// When a set-up last took about the base.
    base_at: Instant,
    /// The least of this round.
    least_time: f64,
    /// It never went down yet, and doubles with each round.
    eager: bool,
    probes: bool,
    /// While it is found anew: since when no more are in hand than may be.
    drained: Option<Instant>,
    /// Of the set-ups since the limit last changed: time in all, how many, how many busy, and when it began.
    time: f64,
    count: f64,
    busy: f64,
    since: Instant,
    /// Set-ups that came out a second, smoothed.
    rate: Option<f64>,
    /// Times shorter than this are never a reason to go down, in ms.
    harmless: f64,
    /// The base is found anew when it was not met for so long.
    refresh: Span,
}

/// When no set-up was about as short as the base for so many start targets, one round lets only a part of the limit in.
/// Directors before the same nodes meet a shorter set-up at the same time, when one of them does so, and therefore look
/// again at the same time: then the nodes are as good as idle, and all find the same base (BBR, Cardwell and others, 2016).
const REFRESH: f64 = 10.0;
const PROBE_PART: f64 = 0.25;
/// Set-ups up to so many times the base are met as the base.
const ABOUT: f64 = 1.1;
/// So much longer than the base, set-ups are still held for unhindered.
const SLOWER: f64 = 2.0;
/// A part of busy replies up to this tells of chance, not of overload.
const FEW_BUSY: f64 = 0.1;
/// What is left of the limit after a round that was all busy, at the least.
const CUT: f64 = 0.7;
/// Parts of the start target: set-ups this short are never too slow.
const HARMLESS: f64 = 0.1;
/// A round has so many set-ups at least: fewer tell of chance.
const MIN: f64 = 4.0;
/// Set-ups more in a round in which there were not too many.
const UP: f64 = 0.25;
/// Weight of the last round in the rate.
const FRESH: f64 = 0.3;

impl Limit {
    /// In hand at once: at first, at least, at most.
    pub fn new((first, least, most): (f64, f64, f64), target: Span, now: Instant) -> Limit {
        Limit {
            now: first.clamp(least, most),
            least,
            most,
            base: None,
            base_at: now,
            refresh: target * REFRESH,
            least_time: f64::INFINITY,
            eager: true,
            probes: true,
            drained: None,
            time: 0.0,
            count: 0.0,
            busy: 0.0,
            since: now,
            rate: None,
            harmless: target.as_ms() * HARMLESS,
        }
    }

    pub fn now(&self) -> f64 {
        if self.probes { (self.now * PROBE_PART).max(self.least) } else { self.now }
    }

    /// Set-ups a second that come out while the limit is in use; none before enough was seen.
    pub fn rate(&self, now: Instant) -> Option<f64> {
        // Nothing came out for longer than a round takes: the rate of old is worth less and less.
        let quiet = (now - self.since).as_ms() / 1e3;
        let rate = self.rate?;
        Some(rate.min((self.count + 1.0) / quiet.max(1e-3)).max(1e-3)).filter(|_| quiet > 0.0).or(Some(rate))
    }

    /// Nothing more goes in while most of what is in hand has already taken longer than it should: a limit that is
    /// far too high shows so before anything comes out. A few that hang hold nobody up.
    pub fn held(&self, ages: impl ExactSizeIterator<Item = Span>) -> bool {
        let Some(base) = self.base else { return false };
        let (all, slow) = (ages.len(), (base * SLOWER).max(self.harmless));
        all as f64 > self.least && ages.filter(|age| age.as_ms() > slow).count() * 2 > all
    }

    /// A set-up came out after `took`, with so many in hand, itself included.
    pub fn came(&mut self, took: Span, how: SetupOutcome, in_hand: usize, now: Instant) {
        if how == SetupOutcome::Other {
            return;
        }
        if self.probes {
            // What went in before tells of those that it went in with.
            if in_hand as f64 <= self.now() {
                self.drained.get_or_insert(now);
            }
            if self.drained.is_none_or(|since| now - took < since) {
                return;
            }
        }
        self.count += 1.0;
        match how {
            SetupOutcome::Busy => self.busy += 1.0,
            _ => {
                self.time += took.as_ms();
                self.least_time = self.least_time.min(took.as_ms());
            }
        }
        if self.count < self.now().min(in_hand as f64).max(MIN) {
            return;
        }
        let served = self.count - self.busy;
        let busy = self.busy / self.count;
        let used = in_hand as f64 >= self.now() * 0.5;
        let mut step = 1.0;
        if served > 0.0 {
            let mean = self.time / served;
            let least = self.least_time;
            let base = self.base.filter(|_| !self.probes).map_or(least, |base| base.min(least));
            if least <= base * ABOUT {
                self.base_at = now;
            }
            self.base = Some(base);
            if mean > (base * SLOWER).max(self.harmless) {
                step = ((base * SLOWER).max(self.harmless) / mean).max(CUT);
            }
        }
        if self.probes {
            self.base_at = now;
        }
        if busy > FEW_BUSY {
            step = step.min(1.0 - (1.0 - CUT) * (busy - FEW_BUSY) / (1.0 - FEW_BUSY));
        }
        self.now = match step < 1.0 {
            _ if self.probes => self.now,
            true => {
                self.eager = false;
                self.now * step
            }
            // By one a round, at a small limit as at a large one: that, and going down by a part, makes directors
            // that share nodes alike (Chiu and Jain, 1989).
            false if used => self.now + if self.eager { self.count } else { self.count / self.now * UP },
            false => self.now,
        }
        .clamp(self.least, self.most);
        if !self.probes {
            self.note_rate(now);
        }
        (self.probes, self.drained) = (now - self.base_at > self.refresh, None);
        self.least_time = f64::INFINITY;
        (self.time, self.count, self.busy, self.since) = (0.0, 0.0, 0.0, now);
    }

    fn note_rate(&mut self, now: Instant) {
        let seconds = ((now - self.since).as_ms() / 1e3).max(1e-3);
        let rate = self.count / seconds;
        self.rate = Some(self.rate.map_or(rate, |old| old + (rate - old) * FRESH));
    }
}
