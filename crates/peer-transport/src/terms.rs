//! Configuration of the shared state, derived from the settings.

use std::time::Duration;

use ashglade::time::Span;
use ashglade_settings::Settings;
use ashglade_shared::{Pool, Terms};

/// Interval at which held permits are checked, as leases end without any message.
pub const LOOK: Duration = Duration::from_millis(100);
/// Time before the end of a lease at which its permit is given up, in seconds. SETUPs decided by then reach
/// their node before the guard interval ends.
pub const EARLY: f64 = 0.25;
/// Index of the permit pool for turns at nodes in slow start.
pub const TURNS: usize = 0;
/// Index of the permit pool for further SETUPs at a node.
pub const REPEATS: usize = 1;
/// Maximum time that tasks may wait for each other between a decision and the first byte of its SETUP, in
/// seconds, besides the time to connect. It must be below [`RELEASE_MARGIN_SECONDS`].
pub const LATE: f64 = 0.2;
/// Interval that in practice never ends, in seconds: gossip and the expiry of reports are disabled where
/// directors share nothing but slow-start turns.
const NEVER: f64 = 1e9;

/// Returns the maximum time between a decision and the first byte of its SETUP. After that, the SETUP is not
/// sent.
pub fn under_way(settings: &Settings) -> Span {
    Span::from_secs(settings.front.connect_timeout.as_secs_f64() + LATE)
}

/// Returns the window over which a director counts its further SETUPs at a node. It is longer than the
/// configured one, because the director counts decisions, and the node counts arrivals.
pub fn repeats_span(settings: &Settings) -> Option<Span> {
    let repeats = settings.talk.as_ref()?.share.as_ref()?.repeats?;
    Some(repeats.span + under_way(settings))
}

/// Returns the configuration of the state that this director shares with others; `None` if the settings name
/// no others.
pub fn terms(settings: &Settings) -> Option<Terms> {
    let talk = settings.talk.as_ref()?;
    let headend = &settings.headend;
    let seconds = |d: Duration| Span::from_secs(d.as_secs_f64());
    let directors = headend.director_count;
    // A turn consists of two halves: the first is reserved for its director, the second is leased.
    let mut pools = vec![Pool { kept: 1, lent: directors, always: true }];
    let share = talk.share.as_ref();
    let repeats = share.and_then(|share| share.repeats.as_ref());
    if let Some(repeats) = repeats {
        let lent = repeats.at_node.saturating_sub(repeats.kept * directors);
        pools.push(Pool { kept: repeats.kept, lent, always: false });
    }
    // The guard interval covers the longest window over which nodes count, the time in which a decided SETUP
    // may still be sent, the interval between checks, and the margin by which permits are given up early.
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
