//! Limits on state that other parties can make grow. None of them limits the fleet: lists of directors and of
//! media nodes may have any length. Limits on per-session state follow the memory limit, as each session has
//! at most one entry of each kind. Memory is allocated as it is needed, not in advance.

/// Number of sessions for each MB of memory.
const SESSIONS_PER_MB: f64 = 100.0;
/// One viewer connection may have this fraction (one in four) of all sessions pending, so that no connection
/// can take all the room from the others.
const MAX_PENDING_DIVISOR: usize = 4;
/// Lower bound of the limits, however little memory there is: a front that carries this many viewers on one
/// connection is served as far as there is room.
const MIN_LIMIT: usize = 1024;

/// Maximum numbers of entries that a director holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Sessions, including queued SETUP requests.
    pub sessions: usize,
    /// Unanswered SETUP requests on one viewer connection.
    pub pending_setups: usize,
    /// Entries of each of these kinds: release notices owed to clients, lines queued for one node, releases
    /// that a node has not confirmed, and cancelled SETUPs that the node may still start. A session has at
    /// most one of them at a time.
    pub outstanding: usize,
    /// Lines queued on one connection: an answer or a release for each session, and as many lines that belong
    /// to no session. All of them may be queued at once, for example when a zone is lost.
    pub queued_lines: usize,
}

impl ResourceLimits {
    /// Derives the limits from the memory limit in MB.
    pub fn of(memory_mb: f64) -> ResourceLimits {
        let sessions = (memory_mb * SESSIONS_PER_MB) as usize;
        let outstanding = sessions.max(MIN_LIMIT);
        ResourceLimits {
            sessions,
            pending_setups: (sessions / MAX_PENDING_DIVISOR).max(MIN_LIMIT),
            outstanding,
            queued_lines: outstanding * 2,
        }
    }
}
