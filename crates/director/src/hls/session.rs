//! The task of one HLS session: orders from the engine, requests of its player, fetches from its node.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ashglade::ids::{Rung, SessionId, SetupNumber};
use ashglade::interface::{AttemptOutcome, RetrySafety};
use ashglade::time::Instant;
use ashglade_engine::{Input, SessionResponse, ViewerRequest};
use ashglade_hls::playlist::{self, Place};
use ashglade_hls::{Ask, Session, Step, Token};
use http_body_util::BodyExt;
use hyper::header::{ACCEPT_RANGES, CONTENT_LENGTH, CONTENT_RANGE, CONTENT_TYPE};
use hyper::{Response, StatusCode};
use tokio::sync::{mpsc, oneshot};
use tracing::{info, warn};
use url::Url;

use super::fetch::{self, Accepted, Lost};
use super::relay::{Relay, Relayed};
use super::{Front, Job, Reply, busy, plain};
use crate::attempt::{self, Attempt, Outcome};
use crate::orders::{self, Command, ORDERS, Order};

/// What a session begins with.
pub struct Start {
    pub title: String,
    /// Of the player's first request; goes along to the node.
    pub query: String,
    pub token: Token,
    pub want: ViewerRequest,
    pub orders: mpsc::Receiver<Order>,
    pub jobs: mpsc::Receiver<Job>,
    pub reply: oneshot::Sender<Reply>,
}

/// Segments of one session on their way at once, and requests that wait for the engine's answer, at most.
const MOST_OPEN: usize = 16;
/// Playlists kept between two reloads at most: one a variant that a player uses.
const MOST_KEPT: usize = 8;
/// A live playlist is kept for this part of its target duration: a player that reloads sooner breaks RFC 8216, 6.3.4,
/// and costs the node nothing.
const KEPT_PART: f64 = 0.45;

struct Live {
    front: Arc<Front>,
    title: String,
    query: String,
    token: Token,
    signed: String,
    want: ViewerRequest,
    /// The session as the engine knows it: another than the token's once its node was lost.
    sess: SessionId,
    orders: mpsc::Receiver<Order>,
    state: Session,
    attempt: Option<Attempt<Accepted>>,
    /// Where it is set up.
    held: Option<Accepted>,
    waiting: Vec<Job>,
    kept: BTreeMap<Ask, (Instant, bool, String)>,
    target: f64,
    done: mpsc::Sender<Relayed>,
}

enum Event {
    Order(Option<Order>),
    Job(Option<Job>),
    Setup(Outcome<Accepted>),
    Relayed(Relayed),
    Quiet,
    /// The player closed its connection before it was answered.
    GaveUp,
}

pub async fn run(front: Arc<Front>, start: Start) {
    let now = front.shared.clock.now();
    let signed = front.keys.sign(&start.token);
    let (done, mut relayed) = mpsc::channel(MOST_OPEN);
    let mut jobs = start.jobs;
    let first = Job { ask: Ask::Master, path: String::new(), range: None, reply: start.reply };
    let mut live = Live {
        front,
        title: start.title,
        query: start.query,
        token: start.token,
        signed,
        want: start.want,
        sess: start.token.sess,
        orders: start.orders,
        state: Session::new(now),
        attempt: None,
        held: None,
        waiting: vec![first],
        kept: BTreeMap::new(),
        target: 0.0,
        done,
    };
    while !live.state.is_over() {
        let event = live.event(&mut jobs, &mut relayed).await;
        live.handle(event).await;
    }
    live.end().await;
    // Those that are still on their way here are told.
    jobs.close();
    while let Ok(job) = jobs.try_recv() {
        let _ = job.reply.send(plain(StatusCode::GONE, "the session is over"));
    }
}

