//! Simulated directors with clocks of different rates, and a check in true time that no two of them use one
//! permit. The check looks at the permits that each director holds, not at the messages.

use std::collections::BTreeMap;

use ashglade::time::{Instant, Span};
use ashglade_shared::rights::{Message, Rights};
use ashglade_shared::{Defect, Pool, Terms};

pub const DRIFT: f64 = 0.1;
pub const LEASE: f64 = 3000.0;
pub const REST: f64 = 1000.0;

pub fn terms(me: usize, directors: usize, zones: u8, defect: Option<Defect>) -> Terms {
    let ms = Span::from_ms;
    Terms {
        me,
        zones: (0..directors).map(|d| (d % usize::from(zones)) as u8).collect(),
        council: 5,
        lease: ms(LEASE),
        drift: DRIFT,
        rest: ms(REST),
        pools: vec![Pool { kept: 1, lent: directors, always: false }],
        fade: ms(10_000.0),
        gossip: ms(200.0),
        seed: 7,
        defect,
    }
}

#[derive(Clone)]
pub struct World {
    pub members: Vec<Rights>,
    /// Rate of each director's clock against true time.
    pub rates: Vec<f64>,
    pub now: f64,
    pub zones: u8,
    pub defect: Option<Defect>,
    /// By permit: the director that last held it, and the true time in milliseconds when it was last seen to.
    used: BTreeMap<usize, (usize, f64)>,
    pub processes: u64,
    pub most_held: usize,
}

impl World {
    pub fn new(rates: Vec<f64>, zones: u8, defect: Option<Defect>) -> World {
        let n = rates.len();
        let start = |me| Rights::start(terms(me, n, zones, defect), me as u64 + 1, Instant::from_ms(0.0));
        let members = (0..n).map(start).collect();
        let (now, used, processes, most_held) = (0.0, BTreeMap::new(), 100, 0);
        World { members, rates, now, zones, defect, used, processes, most_held }
    }

    pub fn clock(&self, of: usize) -> Instant {
        Instant::from_ms(self.now * self.rates[of])
    }

    pub fn restart(&mut self, who: usize) {
        self.processes += 1;
        let terms = terms(who, self.members.len(), self.zones, self.defect);
        self.members[who] = Rights::start(terms, self.processes, self.clock(who));
        self.members[who].need(0, 1);
    }

    pub fn tick(&mut self, who: usize) -> Vec<(usize, Message)> {
        let now = self.clock(who);
        self.members[who].tick(now)
    }

    pub fn take(&mut self, from: usize, to: usize, message: &Message) -> Option<(usize, Message)> {
        let now = self.clock(to);
        self.members[to].take(from, message, now)
    }

    pub fn held(&self, who: usize) -> Vec<usize> {
        self.members[who].held(0, self.clock(who)).rights
    }

    /// Checks the permits held by each director, `since` milliseconds after the previous check. The guard
    /// interval must have passed between two holders of a permit.
    pub fn look(&mut self, since: f64) -> Result<(), String> {
        let n = self.members.len();
        let mut all = 0;
        for me in 0..n {
            for right in self.held(me) {
                all += 1;
                if right < n {
                    if right != me {
                        return Err(format!("{me} uses what {right} keeps"));
                    }
                    continue;
                }
                if let Some(&(by, until)) = self.used.get(&right)
                    && by != me
                    && self.now - until < REST - since
                {
                    let now = self.now;
                    return Err(format!(
                        "right {right} was used by {by} until {until:.0} and by {me} at {now:.0}"
                    ));
                }
                self.used.insert(right, (me, self.now));
            }
        }
        self.most_held = self.most_held.max(all);
        if all > 2 * n { Err(format!("{all} rights are held, {} there are", 2 * n)) } else { Ok(()) }
    }
}
