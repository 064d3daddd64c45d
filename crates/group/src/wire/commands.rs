//! Commands in the log, which the state machine applies.

use prost::{Message, Oneof};

use super::configuration::MemberAddress;
use super::ids::{Epoch, LogIndex, MemberId};

/// A command with the id of the request that submitted it.
#[derive(Clone, PartialEq, Message)]
pub struct Command {
    /// Chosen by the member that submitted the command. A second command with the same id has no effect, except that
    /// duplicates are not detected for id 0.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// The command itself; `None` if it is of a kind that this version does not know.
    #[prost(oneof = "CommandPayload", tags = "2, 3, 4, 5, 6, 7, 8, 9")]
    pub payload: Option<CommandPayload>,
}

/// A command of one of the known kinds.
#[derive(Clone, PartialEq, Oneof)]
pub enum CommandPayload {
    /// Submitted by the leader.
    #[prost(message, tag = "2")]
    AssignDuty(AssignDuty),
    /// Submitted by an operator.
    #[prost(message, tag = "3")]
    OperatorOrder(OperatorOrder),
    /// Submitted by an operator.
    #[prost(message, tag = "4")]
    ReleaseOrder(ReleaseOrder),
    /// Submitted by the holder of [`Duty::RunDrains`].
    #[prost(message, tag = "5")]
    BeginDrain(BeginDrain),
    /// Submitted by the holder of [`Duty::PlaceRange`] or by an operator.
    #[prost(message, tag = "6")]
    MoveRange(MoveRange),
    /// Submitted by each member once none of its forwarders can still use the former owner.
    #[prost(message, tag = "7")]
    RangeCleared(RangeCleared),
    /// Submitted by the leader.
    #[prost(message, tag = "8")]
    AssignRange(AssignRange),
    /// Submitted by an operator.
    #[prost(message, tag = "9")]
    ChangeMembership(MembershipChange),
}

/// A task that one member at a time performs for the whole group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Duty {
    /// Merges all members' load reports.
    MergeReports,
    /// Fences the table of the operation at this position: the duty's epoch is part of the table's version.
    FenceTable(u32),
    /// Starts operators' queued drains in the locality at this position.
    RunDrains(u32),
    /// Chooses an owner for this key range.
    PlaceRange(u32),
}

/// Wire form of a [`Duty`].
#[derive(Clone, PartialEq, Message)]
pub struct DutyKey {
    /// 0 to 3, in the order of [`Duty`].
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// Position of the operation or locality, or number of the key range.
    #[prost(uint32, tag = "2")]
    pub position: u32,
}

impl From<Duty> for DutyKey {
    fn from(duty: Duty) -> Self {
        let (kind, position) = match duty {
            Duty::MergeReports => (0, 0),
            Duty::FenceTable(operation) => (1, operation),
            Duty::RunDrains(locality) => (2, locality),
            Duty::PlaceRange(range) => (3, range),
        };
        DutyKey { kind, position }
    }
}

impl DutyKey {
    /// The decoded duty; `None` if this version does not know its kind.
    pub fn duty(&self) -> Option<Duty> {
        match self.kind {
            0 => Some(Duty::MergeReports),
            1 => Some(Duty::FenceTable(self.position)),
            2 => Some(Duty::RunDrains(self.position)),
            3 => Some(Duty::PlaceRange(self.position)),
            _ => None,
        }
    }
}

/// Assigns a duty to a member.
#[derive(Clone, PartialEq, Message)]
pub struct AssignDuty {
    /// The duty.
    #[prost(message, optional, tag = "1")]
    pub duty: Option<DutyKey>,
    /// The member that performs the duty from now on.
    #[prost(uint32, tag = "2")]
    pub holder: MemberId,
}

/// An operator's order to drain a server or to cap its weight.
#[derive(Clone, PartialEq, Message)]
pub struct OperatorOrder {
    /// Server number.
    #[prost(uint32, tag = "1")]
    pub server: u32,
    /// Position of the server's locality.
    #[prost(uint32, tag = "2")]
    pub locality: u32,
    /// Cap of the server's weight as a fraction of its decided weight, in millionths; `None` to drain the server.
    #[prost(uint32, optional, tag = "3")]
    pub weight_cap_millionths: Option<u32>,
}

/// Releases an operator's order, which then has no more effect.
#[derive(Clone, PartialEq, Message)]
pub struct ReleaseOrder {
    /// Index of the entry that added the order.
    #[prost(uint64, tag = "1")]
    pub order_index: LogIndex,
}

/// Starts a queued drain.
#[derive(Clone, PartialEq, Message)]
pub struct BeginDrain {
    /// Index of the entry that added the order.
    #[prost(uint64, tag = "1")]
    pub order_index: LogIndex,
    /// Epoch of the sender's assignment to [`Duty::RunDrains`].
    #[prost(uint64, tag = "2")]
    pub epoch: Epoch,
}

/// Withdraws a key range from its owner, so that it can be assigned to another server.
#[derive(Clone, PartialEq, Message)]
pub struct MoveRange {
    /// The key range.
    #[prost(uint32, tag = "1")]
    pub range: u32,
    /// Number of the server that becomes the owner.
    #[prost(uint32, tag = "2")]
    pub to_server: u32,
    /// Epoch of the sender's assignment to [`Duty::PlaceRange`]; 0 if an operator submitted the command.
    #[prost(uint64, tag = "3")]
    pub epoch: Epoch,
}

/// Confirms that none of a member's forwarders still sends to the former owner of a moving key range.
#[derive(Clone, PartialEq, Message)]
pub struct RangeCleared {
    /// The key range.
    #[prost(uint32, tag = "1")]
    pub range: u32,
    /// Index of the entry that started the move.
    #[prost(uint64, tag = "2")]
    pub move_index: LogIndex,
    /// The member that confirms it.
    #[prost(uint32, tag = "3")]
    pub by_member: MemberId,
}

/// Assigns a moving range to its new owner, after no forwarder can use the former owner any more.
#[derive(Clone, PartialEq, Message)]
pub struct AssignRange {
    /// The key range.
    #[prost(uint32, tag = "1")]
    pub range: u32,
    /// Index of the entry that started the move.
    #[prost(uint64, tag = "2")]
    pub move_index: LogIndex,
    /// Term of the leader that decided the assignment. The command is rejected if its entry is of another term.
    #[prost(uint64, tag = "3")]
    pub term: u64,
}

/// Adds or removes a member. The leader then appends the necessary configuration changes.
#[derive(Clone, PartialEq, Message)]
pub struct MembershipChange {
    /// The member.
    #[prost(message, optional, tag = "1")]
    pub member: Option<MemberAddress>,
    /// True to remove the member, false to add it.
    #[prost(bool, tag = "2")]
    pub removed: bool,
}
