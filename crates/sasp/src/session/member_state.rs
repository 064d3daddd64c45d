//! The requests Set Load Balancer State and Set Member State. A request is carried out completely or not at all.

use super::{Advisor, Change, Peer, Role, Sender};
use crate::message::{Group, GroupOf, LbFlags, MemberState, ReturnCode};

impl Advisor {
    pub(super) fn set_balancer_state(
        &mut self,
        peer: Peer,
        balancer: &[u8],
        flags: LbFlags,
        changes: &mut Vec<Change>,
    ) -> Result<(), ReturnCode> {
        self.claim_balancer_id(peer, balancer, changes)?;
        if let Some(connection) = self.connections.get_mut(&peer) {
            connection.flags = flags;
        }
        Ok(())
    }

    pub(super) fn set_member_state(
        &mut self,
        sender: Sender,
        groups: Vec<GroupOf<MemberState>>,
        changes: &mut Vec<Change>,
    ) -> Result<(), ReturnCode> {
        for (group, states) in &groups {
            let members = states.iter().map(|state| &state.member);
            self.authorize_members(sender, group, members, changes)?;
        }
        for (group, states) in groups {
            for state in states {
                self.apply_member_state(sender.role, &group, state, changes);
            }
        }
        Ok(())
    }

    fn apply_member_state(&mut self, role: Role, group: &Group, new: MemberState, changes: &mut Vec<Change>) {
        let registrations = self.groups.get_mut(group);
        let Some(registration) = registrations.and_then(|members| members.get_mut(&new.member)) else {
            return;
        };
        let quiesce_changed = registration.quiesce != new.quiesce;
        registration.state = new.state;
        registration.quiesce = new.quiesce;
        // Only a load balancer can say whether it reaches a member.
        if role == Role::LoadBalancer {
            registration.contact = new.contact;
        }
        if quiesce_changed {
            changes.push(Change::Member {
                group: group.clone(),
                member: new.member,
                registered: true,
                quiesce: new.quiesce,
            });
        }
    }
}
