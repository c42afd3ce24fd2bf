//! All decisions of a director: which media node a session is set up at, at which rung, and when it is
//! busy-replied. Call [`Director::new`] once with what is read at start, then [`Director::run_round`] once
//! for each batch of news, with a closure that replays the news in order on the [`Round`]; decisions go
//! straight to the writer. The writer trait and what is read at start are in `src/interface.rs`.

use crate::ids::{NodeId, Rung, SessionId, SetupNumber, TimerId, ZoneId, spread};
use crate::interface::{
    AttemptOutcome, DecisionSink, DirectorConfig, LoadMetric, NodeInfo, RetryBudget, RetrySafety, RetryScope,
    SessionRequest,
};
use crate::state::{Counts, Fleet, Hold, Plant, Racks, Sitting, Sittings, Terms};
use crate::time::{Instant, Span, halved};

/// Weights of the score: our zone, set-up success, free room.
const ZONE_WEIGHT: f64 = 0.5;
const SUCCESS_WEIGHT: f64 = 1.0;
const ROOM_WEIGHT: f64 = 3.0;
/// Scores that differ by less are as good as equal: chance decides.
const NEAR: f64 = 0.2;
/// Past set-ups count half after so many seconds.
const SUCCESS_HALF_LIFE: f64 = 30.0;
/// What is reported of a node, or seen of a short uplink, counts half after so many seconds, and gives way
/// to what is held of the fleet.
const REPORT_HALF_LIFE: f64 = 5.0;
/// A rung fits if so many times its rate does.
const RATE_MARGIN: f64 = 1.1;
/// By so much more, as a power of what its last kB earn, at a node that isn't heard of.
const CAUTION: f64 = 0.5;
/// A climb wants so many quiet seconds, drawn for each session; a session switches once in `PACE`.
const QUIET: (f64, f64) = (20.0, 30.0);
const PACE: f64 = 60.0;
/// Part of a node's other sessions that climb by the same report.
const CLIMBERS: f64 = 0.3;
/// Below this part of its rate a session is short; while it is, a note comes every `NOTE_GAP` seconds.
const SHORT: f64 = 0.98;
const NOTE_GAP: f64 = 1.0;
/// The least of its mean that an uplink is held to carry.
const LEAST_UPLINK: f64 = 0.25;
/// What one set-up may take of a link's free room; the rest is for the viewers about to come.
const LINK_PART: f64 = 0.45;
/// What one may take of the uplink's free room, over an even part for each node of the rack.
const UPLINK_PART: f64 = 0.9;
/// Set-ups that come before a report of a link can tell, for each session at the middle rate that it carries.
const CHURN: f64 = 0.02;
/// How far room goes by need, over the part of the goal that goes by the worst-served group.
const EVENNESS: f64 = 2.0;
/// What one session may count on of the fleet's capacity, over an even part, and over its part of free room.
const EVEN_PART: f64 = 0.9;
const MOST_OVER: f64 = 2.0;
/// A node that isn't reported is held to be no fuller than this; and one reported is met as often as it is
/// full, at least this often.
const MOST_FULL: f64 = 0.9;
const LEAST_MET: f64 = 0.25;
/// A link is held to be asked for so many times what it gives, at most.
const MOST_ASKED: f64 = 2.0;
/// So many nodes of a zone give no answer, with no word of any other between: the zone failed as one.
const AS_ONE: usize = 3;
/// Part of a cold node's allowance that all directors together use.
const COLD_PART: f64 = 0.8;
/// A SETUP that isn't the last gets this part of what is left to the start target, and at least so much of
/// the shortest start target.
const TRY_PART: f64 = 0.5;
const TRY_LEAST: f64 = 0.25;
/// The retry-after of a busy reply, over the longest that can be told.
const RETRY_PART: f64 = 0.5;
/// The time between looks at playing sessions, over the shortest start target.
const PULSE_PART: f64 = 0.5;
/// A list that can't be followed is asked for again after this part of the time allowed.
const ASK_PART: f64 = 0.25;
/// What others found failing stands behind all others of the list, whatever their scores.
const LAST: f64 = 100.0;
/// The part of all utility that probes may cost, where nothing else tells the load and where answers do too,
/// and the most nodes that are probed for one session.
const PROBE_SPEND: f64 = 0.03;
const PROBE_SPEND_TOLD: f64 = 0.01;
const PROBES: f64 = 2.0;
/// A session whose setup timeout is nearer than so many of the shortest start target isn't kept for probes.
const HURRY: f64 = 2.0;

pub struct Director {
    now: Instant,
    begun: Instant,
    rng: oorandom::Rand64,
    plant: Plant,
    fleet: Fleet,
    racks: Racks,
    sess: Sittings,
    /// Sessions that want a decision at the end of the round.
    waiting: Vec<SessionId>,
    counts: Counts,
    list_asked: Instant,
    follows: bool,
    /// Sessions that played already were handed to us at our start.
    handed: bool,
}

/// What the fleet is held to be asked for.
struct Picture {
    asked: Vec<f64>,
    /// By rack: what its uplink is asked for, and its ready nodes.
    uplink_asked: Vec<f64>,
    mates: Vec<f64>,
    /// How much of what is known of a rack is fresh.
    heard: Vec<f64>,
    /// Our mean rate, and an even part of the fleet for each session.
    mean: f64,
    even: f64,
}

/// The news of one round, told in order.
pub struct Round<'a> {
    d: &'a mut Director,
    out: &'a mut dyn DecisionSink,
}

