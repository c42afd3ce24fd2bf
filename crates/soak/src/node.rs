//! Stand-ins of media nodes. Each listens at an address of its own for each director, and records every SETUP
//! and every session.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

use crate::line::{Line, description};
use crate::plan::NodeMode;
use crate::record::{Attempt, AttemptEnd, NodeSession, SharedRecord};
use crate::rng::Rng;

/// Causes of a node's releases.
const CAUSE_NORMAL: u16 = 16;
const CAUSE_FULL: u16 = 34;
const CAUSE_ERROR: u16 = 47;
const CAUSE_MOOT: u16 = 102;
/// Time that a node takes to answer a SETUP, in milliseconds.
const ANSWER_MS: (f64, f64) = (2.0, 40.0);
/// Length of a session that ends soon, and of one that outlasts a shutdown, in milliseconds.
const SHORT_SESSION_MS: (f64, f64) = (300.0, 3000.0);
const LONG_SESSION_MS: (f64, f64) = (8000.0, 40000.0);
/// Interval at which a node that hangs looks whether it still does, with a session to end.
const HUNG_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Number of connections that wait for an accept.
const BACKLOG: i32 = 1024;

/// What a node's connection is told to send, or to do.
enum Command {
    Send(Vec<u8>),
    Reset,
}

/// A connection of a director.
struct NodeConnection {
    id: u64,
    director: usize,
    commands: mpsc::UnboundedSender<Command>,
}

struct State {
    /// The process of the node; the next one has another name.
    generation: u64,
    mode: NodeMode,
    connections: Vec<NodeConnection>,
    next_connection: u64,
    /// Index in the record of each SETUP that has no end, by tag and connection.
    open_attempts: BTreeMap<(String, u64), usize>,
    /// Releases that each director gets on its next connection too.
    repeated_releases: BTreeMap<usize, Vec<Vec<u8>>>,
    rng: Rng,
}

/// One media node.
#[derive(Clone)]
pub struct Node {
    index: usize,
    /// By director.
    addresses: Arc<Vec<SocketAddr>>,
    state: Arc<Mutex<State>>,
    late: watch::Sender<bool>,
    /// No process runs: connections are refused.
    down: watch::Sender<bool>,
    record: SharedRecord,
    short_sessions: f64,
}

