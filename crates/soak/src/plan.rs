//! What happens in a trial, drawn from its seed.

use std::time::Duration;

use crate::rng::Rng;

/// Time to the earliest SIGKILL beyond the longest setup timeout, and the most that the timeout counts.
const KILL_DELAY_SECONDS: f64 = 0.7;
const MAX_COUNTED_TIMEOUT_SECONDS: f64 = 3.0;

/// Whether a request may be set up again once a SETUP of it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    Retryable,
    /// Nodes recognize a repeated SETUP for a while.
    Dedup,
    Fragile,
}

impl RetrySafety {
    /// The name in the settings.
    pub fn name(self) -> &'static str {
        match self {
            RetrySafety::Retryable => "retryable",
            RetrySafety::Dedup => "dedup",
            RetrySafety::Fragile => "fragile",
        }
    }
}

/// A service group.
#[derive(Clone, Debug)]
pub struct ServiceGroup {
    pub name: &'static str,
    pub retry_safety: RetrySafety,
    /// Setup timeout in seconds.
    pub timeout: f64,
}

/// A fault of the event bus, as one director sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BusFault {
    /// The poll that is open gets no answer; later ones do.
    Silent,
    /// Connections are closed and refused.
    Down,
}

/// How a node treats what it receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeMode {
    Normal,
    /// Reads, and answers nothing.
    Hung,
    /// Refuses, fails or resets a part of the SETUPs, and spoils a part of the answers.
    Faulty,
    /// Accepts no connection for a while: they come up late.
    Late,
    /// Cut off: answers nothing, and accepts no connection.
    Vanished,
}

/// What happens at one time.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// SIGTERM to these directors, after a SIGHUP with a new address of the bus if `reload_before` is given;
    /// SIGKILL at the earliest time; a new process after `down_for`.
    Stop {
        directors: Vec<usize>,
        reload_before: Option<Duration>,
        down_for: Duration,
        while_starting: bool,
    },
    /// A new configuration with another address of the bus.
    Reload {
        director: usize,
    },
    Bus {
        fault: BusFault,
        lasts: Duration,
    },
    NodeMode {
        node: usize,
        mode: NodeMode,
        lasts: Duration,
    },
    /// The node drains, is removed a little later and is replaced under a new name.
    Replace {
        node: usize,
        drains_for: Duration,
    },
    /// All connections between directors and this node are reset.
    ResetConnections {
        node: usize,
    },
}

/// What viewers do besides asking and waiting.
#[derive(Clone, Copy, Debug, Default)]
pub struct ViewerFaults {
    /// Parts of the requests whose viewer gives up early, closes at once behind them, or writes in pieces.
    pub give_up: f64,
    pub close_behind: f64,
    pub pieces: f64,
    /// Whether a refused request is sent again at once.
    pub retry_at_once: bool,
    /// Number of clients that send what can't be used.
    pub useless_clients: usize,
}

/// A trial.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub directors: usize,
    pub nodes: usize,
    pub viewers: usize,
    /// Longest pause of a viewer between two requests, in milliseconds.
    pub max_pause_ms: f64,
    pub service_groups: Vec<ServiceGroup>,
    pub viewer_faults: ViewerFaults,
    /// Nodes that hang throughout.
    pub hung_nodes: Vec<usize>,
    /// Part of the sessions that end soon; the others outlast a shutdown.
    pub short_sessions: f64,
    /// Events with their times in seconds, in order.
    pub events: Vec<(f64, Event)>,
    /// Length of the trial in seconds.
    pub length: f64,
}

impl Plan {
    /// Draws the plan of a seed. `length` is in seconds.
    pub fn draw(seed: u64, length: f64) -> Plan {
        let mut rng = Rng::new(seed, 0);
        let rng = &mut rng;
        let directors = 1 + rng.index(6);
        let nodes = 12;
        let crowd = rng.chance(0.25);
        let timeout = [0.3, 0.6, 0.9, 2.0, 3.0, 5.0][rng.index(6)];
        let timeout_of = |rng: &mut Rng| if rng.chance(0.5) { timeout } else { timeout * 0.6_f64 };
        let service_groups = vec![
            ServiceGroup { name: "clip", retry_safety: RetrySafety::Retryable, timeout },
            ServiceGroup {
                name: "lesson",
                retry_safety: RetrySafety::Dedup,
                timeout: timeout_of(rng).max(0.2),
            },
            ServiceGroup {
                name: "once",
                retry_safety: RetrySafety::Fragile,
                timeout: timeout_of(rng).max(0.2),
            },
        ];
        let with_troubles = rng.chance(0.8);
        let share = |rng: &mut Rng, most: f64| if with_troubles { rng.between(0.0, most) } else { 0.0 };
        let viewer_faults = ViewerFaults {
            give_up: share(rng, 0.08),
            close_behind: share(rng, 0.04),
            pieces: share(rng, 0.1),
            retry_at_once: with_troubles,
            useless_clients: if with_troubles { 2 } else { 0 },
        };
        let hung_nodes = vec![rng.index(6), 6 + rng.index(6)];
        let mut plan = Plan {
            seed,
            directors,
            nodes,
            viewers: if crowd { 60 } else { 24 },
            max_pause_ms: if crowd { 60.0 } else { 400.0 },
            service_groups,
            viewer_faults,
            hung_nodes,
            short_sessions: rng.between(0.3, 0.9),
            events: Vec::new(),
            length,
        };
        plan.draw_stops(rng);
        if with_troubles {
            plan.draw_troubles(rng);
        }
        plan.events.sort_by(|a, b| a.0.total_cmp(&b.0));
        plan
    }

