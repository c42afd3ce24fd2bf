//! Stand-in media nodes: links and uplinks, slow start and overload, and the packets that they send.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use ashglade_judge::EventKind;
use ashglade_rtsp::Packet;
use ashglade_rtsp::load::NodeLoad;
use ashglade_rtsp::presentation::TrackStart;
use bytes::BytesMut;
use rtcp_types::{RtcpPacketWriterExt, SenderReport};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::recorder::TrafficRecorder;
use crate::{connection, hls};

/// Properties of a node.
#[derive(Clone, Debug)]
pub struct NodeSpec {
    pub name: String,
    /// Index of its rack, whose uplink it shares.
    pub rack: usize,
    /// Maximum number of sessions.
    pub max_sessions: usize,
    /// Rate of its link.
    pub link_kb_per_s: f64,
    /// Whether it rejects SETUPs while its link is full.
    pub rejects_when_full: bool,
}

/// How the session rate that a node can take rises after its start, and when it fails. Times are in seconds.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Fraction of the full session rate at the start of its process.
    pub initial_fraction: f64,
    /// Time after which it can take the full session rate.
    pub duration_s: f64,
    /// Multiple of its current session rate at which it fails.
    pub overload_multiple: f64,
    /// Sliding window over which the rate of its SETUPs is measured.
    pub overload_window_s: f64,
}

/// Faults of a node that are currently injected.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// SETUPs are run and their responses dropped; all other requests get responses.
    pub drop_setup_responses: bool,
    /// Requests are not handled, and nothing is sent.
    pub hang: bool,
    /// Fraction of the SETUPs that fail at once with status 500.
    pub error_fraction: f64,
    /// Fraction of the SETUPs on which the connection is reset.
    pub reset_fraction: f64,
    /// Time that a SETUP takes.
    pub setup_delay: Duration,
    /// SETUPs are handled one at a time.
    pub serialize_setups: bool,
    /// Divisor of the link's rate; no effect up to 1.
    pub link_divisor: f64,
    /// Load is reported as it was when this fault began.
    pub freeze_load_reports: bool,
    /// Time for which a session is kept after its connection has closed.
    pub orphan_retention: Duration,
}

/// One track of a session at a node.
pub(crate) struct Stream {
    /// In kB/s.
    pub rate: f64,
    pub playing: bool,
    pub out: mpsc::Sender<Packet>,
    /// Interleaved channel of its RTP packets; RTCP uses the next one.
    pub channel: u8,
    pub ssrc: u32,
    pub seq: u16,
    pub ts: u32,
    /// Payload due and not yet packetized, in kB.
    due_kb: f64,
    /// Fraction of a packet that link and uplink have carried beyond the packets sent.
    carried: f64,
    /// RTP timestamp ticks per second.
    clock_rate: u32,
    /// Packets and payload bytes sent.
    sent: (u32, u32),
    /// Seconds since the last sender report.
    since_report: f64,
}

impl Stream {
    pub fn new(rate: f64, out: mpsc::Sender<Packet>, channel: u8, clock_rate: u32, random: u64) -> Stream {
        let (ssrc, seq, ts) = (random as u32, (random >> 32) as u16, (random >> 24) as u32);
        let (due_kb, carried, sent, since_report) = (0.0, 0.0, (0, 0), 0.0);
        Stream {
            rate,
            playing: false,
            out,
            channel,
            ssrc,
            seq,
            ts,
            due_kb,
            carried,
            clock_rate,
            sent,
            since_report,
        }
    }
}

