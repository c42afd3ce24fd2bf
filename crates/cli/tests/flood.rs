//! Usual viewers are served in their time beside one client that sends small or invalid messages at full speed, under
//! ever new names, and the process stays below its memory limit.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

#[allow(dead_code)]
mod support;
use support::{Node, Program, TIMEOUT, Viewer, endpoint, private_memory_kb};

/// Requests of the usual viewer, one after another, and the time between two of them.
const USUAL_REQUESTS: u64 = 40;
const USUAL_INTERVAL: Duration = Duration::from_millis(50);
/// The setup timeout of all requests.
const SETUP_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which nodes that the director learns of at its start are no longer in slow start.
const SLOW_START: Duration = Duration::from_millis(1500);
/// Messages that the flooding client sends in one write.
const MESSAGES_PER_WRITE: u64 = 500;
/// The lowest memory limit of the platform.
const MEMORY_LIMIT_MB: u64 = 32;

/// A client that sends messages at full speed, and reads what is sent to it, until this is dropped. It connects again
/// whenever its connection is closed.
struct FloodingClient {
    stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl FloodingClient {
    /// Starts a client that sends the messages of this number and the following ones.
    fn start(address: SocketAddr, message: fn(u64) -> String) -> FloodingClient {
        let stopped = Arc::new(AtomicBool::new(false));
        let is_stopped = stopped.clone();
        let thread = std::thread::spawn(move || {
            let mut next = 0x0bad_0000_0000_0000;
            while !is_stopped.load(Ordering::SeqCst) {
                let Ok(stream) = TcpStream::connect(address) else { continue };
                send_until_closed(stream, message, &mut next, &is_stopped);
            }
        });
        FloodingClient { stopped, thread: Some(thread) }
    }
}

impl Drop for FloodingClient {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        self.thread.take().map(JoinHandle::join);
    }
}

fn send_until_closed(
    mut stream: TcpStream,
    message: fn(u64) -> String,
    next: &mut u64,
    stopped: &AtomicBool,
) {
    stream.set_write_timeout(Some(TIMEOUT)).unwrap();
    let mut receiving = stream.try_clone().unwrap();
    let reader = std::thread::spawn(move || {
        let mut buffer = vec![0; 65_536];
        while receiving.read(&mut buffer).is_ok_and(|count| count > 0) {}
    });
    while !stopped.load(Ordering::SeqCst) {
        let lines: String = (*next..*next + MESSAGES_PER_WRITE).map(|n| message(n) + "\n").collect();
        *next += MESSAGES_PER_WRITE;
        if stream.write_all(lines.as_bytes()).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
    reader.join().unwrap();
}

/// Returns the answer to the request with this tag. A client's connections also carry what is meant for others at
/// its address.
fn answer_to(viewer: &mut Viewer, tag: u64) -> String {
    loop {
        let line = viewer.receive();
        assert!(!line.is_empty(), "the connection of the usual viewer was closed");
        if line.contains(&format!("{tag:016x}")) {
            return line;
        }
    }
}

/// Runs a usual viewer beside a flooding client. Each of its requests must be served before its setup timeout.
fn assert_usual_viewer_is_served_beside(message: fn(u64) -> String) {
    let node = Node::start();
    let program = Program::start_with_limits(MEMORY_LIMIT_MB, 512, &endpoint("n1", &node, 0));
    std::thread::sleep(SLOW_START);

    let flood = FloodingClient::start(program.listen, message);
    let mut viewer = Viewer::connect(program.listen);
    for tag in 1..=USUAL_REQUESTS {
        let sent_at = Instant::now();
        viewer.request_session(tag, "7f");
        let answer = answer_to(&mut viewer, tag);
        let elapsed = sent_at.elapsed();
        assert!(answer.contains("STARTED"), "request {tag} was refused: {answer}");
        assert!(elapsed < SETUP_TIMEOUT, "request {tag} was answered after {elapsed:?}");
        let memory_kb = private_memory_kb(program.child.id()).unwrap();
        assert!(memory_kb <= MEMORY_LIMIT_MB * 1024, "{memory_kb} kB are held");
        std::thread::sleep(USUAL_INTERVAL);
    }
    drop(flood);
}

fn request(tag: u64, class: &str, key: u64, extras: &str) -> String {
    format!(
        r#"{{"verb":"START","tag":"{tag:016x}","opts":{{"class":"{class}","left":"3000","key":"{key:x}","extras":"home:0;copies:1;top:1;{extras}"}},"blob":"v=0"}}"#
    )
}

/// Guards against usual viewers that wait behind, or are refused for, the invalid requests of one client.
#[test]
fn usual_viewers_are_served_beside_invalid_requests() {
    assert_usual_viewer_is_served_beside(|n| request(n, "unknown", n, ""));
}

/// Guards against usual viewers that are refused because one client hands over sessions at nodes of ever new names,
/// which took all the room for sessions.
#[test]
fn usual_viewers_are_served_beside_handovers_at_nodes_of_ever_new_names() {
    assert_usual_viewer_is_served_beside(|n| request(n, "clip", 0x7f, &format!("at:x{n}")));
}

/// Guards against usual viewers that wait behind the releases of unknown sessions of one client.
#[test]
fn usual_viewers_are_served_beside_releases_of_unknown_sessions() {
    assert_usual_viewer_is_served_beside(|n| {
        format!(r#"{{"verb":"FINISH","tag":"{n:016x}","opts":{{}},"rc":16}}"#)
    });
}

/// Guards against usual viewers that are refused because the requests of one client, which its nodes answer with an
/// error, have taken all SETUPs that the connections to the nodes can carry.
#[test]
fn usual_viewers_are_served_beside_requests_that_nodes_fail() {
    assert_usual_viewer_is_served_beside(|n| request(n, "clip", 0xfa, &format!("viewer:{n:016x}")));
}
