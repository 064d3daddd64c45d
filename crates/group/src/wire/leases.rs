//! Messages by which members renew their leases at the leader.

use prost::Message;

use super::ids::LogIndex;

/// A member's request for a lease.
#[derive(Clone, PartialEq, Message)]
pub struct LeaseRequest {
    /// Nanoseconds by the sender's clock, returned unchanged.
    #[prost(uint64, tag = "1")]
    pub sent_at: u64,
}

/// The leader's answer to [`LeaseRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct LeaseGrant {
    /// From the request.
    #[prost(uint64, tag = "1")]
    pub request_sent_at: u64,
    /// The lease is valid for a member that has applied the log up to here.
    #[prost(uint64, tag = "2")]
    pub commit_index: LogIndex,
}
