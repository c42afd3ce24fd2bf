//! The node's side of a session that was set up: requests out with their answers in order, frames in.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use ashglade_rtsp::messages::{self, Channels};
use ashglade_rtsp::{Fault, Packet, Response};
use futures_util::{SinkExt, StreamExt};
use rtsp_types::{Method, Url, headers};
use tokio::time::Instant;

use crate::pool::Connection;
use crate::serve::Shared;

/// What a request to a node was for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    Play,
    Pause,
    /// A change from one rung to another.
    Switch {
        from: u8,
    },
    KeepAlive,
}

/// Requests out on one connection at most: more means that the node answers nothing.
const MOST_PENDING: usize = 8;

pub struct NodeSide {
    pub address: SocketAddr,
    pub channels: Channels,
    connection: Connection,
    /// The rendition that is set up or was switched to.
    url: Url,
    session: String,
    cseq: u32,
    pending: VecDeque<(u32, Purpose, Instant)>,
}

impl NodeSide {
    pub fn new(
        address: SocketAddr,
        connection: Connection,
        url: Url,
        session: String,
        channels: Channels,
        cseq: u32,
    ) -> NodeSide {
        NodeSide { address, channels, connection, url, session, cseq, pending: VecDeque::new() }
    }

    async fn send(
        &mut self,
        shared: &Shared,
        method: Method,
        purpose: Option<Purpose>,
        extra: Option<(headers::HeaderName, String)>,
    ) -> Result<(), Fault> {
        self.cseq += 1;
        let mut request = messages::request(method, &self.url, self.cseq);
        request.insert_header(headers::SESSION, self.session.as_str());
        if let Some((name, value)) = extra {
            request.insert_header(name, value);
        }
        if let Some(purpose) = purpose {
            self.pending.push_back((self.cseq, purpose, Instant::now()));
        }
        let sent = self.connection.send(Packet::Request(request));
        let slow = |_| Fault::Io(std::io::ErrorKind::TimedOut.into());
        tokio::time::timeout(shared.settings.front.write_timeout, sent).await.map_err(slow)?
    }

    pub async fn play(&mut self, shared: &Shared, range: Option<String>) -> Result<(), Fault> {
        let extra = range.map(|range| (headers::RANGE, range));
        self.send(shared, Method::Play, Some(Purpose::Play), extra).await
    }

    pub async fn pause(&mut self, shared: &Shared) -> Result<(), Fault> {
        self.send(shared, Method::Pause, Some(Purpose::Pause), None).await
    }

    /// Another rendition within the session (3GPP TS 26.234's stream switch): no second SETUP.
    pub async fn switch(&mut self, shared: &Shared, from: u8, to: Url) -> Result<(), Fault> {
        let value = messages::switch_value(&self.url, &to);
        let extra = Some((messages::switch_stream(), value));
        let sent = self.send(shared, Method::Play, Some(Purpose::Switch { from }), extra).await;
        self.url = to;
        sent
    }

    /// Keeps the session alive and asks for load (RFC 2326, 10.8); none while too much is unanswered.
    pub async fn keep_alive(&mut self, shared: &Shared) -> Result<(), Fault> {
        if self.pending.len() >= MOST_PENDING {
            return Ok(());
        }
        self.send(shared, Method::GetParameter, Some(Purpose::KeepAlive), None).await
    }

    pub async fn next(&mut self) -> Option<Result<Packet, Fault>> {
        self.connection.next().await
    }

    /// A packet that has come already.
    pub fn at_hand(&mut self) -> Option<Option<Result<Packet, Fault>>> {
        futures_util::FutureExt::now_or_never(self.connection.next())
    }

    /// What an answer is for; none where nothing waits for it.
    pub fn answered(&mut self, response: &Response) -> Option<Purpose> {
        let cseq: u32 = messages::header(response, &headers::CSEQ)?.parse().ok()?;
        let at = self.pending.iter().position(|(sent, ..)| *sent == cseq)?;
        // Answers come in order: those before were left out.
        self.pending.drain(..=at).next_back().map(|(_, purpose, _)| purpose)
    }

    /// A viewer waits in vain: PLAY or PAUSE has had no answer in time.
    pub fn overdue(&self, shared: &Shared) -> bool {
        let waits = |purpose: &Purpose| matches!(purpose, Purpose::Play | Purpose::Pause);
        self.pending.iter().any(|(_, p, at)| waits(p) && at.elapsed() > shared.settings.front.answer_timeout)
    }

    /// Tears the session down and keeps the connection for the next, if the node answers in time; else closes it,
    /// which ends the session as well.
    pub async fn tear_down(mut self, shared: Arc<Shared>) {
        let ended = async {
            self.send(&shared, Method::Teardown, None, None).await?;
            let cseq = self.cseq.to_string();
            while let Some(packet) = self.connection.next().await {
                if let Packet::Response(response) = packet?
                    && messages::header(&response, &headers::CSEQ) == Some(&cseq)
                {
                    return Ok(());
                }
            }
            Err(Fault::Io(std::io::ErrorKind::UnexpectedEof.into()))
        };
        if let Ok(Ok(())) = tokio::time::timeout(shared.settings.front.answer_timeout, ended).await {
            shared.pool.put(self.address, self.connection);
        }
    }
}
