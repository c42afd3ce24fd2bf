//! Parses and validates headend settings, and converts them to the configuration of the policy, the engine,
//! the fronts and the peer transport.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use ashglade::ids::{CellId, GroupId, Rung, ZoneId};
use ashglade::interface::{self, DirectorConfig, LoadMetric, RetryBudget, RetryScope, ServiceGroup};
use ashglade::time::Span;

use crate::HeadendNames;
use crate::schema::headend as schema;
use crate::text_format::{self, ParsedFile, SettingsError};

/// A title: the cells that store it and its default service group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Title {
    /// Index of the title in the settings.
    pub id: u64,
    /// First of the consecutive cells that store the title.
    pub first_cell: CellId,
    /// Number of cells that store the title.
    pub cell_count: u16,
    /// Service group of viewers whose URL names none.
    pub group: Option<GroupId>,
    /// 1 for video only, 2 for video and audio.
    pub tracks: u8,
}

/// The realm of digest authentication, and pairs of user name and password.
pub type Users = (String, Vec<(String, String)>);

/// Configuration of the RTSP front.
#[derive(Clone, Debug)]
pub struct RtspSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Service group of viewers for whom neither the URL nor the title names one.
    pub default_group: GroupId,
    /// Maximum number of viewer connections.
    pub max_connections: usize,
    /// Time without a message after which a viewer's session ends.
    pub session_timeout: Duration,
    /// Time after which a connection whose peer accepts no data is closed.
    pub write_timeout: Duration,
    /// Timeout for connecting to a node.
    pub connect_timeout: Duration,
    /// Timeout for a node's response to a request of a playing session.
    pub answer_timeout: Duration,
    /// Maximum number of idle connections in the pool of each node.
    pub max_idle_connections: usize,
    /// Interval of keep-alive requests on a playing session's connection to its node.
    pub keep_alive_interval: Duration,
    /// Time that sessions have to end by themselves after the first stop signal.
    pub drain_timeout: Duration,
    /// Interval at which the node lists are read.
    pub list_poll_interval: Duration,
    /// RTP clock rates of video and audio, in ticks per second.
    pub clock_rates: [u32; 2],
    /// Users that may connect. `None` disables authentication.
    pub users: Option<Users>,
    /// RTSP URL, without trailing slashes, to which viewers are redirected while this director drains.
    pub redirect_url: Option<String>,
    /// Path of the session ledger, relative to the folder of the settings.
    pub ledger_path: Option<String>,
}

/// Configuration of the communication between directors.
#[derive(Clone)]
pub struct PeerSettings {
    /// Addresses of all directors, this one included, by director index.
    pub addresses: Vec<SocketAddr>,
    /// Shared secret that authenticates messages between directors.
    pub secret: String,
    /// Duration of a lease.
    pub lease_duration: Duration,
    /// Maximum clock drift, as a fraction of elapsed time.
    pub max_clock_drift: f64,
    /// Zone of each director, by director index; all 0 if the settings name none.
    pub zones: Vec<u8>,
    /// Maximum number of voters on each grant.
    pub max_voters: usize,
    /// Sharing of health reports and of the retry limit. `None` disables both.
    pub sharing: Option<SharingSettings>,
}

/// State that directors share in addition to the leases at slow-starting nodes.
#[derive(Clone, Debug)]
pub struct SharingSettings {
    /// Time after which a director's report on a node expires.
    pub report_ttl: Duration,
    /// Interval of gossip messages.
    pub gossip_interval: Duration,
    /// Maximum number of bytes that this director sends per second.
    pub max_bytes_per_second: f64,
    /// Fleet-wide limit of retries per node. `None` disables it.
    pub retry_limit: Option<RetryLimit>,
    /// Path of the status file, relative to the folder of the settings.
    pub status_path: Option<String>,
}

/// Limit of the retries (SETUPs after a session's first) that all directors together send to one node in a
/// window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Maximum number of retries per node in a window.
    pub max_per_node: usize,
    /// Number of these that each director reserves for itself and never lends.
    pub reserved_per_director: usize,
    /// Length of the window.
    pub window: Span,
}

impl std::fmt::Debug for PeerSettings {
    /// Omits secrets, which must not appear in logs.
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "Talk({:?})", self.addresses)
    }
}

