use ashglade::ids::{CellId, ModelId, ZoneId};
use ashglade::interface::NodeInfo;
use ashglade::time::{Instant, Span};
use expect_test::expect;

use crate::watch::{Found, News, Watch, checksum};
use crate::{Entry, List, Roster, Standing};

fn at(secs: f64) -> Instant {
    Instant::from_ms(secs * 1e3)
}

fn entry(n: u16, standing: Standing) -> Entry {
    let place = NodeInfo { zone: ZoneId(0), model: ModelId(0), cell: CellId(n), weight: 1.0, started: None };
    Entry {
        name: format!("n{n}"),
        address: ([10, 0, (n >> 8) as u8, n as u8], 554).into(),
        http: None,
        id: None,
        place,
        standing,
    }
}

/// Nodes by number; those of `leaving` stand as told.
fn list(generation: u64, nodes: impl Iterator<Item = u16>, leaving: &[(u16, Standing)]) -> Found {
    let standing = |n| leaving.iter().find(|(other, _)| *other == n).map_or(Standing::Ready, |(_, s)| *s);
    let entries = nodes.map(|n| entry(n, standing(n))).collect();
    Found::List { list: List { generation, entries }, leaves_out: None }
}

fn tell(news: &[News]) -> String {
    let one = |news: &News| match news {
        News::InForce(list) => {
            let ready = list.entries.iter().filter(|e| e.standing == Standing::Ready).count();
            format!("{} in force: {ready} of {} ready", list.generation, list.entries.len())
        }
        News::HeldBack { source, left_out, of, until } => {
            format!("{source} held back, leaves out {left_out} of {of}, until {} s", until.as_ms() / 1e3)
        }
        other => format!("{other:?}"),
    };
    if news.is_empty() { "nothing".into() } else { news.iter().map(one).collect::<Vec<_>>().join("; ") }
}

struct Trace(Watch, String);

impl Trace {
    fn new(sources: usize) -> Trace {
        Trace(Watch::new(sources, Span::from_secs(10.0)), String::new())
    }

    fn read(&mut self, what: &str, source: usize, found: Found, secs: f64) {
        let news = self.0.read(source, found, at(secs));
        self.1 += &format!("{what}: {}\n", tell(&news));
    }

    fn due(&mut self, what: &str, secs: f64) {
        let news = self.0.due(at(secs));
        self.1 += &format!("{what}: {}\n", tell(&news));
    }
}

