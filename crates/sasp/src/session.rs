//! All peers of one manager: who registered what, who may, and what they are answered. Free of I/O and clock.

use std::collections::{BTreeMap, BTreeSet};

use crate::message::*;
use crate::weights::{whole, Figure};

/// One connection, numbered by whoever owns it; never given twice.
pub type Peer = u64;

/// What one peer, and all together, may cost.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Members of one balancer, all its groups together.
    pub members: usize,
    pub groups: usize,
    /// Requests for weights that are answered between two ticks; more are told to try later.
    pub asks: u32,
    /// Seconds after which a balancer that asks should ask again.
    pub interval: u16,
}

/// What the manager knows of a registered member.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Registered {
    /// The peer that registered it for itself; nothing: its balancer did.
    itself: Option<Peer>,
    state: u8,
    contact: bool,
    quiesce: bool,
    /// The entry as last pushed: weight and flags.
    pushed: Option<(u16, bool, bool)>,
}

#[derive(Debug, Default)]
struct Speaker {
    /// The balancer's id, once it has said one.
    uid: Option<Vec<u8>>,
    flags: LbFlags,
    asks: u32,
}

/// What has changed, for those who decide.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A balancer's first registration, and its end with its connection.
    Joined {
        peer: Peer,
        balancer: Vec<u8>,
    },
    Left {
        peer: Peer,
    },
    /// Members say of themselves, or are said, to be there, to be gone, or to take nothing new.
    Member {
        group: Group,
        member: Member,
        there: bool,
        quiesce: bool,
    },
}

/// A message to a peer, or the end of its connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Say(Peer, Message),
    End(Peer, &'static str),
}

/// What the tables say of a member of a group; nothing where they do not know it.
pub type Lookup<'a> = &'a dyn Fn(&Group, &Member) -> Option<Figure>;

/// The manager's side of all connections.
#[derive(Debug)]
pub struct Advisor {
    bounds: Bounds,
    speakers: BTreeMap<Peer, Speaker>,
    groups: BTreeMap<Group, BTreeMap<Member, Registered>>,
    last_id: u32,
}

impl Advisor {
    pub fn new(bounds: Bounds) -> Self {
        Advisor { bounds, speakers: BTreeMap::new(), groups: BTreeMap::new(), last_id: 0 }
    }

    pub fn opened(&mut self, peer: Peer) {
        self.speakers.insert(peer, Speaker::default());
    }

    /// The connection is over. A balancer's groups go with it; so does a member that registered itself on it.
    pub fn closed(&mut self, peer: Peer, changes: &mut Vec<Change>) {
        let Some(speaker) = self.speakers.remove(&peer) else { return };
        if let Some(uid) = speaker.uid {
            if self.owner(&uid).is_none() {
                let gone: Vec<Group> =
                    self.groups.keys().filter(|group| group.balancer == uid).cloned().collect();
                gone.into_iter().for_each(|group| self.drop_group(&group, changes));
                changes.push(Change::Left { peer });
            }
        }
        for (group, members) in &mut self.groups {
            members.retain(|member, registered| {
                let leaves = registered.itself == Some(peer);
                if leaves {
                    let (group, member) = (group.clone(), member.clone());
                    changes.push(Change::Member { group, member, there: false, quiesce: false });
                }
                !leaves
            });
        }
    }

    fn owner(&self, uid: &[u8]) -> Option<Peer> {
        let owns = |(_, speaker): &(&Peer, &Speaker)| speaker.uid.as_deref() == Some(uid);
        self.speakers.iter().find(owns).map(|(&peer, _)| peer)
    }

    fn drop_group(&mut self, group: &Group, changes: &mut Vec<Change>) {
        for member in self.groups.remove(group).into_iter().flatten().map(|(member, _)| member) {
            changes.push(Change::Member { group: group.clone(), member, there: false, quiesce: false });
        }
    }

    /// Once a tick: requests count anew.
    pub fn tick(&mut self) {
        self.speakers.values_mut().for_each(|speaker| speaker.asks = 0);
    }