/// Configuration of the HLS front.
#[derive(Clone)]
pub struct HlsSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Maximum number of viewer connections.
    pub max_connections: usize,
    /// Ids and secrets of the token keys. The first signs tokens; all of them verify.
    pub keys: Vec<(u8, String)>,
    /// Time after which a session must be requested anew, regardless of activity.
    pub token_lifetime: Duration,
}

impl std::fmt::Debug for HlsSettings {
    /// Omits secrets, which must not appear in logs.
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "Hls({}, {} keys)", self.listen, self.keys.len())
    }
}

/// Configuration of the admission queue.
#[derive(Clone, Debug)]
pub struct AdmissionSettings {
    /// Weight of each service group, by `GroupId`.
    pub group_weights: Vec<f64>,
    /// Maximum number of waiting requests.
    pub max_waiting: usize,
    /// Limit of concurrent session set-ups: initial, minimum, maximum.
    pub concurrency_limits: (f64, f64, f64),
    /// URL query parameter that identifies the client. `None` identifies clients by address.
    pub client_query: Option<String>,
    /// URL query parameter that names the tenant.
    pub tenant_query: Option<String>,
    /// HeadendNames and weights of the tenants. The first entry, with an empty name, stands for viewers of no
    /// listed tenant.
    pub tenants: Vec<(String, f64)>,
    /// Path of the status file, relative to the folder of the settings.
    pub status_path: Option<String>,
}

/// Validated headend settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Configuration of the policy.
    pub director_config: DirectorConfig,
    /// HeadendNames that node lists may refer to.
    pub names: HeadendNames,
    /// HeadendNames of the service groups, by `GroupId`.
    pub group_names: Vec<String>,
    /// Setup timeouts of the service groups, by `GroupId`.
    pub setup_timeouts: Vec<Span>,
    /// Titles by name.
    pub titles: BTreeMap<String, Title>,
    /// Part of the setup timeout that is reserved for the transmission of the response.
    pub answer_margin: Span,
    /// Timeout of a load probe.
    pub probe_timeout: Span,
    /// Maximum number of concurrent sessions, including those being set up.
    pub max_sessions: usize,
    /// Configuration of the RTSP front.
    pub rtsp: RtspSettings,
    /// Configuration of the admission queue. `None` disables it.
    pub admission: Option<AdmissionSettings>,
    /// Configuration of the HLS front. `None` disables it.
    pub hls: Option<HlsSettings>,
    /// Configuration of the communication with other directors. `None` disables it.
    pub peering: Option<PeerSettings>,
    /// Paths of the node lists, relative to the folder of the settings, in order of precedence.
    pub node_list_paths: Vec<String>,
    /// Path of the saved copy of the active node list, relative to the folder of the settings.
    pub saved_list_path: Option<String>,
    /// Time that a node list which leaves out many ready nodes must remain so before it is accepted.
    pub list_hold_period: Duration,
}

impl Settings {
    /// Returns the index of the highest rung of the ladder.
    pub fn top_rung(&self) -> u8 {
        (self.director_config.ladder.len() - 1) as u8
    }

    /// Returns the index of the named tenant in `tenants`, or 0 if there is none of that name.
    pub fn tenant_index(&self, requested: Option<&str>) -> usize {
        let tenants = self.admission.iter().flat_map(|admission| &admission.tenants).enumerate().skip(1);
        let mut matches = tenants.filter(|(_, (name, _))| Some(name.as_str()) == requested);
        matches.next().map_or(0, |(i, _)| i)
    }

    /// Returns the service group of a viewer: the one that its URL names, or else the title's, or else the
    /// default. Returns `None` if the URL names a group that doesn't exist, which is the viewer's error.
    pub fn resolve_group(&self, requested: Option<&str>, title: &Title) -> Option<GroupId> {
        match requested {
            Some(name) => self.group_names.iter().position(|known| known == name).map(GroupId),
            None => Some(title.group.unwrap_or(self.rtsp.default_group)),
        }
    }
}

/// Maximum number of zones, rungs, models and service groups, whose ids are bytes in the policy.
const MAX_BYTE_IDS: f64 = 255.0;
/// Maximum number of cells, whose ids have 16 bits in the policy.
const MAX_CELLS: f64 = 65_535.0;
/// Maximum of each time in the settings, in milliseconds: one day.
const MAX_TIME_MS: f64 = 86_400_000.0;

