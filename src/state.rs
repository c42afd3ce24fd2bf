//! What a director holds between rounds. Nothing here decides.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::ids::{NodeId, SessionId, ZoneId};
use crate::interface::{DirectorConfig, LoadMetric, NodeInfo, RetryBudget, ServiceGroup, SessionRequest};
use crate::time::{Instant, Span};

/// The figures that decisions use, drawn once from what is read at start.
pub struct Plant {
    pub zone: ZoneId,
    pub directors: f64,
    /// The turns at cold nodes that are ours, of so many.
    pub turns: (Vec<usize>, f64),
    pub terms: Vec<Terms>,
    /// What each rung earns.
    pub worth: Vec<f64>,
    /// kB a second of the lowest rung and of the middle one.
    pub lowest: f64,
    pub middle: f64,
    /// Streams at most, for each kind of machine.
    places: Vec<f64>,
    pub cells: u16,
    pub racks: usize,
    link_unit: f64,
    /// kB a second of a rack's uplink on average; 0 where none is told.
    pub uplink: f64,
    pub join: f64,
    pub worst_group: f64,
    /// What is asked of a full node's link at least, over what it gives.
    pub full_at: f64,
    pub notice: Span,
    pub gauges: Vec<LoadMetric>,
    /// Probes tell of load, and nothing else does.
    pub may_probe: bool,
    pub blind: bool,
    /// What one probe a session costs, in parts of all utility.
    pub probe_price: f64,
    pub may_cancel: bool,
    pub retry_after: Option<Span>,
    pub depth: usize,
    pub ration: Option<RetryBudget>,
    /// Further SETUPs that one node may be sent by us, and within what; as the fleet has it.
    pub repeats: Option<(f64, Span)>,
    pub cold_from: f64,
    pub warm_after: Span,
    /// Set-ups for each place that push a cold node over, within `fall_span`.
    pub fall_budget: f64,
    pub fall_span: Span,
    /// The shortest start target.
    pub target: Span,
    pub ask_list: Option<Span>,
}

impl Plant {
    pub fn of(head: &DirectorConfig) -> Plant {
        let mean = head.groups.iter().map(|g| g.utility).sum::<f64>() / head.groups.len().max(1) as f64;
        let ladder = &head.ladder;
        let middle = ladder.len().saturating_sub(1) / 2;
        let earns = |r: usize| {
            let (kb, worth) = if r == 0 { (0.0, 0.0) } else { ladder[r - 1] };
            (ladder[r].1 - worth).max(1e-9) / (ladder[r].0 - kb).max(1e-9)
        };
        let dear = |r| ladder[middle].1.max(1e-9) / ladder[middle].0.max(1e-9) / earns(r);
        let highest = |g: &ServiceGroup| ladder.get(usize::from(g.top_rung.0)).map_or(0.0, |&(kb, _)| kb);
        let terms = |g: &ServiceGroup| Terms {
            dear: (0..ladder.len()).map(dear).collect(),
            group: g.clone(),
            rates: head.ladder.iter().map(|&(kb, _)| kb * g.rate_scale).collect(),
            stake: if mean > 0.0 { g.utility / mean } else { 1.0 },
            need: highest(g)
                / (head.groups.iter().map(highest).sum::<f64>() / head.groups.len() as f64).max(1e-9),
        };
        Plant {
            zone: head.zone,
            directors: head.director_count.max(1) as f64,
            turns: (vec![head.director_index], head.director_count.max(1) as f64),
            repeats: None,
            terms: head.groups.iter().map(terms).collect(),
            worth: head.ladder.iter().map(|&(_, worth)| worth).collect(),
            lowest: ladder.first().map_or(0.0, |&(kb, _)| kb),
            middle: ladder.get(middle).map_or(0.0, |&(kb, _)| kb),
            places: head.max_streams.clone(),
            cells: head.cell_count.max(1),
            racks: usize::from(head.rack_count.max(1)),
            link_unit: head.link_kb_per_s_per_weight,
            uplink: head.uplink_kb_per_s,
            join: head.live_join_fraction,
            worst_group: head.worst_group_weight,
            full_at: if head.full_link_demand > 0.0 { head.full_link_demand } else { 1.0 },
            notice: head.report_delay,
            gauges: head.load_metrics.clone(),
            may_probe: head.may_probe && !head.load_metrics.is_empty(),
            blind: head.probe_only,
            probe_price: head.probe_cost,
            may_cancel: head.may_cancel,
            retry_after: head.max_retry_after,
            depth: head.max_setups_per_session,
            ration: head.retry_budget,
            cold_from: head.slow_start_initial_fraction,
            warm_after: head.slow_start_duration,
            fall_budget: head.overload_multiple * (head.overload_window / head.slow_start_duration),
            fall_span: head.overload_window,
            target: head.groups.iter().map(|g| g.start_target).min().unwrap_or(Span::from_secs(1.0)),
            ask_list: head.node_list_max_age,
        }
    }

