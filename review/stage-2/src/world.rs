//! Stand-ins that speak the platform's protocol: the event bus, media nodes and viewers, and the process of a director.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

// Of the C library, which the standard library is linked with.
extern "C" {
    /// Changes the length of a listener's accept queue.
    fn listen(fd: i32, backlog: i32) -> i32;
    /// Here: has the kernel end a child when this process has ended.
    fn prctl(option: i32, argument: usize, a: usize, b: usize, c: usize) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: usize = 9;

struct Record {
    start: Instant,
    file: Mutex<File>,
}

static RECORD: OnceLock<Record> = OnceLock::new();

/// Opens the record. All times are seconds since then.
pub fn open_record(path: &str) -> std::io::Result<()> {
    let record = Record { start: Instant::now(), file: Mutex::new(File::create(path)?) };
    let _ = RECORD.set(record);
    Ok(())
}

pub fn now() -> f64 {
    RECORD.get().map_or(0.0, |record| record.start.elapsed().as_secs_f64())
}

/// Writes a line to the record.
pub fn note(text: impl AsRef<str>) {
    if let Some(record) = RECORD.get() {
        let mut file = record.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {}", record.start.elapsed().as_secs_f64(), text.as_ref());
    }
}

pub fn sleep(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds.max(0.0)));
}

/// Waits until the condition holds, or the time has passed; returns whether it holds.
pub fn wait_until(seconds: f64, mut condition: impl FnMut() -> bool) -> bool {
    let until = now() + seconds;
    loop {
        if condition() {
            return true;
        }
        if now() >= until {
            return false;
        }
        sleep(0.005);
    }
}

/// The text of a field of a message, or of a number.
pub fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let key = format!("\"{name}\":");
    let rest = &line[line.find(&key)? + key.len()..];
    if let Some(text) = rest.strip_prefix('"') {
        return text.split('"').next();
    }
    rest.split([',', '}']).next()
}

fn short(line: &str) -> String {
    let line = line.trim_end();
    if line.len() <= 220 {
        return line.to_string();
    }
    format!("{}... ({} bytes)", &line[..160], line.len())
}

// The event bus

/// The event bus: numbered events, read by long polls.
pub struct Bus {
    events: Mutex<Vec<String>>,
    published: Condvar,
    pub address: SocketAddr,
}

