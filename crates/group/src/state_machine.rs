//! What a group has agreed on: who holds which duty, which orders of operators stand, who owns which key range. A
//! pure function of the log: whoever carries out the same entries knows the same.

use std::collections::{BTreeMap, BTreeSet};

use prost::Message;

use crate::fault::InjectedFault;
use crate::wire::{
    AssignDuty, AssignRange, BeginDrain, Command, CommandPayload, Duty, DutyKey, Entry, Epoch, LogIndex,
    MemberId, MembershipChange, MoveRange, OperatorOrder, RangeCleared, ReleaseOrder,
};

/// So many requests are remembered, so that one that comes again has no second effect.
const REMEMBERED_REQUESTS: usize = 4096;

/// Who holds a duty, and by which entry.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct DutyAssignment {
    #[prost(uint32, tag = "1")]
    pub holder: MemberId,
    #[prost(uint64, tag = "2")]
    pub epoch: Epoch,
}

/// An operator's order that stands.
#[derive(Clone, PartialEq, Message)]
pub struct StandingOrder {
    #[prost(message, required, tag = "1")]
    pub order: OperatorOrder,
    /// Drains wait for their turn; holds act at once.
    #[prost(bool, tag = "2")]
    pub active: bool,
}

/// A range on its way.
#[derive(Clone, PartialEq, Message)]
pub struct PendingMove {
    #[prost(uint32, tag = "1")]
    pub to_server: u32,
    /// Index of the move.
    #[prost(uint64, tag = "2")]
    pub move_index: LogIndex,
    /// Members that have nobody any more who sends to the owner before.
    #[prost(uint32, repeated, tag = "3")]
    pub cleared_by: Vec<MemberId>,
}

/// Who owns a key range, and since which entry. While it moves nobody does.
#[derive(Clone, PartialEq, Message)]
pub struct RangeOwnership {
    #[prost(uint32, optional, tag = "1")]
    pub owner: Option<u32>,
    #[prost(uint64, tag = "2")]
    pub epoch: Epoch,
    #[prost(message, optional, tag = "3")]
    pub pending_move: Option<PendingMove>,
}

/// What an entry changed.
#[derive(Clone, Debug, PartialEq)]
pub enum AppliedChange {
    DutyAssigned {
        duty: Duty,
        assignment: DutyAssignment,
    },
    OrderQueued {
        order_index: LogIndex,
        order: OperatorOrder,
    },
    OrderActivated {
        order_index: LogIndex,
        order: OperatorOrder,
    },
    OrderReleased {
        order_index: LogIndex,
        order: OperatorOrder,
    },
    RangeWithdrawn {
        range: u32,
        move_index: LogIndex,
    },
    RangeCleared {
        range: u32,
        by_member: MemberId,
    },
    RangeAssigned {
        range: u32,
        owner: u32,
        epoch: Epoch,
    },
    MembershipChanged {
        member: crate::wire::MemberAddress,
        removed: bool,
    },
    /// Asked for by one who no longer may, or about what is no more.
    Rejected(&'static str),
    /// A request that was carried out before.
    Duplicate,
}

#[derive(Clone, PartialEq, Message)]
struct StoredDuty {
    #[prost(message, required, tag = "1")]
    duty: DutyKey,
    #[prost(message, required, tag = "2")]
    assignment: DutyAssignment,
}

#[derive(Clone, PartialEq, Message)]
struct StoredState {
    #[prost(message, repeated, tag = "1")]
    duties: Vec<StoredDuty>,
    #[prost(btree_map = "uint64, message", tag = "2")]
    orders: BTreeMap<LogIndex, StandingOrder>,
    #[prost(btree_map = "uint32, message", tag = "3")]
    ranges: BTreeMap<u32, RangeOwnership>,
    #[prost(btree_map = "uint64, uint64", tag = "4")]
    applied_requests: BTreeMap<LogIndex, u64>,
    #[prost(btree_map = "uint32, message", tag = "5")]
    membership_changes: BTreeMap<MemberId, MembershipChange>,
    #[prost(uint32, tag = "6")]
    history_checksum: u32,
}

/// What was agreed so far.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StateMachine {
    duties: BTreeMap<Duty, DutyAssignment>,
    orders: BTreeMap<LogIndex, StandingOrder>,
    ranges: BTreeMap<u32, RangeOwnership>,
    /// Requests by the entries that carried them out.
    applied_requests: BTreeMap<LogIndex, u64>,
    known_request_ids: BTreeSet<u64>,
    /// Controllers that were ordered in or out, by the last word on each.
    membership_changes: BTreeMap<MemberId, MembershipChange>,
    history_checksum: u32,
}

