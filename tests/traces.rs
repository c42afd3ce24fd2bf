//! Traces of decisions, read by people: `UPDATE_EXPECT=1 cargo test` writes them anew.

mod desk;

use ashglade::ids::*;
use ashglade::interface::*;
use ashglade::policy::Round;
use ashglade::state::{Plant, Sitting, Sittings};
use ashglade::time::{Instant, Span};
use desk::{Desk, headend, place, want};
use expect_test::expect;

#[test]
fn free_room_leads_the_score_and_sets_the_rung() {
    let mut desk = Desk::open(3, |_| {});
    desk.at(1.0, |r| {
        r.load_reported(NodeId(1), &[0.9]);
        r.load_reported(NodeId(2), &[0.2]);
        r.load_reported(NodeId(3), &[0.5]);
        r.session_requested(SessionId(1), want(1, 0, 3));
    });
    desk.shows(expect![[r#"
        1.00 s: rung 2 of 1, setup 1 at 2 until 1500
    "#]]);
}

#[test]
fn the_list_is_tried_in_turn_then_a_busy_reply() {
    let mut desk = Desk::open(4, |_| {});
    desk.at(1.0, |r| r.session_requested(SessionId(1), want(1, 0, 3)));
    desk.ended(1.1, 1, AttemptOutcome::Full);
    desk.ended(1.2, 1, AttemptOutcome::Unreachable);
    desk.ended(1.3, 1, AttemptOutcome::Silent);
    desk.shows(expect![[r#"
        1.00 s: rung 2 of 1, setup 1 at 2 until 1500
        1.10 s: setup 1 at 4 until 1550
        1.20 s: setup 1 at 3 until 4000
        1.30 s: busy 1 Some(1000.0)
    "#]]);
}

#[test]
fn short_delivery_drops_and_quiet_climbs_once_a_minute() {
    let mut desk = Desk::open(1, |_| {});
    desk.at(1.0, |r| r.session_requested(SessionId(1), want(1, 0, 2)));
    desk.starts(1.1, 1);
    desk.at(3.0, |r| r.delivery_reported(NodeId(1), 0.2));
    desk.at(6.0, |r| r.delivery_reported(NodeId(1), 0.2));
    for secs in [30.0, 62.0, 64.0, 100.0] {
        desk.at(secs, |r| r.timer_fired(TimerId(0)));
    }
    desk.shows(expect![[r#"
        1.00 s: rung 2 of 1, setup 1 at 1 until 1500
        3.00 s: rung 1 of 1
        64.00 s: rung 2 of 1
    "#]]);
}

#[test]
fn an_uplink_is_blamed_only_if_all_its_nodes_are_short() {
    // Nodes 1, 3 and 5 share a rack.
    for shares in [[0.1, 1.0, 1.0], [0.7, 0.7, 0.7]] {
        let mut desk = Desk::open(6, |head| head.uplink_kb_per_s = 5000.0);
        desk.at(0.0, |r| {
            r.session_handed_over(SessionId(901), want(1, 0, 0), NodeId(3));
            r.session_handed_over(SessionId(902), want(1, 0, 0), NodeId(5));
        });
        desk.at(1.0, |r| {
            for (node, share) in [1, 3, 5].into_iter().zip(shares) {
                r.load_reported(NodeId(node), &[0.4]);
                r.delivery_reported(NodeId(node), share);
            }
            for node in [2, 4, 6] {
                r.load_reported(NodeId(node), &[0.8]);
            }
        });
        desk.at(1.5, |r| r.session_requested(SessionId(1), want(1, 0, 3)));
        let expected = match shares[1] {
            1.0 => expect![[r#"
                1.50 s: rung 1 of 1, setup 1 at 3 until 2000
            "#]],
            _ => expect![[r#"
                1.50 s: rung 0 of 1, setup 1 at 4 until 2000
            "#]],
        };
        desk.shows(expected);
    }
}

#[test]
fn what_may_have_run_is_set_up_again_only_where_that_does_no_harm() {
    let cares = [
        (RetrySafety::Fragile, RetryScope::Anywhere),
        (RetrySafety::Dedup, RetryScope::SameZone),
        (RetrySafety::Dedup, RetryScope::Anywhere),
    ];
    let traces = cares.map(|(care, reach)| {
        let mut desk =
            Desk::open(4, |head| (head.groups[0].retry_safety, head.groups[0].retry_scope) = (care, reach));
        desk.at(1.0, |r| r.session_requested(SessionId(1), want(1, 0, 0)));
        desk.ended(1.1, 1, AttemptOutcome::Fault);
        if care == RetrySafety::Dedup {
            desk.ended(1.2, 1, AttemptOutcome::Fault);
        }
        format!("{care:?} {reach:?}\n{}", desk.trace)
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
fn nothing_new_goes_to_a_node_that_drains_or_is_gone() {
    let mut desk = Desk::open(2, |_| {});
    desk.at(1.0, |r| {
        r.begin_list_update();
        r.node_draining(NodeId(2));
        r.finish_list();
        r.session_requested(SessionId(1), want(1, 0, 0));
    });
    desk.at(2.0, |r| {
        r.begin_list_snapshot();
        r.finish_list();
        r.session_requested(SessionId(2), want(1, 0, 0));
    });
    desk.shows(expect![[r#"
        1.00 s: rung 0 of 1, setup 1 at 1 until 1500
        2.00 s: busy 2 Some(1000.0)
    "#]]);
}

#[test]
fn machines_that_were_replaced_no_longer_fill_their_rack() {
    let mut desk = Desk::open(6, |head| (head.uplink_kb_per_s, head.director_count) = (5000.0, 3));
    desk.at(1.0, |r| {
        (1..=6).for_each(|n| r.load_reported(NodeId(n), &[0.8]));
        r.begin_list_update();
        for n in 1..=6 {
            r.node_draining(NodeId(n));
            r.node_ready(NodeId(n + 6), NodeInfo { cell: CellId(n as u16 - 1), ..place(n + 6, None) });
        }
        r.finish_list();
    });
    desk.at(30.0, |r| {
        (7..=12).for_each(|n| r.load_reported(NodeId(n), &[0.6]));
        (1..=3).for_each(|n| r.session_requested(SessionId(n), want(1, 0, 0)));
    });
    desk.shows(expect![[r#"
        30.00 s: rung 0 of 1, setup 1 at 10 until 30500, rung 0 of 2, setup 2 at 8 until 30500, rung 0 of 3, setup 3 at 10 until 30500
    "#]]);
}

#[test]
fn a_cold_node_gets_no_more_than_our_part_of_its_pace() {
    let mut desk = Desk::open(1, |head| head.director_count = 2);
    // Within the first two seconds what we may have sent before we started is not known: nothing more.
    for (secs, sess) in [(1.0, 1), (3.0, 11)] {
        desk.at(secs, |r| {
            r.begin_list_update();
            r.node_ready(NodeId(2), place(2, Some(Instant::from_ms(900.0))));
            r.finish_list();
            r.load_reported(NodeId(1), &[0.93]);
            for sess in sess..sess + 4 {
                r.session_requested(SessionId(sess), want(1, 0, 0));
            }
        });
    }
    desk.shows(expect![[r#"
        1.00 s: rung 0 of 1, setup 1 at 1 until 1500, busy 2 Some(1000.0), busy 3 Some(1000.0), busy 4 Some(1000.0)
        3.00 s: rung 0 of 11, setup 11 at 2 until 3500, rung 0 of 12, setup 12 at 1 until 3500, busy 13 Some(1000.0), busy 14 Some(1000.0)
    "#]]);
}

#[test]
fn a_restarted_director_among_many_has_a_part_of_the_whole_fleets_cold_pace() {
    let mut desk = Desk::open(0, |head| head.director_count = 40);
    desk.at(0.0, |r| {
        r.begin_list_snapshot();
        (1..=30).for_each(|n| r.node_ready(NodeId(n), NodeInfo { cell: CellId(0), ..place(n, None) }));
        r.finish_list();
    });
    desk.at(1.0, |r| (1..=3).for_each(|n| r.session_requested(SessionId(n), want(1, 0, 0))));
    desk.shows(expect![[r#"
        1.00 s: rung 0 of 1, setup 1 at 4 until 1500, rung 0 of 2, setup 2 at 24 until 1500, rung 0 of 3, setup 3 at 22 until 1500
    "#]]);
}

#[test]
fn among_many_directors_a_climb_shares_room_with_the_nodes_own_sessions() {
    let traces = [0.3, 0.9].map(|level| {
        let mut desk = Desk::open(1, |head| head.director_count = 100);
        desk.at(1.0, |r| {
            r.load_reported(NodeId(1), &[0.9]);
            r.session_requested(SessionId(1), want(1, 0, 1));
        });
        desk.starts(1.1, 1);
        desk.at(31.0, |r| r.load_reported(NodeId(1), &[level]));
        desk.at(32.0, |r| r.timer_fired(TimerId(0)));
        format!("link asked for {level}\n{}", desk.trace)
    });
    expect![[r#"
        link asked for 0.3
        1.00 s: rung 0 of 1, setup 1 at 1 until 1500
        32.00 s: rung 1 of 1
        link asked for 0.9
        1.00 s: rung 0 of 1, setup 1 at 1 until 1500
    "#]]
    .assert_eq(&traces.concat());
}

#[test]
fn in_a_surge_others_are_held_to_set_up_as_many_as_we_do() {
    let mut desk = Desk::open(6, |head| head.director_count = 40);
    for n in 1..=4u32 {
        desk.at(f64::from(n) * 0.1, |r| {
            (1..=6).for_each(|node| r.load_reported(NodeId(node), &[0.3]));
            r.session_requested(SessionId(n.into()), want(n.into(), 0, 3));
        });
    }
    desk.shows(expect![[r#"
        0.10 s: rung 2 of 1, setup 1 at 6 until 600
        0.20 s: rung 2 of 2, setup 2 at 2 until 700
        0.30 s: rung 1 of 3, setup 3 at 4 until 800
        0.40 s: busy 4 Some(1000.0)
    "#]]);
}

#[test]
fn a_node_that_gave_no_answer_is_tried_again_in_time() {
    let mut desk = Desk::open(2, |_| {});
    desk.at(1.0, |r| r.session_requested(SessionId(1), want(1, 0, 0)));
    desk.ended(1.8, 1, AttemptOutcome::Silent);
    for secs in [2.0, 13.0] {
        desk.at(secs, |r| {
            r.load_reported(NodeId(1), &[0.9]);
            r.load_reported(NodeId(2), &[0.5]);
            r.session_requested(SessionId(secs as u64), want(1, 0, 0));
        });
    }
    desk.shows(expect![[r#"
        1.00 s: rung 0 of 1, setup 1 at 2 until 1500
        1.80 s: setup 1 at 1 until 2050
        2.00 s: busy 2 Some(1000.0)
        13.00 s: rung 0 of 13, setup 13 at 2 until 13500
    "#]]);
}

#[test]
fn seats_floors_and_the_ration_hold() {
    let mut desk = Desk::open(4, |head| {
        head.groups[0].seats = 2;
        head.groups[1].floor_rung = Rung(1);
        head.retry_budget =
            Some(RetryBudget { base_retries: 1.0, retries_per_session: 0.0, window: Span::from_secs(10.0) });
    });
    desk.at(1.0, |r| {
        r.session_requested(SessionId(1), want(1, 0, 0));
        r.session_requested(SessionId(2), want(1, 0, 0));
        r.session_requested(SessionId(3), want(2, 1, 0));
        r.session_requested(SessionId(4), want(2, 1, 1));
    });
    desk.ended(1.1, 4, AttemptOutcome::Full);
    desk.ended(1.2, 4, AttemptOutcome::Full);
    desk.shows(expect![[r#"
        1.00 s: rung 0 of 1, setup 1 at 4 until 1500, busy 2 Some(1000.0), busy 3 Some(1000.0), rung 1 of 4, setup 4 at 2 until 1500
        1.10 s: setup 4 at 4 until 1550
        1.20 s: busy 4 Some(1000.0)
    "#]]);
}

#[test]
fn a_live_title_goes_where_the_same_rung_plays_already() {
    let traces = [1, 3].map(|rung| {
        let mut desk = Desk::open(2, |head| (head.groups[0].live, head.live_join_fraction) = (true, 0.2));
        desk.at(0.5, |r| {
            r.session_rung_reported(SessionId(900), Rung(rung));
            r.load_reported(NodeId(1), &[0.5]);
        });
        desk.at(1.0, |r| r.session_requested(SessionId(1), want(1, 0, 1)));
        format!("rung {rung} plays at 1\n{}", desk.trace)
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
fn a_viewer_who_leaves_frees_the_seat_at_the_outcome() {
    let mut desk = Desk::open(2, |head| head.groups[0].seats = 2);
    desk.at(1.0, |r| r.session_requested(SessionId(1), want(1, 0, 0)));
    desk.at(1.1, |r| {
        r.viewer_left(SessionId(1));
        r.session_requested(SessionId(2), want(1, 0, 0));
    });
    desk.ended(1.2, 1, AttemptOutcome::Cancelled);
    desk.at(1.3, |r| r.session_requested(SessionId(3), want(1, 0, 0)));
    desk.shows(expect![[r#"
        1.00 s: rung 0 of 1, setup 1 at 2 until 1500
        1.10 s: cancel 0 of 1, busy 2 Some(1000.0)
        1.30 s: rung 0 of 3, setup 3 at 2 until 1800
    "#]]);
}

#[test]
fn where_only_probes_tell_the_load_the_best_two_are_probed_first() {
    let mut desk = Desk::open(3, |head| {
        (head.probe_only, head.may_probe, head.probe_cost) = (true, true, 0.013);
        head.load_metrics = vec![LoadMetric::Link];
    });
    let tells = |r: &mut Round, node, level| {
        r.probe_finished(NodeId(node), true);
        r.load_reported(NodeId(node), &[level]);
    };
    desk.at(0.2, |r| [1, 2, 3].into_iter().for_each(|n| r.load_reported(NodeId(n), &[0.2 * n as f64])));
    desk.at(3.5, |r| r.session_requested(SessionId(1), want(1, 0, 1)));
    desk.at(3.51, |r| tells(r, 1, 0.9));
    desk.at(3.52, |r| tells(r, 2, 0.3));
    // Heard of just now, they are not probed again; an answer that stays out is not waited for.
    desk.at(3.6, |r| r.session_requested(SessionId(2), want(1, 0, 1)));
    desk.at(4.2, |r| r.timer_fired(TimerId(0)));
    // A viewer in a hurry isn't kept waiting.
    let patience = Span::from_ms(300.0);
    desk.at(9.0, |r| {
        r.session_requested(SessionId(3), SessionRequest { setup_timeout: patience, ..want(1, 0, 0) })
    });
    desk.shows(expect![[r#"
        3.50 s: probe 2, probe 1
        3.52 s: rung 1 of 1, setup 1 at 2 until 4010
        3.60 s: probe 3
        4.20 s: rung 1 of 2, setup 2 at 2 until 4450
        9.00 s: rung 0 of 3, setup 3 at 3 until 9300
    "#]]);
}

#[test]
fn a_director_that_stood_still_answers_all_that_it_finds() {
    let mut desk = Desk::open(3, |_| {});
    desk.at(1.0, |r| r.session_requested(SessionId(1), want(1, 0, 0)));
    desk.at(5.0, |r| {
        r.timer_fired(TimerId(0));
        r.session_requested(SessionId(2), want(1, 0, 0));
        r.attempt_ended(SessionId(1), SetupNumber(0), NodeId(2), AttemptOutcome::Silent, false);
        r.session_requested(SessionId(3), want(1, 0, 0));
        r.viewer_left(SessionId(3));
    });
    desk.shows(expect![[r#"
        1.00 s: rung 0 of 1, setup 1 at 2 until 1500
        5.00 s: rung 0 of 2, setup 2 at 3 until 5500, busy 1 Some(1000.0)
    "#]]);
}

#[test]
fn odd_news_is_taken_without_complaint() {
    let mut desk = Desk::open(1, |_| {});
    desk.at(1.0, |r| {
        r.load_reported(NodeId(1), &[f64::NAN, f64::INFINITY, 3.0]);
        r.load_reported(NodeId(77), &[]);
        r.delivery_reported(NodeId(1), f64::NAN);
        r.session_started(SessionId(55), SetupNumber(3), NodeId(77));
        r.attempt_ended(SessionId(55), SetupNumber(3), NodeId(77), AttemptOutcome::Lost, true);
        r.viewer_left(SessionId(55));
        r.session_rung_reported(SessionId(900), Rung(200));
        r.session_requested(SessionId(1), want(1, 9, 0));
        r.session_requested(SessionId(2), SessionRequest { cell_count: 0, ..want(1, 0, 0) });
    });
    desk.shows(expect![[r#"
        1.00 s: busy 1 Some(1000.0), busy 2 Some(1000.0)
    "#]]);
}

#[test]
fn kept_sums_equal_a_fresh_count_with_live_titles_that_share_streams() {
    let mut head = headend();
    (head.groups[0].live, head.live_join_fraction) = (true, 0.2);
    let plant = Plant::of(&head);
    let mut sess = Sittings::default();
    let mut rng = oorandom::Rand64::new(11);
    for step in 0..4000 {
        let mut draw = |n: u64| rng.rand_range(0..n);
        let (id, node) = (SessionId(draw(60)), draw(6) as usize);
        match draw(4) {
            0 if sess.get(id).is_none() => {
                let want = want(draw(3), draw(2) as usize, 3);
                sess.insert(id, Sitting::new(want, Instant::from_ms(0.0), 0, Span::ZERO));
            }
            0 => drop(sess.remove(&plant, id)),
            1 => drop(sess.change(&plant, id, |s| s.node = (node > 0).then_some(node))),
            2 => drop(sess.change(&plant, id, |s| s.set(node as u8 % 4))),
            _ => drop(sess.change(&plant, id, |s| s.send(node, Instant::from_ms(f64::from(step))))),
        }
        for i in 0..6 {
            let there = || sess.iter().map(|(_, s)| s).filter(|s| s.node == Some(i));
            assert_eq!(sess.own(i), plant.asked(there()), "node {i} after step {step}");
            assert_eq!(sess.at(i).count(), there().count(), "node {i} after step {step}");
        }
    }
}

/// Each way of giving up, with the news that brings it: the answer is in that round and not near the setup timeout at
/// 4 s, with a time to come back wherever the rules allow a busy reply.
#[test]
fn whoever_is_given_up_on_is_answered_in_that_round() {
    type Way = (&'static str, fn(&mut DirectorConfig), fn(&mut Round), &'static [(f64, AttemptOutcome)]);
    let plain = |r: &mut Round| r.session_requested(SessionId(1), want(1, 0, 0));
    let ration = RetryBudget { base_retries: 0.0, retries_per_session: 0.0, window: Span::from_secs(9.0) };
    let ways: [Way; 15] = [
        ("no such service group", |_| {}, |r| r.session_requested(SessionId(1), want(1, 9, 0)), &[]),
        (
            "no holder",
            |_| {},
            |r| r.session_requested(SessionId(1), SessionRequest { cell_count: 0, ..want(1, 0, 0) }),
            &[],
        ),
        (
            "no holder is ready",
            |_| {},
            |r| {
                (1..=3).for_each(|n| r.node_draining(NodeId(n)));
                r.session_requested(SessionId(1), want(1, 0, 0));
            },
            &[],
        ),
        (
            "no room for the lowest rung",
            |_| {},
            |r| {
                (1..=3).for_each(|n| r.load_reported(NodeId(n), &[1.2]));
                r.session_requested(SessionId(1), want(1, 0, 0));
            },
            &[],
        ),
        (
            "all holders are cold, none in its turn",
            |head| (head.director_count, head.director_index) = (100, 50),
            |r| {
                let just = Some(Instant::from_ms(900.0));
                (1..=3).for_each(|n| r.node_ready(NodeId(n), place(n, just)));
                r.session_requested(SessionId(1), want(1, 0, 0));
            },
            &[],
        ),
        ("its viewer can't use the floor", |head| head.groups[0].floor_rung = Rung(1), plain, &[]),
        ("no seat", |head| head.groups[0].seats = 1, plain, &[]),
        (
            "all holders tried",
            |head| head.max_setups_per_session = 9,
            plain,
            &[(1.1, AttemptOutcome::Full), (1.2, AttemptOutcome::Full), (1.3, AttemptOutcome::Full)],
        ),
        ("limit of SETUPs", |head| head.max_setups_per_session = 1, plain, &[(1.1, AttemptOutcome::Full)]),
        ("ration", |_| {}, plain, &[(1.1, AttemptOutcome::Unreachable)]),
        ("its time is up", |_| {}, plain, &[(4.0, AttemptOutcome::Silent)]),
        (
            "fragile, may have run",
            |head| head.groups[0].retry_safety = RetrySafety::Fragile,
            plain,
            &[(1.1, AttemptOutcome::Lost)],
        ),
        (
            "fragile, never ran",
            |head| (head.groups[0].retry_safety, head.max_setups_per_session) = (RetrySafety::Fragile, 1),
            plain,
            &[(1.1, AttemptOutcome::Full)],
        ),
        (
            "dedup anywhere, its window over",
            |head| head.groups[0].retry_safety = RetrySafety::Dedup,
            plain,
            &[(2.5, AttemptOutcome::Fault)],
        ),
        (
            "dedup, no other holder in its cell",
            |head| {
                (head.groups[0].retry_safety, head.groups[0].retry_scope) =
                    (RetrySafety::Dedup, RetryScope::SameCell)
            },
            plain,
            &[(1.1, AttemptOutcome::Fault)],
        ),
    ];
    let mut traces = String::new();
    for (way, head, asks, ends) in ways {
        let mut desk = Desk::open(3, |h| {
            head(h);
            h.retry_budget = (way == "ration").then_some(ration);
        });
        desk.at(1.0, asks);
        ends.iter().for_each(|&(secs, how)| desk.ended(secs, 1, how));
        traces += &format!("{way}\n{}", desk.trace);
    }
    let mut desk = Desk::open(3, |h| (h.probe_only, h.may_probe, h.probe_cost) = (true, true, 0.001));
    desk.at(1.0, plain);
    desk.at(1.1, |r| {
        for n in 1..=3 {
            r.probe_finished(NodeId(n), true);
            r.load_reported(NodeId(n), &[1.2]);
        }
    });
    traces += &format!("no room once probes have told\n{}", desk.trace);
    expect![[r#"
        no such service group
        1.00 s: busy 1 Some(1000.0)
        no holder
        1.00 s: busy 1 Some(1000.0)
        no holder is ready
        1.00 s: busy 1 Some(1000.0)
        no room for the lowest rung
        1.00 s: busy 1 Some(1000.0)
        all holders are cold, none in its turn
        1.00 s: busy 1 Some(1000.0)
        its viewer can't use the floor
        1.00 s: busy 1 Some(1000.0)
        no seat
        1.00 s: busy 1 Some(1000.0)
        all holders tried
        1.00 s: rung 0 of 1, setup 1 at 2 until 1500
        1.10 s: setup 1 at 3 until 1550
        1.20 s: setup 1 at 1 until 1600
        1.30 s: busy 1 Some(1000.0)
        limit of SETUPs
        1.00 s: rung 0 of 1, setup 1 at 2 until 4000
        1.10 s: busy 1 Some(1000.0)
        ration
        1.00 s: rung 0 of 1, setup 1 at 2 until 1500
        1.10 s: busy 1 Some(1000.0)
        its time is up
        1.00 s: rung 0 of 1, setup 1 at 2 until 1500
        4.00 s: busy 1 Some(1000.0)
        fragile, may have run
        1.00 s: rung 0 of 1, setup 1 at 2 until 4000
        1.10 s: tear down 1
        fragile, never ran
        1.00 s: rung 0 of 1, setup 1 at 2 until 4000
        1.10 s: busy 1 Some(1000.0)
        dedup anywhere, its window over
        1.00 s: rung 0 of 1, setup 1 at 2 until 4000
        2.50 s: busy 1 Some(1000.0)
        dedup, no other holder in its cell
        1.00 s: rung 0 of 1, setup 1 at 2 until 4000
        1.10 s: tear down 1
        no room once probes have told
        1.00 s: probe 2, probe 3
        1.10 s: busy 1 Some(1000.0)
    "#]]
    .assert_eq(&traces);
}

/// Many come back at once and know nothing: if all took the fleet for empty, its links would be asked for twice over.
#[test]
fn a_director_that_starts_without_sessions_does_not_hold_the_fleet_for_empty() {
    let traces = [1.0, 25.0].map(|secs| {
        let mut desk =
            Desk::bare(|head| (head.director_count, head.slow_start_duration) = (40, Span::from_secs(0.5)));
        desk.at(0.0, |r| {
            r.begin_list_snapshot();
            (1..=30).for_each(|n| r.node_ready(NodeId(n), NodeInfo { cell: CellId(0), ..place(n, None) }));
            r.finish_list();
        });
        desk.at(secs, |r| r.session_requested(SessionId(1), want(1, 0, 3)));
        desk.trace
    });
    expect![[r#"
        1.00 s: rung 0 of 1, setup 1 at 8 until 1500
        25.00 s: rung 2 of 1, setup 1 at 8 until 25500
    "#]]
    .assert_eq(&traces.concat());
}

#[test]
fn a_live_title_is_drawn_to_one_node_by_directors_that_know_nothing_of_each_other() {
    let traces = [true, false].map(|live| {
        let at = (1..=6).map(|seed| {
            let mut desk = Desk::open(6, |head| {
                (head.seed, head.director_count) = (seed, 40);
                (head.groups[0].live, head.live_join_fraction) = (live, 0.2);
            });
            desk.at(1.0, |r| r.session_requested(SessionId(1), want(2, 0, 0)));
            desk.trace
        });
        format!("live {live}\n{}", at.collect::<String>())
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
fn beside_one_of_ours_a_live_session_needs_only_what_joining_adds() {
    let traces = [0.15, 1.0].map(|join| {
        let mut desk = Desk::open(1, |head| (head.groups[0].live, head.live_join_fraction) = (true, join));
        desk.at(0.5, |r| {
            r.session_rung_reported(SessionId(900), Rung(2));
            r.load_reported(NodeId(1), &[0.8]);
        });
        desk.at(1.0, |r| r.session_requested(SessionId(1), want(1, 0, 2)));
        format!("joining adds {join}\n{}", desk.trace)
    });
    expect![[r#"
        joining adds 0.15
        1.00 s: rung 2 of 1, setup 1 at 1 until 1500
        joining adds 1
        1.00 s: rung 1 of 1, setup 1 at 1 until 1500
    "#]]
    .assert_eq(&traces.concat());
}

/// Two links a twenty-fifth free by report: what is free of the large one would do for several at the highest rung.
#[test]
fn free_room_of_a_large_link_is_left_to_those_that_come_meanwhile() {
    let traces = [1.0, 40.0].map(|size| {
        let mut desk = Desk::open(1, |head| head.link_kb_per_s_per_weight *= size);
        desk.at(1.0, |r| {
            r.load_reported(NodeId(1), &[1.0 - 0.04]);
            r.session_requested(SessionId(1), want(1, 0, 3));
        });
        format!("link times {size}\n{}", desk.trace)
    });
    expect![[r#"
        link times 1
        1.00 s: busy 1 Some(1000.0)
        link times 40
        1.00 s: rung 1 of 1, setup 1 at 1 until 1500
    "#]]
    .assert_eq(&traces.concat());
}

/// One group is served whole at rung 1, the other needs rung 3: where the worst-served group counts, it gets more of the room.
#[test]
fn room_goes_by_what_a_group_needs_as_far_as_the_worst_served_counts() {
    let traces = [0.0, 0.35].map(|worst| {
        let mut desk = Desk::open(2, |head| {
            (head.worst_group_weight, head.groups[1].utility) = (worst, 1.0);
            head.groups[0].top_rung = Rung(1);
        });
        desk.at(1.0, |r| {
            (1..=2).for_each(|n| r.load_reported(NodeId(n), &[0.6]));
            r.session_requested(SessionId(1), want(1, 0, 3));
            r.session_requested(SessionId(2), want(2, 1, 3));
        });
        format!("worst group counts {worst}\n{}", desk.trace)
    });
    expect![[r#"
        worst group counts 0
        1.00 s: rung 1 of 1, setup 1 at 2 until 1500, rung 1 of 2, setup 2 at 2 until 1500
        worst group counts 0.35
        1.00 s: rung 0 of 1, setup 1 at 2 until 1500, rung 1 of 2, setup 2 at 2 until 1500
    "#]]
    .assert_eq(&traces.concat());
}

/// Others found node 2 failing, where this director would go: it is tried last, and when all are so, all are as good as before.
#[test]
fn what_others_found_failing_is_tried_last() {
    let traces = [vec![], vec![2], vec![1, 2, 3]].map(|last| {
        let mut desk = Desk::open(3, |_| {});
        desk.at(1.0, |r| {
            r.set_suspected_nodes(&last.iter().map(|&n| NodeId(n)).collect::<Vec<_>>());
            r.session_requested(SessionId(1), want(1, 0, 3));
        });
        desk.ended(1.1, 1, AttemptOutcome::Fault);
        desk.ended(1.2, 1, AttemptOutcome::Fault);
        desk.at(2.0, |r| r.set_suspected_nodes(&[]));
        desk.at(2.1, |r| r.session_requested(SessionId(2), want(1, 0, 3)));
        format!("last {last:?}\n{}", desk.trace)
    });
    expect![[r#"
        last []
        1.00 s: rung 2 of 1, setup 1 at 2 until 1500
        1.10 s: setup 1 at 3 until 1550
        1.20 s: setup 1 at 1 until 4000
        2.10 s: rung 2 of 2, setup 2 at 2 until 2600
        last [2]
        1.00 s: rung 2 of 1, setup 1 at 3 until 1500
        1.10 s: setup 1 at 1 until 1550
        1.20 s: setup 1 at 2 until 4000
        2.10 s: rung 2 of 2, setup 2 at 2 until 2600
        last [1, 2, 3]
        1.00 s: rung 2 of 1, setup 1 at 2 until 1500
        1.10 s: setup 1 at 3 until 1550
        1.20 s: setup 1 at 1 until 4000
        2.10 s: rung 2 of 2, setup 2 at 2 until 2600
    "#]]
    .assert_eq(&traces.concat());
}

/// A bound of the fleet on further SETUPs at one node, of which this director has none, one, or more than it needs.
#[test]
fn further_setups_at_one_node_stay_within_our_part_of_the_fleet_s_bound() {
    let traces = [0, 1, 9].map(|most| {
        let mut desk = Desk::open(2, |_| {});
        desk.at(1.0, |r| {
            r.set_retry_limit_per_node(most, Span::from_secs(2.0));
            (1..=4).for_each(|sess| r.session_requested(SessionId(sess), want(1, 0, 0)));
        });
        (1..=4).for_each(|sess| desk.ended(1.1 + sess as f64 / 100.0, sess, AttemptOutcome::Full));
        format!("{most} of ours\n{}", desk.trace)
    });
    expect![[r#"
        0 of ours
        1.00 s: rung 0 of 1, setup 1 at 2 until 1500, rung 0 of 2, setup 2 at 2 until 1500, rung 0 of 3, setup 3 at 2 until 1500, rung 0 of 4, setup 4 at 2 until 1500
        1.11 s: busy 1 Some(1000.0)
        1.12 s: busy 2 Some(1000.0)
        1.13 s: busy 3 Some(1000.0)
        1.14 s: busy 4 Some(1000.0)
        1 of ours
        1.00 s: rung 0 of 1, setup 1 at 2 until 1500, rung 0 of 2, setup 2 at 2 until 1500, rung 0 of 3, setup 3 at 2 until 1500, rung 0 of 4, setup 4 at 2 until 1500
        1.11 s: setup 1 at 1 until 1555
        1.12 s: busy 2 Some(1000.0)
        1.13 s: busy 3 Some(1000.0)
        1.14 s: busy 4 Some(1000.0)
        9 of ours
        1.00 s: rung 0 of 1, setup 1 at 2 until 1500, rung 0 of 2, setup 2 at 2 until 1500, rung 0 of 3, setup 3 at 2 until 1500, rung 0 of 4, setup 4 at 2 until 1500
        1.11 s: setup 1 at 1 until 1555
        1.12 s: setup 2 at 1 until 1560
        1.13 s: setup 3 at 1 until 1565
        1.14 s: setup 4 at 1 until 1570
    "#]].assert_eq(&traces.concat());
}
