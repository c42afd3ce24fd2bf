//! Plays one trial.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::sync::Mutex as AsyncMutex;
use tokio::time::sleep;

use crate::bus::{Bus, BusServer};
use crate::judge::{DEDUP_WINDOW_SECONDS, DESCRIPTOR_LIMIT, MEMORY_LIMIT_MB, Verdict, judge};
use crate::node::Node;
use crate::plan::{Event, NodeMode, Plan};
use crate::process::{RunningProcess, StartOptions};
use crate::record::{CutOff, SharedRecord};
use crate::rng::Rng;
use crate::viewer::{DirectorState, Front, Viewer, send_useless_lines};

/// Port of every director, each of which has an address of its own.
const DIRECTOR_PORT: u16 = 2905;
/// Time after SIGTERM for which new connections arrive, in milliseconds.
const NEW_CONNECTIONS_MS: (f64, f64) = (200.0, 400.0);
/// Time between the end of a node's process and the start of its replacement, in milliseconds, and the part of
/// the replacements that start at once.
const REPLACEMENT_MS: (f64, f64) = (100.0, 600.0);
const REPLACED_AT_ONCE: f64 = 0.25;
/// Time between a start and a SIGTERM that comes during it, in milliseconds.
const EARLY_SIGTERM_MS: (f64, f64) = (0.0, 25.0);
/// Time at the end of a trial in which no viewer asks, so that the last requests get their answers.
const LAST_ANSWERS_SECONDS: f64 = 1.0;

/// How a trial is played.
#[derive(Clone, Debug)]
pub struct TrialOptions {
    /// The director's program.
    pub program: PathBuf,
    /// Folder for configurations and logs.
    pub folder: PathBuf,
    /// Filter of the directors' logs.
    pub log_filter: String,
}

/// Loopback addresses of one trial: `127.x.y.z`, with `x` and `y` of its own among the trials that run at once.
#[derive(Clone, Copy)]
struct Addresses {
    high: u8,
    low: u8,
}

impl Addresses {
    fn next() -> Addresses {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let trial = NEXT.fetch_add(1, Ordering::SeqCst);
        Addresses { high: 128 + (std::process::id() % 120) as u8, low: (trial % 250) as u8 }
    }

    fn ip(self, last: usize) -> [u8; 4] {
        [127, self.high, self.low, last as u8]
    }

    fn director(self, director: usize) -> SocketAddr {
        SocketAddr::from((self.ip(1 + director), DIRECTOR_PORT))
    }

    fn bus(self) -> [u8; 4] {
        self.ip(10)
    }

    fn node(self, node: usize) -> [u8; 4] {
        self.ip(20 + node)
    }

    fn viewer(self, viewer: usize) -> [u8; 4] {
        self.ip(100 + viewer)
    }
}

/// One director, running or not.
struct Director {
    index: usize,
    address: SocketAddr,
    process: Option<RunningProcess>,
    bus: Option<BusServer>,
    rng: Rng,
}

/// A configuration that has been written.
struct WrittenConfig {
    path: PathBuf,
    /// Number of the bus's events in it.
    known_events: usize,
}

/// A trial that is being played.
struct Trial {
    plan: Arc<Plan>,
    options: TrialOptions,
    addresses: Addresses,
    record: SharedRecord,
    bus: Bus,
    nodes: Vec<Node>,
    /// Nodes that are being replaced.
    replacing: Mutex<Vec<bool>>,
    front: Front,
    viewers: Vec<Arc<Viewer>>,
    directors: Vec<AsyncMutex<Director>>,
    /// Number of directors between SIGTERM and their end.
    stopping: AtomicUsize,
}

/// Plays a trial and judges it.
pub async fn play(plan: Plan, options: TrialOptions) -> std::io::Result<Verdict> {
    // Logs of an earlier trial are not added to.
    if options.folder.exists() {
        std::fs::remove_dir_all(&options.folder)?;
    }
    std::fs::create_dir_all(&options.folder)?;
    let trial = Arc::new(Trial::prepare(plan, options).await?);
    let folder = trial.options.folder.clone();
    trial.clone().run().await;
    let verdict = judge(&trial.record.lock());
    let text = format!("{:#?}\n{verdict}\n{verdict:#?}\n", trial.plan);
    std::fs::write(folder.join("verdict.txt"), text)?;
    Ok(verdict)
}

