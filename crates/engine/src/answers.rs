//! Sessions in hand and the one answer that each request gets. The module decides the answer; this file sees to it
//! that there is exactly one, and that there is one before the viewer gives up even if the module, or a shell that
//! never tells an ending, would let it pass.

use std::collections::BTreeMap;

use ashglade::ids::{GroupId, NodeId, Rung, SessionId, TitleId};
use ashglade::time::Instant;
use serde::Serialize;

use crate::messages::{SessionResponse, ViewerRequest};
use crate::setups::Out;

/// A session in hand, from its request to its last ending.
#[derive(Debug)]
pub struct Hand {
    pub group: GroupId,
    pub title: TitleId,
    /// The answer must be out by then.
    pub answer_by: Instant,
    pub answered: bool,
    /// The viewer has gone.
    pub left: bool,
    /// It waits at the door with this; the module has not heard of it.
    pub at_door: Option<ViewerRequest>,
    pub setups: u16,
    pub out: Option<Out>,
    pub plays_at: Option<NodeId>,
    pub rung: Rung,
}

/// Counters of what a director answered and did, since it started.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Tally {
    pub asked: u64,
    pub plays: u64,
    pub busy: u64,
    pub torn_down: u64,
    /// Viewers that left before they had an answer.
    pub left_unanswered: u64,
    pub setups: u64,
    pub started: u64,
    /// Endings of SETUPs: full, unreachable, unsent, fault, silent, lost, cancelled, in this order.
    pub endings: [u64; 7],
    /// Playing sessions whose node ended or lost them.
    pub broken: u64,
    /// Sessions turned away because too many were in hand, or because the director drains.
    pub over_bound: u64,
    pub draining: u64,
    /// Answers of 200 to SETUPs that had been given up; each is torn down at its node.
    pub too_late: u64,
    /// Answers that only the last guard gave. Any is a fault of ours.
    pub guarded: u64,
    /// SETUPs that the module asked for while one was out. Any is a fault of ours, and none is sent.
    pub doubled: u64,
    /// SETUPs whose ending the shell never told.
    pub untold: u64,
    /// SETUPs that nodes answered by not holding the title, and further ones that were spared by it.
    pub missing: u64,
    pub spared: u64,
    pub rungs: u64,
    pub probes: u64,
}

#[derive(Debug, Default)]
pub struct Hands {
    all: BTreeMap<SessionId, Hand>,
    pub tally: Tally,
}

impl Hands {
    pub fn get(&self, sess: SessionId) -> Option<&Hand> {
        self.all.get(&sess)
    }

    pub fn get_mut(&mut self, sess: SessionId) -> Option<&mut Hand> {
        self.all.get_mut(&sess)
    }

    pub fn insert(&mut self, sess: SessionId, hand: Hand) {
        self.all.insert(sess, hand);
    }

    pub fn remove(&mut self, sess: SessionId) {
        self.all.remove(&sess);
    }

    pub fn len(&self) -> usize {
        self.all.len()
    }

    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    pub fn iter(&self) -> impl Iterator<Item = (SessionId, &Hand)> {
        self.all.iter().map(|(&sess, hand)| (sess, hand))
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = (SessionId, &mut Hand)> {
        self.all.iter_mut().map(|(&sess, hand)| (sess, hand))
    }

    /// Notes the answer; true if it is the first and the viewer is there to hear it. A session that was refused
    /// and has no SETUP out is no longer in hand.
    pub fn answer(&mut self, sess: SessionId, answer: &SessionResponse) -> bool {
        let Some(hand) = self.all.get_mut(&sess) else { return false };
        let first = !hand.answered && !hand.left;
        hand.answered = true;
        if first {
            match answer {
                SessionResponse::Plays { .. } => self.tally.plays += 1,
                SessionResponse::Busy { .. } => self.tally.busy += 1,
                SessionResponse::TornDown => self.tally.torn_down += 1,
            }
        }
        let over = hand.out.is_none() && hand.plays_at.is_none();
        if over {
            self.all.remove(&sess);
        }
        first
    }
}
