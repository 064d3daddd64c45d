//! Conversion of the file's settings to the controller's configuration.

use std::collections::BTreeSet;

use shalereel::interface::{
    AdmissionMode, ControllerConfig, DeduplicationScope, Idempotency, ListedCapacity, LoadColumn, LoadSource,
    Operation,
};

use super::checks::Checker;
use super::error::FileError;
use super::file::{
    AdmissionSetting, DeduplicationScopeSetting, DeploymentFile, IdempotencySetting, ListedCapacitySetting,
    MembershipSetting, OperationSection,
};

/// Maximum number of operations of a deployment. The error text below repeats this number.
const MAX_OPERATIONS: usize = 16;

impl Checker<'_> {
    pub(super) fn operations(&self, operations: &[OperationSection]) -> Result<Vec<Operation>, FileError> {
        if operations.is_empty() || operations.len() > MAX_OPERATIONS {
            let problem = format!("{} operations", operations.len());
            return Err(self.section("operation").reject("name", problem, "give 1 to 16 of them"));
        }
        let mut names = BTreeSet::new();
        let mut checked = Vec::new();
        for (index, operation) in operations.iter().enumerate() {
            self.operation_name(index, &operation.name, &mut names)?;
            checked.push(self.operation(index, operation)?);
        }
        Ok(checked)
    }

    fn operation_name<'a>(
        &self,
        index: usize,
        name: &'a str,
        names: &mut BTreeSet<&'a str>,
    ) -> Result<(), FileError> {
        let section = self.repeated_section("operation", index);
        let is_allowed = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
        if name.is_empty() || !name.chars().all(is_allowed) {
            let problem = format!("{name:?} is not a valid operation name");
            return Err(section.reject("name", problem, "use letters, digits, '-', '_' and '.'"));
        }
        if !names.insert(name) {
            let problem = format!("{name:?} is the name of two operations");
            return Err(section.reject("name", problem, "give each operation a unique name"));
        }
        Ok(())
    }

    fn operation(&self, index: usize, operation: &OperationSection) -> Result<Operation, FileError> {
        let section = self.repeated_section("operation", index);
        let objective_ms = operation.latency_objective_ms;
        let latency_objective = section.duration("latency_objective_ms", objective_ms, 1.0)?;
        let deduplication_window =
            section.duration("repeat_window_ms", operation.deduplication_window_ms, 0.0)?;
        let timeout = section.duration("integration_timeout_ms", operation.timeout_ms, objective_ms)?;
        Ok(Operation {
            idempotency: match operation.idempotency {
                IdempotencySetting::Idempotent => Idempotency::Idempotent,
                IdempotencySetting::Keyed => Idempotency::Keyed,
                IdempotencySetting::NonIdempotent => Idempotency::NonIdempotent,
            },
            deduplication_scope: match operation.deduplication_scope {
                DeduplicationScopeSetting::Everywhere => DeduplicationScope::Everywhere,
                DeduplicationScopeSetting::Locality => DeduplicationScope::Locality,
                DeduplicationScopeSetting::Cell => DeduplicationScope::Cell,
            },
            deduplication_window,
            latency_objective,
            timeout,
            priority_weight: section.number("billed_value", operation.priority_weight, 0.0..=1e6)?,
            local_only: false,
            writes: !matches!(operation.idempotency, IdempotencySetting::Idempotent),
        })
    }

    /// Checks and converts the settings one by one; the first invalid one in this order is reported.
    pub(super) fn controller_config(
        &self,
        settings: &DeploymentFile,
        locality: u16,
        operations: Vec<Operation>,
    ) -> Result<ControllerConfig, FileError> {
        let DeploymentFile { endpoint_list, channel, rules, forwarders, .. } = settings;
        let in_channel = self.section("channel");
        let in_rules = self.section("rules");
        let in_forwarders = self.section("forwarders");
        let overhead = in_channel.number("message_overhead", channel.message_overhead, 0.0..=1e6)?;
        let worst_transit = in_channel.duration("worst_transit_ms", channel.worst_transit_ms, 0.0)?;
        Ok(ControllerConfig {
            seed: settings.seed,
            supervisor_index: settings.supervisor_index,
            supervisor_count: settings.supervisor_count,
            locality,
            locality_count: settings.localities.len() as u16,
            operations,
            polls_endpoints: matches!(endpoint_list.membership, MembershipSetting::Polled),
            admission_mode: admission_mode(&forwarders.admission),
            load_source: LoadSource::Reports,
            load_columns: vec![LoadColumn::Cpu],
            health_checks_allowed: true,
            listed_capacity: listed_capacity(&endpoint_list.listed_capacity),
            proxy_count: in_forwarders.number("count", forwarders.count.into(), 1.0..=60_000.0)? as u32,
            channel_capacity: in_channel.number("backlog", channel.capacity, overhead + 2.0..=1e9)?,
            lines_per_s: in_channel.number("lines_per_s", channel.lines_per_s, 1.0..=1e9)?,
            message_overhead: overhead,
            report_interval: in_forwarders.duration(
                "report_cycle_ms",
                forwarders.report_interval_ms,
                10.0,
            )?,
            max_unserved_time: in_rules.duration("empty_for_ms", rules.max_unserved_time_ms, 0.0)?,
            first_wait: in_forwarders.number("first_wait", forwarders.first_wait, 0.0..=100.0)?,
            failures_to_avoid: forwarders.failures_to_avoid,
            key_range_count: 0,
            sole_owner: false,
            lease_duration: 0,
            in_flight_max: 0,
            mean_transit: in_channel.duration("mean_transit_ms", channel.mean_transit_ms, 0.0)?,
            worst_transit,
            message_limit: channel.message_limit,
            message_limit_window: in_channel.duration(
                "messages_over_ms",
                channel.message_limit_window_ms,
                0.0,
            )?,
            retry_default: 0,
            poll_interval: self.section("list").duration(
                "ask_every_ms",
                endpoint_list.poll_interval_ms,
                0.0,
            )?,
            slow_start_capacity: in_rules.number("cold_from", rules.slow_start_capacity, 0.001..=1.0)?,
            slow_start_duration: in_rules.duration("cold_for_ms", rules.slow_start_duration_ms, 0.0)?,
            overload_ratio: in_rules.number("tip_multiple", rules.overload_ratio, 1.0..=1e6)?,
            overload_delay: in_rules.duration("tip_after_ms", rules.overload_delay_ms, 0.0)?,
            drain_grace: in_rules.duration("drain_grace_ms", rules.drain_grace_ms, 0.0)?,
            removal_is_advisory: rules.removal_is_advisory,
        })
    }
}

fn admission_mode(setting: &AdmissionSetting) -> AdmissionMode {
    match setting {
        AdmissionSetting::Ignored => AdmissionMode::Ignored,
        AdmissionSetting::Ratio => AdmissionMode::Ratio,
    }
}

fn listed_capacity(setting: &ListedCapacitySetting) -> ListedCapacity {
    match setting {
        ListedCapacitySetting::Unknown => ListedCapacity::Unknown,
        ListedCapacitySetting::Approximate => ListedCapacity::Approximate,
        ListedCapacitySetting::Nominal => ListedCapacity::Nominal,
    }
}
