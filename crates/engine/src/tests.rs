//! Traces of inputs and effects, and a seeded world that tries to break the engine's promises.

use std::collections::BTreeMap;

use ashglade::ids::*;
use ashglade::interface::*;
use ashglade::time::{Instant, Span};
use ashglade_discovery::{NodeEntry, NodeList, NodeState, node_id};
use expect_test::{Expect, expect};

use super::*;

fn start(care: RetrySafety) -> EngineConfig {
    let group = ServiceGroup {
        start_target: Span::from_secs(1.0),
        utility: 1.0,
        retry_safety: care,
        retry_scope: RetryScope::Anywhere,
        retry_window: Span::from_secs(5.0),
        live: false,
        rate_scale: 1.0,
        floor_rung: Rung(0),
        top_rung: Rung(1),
        seats: 0,
    };
    let headend = DirectorConfig {
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
        director: headend,
        answer_margin: span(200.0),
        probe_timeout: span(250.0),
        max_sessions: 40,
        admission: None,
    }
}

fn address(n: u16) -> std::net::SocketAddr {
    ([127, 0, 0, 1], n).into()
}

fn list(generation: u64, standings: &[NodeState]) -> Input {
    let place =
        |n| NodeInfo { zone: ZoneId(0), model: ModelId(0), cell: CellId(n), weight: 1.0, started: None };
    let entry = |(n, &standing): (usize, &NodeState)| {
        let n = n as u16 + 1;
        NodeEntry {
            name: format!("n{n}"),
            address: address(n),
            http_address: None,
            id: None,
            info: place(n - 1),
            state: standing,
        }
    };
    Input::DiscoverySnapshot(NodeList {
        generation,
        entries: standings.iter().enumerate().map(entry).collect(),
    })
}

