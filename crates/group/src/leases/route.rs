//! Requests and responses about routes between forwarders and members, without addresses and wire encoding.

use shalereel::interface::Nanos;

use crate::wire::{Epoch, HeldRange};

/// A route: the owner of a key range under one assignment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RangeRoute {
    /// The key range.
    pub range: u32,
    /// Server number of the owner.
    pub owner: u32,
    /// Epoch of the assignment.
    pub epoch: Epoch,
}

/// Content of a forwarder's request for routes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteRequest {
    /// Sequence number of the last response that the forwarder read on this stream; 0 for none.
    pub last_response_read: u64,
    /// Routes that the forwarder may use at the time of the request.
    pub held: Vec<HeldRange>,
}

/// A member's response to a request, or its unsolicited list of the current routes.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteResponse {
    /// Increases with each response of the member.
    pub sequence: u64,
    /// All current routes; the forwarder must stop using any route that is missing. `None` if the member has no valid
    /// lease; routes that the forwarder holds then stay valid until they expire.
    pub routes: Option<Vec<RangeRoute>>,
}

/// How long the routes of a response may be used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouteTenure {
    /// When the request was sent, by the forwarder's clock.
    pub requested_at: Nanos,
    /// Nanoseconds, counted from when the request was sent.
    pub duration: Nanos,
}
