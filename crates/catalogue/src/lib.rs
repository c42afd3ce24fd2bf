//! Titles that nodes were found not to hold although the catalogue lists them there. A node that answers a
//! SETUP with 404 states that nothing runs (RFC 2326, 7.1.1 and 11.3.1) and says nothing about its health.
//! The answer holds for that title alone, until the node restarts or a session of the title plays there, and
//! at most for a fixed time, because nodes are filled without the director being told.
//!
//! The number of entries is bounded. At the limit the oldest entry is evicted, which costs one more 404. The
//! table does no I/O, reads no clock and starts no thread.

use std::collections::{BTreeMap, BTreeSet};

use ashglade::ids::{NodeId, TitleId};
use ashglade::time::{Instant, Span};

/// A bounded table of missing titles by node, whose entries expire.
#[derive(Debug)]
pub struct MissingTitles {
    /// Expiry of each entry.
    expiries: BTreeMap<(NodeId, TitleId), Instant>,
    /// The same entries ordered by expiry.
    by_expiry: BTreeSet<(Instant, NodeId, TitleId)>,
    capacity: usize,
    ttl: Span,
}

impl MissingTitles {
    /// Creates a table of at most `capacity` entries, each of which expires after `ttl`.
    pub fn new(capacity: usize, ttl: Span) -> MissingTitles {
        MissingTitles { expiries: BTreeMap::new(), by_expiry: BTreeSet::new(), capacity, ttl }
    }

    pub fn len(&self) -> usize {
        self.expiries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.expiries.is_empty()
    }

    /// Records that the node has answered that it doesn't hold the title.
    pub fn record(&mut self, node: NodeId, title: TitleId, now: Instant) {
        self.forget(node, title);
        while self.expiries.len() >= self.capacity
            && let Some((_, node, title)) = self.by_expiry.pop_first()
        {
            self.expiries.remove(&(node, title));
        }
        if self.capacity > 0 {
            let expiry = now + self.ttl;
            self.expiries.insert((node, title), expiry);
            self.by_expiry.insert((expiry, node, title));
        }
    }

    /// Returns whether the node is known not to hold the title.
    pub fn is_missing(&self, node: NodeId, title: TitleId, now: Instant) -> bool {
        self.expiries.get(&(node, title)).is_some_and(|&expiry| now < expiry)
    }

    /// Removes the entry, as a session of the title plays at the node.
    pub fn forget(&mut self, node: NodeId, title: TitleId) {
        if let Some(expiry) = self.expiries.remove(&(node, title)) {
            self.by_expiry.remove(&(expiry, node, title));
        }
    }

    /// Removes all entries of a node that has restarted.
    pub fn node_started(&mut self, node: NodeId) {
        let range = (node, TitleId(0))..=(node, TitleId(u64::MAX));
        let titles: Vec<TitleId> = self.expiries.range(range).map(|(&(_, title), _)| title).collect();
        titles.into_iter().for_each(|title| self.forget(node, title));
    }

    /// Removes the entries that have expired.
    pub fn remove_expired(&mut self, now: Instant) {
        while let Some(&(expiry, node, title)) = self.by_expiry.first().filter(|(expiry, ..)| *expiry <= now)
        {
            self.by_expiry.remove(&(expiry, node, title));
            self.expiries.remove(&(node, title));
        }
    }
}

#[cfg(test)]
mod tests;
