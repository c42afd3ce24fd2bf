//! What goes into a round and what comes out of it. Fronts and shells know these words, never the module's insides.

use ashglade::ids::{CellId, GroupId, NodeId, Rung, SessionId, SetupNumber, TitleId};
use ashglade::interface::{AttemptOutcome, NodeInfo};
use ashglade::time::{Instant, Span};
use ashglade_admission::RejectReason;
use ashglade_discovery::NodeList;
use serde::{Deserialize, Serialize};

/// What a viewer asks for.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ViewerRequest {
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
    /// From now, how long until the viewer gives up.
    pub setup_timeout: Span,
    /// By its place among the tenants of the settings; 0 for the others.
    #[serde(default)]
    pub tenant: usize,
    /// Whoever asks: the door is fair between clients.
    pub client: u64,
}

/// What a node tells of its load: link, uplink, streams, each where told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    pub link: Option<f64>,
    pub uplink: Option<f64>,
    pub streams: Option<f64>,
}

/// A media node as a numbered event tells of it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeUpdate {
    pub node: NodeId,
    #[serde(rename = "standing")]
    pub status: NodeStatus,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum NodeStatus {
    Ready(NodeInfo),
    Draining,
    /// What is held of it may go; it may come back, as a new one.
    Gone,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Input {
    /// A whole box list, as it was read.
    #[serde(rename = "List")]
    DiscoverySnapshot(NodeList),
    /// What a numbered event tells of nodes: all of them, or those that changed. It is in force as it is told.
    #[serde(rename = "Told")]
    DiscoveryUpdate {
        #[serde(rename = "whole")]
        full: bool,
        nodes: Vec<NodeUpdate>,
    },
    /// A session that plays already is handed over; nobody is owed an answer. The node may be unknown here.
    #[serde(rename = "UnderWay")]
    SessionHandedOver {
        #[serde(rename = "sess")]
        session: SessionId,
        #[serde(rename = "want")]
        request: ViewerRequest,
        node: NodeId,
    },
    /// A viewer asks for a session. `sess` is new.
    #[serde(rename = "Asked")]
    SessionRequested {
        #[serde(rename = "sess")]
        session: SessionId,
        #[serde(rename = "want")]
        request: ViewerRequest,
    },
    /// The viewer gave up, ended the session or was lost.
    #[serde(rename = "Left")]
    ViewerLeft {
        #[serde(rename = "sess")]
        session: SessionId,
    },
    /// From here on a SETUP may have run: its first byte is about to be written.
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
    /// The SETUP came to nothing. NodeUpdate exactly once for each SETUP that did not start.
    #[serde(rename = "Ended")]
    SetupFailed {
        #[serde(rename = "sess")]
        session: SessionId,
        setup: SetupNumber,
        #[serde(rename = "how")]
        outcome: AttemptOutcome,
        load: Option<LoadReport>,
    },
    /// The node doesn't hold the title, and set nothing up. NodeUpdate in place of an ending.
    #[serde(rename = "Missing")]
    TitleMissing {
        #[serde(rename = "sess")]
        session: SessionId,
        setup: SetupNumber,
        load: Option<LoadReport>,
    },
    /// A session that played is over at its node.
    #[serde(rename = "Over")]
    SessionEnded {
        #[serde(rename = "sess")]
        session: SessionId,
        #[serde(rename = "how")]
        outcome: AttemptOutcome,
    },
    /// The rung in force at the node, where a change of rung did not come about.
    #[serde(rename = "Stays")]
    RungUnchanged {
        #[serde(rename = "sess")]
        session: SessionId,
        rung: Rung,
    },
    /// The share of what was due that a playing session got since the last word of it.
    #[serde(rename = "Flow")]
    SessionDelivery {
        #[serde(rename = "sess")]
        session: SessionId,
        share: f64,
    },
    /// What failed at this node was not its end: its process is shown to be the one that it was.
    #[serde(rename = "WentOn")]
    NodeKeptRunning { node: NodeId },
    /// The share of their rates that sessions at this node get, as the node itself tells it.
    #[serde(rename = "Delivered")]
    NodeDelivery { node: NodeId, share: f64 },
    #[serde(rename = "Load")]
    NodeLoad { node: NodeId, load: LoadReport },
    /// A probe's answer, or none.
    #[serde(rename = "Probed")]
    ProbeResult { probe: u64, load: Option<LoadReport> },
    /// Which turns at cold nodes are this director's, of so many in all.
    #[serde(rename = "Turns")]
    SlowStartTurns {
        #[serde(rename = "ours")]
        owned: Vec<usize>,
        #[serde(rename = "of")]
        total: usize,
        #[serde(rename = "lapse", default, skip_serializing_if = "Option::is_none")]
        lease_expiry: Option<LeaseExpiry>,
    },
    /// So many further SETUPs may go to one node within the span: this director's part of the fleet's bound.
    #[serde(rename = "Repeats")]
    RetryLimitPerNode {
        #[serde(rename = "most")]
        limit: usize,
        #[serde(rename = "span")]
        window: Span,
        #[serde(rename = "lapse", default, skip_serializing_if = "Option::is_none")]
        lease_expiry: Option<LeaseExpiry>,
    },
    /// Nodes that are tried last, by what other directors found.
    #[serde(rename = "Doubted")]
    SuspectedNodes { nodes: Vec<NodeId> },
    /// Takes nothing new from here on.
    Drain,
}

/// When a lease of what is shared is over, and how many of it are left then. A director that stood still must not go on
/// by what it held before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseExpiry {
    pub at: Instant,
    #[serde(rename = "kept")]
    pub retained: usize,
}

