//! A simulated forwarder with its own clock.

use shalereel::interface::Nanos;

use crate::leases::LeaseClient;
use crate::wire::MemberId;

pub(super) struct Forwarder {
    pub client: LeaseClient,
    /// Number of the current stream; 0 before the first stream is opened.
    pub stream: u64,
    /// The member that the stream is connected to.
    pub member: MemberId,
    /// Speed of its clock relative to simulated time.
    pub clock_rate: f64,
    pub paused_until: Nanos,
}

impl Forwarder {
    pub fn new(unfenced: bool, clock_rate: f64) -> Self {
        Forwarder { client: LeaseClient::new(unfenced), stream: 0, member: 0, clock_rate, paused_until: 0 }
    }

    pub fn clock(&self, now: Nanos) -> Nanos {
        (now as f64 * self.clock_rate) as Nanos
    }
}
