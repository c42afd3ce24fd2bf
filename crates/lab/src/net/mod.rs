//! The network between the processes of a day: every path between two parties goes through a relay here, so that it can be
//! cut, slowed and heard. Faults start at times, or just before a message passes that is waited for.

mod said;
mod tcp;
mod udp;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::Duration;

use ashglade_judge::What;
use ashglade_peer_transport::codec::Codec;
use ashglade_standin::Log;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;
use tokio::time::Instant;

pub use crate::day::schema::{Deed, Fault, Said};
use crate::directors::Directors;

/// Who speaks with whom.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Party {
    Viewers,
    Director(u16),
    Node(usize),
}

/// All parties of a day, for the names in its faults.
#[derive(Clone, Debug)]
pub struct Parties {
    pub zones: Vec<String>,
    pub directors: u16,
    pub nodes: usize,
}

impl Parties {
    /// Those that a name stands for; none if it stands for nobody.
    pub fn named(&self, name: &str) -> Option<BTreeSet<Party>> {
        let directors = || (0..self.directors).map(Party::Director);
        let nodes = || (0..self.nodes).map(Party::Node);
        let words: Vec<&str> = name.split_whitespace().collect();
        // As settings deal them out: one after the other over the zones.
        let zone = |zone: &str| self.zones.iter().position(|known| known == zone);
        let inside = |zone: usize| {
            move |party: &Party| match *party {
                Party::Director(d) => usize::from(d) % self.zones.len() == zone,
                Party::Node(n) => n % self.zones.len() == zone,
                Party::Viewers => false,
            }
        };
        let found: BTreeSet<Party> = match words.as_slice() {
            ["viewers"] => BTreeSet::from([Party::Viewers]),
            ["directors"] => directors().collect(),
            ["nodes"] => nodes().collect(),
            ["director", n] => {
                directors().filter(|&d| Some(d) == n.parse().ok().map(Party::Director)).collect()
            }
            ["node", n] => nodes().filter(|&d| Some(d) == n.parse().ok().map(Party::Node)).collect(),
            ["zone", name] => directors().chain(nodes()).filter(inside(zone(name)?)).collect(),
            ["directors", "of", name] => directors().filter(inside(zone(name)?)).collect(),
            ["nodes", "of", name] => nodes().filter(inside(zone(name)?)).collect(),
            _ => return None,
        };
        (!found.is_empty()).then_some(found)
    }

    fn all(&self) -> BTreeSet<Party> {
        let directors = (0..self.directors).map(Party::Director);
        directors.chain((0..self.nodes).map(Party::Node)).chain([Party::Viewers]).collect()
    }

    fn several(&self, names: &[String]) -> BTreeSet<Party> {
        names.iter().filter_map(|name| self.named(name)).flatten().collect()
    }
}

/// A fault with its parties found.
#[derive(Clone, Debug)]
struct Found {
    number: usize,
    deed: Deed,
    from: BTreeSet<Party>,
    to: BTreeSet<Party>,
    both: bool,
    size: f64,
    lasts: Option<Duration>,
}

/// What a path does to what passes on it just now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Link {
    pub cut: bool,
    pub delay: Duration,
    pub loss: f64,
    pub double: f64,
    pub reorder: Duration,
    /// Bytes a second; endless if 0.
    pub trickle: f64,
}

struct Waiting {
    fault: Found,
    said: Said,
    from: BTreeSet<Party>,
    to: BTreeSet<Party>,
    left: u32,
}

struct State {
    active: Vec<Found>,
    waiting: Vec<Waiting>,
    paused: BTreeSet<u16>,
    random: oorandom::Rand64,
    /// By fault: how often it has started.
    started: Vec<u32>,
    over: bool,
}

pub struct Net {
    state: Mutex<State>,
    /// Told of each change of what is active.
    changed: watch::Sender<u64>,
    log: Log,
    codec: Option<Codec>,
    directors: OnceLock<Arc<Directors>>,
    /// Each director's own address for datagrams.
    talks: Vec<SocketAddr>,
    /// By sender and receiver: where the one finds the other.
    paths: Vec<Vec<Arc<UdpSocket>>>,
    record: bool,
}

/// Ports on addresses of this process's own, so that nobody else's come in between while a director is down.
fn talk_address(director: u16) -> SocketAddr {
    let pid = std::process::id();
    let [.., high, low] = pid.to_be_bytes();
    ([127, 64 + high % 128, low, 1 + (director % 250) as u8], 7000 + director / 250).into()
}

