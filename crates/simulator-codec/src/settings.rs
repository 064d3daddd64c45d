//! Decodes the settings of an instance from the simulator's JSON into the controller's configuration.
//!
//! Each struct mirrors a section of the JSON and has its name, since serde's error messages contain the names
//! of structs. Fields have the names of `shalereel::interface`, and attributes map them to the simulator's
//! keys. If several fields of a struct are missing, serde reports the first in the order of declaration.

use serde::{Deserialize, Deserializer};
use shalereel::interface::{
    AdmissionMode, ControllerConfig, DeduplicationScope, Idempotency, ListedCapacity, LoadColumn, LoadSource,
    Nanos, Operation,
};
use thiserror::Error;

/// A setting is missing or malformed. The text contains its key.
#[derive(Debug, Error)]
#[error("settings of the instance: {0}")]
pub struct SettingsError(#[from] serde_json::Error);

#[derive(Deserialize)]
struct Profile {
    classes: Vec<Class>,
    family_info: FamilyInfo,
    #[serde(rename = "fleet_size")]
    supervisor_count: u16,
    invariants: Invariants,
    load_info: LoadInfo,
    localities: Vec<String>,
    locality: u16,
    #[serde(rename = "me")]
    supervisor_index: u16,
    #[serde(rename = "membership_mode")]
    endpoint_delivery: EndpointDelivery,
    permissions: Permissions,
    #[serde(rename = "weights")]
    listed_weights: ListedWeights,
}

/// An operation.
#[derive(Deserialize)]
struct Class {
    #[serde(rename = "slo_ms", deserialize_with = "millis")]
    latency_objective: Nanos,
    #[serde(rename = "deadline_ms", deserialize_with = "millis")]
    timeout: Nanos,
    effect: ClassEffect,
    #[serde(default, rename = "group")]
    deduplication_scope: Scope,
    #[serde(default, rename = "window_ms", deserialize_with = "millis")]
    deduplication_window: Nanos,
    #[serde(rename = "worth")]
    priority_weight: f64,
}

#[derive(Deserialize)]
struct FamilyInfo {
    #[serde(rename = "admit")]
    admission_mode: Admission,
    #[serde(rename = "backlog")]
    channel_capacity: f64,
    #[serde(rename = "cycle_ms", deserialize_with = "millis")]
    report_interval: Nanos,
    #[serde(rename = "empty_for_ms", deserialize_with = "millis")]
    max_unserved_time: Nanos,
    #[serde(default, rename = "fails_to_eject")]
    failures_to_avoid: u32,
    /// Fraction of the latency objective that a first attempt may take if it may be followed by a retry.
    first_wait: f64,
    /// One flag per operation, in the order of `classes`.
    #[serde(default, rename = "home_only")]
    local_only: Vec<bool>,
    #[serde(default, rename = "in_flight_max_ms", deserialize_with = "millis")]
    in_flight_max: Nanos,
    #[serde(default, rename = "key_ranges")]
    key_range_count: u16,
    lines_per_s: f64,
    #[serde(default, rename = "messages_over_ms", deserialize_with = "millis")]
    message_limit_window: Nanos,
    /// One flag per operation, in the order of `classes`.
    #[serde(default, rename = "mutating")]
    writes: Vec<bool>,
    #[serde(rename = "overhead")]
    message_overhead: f64,
    #[serde(rename = "proxies")]
    proxy_count: u32,
    #[serde(rename = "push_delay_ms", deserialize_with = "millis")]
    mean_transit: Nanos,
    #[serde(default, rename = "reloads_max")]
    message_limit: u32,
    /// Retries by a proxy that was sent no retry policy.
    retry_default: u8,
    #[serde(default)]
    sole_owner: bool,
    #[serde(default, rename = "tenure_ms", deserialize_with = "millis")]
    lease_duration: Nanos,
    #[serde(rename = "worst_transit_ms", deserialize_with = "millis")]
    worst_transit: Nanos,
}

#[derive(Deserialize)]
struct Invariants {
    #[serde(default, rename = "ask_every_ms", deserialize_with = "millis")]
    poll_interval: Nanos,
    #[serde(rename = "cold_from")]
    slow_start_capacity: f64,
    #[serde(rename = "cold_ms", deserialize_with = "millis")]
    slow_start_duration: Nanos,
    #[serde(rename = "drain_grace_ms", deserialize_with = "millis")]
    drain_grace: Nanos,
    #[serde(rename = "fall_ms", deserialize_with = "millis")]
    overload_delay: Nanos,
    #[serde(rename = "tip_multiple")]
    overload_ratio: f64,
    /// Whether only draining excludes a server, so that a removal without draining is advisory.
    #[serde(default, rename = "drain_binds_alone")]
    removal_is_advisory: bool,
}

#[derive(Deserialize)]
struct LoadInfo {
    #[serde(default)]
    columns: Vec<String>,
    #[serde(rename = "how")]
    delivery: LoadDelivery,
}

#[derive(Deserialize)]
struct Permissions {
    #[serde(default, rename = "probes")]
    health_checks: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum ClassEffect {
    Pure,
    Token,
    SideEffect,
}

impl From<ClassEffect> for Idempotency {
    fn from(effect: ClassEffect) -> Self {
        match effect {
            ClassEffect::Pure => Idempotency::Idempotent,
            ClassEffect::Token => Idempotency::Keyed,
            ClassEffect::SideEffect => Idempotency::NonIdempotent,
        }
    }
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "snake_case")]
enum Scope {
    All,
    Zone,
    #[default]
    Cell,
}

impl From<Scope> for DeduplicationScope {
    fn from(scope: Scope) -> Self {
        match scope {
            Scope::All => DeduplicationScope::Everywhere,
            Scope::Zone => DeduplicationScope::Locality,
            Scope::Cell => DeduplicationScope::Cell,
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum EndpointDelivery {
    Pushed,
    OnRequest,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum ListedWeights {
    Off,
    Nominal,
    Rough,
    Live,
}

impl From<ListedWeights> for ListedCapacity {
    fn from(weights: ListedWeights) -> Self {
        match weights {
            ListedWeights::Off => ListedCapacity::Unknown,
            ListedWeights::Nominal => ListedCapacity::Nominal,
            ListedWeights::Rough | ListedWeights::Live => ListedCapacity::Approximate,
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Admission {
    Off,
    Ratio,
    Rps,
}

impl From<Admission> for AdmissionMode {
    fn from(admission: Admission) -> Self {
        match admission {
            Admission::Off => AdmissionMode::Ignored,
            Admission::Ratio => AdmissionMode::Ratio,
            Admission::Rps => AdmissionMode::Rate,
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum LoadDelivery {
    Inline,
    OnProbe,
    Off,
}

impl From<LoadDelivery> for LoadSource {
    fn from(delivery: LoadDelivery) -> Self {
        match delivery {
            LoadDelivery::Inline => LoadSource::Reports,
            LoadDelivery::OnProbe => LoadSource::HealthChecks,
            LoadDelivery::Off => LoadSource::None,
        }
    }
}

/// Decodes a duration in milliseconds.
fn millis<'de, D: Deserializer<'de>>(from: D) -> Result<Nanos, D::Error> {
    let ms = f64::deserialize(from)?;
    crate::nanos(ms)
        .ok_or_else(|| serde::de::Error::custom(format!("invalid duration in milliseconds: {ms}")))
}

fn load_column(name: &str) -> LoadColumn {
    match name {
        "active" => LoadColumn::Active,
        "waiting" => LoadColumn::Waiting,
        "cpu" => LoadColumn::Cpu,
        "avg_ms" => LoadColumn::ServiceTime,
        _ => LoadColumn::Other,
    }
}

/// Converts the operation at this position. If a list of flags is too short for the position, the flag counts
/// as not set.
fn operation(position: usize, class: Class, family: &FamilyInfo) -> Operation {
    let is_set = |flags: &[bool]| flags.get(position).copied().unwrap_or(false);
    Operation {
        idempotency: class.effect.into(),
        deduplication_scope: class.deduplication_scope.into(),
        deduplication_window: class.deduplication_window,
        latency_objective: class.latency_objective,
        timeout: class.timeout,
        priority_weight: class.priority_weight,
        local_only: is_set(&family.local_only),
        writes: is_set(&family.writes),
    }
}

/// Decodes the settings of an instance into the configuration of its controller, whose random number
/// generator gets this seed. Keys that the controller does not need are ignored.
///
/// # Errors
///
/// A setting is missing or malformed.
pub fn decode_settings(seed: u64, json: &[u8]) -> Result<ControllerConfig, SettingsError> {
    let profile: Profile = serde_json::from_slice(json)?;
    let family = profile.family_info;
    let invariants = profile.invariants;
    let classes = profile.classes.into_iter().enumerate();
    Ok(ControllerConfig {
        seed,
        supervisor_index: profile.supervisor_index,
        supervisor_count: profile.supervisor_count,
        locality: profile.locality,
        locality_count: profile.localities.len() as u16,
        operations: classes.map(|(position, class)| operation(position, class, &family)).collect(),
        polls_endpoints: matches!(profile.endpoint_delivery, EndpointDelivery::OnRequest),
        admission_mode: family.admission_mode.into(),
        load_source: profile.load_info.delivery.into(),
        load_columns: profile.load_info.columns.iter().map(|name| load_column(name)).collect(),
        health_checks_allowed: profile.permissions.health_checks,
        listed_capacity: profile.listed_weights.into(),
        proxy_count: family.proxy_count,
        channel_capacity: family.channel_capacity,
        lines_per_s: family.lines_per_s,
        message_overhead: family.message_overhead,
        report_interval: family.report_interval,
        max_unserved_time: family.max_unserved_time,
        first_wait: family.first_wait,
        failures_to_avoid: family.failures_to_avoid,
        key_range_count: family.key_range_count,
        sole_owner: family.sole_owner,
        lease_duration: family.lease_duration,
        in_flight_max: family.in_flight_max,
        mean_transit: family.mean_transit,
        worst_transit: family.worst_transit,
        message_limit: family.message_limit,
        message_limit_window: family.message_limit_window,
        retry_default: family.retry_default,
        poll_interval: invariants.poll_interval,
        slow_start_capacity: invariants.slow_start_capacity,
        slow_start_duration: invariants.slow_start_duration,
        overload_ratio: invariants.overload_ratio,
        overload_delay: invariants.overload_delay,
        drain_grace: invariants.drain_grace,
        removal_is_advisory: invariants.removal_is_advisory,
    })
}
