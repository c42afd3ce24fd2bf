//! Emulated media nodes: links and uplinks, stream limits, SETUP queues, cold starts and overload, with the
//! same rules as the nodes on sockets (`ashglade-standin`).

use std::collections::{BTreeMap, VecDeque};

use ashglade::ids::SessionId;
use ashglade_engine::LoadReport;
use ashglade_standin::node::SlowStart;
use ashglade_standin::{Faults, NodeSpec};

/// Identifies a stream at a node: the director and its session.
pub type StreamKey = (u16, SessionId);

/// One media node.
pub struct Node {
    pub spec: NodeSpec,
    /// Whether the process runs.
    pub up: bool,
    /// Whether the node was overloaded while cold; it stays down.
    pub overloaded: bool,
    /// Incremented when the process ends, which voids what an earlier process had in progress.
    pub process: u32,
    pub faults: Faults,
    /// The load that is reported instead of the current one while reports are frozen.
    pub frozen_report: Option<LoadReport>,
    /// Start time of the process, in seconds.
    started_at: f64,
    /// Times of recent SETUPs, in seconds; tracked while the node is cold.
    recent_setups: VecDeque<f64>,
    /// When the last SETUP in the queue will have been handled, in seconds.
    setup_queue_ends: f64,
    /// Rate of each stream, in kB/s.
    pub streams: BTreeMap<StreamKey, f64>,
    /// Sum of the rates of all streams, in kB/s.
    demand: f64,
}

/// How a node handles a SETUP.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SetupReply {
    /// Accepted; the reply is sent at `done_at` (seconds).
    Accepted { done_at: f64 },
    /// Accepted, but the reply is lost.
    ReplyLost,
    /// Refused for lack of capacity.
    Full,
    /// Failed with an error reply.
    ErrorReply,
    /// The connection was reset.
    ConnectionReset,
    /// The SETUP overloaded the cold node and its process ended.
    Overloaded,
}

/// All media nodes with the uplinks of their racks.
pub struct Fleet {
    /// All nodes, by index.
    pub nodes: Vec<Node>,
    /// Rate of each rung, in kB/s.
    pub rung_rates: Vec<f64>,
    /// Capacity of each rack's uplink, in kB/s.
    pub uplinks: Vec<f64>,
    /// By rack: the factor by which the uplink's capacity is reduced.
    pub uplink_slowdowns: Vec<f64>,
    /// Demand on each rack's uplink in kB/s: the sum over its nodes, each limited by the node's own link.
    uplink_demand: Vec<f64>,
    cold_pace: SlowStart,
    random: oorandom::Rand64,
}

impl Fleet {
    pub fn new(
        specs: Vec<NodeSpec>,
        uplinks: Vec<f64>,
        rung_rates: Vec<f64>,
        cold_pace: SlowStart,
        seed: u64,
    ) -> Fleet {
        let node = |spec| Node {
            spec,
            up: true,
            overloaded: false,
            process: 0,
            faults: Faults::default(),
            frozen_report: None,
            started_at: f64::NEG_INFINITY,
            recent_setups: VecDeque::new(),
            setup_queue_ends: 0.0,
            streams: BTreeMap::new(),
            demand: 0.0,
        };
        Fleet {
            nodes: specs.into_iter().map(node).collect(),
            rung_rates,
            uplink_slowdowns: vec![1.0; uplinks.len()],
            uplink_demand: vec![0.0; uplinks.len()],
            uplinks,
            cold_pace,
            random: oorandom::Rand64::new(u128::from(seed) << 8 | 0xe7),
        }
    }

    /// Rate of a stream at a rung, in kB/s.
    pub fn rung_rate(&self, rung: u8) -> f64 {
        let rung = usize::from(rung).min(self.rung_rates.len().saturating_sub(1));
        self.rung_rates.get(rung).copied().unwrap_or(0.0)
    }

    /// Capacity of the node's link under its current faults, in kB/s.
    fn link_capacity(node: &Node) -> f64 {
        node.spec.link_kb_per_s / node.faults.link_divisor.max(1.0)
    }

    /// Adds `by` kB/s to a node's demand and updates the demand on its rack's uplink.
    fn adjust_demand(&mut self, node: usize, by: f64) {
        let node = &mut self.nodes[node];
        let carried = |node: &Node| node.demand.min(Self::link_capacity(node));
        let carried_before = carried(node);
        node.demand = if node.streams.is_empty() { 0.0 } else { node.demand + by };
        let change = carried(node) - carried_before;
        if let Some(demand) = self.uplink_demand.get_mut(node.spec.rack) {
            *demand += change;
        }
    }

    /// Changes a node's faults and updates the demand on its rack's uplink.
    pub fn change_faults(&mut self, node: usize, change: impl FnOnce(&mut Faults)) {
        let load = self.load(node);
        let Some(node_state) = self.nodes.get_mut(node) else { return };
        let carried_before = node_state.demand.min(Self::link_capacity(node_state));
        change(&mut node_state.faults);
        node_state.frozen_report =
            node_state.faults.freeze_load_reports.then(|| node_state.frozen_report.unwrap_or(load));
        let carried_after = node_state.demand.min(Self::link_capacity(node_state));
        if let Some(demand) = self.uplink_demand.get_mut(node_state.spec.rack) {
            *demand += carried_after - carried_before;
        }
    }

    /// The load report that the node would send now.
    pub fn load(&self, node: usize) -> LoadReport {
        let Some(node) = self.nodes.get(node) else { return LoadReport::default() };
        let uplink = self.uplink_utilization(node.spec.rack);
        let streams = node.streams.len() as f64;
        let now = LoadReport {
            link: Some(node.demand / Self::link_capacity(node)),
            uplink: Some(uplink),
            streams: Some(streams),
        };
        node.frozen_report.unwrap_or(now)
    }

