//! A session at a node, after its SETUP was accepted, and the RTSP connection that carries it. Requests and
//! the meaning of responses are up to the client's state machine (`ashglade_rtsp::client`).

use std::net::SocketAddr;
use std::sync::Arc;

use ashglade::ids::{NodeId, SessionId};
use ashglade::time::Span;
use ashglade_ledger::HeldSession;
use ashglade_rtsp::client::{Client, Purpose, ResponseOutcome};
use ashglade_rtsp::{CodecError, Packet, Request};
use futures_util::{SinkExt, StreamExt};
use rtsp_types::Url;

use crate::context::DirectorContext;
use crate::engine_handle::{EngineMessage, LedgerUpdate};
use crate::pool::Connection;

/// A session at a node, with its connection.
pub struct NodeSession {
    pub node: NodeId,
    /// Address at which the node serves RTSP.
    pub address: SocketAddr,
    /// State machine of the session's requests and responses.
    pub client: Client,
    connection: Connection,
    /// Key of the session's entry in the ledger.
    ledger_key: SessionId,
}

impl NodeSession {
    /// Takes over the connection on which the node has accepted the SETUP, and records the session in the
    /// ledger.
    pub async fn new(
        context: &DirectorContext,
        (node, address): (NodeId, SocketAddr),
        connection: Connection,
        client: Client,
    ) -> NodeSession {
        let ledger_key = context.new_session_id();
        let held = HeldSession {
            node,
            address,
            url: client.url().to_string(),
            session: client.session_id().unwrap_or_default().to_string(),
            timeout: Span::from_secs(client.session_timeout_seconds().into()),
        };
        context.engine.send(EngineMessage::UpdateLedger(LedgerUpdate::SessionHeld(ledger_key, held))).await;
        NodeSession { node, address, client, connection, ledger_key }
    }

    /// Sends a request within the write timeout.
    async fn send(&mut self, context: &DirectorContext, request: Request) -> Result<(), CodecError> {
        let sending = self.connection.send(Packet::Request(request));
        let timed_out = |_| CodecError::Io(std::io::ErrorKind::TimedOut.into());
        tokio::time::timeout(context.settings.rtsp.write_timeout, sending).await.map_err(timed_out)?
    }

    /// Sets up a further track.
    pub async fn setup(&mut self, context: &DirectorContext, track: u8) -> Result<(), CodecError> {
        let request = self.client.setup(track, context.clock.elapsed_micros());
        self.send(context, request).await
    }

    /// Sends PLAY, with the viewer's `Range` header if it sent one.
    pub async fn play(&mut self, context: &DirectorContext, range: Option<String>) -> Result<(), CodecError> {
        let request = self.client.play(range, context.clock.elapsed_micros());
        self.send(context, request).await
    }

    /// Sends PAUSE.
    pub async fn pause(&mut self, context: &DirectorContext) -> Result<(), CodecError> {
        let request = self.client.pause(context.clock.elapsed_micros());
        self.send(context, request).await
    }

    /// Asks the node to switch from the rung `from` to the rendition at `to`.
    pub async fn switch(&mut self, context: &DirectorContext, from: u8, to: Url) -> Result<(), CodecError> {
        let request = self.client.switch(from, to, context.clock.elapsed_micros());
        self.send(context, request).await
    }

    /// Sends a keep-alive, unless too many requests are unanswered.
    pub async fn keep_alive(&mut self, context: &DirectorContext) -> Result<(), CodecError> {
        match self.client.keep_alive(context.clock.elapsed_micros()) {
            Some(request) => self.send(context, request).await,
            None => Ok(()),
        }
    }

    /// Waits for the next packet from the node.
    pub async fn next(&mut self) -> Option<Result<Packet, CodecError>> {
        self.connection.next().await
    }

    /// Returns the next packet if it has already been received.
    pub fn try_next(&mut self) -> Option<Option<Result<Packet, CodecError>>> {
        futures_util::FutureExt::now_or_never(self.connection.next())
    }

    /// Whether a response that the viewer waits for has been outstanding for longer than the response
    /// timeout.
    pub fn response_overdue(&self, context: &DirectorContext) -> bool {
        let timeout = context.settings.rtsp.answer_timeout.as_micros() as u64;
        self.client.has_overdue_request(context.clock.elapsed_micros(), timeout)
    }

    /// Drops the connection, as it is lost or unreliable, and leaves the tear-down to the ledger.
    pub async fn abandon(self, context: &DirectorContext) {
        context
            .engine
            .send(EngineMessage::UpdateLedger(LedgerUpdate::ScheduleTeardown(self.ledger_key)))
            .await;
    }

    /// Tears the session down and returns the connection to the pool. If the node doesn't respond in time,
    /// the connection is dropped and the tear-down left to the ledger.
    pub async fn tear_down(mut self, context: Arc<DirectorContext>) {
        let timeout = context.settings.rtsp.answer_timeout;
        match tokio::time::timeout(timeout, self.send_teardown(&context)).await {
            Ok(Ok(())) => {
                context
                    .engine
                    .send(EngineMessage::UpdateLedger(LedgerUpdate::SessionEnded(self.ledger_key)))
                    .await;
                context.pool.put(self.address, self.connection);
            }
            _ => self.abandon(&context).await,
        }
    }

    /// Sends TEARDOWN and waits until the node confirms it.
    async fn send_teardown(&mut self, context: &DirectorContext) -> Result<(), CodecError> {
        let request = self.client.teardown(context.clock.elapsed_micros());
        self.send(context, request).await?;
        while let Some(packet) = self.connection.next().await {
            if let Packet::Response(response) = packet?
                && self.client.handle_response(&response) == ResponseOutcome::Completed(Purpose::Teardown)
            {
                return Ok(());
            }
        }
        Err(CodecError::Io(std::io::ErrorKind::UnexpectedEof.into()))
    }
}
