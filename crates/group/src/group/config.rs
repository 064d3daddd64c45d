//! Settings of a member.

use crate::fault::InjectedFault;
use crate::timing::TimingSettings;
use crate::wire::{Configuration, Duty, MemberAddress, MemberId};

/// The group as one member is configured.
#[derive(Clone, Debug)]
pub struct GroupConfig {
    /// This member's number.
    pub id: MemberId,
    /// Where others reach it.
    pub address: String,
    /// Name of the group; members of groups of other names are ignored.
    pub name: String,
    /// The voters that the group began with.
    pub initial_voters: Vec<MemberAddress>,
    /// This member joins later and is added by an operator; until then it only takes part in membership.
    pub joining: bool,
    /// Settings of time.
    pub timing: TimingSettings,
    /// Seed of all random draws.
    pub seed: u64,
    /// Duties to be assigned.
    pub duties: Vec<Duty>,
    /// Nothing in service.
    pub injected_fault: Option<InjectedFault>,
}

impl GroupConfig {
    /// Members that are known from the start, with their addresses.
    pub(super) fn seeds(&self) -> Vec<(MemberId, String)> {
        self.initial_voters.iter().map(|voter| (voter.id, voter.address.clone())).collect()
    }

    /// The configuration that the log begins with.
    pub(super) fn initial_configuration(&self) -> Configuration {
        if self.joining {
            return Configuration::default();
        }
        Configuration { voters: self.initial_voters.clone(), learners: Vec::new() }
    }
}
