//! Streams of forwarders that request key ranges: requests and pushed routes.

use std::collections::{BTreeMap, BTreeSet};

use prost::Message;
use shalereel::interface::Nanos;
use shalereel_group::wire::{AddressedRoute, RangesRequest, RangesResponse};
use shalereel_group::{RangeRoute, RouteRequest, RouteResponse, ServerAvailability};
use shalereel_rpc::Status;

use super::{malformed, GroupCommand, GroupMember};
use crate::core::Peer;
use crate::endpoints::EndpointList;

impl GroupMember {
    /// Handles a forwarder's newly opened stream of key ranges.
    pub fn range_stream_opened(&mut self, peer: Peer) {
        self.range_streams.insert(peer);
    }

    /// Answers a forwarder's request for key ranges.
    ///
    /// # Errors
    ///
    /// The request cannot be decoded; the stream has to be closed with this status.
    pub fn handle_ranges_request(
        &mut self,
        now: Nanos,
        peer: Peer,
        message: &[u8],
        endpoints: &EndpointList,
    ) -> Result<(), Status> {
        // The text has an earlier name of the message, since clients may match it.
        let decoded = RangesRequest::decode(message).map_err(|error| malformed("RangesAsk", &error))?;
        let request = RouteRequest { last_response_read: decoded.last_response_read, held: decoded.held };
        let response = self.group.handle_range_request(now, peer, &request);
        self.send_routes(peer, decoded.sent_at, response, endpoints);
        Ok(())
    }

    /// Passes the servers of a changed list to the group. If an owner of a range newly drains or is removed, all
    /// forwarders are sent routes at once.
    pub fn update_servers(&mut self, servers: BTreeMap<u32, ServerAvailability>, endpoints: &EndpointList) {
        let owners = self.group.state_machine().ranges().values().filter_map(|owned| owned.owner);
        let available = |owner: &u32| servers.get(owner).is_some_and(|server| server.ready);
        let unavailable = owners.filter(|owner| !available(owner)).collect::<BTreeSet<_>>();
        self.group.update_servers(servers);
        if !unavailable.is_subset(&self.unavailable_owners) {
            self.push_routes(endpoints);
        }
        self.unavailable_owners = unavailable;
    }

    /// Sends the current routes to all forwarders without a request.
    pub(super) fn push_routes(&mut self, endpoints: &EndpointList) {
        for peer in self.range_streams.clone() {
            let response = self.group.current_routes();
            self.send_routes(peer, 0, response, endpoints);
        }
    }

    fn send_routes(
        &mut self,
        peer: Peer,
        request_sent_at: u64,
        response: RouteResponse,
        endpoints: &EndpointList,
    ) {
        let message = RangesResponse {
            request_sent_at,
            sequence: response.sequence,
            tenure: self.group.tenure(),
            routes_omitted: response.routes.is_none(),
            routes: addressed(&response.routes.unwrap_or_default(), endpoints),
            range_count: self.settings.range_count,
        };
        self.commands.push(GroupCommand::SendRanges { peer, message: message.encode_to_vec() });
    }
}

/// Adds addresses to routes. A route to a server that drains or is removed is omitted even if the group still has it:
/// forwarders that hold the route drop it.
fn addressed(routes: &[RangeRoute], endpoints: &EndpointList) -> Vec<AddressedRoute> {
    let ready: BTreeSet<u32> =
        endpoints.servers().into_iter().filter(|server| server.ready).map(|server| server.server).collect();
    let addressed = |route: &RangeRoute| {
        if !ready.contains(&route.owner) {
            return None;
        }
        let address = endpoints.endpoint(route.owner)?.address.to_string();
        Some(AddressedRoute { range: route.range, owner: route.owner, epoch: route.epoch, address })
    };
    routes.iter().filter_map(addressed).collect()
}
