//! The module's writer: turns its decisions into effects, and notes what they mean for sessions in hand.

use ashglade::ids::{NodeId, Rung, SessionId, SetupNumber, TimerId};
use ashglade::interface::DecisionSink;
use ashglade::time::{Instant, Span};
use ashglade_catalogue::Missing;

use crate::answers::Hands;
use crate::messages::{BusyReason, Effect, SessionResponse};
use crate::setups::{Out, Withdrawn};
use crate::timers::{Timer, Timers};

pub(crate) struct Desk<'a> {
    pub now: Instant,
    pub hands: &'a mut Hands,
    pub timers: &'a mut Timers,
    pub effects: &'a mut Vec<Effect>,
    /// Probes out, by number, and the time each may take.
    pub probes: &'a mut std::collections::BTreeMap<u64, NodeId>,
    pub next_probe: &'a mut u64,
    pub probe_timeout: Span,
    pub missing: &'a Missing,
}

impl Desk<'_> {
    fn answer(&mut self, sess: SessionId, answer: SessionResponse) {
        if self.hands.answer(sess, &answer) {
            self.effects.push(Effect::Respond { session: sess, response: answer });
        }
    }
}

impl DecisionSink for Desk<'_> {
    fn send_setup(&mut self, sess: SessionId, node: NodeId, until: Instant) {
        let Some(hand) = self.hands.get_mut(sess) else { return };
        if hand.out.is_some() {
            // Never two out for a session, whoever asks.
            self.hands.tally.doubled += 1;
            return;
        }
        let setup = SetupNumber(hand.setups);
        hand.setups += 1;
        hand.out = Some(Out::new(setup, node, hand.rung, until));
        let (rung, title) = (hand.rung, hand.title);
        if self.missing.lacks(node, title, self.now) {
            // As good as told by the node itself, without asking it again.
            self.hands.tally.spared += 1;
            self.timers.at(self.now, Timer::Spared(sess, setup));
            return;
        }
        self.hands.tally.setups += 1;
        self.timers.at(until, Timer::Setup(sess, setup));
        self.effects.push(Effect::SendSetup { session: sess, setup, node, rung, deadline: until });
    }

    fn set_rung(&mut self, sess: SessionId, rung: Rung) {
        let Some(hand) = self.hands.get_mut(sess) else { return };
        let changed = std::mem::replace(&mut hand.rung, rung) != rung;
        if changed && hand.plays_at.is_some() {
            self.hands.tally.rungs += 1;
            self.effects.push(Effect::ChangeRung { session: sess, rung });
        }
    }

    fn reply_busy(&mut self, sess: SessionId, retry_after: Option<Span>) {
        self.answer(sess, SessionResponse::Busy { retry_after, why: BusyReason::NoRoom });
    }

    fn tear_down(&mut self, sess: SessionId) {
        self.answer(sess, SessionResponse::TornDown);
    }

    fn cancel_setup(&mut self, sess: SessionId, setup: SetupNumber) {
        let out = self.hands.get_mut(sess).and_then(|hand| hand.out.as_mut());
        if out.filter(|out| out.setup == setup).is_some_and(|out| out.withdraw(Withdrawn::ViewerLeft)) {
            self.effects.push(Effect::CancelSetup { session: sess, setup, if_unsent: false });
        }
    }

    fn probe_node(&mut self, node: NodeId) {
        let probe = *self.next_probe;
        *self.next_probe += 1;
        self.probes.insert(probe, node);
        self.hands.tally.probes += 1;
        self.timers.at(self.now + self.probe_timeout, Timer::Probe(probe));
        self.effects.push(Effect::SendProbe { probe, node });
    }

    fn set_timer(&mut self, ticket: TimerId, after: Span) {
        self.timers.at(self.now + after, Timer::Wake(ticket));
    }

    fn reconnect_viewer(&mut self, sess: SessionId) {
        // It is over once the shell tells so.
        if self.hands.get(sess).is_some_and(|hand| hand.plays_at.is_some()) {
            self.effects.push(Effect::ReconnectViewer { session: sess });
        }
    }

    /// The list comes by itself.
    fn watch_node_list(&mut self, _on: bool) {}
}
