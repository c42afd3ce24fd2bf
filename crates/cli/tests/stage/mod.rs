//! The program as the platform starts it, with a stand-in bus, stand-in media nodes and scripted parties on loopback.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use socket2::SockRef;

/// Nothing here takes so long unless it is broken.
pub const PATIENCE: Duration = Duration::from_secs(10);

/// The events told so far; readers of the bus wait for more.
#[derive(Default)]
pub struct Bus {
    events: Mutex<Vec<String>>,
    more: Condvar,
    /// Troubles of the next answers that tell something, last first.
    pub troubles: Mutex<Vec<Trouble>>,
    gone: AtomicBool,
}

#[derive(PartialEq)]
pub enum Trouble {
    /// Ends in the middle of an event.
    Breaks,
    /// Stops there and stays open.
    Stops,
    /// Stays open and says nothing.
    SaysNothing,
}

impl Bus {
    pub fn tell(&self, endpoints: &str, snapshot: bool) {
        let mut events = self.events.lock().unwrap();
        let offset = events.len() + 1;
        events.push(format!(
            r#"{{"offset":{offset},"topology":{{"index":{offset},"snapshot":{snapshot},"endpoints":[{endpoints}]}}}}"#
        ));
        self.more.notify_all();
    }

    /// Listens at an address of its own; says on the channel from where it was asked.
    pub fn serve(self: &Arc<Bus>) -> (SocketAddr, Receiver<usize>) {
        self.serve_at(([127, 0, 0, 1], 0).into())
    }

