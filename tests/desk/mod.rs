//! A director at a small headend, with its decisions printed one a line.

use std::collections::BTreeMap;

use ashglade::ids::*;
use ashglade::interface::*;
use ashglade::policy::{Director, Round};
use ashglade::time::{Instant, Span};
use expect_test::Expect;

/// The trace so far, and where each session was last set up.
#[derive(Default)]
pub struct Printer(Vec<String>, BTreeMap<u64, Node>);

impl Printer {
    fn line(&mut self, text: String) {
        self.0.push(text);
    }
}

impl Writer for Printer {
    fn setup(&mut self, sess: Sess, node: Node, until: Instant) {
        self.1.insert(sess.0, node);
        self.line(format!("setup {} at {} until {}", sess.0, node.0, until.as_ms()));
    }
    fn rung(&mut self, sess: Sess, rung: Rung) {
        self.line(format!("rung {} of {}", rung.0, sess.0));
    }
    fn busy(&mut self, sess: Sess, retry_after: Option<Span>) {
        self.line(format!("busy {} {:?}", sess.0, retry_after.map(Span::as_ms)));
    }
    fn tear_down(&mut self, sess: Sess) {
        self.line(format!("tear down {}", sess.0));
    }
    fn cancel(&mut self, sess: Sess, setup: SetupNo) {
        self.line(format!("cancel {} of {}", setup.0, sess.0));
    }
    fn probe(&mut self, node: Node) {
        self.line(format!("probe {}", node.0));
    }
    fn wake(&mut self, _: Ticket, _: Span) {}
    fn follow_list(&mut self, on: bool) {
        self.line(format!("follow list {on}"));
    }
}

/// Two service groups, four rungs, one kind of node with room for ten sessions at rung 1.
pub fn headend() -> Headend {
    let group = |utility, secs| ServiceGroup {
        start_target: Span::from_secs(secs),
        utility,
        care: Care::Safe,
        reach: Reach::Anywhere,
        repeat_window: Span::from_secs(1.0),
        live: false,
        scale: 1.0,
        floor: Rung(0),
        top: Rung(3),
        seats: 0,
    };
    Headend {
        seed: 7,
        zone: Zone(0),
        me: 0,
        directors: 1,
        groups: vec![group(1.0, 1.0), group(2.0, 1.0)],
        ladder: vec![(100.0, 0.3), (200.0, 0.5), (400.0, 0.8), (800.0, 1.0)],
        places: vec![20.0],
        cells: 6,
        racks: 2,
        link_unit: 2000.0,
        uplink: 0.0,
        join: 1.0,
        worst_group: 0.0,
        guard: 0.0,
        notice: Span::from_secs(1.0),
        gauges: vec![Gauge::Link, Gauge::Uplink],
        probe_only: false,
        may_probe: false,
        probe_price: 0.0,
        may_cancel: true,
        retry_after: Some(Span::from_secs(2.0)),
        setups_per_session: 3,
        ration: None,
        cold_from: 0.4,
        warm_after: Span::from_secs(10.0),
        fall_multiple: 2.0,
        fall_span: Span::from_secs(2.0),
        ask_list_within: None,
    }
}

pub struct Desk {
    director: Director,
    out: Printer,
    pub trace: String,
}

impl Desk {
    /// Nodes 1 to `nodes`, in cells from 0, ready; `setup` changes the headend first. Session 900 is handed
    /// over, so that the list vouches for the nodes.
    pub fn open(nodes: u64, setup: impl FnOnce(&mut Headend)) -> Desk {
        let mut desk = Desk::bare(setup);
        desk.at(0.0, |r| {
            r.list_whole();
            (1..=nodes).for_each(|n| r.node_ready(Node(n), place(n, None)));
            r.list_done();
            r.under_way(Sess(900), want(1, 0, 0), Node(1));
        });
        desk
    }

    /// A director that nothing was told or handed to yet.
    pub fn bare(setup: impl FnOnce(&mut Headend)) -> Desk {
        let mut head = headend();
        setup(&mut head);
        let director = Director::start(&head, Instant::from_ms(0.0));
        Desk { director, out: Printer::default(), trace: String::new() }
    }

    pub fn shows(&self, trace: Expect) {
        trace.assert_eq(&self.trace);
    }

    /// One round at so many seconds, a line of the trace if anything was decided.
    pub fn at(&mut self, secs: f64, news: impl FnOnce(&mut Round)) {
        self.director.round(Instant::from_ms(secs * 1e3), news, &mut self.out);
        if !self.out.0.is_empty() {
            self.trace += &format!("{secs:.2} s: {}\n", self.out.0.join(", "));
            self.out.0.clear();
        }
    }

    /// The SETUP that is out for the session ends.
    pub fn ended(&mut self, secs: f64, sess: u64, how: Ending) {
        let node = self.out.1[&sess];
        self.at(secs, |r| r.ended(Sess(sess), SetupNo(0), node, how, false));
    }

    pub fn starts(&mut self, secs: f64, sess: u64) {
        let node = self.out.1[&sess];
        self.at(secs, |r| r.started(Sess(sess), SetupNo(0), node));
    }
}

pub fn place(n: u64, started: Option<Instant>) -> Place {
    Place { zone: Zone(n as u8 % 2), model: Model(0), cell: Cell(n as u16 - 1), weight: 1.0, started }
}

/// A viewer of `title`, on all cells, who can use every rung up to `top`.
pub fn want(title: u64, group: usize, top: u8) -> Viewing {
    Viewing {
        group: Group(group),
        title: Title(title),
        top: Rung(top),
        home: Cell(0),
        copies: 6,
        patience: Span::from_secs(3.0),
    }
}
