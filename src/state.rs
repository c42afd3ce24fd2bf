//! The state that a director keeps between rounds. No decisions are made here.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::ids::{NodeId, SessionId, ZoneId};
use crate::interface::{DirectorConfig, LoadMetric, NodeInfo, RetryBudget, ServiceGroup, SessionRequest};
use crate::time::{Instant, Span};

/// The parameters of the policy, derived once from the configuration. Fields that bear the name of a field of
/// [`DirectorConfig`] have its meaning.
pub struct PolicyParams {
    pub zone: ZoneId,
    pub director_count: f64,
    /// The turns in which this director may send SETUPs to nodes in slow start, and the number of turns in a
    /// cycle.
    pub slow_start_turns: (Vec<usize>, f64),
    pub groups: Vec<GroupParams>,
    /// Utility of each rung.
    pub rung_utility: Vec<f64>,
    /// Rates of the lowest and of the middle rung, in kB/s.
    pub lowest_rate: f64,
    pub middle_rate: f64,
    /// Maximum number of streams of a node, by hardware model.
    max_streams: Vec<f64>,
    pub cell_count: u16,
    pub rack_count: usize,
    link_kb_per_s_per_weight: f64,
    /// Mean capacity of a rack's uplink in kB/s; 0 if unknown.
    pub uplink_kb_per_s: f64,
    pub live_join_fraction: f64,
    pub worst_group_weight: f64,
    /// Least demand on the link of a node that replies that it is full, over the link's capacity.
    pub full_link_demand: f64,
    pub report_delay: Span,
    pub load_metrics: Vec<LoadMetric>,
    /// Whether probes return load reports.
    pub may_probe: bool,
    /// Whether load reports arrive only in response to probes.
    pub probe_only: bool,
    /// Cost of one probe for each session, as a fraction of the total utility.
    pub probe_cost: f64,
    pub may_cancel: bool,
    pub max_retry_after: Option<Span>,
    pub max_setups_per_session: usize,
    pub retry_budget: Option<RetryBudget>,
    /// Maximum number of retries that this director may send to one node within a window: its part of a limit
    /// on all directors together.
    pub node_retry_limit: Option<(f64, Span)>,
    pub slow_start_initial_fraction: f64,
    pub slow_start_duration: Span,
    /// SETUPs per stream of its maximum that overload a node at full capacity within `overload_window`.
    pub overload_setups_per_stream: f64,
    pub overload_window: Span,
    /// The shortest start target of any group.
    pub shortest_start_target: Span,
    pub node_list_max_age: Option<Span>,
}

impl PolicyParams {
    /// Derives the parameters from the configuration.
    pub fn new(config: &DirectorConfig) -> PolicyParams {
        let mean_utility =
            config.groups.iter().map(|g| g.utility).sum::<f64>() / config.groups.len().max(1) as f64;
        let ladder = &config.ladder;
        let middle = ladder.len().saturating_sub(1) / 2;
        let marginal_utility = |r: usize| {
            let (rate, utility) = if r == 0 { (0.0, 0.0) } else { ladder[r - 1] };
            (ladder[r].1 - utility).max(1e-9) / (ladder[r].0 - rate).max(1e-9)
        };
        let marginal_cost = |r| ladder[middle].1.max(1e-9) / ladder[middle].0.max(1e-9) / marginal_utility(r);
        let top_rate =
            |g: &ServiceGroup| ladder.get(usize::from(g.top_rung.0)).map_or(0.0, |&(rate, _)| rate);
        let group_params = |g: &ServiceGroup| GroupParams {
            marginal_cost: (0..ladder.len()).map(marginal_cost).collect(),
            config: g.clone(),
            rates: config.ladder.iter().map(|&(rate, _)| rate * g.rate_scale).collect(),
            relative_utility: if mean_utility > 0.0 { g.utility / mean_utility } else { 1.0 },
            relative_rate: top_rate(g)
                / (config.groups.iter().map(top_rate).sum::<f64>() / config.groups.len() as f64).max(1e-9),
        };
        PolicyParams {
            zone: config.zone,
            director_count: config.director_count.max(1) as f64,
            slow_start_turns: (vec![config.director_index], config.director_count.max(1) as f64),
            node_retry_limit: None,
            groups: config.groups.iter().map(group_params).collect(),
            rung_utility: config.ladder.iter().map(|&(_, utility)| utility).collect(),
            lowest_rate: ladder.first().map_or(0.0, |&(rate, _)| rate),
            middle_rate: ladder.get(middle).map_or(0.0, |&(rate, _)| rate),
            max_streams: config.max_streams.clone(),
            cell_count: config.cell_count.max(1),
            rack_count: usize::from(config.rack_count.max(1)),
            link_kb_per_s_per_weight: config.link_kb_per_s_per_weight,
            uplink_kb_per_s: config.uplink_kb_per_s,
            live_join_fraction: config.live_join_fraction,
            worst_group_weight: config.worst_group_weight,
            full_link_demand: if config.full_link_demand > 0.0 { config.full_link_demand } else { 1.0 },
            report_delay: config.report_delay,
            load_metrics: config.load_metrics.clone(),
            may_probe: config.may_probe && !config.load_metrics.is_empty(),
            probe_only: config.probe_only,
            probe_cost: config.probe_cost,
            may_cancel: config.may_cancel,
            max_retry_after: config.max_retry_after,
            max_setups_per_session: config.max_setups_per_session,
            retry_budget: config.retry_budget,
            slow_start_initial_fraction: config.slow_start_initial_fraction,
            slow_start_duration: config.slow_start_duration,
            overload_setups_per_stream: config.overload_multiple
                * (config.overload_window / config.slow_start_duration),
            overload_window: config.overload_window,
            shortest_start_target: config
                .groups
                .iter()
                .map(|g| g.start_target)
                .min()
                .unwrap_or(Span::from_secs(1.0)),
            node_list_max_age: config.node_list_max_age,
        }
    }

