//! Adaptive limit on the number of set-ups in flight. Set-ups that take longer than they did at low
//! concurrency, or that end in a busy reply, lower the limit; fast set-ups raise it while it is in use.
//! `docs/door.md` compares this latency gradient with AIMD on busy replies alone and with a target for the
//! sojourn time. Directors that share nodes do not coordinate their limits;
//! `BASELINE_REFRESH_START_TARGETS` and the additive increase in [`ConcurrencyLimit::on_complete`] keep the
//! limits similar.

use ashglade::time::{Instant, Span};

use crate::SetupOutcome;

/// The limit and what it is learned from. It is adjusted once per round, which is about as many set-ups as
/// are in flight.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    /// The limit outside of probe rounds.
    limit: f64,
    /// Lower bound of the limit, also in probe rounds.
    min: f64,
    /// Upper bound of the limit.
    max: f64,
    /// Duration of an unhindered set-up in milliseconds: the shortest one seen. It is measured anew from time
    /// to time in a probe round at a lower limit, as otherwise it would be learned from set-ups that already
    /// delay each other.
    baseline_ms: Option<f64>,
    /// When the shortest set-up of a round last matched the baseline.
    baseline_seen_at: Instant,
    /// Shortest set-up of this round in milliseconds.
    round_min_ms: f64,
    /// The limit has never been lowered; until then it about doubles with each round.
    exponential_growth: bool,
    /// This round is a probe round, which measures the baseline at a lower limit.
    probing: bool,
    /// In a probe round: since when the number of set-ups in flight is within the lower limit.
    drained_at: Option<Instant>,
    /// Total duration of this round's successful set-ups in milliseconds.
    total_ms: f64,
    /// Number of set-ups completed in this round, including those with a busy reply.
    completed: f64,
    /// Number of set-ups of this round with a busy reply.
    busy: f64,
    /// When the limit was last adjusted.
    round_started_at: Instant,
    /// Smoothed number of completed set-ups per second.
    completion_rate: Option<f64>,
    /// Shorter mean durations never lower the limit, in milliseconds.
    tolerated_ms: f64,
    /// Time without a match of the baseline after which it is measured anew.
    baseline_refresh: Span,
}

/// Start targets without a set-up about as short as the baseline after which a probe round measures it anew.
/// Directors in front of the same nodes see a shorter set-up at the same time, namely when one of them
/// probes. They therefore probe again at the same time, when the nodes are nearly idle, and all measure the
/// same baseline (BBR, Cardwell and others, 2016).
const BASELINE_REFRESH_START_TARGETS: f64 = 10.0;
/// Fraction of the limit that applies in a probe round.
const PROBE_LIMIT_FRACTION: f64 = 0.25;
/// Set-ups up to this multiple of the baseline count as a match of the baseline.
const BASELINE_MATCH_RATIO: f64 = 1.1;
/// Set-ups up to this multiple of the baseline count as unhindered.
const UNHINDERED_RATIO: f64 = 2.0;
/// Busy replies up to this fraction of a round are attributed to chance, not to overload.
const TOLERATED_BUSY_FRACTION: f64 = 0.1;
/// Factor on the limit after a round of nothing but busy replies, and the smallest factor in any round.
const MIN_DECREASE_FACTOR: f64 = 0.7;
/// Set-ups shorter than this fraction of the start target are never too slow.
const TOLERATED_START_TARGET_FRACTION: f64 = 0.1;
/// Smallest number of set-ups in a round; the result of fewer would be left to chance.
const MIN_ROUND_SETUPS: f64 = 4.0;
/// Increase of the limit per round without overload, in set-ups.
const INCREASE_PER_ROUND: f64 = 0.25;
/// Weight of the last round in the smoothed completion rate.
const RATE_SMOOTHING_WEIGHT: f64 = 0.3;

impl ConcurrencyLimit {
    /// Creates a limit from its initial value, minimum and maximum, and the shortest start target.
    pub fn new((initial, min, max): (f64, f64, f64), start_target: Span, now: Instant) -> ConcurrencyLimit {
        ConcurrencyLimit {
            limit: initial.clamp(min, max),
            min,
            max,
            baseline_ms: None,
            baseline_seen_at: now,
            baseline_refresh: start_target * BASELINE_REFRESH_START_TARGETS,
            round_min_ms: f64::INFINITY,
            exponential_growth: true,
            probing: true,
            drained_at: None,
            total_ms: 0.0,
            completed: 0.0,
            busy: 0.0,
            round_started_at: now,
            completion_rate: None,
            tolerated_ms: start_target.as_ms() * TOLERATED_START_TARGET_FRACTION,
        }
    }

    /// Returns the limit that applies now, which is lower in a probe round.
    pub fn current(&self) -> f64 {
        if self.probing { (self.limit * PROBE_LIMIT_FRACTION).max(self.min) } else { self.limit }
    }

