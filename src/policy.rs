//! All decisions of a director: at which media node a session is set up, at which rung it plays, and when it
//! gets a busy reply. Call [`Director::new`] once with the configuration, then [`Director::run_round`] once
//! for each batch of events, with a closure that reports the events in order to the [`Round`]. Decisions go
//! straight to the [`DecisionSink`]. The sink and the configuration are defined in `src/interface.rs`.
//!
//! Where a comment refers to a rule by its number, it is one of those that the judge checks in
//! `crates/judge/src/rules.rs`.

use crate::ids::{NodeId, Rung, SessionId, SetupNumber, TimerId, ZoneId, uniform_hash};
use crate::interface::{
    AttemptOutcome, DecisionSink, DirectorConfig, LoadMetric, NodeInfo, RetryBudget, RetrySafety, RetryScope,
    SessionRequest,
};
use crate::state::{
    GroupParams, NodeTable, PolicyParams, RackTable, RecentEvents, Session, SessionTable, ZoneOutage,
};
use crate::time::{Instant, Span, decay_factor};

/// Weights of a node's score: being in the director's own zone, the success rate of SETUPs, and free
/// capacity.
const ZONE_WEIGHT: f64 = 0.5;
const SUCCESS_WEIGHT: f64 = 1.0;
const FREE_CAPACITY_WEIGHT: f64 = 3.0;
/// Upper bound of the random number that is added to a score, so that nodes with nearly equal scores are
/// chosen at random.
const SCORE_JITTER: f64 = 0.2;
/// Half-life of the outcomes of SETUP attempts in a node's success rate, in seconds.
const SUCCESS_HALF_LIFE_SECONDS: f64 = 30.0;
/// Half-life of load reports and of estimates of an uplink's capacity, in seconds. As they age, the average
/// over the fleet replaces them.
const REPORT_HALF_LIFE_SECONDS: f64 = 5.0;
/// Factor on a rung's rate when it is checked against the available capacity.
const RATE_HEADROOM_FACTOR: f64 = 1.1;
/// Exponent of a rung's marginal cost in the additional headroom that it needs at a node without recent
/// reports.
const UNREPORTED_HEADROOM_EXPONENT: f64 = 0.5;
/// Bounds of the time without a shortage that an upgrade requires, in seconds; drawn at random for each
/// session.
const QUIET_PERIOD_SECONDS: (f64, f64) = (20.0, 30.0);
/// Minimum time between two rung changes of a session, in seconds.
const RUNG_CHANGE_INTERVAL_SECONDS: f64 = 60.0;
/// Fraction of a node's other sessions that are expected to upgrade on account of the same load report.
const CONCURRENT_UPGRADE_FRACTION: f64 = 0.3;
/// Delivery is short if a session receives less than this fraction of its rate.
const FULL_DELIVERY_SHARE: f64 = 0.98;
/// Interval of the reports of the delivered share, in seconds.
const DELIVERY_REPORT_INTERVAL_SECONDS: f64 = 1.0;
/// Least estimate of an uplink's capacity, as a fraction of its mean.
const MIN_UPLINK_FRACTION: f64 = 0.25;
/// Maximum fraction of a link's free capacity for one SETUP; the rest is left to the viewers that arrive
/// next.
const MAX_LINK_FRACTION: f64 = 0.45;
/// Maximum fraction of an uplink's free capacity for one SETUP, over an equal part for each node of the rack.
const MAX_UPLINK_FRACTION: f64 = 0.9;
/// Number of SETUPs that arrive at a link before a load report can show them, for each session at the middle
/// rate that the link carries.
const UNREPORTED_SETUPS_PER_SESSION: f64 = 0.02;
/// Exponent of a group's relative rate in its share of capacity, for each unit of the weight of the
/// worst-served group in the objective.
const RELATIVE_RATE_EXPONENT: f64 = 2.0;
/// Capacity that one session may claim, as a fraction of an equal part of the fleet's capacity, and at most
/// over its part of a node's free capacity.
const EQUAL_PART_FRACTION: f64 = 0.9;
const MAX_EQUAL_PART_RATIO: f64 = 2.0;
/// Maximum load that is assumed of a node without a recent report.
const MAX_ASSUMED_LOAD: f64 = 0.9;
/// Minimum probability that a node sends a report. Nodes report in proportion to their load, so that the
/// average weights each report by the inverse.
const MIN_REPORT_PROBABILITY: f64 = 0.25;
/// Maximum estimate of the demand on a link, over its capacity.
const MAX_LINK_DEMAND: f64 = 2.0;
/// The number of nodes of a zone that fail to answer, without a sign of life of any other in between, after
/// which the whole zone counts as failed.
const ZONE_FAILURE_NODES: usize = 3;
/// Fraction of the SETUPs that a node in slow start can take that all directors together may use.
const SLOW_START_BUDGET_FRACTION: f64 = 0.8;
/// Timeout of an attempt that may be followed by a retry: a fraction of the time left to the start target,
/// but at least this fraction of the shortest start target.
const ATTEMPT_TIMEOUT_FRACTION: f64 = 0.5;
const MIN_ATTEMPT_TIMEOUT_FRACTION: f64 = 0.25;
/// The retry-after of a busy reply, over the longest possible one.
const RETRY_AFTER_FRACTION: f64 = 0.5;
/// Period of the timer that checks playing sessions, over the shortest start target.
const TIMER_PERIOD_FRACTION: f64 = 0.5;
/// A list of nodes that can't be watched is requested again after this fraction of its maximum age.
const LIST_REFRESH_FRACTION: f64 = 0.25;
/// Deducted from the score of a node that other directors found failing; larger than any difference between
/// scores.
const SUSPECTED_NODE_PENALTY: f64 = 100.0;
/// Maximum cost of probes as a fraction of the total utility, where load reports come from probes alone and
/// where SETUP replies contain them too, and the maximum number of nodes that are probed for one session.
const PROBE_ONLY_BUDGET: f64 = 0.03;
const PROBE_BUDGET: f64 = 0.01;
const MAX_PROBES: f64 = 2.0;
/// A session doesn't wait for probes if its setup timeout expires within this multiple of the shortest start
/// target.
const MIN_PROBE_TIME_FACTOR: f64 = 2.0;

/// The decision maker of one director process.
pub struct Director {
    now: Instant,
    started_at: Instant,
    rng: oorandom::Rand64,
    params: PolicyParams,
    nodes: NodeTable,
    racks: RackTable,
    sessions: SessionTable,
    /// Sessions that need a decision at the end of the round.
    pending: Vec<SessionId>,
    recent: RecentEvents,
    list_requested_at: Instant,
    watches_list: bool,
    /// Whether sessions that already played were handed over at the start.
    inherited_sessions: bool,
}