/// Parses and validates headend settings. `file` is the name that errors give.
///
/// # Errors
///
/// Returns the first error in the text, with its line and field.
pub fn parse_settings(file: &str, text: &str) -> Result<Settings, SettingsError> {
    let (message, source) =
        text_format::parse::<schema::Headend>(crate::SCHEMA, "ashglade.headend.Headend", file, text)?;
    let ms = |field: &str, value: Option<u32>, from: f64| -> Result<Span, SettingsError> {
        source.in_range(field, value.map(f64::from), from, MAX_TIME_MS).map(Span::from_ms)
    };
    let zones = message.zone.clone();
    check_count(&source, "zone", zones.len(), MAX_BYTE_IDS)?;
    check_count(&source, "rung", message.rung.len(), MAX_BYTE_IDS)?;
    check_count(&source, "model", message.model.len(), MAX_BYTE_IDS)?;
    check_count(&source, "group", message.group.len(), MAX_BYTE_IDS)?;
    check_count(&source, "title", message.title.len(), 1e7)?;
    check_distinct(&source, "zone", zones.iter().map(String::as_str))?;

    let mut max_streams = Vec::new();
    for (i, model) in message.model.iter().enumerate() {
        let field = |name: &str| format!("model[{i}].{name}");
        required_text(&source, &field("name"), &model.name)?;
        max_streams.push(source.in_range(&field("places"), model.places.map(f64::from), 1.0, 1e6)?);
    }
    let models: Vec<String> = message.model.iter().filter_map(|m| m.name.clone()).collect();
    check_distinct(&source, "model", models.iter().map(String::as_str))?;

    let mut ladder: Vec<(f64, f64)> = Vec::new();
    for (i, rung) in message.rung.iter().enumerate() {
        let field = |name: &str| format!("rung[{i}].{name}");
        let kb_per_s = source.in_range(&field("kb_per_s"), rung.kb_per_s, 1e-3, 1e9)?;
        let utility = source.in_range(&field("utility"), rung.utility, 0.0, 1.0)?;
        if let Some(&(lower_kb_per_s, lower_utility)) = ladder.last()
            && (kb_per_s <= lower_kb_per_s || utility < lower_utility)
        {
            return Err(source.error(
                &field("kb_per_s"),
                "rates of the ladder must increase from rung to rung, and utilities must not decrease",
            ));
        }
        ladder.push((kb_per_s, utility));
    }
    let top_rung = ladder.len() as f64 - 1.0;

    let (mut groups, mut setup_timeouts, mut group_names) = (Vec::new(), Vec::new(), Vec::new());
    for (i, group) in message.group.iter().enumerate() {
        let (service_group, timeout) = service_group(&source, i, group, top_rung)?;
        group_names.push(required_text(&source, &format!("group[{i}].name"), &group.name)?);
        groups.push(service_group);
        setup_timeouts.push(timeout);
    }
    check_distinct(&source, "group", group_names.iter().map(String::as_str))?;
    let margin = message.limits.as_ref().and_then(|l| l.answer_margin_ms);
    let answer_margin = ms("limits.answer_margin_ms", margin, 1.0)?;
    if let Some(i) = setup_timeouts.iter().position(|&timeout| timeout * 0.5 < answer_margin) {
        return Err(source.error(
            &format!("group[{i}].setup_timeout_ms"),
            "must be at least twice limits.answer_margin_ms; otherwise no request can be answered in time",
        ));
    }

    let links = source.required("links", message.links.as_ref())?;
    let cells = source.in_range("links.cells", links.cells.map(f64::from), 1.0, MAX_CELLS)?;
    let racks = source.in_range("links.racks", links.racks.map(f64::from), 1.0, cells)?;
    let mut titles = BTreeMap::new();
    for (i, title) in message.title.iter().enumerate() {
        let field = |name: &str| format!("title[{i}].{name}");
        let name = required_text(&source, &field("name"), &title.name)?;
        if name.contains(['/', '?', '#', ' ', '%']) {
            return Err(source
                .error(&field("name"), "must be a URL path segment without '/', '?', '#', '%' or spaces"));
        }
        let first_cell =
            source.in_range(&field("home"), Some(f64::from(title.home.unwrap_or(0))), 0.0, cells - 1.0)?;
        let cell_count =
            source.in_range(&field("copies"), Some(title.copies.map_or(cells, f64::from)), 1.0, cells)?
                as u16;
        let group = match &title.group {
            Some(group) => Some(GroupId(source.index_of(&field("group"), group, &group_names)?)),
            None => None,
        };
        let tracks =
            source.in_range(&field("tracks"), Some(f64::from(title.tracks.unwrap_or(1))), 1.0, 2.0)? as u8;
        let entry = Title { id: i as u64, first_cell: CellId(first_cell as u16), cell_count, group, tracks };
        if titles.insert(name.clone(), entry).is_some() {
            return Err(source.error(&field("name"), format!("{name:?} is listed twice")));
        }
    }

    let limits = source.required("limits", message.limits.as_ref())?;
    let max_setups =
        source.in_range("limits.setups_per_session", limits.setups_per_session.map(f64::from), 1.0, 100.0)?;
    let max_retry_after = match limits.max_retry_after_ms {
        Some(limit) => Some(ms("limits.max_retry_after_ms", Some(limit), 1.0)?),
        None => None,
    };
    let retry_budget = match &limits.ration {
        Some(budget) => Some(RetryBudget {
            base_retries: source.in_range("limits.ration.free", budget.free, 0.0, 1e9)?,
            retries_per_session: source.in_range(
                "limits.ration.per_session",
                budget.per_session,
                0.0,
                100.0,
            )?,
            window: ms("limits.ration.span_ms", budget.span_ms, 1.0)?,
        }),
        None => None,
    };
    let cold = source.required("cold", message.cold.as_ref())?;
    let reports = source.required("reports", message.reports.as_ref())?;
    let director = source.required("director", message.director.as_ref())?;
    let directors = source.in_range("director.directors", director.directors.map(f64::from), 1.0, 1e5)?;
    let director_index =
        source.in_range("director.number", director.number.map(f64::from), 0.0, directors - 1.0)?;
    let zone = required_text(&source, "director.zone", &director.zone)?;
    let zone = ZoneId(source.index_of("director.zone", &zone, &zones)? as u8);
    let probe_timeout = ms("reports.probe_timeout_ms", reports.probe_timeout_ms, 1.0)?;
    let may_probe = reports.may_probe.unwrap_or(false);
    let probe_cost = match (may_probe, reports.probe_price) {
        (false, cost) => cost.unwrap_or(0.0),
        (true, cost) => source.in_range("reports.probe_price", cost, 1e-9, 1.0)?,
    };

    let director_config = DirectorConfig {
        seed: source.required("director.seed", director.seed)?,
        zone,
        director_index: director_index as usize,
        director_count: directors as usize,
        groups,
        ladder,
        max_streams,
        cell_count: cells as u16,
        rack_count: racks as u16,
        link_kb_per_s_per_weight: source.in_range("links.unit_kb_per_s", links.unit_kb_per_s, 1e-3, 1e12)?,
        uplink_kb_per_s: source.in_range(
            "links.uplink_kb_per_s",
            Some(links.uplink_kb_per_s.unwrap_or(0.0)),
            0.0,
            1e12,
        )?,
        live_join_fraction: source.in_range("links.join", Some(links.join.unwrap_or(1.0)), 0.0, 1.0)?,
        // Nodes report saturation in their responses. The schema has no field for the link demand at which
        // they do so.
        full_link_demand: 0.0,
        worst_group_weight: 0.0,
        report_delay: ms("reports.notice_ms", reports.notice_ms, 0.0)?,
        // In the order in which the platform passes load values to the policy.
        load_metrics: vec![LoadMetric::Link, LoadMetric::Uplink, LoadMetric::Streams],
        probe_only: reports.probe_only.unwrap_or(false),
        may_probe,
        probe_cost,
        may_cancel: true,
        max_retry_after,
        max_setups_per_session: max_setups as usize,
        retry_budget,
        slow_start_initial_fraction: source.in_range("cold.from", cold.from, 1e-3, 1.0)?,
        slow_start_duration: ms("cold.warm_after_ms", cold.warm_after_ms, 1.0)?,
        overload_multiple: source.in_range("cold.fall_multiple", cold.fall_multiple, 0.1, 1e3)?,
        overload_window: ms("cold.fall_span_ms", cold.fall_span_ms, 1.0)?,
        node_list_max_age: None,
    };
    let rtsp = rtsp_settings(&source, source.required("front", message.front.as_ref())?, &group_names)?;
    let admission = match &message.door {
        Some(door) => Some(admission_settings(&source, door, &message.group)?),
        None => None,
    };
    let mut node_list_paths = vec![required_text(&source, "box_list", &message.box_list)?];
    node_list_paths.extend(message.more_box_list.iter().cloned());
    check_distinct(&source, "more_box_list", node_list_paths.iter().map(String::as_str))?;
    if message.kept_list.as_ref().is_some_and(|path| node_list_paths.contains(path)) {
        return Err(source.error("kept_list", "must differ from the node lists that are read"));
    }
    let hold_ms = Some(f64::from(message.list_hold_ms.unwrap_or(10_000)));
    let hold_ms = source.in_range("list_hold_ms", hold_ms, 0.0, MAX_TIME_MS)?;
    let hls = match &message.hls {
        Some(hls) => Some(hls_settings(&source, hls)?),
        None => None,
    };
    let peering = match &message.talk {
        Some(talk) => Some(peer_settings(&source, talk, directors as usize, &zones)?),
        None => None,
    };
    let most_sessions = limits.most_sessions.map(f64::from);
    Ok(Settings {
        names: HeadendNames { zones, models, cell_count: cells as u16, requires_http: hls.is_some() },
        group_names,
        setup_timeouts,
        titles,
        answer_margin,
        probe_timeout,
        max_sessions: source.in_range("limits.most_sessions", most_sessions, 1.0, 1e7)? as usize,
        rtsp,
        admission,
        hls,
        peering,
        node_list_paths,
        saved_list_path: message.kept_list.clone(),
        list_hold_period: Duration::from_secs_f64(hold_ms / 1e3),
        director_config,
    })
}