    /// Returns the number of set-ups that complete per second while the limit is in use; none until a round
    /// has been measured.
    pub fn completion_rate(&self, now: Instant) -> Option<f64> {
        // The smoothed rate is capped by that of the current round, which falls while nothing completes.
        let elapsed_seconds = (now - self.round_started_at).as_ms() / 1e3;
        let rate = self.completion_rate?;
        Some(rate.min((self.completed + 1.0) / elapsed_seconds.max(1e-3)).max(1e-3))
            .filter(|_| elapsed_seconds > 0.0)
            .or(Some(rate))
    }

    /// Returns whether most of the set-ups in flight, whose ages are given, have already taken longer than
    /// unhindered ones do. This detects a limit that is far too high before any set-up has completed; a few
    /// set-ups that hang have no effect.
    pub fn is_overloaded(&self, ages: impl ExactSizeIterator<Item = Span>) -> bool {
        let Some(baseline_ms) = self.baseline_ms else { return false };
        let (in_flight, slow_ms) = (ages.len(), (baseline_ms * UNHINDERED_RATIO).max(self.tolerated_ms));
        in_flight as f64 > self.min && ages.filter(|age| age.as_ms() > slow_ms).count() * 2 > in_flight
    }

    /// Records a completed set-up. `in_flight` is the number of set-ups in flight, including this one. At the
    /// end of a round, the limit is adjusted.
    pub fn on_complete(&mut self, duration: Span, outcome: SetupOutcome, in_flight: usize, now: Instant) {
        if outcome == SetupOutcome::Other {
            return;
        }
        if self.probing {
            // Set-ups admitted before the number in flight fell to the lower limit were delayed by the
            // others.
            if in_flight as f64 <= self.current() {
                self.drained_at.get_or_insert(now);
            }
            if self.drained_at.is_none_or(|drained_at| now - duration < drained_at) {
                return;
            }
        }
        self.completed += 1.0;
        match outcome {
            SetupOutcome::Busy => self.busy += 1.0,
            _ => {
                self.total_ms += duration.as_ms();
                self.round_min_ms = self.round_min_ms.min(duration.as_ms());
            }
        }
        if self.completed < self.current().min(in_flight as f64).max(MIN_ROUND_SETUPS) {
            return;
        }
        let started = self.completed - self.busy;
        let busy_fraction = self.busy / self.completed;
        let limit_in_use = in_flight as f64 >= self.current() * 0.5;
        let mut factor = 1.0;
        if started > 0.0 {
            let mean_ms = self.total_ms / started;
            let min_ms = self.round_min_ms;
            let baseline_ms = self
                .baseline_ms
                .filter(|_| !self.probing)
                .map_or(min_ms, |baseline_ms| baseline_ms.min(min_ms));
            if min_ms <= baseline_ms * BASELINE_MATCH_RATIO {
                self.baseline_seen_at = now;
            }
            self.baseline_ms = Some(baseline_ms);
            if mean_ms > (baseline_ms * UNHINDERED_RATIO).max(self.tolerated_ms) {
                factor = ((baseline_ms * UNHINDERED_RATIO).max(self.tolerated_ms) / mean_ms)
                    .max(MIN_DECREASE_FACTOR);
            }
        }
        if self.probing {
            self.baseline_seen_at = now;
        }
        if busy_fraction > TOLERATED_BUSY_FRACTION {
            factor = factor.min(
                1.0 - (1.0 - MIN_DECREASE_FACTOR) * (busy_fraction - TOLERATED_BUSY_FRACTION)
                    / (1.0 - TOLERATED_BUSY_FRACTION),
            );
        }
        self.limit = match factor < 1.0 {
            _ if self.probing => self.limit,
            true => {
                self.exponential_growth = false;
                self.limit * factor
            }
            // The increase per round is the same for a small and a large limit. Together with the
            // multiplicative decrease, this makes the limits of directors that share nodes converge (Chiu and
            // Jain, 1989).
            false if limit_in_use => {
                self.limit
                    + if self.exponential_growth {
                        self.completed
                    } else {
                        self.completed / self.limit * INCREASE_PER_ROUND
                    }
            }
            false => self.limit,
        }
        .clamp(self.min, self.max);
        if !self.probing {
            self.update_completion_rate(now);
        }
        (self.probing, self.drained_at) = (now - self.baseline_seen_at > self.baseline_refresh, None);
        self.round_min_ms = f64::INFINITY;
        (self.total_ms, self.completed, self.busy, self.round_started_at) = (0.0, 0.0, 0.0, now);
    }

    fn update_completion_rate(&mut self, now: Instant) {
        let seconds = ((now - self.round_started_at).as_ms() / 1e3).max(1e-3);
        let rate = self.completed / seconds;
        self.completion_rate =
            Some(self.completion_rate.map_or(rate, |old| old + (rate - old) * RATE_SMOOTHING_WEIGHT));
    }
}
