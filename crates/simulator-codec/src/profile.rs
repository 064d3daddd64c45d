//! The settings handed over at the start, as text, turned into startup facts.

use serde::{Deserialize, Deserializer};
use shalereel::interface::{
    AdmissionMode, ControllerConfig, DeduplicationScope, Idempotency, ListedCapacity, LoadColumn, LoadSource,
    Nanos, Operation,
};
use thiserror::Error;

#[derive(Debug, Error)]
#[error("settings of the instance: {0}")]
pub struct ProfileError(#[from] serde_json::Error);

fn span<'de, D: Deserializer<'de>>(from: D) -> Result<Nanos, D::Error> {
    let ms = f64::deserialize(from)?;
    crate::nanos(ms).ok_or_else(|| serde::de::Error::custom(format!("no span of time: {ms}")))
}

#[derive(Deserialize)]
struct Profile {
    classes: Vec<Class>,
    family_info: FamilyInfo,
    fleet_size: u16,
    invariants: Invariants,
    load_info: LoadInfo,
    localities: Vec<String>,
    locality: u16,
    me: u16,
    membership_mode: MembershipMode,
    permissions: Permissions,
    weights: Weights,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum ClassEffect {
    Pure,
    Token,
    SideEffect,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "snake_case")]
enum Group {
    All,
    Zone,
    #[default]
    Cell,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum MembershipMode {
    Pushed,
    OnRequest,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Weights {
    Off,
    Nominal,
    Rough,
    Live,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Admit {
    Off,
    Ratio,
    Rps,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum How {
    Inline,
    OnProbe,
    Off,
}

#[derive(Deserialize)]
struct Class {
    #[serde(deserialize_with = "span")]
    slo_ms: Nanos,
    #[serde(deserialize_with = "span")]
    deadline_ms: Nanos,
    effect: ClassEffect,
    #[serde(default)]
    group: Group,
    #[serde(default, deserialize_with = "span")]
    window_ms: Nanos,
    worth: f64,
}

#[derive(Deserialize)]
struct FamilyInfo {
    admit: Admit,
    backlog: f64,
    #[serde(deserialize_with = "span")]
    cycle_ms: Nanos,
    #[serde(deserialize_with = "span")]
    empty_for_ms: Nanos,
    #[serde(default)]
    fails_to_eject: u32,
    first_wait: f64,
    #[serde(default)]
    home_only: Vec<bool>,
    #[serde(default, deserialize_with = "span")]
    in_flight_max_ms: Nanos,
    #[serde(default)]
    key_ranges: u16,
    lines_per_s: f64,
    #[serde(default, deserialize_with = "span")]
    messages_over_ms: Nanos,
    #[serde(default)]
    mutating: Vec<bool>,
    overhead: f64,
    proxies: u32,
    #[serde(deserialize_with = "span")]
    push_delay_ms: Nanos,
    #[serde(default)]
    reloads_max: u32,
    retry_default: u8,
    #[serde(default)]
    sole_owner: bool,
    #[serde(default, deserialize_with = "span")]
    tenure_ms: Nanos,
    #[serde(deserialize_with = "span")]
    worst_transit_ms: Nanos,
}

#[derive(Deserialize)]
struct Invariants {
    #[serde(default, deserialize_with = "span")]
    ask_every_ms: Nanos,
    cold_from: f64,
    #[serde(deserialize_with = "span")]
    cold_ms: Nanos,
    #[serde(deserialize_with = "span")]
    drain_grace_ms: Nanos,
    #[serde(deserialize_with = "span")]
    fall_ms: Nanos,
    tip_multiple: f64,
    #[serde(default)]
    drain_binds_alone: bool,
}

#[derive(Deserialize)]
struct LoadInfo {
    #[serde(default)]
    columns: Vec<String>,
    how: How,
}

#[derive(Deserialize)]
struct Permissions {
    #[serde(default)]
    probes: bool,
}

/// Reads the settings; keys that are not needed are read over, a needed one that lacks is named.
pub fn read_profile(seed: u64, text: &[u8]) -> Result<ControllerConfig, ProfileError> {
    let profile: Profile = serde_json::from_slice(text)?;
    let (family, rules) = (profile.family_info, profile.invariants);
    let told = |list: &[bool], at: usize| list.get(at).copied().unwrap_or(false);
    let operations = profile.classes.iter().enumerate().map(|(at, class)| Operation {
        idempotency: match class.effect {
            ClassEffect::Pure => Idempotency::Idempotent,
            ClassEffect::Token => Idempotency::Keyed,
            ClassEffect::SideEffect => Idempotency::NonIdempotent,
        },
        deduplication_scope: match class.group {
            Group::All => DeduplicationScope::Everywhere,
            Group::Zone => DeduplicationScope::Locality,
            Group::Cell => DeduplicationScope::Cell,
        },
        deduplication_window: class.window_ms,
        latency_objective: class.slo_ms,
        timeout: class.deadline_ms,
        priority_weight: class.worth,
        local_only: told(&family.home_only, at),
        writes: told(&family.mutating, at),
    });
    let columns = profile.load_info.columns.iter().map(|name| match name.as_str() {
        "active" => LoadColumn::Active,
        "waiting" => LoadColumn::Waiting,
        "cpu" => LoadColumn::Cpu,
        "avg_ms" => LoadColumn::ServiceTime,
        _ => LoadColumn::Other,
    });
    Ok(ControllerConfig {
        seed,
        supervisor_index: profile.me,
        supervisor_count: profile.fleet_size,
        locality: profile.locality,
        locality_count: profile.localities.len() as u16,
        operations: operations.collect(),
        polls_endpoints: matches!(profile.membership_mode, MembershipMode::OnRequest),
        admission_mode: match family.admit {
            Admit::Off => AdmissionMode::Ignored,
            Admit::Ratio => AdmissionMode::Ratio,
            Admit::Rps => AdmissionMode::Rate,
        },
        load_source: match profile.load_info.how {
            How::Inline => LoadSource::Reports,
            How::OnProbe => LoadSource::HealthChecks,
            How::Off => LoadSource::None,
        },
        load_columns: columns.collect(),
        health_checks_allowed: profile.permissions.probes,
        listed_capacity: match profile.weights {
            Weights::Off => ListedCapacity::Unknown,
            Weights::Nominal => ListedCapacity::Nominal,
            Weights::Rough | Weights::Live => ListedCapacity::Approximate,
        },
        proxy_count: family.proxies,
        channel_capacity: family.backlog,
        lines_per_s: family.lines_per_s,
        message_overhead: family.overhead,
        report_interval: family.cycle_ms,
        max_unserved_time: family.empty_for_ms,
        first_wait: family.first_wait,
        failures_to_avoid: family.fails_to_eject,
        slices: family.key_ranges,
        sole_owner: family.sole_owner,
        lease_duration: family.tenure_ms,
        in_flight_max: family.in_flight_max_ms,
        mean_transit: family.push_delay_ms,
        worst_transit: family.worst_transit_ms,
        message_limit: family.reloads_max,
        message_limit_window: family.messages_over_ms,
        retry_default: family.retry_default,
        poll_interval: rules.ask_every_ms,
        slow_start_capacity: rules.cold_from,
        slow_start_duration: rules.cold_ms,
        overload_ratio: rules.tip_multiple,
        overload_delay: rules.fall_ms,
        drain_grace: rules.drain_grace_ms,
        removal_is_advisory: rules.drain_binds_alone,
    })
}
