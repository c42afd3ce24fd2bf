//! A director at a small headend, with its decisions printed one a line.

use std::collections::BTreeMap;

use ashglade::ids::*;
use ashglade::interface::*;
use ashglade::policy::{Director, Round};
use ashglade::time::{Instant, Span};
use expect_test::Expect;

/// The trace so far, and where each session was last set up.
#[derive(Default)]
pub struct Printer(Vec<String>, BTreeMap<u64, NodeId>);

impl Printer {
    fn line(&mut self, text: String) {
        self.0.push(text);
    }
}

impl DecisionSink for Printer {
    fn send_setup(&mut self, sess: SessionId, node: NodeId, until: Instant) {
        self.1.insert(sess.0, node);
        self.line(format!("setup {} at {} until {}", sess.0, node.0, until.as_ms()));
    }
    fn set_rung(&mut self, sess: SessionId, rung: Rung) {
        self.line(format!("rung {} of {}", rung.0, sess.0));
    }
    fn reply_busy(&mut self, sess: SessionId, retry_after: Option<Span>) {
        self.line(format!("busy {} {:?}", sess.0, retry_after.map(Span::as_ms)));
    }
    fn tear_down(&mut self, sess: SessionId) {
        self.line(format!("tear down {}", sess.0));
    }
    fn cancel_setup(&mut self, sess: SessionId, setup: SetupNumber) {
        self.line(format!("cancel {} of {}", setup.0, sess.0));
    }
    fn probe_node(&mut self, node: NodeId) {
        self.line(format!("probe {}", node.0));
    }
    fn set_timer(&mut self, _: TimerId, _: Span) {}
    fn watch_node_list(&mut self, on: bool) {
        self.line(format!("follow list {on}"));
    }
}

/// Two service groups, four rungs, one kind of node with room for ten sessions at rung 1.
pub fn headend() -> DirectorConfig {
    let group = |utility, secs| ServiceGroup {
        start_target: Span::from_secs(secs),
        utility,
        retry_safety: RetrySafety::Safe,
        retry_scope: RetryScope::Anywhere,
        retry_window: Span::from_secs(1.0),
        live: false,
        rate_scale: 1.0,
        floor_rung: Rung(0),
        top_rung: Rung(3),
        seats: 0,
    };
    DirectorConfig {
        seed: 7,
        zone: ZoneId(0),
        director_index: 0,
        director_count: 1,
        groups: vec![group(1.0, 1.0), group(2.0, 1.0)],
        ladder: vec![(100.0, 0.3), (200.0, 0.5), (400.0, 0.8), (800.0, 1.0)],
        max_streams: vec![20.0],
        cell_count: 6,
        rack_count: 2,
        link_kb_per_s_per_weight: 2000.0,
        uplink_kb_per_s: 0.0,
        live_join_fraction: 1.0,
        worst_group_weight: 0.0,
        full_link_demand: 0.0,
        report_delay: Span::from_secs(1.0),
        load_metrics: vec![LoadMetric::Link, LoadMetric::Uplink],
        probe_only: false,
        may_probe: false,
        probe_cost: 0.0,
        may_cancel: true,
        max_retry_after: Some(Span::from_secs(2.0)),
        max_setups_per_session: 3,
        retry_budget: None,
        slow_start_initial_fraction: 0.4,
        slow_start_duration: Span::from_secs(10.0),
        overload_multiple: 2.0,
        overload_window: Span::from_secs(2.0),
        node_list_max_age: None,
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
    pub fn open(nodes: u64, setup: impl FnOnce(&mut DirectorConfig)) -> Desk {
        let mut desk = Desk::bare(setup);
        desk.at(0.0, |r| {
            r.begin_list_snapshot();
            (1..=nodes).for_each(|n| r.node_ready(NodeId(n), place(n, None)));
            r.finish_list();
            r.session_handed_over(SessionId(900), want(1, 0, 0), NodeId(1));
        });
        desk
    }

    /// A director that nothing was told or handed to yet.
    pub fn bare(setup: impl FnOnce(&mut DirectorConfig)) -> Desk {
        let mut head = headend();
        setup(&mut head);
        let director = Director::new(&head, Instant::from_ms(0.0));
        Desk { director, out: Printer::default(), trace: String::new() }
    }

    pub fn shows(&self, trace: Expect) {
        trace.assert_eq(&self.trace);
    }

    /// One round at so many seconds, a line of the trace if anything was decided.
    pub fn at(&mut self, secs: f64, news: impl FnOnce(&mut Round)) {
        self.director.run_round(Instant::from_ms(secs * 1e3), news, &mut self.out);
        if !self.out.0.is_empty() {
            self.trace += &format!("{secs:.2} s: {}\n", self.out.0.join(", "));
            self.out.0.clear();
        }
    }

    /// The SETUP that is out for the session ends.
    pub fn ended(&mut self, secs: f64, sess: u64, how: AttemptOutcome) {
        let node = self.out.1[&sess];
        self.at(secs, |r| r.attempt_ended(SessionId(sess), SetupNumber(0), node, how, false));
    }

    pub fn starts(&mut self, secs: f64, sess: u64) {
        let node = self.out.1[&sess];
        self.at(secs, |r| r.session_started(SessionId(sess), SetupNumber(0), node));
    }
}

pub fn place(n: u64, started: Option<Instant>) -> NodeInfo {
    NodeInfo {
        zone: ZoneId(n as u8 % 2),
        model: ModelId(0),
        cell: CellId(n as u16 - 1),
        weight: 1.0,
        started,
    }
}

/// A viewer of `title`, on all cells, who can use every rung up to `top`.
pub fn want(title: u64, group: usize, top: u8) -> SessionRequest {
    SessionRequest {
        group: GroupId(group),
        title: TitleId(title),
        top_rung: Rung(top),
        first_cell: CellId(0),
        cell_count: 6,
        setup_timeout: Span::from_secs(3.0),
    }
}
