//! Weights of groups: the replies to Get Weights, and Send Weights for load balancers that have requested pushed weights.

use super::{Advisor, Peer, PushedWeight, WeightLookup};
use crate::message::{Body, Group, GroupOf, Message, ReturnCode, WeightEntry};
use crate::weights::{round_to_u16, TableWeight};

impl Advisor {
    pub(super) fn get_weights(&mut self, peer: Peer, groups: &[Group], lookup: WeightLookup<'_>) -> Body {
        let interval = self.limits.interval;
        match self.authorize_weights(peer, groups) {
            Ok(()) => Body::Weights {
                code: ReturnCode::Successful,
                interval,
                groups: groups.iter().map(|group| (group.clone(), self.entries(group, lookup))).collect(),
            },
            Err(code) => Body::Weights { code, interval, groups: Vec::new() },
        }
    }

    /// Counts a request for weights, and checks that it is within the limit and that the groups are registered groups of the
    /// sender.
    fn authorize_weights(&mut self, peer: Peer, groups: &[Group]) -> Result<(), ReturnCode> {
        let connection = self.connections.get_mut(&peer).ok_or(ReturnCode::WillNotAccept)?;
        connection.weight_requests += 1;
        if connection.weight_requests > self.limits.weight_requests {
            return Err(ReturnCode::TryLater);
        }
        let balancer = connection.balancer.as_ref().ok_or(ReturnCode::NoGroupYet)?;
        if groups.iter().any(|group| group.balancer != *balancer) {
            return Err(ReturnCode::WillNotAccept);
        }
        if groups.iter().any(|group| !self.groups.contains_key(group)) {
            return Err(ReturnCode::InvalidGroup);
        }
        Ok(())
    }

    /// The Send Weights message to push to a load balancer; `None` if it has not requested pushes, or nothing has changed
    /// since the last push. The message contains all entries of each group that has changed; with the no-change flag, only the
    /// entries that have changed.
    pub fn push(&mut self, peer: Peer, lookup: WeightLookup<'_>) -> Option<Message> {
        let connection = self.connections.get(&peer).filter(|connection| connection.flags.push)?;
        let only_changed = connection.flags.no_change;
        let own_groups = self.groups_of(connection.balancer.as_ref()?);
        let mut groups: Vec<GroupOf<WeightEntry>> = Vec::new();
        for group in own_groups {
            let entries = self.entries(&group, lookup);
            let changed = self.record_pushed(&group, &entries);
            if !changed.is_empty() {
                groups.push((group, if only_changed { changed } else { entries }));
            }
        }
        if groups.is_empty() {
            return None;
        }
        self.last_id = self.last_id.wrapping_add(1);
        Some(Message { id: self.last_id, body: Body::SendWeights { groups } })
    }

    /// Records the entries of a group as pushed; returns the entries that differ from the last push.
    fn record_pushed(&mut self, group: &Group, entries: &[WeightEntry]) -> Vec<WeightEntry> {
        let Some(registrations) = self.groups.get_mut(group) else { return Vec::new() };
        let mut changed = Vec::new();
        for entry in entries {
            let pushed =
                PushedWeight { weight: entry.weight, quiesce: entry.quiesce, confident: entry.confident };
            let Some(registration) = registrations.get_mut(&entry.member) else { continue };
            if registration.pushed != Some(pushed) {
                registration.pushed = Some(pushed);
                changed.push(entry.clone());
            }
        }
        changed
    }

    /// The weight entries of a group's members, ordered by member.
    fn entries(&self, group: &Group, lookup: WeightLookup<'_>) -> Vec<WeightEntry> {
        const NO_WEIGHT: TableWeight = TableWeight { weight: 0.0, warming_up: false };
        let Some(registrations) = self.groups.get(group) else { return Vec::new() };
        let table_weights: Vec<Option<TableWeight>> =
            registrations.keys().map(|member| lookup(group, member)).collect();
        let effective_weights: Vec<TableWeight> = registrations
            .values()
            .zip(&table_weights)
            .map(|(registration, table_weight)| match table_weight {
                Some(weight) if !registration.quiesce => *weight,
                _ => NO_WEIGHT,
            })
            .collect();
        let weights = round_to_u16(&effective_weights);
        registrations
            .iter()
            .zip(table_weights)
            .zip(weights)
            .map(|(((member, registration), table_weight), weight)| WeightEntry {
                state: registration.state,
                contact: registration.contact,
                // A load balancer stops new work because of this flag, and not because of a weight of 0.
                quiesce: registration.quiesce || weight == 0,
                registered_by_balancer: registration.self_registered_by.is_none(),
                confident: table_weight.is_some(),
                weight,
                member: member.clone(),
            })
            .collect()
    }
}
