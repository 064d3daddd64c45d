//! Who may speak for which group: one connection for a balancer, and members for themselves where it trusts them.

use super::{Peer, SessionEvent, WorkloadManager};
use crate::message::{Group, Member, ReturnCode};

impl WorkloadManager {
    /// Makes a connection the balancer's with this id, unless either has another counterpart.
    pub(super) fn claim_balancer(
        &mut self,
        peer: Peer,
        balancer: &[u8],
        events: &mut Vec<SessionEvent>,
    ) -> ReturnCode {
        if balancer.is_empty() {
            return ReturnCode::InvalidUidSize;
        }
        let is_claimed = self.connection_of(balancer).is_some();
        let Some(connection) = self.connections.get_mut(&peer) else { return ReturnCode::WillNotAccept };
        match &connection.balancer {
            Some(own) if own == balancer => ReturnCode::Successful,
            Some(_) => ReturnCode::WillNotAccept,
            None if is_claimed => ReturnCode::WillNotAccept,
            None => {
                connection.balancer = Some(balancer.to_owned());
                events.push(SessionEvent::BalancerJoined { peer, balancer: balancer.to_owned() });
                ReturnCode::Successful
            }
        }
    }

    /// Whether a connection may speak for a group; a member may only where the group's balancer trusts members.
    pub(super) fn authorize_group(
        &mut self,
        peer: Peer,
        from_balancer: bool,
        group: &Group,
        events: &mut Vec<SessionEvent>,
    ) -> ReturnCode {
        if group.name.is_empty() {
            return ReturnCode::InvalidGroupNameSize;
        }
        if from_balancer {
            return self.claim_balancer(peer, &group.balancer, events);
        }
        let balancer = self.connection_of(&group.balancer).and_then(|peer| self.connections.get(&peer));
        match balancer {
            None => ReturnCode::NoGroupYet,
            Some(balancer) if !balancer.flags.trust => ReturnCode::WillNotAccept,
            Some(_) if !self.groups.contains_key(group) => ReturnCode::InvalidGroup,
            Some(_) => ReturnCode::Successful,
        }
    }

    /// Whether a connection may speak for these registered members; a member may for itself alone.
    pub(super) fn authorize_members<'a>(
        &mut self,
        peer: Peer,
        from_balancer: bool,
        group: &Group,
        mut members: impl Iterator<Item = &'a Member>,
        events: &mut Vec<SessionEvent>,
    ) -> ReturnCode {
        let code = self.authorize_group(peer, from_balancer, group, events);
        if code != ReturnCode::Successful {
            return code;
        }
        let Some(registered) = self.groups.get(group) else { return ReturnCode::InvalidGroup };
        let rejection = members.find_map(|member| match registered.get(member) {
            None => Some(ReturnCode::NotRegistered),
            Some(registration) if !from_balancer && registration.registered_itself != Some(peer) => {
                Some(ReturnCode::WillNotAccept)
            }
            Some(_) => None,
        });
        rejection.unwrap_or(ReturnCode::Successful)
    }
}
