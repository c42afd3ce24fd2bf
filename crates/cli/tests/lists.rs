//! Lists of directors and of media nodes: of any length, in changes or whole, from a bus that moves or falls silent, and of
//! nodes that are killed behind an accept.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;

#[allow(dead_code)]
mod stage;
use stage::{
    Bus, Node, PATIENCE, Program, ScriptedNode, Trouble, Viewer, config, endpoint, free_address, told,
};

const MANY: u16 = 1100;

fn tag(tag: u64) -> String {
    format!("{tag:016x}")
}

fn tested(program: &Program) {
    assert!(Viewer::connect(program.listen).tested().contains(r#""rc":1"#));
}

/// One bus and a director that holds its first list.
fn begun(nodes: &str, change: impl Fn(String) -> String) -> (Arc<Bus>, SocketAddr, Program, Asked) {
    let bus = Arc::new(Bus::default());
    let (address, asked) = bus.serve();
    let program = Program::start_with(address, change);
    bus.tell(nodes, true);
    let asked = Asked(asked);
    asked.until(1);
    tested(&program);
    (bus, address, program, asked)
}

/// From which event on the bus was asked.
struct Asked(std::sync::mpsc::Receiver<usize>);

impl Asked {
    /// The event of this number is held.
    fn until(&self, event: usize) {
        while self.0.recv_timeout(PATIENCE).unwrap() < event {}
    }
}

/// What the machine tells of a process, in kB.
fn resident(program: &Program) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", program.child.id())).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Processor time so far.
fn busy(program: &Program) -> Duration {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", program.child.id())).unwrap();
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap().split(' ').collect();
    let ticks = |at: usize| fields[at].parse::<u64>().unwrap();
    // In hundredths of a second, as the kernel tells it.
    Duration::from_millis((ticks(11) + ticks(12)) * 10)
}

fn descriptors(program: &Program) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", program.child.id())).unwrap().count()
}

fn large(text: String) -> String {
    text.replace(r#""balancers": 1"#, &format!(r#""balancers": {MANY}, "myNumber": {}"#, MANY - 1))
        .replace(r#""positions": 2"#, &format!(r#""positions": {MANY}"#))
        .replace(r#""sockets": 64"#, r#""sockets": 4096"#)
        // No pace of cold nodes is in the way here.
        .replace(r#""kindStreams": [200]"#, r#""kindStreams": [90000]"#)
        .replace(r#""startCapacity": 0.9"#, r#""startCapacity": 1"#)
}

#[test]
fn eleven_hundred_directors_and_media_nodes_are_read_held_and_set_up_at() {
    let node = Node::start();
    // Names, and as many connections, at one address.
    let all = |weight: u32| {
        let endpoint = |n: u16| {
            endpoint(&format!("n{n}"), &node, n).replace(r#""weight":9"#, &format!(r#""weight":{weight}"#))
        };
        (0..MANY).map(endpoint).collect::<Vec<_>>().join(",")
    };
    let bus = Arc::new(Bus::default());
    let (address, asked) = bus.serve();
    let asked = Asked(asked);
    // All of them in the configuration, and again in one event that changes all.
    bus.tell(&all(9000), true);
    let known = format!(
        r#"{{"offset": 1, "batch": [{{"offset":1,"topology":{{"index":1,"snapshot":true,"endpoints":[{}]}}}}]}}"#,
        all(9000)
    );
    let small = Program::start(free_address());
    tested(&small);
    let program =
        Program::start_with(address, |text| large(text).replace(r#"{"offset": 0, "batch": []}"#, &known));
    tested(&program);
    let list = resident(&program).saturating_sub(resident(&small));
    let set_up_at_all = |from: u64| {
        let mut front = Viewer::connect(program.listen);
        // As many at once as the stand-in's listener holds for it.
        for some in (0..MANY).collect::<Vec<_>>().chunks(100) {
            some.iter().for_each(|&n| front.asks_cells(from + u64::from(n), "7f", n, 1));
            let mut answers: Vec<String> = some.iter().map(|_| front.hears()).collect();
            answers.sort();
            for (answer, n) in answers.iter().zip(some) {
                assert!(
                    answer.contains("STARTED") && answer.contains(&tag(from + u64::from(*n))),
                    "{answer}"
                );
            }
        }
        front
    };
    let first = set_up_at_all(1);
    bus.tell(&all(8000), false);
    asked.until(2);
    let second = set_up_at_all(100_000);
    let whole = resident(&program);
    println!(
        "{MANY} media nodes listed: {list} kB; with two sessions and a connection at each: {whole} kB in all"
    );
    assert!(list < 8 * u64::from(MANY), "{list} kB for the list");
    assert!(whole < 64 * 1024, "{whole} kB");
    drop((first, second));
}

#[test]
fn a_process_with_nothing_to_do_takes_next_to_no_processor_time_and_few_connections() {
    let node = Node::start();
    let all: Vec<String> = (0..MANY).map(|n| endpoint(&format!("n{n}"), &node, n)).collect();
    let (_bus, _, program, asked) = begun(&all.join(","), large);
    let (before, begun) = (busy(&program), Instant::now());
    // The stand-in bus answers a poll each 300 ms.
    for _ in 0..12 {
        asked.until(1);
    }
    let (spent, passed) = (busy(&program) - before, begun.elapsed());
    let held = descriptors(&program);
    println!("idle for {passed:?}: {spent:?} of processor time, {held} descriptors");
    // Unoptimised as it is built for tests.
    assert!(spent < passed / 10, "{spent:?} in {passed:?}");
    assert!(held <= 14, "{held} descriptors");
}

/// The bus moves while nodes drain: one was told by the bus of before, the other by the new one.
#[test]
fn drains_told_before_and_after_a_reload_are_kept() {
    let nodes = [Node::start(), Node::start(), Node::start()];
    let up = |n: usize| endpoint(&format!("n{n}"), &nodes[n], n as u16);
    let drains = |n: usize| up(n).replace(r#""up""#, r#""draining""#);
    let (bus, address, program, asked) = begun(&[up(0), up(1), up(2)].join(","), |text| {
        text.replace(r#""positions": 2"#, r#""positions": 3"#)
    });
    bus.tell(&drains(0), false);
    asked.until(2);
    let (moved, asked) = bus.serve();
    let asked = Asked(asked);
    let text = std::fs::read_to_string(&program.config).unwrap();
    std::fs::write(&program.config, text.replace(&address.to_string(), &moved.to_string())).unwrap();
    program.signal(Signal::SIGHUP);
    asked.until(2);
    bus.tell(&drains(1), false);
    asked.until(3);
    let mut viewer = Viewer::connect(program.listen);
    for n in 1..=30 {
        viewer.asks_cells(n, "7f", 0, 3);
        assert!(viewer.hears().contains("STARTED"));
    }
    // A title that only those hold is refused at once.
    viewer.asks_cells(31, "7f", 0, 2);
    assert!(viewer.hears().contains(r#""rc":34"#));
    let begun = |node: &Node| node.heard.try_iter().filter(|line| line.contains("START")).count();
    assert_eq!(nodes.each_ref().map(begun), [0, 0, 30]);
}

/// In the middle of an answer, or of a poll that was open; the connection stays up either way.
#[test]
fn a_bus_that_falls_silent_late_is_asked_anew() {
    let nodes = [Node::start(), Node::start(), Node::start()];
    let up = |n: usize| endpoint(&format!("n{n}"), &nodes[n], n as u16);
    let (bus, _, program, asked) =
        begun(&up(0), |text| text.replace(r#""positions": 2"#, r#""positions": 3"#));
    for (n, trouble) in [(1, Trouble::Stops), (2, Trouble::SaysNothing)] {
        // Some polls have been answered in between.
        (0..3).for_each(|_| asked.until(n));
        bus.troubles.lock().unwrap().push(trouble);
        let begun = Instant::now();
        bus.tell(&up(n), false);
        asked.until(n + 1);
        assert!(begun.elapsed() < Duration::from_secs(4), "{:?}", begun.elapsed());
        let mut viewer = Viewer::connect(program.listen);
        viewer.asks_cells(n as u64, "7f", n as u16, 1);
        assert!(viewer.hears().contains("STARTED"));
    }
}

/// A connection that the machine took for a process that is then killed: the SETUP on it may have run. Where that does no
/// harm it is set up elsewhere, else it has failed; it is answered once either way.
#[test]
fn a_media_node_killed_behind_an_accept_is_believed_nothing() {
    for (group, answer) in [("retryable", "STARTED"), ("fragile", r#""rc":41"#)] {
        let (first, second) = (ScriptedNode::start(), Node::start());
        let nodes = [told("n1", first.address, 0), endpoint("n2", &second, 1).replace("east", "west")];
        let (_bus, _, mut program, _) = begun(&nodes.join(","), |text| text.replace("retryable", group));
        let mut viewer = Viewer::connect(program.listen);
        viewer.asks_cells(1, "7f", 0, 2);
        program.says(r#"action action=SendUpstream"#);
        drop(first);
        let line = viewer.hears();
        assert!(line.contains(answer) && line.contains(&tag(1)), "{group}: {line}");
        viewer.asks_cells(2, "7f", 1, 1);
        let line = viewer.hears();
        assert!(line.contains("STARTED") && line.contains(&tag(2)), "{group}: {line}");
        let begun = second.heard.try_iter().filter(|line| line.contains(&tag(1))).count();
        assert_eq!(begun, usize::from(group == "retryable"), "{group}");
    }
}

/// Ours: what waited with the machine gets no answer that nobody stands for, and the next process serves at once.
#[test]
fn a_director_killed_behind_an_accept_leaves_its_address_to_the_next() {
    let node = Node::start();
    let known = format!(
        r#"{{"offset":1,"batch":[{{"offset":1,"topology":{{"index":1,"snapshot":true,"endpoints":[{}]}}}}]}}"#,
        endpoint("n1", &node, 0)
    );
    let listen = free_address();
    let start = || {
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join("config.json");
        std::fs::write(&file, config(listen, free_address(), &known)).unwrap();
        let mut program = Program::spawn(folder, file, listen);
        program.says("serving");
        program
    };
    let program = start();
    program.stands_still();
    let mut waiting = Viewer::connect(listen);
    waiting.asks(1, "7f");
    program.signal(Signal::SIGKILL);
    assert_eq!(waiting.hears(), "");
    drop(program);
    let program = start();
    tested(&program);
    let mut viewer = Viewer::connect(listen);
    viewer.asks(2, "7f");
    assert!(viewer.hears().contains(&tag(2)));
    let heard: Vec<String> = node.heard.try_iter().filter(|line| line.contains("START")).collect();
    assert!(heard.len() == 1 && heard[0].contains(&tag(2)), "{heard:?}");
    // Nobody else listens there meanwhile.
    assert!(TcpListener::bind(listen).is_err());
}
