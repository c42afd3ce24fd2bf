//! What nodes deliver, summed up from what each playing session got, once a second a node: the note that the module
//! steps sessions down by. Shares are weighted by the rates of the rungs, as a link is filled by rates.

use std::collections::BTreeMap;

use ashglade::ids::NodeId;

#[derive(Debug, Default)]
pub struct Notes {
    /// By node: what arrived and what was due, in kB a second.
    sums: BTreeMap<NodeId, (f64, f64)>,
}

impl Notes {
    /// A session at `node` with `rate` kB a second due got this share of it. What is no figure is left out.
    pub fn add(&mut self, node: NodeId, rate: f64, share: f64) {
        if share.is_finite() && rate > 0.0 {
            let sum = self.sums.entry(node).or_default();
            sum.0 += rate * share.clamp(0.0, 1.0);
            sum.1 += rate;
        }
    }

    /// The share of each node that was heard of, in the order of nodes; then all is forgotten.
    pub fn take(&mut self) -> impl Iterator<Item = (NodeId, f64)> {
        std::mem::take(&mut self.sums).into_iter().map(|(node, (got, due))| (node, got / due))
    }
}
