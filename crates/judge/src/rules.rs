//! The rules, each from the sights alone.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;

use crate::sights::{Care, Group, Plan, Reach, Traffic, What};

/// One breach: where and when.
#[derive(Clone, Debug, PartialEq)]
pub struct Broken {
    pub at: f64,
    pub what: String,
}

/// What was found on one rule.
#[derive(Clone, Debug)]
pub struct Finding {
    pub rule: u8,
    pub name: &'static str,
    pub counts: String,
    pub broken: Vec<Broken>,
}

#[derive(Clone, Debug)]
pub struct Verdict {
    pub findings: Vec<Finding>,
    /// Utility answered within the start target over utility asked for.
    pub service: f64,
    pub viewers: usize,
    /// By service group: its name, the part of its viewers answered in time, and how many they were.
    pub groups: Vec<(String, f64, usize)>,
}

impl Verdict {
    /// A day without a request proves nothing.
    pub fn held(&self) -> bool {
        self.viewers > 0 && self.findings.iter().all(|f| f.broken.is_empty())
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for finding in &self.findings {
            let word = if finding.broken.is_empty() { "held" } else { "BROKEN" };
            writeln!(f, "rule {} {word:6} {}: {}", finding.rule, finding.name, finding.counts)?;
            for broken in finding.broken.iter().take(5) {
                writeln!(f, "    {:.0} ms: {}", broken.at, broken.what)?;
            }
            if finding.broken.len() > 5 {
                writeln!(f, "    and {} more", finding.broken.len() - 5)?;
            }
        }
        writeln!(
            f,
            "service {:.3} (utility answered within the start target) of {} viewers",
            self.service, self.viewers
        )?;
        let groups = self.groups.iter().map(|(name, part, of)| format!("{name} {part:.3} of {of}"));
        writeln!(f, "groups  {}", groups.collect::<Vec<_>>().join(", "))
    }
}

/// A request as its viewer saw it.
struct Request<'a> {
    at: f64,
    director: u16,
    group: Option<&'a Group>,
    title: &'a str,
    setup_timeout: f64,
    answers: Vec<(f64, u16)>,
    /// When it closed without an answer, and whether its setup timeout had passed.
    gave_up: Option<(f64, bool)>,
    cut: Option<f64>,
    setups: Vec<usize>,
}

/// A SETUP as its node saw it.
struct Setup<'a> {
    at: f64,
    node: &'a str,
    viewer: (u64, u32),
    lowest: u8,
    answered: Option<(f64, u16)>,
    closed: Option<f64>,
}

impl Setup<'_> {
    /// Until when it was out: its answer, or the end of its connection.
    fn out_until(&self) -> f64 {
        let answered = self.answered.map_or(f64::INFINITY, |(at, _)| at);
        answered.min(self.closed.unwrap_or(f64::INFINITY))
    }

    /// Turned away unseen, it never ran.
    fn never_ran(&self) -> bool {
        matches!(self.answered, Some((_, 404 | 453 | 503)))
    }
}

type Requests<'a> = BTreeMap<(u64, u32), Request<'a>>;