    /// Returns the parameters of the session's service group.
    pub fn group_of(&self, session: &Session) -> &GroupParams {
        &self.groups[session.request.group.0]
    }

    /// Returns the highest rung of the ladder.
    pub fn top_rung(&self) -> u8 {
        (self.rung_utility.len().saturating_sub(1)).min(usize::from(u8::MAX)) as u8
    }

    /// Returns the highest rung at which the session may play.
    pub fn top_rung_of(&self, session: &Session) -> u8 {
        session.request.top_rung.0.min(self.group_of(session).config.top_rung.0)
    }

    /// Returns the total demand of the given sessions in kB/s. Viewers of one live stream share it.
    pub fn demand<'a>(&self, sessions: impl Iterator<Item = &'a Session>) -> f64 {
        let mut streams = BTreeSet::new();
        let mut demand = 0.0;
        for s in sessions {
            let group = self.group_of(s);
            let first =
                !group.config.live || streams.insert((s.node, s.request.title, s.request.group, s.rung));
            demand += group.rates[usize::from(s.rung)] * if first { 1.0 } else { self.live_join_fraction };
        }
        demand
    }
}

/// The parameters of a service group.
pub struct GroupParams {
    /// The group's configuration.
    pub config: ServiceGroup,
    /// Rate of each rung in kB/s.
    pub rates: Vec<f64>,
    /// By rung: the utility per kB/s of the middle rung, over that of the last step up to this rung. It grows
    /// as the step yields less utility.
    pub marginal_cost: Vec<f64>,
    /// Utility of the group over the mean of all groups.
    pub relative_utility: f64,
    /// Rate of the group's top rung over the mean of all groups, both before `rate_scale`.
    pub relative_rate: f64,
}

/// A session, from its request to its last outcome.
#[derive(Clone)]
pub struct Session {
    pub request: SessionRequest,
    pub requested_at: Instant,
    /// When the viewer's setup timeout expires.
    pub deadline: Instant,
    pub rung: u8,
    /// The rung that the sink was last given.
    pub announced_rung: Option<u8>,
    /// Row of the node that the session plays at or is being set up at.
    pub node: Option<usize>,
    /// Number of SETUPs sent so far.
    pub setup_count: u16,
    /// When the SETUP that is in flight was sent.
    pub setup_sent_at: Option<Instant>,
    pub playing: bool,
    /// The session has its final answer, and only an outcome is outstanding.
    pub answered: bool,
    /// Rows of the nodes at which a SETUP or the session has ended.
    pub tried_nodes: Vec<usize>,
    /// Whether nodes were probed for this session, and those whose result is outstanding.
    pub probed: bool,
    pub awaited_probes: Vec<usize>,
    /// Node and sending time of the first SETUP that may have run although it failed.
    pub uncertain_setup: Option<(usize, Instant)>,
    /// When the session was assigned to its node.
    pub assigned_at: Instant,
    /// The start of the time without a shortage that counts towards an upgrade.
    pub stable_since: Instant,
    pub rung_changed_at: Instant,
    /// Time without a shortage that an upgrade requires.
    pub quiet_period: Span,
}

