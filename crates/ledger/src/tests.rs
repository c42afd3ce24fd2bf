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

/// Runs the ledger until `until` ms against a node that confirms tear-downs from `up` ms on, each attempt
/// taking 5 ms. Returns the times of the attempts.
fn run(ledger: &mut Ledger, until: f64, up: f64) -> Vec<f64> {
    let mut attempts = Vec::new();
    let mut in_flight: Vec<(f64, SessionId)> = Vec::new();
    loop {
        let due = ledger.next_deadline().map_or(f64::INFINITY, Instant::as_ms);
        let finished = in_flight.first().map_or(f64::INFINITY, |(at, _)| *at);
        let now = due.min(finished);
        if now > until {
            return attempts;
        }
        if finished <= due {
            let (_, session) = in_flight.remove(0);
            let outcome = if now >= up { TeardownOutcome::Confirmed } else { TeardownOutcome::Failed };
            ledger.teardown_finished(session, outcome, at(now));
            continue;
        }
        for teardown in ledger.due_teardowns(at(now)).0 {
            attempts.push(now);
            in_flight.push((now + 5.0, teardown.session));
        }
        assert!(
            in_flight.len() <= ledger.policy.max_in_flight_per_node,
            "too many attempts in flight at one node"
        );
    }
}

#[test]
fn tear_downs_of_a_node_that_is_down_are_spread_and_limited() {
    let mut ledger = Ledger::new(TeardownPolicy::default(), 4);
    for n in 0..50 {
        ledger.session_held(SessionId(n), held(1));
        ledger.schedule_teardown(SessionId(n), at(0.0));
    }
    // The node is down for three seconds.
    let attempts = run(&mut ledger, 20_000.0, 3000.0);
    let second = |s: f64| attempts.iter().filter(|&&at| at >= s * 1e3 && at < (s + 1.0) * 1e3).count();
    let counts: Vec<usize> = (0..8).map(|s| second(f64::from(s))).collect();
    expect!["attempts by second [3, 1, 0, 50, 0, 0, 0, 0], left (0, 0), LedgerTally { held: 50, scheduled: 50, attempts: 54, confirmed: 50, expired: 0, dropped: 0 }"].assert_eq(&format!("attempts by second {counts:?}, left {:?}, {:?}", ledger.len(), ledger.tally));
}

#[test]
fn sessions_that_a_node_dropped_or_lost_in_a_restart_are_removed() {
    let mut ledger = Ledger::new(TeardownPolicy::default(), 4);
    for n in 0..4 {
        ledger.session_held(SessionId(n), held(n / 2 + 1));
        ledger.schedule_teardown(SessionId(n), at(0.0));
    }
    let removed = ledger.node_started(NodeId(1), at(100.0));
    // The other node never answers.
    let attempts = run(&mut ledger, 200_000.0, f64::INFINITY);
    let last = attempts.last().copied().unwrap_or_default();
    assert!(last < 61_000.0 + 8_000.0, "an attempt after the node's session timeout, at {last} ms");
    expect!["[SessionId(0), SessionId(1)] 14 attempts (0, 0) LedgerTally { held: 4, scheduled: 4, attempts: 14, confirmed: 0, expired: 4, dropped: 0 }"].assert_eq(&format!("{removed:?} {} attempts {:?} {:?}", attempts.len(), ledger.len(), ledger.tally));
}

#[test]
fn an_ended_session_needs_no_tear_down_and_an_outcome_counts_once() {
    let mut ledger = Ledger::new(TeardownPolicy::default(), 4);
    ledger.session_held(SessionId(1), held(1));
    ledger.session_ended(SessionId(1));
    ledger.schedule_teardown(SessionId(1), at(0.0));
    assert!(ledger.is_empty() && ledger.next_deadline().is_none());
    ledger.session_held(SessionId(2), held(1));
    ledger.schedule_teardown(SessionId(2), at(0.0));
    let (teardowns, _) = ledger.due_teardowns(at(1000.0));
    assert_eq!(teardowns.len(), 1);
    assert!(ledger.teardown_finished(SessionId(2), TeardownOutcome::Confirmed, at(1001.0)));
    assert!(
        !ledger.teardown_finished(SessionId(2), TeardownOutcome::Confirmed, at(1002.0)),
        "the outcome counted twice"
    );
    assert!(ledger.is_empty());
}

#[test]
fn the_ledger_is_bounded_and_counts_dropped_tear_downs() {
    let mut ledger = Ledger::new(TeardownPolicy { max_sessions: 10, ..TeardownPolicy::default() }, 4);
    for n in 0..25 {
        ledger.session_held(SessionId(n), held(n));
        ledger.schedule_teardown(SessionId(n), at(0.0));
    }
    assert_eq!((ledger.len(), ledger.tally.dropped), ((0, 10), 15));
}

#[test]
fn the_journal_yields_the_sessions_left_open() {
    use journal::{Entry, encode, open_sessions};
    let mut text = String::new();
    for n in 1..=3 {
        text += &encode(&Entry::Held(SessionId(n), held(n)));
    }
    text += &encode(&Entry::Removed(SessionId(2)));
    let open: Vec<SessionId> = open_sessions(&text).unwrap().into_keys().collect();
    assert_eq!(open, [SessionId(1), SessionId(3)]);
    // A last line that was cut off doesn't count.
    let open: Vec<SessionId> = open_sessions(&text[..text.len() - 3]).unwrap().into_keys().collect();
    assert_eq!(open, [SessionId(1), SessionId(2), SessionId(3)]);
    expect!["line 5: unknown variant `kept`, expected `held` or `struck` at line 1 column 7"]
        .assert_eq(&open_sessions(&(text + "{\"kept\":1}\n")).unwrap_err().to_string());
}
