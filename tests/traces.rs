//! Traces of decisions in small scenarios. `UPDATE_EXPECT=1 cargo test` rewrites the expected traces.

mod support;

use ashglade::ids::*;
use ashglade::interface::*;
use ashglade::policy::Round;
use ashglade::state::{PolicyParams, Session, SessionTable};
use ashglade::time::{Instant, Span};
use expect_test::expect;
use support::{TestDirector, config, node_info, request};

#[test]
fn the_node_with_most_free_capacity_is_chosen_and_its_capacity_sets_the_rung() {
    let mut director = TestDirector::with_nodes(3, |_| {});
    director.round_at(1.0, |r| {
        r.load_reported(NodeId(1), &[0.9]);
        r.load_reported(NodeId(2), &[0.2]);
        r.load_reported(NodeId(3), &[0.5]);
        r.session_requested(SessionId(1), request(1, 0, 3));
    });
    director.assert_trace(expect![[r#"
        1.00 s: rung 2 of 1, setup 1 at 2 until 1500
    "#]]);
}

#[test]
fn candidates_are_tried_in_order_before_a_busy_reply() {
    let mut director = TestDirector::with_nodes(4, |_| {});
    director.round_at(1.0, |r| r.session_requested(SessionId(1), request(1, 0, 3)));
    director.end_attempt(1.1, 1, AttemptOutcome::Full);
    director.end_attempt(1.2, 1, AttemptOutcome::Unreachable);
    director.end_attempt(1.3, 1, AttemptOutcome::Silent);
    director.assert_trace(expect![[r#"
        1.00 s: rung 2 of 1, setup 1 at 2 until 1500
        1.10 s: setup 1 at 4 until 1550
        1.20 s: setup 1 at 3 until 4000
        1.30 s: busy 1 Some(1000.0)
    "#]]);
}

#[test]
fn short_delivery_downgrades_and_a_quiet_period_upgrades_once_a_minute() {
    let mut director = TestDirector::with_nodes(1, |_| {});
    director.round_at(1.0, |r| r.session_requested(SessionId(1), request(1, 0, 2)));
    director.start_session(1.1, 1);
    director.round_at(3.0, |r| r.delivery_reported(NodeId(1), 0.2));
    director.round_at(6.0, |r| r.delivery_reported(NodeId(1), 0.2));
    for secs in [30.0, 62.0, 64.0, 100.0] {
        director.round_at(secs, |r| r.timer_fired(TimerId(0)));
    }
    director.assert_trace(expect![[r#"
        1.00 s: rung 2 of 1, setup 1 at 1 until 1500
        3.00 s: rung 1 of 1
        64.00 s: rung 2 of 1
    "#]]);
}

#[test]
fn a_shortage_is_attributed_to_the_uplink_only_if_all_its_nodes_are_short() {
    // Nodes 1, 3 and 5 share a rack.
    for shares in [[0.1, 1.0, 1.0], [0.7, 0.7, 0.7]] {
        let mut director = TestDirector::with_nodes(6, |config| config.uplink_kb_per_s = 5000.0);
        director.round_at(0.0, |r| {
            r.session_handed_over(SessionId(901), request(1, 0, 0), NodeId(3));
            r.session_handed_over(SessionId(902), request(1, 0, 0), NodeId(5));
        });
        director.round_at(1.0, |r| {
            for (node, share) in [1, 3, 5].into_iter().zip(shares) {
                r.load_reported(NodeId(node), &[0.4]);
                r.delivery_reported(NodeId(node), share);
            }
            for node in [2, 4, 6] {
                r.load_reported(NodeId(node), &[0.8]);
            }
        });
        director.round_at(1.5, |r| r.session_requested(SessionId(1), request(1, 0, 3)));
        let expected = match shares[1] {
            1.0 => expect![[r#"
                1.50 s: rung 1 of 1, setup 1 at 3 until 2000
            "#]],
            _ => expect![[r#"
                1.50 s: rung 0 of 1, setup 1 at 4 until 2000
            "#]],
        };
        director.assert_trace(expected);
    }
}

#[test]
fn a_setup_that_may_have_run_is_retried_only_where_that_is_safe() {
    let retry_rules = [
        (RetrySafety::Fragile, RetryScope::Anywhere),
        (RetrySafety::Dedup, RetryScope::SameZone),
        (RetrySafety::Dedup, RetryScope::Anywhere),
    ];
    let traces = retry_rules.map(|(retry_safety, retry_scope)| {
        let mut director = TestDirector::with_nodes(4, |config| {
            (config.groups[0].retry_safety, config.groups[0].retry_scope) = (retry_safety, retry_scope)
        });
        director.round_at(1.0, |r| r.session_requested(SessionId(1), request(1, 0, 0)));
        director.end_attempt(1.1, 1, AttemptOutcome::Fault);
        if retry_safety == RetrySafety::Dedup {
            director.end_attempt(1.2, 1, AttemptOutcome::Fault);
        }
        format!("{retry_safety:?} {retry_scope:?}\n{}", director.trace)
    });
    expect![[r#"
        Fragile Anywhere
        1.00 s: rung 0 of 1, setup 1 at 2 until 4000
        1.10 s: tear down 1
        Dedup SameZone
        1.00 s: rung 0 of 1, setup 1 at 2 until 4000
        1.10 s: setup 1 at 4 until 4000
        1.20 s: tear down 1
        Dedup Anywhere
        1.00 s: rung 0 of 1, setup 1 at 2 until 4000
        1.10 s: setup 1 at 4 until 4000
        1.20 s: setup 1 at 3 until 4000
    "#]]
    .assert_eq(&traces.concat());
}

#[test]
fn draining_and_removed_nodes_get_no_new_sessions() {
    let mut director = TestDirector::with_nodes(2, |_| {});
    director.round_at(1.0, |r| {
        r.begin_list_update();
        r.node_draining(NodeId(2));
        r.finish_list();
        r.session_requested(SessionId(1), request(1, 0, 0));
    });
    director.round_at(2.0, |r| {
        r.begin_list_snapshot();
        r.finish_list();
        r.session_requested(SessionId(2), request(1, 0, 0));
    });
    director.assert_trace(expect![[r#"
        1.00 s: rung 0 of 1, setup 1 at 1 until 1500
        2.00 s: busy 2 Some(1000.0)
    "#]]);
}

#[test]
fn replaced_nodes_no_longer_count_in_the_load_of_their_rack() {
    let mut director =
        TestDirector::with_nodes(6, |config| (config.uplink_kb_per_s, config.director_count) = (5000.0, 3));
    director.round_at(1.0, |r| {
        (1..=6).for_each(|n| r.load_reported(NodeId(n), &[0.8]));
        r.begin_list_update();
        for n in 1..=6 {
            r.node_draining(NodeId(n));
            r.node_ready(NodeId(n + 6), NodeInfo { cell: CellId(n as u16 - 1), ..node_info(n + 6, None) });
        }
        r.finish_list();
    });
    director.round_at(30.0, |r| {
        (7..=12).for_each(|n| r.load_reported(NodeId(n), &[0.6]));
        (1..=3).for_each(|n| r.session_requested(SessionId(n), request(1, 0, 0)));
    });
    director.assert_trace(expect![[r#"
        30.00 s: rung 0 of 1, setup 1 at 10 until 30500, rung 0 of 2, setup 2 at 8 until 30500, rung 0 of 3, setup 3 at 10 until 30500
    "#]]);
}

#[test]
fn a_node_in_slow_start_gets_no_more_than_this_directors_part_of_its_budget() {
    let mut director = TestDirector::with_nodes(1, |config| config.director_count = 2);
    // In the first two seconds after its start the director may have sent SETUPs that it no longer knows of,
    // so it sends none to the node in slow start.
    for (secs, first) in [(1.0, 1), (3.0, 11)] {
        director.round_at(secs, |r| {
            r.begin_list_update();
            r.node_ready(NodeId(2), node_info(2, Some(Instant::from_ms(900.0))));
            r.finish_list();
            r.load_reported(NodeId(1), &[0.93]);
            for session in first..first + 4 {
                r.session_requested(SessionId(session), request(1, 0, 0));
            }
        });
    }
    director.assert_trace(expect![[r#"
        1.00 s: rung 0 of 1, setup 1 at 1 until 1500, busy 2 Some(1000.0), busy 3 Some(1000.0), busy 4 Some(1000.0)
        3.00 s: rung 0 of 11, setup 11 at 2 until 3500, rung 0 of 12, setup 12 at 1 until 3500, busy 13 Some(1000.0), busy 14 Some(1000.0)
    "#]]);
}

#[test]
fn a_restarted_director_among_many_has_a_part_of_the_whole_fleets_slow_start_budget() {
    let mut director = TestDirector::with_nodes(0, |config| config.director_count = 40);
    director.round_at(0.0, |r| {
        r.begin_list_snapshot();
        (1..=30).for_each(|n| r.node_ready(NodeId(n), NodeInfo { cell: CellId(0), ..node_info(n, None) }));
        r.finish_list();
    });
    director.round_at(1.0, |r| (1..=3).for_each(|n| r.session_requested(SessionId(n), request(1, 0, 0))));
    director.assert_trace(expect![[r#"
        1.00 s: rung 0 of 1, setup 1 at 4 until 1500, rung 0 of 2, setup 2 at 24 until 1500, rung 0 of 3, setup 3 at 22 until 1500
    "#]]);
}

#[test]
fn among_many_directors_an_upgrade_shares_capacity_with_the_nodes_other_sessions() {
    let traces = [0.3, 0.9].map(|demand| {
        let mut director = TestDirector::with_nodes(1, |config| config.director_count = 100);
        director.round_at(1.0, |r| {
            r.load_reported(NodeId(1), &[0.9]);
            r.session_requested(SessionId(1), request(1, 0, 1));
        });
        director.start_session(1.1, 1);
        director.round_at(31.0, |r| r.load_reported(NodeId(1), &[demand]));
        director.round_at(32.0, |r| r.timer_fired(TimerId(0)));
        format!("link demand {demand}\n{}", director.trace)
    });
    expect![[r#"
        link demand 0.3
        1.00 s: rung 0 of 1, setup 1 at 1 until 1500
        32.00 s: rung 1 of 1
        link demand 0.9
        1.00 s: rung 0 of 1, setup 1 at 1 until 1500
    "#]]
    .assert_eq(&traces.concat());
}

#[test]
fn in_a_surge_other_directors_are_assumed_to_send_as_many_setups() {
    let mut director = TestDirector::with_nodes(6, |config| config.director_count = 40);
    for n in 1..=4u32 {
        director.round_at(f64::from(n) * 0.1, |r| {
            (1..=6).for_each(|node| r.load_reported(NodeId(node), &[0.3]));
            r.session_requested(SessionId(n.into()), request(n.into(), 0, 3));
        });
    }
    director.assert_trace(expect![[r#"
        0.10 s: rung 2 of 1, setup 1 at 6 until 600
        0.20 s: rung 2 of 2, setup 2 at 2 until 700
        0.30 s: rung 1 of 3, setup 3 at 4 until 800
        0.40 s: busy 4 Some(1000.0)
    "#]]);
}

#[test]
fn a_node_that_gave_no_answer_is_tried_again_after_a_while() {
    let mut director = TestDirector::with_nodes(2, |_| {});
    director.round_at(1.0, |r| r.session_requested(SessionId(1), request(1, 0, 0)));
    director.end_attempt(1.8, 1, AttemptOutcome::Silent);
    for secs in [2.0, 13.0] {
        director.round_at(secs, |r| {
            r.load_reported(NodeId(1), &[0.9]);
            r.load_reported(NodeId(2), &[0.5]);
            r.session_requested(SessionId(secs as u64), request(1, 0, 0));
        });
    }
    director.assert_trace(expect![[r#"
        1.00 s: rung 0 of 1, setup 1 at 2 until 1500
        1.80 s: setup 1 at 1 until 2050
        2.00 s: busy 2 Some(1000.0)
        13.00 s: rung 0 of 13, setup 13 at 2 until 13500
    "#]]);
}

#[test]
fn seats_floors_and_the_retry_budget_are_respected() {
    let mut director = TestDirector::with_nodes(4, |config| {
        config.groups[0].seats = 2;
        config.groups[1].floor_rung = Rung(1);
        config.retry_budget =
            Some(RetryBudget { base_retries: 1.0, retries_per_session: 0.0, window: Span::from_secs(10.0) });
    });
    director.round_at(1.0, |r| {
        r.session_requested(SessionId(1), request(1, 0, 0));
        r.session_requested(SessionId(2), request(1, 0, 0));
        r.session_requested(SessionId(3), request(2, 1, 0));
        r.session_requested(SessionId(4), request(2, 1, 1));
    });
    director.end_attempt(1.1, 4, AttemptOutcome::Full);
    director.end_attempt(1.2, 4, AttemptOutcome::Full);
    director.assert_trace(expect![[r#"
        1.00 s: rung 0 of 1, setup 1 at 4 until 1500, busy 2 Some(1000.0), busy 3 Some(1000.0), rung 1 of 4, setup 4 at 2 until 1500
        1.10 s: setup 4 at 4 until 1550
        1.20 s: busy 4 Some(1000.0)
    "#]]);
}

#[test]
fn a_live_title_prefers_a_node_that_plays_it_at_the_same_rung() {
    let traces = [1, 3].map(|rung| {
        let mut director = TestDirector::with_nodes(2, |config| {
            (config.groups[0].live, config.live_join_fraction) = (true, 0.2)
        });
        director.round_at(0.5, |r| {
            r.session_rung_reported(SessionId(900), Rung(rung));
            r.load_reported(NodeId(1), &[0.5]);
        });
        director.round_at(1.0, |r| r.session_requested(SessionId(1), request(1, 0, 1)));
        format!("rung {rung} plays at 1\n{}", director.trace)
    });
    expect![[r#"
        rung 1 plays at 1
        1.00 s: rung 1 of 1, setup 1 at 1 until 1500
        rung 3 plays at 1
        1.00 s: rung 1 of 1, setup 1 at 2 until 1500
    "#]]
    .assert_eq(&traces.concat());
}

#[test]
fn a_viewer_who_leaves_frees_the_seat_once_the_outcome_is_known() {
    let mut director = TestDirector::with_nodes(2, |config| config.groups[0].seats = 2);
    director.round_at(1.0, |r| r.session_requested(SessionId(1), request(1, 0, 0)));
    director.round_at(1.1, |r| {
        r.viewer_left(SessionId(1));
        r.session_requested(SessionId(2), request(1, 0, 0));
    });
    director.end_attempt(1.2, 1, AttemptOutcome::Cancelled);
    director.round_at(1.3, |r| r.session_requested(SessionId(3), request(1, 0, 0)));
    director.assert_trace(expect![[r#"
        1.00 s: rung 0 of 1, setup 1 at 2 until 1500
        1.10 s: cancel 0 of 1, busy 2 Some(1000.0)
        1.30 s: rung 0 of 3, setup 3 at 2 until 1800
    "#]]);
}

#[test]
fn with_load_reports_from_probes_only_the_two_best_candidates_are_probed() {
    let mut director = TestDirector::with_nodes(3, |config| {
        (config.probe_only, config.may_probe, config.probe_cost) = (true, true, 0.013);
        config.load_metrics = vec![LoadMetric::Link];
    });
    let report = |r: &mut Round, node, link_demand| {
        r.probe_finished(NodeId(node), true);
        r.load_reported(NodeId(node), &[link_demand]);
    };
    director
        .round_at(0.2, |r| [1, 2, 3].into_iter().for_each(|n| r.load_reported(NodeId(n), &[0.2 * n as f64])));
    director.round_at(3.5, |r| r.session_requested(SessionId(1), request(1, 0, 1)));
    director.round_at(3.51, |r| report(r, 1, 0.9));
    director.round_at(3.52, |r| report(r, 2, 0.3));
    // Nodes with a recent report are not probed again. The session doesn't wait for the probe that is not
    // answered.
    director.round_at(3.6, |r| r.session_requested(SessionId(2), request(1, 0, 1)));
    director.round_at(4.2, |r| r.timer_fired(TimerId(0)));
    // A session whose setup timeout is near doesn't wait for probes.
    let setup_timeout = Span::from_ms(300.0);
    director.round_at(9.0, |r| {
        r.session_requested(SessionId(3), SessionRequest { setup_timeout, ..request(1, 0, 0) })
    });
    director.assert_trace(expect![[r#"
        3.50 s: probe 2, probe 1
        3.52 s: rung 1 of 1, setup 1 at 2 until 4010
        3.60 s: probe 3
        4.20 s: rung 1 of 2, setup 2 at 2 until 4450
        9.00 s: rung 0 of 3, setup 3 at 3 until 9300
    "#]]);
}

#[test]
fn a_director_that_was_stalled_answers_every_event_it_finds() {
    let mut director = TestDirector::with_nodes(3, |_| {});
    director.round_at(1.0, |r| r.session_requested(SessionId(1), request(1, 0, 0)));
    director.round_at(5.0, |r| {
        r.timer_fired(TimerId(0));
        r.session_requested(SessionId(2), request(1, 0, 0));
        r.attempt_ended(SessionId(1), SetupNumber(0), NodeId(2), AttemptOutcome::Silent, false);
        r.session_requested(SessionId(3), request(1, 0, 0));
        r.viewer_left(SessionId(3));
    });
    director.assert_trace(expect![[r#"
        1.00 s: rung 0 of 1, setup 1 at 2 until 1500
        5.00 s: rung 0 of 2, setup 2 at 3 until 5500, busy 1 Some(1000.0)
    "#]]);
}

#[test]
fn invalid_events_are_ignored_or_rejected_without_a_panic() {
    let mut director = TestDirector::with_nodes(1, |_| {});
    director.round_at(1.0, |r| {
        r.load_reported(NodeId(1), &[f64::NAN, f64::INFINITY, 3.0]);
        r.load_reported(NodeId(77), &[]);
        r.delivery_reported(NodeId(1), f64::NAN);
        r.session_started(SessionId(55), SetupNumber(3), NodeId(77));
        r.attempt_ended(SessionId(55), SetupNumber(3), NodeId(77), AttemptOutcome::Lost, true);
        r.viewer_left(SessionId(55));
        r.session_rung_reported(SessionId(900), Rung(200));
        r.session_requested(SessionId(1), request(1, 9, 0));
        r.session_requested(SessionId(2), SessionRequest { cell_count: 0, ..request(1, 0, 0) });
    });
    director.assert_trace(expect![[r#"
        1.00 s: busy 1 Some(1000.0), busy 2 Some(1000.0)
    "#]]);
}

#[test]
fn demand_by_node_equals_a_full_recount_with_live_titles_that_share_streams() {
    let mut config = config();
    (config.groups[0].live, config.live_join_fraction) = (true, 0.2);
    let params = PolicyParams::new(&config);
    let mut sessions = SessionTable::default();
    let mut rng = oorandom::Rand64::new(11);
    for step in 0..4000 {
        let mut draw = |n: u64| rng.rand_range(0..n);
        let (id, node) = (SessionId(draw(60)), draw(6) as usize);
        match draw(4) {
            0 if sessions.get(id).is_none() => {
                let request = request(draw(3), draw(2) as usize, 3);
                sessions.insert(id, Session::new(request, Instant::from_ms(0.0), 0, Span::ZERO));
            }
            0 => drop(sessions.remove(&params, id)),
            1 => drop(sessions.update(&params, id, |s| s.node = (node > 0).then_some(node))),
            2 => drop(sessions.update(&params, id, |s| s.set_rung(node as u8 % 4))),
            _ => drop(
                sessions.update(&params, id, |s| s.record_setup(node, Instant::from_ms(f64::from(step)))),
            ),
        }
        for i in 0..6 {
            let sessions_there = || sessions.iter().map(|(_, s)| s).filter(|s| s.node == Some(i));
            assert_eq!(sessions.demand(i), params.demand(sessions_there()), "node {i} after step {step}");
            assert_eq!(sessions.at_node(i).count(), sessions_there().count(), "node {i} after step {step}");
        }
    }
}

/// Guards against a viewer who is left without an answer until the setup timeout at 4 s. For each cause of a
/// rejection, the round with the event that causes it contains the answer, which is a busy reply with a
/// retry-after wherever the rules allow one.
#[test]
fn a_rejected_session_is_answered_in_the_same_round() {
    type Rejection =
        (&'static str, fn(&mut DirectorConfig), fn(&mut Round), &'static [(f64, AttemptOutcome)]);
    let plain_request = |r: &mut Round| r.session_requested(SessionId(1), request(1, 0, 0));
    let retry_budget =
        RetryBudget { base_retries: 0.0, retries_per_session: 0.0, window: Span::from_secs(9.0) };
    let rejections: [Rejection; 15] = [
        ("unknown service group", |_| {}, |r| r.session_requested(SessionId(1), request(1, 9, 0)), &[]),
        (
            "no holder",
            |_| {},
            |r| r.session_requested(SessionId(1), SessionRequest { cell_count: 0, ..request(1, 0, 0) }),
            &[],
        ),
        (
            "no holder is ready",
            |_| {},
            |r| {
                (1..=3).for_each(|n| r.node_draining(NodeId(n)));
                r.session_requested(SessionId(1), request(1, 0, 0));
            },
            &[],
        ),
        (
            "no capacity for the lowest rung",
            |_| {},
            |r| {
                (1..=3).for_each(|n| r.load_reported(NodeId(n), &[1.2]));
                r.session_requested(SessionId(1), request(1, 0, 0));
            },
            &[],
        ),
        (
            "all holders are in slow start, out of turn",
            |config| (config.director_count, config.director_index) = (100, 50),
            |r| {
                let just = Some(Instant::from_ms(900.0));
                (1..=3).for_each(|n| r.node_ready(NodeId(n), node_info(n, just)));
                r.session_requested(SessionId(1), request(1, 0, 0));
            },
            &[],
        ),
        (
            "viewer can't play the floor rung",
            |config| config.groups[0].floor_rung = Rung(1),
            plain_request,
            &[],
        ),
        ("no free seat", |config| config.groups[0].seats = 1, plain_request, &[]),
        (
            "all holders tried",
            |config| config.max_setups_per_session = 9,
            plain_request,
            &[(1.1, AttemptOutcome::Full), (1.2, AttemptOutcome::Full), (1.3, AttemptOutcome::Full)],
        ),
        (
            "limit of SETUPs",
            |config| config.max_setups_per_session = 1,
            plain_request,
            &[(1.1, AttemptOutcome::Full)],
        ),
        ("retry budget", |_| {}, plain_request, &[(1.1, AttemptOutcome::Unreachable)]),
        ("setup timeout expired", |_| {}, plain_request, &[(4.0, AttemptOutcome::Silent)]),
        (
            "fragile, may have run",
            |config| config.groups[0].retry_safety = RetrySafety::Fragile,
            plain_request,
            &[(1.1, AttemptOutcome::Lost)],
        ),
        (
            "fragile, never ran",
            |config| {
                (config.groups[0].retry_safety, config.max_setups_per_session) = (RetrySafety::Fragile, 1)
            },
            plain_request,
            &[(1.1, AttemptOutcome::Full)],
        ),
        (
            "dedup anywhere, retry window over",
            |config| config.groups[0].retry_safety = RetrySafety::Dedup,
            plain_request,
            &[(2.5, AttemptOutcome::Fault)],
        ),
        (
            "dedup, no other holder in its cell",
            |config| {
                (config.groups[0].retry_safety, config.groups[0].retry_scope) =
                    (RetrySafety::Dedup, RetryScope::SameCell)
            },
            plain_request,
            &[(1.1, AttemptOutcome::Fault)],
        ),
    ];
    let mut traces = String::new();
    for (cause, configure, report_events, outcomes) in rejections {
        let mut director = TestDirector::with_nodes(3, |config| {
            configure(config);
            config.retry_budget = (cause == "retry budget").then_some(retry_budget);
        });
        director.round_at(1.0, report_events);
        outcomes.iter().for_each(|&(secs, outcome)| director.end_attempt(secs, 1, outcome));
        traces += &format!("{cause}\n{}", director.trace);
    }
    let mut director = TestDirector::with_nodes(3, |config| {
        (config.probe_only, config.may_probe, config.probe_cost) = (true, true, 0.001)
    });
    director.round_at(1.0, plain_request);
    director.round_at(1.1, |r| {
        for n in 1..=3 {
            r.probe_finished(NodeId(n), true);
            r.load_reported(NodeId(n), &[1.2]);
        }
    });
    traces += &format!("no capacity by probe results\n{}", director.trace);
    expect![[r#"
        unknown service group
        1.00 s: busy 1 Some(1000.0)
        no holder
        1.00 s: busy 1 Some(1000.0)
        no holder is ready
        1.00 s: busy 1 Some(1000.0)
        no capacity for the lowest rung
        1.00 s: busy 1 Some(1000.0)
        all holders are in slow start, out of turn
        1.00 s: busy 1 Some(1000.0)
        viewer can't play the floor rung
        1.00 s: busy 1 Some(1000.0)
        no free seat
        1.00 s: busy 1 Some(1000.0)
        all holders tried
        1.00 s: rung 0 of 1, setup 1 at 2 until 1500
        1.10 s: setup 1 at 3 until 1550
        1.20 s: setup 1 at 1 until 1600
        1.30 s: busy 1 Some(1000.0)
        limit of SETUPs
        1.00 s: rung 0 of 1, setup 1 at 2 until 4000
        1.10 s: busy 1 Some(1000.0)
        retry budget
        1.00 s: rung 0 of 1, setup 1 at 2 until 1500
        1.10 s: busy 1 Some(1000.0)
        setup timeout expired
        1.00 s: rung 0 of 1, setup 1 at 2 until 1500
        4.00 s: busy 1 Some(1000.0)
        fragile, may have run
        1.00 s: rung 0 of 1, setup 1 at 2 until 4000
        1.10 s: tear down 1
        fragile, never ran
        1.00 s: rung 0 of 1, setup 1 at 2 until 4000
        1.10 s: busy 1 Some(1000.0)
        dedup anywhere, retry window over
        1.00 s: rung 0 of 1, setup 1 at 2 until 4000
        2.50 s: busy 1 Some(1000.0)
        dedup, no other holder in its cell
        1.00 s: rung 0 of 1, setup 1 at 2 until 4000
        1.10 s: tear down 1
        no capacity by probe results
        1.00 s: probe 2, probe 3
        1.10 s: busy 1 Some(1000.0)
    "#]]
    .assert_eq(&traces);
}

/// Guards against links with twice the demand that they can carry: many directors start at once without
/// sessions, and all assume that the fleet is idle.
#[test]
fn a_director_that_starts_without_sessions_does_not_assume_an_idle_fleet() {
    let traces = [1.0, 25.0].map(|secs| {
        let mut director = TestDirector::without_nodes(|config| {
            (config.director_count, config.slow_start_duration) = (40, Span::from_secs(0.5))
        });
        director.round_at(0.0, |r| {
            r.begin_list_snapshot();
            (1..=30)
                .for_each(|n| r.node_ready(NodeId(n), NodeInfo { cell: CellId(0), ..node_info(n, None) }));
            r.finish_list();
        });
        director.round_at(secs, |r| r.session_requested(SessionId(1), request(1, 0, 3)));
        director.trace
    });
    expect![[r#"
        1.00 s: rung 0 of 1, setup 1 at 8 until 1500
        25.00 s: rung 2 of 1, setup 1 at 8 until 25500
    "#]]
    .assert_eq(&traces.concat());
}

#[test]
fn directors_that_share_no_state_send_a_live_title_to_the_same_node() {
    let traces = [true, false].map(|live| {
        let traces_by_seed = (1..=6).map(|seed| {
            let mut director = TestDirector::with_nodes(6, |config| {
                (config.seed, config.director_count) = (seed, 40);
                (config.groups[0].live, config.live_join_fraction) = (live, 0.2);
            });
            director.round_at(1.0, |r| r.session_requested(SessionId(1), request(2, 0, 0)));
            director.trace
        });
        format!("live {live}\n{}", traces_by_seed.collect::<String>())
    });
    expect![[r#"
        live true
        1.00 s: rung 0 of 1, setup 1 at 4 until 1500
        1.00 s: rung 0 of 1, setup 1 at 4 until 1500
        1.00 s: rung 0 of 1, setup 1 at 4 until 1500
        1.00 s: rung 0 of 1, setup 1 at 4 until 1500
        1.00 s: rung 0 of 1, setup 1 at 4 until 1500
        1.00 s: rung 0 of 1, setup 1 at 4 until 1500
        live false
        1.00 s: rung 0 of 1, setup 1 at 2 until 1500
        1.00 s: rung 0 of 1, setup 1 at 2 until 1500
        1.00 s: rung 0 of 1, setup 1 at 2 until 1500
        1.00 s: rung 0 of 1, setup 1 at 4 until 1500
        1.00 s: rung 0 of 1, setup 1 at 6 until 1500
        1.00 s: rung 0 of 1, setup 1 at 6 until 1500
    "#]]
    .assert_eq(&traces.concat());
}

#[test]
fn a_live_session_that_joins_a_stream_needs_only_the_join_fraction() {
    let traces = [0.15, 1.0].map(|live_join_fraction| {
        let mut director = TestDirector::with_nodes(1, |config| {
            (config.groups[0].live, config.live_join_fraction) = (true, live_join_fraction)
        });
        director.round_at(0.5, |r| {
            r.session_rung_reported(SessionId(900), Rung(2));
            r.load_reported(NodeId(1), &[0.8]);
        });
        director.round_at(1.0, |r| r.session_requested(SessionId(1), request(1, 0, 2)));
        format!("live join fraction {live_join_fraction}\n{}", director.trace)
    });
    expect![[r#"
        live join fraction 0.15
        1.00 s: rung 2 of 1, setup 1 at 1 until 1500
        live join fraction 1
        1.00 s: rung 1 of 1, setup 1 at 1 until 1500
    "#]]
    .assert_eq(&traces.concat());
}

/// Two links are 4 % free by their reports. Of the large one, that is enough for several sessions at the
/// highest rung, but other directors see the same report.
#[test]
fn free_capacity_of_a_large_link_is_reserved_for_unreported_setups() {
    let traces = [1.0, 40.0].map(|factor| {
        let mut director = TestDirector::with_nodes(1, |config| config.link_kb_per_s_per_weight *= factor);
        director.round_at(1.0, |r| {
            r.load_reported(NodeId(1), &[1.0 - 0.04]);
            r.session_requested(SessionId(1), request(1, 0, 3));
        });
        format!("link times {factor}\n{}", director.trace)
    });
    expect![[r#"
        link times 1
        1.00 s: busy 1 Some(1000.0)
        link times 40
        1.00 s: rung 1 of 1, setup 1 at 1 until 1500
    "#]]
    .assert_eq(&traces.concat());
}

/// One group is fully served at rung 1, the other needs rung 3. If the worst-served group counts in the
/// objective, the second group gets more of the capacity.
#[test]
fn capacity_is_allocated_by_a_groups_rate_as_far_as_the_worst_served_group_counts() {
    let traces = [0.0, 0.35].map(|weight| {
        let mut director = TestDirector::with_nodes(2, |config| {
            (config.worst_group_weight, config.groups[1].utility) = (weight, 1.0);
            config.groups[0].top_rung = Rung(1);
        });
        director.round_at(1.0, |r| {
            (1..=2).for_each(|n| r.load_reported(NodeId(n), &[0.6]));
            r.session_requested(SessionId(1), request(1, 0, 3));
            r.session_requested(SessionId(2), request(2, 1, 3));
        });
        format!("worst group weight {weight}\n{}", director.trace)
    });
    expect![[r#"
        worst group weight 0
        1.00 s: rung 1 of 1, setup 1 at 2 until 1500, rung 1 of 2, setup 2 at 2 until 1500
        worst group weight 0.35
        1.00 s: rung 0 of 1, setup 1 at 2 until 1500, rung 1 of 2, setup 2 at 2 until 1500
    "#]]
    .assert_eq(&traces.concat());
}

/// Other directors found node 2 failing, which this director would choose: it is tried last. If all nodes are
/// suspected, the order is as if none were.
#[test]
fn nodes_that_other_directors_suspect_are_tried_last() {
    let traces = [vec![], vec![2], vec![1, 2, 3]].map(|suspected| {
        let mut director = TestDirector::with_nodes(3, |_| {});
        director.round_at(1.0, |r| {
            r.set_suspected_nodes(&suspected.iter().map(|&n| NodeId(n)).collect::<Vec<_>>());
            r.session_requested(SessionId(1), request(1, 0, 3));
        });
        director.end_attempt(1.1, 1, AttemptOutcome::Fault);
        director.end_attempt(1.2, 1, AttemptOutcome::Fault);
        director.round_at(2.0, |r| r.set_suspected_nodes(&[]));
        director.round_at(2.1, |r| r.session_requested(SessionId(2), request(1, 0, 3)));
        format!("suspected {suspected:?}\n{}", director.trace)
    });
    expect![[r#"
        suspected []
        1.00 s: rung 2 of 1, setup 1 at 2 until 1500
        1.10 s: setup 1 at 3 until 1550
        1.20 s: setup 1 at 1 until 4000
        2.10 s: rung 2 of 2, setup 2 at 2 until 2600
        suspected [2]
        1.00 s: rung 2 of 1, setup 1 at 3 until 1500
        1.10 s: setup 1 at 1 until 1550
        1.20 s: setup 1 at 2 until 4000
        2.10 s: rung 2 of 2, setup 2 at 2 until 2600
        suspected [1, 2, 3]
        1.00 s: rung 2 of 1, setup 1 at 2 until 1500
        1.10 s: setup 1 at 3 until 1550
        1.20 s: setup 1 at 1 until 4000
        2.10 s: rung 2 of 2, setup 2 at 2 until 2600
    "#]]
    .assert_eq(&traces.concat());
}

/// This director's part of the limit on retries at one node is none, one, or more than it needs.
#[test]
fn retries_at_one_node_stay_within_this_directors_part_of_the_limit() {
    let traces = [0, 1, 9].map(|limit| {
        let mut director = TestDirector::with_nodes(2, |_| {});
        director.round_at(1.0, |r| {
            r.set_retry_limit_per_node(limit, Span::from_secs(2.0));
            (1..=4).for_each(|session| r.session_requested(SessionId(session), request(1, 0, 0)));
        });
        (1..=4).for_each(|session| {
            director.end_attempt(1.1 + session as f64 / 100.0, session, AttemptOutcome::Full)
        });
        format!("limit {limit}\n{}", director.trace)
    });
    expect![[r#"
        limit 0
        1.00 s: rung 0 of 1, setup 1 at 2 until 1500, rung 0 of 2, setup 2 at 2 until 1500, rung 0 of 3, setup 3 at 2 until 1500, rung 0 of 4, setup 4 at 2 until 1500
        1.11 s: busy 1 Some(1000.0)
        1.12 s: busy 2 Some(1000.0)
        1.13 s: busy 3 Some(1000.0)
        1.14 s: busy 4 Some(1000.0)
        limit 1
        1.00 s: rung 0 of 1, setup 1 at 2 until 1500, rung 0 of 2, setup 2 at 2 until 1500, rung 0 of 3, setup 3 at 2 until 1500, rung 0 of 4, setup 4 at 2 until 1500
        1.11 s: setup 1 at 1 until 1555
        1.12 s: busy 2 Some(1000.0)
        1.13 s: busy 3 Some(1000.0)
        1.14 s: busy 4 Some(1000.0)
        limit 9
        1.00 s: rung 0 of 1, setup 1 at 2 until 1500, rung 0 of 2, setup 2 at 2 until 1500, rung 0 of 3, setup 3 at 2 until 1500, rung 0 of 4, setup 4 at 2 until 1500
        1.11 s: setup 1 at 1 until 1555
        1.12 s: setup 2 at 1 until 1560
        1.13 s: setup 3 at 1 until 1565
        1.14 s: setup 4 at 1 until 1570
    "#]].assert_eq(&traces.concat());
}
