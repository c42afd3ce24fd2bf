//! The queue of waiting requests, fair on three levels. Service groups share admissions by start-time fair
//! queueing with weights (Goyal, Vin and Chen): a group that asks for less than its share is admitted at
//! once, what one group leaves unused goes to the others, and the backlog of one group does not delay
//! another. The tenants of a group share in the same way. The clients of a tenant are hashed to a fixed
//! number of queues that are served round-robin (McKenney's stochastic fairness): the backlog of a client
//! delays only the clients in the same queue, and the hash seed changes whenever all queues of the tenant
//! have become empty. All heavy clients share one queue, which gets no more turns than any other.
//!
//! Between groups with nearly the same start tag, the session with the higher utility goes first. Memory is
//! bounded by the capacity of the queue. When it is full, the last request of the longest queue of the group
//! that exceeds its share the most is evicted.

use std::collections::VecDeque;
use std::hash::Hasher;

use ashglade::ids::SessionId;
use ashglade::time::Instant;
use siphasher::sip::SipHasher13;

use crate::AdmissionRequest;

/// A waiting request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueuedRequest {
    /// The request as offered.
    pub request: AdmissionRequest,
    /// When the request was offered.
    pub enqueued_at: Instant,
    /// When the request is rejected if it has not been admitted.
    pub deadline: Instant,
    /// Whether the client returned in the retry slot reserved for it; it is then admitted before others of
    /// its tenant.
    pub in_slot: bool,
    /// The client's recent number of requests, if it is a heavy client.
    pub heavy_count: Option<u32>,
}

/// Number of client queues of a tenant, without the queue of reserved slots; the last one is for heavy
/// clients.
const CLIENT_QUEUES: usize = 64;
/// Index of the queue of clients that returned in their reserved retry slot.
const RESERVED_QUEUE: usize = CLIENT_QUEUES;

/// The state of one flow in start-time fair queueing.
#[derive(Debug)]
struct FairShare {
    /// Share relative to the other flows.
    weight: f64,
    /// Virtual time at which the flow's next request starts.
    start_tag: f64,
}

impl FairShare {
    fn new(weight: f64) -> FairShare {
        FairShare { weight: weight.max(1e-6), start_tag: 0.0 }
    }

    /// Called when an idle flow becomes backlogged: it gets no credit for its idle time.
    fn activate(&mut self, virtual_time: f64) {
        self.start_tag = self.start_tag.max(virtual_time);
    }

    /// Accounts for one admission.
    fn charge(&mut self, virtual_time: f64) {
        self.start_tag = self.start_tag.max(virtual_time) + 1.0 / self.weight;
    }
}

/// Waiting requests of one tenant in one group.
#[derive(Debug)]
struct ClientQueues {
    /// Seed of the hash that assigns clients to queues.
    hash_seed: u64,
    /// The client queues, and last the queue of reserved slots.
    queues: Vec<VecDeque<QueuedRequest>>,
    /// Indexes of the queues that are not empty, in round-robin order.
    active: VecDeque<usize>,
    /// Number of requests in all queues.
    len: usize,
}

/// Waiting requests of one service group.
#[derive(Debug)]
struct GroupQueue {
    share: FairShare,
    /// Utility of one of the group's sessions, which decides between groups with nearly the same start tag.
    utility: f64,
    /// Virtual time among the group's tenants.
    virtual_time: f64,
    tenants: Vec<(FairShare, ClientQueues)>,
}

/// Waiting requests of all service groups.
#[derive(Debug)]
pub struct FairQueue {
    groups: Vec<GroupQueue>,
    /// Virtual time among the groups: the start tag of the request admitted last.
    virtual_time: f64,
    /// Maximum number of waiting requests.
    capacity: usize,
    /// A lower bound on the deadlines of all waiting requests.
    earliest_deadline: Option<Instant>,
    random: oorandom::Rand64,
}

impl ClientQueues {
    fn queue_index(&self, queued: &QueuedRequest) -> usize {
        if queued.in_slot {
            return RESERVED_QUEUE;
        }
        if queued.heavy_count.is_some() {
            return CLIENT_QUEUES - 1;
        }
        let mut hasher = SipHasher13::new_with_keys(self.hash_seed, 0);
        hasher.write_u64(queued.request.client);
        (hasher.finish() % (CLIENT_QUEUES as u64 - 1)) as usize
    }

