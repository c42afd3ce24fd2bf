//! A media node that keeps to the protocol page, with the faults of its connections that a case asks for.
//!
//! - A set-up is answered after `answer_ms`, unless it is given up before. One whose description is of no use is
//!   answered by a release with cause 47, as an error.
//! - A standing session is tied to no connection. Its release goes out on the connection of its set-up, else on
//!   any open connection, and again on the next connection that is opened.
//! - A release from the director cuts the session, and is confirmed.
//! - When a connection closes, the set-ups open on it are given up.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use crate::line;
use crate::record::Record;
use crate::sys;

/// Address of the connections that fill the queue of a node that is cut off.
const FILLER_IP: &str = "127.9.9.9";

/// A connection of the director.
struct Connection {
    stream: TcpStream,
    /// Lines that the node has written while the network holds them back.
    held: Vec<String>,
    holds: bool,
}

#[derive(Default)]
struct State {
    connections: BTreeMap<u64, Connection>,
    next: u64,
    /// Set-ups without an answer, by tag, with their connection.
    open: BTreeMap<String, u64>,
    /// Sessions that stand, by tag, with the connection of their set-up and the time of their start.
    pub standing: BTreeMap<String, (u64, f64)>,
    /// Releases to be repeated on the next connection.
    repeats: Vec<String>,
    answer_ms: u64,
}

#[derive(Clone)]
pub struct Node {
    pub name: String,
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    record: Record,
    listener: Arc<Mutex<Option<TcpListener>>>,
    cut_off: Arc<Mutex<bool>>,
}

impl Node {
    /// Starts a node at a free port.
    pub fn start(name: &str, record: &Record) -> Node {
        Node::start_on(name, SocketAddr::from(([127, 0, 0, 1], 0)), record)
    }

    /// Starts a node at this address, which another one may have had before.
    pub fn start_on(name: &str, address: SocketAddr, record: &Record) -> Node {
        let listener = TcpListener::bind(address).unwrap();
        listener.set_nonblocking(true).unwrap();
        let node = Node {
            name: name.to_string(),
            address: listener.local_addr().unwrap(),
            state: Arc::new(Mutex::new(State { answer_ms: 20, ..State::default() })),
            record: record.clone(),
            listener: Arc::new(Mutex::new(Some(listener))),
            cut_off: Arc::default(),
        };
        let accepting = node.clone();
        std::thread::spawn(move || accepting.accept());
        node
    }

    /// Accepts connections until the process has ended.
    fn accept(&self) {
        loop {
            self.wait_while_cut_off();
            let accepted = match self.listener.lock().unwrap().as_ref() {
                Some(listener) => listener.accept(),
                None => return,
            };
            let Ok((stream, peer)) = accepted else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            if peer.ip().to_string() == FILLER_IP {
                continue;
            }
            let _ = stream.set_nonblocking(false);
            let node = self.clone();
            std::thread::spawn(move || node.serve(stream));
        }
    }

