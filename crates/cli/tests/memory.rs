//! A director stays below its memory limit, whatever the length of the messages that its peers send and however
//! slowly they read. The platform kills a process that exceeds the limit.

use std::io::{BufRead, Write};
use std::net::{SocketAddr, TcpStream};
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

#[allow(dead_code)]
mod support;
use support::{Node, Program, ScriptedNode, TIMEOUT, Viewer, endpoint, endpoint_at, private_memory_kb};

/// The lowest memory limit of the platform.
const MEMORY_LIMIT_MB: u64 = 32;
/// Connections that send a burst of requests each, and the number of requests in a burst.
const CLIENTS: u64 = 6;
const REQUESTS_PER_CLIENT: u64 = 500;
/// Number of requests in a burst if each of them holds more than a thousand fields.
const REQUESTS_WITH_MANY_FIELDS: u64 = 100;
/// Length of a request that nearly reaches the protocol's limit of 16 KiB.
const FULL_REQUEST_BYTES: usize = 16_300;
/// Requests of a usual viewer that are answered while the bursts are handled.
const USUAL_REQUESTS: u64 = 20;

/// Connections of a crowd, the number of requests of each, and the nodes beside it.
const CROWD_CLIENTS: u64 = 450;
const CROWD_REQUESTS_PER_CLIENT: u64 = 15;
const CROWD_NODES: usize = 4;
/// Usual requests that may be refused beside a crowd.
const MAX_REFUSED: u64 = 2;
/// The setup timeout of all requests.
const SETUP_TIMEOUT: Duration = Duration::from_secs(3);

/// Starts a program with the lowest memory limit that knows these nodes and has passed a health check.
fn start(nodes: &str) -> Program {
    Program::start_with_limits(MEMORY_LIMIT_MB, 1024, nodes)
}

/// Records the largest amount of private memory of a process, until it is asked for it.
struct MemoryWatch {
    stopped: Arc<AtomicBool>,
    largest_kb: Arc<AtomicU64>,
    thread: JoinHandle<()>,
}

impl MemoryWatch {
    fn start(program: &Program) -> MemoryWatch {
        let process = program.child.id();
        let (stopped, largest_kb) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let (is_stopped, largest) = (stopped.clone(), largest_kb.clone());
        let thread = std::thread::spawn(move || {
            while !is_stopped.load(Ordering::SeqCst) {
                largest.fetch_max(private_memory_kb(process).unwrap_or(0), Ordering::SeqCst);
                std::thread::sleep(Duration::from_millis(1));
            }
        });
        MemoryWatch { stopped, largest_kb, thread }
    }

    fn assert_below_limit(self) {
        self.stopped.store(true, Ordering::SeqCst);
        self.thread.join().unwrap();
        let largest_kb = self.largest_kb.load(Ordering::SeqCst);
        println!("the process held {largest_kb} kB at most");
        assert!(largest_kb > 0, "the memory of the process could not be read");
        assert!(
            largest_kb <= MEMORY_LIMIT_MB * 1024,
            "{largest_kb} kB, with a limit of {MEMORY_LIMIT_MB} MB"
        );
    }
}

/// Returns a request of this title with further members of its fields and a description.
fn request(tag: u64, key: &str, fields: &str, description: &str) -> String {
    format!(
        r#"{{"verb":"START","tag":"{tag:016x}","opts":{{"class":"clip","left":"3000","key":"{key}","extras":"home:0;copies:1;top:1"{fields}}},"blob":"{description}"}}"#
    )
}

fn full_request(tag: u64, key: &str) -> String {
    let length = FULL_REQUEST_BYTES - request(tag, key, "", "").len();
    request(tag, key, "", &"x".repeat(length))
}

/// Sends the burst of one client on a connection of its own. The director may close it.
fn send_burst(listen: SocketAddr, tags: Range<u64>, line: fn(u64) -> String) -> TcpStream {
    let burst: Vec<String> = tags.map(line).collect();
    let mut stream = TcpStream::connect(listen).unwrap();
    stream.set_write_timeout(Some(TIMEOUT)).unwrap();
    let _ = stream.write_all((burst.join("\n") + "\n").as_bytes());
    stream
}

/// Sends the bursts of this many clients at once. The returned threads end with their connections.
fn send_bursts(
    program: &Program,
    clients: u64,
    requests_per_client: u64,
    line: fn(u64) -> String,
) -> Vec<JoinHandle<TcpStream>> {
    let listen = program.listen;
    let spawn = |client: u64| {
        let first_tag = 10_000 + client * requests_per_client;
        let tags = first_tag..first_tag + requests_per_client;
        std::thread::spawn(move || send_burst(listen, tags, line))
    };
    (0..clients).map(spawn).collect()
}

/// Reads until each of this many requests has an answer, or the connection ends.
fn read_answers(stream: TcpStream, requests: u64) {
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let lines = std::io::BufReader::new(stream).lines();
    let _ = lines.map_while(Result::ok).take(requests as usize).count();
}

