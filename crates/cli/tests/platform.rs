//! The program as the platform starts it, against a stand-in bus and stand-in media nodes on loopback.

use std::io::Write;
use std::net::SocketAddr;
use std::process::Command;
use std::sync::Arc;

use nix::sys::signal::Signal;

#[allow(dead_code)]
mod stage;
use stage::{Bus, Node, PATIENCE, Program, Trouble, Viewer, config, endpoint};

#[test]
fn a_director_serves_through_troubles_a_new_configuration_and_a_planned_end() {
    let bus = Arc::new(Bus::default());
    let (address, asked) = bus.serve();
    let (first, second) = (Node::start(), Node::start());
    let mut program = Program::start(address);
    bus.tell(&endpoint("n1", &first, 0), true);
    // Asked again after the event it has: it is in force.
    while asked.recv_timeout(PATIENCE).unwrap() < 1 {}

    assert!(Viewer::connect(program.listen).tested().contains(r#""rc":1"#));
    let mut viewer = Viewer::connect(program.listen);
    viewer.asks(1, "7f");
    assert!(first.next().contains(r#""blob":"v=0""#));
    assert_eq!(
        viewer.hears(),
        r#"{"verb":"STARTED","tag":"0000000000000001","opts":{},"blob":"for 0000000000000001\r\n"}"#
    );

    // What can't be used is refused, what can't be read is closed on; nothing of either reaches the node.
    let mut rude = Viewer::connect(program.listen);
    rude.asks(2, "not a title");
    assert!(rude.hears().contains(r#""rc":100"#));
    rude.says("{\"verb\":");
    assert_eq!(rude.hears(), "");
    let mut endless = Viewer::connect(program.listen);
    let _ = endless.reader.get_mut().write_all(&[b'x'; 40_000]);
    assert_eq!(endless.hears(), "");
    // One that says nothing is closed on too.
    let mut silent = Viewer::connect(program.listen);
    assert_eq!(silent.hears(), "");

    // The viewer's release reaches the node, and nothing came there in between.
    viewer.says(r#"{"verb":"FINISH","tag":"0000000000000001","opts":{},"rc":16}"#);
    let line = first.next();
    assert!(line.contains("FINISH") && line.contains("0000000000000001"), "{line}");

    // A new address for the bus; a broken configuration changes nothing.
    let old = std::fs::read_to_string(&program.config).unwrap();
    std::fs::write(&program.config, "{\"name\": 7").unwrap();
    program.signal(Signal::SIGHUP);
    program.says("the current one stays in force");
    let (moved, asked) = bus.serve();
    std::fs::write(&program.config, old.replace(&address.to_string(), &moved.to_string())).unwrap();
    program.signal(Signal::SIGHUP);
    assert_eq!(asked.recv_timeout(PATIENCE).unwrap(), 1);
    *bus.troubles.lock().unwrap() = vec![Trouble::Stops, Trouble::Breaks];
    bus.tell(&endpoint("n2", &second, 1), false);
    while asked.recv_timeout(PATIENCE).unwrap() < 2 {}
    let mut viewer = Viewer::connect(program.listen);
    viewer.says(
        r#"{"verb":"START","tag":"0000000000000003","opts":{"class":"clip","left":"3000","key":"7f","extras":"home:1;copies:1;top:1"},"blob":"v=0"}"#,
    );
    assert!(second.next().contains("0000000000000003"));
    assert!(viewer.hears().contains("STARTED"));

    // Near its end it fails tests, and serves what still comes.
    program.signal(Signal::SIGTERM);
    program.says("SIGTERM received; draining");
    while !Viewer::connect(program.listen).tested().contains(r#""rc":0"#) {}
    viewer.asks(4, "7f");
    assert!(viewer.hears().contains("STARTED"));
}

#[test]
fn spoilt_and_lost_connections_to_nodes_cost_no_viewer_its_answer() {
    let bus = Arc::new(Bus::default());
    let (address, asked) = bus.serve();
    let nodes = [Node::start(), Node::start()];
    let program = Program::start(address);
    // Both hold the titles of both cells.
    bus.tell(&[endpoint("n1", &nodes[0], 0), endpoint("n2", &nodes[1], 1)].join(","), true);
    while asked.recv_timeout(PATIENCE).unwrap() < 1 {}
    assert!(Viewer::connect(program.listen).tested().contains(r#""rc":1"#));
    let mut viewer = Viewer::connect(program.listen);
    // Each node spoils, or closes under, every SETUP of these titles: none is served, each has its one answer.
    for (tag, key) in [(1, "bad"), (2, "dead"), (3, "bad")] {
        viewer.asks(tag, key);
        let line = viewer.hears();
        assert!(line.contains("FINISH") && line.contains(&format!("{tag:016x}")), "{line}");
    }
    viewer.asks(4, "7f");
    let line = viewer.hears();
    assert!(line.contains("STARTED") && line.contains("for 0000000000000004"), "{line}");
    // What may stand at the first node unknown to anyone is released there.
    let heard = std::iter::repeat_with(|| nodes[0].next()).take_while(|line| !line.contains("000004"));
    let released = heard.filter(|line| line.contains("FINISH")).count();
    assert!(released >= 1, "{released} released");
}

#[test]
fn silent_connections_by_the_hundred_keep_nobody_out() {
    let bus = Arc::new(Bus::default());
    let (address, asked) = bus.serve();
    let node = Node::start();
    let program = Program::start(address);
    bus.tell(&endpoint("n1", &node, 0), true);
    while asked.recv_timeout(PATIENCE).unwrap() < 1 {}
    assert!(Viewer::connect(program.listen).tested().contains(r#""rc":1"#));
    let mut viewer = Viewer::connect(program.listen);
    viewer.asks(1, "7f");
    assert!(viewer.hears().contains("STARTED"));
    // The configuration gives 64 descriptors.
    let mut silent: Vec<Viewer> = (0..200).map(|_| Viewer::connect(program.listen)).collect();
    viewer.asks(2, "7f");
    assert!(viewer.hears().contains("STARTED"));
    let mut late = Viewer::connect(program.listen);
    late.asks(3, "7f");
    assert!(late.hears().contains("STARTED"));
    let held = std::fs::read_dir(format!("/proc/{}/fd", program.child.id())).unwrap().count();
    assert!(held <= 64, "{held} descriptors");
    for one in &mut silent {
        assert_eq!(one.hears(), "");
    }
}

#[test]
fn a_configuration_that_cant_be_read_ends_the_program_with_file_and_field() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    let told = |text: &str| {
        std::fs::write(&file, text).unwrap();
        let output =
            Command::new(env!("CARGO_BIN_EXE_ashglade")).arg("platform").arg("--config").arg(&file).output();
        let output = output.unwrap();
        let folder = folder.path().display().to_string();
        format!("{:?} {}", output.status.code(), String::from_utf8_lossy(&output.stderr).replace(&folder, ""))
    };
    let any: SocketAddr = ([127, 0, 0, 1], 1).into();
    let good = config(any, any, r#"{"offset": 0, "batch": []}"#);
    let shown = [
        told("{}"),
        told(&good.replace("\"seed\": \"1\"", "\"seed\": \"x\"")),
        told(&good.replace("\"sockets\": 64", "\"sockets\": 4")),
        told(&good.replace("\"aim\": 800", "\"aim\": \"soon\"")),
        told(&good.replace("retryable", "sometimes")),
        told(&good.replace("\"memory_mb\": 64", "\"memory_mb\": 0")),
    ];
    expect_test::expect![[r#"
        Some(1) ashglade: /config.json: missing field `name` at line 1 column 2
        Some(1) ashglade: /config.json: seed: "x" is not a number of up to 16 hex digits
        Some(1) ashglade: /config.json: limits.sockets: 4 are too few to serve with
        Some(1) ashglade: /config.json: settings: services[0].aim: invalid type: string "soon", expected f64 at line 6 column 51
        Some(1) ashglade: /config.json: settings: services[0].effect: unknown variant `sometimes`, expected one of `retryable`, `dedup`, `fragile` at line 6 column 102
        Some(1) ashglade: /config.json: limits.memory_mb: 0 leave no room to serve in
    "#]].assert_eq(&shown.concat());
}
