//! Media nodes in simulated time: links and uplinks, places, queues of set-ups, cold starts and falls, as the nodes on
//! sockets have them (`ashglade-standin`).

use std::collections::{BTreeMap, VecDeque};

use ashglade::ids::SessionId;
use ashglade_engine::LoadReport;
use ashglade_standin::node::ColdPace;
use ashglade_standin::{Faults, Spec};

/// A session at a node, by the director that holds it.
pub type Key = (u16, SessionId);

pub struct Node {
    pub spec: Spec,
    pub up: bool,
    pub fallen: bool,
    /// Counts the node's processes: what was under way in an earlier one is void.
    pub process: u32,
    pub faults: Faults,
    pub frozen: Option<LoadReport>,
    started: f64,
    setups: VecDeque<f64>,
    /// When the last set-up in the queue will have been handled.
    busy_until: f64,
    /// kB a second, by session.
    pub streams: BTreeMap<Key, f64>,
    asked: f64,
}

/// What a node makes of a SETUP.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Handled {
    /// Accepted, answered then.
    Ok {
        at: f64,
    },
    /// Accepted, and the answer is lost.
    Unheard,
    Full,
    Fault,
    Reset,
    /// That pushed it over.
    Fell,
}

pub struct Fleet {
    pub all: Vec<Node>,
    pub ladder: Vec<f64>,
    pub uplinks: Vec<f64>,
    pub cuts: Vec<f64>,
    /// kB a second asked behind each rack's uplink, of what its links can carry.
    behind: Vec<f64>,
    cold: ColdPace,
    random: oorandom::Rand64,
}

impl Fleet {
    pub fn new(specs: Vec<Spec>, uplinks: Vec<f64>, ladder: Vec<f64>, cold: ColdPace, seed: u64) -> Fleet {
        let node = |spec| Node {
            spec,
            up: true,
            fallen: false,
            process: 0,
            faults: Faults::default(),
            frozen: None,
            started: f64::NEG_INFINITY,
            setups: VecDeque::new(),
            busy_until: 0.0,
            streams: BTreeMap::new(),
            asked: 0.0,
        };
        Fleet {
            all: specs.into_iter().map(node).collect(),
            ladder,
            cuts: vec![1.0; uplinks.len()],
            behind: vec![0.0; uplinks.len()],
            uplinks,
            cold,
            random: oorandom::Rand64::new(u128::from(seed) << 8 | 0xe7),
        }
    }

    pub fn rate(&self, rung: u8) -> f64 {
        let rung = usize::from(rung).min(self.ladder.len().saturating_sub(1));
        self.ladder.get(rung).copied().unwrap_or(0.0)
    }

    fn link(node: &Node) -> f64 {
        node.spec.link / node.faults.link_cut.max(1.0)
    }

    /// Notes what a node's streams now ask for; `by` is added to it.
    fn ask(&mut self, node: usize, by: f64) {
        let node = &mut self.all[node];
        let carried = |node: &Node| node.asked.min(Self::link(node));
        let before = carried(node);
        node.asked = if node.streams.is_empty() { 0.0 } else { node.asked + by };
        let change = carried(node) - before;
        if let Some(behind) = self.behind.get_mut(node.spec.rack) {
            *behind += change;
        }
    }

    /// Changes what is wrong with a node, and what its rack's uplink is asked for with it.
    pub fn set(&mut self, node: usize, change: impl FnOnce(&mut Faults)) {
        let load = self.load(node);
        let Some(at) = self.all.get_mut(node) else { return };
        let before = at.asked.min(Self::link(at));
        change(&mut at.faults);
        at.frozen = at.faults.reports_frozen.then(|| at.frozen.unwrap_or(load));
        let after = at.asked.min(Self::link(at));
        if let Some(behind) = self.behind.get_mut(at.spec.rack) {
            *behind += after - before;
        }
    }

    pub fn load(&self, node: usize) -> LoadReport {
        let Some(node) = self.all.get(node) else { return LoadReport::default() };
        let uplink = self.uplink_level(node.spec.rack);
        let streams = node.streams.len() as f64;
        let now = LoadReport {
            link: Some(node.asked / Self::link(node)),
            uplink: Some(uplink),
            streams: Some(streams),
        };
        node.frozen.unwrap_or(now)
    }

