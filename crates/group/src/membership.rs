//! Who is there: failure detection in the manner of SWIM (Das, Gupta, Motivala 2002): direct and indirect probes,
//! suspicion that its subject may refute by a higher incarnation, and rumours that go along with probes.

use std::collections::{BTreeMap, BTreeSet};

use oorandom::Rand64;
use shalereel::interface::Nanos;

use crate::timing::{Timing, INDIRECT_PROBES, MAX_UPDATES_PER_MESSAGE};
use crate::wire::{Gossip, GossipUpdate, MemberId, MemberStatus, ProbeKind};

/// Every so many periods one of the dead is probed too: after a split both sides hold each other for dead.
const DEAD_PROBE_PERIODS: u64 = 2;

/// What is known of one member.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    pub address: String,
    pub incarnation: u64,
    pub status: MemberStatus,
    /// Since when it stands so, by one's own clock.
    pub since: Nanos,
    transmissions_left: u32,
}

impl Member {
    fn precedence(&self) -> (u64, MemberStatus) {
        (self.incarnation, self.status)
    }
}

/// A change of what is known.
#[derive(Clone, Debug, PartialEq)]
pub struct StatusChange {
    pub member: MemberId,
    pub status: MemberStatus,
    pub incarnation: u64,
}

#[derive(Debug)]
struct OutstandingProbe {
    target: MemberId,
    sequence: u64,
    sent_at: Nanos,
    indirect_requested: bool,
}

/// One member's view of all.
#[derive(Debug)]
pub struct Membership {
    id: MemberId,
    timing: Timing,
    rng: Rand64,
    members: BTreeMap<MemberId, Member>,
    /// Those still to be probed in this round, the next one last.
    probe_order: Vec<MemberId>,
    probing: Option<OutstandingProbe>,
    period_ends_at: Nanos,
    periods: u64,
    sequence: u64,
    /// Probes on behalf of others: who asked, with which number.
    relayed_probes: BTreeMap<u64, (MemberId, u64, Nanos)>,
    changes: Vec<StatusChange>,
    outbox: Vec<(MemberId, Gossip)>,
}

fn standing(update: &GossipUpdate) -> MemberStatus {
    MemberStatus::try_from(update.status).unwrap_or(MemberStatus::Alive)
}

impl Membership {
    /// `boot`: how many starts there were before; a later start has a higher incarnation than all earlier ones.
    pub fn new(
        me: MemberId,
        address: &str,
        boot: u64,
        seeds: &[(MemberId, String)],
        timing: Timing,
        seed: u64,
    ) -> Self {
        let mut members = Membership {
            id: me,
            timing,
            rng: Rand64::new(u128::from(seed) << 32 | u128::from(me)),
            members: BTreeMap::new(),
            probe_order: Vec::new(),
            probing: None,
            period_ends_at: 0,
            periods: 0,
            sequence: boot << 32,
            relayed_probes: BTreeMap::new(),
            changes: Vec::new(),
            outbox: Vec::new(),
        };
        let mut learn = |number: MemberId, address: &str, incarnation: u64| {
            let member = Member {
                address: address.to_owned(),
                incarnation,
                status: MemberStatus::Alive,
                since: 0,
                transmissions_left: 0,
            };
            members.members.insert(number, member);
        };
        for (number, address) in seeds.iter().filter(|seed| seed.0 != me) {
            learn(*number, address, 0);
        }
        learn(me, address, boot << 16);
        let gossip_transmissions = members.timing.gossip_transmissions(members.members.len());
        if let Some(own) = members.members.get_mut(&me) {
            own.transmissions_left = gossip_transmissions;
        }
        members
    }

    pub fn members(&self) -> &BTreeMap<MemberId, Member> {
        &self.members
    }

    pub fn address(&self, number: MemberId) -> Option<&str> {
        self.members.get(&number).map(|member| member.address.as_str())
    }

    /// Is it held for alive, without a break for `span`?
    pub fn is_alive_for(&self, now: Nanos, number: MemberId, span: Nanos) -> bool {
        number == self.id
            || self
                .members
                .get(&number)
                .is_some_and(|member| member.status == MemberStatus::Alive && now >= member.since + span)
    }

    /// Not held for dead or gone: a suspect is still there.
    pub fn is_present(&self, number: MemberId) -> bool {
        let here = |member: &Member| matches!(member.status, MemberStatus::Alive | MemberStatus::Suspect);
        number == self.id || self.members.get(&number).is_some_and(here)
    }

