//! Checks that a sender may make a request for a load balancer, a group, or a member. The error of a check is the return code
//! of the reply.

use super::{Advisor, Change, Peer, Role, Sender};
use crate::message::{Group, Member, ReturnCode};

impl Advisor {
    /// The connection of the load balancer with this id.
    pub(super) fn connection_of(&self, balancer: &[u8]) -> Option<Peer> {
        let mut connections = self.connections.iter();
        connections
            .find(|(_, connection)| connection.balancer.as_deref() == Some(balancer))
            .map(|(&peer, _)| peer)
    }

    /// Makes this peer the load balancer with this id, unless it is that already. A connection cannot change its id, and an id
    /// belongs to one connection at a time.
    pub(super) fn claim_balancer_id(
        &mut self,
        peer: Peer,
        balancer: &[u8],
        changes: &mut Vec<Change>,
    ) -> Result<(), ReturnCode> {
        if balancer.is_empty() {
            return Err(ReturnCode::InvalidUidSize);
        }
        let is_taken = self.connection_of(balancer).is_some();
        let connection = self.connections.get_mut(&peer).ok_or(ReturnCode::WillNotAccept)?;
        match &connection.balancer {
            Some(own) if own == balancer => Ok(()),
            Some(_) => Err(ReturnCode::WillNotAccept),
            None if is_taken => Err(ReturnCode::WillNotAccept),
            None => {
                connection.balancer = Some(balancer.to_owned());
                changes.push(Change::Joined { peer, balancer: balancer.to_owned() });
                Ok(())
            }
        }
    }

    /// Checks that the sender may make requests for a group. A member may do so only if the group's load balancer trusts
    /// members.
    pub(super) fn authorize_group(
        &mut self,
        sender: Sender,
        group: &Group,
        changes: &mut Vec<Change>,
    ) -> Result<(), ReturnCode> {
        if group.name.is_empty() {
            return Err(ReturnCode::InvalidGroupNameSize);
        }
        if sender.role == Role::LoadBalancer {
            return self.claim_balancer_id(sender.peer, &group.balancer, changes);
        }
        let balancer = self.connection_of(&group.balancer).and_then(|peer| self.connections.get(&peer));
        match balancer {
            None => Err(ReturnCode::NoGroupYet),
            Some(balancer) if !balancer.flags.trust => Err(ReturnCode::WillNotAccept),
            Some(_) if !self.groups.contains_key(group) => Err(ReturnCode::InvalidGroup),
            Some(_) => Ok(()),
        }
    }

    /// Checks that the sender may make requests for each of these members, which must be registered. A member may do so only
    /// for itself.
    pub(super) fn authorize_members<'a>(
        &mut self,
        sender: Sender,
        group: &Group,
        members: impl Iterator<Item = &'a Member>,
        changes: &mut Vec<Change>,
    ) -> Result<(), ReturnCode> {
        self.authorize_group(sender, group, changes)?;
        let registrations = self.groups.get(group).ok_or(ReturnCode::InvalidGroup)?;
        for member in members {
            let registration = registrations.get(member).ok_or(ReturnCode::NotRegistered)?;
            let is_itself = registration.self_registered_by == Some(sender.peer);
            if sender.role == Role::Member && !is_itself {
                return Err(ReturnCode::WillNotAccept);
            }
        }
        Ok(())
    }
}
