//! Drives the client and server state machines against an in-memory node with a seeded scheduler. Responses
//! are delayed, lost, duplicated, rejected or carry a wrong session or CSeq, and connections break. Guards
//! against a state that a viewer can't leave.

use ashglade_rtsp::client::{Client, Purpose, ResponseOutcome, State};
use ashglade_rtsp::messages::{self, InterleavedChannels};
use ashglade_rtsp::server::{RequestAction, Server, State as ServerState};
use ashglade_rtsp::{Request, Response};
use expect_test::expect;
use rtsp_types::{Method, StatusCode, Url, headers};

/// Time after which a response that a viewer waits for is overdue.
const RESPONSE_TIMEOUT_US: u64 = 1_000_000;

/// A node whose responses are correct, lost or faulty at random.
struct Node {
    random: oorandom::Rand32,
    has_session: bool,
}

impl Node {
    fn respond(&mut self, request: &Request) -> Vec<Response> {
        let response = |status| {
            let mut response = messages::response(status, messages::cseq(request).as_deref());
            if *request.method() == Method::Setup && status == StatusCode::Ok {
                response.insert_header(headers::SESSION, "5;timeout=20");
                response.insert_header(
                    headers::TRANSPORT,
                    InterleavedChannels { rtp: 8, rtcp: 9 }.transport_header(None),
                );
            }
            response
        };
        let statuses = [
            StatusCode::NotEnoughBandwidth,
            StatusCode::InternalServerError,
            StatusCode::SessionNotFound,
            StatusCode::MethodNotValidInThisState,
        ];
        match self.random.rand_range(0..20) {
            0..=1 => vec![],
            2 => vec![response(statuses[self.random.rand_range(0..4) as usize])],
            3 => vec![response(StatusCode::Ok), response(StatusCode::Ok)],
            4 => {
                let mut faulty = response(StatusCode::Ok);
                faulty.insert_header(headers::SESSION, "other");
                vec![faulty]
            }
            5 => {
                let mut faulty = response(StatusCode::Ok);
                faulty.insert_header(headers::CSEQ, "99999");
                vec![faulty]
            }
            _ => {
                self.has_session = *request.method() != Method::Teardown;
                vec![response(StatusCode::Ok)]
            }
        }
    }
}

/// Runs one viewer through both state machines and returns how its session ended.
fn run(seed: u64) -> &'static str {
    let random = oorandom::Rand32::new(seed);
    let mut scheduler = oorandom::Rand32::new(seed ^ 0xABCD);
    let mut node = Node { random, has_session: false };
    let mut client = Client::new(Url::parse("rtsp://n/t/r1").unwrap());
    let mut server = Server::new(60, &[90_000]);
    let (mut now_us, mut in_flight): (u64, Vec<(u64, Response)>) = (0, vec![]);
    let url = Url::parse("rtsp://d/t/track1").unwrap();
    let (mut cseq, mut session) = (0u32, None::<String>);
    for _ in 0..200 {
        now_us += u64::from(scheduler.rand_range(1_000..200_000));
        let mut sent: Vec<Request> = vec![];
        // The viewer sends a random request unless one is pending.
        if !server.awaits_response() {
            let methods = [
                Method::Setup,
                Method::Play,
                Method::Play,
                Method::Pause,
                Method::GetParameter,
                Method::Teardown,
            ];
            let mut request =
                messages::request(methods[scheduler.rand_range(0..6) as usize].clone(), &url, cseq);
            cseq += 1;
            request.insert_header(headers::TRANSPORT, "RTP/AVP/TCP");
            if let Some(session) = &session {
                request.insert_header(headers::SESSION, session.as_str());
            }
            match server.handle_request(&request, |_| Some(1)) {
                RequestAction::RequestSession(_) if client.state() == State::Init => {
                    sent.push(client.setup(0, now_us))
                }
                RequestAction::RequestSession(_) => return "ended",
                RequestAction::Play { range } => sent.push(client.play(range, now_us)),
                RequestAction::Pause => sent.push(client.pause(now_us)),
                RequestAction::EndSession(_) => sent.push(client.teardown(now_us)),
                RequestAction::SetupTrack { .. } => unreachable!("one track"),
                RequestAction::Respond(_) => {}
            }
        }
        if client.state() == State::Playing && scheduler.rand_range(0..4) == 0 {
            sent.extend(client.keep_alive(now_us));
        }
        if client.state() == State::Playing && scheduler.rand_range(0..6) == 0 {
            sent.push(client.switch(0, Url::parse("rtsp://n/t/r0").unwrap(), now_us));
        }
        for request in &sent {
            for response in node.respond(request) {
                in_flight.push((now_us + u64::from(scheduler.rand_range(0..900_000)), response));
            }
        }
        // Responses arrive in order, each at its arrival time or after the previous one.
        while in_flight.first().is_some_and(|(arrival_us, _)| *arrival_us <= now_us) {
            let (_, response) = in_flight.remove(0);
            match client.handle_response(&response) {
                ResponseOutcome::Completed(Purpose::Setup { .. }) => {
                    server.session_accepted("abc".into(), 1);
                    session = Some("abc".into());
                }
                ResponseOutcome::Completed(Purpose::Play) => drop(server.play_accepted(None, None)),
                ResponseOutcome::Completed(Purpose::Pause) => drop(server.pause_accepted()),
                ResponseOutcome::Completed(Purpose::Teardown) => return "torn down",
                ResponseOutcome::Rejected(Purpose::Setup { .. }, status) => {
                    server.session_rejected(status, None);
                    return "refused";
                }
                ResponseOutcome::Rejected(Purpose::Play | Purpose::Pause, status) => {
                    drop(server.request_failed(status))
                }
                ResponseOutcome::Rejected(..)
                | ResponseOutcome::Completed(_)
                | ResponseOutcome::Unmatched => {}
            }
            // Both state machines agree once no request is pending.
            if !server.awaits_response() && server.state() == ServerState::Playing {
                assert_eq!(client.state(), State::Playing, "seed {seed}");
            }
        }
        if client.has_overdue_request(now_us, RESPONSE_TIMEOUT_US) {
            if server.awaits_response() {
                server.request_failed(StatusCode::GatewayTimeout);
            }
            return "overdue";
        }
        if scheduler.rand_range(0..150) == 0 {
            return "cut";
        }
    }
    // No request may be pending forever: the last steps took far longer than the response timeout.
    assert!(!server.awaits_response(), "seed {seed}: a viewer's request is still pending");
    "at rest"
}

#[test]
fn every_state_can_be_left() {
    let mut outcomes = std::collections::BTreeMap::<&str, usize>::new();
    for seed in 0..5000 {
        *outcomes.entry(run(seed)).or_default() += 1;
    }
    expect![[r#"{"at rest": 132, "cut": 1118, "overdue": 1511, "refused": 235, "torn down": 2004}"#]]
        .assert_eq(&format!("{outcomes:?}"));
}
