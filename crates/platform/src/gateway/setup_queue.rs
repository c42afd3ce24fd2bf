//! SETUP requests from their arrival until the engine gets them, bounded in number and in bytes.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, VecDeque};

use ashglade::time::{Instant, Span};
use ashglade_engine::Input;
use tracing::debug;

use super::downstream::DownstreamConnection;
use super::{ANSWER_MARGIN_MS, DownstreamId, Gateway};
use crate::byte_budget::ByteReservation;
use crate::causes;
use crate::message::{Message, Tag};
use crate::setup_request::{self, SetupRequest};
use crate::upstream::MAX_UPSTREAMS_PER_NODE;

/// A valid SETUP request that needs an answer, with the bytes that it holds.
pub(crate) struct HeldRequest {
    pub request: SetupRequest,
    _bytes: ByteReservation,
}

/// A SETUP request that has not been passed to the engine yet.
pub(super) struct QueuedSetup {
    pub(super) received_at: Instant,
    pub(super) downstream: DownstreamId,
    pub(super) tag: Tag,
    pub(super) message: Message,
    pub(super) bytes: ByteReservation,
}

/// The queued SETUP requests. The connections take turns, one request each, so that a connection with many requests
/// doesn't delay those of others.
#[derive(Default)]
pub(super) struct SetupQueue {
    by_connection: BTreeMap<DownstreamId, VecDeque<QueuedSetup>>,
    /// The connections with queued requests, the next one to be served first.
    turns: VecDeque<DownstreamId>,
    /// Numbers of the queued requests with the same tag and connection.
    tags: BTreeMap<(Tag, DownstreamId), usize>,
    length: usize,
}

impl SetupQueue {
    pub fn len(&self) -> usize {
        self.length
    }

    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Adds a request behind the others of its connection.
    pub fn push(&mut self, setup: QueuedSetup) {
        let downstream = setup.downstream;
        *self.tags.entry((setup.tag, downstream)).or_default() += 1;
        self.length += 1;
        let setups = self.by_connection.entry(downstream).or_default();
        if setups.is_empty() {
            self.turns.push_back(downstream);
        }
        setups.push_back(setup);
    }

    /// Removes and returns the oldest request of the connection whose turn it is.
    pub fn pop(&mut self) -> Option<QueuedSetup> {
        let downstream = self.turns.pop_front()?;
        let setups = self.by_connection.get_mut(&downstream)?;
        let setup = setups.pop_front()?;
        self.length -= 1;
        if setups.is_empty() {
            self.by_connection.remove(&downstream);
        } else {
            self.turns.push_back(downstream);
        }
        self.forget_tag(setup.tag, downstream);
        Some(setup)
    }

    /// Removes and returns all requests of a connection, oldest first.
    pub fn remove_connection(&mut self, downstream: DownstreamId) -> Vec<QueuedSetup> {
        let setups = self.by_connection.remove(&downstream).unwrap_or_default();
        self.turns.retain(|&other| other != downstream);
        self.length -= setups.len();
        for setup in &setups {
            self.tags.remove(&(setup.tag, downstream));
        }
        setups.into()
    }

    /// Removes the requests with this tag. Returns the connections of the removed requests.
    pub fn remove_tag(&mut self, tag: Tag) -> Vec<DownstreamId> {
        let connections = self.tags.range((tag, DownstreamId(0))..=(tag, DownstreamId(u64::MAX)));
        let connections: Vec<DownstreamId> = connections.map(|(&(_, downstream), _)| downstream).collect();
        let mut removed = Vec::new();
        for downstream in connections {
            self.tags.remove(&(tag, downstream));
            let Some(setups) = self.by_connection.get_mut(&downstream) else { continue };
            let queued_before = setups.len();
            setups.retain(|setup| setup.tag != tag);
            removed.extend(std::iter::repeat_n(downstream, queued_before - setups.len()));
            if setups.is_empty() {
                self.by_connection.remove(&downstream);
                self.turns.retain(|&other| other != downstream);
            }
        }
        self.length -= removed.len();
        removed
    }

    /// Counts one request less with this tag.
    fn forget_tag(&mut self, tag: Tag, downstream: DownstreamId) {
        if let Entry::Occupied(mut count) = self.tags.entry((tag, downstream)) {
            *count.get_mut() -= 1;
            if *count.get() == 0 {
                count.remove();
            }
        }
    }
}

impl Gateway {
    /// Queues a SETUP request, unless there is no room for it. While it is queued, its viewer may leave or
    /// cancel it.
    pub(super) fn queue_setup(&mut self, now: Instant, downstream: DownstreamId, tag: Tag, message: Message) {
        let has_room = self.has_room_for_session(downstream);
        let Some(connection) = self.downstreams.get_mut(&downstream) else { return };
        connection.had_requests = true;
        if setup_request::is_handover(&message) {
            // No one waits for an answer, and the engine must know of all handovers in its first round.
            return self.handle_handover(now, downstream, tag, &message);
        }
        if self.shutdown.is_some_and(|shutdown| !shutdown.serves(now))
            || connection.pending.len() + connection.queued_setups >= self.limits.pending_setups
            || !has_room
        {
            return self.refuse(downstream, tag, causes::CONGESTION);
        }
        let Some(bytes) = connection.request_bytes.reserve(message.text_bytes()) else {
            debug!(
                link = downstream.0,
                used = self.request_bytes.used(),
                limit = self.limits.request_bytes,
                "the requests without an answer hold too many bytes"
            );
            return self.refuse(downstream, tag, causes::CONGESTION);
        };
        connection.queued_setups += 1;
        self.setup_queue.push(QueuedSetup { received_at: now, downstream, tag, message, bytes });
    }

