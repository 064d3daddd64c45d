//! The settings handed over at the start, as text, turned into startup facts.

use serde::{Deserialize, Deserializer};
use shalereel::interface::{
    Admission, Effect, ListedSize, LoadColumn, LoadSource, Nanos, Operation, RepeatScope, StartupFacts,
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
pub fn read_profile(seed: u64, text: &[u8]) -> Result<StartupFacts, ProfileError> {
    let profile: Profile = serde_json::from_slice(text)?;
    let (family, rules) = (profile.family_info, profile.invariants);
    let told = |list: &[bool], at: usize| list.get(at).copied().unwrap_or(false);
    let operations = profile.classes.iter().enumerate().map(|(at, class)| Operation {
        effect: match class.effect {
            ClassEffect::Pure => Effect::Idempotent,
            ClassEffect::Token => Effect::Fingerprinted,
            ClassEffect::SideEffect => Effect::SideEffecting,
        },
        repeat_scope: match class.group {
            Group::All => RepeatScope::Everywhere,
            Group::Zone => RepeatScope::Locality,
            Group::Cell => RepeatScope::Cell,
        },
        repeat_window: class.window_ms,
        latency_objective: class.slo_ms,
        integration_timeout: class.deadline_ms,
        billed_value: class.worth,
        home_only: told(&family.home_only, at),
        writes: told(&family.mutating, at),
    });
    let columns = profile.load_info.columns.iter().map(|name| match name.as_str() {
        "active" => LoadColumn::Active,
        "waiting" => LoadColumn::Waiting,
        "cpu" => LoadColumn::Cpu,
        "avg_ms" => LoadColumn::ServiceTime,
        _ => LoadColumn::Other,
    });
    Ok(StartupFacts {
        seed,
        supervisor: profile.me,
        supervisors: profile.fleet_size,
        locality: profile.locality,
        localities: profile.localities.len() as u16,
        operations: operations.collect(),
        membership_on_request: matches!(profile.membership_mode, MembershipMode::OnRequest),
        admission: match family.admit {
            Admit::Off => Admission::Ignored,
            Admit::Ratio => Admission::Ratio,
            Admit::Rps => Admission::Rate,
        },
        load_source: match profile.load_info.how {
            How::Inline => LoadSource::Digest,
            How::OnProbe => LoadSource::Probe,
            How::Off => LoadSource::Nowhere,
        },
        load_columns: columns.collect(),
        probes_allowed: profile.permissions.probes,
        listed_size: match profile.weights {
            Weights::Off => ListedSize::Untold,
            Weights::Nominal => ListedSize::Nominal,
            Weights::Rough | Weights::Live => ListedSize::Rough,
        },
        proxies: family.proxies,
        backlog: family.backlog,
        lines_per_s: family.lines_per_s,
        message_overhead: family.overhead,
        report_cycle: family.cycle_ms,
        empty_for: family.empty_for_ms,
        first_wait: family.first_wait,
        fails_to_avoid: family.fails_to_eject,
        slices: family.key_ranges,
        sole_owner: family.sole_owner,
        tenure: family.tenure_ms,
        in_flight_max: family.in_flight_max_ms,
        mean_transit: family.push_delay_ms,
        worst_transit: family.worst_transit_ms,
        messages_max: family.reloads_max,
        messages_over: family.messages_over_ms,
        retry_default: family.retry_default,
        ask_every: rules.ask_every_ms,
        cold_from: rules.cold_from,
        cold_for: rules.cold_ms,
        tip_multiple: rules.tip_multiple,
        tip_after: rules.fall_ms,
        drain_grace: rules.drain_grace_ms,
        gone_does_not_bind: rules.drain_binds_alone,
    })
}
