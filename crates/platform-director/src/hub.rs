//! The task that owns the switchboard. All that has come in is taken in one turn; what comes of it goes to the
//! connections without waiting for any of them.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use ashglade::time::Instant;
use ashglade_clock::Clock;
use ashglade_platform::{Action, DownstreamId, Event, Gateway, UpstreamId};
use bytes::Bytes;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, mpsc};
use tokio::task::yield_now;
use tracing::{debug, info, warn};

use crate::connection::Order;
use crate::{nodes, viewers};

/// Words that wait for the hub at most, and are taken in one turn; a full channel slows those who read sockets, and loses
/// nothing: what is unread waits with the machine, where its sender sees that it does.
const WORDS: usize = 1024;
/// What comes first waits for a turn, not for a queue: there are few of them.
const FIRST: usize = 4;
/// The state of things is logged so often.
const REPORT: Duration = Duration::from_secs(10);
/// Between attempts to take a connection, where the machine has no descriptor for it.
const PAUSE: Duration = Duration::from_millis(20);
/// So late, we stood still.
const STOOD_STILL: Duration = Duration::from_millis(50);
/// Last lines have so long before the process ends.
const LAST: Duration = Duration::from_millis(300);

/// What connections tell the hub.
pub enum Word {
    /// With what its connection is given orders by.
    Opened(DownstreamId, IpAddr, mpsc::Sender<Order>),
    Event(Event),
}

/// Descriptors that connections may hold, those that are closing included. Both together leave room for the event bus and for
/// what the process holds for itself, whoever fills the rest.
#[derive(Clone)]
pub struct Descriptors {
    pub viewers: Arc<Semaphore>,
    pub nodes: Arc<Semaphore>,
}

impl Descriptors {
    pub fn of(board: &Gateway) -> Descriptors {
        let [viewers, nodes] = board.descriptor_limits();
        Descriptors { viewers: Arc::new(Semaphore::new(viewers)), nodes: Arc::new(Semaphore::new(nodes)) }
    }
}

pub struct Hub {
    board: Gateway,
    clock: Clock,
    dial_timeout: Duration,
    descriptors: Descriptors,
    words: (mpsc::Sender<Word>, mpsc::Receiver<Word>),
    /// The event bus and the planned end: no flood of connections keeps them waiting.
    first: (mpsc::Sender<Event>, mpsc::Receiver<Event>),
    /// With how many lines have come from each.
    viewers: BTreeMap<DownstreamId, (mpsc::Sender<Order>, u64)>,
    nodes: BTreeMap<UpstreamId, mpsc::Sender<Order>>,
    /// What the board hears of in the next turn.
    taken: Vec<Event>,
}

impl Hub {
    pub fn new(board: Gateway, clock: Clock, dial_timeout: Duration) -> Hub {
        Hub {
            descriptors: Descriptors::of(&board),
            board,
            clock,
            dial_timeout,
            words: mpsc::channel(WORDS),
            first: mpsc::channel(FIRST),
            viewers: BTreeMap::new(),
            nodes: BTreeMap::new(),
            taken: Vec::new(),
        }
    }

    /// Where the event bus and the planned end are told.
    pub fn first(&self) -> mpsc::Sender<Event> {
        self.first.0.clone()
    }

