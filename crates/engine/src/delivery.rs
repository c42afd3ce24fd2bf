//! Sums what the playing sessions of each node receive into one delivery ratio per node, which the policy
//! uses to step sessions down the ladder. Ratios are weighted by the rate of each session's rung, because a
//! link fills by rate and not by session count.

use std::collections::BTreeMap;

use ashglade::ids::NodeId;

/// Delivered and expected rates by node since the totals were last drained.
#[derive(Debug, Default)]
pub struct DeliveryTotals {
    /// By node: the rate delivered and the rate expected, in kB/s.
    rates: BTreeMap<NodeId, (f64, f64)>,
}

impl DeliveryTotals {
    /// Adds a session that expects `rate` kB/s from `node` and received the part `share` of it, limited to 0
    /// to 1. Shares that are not finite are ignored.
    pub fn add(&mut self, node: NodeId, rate: f64, share: f64) {
        if share.is_finite() && rate > 0.0 {
            let sum = self.rates.entry(node).or_default();
            sum.0 += rate * share.clamp(0.0, 1.0);
            sum.1 += rate;
        }
    }

    /// Returns the delivery ratio of each node that was reported on, in node order, and clears the totals.
    pub fn take(&mut self) -> impl Iterator<Item = (NodeId, f64)> {
        std::mem::take(&mut self.rates)
            .into_iter()
            .map(|(node, (delivered, expected))| (node, delivered / expected))
    }
}
