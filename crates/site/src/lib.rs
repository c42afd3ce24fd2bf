//! Parser of the settings object (JSON) that the simulator and the platform pass to a director.
//!
//! It yields the director's configuration and the names and limits that a front end needs. An impossible
//! value or an unknown enum value is an error that names the field. Unknown fields are ignored. All times are
//! in milliseconds, all data rates in kilobytes per second.

mod bounds;

use ashglade::ids::{Rung, ZoneId};
use ashglade::interface::{DirectorConfig, LoadMetric, RetryBudget, RetrySafety, RetryScope, ServiceGroup};
use ashglade::time::Span;
use serde::Deserialize;

use crate::bounds::{BoundedInteger, Fraction, NonNegative, Positive};

/// The settings object.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct SettingsObject {
    #[serde(rename = "balancers")]
    director_count: BoundedInteger<1>,
    #[serde(rename = "discovery", default)]
    discovery_mode: DiscoveryMode,
    #[serde(rename = "familyInfo")]
    deployment: DeploymentSettings,
    #[serde(rename = "fees", default)]
    costs: CostSettings,
    #[serde(rename = "goal", default)]
    objective: ObjectiveSettings,
    limits: Limits,
    /// Index of this director, from 0.
    #[serde(rename = "myNumber", default)]
    director_index: BoundedInteger,
    /// Zone of this director, as an index into `zones`.
    #[serde(rename = "myZone")]
    zone: BoundedInteger<0, 255>,
    rules: Rules,
    #[serde(rename = "services")]
    service_groups: Vec<ServiceGroupSettings>,
    #[serde(rename = "telemetry", default)]
    load_reports: LoadReportSettings,
    #[serde(rename = "azs", default)]
    zones: Vec<String>,
    #[serde(rename = "hostTypes", default)]
    models: Vec<String>,
    #[serde(default)]
    tenants: Vec<TenantSettings>,
}

/// One tenant.
#[derive(Deserialize)]
struct TenantSettings {
    name: String,
}

/// How a director gets the list of media nodes.
#[derive(Clone, Copy, Default, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum DiscoveryMode {
    /// Updates are pushed to the director.
    #[default]
    Pushed,
    /// The director has to fetch the list.
    OnRequest,
}

/// The ladder, the media parameters of each service group, and the topology of the media nodes. A list with
/// an entry for each service group may be empty, which selects a default for all groups.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct DeploymentSettings {
    #[serde(rename = "classLive", default)]
    live_by_group: Vec<bool>,
    #[serde(rename = "classScale", default)]
    rate_scale_by_group: Vec<Positive>,
    #[serde(rename = "classSeats", default)]
    seats_by_group: Vec<BoundedInteger>,
    #[serde(rename = "floorByClass", default)]
    floor_rung_by_group: Vec<BoundedInteger>,
    #[serde(rename = "highestRung", default)]
    top_rung_by_group: Vec<BoundedInteger>,
    #[serde(rename = "groups", default)]
    rack_count: Option<BoundedInteger<1, 65535>>,
    #[serde(rename = "joinAdds", default)]
    live_join_fraction: Option<NonNegative>,
    /// Maximum number of streams on a node, by machine model.
    #[serde(rename = "kindStreams", default)]
    max_streams_by_model: Vec<Positive>,
    /// Data rate of each rung in kB/s, ascending.
    #[serde(rename = "ladderKb")]
    rung_rates: Vec<Positive>,
    /// Utility of each rung.
    #[serde(rename = "levelWorth")]
    rung_utilities: Vec<NonNegative>,
    #[serde(rename = "linkUnitKb")]
    link_kb_per_s_per_weight: Positive,
    #[serde(rename = "positions")]
    cell_count: BoundedInteger<1, 65535>,
    #[serde(rename = "guard", default)]
    full_link_demand: NonNegative,
    #[serde(rename = "see", default)]
    report_delay_ms: NonNegative,
    #[serde(rename = "uplinkKb", default)]
    uplink_kb_per_s: NonNegative,
}

/// Costs of a director's actions.
#[derive(Default, Deserialize)]
struct CostSettings {
    /// Cost of one probe per session, as a fraction of the total utility.
    #[serde(default)]
    probe: NonNegative,
}

/// The objective that the operators optimize.
#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase")]
struct ObjectiveSettings {
    /// Weight of the worst-served service group.
    #[serde(rename = "worstClass", default)]
    worst_group_weight: NonNegative,
}

