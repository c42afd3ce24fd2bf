//! One viewer's connection: its requests to the state machine, its session's orders from the engine, the node's
//! frames to the viewer. What a slow viewer doesn't take isn't read from its node.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use ashglade::ids::{Rung, SetupNumber};
use ashglade::interface::AttemptOutcome;
use ashglade_engine::{Input, SessionResponse};
use ashglade_rtsp::client::{self, Purpose};
use ashglade_rtsp::codec::FRAME_HEADER;
use ashglade_rtsp::presentation::Asked;
use ashglade_rtsp::server::{Server, State, Step};
use ashglade_rtsp::{Codec, Fault, Packet, Request, Response, messages, rtcp};
use bytes::BytesMut;
use futures_util::{SinkExt, StreamExt};
use rtsp_types::{Method, StatusCode, Url, headers};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use tokio_util::codec::Framed;
use tracing::{debug, info};

use crate::attempt::{self, Attempt, Outcome, Wanted};
use crate::node::NodeSide;
use crate::orders::{self, Command, ORDERS, Order};
use crate::session::{Frame, Live};
use crate::shared::Shared;

/// Requests that wait behind one that is being answered, at most.
const MOST_QUEUED: usize = 16;
/// Frames passed on before they are flushed, at most.
const BATCH: usize = 64;
/// Between looks at what flowed, at idle time and at keep-alives.
const TICK: Duration = Duration::from_secs(1);

struct Viewer {
    shared: Arc<Shared>,
    connection: Framed<TcpStream, Codec>,
    server: Server,
    queue: VecDeque<Request>,
    live: Option<Box<Live>>,
    last_word: Instant,
    draining: watch::Receiver<bool>,
    /// Requests of ours to the viewer.
    cseq: u32,
    /// Frames that wait to be passed on.
    frames: BytesMut,
}

/// The connection is at its end.
struct Closed;

/// What a turn of the loop is about.
enum Event {
    Viewer(Option<Result<Packet, Fault>>),
    Node(Option<Result<Packet, Fault>>),
    Setup(Outcome<Box<NodeSide>>),
    Order(Option<Order>),
    Draining,
    Tick,
}

pub async fn run(shared: Arc<Shared>, stream: TcpStream) {
    let front = &shared.settings.front;
    let mut server = Server::new(front.session_timeout.as_secs() as u32, &front.clock_rates);
    if let Some(users) = &shared.users {
        let nonce = format!("{:016x}{:016x}", shared.random(), shared.random());
        server = server.guarded(users.clone(), nonce);
    }
    let _ = stream.set_nodelay(true);
    let connection = Framed::new(stream, Codec::default());
    let (last_word, draining) = (Instant::now(), shared.draining.subscribe());
    let (queue, live, frames) = (VecDeque::new(), None, BytesMut::new());
    let mut viewer = Viewer { shared, connection, server, queue, live, last_word, draining, cseq: 0, frames };
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let event = viewer.event(&mut tick).await;
        if viewer.handle(event).await.is_err() {
            break;
        }
    }
    viewer.end_session().await;
}

