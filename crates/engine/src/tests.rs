//! Traces of inputs and effects, and a seeded simulation that tries to break the engine's guarantees.

use std::collections::BTreeMap;

use ashglade::ids::*;
use ashglade::interface::*;
use ashglade::time::{Instant, Span};
use ashglade_discovery::{NodeEntry, NodeList, NodeState, node_id};
use expect_test::{Expect, expect};

use super::*;

fn config(retry_safety: RetrySafety) -> EngineConfig {
    let group = ServiceGroup {
        start_target: Span::from_secs(1.0),
        utility: 1.0,
        retry_safety,
        retry_scope: RetryScope::Anywhere,
        retry_window: Span::from_secs(5.0),
        live: false,
        rate_scale: 1.0,
        floor_rung: Rung(0),
        top_rung: Rung(1),
        seats: 0,
    };
    let director = DirectorConfig {
        seed: 3,
        zone: ZoneId(0),
        director_index: 0,
        director_count: 1,
        groups: vec![group],
        ladder: vec![(100.0, 0.4), (200.0, 1.0)],
        max_streams: vec![100.0],
        cell_count: 4,
        rack_count: 1,
        link_kb_per_s_per_weight: 2000.0,
        uplink_kb_per_s: 0.0,
        live_join_fraction: 1.0,
        worst_group_weight: 0.0,
        full_link_demand: 0.0,
        report_delay: Span::from_secs(1.0),
        load_metrics: vec![LoadMetric::Link],
        probe_only: false,
        may_probe: false,
        probe_cost: 0.0,
        may_cancel: true,
        max_retry_after: Some(Span::from_secs(2.0)),
        max_setups_per_session: 3,
        retry_budget: None,
        slow_start_initial_fraction: 1.0,
        slow_start_duration: Span::from_secs(1.0),
        overload_multiple: 9.0,
        overload_window: Span::from_secs(1.0),
        node_list_max_age: None,
    };
    let span = Span::from_ms;
    EngineConfig {
        director,
        answer_margin: span(200.0),
        probe_timeout: span(250.0),
        max_sessions: 40,
        admission: None,
    }
}

fn address(n: u16) -> std::net::SocketAddr {
    ([127, 0, 0, 1], n).into()
}

fn snapshot(generation: u64, states: &[NodeState]) -> Input {
    let info =
        |n| NodeInfo { zone: ZoneId(0), model: ModelId(0), cell: CellId(n), weight: 1.0, started: None };
    let entry = |(n, &state): (usize, &NodeState)| {
        let n = n as u16 + 1;
        NodeEntry {
            name: format!("n{n}"),
            address: address(n),
            http_address: None,
            id: None,
            info: info(n - 1),
            state,
        }
    };
    Input::DiscoverySnapshot(NodeList { generation, entries: states.iter().enumerate().map(entry).collect() })
}

fn viewer_request() -> ViewerRequest {
    let setup_timeout = Span::from_secs(3.0);
    ViewerRequest {
        group: GroupId(0),
        title: TitleId(1),
        top_rung: Rung(1),
        first_cell: CellId(0),
        cell_count: 4,
        setup_timeout,
        tenant: 0,
        client: 1,
    }
}

fn format_effect(effect: &Effect, names: &BTreeMap<NodeId, String>) -> String {
    match effect {
        Effect::SendSetup { session, setup, node, rung, deadline } => {
            format!(
                "setup {}.{} at {} rung {} deadline {}",
                session.0,
                setup.0,
                names[node],
                rung.0,
                deadline.as_ms()
            )
        }
        Effect::CancelSetup { session, setup, if_unsent } => {
            format!("cancel {}.{}{}", session.0, setup.0, if *if_unsent { " if unsent" } else { "" })
        }
        Effect::Respond { session, response: SessionResponse::Plays { rung } } => {
            format!("{} plays at rung {}", session.0, rung.0)
        }
        Effect::Respond { session, response: SessionResponse::Busy { retry_after, .. } } => {
            format!("{} busy, retry after {:?}", session.0, retry_after.map(Span::as_ms))
        }
        Effect::Respond { session, response: SessionResponse::TornDown } => {
            format!("{} torn down", session.0)
        }
        Effect::ChangeRung { session, rung } => format!("{} to rung {}", session.0, rung.0),
        Effect::ReleaseSession { session } => format!("release {}", session.0),
        Effect::ReconnectViewer { session } => format!("reconnect {}", session.0),
        Effect::SendProbe { node, .. } => format!("probe {}", names[node]),
        Effect::DiscoveryResult { generation, rejection } => {
            format!("snapshot {generation} {rejection:?}")
        }
        Effect::Drained => "drained".to_string(),
    }
}

