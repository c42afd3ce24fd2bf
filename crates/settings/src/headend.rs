//! Headend settings: checked, and turned into what the module and the shell read at start.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use ashglade::ids::{CellId, GroupId, Rung, ZoneId};
use ashglade::interface::{self, DirectorConfig, LoadMetric, RetryBudget, RetryScope, ServiceGroup};
use ashglade::time::Span;

use crate::Names;
use crate::schema::headend as schema;
use crate::text::{self, Source, Trouble};

/// Where a title is held, and for whom it is by default.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Title {
    pub id: u64,
    pub home: CellId,
    pub copies: u16,
    pub group: Option<GroupId>,
    /// 1 for video alone, 2 with audio.
    pub tracks: u8,
}

/// Realm, names and passwords.
pub type Users = (String, Vec<(String, String)>);

/// What the shell goes by.
#[derive(Clone, Debug)]
pub struct Front {
    pub listen: SocketAddr,
    pub default_group: GroupId,
    pub most_connections: usize,
    pub session_timeout: Duration,
    pub write_timeout: Duration,
    pub connect_timeout: Duration,
    pub answer_timeout: Duration,
    pub idle_connections: usize,
    pub keep_alive: Duration,
    pub drain: Duration,
    pub list_poll: Duration,
    /// RTP ticks a second of each track.
    pub clock_rates: [u32; 2],
    /// Those who may come in; all if none.
    pub users: Option<Users>,
    pub redirect: Option<String>,
    /// Path of the ledger, as written.
    pub ledger: Option<String>,
}

/// How directors talk to each other.
#[derive(Clone)]
pub struct Talk {
    /// By number, our own among them.
    pub peers: Vec<SocketAddr>,
    pub secret: String,
    pub lease: Duration,
    pub drift: f64,
    /// By number, their zones; all alike where none are named.
    pub zones: Vec<u8>,
    pub council: usize,
    pub share: Option<Share>,
}

/// What directors share besides turns at cold nodes.
#[derive(Clone, Debug)]
pub struct Share {
    pub fade: Duration,
    pub gossip: Duration,
    pub bytes_per_s: f64,
    pub repeats: Option<Repeats>,
    /// Path of the view, as written.
    pub view: Option<String>,
}

/// A bound over all directors on further SETUPs at one node within a span.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Repeats {
    pub at_node: usize,
    pub kept: usize,
    pub span: Span,
}

impl std::fmt::Debug for Talk {
    /// Secrets are in no log.
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "Talk({:?})", self.peers)
    }
}

/// The second front.
#[derive(Clone)]
pub struct Hls {
    pub listen: SocketAddr,
    pub most_connections: usize,
    /// Id and secret; the first signs.
    pub keys: Vec<(u8, String)>,
    pub token_life: Duration,
}

impl std::fmt::Debug for Hls {
    /// Secrets are in no log.
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "Hls({}, {} keys)", self.listen, self.keys.len())
    }
}

/// The fair door.
#[derive(Clone, Debug)]
pub struct Door {
    /// By service group.
    pub shares: Vec<f64>,
    pub most_waiting: usize,
    /// Set-ups in hand at once: at first, at least, at most.
    pub hands: (f64, f64, f64),
    pub client_query: Option<String>,
    /// The query element that names a tenant, and names and shares; those of others come first, without a name.
    pub tenant_query: Option<String>,
    pub tenants: Vec<(String, f64)>,
    /// Path of the view, as written.
    pub view: Option<String>,
}

#[derive(Clone, Debug)]
pub struct Settings {
    pub headend: DirectorConfig,
    pub names: Names,
    pub group_names: Vec<String>,
    pub setup_timeouts: Vec<Span>,
    pub titles: BTreeMap<String, Title>,
    pub answer_margin: Span,
    pub probe_timeout: Span,
    pub most_sessions: usize,
    pub front: Front,
    pub door: Option<Door>,
    pub hls: Option<Hls>,
    pub talk: Option<Talk>,
    /// Paths of the box lists, as written; the first goes before the others.
    pub box_lists: Vec<String>,
    pub kept_list: Option<String>,
    pub list_hold: Duration,
}

