//! Information about a member, and outstanding probes.

use shalereel::interface::Nanos;

use crate::wire::{MemberId, MemberStatus};

/// What this member knows about one member of the group.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Host and port.
    pub address: String,
    /// The highest incarnation heard of.
    pub incarnation: u64,
    /// The member's current status in this view.
    pub status: MemberStatus,
    /// Since when it has had this status, by this member's own clock.
    pub since: Nanos,
    /// How many more messages carry this information.
    pub(super) transmissions_left: u32,
}

impl Member {
    /// Whether the member is alive or suspect.
    pub(super) fn is_present(&self) -> bool {
        matches!(self.status, MemberStatus::Alive | MemberStatus::Suspect)
    }
}

/// A change of a member's status in this view.
#[derive(Clone, Debug, PartialEq)]
pub struct StatusChange {
    /// The member.
    pub member: MemberId,
    /// Its new status.
    pub status: MemberStatus,
    /// The incarnation that the status refers to.
    pub incarnation: u64,
}

/// The current period's probe, which is not acknowledged yet.
#[derive(Debug)]
pub(super) struct OutstandingProbe {
    pub target: MemberId,
    pub sequence: u64,
    pub sent_at: Nanos,
    pub indirect_requested: bool,
}

/// A ping that this member sent on behalf of another member.
#[derive(Debug)]
pub(super) struct RelayedProbe {
    pub requester: MemberId,
    /// Sequence number of the requester's own ping.
    pub requester_sequence: u64,
    pub sent_at: Nanos,
}
