//! The report of an emulated day.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Totals of one service group.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GroupReport {
    pub name: String,
    /// Viewers that arrived.
    pub viewers: u64,
    /// First requests answered with a session within the start target.
    pub in_time: u64,
    /// Sessions started, on the first or a later attempt.
    pub played: u64,
    /// Requests answered with a busy reply.
    #[serde(rename = "busy_replied")]
    pub busy_replies: u64,
    /// Busy replies by the engine's reason.
    #[serde(rename = "why")]
    pub busy_reasons: std::collections::BTreeMap<String, u64>,
    /// Requests whose session was torn down before it started.
    pub torn_down: u64,
    /// Requests not answered within their setup timeout.
    pub unanswered: u64,
    /// Retries sent at the time that a busy reply asked for.
    #[serde(rename = "came_back")]
    pub prompt_retries: u64,
    /// Sessions started on a retry that a busy reply asked for.
    #[serde(rename = "back_in")]
    pub retries_started: u64,
    /// Those of `retries_started` that started within 1.2 times the requested delay.
    #[serde(rename = "back_true")]
    pub retries_started_in_time: u64,
    /// Playing sessions that ended through the loss of their node or director.
    #[serde(rename = "broken")]
    pub lost_sessions: u64,
    /// Viewer-seconds played.
    #[serde(rename = "watched")]
    pub watched_s: f64,
    /// Viewer-seconds weighted by delivered utility relative to the top rung.
    #[serde(rename = "quality")]
    pub quality_s: f64,
}

/// Figures of one second of the day. Vectors are indexed by service group unless noted.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    pub second: u64,
    /// First requests.
    #[serde(rename = "asked")]
    pub requests: Vec<u64>,
    /// First requests answered with a session within the start target.
    pub in_time: Vec<u64>,
    /// Busy replies.
    #[serde(rename = "busy")]
    pub busy_replies: Vec<u64>,
    /// Retries sent at the time that a busy reply asked for.
    #[serde(rename = "returned")]
    pub retries: Vec<u64>,
    /// Sessions playing.
    pub playing: Vec<u64>,
    /// Link utilization: mean and maximum over the nodes.
    #[serde(rename = "fill")]
    pub link_utilization: (f64, f64),
    /// By director: the concurrency limit of its admission controller; `None` without one or while it is
    /// down.
    #[serde(rename = "limits")]
    pub concurrency_limits: Vec<Option<f64>>,
}

/// The whole day.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub groups: Vec<GroupReport>,
    pub samples: Vec<Sample>,
    /// By director: first requests answered with a session within the start target.
    #[serde(rename = "by_director")]
    pub in_time_by_director: Vec<u64>,
    /// SETUPs sent.
    pub setups: u64,
    /// Retry slots of the admission controllers: reserved, used by a retry in time, and admitted of those.
    #[serde(rename = "promised")]
    pub retry_slots: (u64, u64, u64),
    /// Number of cold nodes that were overloaded.
    #[serde(rename = "fallen")]
    pub overloaded_nodes: u64,
    /// Violations that the emulator observed: unanswered requests, concurrent or repeated SETUPs of a
    /// session, SETUPs at drained nodes, overloaded cold nodes.
    #[serde(rename = "broken_rules")]
    pub violations: Vec<String>,
    /// Events processed.
    pub events: u64,
    /// Engine rounds run.
    pub rounds: u64,
    /// Utility of the first requests answered in time, as a fraction of the utility of all.
    pub service: f64,
    /// Highest number of retries in a second.
    #[serde(rename = "peak_returned")]
    pub peak_retries: u64,
    /// Mean number of retries per second.
    #[serde(rename = "mean_returned")]
    pub mean_retries: f64,
    /// Times of SETUPs that failed with an error reply, in seconds.
    #[serde(rename = "failed_at")]
    pub error_reply_times: Vec<f64>,
    /// Datagrams and bytes sent between directors.
    #[serde(rename = "said")]
    pub peer_traffic: (u64, u64),
    /// Highest number of node health reports held by one director.
    #[serde(rename = "words")]
    pub max_health_reports: usize,
}

/// Jain's fairness index: 1 if all shares are equal, 1/n if one of n has everything.
pub fn jain(shares: &[f64]) -> f64 {
    let (sum, squares): (f64, f64) = shares.iter().fold((0.0, 0.0), |(s, q), x| (s + x, q + x * x));
    if squares > 0.0 { sum * sum / (shares.len() as f64 * squares) } else { 1.0 }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for g in &self.groups {
            let ratio = |n: u64, total: u64| {
                if total == 0 { "-".into() } else { format!("{:.3}", n as f64 / total as f64) }
            };
            writeln!(
                f,
                "{}: in time {} of {}, played {}, {} busy replies, {} torn down, {} unanswered, {} broken; back as \
                 told {}, in {}, within a fifth {}; quality {:.3}",
                g.name,
                ratio(g.in_time, g.viewers),
                g.viewers,
                ratio(g.played, g.viewers),
                g.busy_replies,
                g.torn_down,
                g.unanswered,
                g.lost_sessions,
                g.prompt_retries,
                ratio(g.retries_started, g.prompt_retries),
                ratio(g.retries_started_in_time, g.prompt_retries),
                if g.watched_s > 0.0 { g.quality_s / g.watched_s } else { 0.0 },
            )?;
            if !g.busy_reasons.is_empty() {
                let reasons = g.busy_reasons.iter().map(|(reason, n)| format!("{reason} {n}"));
                writeln!(f, "    busy replies: {}", reasons.collect::<Vec<_>>().join(", "))?;
            }
        }
        let directors: Vec<f64> = self.in_time_by_director.iter().map(|&n| n as f64).collect();
        let min_in_time = self.in_time_by_director.iter().min().copied().unwrap_or(0);
        let max_in_time = self.in_time_by_director.iter().max().copied().unwrap_or(0);
        writeln!(
            f,
            "service {:.3}; {} SETUPs, {} nodes pushed over; returning a second: mean {:.1}, most {}",
            self.service, self.setups, self.overloaded_nodes, self.mean_retries, self.peak_retries
        )?;
        let (reserved, returned, admitted) = self.retry_slots;
        writeln!(
            f,
            "room promised {reserved} times, {returned} came at their moment, {admitted} of them went in"
        )?;
        writeln!(
            f,
            "directors {}: in time {min_in_time} to {max_in_time}, Jain {:.3}",
            directors.len(),
            jain(&directors)
        )?;
        if self.peer_traffic.0 > 0 {
            let bytes_per_second =
                self.peer_traffic.1 as f64 / self.samples.len().max(1) as f64 / directors.len().max(1) as f64;
            writeln!(
                f,
                "said {} datagrams, {bytes_per_second:.0} bytes a second by each; {} words held at most",
                self.peer_traffic.0, self.max_health_reports
            )?;
        }
        if !self.error_reply_times.is_empty() {
            writeln!(f, "{} SETUPs failed at once", self.error_reply_times.len())?;
        }
        match self.violations.len() {
            0 => writeln!(f, "rules held"),
            n => writeln!(f, "{n} breaches of rules, the first: {}", self.violations[0]),
        }
    }
}