impl Live {
    async fn event(
        &mut self,
        jobs: &mut mpsc::Receiver<Job>,
        relayed: &mut mpsc::Receiver<Relayed>,
    ) -> Event {
        let now = self.front.shared.clock.now();
        let quiet =
            self.state.quiet_at().map(|at| Duration::from_secs_f64(((at - now).as_ms() / 1e3).max(0.0)));
        let quiet = async {
            match quiet {
                Some(after) => tokio::time::sleep(after).await,
                None => std::future::pending().await,
            }
        };
        let attempt = async {
            match &mut self.attempt {
                Some(attempt) => attempt.ended().await,
                None => std::future::pending().await,
            }
        };
        // While a session is asked for, its player's connection is watched.
        let gave_up = async {
            match self.waiting.first_mut() {
                Some(job) => job.reply.closed().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            order = self.orders.recv() => Event::Order(order),
            outcome = attempt => Event::Setup(outcome),
            Some(relayed) = relayed.recv() => Event::Relayed(relayed),
            () = gave_up => Event::GaveUp,
            job = jobs.recv() => Event::Job(job),
            () = quiet => Event::Quiet,
        }
    }

    async fn handle(&mut self, event: Event) {
        match event {
            Event::Order(Some(order)) => self.order(order).await,
            // The engine's task is gone: so is the director.
            Event::Order(None) | Event::Job(None) => self.state.over(),
            Event::Setup(outcome) => {
                if let Some(attempt) = self.attempt.take() {
                    self.tell(attempt.setup, outcome).await;
                }
            }
            Event::Relayed(relayed) => self.relayed(relayed).await,
            Event::GaveUp => {
                self.waiting.remove(0);
                // A session that plays goes on without the answer to one request.
                if self.waiting.is_empty() && self.held.is_none() {
                    self.state.over();
                }
            }
            Event::Job(Some(job)) => self.job(job).await,
            Event::Quiet => {
                info!(sess = self.sess.0, title = self.title, "quiet");
                self.state.over();
            }
        }
    }

    fn rate(&self, rung: Rung) -> f64 {
        let headend = &self.front.shared.settings.headend;
        let scale = headend.groups.get(self.want.group.0).map_or(1.0, |group| group.rate_scale);
        headend.ladder.get(usize::from(rung.0)).map_or(0.0, |&(kb, _)| kb * scale)
    }

    async fn order(&mut self, order: Order) {
        let shared = self.front.shared.clone();
        match order {
            Order::Setup { setup, node, http, address, rung, decided } => {
                let url = http.and_then(|http| self.master_url(http, rung));
                match (http, url) {
                    (Some(http), Some(url)) => {
                        let send = |begins| fetch::send(shared, (node, http, address), url, begins);
                        self.attempt = Some(Attempt::start(self.sess, setup, decided, send));
                    }
                    _ => {
                        let input = Input::SetupFailed {
                            session: self.sess,
                            setup,
                            outcome: AttemptOutcome::Unsent,
                            load: None,
                        };
                        shared.core.tell(input).await;
                    }
                }
            }
            Order::Withdraw { setup, if_unsent } => {
                let matches = |a: &mut Attempt<_>| a.setup == setup && !(if_unsent && a.written());
                if let Some(attempt) = self.attempt.take_if(matches) {
                    let outcome = attempt.withdraw().await;
                    self.tell(setup, outcome).await;
                }
            }
            Order::Answer(SessionResponse::Plays { rung }) => self.plays(rung).await,
            Order::Answer(SessionResponse::Busy { retry_after, why }) => {
                let after = retry_after.map(|after| after.as_ms() / 1e3);
                info!(sess = self.sess.0, title = self.title, ?why, retry_after_s = after, "busy reply");
                self.refuse(|| busy("there is no room just now", after));
            }
            Order::Answer(SessionResponse::TornDown) => {
                info!(sess = self.sess.0, "torn down");
                self.refuse(|| plain(StatusCode::BAD_GATEWAY, "no node could be asked in time"));
            }
            Order::Rung(rung) => {
                let now = shared.clock.now();
                self.state.rung(self.rate(rung), now);
                self.kept.clear();
            }
            // Whatever the node held ends by its own quiet: HTTP has no word for it.
            Order::Release => self.held = None,
        }
    }

    fn refuse(&mut self, reply: impl Fn() -> Reply) {
        for job in self.waiting.drain(..) {
            let _ = job.reply.send(reply());
        }
        self.state.over();
    }

    async fn plays(&mut self, rung: Rung) {
        let now = self.front.shared.clock.now();
        info!(sess = self.sess.0, title = self.title, rung = rung.0, "plays by HLS");
        self.state.plays(self.rate(rung), now);
        let Some(held) = &mut self.held else { return self.state.over() };
        // A player whose URIs would mean something else begins anew.
        if !self.state.has(std::mem::take(&mut held.variants)) {
            return self.refuse(|| plain(StatusCode::GONE, "the title has changed; begin anew"));
        }
        for job in std::mem::take(&mut self.waiting) {
            Box::pin(self.job(job)).await;
        }
    }

    async fn tell(&mut self, setup: SetupNumber, outcome: Outcome<Accepted>) {
        let (input, held) = attempt::told(self.sess, setup, outcome);
        self.held = held.or(self.held.take());
        self.front.shared.core.tell(input).await;
    }

    fn master_url(&self, node: SocketAddr, rung: Rung) -> Option<Url> {
        let mut url = Url::parse(&format!("http://{node}/{}/{}", self.title, super::MASTER)).ok()?;
        let asked = url::form_urlencoded::parse(self.query.as_bytes());
        url.query_pairs_mut()
            .extend_pairs(asked.filter(|(key, _)| key != "rung"))
            .append_pair("rung", &rung.0.to_string());
        Some(url)
    }

    fn url(&self, path: &str) -> Option<Url> {
        Url::parse(&format!("http://{}/{}/{path}", self.held.as_ref()?.node.1, self.title)).ok()
    }

    async fn job(&mut self, job: Job) {
        let now = self.front.shared.clock.now();
        match self.state.asked(job.ask, now) {
            Step::Gone(_) => drop(job.reply.send(plain(StatusCode::GONE, "the session is over"))),
            Step::Withdrawn => {
                let reply =
                    plain(StatusCode::NOT_FOUND, "this variant was withdrawn; load its playlist again");
                let _ = job.reply.send(reply);
            }
            Step::Wait if self.waiting.len() >= MOST_OPEN => {
                let _ = job.reply.send(busy("too many requests wait", Some(1.0)));
            }
            Step::Wait => {
                self.waiting.push(job);
                if self.state.seeks() {
                    self.seek().await;
                }
            }
            Step::Fetch(variant) => match job.ask {
                Ask::Master => self.master(job),
                Ask::Media(_) => self.media(job, variant).await,
                Ask::Part(_) => self.part(job, variant),
            },
        }
    }

    /// Its node was lost: a new request of the same player, for a node that has the title.
    async fn seek(&mut self) {
        let shared = self.front.shared.clone();
        self.sess = shared.new_sess();
        let (sender, orders) = mpsc::channel(ORDERS);
        self.orders = orders;
        let input = Input::SessionRequested { session: self.sess, request: self.want };
        shared.core.send(Command::Open { input, sess: self.sess, orders: sender }).await;
    }

    fn master(&mut self, job: Job) {
        let Some(held) = &self.held else { return };
        let Some(url) = self.master_url(held.node.1, Rung(0)) else { return };
        let folder = fetch::folder(&url);
        let place = Place { url: &url, folder: &folder };
        let give =
            |ask: Ask, path: &str| self.front.give(&self.title, &self.signed, self.token.sess, ask, path);
        let reply = match playlist::master(&held.master, &place, self.state.most(), &give) {
            Ok(master) => super::playlist(master.text),
            Err(_) => plain(StatusCode::BAD_GATEWAY, "the node's playlist can't be used"),
        };
        let _ = job.reply.send(reply);
    }

    async fn media(&mut self, job: Job, variant: Option<usize>) {
        let shared = self.front.shared.clone();
        let now = shared.clock.now();
        let ask = if variant.is_some() { Ask::Media(variant) } else { job.ask };
        // What variants share is known by its path alone.
        let keep = variant.is_some();
        if let Some((at, ended, text)) = self.kept.get(&ask).filter(|_| keep)
            && (*ended || (now - *at).as_ms() / 1e3 < self.target * KEPT_PART)
        {
            let _ = job.reply.send(super::playlist(text.clone()));
            return;
        }
        let path = variant.and_then(|v| self.state.path(v)).unwrap_or(&job.path).to_string();
        let Some(url) = self.url(&path) else {
            let _ = job.reply.send(plain(StatusCode::BAD_GATEWAY, "the node's URL can't be used"));
            return;
        };
        let (status, load, bytes) = match fetch::text(&shared, &url).await {
            Ok(fetched) => fetched,
            Err(lost) => {
                self.lost(lost).await;
                return Box::pin(self.job(job)).await;
            }
        };
        if let (Some(load), Some(held)) = (load, &self.held) {
            let node = held.node.0;
            shared.core.tell(Input::NodeLoad { node, load }).await;
        }
        if status != StatusCode::OK {
            let status = if status.is_client_error() { status } else { StatusCode::BAD_GATEWAY };
            let _ = job.reply.send(plain(status, "the node doesn't give this playlist"));
            return;
        }
        let folder = fetch::folder(&url);
        let place = Place { url: &url, folder: &folder };
        let give = |path: &str| {
            self.front.give(&self.title, &self.signed, self.token.sess, Ask::Part(variant), path)
        };
        match playlist::media(&bytes, &place, &give) {
            Ok(media) => {
                self.state.target(media.target);
                self.target = media.target;
                if keep && (self.kept.len() < MOST_KEPT || self.kept.contains_key(&ask)) {
                    self.kept.insert(ask, (now, media.ended, media.text.clone()));
                }
                let _ = job.reply.send(super::playlist(media.text));
            }
            Err(trouble) => {
                warn!(sess = self.sess.0, %trouble, "a media playlist can't be used");
                let _ = job.reply.send(plain(StatusCode::BAD_GATEWAY, "the node's playlist can't be used"));
            }
        }
    }

    /// A segment, or anything else that is passed on as it is.
    fn part(&mut self, job: Job, variant: Option<usize>) {
        let shared = self.front.shared.clone();
        let Some(url) = self.url(&job.path).filter(|_| self.state.open() < MOST_OPEN) else {
            let _ = job.reply.send(busy("too many segments at once", Some(1.0)));
            return;
        };
        self.state.begins();
        let done = self.done.clone();
        tokio::spawn(async move {
            let asked = std::time::Instant::now();
            let reply = match fetch::get(&shared, &url, job.range).await {
                Ok(response) => {
                    let mut reply = Response::new(());
                    *reply.status_mut() = response.status();
                    for name in [CONTENT_TYPE, CONTENT_LENGTH, CONTENT_RANGE, ACCEPT_RANGES] {
                        if let Some(value) = response.headers().get(&name) {
                            reply.headers_mut().insert(name, value.clone());
                        }
                    }
                    let relay = Relay::new(response.into_body(), variant, asked, done);
                    reply.map(|()| relay.boxed())
                }
                Err(lost) => {
                    let broken = lost == Lost::Node;
                    let _ = done.try_send(Relayed { variant, bytes: 0, waited: asked.elapsed(), broken });
                    busy("the node doesn't answer", Some(1.0))
                }
            };
            // A player that is gone drops the segment, and that is told as well.
            let _ = job.reply.send(reply);
        });
    }

    async fn relayed(&mut self, relayed: Relayed) {
        let shared = self.front.shared.clone();
        self.state.done(shared.clock.now());
        if relayed.broken {
            return self.lost(Lost::Node).await;
        }
        let path = relayed.variant.and_then(|v| self.state.rate(v));
        if let Some(rate) = path.filter(|_| relayed.bytes > 0) {
            // What came while the node was waited for, against what the variant asks.
            let got = relayed.bytes as f64 / 1e3 / relayed.waited.as_secs_f64().max(1e-3);
            let share = (got / rate).min(1.0);
            shared.core.tell(Input::SessionDelivery { session: self.sess, share }).await;
        }
    }

    /// The node is gone: told as a lost session. Whoever may be set up again is, at its next request.
    async fn lost(&mut self, lost: Lost) {
        if !self.state.lost() {
            return;
        }
        let shared = self.front.shared.clone();
        let how = if lost == Lost::Node { AttemptOutcome::Lost } else { AttemptOutcome::Silent };
        info!(sess = self.sess.0, ?how, "broken");
        shared.core.tell(Input::SessionEnded { session: self.sess, outcome: how }).await;
        shared.core.send(Command::Close(self.sess)).await;
        self.held = None;
        self.kept.clear();
        let care = shared.settings.headend.groups.get(self.want.group.0).map(|group| group.retry_safety);
        if care != Some(RetrySafety::Safe) {
            self.state.over();
        }
    }

    /// Whatever is out for it is ended and told.
    async fn end(&mut self) {
        for job in self.waiting.drain(..) {
            let _ = job.reply.send(plain(StatusCode::GONE, "the session is over"));
        }
        let core = self.front.shared.core.clone();
        let sess = self.sess;
        core.tell(Input::ViewerLeft { session: sess }).await;
        if let Some(attempt) = self.attempt.take() {
            let setup = attempt.setup;
            let (input, _) = attempt::told(sess, setup, attempt.withdraw().await);
            core.tell(input).await;
        }
        orders::close(&core, sess, &mut self.orders).await;
    }
}
