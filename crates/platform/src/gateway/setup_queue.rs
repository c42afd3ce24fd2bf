//! SETUP requests from their arrival until the engine gets them, bounded in number and in bytes.

use ashglade::time::{Instant, Span};
use ashglade_engine::Input;
use tracing::debug;

use super::{ANSWER_MARGIN_MS, DownstreamId, Gateway};
use crate::byte_budget::ByteReservation;
use crate::causes;
use crate::message::{Message, Tag};
use crate::setup_request::{self, SetupRequest};

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

impl Gateway {
    /// Queues a SETUP request behind those of other viewers. While it is queued, its viewer may leave or
    /// cancel it.
    pub(super) fn queue_setup(&mut self, now: Instant, downstream: DownstreamId, tag: Tag, message: Message) {
        let Some(connection) = self.downstreams.get_mut(&downstream) else { return };
        connection.had_requests = true;
        if setup_request::is_handover(&message) {
            // No one waits for an answer, and the engine must know of all handovers in its first round.
            return self.handle_handover(now, downstream, tag, &message);
        }
        if self.shutdown.is_some_and(|shutdown| !shutdown.serves(now))
            || connection.pending.len() + connection.queued_setups >= self.limits.pending_setups
            || self.sessions.len() + self.setup_queue.len() >= self.limits.sessions
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
        self.setup_queue.push_back(QueuedSetup { received_at: now, downstream, tag, message, bytes });
    }

    /// Removes the queued SETUP requests with this tag, which their viewer has cancelled.
    pub(super) fn cancel_queued_setup(&mut self, tag: Tag) {
        for setup in self.setup_queue.iter().filter(|setup| setup.tag == tag) {
            if let Some(connection) = self.downstreams.get_mut(&setup.downstream) {
                connection.queued_setups -= 1;
            }
        }
        self.setup_queue.retain(|setup| setup.tag != tag);
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
