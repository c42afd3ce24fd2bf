//! Guards against the overload of a node in slow start by the SETUPs of all directors together: within any
//! overload window, wherever it begins, it gets at most N + 2 √N + 2, where N is the number that the
//! configuration allows at that time.
//!
//! Every director has more requests than it may send to a node that the list reports to have just started.
//! Directors forget what they sent when they restart, one at a time, one after the other or all at once.

use std::collections::VecDeque;

use ashglade::ids::*;
use ashglade::interface::*;
use ashglade::policy::Director;
use ashglade::time::{Instant, Span};

// The traces of decisions are not used here.
#[allow(dead_code)]
mod support;
use support::{config, node_info, request};

/// Time between two rounds of a director, in milliseconds; the rounds of all directors are spread evenly over
/// it.
const ROUND_INTERVAL_MS: f64 = 40.0;
/// Duration of a run in milliseconds, longer than the slow start of the node.
const RUN_MS: f64 = 12_000.0;
const OVERLOAD_WINDOW_MS: f64 = 2_000.0;
const SLOW_START_MS: f64 = 10_000.0;
const INITIAL_FRACTION: f64 = 0.4;
/// Time since the node's start when the run begins, in milliseconds.
const NODE_AGE_MS: f64 = 100.0;
/// Time at which the run begins, in milliseconds.
const EPOCH_MS: f64 = 1.7e12;
/// Number of nodes that hold other titles. A director that assumes a restart of the whole fleet gets a part
/// of the SETUPs that all of these can take.
const OTHER_NODES: u64 = 60;

/// Counts SETUPs and ignores all other decisions.
#[derive(Default)]
struct SetupCounter(usize);

impl DecisionSink for SetupCounter {
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
    /// All directors at the same time.
    Simultaneous,
    /// One director after the other, over four overload windows.
    Staggered,
    /// All directors again and again, at intervals slightly longer than an overload window.
    Repeated,
}

struct Fleet {
    /// Number of directors that run.
    running: usize,
    /// Number of directors in the configuration.
    configured: usize,
    restarts: Restarts,
    /// Whether a playing session is handed over at the start of a director.
    handed_over: bool,
    max_streams: f64,
}

impl Fleet {
    fn config(&self, index: usize) -> DirectorConfig {
        let mut config = config();
        (config.director_index, config.director_count, config.seed) =
            (index, self.configured, 7 + index as u64);
        config.max_streams = vec![self.max_streams];
        config.overload_window = Span::from_ms(OVERLOAD_WINDOW_MS);
        config.slow_start_duration = Span::from_ms(SLOW_START_MS);
        config.slow_start_initial_fraction = INITIAL_FRACTION;
        config.max_setups_per_session = 1;
        config.cell_count = OTHER_NODES as u16 + 1;
        // The link capacity is no limit here; only slow start is.
        config.link_kb_per_s_per_weight = 1e12;
        config
    }

    fn start(&self, index: usize, now: Instant) -> Director {
        let mut director = Director::new(&self.config(index), now);
        let started = Instant::from_ms(EPOCH_MS - NODE_AGE_MS);
        director.run_round(
            now,
            |r| {
                r.begin_list_snapshot();
                r.node_ready(NodeId(1), node_info(1, Some(started)));
                (2..=OTHER_NODES + 1).for_each(|n| r.node_ready(NodeId(n), node_info(n, None)));
                r.finish_list();
                if self.handed_over {
                    r.session_handed_over(SessionId(0), request(9, 0, 0), NodeId(2));
                }
            },
            &mut SetupCounter::default(),
        );
        director
    }

    /// Returns whether director `index` restarts in the interval that begins at `ms`.
    fn restarts_at(&self, index: usize, ms: f64) -> bool {
        let restart_at = match self.restarts {
            Restarts::None => return false,
            Restarts::Simultaneous => 3_000.0,
            Restarts::Staggered => 1_000.0 + index as f64 * 4.0 * OVERLOAD_WINDOW_MS / self.running as f64,
            Restarts::Repeated => {
                let elapsed = (ms - 500.0).rem_euclid(OVERLOAD_WINDOW_MS + 200.0);
                return ms >= 500.0 && elapsed < ROUND_INTERVAL_MS;
            }
        };
        (restart_at..restart_at + ROUND_INTERVAL_MS).contains(&ms)
    }

