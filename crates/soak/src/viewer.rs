//! Stand-ins of viewers: each has an address of its own, asks for sessions one after another on connections
//! that it keeps open, ends some of the sessions, and hands the others over to a director that has restarted.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::{Mutex as AsyncMutex, watch};
use tokio::time::{Instant, sleep, timeout_at};

use crate::line::{Line, description};
use crate::plan::{Plan, ServiceGroup};
use crate::record::{Answer, Connection, Departure, Request, Sending, SharedRecord, UselessConnection};
use crate::rng::Rng;

const CAUSE_NORMAL: u16 = 16;
/// A request, or the end of a session, that is written this shortly before its connection ends may not have
/// been read: it is sent again.
pub const CROSSING_SECONDS: f64 = 0.05;
/// Time after its own timeout for which a viewer waits, so that a late answer is seen.
const LATE_WAIT: Duration = Duration::from_millis(600);
/// Pause after a failed connection attempt.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Number of times that a refused request is sent again at once.
const MAX_QUICK_RETRIES: usize = 3;
/// Part of the sessions that their viewer ends, and after how long, in milliseconds.
const ENDED_BY_VIEWER: f64 = 0.4;
const VIEWER_END_MS: (f64, f64) = (200.0, 6000.0);
/// Time for which a client that sends what can't be used waits for an answer or a close.
const USELESS_WAIT: Duration = Duration::from_millis(3500);

/// What viewers know of a director.
#[derive(Clone, Copy, Debug)]
pub struct DirectorState {
    pub address: SocketAddr,
    /// New connections go there.
    pub admits: bool,
}

/// What is known of all directors.
pub type Front = Arc<Mutex<Vec<DirectorState>>>;

/// Returns what is known of a director.
fn state_of(front: &Front, director: usize) -> DirectorState {
    front.lock().unwrap_or_else(PoisonError::into_inner)[director]
}

/// A session that stands, as its viewer knows it.
#[derive(Clone)]
struct Session {
    director: usize,
    group: usize,
    node: String,
    /// When the viewer ends it, in seconds.
    ends_at: Option<f64>,
    /// When the viewer has said so, and on which connection.
    end_written: Option<(f64, u64)>,
}

/// An open connection to a director.
struct OpenConnection {
    id: u64,
    director: usize,
    write: AsyncMutex<OwnedWriteHalf>,
    /// Changes with each line that is received; `true` once the connection has ended.
    ended: watch::Sender<bool>,
}

#[derive(Default)]
struct State {
    connections: BTreeMap<usize, Arc<OpenConnection>>,
    sessions: BTreeMap<String, Session>,
}

/// One viewer.
pub struct Viewer {
    index: usize,
    ip: [u8; 4],
    plan: Arc<Plan>,
    front: Front,
    record: SharedRecord,
    state: Mutex<State>,
    rng: Mutex<Rng>,
}

