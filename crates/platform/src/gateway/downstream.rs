//! Viewers' connections: which are opened and closed, what is received on them, and what was not written when they
//! ended.

use std::collections::BTreeSet;
use std::net::IpAddr;

use ashglade::ids::SessionId;
use ashglade::shutdown::ConnectionUse;
use ashglade::time::{Instant, Span};
use bytes::Bytes;
use tracing::{debug, trace};

use super::release_notices::ReleaseNotice;
use super::{Action, DownstreamId, Gateway, SessionState};
use crate::byte_budget::ByteAccount;
use crate::causes;
use crate::early_ends::EarlyEnd;
use crate::message::{self, Message, Tag, Verb};

/// Time after which a viewer's connection that has sent nothing useful is closed. The protocol allows 3 s.
const USELESS_TIMEOUT_SECONDS: f64 = 2.2;
/// Time after which a viewer's connection without sessions is closed. Viewers close such connections
/// themselves after 4 s.
const IDLE_TIMEOUT_SECONDS: f64 = 5.0;

/// A viewer's connection.
pub(super) struct DownstreamConnection {
    pub(super) client: IpAddr,
    pub(super) opened_at: Instant,
    pub(super) idle_since: Instant,
    /// A valid request has been received.
    pub(super) useful: bool,
    /// A SETUP request has been received, valid or not.
    pub(super) had_requests: bool,
    /// Number of SETUP requests that are still queued.
    pub(super) queued_setups: usize,
    /// The bytes of the requests that were received here and have no answer.
    pub(super) request_bytes: ByteAccount,
    /// Sessions that have no answer yet.
    pub(super) pending: BTreeSet<SessionId>,
    /// Sessions that were requested here, and that play for their viewers.
    pub(super) playing: BTreeSet<SessionId>,
    /// A close has been requested, which an incoming message cancels.
    pub(super) closing: bool,
}

impl DownstreamConnection {
    /// Returns what a planned shutdown has to know of the connection.
    pub(super) fn usage(&self) -> ConnectionUse {
        if self.queued_setups > 0 || !self.pending.is_empty() {
            return ConnectionUse::OpenRequests;
        }
        if !self.playing.is_empty() {
            return ConnectionUse::PlayingSessions;
        }
        ConnectionUse::Unused { opened_at: self.opened_at, had_requests: self.had_requests }
    }

    /// Returns the number of sessions that the connection holds, from their requests on.
    pub(super) fn session_count(&self) -> usize {
        self.queued_setups + self.pending.len() + self.playing.len()
    }

    /// Returns whether the connection carries no request and no playing session.
    pub(super) fn is_unused(&self) -> bool {
        self.session_count() == 0
    }
}

impl Gateway {
    pub(super) fn downstream_opened(&mut self, now: Instant, downstream: DownstreamId, client: IpAddr) {
        // A tenth of the descriptors is left for connections that are being closed, and for new ones while
        // all others are in use.
        let max_open = (self.descriptor_limits[0] * 9 / 10).max(1);
        if self.downstreams.values().filter(|c| !c.closing).count() >= max_open {
            // The oldest connection that never sent a valid request is closed first, then the oldest that is
            // unused.
            let unused = self.downstreams.iter().filter(|(_, c)| c.is_unused() && !c.closing);
            let evicted = unused.min_by_key(|(_, c)| (c.useful, c.opened_at)).map(|(&id, c)| (id, c.useful));
            match evicted {
                None => return self.actions.push(Action::CloseDownstream(downstream)),
                Some((evicted, true)) => self.close_downstream_if_idle(evicted),
                Some((evicted, false)) => self.close_downstream(evicted),
            }
        }
        let connection = DownstreamConnection {
            client,
            opened_at: now,
            idle_since: now,
            useful: false,
            had_requests: false,
            queued_setups: 0,
            request_bytes: self.request_bytes.open_account(),
            pending: BTreeSet::new(),
            playing: BTreeSet::new(),
            closing: false,
        };
        self.downstreams.insert(downstream, connection);
        self.release_notices.iter_mut().filter(|n| n.downstream.is_none() && n.client == client).for_each(
            |notice| {
                notice.downstream = Some(downstream);
                self.actions.push(Action::SendDownstream(downstream, notice.line.clone()));
            },
        );
    }

    /// Closes a connection unless a request is already on its way. The viewer has to repeat a request only if
    /// it is sent in the very moment of the close.
    pub(super) fn close_downstream_if_idle(&mut self, downstream: DownstreamId) {
        if let Some(connection) = self.downstreams.get_mut(&downstream) {
            connection.closing = true;
        }
        self.actions.push(Action::CloseDownstreamIfIdle(downstream));
    }

