//! Rules 7 to 9, on all directors together. They are checked from the SETUPs that nodes received and the
//! messages that passed between directors, never from a director's own state. A vote that is not on the wire,
//! as a director's for itself, is assumed to be given. All times are in milliseconds.

use std::collections::BTreeMap;

use crate::record::{EventKind, FleetLimits, RetryLimit, TrafficEvent};
use crate::rules::{Finding, Violation};

/// A SETUP after the first of its session: time, node and director.
type FurtherSetup<'a> = (f64, &'a str, u16);

/// Checks the rules on all directors together. `tolerance` is the tolerance of recorded times.
pub fn check_fleet(
    limits: &FleetLimits,
    tolerance: f64,
    mut further_setups: Vec<FurtherSetup>,
    events: &[TrafficEvent],
) -> Vec<Finding> {
    further_setups.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut findings = vec![check_exclusive_permits(limits, tolerance, events)];
    // Nodes record SETUPs late by up to the time for which the machine stood still.
    let tolerance = tolerance + limits.longest_stall;
    if let Some(retry_limit) = limits.retry_limit {
        findings.push(check_fleet_retry_limit(retry_limit, tolerance, &further_setups));
        findings.push(check_permits_held(limits, retry_limit, tolerance, &further_setups, events));
    }
    findings
}

/// Rule 7: no voter grants a permit to a second holder before the first one's lease and the guard interval
/// have ended, or the guard interval after the first one released it.
fn check_exclusive_permits(limits: &FleetLimits, tolerance: f64, events: &[TrafficEvent]) -> Finding {
    let mut violations = Vec::new();
    // By voter and permit: its last holder, and the time until which no other may get it.
    let mut granted: BTreeMap<(u16, (u8, u32)), (u16, f64)> = BTreeMap::new();
    // By holder, its process and permit: the round in which it released the permit. A grant for a round up to
    // that, from a voter whose process was stopped meanwhile, has no effect.
    let mut released: BTreeMap<(u16, u64, (u8, u32)), u64> = BTreeMap::new();
    // By holder, voter, process and round: the time of the request.
    let mut requested: BTreeMap<(u16, u16, u64, u64), f64> = BTreeMap::new();
    let (mut grant_count, mut holder_changes) = (0, 0);
    for event in events {
        match &event.kind {
            EventKind::PermitsRequested { holder, voter, process_id, round } => {
                requested.insert((*holder, *voter, *process_id, *round), event.at);
            }
            EventKind::PermitsGranted { voter, holder, process_id, round, permits, .. } => {
                // The voter granted it after the relay had seen the request and before the relay saw the
                // grant. However late both were recorded, a violation found from these two times is real.
                let Some(&requested_at) = requested.get(&(*holder, *voter, *process_id, *round)) else {
                    continue;
                };
                for &permit in permits {
                    grant_count += 1;
                    let is_void = released
                        .get(&(*holder, *process_id, permit))
                        .is_some_and(|released_round| round <= released_round);
                    let new = (
                        *holder,
                        requested_at + limits.guard_interval + if is_void { 0.0 } else { limits.lease },
                    );
                    if let Some((previous, until)) = granted.insert((*voter, permit), new)
                        && previous != *holder
                    {
                        holder_changes += 1;
                        if event.at < until - tolerance {
                            let early = until - event.at;
                            let description = format!(
                                "director {voter} granted permit {} of pool {} to {holder}, {early:.0} ms before \
                                 {previous} had certainly stopped using it",
                                permit.1, permit.0
                            );
                            violations.push(Violation { at: event.at, description });
                        }
                    }
                }
            }
            EventKind::PermitsReleased { holder, voter, process_id, round, permits } => {
                for &permit in permits {
                    released.insert((*holder, *process_id, permit), *round);
                    if let Some((current, until)) = granted.get_mut(&(*voter, permit))
                        && current == holder
                    {
                        *until = until.min(event.at + limits.guard_interval);
                    }
                }
            }
            _ => {}
        }
    }
    let counts = format!("{grant_count} grants, {holder_changes} to another holder than before");
    Finding { rule: 7, name: "a permit has one holder at a time", counts, violations }
}

