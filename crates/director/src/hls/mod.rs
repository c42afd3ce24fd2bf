//! The second front: players that speak HTTP. A request of a title's `index.m3u8` is a session's request; every other
//! names its session by a token in its path. Nothing here decides.

mod fetch;
mod relay;
mod session;

use std::collections::HashMap;
use std::convert::Infallible;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ashglade::ids::{SessionId, TitleId};
use ashglade_engine::Input;
use ashglade_hls::{Ask, Forged, Key, Keys, Token};
use ashglade_settings::Hls;
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

use crate::orders::{Command, ORDERS};
use crate::shared::Shared;

pub type Body = BoxBody<Bytes, hyper::Error>;
pub type Reply = Response<Body>;

/// A request that a session's task is to answer.
pub struct Job {
    pub ask: Ask,
    /// Within the title's folder at the node, query included.
    pub path: String,
    /// Of a part, the bytes that are wanted.
    pub range: Option<HeaderValue>,
    pub reply: oneshot::Sender<Reply>,
}

/// Requests of one session that wait for its task at most.
const JOBS: usize = 16;
/// A request's head may have so many bytes.
const MOST_HEAD: usize = 16 * 1024;
/// A session's first playlist, under its title.
const MASTER: &str = "index.m3u8";

pub struct Front {
    pub shared: Arc<Shared>,
    pub keys: Keys,
    pub token_life: Duration,
    sessions: Mutex<HashMap<SessionId, mpsc::Sender<Job>>>,
}

