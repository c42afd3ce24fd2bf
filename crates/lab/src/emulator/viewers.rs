//! Emulated viewers: they send requests, wait, give up, retry, watch and leave.

use ashglade::ids::{Rung, SessionId, TitleId};
use ashglade_engine::{BusyReason, Input, SessionResponse, ViewerRequest};

use super::director::DirectorSession;
use super::world::{Event, World};
use crate::arrivals::Arrival;

/// What a viewer is currently doing.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// Waiting to send its next request.
    Idle,
    /// Waiting for the response to a request sent at `requested_at` (seconds).
    Requesting { director: u16, process: u32, session_id: SessionId, requested_at: f64 },
    /// Watching.
    Playing { director: u16, process: u32, session_id: SessionId },
    /// Left for good.
    Left,
}

/// One viewer and its progress.
pub struct Viewer {
    arrival: Arrival,
    /// Number of the current attempt, from 0.
    attempt: u32,
    /// Number of times that the viewer has switched to the next director.
    directors_tried: usize,
    phase: Phase,
    /// Seconds of viewing left.
    remaining_s: f64,
    /// When the last busy reply with a Retry-After arrived, and that delay; both in seconds.
    retry_hint: Option<(f64, f64)>,
    /// Number of tracks of the title; each needs a SETUP.
    track_count: u8,
}

impl Viewer {
    /// Number of tracks of the viewer's title.
    pub fn track_count(&self) -> u8 {
        self.track_count
    }

    /// Whether the viewer has not left for good.
    pub fn present(&self) -> bool {
        self.phase != Phase::Left
    }
}

/// Viewers with less viewing time left than this do not retry; the same limit as in `ashglade-standin`.
const MIN_REMAINING_WATCH_SECONDS: f64 = 0.2;

impl World {
    /// Schedules the arrival of the next viewer.
    pub(super) fn schedule_next_arrival(&mut self) {
        if let Some(arrival) = self.pending_arrivals.last() {
            let at = (arrival.at_s * 1e6).round() as u64;
            self.schedule_at(at.max(self.now_us), Event::ViewerArrives);
        }
    }

    /// Adds the next viewer, which sends its first request at once.
    pub(super) fn viewer_arrives(&mut self) {
        let Some(arrival) = self.pending_arrivals.pop() else { return };
        let (group, remaining_s) = (arrival.group, arrival.watch_s);
        let track_count = self.titles[arrival.title].tracks;
        let phase = Phase::Idle;
        self.viewers.push(Viewer {
            arrival,
            attempt: 0,
            directors_tried: 0,
            phase,
            remaining_s,
            retry_hint: None,
            track_count,
        });
        self.report.groups[group].viewers += 1;
        self.sample.requests[group] += 1;
        self.viewer_requests(self.viewers.len() - 1);
        self.schedule_next_arrival();
    }

    /// Sends a viewer's request to the director whose turn it is.
    pub(super) fn viewer_requests(&mut self, viewer: usize) {
        let now = self.now_seconds();
        let viewer_state = &mut self.viewers[viewer];
        if viewer_state.phase != Phase::Idle {
            return;
        }
        let director = viewer_state.arrival.directors
            [viewer_state.directors_tried % viewer_state.arrival.directors.len()];
        let (attempt, arrival) = (viewer_state.attempt, viewer_state.arrival.clone());
        if let Some((busy_at, after)) = viewer_state.retry_hint {
            // Counts retries at the requested time, not reconnects after a loss.
            if (now - busy_at - after).abs() < 1e-3 {
                self.report.groups[arrival.group].prompt_retries += 1;
                self.sample.retries[arrival.group] += 1;
            }
        }
        let director_state = &mut self.directors[usize::from(director)];
        if director_state.engine.is_none() {
            // The connection is refused.
            let process = director_state.process;
            self.schedule_after(self.network_delay_s * 2.0, Event::ViewerDisconnected { viewer, attempt });
            self.viewers[viewer].phase =
                Phase::Requesting { director, process, session_id: SessionId(0), requested_at: now };
            return;
        }
        let timeout = self.settings.setup_timeouts[arrival.group];
        let title = &self.titles[arrival.title];
        let request = ViewerRequest {
            group: ashglade::ids::GroupId(arrival.group),
            title: TitleId(title.id),
            top_rung: Rung(arrival.top_rung),
            first_cell: title.first_cell,
            cell_count: title.cell_count,
            setup_timeout: timeout,
            tenant: 0,
            client: viewer as u64,
        };
        let session = DirectorSession {
            viewer,
            attempt,
            pending_setup: None,
            playing_on: None,
            rung: 0,
            group: arrival.group,
            may_have_run: false,
            closed: false,
            responded: false,
        };
        let session_id = director_state.add_session(session);
        let process = director_state.process;
        self.viewers[viewer].phase = Phase::Requesting { director, process, session_id, requested_at: now };
        self.schedule_after(
            self.network_delay_s,
            Event::DirectorInput {
                director,
                process,
                input: Input::SessionRequested { session: session_id, request },
            },
        );
        let timeout = timeout.as_ms() / 1e3;
        let patience = arrival.leaves_after_s.unwrap_or(timeout).min(timeout);
        self.schedule_after(patience, Event::ViewerGivesUp { viewer, attempt });
    }

    /// Ends the current attempt, which began at `began_at`, and schedules the next one after `after` seconds
    /// unless the viewer has no retries or too little viewing time left.
    fn schedule_retry(&mut self, viewer: usize, after: f64, began_at: f64) {
        let now = self.now_seconds();
        let viewer_state = &mut self.viewers[viewer];
        viewer_state.remaining_s -= now - began_at;
        viewer_state.attempt += 1;
        if viewer_state.attempt > viewer_state.arrival.max_retries
            || viewer_state.remaining_s < MIN_REMAINING_WATCH_SECONDS
        {
            viewer_state.phase = Phase::Left;
            return;
        }
        viewer_state.phase = Phase::Idle;
        self.schedule_after(after, Event::ViewerRequests { viewer });
    }

