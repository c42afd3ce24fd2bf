//! A session over stateless HTTP. The first request of a multivariant playlist is the session's request; playing is
//! told from what follows, quiet and the end from what doesn't.
//!
//! | it is | a playlist is asked for | a segment is asked for | its node is lost | nothing is asked for |
//! | --- | --- | --- | --- | --- |
//! | asking | waits for the answer | waits | - | the engine's guard answers |
//! | playing | fetched, under the rung | fetched, if under the rung | seeking | over, after some target durations |
//! | seeking | waits for the answer | waits | - | over |
//! | over | gone | gone | - | - |

use ashglade::time::{Instant, Span};

use crate::playlist::{Variant, offered};

/// What a request is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ask {
    Master,
    /// The playlist of a variant, by its number; none for what variants share, as audio.
    Media(Option<usize>),
    /// Anything else: segments, keys, initialization sections.
    Part(Option<usize>),
}

impl std::fmt::Display for Ask {
    /// As it goes along in a URI: `m` or `p` and the variant, or `x`.
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let (kind, variant) = match self {
            Ask::Master => return f.write_str("i"),
            Ask::Media(variant) => ('m', variant),
            Ask::Part(variant) => ('p', variant),
        };
        match variant {
            Some(variant) => write!(f, "{kind}{variant}"),
            None => write!(f, "{kind}x"),
        }
    }
}

impl Ask {
    pub fn read(text: &str) -> Option<Ask> {
        let mut chars = text.chars();
        let kind = chars.next()?;
        let variant = match chars.as_str() {
            "x" => None,
            number => Some(number.parse().ok().filter(|_| number.bytes().all(|b| b.is_ascii_digit()))?),
        };
        match kind {
            'm' => Some(Ask::Media(variant)),
            'p' => Some(Ask::Part(variant)),
            _ => None,
        }
    }
}

/// What is to be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// It waits for the engine's answer.
    Wait,
    /// It is fetched from the node; of a variant's playlist, that of this variant.
    Fetch(Option<usize>),
    /// The variant was withdrawn: the player falls back to another.
    Withdrawn,
    Gone(Gone),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gone {
    /// It ended here: by quiet, or its node was lost and no other had room.
    Over,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Asking,
    Playing,
    /// Its node is lost: told as lost, and nothing asked yet.
    Lost,
    Over,
}

#[derive(Debug)]
pub struct Session {
    phase: Phase,
    variants: Vec<Variant>,
    /// kB a second that the rung allows, and before it last went down, until when that still holds.
    most: f64,
    before: Option<(f64, Instant)>,
    target: Span,
    /// Requests that are being answered, and when the last one was.
    open: usize,
    heard: Instant,
}

/// Without a request for so many target durations it is over. A player that is alive reloads a live playlist once in
/// one (RFC 8216, 6.3.4) and fetches ahead of a recorded one; its buffer may hold some.
const QUIET: f64 = 5.0;
/// In seconds: until a playlist told one, and the least that is gone by.
const TARGET: f64 = 2.0;
const LEAST: f64 = 1.0;
/// Segments of a variant that was withdrawn are still given for so many target durations: the player has its playlist.
const GRACE: f64 = 2.0;
/// Peaks may be over the rung's rate by this part.
const PEAK: f64 = 1.1;

impl Session {
    pub fn new(now: Instant) -> Session {
        Session {
            phase: Phase::Asking,
            variants: Vec::new(),
            most: 0.0,
            before: None,
            target: Span::from_secs(TARGET),
            open: 0,
            heard: now,
        }
    }

    /// kB a second that a variant may have at its peak.
    pub fn most(&self) -> f64 {
        self.most
    }

    /// The engine's answer: it plays, at a rung of so many kB a second.
    pub fn plays(&mut self, rate: f64, now: Instant) {
        if self.phase != Phase::Over {
            (self.phase, self.heard) = (Phase::Playing, now);
            (self.most, self.before) = (rate * PEAK, None);
        }
    }