impl Net {
    /// Opens the paths between directors. `secret` lets what they say be told apart.
    pub async fn start(
        faults: &[Fault],
        parties: &Parties,
        (seed, secret, record): (u64, Option<&str>, bool),
        log: Log,
    ) -> std::io::Result<Arc<Net>> {
        let n = usize::from(parties.directors);
        let mut paths = Vec::new();
        for _ in 0..n {
            let mut row = Vec::new();
            for _ in 0..n {
                row.push(Arc::new(UdpSocket::bind("127.0.0.1:0").await?));
            }
            paths.push(row);
        }
        let mut waiting = Vec::new();
        for (number, fault) in faults.iter().enumerate() {
            let from = parties.several(&fault.from);
            let to = match fault.to.is_empty() {
                true => parties.all().difference(&from).copied().collect(),
                false => parties.several(&fault.to),
            };
            let found = Found {
                number,
                deed: fault.deed(),
                from,
                to,
                both: fault.both.unwrap_or(false),
                size: fault.size.unwrap_or(0.0),
                lasts: fault.for_s.map(Duration::from_secs_f64),
            };
            if let Some(when) = &fault.when {
                let (from, to) = (parties.several(&when.from), parties.several(&when.to));
                let left = when.nth.unwrap_or(1).max(1);
                waiting.push(Waiting { fault: found, said: when.said(), from, to, left });
            } else {
                // At a time: the same road, with a message that never comes.
                waiting.push(Waiting {
                    fault: found,
                    said: Said::Anything,
                    from: BTreeSet::new(),
                    to: BTreeSet::new(),
                    left: 0,
                });
            }
        }
        let random = oorandom::Rand64::new(u128::from(seed) << 3 | 5);
        let state = State {
            active: Vec::new(),
            waiting,
            paused: BTreeSet::new(),
            random,
            started: vec![0; faults.len()],
            over: false,
        };
        let talks = (0..parties.directors).map(talk_address).collect();
        let net = Arc::new(Net {
            state: Mutex::new(state),
            changed: watch::channel(0).0,
            log,
            codec: secret.and_then(Codec::new),
            directors: OnceLock::new(),
            talks,
            paths,
            record,
        });
        for (from, to) in (0..n).flat_map(|a| (0..n).map(move |b| (a, b))).filter(|(a, b)| a != b) {
            tokio::spawn(udp::carry(net.clone(), from, to));
        }
        Ok(net)
    }

    /// The peers that a director is told of: itself as it is, the others as their paths.
    pub fn peers(&self, director: u16) -> Vec<String> {
        let me = usize::from(director);
        let address = |to: usize| match to == me {
            true => Some(self.talks[me]),
            false => self.paths[me][to].local_addr().ok(),
        };
        (0..self.talks.len()).filter_map(address).map(|address| address.to_string()).collect()
    }

