//! Weights for balancers, polled or pushed.

use super::{Peer, PushedEntry, WeightLookup, WorkloadManager};
use crate::message::{Body, Group, Message, ReturnCode, WeightEntry};
use crate::weights::{to_wire_weights, MemberWeight};

/// Weight of a member that takes nothing new.
const NO_WEIGHT: MemberWeight = MemberWeight { weight: 0.0, warming_up: false };

impl WorkloadManager {
    pub(super) fn get_weights(&mut self, peer: Peer, groups: &[Group], lookup: WeightLookup<'_>) -> Body {
        let interval = self.limits.poll_interval;
        let code = self.check_weight_request(peer, groups);
        if code != ReturnCode::Successful {
            return Body::Weights { code, interval, groups: Vec::new() };
        }
        let groups = groups.iter().map(|group| (group.clone(), self.entries(group, lookup))).collect();
        Body::Weights { code, interval, groups }
    }

    fn check_weight_request(&mut self, peer: Peer, groups: &[Group]) -> ReturnCode {
        let Some(connection) = self.connections.get_mut(&peer) else { return ReturnCode::WillNotAccept };
        connection.weight_requests += 1;
        if connection.weight_requests > self.limits.max_weight_requests {
            return ReturnCode::TryLater;
        }
        let Some(balancer) = &connection.balancer else { return ReturnCode::NoGroupYet };
        if groups.iter().any(|group| group.balancer != *balancer) {
            return ReturnCode::WillNotAccept;
        }
        if groups.iter().any(|group| !self.groups.contains_key(group)) {
            return ReturnCode::InvalidGroup;
        }
        ReturnCode::Successful
    }

    /// Weights of all members of a group.
    fn entries(&self, group: &Group, lookup: WeightLookup<'_>) -> Vec<WeightEntry> {
        let Some(members) = self.groups.get(group) else { return Vec::new() };
        let found: Vec<Option<MemberWeight>> = members.keys().map(|member| lookup(group, member)).collect();
        let usable = members.values().zip(&found).map(|(registration, found)| match found {
            Some(weight) if !registration.quiesce => *weight,
            _ => NO_WEIGHT,
        });
        let weights = to_wire_weights(&usable.collect::<Vec<_>>());
        members
            .iter()
            .zip(found.iter().zip(weights))
            .map(|((member, registration), (found, weight))| WeightEntry {
                state: registration.state,
                contact: registration.contact,
                // A balancer knows by this flag that a member with weight 0 takes nothing new.
                quiesce: registration.quiesce || weight == 0,
                registered_by_balancer: registration.registered_itself.is_none(),
                confident: found.is_some(),
                weight,
                member: member.clone(),
            })
            .collect()
    }

    /// Weights to be pushed to a balancer; `None` where it does not want pushes or nothing has changed. With its
    /// no-change flag only the entries that have changed, otherwise all of their group.
    pub fn push(&mut self, peer: Peer, lookup: WeightLookup<'_>) -> Option<Message> {
        let connection = self.connections.get(&peer).filter(|connection| connection.flags.push)?;
        let balancer = connection.balancer.clone()?;
        let changed_only = connection.flags.no_change;
        let of_balancer = self.groups.keys().filter(|group| group.balancer == balancer);
        let of_balancer: Vec<Group> = of_balancer.cloned().collect();
        let mut groups = Vec::new();
        for group in of_balancer {
            let entries = self.entries(&group, lookup);
            let changed = self.take_changed_entries(&group, &entries);
            if !changed.is_empty() {
                groups.push((group, if changed_only { changed } else { entries }));
            }
        }
        if groups.is_empty() {
            return None;
        }
        self.last_message_id = self.last_message_id.wrapping_add(1);
        Some(Message { id: self.last_message_id, body: Body::SendWeights { groups } })
    }

    /// Entries that differ from those pushed last; they count as pushed from now on.
    fn take_changed_entries(&mut self, group: &Group, entries: &[WeightEntry]) -> Vec<WeightEntry> {
        let Some(members) = self.groups.get_mut(group) else { return Vec::new() };
        let mut changed = Vec::new();
        for entry in entries {
            let WeightEntry { weight, quiesce, confident, .. } = *entry;
            let pushed = Some(PushedEntry { weight, quiesce, confident });
            let registration = members.get_mut(&entry.member);
            if let Some(registration) = registration.filter(|registration| registration.last_pushed != pushed)
            {
                registration.last_pushed = pushed;
                changed.push(entry.clone());
            }
        }
        changed
    }
}
