//! A member's own lease from the leader.

use shalereel::interface::Nanos;

use crate::timing::Timing;
use crate::wire::LogIndex;

/// A member's lease: while it is valid the member may grant routes to forwarders.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MemberLease {
    expires_at: Nanos,
    /// It is valid only once the log is applied up to here.
    commit_index: LogIndex,
}

impl MemberLease {
    /// The leader has granted the lease that was requested at `requested_at`, up to its commit index.
    pub fn renew(&mut self, timing: &Timing, requested_at: Nanos, commit_index: LogIndex) {
        let expires_at = requested_at + timing.member_lease_duration();
        if expires_at > self.expires_at {
            *self = MemberLease { expires_at, commit_index: self.commit_index.max(commit_index) };
        }
    }

    /// Is it valid for a member that has applied the log up to `last_applied`?
    pub fn is_valid(&self, now: Nanos, last_applied: LogIndex) -> bool {
        now < self.expires_at && last_applied >= self.commit_index
    }
}
