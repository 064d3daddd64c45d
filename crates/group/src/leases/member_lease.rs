//! The lease that a member holds from the leader.

use shalereel::interface::Nanos;

use crate::timing::Timing;
use crate::wire::LogIndex;

/// A member's lease: while it is valid the member may grant routes to forwarders.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MemberLease {
    expires_at: Nanos,
    /// The lease is valid only once this member has applied the log up to this index.
    required_index: LogIndex,
}

impl MemberLease {
    /// Extends the lease after the leader granted a request that was sent at `requested_at`. `required_index`
    /// is the index up to which the leader requires the log to be applied.
    pub fn renew(&mut self, timing: &Timing, requested_at: Nanos, required_index: LogIndex) {
        let expires_at = requested_at + timing.member_lease_duration();
        if expires_at > self.expires_at {
            *self = MemberLease { expires_at, required_index: self.required_index.max(required_index) };
        }
    }

    /// Whether the lease is valid for a member that has applied the log up to `last_applied`.
    pub fn is_valid(&self, now: Nanos, last_applied: LogIndex) -> bool {
        now < self.expires_at && last_applied >= self.required_index
    }
}