/// An estimate of the load of the whole fleet.
struct FleetLoad {
    /// By node: demand on its link in kB/s.
    link_demand: Vec<f64>,
    /// By rack: demand on its uplink in kB/s, and the number of its ready nodes, at least 1.
    uplink_demand: Vec<f64>,
    rack_nodes: Vec<f64>,
    /// By rack: how recent its load reports are, from 0 to 1.
    freshness: Vec<f64>,
    /// Mean rate of this director's sessions, and an equal part of the fleet's capacity for each session, in
    /// kB/s.
    mean_rate: f64,
    equal_part: f64,
}

/// One round of a director. Its methods take the events of the round, in order.
pub struct Round<'a> {
    director: &'a mut Director,
    sink: &'a mut dyn DecisionSink,
}

impl Director {
    /// Creates a director that knows no nodes and no sessions.
    pub fn new(config: &DirectorConfig, now: Instant) -> Director {
        let params = PolicyParams::new(config);
        Director {
            now,
            started_at: now,
            rng: oorandom::Rand64::new(config.seed.into()),
            racks: RackTable::new(&params),
            params,
            nodes: NodeTable::default(),
            sessions: SessionTable::default(),
            pending: Vec::new(),
            recent: RecentEvents::default(),
            list_requested_at: now,
            watches_list: false,
            inherited_sessions: false,
        }
    }

    /// Takes all events of a round from `report_events`, then makes the decisions. Returns what the closure
    /// returns.
    pub fn run_round<T>(
        &mut self,
        now: Instant,
        report_events: impl FnOnce(&mut Round) -> T,
        sink: &mut dyn DecisionSink,
    ) -> T {
        let first = self.now == self.started_at && self.nodes.id.is_empty();
        self.now = now;
        let result = report_events(&mut Round { director: self, sink: &mut *sink });
        if first {
            // Without inherited sessions, the director can't tell how long it was down, and its list is no
            // evidence that a node has been running for long. Each node is assumed to have started now,
            // except those that the list reports to be in slow start, whose start is known.
            self.inherited_sessions = self.sessions.iter().any(|(_, s)| s.playing);
            for i in 0..self.nodes.id.len() {
                if !self.inherited_sessions && self.slow_start_factor(self.nodes.started_at[i]) >= 1.0 {
                    (self.nodes.started_at[i], self.nodes.confirmed_start[i]) = (now, now);
                }
            }
            // Without inherited sessions, or with several but none in its own zone, the director may have
            // been down because its whole zone was.
            let zones: Vec<ZoneId> =
                self.sessions.iter().filter_map(|(_, s)| Some(self.nodes.zone[s.node?])).collect();
            let (own_zone, too_few) = (self.params.zone, 1..ZONE_FAILURE_NODES);
            let other_zones = self.nodes.zone.iter().any(|&zone| zone != own_zone);
            if other_zones && !too_few.contains(&zones.len()) && !zones.contains(&own_zone) {
                self.nodes
                    .zone_outages
                    .insert(own_zone, ZoneOutage { since: Instant::LONG_AGO, recovered: false });
            }
            if self.params.node_list_max_age.is_some() {
                sink.watch_node_list(true);
            }
            sink.set_timer(TimerId(0), self.params.shortest_start_target * TIMER_PERIOD_FRACTION);
        }
        for id in std::mem::take(&mut self.pending) {
            self.place_session(id, sink);
        }
        result
    }

    // Capacity

    /// Returns the demand at node `i` of this director's sessions that were assigned to it by `latest`, in
    /// kB/s.
    fn demand_assigned_by(&self, latest: Instant, i: usize) -> f64 {
        self.params.demand(self.sessions.at_node(i).map(|(_, s)| s).filter(|s| s.assigned_at <= latest))
    }

    /// Returns how recent the last load report of node `i` is, from 0 to 1.
    fn report_freshness(&self, i: usize) -> f64 {
        decay_factor(self.now - self.nodes.measured_at[i], REPORT_HALF_LIFE_SECONDS)
    }

    fn nodes_in_rack(&self, rack: usize) -> impl Iterator<Item = usize> {
        (0..self.nodes.id.len()).filter(move |&k| self.nodes.rack[k] == rack)
    }

    /// Returns the estimated capacity of the uplink in kB/s: that of the last shortage, drifting back to the
    /// mean.
    fn uplink_capacity(&self, rack: usize) -> f64 {
        let freshness = decay_factor(self.now - self.racks.estimated_at[rack], REPORT_HALF_LIFE_SECONDS);
        self.params.uplink_kb_per_s
            + (self.racks.uplink_capacity[rack] - self.params.uplink_kb_per_s) * freshness
    }

