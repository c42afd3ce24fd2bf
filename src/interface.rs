//! The data that a director exchanges with its host: the configuration and the events that it receives, and
//! the sink that receives its decisions.

use serde::{Deserialize, Serialize};

use crate::ids::{CellId, GroupId, ModelId, NodeId, Rung, SessionId, SetupNumber, TimerId, TitleId, ZoneId};
use crate::time::{Instant, Span};

/// Receives the decisions of a round in the order in which they are made.
pub trait DecisionSink {
    /// Sends a SETUP for the session to a node; the attempt times out at `deadline`.
    fn send_setup(&mut self, session: SessionId, node: NodeId, deadline: Instant);
    /// Sets the session's rung, before its SETUP is sent or while it plays.
    fn set_rung(&mut self, session: SessionId, rung: Rung);
    /// Sends the busy reply: a final answer, after which the viewer may safely ask again. With `retry_after`,
    /// the viewer is asked to wait at least that long.
    fn reply_busy(&mut self, session: SessionId, retry_after: Option<Span>);
    /// Tears the session down: a final answer that leaves open whether a SETUP has run.
    fn tear_down(&mut self, session: SessionId);
    /// Cancels a SETUP that is in flight.
    fn cancel_setup(&mut self, session: SessionId, setup: SetupNumber);
    /// Sends a probe to a node; its result arrives as
    /// [`Round::probe_finished`](crate::policy::Round::probe_finished).
    fn probe_node(&mut self, node: NodeId);
    /// Sets a timer; it arrives as [`Round::timer_fired`](crate::policy::Round::timer_fired).
    fn set_timer(&mut self, timer: TimerId, after: Span);
    /// Subscribes to updates of the list of media nodes, or unsubscribes.
    fn watch_node_list(&mut self, enabled: bool);

    // The policy makes none of the following decisions yet, so a sink need not implement them.

    /// Requests the whole list of media nodes once.
    fn fetch_node_list(&mut self) {}
    /// Ends a playing session such that its viewer reconnects to this director after a short interruption.
    fn reconnect_viewer(&mut self, _session: SessionId) {}
    /// Closes the idle connections to a node.
    fn close_idle_connections(&mut self, _node: NodeId) {}
    /// Sends a short message to one director, given by its index, or to all.
    fn send_message(&mut self, _director: Option<u16>, _message: &[u8]) {}
    /// Writes a line to the log.
    fn log(&mut self, _line: &str) {}
}

/// Whether a session may be set up again once an earlier SETUP may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// SETUP is idempotent: a retry is safe at any node.
    Safe,
    /// Nodes deduplicate SETUPs: a retry is safe within the retry scope and the retry window.
    Dedup,
    /// A retry is never safe.
    Fragile,
}

/// The nodes, relative to the first one, at which a session with [`RetrySafety::Dedup`] may be set up again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryScope {
    Anywhere,
    SameZone,
    SameCell,
}

/// The configuration of a service group.
#[derive(Clone, Debug)]
pub struct ServiceGroup {
    /// Time from the request within which a session should play.
    pub start_target: Span,
    /// Utility of a session of this group, relative to those of other groups.
    pub utility: f64,
    pub retry_safety: RetrySafety,
    pub retry_scope: RetryScope,
    /// Time after the first SETUP within which nodes deduplicate a retry.
    pub retry_window: Span,
    /// Whether viewers of one title share its stream at a node.
    pub live: bool,
    /// Factor from the rates of the ladder to those of this group.
    pub rate_scale: f64,
    /// The lowest rung at which a session may play.
    pub floor_rung: Rung,
    /// The highest rung at which a session may play.
    pub top_rung: Rung,
    /// Maximum number of sessions of one title at a director; 0 for no limit.
    pub seats: usize,
}

/// A metric of a media node's load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadMetric {
    /// Number of streams that play or are being set up.
    Streams,
    /// Demand on the node's link, as a fraction of its capacity.
    Link,
    /// Demand on the uplink of the node's rack, as a fraction of its capacity.
    Uplink,
    /// A metric that the director ignores.
    Other,
}

/// The budget of retries, that is of SETUPs beyond a session's first. Within any window there may be
/// `base_retries` plus `retries_per_session` for each session that was requested in it.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    pub base_retries: f64,
    pub retries_per_session: f64,
    pub window: Span,
}

