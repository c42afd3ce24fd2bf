//! Causes of releases, both ways, in one table each. What a SETUP's ending proves is read here and nowhere else.

use ashglade::interface::AttemptOutcome;

use ashglade_engine::{BusyReason, SessionResponse};

/// The set-up is given up, or the session ended as it should.
pub const CLEARED: u16 = 16;
const NO_ROOM: u16 = 34;
pub const CONGESTED: u16 = 42;
/// Torn down; from a node after the answer, the session was cut.
pub const CUT: u16 = 41;
/// A request that can't be used.
pub const UNUSABLE: u16 = 100;

/// A release in place of an answer.
pub fn of_setup(cause: u16) -> AttemptOutcome {
    match cause {
        34 => AttemptOutcome::Full,
        102 => AttemptOutcome::Unsent,
        47 => AttemptOutcome::Fault,
        _ => AttemptOutcome::Lost,
    }
}

/// A release of a session that stood, and whether its viewer is owed one.
pub fn of_session(cause: u16) -> (AttemptOutcome, bool) {
    match cause {
        16 => (AttemptOutcome::Played, true),
        31 => (AttemptOutcome::Cancelled, false),
        _ => (AttemptOutcome::Lost, true),
    }
}

/// What the viewer is told in place of an answer.
pub fn of_answer(answer: &SessionResponse) -> u16 {
    match answer {
        SessionResponse::Plays { .. } => CLEARED,
        SessionResponse::Busy { why: BusyReason::NoRoom, .. } => NO_ROOM,
        SessionResponse::Busy { .. } => CONGESTED,
        SessionResponse::TornDown => CUT,
    }
}

/// What the viewer is told when its session is over.
pub fn of_over(how: AttemptOutcome) -> u16 {
    if how == AttemptOutcome::Played { CLEARED } else { CUT }
}