    /// Returns whether a connection may hold a further session: as many as are left free, so that no connection takes
    /// all the room from others.
    pub(super) fn has_room_for_session(&self, downstream: DownstreamId) -> bool {
        let held = self.downstreams.get(&downstream).map_or(0, DownstreamConnection::session_count);
        let free = self.limits.sessions.saturating_sub(self.sessions.len() + self.setup_queue.len());
        held < free
    }

    /// Returns the number of SETUPs that the connections to all nodes can carry beside those in progress. A viewer's
    /// connection may have as many in progress as are left free.
    fn free_setup_slots(&self) -> usize {
        let Some(per_connection) = self.site.max_streams_per_connection else { return usize::MAX };
        let nodes = self.nodes.values().filter(|node_state| node_state.is_reachable()).count();
        let slots = nodes.saturating_mul(MAX_UPSTREAMS_PER_NODE).saturating_mul(per_connection);
        let in_progress = self.downstreams.values().map(|connection| connection.pending.len()).sum();
        slots.saturating_sub(in_progress)
    }

    /// Removes the queued SETUP requests with this tag, which their viewer has cancelled.
    pub(super) fn cancel_queued_setup(&mut self, tag: Tag) {
        for downstream in self.setup_queue.remove_tag(tag) {
            if let Some(connection) = self.downstreams.get_mut(&downstream) {
                connection.queued_setups -= 1;
            }
        }
    }

    /// Parses a request. Refuses it and returns `None` if it is invalid.
    fn parse_request(
        &mut self,
        downstream: DownstreamId,
        tag: Tag,
        message: &Message,
    ) -> Option<SetupRequest> {
        match setup_request::parse(message, &self.site) {
            Ok(request) => Some(request),
            Err(error) => {
                debug!(%tag, trouble = %error, "refused an invalid SETUP request");
                self.refuse(downstream, tag, causes::INVALID_REQUEST);
                None
            }
        }
    }

    fn handle_handover(&mut self, now: Instant, downstream: DownstreamId, tag: Tag, message: &Message) {
        let Some(request) = self.parse_request(downstream, tag, message) else { return };
        self.schedule_engine_start(now);
        if let Some(name) = &request.playing_node
            && !self.session_by_tag.contains_key(&tag)
        {
            self.adopt_session(now, downstream, tag, &request, name);
        }
    }

    pub(super) fn handle_setup(
        &mut self,
        now: Instant,
        QueuedSetup { received_at, downstream, tag, message, bytes }: QueuedSetup,
    ) {
        if let Some(connection) = self.downstreams.get_mut(&downstream) {
            connection.queued_setups -= 1;
        }
        let Some(request) = self.parse_request(downstream, tag, &message) else { return };
        drop(message);
        self.schedule_engine_start(now);
        if let Some(session) = self.session_by_tag.get(&tag).copied() {
            self.refuse(downstream, tag, causes::INVALID_REQUEST);
            // On one connection, the answers to two requests with one tag can't be told apart: neither is
            // served.
            if self.sessions.get(&session).is_some_and(|s| s.downstream == downstream && !s.answered) {
                self.viewer_left(session);
            }
            return;
        }
        let in_progress = self.downstreams.get(&downstream).map_or(0, |connection| connection.pending.len());
        if in_progress >= self.free_setup_slots() {
            debug!(%tag, link = downstream.0, in_progress, "one connection has as many SETUPs in progress as are left for others");
            return self.refuse(downstream, tag, causes::CONGESTION);
        }
        if self.recent_tags.contains(now, tag) {
            debug!(%tag, "refused a request with the tag of a session whose SETUP has been sent");
            return self.refuse(downstream, tag, causes::INVALID_REQUEST);
        }
        let mut viewer_request = request.viewer_request;
        // The viewer's timeout runs from the arrival of the request, also while the engine's start is
        // pending.
        let until_engine_start = self.engine_start_at.map_or(Span::ZERO, |start| start - now);
        viewer_request.setup_timeout =
            viewer_request.setup_timeout - until_engine_start - (now - received_at);
        if viewer_request.setup_timeout <= Span::from_ms(ANSWER_MARGIN_MS) {
            // Too late for a SETUP; none has been sent.
            return self.refuse(downstream, tag, causes::CONGESTION);
        }
        let held_request = Box::new(HeldRequest { request, _bytes: bytes });
        let Some(session) = self.create_session(now, downstream, tag, Some(held_request), None) else {
            return;
        };
        self.inputs.push(Input::SessionRequested { session, request: viewer_request });
    }
}
