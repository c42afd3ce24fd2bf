//! One viewer's connection: its requests to the state machine, its session's orders from the engine, the node's
//! frames to the viewer. What a slow viewer doesn't take isn't read from its node.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ashglade::ids::{Rung, Sess, SetupNo};
use ashglade::interface::Ending;
use ashglade_engine::{Answer, Input, Want};
use ashglade_rtsp::presentation::Asked;
use ashglade_rtsp::rewrite::{Meter, Rewriter};
use ashglade_rtsp::server::{Server, State, Step};
use ashglade_rtsp::{Codec, Fault, Packet, Request, Response, messages};
use bytes::BytesMut;
use futures_util::{SinkExt, StreamExt};
use rtsp_types::{StatusCode, headers};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::codec::Framed;
use tracing::{debug, info};

use crate::attempt::{self, Attempt, Outcome};
use crate::core::{Command, ORDERS, Order};
use crate::node::{NodeSide, Purpose};
use crate::serve::Shared;

/// Requests that wait behind one that is being answered, at most.
const MOST_QUEUED: usize = 16;
/// Frames passed on before they are flushed, at most.
const BATCH: usize = 32;
/// Between looks at what flowed, at idle time and at keep-alives.
const TICK: Duration = Duration::from_secs(1);

struct Viewer {
    shared: Arc<Shared>,
    connection: Framed<TcpStream, Codec>,
    server: Server,
    queue: VecDeque<Request>,
    live: Option<Live>,
    last_word: Instant,
}

/// A session, from its request to its end.
struct Live {
    sess: Sess,
    asked: Asked,
    orders: mpsc::Receiver<Order>,
    attempt: Option<Attempt>,
    node: Option<Box<NodeSide>>,
    /// The rung that the engine wants, and the one that the node was told.
    rung: u8,
    told: u8,
    rewriter: Rewriter,
    meter: Meter,
    kept_alive: Instant,
}

/// The connection is at its end.
struct Closed;

/// What a turn of the loop is about.
enum Event {
    Viewer(Option<Result<Packet, Fault>>),
    Node(Option<Result<Packet, Fault>>),
    Setup(Outcome),
    Order(Option<Order>),
    Tick,
}

