//! What came of an emulated day.

use std::fmt;

use serde::{Deserialize, Serialize};

/// One service group, over the day.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Group {
    pub name: String,
    pub viewers: u64,
    /// First requests answered with a session within the start target.
    pub in_time: u64,
    /// Sessions that began at all, at first or after coming back.
    pub played: u64,
    pub busy_replied: u64,
    /// Busy replies by the reason that the engine gave.
    pub why: std::collections::BTreeMap<String, u64>,
    pub torn_down: u64,
    /// Gave up at their setup timeout without an answer.
    pub unanswered: u64,
    /// Came back when told, and got a session then; and that within a fifth of the time told.
    pub came_back: u64,
    pub back_in: u64,
    pub back_true: u64,
    /// Of playing sessions: ended by the loss of their node or director.
    pub broken: u64,
    /// Viewer-seconds played, and utility earned in them, of what the ladder's top earns.
    pub watched: f64,
    pub quality: f64,
}

/// One second of the day.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    pub second: u64,
    /// By service group: first requests, those in time, busy replies, those that came back, and those that play.
    pub asked: Vec<u64>,
    pub in_time: Vec<u64>,
    pub busy: Vec<u64>,
    pub returned: Vec<u64>,
    pub playing: Vec<u64>,
    /// How full links are: on average and the fullest.
    pub fill: (f64, f64),
    /// By director: its door's limit, none without a door or while it is down.
    pub limits: Vec<Option<f64>>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub groups: Vec<Group>,
    pub samples: Vec<Sample>,
    /// By director: sessions that it began in time.
    pub by_director: Vec<u64>,
    pub setups: u64,
    /// Doors' promises of room: made, of those that came back at their moment, and of those that went in then.
    pub promised: (u64, u64, u64),
    pub fallen: u64,
    /// Rules broken, as the world saw it: requests without their one answer, second SETUPs out, set-ups on drained nodes.
    pub broken_rules: Vec<String>,
    pub events: u64,
    pub rounds: u64,
    /// Utility of sessions that began in time over that of all asked for.
    pub service: f64,
    pub peak_returned: u64,
    pub mean_returned: f64,
    /// When SETUPs failed at once, in seconds.
    pub failed_at: Vec<f64>,
    /// Datagrams and bytes that directors said to each other, and the words that the fullest of them held of nodes.
    pub said: (u64, u64),
    pub words: usize,
}

/// Jain's index: 1 if all are alike, 1 over their number if one has all.
pub fn jain(shares: &[f64]) -> f64 {
    let (sum, squares): (f64, f64) = shares.iter().fold((0.0, 0.0), |(s, q), x| (s + x, q + x * x));
    if squares > 0.0 { sum * sum / (shares.len() as f64 * squares) } else { 1.0 }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for g in &self.groups {
            let of =
                |n: u64, of: u64| if of == 0 { "-".into() } else { format!("{:.3}", n as f64 / of as f64) };
            writeln!(
                f,
                "{}: in time {} of {}, played {}, {} busy replies, {} torn down, {} unanswered, {} broken; back as \
                 told {}, in {}, within a fifth {}; quality {:.3}",
                g.name,
                of(g.in_time, g.viewers),
                g.viewers,
                of(g.played, g.viewers),
                g.busy_replied,
                g.torn_down,
                g.unanswered,
                g.broken,
                g.came_back,
                of(g.back_in, g.came_back),
                of(g.back_true, g.came_back),
                if g.watched > 0.0 { g.quality / g.watched } else { 0.0 },
            )?;
            if !g.why.is_empty() {
                let why = g.why.iter().map(|(why, n)| format!("{why} {n}"));
                writeln!(f, "    busy replies: {}", why.collect::<Vec<_>>().join(", "))?;
            }
        }
        let directors: Vec<f64> = self.by_director.iter().map(|&n| n as f64).collect();
        let least = self.by_director.iter().min().copied().unwrap_or(0);
        let most = self.by_director.iter().max().copied().unwrap_or(0);
        writeln!(
            f,
            "service {:.3}; {} SETUPs, {} nodes pushed over; returning a second: mean {:.1}, most {}",
            self.service, self.setups, self.fallen, self.mean_returned, self.peak_returned
        )?;
        let (made, came, went_in) = self.promised;
        writeln!(f, "room promised {made} times, {came} came at their moment, {went_in} of them went in")?;
        writeln!(
            f,
            "directors {}: in time {least} to {most}, Jain {:.3}",
            directors.len(),
            jain(&directors)
        )?;
        if self.said.0 > 0 {
            let a_second =
                self.said.1 as f64 / self.samples.len().max(1) as f64 / directors.len().max(1) as f64;
            writeln!(
                f,
                "said {} datagrams, {a_second:.0} bytes a second by each; {} words held at most",
                self.said.0, self.words
            )?;
        }
        if !self.failed_at.is_empty() {
            writeln!(f, "{} SETUPs failed at once", self.failed_at.len())?;
        }
        match self.broken_rules.len() {
            0 => writeln!(f, "rules held"),
            n => writeln!(f, "{n} breaches of rules, the first: {}", self.broken_rules[0]),
        }
    }
}
