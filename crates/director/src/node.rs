//! The node's connection of a session that was set up. What is asked and what answers mean is the client's state
//! machine (`ashglade_rtsp::client`); this carries it.

use std::net::SocketAddr;
use std::sync::Arc;

use ashglade::ids::{NodeId, SessionId};
use ashglade::time::Span;
use ashglade_ledger::HeldSession;
use ashglade_rtsp::client::{Answer, Client, Purpose};
use ashglade_rtsp::{Fault, Packet, Request};
use futures_util::{SinkExt, StreamExt};
use rtsp_types::Url;

use crate::orders::{Command, Page};
use crate::pool::Connection;
use crate::shared::Shared;

pub struct NodeSide {
    pub node: NodeId,
    pub address: SocketAddr,
    pub client: Client,
    connection: Connection,
    /// Its line in the ledger.
    key: SessionId,
}

impl NodeSide {
    /// A session that the node has just set up; it is written down.
    pub async fn hold(
        shared: &Shared,
        (node, address): (NodeId, SocketAddr),
        connection: Connection,
        client: Client,
    ) -> NodeSide {
        let key = shared.new_sess();
        let held = HeldSession {
            node,
            address,
            url: client.url().to_string(),
            session: client.session().unwrap_or_default().to_string(),
            timeout: Span::from_secs(client.timeout().into()),
        };
        shared.core.send(Command::Page(Page::Hold(key, held))).await;
        NodeSide { node, address, client, connection, key }
    }

    async fn send(&mut self, shared: &Shared, request: Request) -> Result<(), Fault> {
        let sent = self.connection.send(Packet::Request(request));
        let slow = |_| Fault::Io(std::io::ErrorKind::TimedOut.into());
        tokio::time::timeout(shared.settings.front.write_timeout, sent).await.map_err(slow)?
    }

    pub async fn setup(&mut self, shared: &Shared, track: u8) -> Result<(), Fault> {
        let request = self.client.setup(track, shared.clock.elapsed_micros());
        self.send(shared, request).await
    }

    pub async fn play(&mut self, shared: &Shared, range: Option<String>) -> Result<(), Fault> {
        let request = self.client.play(range, shared.clock.elapsed_micros());
        self.send(shared, request).await
    }

    pub async fn pause(&mut self, shared: &Shared) -> Result<(), Fault> {
        let request = self.client.pause(shared.clock.elapsed_micros());
        self.send(shared, request).await
    }

    pub async fn switch(&mut self, shared: &Shared, from: u8, to: Url) -> Result<(), Fault> {
        let request = self.client.switch(from, to, shared.clock.elapsed_micros());
        self.send(shared, request).await
    }

    pub async fn keep_alive(&mut self, shared: &Shared) -> Result<(), Fault> {
        match self.client.keep_alive(shared.clock.elapsed_micros()) {
            Some(request) => self.send(shared, request).await,
            None => Ok(()),
        }
    }

    pub async fn next(&mut self) -> Option<Result<Packet, Fault>> {
        self.connection.next().await
    }

    /// A packet that has come already.
    pub fn at_hand(&mut self) -> Option<Option<Result<Packet, Fault>>> {
        futures_util::FutureExt::now_or_never(self.connection.next())
    }

    /// A viewer waits in vain for what it asked of the node.
    pub fn overdue(&self, shared: &Shared) -> bool {
        let within = shared.settings.front.answer_timeout.as_micros() as u64;
        self.client.overdue(shared.clock.elapsed_micros(), within)
    }

    /// The connection is gone, or is not to be trusted any longer: the node is owed a tear-down.
    pub async fn lose(self, shared: &Shared) {
        shared.core.send(Command::Page(Page::Owe(self.key))).await;
    }

    /// Tears the session down and keeps the connection for the next, if the node answers in time; else the node is
    /// owed a tear-down.
    pub async fn tear_down(mut self, shared: Arc<Shared>) {
        let within = shared.settings.front.answer_timeout;
        match tokio::time::timeout(within, self.teardown_answered(&shared)).await {
            Ok(Ok(())) => {
                shared.core.send(Command::Page(Page::Ended(self.key))).await;
                shared.pool.put(self.address, self.connection);
            }
            _ => self.lose(&shared).await,
        }
    }

    async fn teardown_answered(&mut self, shared: &Shared) -> Result<(), Fault> {
        let request = self.client.teardown(shared.clock.elapsed_micros());
        self.send(shared, request).await?;
        while let Some(packet) = self.connection.next().await {
            if let Packet::Response(response) = packet?
                && self.client.answered(&response) == Answer::Done(Purpose::Teardown)
            {
                return Ok(());
            }
        }
        Err(Fault::Io(std::io::ErrorKind::UnexpectedEof.into()))
    }
}
