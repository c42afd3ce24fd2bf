use expect_test::expect;

use super::*;

fn at(secs: f64) -> Instant {
    Instant::from_ms(secs * 1e3)
}

fn terms(me: usize, directors: usize) -> Terms {
    Terms { me, directors, lease: Span::from_secs(3.0), drift: 0.01, rest: Span::from_secs(2.0) }
}

/// Directors on a network that loses what `cut` says, in steps of a tenth of a second.
struct Net {
    members: Vec<Option<Member>>,
    now: f64,
    processes: u64,
}

impl Net {
    fn new(n: usize) -> Net {
        let members = (0..n).map(|me| Some(Member::start(terms(me, n), me as u64, at(0.0)))).collect();
        Net { members, now: 0.0, processes: 100 }
    }

    fn run(&mut self, secs: f64, cut: &dyn Fn(usize, usize) -> bool) {
        for _ in 0..(secs * 10.0).round() as usize {
            self.now += 0.1;
            let now = at(self.now);
            let mut out: Vec<(usize, usize, Message)> = Vec::new();
            for (me, member) in self.members.iter_mut().enumerate() {
                out.extend(
                    member.iter_mut().flat_map(|m| m.tick(now)).map(|(to, message)| (me, to, message)),
                );
            }
            while let Some((from, to, message)) = out.pop() {
                if cut(from, to) {
                    continue;
                }
                if let Some(member) = &mut self.members[to] {
                    out.extend(member.take(from, &message, now).into_iter().map(|(back, m)| (to, back, m)));
                }
            }
            let mut used = std::collections::BTreeSet::new();
            for member in self.members.iter().flatten() {
                assert!(member.turns(now).into_iter().all(|turn| used.insert(turn)), "at {}", self.now);
            }
        }
    }

    fn tell(&self, what: &str) -> String {
        let turns = self
            .members
            .iter()
            .map(|m| m.as_ref().map_or("down".into(), |m| format!("{:?}", m.turns(at(self.now)))));
        format!("{what}: {}\n", turns.collect::<Vec<_>>().join(" "))
    }

    fn restart(&mut self, me: usize) {
        self.processes += 1;
        let n = self.members.len();
        self.members[me] = Some(Member::start(terms(me, n), self.processes, at(self.now)));
    }
}

const OPEN: &dyn Fn(usize, usize) -> bool = &|_, _| false;

#[test]
fn halves_go_round_as_directors_come_and_go() {
    let mut net = Net::new(3);
    let mut told = net.tell("just started");
    net.run(4.0, OPEN);
    told += &net.tell("nobody grants yet");
    net.run(6.0, OPEN);
    told += &net.tell("all there");
    net.members[2] = None;
    net.run(2.0, OPEN);
    told += &net.tell("one is gone, not long");
    net.run(10.0, OPEN);
    told += &net.tell("its second half is another's");
    net.restart(2);
    net.run(1.0, OPEN);
    told += &net.tell("it is back");
    net.run(12.0, OPEN);
    told += &net.tell("and has its own again");
    net.run(12.0, &|from, to| (from == 0) != (to == 0));
    told += &net.tell("the first is cut off");
    net.run(15.0, &|from, to| (from == 0) != (to == 0));
    told += &net.tell("for long");
    net.run(12.0, OPEN);
    told += &net.tell("together again");
    net.run(20.0, &|_, _| true);
    told += &net.tell("nobody hears anybody");
    expect![[r#"
        just started: [0] [1] [2]
        nobody grants yet: [0] [1] [2]
        all there: [0, 3] [1, 4] [2, 5]
        one is gone, not long: [0, 3] [1, 4] down
        its second half is another's: [0, 3, 5] [1, 4] down
        it is back: [0, 3, 5] [1, 4] [2]
        and has its own again: [0, 3] [1, 4] [2, 5]
        the first is cut off: [0] [1, 3, 4] [2, 5]
        for long: [0] [1, 3, 4] [2, 5]
        together again: [0, 3] [1, 4] [2, 5]
        nobody hears anybody: [0] [1] [2]
    "#]]
    .assert_eq(&told);
}

#[test]
fn one_way_of_a_link_that_is_cut_makes_no_two_users() {
    let mut net = Net::new(4);
    net.run(20.0, OPEN);
    net.run(30.0, &|from, to| from == 1 && to != 1);
    let mut told = net.tell("nobody hears the second, it hears all");
    net.run(30.0, &|from, to| to == 1 && from != 1);
    told += &net.tell("it hears nobody, and all hear it");
    expect![[r#"
        nobody hears the second, it hears all: [0, 4, 5] [1] [2, 6] [3, 7]
        it hears nobody, and all hear it: [0, 4] [1] [2, 6] [3, 7]
    "#]]
    .assert_eq(&told);
}

#[test]
fn any_network_leaves_each_half_to_one() {
    for seed in 0..60 {
        let mut random = oorandom::Rand32::new(seed);
        let n = 2 + random.rand_range(0..6) as usize;
        let mut net = Net::new(n);
        for _ in 0..40 {
            let cut: Vec<bool> = (0..n * n).map(|_| random.rand_range(0..3) == 0).collect();
            net.run(f64::from(random.rand_range(1..30)) / 10.0, &|from, to| cut[from * n + to]);
            let who = random.rand_range(0..n as u32) as usize;
            match random.rand_range(0..6) {
                0 => net.members[who] = None,
                1 => net.restart(who),
                _ => {}
            }
        }
    }
}

#[test]
fn numbers_that_mean_nothing_are_passed_over() {
    let mut member = Member::start(terms(0, 3), 1, at(0.0));
    member.tick(at(0.0));
    let grant = |number, halves: Vec<usize>| Message::Grant { process: 1, number, halves };
    for (from, message) in [
        (0, grant(1, vec![0])),
        (9, grant(1, vec![0])),
        (1, grant(7, vec![0])),
        (1, grant(1, vec![3, 900])),
        (1, Message::Grant { process: 2, number: 1, halves: vec![0] }),
        (1, Message::Ask { process: 5, number: 1, halves: vec![77; 100] }),
    ] {
        member.take(from, &message, at(0.1));
    }
    assert_eq!(member.turns(at(0.2)), [0]);
    member.take(1, &grant(1, vec![0]), at(0.3));
    member.take(2, &grant(1, vec![0]), at(0.3));
    assert_eq!(member.turns(at(0.4)), [0, 3]);
    // Counted from when it was asked, not from when the answer came.
    assert_eq!((member.turns(at(2.9)).len(), member.turns(at(3.0)).len()), (2, 1));
}
