//! A client that was not written here plays through director and stand-in nodes: it describes, sets up two tracks,
//! plays, reads frames across a change of rung, and goes on while the director drains.

mod stage;

use std::time::Duration;

use ashglade_judge::{Plan, What};
use ashglade_standin::node::ColdPace;
use ashglade_standin::{Fleet, Log, Spec};
use futures_util::StreamExt;
use retina::client::{PacketItem, PlayOptions, Playing, Session, SessionOptions, SetupOptions, Transport};

/// SSRC and last sequence number of each track, as read so far.
#[derive(Default)]
struct Seen([Option<(u32, u16)>; 2], usize);

impl Seen {
    /// Reads one packet and checks that it goes on from the one before.
    async fn read(&mut self, session: &mut Session<Playing>) {
        let item =
            tokio::time::timeout(Duration::from_secs(10), session.next()).await.expect("media goes on");
        if let PacketItem::Rtp(packet) = item.expect("no end").expect("no fault") {
            let (ssrc, seq) = (packet.ssrc(), packet.sequence_number());
            if let Some((before, last)) = self.0[packet.stream_id()] {
                assert_eq!(ssrc, before, "one SSRC");
                assert!(seq.wrapping_sub(last) < 0x8000, "{seq} after {last}");
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
    let cold = ColdPace { from: 1.0, warm_after: 0.001, multiple: 1e9, span: 1.0 };
    let fleet = Fleet::start(vec![spec], vec![1e9], vec![10.0, 20.0], cold, 3, log.clone()).await.unwrap();
    let director = stage::director(&[fleet.nodes[0].address]).await;

    let url = format!("rtsp://{}/two", director.address).parse().unwrap();
    let mut session = Session::describe(url, SessionOptions::default()).await.unwrap();
    let media: Vec<&str> = session.streams().iter().map(|stream| stream.media()).collect();
    assert_eq!(media, ["video", "audio"]);
    for stream in 0..2 {
        let transport = Transport::Tcp(Default::default());
        session.setup(stream, SetupOptions::default().transport(transport)).await.unwrap();
    }
    let mut session = session.play(PlayOptions::default()).await.unwrap();
    let mut seen = Seen::default();
    while seen.1 < 40 || seen.0.contains(&None) {
        seen.read(&mut session).await;
    }
    // The link gives half of what is asked: the director steps the session down.
    fleet.set(0, |faults| faults.link_cut = 100.0);
    let switched = |log: &Log| log.sights().iter().any(|s| matches!(s.what, What::Switched { rung: 0, .. }));
    while !switched(&log) {
        seen.read(&mut session).await;
    }
    fleet.set(0, |faults| faults.link_cut = 1.0);
    for _ in 0..40 {
        seen.read(&mut session).await;
    }
    // One session, two tracks: one SETUP as rules count it.
    let setups = log.sights().iter().filter(|s| matches!(s.what, What::SetupAnswered { .. })).count();
    assert_eq!(setups, 1);

    // Told to stop, the director takes nothing new and lets this one play on for a while.
    nix::sys::signal::raise(nix::sys::signal::Signal::SIGTERM).unwrap();
    while tokio::net::TcpStream::connect(director.address).await.is_ok() {
        seen.read(&mut session).await;
    }
    seen.read(&mut session).await;
}
