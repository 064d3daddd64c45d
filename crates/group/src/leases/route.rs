//! What forwarders and members exchange about routes, without addresses and encoding.

use shalereel::interface::Nanos;

use crate::wire::{Epoch, HeldRange};

/// A key range's owner, as a forwarder may use it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RangeRoute {
    /// The key range.
    pub range: u32,
    /// Server number of the owner.
    pub owner: u32,
    /// Epoch of the assignment.
    pub epoch: Epoch,
}

/// What a forwarder tells with a request for routes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteRequest {
    /// Sequence number of the last response that it read on this stream; 0 for none.
    pub last_response_read: u64,
    /// Routes that it may use at the time of the request.
    pub held: Vec<HeldRange>,
}

/// A member's response, or its unsolicited list of the routes that stand.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteResponse {
    /// Rises with each response of the member.
    pub sequence: u64,
    /// All routes that stand; a route that is missing must be given up. Nothing: the member has no valid lease, and
    /// held routes stay valid until they expire.
    pub routes: Option<Vec<RangeRoute>>,
}

/// How long the routes of a response may be used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouteTenure {
    /// When the request was sent, by the forwarder's clock.
    pub requested_at: Nanos,
    /// Nanoseconds from the request on.
    pub duration: Nanos,
}