/// Actions that are available to a director, and their limits.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Limits {
    #[serde(rename = "cancelling", default)]
    may_cancel: bool,
    /// Whether directors may send messages to each other.
    #[serde(rename = "mayTell", default)]
    may_send_messages: bool,
    #[serde(rename = "maxRetryAfter", default)]
    max_retry_after_ms: NonNegative,
    #[serde(rename = "mostTries")]
    max_setups_per_session: BoundedInteger<1>,
    #[serde(rename = "probing", default)]
    may_probe: bool,
    /// Whether a busy reply can carry a retry-after time.
    #[serde(rename = "retryAfter", default)]
    has_retry_after: bool,
    #[serde(rename = "maxStreams", default)]
    max_streams_per_connection: Option<BoundedInteger<1>>,
    #[serde(rename = "dialTimeout", default)]
    connect_timeout_ms: Option<Positive>,
}

/// Parameters of the age of the node list, overload, slow start and the retry budget.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Rules {
    #[serde(rename = "askWithin", default)]
    node_list_max_age_ms: NonNegative,
    #[serde(rename = "fall")]
    overload_window_ms: NonNegative,
    #[serde(rename = "fallMultiple")]
    overload_multiple: Positive,
    #[serde(rename = "startCapacity")]
    slow_start_initial_fraction: Fraction,
    #[serde(rename = "warmAfter")]
    slow_start_duration_ms: NonNegative,
    #[serde(rename = "extraFree")]
    base_retries: Option<NonNegative>,
    #[serde(rename = "extraPerRequest")]
    retries_per_session: Option<NonNegative>,
    /// Window of the retry budget; without it, retries have no budget.
    #[serde(rename = "resendSpan")]
    retry_budget_window_ms: Option<Positive>,
}

/// One service group.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ServiceGroupSettings {
    #[serde(default)]
    name: String,
    #[serde(rename = "aim")]
    start_target_ms: Positive,
    #[serde(rename = "deadline", default)]
    setup_timeout_ms: Option<Positive>,
    #[serde(rename = "credit")]
    utility: NonNegative,
    #[serde(rename = "effect")]
    retry_safety: RetrySafetySetting,
    #[serde(rename = "group", default)]
    retry_scope: RetryScopeSetting,
    #[serde(rename = "repeatWindow", default)]
    retry_window_ms: NonNegative,
}

/// The setting for [`RetrySafety`].
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum RetrySafetySetting {
    Retryable,
    Dedup,
    Fragile,
}

/// The setting for [`RetryScope`].
#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum RetryScopeSetting {
    #[default]
    All,
    Zone,
    Cell,
}

/// Load reports of the media nodes.
#[derive(Default, Deserialize)]
struct LoadReportSettings {
    /// Names of the metrics in a report, in their order.
    #[serde(rename = "fields", default)]
    metrics: Vec<String>,
    #[serde(rename = "via", default)]
    delivery: ReportDelivery,
}

/// How a director gets load reports.
#[derive(Clone, Copy, Default, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum ReportDelivery {
    /// With responses of media nodes.
    Piggyback,
    /// With responses to probes only.
    Pull,
    /// Not at all.
    #[default]
    Silent,
}

/// The parsed settings.
#[derive(Clone, Debug)]
pub struct DirectorSettings {
    /// Configuration of the director.
    pub director: DirectorConfig,
    /// The names behind numeric ids.
    pub names: NameTables,
    /// For each service group, the longest setup timeout of its viewers, if limited.
    pub setup_timeouts: Vec<Option<Span>>,
    /// Whether directors may send messages to each other.
    pub may_send_messages: bool,
    /// Maximum number of concurrent SETUPs on one connection, if limited.
    pub max_streams_per_connection: Option<usize>,
    /// The time after which an attempt to connect to a media node fails.
    pub connect_timeout: Span,
}

/// The names that the settings define. A numeric id is the index of the name in its list.
#[derive(Clone, Debug, Default)]
pub struct NameTables {
    /// Service groups.
    pub groups: Vec<String>,
    /// Tenants; may be empty.
    pub tenants: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Machine models of media nodes.
    pub models: Vec<String>,
}

/// Formats a deserialization error as the path of the field and the cause.
pub fn describe_error(error: &serde_path_to_error::Error<serde_json::Error>) -> String {
    match error.path().to_string().as_str() {
        "." => error.inner().to_string(),
        path => format!("{path}: {}", error.inner()),
    }
}

