//! Test support: runs the built program as the platform starts it, with test doubles of the event bus, of
//! media nodes and of viewers on loopback.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use socket2::SockRef;

/// Timeout of every wait for the program.
pub const TIMEOUT: Duration = Duration::from_secs(10);

/// A test double of the event bus. It holds all events published so far; polls wait for further events.
#[derive(Default)]
pub struct Bus {
    events: Mutex<Vec<String>>,
    published: Condvar,
    /// Faults of the next replies that contain events; the last element applies first.
    pub faults: Mutex<Vec<ReplyFault>>,
    stopped: AtomicBool,
}

/// A fault of one reply of the bus.
#[derive(PartialEq)]
pub enum ReplyFault {
    /// Closes the connection in the middle of an event.
    Disconnect,
    /// Stops in the middle of an event and keeps the connection open.
    Stall,
    /// Sends nothing and keeps the connection open.
    NoReply,
}

impl Bus {
    /// Publishes an event with these endpoints.
    pub fn publish(&self, endpoints: &str, snapshot: bool) {
        let mut events = self.events.lock().unwrap();
        let offset = events.len() + 1;
        events.push(format!(
            r#"{{"offset":{offset},"topology":{{"index":{offset},"snapshot":{snapshot},"endpoints":[{endpoints}]}}}}"#
        ));
        self.published.notify_all();
    }

    /// Starts to serve polls at a free address. Returns the address and a receiver of the `from` offset of
    /// each poll.
    pub fn serve(self: &Arc<Bus>) -> (SocketAddr, Receiver<usize>) {
        self.serve_at(([127, 0, 0, 1], 0).into())
    }

    /// Like [`Bus::serve`], at the given address.
    pub fn serve_at(self: &Arc<Bus>, address: SocketAddr) -> (SocketAddr, Receiver<usize>) {
        self.stopped.store(false, Ordering::SeqCst);
        let listener = TcpListener::bind(address).unwrap();
        let address = listener.local_addr().unwrap();
        let (poll_sender, polls) = channel();
        let bus = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                if bus.stopped.load(Ordering::SeqCst) {
                    break;
                }
                let (bus, poll_sender) = (bus.clone(), poll_sender.clone());
                std::thread::spawn(move || bus.serve_connection(stream.unwrap(), &poll_sender));
            }
        });
        (address, polls)
    }

    /// Stops listening at all addresses and closes the open connections.
    pub fn stop(&self, address: SocketAddr) {
        self.stopped.store(true, Ordering::SeqCst);
        // Wakes the listener, which then closes.
        let _ = TcpStream::connect(address);
    }

    fn serve_connection(&self, mut stream: TcpStream, poll_sender: &Sender<usize>) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut line = String::new();
        while reader.read_line(&mut line).is_ok_and(|read| read > 0) && !self.stopped.load(Ordering::SeqCst) {
            if let Some(query) = line.strip_prefix("GET /bus/read?from=") {
                let from: usize = query.split('&').next().unwrap().parse().unwrap();
                let _ = poll_sender.send(from);
                let hold = Duration::from_millis(300);
                let events = self.events.lock().unwrap();
                let (events, _) =
                    self.published.wait_timeout_while(events, hold, |e| e.len() <= from).unwrap();
                let body = format!(r#"{{"offset":{},"batch":[{}]}}"#, events.len(), events[from..].join(","));
                let fault = if events.len() > from { self.faults.lock().unwrap().pop() } else { None };
                drop(events);
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                if fault == Some(ReplyFault::NoReply) {
                    line.clear();
                    continue;
                }
                let sent_body = if fault.is_some() { &body[..body.len() / 2] } else { &body };
                if stream.write_all(format!("{head}{sent_body}").as_bytes()).is_err()
                    || fault == Some(ReplyFault::Disconnect)
                {
                    return;
                }
            }
            line.clear();
        }
    }
}

/// A test double of a media node. Its reaction to a SETUP depends on the title: it sends a malformed answer
/// for `bad`, closes the connection for `dead`, reports an error for `fa`, and accepts any other.
pub struct Node {
    pub address: SocketAddr,
    /// The lines received on all connections.
    pub received: Receiver<String>,
}