impl Director {
    pub fn new(head: &DirectorConfig, now: Instant) -> Director {
        let plant = Plant::of(head);
        Director {
            now,
            begun: now,
            rng: oorandom::Rand64::new(head.seed.into()),
            racks: Racks::of(&plant),
            plant,
            fleet: Fleet::default(),
            sess: Sittings::default(),
            waiting: Vec::new(),
            counts: Counts::default(),
            list_asked: now,
            follows: false,
            handed: false,
        }
    }

    /// Takes all news of one round, then decides.
    pub fn run_round<T>(
        &mut self,
        now: Instant,
        news: impl FnOnce(&mut Round) -> T,
        out: &mut dyn DecisionSink,
    ) -> T {
        let first = self.now == self.begun && self.fleet.node.is_empty();
        self.now = now;
        let told = news(&mut Round { d: self, out: &mut *out });
        if first {
            // Handed no sessions, we may have started at any time: our list vouches for no node, and each is
            // held to have started no earlier than we did, unless told to be cold: that start is known.
            self.handed = self.sess.iter().any(|(_, s)| s.plays);
            for i in 0..self.fleet.node.len() {
                if !self.handed && self.warmth(self.fleet.born[i]) >= 1.0 {
                    (self.fleet.born[i], self.fleet.vouched[i]) = (now, now);
                }
            }
            // Handed none, or some but none of our own zone, we may have been lost with that zone.
            let zones: Vec<ZoneId> =
                self.sess.iter().filter_map(|(_, s)| Some(self.fleet.zone[s.node?])).collect();
            let (ours, few) = (self.plant.zone, 1..AS_ONE);
            let elsewhere = self.fleet.zone.iter().any(|&zone| zone != ours);
            if elsewhere && !few.contains(&zones.len()) && !zones.contains(&ours) {
                self.fleet.holds.insert(ours, Hold { since: Instant::LONG_AGO, back: false });
            }
            if self.plant.ask_list.is_some() {
                out.watch_node_list(true);
            }
            out.set_timer(TimerId(0), self.plant.target * PULSE_PART);
        }
        for id in std::mem::take(&mut self.waiting) {
            self.place(id, out);
        }
        told
    }

    // Room

    /// What our sessions at node `i` that were put there by `by` ask for.
    fn own(&self, by: Instant, i: usize) -> f64 {
        self.plant.asked(self.sess.at(i).map(|(_, s)| s).filter(|s| s.since <= by))
    }

    /// How much the last report of node `i` still counts.
    fn fresh(&self, i: usize) -> f64 {
        halved(self.now - self.fleet.measured[i], REPORT_HALF_LIFE)
    }

    fn inside(&self, rack: usize) -> impl Iterator<Item = usize> {
        (0..self.fleet.node.len()).filter(move |&k| self.fleet.rack[k] == rack)
    }

    /// What the uplink carries by the last shortage, drifting back to the mean.
    fn uplink(&self, rack: usize) -> f64 {
        let fresh = halved(self.now - self.racks.seen[rack], REPORT_HALF_LIFE);
        self.plant.uplink + (self.racks.carries[rack] - self.plant.uplink) * fresh
    }

    /// Sums the fleet up, once for all that is decided until a session moves or news comes in.
    fn picture(&self) -> Picture {
        let f = &self.fleet;
        let fresh: Vec<f64> = f.measured.iter().map(|&at| halved(self.now - at, REPORT_HALF_LIFE)).collect();
        let mut racks = vec![(0.0, 0.0, 0.0, 0.0); self.racks.carries.len()];
        let ready: Vec<usize> = (0..f.node.len()).filter(|&i| f.ready[i] && !f.lost(i)).collect();
        ready.iter().for_each(|&i| racks[f.rack[i]].2 += 1.0);
        // What a node can give: its link, or its part of the uplink where that is less.
        let uplink = |i: usize| self.uplink(f.rack[i]) / f64::max(racks[f.rack[i]].2, 1.0);
        let told = self.plant.uplink > 0.0;
        let gives: Vec<f64> =
            (0..f.node.len()).map(|i| if told { uplink(i).min(f.link[i]) } else { f.link[i] }).collect();
        // How full the fleet is, by fresh reports; what we ask for, scaled by the number of directors, counts
        // for as many reports as there are nodes for each director. Reports come from where sessions
        // are, so a full node counts less, as it is met more often.
        let (own, all) = ready.iter().fold((0.0, 0.0), |(a, b), &i| (a + self.sess.own(i), b + gives[i]));
        let weight = ready.len() as f64 / self.plant.directors;
        // Started without sessions we hold none yet: until some had the time to come, that says nothing, and
        // the fleet is held to be full. Guards against many that come back at once, all at the highest rungs.
        let met =
            if self.handed { 1.0 } else { ((self.now - self.begun) / Span::from_secs(QUIET.0)).min(1.0) };
        let seen = (own * self.plant.directors / f64::max(all, 1.0)).min(1.0) * met + MOST_FULL * (1.0 - met);
        let (mut sum, mut weights) = (seen * weight, weight);
        for &i in &ready {
            let level = (self.sess.own(i) + f.others[i]) / gives[i].max(1.0);
            let often = if self.plant.blind { 1.0 } else { level.clamp(LEAST_MET, 1.0) };
            sum += level * fresh[i] / often;
            weights += fresh[i] / often;
            racks[f.rack[i]].3 += fresh[i];
        }
        // Since the reports were made others have set up as many as we did, but for one that is chance.
        let since = self.plant.notice.min(self.plant.fall_span);
        let lately = (self.counts.setups.within(self.now, since) - 1.0).max(0.0);
        let surge = lately * (self.plant.directors - 1.0) * self.plant.lowest / all.max(1.0);
        let full = sum / weights.max(1e-9) + surge;
        // What a link is asked for in all: our own part, and others' by the last report, which fades to
        // what the fleet is asked for on average; to nothing where a node drains or is gone.
        let rest = full.min(MOST_FULL) * (1.0 - 1.0 / self.plant.directors);
        let unseen = |i: usize| if f.ready[i] { rest * (1.0 - fresh[i]) + surge } else { 0.0 };
        let asked = |i: usize| self.sess.own(i) + f.others[i] * fresh[i] + unseen(i) * gives[i];
        let asked: Vec<f64> = (0..f.node.len()).map(asked).collect();
        for i in 0..f.node.len() {
            racks[f.rack[i]].0 += asked[i].min(f.link[i]);
            racks[f.rack[i]].1 += self.sess.own(i);
        }
        let told = |rack: usize| halved(self.now - self.racks.measured[rack], REPORT_HALF_LIFE);
        let uplink_asked = racks.iter().enumerate().map(|(rack, &(summed, own, ..))| {
            (own + self.racks.others[rack]) * told(rack) + summed * (1.0 - told(rack))
        });
        let uplink_asked = uplink_asked.collect();
        let ours = self.sess.iter().filter(|(_, s)| s.node.is_some()).count() as f64;
        let mean = if ours > 0.0 { own / ours } else { self.plant.middle };
        let mates: Vec<f64> = racks.iter().map(|r| f64::max(r.2, 1.0)).collect();
        let heard = (0..racks.len()).map(|rack| told(rack).max(racks[rack].3 / mates[rack])).collect();
        Picture { asked, uplink_asked, mates, heard, mean, even: EVEN_PART * mean / full.max(1e-3) }
    }

