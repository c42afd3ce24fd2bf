//! The module hears on sockets what it hears on the simulator's wire: one story told both ways gives the same
//! decisions. Told straight, the calls are those of the simulator's host.

use std::collections::BTreeMap;
use std::fmt::Write;

use ashglade::ids::{CellId, GroupId, NodeId, Rung, SessionId, SetupNumber, TimerId, TitleId};
use ashglade::interface::{AttemptOutcome, DecisionSink, SessionRequest};
use ashglade::policy::{Director, Round};
use ashglade::time::{Instant, Span};
use expect_test::expect;

use crate::Config;
use crate::bus::id_of;
use crate::tests::{CONFIG, Stage};

/// What viewers wait, less what is kept for the way of the answer.
const LEFT: f64 = 2980.0;

/// Writes decisions in the words that the stage shows, and keeps what is due.
struct Straight {
    now: Instant,
    names: BTreeMap<NodeId, &'static str>,
    plays: Vec<SessionId>,
    rungs: BTreeMap<SessionId, Rung>,
    wakes: Vec<Instant>,
    told: String,
}

impl DecisionSink for Straight {
    fn send_setup(&mut self, sess: SessionId, node: NodeId, until: Instant) {
        // A rung is told when it changes; a SETUP carries it each time.
        let rung = self.rungs.get(&sess).map_or(0, |rung| rung.0);
        let _ = writeln!(self.told, "{} starts at rung {rung}", sess.0);
        let _ = writeln!(self.told, "{} at {}, {} ms", sess.0, self.names[&node], (until - self.now).as_ms());
    }
    fn set_rung(&mut self, sess: SessionId, rung: Rung) {
        self.rungs.insert(sess, rung);
        if self.plays.contains(&sess) {
            let _ = writeln!(self.told, "{} plays at rung {}", sess.0, rung.0);
        }
    }
    fn reply_busy(&mut self, sess: SessionId, _: Option<Span>) {
        let _ = writeln!(self.told, "{} busy", sess.0);
    }
    fn tear_down(&mut self, sess: SessionId) {
        let _ = writeln!(self.told, "{} torn down", sess.0);
    }
    fn cancel_setup(&mut self, _: SessionId, _: SetupNumber) {}
    fn probe_node(&mut self, _: NodeId) {}
    fn set_timer(&mut self, _: TimerId, after: Span) {
        self.wakes.push(self.now + after);
    }
    fn watch_node_list(&mut self, _: bool) {}
}

impl Straight {
    fn tell(&mut self, director: &mut Director, news: impl FnOnce(&mut Round)) {
        director.run_round(self.now, news, self);
    }

    fn wait(&mut self, director: &mut Director, ms: f64) {
        let until = self.now + Span::from_ms(ms);
        while let Some(due) = self.wakes.iter().copied().min().filter(|&due| due <= until) {
            self.wakes.retain(|&at| at != due);
            self.now = due;
            self.tell(director, |round| round.timer_fired(TimerId(0)));
        }
        self.now = until;
    }
}

/// The stage's lines in the same words: SETUPs with their rungs, rungs of playing sessions, busy replies.
fn decisions(shown: &str) -> String {
    let mut told = String::new();
    for line in shown.lines() {
        let field =
            |name: &str| line.split(&format!("\"{name}\":\"")).nth(1).and_then(|rest| rest.split('"').next());
        let sess = field("tag").map(|tag| u64::from_str_radix(tag, 16).unwrap_or(0)).unwrap_or(0);
        match (field("verb"), line.starts_with("node")) {
            (Some("START"), true) => {
                let (rung, left) = (field("rung").unwrap(), field("left").unwrap());
                let _ = writeln!(told, "{sess} starts at rung {rung}\n{sess} at {}, {left} ms", &line[5..6]);
            }
            (Some("RATE"), true) => {
                let _ = writeln!(told, "{sess} plays at rung {}", field("rung").unwrap());
            }
            (Some("FINISH"), false) if line.contains("\"rc\":34") => {
                let _ = writeln!(told, "{sess} busy");
            }
            _ => {}
        }
    }
    told
}