fn want() -> ViewerRequest {
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

fn print(effect: &Effect, names: &BTreeMap<NodeId, String>) -> String {
    match effect {
        Effect::SendSetup { session: sess, setup, node, rung, deadline: until } => {
            format!("setup {}.{} at {} rung {} until {}", sess.0, setup.0, names[node], rung.0, until.as_ms())
        }
        Effect::CancelSetup { session: sess, setup, if_unsent } => {
            format!("withdraw {}.{}{}", sess.0, setup.0, if *if_unsent { " if unsent" } else { "" })
        }
        Effect::Respond { session: sess, response: SessionResponse::Plays { rung } } => {
            format!("{} plays at rung {}", sess.0, rung.0)
        }
        Effect::Respond { session: sess, response: SessionResponse::Busy { retry_after, .. } } => {
            format!("{} busy, again after {:?}", sess.0, retry_after.map(Span::as_ms))
        }
        Effect::Respond { session: sess, response: SessionResponse::TornDown } => {
            format!("{} torn down", sess.0)
        }
        Effect::ChangeRung { session: sess, rung } => format!("{} to rung {}", sess.0, rung.0),
        Effect::ReleaseSession { session: sess } => format!("release {}", sess.0),
        Effect::ReconnectViewer { session: sess } => format!("send back {}", sess.0),
        Effect::SendProbe { node, .. } => format!("probe {}", names[node]),
        Effect::DiscoveryResult { generation, rejection: refused } => {
            format!("list {generation} {refused:?}")
        }
        Effect::Drained => "drained".to_string(),
    }
}

/// An engine with nodes n1 to n3, all warm, and its trace.
struct Desk {
    engine: Engine,
    names: BTreeMap<NodeId, String>,
    trace: String,
}

impl Desk {
    fn open(care: RetrySafety) -> Desk {
        let engine = Engine::new(start(care), Instant::from_ms(0.0));
        let names = (1..=3).map(|n| (node_id(&address(n)), format!("n{n}"))).collect();
        let mut desk = Desk { engine, names, trace: String::new() };
        desk.at(0.0, vec![list(1, &[NodeState::Ready; 3])]);
        desk.trace.clear();
        desk
    }

    fn at(&mut self, ms: f64, inputs: Vec<Input>) {
        let effects = self.engine.round(Instant::from_ms(ms), inputs);
        let texts: Vec<String> = effects.iter().map(|e| print(e, &self.names)).collect();
        if !texts.is_empty() {
            self.trace += &format!("{ms} ms: {}\n", texts.join(", "));
        }
    }

    /// Lets time pass until `ms`, a round whenever one is due.
    fn until(&mut self, ms: f64) {
        while let Some(due) = self.engine.next_deadline().filter(|due| due.as_ms() <= ms) {
            self.at(due.as_ms(), vec![]);
        }
    }

    fn ask(&mut self, ms: f64, sess: u64) {
        self.at(ms, vec![Input::SessionRequested { session: SessionId(sess), request: want() }]);
    }

    fn shows(&self, trace: Expect) {
        trace.assert_eq(&self.trace);
    }
}

const S: SessionId = SessionId(1);

fn written(setup: u16) -> Input {
    Input::SetupWritten { session: S, setup: SetupNumber(setup) }
}

fn started(setup: u16) -> Input {
    Input::SetupAccepted { session: S, setup: SetupNumber(setup), load: None }
}

fn ended(setup: u16, how: AttemptOutcome) -> Input {
    Input::SetupFailed { session: S, setup: SetupNumber(setup), outcome: how, load: None }
}

#[test]
fn a_node_without_the_title_is_passed_over_for_it_by_fragile_groups_too_and_asked_again_after_its_start() {
    let mut desk = Desk::open(RetrySafety::Fragile);
    desk.ask(1000.0, 1);
    // Written and all, a 404 proves that nothing ran: the next holder is asked.
    let first = desk.engine.round(Instant::from_ms(1001.0), vec![written(0)]);
    assert!(first.is_empty());
    desk.at(1002.0, vec![Input::TitleMissing { session: S, setup: SetupNumber(0), load: None }]);
    desk.at(1003.0, vec![written(1), started(1)]);
    // Whoever comes next and would go to the one without it doesn't, at once and without a SETUP there.
    for sess in 2..6 {
        let ms = 1100.0 + sess as f64;
        desk.ask(ms, sess);
        desk.until(ms);
    }
    let (missing, spared) = (desk.engine.tally().missing, desk.engine.tally().spared);
    desk.trace += &format!("{missing} answered as missing, {spared} spared\n");
    // It starts again, as the list tells, and may have been filled.
    let mut again = list(2, &[NodeState::Ready; 3]);
    if let Input::DiscoverySnapshot(list) = &mut again {
        list.entries.iter_mut().for_each(|entry| entry.info.started = Some(Instant::from_ms(1200.0)));
    }
    desk.at(1200.0, vec![again]);
    for sess in 6..9 {
        desk.ask(6000.0 + sess as f64, sess);
        desk.until(6000.0 + sess as f64);
    }
    desk.trace += &format!("{} spared in all\n", desk.engine.tally().spared);
    desk.shows(expect![[r#"
        1000 ms: setup 1.0 at n1 rung 1 until 3800
        1002 ms: setup 1.1 at n3 rung 1 until 3800
        1003 ms: 1 plays at rung 1
        1102 ms: setup 2.0 at n2 rung 1 until 3902
        1103 ms: setup 3.1 at n2 rung 1 until 3903
        1104 ms: setup 4.1 at n3 rung 1 until 3904
        1105 ms: setup 5.1 at n2 rung 1 until 3905
        1 answered as missing, 3 spared
        1200 ms: list 2 None
        6006 ms: withdraw 2.0, withdraw 3.1, withdraw 4.1, withdraw 5.1, 2 torn down, 3 torn down, 4 torn down, 5 torn down, setup 6.0 at n1 rung 1 until 8806
        6007 ms: setup 7.0 at n1 rung 1 until 8807
        6008 ms: setup 8.0 at n3 rung 1 until 8808
        3 spared in all
    "#]]);
}

#[test]
fn a_200_after_its_setup_was_given_up_is_torn_down_at_the_node() {
    let mut desk = Desk::open(RetrySafety::Safe);
    desk.ask(1000.0, 1);
    desk.at(1001.0, vec![written(0)]);
    desk.until(1500.0);
    desk.at(1501.0, vec![started(0)]);
    desk.at(1510.0, vec![written(1), started(1)]);
    desk.at(1511.0, vec![started(0)]);
    desk.shows(expect![[r#"
        1000 ms: setup 1.0 at n1 rung 1 until 1500
        1500 ms: withdraw 1.0
        1501 ms: release 1, setup 1.1 at n3 rung 1 until 1751
        1510 ms: 1 plays at rung 1
        1511 ms: release 1
    "#]]);
}

#[test]
fn a_viewer_that_leaves_gets_no_answer_and_what_it_left_ends() {
    let mut desk = Desk::open(RetrySafety::Safe);
    desk.ask(1000.0, 1);
    desk.at(1100.0, vec![written(0), Input::ViewerLeft { session: S }]);
    desk.at(1110.0, vec![ended(0, AttemptOutcome::Cancelled)]);
    desk.ask(2000.0, 1);
    desk.at(2100.0, vec![written(0), Input::ViewerLeft { session: S }, started(0)]);
    desk.trace += &format!("in hand {}\n", desk.engine.session_count());
    desk.shows(expect![[r#"
        1000 ms: setup 1.0 at n1 rung 1 until 1500
        1100 ms: withdraw 1.0
        2000 ms: setup 1.0 at n2 rung 1 until 2500
        2100 ms: release 1
        in hand 0
    "#]]);
}

#[test]
fn what_waits_for_a_connection_to_a_draining_node_is_recalled_and_goes_elsewhere() {
    let mut desk = Desk::open(RetrySafety::Fragile);
    desk.ask(1000.0, 1);
    let at: Vec<NodeState> = (1..=3)
        .map(
            |n| if desk.trace.contains(&format!("at n{n}")) { NodeState::Draining } else { NodeState::Ready },
        )
        .collect();
    desk.at(1050.0, vec![list(2, &at)]);
    desk.at(1051.0, vec![ended(0, AttemptOutcome::Unsent)]);
    // Once it is written it goes on, drain or not.
    desk.at(1060.0, vec![written(1), list(3, &[NodeState::Draining; 3])]);
    desk.at(1070.0, vec![started(1)]);
    desk.shows(expect![[r#"
        1000 ms: setup 1.0 at n1 rung 1 until 3800
        1050 ms: withdraw 1.0 if unsent, list 2 None
        1051 ms: setup 1.1 at n3 rung 1 until 3800
        1060 ms: list 3 None
        1070 ms: 1 plays at rung 1
    "#]]);
}

#[test]
fn unsent_is_not_believed_once_a_byte_was_written() {
    let mut desk = Desk::open(RetrySafety::Fragile);
    desk.ask(1000.0, 1);
    desk.at(1001.0, vec![written(0)]);
    desk.at(1002.0, vec![ended(0, AttemptOutcome::Unsent)]);
    desk.shows(expect![[r#"
        1000 ms: setup 1.0 at n1 rung 1 until 3800
        1002 ms: 1 torn down
    "#]]);
}

#[test]
fn an_ending_that_is_never_told_does_not_hold_the_answer() {
    let mut desk = Desk::open(RetrySafety::Fragile);
    desk.ask(1000.0, 1);
    desk.at(1001.0, vec![written(0)]);
    desk.until(4000.0);
    desk.trace +=
        &format!("untold {}, guarded {}\n", desk.engine.tally().untold, desk.engine.tally().guarded);
    desk.shows(expect![[r#"
        1000 ms: setup 1.0 at n1 rung 1 until 3800
        3800 ms: withdraw 1.0
        3850 ms: 1 torn down
        untold 1, guarded 0
    "#]]);
}

#[test]
fn after_a_long_pause_all_that_came_meanwhile_counts_first() {
    let mut desk = Desk::open(RetrySafety::Safe);
    desk.ask(1000.0, 1);
    desk.at(1001.0, vec![written(0)]);
    // Nothing ran from here to 2.2 s; the node's answer came meanwhile, that of another session never.
    desk.at(2200.0, vec![started(0), Input::SessionRequested { session: SessionId(2), request: want() }]);
    desk.at(6000.0, vec![]);
    desk.shows(expect![[r#"
        1000 ms: setup 1.0 at n1 rung 1 until 1500
        2200 ms: 1 plays at rung 1, setup 2.0 at n2 rung 1 until 2700
        6000 ms: withdraw 2.0, 2 torn down
    "#]]);
}

#[test]
fn a_draining_director_takes_nothing_new_and_says_when_it_is_empty() {
    let mut desk = Desk::open(RetrySafety::Safe);
    desk.ask(1000.0, 1);
    desk.at(1010.0, vec![written(0), started(0)]);
    desk.at(1500.0, vec![Input::Drain]);
    desk.ask(1600.0, 2);
    desk.at(1700.0, vec![Input::SessionEnded { session: S, outcome: AttemptOutcome::Lost }]);
    desk.shows(expect![[r#"
        1000 ms: setup 1.0 at n1 rung 1 until 1500
        1010 ms: 1 plays at rung 1
        1600 ms: 2 busy, again after Some(2000.0)
        1700 ms: drained
    "#]]);
}

#[test]
fn sessions_in_hand_are_bounded() {
    let mut desk = Desk::open(RetrySafety::Safe);
    desk.at(
        1000.0,
        (1..=60).map(|n| Input::SessionRequested { session: SessionId(n), request: want() }).collect(),
    );
    let tally = desk.engine.tally();
    assert_eq!((desk.engine.session_count() <= 40, tally.over_bound >= 20, tally.asked), (true, true, 60));
}

/// A shell and a world that do their worst within what is allowed: endings late, twice, never, answers after the
/// end, viewers that leave at any time, lists that drain and bring back, pauses.
struct World {
    random: oorandom::Rand64,
    /// By session: answers, whether it left, when it asked.
    asked: BTreeMap<SessionId, (usize, bool, f64)>,
    /// SETUPs that the shell has out.
    out: BTreeMap<SessionId, (SetupNumber, bool)>,
    playing: Vec<SessionId>,
    late: f64,
}

/// The fair door, narrow enough that most wait.
fn with_door(start: EngineConfig) -> EngineConfig {
    let terms = AdmissionConfig {
        seed: 2,
        groups: vec![(1.0, 1.0)],
        tenant_weights: vec![1.0],
        min_start_target: Span::from_secs(1.0),
        max_retry_after: start.director.max_retry_after,
        max_waiting: 12,
        concurrency_limits: (2.0, 1.0, 4.0),
    };
    EngineConfig { admission: Some(terms), ..start }
}

fn world(seed: u64, care: RetrySafety, rounds: usize) -> (Vec<record::RecordedRound>, World) {
    let start = if seed % 2 == 1 { with_door(start(care)) } else { start(care) };
    let mut engine = Engine::new(start, Instant::from_ms(0.0));
    let random = oorandom::Rand64::new(seed.into());
    let mut world =
        World { random, asked: BTreeMap::new(), out: BTreeMap::new(), playing: vec![], late: 0.0 };
    let mut lines = Vec::new();
    let (mut now, mut generation, mut next) = (0.0, 1, 1);
    let mut inputs = vec![list(1, &[NodeState::Ready; 3])];
    for round in 0..rounds {
        let effects = engine.round(Instant::from_ms(now), inputs.clone());
        for effect in &effects {
            match effect {
                Effect::SendSetup { session: sess, setup, .. } => {
                    let before = world.out.insert(*sess, (*setup, false));
                    assert!(before.is_none(), "seed {seed}: two SETUPs out for {sess:?}");
                    assert!(!world.asked[sess].1, "seed {seed}: set up after the viewer left");
                }
                Effect::Respond { session: sess, .. } => {
                    let entry = world.asked.get_mut(sess).expect("an answer to a request");
                    entry.0 += 1;
                    world.late = world.late.max(now - entry.2);
                }
                _ => {}
            }
        }
        let line =
            record::RecordedRound { at: Instant::from_ms(now), inputs: std::mem::take(&mut inputs), effects };
        // Withdrawn SETUPs are told now, later or never; the engine must not ask for another before it counts
        // this one as ended, at which the shell has closed its connection.
        for effect in &line.effects {
            if let Effect::CancelSetup { session: sess, setup, if_unsent } = effect
                && let Some((out, written)) = world.out.get(sess).copied()
                && out == *setup
                && !(*if_unsent && written)
            {
                world.out.remove(sess);
                let how = if written { AttemptOutcome::Cancelled } else { AttemptOutcome::Unsent };
                match world.random.rand_range(0..4) {
                    0 => {}
                    1 if written => {
                        inputs.push(Input::SetupAccepted { session: *sess, setup: *setup, load: None })
                    }
                    _ => inputs.push(Input::SetupFailed {
                        session: *sess,
                        setup: *setup,
                        outcome: how,
                        load: None,
                    }),
                }
            }
            if let Effect::Respond { session: sess, response: SessionResponse::Plays { .. } } = effect {
                world.playing.push(*sess);
            }
        }
        lines.push(line);
        now += [1.0, 5.0, 20.0, 60.0][world.random.rand_range(0..4) as usize];
        if let Some(due) = engine.next_deadline().map(Instant::as_ms).filter(|&due| due < now) {
            now = due;
        }
        // The last seconds bring nothing new, so that all that is owed must come.
        let quiet = round + 400 > rounds;
        world.act(&mut inputs, &mut next, &mut generation, now, quiet);
    }
    assert_eq!((engine.tally().doubled, engine.tally().guarded), (0, 0), "seed {seed}");
    (lines, world)
}

impl World {
    fn act(&mut self, inputs: &mut Vec<Input>, next: &mut u64, generation: &mut u64, now: f64, quiet: bool) {
        let chance = |random: &mut oorandom::Rand64, part: f64| random.rand_float() < part;
        if !quiet && chance(&mut self.random, 0.3) && self.asked.len() < 60 {
            let sess = SessionId(*next);
            *next += 1;
            self.asked.insert(sess, (0, false, now));
            inputs.push(Input::SessionRequested { session: sess, request: want() });
        }
        let out: Vec<(SessionId, SetupNumber, bool)> =
            self.out.iter().map(|(&s, &(n, w))| (s, n, w)).collect();
        for (sess, setup, was) in out {
            if !was && chance(&mut self.random, 0.5) {
                self.out.insert(sess, (setup, true));
                inputs.push(Input::SetupWritten { session: sess, setup });
            } else if was && chance(&mut self.random, 0.15) {
                self.out.remove(&sess);
                let endings = [AttemptOutcome::Full, AttemptOutcome::Fault, AttemptOutcome::Lost];
                match self.random.rand_range(0..5) as usize {
                    n @ 0..3 => inputs.push(Input::SetupFailed {
                        session: sess,
                        setup,
                        outcome: endings[n],
                        load: None,
                    }),
                    _ => inputs.push(Input::SetupAccepted { session: sess, setup, load: None }),
                }
            } else if !was && chance(&mut self.random, 0.1) {
                self.out.remove(&sess);
                inputs.push(Input::SetupFailed {
                    session: sess,
                    setup,
                    outcome: AttemptOutcome::Unreachable,
                    load: None,
                });
            }
        }
        if !quiet && chance(&mut self.random, 0.05) {
            let present: Vec<SessionId> = self.asked.iter().filter(|(_, a)| !a.1).map(|(&s, _)| s).collect();
            if let Some(&sess) = present.get(self.random.rand_range(0..present.len().max(1) as u64) as usize)
            {
                if let Some(entry) = self.asked.get_mut(&sess) {
                    entry.1 = true;
                }
                inputs.push(Input::ViewerLeft { session: sess });
                // As the shell does: what is out is ended and told in the same breath.
                if let Some((setup, written)) = self.out.remove(&sess) {
                    let how = if written { AttemptOutcome::Cancelled } else { AttemptOutcome::Unsent };
                    inputs.push(Input::SetupFailed { session: sess, setup, outcome: how, load: None });
                }
            }
        }
        if chance(&mut self.random, 0.02) {
            *generation += 1;
            let mut standing = || {
                [NodeState::Ready, NodeState::Ready, NodeState::Draining, NodeState::Gone]
                    [self.random.rand_range(0..4) as usize]
            };
            inputs.push(list(*generation, &[standing(), standing(), standing()]));
        }
        if let Some(&sess) = self.playing.last()
            && chance(&mut self.random, 0.05)
        {
            self.playing.pop();
            inputs.push(Input::SessionEnded { session: sess, outcome: AttemptOutcome::Lost });
        }
        if let Some(&sess) = self.playing.first() {
            inputs.push(Input::SessionDelivery { session: sess, share: self.random.rand_float() });
        }
    }
}

#[test]
fn each_request_has_one_answer_in_time_whatever_the_world_does() {
    for seed in 0..300 {
        let care = [RetrySafety::Safe, RetrySafety::Dedup, RetrySafety::Fragile][seed as usize % 3];
        let (_, world) = world(seed, care, 900);
        for (sess, (answers, left, _)) in &world.asked {
            let well = *answers == 1 || (*left && *answers == 0);
            assert!(well, "seed {seed}: {sess:?} had {answers} answers, left: {left}");
        }
        // The setup timeout is 3 s; rounds are up to 60 ms apart.
        assert!(world.late < 3000.0, "seed {seed}: an answer took {} ms", world.late);
    }
}

#[test]
fn a_record_plays_again_to_the_same_effects_and_a_changed_one_does_not() {
    let (lines, _) = world(8, RetrySafety::Safe, 600);
    let head = record::RecordHeader { started: Instant::from_ms(0.0) };
    let mut text = serde_json::to_string(&head).unwrap() + "\n";
    for line in &lines {
        text += &(serde_json::to_string(line).unwrap() + "\n");
    }
    let (rounds, _) = record::replay(start(RetrySafety::Safe), &text).unwrap();
    assert_eq!(rounds, 600);
    // Cut off by a kill in the middle of a line, it counts up to there.
    let (rounds, _) = record::replay(start(RetrySafety::Safe), &text[..text.len() - 10]).unwrap();
    assert_eq!(rounds, 599);
    let differs = record::replay(start(RetrySafety::Fragile), &text).unwrap_err().to_string();
    assert!(differs.starts_with("line "), "{differs}");
    let broken = text.replacen("{\"at\"", "{\"ta\"", 1);
    let broken = record::replay(start(RetrySafety::Safe), &broken).unwrap_err().to_string();
    expect!["line 2: missing field `at` at line 1 column 473"].assert_eq(&broken);
}

#[test]
fn at_a_narrow_door_one_goes_in_others_wait_and_are_answered_in_time() {
    let engine = Engine::new(with_door(start(RetrySafety::Safe)), Instant::from_ms(0.0));
    let names = (1..=3).map(|n| (node_id(&address(n)), format!("n{n}"))).collect();
    let mut desk = Desk { engine, names, trace: String::new() };
    desk.at(0.0, vec![list(1, &[NodeState::Ready; 3])]);
    desk.trace.clear();
    let ask = |n: u64| Input::SessionRequested {
        session: SessionId(n),
        request: ViewerRequest { client: n, ..want() },
    };
    // The first round of the limit lets one in.
    desk.at(1000.0, (1..=4).map(ask).collect());
    desk.at(1010.0, vec![written(0), started(0)]);
    desk.until(1020.0);
    // One of those that wait leaves; the module never hears of it.
    desk.at(1030.0, vec![Input::ViewerLeft { session: SessionId(3) }]);
    // The second hangs; the fourth waits half its start target and is told then.
    desk.until(1600.0);
    desk.trace += &format!("in hand {}\n", desk.engine.session_count());
    desk.shows(expect![[r#"
        1000 ms: setup 1.0 at n1 rung 1 until 1500
        1010 ms: 1 plays at rung 1
        1010 ms: setup 2.0 at n2 rung 1 until 1510
        1500 ms: 4 busy, again after Some(528.785)
        1510 ms: withdraw 2.0
        1560 ms: setup 2.1 at n3 rung 1 until 1810
        in hand 2
    "#]]);
}

/// Rights that were lent are used no longer once their lease is over, also in the very round in which a director goes on
/// that stood still, and whatever waited for it then.
#[test]
fn a_lease_that_ran_out_while_the_director_stood_still_is_not_used() {
    let traces = [2000.0, 9000.0].map(|goes_on| {
        let mut desk = Desk::open(RetrySafety::Safe);
        let lapse = Some(LeaseExpiry { at: Instant::from_ms(5000.0), retained: 0 });
        desk.at(
            1000.0,
            vec![Input::RetryLimitPerNode { limit: 1, window: Span::from_secs(2.0), lease_expiry: lapse }],
        );
        desk.at(goes_on, vec![Input::SessionRequested { session: S, request: want() }]);
        desk.at(goes_on + 1.0, vec![written(0), ended(0, AttemptOutcome::Full)]);
        format!("goes on at {goes_on}\n{}", desk.trace)
    });
    expect![[r#"
        goes on at 2000
        2000 ms: setup 1.0 at n1 rung 1 until 2500
        2001 ms: setup 1.1 at n3 rung 1 until 2500.5
        goes on at 9000
        9000 ms: setup 1.0 at n1 rung 1 until 9500
        9001 ms: 1 busy, again after Some(1000.0)
    "#]]
    .assert_eq(&traces.concat());
}
