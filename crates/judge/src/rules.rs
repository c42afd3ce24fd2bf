//! Rules 1 to 6, each for one director by itself, and the report on all rules. All times are in milliseconds.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;

use crate::record::{EventKind, RetrySafety, RetryScope, RulesConfig, ServiceGroup, TrafficRecord};

/// One violation of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Milliseconds since the Unix epoch.
    pub at: f64,
    pub description: String,
}

/// The result of the check of one rule.
#[derive(Clone, Debug)]
pub struct Finding {
    pub rule: u8,
    pub name: &'static str,
    /// What was checked, in numbers.
    pub counts: String,
    pub violations: Vec<Violation>,
}

/// The results of all rules, and the service level.
#[derive(Clone, Debug)]
pub struct RulesReport {
    pub findings: Vec<Finding>,
    /// Part of the requested utility that started within the start target, from 0 to 1.
    pub service_level: f64,
    pub viewers: usize,
    /// For each service group with viewers: its name, its service level, and the number of its viewers.
    pub groups: Vec<(String, f64, usize)>,
}

impl RulesReport {
    /// Returns whether no rule is violated. A record without a viewer's request proves nothing and doesn't
    /// pass.
    pub fn passed(&self) -> bool {
        self.viewers > 0 && self.findings.iter().all(|f| f.violations.is_empty())
    }
}

impl fmt::Display for RulesReport {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for finding in &self.findings {
            let result = if finding.violations.is_empty() { "held" } else { "BROKEN" };
            writeln!(f, "rule {} {result:6} {}: {}", finding.rule, finding.name, finding.counts)?;
            for violation in finding.violations.iter().take(5) {
                writeln!(f, "    {:.0} ms: {}", violation.at, violation.description)?;
            }
            if finding.violations.len() > 5 {
                writeln!(f, "    and {} more", finding.violations.len() - 5)?;
            }
        }
        writeln!(
            f,
            "service {:.3} (utility answered within the start target) of {} viewers",
            self.service_level, self.viewers
        )?;
        let groups =
            self.groups.iter().map(|(name, service, viewers)| format!("{name} {service:.3} of {viewers}"));
        writeln!(f, "groups  {}", groups.collect::<Vec<_>>().join(", "))
    }
}

/// A request as its viewer recorded it.
struct ViewerRequest<'a> {
    sent_at: f64,
    director: u16,
    group: Option<&'a ServiceGroup>,
    title: &'a str,
    setup_timeout: f64,
    /// Time and status of each response.
    responses: Vec<(f64, u16)>,
    /// When the viewer closed its connection without a response, and whether its setup timeout had passed.
    abandoned: Option<(f64, bool)>,
    /// When the director closed the connection without a response.
    closed_by_director: Option<f64>,
    /// Indices of its SETUPs at nodes, in the order of time.
    setups: Vec<usize>,
}

/// A SETUP as its node recorded it.
struct NodeSetup<'a> {
    received_at: f64,
    node: &'a str,
    /// Viewer and attempt.
    request: (u64, u32),
    /// Lowest rung that its session had.
    lowest_rung: u8,
    /// Time and status of the response.
    response: Option<(f64, u16)>,
    closed_at: Option<f64>,
}

impl NodeSetup<'_> {
    /// Returns the time until which it was outstanding: that of its response, or of the end of its
    /// connection.
    fn outstanding_until(&self) -> f64 {
        let responded_at = self.response.map_or(f64::INFINITY, |(at, _)| at);
        responded_at.min(self.closed_at.unwrap_or(f64::INFINITY))
    }

    /// Returns whether the node certainly didn't run it: these statuses reject a SETUP before it runs.
    fn never_ran(&self) -> bool {
        matches!(self.response, Some((_, 404 | 453 | 503)))
    }
}

/// Requests by viewer and attempt.
type Requests<'a> = BTreeMap<(u64, u32), ViewerRequest<'a>>;

