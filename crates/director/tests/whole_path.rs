//! The whole path on loopback, against a media node that a test plays by hand: what players and nodes see on
//! their sockets when things go wrong between SETUP and the last frame.

mod stage;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ashglade_rtsp::messages::{self, Channels};
use ashglade_rtsp::{Codec, Packet, Request, Response};
use bytes::{BufMut, BytesMut};
use expect_test::expect;
use futures_util::{SinkExt, StreamExt};
use rtsp_types::headers;
use rtsp_types::{Method, StatusCode, Url};
use stage::director;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio_util::codec::{Encoder, Framed};

type Connection = Framed<TcpStream, Codec>;

/// What was seen, in the order in which it was; tests wait for a line, never for a time.
#[derive(Clone, Default)]
struct Trace(Arc<(Mutex<Vec<String>>, Notify)>);

impl Trace {
    fn line(&self, text: impl Into<String>) {
        self.0.0.lock().unwrap().push(text.into());
        self.0.1.notify_waiters();
    }

    async fn wait(&self, text: &str) {
        let seen = async {
            loop {
                let notified = self.0.1.notified();
                if self.0.0.lock().unwrap().iter().any(|line| line == text) {
                    return;
                }
                notified.await;
            }
        };
        if tokio::time::timeout(Duration::from_secs(10), seen).await.is_err() {
            panic!("{text:?} was not seen:\n{}", self.text());
        }
    }

    fn text(&self) -> String {
        self.0.0.lock().unwrap().join("\n") + "\n"
    }
}

struct Player {
    connection: Connection,
    url: Url,
    cseq: u32,
    session: Option<String>,
}

impl Player {
    async fn open(director: SocketAddr, query: &str) -> Player {
        let stream = TcpStream::connect(director).await.unwrap();
        let url = Url::parse(&format!("rtsp://{director}/t/track1{query}")).unwrap();
        Player { connection: Framed::new(stream, Codec::default()), url, cseq: 0, session: None }
    }

    async fn send(&mut self, method: Method) {
        self.cseq += 1;
        let mut request = messages::request(method.clone(), &self.url, self.cseq);
        if let Some(session) = &self.session {
            request.insert_header(headers::SESSION, session.as_str());
        }
        if method == Method::Setup {
            request.insert_header(headers::TRANSPORT, "RTP/AVP/TCP;unicast;interleaved=2-3");
        }
        self.connection.send(Packet::Request(request)).await.unwrap();
    }

    async fn next(&mut self) -> Option<Packet> {
        let packet = tokio::time::timeout(Duration::from_secs(10), self.connection.next()).await;
        packet.expect("something comes").and_then(Result::ok)
    }

    async fn ask(&mut self, method: Method) -> Response {
        self.send(method).await;
        loop {
            if let Packet::Response(response) = self.next().await.expect("an answer") {
                if let Some(session) = messages::header(&response, &headers::SESSION) {
                    self.session = Some(messages::session_id(session).to_string());
                }
                return response;
            }
        }
    }

    async fn status(&mut self, method: Method) -> u16 {
        self.ask(method).await.status().into()
    }
}

fn answer(request: &Request, status: StatusCode) -> Response {
    let mut response = messages::response(status, messages::cseq(request).as_deref());
    if *request.method() == Method::Setup && status == StatusCode::Ok {
        response.insert_header(headers::SESSION, "node-session");
        let channels = Channels { rtp: 0, rtcp: 1 };
        response.insert_header(headers::TRANSPORT, channels.granted(None));
    }
    response
}

fn rtp(seq: u16, ts: u32, ssrc: u32) -> BytesMut {
    let mut packet = BytesMut::new();
    packet.put_slice(&[0x80, 96]);
    packet.put_u16(seq);
    packet.put_u32(ts);
    packet.put_u32(ssrc);
    packet.put_slice(b"media");
    packet
}

/// A node: for each request on its k-th connection, what it writes, or none to say nothing.
async fn node<F>(trace: Trace, script: F) -> SocketAddr
where
    F: Fn(usize, &Request) -> Option<Vec<Packet>> + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let script = Arc::new(script);
    tokio::spawn(async move {
        for k in 1.. {
            let Ok((stream, _)) = listener.accept().await else { return };
            let (trace, script) = (trace.clone(), script.clone());
            tokio::spawn(async move {
                let mut connection = Framed::new(stream, Codec::default());
                while let Some(Ok(packet)) = connection.next().await {
                    let Packet::Request(request) = packet else { continue };
                    let url = request.request_uri().map_or("", |url| url.path()).to_string();
                    trace.line(format!("connection {k}: {} {url}", <&str>::from(request.method())));
                    let Some(packets) = script(k, &request) else { continue };
                    if packets.is_empty() {
                        connection.get_ref().set_zero_linger().unwrap();
                        trace.line(format!("connection {k}: reset by the node"));
                        return;
                    }
                    // All in one write.
                    let mut bytes = BytesMut::new();
                    for packet in packets {
                        Codec::default().encode(packet, &mut bytes).unwrap();
                    }
                    tokio::io::AsyncWriteExt::write_all(connection.get_mut(), &bytes).await.unwrap();
                }
                trace.line(format!("connection {k}: closed by the director"));
            });
        }
    });
    address
}

