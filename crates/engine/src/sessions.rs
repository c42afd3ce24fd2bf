//! Table of the sessions that the engine tracks. The policy decides the response to each request; this module
//! ensures that the viewer gets exactly one, and gets it before giving up even if the policy decides nothing
//! or the I/O layer never reports an outcome.

use std::collections::BTreeMap;

use ashglade::ids::{GroupId, NodeId, Rung, SessionId, TitleId};
use ashglade::time::Instant;
use serde::Serialize;

use crate::messages::{SessionResponse, ViewerRequest};
use crate::setups::PendingSetup;

/// A session from its request to the end of its last SETUP or of its playback.
#[derive(Debug)]
pub struct SessionState {
    pub group: GroupId,
    pub title: TitleId,
    /// The response must be out by then.
    pub response_deadline: Instant,
    pub answered: bool,
    pub viewer_left: bool,
    /// The request while it waits in the admission queue. The policy does not know the session yet.
    pub queued_request: Option<ViewerRequest>,
    /// Number of SETUPs so far.
    pub setup_count: u16,
    pub pending_setup: Option<PendingSetup>,
    /// The node that plays the session.
    pub playing_node: Option<NodeId>,
    pub rung: Rung,
}

/// Counters since the director started.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Tally {
    /// Requests.
    pub asked: u64,
    /// Requests answered by a session that plays.
    pub plays: u64,
    /// Requests answered by a busy reply.
    pub busy: u64,
    /// Requests answered by a tear-down.
    pub torn_down: u64,
    /// Viewers that left before they had a response.
    pub left_unanswered: u64,
    /// SETUPs sent.
    pub setups: u64,
    /// SETUPs that nodes accepted in time.
    pub started: u64,
    /// SETUPs by outcome: full, unreachable, unsent, fault, silent, lost, cancelled, in this order.
    pub endings: [u64; 7],
    /// Playing sessions that their node ended or lost.
    pub broken: u64,
    /// Requests refused because of the session limit.
    pub over_bound: u64,
    /// Requests refused because the director drains.
    pub draining: u64,
    /// SETUPs that the node accepted after they were cancelled. Each is torn down at its node.
    pub too_late: u64,
    /// Responses sent only by the response deadline. Any other value than 0 is a bug in the director.
    pub guarded: u64,
    /// SETUPs that the policy asked for while one was pending; they are not sent. Any other value than 0 is a
    /// bug.
    pub doubled: u64,
    /// SETUPs whose outcome the I/O layer never reported.
    pub untold: u64,
    /// SETUPs that failed because the node doesn't hold the title.
    pub missing: u64,
    /// SETUPs not sent because their node was known not to hold the title.
    pub spared: u64,
    /// Rung changes of playing sessions.
    pub rungs: u64,
    /// Probes sent.
    pub probes: u64,
}

/// All tracked sessions, and the counters.
#[derive(Debug, Default)]
pub struct SessionTable {
    sessions: BTreeMap<SessionId, SessionState>,
    pub tally: Tally,
}

impl SessionTable {
    pub fn get(&self, id: SessionId) -> Option<&SessionState> {
        self.sessions.get(&id)
    }

    pub fn get_mut(&mut self, id: SessionId) -> Option<&mut SessionState> {
        self.sessions.get_mut(&id)
    }

    pub fn insert(&mut self, id: SessionId, state: SessionState) {
        self.sessions.insert(id, state);
    }

    pub fn remove(&mut self, id: SessionId) {
        self.sessions.remove(&id);
    }

    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }

    pub fn iter(&self) -> impl Iterator<Item = (SessionId, &SessionState)> {
        self.sessions.iter().map(|(&id, state)| (id, state))
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = (SessionId, &mut SessionState)> {
        self.sessions.iter_mut().map(|(&id, state)| (id, state))
    }

    /// Records the response to a request. Returns true if it is the first one and the viewer is still there
    /// to get it. Removes a session that neither plays nor has a SETUP pending.
    pub fn record_response(&mut self, id: SessionId, response: &SessionResponse) -> bool {
        let Some(state) = self.sessions.get_mut(&id) else { return false };
        let first = !state.answered && !state.viewer_left;
        state.answered = true;
        if first {
            match response {
                SessionResponse::Plays { .. } => self.tally.plays += 1,
                SessionResponse::Busy { .. } => self.tally.busy += 1,
                SessionResponse::TornDown => self.tally.torn_down += 1,
            }
        }
        let over = state.pending_setup.is_none() && state.playing_node.is_none();
        if over {
            self.sessions.remove(&id);
        }
        first
    }
}
