//! Decodes a batch into calls on its directors, and encodes their decisions.
//!
//! A batch can hold events for several directors, each identified by an instance number. A SELECT record sets
//! the instance for the records after it. A reply has the batch's index (`u32`), its own length in bytes
//! (`u32`), and the actions in the order in which they were decided, with a record before them that selects
//! the instance.

use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

use ashglade::ids::{
    CellId, GroupId, ModelId, NodeId, Rung, SessionId, SetupNumber, TimerId, TitleId, ZoneId,
};
use ashglade::interface::{AttemptOutcome, DecisionSink, NodeInfo, SessionRequest};
use ashglade::policy::{Director, Round};
use ashglade::time::{Instant, Span};

use crate::frames::{BATCH_HEADER_BYTES, FieldReader, FrameError, NODE_LIST_ENTRY_BYTES, ReplyWriter};
use crate::gossip::HealthGossip;

/// Maximum length of a message between directors; longer ones are cut off.
const MAX_MESSAGE_BYTES: usize = 256;

/// Runs the directors of a simulation.
#[derive(Default)]
pub struct DirectorHost {
    directors: BTreeMap<u16, Director>,
    /// Whether directors gossip about the health of nodes, if their site allows messages.
    gossip_enabled: bool,
    gossip_states: BTreeMap<u16, HealthGossip>,
    /// Node lists by number, as the bytes of their entries. They are kept from batch to batch.
    node_lists: BTreeMap<u8, Vec<u8>>,
}

/// An event for a director.
struct Event {
    /// Position in the frame, in bytes.
    offset: usize,
    /// The node list to which the event refers, if any. A copy, as a later record can replace the list.
    node_list: Option<Vec<u8>>,
}

/// One step of a director's processing of a batch.
enum Step {
    /// Starts a director, with the settings of the record at `offset`.
    Open { offset: usize },
    /// Ends a director.
    Close,
    /// Passes events to a director, in their order of arrival.
    Events(Vec<Event>),
}

impl DirectorHost {
    /// Creates a host without directors.
    pub fn new(gossip_enabled: bool) -> DirectorHost {
        DirectorHost { gossip_enabled, ..DirectorHost::default() }
    }

    /// Processes one batch and replaces `reply` by the whole reply. After an error, `reply` is unchanged.
    pub fn process_batch(&mut self, frame: &[u8], reply: &mut Vec<u8>) -> Result<(), FrameError> {
        let mut header = FieldReader::new(frame, 0);
        let index = header.u32()?;
        let clock = header.f64()?;
        if !clock.is_finite() {
            return Err(FrameError::new(4, format!("clock value {clock} is not finite")));
        }
        let now = Instant::from_ms(clock);
        let record_count = FieldReader::new(frame, 16).u32()?;
        let mut actions = ActionWriter::default();
        for (instance, step) in self.group_by_instance(frame, record_count)? {
            actions.instance = instance;
            actions.instance_selected = false;
            match step {
                Step::Open { offset } => {
                    let mut fields = FieldReader::new(frame, offset + 1);
                    let seed = fields.u64()?;
                    let settings_offset = fields.offset() as u64;
                    let settings = ashglade_site::parse(seed, fields.length_prefixed()?)
                        .map_err(|error| FrameError::new(settings_offset, error))?;
                    self.directors.insert(instance, Director::new(&settings.director, now));
                    self.gossip_states.remove(&instance);
                    if self.gossip_enabled
                        && settings.may_send_messages
                        && settings.director.director_count > 1
                    {
                        self.gossip_states.insert(instance, HealthGossip::new(&settings.director, now));
                    }
                }
                Step::Close => {
                    self.directors.remove(&instance);
                    self.gossip_states.remove(&instance);
                }
                Step::Events(events) => {
                    let director = self.directors.get_mut(&instance);
                    let offset = events.first().map_or(BATCH_HEADER_BYTES, |event| event.offset) as u64;
                    let director = director.ok_or_else(|| {
                        FrameError::new(offset, format!("event for instance {instance}, which is not open"))
                    })?;
                    let mut gossip = self.gossip_states.get_mut(&instance);
                    if let Some(gossip) = &mut gossip {
                        for event in &events {
                            apply_to_gossip(gossip, frame, event.offset, now)?;
                        }
                        gossip.update_suspected_nodes(now);
                    }
                    let apply_events = |round: &mut Round| {
                        if let Some(nodes) = gossip.as_mut().and_then(|gossip| gossip.take_update()) {
                            round.set_suspected_nodes(&nodes);
                        }
                        events.iter().try_for_each(|event| apply_event(round, frame, event))
                    };
                    match catch_unwind(AssertUnwindSafe(|| {
                        director.run_round(now, apply_events, &mut actions)
                    })) {
                        Ok(result) => result?,
                        Err(panic) => {
                            let message = panic.downcast_ref::<&str>().copied();
                            actions.director_failed(message.unwrap_or("the decision code failed"));
                        }
                    }
                    if let Some(gossip) = self.gossip_states.get_mut(&instance) {
                        gossip.send_pending(now, |to, message| actions.send_message(Some(to), message));
                    }
                }
            }
        }
        reply.clear();
        reply.extend_from_slice(&index.to_le_bytes());
        reply.extend_from_slice(&(8 + actions.reply.bytes.len() as u32).to_le_bytes());
        reply.extend_from_slice(&actions.reply.bytes);
        Ok(())
    }