    /// Handles the response to a viewer's request.
    pub(super) fn viewer_answered(&mut self, viewer: usize, attempt: u32, response: SessionResponse) {
        let now = self.now_seconds();
        let viewer_state = &mut self.viewers[viewer];
        let Phase::Requesting { director, process, session_id, requested_at } = viewer_state.phase else {
            return;
        };
        if viewer_state.attempt != attempt {
            return;
        }
        let (group, elapsed_s) = (viewer_state.arrival.group, now - requested_at);
        let group_report = &mut self.report.groups[group];
        match response {
            SessionResponse::Plays { .. } => {
                viewer_state.phase = Phase::Playing { director, process, session_id };
                let in_time =
                    elapsed_s <= self.settings.director_config.groups[group].start_target.as_ms() / 1e3;
                group_report.played += 1;
                if attempt == 0 && in_time {
                    group_report.in_time += 1;
                    self.sample.in_time[group] += 1;
                    self.report.in_time_by_director[usize::from(director)] += 1;
                }
                if let Some((busy_at, after)) = viewer_state.retry_hint.take() {
                    group_report.retries_started += 1;
                    group_report.retries_started_in_time += u64::from(now - busy_at <= after * 1.2);
                }
                let remaining_s = viewer_state.remaining_s;
                self.schedule_after(
                    (remaining_s - elapsed_s).max(0.0),
                    Event::ViewingEnds { viewer, attempt },
                );
            }
            SessionResponse::Busy { retry_after, why: reason } => {
                group_report.busy_replies += 1;
                let reason = match reason {
                    BusyReason::Door(reason) => format!("{reason:?}"),
                    reason => format!("{reason:?}"),
                };
                *group_report.busy_reasons.entry(reason).or_default() += 1;
                self.sample.busy_replies[group] += 1;
                // Rounded up to whole seconds, as Retry-After carries it (RFC 2326).
                let retry_after_s = retry_after.map(|after| (after.as_ms() / 1e3).ceil());
                viewer_state.retry_hint = retry_after_s.map(|after| (now, after));
                let after = retry_after_s.unwrap_or(viewer_state.arrival.retry_delay_s);
                self.schedule_retry(viewer, after, requested_at);
            }
            SessionResponse::TornDown => {
                group_report.torn_down += 1;
                viewer_state.retry_hint = None;
                viewer_state.directors_tried += 1;
                let retry_delay_s = viewer_state.arrival.retry_delay_s;
                self.schedule_retry(viewer, retry_delay_s, requested_at);
            }
        }
    }

    /// The director closed the connection, or the session's node was lost.
    pub(super) fn viewer_disconnected(&mut self, viewer: usize, attempt: u32) {
        let now = self.now_seconds();
        let viewer_state = &mut self.viewers[viewer];
        if viewer_state.attempt != attempt {
            return;
        }
        let began_at = match viewer_state.phase {
            Phase::Requesting { requested_at, .. } => requested_at,
            Phase::Playing { .. } => {
                self.report.groups[viewer_state.arrival.group].lost_sessions += 1;
                now
            }
            Phase::Idle | Phase::Left => return,
        };
        viewer_state.retry_hint = None;
        viewer_state.directors_tried += 1;
        let retry_delay_s = viewer_state.arrival.retry_delay_s;
        self.schedule_retry(viewer, retry_delay_s, began_at);
    }

    /// Ends the wait for a response, at the setup timeout or when an impatient viewer leaves.
    pub(super) fn viewer_gives_up(&mut self, viewer: usize, attempt: u32) {
        let viewer_state = &mut self.viewers[viewer];
        let Phase::Requesting { director, process, session_id, requested_at } = viewer_state.phase else {
            return;
        };
        if viewer_state.attempt != attempt {
            return;
        }
        let waits_until_timeout = viewer_state.arrival.leaves_after_s.is_none();
        self.schedule_after(
            self.network_delay_s,
            Event::DirectorInput { director, process, input: Input::ViewerLeft { session: session_id } },
        );
        if !waits_until_timeout {
            self.viewers[viewer].phase = Phase::Left;
            return;
        }
        let group = self.viewers[viewer].arrival.group;
        self.report.groups[group].unanswered += 1;
        let director_state = &self.directors[usize::from(director)];
        // A paused director cannot answer.
        if director_state.process == process
            && director_state.engine.is_some()
            && director_state.busy_until_us <= self.now_us
        {
            self.record_violation(format!("rule 1: viewer {viewer} was not answered"));
        }
        let viewer_state = &mut self.viewers[viewer];
        viewer_state.retry_hint = None;
        viewer_state.directors_tried += 1;
        let retry_delay_s = viewer_state.arrival.retry_delay_s;
        self.schedule_retry(viewer, retry_delay_s, requested_at);
    }

    /// Ends a session that the viewer has watched to the end.
    pub(super) fn viewing_ends(&mut self, viewer: usize, attempt: u32) {
        let viewer_state = &mut self.viewers[viewer];
        let Phase::Playing { director, process, session_id } = viewer_state.phase else { return };
        if viewer_state.attempt == attempt {
            viewer_state.phase = Phase::Left;
            self.schedule_after(
                self.network_delay_s,
                Event::DirectorInput { director, process, input: Input::ViewerLeft { session: session_id } },
            );
        }
    }
}
