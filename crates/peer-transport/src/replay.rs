//! Replay protection. For each sender it keeps the current process and a sliding window over the sequence
//! numbers (as IPsec does: RFC 4303, 3.4.3). Datagrams reordered within the window are accepted.

use ashglade::time::{Instant, Span};

/// Number of sequence numbers covered by the window.
const WINDOW_SIZE: u64 = 64;

/// What was received from one sender.
#[derive(Clone, Copy, Debug)]
struct SenderState {
    /// Number of the current process.
    process: u64,
    /// Highest sequence number received from it.
    highest: u64,
    /// Bit `k` is set if `highest - k` was received.
    window: u64,
    /// Time when the last datagram was accepted.
    last_accepted_at: Instant,
}

/// Replay windows of all senders, by director index.
#[derive(Clone, Debug)]
pub struct ReplayFilter {
    senders: Vec<Option<SenderState>>,
    /// Time without datagrams after which a process with a lower number than the current one is accepted: the
    /// sender's clock was set back.
    silence_timeout: Span,
}

impl ReplayFilter {
    /// Accepts any first datagram of each of `director_count` senders.
    pub fn new(director_count: usize, silence_timeout: Span) -> ReplayFilter {
        ReplayFilter { senders: vec![None; director_count], silence_timeout }
    }

    /// Returns whether this datagram is new, and records it.
    pub fn is_new(&mut self, sender: usize, process: u64, sequence: u64, now: Instant) -> bool {
        let Some(slot) = self.senders.get_mut(sender) else { return false };
        let initial = SenderState { process, highest: sequence, window: 1, last_accepted_at: now };
        let Some(current) = slot else {
            *slot = Some(initial);
            return true;
        };
        if process != current.process {
            let accepted = process > current.process || now - current.last_accepted_at > self.silence_timeout;
            if accepted {
                *slot = Some(initial);
            }
            return accepted;
        }
        if sequence > current.highest {
            let ahead = sequence - current.highest;
            current.window = if ahead >= WINDOW_SIZE { 1 } else { current.window << ahead | 1 };
            current.highest = sequence;
        } else {
            let behind = current.highest - sequence;
            if behind >= WINDOW_SIZE || current.window >> behind & 1 == 1 {
                return false;
            }
            current.window |= 1 << behind;
        }
        current.last_accepted_at = now;
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn replayed_late_and_superseded_datagrams_are_rejected() {
        let mut filter = ReplayFilter::new(2, Span::from_secs(3.0));
        let at = |secs: f64| Instant::from_ms(secs * 1e3);
        let mut trace = String::new();
        for (case, sender, process, sequence, secs) in [
            ("first", 0, 5, 10, 0.0),
            ("again", 0, 5, 10, 0.1),
            ("before it", 0, 5, 8, 0.1),
            ("before it, again", 0, 5, 8, 0.2),
            ("far ahead", 0, 5, 200, 0.3),
            ("too late", 0, 5, 100, 0.3),
            ("late", 0, 5, 137, 0.3),
            ("another sender", 1, 5, 10, 0.3),
            ("unknown sender", 2, 5, 10, 0.3),
            ("an older process", 0, 4, 300, 0.4),
            ("the next process", 0, 6, 1, 0.5),
            ("the replaced process", 0, 5, 201, 0.6),
            ("a clock set back, after silence", 0, 3, 1, 4.0),
        ] {
            let new = filter.is_new(sender, process, sequence, at(secs));
            trace += &format!("{case}: {}\n", if new { "accepted" } else { "rejected" });
        }
        expect_test::expect![[r#"
            first: accepted
            again: rejected
            before it: accepted
            before it, again: rejected
            far ahead: accepted
            too late: rejected
            late: accepted
            another sender: accepted
            unknown sender: rejected
            an older process: rejected
            the next process: accepted
            the replaced process: rejected
            a clock set back, after silence: accepted
        "#]]
        .assert_eq(&trace);
    }
}
