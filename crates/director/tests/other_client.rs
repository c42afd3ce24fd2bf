//! An independent RTSP client (retina) plays through a director and stand-in nodes. Guards against behaviour
//! that only this project's own client accepts: DESCRIBE, SETUP of two tracks, PLAY, a change of rung, and a
//! drain.

mod support;

use std::time::Duration;

use ashglade_judge::{Plan, What};
use ashglade_standin::node::ColdPace;
use ashglade_standin::{Fleet, Log, Spec};
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
    let plan = Plan {
        groups: vec![],
        nodes: vec![],
        drain_grace: 0.0,
        cold_from: 1.0,
        warm_after: 1.0,
        fall_multiple: 1e9,
        fall_span: 1.0,
        ration: None,
        slack: 0.0,
        shared: None,
    };
    let log = Log::create(&folder.path().join("traffic.jsonl"), &plan).unwrap();
    let spec = Spec { name: "n".into(), rack: 0, places: 50, link: 1000.0, guard: false };
    let cold_pace = ColdPace { from: 1.0, warm_after: 0.001, multiple: 1e9, span: 1.0 };
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
    fleet.set(0, |faults| faults.link_cut = 100.0);
    let switched = |log: &Log| log.sights().iter().any(|s| matches!(s.what, What::Switched { rung: 0, .. }));
    while !switched(&log) {
        received.read(&mut session).await;
    }
    fleet.set(0, |faults| faults.link_cut = 1.0);
    for _ in 0..40 {
        received.read(&mut session).await;
    }
    // A session of two tracks counts as one SETUP.
    let setups = log.sights().iter().filter(|s| matches!(s.what, What::SetupAnswered { .. })).count();
    assert_eq!(setups, 1);

    // After SIGTERM the director accepts no new connections and lets this session play on.
    nix::sys::signal::raise(nix::sys::signal::Signal::SIGTERM).unwrap();
    while tokio::net::TcpStream::connect(director.address).await.is_ok() {
        received.read(&mut session).await;
    }
    received.read(&mut session).await;
}