/// Validates the service group with index `i`. Returns it with its setup timeout.
fn service_group(
    source: &ParsedFile,
    i: usize,
    group: &schema::Group,
    top_rung: f64,
) -> Result<(ServiceGroup, Span), SettingsError> {
    let field = |name: &str| format!("group[{i}].{name}");
    let target =
        source.in_range(&field("start_target_ms"), group.start_target_ms.map(f64::from), 1.0, MAX_TIME_MS)?;
    let timeout = source.in_range(
        &field("setup_timeout_ms"),
        group.setup_timeout_ms.map(f64::from),
        target,
        MAX_TIME_MS,
    )?;
    let rung = |name: &str, value: Option<u32>, default: f64, from: f64| {
        source.in_range(&field(name), Some(value.map_or(default, f64::from)), from, top_rung)
    };
    let floor = rung("floor", group.floor, 0.0, 0.0)?;
    let top = rung("top", group.top, top_rung, floor)?;
    let retry_safety = match group.care() {
        schema::Care::Safe => interface::RetrySafety::Safe,
        schema::Care::Dedup => interface::RetrySafety::Dedup,
        schema::Care::Fragile => interface::RetrySafety::Fragile,
        schema::Care::Unset => {
            return Err(source.error(&field("care"), "is missing; expected SAFE, DEDUP or FRAGILE"));
        }
    };
    let retry_window = match retry_safety {
        interface::RetrySafety::Dedup => source.in_range(
            &field("repeat_window_ms"),
            group.repeat_window_ms.map(f64::from),
            1.0,
            MAX_TIME_MS,
        )?,
        _ => f64::from(group.repeat_window_ms.unwrap_or(0)),
    };
    let service_group = ServiceGroup {
        start_target: Span::from_ms(target),
        utility: source.in_range(&field("utility"), group.utility, 1e-6, 1e6)?,
        retry_safety,
        retry_scope: match group.reach() {
            schema::Reach::Anywhere => RetryScope::Anywhere,
            schema::Reach::SameZone => RetryScope::SameZone,
            schema::Reach::SameCell => RetryScope::SameCell,
        },
        retry_window: Span::from_ms(retry_window),
        live: group.live.unwrap_or(false),
        rate_scale: source.in_range(
            &field("rate_scale"),
            Some(group.rate_scale.unwrap_or(1.0)),
            1e-3,
            1e3,
        )?,
        floor_rung: Rung(floor as u8),
        top_rung: Rung(top as u8),
        seats: group.seats.unwrap_or(0) as usize,
    };
    Ok((service_group, Span::from_ms(timeout)))
}

