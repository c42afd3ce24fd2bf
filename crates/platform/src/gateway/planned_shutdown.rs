//! Carries out a planned shutdown as [`Shutdown`] decides it.

use std::fmt;

use ashglade::shutdown::{RemainingWork, Shutdown};
use ashglade::time::{Instant, Span};
use ashglade_engine::Input;
use tracing::info;

use super::downstream::DownstreamConnection;
use super::{Action, DownstreamId, Gateway};

/// Interval at which connections are closed during a shutdown.
const SHUTDOWN_CHECK_INTERVAL_SECONDS: f64 = 0.02;

/// Numbers of what a director still has to do or holds open. Logged while it drains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenWork {
    /// Requests without an answer.
    pub unanswered: usize,
    /// Sessions that play.
    pub playing: usize,
    pub viewer_connections: usize,
    pub node_connections: usize,
    /// Releases whose client has no connection.
    pub release_notices: usize,
}

impl fmt::Display for OpenWork {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "unanswered={} playing={} viewer_connections={} node_connections={} release_notices={}",
            self.unanswered,
            self.playing,
            self.viewer_connections,
            self.node_connections,
            self.release_notices
        )
    }
}

impl Gateway {
    /// Returns whether a planned shutdown has come to its end.
    pub fn is_shutdown_finished(&self, now: Instant) -> bool {
        // What is open is looked at only once that can matter.
        self.shutdown.is_some_and(|shutdown| {
            shutdown.has_stopped_listening() && shutdown.is_finished(now, self.remaining_work())
        })
    }

    fn remaining_work(&self) -> RemainingWork {
        RemainingWork {
            viewer_connections: self.downstreams.len(),
            open_requests: self.setup_queue.len()
                + self.sessions.values().filter(|s| !s.answered || s.attempt.is_some()).count(),
            lines_for_nodes: !self.no_lines_queued_for_nodes(),
        }
    }

    /// Returns the planned shutdown that is in progress.
    pub fn shutdown(&self) -> Option<&Shutdown> {
        self.shutdown.as_ref()
    }

    pub(super) fn start_shutdown(&mut self, now: Instant) {
        if self.shutdown.is_some() {
            return;
        }
        let timeouts = &self.site.setup_timeouts;
        // A service group without a setup timeout may have any.
        let longest = timeouts.iter().copied().collect::<Option<Vec<Span>>>();
        let shutdown = Shutdown::start(now, longest.and_then(|timeouts| timeouts.into_iter().max()));
        info!(
            exit_due_ms = (shutdown.exit_due() - now).as_ms(),
            answers_due_ms = (shutdown.answers_due() - now).as_ms(),
            open = %self.open_work(),
            "drain started"
        );
        self.inputs.push(Input::AnswerBy { deadline: shutdown.answers_due() });
        self.shutdown = Some(shutdown);
    }

    /// Closes connections and ends listening, as far as the shutdown has come.
    pub(super) fn advance_shutdown(&mut self, now: Instant) {
        let Some(shutdown) = self.shutdown else { return };
        if now >= self.next_shutdown_check_at {
            self.next_shutdown_check_at = now + Span::from_secs(SHUTDOWN_CHECK_INTERVAL_SECONDS);
            let closes = |c: &DownstreamConnection| shutdown.closes(now, c.usage());
            let closed: Vec<DownstreamId> =
                self.downstreams.iter().filter(|(_, c)| closes(c)).map(|(&id, _)| id).collect();
            closed.into_iter().for_each(|downstream| self.close_downstream_if_idle(downstream));
        }
        let viewer_connections = self.downstreams.len();
        if self.shutdown.as_mut().is_some_and(|shutdown| shutdown.stops_listening(now, viewer_connections)) {
            info!(open = %self.open_work(), "no longer listening");
            self.actions.push(Action::StopListening);
        }
    }

    /// Returns the time since the shutdown began, in milliseconds, for logs.
    pub(super) fn draining_ms(&self, now: Instant) -> Option<f64> {
        self.shutdown.map(|shutdown| (now - shutdown.started_at()).as_ms())
    }

    /// Returns what is open at present, for logs.
    pub fn open_work(&self) -> OpenWork {
        OpenWork {
            unanswered: self.sessions.values().filter(|state| !state.answered).count()
                + self.setup_queue.len(),
            playing: self.sessions.values().filter(|state| state.playing_at.is_some()).count(),
            viewer_connections: self.downstreams.len(),
            node_connections: self.upstreams.len(),
            release_notices: self.release_notices.iter().filter(|n| n.downstream.is_none()).count(),
        }
    }
}