impl Node {
    pub fn start() -> Node {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, received) = channel();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let sender = sender.clone();
                std::thread::spawn(move || serve_node_connection(stream.unwrap(), &sender));
            }
        });
        Node { address, received }
    }

    /// Returns the next received line that is not a health check.
    pub fn next_line(&self) -> String {
        loop {
            let line = self.received.recv_timeout(TIMEOUT).unwrap();
            if !line.contains("ECHO") {
                return line;
            }
        }
    }
}

fn serve_node_connection(mut stream: TcpStream, received: &Sender<String>) {
    let reader = BufReader::new(stream.try_clone().unwrap());
    for line in reader.lines() {
        let Ok(line) = line else { return };
        let field = |name: &str| {
            let from = line.find(&format!("\"{name}\":\""))? + name.len() + 4;
            line[from..].split('"').next().map(str::to_string)
        };
        let _ = received.send(line.clone());
        let tag = field("tag").unwrap_or_default();
        let reply = match (field("verb").as_deref(), field("key").as_deref()) {
            (Some("ECHO"), _) => {
                format!("{{\"verb\":\"ECHOED\",\"tag\":\"{tag}\",\"opts\":{{}},\"rc\":1}}\n")
            }
            // A malformed answer. The director closes the connection and opens another.
            (Some("START"), Some("bad")) => "{\"verb\":\"STARTED\",\"tag\":\"\u{1}\n".to_string(),
            (Some("START"), Some("dead")) => return,
            (Some("START"), Some("fa")) => {
                format!("{{\"verb\":\"FINISH\",\"tag\":\"{tag}\",\"opts\":{{}},\"rc\":47}}\n")
            }
            (Some("START"), _) => format!(
                "{{\"verb\":\"PENDING\",\"tag\":\"{tag}\",\"opts\":{{}}}}\n{{\"verb\":\"STARTED\",\"tag\":\"{tag}\",\"opts\":{{\"load\":\"x0:0.1\"}},\"blob\":\"for {tag}\\r\\n\"}}\n"
            ),
            _ => continue,
        };
        if stream.write_all(reply.as_bytes()).is_err() {
            return;
        }
    }
}

/// A viewer's connection to the program.
pub struct Viewer {
    pub reader: BufReader<TcpStream>,
}

impl Viewer {
    pub fn connect(address: SocketAddr) -> Viewer {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        Viewer { reader: BufReader::new(stream) }
    }

    /// Connects as soon as the address accepts connections.
    pub fn connect_when_listening(address: SocketAddr) -> Viewer {
        let started_at = Instant::now();
        while started_at.elapsed() < TIMEOUT {
            if TcpStream::connect(address).is_ok() {
                break;
            }
            std::thread::yield_now();
        }
        Viewer::connect(address)
    }

    pub fn send_line(&mut self, line: &str) {
        self.reader.get_mut().write_all(format!("{line}\n").as_bytes()).unwrap();
    }

    /// Returns the next line, or an empty string if the connection is closed.
    pub fn receive(&mut self) -> String {
        let mut line = String::new();
        let _ = self.reader.read_line(&mut line);
        line.trim_end().to_string()
    }

    /// Requests a session for a title that the nodes of cell 0 hold.
    pub fn request_session(&mut self, tag: u64, key: &str) {
        self.request_session_at(tag, key, 0, 1);
    }

    /// Requests a session for a title that the nodes of `copies` cells hold, from cell `home` on.
    pub fn request_session_at(&mut self, tag: u64, key: &str, home: u16, copies: u16) {
        self.send_line(&setup_line(tag, key, home, copies));
    }

