//! Plays a day on loopback sockets: nodes and viewers in this process, each director in a process of its own.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use ashglade::ids::{CellId, ModelId, ZoneId};
use ashglade::interface::NodeInfo;
use ashglade_discovery::{NodeEntry, NodeState};
use ashglade_judge::{self as judge, Plan, Traffic, Verdict, What};
use ashglade_settings::Settings;
use ashglade_standin::node::ColdPace;
use ashglade_standin::viewer::{self, Media, Script};
use ashglade_standin::{Fleet, Log, Spec};
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::arrivals::{self, Arrival};
use crate::day::Day;
use crate::directors::Directors;
use crate::lists::Lists;
use crate::net::{Network, Parties, Party};
use crate::trouble;

/// The result of a day.
pub struct Played {
    /// The judge's verdict on the recorded traffic.
    pub verdict: Verdict,
    /// Counters of the media that viewers received.
    pub media: Arc<Media>,
    /// Number of sessions that nodes still held after all viewers and directors had ended.
    pub orphans: usize,
    /// Total time for which nodes held sessions without an owner, in seconds.
    pub orphaned: f64,
    /// Summary of the times from SETUP to 200, as viewers measured them.
    pub times: String,
    /// Summary of the first director's resident memory over the day.
    pub memory: String,
    /// Whether all directors exited successfully after SIGTERM.
    pub ended_well: bool,
    /// By fault between parties: whether it started.
    pub started: Vec<bool>,
}

/// The running parts of a day, shared by the tasks that cause troubles.
pub struct Stage {
    pub fleet: Arc<Fleet>,
    pub directors: Arc<Directors>,
    pub lists: Lists,
    pub log: Log,
    /// Delay after which the node lists show an announced change.
    pub notice: Duration,
    /// Delay after which the node lists show a process that ended without notice.
    pub silent_notice: Duration,
}

