//! The session state machine over stateless HTTP. The first request of the multivariant playlist requests the
//! session; later requests show that it plays, and their absence ends it.
//!
//! A session becomes idle after `IDLE_TARGET_DURATIONS` without a request.
//!
//! | state | playlist request | segment request | node lost | idle |
//! | --- | --- | --- | --- | --- |
//! | requested | waits for the engine | waits | - | never; the engine's setup timeout applies |
//! | playing | fetched, within the rung | fetched, if within the rung | node lost | ended |
//! | node lost | waits for another node | waits for another node | - | ended |
//! | ended | gone | gone | - | - |

use ashglade::time::{Instant, Span};

use crate::playlist::{Variant, offered_variants};

/// The kind of a player's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestKind {
    /// The multivariant playlist.
    MultivariantPlaylist,
    /// The media playlist of the variant with this index, or `None` for a rendition shared by variants, such
    /// as audio.
    MediaPlaylist(Option<usize>),
    /// Any other resource, such as a segment, a key or an initialization section, with the variant as for a
    /// playlist.
    Resource(Option<usize>),
}

impl std::fmt::Display for RequestKind {
    /// Formats the kind as in a URI: `i`, or `m` or `p` followed by the variant's index or by `x`.
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let (kind, variant) = match self {
            RequestKind::MultivariantPlaylist => return f.write_str("i"),
            RequestKind::MediaPlaylist(variant) => ('m', variant),
            RequestKind::Resource(variant) => ('p', variant),
        };
        match variant {
            Some(variant) => write!(f, "{kind}{variant}"),
            None => write!(f, "{kind}x"),
        }
    }
}

impl RequestKind {
    /// Parses the kind of a playlist or resource request from a URI. The multivariant playlist is not
    /// accepted.
    pub fn parse(text: &str) -> Option<RequestKind> {
        let mut chars = text.chars();
        let kind = chars.next()?;
        let variant = match chars.as_str() {
            "x" => None,
            number => Some(number.parse().ok().filter(|_| number.bytes().all(|b| b.is_ascii_digit()))?),
        };
        match kind {
            'm' => Some(RequestKind::MediaPlaylist(variant)),
            'p' => Some(RequestKind::Resource(variant)),
            _ => None,
        }
    }
}

/// The action to take on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestAction {
    /// Keep the request until the engine responds.
    Wait,
    /// Fetch the resource from the node. For a variant's media playlist, fetch that of the variant with this
    /// index.
    Fetch(Option<usize>),
    /// Reject the request: the variant is no longer offered, and the player falls back to another one.
    Withdrawn,
    /// Reject the request: there is no session.
    Gone(GoneReason),
}

/// The reason why a session is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GoneReason {
    /// The session ended, because it was idle or because its node was lost and no other node had capacity.
    Ended,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The engine has not responded to the session request yet.
    Requested,
    Playing,
    /// The node is lost. The player has not sent a request since, so no other node was requested yet.
    NodeLost,
    Ended,
}

/// The state of one HLS session.
#[derive(Debug)]
pub struct Session {
    phase: Phase,
    /// Variants of the node's multivariant playlist.
    variants: Vec<Variant>,
    /// Maximum peak rate of a variant, in kB/s.
    max_rate: f64,
    /// The maximum rate before it was last lowered, and the time until which segments within it are still
    /// served.
    previous_max_rate: Option<(f64, Instant)>,
    target_duration: Span,
    /// Number of responses in progress.
    active_responses: usize,
    /// Time of the last request or completed response.
    last_activity: Instant,
}

/// Number of target durations without a request after which a session ends. An active player reloads a live
/// playlist once per target duration (RFC 8216, 6.3.4) and prefetches a recorded one; its buffer may hold
/// several segments.
const IDLE_TARGET_DURATIONS: f64 = 5.0;
/// Target duration assumed before the first media playlist, in seconds.
const DEFAULT_TARGET_DURATION_SECONDS: f64 = 2.0;
/// Lower bound of the target duration, in seconds.
const MIN_TARGET_DURATION_SECONDS: f64 = 1.0;
/// Number of target durations for which segments of a withdrawn variant are still served, as the player has
/// already loaded its playlist.
const WITHDRAWN_VARIANT_GRACE_TARGET_DURATIONS: f64 = 2.0;
/// Ratio of a variant's permitted peak rate to the rate of the rung.
const PEAK_TO_RUNG_RATE: f64 = 1.1;

impl Session {
    /// Creates a session that was requested from the engine.
    pub fn new(now: Instant) -> Session {
        Session {
            phase: Phase::Requested,
            variants: Vec::new(),
            max_rate: 0.0,
            previous_max_rate: None,
            target_duration: Span::from_secs(DEFAULT_TARGET_DURATION_SECONDS),
            active_responses: 0,
            last_activity: now,
        }
    }

    /// Returns the maximum peak rate of a variant, in kB/s.
    pub fn max_rate(&self) -> f64 {
        self.max_rate
    }

    /// Records that a node accepted the session, at a rung of `rate` kB/s.
    pub fn started(&mut self, rate: f64, now: Instant) {
        if self.phase != Phase::Ended {
            (self.phase, self.last_activity) = (Phase::Playing, now);
            (self.max_rate, self.previous_max_rate) = (rate * PEAK_TO_RUNG_RATE, None);
        }
    }

