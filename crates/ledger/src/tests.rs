use expect_test::expect;

use super::*;

fn held(node: u64) -> HeldSession {
    let address = ([127, 0, 0, 1], node as u16).into();
    let (url, session) = ("rtsp://n/t/r0".into(), "7".into());
    HeldSession { node: NodeId(node), address, url, session, timeout: Span::from_secs(60.0) }
}

fn at(ms: f64) -> Instant {
    Instant::from_ms(ms)
}

/// Runs until `ms` against a node that answers from `up` on, each call taking 5 ms; the times of calls.
fn run(ledger: &mut Ledger, until: f64, up: f64) -> Vec<f64> {
    let mut calls = Vec::new();
    let mut out: Vec<(f64, SessionId)> = Vec::new();
    loop {
        let due = ledger.next_deadline().map_or(f64::INFINITY, Instant::as_ms);
        let back = out.first().map_or(f64::INFINITY, |(at, _)| *at);
        let now = due.min(back);
        if now > until {
            return calls;
        }
        if back <= due {
            let (_, sess) = out.remove(0);
            let outcome = if now >= up { TeardownOutcome::Confirmed } else { TeardownOutcome::Failed };
            ledger.teardown_finished(sess, outcome, at(now));
            continue;
        }
        for call in ledger.due_teardowns(at(now)).0 {
            calls.push(now);
            out.push((now + 5.0, call.session));
        }
        assert!(out.len() <= ledger.terms.at_once, "more than a few out at one node");
    }
}

#[test]
fn fifty_sessions_lost_with_one_node_come_back_spread_and_few_at_once() {
    let mut ledger = Ledger::new(TeardownPolicy::default(), 4);
    for n in 0..50 {
        ledger.session_held(SessionId(n), held(1));
        ledger.schedule_teardown(SessionId(n), at(0.0));
    }
    // The node is away for three seconds.
    let calls = run(&mut ledger, 20_000.0, 3000.0);
    let second = |s: f64| calls.iter().filter(|&&at| at >= s * 1e3 && at < (s + 1.0) * 1e3).count();
    let counts: Vec<usize> = (0..8).map(|s| second(f64::from(s))).collect();
    expect!["calls by second [3, 1, 0, 50, 0, 0, 0, 0], left (0, 0), Tally { held: 50, owed: 50, calls: 54, ended: 50, forgotten: 0, let_go: 0 }"].assert_eq(&format!("calls by second {counts:?}, left {:?}, {:?}", ledger.len(), ledger.tally));
}

#[test]
fn what_a_node_forgets_or_loses_with_a_restart_is_struck_out() {
    let mut ledger = Ledger::new(TeardownPolicy::default(), 4);
    for n in 0..4 {
        ledger.session_held(SessionId(n), held(n / 2 + 1));
        ledger.schedule_teardown(SessionId(n), at(0.0));
    }
    let gone = ledger.node_started(NodeId(1), at(100.0));
    // The other node answers nothing, ever.
    let calls = run(&mut ledger, 200_000.0, f64::INFINITY);
    let last = calls.last().copied().unwrap_or_default();
    assert!(last < 61_000.0 + 8_000.0, "no call once the node has forgotten it, last {last}");
    expect!["[SessionId(0), SessionId(1)] 14 calls (0, 0) Tally { held: 4, owed: 4, calls: 14, ended: 0, forgotten: 4, let_go: 0 }"].assert_eq(&format!("{gone:?} {} calls {:?} {:?}", calls.len(), ledger.len(), ledger.tally));
}

#[test]
fn held_and_ended_owes_nothing_and_an_answer_counts_once() {
    let mut ledger = Ledger::new(TeardownPolicy::default(), 4);
    ledger.session_held(SessionId(1), held(1));
    ledger.session_ended(SessionId(1));
    ledger.schedule_teardown(SessionId(1), at(0.0));
    assert!(ledger.is_empty() && ledger.next_deadline().is_none());
    ledger.session_held(SessionId(2), held(1));
    ledger.schedule_teardown(SessionId(2), at(0.0));
    let (calls, _) = ledger.due_teardowns(at(1000.0));
    assert_eq!(calls.len(), 1);
    assert!(ledger.teardown_finished(SessionId(2), TeardownOutcome::Confirmed, at(1001.0)));
    assert!(!ledger.teardown_finished(SessionId(2), TeardownOutcome::Confirmed, at(1002.0)), "told twice");
    assert!(ledger.is_empty());
}

#[test]
fn it_is_bounded_and_says_what_it_let_go() {
    let mut ledger = Ledger::new(TeardownPolicy { bound: 10, ..TeardownPolicy::default() }, 4);
    for n in 0..25 {
        ledger.session_held(SessionId(n), held(n));
        ledger.schedule_teardown(SessionId(n), at(0.0));
    }
    assert_eq!((ledger.len(), ledger.tally.let_go), ((0, 10), 15));
}

#[test]
fn pages_tell_what_the_last_director_left_open() {
    use journal::{Entry, encode, open_sessions};
    let mut text = String::new();
    for n in 1..=3 {
        text += &encode(&Entry::Held(SessionId(n), held(n)));
    }
    text += &encode(&Entry::Removed(SessionId(2)));
    let left: Vec<SessionId> = open_sessions(&text).unwrap().into_keys().collect();
    assert_eq!(left, [SessionId(1), SessionId(3)]);
    // Cut short in the last line, that line was not written.
    let left: Vec<SessionId> = open_sessions(&text[..text.len() - 3]).unwrap().into_keys().collect();
    assert_eq!(left, [SessionId(1), SessionId(2), SessionId(3)]);
    expect!["line 5: unknown variant `kept`, expected `held` or `struck` at line 1 column 7"]
        .assert_eq(&open_sessions(&(text + "{\"kept\":1}\n")).unwrap_err().to_string());
}
