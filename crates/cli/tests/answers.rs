//! A received request gets exactly one complete answer: in whatever pieces it arrives, whatever others send
//! meanwhile, and also if its sender shuts down its sending half right behind it.

use std::io::Write;
use std::net::Shutdown;
use std::sync::Arc;

#[allow(dead_code)]
mod support;
use support::{Bus, Node, Program, ScriptedNode, TIMEOUT, Viewer, endpoint, endpoint_at, setup_line};

fn tag_text(tag: u64) -> String {
    format!("{tag:016x}")
}

/// Starts a program in which a SETUP may take the whole setup timeout.
fn start_with_long_setups(nodes: &str) -> Program {
    start_with(nodes, |text| text.replace("retryable", "fragile"))
}

fn start(nodes: &str) -> Program {
    start_with(nodes, |text| text)
}

/// Starts a program that knows these nodes and has passed a health check.
fn start_with(nodes: &str, change: impl Fn(String) -> String) -> Program {
    let bus = Arc::new(Bus::default());
    let (address, polls) = bus.serve();
    // Slow start does not limit the SETUPs here.
    let program = Program::start_with(address, |text| {
        change(text.replace(r#""kindStreams": [200]"#, r#""kindStreams": [90000]"#))
    });
    bus.publish(nodes, true);
    while polls.recv_timeout(TIMEOUT).unwrap() < 1 {}
    assert!(Viewer::connect(program.listen).health_check().contains(r#""rc":1"#));
    program
}

fn shut_down_sending(viewer: &mut Viewer) {
    viewer.reader.get_ref().shutdown(Shutdown::Write).unwrap();
}

/// Returns all lines received until the connection ends.
fn remaining_lines(viewer: &mut Viewer) -> Vec<String> {
    std::iter::from_fn(|| Some(viewer.receive()).filter(|line| !line.is_empty())).collect()
}

#[test]
fn a_request_in_pieces_with_other_requests_in_between_is_answered_once() {
    let node = Node::start();
    let program = start(&endpoint("n1", &node, 0));
    let (mut fragmented, mut other_viewer) =
        (Viewer::connect(program.listen), Viewer::connect(program.listen));
    fragmented.reader.get_ref().set_nodelay(true).unwrap();
    for (n, size) in [1, 2, 3, 7, 64, 150].into_iter().enumerate() {
        let (first_tag, other_tags) = (1 + n as u64, 1000 * (1 + n as u64));
        // The last piece of the first request may also hold the start of the second.
        let line =
            format!("{}\n{}\n", setup_line(first_tag, "7f", 0, 1), setup_line(100 + first_tag, "7f", 0, 1));
        let pieces: Vec<&[u8]> = line.as_bytes().chunks(size).collect();
        for (k, piece) in pieces.iter().enumerate() {
            fragmented.reader.get_mut().write_all(piece).unwrap();
            if k % (pieces.len() / 4).max(1) == 0 {
                let other_tag = other_tags + k as u64;
                other_viewer.request_session(other_tag, "7f");
                assert!(other_viewer.receive().contains(&tag_text(other_tag)));
            }
        }
        for tag in [first_tag, 100 + first_tag] {
            let answer = fragmented.receive();
            assert!(
                answer.contains("STARTED") && answer.contains(&tag_text(tag)),
                "in pieces of {size} bytes: {answer}"
            );
        }
        fragmented.release(first_tag);
        fragmented.release(100 + first_tag);
    }
    shut_down_sending(&mut fragmented);
    assert_eq!(remaining_lines(&mut fragmented), Vec::<String>::new(), "more than one answer");
    let setups: Vec<String> = node.received.try_iter().filter(|line| line.contains("START")).collect();
    for n in 1..=6 {
        assert_eq!(setups.iter().filter(|line| line.contains(&tag_text(n))).count(), 1, "{n}");
    }
}

/// If the shutdown arrives together with the request, the request is refused, as no SETUP was sent. If it
/// arrives while a SETUP is in progress, the request fails. Either way the sender gets its answer and no
/// session is left at a node.
#[test]
fn a_request_followed_by_a_shutdown_of_the_sending_half_is_answered_once() {
    let node = ScriptedNode::start();
    let program = start(&endpoint_at("n1", node.address, 0));
    let mut viewer = Viewer::connect(program.listen);
    program.suspend();
    viewer.request_session(1, "7f");
    shut_down_sending(&mut viewer);
    viewer.addresses().wait_for_close();
    program.resume();
    let answers = remaining_lines(&mut viewer);
    assert!(
        answers.len() == 1 && answers[0].contains(&tag_text(1)) && answers[0].contains(r#""rc":42"#),
        "{answers:?}"
    );

    let mut viewer = Viewer::connect(program.listen);
    viewer.request_session(2, "7f");
    let mut peer = node.accept();
    let line = peer.receive();
    assert!(line.contains("START") && line.contains(&tag_text(2)), "{line}");
    shut_down_sending(&mut viewer);
    let answers = remaining_lines(&mut viewer);
    assert!(
        answers.len() == 1 && answers[0].contains(&tag_text(2)) && answers[0].contains(r#""rc":41"#),
        "{answers:?}"
    );
    let line = peer.receive();
    assert!(line.contains("FINISH") && line.contains(&tag_text(2)), "{line}");
}

/// A connection may carry the requests of many viewers: a malformed line from one of them must not cost the
/// others their answers.
#[test]
fn a_malformed_line_leaves_no_open_request_without_an_answer() {
    for malformed in ["{\"verb\":", "\"\u{1}\"", &"x".repeat(40_000)] {
        let node = ScriptedNode::start();
        let program = start(&endpoint_at("n1", node.address, 0));
        let mut viewer = Viewer::connect(program.listen);
        viewer.request_session(1, "7f");
        viewer.request_session(2, "7f");
        let mut peer = node.accept();
        assert!(peer.receive().contains("START") && peer.receive().contains("START"));
        // The program may close the connection before all of a long line is written.
        let _ = viewer.reader.get_mut().write_all(format!("{malformed}\n").as_bytes());
        let mut answers = remaining_lines(&mut viewer);
        answers.sort();
        assert_eq!(answers.len(), 2, "{answers:?}");
        for (answer, n) in answers.iter().zip(1..) {
            assert!(answer.contains("FINISH") && answer.contains(&tag_text(n)), "{answer}");
        }
        assert!(peer.receive().contains("FINISH") && peer.receive().contains("FINISH"));
    }
}

/// A front carries all of its viewers on one connection, and the node where they play fails: each answer and
/// each release must arrive, however many there are.
#[test]
fn each_of_1400_sessions_on_one_connection_gets_its_answer_and_its_release() {
    const SESSION_COUNT: u64 = 1_400;
    let node = ScriptedNode::start();
    let program = start_with_long_setups(
        &endpoint_at("n1", node.address, 0).replace(r#""weight":9"#, r#""weight":90000"#),
    );
    let mut front = Viewer::connect(program.listen);
    program.suspend();
    let lines: Vec<String> = (1..=SESSION_COUNT).map(|n| setup_line(n, "7f", 0, 1)).collect();
    let mut writer = front.reader.get_ref().try_clone().unwrap();
    let writer_thread =
        std::thread::spawn(move || writer.write_all((lines.join("\n") + "\n").as_bytes()).unwrap());
    program.resume();
    let mut peer = node.accept();
    let mut started = 0;
    // All SETUPs are received before the first is answered.
    let tags: Vec<String> = (0..SESSION_COUNT)
        .map(|_| {
            let line = peer.receive();
            let tag_start = line.find(r#""tag":""#).unwrap() + 7;
            line[tag_start..tag_start + 16].to_string()
        })
        .collect();
    writer_thread.join().unwrap();
    program.suspend();
    for tag in &tags {
        peer.send_line(&format!(r#"{{"verb":"STARTED","tag":"{tag}","opts":{{}},"blob":"m=1"}}"#));
    }
    program.resume();
    for _ in 0..SESSION_COUNT {
        started += u64::from(front.receive().contains("STARTED"));
    }
    assert_eq!(started, SESSION_COUNT);
    // The process of the node ends.
    drop(node);
    peer.reset();
    let mut releases: Vec<String> = (0..SESSION_COUNT).map(|_| front.receive()).collect();
    releases.sort();
    releases.dedup();
    assert_eq!(releases.iter().filter(|line| line.contains("FINISH")).count() as u64, SESSION_COUNT);
}