/// Judges a day.
pub fn judge(traffic: &Traffic) -> Verdict {
    let plan = &traffic.plan;
    let mut requests: Requests = BTreeMap::new();
    let mut setups: Vec<Setup> = Vec::new();
    let mut on: BTreeMap<(&str, u64), usize> = BTreeMap::new();
    for sight in &traffic.sights {
        let at = sight.at;
        match &sight.what {
            What::Asked { viewer, again, director, group, title, setup_timeout } => {
                let group = plan.groups.iter().find(|g| g.name == *group);
                let request = Request {
                    at,
                    director: *director,
                    group,
                    title,
                    setup_timeout: *setup_timeout,
                    answers: Vec::new(),
                    gave_up: None,
                    cut: None,
                    setups: Vec::new(),
                };
                requests.insert((*viewer, *again), request);
            }
            What::Answered { viewer, again, status } => {
                if let Some(request) = requests.get_mut(&(*viewer, *again)) {
                    request.answers.push((at, *status));
                }
            }
            What::GaveUp { viewer, again, patient } => {
                if let Some(request) = requests.get_mut(&(*viewer, *again)) {
                    request.gave_up = Some((at, *patient));
                }
            }
            What::Cut { viewer, again } => {
                if let Some(request) = requests.get_mut(&(*viewer, *again)) {
                    request.cut = Some(at);
                }
            }
            What::Setup { node, connection, viewer, again, rung, .. } => {
                on.insert((node, *connection), setups.len());
                if let Some(request) = requests.get_mut(&(*viewer, *again)) {
                    request.setups.push(setups.len());
                }
                let (viewer, rung) = ((*viewer, *again), *rung);
                setups.push(Setup { at, node, viewer, lowest: rung, answered: None, closed: None });
            }
            What::SetupAnswered { node, connection, status } => {
                if let Some(&i) = on.get(&(node.as_str(), *connection)) {
                    setups[i].answered = Some((at, *status));
                }
            }
            What::Closed { node, connection } => {
                if let Some(i) = on.remove(&(node.as_str(), *connection)) {
                    setups[i].closed = setups[i].closed.or(Some(at));
                }
            }
            What::Withdrawn { node, viewer, again } => {
                // Its node may hear of it only later, or never.
                let out =
                    |s: &&mut Setup| s.node == node && s.viewer == (*viewer, *again) && s.closed.is_none();
                if let Some(setup) = setups.iter_mut().rev().find(out) {
                    setup.closed = Some(at);
                }
            }
            What::Switched { node, connection, rung } => {
                if let Some(&i) = on.get(&(node.as_str(), *connection)) {
                    setups[i].lowest = setups[i].lowest.min(*rung);
                }
            }
            _ => {}
        }
    }
    let mut findings = vec![
        lost(traffic, &requests),
        twice(plan, &requests, &setups),
        drains(traffic, &requests, &setups),
        cold(traffic, &setups),
        terms(plan, &requests, &setups),
        ration(plan, &requests, &setups),
    ];
    if let Some(terms) = &plan.shared {
        let further = requests.values().flat_map(|request| {
            let later =
                request.setups.iter().skip(1).map(|&i| (setups[i].at, setups[i].node, request.director));
            later.collect::<Vec<_>>()
        });
        findings.extend(crate::shared::judge(terms, plan.slack, further.collect(), &traffic.sights));
    }
    let (service, viewers) = service(&requests, |_| true);
    let group = |group: &Group| {
        let (service, viewers) = self::service(&requests, |other| other.name == group.name);
        (group.name.clone(), service, viewers)
    };
    let groups = plan.groups.iter().map(group).filter(|(.., viewers)| *viewers > 0).collect();
    Verdict { findings, service, viewers, groups }
}

