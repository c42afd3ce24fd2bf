use ashglade::ids::{CellId, ModelId, ZoneId};
use ashglade::interface::NodeInfo;
use ashglade::time::{Instant, Span};
use expect_test::expect;

use crate::sources::{SourceEvent, SourceMerger, SourceRead, checksum};
use crate::{Membership, NodeEntry, NodeList, NodeState};

fn at(secs: f64) -> Instant {
    Instant::from_ms(secs * 1e3)
}

fn entry(n: u16, standing: NodeState) -> NodeEntry {
    let place = NodeInfo { zone: ZoneId(0), model: ModelId(0), cell: CellId(n), weight: 1.0, started: None };
    NodeEntry {
        name: format!("n{n}"),
        address: ([10, 0, (n >> 8) as u8, n as u8], 554).into(),
        http_address: None,
        id: None,
        info: place,
        state: standing,
    }
}

/// Nodes by number; those of `leaving` stand as told.
fn list(generation: u64, nodes: impl Iterator<Item = u16>, leaving: &[(u16, NodeState)]) -> SourceRead {
    let standing = |n| leaving.iter().find(|(other, _)| *other == n).map_or(NodeState::Ready, |(_, s)| *s);
    let entries = nodes.map(|n| entry(n, standing(n))).collect();
    SourceRead::List { list: NodeList { generation, entries }, leaves_out: None }
}

fn tell(news: &[SourceEvent]) -> String {
    let one = |news: &SourceEvent| match news {
        SourceEvent::InForce(list) => {
            let ready = list.entries.iter().filter(|e| e.state == NodeState::Ready).count();
            format!("{} in force: {ready} of {} ready", list.generation, list.entries.len())
        }
        SourceEvent::HeldBack { source, left_out, ready: of, until } => {
            format!("{source} held back, leaves out {left_out} of {of}, until {} s", until.as_ms() / 1e3)
        }
        other => format!("{other:?}"),
    };
    if news.is_empty() { "nothing".into() } else { news.iter().map(one).collect::<Vec<_>>().join("; ") }
}

struct Trace(SourceMerger, String);

impl Trace {
    fn new(sources: usize) -> Trace {
        Trace(SourceMerger::new(sources, Span::from_secs(10.0)), String::new())
    }

    fn read(&mut self, what: &str, source: usize, found: SourceRead, secs: f64) {
        let news = self.0.update(source, found, at(secs));
        self.1 += &format!("{what}: {}\n", tell(&news));
    }

    fn due(&mut self, what: &str, secs: f64) {
        let news = self.0.poll(at(secs));
        self.1 += &format!("{what}: {}\n", tell(&news));
    }
}

fn nothing(why: &str) -> SourceRead {
    SourceRead::Unreadable { reason: why.into() }
}