    pub fn serve_at(self: &Arc<Bus>, address: SocketAddr) -> (SocketAddr, Receiver<usize>) {
        self.gone.store(false, Ordering::SeqCst);
        let listener = TcpListener::bind(address).unwrap();
        let address = listener.local_addr().unwrap();
        let (asked, told) = channel();
        let bus = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                if bus.gone.load(Ordering::SeqCst) {
                    break;
                }
                let (bus, asked) = (bus.clone(), asked.clone());
                std::thread::spawn(move || bus.answer(stream.unwrap(), &asked));
            }
        });
        (address, told)
    }

    /// Nobody listens at its addresses any longer, and what is open there is closed.
    pub fn goes(&self, address: SocketAddr) {
        self.gone.store(true, Ordering::SeqCst);
        // The listener looks up, and closes.
        let _ = TcpStream::connect(address);
    }

    fn answer(&self, mut stream: TcpStream, asked: &Sender<usize>) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut line = String::new();
        while reader.read_line(&mut line).is_ok_and(|read| read > 0) && !self.gone.load(Ordering::SeqCst) {
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
                if trouble == Some(Trouble::SaysNothing) {
                    line.clear();
                    continue;
                }
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
pub struct Node {
    pub address: SocketAddr,
    pub heard: Receiver<String>,
}

impl Node {
    pub fn start() -> Node {
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
    pub fn next(&self) -> String {
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

pub struct Viewer {
    pub reader: BufReader<TcpStream>,
}

impl Viewer {
    pub fn connect(address: SocketAddr) -> Viewer {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Viewer { reader: BufReader::new(stream) }
    }

    /// As soon as anybody listens there.
    pub fn connects(address: SocketAddr) -> Viewer {
        let begun = Instant::now();
        while begun.elapsed() < PATIENCE {
            if TcpStream::connect(address).is_ok() {
                break;
            }
            std::thread::yield_now();
        }
        Viewer::connect(address)
    }

    pub fn says(&mut self, line: &str) {
        self.reader.get_mut().write_all(format!("{line}\n").as_bytes()).unwrap();
    }

    /// The next line; empty where the connection is closed.
    pub fn hears(&mut self) -> String {
        let mut line = String::new();
        let _ = self.reader.read_line(&mut line);
        line.trim_end().to_string()
    }

    pub fn asks(&mut self, tag: u64, key: &str) {
        self.asks_cells(tag, key, 0, 1);
    }

    /// For a title that so many cells from `home` on hold.
    pub fn asks_cells(&mut self, tag: u64, key: &str, home: u16, copies: u16) {
        self.says(&start(tag, key, home, copies));
    }

    pub fn tested(&mut self) -> String {
        self.says(r#"{"verb":"ECHO","tag":"00000000000000ee","opts":{},"rc":0}"#);
        self.hears()
    }
}

pub struct Program {
    pub child: Child,
    /// What it logs, a line each; taken all the time, so that it never waits to log.
    log: Receiver<String>,
    pub listen: SocketAddr,
    pub config: PathBuf,
    _folder: tempfile::TempDir,
}

/// Reserved for a moment, then the caller's: on an address of loopback of its own, where no connection of the tests beside
/// it takes the port in between.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(0);
    let [.., high, low] = std::process::id().to_be_bytes();
    let own = [127, 64 + high % 64, low, 1 + NEXT.fetch_add(1, Ordering::SeqCst) % 250];
    TcpListener::bind(SocketAddr::from((own, 0))).unwrap().local_addr().unwrap()
}

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

impl Program {
    pub fn start(bus: SocketAddr) -> Program {
        Program::start_with(bus, |text| text)
    }

    /// With a configuration that is changed first.
    pub fn start_with(bus: SocketAddr, change: impl Fn(String) -> String) -> Program {
        let folder = tempfile::tempdir().unwrap();
        let (file, listen) = (folder.path().join("config.json"), free_address());
        std::fs::write(&file, change(config(listen, bus, r#"{"offset": 0, "batch": []}"#))).unwrap();
        let mut program = Program::spawn(folder, file, listen);
        program.says("serving");
        program
    }

    /// Started, and not waited for.
    pub fn spawn(folder: tempfile::TempDir, config: PathBuf, listen: SocketAddr) -> Program {
        let mut child = Command::new(env!("CARGO_BIN_EXE_ashglade"))
            .args(["--log", "info,ashglade_platform=trace", "platform"])
            .env("BALANCER_CONFIG", &config)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let stderr = BufReader::new(child.stderr.take().unwrap());
        let (sender, log) = channel();
        std::thread::spawn(move || {
            stderr.lines().map_while(Result::ok).for_each(|line| drop(sender.send(line)));
        });
        Program { child, log, listen, config, _folder: folder }
    }

    /// Waits for a line of its log.
    pub fn says(&mut self, what: &str) {
        while !self.log.recv_timeout(PATIENCE).unwrap_or_else(|_| panic!("no {what:?}")).contains(what) {}
    }

    /// Stops it where it stands; whatever comes meanwhile it finds at once when it goes on.
    pub fn stands_still(&self) {
        self.signal(Signal::SIGSTOP);
        let stat = format!("/proc/{}/stat", self.child.id());
        while !std::fs::read_to_string(&stat).unwrap().contains(") T ") {
            std::thread::yield_now();
        }
    }

    pub fn goes_on(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Its exit code and all that it logged, once it has ended; no code where it doesn't end.
    pub fn ends(&mut self) -> (Option<i32>, String) {
        let log = std::iter::from_fn(|| self.log.recv_timeout(PATIENCE).ok()).collect::<Vec<_>>().join("\n");
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

pub fn endpoint(name: &str, node: &Node, cell: u16) -> String {
    told(name, node.address, cell)
}

/// A media node that does as the test says: each connection is taken, and each line said, when it is asked for.
pub struct ScriptedNode {
    listener: TcpListener,
    pub address: SocketAddr,
    /// Holds the one place there is for a connection that isn't taken yet.
    filler: Option<TcpStream>,
}

impl ScriptedNode {
    pub fn start() -> ScriptedNode {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        SockRef::from(&listener).set_read_timeout(Some(PATIENCE)).unwrap();
        let address = listener.local_addr().unwrap();
        ScriptedNode { listener, address, filler: None }
    }

    /// Its connections don't come up before it opens.
    pub fn closed() -> ScriptedNode {
        let mut node = ScriptedNode::start();
        SockRef::from(&node.listener).listen(0).unwrap();
        node.filler = Some(TcpStream::connect(node.address).unwrap());
        node
    }

    /// Waits until a connection to it has been begun.
    pub fn is_dialled(&self) {
        // Its end and the state, as the machine lists them: asked for, not answered.
        let line = format!("{} 02 ", listed(self.address));
        waits_for("a connection asked for", |table| table.contains(&line));
    }

    /// Takes the connection that was waiting to come up, which the machine tries again each second.
    pub fn opens(&mut self) -> Peer {
        if self.filler.take().is_some() {
            drop(self.listener.accept().unwrap());
        }
        self.accepts()
    }

    pub fn accepts(&self) -> Peer {
        let (stream, _) = self.listener.accept().unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Peer { reader: BufReader::new(stream) }
    }
}

/// A director's connection to a scripted node.
pub struct Peer {
    reader: BufReader<TcpStream>,
}

impl Peer {
    /// The next line that is not a test; tests are passed.
    pub fn hears(&mut self) -> String {
        loop {
            let mut line = String::new();
            self.reader.read_line(&mut line).unwrap();
            if !line.contains("ECHO") {
                return line.trim_end().to_string();
            }
            self.says(&line.trim_end().replace("ECHO", "ECHOED"));
        }
    }

    pub fn says(&mut self, line: &str) {
        self.reader.get_mut().write_all(format!("{line}\n").as_bytes()).unwrap();
    }

    pub fn answers(&mut self, verb: &str, tag: u64, rest: &str) {
        self.says(&format!(r#"{{"verb":"{verb}","tag":"{tag:016x}","opts":{{}},{rest}}}"#));
    }

    pub fn ends(&self) -> Ends {
        Ends::of(self.reader.get_ref())
    }

    /// Something has come that was not read.
    pub fn has_come(&self) {
        assert!(self.reader.get_ref().peek(&mut [0]).unwrap() > 0);
    }

    /// With whatever was not read.
    pub fn resets(self) {
        reset(self.reader.get_ref());
    }
}

/// An address as the machine's table of connections has it.
fn listed(address: SocketAddr) -> String {
    let SocketAddr::V4(address) = address else { panic!("{address} is not of IPv4") };
    format!("{:08X}:{:04X}", u32::from(*address.ip()).swap_bytes(), address.port())
}

/// Waits until the machine's table of connections shows something.
fn waits_for(what: &str, shows: impl Fn(&str) -> bool) {
    let begun = Instant::now();
    while !shows(&std::fs::read_to_string("/proc/net/tcp").unwrap()) {
        assert!(begun.elapsed() < PATIENCE, "{what} does not show");
        std::thread::yield_now();
    }
}

/// Both ends of a connection, which may be closed by now.
pub struct Ends {
    ours: SocketAddr,
    theirs: SocketAddr,
}

impl Ends {
    fn of(stream: &TcpStream) -> Ends {
        Ends { ours: stream.local_addr().unwrap(), theirs: stream.peer_addr().unwrap() }
    }

    /// Waits until the close has arrived at a program that stands still.
    pub fn is_closed(&self) {
        let line = format!("{} {} 08 ", listed(self.theirs), listed(self.ours));
        waits_for("a close", |table| table.contains(&line));
    }

    /// Waits until the machine holds what was sent to a program that stands still: bytes, a close or a reset.
    pub fn have_it(&self) {
        let line = format!("{} {} ", listed(self.theirs), listed(self.ours));
        waits_for("what was sent", |table| {
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
    pub fn ends(&self) -> Ends {
        Ends::of(self.reader.get_ref())
    }

    pub fn cancels(&mut self, tag: u64) {
        self.says(&format!(r#"{{"verb":"FINISH","tag":"{tag:016x}","opts":{{}},"rc":16}}"#));
    }

    pub fn resets(self) {
        reset(self.reader.get_ref());
    }
}

pub fn start(tag: u64, key: &str, home: u16, copies: u16) -> String {
    format!(
        r#"{{"verb":"START","tag":"{tag:016x}","opts":{{"class":"clip","left":"3000","key":"{key}","extras":"home:{home};copies:{copies};top:1"}},"blob":"v=0"}}"#
    )
}

pub fn told(name: &str, address: SocketAddr, cell: u16) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"east","type":"std","group":{cell},"status":"up","weight":9,"since_ms":0}}"#
    )
}

/// Clients that connect, say nothing, and come again as soon as they are closed on, until this is dropped.
pub struct Crowd(Arc<AtomicBool>);

impl Crowd {
    pub fn of(address: SocketAddr, clients: usize) -> Crowd {
        let over = Arc::new(AtomicBool::new(false));
        for _ in 0..clients {
            let over = over.clone();
            std::thread::spawn(move || {
                while !over.load(Ordering::SeqCst) {
                    let Ok(mut stream) = TcpStream::connect(address) else { continue };
                    let _ = stream.set_read_timeout(Some(PATIENCE));
                    let _ = stream.read(&mut [0]);
                }
            });
        }
        Crowd(over)
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}
