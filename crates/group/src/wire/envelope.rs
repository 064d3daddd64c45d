//! The envelope of each message between members.

use prost::{Message, Oneof};

use super::ids::MemberId;
use super::leases::{LeaseGrant, LeaseRequest};
use super::log::{AppendEntries, AppendResponse, Proposal, RequestVote, Snapshot, VoteResponse};
use super::membership::Gossip;
use super::reports::{PeerReports, ReportTotals};

/// A message between two members. Messages may be lost, delayed, duplicated or reordered.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    /// Number of the sender.
    #[prost(uint32, tag = "1")]
    pub from: MemberId,
    /// Number of the receiver.
    #[prost(uint32, tag = "2")]
    pub to: MemberId,
    /// CRC-32C of the group's name: messages of another group are ignored.
    #[prost(uint64, tag = "3")]
    pub group_hash: u64,
    /// The message itself; `None` if it is of a kind that this version does not know.
    #[prost(oneof = "Body", tags = "4, 5, 6, 7, 8, 9, 10, 12, 13, 14, 15")]
    pub body: Option<Body>,
}

/// A message of one of the known kinds.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// A probe or its acknowledgement, with gossip.
    #[prost(message, tag = "4")]
    Gossip(Gossip),
    /// A candidate's request for a vote.
    #[prost(message, tag = "5")]
    RequestVote(RequestVote),
    /// The answer to [`Body::RequestVote`].
    #[prost(message, tag = "6")]
    VoteResponse(VoteResponse),
    /// Entries from the leader, or its heartbeat.
    #[prost(message, tag = "7")]
    AppendEntries(AppendEntries),
    /// The answer to [`Body::AppendEntries`] and [`Body::InstallSnapshot`].
    #[prost(message, tag = "8")]
    AppendResponse(AppendResponse),
    /// The leader's snapshot, for a follower that lacks entries which the leader's log no longer contains.
    #[prost(message, tag = "9")]
    InstallSnapshot(Snapshot),
    /// A command forwarded to the leader.
    #[prost(message, tag = "10")]
    Proposal(Proposal),
    /// A member's request to the leader for a lease.
    #[prost(message, tag = "12")]
    LeaseRequest(LeaseRequest),
    /// The answer to [`Body::LeaseRequest`].
    #[prost(message, tag = "13")]
    LeaseGrant(LeaseGrant),
    /// A member's load reports for the holder of [`Duty::MergeReports`](super::Duty::MergeReports).
    #[prost(message, tag = "14")]
    ReportTotals(ReportTotals),
    /// The merged load reports of all members except the receiver.
    #[prost(message, tag = "15")]
    PeerReports(PeerReports),
}
