//! Simulated forwarders, which lease routes of key ranges and send writes to the owners.

use shalereel::interface::Nanos;

use super::event::{Event, ForwarderRequest, ForwarderResponse};
use super::schedule::MILLISECOND;
use super::simulation::{EffectiveWrite, Simulation};
use super::violation::{Violation, ViolationKind};
use crate::leases::{LeaseClient, RangeRoute, RouteTenure};
use crate::wire::MemberId;

/// A forwarder reconnects to a random member before one request in this many.
const RECONNECT_ONE_IN: u64 = 12;
const WRITE_GAP_MIN: Nanos = MILLISECOND;
const WRITE_GAP_MAX: Nanos = 150 * MILLISECOND;
/// One write in this many may be in flight for up to the configured maximum; the others arrive within
/// [`WRITE_TRAVEL_MAX`].
const SLOW_WRITE_ONE_IN: u64 = 4;
const WRITE_TRAVEL_MAX: Nanos = 20 * MILLISECOND;

impl Simulation {
    pub fn request_periodically(&mut self, forwarder: u64) {
        let interval = self.timing.tenure / 4;
        let next = self.now + interval + self.draw(interval);
        self.schedule(next, Event::RequestDue(forwarder));
        self.request(forwarder);
    }

    fn request(&mut self, id: u64) {
        let now = self.now;
        let reconnects = self.draw(RECONNECT_ONE_IN) == 0;
        let other_member = self.draw_member();
        let Some(forwarder) = self.forwarders.get_mut(&id) else { return };
        if now < forwarder.paused_until {
            return;
        }
        let crashed = self.members.get(&forwarder.member).is_none_or(|member| member.group.is_none());
        if reconnects || crashed || forwarder.stream == 0 {
            self.streams += 1;
            forwarder.stream = self.streams;
            forwarder.member = other_member;
            forwarder.client.stream_reopened();
        }
        let sent_at = forwarder.clock(now);
        let request = forwarder.client.request(sent_at);
        let (stream, to) = (forwarder.stream, forwarder.member);
        let at = self.arrival().max(self.last_request_arrival(stream));
        let request = ForwarderRequest { forwarder: id, stream, to, sent_at, request };
        self.schedule(at, Event::Request(request));
    }

    /// Latest arrival of the stream's requests in flight: requests of one stream keep their order.
    fn last_request_arrival(&self, stream: u64) -> Nanos {
        let mut arrivals = self.events.iter().rev().filter_map(|((at, _), event)| match event {
            Event::Request(request) if request.stream == stream => Some(*at),
            _ => None,
        });
        arrivals.next().unwrap_or(0)
    }

    pub fn handle_request(&mut self, request: ForwarderRequest) -> Result<(), Violation> {
        let now = self.now;
        let Some(member) = self.members.get_mut(&request.to) else { return Ok(()) };
        let clock = member.clock(now);
        let Some(group) = &mut member.group else { return Ok(()) };
        let response = group.handle_range_request(clock, request.stream, &request.request);
        let at = self.arrival();
        let response = ForwarderResponse {
            forwarder: request.forwarder,
            stream: request.stream,
            request_sent_at: Some(request.sent_at),
            response,
        };
        self.schedule(at, Event::Response(response));
        self.poll(request.to)
    }

    /// Pushes the current routes from a member to its forwarders.
    pub fn push_routes(&mut self, id: MemberId) {
        let Some(group) = self.members.get_mut(&id).and_then(|member| member.group.as_mut()) else { return };
        let response = group.current_routes();
        let connected = self.forwarders.iter().filter(|(_, forwarder)| forwarder.member == id);
        let connected: Vec<(u64, u64)> = connected.map(|(&id, forwarder)| (id, forwarder.stream)).collect();
        for (forwarder, stream) in connected {
            let at = self.arrival();
            let response = response.clone();
            let response = ForwarderResponse { forwarder, stream, request_sent_at: None, response };
            self.schedule(at, Event::Response(response));
        }
    }

    pub fn handle_response(&mut self, response: ForwarderResponse) -> Result<(), Violation> {
        let now = self.now;
        let overtaken = self.overtakes_a_response(&response);
        let Some(forwarder) = self.forwarders.get_mut(&response.forwarder) else { return Ok(()) };
        if forwarder.stream != response.stream {
            return Ok(());
        }
        if now < forwarder.paused_until || overtaken {
            let at = forwarder.paused_until.max(now + MILLISECOND);
            self.schedule(at, Event::Response(response));
            return Ok(());
        }
        let duration = self.timing.tenure;
        let tenure = response.request_sent_at.map(|requested_at| RouteTenure { requested_at, duration });
        let before = forwarder.client.clone();
        let routes = response.response.routes.as_deref();
        let withdrawn = forwarder.client.handle_response(response.response.sequence, tenure, routes);
        self.check_epochs(response.forwarder, &before)?;
        if withdrawn {
            self.request(response.forwarder);
        }
        Ok(())
    }

    /// Whether an earlier response of the same stream is still in flight: responses of one stream keep their order.
    fn overtakes_a_response(&self, response: &ForwarderResponse) -> bool {
        let is_earlier = |event: &Event| match event {
            Event::Response(other) => {
                other.stream == response.stream && other.response.sequence < response.response.sequence
            }
            _ => false,
        };
        self.events.values().any(is_earlier)
    }

    fn check_epochs(&self, id: u64, before: &LeaseClient) -> Result<(), Violation> {
        let Some(forwarder) = self.forwarders.get(&id) else { return Ok(()) };
        let clock = forwarder.clock(self.now);
        for range in 0..self.settings.ranges {
            // Read at time 0, so that a route which has expired since is included.
            let (old, new) = (before.route(0, range), forwarder.client.route(clock, range));
            let (Some(old), Some(new)) = (old, new) else { continue };
            if new.epoch < old.epoch {
                let kind = ViolationKind::EpochDecreased { forwarder: id, from: old.epoch, to: new.epoch };
                return Err(self.violation(kind));
            }
        }
        Ok(())
    }

    pub fn write(&mut self, id: u64) {
        let next = self.now + WRITE_GAP_MIN + self.draw(WRITE_GAP_MAX);
        self.schedule(next, Event::Write(id));
        let now = self.now;
        let range = self.draw(self.settings.ranges.into()) as u32;
        let slow = self.draw(SLOW_WRITE_ONE_IN) == 0;
        let travel = self.draw(if slow { self.timing.max_in_flight } else { WRITE_TRAVEL_MAX });
        let Some(forwarder) = self.forwarders.get(&id) else { return };
        if now < forwarder.paused_until {
            return;
        }
        if let Some(route) = forwarder.client.route(forwarder.clock(now), range) {
            self.schedule(now + travel, Event::WriteTakesEffect(route));
        }
    }

    pub fn check_write(&mut self, route: RangeRoute) -> Result<(), Violation> {
        self.stats.writes += 1;
        let (range, epoch, server) = (route.range, route.epoch, route.owner);
        if let Some(last) = self.last_writes.get(&range) {
            if epoch < last.epoch || (epoch == last.epoch && server != last.server) {
                return Err(self.violation(ViolationKind::StaleWrite {
                    range,
                    server,
                    epoch,
                    last_server: last.server,
                    last_epoch: last.epoch,
                }));
            }
        }
        self.last_writes.insert(range, EffectiveWrite { epoch, server });
        Ok(())
    }
}