/// The state of a node's process, and what outlasts it.
pub(crate) struct State {
    pub running: bool,
    /// Whether it failed under overload; it then stays down.
    pub overloaded: bool,
    started: Instant,
    /// Times of the SETUPs within the overload window.
    recent_setups: Vec<Instant>,
    pub faults: Faults,
    /// By session number and track.
    pub streams: BTreeMap<(u64, u8), Stream>,
    /// Sessions whose connection has closed, and when.
    pub orphans: BTreeMap<u64, Instant>,
    /// Total time of orphaned sessions that have ended.
    pub orphaned_time: Duration,
    /// When the last SETUP in the queue will have been handled.
    pub setup_queue_ends: Instant,
    /// HLS sessions, by the viewer and attempt of their URLs: their number, and the time of their last
    /// request.
    pub hls_sessions: BTreeMap<String, (u64, Instant)>,
    frozen_load: NodeLoad,
    last_connection: u64,
    pub random: oorandom::Rand64,
}

/// A stand-in media node.
pub struct Node {
    pub spec: NodeSpec,
    /// Address of its RTSP server.
    pub address: SocketAddr,
    /// Address of its HLS server.
    pub http_address: SocketAddr,
    pub(crate) recorder: TrafficRecorder,
    state: Mutex<State>,
    /// Counts the changes that wake connections: of faults, and the end of the process.
    pub(crate) changes: watch::Sender<u64>,
}

impl Node {
    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Returns a new number for a connection or session.
    pub(crate) fn next_connection(&self) -> u64 {
        let mut state = self.state();
        state.last_connection += 1;
        state.last_connection
    }

    /// Returns the number of sessions that it holds.
    pub fn session_count(&self) -> usize {
        self.state().session_count()
    }

    /// Returns the total time for which sessions were kept after their connection had closed.
    pub fn orphaned_time(&self) -> Duration {
        let state = self.state();
        state.orphaned_time + state.orphans.values().map(Instant::elapsed).sum::<Duration>()
    }
}

impl State {
    fn session_count(&self) -> usize {
        let mut last = None;
        self.streams.keys().filter(|(session, _)| last.replace(*session) != Some(*session)).count()
    }

    /// Ends a session, with or without a connection. Returns whether it existed.
    pub fn end_session(&mut self, session: u64) -> bool {
        if let Some(since) = self.orphans.remove(&session) {
            self.orphaned_time += since.elapsed();
        }
        let before = self.streams.len();
        self.streams.retain(|(other, _), _| *other != session);
        self.streams.len() < before
    }
}

/// All nodes, with the uplinks of their racks.
pub struct Fleet {
    pub nodes: Vec<Arc<Node>>,
    /// Rate of each rack's uplink, in kB/s.
    uplinks: Vec<f64>,
    /// Current divisor of each uplink's rate.
    uplink_divisors: Mutex<Vec<f64>>,
    /// Rate of each rung, in kB/s.
    pub ladder: Vec<f64>,
    pub slow_start: SlowStart,
    recorder: TrafficRecorder,
}

/// RTP payload of a packet: two MPEG transport stream packets.
const PAYLOAD_BYTES: usize = 188 * 2;
/// Interval at which due packets are sent.
const SEND_INTERVAL: Duration = Duration::from_millis(20);
/// RTP timestamp ticks per second, of video and audio.
pub(crate) const CLOCK_RATES: [u32; 2] = [90_000, 48_000];
/// Rate of an audio track.
const AUDIO_KB_PER_SECOND: f64 = 1.0;