    /// Estimates the load of the fleet. The estimate is valid until a session changes or an event arrives.
    fn fleet_load(&self) -> FleetLoad {
        let nodes = &self.nodes;
        let freshness: Vec<f64> = nodes
            .measured_at
            .iter()
            .map(|&at| decay_factor(self.now - at, REPORT_HALF_LIFE_SECONDS))
            .collect();
        // By rack: demand on its links, own demand, number of ready nodes, sum of the freshness of their
        // reports.
        let mut racks = vec![(0.0, 0.0, 0.0, 0.0); self.racks.uplink_capacity.len()];
        let ready: Vec<usize> =
            (0..nodes.id.len()).filter(|&i| nodes.ready[i] && !nodes.zone_is_down(i)).collect();
        ready.iter().for_each(|&i| racks[nodes.rack[i]].2 += 1.0);
        // The capacity of a node is that of its link, or its part of the uplink where that is less.
        let uplink_part =
            |i: usize| self.uplink_capacity(nodes.rack[i]) / f64::max(racks[nodes.rack[i]].2, 1.0);
        let uplink_known = self.params.uplink_kb_per_s > 0.0;
        let capacity: Vec<f64> = (0..nodes.id.len())
            .map(|i| if uplink_known { uplink_part(i).min(nodes.link[i]) } else { nodes.link[i] })
            .collect();
        // The load of the fleet is the average over recent reports, and over the own demand times the number
        // of directors, which counts as many reports as there are nodes for each director. Reports come from
        // where sessions are set up, so that fuller nodes report more often; each report counts less
        // accordingly.
        let (own, total) =
            ready.iter().fold((0.0, 0.0), |(a, b), &i| (a + self.sessions.demand(i), b + capacity[i]));
        let weight = ready.len() as f64 / self.params.director_count;
        // A director that starts without sessions has no demand of its own at first, which says nothing of
        // the fleet. Until sessions have had time to arrive, the fleet is assumed to be full. Guards against
        // many viewers that come back at once and all play at the highest rungs.
        let settled = if self.inherited_sessions {
            1.0
        } else {
            ((self.now - self.started_at) / Span::from_secs(QUIET_PERIOD_SECONDS.0)).min(1.0)
        };
        let expected = (own * self.params.director_count / f64::max(total, 1.0)).min(1.0) * settled
            + MAX_ASSUMED_LOAD * (1.0 - settled);
        let (mut sum, mut weights) = (expected * weight, weight);
        for &i in &ready {
            let load = (self.sessions.demand(i) + nodes.other_demand[i]) / capacity[i].max(1.0);
            let probability =
                if self.params.probe_only { 1.0 } else { load.clamp(MIN_REPORT_PROBABILITY, 1.0) };
            sum += load * freshness[i] / probability;
            weights += freshness[i] / probability;
            racks[nodes.rack[i]].3 += freshness[i];
        }
        // Since the reports were made, each other director is assumed to have sent as many SETUPs as this
        // one, less one, which may be chance.
        let window = self.params.report_delay.min(self.params.overload_window);
        let recent_setups = (self.recent.setups.count(self.now, window) - 1.0).max(0.0);
        let surge =
            recent_setups * (self.params.director_count - 1.0) * self.params.lowest_rate / total.max(1.0);
        let average_load = sum / weights.max(1e-9) + surge;
        // The demand on a link is the own one plus that of other directors by the last report. As the report
        // ages, the average over the fleet replaces it, or zero if the node drains or is gone.
        let others_load = average_load.min(MAX_ASSUMED_LOAD) * (1.0 - 1.0 / self.params.director_count);
        let unreported =
            |i: usize| if nodes.ready[i] { others_load * (1.0 - freshness[i]) + surge } else { 0.0 };
        let link_demand = |i: usize| {
            self.sessions.demand(i) + nodes.other_demand[i] * freshness[i] + unreported(i) * capacity[i]
        };
        let link_demand: Vec<f64> = (0..nodes.id.len()).map(link_demand).collect();
        for i in 0..nodes.id.len() {
            racks[nodes.rack[i]].0 += link_demand[i].min(nodes.link[i]);
            racks[nodes.rack[i]].1 += self.sessions.demand(i);
        }
        let rack_freshness =
            |rack: usize| decay_factor(self.now - self.racks.measured_at[rack], REPORT_HALF_LIFE_SECONDS);
        let uplink_demand = racks.iter().enumerate().map(|(rack, &(links, own, ..))| {
            (own + self.racks.other_demand[rack]) * rack_freshness(rack)
                + links * (1.0 - rack_freshness(rack))
        });
        let uplink_demand = uplink_demand.collect();
        let session_count = self.sessions.iter().filter(|(_, s)| s.node.is_some()).count() as f64;
        let mean_rate = if session_count > 0.0 { own / session_count } else { self.params.middle_rate };
        let rack_nodes: Vec<f64> = racks.iter().map(|r| f64::max(r.2, 1.0)).collect();
        let freshness =
            (0..racks.len()).map(|rack| rack_freshness(rack).max(racks[rack].3 / rack_nodes[rack])).collect();
        FleetLoad {
            link_demand,
            uplink_demand,
            rack_nodes,
            freshness,
            mean_rate,
            equal_part: EQUAL_PART_FRACTION * mean_rate / average_load.max(1e-3),
        }
    }

    /// Returns the free capacity of the link of node `i` and of its rack's uplink, in kB/s. That of the
    /// uplink is infinite if its capacity is unknown.
    fn free_capacity(&self, load: &FleetLoad, i: usize) -> (f64, f64) {
        let rack = self.nodes.rack[i];
        // After a node gave no answer, the capacity assumed of its link rises with time, so that the node is
        // tried again. The number of SETUPs that it may get stays at its minimum: see `slow_start_permits`.
        let factor = self.slow_start_factor(self.nodes.unanswered_at[i].unwrap_or(self.nodes.started_at[i]));
        let link = self.nodes.link[i] * factor - load.link_demand[i];
        let uplink_known = self.params.uplink_kb_per_s > 0.0;
        (
            link,
            if uplink_known { self.uplink_capacity(rack) - load.uplink_demand[rack] } else { f64::INFINITY },
        )
    }

    /// Returns the capacity in kB/s that one session may claim at node `i`: a part of the free capacity, or
    /// an equal part of the whole fleet's capacity where that is more and still leaves some free.
    fn session_allowance(&self, load: &FleetLoad, i: usize, weight: f64) -> f64 {
        let (link, uplink) = self.free_capacity(load, i);
        let rack_nodes = load.rack_nodes[self.nodes.rack[i]];
        // The larger a link, the more SETUPs arrive before a report can show them. Guards against all
        // directors of a large fleet claiming the same small free part of a large link at once.
        let crowding = |capacity: f64| {
            1.0 / (1.0 + UNREPORTED_SETUPS_PER_SESSION * capacity / self.params.middle_rate.max(1.0))
        };
        let link_fraction = MAX_LINK_FRACTION.min(crowding(self.nodes.link[i]));
        let uplink_fraction = (MAX_UPLINK_FRACTION / rack_nodes).min(crowding(self.params.uplink_kb_per_s));
        let part = (link * link_fraction).min(uplink * uplink_fraction);
        part.max(load.equal_part.min(part * MAX_EQUAL_PART_RATIO)) * weight
    }

    /// Returns the weight of a session of the group in the allocation of capacity: it grows with the group's
    /// utility, and with the rate of its top rung as far as the objective depends on the worst-served group.
    /// Guards against a group that is fully served at half the rate taking the capacity of one that needs
    /// twice as much.
    fn allocation_weight(&self, group: &GroupParams) -> f64 {
        group.relative_utility.sqrt()
            * group.relative_rate.powf(self.params.worst_group_weight * RELATIVE_RATE_EXPONENT)
    }

    /// Returns the highest rung that fits node `i`, or none if not even the lowest does.
    fn highest_fitting_rung(&self, load: &FleetLoad, session: &Session, i: usize) -> Option<u8> {
        let group = self.params.group_of(session);
        let (link, uplink) = self.free_capacity(load, i);
        let top = self.params.top_rung_of(session);
        let floor = group.config.floor_rung.0;
        if group.rates[usize::from(floor)] * RATE_HEADROOM_FACTOR > link.min(uplink) {
            return None;
        }
        // A node without recent reports may be fuller than most: a rung with little additional utility for
        // its rate needs more headroom there.
        let unreported = 1.0 - self.report_freshness(i).min(load.freshness[self.nodes.rack[i]]);
        // Viewers of a live stream share it: where a session of this director plays it at the same rung, a
        // further one adds only a fraction of its rate.
        let joins_stream = |r: usize| {
            let same_stream =
                |o: &Session| o.playing && o.same_title_and_group(session) && usize::from(o.rung) == r;
            group.config.live && self.sessions.at_node(i).any(|(_, o)| same_stream(o))
        };
        let required = |r: usize| {
            let fraction = if joins_stream(r) { self.params.live_join_fraction } else { 1.0 };
            group.rates[r]
                * fraction
                * RATE_HEADROOM_FACTOR
                * group.marginal_cost[r].powf(unreported * UNREPORTED_HEADROOM_EXPONENT)
        };
        let allowance = self.session_allowance(load, i, self.allocation_weight(group));
        (floor..=top).rev().find(|&r| r == floor || required(usize::from(r)) <= allowance)
    }

