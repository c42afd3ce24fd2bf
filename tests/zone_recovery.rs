//! Guards against the overload of nodes in a zone that fails as a whole and recovers with all nodes in slow
//! start. No director is notified, and each has tried only a few of the nodes itself. The SETUPs that a node
//! gets from all directors together are limited as if all had been notified.

use std::collections::BTreeMap;

use ashglade::ids::*;
use ashglade::interface::*;
use ashglade::policy::Director;
use ashglade::time::{Instant, Span};
use expect_test::expect;

#[allow(dead_code)]
mod support;
use support::{TestDirector, config, node_info, request};

const NODES: u64 = 40;
const DIRECTORS: usize = 200;
/// Time between two requests at one director, in milliseconds.
const REQUEST_INTERVAL_MS: f64 = 400.0;
/// Beginning and end of the outage, in milliseconds.
const OUTAGE_MS: (f64, f64) = (3_000.0, 8_000.0);
const RUN_MS: f64 = 11_000.0;
/// Time after which a connection attempt to a node of the failed zone is given up, in milliseconds.
const CONNECT_TIMEOUT_MS: f64 = 250.0;
const EPOCH_MS: f64 = 1.7e12;
const MAX_STREAMS: f64 = 60.0;

#[derive(Default)]
struct SetupLog(Vec<(SessionId, NodeId)>);

impl DecisionSink for SetupLog {
    fn send_setup(&mut self, session: SessionId, node: NodeId, _: Instant) {
        self.0.push((session, node));
    }
    fn set_rung(&mut self, _: SessionId, _: Rung) {}
    fn reply_busy(&mut self, _: SessionId, _: Option<Span>) {}
    fn tear_down(&mut self, _: SessionId) {}
    fn cancel_setup(&mut self, _: SessionId, _: SetupNumber) {}
    fn probe_node(&mut self, _: NodeId) {}
    fn set_timer(&mut self, _: TimerId, _: Span) {}
    fn watch_node_list(&mut self, _: bool) {}
}

/// A director and the outcomes of its SETUPs that are due: when, and whether the SETUP succeeds.
struct TestHost {
    director: Director,
    setups: BTreeMap<SessionId, u16>,
    pending: Vec<(f64, SessionId, NodeId, bool)>,
}

fn in_outage(node: NodeId, ms: f64) -> bool {
    node.0 % 2 == 1 && (OUTAGE_MS.0..OUTAGE_MS.1).contains(&ms)
}

impl TestHost {
    fn start(index: usize) -> TestHost {
        let mut config = config();
        (config.director_index, config.director_count, config.seed) = (index, DIRECTORS, 7 + index as u64);
        config.zone = ZoneId(index as u8 % 2);
        (config.cell_count, config.max_streams, config.link_kb_per_s_per_weight) =
            (NODES as u16, vec![MAX_STREAMS], 1e12);
        let mut director = Director::new(&config, Instant::from_ms(EPOCH_MS));
        let report_events = |r: &mut ashglade::policy::Round| {
            r.begin_list_snapshot();
            (1..=NODES).for_each(|n| r.node_ready(NodeId(n), node_info(n, None)));
            r.finish_list();
            r.session_handed_over(SessionId(0), request(9, 0, 0), NodeId(2));
        };
        director.run_round(Instant::from_ms(EPOCH_MS), report_events, &mut SetupLog::default());
        TestHost { director, setups: BTreeMap::new(), pending: Vec::new() }
    }

    /// Runs a round with the outcomes that are due and one request. Returns the nodes that SETUPs are sent
    /// to.
    fn step(&mut self, ms: f64, session: SessionId) -> Vec<NodeId> {
        let (due, pending) = self.pending.drain(..).partition(|&(at, ..)| at <= ms);
        self.pending = pending;
        let mut sink = SetupLog::default();
        let report_events = |r: &mut ashglade::policy::Round| {
            for &(_, session, node, plays) in &due {
                let setup = SetupNumber(self.setups[&session] - 1);
                if plays {
                    r.session_started(session, setup, node);
                } else {
                    r.attempt_ended(session, setup, node, AttemptOutcome::Unreachable, false);
                }
            }
            r.session_requested(
                session,
                SessionRequest {
                    first_cell: CellId(
                        ((session.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33) % NODES) as u16,
                    ),
                    cell_count: 1,
                    ..request(session.0, 0, 0)
                },
            );
        };
        self.director.run_round(Instant::from_ms(EPOCH_MS + ms), report_events, &mut sink);
        for &(session, node) in &sink.0 {
            *self.setups.entry(session).or_default() += 1;
            let unreachable = in_outage(node, ms);
            self.pending.push((
                ms + if unreachable { CONNECT_TIMEOUT_MS } else { 5.0 },
                session,
                node,
                !unreachable,
            ));
        }
        sink.0.into_iter().map(|(_, node)| node).collect()
    }
}