impl Bus {
    pub fn start() -> Arc<Bus> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let bus = Arc::new(Bus {
            events: Mutex::new(Vec::new()),
            published: Condvar::new(),
            address: listener.local_addr().unwrap(),
        });
        let server = bus.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        bus
    }

    /// Puts an event into the bus; from here on it counts as told.
    pub fn publish(&self, endpoints: &[String], snapshot: bool) {
        let mut events = self.events.lock().unwrap();
        let offset = events.len() + 1;
        let list = endpoints.join(",");
        note(format!("bus       event {offset}: {list}"));
        events.push(format!(
            r#"{{"offset":{offset},"topology":{{"index":{offset},"snapshot":{snapshot},"endpoints":[{list}]}}}}"#
        ));
        self.published.notify_all();
    }

    fn batch(events: &[String], from: usize) -> String {
        format!(r#"{{"offset":{},"batch":[{}]}}"#, events.len(), events[from.min(events.len())..].join(","))
    }

    /// The events so far, in the form of the configuration.
    pub fn known(&self) -> String {
        Bus::batch(&self.events.lock().unwrap(), 0)
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        loop {
            let mut request = String::new();
            if !reader.read_line(&mut request).is_ok_and(|read| read > 0) {
                return;
            }
            loop {
                let mut header = String::new();
                if !reader.read_line(&mut header).is_ok_and(|read| read > 0) {
                    return;
                }
                if header.trim().is_empty() {
                    break;
                }
            }
            let number = |name: &str| -> usize {
                let text = request.split(name).nth(1).unwrap_or("0");
                text.split(|c: char| !c.is_ascii_digit()).next().unwrap_or("0").parse().unwrap_or(0)
            };
            let (from, hold) = (number("from="), number("hold=").min(5000));
            let events = self.events.lock().unwrap();
            let hold = Duration::from_millis(hold as u64);
            let (events, _) =
                self.published.wait_timeout_while(events, hold, |events| events.len() <= from).unwrap();
            let body = Bus::batch(&events, from);
            drop(events);
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if stream.write_all(format!("{head}{body}").as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// An endpoint of the node list.
pub fn endpoint(name: &str, address: SocketAddr, group: usize, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"east","type":"std","group":{group},"status":"{status}","weight":9,"since_ms":0}}"#
    )
}

// Media nodes

/// What a node does to the answer of a SETUP.
#[derive(Clone, Copy, PartialEq)]
pub enum Spoil {
    /// The answer stops short on its way: its first part arrives, and nothing of the rest.
    StopShort,
}

/// A session at a node.
#[derive(Clone, Debug)]
pub struct NodeSession {
    pub ended: Option<f64>,
    /// The connection of its SETUP.
    connection: u64,
}

struct NodeConnection {
    id: u64,
    stream: TcpStream,
    /// A part of a line has been written, so that nothing that follows can be read.
    spoilt: bool,
}

#[derive(Default)]
struct NodeState {
    /// The process that accepts connections now.
    name: String,
    /// Cut off: nothing is read or written, no connection comes up.
    cut: bool,
    /// Connections up to this one lead to a machine that has vanished: they are open and silent.
    vanished_up_to: u64,
    connections: Vec<NodeConnection>,
    next_connection: u64,
    /// By tag. A vanished machine's are ended.
    sessions: BTreeMap<String, NodeSession>,
    /// All lines that arrived, with their times.
    received: Vec<(f64, String)>,
    held: Vec<(u64, String)>,
    repeated: Vec<String>,
    spoil: BTreeMap<String, Spoil>,
    answer_delay: f64,
    answer_bytes: usize,
    /// What arrives is of no use to this node, which answers "error".
    refuses: bool,
}

/// A media node. Sessions play until the case ends them.
pub struct Node {
    pub first_name: String,
    pub address: SocketAddr,
    listener: TcpListener,
    state: Mutex<NodeState>,
    changed: Condvar,
    fillers: Mutex<Vec<TcpStream>>,
    /// SETUPs of bad clients that were answered with an error.
    pub turned_away: AtomicU64,
}

/// The ids of bad clients' requests begin with this.
pub const BAD_TAG: &str = "0bad";

impl Node {
    pub fn start(name: &str) -> Arc<Node> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let node = Arc::new(Node {
            first_name: name.to_string(),
            address: listener.local_addr().unwrap(),
            listener,
            state: Mutex::new(NodeState { name: name.to_string(), answer_delay: 0.02, ..NodeState::default() }),
            changed: Condvar::new(),
            fillers: Mutex::new(Vec::new()),
            turned_away: AtomicU64::new(0),
        });
        let server = node.clone();
        thread::spawn(move || server.accept());
        node
    }

    pub fn set_answer_delay(&self, seconds: f64) {
        self.state.lock().unwrap().answer_delay = seconds;
    }

    /// Sets the length of the answers, without their line feed; 0 for the usual one.
    pub fn set_answer_bytes(&self, bytes: usize) {
        self.state.lock().unwrap().answer_bytes = bytes;
    }

    pub fn spoil(&self, tag: &str, how: Spoil) {
        self.state.lock().unwrap().spoil.insert(tag.to_string(), how);
    }

    pub fn session(&self, tag: &str) -> Option<NodeSession> {
        self.state.lock().unwrap().sessions.get(tag).cloned()
    }

    /// Lines that arrived about a session, with their times.
    pub fn received(&self, verb: &str, tag: &str) -> Vec<f64> {
        let state = self.state.lock().unwrap();
        let matches = |line: &str| field(line, "verb") == Some(verb) && field(line, "tag") == Some(tag);
        state.received.iter().filter(|(_, line)| matches(line)).map(|(at, _)| *at).collect()
    }

    pub fn open_connections(&self) -> usize {
        self.state.lock().unwrap().connections.len()
    }

    /// The number of the connection on which a session was set up.
    pub fn connection_of(&self, tag: &str) -> Option<u64> {
        self.session(tag).map(|session| session.connection)
    }

    /// Lets no new connection come up: the one place of the accept queue is taken.
    fn close_door(&self) {
        // SAFETY: a call of the C library with a descriptor that is open and numbers.
        unsafe { listen(self.listener.as_raw_fd(), 0) };
        let mut fillers = self.fillers.lock().unwrap();
        for _ in 0..8 {
            match TcpStream::connect_timeout(&self.address, Duration::from_millis(60)) {
                Ok(stream) => fillers.push(stream),
                Err(_) => return,
            }
        }
    }

    fn open_door(&self) {
        // SAFETY: as above.
        unsafe { listen(self.listener.as_raw_fd(), 512) };
        self.fillers.lock().unwrap().clear();
    }

    /// Cuts the machine off: open connections stay open and silent, new ones never come up.
    pub fn cut_off(&self) {
        self.state.lock().unwrap().cut = true;
        self.close_door();
        note(format!("{:9} is cut off", self.first_name));
    }

    /// Ends the cut: what was held on either side arrives.
    pub fn reconnect(&self) {
        note(format!("{:9} is reachable again", self.first_name));
        let held = {
            let mut state = self.state.lock().unwrap();
            state.cut = false;
            std::mem::take(&mut state.held)
        };
        for (connection, line) in held {
            self.send(connection, &line);
        }
        self.open_door();
        self.changed.notify_all();
    }

    /// The machine vanishes with its sessions.
    pub fn vanish(&self) {
        let at = now();
        let mut state = self.state.lock().unwrap();
        state.cut = true;
        state.vanished_up_to = state.next_connection;
        for session in state.sessions.values_mut().filter(|session| session.ended.is_none()) {
            session.ended = Some(at);
        }
        state.connections.clear_streams();
        drop(state);
        self.close_door();
        note(format!("{:9} vanishes with its sessions", self.first_name));
    }

    /// The process ends: its connections are reset and its sessions are cut. Another node's process starts at the address.
    pub fn replace_process(&self, name: &str) {
        let at = now();
        let mut state = self.state.lock().unwrap();
        for session in state.sessions.values_mut().filter(|session| session.ended.is_none()) {
            session.ended = Some(at);
        }
        state.repeated.clear();
        for connection in state.connections.drain(..) {
            let _ = connection.stream.shutdown(std::net::Shutdown::Both);
        }
        (state.name, state.refuses) = (name.to_string(), true);
        note(format!("{:9} ends with its sessions; {name} starts at its address", self.first_name));
    }

    /// Another node starts at the address.
    pub fn take_address(&self, name: &str) {
        note(format!("{name:9} starts at the address of {}", self.first_name));
        {
            let mut state = self.state.lock().unwrap();
            state.name = name.to_string();
            state.cut = false;
        }
        self.open_door();
        self.changed.notify_all();
    }

    /// Ends a session, and releases it on the connection of its SETUP or another one, and on the next one too.
    pub fn end_session(&self, tag: &str) {
        let (line, connection) = {
            let mut state = self.state.lock().unwrap();
            let Some(session) = state.sessions.get_mut(tag).filter(|session| session.ended.is_none()) else { return };
            session.ended = Some(now());
            let own = session.connection;
            let line = format!("{{\"verb\":\"FINISH\",\"tag\":\"{tag}\",\"opts\":{{}},\"rc\":16}}\n");
            state.repeated.push(line.clone());
            let open = state.connections.iter().find(|c| c.id == own).or(state.connections.first());
            (line, open.map(|c| c.id))
        };
        note(format!("{:9} ends {tag} by itself", self.first_name));
        if let Some(connection) = connection {
            self.send(connection, &line);
        }
    }

    fn accept(self: Arc<Node>) {
        loop {
            if self.state.lock().unwrap().cut {
                sleep(0.005);
                continue;
            }
            match self.listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    let node = self.clone();
                    thread::spawn(move || node.serve(stream));
                }
                Err(_) => sleep(0.003),
            }
        }
    }

    fn serve(self: Arc<Node>, stream: TcpStream) {
        let (id, repeated) = {
            let mut state = self.state.lock().unwrap();
            state.next_connection += 1;
            let id = state.next_connection;
            state.connections.push(NodeConnection { id, stream: stream.try_clone().unwrap(), spoilt: false });
            (id, std::mem::take(&mut state.repeated))
        };
        note(format!("{:9} connection {id} opened", self.name()));
        for line in repeated {
            self.send(id, &line);
        }
        let mut reader = BufReader::new(stream);
        loop {
            let mut line = String::new();
            let read = reader.read_line(&mut line);
            let mut state = self.state.lock().unwrap();
            while state.cut {
                state = self.changed.wait(state).unwrap();
            }
            if id <= state.vanished_up_to {
                // Nothing that this machine had is there any longer. The connection stays as it is.
                drop(state);
                loop {
                    sleep(60.0);
                }
            }
            if !read.is_ok_and(|count| count > 0) || !line.ends_with('\n') {
                state.connections.retain(|connection| connection.id != id);
                drop(state);
                note(format!("{:9} connection {id} closed by the director", self.name()));
                return;
            }
            if field(&line, "tag").is_some_and(|tag| tag.starts_with(BAD_TAG)) {
                drop(state);
                self.turn_away(id, &line);
                continue;
            }
            state.received.push((now(), line.clone()));
            drop(state);
            note(format!("{:9} <- {id} {}", self.name(), short(&line)));
            self.clone().handle(id, &line);
        }
    }

    /// Answers what a bad client's request brings: an error, which is not written to the record one by one.
    fn turn_away(&self, connection: u64, line: &str) {
        let (Some(verb), Some(tag)) = (field(line, "verb"), field(line, "tag")) else { return };
        let reply = match verb {
            "START" => format!("{{\"verb\":\"FINISH\",\"tag\":\"{tag}\",\"opts\":{{}},\"rc\":47}}\n"),
            "FINISH" => format!("{{\"verb\":\"FINISHED\",\"tag\":\"{tag}\",\"opts\":{{}}}}\n"),
            _ => return,
        };
        self.turned_away.fetch_add(u64::from(verb == "START"), Ordering::SeqCst);
        let mut state = self.state.lock().unwrap();
        if let Some(open) = state.connections.iter_mut().find(|c| c.id == connection) {
            let _ = open.stream.write_all(reply.as_bytes());
        }
    }

    fn name(&self) -> String {
        self.state.lock().unwrap().name.clone()
    }

    fn handle(self: Arc<Node>, connection: u64, line: &str) {
        let (Some(verb), Some(tag)) = (field(line, "verb"), field(line, "tag").map(str::to_string)) else { return };
        match verb {
            "ECHO" => self.send(
                connection,
                &format!("{{\"verb\":\"ECHOED\",\"tag\":\"{tag}\",\"opts\":{{\"load\":\"x0:0.1\"}},\"rc\":1}}\n"),
            ),
            "FINISH" => {
                if let Some(session) = self.state.lock().unwrap().sessions.get_mut(&tag) {
                    session.ended.get_or_insert(now());
                }
                self.send(connection, &format!("{{\"verb\":\"FINISHED\",\"tag\":\"{tag}\",\"opts\":{{}}}}\n"));
            }
            "START" => {
                let delay = self.state.lock().unwrap().answer_delay;
                let node = self.clone();
                thread::spawn(move || {
                    sleep(delay);
                    node.answer(connection, &tag);
                });
            }
            _ => {}
        }
    }

    /// The session stands, unless its SETUP was given up with its connection.
    fn answer(&self, connection: u64, tag: &str) {
        let (spoil, bytes) = {
            let mut state = self.state.lock().unwrap();
            if !state.connections.iter().any(|c| c.id == connection) {
                return;
            }
            let cancelled = state.received.iter().any(|(_, line)| {
                field(line, "verb") == Some("FINISH") && field(line, "tag") == Some(tag)
            });
            if cancelled {
                return;
            }
            if state.refuses {
                drop(state);
                let line = format!("{{\"verb\":\"FINISH\",\"tag\":\"{tag}\",\"opts\":{{}},\"rc\":47}}\n");
                return self.send(connection, &line);
            }
            let session = NodeSession { ended: None, connection };
            state.sessions.insert(tag.to_string(), session);
            (state.spoil.remove(tag), state.answer_bytes)
        };
        let name = self.name();
        let mut line = format!(
            "{{\"verb\":\"STARTED\",\"tag\":\"{tag}\",\"opts\":{{}},\"blob\":\"{name}-{tag}\\r\\nm=audio 31000 RTP/AVP 0\\r\\n"
        );
        let rest = "\"}";
        while line.len() + rest.len() < bytes {
            line.push('x');
        }
        line.push_str(rest);
        line.push('\n');
        match spoil {
            None => self.send(connection, &line),
            Some(Spoil::StopShort) => {
                self.send(connection, &line[..40]);
                if let Some(c) = self.state.lock().unwrap().connections.iter_mut().find(|c| c.id == connection) {
                    c.spoilt = true;
                }
            }
        }
    }

    fn send(&self, connection: u64, line: &str) {
        let mut state = self.state.lock().unwrap();
        if state.cut {
            state.held.push((connection, line.to_string()));
            return;
        }
        let name = state.name.clone();
        let Some(open) = state.connections.iter_mut().find(|c| c.id == connection) else { return };
        note(format!("{name:9} -> {connection} {}{}", short(line), if line.ends_with('\n') { "" } else { " (no more of it)" }));
        if !open.spoilt {
            let _ = open.stream.write_all(line.as_bytes());
        }
    }
}