/// Validates the settings of the communication between directors.
fn peer_settings(
    source: &ParsedFile,
    talk: &schema::Talk,
    directors: usize,
    zone_names: &[String],
) -> Result<PeerSettings, SettingsError> {
    let mut addresses = Vec::new();
    for (i, peer) in talk.peer.iter().enumerate() {
        let field = format!("talk.peer[{i}]");
        let address = peer.parse();
        let address = address.map_err(|_| {
            source.error(&field, format!("{peer:?} is not an address and port such as 127.0.0.1:7000"))
        })?;
        if addresses.contains(&address) {
            return Err(source.error(&field, format!("{peer:?} is listed twice")));
        }
        addresses.push(address);
    }
    if addresses.len() != directors {
        return Err(
            source.error("talk.peer", format!("has {} entries for {directors} directors", addresses.len()))
        );
    }
    let secret = required_text(source, "talk.secret", &talk.secret)?;
    if secret.len() < 16 {
        return Err(
            source.error("talk.secret", format!("has {} characters; at least 16 are required", secret.len()))
        );
    }
    let lease_ms = source.in_range("talk.lease_ms", talk.lease_ms.map(f64::from), 500.0, MAX_TIME_MS)?;
    let max_clock_drift = source.in_range("talk.drift", Some(talk.drift.unwrap_or(0.01)), 0.0, 0.5)?;
    let zone_id = |(i, zone): (usize, &String)| {
        source.index_of(&format!("talk.peer_zone[{i}]"), zone, zone_names).map(|zone| zone as u8)
    };
    let mut zones: Vec<u8> = talk.peer_zone.iter().enumerate().map(zone_id).collect::<Result<_, _>>()?;
    if zones.is_empty() {
        zones = vec![0; directors];
    }
    if zones.len() != directors {
        return Err(
            source.error("talk.peer_zone", format!("has {} entries for {directors} directors", zones.len()))
        );
    }
    let max_voters =
        source.in_range("talk.council", Some(f64::from(talk.council.unwrap_or(9))), 1.0, 99.0)?;
    let sharing = talk.share.as_ref().map(|share| sharing_settings(source, share, directors)).transpose()?;
    let lease_duration = Duration::from_secs_f64(lease_ms / 1e3);
    Ok(PeerSettings {
        addresses,
        secret,
        lease_duration,
        max_clock_drift,
        zones,
        max_voters: max_voters as usize,
        sharing,
    })
}

