//! Messages of the SWIM membership protocol.

use prost::{Enumeration, Message};

use super::ids::MemberId;

/// Status of a member. Of two statuses with the same incarnation, the later in this order takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum MemberStatus {
    /// It answers probes.
    Alive = 0,
    /// It did not answer a probe, and may refute the suspicion.
    Suspect = 1,
    /// It did not refute the suspicion in time.
    Dead = 2,
    /// It announced that it leaves the group.
    Left = 3,
}

/// A gossip update: what the sender knows about one member.
#[derive(Clone, PartialEq, Message)]
pub struct GossipUpdate {
    /// The member that the update describes.
    #[prost(uint32, tag = "1")]
    pub member: MemberId,
    /// Host and port of the member.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Increased only by the member itself, at each start and to refute a suspicion.
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
    /// Asks its target for an acknowledgement.
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
    /// Sequence number of the ping; its acknowledgement repeats it.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// The probed member.
    #[prost(uint32, tag = "3")]
    pub target: MemberId,
    /// A bounded number of updates: the receiver's own first if it is not considered alive, then those sent least
    /// often.
    #[prost(message, repeated, tag = "4")]
    pub updates: Vec<GossipUpdate>,
    /// Host and port of the sender, for members that do not know it yet.
    #[prost(string, tag = "5")]
    pub sender_address: String,
}
