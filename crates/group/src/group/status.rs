//! Role and log status of a member.

use crate::wire::{LogIndex, MemberId};

/// A member's role in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberRole {
    /// It leads the group.
    Leader,
    /// It follows this member.
    Follower(MemberId),
    /// It knows no leader: tables are still published and local rules still apply, but operators' orders are rejected.
    NoLeader,
    /// It has stopped participating until a restart: a write failed, or stored or received state cannot be used.
    Stopped,
}

/// Term and indexes of a member's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogStatus {
    /// Current term.
    pub term: u64,
    /// Index of the last entry.
    pub last_index: LogIndex,
    /// Index of the last entry known to be committed.
    pub commit_index: LogIndex,
    /// Index of the last entry applied to the state machine.
    pub last_applied: LogIndex,
    /// Index of the last entry that the snapshot contains.
    pub snapshot_index: LogIndex,
}