/// Rule 1: each request of a running director has exactly one answer before its setup timeout.
fn lost(traffic: &Traffic, requests: &Requests) -> Finding {
    let mut broken = Vec::new();
    // A director that was killed, or stood still, was not running.
    let stops: Vec<(u16, f64, f64)> = traffic
        .sights
        .iter()
        .filter_map(|sight| match sight.what {
            What::DirectorKilled { director } => {
                let again = |s: &&crate::Sight| {
                    s.at > sight.at
                        && matches!(s.what, What::DirectorStarted { director: d } if d == director)
                };
                let until = traffic.sights.iter().find(again).map_or(sight.at, |s| s.at);
                Some((director, sight.at, until + traffic.plan.slack))
            }
            What::DirectorStood { director, from } => Some((director, from, sight.at)),
            _ => None,
        })
        .collect();
    let (mut plays, mut busy, mut failed, mut left, mut excused) = (0, 0, 0, 0, 0);
    for (&(viewer, again), request) in requests {
        let ends = request.at + request.setup_timeout;
        let stopped = stops
            .iter()
            .any(|&(director, from, to)| director == request.director && from <= ends && to >= request.at);
        let who = format!("viewer {viewer} try {again} at director {}", request.director);
        match request.answers.as_slice() {
            [(at, status)] => {
                match status {
                    200 => plays += 1,
                    503 | 453 => busy += 1,
                    _ => failed += 1,
                }
                if *at > ends && !stopped {
                    let late = at - ends;
                    broken.push(Broken {
                        at: *at,
                        what: format!("{who} answered {late:.0} ms after its setup timeout"),
                    });
                }
            }
            [] if request.gave_up.is_some_and(|(_, patient)| !patient) => left += 1,
            [] if stopped => excused += 1,
            [] => {
                let at = request.cut.or(request.gave_up.map(|(at, _)| at)).unwrap_or(ends);
                let how = if request.cut.is_some() { "cut off without an answer" } else { "never answered" };
                broken.push(Broken { at, what: format!("{who} was {how}") });
            }
            [_, (at, _), ..] => {
                broken.push(Broken { at: *at, what: format!("{who} had {} answers", request.answers.len()) })
            }
        }
    }
    let counts = format!(
        "{} requests: {plays} play, {busy} busy, {failed} torn down, {left} left before, {excused} at directors that \
         were stopped",
        requests.len()
    );
    Finding { rule: 1, name: "no session is lost", counts, broken }
}

/// Rule 2: never two SETUPs out for a session, and none sent again, or refused, that may have run and must not be.
fn twice(plan: &Plan, requests: &Requests, setups: &[Setup]) -> Finding {
    let mut broken = Vec::new();
    let mut further = 0;
    for (&(viewer, again), request) in requests {
        let Some(group) = request.group else { continue };
        let who = format!("viewer {viewer} try {again}");
        let mut doubt: Option<&Setup> = None;
        for (k, &i) in request.setups.iter().enumerate() {
            let setup = &setups[i];
            further += usize::from(k > 0);
            if let Some(&before) =
                request.setups[..k].iter().find(|&&j| setups[j].out_until() > setup.at + plan.slack)
            {
                let node = setups[before].node;
                broken.push(Broken {
                    at: setup.at,
                    what: format!("{who} has SETUPs out at {node} and {} at once", setup.node),
                });
            }
            if let Some(first) = doubt
                && !may_repeat(plan, group, first, setup)
            {
                broken.push(Broken {
                    at: setup.at,
                    what: format!(
                        "{who} of {} set up again at {}, may have run at {}",
                        group.name, setup.node, first.node
                    ),
                });
            }
            doubt = doubt.or((!setup.never_ran()).then_some(setup));
        }
        let refused = request.answers.iter().find(|(_, status)| matches!(status, 453 | 503));
        if let (Some(&(at, _)), Some(first), Care::Fragile) = (refused, doubt, group.care) {
            broken
                .push(Broken { at, what: format!("{who} refused though it may have run at {}", first.node) });
        }
    }
    let counts = format!("{} SETUPs, {further} beyond a session's first", setups.len());
    Finding { rule: 2, name: "no set-up happens twice", counts, broken }
}

fn may_repeat(plan: &Plan, group: &Group, first: &Setup, next: &Setup) -> bool {
    let place = |name: &str| plan.nodes.iter().find(|n| n.name == name);
    match group.care {
        Care::Safe => true,
        Care::Fragile => false,
        Care::Dedup => {
            let near = match (group.reach, place(first.node), place(next.node)) {
                (Reach::Anywhere, ..) => true,
                (Reach::SameZone, Some(a), Some(b)) => a.zone == b.zone,
                (Reach::SameCell, Some(a), Some(b)) => a.cell == b.cell,
                _ => false,
            };
            near && next.at - first.at <= group.repeat_window + plan.slack
        }
    }
}

