//! Rules 7 to 9, on all directors together. They are checked from the SETUPs that nodes received and the
//! messages that passed between directors, never from a director's own state. A vote that is not on the wire,
//! as a director's for itself, is assumed to be given. All times are in milliseconds.

use std::collections::BTreeMap;

use crate::record::{Repeats, Shared, Sight, What};
use crate::rules::{Broken, Finding};

/// A SETUP after the first of its session: time, node and director.
type FurtherSetup<'a> = (f64, &'a str, u16);

/// Checks the rules on all directors together. `slack` is the tolerance of recorded times.
pub fn check_fleet(
    limits: &Shared,
    slack: f64,
    mut further_setups: Vec<FurtherSetup>,
    sights: &[Sight],
) -> Vec<Finding> {
    further_setups.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut findings = vec![check_exclusive_permits(limits, slack, sights)];
    // Nodes record SETUPs late by up to the time for which the machine stood still.
    let slack = slack + limits.stalled;
    if let Some(retry_limit) = limits.repeats {
        findings.push(check_fleet_retry_limit(retry_limit, slack, &further_setups));
        findings.push(check_permits_held(limits, retry_limit, slack, &further_setups, sights));
    }
    findings
}

/// Rule 7: no voter grants a permit to a second holder before the first one's lease and the guard interval
/// have ended, or the guard interval after the first one released it.
fn check_exclusive_permits(limits: &Shared, slack: f64, sights: &[Sight]) -> Finding {
    let mut broken = Vec::new();
    // By voter and permit: its last holder, and the time until which no other may get it.
    let mut granted: BTreeMap<(u16, (u8, u32)), (u16, f64)> = BTreeMap::new();
    // By holder, its process and permit: the round in which it released the permit. A grant for a round up to
    // that, from a voter whose process was stopped meanwhile, has no effect.
    let mut released: BTreeMap<(u16, u64, (u8, u32)), u64> = BTreeMap::new();
    // By holder, voter, process and round: the time of the request.
    let mut requested: BTreeMap<(u16, u16, u64, u64), f64> = BTreeMap::new();
    let (mut grant_count, mut holder_changes) = (0, 0);
    for sight in sights {
        match &sight.what {
            What::RightsAsked { holder, voter, process, ask } => {
                requested.insert((*holder, *voter, *process, *ask), sight.at);
            }
            What::RightsGranted { voter, holder, process, ask, rights, .. } => {
                // The voter granted it after the relay had seen the request and before the relay saw the
                // grant. However late both were recorded, a violation found from these two times is one.
                let Some(&requested_at) = requested.get(&(*holder, *voter, *process, *ask)) else { continue };
                for &permit in rights {
                    grant_count += 1;
                    let is_void =
                        released.get(&(*holder, *process, permit)).is_some_and(|round| ask <= round);
                    let new =
                        (*holder, requested_at + limits.rest + if is_void { 0.0 } else { limits.lease });
                    if let Some((previous, until)) = granted.insert((*voter, permit), new)
                        && previous != *holder
                    {
                        holder_changes += 1;
                        if sight.at < until - slack {
                            let early = until - sight.at;
                            let what = format!(
                                "director {voter} granted permit {} of pool {} to {holder}, {early:.0} ms before \
                                 {previous} had certainly stopped using it",
                                permit.1, permit.0
                            );
                            broken.push(Broken { at: sight.at, what });
                        }
                    }
                }
            }
            What::RightsBack { holder, voter, process, ask, rights } => {
                for &permit in rights {
                    released.insert((*holder, *process, permit), *ask);
                    if let Some((current, until)) = granted.get_mut(&(*voter, permit))
                        && current == holder
                    {
                        *until = until.min(sight.at + limits.rest);
                    }
                }
            }
            _ => {}
        }
    }
    let counts = format!("{grant_count} grants, {holder_changes} to another holder than before");
    Finding { rule: 7, name: "a permit has one holder at a time", counts, broken }
}

