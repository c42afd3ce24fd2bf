//! Plays a day on loopback sockets: nodes and viewers in this process, each director in a process of its own.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use ashglade::ids::{CellId, ModelId, ZoneId};
use ashglade::interface::NodeInfo;
use ashglade_discovery::{NodeEntry, NodeState};
use ashglade_judge::{self as judge, EventKind, RulesConfig, RulesReport, TrafficRecord};
use ashglade_settings::Settings;
use ashglade_standin::node::SlowStart;
use ashglade_standin::viewer::{self, MediaCounters, ViewerScript};
use ashglade_standin::{Fleet, NodeSpec, TrafficRecorder};
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::arrivals::{self, Arrival};
use crate::day::Day;
use crate::directors::Directors;
use crate::lists::NodeLists;
use crate::net::{Network, Parties, Party};
use crate::trouble;

/// The result of a day.
pub struct PlayResult {
    /// The judge's verdict on the recorded traffic.
    pub verdict: RulesReport,
    /// Counters of the media that viewers received.
    pub media: Arc<MediaCounters>,
    /// Number of sessions that nodes still held after all viewers and directors had ended.
    pub orphans: usize,
    /// Total time for which nodes held sessions without an owner, in seconds.
    pub orphaned_s: f64,
    /// Summary of the times from SETUP to 200, as viewers measured them.
    pub setup_times: String,
    /// Summary of the first director's resident memory over the day.
    pub memory: String,
    /// Whether all directors exited successfully after SIGTERM.
    pub clean_exit: bool,
    /// By fault between parties: whether it started.
    pub faults_started: Vec<bool>,
}

/// The running parts of a day, shared by the tasks that cause troubles.
pub struct PlayContext {
    pub fleet: Arc<Fleet>,
    pub directors: Arc<Directors>,
    pub lists: NodeLists,
    pub log: TrafficRecorder,
    /// Delay after which the node lists show an announced change.
    pub notice: Duration,
    /// Delay after which the node lists show a process that ended without notice.
    pub silent_notice: Duration,
}

/// Options for playing a day.
#[derive(Clone, Debug, Default)]
pub struct PlayOptions {
    /// Directors record their rounds.
    pub record: bool,
    /// Prints no progress.
    pub quiet: bool,
    /// Routes every path between two parties through a relay, with the day's faults.
    pub relayed: bool,
    /// Name of the fault to inject into the directors.
    pub defect: Option<String>,
}