/// Checks all rules against a recorded run.
pub fn check_rules(traffic: &TrafficRecord) -> RulesReport {
    let config = &traffic.config;
    let mut requests: Requests = BTreeMap::new();
    let mut setups: Vec<NodeSetup> = Vec::new();
    // Index of the open SETUP by node and connection.
    let mut open_setups: BTreeMap<(&str, u64), usize> = BTreeMap::new();
    for event in &traffic.events {
        let at = event.at;
        match &event.kind {
            EventKind::RequestSent { viewer, attempt, director, group, title, setup_timeout } => {
                let group = config.groups.iter().find(|g| g.name == *group);
                let request = ViewerRequest {
                    sent_at: at,
                    director: *director,
                    group,
                    title,
                    setup_timeout: *setup_timeout,
                    responses: Vec::new(),
                    abandoned: None,
                    closed_by_director: None,
                    setups: Vec::new(),
                };
                requests.insert((*viewer, *attempt), request);
            }
            EventKind::ResponseReceived { viewer, attempt, status } => {
                if let Some(request) = requests.get_mut(&(*viewer, *attempt)) {
                    request.responses.push((at, *status));
                }
            }
            EventKind::RequestAbandoned { viewer, attempt, timed_out } => {
                if let Some(request) = requests.get_mut(&(*viewer, *attempt)) {
                    request.abandoned = Some((at, *timed_out));
                }
            }
            EventKind::ClosedWithoutResponse { viewer, attempt } => {
                if let Some(request) = requests.get_mut(&(*viewer, *attempt)) {
                    request.closed_by_director = Some(at);
                }
            }
            EventKind::SetupReceived { node, connection, viewer, attempt, rung, .. } => {
                open_setups.insert((node, *connection), setups.len());
                if let Some(request) = requests.get_mut(&(*viewer, *attempt)) {
                    request.setups.push(setups.len());
                }
                let (request, rung) = ((*viewer, *attempt), *rung);
                setups.push(NodeSetup {
                    received_at: at,
                    node,
                    request,
                    lowest_rung: rung,
                    response: None,
                    closed_at: None,
                });
            }
            EventKind::SetupResponseSent { node, connection, status } => {
                if let Some(&i) = open_setups.get(&(node.as_str(), *connection)) {
                    setups[i].response = Some((at, *status));
                }
            }
            EventKind::SessionClosed { node, connection } => {
                if let Some(i) = open_setups.remove(&(node.as_str(), *connection)) {
                    setups[i].closed_at = setups[i].closed_at.or(Some(at));
                }
            }
            EventKind::SetupCancelled { node, viewer, attempt } => {
                // Its node may notice only later, or never.
                let is_open = |s: &&mut NodeSetup| {
                    s.node == node && s.request == (*viewer, *attempt) && s.closed_at.is_none()
                };
                if let Some(setup) = setups.iter_mut().rev().find(is_open) {
                    setup.closed_at = Some(at);
                }
            }
            EventKind::RungChanged { node, connection, rung } => {
                if let Some(&i) = open_setups.get(&(node.as_str(), *connection)) {
                    setups[i].lowest_rung = setups[i].lowest_rung.min(*rung);
                }
            }
            _ => {}
        }
    }
    let mut findings = vec![
        check_responses(traffic, &requests),
        check_duplicate_setups(config, &requests, &setups),
        check_drains(traffic, &requests, &setups),
        check_slow_start(traffic, &setups),
        check_floors_and_seats(config, &requests, &setups),
        check_retry_budget(config, &requests, &setups),
    ];
    if let Some(limits) = &config.fleet_limits {
        let further_setups = requests.values().flat_map(|request| {
            let later = request
                .setups
                .iter()
                .skip(1)
                .map(|&i| (setups[i].received_at, setups[i].node, request.director));
            later.collect::<Vec<_>>()
        });
        findings.extend(crate::fleet_rules::check_fleet(
            limits,
            config.timing_tolerance,
            further_setups.collect(),
            &traffic.events,
        ));
    }
    let (service, viewers) = service_level(&requests, |_| true);
    let group_service = |group: &ServiceGroup| {
        let (service, viewers) = self::service_level(&requests, |other| other.name == group.name);
        (group.name.clone(), service, viewers)
    };
    let groups = config.groups.iter().map(group_service).filter(|(.., viewers)| *viewers > 0).collect();
    RulesReport { findings, service_level: service, viewers, groups }
}