impl Session {
    /// Creates a session that has no node yet.
    pub fn new(request: SessionRequest, now: Instant, rung: u8, quiet_period: Span) -> Session {
        Session {
            request,
            requested_at: now,
            deadline: now + request.setup_timeout,
            rung,
            announced_rung: None,
            node: None,
            setup_count: 0,
            setup_sent_at: None,
            playing: false,
            answered: false,
            tried_nodes: Vec::new(),
            probed: false,
            awaited_probes: Vec::new(),
            uncertain_setup: None,
            assigned_at: now,
            stable_since: now,
            rung_changed_at: Instant::LONG_AGO,
            quiet_period,
        }
    }

    /// Records that a SETUP is sent to node `i`.
    pub fn record_setup(&mut self, i: usize, now: Instant) {
        (self.node, self.assigned_at, self.setup_sent_at) = (Some(i), now, Some(now));
        self.setup_count += 1;
    }

    /// Sets the rung; returns whether it differs from the one that was last announced.
    pub fn set_rung(&mut self, rung: u8) -> bool {
        self.rung = rung;
        self.announced_rung.replace(rung) != Some(rung)
    }

    /// Returns whether the session holds a reference to row `i` of the node table.
    pub fn references_node(&self, i: usize) -> bool {
        let uncertain = self.uncertain_setup.is_some_and(|(first, _)| first == i);
        self.node == Some(i) || uncertain || self.tried_nodes.contains(&i) || self.awaited_probes.contains(&i)
    }

    /// Returns whether both sessions are of one title and one service group.
    pub fn same_title_and_group(&self, other: &Session) -> bool {
        self.request.title == other.request.title && self.request.group == other.request.group
    }
}

/// All sessions, with an index by node and the demand at each node, which are kept up to date.
#[derive(Default)]
pub struct SessionTable {
    sessions: BTreeMap<SessionId, Session>,
    /// By node: this director's sessions there, and their demand on its link in kB/s.
    by_node: Vec<BTreeSet<SessionId>>,
    demand: Vec<f64>,
}

impl SessionTable {
    /// Returns a session by its id.
    pub fn get(&self, id: SessionId) -> Option<&Session> {
        self.sessions.get(&id)
    }

    /// Returns all sessions in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (SessionId, &Session)> {
        self.sessions.iter().map(|(&id, s)| (id, s))
    }

    /// Returns this director's sessions at node `i`, those with a SETUP in flight included.
    pub fn at_node(&self, i: usize) -> impl Iterator<Item = (SessionId, &Session)> {
        self.by_node.get(i).into_iter().flatten().map(|id| (*id, &self.sessions[id]))
    }

    /// Returns the demand of this director's sessions on the link of node `i`, in kB/s.
    pub fn demand(&self, i: usize) -> f64 {
        self.demand.get(i).copied().unwrap_or(0.0)
    }

    /// Adds a session that has no node yet.
    pub fn insert(&mut self, id: SessionId, session: Session) {
        self.sessions.insert(id, session);
    }

    /// Removes a session and its demand.
    pub fn remove(&mut self, params: &PolicyParams, id: SessionId) -> Option<Session> {
        self.update(params, id, |s| s.node = None);
        self.sessions.remove(&id)
    }

    /// Changes a session and updates the index and the demand of its nodes. There is no other way to change
    /// one.
    pub fn update<T>(
        &mut self,
        params: &PolicyParams,
        id: SessionId,
        change: impl FnOnce(&mut Session) -> T,
    ) -> Option<T> {
        let s = self.sessions.get_mut(&id)?;
        let before = (s.node, s.rung);
        let result = change(s);
        let after = (s.node, s.rung);
        if before != after {
            if let Some(i) = before.0 {
                self.by_node[i].remove(&id);
                self.demand[i] = params.demand(self.at_node(i).map(|(_, s)| s));
            }
            if let Some(i) = after.0 {
                if i >= self.by_node.len() {
                    self.by_node.resize_with(i + 1, BTreeSet::new);
                    self.demand.resize(i + 1, 0.0);
                }
                self.by_node[i].insert(id);
                self.demand[i] = params.demand(self.at_node(i).map(|(_, s)| s));
            }
        }
        Some(result)
    }
}

/// Number of distinct times up to which an event window is exact, and number of parts of the window that are told
/// apart beyond it.
const WINDOW_RESOLUTION: usize = 4096;

/// Events that count as having occurred at the same time.
#[derive(Clone, Copy)]
struct EventGroup {
    at: Instant,
    events: u32,
}

