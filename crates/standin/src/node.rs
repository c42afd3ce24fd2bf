//! Media nodes: links and uplinks, cold starts and falls, and the packets that they send.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use ashglade_judge::What;
use ashglade_rtsp::Packet;
use ashglade_rtsp::load::NodeLoad;
use ashglade_rtsp::presentation::TrackStart;
use bytes::BytesMut;
use rtcp_types::{RtcpPacketWriterExt, SenderReport};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::log::Log;
use crate::{connection, hls};

/// What a node is. Rates in kB a second.
#[derive(Clone, Debug)]
pub struct Spec {
    pub name: String,
    pub rack: usize,
    pub places: usize,
    pub link: f64,
    /// Turns set-ups away while its link is full.
    pub guard: bool,
}

/// How a cold node rises and falls. Times in seconds.
#[derive(Clone, Copy, Debug)]
pub struct ColdPace {
    pub from: f64,
    pub warm_after: f64,
    pub multiple: f64,
    pub span: f64,
}

/// What is wrong with a node just now.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// SETUPs run, their answers are dropped; all else is answered.
    pub answer_lost: bool,
    /// Nothing is read on, answered or sent.
    pub hang: bool,
    /// Part of the SETUPs that fail at once with 500.
    pub errors: f64,
    /// Part of the SETUPs on which the connection is reset.
    pub resets: f64,
    /// What a SETUP takes.
    pub delay: Duration,
    /// SETUPs are handled one after the other.
    pub queue: bool,
    /// The link gives so much less, as a divisor.
    pub link_cut: f64,
    /// Load is told as it was when this began.
    pub reports_frozen: bool,
    /// Sessions outlive their connection by so long.
    pub keeps: Duration,
}

/// One session at a node.
pub(crate) struct Stream {
    pub rate: f64,
    pub playing: bool,
    pub out: mpsc::Sender<Packet>,
    pub channel: u8,
    pub ssrc: u32,
    pub seq: u16,
    pub ts: u32,
    /// kB due and not yet sent, and the part of a packet that the link has let through.
    due: f64,
    let_through: f64,
    clock_rate: u32,
    /// Packets and bytes sent, and seconds since the last sender report.
    sent: (u32, u32),
    unreported: f64,
}

impl Stream {
    pub fn new(rate: f64, out: mpsc::Sender<Packet>, channel: u8, clock_rate: u32, random: u64) -> Stream {
        let (ssrc, seq, ts) = (random as u32, (random >> 32) as u16, (random >> 24) as u32);
        let (due, let_through, sent, unreported) = (0.0, 0.0, (0, 0), 0.0);
        Stream {
            rate,
            playing: false,
            out,
            channel,
            ssrc,
            seq,
            ts,
            due,
            let_through,
            clock_rate,
            sent,
            unreported,
        }
    }
}

pub(crate) struct State {
    pub up: bool,
    pub fallen: bool,
    started: Instant,
    setups: Vec<Instant>,
    pub faults: Faults,
    /// By session and track.
    pub streams: BTreeMap<(u64, u8), Stream>,
    /// Sessions whose connection is gone, and since when.
    pub orphans: BTreeMap<u64, Instant>,
    pub orphaned: Duration,
    /// When the last SETUP in the queue will have been handled.
    pub busy_until: Instant,
    /// HLS sessions, by viewer and try: their number, and when they were last heard of.
    pub hls: BTreeMap<String, (u64, Instant)>,
    frozen: NodeLoad,
    next_connection: u64,
    pub random: oorandom::Rand64,
}

pub struct Node {
    pub spec: Spec,
    pub address: SocketAddr,
    /// Where it serves HLS.
    pub http: SocketAddr,
    pub(crate) log: Log,
    state: Mutex<State>,
    /// Counts changes that connections must hear of: faults, and the process's end.
    pub(crate) changes: watch::Sender<u64>,
}

impl Node {
    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|broken| broken.into_inner())
    }

    pub(crate) fn connection(&self) -> u64 {
        let mut state = self.state();
        state.next_connection += 1;
        state.next_connection
    }

    /// Sessions that it holds.
    pub fn held(&self) -> usize {
        self.state().sessions()
    }

    /// How long sessions were held that nobody had, summed up.
    pub fn orphaned(&self) -> Duration {
        let state = self.state();
        state.orphaned + state.orphans.values().map(Instant::elapsed).sum::<Duration>()
    }
}

