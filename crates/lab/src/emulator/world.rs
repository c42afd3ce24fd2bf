//! The event loop of the emulator: event queue, simulated clock and dispatch.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use ashglade::ids::{NodeId, SetupNumber};
use ashglade::interface::RetrySafety;
use ashglade::time::Instant;
use ashglade_discovery::{NodeEntry, NodeList, NodeState};
use ashglade_engine::{Input, SessionResponse};
use ashglade_settings::{Settings, Title};
use ashglade_shared::PeerMessage;

use super::director::SimulatedDirector;
use super::environment::{self, EnvironmentChange, FleetSize};
use super::nodes::{Fleet, SetupReply, StreamKey};
use super::peers::{self, PeerState};
use super::report::{Report, Sample};
use super::viewers::Viewer;
use crate::day::Day;
use crate::{arrivals, directors, play};

/// What happens at a point in simulated time. Viewers, directors and nodes are given by index; `process` is
/// the director's process that the event belongs to.
#[derive(Debug)]
pub(super) enum Event {
    /// The next viewer of the day arrives.
    ViewerArrives,
    /// A viewer sends a request, its first one or a retry.
    ViewerRequests { viewer: usize },
    /// The response reaches the viewer.
    ViewerAnswered { viewer: usize, attempt: u32, response: SessionResponse },
    /// The viewer's session or connection was lost.
    ViewerDisconnected { viewer: usize, attempt: u32 },
    /// The viewer stops waiting for a response.
    ViewerGivesUp { viewer: usize, attempt: u32 },
    /// The viewer has watched to the end.
    ViewingEnds { viewer: usize, attempt: u32 },
    /// An input for a director's engine arrives.
    DirectorInput { director: u16, process: u32, input: Input },
    /// A round of a director's engine is due.
    DirectorRound { director: u16, process: u32 },
    /// A SETUP arrives at a node.
    SetupArrives { key: StreamKey, process: u32, setup: SetupNumber, node: usize, rung: u8 },
    /// A node has finished handling a SETUP that it accepted.
    SetupHandled { key: StreamKey, process: u32, setup: SetupNumber, node: usize, node_process: u32 },
    /// A node learns that a stream has ended.
    StreamEnds { key: StreamKey, node: usize },
    /// A node learns that a stream changes to another rung.
    RungChanges { key: StreamKey, node: usize, rung: u8 },
    /// A scripted change of the environment takes effect.
    EnvironmentChanges(EnvironmentChange),
    /// The periodic tick of a director's peer state.
    PeerTick { director: u16, process: u32 },
    /// A message from one director arrives at another.
    PeerMessageArrives(PeerMessage),
    /// All directors receive an updated node list.
    ListUpdated { nodes: Vec<usize>, state: NodeState, started: Option<f64> },
    /// Another second of the day has passed.
    SecondPassed,
}

/// A scheduled event. Ordered by time; events of the same time run in the order in which they were scheduled.
pub(super) struct ScheduledEvent {
    /// In microseconds since the start of the day.
    at: u64,
    /// Position in the order of scheduling.
    sequence: u64,
    event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &ScheduledEvent) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// The whole state of an emulated day.
pub(super) struct World {
    /// Current simulated time, in microseconds since the start of the day.
    pub now_us: u64,
    event_queue: BinaryHeap<Reverse<ScheduledEvent>>,
    /// Number of events scheduled so far.
    scheduled_count: u64,
    pub settings: Settings,
    /// Titles in the order of the settings.
    pub titles: Vec<Title>,
    /// One-way latency of every message, in seconds.
    pub network_delay_s: f64,
    /// All directors, by index.
    pub directors: Vec<SimulatedDirector>,
    /// Network faults between directors.
    pub network_faults: peers::NetworkFaults,
    pub fleet: Fleet,
    /// Index of each node in the fleet, by its identifier.
    pub node_index: BTreeMap<NodeId, usize>,
    /// The node list as discovery last published it.
    pub list: NodeList,
    /// Additional delay of node list updates, in seconds.
    list_delay_s: f64,
    /// Seconds after a node was listed as draining or gone in which a SETUP may still arrive there.
    pub drain_grace_s: f64,
    pub viewers: Vec<Viewer>,
    /// Viewers that have not arrived yet, in reverse order of arrival.
    pub pending_arrivals: Vec<arrivals::Arrival>,
    pub report: Report,
    /// Figures of the current second.
    pub sample: Sample,
    /// Length of the day, in seconds.
    end_s: f64,
    /// Whether the day has ended, all viewers have left and no more will arrive.
    finished: bool,
}