    /// Returns the time from SIGTERM to the earliest SIGKILL.
    pub fn kill_after(&self) -> Duration {
        let longest = self.service_groups.iter().map(|group| group.timeout).fold(0.0, f64::max);
        Duration::from_secs_f64(longest.min(MAX_COUNTED_TIMEOUT_SECONDS) + KILL_DELAY_SECONDS)
    }

    /// Draws the shutdowns: each director again and again, sometimes several or all at once.
    fn draw_stops(&mut self, rng: &mut Rng) {
        let kill_after = self.kill_after().as_secs_f64();
        let mut up_at = vec![rng.between(2.0, 3.5); self.directors];
        loop {
            let Some((director, &at)) = up_at.iter().enumerate().min_by(|a, b| a.1.total_cmp(b.1)) else {
                return;
            };
            if at + kill_after + 2.0 > self.length {
                return;
            }
            let together = rng.chance(0.25);
            let directors: Vec<usize> = if together {
                (0..self.directors).filter(|&other| up_at[other] <= at + 1.0).collect()
            } else {
                vec![director]
            };
            let at = directors.iter().map(|&d| up_at[d]).fold(at, f64::max);
            let reload_before = rng.chance(0.3).then(|| rng.millis(100.0, 250.0));
            let down_for = rng.millis(250.0, 600.0);
            let while_starting = rng.chance(0.1);
            let one_stop = kill_after + down_for.as_secs_f64();
            for &director in &directors {
                let (stops, pause) = if while_starting { (2.0, 0.3) } else { (1.0, rng.between(1.5, 6.0)) };
                up_at[director] = at + stops * one_stop + pause;
            }
            self.events.push((at, Event::Stop { directors, reload_before, down_for, while_starting }));
        }
    }

    fn draw_troubles(&mut self, rng: &mut Rng) {
        let mut at = rng.between(1.5, 3.0);
        while at < self.length - 2.0 {
            let node = rng.index(self.nodes);
            match rng.index(7) {
                0 => {
                    let lasts = rng.millis(1500.0, 5000.0);
                    let fault = if rng.chance(0.5) { BusFault::Silent } else { BusFault::Down };
                    self.events.push((at, Event::Bus { fault, lasts }));
                    // Drains close to the return of discovery.
                    let back = at + lasts.as_secs_f64();
                    for near in [back - 0.2, back + 0.05] {
                        let node = rng.index(self.nodes);
                        let drains_for = rng.millis(800.0, 3000.0);
                        self.events.push((near, Event::Replace { node, drains_for }));
                    }
                }
                1 => self.events.push((at, Event::Replace { node, drains_for: rng.millis(800.0, 4000.0) })),
                2 | 3 => {
                    let modes = [NodeMode::Hung, NodeMode::Faulty, NodeMode::Late, NodeMode::Vanished];
                    // Below the time after which a silent node counts as gone.
                    let lasts = rng.millis(800.0, 4000.0);
                    self.events.push((at, Event::NodeMode { node, mode: modes[rng.index(4)], lasts }));
                }
                4 => self.events.push((at, Event::ResetConnections { node })),
                5 => {
                    for step in 0..1 + rng.index(3) {
                        let director = rng.index(self.directors);
                        self.events.push((at + step as f64 * 0.15, Event::Reload { director }));
                    }
                }
                _ => {
                    let mode = NodeMode::Faulty;
                    self.events.push((at, Event::NodeMode { node, mode, lasts: rng.millis(2000.0, 8000.0) }));
                }
            }
            at += rng.between(0.3, 1.5);
        }
    }
}
