//! The RTSP front: one viewer's connection. It passes the viewer's requests to the state machine, carries out
//! the engine's commands for its session, and relays the node's frames. Back pressure: while a slow viewer
//! takes no data, nothing is read from its node.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use ashglade::ids::{Rung, SetupNumber};
use ashglade::interface::AttemptOutcome;
use ashglade_engine::{Input, SessionResponse};
use ashglade_rtsp::client::{self, Purpose};
use ashglade_rtsp::codec::FRAME_HEADER_BYTES;
use ashglade_rtsp::presentation::PresentationUrl;
use ashglade_rtsp::server::{RequestAction, Server, State};
use ashglade_rtsp::{Codec, CodecError, Packet, Request, Response, messages, rtcp};
use bytes::BytesMut;
use futures_util::{SinkExt, StreamExt};
use rtsp_types::{Method, StatusCode, Url, headers};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use tokio_util::codec::Framed;
use tracing::{debug, info};

use crate::attempt::{self, Attempt, AttemptResult, SetupTarget};
use crate::context::DirectorContext;
use crate::engine_handle::{self, EngineMessage, SESSION_QUEUE_CAPACITY, SessionCommand};
use crate::node_session::NodeSession;
use crate::rtsp_session::{FrameKind, RtspSession};

/// Maximum number of requests queued behind the one in progress.
const MAX_QUEUED_REQUESTS: usize = 16;
/// Number of bytes of their texts from which on no further request is read.
const MAX_QUEUED_REQUEST_BYTES: usize = 32 * 1024;
/// Maximum number of frames relayed before a flush.
const MAX_FRAMES_PER_FLUSH: usize = 64;
/// Interval of the checks for delivery, idle timeout and keep-alive.
const TICK_INTERVAL: Duration = Duration::from_secs(1);

/// A viewer's connection, and its session if it has one.
struct ViewerConnection {
    context: Arc<DirectorContext>,
    connection: Framed<TcpStream, Codec>,
    server: Server,
    /// Requests queued behind the one in progress.
    requests: VecDeque<Request>,
    session: Option<Box<RtspSession>>,
    /// When the viewer's last packet was received.
    last_received: Instant,
    draining: watch::Receiver<bool>,
    /// CSeq of the director's last request to the viewer.
    cseq: u32,
    /// Frames to relay, not written yet.
    pending_frames: BytesMut,
}

/// The viewer's connection has ended or has to be closed.
struct Disconnected;

/// An event of the connection's loop.
enum Event {
    ViewerPacket(Option<Result<Packet, CodecError>>),
    NodePacket(Option<Result<Packet, CodecError>>),
    SetupEnded(AttemptResult<Box<NodeSession>>),
    Command(Option<SessionCommand>),
    DrainStarted,
    Tick,
}

/// Serves a viewer's connection until it ends.
pub async fn run(context: Arc<DirectorContext>, stream: TcpStream) {
    let front = &context.settings.rtsp;
    let mut server = Server::new(front.session_timeout.as_secs() as u32, &front.clock_rates);
    if let Some(users) = &context.users {
        let nonce = format!("{:016x}{:016x}", context.random(), context.random());
        server = server.with_authentication(users.clone(), nonce);
    }
    let _ = stream.set_nodelay(true);
    let connection = Framed::new(stream, Codec::default());
    let (last_received, draining) = (Instant::now(), context.draining.subscribe());
    let (requests, session, pending_frames) = (VecDeque::new(), None, BytesMut::new());
    let mut viewer = ViewerConnection {
        context,
        connection,
        server,
        requests,
        session,
        last_received,
        draining,
        cseq: 0,
        pending_frames,
    };
    let mut tick = tokio::time::interval(TICK_INTERVAL);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let event = viewer.next_event(&mut tick).await;
        if viewer.handle_event(event).await.is_err() {
            break;
        }
    }
    viewer.end_session().await;
}

