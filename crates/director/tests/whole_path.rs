//! The whole path of a session on loopback, against scripted media nodes: what players and nodes see on their
//! sockets when something fails between SETUP and the last frame.

mod support;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ashglade_rtsp::messages::{self, InterleavedChannels};
use ashglade_rtsp::{Codec, Packet, Request, Response};
use bytes::{BufMut, BytesMut};
use expect_test::expect;
use futures_util::{SinkExt, StreamExt};
use rtsp_types::headers;
use rtsp_types::{Method, StatusCode, Url};
use support::director;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio_util::codec::{Encoder, Framed};

type Connection = Framed<TcpStream, Codec>;

/// Events in order of their occurrence. Tests wait for an event, never for a fixed time.
#[derive(Clone, Default)]
struct Trace(Arc<(Mutex<Vec<String>>, Notify)>);

impl Trace {
    fn push(&self, text: impl Into<String>) {
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
            panic!("{text:?} did not occur:\n{}", self.text());
        }
    }

    fn text(&self) -> String {
        self.0.0.lock().unwrap().join("\n") + "\n"
    }
}

/// An RTSP client.
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
        packet.expect("a packet or the end of the connection").and_then(Result::ok)
    }

    async fn request(&mut self, method: Method) -> Response {
        self.send(method).await;
        loop {
            if let Packet::Response(response) = self.next().await.expect("a response") {
                if let Some(session) = messages::header(&response, &headers::SESSION) {
                    self.session = Some(messages::session_id(session).to_string());
                }
                return response;
            }
        }
    }

    async fn status(&mut self, method: Method) -> u16 {
        self.request(method).await.status().into()
    }
}

fn response_to(request: &Request, status: StatusCode) -> Response {
    let mut response = messages::response(status, messages::cseq(request).as_deref());
    if *request.method() == Method::Setup && status == StatusCode::Ok {
        response.insert_header(headers::SESSION, "node-session");
        let channels = InterleavedChannels { rtp: 0, rtcp: 1 };
        response.insert_header(headers::TRANSPORT, channels.transport_header(None));
    }
    response
}

fn rtp_packet(seq: u16, timestamp: u32, ssrc: u32) -> BytesMut {
    let mut packet = BytesMut::new();
    packet.put_slice(&[0x80, 96]);
    packet.put_u16(seq);
    packet.put_u32(timestamp);
    packet.put_u32(ssrc);
    packet.put_slice(b"media");
    packet
}

/// Starts a node. `script` gets the number of the connection and each request on it. It returns the packets
/// to write, none at all to reset the connection, or `None` to write nothing.
async fn start_node<F>(trace: Trace, script: F) -> SocketAddr
where
    F: Fn(usize, &Request) -> Option<Vec<Packet>> + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let script = Arc::new(script);
    tokio::spawn(async move {
        for connection_number in 1.. {
            let Ok((stream, _)) = listener.accept().await else { return };
            let (trace, script) = (trace.clone(), script.clone());
            tokio::spawn(async move {
                let mut connection = Framed::new(stream, Codec::default());
                while let Some(Ok(packet)) = connection.next().await {
                    let Packet::Request(request) = packet else { continue };
                    let url = request.request_uri().map_or("", |url| url.path()).to_string();
                    trace.push(format!(
                        "connection {connection_number}: {} {url}",
                        <&str>::from(request.method())
                    ));
                    let Some(packets) = script(connection_number, &request) else { continue };
                    if packets.is_empty() {
                        connection.get_ref().set_zero_linger().unwrap();
                        trace.push(format!("connection {connection_number}: reset by the node"));
                        return;
                    }
                    // All packets in one write.
                    let mut bytes = BytesMut::new();
                    for packet in packets {
                        Codec::default().encode(packet, &mut bytes).unwrap();
                    }
                    tokio::io::AsyncWriteExt::write_all(connection.get_mut(), &bytes).await.unwrap();
                }
                trace.push(format!("connection {connection_number}: closed by the director"));
            });
        }
    });
    address
}

#[tokio::test]
async fn a_node_without_the_title_gets_one_setup_and_another_node_plays_it() {
    let trace = Trace::default();
    let node_without_title = start_node(trace.clone(), |_, request| {
        Some(vec![Packet::Response(response_to(request, StatusCode::NotFound))])
    })
    .await;
    let node_with_title = start_node(Trace::default(), |_, request| {
        Some(vec![Packet::Response(response_to(request, StatusCode::Ok))])
    })
    .await;
    let director = director(&[node_without_title, node_with_title]).await;
    // Sessions of this group must not be set up twice. A 404 proves that the session was not set up at the
    // node.
    for viewer in 0..12 {
        let mut player = Player::open(director.address, &format!("?viewer={viewer}.0&group=event")).await;
        assert_eq!(player.status(Method::Setup).await, 200);
    }
    assert_eq!(trace.text().matches("SETUP").count(), 1, "{}", trace.text());
}