impl Viewer {
    async fn event(&mut self, tick: &mut tokio::time::Interval) -> Event {
        let reads = self.queue.len() < MOST_QUEUED;
        let Some(live) = &mut self.live else {
            return tokio::select! {
                packet = self.connection.next() => Event::Viewer(packet),
                _ = tick.tick() => Event::Tick,
            };
        };
        let attempt = async {
            match &mut live.attempt {
                Some(attempt) => attempt.ended().await,
                None => std::future::pending().await,
            }
        };
        let node = async {
            match &mut live.node {
                Some(node) => node.next().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            order = live.orders.recv() => Event::Order(order),
            outcome = attempt => Event::Setup(outcome),
            _ = tick.tick() => Event::Tick,
            Ok(()) = self.draining.changed() => Event::Draining,
            packet = self.connection.next(), if reads => Event::Viewer(packet),
            packet = node => Event::Node(packet),
        }
    }

    async fn handle(&mut self, event: Event) -> Result<(), Closed> {
        match event {
            Event::Viewer(None) => return Err(Closed),
            Event::Viewer(Some(Err(fault))) => {
                debug!(%fault, "a viewer's connection is closed");
                if let Some(status) = fault.status() {
                    self.reply(messages::response(status, None)).await?;
                }
                return Err(Closed);
            }
            Event::Viewer(Some(Ok(packet))) => {
                self.last_word = Instant::now();
                match packet {
                    Packet::Request(request) => self.queue.push_back(request),
                    Packet::Frame { channel, payload } => {
                        if let (Some(live), Some(track)) =
                            (&mut self.live, self.server.track_of_rtcp(channel))
                        {
                            live.reported(track, &payload);
                        }
                    }
                    // To our REDIRECT; nothing hangs on it.
                    Packet::Response(_) | Packet::Raw(_) => {}
                }
            }
            Event::Node(Some(Ok(packet))) => self.node_sent(packet).await?,
            Event::Node(_) => self.node_lost(AttemptOutcome::Lost).await?,
            Event::Setup(outcome) => self.setup_ended(outcome).await,
            Event::Order(Some(order)) => self.order(order).await?,
            Event::Order(None) => return Err(Closed),
            Event::Draining => self.redirect().await?,
            Event::Tick => self.tick().await?,
        }
        while !self.server.waits()
            && let Some(request) = self.queue.pop_front()
        {
            self.request(request).await?;
        }
        Ok(())
    }

    /// Sends what has been fed; a viewer that takes nothing for too long is dropped.
    async fn flush(&mut self) -> Result<(), Closed> {
        let within = self.shared.settings.front.write_timeout;
        let sent = async {
            self.connection.flush().await?;
            if !self.frames.is_empty() {
                let mut frames = std::mem::take(&mut self.frames);
                self.connection.get_mut().write_all_buf(&mut frames).await?;
            }
            Ok::<(), Fault>(())
        };
        let sent = tokio::time::timeout(within, sent).await;
        matches!(sent, Ok(Ok(()))).then_some(()).ok_or(Closed)
    }

    async fn feed(&mut self, packet: Packet) -> Result<(), Closed> {
        let within = self.shared.settings.front.write_timeout;
        let fed = tokio::time::timeout(within, self.connection.feed(packet)).await;
        matches!(fed, Ok(Ok(()))).then_some(()).ok_or(Closed)
    }

    async fn reply(&mut self, mut response: Response) -> Result<(), Closed> {
        response.insert_header(headers::SERVER, "ashglade");
        self.feed(Packet::Response(response)).await?;
        self.flush().await
    }

    async fn request(&mut self, request: Request) -> Result<(), Closed> {
        let titles = &self.shared.settings.titles;
        let shared = self.shared.clone();
        let step = self.server.request(&request, |title| titles.get(title).map(|title| title.tracks));
        let node = self.live.as_mut().and_then(|live| live.node.as_mut());
        let sent = match (step, node) {
            (Step::Reply(response), _) => return self.reply(response).await,
            (Step::Ask(asked), _) => return self.ask(asked).await,
            (Step::Leave(response), _) => {
                self.end_session().await;
                return self.reply(response).await;
            }
            // The node was lost, and that has not reached the state machine yet.
            (_, None) => {
                let response = self.server.failed(StatusCode::BadGateway);
                return self.reply(response).await;
            }
            (Step::Track { track }, Some(node)) => node.setup(&shared, track).await,
            (Step::Play { range }, Some(node)) => node.play(&shared, range).await,
            (Step::Pause, Some(node)) => node.pause(&shared).await,
        };
        match sent {
            Ok(()) => Ok(()),
            Err(_) => self.node_lost(AttemptOutcome::Lost).await,
        }
    }

    async fn ask(&mut self, asked: Asked) -> Result<(), Closed> {
        let shared = self.shared.clone();
        let settings = &shared.settings;
        let title = settings.titles.get(&asked.title);
        let found = title.and_then(|t| Some((t, settings.group_of(asked.group.as_deref(), t)?)));
        let Some((title, group)) = found else {
            let response = self.server.turned_away(StatusCode::NotFound, None);
            return self.reply(response).await;
        };
        let sess = shared.new_sess();
        let top = asked.top.unwrap_or(u8::MAX);
        let peer = || self.connection.get_ref().peer_addr().map(|peer| peer.ip().to_string());
        let element = |name: &str| asked.element(name).map(|value| value.to_string());
        let want = shared.want(title, group, top, element, || peer().unwrap_or_default());
        let (sender, orders) = mpsc::channel(ORDERS);
        let input = Input::SessionRequested { session: sess, request: want };
        shared.core.send(Command::Open { input, sess, orders: sender }).await;
        self.live = Some(Box::new(Live::new(&shared, sess, asked, orders)));
        Ok(())
    }

    async fn order(&mut self, order: Order) -> Result<(), Closed> {
        let shared = self.shared.clone();
        let Some(live) = &mut self.live else { return Ok(()) };
        let sess = live.sess;
        match order {
            Order::Setup { setup, node, address, rung, decided, .. } => {
                (live.rung, live.told) = (rung.0, rung.0);
                match live.asked.rendition(address, rung.0) {
                    Some(url) => {
                        let track = self.server.track();
                        let wanted = Wanted { node, address, url, track };
                        let send = |begins| attempt::send(shared, wanted, begins);
                        live.attempt = Some(Attempt::start(sess, setup, decided, send));
                    }
                    None => {
                        shared
                            .core
                            .tell(Input::SetupFailed {
                                session: sess,
                                setup,
                                outcome: AttemptOutcome::Unsent,
                                load: None,
                            })
                            .await;
                    }
                }
                Ok(())
            }
            Order::Withdraw { setup, if_unsent } => {
                let matches = |a: &mut Attempt<_>| a.setup == setup && !(if_unsent && a.written());
                if let Some(attempt) = live.attempt.take_if(matches) {
                    let outcome = attempt.withdraw().await;
                    self.tell_outcome(setup, outcome).await;
                }
                Ok(())
            }
            Order::Answer(SessionResponse::Plays { .. }) => {
                let ssrc = live.ssrc(self.server.track());
                info!(sess = sess.0, title = live.asked.title, rung = live.rung, "plays");
                let name = format!("{:016x}", shared.random());
                let response = self.server.granted(name, ssrc);
                self.reply(response).await
            }
            Order::Answer(SessionResponse::Busy { retry_after, why }) => {
                let after = retry_after.map(|after| after.as_ms() / 1e3);
                info!(sess = sess.0, title = live.asked.title, ?why, retry_after_s = after, "busy reply");
                let response = self.server.turned_away(StatusCode::ServiceUnavailable, after);
                self.turned_away(response).await
            }
            Order::Answer(SessionResponse::TornDown) => {
                info!(sess = sess.0, "torn down");
                let response = self.server.turned_away(StatusCode::BadGateway, None);
                self.turned_away(response).await
            }
            Order::Rung(rung) => {
                live.rung = rung.0;
                if self.server.state() == State::Playing { self.switch().await } else { Ok(()) }
            }
            Order::Release => {
                if let Some(node) = live.node.take() {
                    tokio::spawn(node.tear_down(shared));
                }
                Ok(())
            }
        }
    }

    async fn turned_away(&mut self, response: Response) -> Result<(), Closed> {
        self.reply(response).await?;
        // A SETUP may still be out where the guard answered; its ending is told as well.
        self.end_session().await;
        Ok(())
    }

    /// Sends the viewer to another director (RFC 2326, 10.10), if there is one to name.
    async fn redirect(&mut self) -> Result<(), Closed> {
        let Some(live) = &self.live else { return Ok(()) };
        let Some(to) = &self.shared.settings.front.redirect else { return Ok(()) };
        let Ok(url) = Url::parse(&format!("{to}/{}", live.asked.title)) else { return Ok(()) };
        self.cseq += 1;
        let mut request = messages::request(Method::Redirect, &url, self.cseq);
        request.insert_header(headers::LOCATION, url.as_str());
        self.feed(Packet::Request(request)).await?;
        self.flush().await
    }

    /// Brings the node to the rung that the engine wants.
    async fn switch(&mut self) -> Result<(), Closed> {
        let shared = self.shared.clone();
        let Some(live) = &mut self.live else { return Ok(()) };
        let (from, to) = (live.told, live.rung);
        let Some(node) = live.node.as_mut().filter(|_| from != to) else { return Ok(()) };
        let Some(url) = live.asked.rendition(node.address, to) else { return Ok(()) };
        live.told = to;
        match node.switch(&shared, from, url).await {
            Ok(()) => Ok(()),
            Err(_) => self.node_lost(AttemptOutcome::Lost).await,
        }
    }

    async fn setup_ended(&mut self, outcome: Outcome<Box<NodeSide>>) {
        let attempt = self.live.as_mut().and_then(|live| live.attempt.take());
        if let Some(attempt) = attempt {
            self.tell_outcome(attempt.setup, outcome).await;
        }
    }

    async fn tell_outcome(&mut self, setup: SetupNumber, outcome: Outcome<Box<NodeSide>>) {
        let Some(live) = &mut self.live else { return };
        let (input, node) = attempt::told(live.sess, setup, outcome);
        live.node = node.or(live.node.take());
        self.shared.core.tell(input).await;
    }

    async fn node_sent(&mut self, first: Packet) -> Result<(), Closed> {
        let mut packet = first;
        for _ in 0..BATCH {
            match packet {
                Packet::Raw(bytes) => self.frame(bytes).await?,
                Packet::Response(response) => {
                    self.flush().await?;
                    self.answered(response).await?;
                    break;
                }
                // Nodes ask nothing of a front that it would have to answer (RFC 2326, 10.1 aside).
                Packet::Request(_) | Packet::Frame { .. } => {}
            }
            match self.live.as_mut().and_then(|live| live.node.as_mut()).and_then(|node| node.at_hand()) {
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

    /// Makes a frame the viewer's and puts it behind those that wait to be passed on. They lie side by side where the
    /// node sent them so, and are then joined without being copied.
    async fn frame(&mut self, mut bytes: BytesMut) -> Result<(), Closed> {
        let now = self.shared.clock.elapsed_micros();
        let Some(live) = &mut self.live else { return Ok(()) };
        let frame = live.frame(bytes[1], &mut bytes[FRAME_HEADER..], now);
        let channels = |track| self.server.channels(track);
        let (channel, over) = match frame {
            Frame::Rtp { track } => (channels(track).map(|c| c.rtp), false),
            Frame::Rtcp { track } => (channels(track).map(|c| c.rtcp), false),
            Frame::Bye { track } => (channels(track).map(|c| c.rtcp), true),
            Frame::Stray => (None, false),
        };
        if let Some(channel) = channel {
            bytes[1] = channel;
            self.frames.unsplit(bytes);
        }
        if over { self.played_out().await } else { Ok(()) }
    }

    /// The node ended the stream: the session has played.
    async fn played_out(&mut self) -> Result<(), Closed> {
        self.flush().await?;
        let Some(mut live) = self.live.take() else { return Ok(()) };
        info!(sess = live.sess.0, "played out");
        self.shared
            .core
            .tell(Input::SessionEnded { session: live.sess, outcome: AttemptOutcome::Played })
            .await;
        if let Some(node) = live.node.take() {
            tokio::spawn(node.tear_down(self.shared.clone()));
        }
        self.over(&live).await
    }

    async fn answered(&mut self, response: Response) -> Result<(), Closed> {
        let shared = self.shared.clone();
        let Some(live) = &mut self.live else { return Ok(()) };
        let Some(node) = &mut live.node else { return Ok(()) };
        if let Some(load) = attempt::load(&response) {
            let node = node.node;
            shared.core.tell(Input::NodeLoad { node, load }).await;
        }
        let reply = match node.client.answered(&response) {
            client::Answer::Done(Purpose::Setup { track }) => self.server.track_granted(live.ssrc(track)),
            client::Answer::Done(Purpose::Play) => {
                live.plays(shared.clock.elapsed_micros());
                let range = messages::header(&response, &headers::RANGE);
                let info = messages::header(&response, &headers::RTP_INFO).map(|info| live.rtp_info(info));
                let reply = self.server.plays(range, info.as_deref());
                self.reply(reply).await?;
                return self.switch().await;
            }
            client::Answer::Done(Purpose::Pause) => self.server.paused(),
            client::Answer::Refused(Purpose::Switch { from }, _) => {
                live.told = from;
                shared.core.tell(Input::RungUnchanged { session: live.sess, rung: Rung(from) }).await;
                return Ok(());
            }
            client::Answer::Refused(Purpose::Setup { .. } | Purpose::Play | Purpose::Pause, status) => {
                self.server.failed(status)
            }
            _ => return Ok(()),
        };
        self.reply(reply).await
    }

    /// The node's connection is gone, or it doesn't answer: the session is over, the viewer's connection isn't.
    async fn node_lost(&mut self, how: AttemptOutcome) -> Result<(), Closed> {
        let Some(live) = &mut self.live else { return Ok(()) };
        let Some(node) = live.node.take() else { return Ok(()) };
        info!(sess = live.sess.0, ?how, node = %node.address, "broken");
        node.lose(&self.shared).await;
        self.shared.core.tell(Input::SessionEnded { session: live.sess, outcome: how }).await;
        let Some(live) = self.live.take() else { return Ok(()) };
        if self.server.waits() {
            let reply = self.server.failed(StatusCode::BadGateway);
            self.reply(reply).await?;
        } else {
            for track in 0..self.shared.settings.front.clock_rates.len() as u8 {
                if let Some(channels) = self.server.channels(track) {
                    let payload = rtcp::bye(live.ssrc(track));
                    self.feed(Packet::Frame { channel: channels.rtcp, payload }).await?;
                }
            }
            self.flush().await?;
        }
        self.over(&live).await
    }

    /// The session is no longer in hand; the connection is as new.
    async fn over(&mut self, live: &Live) -> Result<(), Closed> {
        self.server.ended();
        self.shared.core.send(Command::Close(live.sess)).await;
        Ok(())
    }

    async fn tick(&mut self) -> Result<(), Closed> {
        let shared = self.shared.clone();
        let front = &shared.settings.front;
        if self.last_word.elapsed() > front.session_timeout && !self.server.waits() {
            return Err(Closed);
        }
        let Some(live) = &mut self.live else { return Ok(()) };
        if live.node.as_ref().is_some_and(|node| node.overdue(&shared)) {
            return self.node_lost(AttemptOutcome::Silent).await;
        }
        if self.server.state() == State::Playing
            && let Some(share) =
                live.share(shared.clock.elapsed_micros(), |track| self.server.channels(track).is_some())
        {
            shared.core.tell(Input::SessionDelivery { session: live.sess, share }).await;
        }
        let Some(node) = &mut live.node else { return Ok(()) };
        if live.kept_alive.elapsed() >= front.keep_alive {
            live.kept_alive = Instant::now();
            if node.keep_alive(&shared).await.is_err() {
                return self.node_lost(AttemptOutcome::Lost).await;
            }
        }
        Ok(())
    }

    /// The viewer ends its session or is gone; whatever is out for it is ended and told.
    async fn end_session(&mut self) {
        let Some(mut live) = self.live.take() else { return };
        let (core, sess) = (&self.shared.core, live.sess);
        core.tell(Input::ViewerLeft { session: sess }).await;
        if let Some(attempt) = live.attempt.take() {
            let setup = attempt.setup;
            let (input, node) = attempt::told(sess, setup, attempt.withdraw().await);
            live.node = node.or(live.node.take());
            core.tell(input).await;
        }
        if let Some(node) = live.node {
            tokio::spawn(node.tear_down(self.shared.clone()));
        }
        orders::close(core, sess, &mut live.orders).await;
        self.server.ended();
    }
}
