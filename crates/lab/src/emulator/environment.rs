//! Translates the troubles of a day into timed changes of the emulated environment, with the same meaning as
//! on sockets.

use std::time::Duration;

use ashglade_discovery::NodeState;

use crate::day::TroubleKind;
use crate::day::schema::Trouble;

/// One change of the environment. Vectors hold the indices of the nodes, racks or directors concerned.
#[derive(Clone, Debug)]
pub enum EnvironmentChange {
    /// Changes a fault of nodes.
    NodeFault(Vec<usize>, NodeFault),
    /// Divides the uplink capacity of racks by a factor.
    UplinkSlowdown(Vec<usize>, f64),
    /// Stops the processes of nodes.
    StopNodes(Vec<usize>),
    /// Starts the processes of nodes.
    StartNodes(Vec<usize>),
    /// Publishes a state of nodes in the list after a delay in seconds.
    ListNodes(Vec<usize>, NodeState, f64),
    /// Delays list updates by additional seconds.
    ListDelay(f64),
    /// Kills the processes of directors.
    KillDirectors(Vec<usize>),
    /// Starts the processes of directors.
    StartDirectors(Vec<usize>),
    /// Pauses directors for a span in seconds.
    PauseDirectors(Vec<usize>, f64),
}

/// A fault of a node, with its new value. Delays and spans are in seconds.
#[derive(Clone, Copy, Debug)]
pub enum NodeFault {
    /// Replies to SETUPs are lost.
    ReplyLost(bool),
    /// The node neither answers nor sends.
    Hang(bool),
    /// Fraction of SETUPs that fail with an error reply.
    ErrorRate(f64),
    /// Fraction of SETUPs whose connection is reset.
    ResetRate(f64),
    /// Factor by which the link's capacity is divided.
    LinkSlowdown(f64),
    /// Load reports keep their current value.
    FrozenReports(bool),
    /// Delay of each SETUP.
    SetupDelay(f64),
    /// Time that each SETUP takes in a queue; 0 for no queue.
    SetupQueue(f64),
    /// How long sessions outlive their connection.
    SessionRetention(f64),
}

impl NodeFault {
    /// Sets the fault in a node's faults.
    pub fn apply(self, faults: &mut ashglade_standin::Faults) {
        match self {
            NodeFault::ReplyLost(enabled) => faults.drop_setup_responses = enabled,
            NodeFault::Hang(enabled) => faults.hang = enabled,
            NodeFault::ErrorRate(rate) => faults.error_fraction = rate,
            NodeFault::ResetRate(rate) => faults.reset_fraction = rate,
            NodeFault::LinkSlowdown(factor) => faults.link_divisor = factor,
            NodeFault::FrozenReports(enabled) => faults.freeze_load_reports = enabled,
            NodeFault::SetupDelay(seconds) => faults.setup_delay = Duration::from_secs_f64(seconds),
            NodeFault::SetupQueue(seconds) => {
                (faults.serialize_setups, faults.setup_delay) =
                    (seconds > 0.0, Duration::from_secs_f64(seconds))
            }
            NodeFault::SessionRetention(seconds) => {
                faults.orphan_retention = Duration::from_secs_f64(seconds)
            }
        }
    }
}

/// Size of the fleet, and how long after a change the node list shows it.
pub struct FleetSize {
    pub nodes: usize,
    pub racks: usize,
    pub directors: usize,
    /// Delay of announced changes, in seconds.
    pub notice_s: f64,
    /// Delay after a process ended without notice, in seconds.
    pub silent_notice_s: f64,
}