impl Trial {
    async fn prepare(plan: Plan, options: TrialOptions) -> std::io::Result<Trial> {
        let (plan, record, addresses) = (Arc::new(plan), SharedRecord::start(), Addresses::next());
        let bus = Bus::new(plan.directors, record.clone());
        let mut nodes = Vec::new();
        for index in 0..plan.nodes {
            let ip = |_| addresses.node(index);
            let node = Node::start(index, plan.directors, ip, plan.seed, plan.short_sessions, record.clone());
            nodes.push(node.await?);
        }
        for &hung in &plan.hung_nodes {
            nodes[hung].set_mode(NodeMode::Hung);
        }
        let all = |director| {
            let endpoints: Vec<String> =
                nodes.iter().map(|node| node.endpoint(director, &node.name(), "up", 0)).collect();
            endpoints.join(",")
        };
        bus.publish(all, true, None);
        let states = (0..plan.directors)
            .map(|index| DirectorState { address: addresses.director(index), admits: false });
        let front: Front = Arc::new(Mutex::new(states.collect()));
        let viewers = (0..plan.viewers)
            .map(|index| {
                Viewer::new(index, addresses.viewer(index), plan.clone(), front.clone(), record.clone())
            })
            .collect();
        let directors = (0..plan.directors)
            .map(|index| {
                AsyncMutex::new(Director {
                    index,
                    address: addresses.director(index),
                    process: None,
                    bus: None,
                    rng: Rng::new(plan.seed, 100 + index as u64),
                })
            })
            .collect();
        let replacing = Mutex::new(vec![false; plan.nodes]);
        Ok(Trial {
            plan,
            options,
            addresses,
            record,
            bus,
            nodes,
            replacing,
            front,
            viewers,
            directors,
            stopping: AtomicUsize::new(0),
        })
    }

    async fn run(self: Arc<Trial>) {
        for director in 0..self.directors.len() {
            tokio::spawn(self.clone().start_director(director));
        }
        let stop_at = self.plan.length;
        for viewer in &self.viewers {
            tokio::spawn(viewer.clone().run(stop_at - LAST_ANSWERS_SECONDS));
        }
        for client in 0..self.plan.viewer_faults.useless_clients {
            let ip = self.addresses.viewer(client);
            let (front, record) = (self.front.clone(), self.record.clone());
            tokio::spawn(send_useless_lines(self.plan.seed, ip, front, record, stop_at - 4.0));
        }
        for (at, event) in self.plan.events.clone() {
            self.wait_until(at).await;
            tokio::spawn(self.clone().perform(event));
        }
        let longest = self.plan.service_groups.iter().map(|group| group.timeout).fold(0.0, f64::max);
        self.wait_until(stop_at + longest).await;
        let now = self.record.now();
        self.record.lock().ended_at = now;
        // Processes that still run are killed when they are dropped; that is not part of the record.
    }

    async fn wait_until(&self, at: f64) {
        sleep(Duration::from_secs_f64((at - self.record.now()).max(0.0))).await;
    }

