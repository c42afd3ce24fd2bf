//! Ends of sessions that are reported before the sessions are handed over.
//!
//! A director that has just started learns of its playing sessions one by one, on the connections of their
//! viewers. Meanwhile a node may report the end of such a session on the first connection that is opened to
//! it, and a viewer may end one on another connection than that of the handover. Either is kept until the
//! handover, which would otherwise take over a session that no one ends any more.

use std::collections::{BTreeMap, VecDeque};

use ashglade::ids::NodeId;
use ashglade::time::{Instant, Span};

use crate::message::Tag;

/// Time for which an end is kept. Handovers follow the first passed health check of a process.
const TTL_SECONDS: f64 = 10.0;

/// Who ended a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EarlyEnd {
    Viewer,
    /// The node released it with this cause.
    Node {
        node: NodeId,
        cause: u16,
    },
}

/// The ends that are kept, up to a maximum number.
#[derive(Default)]
pub(crate) struct EarlyEnds {
    ends: BTreeMap<Tag, EarlyEnd>,
    order: VecDeque<(Instant, Tag)>,
    /// An end has been dropped.
    overflowed: bool,
}

impl EarlyEnds {
    /// Keeps an end of a session that is unknown, unless `capacity` is reached. Returns true if the end is the
    /// first that is dropped: clients may send any number of them.
    pub fn keep(&mut self, now: Instant, tag: Tag, end: EarlyEnd, capacity: usize) -> bool {
        self.remove_expired(now);
        if self.ends.contains_key(&tag) {
            return false;
        }
        if self.order.len() >= capacity {
            return !std::mem::replace(&mut self.overflowed, true);
        }
        self.ends.insert(tag, end);
        self.order.push_back((now, tag));
        false
    }

    /// Removes and returns the end of a session that is handed over now.
    pub fn take(&mut self, now: Instant, tag: Tag) -> Option<EarlyEnd> {
        self.remove_expired(now);
        // Its place in the order remains until it expires; the capacity bounds both.
        self.ends.remove(&tag)
    }

    fn remove_expired(&mut self, now: Instant) {
        let is_expired = |at: Instant| now - at > Span::from_secs(TTL_SECONDS);
        while let Some(&(at, tag)) = self.order.front()
            && is_expired(at)
        {
            self.order.pop_front();
            self.ends.remove(&tag);
        }
    }
}
