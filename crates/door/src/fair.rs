//! Those that wait. Between service groups by start-time fair queueing with weights (Goyal, Vin and Chen): whoever
//! asks less than its share goes in at once, what one group leaves is the others', and no group's backlog delays
//! another's. Within a group, clients are hashed to a few queues that take turns (McKenney's stochastic fairness): one
//! client's backlog delays those of its queue only, and the hash's seed changes whenever a group's queues are empty.
//! A client that is known for heavy goes to the queue of such clients, one of as many as there are queues.
//!
//! At equal turns the dearer session goes first. Memory is bounded by the places to wait; when those are all taken,
//! the place goes to whoever has least: the last of the longest queue of the group that is most over its share goes.

use std::collections::VecDeque;
use std::hash::Hasher;

use ashglade::ids::Sess;
use ashglade::time::Instant;
use siphasher::sip::SipHasher13;

use crate::Request;

/// A request that waits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ticket {
    pub request: Request,
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

#[derive(Debug)]
struct GroupQueue {
    weight: f64,
    utility: f64,
    /// Virtual time at which its next request starts.
    starts: f64,
    seed: u64,
    queues: Vec<VecDeque<Ticket>>,
    /// Queues that aren't empty, in the order of their turns.
    turns: VecDeque<usize>,
    len: usize,
}

#[derive(Debug)]
pub struct Fair {
    groups: Vec<GroupQueue>,
    /// The virtual time: the start of what went in last.
    clock: f64,
    most: usize,
    /// Nobody has to be answered before this; may be earlier than needed.
    earliest: Option<Instant>,
    random: oorandom::Rand64,
}

impl GroupQueue {
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

impl Fair {
    pub fn new(weights: &[f64], utilities: &[f64], most: usize, seed: u64) -> Fair {
        let mut random = oorandom::Rand64::new(seed.into());
        let mut group = |(&weight, &utility): (&f64, &f64)| GroupQueue {
            weight: weight.max(1e-6),
            utility,
            starts: 0.0,
            seed: random.rand_u64(),
            queues: vec![VecDeque::new(); QUEUES + 1],
            turns: VecDeque::new(),
            len: 0,
        };
        let groups = weights.iter().zip(utilities).map(&mut group).collect();
        Fair { groups, clock: 0.0, most: most.max(1), earliest: None, random }
    }

    pub fn len(&self) -> usize {
        self.groups.iter().map(|group| group.len).sum()
    }

    /// Requests that wait, by group.
    pub fn waiting(&self) -> Vec<usize> {
        self.groups.iter().map(|group| group.len).collect()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes a request; where all places are taken, somebody is turned away for it, or it is.
    pub fn push(&mut self, ticket: Ticket) -> Result<(), Ticket> {
        let g = ticket.request.group.0;
        let clock = self.clock;
        let Some(group) = self.groups.get_mut(g) else { return Err(ticket) };
        if group.len == 0 {
            // It asked for nothing and has no claim on what is past. Its clients are mixed anew.
            group.starts = group.starts.max(clock);
            group.seed = self.random.rand_u64();
        }
        group.push(ticket);
        self.earliest = Some(self.earliest.map_or(ticket.until, |at| at.min(ticket.until)));
        if self.len() <= self.most {
            return Ok(());
        }
        let over = |group: &GroupQueue| group.len as f64 / group.weight;
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
        let waiting = || self.groups.iter().enumerate().filter(|(_, group)| group.len > 0);
        let first = waiting().map(|(_, group)| group.starts).min_by(f64::total_cmp)?;
        let step = waiting().map(|(_, group)| 1.0 / group.weight).min_by(f64::total_cmp)?;
        let near = waiting().filter(|(_, group)| group.starts <= first + step * 0.5);
        let next = near
            .max_by(|(_, a), (_, b)| a.utility.total_cmp(&b.utility).then(b.starts.total_cmp(&a.starts)))
            .map(|(g, _)| g)?;
        self.clock = self.clock.max(first);
        let group = &mut self.groups[next];
        group.starts = group.starts.max(first) + 1.0 / group.weight;
        group.pop()
    }

    pub fn remove(&mut self, sess: Sess) -> bool {
        self.groups.iter_mut().any(|group| !group.take(|ticket| ticket.request.sess == sess).is_empty())
    }

    /// Those that have waited as long as they may.
    pub fn overdue(&mut self, now: Instant) -> Vec<Ticket> {
        if self.earliest.is_none_or(|at| at > now) {
            return Vec::new();
        }
        let gone =
            self.groups.iter_mut().flat_map(|group| group.take(|ticket| ticket.until <= now)).collect();
        let waiting = self.groups.iter().flat_map(|group| group.queues.iter().flatten());
        self.earliest = waiting.map(|ticket| ticket.until).min();
        gone
    }

    /// Those whose turn can't come before they must be answered, when `rate` go in a second in all. Whoever is last in
    /// the longest queue goes first, so that the rest moves up.
    pub fn hopeless(&mut self, now: Instant, rate: f64) -> Vec<Ticket> {
        let mut gone = Vec::new();
        let weights: f64 = self.groups.iter().filter(|group| group.len > 0).map(|group| group.weight).sum();
        for group in self.groups.iter_mut().filter(|group| group.len > 0) {
            let mine = rate * group.weight / weights;
            let patience = |group: &GroupQueue| {
                let all = group.queues.iter().flatten();
                all.map(|ticket| (ticket.until - now).as_ms() / 1e3).fold(0.0, f64::max)
            };
            // As many as may go in before the most patient must be answered, and one for chance.
            let may = (mine * patience(group)).ceil() + 1.0;
            while group.len as f64 > may
                && let Some(ticket) = group.shed()
            {
                gone.push(ticket);
            }
        }
        gone
    }
}