    fn uplink_level(&self, rack: usize) -> f64 {
        let uplink = self.uplinks.get(rack).copied().unwrap_or(f64::INFINITY);
        self.behind.get(rack).copied().unwrap_or(0.0) / (uplink / self.cuts.get(rack).copied().unwrap_or(1.0))
    }

    /// The share of what is due that its sessions get.
    pub fn share(&self, node: usize) -> f64 {
        let Some(at) = self.all.get(node) else { return 0.0 };
        if !at.up || at.faults.hang {
            return 0.0;
        }
        1.0 / (at.asked / Self::link(at)).max(self.uplink_level(at.spec.rack)).max(1.0)
    }

    /// How full its link is.
    pub fn fill(&self, node: usize) -> f64 {
        self.all.get(node).map_or(0.0, |at| at.asked / Self::link(at))
    }

    /// A SETUP reaches a node that is up.
    pub fn setup(&mut self, now: f64, node: usize, key: Key, rung: u8) -> Handled {
        if self.pushed_over(now, node) {
            self.stop(node);
            self.all[node].fallen = true;
            return Handled::Fell;
        }
        let chance = self.random.rand_float();
        let rate = self.rate(rung);
        let at = &mut self.all[node];
        let faults = &at.faults;
        if chance < faults.resets {
            return Handled::Reset;
        }
        if chance < faults.resets + faults.errors {
            return Handled::Fault;
        }
        let full = at.streams.len() >= at.spec.places || (at.spec.guard && at.asked >= Self::link(at));
        if full {
            return Handled::Full;
        }
        let mut done = now + faults.delay.as_secs_f64();
        if faults.queue {
            done = now.max(at.busy_until) + faults.delay.as_secs_f64();
            at.busy_until = done;
        }
        let lost = faults.answer_lost || faults.hang;
        at.streams.insert(key, rate);
        self.ask(node, rate);
        if lost { Handled::Unheard } else { Handled::Ok { at: done } }
    }

    /// A further track is set up: it takes its turn as well.
    pub fn further(&mut self, now: f64, node: usize) {
        if let Some(at) = self.all.get_mut(node).filter(|at| at.faults.queue) {
            at.busy_until = now.max(at.busy_until) + at.faults.delay.as_secs_f64();
        }
    }

    fn pushed_over(&mut self, now: f64, node: usize) -> bool {
        let cold = self.cold;
        let at = &mut self.all[node];
        let part = (now - at.started) / cold.warm_after;
        if part >= 1.0 {
            return false;
        }
        while at.setups.front().is_some_and(|&then| now - then > cold.span) {
            at.setups.pop_front();
        }
        at.setups.push_back(now);
        let pace = at.spec.places as f64 / cold.warm_after;
        let present = pace * (cold.from + (1.0 - cold.from) * part);
        at.setups.len() as f64 > cold.multiple * present * cold.span + 1.0
    }

    pub fn end(&mut self, node: usize, key: Key) -> bool {
        let Some(rate) = self.all.get_mut(node).and_then(|at| at.streams.remove(&key)) else { return false };
        self.ask(node, -rate);
        true
    }

    pub fn rung(&mut self, node: usize, key: Key, rung: u8) {
        let rate = self.rate(rung);
        let Some(old) = self.all.get_mut(node).and_then(|at| at.streams.get_mut(&key)) else { return };
        let change = rate - std::mem::replace(old, rate);
        self.ask(node, change);
    }

    /// The process ends; the sessions that it held.
    pub fn stop(&mut self, node: usize) -> Vec<Key> {
        let Some(at) = self.all.get_mut(node) else { return Vec::new() };
        (at.up, at.process) = (false, at.process + 1);
        let held = std::mem::take(&mut at.streams).into_keys().collect();
        self.ask(node, 0.0);
        held
    }

    /// It starts again, cold; one that was pushed over stays down.
    pub fn start(&mut self, now: f64, node: usize) {
        let Some(at) = self.all.get_mut(node).filter(|at| !at.fallen) else { return };
        (at.up, at.started, at.busy_until, at.faults) = (true, now, now, Faults::default());
        at.setups.clear();
    }
}
