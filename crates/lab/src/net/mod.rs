//! Relay network between the processes of a day. Every path between two parties passes through a relay in
//! this process, which can cut, delay and observe it. Faults start at fixed times or just before a matching
//! message passes.

mod classify;
mod tcp;
mod udp;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::Duration;

use ashglade_judge::EventKind;
use ashglade_peer_transport::codec::Codec;
use ashglade_standin::TrafficRecorder;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;
use tokio::time::Instant;

pub use crate::day::schema::{Deed as FaultKind, Fault, Said as MessageKind};
use crate::directors::Directors;

/// A communicating party.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Party {
    /// All viewers together.
    Viewers,
    /// A director, by number.
    Director(u16),
    /// A media node, by index.
    Node(usize),
}

/// All parties of a day; resolves the party names in faults.
#[derive(Clone, Debug)]
pub struct Parties {
    pub zones: Vec<String>,
    pub directors: u16,
    pub nodes: usize,
}

impl Parties {
    /// The parties that a name stands for; `None` if there are none.
    pub fn resolve(&self, name: &str) -> Option<BTreeSet<Party>> {
        let directors = || (0..self.directors).map(Party::Director);
        let nodes = || (0..self.nodes).map(Party::Node);
        let parts: Vec<&str> = name.split_whitespace().collect();
        // Directors and nodes are spread round-robin over the zones, as in the settings.
        let zone = |zone: &str| self.zones.iter().position(|known| known == zone);
        let in_zone = |zone: usize| {
            move |party: &Party| match *party {
                Party::Director(d) => usize::from(d) % self.zones.len() == zone,
                Party::Node(count) => count % self.zones.len() == zone,
                Party::Viewers => false,
            }
        };
        let found: BTreeSet<Party> = match parts.as_slice() {
            ["viewers"] => BTreeSet::from([Party::Viewers]),
            ["directors"] => directors().collect(),
            ["nodes"] => nodes().collect(),
            ["director", count] => {
                directors().filter(|&d| Some(d) == count.parse().ok().map(Party::Director)).collect()
            }
            ["node", count] => nodes().filter(|&d| Some(d) == count.parse().ok().map(Party::Node)).collect(),
            ["zone", name] => directors().chain(nodes()).filter(in_zone(zone(name)?)).collect(),
            ["directors", "of", name] => directors().filter(in_zone(zone(name)?)).collect(),
            ["nodes", "of", name] => nodes().filter(in_zone(zone(name)?)).collect(),
            _ => return None,
        };
        (!found.is_empty()).then_some(found)
    }

    /// All parties of the day.
    fn all(&self) -> BTreeSet<Party> {
        let directors = (0..self.directors).map(Party::Director);
        directors.chain((0..self.nodes).map(Party::Node)).chain([Party::Viewers]).collect()
    }

    /// The parties that any of the names stands for.
    fn resolve_all(&self, names: &[String]) -> BTreeSet<Party> {
        names.iter().filter_map(|name| self.resolve(name)).flatten().collect()
    }
}

/// A fault with its party names resolved.
#[derive(Clone, Debug)]
struct ResolvedFault {
    /// Index of the fault in the day.
    index: usize,
    kind: FaultKind,
    from: BTreeSet<Party>,
    to: BTreeSet<Party>,
    /// Whether it also applies from `to` to `from`.
    both: bool,
    /// Parameter of the fault; its unit depends on the kind (see `day.proto`).
    size: f64,
    /// How long it lasts; to the end of the day if `None`.
    duration: Option<Duration>,
}

/// The combined effect of all active faults on one path.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkState {
    /// Nothing passes.
    pub cut: bool,
    /// Additional latency.
    pub delay: Duration,
    /// Probability that a datagram is lost, and that data on a connection is delayed like a lost segment.
    pub loss: f64,
    /// Probability that a datagram is delivered twice.
    pub duplicate: f64,
    /// Maximum random additional delay of a datagram.
    pub reorder: Duration,
    /// Throughput limit of a connection in bytes per second; 0 for none.
    pub bytes_per_second: f64,
}

