//! What nodes were found not to hold, though the catalogue says that they do. A node that answers 404 to a SETUP has said
//! that nothing runs (RFC 2326, 7.1.1 and 11.3.1) and nothing of its health: it is believed for that title alone, until
//! the node starts again or a list tells of it anew, and for so long at most, as nodes are filled behind our back.
//!
//! Bounded: of many, those told longest ago are forgotten first, at the cost of one more 404 each. There is no I/O, no clock
//! and no thread in it.

use std::collections::{BTreeMap, BTreeSet};

use ashglade::ids::{NodeId, TitleId};
use ashglade::time::{Instant, Span};

#[derive(Debug)]
pub struct Missing {
    /// By node and title: until when it is believed.
    until: BTreeMap<(NodeId, TitleId), Instant>,
    /// The same in the order of time.
    order: BTreeSet<(Instant, NodeId, TitleId)>,
    most: usize,
    believed: Span,
}

impl Missing {
    /// So many are held at most, each for so long.
    pub fn new(most: usize, believed: Span) -> Missing {
        Missing { until: BTreeMap::new(), order: BTreeSet::new(), most, believed }
    }

    pub fn len(&self) -> usize {
        self.until.len()
    }

    pub fn is_empty(&self) -> bool {
        self.until.is_empty()
    }

    /// The node said that it doesn't hold the title.
    pub fn told(&mut self, node: NodeId, title: TitleId, now: Instant) {
        self.forget(node, title);
        while self.until.len() >= self.most
            && let Some((_, node, title)) = self.order.pop_first()
        {
            self.until.remove(&(node, title));
        }
        if self.most > 0 {
            let until = now + self.believed;
            self.until.insert((node, title), until);
            self.order.insert((until, node, title));
        }
    }

    /// Whether it is believed not to hold it.
    pub fn lacks(&self, node: NodeId, title: TitleId, now: Instant) -> bool {
        self.until.get(&(node, title)).is_some_and(|&until| now < until)
    }

    /// It holds it after all, as a session plays there.
    pub fn forget(&mut self, node: NodeId, title: TitleId) {
        if let Some(until) = self.until.remove(&(node, title)) {
            self.order.remove(&(until, node, title));
        }
    }

    /// The node started again: nothing is known of it.
    pub fn started(&mut self, node: NodeId) {
        let mine = (node, TitleId(0))..=(node, TitleId(u64::MAX));
        let gone: Vec<TitleId> = self.until.range(mine).map(|(&(_, title), _)| title).collect();
        gone.into_iter().for_each(|title| self.forget(node, title));
    }

    /// Lets go of what is no longer believed.
    pub fn tidy(&mut self, now: Instant) {
        while let Some(&(until, node, title)) = self.order.first().filter(|(until, ..)| *until <= now) {
            self.order.remove(&(until, node, title));
            self.until.remove(&(node, title));
        }
    }
}

#[cfg(test)]
mod tests;
