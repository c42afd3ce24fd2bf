//! Judges the record of a trial by the platform's protocol. Relies on the record alone.

use std::collections::BTreeMap;
use std::fmt;

use crate::plan::RetrySafety;
use crate::record::{Answer, AttemptEnd, Departure, Process, ProcessEnd, Record, Request};
use crate::viewer::CROSSING_SECONDS;

/// Allowance of the protocol on every time limit, in seconds.
const SLACK_SECONDS: f64 = 0.05;
/// A request without an answer this long after its time is lost.
const LOST_AFTER_SECONDS: f64 = 0.5;
/// A request that arrives later than this after SIGTERM must be answered when SIGKILL comes.
const KILL_EXEMPT_SECONDS: f64 = 0.7;
/// Time for which a draining or removed node may still be sent a SETUP.
const DRAIN_GRACE_SECONDS: f64 = 0.5;
/// Time after which nothing that is over may be left standing.
const RELEASE_SECONDS: f64 = 8.0;
/// Time after the report that a node is gone within which its sessions' viewers are told.
const RELEASE_AFTER_REPORT_SECONDS: f64 = 1.0;
/// Time before the end of a process in which it need not reach a node that could not be reached before: its last
/// connections to viewers are closed a quarter of a second before, and it tries each quarter of a second.
const LAST_DELIVERY_SECONDS: f64 = 0.7;
/// Time from the start of a process until it passes a health check.
const READY_SECONDS: f64 = 10.0;
/// Time within which a client that sends what can't be used has an answer or a close.
const USELESS_SECONDS: f64 = 3.0;
/// Time within which nodes recognize a repeated SETUP.
pub const DEDUP_WINDOW_SECONDS: f64 = 5.0;
/// Limits of a process.
pub const MEMORY_LIMIT_MB: f64 = 96.0;
pub const DESCRIPTOR_LIMIT: usize = 384;
/// Causes of a node's release that prove that a SETUP never ran.
const NEVER_RAN: [u16; 2] = [34, 102];
/// Signal number of SIGTERM.
const SIGTERM: i32 = 15;

/// A rule that a director can break.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A request that was taken has no whole answer.
    Lost,
    /// An answer came after the viewer's timeout.
    Late,
    AnsweredTwice,
    /// An answer tells of a session that no node started, or can't be parsed.
    FalseAnswer,
    /// Two SETUPs were out at once, or another was sent after one that may have run, where that is unsafe.
    SentTwice,
    SentAfterDrain,
    SentAfterDeparture,
    /// A session stands at a node 8 s after it was over for its viewer.
    LeftAtNode,
    /// A viewer was not told within 8 s that its session is over.
    LeftAtViewer,
    /// A viewer's connection was open when the process was killed.
    OpenAtKill,
    Crash,
    OverLimit,
    NotReady,
    /// A client that sends what can't be used had no answer and no close.
    UselessUnanswered,
}

/// The result of a trial.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// What broke each rule.
    pub broken: BTreeMap<Rule, Vec<String>>,
    pub sent: usize,
    pub started: usize,
    pub refused: usize,
    /// Requests that crossed a close of the director, and those of them whose second sending was refused.
    pub crossed: usize,
    pub crossed_unserved: usize,
    /// Processes that were sent SIGTERM, and those of them that had to be killed.
    pub stopped: usize,
    pub killed: usize,
    /// How often each kind of fault took place.
    pub faults: BTreeMap<&'static str, u64>,
}

impl Verdict {
    pub fn passed(&self) -> bool {
        self.broken.is_empty()
    }

    fn add(&mut self, rule: Rule, what: String) {
        self.broken.entry(rule).or_default().push(what);
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} sent, {} started, {} refused or failed, {} crossed a close ({} not served), {} stops, {} killed: ",
            self.sent,
            self.started,
            self.refused,
            self.crossed,
            self.crossed_unserved,
            self.stopped,
            self.killed
        )?;
        if self.passed() {
            return f.write_str("kept");
        }
        let counts: Vec<String> =
            self.broken.iter().map(|(rule, cases)| format!("{rule:?} {}", cases.len())).collect();
        write!(f, "BROKEN {}", counts.join(", "))
    }
}

