//! Those that wait. Between service groups by start-time fair queueing with weights (Goyal, Vin and Chen): whoever
//! asks less than its share goes in at once, what one group leaves is the others', and no group's backlog delays
//! another's. Within a group it is the same again between tenants. Within a tenant, clients are hashed to a few
//! queues that take turns (McKenney's stochastic fairness): one client's backlog delays those of its queue only, and
//! the hash's seed changes whenever a tenant's queues are empty.
//! A client that is known for heavy goes to the queue of such clients, one of as many as there are queues.
//!
//! At equal turns the dearer session goes first. Memory is bounded by the places to wait; when those are all taken,
//! the place goes to whoever has least: the last of the longest queue of the group that is most over its share goes.

use std::collections::VecDeque;
use std::hash::Hasher;

use ashglade::ids::SessionId;
use ashglade::time::Instant;
use siphasher::sip::SipHasher13;

use crate::AdmissionRequest;

/// A request that waits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ticket {
    pub request: AdmissionRequest,
    pub since: Instant,
    /// It is sent away if it hasn't gone in by then.
    pub until: Instant,
    /// It was told to come back now, and comes first in its group.
    pub promised: bool,
    /// How many requests its client made of late, if it is a heavy one.
    pub heavy: Option<u32>,
}

/// Queues of a group's clients; the last is that of heavy ones.
const QUEUES: usize = 64;
/// The queue of those that were told to come back now.
const PROMISED: usize = QUEUES;

/// A claim to a part of what goes in.
#[derive(Debug)]
struct Share {
    weight: f64,
    /// Virtual time at which its next request starts.
    starts: f64,
}

impl Share {
    fn new(weight: f64) -> Share {
        Share { weight: weight.max(1e-6), starts: 0.0 }
    }

    /// It asked for nothing and has no claim on what is past.
    fn wakes(&mut self, clock: f64) {
        self.starts = self.starts.max(clock);
    }

    fn goes_in(&mut self, clock: f64) {
        self.starts = self.starts.max(clock) + 1.0 / self.weight;
    }
}

/// Those that wait of one tenant in one group.
#[derive(Debug)]
struct Clients {
    seed: u64,
    queues: Vec<VecDeque<Ticket>>,
    /// Queues that aren't empty, in the order of their turns.
    turns: VecDeque<usize>,
    len: usize,
}

/// One service group, with a share and queues for each tenant.
#[derive(Debug)]
struct Group {
    share: Share,
    utility: f64,
    /// The virtual time among its tenants.
    clock: f64,
    tenants: Vec<(Share, Clients)>,
}

#[derive(Debug)]
pub struct Fair {
    groups: Vec<Group>,
    /// The virtual time: the start of what went in last.
    clock: f64,
    most: usize,
    /// Nobody has to be answered before this; may be earlier than needed.
    earliest: Option<Instant>,
    random: oorandom::Rand64,
}

impl Clients {
    fn queue_of(&self, ticket: &Ticket) -> usize {
        if ticket.promised {
            return PROMISED;
        }
        if ticket.heavy.is_some() {
            return QUEUES - 1;
        }
        let mut hasher = SipHasher13::new_with_keys(self.seed, 0);
        hasher.write_u64(ticket.request.client);
        (hasher.finish() % (QUEUES as u64 - 1)) as usize
    }

    fn push(&mut self, ticket: Ticket) {
        let queue = self.queue_of(&ticket);
        if self.queues[queue].is_empty() {
            self.turns.push_back(queue);
        }
        self.queues[queue].push_back(ticket);
        self.len += 1;
    }

    fn pop(&mut self) -> Option<Ticket> {
        let promised = self.turns.iter().position(|&queue| queue == PROMISED);
        let queue = self.turns.remove(promised.unwrap_or(0))?;
        let ticket = self.queues[queue].pop_front()?;
        if !self.queues[queue].is_empty() {
            self.turns.push_back(queue);
        }
        self.len -= 1;
        Some(ticket)
    }

    /// Takes out what `gone` says, in the order of queues.
    fn take(&mut self, gone: impl Fn(&Ticket) -> bool) -> Vec<Ticket> {
        let mut taken = Vec::new();
        for queue in &mut self.queues {
            if queue.iter().any(&gone) {
                let (out, kept): (VecDeque<_>, VecDeque<_>) = queue.drain(..).partition(&gone);
                *queue = kept;
                taken.extend(out);
            }
        }
        if !taken.is_empty() {
            let queues = &self.queues;
            self.turns.retain(|&queue| !queues[queue].is_empty());
            self.len -= taken.len();
        }
        taken
    }

    /// The last of the longest queue; of those with a promise only if nobody else waits.
    fn shed(&mut self) -> Option<Ticket> {
        let longest = (0..QUEUES).max_by_key(|&queue| self.queues[queue].len())?;
        let longest = if self.queues[longest].is_empty() { PROMISED } else { longest };
        let ticket = self.queues[longest].pop_back()?;
        if self.queues[longest].is_empty() {
            self.turns.retain(|&queue| queue != longest);
        }
        self.len -= 1;
        Some(ticket)
    }
}

impl Group {
    fn len(&self) -> usize {
        self.tenants.iter().map(|(_, clients)| clients.len).sum()
    }

    fn pop(&mut self) -> Option<Ticket> {
        let waiting = self.tenants.iter_mut().filter(|(_, clients)| clients.len > 0);
        let (share, clients) = waiting.min_by(|(a, _), (b, _)| a.starts.total_cmp(&b.starts))?;
        self.clock = self.clock.max(share.starts);
        share.goes_in(self.clock);
        clients.pop()
    }

