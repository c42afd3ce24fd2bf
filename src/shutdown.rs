//! Decisions of a planned shutdown: from the signal to the end of the process, what is still served, what is
//! refused at once, when connections are closed, and when the process ends.
//!
//! All times follow from one figure, the earliest time at which the process may be killed. A request that is
//! on an open connection then is lost, however late it was sent, so every connection of a viewer is closed
//! before. A connection without an open request and without a playing session is closed as soon as no request
//! is expected on it any longer; the others are closed by a common time, before which all requests are
//! answered.
//!
//! Playing sessions are attended until that time, and don't delay the end beyond it. They go on at their nodes
//! without a director, and are handed over to the next process. Their nodes repeat to that process what this
//! one would otherwise receive and could not forward any longer, as it has no connection of a viewer.

use crate::time::{Instant, Span};

/// Time to the earliest kill beyond the longest setup timeout.
const KILL_DELAY_SECONDS: f64 = 0.7;
/// A longer setup timeout counts as this.
const MAX_COUNTED_TIMEOUT_SECONDS: f64 = 3.0;
/// Requests on open connections are expected until this time.
const REQUESTS_EXPECTED_SECONDS: f64 = 0.7;
/// Time between the close of the last connection, or its deadline, and the end of listening. A request that
/// crosses the close of its connection is sent again, on a new connection, and is to be answered there.
const RESEND_SECONDS: f64 = 0.15;
/// Time between the end of listening and the end of the process, for what was accepted last.
const LAST_ANSWERS_SECONDS: f64 = 0.1;
/// Time that a new connection has for its first request before it counts as unused.
const FIRST_REQUEST_SECONDS: f64 = 0.1;
/// Time before the earliest kill at which the process ends at the latest.
const EXIT_MARGIN_SECONDS: f64 = 0.12;
/// Time to close the connections once all requests are answered.
const CLOSE_SECONDS: f64 = 0.03;
/// A request that has less time than this until the common deadline is refused.
const MIN_SETUP_SECONDS: f64 = 0.1;

/// What a viewer's connection is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionUse {
    /// It has requests without an answer.
    OpenRequests,
    /// It has none, and sessions play that were requested on it.
    PlayingSessions,
    /// It was opened at this time, all its requests, if any, are answered, and nothing plays.
    Unused { opened_at: Instant, had_requests: bool },
}

/// What has to be done before the process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RemainingWork {
    /// Number of viewers' connections.
    pub viewer_connections: usize,
    /// Number of requests without an answer, and of SETUPs without an outcome.
    pub open_requests: usize,
    /// Lines wait for a connection to a node.
    pub lines_for_nodes: bool,
}

/// A planned shutdown in progress.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shutdown {
    started_at: Instant,
    kill_after: Span,
    /// Since when there has been no connection of a viewer.
    unconnected_since: Option<Instant>,
    listening_ended_at: Option<Instant>,
}

impl Shutdown {
    /// Starts a shutdown. `longest_setup_timeout` is that of the settings; without one, none is known to be
    /// short.
    pub fn start(now: Instant, longest_setup_timeout: Option<Span>) -> Shutdown {
        let longest = Span::from_secs(MAX_COUNTED_TIMEOUT_SECONDS);
        let counted = longest_setup_timeout.map_or(longest, |timeout| timeout.min(longest));
        Shutdown {
            started_at: now,
            kill_after: counted + Span::from_secs(KILL_DELAY_SECONDS),
            unconnected_since: None,
            listening_ended_at: None,
        }
    }

    pub fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Returns when the process may be killed at the earliest.
    pub fn earliest_kill(&self) -> Instant {
        self.started_at + self.kill_after
    }

    /// Returns when the process ends at the latest.
    pub fn exit_due(&self) -> Instant {
        self.earliest_kill() - Span::from_secs(EXIT_MARGIN_SECONDS)
    }

    /// Returns when listening ends at the latest.
    fn listening_ends_due(&self) -> Instant {
        self.exit_due() - Span::from_secs(LAST_ANSWERS_SECONDS)
    }

    /// Returns when all viewers' connections are closed, with or without an open request.
    fn close_due(&self) -> Instant {
        self.listening_ends_due() - Span::from_secs(RESEND_SECONDS)
    }

    /// Returns when every request must have its answer.
    pub fn answers_due(&self) -> Instant {
        self.close_due() - Span::from_secs(CLOSE_SECONDS)
    }

    /// Returns from when on connections are closed that are unused.
    fn close_unused_from(&self) -> Instant {
        (self.started_at + Span::from_secs(REQUESTS_EXPECTED_SECONDS)).min(self.close_due())
    }

    /// Returns whether a new request is served. Otherwise it is refused at once, which proves to its sender
    /// that nothing ran.
    pub fn serves(&self, now: Instant) -> bool {
        now + Span::from_secs(MIN_SETUP_SECONDS) <= self.answers_due()
    }

    /// Returns whether viewers' connections with playing sessions are still open, so that what nodes report of
    /// these sessions reaches their viewers.
    pub fn attends_sessions(&self, now: Instant) -> bool {
        now < self.close_due()
    }

    /// Returns whether a viewer's connection is closed now, unless data has been received on it that is not
    /// processed yet.
    pub fn closes(&self, now: Instant, usage: ConnectionUse) -> bool {
        match usage {
            ConnectionUse::OpenRequests => false,
            ConnectionUse::PlayingSessions => now >= self.close_due(),
            ConnectionUse::Unused { opened_at, had_requests } => {
                let awaits_request =
                    !had_requests && now - opened_at < Span::from_secs(FIRST_REQUEST_SECONDS);
                now >= self.close_unused_from() && !awaits_request
            }
        }
    }

    /// Takes the number of viewers' connections, and returns whether listening ends now. Returns true once.
    pub fn stops_listening(&mut self, now: Instant, viewer_connections: usize) -> bool {
        if viewer_connections > 0 || now < self.close_unused_from() {
            self.unconnected_since = None;
        } else {
            self.unconnected_since = self.unconnected_since.or(Some(now));
        }
        let unconnected =
            self.unconnected_since.is_some_and(|since| now - since >= Span::from_secs(RESEND_SECONDS));
        if self.listening_ended_at.is_some() || !(unconnected || now >= self.listening_ends_due()) {
            return false;
        }
        self.listening_ended_at = Some(now);
        true
    }

    /// Returns whether listening has ended. The process does not end before.
    pub fn has_stopped_listening(&self) -> bool {
        self.listening_ended_at.is_some()
    }

    /// Returns whether the process ends, once listening has ended.
    pub fn is_finished(&self, now: Instant, work: RemainingWork) -> bool {
        let nothing_left = work.viewer_connections == 0 && work.open_requests == 0 && !work.lines_for_nodes;
        let accepted_all =
            self.listening_ended_at.is_some_and(|at| now - at >= Span::from_secs(LAST_ANSWERS_SECONDS));
        now >= self.exit_due() || accepted_all && nothing_left
    }
}