/// Validates the settings of the state that directors share.
fn sharing_settings(
    source: &ParsedFile,
    share: &schema::Share,
    directors: usize,
) -> Result<SharingSettings, SettingsError> {
    let ms = |field: &str, value: Option<u32>, default: f64, from: f64, to: f64| {
        let value = value.map_or(default, f64::from);
        source.in_range(field, Some(value), from, to).map(|ms| Duration::from_secs_f64(ms / 1e3))
    };
    let retry_limit = match &share.repeats {
        Some(repeats) => {
            let max_per_node = repeats.at_node.map(f64::from);
            let max_per_node =
                source.in_range("talk.share.repeats.at_node", max_per_node, 1.0, 10_000.0)? as usize;
            let window = source.in_range(
                "talk.share.repeats.span_ms",
                repeats.span_ms.map(f64::from),
                100.0,
                MAX_TIME_MS,
            )?;
            let reserved = repeats.kept.unwrap_or(0) as usize;
            if reserved.saturating_mul(directors) > max_per_node {
                let error = format!(
                    "{reserved} for each of {directors} directors exceeds at_node, which is {max_per_node}"
                );
                return Err(source.error("talk.share.repeats.kept", error));
            }
            Some(RetryLimit { max_per_node, reserved_per_director: reserved, window: Span::from_ms(window) })
        }
        None => None,
    };
    let max_bytes_per_second = Some(share.bytes_per_s.unwrap_or(65_536.0));
    Ok(SharingSettings {
        report_ttl: ms("talk.share.fade_ms", share.fade_ms, 10_000.0, 1000.0, 600_000.0)?,
        gossip_interval: ms("talk.share.gossip_ms", share.gossip_ms, 200.0, 20.0, 60_000.0)?,
        max_bytes_per_second: source.in_range("talk.share.bytes_per_s", max_bytes_per_second, 4096.0, 1e9)?,
        retry_limit,
        status_path: share.view.clone(),
    })
}