impl Node {
    /// Starts a node that listens at `ip(director)` for each director.
    pub async fn start(
        index: usize,
        directors: usize,
        ip: impl Fn(usize) -> [u8; 4],
        seed: u64,
        short_sessions: f64,
        record: SharedRecord,
    ) -> std::io::Result<Node> {
        let mut listeners = Vec::new();
        for director in 0..directors {
            listeners.push(TcpListener::bind(SocketAddr::from((ip(director), 0))).await?);
        }
        let addresses = listeners.iter().map(TcpListener::local_addr).collect::<Result<Vec<_>, _>>()?;
        let state = State {
            generation: 0,
            mode: NodeMode::Normal,
            connections: Vec::new(),
            next_connection: 0,
            open_attempts: BTreeMap::new(),
            repeated_releases: BTreeMap::new(),
            rng: Rng::new(seed, 1000 + index as u64),
        };
        let node = Node {
            index,
            addresses: Arc::new(addresses),
            state: Arc::new(Mutex::new(state)),
            late: watch::Sender::new(false),
            down: watch::Sender::new(false),
            record,
            short_sessions,
        };
        for (director, listener) in listeners.into_iter().enumerate() {
            tokio::spawn(node.clone().accept(director, listener));
        }
        Ok(node)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the name of the node's present process.
    pub fn name(&self) -> String {
        self.name_of(self.lock().generation)
    }

    fn name_of(&self, generation: u64) -> String {
        format!("n{}-{generation}", self.index)
    }

    /// Returns the endpoint that the bus tells a director.
    pub fn endpoint(&self, director: usize, name: &str, status: &str, since_ms: u64) -> String {
        format!(
            r#"{{"name":"{name}","address":"{}","zone":"east","type":"std","group":{},"status":"{status}","weight":9,"since_ms":{since_ms}}}"#,
            self.addresses[director],
            self.index % 3
        )
    }

    pub fn set_mode(&self, mode: NodeMode) {
        self.lock().mode = mode;
        self.late.send_replace(matches!(mode, NodeMode::Late | NodeMode::Vanished));
    }

    pub fn mode(&self) -> NodeMode {
        self.lock().mode
    }

    /// Returns whether the node answers nothing.
    fn is_silent(&self) -> bool {
        matches!(self.mode(), NodeMode::Hung | NodeMode::Vanished)
    }

    /// Resets all connections. What is open on them is given up; sessions stand.
    pub fn reset_connections(&self) {
        for connection in &self.lock().connections {
            let _ = connection.commands.send(Command::Reset);
        }
        self.record.count("resets of a node's connections");
    }

    /// Ends the node's process with its sessions; another starts at its addresses after `down_for`, in which
    /// they refuse connections. Returns the new name.
    pub async fn replace_process(&self, down_for: Duration) -> String {
        self.down.send_replace(!down_for.is_zero());
        let now = self.record.now();
        let (name, new_name) = {
            let mut state = self.lock();
            let name = self.name_of(state.generation);
            state.generation += 1;
            state.repeated_releases.clear();
            for connection in &state.connections {
                let _ = connection.commands.send(Command::Reset);
            }
            (name, self.name_of(state.generation))
        };
        for session in self.record.lock().node_sessions.values_mut().flatten() {
            if session.node == name && session.ended.is_none() {
                session.ended = Some((now, false));
            }
        }
        sleep(down_for).await;
        self.down.send_replace(false);
        new_name
    }

    async fn accept(self, director: usize, listener: TcpListener) {
        let (mut late, mut down) = (self.late.subscribe(), self.down.subscribe());
        let address = self.addresses[director];
        let mut listener = Some(listener);
        loop {
            if *down.borrow_and_update() {
                listener = None;
                let _ = down.wait_for(|down| !down).await;
            }
            let open = match listener.take() {
                Some(open) => open,
                None => match TcpListener::bind(address).await {
                    Ok(open) => open,
                    Err(error) => return eprintln!("soak: {address}: {error}"),
                },
            };
            if *late.borrow_and_update() {
                self.hold_connections(&open, &mut late).await;
            }
            tokio::select! {
                accepted = open.accept() => {
                    if let Ok((stream, _)) = accepted {
                        tokio::spawn(self.clone().serve(director, stream));
                    }
                }
                _ = late.changed() => {}
                _ = down.changed() => {}
            }
            listener = Some(open);
        }
    }

    /// Lets no connection come up until the node is no longer late: the only place in the backlog is taken.
    async fn hold_connections(&self, listener: &TcpListener, late: &mut watch::Receiver<bool>) {
        let Ok(address) = listener.local_addr() else { return };
        let _ = SockRef::from(listener).listen(0);
        let filler = TcpStream::connect(address).await;
        self.record.count("addresses whose connections come up late");
        let _ = late.wait_for(|late| !late).await;
        if filler.is_ok() {
            let _ = listener.accept().await;
        }
        let _ = SockRef::from(listener).listen(BACKLOG);
    }

    async fn serve(self, director: usize, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (commands, mut received) = mpsc::unbounded_channel();
        let (connection, generation, repeated) = {
            let mut state = self.lock();
            state.next_connection += 1;
            let id = state.next_connection;
            state.connections.push(NodeConnection { id, director, commands: commands.clone() });
            (id, state.generation, state.repeated_releases.remove(&director).unwrap_or_default())
        };
        for line in &repeated {
            let _ = commands.send(Command::Send(line.clone()));
        }
        // A connection on which nothing comes was given up before it was accepted, and is not the next one.
        let mut undelivered = Some(repeated).filter(|lines| !lines.is_empty());
        let mut stream = BufReader::new(stream);
        let mut text = Vec::new();
        loop {
            tokio::select! {
                biased;
                command = received.recv() => match command {
                    Some(Command::Send(bytes)) => {
                        if stream.get_mut().write_all(&bytes).await.is_err() {
                            break;
                        }
                    }
                    _ => {
                        let _ = SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO));
                        break;
                    }
                },
                read = stream.read_until(b'\n', &mut text) => {
                    if !read.is_ok_and(|count| count > 0) || !text.ends_with(b"\n") {
                        break;
                    }
                    if undelivered.take().is_some() {
                        self.record.count("connections with releases that a node repeated");
                    }
                    if let Some(line) = Line::parse(&String::from_utf8_lossy(&text)) {
                        self.handle_line(director, connection, generation, &commands, line);
                    }
                    text.clear();
                }
            }
        }
        if let Some(lines) = undelivered {
            self.lock().repeated_releases.entry(director).or_default().extend(lines);
        }
        self.connection_ended(connection);
    }

    /// Gives up what is open on a connection that has ended.
    fn connection_ended(&self, connection: u64) {
        let now = self.record.now();
        let mut state = self.lock();
        state.connections.retain(|other| other.id != connection);
        let given_up: Vec<usize> =
            state.open_attempts.iter().filter(|((_, on), _)| *on == connection).map(|(_, &i)| i).collect();
        state.open_attempts.retain(|(_, on), _| *on != connection);
        drop(state);
        for index in given_up {
            self.record.lock().attempts[index].end = Some((now, AttemptEnd::GivenUp));
        }
    }

    fn handle_line(
        &self,
        director: usize,
        connection: u64,
        generation: u64,
        commands: &mpsc::UnboundedSender<Command>,
        line: Line,
    ) {
        match line.verb.as_str() {
            "START" => self.handle_setup(director, connection, generation, commands, line),
            "FINISH" => {
                self.handle_release(connection, &line.tag);
                if !self.is_silent() {
                    let _ = commands.send(Command::Send(Line::new("FINISHED", &line.tag).encode()));
                }
            }
            "ECHO" if !self.is_silent() => {
                let reply = Line::new("ECHOED", &line.tag).with_cause(1).with_option("load", "x0:0.1".into());
                let _ = commands.send(Command::Send(reply.encode()));
            }
            _ => {}
        }
    }

    /// Handles a director's release: of a SETUP without an end, or of a session that stands.
    fn handle_release(&self, connection: u64, tag: &str) {
        let now = self.record.now();
        let index = self.lock().open_attempts.remove(&(tag.to_string(), connection));
        let name = self.name();
        let mut record = self.record.lock();
        if let Some(index) = index {
            record.attempts[index].end = Some((now, AttemptEnd::GivenUp));
        }
        for session in record.node_sessions.get_mut(tag).into_iter().flatten() {
            if session.node == name && session.ended.is_none() {
                session.ended = Some((now, true));
            }
        }
    }

    fn handle_setup(
        &self,
        director: usize,
        connection: u64,
        generation: u64,
        commands: &mpsc::UnboundedSender<Command>,
        line: Line,
    ) {
        let arrived_at = self.record.now();
        let (tag, node) = (line.tag.clone(), self.name_of(generation));
        let index = {
            let mut record = self.record.lock();
            record.attempts.push(Attempt { tag: tag.clone(), node, director, arrived_at, end: None });
            record.attempts.len() - 1
        };
        let mut state = self.lock();
        state.open_attempts.insert((tag, connection), index);
        let dice = state.rng.between(0.0, 1.0);
        let delay = state.rng.millis(ANSWER_MS.0, ANSWER_MS.1);
        let mode = state.mode;
        drop(state);
        if self.is_silent() {
            return self.record.count("SETUPs at a node that hangs or is cut off");
        }
        let reaction = if mode == NodeMode::Faulty { Reaction::draw(dice) } else { Reaction::Accept };
        let answer = PendingAnswer {
            node: self.clone(),
            director,
            connection,
            generation,
            commands: commands.clone(),
            tag: line.tag,
        };
        tokio::spawn(async move {
            sleep(delay).await;
            if !answer.node.is_silent() {
                answer.give(reaction);
            }
        });
    }
}