impl StateMachine {
    pub fn duties(&self) -> &BTreeMap<Duty, DutyAssignment> {
        &self.duties
    }

    pub fn assignment(&self, duty: Duty) -> Option<DutyAssignment> {
        self.duties.get(&duty).copied()
    }

    pub fn orders(&self) -> &BTreeMap<LogIndex, StandingOrder> {
        &self.orders
    }

    pub fn ranges(&self) -> &BTreeMap<u32, RangeOwnership> {
        &self.ranges
    }

    /// Checksum of every entry so far, in order: members that carried out the same log have the same.
    pub fn history_checksum(&self) -> u32 {
        self.history_checksum
    }

    pub(crate) fn append_to_history(&mut self, entry: &Entry) {
        self.history_checksum = crc32c::crc32c_append(self.history_checksum, &entry.encode_to_vec());
    }

    pub fn membership_changes(&self) -> &BTreeMap<MemberId, MembershipChange> {
        &self.membership_changes
    }

    pub fn has_applied(&self, request: u64) -> bool {
        self.known_request_ids.contains(&request)
    }

    /// Servers that operators drain, those whose turn has come.
    pub fn drained_servers(&self) -> BTreeSet<u32> {
        let drains = self
            .orders
            .values()
            .filter(|standing| standing.order.weight_cap_millionths.is_none() && standing.active);
        drains.map(|standing| standing.order.server).collect()
    }

    /// Servers held at most at a part of what is decided, 0 to 1.
    pub fn weight_caps(&self) -> BTreeMap<u32, f64> {
        let mut found: BTreeMap<u32, f64> = BTreeMap::new();
        for standing in self.orders.values() {
            if let Some(part) = standing.order.weight_cap_millionths {
                let part = f64::from(part.min(1_000_000)) / 1e6;
                let held = found.entry(standing.order.server).or_insert(part);
                *held = held.min(part);
            }
        }
        found
    }

    /// Carries one command out. `term`: of the entry it stands in.
    pub fn apply(
        &mut self,
        index: LogIndex,
        term: u64,
        command: &Command,
        injected_fault: Option<InjectedFault>,
    ) -> AppliedChange {
        if command.request_id != 0 {
            if !self.known_request_ids.insert(command.request_id) {
                return AppliedChange::Duplicate;
            }
            self.applied_requests.insert(index, command.request_id);
            while self.applied_requests.len() > REMEMBERED_REQUESTS {
                if let Some((_, request)) = self.applied_requests.pop_first() {
                    self.known_request_ids.remove(&request);
                }
            }
        }
        let unfenced = injected_fault == Some(InjectedFault::NoFence);
        match &command.payload {
            Some(CommandPayload::AssignDuty(AssignDuty { duty: Some(name), holder })) => match name.duty() {
                Some(duty) => {
                    let held = DutyAssignment { holder: *holder, epoch: index };
                    self.duties.insert(duty, held);
                    AppliedChange::DutyAssigned { duty, assignment: held }
                }
                None => AppliedChange::Rejected("a duty of a later version"),
            },
            Some(CommandPayload::OperatorOrder(order)) => {
                let begun = order.weight_cap_millionths.is_some();
                let same = self.orders.values().any(|standing| standing.order == *order);
                if same {
                    return AppliedChange::Rejected("the same order stands already");
                }
                self.orders.insert(index, StandingOrder { order: order.clone(), active: begun });
                if begun {
                    return AppliedChange::OrderActivated { order_index: index, order: order.clone() };
                }
                AppliedChange::OrderQueued { order_index: index, order: order.clone() }
            }
            Some(CommandPayload::ReleaseOrder(ReleaseOrder { order_index: order })) => match self
                .orders
                .remove(order)
            {
                Some(standing) => AppliedChange::OrderReleased { order_index: *order, order: standing.order },
                None => AppliedChange::Rejected("no such order stands"),
            },
            Some(CommandPayload::BeginDrain(BeginDrain { order_index: order, epoch })) => {
                let locality = self.orders.get(order).map(|standing| standing.order.locality);
                let duty = locality.and_then(|locality| self.assignment(Duty::RunDrains(locality)));
                if !unfenced && duty.is_none_or(|held| held.epoch != *epoch) {
                    return AppliedChange::Rejected("a drain begun by one who no longer holds that duty");
                }
                match self.orders.get_mut(order).filter(|standing| !standing.active) {
                    Some(standing) => {
                        standing.active = true;
                        AppliedChange::OrderActivated { order_index: *order, order: standing.order.clone() }
                    }
                    None => AppliedChange::Rejected("the drain has begun, or was released"),
                }
            }
            Some(CommandPayload::MoveRange(moved)) => self.start_move(index, moved, unfenced),
            Some(CommandPayload::RangeCleared(RangeCleared { range, move_index: moved, by_member: by })) => {
                let moving = self.ranges.get_mut(range).and_then(|owned| owned.pending_move.as_mut());
                match moving.filter(|moving| moving.move_index == *moved && !moving.cleared_by.contains(by)) {
                    Some(moving) => {
                        moving.cleared_by.push(*by);
                        AppliedChange::RangeCleared { range: *range, by_member: *by }
                    }
                    None => AppliedChange::Rejected("cleared for a move that is over"),
                }
            }
            Some(CommandPayload::AssignRange(AssignRange { range, move_index: moved, term: of })) => {
                // What a deposed leader found safe was safe by leases that it alone knew.
                if !unfenced && *of != term {
                    return AppliedChange::Rejected("given by a leader of an earlier term");
                }
                let Some(owned) = self.ranges.get_mut(range) else {
                    return AppliedChange::Rejected("no such range");
                };
                match owned.pending_move.take_if(|moving| moving.move_index == *moved) {
                    Some(moving) => {
                        (owned.owner, owned.epoch) = (Some(moving.to_server), index);
                        AppliedChange::RangeAssigned { range: *range, owner: moving.to_server, epoch: index }
                    }
                    None => AppliedChange::Rejected("given for a move that is over"),
                }
            }
            Some(CommandPayload::ChangeMembership(change)) => match &change.member {
                Some(seat) => {
                    self.membership_changes.insert(seat.id, change.clone());
                    AppliedChange::MembershipChanged { member: seat.clone(), removed: change.removed }
                }
                None => AppliedChange::Rejected("no seat named"),
            },
            _ => AppliedChange::Rejected("a command of a later version"),
        }
    }

