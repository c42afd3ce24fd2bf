//! What a cold node gets from all directors together, by the module's own permits: within any span that the settings
//! name, wherever it begins, no more than N and two roots of N and two, N being what the settings allow the node then.
//!
//! A node of which the list tells that it started is asked by every director as fast as its viewers can ask. Directors
//! forget what they sent when they start anew, alone, in turn or all at once.

use std::collections::VecDeque;

use ashglade::ids::*;
use ashglade::interface::*;
use ashglade::policy::Director;
use ashglade::time::{Instant, Span};

// The rest of it prints decisions, which are not wanted here.
#[allow(dead_code)]
mod desk;
use desk::{headend, place, want};

/// Between two rounds of a director; a fleet's rounds are spread evenly over it.
const STEP: f64 = 40.0;
/// How long a play takes, in milliseconds: past the node's warming up.
const PLAY: f64 = 12_000.0;
const FALL: f64 = 2_000.0;
const WARM: f64 = 10_000.0;
const COLD_FROM: f64 = 0.4;
/// The node has started so long before the play begins.
const STARTED_BEFORE: f64 = 100.0;
/// The wall clock at the play's beginning.
const EPOCH: f64 = 1.7e12;
/// Nodes that hold other titles: a doubt of the whole fleet's start brings each director a part of all that they stand.
const OTHERS: u64 = 60;

/// Counts SETUPs; whatever else is decided is passed over.
#[derive(Default)]
struct Counter(usize);

impl DecisionSink for Counter {
    fn send_setup(&mut self, _: SessionId, _: NodeId, _: Instant) {
        self.0 += 1;
    }
    fn set_rung(&mut self, _: SessionId, _: Rung) {}
    fn reply_busy(&mut self, _: SessionId, _: Option<Span>) {}
    fn tear_down(&mut self, _: SessionId) {}
    fn cancel_setup(&mut self, _: SessionId, _: SetupNumber) {}
    fn probe_node(&mut self, _: NodeId) {}
    fn set_timer(&mut self, _: TimerId, _: Span) {}
    fn watch_node_list(&mut self, _: bool) {}
}

#[derive(Clone, Copy, Debug)]
enum Restarts {
    None,
    /// All at the same moment.
    AllAtOnce,
    /// One after the other, over four spans.
    InTurn,
    /// All, again and again, a span and a little apart.
    Often,
}

struct Fleet {
    live: usize,
    /// As many as the settings name.
    told: usize,
    restarts: Restarts,
    /// Sessions that play are handed over at a director's start.
    handed: bool,
    places: f64,
}

impl Fleet {
    fn head(&self, me: usize) -> DirectorConfig {
        let mut head = headend();
        (head.director_index, head.director_count, head.seed) = (me, self.told, 7 + me as u64);
        head.max_streams = vec![self.places];
        head.overload_window = Span::from_ms(FALL);
        head.slow_start_duration = Span::from_ms(WARM);
        head.slow_start_initial_fraction = COLD_FROM;
        head.max_setups_per_session = 1;
        head.cell_count = OTHERS as u16 + 1;
        // Room is no bound here: only the pace is.
        head.link_kb_per_s_per_weight = 1e12;
        head
    }

    fn start(&self, me: usize, now: Instant) -> Director {
        let mut director = Director::new(&self.head(me), now);
        let started = Instant::from_ms(EPOCH - STARTED_BEFORE);
        director.run_round(
            now,
            |r| {
                r.begin_list_snapshot();
                r.node_ready(NodeId(1), place(1, Some(started)));
                (2..=OTHERS + 1).for_each(|n| r.node_ready(NodeId(n), place(n, None)));
                r.finish_list();
                if self.handed {
                    r.session_handed_over(SessionId(0), want(9, 0, 0), NodeId(2));
                }
            },
            &mut Counter::default(),
        );
        director
    }

    /// True if director `me` starts anew in the step that begins at `ms`.
    fn starts_anew(&self, me: usize, ms: f64) -> bool {
        let at = match self.restarts {
            Restarts::None => return false,
            Restarts::AllAtOnce => 3_000.0,
            Restarts::InTurn => 1_000.0 + me as f64 * 4.0 * FALL / self.live as f64,
            Restarts::Often => {
                let since = (ms - 500.0).rem_euclid(FALL + 200.0);
                return ms >= 500.0 && since < STEP;
            }
        };
        (at..at + STEP).contains(&ms)
    }

