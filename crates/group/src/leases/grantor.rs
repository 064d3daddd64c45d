//! Routes that a member has granted to its forwarders, and whether any of them can still use a withdrawn range.

use std::collections::{BTreeMap, BTreeSet};

use shalereel::interface::Nanos;

use super::route::{RangeRoute, RouteRequest, RouteResponse};
use crate::state_machine::{RangeOwnership, StateMachine};
use crate::timing::Timing;
use crate::wire::{Epoch, LogIndex, MemberId};

/// The latest grant of a route on a stream.
#[derive(Clone, Copy, Debug)]
struct Grant {
    granted_at: Nanos,
    /// Sequence number of the response that granted the route.
    response: u64,
}

/// Routes that a member has granted to forwarders.
#[derive(Clone, Debug)]
pub struct RangeGrantor {
    /// When all routes that this member may have granted before its last restart have expired, and requests sent by
    /// them have taken effect.
    earlier_grants_expire_at: Nanos,
    /// By range and epoch, and then by stream.
    granted: BTreeMap<(u32, Epoch), BTreeMap<u64, Grant>>,
    /// Sequence number of the latest response.
    responses: u64,
    /// By range: when a forwarder last confirmed that it no longer uses the route to a former owner.
    relinquished_at: BTreeMap<u32, Nanos>,
}

fn is_current(state_machine: &StateMachine, range: u32, epoch: Epoch) -> bool {
    let ownership = state_machine.ranges().get(&range);
    ownership.is_some_and(|ownership| ownership.epoch == epoch && ownership.owner.is_some())
}

fn current_route_of((&range, ownership): (&u32, &RangeOwnership)) -> Option<RangeRoute> {
    ownership.owner.map(|owner| RangeRoute { range, owner, epoch: ownership.epoch })
}

impl RangeGrantor {
    /// The grantor of a member that starts at `started_at`.
    pub fn new(timing: &Timing, started_at: Nanos) -> Self {
        RangeGrantor {
            earlier_grants_expire_at: started_at + timing.route_expiry_span(),
            granted: BTreeMap::new(),
            responses: 0,
            relinquished_at: BTreeMap::new(),
        }
    }

    /// Answers a forwarder's request with all current routes, which the forwarder may use for one tenure from its
    /// request, or without routes if the member has no valid lease. A forwarder that reconnects has a new stream; the
    /// grants on its old stream end when they expire.
    pub fn handle_request(
        &mut self,
        now: Nanos,
        stream: u64,
        request: &RouteRequest,
        state_machine: &StateMachine,
        lease_is_valid: bool,
    ) -> RouteResponse {
        self.responses += 1;
        self.record_relinquished_routes(now, stream, request, state_machine);
        if !lease_is_valid {
            return RouteResponse { sequence: self.responses, routes: None };
        }
        let routes: Vec<RangeRoute> = state_machine.ranges().iter().filter_map(current_route_of).collect();
        for route in &routes {
            let grants = self.granted.entry((route.range, route.epoch)).or_default();
            grants.insert(stream, Grant { granted_at: now, response: self.responses });
        }
        RouteResponse { sequence: self.responses, routes: Some(routes) }
    }

    /// Removes the stream's grants of routes that are no longer current once the forwarder does not hold the route and
    /// has read the response that granted it. Until it has read that response, it may still obtain the route from it.
    fn record_relinquished_routes(
        &mut self,
        now: Nanos,
        stream: u64,
        request: &RouteRequest,
        state_machine: &StateMachine,
    ) {
        let held: BTreeSet<(u32, Epoch)> = request.held.iter().map(|held| (held.range, held.epoch)).collect();
        for (&(range, epoch), grants) in &mut self.granted {
            let in_use = is_current(state_machine, range, epoch) || held.contains(&(range, epoch));
            let read = grants.get(&stream).is_some_and(|grant| grant.response <= request.last_response_read);
            if !in_use && read {
                grants.remove(&stream);
                self.relinquished_at.insert(range, now);
            }
        }
    }

    /// The current routes, to be pushed to forwarders when a range is withdrawn; this extends no grant.
    pub fn current_routes(&mut self, state_machine: &StateMachine) -> RouteResponse {
        self.responses += 1;
        let routes = state_machine.ranges().iter().filter_map(current_route_of).collect();
        RouteResponse { sequence: self.responses, routes: Some(routes) }
    }

    /// Pending moves, as range and move index, that this member may now report as cleared because none of its
    /// forwarders can still use the former owner.
    pub fn cleared_moves(
        &mut self,
        now: Nanos,
        timing: &Timing,
        own_id: MemberId,
        state_machine: &StateMachine,
    ) -> Vec<(u32, LogIndex)> {
        let route_expiry_span = timing.route_expiry_span();
        self.granted.retain(|_, grants| {
            grants.retain(|_, grant| grant.granted_at + route_expiry_span > now);
            !grants.is_empty()
        });
        let mut cleared = Vec::new();
        for (&range, ownership) in state_machine.ranges() {
            let Some(pending_move) = &ownership.pending_move else { continue };
            if !pending_move.cleared_by.contains(&own_id) && self.is_clear(now, timing, range) {
                cleared.push((range, pending_move.move_index));
            }
        }
        cleared
    }

    fn is_clear(&self, now: Nanos, timing: &Timing, range: u32) -> bool {
        let granted = self.granted.keys().any(|(granted, _)| *granted == range);
        let in_flight = self.relinquished_at.get(&range).is_some_and(|at| now < at + timing.in_flight_span());
        now >= self.earlier_grants_expire_at && !granted && !in_flight
    }

    /// Earliest time at which a pending move may become clear; `None` if no range is moving.
    pub fn next_deadline(&self, timing: &Timing, state_machine: &StateMachine) -> Option<Nanos> {
        let moving = state_machine.ranges().values().any(|ownership| ownership.pending_move.is_some());
        moving.then(|| {
            let grants = self.granted.values().flat_map(BTreeMap::values);
            let expiries = grants.map(|grant| grant.granted_at + timing.route_expiry_span());
            let relinquished = self.relinquished_at.values().map(|at| at + timing.in_flight_span());
            expiries.chain(relinquished).fold(self.earlier_grants_expire_at, Nanos::min)
        })
    }
}