impl Settings {
    pub fn top_rung(&self) -> u8 {
        (self.headend.ladder.len() - 1) as u8
    }

    /// The tenant of that name, by its place in the settings; 0 for the others.
    pub fn tenant(&self, named: Option<&str>) -> usize {
        let tenants = self.door.iter().flat_map(|door| &door.tenants).enumerate().skip(1);
        let mut named = tenants.filter(|(_, (name, _))| Some(name.as_str()) == named);
        named.next().map_or(0, |(i, _)| i)
    }

    /// The service group of a viewer: that of the URL, else the title's, else the default one. One that the URL
    /// names and that does not exist is an error of the viewer's.
    pub fn group_of(&self, named: Option<&str>, title: &Title) -> Option<GroupId> {
        match named {
            Some(name) => self.group_names.iter().position(|known| known == name).map(GroupId),
            None => Some(title.group.unwrap_or(self.front.default_group)),
        }
    }
}

/// Most rungs, zones, cells, racks: what the ids of the module hold.
const MOST_SMALL: f64 = 255.0;
const MOST_CELLS: f64 = 65_535.0;
/// No time in the settings is longer than a day, in milliseconds.
const DAY: f64 = 86_400_000.0;

/// Reads and checks headend settings.
pub fn settings(file: &str, text: &str) -> Result<Settings, Trouble> {
    let (read, at) = text::read::<schema::Headend>(crate::SCHEMA, "ashglade.headend.Headend", file, text)?;
    let ms = |field: &str, value: Option<u32>, from: f64| -> Result<Span, Trouble> {
        at.within(field, value.map(f64::from), from, DAY).map(Span::from_ms)
    };
    let zones = read.zone.clone();
    some(&at, "zone", zones.len(), MOST_SMALL)?;
    some(&at, "rung", read.rung.len(), MOST_SMALL)?;
    some(&at, "model", read.model.len(), MOST_SMALL)?;
    some(&at, "group", read.group.len(), MOST_SMALL)?;
    some(&at, "title", read.title.len(), 1e7)?;
    distinct(&at, "zone", zones.iter().map(String::as_str))?;

    let mut places = Vec::new();
    for (i, model) in read.model.iter().enumerate() {
        let field = |name: &str| format!("model[{i}].{name}");
        named(&at, &field("name"), &model.name)?;
        places.push(at.within(&field("places"), model.places.map(f64::from), 1.0, 1e6)?);
    }
    let models: Vec<String> = read.model.iter().filter_map(|m| m.name.clone()).collect();
    distinct(&at, "model", models.iter().map(String::as_str))?;

    let mut ladder: Vec<(f64, f64)> = Vec::new();
    for (i, rung) in read.rung.iter().enumerate() {
        let field = |name: &str| format!("rung[{i}].{name}");
        let kb = at.within(&field("kb_per_s"), rung.kb_per_s, 1e-3, 1e9)?;
        let earns = at.within(&field("utility"), rung.utility, 0.0, 1.0)?;
        if let Some(&(below, earned)) = ladder.last()
            && (kb <= below || earns < earned)
        {
            return Err(at.trouble(&field("kb_per_s"), "the ladder must rise from rung to rung"));
        }
        ladder.push((kb, earns));
    }
    let highest = ladder.len() as f64 - 1.0;

    let (mut groups, mut setup_timeouts, mut group_names) = (Vec::new(), Vec::new(), Vec::new());
    for (i, g) in read.group.iter().enumerate() {
        let (group, timeout) = group(&at, i, g, highest)?;
        group_names.push(named(&at, &format!("group[{i}].name"), &g.name)?);
        groups.push(group);
        setup_timeouts.push(timeout);
    }
    distinct(&at, "group", group_names.iter().map(String::as_str))?;
    let margin = read.limits.as_ref().and_then(|l| l.answer_margin_ms);
    let answer_margin = ms("limits.answer_margin_ms", margin, 1.0)?;
    if let Some(i) = setup_timeouts.iter().position(|&timeout| timeout * 0.5 < answer_margin) {
        return Err(at.trouble(
            &format!("group[{i}].setup_timeout_ms"),
            "must be at least twice limits.answer_margin_ms, or no request could be answered in time",
        ));
    }

    let links = at.need("links", read.links.as_ref())?;
    let cells = at.within("links.cells", links.cells.map(f64::from), 1.0, MOST_CELLS)?;
    let racks = at.within("links.racks", links.racks.map(f64::from), 1.0, cells)?;
    let mut titles = BTreeMap::new();
    for (i, title) in read.title.iter().enumerate() {
        let field = |name: &str| format!("title[{i}].{name}");
        let name = named(&at, &field("name"), &title.name)?;
        if name.contains(['/', '?', '#', ' ', '%']) {
            return Err(at.trouble(&field("name"), "must be a plain part of a URL's path"));
        }
        let home = at.within(&field("home"), Some(f64::from(title.home.unwrap_or(0))), 0.0, cells - 1.0)?;
        let copies =
            at.within(&field("copies"), Some(title.copies.map_or(cells, f64::from)), 1.0, cells)? as u16;
        let group = match &title.group {
            Some(group) => Some(GroupId(at.one_of(&field("group"), group, &group_names)?)),
            None => None,
        };
        let tracks = at.within(&field("tracks"), Some(f64::from(title.tracks.unwrap_or(1))), 1.0, 2.0)? as u8;
        let held = Title { id: i as u64, home: CellId(home as u16), copies, group, tracks };
        if titles.insert(name.clone(), held).is_some() {
            return Err(at.trouble(&field("name"), format!("{name:?} is there twice")));
        }
    }

    let limits = at.need("limits", read.limits.as_ref())?;
    let tries =
        at.within("limits.setups_per_session", limits.setups_per_session.map(f64::from), 1.0, 100.0)?;
    let retry_after = match limits.max_retry_after_ms {
        Some(most) => Some(ms("limits.max_retry_after_ms", Some(most), 1.0)?),
        None => None,
    };
    let ration = match &limits.ration {
        Some(r) => Some(RetryBudget {
            base_retries: at.within("limits.ration.free", r.free, 0.0, 1e9)?,
            retries_per_session: at.within("limits.ration.per_session", r.per_session, 0.0, 100.0)?,
            window: ms("limits.ration.span_ms", r.span_ms, 1.0)?,
        }),
        None => None,
    };
    let cold = at.need("cold", read.cold.as_ref())?;
    let reports = at.need("reports", read.reports.as_ref())?;
    let director = at.need("director", read.director.as_ref())?;
    let directors = at.within("director.directors", director.directors.map(f64::from), 1.0, 1e5)?;
    let number = at.within("director.number", director.number.map(f64::from), 0.0, directors - 1.0)?;
    let zone = named(&at, "director.zone", &director.zone)?;
    let zone = ZoneId(at.one_of("director.zone", &zone, &zones)? as u8);
    let probe_timeout = ms("reports.probe_timeout_ms", reports.probe_timeout_ms, 1.0)?;
    let may_probe = reports.may_probe.unwrap_or(false);
    let probe_price = match (may_probe, reports.probe_price) {
        (false, price) => price.unwrap_or(0.0),
        (true, price) => at.within("reports.probe_price", price, 1e-9, 1.0)?,
    };

    let headend = DirectorConfig {
        seed: at.need("director.seed", director.seed)?,
        zone,
        director_index: number as usize,
        director_count: directors as usize,
        groups,
        ladder,
        max_streams: places,
        cell_count: cells as u16,
        rack_count: racks as u16,
        link_kb_per_s_per_weight: at.within("links.unit_kb_per_s", links.unit_kb_per_s, 1e-3, 1e12)?,
        uplink_kb_per_s: at.within(
            "links.uplink_kb_per_s",
            Some(links.uplink_kb_per_s.unwrap_or(0.0)),
            0.0,
            1e12,
        )?,
        live_join_fraction: at.within("links.join", Some(links.join.unwrap_or(1.0)), 0.0, 1.0)?,
        // A full node says so by its answer; of what its link is asked for then, the schema tells nothing.
        full_link_demand: 0.0,
        worst_group_weight: 0.0,
        report_delay: ms("reports.notice_ms", reports.notice_ms, 0.0)?,
        // In the order in which the shell hands figures on.
        load_metrics: vec![LoadMetric::Link, LoadMetric::Uplink, LoadMetric::Streams],
        probe_only: reports.probe_only.unwrap_or(false),
        may_probe,
        probe_cost: probe_price,
        may_cancel: true,
        max_retry_after: retry_after,
        max_setups_per_session: tries as usize,
        retry_budget: ration,
        slow_start_initial_fraction: at.within("cold.from", cold.from, 1e-3, 1.0)?,
        slow_start_duration: ms("cold.warm_after_ms", cold.warm_after_ms, 1.0)?,
        overload_multiple: at.within("cold.fall_multiple", cold.fall_multiple, 0.1, 1e3)?,
        overload_window: ms("cold.fall_span_ms", cold.fall_span_ms, 1.0)?,
        node_list_max_age: None,
    };
    let front = front(&at, at.need("front", read.front.as_ref())?, &group_names)?;
    let door = match &read.door {
        Some(door) => Some(self::door(&at, door, &read.group)?),
        None => None,
    };
    let mut box_lists = vec![named(&at, "box_list", &read.box_list)?];
    box_lists.extend(read.more_box_list.iter().cloned());
    distinct(&at, "more_box_list", box_lists.iter().map(String::as_str))?;
    if read.kept_list.as_ref().is_some_and(|kept| box_lists.contains(kept)) {
        return Err(at.trouble("kept_list", "is one of the lists that are read"));
    }
    let hold = Some(f64::from(read.list_hold_ms.unwrap_or(10_000)));
    let hold = at.within("list_hold_ms", hold, 0.0, DAY)?;
    let hls = match &read.hls {
        Some(hls) => Some(self::hls(&at, hls)?),
        None => None,
    };
    let talk = match &read.talk {
        Some(talk) => Some(self::talk(&at, talk, directors as usize, &zones)?),
        None => None,
    };
    let most = limits.most_sessions.map(f64::from);
    Ok(Settings {
        names: Names { zones, models, cells: cells as u16, http: hls.is_some() },
        group_names,
        setup_timeouts,
        titles,
        answer_margin,
        probe_timeout,
        most_sessions: at.within("limits.most_sessions", most, 1.0, 1e7)? as usize,
        front,
        door,
        hls,
        talk,
        box_lists,
        kept_list: read.kept_list.clone(),
        list_hold: Duration::from_secs_f64(hold / 1e3),
        headend,
    })
}