    /// When [`Membership::tick`] is due.
    pub fn next_deadline(&self) -> Nanos {
        let direct = self.probing.as_ref().filter(|probing| !probing.indirect_requested);
        let direct = direct.map_or(Nanos::MAX, |probing| probing.sent_at + self.timing.direct_ack_timeout());
        direct.min(self.period_ends_at)
    }

    pub fn take_changes(&mut self) -> Vec<StatusChange> {
        std::mem::take(&mut self.changes)
    }

    pub fn take_messages(&mut self) -> Vec<(MemberId, Gossip)> {
        std::mem::take(&mut self.outbox)
    }

    /// Says to all that this one leaves for good.
    pub fn leave(&mut self, now: Nanos) {
        let Some(own) = self.members.get(&self.id).cloned() else { return };
        self.apply_update(
            now,
            GossipUpdate { status: MemberStatus::Left as i32, ..self.update(self.id, &own) },
            true,
        );
        let others: Vec<MemberId> = self.other_members(|_| true);
        for to in others {
            self.sequence += 1;
            self.send_gossip(to, ProbeKind::Ping, self.sequence, to);
        }
    }

    fn other_members(&self, which: impl Fn(&Member) -> bool) -> Vec<MemberId> {
        self.members.iter().filter(|(&n, member)| n != self.id && which(member)).map(|(&n, _)| n).collect()
    }

    fn shuffled(&mut self, mut nodes: Vec<MemberId>) -> Vec<MemberId> {
        for at in (1..nodes.len()).rev() {
            nodes.swap(at, self.rng.rand_range(0..at as u64 + 1) as usize);
        }
        nodes
    }

    fn update(&self, number: MemberId, member: &Member) -> GossipUpdate {
        GossipUpdate {
            member: number,
            address: member.address.clone(),
            incarnation: member.incarnation,
            status: member.status as i32,
        }
    }

    fn send_gossip(&mut self, to: MemberId, probe: ProbeKind, sequence: u64, about: MemberId) {
        // What is told least often goes first; the one spoken to always hears what is held of it.
        let mut fresh: Vec<(u32, MemberId)> = self
            .members
            .iter()
            .filter(|(&number, member)| member.transmissions_left > 0 && number != to)
            .map(|(&number, member)| (u32::MAX - member.transmissions_left, number))
            .collect();
        fresh.sort_unstable();
        let of_it = self.members.get(&to).filter(|member| member.status != MemberStatus::Alive).map(|_| to);
        let chosen: Vec<MemberId> = of_it
            .into_iter()
            .chain(fresh.into_iter().map(|(_, number)| number))
            .take(MAX_UPDATES_PER_MESSAGE)
            .collect();
        let mut updates = Vec::new();
        for number in chosen {
            if let Some(member) = self.members.get_mut(&number) {
                member.transmissions_left = member.transmissions_left.saturating_sub(1);
                let member = member.clone();
                updates.push(self.update(number, &member));
            }
        }
        let address = self.address(self.id).unwrap_or_default().to_owned();
        self.outbox.push((
            to,
            Gossip { kind: probe as i32, sequence, target: about, updates, sender_address: address },
        ));
    }

    /// Takes a rumour if it is newer than what is held. `own`: it is one's own finding.
    fn apply_update(&mut self, now: Nanos, update: GossipUpdate, own: bool) {
        let (number, stands) = (update.member, standing(&update));
        let gossip_transmissions = self.timing.gossip_transmissions(self.members.len());
        if number == self.id && !own {
            if let Some(me) = self.members.get_mut(&number) {
                let gone = me.status == MemberStatus::Left;
                if stands != MemberStatus::Alive && update.incarnation >= me.incarnation && !gone {
                    me.incarnation = update.incarnation + 1;
                    me.transmissions_left = gossip_transmissions;
                }
            }
            return;
        }
        let old = self.members.get(&number);
        if old.is_some_and(|old| (update.incarnation, stands) <= old.precedence()) {
            return;
        }
        let unbroken = old.filter(|old| old.status == MemberStatus::Alive && stands == MemberStatus::Alive);
        let since = unbroken.map_or(now, |old| old.since);
        if old.is_none_or(|old| old.status != stands) {
            self.changes.push(StatusChange {
                member: number,
                status: stands,
                incarnation: update.incarnation,
            });
        }
        let member = Member {
            address: update.address,
            incarnation: update.incarnation,
            status: stands,
            since,
            transmissions_left: gossip_transmissions,
        };
        self.members.insert(number, member);
    }