    /// Free room at node `i`: of its link, and of its rack's uplink (endless where none is told).
    fn free(&self, p: &Picture, i: usize) -> (f64, f64) {
        let rack = self.fleet.rack[i];
        // Its link is trusted again in time after it gave no answer, so that it is tried; its pace isn't.
        let warmth = self.warmth(self.fleet.failed[i].unwrap_or(self.fleet.born[i]));
        let link = self.fleet.link[i] * warmth - p.asked[i];
        let told = self.plant.uplink > 0.0;
        (link, if told { self.uplink(rack) - p.uplink_asked[rack] } else { f64::INFINITY })
    }

    /// What a session may take at node `i`: a part of the free room, or an even part of the whole fleet's
    /// capacity for each session where that is more and still leaves some.
    fn room(&self, p: &Picture, i: usize, claim: f64) -> f64 {
        let (link, uplink) = self.free(p, i);
        let mates = p.mates[self.fleet.rack[i]];
        // The larger a link, the more others come to it before a report can tell of them. Guards against all
        // of a large fleet taking a small free part of large links at once.
        let crowd = |whole: f64| 1.0 / (1.0 + CHURN * whole / self.plant.middle.max(1.0));
        let of_link = LINK_PART.min(crowd(self.fleet.link[i]));
        let of_uplink = (UPLINK_PART / mates).min(crowd(self.plant.uplink));
        let part = (link * of_link).min(uplink * of_uplink);
        part.max(p.even.min(part * MOST_OVER)) * claim
    }

    /// What a session of a group counts for when room is shared out: by its utility, and by what it takes to
    /// serve it whole as far as the worst-served group counts. Guards against a group that is served whole at
    /// half the rate taking the room of one that needs twice as much.
    fn claim(&self, terms: &Terms) -> f64 {
        terms.stake.sqrt() * terms.need.powf(self.plant.worst_group * EVENNESS)
    }

    /// The highest rung that fits node `i`; none if not even the lowest does.
    fn fitting(&self, p: &Picture, s: &Sitting, i: usize) -> Option<u8> {
        let terms = self.plant.of_group(s);
        let (link, uplink) = self.free(p, i);
        let top = self.plant.top(s);
        let floor = terms.group.floor_rung.0;
        if terms.rates[usize::from(floor)] * RATE_MARGIN > link.min(uplink) {
            return None;
        }
        // Unheard of, it may be fuller than most: a rung whose last kB earn little waits for more room.
        let blind = 1.0 - self.fresh(i).min(p.heard[self.fleet.rack[i]]);
        // Viewers of one live stream share it: beside one of ours at that rung, one more adds a part.
        let joins = |r: usize| {
            let beside = |o: &Sitting| o.plays && o.same_seat(s) && usize::from(o.rung) == r;
            terms.group.live && self.sess.at(i).any(|(_, o)| beside(o))
        };
        let need = |r: usize| {
            let part = if joins(r) { self.plant.join } else { 1.0 };
            terms.rates[r] * part * RATE_MARGIN * terms.dear[r].powf(blind * CAUTION)
        };
        let room = self.room(p, i, self.claim(terms));
        (floor..=top).rev().find(|&r| r == floor || need(usize::from(r)) <= room)
    }

    // Health and pace

    /// Part of its capacity that a node has warmed to since `from`.
    fn warmth(&self, from: Instant) -> f64 {
        let risen = (self.now - from) / self.plant.warm_after;
        (self.plant.cold_from + (1.0 - self.plant.cold_from) * risen).min(1.0)
    }

