//! The program as the platform starts it, against a stand-in bus and stand-in media nodes on loopback.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Nothing here takes so long unless it is broken.
const PATIENCE: Duration = Duration::from_secs(10);

/// The events told so far; readers of the bus wait for more.
#[derive(Default)]
struct Bus {
    events: Mutex<Vec<String>>,
    more: Condvar,
    /// Troubles of the next answers that tell something, last first.
    troubles: Mutex<Vec<Trouble>>,
}

#[derive(PartialEq)]
enum Trouble {
    /// Ends in the middle of an event.
    Breaks,
    /// Stops there and stays open.
    Stops,
}

impl Bus {
    fn tell(&self, endpoints: &str, snapshot: bool) {
        let mut events = self.events.lock().unwrap();
        let offset = events.len() + 1;
        events.push(format!(
            r#"{{"offset":{offset},"topology":{{"index":{offset},"snapshot":{snapshot},"endpoints":[{endpoints}]}}}}"#
        ));
        self.more.notify_all();
    }

    /// Listens at an address of its own; says on the channel from where it was asked.
    fn serve(self: &Arc<Bus>) -> (SocketAddr, Receiver<usize>) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (asked, told) = channel();
        let bus = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let (bus, asked) = (bus.clone(), asked.clone());
                std::thread::spawn(move || bus.answer(stream.unwrap(), &asked));
            }
        });
        (address, told)
    }

    fn answer(&self, mut stream: TcpStream, asked: &Sender<usize>) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut line = String::new();
        while reader.read_line(&mut line).is_ok_and(|read| read > 0) {
            if let Some(query) = line.strip_prefix("GET /bus/read?from=") {
                let from: usize = query.split('&').next().unwrap().parse().unwrap();
                let _ = asked.send(from);
                let hold = Duration::from_millis(300);
                let events = self.events.lock().unwrap();
                let (events, _) = self.more.wait_timeout_while(events, hold, |e| e.len() <= from).unwrap();
                let body = format!(r#"{{"offset":{},"batch":[{}]}}"#, events.len(), events[from..].join(","));
                let trouble = if events.len() > from { self.troubles.lock().unwrap().pop() } else { None };
                drop(events);
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                let said = if trouble.is_some() { &body[..body.len() / 2] } else { &body };
                if stream.write_all(format!("{head}{said}").as_bytes()).is_err()
                    || trouble == Some(Trouble::Breaks)
                {
                    return;
                }
            }
            line.clear();
        }
    }
}

/// A media node. What it does with a SETUP goes by the title.
struct Node {
    address: SocketAddr,
    heard: Receiver<String>,
}

impl Node {
    fn start() -> Node {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, heard) = channel();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let sender = sender.clone();
                std::thread::spawn(move || answer(stream.unwrap(), &sender));
            }
        });
        Node { address, heard }
    }

    /// The next line that is not a test.
    fn next(&self) -> String {
        loop {
            let line = self.heard.recv_timeout(PATIENCE).unwrap();
            if !line.contains("ECHO") {
                return line;
            }
        }
    }
}

fn answer(mut stream: TcpStream, heard: &Sender<String>) {
    let reader = BufReader::new(stream.try_clone().unwrap());
    for line in reader.lines() {
        let Ok(line) = line else { return };
        let field = |name: &str| {
            let from = line.find(&format!("\"{name}\":\""))? + name.len() + 4;
            line[from..].split('"').next().map(str::to_string)
        };
        let _ = heard.send(line.clone());
        let tag = field("tag").unwrap_or_default();
        let said = match (field("verb").as_deref(), field("key").as_deref()) {
            (Some("ECHO"), _) => {
                format!("{{\"verb\":\"ECHOED\",\"tag\":\"{tag}\",\"opts\":{{}},\"rc\":1}}\n")
            }
            // An answer that can't be read, once; the director comes again on another connection.
            (Some("START"), Some("bad")) => "{\"verb\":\"STARTED\",\"tag\":\"\u{1}\n".to_string(),
            (Some("START"), Some("dead")) => return,
            (Some("START"), _) => format!(
                "{{\"verb\":\"PENDING\",\"tag\":\"{tag}\",\"opts\":{{}}}}\n{{\"verb\":\"STARTED\",\"tag\":\"{tag}\",\"opts\":{{\"load\":\"x0:0.1\"}},\"blob\":\"for {tag}\\r\\n\"}}\n"
            ),
            _ => continue,
        };
        if stream.write_all(said.as_bytes()).is_err() {
            return;
        }
    }
}

struct Viewer {
    reader: BufReader<TcpStream>,
}

impl Viewer {
    fn connect(address: SocketAddr) -> Viewer {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Viewer { reader: BufReader::new(stream) }
    }

    fn says(&mut self, line: &str) {
        self.reader.get_mut().write_all(format!("{line}\n").as_bytes()).unwrap();
    }

    /// The next line; empty where the connection is closed.
    fn hears(&mut self) -> String {
        let mut line = String::new();
        let _ = self.reader.read_line(&mut line);
        line.trim_end().to_string()
    }

    fn asks(&mut self, tag: u64, key: &str) {
        self.says(&format!(
            r#"{{"verb":"START","tag":"{tag:016x}","opts":{{"class":"clip","left":"3000","key":"{key}","extras":"home:0;copies:1;top:1"}},"blob":"v=0"}}"#
        ));
    }

    fn tested(&mut self) -> String {
        self.says(r#"{"verb":"ECHO","tag":"00000000000000ee","opts":{},"rc":0}"#);
        self.hears()
    }
}

struct Program {
    child: Child,
    listen: SocketAddr,
    config: PathBuf,
    _folder: tempfile::TempDir,
}

fn config(listen: SocketAddr, bus: SocketAddr, known: &str) -> String {
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

impl Program {
    fn start(bus: SocketAddr) -> Program {
        // Reserved for a moment, then the program's.
        let listen = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join("config.json");
        std::fs::write(&file, config(listen, bus, r#"{"offset": 0, "batch": []}"#)).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_ashglade"))
            .arg("platform")
            .env("BALANCER_CONFIG", &file)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut program = Program { child, listen, config: file, _folder: folder };
        program.says("serving");
        program
    }

    /// Waits for a line of its log.
    fn says(&mut self, what: &str) {
        let log = self.child.stderr.as_mut().unwrap();
        let mut line = Vec::new();
        let mut byte = [0];
        loop {
            log.read_exact(&mut byte).unwrap();
            if byte[0] == b'\n' {
                if String::from_utf8_lossy(&line).contains(what) {
                    return;
                }
                line.clear();
            } else {
                line.push(byte[0]);
            }
        }
    }

    fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).unwrap();
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn endpoint(name: &str, node: &Node, cell: u16) -> String {
    format!(
        r#"{{"name":"{name}","address":"{}","zone":"east","type":"std","group":{cell},"status":"up","weight":9,"since_ms":0}}"#,
        node.address
    )
}

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
    program.says("stays in force");
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
    program.says("a planned end is near");
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