/// Judges a record.
pub fn judge(record: &Record) -> Verdict {
    let mut verdict = Verdict { faults: record.faults.clone(), ..Verdict::default() };
    for (tag, request) in &record.requests {
        judge_request(record, tag, request, &mut verdict);
        judge_sessions(record, tag, request, &mut verdict);
    }
    judge_attempts(record, &mut verdict);
    judge_processes(record, &mut verdict);
    for client in &record.useless_connections {
        let taken = client.answered_at.map_or(f64::INFINITY, |at| at - client.opened_at);
        if taken > USELESS_SECONDS + SLACK_SECONDS {
            let what = format!("director {}, opened {:.3}", client.director, client.opened_at);
            verdict.add(Rule::UselessUnanswered, what);
        }
    }
    verdict
}

/// What became of a request without an answer.
enum Unanswered {
    /// It was lost, for this reason.
    Lost(String),
    /// It crossed a close of the director; whether it could be sent again.
    Crossed { resend_refused: bool },
    /// No answer is owed.
    NotOwed,
}

/// Returns the process that served a connection.
fn process_of(record: &Record, director: usize, opened_at: f64) -> Option<&Process> {
    let earlier = record.processes.iter().filter(|p| p.director == director && p.started_at <= opened_at);
    earlier.max_by(|a, b| a.started_at.total_cmp(&b.started_at))
}

fn judge_request(record: &Record, tag: &str, request: &Request, verdict: &mut Verdict) {
    // A request that is sent again is waited for anew.
    let Some(sending) = request.sendings.last() else { return };
    verdict.sent += 1;
    for (at, answer) in &request.answers {
        if matches!(answer, Answer::Malformed | Answer::Started { genuine: false }) {
            verdict.add(Rule::FalseAnswer, format!("{tag} at {at:.3}: {answer:?}"));
        }
    }
    let Some((answered_at, answer)) = request.answers.first() else {
        match unanswered(record, request) {
            Unanswered::Lost(reason) => verdict.add(Rule::Lost, format!("{tag} {reason}")),
            Unanswered::Crossed { resend_refused } => {
                verdict.crossed += 1;
                verdict.crossed_unserved += usize::from(resend_refused);
            }
            Unanswered::NotOwed => {}
        }
        return;
    };
    verdict.crossed += request.sendings.len() - 1;
    let started = matches!(answer, Answer::Started { .. });
    verdict.started += usize::from(started);
    verdict.refused += usize::from(!started);
    let waited = answered_at - sending.written_at;
    if waited > request.timeout + SLACK_SECONDS {
        let rule = if waited > request.timeout + LOST_AFTER_SECONDS { Rule::Lost } else { Rule::Late };
        verdict.add(
            rule,
            format!(
                "{tag} sent {:.3}, answered after {waited:.3} of {:.3}",
                sending.written_at, request.timeout
            ),
        );
    }
    let later = request.answers.iter().skip(1);
    let again = later.filter(|(_, later)| !started || matches!(later, Answer::Started { .. })).count();
    if again > 0 {
        verdict.add(Rule::AnsweredTwice, format!("{tag}: {:?}", request.answers));
    }
}

fn unanswered(record: &Record, request: &Request) -> Unanswered {
    let Some(sending) = request.sendings.last() else { return Unanswered::NotOwed };
    let (written_at, connection) = (sending.written_at, record.connections.get(&sending.connection));
    let Some(connection) = connection else { return Unanswered::NotOwed };
    let waited_until = written_at + request.timeout + LOST_AFTER_SECONDS;
    let text = |how: &str| {
        format!(
            "director {} connection {} opened {:.3}, sent {written_at:.3}, would wait {:.3}: {how}",
            request.director, sending.connection, connection.opened_at, request.timeout
        )
    };
    match (request.departed, connection.ended_at) {
        (Some((at, _)), _) if at < waited_until => Unanswered::NotOwed,
        (_, Some(at)) => {
            let process = process_of(record, request.director, connection.opened_at);
            let killed_at = process.and_then(|p| p.killed_at).filter(|killed| at >= killed - SLACK_SECONDS);
            if killed_at.is_some() {
                let terminated_at = process.and_then(|p| p.terminated_at);
                return match terminated_at {
                    Some(term) if written_at - term > KILL_EXEMPT_SECONDS => Unanswered::Lost(text(
                        &format!("connection ended at {at:.3} by the kill, {:.3} after SIGTERM", at - term),
                    )),
                    _ => Unanswered::NotOwed,
                };
            }
            if at - written_at > CROSSING_SECONDS {
                return Unanswered::Lost(text(&format!("connection ended at {at:.3}")));
            }
            if request.sendings.len() > 1 {
                return Unanswered::Lost(text(&format!("second connection ended at {at:.3} too")));
            }
            Unanswered::Crossed { resend_refused: request.resend_refused }
        }
        (None, None) if record.ended_at < waited_until => Unanswered::NotOwed,
        _ => Unanswered::Lost(text("no answer")),
    }
}

