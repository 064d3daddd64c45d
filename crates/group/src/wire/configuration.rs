//! The cluster configuration in Raft's sense: who votes and who only learns.

use prost::Message;

use super::ids::MemberId;

/// A member and where it is reached.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct MemberAddress {
    /// The member's number.
    #[prost(uint32, tag = "1")]
    pub id: MemberId,
    /// Host and port.
    #[prost(string, tag = "2")]
    pub address: String,
}

/// Voters, and learners that receive the log without a vote.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Configuration {
    /// Members whose votes and acknowledgements make a quorum.
    #[prost(message, repeated, tag = "1")]
    pub voters: Vec<MemberAddress>,
    /// Members that catch up before they vote.
    #[prost(message, repeated, tag = "2")]
    pub learners: Vec<MemberAddress>,
}

impl Configuration {
    /// Does this member vote?
    pub fn is_voter(&self, id: MemberId) -> bool {
        self.voters.iter().any(|voter| voter.id == id)
    }

    /// Does this member only learn?
    pub fn is_learner(&self, id: MemberId) -> bool {
        self.learners.iter().any(|learner| learner.id == id)
    }

    /// Voters and then learners.
    pub fn members(&self) -> impl Iterator<Item = &MemberAddress> {
        self.voters.iter().chain(&self.learners)
    }
}