    /// Sends a health check and returns the answer.
    pub fn health_check(&mut self) -> String {
        self.send_line(r#"{"verb":"ECHO","tag":"00000000000000ee","opts":{},"rc":0}"#);
        self.receive()
    }
}

/// Filter of the log lines of a director on the platform.
const PLATFORM_LOG: &str = "info,ashglade_platform=trace";

/// A running process of the built program. Dropping it kills the process.
pub struct Program {
    pub child: Child,
    /// The lines of its log. A thread reads them all the time, so that the process never blocks on writing
    /// them.
    log: Receiver<String>,
    pub listen: SocketAddr,
    pub config: PathBuf,
    _directory: tempfile::TempDir,
}

/// Returns an address with a port that was free a moment ago. The loopback address is used by this call
/// alone, so that no connection of a concurrent test can take the port in the meantime.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(0);
    let [.., high, low] = std::process::id().to_be_bytes();
    let address = [127, 64 + high % 64, low, 1 + NEXT.fetch_add(1, Ordering::SeqCst) % 250];
    TcpListener::bind(SocketAddr::from((address, 0))).unwrap().local_addr().unwrap()
}

/// Returns a configuration for the program; `known` is the batch of bus events with the nodes known at start.
pub fn config(listen: SocketAddr, bus: SocketAddr, known: &str) -> String {
    format!(
        r#"{{"name": "d0", "listen": "{listen}", "seed": "1", "bus": "{bus}",
        "limits": {{"cores": 0.5, "memory_mb": 64, "sockets": 64}}, "known": {known},
        "settings": {{"balancers": 1, "myZone": 0, "azs": ["east"], "hostTypes": ["std"],
        "familyInfo": {{"ladderKb": [100, 200], "levelWorth": [0.5, 1], "linkUnitKb": 1000, "positions": 2,
            "kindStreams": [200], "see": 800}},
        "limits": {{"mostTries": 2, "cancelling": true, "dialTimeout": 250}},
        "rules": {{"fall": 2000, "fallMultiple": 2, "startCapacity": 0.9, "warmAfter": 1000}},
        "services": [{{"name": "clip", "aim": 800, "deadline": 3000, "credit": 1, "effect": "retryable"}}]}}}}"#
    )
}

/// Writes settings and a node list for `ashglade serve` as director `number` of two, with this `talk` block.
/// Returns the settings file.
pub fn write_serve_settings(directory: &Path, number: usize, listen: SocketAddr, talk: &str) -> PathBuf {
    let settings = format!(
        r#"zone: "a" model {{ name: "m" places: 4 }} rung {{ kb_per_s: 4 utility: 1 }}
        group {{ name: "clip" start_target_ms: 800 setup_timeout_ms: 3000 utility: 1 care: SAFE }}
        title {{ name: "t" }} links {{ unit_kb_per_s: 100 cells: 1 racks: 1 }}
        limits {{ setups_per_session: 2 answer_margin_ms: 100 most_sessions: 10 }}
        cold {{ from: 0.4 warm_after_ms: 4000 fall_multiple: 3 fall_span_ms: 1000 }}
        reports {{ probe_timeout_ms: 250 notice_ms: 1000 }} director {{ number: {number} directors: 2 zone: "a" seed: 1 }}
        front {{ listen: "{listen}" default_group: "clip" most_connections: 10 session_timeout_s: 60 write_timeout_ms: 5000
            connect_timeout_ms: 250 answer_timeout_ms: 1000 idle_connections: 1 keep_alive_ms: 2000 drain_ms: 1000
            list_poll_ms: 1000 }}
        box_list: "boxes.txtpb" {talk}"#
    );
    let file = directory.join(format!("headend-{number}.txtpb"));
    std::fs::write(&file, settings).unwrap();
    let box_list = "generation: 1 box { name: \"n\" address: \"127.0.0.1:9\" zone: \"a\" model: \"m\" cell: 0 weight: 1 }";
    std::fs::write(directory.join("boxes.txtpb"), box_list).unwrap();
    file
}

impl Program {
    /// Starts the program and waits until it serves.
    pub fn start(bus: SocketAddr) -> Program {
        Program::start_with(bus, |text| text)
    }

    /// Like [`Program::start`], with a changed configuration.
    pub fn start_with(bus: SocketAddr, change: impl Fn(String) -> String) -> Program {
        Program::start_with_log(bus, PLATFORM_LOG, change)
    }

