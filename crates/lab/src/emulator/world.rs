//! The events of a day, in their order.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use ashglade::ids::{NodeId, SetupNumber};
use ashglade::interface::RetrySafety;
use ashglade::time::Instant;
use ashglade_discovery::{NodeEntry, NodeList, NodeState};
use ashglade_engine::{Input, SessionResponse};
use ashglade_settings::{Settings, Title};
use ashglade_shared::PeerMessage;

use super::crowd::Viewer;
use super::nodes::{Fleet, Handled, Key};
use super::report::{Report, Sample};
use super::shells::Shell;
use super::talk::{self, Talker};
use super::troubles::{self, Change, Sizes};
use crate::day::Day;
use crate::{directors, play, visits};

#[derive(Debug)]
pub(super) enum Event {
    /// The next viewer comes.
    Comes,
    /// A viewer asks, at first or again.
    Asks {
        viewer: usize,
    },
    /// It is answered.
    Answered {
        viewer: usize,
        again: u32,
        answer: SessionResponse,
    },
    /// Its session, or the connection, broke.
    Breaks {
        viewer: usize,
        again: u32,
    },
    /// It doesn't wait any longer, or has watched enough.
    GivesUp {
        viewer: usize,
        again: u32,
    },
    Ends {
        viewer: usize,
        again: u32,
    },
    /// Something reaches a director's process.
    Reaches {
        director: u16,
        life: u32,
        input: Input,
    },
    /// It is time for a round.
    Round {
        director: u16,
        life: u32,
    },
    /// A SETUP reaches a node.
    Setup {
        key: Key,
        life: u32,
        setup: SetupNumber,
        node: usize,
        rung: u8,
    },
    /// A set-up has been handled there.
    SetUp {
        key: Key,
        life: u32,
        setup: SetupNumber,
        node: usize,
        process: u32,
    },
    /// A session is over at a node, or changes its rung there.
    Over {
        key: Key,
        node: usize,
    },
    Switch {
        key: Key,
        node: usize,
        rung: u8,
    },
    Change(Change),
    /// A director looks at what it shares.
    Talks {
        director: u16,
        life: u32,
    },
    /// What one says to another comes there.
    Said(PeerMessage),
    /// Lists are told.
    Listed {
        nodes: Vec<usize>,
        standing: NodeState,
        started: Option<f64>,
    },
    Second,
}

/// An event, by when it happens and, of one moment, in the order in which it was planned.
pub(super) struct Planned {
    at: u64,
    number: u64,
    event: Event,
}