    /// Sets the variants of the node's multivariant playlist. Returns false, and keeps the previous ones, if
    /// the session moved to a node whose variants differ, as the URIs that the player holds would refer to
    /// other variants there.
    pub fn set_variants(&mut self, variants: Vec<Variant>) -> bool {
        let paths = |variants: &[Variant]| {
            variants.iter().map(|v| v.path.split('?').next().map(str::to_string)).collect::<Vec<_>>()
        };
        let same = self.variants.is_empty() || paths(&self.variants) == paths(&variants);
        if same {
            self.variants = variants;
        }
        same
    }

    /// Returns the path of a variant's media playlist at the current node, relative to the title's folder.
    pub fn variant_path(&self, variant: usize) -> Option<&str> {
        self.variants.get(variant).map(|v| v.path.as_str())
    }

    /// Returns the peak rate of a variant, in kB/s.
    pub fn variant_rate(&self, variant: usize) -> Option<f64> {
        self.variants.get(variant).map(|v| v.peak_kb_per_s)
    }

    /// Sets the rung's rate in kB/s. The player notices the change when it reloads its playlist.
    pub fn set_rung_rate(&mut self, rate: f64, now: Instant) {
        let max_rate = rate * PEAK_TO_RUNG_RATE;
        self.previous_max_rate = (max_rate < self.max_rate)
            .then(|| (self.max_rate, now + self.target_duration * WITHDRAWN_VARIANT_GRACE_TARGET_DURATIONS));
        self.max_rate = max_rate;
    }

    /// Ends the session.
    pub fn end(&mut self) {
        self.phase = Phase::Ended;
    }

    /// Records the loss of the node. Returns whether the session was playing, that is, whether the loss is
    /// new.
    pub fn node_lost(&mut self) -> bool {
        let was_playing = self.phase == Phase::Playing;
        if was_playing {
            self.phase = Phase::NodeLost;
        }
        was_playing
    }

    /// Returns whether another node has to be requested from the engine, because the node was lost and the
    /// player has sent a request since. Returns true once per loss.
    pub fn start_failover(&mut self) -> bool {
        let needs_node = self.phase == Phase::NodeLost;
        if needs_node {
            self.phase = Phase::Requested;
        }
        needs_node
    }

    /// Returns whether the session has ended.
    pub fn is_ended(&self) -> bool {
        self.phase == Phase::Ended
    }

    /// Handles a request of the player.
    pub fn handle_request(&mut self, kind: RequestKind, now: Instant) -> RequestAction {
        self.last_activity = now;
        match (self.phase, kind) {
            (Phase::Ended, _) => RequestAction::Gone(GoneReason::Ended),
            (Phase::Requested | Phase::NodeLost, _) => RequestAction::Wait,
            (
                Phase::Playing,
                RequestKind::MultivariantPlaylist
                | RequestKind::MediaPlaylist(None)
                | RequestKind::Resource(None),
            ) => RequestAction::Fetch(None),
            (Phase::Playing, RequestKind::MediaPlaylist(Some(variant))) => {
                RequestAction::Fetch(Some(self.offered_or_highest(variant)))
            }
            (Phase::Playing, RequestKind::Resource(Some(variant))) => match self.variants.get(variant) {
                Some(v)
                    if v.peak_kb_per_s <= self.max_rate || self.is_in_grace_period(v.peak_kb_per_s, now) =>
                {
                    RequestAction::Fetch(Some(variant))
                }
                Some(_) if self.offered_or_highest(variant) == variant => RequestAction::Fetch(Some(variant)),
                _ => RequestAction::Withdrawn,
            },
        }
    }

    /// Returns whether segments at this rate are still served after the maximum rate was lowered.
    fn is_in_grace_period(&self, rate: f64, now: Instant) -> bool {
        self.previous_max_rate.is_some_and(|(max_rate, until)| rate <= max_rate && now <= until)
    }

    /// Returns the variant itself if it is offered, or else the highest variant that is.
    fn offered_or_highest(&self, variant: usize) -> usize {
        let offered = offered_variants(&self.variants, self.max_rate).unwrap_or_default();
        match offered.contains(&variant) {
            true => variant,
            false => offered
                .into_iter()
                .max_by(|&a, &b| self.variants[a].peak_kb_per_s.total_cmp(&self.variants[b].peak_kb_per_s))
                .unwrap_or(variant),
        }
    }

    /// Sets the target duration of the last media playlist, in seconds.
    pub fn set_target_duration(&mut self, target_duration: f64) {
        self.target_duration = Span::from_secs(target_duration.max(MIN_TARGET_DURATION_SECONDS));
    }

    /// Records the start of a response.
    pub fn response_started(&mut self) {
        self.active_responses += 1;
    }

    /// Records the end of a response.
    pub fn response_finished(&mut self, now: Instant) {
        self.active_responses = self.active_responses.saturating_sub(1);
        self.last_activity = now;
    }

    /// Returns the number of responses in progress.
    pub fn active_responses(&self) -> usize {
        self.active_responses
    }

    /// Returns the time at which the session becomes idle unless the player sends another request. Returns
    /// `None` while a response is in progress or the engine has not responded.
    pub fn idle_deadline(&self) -> Option<Instant> {
        (self.active_responses == 0 && self.phase != Phase::Requested)
            .then(|| self.last_activity + self.target_duration * IDLE_TARGET_DURATIONS)
    }
}