/// A fault that has not started yet, with the message that it waits for.
struct PendingFault {
    fault: ResolvedFault,
    message: MessageKind,
    from: BTreeSet<Party>,
    to: BTreeSet<Party>,
    /// Number of matching messages left until the fault starts; 0 if it starts at a fixed time.
    messages_left: u32,
}

/// Faults and other state that changes during the day.
struct State {
    /// Faults in effect on paths.
    active: Vec<ResolvedFault>,
    pending: Vec<PendingFault>,
    /// Directors that are stopped by a fault.
    paused: BTreeSet<u16>,
    random: oorandom::Rand64,
    /// By fault: number of times it has started.
    start_counts: Vec<u32>,
    /// Set when the day ends; no fault starts after that.
    finished: bool,
}

/// The relays and faults of a day.
pub struct Network {
    state: Mutex<State>,
    /// Signals each change of the active faults.
    changed: watch::Sender<u64>,
    log: TrafficRecorder,
    /// Decodes datagrams between directors; `None` without a secret.
    codec: Option<Codec>,
    directors: OnceLock<Arc<Directors>>,
    /// Each director's own address for peer datagrams.
    peer_addresses: Vec<SocketAddr>,
    /// By sender and receiver: the relay socket at which the sender reaches the receiver.
    peer_relays: Vec<Vec<Arc<UdpSocket>>>,
    /// Whether restarted directors record their rounds.
    record: bool,
}

/// The peer address of a director: on a loopback address derived from this process's id, so that no other
/// process takes the port while the director is down.
fn peer_address(director: u16) -> SocketAddr {
    let pid = std::process::id();
    let [.., high, low] = pid.to_be_bytes();
    ([127, 64 + high % 128, low, 1 + (director % 250) as u8], 7000 + director / 250).into()
}

impl Network {
    /// Opens the datagram relays between directors. Their messages are classified only if `secret` is given.
    pub async fn start(
        faults: &[Fault],
        parties: &Parties,
        (seed, secret, record): (u64, Option<&str>, bool),
        log: TrafficRecorder,
    ) -> std::io::Result<Arc<Network>> {
        let count = usize::from(parties.directors);
        let mut peer_relays = Vec::new();
        for _ in 0..count {
            let mut row = Vec::new();
            for _ in 0..count {
                row.push(Arc::new(UdpSocket::bind("127.0.0.1:0").await?));
            }
            peer_relays.push(row);
        }
        let mut pending = Vec::new();
        for (index, fault) in faults.iter().enumerate() {
            let from = parties.resolve_all(&fault.from);
            let to = match fault.to.is_empty() {
                true => parties.all().difference(&from).copied().collect(),
                false => parties.resolve_all(&fault.to),
            };
            let resolved = ResolvedFault {
                index,
                kind: fault.deed(),
                from,
                to,
                both: fault.both.unwrap_or(false),
                size: fault.size.unwrap_or(0.0),
                duration: fault.for_s.map(Duration::from_secs_f64),
            };
            if let Some(when) = &fault.when {
                let (from, to) = (parties.resolve_all(&when.from), parties.resolve_all(&when.to));
                let messages_left = when.nth.unwrap_or(1).max(1);
                pending.push(PendingFault { fault: resolved, message: when.said(), from, to, messages_left });
            } else {
                // Starts at a fixed time: kept in the same list, with a count at which no message starts it.
                pending.push(PendingFault {
                    fault: resolved,
                    message: MessageKind::Anything,
                    from: BTreeSet::new(),
                    to: BTreeSet::new(),
                    messages_left: 0,
                });
            }
        }
        let random = oorandom::Rand64::new(u128::from(seed) << 3 | 5);
        let state = State {
            active: Vec::new(),
            pending,
            paused: BTreeSet::new(),
            random,
            start_counts: vec![0; faults.len()],
            finished: false,
        };
        let peer_addresses = (0..parties.directors).map(peer_address).collect();
        let net = Arc::new(Network {
            state: Mutex::new(state),
            changed: watch::channel(0).0,
            log,
            codec: secret.and_then(Codec::new),
            directors: OnceLock::new(),
            peer_addresses,
            peer_relays,
            record,
        });
        for (from, to) in (0..count).flat_map(|a| (0..count).map(move |b| (a, b))).filter(|(a, b)| a != b) {
            tokio::spawn(udp::relay_datagrams(net.clone(), from, to));
        }
        Ok(net)
    }

