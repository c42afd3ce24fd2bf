//! Emulated peer communication: the real shared state and messages of directors, over a network with faults.

use std::collections::BTreeSet;

use ashglade::time::Instant;
use ashglade_engine::{Input, SetupResult};
use ashglade_peer_transport::codec::{Codec, Datagram};
use ashglade_peer_transport::{EngineUpdates, TICK_INTERVAL};
use ashglade_settings::Settings;
use ashglade_shared::{FleetConfig, PeerMessage, SharedState, health_from_outcome};

use super::world::{Event, World};
use crate::day::Day;
use crate::day::schema::{Deed as FaultKind, Fault};
use crate::net::{Parties, Party};
use crate::play;

/// The peer state of one director.
pub(super) struct PeerState {
    config: FleetConfig,
    codec: Codec,
    retry_window: Option<ashglade::time::Span>,
    health_sharing: bool,
    state: Option<(SharedState, EngineUpdates)>,
}

impl PeerState {
    /// The peer state for a director's settings; `None` if they enable no peer communication.
    pub fn new(settings: &Settings) -> Option<PeerState> {
        Some(PeerState {
            config: ashglade_peer_transport::fleet_config(settings)?,
            codec: Codec::new(&settings.peering.as_ref()?.secret)?,
            retry_window: ashglade_peer_transport::retry_window(settings),
            health_sharing: settings.peering.as_ref()?.sharing.is_some(),
            state: None,
        })
    }

    /// Starts the state of a new process.
    pub fn start(&mut self, now: Instant) {
        // Process numbers must increase from one start to the next.
        let process = now.as_ms() as u64 + 1;
        let shared_state = SharedState::new(self.config.clone(), process, now);
        self.state = Some((shared_state, EngineUpdates::new(self.retry_window)));
    }

    /// Feeds SETUP results of the engine into the node health reports.
    pub fn record_results(&mut self, results: &[SetupResult], now: Instant) {
        let Some((shared_state, _)) = self.state.as_mut().filter(|_| self.health_sharing) else { return };
        for result in results {
            if let Some(health) = health_from_outcome(result.failure) {
                shared_state.record_outcome(result.node.0, health, now);
            }
        }
    }

    /// Processes a received message, or the periodic tick without one. Returns the messages to send, the
    /// inputs for the engine and, on a tick, the number of health reports held.
    fn process(
        &mut self,
        message: Option<&PeerMessage>,
        now: Instant,
    ) -> (Vec<PeerMessage>, Vec<Input>, usize) {
        let Some((shared_state, engine_updates)) = &mut self.state else { return Default::default() };
        let outgoing = match message {
            Some(message) => shared_state.receive(message, now),
            None => shared_state.tick(now),
        };
        let report_count = if message.is_none() { shared_state.health_reports(now).count() } else { 0 };
        (outgoing, engine_updates.poll(shared_state, &self.config, now).1, report_count)
    }

    /// Size of the message's datagram, in bytes.
    fn datagram_bytes(&self, message: &PeerMessage) -> usize {
        let datagram = Datagram { process: 1 << 40, sequence: 1 << 20, message: message.clone() };
        self.codec.encode(&datagram).map_or(0, |bytes| bytes.len())
    }
}

/// Whether the emulator supports a fault.
pub(super) fn is_supported(fault: &Fault) -> bool {
    let only_directors =
        |names: &[String]| !names.is_empty() && names.iter().all(|name| name.starts_with("director"));
    fault.at_s.is_some()
        && matches!(fault.deed(), FaultKind::Cut | FaultKind::Loss)
        && only_directors(&fault.from)
        && only_directors(&fault.to)
}

/// A time span in which a part of the datagrams between two sets of parties is lost.
struct DatagramLoss {
    from_s: f64,
    to_s: f64,
    /// Senders and receivers.
    from: BTreeSet<Party>,
    to: BTreeSet<Party>,
    /// Whether it also applies from `to` to `from`.
    both: bool,
    /// Probability that a datagram is lost.
    probability: f64,
}

