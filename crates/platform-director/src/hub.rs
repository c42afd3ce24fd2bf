//! The task that owns the switchboard. What has come in is drained into one turn; what comes of it goes to the
//! connections without waiting for any of them.

use std::collections::BTreeMap;
use std::time::Duration;

use ashglade_platform::{Action, Board, Event, Link, Trunk};
use bytes::Bytes;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tracing::{debug, info, warn};

use crate::lines::QUEUE;
use crate::{nodes, viewers};
use ashglade_clock::Clock;

/// Events taken into one turn at most.
const TURN: usize = 256;
/// The state of things is logged so often.
const REPORT: Duration = Duration::from_secs(10);

/// An accepted connection, on its way to the hub.
type Accepted = (Link, mpsc::Sender<Bytes>);

pub struct Hub {
    board: Board,
    clock: Clock,
    events: mpsc::Sender<Event>,
    dial_timeout: Duration,
    accepted: (mpsc::Sender<Accepted>, mpsc::Receiver<Accepted>),
    viewers: BTreeMap<Link, mpsc::Sender<Bytes>>,
    nodes: BTreeMap<Trunk, mpsc::Sender<Bytes>>,
}

impl Hub {
    pub fn new(board: Board, clock: Clock, events: mpsc::Sender<Event>, dial_timeout: Duration) -> Hub {
        let accepted = mpsc::channel(16);
        Hub { board, clock, events, dial_timeout, accepted, viewers: BTreeMap::new(), nodes: BTreeMap::new() }
    }

    /// Takes viewers' connections.
    pub fn accept(&self, listener: TcpListener) -> impl Future<Output = ()> + Send + 'static {
        let (events, accepted) = (self.events.clone(), self.accepted.0.clone());
        async move {
            let mut next = 0;
            loop {
                match listener.accept().await {
                    Ok((stream, from)) => {
                        let link = Link(next);
                        next += 1;
                        let (sender, queue) = mpsc::channel(QUEUE);
                        if accepted.send((link, sender)).await.is_err() {
                            return;
                        }
                        tokio::spawn(viewers::serve(link, from.ip(), stream, queue, events.clone()));
                    }
                    Err(error) => {
                        // Out of descriptors, it may be: there is room again when some are closed.
                        warn!(%error, "a connection can't be accepted");
                        tokio::time::sleep(Duration::from_millis(20)).await;
                    }
                }
            }
        }
    }

    pub async fn run(mut self, mut inbox: mpsc::Receiver<Event>) {
        let mut taken = Vec::with_capacity(TURN);
        let mut report = tokio::time::interval(REPORT);
        loop {
            let due = self.clock.at(self.board.next_due());
            tokio::select! {
                biased;
                Some((link, queue)) = self.accepted.1.recv() => {
                    self.viewers.insert(link, queue);
                    continue;
                }
                n = inbox.recv_many(&mut taken, TURN) => if n == 0 { return },
                () = tokio::time::sleep_until(due) => {}
                _ = report.tick() => self.report(),
            }
            for event in &taken {
                match event {
                    Event::Closed(link) => drop(self.viewers.remove(link)),
                    Event::Down(trunk, _) => drop(self.nodes.remove(trunk)),
                    _ => {}
                }
            }
            for action in self.board.turn(self.clock.now(), taken.drain(..)) {
                self.act(action);
            }
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::ToViewer(link, line) => {
                if let Some(queue) = self.viewers.get(&link)
                    && queue.try_send(line).is_err()
                {
                    debug!(link = link.0, "does not read; let go");
                    self.viewers.remove(&link);
                }
            }
            Action::CloseViewer(link) => drop(self.viewers.remove(&link)),
            Action::Dial(trunk, address) => {
                let (sender, queue) = mpsc::channel(QUEUE);
                self.nodes.insert(trunk, sender);
                tokio::spawn(nodes::serve(trunk, address, self.dial_timeout, queue, self.events.clone()));
            }
            Action::ToNode(trunk, line) => {
                if let Some(queue) = self.nodes.get(&trunk)
                    && queue.try_send(line).is_err()
                {
                    debug!(trunk = trunk.0, "does not read; let go");
                    self.nodes.remove(&trunk);
                }
            }
            Action::HangUp(trunk) => drop(self.nodes.remove(&trunk)),
        }
    }

    fn report(&self) {
        let [sessions, viewers, nodes, trunks] = self.board.sizes();
        let tally = self.board.tally().cloned().unwrap_or_default();
        info!(sessions, viewers, nodes, trunks, ?tally, "state");
    }
}
