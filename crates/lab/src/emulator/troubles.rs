//! What goes wrong in an emulated day, by the names and meanings of the days on sockets.

use std::time::Duration;

use ashglade_discovery::NodeState;

use crate::day::Kind;
use crate::day::schema::Trouble;

/// One change of the world.
#[derive(Clone, Debug)]
pub enum Change {
    Faults(Vec<usize>, Fault),
    /// A rack's uplink carries so many times less.
    Uplink(Vec<usize>, f64),
    Stop(Vec<usize>),
    Start(Vec<usize>),
    /// Lists tell it so long after.
    Told(Vec<usize>, NodeState, f64),
    /// Lists come so much later than usual.
    Stale(f64),
    DirectorsDown(Vec<usize>),
    DirectorsUp(Vec<usize>),
    /// They stand still for so long.
    Stand(Vec<usize>, f64),
}

#[derive(Clone, Copy, Debug)]
pub enum Fault {
    AnswerLost(bool),
    Hang(bool),
    Errors(f64),
    Resets(f64),
    LinkCut(f64),
    Frozen(bool),
    Delay(f64),
    Queue(f64),
    Keeps(f64),
}

impl Fault {
    pub fn apply(self, faults: &mut ashglade_standin::Faults) {
        match self {
            Fault::AnswerLost(on) => faults.answer_lost = on,
            Fault::Hang(on) => faults.hang = on,
            Fault::Errors(part) => faults.errors = part,
            Fault::Resets(part) => faults.resets = part,
            Fault::LinkCut(by) => faults.link_cut = by,
            Fault::Frozen(on) => faults.reports_frozen = on,
            Fault::Delay(s) => faults.delay = Duration::from_secs_f64(s),
            Fault::Queue(s) => (faults.queue, faults.delay) = (s > 0.0, Duration::from_secs_f64(s)),
            Fault::Keeps(s) => faults.keeps = Duration::from_secs_f64(s),
        }
    }
}

/// How many there are of nodes, racks and directors, and when lists tell of what ended in silence.
pub struct Sizes {
    pub nodes: usize,
    pub racks: usize,
    pub directors: usize,
    pub notice: f64,
    pub silent_notice: f64,
}

/// The changes that a trouble makes, with when.
pub fn changes(trouble: &Trouble, sizes: &Sizes) -> Vec<(f64, Change)> {
    let (at, span) = (trouble.at_s.unwrap_or(0.0), trouble.for_s.unwrap_or(0.0));
    let (size, end) = (trouble.size.unwrap_or(0.0), at + span);
    let all = match trouble.kind() {
        Kind::OriginSlow => sizes.racks,
        Kind::BalancerRoll | Kind::BalancerStall | Kind::PeerDown => sizes.directors,
        _ => sizes.nodes,
    };
    let on: Vec<usize> = match trouble.on.is_empty() {
        true => (0..all).collect(),
        false => trouble.on.iter().map(|&i| i as usize).collect(),
    };
    let while_on = |from: Fault, to: Fault| {
        vec![(at, Change::Faults(on.clone(), from)), (end, Change::Faults(on.clone(), to))]
    };
    let outage = |at: f64, span: f64, silent: bool| {
        let mut list = vec![(at, Change::Stop(on.clone()))];
        if silent && span > sizes.silent_notice {
            list.push((at + sizes.silent_notice, Change::Told(on.clone(), NodeState::Gone, 0.0)));
        }
        list.push((at + span, Change::Start(on.clone())));
        list.push((at + span, Change::Told(on.clone(), NodeState::Ready, 0.0)));
        list
    };
    match trouble.kind() {
        Kind::Unset | Kind::Burst => Vec::new(),
        Kind::AnswerLost => while_on(Fault::AnswerLost(true), Fault::AnswerLost(false)),
        Kind::Hang => while_on(Fault::Hang(true), Fault::Hang(false)),
        Kind::FastErrors => while_on(Fault::Errors(size), Fault::Errors(0.0)),
        Kind::Reset => while_on(Fault::Resets(size), Fault::Resets(0.0)),
        Kind::Slow | Kind::Neighbour => while_on(Fault::LinkCut(size), Fault::LinkCut(1.0)),
        Kind::ReportLate => while_on(Fault::Frozen(true), Fault::Frozen(false)),
        Kind::SlowSetup => while_on(Fault::Delay(size / 1e3), Fault::Delay(0.0)),
        Kind::SetupQueue => while_on(Fault::Queue(size / 1e3), Fault::Queue(0.0)),
        Kind::Keeps => while_on(Fault::Keeps(size), Fault::Keeps(0.0)),
        Kind::OriginSlow => vec![(at, Change::Uplink(on.clone(), size)), (end, Change::Uplink(on, 1.0))],
        Kind::DiscoveryStale => vec![(at, Change::Stale(size)), (end, Change::Stale(0.0))],
        Kind::Ageing => {
            let step = |k: u32| {
                let part = f64::from(k) / 10.0;
                (at + span * (part - 0.1), Change::Faults(on.clone(), Fault::Delay(size / 1e3 * part)))
            };
            (1..=10).map(step).chain(outage(end, 2.0, true)).collect()
        }
        Kind::Vanish => outage(at, span, true),
        Kind::Drain => {
            let mut list = vec![(at, Change::Told(on.clone(), NodeState::Draining, sizes.notice))];
            list.extend(outage(end, 1.0, false));
            list
        }
        Kind::BalancerRoll => {
            let gap = span / on.len().max(1) as f64;
            let one = |(k, &i): (usize, &usize)| {
                let from = at + k as f64 * gap;
                [(from, Change::DirectorsDown(vec![i])), (from + size, Change::DirectorsUp(vec![i]))]
            };
            on.iter().enumerate().flat_map(one).collect()
        }
        Kind::PeerDown => vec![(at, Change::DirectorsDown(on.clone())), (end, Change::DirectorsUp(on))],
        Kind::BalancerStall => vec![(at, Change::Stand(on, span))],
    }
}