/// Rule 1: each request to a running director gets exactly one response, before its setup timeout.
fn check_responses(traffic: &TrafficRecord, requests: &Requests) -> Finding {
    let mut violations = Vec::new();
    // Director, start and end of the times at which it was not running: killed, or stopped.
    let outages: Vec<(u16, f64, f64)> = traffic
        .events
        .iter()
        .filter_map(|event| match event.kind {
            EventKind::DirectorKilled { director } => {
                let is_restart = |s: &&crate::TrafficEvent| {
                    s.at > event.at
                        && matches!(s.kind, EventKind::DirectorStarted { director: d } if d == director)
                };
                let until = traffic.events.iter().find(is_restart).map_or(event.at, |s| s.at);
                Some((director, event.at, until + traffic.config.timing_tolerance))
            }
            EventKind::DirectorPaused { director, from } => Some((director, from, event.at)),
            _ => None,
        })
        .collect();
    let (mut started, mut busy, mut failed, mut left, mut excused) = (0, 0, 0, 0, 0);
    for (&(viewer, attempt), request) in requests {
        let deadline = request.sent_at + request.setup_timeout;
        let was_down = outages.iter().any(|&(director, from, to)| {
            director == request.director && from <= deadline && to >= request.sent_at
        });
        let label = format!("viewer {viewer} try {attempt} at director {}", request.director);
        match request.responses.as_slice() {
            [(at, status)] => {
                match status {
                    200 => started += 1,
                    503 | 453 => busy += 1,
                    _ => failed += 1,
                }
                if *at > deadline && !was_down {
                    let late = at - deadline;
                    violations.push(Violation {
                        at: *at,
                        description: format!("{label} answered {late:.0} ms after its setup timeout"),
                    });
                }
            }
            [] if request.abandoned.is_some_and(|(_, timed_out)| !timed_out) => left += 1,
            [] if was_down => excused += 1,
            [] => {
                let at =
                    request.closed_by_director.or(request.abandoned.map(|(at, _)| at)).unwrap_or(deadline);
                let outcome = if request.closed_by_director.is_some() {
                    "disconnected without an answer"
                } else {
                    "never answered"
                };
                violations.push(Violation { at, description: format!("{label} was {outcome}") });
            }
            [_, (at, _), ..] => violations.push(Violation {
                at: *at,
                description: format!("{label} had {} answers", request.responses.len()),
            }),
        }
    }
    let counts = format!(
        "{} requests: {started} started, {busy} busy, {failed} failed, {left} abandoned early, {excused} at directors that \
         were down",
        requests.len()
    );
    Finding { rule: 1, name: "no session is lost", counts, violations }
}

/// Rule 2: a session never has two outstanding SETUPs. Where a SETUP may have run, the session is set up
/// again only as its group allows, and a session that must not be set up again gets no busy reply.
fn check_duplicate_setups(config: &RulesConfig, requests: &Requests, setups: &[NodeSetup]) -> Finding {
    let mut violations = Vec::new();
    let mut further_count = 0;
    for (&(viewer, attempt), request) in requests {
        let Some(group) = request.group else { continue };
        let label = format!("viewer {viewer} try {attempt}");
        let mut may_have_run: Option<&NodeSetup> = None;
        for (k, &i) in request.setups.iter().enumerate() {
            let setup = &setups[i];
            further_count += usize::from(k > 0);
            if let Some(&earlier) = request.setups[..k]
                .iter()
                .find(|&&j| setups[j].outstanding_until() > setup.received_at + config.timing_tolerance)
            {
                let node = setups[earlier].node;
                violations.push(Violation {
                    at: setup.received_at,
                    description: format!(
                        "{label} has SETUPs outstanding at {node} and {} at once",
                        setup.node
                    ),
                });
            }
            if let Some(first) = may_have_run
                && !may_set_up_again(config, group, first, setup)
            {
                violations.push(Violation {
                    at: setup.received_at,
                    description: format!(
                        "{label} of {} set up again at {}, may have run at {}",
                        group.name, setup.node, first.node
                    ),
                });
            }
            may_have_run = may_have_run.or((!setup.never_ran()).then_some(setup));
        }
        let busy_reply = request.responses.iter().find(|(_, status)| matches!(status, 453 | 503));
        if let (Some(&(at, _)), Some(first), RetrySafety::Fragile) =
            (busy_reply, may_have_run, group.retry_safety)
        {
            violations.push(Violation {
                at,
                description: format!("{label} got a busy reply though it may have run at {}", first.node),
            });
        }
    }
    let counts = format!("{} SETUPs, {further_count} beyond a session's first", setups.len());
    Finding { rule: 2, name: "no set-up happens twice", counts, violations }
}

/// Returns whether `next` may follow `first`, which may have run.
fn may_set_up_again(config: &RulesConfig, group: &ServiceGroup, first: &NodeSetup, next: &NodeSetup) -> bool {
    let node = |name: &str| config.nodes.iter().find(|n| n.name == name);
    match group.retry_safety {
        RetrySafety::Safe => true,
        RetrySafety::Fragile => false,
        RetrySafety::Dedup => {
            let in_scope = match (group.retry_scope, node(first.node), node(next.node)) {
                (RetryScope::Anywhere, ..) => true,
                (RetryScope::SameZone, Some(a), Some(b)) => a.zone == b.zone,
                (RetryScope::SameCell, Some(a), Some(b)) => a.cell == b.cell,
                _ => false,
            };
            in_scope && next.received_at - first.received_at <= group.retry_window + config.timing_tolerance
        }
    }
}

