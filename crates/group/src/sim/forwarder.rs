//! A simulated forwarder with its own clock.

use shalereel::interface::Nanos;

use crate::leases::LeaseClient;
use crate::wire::MemberId;

pub(super) struct Forwarder {
    pub client: LeaseClient,
    /// 0 before the first one.
    pub stream: u64,
    pub member: MemberId,
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
