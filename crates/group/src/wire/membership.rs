//! Messages of the SWIM membership protocol.

use prost::{Enumeration, Message};

use super::ids::MemberId;

/// How a member is seen. Of two statuses with one incarnation the later in this order wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum MemberStatus {
    /// It answers probes.
    Alive = 0,
    /// It left a probe unanswered and may refute that.
    Suspect = 1,
    /// It did not refute its suspicion in time.
    Dead = 2,
    /// It said that it leaves.
    Left = 3,
}

/// A gossip record: what the sender knows of a member.
#[derive(Clone, PartialEq, Message)]
pub struct GossipUpdate {
    /// The member that this is about.
    #[prost(uint32, tag = "1")]
    pub member: MemberId,
    /// Where it is reached.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Raised by the member alone, at each start and to refute a suspicion.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// A [`MemberStatus`].
    #[prost(enumeration = "MemberStatus", tag = "4")]
    pub status: i32,
}

/// Kinds of probe messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum ProbeKind {
    /// To be acknowledged by its target.
    Ping = 0,
    /// Acknowledges a ping.
    Ack = 1,
    /// Asks the receiver to ping the target on the sender's behalf (SWIM's ping-req).
    PingRequest = 2,
}

/// A probe message and the gossip that it carries.
#[derive(Clone, PartialEq, Message)]
pub struct Gossip {
    /// A [`ProbeKind`].
    #[prost(enumeration = "ProbeKind", tag = "1")]
    pub kind: i32,
    /// Number of the ping; its acknowledgement has the same.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// The probed member.
    #[prost(uint32, tag = "3")]
    pub target: MemberId,
    /// A bounded number of updates, those sent least often first.
    #[prost(message, repeated, tag = "4")]
    pub updates: Vec<GossipUpdate>,
    /// Where the sender is reached, for members that do not know it yet.
    #[prost(string, tag = "5")]
    pub sender_address: String,
}
