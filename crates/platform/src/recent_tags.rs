//! Tags of sessions that are over and whose SETUP has been sent.
//!
//! Every SETUP request carries a tag of its own. A client that sends one again, on whatever connection, would have its
//! session set up twice: a node may still run the SETUP of the first request although the client has left.

use std::collections::{BTreeSet, VecDeque};

use ashglade::time::{Instant, Span};

use crate::message::Tag;

/// Time for which a tag is kept: longer than a node may take to run a SETUP that was sent, and than a release may be
/// on its way.
const TTL_SECONDS: f64 = 10.0;

/// The tags that are kept, up to a maximum number; the oldest is dropped first.
pub(crate) struct RecentTags {
    tags: BTreeSet<Tag>,
    order: VecDeque<(Instant, Tag)>,
    capacity: usize,
}

impl RecentTags {
    /// Creates a table of at most `capacity` tags.
    pub fn new(capacity: usize) -> RecentTags {
        RecentTags { tags: BTreeSet::new(), order: VecDeque::new(), capacity }
    }

    /// Keeps the tag of a session that is over.
    pub fn keep(&mut self, now: Instant, tag: Tag) {
        self.remove_expired(now);
        if !self.tags.insert(tag) {
            return;
        }
        if self.order.len() >= self.capacity
            && let Some((_, oldest)) = self.order.pop_front()
        {
            self.tags.remove(&oldest);
        }
        self.order.push_back((now, tag));
    }

    /// Returns whether the tag was used by a session that was over a short time ago.
    pub fn contains(&mut self, now: Instant, tag: Tag) -> bool {
        self.remove_expired(now);
        self.tags.contains(&tag)
    }

    fn remove_expired(&mut self, now: Instant) {
        let is_expired = |at: Instant| now - at > Span::from_secs(TTL_SECONDS);
        while let Some(&(at, tag)) = self.order.front()
            && is_expired(at)
        {
            self.order.pop_front();
            self.tags.remove(&tag);
        }
    }
}