/// Plays a day and judges its traffic. Settings, logs and traffic are written to `out`.
pub async fn play(day: &Day, out: &Path, options: &PlayOptions) -> Result<PlayResult, String> {
    let PlayOptions { record, quiet, .. } = *options;
    std::fs::create_dir_all(out).map_err(|e| format!("{}: {e}", out.display()))?;
    let headend = day.headend.clone().unwrap_or_default();
    // Validates the settings as a director reads them, before anything starts.
    let placeholder_peers =
        |_| Some((0..day.directors.unwrap_or(1)).map(|d| format!("127.0.0.1:{}", d + 1)).collect());
    let prepared = Directors::prepare(day, out, unjudged_log(out)?, placeholder_peers)?;
    let path = prepared.settings(0).ok_or("the day has no directors")?;
    let text = std::fs::read_to_string(&path).map_err(|e| e.to_string())?;
    let settings =
        ashglade_settings::parse_settings(&path.display().to_string(), &text).map_err(|e| e.to_string())?;
    drop(prepared);
    let plan = judge_plan(day, &settings);
    let traffic = out.join("traffic.jsonl");
    let log = TrafficRecorder::create(&traffic, &plan).map_err(|e| format!("{}: {e}", traffic.display()))?;

    let (specs, entries) = nodes(day, &settings);
    let (uplinks, rung_rates, cold_pace) = shared_node_settings(&settings);
    let seed = day.seed.unwrap_or(0);
    let fleet = Fleet::start(specs, uplinks, rung_rates, cold_pace, seed, log.clone()).await;
    let fleet = fleet.map_err(|e| format!("starting the nodes' listeners: {e}"))?;
    let entries = fleet.nodes.iter().zip(entries).map(|(node, entry)| NodeEntry {
        address: node.address,
        http_address: Some(node.http_address),
        ..entry
    });
    let entries: Vec<NodeEntry> = entries.collect();

    let relay_error = |e: std::io::Error| format!("opening a relay: {e}");
    let net = if options.relayed {
        let secret = settings.peering.as_ref().map(|talk| talk.secret.as_str());
        let parties = parties(day);
        let net = Network::start(&day.fault, &parties, (seed, secret, record), log.clone());
        Some(net.await.map_err(relay_error)?)
    } else {
        None
    };
    let peers = |director: u16| net.as_ref().map(|net| net.peers(director));
    let mut directors = Directors::prepare(day, out, log.clone(), peers)?;
    directors.defect.clone_from(&options.defect);
    let directors = Arc::new(directors);
    let mut node_lists = Vec::new();
    let mut director_addresses: Vec<(u16, SocketAddr)> =
        directors.all.iter().map(|&(n, address, _)| (n, address)).collect();
    for (number, _, folder) in &directors.all {
        let mut entries = entries.clone();
        if let Some(net) = &net {
            for (n, entry) in entries.iter_mut().enumerate() {
                let relay = net.open_relay(Party::Director(*number), Party::Node(n), entry.address);
                entry.address = relay.await.map_err(relay_error)?;
                (entry.http_address, entry.id) = (None, Some(entry.name.clone()));
            }
        }
        node_lists.push((folder.clone(), entries));
    }
    if let Some(net) = &net {
        for (number, address) in &mut director_addresses {
            let relay = net.open_relay(Party::Viewers, Party::Director(*number), *address);
            *address = relay.await.map_err(relay_error)?;
        }
    }
    let lists = NodeLists::new(settings.names.clone(), log.clone(), node_lists);
    lists.write_all().map_err(|e| format!("writing the node lists: {e}"))?;
    for &(number, ..) in &directors.all {
        directors.start(number, record).await?;
    }
    let list_delays = day.lists.unwrap_or_default();
    let from_ms = |value: Option<f64>| Duration::from_secs_f64(value.unwrap_or(0.0) / 1e3);
    let context = Arc::new(PlayContext {
        fleet,
        directors,
        lists,
        log: log.clone(),
        notice: from_ms(list_delays.notice_ms),
        silent_notice: from_ms(list_delays.silent_notice_ms),
    });

    let day_start = Instant::now();
    let stall_monitor = StallMonitor::start();
    if let Some(net) = &net {
        net.start_faults(context.directors.clone(), &day.fault, day_start);
    }
    let media = Arc::new(MediaCounters::default());
    let mut troubles = JoinSet::new();
    for trouble in &day.trouble {
        troubles.spawn(trouble::run(context.clone(), trouble.clone(), day_start, record));
    }
    let scripts = viewer_scripts(day, &settings, &headend, &context.directors, &director_addresses);
    let viewer_count = scripts.len();
    let mut viewers = JoinSet::new();
    let mut last_progress = day_start;
    let mut memory = MemorySamples::default();
    let mut show_progress = |present: usize| {
        if !quiet && last_progress.elapsed() >= Duration::from_secs(5) {
            last_progress = Instant::now();
            progress(day_start.elapsed(), &judge_log(&plan, &log), present);
        }
    };
    for (at, script) in scripts {
        tokio::time::sleep_until(day_start + at).await;
        memory.sample(&context.directors, day_start.elapsed());
        viewers.spawn(viewer::run(script, log.clone(), media.clone()));
        show_progress(viewers.len());
    }
    while viewers.join_next().await.is_some() {
        show_progress(viewers.len());
    }
    while let Some(result) = troubles.join_next().await {
        result.map_err(|e| e.to_string())??;
    }
    let faults_started = net.as_ref().map_or(Vec::new(), |net| net.finish());
    let drain_timeout = settings.rtsp.drain_timeout + Duration::from_secs(2);
    let clean_exit = context.directors.stop(drain_timeout).await;
    let orphans = wait_for_sessions_to_end(&context.fleet).await;
    let orphaned_s = context.fleet.nodes.iter().map(|node| node.orphaned_time().as_secs_f64()).sum();
    let mut plan = plan;
    if let Some(shared) = &mut plan.fleet_limits {
        shared.longest_stall = stall_monitor.longest_ms();
    }
    let verdict = judge_log(&plan, &log);
    if !quiet {
        println!("{viewer_count} viewers in {:.1} s", day_start.elapsed().as_secs_f64());
    }
    let (setup_times, memory) = (setup_time_summary(&log), memory.summary());
    Ok(PlayResult { verdict, media, orphans, orphaned_s, setup_times, memory, clean_exit, faults_started })
}

