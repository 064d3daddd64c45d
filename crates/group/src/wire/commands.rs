//! Commands of the log: what the state machine applies.

use prost::{Message, Oneof};

use super::configuration::MemberAddress;
use super::ids::{Epoch, LogIndex, MemberId};

/// A command and the request that it answers.
#[derive(Clone, PartialEq, Message)]
pub struct Command {
    /// Chosen by the member that first requested it; a second command with the same id has no effect. 0 is not
    /// remembered.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// Nothing where a later version knows more kinds.
    #[prost(oneof = "CommandPayload", tags = "2, 3, 4, 5, 6, 7, 8, 9")]
    pub payload: Option<CommandPayload>,
}

/// Kinds of commands.
#[derive(Clone, PartialEq, Oneof)]
pub enum CommandPayload {
    /// By the leader.
    #[prost(message, tag = "2")]
    AssignDuty(AssignDuty),
    /// By an operator.
    #[prost(message, tag = "3")]
    OperatorOrder(OperatorOrder),
    /// By an operator.
    #[prost(message, tag = "4")]
    ReleaseOrder(ReleaseOrder),
    /// By the holder of [`Duty::RunDrains`].
    #[prost(message, tag = "5")]
    BeginDrain(BeginDrain),
    /// By the holder of [`Duty::PlaceRange`] or an operator.
    #[prost(message, tag = "6")]
    MoveRange(MoveRange),
    /// By each member whose forwarders have left the former owner.
    #[prost(message, tag = "7")]
    RangeCleared(RangeCleared),
    /// By the leader.
    #[prost(message, tag = "8")]
    AssignRange(AssignRange),
    /// By an operator.
    #[prost(message, tag = "9")]
    ChangeMembership(MembershipChange),
}

/// A task that one member at a time performs for the whole group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Duty {
    /// Merges all members' load reports.
    MergeReports,
    /// Fences the table of the operation at this position: its epoch goes into the table's version.
    FenceTable(u32),
    /// Begins operators' drains in the locality at this position.
    RunDrains(u32),
    /// Chooses an owner for this key range.
    PlaceRange(u32),
}

/// A [`Duty`] as it is encoded.
#[derive(Clone, PartialEq, Message)]
pub struct DutyKey {
    /// 0 to 3, in the order of [`Duty`].
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// Position of the operation or locality, or the key range.
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
    /// The duty; nothing where it is of a later version's kind.
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
    /// The member that holds it from now on.
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
    /// Highest part of its decided weight that the server gets, in millionths; nothing: drain the server.
    #[prost(uint32, optional, tag = "3")]
    pub weight_cap_millionths: Option<u32>,
}

/// Ends a standing order.
#[derive(Clone, PartialEq, Message)]
pub struct ReleaseOrder {
    /// Index of the entry that gave the order.
    #[prost(uint64, tag = "1")]
    pub order_index: LogIndex,
}

/// Begins a queued drain.
#[derive(Clone, PartialEq, Message)]
pub struct BeginDrain {
    /// Index of the entry that gave the order.
    #[prost(uint64, tag = "1")]
    pub order_index: LogIndex,
    /// Epoch by which the sender holds [`Duty::RunDrains`].
    #[prost(uint64, tag = "2")]
    pub epoch: Epoch,
}

/// Withdraws a key range from its owner, to be assigned to another server.
#[derive(Clone, PartialEq, Message)]
pub struct MoveRange {
    /// The key range.
    #[prost(uint32, tag = "1")]
    pub range: u32,
    /// The server that is to own it.
    #[prost(uint32, tag = "2")]
    pub to_server: u32,
    /// Epoch by which the sender holds [`Duty::PlaceRange`]; 0 from an operator.
    #[prost(uint64, tag = "3")]
    pub epoch: Epoch,
}

/// No forwarder of a member sends to the former owner any more.
#[derive(Clone, PartialEq, Message)]
pub struct RangeCleared {
    /// The key range.
    #[prost(uint32, tag = "1")]
    pub range: u32,
    /// Index of the entry that began the move.
    #[prost(uint64, tag = "2")]
    pub move_index: LogIndex,
    /// The member that says so.
    #[prost(uint32, tag = "3")]
    pub by_member: MemberId,
}

/// Assigns a moving range to its new owner, once nobody can still use the former one.
#[derive(Clone, PartialEq, Message)]
pub struct AssignRange {
    /// The key range.
    #[prost(uint32, tag = "1")]
    pub range: u32,
    /// Index of the entry that began the move.
    #[prost(uint64, tag = "2")]
    pub move_index: LogIndex,
    /// Term of the leader that decided it; void in an entry of another term.
    #[prost(uint64, tag = "3")]
    pub term: u64,
}

/// Adds or removes a member; the leader carries it out as configuration changes.
#[derive(Clone, PartialEq, Message)]
pub struct MembershipChange {
    /// The member.
    #[prost(message, optional, tag = "1")]
    pub member: Option<MemberAddress>,
    /// Removed rather than added.
    #[prost(bool, tag = "2")]
    pub removed: bool,
}