/// Validates the settings of the HLS front.
fn hls_settings(source: &ParsedFile, hls: &schema::Hls) -> Result<HlsSettings, SettingsError> {
    let listen = required_text(source, "hls.listen", &hls.listen)?;
    let listen = listen.parse().map_err(|_| {
        source.error("hls.listen", format!("{listen:?} is not an address and port such as 127.0.0.1:8080"))
    })?;
    let mut keys: Vec<(u8, String)> = Vec::new();
    check_count(source, "hls.key", hls.key.len(), 8.0)?;
    for (i, key) in hls.key.iter().enumerate() {
        let field = format!("hls.key[{i}].id");
        let id = source.in_range(&field, key.id.map(f64::from), 0.0, 255.0)? as u8;
        if keys.iter().any(|(other, _)| *other == id) {
            return Err(source.error(&field, format!("{id} is listed twice")));
        }
        let field = format!("hls.key[{i}].secret");
        let secret = required_text(source, &field, &key.secret)?;
        if secret.len() < 16 {
            return Err(
                source.error(&field, format!("has {} characters; at least 16 are required", secret.len()))
            );
        }
        keys.push((id, secret));
    }
    let token_lifetime =
        source.in_range("hls.token_life_s", hls.token_life_s.map(f64::from), 1.0, MAX_TIME_MS / 1e3)?;
    Ok(HlsSettings {
        listen,
        max_connections: source.in_range(
            "hls.most_connections",
            hls.most_connections.map(f64::from),
            1.0,
            1e6,
        )? as usize,
        keys,
        token_lifetime: Duration::from_secs_f64(token_lifetime),
    })
}

/// Validates the settings of the admission queue.
fn admission_settings(
    source: &ParsedFile,
    door: &schema::Door,
    groups: &[schema::Group],
) -> Result<AdmissionSettings, SettingsError> {
    let mut group_weights = Vec::new();
    for (i, group) in groups.iter().enumerate() {
        let share = Some(group.share.unwrap_or(1.0));
        group_weights.push(source.in_range(&format!("group[{i}].share"), share, 1e-3, 1e6)?);
    }
    let mut tenants = vec![(String::new(), 1.0)];
    for (i, tenant) in door.tenant.iter().enumerate() {
        let name = required_text(source, &format!("door.tenant[{i}].name"), &tenant.name)?;
        let share = source.in_range(&format!("door.tenant[{i}].share"), tenant.share, 1e-3, 1e6)?;
        tenants.push((name, share));
    }
    check_distinct(source, "door.tenant", door.tenant.iter().filter_map(|t| t.name.as_deref()))?;
    let count = |name: &str, value: Option<u32>, from: f64| {
        source.in_range(&format!("door.{name}"), value.map(f64::from), from, 1e6)
    };
    let least = count("least", door.least, 1.0)?;
    let first = count("first", door.first, least)?;
    Ok(AdmissionSettings {
        group_weights,
        max_waiting: count("most_waiting", door.most_waiting, 1.0)? as usize,
        concurrency_limits: (first, least, count("most", door.most, first)?),
        client_query: door.client_query.clone(),
        tenant_query: door.tenant_query.clone(),
        tenants,
        status_path: door.view.clone(),
    })
}