    /// Takes one message. A reply where only requests are due ends the connection: who sends it is no balancer.
    pub fn hear(
        &mut self,
        peer: Peer,
        message: Message,
        lookup: Lookup<'_>,
        changes: &mut Vec<Change>,
    ) -> Vec<Answer> {
        let id = message.id;
        let body = match message.body {
            Body::Register { from_balancer, groups } => {
                Body::Registered(self.register(peer, from_balancer, groups, changes))
            }
            Body::Deregister { from_balancer, groups, .. } => {
                Body::Deregistered(self.deregister(peer, from_balancer, groups, changes))
            }
            Body::GetWeights { groups } => self.weights(peer, &groups, lookup),
            Body::SetLbState { balancer, flags, .. } => {
                Body::LbStateSet(self.set_balancer(peer, balancer, flags, changes))
            }
            Body::SetMemberState { from_balancer, groups } => {
                Body::MemberStateSet(self.set_members(peer, from_balancer, groups, changes))
            }
            Body::Registered(_)
            | Body::Deregistered(_)
            | Body::Weights { .. }
            | Body::SendWeights { .. }
            | Body::LbStateSet(_)
            | Body::MemberStateSet(_) => return vec![Answer::End(peer, "a reply where a request was due")],
        };
        vec![Answer::Say(peer, Message { id, body })]
    }

    /// Is this peer the balancer with this id, or may it become it?
    fn claim(&mut self, peer: Peer, uid: &[u8], changes: &mut Vec<Change>) -> ReturnCode {
        if uid.is_empty() {
            return ReturnCode::InvalidUidSize;
        }
        let owner = self.owner(uid);
        let Some(speaker) = self.speakers.get_mut(&peer) else { return ReturnCode::WillNotAccept };
        match &speaker.uid {
            Some(own) if own == uid => ReturnCode::Successful,
            // One connection, one balancer; one balancer, one connection.
            Some(_) => ReturnCode::WillNotAccept,
            None if owner.is_some() => ReturnCode::WillNotAccept,
            None => {
                speaker.uid = Some(uid.to_owned());
                changes.push(Change::Joined { peer, balancer: uid.to_owned() });
                ReturnCode::Successful
            }
        }
    }

    /// May this peer speak for a group? A member may only where the group's balancer trusts members.
    fn may(
        &mut self,
        peer: Peer,
        from_balancer: bool,
        group: &Group,
        changes: &mut Vec<Change>,
    ) -> ReturnCode {
        if group.name.is_empty() {
            return ReturnCode::InvalidGroupNameSize;
        }
        if from_balancer {
            return self.claim(peer, &group.balancer, changes);
        }
        match self.owner(&group.balancer).and_then(|owner| self.speakers.get(&owner)) {
            None => ReturnCode::NoGroupYet,
            Some(speaker) if !speaker.flags.trust => ReturnCode::WillNotAccept,
            Some(_) if !self.groups.contains_key(group) => ReturnCode::InvalidGroup,
            Some(_) => ReturnCode::Successful,
        }
    }

