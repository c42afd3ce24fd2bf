//! Inputs and effects of the engine. They are the whole interface between the engine and the I/O layers that
//! drive it, and are recorded as JSON (see [`crate::record`]), where variants and fields keep the names given
//! by the `rename` attributes.

use ashglade::ids::{CellId, GroupId, NodeId, Rung, SessionId, SetupNumber, TitleId};
use ashglade::interface::{AttemptOutcome, NodeInfo};
use ashglade::time::{Instant, Span};
use ashglade_admission::RejectReason;
use ashglade_discovery::NodeList;
use serde::{Deserialize, Serialize};

/// A viewer's request for a session.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ViewerRequest {
    pub group: GroupId,
    pub title: TitleId,
    /// The highest rung that the viewer can use.
    #[serde(rename = "top")]
    pub top_rung: Rung,
    /// First of the consecutive cells whose nodes hold the title.
    #[serde(rename = "home")]
    pub first_cell: CellId,
    /// Number of those cells.
    #[serde(rename = "copies")]
    pub cell_count: u16,
    /// The time after which the viewer gives up, counted from the request.
    pub setup_timeout: Span,
    /// Index of the tenant in the settings; 0 for requests of no listed tenant.
    #[serde(default)]
    pub tenant: usize,
    /// Identifies the client. Admission is fair between clients.
    pub client: u64,
}

/// Load that a node reports. Values that the node doesn't report are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Rate demanded of the node's link, as a fraction of its capacity.
    pub link: Option<f64>,
    /// The same for the uplink of the node's rack.
    pub uplink: Option<f64>,
    /// Number of streams that run or are being set up.
    pub streams: Option<f64>,
}

/// State of one node in an [`Input::DiscoveryUpdate`].
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeUpdate {
    pub node: NodeId,
    #[serde(rename = "standing")]
    pub status: NodeStatus,
}

/// Whether a node takes sessions.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum NodeStatus {
    Ready(NodeInfo),
    Draining,
    /// All state of the node may be discarded. If it comes back, it counts as a new node.
    Gone,
}

/// An event that the I/O layer reports to the engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Input {
    /// A complete node list, as it was read.
    #[serde(rename = "List")]
    DiscoverySnapshot(NodeList),
    /// Nodes from a numbered discovery event: all nodes where `full`, else those that changed. Takes effect
    /// at once.
    #[serde(rename = "Told")]
    DiscoveryUpdate {
        #[serde(rename = "whole")]
        full: bool,
        nodes: Vec<NodeUpdate>,
    },
    /// A session that already plays is handed over to this director. It needs no response, and its node may be
    /// unknown here.
    #[serde(rename = "UnderWay")]
    SessionHandedOver {
        #[serde(rename = "sess")]
        session: SessionId,
        #[serde(rename = "want")]
        request: ViewerRequest,
        node: NodeId,
    },
    /// A viewer requests a session. `session` is a new id.
    #[serde(rename = "Asked")]
    SessionRequested {
        #[serde(rename = "sess")]
        session: SessionId,
        #[serde(rename = "want")]
        request: ViewerRequest,
    },
    /// The viewer gave up, ended the session or lost its connection.
    #[serde(rename = "Left")]
    ViewerLeft {
        #[serde(rename = "sess")]
        session: SessionId,
    },
    /// The first byte of the SETUP is about to be written. From here on the node may have run it.
    #[serde(rename = "Written")]
    SetupWritten {
        #[serde(rename = "sess")]
        session: SessionId,
        setup: SetupNumber,
    },
    /// The node accepted the SETUP.
    #[serde(rename = "Started")]
    SetupAccepted {
        #[serde(rename = "sess")]
        session: SessionId,
        setup: SetupNumber,
        load: Option<LoadReport>,
    },
    /// The SETUP failed. Reported exactly once for each SETUP that the node did not accept.
    #[serde(rename = "Ended")]
    SetupFailed {
        #[serde(rename = "sess")]
        session: SessionId,
        setup: SetupNumber,
        #[serde(rename = "how")]
        outcome: AttemptOutcome,
        load: Option<LoadReport>,
    },
    /// The node doesn't hold the title and set nothing up. Reported instead of [`Input::SetupFailed`].
    #[serde(rename = "Missing")]
    TitleMissing {
        #[serde(rename = "sess")]
        session: SessionId,
        setup: SetupNumber,
        load: Option<LoadReport>,
    },
    /// A playing session has ended at its node.
    #[serde(rename = "Over")]
    SessionEnded {
        #[serde(rename = "sess")]
        session: SessionId,
        #[serde(rename = "how")]
        outcome: AttemptOutcome,
    },
    /// A rung change failed; `rung` is the one still in force at the node.
    #[serde(rename = "Stays")]
    RungUnchanged {
        #[serde(rename = "sess")]
        session: SessionId,
        rung: Rung,
    },
    /// The part of its due data that a playing session received since the last report, from 0 to 1.
    #[serde(rename = "Flow")]
    SessionDelivery {
        #[serde(rename = "sess")]
        session: SessionId,
        share: f64,
    },
    /// The process of the node is proven to be the same as before, so a failure there was not a restart.
    #[serde(rename = "WentOn")]
    NodeKeptRunning { node: NodeId },
    /// The part of their rates that the sessions at this node get, as the node itself reports it, from 0 to
    /// 1.
    #[serde(rename = "Delivered")]
    NodeDelivery { node: NodeId, share: f64 },
    /// The node reported its load.
    #[serde(rename = "Load")]
    NodeLoad { node: NodeId, load: LoadReport },
    /// A probe was answered with this load, or failed.
    #[serde(rename = "Probed")]
    ProbeResult { probe: u64, load: Option<LoadReport> },
    /// The turns at nodes in slow start that this director owns, out of `total` in the fleet.
    #[serde(rename = "Turns")]
    SlowStartTurns {
        #[serde(rename = "ours")]
        owned: Vec<usize>,
        #[serde(rename = "of")]
        total: usize,
        #[serde(rename = "lapse", default, skip_serializing_if = "Option::is_none")]
        lease_expiry: Option<LeaseExpiry>,
    },
    /// Number of retried SETUPs that this director may send to one node within `window`: its part of the
    /// fleet's limit.
    #[serde(rename = "Repeats")]
    RetryLimitPerNode {
        #[serde(rename = "most")]
        limit: usize,
        #[serde(rename = "span")]
        window: Span,
        #[serde(rename = "lapse", default, skip_serializing_if = "Option::is_none")]
        lease_expiry: Option<LeaseExpiry>,
    },
    /// Nodes that the reports of other directors make suspect. They are tried last.
    #[serde(rename = "Doubted")]
    SuspectedNodes { nodes: Vec<NodeId> },
    /// Refuse all new sessions from here on.
    Drain,
    /// Answer all requests by `deadline`, those that are open and those to come, whatever their timeouts.
    AnswerBy { deadline: Instant },
}