/// Serves until the listener's task is dropped.
pub async fn run(shared: Arc<Shared>, listener: TcpListener, settings: Hls) {
    let keys = settings.keys.iter().map(|(id, secret)| Key { id: *id, secret: secret.clone().into_bytes() });
    let Some(keys) = Keys::new(keys.collect()) else { return };
    let front = Arc::new(Front { shared, keys, token_life: settings.token_life, sessions: Mutex::default() });
    // Beyond the bound players wait in the kernel's queue.
    let places = Arc::new(Semaphore::new(settings.most_connections));
    loop {
        let Ok(place) = places.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                let front = front.clone();
                tokio::spawn(async move {
                    connection(front, stream).await;
                    drop(place);
                });
            }
            Err(error) => {
                warn!(%error, "a connection could not be accepted");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn connection(front: Arc<Front>, stream: TcpStream) {
    let settings = &front.shared.settings.front;
    let _ = stream.set_nodelay(true);
    let peer = stream.peer_addr().map(|peer| peer.ip().to_string()).unwrap_or_default();
    let mut stream = tokio_io_timeout::TimeoutStream::new(stream);
    // One that takes nothing is dropped; so is one that says nothing between its requests, or is slow to say it.
    stream.set_write_timeout(Some(settings.write_timeout));
    stream.set_read_timeout(Some(settings.session_timeout));
    let within = settings.write_timeout;
    let service = hyper::service::service_fn(move |request| {
        let (front, peer) = (front.clone(), peer.clone());
        async move { Ok::<_, Infallible>(front.answer(request, &peer).await) }
    });
    let served = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(within)
        .max_buf_size(MOST_HEAD)
        .serve_connection(TokioIo::new(Box::pin(stream)), service)
        .await;
    if let Err(error) = served {
        debug!(%error, "a player's connection is closed");
    }
}

pub fn plain(status: StatusCode, text: &str) -> Reply {
    let mut reply = Response::new(full(format!("{text}\n")));
    *reply.status_mut() = status;
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    reply.headers_mut().insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    reply
}

/// A busy reply; whole seconds, as RFC 9110 has Retry-After.
pub fn busy(text: &str, after: Option<f64>) -> Reply {
    let mut reply = plain(StatusCode::SERVICE_UNAVAILABLE, text);
    if let Some(value) = after.and_then(|after| HeaderValue::from_str(&format!("{:.0}", after.ceil())).ok()) {
        reply.headers_mut().insert(RETRY_AFTER, value);
    }
    reply
}

pub fn playlist(text: String) -> Reply {
    let mut reply = Response::new(full(text));
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/vnd.apple.mpegurl"));
    reply.headers_mut().insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    reply
}

fn full(text: String) -> Body {
    Full::new(Bytes::from(text)).map_err(|never| match never {}).boxed()
}

fn now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
}

impl Front {
    async fn answer(self: &Arc<Self>, request: Request<Incoming>, peer: &str) -> Reply {
        if !matches!(*request.method(), Method::GET | Method::HEAD) {
            return plain(StatusCode::METHOD_NOT_ALLOWED, "GET and HEAD are served");
        }
        let uri = request.uri();
        let (path, query) = (uri.path().trim_start_matches('/'), uri.query());
        let Some((title, rest)) = path.split_once('/') else {
            return plain(StatusCode::NOT_FOUND, "no title is named");
        };
        let Some(known) = self.shared.settings.titles.get(title) else {
            return plain(StatusCode::NOT_FOUND, "there is no such title");
        };
        let (reply, answer) = oneshot::channel();
        if rest == MASTER {
            if *request.method() == Method::HEAD {
                // It would set up a session that nobody plays.
                return plain(StatusCode::METHOD_NOT_ALLOWED, "a session is asked for with GET");
            }
            if let Err(refused) = self.begin(title, known, query, peer, reply).await {
                return refused;
            }
        } else {
            let (token, job) = match self.job(TitleId(known.id), rest, &request, reply) {
                Ok(found) => found,
                Err(forged) => return plain(StatusCode::FORBIDDEN, &forged.to_string()),
            };
            let sessions = self.sessions.lock().unwrap_or_else(|broken| broken.into_inner());
            let Some(session) = sessions.get(&token.sess) else {
                return plain(StatusCode::GONE, "the session is over, or was another director's; begin anew");
            };
            match session.try_send(job) {
                Ok(()) => {}
                Err(mpsc::error::TrySendError::Full(_)) => {
                    return busy("too many requests at once", Some(1.0));
                }
                Err(mpsc::error::TrySendError::Closed(_)) => {
                    return plain(StatusCode::GONE, "the session is over");
                }
            }
        }
        answer.await.unwrap_or_else(|_| plain(StatusCode::BAD_GATEWAY, "the session ended"))
    }

    /// What a path with a token asks for, if both were signed here.
    fn job(
        &self,
        title: TitleId,
        rest: &str,
        request: &Request<Incoming>,
        reply: oneshot::Sender<Reply>,
    ) -> Result<(Token, Job), Forged> {
        let mut parts = rest.splitn(3, '/');
        let (Some(token), Some(mark), Some(path)) = (parts.next(), parts.next(), parts.next()) else {
            return Err(Forged::Malformed);
        };
        let token = self.keys.verify(token, title, now())?;
        let path = request.uri().query().map_or_else(|| path.to_string(), |query| format!("{path}?{query}"));
        let (what, signature) = mark.split_once('-').ok_or(Forged::Path)?;
        self.keys.verify_path(token.sess, &format!("{what}/{path}"), signature)?;
        let ask = Ask::read(what).ok_or(Forged::Path)?;
        let range = request.headers().get(RANGE).cloned();
        Ok((token, Job { ask, path, range, reply }))
    }

    /// The session's own URI of a path at its node.
    pub fn give(&self, title: &str, token: &str, sess: SessionId, ask: Ask, path: &str) -> String {
        let signature = self.keys.sign_path(sess, &format!("{ask}/{path}"));
        format!("/{title}/{token}/{ask}-{signature}/{path}")
    }

    /// A session's request: the engine is asked, and a task of its own answers.
    async fn begin(
        self: &Arc<Self>,
        title: &str,
        known: &ashglade_settings::Title,
        query: Option<&str>,
        peer: &str,
        reply: oneshot::Sender<Reply>,
    ) -> Result<(), Reply> {
        let settings = &self.shared.settings;
        let element = |name: &str| {
            url::form_urlencoded::parse(query.unwrap_or_default().as_bytes())
                .find(|(key, _)| key == name)
                .map(|(_, value)| value.into_owned())
        };
        let Some(group) = settings.group_of(element("group").as_deref(), known) else {
            return Err(plain(StatusCode::NOT_FOUND, "there is no such service group"));
        };
        let top = match element("top").map(|top| top.parse::<u8>()) {
            None => u8::MAX,
            Some(Ok(top)) => top,
            Some(Err(_)) => return Err(plain(StatusCode::BAD_REQUEST, "top: a rung's number is wanted")),
        };
        let want = self.shared.want(known, group, top, element, || peer.to_string());
        let sess = self.shared.new_sess();
        let (orders, receiver) = mpsc::channel(ORDERS);
        let (jobs, waiting) = mpsc::channel(JOBS);
        let token = Token { sess, title: want.title, group, expires: now() + self.token_life.as_secs() };
        let session = session::Start {
            title: title.to_string(),
            query: query.unwrap_or_default().to_string(),
            token,
            want,
            orders: receiver,
            jobs: waiting,
            reply,
        };
        let held = |this: &Front| this.sessions.lock().unwrap_or_else(|broken| broken.into_inner()).len();
        if held(self) >= settings.most_sessions {
            return Err(busy("too many sessions", settings.headend.max_retry_after.map(|s| s.as_ms() / 1e3)));
        }
        self.sessions.lock().unwrap_or_else(|broken| broken.into_inner()).insert(sess, jobs);
        self.shared
            .core
            .send(Command::Open {
                input: Input::SessionRequested { session: sess, request: want },
                sess,
                orders,
            })
            .await;
        let front = self.clone();
        tokio::spawn(async move {
            session::run(front.clone(), session).await;
            front.sessions.lock().unwrap_or_else(|broken| broken.into_inner()).remove(&sess);
        });
        Ok(())
    }
}