impl State {
    fn sessions(&self) -> usize {
        let mut last = None;
        self.streams.keys().filter(|(session, _)| last.replace(*session) != Some(*session)).count()
    }

    /// Ends a session, whoever held it; false if there is none.
    pub fn end(&mut self, session: u64) -> bool {
        if let Some(since) = self.orphans.remove(&session) {
            self.orphaned += since.elapsed();
        }
        let before = self.streams.len();
        self.streams.retain(|(other, _), _| *other != session);
        self.streams.len() < before
    }
}

/// All nodes, with the uplinks that they share.
pub struct Fleet {
    pub nodes: Vec<Arc<Node>>,
    /// kB a second of each rack's uplink, and its divisor just now.
    uplinks: Vec<f64>,
    cuts: Mutex<Vec<f64>>,
    pub ladder: Vec<f64>,
    pub cold: ColdPace,
    log: Log,
}

/// Bytes of RTP payload in a packet.
const PAYLOAD: usize = 188 * 2;
/// Between rounds of sending.
const PUMP: Duration = Duration::from_millis(20);
/// RTP ticks a second of video and audio, and kB a second of the latter.
pub(crate) const CLOCK_RATES: [u32; 2] = [90_000, 48_000];
const AUDIO: f64 = 1.0;

impl Fleet {
    /// Opens a listener on loopback for each node, at a port of the system's choice.
    pub async fn start(
        specs: Vec<Spec>,
        uplinks: Vec<f64>,
        ladder: Vec<f64>,
        cold: ColdPace,
        seed: u64,
        log: Log,
    ) -> std::io::Result<Arc<Fleet>> {
        let mut nodes = Vec::new();
        let mut listeners = Vec::new();
        // Long ago: a node that the day begins with is warm.
        let started = Instant::now().checked_sub(Duration::from_secs(3600)).unwrap_or_else(Instant::now);
        for (i, spec) in specs.into_iter().enumerate() {
            let listener = listen(([127, 0, 0, 1], 0).into())?;
            let state = State {
                up: true,
                fallen: false,
                started,
                setups: Vec::new(),
                faults: Faults::default(),
                streams: BTreeMap::new(),
                orphans: BTreeMap::new(),
                orphaned: Duration::ZERO,
                busy_until: started,
                hls: BTreeMap::new(),
                frozen: NodeLoad::default(),
                next_connection: 0,
                random: oorandom::Rand64::new(u128::from(seed) << 32 | i as u128),
            };
            let address = listener.local_addr()?;
            let changes = watch::channel(0).0;
            let second = listen(([127, 0, 0, 1], 0).into())?;
            let http = second.local_addr()?;
            let listener = (listener, second);
            nodes.push(Arc::new(Node {
                spec,
                address,
                http,
                log: log.clone(),
                state: Mutex::new(state),
                changes,
            }));
            listeners.push(listener);
        }
        let cuts = Mutex::new(vec![1.0; uplinks.len()]);
        let fleet = Arc::new(Fleet { nodes, uplinks, cuts, ladder, cold, log });
        for (node, (listener, second)) in fleet.nodes.iter().zip(listeners) {
            tokio::spawn(accept(fleet.clone(), node.clone(), listener));
            tokio::spawn(hls::accept(fleet.clone(), node.clone(), second));
        }
        tokio::spawn(pump(fleet.clone()));
        Ok(fleet)
    }

    pub fn set(&self, node: usize, change: impl FnOnce(&mut Faults)) {
        let Some(node) = self.nodes.get(node) else { return };
        let load = self.load(node);
        let mut state = node.state();
        if !state.faults.reports_frozen {
            state.frozen = load;
        }
        change(&mut state.faults);
        drop(state);
        node.changes.send_modify(|n| *n += 1);
    }

    /// The uplink of a rack carries so many times less.
    pub fn cut_uplink(&self, rack: usize, divisor: f64) {
        let mut cuts = self.cuts.lock().unwrap_or_else(|broken| broken.into_inner());
        if let Some(cut) = cuts.get_mut(rack) {
            *cut = divisor.max(1.0);
        }
    }