fn group(at: &Source, i: usize, g: &schema::Group, highest: f64) -> Result<(ServiceGroup, Span), Trouble> {
    let field = |name: &str| format!("group[{i}].{name}");
    let target = at.within(&field("start_target_ms"), g.start_target_ms.map(f64::from), 1.0, DAY)?;
    let timeout = at.within(&field("setup_timeout_ms"), g.setup_timeout_ms.map(f64::from), target, DAY)?;
    let rung = |name: &str, value: Option<u32>, left_out: f64, from: f64| {
        at.within(&field(name), Some(value.map_or(left_out, f64::from)), from, highest)
    };
    let floor = rung("floor", g.floor, 0.0, 0.0)?;
    let top = rung("top", g.top, highest, floor)?;
    let care = match g.care() {
        schema::Care::Safe => interface::RetrySafety::Safe,
        schema::Care::Dedup => interface::RetrySafety::Dedup,
        schema::Care::Fragile => interface::RetrySafety::Fragile,
        schema::Care::Unset => return Err(at.trouble(&field("care"), "is left out: SAFE, DEDUP or FRAGILE")),
    };
    let window = match care {
        interface::RetrySafety::Dedup => {
            at.within(&field("repeat_window_ms"), g.repeat_window_ms.map(f64::from), 1.0, DAY)?
        }
        _ => f64::from(g.repeat_window_ms.unwrap_or(0)),
    };
    let group = ServiceGroup {
        start_target: Span::from_ms(target),
        utility: at.within(&field("utility"), g.utility, 1e-6, 1e6)?,
        retry_safety: care,
        retry_scope: match g.reach() {
            schema::Reach::Anywhere => RetryScope::Anywhere,
            schema::Reach::SameZone => RetryScope::SameZone,
            schema::Reach::SameCell => RetryScope::SameCell,
        },
        retry_window: Span::from_ms(window),
        live: g.live.unwrap_or(false),
        rate_scale: at.within(&field("rate_scale"), Some(g.rate_scale.unwrap_or(1.0)), 1e-3, 1e3)?,
        floor_rung: Rung(floor as u8),
        top_rung: Rung(top as u8),
        seats: g.seats.unwrap_or(0) as usize,
    };
    Ok((group, Span::from_ms(timeout)))
}

