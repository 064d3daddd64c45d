//! Encoding of the state machine in snapshots. Field tags and order are fixed for compatibility with stored files.

use std::collections::BTreeMap;

use prost::Message;

use super::assignments::{DutyAssignment, RangeOwnership, StandingOrder};
use super::StateMachine;
use crate::wire::{DutyKey, LogIndex, MemberId, MembershipChange};

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

impl StateMachine {
    /// Encodes the state for a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        let duties = self.duties.iter();
        let duties = duties.map(|(&duty, &assignment)| StoredDuty { duty: duty.into(), assignment });
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

    /// Decodes the state from a snapshot. Duties of a kind that this version does not know are ignored.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not an encoded state.
    pub fn decode(bytes: &[u8]) -> Result<Self, prost::DecodeError> {
        let stored = StoredState::decode(bytes)?;
        let duties = stored.duties.iter().filter_map(|stored| Some((stored.duty.duty()?, stored.assignment)));
        Ok(StateMachine {
            duties: duties.collect(),
            orders: stored.orders,
            ranges: stored.ranges,
            known_request_ids: stored.applied_requests.values().copied().collect(),
            applied_requests: stored.applied_requests,
            membership_changes: stored.membership_changes,
            history_checksum: stored.history_checksum,
        })
    }
}
