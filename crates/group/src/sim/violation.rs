//! Violations of the invariants.

use std::fmt;

use shalereel::interface::Nanos;
use thiserror::Error;

use super::schedule::SECOND;
use crate::group::MemberRole;
use crate::state_machine::RangeOwnership;
use crate::wire::{Epoch, LogIndex, MemberId};

/// A violated invariant, and when it was.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Of the schedule.
    pub seed: u64,
    /// Simulated time.
    pub at: Nanos,
    /// Which invariant, with figures.
    pub kind: ViolationKind,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "seed {}, at {:.3} s: {}", self.seed, self.at as f64 / SECOND as f64, self.kind)
    }
}

/// Invariants of a group.
#[derive(Clone, Debug, Error, PartialEq)]
#[allow(missing_docs)]
pub enum ViolationKind {
    /// A term has one leader.
    #[error("two leaders in term {term}: {first} and {second}")]
    TwoLeaders { term: u64, first: MemberId, second: MemberId },
    /// Only committed entries are applied, and only entries in the log are committed.
    #[error("{member} has carried out {applied} of {committed} committed of {last}")]
    AppliedUncommitted { member: MemberId, applied: LogIndex, committed: LogIndex, last: LogIndex },
    /// What is applied stays applied.
    #[error("{member} went back from entry {from} to {to}")]
    AppliedIndexDecreased { member: MemberId, from: LogIndex, to: LogIndex },
    /// All members apply the same entries.
    #[error("{member} has another log than others up to entry {index}")]
    HistoriesDiffer { member: MemberId, index: LogIndex },
    /// An order stands once.
    #[error("an order about server {server} stands twice")]
    DuplicateOrder { server: u32 },
    /// A forwarder's epochs of a range only rise.
    #[error("forwarder {forwarder} went back from epoch {from} to {to}")]
    EpochDecreased { forwarder: u64, from: Epoch, to: Epoch },
    /// Writes of a range never go back to a former owner.
    #[error(
        "range {range}: a write took effect at server {server} (epoch {epoch}) after one at {last_server} (epoch \
         {last_epoch})"
    )]
    StaleWrite { range: u32, server: u32, epoch: Epoch, last_server: u32, last_epoch: Epoch },
    /// A crash leaves a file that can be read.
    #[error("file of {member}: {error}")]
    FileUnreadable { member: MemberId, error: String },
    /// Once all faults have ended, the group settles.
    #[error("not settled a minute after all troubles: {0}")]
    NotConverged(ConvergenceFailure),
}

/// Why a group has not settled.
#[derive(Clone, Debug, Error, PartialEq)]
#[allow(missing_docs)]
pub enum ConvergenceFailure {
    /// There should be one leader.
    #[error("leaders: {0:?}")]
    Leaders(Vec<MemberId>),
    /// Everybody should follow it.
    #[error("{member} stands as {role:?}, not behind {leader}")]
    NotFollowing { member: MemberId, role: MemberRole, leader: MemberId },
    /// Everybody should have applied the whole log.
    #[error("{member} has carried out {applied} of {most}")]
    Behind { member: MemberId, applied: LogIndex, most: LogIndex },
    /// Every range should be owned.
    #[error("range {range} has no owner at {member}: {ownership:?}")]
    RangeNotOwned { range: u32, member: MemberId, ownership: Option<RangeOwnership> },
}