/// Simulated duration of an engine round, in microseconds: a fixed part and a part for each input.
const ROUND_BASE_MICROS: u64 = 20;
const ROUND_PER_INPUT_MICROS: u64 = 20;

/// Plays the whole day. With `admission` false, the admission controller of the settings is disabled.
pub fn run(day: &Day, admission: bool) -> Result<Report, String> {
    if let Some(at) = day.fault.iter().position(|fault| !peers::is_supported(fault)) {
        return Err(format!(
            "fault[{at}]: the emulator supports only CUT and LOSS between directors at fixed times"
        ));
    }
    let mut world = World::new(day, admission)?;
    world.schedule_initial_events(day);
    while !world.finished
        && let Some(Reverse(ScheduledEvent { at, event, .. })) = world.event_queue.pop()
    {
        world.now_us = at;
        world.report.events += 1;
        world.handle_event(event);
    }
    Ok(world.into_report())
}

impl World {
    fn new(day: &Day, admission: bool) -> Result<World, String> {
        let count = day.directors.unwrap_or(1) as u16;
        let mut director_configs = Vec::new();
        let mut first_settings = None;
        for director in 0..count {
            // These addresses are placeholders: nothing is sent to them.
            let peers = (0..count).map(|peer| format!("127.0.0.1:{}", 1000 + peer)).collect();
            let text =
                directors::director_settings(day, director, "127.0.0.1:554", "127.0.0.1:80", Some(peers))?;
            let mut settings =
                ashglade_settings::parse_settings("headend", &text).map_err(|e| e.to_string())?;
            settings.admission = settings.admission.filter(|_| admission);
            director_configs.push((ashglade_director::engine_config(&settings), PeerState::new(&settings)));
            first_settings.get_or_insert(settings);
        }
        let settings = first_settings.ok_or("the day has no directors")?;
        let title_names = day.headend.iter().flat_map(|h| &h.title).filter_map(|t| t.name.as_ref());
        let titles = title_names.filter_map(|name| settings.titles.get(name)).cloned().collect();
        let (node_specs, entries) = play::nodes(day, &settings);
        // Each node gets a unique address, as identifiers derive from it; nothing is sent there.
        let loopback_address = |i: usize| [127, 1 + (i >> 16) as u8, (i >> 8) as u8, i as u8];
        let entries: Vec<NodeEntry> = entries
            .into_iter()
            .enumerate()
            .map(|(i, entry)| NodeEntry { address: (loopback_address(i), 554).into(), ..entry })
            .collect();
        let (uplinks, rung_rates, cold_pace) = play::shared_node_settings(&settings);
        let seed = day.seed.unwrap_or(0);
        let mut pending_arrivals = arrivals::draw(day, &settings);
        pending_arrivals.reverse();
        let groups = settings.group_names.iter();
        let report = Report {
            groups: groups
                .map(|name| super::GroupReport { name: name.clone(), ..Default::default() })
                .collect(),
            in_time_by_director: vec![0; director_configs.len()],
            ..Report::default()
        };
        Ok(World {
            now_us: 0,
            event_queue: BinaryHeap::new(),
            scheduled_count: 0,
            titles,
            network_delay_s: day.network_ms.unwrap_or(0.3) / 1e3,
            directors: director_configs
                .into_iter()
                .map(|(config, peer_state)| SimulatedDirector::new(config, peer_state))
                .collect(),
            network_faults: peers::NetworkFaults::of(day),
            fleet: Fleet::new(node_specs, uplinks, rung_rates, cold_pace, seed),
            node_index: entries.iter().enumerate().map(|(i, entry)| (entry.node_id(), i)).collect(),
            list: NodeList { generation: 1, entries },
            list_delay_s: 0.0,
            drain_grace_s: day.drain_grace_ms.unwrap_or(0.0) / 1e3,
            viewers: Vec::new(),
            pending_arrivals,
            report,
            sample: Sample::default(),
            end_s: day.seconds.unwrap_or(0.0),
            finished: false,
            settings,
        })
    }