    /// Groups the records into steps of their instances. The records of each instance keep their
    /// order of arrival.
    fn group_by_instance(&mut self, frame: &[u8], record_count: u32) -> Result<Vec<(u16, Step)>, FrameError> {
        let mut fields = FieldReader::new(frame, BATCH_HEADER_BYTES);
        let mut steps: Vec<(u16, Step)> = Vec::new();
        let mut last_step: BTreeMap<u16, usize> = BTreeMap::new();
        let mut instance = None;
        for _ in 0..record_count {
            let offset = fields.offset();
            let code = fields.u8()?;
            // SELECT
            if code == 8 {
                instance = Some(fields.u16()?);
                continue;
            }
            // Declaration of a node list
            if code == 14 {
                let list_number = fields.u8()?;
                let count = fields.u32()? as usize;
                let bytes = count
                    .checked_mul(NODE_LIST_ENTRY_BYTES)
                    .ok_or_else(|| fields.error("number of node list entries is out of range"))?;
                self.node_lists.insert(list_number, fields.bytes(bytes)?.to_vec());
                continue;
            }
            let node_list = skip_event(code, &mut fields, offset)?
                .and_then(|list_number| self.node_lists.get(&list_number).cloned());
            let Some(instance) = instance else {
                return Err(FrameError::new(offset as u64, "event before the first SELECT"));
            };
            let step = match code {
                5 => Step::Open { offset },
                3 => Step::Close,
                _ => {
                    let event = Event { offset, node_list };
                    match last_step.get(&instance).map(|&i| &mut steps[i].1) {
                        Some(Step::Events(events)) => {
                            events.push(event);
                            continue;
                        }
                        _ => Step::Events(vec![event]),
                    }
                }
            };
            last_step.insert(instance, steps.len());
            steps.push((instance, step));
        }
        if !fields.is_empty() {
            return Err(fields.error(format!("unexpected bytes after {record_count} records")));
        }
        Ok(steps)
    }
}

/// Skips the fields of an event. Returns the number of the node list to which it refers, if any.
fn skip_event(code: u8, fields: &mut FieldReader, offset: usize) -> Result<Option<u8>, FrameError> {
    let remaining_bytes = match code {
        // Message from another director
        1 => {
            fields.bytes(2)?;
            let length = fields.u16()?;
            length as usize
        }
        // Node list snapshot or update; kind 2 is the failure of the watch, which has no list
        2 => {
            fields.bytes(8)?;
            let list_number = fields.u8()?;
            let watch_failed = fields.u8()? == 2;
            return Ok((!watch_failed).then_some(list_number));
        }
        // End of the instance
        3 => 0,
        // End of a SETUP or of a session
        4 => {
            fields.bytes(27)?;
            fields.u8()? as usize * 4
        }
        // Start of the instance
        5 => {
            fields.bytes(8)?;
            fields.u32()? as usize
        }
        // Start of a session
        6 => 24,
        // Timer
        7 => 4,
        // Departure of a viewer
        9 => 8,
        // Report on a session or its node
        10 => 21,
        // Session request
        11 => 58,
        // Result of a probe
        12 => {
            fields.bytes(16)?;
            fields.u8()? as usize * 4
        }
        // Handover of a session that is already playing
        13 => 64,
        _ => return Err(FrameError::new(offset as u64, format!("unknown event code {code}"))),
    };
    fields.bytes(remaining_bytes)?;
    Ok(None)
}

/// Applies an event to the gossip state if the event is a message, or the start or end of a session.
fn apply_to_gossip(
    gossip: &mut HealthGossip,
    frame: &[u8],
    offset: usize,
    now: Instant,
) -> Result<(), FrameError> {
    let mut fields = FieldReader::new(frame, offset);
    match fields.u8()? {
        1 => {
            let (sender, length) = (fields.u16()?, fields.u16()?);
            gossip.receive(sender, fields.bytes(length.into())?, now);
        }
        4 => {
            let (session, _, node) = (SessionId(fields.u64()?), fields.u16()?, fields.node_id()?);
            if let Some(outcome) = attempt_outcome(fields.u16()?) {
                gossip.attempt_ended(session, node, outcome, now);
            }
        }
        6 => {
            let (session, _) = (SessionId(fields.u64()?), fields.u16()?);
            fields.f64()?;
            gossip.session_started(session, fields.node_id()?, now);
        }
        _ => {}
    }
    Ok(())
}

