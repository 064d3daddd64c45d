//! Records of duties, orders and key ranges in the state machine. Snapshots store them in the same form.

use prost::Message;

use crate::wire::{Epoch, LogIndex, MemberId, OperatorOrder};

/// Assignment of a duty to a member.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct DutyAssignment {
    /// The member that performs the duty.
    #[prost(uint32, tag = "1")]
    pub holder: MemberId,
    /// Index of the entry that assigned the duty.
    #[prost(uint64, tag = "2")]
    pub epoch: Epoch,
}

/// An operator's order that has not been released.
#[derive(Clone, PartialEq, Message)]
pub struct StandingOrder {
    /// The order.
    #[prost(message, required, tag = "1")]
    pub order: OperatorOrder,
    /// Whether the order is in force. A weight cap is in force at once; a drain is first queued.
    #[prost(bool, tag = "2")]
    pub active: bool,
}

/// A key range that is moving to another owner.
#[derive(Clone, PartialEq, Message)]
pub struct PendingMove {
    /// Number of the server that becomes the owner.
    #[prost(uint32, tag = "1")]
    pub to_server: u32,
    /// Index of the entry that started the move.
    #[prost(uint64, tag = "2")]
    pub move_index: LogIndex,
    /// Members that have confirmed that none of their forwarders still sends to the former owner.
    #[prost(uint32, repeated, tag = "3")]
    pub cleared_by: Vec<MemberId>,
}

/// Ownership of a key range.
#[derive(Clone, PartialEq, Message)]
pub struct RangeOwnership {
    /// Server number of the owner; `None` while the range moves.
    #[prost(uint32, optional, tag = "1")]
    pub owner: Option<u32>,
    /// Index of the entry that last assigned the range; 0 if it was never assigned.
    #[prost(uint64, tag = "2")]
    pub epoch: Epoch,
    /// The move in progress, if there is one.
    #[prost(message, optional, tag = "3")]
    pub pending_move: Option<PendingMove>,
}