/// Rule 8: in any window no node receives more further SETUPs from all directors together than the limit.
fn check_fleet_retry_limit(retry_limit: Repeats, slack: f64, further_setups: &[FurtherSetup]) -> Finding {
    let mut broken = Vec::new();
    let mut max_sent = 0;
    for (i, &(at, node, _)) in further_setups.iter().enumerate() {
        let in_window =
            |&&(earlier, other, _): &&FurtherSetup| other == node && earlier > at - retry_limit.span + slack;
        let sent = further_setups[..=i].iter().filter(in_window).count();
        max_sent = max_sent.max(sent);
        if sent > retry_limit.at_node {
            let what = format!(
                "{node} was sent {sent} further SETUPs within the window, {} allowed",
                retry_limit.at_node
            );
            broken.push(Broken { at, what });
        }
    }
    let counts = format!(
        "{} further SETUPs, at most {max_sent} of {} at one node within the window",
        further_setups.len(),
        retry_limit.at_node
    );
    Finding { rule: 8, name: "further SETUPs of the fleet stay within its limit", counts, broken }
}

/// The votes for one permit and holder: by voter, when the lease that it granted ends.
type Votes = BTreeMap<u16, f64>;

/// Rule 9: in any window a director sends a node no more further SETUPs than its allowance without permits
/// plus the permits that a majority of voters has leased to it. Leases are taken from the grants on the wire
/// and run from the time of the request.
fn check_permits_held(
    limits: &Shared,
    retry_limit: Repeats,
    slack: f64,
    further_setups: &[FurtherSetup],
    sights: &[Sight],
) -> Finding {
    // The shortest time that a holder's clock may measure for the lease.
    let lease = limits.lease * (1.0 - limits.drift) / (1.0 + limits.drift);
    let mut broken = Vec::new();
    // By holder, voter, process and round: the time of the request.
    let mut requested: BTreeMap<(u16, u16, u64, u64), f64> = BTreeMap::new();
    // By holder and number of the permit.
    let mut votes: BTreeMap<(u16, u32), Votes> = BTreeMap::new();
    let mut remaining = sights.iter().peekable();
    let mut max_sent = 0;
    for (i, &(at, node, director)) in further_setups.iter().enumerate() {
        while let Some(sight) = remaining.next_if(|sight| sight.at <= at) {
            match &sight.what {
                What::RightsAsked { holder, voter, process, ask } => {
                    requested.insert((*holder, *voter, *process, *ask), sight.at);
                }
                What::RightsGranted { passed: true, voter, holder, process, ask, rights } => {
                    let Some(&requested_at) = requested.get(&(*holder, *voter, *process, *ask)) else {
                        continue;
                    };
                    for &(_, number) in rights.iter().filter(|&&(pool, _)| pool == retry_limit.pool) {
                        votes.entry((*holder, number)).or_default().insert(*voter, requested_at + lease);
                    }
                }
                _ => {}
            }
        }
        let earliest_decision = at - limits.under_way - slack;
        let is_held = |&(&(holder, number), votes): &(&(u16, u32), &Votes)| {
            let home = number as usize % limits.councils.len().max(1);
            let Some(voters) = limits.councils.get(home) else { return false };
            let own_vote = usize::from(voters.contains(&director));
            let other_votes = votes
                .iter()
                .filter(|&(voter, &until)| voters.contains(voter) && until >= earliest_decision)
                .count();
            holder == director && (own_vote + other_votes) * 2 > voters.len()
        };
        let allowed = retry_limit.kept + votes.iter().filter(is_held).count();
        let in_window = |&&(earlier, other, sender): &&FurtherSetup| {
            other == node && sender == director && earlier > at - retry_limit.span + slack
        };
        let sent = further_setups[..=i].iter().filter(in_window).count();
        max_sent = max_sent.max(sent);
        if sent > allowed {
            let what = format!("director {director} sent {sent} further SETUPs to {node}, {allowed} allowed");
            broken.push(Broken { at, what });
        }
    }
    let counts = format!("at most {max_sent} by one director at one node within the window");
    Finding { rule: 9, name: "directors use only permits leased to them", counts, broken }
}