/// Returns the index of a name in its list.
pub fn name_index(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 250.0;

/// Parses and validates a settings object. `seed` seeds the director's random choices.
///
/// # Errors
///
/// Returns a message that names the field, if one has an impossible value.
pub fn parse(seed: u64, text: &[u8]) -> Result<DirectorSettings, String> {
    let json = &mut serde_json::Deserializer::from_slice(text);
    let settings: SettingsObject =
        serde_path_to_error::deserialize(json).map_err(|e| format!("settings: {}", describe_error(&e)))?;
    validate(&settings).map_err(|error| format!("settings: {error}"))?;
    let limits = &settings.limits;
    Ok(DirectorSettings {
        director: director_config(seed, &settings),
        setup_timeouts: settings
            .service_groups
            .iter()
            .map(|group| group.setup_timeout_ms.map(|ms| Span::from_ms(ms.get())))
            .collect(),
        may_send_messages: limits.may_send_messages,
        max_streams_per_connection: limits.max_streams_per_connection.map(|max| max.get()),
        connect_timeout: Span::from_ms(
            limits.connect_timeout_ms.map_or(DEFAULT_CONNECT_TIMEOUT_MS, Positive::get),
        ),
        names: NameTables {
            groups: settings.service_groups.into_iter().map(|group| group.name).collect(),
            tenants: settings.tenants.into_iter().map(|tenant| tenant.name).collect(),
            zones: settings.zones,
            models: settings.models,
        },
    })
}

/// Validates fields against each other. The error names the field that contradicts another.
fn validate(settings: &SettingsObject) -> Result<(), String> {
    let deployment = &settings.deployment;
    let rung_count = deployment.rung_rates.len();
    if rung_count == 0 || rung_count > usize::from(u8::MAX) {
        return Err(format!("familyInfo.ladderKb: {rung_count} rungs, but a ladder has 1 to 255"));
    }
    if deployment.rung_utilities.len() != rung_count {
        let utility_count = deployment.rung_utilities.len();
        return Err(format!(
            "familyInfo.levelWorth: {utility_count} values, but ladderKb has {rung_count} rungs"
        ));
    }
    let first_decrease =
        |list: &[f64]| list.windows(2).position(|pair| pair[1] < pair[0]).map(|index| index + 1);
    let rates: Vec<f64> = deployment.rung_rates.iter().map(|rate| rate.get()).collect();
    if let Some(index) = first_decrease(&rates) {
        return Err(format!(
            "familyInfo.ladderKb[{index}]: {} is less than the rate of the rung below",
            rates[index]
        ));
    }
    if settings.service_groups.is_empty() {
        return Err("services: the list is empty".into());
    }
    let lists = [
        ("classLive", deployment.live_by_group.len()),
        ("classScale", deployment.rate_scale_by_group.len()),
        ("classSeats", deployment.seats_by_group.len()),
        ("floorByClass", deployment.floor_rung_by_group.len()),
        ("highestRung", deployment.top_rung_by_group.len()),
    ];
    for (name, count) in lists {
        if count != 0 && count != settings.service_groups.len() {
            let group_count = settings.service_groups.len();
            return Err(format!("familyInfo.{name}: {count} values for {group_count} services"));
        }
    }
    for (index, floor) in deployment.floor_rung_by_group.iter().enumerate() {
        let top = deployment
            .top_rung_by_group
            .get(index)
            .map_or(rung_count - 1, |top| top.get().min(rung_count - 1));
        if floor.get() > top {
            let floor = floor.get();
            return Err(format!(
                "familyInfo.floorByClass[{index}]: rung {floor} is above the highest rung, {top}"
            ));
        }
    }
    if !settings.zones.is_empty() && settings.zone.get() >= settings.zones.len() {
        return Err(format!(
            "myZone: {} is not the index of one of the {} azs",
            settings.zone.get(),
            settings.zones.len()
        ));
    }
    if settings.discovery_mode == DiscoveryMode::OnRequest && settings.rules.node_list_max_age_ms.get() <= 0.0
    {
        return Err("rules.askWithin: must be greater than 0 if discovery is on_request".into());
    }
    Ok(())
}

fn director_config(seed: u64, settings: &SettingsObject) -> DirectorConfig {
    let deployment = &settings.deployment;
    let rules = &settings.rules;
    let retry_budget = rules.retry_budget_window_ms.map(|window_ms| RetryBudget {
        base_retries: rules.base_retries.map_or(0.0, NonNegative::get),
        retries_per_session: rules.retries_per_session.map_or(0.0, NonNegative::get),
        window: Span::from_ms(window_ms.get()),
    });
    let limits = &settings.limits;
    let rungs = deployment.rung_rates.iter().zip(&deployment.rung_utilities);
    DirectorConfig {
        seed,
        zone: ZoneId(settings.zone.get() as u8),
        director_index: settings.director_index.get(),
        director_count: settings.director_count.get(),
        groups: settings
            .service_groups
            .iter()
            .enumerate()
            .map(|(index, group)| service_group(index, group, deployment))
            .collect(),
        ladder: rungs.map(|(rate, utility)| (rate.get(), utility.get())).collect(),
        max_streams: deployment.max_streams_by_model.iter().map(|max| max.get()).collect(),
        cell_count: deployment.cell_count.get() as u16,
        rack_count: deployment.rack_count.map_or(1, |count| count.get()) as u16,
        link_kb_per_s_per_weight: deployment.link_kb_per_s_per_weight.get(),
        uplink_kb_per_s: deployment.uplink_kb_per_s.get(),
        live_join_fraction: deployment.live_join_fraction.map_or(1.0, NonNegative::get),
        worst_group_weight: settings.objective.worst_group_weight.get(),
        full_link_demand: deployment.full_link_demand.get(),
        report_delay: Span::from_ms(deployment.report_delay_ms.get()),
        load_metrics: settings.load_reports.metrics.iter().map(|name| load_metric(name)).collect(),
        probe_only: settings.load_reports.delivery == ReportDelivery::Pull,
        may_probe: limits.may_probe,
        probe_cost: settings.costs.probe.get(),
        may_cancel: limits.may_cancel,
        max_retry_after: limits.has_retry_after.then(|| Span::from_ms(limits.max_retry_after_ms.get())),
        max_setups_per_session: limits.max_setups_per_session.get(),
        retry_budget,
        slow_start_initial_fraction: rules.slow_start_initial_fraction.get(),
        slow_start_duration: Span::from_ms(rules.slow_start_duration_ms.get()),
        overload_multiple: rules.overload_multiple.get(),
        overload_window: Span::from_ms(rules.overload_window_ms.get()),
        node_list_max_age: (settings.discovery_mode == DiscoveryMode::OnRequest)
            .then(|| Span::from_ms(rules.node_list_max_age_ms.get())),
    }
}

fn service_group(
    index: usize,
    group: &ServiceGroupSettings,
    deployment: &DeploymentSettings,
) -> ServiceGroup {
    let highest = deployment.rung_rates.len() - 1;
    let rung = |list: &[BoundedInteger], default: usize| {
        Rung(list.get(index).map_or(default, |rung| rung.get()).min(highest) as u8)
    };
    ServiceGroup {
        start_target: Span::from_ms(group.start_target_ms.get()),
        utility: group.utility.get(),
        retry_safety: match group.retry_safety {
            RetrySafetySetting::Retryable => RetrySafety::Safe,
            RetrySafetySetting::Dedup => RetrySafety::Dedup,
            RetrySafetySetting::Fragile => RetrySafety::Fragile,
        },
        retry_scope: match group.retry_scope {
            RetryScopeSetting::All => RetryScope::Anywhere,
            RetryScopeSetting::Zone => RetryScope::SameZone,
            RetryScopeSetting::Cell => RetryScope::SameCell,
        },
        retry_window: Span::from_ms(group.retry_window_ms.get()),
        live: deployment.live_by_group.get(index).copied().unwrap_or(false),
        rate_scale: deployment.rate_scale_by_group.get(index).map_or(1.0, |scale| scale.get()),
        floor_rung: rung(&deployment.floor_rung_by_group, 0),
        top_rung: rung(&deployment.top_rung_by_group, highest),
        seats: deployment.seats_by_group.get(index).map_or(0, |seats| seats.get()),
    }
}

/// Returns the load metric that a field of a load report carries, from the field's name in the settings.
pub fn load_metric(name: &str) -> LoadMetric {
    match name {
        "inflight" => LoadMetric::Streams,
        "util" | "x0" => LoadMetric::Link,
        "x1" => LoadMetric::Uplink,
        _ => LoadMetric::Other,
    }
}
