//! Membership and failure detection with SWIM (Das, Gupta, Motivala 2002): direct and indirect probes, suspicions that
//! the suspect refutes with a higher incarnation, and gossip that is piggybacked on probe messages. Performs no I/O and
//! reads no clock; called by [`Group`](crate::Group).

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

/// Bits for the sequence numbers of one start; those of later starts are higher.
const SEQUENCE_BITS_PER_START: u32 = 32;
/// Bits for the incarnations of one start, one per refutation; those of later starts are higher.
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
    /// By the sequence number of the ping that this member sent to the target.
    relayed_probes: BTreeMap<u64, RelayedProbe>,
    changes: Vec<StatusChange>,
    outbox: Vec<(MemberId, Gossip)>,
}

impl Membership {
    /// A view that contains the `seeds`, all of them alive. `start_count` is the number of this start, from the log
    /// file; a later start has a higher incarnation. `seed` initializes the random numbers.
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

    /// All members ever heard of, including this one.
    pub fn members(&self) -> &BTreeMap<MemberId, Member> {
        &self.members
    }

    /// Host and port of a member; `None` if it is unknown.
    pub fn address(&self, member: MemberId) -> Option<&str> {
        self.members.get(&member).map(|member| member.address.as_str())
    }

    /// Whether the member has been alive without interruption for `span`. True for this member itself.
    pub fn is_alive_for(&self, now: Nanos, member: MemberId, span: Nanos) -> bool {
        let alive = |member: &Member| member.status == MemberStatus::Alive && now >= member.since + span;
        member == self.id || self.members.get(&member).is_some_and(alive)
    }

    /// Whether the member is alive or suspect, and has neither died nor left. True for this member itself.
    pub fn is_present(&self, member: MemberId) -> bool {
        member == self.id || self.members.get(&member).is_some_and(Member::is_present)
    }

    /// When [`Membership::tick`] must be called next.
    pub fn next_deadline(&self) -> Nanos {
        let direct = self.outstanding_probe.as_ref().filter(|probe| !probe.indirect_requested);
        let ack_due = direct.map_or(Nanos::MAX, |probe| probe.sent_at + self.timing.direct_ack_timeout());
        ack_due.min(self.period_ends_at)
    }

    /// Removes and returns the status changes since the last call.
    pub fn take_changes(&mut self) -> Vec<StatusChange> {
        std::mem::take(&mut self.changes)
    }

    /// Removes and returns the messages to be sent, with their receivers.
    pub fn take_messages(&mut self) -> Vec<(MemberId, Gossip)> {
        std::mem::take(&mut self.outbox)
    }

    fn other_members(&self, filter: impl Fn(&Member) -> bool) -> Vec<MemberId> {
        let others = self.members.iter().filter(|(&id, member)| id != self.id && filter(member));
        others.map(|(&id, _)| id).collect()
    }

    fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }
}
