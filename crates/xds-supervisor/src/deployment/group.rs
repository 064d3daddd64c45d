//! Section `[shared]`: the group that a supervisor is a member of.

use shalereel::interface::ControllerConfig;
use shalereel_group::wire::{Duty, MemberAddress};
use shalereel_group::{GroupConfig, TimingSettings};

use super::checks::{Checker, Section};
use super::error::FileError;
use super::file::{DeploymentFile, GroupSection, InjectedFault};
use crate::client_limits::ClientLimits;

/// Most members that a group may begin with. The error text below repeats this number.
const MAX_MEMBERS: usize = 9;

/// The group that a supervisor is a member of.
#[derive(Clone, Debug)]
pub struct GroupDeployment {
    /// Settings of the group.
    pub config: GroupConfig,
    /// Number of key ranges; 0: servers own none.
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
        let own = usize::from(settings.supervisor);
        check_members(&section, group, own)?;
        section.number("drift", group.drift, 0.0..=0.2)?;
        section.number("ranges", group.ranges.into(), 0.0..=4096.0)?;
        let timing = TimingSettings {
            election_timeout: section.duration("election_ms", group.election_ms, 50.0)?,
            max_clock_drift: group.drift,
            tenure: section.duration("tenure_ms", group.tenure_ms, 50.0)?,
            max_in_flight: section.duration("in_flight_ms", group.in_flight_ms, 0.0)?,
            max_batch_entries: ClientLimits::new(config).max_log_entries(),
        };
        let voters = group.members.iter().enumerate();
        let no_fencing = settings.planted == Some(InjectedFault::NoFencing);
        let config = GroupConfig {
            id: own as u32,
            address: group.members.get(own).unwrap_or(&settings.listen).to_string(),
            name: group.name.clone(),
            initial_voters: voters
                .map(|(id, address)| MemberAddress { id: id as u32, address: address.to_string() })
                .collect(),
            joining: group.joining,
            timing,
            seed: settings.seed,
            duties: duties(settings, group.ranges),
            injected_fault: no_fencing.then_some(shalereel_group::InjectedFault::NoFencing),
        };
        Ok(GroupDeployment { config, range_count: group.ranges })
    }
}

fn check_members(section: &Section, group: &GroupSection, own: usize) -> Result<(), FileError> {
    for &address in &group.members {
        section.loopback("members", address)?;
    }
    let least = if group.joining { 1 } else { own + 1 };
    let given = group.members.len();
    if (least..=MAX_MEMBERS).contains(&given) {
        return Ok(());
    }
    let problem = format!("{given} addresses, for supervisor number {own}");
    let remedy = "give one to nine, one for each number from 0 that the group began with";
    Err(section.reject("members", problem, remedy))
}

/// All duties that the group's members take leases of.
fn duties(settings: &DeploymentFile, range_count: u32) -> Vec<Duty> {
    let tables = (0..settings.operations.len() as u32).map(Duty::FenceTable);
    let drains = (0..settings.localities.len() as u32).map(Duty::RunDrains);
    let ranges = (0..range_count).map(Duty::PlaceRange);
    tables.chain(drains).chain(ranges).chain([Duty::MergeReports]).collect()
}