fn talk(at: &Source, t: &schema::Talk, directors: usize, names: &[String]) -> Result<Talk, Trouble> {
    let mut peers = Vec::new();
    for (i, peer) in t.peer.iter().enumerate() {
        let field = format!("talk.peer[{i}]");
        let address = peer.parse();
        let address = address
            .map_err(|_| at.trouble(&field, format!("{peer:?} is no address and port, as 127.0.0.1:7000")))?;
        if peers.contains(&address) {
            return Err(at.trouble(&field, format!("{peer:?} is there twice")));
        }
        peers.push(address);
    }
    if peers.len() != directors {
        return Err(at.trouble("talk.peer", format!("names {} of {directors} directors", peers.len())));
    }
    let secret = named(at, "talk.secret", &t.secret)?;
    if secret.len() < 16 {
        return Err(
            at.trouble("talk.secret", format!("has {} characters; 16 at least are wanted", secret.len()))
        );
    }
    let lease = at.within("talk.lease_ms", t.lease_ms.map(f64::from), 500.0, DAY)?;
    let drift = at.within("talk.drift", Some(t.drift.unwrap_or(0.01)), 0.0, 0.5)?;
    let of_zone = |(i, zone): (usize, &String)| {
        at.one_of(&format!("talk.peer_zone[{i}]"), zone, names).map(|zone| zone as u8)
    };
    let mut zones: Vec<u8> = t.peer_zone.iter().enumerate().map(of_zone).collect::<Result<_, _>>()?;
    if zones.is_empty() {
        zones = vec![0; directors];
    }
    if zones.len() != directors {
        return Err(at.trouble("talk.peer_zone", format!("names {} of {directors} directors", zones.len())));
    }
    let council = at.within("talk.council", Some(f64::from(t.council.unwrap_or(9))), 1.0, 99.0)?;
    let share = t.share.as_ref().map(|share| self::share(at, share, directors)).transpose()?;
    let lease = Duration::from_secs_f64(lease / 1e3);
    Ok(Talk { peers, secret, lease, drift, zones, council: council as usize, share })
}

