//! Two events that cross, forced on the built program over loopback sockets: what one side sends is on its way while the other
//! side acts. Where both must meet one turn, the program stands still while they come. See docs/crossings.md.

use std::io::Write;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use nix::sys::stat::Mode;
use nix::unistd::mkfifo;

#[allow(dead_code)]
mod stage;
use stage::{
    Bus, Crowd, Node, PATIENCE, Peer, Program, ScriptedNode, Viewer, config, endpoint, free_address, start,
    told,
};

/// A director that knows of these nodes and has passed its first test.
struct Stage {
    program: Program,
}

impl Stage {
    fn with(nodes: &[String], change: impl Fn(String) -> String) -> Stage {
        let bus = Arc::new(Bus::default());
        let (address, asked) = bus.serve();
        let program = Program::start_with(address, change);
        bus.tell(&nodes.join(","), true);
        while asked.recv_timeout(PATIENCE).unwrap() < 1 {}
        assert!(Viewer::connect(program.listen).tested().contains(r#""rc":1"#));
        Stage { program }
    }

    fn viewer(&self) -> Viewer {
        Viewer::connect(self.program.listen)
    }

    /// A viewer whose session stands at the scripted node.
    fn plays(&self, node: &ScriptedNode, tag: u64) -> (Viewer, Peer) {
        let mut viewer = self.viewer();
        viewer.asks(tag, "7f");
        let mut peer = node.accepts();
        assert!(peer.hears().contains("START"));
        peer.answers("STARTED", tag, r#""blob":"m=1""#);
        assert!(viewer.hears().contains("STARTED"));
        (viewer, peer)
    }
}

/// A SETUP may take all the time that its viewer has, and so may a connection.
fn patient(text: String) -> String {
    text.replace("retryable", "fragile").replace(r#""dialTimeout": 250"#, r#""dialTimeout": 8000"#)
}

fn no_cancel(text: String) -> String {
    text.replace(r#""cancelling": true"#, r#""cancelling": false"#)
}

fn tag(tag: u64) -> String {
    format!("{tag:016x}")
}

/// How a viewer goes.
type Way = fn(Viewer);

const WAYS: [Way; 3] = [drop, Viewer::resets, |mut viewer| {
    viewer.cancels(1);
    // It stays connected, as one that will ask again does.
    std::mem::forget(viewer);
}];

/// A viewer goes, each way, while the connection for its set-up is made; `crosses` says how the two meet. The first line on the
/// connection is of the viewer that asks next.
fn goes_before_its_connection(crosses: impl Fn(&Stage, &mut ScriptedNode, Viewer, Way) -> Peer) {
    for cancelling in [true, false] {
        for goes in WAYS {
            let mut node = ScriptedNode::closed();
            let change = |text| if cancelling { patient(text) } else { no_cancel(patient(text)) };
            let stage = Stage::with(&[told("n1", node.address, 0)], change);
            let mut gone = stage.viewer();
            gone.asks(1, "7f");
            node.is_dialled();
            let mut peer = crosses(&stage, &mut node, gone, goes);
            let mut next = stage.viewer();
            next.asks(2, "7f");
            let first = peer.hears();
            assert!(first.contains("START") && first.contains(&tag(2)), "cancelling {cancelling}: {first}");
        }
    }
}

#[test]
fn no_set_up_is_begun_for_a_viewer_that_went_while_a_connection_was_made() {
    goes_before_its_connection(|_, node, gone, goes| {
        goes(gone);
        node.opens()
    });
}

#[test]
fn no_set_up_is_begun_for_a_viewer_that_went_as_the_connection_came_up() {
    goes_before_its_connection(|stage, node, gone, goes| {
        stage.program.stands_still();
        let peer = node.opens();
        let ends = gone.ends();
        goes(gone);
        ends.have_it();
        stage.program.goes_on();
        peer
    });
}

/// Two nodes that hold a title; the director tries the first first, which is in its zone.
fn two_nodes() -> ([ScriptedNode; 2], [String; 2]) {
    let nodes = [ScriptedNode::start(), ScriptedNode::start()];
    let told = [told("n1", nodes[0].address, 0), told("n2", nodes[1].address, 1).replace("east", "west")];
    (nodes, told)
}

#[test]
fn no_further_set_up_is_begun_for_a_viewer_that_went_as_the_first_was_turned_away() {
    for cancelling in [true, false] {
        for goes in WAYS {
            let (nodes, told) = two_nodes();
            let change = |text| if cancelling { text } else { no_cancel(text) };
            let stage = Stage::with(&told, |text| change(patient(text)));
            let mut gone = stage.viewer();
            gone.asks_cells(1, "7f", 0, 2);
            let mut first = nodes[0].accepts();
            assert!(first.hears().contains(&tag(1)));
            stage.program.stands_still();
            first.answers("FINISH", 1, r#""rc":34"#);
            let ends = gone.ends();
            goes(gone);
            ends.have_it();
            first.ends().have_it();
            stage.program.goes_on();
            let mut next = stage.viewer();
            next.asks_cells(2, "7f", 1, 1);
            let came = nodes[1].accepts().hears();
            assert!(came.contains(&tag(2)), "cancelling {cancelling}: {came}");
        }
    }
}

#[test]
fn no_set_up_is_begun_for_a_viewer_that_closed_behind_it_however_many_others_ask() {
    let node = Node::start();
    let stage = Stage::with(&[endpoint("n1", &node, 0)], |text| text);
    let mut crowd: Vec<Viewer> = (0..12).map(|_| stage.viewer()).collect();
    let mut gone = stage.viewer();
    stage.program.stands_still();
    for (n, viewer) in crowd.iter_mut().enumerate() {
        let lines: Vec<String> = (0..80).map(|k| start(1000 * (n as u64 + 1) + k, "7f", 0, 1)).collect();
        viewer.says(&lines.join("\n"));
    }
    gone.asks(1, "7f");
    let ends = gone.ends();
    drop(gone);
    ends.is_closed();
    stage.program.goes_on();
    // All of the crowd have their answers, and one more that asks behind it.
    for viewer in &mut crowd {
        (0..80).for_each(|_| assert!(viewer.hears().contains(r#""tag""#)));
    }
    let mut last = stage.viewer();
    last.asks(2, "70");
    let answer = last.hears();
    assert!(answer.contains(&tag(2)), "{answer}");
    let begun: Vec<String> = node.heard.try_iter().filter(|line| line.contains("START")).collect();
    assert!(!begun.is_empty() && !begun.iter().any(|line| line.contains(&tag(1))), "{begun:?}");
}

#[test]
fn a_session_that_stands_as_its_viewer_goes_does_not_stay_at_its_node() {
    for goes in WAYS {
        let node = ScriptedNode::start();
        let stage = Stage::with(&[told("n1", node.address, 0)], patient);
        let mut gone = stage.viewer();
        gone.asks(1, "7f");
        let mut peer = node.accepts();
        assert!(peer.hears().contains("START"));
        stage.program.stands_still();
        peer.answers("STARTED", 1, r#""blob":"m=1""#);
        let ends = gone.ends();
        goes(gone);
        ends.have_it();
        peer.ends().have_it();
        stage.program.goes_on();
        let line = peer.hears();
        assert!(line.contains("FINISH") && line.contains(&tag(1)), "{line}");
    }
}

#[test]
fn a_release_is_heard_on_the_next_connection_of_a_client_that_had_none() {
    let node = ScriptedNode::start();
    let mut stage = Stage::with(&[told("n1", node.address, 0)], |text| text);
    let (viewer, mut peer) = stage.plays(&node, 1);
    drop(viewer);
    // The first connection was that of the test.
    stage.program.says("closed link=1");
    peer.answers("FINISH", 1, r#""rc":16"#);
    stage.program.says("Finish");
    let line = stage.viewer().hears();
    assert!(line.contains("FINISH") && line.contains(&tag(1)), "{line}");
}

#[test]
fn a_release_that_crosses_its_viewer_s_close_is_heard_on_the_next_connection() {
    let node = ScriptedNode::start();
    let mut stage = Stage::with(&[told("n1", node.address, 0)], |text| text);
    let (viewer, mut peer) = stage.plays(&node, 1);
    stage.program.stands_still();
    peer.answers("FINISH", 1, r#""rc":16"#);
    let ends = viewer.ends();
    drop(viewer);
    ends.have_it();
    peer.ends().have_it();
    stage.program.goes_on();
    stage.program.says("Finish");
    let line = stage.viewer().hears();
    assert!(line.contains("FINISH") && line.contains(&tag(1)), "{line}");
}

#[test]
fn a_release_that_was_lost_with_its_connection_reaches_the_node_on_another() {
    let node = ScriptedNode::start();
    let stage = Stage::with(&[told("n1", node.address, 0)], |text| text);
    let (mut viewer, peer) = stage.plays(&node, 1);
    viewer.cancels(1);
    peer.has_come();
    peer.resets();
    let line = node.accepts().hears();
    assert!(line.contains("FINISH") && line.contains(&tag(1)), "{line}");
}

/// The connection is closed for having carried nothing for a while; the set-up was there before.
#[test]
fn a_set_up_that_came_before_its_idle_connection_was_closed_is_answered() {
    let node = Node::start();
    let stage = Stage::with(&[endpoint("n1", &node, 0)], |text| text);
    let mut viewer = stage.viewer();
    viewer.asks(1, "7f");
    assert!(viewer.hears().contains("STARTED"));
    viewer.cancels(1);
    while !node.next().contains("FINISH") {}
    std::thread::sleep(Duration::from_millis(4800));
    stage.program.stands_still();
    viewer.asks(2, "7f");
    // By the time it goes on, the connection has long been due.
    std::thread::sleep(Duration::from_millis(1000));
    stage.program.goes_on();
    let line = viewer.hears();
    assert!(line.contains("STARTED") && line.contains(&tag(2)), "{line:?}");
}

#[test]
fn idle_clients_may_fill_the_descriptors_while_discovery_is_down() {
    let bus = Arc::new(Bus::default());
    let (address, asked) = bus.serve();
    let (first, second) = (Node::start(), Node::start());
    let program = Program::start(address);
    bus.tell(&endpoint("n1", &first, 0), true);
    while asked.recv_timeout(PATIENCE).unwrap() < 1 {}
    assert!(Viewer::connect(program.listen).tested().contains(r#""rc":1"#));
    let mut viewer = Viewer::connect(program.listen);
    viewer.asks(1, "7f");
    assert!(viewer.hears().contains("STARTED"));
    // Gone from its address, to another; the configuration still names the first.
    bus.goes(address);
    while asked.recv_timeout(PATIENCE).is_ok() {}
    // The configuration gives 64 descriptors. Each that is closed comes again at once.
    let crowd = Crowd::of(program.listen, 150);
    for tag in 2..12 {
        viewer.asks(tag, "7f");
        assert!(viewer.hears().contains("STARTED"), "under way");
        let mut late = Viewer::connect(program.listen);
        late.asks(100 + tag, "7f");
        assert!(late.hears().contains("STARTED"), "late");
    }
    // Discovery is back, with another node: it is found, and so is the node.
    bus.tell(&endpoint("n2", &second, 1), false);
    let (_, asked) = bus.serve_at(address);
    let back = Instant::now();
    while asked.recv_timeout(PATIENCE).unwrap() < 2 {}
    assert!(back.elapsed() < Duration::from_secs(2), "{:?}", back.elapsed());
    let mut late = Viewer::connect(program.listen);
    late.asks_cells(200, "7f", 1, 1);
    assert!(late.hears().contains("STARTED"), "at the new node");
    let held = std::fs::read_dir(format!("/proc/{}/fd", program.child.id())).unwrap().count();
    assert!(held <= 64, "{held} descriptors");
    drop(crowd);
}

#[test]
fn a_planned_end_is_over_when_nothing_is_owed_any_longer() {
    let node = ScriptedNode::start();
    let mut stage = Stage::with(&[told("n1", node.address, 0)], |text| text);
    let (mut viewer, mut peer) = stage.plays(&node, 1);
    stage.program.signal(Signal::SIGTERM);
    stage.program.says("SIGTERM received; draining");
    // What still comes is served, on connections of before and on new ones, and what plays goes on.
    viewer.asks(2, "7f");
    assert!(peer.hears().contains(&tag(2)));
    peer.answers("STARTED", 2, r#""blob":"m=1""#);
    assert!(viewer.hears().contains("STARTED"));
    assert!(stage.viewer().tested().contains(r#""rc":0"#));
    peer.answers("FINISH", 1, r#""rc":16"#);
    assert!(viewer.hears().contains(&tag(1)));
    viewer.cancels(2);
    let line = peer.hears();
    assert!(line.contains("FINISH") && line.contains(&tag(2)), "{line}");
    let (code, log) = stage.program.ends();
    assert_eq!(code, Some(0));
    assert!(log.contains("drain finished; shutting down"), "{log}");
}

#[test]
fn a_signal_that_comes_before_the_configuration_is_read_ends_nothing() {
    let bus = Arc::new(Bus::default());
    let (address, asked) = bus.serve();
    let (listen, folder) = (free_address(), tempfile::tempdir().unwrap());
    let file = folder.path().join("config.json");
    mkfifo(&file, Mode::S_IRWXU).unwrap();
    let mut program = Program::spawn(folder, file.clone(), listen);
    // Opens once the program reads it.
    let mut pipe = std::fs::OpenOptions::new().write(true).open(&file).unwrap();
    program.signal(Signal::SIGTERM);
    program.signal(Signal::SIGHUP);
    let text = config(listen, address, r#"{"offset": 0, "batch": []}"#);
    pipe.write_all(text.as_bytes()).unwrap();
    drop(pipe);
    program.says("serving");
    std::fs::write(&file, text).unwrap();
    program.says("SIGTERM received; draining");
    assert_eq!(asked.recv_timeout(PATIENCE).unwrap(), 0);
    assert!(Viewer::connect(listen).tested().contains(r#""rc":0"#));
}

#[test]
fn a_configuration_that_is_read_while_it_is_written_is_read_again() {
    let bus = Arc::new(Bus::default());
    let ((address, _asked), (moved, asked)) = (bus.serve(), bus.serve());
    let mut program = Program::start(address);
    let text = std::fs::read_to_string(&program.config).unwrap();
    std::fs::remove_file(&program.config).unwrap();
    mkfifo(&program.config, Mode::S_IRWXU).unwrap();
    program.signal(Signal::SIGHUP);
    // Each write opens once the program reads.
    std::fs::write(&program.config, &text[..text.len() / 2]).unwrap();
    program.says("cannot read the new configuration; retrying");
    let changed = text
        .replace(&address.to_string(), &moved.to_string())
        .replace(r#""memory_mb": 64"#, r#""memory_mb": 65"#);
    std::fs::write(&program.config, changed).unwrap();
    program.says("changed fields take effect only after a restart fields=\"limits\"");
    assert_eq!(asked.recv_timeout(PATIENCE).unwrap(), 0);
}

/// Killed and started again, with discovery down and while viewers ask: ready, by its first passed test.
#[test]
fn restarted_processes_are_ready_within_seconds_while_asked_and_without_discovery() {
    let node = Node::start();
    let known = format!(
        r#"{{"offset":1,"batch":[{{"offset":1,"topology":{{"index":1,"snapshot":true,"endpoints":[{}]}}}}]}}"#,
        endpoint("n1", &node, 0)
    );
    let mut took = Vec::new();
    for _ in 0..10 {
        let (listen, folder) = (free_address(), tempfile::tempdir().unwrap());
        let file = folder.path().join("config.json");
        std::fs::write(&file, config(listen, free_address(), &known)).unwrap();
        let begun = Instant::now();
        let program = Program::spawn(folder, file, listen);
        let mut crowd: Vec<Viewer> = (0..8).map(|_| Viewer::connects(listen)).collect();
        crowd.iter_mut().zip(1..).for_each(|(viewer, tag)| viewer.asks(tag, "7f"));
        assert!(Viewer::connect(listen).tested().contains(r#""rc":1"#));
        took.push(begun.elapsed());
        for viewer in &mut crowd {
            assert!(viewer.hears().contains("STARTED"));
        }
        drop(program);
    }
    took.sort();
    assert!(took[8] < Duration::from_secs(10) && took[9] < Duration::from_secs(30), "{took:?}");
}