/// All faults on the paths between directors.
pub(super) struct NetworkFaults {
    losses: Vec<DatagramLoss>,
    random: oorandom::Rand64,
}

impl NetworkFaults {
    pub fn of(day: &Day) -> NetworkFaults {
        let parties: Parties = play::parties(day);
        let resolve =
            |names: &[String]| names.iter().filter_map(|name| parties.resolve(name)).flatten().collect();
        let loss = |fault: &Fault| DatagramLoss {
            from_s: fault.at_s.unwrap_or(0.0),
            to_s: fault.at_s.unwrap_or(0.0) + fault.for_s.unwrap_or(f64::INFINITY),
            from: resolve(&fault.from),
            to: resolve(&fault.to),
            both: fault.both.unwrap_or(false),
            probability: if fault.deed() == FaultKind::Cut { 1.0 } else { fault.size.unwrap_or(0.0) },
        };
        let seed = u128::from(day.seed.unwrap_or(0));
        NetworkFaults {
            losses: day.fault.iter().map(loss).collect(),
            random: oorandom::Rand64::new(seed << 5 | 9),
        }
    }

    /// Draws whether a datagram sent at `now_s` is lost.
    fn draw_loss(&mut self, from: u16, to: u16, now_s: f64) -> bool {
        let (from, to) = (Party::Director(from), Party::Director(to));
        let concerns = |loss: &&DatagramLoss| {
            let forward = loss.from.contains(&from) && loss.to.contains(&to);
            let backward = loss.both && loss.from.contains(&to) && loss.to.contains(&from);
            (loss.from_s..loss.to_s).contains(&now_s) && (forward || backward)
        };
        let probability =
            self.losses.iter().filter(concerns).map(|loss| loss.probability).fold(0.0, f64::max);
        probability > 0.0 && self.random.rand_float() < probability
    }
}

impl World {
    /// Runs the periodic tick of a director's peer state and schedules the next one.
    pub(super) fn peer_tick(&mut self, director: u16, process: u32) {
        if self.directors[usize::from(director)].process == process {
            self.run_peer_state(director, None);
            self.schedule_after(TICK_INTERVAL.as_secs_f64(), Event::PeerTick { director, process });
        }
    }

    /// Delivers a message to its receiver, if that runs.
    pub(super) fn peer_message_arrives(&mut self, message: &PeerMessage) {
        if self.directors[usize::from(message.to)].engine.is_some() {
            self.run_peer_state(message.to, Some(message));
        }
    }

    /// Runs a director's peer state on a message or a tick, sends its messages and passes its inputs to the
    /// engine.
    fn run_peer_state(&mut self, director: u16, message: Option<&PeerMessage>) {
        let (now, now_s) = (self.instant(), self.now_seconds());
        let director_state = &mut self.directors[usize::from(director)];
        let process = director_state.process;
        // A paused director receives queued messages when it resumes. Rounds keep it busy for far less than a
        // second.
        if director_state.busy_until_us > self.now_us + 1_000_000 {
            if let Some(message) = message {
                let at = director_state.busy_until_us;
                self.schedule_at(at, Event::PeerMessageArrives(message.clone()));
            }
            return;
        }
        let Some(peer_state) = &mut director_state.peer_state else { return };
        let (outgoing, inputs, report_count) = peer_state.process(message, now);
        self.report.max_health_reports = self.report.max_health_reports.max(report_count);
        let sizes: Vec<usize> = outgoing.iter().map(|message| peer_state.datagram_bytes(message)).collect();
        self.report.peer_traffic.0 += outgoing.len() as u64;
        self.report.peer_traffic.1 += sizes.iter().sum::<usize>() as u64;
        for message in outgoing {
            if !self.network_faults.draw_loss(message.from, message.to, now_s) {
                self.schedule_after(self.network_delay_s, Event::PeerMessageArrives(message));
            }
        }
        for input in inputs {
            self.deliver_input(director, process, input);
        }
    }
}