fn share(at: &Source, s: &schema::Share, directors: usize) -> Result<Share, Trouble> {
    let ms = |field: &str, value: Option<u32>, usual: f64, from: f64, to: f64| {
        let value = value.map_or(usual, f64::from);
        at.within(field, Some(value), from, to).map(|ms| Duration::from_secs_f64(ms / 1e3))
    };
    let repeats = match &s.repeats {
        Some(repeats) => {
            let most = repeats.at_node.map(f64::from);
            let at_node = at.within("talk.share.repeats.at_node", most, 1.0, 10_000.0)? as usize;
            let span = at.within("talk.share.repeats.span_ms", repeats.span_ms.map(f64::from), 100.0, DAY)?;
            let kept = repeats.kept.unwrap_or(0) as usize;
            if kept.saturating_mul(directors) > at_node {
                let what =
                    format!("{kept} for each of {directors} directors is more than at_node, {at_node}");
                return Err(at.trouble("talk.share.repeats.kept", what));
            }
            Some(Repeats { at_node, kept, span: Span::from_ms(span) })
        }
        None => None,
    };
    let bytes = Some(s.bytes_per_s.unwrap_or(65_536.0));
    Ok(Share {
        fade: ms("talk.share.fade_ms", s.fade_ms, 10_000.0, 1000.0, 600_000.0)?,
        gossip: ms("talk.share.gossip_ms", s.gossip_ms, 200.0, 20.0, 60_000.0)?,
        bytes_per_s: at.within("talk.share.bytes_per_s", bytes, 4096.0, 1e9)?,
        repeats,
        view: s.view.clone(),
    })
}

