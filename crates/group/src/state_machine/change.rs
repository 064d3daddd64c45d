//! Outcomes of applying a committed command: the change to the state machine, or the reason for a rejection.

use thiserror::Error;

use super::assignments::DutyAssignment;
use crate::wire::{Duty, Epoch, LogIndex, MemberAddress, MemberId, OperatorOrder};

/// Outcome of applying a committed command.
#[derive(Clone, Debug, PartialEq)]
pub enum AppliedChange {
    /// A duty was assigned to a member.
    DutyAssigned {
        /// The duty.
        duty: Duty,
        /// The new holder and its epoch.
        assignment: DutyAssignment,
    },
    /// An operator ordered a drain; it is queued until the holder of the duty starts it.
    OrderQueued {
        /// Index of the entry that added the order.
        order_index: LogIndex,
        /// The order.
        order: OperatorOrder,
    },
    /// An operator's order took effect: a weight cap was added or a queued drain was started.
    OrderActivated {
        /// Index of the entry that added the order.
        order_index: LogIndex,
        /// The order.
        order: OperatorOrder,
    },
    /// An operator released an order, and the order no longer has effect.
    OrderReleased {
        /// Index of the entry that added the order.
        order_index: LogIndex,
        /// The order.
        order: OperatorOrder,
    },
    /// A key range was withdrawn from its owner, and a move to another server is pending.
    RangeWithdrawn {
        /// The key range.
        range: u32,
        /// Index of the entry that started the move.
        move_index: LogIndex,
    },
    /// A member confirmed that none of its forwarders still sends to the range's former owner.
    RangeCleared {
        /// The key range.
        range: u32,
        /// The member that confirmed it.
        by_member: MemberId,
    },
    /// A pending move was completed, and the key range has a new owner.
    RangeAssigned {
        /// The key range.
        range: u32,
        /// Server number of the owner.
        owner: u32,
        /// Epoch of the assignment: the index of this command's entry.
        epoch: Epoch,
    },
    /// An operator requested that a member be added or removed; the leader then changes the configuration.
    MembershipChanged {
        /// The member.
        member: MemberAddress,
        /// True to remove the member, false to add it.
        removed: bool,
    },
    /// The command was rejected and changed nothing.
    Rejected(Rejection),
    /// The command's request id was already applied, so it was skipped.
    Duplicate,
}

/// Why a committed command was rejected. Operators' commands receive these texts, so they stay as they are.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Rejection {
    /// This version does not know the duty's kind.
    #[error("a duty of a later version")]
    UnknownDuty,
    /// This version does not know the command's kind, or the command lacks a required field.
    #[error("a command of a later version")]
    UnknownCommand,
    /// An equal order exists and is not released.
    #[error("the same order stands already")]
    OrderExists,
    /// No unreleased order has this index.
    #[error("no such order stands")]
    NoSuchOrder,
    /// The epoch is not that of the current holder of the duty to run drains.
    #[error("a drain begun by one who no longer holds that duty")]
    StaleDrainEpoch,
    /// The drain was already started or released.
    #[error("the drain has begun, or was released")]
    DrainNotQueued,
    /// The epoch is not that of the current holder of the duty to place the range.
    #[error("a move by one who no longer holds that duty")]
    StaleMoveEpoch,
    /// The range is already owned by the server that it would move to.
    #[error("that server owns the range already")]
    AlreadyOwner,
    /// The cleared move is no longer pending, or the member has already cleared it.
    #[error("cleared for a move that is over")]
    StaleClearance,
    /// The assignment was decided in a different term from that of its entry.
    #[error("given by a leader of an earlier term")]
    StaleTerm,
    /// The range was never moved to any server.
    #[error("no such range")]
    NoSuchRange,
    /// The move that the assignment would complete is no longer pending.
    #[error("given for a move that is over")]
    StaleAssignment,
    /// The membership change names no member.
    #[error("no seat named")]
    MissingMember,
}