/// Why a request is busy-replied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum BusyReason {
    /// The module found no room for it within its attempts and budget.
    #[default]
    NoRoom,
    /// As many sessions are in hand as there may be.
    TooManySessions,
    Draining,
    /// The door did not let it in.
    Door(RejectReason),
}

/// The one answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum SessionResponse {
    Plays {
        rung: Rung,
    },
    Busy {
        retry_after: Option<Span>,
        #[serde(default)]
        why: BusyReason,
    },
    TornDown,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Effect {
    /// Send this SETUP to the node and tell how it ended, by `until` or when it is withdrawn.
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
    /// Give the SETUP up and tell how it ended; where `if_unsent`, only if not a byte of it was written.
    #[serde(rename = "Withdraw")]
    CancelSetup {
        #[serde(rename = "sess")]
        session: SessionId,
        setup: SetupNumber,
        if_unsent: bool,
    },
    #[serde(rename = "Answer")]
    Respond {
        #[serde(rename = "sess")]
        session: SessionId,
        #[serde(rename = "answer")]
        response: SessionResponse,
    },
    /// A playing session changes its rung.
    #[serde(rename = "Rung")]
    ChangeRung {
        #[serde(rename = "sess")]
        session: SessionId,
        rung: Rung,
    },
    /// Tear the session down at its node, if it is there; nobody holds it here any longer.
    #[serde(rename = "Release")]
    ReleaseSession {
        #[serde(rename = "sess")]
        session: SessionId,
    },
    /// A playing session is sent back: over here and at its node, and its viewer comes again.
    #[serde(rename = "SendBack")]
    ReconnectViewer {
        #[serde(rename = "sess")]
        session: SessionId,
    },
    #[serde(rename = "Probe")]
    SendProbe { probe: u64, node: NodeId },
    /// A list was taken, with the generation now in force, or left out and why.
    #[serde(rename = "Listed")]
    DiscoveryResult {
        generation: u64,
        #[serde(rename = "refused")]
        rejection: Option<String>,
    },
    /// Nothing is in hand any longer, and nothing new is taken.
    Drained,
}