    // Health and slow start

    /// Returns the fraction of its capacity that a node has reached if it started at `start`.
    fn slow_start_factor(&self, start: Instant) -> f64 {
        let progress = (self.now - start) / self.params.slow_start_duration;
        (self.params.slow_start_initial_fraction + (1.0 - self.params.slow_start_initial_fraction) * progress)
            .min(1.0)
    }

    /// Returns whether this director may send a SETUP to node `i` as far as slow start is concerned (rule 4):
    /// it has an equal part of the SETUPs that the node can take within the overload window. Where that is
    /// less than one, directors take turns by the clock. But where a node counts as in slow start only
    /// because this director has started, its equal part of the SETUPs that all nodes can take goes to
    /// whichever node is chosen first, at most one to each.
    fn slow_start_permits(&self, i: usize) -> bool {
        let assumed_start =
            self.nodes.unanswered_at[i].is_none() && self.nodes.started_at[i] == self.started_at;
        let factor = self.slow_start_factor(if self.nodes.unanswered_at[i].is_some() {
            self.now
        } else {
            self.nodes.started_at[i]
        });
        if factor >= 1.0 {
            return true;
        }
        // This director may have restarted and forgotten what it sent: for a node that is known to be in slow
        // start, its part of the current window may be used up.
        let known_start = self.nodes.started_at[i] != self.started_at
            && self.slow_start_factor(self.nodes.started_at[i]) < 1.0;
        if known_start && self.now - self.started_at < self.params.overload_window {
            return false;
        }
        let budget = self.nodes.max_streams[i]
            * self.params.overload_setups_per_stream
            * factor
            * SLOW_START_BUDGET_FRACTION;
        let (turns, turn_count) = &self.params.slow_start_turns;
        let (window, own_part) = (self.params.overload_window, budget * turns.len() as f64 / turn_count);
        let sent = self.nodes.setups[i].count(self.now, window);
        let fleet_part = own_part * self.nodes.ready.iter().filter(|&&ready| ready).count() as f64;
        if own_part >= 1.0 || (assumed_start && fleet_part >= 1.0) {
            return sent < own_part.floor().max(1.0)
                && (own_part >= 1.0 || self.recent.setups.count(self.now, window) < fleet_part);
        }
        // Turns are taken in batches of half the budget, as it was at the start of the batch. A batch lasts
        // one window and each turn permits one SETUP, so that no window overlaps more than two batches. If
        // the budget is below two, a batch is a single turn followed by a window without one. Each node
        // starts the cycle elsewhere.
        let windows = self.now.as_ms() / window.as_ms().max(1.0);
        let progress = (1.0 - self.params.slow_start_initial_fraction)
            * (window / self.params.slow_start_duration)
            * windows.fract();
        let batch_budget = budget * (factor - progress).max(self.params.slow_start_initial_fraction) / factor;
        let batch = if batch_budget >= 2.0 { (batch_budget / 2.0).floor() } else { 0.5 };
        let batch_index = windows.floor() + (self.nodes.id[i].0 % 4096) as f64;
        let in_batch = |&&turn: &&usize| (turn as f64 - batch_index * batch).rem_euclid(*turn_count) < batch;
        sent < turns.iter().filter(in_batch).count() as f64
    }

    /// Returns the success rate of this director's SETUPs at node `i`, with a prior of one success.
    fn success_rate(&self, i: usize) -> f64 {
        let decay = decay_factor(self.now - self.nodes.decayed_at[i], SUCCESS_HALF_LIFE_SECONDS);
        (1.0 + self.nodes.successes[i] * decay) / (1.0 + self.nodes.attempts[i] * decay)
    }

    /// Records that node `i` gave no answer: it may have restarted unnoticed, and is held at the beginning of
    /// slow start until a session starts there. If its whole zone has failed, the zone is only tried now and
    /// then. Guards against the SETUPs of all directors at once when the node returns.
    fn record_no_answer(&mut self, i: usize) {
        self.nodes.unanswered_at[i] = Some(self.now);
        if self.nodes.unanswered_since_contact(self.nodes.zone[i]) >= ZONE_FAILURE_NODES {
            self.nodes
                .zone_outages
                .insert(self.nodes.zone[i], ZoneOutage { since: self.now, recovered: false });
        }
    }

    /// Returns whether node `i` is held back because its zone has just failed or recovered and the node
    /// itself has given no sign of life since. Nodes that have just recovered deliver short at first.
    fn held_back(&self, i: usize) -> bool {
        let interval = Span::from_secs(DELIVERY_REPORT_INTERVAL_SECONDS);
        self.nodes
            .zone_outage(i)
            .is_some_and(|o| self.nodes.heard_at[i] < o.since && self.now - o.since < interval)
    }

    fn record_outcome(&mut self, i: usize, success: bool) {
        if success {
            self.nodes.record_contact(i, self.now);
        }
        self.nodes.record_outcome(
            i,
            success,
            decay_factor(self.now - self.nodes.decayed_at[i], SUCCESS_HALF_LIFE_SECONDS),
            self.now,
        );
    }

    // Setup

    /// Returns the nodes that hold the title, may take the session now and have capacity for it, as tuples of
    /// score, node and rung, best first.
    fn candidates(&mut self, load: &FleetLoad, id: SessionId) -> Vec<(f64, usize, u8)> {
        let Some(s) = self.sessions.get(id) else { return Vec::new() };
        let group = &self.params.group_of(s).config;
        let nodes = &self.nodes;
        let holds_title = |i: usize| {
            let cells = u32::from(self.params.cell_count);
            (u32::from(nodes.cell[i]) + cells - u32::from(s.request.first_cell.0) % cells) % cells
                < u32::from(s.request.cell_count)
        };
        let plays_same_stream = |i: usize| {
            let rung = self.highest_fitting_rung(load, s, i);
            self.sessions
                .at_node(i)
                .any(|(_, o)| o.playing && o.same_title_and_group(s) && Some(o.rung) == rung)
        };
        let in_retry_scope = |i: usize| match s.uncertain_setup {
            Some((first, _)) if group.retry_safety == RetrySafety::Dedup => match group.retry_scope {
                RetryScope::Anywhere => true,
                RetryScope::SameZone => nodes.zone[i] == nodes.zone[first],
                RetryScope::SameCell => nodes.cell[i] == nodes.cell[first],
            },
            _ => true,
        };
        let (is_retry, now) = (s.setup_count > 0, self.now);
        let below_retry_limit = |i: usize| {
            !is_retry
                || self
                    .params
                    .node_retry_limit
                    .is_none_or(|(limit, window)| nodes.retries[i].count(now, window) < limit)
        };
        let permitted = |&i: &usize| {
            let eligible = nodes.ready[i]
                && holds_title(i)
                && in_retry_scope(i)
                && !s.tried_nodes.contains(&i)
                && below_retry_limit(i);
            eligible && !self.held_back(i) && self.slow_start_permits(i)
        };
        let score = |i: usize| {
            let (link, uplink) = self.free_capacity(load, i);
            let free = (link / nodes.link[i].max(1.0))
                .min(uplink / self.params.uplink_kb_per_s.max(1.0))
                .clamp(0.0, 1.0);
            let own_zone = f64::from(u8::from(nodes.zone[i] == self.params.zone));
            let score =
                ZONE_WEIGHT * own_zone + SUCCESS_WEIGHT * self.success_rate(i) + FREE_CAPACITY_WEIGHT * free;
            let score = if nodes.suspected[i] { score - SUSPECTED_NODE_PENALTY } else { score };
            if group.live && !plays_same_stream(i) { score / 2.0 } else { score }
        };
        let candidate = |i: usize| self.highest_fitting_rung(load, s, i).map(|rung| (score(i), i, rung));
        let mut candidates: Vec<_> = (0..nodes.id.len()).filter(permitted).filter_map(candidate).collect();
        // Many directors see the same reports, so each orders nodes with nearly equal scores at random. For
        // live titles whose viewers share streams, all directors use the same order.
        let shares_streams = group.live && self.params.live_join_fraction < 1.0;
        let title = s.request.title.0;
        for entry in &mut candidates {
            let jitter = if shares_streams {
                uniform_hash(title, self.nodes.id[entry.1].0)
            } else {
                self.rng.rand_float()
            };
            entry.0 += SCORE_JITTER * jitter;
        }
        candidates.sort_by(|a, b| b.0.total_cmp(&a.0));
        candidates
    }

