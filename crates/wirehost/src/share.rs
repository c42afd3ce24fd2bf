//! What directors tell each other on the simulator's wire: the same state as in service, in messages of 256 bytes at most.
//! Rights aren't lent here: asking for them would cost more than a site's price for messages leaves.

use std::collections::{BTreeSet, VecDeque};

use ashglade::ids::{NodeId, SessionId};
use ashglade::interface::{AttemptOutcome, DirectorConfig};
use ashglade::time::{Instant, Span};
use ashglade_shared::gossip::GossipMessage;
use ashglade_shared::{FleetConfig, MessageBody, NodeHealth, PeerMessage, SharedState, health_from_outcome};

const MOST: usize = 256;
/// For how long a word is believed, and between messages, in seconds.
const FADE: f64 = 5.0;
const GOSSIP: f64 = 0.5;

pub struct Share {
    terms: FleetConfig,
    member: SharedState,
    /// Sessions that play: their end is none of a set-up.
    started: BTreeSet<SessionId>,
    out: VecDeque<PeerMessage>,
    last: Vec<NodeId>,
    news: Option<Vec<NodeId>>,
}

impl Share {
    pub fn start(headend: &DirectorConfig, now: Instant) -> Share {
        let secs = Span::from_secs;
        let terms = FleetConfig {
            director_index: headend.director_index,
            // The settings tell nobody's zone but our own.
            zones: vec![0; headend.director_count],
            max_voters: 1,
            lease: secs(FADE),
            max_clock_drift: 0.0,
            guard_interval: Span::ZERO,
            permit_pools: Vec::new(),
            report_ttl: secs(FADE),
            gossip_interval: secs(GOSSIP),
            seed: headend.seed,
            injected_fault: None,
        };
        let member = SharedState::new(terms.clone(), now.as_ms().max(1.0) as u64, now);
        Share { terms, member, started: BTreeSet::new(), out: VecDeque::new(), last: Vec::new(), news: None }
    }

    pub fn started(&mut self, sess: SessionId, node: NodeId, now: Instant) {
        self.started.insert(sess);
        self.member.record_outcome(node.0, NodeHealth::Well, now);
    }

    pub fn ended(&mut self, sess: SessionId, node: NodeId, how: AttemptOutcome, now: Instant) {
        if !self.started.remove(&sess)
            && let Some(verdict) = health_from_outcome(Some(how))
        {
            self.member.record_outcome(node.0, verdict, now);
        }
    }

    /// What is not one of ours is passed over.
    pub fn take(&mut self, author: u16, message: &[u8], now: Instant) {
        if let Ok((message, [])) = postcard::take_from_bytes::<GossipMessage>(message) {
            let (to, terms) = (self.terms.director_index as u16, self.terms.digest());
            let word =
                PeerMessage { from: author, to, config_digest: terms, body: MessageBody::Gossip(message) };
            self.out.extend(self.member.receive(&word, now));
        }
    }

    pub fn look(&mut self, now: Instant) {
        let last: Vec<NodeId> =
            self.member.snapshot(now, Span::ZERO).suspected_nodes.into_keys().map(NodeId).collect();
        if last != self.last {
            self.last.clone_from(&last);
            self.news = Some(last);
        }
    }

    /// Nodes that are tried last, if that changed.
    pub fn news(&mut self) -> Option<Vec<NodeId>> {
        self.news.take()
    }

    pub fn say(&mut self, now: Instant, mut tell: impl FnMut(u16, &[u8])) {
        self.out.extend(self.member.tick(now));
        for word in std::mem::take(&mut self.out) {
            if let MessageBody::Gossip(message) = word.body {
                say(word.to, &message, &mut tell);
            }
        }
    }
}

/// In as many messages as it takes.
fn say(to: u16, message: &GossipMessage, tell: &mut impl FnMut(u16, &[u8])) {
    let Ok(bytes) = postcard::to_allocvec(message) else { return };
    match message {
        _ if bytes.len() <= MOST => tell(to, &bytes),
        GossipMessage::Reports(words) if words.len() > 1 => {
            let (one, other) = words.split_at(words.len() / 2);
            say(to, &GossipMessage::Reports(one.to_vec()), tell);
            say(to, &GossipMessage::Reports(other.to_vec()), tell);
        }
        _ => {}
    }
}