#[test]
fn a_zone_that_recovers_unannounced_gets_no_more_setups_than_slow_start_allows() {
    let mut hosts: Vec<TestHost> = (0..DIRECTORS).map(TestHost::start).collect();
    let mut next_session = 1;
    let mut setups_by_node: BTreeMap<NodeId, Vec<f64>> = BTreeMap::new();
    for step in 0..(RUN_MS / REQUEST_INTERVAL_MS) as usize {
        for (index, host) in hosts.iter_mut().enumerate() {
            let ms =
                step as f64 * REQUEST_INTERVAL_MS + REQUEST_INTERVAL_MS * index as f64 / DIRECTORS as f64;
            next_session += 1;
            for node in host.step(ms, SessionId(next_session)) {
                setups_by_node.entry(node).or_default().push(ms);
            }
        }
    }
    let config = config();
    let (window, slow_start) = (config.overload_window.as_ms(), config.slow_start_duration.as_ms());
    let mut after_recovery = 0;
    for (node, sent) in setups_by_node.iter().filter(|(node, _)| node.0 % 2 == 1) {
        let late: Vec<f64> = sent.iter().copied().filter(|&ms| ms >= OUTAGE_MS.1).collect();
        after_recovery += late.len();
        for (k, &ms) in late.iter().enumerate() {
            let fraction = config.slow_start_initial_fraction
                + (1.0 - config.slow_start_initial_fraction) * (ms - OUTAGE_MS.1) / slow_start;
            let budget = MAX_STREAMS * config.overload_multiple * (window / slow_start) * fraction.min(1.0);
            let count = late[..=k].iter().filter(|&&other| ms - other <= window).count() as f64;
            let limit = budget + 2.0 * budget.sqrt() + 2.0;
            assert!(count <= limit, "node {}: {count} at {ms} ms, {limit:.1} at most", node.0);
        }
    }
    assert!(after_recovery >= 10, "{after_recovery} SETUPs to the recovered zone");
}

/// Nodes 1, 3, 5 and 7 form a zone. If three of them give no answer without a sign of life of any of the four
/// in between, the zone has failed, and node 7 is in slow start although it was never tried. With a sign of
/// life in between, or with two failures only, the zone has not failed.
#[test]
fn three_failures_without_a_sign_of_life_in_between_count_as_an_outage_of_the_zone() {
    let traces = [(3, false), (3, true), (2, false)].map(|(failures, contact)| {
        let mut director = TestDirector::with_nodes(8, |config| {
            (config.cell_count, config.max_setups_per_session, config.director_count) = (8, 1, 40);
        });
        let request_at =
            |n: u64| SessionRequest { first_cell: CellId(n as u16 - 1), cell_count: 1, ..request(n, 0, 0) };
        for k in 0..failures {
            director.round_at(1.0 + k as f64 * 0.4, |r| {
                r.session_requested(SessionId(k + 1), request_at(2 * k + 1))
            });
            director.end_attempt(1.3 + k as f64 * 0.4, k + 1, AttemptOutcome::Unreachable);
            if contact && k == 1 {
                director.round_at(1.75, |r| r.delivery_reported(NodeId(7), 1.0));
            }
        }
        (10..14).for_each(|session| {
            director.round_at(2.5 + session as f64 * 0.01, |r| {
                r.session_requested(SessionId(session), request_at(7))
            })
        });
        (20..22).for_each(|session| {
            director.round_at(2.5 + session as f64 * 0.01, |r| {
                r.session_requested(SessionId(session), request_at(2))
            })
        });
        format!("{failures} failures, a sign of life between: {contact}\n{}", director.trace)
    });
    expect![[r#"
        3 failures, a sign of life between: false
        1.00 s: rung 0 of 1, setup 1 at 1 until 4000
        1.30 s: busy 1 Some(1000.0)
        1.40 s: rung 0 of 2, setup 2 at 3 until 4400
        1.70 s: busy 2 Some(1000.0)
        1.80 s: rung 0 of 3, setup 3 at 5 until 4800
        2.10 s: busy 3 Some(1000.0)
        2.60 s: busy 10 Some(1000.0)
        2.61 s: busy 11 Some(1000.0)
        2.62 s: busy 12 Some(1000.0)
        2.63 s: busy 13 Some(1000.0)
        2.70 s: rung 0 of 20, setup 20 at 2 until 5700
        2.71 s: busy 21 Some(1000.0)
        3 failures, a sign of life between: true
        1.00 s: rung 0 of 1, setup 1 at 1 until 4000
        1.30 s: busy 1 Some(1000.0)
        1.40 s: rung 0 of 2, setup 2 at 3 until 4400
        1.70 s: busy 2 Some(1000.0)
        1.80 s: rung 0 of 3, setup 3 at 5 until 4800
        2.10 s: busy 3 Some(1000.0)
        2.60 s: rung 0 of 10, setup 10 at 7 until 5600
        2.61 s: busy 11 Some(1000.0)
        2.62 s: busy 12 Some(1000.0)
        2.63 s: busy 13 Some(1000.0)
        2.70 s: busy 20 Some(1000.0)
        2.71 s: busy 21 Some(1000.0)
        2 failures, a sign of life between: false
        1.00 s: rung 0 of 1, setup 1 at 1 until 4000
        1.30 s: busy 1 Some(1000.0)
        1.40 s: rung 0 of 2, setup 2 at 3 until 4400
        1.70 s: busy 2 Some(1000.0)
        2.60 s: rung 0 of 10, setup 10 at 7 until 5600
        2.61 s: rung 0 of 11, setup 11 at 7 until 5610
        2.62 s: busy 12 Some(1000.0)
        2.63 s: busy 13 Some(1000.0)
        2.70 s: busy 20 Some(1000.0)
        2.71 s: busy 21 Some(1000.0)
    "#]]
    .assert_eq(&traces.concat());
}