    /// A path on which `from` connects to `to`; its address.
    pub async fn path(
        self: &Arc<Net>,
        from: Party,
        to: Party,
        real: SocketAddr,
    ) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        tokio::spawn(tcp::accept(self.clone(), listener, from, to, real));
        Ok(address)
    }

    /// From here on faults may start; those that start at times do.
    pub fn begin(self: &Arc<Net>, directors: Arc<Directors>, faults: &[Fault], begun: Instant) {
        let _ = self.directors.set(directors);
        for (number, fault) in faults.iter().enumerate() {
            let Some(at) = fault.at_s else { continue };
            let net = self.clone();
            tokio::spawn(async move {
                tokio::time::sleep_until(begun + Duration::from_secs_f64(at)).await;
                if let Some(fault) = net.take(number) {
                    net.cause(fault).await;
                }
            });
        }
    }

    /// A fault that waits no longer.
    fn take(&self, number: usize) -> Option<Found> {
        let mut state = self.state();
        let at = state.waiting.iter().position(|waiting| waiting.fault.number == number)?;
        Some(state.waiting.remove(at).fault)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|broken| broken.into_inner())
    }

    fn change(&self) {
        self.changed.send_modify(|n| *n += 1);
    }

    pub fn link(&self, from: Party, to: Party) -> Link {
        let mut link = Link::default();
        for fault in &self.state().active {
            let this = fault.from.contains(&from) && fault.to.contains(&to);
            let back = fault.both && fault.from.contains(&to) && fault.to.contains(&from);
            if !this && !back {
                continue;
            }
            let span = Duration::from_secs_f64(fault.size.clamp(0.0, 1e6) / 1e3);
            match fault.deed {
                Deed::Cut => link.cut = true,
                Deed::Delay => link.delay = link.delay.max(span),
                Deed::Loss => link.loss = link.loss.max(fault.size),
                Deed::Double => link.double = link.double.max(fault.size),
                Deed::Reorder => link.reorder = link.reorder.max(span),
                Deed::Trickle => link.trickle = fault.size,
                Deed::NoDeed | Deed::Kill | Deed::Stop => {}
            }
        }
        link
    }

    /// Waits until the path lets through again.
    async fn healed(&self, from: Party, to: Party) {
        let mut changes = self.changed.subscribe();
        while self.link(from, to).cut && !self.state().over {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    fn draw(&self) -> f64 {
        self.state().random.rand_float()
    }

    /// A message is about to pass; faults that wait for it start before it does.
    async fn passing(self: &Arc<Net>, said: Said, from: Party, to: Party) {
        let mut due = Vec::new();
        {
            let mut state = self.state();
            state.waiting.retain_mut(|waiting| {
                let any = |set: &BTreeSet<Party>, party| set.is_empty() || set.contains(&party);
                let this = waiting.left > 0
                    && (waiting.said == said || waiting.said == Said::Anything)
                    && any(&waiting.from, from)
                    && any(&waiting.to, to);
                if this {
                    waiting.left -= 1;
                    if waiting.left == 0 {
                        due.push(waiting.fault.clone());
                        return false;
                    }
                }
                true
            });
        }
        for fault in due {
            self.cause(fault).await;
        }
    }

    /// A fault starts; its end is seen to.
    async fn cause(self: &Arc<Net>, fault: Found) {
        {
            let mut state = self.state();
            if state.over {
                return;
            }
            state.started[fault.number] += 1;
            if !matches!(fault.deed, Deed::Kill | Deed::Stop) {
                state.active.push(fault.clone());
            }
        }
        self.change();
        let directors: Vec<u16> = fault
            .from
            .iter()
            .filter_map(|party| match party {
                Party::Director(d) => Some(*d),
                _ => None,
            })
            .collect();
        let Some(all) = self.directors.get().cloned() else { return };
        let from = self.log.now();
        for &director in &directors {
            match fault.deed {
                Deed::Kill => all.kill(director).await,
                Deed::Stop => {
                    all.pause(director);
                    self.state().paused.insert(director);
                }
                _ => {}
            }
        }
        let Some(lasts) = fault.lasts else { return };
        let net = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(lasts).await;
            if net.state().over {
                return;
            }
            match fault.deed {
                Deed::Kill => {
                    for director in directors {
                        // One that doesn't come back is seen by its viewers.
                        let _ = all.start(director, net.record).await;
                    }
                }
                Deed::Stop => directors.into_iter().for_each(|director| net.resume(&all, director, from)),
                _ => {
                    net.state().active.retain(|active| active.number != fault.number);
                    net.change();
                    net.excuse(&fault, from);
                }
            }
        });
    }

    fn resume(&self, directors: &Directors, director: u16, from: f64) {
        if self.state().paused.remove(&director) {
            directors.resume(director, from);
        }
    }

    /// Viewers whose path to a director was broken had no running director there.
    fn excuse(&self, fault: &Found, from: f64) {
        let both = [(&fault.from, &fault.to), (&fault.to, &fault.from)];
        for (one, other) in both {
            if one.contains(&Party::Viewers) {
                for party in other {
                    if let Party::Director(director) = *party {
                        self.log.saw(What::DirectorStood { director, from });
                    }
                }
            }
        }
    }

    /// All faults are over, and none starts any more; by fault, whether it had started.
    pub fn finish(&self) -> Vec<bool> {
        let (active, paused, started) = {
            let mut state = self.state();
            state.over = true;
            let paused = std::mem::take(&mut state.paused);
            (std::mem::take(&mut state.active), paused, state.started.clone())
        };
        self.change();
        if let Some(directors) = self.directors.get() {
            paused.into_iter().for_each(|director| directors.resume(director, 0.0));
        }
        active.iter().for_each(|fault| self.excuse(fault, 0.0));
        started.into_iter().map(|times| times > 0).collect()
    }
}