    async fn perform(self: Arc<Trial>, event: Event) {
        match event {
            Event::Stop { directors, reload_before, down_for, while_starting } => {
                if directors.len() > 1 {
                    self.record.count("stops of several directors at once");
                }
                for director in directors {
                    tokio::spawn(self.clone().stop_director(
                        director,
                        reload_before,
                        down_for,
                        while_starting,
                    ));
                }
            }
            Event::Reload { director } => {
                let mut director = self.directors[director].lock().await;
                self.reload(&mut director).await;
            }
            Event::Bus { fault, lasts } => {
                self.bus.start_fault(fault);
                sleep(lasts).await;
                self.bus.end_fault(fault);
            }
            Event::NodeMode { node, mode, lasts } => {
                if self.nodes[node].mode() == NodeMode::Normal {
                    self.record.count(match mode {
                        NodeMode::Hung => "nodes that hang for a while",
                        NodeMode::Late => "nodes whose connections come up late",
                        NodeMode::Vanished => "nodes that are cut off",
                        _ => "nodes with faults",
                    });
                    let (name, from) = (self.nodes[node].name(), self.record.now());
                    self.nodes[node].set_mode(mode);
                    sleep(lasts).await;
                    self.nodes[node].set_mode(NodeMode::Normal);
                    if matches!(mode, NodeMode::Late | NodeMode::Vanished) {
                        let until = self.record.now();
                        self.record.lock().cut_offs.push(CutOff { node: name, from, until });
                    }
                }
            }
            Event::Replace { node, drains_for } => self.replace_node(node, drains_for).await,
            Event::ResetConnections { node } => self.nodes[node].reset_connections(),
        }
    }

