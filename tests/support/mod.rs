//! A director with a small configuration whose decisions are recorded as a trace, one line for each round.

use std::collections::BTreeMap;

use ashglade::ids::*;
use ashglade::interface::*;
use ashglade::policy::{Director, Round};
use ashglade::time::{Instant, Span};
use expect_test::Expect;

/// Collects the decisions of a round as text, and the node of the last SETUP of each session.
#[derive(Default)]
pub struct TraceSink(Vec<String>, BTreeMap<u64, NodeId>);

impl TraceSink {
    fn push(&mut self, text: String) {
        self.0.push(text);
    }
}

impl DecisionSink for TraceSink {
    fn send_setup(&mut self, session: SessionId, node: NodeId, deadline: Instant) {
        self.1.insert(session.0, node);
        self.push(format!("setup {} at {} until {}", session.0, node.0, deadline.as_ms()));
    }
    fn set_rung(&mut self, session: SessionId, rung: Rung) {
        self.push(format!("rung {} of {}", rung.0, session.0));
    }
    fn reply_busy(&mut self, session: SessionId, retry_after: Option<Span>) {
        self.push(format!("busy {} {:?}", session.0, retry_after.map(Span::as_ms)));
    }
    fn tear_down(&mut self, session: SessionId) {
        self.push(format!("tear down {}", session.0));
    }
    fn cancel_setup(&mut self, session: SessionId, setup: SetupNumber) {
        self.push(format!("cancel {} of {}", setup.0, session.0));
    }
    fn probe_node(&mut self, node: NodeId) {
        self.push(format!("probe {}", node.0));
    }
    fn set_timer(&mut self, _: TimerId, _: Span) {}
    fn watch_node_list(&mut self, enabled: bool) {
        self.push(format!("watch node list {enabled}"));
    }
}

/// Returns a configuration with two service groups, four rungs, and one hardware model whose link carries ten
/// sessions at rung 1.
pub fn config() -> DirectorConfig {
    let group = |utility, start_target_seconds| ServiceGroup {
        start_target: Span::from_secs(start_target_seconds),
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

/// A director and the trace of its decisions.
pub struct TestDirector {
    director: Director,
    sink: TraceSink,
    pub trace: String,
}

impl TestDirector {
    /// Creates a director with the ready nodes 1 to `nodes` in the cells from 0, after `configure` has
    /// changed the configuration. Session 900 is handed over, so that the nodes don't count as just started.
    pub fn with_nodes(nodes: u64, configure: impl FnOnce(&mut DirectorConfig)) -> TestDirector {
        let mut director = TestDirector::without_nodes(configure);
        director.round_at(0.0, |r| {
            r.begin_list_snapshot();
            (1..=nodes).for_each(|n| r.node_ready(NodeId(n), node_info(n, None)));
            r.finish_list();
            r.session_handed_over(SessionId(900), request(1, 0, 0), NodeId(1));
        });
        director
    }

    /// Creates a director that has received no events.
    pub fn without_nodes(configure: impl FnOnce(&mut DirectorConfig)) -> TestDirector {
        let mut config = config();
        configure(&mut config);
        let director = Director::new(&config, Instant::from_ms(0.0));
        TestDirector { director, sink: TraceSink::default(), trace: String::new() }
    }

    pub fn assert_trace(&self, expected: Expect) {
        expected.assert_eq(&self.trace);
    }

    /// Runs a round at `secs` seconds and adds a line to the trace if any decision was made.
    pub fn round_at(&mut self, secs: f64, report_events: impl FnOnce(&mut Round)) {
        self.director.run_round(Instant::from_ms(secs * 1e3), report_events, &mut self.sink);
        if !self.sink.0.is_empty() {
            self.trace += &format!("{secs:.2} s: {}\n", self.sink.0.join(", "));
            self.sink.0.clear();
        }
    }

    /// Reports the outcome of the SETUP that is in flight for the session.
    pub fn end_attempt(&mut self, secs: f64, session: u64, outcome: AttemptOutcome) {
        let node = self.sink.1[&session];
        self.round_at(secs, |r| r.attempt_ended(SessionId(session), SetupNumber(0), node, outcome, false));
    }

    /// Reports that the SETUP in flight for the session has succeeded.
    pub fn start_session(&mut self, secs: f64, session: u64) {
        let node = self.sink.1[&session];
        self.round_at(secs, |r| r.session_started(SessionId(session), SetupNumber(0), node));
    }
}

/// Returns the attributes of node `n`: odd nodes are in zone 1, even ones in zone 0, each in a cell of its
/// own.
pub fn node_info(n: u64, started: Option<Instant>) -> NodeInfo {
    NodeInfo {
        zone: ZoneId(n as u8 % 2),
        model: ModelId(0),
        cell: CellId(n as u16 - 1),
        weight: 1.0,
        started,
    }
}

/// Returns a request for `title`, which all cells hold, by a viewer who can play every rung up to `top`.
pub fn request(title: u64, group: usize, top: u8) -> SessionRequest {
    SessionRequest {
        group: GroupId(group),
        title: TitleId(title),
        top_rung: Rung(top),
        first_cell: CellId(0),
        cell_count: 6,
        setup_timeout: Span::from_secs(3.0),
    }
}