    /// The process ends: all connections are reset, and none is accepted.
    pub fn stop(&self, node: usize) {
        if let Some(node) = self.nodes.get(node) {
            end(node);
        }
    }

    /// The process starts again, cold, at the same address; one that was pushed over stays down.
    pub fn restart(self: &Arc<Fleet>, node: usize) -> std::io::Result<()> {
        let Some(node) = self.nodes.get(node).cloned() else { return Ok(()) };
        if node.state().fallen {
            return Ok(());
        }
        let (listener, second) = (listen(node.address)?, listen(node.http)?);
        {
            let mut state = node.state();
            (state.up, state.started) = (true, Instant::now());
            state.setups.clear();
            state.faults = Faults::default();
        }
        self.log.saw(What::NodeStarted { node: node.spec.name.clone() });
        tokio::spawn(accept(self.clone(), node.clone(), listener));
        tokio::spawn(hls::accept(self.clone(), node, second));
        Ok(())
    }

    /// Counts a SETUP against the pace of a node that has just started; true if that pushes it over.
    pub(crate) fn pushed_over(&self, node: &Node) -> bool {
        let mut state = node.state();
        let now = Instant::now();
        let (span, age) = (Duration::from_secs_f64(self.cold.span), now - state.started);
        state.setups.retain(|&at| now - at <= span);
        state.setups.push(now);
        let part = age.as_secs_f64() / self.cold.warm_after;
        if part >= 1.0 {
            return false;
        }
        let pace = node.spec.places as f64 / self.cold.warm_after;
        let present = pace * (self.cold.from + (1.0 - self.cold.from) * part);
        let over = state.setups.len() as f64 > self.cold.multiple * present * self.cold.span + 1.0;
        state.fallen |= over;
        drop(state);
        if over {
            self.log.saw(What::NodeFell { node: node.spec.name.clone() });
            end(node);
        }
        over
    }

    fn link(&self, node: &Node) -> f64 {
        let cut = node.state().faults.link_cut;
        node.spec.link / if cut > 1.0 { cut } else { 1.0 }
    }

    fn asked(&self, node: &Node) -> f64 {
        node.state().streams.values().map(|stream| stream.rate).sum()
    }

    fn uplink_level(&self, rack: usize) -> f64 {
        let cut = self.cuts.lock().unwrap_or_else(|broken| broken.into_inner()).get(rack).copied();
        let uplink = self.uplinks.get(rack).copied().unwrap_or(f64::INFINITY) / cut.unwrap_or(1.0);
        let inside = self.nodes.iter().filter(|n| n.spec.rack == rack);
        // What a link can't carry doesn't reach the uplink.
        inside.map(|n| self.asked(n).min(self.link(n))).sum::<f64>() / uplink
    }

    /// What the node tells of its load.
    pub(crate) fn load(&self, node: &Node) -> NodeLoad {
        let state = node.state();
        if state.faults.reports_frozen {
            return state.frozen;
        }
        let streams = state.sessions() as f64;
        drop(state);
        NodeLoad {
            link: Some(self.asked(node) / self.link(node)),
            uplink: Some(self.uplink_level(node.spec.rack)),
            streams: Some(streams),
        }
    }

    /// The share of what is due that its sessions get.
    pub(crate) fn share(&self, node: &Node) -> f64 {
        let link = self.asked(node) / self.link(node);
        1.0 / link.max(self.uplink_level(node.spec.rack)).max(1.0)
    }

    /// Turns a set-up away?
    pub(crate) fn full(&self, node: &Node) -> bool {
        let held = node.state().sessions();
        held >= node.spec.places || (node.spec.guard && self.asked(node) >= self.link(node))
    }

    /// kB a second of a track at a rung.
    pub(crate) fn rate(&self, track: u8, rung: u8) -> f64 {
        if track > 0 {
            return AUDIO;
        }
        let rung = usize::from(rung).min(self.ladder.len().saturating_sub(1));
        self.ladder.get(rung).copied().unwrap_or(0.0)
    }
}