impl Fleet {
    /// Starts all nodes, each with listeners for RTSP and HLS on loopback, at ports chosen by the system.
    /// `uplinks` and `ladder` are in kB/s.
    pub async fn start(
        specs: Vec<NodeSpec>,
        uplinks: Vec<f64>,
        ladder: Vec<f64>,
        slow_start: SlowStart,
        seed: u64,
        recorder: TrafficRecorder,
    ) -> std::io::Result<Arc<Fleet>> {
        let mut nodes = Vec::new();
        let mut listeners = Vec::new();
        // A node that runs from the beginning is warm.
        let started = Instant::now().checked_sub(Duration::from_secs(3600)).unwrap_or_else(Instant::now);
        for (i, spec) in specs.into_iter().enumerate() {
            let rtsp_listener = listen(([127, 0, 0, 1], 0).into())?;
            let state = State {
                running: true,
                overloaded: false,
                started,
                recent_setups: Vec::new(),
                faults: Faults::default(),
                streams: BTreeMap::new(),
                orphans: BTreeMap::new(),
                orphaned_time: Duration::ZERO,
                setup_queue_ends: started,
                hls_sessions: BTreeMap::new(),
                frozen_load: NodeLoad::default(),
                last_connection: 0,
                random: oorandom::Rand64::new(u128::from(seed) << 32 | i as u128),
            };
            let address = rtsp_listener.local_addr()?;
            let changes = watch::channel(0).0;
            let hls_listener = listen(([127, 0, 0, 1], 0).into())?;
            let http_address = hls_listener.local_addr()?;
            let node_listeners = (rtsp_listener, hls_listener);
            nodes.push(Arc::new(Node {
                spec,
                address,
                http_address,
                recorder: recorder.clone(),
                state: Mutex::new(state),
                changes,
            }));
            listeners.push(node_listeners);
        }
        let uplink_divisors = Mutex::new(vec![1.0; uplinks.len()]);
        let fleet = Arc::new(Fleet { nodes, uplinks, uplink_divisors, ladder, slow_start, recorder });
        for (node, (rtsp_listener, hls_listener)) in fleet.nodes.iter().zip(listeners) {
            tokio::spawn(accept(fleet.clone(), node.clone(), rtsp_listener));
            tokio::spawn(hls::accept(fleet.clone(), node.clone(), hls_listener));
        }
        tokio::spawn(send_media(fleet.clone()));
        Ok(fleet)
    }

    /// Changes the faults of a node, and wakes its connections.
    pub fn update_faults(&self, node: usize, change: impl FnOnce(&mut Faults)) {
        let Some(node) = self.nodes.get(node) else { return };
        let load = self.load(node);
        let mut state = node.state();
        if !state.faults.freeze_load_reports {
            state.frozen_load = load;
        }
        change(&mut state.faults);
        drop(state);
        node.changes.send_modify(|count| *count += 1);
    }

    /// Divides the rate of a rack's uplink; a divisor below 1 counts as 1.
    pub fn set_uplink_divisor(&self, rack: usize, divisor: f64) {
        let mut divisors = self.uplink_divisors.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        if let Some(current) = divisors.get_mut(rack) {
            *current = divisor.max(1.0);
        }
    }

    /// Ends a node's process: all its connections are reset, and none is accepted.
    pub fn stop(&self, node: usize) {
        if let Some(node) = self.nodes.get(node) {
            end_process(node);
        }
    }

    /// Starts a node's process again, cold, at the same addresses. A node that failed under overload stays
    /// down.
    pub fn restart(self: &Arc<Fleet>, node: usize) -> std::io::Result<()> {
        let Some(node) = self.nodes.get(node).cloned() else { return Ok(()) };
        if node.state().overloaded {
            return Ok(());
        }
        let (rtsp_listener, hls_listener) = (listen(node.address)?, listen(node.http_address)?);
        {
            let mut state = node.state();
            (state.running, state.started) = (true, Instant::now());
            state.recent_setups.clear();
            state.faults = Faults::default();
        }
        self.recorder.record(EventKind::NodeStarted { node: node.spec.name.clone() });
        tokio::spawn(accept(self.clone(), node.clone(), rtsp_listener));
        tokio::spawn(hls::accept(self.clone(), node, hls_listener));
        Ok(())
    }

