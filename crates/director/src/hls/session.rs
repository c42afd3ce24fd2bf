//! The task of one HLS session. It carries out the engine's commands and answers the player's requests with
//! what it fetches from the session's node.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ashglade::ids::{Rung, SessionId, SetupNumber};
use ashglade::interface::{AttemptOutcome, RetrySafety};
use ashglade::time::Instant;
use ashglade_engine::{Input, SessionResponse, ViewerRequest};
use ashglade_hls::playlist::{self, PlaylistLocation};
use ashglade_hls::{RequestAction, RequestKind, Session, Token};
use http_body_util::BodyExt;
use hyper::header::{ACCEPT_RANGES, CONTENT_LENGTH, CONTENT_RANGE, CONTENT_TYPE};
use hyper::{Response, StatusCode};
use tokio::sync::{mpsc, oneshot};
use tracing::{info, warn};
use url::Url;

use super::fetch::{self, AcceptedSession, FetchError};
use super::relay::{RelayBody, RelayResult};
use super::{HlsFront, PlayerRequest, Reply, busy_reply, text_reply};
use crate::attempt::{self, Attempt, AttemptResult};
use crate::engine_handle::{self, EngineMessage, SESSION_QUEUE_CAPACITY, SessionCommand};

/// Parameters of a new session.
pub struct SessionParams {
    /// Name of the title, as in the settings.
    pub title: String,
    /// Query of the player's first request. It is passed on to the node.
    pub query: String,
    /// Token by which the player's further requests name the session.
    pub token: Token,
    /// The request as sent to the engine.
    pub viewer_request: ViewerRequest,
    /// Commands of the engine.
    pub commands: mpsc::Receiver<SessionCommand>,
    /// Further requests of the player.
    pub requests: mpsc::Receiver<PlayerRequest>,
    /// Receives the response to the player's first request.
    pub reply: oneshot::Sender<Reply>,
}

/// Maximum number of segments of one session in flight, and of requests that wait for the engine's response.
const MAX_IN_FLIGHT: usize = 16;
/// Maximum number of playlists cached for a session. A player needs one for each variant that it uses.
const MAX_CACHED_PLAYLISTS: usize = 8;
/// Time for which a live playlist is cached, in target durations. Players that keep to RFC 8216, 6.3.4 don't
/// reload sooner; the reloads of those that do cost the node nothing.
const PLAYLIST_CACHE_TARGET_DURATIONS: f64 = 0.45;

/// State of the session's task.
struct HlsSession {
    front: Arc<HlsFront>,
    title: String,
    query: String,
    token: Token,
    signed_token: String,
    viewer_request: ViewerRequest,
    /// The engine's identifier of the session. Differs from the token's once the session has lost a node and
    /// was requested again.
    session_id: SessionId,
    commands: mpsc::Receiver<SessionCommand>,
    state: Session,
    attempt: Option<Attempt<AcceptedSession>>,
    /// The session at its node, once set up.
    accepted: Option<AcceptedSession>,
    /// Requests that wait for the engine's response.
    waiting_requests: Vec<PlayerRequest>,
    /// When each media playlist was fetched, whether it is complete, and its text.
    playlist_cache: BTreeMap<RequestKind, (Instant, bool, String)>,
    /// Target duration of the playlist fetched last.
    target_duration_seconds: f64,
    relay_results: mpsc::Sender<RelayResult>,
}

/// An event of the session's loop.
enum Event {
    Command(Option<SessionCommand>),
    PlayerRequest(Option<PlayerRequest>),
    SetupEnded(AttemptResult<AcceptedSession>),
    SegmentRelayed(RelayResult),
    /// The player has sent no request for too long.
    IdleTimeout,
    /// The player closed its connection before it got a response.
    PlayerDisconnected,
}

/// Runs a session until it ends.
pub async fn run(front: Arc<HlsFront>, params: SessionParams) {
    let now = front.context.clock.now();
    let signed_token = front.keys.sign(&params.token);
    let (relay_results, mut relayed) = mpsc::channel(MAX_IN_FLIGHT);
    let mut requests = params.requests;
    let first_request = PlayerRequest {
        resource: RequestKind::MultivariantPlaylist,
        path: String::new(),
        range: None,
        reply: params.reply,
    };
    let mut session = HlsSession {
        front,
        title: params.title,
        query: params.query,
        token: params.token,
        signed_token,
        viewer_request: params.viewer_request,
        session_id: params.token.session,
        commands: params.commands,
        state: Session::new(now),
        attempt: None,
        accepted: None,
        waiting_requests: vec![first_request],
        playlist_cache: BTreeMap::new(),
        target_duration_seconds: 0.0,
        relay_results,
    };
    while !session.state.is_ended() {
        let event = session.next_event(&mut requests, &mut relayed).await;
        session.handle_event(event).await;
    }
    session.end().await;
    // Answers the requests that are still queued.
    requests.close();
    while let Ok(request) = requests.try_recv() {
        let _ = request.reply.send(text_reply(StatusCode::GONE, "the session is over"));
    }
}

