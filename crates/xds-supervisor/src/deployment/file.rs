//! The file format: structures whose fields have the names of the settings, as `docs/supervisor.md` lists them.
//! Durations are in milliseconds unless the key names another unit.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Deserialize;

/// The whole file, before its settings are checked.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct DeploymentFile {
    pub(super) listen: SocketAddr,
    pub(super) registry: SocketAddr,
    pub(super) folder: PathBuf,
    #[serde(default)]
    pub(super) seed: u64,
    pub(super) supervisor: u16,
    pub(super) supervisors: u16,
    pub(super) locality: String,
    pub(super) localities: Vec<String>,
    pub(super) tick_ms: f64,
    #[serde(rename = "operation")]
    pub(super) operations: Vec<OperationSection>,
    pub(super) list: EndpointListSection,
    /// SASP listener, if any.
    pub(super) sasp: Option<ListenSection>,
    /// Group of supervisors, if this supervisor is a member of one.
    pub(super) shared: Option<GroupSection>,
    /// Limits of the table history; limits that are not set are derived.
    #[serde(default)]
    pub(super) tables: TableHistorySection,
    /// Snapshots are neither read nor written.
    #[serde(default)]
    pub(super) forgets: bool,
    /// Operators' listener, if any.
    pub(super) admin: Option<ListenSection>,
    pub(super) forwarders: ForwardersSection,
    pub(super) channel: ChannelSection,
    pub(super) rules: RulesSection,
    pub(super) planted: Option<InjectedFault>,
    /// The guard is disabled, so that injected faults take effect. Never set in production.
    #[serde(default)]
    pub(super) unguarded: bool,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct OperationSection {
    pub(super) name: String,
    pub(super) effect: EffectSetting,
    #[serde(default)]
    pub(super) repeat_scope: RepeatScopeSetting,
    #[serde(default)]
    pub(super) repeat_window_ms: f64,
    pub(super) latency_objective_ms: f64,
    pub(super) integration_timeout_ms: f64,
    pub(super) billed_value: f64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum EffectSetting {
    Idempotent,
    Fingerprinted,
    SideEffecting,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum RepeatScopeSetting {
    Everywhere,
    Locality,
    #[default]
    Cell,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ListenSection {
    pub(super) listen: SocketAddr,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct TableHistorySection {
    pub(super) versions: Option<u32>,
    pub(super) megabytes: Option<f64>,
    pub(super) hours: Option<f64>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct GroupSection {
    pub(super) name: String,
    /// Addresses of the group's initial members, by member number.
    pub(super) members: Vec<SocketAddr>,
    #[serde(default)]
    pub(super) joining: bool,
    pub(super) election_ms: f64,
    pub(super) drift: f64,
    #[serde(default)]
    pub(super) ranges: u32,
    pub(super) tenure_ms: f64,
    pub(super) in_flight_ms: f64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct EndpointListSection {
    pub(super) membership: MembershipSetting,
    #[serde(default)]
    pub(super) ask_every_ms: f64,
    pub(super) sizes: SizesSetting,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum MembershipSetting {
    Pushed,
    Asked,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum SizesSetting {
    Untold,
    Rough,
    Nominal,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ForwardersSection {
    pub(super) count: u32,
    pub(super) admission: AdmissionSetting,
    pub(super) report_cycle_ms: f64,
    #[serde(default)]
    pub(super) fails_to_avoid: u32,
    pub(super) first_wait: f64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum AdmissionSetting {
    Ignored,
    Ratio,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ChannelSection {
    pub(super) lines_per_s: f64,
    pub(super) backlog: f64,
    pub(super) message_overhead: f64,
    pub(super) mean_transit_ms: f64,
    pub(super) worst_transit_ms: f64,
    #[serde(default)]
    pub(super) messages_max: u32,
    #[serde(default)]
    pub(super) messages_over_ms: f64,
    pub(super) paced: bool,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RulesSection {
    pub(super) empty_for_ms: f64,
    pub(super) drain_grace_ms: f64,
    pub(super) cold_from: f64,
    pub(super) cold_for_ms: f64,
    pub(super) tip_multiple: f64,
    pub(super) tip_after_ms: f64,
    #[serde(default)]
    pub(super) gone_does_not_bind: bool,
}

/// A fault that is injected into a supervisor to show that traffic checks detect it. Never set in production.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum InjectedFault {
    /// Draining servers keep their weights.
    #[serde(rename = "drop_suspensions")]
    IgnoreDraining,
    /// Every failure is retried, up to twice.
    #[serde(rename = "repeat_all")]
    RetryEverything,
    /// Servers that are warming up get many times their weight.
    #[serde(rename = "cold_in_full")]
    NoSlowStart,
    /// Every line changes and is sent again with each batch of actions.
    #[serde(rename = "flood")]
    FloodUpdates,
    /// Tables are sent without lines.
    EmptyTables,
    /// This member of a group ignores epochs and leases.
    #[serde(rename = "no_fence")]
    NoFencing,
    /// A rollback restores weights against the controller's decisions.
    #[serde(rename = "way_outranks")]
    RollbackOverridesController,
}