trait ClearStreams {
    fn clear_streams(&mut self);
}

impl ClearStreams for Vec<NodeConnection> {
    /// Forgets the connections without closing them: they stay open and silent.
    fn clear_streams(&mut self) {
        for connection in self.drain(..) {
            std::mem::forget(connection.stream);
        }
    }
}

// Viewers

static NEXT_TAG: AtomicU64 = AtomicU64::new(0x5eed_0000_0000_0001);

/// A viewer's connection, with all that came on it.
pub struct Viewer {
    stream: Mutex<TcpStream>,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

/// What a SETUP asks for.
pub struct Request<'a> {
    pub class: &'a str,
    pub left_ms: u64,
    pub home: usize,
    pub copies: usize,
}

impl Viewer {
    pub fn connect(address: SocketAddr) -> Option<Viewer> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2)).ok()?;
        let _ = stream.set_nodelay(true);
        let lines = Arc::new(Mutex::new(Vec::new()));
        let (reader, sink) = (stream.try_clone().ok()?, lines.clone());
        thread::spawn(move || {
            let mut reader = BufReader::new(reader);
            loop {
                let mut line = String::new();
                if !reader.read_line(&mut line).is_ok_and(|read| read > 0) {
                    note("viewer    connection closed");
                    return;
                }
                note(format!("viewer    <- {}", short(&line)));
                sink.lock().unwrap().push((now(), line));
            }
        });
        Some(Viewer { stream: Mutex::new(stream), lines })
    }

    pub fn send(&self, line: &str) {
        note(format!("viewer    -> {}", short(line)));
        let _ = self.stream.lock().unwrap().write_all(line.as_bytes());
    }

    /// Sends a SETUP, and returns its id.
    pub fn ask(&self, request: &Request) -> String {
        let tag = format!("{:016x}", NEXT_TAG.fetch_add(1, Ordering::SeqCst));
        self.ask_as(&tag, request);
        tag
    }

    /// Sends a SETUP under this id.
    pub fn ask_as(&self, tag: &str, request: &Request) {
        let Request { class, left_ms, home, copies } = request;
        self.send(&format!(
            "{{\"verb\":\"START\",\"tag\":\"{tag}\",\"opts\":{{\"class\":\"{class}\",\"left\":\"{left_ms}\",\"key\":\"7f3a9c21e0b4d655\",\"extras\":\"home:{home};copies:{copies};top:1;viewer:00000000b4d65521\"}},\"blob\":\"{tag}\\r\\nm=audio 31000 RTP/AVP 0\\r\\n\"}}\n"
        ));
    }

    /// Ends a session or gives a request up.
    pub fn finish(&self, tag: &str) {
        self.send(&format!("{{\"verb\":\"FINISH\",\"tag\":\"{tag}\",\"opts\":{{}},\"rc\":16}}\n"));
    }

    /// What came about a session: time, verb and cause.
    pub fn heard(&self, tag: &str) -> Vec<(f64, String, Option<u16>)> {
        let lines = self.lines.lock().unwrap();
        let about = lines.iter().filter(|(_, line)| field(line, "tag") == Some(tag));
        about
            .map(|(at, line)| {
                let cause = field(line, "rc").and_then(|rc| rc.parse().ok());
                (*at, field(line, "verb").unwrap_or("?").to_string(), cause)
            })
            .collect()
    }

    pub fn started(&self, tag: &str) -> bool {
        self.heard(tag).first().is_some_and(|(_, verb, _)| verb == "STARTED")
    }

    /// When the viewer was told that a session that stood is over.
    pub fn told_over(&self, tag: &str) -> Option<f64> {
        let heard = self.heard(tag);
        let mut after = heard.iter().skip_while(|(_, verb, _)| verb != "STARTED").skip(1);
        after.find(|(_, verb, _)| verb == "FINISH").map(|(at, ..)| *at)
    }
}