    pub fn of_group(&self, s: &Sitting) -> &Terms {
        &self.terms[s.want.group.0]
    }

    pub fn top_rung(&self) -> u8 {
        (self.worth.len().saturating_sub(1)).min(usize::from(u8::MAX)) as u8
    }

    /// The highest rung that this viewer may be given.
    pub fn top(&self, s: &Sitting) -> u8 {
        s.want.top_rung.0.min(self.of_group(s).group.top_rung.0)
    }

    /// kB a second that the sessions chosen ask for in all; viewers of one live stream share it.
    pub fn asked<'a>(&self, sess: impl Iterator<Item = &'a Sitting>) -> f64 {
        let mut streams = BTreeSet::new();
        let mut asked = 0.0;
        for s in sess {
            let terms = self.of_group(s);
            let first = !terms.group.live || streams.insert((s.node, s.want.title, s.want.group, s.rung));
            asked += terms.rates[usize::from(s.rung)] * if first { 1.0 } else { self.join };
        }
        asked
    }
}

/// Figures of a service group.
pub struct Terms {
    pub group: ServiceGroup,
    /// kB a second of each rung.
    pub rates: Vec<f64>,
    /// What the middle rung earns for its kB, over what the last kB of each rung earn.
    pub dear: Vec<f64>,
    /// Its utility over that of the average group.
    pub stake: f64,
    /// The rate of its highest rung over that of the average group, its scale left out.
    pub need: f64,
}

/// One session, from its request to its last outcome.
#[derive(Clone)]
pub struct Sitting {
    pub want: SessionRequest,
    pub asked: Instant,
    pub until: Instant,
    pub rung: u8,
    pub told_rung: Option<u8>,
    pub node: Option<usize>,
    pub setups: u16,
    /// When the SETUP that is out was sent.
    pub out: Option<Instant>,
    pub plays: bool,
    /// It has its final answer; only an outcome is missing.
    pub answered: bool,
    pub tried: Vec<usize>,
    /// Nodes were probed for it, and those whose answer it waits for.
    pub looked: bool,
    pub awaits: Vec<usize>,
    /// Where and when a SETUP was sent that may have run.
    pub doubt: Option<(usize, Instant)>,
    /// When it was put on its node.
    pub since: Instant,
    /// From when quiet counts.
    pub settled: Instant,
    pub switched: Instant,
    pub quiet: Span,
}

impl Sitting {
    pub fn new(want: SessionRequest, now: Instant, rung: u8, quiet: Span) -> Sitting {
        Sitting {
            want,
            asked: now,
            until: now + want.setup_timeout,
            rung,
            told_rung: None,
            node: None,
            setups: 0,
            out: None,
            plays: false,
            answered: false,
            tried: Vec::new(),
            looked: false,
            awaits: Vec::new(),
            doubt: None,
            since: now,
            settled: now,
            switched: Instant::LONG_AGO,
            quiet,
        }
    }

    /// A SETUP goes out to node `i`.
    pub fn send(&mut self, i: usize, now: Instant) {
        (self.node, self.since, self.out) = (Some(i), now, Some(now));
        self.setups += 1;
    }

    /// Notes the rung; true if it was not told before.
    pub fn set(&mut self, rung: u8) -> bool {
        self.rung = rung;
        self.told_rung.replace(rung) != Some(rung)
    }

    /// Whether row `i` means anything to it.
    pub fn speaks_of(&self, i: usize) -> bool {
        let doubts = self.doubt.is_some_and(|(first, _)| first == i);
        self.node == Some(i) || doubts || self.tried.contains(&i) || self.awaits.contains(&i)
    }

    pub fn same_seat(&self, other: &Sitting) -> bool {
        self.want.title == other.want.title && self.want.group == other.want.group
    }
}

/// All sessions, with what they ask of each node kept in step.
#[derive(Default)]
pub struct Sittings {
    all: BTreeMap<SessionId, Sitting>,
    /// By node: our sessions there, and what they ask of its link.
    at: Vec<BTreeSet<SessionId>>,
    own: Vec<f64>,
}

