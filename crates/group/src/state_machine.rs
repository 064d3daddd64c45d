//! The replicated state machine: holders of duties, operators' standing orders, owners of key ranges and membership
//! changes. It is a pure function of the log: members that have applied the same entries have the same state.

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

/// The state that results from all applied commands.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StateMachine {
    duties: BTreeMap<Duty, DutyAssignment>,
    orders: BTreeMap<LogIndex, StandingOrder>,
    ranges: BTreeMap<u32, RangeOwnership>,
    /// Ids of the most recently applied requests, by the index of the entry.
    applied_requests: BTreeMap<LogIndex, u64>,
    /// The values of `applied_requests`, for lookup.
    known_request_ids: BTreeSet<u64>,
    /// The latest change of each member that an operator ever added or removed.
    membership_changes: BTreeMap<MemberId, MembershipChange>,
    history_checksum: u32,
}

impl StateMachine {
    /// Every duty that was ever assigned, with its holder.
    pub fn duties(&self) -> &BTreeMap<Duty, DutyAssignment> {
        &self.duties
    }

    /// The current assignment of a duty; `None` if it was never assigned.
    pub fn assignment(&self, duty: Duty) -> Option<DutyAssignment> {
        self.duties.get(&duty).copied()
    }

    /// Operators' orders that are not released, by the index of the entry that added them.
    pub fn orders(&self) -> &BTreeMap<LogIndex, StandingOrder> {
        &self.orders
    }

    /// Ownership of each key range that was ever assigned or moved.
    pub fn ranges(&self) -> &BTreeMap<u32, RangeOwnership> {
        &self.ranges
    }

    /// The latest change of each member that an operator ever added or removed.
    pub fn membership_changes(&self) -> &BTreeMap<MemberId, MembershipChange> {
        &self.membership_changes
    }

    /// CRC-32C of all applied entries in order: equal on members that have applied the same log.
    pub fn history_checksum(&self) -> u32 {
        self.history_checksum
    }

    pub(crate) fn append_to_history(&mut self, entry: &Entry) {
        self.history_checksum = crc32c::crc32c_append(self.history_checksum, &entry.encode_to_vec());
    }

    /// Whether a request with this id is among the most recently applied ones.
    pub fn has_applied(&self, request_id: u64) -> bool {
        self.known_request_ids.contains(&request_id)
    }

    /// Servers that an operator drains, without those whose drain is still queued.
    pub fn drained_servers(&self) -> BTreeSet<u32> {
        let is_drain = |standing_order: &&StandingOrder| standing_order.order.weight_cap_millionths.is_none();
        let drains = self.orders.values().filter(is_drain).filter(|standing_order| standing_order.active);
        drains.map(|standing_order| standing_order.order.server).collect()
    }

    /// Servers whose weight an operator caps, each with its lowest cap as a fraction of the decided weight, 0 to 1.
    pub fn weight_caps(&self) -> BTreeMap<u32, f64> {
        let mut caps: BTreeMap<u32, f64> = BTreeMap::new();
        for standing_order in self.orders.values() {
            let Some(millionths) = standing_order.order.weight_cap_millionths else { continue };
            let part = f64::from(millionths.min(MILLIONTHS)) / f64::from(MILLIONTHS);
            let cap = caps.entry(standing_order.order.server).or_insert(part);
            *cap = cap.min(part);
        }
        caps
    }
}
