//! What directors share by their settings.

use std::time::Duration;

use ashglade::time::Span;
use ashglade_settings::Settings;
use ashglade_shared::{Pool, Terms};

/// How often what is held is looked at: it runs out by itself.
pub const LOOK: Duration = Duration::from_millis(100);
/// Rights are given up so long before they run out: what has been decided by then is with its node before the rest is over.
pub const EARLY: f64 = 0.25;
/// The pools, in their order.
pub const TURNS: usize = 0;
pub const REPEATS: usize = 1;
/// What tasks may wait for each other between a decision and its first byte, beyond the connection: under [`EARLY`].
pub const LATE: f64 = 0.2;
/// Spread stands still where nothing but turns is shared.
const NEVER: f64 = 1e9;

/// What passes at most between a decision and the first byte of its SETUP; later, it isn't written.
pub fn under_way(settings: &Settings) -> Span {
    Span::from_secs(settings.front.connect_timeout.as_secs_f64() + LATE)
}

/// The span in which a director counts its further SETUPs at a node: from decisions, where the node counts what arrives.
pub fn repeats_span(settings: &Settings) -> Option<Span> {
    let repeats = settings.talk.as_ref()?.share.as_ref()?.repeats?;
    Some(repeats.span + under_way(settings))
}

/// What this director shares with the others; none where its settings don't name them.
pub fn terms(settings: &Settings) -> Option<Terms> {
    let talk = settings.talk.as_ref()?;
    let headend = &settings.headend;
    let seconds = |d: Duration| Span::from_secs(d.as_secs_f64());
    let directors = headend.director_count;
    // A turn is in two halves: the first is its director's for good, the second lent.
    let mut pools = vec![Pool { kept: 1, lent: directors, always: true }];
    let share = talk.share.as_ref();
    let repeats = share.and_then(|share| share.repeats.as_ref());
    if let Some(repeats) = repeats {
        let lent = repeats.at_node.saturating_sub(repeats.kept * directors);
        pools.push(Pool { kept: repeats.kept, lent, always: false });
    }
    // Between two holders of a right: the longest span in which nodes count, what a connection and an answer may take on
    // top, and what is given up early.
    let counted = repeats.map_or(Span::ZERO, |repeats| repeats.span).max(headend.overload_window);
    let rest = counted + under_way(settings) + seconds(LOOK) + Span::from_secs(EARLY);
    let never = Span::from_secs(NEVER);
    Some(Terms {
        me: headend.director_index,
        zones: talk.zones.clone(),
        council: talk.council,
        lease: seconds(talk.lease),
        drift: talk.drift,
        rest,
        pools,
        fade: share.map_or(never, |share| seconds(share.fade)),
        gossip: share.map_or(never, |share| seconds(share.gossip)),
        seed: headend.seed,
        defect: None,
    })
}
