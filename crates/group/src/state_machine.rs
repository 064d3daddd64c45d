//! The replicated state machine: holders of duties, standing orders of operators, owners of key ranges, membership
//! changes. A pure function of the log: members that have applied the same entries have the same state.

mod apply;
mod assignments;
mod change;
mod encoding;

use std::collections::{BTreeMap, BTreeSet};

use prost::Message;

use crate::wire::{Duty, Entry, LogIndex, MemberId, MembershipChange};

pub use assignments::{DutyAssignment, PendingMove, RangeOwnership, StandingOrder};
pub use change::{AppliedChange, Rejection};

const MILLIONTHS: u32 = 1_000_000;

/// What the group has agreed on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StateMachine {
    duties: BTreeMap<Duty, DutyAssignment>,
    orders: BTreeMap<LogIndex, StandingOrder>,
    ranges: BTreeMap<u32, RangeOwnership>,
    /// Ids of the last requests, by the entries that carried them.
    applied_requests: BTreeMap<LogIndex, u64>,
    known_request_ids: BTreeSet<u64>,
    /// The last change of each member that was ever added or removed.
    membership_changes: BTreeMap<MemberId, MembershipChange>,
    history_checksum: u32,
}

impl StateMachine {
    /// Holders of all duties that were ever assigned.
    pub fn duties(&self) -> &BTreeMap<Duty, DutyAssignment> {
        &self.duties
    }

    /// Holder of a duty.
    pub fn assignment(&self, duty: Duty) -> Option<DutyAssignment> {
        self.duties.get(&duty).copied()
    }

    /// Standing orders, by the entries that gave them.
    pub fn orders(&self) -> &BTreeMap<LogIndex, StandingOrder> {
        &self.orders
    }

    /// Owners of key ranges.
    pub fn ranges(&self) -> &BTreeMap<u32, RangeOwnership> {
        &self.ranges
    }

    /// The last change of each member that was ever added or removed.
    pub fn membership_changes(&self) -> &BTreeMap<MemberId, MembershipChange> {
        &self.membership_changes
    }

    /// Checksum of all entries so far, in order: members that have applied the same log have the same.
    pub fn history_checksum(&self) -> u32 {
        self.history_checksum
    }

    pub(crate) fn append_to_history(&mut self, entry: &Entry) {
        self.history_checksum = crc32c::crc32c_append(self.history_checksum, &entry.encode_to_vec());
    }

    /// Was a request with this id applied of late?
    pub fn has_applied(&self, request_id: u64) -> bool {
        self.known_request_ids.contains(&request_id)
    }

    /// Servers whose drain by an operator has begun.
    pub fn drained_servers(&self) -> BTreeSet<u32> {
        let is_drain = |standing: &&StandingOrder| standing.order.weight_cap_millionths.is_none();
        let drains = self.orders.values().filter(is_drain).filter(|standing| standing.active);
        drains.map(|standing| standing.order.server).collect()
    }

    /// Servers whose weight an operator caps, with the lowest of their caps as a part of the decided weight, 0 to 1.
    pub fn weight_caps(&self) -> BTreeMap<u32, f64> {
        let mut caps: BTreeMap<u32, f64> = BTreeMap::new();
        for standing in self.orders.values() {
            let Some(millionths) = standing.order.weight_cap_millionths else { continue };
            let part = f64::from(millionths.min(MILLIONTHS)) / f64::from(MILLIONTHS);
            let cap = caps.entry(standing.order.server).or_insert(part);
            *cap = cap.min(part);
        }
        caps
    }
}