/// What a node does with a SETUP.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Reaction {
    Accept,
    /// Accepts, and sends the answer a second time.
    AcceptTwice,
    /// Accepts, and sends an answer with an unknown tag before.
    AcceptWithStranger,
    Refuse(u16),
    Reset,
    /// Sends a line that can't be parsed.
    Spoil,
}

impl Reaction {
    fn draw(dice: f64) -> Reaction {
        match dice {
            d if d < 0.3 => Reaction::Accept,
            d if d < 0.36 => Reaction::AcceptTwice,
            d if d < 0.42 => Reaction::AcceptWithStranger,
            d if d < 0.57 => Reaction::Refuse(CAUSE_FULL),
            d if d < 0.7 => Reaction::Refuse(CAUSE_ERROR),
            d if d < 0.78 => Reaction::Refuse(CAUSE_MOOT),
            d if d < 0.9 => Reaction::Reset,
            _ => Reaction::Spoil,
        }
    }

    /// The name under which the record counts it, if it is a fault.
    fn fault(self) -> Option<&'static str> {
        match self {
            Reaction::Accept => None,
            Reaction::AcceptTwice => Some("answers sent twice"),
            Reaction::AcceptWithStranger => Some("answers with an unknown tag"),
            Reaction::Refuse(_) => Some("SETUPs refused or failed"),
            Reaction::Reset => Some("resets under a SETUP"),
            Reaction::Spoil => Some("spoilt answers"),
        }
    }
}

