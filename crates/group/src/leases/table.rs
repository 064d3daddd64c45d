//! The leader's table of granted leases, and when a withdrawn range may be assigned again.

use std::collections::{BTreeMap, BTreeSet};

use shalereel::interface::Nanos;

use crate::state_machine::{PendingMove, StateMachine};
use crate::timing::Timing;
use crate::wire::{LogIndex, MemberId};

/// Until when routes to a range's former owner may be in use.
#[derive(Clone, Debug)]
struct MoveWait {
    /// By members that this leader does not know: their leases are from earlier leaders.
    unknown_members: Nanos,
    members: BTreeMap<MemberId, Nanos>,
}

impl MoveWait {
    /// Members that have cleared the move need no wait; unknown ones do, once after each change of leaders.
    fn over_at(&self, pending_move: &PendingMove) -> Nanos {
        let uncleared = self.members.iter().filter(|(member, _)| !pending_move.cleared_by.contains(member));
        uncleared.map(|(_, &until)| until).fold(self.unknown_members, Nanos::max)
    }
}

/// The leases that a leader has granted, and what it waits for before it assigns a moving range.
#[derive(Clone, Debug)]
pub struct LeaseTable {
    /// When the last lease that an earlier leader may have granted expires.
    earlier_leases_expire_at: Nanos,
    expires_at: BTreeMap<MemberId, Nanos>,
    /// By range and index of the move.
    move_waits: BTreeMap<(u32, LogIndex), MoveWait>,
}

impl LeaseTable {
    /// The table of a leader that was elected at `elected_at`: earlier leaders may have granted leases until then.
    pub fn new(timing: &Timing, elected_at: Nanos) -> Self {
        LeaseTable {
            earlier_leases_expire_at: elected_at + timing.upper_bound(timing.member_lease_duration()),
            expires_at: BTreeMap::new(),
            move_waits: BTreeMap::new(),
        }
    }

    /// Records a lease that is granted now, for a request of some moment before.
    pub fn grant(&mut self, now: Nanos, timing: &Timing, member: MemberId) {
        self.expires_at.insert(member, now + timing.upper_bound(timing.member_lease_duration()));
    }

    /// Moves, by range and index, whose range may be assigned to its next owner. `members`: voters and learners.
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
            if never_owned || now >= self.wait(key, timing, members).over_at(pending_move) {
                assignable.push(key);
            }
        }
        self.move_waits.retain(|key, _| open.contains(key));
        assignable
    }

    /// Fixed when the move is first seen: leases granted later require the move to be applied.
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
