//! Cause numbers of release messages: one mapping for each direction and situation. Which [`AttemptOutcome`]
//! a node's cause stands for is decided here and nowhere else.

use ashglade::interface::AttemptOutcome;

use ashglade_engine::{BusyReason, SessionResponse};

/// The SETUP was cancelled, or the session ended normally.
pub const NORMAL_RELEASE: u16 = 16;
/// The fleet has no room for the session.
const NO_CAPACITY: u16 = 34;
/// The request can't be served at present.
pub const CONGESTION: u16 = 42;
/// The request was torn down; sent by a node after its answer: the session was interrupted.
pub const INTERRUPTED: u16 = 41;
/// The request is invalid.
pub const INVALID_REQUEST: u16 = 100;

/// Outcome of a SETUP that a node answered with a release of this cause.
pub fn setup_outcome(cause: u16) -> AttemptOutcome {
    match cause {
        34 => AttemptOutcome::Full,
        102 => AttemptOutcome::Unsent,
        47 => AttemptOutcome::Fault,
        _ => AttemptOutcome::Lost,
    }
}

/// Outcome of a playing session that its node released with this cause, and whether the viewer must be sent a
/// release.
pub fn session_outcome(cause: u16) -> (AttemptOutcome, bool) {
    match cause {
        16 => (AttemptOutcome::Played, true),
        31 => (AttemptOutcome::Cancelled, false),
        _ => (AttemptOutcome::Lost, true),
    }
}

/// Cause of the release that the viewer gets in reply to its SETUP. `setup_sent` tells whether a SETUP of the
/// session has been sent: without one, trying again is harmless.
pub fn answer_cause(answer: &SessionResponse, setup_sent: bool) -> u16 {
    match answer {
        SessionResponse::Plays { .. } => NORMAL_RELEASE,
        SessionResponse::Busy { why: BusyReason::NoRoom, .. } => NO_CAPACITY,
        SessionResponse::Busy { .. } => CONGESTION,
        SessionResponse::TornDown if setup_sent => INTERRUPTED,
        SessionResponse::TornDown => CONGESTION,
    }
}

/// Cause of the release that the viewer gets when its playing session has ended.
pub fn release_cause(outcome: AttemptOutcome) -> u16 {
    if outcome == AttemptOutcome::Played { NORMAL_RELEASE } else { INTERRUPTED }
}