fn hls(at: &Source, h: &schema::Hls) -> Result<Hls, Trouble> {
    let listen = named(at, "hls.listen", &h.listen)?;
    let listen = listen.parse().map_err(|_| {
        at.trouble("hls.listen", format!("{listen:?} is no address and port, as 127.0.0.1:8080"))
    })?;
    let mut keys: Vec<(u8, String)> = Vec::new();
    some(at, "hls.key", h.key.len(), 8.0)?;
    for (i, key) in h.key.iter().enumerate() {
        let field = format!("hls.key[{i}].id");
        let id = at.within(&field, key.id.map(f64::from), 0.0, 255.0)? as u8;
        if keys.iter().any(|(other, _)| *other == id) {
            return Err(at.trouble(&field, format!("{id} is there twice")));
        }
        let field = format!("hls.key[{i}].secret");
        let secret = named(at, &field, &key.secret)?;
        if secret.len() < 16 {
            return Err(
                at.trouble(&field, format!("has {} characters; 16 at least are wanted", secret.len()))
            );
        }
        keys.push((id, secret));
    }
    let life = at.within("hls.token_life_s", h.token_life_s.map(f64::from), 1.0, DAY / 1e3)?;
    Ok(Hls {
        listen,
        most_connections: at.within("hls.most_connections", h.most_connections.map(f64::from), 1.0, 1e6)?
            as usize,
        keys,
        token_life: Duration::from_secs_f64(life),
    })
}

fn door(at: &Source, d: &schema::Door, groups: &[schema::Group]) -> Result<Door, Trouble> {
    let mut shares = Vec::new();
    for (i, group) in groups.iter().enumerate() {
        let share = Some(group.share.unwrap_or(1.0));
        shares.push(at.within(&format!("group[{i}].share"), share, 1e-3, 1e6)?);
    }
    let mut tenants = vec![(String::new(), 1.0)];
    for (i, tenant) in d.tenant.iter().enumerate() {
        let name = named(at, &format!("door.tenant[{i}].name"), &tenant.name)?;
        let share = at.within(&format!("door.tenant[{i}].share"), tenant.share, 1e-3, 1e6)?;
        tenants.push((name, share));
    }
    distinct(at, "door.tenant", d.tenant.iter().filter_map(|t| t.name.as_deref()))?;
    let count = |name: &str, value: Option<u32>, from: f64| {
        at.within(&format!("door.{name}"), value.map(f64::from), from, 1e6)
    };
    let least = count("least", d.least, 1.0)?;
    let first = count("first", d.first, least)?;
    Ok(Door {
        shares,
        most_waiting: count("most_waiting", d.most_waiting, 1.0)? as usize,
        hands: (first, least, count("most", d.most, first)?),
        client_query: d.client_query.clone(),
        tenant_query: d.tenant_query.clone(),
        tenants,
        view: d.view.clone(),
    })
}