/// The times of the events within a sliding window. However many events occur, its memory is bounded: beyond
/// [`WINDOW_RESOLUTION`] entries, events that follow each other closely count from the time of the first of them,
/// so that the window never counts an event for too long.
#[derive(Clone, Default)]
pub struct EventWindow(VecDeque<EventGroup>);

impl EventWindow {
    /// Records an event and forgets those before the window.
    pub fn record(&mut self, now: Instant, window: Span) {
        while self.0.front().is_some_and(|group| now - group.at > window) {
            self.0.pop_front();
        }
        let is_crowded = self.0.len() >= WINDOW_RESOLUTION;
        match self.0.back_mut() {
            Some(last) if is_crowded && now - last.at < window * (1.0 / WINDOW_RESOLUTION as f64) => {
                last.events = last.events.saturating_add(1);
            }
            _ => self.0.push_back(EventGroup { at: now, events: 1 }),
        }
    }

    /// Returns the number of events within the window that ends now.
    pub fn count(&self, now: Instant, window: Span) -> f64 {
        let recent = self.0.iter().filter(|group| now - group.at <= window);
        recent.map(|group| f64::from(group.events)).sum()
    }

    /// Returns the number of entries, at most twice [`WINDOW_RESOLUTION`] and one.
    pub fn entry_count(&self) -> usize {
        self.0.len()
    }
}

/// Recent events of this director: session requests, all SETUPs, and the retries among them.
#[derive(Default)]
pub struct RecentEvents {
    pub requests: EventWindow,
    pub setups: EventWindow,
    pub retries: EventWindow,
}

