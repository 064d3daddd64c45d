//! A forwarder's side of key ranges: which routes it may use, and until when. All that a proxy has to implement.
//! Called by the forwarders in `crates/standins`.

use std::collections::BTreeMap;

use shalereel::interface::Nanos;

use super::route::{RangeRoute, RouteRequest, RouteTenure};
use crate::wire::{Epoch, HeldRange};

#[derive(Clone, Copy, Debug)]
struct HeldRoute {
    route: RangeRoute,
    expires_at: Nanos,
}

/// Routes of key ranges as one forwarder holds them.
#[derive(Clone, Debug, Default)]
pub struct LeaseClient {
    routes: BTreeMap<u32, HeldRoute>,
    /// By range, the highest epoch ever taken: an earlier one is never taken again.
    highest_epochs: BTreeMap<u32, Epoch>,
    last_response_read: u64,
    /// An injected fault.
    unfenced: bool,
}

impl LeaseClient {
    /// A client that holds nothing. `unfenced`: an injected fault, earlier epochs are taken too; false in service.
    pub fn new(unfenced: bool) -> Self {
        LeaseClient { unfenced, ..LeaseClient::default() }
    }

    /// What a request that is sent now tells.
    pub fn request(&mut self, now: Nanos) -> RouteRequest {
        self.routes.retain(|_, held| held.expires_at > now);
        let held = |held: &HeldRoute| HeldRange { range: held.route.range, epoch: held.route.epoch };
        RouteRequest {
            last_response_read: self.last_response_read,
            held: self.routes.values().map(held).collect(),
        }
    }

    /// A new stream is open: its responses are numbered anew. Routes stay valid until they expire.
    pub fn stream_reopened(&mut self) {
        self.last_response_read = 0;
    }

    /// Takes a response: `tenure` is nothing where it was not requested, `routes` is nothing where it states none.
    /// Returns whether routes were withdrawn; the client then sends a request at once, so that nobody waits for it.
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
            stated.into_values().for_each(|route| self.take(route, expires_at));
        }
        withdrawn
    }

    fn take(&mut self, route: RangeRoute, expires_at: Nanos) {
        let highest = self.highest_epochs.entry(route.range).or_default();
        if route.epoch < *highest && !self.unfenced {
            return;
        }
        *highest = route.epoch;
        self.routes.insert(route.range, HeldRoute { route, expires_at });
    }

    /// Where requests of a range go now; nothing while it has no owner that this client may use.
    pub fn route(&self, now: Nanos, range: u32) -> Option<RangeRoute> {
        self.routes.get(&range).filter(|held| now < held.expires_at).map(|held| held.route)
    }
}