/// Applies an event to a director's round.
fn apply_event(round: &mut Round, frame: &[u8], event: &Event) -> Result<(), FrameError> {
    let mut fields = FieldReader::new(frame, event.offset);
    match fields.u8()? {
        1 => {} // Messages between directors are for `apply_to_gossip`.
        2 => {
            fields.bytes(9)?;
            let kind_offset = fields.offset() as u64;
            let kind = fields.u8()?;
            if kind == 2 {
                round.list_watch_failed();
                return Ok(());
            }
            let Some(node_list) = &event.node_list else {
                return Err(FrameError::new(event.offset as u64, "node list was not declared"));
            };
            match kind {
                0 | 4 => round.begin_list_snapshot(),
                3 => round.begin_list_update(),
                other => return Err(FrameError::new(kind_offset, format!("unknown node list kind {other}"))),
            }
            let mut entries = FieldReader::new(node_list, 0);
            while !entries.is_empty() {
                apply_list_entry(round, &mut entries)
                    .map_err(|error| FrameError::new(event.offset as u64, error))?;
            }
            round.finish_list();
        }
        4 => {
            let (session, setup, node) =
                (SessionId(fields.u64()?), SetupNumber(fields.u16()?), fields.node_id()?);
            let outcome_offset = fields.offset() as u64;
            let outcome = attempt_outcome(fields.u16()?)
                .ok_or_else(|| FrameError::new(outcome_offset, "unknown outcome"))?;
            fields.f64()?;
            let complete = fields.u8()? != 0;
            round.load_reported(node, &load_metrics(&mut fields)?);
            round.attempt_ended(session, setup, node, outcome, complete);
        }
        6 => {
            let (session, setup) = (SessionId(fields.u64()?), SetupNumber(fields.u16()?));
            fields.f64()?;
            let node = fields.node_id()?;
            round.session_started(session, setup, node);
        }
        7 => round.timer_fired(TimerId(fields.u32()?)),
        9 => round.viewer_left(SessionId(fields.u64()?)),
        10 => {
            let (session, _, node) = (SessionId(fields.u64()?), fields.u16()?, fields.node_id()?);
            let (kind, value) = (fields.u8()?, f64::from(fields.f32()?));
            match kind {
                1 => round.delivery_reported(node, value),
                2 => round.session_rung_reported(session, Rung(value as u8)),
                3 => round.link_demand_reported(node, value),
                4 => round.uplink_demand_reported(node, value),
                _ => {}
            }
        }
        11 => {
            let (session, setup_timeout) = (SessionId(fields.u64()?), Span::from_ms(fields.f64()?));
            fields.u8()?;
            let (top_rung, first_cell) = (fields.f32()?, fields.f32()?);
            fields.bytes(16)?;
            let (group, _tenant, title) =
                (GroupId(fields.u8()?.into()), fields.u32()?, TitleId(fields.u64()?));
            let cell_count = fields.f32()?;
            round.session_requested(
                session,
                session_request(group, title, setup_timeout, [top_rung, first_cell, cell_count]),
            );
        }
        12 => {
            let succeeded = fields.u16()? == 0;
            fields.f64()?;
            let node = fields.node_id()?;
            round.probe_finished(node, succeeded);
            round.load_reported(node, &load_metrics(&mut fields)?);
        }
        13 => {
            let (session, group, _tenant) =
                (SessionId(fields.u64()?), GroupId(fields.u8()?.into()), fields.u32()?);
            fields.u64()?;
            let (title, setup_timeout) = (TitleId(fields.u64()?), Span::from_ms(fields.f64()?));
            fields.f64()?;
            let (first_cell, cell_count, top_rung) = (fields.f32()?, fields.f32()?, fields.f32()?);
            fields.u8()?;
            let node = fields.node_id()?;
            round.session_handed_over(
                session,
                session_request(group, title, setup_timeout, [top_rung, first_cell, cell_count]),
                node,
            );
        }
        other => {
            return Err(FrameError::new(event.offset as u64, format!("unknown event code {other}")));
        }
    }
    Ok(())
}

fn session_request(
    group: GroupId,
    title: TitleId,
    setup_timeout: Span,
    [top_rung, first_cell, cell_count]: [f32; 3],
) -> SessionRequest {
    let (top_rung, first_cell, cell_count) =
        (Rung(top_rung as u8), CellId(first_cell as u16), cell_count as u16);
    SessionRequest { group, title, top_rung, first_cell, cell_count, setup_timeout }
}