    fn start_move(&mut self, index: LogIndex, moved: &MoveRange, unfenced: bool) -> AppliedChange {
        let held = self.assignment(Duty::PlaceRange(moved.range));
        // Epoch 0 is an operator's word.
        if !unfenced && moved.epoch != 0 && held.is_none_or(|held| held.epoch != moved.epoch) {
            return AppliedChange::Rejected("a move by one who no longer holds that duty");
        }
        let owned = self.ranges.entry(moved.range).or_default();
        if owned.pending_move.is_none() && owned.owner == Some(moved.to_server) {
            return AppliedChange::Rejected("that server owns the range already");
        }
        // Under way already: it goes elsewhere instead, and what was cleared stays so.
        let cleared = owned.pending_move.take().map(|moving| (moving.move_index, moving.cleared_by));
        let (first, cleared) = cleared.unwrap_or((index, Vec::new()));
        owned.owner = None;
        owned.pending_move =
            Some(PendingMove { to_server: moved.to_server, move_index: first, cleared_by: cleared });
        AppliedChange::RangeWithdrawn { range: moved.range, move_index: first }
    }

    pub fn encode(&self) -> Vec<u8> {
        let duties =
            self.duties.iter().map(|(&duty, &held)| StoredDuty { duty: duty.into(), assignment: held });
        StoredState {
            duties: duties.collect(),
            orders: self.orders.clone(),
            ranges: self.ranges.clone(),
            applied_requests: self.applied_requests.clone(),
            membership_changes: self.membership_changes.clone(),
            history_checksum: self.history_checksum,
        }
        .encode_to_vec()
    }

    /// Errors: it is no such state.
    pub fn decode(bytes: &[u8]) -> Result<Self, prost::DecodeError> {
        let kept = StoredState::decode(bytes)?;
        let duties = kept.duties.iter().filter_map(|kept| Some((kept.duty.duty()?, kept.assignment)));
        Ok(StateMachine {
            duties: duties.collect(),
            orders: kept.orders,
            ranges: kept.ranges,
            known_request_ids: kept.applied_requests.values().copied().collect(),
            applied_requests: kept.applied_requests,
            membership_changes: kept.membership_changes,
            history_checksum: kept.history_checksum,
        })
    }
}