impl ViewerConnection {
    /// Waits for the next event. Commands of the engine come before all others.
    async fn next_event(&mut self, tick: &mut tokio::time::Interval) -> Event {
        let queued_bytes: usize = self.requests.iter().map(messages::text_bytes).sum();
        let may_read = self.requests.len() < MAX_QUEUED_REQUESTS && queued_bytes < MAX_QUEUED_REQUEST_BYTES;
        let Some(session) = &mut self.session else {
            return tokio::select! {
                packet = self.connection.next() => Event::ViewerPacket(packet),
                _ = tick.tick() => Event::Tick,
            };
        };
        let attempt = async {
            match &mut session.attempt {
                Some(attempt) => attempt.wait().await,
                None => std::future::pending().await,
            }
        };
        let node = async {
            match &mut session.node {
                Some(node) => node.next().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            command = session.commands.recv() => Event::Command(command),
            result = attempt => Event::SetupEnded(result),
            _ = tick.tick() => Event::Tick,
            Ok(()) = self.draining.changed() => Event::DrainStarted,
            packet = self.connection.next(), if may_read => Event::ViewerPacket(packet),
            packet = node => Event::NodePacket(packet),
        }
    }

    /// Handles one event, then the queued requests as far as none is in progress.
    async fn handle_event(&mut self, event: Event) -> Result<(), Disconnected> {
        match event {
            Event::ViewerPacket(None) => return Err(Disconnected),
            Event::ViewerPacket(Some(Err(fault))) => {
                debug!(%fault, "closing a viewer's connection after an invalid or failed read");
                if let Some(status) = fault.status() {
                    self.send_response(messages::response(status, None)).await?;
                }
                return Err(Disconnected);
            }
            Event::ViewerPacket(Some(Ok(packet))) => {
                self.last_received = Instant::now();
                match packet {
                    Packet::Request(request) => self.requests.push_back(request),
                    Packet::Frame { channel, payload } => {
                        if let (Some(session), Some(track)) =
                            (&mut self.session, self.server.track_for_rtcp_channel(channel))
                        {
                            session.handle_viewer_rtcp(track, &payload);
                        }
                    }
                    // The viewer's response to a REDIRECT needs no handling.
                    Packet::Response(_) | Packet::RawFrame(_) => {}
                }
            }
            Event::NodePacket(Some(Ok(packet))) => self.relay_from_node(packet).await?,
            Event::NodePacket(_) => self.node_lost(AttemptOutcome::Lost).await?,
            Event::SetupEnded(result) => self.handle_setup_result(result).await,
            Event::Command(Some(command)) => self.handle_command(command).await?,
            Event::Command(None) => return Err(Disconnected),
            Event::DrainStarted => self.redirect().await?,
            Event::Tick => self.handle_tick().await?,
        }
        while !self.server.awaits_response()
            && let Some(request) = self.requests.pop_front()
        {
            self.handle_request(request).await?;
        }
        Ok(())
    }

    /// Writes everything queued. A viewer that doesn't take it within the write timeout is disconnected.
    async fn flush(&mut self) -> Result<(), Disconnected> {
        let timeout = self.context.settings.rtsp.write_timeout;
        let sent = async {
            self.connection.flush().await?;
            if !self.pending_frames.is_empty() {
                let mut pending_frames = std::mem::take(&mut self.pending_frames);
                self.connection.get_mut().write_all_buf(&mut pending_frames).await?;
            }
            Ok::<(), CodecError>(())
        };
        let sent = tokio::time::timeout(timeout, sent).await;
        matches!(sent, Ok(Ok(()))).then_some(()).ok_or(Disconnected)
    }

    /// Queues a packet for the next flush.
    async fn feed(&mut self, packet: Packet) -> Result<(), Disconnected> {
        let timeout = self.context.settings.rtsp.write_timeout;
        let fed = tokio::time::timeout(timeout, self.connection.feed(packet)).await;
        matches!(fed, Ok(Ok(()))).then_some(()).ok_or(Disconnected)
    }

    /// Writes a response to the viewer.
    async fn send_response(&mut self, mut response: Response) -> Result<(), Disconnected> {
        response.insert_header(headers::SERVER, "ashglade");
        self.feed(Packet::Response(response)).await?;
        self.flush().await
    }

    /// Carries out one request of the viewer.
    async fn handle_request(&mut self, request: Request) -> Result<(), Disconnected> {
        let titles = &self.context.settings.titles;
        let context = self.context.clone();
        let step = self.server.handle_request(&request, |title| titles.get(title).map(|title| title.tracks));
        let node = self.session.as_mut().and_then(|session| session.node.as_mut());
        let sent = match (step, node) {
            (RequestAction::Respond(response), _) => return self.send_response(response).await,
            (RequestAction::RequestSession(requested), _) => return self.request_session(requested).await,
            (RequestAction::EndSession(response), _) => {
                self.end_session().await;
                return self.send_response(response).await;
            }
            // The node is lost, but the state machine doesn't know that yet.
            (_, None) => {
                let response = self.server.request_failed(StatusCode::BadGateway);
                return self.send_response(response).await;
            }
            (RequestAction::SetupTrack { track }, Some(node)) => node.setup(&context, track).await,
            (RequestAction::Play { range }, Some(node)) => node.play(&context, range).await,
            (RequestAction::Pause, Some(node)) => node.pause(&context).await,
        };
        match sent {
            Ok(()) => Ok(()),
            Err(_) => self.node_lost(AttemptOutcome::Lost).await,
        }
    }

    /// Requests a session from the engine.
    async fn request_session(&mut self, requested: PresentationUrl) -> Result<(), Disconnected> {
        let context = self.context.clone();
        let settings = &context.settings;
        let title = settings.titles.get(&requested.title);
        let resolved = title.and_then(|t| Some((t, settings.resolve_group(requested.group.as_deref(), t)?)));
        let Some((title, group)) = resolved else {
            let response = self.server.session_rejected(StatusCode::NotFound, None);
            return self.send_response(response).await;
        };
        let session_id = context.new_session_id();
        let top_rung = requested.top_rung.unwrap_or(u8::MAX);
        let peer = || self.connection.get_ref().peer_addr().map(|peer| peer.ip().to_string());
        let query_value = |name: &str| requested.query_value(name).map(|value| value.to_string());
        let viewer_request =
            context.viewer_request(title, group, top_rung, query_value, || peer().unwrap_or_default());
        let (sender, commands) = mpsc::channel(SESSION_QUEUE_CAPACITY);
        let input = Input::SessionRequested { session: session_id, request: viewer_request };
        context.engine.send(EngineMessage::OpenSession { input, session_id, commands: sender }).await;
        self.session = Some(Box::new(RtspSession::new(&context, session_id, requested, commands)));
        Ok(())
    }

    /// Carries out a command of the engine.
    async fn handle_command(&mut self, command: SessionCommand) -> Result<(), Disconnected> {
        let context = self.context.clone();
        let Some(session) = &mut self.session else { return Ok(()) };
        let session_id = session.id;
        match command {
            SessionCommand::SendSetup { setup, node, address, rung, decided_at, .. } => {
                (session.rung, session.node_rung) = (rung.0, rung.0);
                match session.requested.rendition_url(address, rung.0) {
                    Some(url) => {
                        let track = self.server.setup_track();
                        let target = SetupTarget { node, address, url, track };
                        let send = |marker| attempt::send_setup(context, target, marker);
                        session.attempt = Some(Attempt::start(session_id, setup, decided_at, send));
                    }
                    None => {
                        context
                            .engine
                            .submit(Input::SetupFailed {
                                session: session_id,
                                setup,
                                outcome: AttemptOutcome::Unsent,
                                load: None,
                            })
                            .await;
                    }
                }
                Ok(())
            }
            SessionCommand::CancelSetup { setup, if_unsent } => {
                let matches =
                    |attempt: &mut Attempt<_>| attempt.setup == setup && !(if_unsent && attempt.written());
                if let Some(attempt) = session.attempt.take_if(matches) {
                    let result = attempt.cancel().await;
                    self.report_setup_result(setup, result).await;
                }
                Ok(())
            }
            SessionCommand::Respond(SessionResponse::Plays { .. }) => {
                let ssrc = session.ssrc(self.server.setup_track());
                info!(
                    sess = session_id.0,
                    title = session.requested.title,
                    rung = session.rung,
                    "session playing"
                );
                let name = format!("{:016x}", context.random());
                let response = self.server.session_accepted(name, ssrc);
                self.send_response(response).await
            }
            SessionCommand::Respond(SessionResponse::Busy { retry_after, why }) => {
                let after = retry_after.map(|after| after.as_ms() / 1e3);
                info!(
                    sess = session_id.0,
                    title = session.requested.title,
                    ?why,
                    retry_after_s = after,
                    "busy reply"
                );
                let response = self.server.session_rejected(StatusCode::ServiceUnavailable, after);
                self.reject(response).await
            }
            SessionCommand::Respond(SessionResponse::TornDown) => {
                info!(sess = session_id.0, "request failed: a SETUP may have run at a node");
                let response = self.server.session_rejected(StatusCode::BadGateway, None);
                self.reject(response).await
            }
            SessionCommand::ChangeRung(rung) => {
                session.rung = rung.0;
                if self.server.state() == State::Playing { self.switch_rung().await } else { Ok(()) }
            }
            SessionCommand::ReleaseSession => {
                if let Some(node) = session.node.take() {
                    tokio::spawn(node.tear_down(context));
                }
                Ok(())
            }
        }
    }

    /// Sends the response to a rejected request, and ends the session.
    async fn reject(&mut self, response: Response) -> Result<(), Disconnected> {
        self.send_response(response).await?;
        // A SETUP may still be in flight if the engine responded at the deadline. Its outcome is reported too.
        self.end_session().await;
        Ok(())
    }

    /// Redirects the viewer to the director named in the settings (RFC 2326, 10.10), if any.
    async fn redirect(&mut self) -> Result<(), Disconnected> {
        let Some(session) = &self.session else { return Ok(()) };
        let Some(to) = &self.context.settings.rtsp.redirect_url else { return Ok(()) };
        let Ok(url) = Url::parse(&format!("{to}/{}", session.requested.title)) else { return Ok(()) };
        self.cseq += 1;
        let mut request = messages::request(Method::Redirect, &url, self.cseq);
        request.insert_header(headers::LOCATION, url.as_str());
        self.feed(Packet::Request(request)).await?;
        self.flush().await
    }

    /// Asks the node to switch to the rung chosen by the engine.
    async fn switch_rung(&mut self) -> Result<(), Disconnected> {
        let context = self.context.clone();
        let Some(session) = &mut self.session else { return Ok(()) };
        let (from, to) = (session.node_rung, session.rung);
        let Some(node) = session.node.as_mut().filter(|_| from != to) else { return Ok(()) };
        let Some(url) = session.requested.rendition_url(node.address, to) else { return Ok(()) };
        session.node_rung = to;
        match node.switch(&context, from, url).await {
            Ok(()) => Ok(()),
            Err(_) => self.node_lost(AttemptOutcome::Lost).await,
        }
    }

    /// Reports the result of the attempt that has ended.
    async fn handle_setup_result(&mut self, result: AttemptResult<Box<NodeSession>>) {
        let attempt = self.session.as_mut().and_then(|session| session.attempt.take());
        if let Some(attempt) = attempt {
            self.report_setup_result(attempt.setup, result).await;
        }
    }

    /// Reports the result of an attempt to the engine.
    async fn report_setup_result(&mut self, setup: SetupNumber, result: AttemptResult<Box<NodeSession>>) {
        let Some(session) = &mut self.session else { return };
        let (input, node) = attempt::setup_input(session.id, setup, result);
        session.node = node.or(session.node.take());
        self.context.engine.submit(input).await;
    }

    /// Relays the node's packet, and those already received behind it, to the viewer.
    async fn relay_from_node(&mut self, first_packet: Packet) -> Result<(), Disconnected> {
        let mut packet = first_packet;
        for _ in 0..MAX_FRAMES_PER_FLUSH {
            match packet {
                Packet::RawFrame(bytes) => self.relay_frame(bytes).await?,
                Packet::Response(response) => {
                    self.flush().await?;
                    self.handle_node_response(response).await?;
                    break;
                }
                // Nodes send no requests that need a response, OPTIONS (RFC 2326, 10.1) aside.
                Packet::Request(_) | Packet::Frame { .. } => {}
            }
            match self
                .session
                .as_mut()
                .and_then(|session| session.node.as_mut())
                .and_then(|node| node.try_next())
            {
                Some(Some(Ok(next))) => packet = next,
                Some(_) => {
                    self.flush().await?;
                    return self.node_lost(AttemptOutcome::Lost).await;
                }
                None => break,
            }
        }
        self.flush().await
    }

    /// Rewrites a frame for the viewer and queues it. Frames that are adjacent in the read buffer are joined
    /// without copying.
    async fn relay_frame(&mut self, mut bytes: BytesMut) -> Result<(), Disconnected> {
        let now = self.context.clock.elapsed_micros();
        let Some(session) = &mut self.session else { return Ok(()) };
        let frame = session.rewrite_frame(bytes[1], &mut bytes[FRAME_HEADER_BYTES..], now);
        let channels = |track| self.server.channels(track);
        let (channel, stream_ended) = match frame {
            FrameKind::Rtp { track } => (channels(track).map(|c| c.rtp), false),
            FrameKind::Rtcp { track } => (channels(track).map(|c| c.rtcp), false),
            FrameKind::Bye { track } => (channels(track).map(|c| c.rtcp), true),
            FrameKind::Unknown => (None, false),
        };
        if let Some(channel) = channel {
            bytes[1] = channel;
            self.pending_frames.unsplit(bytes);
        }
        if stream_ended { self.end_played_session().await } else { Ok(()) }
    }

    /// Ends a session whose stream the node has ended: it has played to its end.
    async fn end_played_session(&mut self) -> Result<(), Disconnected> {
        self.flush().await?;
        let Some(mut session) = self.session.take() else { return Ok(()) };
        info!(sess = session.id.0, "session played to its end");
        self.context
            .engine
            .submit(Input::SessionEnded { session: session.id, outcome: AttemptOutcome::Played })
            .await;
        if let Some(node) = session.node.take() {
            tokio::spawn(node.tear_down(self.context.clone()));
        }
        self.session_ended(&session).await
    }

    /// Handles the node's response to a request of the session.
    async fn handle_node_response(&mut self, response: Response) -> Result<(), Disconnected> {
        let context = self.context.clone();
        let Some(session) = &mut self.session else { return Ok(()) };
        let Some(node) = &mut session.node else { return Ok(()) };
        if let Some(load) = attempt::load_report(&response) {
            let node = node.node;
            context.engine.submit(Input::NodeLoad { node, load }).await;
        }
        let reply = match node.client.handle_response(&response) {
            client::ResponseOutcome::Completed(Purpose::Setup { track }) => {
                self.server.track_accepted(session.ssrc(track))
            }
            client::ResponseOutcome::Completed(Purpose::Play) => {
                session.start_playing(context.clock.elapsed_micros());
                let range = messages::header(&response, &headers::RANGE);
                let info = messages::header(&response, &headers::RTP_INFO).map(|info| session.rtp_info(info));
                let reply = self.server.play_accepted(range, info.as_deref());
                self.send_response(reply).await?;
                return self.switch_rung().await;
            }
            client::ResponseOutcome::Completed(Purpose::Pause) => self.server.pause_accepted(),
            client::ResponseOutcome::Rejected(Purpose::Switch { from }, _) => {
                session.node_rung = from;
                context.engine.submit(Input::RungUnchanged { session: session.id, rung: Rung(from) }).await;
                return Ok(());
            }
            client::ResponseOutcome::Rejected(
                Purpose::Setup { .. } | Purpose::Play | Purpose::Pause,
                status,
            ) => self.server.request_failed(status),
            _ => return Ok(()),
        };
        self.send_response(reply).await
    }

    /// Ends a session whose node is lost or doesn't respond. The viewer's connection stays open.
    async fn node_lost(&mut self, how: AttemptOutcome) -> Result<(), Disconnected> {
        let Some(session) = &mut self.session else { return Ok(()) };
        let Some(node) = session.node.take() else { return Ok(()) };
        info!(
            sess = session.id.0,
            ?how,
            node = %node.address,
            "session lost: the node's connection failed or a response timed out"
        );
        node.abandon(&self.context).await;
        self.context.engine.submit(Input::SessionEnded { session: session.id, outcome: how }).await;
        let Some(session) = self.session.take() else { return Ok(()) };
        if self.server.awaits_response() {
            let reply = self.server.request_failed(StatusCode::BadGateway);
            self.send_response(reply).await?;
        } else {
            for track in 0..self.context.settings.rtsp.clock_rates.len() as u8 {
                if let Some(channels) = self.server.channels(track) {
                    let payload = rtcp::build_bye(session.ssrc(track));
                    self.feed(Packet::Frame { channel: channels.rtcp, payload }).await?;
                }
            }
            self.flush().await?;
        }
        self.session_ended(&session).await
    }

    /// Resets the connection after its session has ended, so that the viewer can request another.
    async fn session_ended(&mut self, session: &RtspSession) -> Result<(), Disconnected> {
        self.server.session_ended();
        self.context.engine.send(EngineMessage::CloseSession(session.id)).await;
        Ok(())
    }

    /// Checks the idle timeout and overdue responses, reports delivery and sends keep-alives.
    async fn handle_tick(&mut self) -> Result<(), Disconnected> {
        let context = self.context.clone();
        let front = &context.settings.rtsp;
        if self.last_received.elapsed() > front.session_timeout && !self.server.awaits_response() {
            return Err(Disconnected);
        }
        let Some(session) = &mut self.session else { return Ok(()) };
        if session.node.as_ref().is_some_and(|node| node.response_overdue(&context)) {
            return self.node_lost(AttemptOutcome::Silent).await;
        }
        if self.server.state() == State::Playing
            && let Some(share) = session.delivered_share(context.clock.elapsed_micros(), |track| {
                self.server.channels(track).is_some()
            })
        {
            context.engine.submit(Input::SessionDelivery { session: session.id, share }).await;
        }
        let Some(node) = &mut session.node else { return Ok(()) };
        if session.last_keep_alive.elapsed() >= front.keep_alive_interval {
            session.last_keep_alive = Instant::now();
            if node.keep_alive(&context).await.is_err() {
                return self.node_lost(AttemptOutcome::Lost).await;
            }
        }
        Ok(())
    }

    /// Ends the session because the viewer ended it or has disconnected: cancels its SETUP, tears it down at
    /// its node and reports both to the engine.
    async fn end_session(&mut self) {
        let Some(mut session) = self.session.take() else { return };
        let (engine, session_id) = (&self.context.engine, session.id);
        engine.submit(Input::ViewerLeft { session: session_id }).await;
        if let Some(attempt) = session.attempt.take() {
            let setup = attempt.setup;
            let (input, node) = attempt::setup_input(session_id, setup, attempt.cancel().await);
            session.node = node.or(session.node.take());
            engine.submit(input).await;
        }
        if let Some(node) = session.node {
            tokio::spawn(node.tear_down(self.context.clone()));
        }
        engine_handle::close_session(engine, session_id, &mut session.commands).await;
        self.server.session_ended();
    }
}
