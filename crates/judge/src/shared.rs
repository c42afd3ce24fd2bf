//! Bounds over all directors together, judged from what nodes read and what passed between directors: never from what a
//! director holds to be so. Where the wire doesn't show a vote, as a director's for itself, it is taken as given.

use std::collections::BTreeMap;

use crate::rules::{Broken, Finding};
use crate::sights::{Repeats, Shared, Sight, What};

/// A SETUP beyond its session's first: when, at which node, by which director.
type Further<'a> = (f64, &'a str, u16);

pub fn judge(terms: &Shared, slack: f64, mut further: Vec<Further>, sights: &[Sight]) -> Vec<Finding> {
    further.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut findings = vec![lent_once(terms, slack, sights)];
    // What nodes read they read late while the machine stood still.
    let slack = slack + terms.stalled;
    if let Some(repeats) = terms.repeats {
        findings.push(within(repeats, slack, &further));
        findings.push(by_right(terms, repeats, slack, &further, sights));
    }
    findings
}

/// No voter grants a right to a second holder before the first's lease and the rest are over, or the rest since it gave the
/// right back.
fn lent_once(terms: &Shared, slack: f64, sights: &[Sight]) -> Finding {
    let mut broken = Vec::new();
    // By voter and right: to whom it was granted last, and until when nobody else may get it.
    let mut granted: BTreeMap<(u16, (u8, u32)), (u16, f64)> = BTreeMap::new();
    // By holder, its process and right: the last ask that it gave back. A grant for one up to that, by a voter that stood
    // still meanwhile, gives it nothing.
    let mut void: BTreeMap<(u16, u64, (u8, u32)), u64> = BTreeMap::new();
    let mut asked: BTreeMap<(u16, u16, u64, u64), f64> = BTreeMap::new();
    let (mut count, mut passed_on) = (0, 0);
    for sight in sights {
        match &sight.what {
            What::RightsAsked { holder, voter, process, ask } => {
                asked.insert((*holder, *voter, *process, *ask), sight.at);
            }
            What::RightsGranted { voter, holder, process, ask, rights, .. } => {
                // It was granted after the ask had passed here, and before the grant did: however late either was seen, what
                // is found by these two is so.
                let Some(&from) = asked.get(&(*holder, *voter, *process, *ask)) else { continue };
                for &right in rights {
                    count += 1;
                    let is_void = void.get(&(*holder, *process, right)).is_some_and(|void| ask <= void);
                    let new = (*holder, from + terms.rest + if is_void { 0.0 } else { terms.lease });
                    if let Some((before, until)) = granted.insert((*voter, right), new)
                        && before != *holder
                    {
                        passed_on += 1;
                        if sight.at < until - slack {
                            let early = until - sight.at;
                            let what = format!(
                                "director {voter} granted right {} of pool {} to {holder}, {early:.0} ms before \
                                 {before} could be held to have stopped",
                                right.1, right.0
                            );
                            broken.push(Broken { at: sight.at, what });
                        }
                    }
                }
            }
            What::RightsBack { holder, voter, process, ask, rights } => {
                for &right in rights {
                    void.insert((*holder, *process, right), *ask);
                    if let Some((to, until)) = granted.get_mut(&(*voter, right))
                        && to == holder
                    {
                        *until = until.min(sight.at + terms.rest);
                    }
                }
            }
            _ => {}
        }
    }
    let counts = format!("{count} grants, {passed_on} to another than before");
    Finding { rule: 7, name: "a right is lent to one at a time", counts, broken }
}

/// In any span no node is sent more further SETUPs by all directors together than the bound.
fn within(repeats: Repeats, slack: f64, further: &[Further]) -> Finding {
    let mut broken = Vec::new();
    let mut most = 0;
    for (i, &(at, node, _)) in further.iter().enumerate() {
        let inside = |&&(before, other, _): &&Further| other == node && before > at - repeats.span + slack;
        let sent = further[..=i].iter().filter(inside).count();
        most = most.max(sent);
        if sent > repeats.at_node {
            let what =
                format!("{node} was sent {sent} further SETUPs within the span, {} allowed", repeats.at_node);
            broken.push(Broken { at, what });
        }
    }
    let counts = format!(
        "{} further SETUPs, {most} of {} at one node within the span",
        further.len(),
        repeats.at_node
    );
    Finding { rule: 8, name: "further SETUPs of the fleet stay within its bound", counts, broken }
}

/// What is known of a right at one holder: by voter, when the lease ends that it granted.
type Votes = BTreeMap<u16, f64>;

/// A director's further SETUPs at a node within a span are no more than what it keeps and what it may hold to be lent to it,
/// by what was granted on the wire, counted from when it was asked.
fn by_right(terms: &Shared, repeats: Repeats, slack: f64, further: &[Further], sights: &[Sight]) -> Finding {
    let lease = terms.lease * (1.0 - terms.drift) / (1.0 + terms.drift);
    let mut broken = Vec::new();
    let mut asked: BTreeMap<(u16, u16, u64, u64), f64> = BTreeMap::new();
    let mut votes: BTreeMap<(u16, u32), Votes> = BTreeMap::new();
    let mut next = sights.iter().peekable();
    let mut most = 0;
    for (i, &(at, node, director)) in further.iter().enumerate() {
        while let Some(sight) = next.next_if(|sight| sight.at <= at) {
            match &sight.what {
                What::RightsAsked { holder, voter, process, ask } => {
                    asked.insert((*holder, *voter, *process, *ask), sight.at);
                }
                What::RightsGranted { passed: true, voter, holder, process, ask, rights } => {
                    let Some(&from) = asked.get(&(*holder, *voter, *process, *ask)) else { continue };
                    for &(_, number) in rights.iter().filter(|&&(pool, _)| pool == repeats.pool) {
                        votes.entry((*holder, number)).or_default().insert(*voter, from + lease);
                    }
                }
                _ => {}
            }
        }
        let from = at - terms.under_way - slack;
        let held = |&(&(holder, number), votes): &(&(u16, u32), &Votes)| {
            let home = number as usize % terms.councils.len().max(1);
            let Some(council) = terms.councils.get(home) else { return false };
            let own = usize::from(council.contains(&director));
            let others =
                votes.iter().filter(|&(voter, &until)| council.contains(voter) && until >= from).count();
            holder == director && (own + others) * 2 > council.len()
        };
        let right = repeats.kept + votes.iter().filter(held).count();
        let inside = |&&(before, other, by): &&Further| {
            other == node && by == director && before > at - repeats.span + slack
        };
        let sent = further[..=i].iter().filter(inside).count();
        most = most.max(sent);
        if sent > right {
            let what = format!("director {director} made {sent} further SETUPs at {node}, by {right} rights");
            broken.push(Broken { at, what });
        }
    }
    let counts = format!("{most} by one director at one node within the span at most");
    Finding { rule: 9, name: "nobody uses what isn't lent to it", counts, broken }
}
