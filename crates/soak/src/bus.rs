//! Stand-in of the event bus: one server for each director, all with the same numbered events.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout_at};

use crate::plan::BusFault;
use crate::record::{SharedRecord, Withdrawal};

/// Longest time for which a poll is held open.
const MAX_HOLD: Duration = Duration::from_secs(5);
/// Time after which the old address closes its connections when a director is given a new one.
const OLD_ADDRESS_GRACE: Duration = Duration::from_millis(1500);
/// Latest time at which a director counts as told, in seconds: after an open poll fell silent, after the bus
/// could be reached again, and after SIGHUP.
const TOLD_AFTER_SILENCE: f64 = 7.0;
const TOLD_AFTER_RETURN: f64 = 6.0;
const TOLD_AFTER_RELOAD: f64 = 4.0;

/// One event: its endpoints in JSON, and the node that drains or is removed by it.
struct Published {
    endpoints: Vec<String>,
    snapshot: bool,
    withdrawn: Option<String>,
}

/// Faults of the bus that bear on when a director counts as told.
#[derive(Clone, Copy, Default)]
struct Outage {
    /// The time at which the last silence of an open poll began.
    silent_since: Option<f64>,
    /// The last time at which the bus could not be reached, or `None` if it never was.
    unreachable_until: Option<f64>,
    down: bool,
    reloaded_at: Option<f64>,
}

struct State {
    events: Vec<Published>,
    outages: Vec<Outage>,
    /// Changes whenever open polls fall silent.
    silences: u64,
}

/// The event bus of all directors of a trial.
#[derive(Clone)]
pub struct Bus {
    state: Arc<Mutex<State>>,
    published: watch::Sender<u64>,
    record: SharedRecord,
}

/// One address of the bus, for one director.
pub struct BusServer {
    pub address: SocketAddr,
    task: JoinHandle<()>,
    stop: watch::Sender<bool>,
}

impl BusServer {
    /// Takes no new connection and tells nothing more; the open connections close a little later.
    pub fn retire(self) {
        self.task.abort();
        tokio::spawn(async move {
            sleep(OLD_ADDRESS_GRACE).await;
            let _ = self.stop.send(true);
        });
    }
}

