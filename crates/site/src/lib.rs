//! Reads the settings object that simulator and platform alike hand to a director: into what the module is told at
//! start, and into the names and limits that a front needs. A value that can't be, or that nobody here knows, ends the
//! reading with the field's name; settings that nothing here asks for are passed over. Nothing here decides.

mod bounds;

use ashglade::ids::{Rung, ZoneId};
use ashglade::interface::{DirectorConfig, LoadMetric, RetryBudget, RetrySafety, RetryScope, ServiceGroup};
use ashglade::time::Span;
use serde::Deserialize;

use crate::bounds::{Above0, From0, Part, Whole};

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Conf {
    balancers: Whole<1>,
    #[serde(default)]
    discovery: Discovery,
    family_info: Family,
    #[serde(default)]
    fees: Fees,
    #[serde(default)]
    goal: Goal,
    limits: Limits,
    #[serde(default)]
    my_number: Whole,
    my_zone: Whole<0, 255>,
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

/// How the list of media nodes comes.
#[derive(Clone, Copy, Default, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Discovery {
    #[default]
    Pushed,
    OnRequest,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Family {
    #[serde(default)]
    class_live: Vec<bool>,
    #[serde(default)]
    class_scale: Vec<Above0>,
    #[serde(default)]
    class_seats: Vec<Whole>,
    #[serde(default)]
    floor_by_class: Vec<Whole>,
    #[serde(default)]
    highest_rung: Vec<Whole>,
    #[serde(default)]
    groups: Option<Whole<1, 65535>>,
    #[serde(default)]
    join_adds: Option<From0>,
    #[serde(default)]
    kind_streams: Vec<Above0>,
    ladder_kb: Vec<Above0>,
    level_worth: Vec<From0>,
    link_unit_kb: Above0,
    positions: Whole<1, 65535>,
    #[serde(default)]
    guard: From0,
    #[serde(default)]
    see: From0,
    #[serde(default)]
    uplink_kb: From0,
}

#[derive(Default, Deserialize)]
struct Fees {
    #[serde(default)]
    probe: From0,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Goal {
    #[serde(default)]
    worst_class: From0,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Limits {
    #[serde(default)]
    cancelling: bool,
    /// Directors may send each other messages.
    #[serde(default)]
    may_tell: bool,
    #[serde(default)]
    max_retry_after: From0,
    most_tries: Whole<1>,
    #[serde(default)]
    probing: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    max_streams: Option<Whole<1>>,
    #[serde(default)]
    dial_timeout: Option<Above0>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Rules {
    #[serde(default)]
    ask_within: From0,
    fall: From0,
    fall_multiple: Above0,
    start_capacity: Part,
    warm_after: From0,
    extra_free: Option<From0>,
    extra_per_request: Option<From0>,
    resend_span: Option<Above0>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Service {
    #[serde(default)]
    name: String,
    aim: Above0,
    #[serde(default)]
    deadline: Option<Above0>,
    credit: From0,
    effect: Effect,
    #[serde(default)]
    group: Group,
    #[serde(default)]
    repeat_window: From0,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Effect {
    Retryable,
    Dedup,
    Fragile,
}

#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Group {
    #[default]
    All,
    Zone,
    Cell,
}

#[derive(Default, Deserialize)]
struct Telemetry {
    #[serde(default)]
    fields: Vec<String>,
    #[serde(default)]
    via: Via,
}

/// How load reports come.
#[derive(Clone, Copy, Default, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Via {
    Piggyback,
    Pull,
    #[default]
    Silent,
}

/// All that is read from the settings.
#[derive(Clone, Debug)]
pub struct Site {
    pub headend: DirectorConfig,
    pub names: Names,
    /// By service group: the longest time that a viewer waits for an answer, where told.
    pub setup_timeouts: Vec<Option<Span>>,
    /// Directors may send each other messages.
    pub may_tell: bool,
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
    agree(&conf).map_err(|what| format!("settings: {what}"))?;
    let limits = &conf.limits;
    Ok(Site {
        headend: headend(seed, &conf),
        setup_timeouts: conf.services.iter().map(|s| s.deadline.map(|d| Span::from_ms(d.get()))).collect(),
        may_tell: limits.may_tell,
        streams: limits.max_streams.map(|most| most.get()),
        dial_timeout: Span::from_ms(limits.dial_timeout.map_or(DIAL_TIMEOUT_MS, Above0::get)),
        names: Names {
            groups: conf.services.into_iter().map(|s| s.name).collect(),
            tenants: conf.tenants.into_iter().map(|t| t.name).collect(),
            zones: conf.azs,
            models: conf.host_types,
        },
    })
}

/// What one field can't tell alone; the error names the field that can't stand beside the other.
fn agree(conf: &Conf) -> Result<(), String> {
    let family = &conf.family_info;
    let rungs = family.ladder_kb.len();
    if rungs == 0 || rungs > usize::from(u8::MAX) {
        return Err(format!("familyInfo.ladderKb: a ladder of {rungs} rungs"));
    }
    if family.level_worth.len() != rungs {
        let worths = family.level_worth.len();
        return Err(format!("familyInfo.levelWorth: {worths} figures, but ladderKb has {rungs} rungs"));
    }
    let falls = |list: &[f64]| list.windows(2).position(|two| two[1] < two[0]).map(|at| at + 1);
    let rates: Vec<f64> = family.ladder_kb.iter().map(|kb| kb.get()).collect();
    if let Some(at) = falls(&rates) {
        return Err(format!("familyInfo.ladderKb[{at}]: {} is under the rung below", rates[at]));
    }
    if conf.services.is_empty() {
        return Err("services: none are named".into());
    }
    let lists = [
        ("classLive", family.class_live.len()),
        ("classScale", family.class_scale.len()),
        ("classSeats", family.class_seats.len()),
        ("floorByClass", family.floor_by_class.len()),
        ("highestRung", family.highest_rung.len()),
    ];
    for (name, count) in lists {
        if count != 0 && count != conf.services.len() {
            let services = conf.services.len();
            return Err(format!("familyInfo.{name}: {count} figures for {services} services"));
        }
    }
    for (i, floor) in family.floor_by_class.iter().enumerate() {
        let top = family.highest_rung.get(i).map_or(rungs - 1, |top| top.get().min(rungs - 1));
        if floor.get() > top {
            let floor = floor.get();
            return Err(format!("familyInfo.floorByClass[{i}]: rung {floor} is above the highest, {top}"));
        }
    }
    if !conf.azs.is_empty() && conf.my_zone.get() >= conf.azs.len() {
        return Err(format!("myZone: {} is not one of the {} azs", conf.my_zone.get(), conf.azs.len()));
    }
    if conf.discovery == Discovery::OnRequest && conf.rules.ask_within.get() <= 0.0 {
        return Err("rules.askWithin: the list comes on request, and no time is told to ask within".into());
    }
    Ok(())
}

fn headend(seed: u64, conf: &Conf) -> DirectorConfig {
    let family = &conf.family_info;
    let rules = &conf.rules;
    let ration = rules.resend_span.map(|span| RetryBudget {
        base_retries: rules.extra_free.map_or(0.0, From0::get),
        retries_per_session: rules.extra_per_request.map_or(0.0, From0::get),
        window: Span::from_ms(span.get()),
    });
    let limits = &conf.limits;
    let rungs = family.ladder_kb.iter().zip(&family.level_worth);
    DirectorConfig {
        seed,
        zone: ZoneId(conf.my_zone.get() as u8),
        director_index: conf.my_number.get(),
        director_count: conf.balancers.get(),
        groups: conf.services.iter().enumerate().map(|(i, service)| group(i, service, family)).collect(),
        ladder: rungs.map(|(kb, worth)| (kb.get(), worth.get())).collect(),
        max_streams: family.kind_streams.iter().map(|n| n.get()).collect(),
        cell_count: family.positions.get() as u16,
        rack_count: family.groups.map_or(1, |racks| racks.get()) as u16,
        link_kb_per_s_per_weight: family.link_unit_kb.get(),
        uplink_kb_per_s: family.uplink_kb.get(),
        live_join_fraction: family.join_adds.map_or(1.0, From0::get),
        worst_group_weight: conf.goal.worst_class.get(),
        full_link_demand: family.guard.get(),
        report_delay: Span::from_ms(family.see.get()),
        load_metrics: conf.telemetry.fields.iter().map(|name| gauge(name)).collect(),
        probe_only: conf.telemetry.via == Via::Pull,
        may_probe: limits.probing,
        probe_cost: conf.fees.probe.get(),
        may_cancel: limits.cancelling,
        max_retry_after: limits.retry_after.then(|| Span::from_ms(limits.max_retry_after.get())),
        max_setups_per_session: limits.most_tries.get(),
        retry_budget: ration,
        slow_start_initial_fraction: rules.start_capacity.get(),
        slow_start_duration: Span::from_ms(rules.warm_after.get()),
        overload_multiple: rules.fall_multiple.get(),
        overload_window: Span::from_ms(rules.fall.get()),
        node_list_max_age: (conf.discovery == Discovery::OnRequest)
            .then(|| Span::from_ms(rules.ask_within.get())),
    }
}

fn group(i: usize, service: &Service, family: &Family) -> ServiceGroup {
    let highest = family.ladder_kb.len() - 1;
    let rung = |list: &[Whole], left_out: usize| {
        Rung(list.get(i).map_or(left_out, |rung| rung.get()).min(highest) as u8)
    };
    ServiceGroup {
        start_target: Span::from_ms(service.aim.get()),
        utility: service.credit.get(),
        retry_safety: match service.effect {
            Effect::Retryable => RetrySafety::Safe,
            Effect::Dedup => RetrySafety::Dedup,
            Effect::Fragile => RetrySafety::Fragile,
        },
        retry_scope: match service.group {
            Group::All => RetryScope::Anywhere,
            Group::Zone => RetryScope::SameZone,
            Group::Cell => RetryScope::SameCell,
        },
        retry_window: Span::from_ms(service.repeat_window.get()),
        live: family.class_live.get(i).copied().unwrap_or(false),
        rate_scale: family.class_scale.get(i).map_or(1.0, |scale| scale.get()),
        floor_rung: rung(&family.floor_by_class, 0),
        top_rung: rung(&family.highest_rung, highest),
        seats: family.class_seats.get(i).map_or(0, |seats| seats.get()),
    }
}

/// What a figure of a load report tells, by its name.
pub fn gauge(name: &str) -> LoadMetric {
    match name {
        "inflight" => LoadMetric::Streams,
        "util" | "x0" => LoadMetric::Link,
        "x1" => LoadMetric::Uplink,
        _ => LoadMetric::Other,
    }
}