/// The answer to a SETUP, which is given after some time.
struct PendingAnswer {
    node: Node,
    director: usize,
    connection: u64,
    generation: u64,
    commands: mpsc::UnboundedSender<Command>,
    tag: String,
}

impl PendingAnswer {
    fn give(self, reaction: Reaction) {
        let now = self.node.record.now();
        let key = (self.tag.clone(), self.connection);
        let Some(index) = self.node.lock().open_attempts.remove(&key) else { return };
        if let Some(fault) = reaction.fault() {
            self.node.record.count(fault);
        }
        let end = match reaction {
            Reaction::Refuse(cause) => {
                self.send(Line::new("FINISH", &self.tag).with_cause(cause));
                AttemptEnd::Refused(cause)
            }
            Reaction::Reset => {
                let _ = self.commands.send(Command::Reset);
                AttemptEnd::Broken
            }
            Reaction::Spoil => {
                let line = format!("{{\"verb\":\"STARTED\",\"tag\":\"{}\u{1}\n", self.tag);
                let _ = self.commands.send(Command::Send(line.into_bytes()));
                AttemptEnd::Broken
            }
            Reaction::Accept | Reaction::AcceptTwice | Reaction::AcceptWithStranger => {
                self.accept(reaction, now);
                AttemptEnd::Started
            }
        };
        self.node.record.lock().attempts[index].end = Some((now, end));
    }

    fn send(&self, line: Line) {
        let _ = self.commands.send(Command::Send(line.encode()));
    }

    fn accept(&self, reaction: Reaction, now: f64) {
        let name = self.node.name_of(self.generation);
        let session = NodeSession { node: name.clone(), started_at: now, ended: None };
        self.node.record.lock().node_sessions.entry(self.tag.clone()).or_default().push(session);
        let answer = Line::new("STARTED", &self.tag).with_description(description(&self.tag, &name));
        if reaction == Reaction::AcceptWithStranger {
            let stranger = format!("{:016x}", self.node.lock().rng.number());
            self.send(Line::new("STARTED", &stranger).with_description("v=0".into()));
        }
        self.send(answer.clone());
        if reaction == Reaction::AcceptTwice {
            self.send(answer);
        }
        let length = {
            let mut state = self.node.lock();
            let is_short = state.rng.chance(self.node.short_sessions);
            let (low, high) = if is_short { SHORT_SESSION_MS } else { LONG_SESSION_MS };
            state.rng.millis(low, high)
        };
        let (node, tag, director, connection) =
            (self.node.clone(), self.tag.clone(), self.director, self.connection);
        tokio::spawn(async move {
            sleep(length).await;
            while node.is_silent() {
                sleep(HUNG_CHECK_INTERVAL).await;
            }
            node.end_session(&name, &tag, director, connection);
        });
    }
}

impl Node {
    /// Ends a session that still stands, and releases it on the connection of its SETUP or on another one, and
    /// on the director's next connection too.
    fn end_session(&self, name: &str, tag: &str, director: usize, connection: u64) {
        let now = self.record.now();
        {
            let mut record = self.record.lock();
            let sessions = record.node_sessions.get_mut(tag).into_iter().flatten();
            let mut standing = sessions.filter(|session| session.node == name && session.ended.is_none());
            let Some(session) = standing.next() else { return };
            session.ended = Some((now, false));
        }
        let line = Line::new("FINISH", tag).with_cause(CAUSE_NORMAL).encode();
        let mut state = self.lock();
        let of_director = |c: &&NodeConnection| c.director == director;
        let own = state.connections.iter().find(|c| c.id == connection);
        if let Some(open) = own.or_else(|| state.connections.iter().find(of_director)) {
            let _ = open.commands.send(Command::Send(line.clone()));
        }
        state.repeated_releases.entry(director).or_default().push(line);
    }
}
