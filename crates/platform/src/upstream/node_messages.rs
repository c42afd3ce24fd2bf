//! What media nodes send: answers to SETUPs, ends of sessions, replies to health checks, and reports.

use ashglade::ids::{NodeId, Rung, SessionId, SetupNumber};
use ashglade::interface::{AttemptOutcome, LoadMetric};
use ashglade::time::Instant;
use ashglade_engine::{Input, LoadReport};
use tracing::{debug, trace, warn};

use crate::causes;
use crate::early_ends::EarlyEnd;
use crate::gateway::{Gateway, UpstreamId};
use crate::message::{self, Message, Tag, Verb, parse_finite};

/// What a received message is about.
struct Subject {
    upstream: UpstreamId,
    node: NodeId,
    tag: Tag,
    session: Option<SessionId>,
    /// The session's SETUP that was sent on this connection and has no answer.
    attempt: Option<SetupNumber>,
    /// Since when the session plays at this node, if it does.
    playing_since: Option<Instant>,
    load: Option<LoadReport>,
}

impl Subject {
    fn plays_here(&self) -> bool {
        self.playing_since.is_some()
    }
}

impl Gateway {
    /// Handles a node's message.
    pub(crate) fn upstream_message(&mut self, now: Instant, upstream: UpstreamId, message: Message) {
        let Some(connection) = self.upstreams.get_mut(&upstream) else { return };
        connection.last_heard_at = now;
        let node = connection.node;
        trace!(trunk = upstream.0, ?message, "received from a node");
        if let Some(node_state) = self.nodes.get_mut(&node).filter(|_| !is_failed_check(&message)) {
            (node_state.last_heard_at, node_state.health_check_sent_at) = (now, None);
        }
        let Some(tag) = message.tag else { return self.close_on_protocol_error(now, upstream) };
        if matches!(message.verb, Verb::Finish | Verb::Finished) {
            connection.unconfirmed_releases.retain(|&(_, released)| released != tag);
        }
        let subject = self.subject_of(upstream, node, tag, &message);
        if (subject.attempt.is_some() || subject.plays_here())
            && let Some(connection) = self.upstreams.get_mut(&upstream)
        {
            connection.carried_session = true;
        }
        if let Some(session) = subject.session.filter(|_| subject.plays_here()) {
            self.identify_process(upstream, session, &message);
        }
        self.clear_restart_suspicion(&subject, &message);
        match message.verb {
            Verb::Started => self.node_started_session(now, &subject, message),
            Verb::Finish => self.node_released_session(now, &subject, message.cause),
            Verb::Echoed => self.node_answered_health_check(&subject, message.cause == Some(1)),
            Verb::Notice => self.node_reported(&subject, &message),
            _ => {}
        }
    }

    fn subject_of(&self, upstream: UpstreamId, node: NodeId, tag: Tag, message: &Message) -> Subject {
        let session = self.session_by_tag.get(&tag).copied();
        let state = session.and_then(|session| self.sessions.get(&session));
        let attempt = state.and_then(|state| state.attempt.as_ref());
        let attempt = attempt.filter(|attempt| attempt.sent.is_some_and(|(sent, _)| sent == upstream));
        let playing_at = state.and_then(|state| state.playing_at).filter(|&(at, _)| at == node);
        Subject {
            upstream,
            node,
            tag,
            session,
            attempt: attempt.map(|attempt| attempt.setup),
            playing_since: playing_at.map(|(_, since)| since),
            load: message.opts.get("load").map(parse_load),
        }
    }

    /// Reports that the node's process has not restarted, if it was suspected and the message shows that.
    ///
    /// After a restart, nothing could be received on a connection, or about a session, that is older than the
    /// suspicion. A release without a cause, or with the cause for interrupted sessions, does not count for its
    /// session.
    fn clear_restart_suspicion(&mut self, subject: &Subject, message: &Message) {
        let interrupted =
            message.verb == Verb::Finish && message.cause.is_none_or(|cause| cause == causes::INTERRUPTED);
        let playing_since = subject.playing_since.filter(|_| !interrupted);
        let connection = self.upstreams.get(&subject.upstream);
        let (created_at, resumes) = connection.map(|c| (c.created_at, c.resumes)).unzip();
        let Some(node_state) = self.nodes.get_mut(&subject.node) else { return };
        let Some(suspected_at) = node_state.restart_suspected_at else { return };
        let is_older = |before: Instant| before < suspected_at;
        let kept_running = resumes == Some(true) || created_at.into_iter().chain(playing_since).any(is_older);
        if kept_running && !is_failed_check(message) {
            node_state.restart_suspected_at = None;
            debug!(name = node_state.name, resumes, "the node's process has not restarted");
            self.inputs.push(Input::NodeKeptRunning { node: subject.node });
        }
    }

