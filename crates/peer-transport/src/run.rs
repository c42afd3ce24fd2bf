//! The transport task, which connects the shared state to a socket, a clock and the engine.

use std::net::SocketAddr;
use std::path::PathBuf;

use ashglade::time::{Instant, Span};
use ashglade_clock::Clock;
use ashglade_engine::{Input, SetupResult as Outcome};
use ashglade_settings::Settings;
use ashglade_shared::{Member, Pool, Terms, Word, verdict};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tracing::{debug, info};

use crate::codec::{Codec, Datagram, MOST, Passed};
use crate::guard::Guard;
use crate::teller::Teller;
use crate::terms::{LOOK, REPEATS};
use crate::view::{Seen, View};

/// Receives the inputs that the transport produces for the engine.
pub trait Engine: Send + Sync + 'static {
    fn tell(&self, input: Input) -> impl Future<Output = ()> + Send;
}

/// Resources and limits of the transport task.
pub struct Started {
    pub socket: UdpSocket,
    pub terms: Terms,
    /// Addresses of all directors, by index; this director's own is among them.
    pub peers: Vec<SocketAddr>,
    pub codec: Codec,
    pub clock: Clock,
    /// Results of this director's SETUPs.
    pub seen: mpsc::Receiver<Outcome>,
    /// Maximum number of bytes sent per second.
    pub most_bytes: f64,
    /// Window over which further SETUPs at a node are counted; `None` if directors share no limit on them.
    pub repeats_span: Option<Span>,
    /// File to which the status is written once a second.
    pub view: Option<PathBuf>,
}

impl Started {
    /// Builds the transport from the settings. Returns `None` if they name no other directors or the secret
    /// cannot be used.
    pub fn new(
        settings: &Settings,
        socket: UdpSocket,
        clock: Clock,
        seen: mpsc::Receiver<Outcome>,
        view: Option<PathBuf>,
    ) -> Option<Started> {
        let terms = crate::terms(settings)?;
        let talk = settings.talk.as_ref()?;
        let share = talk.share.as_ref();
        Some(Started {
            socket,
            terms,
            peers: talk.peers.clone(),
            codec: Codec::new(&talk.secret)?,
            clock,
            seen,
            most_bytes: share.map_or(f64::INFINITY, |share| share.bytes_per_s),
            repeats_span: crate::terms::repeats_span(settings),
            view,
        })
    }
}

struct Talk<E> {
    engine: E,
    with: Started,
    member: Member,
    guard: Guard,
    process: u64,
    number: u64,
    /// Token bucket of the rate limit: bytes that may be sent now, and the time of the last refill.
    room: f64,
    filled: Instant,
    /// Time when the status file was last written.
    shown: Instant,
    view: View,
    teller: Teller,
}

/// Exchanges messages with the other directors for as long as the director runs, and passes changes to the
/// engine.
pub async fn run<E: Engine>(with: Started, engine: E) {
    let now = with.clock.now();
    // Start time in milliseconds: higher than that of the previous process unless the machine's clock was set
    // back.
    let process = now.as_ms().max(1.0) as u64;
    let (directors, me) = (with.terms.directors(), with.terms.me);
    let mut talk = Talk {
        engine,
        member: Member::start(with.terms.clone(), process, now),
        guard: Guard::new(directors, with.terms.lease),
        process,
        number: 0,
        room: 0.0,
        filled: now,
        shown: now,
        view: View { director: me, directors, heard: vec![me], ..View::default() },
        teller: Teller::new(with.repeats_span),
        with,
    };
    let mut bytes = vec![0; MOST + 1];
    let mut tick = tokio::time::interval(LOOK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let out = tokio::select! {
            _ = tick.tick() => talk.member.tick(talk.with.clock.now()),
            received = talk.with.socket.recv_from(&mut bytes) => match received {
                Ok((size, from)) => talk.heard(&bytes[..size], from),
                // For instance, the port of a peer that is not running is unreachable.
                Err(_) => Vec::new(),
            },
            Some(outcome) = talk.with.seen.recv() => {
                if let Some(verdict) = verdict(outcome.failure) {
                    talk.member.saw(outcome.node.0, verdict, talk.with.clock.now());
                }
                Vec::new()
            }
        };
        // The engine stops using permits that are released or expired before any release is sent.
        talk.tell().await;
        talk.say(out);
        talk.show();
    }
}