/// Measures the longest time for which this process was not scheduled: recorded times can be late by that
/// much.
struct StallMonitor(Arc<std::sync::atomic::AtomicU64>, tokio::task::JoinHandle<()>);

impl StallMonitor {
    fn start() -> StallMonitor {
        let longest = Arc::new(std::sync::atomic::AtomicU64::new(0));
        let longest_seen = longest.clone();
        let task = tokio::spawn(async move {
            let interval = Duration::from_millis(5);
            loop {
                let from = Instant::now();
                tokio::time::sleep(interval).await;
                let delay_ms = from.elapsed().saturating_sub(interval).as_millis() as u64;
                longest_seen.fetch_max(delay_ms, std::sync::atomic::Ordering::Relaxed);
            }
        });
        StallMonitor(longest, task)
    }

    fn longest_ms(&self) -> f64 {
        self.1.abort();
        self.0.load(std::sync::atomic::Ordering::Relaxed) as f64
    }
}

/// Resident memory of the first director in kB, sampled once a second with the time in seconds.
#[derive(Default)]
struct MemorySamples(Vec<(u64, f64)>);

impl MemorySamples {
    fn sample(&mut self, directors: &Directors, at: Duration) {
        if self.0.last().is_none_or(|(last, _)| *last < at.as_secs())
            && let Some(Ok((_, kb))) = directors.pid(0).map(crate::measure::process_usage)
        {
            self.0.push((at.as_secs(), kb));
        }
    }

    /// The samples at the ends of the three thirds of the day; without a leak the last two are alike.
    fn summary(&self) -> String {
        let sample_at = |part: usize| self.0.get((self.0.len() * part / 3).max(1) - 1);
        let format_sample =
            |part| sample_at(part).map_or(String::new(), |(s, kb)| format!("{kb:.0} kB after {s} s"));
        [1, 2, 3].map(format_sample).join(", ")
    }
}

/// Summary of the times from SETUP to 200.
fn setup_time_summary(log: &TrafficRecorder) -> String {
    let mut sent = std::collections::HashMap::new();
    let mut times = hdrhistogram::Histogram::<u64>::new(3).ok();
    for entry in log.events() {
        match entry.kind {
            EventKind::RequestSent { viewer, attempt, .. } => drop(sent.insert((viewer, attempt), entry.at)),
            EventKind::ResponseReceived { viewer, attempt, status: 200 } => {
                if let (Some(at), Some(times)) = (sent.remove(&(viewer, attempt)), &mut times) {
                    let _ = times.record(((entry.at - at) * 1e3).max(0.0) as u64);
                }
            }
            _ => {}
        }
    }
    times.map_or(String::new(), |t| {
        let quantile_ms = |quantile| t.value_at_quantile(quantile) as f64 / 1e3;
        format!(
            "{} answered 200; ms median {:.2}, p90 {:.2}, p99 {:.2}, most {:.1}",
            t.len(),
            quantile_ms(0.5),
            quantile_ms(0.9),
            quantile_ms(0.99),
            quantile_ms(1.0)
        )
    })
}

