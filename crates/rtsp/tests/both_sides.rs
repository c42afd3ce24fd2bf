//! The node's side driven against a node in memory by a seeded scheduler: answers late, left out, doubled, refused,
//! renamed, connections cut. Whatever happens, no state is without a way out.

use ashglade_rtsp::client::{Answer, Client, Purpose, State};
use ashglade_rtsp::messages::{self, Channels};
use ashglade_rtsp::server::{Server, State as Seen, Step};
use ashglade_rtsp::{Request, Response};
use expect_test::expect;
use rtsp_types::{Method, StatusCode, Url, headers};

/// Microseconds after which what a viewer waits for is overdue.
const WITHIN: u64 = 1_000_000;

/// A node that keeps the rules of the state machine, if it answers.
struct Node {
    random: oorandom::Rand32,
    held: bool,
}

impl Node {
    fn answers(&mut self, request: &Request) -> Vec<Response> {
        let answer = |status| {
            let mut answer = messages::response(status, messages::cseq(request).as_deref());
            if *request.method() == Method::Setup && status == StatusCode::Ok {
                answer.insert_header(headers::SESSION, "5;timeout=20");
                answer.insert_header(headers::TRANSPORT, Channels { rtp: 8, rtcp: 9 }.granted(None));
            }
            answer
        };
        let statuses = [
            StatusCode::NotEnoughBandwidth,
            StatusCode::InternalServerError,
            StatusCode::SessionNotFound,
            StatusCode::MethodNotValidInThisState,
        ];
        match self.random.rand_range(0..20) {
            0..=1 => vec![],
            2 => vec![answer(statuses[self.random.rand_range(0..4) as usize])],
            3 => vec![answer(StatusCode::Ok), answer(StatusCode::Ok)],
            4 => {
                let mut odd = answer(StatusCode::Ok);
                odd.insert_header(headers::SESSION, "other");
                vec![odd]
            }
            5 => {
                let mut odd = answer(StatusCode::Ok);
                odd.insert_header(headers::CSEQ, "99999");
                vec![odd]
            }
            _ => {
                self.held = *request.method() != Method::Teardown;
                vec![answer(StatusCode::Ok)]
            }
        }
    }
}

/// One viewer's way through both machines; how it ended.
fn run(seed: u64) -> &'static str {
    let random = oorandom::Rand32::new(seed);
    let mut chance = oorandom::Rand32::new(seed ^ 0xABCD);
    let mut node = Node { random, held: false };
    let mut client = Client::new(Url::parse("rtsp://n/t/r1").unwrap());
    let mut server = Server::new(60, &[90_000]);
    let (mut now, mut wire): (u64, Vec<(u64, Response)>) = (0, vec![]);
    let url = Url::parse("rtsp://d/t/track1").unwrap();
    let (mut cseq, mut session) = (0u32, None::<String>);
    for _ in 0..200 {
        now += u64::from(chance.rand_range(1_000..200_000));
        let mut sent: Vec<Request> = vec![];
        // The viewer asks for something, if nothing of its is out.
        if !server.waits() {
            let methods = [
                Method::Setup,
                Method::Play,
                Method::Play,
                Method::Pause,
                Method::GetParameter,
                Method::Teardown,
            ];
            let mut request =
                messages::request(methods[chance.rand_range(0..6) as usize].clone(), &url, cseq);
            cseq += 1;
            request.insert_header(headers::TRANSPORT, "RTP/AVP/TCP");
            if let Some(session) = &session {
                request.insert_header(headers::SESSION, session.as_str());
            }
            match server.request(&request, |_| Some(1)) {
                Step::Ask(_) if client.state() == State::Init => sent.push(client.setup(0, now)),
                Step::Ask(_) => return "over",
                Step::Play { range } => sent.push(client.play(range, now)),
                Step::Pause => sent.push(client.pause(now)),
                Step::Leave(_) => sent.push(client.teardown(now)),
                Step::Track { .. } => unreachable!("one track"),
                Step::Reply(_) => {}
            }
        }
        if client.state() == State::Playing && chance.rand_range(0..4) == 0 {
            sent.extend(client.keep_alive(now));
        }
        if client.state() == State::Playing && chance.rand_range(0..6) == 0 {
            sent.push(client.switch(0, Url::parse("rtsp://n/t/r0").unwrap(), now));
        }
        for request in &sent {
            for answer in node.answers(request) {
                wire.push((now + u64::from(chance.rand_range(0..900_000)), answer));
            }
        }
        // Answers arrive in order, each at its time or behind the one before.
        while wire.first().is_some_and(|(at, _)| *at <= now) {
            let (_, answer) = wire.remove(0);
            match client.answered(&answer) {
                Answer::Done(Purpose::Setup { .. }) => {
                    server.granted("abc".into(), 1);
                    session = Some("abc".into());
                }
                Answer::Done(Purpose::Play) => drop(server.plays(None, None)),
                Answer::Done(Purpose::Pause) => drop(server.paused()),
                Answer::Done(Purpose::Teardown) => return "torn down",
                Answer::Refused(Purpose::Setup { .. }, status) => {
                    server.turned_away(status, None);
                    return "refused";
                }
                Answer::Refused(Purpose::Play | Purpose::Pause, status) => drop(server.failed(status)),
                Answer::Refused(..) | Answer::Done(_) | Answer::Stray => {}
            }
            // The two sides agree on what the viewer may do next, once nothing is under way.
            if !server.waits() && server.state() == Seen::Playing {
                assert_eq!(client.state(), State::Playing, "seed {seed}");
            }
        }
        if client.overdue(now, WITHIN) {
            if server.waits() {
                server.failed(StatusCode::GatewayTimeout);
            }
            return "overdue";
        }
        if chance.rand_range(0..150) == 0 {
            return "cut";
        }
    }
    // Nothing may wait for ever: the last steps took far longer than what is overdue.
    assert!(!server.waits(), "seed {seed}: a viewer waits");
    "at rest"
}

#[test]
fn no_state_is_without_a_way_out() {
    let mut ends = std::collections::BTreeMap::<&str, usize>::new();
    for seed in 0..5000 {
        *ends.entry(run(seed)).or_default() += 1;
    }
    expect![[r#"{"at rest": 132, "cut": 1118, "overdue": 1511, "refused": 235, "torn down": 2004}"#]]
        .assert_eq(&format!("{ends:?}"));
}