/// Validates the settings of the RTSP front.
fn rtsp_settings(
    source: &ParsedFile,
    front: &schema::Front,
    group_names: &[String],
) -> Result<RtspSettings, SettingsError> {
    let time = |name: &str, value: Option<u32>| -> Result<Duration, SettingsError> {
        let ms = source.in_range(&format!("front.{name}"), value.map(f64::from), 1.0, MAX_TIME_MS)?;
        Ok(Duration::from_secs_f64(ms / 1e3))
    };
    let count = |name: &str, value: Option<u32>, from: f64, to: f64| {
        source.in_range(&format!("front.{name}"), value.map(f64::from), from, to)
    };
    let listen = required_text(source, "front.listen", &front.listen)?;
    let listen = listen.parse().map_err(|_| {
        source.error("front.listen", format!("{listen:?} is not an address and port such as 127.0.0.1:8554"))
    })?;
    let default_group = required_text(source, "front.default_group", &front.default_group)?;
    Ok(RtspSettings {
        listen,
        default_group: GroupId(source.index_of("front.default_group", &default_group, group_names)?),
        max_connections: count("most_connections", front.most_connections, 1.0, 1e6)? as usize,
        session_timeout: Duration::from_secs(count(
            "session_timeout_s",
            front.session_timeout_s,
            1.0,
            86_400.0,
        )? as u64),
        write_timeout: time("write_timeout_ms", front.write_timeout_ms)?,
        connect_timeout: time("connect_timeout_ms", front.connect_timeout_ms)?,
        answer_timeout: time("answer_timeout_ms", front.answer_timeout_ms)?,
        max_idle_connections: count("idle_connections", front.idle_connections, 0.0, 1e4)? as usize,
        keep_alive_interval: time("keep_alive_ms", front.keep_alive_ms)?,
        drain_timeout: time("drain_ms", front.drain_ms)?,
        list_poll_interval: time("list_poll_ms", front.list_poll_ms)?,
        clock_rates: [
            count("clock_rate", Some(front.clock_rate.unwrap_or(90_000)), 1_000.0, 1e9)? as u32,
            count("audio_clock_rate", Some(front.audio_clock_rate.unwrap_or(48_000)), 1_000.0, 1e9)? as u32,
        ],
        users: users(source, front)?,
        redirect_url: match &front.redirect {
            Some(url) if url.starts_with("rtsp://") => Some(url.trim_end_matches('/').to_string()),
            Some(url) => {
                return Err(source.error("front.redirect", format!("{url:?} must start with rtsp://")));
            }
            None => None,
        },
        ledger_path: front.ledger.clone(),
    })
}

/// Validates the users and the realm. Returns `None` if there are no users.
fn users(source: &ParsedFile, front: &schema::Front) -> Result<Option<Users>, SettingsError> {
    if front.user.is_empty() {
        return Ok(None);
    }
    let realm = required_text(source, "front.realm", &front.realm)?;
    let mut users = Vec::new();
    for (i, user) in front.user.iter().enumerate() {
        let name = required_text(source, &format!("front.user[{i}].name"), &user.name)?;
        users.push((name, required_text(source, &format!("front.user[{i}].password"), &user.password)?));
    }
    check_distinct(source, "front.user", users.iter().map(|(name, _)| name.as_str()))?;
    if realm.contains('"') {
        return Err(source.error("front.realm", "must not contain quotation marks"));
    }
    Ok(Some((realm, users)))
}

/// Checks the number of entries of a repeated field, which must be from 1 to `max`.
fn check_count(source: &ParsedFile, field: &str, count: usize, max: f64) -> Result<(), SettingsError> {
    match count {
        0 => Err(source.error(field, "is missing; at least one is required")),
        n if n as f64 > max => {
            Err(source.error(field, format!("has {n} entries; at most {max} are allowed")))
        }
        _ => Ok(()),
    }
}

/// Returns the value of a required text field, which must not be empty.
pub(crate) fn required_text(
    source: &ParsedFile,
    field: &str,
    name: &Option<String>,
) -> Result<String, SettingsError> {
    let name = source.required(field, name.as_deref())?;
    if name.is_empty() { Err(source.error(field, "is empty")) } else { Ok(name.to_string()) }
}

/// Checks that no name occurs twice in a repeated field.
fn check_distinct<'a>(
    source: &ParsedFile,
    field: &str,
    names: impl Iterator<Item = &'a str>,
) -> Result<(), SettingsError> {
    let mut seen = std::collections::BTreeSet::new();
    for (i, name) in names.enumerate() {
        if !seen.insert(name) {
            return Err(source.error(&format!("{field}[{i}]"), format!("{name:?} is listed twice")));
        }
    }
    Ok(())
}