/// Waits up to 7 s for the nodes to end all sessions and returns the number of sessions left.
async fn wait_for_sessions_to_end(fleet: &Fleet) -> usize {
    let held_sessions = || fleet.nodes.iter().map(|node| node.session_count()).sum::<usize>();
    // HLS sessions end by an idle timeout.
    for _ in 0..280 {
        if held_sessions() == 0 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    held_sessions()
}

fn progress(at: Duration, verdict: &RulesReport, present: usize) {
    let counts = verdict.findings.first().map_or("", |f| f.counts.as_str());
    println!("{:5.1} s  {present} viewers present; {counts}", at.as_secs_f64());
}

fn judge_log(plan: &RulesConfig, log: &TrafficRecorder) -> RulesReport {
    let mut events = log.events();
    events.sort_by(|a, b| a.at.total_cmp(&b.at));
    judge::check_rules(&TrafficRecord { config: plan.clone(), events })
}

/// A log for runs whose traffic is not judged.
pub fn unjudged_log(out: &Path) -> Result<TrafficRecorder, String> {
    let empty = RulesConfig {
        groups: Vec::new(),
        nodes: Vec::new(),
        drain_grace: 0.0,
        slow_start_initial_fraction: 0.0,
        slow_start_duration: 0.0,
        overload_multiple: 0.0,
        overload_window: 0.0,
        retry_budget: None,
        timing_tolerance: 0.0,
        fleet_limits: None,
    };
    TrafficRecorder::create(&out.join("traffic.jsonl"), &empty).map_err(|e| e.to_string())
}

/// Settings that all nodes share: uplink capacity of each rack and rate of each rung in kB/s, and the cold
/// start.
pub fn shared_node_settings(settings: &Settings) -> (Vec<f64>, Vec<f64>, SlowStart) {
    let config = &settings.director_config;
    let uplink = if config.uplink_kb_per_s > 0.0 { config.uplink_kb_per_s } else { f64::INFINITY };
    let cold_pace = SlowStart {
        initial_fraction: config.slow_start_initial_fraction,
        duration_s: config.slow_start_duration.as_ms() / 1e3,
        overload_multiple: config.overload_multiple,
        overload_window_s: config.overload_window.as_ms() / 1e3,
    };
    (vec![uplink; config.rack_count.into()], config.ladder.iter().map(|&(kb, _)| kb).collect(), cold_pace)
}

/// The nodes of a day, spread round-robin over zones and cells.
pub fn nodes(day: &Day, settings: &Settings) -> (Vec<NodeSpec>, Vec<NodeEntry>) {
    let config = &settings.director_config;
    let (mut specs, mut entries) = (Vec::new(), Vec::new());
    for nodes_of_kind in &day.nodes {
        let model =
            settings.names.models.iter().position(|m| Some(m) == nodes_of_kind.model.as_ref()).unwrap_or(0);
        for _ in 0..nodes_of_kind.count.unwrap_or(0) {
            let i = specs.len();
            let cell = (i % usize::from(config.cell_count)) as u16;
            let weight = nodes_of_kind.weight.unwrap_or(1.0);
            let name = format!("node-{i}");
            specs.push(NodeSpec {
                name: name.clone(),
                rack: usize::from(cell) % usize::from(config.rack_count),
                max_sessions: config.max_streams.get(model).map_or(1, |&p| p as usize),
                link_kb_per_s: weight * config.link_kb_per_s_per_weight,
                rejects_when_full: nodes_of_kind.guard.unwrap_or(false),
            });
            let zone = ZoneId((i % settings.names.zones.len()) as u8);
            let node_info =
                NodeInfo { zone, model: ModelId(model as u8), cell: CellId(cell), weight, started: None };
            let address: SocketAddr = ([127, 0, 0, 1], 0).into();
            entries.push(NodeEntry {
                name,
                address,
                http_address: None,
                id: None,
                info: node_info,
                state: NodeState::Ready,
            });
        }
    }
    (specs, entries)
}

/// The plan from which the judge checks the day's traffic.
fn judge_plan(day: &Day, settings: &Settings) -> RulesConfig {
    use ashglade::interface::{RetrySafety, RetryScope};
    let config = &settings.director_config;
    let groups = config.groups.iter().zip(&settings.group_names).map(|(group, name)| judge::ServiceGroup {
        name: name.clone(),
        utility: group.utility,
        start_target: group.start_target.as_ms(),
        retry_safety: match group.retry_safety {
            RetrySafety::Safe => judge::RetrySafety::Safe,
            RetrySafety::Dedup => judge::RetrySafety::Dedup,
            RetrySafety::Fragile => judge::RetrySafety::Fragile,
        },
        retry_scope: match group.retry_scope {
            RetryScope::Anywhere => judge::RetryScope::Anywhere,
            RetryScope::SameZone => judge::RetryScope::SameZone,
            RetryScope::SameCell => judge::RetryScope::SameCell,
        },
        retry_window: group.retry_window.as_ms(),
        floor_rung: group.floor_rung.0,
        seats: group.seats,
    });
    let (specs, entries) = nodes(day, settings);
    let nodes = specs.iter().zip(&entries).map(|(spec, entry)| judge::MediaNode {
        name: spec.name.clone(),
        max_sessions: spec.max_sessions as f64,
        zone: entry.info.zone.0,
        cell: entry.info.cell.0,
    });
    RulesConfig {
        groups: groups.collect(),
        nodes: nodes.collect(),
        drain_grace: day.drain_grace_ms.unwrap_or(0.0),
        slow_start_initial_fraction: config.slow_start_initial_fraction,
        slow_start_duration: config.slow_start_duration.as_ms(),
        overload_multiple: config.overload_multiple,
        overload_window: config.overload_window.as_ms(),
        retry_budget: config.retry_budget.map(|r| (r.base_retries, r.retries_per_session, r.window.as_ms())),
        timing_tolerance: day.slack_ms.unwrap_or(60.0),
        fleet_limits: shared_plan(settings),
    }
}

/// Settings of the state that directors share, for the judge; `None` if they share none.
fn shared_plan(settings: &Settings) -> Option<judge::FleetLimits> {
    let fleet_config = ashglade_peer_transport::fleet_config(settings)?;
    let voters = |home| fleet_config.voters(home).into_iter().map(|director| director as u16).collect();
    let repeats = settings.peering.as_ref()?.sharing.as_ref()?.retry_limit;
    Some(judge::FleetLimits {
        lease: fleet_config.lease.as_ms(),
        max_clock_drift: fleet_config.max_clock_drift,
        guard_interval: fleet_config.guard_interval.as_ms(),
        max_send_delay: ashglade_peer_transport::max_send_delay(settings).as_ms(),
        longest_stall: 0.0,
        voters: (0..fleet_config.director_count()).map(voters).collect(),
        retry_limit: repeats.map(|repeats| judge::RetryLimit {
            max_per_node: repeats.max_per_node,
            max_without_permit: repeats.reserved_per_director,
            window: repeats.window.as_ms(),
            pool: ashglade_peer_transport::RETRY_POOL as u8,
        }),
    })
}

/// The parties of a day, to resolve the names in its faults.
pub fn parties(day: &Day) -> Parties {
    Parties {
        zones: day.headend.as_ref().map_or_else(Vec::new, |headend| headend.zone.clone()),
        directors: day.directors.unwrap_or(1) as u16,
        nodes: day.nodes.iter().filter_map(|nodes| nodes.count).sum::<u32>() as usize,
    }
}

/// Scripts for the viewers on sockets, each with its arrival time.
fn viewer_scripts(
    day: &Day,
    settings: &Settings,
    headend: &ashglade_settings::schema::headend::Headend,
    directors: &Directors,
    director_addresses: &[(u16, SocketAddr)],
) -> Vec<(Duration, ViewerScript)> {
    let titles: Vec<&String> = headend.title.iter().filter_map(|t| t.name.as_ref()).collect();
    let script = |(id, arrival): (u64, Arrival)| {
        let title = titles.get(arrival.title).map_or_else(String::new, |title| title.to_string());
        let addresses = arrival.directors.iter().filter_map(|&d| director_addresses.get(usize::from(d)));
        let http = || arrival.directors.iter().map(|&d| (d, directors.hls_address(d))).collect();
        let script = ViewerScript {
            id,
            directors: addresses.copied().collect(),
            hls_directors: arrival.uses_hls.then(http),
            group: settings.group_names[arrival.group].clone(),
            tracks: settings.titles.get(&title).map_or(1, |t| t.tracks),
            title,
            top_rung: arrival.top_rung,
            setup_timeout: Duration::from_secs_f64(settings.setup_timeouts[arrival.group].as_ms() / 1e3),
            watch_duration: Duration::from_secs_f64(arrival.watch_s),
            abandon_after: arrival.leaves_after_s.map(Duration::from_secs_f64),
            max_retries: arrival.max_retries,
            retry_delay: Duration::from_secs_f64(arrival.retry_delay_s),
        };
        (Duration::from_secs_f64(arrival.at_s), script)
    };
    (0..).zip(arrivals::draw(day, settings)).map(script).collect()
}
