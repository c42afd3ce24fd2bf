//! Directors that share, in simulated time: the same state and words as on sockets, with what is wrong between them.

use std::collections::BTreeSet;

use ashglade::time::Instant;
use ashglade_engine::{Input, SetupResult};
use ashglade_peer_transport::codec::{Codec, Datagram};
use ashglade_peer_transport::{EngineUpdates, TICK_INTERVAL};
use ashglade_settings::Settings;
use ashglade_shared::{FleetConfig, PeerMessage, SharedState, health_from_outcome};

use super::world::{Event, World};
use crate::day::Day;
use crate::day::schema::{Deed, Fault};
use crate::net::{Parties, Party};
use crate::play;

/// One director's part.
pub(super) struct Talker {
    terms: FleetConfig,
    codec: Codec,
    repeats_span: Option<ashglade::time::Span>,
    shares: bool,
    state: Option<(SharedState, EngineUpdates)>,
}

impl Talker {
    pub fn new(settings: &Settings) -> Option<Talker> {
        Some(Talker {
            terms: ashglade_peer_transport::fleet_config(settings)?,
            codec: Codec::new(&settings.talk.as_ref()?.secret)?,
            repeats_span: ashglade_peer_transport::retry_window(settings),
            shares: settings.talk.as_ref()?.share.is_some(),
            state: None,
        })
    }

    pub fn up(&mut self, now: Instant) {
        // A process above those before it.
        let process = now.as_ms() as u64 + 1;
        let member = SharedState::new(self.terms.clone(), process, now);
        self.state = Some((member, EngineUpdates::new(self.repeats_span)));
    }

    pub fn saw(&mut self, seen: &[SetupResult], now: Instant) {
        let Some((member, _)) = self.state.as_mut().filter(|_| self.shares) else { return };
        for seen in seen {
            if let Some(verdict) = health_from_outcome(seen.failure) {
                member.record_outcome(seen.node.0, verdict, now);
            }
        }
    }

    /// What is said, and what the engine is told; a word that came is taken first.
    fn turn(&mut self, word: Option<&PeerMessage>, now: Instant) -> (Vec<PeerMessage>, Vec<Input>, usize) {
        let Some((member, teller)) = &mut self.state else { return Default::default() };
        let out = match word {
            Some(word) => member.receive(word, now),
            None => member.tick(now),
        };
        let held = if word.is_none() { member.health_reports(now).count() } else { 0 };
        (out, teller.poll(member, &self.terms, now).1, held)
    }

    fn size(&self, word: &PeerMessage) -> usize {
        let datagram = Datagram { process: 1 << 40, sequence: 1 << 20, message: word.clone() };
        self.codec.encode(&datagram).map_or(0, |bytes| bytes.len())
    }
}

/// Whether the emulator knows what to make of a fault.
pub(super) fn can_be_emulated(fault: &Fault) -> bool {
    let among = |names: &[String]| !names.is_empty() && names.iter().all(|name| name.starts_with("director"));
    fault.at_s.is_some()
        && matches!(fault.deed(), Deed::Cut | Deed::Loss)
        && among(&fault.from)
        && among(&fault.to)
}

struct Cut {
    from_s: f64,
    to_s: f64,
    one: BTreeSet<Party>,
    other: BTreeSet<Party>,
    both: bool,
    /// What of it is lost.
    part: f64,
}

/// What is wrong between directors, and when.
pub(super) struct Cuts {
    all: Vec<Cut>,
    random: oorandom::Rand64,
}

impl Cuts {
    pub fn of(day: &Day) -> Cuts {
        let parties: Parties = play::parties(day);
        let named =
            |names: &[String]| names.iter().filter_map(|name| parties.named(name)).flatten().collect();
        let cut = |fault: &Fault| Cut {
            from_s: fault.at_s.unwrap_or(0.0),
            to_s: fault.at_s.unwrap_or(0.0) + fault.for_s.unwrap_or(f64::INFINITY),
            one: named(&fault.from),
            other: named(&fault.to),
            both: fault.both.unwrap_or(false),
            part: if fault.deed() == Deed::Cut { 1.0 } else { fault.size.unwrap_or(0.0) },
        };
        let seed = u128::from(day.seed.unwrap_or(0));
        Cuts { all: day.fault.iter().map(cut).collect(), random: oorandom::Rand64::new(seed << 5 | 9) }
    }

    fn lost(&mut self, from: u16, to: u16, secs: f64) -> bool {
        let (from, to) = (Party::Director(from), Party::Director(to));
        let concerns = |cut: &&Cut| {
            let this = cut.one.contains(&from) && cut.other.contains(&to);
            let back = cut.both && cut.one.contains(&to) && cut.other.contains(&from);
            (cut.from_s..cut.to_s).contains(&secs) && (this || back)
        };
        let part = self.all.iter().filter(concerns).map(|cut| cut.part).fold(0.0, f64::max);
        part > 0.0 && self.random.rand_float() < part
    }
}

impl World {
    pub(super) fn talks(&mut self, director: u16, life: u32) {
        if self.shells[usize::from(director)].life == life {
            self.talker_turns(director, None);
            self.plan(TICK_INTERVAL.as_secs_f64(), Event::Talks { director, life });
        }
    }

    pub(super) fn said(&mut self, word: &PeerMessage) {
        if self.shells[usize::from(word.to)].engine.is_some() {
            self.talker_turns(word.to, Some(word));
        }
    }

    fn talker_turns(&mut self, director: u16, word: Option<&PeerMessage>) {
        let (now, secs) = (self.instant(), self.secs());
        let shell = &mut self.shells[usize::from(director)];
        let life = shell.life;
        // One that stands still hears what waits for it when it goes on.
        if shell.free_at > self.now + 1_000_000 {
            if let Some(word) = word {
                let at = shell.free_at;
                self.plan_at(at, Event::Said(word.clone()));
            }
            return;
        }
        let Some(talker) = &mut shell.talker else { return };
        let (out, news, held) = talker.turn(word, now);
        self.report.words = self.report.words.max(held);
        let sizes: Vec<usize> = out.iter().map(|word| talker.size(word)).collect();
        self.report.said.0 += out.len() as u64;
        self.report.said.1 += sizes.iter().sum::<usize>() as u64;
        for word in out {
            if !self.cuts.lost(word.from, word.to, secs) {
                self.plan(self.net, Event::Said(word));
            }
        }
        for input in news {
            self.reach(director, life, input);
        }
    }
}