impl Viewer {
    pub fn new(
        index: usize,
        ip: [u8; 4],
        plan: Arc<Plan>,
        front: Front,
        record: SharedRecord,
    ) -> Arc<Viewer> {
        let rng = Mutex::new(Rng::new(plan.seed, 2000 + index as u64));
        Arc::new(Viewer { index, ip, plan, front, record, state: Mutex::default(), rng })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn draw<T>(&self, draw: impl FnOnce(&mut Rng) -> T) -> T {
        draw(&mut self.rng.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Asks for sessions until `stop_at` seconds.
    pub async fn run(self: Arc<Viewer>, stop_at: f64) {
        while self.record.now() < stop_at {
            let max_pause_ms = self.plan.max_pause_ms;
            sleep(self.draw(|rng| rng.millis(0.0, max_pause_ms))).await;
            self.end_due_sessions().await;
            let Some(director) = self.choose_director() else {
                sleep(CONNECT_RETRY_DELAY).await;
                continue;
            };
            let Some(connection) = self.connection(director).await else {
                sleep(CONNECT_RETRY_DELAY).await;
                continue;
            };
            let group = self.draw(|rng| rng.index(self.plan.service_groups.len()));
            if self.draw(|rng| rng.chance(self.plan.viewer_faults.close_behind)) {
                self.leave_behind_request(director, group).await;
                continue;
            }
            let mut refused = self.request(&connection, group).await;
            for _ in 0..MAX_QUICK_RETRIES {
                if !refused || !self.plan.viewer_faults.retry_at_once || *connection.ended.borrow() {
                    break;
                }
                self.record.count("requests repeated at once");
                refused = self.request(&connection, group).await;
            }
        }
    }

    /// Returns a director to ask: one that takes new connections, or one to which a connection is open.
    fn choose_director(&self) -> Option<usize> {
        let open: BTreeSet<usize> = self.lock().connections.keys().copied().collect();
        let directors = self.front.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let usable: Vec<usize> = directors
            .iter()
            .enumerate()
            .filter(|(index, director)| director.admits || open.contains(index))
            .map(|(index, _)| index)
            .collect();
        let chosen = self.draw(|rng| rng.index(usable.len()));
        usable.get(chosen).copied()
    }

    /// Returns the open connection to a director, or opens one if it takes new connections.
    async fn connection(self: &Arc<Viewer>, director: usize) -> Option<Arc<OpenConnection>> {
        if let Some(open) = self.lock().connections.get(&director).cloned() {
            return Some(open);
        }
        if !state_of(&self.front, director).admits {
            return None;
        }
        self.connect(director).await.ok()
    }

    async fn connect(self: &Arc<Viewer>, director: usize) -> std::io::Result<Arc<OpenConnection>> {
        let address = state_of(&self.front, director).address;
        let socket = TcpSocket::new_v4()?;
        socket.bind(SocketAddr::from((self.ip, 0)))?;
        let stream = socket.connect(address).await?;
        stream.set_nodelay(true)?;
        let (read, write) = stream.into_split();
        let opened_at = self.record.now();
        let id = {
            let mut record = self.record.lock();
            let id = record.connections.len() as u64;
            let connection = Connection { director, opened_at, ended_at: None };
            record.connections.insert(id, connection);
            id
        };
        let ended = watch::Sender::new(false);
        let connection = Arc::new(OpenConnection { id, director, write: AsyncMutex::new(write), ended });
        self.lock().connections.insert(director, connection.clone());
        tokio::spawn(self.clone().receive(connection.clone(), read));
        Ok(connection)
    }

    /// Records what is received on a connection until it ends.
    async fn receive(self: Arc<Viewer>, connection: Arc<OpenConnection>, read: OwnedReadHalf) {
        let mut read = BufReader::new(read);
        let mut text = Vec::new();
        while read.read_until(b'\n', &mut text).await.is_ok_and(|count| count > 0) {
            let now = self.record.now();
            let whole = text.ends_with(b"\n");
            let line = Line::parse(&String::from_utf8_lossy(&text)).filter(|_| whole);
            text.clear();
            if let Some(line) = line {
                self.handle_line(now, &connection, line);
            }
            connection.ended.send_modify(|_| {});
        }
        let now = self.record.now();
        self.lock().connections.retain(|_, other| other.id != connection.id);
        if let Some(record) = self.record.lock().connections.get_mut(&connection.id) {
            record.ended_at.get_or_insert(now);
        }
        connection.ended.send_replace(true);
    }

    fn handle_line(&self, now: f64, connection: &OpenConnection, line: Line) {
        let answer = match line.verb.as_str() {
            "STARTED" => {
                let node = node_of(&line);
                let genuine =
                    node.as_ref().is_some_and(|node| line.blob == Some(description(&line.tag, node)));
                Answer::Started { genuine }
            }
            "FINISH" => line.rc.map_or(Answer::Malformed, |cause| Answer::Finished { cause }),
            "MOVE" => Answer::Finished { cause: 0 },
            _ => return,
        };
        let started = matches!(answer, Answer::Started { .. });
        let group = {
            let mut record = self.record.lock();
            let Some(request) = record.requests.get_mut(&line.tag) else { return };
            request.answers.push((now, answer));
            let waits = request.departed.is_none() && request.answers.len() == 1;
            waits.then_some(request.retry_safety)
        };
        if !started {
            self.lock().sessions.remove(&line.tag);
            return;
        }
        let (Some(node), Some(retry_safety)) = (node_of(&line), group) else { return };
        let group = self.plan.service_groups.iter().position(|g| g.retry_safety == retry_safety);
        let ends_at = self.draw(|rng| {
            let after = rng.millis(VIEWER_END_MS.0, VIEWER_END_MS.1).as_secs_f64();
            rng.chance(ENDED_BY_VIEWER).then_some(now + after)
        });
        let director = connection.director;
        let session =
            Session { director, group: group.unwrap_or_default(), node, ends_at, end_written: None };
        self.lock().sessions.insert(line.tag, session);
    }

    /// Sends a request and waits for its answer. Returns whether it was refused.
    async fn request(self: &Arc<Viewer>, connection: &Arc<OpenConnection>, group: usize) -> bool {
        let service = &self.plan.service_groups[group];
        let faults = self.plan.viewer_faults;
        let (tag, timeout) = self.draw(|rng| {
            (format!("{:016x}", rng.number()), (service.timeout * rng.between(0.6, 1.0) * 1e3).floor() / 1e3)
        });
        let request = Request {
            director: connection.director,
            retry_safety: service.retry_safety,
            timeout,
            sendings: Vec::new(),
            answers: Vec::new(),
            departed: None,
            ended_by_viewer: None,
            resend_refused: false,
        };
        self.record.lock().requests.insert(tag.clone(), request);
        let in_pieces = self.draw(|rng| rng.chance(faults.pieces));
        let line = self.setup_line(&tag, service, timeout, None);
        if !self.send_request(connection, &tag, &line, in_pieces).await {
            return false;
        }
        let gives_up_after =
            self.draw(|rng| rng.chance(faults.give_up).then(|| rng.millis(0.0, timeout * 1e3)));
        let mut connection = connection.clone();
        if !self.wait_for_answer(&connection, &tag, timeout, gives_up_after).await
            && *connection.ended.borrow()
            && self.crossed_close(&tag)
        {
            self.record.count("requests that crossed a close");
            match self.connect(connection.director).await {
                Ok(new) => {
                    connection = new;
                    if self.send_request(&connection, &tag, &line, false).await {
                        self.wait_for_answer(&connection, &tag, timeout, gives_up_after).await;
                    }
                }
                Err(_) => {
                    if let Some(request) = self.record.lock().requests.get_mut(&tag) {
                        request.resend_refused = true;
                    }
                }
            }
        }
        let record = self.record.lock();
        let answer = record.requests.get(&tag).and_then(|request| request.answers.first());
        matches!(answer, Some((_, Answer::Finished { .. })))
    }

    fn setup_line(&self, tag: &str, service: &ServiceGroup, timeout: f64, at: Option<&str>) -> Line {
        let mut extras = format!("home:{};copies:3;top:1;viewer:{:016x}", self.index % 3, self.index);
        if let Some(node) = at {
            extras += &format!(";at:{node}");
        }
        Line::new("START", tag)
            .with_option("class", service.name.to_string())
            .with_option("left", format!("{}", (timeout * 1e3) as u64))
            .with_option("key", format!("{:016x}", self.index % 5))
            .with_option("extras", extras)
            .with_description("v=0".into())
    }

    /// Writes a request, in pieces if asked, and records when its last byte was written. Returns whether it
    /// could be written.
    async fn send_request(
        &self,
        connection: &OpenConnection,
        tag: &str,
        line: &Line,
        in_pieces: bool,
    ) -> bool {
        let bytes = line.encode();
        let mut rest = &bytes[..];
        let mut write = connection.write.lock().await;
        if in_pieces {
            self.record.count("requests written in pieces");
            while rest.len() > 40 {
                let (piece, later) = rest.split_at(rest.len() / 2);
                if write.write_all(piece).await.is_err() {
                    return false;
                }
                rest = later;
                sleep(self.draw(|rng| rng.millis(1.0, 60.0))).await;
            }
        }
        let written_at = self.record.now();
        if *connection.ended.borrow() || write.write_all(rest).await.is_err() {
            return false;
        }
        if let Some(request) = self.record.lock().requests.get_mut(tag) {
            request.sendings.push(Sending { connection: connection.id, written_at });
        }
        true
    }

    /// Sends a request on a connection of its own, and closes or resets that right behind it. The sessions that
    /// play keep theirs: a viewer without a connection could not be told of their end by a director that stops.
    async fn leave_behind_request(&self, director: usize, group: usize) {
        let state = state_of(&self.front, director);
        if !state.admits {
            return;
        }
        let Ok(mut stream) = TcpStream::connect(state.address).await else { return };
        let service = &self.plan.service_groups[group];
        let tag = self.draw(|rng| format!("{:016x}", rng.number()));
        let line = self.setup_line(&tag, service, service.timeout, None);
        let written_at = self.record.now();
        let request = Request {
            director,
            retry_safety: service.retry_safety,
            timeout: service.timeout,
            sendings: Vec::new(),
            answers: Vec::new(),
            departed: Some((written_at, Departure::Closed)),
            ended_by_viewer: None,
            resend_refused: false,
        };
        self.record.lock().requests.insert(tag.clone(), request);
        if stream.write_all(&line.encode()).await.is_err() {
            return;
        }
        self.record.count("connections closed right behind a request");
        if self.draw(|rng| rng.chance(0.5)) {
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
        let departed_at = self.record.now();
        drop(stream);
        if let Some(request) = self.record.lock().requests.get_mut(&tag) {
            request.departed = Some((departed_at, Departure::Closed));
        }
    }

    /// Waits for the answer until some time after the viewer's timeout. Returns whether there is one, or the
    /// viewer has given up.
    async fn wait_for_answer(
        &self,
        connection: &OpenConnection,
        tag: &str,
        timeout: f64,
        gives_up_after: Option<Duration>,
    ) -> bool {
        let mut changes = connection.ended.subscribe();
        let now = Instant::now();
        let gives_up_at = gives_up_after.map(|after| now + after);
        let due = now + Duration::from_secs_f64(timeout) + LATE_WAIT;
        loop {
            let is_answered = |request: &Request| !request.answers.is_empty();
            if self.record.lock().requests.get(tag).is_some_and(is_answered) {
                return true;
            }
            if *changes.borrow_and_update() {
                return false;
            }
            let wait_until = gives_up_at.map_or(due, |at| at.min(due));
            if timeout_at(wait_until, changes.changed()).await.is_err() {
                self.give_up(connection, tag).await;
                return true;
            }
        }
    }

    async fn give_up(&self, connection: &OpenConnection, tag: &str) {
        let now = self.record.now();
        let answered = {
            let mut record = self.record.lock();
            let Some(request) = record.requests.get_mut(tag) else { return };
            request.departed = Some((now, Departure::Released));
            !request.answers.is_empty()
        };
        if !answered {
            self.record.count("requests given up by their viewer");
        }
        let line = Line::new("FINISH", tag).with_cause(CAUSE_NORMAL).encode();
        let _ = connection.write.lock().await.write_all(&line).await;
    }

    /// Returns whether the request was written shortly before its connection ended.
    fn crossed_close(&self, tag: &str) -> bool {
        let record = self.record.lock();
        let Some(sending) = record.requests.get(tag).and_then(|request| request.sendings.last()) else {
            return false;
        };
        let ended_at = record.connections.get(&sending.connection).and_then(|c| c.ended_at);
        ended_at.is_some_and(|at| at - sending.written_at <= CROSSING_SECONDS)
    }

    /// Ends the sessions whose time has come, and those whose end may not have been read.
    async fn end_due_sessions(self: &Arc<Viewer>) {
        let now = self.record.now();
        let due: Vec<(String, usize)> = {
            let state = self.lock();
            let record = self.record.lock();
            let unread = |&(written_at, connection): &(f64, u64)| {
                let ended_at = record.connections.get(&connection).and_then(|c| c.ended_at);
                ended_at.is_some_and(|at| at - written_at <= CROSSING_SECONDS)
            };
            let is_due = |session: &Session| {
                session.ends_at.is_some_and(|at| at <= now) && session.end_written.as_ref().is_none_or(unread)
            };
            let due = state.sessions.iter().filter(|(_, session)| is_due(session));
            due.map(|(tag, session)| (tag.clone(), session.director)).collect()
        };
        for (tag, director) in due {
            let Some(connection) = self.connection(director).await else { continue };
            let line = Line::new("FINISH", &tag).with_cause(CAUSE_NORMAL).encode();
            let written_at = self.record.now();
            if connection.write.lock().await.write_all(&line).await.is_err() {
                continue;
            }
            if let Some(session) = self.lock().sessions.get_mut(&tag) {
                session.end_written = Some((written_at, connection.id));
            }
            if let Some(request) = self.record.lock().requests.get_mut(&tag) {
                request.ended_by_viewer = Some(written_at);
            }
        }
    }

    /// Hands the sessions at a director over to its new process.
    pub async fn hand_over(self: Arc<Viewer>, director: usize) {
        let now = self.record.now();
        let sessions: Vec<(String, Session)> = {
            let mut state = self.lock();
            // An end that was said long before has been read.
            state.sessions.retain(|_, session| {
                session.end_written.is_none_or(|(at, _)| now - at < 1.0) || session.director != director
            });
            let of_director = state.sessions.iter().filter(|(_, session)| session.director == director);
            of_director.map(|(tag, session)| (tag.clone(), session.clone())).collect()
        };
        if sessions.is_empty() {
            return;
        }
        let Ok(connection) = self.connect(director).await else { return };
        for (tag, session) in sessions {
            let service = &self.plan.service_groups[session.group];
            let line = self.setup_line(&tag, service, service.timeout, Some(&session.node));
            self.record.count("sessions handed over to a new process");
            if connection.write.lock().await.write_all(&line.encode()).await.is_err() {
                return;
            }
        }
    }
}

/// Returns the node that a description names.
fn node_of(line: &Line) -> Option<String> {
    line.blob.as_ref()?.trim_end().rsplit(' ').next().map(str::to_string)
}

/// Connects again and again and sends what can't be used, until `stop_at` seconds.
pub async fn send_useless_lines(seed: u64, ip: [u8; 4], front: Front, record: SharedRecord, stop_at: f64) {
    let mut rng = Rng::new(seed, 3000 + u64::from(ip[3]));
    while record.now() < stop_at {
        sleep(rng.millis(100.0, 800.0)).await;
        let directors = front.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let director = rng.index(directors.len());
        if !directors[director].admits {
            continue;
        }
        let Ok(mut stream) = TcpStream::connect(directors[director].address).await else { continue };
        let text = match rng.index(5) {
            0 => "not a message\n".to_string(),
            1 => format!("{}\n", "x".repeat(20_000)),
            2 => "{\"verb\":\"START\",\"tag\":\"".to_string(),
            3 => "{\"verb\":\"START\",\"tag\":\"0000000000000bad\",\"opts\":{\"class\":\"none\"},\"blob\":\"v=0\"}\n".to_string(),
            _ => String::new(),
        };
        record.count("connections of clients that send what can't be used");
        let opened_at = record.now();
        let _ = stream.write_all(text.as_bytes()).await;
        let due = Instant::now() + USELESS_WAIT;
        let answered = timeout_at(due, stream.read(&mut [0; 256])).await.is_ok();
        let answered_at = answered.then(|| record.now());
        record.lock().useless_connections.push(UselessConnection { director, opened_at, answered_at });
    }
}