impl Sittings {
    pub fn get(&self, id: SessionId) -> Option<&Sitting> {
        self.all.get(&id)
    }

    pub fn iter(&self) -> impl Iterator<Item = (SessionId, &Sitting)> {
        self.all.iter().map(|(&id, s)| (id, s))
    }

    /// Our sessions at node `i`, SETUPs out included.
    pub fn at(&self, i: usize) -> impl Iterator<Item = (SessionId, &Sitting)> {
        self.at.get(i).into_iter().flatten().map(|id| (*id, &self.all[id]))
    }

    /// What our sessions at node `i` ask of its link.
    pub fn own(&self, i: usize) -> f64 {
        self.own.get(i).copied().unwrap_or(0.0)
    }

    pub fn insert(&mut self, id: SessionId, s: Sitting) {
        self.all.insert(id, s);
    }

    pub fn remove(&mut self, plant: &Plant, id: SessionId) -> Option<Sitting> {
        self.change(plant, id, |s| s.node = None);
        self.all.remove(&id)
    }

    /// The only way to change a session: what its nodes are asked for follows.
    pub fn change<T>(
        &mut self,
        plant: &Plant,
        id: SessionId,
        how: impl FnOnce(&mut Sitting) -> T,
    ) -> Option<T> {
        let s = self.all.get_mut(&id)?;
        let before = (s.node, s.rung);
        let told = how(s);
        let after = (s.node, s.rung);
        if before != after {
            if let Some(i) = before.0 {
                self.at[i].remove(&id);
                self.own[i] = plant.asked(self.at(i).map(|(_, s)| s));
            }
            if let Some(i) = after.0 {
                if i >= self.at.len() {
                    self.at.resize_with(i + 1, BTreeSet::new);
                    self.own.resize(i + 1, 0.0);
                }
                self.at[i].insert(id);
                self.own[i] = plant.asked(self.at(i).map(|(_, s)| s));
            }
        }
        Some(told)
    }
}

/// Points in time within a span that ends now.
#[derive(Clone, Default)]
pub struct Recent(VecDeque<Instant>);

impl Recent {
    pub fn add(&mut self, now: Instant, span: Span) {
        while self.0.front().is_some_and(|&at| now - at > span) {
            self.0.pop_front();
        }
        self.0.push_back(now);
    }

    pub fn within(&self, now: Instant, span: Span) -> f64 {
        self.0.iter().filter(|&&at| now - at <= span).count() as f64
    }
}

/// Sessions taken, all SETUPs, and those beyond a session's first.
#[derive(Default)]
pub struct Counts {
    pub taken: Recent,
    pub setups: Recent,
    pub further: Recent,
}

