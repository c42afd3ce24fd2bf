//! The life of one SETUP attempt, from the policy's decision to its outcome. Two invariants keep a session
//! from being set up twice: a session has at most one SETUP pending, and the policy is told that nothing ran
//! at the node only where the I/O layer proved it.
//!
//! | state of the SETUP | the I/O layer reports | the policy is told |
//! | --- | --- | --- |
//! | not cancelled | an outcome | the same outcome |
//! | deadline expired | nothing was written, no connection | `Unreachable` |
//! | deadline expired | anything that does not prove it unsent | `Silent` |
//! | deadline expired | that the node accepted it | `Silent`; the session is released at the node |
//! | deadline expired | nothing within the grace period | `Silent` |
//! | viewer left | that it was not sent | `Unsent` |
//! | viewer left | anything else | `Cancelled` |
//! | node draining | that it was not sent | `Unsent` |

use ashglade::ids::{NodeId, Rung, SetupNumber};
use ashglade::interface::AttemptOutcome;
use ashglade::time::Instant;

/// Why a SETUP was cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelReason {
    DeadlineExpired,
    ViewerLeft,
    /// The node drains. The SETUP continues if a byte of it was written.
    NodeDraining,
}

/// A SETUP whose outcome is not known yet.
#[derive(Clone, Debug)]
pub struct PendingSetup {
    pub number: SetupNumber,
    pub node: NodeId,
    pub rung: Rung,
    pub deadline: Instant,
    /// A byte of it may have been sent.
    pub written: bool,
    pub cancelled: Option<CancelReason>,
}

/// What becomes of a SETUP that the node accepted with 200.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acceptance {
    Plays,
    /// The SETUP was cancelled before: the session is torn down at the node and the attempt counts as this
    /// outcome.
    TooLate(AttemptOutcome),
}

impl PendingSetup {
    pub fn new(number: SetupNumber, node: NodeId, rung: Rung, deadline: Instant) -> PendingSetup {
        PendingSetup { number, node, rung, deadline, written: false, cancelled: None }
    }

    /// Cancels the SETUP. Returns true if the I/O layer still has to be told.
    pub fn cancel(&mut self, reason: CancelReason) -> bool {
        // A cancellation for a draining node may have no effect, so the other two reasons override it.
        let first = matches!(self.cancelled, None | Some(CancelReason::NodeDraining));
        if first {
            self.cancelled = Some(reason);
        }
        first
    }

    /// Decides whether a session that the node has just accepted is still wanted.
    pub fn accepted(&self) -> Acceptance {
        match self.cancelled {
            None | Some(CancelReason::NodeDraining) => Acceptance::Plays,
            Some(CancelReason::DeadlineExpired) => Acceptance::TooLate(AttemptOutcome::Silent),
            Some(CancelReason::ViewerLeft) => Acceptance::TooLate(AttemptOutcome::Cancelled),
        }
    }

    /// Translates the reported outcome into the one that the policy is told. `Unsent` and `Unreachable` hold
    /// only while no byte was written.
    pub fn effective_outcome(&self, reported: AttemptOutcome) -> AttemptOutcome {
        let unsent =
            matches!(reported, AttemptOutcome::Unsent | AttemptOutcome::Unreachable) && !self.written;
        match (self.cancelled, reported) {
            _ if unsent => reported,
            (Some(CancelReason::ViewerLeft), _) => AttemptOutcome::Cancelled,
            (
                Some(CancelReason::DeadlineExpired),
                AttemptOutcome::Full | AttemptOutcome::Fault | AttemptOutcome::Lost,
            ) => reported,
            (Some(CancelReason::DeadlineExpired), _) => AttemptOutcome::Silent,
            (_, AttemptOutcome::Unsent | AttemptOutcome::Unreachable) => AttemptOutcome::Lost,
            _ => reported,
        }
    }
}
