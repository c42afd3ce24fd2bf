//! The task that owns the engine. What has come in is drained into one round; effects go to the tasks that they
//! concern without waiting for any of them.

use std::collections::HashMap;
use std::io::Write;
use std::path::PathBuf;

use ashglade::ids::{NodeId, SessionId};
use ashglade::interface::AttemptOutcome;
use ashglade::time::Instant;
use ashglade_clock::Clock;
use ashglade_engine::record::{RecordHeader, RecordedRound};
use ashglade_engine::{Effect, Engine, EngineConfig, Input, SetupResult};
use ashglade_ledger::{Ledger, TeardownOutcome, journal};
use tokio::sync::{mpsc, watch};
use tracing::{debug, info, warn};

use crate::files;
use crate::orders::{Command, Errand, Order, Page};

/// Inputs taken into one round at most.
const ROUND: usize = 1024;
/// The ledger and where it is written.
pub struct Book {
    pub ledger: Ledger,
    pub file: Option<std::fs::File>,
}

impl Book {
    fn write(&mut self, line: &journal::Entry) {
        // Written at once: a kill must not take it along.
        if let Some(file) = &mut self.file
            && let Err(error) = file.write_all(journal::encode(line).as_bytes())
        {
            warn!(%error, "the ledger can't be written; it is kept in memory alone");
            self.file = None;
        }
    }

    fn take(&mut self, page: Page, now: Instant) {
        match page {
            Page::Hold(key, held) => {
                self.write(&journal::Entry::Held(key, held.clone()));
                self.ledger.session_held(key, held);
            }
            Page::Ended(key) => {
                self.ledger.session_ended(key);
                self.write(&journal::Entry::Removed(key));
            }
            Page::Owe(key) => self.ledger.schedule_teardown(key, now),
            Page::Told(key, outcome) => {
                if self.ledger.teardown_finished(key, outcome, now) {
                    self.write(&journal::Entry::Removed(key));
                }
            }
        }
    }
}

struct Loop {
    engine: Engine,
    with: With,
    sessions: HashMap<SessionId, mpsc::Sender<Order>>,
    /// What came of the last round's effects at once.
    next: Vec<Input>,
    record: Option<std::io::BufWriter<std::fs::File>>,
    book: Book,
    drained: watch::Sender<bool>,
    /// What came of SETUPs is told here, where directors share it.
    seen: Option<mpsc::Sender<SetupResult>>,
    /// Of it, what could not be told in the last second.
    unseen: u64,
}

/// What the task needs of the director.
pub struct With {
    pub clock: Clock,
    /// Where the door's view is written.
    pub door_view: Option<PathBuf>,
    /// What is to be done at nodes.
    pub errands: mpsc::Sender<Errand>,
}