/// Declares parallel arrays with what a new row starts with.
macro_rules! arrays {
    ($(#[$doc:meta])* $name:ident($($more:ident: $whole:ty),*) {
        $($(#[$note:meta])* $field:ident: $kind:ty = $new:expr,)*
    }) => {
        $(#[$doc])*
        #[derive(Default)]
        pub struct $name { $(pub $more: $whole,)* $($(#[$note])* pub $field: Vec<$kind>,)* }

        impl $name {
            pub fn grow(&mut self) {
                $(self.$field.push($new);)*
            }

            /// Row `i` as it was when it was new.
            pub fn renew(&mut self, i: usize) {
                $(self.$field[i] = $new;)*
            }
        }
    };
}

/// A zone that failed as one: since when, or when it came back.
#[derive(Clone, Copy, Debug)]
pub struct Hold {
    pub since: Instant,
    pub back: bool,
}

arrays! {
    /// Media nodes, by a dense index, and zones that failed as one.
    Fleet(index: BTreeMap<NodeId, usize>, holds: BTreeMap<ZoneId, Hold>) {
        node: NodeId = NodeId::default(),
        zone: ZoneId = ZoneId::default(),
        cell: u16 = 0,
        /// Streams that it runs at most.
        places: f64 = 0.0,
        ready: bool = false,
        /// Named by the list that is being read.
        named: bool = false,
        /// Told as gone: its row may be another's.
        gone: bool = false,
        rack: usize = 0,
        link: f64 = 0.0,
        /// What other directors ask of the link, and when that was measured.
        others: f64 = 0.0,
        measured: Instant = Instant::LONG_AGO,
        /// Set-ups that came to play and all set-ups, faded, and up to when.
        good: f64 = 0.0,
        all: f64 = 0.0,
        faded: Instant = Instant::LONG_AGO,
        /// Its last word, whatever it told.
        heard: Instant = Instant::LONG_AGO,
        /// When it last gave no answer, if it hasn't played since.
        failed: Option<Instant> = None,
        born: Instant = Instant::LONG_AGO,
        /// The latest start that was told of, or that nothing vouches against; `born` may be a later guess.
        vouched: Instant = Instant::LONG_AGO,
        sent: Recent = Recent::default(),
        further: Recent = Recent::default(),
        /// Others find it failing.
        doubted: bool = false,
        /// Last note of short delivery with its share, and last drop on account of one.
        short: Instant = Instant::LONG_AGO,
        share: f64 = 1.0,
        eased: Instant = Instant::LONG_AGO,
    }
}

impl Fleet {
    /// Takes what the list tells of a node that is ready; its row, if it started since it was last told of. A new
    /// node gets the row of one that is gone and not `spoken_of` by any session, so that rows don't grow with time.
    pub fn enter(
        &mut self,
        node: NodeId,
        place: NodeInfo,
        plant: &Plant,
        spoken_of: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        let born = place.started.unwrap_or(Instant::LONG_AGO);
        let i = self.index.get(&node).copied().unwrap_or_else(|| {
            let free = (0..self.node.len()).find(|&i| self.gone[i] && !spoken_of(i));
            let i = free.unwrap_or(self.node.len());
            if free.is_some() {
                self.index.remove(&self.node[i]);
                self.renew(i);
            } else {
                self.grow();
            }
            self.index.insert(node, i);
            (self.node[i], self.born[i], self.vouched[i]) = (node, born, born);
            i
        });
        self.gone[i] = false;
        (self.ready[i], self.named[i], self.zone[i]) = (true, true, place.zone);
        (self.cell[i], self.rack[i]) = (place.cell.0, usize::from(place.cell.0) % plant.racks);
        self.link[i] = place.weight.max(0.0) * plant.link_unit;
        self.places[i] = plant.places.get(usize::from(place.model.0)).copied().unwrap_or(1.0);
        let restarted = born > self.born[i];
        self.born[i] = self.born[i].max(born);
        self.vouched[i] = self.vouched[i].max(born);
        restarted.then_some(i)
    }

    /// Ready nodes of the zone that gave no answer after the last word of any of its nodes; none where all are of one zone.
    pub fn failed_since_word(&self, zone: ZoneId) -> usize {
        if self.zone.iter().all(|&other| other == zone) {
            return 0;
        }
        let mates = || (0..self.node.len()).filter(|&k| self.ready[k] && self.zone[k] == zone);
        let word = mates().map(|k| self.heard[k]).max();
        mates().filter(|&k| self.failed[k] > word).count()
    }

    /// A word of node `i`: if its zone was lost, that is back.
    pub fn word(&mut self, i: usize, now: Instant) {
        self.heard[i] = now;
        if let Some(hold) = self.holds.get_mut(&self.zone[i]).filter(|hold| !hold.back) {
            *hold = Hold { since: now, back: true };
        }
    }

    pub fn hold(&self, i: usize) -> Option<Hold> {
        self.holds.get(&self.zone[i]).copied()
    }

    /// Its zone failed as one, and no word has come from there since.
    pub fn lost(&self, i: usize) -> bool {
        self.hold(i).is_some_and(|hold| !hold.back && hold.since > Instant::LONG_AGO)
    }

    /// Adds one set-up's end to the success of node `i`, after what came before has faded to `kept`.
    pub fn came(&mut self, i: usize, good: bool, kept: f64, now: Instant) {
        self.all[i] = self.all[i] * kept + 1.0;
        self.good[i] = self.good[i] * kept + f64::from(u8::from(good));
        self.faded[i] = now;
    }
}

arrays! {
    /// Racks.
    Racks() {
        /// What the uplink was last seen to carry, and when.
        carries: f64 = 0.0,
        seen: Instant = Instant::LONG_AGO,
        /// What others ask of it, where reports tell.
        others: f64 = 0.0,
        measured: Instant = Instant::LONG_AGO,
    }
}

impl Racks {
    pub fn of(plant: &Plant) -> Racks {
        let mut racks = Racks::default();
        (0..plant.racks).for_each(|_| racks.grow());
        racks.carries.fill(plant.uplink);
        racks
    }
}

#[cfg(test)]
#[path = "state_test.rs"]
mod tests;
