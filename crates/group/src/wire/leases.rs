//! Messages with which members renew their leases with the leader.

use prost::Message;

use super::ids::LogIndex;

/// A member's request for a lease.
#[derive(Clone, PartialEq, Message)]
pub struct LeaseRequest {
    /// Time of the request in nanoseconds by the sender's clock; the response returns it unchanged.
    #[prost(uint64, tag = "1")]
    pub sent_at: u64,
}

/// The leader's answer to [`LeaseRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct LeaseGrant {
    /// `sent_at` of the request.
    #[prost(uint64, tag = "1")]
    pub request_sent_at: u64,
    /// The lease is valid only once the member has applied the log up to this index.
    #[prost(uint64, tag = "2")]
    pub commit_index: LogIndex,
}
