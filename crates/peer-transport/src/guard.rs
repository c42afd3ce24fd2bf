//! Replay protection. For each sender it keeps the current process and a sliding window over the sequence
//! numbers (as IPsec does: RFC 4303, 3.4.3). Datagrams reordered within the window are accepted.

use ashglade::time::{Instant, Span};

/// Number of sequence numbers covered by the window.
const WINDOW: u64 = 64;

/// What was received from one sender.
#[derive(Clone, Copy, Debug)]
struct Heard {
    process: u64,
    highest: u64,
    /// Bit `k` is set if `highest - k` was received.
    window: u64,
    /// Time when the last datagram was accepted.
    at: Instant,
}

/// Replay windows of all senders, by director index.
#[derive(Clone, Debug)]
pub struct Guard {
    heard: Vec<Option<Heard>>,
    /// Time without datagrams after which a process with a lower number than the current one is accepted: the
    /// sender's clock was set back.
    silence: Span,
}

impl Guard {
    pub fn new(directors: usize, silence: Span) -> Guard {
        Guard { heard: vec![None; directors], silence }
    }

    /// Returns whether this datagram is new, and records it.
    pub fn is_new(&mut self, from: usize, process: u64, number: u64, now: Instant) -> bool {
        let Some(slot) = self.heard.get_mut(from) else { return false };
        let fresh = Heard { process, highest: number, window: 1, at: now };
        let Some(heard) = slot else {
            *slot = Some(fresh);
            return true;
        };
        if process != heard.process {
            let believed = process > heard.process || now - heard.at > self.silence;
            if believed {
                *slot = Some(fresh);
            }
            return believed;
        }
        if number > heard.highest {
            let ahead = number - heard.highest;
            heard.window = if ahead >= WINDOW { 1 } else { heard.window << ahead | 1 };
            heard.highest = number;
        } else {
            let behind = heard.highest - number;
            if behind >= WINDOW || heard.window >> behind & 1 == 1 {
                return false;
            }
            heard.window |= 1 << behind;
        }
        heard.at = now;
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn told_twice_too_late_or_by_a_process_from_before_is_not_new() {
        let mut guard = Guard::new(2, Span::from_secs(3.0));
        let at = |secs: f64| Instant::from_ms(secs * 1e3);
        let mut trace = String::new();
        for (what, from, process, number, secs) in [
            ("first", 0, 5, 10, 0.0),
            ("again", 0, 5, 10, 0.1),
            ("before it", 0, 5, 8, 0.1),
            ("before it, again", 0, 5, 8, 0.2),
            ("far ahead", 0, 5, 200, 0.3),
            ("too late", 0, 5, 100, 0.3),
            ("late", 0, 5, 137, 0.3),
            ("another sender", 1, 5, 10, 0.3),
            ("nobody", 2, 5, 10, 0.3),
            ("a process from before", 0, 4, 300, 0.4),
            ("the next process", 0, 6, 1, 0.5),
            ("the one before it", 0, 5, 201, 0.6),
            ("a clock set back, after silence", 0, 3, 1, 4.0),
        ] {
            let new = guard.is_new(from, process, number, at(secs));
            trace += &format!("{what}: {}\n", if new { "taken" } else { "passed over" });
        }
        expect_test::expect![[r#"
            first: taken
            again: passed over
            before it: taken
            before it, again: passed over
            far ahead: taken
            too late: passed over
            late: taken
            another sender: taken
            nobody: passed over
            a process from before: passed over
            the next process: taken
            the one before it: passed over
            a clock set back, after silence: taken
        "#]]
        .assert_eq(&trace);
    }
}
