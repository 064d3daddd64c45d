//! The leader's table of granted leases, which determines when a withdrawn range may be assigned again.

use std::collections::{BTreeMap, BTreeSet};

use shalereel::interface::Nanos;

use crate::state_machine::{PendingMove, StateMachine};
use crate::timing::Timing;
use crate::wire::{LogIndex, MemberId};

/// Until when forwarders may still use routes to a moving range's former owner.
#[derive(Clone, Debug)]
struct MoveWait {
    /// Limit for forwarders of members that this leader does not know, which may hold leases from earlier leaders.
    unknown_members: Nanos,
    /// Limit for forwarders of each known member.
    members: BTreeMap<MemberId, Nanos>,
}

impl MoveWait {
    /// When the wait for the move ends. It skips the limits of members that have cleared the move, and always includes
    /// the limit of unknown members, which is set once for each leader, by the time of its election.
    fn ends_at(&self, pending_move: &PendingMove) -> Nanos {
        let uncleared = self.members.iter().filter(|(member, _)| !pending_move.cleared_by.contains(member));
        uncleared.map(|(_, &until)| until).fold(self.unknown_members, Nanos::max)
    }
}

/// The leases that a leader has granted, and the waits before it assigns moving ranges.
#[derive(Clone, Debug)]
pub struct LeaseTable {
    /// When all leases that earlier leaders may have granted have expired.
    earlier_leases_expire_at: Nanos,
    /// By member, when its latest lease from this leader expires.
    expires_at: BTreeMap<MemberId, Nanos>,
    /// By range and index of the move.
    move_waits: BTreeMap<(u32, LogIndex), MoveWait>,
}

impl LeaseTable {
    /// The table of a leader that was elected at `elected_at`; earlier leaders may have granted leases until then.
    pub fn new(timing: &Timing, elected_at: Nanos) -> Self {
        LeaseTable {
            earlier_leases_expire_at: elected_at + timing.upper_bound(timing.member_lease_duration()),
            expires_at: BTreeMap::new(),
            move_waits: BTreeMap::new(),
        }
    }

    /// Records a lease that is granted now. The member counts it from its earlier request, so it expires there no
    /// later.
    pub fn grant(&mut self, now: Nanos, timing: &Timing, member: MemberId) {
        self.expires_at.insert(member, now + timing.upper_bound(timing.member_lease_duration()));
    }

    /// Pending moves, as range and move index, whose range may now be assigned to its next owner. `members` contains
    /// the voters and learners.
    pub fn assignable_ranges(
        &mut self,
        now: Nanos,
        timing: &Timing,
        state_machine: &StateMachine,
        members: &[MemberId],
    ) -> Vec<(u32, LogIndex)> {
        let mut assignable = Vec::new();
        let mut open = BTreeSet::new();
        for (&range, ownership) in state_machine.ranges() {
            let Some(pending_move) = &ownership.pending_move else { continue };
            let key = (range, pending_move.move_index);
            open.insert(key);
            let never_owned = ownership.epoch == 0;
            if never_owned || now >= self.wait(key, timing, members).ends_at(pending_move) {
                assignable.push(key);
            }
        }
        self.move_waits.retain(|key, _| open.contains(key));
        assignable
    }

    /// The wait for a move. It is fixed when the move is first seen: leases granted later require the member to have
    /// applied the move.
    fn wait(&mut self, key: (u32, LogIndex), timing: &Timing, members: &[MemberId]) -> &MoveWait {
        let route_expiry_span = timing.route_expiry_span();
        let (earlier, expires_at) = (self.earlier_leases_expire_at, &self.expires_at);
        self.move_waits.entry(key).or_insert_with(|| {
            let known: BTreeSet<MemberId> = members.iter().chain(expires_at.keys()).copied().collect();
            let until = |member: MemberId| {
                expires_at.get(&member).copied().unwrap_or(0).max(earlier) + route_expiry_span
            };
            MoveWait {
                unknown_members: earlier + route_expiry_span,
                members: known.into_iter().map(|member| (member, until(member))).collect(),
            }
        })
    }
}