    /// Counts a SETUP against the session rate that a cold node can take. Ends its process and returns true
    /// if that is exceeded.
    pub(crate) fn overloads(&self, node: &Node) -> bool {
        let mut state = node.state();
        let now = Instant::now();
        let (window, age) = (Duration::from_secs_f64(self.slow_start.overload_window_s), now - state.started);
        state.recent_setups.retain(|&at| now - at <= window);
        state.recent_setups.push(now);
        let progress = age.as_secs_f64() / self.slow_start.duration_s;
        if progress >= 1.0 {
            return false;
        }
        let full_rate = node.spec.max_sessions as f64 / self.slow_start.duration_s;
        let current_rate = full_rate
            * (self.slow_start.initial_fraction + (1.0 - self.slow_start.initial_fraction) * progress);
        let overloaded = state.recent_setups.len() as f64
            > self.slow_start.overload_multiple * current_rate * self.slow_start.overload_window_s + 1.0;
        state.overloaded |= overloaded;
        drop(state);
        if overloaded {
            self.recorder.record(EventKind::NodeOverloaded { node: node.spec.name.clone() });
            end_process(node);
        }
        overloaded
    }

    /// Returns the current rate of a node's link, in kB/s.
    fn link_rate(&self, node: &Node) -> f64 {
        let divisor = node.state().faults.link_divisor;
        node.spec.link_kb_per_s / if divisor > 1.0 { divisor } else { 1.0 }
    }

    /// Returns the total rate of a node's sessions, in kB/s.
    fn demand(&self, node: &Node) -> f64 {
        node.state().streams.values().map(|stream| stream.rate).sum()
    }

    /// Returns the demand on a rack's uplink as a fraction of its current rate.
    fn uplink_demand(&self, rack: usize) -> f64 {
        let divisor =
            self.uplink_divisors.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).get(rack).copied();
        let uplink_rate = self.uplinks.get(rack).copied().unwrap_or(f64::INFINITY) / divisor.unwrap_or(1.0);
        let rack_nodes = self.nodes.iter().filter(|n| n.spec.rack == rack);
        // Traffic that a link can't carry doesn't reach the uplink.
        rack_nodes.map(|n| self.demand(n).min(self.link_rate(n))).sum::<f64>() / uplink_rate
    }

    /// Returns the load that a node reports.
    pub(crate) fn load(&self, node: &Node) -> NodeLoad {
        let state = node.state();
        if state.faults.freeze_load_reports {
            return state.frozen_load;
        }
        let streams = state.session_count() as f64;
        drop(state);
        NodeLoad {
            link: Some(self.demand(node) / self.link_rate(node)),
            uplink: Some(self.uplink_demand(node.spec.rack)),
            streams: Some(streams),
        }
    }

    /// Returns the fraction of their rate that a node's sessions get, from 0 to 1.
    pub(crate) fn delivered_fraction(&self, node: &Node) -> f64 {
        let link_demand = self.demand(node) / self.link_rate(node);
        1.0 / link_demand.max(self.uplink_demand(node.spec.rack)).max(1.0)
    }

    /// Returns whether a node rejects SETUPs.
    pub(crate) fn is_full(&self, node: &Node) -> bool {
        let sessions = node.state().session_count();
        sessions >= node.spec.max_sessions
            || (node.spec.rejects_when_full && self.demand(node) >= self.link_rate(node))
    }

    /// Returns the rate of a track at a rung, in kB/s. Track 0 is video, all others are audio.
    pub(crate) fn rate(&self, track: u8, rung: u8) -> f64 {
        if track > 0 {
            return AUDIO_KB_PER_SECOND;
        }
        let rung = usize::from(rung).min(self.ladder.len().saturating_sub(1));
        self.ladder.get(rung).copied().unwrap_or(0.0)
    }
}