fn end(node: &Node) {
    let mut state = node.state();
    state.up = false;
    state.streams.clear();
    state.orphans.clear();
    let hls: Vec<u64> = std::mem::take(&mut state.hls).into_values().map(|(number, _)| number).collect();
    drop(state);
    for connection in hls {
        node.log.saw(What::Closed { node: node.spec.name.clone(), connection });
    }
    node.changes.send_modify(|n| *n += 1);
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(1024)
}

async fn accept(fleet: Arc<Fleet>, node: Arc<Node>, listener: TcpListener) {
    let mut changes = node.changes.subscribe();
    loop {
        if !node.state().up {
            return;
        }
        tokio::select! {
            accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                tokio::spawn(connection::run(fleet.clone(), node.clone(), stream));
            },
            _ = changes.changed() => {}
        }
    }
}

/// Sends what is due: each session at its rate, cut by the share that link and uplink give. What is cut has been
/// numbered, so the gap shows in the sequence.
async fn pump(fleet: Arc<Fleet>) {
    let mut tick = tokio::time::interval(PUMP);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut last = Instant::now();
    loop {
        tick.tick().await;
        let passed = last.elapsed().as_secs_f64();
        last = Instant::now();
        let uplinks: Vec<f64> = (0..fleet.uplinks.len()).map(|rack| fleet.uplink_level(rack)).collect();
        for node in &fleet.nodes {
            let link = fleet.asked(node) / fleet.link(node);
            let uplink = uplinks.get(node.spec.rack).copied().unwrap_or(0.0);
            let share = 1.0 / link.max(uplink).max(1.0);
            let mut state = node.state();
            let keeps = state.faults.keeps;
            let forgotten: Vec<u64> =
                state.orphans.iter().filter(|(_, since)| since.elapsed() >= keeps).map(|(&n, _)| n).collect();
            for session in forgotten {
                state.end(session);
            }
            if state.faults.hang {
                continue;
            }
            for stream in state.streams.values_mut().filter(|stream| stream.playing) {
                stream.send(passed, share);
            }
        }
    }
}

impl Stream {
    /// Ticks from packet to packet.
    fn step(&self) -> u32 {
        (PAYLOAD as f64 / 1e3 / self.rate * f64::from(self.clock_rate)) as u32
    }

    /// The next packet.
    pub(crate) fn begins(&self, track: u8) -> TrackStart {
        let (seq, rtptime) = (self.seq.wrapping_add(1), self.ts.wrapping_add(self.step()));
        TrackStart { track, seq: Some(seq), rtptime: Some(rtptime) }
    }

    fn send(&mut self, passed: f64, share: f64) {
        let size = PAYLOAD as f64 / 1e3;
        self.due += self.rate * passed;
        let ticks = self.step();
        while self.due >= size {
            self.due -= size;
            self.seq = self.seq.wrapping_add(1);
            self.ts = self.ts.wrapping_add(ticks);
            self.let_through += share;
            if self.let_through >= 1.0 {
                self.let_through -= 1.0;
                let payload = packet(self.seq, self.ts, self.ssrc);
                // A connection that is not read from drops packets: they have been numbered.
                let _ = self.out.try_send(Packet::Frame { channel: self.channel, payload });
                self.sent = (self.sent.0.wrapping_add(1), self.sent.1.wrapping_add(PAYLOAD as u32));
            }
        }
        self.unreported += passed;
        if self.unreported >= 1.0 {
            self.unreported = 0.0;
            let report = SenderReport::builder(self.ssrc)
                .rtp_timestamp(self.ts)
                .packet_count(self.sent.0)
                .octet_count(self.sent.1);
            let mut payload = BytesMut::zeroed(28);
            if report.write_into(&mut payload).is_ok() {
                let _ = self.out.try_send(Packet::Frame { channel: self.channel + 1, payload });
            }
        }
    }
}

fn packet(seq: u16, ts: u32, ssrc: u32) -> BytesMut {
    let body = [0x47u8; PAYLOAD];
    let builder = rtp_types::RtpPacketBuilder::<&[u8], &[u8]>::new()
        .payload_type(96)
        .sequence_number(seq)
        .timestamp(ts)
        .ssrc(ssrc)
        .payload(&body[..]);
    BytesMut::from(&builder.write_vec().unwrap_or_default()[..])
}