// Bad clients

/// What bad clients sent and got.
#[derive(Default)]
pub struct BadTraffic {
    pub connections: AtomicU64,
    pub sent: AtomicU64,
    pub answered: AtomicU64,
}

/// A bad client: hundreds of requests at once, and the same again as soon as they are turned away. It sends at full speed
/// and reads what is sent to it.
pub fn send_hundreds(number: usize, address: SocketAddr, until: f64, traffic: &Arc<BadTraffic>) {
    let mut next: u64 = 0;
    let text = "y".repeat(15_700);
    while now() < until {
        let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(2)) else {
            sleep(0.05);
            continue;
        };
        let _ = stream.set_write_timeout(Some(Duration::from_secs(3)));
        traffic.connections.fetch_add(1, Ordering::SeqCst);
        let mut sent = 0;
        for _ in 0..400 {
            next += 1;
            let line = format!(
                "{{\"verb\":\"START\",\"tag\":\"{BAD_TAG}{number:04x}{next:08x}\",\"opts\":{{\"class\":\"clip\",\"left\":\"3000\",\"key\":\"7f3a9c21e0b4d655\",\"extras\":\"home:0;copies:8;top:1;viewer:00000000b4d65521\"}},\"blob\":\"{text}\"}}\n"
            );
            if stream.write_all(line.as_bytes()).is_err() {
                break;
            }
            sent += 1;
            traffic.sent.fetch_add(1, Ordering::SeqCst);
        }
        // The answers to all of them fit into the socket's buffer, so that reading them now keeps nobody waiting.
        let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
        let (mut reader, mut line, mut answered) = (BufReader::new(stream), String::new(), 0);
        while answered < sent && reader.read_line(&mut line).is_ok_and(|read| read > 0) {
            answered += 1;
            traffic.answered.fetch_add(1, Ordering::SeqCst);
            line.clear();
        }
    }
}

