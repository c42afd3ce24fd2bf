//! Tests the server state machine with each method in each state, authentication, and the rewriting and
//! measuring of RTP and RTCP across changes of rendition.

use ashglade_rtsp::messages::{self, InterleavedChannels};
use ashglade_rtsp::rewrite::{DeliveryMeter, RtpRewriter};
use ashglade_rtsp::server::{RequestAction, Server, State};
use ashglade_rtsp::{Request, Response};
use expect_test::expect;
use rtsp_types::headers;
use rtsp_types::{Method, StatusCode, Url};

fn request(method: Method, session: Option<&str>, transport: Option<&str>) -> Request {
    let url = Url::parse("rtsp://h/renewal/track1?group=a&top=2&viewer=1.0").unwrap();
    let mut request = messages::request(method, &url, 7);
    if let Some(session) = session {
        request.insert_header(headers::SESSION, session);
    }
    if let Some(transport) = transport {
        request.insert_header(headers::TRANSPORT, transport);
    }
    request
}

fn describe_response(response: &Response) -> String {
    let extra: Vec<String> = [headers::TRANSPORT, headers::RETRY_AFTER, headers::UNSUPPORTED]
        .iter()
        .filter_map(|name| messages::header(response, name).map(|value| format!(" {name}: {value}")))
        .collect();
    format!("{}{}", u16::from(response.status()), extra.concat())
}

fn describe_action(action: &RequestAction) -> String {
    match action {
        RequestAction::Respond(response) => describe_response(response),
        RequestAction::RequestSession(request) => format!(
            "requests {} group {:?} top {:?} forwards {}",
            request.title, request.group, request.top_rung, request.forwarded_query
        ),
        RequestAction::SetupTrack { track } => format!("sets up track {track}"),
        RequestAction::Play { range } => format!("plays {range:?}"),
        RequestAction::Pause => "pauses".into(),
        RequestAction::EndSession(response) => format!("ends the session, {}", describe_response(response)),
    }
}

const TCP: &str = "RTP/AVP/TCP;unicast;interleaved=4-5";

/// Returns a server whose session is in the given state.
fn server_in_state(state: State) -> Server {
    let mut server = Server::new(60, &[90_000, 48_000]);
    if state != State::Init {
        server.handle_request(&request(Method::Setup, None, Some(TCP)), |_| Some(1));
        server.session_accepted("abc".into(), 0x1234);
    }
    if state == State::Playing {
        server.handle_request(&request(Method::Play, Some("abc"), None), |_| Some(1));
        server.play_accepted(None, None);
    }
    server
}