    /// Rule 4: our even part of what a cold node stands within the span. Where that is less than one SETUP,
    /// directors take turns by the clock; but if only our own start makes us doubt the whole fleet, our
    /// even part of what all its nodes stand goes to whichever the list has first, one to each.
    fn cold_permits(&self, i: usize) -> bool {
        let unvouched = self.fleet.failed[i].is_none() && self.fleet.born[i] == self.begun;
        let warmth = self.warmth(if self.fleet.failed[i].is_some() { self.now } else { self.fleet.born[i] });
        if warmth >= 1.0 {
            return true;
        }
        // Whether we start for the first time or again can't be told: of a node told to be cold our part of
        // this span may be spent.
        let told = self.fleet.born[i] != self.begun && self.warmth(self.fleet.born[i]) < 1.0;
        if told && self.now - self.begun < self.plant.fall_span {
            return false;
        }
        let budget = self.fleet.places[i] * self.plant.fall_budget * warmth * COLD_PART;
        let (turns, of) = &self.plant.turns;
        let (span, ours) = (self.plant.fall_span, budget * turns.len() as f64 / of);
        let sent = self.fleet.sent[i].within(self.now, span);
        let pool = ours * self.fleet.ready.iter().filter(|&&ready| ready).count() as f64;
        if ours >= 1.0 || (unvouched && pool >= 1.0) {
            return sent < ours.floor().max(1.0)
                && (ours >= 1.0 || self.counts.setups.within(self.now, span) < pool);
        }
        // Half a budget of turns at a time, as it was when they began, a span long, of one SETUP each: no
        // span meets more than two lots. Under two, one turn and a span's pause. Each node begins elsewhere.
        let spans = self.now.as_ms() / span.as_ms().max(1.0);
        let risen = (1.0 - self.plant.cold_from) * (span / self.plant.warm_after) * spans.fract();
        let then = budget * (warmth - risen).max(self.plant.cold_from) / warmth;
        let lot = if then >= 2.0 { (then / 2.0).floor() } else { 0.5 };
        let slot = spans.floor() + (self.fleet.node[i].0 % 4096) as f64;
        let on = |&&t: &&usize| (t as f64 - slot * lot).rem_euclid(*of) < lot;
        sent < turns.iter().filter(on).count() as f64
    }

    /// Our own success at node `i`.
    fn success(&self, i: usize) -> f64 {
        let kept = halved(self.now - self.fleet.faded[i], SUCCESS_HALF_LIFE);
        (1.0 + self.fleet.good[i] * kept) / (1.0 + self.fleet.all[i] * kept)
    }

    /// Node `i` gave no answer: it may restart unseen, and its pace is the least until it plays. Where its
    /// zone failed as one, that is tried now and then. Guards against all directors' SETUPs as it returns.
    fn no_answer(&mut self, i: usize) {
        self.fleet.failed[i] = Some(self.now);
        if self.fleet.failed_since_word(self.fleet.zone[i]) >= AS_ONE {
            self.fleet.holds.insert(self.fleet.zone[i], Hold { since: self.now, back: false });
        }
    }

    /// Its zone was lost and nothing heard of node `i` since: what just came back delivers short at first.
    fn held(&self, i: usize) -> bool {
        let gap = Span::from_secs(NOTE_GAP);
        self.fleet.hold(i).is_some_and(|h| self.fleet.heard[i] < h.since && self.now - h.since < gap)
    }

    fn came(&mut self, i: usize, good: bool) {
        if good {
            self.fleet.word(i, self.now);
        }
        self.fleet.came(i, good, halved(self.now - self.fleet.faded[i], SUCCESS_HALF_LIFE), self.now);
    }

    // Set-up

    /// Holders of the title that may take the session now and have room for it, with the rung, best first.
    fn list(&mut self, p: &Picture, id: SessionId) -> Vec<(f64, usize, u8)> {
        let Some(s) = self.sess.get(id) else { return Vec::new() };
        let terms = &self.plant.of_group(s).group;
        let f = &self.fleet;
        let holds = |i: usize| {
            let cells = u32::from(self.plant.cells);
            (u32::from(f.cell[i]) + cells - u32::from(s.want.first_cell.0) % cells) % cells
                < u32::from(s.want.cell_count)
        };
        let held = |i: usize| {
            let rung = self.fitting(p, s, i);
            self.sess.at(i).any(|(_, o)| o.plays && o.same_seat(s) && Some(o.rung) == rung)
        };
        let within = |i: usize| match s.doubt {
            Some((first, _)) if terms.retry_safety == RetrySafety::Dedup => match terms.retry_scope {
                RetryScope::Anywhere => true,
                RetryScope::SameZone => f.zone[i] == f.zone[first],
                RetryScope::SameCell => f.cell[i] == f.cell[first],
            },
            _ => true,
        };
        let (further, now) = (s.setups > 0, self.now);
        let repeats = |i: usize| {
            !further || self.plant.repeats.is_none_or(|(most, span)| f.further[i].within(now, span) < most)
        };
        let may = |&i: &usize| {
            let free = f.ready[i] && holds(i) && within(i) && !s.tried.contains(&i) && repeats(i);
            free && !self.held(i) && self.cold_permits(i)
        };
        let score = |i: usize| {
            let (link, uplink) = self.free(p, i);
            let spare = (link / f.link[i].max(1.0)).min(uplink / self.plant.uplink.max(1.0)).clamp(0.0, 1.0);
            let zone = f64::from(u8::from(f.zone[i] == self.plant.zone));
            let sum = ZONE_WEIGHT * zone + SUCCESS_WEIGHT * self.success(i) + ROOM_WEIGHT * spare;
            let sum = if f.doubted[i] { sum - LAST } else { sum };
            if terms.live && !held(i) { sum / 2.0 } else { sum }
        };
        let fits = |i: usize| self.fitting(p, s, i).map(|rung| (score(i), i, rung));
        let mut list: Vec<_> = (0..f.node.len()).filter(may).filter_map(fits).collect();
        // Many directors see the same figures: among near-equals each has an order of its own.
        let together = terms.live && self.plant.join < 1.0;
        let title = s.want.title.0;
        for entry in &mut list {
            let chance =
                if together { spread(title, self.fleet.node[entry.1].0) } else { self.rng.rand_float() };
            entry.0 += NEAR * chance;
        }
        list.sort_by(|a, b| b.0.total_cmp(&a.0));
        list
    }