    /// Returns the largest excess over the limit in any window; at most 0 if the limit is kept.
    fn max_excess(&self) -> f64 {
        let mut directors: Vec<Director> =
            (0..self.running).map(|index| self.start(index, Instant::from_ms(EPOCH_MS))).collect();
        let (mut window, mut max_excess, mut session) = (VecDeque::new(), f64::NEG_INFINITY, 1);
        let steps = (RUN_MS / ROUND_INTERVAL_MS) as usize;
        for step in 0..steps {
            for (index, director) in directors.iter_mut().enumerate() {
                let ms =
                    step as f64 * ROUND_INTERVAL_MS + ROUND_INTERVAL_MS * index as f64 / self.running as f64;
                let now = Instant::from_ms(EPOCH_MS + ms);
                if self.restarts_at(index, step as f64 * ROUND_INTERVAL_MS) {
                    *director = self.start(index, now);
                }
                let mut sent = SetupCounter::default();
                session += 1;
                let request = SessionRequest { cell_count: 1, ..request(session, 0, 0) };
                director.run_round(now, |r| r.session_requested(SessionId(session), request), &mut sent);
                for _ in 0..sent.0 {
                    window.push_back(ms);
                }
                while window.front().is_some_and(|&at| ms - at > OVERLOAD_WINDOW_MS) {
                    window.pop_front();
                }
                let age = ms + NODE_AGE_MS;
                if age < SLOW_START_MS {
                    let fraction = INITIAL_FRACTION + (1.0 - INITIAL_FRACTION) * age / SLOW_START_MS;
                    let budget = self.max_streams * config().overload_multiple * OVERLOAD_WINDOW_MS
                        / SLOW_START_MS
                        * fraction;
                    max_excess =
                        f64::max(max_excess, window.len() as f64 - (budget + 2.0 * budget.sqrt() + 2.0));
                }
            }
        }
        max_excess
    }
}

/// From less than one SETUP per overload window for each director to many.
const MAX_STREAMS: [f64; 6] = [4.0, 10.0, 45.0, 90.0, 150.0, 1500.0];

fn assert_within_limit(fleets: impl IntoIterator<Item = Fleet>) {
    for fleet in fleets {
        let Fleet { running, configured, restarts, handed_over, max_streams } = fleet;
        let max_excess = fleet.max_excess();
        assert!(
            max_excess <= 0.0,
            "{running} directors of {configured} configured, {max_streams} streams, restarts {restarts:?}, handed over {handed_over}: {max_excess:.1} too many"
        );
    }
}

#[test]
fn directors_of_any_number_keep_the_limit_at_a_node_in_slow_start() {
    for running in [1, 2, 3, 7, 20, 30, 300] {
        let fleet = |max_streams| Fleet {
            running,
            configured: running,
            restarts: Restarts::None,
            handed_over: true,
            max_streams,
        };
        assert_within_limit(MAX_STREAMS.map(fleet));
    }
}

#[test]
fn directors_that_restart_and_forget_their_setups_keep_the_limit() {
    for running in [1, 3, 20, 30] {
        for restarts in [Restarts::Simultaneous, Restarts::Staggered, Restarts::Repeated] {
            for handed_over in [false, true] {
                assert_within_limit(MAX_STREAMS.map(|max_streams| Fleet {
                    running,
                    configured: running,
                    restarts,
                    handed_over,
                    max_streams,
                }));
            }
        }
    }
}

#[test]
fn hundreds_of_directors_that_restart_keep_the_limit() {
    for restarts in [Restarts::Simultaneous, Restarts::Staggered, Restarts::Repeated] {
        let fleet =
            |max_streams| Fleet { running: 300, configured: 300, restarts, handed_over: false, max_streams };
        assert_within_limit([10.0, 150.0].map(fleet));
    }
}

#[test]
fn directors_that_start_together_without_sessions_keep_the_limit_if_the_list_reports_the_nodes_start() {
    for running in [1, 3, 20, 30, 300] {
        let fleet = |max_streams| Fleet {
            running,
            configured: running,
            restarts: Restarts::None,
            handed_over: false,
            max_streams,
        };
        assert_within_limit(MAX_STREAMS.map(fleet));
    }
}

#[test]
fn fewer_or_slightly_more_directors_than_configured_keep_the_limit() {
    for (running, configured) in [(20, 30), (30, 300), (20, 18), (30, 27)] {
        let fleet = |max_streams| Fleet {
            running,
            configured,
            restarts: Restarts::None,
            handed_over: true,
            max_streams,
        };
        assert_within_limit(MAX_STREAMS.map(fleet));
    }
}
