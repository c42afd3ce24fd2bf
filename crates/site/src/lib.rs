//! Reads the settings object that simulator and platform alike hand to a director: into what the module is told at
//! start, and into the names and limits that a front needs. Nothing here decides.

use ashglade::ids::{Rung, Zone};
use ashglade::interface::{Care, Gauge, Headend, Ration, Reach, ServiceGroup};
use ashglade::time::Span;
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Conf {
    balancers: f64,
    #[serde(default)]
    discovery: Option<String>,
    family_info: Family,
    #[serde(default)]
    fees: Fees,
    limits: Limits,
    #[serde(default)]
    my_number: f64,
    my_zone: f64,
    rules: Rules,
    services: Vec<Service>,
    #[serde(default)]
    telemetry: Telemetry,
    #[serde(default)]
    azs: Vec<String>,
    #[serde(default)]
    host_types: Vec<String>,
    #[serde(default)]
    tenants: Vec<Tenant>,
}

#[derive(Deserialize)]
struct Tenant {
    name: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Family {
    #[serde(default)]
    class_live: Vec<bool>,
    #[serde(default)]
    class_scale: Vec<f64>,
    #[serde(default)]
    class_seats: Vec<f64>,
    #[serde(default)]
    floor_by_class: Vec<f64>,
    #[serde(default)]
    highest_rung: Vec<f64>,
    #[serde(default)]
    groups: Option<f64>,
    #[serde(default)]
    join_adds: Option<f64>,
    #[serde(default)]
    kind_streams: Vec<f64>,
    ladder_kb: Vec<f64>,
    level_worth: Vec<f64>,
    link_unit_kb: f64,
    positions: f64,
    #[serde(default)]
    see: f64,
    #[serde(default)]
    uplink_kb: f64,
}

#[derive(Default, Deserialize)]
struct Fees {
    #[serde(default)]
    probe: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Limits {
    #[serde(default)]
    cancelling: bool,
    #[serde(default)]
    max_retry_after: f64,
    most_tries: f64,
    #[serde(default)]
    probing: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    max_streams: Option<f64>,
    #[serde(default)]
    dial_timeout: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Rules {
    #[serde(default)]
    ask_within: f64,
    fall: f64,
    fall_multiple: f64,
    start_capacity: f64,
    warm_after: f64,
    extra_free: Option<f64>,
    extra_per_request: Option<f64>,
    resend_span: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Service {
    #[serde(default)]
    name: String,
    aim: f64,
    #[serde(default)]
    deadline: Option<f64>,
    credit: f64,
    effect: String,
    #[serde(default)]
    group: Option<String>,
    #[serde(default)]
    repeat_window: f64,
}

#[derive(Default, Deserialize)]
struct Telemetry {
    #[serde(default)]
    fields: Vec<String>,
    #[serde(default)]
    via: String,
}

/// All that is read from the settings.
#[derive(Clone, Debug)]
pub struct Site {
    pub headend: Headend,
    pub names: Names,
    /// By service group: the longest time that a viewer waits for an answer, where told.
    pub setup_timeouts: Vec<Option<Span>>,
    /// SETUPs on one connection at once, where told.
    pub streams: Option<usize>,
    /// A connection that isn't up by then doesn't come up.
    pub dial_timeout: Span,
}

/// What the settings name; an id is a name's place in its list.
#[derive(Clone, Debug, Default)]
pub struct Names {
    pub groups: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub models: Vec<String>,
}

/// The field at fault and what is wrong with it.
pub fn field(error: &serde_path_to_error::Error<serde_json::Error>) -> String {
    match error.path().to_string().as_str() {
        "." => error.inner().to_string(),
        path => format!("{path}: {}", error.inner()),
    }
}

/// A name's place in its list.
pub fn place(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

const DIAL_TIMEOUT_MS: f64 = 250.0;

pub fn read(seed: u64, text: &[u8]) -> Result<Site, String> {
    let json = &mut serde_json::Deserializer::from_slice(text);
    let conf: Conf =
        serde_path_to_error::deserialize(json).map_err(|e| format!("settings: {}", field(&e)))?;
    let headend = headend(seed, &conf)?;
    let limits = &conf.limits;
    Ok(Site {
        headend,
        setup_timeouts: conf.services.iter().map(|s| s.deadline.map(Span::from_ms)).collect(),
        streams: limits.max_streams.map(|most| (most as usize).max(1)),
        dial_timeout: Span::from_ms(limits.dial_timeout.unwrap_or(DIAL_TIMEOUT_MS)),
        names: Names {
            groups: conf.services.into_iter().map(|s| s.name).collect(),
            tenants: conf.tenants.into_iter().map(|t| t.name).collect(),
            zones: conf.azs,
            models: conf.host_types,
        },
    })
}

fn headend(seed: u64, conf: &Conf) -> Result<Headend, String> {
    let family = &conf.family_info;
    if family.ladder_kb.is_empty() || family.level_worth.len() != family.ladder_kb.len() {
        return Err(
            "settings: ladderKb and levelWorth must have as many rungs as each other, one at least".into()
        );
    }
    let groups = conf.services.iter().enumerate();
    let groups = groups.map(|(i, service)| group(i, service, family)).collect::<Result<Vec<_>, _>>()?;
    let rules = &conf.rules;
    let ration = rules.resend_span.map(|span| Ration {
        free: rules.extra_free.unwrap_or(0.0),
        per_session: rules.extra_per_request.unwrap_or(0.0),
        span: Span::from_ms(span),
    });
    Ok(Headend {
        seed,
        zone: Zone(conf.my_zone as u8),
        me: conf.my_number as usize,
        directors: conf.balancers as usize,
        groups,
        ladder: family.ladder_kb.iter().copied().zip(family.level_worth.iter().copied()).collect(),
        places: family.kind_streams.clone(),
        cells: family.positions as u16,
        racks: family.groups.unwrap_or(1.0) as u16,
        link_unit: family.link_unit_kb,
        uplink: family.uplink_kb,
        join: family.join_adds.unwrap_or(1.0),
        notice: Span::from_ms(family.see),
        gauges: conf.telemetry.fields.iter().map(|name| gauge(name)).collect(),
        probe_only: conf.telemetry.via == "pull",
        may_probe: conf.limits.probing,
        probe_price: conf.fees.probe,
        may_cancel: conf.limits.cancelling,
        retry_after: conf.limits.retry_after.then(|| Span::from_ms(conf.limits.max_retry_after)),
        setups_per_session: conf.limits.most_tries as usize,
        ration,
        cold_from: rules.start_capacity,
        warm_after: Span::from_ms(rules.warm_after),
        fall_multiple: rules.fall_multiple,
        fall_span: Span::from_ms(rules.fall),
        ask_list_within: (conf.discovery.as_deref() == Some("on_request"))
            .then(|| Span::from_ms(rules.ask_within)),
    })
}

fn group(i: usize, service: &Service, family: &Family) -> Result<ServiceGroup, String> {
    let highest = (family.ladder_kb.len() - 1) as f64;
    let of = |list: &[f64], left_out: f64| list.get(i).copied().unwrap_or(left_out);
    if of(&family.floor_by_class, 0.0) > highest {
        return Err(format!("settings: the floor of service {i} is above the ladder"));
    }
    Ok(ServiceGroup {
        start_target: Span::from_ms(service.aim),
        utility: service.credit,
        care: match service.effect.as_str() {
            "retryable" => Care::Safe,
            "dedup" => Care::Dedup,
            "fragile" => Care::Fragile,
            other => return Err(format!("settings: unknown effect {other:?}")),
        },
        reach: match service.group.as_deref() {
            None | Some("all") => Reach::Anywhere,
            Some("zone") => Reach::SameZone,
            _ => Reach::SameCell,
        },
        repeat_window: Span::from_ms(service.repeat_window),
        live: family.class_live.get(i).copied().unwrap_or(false),
        scale: of(&family.class_scale, 1.0),
        floor: Rung(of(&family.floor_by_class, 0.0) as u8),
        top: Rung(of(&family.highest_rung, highest).min(highest) as u8),
        seats: of(&family.class_seats, 0.0) as usize,
    })
}

/// What a figure of a load report tells, by its name.
pub fn gauge(name: &str) -> Gauge {
    match name {
        "inflight" => Gauge::Streams,
        "util" | "x0" => Gauge::Link,
        "x1" => Gauge::Uplink,
        _ => Gauge::Other,
    }
}
