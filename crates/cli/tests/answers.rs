//! A request that was taken is answered once, whole: in whatever pieces it comes, whatever others send meanwhile, and also
//! where its sender closes its half of the connection right behind it.

use std::io::Write;
use std::net::Shutdown;
use std::sync::Arc;

#[allow(dead_code)]
mod stage;
use stage::{Bus, Node, PATIENCE, Program, ScriptedNode, Viewer, endpoint, start, told};

fn tag(tag: u64) -> String {
    format!("{tag:016x}")
}

/// A SETUP may take all the time that its viewer has.
fn patient(nodes: &str) -> Program {
    begun_with(nodes, |text| text.replace("retryable", "fragile"))
}

fn begun(nodes: &str) -> Program {
    begun_with(nodes, |text| text)
}

fn begun_with(nodes: &str, change: impl Fn(String) -> String) -> Program {
    let bus = Arc::new(Bus::default());
    let (address, asked) = bus.serve();
    // No pace of cold nodes is in the way here.
    let program = Program::start_with(address, |text| {
        change(text.replace(r#""kindStreams": [200]"#, r#""kindStreams": [90000]"#))
    });
    bus.tell(nodes, true);
    while asked.recv_timeout(PATIENCE).unwrap() < 1 {}
    assert!(Viewer::connect(program.listen).tested().contains(r#""rc":1"#));
    program
}

fn half_closes(viewer: &mut Viewer) {
    viewer.reader.get_ref().shutdown(Shutdown::Write).unwrap();
}

/// All that still comes, until the connection ends.
fn rest(viewer: &mut Viewer) -> Vec<String> {
    std::iter::from_fn(|| Some(viewer.hears()).filter(|line| !line.is_empty())).collect()
}

#[test]
fn a_request_in_pieces_of_any_size_with_others_between_is_answered_once() {
    let node = Node::start();
    let program = begun(&endpoint("n1", &node, 0));
    let (mut slow, mut quick) = (Viewer::connect(program.listen), Viewer::connect(program.listen));
    slow.reader.get_ref().set_nodelay(true).unwrap();
    for (n, size) in [1, 2, 3, 7, 64, 150].into_iter().enumerate() {
        let (ours, others) = (1 + n as u64, 1000 * (1 + n as u64));
        // A second request begins in the last piece of the first.
        let line = format!("{}\n{}\n", start(ours, "7f", 0, 1), start(100 + ours, "7f", 0, 1));
        let pieces: Vec<&[u8]> = line.as_bytes().chunks(size).collect();
        for (k, piece) in pieces.iter().enumerate() {
            slow.reader.get_mut().write_all(piece).unwrap();
            if k % (pieces.len() / 4).max(1) == 0 {
                let other = others + k as u64;
                quick.asks(other, "7f");
                assert!(quick.hears().contains(&tag(other)));
            }
        }
        for asked in [ours, 100 + ours] {
            let answer = slow.hears();
            assert!(answer.contains("STARTED") && answer.contains(&tag(asked)), "in {size}s: {answer}");
        }
        slow.cancels(ours);
        slow.cancels(100 + ours);
    }
    half_closes(&mut slow);
    assert_eq!(rest(&mut slow), Vec::<String>::new(), "a second answer");
    let heard: Vec<String> = node.heard.try_iter().filter(|line| line.contains("START")).collect();
    for n in 1..=6 {
        assert_eq!(heard.iter().filter(|line| line.contains(&tag(n))).count(), 1, "{n}");
    }
}

/// The close has come with the request, or while its SETUP is out: refused in the one case, as nothing ran, and failed in the
/// other. Either way it reaches no node any longer, and its sender has its answer.
#[test]
fn a_request_with_the_close_of_its_half_right_behind_is_answered_once() {
    let node = ScriptedNode::start();
    let program = begun(&told("n1", node.address, 0));
    let mut viewer = Viewer::connect(program.listen);
    program.stands_still();
    viewer.asks(1, "7f");
    half_closes(&mut viewer);
    viewer.ends().is_closed();
    program.goes_on();
    let answers = rest(&mut viewer);
    assert!(
        answers.len() == 1 && answers[0].contains(&tag(1)) && answers[0].contains(r#""rc":42"#),
        "{answers:?}"
    );

    let mut viewer = Viewer::connect(program.listen);
    viewer.asks(2, "7f");
    let mut peer = node.accepts();
    let line = peer.hears();
    assert!(line.contains("START") && line.contains(&tag(2)), "{line}");
    half_closes(&mut viewer);
    let answers = rest(&mut viewer);
    assert!(
        answers.len() == 1 && answers[0].contains(&tag(2)) && answers[0].contains(r#""rc":41"#),
        "{answers:?}"
    );
    let line = peer.hears();
    assert!(line.contains("FINISH") && line.contains(&tag(2)), "{line}");
}

/// One connection carries the set-ups of many viewers: what one of them spoils costs the others no answer.
#[test]
fn a_line_that_cant_be_read_leaves_no_open_request_without_an_answer() {
    for spoilt in ["{\"verb\":", "\"\u{1}\"", &"x".repeat(40_000)] {
        let node = ScriptedNode::start();
        let program = begun(&told("n1", node.address, 0));
        let mut viewer = Viewer::connect(program.listen);
        viewer.asks(1, "7f");
        viewer.asks(2, "7f");
        let mut peer = node.accepts();
        assert!(peer.hears().contains("START") && peer.hears().contains("START"));
        // A sender of this much may be told to stop before it is done.
        let _ = viewer.reader.get_mut().write_all(format!("{spoilt}\n").as_bytes());
        let mut answers = rest(&mut viewer);
        answers.sort();
        assert_eq!(answers.len(), 2, "{answers:?}");
        for (answer, n) in answers.iter().zip(1..) {
            assert!(answer.contains("FINISH") && answer.contains(&tag(n)), "{answer}");
        }
        assert!(peer.hears().contains("FINISH") && peer.hears().contains("FINISH"));
    }
}

/// A front that carries all of its viewers on one connection, and a node that ends with all of their sessions: each answer and
/// each release arrives, however many there are.
#[test]
fn fourteen_hundred_sessions_on_one_connection_have_each_its_answer_and_its_release() {
    const MANY: u64 = 1_400;
    let node = ScriptedNode::start();
    let program = patient(&told("n1", node.address, 0).replace(r#""weight":9"#, r#""weight":90000"#));
    let mut front = Viewer::connect(program.listen);
    program.stands_still();
    let lines: Vec<String> = (1..=MANY).map(|n| start(n, "7f", 0, 1)).collect();
    let mut writer = front.reader.get_ref().try_clone().unwrap();
    let sends = std::thread::spawn(move || writer.write_all((lines.join("\n") + "\n").as_bytes()).unwrap());
    program.goes_on();
    let mut peer = node.accepts();
    let mut stand = 0;
    // All are asked for before the first stands.
    let tags: Vec<String> = (0..MANY)
        .map(|_| {
            let line = peer.hears();
            let at = line.find(r#""tag":""#).unwrap() + 7;
            line[at..at + 16].to_string()
        })
        .collect();
    sends.join().unwrap();
    program.stands_still();
    for tag in &tags {
        peer.says(&format!(r#"{{"verb":"STARTED","tag":"{tag}","opts":{{}},"blob":"m=1"}}"#));
    }
    program.goes_on();
    for _ in 0..MANY {
        stand += u64::from(front.hears().contains("STARTED"));
    }
    assert_eq!(stand, MANY);
    // Its process ends.
    drop(node);
    peer.resets();
    let mut over: Vec<String> = (0..MANY).map(|_| front.hears()).collect();
    over.sort();
    over.dedup();
    assert_eq!(over.iter().filter(|line| line.contains("FINISH")).count() as u64, MANY);
}
