//! Turns changes of the shared state into inputs of the engine. The director in service and the lab's
//! emulator both use it.

use ashglade::ids::NodeId;
use ashglade::time::{Instant, Span};
use ashglade_engine::{Input, LeaseExpiry};
use ashglade_shared::permits::HeldPermits;
use ashglade_shared::{FleetConfig, PermitPool, SharedState, Snapshot};

use crate::config::{RELEASE_MARGIN_SECONDS, RETRY_POOL, SLOW_START_POOL, TICK_INTERVAL};

/// Keeps what the engine was last told, so that it is told only changes.
#[derive(Clone, Debug, Default)]
pub struct EngineUpdates {
    /// Window over which further SETUPs at a node are counted; `None` if directors share no limit on them.
    retry_window: Option<Span>,
    /// Numbers of the held slow-start turns, and when their leases end.
    slow_start_turns: (Vec<usize>, Option<LeaseExpiry>),
    /// Limit on further SETUPs at one node, and when the leases behind it end.
    retry_limit: Option<(usize, Option<LeaseExpiry>)>,
    /// Nodes to be tried last.
    suspected_nodes: Vec<NodeId>,
}

impl EngineUpdates {
    /// Starts with an engine that has been told nothing.
    pub fn new(retry_window: Option<Span>) -> EngineUpdates {
        EngineUpdates { retry_window, ..EngineUpdates::default() }
    }

    /// Returns the numbers of the slow-start turns, as last passed to the engine.
    pub fn slow_start_turns(&self) -> &[usize] {
        &self.slow_start_turns.0
    }

    /// Returns the limit on further SETUPs at one node within the window, as last passed to the engine;
    /// `None` if directors share no such limit.
    pub fn retry_limit(&self) -> Option<usize> {
        self.retry_limit.as_ref().map(|(limit, _)| *limit)
    }

    /// Returns the nodes to be tried last, as last passed to the engine.
    pub fn suspected_nodes(&self) -> &[NodeId] {
        &self.suspected_nodes
    }

    /// Returns the current snapshot of the shared state, and the inputs by which the engine learns what has
    /// changed.
    pub fn poll(
        &mut self,
        state: &SharedState,
        config: &FleetConfig,
        now: Instant,
    ) -> (Snapshot, Vec<Input>) {
        let margin = Span::from_secs(RELEASE_MARGIN_SECONDS);
        let snapshot = state.snapshot(now, margin);
        let mut inputs = Vec::new();
        let held_in = |pool: usize| {
            (snapshot.held.get(pool).cloned().unwrap_or_default(), config.permit_pools.get(pool))
        };
        let (held, permit_pool) = held_in(SLOW_START_POOL);
        let expiry = lease_expiry(&held, permit_pool, margin);
        if is_changed(&self.slow_start_turns.0, &self.slow_start_turns.1, &held.numbers, &expiry) {
            self.slow_start_turns = (held.numbers.clone(), expiry);
            inputs.push(Input::SlowStartTurns {
                owned: held.numbers,
                total: config.director_count() * 2,
                lease_expiry: expiry,
            });
        }
        let (held, permit_pool) = held_in(RETRY_POOL);
        if let (Some(pool), Some(window)) = (permit_pool, self.retry_window) {
            let (limit, expiry) = (held.numbers.len(), self::lease_expiry(&held, Some(pool), margin));
            let previous = self.retry_limit.as_ref();
            if previous.is_none_or(|(old_limit, old_expiry)| {
                is_changed(&[*old_limit], old_expiry, &[limit], &expiry)
            }) {
                self.retry_limit = Some((limit, expiry));
                inputs.push(Input::RetryLimitPerNode { limit, window, lease_expiry: expiry });
            }
        }
        let suspected_nodes: Vec<NodeId> =
            snapshot.suspected_nodes.keys().map(|&node| NodeId(node)).collect();
        if suspected_nodes != self.suspected_nodes {
            self.suspected_nodes.clone_from(&suspected_nodes);
            inputs.push(Input::SuspectedNodes { nodes: suspected_nodes });
        }
        (snapshot, inputs)
    }
}

/// Returns when the leases end, and the number of permits retained then; `None` if nothing is leased.
fn lease_expiry(held: &HeldPermits, pool: Option<&PermitPool>, margin: Span) -> Option<LeaseExpiry> {
    Some(LeaseExpiry { at: held.valid_until? - margin, retained: pool?.reserved })
}

/// Returns whether the engine needs an update: the permits changed, the first lease was taken or the last one
/// ended, or the earliest end moved by more than [`TICK_INTERVAL`].
fn is_changed(
    old_numbers: &[usize],
    old_expiry: &Option<LeaseExpiry>,
    new_numbers: &[usize],
    new_expiry: &Option<LeaseExpiry>,
) -> bool {
    let is_renewed = match (old_expiry, new_expiry) {
        (Some(old), Some(new)) => new.at - old.at > Span::from_secs(TICK_INTERVAL.as_secs_f64()),
        (old, new) => old.is_some() != new.is_some(),
    };
    old_numbers != new_numbers || is_renewed
}