    /// Starts all directors and schedules the troubles, the first arrival and the sampling.
    fn schedule_initial_events(&mut self, day: &Day) {
        for director in 0..self.directors.len() {
            self.start_director(director);
        }
        let lists = day.lists.unwrap_or_default();
        let fleet_size = FleetSize {
            nodes: self.fleet.nodes.len(),
            racks: self.fleet.uplinks.len(),
            directors: self.directors.len(),
            notice_s: lists.notice_ms.unwrap_or(0.0) / 1e3,
            silent_notice_s: lists.silent_notice_ms.unwrap_or(0.0) / 1e3,
        };
        for (at, change) in day.trouble.iter().flat_map(|t| environment::changes(t, &fleet_size)) {
            self.schedule_after(at, Event::EnvironmentChanges(change));
        }
        self.sample = self.empty_sample(0);
        self.schedule_after(1.0, Event::SecondPassed);
        self.schedule_next_arrival();
    }

    /// Current simulated time, in seconds since the start of the day.
    pub fn now_seconds(&self) -> f64 {
        self.now_us as f64 / 1e6
    }

    /// Current simulated time, as the engines have it.
    pub fn instant(&self) -> Instant {
        Instant::from_ms(self.now_us as f64 / 1e3)
    }

    /// Schedules an event `after` seconds from now.
    pub fn schedule_after(&mut self, after: f64, event: Event) {
        self.schedule_at(self.now_us + (after.max(0.0) * 1e6).round() as u64, event);
    }

    /// Schedules an event at an absolute time, in microseconds since the start of the day.
    pub fn schedule_at(&mut self, at: u64, event: Event) {
        self.scheduled_count += 1;
        self.event_queue.push(Reverse(ScheduledEvent { at, sequence: self.scheduled_count, event }));
    }

    /// Queues an input for a director and schedules a round for it as soon as the director is idle. Inputs
    /// for a process that no longer runs are dropped.
    pub fn deliver_input(&mut self, director: u16, process: u32, input: Input) {
        let Some(director_state) = self
            .directors
            .get_mut(usize::from(director))
            .filter(|director_state| director_state.process == process)
        else {
            return;
        };
        if director_state.engine.is_none() {
            return;
        }
        director_state.inbox.push(input);
        self.schedule_round(director, self.now_us);
    }

