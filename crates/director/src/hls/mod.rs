//! The HLS front, for players that use HTTP. A GET of a title's `index.m3u8` requests a session. Every other
//! request names its session by a signed token in its path. Which node serves a session is decided by the
//! engine alone.

mod fetch;
mod relay;
mod session;

use std::collections::HashMap;
use std::convert::Infallible;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ashglade::ids::{SessionId, TitleId};
use ashglade_engine::Input;
use ashglade_hls::{KeyRing, RequestKind, SigningKey, Token, TokenError};
use ashglade_settings::HlsSettings;
use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue, RANGE, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tracing::{debug, warn};

use crate::context::DirectorContext;
use crate::engine_handle::{EngineMessage, SESSION_QUEUE_CAPACITY};

/// Body of a response to a player.
pub type Body = BoxBody<Bytes, hyper::Error>;
/// Response to a player.
pub type Reply = Response<Body>;

/// A player's request, to be answered by the session's task.
pub struct PlayerRequest {
    /// The kind of resource requested.
    pub resource: RequestKind,
    /// Path within the title's folder at the node, including the query.
    pub path: String,
    /// `Range` header of a request for a segment.
    pub range: Option<HeaderValue>,
    /// Receives the response.
    pub reply: oneshot::Sender<Reply>,
}

/// Number of requests of one session queued for its task.
const MAX_QUEUED_REQUESTS: usize = 16;
/// Maximum size of a request's header section.
const MAX_HEADER_BYTES: usize = 16 * 1024;
/// Name of the multivariant playlist in a title's folder.
const MULTIVARIANT_PLAYLIST: &str = "index.m3u8";

/// State of the HLS front, shared by its connections and sessions.
pub struct HlsFront {
    pub context: Arc<DirectorContext>,
    /// Keys that sign and verify tokens and paths.
    pub keys: KeyRing,
    /// The time after which a token expires.
    pub token_lifetime: Duration,
    /// Request queues of the sessions' tasks, by the session in the token.
    sessions: Mutex<HashMap<SessionId, mpsc::Sender<PlayerRequest>>>,
}