#[test]
fn a_file_that_is_written_cut_taken_away_and_wrong() {
    let mut t = Trace::new(1);
    t.read("not there yet", 0, nothing("no such file"), 0.0);
    t.read("nor now", 0, nothing("no such file"), 0.1);
    t.read("a list", 0, list(5, 0..10, &[]), 1.0);
    t.read("the same", 0, list(5, 0..10, &[]), 1.1);
    t.read("an older one", 0, list(4, 0..9, &[]), 1.2);
    t.read("the older one again", 0, list(4, 0..9, &[]), 1.3);
    t.read("two writers, one generation", 0, list(5, 0..9, &[]), 1.4);
    t.read("half written", 0, nothing("expected '}'"), 1.5);
    t.read("still", 0, nothing("expected '}'"), 1.6);
    t.read("whole", 0, list(6, 0..11, &[]), 1.7);
    t.read("empty", 0, list(7, 0..0, &[]), 1.8);
    t.read("one node less", 0, list(7, 1..11, &[]), 2.0);
    for k in 0..20u16 {
        let found = list(8 + u64::from(k), 0..10 + k % 2, &[(k % 10, NodeState::Draining)]);
        t.0.update(0, found, at(2.0 + f64::from(k) / 10.0));
    }
    t.read("after twenty in two seconds", 0, list(27, 0..11, &[(9, NodeState::Draining)]), 4.0);
    expect![[r#"
        not there yet: Rejected { source: 0, reason: "no such file" }
        nor now: nothing
        a list: 1 in force: 10 of 10 ready
        the same: nothing
        an older one: Rejected { source: 0, reason: "generation 4 is older than 5, which is in force" }
        the older one again: nothing
        two writers, one generation: Rejected { source: 0, reason: "generation 5 was told before with other entries" }
        half written: Unavailable { source: 0, reason: "expected '}'" }
        still: nothing
        whole: Available { source: 0 }; 2 in force: 11 of 11 ready
        empty: Rejected { source: 0, reason: "the list names no node" }
        one node less: 3 in force: 10 of 10 ready
        after twenty in two seconds: nothing
    "#]].assert_eq(&t.1);
}

#[test]
fn a_list_without_half_of_the_nodes_is_held_back_and_its_drains_are_kept() {
    let mut t = Trace::new(1);
    t.read("twelve", 0, list(1, 0..12, &[]), 0.0);
    t.read("six, one draining", 0, list(2, 0..6, &[(3, NodeState::Draining)]), 1.0);
    t.read("the same", 0, list(2, 0..6, &[(3, NodeState::Draining)]), 2.0);
    t.due("before its time", 10.9);
    t.read("vanished", 0, nothing("no such file"), 10.95);
    t.due("nobody confirms it", 11.5);
    t.read("there again", 0, list(2, 0..6, &[(3, NodeState::Draining)]), 12.0);
    t.due("and is taken", 12.0);
    t.read("twelve again", 0, list(3, 0..12, &[]), 13.0);
    t.read("five", 0, list(4, 0..5, &[]), 14.0);
    t.read("a mistake: whole again", 0, list(5, 0..12, &[]), 15.0);
    t.due("nothing is left of it", 30.0);
    let SourceRead::List { list: six, .. } = list(6, 0..6, &[]) else { unreachable!() };
    t.read(
        "confirmed with a wrong number",
        0,
        SourceRead::List { list: six.clone(), leaves_out: Some(5) },
        31.0,
    );
    let seven = NodeList { generation: 7, ..six };
    t.read("confirmed", 0, SourceRead::List { list: seven, leaves_out: Some(6) }, 32.0);
    let all: Vec<(u16, NodeState)> = (0..6).map(|n| (n, NodeState::Gone)).collect();
    t.read("all told as gone, by name", 0, list(8, 0..6, &all), 33.0);
    expect![[r#"
        twelve: 1 in force: 12 of 12 ready
        six, one draining: 0 held back, leaves out 6 of 12, until 11 s; 2 in force: 11 of 12 ready
        the same: nothing
        before its time: nothing
        vanished: Unavailable { source: 0, reason: "no such file" }
        nobody confirms it: nothing
        there again: Available { source: 0 }
        and is taken: Accepted { source: 0, left_out: 6 }; 3 in force: 5 of 6 ready
        twelve again: 4 in force: 12 of 12 ready
        five: 0 held back, leaves out 7 of 12, until 24 s
        a mistake: whole again: nothing
        nothing is left of it: nothing
        confirmed with a wrong number: 0 held back, leaves out 6 of 12, until 41 s
        confirmed: Accepted { source: 0, left_out: 6 }; 5 in force: 6 of 6 ready
        all told as gone, by name: 6 in force: 0 of 6 ready
    "#]]
    .assert_eq(&t.1);
}

#[test]
fn sources_are_one_list_and_a_drain_told_by_any_holds() {
    let mut t = Trace::new(2);
    t.read("the first", 0, list(100, 0..4, &[]), 0.0);
    t.read(
        "the second drains two it knows, and knows one more",
        1,
        list(1, 2..5, &[(2, NodeState::Draining)]),
        1.0,
    );
    t.read("the first has it as ready, in a newer list", 0, list(101, 0..4, &[]), 2.0);
    t.read("an older list of the second", 1, list(0, 2..5, &[]), 3.0);
    t.read("the second takes it back", 1, list(2, 2..5, &[]), 4.0);
    t.read("the second is gone: what it said holds", 1, nothing("no such file"), 5.0);
    let SourceRead::List { list: mut other, .. } = list(3, 2..5, &[]) else { unreachable!() };
    other.entries[0].name = "n0".into();
    t.read("one name for two", 1, SourceRead::List { list: other, leaves_out: None }, 6.0);
    t.read("a source that there is not", 7, list(1, 0..1, &[]), 7.0);
    expect![[r#"
        the first: 1 in force: 4 of 4 ready
        the second drains two it knows, and knows one more: 2 in force: 4 of 5 ready
        the first has it as ready, in a newer list: nothing
        an older list of the second: Rejected { source: 1, reason: "generation 0 is older than 1, which is in force" }
        the second takes it back: 3 in force: 5 of 5 ready
        the second is gone: what it said holds: Unavailable { source: 1, reason: "no such file" }
        one name for two: Available { source: 1 }
        a source that there is not: nothing
    "#]].assert_eq(&t.1);
}

#[test]
fn what_was_in_force_survives_a_restart_until_sources_tell_otherwise() {
    let mut before = SourceMerger::new(1, Span::from_secs(10.0));
    before.update(0, list(41, 0..8, &[(1, NodeState::Draining)]), at(0.0));
    let kept = before.current().unwrap().clone();
    let mut t = Trace::new(1);
    t.0.resume(kept.clone()).unwrap();
    assert_eq!(t.0.current(), Some(&kept));
    t.read("the file is not there", 0, nothing("no such file"), 0.0);
    t.read("it has half of them: held back, as by one that never stopped", 0, list(42, 0..4, &[]), 1.0);
    t.read("it has all", 0, list(43, 0..8, &[]), 2.0);
    expect![[r#"
        the file is not there: Unavailable { source: 0, reason: "no such file" }
        it has half of them: held back, as by one that never stopped: Available { source: 0 }; 0 held back, leaves out 4 of 7, until 11 s
        it has all: 2 in force: 8 of 8 ready
    "#]].assert_eq(&t.1);
}

#[test]
fn any_order_of_reads_keeps_what_watching_promises() {
    for seed in 0..300 {
        let mut random = oorandom::Rand32::new(seed);
        let mut watch = SourceMerger::new(2, Span::from_secs(3.0));
        let mut membership = Membership::default();
        let (mut now, mut generations, mut last) = (0.0, [0u64; 2], 0);
        // What each source last told of a node by name, while it was readable.
        let mut drains: [std::collections::BTreeSet<u16>; 2] = Default::default();
        for _ in 0..120 {
            now += f64::from(random.rand_range(0..20)) / 10.0;
            let source = random.rand_range(0..2) as usize;
            let news = match random.rand_range(0..6) {
                0 => watch.update(source, nothing("gone"), at(now)),
                1 => watch.poll(at(now)),
                2 => watch.update(source, list(generations[source].saturating_sub(1), 0..3, &[]), at(now)),
                _ => {
                    generations[source] += 1;
                    let count = random.rand_range(1..16) as u16;
                    let draining = random.rand_range(0..16) as u16;
                    let found = list(generations[source], 0..count, &[(draining, NodeState::Draining)]);
                    drains[source].clear();
                    if draining < count {
                        drains[source].insert(draining);
                    }
                    watch.update(source, found, at(now))
                }
            };
            for news in news {
                if let SourceEvent::InForce(list) = news {
                    assert!(list.generation > last, "seed {seed}: generations rise");
                    last = list.generation;
                    // What is in force is always one that a director takes.
                    assert!(membership.update(list).is_ok(), "seed {seed}");
                }
            }
            let Some(list) = watch.current() else { continue };
            for &n in drains.iter().flatten() {
                let standing = list.entries.iter().find(|e| e.name == format!("n{n}")).map(|e| e.state);
                assert_ne!(standing, Some(NodeState::Ready), "seed {seed}: n{n} drains at {now}");
            }
        }
    }
}

#[test]
fn a_hundred_thousand_nodes_are_read_in_no_time_that_counts() {
    let many = |generation| match list(generation, 0..u16::MAX, &[]) {
        SourceRead::List { list, .. } => list,
        SourceRead::Unreadable { .. } => unreachable!(),
    };
    let mut watch = SourceMerger::new(1, Span::from_secs(1.0));
    let begun = std::time::Instant::now();
    watch.update(0, SourceRead::List { list: many(1), leaves_out: None }, at(0.0));
    let mut membership = Membership::default();
    membership.update(many(1)).unwrap();
    membership.update(NodeList { generation: 2, entries: many(1).entries[1..].to_vec() }).unwrap();
    // Generous by far: what it guards against is a time that grows with the square.
    assert!(begun.elapsed().as_secs() < 20, "{:?}", begun.elapsed());
    assert_eq!(membership.nodes().filter(|(_, e)| e.state == NodeState::Gone).count(), 1);
}

#[test]
fn a_checksum_tells_a_file_that_was_cut_between_two_boxes() {
    let text = "generation: 1\nbox { name: \"a\" }\nbox { name: \"b\" }\n";
    let sum = checksum(text);
    assert_eq!(checksum(&format!("checksum: \"{sum}\"\n{text}")), sum);
    assert_ne!(checksum("generation: 1\nbox { name: \"a\" }\n"), sum);
    expect!["cdbd4535"].assert_eq(&sum);
}
