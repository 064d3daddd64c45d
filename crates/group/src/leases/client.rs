//! Client side of range leases: which routes a forwarder may use, and until when. A proxy has to implement only this
//! part. Used by the forwarders in `crates/standins`.

use std::collections::BTreeMap;

use shalereel::interface::Nanos;

use super::route::{RangeRoute, RouteRequest, RouteTenure};
use crate::wire::{Epoch, HeldRange};

#[derive(Clone, Copy, Debug)]
struct HeldRoute {
    route: RangeRoute,
    expires_at: Nanos,
}

/// The routes of key ranges that one forwarder may use.
#[derive(Clone, Debug, Default)]
pub struct LeaseClient {
    routes: BTreeMap<u32, HeldRoute>,
    /// By range, the highest epoch ever accepted: a route with a lower epoch is ignored.
    highest_epochs: BTreeMap<u32, Epoch>,
    last_response_read: u64,
    /// Injected fault: routes with lower epochs are accepted too.
    unfenced: bool,
}

impl LeaseClient {
    /// A client without routes. `unfenced` injects a fault: routes with lower epochs are accepted too. It is false in
    /// production.
    pub fn new(unfenced: bool) -> Self {
        LeaseClient { unfenced, ..LeaseClient::default() }
    }

    /// Creates the content of a request that is sent now. Expired routes are dropped first.
    pub fn request(&mut self, now: Nanos) -> RouteRequest {
        self.routes.retain(|_, held| held.expires_at > now);
        let held = |held: &HeldRoute| HeldRange { range: held.route.range, epoch: held.route.epoch };
        RouteRequest {
            last_response_read: self.last_response_read,
            held: self.routes.values().map(held).collect(),
        }
    }

    /// Tells the client that a new stream is open. Its sequence numbers are unrelated to those of earlier streams.
    /// Routes stay valid until they expire.
    pub fn stream_reopened(&mut self) {
        self.last_response_read = 0;
    }

    /// Handles a response. `tenure` is `None` if the response is unsolicited; `routes` is `None` if the response states
    /// no routes. Returns whether routes were withdrawn; the forwarder then sends a request at once, so that the
    /// pending moves of those ranges do not wait for its next one.
    pub fn handle_response(
        &mut self,
        sequence: u64,
        tenure: Option<RouteTenure>,
        routes: Option<&[RangeRoute]>,
    ) -> bool {
        self.last_response_read = sequence;
        let Some(routes) = routes else { return false };
        let stated: BTreeMap<u32, RangeRoute> = routes.iter().map(|route| (route.range, *route)).collect();
        let before = self.routes.len();
        self.routes.retain(|range, held| stated.get(range) == Some(&held.route));
        let withdrawn = self.routes.len() < before;
        if let Some(tenure) = tenure {
            let expires_at = tenure.requested_at + tenure.duration;
            stated.into_values().for_each(|route| self.accept(route, expires_at));
        }
        withdrawn
    }

    fn accept(&mut self, route: RangeRoute, expires_at: Nanos) {
        let highest = self.highest_epochs.entry(route.range).or_default();
        if route.epoch < *highest && !self.unfenced {
            return;
        }
        *highest = route.epoch;
        self.routes.insert(route.range, HeldRoute { route, expires_at });
    }

    /// The route for requests of a range; `None` while this client may not use any owner of the range.
    pub fn route(&self, now: Nanos, range: u32) -> Option<RangeRoute> {
        self.routes.get(&range).filter(|held| now < held.expires_at).map(|held| held.route)
    }
}