#[test]
fn one_story_told_both_ways_gives_the_same_decisions() {
    // On sockets. Connections come up at once.
    let mut stage = Stage::begun();
    stage.up("a0").node("a0", "NOTICE", 0xa0, r#","opts":{"note":"r","value":0}"#);
    stage.opens(1).asks(1, 1).up("c1").node("c1", "STARTED", 1, r#","opts":{},"blob":"m=1""#);
    stage.waits(100.0).asks(1, 2);
    let shown = stage.shown();
    // Session 2 goes to a node that turns it away with a report, then to one that breaks, then busy.
    stage.node("a0", "FINISH", 2, r#","opts":{"load":"x0:0.9"},"rc":34"#);
    stage.up("b2").node("b2", "FINISH", 2, r#","opts":{},"rc":47"#);
    stage.node("c1", "FINISH", 2, r#","opts":{},"rc":34"#);
    stage.waits(1000.0).node("c1", "NOTICE", 1, r#","opts":{"note":"d","value":0.6}"#);
    stage.waits(500.0).asks(1, 3);
    let on_sockets = decisions(&(shown + &stage.shown()));

    // Straight into the module.
    let config = Config::read(CONFIG).unwrap();
    let [a, b, c] = ["a", "b", "c"].map(id_of);
    let names = BTreeMap::from([(a, "a"), (b, "b"), (c, "c")]);
    let now = Instant::from_ms(1e9 + 100.0);
    let mut out = Straight {
        now,
        names,
        plays: vec![SessionId(0xa0)],
        rungs: BTreeMap::new(),
        wakes: Vec::new(),
        told: String::new(),
    };
    let mut director = Director::new(&config.site.director, now);
    let want = |patience: f64| SessionRequest {
        group: GroupId(0),
        title: TitleId(0x7f3a),
        top_rung: Rung(2),
        first_cell: CellId(0),
        cell_count: 3,
        setup_timeout: Span::from_ms(patience),
    };
    out.tell(&mut director, |round| {
        round.begin_list_snapshot();
        for news in config.known.clone().after(0) {
            news.news(&config.site.names).entries.iter().for_each(|e| round.node_ready(e.node, e.place));
        }
        round.finish_list();
        round.session_handed_over(SessionId(0xa0), want(0.0), a);
    });
    out.wait(&mut director, 1.0);
    out.tell(&mut director, |round| round.session_rung_reported(SessionId(0xa0), Rung(0)));
    out.tell(&mut director, |round| round.session_requested(SessionId(1), want(LEFT)));
    out.plays.push(SessionId(1));
    out.tell(&mut director, |round| round.session_started(SessionId(1), SetupNumber(0), c));
    out.wait(&mut director, 100.0);
    out.tell(&mut director, |round| round.session_requested(SessionId(2), want(LEFT)));
    out.tell(&mut director, |round| {
        round.link_demand_reported(a, 0.9);
        round.attempt_ended(SessionId(2), SetupNumber(0), a, AttemptOutcome::Full, false);
    });
    out.tell(&mut director, |round| {
        round.attempt_ended(SessionId(2), SetupNumber(1), b, AttemptOutcome::Fault, false)
    });
    out.tell(&mut director, |round| {
        round.attempt_ended(SessionId(2), SetupNumber(2), c, AttemptOutcome::Full, false)
    });
    out.wait(&mut director, 1000.0);
    out.tell(&mut director, |round| round.delivery_reported(c, 0.6));
    out.wait(&mut director, 500.0);
    out.tell(&mut director, |round| round.session_requested(SessionId(3), want(LEFT)));

    assert_eq!(on_sockets, out.told);
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
    .assert_eq(&on_sockets);
}
