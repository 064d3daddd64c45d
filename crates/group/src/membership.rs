//! Membership after SWIM (Das, Gupta, Motivala 2002): direct and indirect probes, suspicion that its subject refutes
//! by a higher incarnation, and gossip that travels on probes. Free of I/O and clocks; called by
//! [`Group`](crate::Group).

mod gossip;
mod member;
mod probing;

use std::collections::BTreeMap;

use oorandom::Rand64;
use shalereel::interface::Nanos;

use crate::timing::Timing;
use crate::wire::{Gossip, MemberId, MemberStatus};

use member::{OutstandingProbe, RelayedProbe};

pub use member::{Member, StatusChange};

/// Sequence numbers of a start are above those of all earlier starts.
const SEQUENCE_BITS_PER_START: u32 = 32;
/// Room for the refutations of one start below the first incarnation of the next.
const INCARNATION_BITS_PER_START: u32 = 16;

/// One member's view of all members.
#[derive(Debug)]
pub struct Membership {
    id: MemberId,
    timing: Timing,
    rng: Rand64,
    members: BTreeMap<MemberId, Member>,
    /// Members still to be probed in this round, the next one last.
    probe_order: Vec<MemberId>,
    outstanding_probe: Option<OutstandingProbe>,
    period_ends_at: Nanos,
    periods: u64,
    last_sequence: u64,
    /// By the sequence number of one's own ping.
    relayed_probes: BTreeMap<u64, RelayedProbe>,
    changes: Vec<StatusChange>,
    outbox: Vec<(MemberId, Gossip)>,
}

impl Membership {
    /// A view that knows the `seeds`, all alive. `start_count`: number of this start, from the log file; a later
    /// start has a higher incarnation. `seed`: of the random numbers.
    pub fn new(
        id: MemberId,
        address: &str,
        start_count: u64,
        seeds: &[(MemberId, String)],
        timing: Timing,
        seed: u64,
    ) -> Self {
        let alive = |address: &str, incarnation: u64| Member {
            address: address.to_owned(),
            incarnation,
            status: MemberStatus::Alive,
            since: 0,
            transmissions_left: 0,
        };
        let mut members: BTreeMap<MemberId, Member> =
            seeds.iter().map(|(seed, address)| (*seed, alive(address, 0))).collect();
        let mut own = alive(address, start_count << INCARNATION_BITS_PER_START);
        members.remove(&id);
        own.transmissions_left = timing.gossip_transmissions(members.len() + 1);
        members.insert(id, own);
        Membership {
            id,
            timing,
            rng: Rand64::new(u128::from(seed) << 32 | u128::from(id)),
            members,
            probe_order: Vec::new(),
            outstanding_probe: None,
            period_ends_at: 0,
            periods: 0,
            last_sequence: start_count << SEQUENCE_BITS_PER_START,
            relayed_probes: BTreeMap::new(),
            changes: Vec::new(),
            outbox: Vec::new(),
        }
    }

    /// All members ever heard of, with oneself.
    pub fn members(&self) -> &BTreeMap<MemberId, Member> {
        &self.members
    }

    /// Where a member is reached.
    pub fn address(&self, member: MemberId) -> Option<&str> {
        self.members.get(&member).map(|member| member.address.as_str())
    }

    /// Has the member been alive without a break for `span`?
    pub fn is_alive_for(&self, now: Nanos, member: MemberId, span: Nanos) -> bool {
        let alive = |member: &Member| member.status == MemberStatus::Alive && now >= member.since + span;
        member == self.id || self.members.get(&member).is_some_and(alive)
    }

    /// Is the member neither dead nor gone? A suspect is present.
    pub fn is_present(&self, member: MemberId) -> bool {
        member == self.id || self.members.get(&member).is_some_and(Member::is_present)
    }

    /// When [`Membership::tick`] is due.
    pub fn next_deadline(&self) -> Nanos {
        let direct = self.outstanding_probe.as_ref().filter(|probe| !probe.indirect_requested);
        let ack_due = direct.map_or(Nanos::MAX, |probe| probe.sent_at + self.timing.direct_ack_timeout());
        ack_due.min(self.period_ends_at)
    }

    /// Changes since this was last called.
    pub fn take_changes(&mut self) -> Vec<StatusChange> {
        std::mem::take(&mut self.changes)
    }

    /// Messages to be sent, with their receivers.
    pub fn take_messages(&mut self) -> Vec<(MemberId, Gossip)> {
        std::mem::take(&mut self.outbox)
    }

    fn other_members(&self, which: impl Fn(&Member) -> bool) -> Vec<MemberId> {
        let others = self.members.iter().filter(|(&id, member)| id != self.id && which(member));
        others.map(|(&id, _)| id).collect()
    }

    fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }
}