/// An engine with the ready nodes n1 to n3, none of them in slow start, and the trace of its effects.
struct Harness {
    engine: Engine,
    names: BTreeMap<NodeId, String>,
    trace: String,
}

impl Harness {
    fn new(retry_safety: RetrySafety) -> Harness {
        let engine = Engine::new(config(retry_safety), Instant::from_ms(0.0));
        let names = (1..=3).map(|n| (node_id(&address(n)), format!("n{n}"))).collect();
        let mut harness = Harness { engine, names, trace: String::new() };
        harness.round(0.0, vec![snapshot(1, &[NodeState::Ready; 3])]);
        harness.trace.clear();
        harness
    }

    fn round(&mut self, ms: f64, inputs: Vec<Input>) {
        let effects = self.engine.round(Instant::from_ms(ms), inputs);
        let texts: Vec<String> = effects.iter().map(|e| format_effect(e, &self.names)).collect();
        if !texts.is_empty() {
            self.trace += &format!("{ms} ms: {}\n", texts.join(", "));
        }
    }

    /// Runs each round that is due until `ms`.
    fn run_until(&mut self, ms: f64) {
        while let Some(due) = self.engine.next_deadline().filter(|due| due.as_ms() <= ms) {
            self.round(due.as_ms(), vec![]);
        }
    }

    fn request(&mut self, ms: f64, session: u64) {
        self.round(
            ms,
            vec![Input::SessionRequested { session: SessionId(session), request: viewer_request() }],
        );
    }

    fn assert_trace(&self, trace: Expect) {
        trace.assert_eq(&self.trace);
    }
}

const SESSION: SessionId = SessionId(1);

fn written(setup: u16) -> Input {
    Input::SetupWritten { session: SESSION, setup: SetupNumber(setup) }
}

fn accepted(setup: u16) -> Input {
    Input::SetupAccepted { session: SESSION, setup: SetupNumber(setup), load: None }
}

fn failed(setup: u16, outcome: AttemptOutcome) -> Input {
    Input::SetupFailed { session: SESSION, setup: SetupNumber(setup), outcome, load: None }
}

