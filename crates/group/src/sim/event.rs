//! Events of the simulation.

use shalereel::interface::Nanos;

use crate::leases::{RangeRoute, RouteRequest, RouteResponse};
use crate::wire::{Envelope, MemberId};

/// An event at one simulated time.
pub(super) enum Event {
    /// A member's next deadline is reached.
    Wake(MemberId),
    /// A message between members arrives.
    Deliver(Envelope),
    /// A write is synced, unless the member has crashed since the write started.
    Stored {
        member: MemberId,
        incarnation: u64,
    },
    /// Another fault starts.
    Fault,
    Restart(MemberId),
    Resume(MemberId),
    DiskRecovers(MemberId),
    /// All cut links and message losses of the network end.
    NetworkHeals,
    /// A forwarder's next request is due.
    RequestDue(u64),
    /// A forwarder's request arrives at a member.
    Request(ForwarderRequest),
    /// A response arrives at a forwarder.
    Response(ForwarderResponse),
    /// A forwarder sends a write.
    Write(u64),
    /// A write arrives at a server.
    WriteTakesEffect(RangeRoute),
    /// An operator submits an order.
    Order,
}

impl Event {
    /// The member that handles the event, if it is one that waits while the member is paused.
    pub fn member(&self) -> Option<MemberId> {
        match self {
            Event::Wake(member) | Event::Stored { member, .. } => Some(*member),
            Event::Deliver(envelope) => Some(envelope.to),
            Event::Request(request) => Some(request.to),
            _ => None,
        }
    }
}

pub(super) struct ForwarderRequest {
    pub forwarder: u64,
    pub stream: u64,
    pub to: MemberId,
    /// By the forwarder's clock.
    pub sent_at: Nanos,
    pub request: RouteRequest,
}

pub(super) struct ForwarderResponse {
    pub forwarder: u64,
    pub stream: u64,
    /// `None` if the response is unsolicited.
    pub request_sent_at: Option<Nanos>,
    pub response: RouteResponse,
}
