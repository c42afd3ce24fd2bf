//! What a director is told at start and what it writes its decisions to.

use serde::{Deserialize, Serialize};

use crate::ids::{CellId, GroupId, ModelId, NodeId, Rung, SessionId, SetupNumber, TimerId, TitleId, ZoneId};
use crate::time::{Instant, Span};

/// Takes the decisions of a round, in the order in which they are made.
pub trait DecisionSink {
    /// Asks a node to start the session; the SETUP is given up at `until`.
    fn send_setup(&mut self, sess: SessionId, node: NodeId, until: Instant);
    /// Sets the session's rung, before its SETUP or while it plays.
    fn set_rung(&mut self, sess: SessionId, rung: Rung);
    /// Busy reply: final, and harmless to ask again, where told so not before `retry_after`.
    fn reply_busy(&mut self, sess: SessionId, retry_after: Option<Span>);
    /// Final answer that says nothing of whether a SETUP ran.
    fn tear_down(&mut self, sess: SessionId);
    fn cancel_setup(&mut self, sess: SessionId, setup: SetupNumber);
    fn probe_node(&mut self, node: NodeId);
    fn set_timer(&mut self, ticket: TimerId, after: Span);
    /// Subscribes to changes of the list of media nodes, or no longer.
    fn watch_node_list(&mut self, on: bool);

    // No decision asks for these yet; a writer that can't do one leaves it out.

    /// Asks for the whole list once.
    fn fetch_node_list(&mut self) {}
    /// Ends a session that plays; its viewer comes back to this director after a short gap.
    fn reconnect_viewer(&mut self, _sess: SessionId) {}
    /// Closes idle connections to a node.
    fn close_idle_connections(&mut self, _node: NodeId) {}
    /// A short message to one director, by its number, or to all.
    fn send_message(&mut self, _director: Option<u16>, _message: &[u8]) {}
    /// A line for the log.
    fn log(&mut self, _line: &str) {}
}

/// What a second SETUP may do once the first may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// No harm at any node.
    Safe,
    /// No harm within the reach and the repeat window.
    Dedup,
    /// Never.
    Fragile,
}

/// How far from its first node a dedup session may be set up again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryScope {
    Anywhere,
    SameZone,
    SameCell,
}

#[derive(Clone, Debug)]
pub struct ServiceGroup {
    pub start_target: Span,
    pub utility: f64,
    pub retry_safety: RetrySafety,
    pub retry_scope: RetryScope,
    pub retry_window: Span,
    pub live: bool,
    /// Its rates over those of the ladder.
    pub rate_scale: f64,
    pub floor_rung: Rung,
    pub top_rung: Rung,
    /// Sessions of one title that a director may hold; 0 for no cap.
    pub seats: usize,
}

/// A figure that a media node reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadMetric {
    /// Streams that run or are set up.
    Streams,
    /// What is asked of the link over what it gives.
    Link,
    /// The same for the uplink of the rack.
    Uplink,
    /// Any other.
    Other,
}

/// The ration of SETUPs beyond a session's first.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    pub base_retries: f64,
    pub retries_per_session: f64,
    pub window: Span,
}

/// What is read when a director starts.
#[derive(Clone, Debug)]
pub struct DirectorConfig {
    pub seed: u64,
    pub zone: ZoneId,
    /// Our number among the directors, from 0.
    pub director_index: usize,
    pub director_count: usize,
    pub groups: Vec<ServiceGroup>,
    /// kB a second and what it earns, for each rung.
    pub ladder: Vec<(f64, f64)>,
    /// Streams at most, for each kind of machine.
    pub max_streams: Vec<f64>,
    pub cell_count: u16,
    pub rack_count: u16,
    /// kB a second for each unit of a node's weight.
    pub link_kb_per_s_per_weight: f64,
    /// kB a second of a rack's uplink, on average.
    pub uplink_kb_per_s: f64,
    /// What a further viewer of a live stream adds, as a part of its rate.
    pub live_join_fraction: f64,
    /// The part of the operators' goal that goes by the worst-served service group.
    pub worst_group_weight: f64,
    /// A node says that it is full while so many times its link is asked for; 0 where it never does for its link.
    pub full_link_demand: f64,
    /// How late delivered shares are told.
    pub report_delay: Span,
    pub load_metrics: Vec<LoadMetric>,
    /// Reports come only when probed for.
    pub probe_only: bool,
    pub may_probe: bool,
    /// What one probe a session costs, in parts of all utility.
    pub probe_cost: f64,
    pub may_cancel: bool,
    /// The longest time a viewer can be asked to stay away; none where it can't be told.
    pub max_retry_after: Option<Span>,
    pub max_setups_per_session: usize,
    pub retry_budget: Option<RetryBudget>,
    /// A node that has just started begins at this part of its pace,
    pub slow_start_initial_fraction: f64,
    /// rising to all of it over this time.
    pub slow_start_duration: Span,
    /// It falls over at this multiple of its pace
    pub overload_multiple: f64,
    /// for this long.
    pub overload_window: Span,
    /// Where the list must be asked for: how soon again at the latest.
    pub node_list_max_age: Option<Span>,
}

/// What the list tells of a media node.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeInfo {
    pub zone: ZoneId,
    pub model: ModelId,
    pub cell: CellId,
    pub weight: f64,
    /// When it last started; none if long ago.
    pub started: Option<Instant>,
}

/// What a viewer wants.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SessionRequest {
    pub group: GroupId,
    pub title: TitleId,
    /// The highest rung that the viewer can use.
    #[serde(rename = "top")]
    pub top_rung: Rung,
    /// First of the cells in a row that hold the title, and how many.
    #[serde(rename = "home")]
    pub first_cell: CellId,
    #[serde(rename = "copies")]
    pub cell_count: u16,
    /// Until the setup timeout of this try.
    #[serde(rename = "patience")]
    pub setup_timeout: Span,
}

/// How a SETUP, or the session that came of it, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    Played,
    /// Turned away unseen.
    Full,
    /// No connection: it never ran.
    Unreachable,
    /// Never sent.
    Unsent,
    /// The node answered with a fault; it may have run.
    Fault,
    /// No answer in time; it may run.
    Silent,
    /// The connection was lost; it may have run.
    Lost,
    Cancelled,
}