    /// Where probes tell the load, the best of the list are probed first unless heard of just now, as many as
    /// their price allows; a probe that fails is told of, and the session is looked at again then.
    fn look(&mut self, id: SessionId, list: &[(f64, usize, u8)], out: &mut dyn DecisionSink) -> bool {
        let heard: f64 = (0..self.fleet.node.len()).map(|i| self.fresh(i)).sum();
        let unheard = 1.0 - heard / self.fleet.node.len().max(1) as f64;
        let spend = if self.plant.blind { PROBE_SPEND } else { PROBE_SPEND_TOLD * unheard };
        let many = if self.plant.may_probe { (spend / self.plant.probe_price).min(PROBES) } else { 0.0 };
        let best = list.iter().take(many as usize).map(|entry| entry.1);
        let old = |i: &usize| self.now - self.fleet.measured[*i] >= Span::from_secs(NOTE_GAP);
        let stale: Vec<usize> = best.filter(old).collect();
        // Where the viewer may be gone before a probe's answer, there is no time to look.
        let hurried = |s: &Sitting| s.until - self.now < self.plant.target * HURRY;
        if stale.is_empty() || self.sess.get(id).is_none_or(|s| s.looked || hurried(s)) {
            return false;
        }
        stale.iter().for_each(|&i| out.probe_node(self.fleet.node[i]));
        self.sess.change(&self.plant, id, |s| (s.looked, s.awaits) = (true, stale));
        true
    }

    /// Rules 2, 5 and 6, and the limit of SETUPs.
    fn may_set_up(&mut self, id: SessionId) -> bool {
        let Some(s) = self.sess.get(id) else { return false };
        let terms = &self.plant.of_group(s).group;
        let now = self.now;
        let care = match (terms.retry_safety, s.doubt) {
            (RetrySafety::Safe, _) | (_, None) => true,
            (RetrySafety::Dedup, Some((_, sent))) => now - sent < terms.retry_window,
            (RetrySafety::Fragile, Some(_)) => false,
        };
        let seated = |o: &Sitting| (o.plays || o.out.is_some()) && o.same_seat(s);
        let seats = terms.seats == 0 || self.sess.iter().filter(|(_, o)| seated(o)).count() < terms.seats;
        let lowest = terms.floor_rung.0 <= self.plant.top(s);
        let made = |r: RetryBudget| self.counts.further.within(now, r.window) + 1.0;
        let earned = |r: RetryBudget| {
            r.base_retries + r.retries_per_session * self.counts.taken.within(now, r.window * 0.99)
        };
        let ration = s.setups == 0 || self.plant.ration.is_none_or(|r| made(r) <= earned(r));
        care && seats && lowest && ration && usize::from(s.setups) < self.plant.depth && now < s.until
    }

    /// Sends the next SETUP of a session that has none out, or answers that there is none to send.
    fn place(&mut self, id: SessionId, out: &mut dyn DecisionSink) {
        let looks = |s: &Sitting| !s.awaits.is_empty() && self.now - s.asked < self.plant.target * PULSE_PART;
        if self.sess.get(id).is_none_or(|s| s.answered || s.plays || s.out.is_some() || looks(s)) {
            return;
        }
        let list = if self.may_set_up(id) { self.list(&self.picture(), id) } else { Vec::new() };
        let Some(&(_, i, rung)) = list.first() else { return self.give_up(id, out) };
        if self.look(id, &list, out) {
            return;
        }
        let Some(s) = self.sess.get(id) else { return };
        let terms = self.plant.of_group(s);
        let target = s.asked + terms.group.start_target;
        let may_follow =
            terms.group.retry_safety == RetrySafety::Safe && usize::from(s.setups) + 1 < self.plant.depth;
        let span = ((target - self.now) * TRY_PART).max(self.plant.target * TRY_LEAST);
        let cut = if may_follow { (self.now + span).min(s.until) } else { s.until };
        if s.setups > 0 {
            self.counts.further.add(self.now, self.plant.ration.map_or(Span::ZERO, |r| r.window));
            self.fleet.further[i].add(self.now, self.plant.repeats.map_or(Span::ZERO, |r| r.1));
        }
        self.fleet.sent[i].add(self.now, self.plant.fall_span);
        self.counts.setups.add(self.now, self.plant.fall_span);
        let now = self.now;
        let sent = self.sess.change(&self.plant, id, |s| {
            s.send(i, now);
            s.set(rung)
        });
        if sent == Some(true) {
            out.set_rung(id, Rung(rung));
        }
        out.send_setup(id, self.fleet.node[i], cut);
    }

