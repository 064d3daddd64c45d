//! Events that a member writes to its supervisor's log.

use std::fmt;

use super::status::MemberRole;
use crate::wire::{LogIndex, MemberId, MemberStatus};

/// An event that is written to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// The state in the log file cannot be decoded.
    StoredStateUnreadable,
    /// The log file cannot be written.
    WriteFailed {
        /// Error text of the operating system.
        reason: String,
    },
    /// A leader's snapshot was installed.
    SnapshotInstalled {
        /// Index of the last entry that the snapshot contains.
        index: LogIndex,
    },
    /// A leader's snapshot cannot be decoded.
    SnapshotUnreadable {
        /// Error text of the decoder.
        reason: String,
    },
    /// A member's status in this member's view has changed.
    StatusChanged {
        /// The member.
        member: MemberId,
        /// Its new status.
        status: MemberStatus,
    },
    /// This member's role has changed.
    RoleChanged {
        /// The new role.
        role: MemberRole,
        /// This member's current term.
        term: u64,
    },
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            LogEvent::StoredStateUnreadable => f.write_str(
                "stored group state cannot be decoded; to add this supervisor as a new member, move the log file away",
            ),
            LogEvent::WriteFailed { reason } => {
                write!(f, "group log write failed ({reason}): this supervisor no longer votes or leads")
            }
            LogEvent::SnapshotInstalled { index } => {
                write!(f, "installed the leader's snapshot up to entry {index}")
            }
            LogEvent::SnapshotUnreadable { reason } => {
                write!(f, "the leader's snapshot cannot be decoded ({reason})")
            }
            LogEvent::StatusChanged { member, status } => {
                write!(f, "supervisor {member} {}", status_phrase(*status))
            }
            LogEvent::RoleChanged { role, term } => write_role(f, *role, *term),
        }
    }
}

fn status_phrase(status: MemberStatus) -> &'static str {
    match status {
        MemberStatus::Alive => "is alive",
        MemberStatus::Suspect => "is suspect: a probe was not acknowledged",
        MemberStatus::Dead => "is considered dead",
        MemberStatus::Left => "has left the group",
    }
}

fn write_role(f: &mut fmt::Formatter, role: MemberRole, term: u64) -> fmt::Result {
    match role {
        MemberRole::Leader => write!(f, "leads the group in term {term}"),
        MemberRole::Follower(leader) => write!(f, "follows supervisor {leader} in term {term}"),
        MemberRole::NoLeader => {
            f.write_str(
                "no leader is known: tables are still published and local rules still apply; operators' orders are \
                 rejected and range moves wait",
            )
        }
        MemberRole::Stopped => f.write_str(
            "stopped participating in the group until a restart: a write failed, or stored or received state cannot \
             be used",
        ),
    }
}
