//! Guards against the policy module getting other inputs from the platform's protocol than from the
//! simulator: one scenario, run through the gateway and by direct calls as the simulator's host makes them,
//! must give the same decisions.

use std::collections::BTreeMap;
use std::fmt::Write;

use ashglade::ids::{CellId, GroupId, NodeId, Rung, SessionId, SetupNumber, TimerId, TitleId};
use ashglade::interface::{AttemptOutcome, DecisionSink, SessionRequest};
use ashglade::policy::{Director, Round};
use ashglade::time::{Instant, Span};
use expect_test::expect;

use crate::Config;
use crate::bus::node_id;
use crate::tests::{CONFIG, Harness};

/// Setup timeout of the requests, less the time that is reserved for the answer's transmission.
const SETUP_TIMEOUT_MS: f64 = 2980.0;

/// Calls the policy module directly. Records its decisions in the format of [`decisions`], and its timers.
struct DirectHost {
    now: Instant,
    names: BTreeMap<NodeId, &'static str>,
    playing: Vec<SessionId>,
    rungs: BTreeMap<SessionId, Rung>,
    timers: Vec<Instant>,
    trace: String,
}

impl DecisionSink for DirectHost {
    fn send_setup(&mut self, session: SessionId, node: NodeId, deadline: Instant) {
        // The module sets a rung only when it changes, while each SETUP carries one.
        let rung = self.rungs.get(&session).map_or(0, |rung| rung.0);
        let _ = writeln!(self.trace, "{} starts at rung {rung}", session.0);
        let _ = writeln!(
            self.trace,
            "{} at {}, {} ms",
            session.0,
            self.names[&node],
            (deadline - self.now).as_ms()
        );
    }
    fn set_rung(&mut self, session: SessionId, rung: Rung) {
        self.rungs.insert(session, rung);
        if self.playing.contains(&session) {
            let _ = writeln!(self.trace, "{} plays at rung {}", session.0, rung.0);
        }
    }
    fn reply_busy(&mut self, session: SessionId, _: Option<Span>) {
        let _ = writeln!(self.trace, "{} busy", session.0);
    }
    fn tear_down(&mut self, session: SessionId) {
        let _ = writeln!(self.trace, "{} torn down", session.0);
    }
    fn cancel_setup(&mut self, _: SessionId, _: SetupNumber) {}
    fn probe_node(&mut self, _: NodeId) {}
    fn set_timer(&mut self, _: TimerId, after: Span) {
        self.timers.push(self.now + after);
    }
    fn watch_node_list(&mut self, _: bool) {}
}

impl DirectHost {
    fn round(&mut self, director: &mut Director, inputs: impl FnOnce(&mut Round)) {
        director.run_round(self.now, inputs, self);
    }

    fn advance(&mut self, director: &mut Director, ms: f64) {
        let until = self.now + Span::from_ms(ms);
        while let Some(due) = self.timers.iter().copied().min().filter(|&due| due <= until) {
            self.timers.retain(|&at| at != due);
            self.now = due;
            self.round(director, |round| round.timer_fired(TimerId(0)));
        }
        self.now = until;
    }
}

/// Extracts the decisions from a trace of the harness: SETUPs with their rungs, rungs of playing sessions,
/// busy replies.
fn decisions(trace: &str) -> String {
    let mut decisions = String::new();
    for line in trace.lines() {
        let field =
            |name: &str| line.split(&format!("\"{name}\":\"")).nth(1).and_then(|rest| rest.split('"').next());
        let session = field("tag").map(|tag| u64::from_str_radix(tag, 16).unwrap_or(0)).unwrap_or(0);
        match (field("verb"), line.starts_with("node")) {
            (Some("START"), true) => {
                let (rung, left_ms) = (field("rung").unwrap(), field("left").unwrap());
                let _ = writeln!(
                    decisions,
                    "{session} starts at rung {rung}\n{session} at {}, {left_ms} ms",
                    &line[5..6]
                );
            }
            (Some("RATE"), true) => {
                let _ = writeln!(decisions, "{session} plays at rung {}", field("rung").unwrap());
            }
            (Some("FINISH"), false) if line.contains("\"rc\":34") => {
                let _ = writeln!(decisions, "{session} busy");
            }
            _ => {}
        }
    }
    decisions
}