#[test]
fn a_node_without_the_title_is_skipped_by_fragile_groups_too_and_tried_again_after_a_restart() {
    let mut harness = Harness::new(RetrySafety::Fragile);
    harness.request(1000.0, 1);
    // Although the SETUP was written, a 404 proves that nothing ran, so the next node is tried.
    let first = harness.engine.round(Instant::from_ms(1001.0), vec![written(0)]);
    assert!(first.is_empty());
    harness.round(1002.0, vec![Input::TitleMissing { session: SESSION, setup: SetupNumber(0), load: None }]);
    harness.round(1003.0, vec![written(1), accepted(1)]);
    // Later requests skip that node at once, without sending it a SETUP.
    for session in 2..6 {
        let ms = 1100.0 + session as f64;
        harness.request(ms, session);
        harness.run_until(ms);
    }
    let (missing, spared) = (harness.engine.tally().missing, harness.engine.tally().spared);
    harness.trace += &format!("{missing} answered as missing, {spared} skipped\n");
    // The node has restarted, as the snapshot shows, and may hold the title now.
    let mut restarted = snapshot(2, &[NodeState::Ready; 3]);
    if let Input::DiscoverySnapshot(list) = &mut restarted {
        list.entries.iter_mut().for_each(|entry| entry.info.started = Some(Instant::from_ms(1200.0)));
    }
    harness.round(1200.0, vec![restarted]);
    for session in 6..9 {
        harness.request(6000.0 + session as f64, session);
        harness.run_until(6000.0 + session as f64);
    }
    harness.trace += &format!("{} skipped in total\n", harness.engine.tally().spared);
    harness.assert_trace(expect![[r#"
        1000 ms: setup 1.0 at n1 rung 1 deadline 3800
        1002 ms: setup 1.1 at n3 rung 1 deadline 3800
        1003 ms: 1 plays at rung 1
        1102 ms: setup 2.0 at n2 rung 1 deadline 3902
        1103 ms: setup 3.1 at n2 rung 1 deadline 3903
        1104 ms: setup 4.1 at n3 rung 1 deadline 3904
        1105 ms: setup 5.1 at n2 rung 1 deadline 3905
        1 answered as missing, 3 skipped
        1200 ms: snapshot 2 None
        6006 ms: cancel 2.0, cancel 3.1, cancel 4.1, cancel 5.1, 2 torn down, 3 torn down, 4 torn down, 5 torn down, setup 6.0 at n1 rung 1 deadline 8806
        6007 ms: setup 7.0 at n1 rung 1 deadline 8807
        6008 ms: setup 8.0 at n3 rung 1 deadline 8808
        3 skipped in total
    "#]]);
}

#[test]
fn a_session_accepted_after_its_setup_was_cancelled_is_released_at_the_node() {
    let mut harness = Harness::new(RetrySafety::Safe);
    harness.request(1000.0, 1);
    harness.round(1001.0, vec![written(0)]);
    harness.run_until(1500.0);
    harness.round(1501.0, vec![accepted(0)]);
    harness.round(1510.0, vec![written(1), accepted(1)]);
    harness.round(1511.0, vec![accepted(0)]);
    harness.assert_trace(expect![[r#"
        1000 ms: setup 1.0 at n1 rung 1 deadline 1500
        1500 ms: cancel 1.0
        1501 ms: release 1, setup 1.1 at n3 rung 1 deadline 1751
        1510 ms: 1 plays at rung 1
        1511 ms: release 1
    "#]]);
}

#[test]
fn a_viewer_that_leaves_gets_no_response_and_its_setup_or_session_ends() {
    let mut harness = Harness::new(RetrySafety::Safe);
    harness.request(1000.0, 1);
    harness.round(1100.0, vec![written(0), Input::ViewerLeft { session: SESSION }]);
    harness.round(1110.0, vec![failed(0, AttemptOutcome::Cancelled)]);
    harness.request(2000.0, 1);
    harness.round(2100.0, vec![written(0), Input::ViewerLeft { session: SESSION }, accepted(0)]);
    harness.trace += &format!("sessions {}\n", harness.engine.session_count());
    harness.assert_trace(expect![[r#"
        1000 ms: setup 1.0 at n1 rung 1 deadline 1500
        1100 ms: cancel 1.0
        2000 ms: setup 1.0 at n2 rung 1 deadline 2500
        2100 ms: release 1
        sessions 0
    "#]]);
}

#[test]
fn an_unsent_setup_to_a_draining_node_is_cancelled_and_sent_elsewhere() {
    let mut harness = Harness::new(RetrySafety::Fragile);
    harness.request(1000.0, 1);
    let states: Vec<NodeState> =
        (1..=3)
            .map(|n| {
                if harness.trace.contains(&format!("at n{n}")) {
                    NodeState::Draining
                } else {
                    NodeState::Ready
                }
            })
            .collect();
    harness.round(1050.0, vec![snapshot(2, &states)]);
    harness.round(1051.0, vec![failed(0, AttemptOutcome::Unsent)]);
    // A SETUP that was written continues although the node drains.
    harness.round(1060.0, vec![written(1), snapshot(3, &[NodeState::Draining; 3])]);
    harness.round(1070.0, vec![accepted(1)]);
    harness.assert_trace(expect![[r#"
        1000 ms: setup 1.0 at n1 rung 1 deadline 3800
        1050 ms: cancel 1.0 if unsent, snapshot 2 None
        1051 ms: setup 1.1 at n3 rung 1 deadline 3800
        1060 ms: snapshot 3 None
        1070 ms: 1 plays at rung 1
    "#]]);
}

#[test]
fn an_unsent_report_does_not_count_once_a_byte_was_written() {
    let mut harness = Harness::new(RetrySafety::Fragile);
    harness.request(1000.0, 1);
    harness.round(1001.0, vec![written(0)]);
    harness.round(1002.0, vec![failed(0, AttemptOutcome::Unsent)]);
    harness.assert_trace(expect![[r#"
        1000 ms: setup 1.0 at n1 rung 1 deadline 3800
        1002 ms: 1 torn down
    "#]]);
}

#[test]
fn an_outcome_that_is_never_reported_does_not_delay_the_response() {
    let mut harness = Harness::new(RetrySafety::Fragile);
    harness.request(1000.0, 1);
    harness.round(1001.0, vec![written(0)]);
    harness.run_until(4000.0);
    harness.trace += &format!(
        "unreported {}, sent at the response deadline {}\n",
        harness.engine.tally().untold,
        harness.engine.tally().guarded
    );
    harness.assert_trace(expect![[r#"
        1000 ms: setup 1.0 at n1 rung 1 deadline 3800
        3800 ms: cancel 1.0
        3850 ms: 1 torn down
        unreported 1, sent at the response deadline 0
    "#]]);
}

#[test]
fn after_a_pause_inputs_that_arrived_meanwhile_count_before_timeouts() {
    let mut harness = Harness::new(RetrySafety::Safe);
    harness.request(1000.0, 1);
    harness.round(1001.0, vec![written(0)]);
    // The director is paused until 2.2 s, past the deadline. The response to session 1 arrived meanwhile;
    // that to session 2 never arrives.
    harness.round(
        2200.0,
        vec![accepted(0), Input::SessionRequested { session: SessionId(2), request: viewer_request() }],
    );
    harness.round(6000.0, vec![]);
    harness.assert_trace(expect![[r#"
        1000 ms: setup 1.0 at n1 rung 1 deadline 1500
        2200 ms: 1 plays at rung 1, setup 2.0 at n2 rung 1 deadline 2700
        6000 ms: cancel 2.0, 2 torn down
    "#]]);
}

#[test]
fn a_draining_director_refuses_requests_and_reports_its_last_end() {
    let mut harness = Harness::new(RetrySafety::Safe);
    harness.request(1000.0, 1);
    harness.round(1010.0, vec![written(0), accepted(0)]);
    harness.round(1500.0, vec![Input::Drain]);
    harness.request(1600.0, 2);
    harness.round(1700.0, vec![Input::SessionEnded { session: SESSION, outcome: AttemptOutcome::Lost }]);
    harness.assert_trace(expect![[r#"
        1000 ms: setup 1.0 at n1 rung 1 deadline 1500
        1010 ms: 1 plays at rung 1
        1600 ms: 2 busy, retry after Some(2000.0)
        1700 ms: drained
    "#]]);
}

#[test]
fn the_number_of_sessions_is_bounded() {
    let mut harness = Harness::new(RetrySafety::Safe);
    harness.round(
        1000.0,
        (1..=60)
            .map(|n| Input::SessionRequested { session: SessionId(n), request: viewer_request() })
            .collect(),
    );
    let tally = harness.engine.tally();
    assert_eq!((harness.engine.session_count() <= 40, tally.over_bound >= 20, tally.asked), (true, true, 60));
}

/// A simulated I/O layer that behaves as badly as is allowed: outcomes come late, twice or never, nodes
/// accept SETUPs that were cancelled, viewers leave at any time, node lists drain nodes and bring them back,
/// and rounds pause.
struct Simulation {
    random: oorandom::Rand64,
    /// By session: number of responses, whether the viewer has left, time of the request in ms.
    requests: BTreeMap<SessionId, (usize, bool, f64)>,
    /// Pending SETUPs, and whether they were written.
    pending: BTreeMap<SessionId, (SetupNumber, bool)>,
    playing: Vec<SessionId>,
    /// The longest time that a response took, in ms.
    slowest_ms: f64,
}

/// Adds an admission queue with a limit so low that most requests wait.
fn with_admission(config: EngineConfig) -> EngineConfig {
    let admission = AdmissionConfig {
        seed: 2,
        groups: vec![(1.0, 1.0)],
        tenant_weights: vec![1.0],
        min_start_target: Span::from_secs(1.0),
        max_retry_after: config.director.max_retry_after,
        max_waiting: 12,
        concurrency_limits: (2.0, 1.0, 4.0),
    };
    EngineConfig { admission: Some(admission), ..config }
}

fn simulate(seed: u64, retry_safety: RetrySafety, rounds: usize) -> (Vec<record::RecordedRound>, Simulation) {
    let config = if seed % 2 == 1 { with_admission(config(retry_safety)) } else { config(retry_safety) };
    let mut engine = Engine::new(config, Instant::from_ms(0.0));
    let random = oorandom::Rand64::new(seed.into());
    let mut simulation = Simulation {
        random,
        requests: BTreeMap::new(),
        pending: BTreeMap::new(),
        playing: vec![],
        slowest_ms: 0.0,
    };
    let mut recorded_rounds = Vec::new();
    let (mut now, mut generation, mut next_session) = (0.0, 1, 1);
    let mut inputs = vec![snapshot(1, &[NodeState::Ready; 3])];
    for index in 0..rounds {
        let effects = engine.round(Instant::from_ms(now), inputs.clone());
        for effect in &effects {
            match effect {
                Effect::SendSetup { session, setup, .. } => {
                    let before = simulation.pending.insert(*session, (*setup, false));
                    assert!(before.is_none(), "seed {seed}: two SETUPs pending for {session:?}");
                    assert!(!simulation.requests[session].1, "seed {seed}: set up after the viewer left");
                }
                Effect::Respond { session, .. } => {
                    let entry = simulation.requests.get_mut(session).expect("a response to a known request");
                    entry.0 += 1;
                    simulation.slowest_ms = simulation.slowest_ms.max(now - entry.2);
                }
                _ => {}
            }
        }
        let round =
            record::RecordedRound { at: Instant::from_ms(now), inputs: std::mem::take(&mut inputs), effects };
        // The outcome of a cancelled SETUP is reported now or never. The engine must not send another one
        // before it counts this one as ended, by when the I/O layer has closed its connection.
        for effect in &round.effects {
            if let Effect::CancelSetup { session, setup, if_unsent } = effect
                && let Some((number, written)) = simulation.pending.get(session).copied()
                && number == *setup
                && !(*if_unsent && written)
            {
                simulation.pending.remove(session);
                let outcome = if written { AttemptOutcome::Cancelled } else { AttemptOutcome::Unsent };
                match simulation.random.rand_range(0..4) {
                    0 => {}
                    1 if written => {
                        inputs.push(Input::SetupAccepted { session: *session, setup: *setup, load: None })
                    }
                    _ => inputs.push(Input::SetupFailed {
                        session: *session,
                        setup: *setup,
                        outcome,
                        load: None,
                    }),
                }
            }
            if let Effect::Respond { session, response: SessionResponse::Plays { .. } } = effect {
                simulation.playing.push(*session);
            }
        }
        recorded_rounds.push(round);
        now += [1.0, 5.0, 20.0, 60.0][simulation.random.rand_range(0..4) as usize];
        if let Some(due) = engine.next_deadline().map(Instant::as_ms).filter(|&due| due < now) {
            now = due;
        }
        // The last rounds bring no new requests, so that all responses have to arrive.
        let stopping = index + 400 > rounds;
        simulation.generate_inputs(&mut inputs, &mut next_session, &mut generation, now, stopping);
    }
    assert_eq!((engine.tally().doubled, engine.tally().guarded), (0, 0), "seed {seed}");
    (recorded_rounds, simulation)
}

impl Simulation {
    fn generate_inputs(
        &mut self,
        inputs: &mut Vec<Input>,
        next_session: &mut u64,
        generation: &mut u64,
        now: f64,
        stopping: bool,
    ) {
        let chance = |random: &mut oorandom::Rand64, part: f64| random.rand_float() < part;
        if !stopping && chance(&mut self.random, 0.3) && self.requests.len() < 60 {
            let session = SessionId(*next_session);
            *next_session += 1;
            self.requests.insert(session, (0, false, now));
            inputs.push(Input::SessionRequested { session, request: viewer_request() });
        }
        let pending: Vec<(SessionId, SetupNumber, bool)> =
            self.pending.iter().map(|(&s, &(n, w))| (s, n, w)).collect();
        for (session, setup, written) in pending {
            if !written && chance(&mut self.random, 0.5) {
                self.pending.insert(session, (setup, true));
                inputs.push(Input::SetupWritten { session, setup });
            } else if written && chance(&mut self.random, 0.15) {
                self.pending.remove(&session);
                let outcomes = [AttemptOutcome::Full, AttemptOutcome::Fault, AttemptOutcome::Lost];
                match self.random.rand_range(0..5) as usize {
                    n @ 0..3 => {
                        inputs.push(Input::SetupFailed { session, setup, outcome: outcomes[n], load: None })
                    }
                    _ => inputs.push(Input::SetupAccepted { session, setup, load: None }),
                }
            } else if !written && chance(&mut self.random, 0.1) {
                self.pending.remove(&session);
                inputs.push(Input::SetupFailed {
                    session,
                    setup,
                    outcome: AttemptOutcome::Unreachable,
                    load: None,
                });
            }
        }
        if !stopping && chance(&mut self.random, 0.05) {
            let present: Vec<SessionId> =
                self.requests.iter().filter(|(_, a)| !a.1).map(|(&s, _)| s).collect();
            if let Some(&session) =
                present.get(self.random.rand_range(0..present.len().max(1) as u64) as usize)
            {
                if let Some(entry) = self.requests.get_mut(&session) {
                    entry.1 = true;
                }
                inputs.push(Input::ViewerLeft { session });
                // The I/O layer aborts the pending SETUP and reports its outcome at once.
                if let Some((setup, written)) = self.pending.remove(&session) {
                    let outcome = if written { AttemptOutcome::Cancelled } else { AttemptOutcome::Unsent };
                    inputs.push(Input::SetupFailed { session, setup, outcome, load: None });
                }
            }
        }
        if chance(&mut self.random, 0.02) {
            *generation += 1;
            let mut state = || {
                [NodeState::Ready, NodeState::Ready, NodeState::Draining, NodeState::Gone]
                    [self.random.rand_range(0..4) as usize]
            };
            inputs.push(snapshot(*generation, &[state(), state(), state()]));
        }
        if let Some(&session) = self.playing.last()
            && chance(&mut self.random, 0.05)
        {
            self.playing.pop();
            inputs.push(Input::SessionEnded { session, outcome: AttemptOutcome::Lost });
        }
        if let Some(&session) = self.playing.first() {
            inputs.push(Input::SessionDelivery { session, share: self.random.rand_float() });
        }
    }
}

#[test]
fn each_request_has_one_response_in_time_whatever_the_io_layer_does() {
    for seed in 0..300 {
        let retry_safety = [RetrySafety::Safe, RetrySafety::Dedup, RetrySafety::Fragile][seed as usize % 3];
        let (_, simulation) = simulate(seed, retry_safety, 900);
        for (session, (responses, left, _)) in &simulation.requests {
            let valid = *responses == 1 || (*left && *responses == 0);
            assert!(valid, "seed {seed}: {session:?} had {responses} responses, left: {left}");
        }
        // The setup timeout is 3 s. Rounds are up to 60 ms apart.
        assert!(simulation.slowest_ms < 3000.0, "seed {seed}: a response took {} ms", simulation.slowest_ms);
    }
}

#[test]
fn a_record_replays_to_the_same_effects_and_a_changed_one_does_not() {
    let (recorded_rounds, _) = simulate(8, RetrySafety::Safe, 600);
    let header = record::RecordHeader { started: Instant::from_ms(0.0) };
    let mut text = serde_json::to_string(&header).unwrap() + "\n";
    for round in &recorded_rounds {
        text += &(serde_json::to_string(round).unwrap() + "\n");
    }
    let (rounds, _) = record::replay(config(RetrySafety::Safe), &text).unwrap();
    assert_eq!(rounds, 600);
    // A last line that was cut off by a kill is ignored.
    let (rounds, _) = record::replay(config(RetrySafety::Safe), &text[..text.len() - 10]).unwrap();
    assert_eq!(rounds, 599);
    let mismatch = record::replay(config(RetrySafety::Fragile), &text).unwrap_err().to_string();
    assert!(mismatch.starts_with("line "), "{mismatch}");
    let malformed = text.replacen("{\"at\"", "{\"ta\"", 1);
    let error = record::replay(config(RetrySafety::Safe), &malformed).unwrap_err().to_string();
    expect!["line 2: missing field `at` at line 1 column 473"].assert_eq(&error);
}

#[test]
fn requests_over_the_admission_limit_wait_and_are_answered_in_time() {
    let engine = Engine::new(with_admission(config(RetrySafety::Safe)), Instant::from_ms(0.0));
    let names = (1..=3).map(|n| (node_id(&address(n)), format!("n{n}"))).collect();
    let mut harness = Harness { engine, names, trace: String::new() };
    harness.round(0.0, vec![snapshot(1, &[NodeState::Ready; 3])]);
    harness.trace.clear();
    let request = |n: u64| Input::SessionRequested {
        session: SessionId(n),
        request: ViewerRequest { client: n, ..viewer_request() },
    };
    // At first the limit admits one request at a time.
    harness.round(1000.0, (1..=4).map(request).collect());
    harness.round(1010.0, vec![written(0), accepted(0)]);
    harness.run_until(1020.0);
    // A viewer leaves the queue; the policy never learns of its session.
    harness.round(1030.0, vec![Input::ViewerLeft { session: SessionId(3) }]);
    // The SETUP of session 2 gets no response. Session 4 waits half its start target and then gets a busy
    // reply.
    harness.run_until(1600.0);
    harness.trace += &format!("sessions {}\n", harness.engine.session_count());
    harness.assert_trace(expect![[r#"
        1000 ms: setup 1.0 at n1 rung 1 deadline 1500
        1010 ms: 1 plays at rung 1
        1010 ms: setup 2.0 at n2 rung 1 deadline 1510
        1500 ms: 4 busy, retry after Some(528.785)
        1510 ms: cancel 2.0
        1560 ms: setup 2.1 at n3 rung 1 deadline 1810
        sessions 2
    "#]]);
}

/// Guards against the use of an expired lease by a director that resumes after a pause, even in the first
/// round and for requests that waited for it.
#[test]
fn a_lease_that_expired_during_a_pause_is_not_used() {
    let traces = [2000.0, 9000.0].map(|resumes_ms| {
        let mut harness = Harness::new(RetrySafety::Safe);
        let lease_expiry = Some(LeaseExpiry { at: Instant::from_ms(5000.0), retained: 0 });
        harness.round(
            1000.0,
            vec![Input::RetryLimitPerNode { limit: 1, window: Span::from_secs(2.0), lease_expiry }],
        );
        harness
            .round(resumes_ms, vec![Input::SessionRequested { session: SESSION, request: viewer_request() }]);
        harness.round(resumes_ms + 1.0, vec![written(0), failed(0, AttemptOutcome::Full)]);
        format!("resumes at {resumes_ms}\n{}", harness.trace)
    });
    expect![[r#"
        resumes at 2000
        2000 ms: setup 1.0 at n1 rung 1 deadline 2500
        2001 ms: setup 1.1 at n3 rung 1 deadline 2500.5
        resumes at 9000
        9000 ms: setup 1.0 at n1 rung 1 deadline 9500
        9001 ms: 1 busy, retry after Some(1000.0)
    "#]]
    .assert_eq(&traces.concat());
}

/// Guards against memory that grows with the rate at which requests arrive: the timers of requests that had been
/// answered stayed until their setup timeout.
#[test]
fn timers_of_answered_requests_do_not_accumulate() {
    let mut harness = Harness::new(RetrySafety::Safe);
    let max_timers = 2 * 1024 + 3 * config(RetrySafety::Safe).max_sessions;
    for session in 1..=20_000 {
        let ms = 1000.0 + session as f64 * 0.01;
        harness.request(ms, session);
        let viewer_left = Input::ViewerLeft { session: SessionId(session) };
        harness.round(ms, vec![viewer_left]);
        harness.trace.clear();
        let failed = Input::SetupFailed {
            session: SessionId(session),
            setup: SetupNumber(0),
            outcome: AttemptOutcome::Unsent,
            load: None,
        };
        harness.round(ms, vec![failed]);
        let timers = harness.engine.timer_count();
        assert!(timers <= max_timers, "{timers} timers after {session} requests");
    }
}
