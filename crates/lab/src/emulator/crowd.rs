//! Viewers in simulated time: they ask, wait, give up, come back when told, watch and leave.

use ashglade::ids::{Rung, SessionId, TitleId};
use ashglade_engine::{BusyReason, Input, SessionResponse, ViewerRequest};

use super::shells::Seat;
use super::world::{Event, World};
use crate::visits::Visit;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    Away,
    Asks { director: u16, life: u32, sess: SessionId, at: f64 },
    Plays { director: u16, life: u32, sess: SessionId },
    Gone,
}

pub struct Viewer {
    visit: Visit,
    again: u32,
    turned_to: usize,
    phase: Phase,
    /// What is left to watch, and when it came.
    left: f64,
    /// When it was last told to come back, and after how long.
    told: Option<(f64, f64)>,
    tracks: u8,
}

impl Viewer {
    pub fn tracks(&self) -> u8 {
        self.tracks
    }

    pub fn present(&self) -> bool {
        self.phase != Phase::Gone
    }
}

/// Whoever has less left to watch does not come again. In seconds, as viewers on sockets have it.
const TOO_SHORT: f64 = 0.2;

impl World {
    /// The next viewer is planned.
    pub(super) fn next_comes(&mut self) {
        if let Some(visit) = self.to_come.last() {
            let at = (visit.at * 1e6).round() as u64;
            self.plan_at(at.max(self.now), Event::Comes);
        }
    }

    pub(super) fn comes(&mut self) {
        let Some(visit) = self.to_come.pop() else { return };
        let (group, left) = (visit.group, visit.watch);
        let tracks = self.titles[visit.title].tracks;
        let phase = Phase::Away;
        self.viewers.push(Viewer { visit, again: 0, turned_to: 0, phase, left, told: None, tracks });
        self.report.groups[group].viewers += 1;
        self.sample.asked[group] += 1;
        self.asks(self.viewers.len() - 1);
        self.next_comes();
    }

    pub(super) fn asks(&mut self, viewer: usize) {
        let now = self.secs();
        let v = &mut self.viewers[viewer];
        if v.phase != Phase::Away {
            return;
        }
        let director = v.visit.directors[v.turned_to % v.visit.directors.len()];
        let (again, visit) = (v.again, v.visit.clone());
        if let Some((at, after)) = v.told {
            // Those who come at the time told, not those who broke off and come again.
            if (now - at - after).abs() < 1e-3 {
                self.report.groups[visit.group].came_back += 1;
                self.sample.returned[visit.group] += 1;
            }
        }
        let shell = &mut self.shells[usize::from(director)];
        if shell.engine.is_none() {
            // No connection.
            let life = shell.life;
            self.plan(self.net * 2.0, Event::Breaks { viewer, again });
            self.viewers[viewer].phase = Phase::Asks { director, life, sess: SessionId(0), at: now };
            return;
        }
        let timeout = self.settings.setup_timeouts[visit.group];
        let title = &self.titles[visit.title];
        let want = ViewerRequest {
            group: ashglade::ids::GroupId(visit.group),
            title: TitleId(title.id),
            top_rung: Rung(visit.top),
            first_cell: title.home,
            cell_count: title.copies,
            setup_timeout: timeout,
            tenant: 0,
            client: viewer as u64,
        };
        let seat = Seat {
            viewer,
            again,
            out: None,
            plays_at: None,
            rung: 0,
            group: visit.group,
            may_have_run: false,
            over: false,
            answered: false,
        };
        let sess = shell.seat(seat);
        let life = shell.life;
        self.viewers[viewer].phase = Phase::Asks { director, life, sess, at: now };
        self.plan(
            self.net,
            Event::Reaches {
                director,
                life,
                input: Input::SessionRequested { session: sess, request: want },
            },
        );
        let timeout = timeout.as_ms() / 1e3;
        let patience = visit.leaves_after.unwrap_or(timeout).min(timeout);
        self.plan(patience, Event::GivesUp { viewer, again });
    }

