//! Registrations and states. A request is carried out completely or not at all.

use std::collections::BTreeSet;

use super::{Peer, Registration, SessionEvent, WorkloadManager};
use crate::message::{Group, LbFlags, Member, MemberState, ReturnCode};

impl WorkloadManager {
    pub(super) fn register(
        &mut self,
        peer: Peer,
        from_balancer: bool,
        groups: Vec<(Group, Vec<Member>)>,
        events: &mut Vec<SessionEvent>,
    ) -> ReturnCode {
        let code = self.check_registration(peer, from_balancer, &groups, events);
        if code != ReturnCode::Successful {
            return code;
        }
        let registered_itself = (!from_balancer).then_some(peer);
        for (group, members) in groups {
            let registered = self.groups.entry(group.clone()).or_default();
            for member in members {
                let registration = Registration { registered_itself, ..Registration::default() };
                registered.insert(member.clone(), registration);
                events.push(SessionEvent::registered(&group, member));
            }
        }
        ReturnCode::Successful
    }

    fn check_registration(
        &mut self,
        peer: Peer,
        from_balancer: bool,
        groups: &[(Group, Vec<Member>)],
        events: &mut Vec<SessionEvent>,
    ) -> ReturnCode {
        let mut requested: BTreeSet<(&Group, &Member)> = BTreeSet::new();
        for (group, members) in groups {
            let code = self.authorize_group(peer, from_balancer, group, events);
            if code != ReturnCode::Successful {
                return code;
            }
            for member in members {
                if !requested.insert((group, member)) {
                    return ReturnCode::DuplicateMember;
                }
                if let Some(code) = self.existing_registration(group, member, from_balancer) {
                    return code;
                }
            }
        }
        self.check_limits(groups, requested.len())
    }

    /// Why a member cannot be registered again, if it is registered.
    fn existing_registration(
        &self,
        group: &Group,
        member: &Member,
        from_balancer: bool,
    ) -> Option<ReturnCode> {
        let registration = self.groups.get(group)?.get(member)?;
        if from_balancer && registration.registered_itself.is_some() {
            Some(ReturnCode::MemberRegistersItself)
        } else {
            Some(ReturnCode::AlreadyRegistered)
        }
    }

    fn check_limits(&self, groups: &[(Group, Vec<Member>)], new_members: usize) -> ReturnCode {
        let balancers: BTreeSet<&Vec<u8>> = groups.iter().map(|(group, _)| &group.balancer).collect();
        let mut group_count = 0;
        let mut member_count = 0;
        for (group, members) in &self.groups {
            if balancers.contains(&group.balancer) {
                group_count += 1;
                member_count += members.len();
            }
        }
        let new_groups = groups.iter().filter(|(group, _)| !self.groups.contains_key(group)).count();
        let too_many_members = member_count + new_members > self.limits.max_members;
        let too_many_groups = group_count + new_groups > self.limits.max_groups;
        if too_many_members || too_many_groups {
            ReturnCode::TryLater
        } else {
            ReturnCode::Successful
        }
    }

    /// A group without members stands for all of them, which only its balancer may name so.
    pub(super) fn deregister(
        &mut self,
        peer: Peer,
        from_balancer: bool,
        groups: Vec<(Group, Vec<Member>)>,
        events: &mut Vec<SessionEvent>,
    ) -> ReturnCode {
        for (group, members) in &groups {
            let code = self.authorize_members(peer, from_balancer, group, members.iter(), events);
            if code != ReturnCode::Successful {
                return code;
            }
            if members.is_empty() && !from_balancer {
                return ReturnCode::WillNotAccept;
            }
        }
        for (group, members) in groups {
            if members.is_empty() {
                self.remove_group(&group, events);
            }
            for member in members {
                if let Some(registered) = self.groups.get_mut(&group) {
                    registered.remove(&member);
                }
                events.push(SessionEvent::deregistered(&group, member));
            }
        }
        ReturnCode::Successful
    }

    pub(super) fn set_lb_state(
        &mut self,
        peer: Peer,
        balancer: &[u8],
        flags: LbFlags,
        events: &mut Vec<SessionEvent>,
    ) -> ReturnCode {
        let code = self.claim_balancer(peer, balancer, events);
        if let (ReturnCode::Successful, Some(connection)) = (code, self.connections.get_mut(&peer)) {
            connection.flags = flags;
        }
        code
    }

    pub(super) fn set_member_state(
        &mut self,
        peer: Peer,
        from_balancer: bool,
        groups: Vec<(Group, Vec<MemberState>)>,
        events: &mut Vec<SessionEvent>,
    ) -> ReturnCode {
        for (group, states) in &groups {
            let members = states.iter().map(|state| &state.member);
            let code = self.authorize_members(peer, from_balancer, group, members, events);
            if code != ReturnCode::Successful {
                return code;
            }
        }
        for (group, states) in groups {
            for state in states {
                self.apply_member_state(&group, state, from_balancer, events);
            }
        }
        ReturnCode::Successful
    }

    fn apply_member_state(
        &mut self,
        group: &Group,
        MemberState { state, contact, quiesce, member }: MemberState,
        from_balancer: bool,
        events: &mut Vec<SessionEvent>,
    ) {
        let registration = self.groups.get_mut(group).and_then(|members| members.get_mut(&member));
        let Some(registration) = registration else { return };
        let changed = registration.quiesce != quiesce;
        registration.state = state;
        registration.quiesce = quiesce;
        // Only a balancer can say whether it reaches a member.
        if from_balancer {
            registration.contact = contact;
        }
        if changed {
            let group = group.clone();
            events.push(SessionEvent::MemberUpdated { group, member, registered: true, quiesce });
        }
    }
}
