//! Gossip in a simulated fleet: rounds and bytes until all directors know a report, a director that restarts,
//! and a network partition and its end.

use std::collections::VecDeque;

use ashglade::time::{Instant, Span};
use ashglade_shared::{Member, Pool, Terms, Verdict, Word};

const ROUND: f64 = 200.0;

fn terms(me: usize, directors: usize) -> Terms {
    Terms {
        me,
        zones: (0..directors).map(|d| (d % 3) as u8).collect(),
        council: 9,
        lease: Span::from_ms(3000.0),
        drift: 0.01,
        rest: Span::from_ms(1000.0),
        pools: vec![Pool { kept: 1, lent: directors, always: true }],
        fade: Span::from_ms(600_000.0),
        gossip: Span::from_ms(ROUND),
        seed: 5 + me as u64,
        defect: None,
    }
}

struct Fleet {
    members: Vec<Member>,
    ms: f64,
    /// Directors that neither send nor receive anything.
    cut: Vec<bool>,
    bytes: usize,
    longest: usize,
}

impl Fleet {
    fn new(directors: usize) -> Fleet {
        let start = |me| Member::start(terms(me, directors), 1000, Instant::from_ms(0.0));
        let members = (0..directors).map(start).collect();
        Fleet { members, ms: 0.0, cut: vec![false; directors], bytes: 0, longest: 0 }
    }

    fn now(&self) -> Instant {
        Instant::from_ms(self.ms)
    }

    fn round(&mut self) {
        self.ms += ROUND;
        let now = self.now();
        let mut out: VecDeque<Word> = self.members.iter_mut().flat_map(|member| member.tick(now)).collect();
        while let Some(word) = out.pop_front() {
            let size = postcard::to_allocvec(&word).unwrap().len();
            (self.bytes, self.longest) = (self.bytes + size, self.longest.max(size));
            let (from, to) = (usize::from(word.from), usize::from(word.to));
            if !self.cut[from] && !self.cut[to] {
                out.extend(self.members[to].take(&word, now));
            }
        }
    }

    fn know(&self) -> usize {
        self.members.iter().filter(|member| member.words(self.now()).count() > 0).count()
    }

    /// Runs rounds until `count` directors have a report, and returns their number.
    fn until(&mut self, know: usize) -> usize {
        let mut rounds = 0;
        while self.know() < know {
            self.round();
            rounds += 1;
            assert!(rounds < 1000, "{} of {know} know", self.know());
        }
        rounds
    }
}

#[test]
fn a_word_reaches_all_in_rounds_that_grow_as_the_log_of_the_fleet() {
    let rounds = [9, 30, 100, 300].map(|directors| {
        let mut fleet = Fleet::new(directors);
        (0..20).for_each(|_| fleet.round());
        let now = fleet.now();
        fleet.members[4].saw(7, Verdict::Silent, now);
        fleet.until(directors)
    });
    expect_test::expect![[r#"
        rounds: [4, 5, 8, 9]
    "#]]
    .assert_eq(&format!("rounds: {rounds:?}\n"));
}

#[test]
fn one_that_comes_back_knowing_nothing_catches_up_in_a_few_rounds() {
    let mut fleet = Fleet::new(100);
    fleet.cut[9] = true;
    for node in 0..40 {
        let now = fleet.now();
        fleet.members[(node * 7) as usize % 9].saw(node, Verdict::Failing, now);
        fleet.round();
    }
    (0..100).for_each(|_| fleet.round());
    let all = fleet.members[0].words(fleet.now()).count();
    // It restarts long after the others stopped pushing the reports.
    let now = fleet.now();
    fleet.members[9] = Member::start(terms(9, 100), 2000, now);
    fleet.cut[9] = false;
    let mut rounds = 0;
    while fleet.members[9].words(fleet.now()).count() < all {
        fleet.round();
        rounds += 1;
        assert!(rounds < 100);
    }
    expect_test::expect![[r#"
        40 words in 15 rounds
    "#]]
    .assert_eq(&format!("{all} words in {rounds} rounds\n"));
}

#[test]
fn messages_are_bounded_however_much_there_is_to_tell() {
    let mut fleet = Fleet::new(30);
    for node in 0..3000 {
        let now = fleet.now();
        fleet.members[node as usize % 30].saw(node, Verdict::Failing, now);
    }
    (0..50).for_each(|_| fleet.round());
    assert!(fleet.longest < 4096, "{} bytes", fleet.longest);
    let a_second = fleet.bytes as f64 / 30.0 / (fleet.ms / 1e3);
    assert!(a_second < 65_536.0, "{a_second:.0} bytes a second by each");
}

#[test]
fn one_that_hears_nothing_goes_on_with_what_it_keeps_and_what_it_saw() {
    let mut fleet = Fleet::new(9);
    (0..40).for_each(|_| fleet.round());
    let held = |fleet: &Fleet| fleet.members[3].view(fleet.now(), Span::ZERO).held[0].rights.clone();
    let before = held(&fleet);
    fleet.cut[3] = true;
    let now = fleet.now();
    [1, 2, 4, 5].iter().for_each(|&d| fleet.members[d].saw(7, Verdict::Failing, now));
    (0..20).for_each(|_| fleet.round());
    let (alone, left) = (held(&fleet), fleet.members[3].view(fleet.now(), Span::ZERO).left.len());
    let others = fleet.members[0].view(fleet.now(), Span::ZERO).left.len();
    fleet.cut[3] = false;
    (0..40).for_each(|_| fleet.round());
    let healed = (held(&fleet), fleet.members[3].view(fleet.now(), Span::ZERO).left.len());
    expect_test::expect![[r#"
        held [3, 12], alone [3] and leaves 0 where others leave 1; healed ([3, 12], 1)
    "#]]
    .assert_eq(&format!(
        "held {before:?}, alone {alone:?} and leaves {left} where others leave {others}; healed {healed:?}\n"
    ));
}
