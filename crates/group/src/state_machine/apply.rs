//! Application of committed commands.

use super::assignments::{DutyAssignment, PendingMove, RangeOwnership, StandingOrder};
use super::change::{AppliedChange, Rejection};
use super::StateMachine;
use crate::fault::InjectedFault;
use crate::wire::{
    AssignDuty, AssignRange, BeginDrain, Command, CommandPayload, Duty, LogIndex, MembershipChange,
    MoveRange, OperatorOrder, RangeCleared, ReleaseOrder,
};

/// How many applied request ids are remembered to detect duplicates.
const REMEMBERED_REQUESTS: usize = 4096;

type Applied = Result<AppliedChange, Rejection>;

impl StateMachine {
    /// Applies one committed command. `index` and `term` are those of the command's entry.
    pub fn apply(
        &mut self,
        index: LogIndex,
        term: u64,
        command: &Command,
        injected_fault: Option<InjectedFault>,
    ) -> AppliedChange {
        if command.request_id != 0 && !self.remember_request(index, command.request_id) {
            return AppliedChange::Duplicate;
        }
        let fenced = injected_fault != Some(InjectedFault::NoFencing);
        let applied = match &command.payload {
            Some(CommandPayload::AssignDuty(assign)) => self.assign_duty(index, assign),
            Some(CommandPayload::OperatorOrder(order)) => self.add_order(index, order),
            Some(CommandPayload::ReleaseOrder(release)) => self.release_order(release),
            Some(CommandPayload::BeginDrain(begin)) => self.begin_drain(begin, fenced),
            Some(CommandPayload::MoveRange(move_range)) => self.begin_move(index, move_range, fenced),
            Some(CommandPayload::RangeCleared(cleared)) => self.clear_move(cleared),
            Some(CommandPayload::AssignRange(assign)) => self.assign_range(index, term, assign, fenced),
            Some(CommandPayload::ChangeMembership(change)) => self.change_membership(change),
            None => Err(Rejection::UnknownCommand),
        };
        applied.unwrap_or_else(AppliedChange::Rejected)
    }

    /// Returns false if the request was applied before.
    fn remember_request(&mut self, index: LogIndex, request_id: u64) -> bool {
        if !self.known_request_ids.insert(request_id) {
            return false;
        }
        self.applied_requests.insert(index, request_id);
        while self.applied_requests.len() > REMEMBERED_REQUESTS {
            if let Some((_, oldest)) = self.applied_requests.pop_first() {
                self.known_request_ids.remove(&oldest);
            }
        }
        true
    }

    fn assign_duty(&mut self, index: LogIndex, assign: &AssignDuty) -> Applied {
        let key = assign.duty.as_ref().ok_or(Rejection::UnknownCommand)?;
        let duty = key.duty().ok_or(Rejection::UnknownDuty)?;
        let assignment = DutyAssignment { holder: assign.holder, epoch: index };
        self.duties.insert(duty, assignment);
        Ok(AppliedChange::DutyAssigned { duty, assignment })
    }

    fn add_order(&mut self, index: LogIndex, order: &OperatorOrder) -> Applied {
        if self.orders.values().any(|standing_order| standing_order.order == *order) {
            return Err(Rejection::OrderExists);
        }
        let active = order.weight_cap_millionths.is_some();
        let order = order.clone();
        self.orders.insert(index, StandingOrder { order: order.clone(), active });
        Ok(if active {
            AppliedChange::OrderActivated { order_index: index, order }
        } else {
            AppliedChange::OrderQueued { order_index: index, order }
        })
    }

    fn release_order(&mut self, release: &ReleaseOrder) -> Applied {
        let order_index = release.order_index;
        let standing_order = self.orders.remove(&order_index).ok_or(Rejection::NoSuchOrder)?;
        Ok(AppliedChange::OrderReleased { order_index, order: standing_order.order })
    }

    fn begin_drain(&mut self, begin: &BeginDrain, fenced: bool) -> Applied {
        let order_index = begin.order_index;
        let locality = self.orders.get(&order_index).map(|standing_order| standing_order.order.locality);
        let held = locality.and_then(|locality| self.assignment(Duty::RunDrains(locality)));
        if fenced && held.is_none_or(|held| held.epoch != begin.epoch) {
            return Err(Rejection::StaleDrainEpoch);
        }
        let queued = self.orders.get_mut(&order_index).filter(|standing_order| !standing_order.active);
        let standing_order = queued.ok_or(Rejection::DrainNotQueued)?;
        standing_order.active = true;
        Ok(AppliedChange::OrderActivated { order_index, order: standing_order.order.clone() })
    }

    fn begin_move(&mut self, index: LogIndex, move_range: &MoveRange, fenced: bool) -> Applied {
        let (range, to_server) = (move_range.range, move_range.to_server);
        let held = self.assignment(Duty::PlaceRange(range));
        let by_operator = move_range.epoch == 0;
        if fenced && !by_operator && held.is_none_or(|held| held.epoch != move_range.epoch) {
            return Err(Rejection::StaleMoveEpoch);
        }
        let ownership: &mut RangeOwnership = self.ranges.entry(range).or_default();
        if ownership.pending_move.is_none() && ownership.owner == Some(to_server) {
            return Err(Rejection::AlreadyOwner);
        }
        // A pending move is redirected to the new server; members that have cleared it need not clear it again.
        let new_move = PendingMove { to_server, move_index: index, cleared_by: Vec::new() };
        let pending_move = match ownership.pending_move.take() {
            Some(redirected) => PendingMove { to_server, ..redirected },
            None => new_move,
        };
        let move_index = pending_move.move_index;
        ownership.owner = None;
        ownership.pending_move = Some(pending_move);
        Ok(AppliedChange::RangeWithdrawn { range, move_index })
    }

    fn clear_move(&mut self, cleared: &RangeCleared) -> Applied {
        let (range, by_member) = (cleared.range, cleared.by_member);
        let ownership = self.ranges.get_mut(&range);
        let pending_move = ownership.and_then(|ownership| ownership.pending_move.as_mut());
        let uncleared = pending_move.filter(|pending_move| {
            pending_move.move_index == cleared.move_index && !pending_move.cleared_by.contains(&by_member)
        });
        uncleared.ok_or(Rejection::StaleClearance)?.cleared_by.push(by_member);
        Ok(AppliedChange::RangeCleared { range, by_member })
    }

    fn assign_range(&mut self, index: LogIndex, term: u64, assign: &AssignRange, fenced: bool) -> Applied {
        // The former leader decided by its own lease table, which its successor does not have.
        if fenced && assign.term != term {
            return Err(Rejection::StaleTerm);
        }
        let ownership = self.ranges.get_mut(&assign.range).ok_or(Rejection::NoSuchRange)?;
        let completed = ownership.pending_move.take_if(|pending| pending.move_index == assign.move_index);
        let completed = completed.ok_or(Rejection::StaleAssignment)?;
        ownership.owner = Some(completed.to_server);
        ownership.epoch = index;
        Ok(AppliedChange::RangeAssigned { range: assign.range, owner: completed.to_server, epoch: index })
    }

    fn change_membership(&mut self, change: &MembershipChange) -> Applied {
        let member = change.member.clone().ok_or(Rejection::MissingMember)?;
        self.membership_changes.insert(member.id, change.clone());
        Ok(AppliedChange::MembershipChanged { member, removed: change.removed })
    }
}