impl HlsSession {
    /// Waits for the next event. Commands of the engine come before all others.
    async fn next_event(
        &mut self,
        requests: &mut mpsc::Receiver<PlayerRequest>,
        relayed: &mut mpsc::Receiver<RelayResult>,
    ) -> Event {
        let now = self.front.context.clock.now();
        let idle_timeout =
            self.state.idle_deadline().map(|at| Duration::from_secs_f64(((at - now).as_ms() / 1e3).max(0.0)));
        let idle_timeout = async {
            match idle_timeout {
                Some(after) => tokio::time::sleep(after).await,
                None => std::future::pending().await,
            }
        };
        let attempt = async {
            match &mut self.attempt {
                Some(attempt) => attempt.wait().await,
                None => std::future::pending().await,
            }
        };
        // Until the session plays, the connection of the request that waits longest is watched.
        let player_disconnected = async {
            match self.waiting_requests.first_mut() {
                Some(request) => request.reply.closed().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            command = self.commands.recv() => Event::Command(command),
            result = attempt => Event::SetupEnded(result),
            Some(relayed) = relayed.recv() => Event::SegmentRelayed(relayed),
            () = player_disconnected => Event::PlayerDisconnected,
            request = requests.recv() => Event::PlayerRequest(request),
            () = idle_timeout => Event::IdleTimeout,
        }
    }

    /// Handles one event.
    async fn handle_event(&mut self, event: Event) {
        match event {
            Event::Command(Some(command)) => self.handle_command(command).await,
            // The engine's task or the front has ended: the director stops.
            Event::Command(None) | Event::PlayerRequest(None) => self.state.end(),
            Event::SetupEnded(result) => {
                if let Some(attempt) = self.attempt.take() {
                    self.report_setup_result(attempt.setup, result).await;
                }
            }
            Event::SegmentRelayed(relayed) => self.handle_relay_result(relayed).await,
            Event::PlayerDisconnected => {
                self.waiting_requests.remove(0);
                // A session that is set up outlives the player's connection.
                if self.waiting_requests.is_empty() && self.accepted.is_none() {
                    self.state.end();
                }
            }
            Event::PlayerRequest(Some(request)) => self.handle_request(request).await,
            Event::IdleTimeout => {
                info!(
                    sess = self.session_id.0,
                    title = self.title,
                    "session ended: no request from the player"
                );
                self.state.end();
            }
        }
    }

    /// Returns the rate of a rung for the session's service group, in kB/s.
    fn rung_rate(&self, rung: Rung) -> f64 {
        let headend = &self.front.context.settings.director_config;
        let rate_scale =
            headend.groups.get(self.viewer_request.group.0).map_or(1.0, |group| group.rate_scale);
        headend.ladder.get(usize::from(rung.0)).map_or(0.0, |&(kb, _)| kb * rate_scale)
    }

    /// Carries out a command of the engine.
    async fn handle_command(&mut self, command: SessionCommand) {
        let context = self.front.context.clone();
        match command {
            SessionCommand::SendSetup { setup, node, http_address, address, rung, decided_at } => {
                let node_url =
                    http_address.and_then(|http_address| self.multivariant_playlist_url(http_address, rung));
                match (http_address, node_url) {
                    (Some(http_address), Some(node_url)) => {
                        let send = |marker| {
                            fetch::send_setup(context, (node, http_address, address), node_url, marker)
                        };
                        self.attempt = Some(Attempt::start(self.session_id, setup, decided_at, send));
                    }
                    _ => {
                        let input = Input::SetupFailed {
                            session: self.session_id,
                            setup,
                            outcome: AttemptOutcome::Unsent,
                            load: None,
                        };
                        context.engine.submit(input).await;
                    }
                }
            }
            SessionCommand::CancelSetup { setup, if_unsent } => {
                let matches =
                    |attempt: &mut Attempt<_>| attempt.setup == setup && !(if_unsent && attempt.written());
                if let Some(attempt) = self.attempt.take_if(matches) {
                    let result = attempt.cancel().await;
                    self.report_setup_result(setup, result).await;
                }
            }
            SessionCommand::Respond(SessionResponse::Plays { rung }) => self.start_playing(rung).await,
            SessionCommand::Respond(SessionResponse::Busy { retry_after, why }) => {
                let after = retry_after.map(|after| after.as_ms() / 1e3);
                info!(
                    sess = self.session_id.0,
                    title = self.title,
                    ?why,
                    retry_after_s = after,
                    "busy reply"
                );
                self.reject(|| busy_reply("there is no room just now", after));
            }
            SessionCommand::Respond(SessionResponse::TornDown) => {
                info!(sess = self.session_id.0, "request failed: a SETUP may have run at a node");
                self.reject(|| text_reply(StatusCode::BAD_GATEWAY, "no node could be asked in time"));
            }
            SessionCommand::ChangeRung(rung) => {
                let now = context.clock.now();
                self.state.set_rung_rate(self.rung_rate(rung), now);
                self.playlist_cache.clear();
            }
            // HTTP has no TEARDOWN: the node ends its session by its own idle timeout.
            SessionCommand::ReleaseSession => self.accepted = None,
        }
    }

    /// Sends the same response to all waiting requests, and ends the session.
    fn reject(&mut self, reply: impl Fn() -> Reply) {
        for request in self.waiting_requests.drain(..) {
            let _ = request.reply.send(reply());
        }
        self.state.end();
    }

    /// Starts serving the session at a rung, beginning with the waiting requests.
    async fn start_playing(&mut self, rung: Rung) {
        let now = self.front.context.clock.now();
        info!(sess = self.session_id.0, title = self.title, rung = rung.0, "HLS session playing");
        self.state.started(self.rung_rate(rung), now);
        let Some(accepted) = &mut self.accepted else { return self.state.end() };
        // The new node's variants differ, so the player's URIs would refer to other variants: it has to start
        // over.
        if !self.state.set_variants(std::mem::take(&mut accepted.variants)) {
            return self.reject(|| text_reply(StatusCode::GONE, "the title has changed; begin anew"));
        }
        for request in std::mem::take(&mut self.waiting_requests) {
            Box::pin(self.handle_request(request)).await;
        }
    }

    /// Reports the result of an attempt to the engine.
    async fn report_setup_result(&mut self, setup: SetupNumber, result: AttemptResult<AcceptedSession>) {
        let (input, accepted) = attempt::setup_input(self.session_id, setup, result);
        self.accepted = accepted.or(self.accepted.take());
        self.front.context.engine.submit(input).await;
    }

    /// Returns the URL of the multivariant playlist at a node: the player's query with the rung.
    fn multivariant_playlist_url(&self, node: SocketAddr, rung: Rung) -> Option<Url> {
        let mut node_url =
            Url::parse(&format!("http://{node}/{}/{}", self.title, super::MULTIVARIANT_PLAYLIST)).ok()?;
        let requested = url::form_urlencoded::parse(self.query.as_bytes());
        node_url
            .query_pairs_mut()
            .extend_pairs(requested.filter(|(key, _)| key != "rung"))
            .append_pair("rung", &rung.0.to_string());
        Some(node_url)
    }

    /// Returns the URL of a path within the title's folder at the session's node.
    fn node_url(&self, path: &str) -> Option<Url> {
        Url::parse(&format!("http://{}/{}/{path}", self.accepted.as_ref()?.node.1, self.title)).ok()
    }

    /// Answers a request, or queues it until the engine has responded.
    async fn handle_request(&mut self, request: PlayerRequest) {
        let now = self.front.context.clock.now();
        match self.state.handle_request(request.resource, now) {
            RequestAction::Gone(_) => {
                drop(request.reply.send(text_reply(StatusCode::GONE, "the session is over")))
            }
            RequestAction::Withdrawn => {
                let reply =
                    text_reply(StatusCode::NOT_FOUND, "this variant was withdrawn; load its playlist again");
                let _ = request.reply.send(reply);
            }
            RequestAction::Wait if self.waiting_requests.len() >= MAX_IN_FLIGHT => {
                let _ = request.reply.send(busy_reply("too many requests wait", Some(1.0)));
            }
            RequestAction::Wait => {
                self.waiting_requests.push(request);
                if self.state.start_failover() {
                    self.request_new_node().await;
                }
            }
            RequestAction::Fetch(variant) => match request.resource {
                RequestKind::MultivariantPlaylist => self.send_multivariant_playlist(request),
                RequestKind::MediaPlaylist(_) => self.send_media_playlist(request, variant).await,
                RequestKind::Resource(_) => self.relay_segment(request, variant),
            },
        }
    }

    /// Requests the session again from the engine, under a new identifier, as its node is lost.
    async fn request_new_node(&mut self) {
        let context = self.front.context.clone();
        self.session_id = context.new_session_id();
        let (sender, commands) = mpsc::channel(SESSION_QUEUE_CAPACITY);
        self.commands = commands;
        let input = Input::SessionRequested { session: self.session_id, request: self.viewer_request };
        context
            .engine
            .send(EngineMessage::OpenSession { input, session_id: self.session_id, commands: sender })
            .await;
    }

    /// Answers a request with the node's multivariant playlist, limited to the session's rung.
    fn send_multivariant_playlist(&mut self, request: PlayerRequest) {
        let Some(accepted) = &self.accepted else { return };
        let Some(node_url) = self.multivariant_playlist_url(accepted.node.1, Rung(0)) else { return };
        let folder = fetch::title_folder(&node_url);
        let place = PlaylistLocation { url: &node_url, folder: &folder };
        let sign = |resource: RequestKind, path: &str| {
            self.front.signed_uri(&self.title, &self.signed_token, self.token.session, resource, path)
        };
        let reply = match playlist::rewrite_multivariant(
            &accepted.multivariant_playlist,
            &place,
            self.state.max_rate(),
            &sign,
        ) {
            Ok(master) => super::playlist_reply(master.text),
            Err(_) => text_reply(StatusCode::BAD_GATEWAY, "the node's playlist can't be used"),
        };
        let _ = request.reply.send(reply);
    }

    /// Answers a request with a media playlist, from the cache or from the node.
    async fn send_media_playlist(&mut self, request: PlayerRequest, variant: Option<usize>) {
        let context = self.front.context.clone();
        let now = context.clock.now();
        let resource = if variant.is_some() { RequestKind::MediaPlaylist(variant) } else { request.resource };
        // Playlists shared by the variants have no number and differ by path only, so they aren't cached.
        let cacheable = variant.is_some();
        if let Some((fetched_at, ended, text)) = self.playlist_cache.get(&resource).filter(|_| cacheable)
            && (*ended
                || (now - *fetched_at).as_ms() / 1e3
                    < self.target_duration_seconds * PLAYLIST_CACHE_TARGET_DURATIONS)
        {
            let _ = request.reply.send(super::playlist_reply(text.clone()));
            return;
        }
        let path = variant.and_then(|v| self.state.variant_path(v)).unwrap_or(&request.path).to_string();
        let Some(node_url) = self.node_url(&path) else {
            let _ = request.reply.send(text_reply(StatusCode::BAD_GATEWAY, "the node's URL can't be used"));
            return;
        };
        let (status, load, bytes) = match fetch::get_playlist(&context, &node_url).await {
            Ok(fetched) => fetched,
            Err(error) => {
                self.node_lost(error).await;
                return Box::pin(self.handle_request(request)).await;
            }
        };
        if let (Some(load), Some(accepted)) = (load, &self.accepted) {
            let node = accepted.node.0;
            context.engine.submit(Input::NodeLoad { node, load }).await;
        }
        if status != StatusCode::OK {
            let status = if status.is_client_error() { status } else { StatusCode::BAD_GATEWAY };
            let _ = request.reply.send(text_reply(status, "the node doesn't give this playlist"));
            return;
        }
        let folder = fetch::title_folder(&node_url);
        let place = PlaylistLocation { url: &node_url, folder: &folder };
        let sign = |path: &str| {
            self.front.signed_uri(
                &self.title,
                &self.signed_token,
                self.token.session,
                RequestKind::Resource(variant),
                path,
            )
        };
        match playlist::rewrite_media(&bytes, &place, &sign) {
            Ok(media) => {
                self.state.set_target_duration(media.target_duration);
                self.target_duration_seconds = media.target_duration;
                if cacheable
                    && (self.playlist_cache.len() < MAX_CACHED_PLAYLISTS
                        || self.playlist_cache.contains_key(&resource))
                {
                    self.playlist_cache.insert(resource, (now, media.ended, media.text.clone()));
                }
                let _ = request.reply.send(super::playlist_reply(media.text));
            }
            Err(error) => {
                warn!(sess = self.session_id.0, trouble = %error, "the node's media playlist is invalid");
                let _ = request
                    .reply
                    .send(text_reply(StatusCode::BAD_GATEWAY, "the node's playlist can't be used"));
            }
        }
    }

    /// Relays a segment, or any other resource that is passed on unchanged.
    fn relay_segment(&mut self, request: PlayerRequest, variant: Option<usize>) {
        let context = self.front.context.clone();
        let Some(node_url) =
            self.node_url(&request.path).filter(|_| self.state.active_responses() < MAX_IN_FLIGHT)
        else {
            let _ = request.reply.send(busy_reply("too many segments at once", Some(1.0)));
            return;
        };
        self.state.response_started();
        let relay_results = self.relay_results.clone();
        tokio::spawn(async move {
            let requested = std::time::Instant::now();
            let reply = match fetch::get(&context, &node_url, request.range).await {
                Ok(response) => {
                    let mut reply = Response::new(());
                    *reply.status_mut() = response.status();
                    for name in [CONTENT_TYPE, CONTENT_LENGTH, CONTENT_RANGE, ACCEPT_RANGES] {
                        if let Some(value) = response.headers().get(&name) {
                            reply.headers_mut().insert(name, value.clone());
                        }
                    }
                    let relay = RelayBody::new(response.into_body(), variant, requested, relay_results);
                    reply.map(|()| relay.boxed())
                }
                Err(error) => {
                    let node_failed = error == FetchError::Disconnected;
                    let _ = relay_results.try_send(RelayResult {
                        variant,
                        bytes: 0,
                        node_wait: requested.elapsed(),
                        node_failed,
                    });
                    busy_reply("the node doesn't answer", Some(1.0))
                }
            };
            // If the player has disconnected, the relay is dropped and reports its result all the same.
            let _ = request.reply.send(reply);
        });
    }

    /// Reports the delivery of a relayed segment to the engine, or the loss of the node.
    async fn handle_relay_result(&mut self, relayed: RelayResult) {
        let context = self.front.context.clone();
        self.state.response_finished(context.clock.now());
        if relayed.node_failed {
            return self.node_lost(FetchError::Disconnected).await;
        }
        let variant_rate = relayed.variant.and_then(|v| self.state.variant_rate(v));
        if let Some(rate) = variant_rate.filter(|_| relayed.bytes > 0) {
            // Bytes received per time spent waiting for the node, relative to the variant's rate.
            let received_rate = relayed.bytes as f64 / 1e3 / relayed.node_wait.as_secs_f64().max(1e-3);
            let share = (received_rate / rate).min(1.0);
            context.engine.submit(Input::SessionDelivery { session: self.session_id, share }).await;
        }
    }

    /// Reports the session as lost with its node. If its service group allows another SETUP, the session is
    /// requested again at the player's next request; otherwise it ends.
    async fn node_lost(&mut self, error: FetchError) {
        if !self.state.node_lost() {
            return;
        }
        let context = self.front.context.clone();
        let how =
            if error == FetchError::Disconnected { AttemptOutcome::Lost } else { AttemptOutcome::Silent };
        info!(
            sess = self.session_id.0,
            ?how,
            "session lost: the node's connection failed or a response timed out"
        );
        context.engine.submit(Input::SessionEnded { session: self.session_id, outcome: how }).await;
        context.engine.send(EngineMessage::CloseSession(self.session_id)).await;
        self.accepted = None;
        self.playlist_cache.clear();
        let retry_safety = context
            .settings
            .director_config
            .groups
            .get(self.viewer_request.group.0)
            .map(|group| group.retry_safety);
        if retry_safety != Some(RetrySafety::Safe) {
            self.state.end();
        }
    }

    /// Ends the session: answers waiting requests, cancels its SETUP and reports its end to the engine.
    async fn end(&mut self) {
        for request in self.waiting_requests.drain(..) {
            let _ = request.reply.send(text_reply(StatusCode::GONE, "the session is over"));
        }
        let engine = self.front.context.engine.clone();
        let session_id = self.session_id;
        engine.submit(Input::ViewerLeft { session: session_id }).await;
        if let Some(attempt) = self.attempt.take() {
            let setup = attempt.setup;
            let (input, _) = attempt::setup_input(session_id, setup, attempt.cancel().await);
            engine.submit(input).await;
        }
        engine_handle::close_session(&engine, session_id, &mut self.commands).await;
    }
}