impl Bus {
    pub fn new(directors: usize, record: SharedRecord) -> Bus {
        let outages = vec![Outage::default(); directors];
        let state = State { events: Vec::new(), outages, silences: 0 };
        Bus { state: Arc::new(Mutex::new(state)), published: watch::Sender::new(0), record }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Publishes an event. `endpoint` gives the JSON of the endpoints that each director sees. `withdrawn`
    /// names the node that the event reports as draining or removed.
    pub fn publish(&self, endpoints: impl Fn(usize) -> String, snapshot: bool, withdrawn: Option<&str>) {
        let at = self.record.now();
        let mut state = self.lock();
        let directors = state.outages.len();
        let endpoints = (0..directors).map(endpoints).collect();
        state.events.push(Published { endpoints, snapshot, withdrawn: withdrawn.map(str::to_string) });
        let outages = state.outages.clone();
        drop(state);
        for (director, outage) in outages.into_iter().enumerate() {
            let Some(node) = withdrawn else { continue };
            let told_at = latest_told(at, &outage);
            let withdrawal = Withdrawal { director, node: node.to_string(), told_at };
            self.record.lock().withdrawals.push(withdrawal);
        }
        self.published.send_modify(|count| *count += 1);
    }

    /// Starts a fault for all directors.
    pub fn start_fault(&self, fault: BusFault) {
        let now = self.record.now();
        let mut state = self.lock();
        state.silences += u64::from(fault == BusFault::Silent);
        for outage in &mut state.outages {
            match fault {
                BusFault::Silent => outage.silent_since = Some(now),
                BusFault::Down => outage.down = true,
            }
        }
        drop(state);
        self.published.send_modify(|count| *count += 1);
    }

    /// Ends a fault. What was published while the bus was down counts as told some time from now on.
    pub fn end_fault(&self, fault: BusFault) {
        if fault == BusFault::Silent {
            return;
        }
        let now = self.record.now();
        for outage in &mut self.lock().outages {
            (outage.down, outage.unreachable_until) = (false, Some(now));
        }
        for withdrawal in &mut self.record.lock().withdrawals {
            if withdrawal.told_at == f64::INFINITY {
                withdrawal.told_at = now + TOLD_AFTER_RETURN;
            }
        }
    }

    /// Notes that a director was sent SIGHUP with a new address.
    pub fn note_reload(&self, director: usize) {
        self.lock().outages[director].reloaded_at = Some(self.record.now());
    }

    /// Returns the batch of all events, as a configuration names it, and their number.
    pub fn known(&self, director: usize) -> (String, usize) {
        let count = self.lock().events.len();
        (self.batch(director, 0, count), count)
    }

    /// Notes that a director has read its configuration, with this many events.
    pub fn note_start(&self, director: usize, count: usize) {
        self.note_told(director, 0, count);
    }

    fn batch(&self, director: usize, from: usize, until: usize) -> String {
        let state = self.lock();
        let events: Vec<String> = state
            .events
            .iter()
            .enumerate()
            .take(until)
            .skip(from)
            .map(|(index, event)| {
                let (offset, endpoints) = (index + 1, &event.endpoints[director]);
                format!(
                    r#"{{"offset":{offset},"topology":{{"index":{offset},"snapshot":{},"endpoints":[{endpoints}]}}}}"#,
                    event.snapshot
                )
            })
            .collect();
        format!(r#"{{"offset":{until},"batch":[{}]}}"#, events.join(","))
    }

    /// Notes that a director has read the events from index `from` up to `until`.
    fn note_told(&self, director: usize, from: usize, until: usize) {
        let now = self.record.now();
        let nodes: Vec<String> =
            self.lock().events[from..until].iter().filter_map(|event| event.withdrawn.clone()).collect();
        let mut record = self.record.lock();
        for withdrawal in record.withdrawals.iter_mut().filter(|w| w.director == director) {
            if nodes.contains(&withdrawal.node) {
                withdrawal.told_at = withdrawal.told_at.min(now);
            }
        }
    }

    /// Serves a director at a new address.
    pub async fn serve(&self, director: usize, ip: [u8; 4]) -> std::io::Result<BusServer> {
        let listener = TcpListener::bind(SocketAddr::from((ip, 0))).await?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let bus = self.clone();
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (bus, mut stopped) = (bus.clone(), stopped.clone());
                tokio::spawn(async move {
                    tokio::select! {
                        _ = bus.serve_connection(director, stream) => {}
                        _ = stopped.wait_for(|stopped| *stopped) => {}
                    }
                });
            }
        });
        Ok(BusServer { address, task, stop })
    }

    async fn serve_connection(&self, director: usize, stream: TcpStream) -> Option<()> {
        let mut stream = BufReader::new(stream);
        let mut published = self.published.subscribe();
        loop {
            let mut line = String::new();
            if stream.read_line(&mut line).await.ok()? == 0 {
                return None;
            }
            let Some(query) = line.strip_prefix("GET /bus/read?from=") else { continue };
            let mut numbers =
                query.split(|c: char| !c.is_ascii_digit()).filter_map(|n| n.parse::<u64>().ok());
            let (from, hold) = (numbers.next()? as usize, Duration::from_millis(numbers.next()?));
            let due = Instant::now() + hold.min(MAX_HOLD);
            let silence = self.lock().silences;
            loop {
                let (down, silent, has_events) = {
                    let state = self.lock();
                    let silent = state.silences != silence;
                    (state.outages[director].down, silent, state.events.len() > from)
                };
                if down {
                    self.record.count("polls of a bus that is down");
                    return None;
                }
                if silent {
                    self.record.count("polls that fell silent");
                    std::future::pending::<()>().await;
                }
                if has_events || timeout_at(due, published.changed()).await.is_err() {
                    break;
                }
            }
            let until = self.lock().events.len();
            let body = self.batch(director, from.min(until), until);
            let reply = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            stream.get_mut().write_all(reply.as_bytes()).await.ok()?;
            self.note_told(director, from.min(until), until);
        }
    }
}

/// Returns when a director counts as told at the latest of an event that is published now.
fn latest_told(now: f64, outage: &Outage) -> f64 {
    if outage.down {
        return f64::INFINITY;
    }
    let mut told_at = now;
    if let Some(since) = outage.silent_since {
        told_at = told_at.max(since + TOLD_AFTER_SILENCE);
    }
    if let Some(until) = outage.unreachable_until {
        told_at = told_at.max(until + TOLD_AFTER_RETURN);
    }
    if let Some(reloaded_at) = outage.reloaded_at {
        told_at = told_at.max(reloaded_at + TOLD_AFTER_RELOAD);
    }
    told_at
}