    /// Schedules the director's next round for `at` (microseconds) unless an earlier one is already
    /// scheduled.
    pub fn schedule_round(&mut self, director: u16, at: u64) {
        let director_state = &mut self.directors[usize::from(director)];
        let at = at.max(director_state.busy_until_us).max(self.now_us);
        if director_state.round_due_us.is_none_or(|due| at < due) {
            director_state.round_due_us = Some(at);
            let process = director_state.process;
            self.schedule_at(at, Event::DirectorRound { director, process });
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::ViewerArrives => self.viewer_arrives(),
            Event::ViewerRequests { viewer } => self.viewer_requests(viewer),
            Event::ViewerAnswered { viewer, attempt, response } => {
                self.viewer_answered(viewer, attempt, response)
            }
            Event::ViewerDisconnected { viewer, attempt } => self.viewer_disconnected(viewer, attempt),
            Event::ViewerGivesUp { viewer, attempt } => self.viewer_gives_up(viewer, attempt),
            Event::ViewingEnds { viewer, attempt } => self.viewing_ends(viewer, attempt),
            Event::DirectorInput { director, process, input } => self.deliver_input(director, process, input),
            Event::DirectorRound { director, process } => {
                let director_state = &mut self.directors[usize::from(director)];
                if director_state.process == process && director_state.round_due_us == Some(self.now_us) {
                    director_state.round_due_us = None;
                    if director_state.busy_until_us > self.now_us {
                        self.schedule_round(director, self.now_us);
                        return;
                    }
                    director_state.busy_until_us = self.now_us
                        + ROUND_BASE_MICROS
                        + ROUND_PER_INPUT_MICROS * director_state.inbox.len() as u64;
                    self.report.rounds += 1;
                    self.run_round(director);
                }
            }
            Event::SetupArrives { key, process, setup, node, rung } => {
                self.setup_arrives(key, process, setup, node, rung)
            }
            Event::SetupHandled { key, process, setup, node, node_process } => {
                let node_state = &self.fleet.nodes[node];
                if node_state.process == node_process && node_state.streams.contains_key(&key) {
                    // The other tracks are set up on the same connection and pass through the node's queue,
                    // too.
                    for _ in 1..self.track_count(key) {
                        self.fleet.handle_further_setup(self.now_seconds(), node);
                    }
                    let load = Some(self.fleet.load(node));
                    let input = Input::SetupAccepted { session: key.1, setup, load };
                    self.schedule_after(
                        self.network_delay_s,
                        Event::DirectorInput { director: key.0, process, input },
                    );
                }
            }
            Event::StreamEnds { key, node } => drop(self.fleet.end_stream(node, key)),
            Event::RungChanges { key, node, rung } => self.fleet.change_rung(node, key, rung),
            Event::EnvironmentChanges(change) => self.change_environment(change),
            Event::PeerTick { director, process } => self.peer_tick(director, process),
            Event::PeerMessageArrives(message) => self.peer_message_arrives(&message),
            Event::ListUpdated { nodes, state, started } => self.update_list(&nodes, state, started),
            Event::SecondPassed => self.record_second(),
        }
    }

    /// Number of tracks of the title that a stream plays.
    fn track_count(&self, (director, session_id): StreamKey) -> u8 {
        let session = self.directors[usize::from(director)].sessions.get(&session_id);
        session.map_or(1, |session| self.viewers[session.viewer].track_count())
    }

    /// Handles a SETUP at a node, and checks it against the rules.
    fn setup_arrives(&mut self, key: StreamKey, process: u32, setup: SetupNumber, node: usize, rung: u8) {
        let (director, session_id) = key;
        let director_state = &self.directors[usize::from(director)];
        // Otherwise the director has cancelled the SETUP or its process has ended, and the connection is
        // closed.
        let wanted = director_state.process == process
            && director_state
                .sessions
                .get(&session_id)
                .is_some_and(|session| session.pending_setup == Some((setup, Some(node))));
        let listed_at = director_state.leaving_since_s.get(&node).copied();
        let node_state = &self.fleet.nodes[node];
        let (is_up, hanging, node_process) = (node_state.up, node_state.faults.hang, node_state.process);
        if !wanted || (is_up && hanging) {
            return;
        }
        let delay_s = listed_at
            .map(|listed_at| self.now_seconds() - listed_at)
            .filter(|delay_s| *delay_s > self.drain_grace_s);
        if let Some(delay_s) = delay_s {
            self.record_violation(format!(
                "rule 3: a SETUP at node {node}, listed as leaving {delay_s:.3} s before"
            ));
        }
        let reply = match is_up {
            true => self.fleet.handle_setup(self.now_seconds(), node, key, rung),
            false => SetupReply::ConnectionReset,
        };
        let load = Some(self.fleet.load(node));
        let input = match reply {
            SetupReply::Accepted { done_at } => {
                let at = (done_at * 1e6).round() as u64;
                return self.schedule_at(
                    at.max(self.now_us),
                    Event::SetupHandled { key, process, setup, node, node_process },
                );
            }
            SetupReply::ReplyLost => return,
            SetupReply::Full => Input::SetupFailed {
                session: session_id,
                setup,
                outcome: ashglade::interface::AttemptOutcome::Full,
                load,
            },
            SetupReply::ErrorReply => {
                self.report.error_reply_times.push(self.now_seconds());
                Input::SetupFailed {
                    session: session_id,
                    setup,
                    outcome: ashglade::interface::AttemptOutcome::Fault,
                    load,
                }
            }
            SetupReply::ConnectionReset => Input::SetupFailed {
                session: session_id,
                setup,
                outcome: ashglade::interface::AttemptOutcome::Lost,
                load: None,
            },
            SetupReply::Overloaded => {
                self.report.overloaded_nodes += 1;
                self.record_violation(format!("rule 4: node {node} was overloaded while cold"));
                Input::SetupFailed {
                    session: session_id,
                    setup,
                    outcome: ashglade::interface::AttemptOutcome::Lost,
                    load: None,
                }
            }
        };
        self.schedule_after(self.network_delay_s, Event::DirectorInput { director, process, input });
    }