/// When the leases on a shared resource expire and how much of it the director owns afterwards. The engine
/// applies it itself, so that a director resuming after a pause doesn't use leases that have expired
/// meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseExpiry {
    pub at: Instant,
    #[serde(rename = "kept")]
    pub retained: usize,
}

/// Why a request gets a busy reply. Variants are logged under their own names.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum BusyReason {
    /// The policy found no node with room within the request's attempts and the retry budget.
    #[default]
    NoRoom,
    /// The director has reached its session limit.
    TooManySessions,
    /// The director drains.
    Draining,
    /// The admission queue rejected the request.
    Door(RejectReason),
}

/// The one response to a request. Variants and fields are logged under their own names.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum SessionResponse {
    /// The session plays at this rung.
    Plays { rung: Rung },
    /// A busy reply: nothing runs for the request, and the viewer may retry, not before `retry_after` if it
    /// is given.
    Busy {
        retry_after: Option<Span>,
        #[serde(default)]
        why: BusyReason,
    },
    /// The request has failed, and a SETUP of it may have run at a node.
    TornDown,
}

/// An action that the I/O layer carries out for the engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Effect {
    /// Send a SETUP to the node and report its outcome by `deadline`, or as soon as it is cancelled.
    #[serde(rename = "Setup")]
    SendSetup {
        #[serde(rename = "sess")]
        session: SessionId,
        setup: SetupNumber,
        node: NodeId,
        rung: Rung,
        #[serde(rename = "until")]
        deadline: Instant,
    },
    /// Abort the SETUP and report its outcome. With `if_unsent`, only if no byte of it has been written.
    #[serde(rename = "Withdraw")]
    CancelSetup {
        #[serde(rename = "sess")]
        session: SessionId,
        setup: SetupNumber,
        if_unsent: bool,
    },
    /// Send the response to the viewer's request.
    #[serde(rename = "Answer")]
    Respond {
        #[serde(rename = "sess")]
        session: SessionId,
        #[serde(rename = "answer")]
        response: SessionResponse,
    },
    /// Switch a playing session to another rung.
    #[serde(rename = "Rung")]
    ChangeRung {
        #[serde(rename = "sess")]
        session: SessionId,
        rung: Rung,
    },
    /// Tear the session down at its node if it exists there. The engine no longer tracks it.
    #[serde(rename = "Release")]
    ReleaseSession {
        #[serde(rename = "sess")]
        session: SessionId,
    },
    /// End a playing session here and at its node so that the viewer requests a new one.
    #[serde(rename = "SendBack")]
    ReconnectViewer {
        #[serde(rename = "sess")]
        session: SessionId,
    },
    /// Ask the node for its load and report the result under this number.
    #[serde(rename = "Probe")]
    SendProbe { probe: u64, node: NodeId },
    /// A discovery snapshot was applied, or rejected for this reason. `generation` is the one now in force.
    #[serde(rename = "Listed")]
    DiscoveryResult {
        generation: u64,
        #[serde(rename = "refused")]
        rejection: Option<String>,
    },
    /// The engine drains and its last session has ended.
    Drained,
}