/// Ends a node's process, with all its sessions.
fn end_process(node: &Node) {
    let mut state = node.state();
    state.running = false;
    state.streams.clear();
    state.orphans.clear();
    let hls_sessions: Vec<u64> =
        std::mem::take(&mut state.hls_sessions).into_values().map(|(number, _)| number).collect();
    drop(state);
    for connection in hls_sessions {
        node.recorder.record(EventKind::SessionClosed { node: node.spec.name.clone(), connection });
    }
    node.changes.send_modify(|count| *count += 1);
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
        if !node.state().running {
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

/// Sends the packets that are due. Each stream is sent at its rate, reduced to the fraction that link and
/// uplink carry. Packets that are left out take a sequence number, so that the receiver sees the gap.
async fn send_media(fleet: Arc<Fleet>) {
    let mut tick = tokio::time::interval(SEND_INTERVAL);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut last = Instant::now();
    loop {
        tick.tick().await;
        let elapsed = last.elapsed().as_secs_f64();
        last = Instant::now();
        let uplink_demands: Vec<f64> =
            (0..fleet.uplinks.len()).map(|rack| fleet.uplink_demand(rack)).collect();
        for node in &fleet.nodes {
            let link_demand = fleet.demand(node) / fleet.link_rate(node);
            let uplink_demand = uplink_demands.get(node.spec.rack).copied().unwrap_or(0.0);
            let fraction = 1.0 / link_demand.max(uplink_demand).max(1.0);
            let mut state = node.state();
            let retention = state.faults.orphan_retention;
            let expired: Vec<u64> = state
                .orphans
                .iter()
                .filter(|(_, since)| since.elapsed() >= retention)
                .map(|(&n, _)| n)
                .collect();
            for session in expired {
                state.end_session(session);
            }
            if state.faults.hang {
                continue;
            }
            for stream in state.streams.values_mut().filter(|stream| stream.playing) {
                stream.send(elapsed, fraction);
            }
        }
    }
}

impl Stream {
    /// Returns the RTP timestamp ticks from one packet to the next.
    fn timestamp_step(&self) -> u32 {
        (PAYLOAD_BYTES as f64 / 1e3 / self.rate * f64::from(self.clock_rate)) as u32
    }

    /// Returns the sequence number and RTP timestamp of a track's next packet.
    pub(crate) fn next_packet(&self, track: u8) -> TrackStart {
        let (seq, rtptime) = (self.seq.wrapping_add(1), self.ts.wrapping_add(self.timestamp_step()));
        TrackStart { track, seq: Some(seq), rtptime: Some(rtptime) }
    }

    /// Sends the packets due after `elapsed` seconds, reduced to a fraction of the rate, and a sender report
    /// once a second.
    fn send(&mut self, elapsed: f64, fraction: f64) {
        let packet_kb = PAYLOAD_BYTES as f64 / 1e3;
        self.due_kb += self.rate * elapsed;
        let ticks = self.timestamp_step();
        while self.due_kb >= packet_kb {
            self.due_kb -= packet_kb;
            self.seq = self.seq.wrapping_add(1);
            self.ts = self.ts.wrapping_add(ticks);
            self.carried += fraction;
            if self.carried >= 1.0 {
                self.carried -= 1.0;
                let payload = rtp_packet(self.seq, self.ts, self.ssrc);
                // Packets are dropped while the connection's queue is full. They keep their sequence numbers.
                let _ = self.out.try_send(Packet::Frame { channel: self.channel, payload });
                self.sent = (self.sent.0.wrapping_add(1), self.sent.1.wrapping_add(PAYLOAD_BYTES as u32));
            }
        }
        self.since_report += elapsed;
        if self.since_report >= 1.0 {
            self.since_report = 0.0;
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

/// Builds an RTP packet with a payload of constant bytes.
fn rtp_packet(seq: u16, ts: u32, ssrc: u32) -> BytesMut {
    let body = [0x47u8; PAYLOAD_BYTES];
    let builder = rtp_types::RtpPacketBuilder::<&[u8], &[u8]>::new()
        .payload_type(96)
        .sequence_number(seq)
        .timestamp(ts)
        .ssrc(ssrc)
        .payload(&body[..]);
    BytesMut::from(&builder.write_vec().unwrap_or_default()[..])
}