    /// Probes the best candidates for a session, as many as the cost of probes allows, unless they have
    /// reported just now. Returns whether the session waits for results; a probe that fails is reported too,
    /// and the session is reconsidered then.
    fn probe_candidates(
        &mut self,
        id: SessionId,
        candidates: &[(f64, usize, u8)],
        sink: &mut dyn DecisionSink,
    ) -> bool {
        let freshness: f64 = (0..self.nodes.id.len()).map(|i| self.report_freshness(i)).sum();
        let unreported = 1.0 - freshness / self.nodes.id.len().max(1) as f64;
        let budget = if self.params.probe_only { PROBE_ONLY_BUDGET } else { PROBE_BUDGET * unreported };
        let count =
            if self.params.may_probe { (budget / self.params.probe_cost).min(MAX_PROBES) } else { 0.0 };
        let best = candidates.iter().take(count as usize).map(|entry| entry.1);
        let is_stale = |i: &usize| {
            self.now - self.nodes.measured_at[*i] >= Span::from_secs(DELIVERY_REPORT_INTERVAL_SECONDS)
        };
        let stale: Vec<usize> = best.filter(is_stale).collect();
        // There is no time to probe if the viewer may give up before the results arrive.
        let short_of_time =
            |s: &Session| s.deadline - self.now < self.params.shortest_start_target * MIN_PROBE_TIME_FACTOR;
        if stale.is_empty() || self.sessions.get(id).is_none_or(|s| s.probed || short_of_time(s)) {
            return false;
        }
        stale.iter().for_each(|&i| sink.probe_node(self.nodes.id[i]));
        self.sessions.update(&self.params, id, |s| (s.probed, s.awaited_probes) = (true, stale));
        true
    }

    /// Returns whether a SETUP may be sent for the session: retry safety, seats, the floor, the retry budget
    /// (rules 2, 5 and 6), the limit of SETUPs for each session and the viewer's setup timeout.
    fn setup_permitted(&mut self, id: SessionId) -> bool {
        let Some(s) = self.sessions.get(id) else { return false };
        let group = &self.params.group_of(s).config;
        let now = self.now;
        let retry_safe = match (group.retry_safety, s.uncertain_setup) {
            (RetrySafety::Safe, _) | (_, None) => true,
            (RetrySafety::Dedup, Some((_, sent))) => now - sent < group.retry_window,
            (RetrySafety::Fragile, Some(_)) => false,
        };
        let takes_seat = |o: &Session| (o.playing || o.setup_sent_at.is_some()) && o.same_title_and_group(s);
        let seat_free =
            group.seats == 0 || self.sessions.iter().filter(|(_, o)| takes_seat(o)).count() < group.seats;
        let plays_floor = group.floor_rung.0 <= self.params.top_rung_of(s);
        let retries = |b: RetryBudget| self.recent.retries.count(now, b.window) + 1.0;
        let allowed = |b: RetryBudget| {
            b.base_retries + b.retries_per_session * self.recent.requests.count(now, b.window * 0.99)
        };
        let in_budget =
            s.setup_count == 0 || self.params.retry_budget.is_none_or(|b| retries(b) <= allowed(b));
        retry_safe
            && seat_free
            && plays_floor
            && in_budget
            && usize::from(s.setup_count) < self.params.max_setups_per_session
            && now < s.deadline
    }

    /// Sends the next SETUP of a session that has none in flight, or rejects the session if there is none to
    /// send.
    fn place_session(&mut self, id: SessionId, sink: &mut dyn DecisionSink) {
        let awaits_probes = |s: &Session| {
            !s.awaited_probes.is_empty()
                && self.now - s.requested_at < self.params.shortest_start_target * TIMER_PERIOD_FRACTION
        };
        if self
            .sessions
            .get(id)
            .is_none_or(|s| s.answered || s.playing || s.setup_sent_at.is_some() || awaits_probes(s))
        {
            return;
        }
        let candidates =
            if self.setup_permitted(id) { self.candidates(&self.fleet_load(), id) } else { Vec::new() };
        let Some(&(_, i, rung)) = candidates.first() else { return self.reject(id, sink) };
        if self.probe_candidates(id, &candidates, sink) {
            return;
        }
        let Some(s) = self.sessions.get(id) else { return };
        let group = self.params.group_of(s);
        let start_deadline = s.requested_at + group.config.start_target;
        let may_retry = group.config.retry_safety == RetrySafety::Safe
            && usize::from(s.setup_count) + 1 < self.params.max_setups_per_session;
        let timeout = ((start_deadline - self.now) * ATTEMPT_TIMEOUT_FRACTION)
            .max(self.params.shortest_start_target * MIN_ATTEMPT_TIMEOUT_FRACTION);
        let attempt_deadline = if may_retry { (self.now + timeout).min(s.deadline) } else { s.deadline };
        if s.setup_count > 0 {
            self.recent.retries.record(self.now, self.params.retry_budget.map_or(Span::ZERO, |b| b.window));
            self.nodes.retries[i]
                .record(self.now, self.params.node_retry_limit.map_or(Span::ZERO, |limit| limit.1));
        }
        self.nodes.setups[i].record(self.now, self.params.overload_window);
        self.recent.setups.record(self.now, self.params.overload_window);
        let now = self.now;
        let rung_changed = self.sessions.update(&self.params, id, |s| {
            s.record_setup(i, now);
            s.set_rung(rung)
        });
        if rung_changed == Some(true) {
            sink.set_rung(id, Rung(rung));
        }
        sink.send_setup(id, self.nodes.id[i], attempt_deadline);
    }