    pub(super) fn close_downstream(&mut self, downstream: DownstreamId) {
        self.actions.push(Action::CloseDownstream(downstream));
        self.downstream_closed(downstream);
    }

    /// Cancels the unanswered requests of a closed connection, and sends their releases in case the viewer
    /// closed only its sending half. Playing sessions continue.
    pub(super) fn downstream_closed(&mut self, downstream: DownstreamId) {
        let Some(connection) = self.downstreams.remove(&downstream) else { return };
        let mut cancelled = Vec::new();
        let queued = self.setup_queue.remove_connection(downstream);
        cancelled.extend(queued.iter().map(|setup| (setup.tag, causes::CONGESTION)));
        for session in connection.pending {
            let release = |state: &SessionState| {
                (state.tag, if state.setup_sent { causes::INTERRUPTED } else { causes::CONGESTION })
            };
            cancelled.extend(self.sessions.get(&session).map(release));
            self.viewer_left(session);
        }
        for (tag, cause) in cancelled {
            let line = message::encode(Verb::Finish, tag, &[], Some(cause), None);
            self.actions.extend(line.map(|line| Action::SendDownstreamAfterClose(downstream, line)));
        }
    }

    /// Handles a line that its viewer has not read. If it is an answer, the viewer does not know the session,
    /// which must not be left playing at its node. If it is a release, it is sent again on another
    /// connection.
    pub(super) fn downstream_undelivered(&mut self, now: Instant, downstream: DownstreamId, line: Bytes) {
        let message = Message::parse(&line).ok();
        if let Some(session) = message
            .filter(|message| message.verb == Verb::Started)
            .and_then(|message| self.session_by_tag.get(&message.tag?).copied())
            .filter(|session| self.sessions.get(session).is_some_and(|state| state.downstream == downstream))
        {
            debug!(
                link = downstream.0,
                "viewer disconnected before its answer was written; releasing the session"
            );
            return self.viewer_left(session);
        }
        let is_sent_here =
            |notice: &ReleaseNotice| notice.downstream == Some(downstream) && notice.line == line;
        if let Some(index) = self.release_notices.iter().position(is_sent_here)
            && let Some(notice) = self.release_notices.remove(index)
        {
            self.send_release_notice(now, notice.client, None, notice.line);
        }
    }

    pub(super) fn downstream_message(&mut self, now: Instant, downstream: DownstreamId, message: Message) {
        let Some(connection) = self.downstreams.get_mut(&downstream) else { return };
        connection.closing = false;
        trace!(link = downstream.0, ?message, "received from a viewer");
        match (message.verb, message.tag) {
            (Verb::Start, Some(tag)) => self.queue_setup(now, downstream, tag, message),
            (Verb::Finish, Some(tag)) => {
                self.cancel_queued_setup(tag);
                match self.session_by_tag.get(&tag) {
                    Some(&session) => {
                        self.mark_useful(now, downstream);
                        self.viewer_left(session);
                    }
                    None => self.keep_early_end(now, tag, EarlyEnd::Viewer),
                }
            }
            (Verb::Echo, tag) => {
                let passed = u16::from(self.shutdown.is_none());
                if passed == 1 {
                    self.schedule_engine_start(now);
                }
                let line = message::encode(
                    Verb::Echoed,
                    tag.unwrap_or(Tag::from_number(0)),
                    &[],
                    Some(passed),
                    None,
                );
                self.actions.extend(line.map(|line| Action::SendDownstream(downstream, line)));
            }
            (Verb::Pending | Verb::Finished, _) => {}
            _ => {
                debug!(
                    link = downstream.0,
                    verb = ?message.verb,
                    "viewers don't send messages of this kind; closing the connection"
                );
                self.close_downstream(downstream);
            }
        }
    }

    pub(super) fn mark_useful(&mut self, now: Instant, downstream: DownstreamId) {
        if let Some(connection) = self.downstreams.get_mut(&downstream) {
            (connection.useful, connection.idle_since) = (true, now);
        }
    }

    /// Closes idle connections.
    pub(super) fn check_downstreams(&mut self, now: Instant) {
        let is_idle = |c: &DownstreamConnection| {
            let (timeout, since) = if c.useful {
                (IDLE_TIMEOUT_SECONDS, c.idle_since)
            } else {
                (USELESS_TIMEOUT_SECONDS, c.opened_at)
            };
            c.is_unused() && now - since > Span::from_secs(timeout)
        };
        let idle = self.downstreams.iter().filter(|(_, c)| is_idle(c)).map(|(&id, c)| (id, c.useful));
        for (downstream, useful) in idle.collect::<Vec<_>>() {
            if useful {
                self.close_downstream_if_idle(downstream);
            } else {
                self.close_downstream(downstream);
            }
        }
    }
}