    /// The most over what is allowed that any window holds; at most 0 where the bound is kept.
    fn worst(&self) -> f64 {
        let mut directors: Vec<Director> =
            (0..self.live).map(|me| self.start(me, Instant::from_ms(EPOCH))).collect();
        let (mut window, mut worst, mut sess) = (VecDeque::new(), f64::NEG_INFINITY, 1);
        let steps = (PLAY / STEP) as usize;
        for step in 0..steps {
            for (me, director) in directors.iter_mut().enumerate() {
                let ms = step as f64 * STEP + STEP * me as f64 / self.live as f64;
                let now = Instant::from_ms(EPOCH + ms);
                if self.starts_anew(me, step as f64 * STEP) {
                    *director = self.start(me, now);
                }
                let mut sent = Counter::default();
                sess += 1;
                let want = SessionRequest { cell_count: 1, ..want(sess, 0, 0) };
                director.run_round(now, |r| r.session_requested(SessionId(sess), want), &mut sent);
                for _ in 0..sent.0 {
                    window.push_back(ms);
                }
                while window.front().is_some_and(|&at| ms - at > FALL) {
                    window.pop_front();
                }
                let age = ms + STARTED_BEFORE;
                if age < WARM {
                    let warmth = COLD_FROM + (1.0 - COLD_FROM) * age / WARM;
                    let n = self.places * headend().overload_multiple * FALL / WARM * warmth;
                    worst = f64::max(worst, window.len() as f64 - (n + 2.0 * n.sqrt() + 2.0));
                }
            }
        }
        worst
    }
}

/// Cold pace from under one SETUP a span to many for each director.
const PLACES: [f64; 6] = [4.0, 10.0, 45.0, 90.0, 150.0, 1500.0];

fn hold(fleets: impl IntoIterator<Item = Fleet>) {
    for fleet in fleets {
        let Fleet { live, told, restarts, handed, places } = fleet;
        let worst = fleet.worst();
        assert!(
            worst <= 0.0,
            "{live} directors of {told} told, {places} places, restarts {restarts:?}, handed {handed}: {worst:.1} too many"
        );
    }
}

#[test]
fn a_fleet_of_any_size_keeps_the_sum_at_a_cold_node() {
    for live in [1, 2, 3, 7, 20, 30, 300] {
        let fleet = |places| Fleet { live, told: live, restarts: Restarts::None, handed: true, places };
        hold(PLACES.map(fleet));
    }
}

#[test]
fn restarts_that_forget_what_was_sent_add_nothing_to_the_sum() {
    for live in [1, 3, 20, 30] {
        for restarts in [Restarts::AllAtOnce, Restarts::InTurn, Restarts::Often] {
            for handed in [false, true] {
                hold(PLACES.map(|places| Fleet { live, told: live, restarts, handed, places }));
            }
        }
    }
}

#[test]
fn restarts_of_hundreds_that_forget_what_was_sent_add_nothing_to_the_sum() {
    for restarts in [Restarts::AllAtOnce, Restarts::InTurn, Restarts::Often] {
        let fleet = |places| Fleet { live: 300, told: 300, restarts, handed: false, places };
        hold([10.0, 150.0].map(fleet));
    }
}

#[test]
fn directors_that_start_together_without_sessions_keep_the_sum_where_the_list_tells_of_the_start() {
    for live in [1, 3, 20, 30, 300] {
        let fleet = |places| Fleet { live, told: live, restarts: Restarts::None, handed: false, places };
        hold(PLACES.map(fleet));
    }
}

#[test]
fn fewer_or_somewhat_more_directors_than_the_settings_name_keep_the_sum() {
    for (live, told) in [(20, 30), (30, 300), (20, 18), (30, 27)] {
        let fleet = |places| Fleet { live, told, restarts: Restarts::None, handed: true, places };
        hold(PLACES.map(fleet));
    }
}
