//! Gossip: which updates a message carries, and which received updates are applied.

use shalereel::interface::Nanos;

use super::member::{Member, StatusChange};
use super::Membership;
use crate::wire::{Gossip, GossipUpdate, MemberId, MemberStatus, ProbeKind};

/// Maximum number of updates in one message, which bounds its size.
const MAX_UPDATES_PER_MESSAGE: usize = 8;

/// Origin of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// This member: the result of its own probes, or a change of its own status.
    Own,
    /// Another member.
    Peer,
}

fn status_of(update: &GossipUpdate) -> MemberStatus {
    MemberStatus::try_from(update.status).unwrap_or(MemberStatus::Alive)
}

impl Membership {
    /// Announces to all members that this one leaves permanently.
    pub fn leave(&mut self, now: Nanos) {
        self.set_status(now, self.id, MemberStatus::Left);
        for to in self.other_members(|_| true) {
            self.send_ping(to);
        }
    }

    /// Records a status that this member has determined itself.
    pub(super) fn set_status(&mut self, now: Nanos, id: MemberId, status: MemberStatus) {
        let Some(member) = self.members.get(&id) else { return };
        let update = GossipUpdate { status: status as i32, ..update_about(id, member) };
        self.apply_update(now, update, Source::Own);
    }

    /// Handles a message of another member.
    pub fn handle_gossip(&mut self, now: Nanos, from: MemberId, gossip: Gossip) {
        if !self.members.contains_key(&from) {
            let sender = GossipUpdate {
                member: from,
                address: gossip.sender_address.clone(),
                incarnation: 0,
                status: MemberStatus::Alive as i32,
            };
            self.apply_update(now, sender, Source::Peer);
        }
        for update in gossip.updates {
            self.apply_update(now, update, Source::Peer);
        }
        match ProbeKind::try_from(gossip.kind) {
            Ok(ProbeKind::Ping) => self.handle_ping(from, gossip.sequence, gossip.target),
            Ok(ProbeKind::PingRequest) => {
                self.handle_ping_request(now, from, gossip.sequence, gossip.target);
            }
            Ok(ProbeKind::Ack) => self.handle_ack(gossip.sequence, gossip.target),
            Err(_) => {}
        }
    }

    /// Applies an update if it is newer than the known information.
    fn apply_update(&mut self, now: Nanos, update: GossipUpdate, source: Source) {
        if update.member == self.id && source == Source::Peer {
            return self.refute(&update);
        }
        let status = status_of(&update);
        let old = self.members.get(&update.member);
        if old.is_some_and(|old| (update.incarnation, status) <= (old.incarnation, old.status)) {
            return;
        }
        let stays_alive =
            old.filter(|old| old.status == MemberStatus::Alive && status == MemberStatus::Alive);
        let since = stays_alive.map_or(now, |old| old.since);
        if old.is_none_or(|old| old.status != status) {
            let change = StatusChange { member: update.member, status, incarnation: update.incarnation };
            self.changes.push(change);
        }
        let member = Member {
            address: update.address,
            incarnation: update.incarnation,
            status,
            since,
            transmissions_left: self.timing.gossip_transmissions(self.members.len()),
        };
        self.members.insert(update.member, member);
    }

    /// Refutes an update that reports this member as not alive, by raising its incarnation.
    fn refute(&mut self, update: &GossipUpdate) {
        let transmissions = self.timing.gossip_transmissions(self.members.len());
        let Some(own) = self.members.get_mut(&self.id) else { return };
        let left = own.status == MemberStatus::Left;
        if status_of(update) != MemberStatus::Alive && update.incarnation >= own.incarnation && !left {
            own.incarnation = update.incarnation + 1;
            own.transmissions_left = transmissions;
        }
    }

    pub(super) fn send_gossip(&mut self, to: MemberId, kind: ProbeKind, sequence: u64, target: MemberId) {
        let mut updates = Vec::new();
        for id in self.updates_for(to) {
            if let Some(member) = self.members.get_mut(&id) {
                member.transmissions_left = member.transmissions_left.saturating_sub(1);
                updates.push(update_about(id, member));
            }
        }
        let sender_address = self.address(self.id).unwrap_or_default().to_owned();
        let gossip = Gossip { kind: kind as i32, sequence, target, updates, sender_address };
        self.outbox.push((to, gossip));
    }

    /// Members whose updates a message carries: first its receiver if that is not considered alive, so that it can
    /// refute this, and then those whose updates were sent least often.
    fn updates_for(&self, to: MemberId) -> Vec<MemberId> {
        let fresh = self.members.iter().filter(|(&id, member)| member.transmissions_left > 0 && id != to);
        let mut fresh: Vec<(u32, MemberId)> =
            fresh.map(|(&id, member)| (u32::MAX - member.transmissions_left, id)).collect();
        fresh.sort_unstable();
        let receiver = self.members.get(&to).filter(|member| member.status != MemberStatus::Alive);
        let receiver = receiver.map(|_| to).into_iter();
        receiver.chain(fresh.into_iter().map(|(_, id)| id)).take(MAX_UPDATES_PER_MESSAGE).collect()
    }
}

fn update_about(id: MemberId, member: &Member) -> GossipUpdate {
    GossipUpdate {
        member: id,
        address: member.address.clone(),
        incarnation: member.incarnation,
        status: member.status as i32,
    }
}
