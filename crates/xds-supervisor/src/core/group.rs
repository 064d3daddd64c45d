//! Connection to the supervisor's group, if the deployment has one: the group's drains change the endpoint list, its
//! weight caps change the tables, and the group is sent the servers' availability.

use std::collections::BTreeMap;

use shalereel::interface::{Event, Nanos};
use shalereel_group::ServerAvailability;

use super::{Core, ShellCommand};
use crate::endpoints::{EndpointList, ServerSummary};
use crate::group_member::{GroupMember, OperatorOrders};

impl Core {
    /// Makes this supervisor a member of a group.
    pub fn join_group(&mut self, member: GroupMember) {
        let orders = member.orders();
        self.group = Some(member);
        if orders != OperatorOrders::default() {
            self.apply_orders(orders);
        }
    }

    /// The group membership, if there is one, and the endpoint list that the group's answers are made from.
    pub fn group(&mut self) -> Option<(&mut GroupMember, &EndpointList)> {
        self.group.as_mut().map(|group| (group, &self.endpoints))
    }

    fn apply_orders(&mut self, orders: OperatorOrders) {
        self.events.push(Event::Endpoints(self.endpoints.set_operator_drains(orders.drained)));
        self.servers_changed = true;
        self.tables.set_group_caps(orders.weight_caps);
    }

    /// Applies the group's changes, after sending it the servers if they have changed.
    pub(super) fn poll_group(&mut self, now: Nanos) {
        let availability =
            (self.servers_changed && self.group.is_some()).then(|| self.server_availability(now));
        let Some(group) = &mut self.group else { return };
        if let Some(availability) = availability {
            self.servers_changed = false;
            group.update_servers(availability, &self.endpoints);
        }
        let changes = group.poll(now, &self.endpoints);
        self.commands.extend(changes.commands.into_iter().map(ShellCommand::Group));
        self.events.extend(changes.events);
        if let Some(orders) = changes.orders {
            self.apply_orders(orders);
        }
    }

    /// Availability of each listed server. A server is ready if the endpoint list has it as ready and the controller has
    /// not excluded it; it accepts key ranges if it is also past its slow start.
    fn server_availability(&self, now: Nanos) -> BTreeMap<u32, ServerAvailability> {
        let slow_start = self.config.slow_start_duration;
        let availability = |ServerSummary { server, locality, ready }| {
            let ready = ready && !self.tables.is_excluded(server);
            let accepts_ranges = ready && !self.endpoints.started_within(server, now, slow_start);
            (server, ServerAvailability { server, locality: locality.into(), accepts_ranges, ready })
        };
        self.endpoints.servers().into_iter().map(availability).collect()
    }
}