    /// Demand on the rack's uplink as a fraction of its capacity.
    fn uplink_utilization(&self, rack: usize) -> f64 {
        let uplink = self.uplinks.get(rack).copied().unwrap_or(f64::INFINITY);
        self.uplink_demand.get(rack).copied().unwrap_or(0.0)
            / (uplink / self.uplink_slowdowns.get(rack).copied().unwrap_or(1.0))
    }

    /// The fraction of their rate that the node's streams receive.
    pub fn delivered_share(&self, node: usize) -> f64 {
        let Some(node_state) = self.nodes.get(node) else { return 0.0 };
        if !node_state.up || node_state.faults.hang {
            return 0.0;
        }
        1.0 / (node_state.demand / Self::link_capacity(node_state))
            .max(self.uplink_utilization(node_state.spec.rack))
            .max(1.0)
    }

    /// Demand on the node's link as a fraction of its capacity.
    pub fn link_utilization(&self, node: usize) -> f64 {
        self.nodes.get(node).map_or(0.0, |node_state| node_state.demand / Self::link_capacity(node_state))
    }

    /// Handles a SETUP at a node that is up.
    pub fn handle_setup(&mut self, now: f64, node: usize, key: StreamKey, rung: u8) -> SetupReply {
        if self.is_overloaded_by_setup(now, node) {
            self.stop(node);
            self.nodes[node].overloaded = true;
            return SetupReply::Overloaded;
        }
        let draw = self.random.rand_float();
        let rate = self.rung_rate(rung);
        let node_state = &mut self.nodes[node];
        let faults = &node_state.faults;
        if draw < faults.reset_fraction {
            return SetupReply::ConnectionReset;
        }
        if draw < faults.reset_fraction + faults.error_fraction {
            return SetupReply::ErrorReply;
        }
        let is_full = node_state.streams.len() >= node_state.spec.max_sessions
            || (node_state.spec.rejects_when_full && node_state.demand >= Self::link_capacity(node_state));
        if is_full {
            return SetupReply::Full;
        }
        let mut handled_at = now + faults.setup_delay.as_secs_f64();
        if faults.serialize_setups {
            handled_at = now.max(node_state.setup_queue_ends) + faults.setup_delay.as_secs_f64();
            node_state.setup_queue_ends = handled_at;
        }
        let is_reply_lost = faults.drop_setup_responses || faults.hang;
        node_state.streams.insert(key, rate);
        self.adjust_demand(node, rate);
        if is_reply_lost { SetupReply::ReplyLost } else { SetupReply::Accepted { done_at: handled_at } }
    }

    /// Queues the SETUP of a further track of an accepted stream.
    pub fn handle_further_setup(&mut self, now: f64, node: usize) {
        if let Some(node_state) =
            self.nodes.get_mut(node).filter(|node_state| node_state.faults.serialize_setups)
        {
            node_state.setup_queue_ends =
                now.max(node_state.setup_queue_ends) + node_state.faults.setup_delay.as_secs_f64();
        }
    }

    /// Counts a SETUP and returns whether it overloads a node that is still cold.
    fn is_overloaded_by_setup(&mut self, now: f64, node: usize) -> bool {
        let cold_pace = self.cold_pace;
        let node_state = &mut self.nodes[node];
        let warm_fraction = (now - node_state.started_at) / cold_pace.duration_s;
        if warm_fraction >= 1.0 {
            return false;
        }
        while node_state.recent_setups.front().is_some_and(|&then| now - then > cold_pace.overload_window_s) {
            node_state.recent_setups.pop_front();
        }
        node_state.recent_setups.push_back(now);
        let warm_pace = node_state.spec.max_sessions as f64 / cold_pace.duration_s;
        let current_pace =
            warm_pace * (cold_pace.initial_fraction + (1.0 - cold_pace.initial_fraction) * warm_fraction);
        node_state.recent_setups.len() as f64
            > cold_pace.overload_multiple * current_pace * cold_pace.overload_window_s + 1.0
    }

    /// Ends a stream; false if the node doesn't have it.
    pub fn end_stream(&mut self, node: usize, key: StreamKey) -> bool {
        let Some(rate) = self.nodes.get_mut(node).and_then(|node_state| node_state.streams.remove(&key))
        else {
            return false;
        };
        self.adjust_demand(node, -rate);
        true
    }

    /// Changes the rung of a stream.
    pub fn change_rung(&mut self, node: usize, key: StreamKey, rung: u8) {
        let rate = self.rung_rate(rung);
        let Some(old) = self.nodes.get_mut(node).and_then(|node_state| node_state.streams.get_mut(&key))
        else {
            return;
        };
        let change = rate - std::mem::replace(old, rate);
        self.adjust_demand(node, change);
    }

    /// Stops the process and returns the streams that it served.
    pub fn stop(&mut self, node: usize) -> Vec<StreamKey> {
        let Some(node_state) = self.nodes.get_mut(node) else { return Vec::new() };
        (node_state.up, node_state.process) = (false, node_state.process + 1);
        let ended = std::mem::take(&mut node_state.streams).into_keys().collect();
        self.adjust_demand(node, 0.0);
        ended
    }

    /// Starts the process again, cold and without faults. An overloaded node stays down.
    pub fn start(&mut self, now: f64, node: usize) {
        let Some(node_state) = self.nodes.get_mut(node).filter(|node_state| !node_state.overloaded) else {
            return;
        };
        (node_state.up, node_state.started_at, node_state.setup_queue_ends, node_state.faults) =
            (true, now, now, Faults::default());
        node_state.recent_setups.clear();
    }
}
