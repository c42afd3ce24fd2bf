//! How much is held of what others can make grow. No figure here bounds the fleet: lists of directors and of media nodes
//! may be of any length. What is held for sessions follows the memory limit, as there is at most one of each for a session;
//! it is taken as it is needed, not ahead.

/// Sessions in hand for each MB of memory.
const SESSIONS_PER_MB: f64 = 100.0;
/// One viewer's connection may hold this part of the sessions in hand, so that none takes all room from the others.
const OPEN_PART: usize = 4;
/// However little memory there is, a front of so many viewers on one connection is served as far as there is room.
const LEAST: usize = 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Sessions in hand, with the set-ups that wait for their turn.
    pub sessions: usize,
    /// Set-ups open on one viewer's connection.
    pub open: usize,
    /// Releases owed to clients, lines that wait for a connection to one node, releases that a node hasn't confirmed, and
    /// SETUPs that were given up and may yet stand: each session is owed one at most at a time.
    pub owed: usize,
    /// Lines that wait on one connection: each session's answer or release, and as many that are no session's. All may
    /// come in one turn, as when a zone is lost.
    pub queue: usize,
}

impl Bounds {
    pub fn of(memory_mb: f64) -> Bounds {
        let sessions = (memory_mb * SESSIONS_PER_MB) as usize;
        let owed = sessions.max(LEAST);
        Bounds { sessions, open: (sessions / OPEN_PART).max(LEAST), owed, queue: owed * 2 }
    }
}