    fn push(&mut self, queued: QueuedRequest) {
        let queue = self.queue_index(&queued);
        if self.queues[queue].is_empty() {
            self.active.push_back(queue);
        }
        self.queues[queue].push_back(queued);
        self.len += 1;
    }

    fn pop(&mut self) -> Option<QueuedRequest> {
        let reserved = self.active.iter().position(|&queue| queue == RESERVED_QUEUE);
        let queue = self.active.remove(reserved.unwrap_or(0))?;
        let queued = self.queues[queue].pop_front()?;
        if !self.queues[queue].is_empty() {
            self.active.push_back(queue);
        }
        self.len -= 1;
        Some(queued)
    }

    /// Removes and returns all requests that match, in the order of the queues.
    fn remove_matching(&mut self, matches: impl Fn(&QueuedRequest) -> bool) -> Vec<QueuedRequest> {
        let mut removed = Vec::new();
        for queue in &mut self.queues {
            if queue.iter().any(&matches) {
                let (matching, kept): (VecDeque<_>, VecDeque<_>) = queue.drain(..).partition(&matches);
                *queue = kept;
                removed.extend(matching);
            }
        }
        if !removed.is_empty() {
            let queues = &self.queues;
            self.active.retain(|&queue| !queues[queue].is_empty());
            self.len -= removed.len();
        }
        removed
    }

    /// Evicts the last request of the longest queue. Requests in a reserved slot are evicted only if no other
    /// waits.
    fn evict(&mut self) -> Option<QueuedRequest> {
        let longest = (0..CLIENT_QUEUES).max_by_key(|&queue| self.queues[queue].len())?;
        let longest = if self.queues[longest].is_empty() { RESERVED_QUEUE } else { longest };
        let queued = self.queues[longest].pop_back()?;
        if self.queues[longest].is_empty() {
            self.active.retain(|&queue| queue != longest);
        }
        self.len -= 1;
        Some(queued)
    }
}

impl GroupQueue {
    fn len(&self) -> usize {
        self.tenants.iter().map(|(_, clients)| clients.len).sum()
    }

    fn pop(&mut self) -> Option<QueuedRequest> {
        let backlogged = self.tenants.iter_mut().filter(|(_, clients)| clients.len > 0);
        let (share, clients) = backlogged.min_by(|(a, _), (b, _)| a.start_tag.total_cmp(&b.start_tag))?;
        self.virtual_time = self.virtual_time.max(share.start_tag);
        share.charge(self.virtual_time);
        clients.pop()
    }

    fn remove_matching(&mut self, matches: impl Fn(&QueuedRequest) -> bool) -> Vec<QueuedRequest> {
        self.tenants.iter_mut().flat_map(|(_, clients)| clients.remove_matching(&matches)).collect()
    }

    /// Evicts the last request of the longest queue of the tenant that exceeds its share the most.
    fn evict(&mut self) -> Option<QueuedRequest> {
        let backlog = |(share, clients): &(FairShare, ClientQueues)| clients.len as f64 / share.weight;
        self.tenants.iter_mut().max_by(|a, b| backlog(a).total_cmp(&backlog(b)))?.1.evict()
    }

    fn requests(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.tenants.iter().flat_map(|(_, clients)| clients.queues.iter().flatten())
    }
}

impl FairQueue {
    /// Creates a queue from each group's weight and utility and the weights of the tenants, of which there is
    /// at least one.
    pub fn new(groups: &[(f64, f64)], tenant_weights: &[f64], capacity: usize, seed: u64) -> FairQueue {
        let mut random = oorandom::Rand64::new(seed.into());
        let mut client_queues = || ClientQueues {
            hash_seed: random.rand_u64(),
            queues: vec![VecDeque::new(); CLIENT_QUEUES + 1],
            active: VecDeque::new(),
            len: 0,
        };
        let mut group_queue = |&(weight, utility): &(f64, f64)| GroupQueue {
            share: FairShare::new(weight),
            utility,
            virtual_time: 0.0,
            tenants: tenant_weights.iter().map(|&weight| (FairShare::new(weight), client_queues())).collect(),
        };
        let groups = groups.iter().map(&mut group_queue).collect();
        FairQueue { groups, virtual_time: 0.0, capacity: capacity.max(1), earliest_deadline: None, random }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.groups.iter().map(GroupQueue::len).sum()
    }