    /// Takes viewers' connections, as many as there are descriptors for; others wait with the machine.
    pub fn accept(&self, listener: TcpListener) -> impl Future<Output = ()> + Send + 'static {
        let (words, descriptors) = (self.words.0.clone(), self.descriptors.viewers.clone());
        let queue = self.board.max_queued_lines();
        async move {
            let mut next = 0;
            while let Ok(descriptor) = descriptors.clone().acquire_owned().await {
                match listener.accept().await {
                    Ok((stream, from)) => {
                        let link = DownstreamId(next);
                        next += 1;
                        tokio::spawn(viewers::serve(
                            link,
                            from.ip(),
                            stream,
                            descriptor,
                            queue,
                            words.clone(),
                        ));
                    }
                    Err(error) => {
                        warn!(%error, "a connection can't be accepted");
                        tokio::time::sleep(PAUSE).await;
                    }
                }
            }
        }
    }

    /// Until nothing is owed to anybody after a planned end was told.
    pub async fn run(mut self) {
        let mut words = Vec::with_capacity(WORDS);
        let mut report = tokio::time::interval(REPORT);
        loop {
            let due = if self.taken.is_empty() { self.board.next_deadline() } else { Instant::LONG_AGO };
            let due = self.clock.to_tokio(due);
            tokio::select! {
                biased;
                Some(event) = self.first.1.recv() => self.taken.push(event),
                _ = self.words.1.recv_many(&mut words, WORDS) => {}
                () = tokio::time::sleep_until(due) => {
                    if due.elapsed() > STOOD_STILL {
                        // What came meanwhile is still with the machine, and goes before what is late.
                        yield_now().await;
                    }
                }
                _ = report.tick() => self.report(),
            }
            // Whatever woke us: what has come is heard before anything that is due is acted on.
            while let Ok(event) = self.first.1.try_recv() {
                self.taken.push(event);
            }
            while words.len() < WORDS
                && let Ok(word) = self.words.1.try_recv()
            {
                words.push(word);
            }
            let mut closed = Vec::new();
            for word in words.drain(..) {
                match word {
                    Word::Opened(link, from, sender) => {
                        self.viewers.insert(link, (sender, 0));
                        self.taken.push(Event::DownstreamOpened(link, from));
                    }
                    Word::Event(event) => {
                        match event {
                            Event::DownstreamMessage(link, _) => {
                                if let Some((_, heard)) = self.viewers.get_mut(&link) {
                                    *heard += 1;
                                }
                            }
                            Event::DownstreamClosed(link, _) => closed.push(link),
                            Event::UpstreamClosed(trunk, ..) => drop(self.nodes.remove(&trunk)),
                            _ => {}
                        }
                        self.taken.push(event);
                    }
                }
            }
            for action in self.board.process(self.clock.now(), std::mem::take(&mut self.taken)) {
                self.act(action);
            }
            // Those had their last words in this turn.
            for link in closed {
                self.viewers.remove(&link);
            }
            if self.board.is_drained(self.clock.now()) {
                info!("nothing is owed any longer: ended as planned");
                return self.close().await;
            }
            // Connections are read between two turns, however much is due.
            yield_now().await;
        }
    }

    /// What was written last is on its way before the process ends.
    async fn close(self) {
        let Descriptors { nodes, .. } = self.descriptors;
        let [_, all] = self.board.descriptor_limits();
        drop((self.viewers, self.nodes));
        let _ = tokio::time::timeout(LAST, nodes.acquire_many(all as u32)).await;
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::SendDownstream(link, line) => {
                if let Some(unread) = order(self.viewers.get(&link).map(|(sender, _)| sender), line) {
                    debug!(link = link.0, "does not read; let go");
                    self.viewers.remove(&link);
                    self.taken.push(Event::DownstreamUndelivered(link, unread));
                }
            }
            Action::SendDownstreamAfterClose(link, line) => {
                if let Some((connection, _)) = self.viewers.get(&link) {
                    let _ = connection.try_send(Order::Last(line));
                }
            }
            Action::CloseDownstream(link) => drop(self.viewers.remove(&link)),
            Action::CloseDownstreamIfIdle(link) => {
                if let Some((connection, heard)) = self.viewers.get(&link) {
                    let _ = connection.try_send(Order::CloseIfQuiet(*heard));
                }
            }
            Action::ConnectUpstream(trunk, address) => {
                let (sender, orders) = mpsc::channel(self.board.max_queued_lines());
                self.nodes.insert(trunk, sender);
                let (descriptors, words) = (self.descriptors.nodes.clone(), self.words.0.clone());
                tokio::spawn(nodes::serve(trunk, address, self.dial_timeout, descriptors, orders, words));
            }
            Action::SendUpstream(trunk, line) => {
                if let Some(unread) = order(self.nodes.get(&trunk), line) {
                    debug!(trunk = trunk.0, "does not read; let go");
                    self.nodes.remove(&trunk);
                    self.taken.push(Event::UpstreamUndelivered(trunk, unread));
                }
            }
            Action::CloseUpstream(trunk) => drop(self.nodes.remove(&trunk)),
        }
    }

    fn report(&self) {
        let [sessions, viewers, nodes, trunks] = self.board.sizes();
        let tally = self.board.tally().cloned().unwrap_or_default();
        info!(sessions, viewers, nodes, trunks, ?tally, "state");
    }
}

/// Sends a line to a connection; it comes back where the connection has ended or too much waits there.
fn order(connection: Option<&mpsc::Sender<Order>>, line: Bytes) -> Option<Bytes> {
    let Some(connection) = connection else { return Some(line) };
    match connection.try_send(Order::Line(line)).err()?.into_inner() {
        Order::Line(line) => Some(line),
        Order::Last(_) | Order::CloseIfQuiet(_) => None,
    }
}