    /// Records a violation of one of the judge's rules.
    pub fn record_violation(&mut self, violation: String) {
        // Bounded: the first few show what is wrong, and the exact number of all is the judge's figure.
        if self.report.violations.len() < 1000 {
            let at = self.now_seconds();
            self.report.violations.push(format!("{at:.3} s: {violation}"));
        }
    }

    /// Whether a SETUP that may have been executed must not be retried for this group.
    pub fn is_fragile(&self, group: usize) -> bool {
        self.settings
            .director_config
            .groups
            .get(group)
            .is_some_and(|g| g.retry_safety == RetrySafety::Fragile)
    }

    /// Applies a scripted change of the environment.
    fn change_environment(&mut self, change: EnvironmentChange) {
        match change {
            EnvironmentChange::NodeFault(nodes, fault) => {
                nodes.iter().for_each(|&i| self.fleet.change_faults(i, |f| fault.apply(f)))
            }
            EnvironmentChange::UplinkSlowdown(racks, factor) => {
                racks.iter().for_each(|&r| {
                    if let Some(slowdown) = self.fleet.uplink_slowdowns.get_mut(r) {
                        *slowdown = factor;
                    }
                });
            }
            EnvironmentChange::StopNodes(nodes) => nodes.iter().for_each(|&i| self.stop_node(i)),
            EnvironmentChange::StartNodes(nodes) => {
                let now = self.now_seconds();
                nodes.iter().for_each(|&i| self.fleet.start(now, i));
            }
            EnvironmentChange::ListNodes(nodes, state, after) => {
                let started = (state == NodeState::Ready).then(|| self.now_seconds());
                self.schedule_after(after + self.list_delay_s, Event::ListUpdated { nodes, state, started });
            }
            EnvironmentChange::ListDelay(delay_s) => self.list_delay_s = delay_s,
            EnvironmentChange::KillDirectors(directors) => {
                directors.iter().for_each(|&d| self.kill_director(d))
            }
            EnvironmentChange::StartDirectors(directors) => {
                directors.iter().for_each(|&d| self.start_director(d))
            }
            EnvironmentChange::PauseDirectors(directors, span_s) => {
                let until = self.now_us + (span_s * 1e6) as u64;
                directors.iter().for_each(|&d| self.directors[d].busy_until_us = until);
            }
        }
    }

    /// Publishes a state of nodes to all directors.
    fn update_list(&mut self, nodes: &[usize], state: NodeState, started: Option<f64>) {
        for &i in nodes {
            let Some(entry) = self.list.entries.get_mut(i) else { continue };
            entry.state = state;
            if let Some(started) = started {
                entry.info.started = Some(Instant::from_ms((started * 1e3).floor()));
            }
        }
        self.list.generation += 1;
        let now = self.now_seconds();
        for director in 0..self.directors.len() {
            let director_state = &mut self.directors[director];
            for &i in nodes {
                match state {
                    NodeState::Ready => drop(director_state.leaving_since_s.remove(&i)),
                    _ => drop(director_state.leaving_since_s.entry(i).or_insert(now)),
                }
            }
            let (process, input) = (director_state.process, Input::DiscoverySnapshot(self.list.clone()));
            self.deliver_input(director as u16, process, input);
        }
    }

    /// A sample for a second in which nothing has happened yet.
    fn empty_sample(&self, second: u64) -> Sample {
        let zeros = vec![0; self.report.groups.len()];
        Sample {
            second,
            requests: zeros.clone(),
            in_time: zeros.clone(),
            busy_replies: zeros.clone(),
            retries: zeros.clone(),
            playing: zeros,
            link_utilization: (0.0, 0.0),
            concurrency_limits: Vec::new(),
        }
    }