    /// Returns the number of waiting requests by group.
    pub fn waiting_by_group(&self) -> Vec<usize> {
        self.groups.iter().map(GroupQueue::len).collect()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a request. If the queue is full, returns the request that is evicted, which may be the new one; a
    /// request of an unknown group is returned as well.
    pub fn push(&mut self, queued: QueuedRequest) -> Result<(), QueuedRequest> {
        let group_index = queued.request.group.0;
        let virtual_time = self.virtual_time;
        let Some(group) = self.groups.get_mut(group_index) else { return Err(queued) };
        if group.len() == 0 {
            group.share.activate(virtual_time);
        }
        let virtual_time = group.virtual_time;
        // An unknown tenant is treated as the first.
        let tenant_index =
            if queued.request.tenant < group.tenants.len() { queued.request.tenant } else { 0 };
        let Some((share, clients)) = group.tenants.get_mut(tenant_index) else { return Err(queued) };
        if clients.len == 0 {
            // A new seed assigns the clients to other queues, so that no two share one for good.
            share.activate(virtual_time);
            clients.hash_seed = self.random.rand_u64();
        }
        clients.push(queued);
        self.earliest_deadline =
            Some(self.earliest_deadline.map_or(queued.deadline, |at| at.min(queued.deadline)));
        if self.len() <= self.capacity {
            return Ok(());
        }
        let backlog = |group: &GroupQueue| group.len() as f64 / group.share.weight;
        let largest = (0..self.groups.len())
            .max_by(|&a, &b| backlog(&self.groups[a]).total_cmp(&backlog(&self.groups[b])));
        match largest.and_then(|largest| self.groups[largest].evict()) {
            Some(evicted) => Err(evicted),
            None => Ok(()),
        }
    }

    /// Removes the next request to admit: of the group with the lowest start tag or, among groups within half
    /// a session's virtual time of it, the one with the highest utility.
    pub fn pop(&mut self) -> Option<QueuedRequest> {
        let backlogged = || self.groups.iter().enumerate().filter(|(_, group)| group.len() > 0);
        let first = backlogged().map(|(_, group)| group.share.start_tag).min_by(f64::total_cmp)?;
        let step = backlogged().map(|(_, group)| 1.0 / group.share.weight).min_by(f64::total_cmp)?;
        let candidates = backlogged().filter(|(_, group)| group.share.start_tag <= first + step * 0.5);
        let priority = |a: &GroupQueue, b: &GroupQueue| {
            a.utility.total_cmp(&b.utility).then(b.share.start_tag.total_cmp(&a.share.start_tag))
        };
        let next = candidates.max_by(|(_, a), (_, b)| priority(a, b)).map(|(index, _)| index)?;
        self.virtual_time = self.virtual_time.max(first);
        let group = &mut self.groups[next];
        group.share.charge(first);
        group.pop()
    }

    /// Removes the request of a session. Returns false if it is not queued.
    pub fn remove(&mut self, session: SessionId) -> bool {
        self.groups
            .iter_mut()
            .any(|group| !group.remove_matching(|queued| queued.request.session == session).is_empty())
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn take_expired(&mut self, now: Instant) -> Vec<QueuedRequest> {
        if self.earliest_deadline.is_none_or(|at| at > now) {
            return Vec::new();
        }
        let expired = self
            .groups
            .iter_mut()
            .flat_map(|group| group.remove_matching(|queued| queued.deadline <= now))
            .collect();
        let waiting = self.groups.iter().flat_map(GroupQueue::requests);
        self.earliest_deadline = waiting.map(|queued| queued.deadline).min();
        expired
    }

    /// Evicts the requests that cannot be admitted before their deadline when all groups together get `rate`
    /// admissions a second. The last of the longest queue is evicted first, so that the others move up.
    pub fn evict_unreachable(&mut self, now: Instant, rate: f64) -> Vec<QueuedRequest> {
        let mut evicted = Vec::new();
        let backlogged = |group: &&mut GroupQueue| group.len() > 0;
        let total_weight: f64 = self.groups.iter().filter(|g| g.len() > 0).map(|g| g.share.weight).sum();
        for group in self.groups.iter_mut().filter(backlogged) {
            let group_rate = rate * group.share.weight / total_weight;
            let seconds_left = |group: &GroupQueue| {
                group.requests().map(|queued| (queued.deadline - now).as_ms() / 1e3).fold(0.0, f64::max)
            };
            // As many as can be admitted before the latest deadline, and one more to allow for variation.
            let reachable = (group_rate * seconds_left(group)).ceil() + 1.0;
            while group.len() as f64 > reachable
                && let Some(queued) = group.evict()
            {
                evicted.push(queued);
            }
        }
        evicted
    }
}