pub async fn run(shared: Arc<Shared>, stream: TcpStream) {
    let timeout = shared.settings.front.session_timeout.as_secs() as u32;
    let server = Server::new(timeout, shared.settings.front.clock_rate);
    let _ = stream.set_nodelay(true);
    let connection = Framed::new(stream, Codec::default());
    let last_word = Instant::now();
    let mut viewer = Viewer { shared, connection, server, queue: VecDeque::new(), live: None, last_word };
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
                    // Receiver reports keep the session alive; answers to nothing are passed over.
                    Packet::Frame { .. } | Packet::Response(_) => {}
                }
            }
            Event::Node(Some(Ok(packet))) => self.node_sent(packet).await?,
            Event::Node(_) => self.node_lost(Ending::Lost).await?,
            Event::Setup(outcome) => self.setup_ended(outcome).await,
            Event::Order(Some(order)) => self.order(order).await?,
            Event::Order(None) => return Err(Closed),
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
        let sent =
            tokio::time::timeout(self.shared.settings.front.write_timeout, self.connection.flush()).await;
        matches!(sent, Ok(Ok(()))).then_some(()).ok_or(Closed)
    }

    async fn feed(&mut self, packet: Packet) -> Result<(), Closed> {
        let fed =
            tokio::time::timeout(self.shared.settings.front.write_timeout, self.connection.feed(packet))
                .await;
        matches!(fed, Ok(Ok(()))).then_some(()).ok_or(Closed)
    }

    async fn reply(&mut self, mut response: Response) -> Result<(), Closed> {
        response.insert_header(headers::SERVER, "ashglade");
        self.feed(Packet::Response(response)).await?;
        self.flush().await
    }

    async fn request(&mut self, request: Request) -> Result<(), Closed> {
        let titles = &self.shared.settings.titles;
        match self.server.request(&request, |title| titles.contains_key(title)) {
            Step::Reply(response) => self.reply(response).await,
            Step::Ask(asked) => self.ask(asked).await,
            Step::Play { range } => {
                let shared = self.shared.clone();
                let Some(node) = self.live.as_mut().and_then(|live| live.node.as_mut()) else {
                    let response = self.server.failed(StatusCode::BadGateway);
                    return self.reply(response).await;
                };
                match node.play(&shared, range).await {
                    Ok(()) => Ok(()),
                    Err(_) => self.node_lost(Ending::Lost).await,
                }
            }
            Step::Pause => {
                let shared = self.shared.clone();
                let Some(node) = self.live.as_mut().and_then(|live| live.node.as_mut()) else {
                    let response = self.server.failed(StatusCode::BadGateway);
                    return self.reply(response).await;
                };
                match node.pause(&shared).await {
                    Ok(()) => Ok(()),
                    Err(_) => self.node_lost(Ending::Lost).await,
                }
            }
            Step::Leave(response) => {
                self.end_session().await;
                self.reply(response).await
            }
        }
    }

    async fn ask(&mut self, asked: Asked) -> Result<(), Closed> {
        let shared = self.shared.clone();
        let Some(title) = shared.settings.titles.get(&asked.title) else {
            let response = self.server.turned_away(StatusCode::NotFound, None);
            return self.reply(response).await;
        };
        let Some(group) = shared.settings.group_of(asked.group.as_deref(), title) else {
            let response = self.server.turned_away(StatusCode::NotFound, None);
            return self.reply(response).await;
        };
        // Sessions of a director that starts again don't meet those of the one before.
        let sess = Sess(shared.next_sess.fetch_add(1, Ordering::Relaxed));
        let top = Rung(asked.top.unwrap_or(u8::MAX).min(shared.settings.top_rung()));
        let want = Want {
            group,
            title: ashglade::ids::Title(title.id),
            top,
            home: title.home,
            copies: title.copies,
            setup_timeout: shared.settings.setup_timeouts[group.0],
        };
        let (sender, orders) = mpsc::channel(ORDERS);
        let input = Input::Asked { sess, want };
        shared.core.send(Command::Open { input, sess, orders: sender }).await;
        let ssrc = shared.random() as u32;
        let clock_rate = shared.settings.front.clock_rate;
        self.live = Some(Live {
            sess,
            asked,
            orders,
            attempt: None,
            node: None,
            rung: 0,
            told: 0,
            rewriter: Rewriter::new(ssrc, clock_rate),
            meter: Meter::new(clock_rate, 0),
            kept_alive: Instant::now(),
        });
        Ok(())
    }

    async fn order(&mut self, order: Order) -> Result<(), Closed> {
        let shared = self.shared.clone();
        let Some(live) = &mut self.live else { return Ok(()) };
        match order {
            Order::Setup { setup, address, rung, .. } => {
                (live.rung, live.told) = (rung.0, rung.0);
                match live.asked.rendition(address, rung.0) {
                    Some(url) => live.attempt = Some(Attempt::start(shared, live.sess, setup, address, url)),
                    None => {
                        let sess = live.sess;
                        shared.core.tell(Input::Ended { sess, setup, how: Ending::Unsent, load: None }).await;
                    }
                }
                Ok(())
            }
            Order::Withdraw { setup, if_unsent } => {
                let matches = |a: &mut Attempt| a.setup == setup && !(if_unsent && a.written());
                if let Some(attempt) = live.attempt.take_if(matches) {
                    let outcome = attempt.withdraw().await;
                    self.tell_outcome(setup, outcome).await;
                }
                Ok(())
            }
            Order::Answer(Answer::Plays { .. }) => {
                let ssrc = live.rewriter.ssrc();
                info!(sess = live.sess.0, title = live.asked.title, rung = live.rung, "plays");
                let name = format!("{:016x}", shared.random());
                let response = self.server.granted(name, ssrc);
                self.reply(response).await
            }
            Order::Answer(Answer::Busy { retry_after }) => {
                info!(sess = live.sess.0, "busy reply");
                let after = retry_after.map(|after| after.as_ms() / 1e3);
                let response = self.server.turned_away(StatusCode::ServiceUnavailable, after);
                self.turned_away(response).await
            }
            Order::Answer(Answer::TornDown) => {
                info!(sess = live.sess.0, "torn down");
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
            Err(_) => self.node_lost(Ending::Lost).await,
        }
    }

    async fn setup_ended(&mut self, outcome: Outcome) {
        let attempt = self.live.as_mut().and_then(|live| live.attempt.take());
        if let Some(attempt) = attempt {
            self.tell_outcome(attempt.setup, outcome).await;
        }
    }

    async fn tell_outcome(&mut self, setup: SetupNo, outcome: Outcome) {
        let Some(live) = &mut self.live else { return };
        let sess = live.sess;
        let input = match outcome {
            Ok((node, load)) => {
                live.node = Some(node);
                Input::Started { sess, setup, load }
            }
            Err((how, load)) => Input::Ended { sess, setup, how, load },
        };
        self.shared.core.tell(input).await;
    }

    async fn node_sent(&mut self, first: Packet) -> Result<(), Closed> {
        let mut packet = first;
        for _ in 0..BATCH {
            match packet {
                Packet::Frame { channel, payload } => self.frame(channel, payload).await?,
                Packet::Response(response) => {
                    self.answered(response).await?;
                    break;
                }
                // Nodes ask nothing of a front that it would have to answer (RFC 2326, 10.1 aside).
                Packet::Request(_) => {}
            }
            match self.live.as_mut().and_then(|live| live.node.as_mut()).and_then(|node| node.at_hand()) {
                Some(Some(Ok(next))) => packet = next,
                Some(_) => {
                    self.flush().await?;
                    return self.node_lost(Ending::Lost).await;
                }
                None => break,
            }
        }
        self.flush().await
    }

    async fn frame(&mut self, channel: u8, mut payload: BytesMut) -> Result<(), Closed> {
        let now = self.shared.clock.micros();
        let to = self.server.channels();
        let Some(live) = &mut self.live else { return Ok(()) };
        let Some(node) = &live.node else { return Ok(()) };
        let passed = if channel == node.channels.rtp {
            live.meter.saw(&payload);
            live.rewriter.rtp(&mut payload, now).then_some(to.rtp)
        } else if channel == node.channels.rtcp {
            live.rewriter.rtcp(&mut payload).then_some(to.rtcp)
        } else {
            None
        };
        match passed {
            Some(channel) => self.feed(Packet::Frame { channel, payload }).await,
            None => Ok(()),
        }
    }

    async fn answered(&mut self, response: Response) -> Result<(), Closed> {
        let shared = self.shared.clone();
        let Some(live) = &mut self.live else { return Ok(()) };
        let Some(node) = &mut live.node else { return Ok(()) };
        let Some(purpose) = node.answered(&response) else { return Ok(()) };
        if let Some(load) = attempt::load(&response) {
            let node = ashglade_roster::id_of(&node.address);
            shared.core.tell(Input::Load { node, load }).await;
        }
        let well = response.status() == StatusCode::Ok;
        match purpose {
            Purpose::Play if well => {
                live.meter.restart(shared.clock.micros());
                let reply = self.server.plays(
                    messages::header(&response, &headers::RANGE),
                    // Sequence and time are those of the first packet: nothing is added to them yet.
                    messages::header(&response, &headers::RTP_INFO).filter(|_| live.told == live.rung),
                );
                self.reply(reply).await?;
                self.switch().await
            }
            Purpose::Pause if well => {
                let reply = self.server.paused();
                self.reply(reply).await
            }
            Purpose::Play | Purpose::Pause => {
                let reply = self.server.failed(response.status());
                self.reply(reply).await
            }
            Purpose::Switch { from } if !well => {
                live.told = from;
                shared.core.tell(Input::Stays { sess: live.sess, rung: Rung(from) }).await;
                Ok(())
            }
            Purpose::Switch { .. } | Purpose::KeepAlive => Ok(()),
        }
    }

    /// The node's connection is gone, or it doesn't answer: the session is over, the viewer's connection isn't.
    async fn node_lost(&mut self, how: Ending) -> Result<(), Closed> {
        let Some(live) = &mut self.live else { return Ok(()) };
        if live.node.take().is_none() {
            return Ok(());
        }
        info!(sess = live.sess.0, ?how, "broken");
        self.shared.core.tell(Input::Over { sess: live.sess, how }).await;
        let (sess, ssrc) = (live.sess, live.rewriter.ssrc());
        if self.server.waits() {
            let reply = self.server.failed(StatusCode::BadGateway);
            self.reply(reply).await?;
        } else {
            let channel = self.server.channels().rtcp;
            self.feed(Packet::Frame { channel, payload: bye(ssrc) }).await?;
            self.flush().await?;
        }
        self.server.ended();
        self.live = None;
        self.shared.core.send(Command::Close(sess)).await;
        Ok(())
    }

    async fn tick(&mut self) -> Result<(), Closed> {
        let shared = self.shared.clone();
        if self.last_word.elapsed() > shared.settings.front.session_timeout && !self.server.waits() {
            return Err(Closed);
        }
        let Some(live) = &mut self.live else { return Ok(()) };
        let Some(node) = &mut live.node else { return Ok(()) };
        if node.overdue(&shared) {
            return self.node_lost(Ending::Silent).await;
        }
        if self.server.state() == State::Playing
            && let Some(flow) = live.meter.take(shared.clock.micros())
        {
            shared.core.tell(Input::Flow { sess: live.sess, share: flow.share }).await;
        }
        if live.kept_alive.elapsed() >= shared.settings.front.keep_alive {
            live.kept_alive = Instant::now();
            if node.keep_alive(&shared).await.is_err() {
                return self.node_lost(Ending::Lost).await;
            }
        }
        Ok(())
    }

    /// The viewer ends its session or is gone; whatever is out for it is ended and told.
    async fn end_session(&mut self) {
        let Some(mut live) = self.live.take() else { return };
        let (core, sess) = (&self.shared.core, live.sess);
        core.tell(Input::Left { sess }).await;
        if let Some(attempt) = live.attempt.take() {
            let setup = attempt.setup;
            let input = match attempt.withdraw().await {
                Ok((node, load)) => {
                    live.node = Some(node);
                    Input::Started { sess, setup, load }
                }
                Err((how, load)) => Input::Ended { sess, setup, how, load },
            };
            core.tell(input).await;
        }
        if let Some(node) = live.node {
            tokio::spawn(node.tear_down(self.shared.clone()));
        }
        // A SETUP that was ordered and not yet begun never ran.
        live.orders.close();
        while let Ok(order) = live.orders.try_recv() {
            if let Order::Setup { setup, .. } = order {
                core.tell(Input::Ended { sess, setup, how: Ending::Unsent, load: None }).await;
            }
        }
        core.send(Command::Close(sess)).await;
        self.server.ended();
    }
}

/// RTCP BYE (RFC 3550, 6.6): the stream is over.
fn bye(ssrc: u32) -> BytesMut {
    let mut packet = BytesMut::from(&[0x81, 203, 0, 1][..]);
    packet.extend_from_slice(&ssrc.to_be_bytes());
    packet
}
