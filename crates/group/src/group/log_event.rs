//! What a member says in its supervisor's log.

use std::fmt;

use super::status::MemberRole;
use crate::wire::{LogIndex, MemberId, MemberStatus};

/// An event that is worth a line in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// The state in the log file cannot be decoded.
    StoredStateUnreadable,
    /// The log file cannot be written.
    WriteFailed {
        /// What the system said.
        reason: String,
    },
    /// A leader's snapshot was installed.
    SnapshotInstalled {
        /// Index of its last entry.
        index: LogIndex,
    },
    /// A leader's snapshot cannot be decoded.
    SnapshotUnreadable {
        /// Why.
        reason: String,
    },
    /// A member is seen differently from before.
    StatusChanged {
        /// The member.
        member: MemberId,
        /// How it is seen now.
        status: MemberStatus,
    },
    /// This member's role has changed.
    RoleChanged {
        /// Its role now.
        role: MemberRole,
        /// Its term.
        term: u64,
    },
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            LogEvent::StoredStateUnreadable => f.write_str(
                "stored group state cannot be decoded; move the log file away to add this supervisor as a new member",
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
                "no leader is known: tables and local rules go on, orders are rejected, range moves wait",
            )
        }
        MemberRole::Stopped => f.write_str(
            "no longer takes part in the group until a restart: a write failed, or stored or received state cannot \
             be used",
        ),
    }
}