    /// The peer addresses for a director's settings: its own, and a relay for each other director.
    pub fn peers(&self, director: u16) -> Vec<String> {
        let own = usize::from(director);
        let address = |to: usize| match to == own {
            true => Some(self.peer_addresses[own]),
            false => self.peer_relays[own][to].local_addr().ok(),
        };
        (0..self.peer_addresses.len()).filter_map(address).map(|address| address.to_string()).collect()
    }

    /// Opens a TCP relay from `from` to `to`, which listens at `real`, and returns the relay's address.
    pub async fn open_relay(
        self: &Arc<Network>,
        from: Party,
        to: Party,
        target: SocketAddr,
    ) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        tokio::spawn(tcp::accept(self.clone(), listener, from, to, target));
        Ok(address)
    }

    /// Allows faults to start and schedules those with fixed times, relative to `begun`.
    pub fn start_faults(
        self: &Arc<Network>,
        directors: Arc<Directors>,
        faults: &[Fault],
        day_start: Instant,
    ) {
        let _ = self.directors.set(directors);
        for (index, fault) in faults.iter().enumerate() {
            let Some(at) = fault.at_s else { continue };
            let net = self.clone();
            tokio::spawn(async move {
                tokio::time::sleep_until(day_start + Duration::from_secs_f64(at)).await;
                if let Some(fault) = net.take_pending(index) {
                    net.start_fault(fault).await;
                }
            });
        }
    }

    /// Removes a fault from those that wait.
    fn take_pending(&self, index: usize) -> Option<ResolvedFault> {
        let mut state = self.state();
        let at = state.pending.iter().position(|pending| pending.fault.index == index)?;
        Some(state.pending.remove(at).fault)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Wakes tasks that wait for a change of the active faults.
    fn notify_change(&self) {
        self.changed.send_modify(|version| *version += 1);
    }

    /// The current effect of all active faults on the path from `from` to `to`.
    pub fn link_state(&self, from: Party, to: Party) -> LinkState {
        let mut link = LinkState::default();
        for fault in &self.state().active {
            let forward = fault.from.contains(&from) && fault.to.contains(&to);
            let backward = fault.both && fault.from.contains(&to) && fault.to.contains(&from);
            if !forward && !backward {
                continue;
            }
            let delay = Duration::from_secs_f64(fault.size.clamp(0.0, 1e6) / 1e3);
            match fault.kind {
                FaultKind::Cut => link.cut = true,
                FaultKind::Delay => link.delay = link.delay.max(delay),
                FaultKind::Loss => link.loss = link.loss.max(fault.size),
                FaultKind::Double => link.duplicate = link.duplicate.max(fault.size),
                FaultKind::Reorder => link.reorder = link.reorder.max(delay),
                FaultKind::Trickle => link.bytes_per_second = fault.size,
                FaultKind::NoDeed | FaultKind::Kill | FaultKind::Stop => {}
            }
        }
        link
    }

    /// Waits until the path is no longer cut, or the day ends.
    async fn wait_until_healed(&self, from: Party, to: Party) {
        let mut changes = self.changed.subscribe();
        while self.link_state(from, to).cut && !self.state().finished {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// A random number from 0 to 1.
    fn random_fraction(&self) -> f64 {
        self.state().random.rand_float()
    }

    /// Starts the faults that wait for a message that is about to pass.
    async fn before_message(self: &Arc<Network>, message: MessageKind, from: Party, to: Party) {
        let mut due = Vec::new();
        {
            let mut state = self.state();
            state.pending.retain_mut(|pending| {
                let any = |set: &BTreeSet<Party>, party| set.is_empty() || set.contains(&party);
                let is_match = pending.messages_left > 0
                    && (pending.message == message || pending.message == MessageKind::Anything)
                    && any(&pending.from, from)
                    && any(&pending.to, to);
                if is_match {
                    pending.messages_left -= 1;
                    if pending.messages_left == 0 {
                        due.push(pending.fault.clone());
                        return false;
                    }
                }
                true
            });
        }
        for fault in due {
            self.start_fault(fault).await;
        }
    }

    /// Starts a fault and schedules its end.
    async fn start_fault(self: &Arc<Network>, fault: ResolvedFault) {
        {
            let mut state = self.state();
            if state.finished {
                return;
            }
            state.start_counts[fault.index] += 1;
            if !matches!(fault.kind, FaultKind::Kill | FaultKind::Stop) {
                state.active.push(fault.clone());
            }
        }
        self.notify_change();
        let directors: Vec<u16> = fault
            .from
            .iter()
            .filter_map(|party| match party {
                Party::Director(d) => Some(*d),
                _ => None,
            })
            .collect();
        let Some(all_directors) = self.directors.get().cloned() else { return };
        let from = self.log.now_ms();
        for &director in &directors {
            match fault.kind {
                FaultKind::Kill => all_directors.kill(director).await,
                FaultKind::Stop => {
                    all_directors.pause(director);
                    self.state().paused.insert(director);
                }
                _ => {}
            }
        }
        let Some(duration) = fault.duration else { return };
        let net = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(duration).await;
            if net.state().finished {
                return;
            }
            match fault.kind {
                FaultKind::Kill => {
                    for director in directors {
                        // A failed restart shows in the viewers' traffic.
                        let _ = all_directors.start(director, net.record).await;
                    }
                }
                FaultKind::Stop => {
                    directors.into_iter().for_each(|director| net.resume(&all_directors, director, from))
                }
                _ => {
                    net.state().active.retain(|active| active.index != fault.index);
                    net.notify_change();
                    net.report_unreachable_directors(&fault, from);
                }
            }
        });
    }

    /// Resumes a director if a fault had stopped it.
    fn resume(&self, directors: &Directors, director: u16, from: f64) {
        if self.state().paused.remove(&director) {
            directors.resume(director, from);
        }
    }

    /// Reports directors that viewers could not reach because of a fault as stalled since `from`, so that the
    /// judge doesn't count their requests as unanswered.
    fn report_unreachable_directors(&self, fault: &ResolvedFault, from: f64) {
        let both = [(&fault.from, &fault.to), (&fault.to, &fault.from)];
        for (one, other) in both {
            if one.contains(&Party::Viewers) {
                for party in other {
                    if let Party::Director(director) = *party {
                        self.log.record(EventKind::DirectorPaused { director, from });
                    }
                }
            }
        }
    }

    /// Ends all faults and prevents new ones. Returns, by fault, whether it had started.
    pub fn finish(&self) -> Vec<bool> {
        let (active, paused, started) = {
            let mut state = self.state();
            state.finished = true;
            let paused = std::mem::take(&mut state.paused);
            (std::mem::take(&mut state.active), paused, state.start_counts.clone())
        };
        self.notify_change();
        if let Some(directors) = self.directors.get() {
            paused.into_iter().for_each(|director| directors.resume(director, 0.0));
        }
        active.iter().for_each(|fault| self.report_unreachable_directors(fault, 0.0));
        started.into_iter().map(|times| times > 0).collect()
    }
}