    /// Ends the node for good: its connections are reset, its sessions are over, and its address is free.
    pub fn end(&self) {
        self.log("ends; its connections are reset, and its sessions are over");
        *self.cut_off.lock().unwrap() = false;
        *self.listener.lock().unwrap() = None;
        let mut state = self.lock();
        state.standing.clear();
        state.open.clear();
        for connection in state.connections.values() {
            sys::reset_on_close(&connection.stream);
            let _ = connection.stream.shutdown(std::net::Shutdown::Read);
        }
        state.connections.clear();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn log(&self, what: &str) {
        self.record.log(&self.name, what);
    }

    fn wait_while_cut_off(&self) {
        while *self.cut_off.lock().unwrap() {
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Cuts the machine off: open connections stay open and silent, and new ones never come up. What the
    /// director sends meanwhile waits, as TCP repeats it.
    pub fn cut_off(&self) {
        self.log("is cut off");
        *self.cut_off.lock().unwrap() = true;
        let mut state = self.lock();
        state.connections.values_mut().for_each(|c| c.holds = true);
        drop(state);
        // One connection that waits for an accept fills the queue, so that no other comes up.
        self.set_backlog(0);
        for _ in 0..3 {
            let address = self.address;
            std::thread::spawn(move || {
                let filler = sys::connect_from(FILLER_IP, address);
                std::thread::sleep(Duration::from_secs(8));
                drop(filler);
            });
        }
    }

    /// Ends the cut.
    pub fn reconnect(&self) {
        self.log("is reachable again");
        self.set_backlog(128);
        *self.cut_off.lock().unwrap() = false;
        let ids: Vec<u64> = self.lock().connections.keys().copied().collect();
        ids.into_iter().for_each(|id| self.release_held(id));
    }

    fn set_backlog(&self, backlog: i32) {
        if let Some(listener) = self.listener.lock().unwrap().as_ref() {
            sys::set_backlog(listener, backlog);
        }
    }

    pub fn set_answer_ms(&self, ms: u64) {
        self.lock().answer_ms = ms;
    }

    pub fn stands(&self, tag: &str) -> bool {
        self.lock().standing.contains_key(tag)
    }

    fn release_held(&self, id: u64) {
        let mut state = self.lock();
        if let Some(connection) = state.connections.get_mut(&id) {
            connection.holds = false;
            let lines = std::mem::take(&mut connection.held);
            if !lines.is_empty() {
                let _ = (&connection.stream).write_all((lines.join("\n") + "\n").as_bytes());
            }
        }
    }

    fn send(&self, state: &mut State, id: u64, text: String) {
        let Some(connection) = state.connections.get_mut(&id) else { return };
        if connection.holds {
            self.log(&format!("[{id}] held back: {text}"));
            connection.held.push(text);
        } else {
            self.log(&format!("[{id}] > {text}"));
            let _ = (&connection.stream).write_all(format!("{text}\n").as_bytes());
        }
    }

    /// Ends a session that stands: the node releases it with this cause. Returns the time.
    pub fn end_session(&self, tag: &str, cause: u16) -> f64 {
        let mut state = self.lock();
        let Some((of_setup, _)) = state.standing.remove(tag) else { return self.record.now() };
        let open = state.connections.contains_key(&of_setup).then_some(of_setup);
        let chosen = open.or_else(|| state.connections.keys().next().copied());
        self.log(&format!("session {tag} ends with cause {cause}"));
        if let Some(id) = chosen {
            self.send(&mut state, id, line::finish(tag, cause));
        }
        state.repeats.push(line::finish(tag, cause));
        self.record.now()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else { return };
        let id = {
            let mut state = self.lock();
            state.next += 1;
            let id = state.next;
            let connection = Connection { stream, held: Vec::new(), holds: false };
            state.connections.insert(id, connection);
            self.log(&format!("[{id}] connection accepted"));
            for repeated in std::mem::take(&mut state.repeats) {
                self.send(&mut state, id, repeated);
            }
            id
        };
        for received in BufReader::new(reading).lines() {
            let Ok(received) = received else { break };
            self.wait_while_cut_off();
            self.handle(id, &received);
        }
        self.wait_while_cut_off();
        let mut state = self.lock();
        state.connections.remove(&id);
        state.open.retain(|_, on| *on != id);
        self.log(&format!("[{id}] connection ended"));
    }

    fn handle(&self, id: u64, received: &str) {
        let tag = line::tag(received);
        self.log(&format!("[{id}] < {received}"));
        let mut state = self.lock();
        match line::verb(received).as_str() {
            "ECHO" => self.send(&mut state, id, line::echoed(&tag)),
            "START" if !line::is_usable(received) => {
                self.send(&mut state, id, line::finish(&tag, 47));
            }
            "START" => {
                state.open.insert(tag.clone(), id);
                let after = state.answer_ms;
                let node = self.clone();
                std::thread::spawn(move || {
                    std::thread::sleep(Duration::from_millis(after));
                    node.answer(id, &tag);
                });
            }
            "FINISH" => {
                state.open.remove(&tag);
                state.standing.remove(&tag);
                self.send(&mut state, id, line::finished(&tag));
            }
            _ => {}
        }
    }

    fn answer(&self, id: u64, tag: &str) {
        let mut state = self.lock();
        if state.open.remove(tag).is_none() {
            return;
        }
        state.standing.insert(tag.to_string(), (id, self.record.now()));
        self.send(&mut state, id, line::started(tag, &format!("v=0\\r\\ns={} for {tag}\\r\\n", self.name)));
    }
}