/// Returns since when the request or its session is over for its viewer.
fn over_for_viewer(record: &Record, request: &Request) -> Option<f64> {
    let finished = request.answers.iter().find(|(_, answer)| matches!(answer, Answer::Finished { .. }));
    if let Some(&(at, _)) = finished {
        return Some(at);
    }
    if let Some((at, _)) = request.departed {
        return Some(at);
    }
    let crosses = |written_at: f64, ended_at: Option<f64>| {
        ended_at.is_some_and(|at| at - written_at <= CROSSING_SECONDS)
    };
    if let Some(written_at) = request.ended_by_viewer {
        let mut connections = record.connections.values().filter(|c| c.director == request.director);
        let unread = connections.any(|c| {
            c.opened_at <= written_at && crosses(written_at, c.ended_at.filter(|at| *at >= written_at))
        });
        return (!unread).then_some(written_at);
    }
    let sending = request.sendings.last().filter(|_| request.answers.is_empty())?;
    let connection = record.connections.get(&sending.connection)?;
    let process = process_of(record, request.director, connection.opened_at)?;
    // What a killed process held is no one's.
    connection.ended_at.filter(|at| process.killed_at.is_none_or(|killed| *at < killed - SLACK_SECONDS))
}

fn judge_sessions(record: &Record, tag: &str, request: &Request, verdict: &mut Verdict) {
    let over_at = over_for_viewer(record, request);
    let started = matches!(request.answers.first(), Some((_, Answer::Started { .. })));
    let released_at = request
        .answers
        .iter()
        .find(|(_, answer)| matches!(answer, Answer::Finished { .. }))
        .map(|&(at, _)| at);
    for session in record.node_sessions.get(tag).into_iter().flatten() {
        let ended_at = session.ended.map_or(record.ended_at, |(at, _)| at);
        let over_since = over_at.map(|at| at.max(session.started_at));
        let left = over_since.is_some_and(|at| {
            ended_at - at > RELEASE_SECONDS + SLACK_SECONDS
                && !could_not_release(record, request.director, &session.node, at)
        });
        if left {
            let what = format!(
                "{tag} at {}, over at {:.3}, ended {:?}",
                session.node,
                over_at.unwrap_or_default(),
                session.ended
            );
            verdict.add(Rule::LeftAtNode, what);
        }
        let Some((node_ended_at, false)) = session.ended else { continue };
        if !started || request.departed.is_some() || request.ended_by_viewer.is_some() {
            continue;
        }
        // Where another node has taken the address, only discovery tells that the session is over.
        let told_at = told_of(record, request.director, &session.node).fold(node_ended_at, f64::max);
        let due = (node_ended_at + RELEASE_SECONDS).max(told_at + RELEASE_AFTER_REPORT_SECONDS);
        // A node that can't be reached says nothing of an end that a director missed while it was down.
        let cut_off = record.cut_offs.iter().filter(|c| {
            c.node == session.node && c.from <= due && c.until + RELEASE_AFTER_REPORT_SECONDS > due
        });
        let due = cut_off.fold(due, |due, c| due.max(c.until + RELEASE_AFTER_REPORT_SECONDS));
        if released_at.unwrap_or(record.ended_at) > due + SLACK_SECONDS {
            let what = format!(
                "{tag} of director {}, ended at {} at {node_ended_at:.3}, told at {told_at:.3}, released {released_at:?}",
                request.director, session.node
            );
            verdict.add(Rule::LeftAtViewer, what);
        }
    }
}

/// Returns whether the process that was to release a session ended while its node could not be reached. The
/// next process knows nothing of a session that is over for its viewer.
fn could_not_release(record: &Record, director: usize, node: &str, over_at: f64) -> bool {
    let Some(ended_at) =
        process_of(record, director, over_at).and_then(|process| process.ended).map(|(at, _)| at)
    else {
        return false;
    };
    let covers = |c: &crate::record::CutOff| {
        c.node == node && c.from <= over_at && c.until + LAST_DELIVERY_SECONDS >= ended_at
    };
    let cut_off = record.cut_offs.iter().any(covers);
    cut_off && ended_at - over_at < RELEASE_SECONDS
}

