//! The cluster configuration of Raft: its voters and learners.

use prost::Message;

use super::ids::MemberId;

/// A member and its address.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct MemberAddress {
    /// The member's number.
    #[prost(uint32, tag = "1")]
    pub id: MemberId,
    /// Host and port.
    #[prost(string, tag = "2")]
    pub address: String,
}

/// The voters, and the learners, which receive the log but have no vote.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Configuration {
    /// Members whose votes and acknowledgements count towards a quorum.
    #[prost(message, repeated, tag = "1")]
    pub voters: Vec<MemberAddress>,
    /// Members that catch up with the log before they become voters.
    #[prost(message, repeated, tag = "2")]
    pub learners: Vec<MemberAddress>,
}

impl Configuration {
    /// Whether this member is a voter.
    pub fn is_voter(&self, id: MemberId) -> bool {
        self.voters.iter().any(|voter| voter.id == id)
    }

    /// Whether this member is a learner.
    pub fn is_learner(&self, id: MemberId) -> bool {
        self.learners.iter().any(|learner| learner.id == id)
    }

    /// All members: the voters, then the learners.
    pub fn members(&self) -> impl Iterator<Item = &MemberAddress> {
        self.voters.iter().chain(&self.learners)
    }
}