    /// Reports the delivery of all playing sessions to their directors and closes the sample of the past
    /// second.
    fn record_second(&mut self) {
        let second = (self.now_seconds().round() as u64).max(1) - 1;
        let top_utility = self.settings.director_config.ladder.last().map_or(1.0, |&(_, utility)| utility);
        let shares: Vec<f64> = (0..self.fleet.nodes.len()).map(|i| self.fleet.delivered_share(i)).collect();
        let mut deliveries = Vec::new();
        for (director, director_state) in self.directors.iter().enumerate() {
            for (&session_id, session) in &director_state.sessions {
                let Some(node) = session.playing_on else { continue };
                let share = shares[node];
                deliveries.push((
                    director as u16,
                    director_state.process,
                    Input::SessionDelivery { session: session_id, share },
                ));
                let rung = self.settings.director_config.ladder.get(usize::from(session.rung));
                let group = &mut self.report.groups[session.group];
                group.watched_s += 1.0;
                group.quality_s += rung.map_or(0.0, |&(_, utility)| utility / top_utility) * share;
                self.sample.playing[session.group] += 1;
            }
        }
        for (director, process, input) in deliveries {
            self.deliver_input(director, process, input);
        }
        let utilizations: Vec<f64> =
            (0..self.fleet.nodes.len()).map(|i| self.fleet.link_utilization(i)).collect();
        let mean = utilizations.iter().sum::<f64>() / utilizations.len().max(1) as f64;
        self.sample.link_utilization = (mean, utilizations.iter().copied().fold(0.0, f64::max));
        let concurrency_limit =
            |director_state: &SimulatedDirector| Some(director_state.engine.as_ref()?.admission()?.limit());
        self.sample.concurrency_limits = self.directors.iter().map(concurrency_limit).collect();
        let next = self.empty_sample(second + 1);
        self.report.samples.push(std::mem::replace(&mut self.sample, next));
        let viewers_remain = !self.pending_arrivals.is_empty() || self.viewers.iter().any(Viewer::present);
        self.finished = !viewers_remain && self.now_seconds() >= self.end_s;
        self.schedule_after(1.0, Event::SecondPassed);
    }

    /// Adds the engines' counters and returns the report.
    fn into_report(mut self) -> Report {
        for director_state in &self.directors {
            if let Some(engine) = &director_state.engine {
                let tally = engine.tally();
                self.report.setups += tally.setups;
                if let Some(admission) = engine.admission() {
                    let retries = admission.status().retries;
                    let (reserved, returned, admitted) = &mut self.report.retry_slots;
                    (*reserved, *returned, *admitted) = (
                        *reserved + retries.slots_reserved,
                        *returned + retries.returned_in_slot,
                        *admitted + retries.admitted,
                    );
                }
                if tally.guarded + tally.doubled > 0 {
                    let (guarded, doubled) = (tally.guarded, tally.doubled);
                    let violation = format!(
                        "the final response guard answered {guarded} requests and held back {doubled} second SETUPs"
                    );
                    self.report.violations.push(violation);
                }
            }
        }
        let report = &mut self.report;
        let retries = report.samples.iter().map(|sample| sample.retries.iter().sum::<u64>());
        let retries_in_day: Vec<u64> = retries.take(self.end_s.ceil() as usize).collect();
        report.peak_retries = retries_in_day.iter().copied().max().unwrap_or(0);
        report.mean_retries = retries_in_day.iter().sum::<u64>() as f64 / retries_in_day.len().max(1) as f64;
        let total_utility = |count: fn(&super::GroupReport) -> u64| -> f64 {
            let groups = report.groups.iter().zip(&self.settings.director_config.groups);
            groups.map(|(group, settings)| count(group) as f64 * settings.utility).sum()
        };
        let requested_utility = total_utility(|g| g.viewers);
        report.service =
            if requested_utility > 0.0 { total_utility(|g| g.in_time) / requested_utility } else { 0.0 };
        self.report
    }
}
