//! What the engine is told of what is shared: what changed, and no more. The same for the running director and the emulator.

use ashglade::ids::NodeId;
use ashglade::time::{Instant, Span};
use ashglade_engine::{Input, LeaseExpiry};
use ashglade_shared::rights::Held;
use ashglade_shared::{Member, Pool, Terms, View};

use crate::terms::{EARLY, LOOK, REPEATS, TURNS};

#[derive(Clone, Debug, Default)]
pub struct Teller {
    /// The span in which a node's further SETUPs are counted, where they are shared.
    repeats_span: Option<Span>,
    turns: (Vec<usize>, Option<LeaseExpiry>),
    repeats: Option<(usize, Option<LeaseExpiry>)>,
    last: Vec<NodeId>,
}

impl Teller {
    pub fn new(repeats_span: Option<Span>) -> Teller {
        Teller { repeats_span, ..Teller::default() }
    }

    pub fn turns(&self) -> &[usize] {
        &self.turns.0
    }

    /// Further SETUPs for one node within the span, as last told.
    pub fn repeats(&self) -> Option<usize> {
        self.repeats.as_ref().map(|(most, _)| *most)
    }

    pub fn last(&self) -> &[NodeId] {
        &self.last
    }

    /// What is believed now, and what of it the engine doesn't know yet.
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

/// When what is lent runs out, if anything is, and what is kept then.
fn lapse(held: &Held, pool: Option<&Pool>, early: Span) -> Option<LeaseExpiry> {
    Some(LeaseExpiry { at: held.until? - early, retained: pool?.kept })
}

/// The engine is told anew when rights change, and when a lease was renewed for a good while.
fn is_news(before: &[usize], until: &Option<LeaseExpiry>, now: &[usize], new: &Option<LeaseExpiry>) -> bool {
    let later = match (until, new) {
        (Some(before), Some(new)) => new.at - before.at > Span::from_secs(LOOK.as_secs_f64()),
        (before, new) => before.is_some() != new.is_some(),
    };
    before != now || later
}
