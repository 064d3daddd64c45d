//! Who does what: holders of duties, owners of key ranges, the pace of operators' drains. Decisions, free of I/O
//! and clock, from what is agreed and what is seen.

use std::collections::{BTreeMap, BTreeSet};

use hrw_hash::HrwNodes;

use crate::state_machine::StateMachine;
use crate::wire::{Duty, LogIndex, MemberId};

/// Of the listed servers of a locality, operators' orders drain this part at a time at most, as the design has it
/// for withdrawals.
const DRAINED_FRACTION_DIVISOR: usize = 3;

/// A server as a member sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerAvailability {
    pub server: u32,
    pub locality: u32,
    /// Warm, and neither draining nor withdrawn: a range may be given to it.
    pub accepts_ranges: bool,
    /// Listed as ready at all: a range that it owns may stay with it.
    pub listed: bool,
}

/// The member that should hold a duty (highest random weight): when one goes, only its duties move.
pub fn holder(duty: Duty, there: &[MemberId]) -> Option<MemberId> {
    HrwNodes::new(there.iter().copied()).sorted(&duty).next().copied()
}

/// Duties to be given, with their next holders. `there`: seats that are not known as dead; `settled`: those that
/// have been there for long enough to be given what they would hold.
pub fn assignments(
    duties: &StateMachine,
    wanted: &[Duty],
    there: &BTreeSet<MemberId>,
    settled: &BTreeSet<MemberId>,
) -> Vec<(Duty, MemberId)> {
    let from: Vec<MemberId> = if settled.is_empty() { there } else { settled }.iter().copied().collect();
    let next = wanted.iter().filter_map(|&duty| {
        let held = duties.assignment(duty).map(|held| held.holder).filter(|holder| there.contains(holder));
        let best = holder(duty, &from)?;
        // Whoever is there keeps what it has unless its true holder has come back and stayed.
        (held != Some(best)).then_some((duty, best))
    });
    next.collect()
}

/// Drains of a locality that may begin now, in the order in which they came.
pub fn drains(duties: &StateMachine, locality: u32, listed: usize) -> Vec<LogIndex> {
    let of_it = duties.orders().iter().filter(|(_, standing)| {
        standing.order.weight_cap_millionths.is_none() && standing.order.locality == locality
    });
    let (begun, waiting): (Vec<_>, Vec<_>) = of_it.partition(|(_, standing)| standing.active);
    let room = (listed / DRAINED_FRACTION_DIVISOR).max(1).saturating_sub(begun.len());
    waiting.into_iter().take(room).map(|(&order, _)| order).collect()
}

/// Where a range should go, if it must go: its owner is listed no more or drains, or it never had one. Nothing
/// where there is no open server to give it to, or where it is on its way to a server that is still open.
pub fn next_owner(
    duties: &StateMachine,
    range: u32,
    fits: &BTreeMap<u32, ServerAvailability>,
) -> Option<u32> {
    let owned = duties.ranges().get(&range);
    let open = |server: u32| fits.get(&server).is_some_and(|fit| fit.accepts_ranges);
    let stays = |server: u32| fits.get(&server).is_some_and(|fit| fit.listed);
    let settled = match owned.map(|owned| (owned.owner, &owned.pending_move)) {
        Some((Some(owner), _)) => stays(owner),
        Some((None, Some(moving))) => open(moving.to_server),
        _ => false,
    };
    if settled {
        return None;
    }
    let from: Vec<u32> = fits.values().filter(|fit| fit.accepts_ranges).map(|fit| fit.server).collect();
    HrwNodes::new(from).sorted(&range).next().copied()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::wire::{AssignDuty, Command, CommandPayload, MoveRange, OperatorOrder};

    fn apply(duties: &mut StateMachine, index: LogIndex, payload: CommandPayload) {
        duties.apply(index, 1, &Command { request_id: 0, payload: Some(payload) }, None);
    }

    #[test]
    fn only_the_duties_of_one_that_goes_move() {
        let mut duties = StateMachine::default();
        let wanted: Vec<Duty> = (0..64).map(Duty::PlaceRange).collect();
        let all: BTreeSet<MemberId> = (0..4).collect();
        for (index, (duty, holder)) in assignments(&duties, &wanted, &all, &all).into_iter().enumerate() {
            let assign = AssignDuty { duty: Some(duty.into()), holder };
            apply(&mut duties, index as u64 + 1, CommandPayload::AssignDuty(assign));
        }
        let per: Vec<usize> =
            (0..4).map(|node| duties.duties().values().filter(|held| held.holder == node).count()).collect();
        assert!(per.iter().all(|&count| count >= 6), "{per:?}");
        let less: BTreeSet<MemberId> = [0, 1, 3].into();
        let moved = assignments(&duties, &wanted, &less, &less);
        assert_eq!(moved.len(), per[2]);
        assert!(moved.iter().all(|(duty, _)| duties.assignment(*duty).is_some_and(|held| held.holder == 2)));
        // It is back, but not for long enough: all stays where it is.
        assert_eq!(assignments(&duties, &wanted, &all, &all), vec![]);
    }

    #[test]
    fn drains_take_turns_by_thirds_of_what_is_listed() {
        let mut duties = StateMachine::default();
        for server in 0..4 {
            apply(
                &mut duties,
                10 + u64::from(server),
                CommandPayload::OperatorOrder(OperatorOrder {
                    server,
                    locality: 1,
                    weight_cap_millionths: None,
                }),
            );
        }
        assert_eq!(drains(&duties, 1, 6), vec![10, 11]);
        assert_eq!(drains(&duties, 1, 2), vec![10]);
        assert_eq!(drains(&duties, 0, 6), Vec::<LogIndex>::new());
    }

    #[test]
    fn a_range_moves_only_from_a_server_that_cannot_keep_it() {
        let fit = |server, open, listed| {
            (server, ServerAvailability { server, locality: 0, accepts_ranges: open, listed })
        };
        let mut duties = StateMachine::default();
        let fits: BTreeMap<u32, ServerAvailability> =
            [fit(1, true, true), fit(2, true, true), fit(3, false, true)].into();
        let first = next_owner(&duties, 0, &fits).unwrap();
        assert!(first < 3);
        apply(&mut duties, 5, CommandPayload::MoveRange(MoveRange { range: 0, to_server: first, epoch: 0 }));
        assert_eq!(next_owner(&duties, 0, &fits), None);
        let none: BTreeMap<u32, ServerAvailability> = [fit(1, false, true), fit(2, false, true)].into();
        assert_eq!(next_owner(&duties, 0, &none), None, "nowhere to go");
        let one_left: BTreeMap<u32, ServerAvailability> = [fit(3 - first, true, true)].into();
        assert_eq!(next_owner(&duties, 0, &one_left), Some(3 - first));
    }
}
