//! Runs the program as the platform starts it, against test doubles of the event bus and media nodes on
//! loopback.

use std::io::Write;
use std::net::SocketAddr;
use std::process::Command;
use std::sync::Arc;

use nix::sys::signal::Signal;

#[allow(dead_code)]
mod support;
use support::{Bus, Node, Program, ReplyFault, TIMEOUT, Viewer, config, endpoint};

#[test]
fn a_director_serves_through_faults_a_reload_and_a_drain() {
    let bus = Arc::new(Bus::default());
    let (address, polls) = bus.serve();
    let (first, second) = (Node::start(), Node::start());
    let mut program = Program::start(address);
    bus.publish(&endpoint("n1", &first, 0), true);
    // A poll from behind the event shows that the event has been processed.
    while polls.recv_timeout(TIMEOUT).unwrap() < 1 {}

    assert!(Viewer::connect(program.listen).health_check().contains(r#""rc":1"#));
    let mut viewer = Viewer::connect(program.listen);
    viewer.request_session(1, "7f");
    assert!(first.next_line().contains(r#""blob":"v=0""#));
    assert_eq!(
        viewer.receive(),
        r#"{"verb":"STARTED","tag":"0000000000000001","opts":{},"blob":"for 0000000000000001\r\n"}"#
    );

    // An invalid request is refused and a malformed line closes the connection; neither reaches the node.
    let mut malformed = Viewer::connect(program.listen);
    malformed.request_session(2, "not a title");
    assert!(malformed.receive().contains(r#""rc":100"#));
    malformed.send_line("{\"verb\":");
    assert_eq!(malformed.receive(), "");
    let mut endless = Viewer::connect(program.listen);
    let _ = endless.reader.get_mut().write_all(&[b'x'; 40_000]);
    assert_eq!(endless.receive(), "");
    // A connection that sends nothing is closed too.
    let mut silent = Viewer::connect(program.listen);
    assert_eq!(silent.receive(), "");

    // The viewer's release reaches the node, and nothing else arrived there before it.
    viewer.send_line(r#"{"verb":"FINISH","tag":"0000000000000001","opts":{},"rc":16}"#);
    let line = first.next_line();
    assert!(line.contains("FINISH") && line.contains("0000000000000001"), "{line}");

    // A malformed configuration changes nothing; a valid one changes the address of the bus.
    let old_config = std::fs::read_to_string(&program.config).unwrap();
    std::fs::write(&program.config, "{\"name\": 7").unwrap();
    program.signal(Signal::SIGHUP);
    program.wait_for_log("the current one stays in force");
    let (new_address, polls) = bus.serve();
    std::fs::write(&program.config, old_config.replace(&address.to_string(), &new_address.to_string()))
        .unwrap();
    program.signal(Signal::SIGHUP);
    assert_eq!(polls.recv_timeout(TIMEOUT).unwrap(), 1);
    *bus.faults.lock().unwrap() = vec![ReplyFault::Stall, ReplyFault::Disconnect];
    bus.publish(&endpoint("n2", &second, 1), false);
    while polls.recv_timeout(TIMEOUT).unwrap() < 2 {}
    let mut viewer = Viewer::connect(program.listen);
    viewer.send_line(
        r#"{"verb":"START","tag":"0000000000000003","opts":{"class":"clip","left":"3000","key":"7f","extras":"home:1;copies:1;top:1"},"blob":"v=0"}"#,
    );
    assert!(second.next_line().contains("0000000000000003"));
    assert!(viewer.receive().contains("STARTED"));

    // While draining it fails health checks and serves the requests that still arrive.
    program.signal(Signal::SIGTERM);
    program.wait_for_log("SIGTERM received; draining");
    while !Viewer::connect(program.listen).health_check().contains(r#""rc":0"#) {}
    viewer.request_session(4, "7f");
    assert!(viewer.receive().contains("STARTED"));
}

#[test]
fn malformed_answers_and_lost_connections_of_nodes_cost_no_viewer_its_answer() {
    let bus = Arc::new(Bus::default());
    let (address, polls) = bus.serve();
    let nodes = [Node::start(), Node::start()];
    let program = Program::start(address);
    // One node in each cell.
    bus.publish(&[endpoint("n1", &nodes[0], 0), endpoint("n2", &nodes[1], 1)].join(","), true);
    while polls.recv_timeout(TIMEOUT).unwrap() < 1 {}
    assert!(Viewer::connect(program.listen).health_check().contains(r#""rc":1"#));
    let mut viewer = Viewer::connect(program.listen);
    // Every SETUP of these titles gets a malformed answer or a closed connection: none is served, and each
    // gets exactly one answer.
    for (tag, key) in [(1, "bad"), (2, "dead"), (3, "bad")] {
        viewer.request_session(tag, key);
        let line = viewer.receive();
        assert!(line.contains("FINISH") && line.contains(&format!("{tag:016x}")), "{line}");
    }
    viewer.request_session(4, "7f");
    let line = viewer.receive();
    assert!(line.contains("STARTED") && line.contains("for 0000000000000004"), "{line}");
    // A session that may have started at the first node unnoticed is released there.
    let lines = std::iter::repeat_with(|| nodes[0].next_line()).take_while(|line| !line.contains("000004"));
    let released = lines.filter(|line| line.contains("FINISH")).count();
    assert!(released >= 1, "{released} releases");
}

#[test]
fn hundreds_of_silent_connections_do_not_keep_viewers_out() {
    let bus = Arc::new(Bus::default());
    let (address, polls) = bus.serve();
    let node = Node::start();
    let program = Program::start(address);
    bus.publish(&endpoint("n1", &node, 0), true);
    while polls.recv_timeout(TIMEOUT).unwrap() < 1 {}
    assert!(Viewer::connect(program.listen).health_check().contains(r#""rc":1"#));
    let mut viewer = Viewer::connect(program.listen);
    viewer.request_session(1, "7f");
    assert!(viewer.receive().contains("STARTED"));
    // The configuration grants 64 descriptors.
    let mut silent: Vec<Viewer> = (0..200).map(|_| Viewer::connect(program.listen)).collect();
    viewer.request_session(2, "7f");
    assert!(viewer.receive().contains("STARTED"));
    let mut late = Viewer::connect(program.listen);
    late.request_session(3, "7f");
    assert!(late.receive().contains("STARTED"));
    let open_count = std::fs::read_dir(format!("/proc/{}/fd", program.child.id())).unwrap().count();
    assert!(open_count <= 64, "{open_count} descriptors");
    for viewer in &mut silent {
        assert_eq!(viewer.receive(), "");
    }
}

#[test]
fn an_invalid_configuration_ends_the_program_with_an_error_that_names_file_and_field() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("config.json");
    let error_for = |text: &str| {
        std::fs::write(&file, text).unwrap();
        let output =
            Command::new(env!("CARGO_BIN_EXE_ashglade")).arg("platform").arg("--config").arg(&file).output();
        let output = output.unwrap();
        let directory = directory.path().display().to_string();
        format!(
            "{:?} {}",
            output.status.code(),
            String::from_utf8_lossy(&output.stderr).replace(&directory, "")
        )
    };
    let address: SocketAddr = ([127, 0, 0, 1], 1).into();
    let valid = config(address, address, r#"{"offset": 0, "batch": []}"#);
    let errors = [
        error_for("{}"),
        error_for(&valid.replace("\"seed\": \"1\"", "\"seed\": \"x\"")),
        error_for(&valid.replace("\"sockets\": 64", "\"sockets\": 4")),
        error_for(&valid.replace("\"aim\": 800", "\"aim\": \"soon\"")),
        error_for(&valid.replace("retryable", "sometimes")),
        error_for(&valid.replace("\"memory_mb\": 64", "\"memory_mb\": 0")),
    ];
    expect_test::expect![[r#"
        Some(1) ashglade: /config.json: missing field `name` at line 1 column 2
        Some(1) ashglade: /config.json: seed: "x" is not a number of up to 16 hex digits
        Some(1) ashglade: /config.json: limits.sockets: 4 is below the minimum of 16
        Some(1) ashglade: /config.json: settings: services[0].aim: invalid type: string "soon", expected f64 at line 6 column 51
        Some(1) ashglade: /config.json: settings: services[0].effect: unknown variant `sometimes`, expected one of `retryable`, `dedup`, `fragile` at line 6 column 102
        Some(1) ashglade: /config.json: limits.memory_mb: 0 is not above 0
    "#]].assert_eq(&errors.concat());
}
