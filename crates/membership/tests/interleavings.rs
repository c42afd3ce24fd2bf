//! An exhaustive search: three directors whose clocks run too fast, too slow or well; in each of several steps any of them is
//! cut off or starts again, and messages come at once, a step late, or never. Each order of those is gone through, and in none
//! do two use one half at once, nor within the rest after one another.

use ashglade::time::{Instant, Span};
use ashglade_membership::{Member, Message, Terms};

const N: usize = 3;
const DRIFT: f64 = 0.1;
/// True time of a step, in ms, a little over a third of the lease: each has asked once in it.
const STEP: f64 = 1200.0;
const LEASE: f64 = 3000.0;
const REST: f64 = 1000.0;
/// Looks at who uses what in a step.
const LOOKS: usize = 6;

#[derive(Clone)]
struct World {
    members: Vec<Member>,
    /// How fast each clock runs.
    rates: [f64; N],
    now: f64,
    /// On their way, a step late.
    late: Vec<(usize, usize, Message)>,
    /// By half: who used it last, and until when.
    used: [Option<(usize, f64)>; N],
    processes: u64,
}

/// What a step brings.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    Well,
    /// Everything comes a step late.
    Late,
    /// This one is cut off, or it hears and is not heard.
    Cut(usize),
    Mute(usize),
    /// It starts again.
    Restart(usize),
}

impl World {
    fn new(rates: [f64; N]) -> World {
        let members = (0..N).map(|me| Member::start(terms(me), me as u64, Instant::from_ms(0.0))).collect();
        World { members, rates, now: 0.0, late: Vec::new(), used: [None; N], processes: 10 }
    }

    fn clock(&self, of: usize) -> Instant {
        Instant::from_ms(self.now * self.rates[of])
    }

    fn step(&mut self, fate: Fate) -> Result<(), String> {
        if let Fate::Restart(who) = fate {
            self.processes += 1;
            self.members[who] = Member::start(terms(who), self.processes, self.clock(who));
        }
        let lost = |from: usize, to: usize| match fate {
            Fate::Cut(who) => from == who || to == who,
            Fate::Mute(who) => from == who,
            _ => false,
        };
        for look in 0..LOOKS {
            self.now += STEP / LOOKS as f64;
            let mut out = if look == 0 { std::mem::take(&mut self.late) } else { Vec::new() };
            for me in 0..N {
                let now = self.clock(me);
                out.extend(self.members[me].tick(now).into_iter().map(|(to, message)| (me, to, message)));
            }
            while let Some((from, to, message)) = out.pop() {
                if lost(from, to) {
                    continue;
                }
                if fate == Fate::Late && self.late.len() < 12 {
                    self.late.push((from, to, message));
                    continue;
                }
                let now = self.clock(to);
                let answers = self.members[to].take(from, &message, now);
                out.extend(answers.into_iter().map(|(back, message)| (to, back, message)));
            }
            self.look()?;
        }
        Ok(())
    }

    fn look(&mut self) -> Result<(), String> {
        for me in 0..N {
            for turn in self.members[me].turns(self.clock(me)) {
                let Some(half) = turn.checked_sub(N) else {
                    if turn != me {
                        return Err(format!("{me} uses the first half of {turn}"));
                    }
                    continue;
                };
                if let Some((by, until)) = self.used[half]
                    && by != me
                    && self.now - until < REST - STEP / LOOKS as f64
                {
                    return Err(format!(
                        "half {half} was used by {by} until {until} and by {me} at {}",
                        self.now
                    ));
                }
                self.used[half] = Some((me, self.now));
            }
        }
        Ok(())
    }
}

fn terms(me: usize) -> Terms {
    let ms = Span::from_ms;
    Terms { me, directors: N, lease: ms(LEASE), drift: DRIFT, rest: ms(REST) }
}

fn search(world: &World, depth: usize, path: &mut Vec<Fate>, count: &mut usize) {
    if depth == 0 {
        return;
    }
    // By symmetry of what they do the first is cut off and the second muted; any may start again.
    let fates = [
        Fate::Well,
        Fate::Late,
        Fate::Cut(0),
        Fate::Cut(1),
        Fate::Mute(1),
        Fate::Restart(0),
        Fate::Restart(2),
    ];
    for fate in fates {
        let mut next = world.clone();
        path.push(fate);
        *count += 1;
        if let Err(what) = next.step(fate) {
            panic!("{what}, by {path:?} with clocks {:?}", world.rates);
        }
        search(&next, depth - 1, path, count);
        path.pop();
    }
}

#[test]
fn no_order_of_cuts_delays_and_restarts_has_two_use_one_half() {
    let (slow, fast) = (1.0 - DRIFT, 1.0 + DRIFT);
    let mut count = 0;
    for rates in [[1.0, 1.0, 1.0], [slow, fast, 1.0], [fast, slow, slow], [slow, fast, fast]] {
        // Long enough that all hold what is theirs, or that one has been silent and its half is another's.
        for before in [vec![Fate::Well; 8], [vec![Fate::Well; 8], vec![Fate::Cut(0); 8]].concat()] {
            let mut world = World::new(rates);
            for fate in before {
                world.step(fate).unwrap();
            }
            let holds = (0..N).map(|me| world.members[me].turns(world.clock(me)).len()).sum::<usize>();
            assert!(holds >= 5, "halves are in use: {holds}");
            search(&world, 5, &mut Vec::new(), &mut count);
        }
    }
    assert_eq!(count, 8 * (7 + 49 + 343 + 2401 + 16807));
}