    /// What the node has, as its multivariant playlist told. False where a session that goes on at another node finds
    /// other variants there: its player's URIs mean something else.
    pub fn has(&mut self, variants: Vec<Variant>) -> bool {
        let names = |v: &[Variant]| {
            v.iter().map(|v| v.path.split('?').next().map(str::to_string)).collect::<Vec<_>>()
        };
        let same = self.variants.is_empty() || names(&self.variants) == names(&variants);
        if same {
            self.variants = variants;
        }
        same
    }

    /// The path of a variant's playlist at the node that it is at now.
    pub fn path(&self, variant: usize) -> Option<&str> {
        self.variants.get(variant).map(|v| v.path.as_str())
    }

    /// kB a second of a variant at its peak.
    pub fn rate(&self, variant: usize) -> Option<f64> {
        self.variants.get(variant).map(|v| v.rate)
    }

    /// The engine changed the rung; the player hears of it when it loads its playlist again.
    pub fn rung(&mut self, rate: f64, now: Instant) {
        let most = rate * PEAK;
        self.before = (most < self.most).then(|| (self.most, now + self.target * GRACE));
        self.most = most;
    }

    /// The answer was no, or it is over at the node for good.
    pub fn over(&mut self) {
        self.phase = Phase::Over;
    }

    /// Its node is lost; true if that is news.
    pub fn lost(&mut self) -> bool {
        let news = self.phase == Phase::Playing;
        if news {
            self.phase = Phase::Lost;
        }
        news
    }

    /// The node is lost, and the engine is to be asked for another, now that the player wants something; once.
    pub fn seeks(&mut self) -> bool {
        let seeks = self.phase == Phase::Lost;
        if seeks {
            self.phase = Phase::Asking;
        }
        seeks
    }

    pub fn is_over(&self) -> bool {
        self.phase == Phase::Over
    }

    /// A request of the player's.
    pub fn asked(&mut self, ask: Ask, now: Instant) -> Step {
        self.heard = now;
        match (self.phase, ask) {
            (Phase::Over, _) => Step::Gone(Gone::Over),
            (Phase::Asking | Phase::Lost, _) => Step::Wait,
            (Phase::Playing, Ask::Master | Ask::Media(None) | Ask::Part(None)) => Step::Fetch(None),
            (Phase::Playing, Ask::Media(Some(variant))) => Step::Fetch(Some(self.under(variant))),
            (Phase::Playing, Ask::Part(Some(variant))) => match self.variants.get(variant) {
                Some(v) if v.rate <= self.most || self.still(v.rate, now) => Step::Fetch(Some(variant)),
                Some(_) if self.under(variant) == variant => Step::Fetch(Some(variant)),
                _ => Step::Withdrawn,
            },
        }
    }

    fn still(&self, rate: f64, now: Instant) -> bool {
        self.before.is_some_and(|(most, until)| rate <= most && now <= until)
    }

    /// The variant itself if it is under the rung, else the highest that is.
    fn under(&self, variant: usize) -> usize {
        let fit = offered(&self.variants, self.most).unwrap_or_default();
        match fit.contains(&variant) {
            true => variant,
            false => fit
                .into_iter()
                .max_by(|&a, &b| self.variants[a].rate.total_cmp(&self.variants[b].rate))
                .unwrap_or(variant),
        }
    }

    /// A media playlist told its target duration, in seconds.
    pub fn target(&mut self, target: f64) {
        self.target = Span::from_secs(target.max(LEAST));
    }

    /// An answer begins to be written, and is done.
    pub fn begins(&mut self) {
        self.open += 1;
    }

    pub fn done(&mut self, now: Instant) {
        self.open = self.open.saturating_sub(1);
        self.heard = now;
    }

    /// Requests that are being answered.
    pub fn open(&self) -> usize {
        self.open
    }

    /// It is quiet from then on, if nothing is heard before; never while it is answered or waits for the engine.
    pub fn quiet_at(&self) -> Option<Instant> {
        (self.open == 0 && self.phase != Phase::Asking).then(|| self.heard + self.target * QUIET)
    }
}
