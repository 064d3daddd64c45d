//! Section `[shared]`: the group that a supervisor is a member of.

use shalereel::interface::ControllerConfig;
use shalereel_group::wire::{Duty, MemberAddress};
use shalereel_group::{GroupConfig, TimingSettings};

use super::checks::{Checker, Section};
use super::error::FileError;
use super::file::{DeploymentFile, GroupSection, InjectedFault};
use crate::client_limits::ClientLimits;

/// Maximum number of initial members of a group. The error text below repeats this number.
const MAX_MEMBERS: usize = 9;

/// The group that a supervisor is a member of.
#[derive(Clone, Debug)]
pub struct GroupDeployment {
    /// Settings of the group.
    pub config: GroupConfig,
    /// Number of key ranges that servers own; 0 disables key ranges.
    pub range_count: u32,
}

impl Checker<'_> {
    pub(super) fn group(
        &self,
        group: &GroupSection,
        settings: &DeploymentFile,
        config: &ControllerConfig,
    ) -> Result<GroupDeployment, FileError> {
        let section = self.section("shared");
        let own_number = usize::from(settings.supervisor_index);
        check_members(&section, group, own_number)?;
        section.number("drift", group.max_clock_drift, 0.0..=0.2)?;
        section.number("ranges", group.range_count.into(), 0.0..=4096.0)?;
        let timing = TimingSettings {
            election_timeout: section.duration("election_ms", group.election_timeout_ms, 50.0)?,
            max_clock_drift: group.max_clock_drift,
            tenure: section.duration("tenure_ms", group.tenure_ms, 50.0)?,
            max_in_flight: section.duration("in_flight_ms", group.max_in_flight_ms, 0.0)?,
            max_batch_entries: ClientLimits::new(config).max_log_entries(),
        };
        let voters = group.members.iter().enumerate();
        let no_fencing = settings.injected_fault == Some(InjectedFault::NoFencing);
        let config = GroupConfig {
            id: own_number as u32,
            address: group.members.get(own_number).unwrap_or(&settings.listen).to_string(),
            name: group.name.clone(),
            initial_voters: voters
                .map(|(id, address)| MemberAddress { id: id as u32, address: address.to_string() })
                .collect(),
            joining: group.joining,
            timing,
            seed: settings.seed,
            duties: duties(settings, group.range_count),
            injected_fault: no_fencing.then_some(shalereel_group::InjectedFault::NoFencing),
        };
        Ok(GroupDeployment { config, range_count: group.range_count })
    }
}

fn check_members(section: &Section, group: &GroupSection, own_number: usize) -> Result<(), FileError> {
    for &address in &group.members {
        section.loopback("members", address)?;
    }
    let min_members = if group.joining { 1 } else { own_number + 1 };
    let member_count = group.members.len();
    if (min_members..=MAX_MEMBERS).contains(&member_count) {
        return Ok(());
    }
    let problem = format!("{member_count} addresses for a group with supervisor number {own_number}");
    let remedy =
        "list the addresses of the group's initial members, one to nine, ordered by supervisor number from 0";
    Err(section.reject("members", problem, remedy))
}

/// All duties that the group's leader assigns to members.
fn duties(settings: &DeploymentFile, range_count: u32) -> Vec<Duty> {
    let tables = (0..settings.operations.len() as u32).map(Duty::FenceTable);
    let drains = (0..settings.localities.len() as u32).map(Duty::RunDrains);
    let ranges = (0..range_count).map(Duty::PlaceRange);
    tables.chain(drains).chain(ranges).chain([Duty::MergeReports]).collect()
}
