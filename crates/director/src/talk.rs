//! Directors that talk to each other: datagrams between the addresses that settings name, each signed. What is said, and
//! what follows from it, is `ashglade_membership`'s.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ashglade::time::Span;
use ashglade_engine::Input;
use ashglade_membership::{Member, Message, Terms};
use ashglade_settings::Talk;
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use tokio::net::UdpSocket;
use tracing::{debug, info};

use crate::serve::Shared;

/// A datagram is at most so long; one of ours names each director once.
const MOST: usize = 16 * 1024;
const SIGNATURE: usize = 16;
/// How often turns are looked at: they run out by themselves.
const LOOK: Duration = Duration::from_millis(100);
/// Turns are given up so long before they run out: what has been decided by then is with its node before the rest is over.
const EARLY: f64 = 0.25;

#[derive(Serialize, Deserialize)]
struct Datagram {
    from: usize,
    to: usize,
    message: Message,
}

fn signed(key: &Hmac<Sha256>, datagram: &Datagram) -> Option<Vec<u8>> {
    let body = serde_json::to_vec(datagram).ok()?;
    let mut mac = key.clone();
    mac.update(&body);
    let mut bytes = mac.finalize().into_bytes()[..SIGNATURE].to_vec();
    bytes.extend(body);
    Some(bytes)
}

fn opened(key: &Hmac<Sha256>, bytes: &[u8]) -> Option<Datagram> {
    let (signature, body) = bytes.split_at_checked(SIGNATURE)?;
    let mut mac = key.clone();
    mac.update(body);
    mac.verify_truncated_left(signature).ok()?;
    serde_json::from_slice(body).ok()
}

/// Talks for as long as the director runs, and tells the engine which turns are its own.
pub async fn run(shared: Arc<Shared>, socket: UdpSocket, talk: Talk) {
    let headend = &shared.settings.headend;
    let (me, directors) = (headend.me, headend.directors);
    // Between two users of one turn: the span in which nodes count, what a connection and an answer may take on top, and
    // what is given up early.
    let seconds = |d: Duration| Span::from_secs(d.as_secs_f64());
    let front = &shared.settings.front;
    let early = Span::from_secs(EARLY);
    let rest = headend.fall_span + seconds(front.connect_timeout) + seconds(LOOK) + early;
    let terms = Terms { me, directors, lease: seconds(talk.lease), drift: talk.drift, rest };
    let Ok(key) = Hmac::<Sha256>::new_from_slice(talk.secret.as_bytes()) else { return };
    let mut member = Member::start(terms, shared.random(), shared.clock.now());
    let (mut held, mut alive) = (Vec::new(), Vec::new());
    let mut bytes = vec![0; MOST];
    let mut tick = tokio::time::interval(LOOK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let out = tokio::select! {
            _ = tick.tick() => member.tick(shared.clock.now()),
            received = socket.recv_from(&mut bytes) => match received {
                Ok((size, from)) => heard(&mut member, &key, &talk.peers, &bytes[..size], from, &shared),
                // As when a peer's port is closed: it is not there.
                Err(_) => Vec::new(),
            },
        };
        for (to, message) in out {
            let datagram = signed(&key, &Datagram { from: me, to, message });
            if let (Some(datagram), Some(peer)) = (datagram, talk.peers.get(to)) {
                // One that is not sent is one that was lost.
                let _ = socket.try_send_to(&datagram, *peer);
            }
        }
        let now = shared.clock.now();
        let turns = member.turns(now + early);
        if turns != held {
            held = turns;
            shared.core.tell(Input::Turns { ours: held.clone(), of: directors * 2 }).await;
        }
        let there = member.alive(now);
        if there != alive {
            info!(directors = ?there, "directors that are heard of");
            alive = there;
        }
    }
}

fn heard(
    member: &mut Member,
    key: &Hmac<Sha256>,
    peers: &[SocketAddr],
    bytes: &[u8],
    from: SocketAddr,
    shared: &Shared,
) -> Vec<(usize, Message)> {
    let me = shared.settings.headend.me;
    match opened(key, bytes) {
        Some(datagram) if datagram.to == me && peers.get(datagram.from) == Some(&from) => {
            member.take(datagram.from, &datagram.message, shared.clock.now())
        }
        _ => {
            debug!(%from, "a datagram that is none of ours");
            Vec::new()
        }
    }
}
