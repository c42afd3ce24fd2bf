//! Timer queue of the engine. Timers are never cancelled: one that no longer applies is recognized and
//! ignored when it fires.

use std::collections::BTreeSet;

use ashglade::ids::{SessionId, SetupNumber, TimerId};
use ashglade::time::Instant;

/// What to do when a timer fires. Timers of the same instant fire in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// A timer that the policy set.
    Policy(TimerId),
    /// The deadline of a SETUP has passed.
    SetupDeadline(SessionId, SetupNumber),
    /// The outcome of a cancelled SETUP is no longer waited for.
    CancelGrace(SessionId, SetupNumber),
    /// A request must have its response by now.
    ResponseDeadline(SessionId),
    /// A SETUP was not sent because its node is known not to hold the title.
    TitleMissing(SessionId, SetupNumber),
    /// A probe has timed out.
    ProbeTimeout(u64),
    /// The admission queue asked to be polled.
    Admission,
    /// Delivery ratios are reported to the policy.
    DeliveryReport,
}

/// Timers ordered by the instant at which they fire.
#[derive(Debug, Default)]
pub struct TimerQueue(BTreeSet<(Instant, Timer)>);

impl TimerQueue {
    /// Adds a timer that fires at `at`.
    pub fn schedule(&mut self, at: Instant, timer: Timer) {
        self.0.insert((at, timer));
    }

    /// Returns when the next timer fires.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.0.first().map(|&(at, _)| at)
    }

    /// Removes and returns the earliest timer that is due. Timers of the same instant come in a fixed order.
    pub fn pop_due(&mut self, now: Instant) -> Option<Timer> {
        let &(at, timer) = self.0.first()?;
        (at <= now).then(|| {
            self.0.pop_first();
            timer
        })
    }

    /// Returns the number of pending timers, which is bounded by the sessions, the outstanding probes and the
    /// timers that the policy set.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
