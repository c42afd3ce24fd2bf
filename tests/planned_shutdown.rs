//! The schedule of a planned shutdown, for all setup timeouts and for random courses of what is open.

use ashglade::shutdown::{ConnectionUse, RemainingWork, Shutdown};
use ashglade::time::{Instant, Span};

const START_MS: f64 = 1e6;
/// Interval at which a shutdown is advanced.
const STEP_MS: f64 = 5.0;
/// The latest time at which requests arrive on connections that are not closed, after SIGTERM.
const NEW_CONNECTIONS_MS: f64 = 400.0;

fn start(setup_timeout_ms: Option<f64>) -> Shutdown {
    Shutdown::start(Instant::from_ms(START_MS), setup_timeout_ms.map(Span::from_ms))
}

fn since_start_ms(at: Instant) -> f64 {
    at.as_ms() - START_MS
}

#[test]
fn the_earliest_kill_is_the_longest_setup_timeout_and_0_7_s_after_the_signal() {
    let kill_ms = |timeout| since_start_ms(start(timeout).earliest_kill());
    assert_eq!(
        [Some(300.0), Some(900.0), Some(3000.0), Some(5000.0), None].map(kill_ms),
        [1000.0, 1600.0, 3700.0, 3700.0, 3700.0]
    );
}

/// One course of a shutdown: requests arrive at random on connections that are open, and are answered at
/// random times, at the latest when they are due. Returns when the last connection closed and when the process
/// ended, in milliseconds since the start, with all requests answered by then.
struct Course {
    last_close_ms: f64,
    exit_ms: f64,
    unanswered: usize,
}

#[derive(Clone, Copy)]
struct Connection {
    opened_at: Instant,
    had_requests: bool,
    answer_at: Option<Instant>,
}

/// Plays a course; `answers_in_time` is false for a planted defect in which answers ignore the deadline.
fn play(rng: &mut oorandom::Rand64, timeout_ms: f64, answers_in_time: bool) -> Course {
    let mut shutdown = start(Some(timeout_ms));
    let mut connections: Vec<Connection> = (0..rng.rand_range(0..8))
        .map(|_| Connection { opened_at: Instant::LONG_AGO, had_requests: true, answer_at: None })
        .collect();
    let mut course = Course { last_close_ms: 0.0, exit_ms: f64::INFINITY, unanswered: 0 };
    let mut listening = true;
    let mut now = Instant::from_ms(START_MS);
    while since_start_ms(now) < 10_000.0 {
        let new_connections_arrive = since_start_ms(now) < NEW_CONNECTIONS_MS;
        if listening && new_connections_arrive && rng.rand_float() < 0.1 {
            connections.push(Connection { opened_at: now, had_requests: false, answer_at: None });
        }
        for connection in &mut connections {
            if connection.answer_at.is_some_and(|at| at <= now) {
                connection.answer_at = None;
            }
            if connection.answer_at.is_none() && rng.rand_float() < 0.2 {
                connection.had_requests = true;
                let wanted = now + Span::from_ms(timeout_ms * rng.rand_float());
                let due = if answers_in_time { wanted.min(shutdown.answers_due()) } else { wanted };
                connection.answer_at = shutdown.serves(now).then_some(due);
            }
        }
        let before = connections.len();
        connections.retain(|c| {
            let usage = match c.answer_at {
                Some(_) => ConnectionUse::OpenRequests,
                None => ConnectionUse::Unused { opened_at: c.opened_at, had_requests: c.had_requests },
            };
            !shutdown.closes(now, usage)
        });
        if connections.len() < before {
            course.last_close_ms = since_start_ms(now);
        }
        let open_requests = connections.iter().filter(|c| c.answer_at.is_some()).count();
        let work =
            RemainingWork { viewer_connections: connections.len(), open_requests, lines_for_nodes: false };
        if shutdown.stops_listening(now, connections.len()) {
            assert!(listening, "listening ends twice");
            listening = false;
        }
        if shutdown.is_finished(now, work) {
            course.exit_ms = since_start_ms(now);
            course.unanswered = open_requests;
            course.last_close_ms = if connections.is_empty() { course.last_close_ms } else { course.exit_ms };
            return course;
        }
        now = now + Span::from_ms(STEP_MS);
    }
    course
}

/// Guards against a process that is still there, or a request that is open, when the kill comes (incident of
/// 2026-12-04).
#[test]
fn every_course_ends_before_the_earliest_kill_with_all_requests_answered() {
    let mut rng = oorandom::Rand64::new(46);
    for _ in 0..5_000 {
        let timeout_ms = 50.0 + 5_000.0 * rng.rand_float();
        let kill_ms = since_start_ms(start(Some(timeout_ms)).earliest_kill());
        let course = play(&mut rng, timeout_ms, true);
        assert!(course.exit_ms < kill_ms, "{timeout_ms}: ends at {} of {kill_ms}", course.exit_ms);
        assert!(course.last_close_ms < kill_ms, "{timeout_ms}: closes at {}", course.last_close_ms);
        assert_eq!(course.unanswered, 0, "{timeout_ms}: requests are open at the end");
    }
}

#[test]
fn the_search_finds_answers_that_ignore_the_common_deadline() {
    let mut rng = oorandom::Rand64::new(46);
    let found = (0..1_000).any(|_| {
        let timeout_ms = 50.0 + 5_000.0 * rng.rand_float();
        play(&mut rng, timeout_ms, false).unanswered > 0
    });
    assert!(found);
}

/// A request that crosses the close of its connection is sent again on a new one, within 50 ms.
#[test]
fn listening_goes_on_for_a_while_after_the_last_connection_has_closed() {
    let mut shutdown = start(Some(3000.0));
    let at = |ms: f64| Instant::from_ms(START_MS + ms);
    let nothing_left = RemainingWork { viewer_connections: 0, open_requests: 0, lines_for_nodes: false };
    assert!(!shutdown.stops_listening(at(800.0), 1));
    assert!(!shutdown.stops_listening(at(900.0), 0));
    assert!(!shutdown.stops_listening(at(960.0), 1), "the request that is sent again");
    assert!(!shutdown.stops_listening(at(1000.0), 0));
    assert!(!shutdown.stops_listening(at(1140.0), 0));
    assert!(shutdown.stops_listening(at(1150.0), 0));
    assert!(!shutdown.is_finished(at(1200.0), nothing_left), "what was accepted last is answered");
    assert!(shutdown.is_finished(at(1250.0), nothing_left));
}
