//! The task that owns the engine. It passes all queued inputs to the engine as one round and hands the
//! resulting effects to the tasks concerned without waiting for any of them.

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

use crate::engine_handle::{EngineMessage, LedgerUpdate, NodeRequest, SessionCommand};
use crate::files;

/// Maximum number of queued messages taken into one round.
const MAX_INPUTS_PER_ROUND: usize = 1024;

/// The ledger, and the journal file that makes it durable.
///
/// Without a file the ledger is kept in memory only.
pub struct LedgerStore {
    /// Sessions held at nodes and pending tear-downs.
    pub ledger: Ledger,
    /// The journal, opened for appending.
    pub file: Option<std::fs::File>,
}

impl LedgerStore {
    /// Appends an entry to the journal.
    fn append(&mut self, entry: &journal::Entry) {
        // Written without buffering, so that the entry survives if the process is killed.
        if let Some(file) = &mut self.file
            && let Err(error) = file.write_all(journal::encode(entry).as_bytes())
        {
            warn!(%error, "writing the session ledger failed; it is kept in memory only from now on");
            self.file = None;
        }
    }

    /// Applies an update to the ledger and the journal.
    fn apply(&mut self, update: LedgerUpdate, now: Instant) {
        match update {
            LedgerUpdate::SessionHeld(key, held) => {
                self.append(&journal::Entry::Held(key, held.clone()));
                self.ledger.session_held(key, held);
            }
            LedgerUpdate::SessionEnded(key) => {
                self.ledger.session_ended(key);
                self.append(&journal::Entry::Removed(key));
            }
            LedgerUpdate::ScheduleTeardown(key) => self.ledger.schedule_teardown(key, now),
            LedgerUpdate::TeardownFinished(key, outcome) => {
                if self.ledger.teardown_finished(key, outcome, now) {
                    self.append(&journal::Entry::Removed(key));
                }
            }
        }
    }
}

/// State of the engine's task.
struct EngineTask {
    engine: Engine,
    config: EngineTaskConfig,
    /// Command queues of the sessions' tasks.
    sessions: HashMap<SessionId, mpsc::Sender<SessionCommand>>,
    /// Inputs for the next round that follow directly from the last round's effects.
    next_inputs: Vec<Input>,
    recording: Option<std::io::BufWriter<std::fs::File>>,
    ledger_store: LedgerStore,
    drained: watch::Sender<bool>,
    /// Receives the results of SETUPs where directors share them.
    setup_results: Option<mpsc::Sender<SetupResult>>,
    /// Number of results dropped in the last second because the channel was full.
    dropped_results: u64,
}

/// Clock, file and channel that the engine's task uses.
pub struct EngineTaskConfig {
    pub clock: Clock,
    /// Where the status of the admission queue is written.
    pub admission_status_path: Option<PathBuf>,
    /// Receives probes and pending tear-downs to send to nodes.
    pub node_requests: mpsc::Sender<NodeRequest>,
}

