//! Timer queue of the engine. Timers are not cancelled one by one: one that no longer applies is ignored when it
//! fires, and all of them are removed together once they may be as many as the timers that apply. A peer that
//! sends requests at any rate can't make the queue grow by the timers of those that have been answered.

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

/// Number of timers up to which obsolete ones are not looked for.
const MIN_COMPACTION_LENGTH: usize = 1024;

/// Timers ordered by the instant at which they fire.
#[derive(Debug)]
pub struct TimerQueue {
    timers: BTreeSet<(Instant, Timer)>,
    /// Number of timers beyond which the obsolete ones are removed.
    compaction_length: usize,
}

impl Default for TimerQueue {
    fn default() -> TimerQueue {
        TimerQueue { timers: BTreeSet::new(), compaction_length: MIN_COMPACTION_LENGTH }
    }
}

impl TimerQueue {
    /// Adds a timer that fires at `at`.
    pub fn schedule(&mut self, at: Instant, timer: Timer) {
        self.timers.insert((at, timer));
    }

    /// Removes the timers that no longer apply, once the queue is twice as long as it was after the last removal:
    /// the cost for each scheduled timer is constant on average.
    pub fn compact(&mut self, applies: impl Fn(Timer) -> bool) {
        if self.timers.len() <= self.compaction_length {
            return;
        }
        self.timers.retain(|&(_, timer)| applies(timer));
        self.compaction_length = MIN_COMPACTION_LENGTH.max(self.timers.len() * 2);
    }

    /// Returns when the next timer fires.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.timers.first().map(|&(at, _)| at)
    }

    /// Removes and returns the earliest timer that is due. Timers of the same instant come in a fixed order.
    pub fn pop_due(&mut self, now: Instant) -> Option<Timer> {
        let &(at, timer) = self.timers.first()?;
        (at <= now).then(|| {
            self.timers.pop_first();
            timer
        })
    }

    /// Returns the number of timers: at most about twice those that apply, which the sessions, the outstanding
    /// probes and the policy bound.
    pub fn len(&self) -> usize {
        self.timers.len()
    }

    pub fn is_empty(&self) -> bool {
        self.timers.is_empty()
    }
}