/// Returns when a director counts as told that a node drains, and that it is removed.
fn told_of<'a>(record: &'a Record, director: usize, node: &'a str) -> impl Iterator<Item = f64> + 'a {
    record.withdrawals.iter().filter(move |w| w.director == director && w.node == node).map(|w| w.told_at)
}

fn judge_attempts(record: &Record, verdict: &mut Verdict) {
    let mut by_tag: BTreeMap<&str, Vec<&crate::record::Attempt>> = BTreeMap::new();
    for attempt in &record.attempts {
        by_tag.entry(&attempt.tag).or_default().push(attempt);
        let told_at = told_of(record, attempt.director, &attempt.node).fold(f64::INFINITY, f64::min);
        if attempt.arrived_at > told_at + DRAIN_GRACE_SECONDS + SLACK_SECONDS {
            let what = format!(
                "{} from director {} to {} at {:.3}, told at {told_at:.3}",
                attempt.tag, attempt.director, attempt.node, attempt.arrived_at
            );
            verdict.add(Rule::SentAfterDrain, what);
        }
    }
    for (tag, attempts) in by_tag {
        let Some(request) = record.requests.get(tag) else { continue };
        if let Some((departed_at, how)) = request.departed {
            for attempt in attempts.iter().filter(|a| a.arrived_at > departed_at + SLACK_SECONDS) {
                let how = if how == Departure::Closed { "closed" } else { "gave up" };
                let what = format!("{tag} {how} at {departed_at:.3}, sent at {:.3}", attempt.arrived_at);
                verdict.add(Rule::SentAfterDeparture, what);
            }
        }
        for pair in attempts.windows(2) {
            let (earlier, later) = (pair[0], pair[1]);
            let out_at_once = earlier.end.is_none_or(|(at, _)| at > later.arrived_at + SLACK_SECONDS);
            let may_have_run =
                !matches!(earlier.end, Some((_, AttemptEnd::Refused(cause))) if NEVER_RAN.contains(&cause));
            let unsafe_again = may_have_run
                && match request.retry_safety {
                    RetrySafety::Retryable => false,
                    RetrySafety::Dedup => {
                        later.arrived_at - attempts[0].arrived_at > DEDUP_WINDOW_SECONDS + SLACK_SECONDS
                    }
                    RetrySafety::Fragile => true,
                };
            if out_at_once || unsafe_again {
                verdict.add(
                    Rule::SentTwice,
                    format!("{tag} {:?}: {earlier:?}, {later:?}", request.retry_safety),
                );
            }
        }
    }
}

fn judge_processes(record: &Record, verdict: &mut Verdict) {
    for process in &record.processes {
        let who = format!("director {} started {:.3}", process.director, process.started_at);
        verdict.stopped += usize::from(process.terminated_at.is_some());
        verdict.killed += usize::from(process.killed_at.is_some());
        let early_stop = process.ready_at.is_none();
        let expected = match process.ended {
            None => true,
            Some((_, ProcessEnd::Exited(0))) => process.terminated_at.is_some(),
            Some((_, ProcessEnd::Signalled(SIGTERM))) => process.terminated_at.is_some() && early_stop,
            Some((_, ProcessEnd::Signalled(_))) => process.killed_at.is_some(),
            Some((_, ProcessEnd::Exited(_))) => false,
        };
        if !expected || process.panicked {
            verdict.add(Rule::Crash, format!("{who}: {:?}, panicked {}", process.ended, process.panicked));
        }
        if process.max_memory_mb > MEMORY_LIMIT_MB || process.max_descriptors > DESCRIPTOR_LIMIT {
            let what =
                format!("{who}: {:.1} MB, {} descriptors", process.max_memory_mb, process.max_descriptors);
            verdict.add(Rule::OverLimit, what);
        }
        let until = process.terminated_at.unwrap_or(record.ended_at);
        let ready_after = process.ready_at.unwrap_or(until) - process.started_at;
        if ready_after > READY_SECONDS {
            verdict.add(Rule::NotReady, format!("{who}: {ready_after:.3} s"));
        }
        let Some(killed_at) = process.killed_at else { continue };
        let open = record.connections.values().filter(|c| {
            c.director == process.director
                && c.opened_at >= process.started_at
                && c.opened_at <= killed_at
                && c.ended_at.is_none_or(|at| at >= killed_at)
        });
        let open = open.count();
        if open > 0 {
            verdict.add(Rule::OpenAtKill, format!("{who}, killed {killed_at:.3}: {open} connections"));
        }
    }
}