fn front(at: &Source, f: &schema::Front, groups: &[String]) -> Result<Front, Trouble> {
    let time = |name: &str, value: Option<u32>| -> Result<Duration, Trouble> {
        let ms = at.within(&format!("front.{name}"), value.map(f64::from), 1.0, DAY)?;
        Ok(Duration::from_secs_f64(ms / 1e3))
    };
    let count = |name: &str, value: Option<u32>, from: f64, to: f64| {
        at.within(&format!("front.{name}"), value.map(f64::from), from, to)
    };
    let listen = named(at, "front.listen", &f.listen)?;
    let listen = listen.parse().map_err(|_| {
        at.trouble("front.listen", format!("{listen:?} is no address and port, as 127.0.0.1:8554"))
    })?;
    let default = named(at, "front.default_group", &f.default_group)?;
    Ok(Front {
        listen,
        default_group: GroupId(at.one_of("front.default_group", &default, groups)?),
        most_connections: count("most_connections", f.most_connections, 1.0, 1e6)? as usize,
        session_timeout: Duration::from_secs(
            count("session_timeout_s", f.session_timeout_s, 1.0, 86_400.0)? as u64
        ),
        write_timeout: time("write_timeout_ms", f.write_timeout_ms)?,
        connect_timeout: time("connect_timeout_ms", f.connect_timeout_ms)?,
        answer_timeout: time("answer_timeout_ms", f.answer_timeout_ms)?,
        idle_connections: count("idle_connections", f.idle_connections, 0.0, 1e4)? as usize,
        keep_alive: time("keep_alive_ms", f.keep_alive_ms)?,
        drain: time("drain_ms", f.drain_ms)?,
        list_poll: time("list_poll_ms", f.list_poll_ms)?,
        clock_rates: [
            count("clock_rate", Some(f.clock_rate.unwrap_or(90_000)), 1_000.0, 1e9)? as u32,
            count("audio_clock_rate", Some(f.audio_clock_rate.unwrap_or(48_000)), 1_000.0, 1e9)? as u32,
        ],
        users: users(at, f)?,
        redirect: match &f.redirect {
            Some(to) if to.starts_with("rtsp://") => Some(to.trim_end_matches('/').to_string()),
            Some(to) => {
                return Err(at.trouble("front.redirect", format!("{to:?} does not begin with rtsp://")));
            }
            None => None,
        },
        ledger: f.ledger.clone(),
    })
}

fn users(at: &Source, f: &schema::Front) -> Result<Option<Users>, Trouble> {
    if f.user.is_empty() {
        return Ok(None);
    }
    let realm = named(at, "front.realm", &f.realm)?;
    let mut users = Vec::new();
    for (i, user) in f.user.iter().enumerate() {
        let name = named(at, &format!("front.user[{i}].name"), &user.name)?;
        users.push((name, named(at, &format!("front.user[{i}].password"), &user.password)?));
    }
    distinct(at, "front.user", users.iter().map(|(name, _)| name.as_str()))?;
    if realm.contains('"') {
        return Err(at.trouble("front.realm", "must not hold quotes"));
    }
    Ok(Some((realm, users)))
}

fn some(at: &Source, field: &str, count: usize, most: f64) -> Result<(), Trouble> {
    match count {
        0 => Err(at.trouble(field, "is left out; one at least is wanted")),
        n if n as f64 > most => Err(at.trouble(field, format!("{n} of them; {most} at most"))),
        _ => Ok(()),
    }
}

pub(crate) fn named(at: &Source, field: &str, name: &Option<String>) -> Result<String, Trouble> {
    let name = at.need(field, name.as_deref())?;
    if name.is_empty() { Err(at.trouble(field, "is empty")) } else { Ok(name.to_string()) }
}

fn distinct<'a>(at: &Source, field: &str, names: impl Iterator<Item = &'a str>) -> Result<(), Trouble> {
    let mut seen = std::collections::BTreeSet::new();
    for (i, name) in names.enumerate() {
        if !seen.insert(name) {
            return Err(at.trouble(&format!("{field}[{i}]"), format!("{name:?} is there twice")));
        }
    }
    Ok(())
}