/// Reads one entry of a node list and applies it to a director's round.
fn apply_list_entry(round: &mut Round, fields: &mut FieldReader) -> Result<(), String> {
    let truncated = |_| "node list entry is truncated".to_string();
    let node = fields.node_id().map_err(truncated)?;
    let (zone, model) = (ZoneId(fields.u8().map_err(truncated)?), ModelId(fields.u8().map_err(truncated)?));
    let cell = CellId(fields.u16().map_err(truncated)?);
    let health = fields.u8().map_err(truncated)?;
    let weight = f64::from(fields.f32().map_err(truncated)?);
    let started_ms = fields.f64().map_err(truncated)?;
    let started = (started_ms > 0.0).then(|| Instant::from_ms(started_ms));
    match health {
        0 => round.node_ready(node, NodeInfo { zone, model, cell, weight, started }),
        1 | 2 => round.node_draining(node),
        other => return Err(format!("unknown health {other} in a node list entry")),
    }
    Ok(())
}

/// Reads the values of a load report, in the order of the metrics in the settings.
fn load_metrics(fields: &mut FieldReader) -> Result<Vec<f64>, FrameError> {
    let count = fields.u8()?;
    (0..count).map(|_| fields.f32().map(f64::from)).collect()
}

/// Returns the outcome with a code on the wire, or `None` if the code is unknown.
fn attempt_outcome(code: u16) -> Option<AttemptOutcome> {
    Some(match code {
        0 => AttemptOutcome::Played,
        5 => AttemptOutcome::Fault,
        11 => AttemptOutcome::Full,
        104 => AttemptOutcome::Lost,
        110 => AttemptOutcome::Silent,
        111 => AttemptOutcome::Unreachable,
        114 => AttemptOutcome::Unsent,
        125 => AttemptOutcome::Cancelled,
        _ => return None,
    })
}

/// Encodes decisions as actions of a reply, in their order.
#[derive(Default)]
pub struct ActionWriter {
    pub reply: ReplyWriter,
    instance: u16,
    /// Whether the record that selects the instance has been written.
    instance_selected: bool,
}

impl ActionWriter {
    /// Reports that the decision code panicked. The simulator ends the run with this message.
    pub fn director_failed(&mut self, message: &str) {
        self.begin_action(74).put_length_prefixed(message.as_bytes(), usize::from(u16::MAX));
    }

    /// Starts an action. Before the first one, a record that selects the instance is written.
    fn begin_action(&mut self, code: u8) -> &mut ReplyWriter {
        if !self.instance_selected {
            self.instance_selected = true;
            self.reply.put(&[79]).put(&self.instance.to_le_bytes());
        }
        self.reply.put(&[code])
    }
}

impl DecisionSink for ActionWriter {
    fn send_setup(&mut self, session: SessionId, node: NodeId, deadline: Instant) {
        self.begin_action(65)
            .put(&session.0.to_le_bytes())
            .put_node_id(node)
            .put(&deadline.as_ms().to_le_bytes());
    }

    fn set_rung(&mut self, session: SessionId, rung: Rung) {
        self.begin_action(77).put(&session.0.to_le_bytes()).put(&[rung.0]);
    }

    fn reply_busy(&mut self, session: SessionId, retry_after: Option<Span>) {
        let retry_after_ms = retry_after.map_or(0.0, Span::as_ms);
        self.begin_action(66).put(&session.0.to_le_bytes()).put(&retry_after_ms.to_le_bytes());
    }

    fn tear_down(&mut self, session: SessionId) {
        self.begin_action(67).put(&session.0.to_le_bytes());
    }

    fn cancel_setup(&mut self, session: SessionId, setup: SetupNumber) {
        self.begin_action(68).put(&session.0.to_le_bytes()).put(&setup.0.to_le_bytes());
    }

    fn probe_node(&mut self, node: NodeId) {
        self.begin_action(70).put_node_id(node);
    }

    fn set_timer(&mut self, timer: TimerId, delay: Span) {
        self.begin_action(69).put(&timer.0.to_le_bytes()).put(&delay.as_ms().to_le_bytes());
    }

    fn watch_node_list(&mut self, subscribed: bool) {
        self.begin_action(75).put(&[u8::from(subscribed)]);
    }

    fn fetch_node_list(&mut self) {
        self.begin_action(76);
    }

    fn reconnect_viewer(&mut self, session: SessionId) {
        self.begin_action(78).put(&session.0.to_le_bytes());
    }

    fn close_idle_connections(&mut self, node: NodeId) {
        self.begin_action(71).put_node_id(node);
    }

    fn send_message(&mut self, director: Option<u16>, message: &[u8]) {
        self.begin_action(72)
            .put(&director.unwrap_or(u16::MAX).to_le_bytes())
            .put_length_prefixed(message, MAX_MESSAGE_BYTES);
    }

    fn log(&mut self, line: &str) {
        self.begin_action(73).put_length_prefixed(line.as_bytes(), usize::from(u16::MAX));
    }
}