    /// The final answer at once: a busy reply where rule 2 lets us, else torn down.
    fn give_up(&mut self, id: SessionId, out: &mut dyn DecisionSink) {
        let Some(s) = self.sess.remove(&self.plant, id) else { return };
        let terms = &self.plant.of_group(&s).group;
        let anywhere = terms.retry_safety == RetrySafety::Dedup && terms.retry_scope == RetryScope::Anywhere;
        if terms.retry_safety == RetrySafety::Safe || anywhere || s.doubt.is_none() {
            out.reply_busy(id, self.come_back());
        } else {
            out.tear_down(id);
        }
    }

    /// When a busy-replied viewer is asked to come back, where that can be told.
    fn come_back(&self) -> Option<Span> {
        self.plant.retry_after.map(|most| most * RETRY_PART)
    }

    // While sessions play

    /// A session whose node has been quiet climbs one rung if that fits our part of the room: so many of the
    /// node's other sessions climb by the same report, or those of each other director.
    fn climb(&mut self, out: &mut dyn DecisionSink) {
        let due = |s: &Sitting| {
            let quiet_from = s.node.map_or(self.now, |i| s.settled.max(self.fleet.short[i]));
            s.plays
                && !s.answered
                && s.rung < self.plant.top(s)
                && self.now - s.switched >= Span::from_secs(PACE)
                && self.now - quiet_from >= s.quiet
        };
        let due: Vec<SessionId> = self.sess.iter().filter(|(_, s)| due(s)).map(|(id, _)| id).collect();
        for id in due {
            let Some((s, i)) = self.sess.get(id).and_then(|s| Some((s, s.node?))) else { continue };
            let terms = self.plant.of_group(s);
            let next = usize::from(s.rung) + 1;
            let more = terms.rates[next] * RATE_MARGIN - terms.rates[next - 1];
            let p = self.picture();
            let others = (p.asked[i] - self.sess.own(i)).max(0.0) / p.mean.max(1.0);
            let crowd = (1.0 + others * CLIMBERS).min(self.plant.directors);
            if more <= self.room(&p, i, self.claim(terms)) / crowd {
                self.switch(id, next as u8, out);
            }
        }
    }

    fn switch(&mut self, id: SessionId, rung: u8, out: &mut dyn DecisionSink) {
        let now = self.now;
        self.sess.change(&self.plant, id, |s| (s.switched, _) = (now, s.set(rung)));
        out.set_rung(id, Rung(rung));
    }

    /// The share delivered at node `i` of late; 1 while it tells of no shortage.
    fn delivers(&self, i: usize) -> f64 {
        let lately = self.now - self.fleet.short[i] < self.plant.notice + Span::from_secs(NOTE_GAP);
        if lately { self.fleet.share[i] } else { 1.0 }
    }

    /// Who is short? The uplink, if all nodes of the rack where we play are, be it one whose link isn't full
    /// by report, and only as far as the best of them. What a node lacks beyond that is its own: its link,
    /// or the node itself where its link isn't full; then it stands still or limps and gets nothing new for
    /// a while. A share under the least that an uplink is held to carry is never the uplink's.
    fn blame(&mut self, i: usize, share: f64) {
        let rack = self.fleet.rack[i];
        let playing = |k: &usize| self.sess.at(*k).any(|(_, s)| s.plays);
        let mates: Vec<usize> = self.inside(rack).filter(playing).collect();
        let p = self.picture();
        let (link, asked) = (self.fleet.link[i], p.asked[i]);
        let best = mates.iter().map(|&k| self.delivers(k)).fold(share, f64::max);
        let by_report = asked < link && share > LEAST_UPLINK && self.fresh(i) > 0.5;
        let uplink = self.plant.uplink > 0.0 && best < SHORT && by_report;
        if uplink {
            self.racks.carries[rack] = (p.uplink_asked[rack] * best).max(self.plant.uplink * LEAST_UPLINK);
            self.racks.seen[rack] = self.now;
        }
        let alone = if uplink { share / best } else { share };
        if alone < SHORT && asked < link / alone {
            self.fleet.others[i] = (link / alone).min(link * MOST_ASKED) - self.sess.own(i);
            self.fleet.measured[i] = self.now;
        }
    }

    /// Short delivery is the node's, though one session of ours tells it: as many of ours there go down
    /// one rung as make up our part of what is missing, those first that lose least utility for the kB.
    fn ease(&mut self, i: usize, share: f64, out: &mut dyn DecisionSink) {
        if self.now - self.fleet.eased[i] < self.plant.notice * 2.0 {
            return; // what was done last can't show yet
        }
        let missing = self.sess.own(i) * (1.0 - share / SHORT);
        let mut able: Vec<(f64, SessionId, f64)> = Vec::new();
        for (id, s) in self.sess.at(i) {
            let terms = self.plant.of_group(s);
            let due = self.now - s.switched >= Span::from_secs(PACE);
            if s.plays && !s.answered && s.rung > terms.group.floor_rung.0 && due {
                let r = usize::from(s.rung);
                let spared = terms.rates[r] - terms.rates[r - 1];
                let lost = (self.plant.worth[r] - self.plant.worth[r - 1]) * terms.group.utility;
                able.push((lost / spared.max(1e-9), id, spared));
            }
        }
        able.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut spared = 0.0;
        for (_, id, kb) in able {
            if (missing - spared) / kb <= self.rng.rand_float() {
                break;
            }
            spared += kb;
            self.fleet.eased[i] = self.now;
            let rung = self.sess.get(id).map_or(0, |s| s.rung.saturating_sub(1));
            self.switch(id, rung, out);
        }
    }
}