    fn node_started_session(&mut self, now: Instant, subject: &Subject, message: Message) {
        let &Subject { upstream, node, tag, load, .. } = subject;
        if let (Some(session), Some(setup)) = (subject.session, subject.attempt) {
            let Some(description) = message.description else {
                return self.close_on_protocol_error(now, upstream);
            };
            self.clear_attempt(session);
            let Some(started_line) = message::encode(Verb::Started, tag, &[], None, Some(&description))
            else {
                return self.reject_oversized_answer(now, subject, session, setup);
            };
            let process = self.upstreams.get(&upstream).map(|connection| connection.process);
            if let Some(state) = self.sessions.get_mut(&session) {
                (state.playing_at, state.process) = (Some((node, now)), process);
                (state.started_line, state.request) = (Some(started_line), None);
            }
            self.session_plays(now, session, node);
            self.inputs.push(Input::SetupAccepted { session, setup, load });
        } else if !subject.plays_here()
            && let Some(index) = self.cancelled_setups.iter().position(|&setup| setup == (node, tag))
        {
            // The SETUP was cancelled meanwhile.
            self.cancelled_setups.remove(index);
            self.send_to_node(now, node, Verb::Finish, tag, &[], Some(causes::NORMAL_RELEASE));
        }
    }

    /// Fails a SETUP whose answer is too long to be passed on unchanged, and releases its session at the node:
    /// encoded anew, a message can be longer than its sender wrote it.
    fn reject_oversized_answer(
        &mut self,
        now: Instant,
        subject: &Subject,
        session: SessionId,
        setup: SetupNumber,
    ) {
        let &Subject { node, tag, load, .. } = subject;
        warn!(%tag, "a node's answer exceeds the length of a message; releasing the session");
        self.send_to_node(now, node, Verb::Finish, tag, &[], Some(causes::NORMAL_RELEASE));
        let outcome = AttemptOutcome::Lost;
        self.inputs.push(Input::SetupFailed { session, setup, outcome, load });
        self.remove_if_finished(session);
    }

    /// Handles a release: it refuses a SETUP, or ends a playing session.
    fn node_released_session(&mut self, now: Instant, subject: &Subject, cause: Option<u16>) {
        let &Subject { upstream, node, tag, load, .. } = subject;
        let Some(cause) = cause else { return self.close_on_protocol_error(now, upstream) };
        let Some(session) = subject.session else {
            return self.keep_early_end(now, tag, EarlyEnd::Node { node, cause });
        };
        if let Some(setup) = subject.attempt {
            self.clear_attempt(session);
            let outcome = causes::setup_outcome(cause);
            self.inputs.push(Input::SetupFailed { session, setup, outcome, load });
            self.report_node_alive(node, outcome, true);
            self.remove_if_finished(session);
        } else if let Some(playing_since) = subject.playing_since {
            self.inputs.extend(load.map(|load| Input::NodeLoad { node, load }));
            let (outcome, notify_viewer) = causes::session_outcome(cause);
            let connection = self.upstreams.get(&upstream);
            let same_connection = connection.is_some_and(|c| c.created_at <= playing_since);
            self.end_session(now, session, outcome, notify_viewer);
            self.report_node_alive(node, outcome, same_connection);
        }
    }

    /// Tells the engine that the node keeps running if the node itself reported a session as lost, on a
    /// connection that is at least as old as the session.
    fn report_node_alive(&mut self, node: NodeId, outcome: AttemptOutcome, same_connection: bool) {
        if outcome == AttemptOutcome::Lost && same_connection {
            self.inputs.push(Input::NodeKeptRunning { node });
        }
    }

    fn node_answered_health_check(&mut self, subject: &Subject, passed: bool) {
        let &Subject { upstream, node, tag, load, .. } = subject;
        let check =
            self.upstreams.get_mut(&upstream).and_then(|connection| connection.health_checks.remove(&tag));
        match check {
            Some(Some(probe)) => {
                let load = passed.then(|| load.unwrap_or_default());
                self.inputs.push(Input::ProbeResult { probe, load });
            }
            // The gateway's own health checks bring the same load reports as the engine's probes.
            Some(None) if passed => {
                self.inputs.extend(load.map(|load| Input::NodeLoad { node, load }));
            }
            _ => {}
        }
    }

    /// Handles a report on a playing session or on its node.
    fn node_reported(&mut self, subject: &Subject, message: &Message) {
        let node = subject.node;
        let Some(session) = subject.session.filter(|_| subject.plays_here()) else { return };
        let Some(value) = message.opts.number("value") else { return };
        let input = match message.opts.get("note") {
            Some("d") => Input::NodeDelivery { node, share: value },
            Some("r") => Input::RungUnchanged { session, rung: Rung(value as u8) },
            Some("l") => {
                Input::NodeLoad { node, load: LoadReport { link: Some(value), ..LoadReport::default() } }
            }
            Some("u") => {
                Input::NodeLoad { node, load: LoadReport { uplink: Some(value), ..LoadReport::default() } }
            }
            _ => return,
        };
        self.inputs.push(input);
    }
}

/// Returns whether the message is the reply to a health check that did not pass. Its node may already have ended
/// with its sessions, so the reply is no sign of life: a new connection shows whether the node is still there.
fn is_failed_check(message: &Message) -> bool {
    message.verb == Verb::Echoed && message.cause != Some(1)
}

/// Parses a load report: values by the names that the settings give them, such as `x0:0.12;x1:0.4`. Unknown
/// names and malformed values are ignored.
fn parse_load(text: &str) -> LoadReport {
    let mut load = LoadReport::default();
    for (name, value) in text.split(';').filter_map(|pair| pair.split_once(':')) {
        let value = parse_finite(value);
        match ashglade_site::load_metric(name) {
            LoadMetric::Link => load.link = value,
            LoadMetric::Uplink => load.uplink = value,
            LoadMetric::Streams => load.streams = value,
            LoadMetric::Other => {}
        }
    }
    load
}