#[test]
fn every_method_in_every_state() {
    let methods = [
        Method::Options,
        Method::Describe,
        Method::Announce,
        Method::Setup,
        Method::Play,
        Method::Pause,
        Method::GetParameter,
        Method::SetParameter,
        Method::Record,
        Method::Redirect,
        Method::Teardown,
    ];
    let mut table = String::new();
    for method in methods {
        let actions = [State::Init, State::Ready, State::Playing].map(|state| {
            let session = (state != State::Init).then_some("abc");
            describe_action(
                &server_in_state(state)
                    .handle_request(&request(method.clone(), session, Some(TCP)), |_| Some(1)),
            )
        });
        table += &format!("{}: {}\n", <&str>::from(&method), actions.join(" | "));
    }
    expect![[r#"
        OPTIONS: 200 | 200 | 200
        DESCRIBE: 200 | 200 | 200
        ANNOUNCE: 405 | 405 | 405
        SETUP: requests renewal group Some("a") top Some(2) forwards viewer=1.0 | 455 | 455
        PLAY: 455 | plays None | plays None
        PAUSE: 455 | 200 | pauses
        GET_PARAMETER: 200 | 200 | 200
        SET_PARAMETER: 200 | 200 | 200
        RECORD: 405 | 405 | 405
        REDIRECT: 405 | 405 | 405
        TEARDOWN: 454 | ends the session, 200 | ends the session, 200
    "#]]
    .assert_eq(&table);
}

#[test]
fn each_invalid_request_has_its_status() {
    let mut trace = String::new();
    let mut record =
        |case: &str, action: RequestAction| trace += &format!("{case}: {}\n", describe_action(&action));
    let setup = |transport: &str| request(Method::Setup, None, Some(transport));
    record(
        "udp",
        server_in_state(State::Init)
            .handle_request(&setup("RTP/AVP;unicast;client_port=5000-5001"), |_| Some(1)),
    );
    record(
        "udp, then tcp",
        server_in_state(State::Init).handle_request(&setup(&format!("RTP/AVP;unicast,{TCP}")), |_| Some(1)),
    );
    record(
        "no transport",
        server_in_state(State::Init).handle_request(&request(Method::Setup, None, None), |_| Some(1)),
    );
    record("unknown title", server_in_state(State::Init).handle_request(&setup(TCP), |_| None));
    record(
        "wrong session",
        server_in_state(State::Ready).handle_request(&request(Method::Play, Some("x"), None), |_| Some(1)),
    );
    record(
        "no session",
        server_in_state(State::Ready).handle_request(&request(Method::Play, None, None), |_| Some(1)),
    );
    let mut required = setup(TCP);
    required.insert_header(headers::REQUIRE, "com.example.x");
    record("required", server_in_state(State::Init).handle_request(&required, |_| Some(1)));
    let mut bare = setup(TCP);
    bare.remove_header(&headers::CSEQ);
    record("no CSeq", server_in_state(State::Init).handle_request(&bare, |_| Some(1)));
    let mut server = server_in_state(State::Init);
    server.handle_request(&setup(TCP), |_| Some(1));
    record(
        "busy",
        RequestAction::Respond(server.session_rejected(StatusCode::ServiceUnavailable, Some(1.2))),
    );
    expect![[r#"
        udp: 461
        udp, then tcp: requests renewal group Some("a") top Some(2) forwards viewer=1.0
        no transport: 461
        unknown title: 404
        wrong session: 454
        no session: 454
        required: 551 Unsupported: com.example.x
        no CSeq: 400
        busy: 503 Retry-After: 2
    "#]]
    .assert_eq(&trace);
}

#[test]
fn the_first_interleaved_transport_is_selected() {
    let default = InterleavedChannels { rtp: 0, rtcp: 1 };
    let results: Vec<String> = [
        "RTP/AVP/TCP",
        "RTP/AVP/TCP;interleaved=6",
        "RTP/AVP/TCP;interleaved=6-9",
        "RTP/AVP/TCP;interleaved=255",
        "RTP/AVP/TCP;interleaved=300-301",
        "RTP/AVP/TCP;interleaved=3-3",
        "RTP/AVP/TCP;multicast",
        "RTP/AVP/UDP;unicast",
    ]
    .iter()
    .map(|t| format!("{t} -> {:?}", messages::parse_transport(t, default).map(|c| (c.rtp, c.rtcp))))
    .collect();
    expect![[r#"
        RTP/AVP/TCP -> Some((0, 1))
        RTP/AVP/TCP;interleaved=6 -> Some((6, 7))
        RTP/AVP/TCP;interleaved=6-9 -> Some((6, 9))
        RTP/AVP/TCP;interleaved=255 -> None
        RTP/AVP/TCP;interleaved=300-301 -> None
        RTP/AVP/TCP;interleaved=3-3 -> None
        RTP/AVP/TCP;multicast -> None
        RTP/AVP/UDP;unicast -> None"#]]
    .assert_eq(&results.join("\n"));
}

/// Builds an RTP packet without payload.
fn rtp_packet(seq: u16, timestamp: u32, ssrc: u32) -> Vec<u8> {
    let mut packet = vec![0x80, 96];
    packet.extend(seq.to_be_bytes());
    packet.extend(timestamp.to_be_bytes());
    packet.extend(ssrc.to_be_bytes());
    packet
}

#[test]
fn the_stream_is_continuous_across_renditions_wraparound_and_reordering() {
    let mut rewriter = RtpRewriter::new(0xA, 90_000);
    let mut trace = String::new();
    // Time in ms, then sequence number, timestamp and SSRC from the node. A new SSRC is another rendition.
    for (ms, seq, timestamp, ssrc) in [
        (0, 65_534, 1000, 1),
        (20, 65_535, 2800, 1),
        (40, 1, 6400, 1),
        (45, 0, 4600, 1),
        (100, 500, 77, 2),
        (120, 501, 1877, 2),
        (200, 9, u32::MAX - 10, 3),
        (220, 10, 1789, 3),
    ] {
        let mut packet = rtp_packet(seq, timestamp, ssrc);
        assert!(rewriter.rewrite_rtp(&mut packet, ms * 1000));
        let word = |at: usize| u32::from_be_bytes(packet[at..at + 4].try_into().unwrap());
        trace += &format!("{ms}: seq {} ts {} ssrc {:x}\n", word(0) & 0xffff, word(4), word(8));
    }
    expect![[r#"
        0: seq 65534 ts 1000 ssrc a
        20: seq 65535 ts 2800 ssrc a
        40: seq 1 ts 6400 ssrc a
        45: seq 0 ts 4600 ssrc a
        100: seq 2 ts 11800 ssrc a
        120: seq 3 ts 13600 ssrc a
        200: seq 4 ts 20800 ssrc a
        220: seq 5 ts 22600 ssrc a
    "#]]
    .assert_eq(&trace);
    assert!(!rewriter.rewrite_rtp(&mut [0x80; 5], 0), "too short to be RTP");
    assert!(
        !rewriter.rewrite_rtp(&mut rtp_packet(1, 1, 1).iter().map(|b| b & 0x3f).collect::<Vec<_>>(), 0),
        "another version"
    );
}

#[test]
fn the_meter_measures_the_delivered_fraction_from_headers() {
    // 50 packets per second for two seconds; each carries 20 ms.
    let delivered_fraction = |arrives: fn(u32) -> bool, speed: f64| {
        let mut meter = DeliveryMeter::new(90_000, 0);
        meter.record(&rtp_packet(0, 0, 1));
        for n in 1..=(100.0 * speed) as u32 {
            if arrives(n) {
                meter.record(&rtp_packet(n as u16, n * 1800, 1));
            }
        }
        format!("{:.2}", meter.finish_window(2_000_000).unwrap().delivered_fraction)
    };
    let fractions = [
        delivered_fraction(|_| true, 1.0),
        delivered_fraction(|n| n % 2 == 0, 1.0),
        delivered_fraction(|_| true, 0.45),
        delivered_fraction(|_| false, 1.0),
    ];
    expect!["1.00 0.50 0.50 0.00"].assert_eq(&fractions.join(" "));
    let mut meter = DeliveryMeter::new(90_000, 0);
    assert_eq!(meter.finish_window(1_000_000), None, "the packet interval is not known yet");
    assert_eq!(
        meter.finish_window(2_000_000).unwrap().delivered_fraction,
        0.0,
        "a node that sends nothing delivers nothing"
    );
    // One packet every 900 ms: a window of one second is too short, one of six seconds is sufficient.
    let mut meter = DeliveryMeter::new(90_000, 0);
    (0..8).for_each(|n| meter.record(&rtp_packet(n, u32::from(n) * 81_000, 1)));
    assert_eq!(meter.finish_window(1_000_000), None);
    assert!(meter.finish_window(6_300_000).unwrap().delivered_fraction > 0.98);
}

#[test]
fn further_tracks_are_added_to_the_session() {
    let build = |path: &str, session: Option<&str>, method: Method, transport: &str| {
        let url = Url::parse(&format!("rtsp://h/{path}")).unwrap();
        let mut request = messages::request(method, &url, 7);
        request.insert_header(headers::TRANSPORT, transport);
        if let Some(session) = session {
            request.insert_header(headers::SESSION, session);
        }
        request
    };
    let two_tracks = |_: &str| Some(2);
    let mut trace = String::new();
    let mut server = Server::new(60, &[90_000, 48_000]);
    let mut record =
        |case: &str, action: RequestAction| trace += &format!("{case}: {}\n", describe_action(&action));
    let tcp = "RTP/AVP/TCP;unicast;interleaved=0-1";
    record(
        "SETUP of the whole presentation",
        server.handle_request(&build("t", None, Method::Setup, tcp), two_tracks),
    );
    record(
        "unknown third track",
        server.handle_request(&build("t/track3", None, Method::Setup, tcp), two_tracks),
    );
    record("audio first", server.handle_request(&build("t/track2", None, Method::Setup, tcp), two_tracks));
    record("accepted", RequestAction::Respond(server.session_accepted("abc".into(), 0x22)));
    record(
        "video without the session",
        server.handle_request(&build("t/track1", None, Method::Setup, "RTP/AVP/TCP"), two_tracks),
    );
    record(
        "audio again",
        server.handle_request(&build("t/track2", Some("abc"), Method::Setup, "RTP/AVP/TCP"), two_tracks),
    );
    record(
        "video on the channels of audio",
        server.handle_request(&build("t/track1", Some("abc"), Method::Setup, tcp), two_tracks),
    );
    let other = "RTP/AVP/TCP;unicast;interleaved=4-5";
    record("video", server.handle_request(&build("t/track1", Some("abc"), Method::Setup, other), two_tracks));
    record("accepted", RequestAction::Respond(server.track_accepted(0x11)));
    record(
        "play one of two",
        server.handle_request(&build("t/track1", Some("abc"), Method::Play, other), two_tracks),
    );
    record("play both", server.handle_request(&build("t", Some("abc"), Method::Play, other), two_tracks));
    expect![[r#"
        SETUP of the whole presentation: 459
        unknown third track: 404
        audio first: requests t group None top None forwards 
        accepted: 200 Transport: RTP/AVP/TCP;unicast;interleaved=0-1;ssrc=00000022
        video without the session: 455
        audio again: 455
        video on the channels of audio: 461
        video: sets up track 0
        accepted: 200 Transport: RTP/AVP/TCP;unicast;interleaved=4-5;ssrc=00000011
        play one of two: 460
        play both: plays None
    "#]]
    .assert_eq(&trace);
}

#[test]
fn digest_authentication_follows_rfc_2617() {
    use ashglade_rtsp::digest::{Credentials, response_digest};
    // The example of RFC 2617, 3.5, which uses the method GET.
    let qop = Some(("auth", "00000001", "0a4f113b"));
    let nonce = "dcd98b7102dd2f0e8b11d0f600bfb0c093";
    let get = Method::Extension("GET".parse().unwrap());
    let response = response_digest(
        "testrealm@host.com",
        "Mufasa",
        "Circle Of Life",
        nonce,
        &get,
        "/dir/index.html",
        qop,
    );
    assert_eq!(response, "6629fae49393a05397450978507c4ef1");

    let users = Credentials { realm: "lessons".into(), users: vec![("agent".into(), "pa,ss".into())] };
    let mut server = Server::new(60, &[90_000]).with_authentication(std::sync::Arc::new(users), "n1".into());
    let mut trace = String::new();
    for (case, user, password, nonce, uri) in [
        ("nothing", "", "", "", ""),
        ("right", "agent", "pa,ss", "n1", "rtsp://h/t"),
        ("wrong password", "agent", "pass", "n1", "rtsp://h/t"),
        ("other user", "agents", "pa,ss", "n1", "rtsp://h/t"),
        ("another connection's nonce", "agent", "pa,ss", "n2", "rtsp://h/t"),
    ] {
        let mut request = request(Method::Describe, None, None);
        if !user.is_empty() {
            let response = response_digest("lessons", user, password, nonce, &Method::Describe, uri, None);
            let header = format!(
                "Digest username=\"{user}\", realm=\"lessons\", nonce=\"{nonce}\", uri=\"{uri}\",response={response}"
            );
            request.insert_header(headers::AUTHORIZATION, header);
        }
        trace += &format!("{case}: {}\n", describe_action(&server.handle_request(&request, |_| Some(1))));
    }
    let options = request(Method::Options, None, None);
    trace += &format!("OPTIONS: {}\n", describe_action(&server.handle_request(&options, |_| Some(1))));
    expect![[r#"
        nothing: 401
        right: 200
        wrong password: 401
        other user: 401
        another connection's nonce: 401
        OPTIONS: 200
    "#]]
    .assert_eq(&trace);
}

#[test]
fn rtcp_matches_the_stream_that_the_viewer_receives() {
    use ashglade_rtsp::rtcp;
    let mut rewriter = RtpRewriter::new(0xA, 90_000);
    for n in 0..10u16 {
        rewriter.rewrite_rtp(&mut rtp_packet(n, u32::from(n) * 1800, 1), 0);
    }
    rewriter.rewrite_rtp(&mut rtp_packet(70, 5, 2), 1_000_000);
    // A sender report and a source description of the new source, which has sent one packet.
    let mut report =
        vec![0x80, 200, 0, 6, 0, 0, 0, 2, 1, 2, 3, 4, 5, 6, 7, 8, 0, 0, 0, 5, 0, 0, 0, 1, 0, 0, 0, 9];
    report.extend([0x81, 202, 0, 3, 0, 0, 0, 2, 1, 1, b'n', 0, 0, 0, 0, 0]);
    assert!(rewriter.rewrite_rtcp(&mut report));
    let word = |at: usize| u32::from_be_bytes(report[at..at + 4].try_into().unwrap());
    let summary = format!(
        "ssrc {:x} and {:x}, ntp kept {}, ts {}, {} packets",
        word(4),
        word(32),
        word(8) == 0x0102_0304,
        word(16),
        word(20)
    );
    expect!["ssrc a and a, ntp kept true, ts 106200, 11 packets"].assert_eq(&summary);
    assert!(!rewriter.rewrite_rtcp(&mut [0x80, 200, 0, 6, 0, 0, 0, 1].repeat(4)), "the previous source");
    assert!(!rewriter.rewrite_rtcp(&mut [0x80, 200, 0, 60, 0, 0, 0, 2]), "its length exceeds the packet");
    assert!(rtcp::contains_bye(&rtcp::build_bye(5)));
    // A receiver report with a quarter of the packets lost.
    let report = [
        0x81, 201, 0, 7, 0, 0, 0, 9, 0, 0, 0, 0xA, 64, 0, 0, 3, 0, 0, 0, 9, 0, 0, 0, 44, 0, 0, 0, 0, 0, 0, 0,
        0,
    ];
    expect!["Some(ReceptionReport { fraction_lost: 0.25, jitter_ticks: 44 }) None"].assert_eq(&format!(
        "{:?} {:?}",
        rtcp::reception_report(&report, 0xA),
        rtcp::reception_report(&report, 0xB)
    ));
}
