//! The file format. A field whose name differs from its key in the file has a `rename` attribute; `docs/supervisor.md`
//! lists the keys. Durations are in milliseconds unless the key names another unit.

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
    #[serde(rename = "supervisor")]
    pub(super) supervisor_index: u16,
    #[serde(rename = "supervisors")]
    pub(super) supervisor_count: u16,
    pub(super) locality: String,
    pub(super) localities: Vec<String>,
    #[serde(rename = "tick_ms")]
    pub(super) min_batch_interval_ms: f64,
    #[serde(rename = "operation")]
    pub(super) operations: Vec<OperationSection>,
    #[serde(rename = "list")]
    pub(super) endpoint_list: EndpointListSection,
    /// Memory for incomplete messages and for bytes that clients have not read, of all connections together, MB.
    pub(super) connections_mb: Option<f64>,
    /// SASP listener, if any.
    pub(super) sasp: Option<ListenSection>,
    /// Group of supervisors, if this supervisor is a member of one.
    #[serde(rename = "shared")]
    pub(super) group: Option<GroupSection>,
    /// Limits of the table history; limits that are not set are derived.
    #[serde(default)]
    #[serde(rename = "tables")]
    pub(super) table_history: TableHistorySection,
    /// Snapshots are neither read nor written.
    #[serde(default)]
    #[serde(rename = "forgets")]
    pub(super) snapshot_disabled: bool,
    /// Operators' listener, if any.
    pub(super) admin: Option<ListenSection>,
    pub(super) forwarders: ForwardersSection,
    pub(super) channel: ChannelSection,
    pub(super) rules: RulesSection,
    /// Fault that is injected for tests. Never set in production.
    #[serde(rename = "planted")]
    pub(super) injected_fault: Option<InjectedFault>,
    /// The guard is disabled, so that injected faults take effect. Never set in production.
    #[serde(default)]
    #[serde(rename = "unguarded")]
    pub(super) guard_disabled: bool,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct OperationSection {
    pub(super) name: String,
    #[serde(rename = "effect")]
    pub(super) idempotency: IdempotencySetting,
    #[serde(default)]
    #[serde(rename = "repeat_scope")]
    pub(super) deduplication_scope: DeduplicationScopeSetting,
    #[serde(default)]
    #[serde(rename = "repeat_window_ms")]
    pub(super) deduplication_window_ms: f64,
    pub(super) latency_objective_ms: f64,
    #[serde(rename = "integration_timeout_ms")]
    pub(super) timeout_ms: f64,
    #[serde(rename = "billed_value")]
    pub(super) priority_weight: f64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum IdempotencySetting {
    Idempotent,
    #[serde(rename = "fingerprinted")]
    Keyed,
    #[serde(rename = "side_effecting")]
    NonIdempotent,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum DeduplicationScopeSetting {
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
    /// Addresses of the group's initial members, by member number. They include this supervisor's own unless it joins an
    /// existing group.
    pub(super) members: Vec<SocketAddr>,
    #[serde(default)]
    pub(super) joining: bool,
    #[serde(rename = "election_ms")]
    pub(super) election_timeout_ms: f64,
    #[serde(rename = "drift")]
    pub(super) max_clock_drift: f64,
    #[serde(default)]
    #[serde(rename = "ranges")]
    pub(super) range_count: u32,
    pub(super) tenure_ms: f64,
    #[serde(rename = "in_flight_ms")]
    pub(super) max_in_flight_ms: f64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct EndpointListSection {
    pub(super) membership: MembershipSetting,
    #[serde(default)]
    #[serde(rename = "ask_every_ms")]
    pub(super) poll_interval_ms: f64,
    #[serde(rename = "sizes")]
    pub(super) listed_capacity: ListedCapacitySetting,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum MembershipSetting {
    Pushed,
    #[serde(rename = "asked")]
    Polled,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum ListedCapacitySetting {
    #[serde(rename = "untold")]
    Unknown,
    #[serde(rename = "rough")]
    Approximate,
    Nominal,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ForwardersSection {
    pub(super) count: u32,
    pub(super) admission: AdmissionSetting,
    #[serde(rename = "report_cycle_ms")]
    pub(super) report_interval_ms: f64,
    #[serde(default)]
    #[serde(rename = "fails_to_avoid")]
    pub(super) failures_to_avoid: u32,
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
    #[serde(rename = "backlog")]
    pub(super) capacity: f64,
    pub(super) message_overhead: f64,
    pub(super) mean_transit_ms: f64,
    pub(super) worst_transit_ms: f64,
    #[serde(default)]
    #[serde(rename = "messages_max")]
    pub(super) message_limit: u32,
    #[serde(default)]
    #[serde(rename = "messages_over_ms")]
    pub(super) message_limit_window_ms: f64,
    pub(super) paced: bool,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RulesSection {
    #[serde(rename = "empty_for_ms")]
    pub(super) max_unserved_time_ms: f64,
    pub(super) drain_grace_ms: f64,
    #[serde(rename = "cold_from")]
    pub(super) slow_start_capacity: f64,
    #[serde(rename = "cold_for_ms")]
    pub(super) slow_start_duration_ms: f64,
    #[serde(rename = "tip_multiple")]
    pub(super) overload_ratio: f64,
    #[serde(rename = "tip_after_ms")]
    pub(super) overload_delay_ms: f64,
    #[serde(default)]
    #[serde(rename = "gone_does_not_bind")]
    pub(super) removal_is_advisory: bool,
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
