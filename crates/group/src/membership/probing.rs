//! Probes: one member per period is probed, directly and then through other members, and suspected if it does not
//! answer.

use shalereel::interface::Nanos;

use super::member::{Member, OutstandingProbe, RelayedProbe};
use super::Membership;
use crate::wire::{MemberId, MemberStatus, ProbeKind};

/// How many members are asked for an indirect probe: more than one, so that a lost message does not cause a suspicion.
const INDIRECT_PROBES: usize = 3;
/// Every this many periods, one randomly chosen dead member is probed as well: after a network partition each side
/// considers the other dead.
const DEAD_PROBE_PERIODS: u64 = 2;

impl Membership {
    /// Performs what is due: requests indirect probes, ends the probe period and starts the next one.
    pub fn tick(&mut self, now: Nanos) {
        self.request_indirect_probes(now);
        if now < self.period_ends_at {
            return;
        }
        // A member that was paused could not receive acknowledgements, so it suspects and declares nobody dead.
        let was_paused = now > self.period_ends_at + self.timing.probe_period() && self.period_ends_at > 0;
        self.period_ends_at = now + self.timing.probe_period();
        self.periods += 1;
        let unanswered = self.outstanding_probe.take();
        if !was_paused {
            self.suspect_unanswered(now, unanswered);
        }
        let suspicion_timeout = self.timing.suspicion_timeout(self.members.len());
        self.end_suspicions(now, suspicion_timeout, was_paused);
        self.relayed_probes.retain(|_, relayed| relayed.sent_at + suspicion_timeout > now);
        self.probe_next_member(now);
        if self.periods.is_multiple_of(DEAD_PROBE_PERIODS) {
            self.probe_dead_member();
        }
    }

    fn request_indirect_probes(&mut self, now: Nanos) {
        let direct_ack_timeout = self.timing.direct_ack_timeout();
        let Some(probe) = &mut self.outstanding_probe else { return };
        let late = now >= probe.sent_at + direct_ack_timeout;
        if probe.indirect_requested || !late || now >= self.period_ends_at {
            return;
        }
        probe.indirect_requested = true;
        let (target, sequence) = (probe.target, probe.sequence);
        let mut helpers = self.other_members(|member| member.status == MemberStatus::Alive);
        helpers.retain(|&helper| helper != target);
        self.shuffle(&mut helpers);
        for helper in helpers.into_iter().take(INDIRECT_PROBES) {
            self.send_gossip(helper, ProbeKind::PingRequest, sequence, target);
        }
    }

    fn suspect_unanswered(&mut self, now: Nanos, probe: Option<OutstandingProbe>) {
        let Some(target) = probe.map(|probe| probe.target) else { return };
        if self.members.get(&target).is_some_and(|member| member.status == MemberStatus::Alive) {
            self.set_status(now, target, MemberStatus::Suspect);
        }
    }

    /// Declares suspects dead that have not refuted the suspicion in time. After a pause their timeouts restart.
    fn end_suspicions(&mut self, now: Nanos, suspicion_timeout: Nanos, was_paused: bool) {
        for suspect in self.other_members(|member| member.status == MemberStatus::Suspect) {
            let Some(member) = self.members.get_mut(&suspect) else { continue };
            if was_paused {
                member.since = now;
            } else if now >= member.since + suspicion_timeout {
                self.set_status(now, suspect, MemberStatus::Dead);
            }
        }
    }

    /// Probes the next member. Each round covers every present member once, in random order.
    fn probe_next_member(&mut self, now: Nanos) {
        let present = self.other_members(Member::is_present);
        self.probe_order.retain(|member| present.contains(member));
        if self.probe_order.is_empty() {
            let mut order = present;
            self.shuffle(&mut order);
            self.probe_order = order;
        }
        if let Some(target) = self.probe_order.pop() {
            let sequence = self.send_ping(target);
            let probe = OutstandingProbe { target, sequence, sent_at: now, indirect_requested: false };
            self.outstanding_probe = Some(probe);
        }
    }

    fn probe_dead_member(&mut self) {
        let mut dead = self.other_members(|member| member.status == MemberStatus::Dead);
        self.shuffle(&mut dead);
        if let Some(&target) = dead.first() {
            self.send_ping(target);
        }
    }

    /// Sends a ping and returns its sequence number.
    pub(super) fn send_ping(&mut self, to: MemberId) -> u64 {
        let sequence = self.next_sequence();
        self.send_gossip(to, ProbeKind::Ping, sequence, to);
        sequence
    }

    /// Acknowledges a ping. A ping for another member is ignored: that member's former address now belongs to this one.
    pub(super) fn handle_ping(&mut self, from: MemberId, sequence: u64, target: MemberId) {
        if target == self.id {
            self.send_gossip(from, ProbeKind::Ack, sequence, self.id);
        }
    }

    pub(super) fn handle_ping_request(
        &mut self,
        now: Nanos,
        from: MemberId,
        requester_sequence: u64,
        target: MemberId,
    ) {
        let sequence = self.next_sequence();
        let relayed = RelayedProbe { requester: from, requester_sequence, sent_at: now };
        self.relayed_probes.insert(sequence, relayed);
        self.send_gossip(target, ProbeKind::Ping, sequence, target);
    }

    pub(super) fn handle_ack(&mut self, sequence: u64, target: MemberId) {
        if let Some(relayed) = self.relayed_probes.remove(&sequence) {
            self.send_gossip(relayed.requester, ProbeKind::Ack, relayed.requester_sequence, target);
        }
        if self.outstanding_probe.as_ref().is_some_and(|probe| probe.sequence == sequence) {
            self.outstanding_probe = None;
        }
    }

    fn shuffle(&mut self, members: &mut [MemberId]) {
        for at in (1..members.len()).rev() {
            members.swap(at, self.rng.rand_range(0..at as u64 + 1) as usize);
        }
    }
}
