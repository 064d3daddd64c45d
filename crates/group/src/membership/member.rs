//! What is known of a member, and the probes under way.

use shalereel::interface::Nanos;

use crate::wire::{MemberId, MemberStatus};

/// What is known of one member.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Host and port.
    pub address: String,
    /// The highest one heard of.
    pub incarnation: u64,
    /// How it is seen.
    pub status: MemberStatus,
    /// Since when it is seen so, by one's own clock.
    pub since: Nanos,
    /// Messages that are still to carry this.
    pub(super) transmissions_left: u32,
}

impl Member {
    /// Alive or suspect.
    pub(super) fn is_present(&self) -> bool {
        matches!(self.status, MemberStatus::Alive | MemberStatus::Suspect)
    }
}

/// A member is seen differently from before.
#[derive(Clone, Debug, PartialEq)]
pub struct StatusChange {
    /// The member.
    pub member: MemberId,
    /// How it is seen now.
    pub status: MemberStatus,
    /// The incarnation that this is about.
    pub incarnation: u64,
}

/// This period's probe, not acknowledged yet.
#[derive(Debug)]
pub(super) struct OutstandingProbe {
    pub target: MemberId,
    pub sequence: u64,
    pub sent_at: Nanos,
    pub indirect_requested: bool,
}

/// A ping on behalf of another member.
#[derive(Debug)]
pub(super) struct RelayedProbe {
    pub requester: MemberId,
    /// Of the requester's own ping.
    pub requester_sequence: u64,
    pub sent_at: Nanos,
}