/// The changes that a trouble causes, each with its time in seconds.
pub fn changes(trouble: &Trouble, fleet_size: &FleetSize) -> Vec<(f64, EnvironmentChange)> {
    let (at, span) = (trouble.at_s.unwrap_or(0.0), trouble.for_s.unwrap_or(0.0));
    let (size, end) = (trouble.size.unwrap_or(0.0), at + span);
    let target_count = match trouble.kind() {
        TroubleKind::OriginSlow => fleet_size.racks,
        TroubleKind::BalancerRoll | TroubleKind::BalancerStall | TroubleKind::PeerDown => {
            fleet_size.directors
        }
        _ => fleet_size.nodes,
    };
    let targets: Vec<usize> = match trouble.on.is_empty() {
        true => (0..target_count).collect(),
        false => trouble.on.iter().map(|&i| i as usize).collect(),
    };
    let during = |from: NodeFault, to: NodeFault| {
        vec![
            (at, EnvironmentChange::NodeFault(targets.clone(), from)),
            (end, EnvironmentChange::NodeFault(targets.clone(), to)),
        ]
    };
    let outage = |at: f64, span: f64, silent: bool| {
        let mut changes = vec![(at, EnvironmentChange::StopNodes(targets.clone()))];
        if silent && span > fleet_size.silent_notice_s {
            changes.push((
                at + fleet_size.silent_notice_s,
                EnvironmentChange::ListNodes(targets.clone(), NodeState::Gone, 0.0),
            ));
        }
        changes.push((at + span, EnvironmentChange::StartNodes(targets.clone())));
        changes.push((at + span, EnvironmentChange::ListNodes(targets.clone(), NodeState::Ready, 0.0)));
        changes
    };
    match trouble.kind() {
        TroubleKind::Unset | TroubleKind::Burst => Vec::new(),
        TroubleKind::AnswerLost => during(NodeFault::ReplyLost(true), NodeFault::ReplyLost(false)),
        TroubleKind::Hang => during(NodeFault::Hang(true), NodeFault::Hang(false)),
        TroubleKind::FastErrors => during(NodeFault::ErrorRate(size), NodeFault::ErrorRate(0.0)),
        TroubleKind::Reset => during(NodeFault::ResetRate(size), NodeFault::ResetRate(0.0)),
        TroubleKind::Slow | TroubleKind::Neighbour => {
            during(NodeFault::LinkSlowdown(size), NodeFault::LinkSlowdown(1.0))
        }
        TroubleKind::ReportLate => during(NodeFault::FrozenReports(true), NodeFault::FrozenReports(false)),
        TroubleKind::SlowSetup => during(NodeFault::SetupDelay(size / 1e3), NodeFault::SetupDelay(0.0)),
        TroubleKind::SetupQueue => during(NodeFault::SetupQueue(size / 1e3), NodeFault::SetupQueue(0.0)),
        TroubleKind::Keeps => during(NodeFault::SessionRetention(size), NodeFault::SessionRetention(0.0)),
        TroubleKind::OriginSlow => vec![
            (at, EnvironmentChange::UplinkSlowdown(targets.clone(), size)),
            (end, EnvironmentChange::UplinkSlowdown(targets, 1.0)),
        ],
        TroubleKind::DiscoveryStale => {
            vec![(at, EnvironmentChange::ListDelay(size)), (end, EnvironmentChange::ListDelay(0.0))]
        }
        TroubleKind::Ageing => {
            let step = |k: u32| {
                let fraction = f64::from(k) / 10.0;
                (
                    at + span * (fraction - 0.1),
                    EnvironmentChange::NodeFault(
                        targets.clone(),
                        NodeFault::SetupDelay(size / 1e3 * fraction),
                    ),
                )
            };
            (1..=10).map(step).chain(outage(end, 2.0, true)).collect()
        }
        TroubleKind::Vanish => outage(at, span, true),
        TroubleKind::Drain => {
            let mut changes = vec![(
                at,
                EnvironmentChange::ListNodes(targets.clone(), NodeState::Draining, fleet_size.notice_s),
            )];
            changes.extend(outage(end, 1.0, false));
            changes
        }
        TroubleKind::BalancerRoll => {
            let gap = span / targets.len().max(1) as f64;
            let restart = |(k, &i): (usize, &usize)| {
                let from = at + k as f64 * gap;
                [
                    (from, EnvironmentChange::KillDirectors(vec![i])),
                    (from + size, EnvironmentChange::StartDirectors(vec![i])),
                ]
            };
            targets.iter().enumerate().flat_map(restart).collect()
        }
        TroubleKind::PeerDown => vec![
            (at, EnvironmentChange::KillDirectors(targets.clone())),
            (end, EnvironmentChange::StartDirectors(targets)),
        ],
        TroubleKind::BalancerStall => vec![(at, EnvironmentChange::PauseDirectors(targets, span))],
    }
}