#[test]
fn gateway_and_direct_calls_give_the_same_decisions() {
    // Through the gateway. Connections are established at once.
    let mut harness = Harness::started();
    harness.node_connected("a0").node_sends("a0", "NOTICE", 0xa0, r#","opts":{"note":"r","value":0}"#);
    harness.viewer_connects(1).request_session(1, 1).node_connected("c1").node_sends(
        "c1",
        "STARTED",
        1,
        r#","opts":{},"blob":"m=1""#,
    );
    harness.advance(100.0).request_session(1, 2);
    let trace = harness.take_trace();
    // Session 2 is refused by a full node with a load report, by a faulty node, and by a full node; then it
    // is busy-replied.
    harness.node_sends("a0", "FINISH", 2, r#","opts":{"load":"x0:0.9"},"rc":34"#);
    harness.node_connected("b2").node_sends("b2", "FINISH", 2, r#","opts":{},"rc":47"#);
    harness.node_sends("c1", "FINISH", 2, r#","opts":{},"rc":34"#);
    harness.advance(1000.0).node_sends("c1", "NOTICE", 1, r#","opts":{"note":"d","value":0.6}"#);
    harness.advance(500.0).request_session(1, 3);
    let through_gateway = decisions(&(trace + &harness.take_trace()));

    // By direct calls.
    let config = Config::parse(CONFIG).unwrap();
    let [a, b, c] = ["a", "b", "c"].map(node_id);
    let names = BTreeMap::from([(a, "a"), (b, "b"), (c, "c")]);
    let now = Instant::from_ms(1e9 + 100.0);
    let mut host = DirectHost {
        now,
        names,
        playing: vec![SessionId(0xa0)],
        rungs: BTreeMap::new(),
        timers: Vec::new(),
        trace: String::new(),
    };
    let mut director = Director::new(&config.site.director, now);
    let request = |timeout_ms: f64| SessionRequest {
        group: GroupId(0),
        title: TitleId(0x7f3a),
        top_rung: Rung(2),
        first_cell: CellId(0),
        cell_count: 3,
        setup_timeout: Span::from_ms(timeout_ms),
    };
    host.round(&mut director, |round| {
        round.begin_list_snapshot();
        for event in config.known_nodes.clone().events_after(0) {
            event
                .into_discovery_update(&config.site.names)
                .nodes
                .iter()
                .for_each(|e| round.node_ready(e.node, e.info));
        }
        round.finish_list();
        round.session_handed_over(SessionId(0xa0), request(0.0), a);
    });
    host.advance(&mut director, 1.0);
    host.round(&mut director, |round| round.session_rung_reported(SessionId(0xa0), Rung(0)));
    host.round(&mut director, |round| round.session_requested(SessionId(1), request(SETUP_TIMEOUT_MS)));
    host.playing.push(SessionId(1));
    host.round(&mut director, |round| round.session_started(SessionId(1), SetupNumber(0), c));
    host.advance(&mut director, 100.0);
    host.round(&mut director, |round| round.session_requested(SessionId(2), request(SETUP_TIMEOUT_MS)));
    host.round(&mut director, |round| {
        round.link_demand_reported(a, 0.9);
        round.attempt_ended(SessionId(2), SetupNumber(0), a, AttemptOutcome::Full, false);
    });
    host.round(&mut director, |round| {
        round.attempt_ended(SessionId(2), SetupNumber(1), b, AttemptOutcome::Fault, false)
    });
    host.round(&mut director, |round| {
        round.attempt_ended(SessionId(2), SetupNumber(2), c, AttemptOutcome::Full, false)
    });
    host.advance(&mut director, 1000.0);
    host.round(&mut director, |round| round.delivery_reported(c, 0.6));
    host.advance(&mut director, 500.0);
    host.round(&mut director, |round| round.session_requested(SessionId(3), request(SETUP_TIMEOUT_MS)));

    assert_eq!(through_gateway, host.trace);
    expect![[r#"
        1 starts at rung 2
        1 at c, 400 ms
        2 starts at rung 2
        2 at a, 400 ms
        2 starts at rung 2
        2 at b, 400 ms
        2 starts at rung 2
        2 at c, 2980 ms
        2 busy
        160 plays at rung 1
        1 plays at rung 1
        3 starts at rung 2
        3 at b, 400 ms
    "#]]
    .assert_eq(&through_gateway);
}
