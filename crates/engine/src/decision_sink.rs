//! The policy's decision sink: turns decisions into effects and updates the sessions they concern.

use ashglade::ids::{NodeId, Rung, SessionId, SetupNumber, TimerId};
use ashglade::interface::DecisionSink;
use ashglade::time::{Instant, Span};
use ashglade_catalogue::MissingTitles;

use crate::messages::{BusyReason, Effect, SessionResponse};
use crate::sessions::SessionTable;
use crate::setups::{CancelReason, PendingSetup};
use crate::timers::{Timer, TimerQueue};

/// Collects the effects of one round.
pub(crate) struct EffectSink<'a> {
    pub now: Instant,
    pub sessions: &'a mut SessionTable,
    pub timers: &'a mut TimerQueue,
    pub effects: &'a mut Vec<Effect>,
    /// Outstanding probes by number.
    pub probes: &'a mut std::collections::BTreeMap<u64, NodeId>,
    pub next_probe: &'a mut u64,
    pub probe_timeout: Span,
    pub missing_titles: &'a MissingTitles,
}

impl EffectSink<'_> {
    fn respond(&mut self, session: SessionId, response: SessionResponse) {
        if self.sessions.record_response(session, &response) {
            self.effects.push(Effect::Respond { session, response });
        }
    }
}

impl DecisionSink for EffectSink<'_> {
    fn send_setup(&mut self, session: SessionId, node: NodeId, deadline: Instant) {
        let Some(state) = self.sessions.get_mut(session) else { return };
        if state.pending_setup.is_some() {
            // Two pending SETUPs could both start the session.
            self.sessions.tally.doubled += 1;
            return;
        }
        let setup = SetupNumber(state.setup_count);
        state.setup_count += 1;
        state.pending_setup = Some(PendingSetup::new(setup, node, state.rung, deadline));
        let (rung, title) = (state.rung, state.title);
        if self.missing_titles.is_missing(node, title, self.now) {
            // Fails in the next round as if the node had answered that it doesn't hold the title.
            self.sessions.tally.spared += 1;
            self.timers.schedule(self.now, Timer::TitleMissing(session, setup));
            return;
        }
        self.sessions.tally.setups += 1;
        self.timers.schedule(deadline, Timer::SetupDeadline(session, setup));
        self.effects.push(Effect::SendSetup { session, setup, node, rung, deadline });
    }

    fn set_rung(&mut self, session: SessionId, rung: Rung) {
        let Some(state) = self.sessions.get_mut(session) else { return };
        let changed = std::mem::replace(&mut state.rung, rung) != rung;
        if changed && state.playing_node.is_some() {
            self.sessions.tally.rungs += 1;
            self.effects.push(Effect::ChangeRung { session, rung });
        }
    }

    fn reply_busy(&mut self, session: SessionId, retry_after: Option<Span>) {
        self.respond(session, SessionResponse::Busy { retry_after, why: BusyReason::NoRoom });
    }

    fn tear_down(&mut self, session: SessionId) {
        self.respond(session, SessionResponse::TornDown);
    }

    fn cancel_setup(&mut self, session: SessionId, setup: SetupNumber) {
        let pending = self.sessions.get_mut(session).and_then(|state| state.pending_setup.as_mut());
        if pending
            .filter(|pending| pending.number == setup)
            .is_some_and(|pending| pending.cancel(CancelReason::ViewerLeft))
        {
            self.effects.push(Effect::CancelSetup { session, setup, if_unsent: false });
        }
    }

    fn probe_node(&mut self, node: NodeId) {
        let probe = *self.next_probe;
        *self.next_probe += 1;
        self.probes.insert(probe, node);
        self.sessions.tally.probes += 1;
        self.timers.schedule(self.now + self.probe_timeout, Timer::ProbeTimeout(probe));
        self.effects.push(Effect::SendProbe { probe, node });
    }

    fn set_timer(&mut self, timer: TimerId, after: Span) {
        self.timers.schedule(self.now + after, Timer::Policy(timer));
    }

    fn reconnect_viewer(&mut self, session: SessionId) {
        // The session stays in the table until the I/O layer reports its end.
        if self.sessions.get(session).is_some_and(|state| state.playing_node.is_some()) {
            self.effects.push(Effect::ReconnectViewer { session });
        }
    }

    /// Does nothing: snapshots and updates of the node list arrive unasked.
    fn watch_node_list(&mut self, _on: bool) {}
}
