//! Turns changes of the shared state into inputs of the engine. The director in service and the lab's
//! emulator both use it.

use ashglade::ids::NodeId;
use ashglade::time::{Instant, Span};
use ashglade_engine::{Input, LeaseExpiry};
use ashglade_shared::rights::Held;
use ashglade_shared::{Member, Pool, Terms, View};

use crate::terms::{EARLY, LOOK, REPEATS, TURNS};

/// Keeps what the engine was last told, so that it is told only changes.
#[derive(Clone, Debug, Default)]
pub struct Teller {
    /// Window over which further SETUPs at a node are counted; `None` if directors share no limit on them.
    repeats_span: Option<Span>,
    turns: (Vec<usize>, Option<LeaseExpiry>),
    repeats: Option<(usize, Option<LeaseExpiry>)>,
    last: Vec<NodeId>,
}

impl Teller {
    /// Starts with an engine that has been told nothing.
    pub fn new(repeats_span: Option<Span>) -> Teller {
        Teller { repeats_span, ..Teller::default() }
    }

    /// Returns the numbers of the slow-start turns, as last passed to the engine.
    pub fn turns(&self) -> &[usize] {
        &self.turns.0
    }

    /// Returns the limit on further SETUPs at one node within the window, as last passed to the engine;
    /// `None` if directors share no such limit.
    pub fn repeats(&self) -> Option<usize> {
        self.repeats.as_ref().map(|(most, _)| *most)
    }

    /// Returns the nodes to be tried last, as last passed to the engine.
    pub fn last(&self) -> &[NodeId] {
        &self.last
    }

    /// Returns the current snapshot of the shared state, and the inputs by which the engine learns what has
    /// changed.
    pub fn look(&mut self, member: &Member, terms: &Terms, now: Instant) -> (View, Vec<Input>) {
        let early = Span::from_secs(EARLY);
        let view = member.view(now, early);
        let mut news = Vec::new();
        let pool = |pool: usize| (view.held.get(pool).cloned().unwrap_or_default(), terms.pools.get(pool));
        let (held, of) = pool(TURNS);
        let lapse = lapse(&held, of, early);
        if is_news(&self.turns.0, &self.turns.1, &held.rights, &lapse) {
            self.turns = (held.rights.clone(), lapse);
            news.push(Input::SlowStartTurns {
                owned: held.rights,
                total: terms.directors() * 2,
                lease_expiry: lapse,
            });
        }
        let (held, of) = pool(REPEATS);
        if let (Some(pool), Some(span)) = (of, self.repeats_span) {
            let (most, lapse) = (held.rights.len(), self::lapse(&held, Some(pool), early));
            let told = self.repeats.as_ref();
            if told.is_none_or(|(before, until)| is_news(&[*before], until, &[most], &lapse)) {
                self.repeats = Some((most, lapse));
                news.push(Input::RetryLimitPerNode { limit: most, window: span, lease_expiry: lapse });
            }
        }
        let last: Vec<NodeId> = view.left.keys().map(|&node| NodeId(node)).collect();
        if last != self.last {
            self.last.clone_from(&last);
            news.push(Input::SuspectedNodes { nodes: last });
        }
        (view, news)
    }
}

/// Returns when the leases end, and the number of permits retained then; `None` if nothing is leased.
fn lapse(held: &Held, pool: Option<&Pool>, early: Span) -> Option<LeaseExpiry> {
    Some(LeaseExpiry { at: held.until? - early, retained: pool?.kept })
}

/// Returns whether the engine needs an update: the permits changed, or a lease was renewed by more than one
/// tick.
fn is_news(before: &[usize], until: &Option<LeaseExpiry>, now: &[usize], new: &Option<LeaseExpiry>) -> bool {
    let later = match (until, new) {
        (Some(before), Some(new)) => new.at - before.at > Span::from_secs(LOOK.as_secs_f64()),
        (before, new) => before.is_some() != new.is_some(),
    };
    before != now || later
}