    fn take(&mut self, gone: impl Fn(&Ticket) -> bool) -> Vec<Ticket> {
        self.tenants.iter_mut().flat_map(|(_, clients)| clients.take(&gone)).collect()
    }

    /// The last of the longest queue of the tenant that is most over its share.
    fn shed(&mut self) -> Option<Ticket> {
        let over = |(share, clients): &(Share, Clients)| clients.len as f64 / share.weight;
        self.tenants.iter_mut().max_by(|a, b| over(a).total_cmp(&over(b)))?.1.shed()
    }

    fn tickets(&self) -> impl Iterator<Item = &Ticket> {
        self.tenants.iter().flat_map(|(_, clients)| clients.queues.iter().flatten())
    }
}

impl Fair {
    /// Weights and utilities of groups, and weights of tenants, one at least.
    pub fn new(groups: &[(f64, f64)], tenants: &[f64], most: usize, seed: u64) -> Fair {
        let mut random = oorandom::Rand64::new(seed.into());
        let mut clients = || Clients {
            seed: random.rand_u64(),
            queues: vec![VecDeque::new(); QUEUES + 1],
            turns: VecDeque::new(),
            len: 0,
        };
        let mut group = |&(weight, utility): &(f64, f64)| Group {
            share: Share::new(weight),
            utility,
            clock: 0.0,
            tenants: tenants.iter().map(|&weight| (Share::new(weight), clients())).collect(),
        };
        let groups = groups.iter().map(&mut group).collect();
        Fair { groups, clock: 0.0, most: most.max(1), earliest: None, random }
    }

    pub fn len(&self) -> usize {
        self.groups.iter().map(Group::len).sum()
    }

    /// Requests that wait, by group.
    pub fn waiting(&self) -> Vec<usize> {
        self.groups.iter().map(Group::len).collect()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes a request; where all places are taken, somebody is turned away for it, or it is.
    pub fn push(&mut self, ticket: Ticket) -> Result<(), Ticket> {
        let g = ticket.request.group.0;
        let clock = self.clock;
        let Some(group) = self.groups.get_mut(g) else { return Err(ticket) };
        if group.len() == 0 {
            group.share.wakes(clock);
        }
        let clock = group.clock;
        // A tenant that there is none of counts with the first.
        let t = if ticket.request.tenant < group.tenants.len() { ticket.request.tenant } else { 0 };
        let Some((share, clients)) = group.tenants.get_mut(t) else { return Err(ticket) };
        if clients.len == 0 {
            // Its clients are mixed anew.
            share.wakes(clock);
            clients.seed = self.random.rand_u64();
        }
        clients.push(ticket);
        self.earliest = Some(self.earliest.map_or(ticket.until, |at| at.min(ticket.until)));
        if self.len() <= self.most {
            return Ok(());
        }
        let over = |group: &Group| group.len() as f64 / group.share.weight;
        let most =
            (0..self.groups.len()).max_by(|&a, &b| over(&self.groups[a]).total_cmp(&over(&self.groups[b])));
        match most.and_then(|most| self.groups[most].shed()) {
            Some(turned) => Err(turned),
            None => Ok(()),
        }
    }

    /// The next that goes in: of the group whose turn comes first by its start, the dearer first where starts are
    /// within one session of each other.
    pub fn pop(&mut self) -> Option<Ticket> {
        let waiting = || self.groups.iter().enumerate().filter(|(_, group)| group.len() > 0);
        let first = waiting().map(|(_, group)| group.share.starts).min_by(f64::total_cmp)?;
        let step = waiting().map(|(_, group)| 1.0 / group.share.weight).min_by(f64::total_cmp)?;
        let near = waiting().filter(|(_, group)| group.share.starts <= first + step * 0.5);
        let dearer = |a: &Group, b: &Group| {
            a.utility.total_cmp(&b.utility).then(b.share.starts.total_cmp(&a.share.starts))
        };
        let next = near.max_by(|(_, a), (_, b)| dearer(a, b)).map(|(g, _)| g)?;
        self.clock = self.clock.max(first);
        let group = &mut self.groups[next];
        group.share.goes_in(first);
        group.pop()
    }

    pub fn remove(&mut self, session: SessionId) -> bool {
        self.groups.iter_mut().any(|group| !group.take(|ticket| ticket.request.session == session).is_empty())
    }

    /// Those that have waited as long as they may.
    pub fn overdue(&mut self, now: Instant) -> Vec<Ticket> {
        if self.earliest.is_none_or(|at| at > now) {
            return Vec::new();
        }
        let gone =
            self.groups.iter_mut().flat_map(|group| group.take(|ticket| ticket.until <= now)).collect();
        let waiting = self.groups.iter().flat_map(Group::tickets);
        self.earliest = waiting.map(|ticket| ticket.until).min();
        gone
    }

    /// Those whose turn can't come before they must be answered, when `rate` go in a second in all. Whoever is last in
    /// the longest queue goes first, so that the rest moves up.
    pub fn hopeless(&mut self, now: Instant, rate: f64) -> Vec<Ticket> {
        let mut gone = Vec::new();
        let waits = |group: &&mut Group| group.len() > 0;
        let weights: f64 = self.groups.iter().filter(|g| g.len() > 0).map(|g| g.share.weight).sum();
        for group in self.groups.iter_mut().filter(waits) {
            let mine = rate * group.share.weight / weights;
            let patience = |group: &Group| {
                group.tickets().map(|ticket| (ticket.until - now).as_ms() / 1e3).fold(0.0, f64::max)
            };
            // As many as may go in before the most patient must be answered, and one for chance.
            let may = (mine * patience(group)).ceil() + 1.0;
            while group.len() as f64 > may
                && let Some(ticket) = group.shed()
            {
                gone.push(ticket);
            }
        }
        gone
    }
}