/// Runs until the last [`crate::engine_handle::EngineHandle`] is dropped.
///
/// `recording` receives the rounds as JSON lines. `drained` is set once a draining engine is empty.
pub async fn run(
    config: EngineTaskConfig,
    engine_config: EngineConfig,
    mut messages: mpsc::Receiver<EngineMessage>,
    recording: Option<std::fs::File>,
    ledger_store: LedgerStore,
    drained: watch::Sender<bool>,
    setup_results: Option<mpsc::Sender<SetupResult>>,
) {
    let clock = config.clock;
    let started_at = clock.now();
    let mut recording = recording.map(std::io::BufWriter::new);
    if let Some(file) = &mut recording {
        write_json_line(file, &RecordHeader { started: started_at });
    }
    let engine = Engine::new(engine_config, started_at);
    let (sessions, next_inputs) = (HashMap::new(), Vec::new());
    let mut task = EngineTask {
        engine,
        config,
        sessions,
        next_inputs,
        recording,
        ledger_store,
        drained,
        setup_results,
        dropped_results: 0,
    };
    let mut received = Vec::with_capacity(MAX_INPUTS_PER_ROUND);
    let mut last_flush = clock.now();
    loop {
        let deadline =
            task.engine.next_deadline().into_iter().chain(task.ledger_store.ledger.next_deadline()).min();
        let deadline = deadline.map(|at| clock.to_tokio(at));
        let wait_for_deadline = async {
            match deadline {
                Some(at) => tokio::time::sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        if task.next_inputs.is_empty() {
            tokio::select! {
                n = messages.recv_many(&mut received, MAX_INPUTS_PER_ROUND) => if n == 0 { break },
                () = wait_for_deadline => {}
            }
        }
        let mut inputs = std::mem::take(&mut task.next_inputs);
        inputs.extend(received.drain(..).filter_map(|message| task.handle_message(message)));
        task.run_round(clock.now(), inputs);
        task.start_due_teardowns(clock.now());
        if clock.now() - last_flush > ashglade::time::Span::from_secs(1.0) {
            last_flush = clock.now();
            task.run_each_second();
        }
    }
}

impl EngineTask {
    /// Flushes the recording and writes the status of the admission queue.
    fn run_each_second(&mut self) {
        if std::mem::take(&mut self.dropped_results) > 0 {
            warn!(
                "SETUP results were dropped: they arrived faster than they could be sent to other directors"
            );
        }
        if let Some(file) = &mut self.recording {
            let _ = file.flush();
        }
        if let (Some(admission), Some(path)) = (self.engine.admission(), &self.config.admission_status_path) {
            let text = serde_json::to_string(&admission.status()).unwrap_or_default();
            if let Err(error) = files::replace_file(path, &text) {
                warn!(path = %path.display(), %error, "writing the status of the admission queue failed");
            }
        }
    }

    /// Applies a message and returns the engine's input, if it holds one.
    fn handle_message(&mut self, message: EngineMessage) -> Option<Input> {
        match message {
            EngineMessage::Input(input) => Some(input),
            EngineMessage::OpenSession { input, session_id, commands } => {
                self.sessions.insert(session_id, commands);
                Some(input)
            }
            EngineMessage::CloseSession(session_id) => {
                self.sessions.remove(&session_id);
                None
            }
            EngineMessage::UpdateLedger(update) => {
                self.ledger_store.apply(update, self.config.clock.now());
                None
            }
            EngineMessage::GetTally(reply) => {
                let _ = reply.send((self.engine.tally().clone(), self.engine.session_count()));
                None
            }
        }
    }

    /// Starts the pending tear-downs that are due.
    fn start_due_teardowns(&mut self, now: Instant) {
        let (teardowns, removed) = self.ledger_store.ledger.due_teardowns(now);
        for key in removed {
            self.ledger_store.append(&journal::Entry::Removed(key));
        }
        for teardown in teardowns {
            debug!(node = %teardown.held.address, "attempting a pending tear-down");
            let session_id = teardown.session;
            if self.config.node_requests.try_send(NodeRequest::Teardown(teardown)).is_err() {
                // The request queue is full: counts as a failed attempt, which is retried.
                self.ledger_store
                    .apply(LedgerUpdate::TeardownFinished(session_id, TeardownOutcome::Failed), now);
            }
        }
    }

    /// Drops the pending tear-downs of nodes that have restarted, as their sessions are gone.
    fn handle_node_restarts(&mut self) {
        let start_times: Vec<(NodeId, Instant)> = self
            .engine
            .membership()
            .nodes()
            .filter_map(|(&node, entry)| Some((node, entry.info.started?)))
            .collect();
        for (node, at) in start_times {
            for key in self.ledger_store.ledger.node_started(node, at) {
                self.ledger_store.append(&journal::Entry::Removed(key));
            }
        }
    }

    /// Runs a round of the engine, records it and applies its effects.
    fn run_round(&mut self, now: Instant, inputs: Vec<Input>) {
        let recorded = self.recording.is_some().then(|| inputs.clone());
        let effects = self.engine.round(now, inputs);
        if let Some(setup_results) = &self.setup_results {
            // A result dropped here only costs other directors one observation of one SETUP.
            let dropped = self
                .engine
                .setup_results()
                .iter()
                .filter(|&&outcome| setup_results.try_send(outcome).is_err());
            self.dropped_results += dropped.count() as u64;
        }
        if let (Some(file), Some(inputs)) = (&mut self.recording, recorded) {
            write_json_line(file, &RecordedRound { at: now, inputs, effects: effects.clone() });
        }
        for effect in effects {
            self.apply_effect(now, effect);
        }
    }

    /// Passes an effect to the task that carries it out.
    fn apply_effect(&mut self, now: Instant, effect: Effect) {
        match effect {
            Effect::SendSetup { session: session_id, setup, node, rung, .. } => {
                let addresses =
                    self.engine.membership().entry(node).map(|entry| (entry.address, entry.http_address));
                let sent = addresses.is_some_and(|(address, http_address)| {
                    debug!(sess = session_id.0, node = %address, rung = rung.0, "sending SETUP");
                    self.send_command(
                        session_id,
                        SessionCommand::SendSetup {
                            setup,
                            node,
                            address,
                            http_address,
                            rung,
                            decided_at: now,
                        },
                    )
                });
                if !sent {
                    self.next_inputs.push(Input::SetupFailed {
                        session: session_id,
                        setup,
                        outcome: AttemptOutcome::Unsent,
                        load: None,
                    });
                }
            }
            Effect::CancelSetup { session: session_id, setup, if_unsent } => {
                self.send_command(session_id, SessionCommand::CancelSetup { setup, if_unsent });
            }
            Effect::Respond { session: session_id, response: answer } => {
                debug!(sess = session_id.0, ?answer, "responding to the viewer");
                self.send_command(session_id, SessionCommand::Respond(answer));
            }
            Effect::ChangeRung { session: session_id, rung } => {
                debug!(sess = session_id.0, rung = rung.0, "changing the rung");
                self.send_command(session_id, SessionCommand::ChangeRung(rung));
            }
            Effect::ReleaseSession { session: session_id } => {
                self.send_command(session_id, SessionCommand::ReleaseSession);
            }
            // RTSP and HLS can't ask a viewer to reconnect: the session ends.
            Effect::ReconnectViewer { session: session_id } => {
                self.send_command(session_id, SessionCommand::ReleaseSession);
                self.next_inputs
                    .push(Input::SessionEnded { session: session_id, outcome: AttemptOutcome::Cancelled });
            }
            Effect::SendProbe { probe, node } => {
                let address = self.engine.membership().entry(node).map(|entry| entry.address);
                let sent = address
                    .map(|address| self.config.node_requests.try_send(NodeRequest::Probe { probe, address }));
                if !matches!(sent, Some(Ok(()))) {
                    self.next_inputs.push(Input::ProbeResult { probe, load: None });
                }
            }
            Effect::DiscoveryResult { generation, rejection: None } => {
                info!(generation, "node list accepted");
                self.handle_node_restarts();
            }
            Effect::DiscoveryResult { generation, rejection: Some(why) } => {
                warn!(generation, why, "node list rejected; the current one stays in force");
            }
            Effect::Drained => {
                let _ = self.drained.send(true);
            }
        }
    }

    /// Queues a command for the session's task. Returns false if the task has ended or its queue is full; a
    /// session whose queue is full is given up.
    fn send_command(&mut self, session_id: SessionId, command: SessionCommand) -> bool {
        let Some(commands) = self.sessions.get(&session_id) else { return false };
        match commands.try_send(command) {
            Ok(()) => true,
            Err(error) => {
                if matches!(error, mpsc::error::TrySendError::Full(_)) {
                    warn!(sess = session_id.0, "the session's command queue is full; the session is ended");
                    self.next_inputs.push(Input::ViewerLeft { session: session_id });
                }
                self.sessions.remove(&session_id);
                false
            }
        }
    }
}

/// Appends a line to the recording.
fn write_json_line(file: &mut std::io::BufWriter<std::fs::File>, entry: &impl serde::Serialize) {
    let written = serde_json::to_writer(&mut *file, entry).map_err(std::io::Error::from);
    if let Err(error) = written.and_then(|()| file.write_all(b"\n")) {
        warn!(%error, "writing the recording of rounds failed");
    }
}