#[tokio::test]
async fn a_session_from_describe_to_teardown() {
    let trace = Trace::default();
    let node = start_node(trace.clone(), |_, request| {
        let mut packets = vec![];
        if *request.method() == Method::Play {
            // In one write: a frame before the response, and after it two frames of the session and one of no
            // channel of the session.
            packets.push(Packet::Frame { channel: 0, payload: rtp_packet(65_535, 100, 9) });
            packets.push(Packet::Response(response_to(request, StatusCode::Ok)));
            packets.push(Packet::Frame { channel: 0, payload: rtp_packet(0, 200, 9) });
            packets.push(Packet::Frame { channel: 7, payload: rtp_packet(9, 9, 9) });
            packets.push(Packet::Frame { channel: 0, payload: rtp_packet(1, 300, 9) });
            return Some(packets);
        }
        Some(vec![Packet::Response(response_to(request, StatusCode::Ok))])
    })
    .await;
    let director = director(&[node]).await;
    let mut player = Player::open(director.address, "?viewer=1.0").await;
    let describe = player.request(Method::Describe).await;
    trace.push(format!("player: {}", String::from_utf8_lossy(describe.body()).lines().last().unwrap()));
    let setup = player.request(Method::Setup).await;
    let transport = messages::header(&setup, &headers::TRANSPORT).unwrap().to_string();
    let (transport, ssrc) = transport.split_once(";ssrc=").unwrap();
    trace.push(format!("player: SETUP {} {transport}", u16::from(setup.status())));
    let ssrc = u32::from_str_radix(ssrc, 16).unwrap();
    player.send(Method::Play).await;
    for _ in 0..4 {
        match player.next().await.unwrap() {
            Packet::Response(response) => {
                trace.push(format!("player: PLAY {}", u16::from(response.status())))
            }
            Packet::Frame { channel, payload } => {
                let seq = u16::from_be_bytes([payload[2], payload[3]]);
                let ssrc_matches = payload[8..12] == ssrc.to_be_bytes();
                trace.push(format!("player: frame on {channel} seq {seq}, as announced: {ssrc_matches}"));
            }
            other => panic!("{other:?}"),
        }
    }
    let status = player.status(Method::Teardown).await;
    trace.wait("connection 1: TEARDOWN /t/r1").await;
    trace.push(format!("player: TEARDOWN {status}"));
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
async fn the_connection_of_a_cancelled_setup_is_closed_before_the_next_setup() {
    let trace = Trace::default();
    let script = |trace: Trace, name: &'static str| {
        start_node(trace, move |_, request| {
            (name == "quick").then(|| vec![Packet::Response(response_to(request, StatusCode::Ok))])
        })
    };
    // The first node never responds; the second does.
    let (first_node, second_node) =
        (script(trace.clone(), "silent").await, script(Trace::default(), "quick").await);
    let director = director(&[first_node, second_node]).await;
    // Four sessions, as the choice of the first node is random. Each player gets one response.
    let mut statuses = vec![];
    for viewer in 0..4 {
        let mut player = Player::open(director.address, &format!("?viewer={viewer}.0")).await;
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
async fn a_setup_in_flight_is_cancelled_when_its_viewer_disconnects() {
    let trace = Trace::default();
    let node = start_node(trace.clone(), |_, _| None).await;
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
async fn a_node_reset_between_setup_and_play_ends_the_session_but_not_the_viewer_s_connection() {
    let trace = Trace::default();
    let node = start_node(trace.clone(), |connection_number, request| {
        let reset = connection_number == 1 && *request.method() == Method::Play;
        Some(if reset { vec![] } else { vec![Packet::Response(response_to(request, StatusCode::Ok))] })
    })
    .await;
    let director = director(&[node]).await;
    let mut player = Player::open(director.address, "").await;
    for method in [Method::Setup, Method::Play, Method::Play] {
        let name = <&str>::from(&method).to_string();
        trace.push(format!("player: {name} {}", player.status(method).await));
    }
    player.session = None;
    for method in [Method::Setup, Method::Play] {
        let name = <&str>::from(&method).to_string();
        trace.push(format!("player: {name} {}", player.status(method).await));
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
async fn a_fragile_session_that_may_have_run_gets_502() {
    let trace = Trace::default();
    let first_node = start_node(trace.clone(), |_, _| Some(vec![])).await;
    let director = director(&[first_node, start_refusing_node().await]).await;
    let mut statuses = vec![];
    for viewer in 0..6 {
        let mut player = Player::open(director.address, &format!("?group=event&viewer={viewer}.0")).await;
        statuses.push(player.status(Method::Setup).await);
    }
    // 502 if the SETUP that was reset may have run, 503 if both nodes refused or only the refusing
    // one got a SETUP.
    assert!(statuses.contains(&502), "{statuses:?}");
    assert!(statuses.iter().all(|status| [502, 503].contains(status)), "{statuses:?}");
}

async fn start_refusing_node() -> SocketAddr {
    start_node(Trace::default(), |_, request| {
        Some(vec![Packet::Response(response_to(request, StatusCode::NotEnoughBandwidth))])
    })
    .await
}

#[tokio::test]
async fn an_invalid_request_gets_an_error_and_closes_only_its_own_connection() {
    let node = start_node(Trace::default(), |_, request| {
        Some(vec![Packet::Response(response_to(request, StatusCode::Ok))])
    })
    .await;
    let director = director(&[node]).await;
    let mut player = Player::open(director.address, "").await;
    assert_eq!(player.status(Method::Setup).await, 200);
    let mut responses = vec![];
    for bytes in [&b"OPTIONS * RTSP/3.0\r\n\r\n"[..], b"nonsense\r\n\r\n", &[b'x'; 4000]] {
        let mut stream = TcpStream::connect(director.address).await.unwrap();
        tokio::io::AsyncWriteExt::write_all(&mut stream, bytes).await.unwrap();
        let mut text = String::new();
        tokio::io::AsyncReadExt::read_to_string(&mut stream, &mut text).await.unwrap();
        responses.push(text.lines().next().unwrap_or("closed").to_string());
    }
    expect![[r#"
        RTSP/1.0 505 RTSP Version Not Supported
        RTSP/1.0 400 Bad Request
        RTSP/1.0 414 Request URI Too Long"#]]
    .assert_eq(&responses.join("\n"));
    assert_eq!(player.status(Method::Play).await, 200);
}