    /// Writes the configuration of a director, with the present address of its bus.
    fn write_config(&self, director: &Director) -> std::io::Result<WrittenConfig> {
        let index = director.index;
        let (known, known_events) = self.bus.known(index);
        let bus = director.bus.as_ref().map_or(director.address, |bus| bus.address);
        let groups: Vec<String> = self
            .plan
            .service_groups
            .iter()
            .map(|group| {
                let (name, effect) = (group.name, group.retry_safety.name());
                let (deadline, window) = (group.timeout * 1e3, DEDUP_WINDOW_SECONDS * 1e3);
                format!(
                    r#"{{"name":"{name}","aim":{},"deadline":{deadline},"credit":1,"effect":"{effect}","group":"all","repeatWindow":{window}}}"#,
                    deadline * 0.4
                )
            })
            .collect();
        let text = format!(
            r#"{{"name":"d{index}","listen":"{}","seed":"{:x}","bus":"{bus}",
            "limits":{{"cores":0.5,"memory_mb":{MEMORY_LIMIT_MB},"sockets":{DESCRIPTOR_LIMIT}}},"known":{known},
            "settings":{{"balancers":{},"myNumber":{index},"myZone":0,"azs":["east"],"hostTypes":["std"],
            "familyInfo":{{"ladderKb":[100,200],"levelWorth":[0.5,1],"linkUnitKb":5000,"positions":3,"kindStreams":[400],"see":800}},
            "limits":{{"mostTries":3,"cancelling":true,"dialTimeout":250}},
            "rules":{{"drainGrace":500,"fall":2000,"fallMultiple":2,"startCapacity":0.9,"warmAfter":1000}},
            "services":[{}]}}}}"#,
            director.address,
            self.plan.seed,
            self.plan.directors,
            groups.join(",")
        );
        let path = self.options.folder.join(format!("director-{index}.json"));
        // Replaced whole, as the program may read it at any time.
        let new = path.with_extension("new");
        std::fs::write(&new, text)?;
        std::fs::rename(&new, &path)?;
        Ok(WrittenConfig { path, known_events })
    }

    async fn start_director(self: Arc<Trial>, director: usize) {
        let mut guard = self.directors[director].lock().await;
        self.start_and_admit(&mut guard).await;
    }

    /// Starts a director's process. Once it has passed a health check viewers come, and those with sessions
    /// hand them over.
    async fn start_and_admit(&self, director: &mut Director) {
        if let Err(error) = self.start_process(director).await {
            eprintln!("soak: director {}: {error}", director.index);
        }
        let ready = match &director.process {
            Some(process) => process.wait_until_ready(director.address).await,
            None => false,
        };
        if !ready {
            return;
        }
        self.set_admits(director.index, true);
        for viewer in &self.viewers {
            tokio::spawn(viewer.clone().hand_over(director.index));
        }
    }

    async fn start_process(&self, director: &mut Director) -> std::io::Result<()> {
        if director.bus.is_none() {
            director.bus = Some(self.bus.serve(director.index, self.addresses.bus()).await?);
        }
        let config = self.write_config(director)?;
        self.bus.note_start(director.index, config.known_events);
        let log = self.options.folder.join(format!("director-{}.log", director.index));
        let options = StartOptions {
            program: Path::new(&self.options.program),
            config: config.path,
            log,
            log_filter: &self.options.log_filter,
        };
        director.process = Some(RunningProcess::start(director.index, &options, self.record.clone())?);
        Ok(())
    }

    fn set_admits(&self, director: usize, admits: bool) {
        self.front.lock().unwrap_or_else(PoisonError::into_inner)[director].admits = admits;
    }

    /// Gives a director a new configuration with another address of the bus.
    async fn reload(&self, director: &mut Director) {
        let Some(process) = director.process.as_ref().filter(|process| !process.has_ended()) else { return };
        if self
            .record
            .lock()
            .processes
            .iter()
            .rfind(|p| p.director == director.index)
            .is_none_or(|p| p.ready_at.is_none())
        {
            return;
        }
        let Ok(new) = self.bus.serve(director.index, self.addresses.bus()).await else { return };
        if let Some(old) = director.bus.replace(new) {
            old.retire();
        }
        if self.write_config(director).is_ok() {
            self.bus.note_reload(director.index);
            self.record.count("new configurations");
            process.reload();
        }
    }

    /// Stops a director: SIGTERM, SIGKILL at the earliest time, and a new process.
    async fn stop_director(
        self: Arc<Trial>,
        director: usize,
        reload_before: Option<Duration>,
        down_for: Duration,
        while_starting: bool,
    ) {
        let mut guard = self.directors[director].lock().await;
        if let Some(before) = reload_before {
            self.record.count("SIGHUP right before SIGTERM");
            self.reload(&mut guard).await;
            sleep(before).await;
        }
        self.terminate_and_kill(&mut guard).await;
        sleep(down_for).await;
        if while_starting {
            self.record.count("SIGTERM while starting");
            let _ = self.start_process(&mut guard).await;
            sleep(guard.rng.millis(EARLY_SIGTERM_MS.0, EARLY_SIGTERM_MS.1)).await;
            self.terminate_and_kill(&mut guard).await;
            sleep(down_for).await;
        }
        self.start_and_admit(&mut guard).await;
    }

    async fn terminate_and_kill(&self, director: &mut Director) {
        let Some(process) = director.process.take() else { return };
        process.terminate();
        self.stopping.fetch_add(1, Ordering::SeqCst);
        let new_connections = director.rng.millis(NEW_CONNECTIONS_MS.0, NEW_CONNECTIONS_MS.1);
        let kill_after = self.plan.kill_after();
        sleep(new_connections.min(kill_after)).await;
        self.set_admits(director.index, false);
        sleep(kill_after.saturating_sub(new_connections)).await;
        process.kill();
        process.wait_for_end().await;
        self.stopping.fetch_sub(1, Ordering::SeqCst);
    }

    async fn replace_node(&self, index: usize, drains_for: Duration) {
        {
            let mut replacing = self.replacing.lock().unwrap_or_else(PoisonError::into_inner);
            if std::mem::replace(&mut replacing[index], true) {
                return;
            }
        }
        let node = &self.nodes[index];
        let name = node.name();
        self.record.count("drains");
        if self.stopping.load(Ordering::SeqCst) > 0 {
            self.record.count("drains published while a director stops");
        }
        self.bus.publish(|director| node.endpoint(director, &name, "draining", 0), false, Some(&name));
        sleep(drains_for).await;
        self.bus.publish(|director| node.endpoint(director, &name, "removed", 0), false, Some(&name));
        let mut rng = Rng::new(self.plan.seed, 5000 + index as u64);
        let down_for = if rng.chance(REPLACED_AT_ONCE) {
            Duration::ZERO
        } else {
            rng.millis(REPLACEMENT_MS.0, REPLACEMENT_MS.1)
        };
        let new_name = node.replace_process(down_for).await;
        let since_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |now| now.as_millis() as u64);
        self.bus.publish(|director| node.endpoint(director, &new_name, "up", since_ms), false, None);
        self.replacing.lock().unwrap_or_else(PoisonError::into_inner)[index] = false;
    }
}
