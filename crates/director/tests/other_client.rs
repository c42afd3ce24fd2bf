//! An independent RTSP client (retina) plays through a director and stand-in nodes. Guards against behaviour
//! that only this project's own client accepts: DESCRIBE, SETUP of two tracks, PLAY, a change of rung, and a
//! drain.

mod support;

use std::time::Duration;

use ashglade_judge::{EventKind, RulesConfig};
use ashglade_standin::node::SlowStart;
use ashglade_standin::{Fleet, NodeSpec, TrafficRecorder};
use futures_util::StreamExt;
use retina::client::{PacketItem, PlayOptions, Playing, Session, SessionOptions, SetupOptions, Transport};

/// SSRC and last sequence number of each track, and the number of packets read.
#[derive(Default)]
struct ReceivedMedia([Option<(u32, u16)>; 2], usize);

impl ReceivedMedia {
    /// Reads one packet, and checks that its SSRC is unchanged and that its sequence number isn't lower than
    /// before.
    async fn read(&mut self, session: &mut Session<Playing>) {
        let item =
            tokio::time::timeout(Duration::from_secs(10), session.next()).await.expect("media continues");
        if let PacketItem::Rtp(packet) = item.expect("the stream continues").expect("a valid packet") {
            let (ssrc, seq) = (packet.ssrc(), packet.sequence_number());
            if let Some((first_ssrc, last_sequence)) = self.0[packet.stream_id()] {
                assert_eq!(ssrc, first_ssrc, "one SSRC");
                assert!(seq.wrapping_sub(last_sequence) < 0x8000, "{seq} after {last_sequence}");
            }
            self.0[packet.stream_id()] = Some((ssrc, seq));
            self.1 += 1;
        }
    }
}

#[tokio::test]
async fn retina_plays_across_a_change_of_rung_and_a_drain() {
    let folder = tempfile::tempdir().unwrap();
    let plan = RulesConfig {
        groups: vec![],
        nodes: vec![],
        drain_grace: 0.0,
        slow_start_initial_fraction: 1.0,
        slow_start_duration: 1.0,
        overload_multiple: 1e9,
        overload_window: 1.0,
        retry_budget: None,
        timing_tolerance: 0.0,
        fleet_limits: None,
    };
    let log = TrafficRecorder::create(&folder.path().join("traffic.jsonl"), &plan).unwrap();
    let spec = NodeSpec {
        name: "n".into(),
        rack: 0,
        max_sessions: 50,
        link_kb_per_s: 1000.0,
        rejects_when_full: false,
    };
    let cold_pace = SlowStart {
        initial_fraction: 1.0,
        duration_s: 0.001,
        overload_multiple: 1e9,
        overload_window_s: 1.0,
    };
    let fleet =
        Fleet::start(vec![spec], vec![1e9], vec![10.0, 20.0], cold_pace, 3, log.clone()).await.unwrap();
    let director = support::director(&[fleet.nodes[0].address]).await;

    let url = format!("rtsp://{}/two", director.address).parse().unwrap();
    let mut session = Session::describe(url, SessionOptions::default()).await.unwrap();
    let media: Vec<&str> = session.streams().iter().map(|stream| stream.media()).collect();
    assert_eq!(media, ["video", "audio"]);
    for stream in 0..2 {
        let transport = Transport::Tcp(Default::default());
        session.setup(stream, SetupOptions::default().transport(transport)).await.unwrap();
    }
    let mut session = session.play(PlayOptions::default()).await.unwrap();
    let mut received = ReceivedMedia::default();
    while received.1 < 40 || received.0.contains(&None) {
        received.read(&mut session).await;
    }
    // The node's link is cut to half of what the session needs, so the director lowers its rung.
    fleet.update_faults(0, |faults| faults.link_divisor = 100.0);
    let switched = |log: &TrafficRecorder| {
        log.events().iter().any(|s| matches!(s.kind, EventKind::RungChanged { rung: 0, .. }))
    };
    while !switched(&log) {
        received.read(&mut session).await;
    }
    fleet.update_faults(0, |faults| faults.link_divisor = 1.0);
    for _ in 0..40 {
        received.read(&mut session).await;
    }
    // A session of two tracks counts as one SETUP.
    let setups =
        log.events().iter().filter(|s| matches!(s.kind, EventKind::SetupResponseSent { .. })).count();
    assert_eq!(setups, 1);

    // After SIGTERM the director accepts no new connections and lets this session play on.
    nix::sys::signal::raise(nix::sys::signal::Signal::SIGTERM).unwrap();
    while tokio::net::TcpStream::connect(director.address).await.is_ok() {
        received.read(&mut session).await;
    }
    received.read(&mut session).await;
}
