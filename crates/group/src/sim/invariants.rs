//! Invariants that are checked after each step, and convergence at the end of a schedule.

use std::collections::BTreeSet;

use super::simulation::Simulation;
use super::violation::{ConvergenceFailure, Violation, ViolationKind};
use crate::group::{Group, LogStatus, MemberRole};
use crate::state_machine::StateMachine;
use crate::wire::{LogIndex, MemberId};

impl Simulation {
    pub fn check_member(&mut self, id: MemberId) -> Result<(), Violation> {
        self.check_invariants(id).map_err(|kind| self.violation(kind))
    }

    fn check_invariants(&mut self, id: MemberId) -> Result<(), ViolationKind> {
        let Some(group) = self.members.get(&id).and_then(|member| member.group.as_ref()) else {
            return Ok(());
        };
        let log = group.log_status();
        let (role, is_leader) = (group.role(), group.is_leader());
        let history = group.state_machine().history_checksum();
        let duplicate_order = server_of_duplicate_order(group.state_machine());
        self.check_leader(id, role, log.term)?;
        self.record_leader(is_leader);
        self.check_log(id, &log)?;
        self.check_history(id, log.last_applied, history)?;
        match duplicate_order {
            Some(server) => Err(ViolationKind::DuplicateOrder { server }),
            None => Ok(()),
        }
    }

    fn check_leader(&mut self, id: MemberId, role: MemberRole, term: u64) -> Result<(), ViolationKind> {
        if role != MemberRole::Leader {
            return Ok(());
        }
        let stats = &mut self.stats;
        let first = *self.leaders.entry(term).or_insert_with(|| {
            stats.elections += 1;
            id
        });
        if first != id {
            return Err(ViolationKind::TwoLeaders { term, first, second: id });
        }
        Ok(())
    }

    fn record_leader(&mut self, is_leader: bool) {
        if !is_leader {
            return;
        }
        if let Some(since) = self.leaderless_since.take() {
            self.stats.longest_leaderless = self.stats.longest_leaderless.max(self.now - since);
        }
    }

    fn check_log(&mut self, id: MemberId, log: &LogStatus) -> Result<(), ViolationKind> {
        let (applied, committed, last) = (log.last_applied, log.commit_index, log.last_index);
        if applied > committed || committed > last {
            return Err(ViolationKind::AppliedUncommitted { member: id, applied, committed, last });
        }
        let Some(member) = self.members.get_mut(&id) else { return Ok(()) };
        if applied < member.applied {
            let from = member.applied;
            return Err(ViolationKind::AppliedIndexDecreased { member: id, from, to: applied });
        }
        member.applied = applied;
        Ok(())
    }

    fn check_history(&mut self, id: MemberId, index: LogIndex, history: u32) -> Result<(), ViolationKind> {
        if index == 0 {
            return Ok(());
        }
        let stats = &mut self.stats;
        let agreed = *self.histories.entry(index).or_insert_with(|| {
            stats.committed = stats.committed.max(index);
            history
        });
        if agreed != history {
            return Err(ViolationKind::HistoriesDiffer { member: id, index });
        }
        Ok(())
    }

    /// Checks that there is one leader, that every voter follows it and has applied the whole log, and that every range
    /// has an owner.
    pub fn check_converged(&self) -> Result<(), ConvergenceFailure> {
        let groups = || self.members.values().filter_map(|member| member.group.as_ref());
        let leaders: Vec<MemberId> = groups().filter(|group| group.is_leader()).map(Group::id).collect();
        let [leader] = leaders[..] else { return Err(ConvergenceFailure::Leaders(leaders)) };
        let highest_applied = groups().map(|group| group.log_status().last_applied).max().unwrap_or(0);
        for group in groups().filter(|group| group.configuration().is_voter(group.id())) {
            let (member, role) = (group.id(), group.role());
            if role != MemberRole::Follower(leader) && member != leader {
                return Err(ConvergenceFailure::NotFollowing { member, role, leader });
            }
            let applied = group.log_status().last_applied;
            if applied < highest_applied {
                return Err(ConvergenceFailure::Behind { member, applied, highest_applied });
            }
            for range in 0..self.settings.ranges {
                let ownership = group.state_machine().ranges().get(&range);
                if ownership.is_none_or(|ownership| ownership.owner.is_none()) {
                    let ownership = ownership.cloned();
                    return Err(ConvergenceFailure::RangeNotOwned { range, member, ownership });
                }
            }
        }
        Ok(())
    }
}

/// The server of an order that exists twice, if there is one.
fn server_of_duplicate_order(state_machine: &StateMachine) -> Option<u32> {
    let mut seen = BTreeSet::new();
    let orders = state_machine.orders().values().map(|standing_order| &standing_order.order);
    let mut repeated = orders.filter(|order| !seen.insert((order.server, order.weight_cap_millionths)));
    repeated.next().map(|order| order.server)
}