/// Rule 3: nothing new at a node later than the grace after the director was told.
fn drains(traffic: &Traffic, requests: &Requests, setups: &[Setup]) -> Finding {
    let grace = traffic.plan.drain_grace;
    // By director and node: since when it is told as not ready, if it is.
    let mut told: BTreeMap<(u16, &str), Vec<(f64, bool)>> = BTreeMap::new();
    for sight in &traffic.sights {
        if let What::Listed { director, node, ready } = &sight.what {
            told.entry((*director, node)).or_default().push((sight.at, *ready));
        }
    }
    let drained = told.values().flatten().filter(|(_, ready)| !ready).count();
    let mut broken = Vec::new();
    let mut latest: f64 = 0.0;
    for setup in setups {
        let Some(director) = requests.get(&setup.viewer).map(|request| request.director) else { continue };
        let words = told.get(&(director, setup.node)).map_or(&[][..], Vec::as_slice);
        let last = words.iter().rev().find(|(at, _)| *at <= setup.at);
        if let Some(&(at, false)) = last {
            let late = setup.at - at;
            latest = latest.max(late);
            if late > grace {
                let (viewer, again) = setup.viewer;
                broken.push(Broken {
                    at: setup.at,
                    what: format!(
                        "viewer {viewer} try {again} set up at {} {late:.0} ms after director {director} was told",
                        setup.node
                    ),
                });
            }
        }
    }
    let counts = format!(
        "{drained} drains or losses told, the last SETUP {latest:.0} ms after one, {grace:.0} allowed"
    );
    Finding { rule: 3, name: "drains are kept", counts, broken }
}

/// Rule 4: within any span a cold node is sent less than the multiple of its present pace.
fn cold(traffic: &Traffic, setups: &[Setup]) -> Finding {
    let plan = &traffic.plan;
    let mut started: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    let mut broken = Vec::new();
    for sight in &traffic.sights {
        match &sight.what {
            What::NodeStarted { node } => started.entry(node).or_default().push(sight.at),
            What::NodeFell { node } => {
                broken.push(Broken { at: sight.at, what: format!("{node} was pushed over") });
            }
            _ => {}
        }
    }
    let (mut seen, mut fullest) = (0, 0.0f64);
    for node in &plan.nodes {
        for &start in started.get(node.name.as_str()).into_iter().flatten() {
            let mut window: VecDeque<f64> = VecDeque::new();
            for setup in setups.iter().filter(|s| s.node == node.name) {
                let age = setup.at - start;
                if !(0.0..plan.warm_after).contains(&age) {
                    continue;
                }
                seen += 1;
                window.push_back(setup.at);
                while window.front().is_some_and(|&at| at < setup.at - plan.fall_span) {
                    window.pop_front();
                }
                let warmth = plan.cold_from + (1.0 - plan.cold_from) * age / plan.warm_after;
                let pace = node.places / plan.warm_after * warmth;
                // One more, for chance: arrivals are whole.
                let allowed = plan.fall_multiple * pace * plan.fall_span + 1.0;
                fullest = fullest.max(window.len() as f64 / allowed);
                if window.len() as f64 > allowed {
                    broken.push(Broken {
                        at: setup.at,
                        what: format!("{} was sent {} SETUPs, {allowed:.1} allowed", node.name, window.len()),
                    });
                }
            }
        }
    }
    let starts: usize = started.values().map(Vec::len).sum();
    let counts = format!(
        "{starts} starts, {seen} SETUPs at cold nodes, {:.0}% of what one stands at most",
        fullest * 100.0
    );
    Finding { rule: 4, name: "a cold media node is not pushed over", counts, broken }
}

