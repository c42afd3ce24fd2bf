//! Discovery of directors and media nodes: long lists, snapshots and changes, an event bus that moves or
//! stops responding, and processes that are killed after the kernel has accepted a connection for them.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;

#[allow(dead_code)]
mod support;
use support::{
    Bus, Node, Program, ReplyFault, ScriptedNode, TIMEOUT, Viewer, config, endpoint, endpoint_at,
    free_address,
};

/// Number of directors, and of media nodes, of a large installation.
const FLEET_SIZE: u16 = 1100;

fn tag_text(tag: u64) -> String {
    format!("{tag:016x}")
}

fn assert_healthy(program: &Program) {
    assert!(Viewer::connect(program.listen).health_check().contains(r#""rc":1"#));
}

/// Starts a bus and a director that has processed the first node list and passed a health check.
fn start_director(
    nodes: &str,
    change_config: impl Fn(String) -> String,
) -> (Arc<Bus>, SocketAddr, Program, Polls) {
    let bus = Arc::new(Bus::default());
    let (address, polls) = bus.serve();
    let program = Program::start_with(address, change_config);
    bus.publish(nodes, true);
    let polls = Polls(polls);
    polls.wait_for(1);
    assert_healthy(&program);
    (bus, address, program, polls)
}

/// The `from` offset of each poll that the bus has received.
struct Polls(std::sync::mpsc::Receiver<usize>);

impl Polls {
    /// Waits until the director has processed the event with this offset.
    fn wait_for(&self, offset: usize) {
        while self.0.recv_timeout(TIMEOUT).unwrap() < offset {}
    }
}

/// Returns the resident set size of a process in kB.
fn resident_kb(program: &Program) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", program.child.id())).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Returns the processor time that a process has used.
fn cpu_time(program: &Program) -> Duration {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", program.child.id())).unwrap();
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap().split(' ').collect();
    let ticks = |index: usize| fields[index].parse::<u64>().unwrap();
    // The kernel counts in hundredths of a second.
    Duration::from_millis((ticks(11) + ticks(12)) * 10)
}

fn open_descriptors(program: &Program) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", program.child.id())).unwrap().count()
}

/// Changes a configuration for a large installation.
fn with_large_fleet(text: String) -> String {
    text.replace(
        r#""balancers": 1"#,
        &format!(r#""balancers": {FLEET_SIZE}, "myNumber": {}"#, FLEET_SIZE - 1),
    )
    .replace(r#""positions": 2"#, &format!(r#""positions": {FLEET_SIZE}"#))
    .replace(r#""sockets": 64"#, r#""sockets": 4096"#)
    // Slow start does not limit the SETUPs here.
    .replace(r#""kindStreams": [200]"#, r#""kindStreams": [90000]"#)
    .replace(r#""startCapacity": 0.9"#, r#""startCapacity": 1"#)
}

#[test]
fn a_fleet_of_1100_directors_and_media_nodes_is_served_within_memory_limits() {
    let node = Node::start();
    // All names share one address, with a connection for each.
    let all_endpoints = |weight: u32| {
        let endpoint = |n: u16| {
            endpoint(&format!("n{n}"), &node, n).replace(r#""weight":9"#, &format!(r#""weight":{weight}"#))
        };
        (0..FLEET_SIZE).map(endpoint).collect::<Vec<_>>().join(",")
    };
    let bus = Arc::new(Bus::default());
    let (address, polls) = bus.serve();
    let polls = Polls(polls);
    // All nodes are in the configuration, and later in one event that changes all of them.
    bus.publish(&all_endpoints(9000), true);
    let known = format!(
        r#"{{"offset": 1, "batch": [{{"offset":1,"topology":{{"index":1,"snapshot":true,"endpoints":[{}]}}}}]}}"#,
        all_endpoints(9000)
    );
    let small = Program::start(free_address());
    assert_healthy(&small);
    let program = Program::start_with(address, |text| {
        with_large_fleet(text).replace(r#"{"offset": 0, "batch": []}"#, &known)
    });
    assert_healthy(&program);
    let list_kb = resident_kb(&program).saturating_sub(resident_kb(&small));
    let start_session_at_each = |first_tag: u64| {
        let mut front = Viewer::connect(program.listen);
        // At most as many at once as the backlog of the node's listener holds.
        for batch in (0..FLEET_SIZE).collect::<Vec<_>>().chunks(100) {
            batch.iter().for_each(|&n| front.request_session_at(first_tag + u64::from(n), "7f", n, 1));
            let mut answers: Vec<String> = batch.iter().map(|_| front.receive()).collect();
            answers.sort();
            for (answer, n) in answers.iter().zip(batch) {
                assert!(
                    answer.contains("STARTED") && answer.contains(&tag_text(first_tag + u64::from(*n))),
                    "{answer}"
                );
            }
        }
        front
    };
    let first = start_session_at_each(1);
    bus.publish(&all_endpoints(8000), false);
    polls.wait_for(2);
    let second = start_session_at_each(100_000);
    let total_kb = resident_kb(&program);
    println!(
        "{FLEET_SIZE} media nodes listed: {list_kb} kB; with two sessions and a connection at each: {total_kb} kB in total"
    );
    assert!(list_kb < 8 * u64::from(FLEET_SIZE), "{list_kb} kB for the list");
    assert!(total_kb < 64 * 1024, "{total_kb} kB");
    drop((first, second));
}

#[test]
fn an_idle_process_uses_little_processor_time_and_few_descriptors() {
    let node = Node::start();
    let endpoints: Vec<String> = (0..FLEET_SIZE).map(|n| endpoint(&format!("n{n}"), &node, n)).collect();
    let (_bus, _, program, polls) = start_director(&endpoints.join(","), with_large_fleet);
    let (cpu_before, started_at) = (cpu_time(&program), Instant::now());
    // The test bus answers a poll every 300 ms.
    for _ in 0..12 {
        polls.wait_for(1);
    }
    let (cpu_used, elapsed) = (cpu_time(&program) - cpu_before, started_at.elapsed());
    let open_count = open_descriptors(&program);
    println!("idle for {elapsed:?}: {cpu_used:?} of processor time, {open_count} descriptors");
    // The test build is not optimised, hence the high limit.
    assert!(cpu_used < elapsed / 10, "{cpu_used:?} in {elapsed:?}");
    assert!(open_count <= 14, "{open_count} descriptors");
}

/// The bus moves while nodes drain: one drain is published at the old address, the other at the new one.
#[test]
fn drains_published_before_and_after_a_reload_stay_in_force() {
    let nodes = [Node::start(), Node::start(), Node::start()];
    let up = |n: usize| endpoint(&format!("n{n}"), &nodes[n], n as u16);
    let draining = |n: usize| up(n).replace(r#""up""#, r#""draining""#);
    let (bus, address, program, polls) = start_director(&[up(0), up(1), up(2)].join(","), |text| {
        text.replace(r#""positions": 2"#, r#""positions": 3"#)
    });
    bus.publish(&draining(0), false);
    polls.wait_for(2);
    let (new_address, polls) = bus.serve();
    let polls = Polls(polls);
    let text = std::fs::read_to_string(&program.config).unwrap();
    std::fs::write(&program.config, text.replace(&address.to_string(), &new_address.to_string())).unwrap();
    program.signal(Signal::SIGHUP);
    polls.wait_for(2);
    bus.publish(&draining(1), false);
    polls.wait_for(3);
    let mut viewer = Viewer::connect(program.listen);
    for n in 1..=30 {
        viewer.request_session_at(n, "7f", 0, 3);
        assert!(viewer.receive().contains("STARTED"));
    }
    // A title that only the draining nodes hold is refused at once.
    viewer.request_session_at(31, "7f", 0, 2);
    assert!(viewer.receive().contains(r#""rc":34"#));
    let setup_count = |node: &Node| node.received.try_iter().filter(|line| line.contains("START")).count();
    assert_eq!(nodes.each_ref().map(setup_count), [0, 0, 30]);
}

/// The bus stops in the middle of a reply, or sends none; the connection stays open in both cases.
#[test]
fn a_bus_that_stops_responding_is_polled_again() {
    let nodes = [Node::start(), Node::start(), Node::start()];
    let up = |n: usize| endpoint(&format!("n{n}"), &nodes[n], n as u16);
    let (bus, _, program, polls) =
        start_director(&up(0), |text| text.replace(r#""positions": 2"#, r#""positions": 3"#));
    for (n, fault) in [(1, ReplyFault::Stall), (2, ReplyFault::NoReply)] {
        // Some polls are answered before the fault.
        (0..3).for_each(|_| polls.wait_for(n));
        bus.faults.lock().unwrap().push(fault);
        let published_at = Instant::now();
        bus.publish(&up(n), false);
        polls.wait_for(n + 1);
        assert!(published_at.elapsed() < Duration::from_secs(4), "{:?}", published_at.elapsed());
        let mut viewer = Viewer::connect(program.listen);
        viewer.request_session_at(n as u64, "7f", n as u16, 1);
        assert!(viewer.receive().contains("STARTED"));
    }
}

/// The kernel accepts a connection for a node whose process is then killed. The SETUP on it may have been
/// executed: it is retried at another node if the service group permits a second execution, else the request
/// fails. It gets one answer in both cases.
#[test]
fn a_media_node_killed_after_an_accept_costs_no_request_its_answer() {
    for (effect, answer) in [("retryable", "STARTED"), ("fragile", r#""rc":41"#)] {
        let (first, second) = (ScriptedNode::start(), Node::start());
        let endpoints =
            [endpoint_at("n1", first.address, 0), endpoint("n2", &second, 1).replace("east", "west")];
        let (_bus, _, mut program, _) =
            start_director(&endpoints.join(","), |text| text.replace("retryable", effect));
        let mut viewer = Viewer::connect(program.listen);
        viewer.request_session_at(1, "7f", 0, 2);
        program.wait_for_log(r#"action action=SendUpstream"#);
        drop(first);
        let line = viewer.receive();
        assert!(line.contains(answer) && line.contains(&tag_text(1)), "{effect}: {line}");
        viewer.request_session_at(2, "7f", 1, 1);
        let line = viewer.receive();
        assert!(line.contains("STARTED") && line.contains(&tag_text(2)), "{effect}: {line}");
        let setup_count = second.received.try_iter().filter(|line| line.contains(&tag_text(1))).count();
        assert_eq!(setup_count, usize::from(effect == "retryable"), "{effect}");
    }
}

/// The director's process is killed while a request waits in its socket buffers: the request gets no answer,
/// and the next process serves at the same address at once.
#[test]
fn a_director_killed_after_an_accept_leaves_its_address_to_the_next_process() {
    let node = Node::start();
    let known = format!(
        r#"{{"offset":1,"batch":[{{"offset":1,"topology":{{"index":1,"snapshot":true,"endpoints":[{}]}}}}]}}"#,
        endpoint("n1", &node, 0)
    );
    let listen = free_address();
    let start = || {
        let directory = tempfile::tempdir().unwrap();
        let file = directory.path().join("config.json");
        std::fs::write(&file, config(listen, free_address(), &known)).unwrap();
        let mut program = Program::spawn(directory, file, listen);
        program.wait_for_log("serving");
        program
    };
    let program = start();
    program.suspend();
    let mut waiting = Viewer::connect(listen);
    waiting.request_session(1, "7f");
    program.signal(Signal::SIGKILL);
    assert_eq!(waiting.receive(), "");
    drop(program);
    let program = start();
    assert_healthy(&program);
    let mut viewer = Viewer::connect(listen);
    viewer.request_session(2, "7f");
    assert!(viewer.receive().contains(&tag_text(2)));
    let setups: Vec<String> = node.received.try_iter().filter(|line| line.contains("START")).collect();
    assert!(setups.len() == 1 && setups[0].contains(&tag_text(2)), "{setups:?}");
    // The process still holds the address.
    assert!(TcpListener::bind(listen).is_err());
}
