//! Cause numbers of release messages: one mapping for each direction and situation. Which [`AttemptOutcome`]
//! a node's cause stands for is decided here and nowhere else.

use ashglade::interface::Ending;

use ashglade_engine::{Answer, Why};

/// The SETUP was cancelled, or the session ended normally.
pub const NORMAL_RELEASE: u16 = 16;
/// The fleet has no room for the session.
const NO_CAPACITY: u16 = 34;
/// The request can't be served at present.
pub const CONGESTED: u16 = 42;
/// The request was torn down; sent by a node after its answer: the session was interrupted.
pub const INTERRUPTED: u16 = 41;
/// The request is invalid.
pub const INVALID_REQUEST: u16 = 100;

/// Outcome of a SETUP that a node answered with a release of this cause.
pub fn setup_outcome(cause: u16) -> Ending {
    match cause {
        34 => Ending::Full,
        102 => Ending::Unsent,
        47 => Ending::Fault,
        _ => Ending::Lost,
    }
}

/// Outcome of a playing session that its node released with this cause, and whether the viewer must be sent a
/// release.
pub fn session_outcome(cause: u16) -> (Ending, bool) {
    match cause {
        16 => (Ending::Played, true),
        31 => (Ending::Cancelled, false),
        _ => (Ending::Lost, true),
    }
}

/// Cause of the release that the viewer gets in reply to its SETUP.
pub fn answer_cause(answer: &Answer) -> u16 {
    match answer {
        Answer::Plays { .. } => NORMAL_RELEASE,
        Answer::Busy { why: Why::NoRoom, .. } => NO_CAPACITY,
        Answer::Busy { .. } => CONGESTED,
        Answer::TornDown => INTERRUPTED,
    }
}

/// Cause of the release that the viewer gets when its playing session has ended.
pub fn release_cause(outcome: Ending) -> u16 {
    if outcome == Ending::Played { NORMAL_RELEASE } else { INTERRUPTED }
}
