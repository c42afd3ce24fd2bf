use ashglade::ids::{CellId, ModelId, ZoneId};
use ashglade::interface::NodeInfo;
use ashglade::time::{Instant, Span};
use expect_test::expect;

use crate::sources::{SourceEvent, SourceMerger, SourceRead, checksum};
use crate::{Membership, NodeEntry, NodeList, NodeState};

fn at(secs: f64) -> Instant {
    Instant::from_ms(secs * 1e3)
}

fn entry(n: u16, state: NodeState) -> NodeEntry {
    let info = NodeInfo { zone: ZoneId(0), model: ModelId(0), cell: CellId(n), weight: 1.0, started: None };
    NodeEntry {
        name: format!("n{n}"),
        address: ([10, 0, (n >> 8) as u8, n as u8], 554).into(),
        http_address: None,
        id: None,
        info,
        state,
    }
}

/// A list of nodes by number. All are ready but those in `states`.
fn list(generation: u64, nodes: impl Iterator<Item = u16>, states: &[(u16, NodeState)]) -> SourceRead {
    let state = |n| states.iter().find(|(other, _)| *other == n).map_or(NodeState::Ready, |(_, s)| *s);
    let entries = nodes.map(|n| entry(n, state(n))).collect();
    SourceRead::List { list: NodeList { generation, entries }, leaves_out: None }
}

/// Writes events as one line; an accepted list is reduced to its generation and number of ready nodes.
fn describe(events: &[SourceEvent]) -> String {
    let one = |event: &SourceEvent| match event {
        SourceEvent::InForce(list) => {
            let ready = list.entries.iter().filter(|e| e.state == NodeState::Ready).count();
            format!("{} in force: {ready} of {} ready", list.generation, list.entries.len())
        }
        SourceEvent::HeldBack { source, left_out, ready, until } => {
            format!("{source} held back, leaves out {left_out} of {ready}, until {} s", until.as_ms() / 1e3)
        }
        other => format!("{other:?}"),
    };
    if events.is_empty() { "nothing".into() } else { events.iter().map(one).collect::<Vec<_>>().join("; ") }
}

/// A merger, and its trace: a line for each call with the events that it returned.
struct Trace(SourceMerger, String);

impl Trace {
    fn new(sources: usize) -> Trace {
        Trace(SourceMerger::new(sources, Span::from_secs(10.0)), String::new())
    }

    fn update(&mut self, label: &str, source: usize, read: SourceRead, secs: f64) {
        let events = self.0.update(source, read, at(secs));
        self.1 += &format!("{label}: {}\n", describe(&events));
    }

    fn poll(&mut self, label: &str, secs: f64) {
        let events = self.0.poll(at(secs));
        self.1 += &format!("{label}: {}\n", describe(&events));
    }
}

fn unreadable(reason: &str) -> SourceRead {
    SourceRead::Unreadable { reason: reason.into() }
}