impl Round<'_> {
    /// Which turns at cold nodes are ours, of so many in all; until told, one of as many as directors.
    pub fn set_slow_start_turns(&mut self, ours: &[usize], of: usize) {
        self.d.plant.turns = (ours.to_vec(), of.max(1) as f64);
    }

    /// How many further SETUPs one node may be sent by us within the span: our part of a bound of all.
    pub fn set_retry_limit_per_node(&mut self, most: usize, span: Span) {
        self.d.plant.repeats = Some((most as f64, span));
    }

    /// Nodes that others found failing, as far as that is agreed: tried when nothing else is left. Guards
    /// against each director finding out by SETUPs of its own; all nodes at once are as good as none.
    pub fn set_suspected_nodes(&mut self, nodes: &[NodeId]) {
        let f = &mut self.d.fleet;
        f.doubted.fill(false);
        for node in nodes {
            f.index.get(node).into_iter().for_each(|&i| f.doubted[i] = true);
        }
    }

    /// A whole list begins, as it stands or as it was last held.
    pub fn begin_list_snapshot(&mut self) {
        self.d.follows = true;
        self.d.fleet.named.fill(false);
    }

    pub fn begin_list_update(&mut self) {
        self.d.follows = true;
        self.d.fleet.named.fill(true);
    }

    pub fn list_watch_failed(&mut self) {
        self.d.follows = false;
    }

    /// Nodes that a whole list doesn't name are gone.
    pub fn finish_list(&mut self) {
        let f = &mut self.d.fleet;
        f.ready.iter_mut().zip(&f.named).for_each(|(ready, &named)| *ready &= named);
    }

    pub fn node_ready(&mut self, node: NodeId, place: NodeInfo) {
        let d = &mut *self.d;
        let spoken_of = |i: usize| d.sess.iter().any(|(_, s)| s.speaks_of(i));
        if let Some(i) = d.fleet.enter(node, place, &d.plant, spoken_of) {
            (d.fleet.failed[i], d.fleet.measured[i]) = (None, Instant::LONG_AGO);
        }
    }

    /// It drains or is gone.
    pub fn node_draining(&mut self, node: NodeId) {
        if let Some(&i) = self.d.fleet.index.get(&node) {
            (self.d.fleet.ready[i], self.d.fleet.named[i]) = (false, true);
        }
    }

    /// Its process is shown to be the one that it was: whatever was lost on the way, it is as warm as before.
    /// Guards against holding a node for cold after resets, spoilt and late answers.
    pub fn node_kept_running(&mut self, node: NodeId) {
        let f = &mut self.d.fleet;
        if let Some(&i) = f.index.get(&node) {
            (f.failed[i], f.born[i]) = (None, f.vouched[i]);
        }
    }

    /// It is gone, be it for a while: its row may be another's once no session speaks of it.
    pub fn node_removed(&mut self, node: NodeId) {
        self.node_draining(node);
        if let Some(&i) = self.d.fleet.index.get(&node) {
            self.d.fleet.gone[i] = true;
        }
    }

    fn take(&mut self, sess: SessionId, want: SessionRequest) -> Option<()> {
        let d = &mut *self.d;
        let floor = d.plant.terms.get(want.group.0)?.group.floor_rung.0.min(d.plant.top_rung());
        let quiet = Span::from_secs(QUIET.0 + (QUIET.1 - QUIET.0) * d.rng.rand_float());
        d.sess.insert(sess, Sitting::new(want, d.now, floor, quiet));
        Some(())
    }

    pub fn session_requested(&mut self, sess: SessionId, want: SessionRequest) {
        if self.take(sess, want).is_none() {
            return self.out.reply_busy(sess, self.d.come_back());
        }
        let span = self.d.plant.ration.map_or(Span::ZERO, |r| r.window);
        self.d.counts.taken.add(self.d.now, span);
        self.d.waiting.push(sess);
    }

    /// A session that plays already is handed over. It has been quiet before: a part, by chance, of what a
    /// climb wants, so that those handed over don't all climb at once.
    pub fn session_handed_over(&mut self, sess: SessionId, want: SessionRequest, node: NodeId) {
        let played = self.d.rng.rand_float();
        let at = self.d.fleet.index.get(&node).copied();
        if self.take(sess, want).is_some() {
            let d = &mut *self.d;
            d.sess.change(&d.plant, sess, |s| {
                (s.node, s.plays, s.setups, s.since) = (at, true, 1, Instant::LONG_AGO);
                s.settled = s.settled - s.quiet * played.sqrt();
            });
        }
    }

    pub fn session_rung_reported(&mut self, sess: SessionId, rung: Rung) {
        let d = &mut *self.d;
        d.sess.change(&d.plant, sess, |s| s.set(rung.0.min(d.plant.top_rung())));
    }

    pub fn session_started(&mut self, sess: SessionId, _setup: SetupNumber, node: NodeId) {
        let d = &mut *self.d;
        d.sess.change(&d.plant, sess, |s| (s.plays, s.out, s.settled) = (true, None, d.now));
        if let Some(&i) = d.fleet.index.get(&node) {
            d.came(i, true);
            if d.fleet.failed[i].take().is_some() {
                d.fleet.born[i] = d.fleet.born[i].max(d.now);
            }
        }
    }

    pub fn attempt_ended(
        &mut self,
        sess: SessionId,
        _setup: SetupNumber,
        node: NodeId,
        how: AttemptOutcome,
        complete: bool,
    ) {
        let d = &mut *self.d;
        let at = d.fleet.index.get(&node).copied();
        let ended = d.sess.change(&d.plant, sess, |s| {
            let sent = s.out.take();
            (s.node, s.plays) = (None, false);
            if let Some(i) = at {
                s.tried.push(i);
                if !matches!(how, AttemptOutcome::Full | AttemptOutcome::Unreachable | AttemptOutcome::Unsent)
                {
                    s.doubt = s.doubt.or(sent.map(|sent| (i, sent)));
                }
            }
            (sent.is_some(), complete || s.answered)
        });
        let Some((setting_up, over)) = ended else { return };
        if over {
            d.sess.remove(&d.plant, sess);
        } else {
            d.waiting.push(sess);
        }
        let Some(i) = at else { return };
        let fails =
            !matches!(how, AttemptOutcome::Played | AttemptOutcome::Unsent | AttemptOutcome::Cancelled);
        (setting_up && fails).then(|| d.came(i, false));
        match how {
            AttemptOutcome::Full => {
                let asked = d.fleet.link[i] * d.plant.full_at;
                d.fleet.others[i] = (asked - d.sess.own(i)).max(d.fleet.others[i]);
                d.fleet.measured[i] = d.now;
                d.fleet.word(i, d.now);
            }
            AttemptOutcome::Silent | AttemptOutcome::Unreachable | AttemptOutcome::Lost => d.no_answer(i),
            _ => {}
        }
    }

    /// The viewer left; an outcome may still come.
    pub fn viewer_left(&mut self, sess: SessionId) {
        let d = &mut *self.d;
        d.sess.change(&d.plant, sess, |s| s.answered = true);
        let Some(s) = d.sess.get(sess) else { return };
        if s.out.is_some() && d.plant.may_cancel {
            self.out.cancel_setup(sess, SetupNumber(s.setups - 1));
        } else if s.out.is_none() && !s.plays {
            d.sess.remove(&d.plant, sess);
        }
    }

    /// The share of their rates that sessions at this node get.
    pub fn delivery_reported(&mut self, node: NodeId, share: f64) {
        let Some(i) = self.told(node, share) else { return };
        let d = &mut *self.d;
        d.fleet.share[i] = share.min(1.0);
        if share < d.plant.cold_from
            && d.fleet.hold(i).is_some_and(|h| d.now - h.since < Span::from_secs(NOTE_GAP))
        {
            // It isn't all back yet.
            d.fleet.holds.insert(d.fleet.zone[i], Hold { since: d.now, back: true });
        }
        if share < SHORT {
            d.fleet.short[i] = d.now;
            d.blame(i, share.max(0.05));
            d.ease(i, share, self.out);
        }
    }

    /// The node, if it is known and the figure told of it is one.
    fn told(&mut self, node: NodeId, figure: f64) -> Option<usize> {
        let i = self.d.fleet.index.get(&node).copied().filter(|_| figure.is_finite() && figure >= 0.0)?;
        self.d.fleet.word(i, self.d.now);
        Some(i)
    }

    /// What is asked of the link over what it gives.
    pub fn link_demand_reported(&mut self, node: NodeId, level: f64) {
        let Some(i) = self.told(node, level) else { return };
        let d = &mut *self.d;
        let others = level * d.fleet.link[i] - d.own(d.now - d.plant.notice, i);
        d.fleet.others[i] = others.clamp(0.0, d.fleet.link[i] * MOST_ASKED);
        d.fleet.measured[i] = d.now;
    }

    pub fn uplink_demand_reported(&mut self, node: NodeId, level: f64) {
        let Some(i) = self.told(node, level) else { return };
        let d = &mut *self.d;
        let rack = d.fleet.rack[i];
        let own: f64 = d.inside(rack).map(|k| d.own(d.now - d.plant.notice, k)).sum();
        d.racks.others[rack] = (level * d.plant.uplink - own).max(0.0);
        d.racks.measured[rack] = d.now;
    }

    /// A load report, its figures in the order of the gauges.
    pub fn load_reported(&mut self, node: NodeId, figures: &[f64]) {
        for (k, &figure) in figures.iter().enumerate() {
            match self.d.plant.gauges.get(k) {
                Some(LoadMetric::Link) => self.link_demand_reported(node, figure),
                Some(LoadMetric::Uplink) => self.uplink_demand_reported(node, figure),
                _ => {}
            }
        }
    }

    pub fn probe_finished(&mut self, node: NodeId, answered: bool) {
        let d = &mut *self.d;
        let Some(&i) = d.fleet.index.get(&node) else { return };
        if answered {
            d.fleet.word(i, d.now);
        } else {
            d.came(i, false);
        }
        let asked = |(id, s): (SessionId, &Sitting)| s.awaits.contains(&i).then_some(id);
        let asked: Vec<SessionId> = d.sess.iter().filter_map(asked).collect();
        for id in asked {
            d.sess.change(&d.plant, id, |s| s.awaits.retain(|&k| k != i));
            d.waiting.push(id);
        }
    }

    pub fn timer_fired(&mut self, _: TimerId) {
        let d = &mut *self.d;
        d.climb(self.out);
        d.waiting.extend(d.sess.iter().filter(|(_, s)| !s.awaits.is_empty()).map(|(id, _)| id));
        if !d.follows && d.plant.ask_list.is_some_and(|within| d.now - d.list_asked > within * ASK_PART) {
            d.list_asked = d.now;
            self.out.watch_node_list(true);
        }
        self.out.set_timer(TimerId(0), d.plant.target * PULSE_PART);
    }
}