/// Accepts players' connections for as long as the director runs.
pub async fn run(context: Arc<DirectorContext>, listener: TcpListener, settings: HlsSettings) {
    let keys =
        settings.keys.iter().map(|(id, secret)| SigningKey { id: *id, secret: secret.clone().into_bytes() });
    let Some(keys) = KeyRing::new(keys.collect()) else { return };
    let front = Arc::new(HlsFront {
        context,
        keys,
        token_lifetime: settings.token_lifetime,
        sessions: Mutex::default(),
    });
    // Beyond the connection limit, players wait in the kernel's accept queue.
    let connection_permits = Arc::new(Semaphore::new(settings.max_connections));
    loop {
        let Ok(permit) = connection_permits.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                let front = front.clone();
                tokio::spawn(async move {
                    serve_connection(front, stream).await;
                    drop(permit);
                });
            }
            Err(error) => {
                warn!(%error, "accepting a connection failed");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// Serves the requests on one player's connection.
async fn serve_connection(front: Arc<HlsFront>, stream: TcpStream) {
    let settings = &front.context.settings.rtsp;
    let _ = stream.set_nodelay(true);
    let peer = stream.peer_addr().map(|peer| peer.ip().to_string()).unwrap_or_default();
    let mut stream = tokio_io_timeout::TimeoutStream::new(stream);
    // Closes a connection whose player doesn't read, is idle between requests for too long, or sends a
    // request slowly.
    stream.set_write_timeout(Some(settings.write_timeout));
    stream.set_read_timeout(Some(settings.session_timeout));
    let timeout = settings.write_timeout;
    let service = hyper::service::service_fn(move |request| {
        let (front, peer) = (front.clone(), peer.clone());
        async move { Ok::<_, Infallible>(front.handle_request(request, &peer).await) }
    });
    let result = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(timeout)
        .max_buf_size(MAX_HEADER_BYTES)
        .serve_connection(TokioIo::new(Box::pin(stream)), service)
        .await;
    if let Err(error) = result {
        debug!(%error, "a player's connection ended with an error");
    }
}

/// Returns a plain-text response.
pub fn text_reply(status: StatusCode, text: &str) -> Reply {
    let mut reply = Response::new(full_body(format!("{text}\n")));
    *reply.status_mut() = status;
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    reply.headers_mut().insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    reply
}

/// Returns a busy reply. `Retry-After` is rounded up, as RFC 9110, 10.2.3 has whole seconds.
pub fn busy_reply(text: &str, retry_after_seconds: Option<f64>) -> Reply {
    let mut reply = text_reply(StatusCode::SERVICE_UNAVAILABLE, text);
    if let Some(value) =
        retry_after_seconds.and_then(|seconds| HeaderValue::from_str(&format!("{:.0}", seconds.ceil())).ok())
    {
        reply.headers_mut().insert(RETRY_AFTER, value);
    }
    reply
}

/// Returns a playlist.
pub fn playlist_reply(text: String) -> Reply {
    let mut reply = Response::new(full_body(text));
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/vnd.apple.mpegurl"));
    reply.headers_mut().insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    reply
}

/// Returns a body of known length.
fn full_body(text: String) -> Body {
    Full::new(Bytes::from(text)).map_err(|never| match never {}).boxed()
}

/// Returns the Unix time in seconds, by which tokens expire.
fn unix_time() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
}

impl HlsFront {
    /// Returns the response to a request, from the session's task unless the request is invalid.
    async fn handle_request(self: &Arc<Self>, request: Request<Incoming>, peer: &str) -> Reply {
        if !matches!(*request.method(), Method::GET | Method::HEAD) {
            return text_reply(StatusCode::METHOD_NOT_ALLOWED, "GET and HEAD are served");
        }
        let uri = request.uri();
        let (path, query) = (uri.path().trim_start_matches('/'), uri.query());
        let Some((title, rest)) = path.split_once('/') else {
            return text_reply(StatusCode::NOT_FOUND, "no title is named");
        };
        let Some(title_settings) = self.context.settings.titles.get(title) else {
            return text_reply(StatusCode::NOT_FOUND, "there is no such title");
        };
        let (reply, response) = oneshot::channel();
        if rest == MULTIVARIANT_PLAYLIST {
            if *request.method() == Method::HEAD {
                // A HEAD request would set up a session that nobody plays.
                return text_reply(StatusCode::METHOD_NOT_ALLOWED, "a session is asked for with GET");
            }
            if let Err(rejection) = self.begin_session(title, title_settings, query, peer, reply).await {
                return rejection;
            }
        } else {
            let (token, player_request) =
                match self.parse_request(TitleId(title_settings.id), rest, &request, reply) {
                    Ok(found) => found,
                    Err(error) => return text_reply(StatusCode::FORBIDDEN, &error.to_string()),
                };
            let sessions = self.sessions.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
            let Some(session) = sessions.get(&token.session) else {
                return text_reply(
                    StatusCode::GONE,
                    "the session is over, or was another director's; begin anew",
                );
            };
            match session.try_send(player_request) {
                Ok(()) => {}
                Err(mpsc::error::TrySendError::Full(_)) => {
                    return busy_reply("too many requests at once", Some(1.0));
                }
                Err(mpsc::error::TrySendError::Closed(_)) => {
                    return text_reply(StatusCode::GONE, "the session is over");
                }
            }
        }
        response.await.unwrap_or_else(|_| text_reply(StatusCode::BAD_GATEWAY, "the session ended"))
    }

    /// Parses the path of a request with a token, and verifies the signatures of the token and of the path.
    fn parse_request(
        &self,
        title: TitleId,
        rest: &str,
        request: &Request<Incoming>,
        reply: oneshot::Sender<Reply>,
    ) -> Result<(Token, PlayerRequest), TokenError> {
        let mut parts = rest.splitn(3, '/');
        let (Some(token), Some(signed_resource), Some(path)) = (parts.next(), parts.next(), parts.next())
        else {
            return Err(TokenError::Malformed);
        };
        let token = self.keys.verify(token, title, unix_time())?;
        let path = request.uri().query().map_or_else(|| path.to_string(), |query| format!("{path}?{query}"));
        let (resource_text, signature) = signed_resource.split_once('-').ok_or(TokenError::Path)?;
        self.keys.verify_path(token.session, &format!("{resource_text}/{path}"), signature)?;
        let resource = RequestKind::parse(resource_text).ok_or(TokenError::Path)?;
        let range = request.headers().get(RANGE).cloned();
        Ok((token, PlayerRequest { resource, path, range, reply }))
    }

    /// Returns the URI under which the session's player requests a path at the node. The path is signed, so
    /// that a player can request only what its playlists name.
    pub fn signed_uri(
        &self,
        title: &str,
        token: &str,
        session_id: SessionId,
        resource: RequestKind,
        path: &str,
    ) -> String {
        let signature = self.keys.sign_path(session_id, &format!("{resource}/{path}"));
        format!("/{title}/{token}/{resource}-{signature}/{path}")
    }

    /// Requests a session from the engine and starts the session's task, which answers the request. Returns
    /// the response if the request is rejected here.
    async fn begin_session(
        self: &Arc<Self>,
        title: &str,
        title_settings: &ashglade_settings::Title,
        query: Option<&str>,
        peer: &str,
        reply: oneshot::Sender<Reply>,
    ) -> Result<(), Reply> {
        let settings = &self.context.settings;
        let query_value = |name: &str| {
            url::form_urlencoded::parse(query.unwrap_or_default().as_bytes())
                .find(|(key, _)| key == name)
                .map(|(_, value)| value.into_owned())
        };
        let Some(group) = settings.resolve_group(query_value("group").as_deref(), title_settings) else {
            return Err(text_reply(StatusCode::NOT_FOUND, "there is no such service group"));
        };
        let top_rung = match query_value("top").map(|top_rung| top_rung.parse::<u8>()) {
            None => u8::MAX,
            Some(Ok(top_rung)) => top_rung,
            Some(Err(_)) => {
                return Err(text_reply(StatusCode::BAD_REQUEST, "top: a rung's number is wanted"));
            }
        };
        let viewer_request =
            self.context.viewer_request(title_settings, group, top_rung, query_value, || peer.to_string());
        let session_id = self.context.new_session_id();
        let (commands, command_receiver) = mpsc::channel(SESSION_QUEUE_CAPACITY);
        let (requests, request_receiver) = mpsc::channel(MAX_QUEUED_REQUESTS);
        let token = Token {
            session: session_id,
            title: viewer_request.title,
            group,
            expires: unix_time() + self.token_lifetime.as_secs(),
        };
        let session = session::SessionParams {
            title: title.to_string(),
            query: query.unwrap_or_default().to_string(),
            token,
            viewer_request,
            commands: command_receiver,
            requests: request_receiver,
            reply,
        };
        let session_count =
            |front: &HlsFront| front.sessions.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).len();
        if session_count(self) >= settings.max_sessions {
            return Err(busy_reply(
                "too many sessions",
                settings.director_config.max_retry_after.map(|s| s.as_ms() / 1e3),
            ));
        }
        self.sessions.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).insert(session_id, requests);
        self.context
            .engine
            .send(EngineMessage::OpenSession {
                input: Input::SessionRequested { session: session_id, request: viewer_request },
                session_id,
                commands,
            })
            .await;
        let front = self.clone();
        tokio::spawn(async move {
            session::run(front.clone(), session).await;
            front.sessions.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).remove(&session_id);
        });
        Ok(())
    }
}