/// Sends requests of a usual viewer one after another, each of which must be answered.
fn assert_usual_requests_are_answered(program: &Program) {
    let mut viewer = Viewer::connect(program.listen);
    for tag in 1..=USUAL_REQUESTS {
        viewer.request_session(tag, "7f");
        let answer = viewer.receive();
        assert!(answer.contains(&format!("{tag:016x}")), "request {tag} was answered by {answer:?}");
    }
}

/// Sends the bursts of all clients and reads their answers. The process must stay below its memory limit, and
/// requests of a usual viewer must be answered meanwhile and afterwards.
fn assert_bursts_are_survived(program: &Program, requests_per_client: u64, line: fn(u64) -> String) {
    let memory = MemoryWatch::start(program);
    let clients = send_bursts(program, CLIENTS, requests_per_client, line);
    assert_usual_requests_are_answered(program);
    clients.into_iter().for_each(|client| read_answers(client.join().unwrap(), requests_per_client));
    assert_usual_requests_are_answered(program);
    memory.assert_below_limit();
}

/// Guards against a director that is killed for memory because its limits counted requests and not their bytes.
#[test]
fn bursts_of_full_requests_stay_below_the_memory_limit() {
    let node = Node::start();
    let program = start(&endpoint("n1", &node, 0));
    assert_bursts_are_survived(&program, REQUESTS_PER_CLIENT, |tag| full_request(tag, "fa"));
}

/// Guards against a director that is killed for memory because it keeps all fields of a message, of which a full
/// one can hold more than a thousand.
#[test]
fn bursts_of_requests_with_many_fields_stay_below_the_memory_limit() {
    let node = Node::start();
    let program = start(&endpoint("n1", &node, 0));
    assert_bursts_are_survived(&program, REQUESTS_WITH_MANY_FIELDS, |tag| {
        let fields: String = (0..1_400).map(|n| format!(r#","{n:03x}":"""#)).collect();
        request(tag, "fa", &fields, "v=0")
    });
}

/// Guards against a director that is killed for memory because SETUPs pile up for a node that does not read.
#[test]
fn setups_for_a_node_that_does_not_read_stay_below_the_memory_limit() {
    let (node, hung_node) = (Node::start(), ScriptedNode::start());
    let program = start(&[endpoint("n1", &node, 0), endpoint_at("n2", hung_node.address, 1)].join(","));
    assert_bursts_are_survived(&program, REQUESTS_PER_CLIENT, |tag| {
        full_request(tag, "fa").replace("home:0;copies:1", "home:1;copies:1")
    });
}

/// Guards against a director that is killed for memory because of long lines that never end, on all connections
/// that it accepts.
#[test]
fn unfinished_lines_stay_below_the_memory_limit() {
    let node = Node::start();
    let program = start(&endpoint("n1", &node, 0));
    let memory = MemoryWatch::start(&program);
    let line = full_request(1, "fa");
    let connections: Vec<TcpStream> = (0..600)
        .filter_map(|_| {
            let mut stream = TcpStream::connect(program.listen).unwrap();
            stream.write_all(line.as_bytes()).is_ok().then_some(stream)
        })
        .collect();
    // The director closes each connection because its line is not completed in time.
    connections.into_iter().for_each(|stream| read_answers(stream, 1));
    assert_usual_requests_are_answered(&program);
    memory.assert_below_limit();
}

/// Guards against a director that is killed for memory because what each connection holds was counted by none of its
/// limits: messages that had been parsed and waited for room, copies of lines that were written, and queued lines
/// without what they need beside their text. It also refused all usual viewers meanwhile.
#[test]
fn a_crowd_of_connections_with_full_requests_stays_below_the_memory_limit() {
    let nodes: Vec<Node> = (0..CROWD_NODES).map(|_| Node::start()).collect();
    let endpoints: Vec<String> =
        nodes.iter().enumerate().map(|(n, node)| endpoint(&format!("n{n}"), node, 0)).collect();
    let program = start(&endpoints.join(","));
    let memory = MemoryWatch::start(&program);
    let clients =
        send_bursts(&program, CROWD_CLIENTS, CROWD_REQUESTS_PER_CLIENT, |tag| full_request(tag, "fa"));
    let mut viewer = Viewer::connect(program.listen);
    let mut playing = 0;
    for tag in 1..=USUAL_REQUESTS {
        let sent_at = Instant::now();
        viewer.request_session(tag, "7f");
        let answer = viewer.receive();
        assert!(answer.contains(&format!("{tag:016x}")), "request {tag} was answered by {answer:?}");
        let elapsed = sent_at.elapsed();
        assert!(elapsed < SETUP_TIMEOUT, "request {tag} was answered after {elapsed:?}");
        playing += u64::from(answer.contains("STARTED"));
    }
    clients.into_iter().for_each(|client| read_answers(client.join().unwrap(), CROWD_REQUESTS_PER_CLIENT));
    memory.assert_below_limit();
    // Where there is room at the nodes, a request that is refused beside others is a request that is not served.
    assert!(
        playing >= USUAL_REQUESTS - MAX_REFUSED,
        "{playing} of {USUAL_REQUESTS} usual requests were served"
    );
}