/// A fault in the file must be reported once and must not change the list in force.
#[test]
fn file_that_is_missing_truncated_stale_or_wrong_changes_nothing() {
    let mut t = Trace::new(1);
    t.update("missing file", 0, unreadable("no such file"), 0.0);
    t.update("still missing", 0, unreadable("no such file"), 0.1);
    t.update("first list", 0, list(5, 0..10, &[]), 1.0);
    t.update("same list", 0, list(5, 0..10, &[]), 1.1);
    t.update("older list", 0, list(4, 0..9, &[]), 1.2);
    t.update("older list again", 0, list(4, 0..9, &[]), 1.3);
    t.update("other list, same generation", 0, list(5, 0..9, &[]), 1.4);
    t.update("truncated", 0, unreadable("expected '}'"), 1.5);
    t.update("still truncated", 0, unreadable("expected '}'"), 1.6);
    t.update("complete", 0, list(6, 0..11, &[]), 1.7);
    t.update("empty list", 0, list(7, 0..0, &[]), 1.8);
    t.update("one node fewer", 0, list(7, 1..11, &[]), 2.0);
    for k in 0..20u16 {
        let read = list(8 + u64::from(k), 0..10 + k % 2, &[(k % 10, NodeState::Draining)]);
        t.0.update(0, read, at(2.0 + f64::from(k) / 10.0));
    }
    t.update("same list after twenty in two seconds", 0, list(27, 0..11, &[(9, NodeState::Draining)]), 4.0);
    expect![[r#"
        missing file: Rejected { source: 0, reason: "no such file" }
        still missing: nothing
        first list: 1 in force: 10 of 10 ready
        same list: nothing
        older list: Rejected { source: 0, reason: "generation 4 is older than 5, which is in force" }
        older list again: nothing
        other list, same generation: Rejected { source: 0, reason: "generation 5 was already received with other entries" }
        truncated: Unavailable { source: 0, reason: "expected '}'" }
        still truncated: nothing
        complete: Available { source: 0 }; 2 in force: 11 of 11 ready
        empty list: Rejected { source: 0, reason: "the list contains no nodes" }
        one node fewer: 3 in force: 10 of 10 ready
        same list after twenty in two seconds: nothing
    "#]].assert_eq(&t.1);
}

/// A truncated or wrong list must not remove many nodes at once, but drains that it reports must apply at
/// once.
#[test]
fn list_without_half_of_the_nodes_is_held_back_and_its_drains_apply() {
    let mut t = Trace::new(1);
    t.update("twelve", 0, list(1, 0..12, &[]), 0.0);
    t.update("six, one draining", 0, list(2, 0..6, &[(3, NodeState::Draining)]), 1.0);
    t.update("same list", 0, list(2, 0..6, &[(3, NodeState::Draining)]), 2.0);
    t.poll("before the hold time", 10.9);
    t.update("unreadable", 0, unreadable("no such file"), 10.95);
    t.poll("hold time over while unreadable", 11.5);
    t.update("readable again", 0, list(2, 0..6, &[(3, NodeState::Draining)]), 12.0);
    t.poll("accepted", 12.0);
    t.update("twelve again", 0, list(3, 0..12, &[]), 13.0);
    t.update("five", 0, list(4, 0..5, &[]), 14.0);
    t.update("complete again", 0, list(5, 0..12, &[]), 15.0);
    t.poll("held-back list is dropped", 30.0);
    let SourceRead::List { list: six, .. } = list(6, 0..6, &[]) else { unreachable!() };
    t.update(
        "confirmed with a wrong number",
        0,
        SourceRead::List { list: six.clone(), leaves_out: Some(5) },
        31.0,
    );
    let seven = NodeList { generation: 7, ..six };
    t.update("confirmed", 0, SourceRead::List { list: seven, leaves_out: Some(6) }, 32.0);
    let all: Vec<(u16, NodeState)> = (0..6).map(|n| (n, NodeState::Gone)).collect();
    t.update("all reported gone by name", 0, list(8, 0..6, &all), 33.0);
    expect![[r#"
        twelve: 1 in force: 12 of 12 ready
        six, one draining: 0 held back, leaves out 6 of 12, until 11 s; 2 in force: 11 of 12 ready
        same list: nothing
        before the hold time: nothing
        unreadable: Unavailable { source: 0, reason: "no such file" }
        hold time over while unreadable: nothing
        readable again: Available { source: 0 }
        accepted: Accepted { source: 0, left_out: 6 }; 3 in force: 5 of 6 ready
        twelve again: 4 in force: 12 of 12 ready
        five: 0 held back, leaves out 7 of 12, until 24 s
        complete again: nothing
        held-back list is dropped: nothing
        confirmed with a wrong number: 0 held back, leaves out 6 of 12, until 41 s
        confirmed: Accepted { source: 0, left_out: 6 }; 5 in force: 6 of 6 ready
        all reported gone by name: 6 in force: 0 of 6 ready
    "#]]
    .assert_eq(&t.1);
}

/// A drain must not be undone by another source, an older list, or the loss of the source that reported it.
#[test]
fn sources_form_one_list_and_a_drain_by_any_source_holds() {
    let mut t = Trace::new(2);
    t.update("first source", 0, list(100, 0..4, &[]), 0.0);
    t.update(
        "second source drains node 2 and adds node 4",
        1,
        list(1, 2..5, &[(2, NodeState::Draining)]),
        1.0,
    );
    t.update("first source reports node 2 ready in a newer list", 0, list(101, 0..4, &[]), 2.0);
    t.update("older list of the second source", 1, list(0, 2..5, &[]), 3.0);
    t.update("second source revokes the drain", 1, list(2, 2..5, &[]), 4.0);
    t.update("second source missing, its list holds", 1, unreadable("no such file"), 5.0);
    let SourceRead::List { list: mut other, .. } = list(3, 2..5, &[]) else { unreachable!() };
    other.entries[0].name = "n0".into();
    t.update(
        "second source gives node 2 the name of node 0",
        1,
        SourceRead::List { list: other, leaves_out: None },
        6.0,
    );
    t.update("unknown source", 7, list(1, 0..1, &[]), 7.0);
    expect![[r#"
        first source: 1 in force: 4 of 4 ready
        second source drains node 2 and adds node 4: 2 in force: 4 of 5 ready
        first source reports node 2 ready in a newer list: nothing
        older list of the second source: Rejected { source: 1, reason: "generation 0 is older than 1, which is in force" }
        second source revokes the drain: 3 in force: 5 of 5 ready
        second source missing, its list holds: Unavailable { source: 1, reason: "no such file" }
        second source gives node 2 the name of node 0: Available { source: 1 }
        unknown source: nothing
    "#]].assert_eq(&t.1);
}

/// A director must start with the saved list and must not take a much shorter list for a first one.
#[test]
fn saved_list_remains_in_force_after_a_restart_until_a_source_replaces_it() {
    let mut previous = SourceMerger::new(1, Span::from_secs(10.0));
    previous.update(0, list(41, 0..8, &[(1, NodeState::Draining)]), at(0.0));
    let saved = previous.current().unwrap().clone();
    let mut t = Trace::new(1);
    t.0.resume(saved.clone()).unwrap();
    assert_eq!(t.0.current(), Some(&saved));
    t.update("missing file", 0, unreadable("no such file"), 0.0);
    t.update("half of the nodes: held back as without a restart", 0, list(42, 0..4, &[]), 1.0);
    t.update("all nodes", 0, list(43, 0..8, &[]), 2.0);
    expect![[r#"
        missing file: Unavailable { source: 0, reason: "no such file" }
        half of the nodes: held back as without a restart: Available { source: 0 }; 0 held back, leaves out 4 of 7, until 11 s
        all nodes: 2 in force: 8 of 8 ready
    "#]].assert_eq(&t.1);
}

/// Whatever is read in whatever order, a drained node must not become ready and the list in force must be
/// valid.
#[test]
fn random_reads_keep_drains_and_increase_the_generation() {
    for seed in 0..300 {
        let mut random = oorandom::Rand32::new(seed);
        let mut merger = SourceMerger::new(2, Span::from_secs(3.0));
        let mut membership = Membership::default();
        let (mut now, mut generations, mut last) = (0.0, [0u64; 2], 0);
        // Nodes that each source drains in its last list.
        let mut drains: [std::collections::BTreeSet<u16>; 2] = Default::default();
        for _ in 0..120 {
            now += f64::from(random.rand_range(0..20)) / 10.0;
            let source = random.rand_range(0..2) as usize;
            let events = match random.rand_range(0..6) {
                0 => merger.update(source, unreadable("gone"), at(now)),
                1 => merger.poll(at(now)),
                2 => merger.update(source, list(generations[source].saturating_sub(1), 0..3, &[]), at(now)),
                _ => {
                    generations[source] += 1;
                    let count = random.rand_range(1..16) as u16;
                    let draining = random.rand_range(0..16) as u16;
                    let read = list(generations[source], 0..count, &[(draining, NodeState::Draining)]);
                    drains[source].clear();
                    if draining < count {
                        drains[source].insert(draining);
                    }
                    merger.update(source, read, at(now))
                }
            };
            for event in events {
                if let SourceEvent::InForce(list) = event {
                    assert!(list.generation > last, "seed {seed}: generations increase");
                    last = list.generation;
                    // A director accepts any list that is in force.
                    assert!(membership.update(list).is_ok(), "seed {seed}");
                }
            }
            let Some(list) = merger.current() else { continue };
            for &n in drains.iter().flatten() {
                let state = list.entries.iter().find(|e| e.name == format!("n{n}")).map(|e| e.state);
                assert_ne!(state, Some(NodeState::Ready), "seed {seed}: n{n} drains at {now}");
            }
        }
    }
}

/// Lists of 65,535 nodes must not take time that is quadratic in their length.
#[test]
fn large_lists_are_processed_in_less_than_quadratic_time() {
    let large_list = |generation| match list(generation, 0..u16::MAX, &[]) {
        SourceRead::List { list, .. } => list,
        SourceRead::Unreadable { .. } => unreachable!(),
    };
    let mut merger = SourceMerger::new(1, Span::from_secs(1.0));
    let started = std::time::Instant::now();
    merger.update(0, SourceRead::List { list: large_list(1), leaves_out: None }, at(0.0));
    let mut membership = Membership::default();
    membership.update(large_list(1)).unwrap();
    membership.update(NodeList { generation: 2, entries: large_list(1).entries[1..].to_vec() }).unwrap();
    // Far above the expected time, as only quadratic time must fail here.
    assert!(started.elapsed().as_secs() < 20, "{:?}", started.elapsed());
    assert_eq!(membership.nodes().filter(|(_, e)| e.state == NodeState::Gone).count(), 1);
}

/// A file truncated between two entries is valid syntax, so that only the checksum detects the fault.
#[test]
fn checksum_detects_a_file_truncated_between_two_entries() {
    let text = "generation: 1\nbox { name: \"a\" }\nbox { name: \"b\" }\n";
    let sum = checksum(text);
    assert_eq!(checksum(&format!("checksum: \"{sum}\"\n{text}")), sum);
    assert_ne!(checksum("generation: 1\nbox { name: \"a\" }\n"), sum);
    expect!["cdbd4535"].assert_eq(&sum);
}
