//! Handle to the engine's task, and the messages between it and the other tasks.

use std::net::SocketAddr;

use ashglade::ids::{NodeId, Rung, SessionId, SetupNumber};
use ashglade::interface::AttemptOutcome;
use ashglade::time::Instant;
use ashglade_engine::{Input, SessionResponse, Tally};
use ashglade_ledger::{HeldSession, Teardown, TeardownOutcome};
use tokio::sync::{mpsc, oneshot};

/// Number of messages queued for the engine's task. When the queue is full, the tasks that read sockets wait.
pub const ENGINE_QUEUE_CAPACITY: usize = 4096;
/// Number of commands queued for one session. The engine issues fewer than this for one session at once.
pub const SESSION_QUEUE_CAPACITY: usize = 16;

/// A command of the engine to the task of a session.
#[derive(Clone, Copy, Debug)]
pub enum SessionCommand {
    /// Send a SETUP to the node.
    SendSetup {
        setup: SetupNumber,
        node: NodeId,
        address: SocketAddr,
        /// Where the node serves HLS, if it does.
        http_address: Option<SocketAddr>,
        rung: Rung,
        /// When the engine decided on the SETUP.
        decided_at: Instant,
    },
    /// Abort the SETUP; with `if_unsent`, only if no byte of it has been written.
    CancelSetup { setup: SetupNumber, if_unsent: bool },
    /// Send the response to the viewer's request.
    Respond(SessionResponse),
    /// Switch the session to the rung.
    ChangeRung(Rung),
    /// Tear the session down at its node.
    ReleaseSession,
}

/// A message to the engine's task.
pub enum EngineMessage {
    /// An input for the next round.
    Input(Input),
    /// A viewer requests a session. Commands for the session are sent to `commands` from then on.
    OpenSession { input: Input, session_id: SessionId, commands: mpsc::Sender<SessionCommand> },
    /// The session's task takes no more commands.
    CloseSession(SessionId),
    /// Reply with the engine's counters and the number of its sessions.
    GetTally(oneshot::Sender<(Tally, usize)>),
    /// Change the ledger of sessions held at nodes.
    UpdateLedger(LedgerUpdate),
}

/// A change to the ledger of sessions held at nodes.
pub enum LedgerUpdate {
    /// A node has set the session up.
    SessionHeld(SessionId, HeldSession),
    /// The node confirmed that the session has ended.
    SessionEnded(SessionId),
    /// The session ended here without the node's confirmation.
    ScheduleTeardown(SessionId),
    /// A pending tear-down was attempted.
    TeardownFinished(SessionId, TeardownOutcome),
}

/// A request to a node that belongs to no viewer's session.
pub enum NodeRequest {
    /// Ask the node for its load.
    Probe { probe: u64, address: SocketAddr },
    /// Tear down a session that ended here without the node's confirmation.
    Teardown(Teardown),
}

/// Handle by which other tasks reach the engine's task.
#[derive(Clone)]
pub struct EngineHandle {
    messages: mpsc::Sender<EngineMessage>,
}

impl EngineHandle {
    /// Returns a handle and the receiver that the engine's task reads.
    pub fn new() -> (EngineHandle, mpsc::Receiver<EngineMessage>) {
        let (messages, receiver) = mpsc::channel(ENGINE_QUEUE_CAPACITY);
        (EngineHandle { messages }, receiver)
    }

    /// Queues an input for the engine's next round.
    pub async fn submit(&self, input: Input) {
        self.send(EngineMessage::Input(input)).await;
    }

    /// Queues a message for the engine's task. Waits while the queue is full.
    pub async fn send(&self, message: EngineMessage) {
        // The send fails only when the process ends: the engine's task lives as long.
        let _ = self.messages.send(message).await;
    }

    /// Returns the engine's counters and the number of its sessions.
    pub async fn tally(&self) -> Option<(Tally, usize)> {
        let (reply, response) = oneshot::channel();
        self.send(EngineMessage::GetTally(reply)).await;
        response.await.ok()
    }
}

impl ashglade_peer_transport::EngineSink for EngineHandle {
    async fn send_input(&self, input: Input) {
        EngineHandle::submit(self, input).await;
    }
}

/// Closes the command queue of a session whose task ends. A SETUP still in the queue is reported as unsent.
pub async fn close_session(
    engine: &EngineHandle,
    session_id: SessionId,
    commands: &mut mpsc::Receiver<SessionCommand>,
) {
    commands.close();
    while let Ok(command) = commands.try_recv() {
        if let SessionCommand::SendSetup { setup, .. } = command {
            engine
                .submit(Input::SetupFailed {
                    session: session_id,
                    setup,
                    outcome: AttemptOutcome::Unsent,
                    load: None,
                })
                .await;
        }
    }
    engine.send(EngineMessage::CloseSession(session_id)).await;
}