    /// The try is over: it comes again after so long, if it does.
    fn later(&mut self, viewer: usize, after: f64, began: f64) {
        let now = self.secs();
        let v = &mut self.viewers[viewer];
        v.left -= now - began;
        v.again += 1;
        if v.again > v.visit.returns || v.left < TOO_SHORT {
            v.phase = Phase::Gone;
            return;
        }
        v.phase = Phase::Away;
        self.plan(after, Event::Asks { viewer });
    }

    pub(super) fn answered(&mut self, viewer: usize, again: u32, answer: SessionResponse) {
        let now = self.secs();
        let v = &mut self.viewers[viewer];
        let Phase::Asks { director, life, sess, at } = v.phase else { return };
        if v.again != again {
            return;
        }
        let (group, took) = (v.visit.group, now - at);
        let counts = &mut self.report.groups[group];
        match answer {
            SessionResponse::Plays { .. } => {
                v.phase = Phase::Plays { director, life, sess };
                let in_time = took <= self.settings.headend.groups[group].start_target.as_ms() / 1e3;
                counts.played += 1;
                if again == 0 && in_time {
                    counts.in_time += 1;
                    self.sample.in_time[group] += 1;
                    self.report.by_director[usize::from(director)] += 1;
                }
                if let Some((told_at, after)) = v.told.take() {
                    counts.back_in += 1;
                    counts.back_true += u64::from(now - told_at <= after * 1.2);
                }
                let left = v.left;
                self.plan((left - took).max(0.0), Event::Ends { viewer, again });
            }
            SessionResponse::Busy { retry_after, why } => {
                counts.busy_replied += 1;
                let why = match why {
                    BusyReason::Door(why) => format!("{why:?}"),
                    why => format!("{why:?}"),
                };
                *counts.why.entry(why).or_default() += 1;
                self.sample.busy[group] += 1;
                // As it is written in the answer: whole seconds, as RFC 2326 has Retry-After.
                let told = retry_after.map(|after| (after.as_ms() / 1e3).ceil());
                v.told = told.map(|after| (now, after));
                let after = told.unwrap_or(v.visit.rejoin);
                self.later(viewer, after, at);
            }
            SessionResponse::TornDown => {
                counts.torn_down += 1;
                v.told = None;
                v.turned_to += 1;
                let rejoin = v.visit.rejoin;
                self.later(viewer, rejoin, at);
            }
        }
    }

    /// The director closed the connection, or the session's node is gone.
    pub(super) fn breaks(&mut self, viewer: usize, again: u32) {
        let now = self.secs();
        let v = &mut self.viewers[viewer];
        if v.again != again {
            return;
        }
        let began = match v.phase {
            Phase::Asks { at, .. } => at,
            Phase::Plays { .. } => {
                self.report.groups[v.visit.group].broken += 1;
                now
            }
            Phase::Away | Phase::Gone => return,
        };
        v.told = None;
        v.turned_to += 1;
        let rejoin = v.visit.rejoin;
        self.later(viewer, rejoin, began);
    }

    pub(super) fn gives_up(&mut self, viewer: usize, again: u32) {
        let v = &mut self.viewers[viewer];
        let Phase::Asks { director, life, sess, at } = v.phase else { return };
        if v.again != again {
            return;
        }
        let patient = v.visit.leaves_after.is_none();
        self.plan(self.net, Event::Reaches { director, life, input: Input::ViewerLeft { session: sess } });
        if !patient {
            self.viewers[viewer].phase = Phase::Gone;
            return;
        }
        let group = self.viewers[viewer].visit.group;
        self.report.groups[group].unanswered += 1;
        let shell = &self.shells[usize::from(director)];
        // One that stands still can't answer.
        if shell.life == life && shell.engine.is_some() && shell.free_at <= self.now {
            self.breach(format!("rule 1: viewer {viewer} was not answered"));
        }
        let v = &mut self.viewers[viewer];
        v.told = None;
        v.turned_to += 1;
        let rejoin = v.visit.rejoin;
        self.later(viewer, rejoin, at);
    }

    pub(super) fn ends(&mut self, viewer: usize, again: u32) {
        let v = &mut self.viewers[viewer];
        let Phase::Plays { director, life, sess } = v.phase else { return };
        if v.again == again {
            v.phase = Phase::Gone;
            self.plan(
                self.net,
                Event::Reaches { director, life, input: Input::ViewerLeft { session: sess } },
            );
        }
    }
}
