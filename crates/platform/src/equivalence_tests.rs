//! Guards against differences between the platform's protocol and the simulator in what the policy module is
//! told: one scenario, run through the gateway and by direct calls as the simulator's host makes them, must
//! give the same decisions.

use std::collections::BTreeMap;
use std::fmt::Write;

use ashglade::ids::{Cell, Group, Node, Rung, Sess, SetupNo, Ticket, Title};
use ashglade::interface::{Ending, Viewing, Writer};
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
    names: BTreeMap<Node, &'static str>,
    playing: Vec<Sess>,
    rungs: BTreeMap<Sess, Rung>,
    timers: Vec<Instant>,
    trace: String,
}

impl Writer for DirectHost {
    fn setup(&mut self, session: Sess, node: Node, deadline: Instant) {
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
    fn rung(&mut self, session: Sess, rung: Rung) {
        self.rungs.insert(session, rung);
        if self.playing.contains(&session) {
            let _ = writeln!(self.trace, "{} plays at rung {}", session.0, rung.0);
        }
    }
    fn busy(&mut self, session: Sess, _: Option<Span>) {
        let _ = writeln!(self.trace, "{} busy", session.0);
    }
    fn tear_down(&mut self, session: Sess) {
        let _ = writeln!(self.trace, "{} torn down", session.0);
    }
    fn cancel(&mut self, _: Sess, _: SetupNo) {}
    fn probe(&mut self, _: Node) {}
    fn wake(&mut self, _: Ticket, after: Span) {
        self.timers.push(self.now + after);
    }
    fn follow_list(&mut self, _: bool) {}
}

impl DirectHost {
    fn round(&mut self, director: &mut Director, inputs: impl FnOnce(&mut Round)) {
        director.round(self.now, inputs, self);
    }

    fn advance(&mut self, director: &mut Director, ms: f64) {
        let until = self.now + Span::from_ms(ms);
        while let Some(due) = self.timers.iter().copied().min().filter(|&due| due <= until) {
            self.timers.retain(|&at| at != due);
            self.now = due;
            self.round(director, |round| round.woke(Ticket(0)));
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

    // DirectHost into the module.
    let config = Config::read(CONFIG).unwrap();
    let [a, b, c] = ["a", "b", "c"].map(node_id);
    let names = BTreeMap::from([(a, "a"), (b, "b"), (c, "c")]);
    let now = Instant::from_ms(1e9 + 100.0);
    let mut host = DirectHost {
        now,
        names,
        playing: vec![Sess(0xa0)],
        rungs: BTreeMap::new(),
        timers: Vec::new(),
        trace: String::new(),
    };
    let mut director = Director::start(&config.site.headend, now);
    let request = |timeout_ms: f64| Viewing {
        group: Group(0),
        title: Title(0x7f3a),
        top: Rung(2),
        home: Cell(0),
        copies: 3,
        patience: Span::from_ms(timeout_ms),
    };
    host.round(&mut director, |round| {
        round.list_whole();
        for event in config.known.clone().after(0) {
            event.news(&config.site.names).nodes.iter().for_each(|e| round.node_ready(e.node, e.place));
        }
        round.list_done();
        round.under_way(Sess(0xa0), request(0.0), a);
    });
    host.advance(&mut director, 1.0);
    host.round(&mut director, |round| round.plays_at(Sess(0xa0), Rung(0)));
    host.round(&mut director, |round| round.asked(Sess(1), request(SETUP_TIMEOUT_MS)));
    host.playing.push(Sess(1));
    host.round(&mut director, |round| round.started(Sess(1), SetupNo(0), c));
    host.advance(&mut director, 100.0);
    host.round(&mut director, |round| round.asked(Sess(2), request(SETUP_TIMEOUT_MS)));
    host.round(&mut director, |round| {
        round.link_asked(a, 0.9);
        round.ended(Sess(2), SetupNo(0), a, Ending::Full, false);
    });
    host.round(&mut director, |round| round.ended(Sess(2), SetupNo(1), b, Ending::Fault, false));
    host.round(&mut director, |round| round.ended(Sess(2), SetupNo(2), c, Ending::Full, false));
    host.advance(&mut director, 1000.0);
    host.round(&mut director, |round| round.delivered(c, 0.6));
    host.advance(&mut director, 500.0);
    host.round(&mut director, |round| round.asked(Sess(3), request(SETUP_TIMEOUT_MS)));

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
