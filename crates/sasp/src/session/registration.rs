//! Registration and deregistration of members. A request is carried out completely or not at all.

use std::collections::BTreeSet;

use super::{Advisor, Change, Peer, Registration, Role, Sender};
use crate::message::{Group, GroupOf, Member, ReturnCode};

impl Advisor {
    pub(super) fn register(
        &mut self,
        sender: Sender,
        groups: Vec<GroupOf<Member>>,
        changes: &mut Vec<Change>,
    ) -> Result<(), ReturnCode> {
        let mut requested: BTreeSet<(&Group, &Member)> = BTreeSet::new();
        for (group, members) in &groups {
            self.authorize_group(sender, group, changes)?;
            for member in members {
                if !requested.insert((group, member)) {
                    return Err(ReturnCode::DuplicateMember);
                }
                self.check_not_registered(sender, group, member)?;
            }
        }
        self.check_limits(&groups, requested.len())?;
        let self_registered_by = (sender.role == Role::Member).then_some(sender.peer);
        for (group, members) in groups {
            let registrations = self.groups.entry(group.clone()).or_default();
            for member in members {
                let registration = Registration { self_registered_by, ..Registration::default() };
                registrations.insert(member.clone(), registration);
                let group = group.clone();
                changes.push(Change::Member { group, member, registered: true, quiesce: false });
            }
        }
        Ok(())
    }

    fn check_not_registered(&self, sender: Sender, group: &Group, member: &Member) -> Result<(), ReturnCode> {
        let Some(registration) = self.groups.get(group).and_then(|members| members.get(member)) else {
            return Ok(());
        };
        if sender.role == Role::LoadBalancer && registration.self_registered_by.is_some() {
            Err(ReturnCode::MemberRegistersItself)
        } else {
            Err(ReturnCode::AlreadyRegistered)
        }
    }

    /// Checks the limits of groups and members. The groups and members of all load balancers in the request are added up.
    fn check_limits(&self, requested: &[GroupOf<Member>], new_members: usize) -> Result<(), ReturnCode> {
        let balancers: BTreeSet<&Vec<u8>> = requested.iter().map(|(group, _)| &group.balancer).collect();
        let mut total_members = new_members;
        let mut total_groups = requested.iter().filter(|(group, _)| !self.groups.contains_key(group)).count();
        for (group, registrations) in &self.groups {
            if balancers.contains(&group.balancer) {
                total_members += registrations.len();
                total_groups += 1;
            }
        }
        if total_members > self.limits.members || total_groups > self.limits.groups {
            return Err(ReturnCode::TryLater);
        }
        Ok(())
    }

    pub(super) fn deregister(
        &mut self,
        sender: Sender,
        groups: Vec<GroupOf<Member>>,
        changes: &mut Vec<Change>,
    ) -> Result<(), ReturnCode> {
        for (group, members) in &groups {
            self.authorize_members(sender, group, members.iter(), changes)?;
            if members.is_empty() && sender.role == Role::Member {
                return Err(ReturnCode::WillNotAccept);
            }
        }
        for (group, members) in groups {
            if members.is_empty() {
                self.remove_group(&group, changes);
            }
            for member in members {
                if let Some(registrations) = self.groups.get_mut(&group) {
                    registrations.remove(&member);
                }
                changes.push(Change::deregistered(group.clone(), member));
            }
        }
        Ok(())
    }

    /// Removes the groups of a load balancer whose connection `peer` has ended.
    pub(super) fn remove_balancer(&mut self, peer: Peer, balancer: &[u8], changes: &mut Vec<Change>) {
        // Another connection has taken over the id, so the groups stay.
        if self.connection_of(balancer).is_some() {
            return;
        }
        for group in self.groups_of(balancer) {
            self.remove_group(&group, changes);
        }
        changes.push(Change::Left { peer });
    }

    /// Removes the members that registered themselves on a connection that has ended.
    pub(super) fn remove_self_registered(&mut self, peer: Peer, changes: &mut Vec<Change>) {
        for (group, registrations) in &mut self.groups {
            registrations.retain(|member, registration| {
                let is_removed = registration.self_registered_by == Some(peer);
                if is_removed {
                    changes.push(Change::deregistered(group.clone(), member.clone()));
                }
                !is_removed
            });
        }
    }

    pub(super) fn groups_of(&self, balancer: &[u8]) -> Vec<Group> {
        self.groups.keys().filter(|group| group.balancer == balancer).cloned().collect()
    }

    fn remove_group(&mut self, group: &Group, changes: &mut Vec<Change>) {
        for member in self.groups.remove(group).unwrap_or_default().into_keys() {
            changes.push(Change::deregistered(group.clone(), member));
        }
    }
}