impl<E: Engine> Talk<E> {
    fn heard(&mut self, bytes: &[u8], from: SocketAddr) -> Vec<Word> {
        let now = self.with.clock.now();
        let taken = self.with.codec.read(bytes).and_then(|datagram| {
            let sender = usize::from(datagram.word.from);
            if self.with.peers.get(sender) != Some(&from)
                || usize::from(datagram.word.to) != self.with.terms.me
            {
                return Err(Passed::Stranger);
            }
            if !self.guard.is_new(sender, datagram.process, datagram.number, now) {
                return Err(Passed::Replayed);
            }
            Ok(datagram)
        });
        match taken {
            Ok(datagram) => {
                self.view.taken = (self.view.taken.0 + 1, self.view.taken.1 + bytes.len() as u64);
                let before = self.member.other_terms;
                let out = self.member.take(&datagram.word, now);
                if self.member.other_terms != before {
                    *self.view.passed.entry("set up otherwise".into()).or_default() += 1;
                }
                out
            }
            Err(why) => {
                debug!(%from, ?why, "a datagram is passed over");
                *self.view.passed.entry(format!("{why:?}")).or_default() += 1;
                Vec::new()
            }
        }
    }

    fn say(&mut self, out: Vec<Word>) {
        let now = self.with.clock.now();
        let most = self.with.most_bytes;
        if most.is_finite() {
            self.room = (self.room + most * ((now - self.filled).as_ms() / 1e3)).min(most);
            self.filled = now;
        }
        for word in out {
            let Some(peer) = self.with.peers.get(usize::from(word.to)) else { continue };
            self.number += 1;
            let datagram = Datagram { process: self.process, number: self.number, word };
            let Some(bytes) = self.with.codec.write(&datagram) else { continue };
            let size = bytes.len() as f64;
            if most.is_finite() && self.room < size {
                self.view.held_back += 1;
                continue;
            }
            self.room -= if most.is_finite() { size } else { 0.0 };
            // A datagram that cannot be sent counts as lost.
            if self.with.socket.try_send_to(&bytes, *peer).is_ok() {
                self.view.said = (self.view.said.0 + 1, self.view.said.1 + bytes.len() as u64);
            }
        }
    }

    /// Passes changes of permits and suspected nodes to the engine, and updates the status.
    async fn tell(&mut self) {
        let now = self.with.clock.now();
        let (view, news) = self.teller.look(&self.member, &self.with.terms, now);
        for input in news {
            if matches!(input, Input::SuspectedNodes { .. }) {
                info!(nodes = ?view.left, "nodes that are tried last, by who finds them failing");
            }
            self.engine.tell(input).await;
        }
        let heard: Vec<usize> = view.heard.into_iter().collect();
        if heard != self.view.heard {
            info!(directors = ?heard, "directors that are heard of");
            self.view.heard = heard;
        }
        let of = |pool: &Pool| pool.kept * self.with.terms.directors() + pool.lent;
        let all = self.with.terms.pools.get(REPEATS).map(of);
        self.view.repeats = self.teller.repeats().zip(all);
        self.view.last = view.left.into_iter().map(|(node, by)| (format!("{node:016x}"), by)).collect();
        self.view.turns = self.teller.turns().to_vec();
    }

    /// Writes the status file once a second, if one is configured.
    fn show(&mut self) {
        let now = self.with.clock.now();
        let Some(path) = self.with.view.as_ref().filter(|_| now - self.shown >= Span::from_secs(1.0)) else {
            return;
        };
        self.shown = now;
        let seen = |word: ashglade_shared::Judgement| Seen {
            node: word.node,
            by: word.source,
            verdict: format!("{:?}", word.verdict),
            setups: word.setups,
            age_ms: word.age_ms,
        };
        self.view.words = self.member.words(now).map(seen).collect();
        let text = serde_json::to_string(&self.view).unwrap_or_default();
        // The file is replaced by a rename, so that no reader sees part of it.
        let beside = path.with_extension("new");
        let written = std::fs::write(&beside, text).and_then(|()| std::fs::rename(&beside, path));
        if let Err(error) = written {
            debug!(path = %path.display(), %error, "the view of what is shared can't be written");
        }
    }
}
