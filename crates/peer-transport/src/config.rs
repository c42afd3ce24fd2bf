//! Configuration of the shared state, derived from the settings.

use std::time::Duration;

use ashglade::time::Span;
use ashglade_settings::Settings;
use ashglade_shared::{FleetConfig, PermitPool};

/// Interval at which held permits are checked, as leases end without any message.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Time before the end of a lease at which its permit is given up, in seconds. SETUPs decided by then reach
/// their node before the guard interval ends.
pub const RELEASE_MARGIN_SECONDS: f64 = 0.25;
/// Index of the permit pool for turns at nodes in slow start.
pub const SLOW_START_POOL: usize = 0;
/// Index of the permit pool for further SETUPs at a node, which are those after the first of their session.
pub const RETRY_POOL: usize = 1;
/// Maximum time that tasks may wait for each other between a decision and the first byte of its SETUP, in
/// seconds, besides the time to connect. It must be below [`RELEASE_MARGIN_SECONDS`].
pub const MAX_TASK_DELAY_SECONDS: f64 = 0.2;
/// Interval that in practice never ends, in seconds: gossip and the expiry of reports are disabled where
/// directors share nothing but slow-start turns.
const DISABLED_INTERVAL_SECONDS: f64 = 1e9;

/// Returns the maximum time between a decision and the first byte of its SETUP. After that, the SETUP is not
/// sent.
pub fn max_send_delay(settings: &Settings) -> Span {
    Span::from_secs(settings.rtsp.connect_timeout.as_secs_f64() + MAX_TASK_DELAY_SECONDS)
}

/// Returns the window over which a director counts its further SETUPs at a node. It is longer than the
/// configured one, because the director counts decisions, and the node counts arrivals.
pub fn retry_window(settings: &Settings) -> Option<Span> {
    let repeats = settings.peering.as_ref()?.sharing.as_ref()?.retry_limit?;
    Some(repeats.window + max_send_delay(settings))
}

/// Returns the configuration of the state that this director shares with others; `None` if the settings name
/// no others.
pub fn fleet_config(settings: &Settings) -> Option<FleetConfig> {
    let talk = settings.peering.as_ref()?;
    let headend = &settings.director_config;
    let span = |duration: Duration| Span::from_secs(duration.as_secs_f64());
    let director_count = headend.director_count;
    // A turn consists of two halves: the first is reserved for its director, the second is leased.
    let mut permit_pools = vec![PermitPool { reserved: 1, leasable: director_count, request_all: true }];
    let share = talk.sharing.as_ref();
    let repeats = share.and_then(|share| share.retry_limit.as_ref());
    if let Some(repeats) = repeats {
        let leasable = repeats.max_per_node.saturating_sub(repeats.reserved_per_director * director_count);
        permit_pools.push(PermitPool {
            reserved: repeats.reserved_per_director,
            leasable,
            request_all: false,
        });
    }
    // The guard interval covers the longest window over which nodes count, the time in which a decided SETUP
    // may still be sent, the interval between checks, and the margin by which permits are given up early.
    let longest_window = repeats.map_or(Span::ZERO, |repeats| repeats.window).max(headend.overload_window);
    let guard_interval = longest_window
        + max_send_delay(settings)
        + span(TICK_INTERVAL)
        + Span::from_secs(RELEASE_MARGIN_SECONDS);
    let disabled = Span::from_secs(DISABLED_INTERVAL_SECONDS);
    Some(FleetConfig {
        director_index: headend.director_index,
        zones: talk.zones.clone(),
        max_voters: talk.max_voters,
        lease: span(talk.lease_duration),
        max_clock_drift: talk.max_clock_drift,
        guard_interval,
        permit_pools,
        report_ttl: share.map_or(disabled, |share| span(share.report_ttl)),
        gossip_interval: share.map_or(disabled, |share| span(share.gossip_interval)),
        seed: headend.seed,
        injected_fault: None,
    })
}
