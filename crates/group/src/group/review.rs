//! The periodic review: submits the commands that this member's duties or its leadership require now.

use std::collections::BTreeSet;

use shalereel::interface::Nanos;

use super::Group;
use crate::leases::LeaseTable;
use crate::placement::{drains_to_begin, duty_assignments, next_owner};
use crate::wire::{
    AssignDuty, AssignRange, BeginDrain, CommandPayload, Configuration, Duty, Epoch, LogIndex, MemberId,
    MembershipChange, MoveRange, RangeCleared,
};

impl Group {
    pub(super) fn review(&mut self, now: Nanos) {
        self.report_cleared_moves(now);
        self.perform_duties(now);
        if self.raft.is_leader() {
            self.assign_duties(now);
            self.change_configuration(now);
        }
        self.send_commands(now);
    }

    fn report_cleared_moves(&mut self, now: Nanos) {
        let by_member = self.config.id;
        let cleared = self.range_grantor.cleared_moves(now, &self.timing, by_member, &self.state_machine);
        for (range, move_index) in cleared {
            let cleared = RangeCleared { range, move_index, by_member };
            self.request_command(now, CommandPayload::RangeCleared(cleared));
        }
    }

    fn perform_duties(&mut self, now: Nanos) {
        let duties = self.state_machine.duties().iter();
        let held = duties.filter(|(_, assignment)| assignment.holder == self.config.id);
        let held: Vec<(Duty, Epoch)> = held.map(|(&duty, assignment)| (duty, assignment.epoch)).collect();
        for (duty, epoch) in held {
            match duty {
                Duty::RunDrains(locality) => self.begin_drains(now, locality, epoch),
                Duty::PlaceRange(range) => self.place_range(now, range, epoch),
                Duty::MergeReports | Duty::FenceTable(_) => {}
            }
        }
    }

    fn begin_drains(&mut self, now: Nanos, locality: u32, epoch: Epoch) {
        let ready = self.servers.values().filter(|server| server.locality == locality && server.ready);
        for order_index in drains_to_begin(&self.state_machine, locality, ready.count()) {
            self.request_command(now, CommandPayload::BeginDrain(BeginDrain { order_index, epoch }));
        }
    }

    fn place_range(&mut self, now: Nanos, range: u32, epoch: Epoch) {
        if let Some(to_server) = next_owner(&self.state_machine, range, &self.servers) {
            self.request_command(now, CommandPayload::MoveRange(MoveRange { range, to_server, epoch }));
        }
    }

    fn assign_duties(&mut self, now: Nanos) {
        let voters = self.raft.configuration().voters;
        let present = voters.iter().map(|voter| voter.id).filter(|&voter| self.membership.is_present(voter));
        let present: BTreeSet<MemberId> = present.collect();
        let span = self.timing.stable_span();
        let stable = present.iter().copied();
        let stable: BTreeSet<MemberId> =
            stable.filter(|&voter| self.membership.is_alive_for(now, voter, span)).collect();
        let assignments = duty_assignments(&self.state_machine, &self.config.duties, &present, &stable);
        for (duty, holder) in assignments {
            let assign = AssignDuty { duty: Some(duty.into()), holder };
            self.request_command(now, CommandPayload::AssignDuty(assign));
        }
    }

    /// Appends the next configuration change, if there is one. A change that the log rejects is retried in the next
    /// review.
    fn change_configuration(&mut self, now: Nanos) {
        let mut configuration = self.raft.configuration();
        let next = match self.raft.learner_ready_to_vote() {
            Some(learner) => {
                configuration.learners.retain(|other| other.id != learner.id);
                configuration.voters.push(learner);
                Some(configuration)
            }
            None => {
                let mut changes = self.state_machine.membership_changes().values();
                changes.find_map(|change| configuration_after(&configuration, change))
            }
        };
        if let Some(next) = next {
            let _ = self.raft.change_configuration(now, next);
        }
    }

    /// Submits the assignment of each moving range whose former owner no forwarder can use any more. Only a leader does
    /// so: its lease table is created when it first does and dropped when it no longer leads.
    pub(super) fn assign_cleared_ranges(&mut self, now: Nanos) {
        let Some(elected_at) = self.raft.elected_at().filter(|_| self.raft.is_leader()) else {
            self.lease_table = None;
            return;
        };
        let members = self.configured_members();
        let lease_table = self.lease_table.get_or_insert_with(|| LeaseTable::new(&self.timing, elected_at));
        let mut assignable = lease_table.assignable_ranges(now, &self.timing, &self.state_machine, &members);
        if !self.enforces_fencing() {
            assignable = self.pending_moves();
        }
        let term = self.raft.term();
        for (range, move_index) in assignable {
            let assign = AssignRange { range, move_index, term };
            self.request_command(now, CommandPayload::AssignRange(assign));
        }
    }

    fn pending_moves(&self) -> Vec<(u32, LogIndex)> {
        let ranges = self.state_machine.ranges().iter();
        let moves = ranges.filter_map(|(&range, ownership)| {
            let pending_move = ownership.pending_move.as_ref()?;
            Some((range, pending_move.move_index))
        });
        moves.collect()
    }
}

/// The configuration after a requested change; `None` if the change is already in force or would leave no voter.
fn configuration_after(configuration: &Configuration, change: &MembershipChange) -> Option<Configuration> {
    let member = change.member.as_ref()?;
    let votes = configuration.is_voter(member.id);
    let learns = configuration.is_learner(member.id);
    let mut next = configuration.clone();
    if change.removed {
        let leaves_no_voter = votes && next.voters.len() <= 1;
        if leaves_no_voter || !(votes || learns) {
            return None;
        }
        next.voters.retain(|other| other.id != member.id);
        next.learners.retain(|other| other.id != member.id);
    } else {
        if votes || learns {
            return None;
        }
        next.learners.push(member.clone());
    }
    Some(next)
}