/// Rule 3: a director sends no SETUP to a node that its list has named as not ready for longer than the grace
/// period.
fn check_drains(traffic: &TrafficRecord, requests: &Requests, setups: &[NodeSetup]) -> Finding {
    let grace = traffic.config.drain_grace;
    // By director and node: the time of each listing, and whether the node was listed as ready.
    let mut listings: BTreeMap<(u16, &str), Vec<(f64, bool)>> = BTreeMap::new();
    for event in &traffic.events {
        if let EventKind::NodeListed { director, node, ready } = &event.kind {
            listings.entry((*director, node)).or_default().push((event.at, *ready));
        }
    }
    let drained = listings.values().flatten().filter(|(_, ready)| !ready).count();
    let mut violations = Vec::new();
    let mut latest: f64 = 0.0;
    for setup in setups {
        let Some(director) = requests.get(&setup.request).map(|request| request.director) else { continue };
        let node_listings = listings.get(&(director, setup.node)).map_or(&[][..], Vec::as_slice);
        let last = node_listings.iter().rev().find(|(at, _)| *at <= setup.received_at);
        if let Some(&(at, false)) = last {
            let late = setup.received_at - at;
            latest = latest.max(late);
            if late > grace {
                let (viewer, attempt) = setup.request;
                violations.push(Violation {
                    at: setup.received_at,
                    description: format!(
                        "viewer {viewer} try {attempt} set up at {} {late:.0} ms after director {director}'s list changed",
                        setup.node
                    ),
                });
            }
        }
    }
    let counts = format!(
        "{drained} drains or losses listed, the last SETUP {latest:.0} ms after one, {grace:.0} allowed"
    );
    Finding { rule: 3, name: "drains are respected", counts, violations }
}

/// Rule 4: in any window a cold node receives SETUPs at less than the overload multiple of its current
/// session rate, which rises linearly from its start.
fn check_slow_start(traffic: &TrafficRecord, setups: &[NodeSetup]) -> Finding {
    let config = &traffic.config;
    let mut started: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    let mut violations = Vec::new();
    for event in &traffic.events {
        match &event.kind {
            EventKind::NodeStarted { node } => started.entry(node).or_default().push(event.at),
            EventKind::NodeOverloaded { node } => {
                violations.push(Violation {
                    at: event.at,
                    description: format!("{node} was overloaded while cold"),
                });
            }
            _ => {}
        }
    }
    let (mut cold_setups, mut max_used) = (0, 0.0f64);
    for node in &config.nodes {
        for &start in started.get(node.name.as_str()).into_iter().flatten() {
            let mut window: VecDeque<f64> = VecDeque::new();
            for setup in setups.iter().filter(|s| s.node == node.name) {
                let age = setup.received_at - start;
                if !(0.0..config.slow_start_duration).contains(&age) {
                    continue;
                }
                cold_setups += 1;
                window.push_back(setup.received_at);
                while window.front().is_some_and(|&at| at < setup.received_at - config.overload_window) {
                    window.pop_front();
                }
                let capacity_fraction = config.slow_start_initial_fraction
                    + (1.0 - config.slow_start_initial_fraction) * age / config.slow_start_duration;
                let session_rate = node.max_sessions / config.slow_start_duration * capacity_fraction;
                // One more, as SETUPs arrive in whole numbers.
                let allowed = config.overload_multiple * session_rate * config.overload_window + 1.0;
                max_used = max_used.max(window.len() as f64 / allowed);
                if window.len() as f64 > allowed {
                    violations.push(Violation {
                        at: setup.received_at,
                        description: format!(
                            "{} was sent {} SETUPs, {allowed:.1} allowed",
                            node.name,
                            window.len()
                        ),
                    });
                }
            }
        }
    }
    let start_count: usize = started.values().map(Vec::len).sum();
    let counts = format!(
        "{start_count} starts, {cold_setups} SETUPs at cold nodes, at most {:.0}% of a node's limit",
        max_used * 100.0
    );
    Finding { rule: 4, name: "cold media nodes are not overloaded", counts, violations }
}