impl PartialEq for Planned {
    fn eq(&self, other: &Planned) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl Eq for Planned {}

impl PartialOrd for Planned {
    fn partial_cmp(&self, other: &Planned) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Planned {
    fn cmp(&self, other: &Planned) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

pub(super) struct World {
    /// Microseconds since the day began.
    pub now: u64,
    queue: BinaryHeap<Reverse<Planned>>,
    planned: u64,
    pub settings: Settings,
    /// By place in the settings.
    pub titles: Vec<Title>,
    pub net: f64,
    pub shells: Vec<Shell>,
    /// What is wrong between directors.
    pub cuts: talk::Cuts,
    pub fleet: Fleet,
    pub node_of: BTreeMap<NodeId, usize>,
    pub list: NodeList,
    stale: f64,
    pub drain_grace: f64,
    pub viewers: Vec<Viewer>,
    /// Those still to come, the first last.
    pub to_come: Vec<visits::Visit>,
    pub report: Report,
    pub sample: Sample,
    end: f64,
    /// Nobody is there any longer, and nobody comes.
    over: bool,
}

/// A round takes so many microseconds, and so many more for each thing that came in.
const ROUND: u64 = 20;
const ROUND_EACH: u64 = 20;

/// Plays the whole day; `door` off leaves the settings' door out.
pub fn run(day: &Day, door: bool) -> Result<Report, String> {
    if let Some(at) = day.fault.iter().position(|fault| !talk::can_be_emulated(fault)) {
        return Err(format!("fault[{at}]: only CUT and LOSS at times, between directors, are emulated"));
    }
    let mut world = World::new(day, door)?;
    world.begin(day);
    while !world.over
        && let Some(Reverse(Planned { at, event, .. })) = world.queue.pop()
    {
        world.now = at;
        world.report.events += 1;
        world.happens(event);
    }
    Ok(world.done())
}

impl World {
    fn new(day: &Day, door: bool) -> Result<World, String> {
        let count = day.directors.unwrap_or(1) as u16;
        let mut starts = Vec::new();
        let mut first = None;
        for number in 0..count {
            // Nothing is ever sent there.
            let peers = (0..count).map(|peer| format!("127.0.0.1:{}", 1000 + peer)).collect();
            let text = directors::headend(day, number, "127.0.0.1:554", "127.0.0.1:80", Some(peers))?;
            let mut settings = ashglade_settings::settings("headend", &text).map_err(|e| e.to_string())?;
            settings.door = settings.door.filter(|_| door);
            starts.push((ashglade_director::engine_config(&settings), Talker::new(&settings)));
            first.get_or_insert(settings);
        }
        let settings = first.ok_or("a day needs a director")?;
        let named = day.headend.iter().flat_map(|h| &h.title).filter_map(|t| t.name.as_ref());
        let titles = named.filter_map(|name| settings.titles.get(name)).cloned().collect();
        let (specs, entries) = play::nodes(day, &settings);
        // An address of its own for each; nothing is ever sent there.
        let place = |i: usize| [127, 1 + (i >> 16) as u8, (i >> 8) as u8, i as u8];
        let entries: Vec<NodeEntry> = entries
            .into_iter()
            .enumerate()
            .map(|(i, entry)| NodeEntry { address: (place(i), 554).into(), ..entry })
            .collect();
        let (uplinks, ladder, cold) = play::terms(&settings);
        let seed = day.seed.unwrap_or(0);
        let mut to_come = visits::draw(day, &settings);
        to_come.reverse();
        let groups = settings.group_names.iter();
        let report = Report {
            groups: groups.map(|name| super::Group { name: name.clone(), ..Default::default() }).collect(),
            by_director: vec![0; starts.len()],
            ..Report::default()
        };
        Ok(World {
            now: 0,
            queue: BinaryHeap::new(),
            planned: 0,
            titles,
            net: day.network_ms.unwrap_or(0.3) / 1e3,
            shells: starts.into_iter().map(|(start, talker)| Shell::new(start, talker)).collect(),
            cuts: talk::Cuts::of(day),
            fleet: Fleet::new(specs, uplinks, ladder, cold, seed),
            node_of: entries.iter().enumerate().map(|(i, entry)| (entry.node_id(), i)).collect(),
            list: NodeList { generation: 1, entries },
            stale: 0.0,
            drain_grace: day.drain_grace_ms.unwrap_or(0.0) / 1e3,
            viewers: Vec::new(),
            to_come,
            report,
            sample: Sample::default(),
            end: day.seconds.unwrap_or(0.0),
            over: false,
            settings,
        })
    }

    fn begin(&mut self, day: &Day) {
        for director in 0..self.shells.len() {
            self.director_up(director);
        }
        let lists = day.lists.unwrap_or_default();
        let sizes = Sizes {
            nodes: self.fleet.all.len(),
            racks: self.fleet.uplinks.len(),
            directors: self.shells.len(),
            notice: lists.notice_ms.unwrap_or(0.0) / 1e3,
            silent_notice: lists.silent_notice_ms.unwrap_or(0.0) / 1e3,
        };
        for (at, change) in day.trouble.iter().flat_map(|t| troubles::changes(t, &sizes)) {
            self.plan(at, Event::Change(change));
        }
        self.sample = self.empty_sample(0);
        self.plan(1.0, Event::Second);
        self.next_comes();
    }

    pub fn secs(&self) -> f64 {
        self.now as f64 / 1e6
    }

    pub fn instant(&self) -> Instant {
        Instant::from_ms(self.now as f64 / 1e3)
    }

    /// Plans an event so many seconds from now.
    pub fn plan(&mut self, after: f64, event: Event) {
        self.plan_at(self.now + (after.max(0.0) * 1e6).round() as u64, event);
    }

    pub fn plan_at(&mut self, at: u64, event: Event) {
        self.planned += 1;
        self.queue.push(Reverse(Planned { at, number: self.planned, event }));
    }

    /// Something comes in at a director: a round is due as soon as it has time.
    pub fn reach(&mut self, director: u16, life: u32, input: Input) {
        let Some(shell) = self.shells.get_mut(usize::from(director)).filter(|s| s.life == life) else {
            return;
        };
        if shell.engine.is_none() {
            return;
        }
        shell.inbox.push(input);
        self.round_by(director, self.now);
    }

    /// A round is due then at the latest.
    pub fn round_by(&mut self, director: u16, at: u64) {
        let shell = &mut self.shells[usize::from(director)];
        let at = at.max(shell.free_at).max(self.now);
        if shell.round_at.is_none_or(|due| at < due) {
            shell.round_at = Some(at);
            let life = shell.life;
            self.plan_at(at, Event::Round { director, life });
        }
    }

    fn happens(&mut self, event: Event) {
        match event {
            Event::Comes => self.comes(),
            Event::Asks { viewer } => self.asks(viewer),
            Event::Answered { viewer, again, answer } => self.answered(viewer, again, answer),
            Event::Breaks { viewer, again } => self.breaks(viewer, again),
            Event::GivesUp { viewer, again } => self.gives_up(viewer, again),
            Event::Ends { viewer, again } => self.ends(viewer, again),
            Event::Reaches { director, life, input } => self.reach(director, life, input),
            Event::Round { director, life } => {
                let shell = &mut self.shells[usize::from(director)];
                if shell.life == life && shell.round_at == Some(self.now) {
                    shell.round_at = None;
                    if shell.free_at > self.now {
                        self.round_by(director, self.now);
                        return;
                    }
                    shell.free_at = self.now + ROUND + ROUND_EACH * shell.inbox.len() as u64;
                    self.report.rounds += 1;
                    self.round(director);
                }
            }
            Event::Setup { key, life, setup, node, rung } => self.setup_reaches(key, life, setup, node, rung),
            Event::SetUp { key, life, setup, node, process } => {
                let at = &self.fleet.all[node];
                if at.process == process && at.streams.contains_key(&key) {
                    // Its other tracks are set up on the same connection, and take their turns.
                    for _ in 1..self.tracks(key) {
                        self.fleet.further(self.secs(), node);
                    }
                    let load = Some(self.fleet.load(node));
                    let input = Input::SetupAccepted { session: key.1, setup, load };
                    self.plan(self.net, Event::Reaches { director: key.0, life, input });
                }
            }
            Event::Over { key, node } => drop(self.fleet.end(node, key)),
            Event::Switch { key, node, rung } => self.fleet.rung(node, key, rung),
            Event::Change(change) => self.change(change),
            Event::Talks { director, life } => self.talks(director, life),
            Event::Said(word) => self.said(&word),
            Event::Listed { nodes, standing, started } => self.listed(&nodes, standing, started),
            Event::Second => self.second(),
        }
    }

    fn tracks(&self, (director, sess): Key) -> u8 {
        let seat = self.shells[usize::from(director)].seats.get(&sess);
        seat.map_or(1, |seat| self.viewers[seat.viewer].tracks())
    }

    fn setup_reaches(&mut self, key: Key, life: u32, setup: SetupNumber, node: usize, rung: u8) {
        let (director, sess) = key;
        let shell = &self.shells[usize::from(director)];
        // The director has given it up, or is gone: its connection was closed before.
        let wanted = shell.life == life
            && shell.seats.get(&sess).is_some_and(|seat| seat.out == Some((setup, Some(node))));
        let told = shell.leaves.get(&node).copied();
        let at = &self.fleet.all[node];
        let (up, hangs, process) = (at.up, at.faults.hang, at.process);
        if !wanted || (up && hangs) {
            return;
        }
        let late = told.map(|told| self.secs() - told).filter(|late| *late > self.drain_grace);
        if let Some(late) = late {
            self.breach(format!("rule 3: a SETUP at node {node}, told as leaving {late:.3} s before"));
        }
        let handled = match up {
            true => self.fleet.setup(self.secs(), node, key, rung),
            false => Handled::Reset,
        };
        let load = Some(self.fleet.load(node));
        let input = match handled {
            Handled::Ok { at } => {
                let at = (at * 1e6).round() as u64;
                return self.plan_at(at.max(self.now), Event::SetUp { key, life, setup, node, process });
            }
            Handled::Unheard => return,
            Handled::Full => Input::SetupFailed {
                session: sess,
                setup,
                outcome: ashglade::interface::AttemptOutcome::Full,
                load,
            },
            Handled::Fault => {
                self.report.failed_at.push(self.secs());
                Input::SetupFailed {
                    session: sess,
                    setup,
                    outcome: ashglade::interface::AttemptOutcome::Fault,
                    load,
                }
            }
            Handled::Reset => Input::SetupFailed {
                session: sess,
                setup,
                outcome: ashglade::interface::AttemptOutcome::Lost,
                load: None,
            },
            Handled::Fell => {
                self.report.fallen += 1;
                self.breach(format!("rule 4: node {node} was pushed over"));
                Input::SetupFailed {
                    session: sess,
                    setup,
                    outcome: ashglade::interface::AttemptOutcome::Lost,
                    load: None,
                }
            }
        };
        self.plan(self.net, Event::Reaches { director, life, input });
    }

    pub fn breach(&mut self, what: String) {
        // The first few tell what is wrong; the number of all would be told by a judge.
        if self.report.broken_rules.len() < 1000 {
            let at = self.secs();
            self.report.broken_rules.push(format!("{at:.3} s: {what}"));
        }
    }

    /// Whether a SETUP may follow one that may have run.
    pub fn fragile(&self, group: usize) -> bool {
        self.settings.headend.groups.get(group).is_some_and(|g| g.retry_safety == RetrySafety::Fragile)
    }

    fn change(&mut self, change: Change) {
        match change {
            Change::Faults(on, fault) => on.iter().for_each(|&i| self.fleet.set(i, |f| fault.apply(f))),
            Change::Uplink(racks, by) => {
                racks.iter().for_each(|&r| {
                    if let Some(cut) = self.fleet.cuts.get_mut(r) {
                        *cut = by;
                    }
                });
            }
            Change::Stop(on) => on.iter().for_each(|&i| self.node_stops(i)),
            Change::Start(on) => {
                let now = self.secs();
                on.iter().for_each(|&i| self.fleet.start(now, i));
            }
            Change::Told(nodes, standing, after) => {
                let started = (standing == NodeState::Ready).then(|| self.secs());
                self.plan(after + self.stale, Event::Listed { nodes, standing, started });
            }
            Change::Stale(by) => self.stale = by,
            Change::DirectorsDown(on) => on.iter().for_each(|&d| self.director_down(d)),
            Change::DirectorsUp(on) => on.iter().for_each(|&d| self.director_up(d)),
            Change::Stand(on, span) => {
                let until = self.now + (span * 1e6) as u64;
                on.iter().for_each(|&d| self.shells[d].free_at = until);
            }
        }
    }

    fn listed(&mut self, nodes: &[usize], standing: NodeState, started: Option<f64>) {
        for &i in nodes {
            let Some(entry) = self.list.entries.get_mut(i) else { continue };
            entry.state = standing;
            if let Some(started) = started {
                entry.info.started = Some(Instant::from_ms((started * 1e3).floor()));
            }
        }
        self.list.generation += 1;
        let now = self.secs();
        for director in 0..self.shells.len() {
            let shell = &mut self.shells[director];
            for &i in nodes {
                match standing {
                    NodeState::Ready => drop(shell.leaves.remove(&i)),
                    _ => drop(shell.leaves.entry(i).or_insert(now)),
                }
            }
            let (life, input) = (shell.life, Input::DiscoverySnapshot(self.list.clone()));
            self.reach(director as u16, life, input);
        }
    }

    fn empty_sample(&self, second: u64) -> Sample {
        let none = vec![0; self.report.groups.len()];
        Sample {
            second,
            asked: none.clone(),
            in_time: none.clone(),
            busy: none.clone(),
            returned: none.clone(),
            playing: none,
            fill: (0.0, 0.0),
            limits: Vec::new(),
        }
    }

    /// Flows are told, and the second is noted.
    fn second(&mut self) {
        let second = (self.secs().round() as u64).max(1) - 1;
        let top = self.settings.headend.ladder.last().map_or(1.0, |&(_, utility)| utility);
        let shares: Vec<f64> = (0..self.fleet.all.len()).map(|i| self.fleet.share(i)).collect();
        let mut flows = Vec::new();
        for (director, shell) in self.shells.iter().enumerate() {
            for (&sess, seat) in &shell.seats {
                let Some(node) = seat.plays_at else { continue };
                let share = shares[node];
                flows.push((director as u16, shell.life, Input::SessionDelivery { session: sess, share }));
                let rung = self.settings.headend.ladder.get(usize::from(seat.rung));
                let group = &mut self.report.groups[seat.group];
                group.watched += 1.0;
                group.quality += rung.map_or(0.0, |&(_, utility)| utility / top) * share;
                self.sample.playing[seat.group] += 1;
            }
        }
        for (director, life, input) in flows {
            self.reach(director, life, input);
        }
        let fills: Vec<f64> = (0..self.fleet.all.len()).map(|i| self.fleet.fill(i)).collect();
        let mean = fills.iter().sum::<f64>() / fills.len().max(1) as f64;
        self.sample.fill = (mean, fills.iter().copied().fold(0.0, f64::max));
        let limit = |shell: &Shell| Some(shell.engine.as_ref()?.admission()?.limit());
        self.sample.limits = self.shells.iter().map(limit).collect();
        let next = self.empty_sample(second + 1);
        self.report.samples.push(std::mem::replace(&mut self.sample, next));
        let anyone = !self.to_come.is_empty() || self.viewers.iter().any(Viewer::present);
        self.over = !anyone && self.secs() >= self.end;
        self.plan(1.0, Event::Second);
    }

    fn done(mut self) -> Report {
        for shell in &self.shells {
            if let Some(engine) = &shell.engine {
                let tally = engine.tally();
                self.report.setups += tally.setups;
                if let Some(door) = engine.admission() {
                    let kept = door.status().retries;
                    let (made, came, went_in) = &mut self.report.promised;
                    (*made, *came, *went_in) = (
                        *made + kept.slots_reserved,
                        *came + kept.returned_in_slot,
                        *went_in + kept.admitted,
                    );
                }
                if tally.guarded + tally.doubled > 0 {
                    let (guarded, doubled) = (tally.guarded, tally.doubled);
                    let what =
                        format!("the last guard answered {guarded}, {doubled} second SETUPs held back");
                    self.report.broken_rules.push(what);
                }
            }
        }
        let report = &mut self.report;
        let returned = report.samples.iter().map(|s| s.returned.iter().sum::<u64>());
        let of_day: Vec<u64> = returned.take(self.end.ceil() as usize).collect();
        report.peak_returned = of_day.iter().copied().max().unwrap_or(0);
        report.mean_returned = of_day.iter().sum::<u64>() as f64 / of_day.len().max(1) as f64;
        let worth = |pick: fn(&super::Group) -> u64| -> f64 {
            let groups = report.groups.iter().zip(&self.settings.headend.groups);
            groups.map(|(group, terms)| pick(group) as f64 * terms.utility).sum()
        };
        let asked = worth(|g| g.viewers);
        report.service = if asked > 0.0 { worth(|g| g.in_time) / asked } else { 0.0 };
        self.report
    }
}