#[tokio::test]
async fn a_node_that_answers_404_is_asked_once_for_the_title_and_another_plays_it() {
    let trace = Trace::default();
    let without =
        node(trace.clone(), |_, request| Some(vec![Packet::Response(answer(request, StatusCode::NotFound))]))
            .await;
    let with =
        node(Trace::default(), |_, request| Some(vec![Packet::Response(answer(request, StatusCode::Ok))]))
            .await;
    let director = director(&[without, with]).await;
    // Of a group that must never be set up twice: 404 says that it was not set up at all.
    for viewer in 0..12 {
        let mut player = Player::open(director.address, &format!("?viewer={viewer}.0&group=event")).await;
        assert_eq!(player.status(Method::Setup).await, 200);
    }
    assert_eq!(trace.text().matches("SETUP").count(), 1, "{}", trace.text());
}

#[tokio::test]
async fn a_session_from_the_door_to_the_node_and_back() {
    let trace = Trace::default();
    let node = node(trace.clone(), |_, request| {
        let mut packets = vec![];
        if *request.method() == Method::Play {
            // A frame before the answer and two behind it, in one write.
            packets.push(Packet::Frame { channel: 0, payload: rtp(65_535, 100, 9) });
            packets.push(Packet::Response(answer(request, StatusCode::Ok)));
            packets.push(Packet::Frame { channel: 0, payload: rtp(0, 200, 9) });
            packets.push(Packet::Frame { channel: 7, payload: rtp(9, 9, 9) });
            packets.push(Packet::Frame { channel: 0, payload: rtp(1, 300, 9) });
            return Some(packets);
        }
        Some(vec![Packet::Response(answer(request, StatusCode::Ok))])
    })
    .await;
    let director = director(&[node]).await;
    let mut player = Player::open(director.address, "?viewer=1.0").await;
    let describe = player.ask(Method::Describe).await;
    trace.line(format!("player: {}", String::from_utf8_lossy(describe.body()).lines().last().unwrap()));
    let setup = player.ask(Method::Setup).await;
    let transport = messages::header(&setup, &headers::TRANSPORT).unwrap().to_string();
    let (transport, ssrc) = transport.split_once(";ssrc=").unwrap();
    trace.line(format!("player: SETUP {} {transport}", u16::from(setup.status())));
    let ssrc = u32::from_str_radix(ssrc, 16).unwrap();
    player.send(Method::Play).await;
    for _ in 0..4 {
        match player.next().await.unwrap() {
            Packet::Response(response) => {
                trace.line(format!("player: PLAY {}", u16::from(response.status())))
            }
            Packet::Frame { channel, payload } => {
                let seq = u16::from_be_bytes([payload[2], payload[3]]);
                let same = payload[8..12] == ssrc.to_be_bytes();
                trace.line(format!("player: frame on {channel} seq {seq}, as announced: {same}"));
            }
            other => panic!("{other:?}"),
        }
    }
    let status = player.status(Method::Teardown).await;
    trace.wait("connection 1: TEARDOWN /t/r1").await;
    trace.line(format!("player: TEARDOWN {status}"));
    expect![[r#"
        player: a=control:track1?viewer=1.0
        connection 1: SETUP /t/r1/track1
        player: SETUP 200 RTP/AVP/TCP;unicast;interleaved=2-3
        connection 1: PLAY /t/r1
        player: frame on 2 seq 65535, as announced: true
        player: PLAY 200
        player: frame on 2 seq 0, as announced: true
        player: frame on 2 seq 1, as announced: true
        connection 1: TEARDOWN /t/r1
        player: TEARDOWN 200
    "#]]
    .assert_eq(&trace.text());
}

#[tokio::test]
async fn a_setup_given_up_is_closed_at_the_node_before_the_next_goes_out() {
    let trace = Trace::default();
    let script = |trace: Trace, name: &'static str| {
        node(trace, move |_, request| {
            (name == "quick").then(|| vec![Packet::Response(answer(request, StatusCode::Ok))])
        })
    };
    // Both nodes are silent; a third attempt is the quick one's.
    let (a, b) = (script(trace.clone(), "silent").await, script(Trace::default(), "quick").await);
    let director = director(&[a, b]).await;
    // Two players at once: by chance one of them meets the silent node first or not at all; each is answered once.
    let mut statuses = vec![];
    for n in 0..4 {
        let mut player = Player::open(director.address, &format!("?viewer={n}.0")).await;
        statuses.push(player.status(Method::Setup).await);
    }
    assert_eq!(statuses, [200; 4]);
    trace.wait("connection 1: closed by the director").await;
    let seen = trace.text();
    assert!(
        seen.starts_with("connection 1: SETUP /t/r1/track1\nconnection 1: closed by the director\n"),
        "{seen}"
    );
}

#[tokio::test]
async fn a_viewer_that_closes_while_its_setup_is_out_takes_it_along() {
    let trace = Trace::default();
    let node = node(trace.clone(), |_, _| None).await;
    let director = director(&[node]).await;
    let mut player = Player::open(director.address, "?group=event").await;
    player.send(Method::Setup).await;
    trace.wait("connection 1: SETUP /t/r1/track1").await;
    drop(player);
    trace.wait("connection 1: closed by the director").await;
    expect![[r#"
        connection 1: SETUP /t/r1/track1
        connection 1: closed by the director
    "#]]
    .assert_eq(&trace.text());
}

#[tokio::test]
async fn a_node_that_resets_between_setup_and_play_costs_the_session_not_the_connection() {
    let trace = Trace::default();
    let node = node(trace.clone(), |k, request| {
        let reset = k == 1 && *request.method() == Method::Play;
        Some(if reset { vec![] } else { vec![Packet::Response(answer(request, StatusCode::Ok))] })
    })
    .await;
    let director = director(&[node]).await;
    let mut player = Player::open(director.address, "").await;
    for method in [Method::Setup, Method::Play, Method::Play] {
        let name = <&str>::from(&method).to_string();
        trace.line(format!("player: {name} {}", player.status(method).await));
    }
    player.session = None;
    for method in [Method::Setup, Method::Play] {
        let name = <&str>::from(&method).to_string();
        trace.line(format!("player: {name} {}", player.status(method).await));
    }
    expect![[r#"
        connection 1: SETUP /t/r1/track1
        player: SETUP 200
        connection 1: PLAY /t/r1
        connection 1: reset by the node
        player: PLAY 502
        player: PLAY 454
        connection 2: SETUP /t/r1/track1
        player: SETUP 200
        connection 2: PLAY /t/r1
        player: PLAY 200
    "#]]
    .assert_eq(&trace.text());
}

#[tokio::test]
async fn a_fragile_session_that_may_have_run_is_torn_down_in_time() {
    let trace = Trace::default();
    let a = node(trace.clone(), |_, _| Some(vec![])).await;
    let director = director(&[a, a_refusing_node().await]).await;
    let mut answers = vec![];
    for n in 0..6 {
        let mut player = Player::open(director.address, &format!("?group=event&viewer={n}.0")).await;
        answers.push(player.status(Method::Setup).await);
    }
    // 502 where the reset SETUP may have run, 503 where both said no or only the refusing one was met.
    assert!(answers.contains(&502), "{answers:?}");
    assert!(answers.iter().all(|status| [502, 503].contains(status)), "{answers:?}");
}

async fn a_refusing_node() -> SocketAddr {
    node(Trace::default(), |_, request| {
        Some(vec![Packet::Response(answer(request, StatusCode::NotEnoughBandwidth))])
    })
    .await
}

#[tokio::test]
async fn what_can_t_be_read_gets_its_answer_and_closes_only_its_connection() {
    let node =
        node(Trace::default(), |_, request| Some(vec![Packet::Response(answer(request, StatusCode::Ok))]))
            .await;
    let director = director(&[node]).await;
    let mut player = Player::open(director.address, "").await;
    assert_eq!(player.status(Method::Setup).await, 200);
    let mut told = vec![];
    for bytes in [&b"OPTIONS * RTSP/3.0\r\n\r\n"[..], b"nonsense\r\n\r\n", &[b'x'; 4000]] {
        let mut stream = TcpStream::connect(director.address).await.unwrap();
        tokio::io::AsyncWriteExt::write_all(&mut stream, bytes).await.unwrap();
        let mut text = String::new();
        tokio::io::AsyncReadExt::read_to_string(&mut stream, &mut text).await.unwrap();
        told.push(text.lines().next().unwrap_or("closed").to_string());
    }
    expect![[r#"
        RTSP/1.0 505 RTSP Version Not Supported
        RTSP/1.0 400 Bad Request
        RTSP/1.0 414 Request URI Too Long"#]]
    .assert_eq(&told.join("\n"));
    assert_eq!(player.status(Method::Play).await, 200);
}