/// Rule 5: no rung under the floor, no more sessions of one title and group at one director than its seats.
fn terms(plan: &Plan, requests: &Requests, setups: &[Setup]) -> Finding {
    let mut broken = Vec::new();
    let mut most = 0;
    for setup in setups {
        if let Some(group) = requests.get(&setup.viewer).and_then(|r| r.group)
            && setup.lowest < group.floor
        {
            let (viewer, again) = setup.viewer;
            let what = format!(
                "viewer {viewer} try {again} of {} at rung {}, under its floor",
                group.name, setup.lowest
            );
            broken.push(Broken { at: setup.at, what });
        }
    }
    for group in plan.groups.iter().filter(|g| g.seats > 0) {
        // Times at which a seat is taken and given back. One is given back when the node has said no or the
        // session is over there.
        let mut seats: BTreeMap<(u16, &str), Vec<(f64, i64)>> = BTreeMap::new();
        for setup in setups {
            let Some(request) = requests.get(&setup.viewer) else { continue };
            if request.group.is_some_and(|g| g.name == group.name) {
                let refused = setup.answered.filter(|(_, status)| *status != 200).map(|(at, _)| at);
                let end = refused.or(setup.closed).unwrap_or(f64::INFINITY);
                let list = seats.entry((request.director, request.title)).or_default();
                list.extend([(setup.at, 1), ((end - plan.slack).max(setup.at), -1)]);
            }
        }
        for ((director, title), mut changes) in seats {
            changes.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            let mut taken = 0;
            for (at, change) in changes {
                taken += change;
                most = most.max(taken);
                if taken > group.seats as i64 {
                    let what =
                        format!("director {director} holds {taken} sessions of {title} for {}", group.name);
                    broken.push(Broken { at, what });
                }
            }
        }
    }
    let counts =
        format!("{} SETUPs looked at for floors, {most} seats of one title taken at most", setups.len());
    Finding { rule: 5, name: "terms are kept", counts, broken }
}

/// Rule 6: in any span one director's SETUPs beyond a session's first stay within the budget.
fn ration(plan: &Plan, requests: &Requests, setups: &[Setup]) -> Finding {
    let name = "further SETUPs stay within the budget";
    let Some((free, per_session, span)) = plan.ration else {
        return Finding { rule: 6, name, counts: "no budget is set".into(), broken: Vec::new() };
    };
    let mut broken = Vec::new();
    let mut fullest = 0.0f64;
    let mut taken: BTreeMap<u16, Vec<f64>> = BTreeMap::new();
    let mut further: BTreeMap<u16, Vec<f64>> = BTreeMap::new();
    for request in requests.values() {
        taken.entry(request.director).or_default().push(request.at);
        let later = request.setups.iter().skip(1).map(|&i| setups[i].at);
        further.entry(request.director).or_default().extend(later);
    }
    for (director, mut times) in further {
        times.sort_by(f64::total_cmp);
        let taken = taken.get(&director).map_or(&[][..], Vec::as_slice);
        for (i, &at) in times.iter().enumerate() {
            let within = |t: &&f64| **t > at - span && **t <= at;
            let made = times[..=i].iter().filter(within).count() as f64;
            // Requests of the last moment may have been counted on either side of the window's edge.
            let sessions = taken.iter().filter(|&&t| t > at - span - plan.slack && t <= at).count() as f64;
            let allowed = free + per_session * sessions;
            fullest = fullest.max(made / allowed.max(1e-9));
            if made > allowed {
                let what = format!("director {director} made {made} further SETUPs, {allowed:.1} allowed");
                broken.push(Broken { at, what });
            }
        }
    }
    let counts = format!("{:.0}% of the budget used at most", fullest * 100.0);
    Finding { rule: 6, name, counts, broken }
}

fn service(requests: &Requests, of: impl Fn(&Group) -> bool) -> (f64, usize) {
    // By viewer: what it is worth, and whether one of its tries was answered in time.
    let mut viewers: BTreeMap<u64, (f64, bool)> = BTreeMap::new();
    for (&(viewer, _), request) in requests {
        let Some(group) = request.group.filter(|group| of(group)) else { continue };
        let in_time = |&(at, status): &(f64, u16)| status == 200 && at - request.at <= group.start_target;
        let entry = viewers.entry(viewer).or_insert((group.utility, false));
        entry.1 |= request.answers.iter().any(in_time);
    }
    let asked: f64 = viewers.values().map(|(utility, _)| utility).sum();
    let answered: f64 = viewers.values().filter(|(_, in_time)| *in_time).map(|(utility, _)| utility).sum();
    (if asked > 0.0 { answered / asked } else { 0.0 }, viewers.len())
}