/// Rule 5: no session gets a rung below the floor of its group, and no director holds more sessions of one
/// title and group than the group has seats.
fn check_floors_and_seats(config: &RulesConfig, requests: &Requests, setups: &[NodeSetup]) -> Finding {
    let mut violations = Vec::new();
    let mut max_taken = 0;
    for setup in setups {
        if let Some(group) = requests.get(&setup.request).and_then(|r| r.group)
            && setup.lowest_rung < group.floor_rung
        {
            let (viewer, attempt) = setup.request;
            let description = format!(
                "viewer {viewer} try {attempt} of {} at rung {}, below its floor",
                group.name, setup.lowest_rung
            );
            violations.push(Violation { at: setup.received_at, description });
        }
    }
    for group in config.groups.iter().filter(|g| g.seats > 0) {
        // By director and title: times at which a seat is taken (+1) and released (-1). A seat is released
        // when the node has rejected the SETUP or the session has ended there.
        let mut seats: BTreeMap<(u16, &str), Vec<(f64, i64)>> = BTreeMap::new();
        for setup in setups {
            let Some(request) = requests.get(&setup.request) else { continue };
            if request.group.is_some_and(|g| g.name == group.name) {
                let rejected_at = setup.response.filter(|(_, status)| *status != 200).map(|(at, _)| at);
                let end = rejected_at.or(setup.closed_at).unwrap_or(f64::INFINITY);
                let seat_changes = seats.entry((request.director, request.title)).or_default();
                seat_changes.extend([
                    (setup.received_at, 1),
                    ((end - config.timing_tolerance).max(setup.received_at), -1),
                ]);
            }
        }
        for ((director, title), mut changes) in seats {
            changes.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            let mut taken = 0;
            for (at, change) in changes {
                taken += change;
                max_taken = max_taken.max(taken);
                if taken > group.seats as i64 {
                    let description =
                        format!("director {director} holds {taken} sessions of {title} for {}", group.name);
                    violations.push(Violation { at, description });
                }
            }
        }
    }
    let counts =
        format!("{} SETUPs checked for floors, at most {max_taken} seats of one title taken", setups.len());
    Finding { rule: 5, name: "floors and seats are respected", counts, violations }
}

/// Rule 6: in any window the further SETUPs of one director, those after the first of their session, stay
/// within the retry budget.
fn check_retry_budget(config: &RulesConfig, requests: &Requests, setups: &[NodeSetup]) -> Finding {
    let name = "further SETUPs stay within the budget";
    let Some((base_retries, per_session, window)) = config.retry_budget else {
        return Finding { rule: 6, name, counts: "no budget is set".into(), violations: Vec::new() };
    };
    let mut violations = Vec::new();
    let mut max_used = 0.0f64;
    // By director: times of its viewers' requests, and of its further SETUPs.
    let mut requested: BTreeMap<u16, Vec<f64>> = BTreeMap::new();
    let mut further_setups: BTreeMap<u16, Vec<f64>> = BTreeMap::new();
    for request in requests.values() {
        requested.entry(request.director).or_default().push(request.sent_at);
        let later = request.setups.iter().skip(1).map(|&i| setups[i].received_at);
        further_setups.entry(request.director).or_default().extend(later);
    }
    for (director, mut times) in further_setups {
        times.sort_by(f64::total_cmp);
        let requested = requested.get(&director).map_or(&[][..], Vec::as_slice);
        for (i, &at) in times.iter().enumerate() {
            let in_window = |t: &&f64| **t > at - window && **t <= at;
            let sent = times[..=i].iter().filter(in_window).count() as f64;
            // The director may count a request near the edge of the window on either side of it.
            let sessions =
                requested.iter().filter(|&&t| t > at - window - config.timing_tolerance && t <= at).count()
                    as f64;
            let allowed = base_retries + per_session * sessions;
            max_used = max_used.max(sent / allowed.max(1e-9));
            if sent > allowed {
                let description =
                    format!("director {director} sent {sent} further SETUPs, {allowed:.1} allowed");
                violations.push(Violation { at, description });
            }
        }
    }
    let counts = format!("at most {:.0}% of the budget used", max_used * 100.0);
    Finding { rule: 6, name, counts, violations }
}

/// Returns the service level of the selected groups, and the number of their viewers.
fn service_level(requests: &Requests, is_selected: impl Fn(&ServiceGroup) -> bool) -> (f64, usize) {
    // By viewer: its utility, and whether one of its attempts started within the start target.
    let mut viewers: BTreeMap<u64, (f64, bool)> = BTreeMap::new();
    for (&(viewer, _), request) in requests {
        let Some(group) = request.group.filter(|group| is_selected(group)) else { continue };
        let in_time =
            |&(at, status): &(f64, u16)| status == 200 && at - request.sent_at <= group.start_target;
        let entry = viewers.entry(viewer).or_insert((group.utility, false));
        entry.1 |= request.responses.iter().any(in_time);
    }
    let requested: f64 = viewers.values().map(|(utility, _)| utility).sum();
    let started: f64 = viewers.values().filter(|(_, in_time)| *in_time).map(|(utility, _)| utility).sum();
    (if requested > 0.0 { started / requested } else { 0.0 }, viewers.len())
}