    /// Sends the final answer at once: a busy reply where that is safe (rule 2), otherwise the session is
    /// torn down.
    fn reject(&mut self, id: SessionId, sink: &mut dyn DecisionSink) {
        let Some(s) = self.sessions.remove(&self.params, id) else { return };
        let group = &self.params.group_of(&s).config;
        let safe_anywhere =
            group.retry_safety == RetrySafety::Dedup && group.retry_scope == RetryScope::Anywhere;
        if group.retry_safety == RetrySafety::Safe || safe_anywhere || s.uncertain_setup.is_none() {
            sink.reply_busy(id, self.retry_after());
        } else {
            sink.tear_down(id);
        }
    }

    /// Returns the retry-after of a busy reply, if it can carry one.
    fn retry_after(&self) -> Option<Span> {
        self.params.max_retry_after.map(|longest| longest * RETRY_AFTER_FRACTION)
    }

    // Playing sessions

    /// Upgrades sessions by one rung after a time without a shortage at their node, if the additional rate
    /// fits this director's part of the free capacity. A fraction of the node's other sessions is assumed to
    /// upgrade on account of the same load report, at most one for each director.
    fn upgrade_sessions(&mut self, sink: &mut dyn DecisionSink) {
        let is_due = |s: &Session| {
            let quiet_since = s.node.map_or(self.now, |i| s.stable_since.max(self.nodes.short_at[i]));
            s.playing
                && !s.answered
                && s.rung < self.params.top_rung_of(s)
                && self.now - s.rung_changed_at >= Span::from_secs(RUNG_CHANGE_INTERVAL_SECONDS)
                && self.now - quiet_since >= s.quiet_period
        };
        let due: Vec<SessionId> = self.sessions.iter().filter(|(_, s)| is_due(s)).map(|(id, _)| id).collect();
        for id in due {
            let Some((s, i)) = self.sessions.get(id).and_then(|s| Some((s, s.node?))) else { continue };
            let group = self.params.group_of(s);
            let next = usize::from(s.rung) + 1;
            let additional = group.rates[next] * RATE_HEADROOM_FACTOR - group.rates[next - 1];
            let load = self.fleet_load();
            let other_sessions =
                (load.link_demand[i] - self.sessions.demand(i)).max(0.0) / load.mean_rate.max(1.0);
            let claimants =
                (1.0 + other_sessions * CONCURRENT_UPGRADE_FRACTION).min(self.params.director_count);
            if additional <= self.session_allowance(&load, i, self.allocation_weight(group)) / claimants {
                self.change_rung(id, next as u8, sink);
            }
        }
    }

    fn change_rung(&mut self, id: SessionId, rung: u8, sink: &mut dyn DecisionSink) {
        let now = self.now;
        self.sessions.update(&self.params, id, |s| (s.rung_changed_at, _) = (now, s.set_rung(rung)));
        sink.set_rung(id, Rung(rung));
    }

    /// Returns the share that was recently delivered at node `i`, or 1 if it has reported no shortage
    /// recently.
    fn recent_delivery(&self, i: usize) -> f64 {
        let is_recent = self.now - self.nodes.short_at[i]
            < self.params.report_delay + Span::from_secs(DELIVERY_REPORT_INTERVAL_SECONDS);
        if is_recent { self.nodes.delivered_share[i] } else { 1.0 }
    }

    /// Attributes a shortage at node `i` to the uplink or to the node. It is the uplink's if all nodes of the
    /// rack where this director's sessions play are short, even one whose link isn't full by its report, and
    /// only as far as the best of them is short. The remainder is the node's: its link is full, or the node
    /// itself has stalled, and it gets no new sessions for a while. A share below the least capacity that is
    /// assumed of an uplink is never the uplink's.
    fn attribute_shortage(&mut self, i: usize, share: f64) {
        let rack = self.nodes.rack[i];
        let is_playing = |k: &usize| self.sessions.at_node(*k).any(|(_, s)| s.playing);
        let playing_nodes: Vec<usize> = self.nodes_in_rack(rack).filter(is_playing).collect();
        let load = self.fleet_load();
        let (link, link_demand) = (self.nodes.link[i], load.link_demand[i]);
        let best = playing_nodes.iter().map(|&k| self.recent_delivery(k)).fold(share, f64::max);
        let link_not_full =
            link_demand < link && share > MIN_UPLINK_FRACTION && self.report_freshness(i) > 0.5;
        let uplink_short = self.params.uplink_kb_per_s > 0.0 && best < FULL_DELIVERY_SHARE && link_not_full;
        if uplink_short {
            self.racks.uplink_capacity[rack] =
                (load.uplink_demand[rack] * best).max(self.params.uplink_kb_per_s * MIN_UPLINK_FRACTION);
            self.racks.estimated_at[rack] = self.now;
        }
        let node_share = if uplink_short { share / best } else { share };
        if node_share < FULL_DELIVERY_SHARE && link_demand < link / node_share {
            self.nodes.other_demand[i] =
                (link / node_share).min(link * MAX_LINK_DEMAND) - self.sessions.demand(i);
            self.nodes.measured_at[i] = self.now;
        }
    }

    /// Downgrades sessions at node `i` by one rung on account of short delivery. A report on one session
    /// stands for the whole node: as many sessions are downgraded as make up this director's part of the
    /// missing rate, those first that lose the least utility for each kB/s.
    fn downgrade_sessions(&mut self, i: usize, share: f64, sink: &mut dyn DecisionSink) {
        if self.now - self.nodes.downgraded_at[i] < self.params.report_delay * 2.0 {
            return; // reports can't show the effect of the last downgrade yet
        }
        let missing = self.sessions.demand(i) * (1.0 - share / FULL_DELIVERY_SHARE);
        let mut eligible: Vec<(f64, SessionId, f64)> = Vec::new();
        for (id, s) in self.sessions.at_node(i) {
            let group = self.params.group_of(s);
            let due = self.now - s.rung_changed_at >= Span::from_secs(RUNG_CHANGE_INTERVAL_SECONDS);
            if s.playing && !s.answered && s.rung > group.config.floor_rung.0 && due {
                let r = usize::from(s.rung);
                let saved = group.rates[r] - group.rates[r - 1];
                let lost_utility =
                    (self.params.rung_utility[r] - self.params.rung_utility[r - 1]) * group.config.utility;
                eligible.push((lost_utility / saved.max(1e-9), id, saved));
            }
        }
        eligible.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut saved = 0.0;
        for (_, id, rate) in eligible {
            if (missing - saved) / rate <= self.rng.rand_float() {
                break;
            }
            saved += rate;
            self.nodes.downgraded_at[i] = self.now;
            let rung = self.sessions.get(id).map_or(0, |s| s.rung.saturating_sub(1));
            self.change_rung(id, rung, sink);
        }
    }
}