/// Options for playing a day.
#[derive(Clone, Debug, Default)]
pub struct How {
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
pub async fn play(day: &Day, out: &Path, how: &How) -> Result<Played, String> {
    let How { record, quiet, .. } = *how;
    std::fs::create_dir_all(out).map_err(|e| format!("{}: {e}", out.display()))?;
    let headend = day.headend.clone().unwrap_or_default();
    // Validates the settings as a director reads them, before anything starts.
    let nobody = |_| Some((0..day.directors.unwrap_or(1)).map(|d| format!("127.0.0.1:{}", d + 1)).collect());
    let probe = Directors::prepare(day, out, scratch(out)?, nobody)?;
    let path = probe.settings(0).ok_or("a day needs a director")?;
    let text = std::fs::read_to_string(&path).map_err(|e| e.to_string())?;
    let settings =
        ashglade_settings::settings(&path.display().to_string(), &text).map_err(|e| e.to_string())?;
    drop(probe);
    let plan = plan(day, &settings);
    let traffic = out.join("traffic.jsonl");
    let log = Log::create(&traffic, &plan).map_err(|e| format!("{}: {e}", traffic.display()))?;

    let (specs, entries) = nodes(day, &settings);
    let (uplinks, ladder, cold) = terms(&settings);
    let seed = day.seed.unwrap_or(0);
    let fleet = Fleet::start(specs, uplinks, ladder, cold, seed, log.clone()).await;
    let fleet = fleet.map_err(|e| format!("the nodes' listeners: {e}"))?;
    let entries = fleet.nodes.iter().zip(entries).map(|(node, entry)| NodeEntry {
        address: node.address,
        http_address: Some(node.http),
        ..entry
    });
    let entries: Vec<NodeEntry> = entries.collect();

    let trouble = |e: std::io::Error| format!("a relay: {e}");
    let net = if how.relayed {
        let secret = settings.talk.as_ref().map(|talk| talk.secret.as_str());
        let parties = parties(day);
        let net = Network::start(&day.fault, &parties, (seed, secret, record), log.clone());
        Some(net.await.map_err(trouble)?)
    } else {
        None
    };
    let peers = |director: u16| net.as_ref().map(|net| net.peers(director));
    let mut directors = Directors::prepare(day, out, log.clone(), peers)?;
    directors.defect.clone_from(&how.defect);
    let directors = Arc::new(directors);
    let mut of = Vec::new();
    let mut found: Vec<(u16, SocketAddr)> =
        directors.all.iter().map(|&(n, address, _)| (n, address)).collect();
    for (number, _, folder) in &directors.all {
        let mut entries = entries.clone();
        if let Some(net) = &net {
            for (n, entry) in entries.iter_mut().enumerate() {
                let path = net.open_relay(Party::Director(*number), Party::Node(n), entry.address);
                entry.address = path.await.map_err(trouble)?;
                (entry.http_address, entry.id) = (None, Some(entry.name.clone()));
            }
        }
        of.push((folder.clone(), entries));
    }
    if let Some(net) = &net {
        for (number, address) in &mut found {
            let path = net.open_relay(Party::Viewers, Party::Director(*number), *address);
            *address = path.await.map_err(trouble)?;
        }
    }
    let lists = Lists::new(settings.names.clone(), log.clone(), of);
    lists.write_all().map_err(|e| format!("the box lists: {e}"))?;
    for &(number, ..) in &directors.all {
        directors.start(number, record).await?;
    }
    let told = day.lists.unwrap_or_default();
    let ms = |value: Option<f64>| Duration::from_secs_f64(value.unwrap_or(0.0) / 1e3);
    let stage = Arc::new(Stage {
        fleet,
        directors,
        lists,
        log: log.clone(),
        notice: ms(told.notice_ms),
        silent_notice: ms(told.silent_notice_ms),
    });

    let begun = Instant::now();
    let stalls = Stalls::watch();
    if let Some(net) = &net {
        net.start_faults(stage.directors.clone(), &day.fault, begun);
    }
    let media = Arc::new(Media::default());
    let mut troubles = JoinSet::new();
    for trouble in &day.trouble {
        troubles.spawn(trouble::cause(stage.clone(), trouble.clone(), begun, record));
    }
    let scripts = scripts(day, &settings, &headend, &stage.directors, &found);
    let total = scripts.len();
    let mut viewers = JoinSet::new();
    let mut shown = begun;
    let mut memory = Memory::default();
    let mut show = |present: usize| {
        if !quiet && shown.elapsed() >= Duration::from_secs(5) {
            shown = Instant::now();
            progress(begun.elapsed(), &judged(&plan, &log), present);
        }
    };
    for (at, script) in scripts {
        tokio::time::sleep_until(begun + at).await;
        memory.look(&stage.directors, begun.elapsed());
        viewers.spawn(viewer::run(script, log.clone(), media.clone()));
        show(viewers.len());
    }
    while viewers.join_next().await.is_some() {
        show(viewers.len());
    }
    while let Some(caused) = troubles.join_next().await {
        caused.map_err(|e| e.to_string())??;
    }
    let started = net.as_ref().map_or(Vec::new(), |net| net.finish());
    let drain = settings.front.drain + Duration::from_secs(2);
    let ended_well = stage.directors.stop(drain).await;
    let orphans = settle(&stage.fleet).await;
    let orphaned = stage.fleet.nodes.iter().map(|node| node.orphaned().as_secs_f64()).sum();
    let mut plan = plan;
    if let Some(shared) = &mut plan.shared {
        shared.stalled = stalls.longest_ms();
    }
    let verdict = judged(&plan, &log);
    if !quiet {
        println!("{total} viewers in {:.1} s", begun.elapsed().as_secs_f64());
    }
    let (times, memory) = (times(&log), memory.text());
    Ok(Played { verdict, media, orphans, orphaned, times, memory, ended_well, started })
}

/// Measures the longest time for which this process was not scheduled: recorded times can be late by that much.
struct Stalls(Arc<std::sync::atomic::AtomicU64>, tokio::task::JoinHandle<()>);

impl Stalls {
    fn watch() -> Stalls {
        let longest = Arc::new(std::sync::atomic::AtomicU64::new(0));
        let seen = longest.clone();
        let watch = tokio::spawn(async move {
            let step = Duration::from_millis(5);
            loop {
                let from = Instant::now();
                tokio::time::sleep(step).await;
                let late = from.elapsed().saturating_sub(step).as_millis() as u64;
                seen.fetch_max(late, std::sync::atomic::Ordering::Relaxed);
            }
        });
        Stalls(longest, watch)
    }

    fn longest_ms(&self) -> f64 {
        self.1.abort();
        self.0.load(std::sync::atomic::Ordering::Relaxed) as f64
    }
}

/// Resident memory of the first director in kB, sampled once a second with the time in seconds.
#[derive(Default)]
struct Memory(Vec<(u64, f64)>);

impl Memory {
    fn look(&mut self, directors: &Directors, at: Duration) {
        if self.0.last().is_none_or(|(last, _)| *last < at.as_secs())
            && let Some(Ok((_, kb))) = directors.pid(0).map(crate::measure::usage)
        {
            self.0.push((at.as_secs(), kb));
        }
    }

