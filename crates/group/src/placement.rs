//! Placement: which member holds a duty, which server owns a key range, and which drains may start. These are pure
//! functions of the replicated state machine and of the members and servers that this member observes.

use std::collections::{BTreeMap, BTreeSet};

use hrw_hash::HrwNodes;

use crate::state_machine::{RangeOwnership, StateMachine};
use crate::wire::{Duty, LogIndex, MemberId};

#[cfg(test)]
mod tests;

/// At most one in this many of a locality's ready servers is drained by operators' orders at once; one server may
/// always be drained.
const DRAINED_AT_ONCE_DIVISOR: usize = 3;

/// Availability of a server for key ranges, as one member observes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerAvailability {
    /// Server number.
    pub server: u32,
    /// Position of its locality.
    pub locality: u32,
    /// Past its slow start, and neither draining nor ejected: a range may be assigned to it.
    pub accepts_ranges: bool,
    /// Listed as ready, and neither draining nor ejected: it may keep ranges that it owns.
    pub ready: bool,
}

/// The member that should hold a duty, by rendezvous hashing: when a member leaves, only its duties are reassigned.
fn preferred_holder(duty: Duty, members: &[MemberId]) -> Option<MemberId> {
    HrwNodes::new(members.iter().copied()).sorted(&duty).next().copied()
}

/// Duties to be assigned or reassigned, each with its new holder. `present` contains the voters that are not known to
/// be dead or to have left; `stable` contains those that have been alive for long enough to be assigned duties.
pub fn duty_assignments(
    state_machine: &StateMachine,
    duties: &[Duty],
    present: &BTreeSet<MemberId>,
    stable: &BTreeSet<MemberId>,
) -> Vec<(Duty, MemberId)> {
    let candidates = if stable.is_empty() { present } else { stable };
    let candidates: Vec<MemberId> = candidates.iter().copied().collect();
    let next = duties.iter().filter_map(|&duty| {
        let holder = state_machine.assignment(duty).map(|assignment| assignment.holder);
        let holder = holder.filter(|holder| present.contains(holder));
        let preferred = preferred_holder(duty, &candidates)?;
        (holder != Some(preferred)).then_some((duty, preferred))
    });
    next.collect()
}

/// Order indexes of the locality's queued drains that may start now, the oldest first. `ready` is the number of the
/// locality's ready servers.
pub fn drains_to_begin(state_machine: &StateMachine, locality: u32, ready: usize) -> Vec<LogIndex> {
    let drains = state_machine.orders().iter().filter(|(_, standing_order)| {
        standing_order.order.weight_cap_millionths.is_none() && standing_order.order.locality == locality
    });
    let (active, queued): (Vec<_>, Vec<_>) = drains.partition(|(_, standing_order)| standing_order.active);
    let limit = (ready / DRAINED_AT_ONCE_DIVISOR).max(1);
    let capacity = limit.saturating_sub(active.len());
    queued.into_iter().take(capacity).map(|(&order_index, _)| order_index).collect()
}

/// The server that a range should move to; `None` if the range may stay or no server accepts ranges.
pub fn next_owner(
    state_machine: &StateMachine,
    range: u32,
    servers: &BTreeMap<u32, ServerAvailability>,
) -> Option<u32> {
    if state_machine.ranges().get(&range).is_some_and(|ownership| is_placed(ownership, servers)) {
        return None;
    }
    let accepting = servers.values().filter(|server| server.accepts_ranges);
    let candidates: Vec<u32> = accepting.map(|server| server.server).collect();
    HrwNodes::new(candidates).sorted(&range).next().copied()
}

/// Whether the range's owner is ready, or the server that it is moving to still accepts ranges.
fn is_placed(ownership: &RangeOwnership, servers: &BTreeMap<u32, ServerAvailability>) -> bool {
    match (ownership.owner, &ownership.pending_move) {
        (Some(owner), _) => servers.get(&owner).is_some_and(|server| server.ready),
        (None, Some(pending)) => servers.get(&pending.to_server).is_some_and(|server| server.accepts_ranges),
        (None, None) => false,
    }
}