    /// May it speak for each of these? A member speaks for itself and for nobody else.
    fn may_each<'a>(
        &mut self,
        peer: Peer,
        from_balancer: bool,
        group: &Group,
        mut members: impl Iterator<Item = &'a Member>,
        changes: &mut Vec<Change>,
    ) -> ReturnCode {
        let may = self.may(peer, from_balancer, group, changes);
        if may != ReturnCode::Successful {
            return may;
        }
        let Some(known) = self.groups.get(group) else { return ReturnCode::InvalidGroup };
        let refused = members.find_map(|member| match known.get(member) {
            None => Some(ReturnCode::NotRegistered),
            Some(known) if !from_balancer && known.itself != Some(peer) => Some(ReturnCode::WillNotAccept),
            Some(_) => None,
        });
        refused.unwrap_or(ReturnCode::Successful)
    }

    /// All of a request or nothing of it.
    fn register(
        &mut self,
        peer: Peer,
        from_balancer: bool,
        groups: Vec<(Group, Vec<Member>)>,
        changes: &mut Vec<Change>,
    ) -> ReturnCode {
        let mut fresh: BTreeSet<(&Group, &Member)> = BTreeSet::new();
        for (group, members) in &groups {
            let may = self.may(peer, from_balancer, group, changes);
            if may != ReturnCode::Successful {
                return may;
            }
            for member in members {
                if !fresh.insert((group, member)) {
                    return ReturnCode::DuplicateMember;
                }
                let known = self.groups.get(group).and_then(|members| members.get(member));
                if let Some(known) = known {
                    let itself = known.itself.is_some() && from_balancer;
                    return if itself {
                        ReturnCode::MemberRegistersItself
                    } else {
                        ReturnCode::AlreadyRegistered
                    };
                }
            }
        }
        let uids: BTreeSet<&Vec<u8>> = groups.iter().map(|(group, _)| &group.balancer).collect();
        let ours = self.groups.iter().filter(|(group, _)| uids.contains(&group.balancer));
        let (held_groups, held) =
            ours.fold((0, 0), |(groups, members), (_, known)| (groups + 1, members + known.len()));
        let more = groups.iter().filter(|(group, _)| !self.groups.contains_key(group)).count();
        if held + fresh.len() > self.bounds.members || held_groups + more > self.bounds.groups {
            return ReturnCode::TryLater;
        }
        for (group, members) in groups {
            let known = self.groups.entry(group.clone()).or_default();
            for member in members {
                let itself = (!from_balancer).then_some(peer);
                known.insert(member.clone(), Registered { itself, ..Registered::default() });
                changes.push(Change::Member { group: group.clone(), member, there: true, quiesce: false });
            }
        }
        ReturnCode::Successful
    }

    fn deregister(
        &mut self,
        peer: Peer,
        from_balancer: bool,
        groups: Vec<(Group, Vec<Member>)>,
        changes: &mut Vec<Change>,
    ) -> ReturnCode {
        for (group, members) in &groups {
            let may = self.may_each(peer, from_balancer, group, members.iter(), changes);
            if may != ReturnCode::Successful {
                return may;
            }
            if members.is_empty() && !from_balancer {
                return ReturnCode::WillNotAccept;
            }
        }
        for (group, members) in groups {
            if members.is_empty() {
                self.drop_group(&group, changes);
            }
            for member in members {
                if let Some(known) = self.groups.get_mut(&group) {
                    known.remove(&member);
                }
                changes.push(Change::Member { group: group.clone(), member, there: false, quiesce: false });
            }
        }
        ReturnCode::Successful
    }

    fn set_balancer(
        &mut self,
        peer: Peer,
        uid: Vec<u8>,
        flags: LbFlags,
        changes: &mut Vec<Change>,
    ) -> ReturnCode {
        let code = self.claim(peer, &uid, changes);
        if let (ReturnCode::Successful, Some(speaker)) = (code, self.speakers.get_mut(&peer)) {
            speaker.flags = flags;
        }
        code
    }

    fn set_members(
        &mut self,
        peer: Peer,
        from_balancer: bool,
        groups: Vec<(Group, Vec<MemberState>)>,
        changes: &mut Vec<Change>,
    ) -> ReturnCode {
        for (group, states) in &groups {
            let members = states.iter().map(|state| &state.member);
            let may = self.may_each(peer, from_balancer, group, members, changes);
            if may != ReturnCode::Successful {
                return may;
            }
        }
        for (group, states) in groups {
            for MemberState { state, contact, quiesce, member } in states {
                let Some(known) = self.groups.get_mut(&group).and_then(|known| known.get_mut(&member)) else {
                    continue;
                };
                let changed = known.quiesce != quiesce;
                known.state = state;
                known.quiesce = quiesce;
                // Only a balancer can say whether it reaches a member.
                known.contact = if from_balancer { contact } else { known.contact };
                if changed {
                    changes.push(Change::Member { group: group.clone(), member, there: true, quiesce });
                }
            }
        }
        ReturnCode::Successful
    }

    fn entries(&self, group: &Group, lookup: Lookup<'_>) -> Vec<WeightEntry> {
        let Some(members) = self.groups.get(group) else { return Vec::new() };
        let told: Vec<Option<Figure>> = members.keys().map(|member| lookup(group, member)).collect();
        let nothing = Figure { weight: 0.0, cold: false };
        let figures: Vec<Figure> = members
            .values()
            .zip(&told)
            .map(|(known, told)| if known.quiesce { nothing } else { told.unwrap_or(nothing) })
            .collect();
        let weights = whole(&figures);
        members
            .iter()
            .zip(told.iter().zip(weights))
            .map(|((member, known), (told, weight))| WeightEntry {
                state: known.state,
                contact: known.contact,
                // Nothing new may go to what has weight 0, and a balancer knows it by this flag.
                quiesce: known.quiesce || weight == 0,
                registered_by_balancer: known.itself.is_none(),
                confident: told.is_some(),
                weight,
                member: member.clone(),
            })
            .collect()
    }

    fn weights(&mut self, peer: Peer, groups: &[Group], lookup: Lookup<'_>) -> Body {
        let interval = self.bounds.interval;
        let refused = |code| Body::Weights { code, interval, groups: Vec::new() };
        let Some(speaker) = self.speakers.get_mut(&peer) else { return refused(ReturnCode::WillNotAccept) };
        speaker.asks += 1;
        if speaker.asks > self.bounds.asks {
            return refused(ReturnCode::TryLater);
        }
        let Some(uid) = speaker.uid.clone() else { return refused(ReturnCode::NoGroupYet) };
        if groups.iter().any(|group| group.balancer != uid) {
            return refused(ReturnCode::WillNotAccept);
        }
        if groups.iter().any(|group| !self.groups.contains_key(group)) {
            return refused(ReturnCode::InvalidGroup);
        }
        let groups = groups.iter().map(|group| (group.clone(), self.entries(group, lookup))).collect();
        Body::Weights { code: ReturnCode::Successful, interval, groups }
    }

    /// What is to be pushed to a balancer by now; nothing where it does not want pushes or nothing changed. With
    /// the no-change flag only entries that changed are in it.
    pub fn push(&mut self, peer: Peer, lookup: Lookup<'_>) -> Option<Message> {
        let speaker = self.speakers.get(&peer).filter(|speaker| speaker.flags.push)?;
        let (uid, flags) = (speaker.uid.clone()?, speaker.flags);
        let ours: Vec<Group> = self.groups.keys().filter(|group| group.balancer == uid).cloned().collect();
        let mut groups = Vec::new();
        for group in ours {
            let entries = self.entries(&group, lookup);
            let Some(known) = self.groups.get_mut(&group) else { continue };
            let mut changed = Vec::new();
            for entry in &entries {
                let figures = Some((entry.weight, entry.quiesce, entry.confident));
                if let Some(known) = known.get_mut(&entry.member).filter(|known| known.pushed != figures) {
                    known.pushed = figures;
                    changed.push(entry.clone());
                }
            }
            if !changed.is_empty() {
                groups.push((group, if flags.no_change { changed } else { entries }));
            }
        }
        if groups.is_empty() {
            return None;
        }
        self.last_id = self.last_id.wrapping_add(1);
        Some(Message { id: self.last_id, body: Body::SendWeights { groups } })
    }

    pub fn pushes(&self, peer: Peer) -> bool {
        self.speakers.get(&peer).is_some_and(|speaker| speaker.flags.push)
    }

    /// Has this peer said that it is a balancer?
    pub fn speaks_for_balancer(&self, peer: Peer) -> bool {
        self.speakers.get(&peer).is_some_and(|speaker| speaker.uid.is_some())
    }

    /// Members known, all groups together.
    pub fn members(&self) -> usize {
        self.groups.values().map(BTreeMap::len).sum()
    }
}
