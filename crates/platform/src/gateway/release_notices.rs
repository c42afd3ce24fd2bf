//! Releases that clients must get, and which of a client's connections carries a line.

use std::net::IpAddr;

use ashglade::ids::SessionId;
use ashglade::time::{Instant, Span};
use bytes::Bytes;
use tracing::{debug, warn};

use super::{Action, DownstreamId, Gateway};

/// Time that a release notice is kept for a client without a connection.
const RELEASE_NOTICE_TTL_SECONDS: f64 = 8.0;

/// A release that a client must get.
pub(super) struct ReleaseNotice {
    pub(super) created_at: Instant,
    pub(super) client: IpAddr,
    /// The connection on which it was sent; `None` while the client has no connection.
    pub(super) downstream: Option<DownstreamId>,
    pub(super) line: Bytes,
}

impl Gateway {
    /// Sends a line on the connection of the session's request, or on another connection of the same client.
    pub(crate) fn send_to_viewer(&mut self, session: SessionId, line: Bytes) {
        let Some(state) = self.sessions.get(&session) else { return };
        let (preferred, client) = (state.downstream, state.client);
        if let Some(downstream) = self.downstream_of(client, Some(preferred)) {
            self.actions.push(Action::SendDownstream(downstream, line));
        }
    }

    /// Returns the preferred connection if it is open, else another one of the client, if possible one that
    /// is not about to be closed.
    fn downstream_of(&self, client: IpAddr, preferred: Option<DownstreamId>) -> Option<DownstreamId> {
        let preferred = preferred.filter(|downstream| self.downstreams.contains_key(downstream));
        let others = || self.downstreams.iter().filter(|(_, c)| c.client == client);
        preferred.or_else(|| others().min_by_key(|(_, c)| c.closing).map(|(&downstream, _)| downstream))
    }

    /// Sends a release, and keeps it for a while in case it is not written. If the client has no connection,
    /// the release waits for one.
    pub(super) fn send_release_notice(
        &mut self,
        now: Instant,
        client: IpAddr,
        preferred: Option<DownstreamId>,
        line: Bytes,
    ) {
        let downstream = self.downstream_of(client, preferred);
        if let Some(id) = downstream {
            self.actions.push(Action::SendDownstream(id, line.clone()));
        } else {
            debug!(to = %client, "a release waits for a connection of its client");
        }
        if self.release_notices.len() >= self.limits.outstanding
            && let Some(dropped) = self.release_notices.pop_front()
            && dropped.downstream.is_none()
        {
            warn!(to = %dropped.client, "too many release notices are queued; dropped the oldest, which is not sent");
        }
        self.release_notices.push_back(ReleaseNotice { created_at: now, client, downstream, line });
    }

    /// Drops the notices that have been kept for long enough.
    pub(super) fn expire_release_notices(&mut self, now: Instant) {
        let is_expired =
            |notice: &ReleaseNotice| now - notice.created_at > Span::from_secs(RELEASE_NOTICE_TTL_SECONDS);
        while self.release_notices.front().is_some_and(is_expired) {
            self.release_notices.pop_front();
        }
    }
}
