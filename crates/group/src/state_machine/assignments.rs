//! What the state machine holds of each duty, order and key range, as it is stored in snapshots too.

use prost::Message;

use crate::wire::{Epoch, LogIndex, MemberId, OperatorOrder};

/// The holder of a duty.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct DutyAssignment {
    /// The member that holds it.
    #[prost(uint32, tag = "1")]
    pub holder: MemberId,
    /// Index of the entry that assigned it.
    #[prost(uint64, tag = "2")]
    pub epoch: Epoch,
}

/// An operator's order that has not been released.
#[derive(Clone, PartialEq, Message)]
pub struct StandingOrder {
    /// The order.
    #[prost(message, required, tag = "1")]
    pub order: OperatorOrder,
    /// In force; a drain is queued before, a weight cap is in force at once.
    #[prost(bool, tag = "2")]
    pub active: bool,
}

/// A key range on its way to another owner.
#[derive(Clone, PartialEq, Message)]
pub struct PendingMove {
    /// The server that is to own it.
    #[prost(uint32, tag = "1")]
    pub to_server: u32,
    /// Index of the entry that began the move.
    #[prost(uint64, tag = "2")]
    pub move_index: LogIndex,
    /// Members none of whose forwarders sends to the former owner any more.
    #[prost(uint32, repeated, tag = "3")]
    pub cleared_by: Vec<MemberId>,
}

/// The owner of a key range.
#[derive(Clone, PartialEq, Message)]
pub struct RangeOwnership {
    /// Server number; nothing while the range moves.
    #[prost(uint32, optional, tag = "1")]
    pub owner: Option<u32>,
    /// Index of the entry that assigned it last; 0 where none ever did.
    #[prost(uint64, tag = "2")]
    pub epoch: Epoch,
    /// Set while the range moves.
    #[prost(message, optional, tag = "3")]
    pub pending_move: Option<PendingMove>,
}
