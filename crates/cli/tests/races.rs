//! Races between two events, forced on the built program over loopback sockets: what one side sends is on its
//! way while the other side acts. Where the program must process both in one batch, it is suspended while
//! they arrive. See docs/crossings.md.

use std::io::Write;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use nix::sys::stat::Mode;
use nix::unistd::mkfifo;

#[allow(dead_code)]
mod support;
use support::{
    Bus, DirectorConnection, Node, Program, ReconnectingClients, ScriptedNode, TIMEOUT, Viewer, config,
    endpoint, endpoint_at, free_address, setup_line,
};

/// Requests that a viewer sends before it closes, some twenty times as many as fit into one read.
const UNREAD_REQUESTS: u64 = 400;

/// A director that knows some nodes and has passed its first health check.
struct Director {
    program: Program,
}

impl Director {
    fn start(nodes: &[String], change_config: impl Fn(String) -> String) -> Director {
        let bus = Arc::new(Bus::default());
        let (address, polls) = bus.serve();
        let program = Program::start_with(address, change_config);
        bus.publish(&nodes.join(","), true);
        while polls.recv_timeout(TIMEOUT).unwrap() < 1 {}
        assert!(Viewer::connect(program.listen).health_check().contains(r#""rc":1"#));
        Director { program }
    }

    fn viewer(&self) -> Viewer {
        Viewer::connect(self.program.listen)
    }

    /// Returns a viewer whose session plays at the scripted node, and the connection to that node.
    fn playing_viewer(&self, node: &ScriptedNode, tag: u64) -> (Viewer, DirectorConnection) {
        let mut viewer = self.viewer();
        viewer.request_session(tag, "7f");
        let mut peer = node.accept();
        assert!(peer.receive().contains("START"));
        peer.respond("STARTED", tag, r#""blob":"m=1""#);
        assert!(viewer.receive().contains("STARTED"));
        (viewer, peer)
    }
}

/// Changes a configuration so that a SETUP may take the whole setup timeout, and a connect even longer.
fn with_long_timeouts(text: String) -> String {
    text.replace("retryable", "fragile").replace(r#""dialTimeout": 250"#, r#""dialTimeout": 8000"#)
}

fn without_cancellation(text: String) -> String {
    text.replace(r#""cancelling": true"#, r#""cancelling": false"#)
}

fn tag_text(tag: u64) -> String {
    format!("{tag:016x}")
}

/// How a viewer departs.
type Departure = fn(Viewer);

const DEPARTURES: [Departure; 3] = [drop, Viewer::reset, |mut viewer| {
    viewer.release(1);
    // Keeps the connection open, as a viewer does that will send further requests.
    std::mem::forget(viewer);
}];

/// A viewer departs, in each way, while the connection for its SETUP is being established; `race` runs both.
/// The first line on the connection must be from the next viewer.
fn departs_while_connecting(
    race: impl Fn(&Director, &mut ScriptedNode, Viewer, Departure) -> DirectorConnection,
) {
    for cancelling in [true, false] {
        for depart in DEPARTURES {
            let mut node = ScriptedNode::with_full_backlog();
            let change_config = |text| {
                if cancelling {
                    with_long_timeouts(text)
                } else {
                    without_cancellation(with_long_timeouts(text))
                }
            };
            let director = Director::start(&[endpoint_at("n1", node.address, 0)], change_config);
            let mut departing = director.viewer();
            departing.request_session(1, "7f");
            node.wait_for_connect();
            let mut peer = race(&director, &mut node, departing, depart);
            let mut next = director.viewer();
            next.request_session(2, "7f");
            let first = peer.receive();
            assert!(
                first.contains("START") && first.contains(&tag_text(2)),
                "cancelling {cancelling}: {first}"
            );
        }
    }
}

#[test]
fn no_setup_is_sent_for_a_viewer_that_departs_while_the_connection_is_established() {
    departs_while_connecting(|_, node, departing, depart| {
        depart(departing);
        node.open()
    });
}

#[test]
fn no_setup_is_sent_for_a_viewer_that_departs_as_the_connection_is_established() {
    departs_while_connecting(|director, node, departing, depart| {
        director.program.suspend();
        let peer = node.open();
        let addresses = departing.addresses();
        depart(departing);
        addresses.wait_for_delivery();
        director.program.resume();
        peer
    });
}

/// Returns two nodes that hold a title, and their bus endpoints. The director prefers the first, which is in
/// its zone.
fn two_nodes() -> ([ScriptedNode; 2], [String; 2]) {
    let nodes = [ScriptedNode::start(), ScriptedNode::start()];
    let endpoints = [
        endpoint_at("n1", nodes[0].address, 0),
        endpoint_at("n2", nodes[1].address, 1).replace("east", "west"),
    ];
    (nodes, endpoints)
}

#[test]
fn no_second_setup_is_sent_for_a_viewer_that_departs_as_the_first_is_rejected() {
    for cancelling in [true, false] {
        for depart in DEPARTURES {
            let (nodes, endpoints) = two_nodes();
            let change_config = |text| if cancelling { text } else { without_cancellation(text) };
            let director = Director::start(&endpoints, |text| change_config(with_long_timeouts(text)));
            let mut departing = director.viewer();
            departing.request_session_at(1, "7f", 0, 2);
            let mut first = nodes[0].accept();
            assert!(first.receive().contains(&tag_text(1)));
            director.program.suspend();
            first.respond("FINISH", 1, r#""rc":34"#);
            let addresses = departing.addresses();
            depart(departing);
            addresses.wait_for_delivery();
            first.addresses().wait_for_delivery();
            director.program.resume();
            let mut next = director.viewer();
            next.request_session_at(2, "7f", 1, 1);
            let line = nodes[1].accept().receive();
            assert!(line.contains(&tag_text(2)), "cancelling {cancelling}: {line}");
        }
    }
}

#[test]
fn no_setup_is_sent_for_a_viewer_that_closed_behind_its_request_under_load() {
    let node = Node::start();
    let director = Director::start(&[endpoint("n1", &node, 0)], |text| text);
    let mut other_viewers: Vec<Viewer> = (0..12).map(|_| director.viewer()).collect();
    let mut departing = director.viewer();
    director.program.suspend();
    for (n, viewer) in other_viewers.iter_mut().enumerate() {
        let lines: Vec<String> = (0..80).map(|k| setup_line(1000 * (n as u64 + 1) + k, "7f", 0, 1)).collect();
        viewer.send_line(&lines.join("\n"));
    }
    departing.request_session(1, "7f");
    let addresses = departing.addresses();
    drop(departing);
    addresses.wait_for_close();
    director.program.resume();
    // All other viewers get their answers, and so does one that sends its request after them.
    for viewer in &mut other_viewers {
        (0..80).for_each(|_| assert!(viewer.receive().contains(r#""tag""#)));
    }
    let mut last = director.viewer();
    last.request_session(2, "70");
    let answer = last.receive();
    assert!(answer.contains(&tag_text(2)), "{answer}");
    let setups: Vec<String> = node.received.try_iter().filter(|line| line.contains("START")).collect();
    assert!(!setups.is_empty() && !setups.iter().any(|line| line.contains(&tag_text(1))), "{setups:?}");
}

/// Guards against SETUPs that are sent for a viewer that has closed its connection behind many requests: the close was
/// known only once all but the last few kilobytes had been processed.
#[test]
fn no_setup_is_sent_for_a_viewer_that_closed_behind_many_unread_requests() {
    let node = Node::start();
    let director = Director::start(&[endpoint("n1", &node, 0)], |text| {
        text.replace(r#""kindStreams": [200]"#, r#""kindStreams": [90000]"#)
    });
    let mut last = director.viewer();
    last.request_session(1, "7f");
    assert!(last.receive().contains("STARTED"));
    assert!(node.next_line().contains(&tag_text(1)));
    let mut departing = director.viewer();
    director.program.suspend();
    let lines: Vec<String> = (0..UNREAD_REQUESTS).map(|n| setup_line(1000 + n, "7f", 0, 1)).collect();
    departing.send_line(&lines.join("\n"));
    let addresses = departing.addresses();
    drop(departing);
    addresses.wait_for_close();
    director.program.resume();
    let mut last = director.viewer();
    last.request_session(2, "70");
    let answer = last.receive();
    assert!(answer.contains(&tag_text(2)), "{answer}");
    let setups: Vec<String> = node.received.try_iter().filter(|line| line.contains("START")).collect();
    assert!(
        setups.len() == 1 && setups[0].contains(&tag_text(2)),
        "{} SETUPs: {:?}",
        setups.len(),
        setups.first()
    );
}

#[test]
fn a_session_that_starts_as_its_viewer_departs_is_released_at_its_node() {
    for depart in DEPARTURES {
        let node = ScriptedNode::start();
        let director = Director::start(&[endpoint_at("n1", node.address, 0)], with_long_timeouts);
        let mut departing = director.viewer();
        departing.request_session(1, "7f");
        let mut peer = node.accept();
        assert!(peer.receive().contains("START"));
        director.program.suspend();
        peer.respond("STARTED", 1, r#""blob":"m=1""#);
        let addresses = departing.addresses();
        depart(departing);
        addresses.wait_for_delivery();
        peer.addresses().wait_for_delivery();
        director.program.resume();
        let line = peer.receive();
        assert!(line.contains("FINISH") && line.contains(&tag_text(1)), "{line}");
    }
}

#[test]
fn a_release_is_delivered_on_the_next_connection_of_a_disconnected_client() {
    let node = ScriptedNode::start();
    let mut director = Director::start(&[endpoint_at("n1", node.address, 0)], |text| text);
    let (viewer, mut peer) = director.playing_viewer(&node, 1);
    drop(viewer);
    // Connection 0 was that of the health check.
    director.program.wait_for_log("closed link=1");
    peer.respond("FINISH", 1, r#""rc":16"#);
    director.program.wait_for_log("Finish");
    let line = director.viewer().receive();
    assert!(line.contains("FINISH") && line.contains(&tag_text(1)), "{line}");
}

#[test]
fn a_release_that_races_with_its_viewers_close_is_delivered_on_the_next_connection() {
    let node = ScriptedNode::start();
    let mut director = Director::start(&[endpoint_at("n1", node.address, 0)], |text| text);
    let (viewer, mut peer) = director.playing_viewer(&node, 1);
    director.program.suspend();
    peer.respond("FINISH", 1, r#""rc":16"#);
    let addresses = viewer.addresses();
    drop(viewer);
    addresses.wait_for_delivery();
    peer.addresses().wait_for_delivery();
    director.program.resume();
    director.program.wait_for_log("Finish");
    let line = director.viewer().receive();
    assert!(line.contains("FINISH") && line.contains(&tag_text(1)), "{line}");
}

#[test]
fn a_release_lost_with_its_connection_reaches_the_node_on_another() {
    let node = ScriptedNode::start();
    let director = Director::start(&[endpoint_at("n1", node.address, 0)], |text| text);
    let (mut viewer, peer) = director.playing_viewer(&node, 1);
    viewer.release(1);
    peer.wait_for_data();
    peer.reset();
    let line = node.accept().receive();
    assert!(line.contains("FINISH") && line.contains(&tag_text(1)), "{line}");
}

/// The idle timeout of the connection expires after the request has arrived but before it is read.
#[test]
fn a_request_that_arrives_before_its_idle_connection_is_closed_is_answered() {
    let node = Node::start();
    let director = Director::start(&[endpoint("n1", &node, 0)], |text| text);
    let mut viewer = director.viewer();
    viewer.request_session(1, "7f");
    assert!(viewer.receive().contains("STARTED"));
    viewer.release(1);
    while !node.next_line().contains("FINISH") {}
    std::thread::sleep(Duration::from_millis(4800));
    director.program.suspend();
    viewer.request_session(2, "7f");
    // When the process resumes, the idle timeout has long expired.
    std::thread::sleep(Duration::from_millis(1000));
    director.program.resume();
    let line = viewer.receive();
    assert!(line.contains("STARTED") && line.contains(&tag_text(2)), "{line:?}");
}

#[test]
fn idle_clients_that_use_all_descriptors_block_neither_service_nor_discovery() {
    let bus = Arc::new(Bus::default());
    let (address, polls) = bus.serve();
    let (first, second) = (Node::start(), Node::start());
    let program = Program::start(address);
    bus.publish(&endpoint("n1", &first, 0), true);
    while polls.recv_timeout(TIMEOUT).unwrap() < 1 {}
    assert!(Viewer::connect(program.listen).health_check().contains(r#""rc":1"#));
    let mut viewer = Viewer::connect(program.listen);
    viewer.request_session(1, "7f");
    assert!(viewer.receive().contains("STARTED"));
    // The bus stops. The configuration still names its address.
    bus.stop(address);
    while polls.recv_timeout(TIMEOUT).is_ok() {}
    // The configuration grants 64 descriptors. Each client that is disconnected reconnects at once.
    let idle_clients = ReconnectingClients::start(program.listen, 150);
    for tag in 2..12 {
        viewer.request_session(tag, "7f");
        assert!(viewer.receive().contains("STARTED"), "on an open connection");
        let mut late = Viewer::connect(program.listen);
        late.request_session(100 + tag, "7f");
        assert!(late.receive().contains("STARTED"), "on a new connection");
    }
    // The bus returns with another node: the director finds both.
    bus.publish(&endpoint("n2", &second, 1), false);
    let (_, polls) = bus.serve_at(address);
    let restarted_at = Instant::now();
    while polls.recv_timeout(TIMEOUT).unwrap() < 2 {}
    assert!(restarted_at.elapsed() < Duration::from_secs(2), "{:?}", restarted_at.elapsed());
    let mut late = Viewer::connect(program.listen);
    late.request_session_at(200, "7f", 1, 1);
    assert!(late.receive().contains("STARTED"), "at the new node");
    let open_count = std::fs::read_dir(format!("/proc/{}/fd", program.child.id())).unwrap().count();
    assert!(open_count <= 64, "{open_count} descriptors");
    drop(idle_clients);
}

#[test]
fn a_drain_finishes_when_no_session_is_left() {
    let node = ScriptedNode::start();
    let mut director = Director::start(&[endpoint_at("n1", node.address, 0)], |text| text);
    let (mut viewer, mut peer) = director.playing_viewer(&node, 1);
    director.program.signal(Signal::SIGTERM);
    director.program.wait_for_log("SIGTERM received; draining");
    // Further requests are served, on open and on new connections, and playing sessions continue.
    viewer.request_session(2, "7f");
    assert!(peer.receive().contains(&tag_text(2)));
    peer.respond("STARTED", 2, r#""blob":"m=1""#);
    assert!(viewer.receive().contains("STARTED"));
    assert!(director.viewer().health_check().contains(r#""rc":0"#));
    peer.respond("FINISH", 1, r#""rc":16"#);
    assert!(viewer.receive().contains(&tag_text(1)));
    viewer.release(2);
    let line = peer.receive();
    assert!(line.contains("FINISH") && line.contains(&tag_text(2)), "{line}");
    let (code, log) = director.program.wait_for_exit();
    assert_eq!(code, Some(0));
    assert!(log.contains("drain finished; shutting down"), "{log}");
}

#[test]
fn signals_that_arrive_before_the_configuration_is_read_do_not_end_the_process() {
    let bus = Arc::new(Bus::default());
    let (address, polls) = bus.serve();
    let (listen, directory) = (free_address(), tempfile::tempdir().unwrap());
    let file = directory.path().join("config.json");
    mkfifo(&file, Mode::S_IRWXU).unwrap();
    let mut program = Program::spawn(directory, file.clone(), listen);
    // The open blocks until the program reads the file.
    let mut pipe = std::fs::OpenOptions::new().write(true).open(&file).unwrap();
    program.signal(Signal::SIGTERM);
    program.signal(Signal::SIGHUP);
    let text = config(listen, address, r#"{"offset": 0, "batch": []}"#);
    pipe.write_all(text.as_bytes()).unwrap();
    drop(pipe);
    program.wait_for_log("serving");
    std::fs::write(&file, text).unwrap();
    program.wait_for_log("SIGTERM received; draining");
    assert_eq!(polls.recv_timeout(TIMEOUT).unwrap(), 0);
    assert!(Viewer::connect(listen).health_check().contains(r#""rc":0"#));
}

#[test]
fn a_configuration_that_is_read_while_it_is_being_written_is_read_again() {
    let bus = Arc::new(Bus::default());
    let ((address, _polls), (new_address, polls)) = (bus.serve(), bus.serve());
    let mut program = Program::start(address);
    let text = std::fs::read_to_string(&program.config).unwrap();
    std::fs::remove_file(&program.config).unwrap();
    mkfifo(&program.config, Mode::S_IRWXU).unwrap();
    program.signal(Signal::SIGHUP);
    // Each write blocks until the program reads the file.
    std::fs::write(&program.config, &text[..text.len() / 2]).unwrap();
    program.wait_for_log("cannot read the new configuration; retrying");
    let changed = text
        .replace(&address.to_string(), &new_address.to_string())
        .replace(r#""memory_mb": 64"#, r#""memory_mb": 65"#);
    std::fs::write(&program.config, changed).unwrap();
    program.wait_for_log("changed fields take effect only after a restart fields=\"limits\"");
    assert_eq!(polls.recv_timeout(TIMEOUT).unwrap(), 0);
}

/// The program is killed and restarted while discovery is down and viewers send requests. It is ready once it
/// has passed a health check.
#[test]
fn restarted_processes_are_ready_within_seconds_under_load_and_without_discovery() {
    let node = Node::start();
    let known = format!(
        r#"{{"offset":1,"batch":[{{"offset":1,"topology":{{"index":1,"snapshot":true,"endpoints":[{}]}}}}]}}"#,
        endpoint("n1", &node, 0)
    );
    let mut startup_times = Vec::new();
    for _ in 0..10 {
        let (listen, directory) = (free_address(), tempfile::tempdir().unwrap());
        let file = directory.path().join("config.json");
        std::fs::write(&file, config(listen, free_address(), &known)).unwrap();
        let started_at = Instant::now();
        let program = Program::spawn(directory, file, listen);
        let mut viewers: Vec<Viewer> = (0..8).map(|_| Viewer::connect_when_listening(listen)).collect();
        viewers.iter_mut().zip(1..).for_each(|(viewer, tag)| viewer.request_session(tag, "7f"));
        assert!(Viewer::connect(listen).health_check().contains(r#""rc":1"#));
        startup_times.push(started_at.elapsed());
        for viewer in &mut viewers {
            assert!(viewer.receive().contains("STARTED"));
        }
        drop(program);
    }
    startup_times.sort();
    assert!(
        startup_times[8] < Duration::from_secs(10) && startup_times[9] < Duration::from_secs(30),
        "{startup_times:?}"
    );
}
