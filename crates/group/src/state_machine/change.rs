//! What applying an entry changed, and why it may have changed nothing.

use thiserror::Error;

use super::assignments::DutyAssignment;
use crate::wire::{Duty, Epoch, LogIndex, MemberAddress, MemberId, OperatorOrder};

/// What an entry changed.
#[derive(Clone, Debug, PartialEq)]
pub enum AppliedChange {
    /// A duty has a new holder.
    DutyAssigned {
        /// The duty.
        duty: Duty,
        /// Its holder.
        assignment: DutyAssignment,
    },
    /// A drain was ordered and waits for its turn.
    OrderQueued {
        /// Index of the entry that gave the order.
        order_index: LogIndex,
        /// The order.
        order: OperatorOrder,
    },
    /// An order is in force.
    OrderActivated {
        /// Index of the entry that gave the order.
        order_index: LogIndex,
        /// The order.
        order: OperatorOrder,
    },
    /// An order ended.
    OrderReleased {
        /// Index of the entry that gave the order.
        order_index: LogIndex,
        /// The order.
        order: OperatorOrder,
    },
    /// A key range has no owner any more and moves to another.
    RangeWithdrawn {
        /// The key range.
        range: u32,
        /// Index of the entry that began the move.
        move_index: LogIndex,
    },
    /// No forwarder of a member sends to the former owner any more.
    RangeCleared {
        /// The key range.
        range: u32,
        /// The member.
        by_member: MemberId,
    },
    /// A key range has a new owner.
    RangeAssigned {
        /// The key range.
        range: u32,
        /// Server number of the owner.
        owner: u32,
        /// Index of the entry.
        epoch: Epoch,
    },
    /// A member was added or removed by an operator.
    MembershipChanged {
        /// The member.
        member: MemberAddress,
        /// Removed rather than added.
        removed: bool,
    },
    /// Nothing: the command is void.
    Rejected(Rejection),
    /// Nothing: the request was applied before.
    Duplicate,
}

/// Why a committed command is void.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Rejection {
    /// The duty's kind is unknown to this version.
    #[error("a duty of a later version")]
    UnknownDuty,
    /// The command's kind is unknown to this version.
    #[error("a command of a later version")]
    UnknownCommand,
    /// An equal order stands.
    #[error("the same order stands already")]
    OrderExists,
    /// No order stands at this index.
    #[error("no such order stands")]
    NoSuchOrder,
    /// The sender does not hold the duty to run drains by that epoch.
    #[error("a drain begun by one who no longer holds that duty")]
    StaleDrainEpoch,
    /// The drain is not queued.
    #[error("the drain has begun, or was released")]
    DrainNotQueued,
    /// The sender does not hold the duty to place the range by that epoch.
    #[error("a move by one who no longer holds that duty")]
    StaleMoveEpoch,
    /// The range's owner is the server that it would move to.
    #[error("that server owns the range already")]
    AlreadyOwner,
    /// The move is over, or the member has cleared it before.
    #[error("cleared for a move that is over")]
    StaleClearance,
    /// The assignment was decided in another term.
    #[error("given by a leader of an earlier term")]
    StaleTerm,
    /// The range is unknown.
    #[error("no such range")]
    NoSuchRange,
    /// The move to be completed is over.
    #[error("given for a move that is over")]
    StaleAssignment,
    /// A membership change without a member.
    #[error("no seat named")]
    MissingMember,
}
