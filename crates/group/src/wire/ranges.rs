//! Messages with which forwarders lease routes of key ranges, on a bidirectional stream. The forwarders in
//! `crates/standins` send requests, `crates/xds-supervisor` (`group_member/forwarders.rs`) answers them.

use prost::Message;

use super::ids::Epoch;

/// A route that a forwarder holds, identified by range and epoch.
#[derive(Clone, PartialEq, Message)]
pub struct HeldRange {
    /// The key range.
    #[prost(uint32, tag = "1")]
    pub range: u32,
    /// Epoch of the route.
    #[prost(uint64, tag = "2")]
    pub epoch: Epoch,
}

/// A forwarder's request for routes.
#[derive(Clone, PartialEq, Message)]
pub struct RangesRequest {
    /// Time of the request by the forwarder's own clock, never 0; the response returns it unchanged.
    #[prost(uint64, tag = "1")]
    pub sent_at: u64,
    /// Sequence number of the last response that the forwarder read on this stream; 0 for none.
    #[prost(uint64, tag = "2")]
    pub last_response_read: u64,
    /// Routes that the forwarder holds.
    #[prost(message, repeated, tag = "3")]
    pub held: Vec<HeldRange>,
}

/// The owner of a key range and its address.
#[derive(Clone, PartialEq, Message)]
pub struct AddressedRoute {
    /// The key range.
    #[prost(uint32, tag = "1")]
    pub range: u32,
    /// Server number of the owner.
    #[prost(uint32, tag = "2")]
    pub owner: u32,
    /// Epoch of the assignment.
    #[prost(uint64, tag = "3")]
    pub epoch: Epoch,
    /// Host and port of the owner.
    #[prost(string, tag = "4")]
    pub address: String,
}

/// A response to a request, or an unsolicited list of the current routes if `request_sent_at` is 0.
#[derive(Clone, PartialEq, Message)]
pub struct RangesResponse {
    /// `sent_at` of the request; 0 if the message is unsolicited.
    #[prost(uint64, tag = "1")]
    pub request_sent_at: u64,
    /// Increases with each response of the member.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// How long the routes may be used, in nanoseconds from when the request was sent.
    #[prost(uint64, tag = "3")]
    pub tenure: u64,
    /// Whether the response states no routes; routes that the forwarder holds then stay valid until they expire.
    #[prost(bool, tag = "4")]
    pub routes_omitted: bool,
    /// All current routes.
    #[prost(message, repeated, tag = "5")]
    pub routes: Vec<AddressedRoute>,
    /// Number of ranges, which divide the space of the first 64 bits of a key's hash into equal parts.
    #[prost(uint32, tag = "6")]
    pub range_count: u32,
}