    /// Like [`Program::start_with`], with this filter of log lines.
    pub fn start_with_log(bus: SocketAddr, log_filter: &str, change: impl Fn(String) -> String) -> Program {
        let directory = tempfile::tempdir().unwrap();
        let (file, listen) = (directory.path().join("config.json"), free_address());
        std::fs::write(&file, change(config(listen, bus, r#"{"offset": 0, "batch": []}"#))).unwrap();
        let mut program = Program::spawn_with_log(directory, file, listen, log_filter);
        program.wait_for_log("serving");
        program
    }

    /// Starts the program without waiting for it.
    pub fn spawn(directory: tempfile::TempDir, config: PathBuf, listen: SocketAddr) -> Program {
        Program::spawn_with_log(directory, config, listen, PLATFORM_LOG)
    }

    /// Starts the program with these limits and media nodes that take any number of sessions, and waits until it
    /// knows the nodes and passes a health check.
    pub fn start_with_limits(memory_mb: u64, sockets: usize, nodes: &str) -> Program {
        let bus = Arc::new(Bus::default());
        let (address, polls) = bus.serve();
        let program = Program::start_with_log(address, "info", |text| {
            text.replace(
                r#""memory_mb": 64, "sockets": 64"#,
                &format!(r#""memory_mb": {memory_mb}, "sockets": {sockets}"#),
            )
            .replace(r#""kindStreams": [200]"#, r#""kindStreams": [90000]"#)
        });
        bus.publish(nodes, true);
        while polls.recv_timeout(TIMEOUT).unwrap() < 1 {}
        assert!(Viewer::connect(program.listen).health_check().contains(r#""rc":1"#));
        program
    }

    fn spawn_with_log(
        directory: tempfile::TempDir,
        config: PathBuf,
        listen: SocketAddr,
        log_filter: &str,
    ) -> Program {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ashglade"));
        command.args(["--log", log_filter, "platform"]).env("BALANCER_CONFIG", &config);
        Program::spawn_command(command, directory, config, listen)
    }

    /// Starts `ashglade serve` and waits until it serves.
    pub fn start_rtsp() -> Program {
        let (directory, listen) = (tempfile::tempdir().unwrap(), free_address());
        let settings = write_serve_settings(directory.path(), 0, listen, "");
        let mut command = Command::new(env!("CARGO_BIN_EXE_ashglade"));
        command.arg("serve").arg("--settings").arg(&settings);
        let mut program = Program::spawn_command(command, directory, settings, listen);
        program.wait_for_log("serving");
        program
    }

    fn spawn_command(
        mut command: Command,
        directory: tempfile::TempDir,
        config: PathBuf,
        listen: SocketAddr,
    ) -> Program {
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let stderr = BufReader::new(child.stderr.take().unwrap());
        let (sender, log) = channel();
        std::thread::spawn(move || {
            stderr.lines().map_while(Result::ok).for_each(|line| drop(sender.send(line)));
        });
        Program { child, log, listen, config, _directory: directory }
    }

    /// Waits for a log line that contains `text`. Panics with the log so far and, if the process has ended,
    /// its exit status.
    pub fn wait_for_log(&mut self, text: &str) {
        let mut seen = Vec::new();
        loop {
            match self.log.recv_timeout(TIMEOUT) {
                Ok(line) if line.contains(text) => return,
                Ok(line) => seen.push(line),
                Err(error) => {
                    let status = self.child.try_wait();
                    panic!("no log line with {text:?}: {error}; exit {status:?}; log:\n{}", seen.join("\n"))
                }
            }
        }
    }

    /// Suspends the process. Data that arrives meanwhile is in its socket buffers, all at once, when it
    /// resumes.
    pub fn suspend(&self) {
        self.signal(Signal::SIGSTOP);
        let stat = format!("/proc/{}/stat", self.child.id());
        while !std::fs::read_to_string(&stat).unwrap().contains(") T ") {
            std::thread::yield_now();
        }
    }

    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Waits until the process ends. Returns its exit code, or none if it had to be killed, and its log.
    pub fn wait_for_exit(&mut self) -> (Option<i32>, String) {
        let log = std::iter::from_fn(|| self.log.recv_timeout(TIMEOUT).ok()).collect::<Vec<_>>().join("\n");
        let _ = self.child.kill();
        (self.child.wait().unwrap().code(), log)
    }

    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).unwrap();
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the memory in kB that a process holds for itself, without the pages of its program file, or `None` if it
/// can't be read.
pub fn private_memory_kb(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let value = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
    value.split_whitespace().next()?.parse().ok()
}

/// Returns a bus endpoint for a node.
pub fn endpoint(name: &str, node: &Node, cell: u16) -> String {
    endpoint_at(name, node.address, cell)
}

/// A media node controlled by the test, which accepts each connection and sends each line explicitly.
pub struct ScriptedNode {
    listener: TcpListener,
    pub address: SocketAddr,
    /// Occupies the only place in the listener's backlog.
    backlog_filler: Option<TcpStream>,
}

impl ScriptedNode {
    pub fn start() -> ScriptedNode {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        SockRef::from(&listener).set_read_timeout(Some(TIMEOUT)).unwrap();
        let address = listener.local_addr().unwrap();
        ScriptedNode { listener, address, backlog_filler: None }
    }

    /// Starts a node whose connections are not established before [`ScriptedNode::open`].
    pub fn with_full_backlog() -> ScriptedNode {
        let mut node = ScriptedNode::start();
        SockRef::from(&node.listener).listen(0).unwrap();
        node.backlog_filler = Some(TcpStream::connect(node.address).unwrap());
        node
    }

    /// Waits until a connection attempt to the node is in progress.
    pub fn wait_for_connect(&self) {
        // The remote address and the state SYN_SENT, as in `/proc/net/tcp`.
        let line = format!("{} 02 ", proc_address(self.address));
        wait_for_tcp_table("a connection attempt", |table| table.contains(&line));
    }

    /// Makes room in the backlog and accepts the connection in progress, whose SYN the kernel sends again
    /// each second.
    pub fn open(&mut self) -> DirectorConnection {
        if self.backlog_filler.take().is_some() {
            drop(self.listener.accept().unwrap());
        }
        self.accept()
    }

    pub fn accept(&self) -> DirectorConnection {
        let (stream, _) = self.listener.accept().unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        DirectorConnection { reader: BufReader::new(stream) }
    }
}

/// A director's connection to a scripted node, seen from the node.
pub struct DirectorConnection {
    reader: BufReader<TcpStream>,
}

impl DirectorConnection {
    /// Returns the next line that is not a health check. Health checks are answered as passed.
    pub fn receive(&mut self) -> String {
        loop {
            let mut line = String::new();
            self.reader.read_line(&mut line).unwrap();
            if !line.contains("ECHO") {
                return line.trim_end().to_string();
            }
            self.send_line(&line.trim_end().replace("ECHO", "ECHOED"));
        }
    }

    pub fn send_line(&mut self, line: &str) {
        self.reader.get_mut().write_all(format!("{line}\n").as_bytes()).unwrap();
    }

    /// Answers a request; `rest` holds further JSON members.
    pub fn respond(&mut self, verb: &str, tag: u64, rest: &str) {
        self.send_line(&format!(r#"{{"verb":"{verb}","tag":"{tag:016x}","opts":{{}},{rest}}}"#));
    }

    pub fn addresses(&self) -> ConnectionAddresses {
        ConnectionAddresses::of(self.reader.get_ref())
    }

    /// Waits until data has arrived, without reading it.
    pub fn wait_for_data(&self) {
        assert!(self.reader.get_ref().peek(&mut [0]).unwrap() > 0);
    }

    /// Resets the connection and discards unread data.
    pub fn reset(self) {
        reset(self.reader.get_ref());
    }
}

/// Returns an address in the notation of `/proc/net/tcp`.
fn proc_address(address: SocketAddr) -> String {
    let SocketAddr::V4(address) = address else { panic!("{address} is not an IPv4 address") };
    format!("{:08X}:{:04X}", u32::from(*address.ip()).swap_bytes(), address.port())
}

/// Waits until `/proc/net/tcp` meets a condition; `what` names it in the panic message.
fn wait_for_tcp_table(what: &str, condition: impl Fn(&str) -> bool) {
    let started_at = Instant::now();
    while !condition(&std::fs::read_to_string("/proc/net/tcp").unwrap()) {
        assert!(started_at.elapsed() < TIMEOUT, "/proc/net/tcp does not show {what}");
        std::thread::yield_now();
    }
}

/// Both addresses of a connection to the program, which may be closed by now.
pub struct ConnectionAddresses {
    local: SocketAddr,
    remote: SocketAddr,
}

impl ConnectionAddresses {
    fn of(stream: &TcpStream) -> ConnectionAddresses {
        ConnectionAddresses { local: stream.local_addr().unwrap(), remote: stream.peer_addr().unwrap() }
    }

    /// Waits until the close has arrived at the suspended program: its socket is in the state CLOSE_WAIT.
    pub fn wait_for_close(&self) {
        let line = format!("{} {} 08 ", proc_address(self.remote), proc_address(self.local));
        wait_for_tcp_table("a close", |table| table.contains(&line));
    }

    /// Waits until what was sent to the suspended program has arrived at its socket: data, a close or a
    /// reset.
    pub fn wait_for_delivery(&self) {
        let line = format!("{} {} ", proc_address(self.remote), proc_address(self.local));
        wait_for_tcp_table("the sent data", |table| {
            let Some((_, rest)) = table.split_once(&line) else { return true };
            let mut fields = rest.split_whitespace();
            let (closed, queues) = (fields.next() == Some("08"), fields.next().unwrap_or_default());
            closed || !queues.ends_with(":00000000")
        });
    }
}

fn reset(stream: &TcpStream) {
    SockRef::from(stream).set_linger(Some(Duration::ZERO)).unwrap();
}

impl Viewer {
    pub fn addresses(&self) -> ConnectionAddresses {
        ConnectionAddresses::of(self.reader.get_ref())
    }

    /// Sends a release, which cancels a SETUP that has no answer yet.
    pub fn release(&mut self, tag: u64) {
        self.send_line(&format!(r#"{{"verb":"FINISH","tag":"{tag:016x}","opts":{{}},"rc":16}}"#));
    }

    /// Resets the connection.
    pub fn reset(self) {
        reset(self.reader.get_ref());
    }
}

/// Returns a SETUP request for a title that the nodes of `copies` cells hold, from cell `home` on.
pub fn setup_line(tag: u64, key: &str, home: u16, copies: u16) -> String {
    format!(
        r#"{{"verb":"START","tag":"{tag:016x}","opts":{{"class":"clip","left":"3000","key":"{key}","extras":"home:{home};copies:{copies};top:1"}},"blob":"v=0"}}"#
    )
}

/// Returns a bus endpoint for the address of a node.
pub fn endpoint_at(name: &str, address: SocketAddr, cell: u16) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"east","type":"std","group":{cell},"status":"up","weight":9,"since_ms":0}}"#
    )
}

/// Clients that connect, send nothing, and reconnect as soon as they are disconnected, until this is dropped.
pub struct ReconnectingClients(Arc<AtomicBool>);

impl ReconnectingClients {
    pub fn start(address: SocketAddr, clients: usize) -> ReconnectingClients {
        let stopped = Arc::new(AtomicBool::new(false));
        for _ in 0..clients {
            let stopped = stopped.clone();
            std::thread::spawn(move || {
                while !stopped.load(Ordering::SeqCst) {
                    let Ok(mut stream) = TcpStream::connect(address) else { continue };
                    let _ = stream.set_read_timeout(Some(TIMEOUT));
                    let _ = stream.read(&mut [0]);
                }
            });
        }
        ReconnectingClients(stopped)
    }
}

impl Drop for ReconnectingClients {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}