    /// A message of another member.
    pub fn handle_gossip(&mut self, now: Nanos, from: MemberId, gossip: Gossip) {
        if !self.members.contains_key(&from) {
            let standing = MemberStatus::Alive as i32;
            let address = gossip.sender_address.clone();
            self.apply_update(
                now,
                GossipUpdate { member: from, address, incarnation: 0, status: standing },
                false,
            );
        }
        for update in gossip.updates {
            self.apply_update(now, update, false);
        }
        match ProbeKind::try_from(gossip.kind) {
            Ok(ProbeKind::Ping) if gossip.target == self.id => {
                self.send_gossip(from, ProbeKind::Ack, gossip.sequence, self.id)
            }
            Ok(ProbeKind::PingRequest) => {
                self.sequence += 1;
                self.relayed_probes.insert(self.sequence, (from, gossip.sequence, now));
                self.send_gossip(gossip.target, ProbeKind::Ping, self.sequence, gossip.target);
            }
            Ok(ProbeKind::Ack) => {
                if let Some((asker, sequence, _)) = self.relayed_probes.remove(&gossip.sequence) {
                    self.send_gossip(asker, ProbeKind::Ack, sequence, gossip.target);
                }
                if self.probing.as_ref().is_some_and(|probing| probing.sequence == gossip.sequence) {
                    self.probing = None;
                }
            }
            // A ping for another: its address is this one's by now.
            _ => {}
        }
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Nanos) {
        let late = self.probing.as_mut().filter(|probing| {
            !probing.indirect_requested
                && now >= probing.sent_at + self.timing.direct_ack_timeout()
                && now < self.period_ends_at
        });
        if let Some(probing) = late {
            probing.indirect_requested = true;
            let (target, sequence) = (probing.target, probing.sequence);
            let helpers = self.other_members(|member| member.status == MemberStatus::Alive);
            let helpers = self.shuffled(helpers.into_iter().filter(|&helper| helper != target).collect());
            for helper in helpers.into_iter().take(INDIRECT_PROBES) {
                self.send_gossip(helper, ProbeKind::PingRequest, sequence, target);
            }
        }
        if now < self.period_ends_at {
            return;
        }
        // One that stood still judges nobody by what it did not hear meanwhile.
        let stood_still = now > self.period_ends_at + self.timing.probe_period() && self.period_ends_at > 0;
        self.period_ends_at = now + self.timing.probe_period();
        self.periods += 1;
        if let Some(probing) = self.probing.take().filter(|_| !stood_still) {
            if let Some(member) = self.members.get(&probing.target).cloned() {
                if member.status == MemberStatus::Alive {
                    let standing = MemberStatus::Suspect as i32;
                    self.apply_update(
                        now,
                        GossipUpdate { status: standing, ..self.update(probing.target, &member) },
                        true,
                    );
                }
            }
        }
        let patience = self.timing.suspicion_timeout(self.members.len());
        let suspects = self.other_members(|member| member.status == MemberStatus::Suspect);
        for number in suspects {
            let Some(member) = self.members.get_mut(&number) else { continue };
            if stood_still {
                member.since = now;
            } else if now >= member.since + patience {
                let member = member.clone();
                self.apply_update(
                    now,
                    GossipUpdate { status: MemberStatus::Dead as i32, ..self.update(number, &member) },
                    true,
                );
            }
        }
        self.relayed_probes.retain(|_, (_, _, begun)| *begun + patience > now);
        self.probe_next_members(now);
    }

    fn probe_next_members(&mut self, now: Nanos) {
        let here: BTreeSet<MemberId> = self
            .other_members(|member| matches!(member.status, MemberStatus::Alive | MemberStatus::Suspect))
            .into_iter()
            .collect();
        self.probe_order.retain(|node| here.contains(node));
        if self.probe_order.is_empty() {
            let nodes = here.into_iter().collect();
            self.probe_order = self.shuffled(nodes);
        }
        if let Some(target) = self.probe_order.pop() {
            self.sequence += 1;
            self.probing = Some(OutstandingProbe {
                target,
                sequence: self.sequence,
                sent_at: now,
                indirect_requested: false,
            });
            self.send_gossip(target, ProbeKind::Ping, self.sequence, target);
        }
        if self.periods.is_multiple_of(DEAD_PROBE_PERIODS) {
            let dead = self.other_members(|member| member.status == MemberStatus::Dead);
            let dead = self.shuffled(dead);
            if let Some(&target) = dead.first() {
                self.sequence += 1;
                self.send_gossip(target, ProbeKind::Ping, self.sequence, target);
            }
        }
    }
}