fn nothing(why: &str) -> Found {
    Found::Nothing { why: why.into() }
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
        let found = list(8 + u64::from(k), 0..10 + k % 2, &[(k % 10, Standing::Draining)]);
        t.0.read(0, found, at(2.0 + f64::from(k) / 10.0));
    }
    t.read("after twenty in two seconds", 0, list(27, 0..11, &[(9, Standing::Draining)]), 4.0);
    expect![[r#"
        not there yet: Refused { source: 0, why: "no such file" }
        nor now: nothing
        a list: 1 in force: 10 of 10 ready
        the same: nothing
        an older one: Refused { source: 0, why: "generation 4 is older than 5, which is in force" }
        the older one again: nothing
        two writers, one generation: Refused { source: 0, why: "generation 5 was told before with other entries" }
        half written: Vanished { source: 0, why: "expected '}'" }
        still: nothing
        whole: Back { source: 0 }; 2 in force: 11 of 11 ready
        empty: Refused { source: 0, why: "the list names no node" }
        one node less: 3 in force: 10 of 10 ready
        after twenty in two seconds: nothing
    "#]].assert_eq(&t.1);
}

#[test]
fn a_list_without_half_of_the_nodes_is_held_back_and_its_drains_are_kept() {
    let mut t = Trace::new(1);
    t.read("twelve", 0, list(1, 0..12, &[]), 0.0);
    t.read("six, one draining", 0, list(2, 0..6, &[(3, Standing::Draining)]), 1.0);
    t.read("the same", 0, list(2, 0..6, &[(3, Standing::Draining)]), 2.0);
    t.due("before its time", 10.9);
    t.read("vanished", 0, nothing("no such file"), 10.95);
    t.due("nobody confirms it", 11.5);
    t.read("there again", 0, list(2, 0..6, &[(3, Standing::Draining)]), 12.0);
    t.due("and is taken", 12.0);
    t.read("twelve again", 0, list(3, 0..12, &[]), 13.0);
    t.read("five", 0, list(4, 0..5, &[]), 14.0);
    t.read("a mistake: whole again", 0, list(5, 0..12, &[]), 15.0);
    t.due("nothing is left of it", 30.0);
    let Found::List { list: six, .. } = list(6, 0..6, &[]) else { unreachable!() };
    t.read("confirmed with a wrong number", 0, Found::List { list: six.clone(), leaves_out: Some(5) }, 31.0);
    let seven = List { generation: 7, ..six };
    t.read("confirmed", 0, Found::List { list: seven, leaves_out: Some(6) }, 32.0);
    let all: Vec<(u16, Standing)> = (0..6).map(|n| (n, Standing::Gone)).collect();
    t.read("all told as gone, by name", 0, list(8, 0..6, &all), 33.0);
    expect![[r#"
        twelve: 1 in force: 12 of 12 ready
        six, one draining: 0 held back, leaves out 6 of 12, until 11 s; 2 in force: 11 of 12 ready
        the same: nothing
        before its time: nothing
        vanished: Vanished { source: 0, why: "no such file" }
        nobody confirms it: nothing
        there again: Back { source: 0 }
        and is taken: Taken { source: 0, left_out: 6 }; 3 in force: 5 of 6 ready
        twelve again: 4 in force: 12 of 12 ready
        five: 0 held back, leaves out 7 of 12, until 24 s
        a mistake: whole again: nothing
        nothing is left of it: nothing
        confirmed with a wrong number: 0 held back, leaves out 6 of 12, until 41 s
        confirmed: Taken { source: 0, left_out: 6 }; 5 in force: 6 of 6 ready
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
        list(1, 2..5, &[(2, Standing::Draining)]),
        1.0,
    );
    t.read("the first has it as ready, in a newer list", 0, list(101, 0..4, &[]), 2.0);
    t.read("an older list of the second", 1, list(0, 2..5, &[]), 3.0);
    t.read("the second takes it back", 1, list(2, 2..5, &[]), 4.0);
    t.read("the second is gone: what it said holds", 1, nothing("no such file"), 5.0);
    let Found::List { list: mut other, .. } = list(3, 2..5, &[]) else { unreachable!() };
    other.entries[0].name = "n0".into();
    t.read("one name for two", 1, Found::List { list: other, leaves_out: None }, 6.0);
    t.read("a source that there is not", 7, list(1, 0..1, &[]), 7.0);
    expect![[r#"
        the first: 1 in force: 4 of 4 ready
        the second drains two it knows, and knows one more: 2 in force: 4 of 5 ready
        the first has it as ready, in a newer list: nothing
        an older list of the second: Refused { source: 1, why: "generation 0 is older than 1, which is in force" }
        the second takes it back: 3 in force: 5 of 5 ready
        the second is gone: what it said holds: Vanished { source: 1, why: "no such file" }
        one name for two: Back { source: 1 }
        a source that there is not: nothing
    "#]].assert_eq(&t.1);
}

#[test]
fn what_was_in_force_survives_a_restart_until_sources_tell_otherwise() {
    let mut before = Watch::new(1, Span::from_secs(10.0));
    before.read(0, list(41, 0..8, &[(1, Standing::Draining)]), at(0.0));
    let kept = before.in_force().unwrap().clone();
    let mut t = Trace::new(1);
    t.0.resume(kept.clone()).unwrap();
    assert_eq!(t.0.in_force(), Some(&kept));
    t.read("the file is not there", 0, nothing("no such file"), 0.0);
    t.read("it has half of them: held back, as by one that never stopped", 0, list(42, 0..4, &[]), 1.0);
    t.read("it has all", 0, list(43, 0..8, &[]), 2.0);
    expect![[r#"
        the file is not there: Vanished { source: 0, why: "no such file" }
        it has half of them: held back, as by one that never stopped: Back { source: 0 }; 0 held back, leaves out 4 of 7, until 11 s
        it has all: 2 in force: 8 of 8 ready
    "#]].assert_eq(&t.1);
}

#[test]
fn any_order_of_reads_keeps_what_watching_promises() {
    for seed in 0..300 {
        let mut random = oorandom::Rand32::new(seed);
        let mut watch = Watch::new(2, Span::from_secs(3.0));
        let mut roster = Roster::default();
        let (mut now, mut generations, mut last) = (0.0, [0u64; 2], 0);
        // What each source last told of a node by name, while it was readable.
        let mut drains: [std::collections::BTreeSet<u16>; 2] = Default::default();
        for _ in 0..120 {
            now += f64::from(random.rand_range(0..20)) / 10.0;
            let source = random.rand_range(0..2) as usize;
            let news = match random.rand_range(0..6) {
                0 => watch.read(source, nothing("gone"), at(now)),
                1 => watch.due(at(now)),
                2 => watch.read(source, list(generations[source].saturating_sub(1), 0..3, &[]), at(now)),
                _ => {
                    generations[source] += 1;
                    let count = random.rand_range(1..16) as u16;
                    let draining = random.rand_range(0..16) as u16;
                    let found = list(generations[source], 0..count, &[(draining, Standing::Draining)]);
                    drains[source].clear();
                    if draining < count {
                        drains[source].insert(draining);
                    }
                    watch.read(source, found, at(now))
                }
            };
            for news in news {
                if let News::InForce(list) = news {
                    assert!(list.generation > last, "seed {seed}: generations rise");
                    last = list.generation;
                    // What is in force is always one that a director takes.
                    assert!(roster.offer(list).is_ok(), "seed {seed}");
                }
            }
            let Some(list) = watch.in_force() else { continue };
            for &n in drains.iter().flatten() {
                let standing = list.entries.iter().find(|e| e.name == format!("n{n}")).map(|e| e.standing);
                assert_ne!(standing, Some(Standing::Ready), "seed {seed}: n{n} drains at {now}");
            }
        }
    }
}

#[test]
fn a_hundred_thousand_nodes_are_read_in_no_time_that_counts() {
    let many = |generation| match list(generation, 0..u16::MAX, &[]) {
        Found::List { list, .. } => list,
        Found::Nothing { .. } => unreachable!(),
    };
    let mut watch = Watch::new(1, Span::from_secs(1.0));
    let begun = std::time::Instant::now();
    watch.read(0, Found::List { list: many(1), leaves_out: None }, at(0.0));
    let mut roster = Roster::default();
    roster.offer(many(1)).unwrap();
    roster.offer(List { generation: 2, entries: many(1).entries[1..].to_vec() }).unwrap();
    // Generous by far: what it guards against is a time that grows with the square.
    assert!(begun.elapsed().as_secs() < 20, "{:?}", begun.elapsed());
    assert_eq!(roster.nodes().filter(|(_, e)| e.standing == Standing::Gone).count(), 1);
}

#[test]
fn a_checksum_tells_a_file_that_was_cut_between_two_boxes() {
    let text = "generation: 1\nbox { name: \"a\" }\nbox { name: \"b\" }\n";
    let sum = checksum(text);
    assert_eq!(checksum(&format!("checksum: \"{sum}\"\n{text}")), sum);
    assert_ne!(checksum("generation: 1\nbox { name: \"a\" }\n"), sum);
    expect!["cdbd4535"].assert_eq(&sum);
}