/// Runs until no task holds a [`crate::orders::Core`] any longer.
pub async fn run(
    with: With,
    start: EngineConfig,
    mut commands: mpsc::Receiver<Command>,
    record: Option<std::fs::File>,
    book: Book,
    drained: watch::Sender<bool>,
    seen: Option<mpsc::Sender<SetupResult>>,
) {
    let clock = with.clock;
    let begun = clock.now();
    let mut record = record.map(std::io::BufWriter::new);
    if let Some(file) = &mut record {
        write_line(file, &RecordHeader { started: begun });
    }
    let engine = Engine::new(start, begun);
    let (sessions, next) = (HashMap::new(), Vec::new());
    let mut this = Loop { engine, with, sessions, next, record, book, drained, seen, unseen: 0 };
    let mut taken = Vec::with_capacity(ROUND);
    let mut flushed = clock.now();
    loop {
        let due = this.engine.next_deadline().into_iter().chain(this.book.ledger.next_deadline()).min();
        let due = due.map(|at| clock.to_tokio(at));
        let wait = async {
            match due {
                Some(at) => tokio::time::sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        if this.next.is_empty() {
            tokio::select! {
                n = commands.recv_many(&mut taken, ROUND) => if n == 0 { break },
                () = wait => {}
            }
        }
        let mut inputs = std::mem::take(&mut this.next);
        inputs.extend(taken.drain(..).filter_map(|command| this.admit(command)));
        this.round(clock.now(), inputs);
        this.tear_down_owed(clock.now());
        if clock.now() - flushed > ashglade::time::Span::from_secs(1.0) {
            flushed = clock.now();
            this.each_second();
        }
    }
}

impl Loop {
    /// Brings the record up to date and shows the door.
    fn each_second(&mut self) {
        if std::mem::take(&mut self.unseen) > 0 {
            warn!("ends of SETUPs came faster than they could be told to other directors");
        }
        if let Some(file) = &mut self.record {
            let _ = file.flush();
        }
        if let (Some(door), Some(path)) = (self.engine.admission(), &self.with.door_view) {
            let text = serde_json::to_string(&door.status()).unwrap_or_default();
            if let Err(error) = files::replace(path, &text) {
                warn!(path = %path.display(), %error, "the view of the door can't be written");
            }
        }
    }

    fn admit(&mut self, command: Command) -> Option<Input> {
        match command {
            Command::Input(input) => Some(input),
            Command::Open { input, sess, orders } => {
                self.sessions.insert(sess, orders);
                Some(input)
            }
            Command::Close(sess) => {
                self.sessions.remove(&sess);
                None
            }
            Command::Page(page) => {
                self.book.take(page, self.with.clock.now());
                None
            }
            Command::Tally(reply) => {
                let _ = reply.send((self.engine.tally().clone(), self.engine.session_count()));
                None
            }
        }
    }

    fn tear_down_owed(&mut self, now: Instant) {
        let (calls, struck) = self.book.ledger.due_teardowns(now);
        for key in struck {
            self.book.write(&journal::Entry::Removed(key));
        }
        for call in calls {
            debug!(node = %call.held.address, "a tear-down that is owed");
            let sess = call.session;
            if self.with.errands.try_send(Errand::TearDown(call)).is_err() {
                // It is tried again as one that failed is.
                self.book.take(Page::Told(sess, TeardownOutcome::Failed), now);
            }
        }
    }

    /// What nodes lost by starting again is not owed any longer.
    fn nodes_started(&mut self) {
        let starts: Vec<(NodeId, Instant)> = self
            .engine
            .membership()
            .nodes()
            .filter_map(|(&n, entry)| Some((n, entry.info.started?)))
            .collect();
        for (node, at) in starts {
            for key in self.book.ledger.node_started(node, at) {
                self.book.write(&journal::Entry::Removed(key));
            }
        }
    }

    fn round(&mut self, now: Instant, inputs: Vec<Input>) {
        let recorded = self.record.is_some().then(|| inputs.clone());
        let effects = self.engine.round(now, inputs);
        if let Some(seen) = &self.seen {
            // What doesn't fit is one director's sight of one SETUP; it is counted.
            let lost = self.engine.setup_results().iter().filter(|&&outcome| seen.try_send(outcome).is_err());
            self.unseen += lost.count() as u64;
        }
        if let (Some(file), Some(inputs)) = (&mut self.record, recorded) {
            write_line(file, &RecordedRound { at: now, inputs, effects: effects.clone() });
        }
        for effect in effects {
            self.act(now, effect);
        }
    }

    fn act(&mut self, now: Instant, effect: Effect) {
        match effect {
            Effect::SendSetup { session: sess, setup, node, rung, .. } => {
                let addresses =
                    self.engine.membership().entry(node).map(|entry| (entry.address, entry.http_address));
                let sent = addresses.is_some_and(|(address, http)| {
                    debug!(sess = sess.0, node = %address, rung = rung.0, "SETUP");
                    self.order(sess, Order::Setup { setup, node, address, http, rung, decided: now })
                });
                if !sent {
                    self.next.push(Input::SetupFailed {
                        session: sess,
                        setup,
                        outcome: AttemptOutcome::Unsent,
                        load: None,
                    });
                }
            }
            Effect::CancelSetup { session: sess, setup, if_unsent } => {
                self.order(sess, Order::Withdraw { setup, if_unsent });
            }
            Effect::Respond { session: sess, response: answer } => {
                debug!(sess = sess.0, ?answer, "answered");
                self.order(sess, Order::Answer(answer));
            }
            Effect::ChangeRung { session: sess, rung } => {
                debug!(sess = sess.0, rung = rung.0, "rung");
                self.order(sess, Order::Rung(rung));
            }
            Effect::ReleaseSession { session: sess } => {
                self.order(sess, Order::Release);
            }
            // These fronts have no word for coming again: the session ends.
            Effect::ReconnectViewer { session: sess } => {
                self.order(sess, Order::Release);
                self.next.push(Input::SessionEnded { session: sess, outcome: AttemptOutcome::Cancelled });
            }
            Effect::SendProbe { probe, node } => {
                let address = self.engine.membership().entry(node).map(|entry| entry.address);
                let sent =
                    address.map(|address| self.with.errands.try_send(Errand::Probe { probe, address }));
                if !matches!(sent, Some(Ok(()))) {
                    self.next.push(Input::ProbeResult { probe, load: None });
                }
            }
            Effect::DiscoveryResult { generation, rejection: None } => {
                info!(generation, "box list taken");
                self.nodes_started();
            }
            Effect::DiscoveryResult { generation, rejection: Some(why) } => {
                warn!(generation, why, "box list left out; the one held stays in force");
            }
            Effect::Drained => {
                let _ = self.drained.send(true);
            }
        }
    }

    /// Hands an order to the session's task; false where that is gone or doesn't take orders.
    fn order(&mut self, sess: SessionId, order: Order) -> bool {
        let Some(orders) = self.sessions.get(&sess) else { return false };
        match orders.try_send(order) {
            Ok(()) => true,
            Err(error) => {
                if matches!(error, mpsc::error::TrySendError::Full(_)) {
                    warn!(sess = sess.0, "takes no orders; let go");
                    self.next.push(Input::ViewerLeft { session: sess });
                }
                self.sessions.remove(&sess);
                false
            }
        }
    }
}

fn write_line(file: &mut std::io::BufWriter<std::fs::File>, line: &impl serde::Serialize) {
    let written = serde_json::to_writer(&mut *file, line).map_err(std::io::Error::from);
    if let Err(error) = written.and_then(|()| file.write_all(b"\n")) {
        warn!(%error, "the record can't be written");
    }
}
