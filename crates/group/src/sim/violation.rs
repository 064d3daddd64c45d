//! Violations of the group's invariants.

use std::fmt;

use shalereel::interface::Nanos;
use thiserror::Error;

use super::schedule::SECOND;
use crate::group::MemberRole;
use crate::state_machine::RangeOwnership;
use crate::wire::{Epoch, LogIndex, MemberId};

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Seed of the schedule.
    pub seed: u64,
    /// Simulated time of the violation in nanoseconds.
    pub at: Nanos,
    /// The violated invariant, with details.
    pub kind: ViolationKind,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "seed {}, at {:.3} s: {}", self.seed, self.at as f64 / SECOND as f64, self.kind)
    }
}

/// The violated invariant. Each variant's comment states the invariant itself.
#[derive(Clone, Debug, Error, PartialEq)]
#[allow(missing_docs)]
pub enum ViolationKind {
    /// A term has at most one leader.
    #[error("two leaders in term {term}: {first} and {second}")]
    TwoLeaders { term: u64, first: MemberId, second: MemberId },
    /// Only committed entries are applied, and only entries in the log are committed.
    #[error(
        "member {member} has applied entry {applied}, but its commit index is {committed} and its last entry is \
         {last}"
    )]
    AppliedUncommitted { member: MemberId, applied: LogIndex, committed: LogIndex, last: LogIndex },
    /// The index of the last applied entry never decreases while a member runs.
    #[error("member {member}'s last applied index decreased from {from} to {to}")]
    AppliedIndexDecreased { member: MemberId, from: LogIndex, to: LogIndex },
    /// All members apply the same entries.
    #[error("member {member} has applied other entries than the other members up to index {index}")]
    HistoriesDiffer { member: MemberId, index: LogIndex },
    /// At most one unreleased order exists for the same server and weight cap.
    #[error("two equal orders exist for server {server}")]
    DuplicateOrder { server: u32 },
    /// A forwarder's epoch of a range never decreases.
    #[error("forwarder {forwarder} accepted a route of epoch {to} after one of epoch {from}")]
    EpochDecreased { forwarder: u64, from: Epoch, to: Epoch },
    /// No write takes effect at a former owner after one has taken effect at a later owner.
    #[error(
        "range {range}: a write took effect at server {server} (epoch {epoch}) after one at {last_server} (epoch \
         {last_epoch})"
    )]
    StaleWrite { range: u32, server: u32, epoch: Epoch, last_server: u32, last_epoch: Epoch },
    /// A crash leaves a log file that can be read.
    #[error("log file of member {member}: {error}")]
    FileUnreadable { member: MemberId, error: String },
    /// After all faults have ended, the group converges within a minute.
    #[error("not converged a minute after the end of all faults: {0}")]
    NotConverged(ConvergenceFailure),
}

/// Why a group has not converged. Each variant's comment states the expectation.
#[derive(Clone, Debug, Error, PartialEq)]
#[allow(missing_docs)]
pub enum ConvergenceFailure {
    /// There is exactly one leader.
    #[error("the members that lead are {0:?}, not exactly one")]
    Leaders(Vec<MemberId>),
    /// Every voter follows the leader.
    #[error("member {member} has the role {role:?} and does not follow {leader}")]
    NotFollowing { member: MemberId, role: MemberRole, leader: MemberId },
    /// Every voter has applied the whole log.
    #[error("member {member} has applied entry {applied}, another member entry {highest_applied}")]
    Behind { member: MemberId, applied: LogIndex, highest_applied: LogIndex },
    /// Every range has an owner.
    #[error("range {range} has no owner on member {member}: {ownership:?}")]
    RangeNotOwned { range: u32, member: MemberId, ownership: Option<RangeOwnership> },
}
