//! Configuration of a member.

use crate::fault::InjectedFault;
use crate::timing::TimingSettings;
use crate::wire::{Configuration, Duty, MemberAddress, MemberId};

/// Configuration of one member of a group.
#[derive(Clone, Debug)]
pub struct GroupConfig {
    /// This member's number.
    pub id: MemberId,
    /// Host and port at which other members reach this one.
    pub address: String,
    /// Name of the group; messages of groups with other names are ignored.
    pub name: String,
    /// The group's initial voters.
    pub initial_voters: Vec<MemberAddress>,
    /// Whether this member joins an existing group. Until an operator adds it, it participates only in membership.
    pub joining: bool,
    /// Time spans and limits.
    pub timing: TimingSettings,
    /// Seed of all random numbers.
    pub seed: u64,
    /// The duties that the leader assigns.
    pub duties: Vec<Duty>,
    /// A fault that a test injects; `None` in production.
    pub injected_fault: Option<InjectedFault>,
}

impl GroupConfig {
    /// The initial voters with their addresses, which seed the membership.
    pub(super) fn seeds(&self) -> Vec<(MemberId, String)> {
        self.initial_voters.iter().map(|voter| (voter.id, voter.address.clone())).collect()
    }

    /// The configuration at the start of the log.
    pub(super) fn initial_configuration(&self) -> Configuration {
        if self.joining {
            return Configuration::default();
        }
        Configuration { voters: self.initial_voters.clone(), learners: Vec::new() }
    }
}
