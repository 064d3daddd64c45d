//! How a member describes itself.

use crate::wire::{LogIndex, MemberId};

/// A member's role in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberRole {
    /// It leads.
    Leader,
    /// It follows this member.
    Follower(MemberId),
    /// It knows no leader: published tables and its own rules go on, orders are rejected.
    NoLeader,
    /// It takes no part until a restart: a write failed, or stored or received state cannot be used.
    Stopped,
}

/// How far a member's log is.
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
    /// Index up to which a snapshot replaces the entries.
    pub snapshot_index: LogIndex,
}