/// The configuration that a director reads at its start.
#[derive(Clone, Debug)]
pub struct DirectorConfig {
    /// Seed of the random number generator.
    pub seed: u64,
    /// The director's own zone.
    pub zone: ZoneId,
    /// The index of this director among all directors, from 0.
    pub director_index: usize,
    pub director_count: usize,
    /// The service groups; a [`GroupId`] is an index into this list.
    pub groups: Vec<ServiceGroup>,
    /// Rate in kB/s and utility of each rung, lowest first.
    pub ladder: Vec<(f64, f64)>,
    /// Maximum number of streams of a node, by hardware model.
    pub max_streams: Vec<f64>,
    /// Number of placement cells. The cells of a title wrap around after the last one.
    pub cell_count: u16,
    /// Number of racks; the rack of a cell is its number modulo this.
    pub rack_count: u16,
    /// Link capacity in kB/s for each unit of a node's weight.
    pub link_kb_per_s_per_weight: f64,
    /// Mean capacity of a rack's uplink in kB/s; 0 if unknown.
    pub uplink_kb_per_s: f64,
    /// What a further viewer of a live stream adds to the load of a node, as a fraction of the stream's rate.
    pub live_join_fraction: f64,
    /// The fraction of the operators' objective that depends on the worst-served service group alone.
    pub worst_group_weight: f64,
    /// The demand on its link, over its capacity, at which a node replies that it is full; 0 if it never does
    /// so on account of its link.
    pub full_link_demand: f64,
    /// Delay of reports of the delivered share.
    pub report_delay: Span,
    /// The metrics of a load report, in their order.
    pub load_metrics: Vec<LoadMetric>,
    /// Whether load reports arrive only in response to probes.
    pub probe_only: bool,
    /// Whether the director may probe nodes.
    pub may_probe: bool,
    /// Cost of one probe for each session, as a fraction of the total utility.
    pub probe_cost: f64,
    /// Whether the director may cancel a SETUP that is in flight.
    pub may_cancel: bool,
    /// The longest delay that a busy reply can ask a viewer to wait; none if it can't carry one.
    pub max_retry_after: Option<Span>,
    /// Maximum number of SETUPs for one session, the first included.
    pub max_setups_per_session: usize,
    /// The budget of retries; none if they are not limited.
    pub retry_budget: Option<RetryBudget>,
    /// Slow start: the fraction of its capacity that a node has at its start.
    pub slow_start_initial_fraction: f64,
    /// Slow start: the time after which a node has its full capacity.
    pub slow_start_duration: Span,
    /// Slow start: a node whose pace of SETUPs stays at this multiple of `max_streams` per
    /// `slow_start_duration` throughout `overload_window` becomes overloaded.
    pub overload_multiple: f64,
    /// Slow start: the window over which SETUPs to a node are counted.
    pub overload_window: Span,
    /// Where the list of nodes has to be requested: the longest time between two requests.
    pub node_list_max_age: Option<Span>,
}

/// The attributes of a media node in the list of nodes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeInfo {
    pub zone: ZoneId,
    pub model: ModelId,
    pub cell: CellId,
    /// Link capacity in units of [`DirectorConfig::link_kb_per_s_per_weight`].
    pub weight: f64,
    /// When the node last started; none if it is known to be past its slow start.
    pub started: Option<Instant>,
}

/// A viewer's request for a session.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SessionRequest {
    pub group: GroupId,
    pub title: TitleId,
    /// The highest rung that the viewer can play.
    #[serde(rename = "top")]
    pub top_rung: Rung,
    /// The first of the consecutive cells that hold the title.
    #[serde(rename = "home")]
    pub first_cell: CellId,
    /// Number of cells that hold the title.
    #[serde(rename = "copies")]
    pub cell_count: u16,
    /// Time until the viewer gives up on this request.
    #[serde(rename = "patience")]
    pub setup_timeout: Span,
}

/// The outcome of a SETUP attempt, or of the session that it started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// The session played and has ended.
    Played,
    /// The node rejected the SETUP for lack of capacity; it did not run.
    Full,
    /// No connection to the node could be made; the SETUP did not run.
    Unreachable,
    /// The SETUP was not sent.
    Unsent,
    /// The node replied with an error; the SETUP may have run.
    Fault,
    /// The attempt timed out; the SETUP may run.
    Silent,
    /// The connection was lost; the SETUP may have run.
    Lost,
    /// The attempt was cancelled.
    Cancelled,
}