/// Rule 8: in any window no node receives more further SETUPs from all directors together than the limit.
fn check_fleet_retry_limit(
    retry_limit: RetryLimit,
    tolerance: f64,
    further_setups: &[FurtherSetup],
) -> Finding {
    let mut violations = Vec::new();
    let mut max_sent = 0;
    for (i, &(at, node, _)) in further_setups.iter().enumerate() {
        let in_window = |&&(earlier, other, _): &&FurtherSetup| {
            other == node && earlier > at - retry_limit.window + tolerance
        };
        let sent = further_setups[..=i].iter().filter(in_window).count();
        max_sent = max_sent.max(sent);
        if sent > retry_limit.max_per_node {
            let description = format!(
                "{node} was sent {sent} further SETUPs within the window, {} allowed",
                retry_limit.max_per_node
            );
            violations.push(Violation { at, description });
        }
    }
    let counts = format!(
        "{} further SETUPs, at most {max_sent} of {} at one node within the window",
        further_setups.len(),
        retry_limit.max_per_node
    );
    Finding { rule: 8, name: "further SETUPs of the fleet stay within its limit", counts, violations }
}

/// The votes for one permit and holder: by voter, when the lease that it granted ends.
type Votes = BTreeMap<u16, f64>;

/// Rule 9: in any window a director sends a node no more further SETUPs than its allowance without permits
/// plus the permits that a majority of voters has leased to it. Leases are taken from the grants on the wire
/// and run from the time of the request.
fn check_permits_held(
    limits: &FleetLimits,
    retry_limit: RetryLimit,
    tolerance: f64,
    further_setups: &[FurtherSetup],
    events: &[TrafficEvent],
) -> Finding {
    // The shortest time that a holder's clock may measure for the lease.
    let lease = limits.lease * (1.0 - limits.max_clock_drift) / (1.0 + limits.max_clock_drift);
    let mut violations = Vec::new();
    // By holder, voter, process and round: the time of the request.
    let mut requested: BTreeMap<(u16, u16, u64, u64), f64> = BTreeMap::new();
    // By holder and number of the permit.
    let mut votes: BTreeMap<(u16, u32), Votes> = BTreeMap::new();
    let mut remaining = events.iter().peekable();
    let mut max_sent = 0;
    for (i, &(at, node, director)) in further_setups.iter().enumerate() {
        while let Some(event) = remaining.next_if(|event| event.at <= at) {
            match &event.kind {
                EventKind::PermitsRequested { holder, voter, process_id, round } => {
                    requested.insert((*holder, *voter, *process_id, *round), event.at);
                }
                EventKind::PermitsGranted { delivered: true, voter, holder, process_id, round, permits } => {
                    let Some(&requested_at) = requested.get(&(*holder, *voter, *process_id, *round)) else {
                        continue;
                    };
                    for &(_, number) in permits.iter().filter(|&&(pool, _)| pool == retry_limit.pool) {
                        votes.entry((*holder, number)).or_default().insert(*voter, requested_at + lease);
                    }
                }
                _ => {}
            }
        }
        let earliest_decision = at - limits.max_send_delay - tolerance;
        let is_held = |&(&(holder, number), votes): &(&(u16, u32), &Votes)| {
            let home = number as usize % limits.voters.len().max(1);
            let Some(voters) = limits.voters.get(home) else { return false };
            let own_vote = usize::from(voters.contains(&director));
            let other_votes = votes
                .iter()
                .filter(|&(voter, &until)| voters.contains(voter) && until >= earliest_decision)
                .count();
            holder == director && (own_vote + other_votes) * 2 > voters.len()
        };
        let allowed = retry_limit.max_without_permit + votes.iter().filter(is_held).count();
        let in_window = |&&(earlier, other, sender): &&FurtherSetup| {
            other == node && sender == director && earlier > at - retry_limit.window + tolerance
        };
        let sent = further_setups[..=i].iter().filter(in_window).count();
        max_sent = max_sent.max(sent);
        if sent > allowed {
            let description =
                format!("director {director} sent {sent} further SETUPs to {node}, {allowed} allowed");
            violations.push(Violation { at, description });
        }
    }
    let counts = format!("at most {max_sent} by one director at one node within the window");
    Finding { rule: 9, name: "directors use only permits leased to them", counts, violations }
}
