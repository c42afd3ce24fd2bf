//! What tasks and the engine's task say to each other.

use std::net::SocketAddr;

use ashglade::ids::{NodeId, Rung, SessionId, SetupNumber};
use ashglade::interface::AttemptOutcome;
use ashglade::time::Instant;
use ashglade_engine::{Input, SessionResponse, Tally};
use ashglade_ledger::{HeldSession, Teardown, TeardownOutcome};
use tokio::sync::{mpsc, oneshot};

/// Inputs that wait for the engine at most; a full channel slows those who read sockets.
pub const INPUTS: usize = 4096;
/// Orders that wait for a session at most: more than the engine has for one session at once.
pub const ORDERS: usize = 16;

/// What a session's task is told.
#[derive(Clone, Copy, Debug)]
pub enum Order {
    Setup {
        setup: SetupNumber,
        node: NodeId,
        address: SocketAddr,
        http: Option<SocketAddr>,
        rung: Rung,
        decided: Instant,
    },
    Withdraw {
        setup: SetupNumber,
        if_unsent: bool,
    },
    Answer(SessionResponse),
    Rung(Rung),
    Release,
}

pub enum Command {
    Input(Input),
    /// A viewer asks for a session; its orders go to this channel from now on.
    Open {
        input: Input,
        sess: SessionId,
        orders: mpsc::Sender<Order>,
    },
    /// The session's task needs no more orders.
    Close(SessionId),
    Tally(oneshot::Sender<(Tally, usize)>),
    Page(Page),
}

/// What concerns the ledger of sessions at nodes.
pub enum Page {
    Hold(SessionId, HeldSession),
    Ended(SessionId),
    Owe(SessionId),
    Told(SessionId, TeardownOutcome),
}

/// What the engine's task wants done at a node, by whoever has the means.
pub enum Errand {
    Probe { probe: u64, address: SocketAddr },
    TearDown(Teardown),
}

/// How other tasks reach the engine.
#[derive(Clone)]
pub struct Core {
    commands: mpsc::Sender<Command>,
}

impl Core {
    pub fn new() -> (Core, mpsc::Receiver<Command>) {
        let (commands, receiver) = mpsc::channel(INPUTS);
        (Core { commands }, receiver)
    }

    pub async fn tell(&self, input: Input) {
        self.send(Command::Input(input)).await;
    }

    pub async fn send(&self, command: Command) {
        // The engine's task ends only with the process.
        let _ = self.commands.send(command).await;
    }

    pub async fn tally(&self) -> Option<(Tally, usize)> {
        let (reply, told) = oneshot::channel();
        self.send(Command::Tally(reply)).await;
        told.await.ok()
    }
}

impl ashglade_peer_transport::EngineSink for Core {
    async fn send_input(&self, input: Input) {
        Core::tell(self, input).await;
    }
}

/// The session's task needs no more orders. A SETUP that was ordered and not yet begun never ran.
pub async fn close(core: &Core, sess: SessionId, orders: &mut mpsc::Receiver<Order>) {
    orders.close();
    while let Ok(order) = orders.try_recv() {
        if let Order::Setup { setup, .. } = order {
            core.tell(Input::SetupFailed {
                session: sess,
                setup,
                outcome: AttemptOutcome::Unsent,
                load: None,
            })
            .await;
        }
    }
    core.send(Command::Close(sess)).await;
}
