//! Messages by which forwarders lease routes of key ranges, on a stream both ways. Sent by the forwarders in
//! `crates/standins`, answered by `crates/xds-supervisor` (`group_member/forwarders.rs`).

use prost::Message;

use super::ids::Epoch;

/// A range whose route a forwarder holds.
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
    /// By the forwarder's own clock, returned unchanged; 0 is not used.
    #[prost(uint64, tag = "1")]
    pub sent_at: u64,
    /// Sequence number of the last response read on this stream.
    #[prost(uint64, tag = "2")]
    pub last_response_read: u64,
    /// Routes that it holds.
    #[prost(message, repeated, tag = "3")]
    pub held: Vec<HeldRange>,
}

/// The owner of a key range and where it is reached.
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

/// A response, or, with `request_sent_at` 0, an unsolicited list of the routes that still stand.
#[derive(Clone, PartialEq, Message)]
pub struct RangesResponse {
    /// From the request.
    #[prost(uint64, tag = "1")]
    pub request_sent_at: u64,
    /// Rises with each response of the member.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Nanoseconds from the request on that the routes may be used for.
    #[prost(uint64, tag = "3")]
    pub tenure: u64,
    /// No routes are stated: those held stay valid until they expire.
    #[prost(bool, tag = "4")]
    pub routes_omitted: bool,
    /// All routes that stand.
    #[prost(message, repeated, tag = "5")]
    pub routes: Vec<AddressedRoute>,
    /// Number of ranges: the first 64 bits of a key's hash, as a fraction of all, fall into one of them.
    #[prost(uint32, tag = "6")]
    pub range_count: u32,
}