/// Declares a struct of parallel arrays, each with the value that it holds in a new row.
macro_rules! parallel_arrays {
    ($(#[$doc:meta])* $name:ident($($scalar:ident: $scalar_type:ty),*) {
        $($(#[$field_doc:meta])* $field:ident: $element:ty = $initial:expr,)*
    }) => {
        $(#[$doc])*
        #[derive(Default)]
        pub struct $name { $(pub $scalar: $scalar_type,)* $($(#[$field_doc])* pub $field: Vec<$element>,)* }

        impl $name {
            /// Appends a row with the initial values.
            pub fn push_row(&mut self) {
                $(self.$field.push($initial);)*
            }

            /// Resets row `i` to the initial values.
            pub fn reset_row(&mut self, i: usize) {
                $(self.$field[i] = $initial;)*
            }
        }
    };
}

/// An outage of a whole zone.
#[derive(Clone, Copy, Debug)]
pub struct ZoneOutage {
    /// When the zone failed, or when it recovered if `recovered` is set.
    pub since: Instant,
    pub recovered: bool,
}

parallel_arrays! {
    /// The media nodes by row, and the zones with an outage of the whole zone.
    NodeTable(rows: BTreeMap<NodeId, usize>, zone_outages: BTreeMap<ZoneId, ZoneOutage>) {
        id: NodeId = NodeId::default(),
        zone: ZoneId = ZoneId::default(),
        cell: u16 = 0,
        /// Maximum number of streams.
        max_streams: f64 = 0.0,
        ready: bool = false,
        /// Whether the list that is being read contains the node.
        listed: bool = false,
        /// Whether the node was reported as removed, so that its row may be reused.
        removed: bool = false,
        rack: usize = 0,
        /// Capacity of the link in kB/s.
        link: f64 = 0.0,
        /// Demand of other directors on the link in kB/s, and when it was measured.
        other_demand: f64 = 0.0,
        measured_at: Instant = Instant::LONG_AGO,
        /// Successful and all SETUP attempts, both with exponential decay up to `decayed_at`.
        successes: f64 = 0.0,
        attempts: f64 = 0.0,
        decayed_at: Instant = Instant::LONG_AGO,
        /// Last sign of life of any kind.
        heard_at: Instant = Instant::LONG_AGO,
        /// When the node last gave no answer, unless a session has started there since.
        unanswered_at: Option<Instant> = None,
        started_at: Instant = Instant::LONG_AGO,
        /// The latest start that the list confirms or that nothing contradicts; `started_at` may be a later
        /// estimate.
        confirmed_start: Instant = Instant::LONG_AGO,
        setups: EventWindow = EventWindow::default(),
        retries: EventWindow = EventWindow::default(),
        /// Whether other directors found the node failing.
        suspected: bool = false,
        /// Last report of short delivery, the share delivered, and the last downgrade of sessions on that
        /// account.
        short_at: Instant = Instant::LONG_AGO,
        delivered_share: f64 = 1.0,
        downgraded_at: Instant = Instant::LONG_AGO,
    }
}

impl NodeTable {
    /// Updates a node that the list reports as ready, and returns its row if it has restarted since the last
    /// update. A new node takes over the row of a removed one that no session references, so that the table
    /// doesn't grow without bound.
    pub fn update(
        &mut self,
        node: NodeId,
        info: NodeInfo,
        params: &PolicyParams,
        is_referenced: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        let started_at = info.started.unwrap_or(Instant::LONG_AGO);
        let i = self.rows.get(&node).copied().unwrap_or_else(|| {
            let free = (0..self.id.len()).find(|&i| self.removed[i] && !is_referenced(i));
            let i = free.unwrap_or(self.id.len());
            if free.is_some() {
                self.rows.remove(&self.id[i]);
                self.reset_row(i);
            } else {
                self.push_row();
            }
            self.rows.insert(node, i);
            (self.id[i], self.started_at[i], self.confirmed_start[i]) = (node, started_at, started_at);
            i
        });
        self.removed[i] = false;
        (self.ready[i], self.listed[i], self.zone[i]) = (true, true, info.zone);
        (self.cell[i], self.rack[i]) = (info.cell.0, usize::from(info.cell.0) % params.rack_count);
        self.link[i] = info.weight.max(0.0) * params.link_kb_per_s_per_weight;
        self.max_streams[i] = params.max_streams.get(usize::from(info.model.0)).copied().unwrap_or(1.0);
        let restarted = started_at > self.started_at[i];
        self.started_at[i] = self.started_at[i].max(started_at);
        self.confirmed_start[i] = self.confirmed_start[i].max(started_at);
        restarted.then_some(i)
    }

    /// Returns the number of ready nodes of the zone that gave no answer since the last sign of life of any
    /// of its nodes; 0 if all nodes are of one zone.
    pub fn unanswered_since_contact(&self, zone: ZoneId) -> usize {
        if self.zone.iter().all(|&other| other == zone) {
            return 0;
        }
        let nodes_in_zone = || (0..self.id.len()).filter(|&k| self.ready[k] && self.zone[k] == zone);
        let last_contact = nodes_in_zone().map(|k| self.heard_at[k]).max();
        nodes_in_zone().filter(|&k| self.unanswered_at[k] > last_contact).count()
    }

    /// Records a sign of life of node `i`, which ends an outage of its zone.
    pub fn record_contact(&mut self, i: usize, now: Instant) {
        self.heard_at[i] = now;
        if let Some(outage) = self.zone_outages.get_mut(&self.zone[i]).filter(|outage| !outage.recovered) {
            *outage = ZoneOutage { since: now, recovered: true };
        }
    }

    /// Returns the last outage of the zone of node `i`.
    pub fn zone_outage(&self, i: usize) -> Option<ZoneOutage> {
        self.zone_outages.get(&self.zone[i]).copied()
    }

    /// Returns whether the zone of node `i` has failed as a whole and has given no sign of life since.
    pub fn zone_is_down(&self, i: usize) -> bool {
        self.zone_outage(i).is_some_and(|outage| !outage.recovered && outage.since > Instant::LONG_AGO)
    }

    /// Adds the outcome of a SETUP attempt at node `i`, after multiplying the earlier outcomes by `decay`.
    pub fn record_outcome(&mut self, i: usize, success: bool, decay: f64, now: Instant) {
        self.attempts[i] = self.attempts[i] * decay + 1.0;
        self.successes[i] = self.successes[i] * decay + f64::from(u8::from(success));
        self.decayed_at[i] = now;
    }
}

parallel_arrays! {
    /// The racks.
    RackTable() {
        /// Estimated capacity of the uplink in kB/s, and when it was estimated.
        uplink_capacity: f64 = 0.0,
        estimated_at: Instant = Instant::LONG_AGO,
        /// Demand of other directors on the uplink in kB/s where load reports contain it, and when it was
        /// measured.
        other_demand: f64 = 0.0,
        measured_at: Instant = Instant::LONG_AGO,
    }
}

impl RackTable {
    /// Returns a table in which each uplink has the configured mean capacity.
    pub fn new(params: &PolicyParams) -> RackTable {
        let mut racks = RackTable::default();
        (0..params.rack_count).for_each(|_| racks.push_row());
        racks.uplink_capacity.fill(params.uplink_kb_per_s);
        racks
    }
}

#[cfg(test)]
#[path = "state_test.rs"]
mod tests;