    /// The samples at the ends of the three thirds of the day; without a leak the last two are alike.
    fn text(&self) -> String {
        let at = |part: usize| self.0.get((self.0.len() * part / 3).max(1) - 1);
        let one = |part| at(part).map_or(String::new(), |(s, kb)| format!("{kb:.0} kB after {s} s"));
        [1, 2, 3].map(one).join(", ")
    }
}

/// Summary of the times from SETUP to 200.
fn times(log: &Log) -> String {
    let mut asked = std::collections::HashMap::new();
    let mut times = hdrhistogram::Histogram::<u64>::new(3).ok();
    for sight in log.sights() {
        match sight.what {
            What::Asked { viewer, again, .. } => drop(asked.insert((viewer, again), sight.at)),
            What::Answered { viewer, again, status: 200 } => {
                if let (Some(at), Some(times)) = (asked.remove(&(viewer, again)), &mut times) {
                    let _ = times.record(((sight.at - at) * 1e3).max(0.0) as u64);
                }
            }
            _ => {}
        }
    }
    times.map_or(String::new(), |t| {
        let q = |q| t.value_at_quantile(q) as f64 / 1e3;
        format!(
            "{} answered 200; ms median {:.2}, p90 {:.2}, p99 {:.2}, most {:.1}",
            t.len(),
            q(0.5),
            q(0.9),
            q(0.99),
            q(1.0)
        )
    })
}

/// Waits up to 7 s for the nodes to end all sessions and returns the number of sessions left.
async fn settle(fleet: &Fleet) -> usize {
    let held = || fleet.nodes.iter().map(|node| node.held()).sum::<usize>();
    // HLS sessions end by an idle timeout.
    for _ in 0..280 {
        if held() == 0 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    held()
}

fn progress(at: Duration, verdict: &Verdict, present: usize) {
    let counts = verdict.findings.first().map_or("", |f| f.counts.as_str());
    println!("{:5.1} s  {present} viewers present; {counts}", at.as_secs_f64());
}

fn judged(plan: &Plan, log: &Log) -> Verdict {
    let mut sights = log.sights();
    sights.sort_by(|a, b| a.at.total_cmp(&b.at));
    judge::judge(&Traffic { plan: plan.clone(), sights })
}

/// A log for runs whose traffic is not judged.
pub fn scratch(out: &Path) -> Result<Log, String> {
    let empty = Plan {
        groups: Vec::new(),
        nodes: Vec::new(),
        drain_grace: 0.0,
        cold_from: 0.0,
        warm_after: 0.0,
        fall_multiple: 0.0,
        fall_span: 0.0,
        ration: None,
        slack: 0.0,
        shared: None,
    };
    Log::create(&out.join("traffic.jsonl"), &empty).map_err(|e| e.to_string())
}

/// Settings that all nodes share: uplink capacity of each rack and rate of each rung in kB/s, and the cold start.
pub fn terms(settings: &Settings) -> (Vec<f64>, Vec<f64>, ColdPace) {
    let head = &settings.headend;
    let uplink = if head.uplink_kb_per_s > 0.0 { head.uplink_kb_per_s } else { f64::INFINITY };
    let cold = ColdPace {
        from: head.slow_start_initial_fraction,
        warm_after: head.slow_start_duration.as_ms() / 1e3,
        multiple: head.overload_multiple,
        span: head.overload_window.as_ms() / 1e3,
    };
    (vec![uplink; head.rack_count.into()], head.ladder.iter().map(|&(kb, _)| kb).collect(), cold)
}

/// The nodes of a day, spread round-robin over zones and cells.
pub fn nodes(day: &Day, settings: &Settings) -> (Vec<Spec>, Vec<NodeEntry>) {
    let head = &settings.headend;
    let (mut specs, mut entries) = (Vec::new(), Vec::new());
    for kind in &day.nodes {
        let model = settings.names.models.iter().position(|m| Some(m) == kind.model.as_ref()).unwrap_or(0);
        for _ in 0..kind.count.unwrap_or(0) {
            let i = specs.len();
            let cell = (i % usize::from(head.cell_count)) as u16;
            let weight = kind.weight.unwrap_or(1.0);
            let name = format!("node-{i}");
            specs.push(Spec {
                name: name.clone(),
                rack: usize::from(cell) % usize::from(head.rack_count),
                places: head.max_streams.get(model).map_or(1, |&p| p as usize),
                link: weight * head.link_kb_per_s_per_weight,
                guard: kind.guard.unwrap_or(false),
            });
            let zone = ZoneId((i % settings.names.zones.len()) as u8);
            let place =
                NodeInfo { zone, model: ModelId(model as u8), cell: CellId(cell), weight, started: None };
            let address: SocketAddr = ([127, 0, 0, 1], 0).into();
            entries.push(NodeEntry {
                name,
                address,
                http_address: None,
                id: None,
                info: place,
                state: NodeState::Ready,
            });
        }
    }
    (specs, entries)
}

/// The plan from which the judge checks the day's traffic.
fn plan(day: &Day, settings: &Settings) -> Plan {
    use ashglade::interface::{RetrySafety, RetryScope};
    let head = &settings.headend;
    let groups = head.groups.iter().zip(&settings.group_names).map(|(group, name)| judge::Group {
        name: name.clone(),
        utility: group.utility,
        start_target: group.start_target.as_ms(),
        care: match group.retry_safety {
            RetrySafety::Safe => judge::Care::Safe,
            RetrySafety::Dedup => judge::Care::Dedup,
            RetrySafety::Fragile => judge::Care::Fragile,
        },
        reach: match group.retry_scope {
            RetryScope::Anywhere => judge::Reach::Anywhere,
            RetryScope::SameZone => judge::Reach::SameZone,
            RetryScope::SameCell => judge::Reach::SameCell,
        },
        repeat_window: group.retry_window.as_ms(),
        floor: group.floor_rung.0,
        seats: group.seats,
    });
    let (specs, entries) = nodes(day, settings);
    let nodes = specs.iter().zip(&entries).map(|(spec, entry)| judge::Node {
        name: spec.name.clone(),
        places: spec.places as f64,
        zone: entry.info.zone.0,
        cell: entry.info.cell.0,
    });
    Plan {
        groups: groups.collect(),
        nodes: nodes.collect(),
        drain_grace: day.drain_grace_ms.unwrap_or(0.0),
        cold_from: head.slow_start_initial_fraction,
        warm_after: head.slow_start_duration.as_ms(),
        fall_multiple: head.overload_multiple,
        fall_span: head.overload_window.as_ms(),
        ration: head.retry_budget.map(|r| (r.base_retries, r.retries_per_session, r.window.as_ms())),
        slack: day.slack_ms.unwrap_or(60.0),
        shared: shared(settings),
    }
}

/// Settings of the state that directors share, for the judge; `None` if they share none.
fn shared(settings: &Settings) -> Option<judge::Shared> {
    let terms = ashglade_peer_transport::fleet_config(settings)?;
    let council = |home| terms.voters(home).into_iter().map(|director| director as u16).collect();
    let repeats = settings.talk.as_ref()?.share.as_ref()?.repeats;
    Some(judge::Shared {
        lease: terms.lease.as_ms(),
        drift: terms.max_clock_drift,
        rest: terms.guard_interval.as_ms(),
        under_way: ashglade_peer_transport::max_send_delay(settings).as_ms(),
        stalled: 0.0,
        councils: (0..terms.director_count()).map(council).collect(),
        repeats: repeats.map(|repeats| judge::Repeats {
            at_node: repeats.at_node,
            kept: repeats.kept,
            span: repeats.span.as_ms(),
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
fn scripts(
    day: &Day,
    settings: &Settings,
    headend: &ashglade_settings::schema::headend::Headend,
    directors: &Directors,
    found: &[(u16, SocketAddr)],
) -> Vec<(Duration, Script)> {
    let titles: Vec<&String> = headend.title.iter().filter_map(|t| t.name.as_ref()).collect();
    let script = |(id, arrival): (u64, Arrival)| {
        let title = titles.get(arrival.title).map_or_else(String::new, |title| title.to_string());
        let addresses = arrival.directors.iter().filter_map(|&d| found.get(usize::from(d)));
        let http = || arrival.directors.iter().map(|&d| (d, directors.http(d))).collect();
        let script = Script {
            id,
            directors: addresses.copied().collect(),
            hls: arrival.uses_hls.then(http),
            group: settings.group_names[arrival.group].clone(),
            tracks: settings.titles.get(&title).map_or(1, |t| t.tracks),
            title,
            top: arrival.top_rung,
            setup_timeout: Duration::from_secs_f64(settings.setup_timeouts[arrival.group].as_ms() / 1e3),
            watch: Duration::from_secs_f64(arrival.watch_s),
            leaves_after: arrival.leaves_after_s.map(Duration::from_secs_f64),
            returns: arrival.max_retries,
            rejoin: Duration::from_secs_f64(arrival.retry_delay_s),
        };
        (Duration::from_secs_f64(arrival.at_s), script)
    };
    (0..).zip(arrivals::draw(day, settings)).map(script).collect()
}