impl Round<'_> {
    /// Sets the turns in which this director may send SETUPs to nodes in slow start, and the number of turns
    /// in a cycle. Until this is called, it has one of as many turns as there are directors.
    pub fn set_slow_start_turns(&mut self, own_turns: &[usize], turn_count: usize) {
        self.director.params.slow_start_turns = (own_turns.to_vec(), turn_count.max(1) as f64);
    }

    /// Limits the retries that this director may send to one node within a window: its part of a limit on all
    /// directors together.
    pub fn set_retry_limit_per_node(&mut self, limit: usize, window: Span) {
        self.director.params.node_retry_limit = Some((limit as f64, window));
    }

    /// Replaces the set of nodes that other directors found failing, as far as they agree: these are tried
    /// last. Guards against each director finding out by SETUPs of its own. If all nodes are in the set, it
    /// has no effect.
    pub fn set_suspected_nodes(&mut self, suspected: &[NodeId]) {
        let nodes = &mut self.director.nodes;
        nodes.suspected.fill(false);
        for id in suspected {
            nodes.rows.get(id).into_iter().for_each(|&i| nodes.suspected[i] = true);
        }
    }

    /// Begins a complete list of nodes, current or cached.
    pub fn begin_list_snapshot(&mut self) {
        self.director.watches_list = true;
        self.director.nodes.listed.fill(false);
    }

    /// Begins a list of the nodes that have changed.
    pub fn begin_list_update(&mut self) {
        self.director.watches_list = true;
        self.director.nodes.listed.fill(true);
    }

    /// Reports that the list of nodes can't be watched.
    pub fn list_watch_failed(&mut self) {
        self.director.watches_list = false;
    }

    /// Ends a list. Nodes that a snapshot doesn't contain are gone.
    pub fn finish_list(&mut self) {
        let nodes = &mut self.director.nodes;
        nodes.ready.iter_mut().zip(&nodes.listed).for_each(|(ready, &listed)| *ready &= listed);
    }

    /// Reports a node that is ready.
    pub fn node_ready(&mut self, node: NodeId, info: NodeInfo) {
        let director = &mut *self.director;
        let is_referenced = |i: usize| director.sessions.iter().any(|(_, s)| s.references_node(i));
        if let Some(i) = director.nodes.update(node, info, &director.params, is_referenced) {
            (director.nodes.unanswered_at[i], director.nodes.measured_at[i]) = (None, Instant::LONG_AGO);
        }
    }

    /// Reports a node that drains or is gone: it gets no new sessions.
    pub fn node_draining(&mut self, node: NodeId) {
        if let Some(&i) = self.director.nodes.rows.get(&node) {
            (self.director.nodes.ready[i], self.director.nodes.listed[i]) = (false, true);
        }
    }

    /// Reports evidence that a node's process hasn't restarted: whatever answers were lost, it is as far in
    /// its slow start as before. Guards against a node being put into slow start again after connection
    /// resets, malformed replies and late replies.
    pub fn node_kept_running(&mut self, node: NodeId) {
        let nodes = &mut self.director.nodes;
        if let Some(&i) = nodes.rows.get(&node) {
            (nodes.unanswered_at[i], nodes.started_at[i]) = (None, nodes.confirmed_start[i]);
        }
    }

    /// Reports that a node is removed, perhaps temporarily: its row may be reused once no session references
    /// it.
    pub fn node_removed(&mut self, node: NodeId) {
        self.node_draining(node);
        if let Some(&i) = self.director.nodes.rows.get(&node) {
            self.director.nodes.removed[i] = true;
        }
    }

    /// Adds a session; returns none if its service group doesn't exist.
    fn add_session(&mut self, session: SessionId, request: SessionRequest) -> Option<()> {
        let director = &mut *self.director;
        let floor =
            director.params.groups.get(request.group.0)?.config.floor_rung.0.min(director.params.top_rung());
        let quiet_period = Span::from_secs(
            QUIET_PERIOD_SECONDS.0
                + (QUIET_PERIOD_SECONDS.1 - QUIET_PERIOD_SECONDS.0) * director.rng.rand_float(),
        );
        director.sessions.insert(session, Session::new(request, director.now, floor, quiet_period));
        Some(())
    }

    /// Reports a viewer's request for a session.
    pub fn session_requested(&mut self, session: SessionId, request: SessionRequest) {
        if self.add_session(session, request).is_none() {
            return self.sink.reply_busy(session, self.director.retry_after());
        }
        let window = self.director.params.retry_budget.map_or(Span::ZERO, |b| b.window);
        self.director.recent.requests.record(self.director.now, window);
        self.director.pending.push(session);
    }

    /// Reports a session that plays already and is handed over to this director. A random part of its quiet
    /// period counts as elapsed, so that sessions that are handed over together don't all upgrade at once.
    pub fn session_handed_over(&mut self, session: SessionId, request: SessionRequest, node: NodeId) {
        let elapsed = self.director.rng.rand_float();
        let row = self.director.nodes.rows.get(&node).copied();
        if self.add_session(session, request).is_some() {
            let director = &mut *self.director;
            director.sessions.update(&director.params, session, |s| {
                (s.node, s.playing, s.setup_count, s.assigned_at) = (row, true, 1, Instant::LONG_AGO);
                s.stable_since = s.stable_since - s.quiet_period * elapsed.sqrt();
            });
        }
    }

    /// Reports the rung at which a session plays.
    pub fn session_rung_reported(&mut self, session: SessionId, rung: Rung) {
        let director = &mut *self.director;
        director
            .sessions
            .update(&director.params, session, |s| s.set_rung(rung.0.min(director.params.top_rung())));
    }

    /// Reports that a SETUP has succeeded and its session plays.
    pub fn session_started(&mut self, session: SessionId, _setup: SetupNumber, node: NodeId) {
        let director = &mut *self.director;
        director.sessions.update(&director.params, session, |s| {
            (s.playing, s.setup_sent_at, s.stable_since) = (true, None, director.now)
        });
        if let Some(&i) = director.nodes.rows.get(&node) {
            director.record_outcome(i, true);
            if director.nodes.unanswered_at[i].take().is_some() {
                director.nodes.started_at[i] = director.nodes.started_at[i].max(director.now);
            }
        }
    }

    /// Reports the outcome of a SETUP attempt or of the session that it started. The session is over if
    /// `complete`; otherwise the next attempt is decided in this round.
    pub fn attempt_ended(
        &mut self,
        session: SessionId,
        _setup: SetupNumber,
        node: NodeId,
        outcome: AttemptOutcome,
        complete: bool,
    ) {
        let director = &mut *self.director;
        let row = director.nodes.rows.get(&node).copied();
        let ended = director.sessions.update(&director.params, session, |s| {
            let sent_at = s.setup_sent_at.take();
            (s.node, s.playing) = (None, false);
            if let Some(i) = row {
                s.tried_nodes.push(i);
                if !matches!(
                    outcome,
                    AttemptOutcome::Full | AttemptOutcome::Unreachable | AttemptOutcome::Unsent
                ) {
                    s.uncertain_setup = s.uncertain_setup.or(sent_at.map(|sent_at| (i, sent_at)));
                }
            }
            (sent_at.is_some(), complete || s.answered)
        });
        let Some((during_setup, over)) = ended else { return };
        if over {
            director.sessions.remove(&director.params, session);
        } else {
            director.pending.push(session);
        }
        let Some(i) = row else { return };
        let failed =
            !matches!(outcome, AttemptOutcome::Played | AttemptOutcome::Unsent | AttemptOutcome::Cancelled);
        (during_setup && failed).then(|| director.record_outcome(i, false));
        match outcome {
            AttemptOutcome::Full => {
                let demand = director.nodes.link[i] * director.params.full_link_demand;
                director.nodes.other_demand[i] =
                    (demand - director.sessions.demand(i)).max(director.nodes.other_demand[i]);
                director.nodes.measured_at[i] = director.now;
                director.nodes.record_contact(i, director.now);
            }
            AttemptOutcome::Silent | AttemptOutcome::Unreachable | AttemptOutcome::Lost => {
                director.record_no_answer(i)
            }
            _ => {}
        }
    }

    /// Limits the time of all unanswered requests: no SETUP is sent, or outcome waited for, after `latest`.
    pub fn limit_deadlines(&mut self, latest: Instant) {
        let director = &mut *self.director;
        let unanswered: Vec<SessionId> = director
            .sessions
            .iter()
            .filter(|(_, s)| !s.answered && !s.playing && s.deadline > latest)
            .map(|(id, _)| id)
            .collect();
        for id in unanswered {
            director.sessions.update(&director.params, id, |s| s.deadline = latest);
        }
    }

    /// Reports that the viewer has left. An outcome may still follow.
    pub fn viewer_left(&mut self, session: SessionId) {
        let director = &mut *self.director;
        director.sessions.update(&director.params, session, |s| s.answered = true);
        let Some(s) = director.sessions.get(session) else { return };
        if s.setup_sent_at.is_some() && director.params.may_cancel {
            self.sink.cancel_setup(session, SetupNumber(s.setup_count - 1));
        } else if s.setup_sent_at.is_none() && !s.playing {
            director.sessions.remove(&director.params, session);
        }
    }

    /// Reports the share of their rates that sessions at a node receive.
    pub fn delivery_reported(&mut self, node: NodeId, share: f64) {
        let Some(i) = self.accept_report(node, share) else { return };
        let director = &mut *self.director;
        director.nodes.delivered_share[i] = share.min(1.0);
        if share < director.params.slow_start_initial_fraction
            && director
                .nodes
                .zone_outage(i)
                .is_some_and(|o| director.now - o.since < Span::from_secs(DELIVERY_REPORT_INTERVAL_SECONDS))
        {
            // The zone has not recovered completely yet.
            director
                .nodes
                .zone_outages
                .insert(director.nodes.zone[i], ZoneOutage { since: director.now, recovered: true });
        }
        if share < FULL_DELIVERY_SHARE {
            director.nodes.short_at[i] = director.now;
            director.attribute_shortage(i, share.max(0.05));
            director.downgrade_sessions(i, share, self.sink);
        }
    }

    /// Records a sign of life and returns the node's row, if the node is known and the value reported is
    /// valid.
    fn accept_report(&mut self, node: NodeId, value: f64) -> Option<usize> {
        let i = self.director.nodes.rows.get(&node).copied().filter(|_| value.is_finite() && value >= 0.0)?;
        self.director.nodes.record_contact(i, self.director.now);
        Some(i)
    }

    /// Reports the demand on a node's link, as a fraction of its capacity.
    pub fn link_demand_reported(&mut self, node: NodeId, demand: f64) {
        let Some(i) = self.accept_report(node, demand) else { return };
        let director = &mut *self.director;
        let other_demand = demand * director.nodes.link[i]
            - director.demand_assigned_by(director.now - director.params.report_delay, i);
        director.nodes.other_demand[i] = other_demand.clamp(0.0, director.nodes.link[i] * MAX_LINK_DEMAND);
        director.nodes.measured_at[i] = director.now;
    }

    /// Reports the demand on the uplink of a node's rack, as a fraction of its mean capacity.
    pub fn uplink_demand_reported(&mut self, node: NodeId, demand: f64) {
        let Some(i) = self.accept_report(node, demand) else { return };
        let director = &mut *self.director;
        let rack = director.nodes.rack[i];
        let own_demand: f64 = director
            .nodes_in_rack(rack)
            .map(|k| director.demand_assigned_by(director.now - director.params.report_delay, k))
            .sum();
        director.racks.other_demand[rack] = (demand * director.params.uplink_kb_per_s - own_demand).max(0.0);
        director.racks.measured_at[rack] = director.now;
    }

    /// Reports a node's load, with the metrics in the configured order.
    pub fn load_reported(&mut self, node: NodeId, values: &[f64]) {
        for (k, &value) in values.iter().enumerate() {
            match self.director.params.load_metrics.get(k) {
                Some(LoadMetric::Link) => self.link_demand_reported(node, value),
                Some(LoadMetric::Uplink) => self.uplink_demand_reported(node, value),
                _ => {}
            }
        }
    }

    /// Reports the result of a probe. The sessions that waited for it are reconsidered in this round.
    pub fn probe_finished(&mut self, node: NodeId, answered: bool) {
        let director = &mut *self.director;
        let Some(&i) = director.nodes.rows.get(&node) else { return };
        if answered {
            director.nodes.record_contact(i, director.now);
        } else {
            director.record_outcome(i, false);
        }
        let waiting = |(id, s): (SessionId, &Session)| s.awaited_probes.contains(&i).then_some(id);
        let waiting: Vec<SessionId> = director.sessions.iter().filter_map(waiting).collect();
        for id in waiting {
            director.sessions.update(&director.params, id, |s| s.awaited_probes.retain(|&k| k != i));
            director.pending.push(id);
        }
    }

    /// Reports that a timer has fired: sessions may be upgraded, those that wait for probes are reconsidered,
    /// and the list of nodes is requested again if it is old.
    pub fn timer_fired(&mut self, _: TimerId) {
        let director = &mut *self.director;
        director.upgrade_sessions(self.sink);
        director
            .pending
            .extend(director.sessions.iter().filter(|(_, s)| !s.awaited_probes.is_empty()).map(|(id, _)| id));
        if !director.watches_list
            && director.params.node_list_max_age.is_some_and(|max_age| {
                director.now - director.list_requested_at > max_age * LIST_REFRESH_FRACTION
            })
        {
            director.list_requested_at = director.now;
            self.sink.watch_node_list(true);
        }
        self.sink.set_timer(TimerId(0), director.params.shortest_start_target * TIMER_PERIOD_FRACTION);
    }
}
