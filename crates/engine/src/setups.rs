//! One SETUP from the module's word to its ending. Rule 2 rests on two things kept here: a session has one SETUP
//! out at most, and an ending that proves that nothing ran is told only where the shell proved it.
//!
//! | it was | the shell tells | the module hears |
//! | --- | --- | --- |
//! | let run | how it ended | the same |
//! | out of time | nothing was written, no connection | `Unreachable` |
//! | out of time | anything that does not prove it unsent | `Silent` |
//! | out of time | that it started | `Silent`; released at the node |
//! | out of time | nothing at all within the grace | `Silent` |
//! | given up by the viewer | that it was not sent | `Unsent` |
//! | given up by the viewer | anything else | `Cancelled` |
//! | recalled, as its node drains | that it was not sent | `Unsent` |

use ashglade::ids::{NodeId, Rung, SetupNumber};
use ashglade::interface::AttemptOutcome;
use ashglade::time::Instant;

/// Why a SETUP is no longer wanted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withdrawn {
    OutOfTime,
    ViewerLeft,
    /// Its node drains; it goes on if a byte was written.
    Recalled,
}

#[derive(Clone, Debug)]
pub struct Out {
    pub setup: SetupNumber,
    pub node: NodeId,
    pub rung: Rung,
    pub until: Instant,
    /// A byte of it may be on the wire.
    pub written: bool,
    pub withdrawn: Option<Withdrawn>,
}

/// What an answer of 200 comes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    Plays,
    /// Nobody wants it any longer: it is torn down at the node, and counts as this.
    TooLate(AttemptOutcome),
}

impl Out {
    pub fn new(setup: SetupNumber, node: NodeId, rung: Rung, until: Instant) -> Out {
        Out { setup, node, rung, until, written: false, withdrawn: None }
    }

    /// True if the shell is to be told, as it has not been yet.
    pub fn withdraw(&mut self, why: Withdrawn) -> bool {
        // A viewer's leaving and the end of time weigh more than a recall, which may come to nothing.
        let first = matches!(self.withdrawn, None | Some(Withdrawn::Recalled));
        if first {
            self.withdrawn = Some(why);
        }
        first
    }

    pub fn started(&self) -> Start {
        match self.withdrawn {
            None | Some(Withdrawn::Recalled) => Start::Plays,
            Some(Withdrawn::OutOfTime) => Start::TooLate(AttemptOutcome::Silent),
            Some(Withdrawn::ViewerLeft) => Start::TooLate(AttemptOutcome::Cancelled),
        }
    }

    /// What the module hears of an ending. Unsent and unreachable are believed only while nothing was written.
    pub fn ending(&self, told: AttemptOutcome) -> AttemptOutcome {
        let unsent = matches!(told, AttemptOutcome::Unsent | AttemptOutcome::Unreachable) && !self.written;
        match (self.withdrawn, told) {
            _ if unsent => told,
            (Some(Withdrawn::ViewerLeft), _) => AttemptOutcome::Cancelled,
            (
                Some(Withdrawn::OutOfTime),
                AttemptOutcome::Full | AttemptOutcome::Fault | AttemptOutcome::Lost,
            ) => told,
            (Some(Withdrawn::OutOfTime), _) => AttemptOutcome::Silent,
            (_, AttemptOutcome::Unsent | AttemptOutcome::Unreachable) => AttemptOutcome::Lost,
            _ => told,
        }
    }
}