// The director

/// A director's process, started as the deploy file does.
pub struct Director {
    child: Child,
    pub address: SocketAddr,
    folder: PathBuf,
    stopped: bool,
}

/// Figures of the settings that differ between cases.
pub struct Settings {
    /// SETUPs that one connection to a node may carry.
    pub streams: usize,
    pub memory_mb: usize,
    pub sockets: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { streams: 32, memory_mb: 96, sockets: 512 }
    }
}

impl Director {
    /// Starts a director from the repository's root, and waits until a test is passed.
    pub fn start(bus: &Bus, settings: &Settings) -> Option<Director> {
        let address = TcpListener::bind("127.0.0.1:0").ok()?.local_addr().ok()?;
        let folder = std::env::temp_dir().join(format!("stage-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).ok()?;
        let path = folder.join("config.json");
        let Settings { streams, memory_mb, sockets } = settings;
        let text = format!(
            r#"{{"name":"n1","listen":"{address}","seed":"{:x}","bus":"{}",
            "limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"known":{},
            "settings":{{"balancers":2,"myNumber":0,"myZone":0,"azs":["east"],"hostTypes":["std"],
            "familyInfo":{{"ladderKb":[100,200],"levelWorth":[0.5,1],"linkUnitKb":20000,"positions":8,"kindStreams":[400],"see":800}},
            "limits":{{"mostTries":3,"cancelling":true,"probing":false,"dialTimeout":250,"maxStreams":{streams}}},
            "rules":{{"drainGrace":500,"fall":2000,"fallMultiple":2,"startCapacity":0.9,"warmAfter":1000}},
            "telemetry":{{"fields":["x0"],"via":"piggyback"}},
            "services":[{{"name":"clip","aim":1000,"deadline":3000,"credit":1,"effect":"retryable","group":"all","repeatWindow":0}},
                        {{"name":"once","aim":1000,"deadline":3000,"credit":1,"effect":"fragile","group":"all","repeatWindow":0}}]}}}}"#,
            std::process::id(),
            bus.address,
            bus.known()
        );
        std::fs::write(&path, text).ok()?;
        let log = File::create(folder.join("director.log")).ok()?;
        let mut command = Command::new("/bin/sh");
        // SAFETY: a system call that changes nothing but the child.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
                Ok(())
            });
        }
        let child = command
            .args(["-c", "exec target/release/ashglade platform"])
            .env("BALANCER_NAME", "n1")
            .env("BALANCER_LISTEN", address.to_string())
            .env("BALANCER_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().ok()?)
            .stderr(log)
            .spawn()
            .ok()?;
        note(format!("director  started: process {}", child.id()));
        let director = Director { child, address, folder, stopped: false };
        let ready = wait_until(30.0, || {
            let Ok(mut stream) = TcpStream::connect(address) else { return false };
            let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
            let _ = stream.write_all(b"{\"verb\":\"ECHO\",\"tag\":\"00000000000000ee\",\"opts\":{},\"rc\":0}\n");
            let mut reply = [0; 256];
            let read = stream.read(&mut reply).unwrap_or(0);
            String::from_utf8_lossy(&reply[..read]).contains("\"rc\":1")
        });
        note(format!("director  ready: {ready}"));
        ready.then_some(director)
    }

    fn signal(&self, name: &str) {
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {}", self.child.id())]).status();
    }

    /// The process stands still for this time.
    pub fn stand_still(&mut self, seconds: f64) {
        note("director  stands still");
        let from = now();
        self.stopped = true;
        self.signal("STOP");
        sleep(seconds - (now() - from));
        self.signal("CONT");
        self.stopped = false;
        note(format!("director  goes on after {:.3} s", now() - from));
    }

    pub fn pause(&mut self) {
        note("director  stands still");
        self.stopped = true;
        self.signal("STOP");
    }

    pub fn go_on(&mut self) {
        self.signal("CONT");
        self.stopped = false;
        note("director  goes on");
    }

    /// Memory that the process holds of its own, without the pages of its program file, in KiB.
    pub fn memory_kib(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
        line.split_whitespace().next()?.parse().ok()
    }

    /// Whether the process has ended by itself.
    pub fn has_crashed(&mut self) -> bool {
        self.child.try_wait().ok().flatten().is_some()
    }
}

impl Drop for Director {
    fn drop(&mut self) {
        if self.stopped {
            self.signal("CONT");
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Ok(log) = std::fs::read_to_string(self.folder.join("director.log")) {
            for line in log.lines().take(400) {
                note(format!("log       {line}"));
            }
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
